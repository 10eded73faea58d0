/* Tests the story of a request from the logs of several daemons.  */

#include "story/story.h"
#include "tests/unit.h"

#include <string.h>

static struct bd_story story;
static GString *out;

static void
start (const char *id)
{
  bd_story_init (&story, id);
  out = g_string_new (NULL);
}

static void
finish (void)
{
  g_string_free (out, TRUE);
  bd_story_finish (&story);
}

/* Adds a record; second is its time, fields the JSON text of its fields.  */
static void
add (const char *second, const char *process, const char *event,
     const char *fields)
{
  char *line = g_strdup_printf (
      "{\"time\":\"2026-12-05T10:00:%sZ\",\"process\":"
      "\"%s\",\"event\":\"%s\"%s%s}\n",
      second, process, event, fields[0] != '\0' ? "," : "", fields);

  bd_story_add (&story, line, strlen (line));
  g_free (line);
}

/* Position of text in the story, or -1.  */
static long
position (const char *text)
{
  const char *found = strstr (out->str, text);

  return found != NULL ? found - out->str : -1;
}

static bool
has (const char *text)
{
  return position (text) >= 0;
}

static void
test_records_of_daemons_in_order (void)
{
  start ("r1");
  add ("20.400", "edge-1", "answer",
       "\"id\":\"r1\",\"status\":\"200\",\"outcome\":\"whole\","
       "\"endpoint\":\"edge-2\",\"tries\":\"2\",\"first_ms\":\"380\","
       "\"took_ms\":\"390\"");
  add ("20.200", "edge-2", "attempt",
       "\"id\":\"r1\",\"try\":\"1\",\"endpoint\":\"w-2\",\"candidates\":\"3\","
       "\"load\":\"1\",\"expected_ms\":\"150\",\"waited_ms\":\"0\"");
  add ("20.010", "edge-1", "request",
       "\"id\":\"r1\",\"route\":\"chat\",\"model\":\"m\",\"service\":\"\","
       "\"config\":\"7\",\"left_ms\":\"4000\"");
  add ("20.100", "edge-1", "request", "\"id\":\"r2\",\"route\":\"other\"");
  CU_ASSERT_TRUE (bd_story_write (&story, out));
  CU_ASSERT_TRUE (has ("+0.000 s  edge-1"));
  CU_ASSERT_TRUE (has ("+0.190 s  edge-2"));
  CU_ASSERT_TRUE (has ("+0.390 s  edge-1"));
  CU_ASSERT_TRUE (position ("admitted") < position ("attempt 1 at w-2"));
  CU_ASSERT_TRUE (position ("attempt 1") < position ("answered 200 whole"));
  CU_ASSERT_FALSE (has ("other"));
  finish ();
}

/* A part of the text is left out with its field, and any other missing value
   is shown as such.  */
static void
test_missing_fields (void)
{
  start ("r1");
  add ("20.010", "edge-1", "request",
       "\"id\":\"r1\",\"route\":\"chat\",\"model\":\"m\",\"service\":\"\","
       "\"left_ms\":\"4000\"");
  CU_ASSERT_TRUE (bd_story_write (&story, out));
  CU_ASSERT_TRUE (has ("route chat, model m, configuration ?, 4000 ms left"));
  finish ();
}

static void
test_beliefs_of_its_daemons_and_endpoints_only (void)
{
  start ("r1");
  add ("05.000", "edge-1", "config-in-force",
       "\"version\":\"5\",\"before\":\"4\"");
  add ("16.000", "edge-1", "config-in-force",
       "\"version\":\"6\",\"before\":\"5\"");
  add ("17.000", "edge-3", "dependency-lost", "\"dependency\":\"store\"");
  add ("19.000", "edge-3", "order",
       "\"kind\":\"leave\",\"endpoint\":\"w-2\",\"group\":\"g\","
       "\"reason\":\"a member is lost\",\"term\":\"4\"");
  add ("19.000", "edge-3", "order",
       "\"kind\":\"leave\",\"endpoint\":\"w-9\",\"reason\":\"forming\"");
  add ("15.000", "edge-3", "order",
       "\"kind\":\"join\",\"endpoint\":\"w-2\",\"reason\":\"forming\"");
  add ("20.000", "edge-1", "request", "\"id\":\"r1\",\"route\":\"chat\"");
  add ("20.001", "edge-1", "attempt", "\"id\":\"r1\",\"endpoint\":\"w-2\"");
  add ("20.900", "edge-1", "cut",
       "\"id\":\"r1\",\"by\":\"failure\",\"phase\":\"stream\"");
  add ("21.000", "edge-1", "endpoint-life",
       "\"endpoint\":\"w-2\",\"life\":\"dead\",\"before\":\"doubted\"");
  add ("23.000", "edge-1", "stopping", "\"open\":\"0\"");
  CU_ASSERT_TRUE (bd_story_write (&story, out));
  CU_ASSERT_TRUE (has ("-4.000 s    edge-1"));
  CU_ASSERT_TRUE (has ("configuration 6 in force, before 5"));
  CU_ASSERT_FALSE (has ("configuration 5 in force"));
  CU_ASSERT_FALSE (has ("lost the store"));
  CU_ASSERT_TRUE (
      has ("order leave for w-2, group g: a member is lost, term 4"));
  CU_ASSERT_FALSE (has ("w-9"));
  CU_ASSERT_FALSE (has ("order join"));
  CU_ASSERT_TRUE (has ("ended by failure in phase stream"));
  CU_ASSERT_TRUE (has ("w-2 is dead, before doubted"));
  CU_ASSERT_FALSE (has ("stops"));
  finish ();
}

static void
test_event_without_text (void)
{
  start ("r1");
  add ("20.000", "edge-1", "new-event", "\"id\":\"r1\",\"cause\":\"x\"");
  CU_ASSERT_TRUE (bd_story_write (&story, out));
  CU_ASSERT_TRUE (has ("new-event cause=x\n"));
  finish ();
}

static void
test_unknown_id (void)
{
  start ("r3");
  add ("20.000", "edge-1", "stopping", "\"open\":\"0\"");
  add ("20.000", "edge-1", "answer", "\"id\":\"r1\",\"status\":\"200\"");
  CU_ASSERT_FALSE (bd_story_write (&story, out));
  CU_ASSERT_EQUAL (out->len, 0);
  finish ();
}

static void
test_lines_that_are_no_records (void)
{
  static const char *const lines[]
      = { "",
          "\n",
          "text\n",
          "[1]\n",
          "{\"event\":\"answer\",\"id\":\"r1\"}\n",
          "{\"event\":1,\"time\":\"2026-12-05T10:00:00Z\"}\n",
          "{\"time\":\"noon\",\"event\":\"answer\",\"id\":\"r1\"}\n",
          "{\"time\":\"2026-12-05T10:00:00Z\",\"event\":\"ans" };

  start ("r1");
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    bd_story_add (&story, lines[i], strlen (lines[i]));
  CU_ASSERT_EQUAL (story.unread_lines, sizeof lines / sizeof lines[0]);
  add ("20.000", "edge-1", "answer", "\"id\":\"r1\",\"status\":\"200\"");
  CU_ASSERT_TRUE (bd_story_write (&story, out));
  CU_ASSERT_TRUE (has ("answered 200"));
  finish ();
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "records of daemons in order", test_records_of_daemons_in_order },
    { "missing fields", test_missing_fields },
    { "beliefs of its daemons and endpoints only",
      test_beliefs_of_its_daemons_and_endpoints_only },
    { "event without text", test_event_without_text },
    { "unknown id", test_unknown_id },
    { "lines that are no records", test_lines_that_are_no_records },
  };

  return UNIT_RUN ("story", tests);
}

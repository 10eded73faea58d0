/* Guards against changes of state that the log omits beside many failed
   requests.  */

#include "base/log.h"

#include "tests/unit.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  REQUESTS = 5000,
  CHANGES = 40,
  TEXT_SIZE = 4 << 20,
  NEXT_SECOND_US = 1100 * 1000,
  /* Fills the buffer for a reader that does not read.  */
  LONG_TEXT_SIZE = 2000
};

static void
flood (const char *text)
{
  for (uint32_t i = 0; i < REQUESTS; i++)
    bd_log_request ("refused", "id", BD_NUM (i), "text", text, NULL);
}

static void
change_state (void)
{
  for (uint32_t i = 0; i < CHANGES; i++)
    bd_log ("config-in-force", "version", BD_NUM (i), NULL);
}

static void
change_beside_requests (void)
{
  flood ("");
  change_state ();
  bd_log_flush ();
  usleep (NEXT_SECOND_US);
  bd_log_flush ();
}

/* The reader begins to read when all was logged.  */
static void
change_beside_unread_requests (void)
{
  char text[LONG_TEXT_SIZE];

  memset (text, 'x', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  flood (text);
  change_state ();
}

static void
write_all (void)
{
  for (uint32_t i = 0; i < 200; i++)
    {
      bd_log_flush ();
      usleep (1000);
    }
}

/* Runs the function in a process of its own and returns its lines.  */
static json_t *
run_child (void (*run) (void), useconds_t read_after_us)
{
  static char text[TEXT_SIZE];
  json_t *lines = json_array ();
  size_t used = 0;
  ssize_t count;
  char *rest = text;
  char *line;
  int ends[2];
  pid_t child;

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  fflush (NULL);
  child = fork ();
  if (child == 0)
    {
      dup2 (ends[1], STDOUT_FILENO);
      close (ends[0]);
      close (ends[1]);
      bd_log_init ("child");
      run ();
      write_all ();
      _exit (0);
    }
  close (ends[1]);
  usleep (read_after_us);
  while ((count = read (ends[0], text + used, sizeof text - 1 - used)) > 0)
    used += (size_t)count;
  text[used] = '\0';
  close (ends[0]);
  waitpid (child, NULL, 0);
  while ((line = strsep (&rest, "\n")) != NULL)
    if (line[0] != '\0')
      json_array_append_new (lines, json_loads (line, 0, NULL));
  return lines;
}

static uint32_t
count_events (const json_t *lines, const char *event)
{
  uint32_t found = 0;
  json_t *line;
  size_t i;

  json_array_foreach (lines, i, line)
    {
      const char *name = json_string_value (json_object_get (line, "event"));

      found += name != NULL && strcmp (name, event) == 0;
    }
  return found;
}

/* Sums a field of the lines that say how many were dropped.  */
static int64_t
sum_dropped (const json_t *lines, const char *field)
{
  int64_t sum = 0;
  json_t *line;
  size_t i;

  json_array_foreach (lines, i, line)
    {
      const char *event = json_string_value (json_object_get (line, "event"));
      const char *value = json_string_value (json_object_get (line, field));

      if (event != NULL && strcmp (event, "log-dropped") == 0 && value != NULL)
        sum += atoll (value);
    }
  return sum;
}

static void
test_changes_dropped_for_requests (void)
{
  json_t *lines = run_child (change_beside_requests, 0);
  uint32_t requests = count_events (lines, "refused");

  CU_ASSERT_EQUAL (count_events (lines, "config-in-force"), CHANGES);
  CU_ASSERT_TRUE (requests > 0 && requests < REQUESTS);
  CU_ASSERT_EQUAL (sum_dropped (lines, "request"), REQUESTS - requests);
  CU_ASSERT_EQUAL (sum_dropped (lines, "state"), 0);
  json_decref (lines);
}

static void
test_changes_dropped_for_unread_requests (void)
{
  json_t *lines = run_child (change_beside_unread_requests, 100 * 1000);

  CU_ASSERT_EQUAL (count_events (lines, "config-in-force"), CHANGES);
  json_decref (lines);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "changes dropped for requests", test_changes_dropped_for_requests },
    { "changes dropped for unread requests",
      test_changes_dropped_for_unread_requests },
  };

  return UNIT_RUN ("log", tests);
}

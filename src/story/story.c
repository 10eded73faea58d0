/* Selects, orders and words log records.  */

#include "story/story.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* How long before the request a belief of its daemons is still told.  */
  HISTORY_MS = 10000,
  /* The same for a change of an endpoint at which it was tried.  */
  ENDPOINT_HISTORY_MS = 3000,
  /* How long after its last record.  */
  AFTERMATH_MS = 500,
  MAX_FIELD_NAME = 32
};

/* What the records of an event tell about a request.  */
enum scope
{
  SCOPE_REQUEST, /* Only those with its id.  */
  SCOPE_PROCESS, /* Those of a daemon that handled it.  */
  SCOPE_ENDPOINT /* Those that name an endpoint at which it was tried.  */
};

/* How an event is worded.  {NAME} is the value of a field.  A part in brackets
   is left out when one of its fields is absent or empty.  */
struct event_text
{
  const char *event;
  enum scope scope;
  const char *text;
};

static const struct event_text event_texts[] = {
  { "request", SCOPE_REQUEST,
    "admitted: route {route}[, service {service}][, model {model}]"
    "[, account {account}], configuration {config}, {left_ms} ms left" },
  { "refused", SCOPE_REQUEST,
    "refused on arrival: {reason}[, route {route}], configuration {config}, "
    "known to be the newest {config_age_ms} ms ago" },
  { "attempt", SCOPE_REQUEST,
    "attempt {try} at {endpoint}, one of {candidates}, {load} running there, "
    "first event expected after {expected_ms} ms; waited {waited_ms} ms"
    "[, instance list {list_age_ms} ms old]" },
  { "attempt-failed", SCOPE_REQUEST,
    "attempt at {endpoint} failed after {after_ms} ms: {failure}"
    "[ ({detail})], {events} events, silent for {silent_ms} ms" },
  { "account-changed", SCOPE_REQUEST,
    "the key now belongs to account {account}, not {before}, by "
    "configuration {config}" },
  { "suspect-crash", SCOPE_REQUEST,
    "counts as evidence that the request crashes endpoints" },
  { "suspect-cleared", SCOPE_REQUEST,
    "completed, which cleared {evidence} pieces of evidence against it" },
  { "suspect-refused", SCOPE_REQUEST,
    "refused as a suspect: {crashes} crashes speak against it, the last one "
    "{last_crash_age_ms} ms ago" },
  { "cut", SCOPE_REQUEST,
    "the caller got no whole response: ended by {by} in phase {phase}"
    "[ at {endpoint}], after {after_ms} ms, {left_ms} ms left; configuration "
    "{config_at_arrival} at arrival, {config} now" },
  { "answer", SCOPE_REQUEST,
    "answered {status} {outcome}[ by {endpoint}], {tries} tries, first event "
    "after {first_ms} ms, {took_ms} ms in all" },
  { "config-in-force", SCOPE_PROCESS,
    "configuration {version} in force, before {before}" },
  { "config-damaged", SCOPE_PROCESS,
    "a configuration cannot be decoded[, revision {revision}]" },
  { "dependency-lost", SCOPE_PROCESS,
    "lost the {dependency}; configuration {config_age_ms} ms old, instance "
    "list {list_age_ms} ms" },
  { "dependency-regained", SCOPE_PROCESS,
    "reached the {dependency} again; configuration {config_age_ms} ms old, "
    "instance list {list_age_ms} ms" },
  { "list-unreadable", SCOPE_PROCESS, "the instance list cannot be decoded" },
  { "store-restored", SCOPE_PROCESS,
    "the store was restored from a copy, era {era}" },
  { "links-lost", SCOPE_PROCESS,
    "links to the endpoints of {service} lost, last contact {contact_age_ms} "
    "ms ago" },
  { "links-back", SCOPE_PROCESS,
    "links to the endpoints of {service} back after {lost_for_ms} ms" },
  { "peer-lost", SCOPE_PROCESS, "a peer was lost, {live} live" },
  { "started", SCOPE_PROCESS, "the daemon started" },
  { "stopping", SCOPE_PROCESS, "the daemon stops, {open} requests open" },
  { "reloaded", SCOPE_PROCESS, "the daemon read its settings again" },
  { "endpoint-life", SCOPE_ENDPOINT,
    "{endpoint} is {life}, before {before}: {misses} probes missed" },
  { "endpoint-member", SCOPE_ENDPOINT,
    "{endpoint} is {state}[ in group {group}], by the {source}" },
  { "endpoint-leaving", SCOPE_ENDPOINT, "{endpoint} leaves, by a {source}" },
  { "endpoint-closed", SCOPE_ENDPOINT,
    "{endpoint} asked for no requests for {wait_ms} ms" },
  { "endpoint-limit", SCOPE_ENDPOINT,
    "{endpoint} allows {per_s} requests a second, {share_per_mille}/1000 of "
    "it here" },
  { "report-foreign", SCOPE_ENDPOINT,
    "another instance answered at the address of {endpoint}" },
  { "order", SCOPE_ENDPOINT,
    "order {kind} for {endpoint}[, group {group}]: {reason}[, {in_flight} "
    "requests "
    "there][, silent for {silent_ms} ms][, term {term}]" },
  { "order-answered", SCOPE_ENDPOINT,
    "order {kind} answered by {endpoint} with {status} after {took_ms} ms" },
};

enum
{
  EVENT_TEXT_COUNT = sizeof event_texts / sizeof event_texts[0]
};

static const struct event_text *
find_text (const char *event)
{
  for (uint32_t i = 0; i < EVENT_TEXT_COUNT; i++)
    if (strcmp (event_texts[i].event, event) == 0)
      return &event_texts[i];
  return NULL;
}

/* A string field, or an empty string.  */
static const char *
field (const json_t *record, const char *name)
{
  const char *value = json_string_value (json_object_get (record, name));

  return value != NULL ? value : "";
}

static bool
is_own (const struct bd_story *story, const json_t *record)
{
  return strcmp (field (record, "id"), story->id) == 0;
}

/* The time of a record in ms since the epoch, or -1.  */
static int64_t
time_ms (const json_t *record)
{
  GDateTime *time
      = g_date_time_new_from_iso8601 (field (record, "time"), NULL);
  int64_t ms;

  if (time == NULL)
    return -1;
  ms = g_date_time_to_unix (time) * 1000
       + g_date_time_get_microsecond (time) / 1000;
  g_date_time_unref (time);
  return ms;
}

static void
release_record (void *record)
{
  json_decref (record);
}

void
bd_story_init (struct bd_story *story, const char *id)
{
  memset (story, 0, sizeof *story);
  story->id = g_strdup (id);
  story->records = g_ptr_array_new_with_free_func (release_record);
}

void
bd_story_add (struct bd_story *story, const char *line, size_t size)
{
  json_t *record = json_loadb (line, size, 0, NULL);
  const char *event = field (record, "event");
  const struct event_text *text = find_text (event);

  if (event[0] == '\0' || time_ms (record) < 0)
    story->unread_lines++;
  else if (is_own (story, record))
    {
      story->own_count++;
      g_ptr_array_add (story->records, json_incref (record));
    }
  else if (text != NULL && text->scope != SCOPE_REQUEST)
    g_ptr_array_add (story->records, json_incref (record));
  json_decref (record);
}

static int
compare_times (const void *a, const void *b)
{
  const json_t *const *first = a;
  const json_t *const *second = b;

  return strcmp (field (*first, "time"), field (*second, "time"));
}

/* What the records of the request name.  */
struct subject
{
  GHashTable *processes;
  GHashTable *endpoints;
  int64_t start_ms;
  int64_t end_ms;
};

static void
find_subject (const struct bd_story *story, struct subject *subject)
{
  memset (subject, 0, sizeof *subject);
  subject->processes = g_hash_table_new (g_str_hash, g_str_equal);
  subject->endpoints = g_hash_table_new (g_str_hash, g_str_equal);
  subject->start_ms = -1;
  for (guint i = 0; i < story->records->len; i++)
    {
      const json_t *record = g_ptr_array_index (story->records, i);
      const char *endpoint = field (record, "endpoint");

      if (!is_own (story, record))
        continue;
      if (subject->start_ms < 0)
        subject->start_ms = time_ms (record);
      subject->end_ms = time_ms (record);
      g_hash_table_add (subject->processes,
                        (gpointer)field (record, "process"));
      if (endpoint[0] != '\0')
        g_hash_table_add (subject->endpoints, (gpointer)endpoint);
    }
}

static void
finish_subject (struct subject *subject)
{
  g_hash_table_destroy (subject->processes);
  g_hash_table_destroy (subject->endpoints);
}

/* Whether a belief is told in the story.  */
static bool
is_told (const struct subject *subject, const json_t *record)
{
  const struct event_text *text = find_text (field (record, "event"));
  int64_t ms = time_ms (record);

  if (ms > subject->end_ms + AFTERMATH_MS)
    return false;
  if (text->scope == SCOPE_PROCESS)
    return ms >= subject->start_ms - HISTORY_MS
           && g_hash_table_contains (subject->processes,
                                     field (record, "process"));
  return ms >= subject->start_ms - ENDPOINT_HISTORY_MS
         && g_hash_table_contains (subject->endpoints,
                                   field (record, "endpoint"));
}

/* Appends text up to the character stop or the end, with the values of its
   fields, and sets *rest to what follows.  Returns whether all fields have a
   value.  */
static bool
append_part (GString *out, const json_t *record, const char *text, char stop,
             const char **rest)
{
  bool is_complete = true;

  while (*text != '\0' && *text != stop)
    {
      char name[MAX_FIELD_NAME];
      size_t size = strcspn (text + 1, "}");
      const char *value;

      if (*text != '{' || size >= sizeof name)
        {
          g_string_append_c (out, *text++);
          continue;
        }
      memcpy (name, text + 1, size);
      name[size] = '\0';
      value = field (record, name);
      is_complete = is_complete && value[0] != '\0';
      g_string_append (out, value[0] != '\0' ? value : "?");
      text += size + 2;
    }
  *rest = text;
  return is_complete;
}

static void
append_text (GString *out, const json_t *record, const char *text)
{
  while (*text != '\0')
    {
      gsize length;

      append_part (out, record, text, '[', &text);
      if (*text == '\0')
        return;
      length = out->len;
      if (!append_part (out, record, text + 1, ']', &text))
        g_string_truncate (out, length);
      if (*text != '\0')
        text++;
    }
}

/* An event without a text of its own: its name and its fields.  */
static void
append_fields (GString *out, json_t *record)
{
  const char *name;
  json_t *value;

  g_string_append (out, field (record, "event"));
  json_object_foreach (record, name, value)
    {
      const char *text = json_string_value (value);

      if (text != NULL && strcmp (name, "time") != 0
          && strcmp (name, "process") != 0 && strcmp (name, "event") != 0
          && strcmp (name, "id") != 0)
        g_string_append_printf (out, " %s=%s", name, text);
    }
}

static void
append_record (GString *out, json_t *record, int64_t start_ms, bool is_belief)
{
  const struct event_text *text = find_text (field (record, "event"));

  g_string_append_printf (out, "%+9.3f s  %s%-16s ",
                          (double)(time_ms (record) - start_ms) / 1000.0,
                          is_belief ? "  " : "", field (record, "process"));
  if (text != NULL)
    append_text (out, record, text->text);
  else
    append_fields (out, record);
  g_string_append_c (out, '\n');
}

bool
bd_story_write (struct bd_story *story, GString *out)
{
  struct subject subject;

  if (story->own_count == 0)
    return false;
  g_ptr_array_sort (story->records, compare_times);
  find_subject (story, &subject);
  for (guint i = 0; i < story->records->len; i++)
    {
      json_t *record = g_ptr_array_index (story->records, i);

      if (is_own (story, record))
        append_record (out, record, subject.start_ms, false);
      else if (is_told (&subject, record))
        append_record (out, record, subject.start_ms, true);
    }
  finish_subject (&subject);
  return true;
}

void
bd_story_finish (struct bd_story *story)
{
  g_ptr_array_unref (story->records);
  g_free (story->id);
}

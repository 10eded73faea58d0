/* Replays the records of all daemons and compares requests with facts.  */

#include "contradictions/contradictions.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Records of one daemon that are closer than this are of the same moment: a
     request can have been on its way to the endpoint.  */
  SAME_MOMENT_MS = 20,
  /* An endpoint's limit is exceeded by this factor, and by this number of
     requests, within this time.  */
  LIMIT_FACTOR = 2,
  LIMIT_SLACK = 2,
  LIMIT_WINDOW_MS = 2000,
  MS_PER_S = 1000
};

enum event
{
  EVENT_ATTEMPT,
  EVENT_REQUEST,
  EVENT_GONE,
  EVENT_LISTED,
  EVENT_LEAVING,
  EVENT_CLOSED,
  EVENT_LIMIT,
  EVENT_CONFIG,
  EVENT_PROCESS_START,
  EVENT_STORE_BACK,
  EVENT_STORE_RESTORED
};

static const struct
{
  const char *name;
  enum event event;
  /* Fields with the number of the record, and with the age of what its daemon
     knew.  */
  const char *number;
  const char *age;
} event_names[] = {
  { "attempt", EVENT_ATTEMPT, NULL, "list_age_ms" },
  { "request", EVENT_REQUEST, "config", "config_age_ms" },
  { "instance-gone", EVENT_GONE, NULL, NULL },
  { "instance-listed", EVENT_LISTED, NULL, NULL },
  { "endpoint-leaving", EVENT_LEAVING, NULL, NULL },
  { "endpoint-closed", EVENT_CLOSED, "wait_ms", NULL },
  { "endpoint-limit", EVENT_LIMIT, "per_s", NULL },
  { "config-in-force", EVENT_CONFIG, "version", NULL },
  { "started", EVENT_PROCESS_START, NULL, NULL },
  { "dependency-regained", EVENT_STORE_BACK, NULL, NULL },
  { "store-restored", EVENT_STORE_RESTORED, NULL, NULL },
};

enum
{
  EVENT_NAME_COUNT = sizeof event_names / sizeof event_names[0]
};

/* Strings are interned: equal ones have the same address.  */
struct record
{
  enum event event;
  int64_t time_ms;
  uint32_t sequence; /* Order of the lines.  */
  const char *time;
  const char *process; /* Empty if unknown.  */
  const char *endpoint;
  const char *id;
  double number;
  int64_t age_ms;     /* Negative if unknown.  */
  int64_t started_ms; /* Of the endpoint; 0 if unknown.  */
  bool is_kept;       /* Gone, but it can only have expired.  */
};

/* When a fact was stated; is_set is false once it has ended.  */
struct fact
{
  bool is_set;
  int64_t since_ms;
  int64_t started_ms; /* Of the incarnation; 0 if unknown.  */
};

/* What one daemon has stated of an endpoint.  */
struct belief
{
  const char *process;
  struct fact facts[BD_FACT_COUNT];
  bool is_listed_again;
  int64_t listed_ms;
  bool is_kept; /* Since kept_ms, the list lacks it.  */
  int64_t kept_ms;
  int64_t closed_until_ms;
  double limit_per_s;
  GArray *sent_ms; /* Its attempts since the limit, at most a window old.  */
};

struct process
{
  const char *name;
  bool has_bound; /* Since bound_from_ms, when it started or got the store.  */
  int64_t bound_from_ms;
  double config;
  int64_t config_ms;
};

struct replay
{
  struct bd_contradictions *contradictions;
  GHashTable *endpoints; /* Id -> GPtrArray of struct belief.  */
  GPtrArray *processes;
};

/* A string field, or an empty string.  */
static const char *
field (const json_t *record, const char *name)
{
  const char *value = json_string_value (json_object_get (record, name));

  return value != NULL ? value : "";
}

/* The time of a record in ms since the epoch, or -1.  */
static int64_t
read_time (const char *text)
{
  GDateTime *time = g_date_time_new_from_iso8601 (text, NULL);
  int64_t ms;

  if (time == NULL)
    return -1;
  ms = g_date_time_to_unix (time) * MS_PER_S
       + g_date_time_get_microsecond (time) / MS_PER_S;
  g_date_time_unref (time);
  return ms;
}

static int
find_event (const char *name)
{
  for (int i = 0; i < EVENT_NAME_COUNT; i++)
    if (strcmp (event_names[i].name, name) == 0)
      return i;
  return -1;
}

static bool
is_other_dependency (const json_t *record, enum event event)
{
  return event == EVENT_STORE_BACK
         && strcmp (field (record, "dependency"), "store") != 0;
}

void
bd_contradictions_init (struct bd_contradictions *contradictions,
                        int64_t bound_ms)
{
  memset (contradictions, 0, sizeof *contradictions);
  contradictions->bound_ms = bound_ms;
  contradictions->strings = g_string_chunk_new (4096);
  contradictions->records = g_ptr_array_new_with_free_func (g_free);
  contradictions->found
      = g_array_new (FALSE, FALSE, sizeof (struct bd_contradiction));
}

static const char *
intern (struct bd_contradictions *contradictions, const char *text)
{
  return g_string_chunk_insert_const (contradictions->strings, text);
}

static int64_t
read_age (const json_t *line, const char *name)
{
  const char *text = name != NULL ? field (line, name) : "";

  return text[0] != '\0' ? g_ascii_strtoll (text, NULL, 10) : -1;
}

static void
add_record (struct bd_contradictions *contradictions, const json_t *line,
            int event, int64_t time_ms)
{
  struct record *record = g_new0 (struct record, 1);
  const char *endpoint = field (line, "endpoint");

  if (endpoint[0] == '\0')
    endpoint = field (line, "instance");
  record->event = event_names[event].event;
  record->time_ms = time_ms;
  record->sequence = contradictions->records->len;
  record->time = intern (contradictions, field (line, "time"));
  record->process = intern (contradictions, field (line, "process"));
  record->endpoint = intern (contradictions, endpoint);
  record->id = intern (contradictions, field (line, "id"));
  if (event_names[event].number != NULL)
    record->number = strtod (field (line, event_names[event].number), NULL);
  record->is_kept = strcmp (field (line, "is_kept"), "true") == 0;
  record->age_ms = read_age (line, event_names[event].age);
  record->started_ms = g_ascii_strtoll (field (line, "started_ms"), NULL, 10);
  g_ptr_array_add (contradictions->records, record);
}

void
bd_contradictions_add (struct bd_contradictions *contradictions,
                       const char *line, size_t size)
{
  json_t *record = json_loadb (line, size, 0, NULL);
  const char *name = field (record, "event");
  int64_t time_ms = read_time (field (record, "time"));
  int event = find_event (name);

  if (name[0] == '\0' || time_ms < 0)
    contradictions->unread_lines++;
  else if (event >= 0
           && !is_other_dependency (record, event_names[event].event))
    add_record (contradictions, record, event, time_ms);
  json_decref (record);
}

static int
compare_records (const void *a, const void *b)
{
  const struct record *first = *(const struct record *const *)a;
  const struct record *second = *(const struct record *const *)b;

  if (first->time_ms != second->time_ms)
    return first->time_ms < second->time_ms ? -1 : 1;
  return first->sequence < second->sequence ? -1 : 1;
}

static void
free_belief (void *value)
{
  struct belief *belief = value;

  g_array_unref (belief->sent_ms);
  g_free (belief);
}

static void
release_beliefs (void *beliefs)
{
  g_ptr_array_unref (beliefs);
}

static GPtrArray *
beliefs_of (const struct replay *replay, const char *endpoint)
{
  GPtrArray *beliefs = g_hash_table_lookup (replay->endpoints, endpoint);

  if (beliefs == NULL)
    {
      beliefs = g_ptr_array_new_with_free_func (free_belief);
      g_hash_table_insert (replay->endpoints, (gpointer)endpoint, beliefs);
    }
  return beliefs;
}

static struct belief *
belief_of (const struct replay *replay, const struct record *record)
{
  GPtrArray *beliefs = beliefs_of (replay, record->endpoint);
  struct belief *belief;

  for (guint i = 0; i < beliefs->len; i++)
    {
      belief = g_ptr_array_index (beliefs, i);
      if (belief->process == record->process)
        return belief;
    }
  belief = g_new0 (struct belief, 1);
  belief->process = record->process;
  belief->sent_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_ptr_array_add (beliefs, belief);
  return belief;
}

static struct process *
process_of (const struct replay *replay, const char *name)
{
  struct process *process;

  for (guint i = 0; i < replay->processes->len; i++)
    {
      process = g_ptr_array_index (replay->processes, i);
      if (process->name == name)
        return process;
    }
  process = g_new0 (struct process, 1);
  process->name = name;
  g_ptr_array_add (replay->processes, process);
  return process;
}

/* The daemon of the record has its bound from now on.  */
static void
restart_bound (const struct replay *replay, const struct record *record)
{
  struct process *process = process_of (replay, record->process);

  process->has_bound = process->name[0] != '\0';
  process->bound_from_ms = record->time_ms;
}

static bool
is_later_incarnation (const struct record *record, const struct fact *fact)
{
  return fact->started_ms > 0 && record->started_ms > fact->started_ms;
}

static void
set_fact (struct belief *belief, enum bd_fact kind,
          const struct record *record)
{
  struct fact *fact = &belief->facts[kind];

  if (!fact->is_set || is_later_incarnation (record, fact))
    *fact = (struct fact){ .is_set = true,
                           .since_ms = record->time_ms,
                           .started_ms = record->started_ms };
}

/* The endpoint is listed again.  Ends the fact of the daemon that states it,
   and those of other daemons that are older than the bound: younger ones can
   be of a later state than this daemon has.  */
static void
end_gone (const struct replay *replay, const struct record *record)
{
  struct belief *own = belief_of (replay, record);
  GPtrArray *beliefs = beliefs_of (replay, record->endpoint);

  own->is_kept = false;
  own->is_listed_again = true;
  own->listed_ms = record->time_ms;
  for (guint i = 0; i < beliefs->len; i++)
    {
      struct belief *belief = g_ptr_array_index (beliefs, i);
      struct fact *gone = &belief->facts[BD_FACT_GONE];

      if (belief == own
          || record->time_ms - gone->since_ms
                 > replay->contradictions->bound_ms)
        gone->is_set = false;
    }
}

static void
set_gone (const struct replay *replay, const struct record *record)
{
  struct belief *belief = belief_of (replay, record);

  if (!record->is_kept)
    {
      set_fact (belief, BD_FACT_GONE, record);
      return;
    }
  belief->facts[BD_FACT_GONE].is_set = false;
  if (!belief->is_kept)
    belief->kept_ms = record->time_ms;
  belief->is_kept = true;
}

static void
set_limit (const struct replay *replay, const struct record *record)
{
  struct belief *belief = belief_of (replay, record);

  belief->facts[BD_FACT_LIMIT] = (struct fact){ .is_set = record->number > 0,
                                                .since_ms = record->time_ms };
  belief->limit_per_s = record->number;
  g_array_set_size (belief->sent_ms, 0);
}

/* Facts of an earlier run of the process count as those of another daemon.  */
static void
start_process (const struct replay *replay, const struct record *record)
{
  const char *unknown = intern (replay->contradictions, "");
  GHashTableIter iter;
  gpointer beliefs;

  restart_bound (replay, record);
  process_of (replay, record->process)->config = 0;
  g_hash_table_iter_init (&iter, replay->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &beliefs))
    for (guint i = 0; i < ((GPtrArray *)beliefs)->len; i++)
      {
        struct belief *belief = g_ptr_array_index ((GPtrArray *)beliefs, i);

        if (belief->process == record->process)
          belief->process = unknown;
      }
}

static void
set_config (const struct replay *replay, const struct record *record)
{
  struct process *process = process_of (replay, record->process);

  if (record->number <= process->config)
    return;
  process->config = record->number;
  process->config_ms = record->time_ms;
}

static void
forget_configs (const struct replay *replay)
{
  for (guint i = 0; i < replay->processes->len; i++)
    ((struct process *)g_ptr_array_index (replay->processes, i))->config = 0;
}

static void
report (const struct replay *replay, const struct record *record,
        enum bd_fact fact, const char *source, int64_t since_ms)
{
  struct bd_contradiction contradiction = {
    .fact = fact,
    .time = record->time,
    .process = record->process,
    .id = record->id,
    .endpoint = record->endpoint,
    .source = source,
    .age_ms = record->time_ms - since_ms,
  };

  g_array_append_val (replay->contradictions->found, contradiction);
}

static bool
is_own (const struct record *record, const char *process)
{
  return process[0] != '\0' && process == record->process;
}

/* Whether another daemon's fact is in force at the daemon of the record: what
   this daemon knows is newer, and the bound is over.  */
static bool
is_in_force_elsewhere (const struct replay *replay,
                       const struct record *record, int64_t since_ms)
{
  const struct process *process = process_of (replay, record->process);
  int64_t from_ms = process->has_bound && process->bound_from_ms > since_ms
                        ? process->bound_from_ms
                        : since_ms;

  return record->age_ms >= 0 && record->time_ms - record->age_ms > since_ms
         && record->time_ms - from_ms > replay->contradictions->bound_ms;
}

/* Whether a fact of an endpoint binds the daemon of an attempt.  */
static bool
is_in_force (const struct replay *replay, const struct record *attempt,
             const struct belief *belief, enum bd_fact kind)
{
  const struct fact *fact = &belief->facts[kind];
  const struct belief *own;

  if (!fact->is_set || is_later_incarnation (attempt, fact))
    return false;
  if (is_own (attempt, belief->process))
    return attempt->time_ms - fact->since_ms > SAME_MOMENT_MS;
  own = belief_of (replay, attempt);
  if (kind == BD_FACT_GONE && own->is_listed_again
      && own->listed_ms >= fact->since_ms)
    return false;
  if (kind == BD_FACT_GONE && own->is_kept
      && attempt->time_ms - own->kept_ms <= replay->contradictions->bound_ms)
    return false;
  return is_in_force_elsewhere (replay, attempt, fact->since_ms);
}

/* Counts the attempt, and returns whether there are too many.  */
static bool
is_limit_exceeded (struct belief *own, const struct record *attempt)
{
  guint old = 0;

  if (!own->facts[BD_FACT_LIMIT].is_set
      || is_later_incarnation (attempt, &own->facts[BD_FACT_LIMIT]))
    return false;
  g_array_append_val (own->sent_ms, attempt->time_ms);
  while (attempt->time_ms - g_array_index (own->sent_ms, int64_t, old)
         >= LIMIT_WINDOW_MS)
    old++;
  g_array_remove_range (own->sent_ms, 0, old);
  return own->sent_ms->len
         > LIMIT_SLACK
               + LIMIT_FACTOR * own->limit_per_s * LIMIT_WINDOW_MS / MS_PER_S;
}

/* Reports the facts of an endpoint that an attempt contradicts: each kind
   once, of its own daemon before those of others.  */
static void
check_attempt (const struct replay *replay, const struct record *attempt)
{
  struct belief *own = belief_of (replay, attempt);
  GPtrArray *beliefs = beliefs_of (replay, attempt->endpoint);

  for (enum bd_fact kind = BD_FACT_GONE; kind <= BD_FACT_LEAVING; kind++)
    {
      const struct belief *found = NULL;

      for (guint i = 0; i < beliefs->len; i++)
        {
          const struct belief *belief = g_ptr_array_index (beliefs, i);

          if (is_in_force (replay, attempt, belief, kind)
              && (found == NULL || belief == own
                  || (found != own
                      && belief->facts[kind].since_ms
                             < found->facts[kind].since_ms)))
            found = belief;
        }
      if (found != NULL)
        report (replay, attempt, kind, found->process,
                found->facts[kind].since_ms);
    }
  if (attempt->process[0] == '\0')
    return;
  if (is_in_force (replay, attempt, own, BD_FACT_CLOSED)
      && attempt->time_ms < own->closed_until_ms)
    report (replay, attempt, BD_FACT_CLOSED, own->process,
            own->facts[BD_FACT_CLOSED].since_ms);
  if (is_limit_exceeded (own, attempt))
    report (replay, attempt, BD_FACT_LIMIT, own->process,
            own->facts[BD_FACT_LIMIT].since_ms);
}

static void
check_request (const struct replay *replay, const struct record *request)
{
  for (guint i = 0; i < replay->processes->len; i++)
    {
      const struct process *process = g_ptr_array_index (replay->processes, i);
      bool is_in_force
          = is_own (request, process->name)
                ? request->time_ms - process->config_ms > SAME_MOMENT_MS
                : is_in_force_elsewhere (replay, request, process->config_ms);

      if (process->config <= request->number || !is_in_force)
        continue;
      report (replay, request, BD_FACT_CONFIG, process->name,
              process->config_ms);
      return;
    }
}

static void
close_endpoint (const struct replay *replay, const struct record *record)
{
  struct belief *belief = belief_of (replay, record);
  int64_t until_ms = record->time_ms + (int64_t)record->number;

  if (until_ms <= belief->closed_until_ms)
    return;
  belief->closed_until_ms = until_ms;
  belief->facts[BD_FACT_CLOSED].is_set = false;
  set_fact (belief, BD_FACT_CLOSED, record);
}

static void
apply (const struct replay *replay, const struct record *record)
{
  switch (record->event)
    {
    case EVENT_ATTEMPT:
      check_attempt (replay, record);
      break;
    case EVENT_REQUEST:
      check_request (replay, record);
      break;
    case EVENT_GONE:
      set_gone (replay, record);
      break;
    case EVENT_LISTED:
      end_gone (replay, record);
      break;
    case EVENT_LEAVING:
      set_fact (belief_of (replay, record), BD_FACT_LEAVING, record);
      break;
    case EVENT_CLOSED:
      close_endpoint (replay, record);
      break;
    case EVENT_LIMIT:
      set_limit (replay, record);
      break;
    case EVENT_CONFIG:
      set_config (replay, record);
      break;
    case EVENT_PROCESS_START:
      start_process (replay, record);
      break;
    case EVENT_STORE_BACK:
      restart_bound (replay, record);
      break;
    case EVENT_STORE_RESTORED:
      forget_configs (replay);
      break;
    }
}

void
bd_contradictions_find (struct bd_contradictions *contradictions)
{
  struct replay replay = { .contradictions = contradictions };

  replay.endpoints = g_hash_table_new_full (NULL, NULL, NULL, release_beliefs);
  replay.processes = g_ptr_array_new_with_free_func (g_free);
  g_array_set_size (contradictions->found, 0);
  g_ptr_array_sort (contradictions->records, compare_records);
  for (guint i = 0; i < contradictions->records->len; i++)
    apply (&replay, g_ptr_array_index (contradictions->records, i));
  g_ptr_array_unref (replay.processes);
  g_hash_table_destroy (replay.endpoints);
}

static void
write_sum (const struct bd_contradictions *contradictions, enum bd_fact fact,
           const char *name, GString *out)
{
  uint32_t count = 0;
  uint32_t own_count = 0;
  int64_t oldest_ms = 0;

  for (guint i = 0; i < contradictions->found->len; i++)
    {
      const struct bd_contradiction *contradiction
          = &g_array_index (contradictions->found, struct bd_contradiction, i);

      if (contradiction->fact != fact)
        continue;
      count++;
      own_count += contradiction->process[0] != '\0'
                   && contradiction->source == contradiction->process;
      oldest_ms = MAX (oldest_ms, contradiction->age_ms);
    }
  if (count > 0)
    g_string_append_printf (out,
                            "%s: %u, %u against the daemon's own record, "
                            "oldest fact %lld ms\n",
                            name, count, own_count, (long long)oldest_ms);
}

void
bd_contradictions_write (const struct bd_contradictions *contradictions,
                         GString *out)
{
  static const char *const names[BD_FACT_COUNT]
      = { "gone", "leaving", "closed", "limit", "config" };

  for (guint i = 0; i < contradictions->found->len; i++)
    {
      const struct bd_contradiction *contradiction
          = &g_array_index (contradictions->found, struct bd_contradiction, i);

      g_string_append_printf (
          out, "%s  %s  %s  request %s%s%s, known for %lld ms by %s\n",
          contradiction->time,
          contradiction->process[0] != '\0' ? contradiction->process : "?",
          names[contradiction->fact], contradiction->id,
          contradiction->endpoint[0] != '\0' ? " to " : "",
          contradiction->endpoint, (long long)contradiction->age_ms,
          contradiction->source[0] != '\0' ? contradiction->source : "?");
    }
  for (uint32_t fact = 0; fact < BD_FACT_COUNT; fact++)
    write_sum (contradictions, fact, names[fact], out);
}

void
bd_contradictions_finish (struct bd_contradictions *contradictions)
{
  g_array_unref (contradictions->found);
  g_ptr_array_unref (contradictions->records);
  g_string_chunk_free (contradictions->strings);
}

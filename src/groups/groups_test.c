/* Unit tests of the groups module, and the replay of traces.

   A trace is a text file: first the instances, controllers and services, then
   events and expected outcomes with their times in seconds (see
   tests/traces/README.md).  */

#include "tests/unit.h"

#include "tests/fakes/sim.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define TRACES "tests/traces/groups"

enum
{
  MAX_WORDS = 8,
  LINE_SIZE = 256
};

struct line
{
  const char *file;
  uint32_t number;
  char *words[MAX_WORDS];
  uint32_t count;
};

static struct bd_controller_limits limits = { .dead_after_ms = 3000,
                                              .controller_bound_ms = 5000,
                                              .report_lag_ms = 500,
                                              .drain_ms = 2000,
                                              .loads_at_once = 8,
                                              .order_retry_ms = 1000,
                                              .load_ms = 20000,
                                              .join_ms = 1000,
                                              .downtime_weight = 1,
                                              .stranded_weight = 1 };

static const char *
word (const struct line *line, uint32_t i)
{
  return i < line->count ? line->words[i] : "";
}

static uint32_t
number (const struct line *line, uint32_t i)
{
  return (uint32_t)strtoul (word (line, i), NULL, 10);
}

static void
check_expectation (const struct line *line, bool is_met, uint32_t actual)
{
  if (!is_met)
    printf ("%s:%u: expected '%s %s %s', got %u\n", line->file, line->number,
            word (line, 3), word (line, 4), word (line, 5), actual);
  CU_ASSERT_TRUE (is_met);
}

static void
add_instances (struct sim *sim, const struct line *line)
{
  for (uint32_t i = 0; i < number (line, 2); i++)
    {
      char name[BD_NAME_SIZE];
      snprintf (name, sizeof name, "%s%u", word (line, 1), i);
      sim_add_instance (sim, name, word (line, 3), word (line, 4));
    }
}

static void
for_each_in_domain (struct sim *sim, const char *domain, uint32_t stride,
                    void (*action) (struct sim_instance *instance))
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->instance_count; i++)
    if (strcmp (sim->instances[i].info.fabric_domain, domain) == 0
        && count++ % stride == 0)
      action (&sim->instances[i]);
}

static uint32_t
count_groups_of (const struct sim *sim, const char *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; sim->stored != NULL && i < sim->stored->count; i++)
    if (strcmp (sim->stored->groups[i].service, service) == 0)
      count++;
  return count;
}

static uint32_t
count_groups_at_version (const struct sim *sim, const char *version)
{
  uint32_t count = 0;

  for (uint32_t i = 0; sim->stored != NULL && i < sim->stored->count; i++)
    if (strcmp (sim->stored->groups[i].version, version) == 0)
      count++;
  return count;
}

static bool
is_in_group (const struct sim *sim, const char *instance)
{
  return sim->stored != NULL
         && bd_assignment_group_of (sim->stored, instance) != NULL;
}

/* Checks a line "at SECOND expect WHAT ...".  */
static void
check_outcome (struct sim *sim, const struct line *line)
{
  const char *what = word (line, 3);
  const char *name = word (line, 4);
  uint32_t wanted = number (line, 5);

  if (strcmp (what, "open") == 0)
    check_expectation (line, sim_count_open_groups (sim, name) == wanted,
                       sim_count_open_groups (sim, name));
  else if (strcmp (what, "open-at-least") == 0)
    check_expectation (line, sim_count_open_groups (sim, name) >= wanted,
                       sim_count_open_groups (sim, name));
  else if (strcmp (what, "groups") == 0)
    check_expectation (line, count_groups_of (sim, name) == wanted,
                       count_groups_of (sim, name));
  else if (strcmp (what, "at-version") == 0)
    check_expectation (line, count_groups_at_version (sim, name) == wanted,
                       count_groups_at_version (sim, name));
  else if (strcmp (what, "writes-at-most") == 0)
    check_expectation (line, sim->writes <= number (line, 4), sim->writes);
  else if (strcmp (what, "keeper") == 0)
    check_expectation (line, strcmp (sim->stored->controller, name) == 0, 0);
  else if (strcmp (what, "in-group") == 0)
    check_expectation (line, is_in_group (sim, name), 0);
  else if (strcmp (what, "free") == 0)
    check_expectation (line, !is_in_group (sim, name), 1);
  else if (strcmp (what, "stranded-at-most") == 0)
    check_expectation (line, sim->stranded_ms <= number (line, 4) * 1000.0,
                       (uint32_t)(sim->stranded_ms / 1000));
  else if (strcmp (what, "old-orders-refused") == 0)
    check_expectation (line, sim->stale_orders_rejected >= number (line, 4),
                       sim->stale_orders_rejected);
  else if (strcmp (what, "old-orders-obeyed") == 0)
    check_expectation (line, sim->stale_orders_executed >= number (line, 4),
                       sim->stale_orders_executed);
  else if (strcmp (what, "cut-calls") == 0)
    check_expectation (line, sim->aborted_calls == number (line, 4),
                       sim->aborted_calls);
  else
    check_expectation (line, false, 0);
}

static bool
apply_instance_event (struct sim *sim, const char *event,
                      const struct line *line)
{
  struct sim_instance *instance = sim_instance (sim, word (line, 3));

  if (instance == NULL)
    return false;
  if (strcmp (event, "kill") == 0)
    sim_kill_instance (instance);
  else if (strcmp (event, "revive") == 0)
    sim_revive_instance (instance);
  else if (strcmp (event, "pause") == 0)
    instance->is_paused = true;
  else if (strcmp (event, "resume") == 0)
    instance->is_paused = false;
  else if (strcmp (event, "leave") == 0)
    instance->info.is_leaving = true;
  else if (strcmp (event, "unlist") == 0)
    instance->is_listed = false;
  else if (strcmp (event, "relist") == 0)
    {
      instance->is_listed = true;
      instance->info.is_leaving = false;
    }
  else if (strcmp (event, "running") == 0)
    instance->running = number (line, 4);
  else if (strcmp (event, "slow-load") == 0)
    instance->load_left_ms += 1000.0 * number (line, 4);
  else if (strcmp (event, "replace") == 0)
    {
      char domain[BD_NAME_SIZE];
      char pool[BD_NAME_SIZE];
      bd_name_copy (domain, instance->info.fabric_domain);
      bd_name_copy (pool, instance->info.pool);
      sim_kill_instance (instance);
      instance->is_listed = false;
      sim_add_instance (sim, word (line, 4), domain, pool);
    }
  else if (strcmp (event, "reuse-address") == 0)
    sim_reuse_address (sim, instance, word (line, 4), word (line, 5));
  else
    return false;
  return true;
}

static bool
apply_controller_event (struct sim *sim, const char *event,
                        const struct line *line)
{
  struct sim_controller *controller = sim_controller (sim, word (line, 3));

  if (controller == NULL)
    return false;
  if (strcmp (event, "pause-keeper") == 0)
    controller->is_paused = true;
  else if (strcmp (event, "pause-keeper-with-orders") == 0)
    {
      sim_delay_orders (sim, controller);
      controller->is_paused = true;
    }
  else if (strcmp (event, "wake-keeper") == 0)
    {
      sim_deliver_delayed_orders (sim, controller);
      controller->is_paused = false;
    }
  else if (strcmp (event, "kill-keeper") == 0)
    controller->is_alive = false;
  else if (strcmp (event, "cut-keeper") == 0)
    controller->is_cut_off = true;
  else if (strcmp (event, "join-keeper") == 0)
    controller->is_cut_off = false;
  else
    return false;
  return true;
}

static bool
apply_sim_event (struct sim *sim, const char *event, const struct line *line)
{
  if (strcmp (event, "dark") == 0)
    for_each_in_domain (sim, word (line, 3), 1, sim_kill_instance);
  else if (strcmp (event, "light") == 0)
    for_each_in_domain (sim, word (line, 3), 1, sim_revive_instance);
  else if (strcmp (event, "half-light") == 0)
    for_each_in_domain (sim, word (line, 3), 2, sim_revive_instance);
  else if (strcmp (event, "platform-down") == 0)
    sim->is_platform_down = true;
  else if (strcmp (event, "part-keepers") == 0)
    sim->are_controllers_partitioned = true;
  else if (strcmp (event, "meet-keepers") == 0)
    sim->are_controllers_partitioned = false;
  else if (strcmp (event, "platform-up") == 0)
    sim->is_platform_down = false;
  else if (strcmp (event, "lose-answers") == 0)
    sim->replies_to_lose = number (line, 3);
  else if (strcmp (event, "version") == 0)
    bd_name_copy (sim->services[number (line, 3)].version, word (line, 4));
  else if (strcmp (event, "fences-checked") == 0)
    sim->services[number (line, 3)].engines_check_fence = true;
  else if (strcmp (event, "replicas") == 0)
    sim->services[number (line, 3)].replicas = number (line, 4);
  else if (strcmp (event, "list-lag") == 0)
    sim->list_lag_ms = number (line, 3);
  else if (strcmp (event, "report-lag") == 0)
    sim->report_lag_ms = number (line, 3);
  else if (strcmp (event, "ignore-fences") == 0)
    for (uint32_t i = 0; i < sim->instance_count; i++)
      sim->instances[i].checks_fence = false;
  else
    return false;
  return true;
}

/* Runs the simulation up to the time of a line "at SECOND EVENT ...", then
   applies the event.  */
static void
apply_event (struct sim *sim, const struct line *line)
{
  const char *event = word (line, 2);

  sim_run (sim, (int64_t)number (line, 1) * 1000 - sim->now_ms);
  if (strcmp (event, "expect") == 0)
    check_outcome (sim, line);
  else if (!apply_instance_event (sim, event, line)
           && !apply_controller_event (sim, event, line)
           && !apply_sim_event (sim, event, line))
    check_expectation (line, false, 0);
}

static void
apply_line (struct sim *sim, const struct line *line)
{
  const char *first = word (line, 0);

  if (strcmp (first, "units") == 0)
    add_instances (sim, line);
  else if (strcmp (first, "keeper") == 0)
    sim_add_controller (sim, word (line, 1), &limits, &bd_repair_by_cost);
  else if (strcmp (first, "service") == 0)
    sim_add_service (sim, word (line, 1), word (line, 2), number (line, 3),
                     number (line, 4), number (line, 5));
  else if (strcmp (first, "at") == 0)
    apply_event (sim, line);
  else
    check_expectation (line, false, 0);
}

static bool
split (char *text, struct line *line)
{
  char *rest = NULL;

  line->count = 0;
  text[strcspn (text, "#\n")] = '\0';
  for (char *w = strtok_r (text, " \t", &rest);
       w != NULL && line->count < MAX_WORDS; w = strtok_r (NULL, " \t", &rest))
    line->words[line->count++] = w;
  return line->count > 0;
}

static void
replay (const char *path)
{
  FILE *file = fopen (path, "r");
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);
  struct line line = { .file = path };
  char text[LINE_SIZE];

  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  sim_init (sim, ctx, 1);
  while (fgets (text, sizeof text, file) != NULL)
    {
      line.number++;
      if (split (text, &line))
        apply_line (sim, &line);
      if (sim->violation != NULL)
        {
          printf ("%s:%u: %s\n", path, line.number, sim->violation);
          CU_FAIL ("an invariant was broken");
          break;
        }
    }
  fclose (file);
  sim_finish (sim);
  talloc_free (ctx);
}

static int
is_trace (const struct dirent *entry)
{
  const char *dot = strrchr (entry->d_name, '.');

  return dot != NULL && strcmp (dot, ".trace") == 0;
}

static void
test_traces (void)
{
  struct dirent **names;
  int count = scandir (TRACES, &names, is_trace, alphasort);

  CU_ASSERT_TRUE_FATAL (count > 0);
  for (int i = 0; i < count; i++)
    {
      char path[512];
      snprintf (path, sizeof path, TRACES "/%s", names[i]->d_name);
      replay (path);
      free (names[i]);
    }
  free (names);
}

static struct bd_assignment *
make_two_groups (void *ctx, const char *shared)
{
  struct bd_assignment *a = talloc_zero (ctx, struct bd_assignment);

  bd_name_copy (a->data_centre, "centre");
  bd_name_copy (a->controller, "k");
  a->term = 3;
  a->sequence = 17;
  for (uint32_t g = 0; g < 2; g++)
    {
      struct bd_group *group = bd_assignment_add_group (a, 2);
      snprintf (group->id, sizeof group->id, "g%u", g);
      group->incarnation = 5 + g;
      snprintf (group->members[0], BD_NAME_SIZE, "u%u", g);
      bd_name_copy (group->members[1], g == 0 ? "v" : shared);
    }
  return a;
}

static void
test_assignment_rejects_shared_instance (void)
{
  void *ctx = talloc_new (NULL);

  CU_ASSERT_TRUE (bd_assignment_is_valid (make_two_groups (ctx, "w")));
  CU_ASSERT_FALSE (bd_assignment_is_valid (make_two_groups (ctx, "v")));
  talloc_free (ctx);
}

/* No other could replace it.  */
static void
test_assignment_without_a_next_term_is_taken (void)
{
  static const char *const keys[] = { "term", "sequence" };
  static const int64_t numbers[] = { INT64_MAX, INT64_MAX - 1, INT64_MIN, -1 };

  for (size_t k = 0; k < 2; k++)
    for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
      {
        json_t *value
            = json_pack ("{s:s,s:s,s:i,s:[]}", "data_centre", "north",
                         "keeper", "a", keys[1 - k], 1, "groups");

        json_object_set_new (value, keys[k], json_integer (numbers[i]));
        CU_ASSERT_PTR_NULL (bd_assignment_from_json (NULL, value));
        json_decref (value);
      }
}

/* A group takes more memory than its text, and talloc returns no more than
   256 MB at once.  */
static void
test_assignment_of_empty_groups_ends_the_process (void)
{
  enum
  {
    GROUPS = 1000000
  };
  json_t *groups = json_array ();
  json_t *group = json_object ();
  json_t *value;

  for (uint32_t i = 0; i < GROUPS; i++)
    json_array_append (groups, group);
  value = json_pack ("{s:s,s:s,s:i,s:i,s:o}", "data_centre", "north", "keeper",
                     "a", "term", 1, "sequence", 1, "groups", groups);
  CU_ASSERT_PTR_NULL (bd_assignment_from_json (NULL, value));
  json_decref (value);
  json_decref (group);
}

/* The same of the members of one group.  */
static void
test_assignment_of_a_huge_group_ends_the_process (void)
{
  enum
  {
    MEMBERS = 5000000
  };
  json_t *members = json_array ();
  json_t *member = json_string ("u0");
  json_t *value;

  for (uint32_t i = 0; i < MEMBERS; i++)
    json_array_append (members, member);
  value = json_pack ("{s:s,s:s,s:i,s:i,s:[{s:s,s:o}]}", "data_centre", "north",
                     "keeper", "a", "term", 1, "sequence", 1, "groups", "id",
                     "g", "members", members);
  CU_ASSERT_PTR_NULL (bd_assignment_from_json (NULL, value));
  json_decref (value);
  json_decref (member);
}

static void
test_assignment_json_round_trip (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_assignment *a = make_two_groups (ctx, "w");
  json_t *value;
  struct bd_assignment *b;

  a->groups[1].drain = BD_DRAIN_VERSION;
  value = bd_assignment_to_json (a);
  b = bd_assignment_from_json (ctx, value);
  CU_ASSERT_PTR_NOT_NULL_FATAL (b);
  CU_ASSERT_EQUAL (b->term, 3);
  CU_ASSERT_EQUAL (b->sequence, 17);
  CU_ASSERT_EQUAL (b->count, 2);
  CU_ASSERT_EQUAL (b->groups[1].incarnation, 6);
  CU_ASSERT_EQUAL (b->groups[1].drain, BD_DRAIN_VERSION);
  CU_ASSERT_STRING_EQUAL (b->groups[1].members[1], "w");
  json_decref (value);
  value = bd_assignment_to_json (make_two_groups (ctx, "v"));
  CU_ASSERT_PTR_NULL (bd_assignment_from_json (ctx, value));
  json_decref (value);
  talloc_free (ctx);
}

static const struct bd_received_report *
find_report (void *ctx, const char *instance)
{
  struct bd_received_report *reports = ctx;

  return &reports[instance[0] == 'v' ? 1 : 0];
}

static void
test_gate (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_assignment *a = make_two_groups (ctx, "w");
  struct bd_group *group = &a->groups[0];
  struct bd_received_report reports[2];

  memset (reports, 0, sizeof reports);
  for (uint32_t i = 0; i < 2; i++)
    {
      reports[i].has_report = true;
      reports[i].last_received_ms = 1000;
      reports[i].report.phase = BD_PHASE_READY;
      reports[i].report.incarnation = 5;
      bd_name_copy (reports[i].report.group, "g0");
    }
  CU_ASSERT_EQUAL (bd_gate_check (group, find_report, reports, 3000, 2000),
                   BD_GATE_OPEN);
  CU_ASSERT_EQUAL (bd_gate_check (group, find_report, reports, 3001, 2000),
                   BD_GATE_CLOSED);
  reports[1].is_leaving = true;
  CU_ASSERT_EQUAL (bd_gate_check (group, find_report, reports, 3000, 2000),
                   BD_GATE_LEAVING);
  reports[1].is_leaving = false;
  reports[1].report.incarnation = 4;
  CU_ASSERT_EQUAL (bd_gate_check (group, find_report, reports, 3000, 2000),
                   BD_GATE_CLOSED);
  reports[1].report.incarnation = 5;
  group->drain = BD_DRAIN_MEMBER;
  CU_ASSERT_EQUAL (bd_gate_check (group, find_report, reports, 3000, 2000),
                   BD_GATE_DRAINING);
  talloc_free (ctx);
}

static void
test_report_of_another_instance (void)
{
  struct bd_received_report received = { 0 };
  struct bd_report own = { .instance = "u0", .phase = BD_PHASE_READY };
  struct bd_report other = { .instance = "n0", .phase = BD_PHASE_READY };
  struct bd_report nameless = { .phase = BD_PHASE_READY };

  CU_ASSERT_FALSE (bd_received_report_update (&received, "u0", &other, 1000));
  CU_ASSERT_FALSE (received.has_report);
  CU_ASSERT_TRUE (bd_received_report_update (&received, "u0", &own, 2000));
  CU_ASSERT_TRUE (received.has_report);
  /* A probe that was sent earlier says nothing of who is there now.  */
  CU_ASSERT_FALSE (bd_received_report_update (&received, "u0", &other, 1500));
  CU_ASSERT_TRUE (received.has_report);
  CU_ASSERT_FALSE (bd_received_report_update (&received, "u0", &other, 3000));
  CU_ASSERT_FALSE (received.has_report);
  /* Nor does another prober's earlier report bring the instance back.  */
  CU_ASSERT_FALSE (bd_received_report_update (&received, "u0", &own, 2500));
  CU_ASSERT_FALSE (received.has_report);
  CU_ASSERT_TRUE (bd_received_report_update (&received, "u0", &own, 4000));
  CU_ASSERT_FALSE (
      bd_received_report_update (&received, "u0", &nameless, 5000));
  CU_ASSERT_FALSE (received.has_report);
}

static void
test_report_parse (void)
{
  static const char body[]
      = "{\"instance\": \"u0\", \"phase\": \"ready\", \"group\": \"g\", "
        "\"incarnation\": 5}";
  struct bd_report report;

  CU_ASSERT_TRUE_FATAL (bd_report_parse (body, sizeof body - 1, &report));
  CU_ASSERT_TRUE (bd_report_is_from (&report, "u0"));
  CU_ASSERT_FALSE (bd_report_is_from (&report, "u1"));
  CU_ASSERT_TRUE (bd_report_is_member (&report, "g", 5));
}

static void
test_report_with_an_odd_field_counts_as_none (void)
{
  static const char body[]
      = "{\"instance\": \"u0\", \"phase\": \"ready\", \"group\": \"g\", "
        "\"incarnation\": 5, \"running\": 1e999, \"note\": NaN}";
  struct bd_report report;

  CU_ASSERT_TRUE_FATAL (bd_report_parse (body, sizeof body - 1, &report));
  CU_ASSERT_TRUE (bd_report_is_from (&report, "u0"));
  CU_ASSERT_TRUE (bd_report_is_member (&report, "g", 5));
  CU_ASSERT_EQUAL (report.running, 0);
}

static void
test_report_count_above_32_bits_is_cut (void)
{
  static const char body[] = "{\"instance\": \"u0\", \"running\": 4294967296}";
  struct bd_report report;

  CU_ASSERT_TRUE_FATAL (bd_report_parse (body, sizeof body - 1, &report));
  CU_ASSERT_EQUAL (report.running, UINT32_MAX);
}

/* A report of an earlier incarnation comes in after the member has joined a
   later one; then the member restarts, and the group does not go on as it is.
 */
static void
test_restart_after_older_report (void)
{
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);
  struct sim_controller *controller;
  struct sim_instance *member;
  struct bd_report older;
  int64_t incarnation;

  sim_init (sim, ctx, 1);
  member = sim_add_instance (sim, "u0", "A", "p");
  sim_add_instance (sim, "u1", "A", "p");
  sim_add_service (sim, "s", "p", 2, 1, 1);
  controller = sim_add_controller (sim, "k1", &limits, &bd_repair_by_cost);
  sim_run (sim, 60000);
  CU_ASSERT_EQUAL_FATAL (sim_count_open_groups (sim, "s"), 1);
  incarnation = sim->stored->groups[0].incarnation;
  older = member->report;
  older.incarnation--;
  bd_controller_add_report (&controller->controller, "u0", &older, sim->now_ms,
                            sim->now_ms);
  sim_kill_instance (member);
  sim_revive_instance (member);
  sim_run (sim, limits.dead_after_ms);
  CU_ASSERT_TRUE (sim->stored->count == 0
                  || sim->stored->groups[0].incarnation > incarnation);
  CU_ASSERT_PTR_NULL (sim->violation);
  sim_finish (sim);
  talloc_free (ctx);
}

/* The write of a drain takes effect, but its reply is lost and the platform is
   down when the controller reads back.  No daemon can learn of the drain
   before the controller does, so the drain counts from then.  */
static void
test_drain_counts_from_confirmation (void)
{
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);

  sim_init (sim, ctx, 1);
  sim_add_instance (sim, "u0", "A", "p");
  sim_add_instance (sim, "u1", "A", "p");
  sim_add_service (sim, "s", "p", 2, 1, 1);
  sim_add_controller (sim, "k1", &limits, &bd_repair_by_cost);
  sim_run (sim, 60000);
  bd_name_copy (sim->services[0].version, "2");
  sim->replies_to_lose = 1;
  sim_run (sim, sim->step_ms);
  CU_ASSERT_EQUAL_FATAL (sim->stored->groups[0].drain, BD_DRAIN_VERSION);
  sim->is_platform_down = true;
  sim_run (sim, 2 * limits.drain_ms);
  sim->is_platform_down = false;
  sim_run (sim, limits.drain_ms - sim->step_ms);
  CU_ASSERT_EQUAL (sim->stored->groups[0].drain, BD_DRAIN_VERSION);
  sim_run (sim, limits.drain_ms);
  CU_ASSERT_EQUAL (sim->stored->groups[0].drain, BD_DRAIN_NONE);
  CU_ASSERT_STRING_EQUAL (sim->stored->groups[0].version, "2");
  sim_finish (sim);
  talloc_free (ctx);
}

/* The first plans after the stall come before any report.  */
static void
test_stalled_controller_ends_no_drain (void)
{
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);
  struct sim_controller *controller;
  int64_t incarnation;

  sim_init (sim, ctx, 1);
  for (uint32_t i = 0; i < 3; i++)
    {
      char name[BD_NAME_SIZE];
      snprintf (name, sizeof name, "u%u", i);
      sim_add_instance (sim, name, "A", "p");
    }
  sim_add_service (sim, "s", "p", 2, 1, 1);
  controller = sim_add_controller (sim, "k1", &limits, &bd_repair_by_cost);
  sim_run (sim, 60000);
  CU_ASSERT_EQUAL_FATAL (sim_count_open_groups (sim, "s"), 1);
  incarnation = sim->stored->groups[0].incarnation;
  sim_instance (sim, sim->stored->groups[0].members[0])->running = 3;
  sim_instance (sim, sim->stored->groups[0].members[1])->is_listed = false;
  sim_run (sim, 2 * limits.drain_ms);
  CU_ASSERT_EQUAL (sim->stored->groups[0].drain, BD_DRAIN_MEMBER);
  controller->is_paused = true;
  sim_run (sim, limits.dead_after_ms + 1000);
  controller->is_paused = false;
  controller->is_cut_off_from_instances = true;
  sim_run (sim, 3 * sim->step_ms);
  controller->is_cut_off_from_instances = false;
  sim_run (sim, 10000);
  CU_ASSERT_EQUAL (sim->aborted_calls, 0);
  CU_ASSERT_EQUAL_FATAL (sim->stored->count, 1);
  CU_ASSERT_EQUAL (sim->stored->groups[0].incarnation, incarnation);
  CU_ASSERT_PTR_NULL (sim->violation);
  sim_finish (sim);
  talloc_free (ctx);
}

static uint32_t
count_routable_groups (struct sim *sim)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->stored->count; i++)
    if (sim->stored->groups[i].drain == BD_DRAIN_NONE
        && sim_is_group_open (sim, &sim->stored->groups[i]))
      count++;
  return count;
}

/* Those of the given size and version that take calls.  */
static uint32_t
count_changed_groups (struct sim *sim, uint32_t members, const char *version)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->stored->count; i++)
    if (sim->stored->groups[i].member_count == members
        && strcmp (sim->stored->groups[i].version, version) == 0
        && sim->stored->groups[i].drain == BD_DRAIN_NONE
        && sim_is_group_open (sim, &sim->stored->groups[i]))
      count++;
  return count;
}

static void
start_two_groups (struct sim *sim, uint32_t instances)
{
  for (uint32_t i = 0; i < instances; i++)
    {
      char name[BD_NAME_SIZE];
      snprintf (name, sizeof name, "u%u", i);
      sim_add_instance (sim, name, "A", "p");
    }
  sim_add_service (sim, "s", "p", 2, 2, 1);
  sim_add_controller (sim, "k1", &limits, &bd_repair_by_cost);
  sim_run (sim, 60000);
  CU_ASSERT_EQUAL_FATAL (count_routable_groups (sim), 2);
}

/* Changes the members of a service from 2 to 3, and its version.  Returns the
   lowest number of groups that took calls in that time.  */
static uint32_t
resize_groups (struct sim *sim, uint32_t instances, const char *version)
{
  uint32_t lowest = 2;

  start_two_groups (sim, instances);
  sim->services[0].members = 3;
  bd_name_copy (sim->services[0].version, version);
  for (int64_t until_ms = sim->now_ms + 120000; sim->now_ms < until_ms;)
    {
      uint32_t routable;
      sim_run (sim, sim->step_ms);
      routable = count_routable_groups (sim);
      lowest = routable < lowest ? routable : lowest;
    }
  for (uint32_t i = 0; i < sim->stored->count; i++)
    {
      CU_ASSERT_EQUAL (sim->stored->groups[i].member_count, 3);
      CU_ASSERT_STRING_EQUAL (sim->stored->groups[i].version, version);
    }
  CU_ASSERT_PTR_NULL (sim->violation);
  return lowest;
}

static void
check_resized_groups_change_in_turn (const char *version)
{
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);

  sim_init (sim, ctx, 1);
  CU_ASSERT_EQUAL (resize_groups (sim, 6, version), 1);
  CU_ASSERT_EQUAL (count_routable_groups (sim), 2);
  sim_finish (sim);
  talloc_free (ctx);
}

static void
test_resized_groups_change_in_turn (void)
{
  check_resized_groups_change_in_turn ("1");
}

static void
test_resized_groups_of_new_version_change_in_turn (void)
{
  check_resized_groups_change_in_turn ("2");
}

/* The other daemons learn later than the controller that the first changed
   group is open.  Until they do, the second one has to take their calls.  */
static void
check_both_groups_are_open_between_changes (uint32_t members,
                                            const char *version)
{
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);
  int64_t opened_ms = 0;

  sim_init (sim, ctx, 1);
  start_two_groups (sim, 6);
  sim->services[0].members = members;
  bd_name_copy (sim->services[0].version, version);
  for (int64_t until_ms = sim->now_ms + 120000; sim->now_ms < until_ms;)
    {
      sim_run (sim, sim->step_ms);
      if (opened_ms > 0 && count_routable_groups (sim) < 2)
        break;
      if (opened_ms == 0 && count_changed_groups (sim, members, version) > 0)
        opened_ms = sim->now_ms;
    }
  CU_ASSERT_EQUAL (count_routable_groups (sim), 1);
  CU_ASSERT_TRUE (opened_ms > 0);
  CU_ASSERT_TRUE (sim->now_ms - opened_ms >= limits.drain_ms);
  sim_finish (sim);
  talloc_free (ctx);
}

static void
test_versions_change_when_all_know_of_the_last (void)
{
  check_both_groups_are_open_between_changes (2, "2");
}

static void
test_sizes_change_when_all_know_of_the_last (void)
{
  check_both_groups_are_open_between_changes (3, "1");
}

/* The instances of one group don't suffice for a larger one.  */
static void
test_resize_without_spares_ends (void)
{
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);

  sim_init (sim, ctx, 1);
  resize_groups (sim, 4, "1");
  CU_ASSERT_EQUAL (count_routable_groups (sim), 1);
  sim_finish (sim);
  talloc_free (ctx);
}

/* An order for a lost instance is sent to its address, where another instance
   is by then, of another pool.  */
static void
test_order_to_reused_address (void)
{
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);
  struct sim_controller *controller;
  struct sim_instance *newcomer;
  struct bd_report report;

  sim_init (sim, ctx, 1);
  sim_add_instance (sim, "u0", "A", "p");
  sim_add_instance (sim, "u1", "A", "p");
  sim_add_service (sim, "s", "p", 2, 1, 1);
  controller = sim_add_controller (sim, "k1", &limits, &bd_repair_by_cost);
  sim_run (sim, 60000);
  sim_delay_orders (sim, controller);
  CU_ASSERT_EQUAL (controller->delayed_order_count, 2);
  newcomer = sim_reuse_address (sim, sim_instance (sim, "u0"), "n0", "q");
  report = newcomer->report;
  sim_deliver_delayed_orders (sim, controller);
  CU_ASSERT_EQUAL (memcmp (&report, &newcomer->report, sizeof report), 0);
  CU_ASSERT_EQUAL (sim->misdirected_orders_rejected, 1);
  sim_finish (sim);
  talloc_free (ctx);
}

static const struct unit_test tests[] = {
  { "an assignment with a shared instance is invalid",
    test_assignment_rejects_shared_instance },
  { "an assignment without a next term is taken",
    test_assignment_without_a_next_term_is_taken },
  { "an assignment of empty groups ends the process",
    test_assignment_of_empty_groups_ends_the_process },
  { "an assignment of a huge group ends the process",
    test_assignment_of_a_huge_group_ends_the_process },
  { "an assignment survives a JSON round trip",
    test_assignment_json_round_trip },
  { "gate states", test_gate },
  { "a report counts only for the instance that made it",
    test_report_of_another_instance },
  { "a report names its instance", test_report_parse },
  { "a report with an odd field counts as none",
    test_report_with_an_odd_field_counts_as_none },
  { "a report's count above 32 bits is cut",
    test_report_count_above_32_bits_is_cut },
  { "an older report hides no restart", test_restart_after_older_report },
  { "a drain counts from its confirmation",
    test_drain_counts_from_confirmation },
  { "a stall of the controller ends no drain with running requests",
    test_stalled_controller_ends_no_drain },
  { "groups of a new size change one after the other",
    test_resized_groups_change_in_turn },
  { "groups of a new size and version change one after the other",
    test_resized_groups_of_new_version_change_in_turn },
  { "a version changes when all daemons can know of the changed group",
    test_versions_change_when_all_know_of_the_last },
  { "a size changes when all daemons can know of the changed group",
    test_sizes_change_when_all_know_of_the_last },
  { "groups of a new size change without spares",
    test_resize_without_spares_ends },
  { "an order for another instance is refused", test_order_to_reused_address },
  { "traces", test_traces },
};

int
main (void)
{
  return UNIT_RUN ("groups", tests);
}

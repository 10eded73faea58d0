/* Tests of the groups slice, and the replay of traces.

   A trace is a file of lines: what there is, then events and stated outcomes
   at their seconds (see tests/traces/README.md).  */

#include "tests/unit.h"

#include "tests/fakes/world.h"

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

static struct bd_keeper_limits limits = { .dead_after_ms = 3000,
                                          .keeper_bound_ms = 5000,
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
expect (const struct line *line, bool holds, uint32_t seen)
{
  if (!holds)
    printf ("%s:%u: '%s %s %s' does not hold: %u\n", line->file, line->number,
            word (line, 3), word (line, 4), word (line, 5), seen);
  CU_ASSERT_TRUE (holds);
}

static void
add_units (struct sim *sim, const struct line *line)
{
  for (uint32_t i = 0; i < number (line, 2); i++)
    {
      char name[BD_NAME_SIZE];
      snprintf (name, sizeof name, "%s%u", word (line, 1), i);
      sim_add_instance (sim, name, word (line, 3), word (line, 4));
    }
}

static void
for_domain (struct sim *sim, const char *domain, uint32_t every,
            void (*act) (struct sim_instance *unit))
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->instance_count; i++)
    if (strcmp (sim->instances[i].info.fabric_domain, domain) == 0
        && count++ % every == 0)
      act (&sim->instances[i]);
}

static uint32_t
groups_of (const struct sim *sim, const char *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; sim->stored != NULL && i < sim->stored->count; i++)
    if (strcmp (sim->stored->groups[i].service, service) == 0)
      count++;
  return count;
}

static uint32_t
groups_at_version (const struct sim *sim, const char *version)
{
  uint32_t count = 0;

  for (uint32_t i = 0; sim->stored != NULL && i < sim->stored->count; i++)
    if (strcmp (sim->stored->groups[i].version, version) == 0)
      count++;
  return count;
}

static bool
is_in_group (const struct sim *sim, const char *unit)
{
  return sim->stored != NULL
         && bd_allotment_group_of (sim->stored, unit) != NULL;
}

/* "at SECOND expect WHAT ..."  */
static void
check_outcome (struct sim *sim, const struct line *line)
{
  const char *what = word (line, 3);
  const char *name = word (line, 4);
  uint32_t wanted = number (line, 5);

  if (strcmp (what, "open") == 0)
    expect (line, sim_count_open_groups (sim, name) == wanted,
            sim_count_open_groups (sim, name));
  else if (strcmp (what, "open-at-least") == 0)
    expect (line, sim_count_open_groups (sim, name) >= wanted,
            sim_count_open_groups (sim, name));
  else if (strcmp (what, "groups") == 0)
    expect (line, groups_of (sim, name) == wanted, groups_of (sim, name));
  else if (strcmp (what, "at-version") == 0)
    expect (line, groups_at_version (sim, name) == wanted,
            groups_at_version (sim, name));
  else if (strcmp (what, "writes-at-most") == 0)
    expect (line, sim->writes <= number (line, 4), sim->writes);
  else if (strcmp (what, "keeper") == 0)
    expect (line, strcmp (sim->stored->keeper, name) == 0, 0);
  else if (strcmp (what, "in-group") == 0)
    expect (line, is_in_group (sim, name), 0);
  else if (strcmp (what, "free") == 0)
    expect (line, !is_in_group (sim, name), 1);
  else if (strcmp (what, "stranded-at-most") == 0)
    expect (line, sim->stranded_ms <= number (line, 4) * 1000.0,
            (uint32_t)(sim->stranded_ms / 1000));
  else if (strcmp (what, "old-orders-refused") == 0)
    expect (line, sim->stale_orders_rejected >= number (line, 4),
            sim->stale_orders_rejected);
  else if (strcmp (what, "old-orders-obeyed") == 0)
    expect (line, sim->stale_orders_executed >= number (line, 4),
            sim->stale_orders_executed);
  else if (strcmp (what, "cut-calls") == 0)
    expect (line, sim->aborted_calls == number (line, 4), sim->aborted_calls);
  else
    expect (line, false, 0);
}

static bool
unit_event (struct sim *sim, const char *event, const struct line *line)
{
  struct sim_instance *unit = sim_instance (sim, word (line, 3));

  if (unit == NULL)
    return false;
  if (strcmp (event, "kill") == 0)
    sim_kill_instance (unit);
  else if (strcmp (event, "revive") == 0)
    sim_revive_instance (unit);
  else if (strcmp (event, "pause") == 0)
    unit->is_paused = true;
  else if (strcmp (event, "resume") == 0)
    unit->is_paused = false;
  else if (strcmp (event, "leave") == 0)
    unit->info.is_leaving = true;
  else if (strcmp (event, "unlist") == 0)
    unit->is_listed = false;
  else if (strcmp (event, "relist") == 0)
    {
      unit->is_listed = true;
      unit->info.is_leaving = false;
    }
  else if (strcmp (event, "running") == 0)
    unit->running = number (line, 4);
  else if (strcmp (event, "slow-load") == 0)
    unit->load_left_ms += 1000.0 * number (line, 4);
  else if (strcmp (event, "replace") == 0)
    {
      char domain[BD_NAME_SIZE];
      char pool[BD_NAME_SIZE];
      bd_name_copy (domain, unit->info.fabric_domain);
      bd_name_copy (pool, unit->info.pool);
      sim_kill_instance (unit);
      unit->is_listed = false;
      sim_add_instance (sim, word (line, 4), domain, pool);
    }
  else
    return false;
  return true;
}

static bool
keeper_event (struct sim *sim, const char *event, const struct line *line)
{
  struct sim_controller *keeper = sim_controller (sim, word (line, 3));

  if (keeper == NULL)
    return false;
  if (strcmp (event, "pause-keeper") == 0)
    keeper->is_paused = true;
  else if (strcmp (event, "pause-keeper-with-orders") == 0)
    {
      sim_delay_orders (sim, keeper);
      keeper->is_paused = true;
    }
  else if (strcmp (event, "wake-keeper") == 0)
    {
      sim_deliver_delayed_orders (sim, keeper);
      keeper->is_paused = false;
    }
  else if (strcmp (event, "kill-keeper") == 0)
    keeper->is_alive = false;
  else if (strcmp (event, "cut-keeper") == 0)
    keeper->is_cut_off = true;
  else if (strcmp (event, "join-keeper") == 0)
    keeper->is_cut_off = false;
  else
    return false;
  return true;
}

static bool
world_event (struct sim *sim, const char *event, const struct line *line)
{
  if (strcmp (event, "dark") == 0)
    for_domain (sim, word (line, 3), 1, sim_kill_instance);
  else if (strcmp (event, "light") == 0)
    for_domain (sim, word (line, 3), 1, sim_revive_instance);
  else if (strcmp (event, "half-light") == 0)
    for_domain (sim, word (line, 3), 2, sim_revive_instance);
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
  else if (strcmp (event, "ignore-fences") == 0)
    for (uint32_t i = 0; i < sim->instance_count; i++)
      sim->instances[i].checks_fence = false;
  else
    return false;
  return true;
}

/* "at SECOND EVENT ..."  */
static void
do_event (struct sim *sim, const struct line *line)
{
  const char *event = word (line, 2);

  sim_run (sim, (int64_t)number (line, 1) * 1000 - sim->now_ms);
  if (strcmp (event, "expect") == 0)
    check_outcome (sim, line);
  else if (!unit_event (sim, event, line) && !keeper_event (sim, event, line)
           && !world_event (sim, event, line))
    expect (line, false, 0);
}

static void
do_line (struct sim *sim, const struct line *line)
{
  const char *first = word (line, 0);

  if (strcmp (first, "units") == 0)
    add_units (sim, line);
  else if (strcmp (first, "keeper") == 0)
    sim_add_controller (sim, word (line, 1), &limits, &bd_mend_by_cost);
  else if (strcmp (first, "service") == 0)
    sim_add_service (sim, word (line, 1), word (line, 2), number (line, 3),
                     number (line, 4), number (line, 5));
  else if (strcmp (first, "at") == 0)
    do_event (sim, line);
  else
    expect (line, false, 0);
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
        do_line (sim, &line);
      if (sim->violation != NULL)
        {
          printf ("%s:%u: %s\n", path, line.number, sim->violation);
          CU_FAIL ("a rule was broken");
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

static struct bd_allotment *
two_groups (void *ctx, const char *shared)
{
  struct bd_allotment *a = talloc_zero (ctx, struct bd_allotment);

  bd_name_copy (a->data_centre, "centre");
  bd_name_copy (a->keeper, "k");
  a->term = 3;
  a->sequence = 17;
  for (uint32_t g = 0; g < 2; g++)
    {
      struct bd_group *group = bd_allotment_add (a, 2);
      snprintf (group->id, sizeof group->id, "g%u", g);
      group->incarnation = 5 + g;
      snprintf (group->members[0], BD_NAME_SIZE, "u%u", g);
      bd_name_copy (group->members[1], g == 0 ? "v" : shared);
    }
  return a;
}

static void
test_allotment_refuses_shared_instance (void)
{
  void *ctx = talloc_new (NULL);

  CU_ASSERT_TRUE (bd_allotment_check (two_groups (ctx, "w")));
  CU_ASSERT_FALSE (bd_allotment_check (two_groups (ctx, "v")));
  talloc_free (ctx);
}

static void
test_allotment_json_round_trip (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_allotment *a = two_groups (ctx, "w");
  json_t *value;
  struct bd_allotment *b;

  a->groups[1].drain = BD_DRAIN_VERSION;
  value = bd_allotment_to_json (a);
  b = bd_allotment_from_json (ctx, value);
  CU_ASSERT_PTR_NOT_NULL_FATAL (b);
  CU_ASSERT_EQUAL (b->term, 3);
  CU_ASSERT_EQUAL (b->sequence, 17);
  CU_ASSERT_EQUAL (b->count, 2);
  CU_ASSERT_EQUAL (b->groups[1].incarnation, 6);
  CU_ASSERT_EQUAL (b->groups[1].drain, BD_DRAIN_VERSION);
  CU_ASSERT_STRING_EQUAL (b->groups[1].members[1], "w");
  json_decref (value);
  value = bd_allotment_to_json (two_groups (ctx, "v"));
  CU_ASSERT_PTR_NULL (bd_allotment_from_json (ctx, value));
  json_decref (value);
  talloc_free (ctx);
}

static const struct bd_sighting *
look_up_one (void *ctx, const char *instance)
{
  struct bd_sighting *sightings = ctx;

  return &sightings[instance[0] == 'v' ? 1 : 0];
}

static void
test_gate (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_allotment *a = two_groups (ctx, "w");
  struct bd_group *group = &a->groups[0];
  struct bd_sighting seen[2];

  memset (seen, 0, sizeof seen);
  for (uint32_t i = 0; i < 2; i++)
    {
      seen[i].was_heard = true;
      seen[i].heard_ms = 1000;
      seen[i].report.phase = BD_PHASE_READY;
      seen[i].report.incarnation = 5;
      bd_name_copy (seen[i].report.group, "g0");
    }
  CU_ASSERT_EQUAL (bd_gate_check (group, look_up_one, seen, 3000, 2000),
                   BD_GATE_OPEN);
  CU_ASSERT_EQUAL (bd_gate_check (group, look_up_one, seen, 3001, 2000),
                   BD_GATE_CLOSED);
  seen[1].is_leaving = true;
  CU_ASSERT_EQUAL (bd_gate_check (group, look_up_one, seen, 3000, 2000),
                   BD_GATE_LEAVING);
  seen[1].is_leaving = false;
  seen[1].report.incarnation = 4;
  CU_ASSERT_EQUAL (bd_gate_check (group, look_up_one, seen, 3000, 2000),
                   BD_GATE_CLOSED);
  seen[1].report.incarnation = 5;
  group->drain = BD_DRAIN_MEMBER;
  CU_ASSERT_EQUAL (bd_gate_check (group, look_up_one, seen, 3000, 2000),
                   BD_GATE_DRAINING);
  talloc_free (ctx);
}

static const struct unit_test tests[] = {
  { "an allotment refuses a shared instance",
    test_allotment_refuses_shared_instance },
  { "an allotment survives its JSON", test_allotment_json_round_trip },
  { "the gate", test_gate },
  { "traces", test_traces },
};

int
main (void)
{
  return UNIT_RUN ("groups", tests);
}

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
                                          .controller_bound_ms = 5000,
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
add_units (struct world *world, const struct line *line)
{
  for (uint32_t i = 0; i < number (line, 2); i++)
    {
      char name[BD_NAME_SIZE];
      snprintf (name, sizeof name, "%s%u", word (line, 1), i);
      world_add_unit (world, name, word (line, 3), word (line, 4));
    }
}

static void
for_domain (struct world *world, const char *domain, uint32_t every,
            void (*act) (struct world_unit *unit))
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < world->unit_count; i++)
    if (strcmp (world->units[i].info.fabric_domain, domain) == 0
        && count++ % every == 0)
      act (&world->units[i]);
}

static uint32_t
groups_of (const struct world *world, const char *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; world->stored != NULL && i < world->stored->count; i++)
    if (strcmp (world->stored->groups[i].service, service) == 0)
      count++;
  return count;
}

static uint32_t
groups_at_version (const struct world *world, const char *version)
{
  uint32_t count = 0;

  for (uint32_t i = 0; world->stored != NULL && i < world->stored->count; i++)
    if (strcmp (world->stored->groups[i].version, version) == 0)
      count++;
  return count;
}

static bool
is_in_group (const struct world *world, const char *unit)
{
  return world->stored != NULL
         && bd_allotment_group_of (world->stored, unit) != NULL;
}

/* "at SECOND expect WHAT ..."  */
static void
check_outcome (struct world *world, const struct line *line)
{
  const char *what = word (line, 3);
  const char *name = word (line, 4);
  uint32_t wanted = number (line, 5);

  if (strcmp (what, "open") == 0)
    expect (line, world_open_groups (world, name) == wanted,
            world_open_groups (world, name));
  else if (strcmp (what, "open-at-least") == 0)
    expect (line, world_open_groups (world, name) >= wanted,
            world_open_groups (world, name));
  else if (strcmp (what, "groups") == 0)
    expect (line, groups_of (world, name) == wanted, groups_of (world, name));
  else if (strcmp (what, "at-version") == 0)
    expect (line, groups_at_version (world, name) == wanted,
            groups_at_version (world, name));
  else if (strcmp (what, "writes-at-most") == 0)
    expect (line, world->writes <= number (line, 4), world->writes);
  else if (strcmp (what, "keeper") == 0)
    expect (line, strcmp (world->stored->keeper, name) == 0, 0);
  else if (strcmp (what, "in-group") == 0)
    expect (line, is_in_group (world, name), 0);
  else if (strcmp (what, "free") == 0)
    expect (line, !is_in_group (world, name), 1);
  else if (strcmp (what, "stranded-at-most") == 0)
    expect (line, world->stranded_ms <= number (line, 4) * 1000.0,
            (uint32_t)(world->stranded_ms / 1000));
  else if (strcmp (what, "old-orders-refused") == 0)
    expect (line, world->old_orders_refused >= number (line, 4),
            world->old_orders_refused);
  else if (strcmp (what, "old-orders-obeyed") == 0)
    expect (line, world->old_orders_obeyed >= number (line, 4),
            world->old_orders_obeyed);
  else if (strcmp (what, "cut-calls") == 0)
    expect (line, world->cut_calls == number (line, 4), world->cut_calls);
  else
    expect (line, false, 0);
}

static bool
unit_event (struct world *world, const char *event, const struct line *line)
{
  struct world_unit *unit = world_unit (world, word (line, 3));

  if (unit == NULL)
    return false;
  if (strcmp (event, "kill") == 0)
    world_kill (unit);
  else if (strcmp (event, "revive") == 0)
    world_revive (unit);
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
      world_kill (unit);
      unit->is_listed = false;
      world_add_unit (world, word (line, 4), domain, pool);
    }
  else
    return false;
  return true;
}

static bool
keeper_event (struct world *world, const char *event, const struct line *line)
{
  struct world_keeper *keeper = world_keeper (world, word (line, 3));

  if (keeper == NULL)
    return false;
  if (strcmp (event, "pause-keeper") == 0)
    keeper->is_paused = true;
  else if (strcmp (event, "pause-keeper-with-orders") == 0)
    {
      world_hold_orders (world, keeper);
      keeper->is_paused = true;
    }
  else if (strcmp (event, "wake-keeper") == 0)
    {
      world_deliver_held (world, keeper);
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
world_event (struct world *world, const char *event, const struct line *line)
{
  if (strcmp (event, "dark") == 0)
    for_domain (world, word (line, 3), 1, world_kill);
  else if (strcmp (event, "light") == 0)
    for_domain (world, word (line, 3), 1, world_revive);
  else if (strcmp (event, "half-light") == 0)
    for_domain (world, word (line, 3), 2, world_revive);
  else if (strcmp (event, "platform-down") == 0)
    world->is_platform_down = true;
  else if (strcmp (event, "part-keepers") == 0)
    world->are_keepers_parted = true;
  else if (strcmp (event, "meet-keepers") == 0)
    world->are_keepers_parted = false;
  else if (strcmp (event, "platform-up") == 0)
    world->is_platform_down = false;
  else if (strcmp (event, "lose-answers") == 0)
    world->lose_answers = number (line, 3);
  else if (strcmp (event, "version") == 0)
    bd_name_copy (world->services[number (line, 3)].version, word (line, 4));
  else if (strcmp (event, "fences-checked") == 0)
    world->services[number (line, 3)].engines_check_fence = true;
  else if (strcmp (event, "replicas") == 0)
    world->services[number (line, 3)].replicas = number (line, 4);
  else if (strcmp (event, "ignore-fences") == 0)
    for (uint32_t i = 0; i < world->unit_count; i++)
      world->units[i].checks_fence = false;
  else
    return false;
  return true;
}

/* "at SECOND EVENT ..."  */
static void
do_event (struct world *world, const struct line *line)
{
  const char *event = word (line, 2);

  world_run (world, (int64_t)number (line, 1) * 1000 - world->now_ms);
  if (strcmp (event, "expect") == 0)
    check_outcome (world, line);
  else if (!unit_event (world, event, line)
           && !keeper_event (world, event, line)
           && !world_event (world, event, line))
    expect (line, false, 0);
}

static void
do_line (struct world *world, const struct line *line)
{
  const char *first = word (line, 0);

  if (strcmp (first, "units") == 0)
    add_units (world, line);
  else if (strcmp (first, "keeper") == 0)
    world_add_keeper (world, word (line, 1), &limits, &bd_mend_by_cost);
  else if (strcmp (first, "service") == 0)
    world_add_service (world, word (line, 1), word (line, 2), number (line, 3),
                       number (line, 4), number (line, 5));
  else if (strcmp (first, "at") == 0)
    do_event (world, line);
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
  struct world *world = talloc (ctx, struct world);
  struct line line = { .file = path };
  char text[LINE_SIZE];

  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  world_init (world, ctx, 1);
  while (fgets (text, sizeof text, file) != NULL)
    {
      line.number++;
      if (split (text, &line))
        do_line (world, &line);
      if (world->violation != NULL)
        {
          printf ("%s:%u: %s\n", path, line.number, world->violation);
          CU_FAIL ("a rule was broken");
          break;
        }
    }
  fclose (file);
  world_finish (world);
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

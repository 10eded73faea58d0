/* The world of the group keeper.  */

#include "tests/fakes/world.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

void
world_init (struct world *world, void *ctx, uint64_t seed)
{
  memset (world, 0, sizeof *world);
  world->ctx = ctx;
  world->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (world->rng, (unsigned long)seed);
  world->now_ms = 1000;
  world->step_ms = 100;
  world->load_ms = 20000;
  world->join_ms = 1000;
  world->loads_at_full_speed = 8;
  world->freshness_ms = 2000;
}

void
world_finish (struct world *world)
{
  for (uint32_t i = 0; i < world->keeper_count; i++)
    {
      bd_keeper_finish (&world->keepers[i].keeper);
      talloc_free (world->keepers[i].wanted);
    }
  talloc_free (world->stored);
  gsl_rng_free (world->rng);
}

struct world_unit *
world_add_unit (struct world *world, const char *name, const char *domain,
                const char *pool)
{
  struct world_unit *unit = &world->units[world->unit_count++];

  memset (unit, 0, sizeof *unit);
  bd_name_copy (unit->info.name, name);
  bd_name_copy (unit->info.fabric_domain, domain);
  bd_name_copy (unit->info.pool, pool);
  bd_name_copy (unit->info.data_centre, "centre");
  bd_name_copy (unit->info.address, "127.0.0.1");
  unit->info.port = world->unit_count;
  unit->info.accelerators = 8;
  unit->is_listed = true;
  unit->is_alive = true;
  unit->checks_fence = true;
  return unit;
}

struct world_keeper *
world_add_keeper (struct world *world, const char *name,
                  const struct bd_keeper_limits *limits,
                  const struct bd_mend_policy *policy)
{
  struct world_keeper *k = &world->keepers[world->keeper_count++];

  memset (k, 0, sizeof *k);
  bd_keeper_init (&k->keeper, "centre", name, limits);
  k->keeper.policy = policy;
  k->is_alive = true;
  return k;
}

struct bd_service *
world_add_service (struct world *world, const char *name, const char *pool,
                   uint32_t members, uint32_t replicas, uint32_t priority)
{
  struct bd_service *service = &world->services[world->service_count];

  memset (service, 0, sizeof *service);
  bd_name_copy (service->name, name);
  bd_name_copy (service->pool, pool);
  bd_name_copy (service->model, name);
  bd_name_copy (service->version, "1");
  service->is_model = true;
  service->members = members;
  service->replicas = replicas;
  service->priority = priority;
  world->service_list[world->service_count++] = service;
  return service;
}

struct world_unit *
world_unit (struct world *world, const char *name)
{
  for (uint32_t i = 0; i < world->unit_count; i++)
    if (strcmp (world->units[i].info.name, name) == 0)
      return &world->units[i];
  return NULL;
}

struct world_keeper *
world_keeper (struct world *world, const char *name)
{
  for (uint32_t i = 0; i < world->keeper_count; i++)
    if (strcmp (world->keepers[i].keeper.self, name) == 0)
      return &world->keepers[i];
  return NULL;
}

void
world_kill (struct world_unit *unit)
{
  unit->is_alive = false;
  unit->is_paused = false;
  unit->holds_weights = false;
  unit->fence_term = 0;
  unit->fence_sequence = 0;
  unit->running = 0;
  memset (&unit->report, 0, sizeof unit->report);
}

void
world_revive (struct world_unit *unit)
{
  unit->is_alive = true;
  unit->is_paused = false;
}

/* Orders at the instance.  */

static void
obey (struct world *world, struct world_unit *unit,
      const struct bd_order *order)
{
  bool has_weights = unit->holds_weights
                     && strcmp (unit->report.model, order->model) == 0
                     && strcmp (unit->report.version, order->version) == 0;

  if (unit->running > 0 && unit->report.incarnation != order->incarnation)
    {
      world->cut_calls += unit->running;
      unit->running = 0;
    }
  bd_name_copy (unit->report.group, order->group);
  bd_name_copy (unit->report.model, order->model);
  bd_name_copy (unit->report.version, order->version);
  unit->report.incarnation = order->incarnation;
  unit->holds_weights = has_weights;
  unit->load_left_ms = has_weights ? 0 : world->load_ms;
  unit->join_left_ms = order->group[0] != '\0' ? world->join_ms : 0;
  unit->report.phase = unit->load_left_ms + unit->join_left_ms > 0
                           ? BD_PHASE_LOADING
                           : BD_PHASE_READY;
}

static void
take_order (struct world *world, const struct bd_order *order)
{
  struct world_unit *unit = world_unit (world, order->instance);
  bool is_old;

  if (unit == NULL || !unit->is_alive || unit->is_paused)
    return;
  is_old = order->fence_term < unit->fence_term
           || (order->fence_term == unit->fence_term
               && order->fence_sequence < unit->fence_sequence);
  if (is_old && unit->checks_fence)
    {
      world->old_orders_refused++;
      return;
    }
  if (is_old)
    world->old_orders_obeyed++;
  unit->fence_term = order->fence_term;
  unit->fence_sequence = order->fence_sequence;
  obey (world, unit, order);
}

void
world_hold_orders (struct world *world, struct world_keeper *k)
{
  k->held_count = bd_keeper_orders (&k->keeper, world->now_ms, k->held,
                                    WORLD_MAX_ORDERS);
  /* With nothing to say, the last word is said again: a load order for each
     member of the allotment as this keeper knows it.  */
  for (uint32_t g = 0; k->held_count == 0 && k->keeper.allotment != NULL
                       && g < k->keeper.allotment->count;
       g++)
    {
      const struct bd_group *group = &k->keeper.allotment->groups[g];
      for (uint32_t m = 0; m < group->member_count; m++)
        {
          struct bd_order *order = &k->held[k->held_count++];
          memset (order, 0, sizeof *order);
          bd_name_copy (order->instance, group->members[m]);
          bd_name_copy (order->group, group->id);
          bd_name_copy (order->model, group->model);
          bd_name_copy (order->version, group->version);
          order->incarnation = group->incarnation;
          order->fence_term = k->keeper.allotment->term;
          order->fence_sequence = k->keeper.allotment->sequence;
        }
    }
}

void
world_deliver_held (struct world *world, struct world_keeper *k)
{
  for (uint32_t i = 0; i < k->held_count; i++)
    take_order (world, &k->held[i]);
  k->held_count = 0;
}

static void
load_units (struct world *world)
{
  uint32_t loading = 0;
  double speed;

  for (uint32_t i = 0; i < world->unit_count; i++)
    if (world->units[i].is_alive && world->units[i].load_left_ms > 0)
      loading++;
  speed = loading > 0
              ? fmin (1.0, (double)world->loads_at_full_speed / loading)
              : 1.0;
  for (uint32_t i = 0; i < world->unit_count; i++)
    {
      struct world_unit *unit = &world->units[i];
      if (!unit->is_alive || unit->is_paused
          || unit->report.phase != BD_PHASE_LOADING)
        continue;
      if (unit->load_left_ms > 0)
        unit->load_left_ms -= world->step_ms * speed;
      else
        unit->join_left_ms -= world->step_ms;
      if (unit->load_left_ms <= 0)
        unit->holds_weights = true;
      if (unit->load_left_ms <= 0 && unit->join_left_ms <= 0)
        unit->report.phase = BD_PHASE_READY;
    }
}

/* The platform's object.  */

static bool
holds_write_id (const struct world *world, const char *id)
{
  for (uint32_t i = 0; i < 8; i++)
    if (strcmp (world->write_ids[i], id) == 0)
      return true;
  return false;
}

static json_t *
stored_envelope (const struct world *world)
{
  json_t *recent = json_array ();

  for (uint32_t i = 1; i < 8; i++)
    if (world->write_ids[i][0] != '\0')
      json_array_append_new (recent, json_string (world->write_ids[i]));
  return json_pack ("{s:s,s:o}", "write_id", world->write_ids[0], "recent",
                    recent);
}

static void
write_object (struct world *world, struct world_keeper *k)
{
  bool is_lost = world->lose_answers > 0;

  if (world->is_platform_down || k->is_cut_off)
    {
      bd_update_handle_write (&k->update, BD_ERR_PLATFORM_DOWN, 0);
      return;
    }
  if (k->update.expected_version != world->version)
    {
      bd_update_handle_write (&k->update, BD_ERR_CONFLICT, 0);
      return;
    }
  if (!bd_allotment_check (k->wanted))
    world->violation = "an allotment with an instance in two groups";
  talloc_free (world->stored);
  world->stored = bd_allotment_clone (NULL, k->wanted);
  world->version++;
  world->writes++;
  memmove (world->write_ids[1], world->write_ids[0],
           sizeof world->write_ids - sizeof world->write_ids[0]);
  memcpy (world->write_ids[0], k->update.write_id, BD_ID_SIZE);
  if (is_lost)
    world->lose_answers--;
  bd_update_handle_write (&k->update, is_lost ? BD_ERR_PLATFORM_DOWN : BD_OK,
                          world->version);
}

static void
read_object (struct world *world, struct world_keeper *k)
{
  json_t *envelope;

  if (world->is_platform_down || k->is_cut_off)
    return;
  envelope = world->stored != NULL ? stored_envelope (world) : NULL;
  bd_update_handle_read (&k->update,
                         envelope != NULL ? BD_OK : BD_ERR_NOT_FOUND,
                         world->version, envelope);
  json_decref (envelope);
}

static void
confirm (struct world *world, struct world_keeper *k)
{
  if (world->is_platform_down || k->is_cut_off)
    return;
  k->version = world->version;
  if (world->stored != NULL)
    bd_keeper_confirm (&k->keeper, world->stored, world->now_ms);
}

static void
advance_update (struct world *world, struct world_keeper *k)
{
  if (k->update.step == BD_UPDATE_WRITE)
    write_object (world, k);
  else
    read_object (world, k);
  if (k->update.step != BD_UPDATE_DONE)
    return;
  k->is_updating = false;
  if (k->update.error == BD_OK && !holds_write_id (world, k->update.write_id))
    world->violation = "a write that did not take effect was taken for done";
  TALLOC_FREE (k->wanted);
  confirm (world, k);
}

static void
start_update (struct world *world, struct world_keeper *k,
              struct bd_allotment *wanted)
{
  char id[BD_ID_SIZE];

  bd_id_make (world->rng, id);
  bd_update_init (&k->update, id, k->version);
  k->wanted = wanted;
  k->is_updating = true;
  advance_update (world, k);
}

/* Keepers.  */

static void
hear_units (struct world *world, struct world_keeper *k)
{
  struct bd_instance listed[WORLD_MAX_UNITS];
  struct bd_instance_list list = { .items = listed };

  for (uint32_t i = 0; i < world->unit_count; i++)
    if (world->units[i].is_listed)
      listed[list.count++] = world->units[i].info;
  bd_keeper_list (&k->keeper, &list);
  if (k->is_cut_from_units)
    return;
  for (uint32_t i = 0; i < world->unit_count; i++)
    {
      struct world_unit *unit = &world->units[i];
      unit->report.running = unit->running;
      if (unit->is_alive && !unit->is_paused)
        bd_keeper_report (&k->keeper, unit->info.name, &unit->report,
                          world->now_ms);
    }
}

/* The lowest-ranked keeper that this one can see.  */
static bool
is_chosen (struct world *world, const struct world_keeper *k)
{
  for (uint32_t i = 0; i < world->keeper_count && !world->are_keepers_parted;
       i++)
    {
      const struct world_keeper *other = &world->keepers[i];
      if (other != k && other->is_alive && !other->is_paused
          && !other->is_cut_off && !k->is_cut_off
          && strcmp (other->keeper.self, k->keeper.self) < 0)
        return false;
    }
  return true;
}

static void
step_keeper (struct world *world, struct world_keeper *k)
{
  enum
  {
    CONFIRM_EVERY_MS = 500
  };
  struct bd_order orders[WORLD_MAX_ORDERS];
  struct bd_allotment *wanted;
  uint32_t count;

  if (!k->is_alive || k->is_paused)
    return;
  bd_keeper_services (&k->keeper, world->service_list, world->service_count);
  hear_units (world, k);
  k->keeper.is_chosen = is_chosen (world, k);
  if (k->is_updating)
    advance_update (world, k);
  else if (world->now_ms % CONFIRM_EVERY_MS == 0)
    confirm (world, k);
  if (!k->is_updating)
    {
      wanted = bd_keeper_plan (&k->keeper, NULL, world->now_ms);
      if (wanted != NULL)
        start_update (world, k, wanted);
    }
  count
      = bd_keeper_orders (&k->keeper, world->now_ms, orders, WORLD_MAX_ORDERS);
  for (uint32_t i = 0; i < count && !k->is_cut_from_units; i++)
    take_order (world, &orders[i]);
}

/* Rules.  */

static const struct bd_sighting *
look_up (void *ctx, const char *instance)
{
  struct world *world = ctx;
  struct world_unit *unit = world_unit (world, instance);

  return unit != NULL ? &world->sightings[unit - world->units] : NULL;
}

static void
observe (struct world *world)
{
  for (uint32_t i = 0; i < world->unit_count; i++)
    {
      const struct world_unit *unit = &world->units[i];
      struct bd_sighting *sighting = &world->sightings[i];
      sighting->is_leaving = unit->info.is_leaving;
      if (!unit->is_alive || unit->is_paused)
        continue;
      sighting->was_heard = true;
      sighting->heard_ms = world->now_ms;
      sighting->report = unit->report;
    }
}

bool
world_is_open (struct world *world, const struct bd_group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct world_unit *unit = world_unit (world, group->members[i]);
      if (unit == NULL || !unit->is_alive || unit->is_paused
          || !bd_report_is_member (&unit->report, group->id,
                                   group->incarnation))
        return false;
    }
  return true;
}

/* Whether a member has been away for longer than the gate allows.  */
static bool
has_absent_member (struct world *world, const struct bd_group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct world_unit *unit = world_unit (world, group->members[i]);
      const struct bd_sighting *sighting = look_up (world, group->members[i]);
      bool is_away = !unit->is_alive || unit->is_paused;
      if (is_away && world->now_ms - sighting->heard_ms > world->freshness_ms)
        return true;
      if (!is_away
          && !bd_report_is_member (&unit->report, group->id,
                                   group->incarnation))
        return true;
    }
  return false;
}

static void
check_gates (struct world *world)
{
  GHashTable *taken = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < world->stored->count; i++)
    {
      const struct bd_group *group = &world->stored->groups[i];
      enum bd_gate gate = bd_gate_check (group, look_up, world, world->now_ms,
                                         world->freshness_ms);
      if (gate == BD_GATE_CLOSED)
        continue;
      if (has_absent_member (world, group))
        world->violation = "an open group with a member missing";
      for (uint32_t m = 0; m < group->member_count; m++)
        if (!g_hash_table_add (taken, group->members[m]))
          world->violation = "an instance in two open groups";
    }
  g_hash_table_destroy (taken);
}

static void
check_order (struct world *world)
{
  struct bd_allotment seen
      = { .term = world->seen_term, .sequence = world->seen_sequence };

  if (bd_allotment_is_newer (&seen, world->stored))
    world->violation = "the allotment went back";
  world->seen_term = world->stored->term;
  world->seen_sequence = world->stored->sequence;
}

static uint32_t
count_alive (struct world *world, const struct bd_group *group)
{
  uint32_t alive = 0;

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct world_unit *unit = world_unit (world, group->members[i]);
      if (unit->is_alive && !unit->is_paused)
        alive++;
    }
  return alive;
}

uint32_t
world_open_groups (struct world *world, const char *service)
{
  uint32_t open = 0;

  for (uint32_t i = 0; world->stored != NULL && i < world->stored->count; i++)
    if (strcmp (world->stored->groups[i].service, service) == 0
        && world->stored->groups[i].drain == BD_DRAIN_NONE
        && world_is_open (world, &world->stored->groups[i]))
      open++;
  return open;
}

static void
measure (struct world *world, double passed_ms)
{
  for (uint32_t i = 0; i < world->service_count; i++)
    {
      uint32_t open = world_open_groups (world, world->services[i].name);
      if (open < world->services[i].replicas)
        world->downtime_ms += (world->services[i].replicas - open) * passed_ms;
    }
  for (uint32_t i = 0; world->stored != NULL && i < world->stored->count; i++)
    if (!world_is_open (world, &world->stored->groups[i]))
      world->stranded_ms
          += 8.0 * count_alive (world, &world->stored->groups[i]) * passed_ms;
}

void
world_run (struct world *world, int64_t run_ms)
{
  int64_t until_ms = world->now_ms + run_ms;

  while (world->now_ms < until_ms)
    {
      world->now_ms += world->step_ms;
      load_units (world);
      observe (world);
      for (uint32_t i = 0; i < world->keeper_count; i++)
        step_keeper (world, &world->keepers[i]);
      measure (world, world->step_ms);
      if (world->stored == NULL)
        continue;
      check_gates (world);
      check_order (world);
    }
}

static bool
is_unit_quiet (const struct world_unit *unit)
{
  if (!unit->is_alive || unit->is_paused)
    return true;
  return unit->report.phase != BD_PHASE_LOADING && !unit->info.is_leaving;
}

bool
world_is_quiet (struct world *world)
{
  if (world->stored == NULL)
    return false;
  for (uint32_t i = 0; i < world->unit_count; i++)
    if (!is_unit_quiet (&world->units[i]))
      return false;
  for (uint32_t i = 0; i < world->stored->count; i++)
    if (world->stored->groups[i].drain != BD_DRAIN_NONE)
      return false;
  return true;
}

void
world_skip (struct world *world, int64_t skip_ms)
{
  measure (world, (double)skip_ms);
  world->now_ms += skip_ms;
  for (uint32_t i = 0; i < world->keeper_count; i++)
    hear_units (world, &world->keepers[i]);
  observe (world);
}

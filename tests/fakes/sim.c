/* The simulation of a data centre.  */

#include "tests/fakes/sim.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

void
sim_init (struct sim *sim, void *ctx, uint64_t seed)
{
  memset (sim, 0, sizeof *sim);
  sim->ctx = ctx;
  sim->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (sim->rng, (unsigned long)seed);
  sim->now_ms = 1000;
  sim->step_ms = 100;
  sim->load_ms = 20000;
  sim->join_ms = 1000;
  sim->loads_at_full_speed = 8;
  sim->freshness_ms = 2000;
}

void
sim_finish (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->controller_count; i++)
    {
      bd_controller_finish (&sim->controllers[i].controller);
      talloc_free (sim->controllers[i].pending);
    }
  talloc_free (sim->stored);
  gsl_rng_free (sim->rng);
}

struct sim_instance *
sim_add_instance (struct sim *sim, const char *name, const char *domain,
                  const char *pool)
{
  struct sim_instance *inst = &sim->instances[sim->instance_count++];

  memset (inst, 0, sizeof *inst);
  bd_name_copy (inst->info.name, name);
  bd_name_copy (inst->info.fabric_domain, domain);
  bd_name_copy (inst->info.pool, pool);
  bd_name_copy (inst->info.data_centre, "centre");
  bd_name_copy (inst->info.address, "127.0.0.1");
  inst->info.port = sim->instance_count;
  inst->info.accelerators = 8;
  inst->is_listed = true;
  inst->is_alive = true;
  inst->checks_fence = true;
  return inst;
}

struct sim_controller *
sim_add_controller (struct sim *sim, const char *name,
                    const struct bd_controller_limits *limits,
                    const struct bd_repair_policy *policy)
{
  struct sim_controller *c = &sim->controllers[sim->controller_count++];

  memset (c, 0, sizeof *c);
  bd_controller_init (&c->controller, "centre", name, limits);
  c->controller.policy = policy;
  c->is_alive = true;
  return c;
}

struct bd_service *
sim_add_service (struct sim *sim, const char *name, const char *pool,
                 uint32_t members, uint32_t replicas, uint32_t priority)
{
  struct bd_service *service = &sim->services[sim->service_count];

  memset (service, 0, sizeof *service);
  bd_name_copy (service->name, name);
  bd_name_copy (service->pool, pool);
  bd_name_copy (service->model, name);
  bd_name_copy (service->version, "1");
  service->is_model = true;
  service->members = members;
  service->replicas = replicas;
  service->priority = priority;
  sim->service_list[sim->service_count++] = service;
  return service;
}

struct sim_instance *
sim_instance (struct sim *sim, const char *name)
{
  for (uint32_t i = 0; i < sim->instance_count; i++)
    if (strcmp (sim->instances[i].info.name, name) == 0)
      return &sim->instances[i];
  return NULL;
}

struct sim_controller *
sim_controller (struct sim *sim, const char *name)
{
  for (uint32_t i = 0; i < sim->controller_count; i++)
    if (strcmp (sim->controllers[i].controller.self, name) == 0)
      return &sim->controllers[i];
  return NULL;
}

void
sim_kill_instance (struct sim_instance *inst)
{
  inst->is_alive = false;
  inst->is_paused = false;
  inst->has_loaded_weights = false;
  inst->fence_term = 0;
  inst->fence_sequence = 0;
  inst->running = 0;
  inst->steps_alive = 0;
  memset (&inst->report, 0, sizeof inst->report);
}

void
sim_revive_instance (struct sim_instance *inst)
{
  inst->is_alive = !inst->has_lost_address;
  inst->is_paused = false;
}

struct sim_instance *
sim_reuse_address (struct sim *sim, struct sim_instance *old, const char *name,
                   const char *pool)
{
  struct sim_instance *inst
      = sim_add_instance (sim, name, old->info.fabric_domain, pool);

  sim_kill_instance (old);
  old->has_lost_address = true;
  inst->info.port = old->info.port;
  inst->checks_fence = old->checks_fence;
  sim->has_reused_addresses = true;
  return inst;
}

/* Instances.  */

static bool
is_responsive (const struct sim_instance *inst)
{
  return inst->is_alive && !inst->is_paused;
}

/* The process that answers at the address of info, or NULL.  */
static struct sim_instance *
instance_at (struct sim *sim, const struct bd_instance *info)
{
  struct sim_instance *found = NULL;

  if (!sim->has_reused_addresses)
    {
      found = sim_instance (sim, info->name);
      return found != NULL && is_responsive (found) ? found : NULL;
    }
  for (uint32_t i = 0; i < sim->instance_count; i++)
    if (sim->instances[i].info.port == info->port
        && is_responsive (&sim->instances[i]))
      found = &sim->instances[i];
  return found;
}

static void
record_snapshots (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->instance_count; i++)
    {
      struct sim_instance *inst = &sim->instances[i];
      inst->report.running = inst->running;
      bd_name_copy (inst->report.instance, inst->info.name);
      inst->history[inst->history_count++ % SIM_HISTORY]
          = (struct sim_snapshot){ .info = inst->info,
                                   .is_listed = inst->is_listed,
                                   .report = inst->report };
      if (!is_responsive (inst))
        continue;
      inst->last_alive_ms = sim->now_ms;
      inst->steps_alive++;
    }
}

/* The snapshot of age_steps ago, or the oldest one.  */
static const struct sim_snapshot *
snapshot_before (const struct sim_instance *inst, uint32_t age_steps)
{
  if (age_steps >= inst->history_count)
    age_steps = inst->history_count - 1;
  return &inst->history[(inst->history_count - 1 - age_steps) % SIM_HISTORY];
}

static uint32_t
random_age (const struct sim *sim, uint32_t lag_ms)
{
  return lag_ms < sim->step_ms ? 0
                               : (uint32_t)gsl_rng_uniform_int (
                                   sim->rng, lag_ms / sim->step_ms + 1);
}

/* The report that inst returns to a probe.  It is never of a state before inst
   started.  */
static const struct bd_report *
make_report (const struct sim *sim, const struct sim_instance *inst)
{
  uint32_t age = random_age (sim, sim->report_lag_ms);

  if (age >= inst->steps_alive)
    age = inst->steps_alive - 1;
  return &snapshot_before (inst, age)->report;
}

static void
execute_order (struct sim *sim, struct sim_instance *inst,
               const struct bd_order *order)
{
  bool has_weights = inst->has_loaded_weights
                     && strcmp (inst->report.model, order->model) == 0
                     && strcmp (inst->report.version, order->version) == 0;

  if (inst->running > 0 && inst->report.incarnation != order->incarnation)
    {
      sim->aborted_calls += inst->running;
      inst->running = 0;
    }
  bd_name_copy (inst->report.group, order->group);
  bd_name_copy (inst->report.model, order->model);
  bd_name_copy (inst->report.version, order->version);
  inst->report.incarnation = order->incarnation;
  inst->has_loaded_weights = has_weights;
  inst->load_left_ms = has_weights ? 0 : sim->load_ms;
  inst->join_left_ms = order->group[0] != '\0' ? sim->join_ms : 0;
  inst->report.phase = inst->load_left_ms + inst->join_left_ms > 0
                           ? BD_PHASE_LOADING
                           : BD_PHASE_READY;
}

static void
receive_order (struct sim *sim, const struct bd_order *order)
{
  struct bd_instance target = { .port = order->port };
  struct sim_instance *inst;
  bool is_stale;

  bd_name_copy (target.name, order->instance);
  inst = instance_at (sim, &target);
  if (inst == NULL)
    return;
  if (strcmp (inst->info.name, order->instance) != 0)
    {
      sim->misdirected_orders_rejected++;
      return;
    }
  is_stale = order->fence_term < inst->fence_term
             || (order->fence_term == inst->fence_term
                 && order->fence_sequence < inst->fence_sequence);
  if (is_stale && inst->checks_fence)
    {
      sim->stale_orders_rejected++;
      return;
    }
  if (is_stale)
    sim->stale_orders_executed++;
  inst->fence_term = order->fence_term;
  inst->fence_sequence = order->fence_sequence;
  execute_order (sim, inst, order);
}

void
sim_delay_orders (struct sim *sim, struct sim_controller *c)
{
  c->delayed_order_count = bd_controller_orders (
      &c->controller, sim->now_ms, c->delayed_orders, SIM_MAX_ORDERS);
  /* If no order is due, repeats the last ones: a load order for each member of
     the assignment that this controller last read.  */
  for (uint32_t g = 0;
       c->delayed_order_count == 0 && c->controller.assignment != NULL
       && g < c->controller.assignment->count;
       g++)
    {
      const struct bd_group *group = &c->controller.assignment->groups[g];
      for (uint32_t m = 0; m < group->member_count; m++)
        {
          struct bd_order *order
              = &c->delayed_orders[c->delayed_order_count++];
          memset (order, 0, sizeof *order);
          bd_name_copy (order->instance, group->members[m]);
          order->port = sim_instance (sim, group->members[m])->info.port;
          bd_name_copy (order->group, group->id);
          bd_name_copy (order->model, group->model);
          bd_name_copy (order->version, group->version);
          order->incarnation = group->incarnation;
          order->fence_term = c->controller.assignment->term;
          order->fence_sequence = c->controller.assignment->sequence;
        }
    }
}

void
sim_deliver_delayed_orders (struct sim *sim, struct sim_controller *c)
{
  for (uint32_t i = 0; i < c->delayed_order_count; i++)
    receive_order (sim, &c->delayed_orders[i]);
  c->delayed_order_count = 0;
}

static void
advance_loads (struct sim *sim)
{
  uint32_t loading = 0;
  double speed;

  for (uint32_t i = 0; i < sim->instance_count; i++)
    if (sim->instances[i].is_alive && sim->instances[i].load_left_ms > 0)
      loading++;
  speed = loading > 0 ? fmin (1.0, (double)sim->loads_at_full_speed / loading)
                      : 1.0;
  for (uint32_t i = 0; i < sim->instance_count; i++)
    {
      struct sim_instance *inst = &sim->instances[i];
      if (!inst->is_alive || inst->is_paused
          || inst->report.phase != BD_PHASE_LOADING)
        continue;
      if (inst->load_left_ms > 0)
        inst->load_left_ms -= sim->step_ms * speed;
      else
        inst->join_left_ms -= sim->step_ms;
      if (inst->load_left_ms <= 0)
        inst->has_loaded_weights = true;
      if (inst->load_left_ms <= 0 && inst->join_left_ms <= 0)
        inst->report.phase = BD_PHASE_READY;
    }
}

/* The assignment object in the platform.  */

static bool
is_recent_write_id (const struct sim *sim, const char *id)
{
  for (uint32_t i = 0; i < 8; i++)
    if (strcmp (sim->write_ids[i], id) == 0)
      return true;
  return false;
}

static json_t *
make_stored_envelope (const struct sim *sim)
{
  json_t *recent = json_array ();

  for (uint32_t i = 1; i < 8; i++)
    if (sim->write_ids[i][0] != '\0')
      json_array_append_new (recent, json_string (sim->write_ids[i]));
  return json_pack ("{s:s,s:o}", "write_id", sim->write_ids[0], "recent",
                    recent);
}

static void
write_object (struct sim *sim, struct sim_controller *c)
{
  bool is_reply_lost = sim->replies_to_lose > 0;

  if (sim->is_platform_down || c->is_cut_off)
    {
      bd_update_handle_write (&c->update, BD_ERR_PLATFORM_DOWN, 0);
      return;
    }
  if (c->update.expected_version != sim->version)
    {
      bd_update_handle_write (&c->update, BD_ERR_CONFLICT, 0);
      return;
    }
  if (!bd_assignment_is_valid (c->pending))
    sim->violation = "the assignment has an instance in two groups";
  talloc_free (sim->stored);
  sim->stored = bd_assignment_clone (NULL, c->pending);
  sim->version++;
  sim->writes++;
  memmove (sim->write_ids[1], sim->write_ids[0],
           sizeof sim->write_ids - sizeof sim->write_ids[0]);
  memcpy (sim->write_ids[0], c->update.write_id, BD_ID_SIZE);
  if (is_reply_lost)
    sim->replies_to_lose--;
  bd_update_handle_write (
      &c->update, is_reply_lost ? BD_ERR_PLATFORM_DOWN : BD_OK, sim->version);
}

static void
read_object (struct sim *sim, struct sim_controller *c)
{
  json_t *envelope;

  if (sim->is_platform_down || c->is_cut_off)
    return;
  envelope = sim->stored != NULL ? make_stored_envelope (sim) : NULL;
  bd_update_handle_read (&c->update,
                         envelope != NULL ? BD_OK : BD_ERR_NOT_FOUND,
                         sim->version, envelope);
  json_decref (envelope);
}

static void
confirm_assignment (struct sim *sim, struct sim_controller *c)
{
  if (sim->is_platform_down || c->is_cut_off)
    return;
  c->version = sim->version;
  if (sim->stored != NULL)
    bd_controller_confirm (&c->controller, sim->stored, sim->now_ms);
}

static void
advance_update (struct sim *sim, struct sim_controller *c)
{
  if (c->update.step == BD_UPDATE_WRITE)
    write_object (sim, c);
  else
    read_object (sim, c);
  if (c->update.step != BD_UPDATE_DONE)
    return;
  c->is_updating = false;
  if (c->update.error == BD_OK
      && !is_recent_write_id (sim, c->update.write_id))
    sim->violation = "a write without effect was reported as successful";
  TALLOC_FREE (c->pending);
  confirm_assignment (sim, c);
}

static void
start_update (struct sim *sim, struct sim_controller *c,
              struct bd_assignment *pending)
{
  char id[BD_ID_SIZE];

  bd_id_make (sim->rng, id);
  bd_update_init (&c->update, id, c->version);
  c->pending = pending;
  c->is_updating = true;
  advance_update (sim, c);
}

/* Controllers.  */

static void
update_instance_list (struct sim *sim, struct sim_controller *c)
{
  struct bd_instance listed[SIM_MAX_INSTANCES];
  struct bd_instance_list list = { .items = listed };

  for (uint32_t i = 0; i < sim->instance_count; i++)
    {
      const struct sim_snapshot *entry = snapshot_before (
          &sim->instances[i], random_age (sim, sim->list_lag_ms));
      if (entry->is_listed)
        listed[list.count++] = entry->info;
    }
  bd_controller_set_instances (&c->controller, &list);
}

/* Probes the address of one instance and records the result.  */
static bool
probe (struct sim *sim, const struct sim_instance *inst,
       struct bd_received_report *received)
{
  const struct sim_instance *answering = instance_at (sim, &inst->info);

  return answering != NULL
         && bd_received_report_update (received, inst->info.name,
                                       make_report (sim, answering),
                                       sim->now_ms);
}

static void
update_instance_reports (struct sim *sim, struct sim_controller *c)
{
  update_instance_list (sim, c);
  if (c->is_cut_off_from_instances)
    return;
  for (uint32_t i = 0; i < sim->instance_count; i++)
    if (probe (sim, &sim->instances[i], &c->received[i]))
      bd_controller_add_report (&c->controller, sim->instances[i].info.name,
                                &c->received[i].report, sim->now_ms,
                                sim->now_ms);
}

/* Whether no reachable controller has a lower name.  */
static bool
is_selected (struct sim *sim, const struct sim_controller *c)
{
  for (uint32_t i = 0;
       i < sim->controller_count && !sim->are_controllers_partitioned; i++)
    {
      const struct sim_controller *other = &sim->controllers[i];
      if (other != c && other->is_alive && !other->is_paused
          && !other->is_cut_off && !c->is_cut_off
          && strcmp (other->controller.self, c->controller.self) < 0)
        return false;
    }
  return true;
}

static void
step_controller (struct sim *sim, struct sim_controller *c)
{
  enum
  {
    CONFIRM_EVERY_MS = 500
  };
  struct bd_order orders[SIM_MAX_ORDERS];
  struct bd_assignment *pending;
  uint32_t count;

  if (!c->is_alive || c->is_paused)
    return;
  bd_controller_set_services (&c->controller, sim->service_list,
                              sim->service_count);
  update_instance_reports (sim, c);
  c->controller.is_selected = is_selected (sim, c);
  if (c->is_updating)
    advance_update (sim, c);
  else if (sim->now_ms % CONFIRM_EVERY_MS == 0)
    confirm_assignment (sim, c);
  if (!c->is_updating)
    {
      pending = bd_controller_plan (&c->controller, NULL, sim->now_ms);
      if (pending != NULL)
        start_update (sim, c, pending);
    }
  count = bd_controller_orders (&c->controller, sim->now_ms, orders,
                                SIM_MAX_ORDERS);
  for (uint32_t i = 0; i < count && !c->is_cut_off_from_instances; i++)
    receive_order (sim, &orders[i]);
}

/* Invariants.  */

static const struct bd_received_report *
find_observation (void *ctx, const char *instance)
{
  struct sim *sim = ctx;
  struct sim_instance *inst = sim_instance (sim, instance);

  return inst != NULL ? &sim->observations[inst - sim->instances] : NULL;
}

static void
update_observations (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->instance_count; i++)
    {
      sim->observations[i].is_leaving = sim->instances[i].info.is_leaving;
      probe (sim, &sim->instances[i], &sim->observations[i]);
    }
}

bool
sim_is_group_open (struct sim *sim, const struct bd_group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct sim_instance *inst = sim_instance (sim, group->members[i]);
      if (inst == NULL || !inst->is_alive || inst->is_paused
          || !bd_report_is_member (&inst->report, group->id,
                                   group->incarnation))
        return false;
    }
  return true;
}

/* Whether the instance was a member of the group when a report that arrives
   now can have been made.  */
static bool
was_member (const struct sim *sim, const struct sim_instance *inst,
            const struct bd_group *group)
{
  uint32_t oldest = sim->report_lag_ms / sim->step_ms;

  if (bd_report_is_member (&inst->report, group->id, group->incarnation))
    return true;
  for (uint32_t age = 0;
       sim->report_lag_ms > 0 && age <= oldest && age < inst->steps_alive;
       age++)
    if (bd_report_is_member (&snapshot_before (inst, age)->report, group->id,
                             group->incarnation))
      return true;
  return false;
}

/* Whether a member has been unresponsive for longer than freshness_ms, or has
   left the group.  */
static bool
has_absent_member (struct sim *sim, const struct bd_group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct sim_instance *inst = sim_instance (sim, group->members[i]);
      if (!is_responsive (inst)
          && sim->now_ms - inst->last_alive_ms > sim->freshness_ms)
        return true;
      if (is_responsive (inst) && !was_member (sim, inst, group))
        return true;
    }
  return false;
}

/* Whether another process answers at the leader's address under the group's
   incarnation, by which a daemon would take its answers for the group's.  */
static bool
is_answered_by_another (struct sim *sim, const struct bd_group *group)
{
  const struct sim_instance *leader = sim_instance (sim, group->members[0]);
  const struct sim_instance *answering = instance_at (sim, &leader->info);

  return answering != NULL && answering != leader
         && answering->report.incarnation == group->incarnation;
}

static void
check_gates (struct sim *sim)
{
  GHashTable *assigned_members = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < sim->stored->count; i++)
    {
      const struct bd_group *group = &sim->stored->groups[i];
      enum bd_gate gate = bd_gate_check (group, find_observation, sim,
                                         sim->now_ms, sim->freshness_ms);
      if (gate == BD_GATE_CLOSED)
        continue;
      if (has_absent_member (sim, group))
        sim->violation = "an open group lacks a member";
      if (is_answered_by_another (sim, group))
        sim->violation = "a call would run under another one's incarnation";
      for (uint32_t m = 0; m < group->member_count; m++)
        if (!g_hash_table_add (assigned_members, group->members[m]))
          sim->violation = "an instance is in two open groups";
    }
  g_hash_table_destroy (assigned_members);
}

static void
check_version_order (struct sim *sim)
{
  struct bd_assignment seen
      = { .term = sim->seen_term, .sequence = sim->seen_sequence };

  if (bd_assignment_is_newer (&seen, sim->stored))
    sim->violation = "the assignment went back to an older version";
  sim->seen_term = sim->stored->term;
  sim->seen_sequence = sim->stored->sequence;
}

static uint32_t
count_alive (struct sim *sim, const struct bd_group *group)
{
  uint32_t alive = 0;

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct sim_instance *inst = sim_instance (sim, group->members[i]);
      if (inst->is_alive && !inst->is_paused)
        alive++;
    }
  return alive;
}

uint32_t
sim_count_open_groups (struct sim *sim, const char *service)
{
  uint32_t open = 0;

  for (uint32_t i = 0; sim->stored != NULL && i < sim->stored->count; i++)
    if (strcmp (sim->stored->groups[i].service, service) == 0
        && sim->stored->groups[i].drain == BD_DRAIN_NONE
        && sim_is_group_open (sim, &sim->stored->groups[i]))
      open++;
  return open;
}

static void
accumulate_measures (struct sim *sim, double elapsed_ms)
{
  for (uint32_t i = 0; i < sim->service_count; i++)
    {
      uint32_t open = sim_count_open_groups (sim, sim->services[i].name);
      if (open < sim->services[i].replicas)
        sim->downtime_ms += (sim->services[i].replicas - open) * elapsed_ms;
    }
  for (uint32_t i = 0; sim->stored != NULL && i < sim->stored->count; i++)
    if (!sim_is_group_open (sim, &sim->stored->groups[i]))
      sim->stranded_ms
          += 8.0 * count_alive (sim, &sim->stored->groups[i]) * elapsed_ms;
}

void
sim_run (struct sim *sim, int64_t run_ms)
{
  int64_t end_ms = sim->now_ms + run_ms;

  while (sim->now_ms < end_ms)
    {
      sim->now_ms += sim->step_ms;
      advance_loads (sim);
      record_snapshots (sim);
      update_observations (sim);
      for (uint32_t i = 0; i < sim->controller_count; i++)
        step_controller (sim, &sim->controllers[i]);
      accumulate_measures (sim, sim->step_ms);
      if (sim->stored == NULL)
        continue;
      check_gates (sim);
      check_version_order (sim);
    }
}

static bool
is_instance_idle (const struct sim_instance *inst)
{
  if (!inst->is_alive || inst->is_paused)
    return true;
  return inst->report.phase != BD_PHASE_LOADING && !inst->info.is_leaving;
}

bool
sim_is_idle (struct sim *sim)
{
  if (sim->stored == NULL)
    return false;
  for (uint32_t i = 0; i < sim->instance_count; i++)
    if (!is_instance_idle (&sim->instances[i]))
      return false;
  for (uint32_t i = 0; i < sim->stored->count; i++)
    if (sim->stored->groups[i].drain != BD_DRAIN_NONE)
      return false;
  return true;
}

void
sim_skip_time (struct sim *sim, int64_t skip_ms)
{
  accumulate_measures (sim, (double)skip_ms);
  sim->now_ms += skip_ms;
  record_snapshots (sim);
  for (uint32_t i = 0; i < sim->controller_count; i++)
    update_instance_reports (sim, &sim->controllers[i]);
  update_observations (sim);
}

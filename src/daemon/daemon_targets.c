/* The targets of calls: replica groups whose gate is open, plain endpoints,
   and daemons that forward to remote data centres with capacity.  */

#include "daemon/daemon_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MAX_TARGETS = 1024,
  /* The status of a remote data centre is ignored above this age.  */
  DATA_CENTRE_FRESH_MS = 3000,
  /* The same for the summary of a relay, which repeats an unchanged summary
     only every 10 s.  */
  RELAY_FRESH_MS = 25000,
  /* Estimated prefill time for each byte of the request body.  */
  US_PER_PROMPT_BYTE = 25,
  /* Estimated added wait for each call that runs on a target.  */
  STEP_MS = 20,
  MAX_QUEUE_BYTES = 64 << 20
};

/* A group becomes a straggler when its time per token exceeds the median by
   the first factor, and stops being one below the second.  */
static const double straggler_above = 1.5;
static const double straggler_below = 1.2;
static const double token_time_smoothing = 0.2;

struct bd_target_list
{
  struct bd_target items[MAX_TARGETS];
  struct bd_candidate candidates[MAX_TARGETS];
  uint32_t count;
};

uint64_t
bd_daemon_group_target_hash (const char *group_id, int64_t incarnation)
{
  return bd_hash (group_id, strlen (group_id)) ^ (uint64_t)incarnation;
}

struct bd_service_queue *
bd_daemon_service_queue (struct bd_daemon *daemon, const char *service)
{
  struct bd_service_queue *service_queue
      = g_hash_table_lookup (daemon->service_queues, service);

  if (service_queue != NULL)
    return service_queue;
  service_queue = g_new0 (struct bd_service_queue, 1);
  bd_name_copy (service_queue->service, service);
  bd_queue_init (&service_queue->queue, daemon->settings->max_queued,
                 MAX_QUEUE_BYTES, bd_daemon_now_ms (daemon));
  g_hash_table_insert (daemon->service_queues, service_queue->service,
                       service_queue);
  return service_queue;
}

static struct bd_group_traffic *
group_traffic (struct bd_daemon *daemon, const char *group_id)
{
  struct bd_group_traffic *traffic
      = g_hash_table_lookup (daemon->traffic, group_id);

  if (traffic != NULL)
    return traffic;
  traffic = g_new0 (struct bd_group_traffic, 1);
  g_hash_table_insert (daemon->traffic, g_strdup (group_id), traffic);
  return traffic;
}

/* The target list is built for every call, in memory that is reused.  */
static struct bd_target_list *
target_scratch (struct bd_daemon *daemon)
{
  if (daemon->targets == NULL)
    daemon->targets = talloc (daemon, struct bd_target_list);
  return daemon->targets;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static double
median_token_time_ms (struct bd_daemon *daemon)
{
  double token_times[MAX_TARGETS];
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, daemon->traffic);
  while (count < MAX_TARGETS && g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct bd_group_traffic *)value)->ms_per_token > 0)
      token_times[count++] = ((struct bd_group_traffic *)value)->ms_per_token;
  if (count == 0)
    return 0;
  qsort (token_times, count, sizeof *token_times, compare_doubles);
  return token_times[count / 2];
}

void
bd_daemon_record_token_time (struct bd_daemon *daemon, const char *group_id,
                             int64_t elapsed_ms, uint32_t tokens)
{
  struct bd_group_traffic *traffic = group_traffic (daemon, group_id);
  double token_time_ms = (double)elapsed_ms / (tokens > 0 ? tokens : 1);
  double median;

  traffic->ms_per_token
      = traffic->ms_per_token > 0
            ? traffic->ms_per_token
                  + token_time_smoothing
                        * (token_time_ms - traffic->ms_per_token)
            : token_time_ms;
  median = median_token_time_ms (daemon);
  if (median <= 0)
    return;
  if (traffic->ms_per_token > straggler_above * median)
    traffic->is_straggler = true;
  else if (traffic->ms_per_token < straggler_below * median)
    traffic->is_straggler = false;
}

/* The slots of a target that are reserved for this daemon: an equal share for
   each live daemon of the data centre.  */
static uint32_t
fair_share (const struct bd_daemon *daemon, const struct bd_service *service)
{
  uint32_t live = bd_membership_count_live (&daemon->membership,
                                            daemon->settings->data_centre);

  return service->max_in_flight / (live > 0 ? live : 1);
}

static void
add_group (struct bd_daemon *daemon, const struct bd_job *job,
           const struct bd_service *service, const struct bd_group *group,
           double median, int64_t now_ms, struct bd_target_list *out)
{
  struct bd_endpoint *leader
      = bd_daemon_find_endpoint (daemon, group->members[0]);
  static const struct bd_group_traffic no_traffic;
  const struct bd_group_traffic *traffic;
  struct bd_target *target = &out->items[out->count];
  struct bd_candidate *candidate = &out->candidates[out->count];
  uint64_t id_hash = bd_hash (group->id, strlen (group->id));
  const struct bd_group_status *status;

  if (leader == NULL || out->count == MAX_TARGETS
      || bd_daemon_gate (daemon, group, now_ms) != BD_GATE_OPEN
      || bd_daemon_is_target_suspected (
          daemon, bd_daemon_group_target_hash (group->id, group->incarnation)))
    return;
  traffic = g_hash_table_lookup (daemon->traffic, group->id);
  if (traffic == NULL)
    traffic = &no_traffic;
  status = g_hash_table_lookup (daemon->group_statuses, &id_hash);
  memset (target, 0, sizeof *target);
  memset (candidate, 0, sizeof *candidate);
  bd_name_copy (target->group, group->id);
  bd_name_copy (target->instance, leader->info.name);
  bd_name_copy (target->address, leader->info.address);
  target->incarnation = group->incarnation;
  target->port = leader->info.port;
  target->hash = bd_daemon_group_target_hash (group->id, group->incarnation);
  candidate->capacity = service->max_in_flight;
  candidate->share = fair_share (daemon, service);
  candidate->own_in_flight = traffic->in_flight;
  candidate->reported = leader->observation.report.running;
  candidate->own_at_report = leader->own_at_report;
  if (status != NULL
      && status->oldest_report_ms > leader->observation.last_received_ms)
    {
      candidate->reported = status->running;
      candidate->own_at_report = status->own_at_report;
    }
  candidate->slowness = traffic->is_straggler && median > 0
                            ? traffic->ms_per_token / median
                            : 1.0;
  if (job != NULL)
    {
      candidate->cached_fraction = bd_prefix_cached_fraction (
          &daemon->prefixes, &job->prefix, target->hash, now_ms);
      candidate->is_tried = bd_call_was_tried (&job->call, target->hash);
      candidate->is_excluded = job->poison_decision == BD_POISON_ISOLATE
                               && traffic->poison_requests > 0;
    }
  out->count++;
}

static void
add_endpoint (struct bd_daemon *daemon, const struct bd_job *job,
              const struct bd_service *service, struct bd_endpoint *endpoint,
              int64_t now_ms, struct bd_target_list *out)
{
  struct bd_target *target = &out->items[out->count];
  struct bd_candidate *candidate = &out->candidates[out->count];

  if (out->count == MAX_TARGETS
      || strcmp (endpoint->info.pool, service->pool) != 0
      || strcmp (endpoint->info.data_centre, daemon->settings->data_centre)
             != 0
      || endpoint->observation.is_leaving || !endpoint->observation.has_report
      || now_ms - endpoint->observation.last_received_ms
             > daemon->settings->dead_after_ms)
    return;
  memset (target, 0, sizeof *target);
  memset (candidate, 0, sizeof *candidate);
  bd_name_copy (target->instance, endpoint->info.name);
  bd_name_copy (target->address, endpoint->info.address);
  target->port = endpoint->info.port;
  target->hash = bd_hash (endpoint->info.name, strlen (endpoint->info.name));
  candidate->capacity = service->max_in_flight;
  candidate->share = fair_share (daemon, service);
  candidate->own_in_flight = endpoint->in_flight;
  candidate->reported = endpoint->observation.report.running;
  candidate->own_at_report = endpoint->own_at_report;
  candidate->slowness = 1.0;
  candidate->is_tried
      = job != NULL && bd_call_was_tried (&job->call, target->hash);
  out->count++;
}

static void
list_targets (struct bd_daemon *daemon, const struct bd_job *job,
              const struct bd_service *service, struct bd_target_list *out)
{
  const struct bd_assignment *assignment = daemon->controller.assignment;
  int64_t now_ms = bd_daemon_now_ms (daemon);
  GHashTableIter iter;
  gpointer value;

  out->count = 0;
  if (service->is_model)
    {
      double median = median_token_time_ms (daemon);
      for (uint32_t i = 0; assignment != NULL && i < assignment->count; i++)
        if (strcmp (assignment->groups[i].service, service->name) == 0)
          add_group (daemon, job, service, &assignment->groups[i], median,
                     now_ms, out);
      return;
    }
  g_hash_table_iter_init (&iter, daemon->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_endpoint (daemon, job, service, value, now_ms, out);
}

uint32_t
bd_daemon_free_slots (struct bd_daemon *daemon,
                      const struct bd_service *service)
{
  struct bd_target_list *targets = target_scratch (daemon);
  uint32_t free = 0;

  list_targets (daemon, NULL, service, targets);
  for (uint32_t i = 0; i < targets->count; i++)
    {
      const struct bd_candidate *candidate = &targets->candidates[i];
      uint32_t load = bd_candidate_load (candidate);
      if (bd_candidate_has_capacity (candidate))
        free += load < candidate->capacity ? candidate->capacity - load : 1;
    }
  return free;
}

/* A remote entry with capacity for a call of the service, or NULL.  */
static struct bd_remote *
find_remote_with_capacity (struct bd_daemon *daemon,
                           const struct bd_service *service)
{
  uint64_t hash = bd_hash (service->name, strlen (service->name));
  int64_t now_ms = bd_daemon_now_ms (daemon);

  for (uint32_t i = 0; i < daemon->remote_count; i++)
    {
      struct bd_remote *remote
          = &daemon->remotes[(i + daemon->round_robin) % daemon->remote_count];
      if (now_ms - remote->received_ms
          > (remote->is_relay ? RELAY_FRESH_MS : DATA_CENTRE_FRESH_MS))
        continue;
      for (uint32_t r = 0; r < remote->capacity_count; r++)
        if (remote->capacities[r].service_hash == hash
            && remote->capacities[r].queued == 0
            && remote->capacities[r].free > remote->sent_since_update)
          return remote;
    }
  return NULL;
}

uint32_t
bd_daemon_fill_remote_capacities (struct bd_daemon *daemon,
                                  struct bd_service_capacity *capacities)
{
  uint32_t count = 0;

  for (uint32_t i = 0;
       i < daemon->config.service_count && count < BD_MAX_SERVICE_CAPACITIES;
       i++)
    {
      const struct bd_service *service = daemon->config.services[i];
      memset (&capacities[count], 0, sizeof capacities[count]);
      if (find_remote_with_capacity (daemon, service) == NULL)
        continue;
      capacities[count].service_hash
          = bd_hash (service->name, strlen (service->name));
      capacities[count++].free = UINT32_MAX;
    }
  return count;
}

bool
bd_daemon_has_capacity (struct bd_daemon *daemon,
                        const struct bd_service *service)
{
  return bd_daemon_free_slots (daemon, service) > 0
         || find_remote_with_capacity (daemon, service) != NULL;
}

bool
bd_daemon_has_any_target (struct bd_daemon *daemon,
                          const struct bd_service *service)
{
  const struct bd_assignment *assignment = daemon->controller.assignment;
  GHashTableIter iter;
  gpointer value;

  if (find_remote_with_capacity (daemon, service) != NULL)
    return true;
  if (service->is_model)
    {
      for (uint32_t i = 0; assignment != NULL && i < assignment->count; i++)
        if (strcmp (assignment->groups[i].service, service->name) == 0)
          return true;
      return false;
    }
  g_hash_table_iter_init (&iter, daemon->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((struct bd_endpoint *)value)->info.pool, service->pool) == 0)
      return true;
  return false;
}

void
bd_daemon_update_remote (struct bd_daemon *daemon,
                         const struct bd_data_centre_status *status,
                         bool is_relay)
{
  struct bd_remote *remote = NULL;

  for (uint32_t i = 0; i < daemon->remote_count; i++)
    if (strcmp (daemon->remotes[i].name, status->name) == 0)
      remote = &daemon->remotes[i];
  if (remote == NULL && daemon->remote_count == BD_MAX_REMOTES)
    return;
  if (remote == NULL)
    remote = &daemon->remotes[daemon->remote_count++];
  bd_name_copy (remote->name, status->name);
  bd_name_copy (remote->address, status->address);
  remote->http_port = status->http_port;
  remote->received_ms = bd_daemon_now_ms (daemon);
  remote->sent_since_update = 0;
  remote->is_relay = is_relay;
  remote->capacity_count = status->capacity_count < BD_MAX_SERVICE_CAPACITIES
                               ? status->capacity_count
                               : BD_MAX_SERVICE_CAPACITIES;
  memcpy (remote->capacities, status->capacities,
          remote->capacity_count * sizeof *remote->capacities);
}

void
bd_daemon_clear_remote (struct bd_daemon *daemon, const char *name)
{
  for (uint32_t i = 0; i < daemon->remote_count; i++)
    if (strcmp (daemon->remotes[i].name, name) == 0)
      daemon->remotes[i].capacity_count = 0;
}

static void
set_daemon_target (struct bd_target *target, const char *name,
                   const char *address, uint32_t http_port)
{
  memset (target, 0, sizeof *target);
  bd_name_copy (target->instance, name);
  bd_name_copy (target->address, address);
  target->port = http_port;
  target->hash = bd_hash_pair ("daemon", name);
  target->is_daemon = true;
}

/* All suspected poison requests of a data centre run on one daemon, which
   isolates them from each other.  */
static bool
choose_poison_owner (struct bd_daemon *daemon, const struct bd_job *job,
                     struct bd_target *target)
{
  const struct bd_member *owner = bd_membership_highest_ranked (
      &daemon->membership, daemon->settings->data_centre, "suspects");

  if (job->poison_decision != BD_POISON_ISOLATE || job->must_run_locally
      || job->is_forwarded
      || owner == bd_membership_self (&daemon->membership))
    return false;
  set_daemon_target (target, owner->name, owner->address, owner->http_port);
  return !bd_call_was_tried (&job->call, target->hash);
}

static bool
choose_remote (struct bd_daemon *daemon, const struct bd_job *job,
               const struct bd_service *service, struct bd_target *target)
{
  struct bd_remote *remote = find_remote_with_capacity (daemon, service);

  if ((job->is_forwarded && !job->can_forward) || remote == NULL)
    return false;
  set_daemon_target (target, remote->name, remote->address, remote->http_port);
  target->is_relay = remote->is_relay;
  if (bd_call_was_tried (&job->call, target->hash))
    return false;
  remote->sent_since_update++;
  daemon->round_robin++;
  return true;
}

/* Marks the affinity replicas, so that every daemon sends the prompts of one
   prefix to the same replicas.  */
static void
apply_prefix_affinity (const struct bd_job *job,
                       struct bd_target_list *targets)
{
  uint64_t replicas[MAX_TARGETS];
  int32_t affinity[2];

  for (uint32_t i = 0; i < targets->count; i++)
    replicas[i] = targets->items[i].hash;
  bd_prefix_affinity_replicas (&job->prefix, replicas, targets->count,
                               affinity);
  bd_candidates_apply_affinity (targets->candidates, affinity);
}

/* Whether the call has failed on every target.  */
static bool
was_tried_everywhere (const struct bd_target_list *targets)
{
  for (uint32_t i = 0; i < targets->count; i++)
    if (!targets->candidates[i].is_tried)
      return false;
  return targets->count > 0;
}

static struct bd_routing_costs
costs_of (const struct bd_job *job)
{
  return (struct bd_routing_costs){ .prefill_ms = (double)job->body_size
                                                  * US_PER_PROMPT_BYTE / 1000,
                                    .step_ms = STEP_MS };
}

enum bd_target_choice
bd_daemon_choose_target (struct bd_daemon *daemon, struct bd_job *job,
                         struct bd_target *target)
{
  const struct bd_service *service
      = bd_config_service (&daemon->config, job->service);
  struct bd_routing_costs costs = costs_of (job);
  struct bd_target_list *targets;
  int32_t chosen;

  if (service == NULL)
    return BD_CHOICE_NONE;
  if (choose_poison_owner (daemon, job, target))
    return BD_CHOICE_FOUND;
  targets = target_scratch (daemon);
  list_targets (daemon, job, service, targets);
  apply_prefix_affinity (job, targets);
  chosen
      = bd_router_by_wait.choose (targets->candidates, targets->count, &costs,
                                  daemon->rng, &daemon->round_robin);
  if (chosen >= 0)
    *target = targets->items[chosen];
  if (chosen >= 0 || choose_remote (daemon, job, service, target))
    return BD_CHOICE_FOUND;
  return was_tried_everywhere (targets)
                 || !bd_daemon_has_any_target (daemon, service)
             ? BD_CHOICE_NONE
             : BD_CHOICE_WAIT;
}

/* Describes one usable target.  */
static void
describe_candidate (const struct bd_candidate *candidate,
                    const struct bd_routing_costs *costs,
                    struct bd_daemon_option *option)
{
  uint32_t load = bd_candidate_load (candidate);

  option->running = MIN (load, candidate->capacity);
  option->waiting = load - option->running;
  option->slots = candidate->capacity;
  option->expected_ms = bd_candidate_score (candidate, costs);
  if (candidate->is_tried)
    option->excluded = "tried";
  else if (candidate->is_excluded)
    option->excluded = "isolated";
  else if (!bd_candidate_has_capacity (candidate))
    option->excluded = "full";
}

/* Why add_endpoint() leaves out an endpoint of the service.  */
static const char *
endpoint_exclusion (const struct bd_endpoint *endpoint)
{
  return endpoint->observation.is_leaving ? "leaving" : "unhealthy";
}

/* Why add_group() leaves out a group.  */
static const char *
group_exclusion (struct bd_daemon *daemon, const struct bd_group *group,
                 const struct bd_endpoint *leader)
{
  if (leader != NULL && leader->observation.is_leaving)
    return "leaving";
  return leader == NULL
                 || bd_daemon_is_target_suspected (
                     daemon, bd_daemon_group_target_hash (group->id,
                                                          group->incarnation))
             ? "unhealthy"
             : "group-not-open";
}

static void
init_option (const struct bd_daemon *daemon,
             const struct bd_endpoint *endpoint, int64_t now_ms,
             struct bd_daemon_option *option)
{
  memset (option, 0, sizeof *option);
  option->data_centre = daemon->settings->data_centre;
  option->age_ms = -1;
  option->expected_ms = -1;
  if (endpoint == NULL)
    return;
  option->endpoint = endpoint->info.name;
  if (endpoint->observation.has_report)
    option->age_ms = now_ms - endpoint->observation.last_received_ms;
}

static void
visit_groups (struct bd_daemon *daemon, const struct bd_job *job,
              const struct bd_service *service, bd_daemon_visitor *visit,
              void *ctx)
{
  struct bd_target_list *targets = target_scratch (daemon);
  const struct bd_assignment *assignment = daemon->controller.assignment;
  const struct bd_routing_costs costs = costs_of (job);
  double median = median_token_time_ms (daemon);
  int64_t now_ms = bd_daemon_now_ms (daemon);

  for (uint32_t i = 0; assignment != NULL && i < assignment->count; i++)
    {
      const struct bd_group *group = &assignment->groups[i];
      const struct bd_endpoint *leader
          = bd_daemon_find_endpoint (daemon, group->members[0]);
      struct bd_daemon_option option;

      if (strcmp (group->service, service->name) != 0)
        continue;
      targets->count = 0;
      init_option (daemon, leader, now_ms, &option);
      option.group = group->id;
      add_group (daemon, job, service, group, median, now_ms, targets);
      if (targets->count > 0)
        describe_candidate (&targets->candidates[0], &costs, &option);
      else
        option.excluded = group_exclusion (daemon, group, leader);
      visit (ctx, &option);
    }
}

static void
visit_endpoints (struct bd_daemon *daemon, const struct bd_job *job,
                 const struct bd_service *service, bd_daemon_visitor *visit,
                 void *ctx)
{
  struct bd_target_list *targets = target_scratch (daemon);
  const struct bd_routing_costs costs = costs_of (job);
  int64_t now_ms = bd_daemon_now_ms (daemon);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, daemon->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_endpoint *endpoint = value;
      struct bd_daemon_option option;

      if (strcmp (endpoint->info.pool, service->pool) != 0
          || strcmp (endpoint->info.data_centre, daemon->settings->data_centre)
                 != 0)
        continue;
      targets->count = 0;
      init_option (daemon, endpoint, now_ms, &option);
      add_endpoint (daemon, job, service, endpoint, now_ms, targets);
      if (targets->count > 0)
        describe_candidate (&targets->candidates[0], &costs, &option);
      else
        option.excluded = endpoint_exclusion (endpoint);
      visit (ctx, &option);
    }
}

void
bd_daemon_visit_options (struct bd_daemon *daemon, const struct bd_job *job,
                         const struct bd_service *service,
                         bd_daemon_visitor *visit, void *ctx)
{
  if (service->is_model)
    visit_groups (daemon, job, service, visit, ctx);
  else
    visit_endpoints (daemon, job, service, visit, ctx);
}

void
bd_daemon_acquire_slot (struct bd_daemon *daemon,
                        const struct bd_target *target, bool is_isolated)
{
  struct bd_endpoint *endpoint
      = bd_daemon_find_endpoint (daemon, target->instance);

  if (target->is_daemon)
    return;
  if (endpoint != NULL)
    endpoint->in_flight++;
  if (target->group[0] == '\0')
    return;
  group_traffic (daemon, target->group)->in_flight++;
  if (is_isolated)
    group_traffic (daemon, target->group)->poison_requests++;
}

void
bd_daemon_release_slot (struct bd_daemon *daemon,
                        const struct bd_target *target, bool is_isolated)
{
  struct bd_endpoint *endpoint
      = bd_daemon_find_endpoint (daemon, target->instance);

  if (target->is_daemon)
    return;
  if (endpoint != NULL && endpoint->in_flight > 0)
    endpoint->in_flight--;
  if (target->group[0] == '\0')
    return;
  group_traffic (daemon, target->group)->in_flight--;
  if (is_isolated)
    group_traffic (daemon, target->group)->poison_requests--;
}

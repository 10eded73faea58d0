/* Where a call can go: replica groups behind their gate, plain endpoints, and
   daemons of other data centres that have room.  */

#include "daemon/daemon_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MAX_PLACES = 1024,
  CENTRE_FRESH_MS = 3000,
  RELAY_FRESH_MS = 25000,
  US_PER_PROMPT_BYTE = 25,
  STEP_MS = 20,
  QUEUE_BYTES = 64 << 20
};

/* A group becomes a straggler above the first ratio to the median and stops
   being one below the second.  */
static const double straggler_above = 1.5;
static const double straggler_below = 1.2;
static const double pace_smoothing = 0.2;

struct bd_places
{
  struct bd_place items[MAX_PLACES];
  struct bd_candidate candidates[MAX_PLACES];
  uint32_t count;
};

uint64_t
bd_daemon_group_place (const char *group_id, int64_t incarnation)
{
  return bd_hash (group_id, strlen (group_id)) ^ (uint64_t)incarnation;
}

struct bd_pool *
bd_daemon_pool (struct bd_daemon *daemon, const char *service)
{
  struct bd_pool *pool = g_hash_table_lookup (daemon->pools, service);

  if (pool != NULL)
    return pool;
  pool = g_new0 (struct bd_pool, 1);
  bd_name_copy (pool->service, service);
  bd_queue_init (&pool->queue, daemon->settings->max_queued, QUEUE_BYTES,
                 bd_daemon_now_ms (daemon));
  g_hash_table_insert (daemon->pools, pool->service, pool);
  return pool;
}

static struct bd_group_traffic *
traffic_of (struct bd_daemon *daemon, const char *group_id)
{
  struct bd_group_traffic *traffic
      = g_hash_table_lookup (daemon->traffic, group_id);

  if (traffic != NULL)
    return traffic;
  traffic = g_new0 (struct bd_group_traffic, 1);
  g_hash_table_insert (daemon->traffic, g_strdup (group_id), traffic);
  return traffic;
}

/* The list of places is built for every call, in memory that is kept.  */
static struct bd_places *
scratch (struct bd_daemon *daemon)
{
  if (daemon->places == NULL)
    daemon->places = talloc (daemon, struct bd_places);
  return daemon->places;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static double
median_pace (struct bd_daemon *daemon)
{
  double paces[MAX_PLACES];
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, daemon->traffic);
  while (count < MAX_PLACES && g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct bd_group_traffic *)value)->ms_per_token > 0)
      paces[count++] = ((struct bd_group_traffic *)value)->ms_per_token;
  if (count == 0)
    return 0;
  qsort (paces, count, sizeof *paces, compare_doubles);
  return paces[count / 2];
}

void
bd_daemon_note_pace (struct bd_daemon *daemon, const char *group_id,
                     int64_t passed_ms, uint32_t tokens)
{
  struct bd_group_traffic *traffic = traffic_of (daemon, group_id);
  double pace = (double)passed_ms / (tokens > 0 ? tokens : 1);
  double median;

  traffic->ms_per_token
      = traffic->ms_per_token > 0
            ? traffic->ms_per_token
                  + pace_smoothing * (pace - traffic->ms_per_token)
            : pace;
  median = median_pace (daemon);
  if (median <= 0)
    return;
  if (traffic->ms_per_token > straggler_above * median)
    traffic->is_straggler = true;
  else if (traffic->ms_per_token < straggler_below * median)
    traffic->is_straggler = false;
}

/* What this daemon may have at a place whatever the others do.  */
static uint32_t
share_of (const struct bd_daemon *daemon, const struct bd_service *service)
{
  uint32_t live = bd_membership_live (&daemon->membership,
                                      daemon->settings->data_centre);

  return service->max_in_flight / (live > 0 ? live : 1);
}

static void
add_group (struct bd_daemon *daemon, const struct bd_job *job,
           const struct bd_service *service, const struct bd_group *group,
           double median, int64_t now_ms, struct bd_places *out)
{
  struct bd_endpoint *leader = bd_daemon_endpoint (daemon, group->members[0]);
  struct bd_group_traffic *traffic;
  struct bd_place *target = &out->items[out->count];
  struct bd_candidate *candidate = &out->candidates[out->count];
  uint64_t id_hash = bd_hash (group->id, strlen (group->id));
  const struct bd_group_news *news;

  if (leader == NULL || out->count == MAX_PLACES
      || bd_daemon_gate (daemon, group, now_ms) != BD_GATE_OPEN
      || bd_daemon_is_doubted (
          daemon, bd_daemon_group_place (group->id, group->incarnation)))
    return;
  traffic = traffic_of (daemon, group->id);
  news = g_hash_table_lookup (daemon->group_news, &id_hash);
  memset (target, 0, sizeof *target);
  memset (candidate, 0, sizeof *candidate);
  bd_name_copy (target->group, group->id);
  bd_name_copy (target->instance, leader->info.name);
  bd_name_copy (target->address, leader->info.address);
  target->incarnation = group->incarnation;
  target->port = leader->info.port;
  target->hash = bd_daemon_group_place (group->id, group->incarnation);
  candidate->capacity = service->max_in_flight;
  candidate->share = share_of (daemon, service);
  candidate->own_in_flight = traffic->in_flight;
  candidate->reported = leader->sighting.report.running;
  candidate->own_at_report = leader->own_at_report;
  if (news != NULL && news->whole_ms > leader->sighting.heard_ms)
    {
      candidate->reported = news->running;
      candidate->own_at_report = news->own_at_report;
    }
  candidate->slowness = traffic->is_straggler && median > 0
                            ? traffic->ms_per_token / median
                            : 1.0;
  if (job != NULL)
    {
      candidate->cached = bd_prefix_expected (&daemon->prefixes, &job->prefix,
                                              target->hash, now_ms);
      candidate->is_tried = bd_call_was_tried (&job->call, target->hash);
      candidate->is_kept
          = job->verdict == BD_VERDICT_APART && traffic->suspects > 0;
    }
  out->count++;
}

static void
add_endpoint (struct bd_daemon *daemon, const struct bd_job *job,
              const struct bd_service *service, struct bd_endpoint *e,
              int64_t now_ms, struct bd_places *out)
{
  struct bd_place *target = &out->items[out->count];
  struct bd_candidate *candidate = &out->candidates[out->count];

  if (out->count == MAX_PLACES || strcmp (e->info.pool, service->pool) != 0
      || strcmp (e->info.data_centre, daemon->settings->data_centre) != 0
      || e->sighting.is_leaving || !e->sighting.was_heard
      || now_ms - e->sighting.heard_ms > daemon->settings->dead_after_ms)
    return;
  memset (target, 0, sizeof *target);
  memset (candidate, 0, sizeof *candidate);
  bd_name_copy (target->instance, e->info.name);
  bd_name_copy (target->address, e->info.address);
  target->port = e->info.port;
  target->hash = bd_hash (e->info.name, strlen (e->info.name));
  candidate->capacity = service->max_in_flight;
  candidate->share = share_of (daemon, service);
  candidate->own_in_flight = e->in_flight;
  candidate->reported = e->sighting.report.running;
  candidate->own_at_report = e->own_at_report;
  candidate->slowness = 1.0;
  candidate->is_tried
      = job != NULL && bd_call_was_tried (&job->call, target->hash);
  out->count++;
}

static void
list_places (struct bd_daemon *daemon, const struct bd_job *job,
             const struct bd_service *service, struct bd_places *out)
{
  const struct bd_allotment *allotment = daemon->keeper.allotment;
  int64_t now_ms = bd_daemon_now_ms (daemon);
  GHashTableIter iter;
  gpointer value;

  out->count = 0;
  if (service->is_model)
    {
      double median = median_pace (daemon);
      for (uint32_t i = 0; allotment != NULL && i < allotment->count; i++)
        if (strcmp (allotment->groups[i].service, service->name) == 0)
          add_group (daemon, job, service, &allotment->groups[i], median,
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
  struct bd_places *places = scratch (daemon);
  uint32_t free = 0;

  list_places (daemon, NULL, service, places);
  for (uint32_t i = 0; i < places->count; i++)
    {
      const struct bd_candidate *c = &places->candidates[i];
      uint32_t load = bd_candidate_load (c);
      if (bd_candidate_has_room (c))
        free += load < c->capacity ? c->capacity - load : 1;
    }
  return free;
}

/* A data centre with room for a call of the service, or NULL.  */
static struct bd_centre_room *
centre_with_room (struct bd_daemon *daemon, const struct bd_service *service)
{
  uint64_t hash = bd_hash (service->name, strlen (service->name));
  int64_t now_ms = bd_daemon_now_ms (daemon);

  for (uint32_t i = 0; i < daemon->centre_count; i++)
    {
      struct bd_centre_room *centre
          = &daemon->centres[(i + daemon->turn) % daemon->centre_count];
      if (now_ms - centre->heard_ms
          > (centre->is_relay ? RELAY_FRESH_MS : CENTRE_FRESH_MS))
        continue;
      for (uint32_t r = 0; r < centre->capacity_count; r++)
        if (centre->capacities[r].service_hash == hash
            && centre->capacities[r].queued == 0
            && centre->capacities[r].free > centre->sent_since)
          return centre;
    }
  return NULL;
}

uint32_t
bd_daemon_rooms_elsewhere (struct bd_daemon *daemon,
                           struct bd_service_capacity *capacities)
{
  uint32_t count = 0;

  for (uint32_t i = 0;
       i < daemon->config.service_count && count < BD_MAX_ROOMS; i++)
    {
      const struct bd_service *service = daemon->config.services[i];
      memset (&capacities[count], 0, sizeof capacities[count]);
      if (centre_with_room (daemon, service) == NULL)
        continue;
      capacities[count].service_hash
          = bd_hash (service->name, strlen (service->name));
      capacities[count++].free = UINT32_MAX;
    }
  return count;
}

bool
bd_daemon_has_room (struct bd_daemon *daemon, const struct bd_service *service)
{
  return bd_daemon_free_slots (daemon, service) > 0
         || centre_with_room (daemon, service) != NULL;
}

bool
bd_daemon_can_ever_serve (struct bd_daemon *daemon,
                          const struct bd_service *service)
{
  const struct bd_allotment *allotment = daemon->keeper.allotment;
  GHashTableIter iter;
  gpointer value;

  if (centre_with_room (daemon, service) != NULL)
    return true;
  if (service->is_model)
    {
      for (uint32_t i = 0; allotment != NULL && i < allotment->count; i++)
        if (strcmp (allotment->groups[i].service, service->name) == 0)
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
bd_daemon_take_centre (struct bd_daemon *daemon,
                       const struct bd_data_centre_status *news, bool is_relay)
{
  struct bd_centre_room *centre = NULL;

  for (uint32_t i = 0; i < daemon->centre_count; i++)
    if (strcmp (daemon->centres[i].name, news->name) == 0)
      centre = &daemon->centres[i];
  if (centre == NULL && daemon->centre_count == BD_MAX_CENTRES)
    return;
  if (centre == NULL)
    centre = &daemon->centres[daemon->centre_count++];
  bd_name_copy (centre->name, news->name);
  bd_name_copy (centre->address, news->address);
  centre->http_port = news->http_port;
  centre->heard_ms = bd_daemon_now_ms (daemon);
  centre->sent_since = 0;
  centre->is_relay = is_relay;
  centre->capacity_count = news->capacity_count < BD_MAX_ROOMS
                               ? news->capacity_count
                               : BD_MAX_ROOMS;
  memcpy (centre->capacities, news->capacities,
          centre->capacity_count * sizeof *centre->capacities);
}

void
bd_daemon_lose_centre (struct bd_daemon *daemon, const char *name)
{
  for (uint32_t i = 0; i < daemon->centre_count; i++)
    if (strcmp (daemon->centres[i].name, name) == 0)
      daemon->centres[i].capacity_count = 0;
}

static void
place_at_daemon (struct bd_place *target, const char *name,
                 const char *address, uint32_t http_port)
{
  memset (target, 0, sizeof *target);
  bd_name_copy (target->instance, name);
  bd_name_copy (target->address, address);
  target->port = http_port;
  target->hash = bd_hash_pair ("daemon", name);
  target->is_daemon = true;
}

/* Suspects of a centre all run at one daemon, which keeps them apart.  */
static bool
choose_suspect_owner (struct bd_daemon *daemon, const struct bd_job *job,
                      struct bd_place *target)
{
  const struct bd_member *owner = bd_membership_first (
      &daemon->membership, daemon->settings->data_centre, "suspects");

  if (job->verdict != BD_VERDICT_APART || job->must_stay || job->is_hop
      || owner == bd_membership_self (&daemon->membership))
    return false;
  place_at_daemon (target, owner->name, owner->address, owner->http_port);
  return !bd_call_was_tried (&job->call, target->hash);
}

static bool
choose_centre (struct bd_daemon *daemon, const struct bd_job *job,
               const struct bd_service *service, struct bd_place *target)
{
  struct bd_centre_room *centre = centre_with_room (daemon, service);

  if ((job->is_hop && !job->may_leave) || centre == NULL)
    return false;
  place_at_daemon (target, centre->name, centre->address, centre->http_port);
  target->is_relay = centre->is_relay;
  if (bd_call_was_tried (&job->call, target->hash))
    return false;
  centre->sent_since++;
  daemon->turn++;
  return true;
}

/* Prompts of one prefix go to the same replicas from every daemon.  */
static void
send_home (const struct bd_job *job, struct bd_places *places)
{
  uint64_t replicas[MAX_PLACES];
  int32_t homes[2];

  for (uint32_t i = 0; i < places->count; i++)
    replicas[i] = places->items[i].hash;
  bd_prefix_homes (&job->prefix, replicas, places->count, homes);
  bd_candidates_at_home (places->candidates, homes);
}

/* Whether the call has failed at every place that there is.  */
static bool
was_tried_everywhere (const struct bd_places *places)
{
  for (uint32_t i = 0; i < places->count; i++)
    if (!places->candidates[i].is_tried)
      return false;
  return places->count > 0;
}

enum bd_choice
bd_daemon_choose_place (struct bd_daemon *daemon, struct bd_job *job,
                        struct bd_place *target)
{
  const struct bd_service *service
      = bd_config_service (&daemon->config, job->service);
  struct bd_routing_costs costs
      = { .prefill_ms = (double)job->body_size * US_PER_PROMPT_BYTE / 1000,
          .step_ms = STEP_MS };
  struct bd_places *places;
  int32_t chosen;

  if (service == NULL)
    return BD_CHOICE_NEVER;
  if (choose_suspect_owner (daemon, job, target))
    return BD_CHOICE_PLACE;
  places = scratch (daemon);
  list_places (daemon, job, service, places);
  send_home (job, places);
  chosen = bd_router_by_wait.choose (places->candidates, places->count, &costs,
                                     daemon->rng, &daemon->turn);
  if (chosen >= 0)
    *target = places->items[chosen];
  if (chosen >= 0 || choose_centre (daemon, job, service, target))
    return BD_CHOICE_PLACE;
  return was_tried_everywhere (places)
                 || !bd_daemon_can_ever_serve (daemon, service)
             ? BD_CHOICE_NEVER
             : BD_CHOICE_LATER;
}

void
bd_daemon_enter_place (struct bd_daemon *daemon, const struct bd_place *target,
                       bool is_suspect)
{
  struct bd_endpoint *e = bd_daemon_endpoint (daemon, target->instance);

  if (target->is_daemon)
    return;
  if (e != NULL)
    e->in_flight++;
  if (target->group[0] == '\0')
    return;
  traffic_of (daemon, target->group)->in_flight++;
  if (is_suspect)
    traffic_of (daemon, target->group)->suspects++;
}

void
bd_daemon_leave_place (struct bd_daemon *daemon, const struct bd_place *target,
                       bool is_suspect)
{
  struct bd_endpoint *e = bd_daemon_endpoint (daemon, target->instance);

  if (target->is_daemon)
    return;
  if (e != NULL && e->in_flight > 0)
    e->in_flight--;
  if (target->group[0] == '\0')
    return;
  traffic_of (daemon, target->group)->in_flight--;
  if (is_suspect)
    traffic_of (daemon, target->group)->suspects--;
}

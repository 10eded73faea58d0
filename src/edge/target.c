/* Targets: collects the load of the groups and endpoints that can serve a
   request, has placement/ choose one, and tracks the requests on each.  */

#include "base/numbers.h"
#include "edge/edge_internal.h"
#include "placement/subset.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_CANDIDATES = 512,
  /* Groups of a model that a daemon prefers, and daemons that prefer a group,
     at least.  */
  MIN_PREFERRED = 4,
  MIN_DAEMONS_PER_GROUP = 4,
  /* Other groups that a request is compared with.  */
  SAMPLED_OTHERS = 8,
  /* Requests beyond its slots that may wait at a plain endpoint.  */
  MAX_ENDPOINT_QUEUE = 2,
  /* Requests that run or wait at an endpoint.  Higher numbers are ignored.  */
  MAX_LOAD = 1 << 20,
  /* Time for which the load that an endpoint reports is used.  */
  LOAD_FRESH_MS = 200,
  /* Usual response time of a plain endpoint.  */
  PLAIN_RESPONSE_MS = 30,
  /* Longest time for which an endpoint can ask for no requests; it may have
     recovered sooner.  */
  MAX_CLOSED_S = 60,
  /* Shortest time over which the daemons return to an endpoint.  */
  MIN_RETURN_SPREAD_MS = 100,
  /* Daemons that use one group at the same time, at most; in a large fleet
     these are those that prefer it.  */
  MAX_SHARING_DAEMONS = 8,
  /* A request that interference control has held back is looked at again after
     this time: the views of the other daemons' requests change no faster, and
     each look costs a choice.  */
  HOLD_MS = 20,
  MS_PER_S = 1000
};

/* Time added to targets in other data centres: the round trip, and a
   preference for leaving their capacity to their own callers.  */
static const double remote_penalty_ms = 12.0;
/* A group that is not preferred is used when the preferred ones take this many
   times as long.  */
static const double widen_factor = 1.3;
/* Weight of a new sample of latency, failures or pace in the moving average.
 */
static const double smoothing = 0.2;
/* The same of the deviation of latencies.  */
static const double deviation_smoothing = 0.25;
/* Upper limit of one sample of a group's pace.  */
static const double max_pace = 20.0;

static bool
was_tried (const struct bd_edge_request *request, uint64_t target)
{
  return bd_call_was_tried (&request->call, target);
}

static double
distance_ms (const struct bd_edge *edge, const char *data_centre)
{
  return strcmp (edge->settings->data_centre, data_centre) == 0
             ? 0
             : remote_penalty_ms;
}

/* Time after which the requests of all daemons have been reported.  */
static int64_t
report_ms (const struct bd_edge *edge)
{
  return 2 * bd_edge_traffic_age_ms (edge);
}

/* Requests that the other daemons may have sent to the group and not yet
   reported.  */
static uint32_t
unreported_load (const struct bd_edge *edge,
                 const struct bd_fleet_group *group)
{
  return bd_burst_unreported (&group->burst,
                              MIN (edge->live_daemons, MAX_SHARING_DAEMONS),
                              report_ms (edge), bd_edge_now_ms (edge));
}

/* Whether src/interference/ chooses the request's group.  */
static bool
is_mixed (const struct bd_edge_request *request,
          struct bd_interference_request *prompt)
{
  return bd_edge_describe_prompt (request, prompt)
         && bd_interference_has_choice (
             &request->edge->settings->interference);
}

/* Requests that the other daemons may have sent to the group from their
   backlogs and not yet reported.  All of them see the same few free slots.  */
static uint32_t
unreported_waited (const struct bd_edge *edge,
                   const struct bd_fleet_group *group)
{
  return bd_burst_unreported (&group->waited,
                              MIN (edge->live_daemons, MAX_SHARING_DAEMONS),
                              report_ms (edge), bd_edge_now_ms (edge));
}

/* Counts a request that has waited if the group has just opened, or under
   interference control.  */
static void
note_burst (const struct bd_edge_request *request,
            struct bd_fleet_group *group)
{
  int64_t window_ms = report_ms (request->edge);
  struct bd_interference_request prompt;

  if (request->backlog_item.since_ms > 0 && is_mixed (request, &prompt)
      && request->edge->settings->interference.keeps_reserve)
    bd_burst_add (&group->waited, window_ms, request->sent_ms);

  if (group->first_sent_ms == 0)
    group->first_sent_ms = request->sent_ms;
  if (request->backlog_item.since_ms > 0
      && request->sent_ms - group->first_sent_ms < 2 * window_ms)
    bd_burst_add (&group->burst, window_ms, request->sent_ms);
}

static void
fill_group_load (const struct bd_edge_request *request,
                 const struct bd_fleet_group *group,
                 struct bd_group_load *load)
{
  const struct bd_edge *edge = request->edge;

  load->running = group->in_flight + group->peers_in_flight
                  + unreported_load (edge, group);
  load->prefill_count = group->prefill_count;
  load->prefill_ms = group->prefill_ms;
  load->peers_prefill_ms = group->peers_prefill_ms;
  load->distance_ms = distance_ms (edge, group->data_centre);
  load->age_ms = (double)bd_edge_traffic_age_ms (edge);
  load->is_tried = was_tried (request, group->hash);
}

/* The groups that are compared for one request.  */
struct candidates
{
  struct bd_group_load loads[MAX_CANDIDATES];
  struct bd_fleet_group *groups[MAX_CANDIDATES];
  uint32_t count;
};

/* Whether new attempts can be sent to the group.  Its requests go to its
   leader, so that the leader's data centre decides.  */
static bool
is_group_usable (const struct bd_fleet_group *group, uint32_t members,
                 int64_t now_ms)
{
  return bd_fleet_is_usable (group, members, now_ms)
         && !group->members[0]->is_evacuated;
}

/* Whether the request of a filter may be sent to the endpoint.  */
static bool
is_allowed (const struct bd_regions_filter *regions,
            const struct bd_fleet_endpoint *endpoint)
{
  return bd_regions_allows (regions, endpoint->entry.data_centre);
}

/* Adds count of size groups from the one with index first, after the last the
   first, if they are usable.  */
static void
add_candidates (const struct bd_edge_request *request,
                const struct bd_engine_model *model,
                struct candidates *candidates, struct bd_fleet_group **groups,
                uint32_t size, uint32_t first, uint32_t count)
{
  struct bd_regions_filter regions = bd_edge_regions (request);
  int64_t now_ms = bd_edge_now_ms (request->edge);

  for (uint32_t i = 0; i < count && candidates->count < MAX_CANDIDATES; i++)
    {
      struct bd_fleet_group *group = groups[(first + i) % size];
      struct bd_group_load *load = &candidates->loads[candidates->count];

      if (!is_group_usable (group, model->members, now_ms)
          || !is_allowed (&regions, group->members[0])
          || !bd_edge_has_permit (group->members[0], now_ms))
        continue;
      memset (load, 0, sizeof *load);
      fill_group_load (request, group, load);
      candidates->groups[candidates->count++] = group;
    }
}

/* Adds the groups that this daemon prefers.  */
static void
add_preferred (const struct bd_edge_request *request,
               const struct bd_engine_model *model,
               struct candidates *candidates)
{
  const struct bd_edge *edge = request->edge;
  uint32_t size;
  struct bd_fleet_group **groups
      = bd_fleet_groups_of (&edge->fleet, request->service, model->name,
                            edge->settings->data_centre, &size);
  uint32_t width;

  if (size == 0)
    return;
  width = bd_subset_width (size, edge->local_daemons, MIN_PREFERRED,
                           MIN_DAEMONS_PER_GROUP);
  add_candidates (
      request, model, candidates, groups, size,
      bd_subset_first (size, width, edge->local_place, edge->local_daemons),
      width);
}

/* Adds all groups of the model, or a part of them that is drawn at random.  */
static void
add_any (const struct bd_edge_request *request,
         const struct bd_engine_model *model, uint32_t max,
         struct candidates *candidates)
{
  const struct bd_edge *edge = request->edge;
  uint32_t size;
  struct bd_fleet_group **groups = bd_fleet_groups_of (
      &edge->fleet, request->service, model->name, NULL, &size);
  uint32_t first;

  if (size == 0)
    return;
  first = (uint32_t)gsl_rng_uniform_int (edge->rng, size);
  add_candidates (request, model, candidates, groups, size, first,
                  size < max ? size : max);
}

static int32_t
choose_among (const struct bd_edge_request *request,
              const struct bd_engine *engine,
              const struct bd_engine_model *model,
              const struct candidates *candidates, double *expected_ms)
{
  return bd_choose_group (engine, model, candidates->loads, candidates->count,
                          request->prompt_tokens, request->edge->rng,
                          expected_ms);
}

/* Sets the group with an index as the target.  */
static void
set_group (struct bd_edge_target *target, const struct candidates *from,
           uint32_t chosen)
{
  const struct bd_fleet_endpoint *leader = from->groups[chosen]->members[0];

  target->group = from->groups[chosen]->hash;
  target->load = from->loads[chosen].running;
  bd_name_copy (target->endpoint, leader->entry.id);
  bd_name_copy (target->address, leader->entry.address);
  target->port = leader->entry.port;
}

double
bd_edge_unseen_work_ms (const struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  const struct bd_edge_work *work = bd_edge_find_work (edge, request->model);
  uint32_t groups;

  if (work == NULL || !edge->settings->interference.levels_load)
    return 0;
  bd_fleet_groups_of (&edge->fleet, request->service, request->model, NULL,
                      &groups);
  return groups == 0 ? 0
                     : work->peers_replicas
                           * (double)bd_edge_traffic_age_ms (edge) / groups;
}

bool
bd_edge_describe_prompt (const struct bd_edge_request *request,
                         struct bd_interference_request *prompt)
{
  const struct bd_edge *edge = request->edge;
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);
  const struct bd_edge_work *work
      = bd_edge_find_work (request->edge, request->model);
  int64_t due_ms = request->received_ms + request->objective_ms;

  *prompt = (struct bd_interference_request){
    .prompt_tokens = request->prompt_tokens,
    .objective_ms = request->objective_ms,
    .left_ms = (double)(due_ms - bd_edge_now_ms (edge)),
    .shortest_objective_ms
    = work != NULL ? work->shortest_objective_ms : request->objective_ms,
    .is_resumed = request->has_stream_begun,
    /* Another daemon can send at once what this one would hold back.  */
    .can_wait = !request->is_taken_over || request->is_last_resort,
  };
  return model != NULL
         && bd_interference_applies (&edge->settings->interference, engine,
                                     model, request->objective_ms);
}

void
bd_edge_note_held (struct bd_edge_request *request,
                   const struct bd_edge_target *target)
{
  struct bd_edge *edge = request->edge;
  struct bd_interference_request prompt;

  bd_edge_describe_prompt (request, &prompt);
  if (request->held_until_ms == 0)
    {
      bd_count (&edge->counters, BD_COUNT_PLACEMENTS_HELD);
      bd_log_detail ("held", "id", request->attempt_id, "for",
                     target->is_held_late ? "reserve" : "prefill", "tokens",
                     BD_NUM (request->prompt_tokens), "left_ms",
                     BD_NUM ((int64_t)prompt.left_ms), NULL);
    }
  request->held_until_ms = bd_edge_now_ms (edge) + HOLD_MS;
}

/* Adds to the loads what other daemons' backlogs may have sent.  */
static void
add_waited (const struct bd_edge *edge, struct candidates *candidates)
{
  for (uint32_t i = 0; i < candidates->count; i++)
    {
      const struct bd_fleet_group *group = candidates->groups[i];
      uint32_t waited = unreported_waited (edge, group);
      uint32_t opened = unreported_load (edge, group);

      /* What has gone to a group that has just opened is counted already.  */
      if (waited > opened)
        candidates->loads[i].running += waited - opened;
    }
}

/* Chooses among the preferred groups and a few others, or among all groups if
   none of these will do.  */
static bool
find_mixed_group (const struct bd_edge_request *request,
                  const struct bd_interference_request *prompt,
                  struct bd_edge_target *target)
{
  static struct candidates candidates;
  const struct bd_edge *edge = request->edge;
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);
  struct bd_interference_choice choice;
  uint32_t preferred = 0;

  candidates.count = 0;
  add_preferred (request, model, &candidates);
  for (uint32_t pass = 0; pass < 2; pass++)
    {
      uint32_t from = candidates.count;

      if (pass > 0)
        from = candidates.count = 0;
      add_any (request, model, pass > 0 ? MAX_CANDIDATES : SAMPLED_OTHERS,
               &candidates);
      preferred = from;
      for (uint32_t i = from; i < candidates.count && from > 0; i++)
        candidates.loads[i].widen_factor = widen_factor;
      if (edge->settings->interference.keeps_reserve)
        add_waited (edge, &candidates);
      bd_interference_choose (&edge->settings->interference, engine, model,
                              candidates.loads, candidates.count, prompt,
                              edge->rng, &choice);
      target->candidates = candidates.count;
      if (choice.verdict == BD_INTERFERENCE_SEND)
        break;
    }
  target->is_held = choice.verdict == BD_INTERFERENCE_RESERVE
                    || choice.verdict == BD_INTERFERENCE_PREFILL;
  target->is_held_late = choice.verdict == BD_INTERFERENCE_RESERVE;
  if (choice.verdict != BD_INTERFERENCE_SEND)
    return false;
  target->is_late
      = choice.is_late && edge->settings->interference.keeps_reserve;
  target->expected_ms = choice.expected_ms;
  set_group (target, &candidates, choice.index);
  target->is_preferred = choice.index < preferred;
  return true;
}

static bool
find_group (const struct bd_edge_request *request,
            struct bd_edge_target *target)
{
  static struct candidates preferred;
  static struct candidates others;
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);
  const struct candidates *from = &preferred;
  struct bd_interference_request prompt;
  double other_ms;
  int32_t chosen;
  int32_t other;

  if (model == NULL)
    return false;
  if (is_mixed (request, &prompt))
    {
      prompt.unseen_ms = bd_edge_unseen_work_ms (request);
      return find_mixed_group (request, &prompt, target);
    }
  preferred.count = 0;
  others.count = 0;
  add_preferred (request, model, &preferred);
  chosen = choose_among (request, engine, model, &preferred,
                         &target->expected_ms);
  /* A few others show whether the preferred ones are overloaded.  Only when
     all of those are full, all are compared.  */
  add_any (request, model, chosen >= 0 ? SAMPLED_OTHERS : MAX_CANDIDATES,
           &others);
  other = choose_among (request, engine, model, &others, &other_ms);
  if (other >= 0
      && (chosen < 0 || other_ms * widen_factor < target->expected_ms))
    {
      from = &others;
      chosen = other;
      target->expected_ms = other_ms;
    }
  if (chosen < 0)
    return false;
  target->candidates = preferred.count + others.count;
  set_group (target, from, (uint32_t)chosen);
  target->is_preferred = from == &preferred;
  return true;
}

/* Returns the number of requests on an endpoint: the load that it reported
   plus the requests sent since, while the report is recent and the sum is
   higher than this daemon's own requests in flight; otherwise those.  */
static uint32_t
endpoint_running (const struct bd_edge *edge,
                  const struct bd_fleet_endpoint *endpoint)
{
  uint32_t reported = endpoint->load + endpoint->sent_since_load;
  uint32_t own_in_flight = endpoint->in_flight;

  if (bd_edge_now_ms (edge) - endpoint->load_updated_ms < LOAD_FRESH_MS
      && reported > own_in_flight)
    return reported;
  return own_in_flight;
}

/* Whether requests to a plain service can be sent to the endpoint.  */
static bool
is_endpoint_usable (const struct bd_edge *edge, const char *service,
                    const struct bd_fleet_endpoint *endpoint)
{
  return bd_fleet_is_available (endpoint) && !endpoint->is_evacuated
         && bd_edge_now_ms (edge) >= endpoint->closed_until_ms
         && strcmp (endpoint->entry.service, service) == 0;
}

static void
fill_endpoint_load (const struct bd_edge_request *request,
                    const struct bd_fleet_endpoint *endpoint, int64_t now_ms,
                    struct bd_endpoint_load *load)
{
  const struct bd_edge *edge = request->edge;

  memset (load, 0, sizeof *load);
  load->running = endpoint_running (edge, endpoint);
  load->slots = endpoint->entry.slots;
  load->latency_ms = endpoint->latency_ms;
  load->failure_rate = endpoint->failure_rate;
  load->distance_ms = distance_ms (edge, endpoint->entry.data_centre);
  load->is_overloaded = now_ms < endpoint->backoff_until_ms;
  load->is_tried = was_tried (
      request, bd_hash (endpoint->entry.id, strlen (endpoint->entry.id)));
}

static bool
find_endpoint (const struct bd_edge_request *request,
               struct bd_edge_target *target)
{
  struct bd_edge *edge = request->edge;
  static struct bd_endpoint_load loads[MAX_CANDIDATES];
  static struct bd_fleet_endpoint *endpoints[MAX_CANDIDATES];
  struct bd_regions_filter regions = bd_edge_regions (request);
  int64_t now_ms = bd_edge_now_ms (edge);
  uint32_t count = 0;
  int32_t chosen;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (count < MAX_CANDIDATES
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_endpoint *endpoint = value;

      if (!is_endpoint_usable (edge, request->service, endpoint)
          || !is_allowed (&regions, endpoint)
          || !bd_edge_has_permit (endpoint, now_ms))
        continue;
      fill_endpoint_load (request, endpoint, now_ms, &loads[count]);
      endpoints[count++] = endpoint;
    }
  chosen = bd_choose_endpoint (loads, count, MAX_ENDPOINT_QUEUE, edge->rng);
  if (chosen < 0)
    return false;
  target->group = 0;
  target->candidates = count;
  target->load = loads[chosen].running;
  target->expected_ms = 0;
  bd_name_copy (target->endpoint, endpoints[chosen]->entry.id);
  bd_name_copy (target->address, endpoints[chosen]->entry.address);
  target->port = endpoints[chosen]->entry.port;
  return true;
}

/* Chooses a group or an endpoint; none before it is known which data centres
   are evacuated.  */
static bool
find_own_target (const struct bd_edge_request *request,
                 struct bd_edge_target *target)
{
  if (bd_edge_awaits_evacuations (request->edge))
    return false;
  return request->model[0] != '\0' ? find_group (request, target)
                                   : find_endpoint (request, target);
}

/* Chooses another daemon, unless that one has no target either.  */
static bool
find_daemon (const struct bd_edge_request *request,
             struct bd_edge_target *target)
{
  return !bd_edge_is_service_evacuated (request->edge, request->service)
         && !bd_edge_lacks_region (request)
         && bd_edge_find_daemon (request, target);
}

bool
bd_edge_find_target (const struct bd_edge_request *request,
                     struct bd_edge_target *target)
{
  const struct bd_links *links
      = &bd_edge_service (request->edge, request->service)->links;

  memset (target, 0, sizeof *target);
  if (request->edge->routes == NULL)
    return false;
  if (links->is_lost)
    return find_daemon (request, target);
  if (request->prefers_handover && find_daemon (request, target))
    return true;
  return find_own_target (request, target)
         || (!target->is_held && bd_links_is_doubtful (links)
             && find_daemon (request, target));
}

bool
bd_edge_choose_target (struct bd_edge_request *request,
                       struct bd_edge_target *target)
{
  bool is_found = bd_edge_find_target (request, target);

  if (target->is_held)
    bd_edge_note_held (request, target);
  return is_found;
}

int64_t
bd_edge_due_delay_ms (const struct bd_edge_request *request)
{
  struct bd_interference_request prompt;
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);

  return is_mixed (request, &prompt)
             ? (int64_t)bd_interference_due_delay_ms (engine, model)
             : bd_edge_estimate_response_ms (request);
}

int64_t
bd_edge_estimate_response_ms (const struct bd_edge_request *request)
{
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);
  struct bd_group_load load = { .pace = 1.0 };

  if (model == NULL)
    return PLAIN_RESPONSE_MS;
  load.running = engine->slots;
  return (int64_t)bd_first_event_ms (engine, model, &load,
                                     request->prompt_tokens);
}

void
bd_edge_acquire_slot (struct bd_edge_request *request,
                      const struct bd_edge_target *target)
{
  struct bd_edge *edge = request->edge;
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, target->endpoint);
  struct bd_fleet_group *group = bd_fleet_group (&edge->fleet, target->group);
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);

  bd_name_copy (request->endpoint, target->endpoint);
  request->is_handed_over = target->is_daemon;
  request->group = target->group;
  request->sent_ms = bd_edge_now_ms (edge);
  request->last_event_ms = request->sent_ms;
  request->expected_ms = target->expected_ms;
  request->is_prefilling = true;
  if (request->held_until_ms > 0)
    bd_count (&edge->counters, BD_COUNT_PLACEMENTS_RELEASED);
  request->held_until_ms = 0;
  if (target->is_late)
    bd_count (&edge->counters, BD_COUNT_PLACEMENTS_LATE);
  request->endpoint_started_ms
      = endpoint != NULL ? endpoint->entry.started_ms : 0;
  if (endpoint != NULL)
    {
      endpoint->in_flight++;
      endpoint->sent_since_load++;
      bd_edge_take_permit (endpoint, request->sent_ms);
    }
  if (group == NULL || model == NULL)
    return;
  request->prefill_ms
      = bd_engine_prefill_ms (engine, model, request->prompt_tokens);
  group->in_flight++;
  note_burst (request, group);
  group->prefill_count++;
  group->prefill_ms += request->prefill_ms;
  group->sent_ms = request->sent_ms;
}

void
bd_edge_release_slot (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, request->endpoint);
  struct bd_fleet_group *group = bd_fleet_group (&edge->fleet, request->group);

  if (endpoint != NULL && endpoint->in_flight > 0)
    endpoint->in_flight--;
  if (group == NULL)
    return;
  if (group->in_flight > 0)
    group->in_flight--;
  bd_edge_note_prefill_done (request);
}

void
bd_edge_note_prefill_done (struct bd_edge_request *request)
{
  struct bd_fleet_group *group
      = bd_fleet_group (&request->edge->fleet, request->group);

  if (!request->is_prefilling)
    return;
  request->is_prefilling = false;
  if (group == NULL)
    return;
  if (group->prefill_count > 0)
    group->prefill_count--;
  group->prefill_ms -= request->prefill_ms;
  if (group->prefill_ms < 0 || group->prefill_count == 0)
    group->prefill_ms = 0;
}

double
bd_edge_pass_ms (const struct bd_edge_request *request,
                 const struct bd_fleet_group *group)
{
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);

  return model == NULL
             ? 0
             : bd_engine_pass_ms (engine, model,
                                  group->in_flight + group->peers_in_flight);
}

void
bd_edge_note_gap (struct bd_edge_request *request, int64_t gap_ms)
{
  struct bd_fleet_group *group
      = bd_fleet_group (&request->edge->fleet, request->group);
  double pass_ms;
  double sample;

  if (group == NULL)
    return;
  pass_ms = bd_edge_pass_ms (request, group);
  if (!(pass_ms > 0))
    return;
  sample = (double)gap_ms / pass_ms;
  group->pace
      += smoothing * ((sample < max_pace ? sample : max_pace) - group->pace);
}

int64_t
bd_edge_started_ms (const struct bd_edge *edge, const char *id)
{
  const struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, id);

  return endpoint != NULL ? endpoint->entry.started_ms : 0;
}

/* The time that a response asks to wait, in ms; 0 for none.  */
static int64_t
wait_of (const struct bd_edge *edge, const struct bd_http_call *call)
{
  const char *text
      = bd_http_call_header (call, edge->adapter->headers->retry_after);
  double seconds = text != NULL ? strtod (text, NULL) : 0;

  if (!(seconds > 0))
    return 0;
  return seconds < MAX_CLOSED_S ? (int64_t)(seconds * MS_PER_S)
                                : MAX_CLOSED_S * MS_PER_S;
}

/* Closes the endpoint.  The time is extended by up to a quarter, so that the
   daemons do not all return at the same moment.  */
static void
close_endpoint (struct bd_edge *edge, const char *id, int64_t wait_ms)
{
  int64_t spread_ms = wait_ms / 4 + MIN_RETURN_SPREAD_MS;
  int64_t until_ms
      = bd_edge_now_ms (edge) + wait_ms
        + (int64_t)gsl_rng_uniform_int (edge->rng, (unsigned long)spread_ms);

  bd_fleet_close (&edge->fleet, id, until_ms);
  bd_count (&edge->counters, BD_COUNT_ENDPOINTS_CLOSED);
  bd_log ("endpoint-closed", "endpoint", id, "wait_ms", BD_NUM (wait_ms),
          "started_ms", BD_NUM (bd_edge_started_ms (edge, id)), NULL);
}

void
bd_edge_note_head (struct bd_edge *edge, const char *id,
                   const struct bd_http_call *call, uint32_t status)
{
  struct bd_fleet_endpoint *endpoint = bd_fleet_endpoint (&edge->fleet, id);
  const char *leaving
      = bd_http_call_header (call, edge->adapter->headers->is_leaving);
  struct bd_leaving_update update = { .endpoint = "" };

  /* Status 421: another endpoint has responded.  */
  if (endpoint == NULL || status == 421)
    return;
  bd_edge_note_cold (edge, endpoint, call);
  if (status == 503 && wait_of (edge, call) > 0)
    close_endpoint (edge, id, wait_of (edge, call));
  if (leaving == NULL || strcmp (leaving, "1") != 0
      || !bd_fleet_mark_leaving (&edge->fleet, id, 0, bd_edge_now_ms (edge)))
    return;
  bd_log ("endpoint-leaving", "endpoint", id, "source", "response",
          "started_ms", BD_NUM (endpoint->entry.started_ms), NULL);
  bd_count (&edge->counters, BD_COUNT_ENDPOINTS_LEAVING);
  bd_name_copy (update.endpoint, id);
  update.started_ms = endpoint->entry.started_ms;
  bd_edge_broadcast (edge, BD_MESSAGE_LEAVING, &update, &update.stage);
}

bool
bd_edge_apply_leaving (struct bd_edge *edge, const char *id,
                       int64_t started_ms)
{
  if (!bd_fleet_mark_leaving (&edge->fleet, id, started_ms,
                              bd_edge_now_ms (edge)))
    return false;
  bd_log ("endpoint-leaving", "endpoint", id, "source", "peer", "started_ms",
          BD_NUM (started_ms), NULL);
  return true;
}

bool
bd_edge_receive_leaving (struct bd_edge *edge,
                         const struct bd_leaving_update *update)
{
  return bd_edge_apply_leaving (edge, update->endpoint, update->started_ms);
}

static void
update_load (struct bd_edge *edge, struct bd_fleet_endpoint *endpoint,
             const char *text)
{
  uint32_t numbers[3]; /* Running, waiting, slots.  */

  if (!bd_numbers_read (text, MAX_LOAD, numbers, 3))
    return;
  endpoint->load = numbers[0] + numbers[1];
  endpoint->load_updated_ms = bd_edge_now_ms (edge);
  endpoint->sent_since_load = 0;
}

/* Mean and deviation as of round-trip times in RFC 6298.  */
static void
note_latency (struct bd_fleet_endpoint *endpoint, double took_ms)
{
  double error_ms = took_ms - endpoint->latency_ms;

  if (endpoint->latency_ms == 0)
    {
      endpoint->latency_ms = took_ms;
      endpoint->deviation_ms = took_ms / 2;
      return;
    }
  endpoint->deviation_ms
      += deviation_smoothing * (fabs (error_ms) - endpoint->deviation_ms);
  endpoint->latency_ms += smoothing * error_ms;
}

void
bd_edge_note_response (struct bd_edge_request *request, const char *load,
                       bool is_failed)
{
  struct bd_edge *edge = request->edge;
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, request->endpoint);
  double took_ms = (double)(bd_edge_now_ms (edge) - request->sent_ms);

  if (endpoint == NULL)
    return;
  update_load (edge, endpoint, load);
  endpoint->failure_rate
      += smoothing * ((is_failed ? 1.0 : 0.0) - endpoint->failure_rate);
  if (is_failed)
    endpoint->failed_ms = bd_edge_now_ms (edge);
  else
    note_latency (endpoint, took_ms);
}

void
bd_edge_note_refusal (struct bd_edge_request *request, const char *load,
                      int64_t backoff_ms)
{
  struct bd_edge *edge = request->edge;
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, request->endpoint);

  if (endpoint == NULL)
    return;
  update_load (edge, endpoint, load);
  endpoint->backoff_until_ms = bd_edge_now_ms (edge) + backoff_ms;
}

/* Calls visit for each endpoint, or leader of a group, that requests of the
   same service and model (empty: of a plain service), and with the same lists
   of regions, can be sent to.  */
static void
visit_targets (const struct bd_edge_request *request,
               void (*visit) (void *ctx, struct bd_fleet_endpoint *target,
                              uint32_t slots),
               void *ctx)
{
  const struct bd_edge *edge = request->edge;
  const char *service = request->service;
  const char *model = request->model;
  const struct bd_route_service *route_service
      = edge->routes != NULL ? bd_routes_service (edge->routes, service)
                             : NULL;
  const struct bd_engine_model *engine_model
      = route_service != NULL && route_service->has_engine && model[0] != '\0'
            ? bd_engine_model (&route_service->engine, model)
            : NULL;
  struct bd_regions_filter regions = bd_edge_regions (request);
  struct bd_fleet_group **groups;
  uint32_t size;
  GHashTableIter iter;
  gpointer value;

  if (engine_model == NULL)
    {
      g_hash_table_iter_init (&iter, edge->fleet.endpoints);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct bd_fleet_endpoint *endpoint = value;

          if (is_endpoint_usable (edge, service, endpoint)
              && is_allowed (&regions, endpoint))
            visit (ctx, endpoint, endpoint->entry.slots);
        }
      return;
    }
  groups = bd_fleet_groups_of (&edge->fleet, service, model, NULL, &size);
  for (uint32_t i = 0; i < size; i++)
    if (is_group_usable (groups[i], engine_model->members,
                         bd_edge_now_ms (edge))
        && is_allowed (&regions, groups[i]->members[0]))
      visit (ctx, groups[i]->members[0], route_service->engine.slots);
}

/* Why no new request is sent to the endpoint itself.  */
static enum bd_edge_exclusion
exclusion_of (const struct bd_fleet_endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->is_evacuated)
    return BD_EDGE_EXCLUDED_EVACUATED;
  if (endpoint->entry.is_draining || endpoint->is_leaving)
    return BD_EDGE_EXCLUDED_LEAVING;
  if (!bd_fleet_is_available (endpoint))
    return BD_EDGE_EXCLUDED_UNHEALTHY;
  return now_ms < endpoint->closed_until_ms ? BD_EDGE_EXCLUDED_CLOSED
                                            : BD_EDGE_NOT_EXCLUDED;
}

/* The same for a group that is_group_usable() rejects.  */
static enum bd_edge_exclusion
group_exclusion (const struct bd_fleet_group *group, int64_t now_ms)
{
  for (uint32_t i = 0; i < BD_FLEET_MAX_MEMBERS; i++)
    {
      enum bd_edge_exclusion exclusion
          = group->members[i] != NULL
                ? exclusion_of (group->members[i], now_ms)
                : BD_EDGE_NOT_EXCLUDED;

      /* Only the leader's data centre, and its request for none, count.  */
      if (exclusion != BD_EDGE_NOT_EXCLUDED
          && (i == 0 || exclusion == BD_EDGE_EXCLUDED_LEAVING
              || exclusion == BD_EDGE_EXCLUDED_UNHEALTHY))
        return exclusion;
    }
  return now_ms < group->suspected_until_ms ? BD_EDGE_EXCLUDED_UNHEALTHY
                                            : BD_EDGE_EXCLUDED_NOT_OPEN;
}

/* Whether this daemon may not send to a usable target now.  */
static enum bd_edge_exclusion
permit_exclusion (struct bd_fleet_endpoint *endpoint, int64_t now_ms)
{
  if (bd_edge_has_permit (endpoint, now_ms))
    return BD_EDGE_NOT_EXCLUDED;
  return bd_pacing_has_permit (&endpoint->pacing, now_ms)
             ? BD_EDGE_EXCLUDED_COLD
             : BD_EDGE_EXCLUDED_LIMIT;
}

/* Whether the group alone would be chosen, by its load.  */
static enum bd_edge_exclusion
group_load_exclusion (const struct bd_edge_request *request,
                      const struct bd_engine *engine,
                      const struct bd_engine_model *model,
                      const struct bd_group_load *load)
{
  const struct bd_edge *edge = request->edge;
  struct bd_interference_request prompt;
  struct bd_interference_choice choice;
  double expected_ms;

  if (load->is_tried)
    return BD_EDGE_EXCLUDED_TRIED;
  if (!is_mixed (request, &prompt))
    return bd_choose_group (engine, model, load, 1, request->prompt_tokens,
                            edge->rng, &expected_ms)
                   < 0
               ? BD_EDGE_EXCLUDED_FULL
               : BD_EDGE_NOT_EXCLUDED;
  bd_interference_choose (&edge->settings->interference, engine, model, load,
                          1, &prompt, edge->rng, &choice);
  if (choice.verdict == BD_INTERFERENCE_SEND)
    return BD_EDGE_NOT_EXCLUDED;
  return choice.verdict == BD_INTERFERENCE_FULL ? BD_EDGE_EXCLUDED_FULL
                                                : BD_EDGE_EXCLUDED_HELD;
}

static void
describe_group (const struct bd_edge_request *request,
                const struct bd_engine *engine,
                const struct bd_engine_model *model,
                const struct bd_fleet_group *group,
                struct bd_edge_option *option)
{
  struct bd_regions_filter regions = bd_edge_regions (request);
  int64_t now_ms = bd_edge_now_ms (request->edge);
  struct bd_group_load load = { .running = 0 };

  fill_group_load (request, group, &load);
  *option = (struct bd_edge_option){
    .endpoint = group->members[0],
    .group = group,
    .running = load.running,
    .waiting = load.prefill_count,
    .slots = engine->slots,
    .age_ms = (int64_t)load.age_ms,
    .expected_ms
    = bd_first_event_ms (engine, model, &load, request->prompt_tokens),
  };
  if (!bd_regions_allows (&regions, group->data_centre))
    option->exclusion = BD_EDGE_EXCLUDED_REGION;
  else
    option->exclusion = is_group_usable (group, model->members, now_ms)
                            ? permit_exclusion (group->members[0], now_ms)
                            : group_exclusion (group, now_ms);
  if (option->exclusion == BD_EDGE_NOT_EXCLUDED)
    option->exclusion = group_load_exclusion (request, engine, model, &load);
}

static void
describe_endpoint (const struct bd_edge_request *request,
                   struct bd_fleet_endpoint *endpoint,
                   struct bd_edge_option *option)
{
  const struct bd_edge *edge = request->edge;
  struct bd_regions_filter regions = bd_edge_regions (request);
  int64_t now_ms = bd_edge_now_ms (edge);
  struct bd_endpoint_load load;

  fill_endpoint_load (request, endpoint, now_ms, &load);
  *option = (struct bd_edge_option){
    .endpoint = endpoint,
    .running = MIN (load.running, load.slots),
    .waiting = load.running - MIN (load.running, load.slots),
    .slots = load.slots,
    .age_ms
    = endpoint->load_updated_ms > 0 ? now_ms - endpoint->load_updated_ms : -1,
    .expected_ms
    = load.latency_ms > 0 ? load.latency_ms + load.distance_ms : -1,
  };
  if (!is_allowed (&regions, endpoint))
    option->exclusion = BD_EDGE_EXCLUDED_REGION;
  else
    option->exclusion = is_endpoint_usable (edge, request->service, endpoint)
                            ? permit_exclusion (endpoint, now_ms)
                            : exclusion_of (endpoint, now_ms);
  if (option->exclusion != BD_EDGE_NOT_EXCLUDED)
    return;
  if (load.is_tried)
    option->exclusion = BD_EDGE_EXCLUDED_TRIED;
  else if (bd_choose_endpoint (&load, 1, MAX_ENDPOINT_QUEUE, edge->rng) < 0)
    option->exclusion = BD_EDGE_EXCLUDED_FULL;
}

void
bd_edge_visit_options (const struct bd_edge_request *request,
                       void (*visit) (void *ctx,
                                      const struct bd_edge_option *option),
                       void *ctx)
{
  const struct bd_edge *edge = request->edge;
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);
  struct bd_edge_option option;
  struct bd_fleet_group **groups;
  uint32_t size = 0;
  GHashTableIter iter;
  gpointer value;

  if (model != NULL)
    {
      groups = bd_fleet_groups_of (&edge->fleet, request->service, model->name,
                                   NULL, &size);
      for (uint32_t i = 0; i < size; i++)
        {
          describe_group (request, engine, model, groups[i], &option);
          visit (ctx, &option);
        }
      return;
    }
  if (request->model[0] != '\0')
    return;
  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_endpoint *endpoint = value;

      if (!endpoint->is_listed
          || strcmp (endpoint->entry.service, request->service) != 0)
        continue;
      describe_endpoint (request, endpoint, &option);
      visit (ctx, &option);
    }
}

/* Sums over the targets of a model or service.  */
struct target_sums
{
  int64_t now_ms;
  uint32_t unlimited;
  uint64_t unlimited_slots;
  double limit_per_s; /* Of all limited ones.  */
  double share_per_s; /* Of that, this daemon's.  */
  double permits;
  int64_t end_ms; /* When the first limit ends that has a known end.  */
};

static void
add_target (void *ctx, struct bd_fleet_endpoint *target, uint32_t slots)
{
  struct target_sums *sums = ctx;
  struct bd_edge_allowance allowance
      = bd_edge_allowance (target, sums->now_ms);

  if (!allowance.is_limited)
    {
      sums->unlimited++;
      sums->unlimited_slots += slots;
      return;
    }
  sums->limit_per_s += allowance.limit_per_s;
  sums->share_per_s += allowance.share_per_s;
  sums->permits += allowance.permits;
  sums->end_ms = MIN (sums->end_ms, allowance.end_ms);
}

double
bd_edge_count_slots (const struct bd_edge_request *request, int64_t use_ms)
{
  struct target_sums sums = { .now_ms = bd_edge_now_ms (request->edge) };

  visit_targets (request, add_target, &sums);
  return (double)sums.unlimited_slots
         + sums.limit_per_s * (double)use_ms / MS_PER_S;
}

int64_t
bd_edge_permit_wait_ms (const struct bd_edge_request *request, uint32_t ahead)
{
  struct target_sums sums
      = { .now_ms = bd_edge_now_ms (request->edge), .end_ms = INT64_MAX };
  int64_t wait_ms = INT64_MAX;
  double missing;

  visit_targets (request, add_target, &sums);
  if (sums.unlimited > 0 || sums.limit_per_s == 0)
    return 0;
  missing = 1.0 + ahead - sums.permits;
  if (sums.share_per_s > 0)
    wait_ms
        = missing > 0 ? (int64_t)(missing / sums.share_per_s * MS_PER_S) : 0;
  return sums.end_ms < INT64_MAX ? MIN (wait_ms, sums.end_ms - sums.now_ms)
                                 : wait_ms;
}

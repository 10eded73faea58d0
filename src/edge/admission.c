/* Admission: sends requests at once, queues them, or refuses them.  */

#include "base/crash.h"
#include "edge/edge_internal.h"

#include <string.h>

enum
{
  /* Lower limit of the Retry-After of refused requests.  */
  MIN_RETRY_AFTER_MS = 200,
  /* A waiting request is given up this long before its caller leaves, in
     addition to the time until a target responds.  */
  MIN_RESPONSE_MS = 30
};

/* Longest wait for a target, as a fraction of the time from the arrival of the
   request to its deadline, unless its objective is longer.  */
static const double max_wait_fraction = 0.3;

double
bd_edge_turn_wait_ms (const struct bd_edge_request *request, uint32_t turn)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_service *service = bd_edge_service (edge, request->service);
  double slots = bd_edge_count_slots (request, request->objective_ms);
  uint32_t waiting = bd_backlog_count (&service->backlog);
  int64_t permit_ms = bd_edge_permit_wait_ms (request, waiting);

  /* A daemon that may send nothing does not know when another one may.  */
  if (permit_ms > 0)
    return permit_ms < INT64_MAX ? (double)permit_ms : 0;
  return slots > 0 ? request->objective_ms * turn * bd_edge_daemon_count (edge)
                         / slots
                   : request->objective_ms;
}

int64_t
bd_edge_retry_after_ms (struct bd_edge_request *request)
{
  struct bd_edge_service *service
      = bd_edge_service (request->edge, request->service);
  double ms
      = MIN_RETRY_AFTER_MS
        + bd_edge_turn_wait_ms (request, bd_backlog_count (&service->backlog));

  return bd_backlog_retry_ms (&service->backlog, &request->backlog_item,
                              (int64_t)ms);
}

static void
refuse (struct bd_edge_request *request, enum bd_error error)
{
  if (error != BD_ERR_STOPPING && error != BD_ERR_POISON_REQUEST)
    bd_count (&request->edge->counters, BD_COUNT_SHED);
  bd_edge_run_action (request, bd_call_refused (&request->call, error));
}

int64_t
bd_edge_max_wait_ms (const struct bd_edge_request *request, int64_t since_ms)
{
  int64_t total_ms = request->deadline_ms - request->received_ms;
  int64_t wait_ms = (int64_t)(max_wait_fraction * (double)total_ms);
  int64_t left_ms = bd_patience_left_ms (
      bd_edge_caller_end_ms (request) - MIN_RESPONSE_MS,
      request->kind == BD_ROUTE_STREAM ? bd_edge_estimate_response_ms (request)
                                       : 0,
      since_ms);

  if (request->has_stream_begun)
    return left_ms;
  if (wait_ms < (int64_t)request->objective_ms)
    wait_ms = request->objective_ms;
  return wait_ms < left_ms ? wait_ms : left_ms;
}

/* Whether the configuration in force does not have the model that the request
   names.  */
static bool
lacks_model (const struct bd_edge_request *request)
{
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);

  return engine != NULL && model == NULL;
}

/* Whether all endpoints of the request's service are evacuated, which no
   request can wait for.  */
static bool
has_only_evacuated (const struct bd_edge_request *request)
{
  return bd_edge_is_service_evacuated (request->edge, request->service);
}

/* Whether a waiting request has waited too long to be served, or can't be
   served any more.  */
static bool
should_give_up (const struct bd_edge_request *request, int64_t now_ms)
{
  int64_t since_ms = request->backlog_item.since_ms;

  return now_ms - since_ms >= bd_edge_max_wait_ms (request, since_ms)
         || !bd_edge_can_complete (request) || lacks_model (request)
         || has_only_evacuated (request) || bd_edge_lacks_region (request);
}

static bool
has_lost_links (const struct bd_edge_request *request)
{
  return bd_edge_service (request->edge, request->service)->links.is_lost;
}

/* Ends a request without another attempt; error is for one that has not
   run.  */
static void
give_up (struct bd_edge_request *request, enum bd_error error)
{
  if (request->has_stream_begun)
    error = BD_ERR_STREAM_BROKEN;
  else if (request->call.may_have_run)
    error = BD_ERR_ENDPOINT_FAILED;
  if (bd_edge_lacks_region (request)
      || (has_lost_links (request) && bd_edge_lacks_allowed_daemon (request)))
    bd_edge_note_region_refusal (request);
  bd_backlog_remove (&request->backlog_item);
  refuse (request, error);
}

static struct bd_backlog *
backlog_of (const struct bd_edge_request *request)
{
  return &bd_edge_service (request->edge, request->service)->backlog;
}

/* Counts the slots of the model's groups that the request may use, and those
   that seem free.  */
static void
count_free_slots (const struct bd_edge_request *request, uint32_t *free,
                  uint32_t *slots)
{
  struct bd_edge *edge = request->edge;
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);
  struct bd_regions_filter regions = bd_edge_regions (request);
  struct bd_fleet_group **groups;
  uint32_t size = 0;

  if (model == NULL)
    return;
  groups = bd_fleet_groups_of (&edge->fleet, request->service, model->name,
                               NULL, &size);
  for (uint32_t i = 0; i < size; i++)
    {
      uint32_t running = groups[i]->in_flight + groups[i]->peers_in_flight;

      if (!bd_fleet_is_usable (groups[i], model->members,
                               bd_edge_now_ms (edge))
          || !bd_regions_allows (&regions, groups[i]->data_centre))
        continue;
      *slots += engine->slots;
      *free += engine->slots > running ? engine->slots - running : 0;
    }
}

/* Whether the request is one of a large account that leaves the last slots of
   its model's groups to others.  Plain endpoints have no count of free
   slots.  */
static bool
leaves_slots (const struct bd_edge_request *request)
{
  struct bd_backlog *backlog = backlog_of (request);
  uint32_t free = 0;
  uint32_t slots = 0;

  /* Mostly false, so it is asked before the slots are counted.  */
  if (bd_backlog_may_take (backlog, &request->backlog_item, 0, 1)
      || request->call.attempts > 0 || request->model[0] == '\0'
      || has_lost_links (request))
    return false;
  count_free_slots (request, &free, &slots);
  return !bd_backlog_may_take (backlog, &request->backlog_item, free, slots);
}

/* Whether the request is charged to its account when it is sent.  Another
   attempt, or the rest of a stream, is not the account's doing.  */
static bool
is_first_attempt (const struct bd_edge_request *request)
{
  return request->call.attempts == 0 && !request->has_stream_begun;
}

/* Why a request without a target is refused.  A daemon that stops without
   links says so: another one can serve the caller at once.  */
static enum bd_error
error_of (const struct bd_edge_request *request)
{
  return !bd_edge_can_complete (request)
                 || (request->edge->is_stopping && has_lost_links (request))
             ? BD_ERR_STOPPING
             : BD_ERR_OVERLOADED;
}

/* Starts an attempt at target.  */
static void
start_at (struct bd_edge_request *request, const struct bd_edge_target *target)
{
  if (is_first_attempt (request))
    bd_backlog_charge (backlog_of (request), &request->backlog_item);
  bd_backlog_remove (&request->backlog_item);
  bd_edge_start_attempt (request, target);
}

/* The same, unless the attempt would outlast this daemon.  */
static void
send_to (struct bd_edge_request *request, const struct bd_edge_target *target)
{
  if (bd_edge_can_complete_at (request, target))
    start_at (request, target);
  else
    give_up (request, BD_ERR_STOPPING);
}

/* Whether the limits of the endpoints allow the request later than it can
   wait.  */
static bool
is_over_limits (const struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  const struct bd_backlog *backlog
      = &bd_edge_service (edge, request->service)->backlog;
  int64_t permit_ms
      = bd_edge_permit_wait_ms (request, bd_backlog_count (backlog));

  return permit_ms > 0
         && permit_ms >= bd_edge_max_wait_ms (request, bd_edge_now_ms (edge));
}

/* Whether a request that has no target now is refused at once: the daemon that
   has handed it over can try another one, this one ends, its links are lost
   and no other daemon is about to take it, the limits allow it too late, its
   caller leaves before a response can come, no endpoint serves its model, all
   endpoints of its service are evacuated, or none is in a region that it may
   use.  */
static bool
is_hopeless (const struct bd_edge_request *request)
{
  return (request->is_taken_over && !request->is_last_resort)
         || !bd_edge_can_complete (request)
         || (has_lost_links (request) && !bd_edge_awaits_daemon (request))
         || is_over_limits (request) || lacks_model (request)
         || has_only_evacuated (request) || bd_edge_lacks_region (request)
         || bd_edge_max_wait_ms (request, bd_edge_now_ms (request->edge)) <= 0;
}

static void
enqueue (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_service *service = bd_edge_service (edge, request->service);
  struct bd_backlog_item *item = &request->backlog_item;
  int64_t now_ms = bd_edge_now_ms (edge);

  item->owner = request;
  item->objective_ms = request->received_ms + request->objective_ms;
  item->first_event_delay_ms = bd_edge_due_delay_ms (request);
  item->deadline_ms = request->deadline_ms;
  item->priority = request->priority;
  item->is_resumed = request->has_stream_begun;
  item->has_target = request->attempt != NULL;
  item->is_late = false;
  item->has_run = request->call.attempts > 0;
  item->end_ms = now_ms + bd_edge_max_wait_ms (request, now_ms);
  bd_backlog_add (&service->backlog, item, now_ms);
}

/* Decides on an attempt.  */
static void
decide_attempt (struct bd_edge_request *request,
                struct bd_edge_decision *decision)
{
  memset (decision, 0, sizeof *decision);
  if (bd_edge_can_complete (request)
      && bd_edge_find_target (request, &decision->target))
    {
      decision->verdict = bd_edge_can_complete_at (request, &decision->target)
                              ? BD_EDGE_SEND
                              : BD_EDGE_REFUSE;
      decision->error = BD_ERR_STOPPING;
    }
  else if (is_hopeless (request))
    {
      decision->verdict = BD_EDGE_REFUSE;
      decision->error = error_of (request);
    }
  else
    decision->verdict = BD_EDGE_WAIT;
}

static void
perform (struct bd_edge_request *request,
         const struct bd_edge_decision *decision)
{
  if (decision->target.is_held)
    bd_edge_note_held (request, &decision->target);
  switch (decision->verdict)
    {
    case BD_EDGE_SEND:
      start_at (request, &decision->target);
      break;
    case BD_EDGE_REFUSE:
      give_up (request, decision->error);
      break;
    case BD_EDGE_WAIT:
      enqueue (request);
      break;
    }
}

static void
send_or_enqueue (struct bd_edge_request *request)
{
  struct bd_edge_decision decision;

  decide_attempt (request, &decision);
  perform (request, &decision);
}

/* Identifies the model to other daemons, whose services may have models of the
   same name.  */
static uint64_t
hash_model (const struct bd_edge_request *request)
{
  const uint64_t parts[]
      = { bd_hash (request->service, strlen (request->service)),
          bd_hash (request->model, strlen (request->model)) };

  return bd_hash (parts, sizeof parts);
}

/* Sets the request's account, and counts what the account asks for.  */
static void
note_account (struct bd_edge_request *request)
{
  struct bd_account_key *key = &request->backlog_item.key;

  key->account = bd_hash (request->account, strlen (request->account));
  key->model = hash_model (request);
  key->priority = request->priority;
  bd_backlog_ask (backlog_of (request), &request->backlog_item,
                  bd_edge_now_ms (request->edge));
}

/* Whether a new request waits because it does not go before those that wait
   for its model, or leaves the free slots to others.  A request of another
   daemon that has others to try does not wait here.  */
static bool
waits_for_share (const struct bd_edge_request *request)
{
  return !request->is_taken_over && is_first_attempt (request)
         && (bd_backlog_is_behind (backlog_of (request),
                                   &request->backlog_item)
             || leaves_slots (request))
         && !is_hopeless (request);
}

/* Decides on a new request that bd_call_admitted() lets run.  */
static void
decide_first (struct bd_edge_request *request,
              struct bd_edge_decision *decision)
{
  memset (decision, 0, sizeof *decision);
  decision->verdict = BD_EDGE_WAIT;
  decision->is_for_share = waits_for_share (request);
  if (!decision->is_for_share)
    decide_attempt (request, decision);
}

void
bd_edge_handle_stall (struct bd_edge_request *request)
{
  bd_edge_note_stall (request);
  if (request->backlog_item.backlog == NULL
      && bd_edge_can_move (request, bd_edge_now_ms (request->edge)))
    enqueue (request);
}

void
bd_edge_run_action (struct bd_edge_request *request, enum bd_action action)
{
  switch (action)
    {
    case BD_ACTION_DISPATCH:
      send_or_enqueue (request);
      break;
    case BD_ACTION_FAIL:
      bd_edge_send_final_failure (request);
      break;
    case BD_ACTION_NONE:
    case BD_ACTION_CLAIM:
    case BD_ACTION_FINISH:
      break;
    }
}

struct bd_edge_work *
bd_edge_find_work (struct bd_edge *edge, const char *model)
{
  for (uint32_t i = 0; i < edge->work_count; i++)
    if (strcmp (edge->work[i].model, model) == 0)
      return &edge->work[i];
  return NULL;
}

static void
note_objective (struct bd_edge_work *work,
                const struct bd_edge_request *request)
{
  if (work->objective_version != request->config_version
      || request->objective_ms < work->shortest_objective_ms)
    work->shortest_objective_ms = request->objective_ms;
  work->objective_version = request->config_version;
}

/* Adds the request's work to the offered load of its model, from which the
   controllers compute the share of instances for the model.  */
static void
note_work (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);
  struct bd_edge_work *work = bd_edge_find_work (edge, request->model);

  if (model == NULL)
    return;
  if (work == NULL && edge->work_count < BD_ENGINE_MAX_MODELS)
    {
      work = &edge->work[edge->work_count++];
      bd_name_copy (work->model, model->name);
      if (edge->first_model_request_ms == 0)
        edge->first_model_request_ms = bd_edge_now_ms (edge);
      work->window_start_ms = edge->first_model_request_ms;
    }
  if (work == NULL)
    return;
  note_objective (work, request);
  work->window_work_ms += bd_engine_work_ms (
      engine, model, request->prompt_tokens, request->output_tokens);
}

/* Why a new request is not admitted, or BD_OK.  */
static enum bd_error
admission_error (const struct bd_edge_request *request)
{
  /* Its caller comes back at another daemon, which counts it.  */
  if (!bd_edge_can_complete (request))
    return BD_ERR_STOPPING;
  return bd_edge_is_blocked (request) ? BD_ERR_POISON_REQUEST : BD_OK;
}

/* Sends a new request, queues it or refuses it.  */
static void
start_first (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_decision decision;

  decide_first (request, &decision);
  perform (request, &decision);
  if (decision.is_for_share)
    bd_edge_dispatch_backlogs (edge);
}

void
bd_edge_try_admission (struct bd_edge_request *request,
                       struct bd_edge_decision *decision)
{
  memset (decision, 0, sizeof *decision);
  decision->verdict = BD_EDGE_REFUSE;
  decision->error = admission_error (request);
  if (decision->error != BD_OK)
    return;
  if (request->model[0] != '\0')
    note_work (request);
  note_account (request);
  if (bd_call_admitted (&request->call) == BD_ACTION_DISPATCH)
    decide_first (request, decision);
}

void
bd_edge_admit (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_service *service = bd_edge_service (edge, request->service);
  enum bd_error error = admission_error (request);
  enum bd_action action;

  bd_log_detail (
      "request", "id", request->attempt_id, "route", request->route, "service",
      request->service, "model", request->model, "account", request->account,
      "config", BD_NUM (edge->routes->version), "config_age_ms",
      BD_NUM (bd_edge_now_ms (edge) - edge->config_verified_ms), "left_ms",
      BD_NUM (request->deadline_ms - request->received_ms), NULL);
  if (error == BD_ERR_STOPPING)
    {
      refuse (request, error);
      return;
    }
  /* The daemon that has handed it over has counted it.  */
  if (!request->is_taken_over)
    {
      bd_retry_budget_deposit (&service->retries);
      if (request->model[0] != '\0')
        note_work (request);
    }
  if (error != BD_OK)
    {
      /* Counts and logs it.  */
      bd_edge_is_poison (request);
      refuse (request, error);
      return;
    }
  note_account (request);
  action = bd_call_admitted (&request->call);
  if (action == BD_ACTION_DISPATCH)
    start_first (request);
  else
    bd_edge_run_action (request, action);
}

struct model_set
{
  /* Hashes of their names, or those of hash_regional().  */
  uint64_t models[BD_ENGINE_MAX_MODELS];
  uint32_t count;
};

/* One pass over a backlog.  */
struct dispatch_pass
{
  struct bd_edge *edge;
  /* Models for which this pass has found no free target.  */
  struct model_set full;
  /* Models without one for late requests.  */
  struct model_set reserved;
  /* The same as full for requests with lists of regions.  */
  struct model_set full_regions;
};

/* Hash of the request's model and the data centres that it may use.  */
static uint64_t
hash_regional (const struct bd_edge_request *request,
               const struct bd_regions_filter *regions)
{
  const uint64_t parts[] = { bd_hash (request->model, strlen (request->model)),
                             regions->data_centres };

  return bd_hash (parts, sizeof parts);
}

static bool
has_hash (const struct model_set *set, uint64_t hash)
{
  for (uint32_t i = 0; i < set->count; i++)
    if (set->models[i] == hash)
      return true;
  return false;
}

static void
add_hash (struct model_set *set, uint64_t hash)
{
  if (set->count < BD_ENGINE_MAX_MODELS && !has_hash (set, hash))
    set->models[set->count++] = hash;
}

static bool
has_model (const struct model_set *set, const char *model)
{
  return has_hash (set, bd_hash (model, strlen (model)));
}

static void
add_model (struct model_set *set, const char *model)
{
  add_hash (set, bd_hash (model, strlen (model)));
}

/* Whether a request does not have to look for a target in this pass.  */
static bool
is_skipped (const struct dispatch_pass *pass,
            const struct bd_edge_request *request)
{
  struct bd_regions_filter regions = bd_edge_regions (request);
  int64_t now_ms = bd_edge_now_ms (pass->edge);

  if (has_model (&pass->full, request->model)
      || (regions.is_restricted
          && has_hash (&pass->full_regions, hash_regional (request, &regions)))
      || now_ms < request->held_until_ms)
    return true;
  return request->held_until_ms > 0
         && has_model (&pass->reserved, request->model)
         && now_ms > request->received_ms + request->objective_ms;
}

/* A request has found no target.  What it has tried, others may use, and so
   may those with other lists of regions.  */
static void
note_no_target (struct dispatch_pass *pass,
                const struct bd_edge_request *request,
                const struct bd_edge_target *target)
{
  struct bd_regions_filter regions = bd_edge_regions (request);

  if (request->call.attempts > 0)
    return;
  if (regions.is_restricted)
    {
      if (!target->is_held)
        add_hash (&pass->full_regions, hash_regional (request, &regions));
    }
  else if (target->is_held_late)
    add_model (&pass->reserved, request->model);
  else if (!target->is_held)
    add_model (&pass->full, request->model);
}

/* Sends a request whose attempt stalls to another target, if it can start
   there.  */
static void
try_to_move (struct bd_edge_request *request)
{
  struct bd_edge_target target;
  int64_t now_ms = bd_edge_now_ms (request->edge);

  if (!bd_edge_can_move (request, now_ms)
      || !bd_edge_choose_target (request, &target)
      || !bd_edge_can_complete_at (request, &target))
    return;
  bd_backlog_remove (&request->backlog_item);
  bd_edge_move_attempt (request, &target, now_ms);
}

/* A request whose attempt goes on no longer waits for another target.  One
   that goes to another daemon needs no free target here.  */
static void
dispatch_stalled (const struct dispatch_pass *pass,
                  struct bd_edge_request *request)
{
  if (!request->is_stalled)
    bd_backlog_remove (&request->backlog_item);
  else if (request->prefers_handover || !is_skipped (pass, request))
    try_to_move (request);
}

static bool
dispatch_item (void *ctx, struct bd_backlog_item *item)
{
  struct dispatch_pass *pass = ctx;
  struct bd_edge_request *request = item->owner;
  struct bd_edge_target target;

  bd_crash_enter ("the dispatch of a request", request->attempt_id);
  if (request->attempt != NULL)
    dispatch_stalled (pass, request);
  else if (should_give_up (request, bd_edge_now_ms (pass->edge)))
    give_up (request, error_of (request));
  else if (bd_edge_is_poison (request))
    {
      bd_backlog_remove (item);
      refuse (request, BD_ERR_POISON_REQUEST);
    }
  else if (is_skipped (pass, request) || leaves_slots (request))
    return true;
  else if (bd_edge_choose_target (request, &target))
    send_to (request, &target);
  else
    note_no_target (pass, request, &target);
  return true;
}

/* Refuses requests at once that would otherwise be given up later, because
   more wait than can be dispatched in time.  */
static void
refuse_excess (struct bd_backlog *backlog, int64_t now_ms)
{
  struct bd_backlog_item *item;

  while ((item = bd_backlog_find_excess (backlog, now_ms)) != NULL)
    {
      struct bd_edge_request *request = item->owner;

      bd_crash_enter ("the refusal of a request", request->attempt_id);
      bd_log_detail ("share-refused", "id", request->attempt_id, "account",
                     request->account, "waiting",
                     BD_NUM (bd_backlog_count (backlog)), NULL);
      bd_count (&request->edge->counters, BD_COUNT_SHED_FOR_SHARE);
      give_up (request, error_of (request));
    }
}

void
bd_edge_dispatch_backlogs (struct bd_edge *edge)
{
  GHashTableIter iter;
  gpointer value;

  /* An attempt that fails at once calls this function again.  */
  if (edge->is_dispatching)
    return;
  edge->is_dispatching = true;
  g_hash_table_iter_init (&iter, edge->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_edge_service *service = value;
      struct dispatch_pass pass = { .edge = edge };

      if (bd_backlog_is_empty (&service->backlog))
        continue;
      bd_backlog_mark_late (&service->backlog, bd_edge_now_ms (edge));
      bd_backlog_foreach (&service->backlog, dispatch_item, &pass);
      refuse_excess (&service->backlog, bd_edge_now_ms (edge));
    }
  edge->is_dispatching = false;
}

/* Whether a request goes out now, waits, or is refused.  */

#include "edge/edge_internal.h"

#include <string.h>

enum
{
  /* A refused caller is not told to come back sooner.  */
  LEAST_RETRY_MS = 200,
  /* Callers give a stream up after a gap of two seconds; a broken one has to
     go on before that.  */
  RESUME_WITHIN_MS = 1700,
  /* The least time in which an answer can still come.  */
  LEAST_ANSWER_MS = 30
};

/* Part of the time that it has that a request waits for a place.  */
static const double wait_part = 0.3;

/* When a refused caller should come back: once the backlog before it has been
   served, at the rate at which places come free.  */
int64_t
bd_edge_retry_after_ms (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_service *service = bd_edge_service (edge, request->service);
  uint32_t slots = bd_edge_slots (edge, request->service, request->model);
  double waiting = bd_backlog_count (&service->backlog);
  double ms = LEAST_RETRY_MS;

  if (slots > 0)
    ms += request->objective_ms * waiting * bd_edge_daemon_count (edge)
          / slots;
  else
    ms += request->objective_ms;
  return (int64_t)ms;
}

static void
refuse (struct bd_edge_request *request, enum bd_error error)
{
  bd_count (&request->edge->counters, BD_COUNT_SHED);
  bd_edge_act (request, bd_call_refused (&request->call, error));
}

static void
wait_for_place (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_service *service = bd_edge_service (edge, request->service);
  struct bd_backlog_item *item = &request->waiting;

  item->owner = request;
  item->objective_ms = request->received_ms + request->objective_ms;
  item->needs_ms = bd_edge_needs_ms (request);
  item->deadline_ms = request->deadline_ms;
  item->priority = request->priority;
  item->is_resumed = request->has_begun;
  item->is_late = false;
  bd_backlog_add (&service->backlog, item, bd_edge_now_ms (edge));
}

static void
dispatch (struct bd_edge_request *request)
{
  struct bd_edge_place place;

  if (bd_edge_find_place (request, &place))
    bd_edge_attempt (request, &place);
  else
    wait_for_place (request);
}

void
bd_edge_act (struct bd_edge_request *request, enum bd_action action)
{
  switch (action)
    {
    case BD_ACTION_DISPATCH:
      dispatch (request);
      break;
    case BD_ACTION_FAIL:
      bd_edge_answer_final_failure (request);
      break;
    case BD_ACTION_NONE:
    case BD_ACTION_CLAIM:
    case BD_ACTION_FINISH:
      break;
    }
}

/* Notes the work that the request offers, for the share of instances that
   its model should have.  */
static void
note_work (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  const struct bd_route_service *service
      = bd_routes_service (edge->routes, request->service);
  const struct bd_engine_model *model
      = bd_engine_model (&service->engine, request->model);
  struct bd_edge_work *work = NULL;

  if (model == NULL)
    return;
  for (uint32_t i = 0; i < edge->work_count && work == NULL; i++)
    if (strcmp (edge->work[i].model, request->model) == 0)
      work = &edge->work[i];
  if (work == NULL && edge->work_count < BD_ENGINE_MAX_MODELS)
    {
      work = &edge->work[edge->work_count++];
      bd_name_copy (work->model, request->model);
      if (edge->work_since_ms == 0)
        edge->work_since_ms = bd_edge_now_ms (edge);
      work->since_ms = edge->work_since_ms;
    }
  if (work != NULL)
    work->since_ms_work
        += bd_engine_work_ms (&service->engine, model, request->prompt_tokens,
                              request->answer_tokens);
}

void
bd_edge_admit (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_service *service = bd_edge_service (edge, request->service);

  bd_log_detail ("request", "id", request->attempt_id, "route", request->route,
                 "service", request->service, "model", request->model,
                 "account", request->account, "config",
                 BD_NUM (edge->routes->version), "left_ms",
                 BD_NUM (request->deadline_ms - request->received_ms), NULL);
  bd_retry_budget_fresh (&service->retries);
  if (request->model[0] != '\0')
    note_work (request);
  request->verdict = bd_suspects_judge (&edge->suspects, request->fingerprint,
                                        bd_edge_now_ms (edge));
  if (request->verdict == BD_VERDICT_REFUSE)
    {
      bd_count (&edge->counters, BD_COUNT_POISON_REFUSED);
      refuse (request, BD_ERR_POISON_REQUEST);
      return;
    }
  bd_edge_act (request, bd_call_admitted (&request->call));
}

/* Whether a waiting request is given up on.  */
static bool
is_hopeless (const struct bd_edge_request *request, int64_t now_ms)
{
  int64_t waited_ms = now_ms - request->waiting.since_ms;
  int64_t whole_ms = request->deadline_ms - request->received_ms;
  int64_t patience_ms = (int64_t)(wait_part * (double)whole_ms);

  if (now_ms + LEAST_ANSWER_MS >= request->deadline_ms)
    return true;
  if (request->has_begun)
    return now_ms - request->event_ms >= RESUME_WITHIN_MS;
  if (patience_ms < (int64_t)request->objective_ms)
    patience_ms = request->objective_ms;
  return waited_ms >= patience_ms;
}

static void
give_up_waiting (struct bd_edge_request *request)
{
  enum bd_error error = request->has_begun           ? BD_ERR_STREAM_BROKEN
                        : request->call.may_have_run ? BD_ERR_ENDPOINT_FAILED
                                                     : BD_ERR_OVERLOADED;

  bd_backlog_remove (&request->waiting);
  refuse (request, error);
}

/* One turn through a backlog.  */
struct pump
{
  struct bd_edge *edge;
  /* Models without a free place in this turn.  */
  char full[BD_ENGINE_MAX_MODELS][BD_NAME_SIZE];
  uint32_t full_count;
};

static bool
is_full (const struct pump *pump, const char *model)
{
  for (uint32_t i = 0; i < pump->full_count; i++)
    if (strcmp (pump->full[i], model) == 0)
      return true;
  return false;
}

static bool
visit_waiting (void *ctx, struct bd_backlog_item *item)
{
  struct pump *pump = ctx;
  struct bd_edge_request *request = item->owner;
  struct bd_edge_place place;

  if (is_hopeless (request, bd_edge_now_ms (pump->edge)))
    give_up_waiting (request);
  else if (is_full (pump, request->model))
    return true;
  else if (bd_edge_find_place (request, &place))
    {
      bd_backlog_remove (item);
      bd_edge_attempt (request, &place);
    }
  else if (request->call.attempts == 0
           && pump->full_count < BD_ENGINE_MAX_MODELS)
    bd_name_copy (pump->full[pump->full_count++], request->model);
  return true;
}

void
bd_edge_pump (struct bd_edge *edge)
{
  GHashTableIter iter;
  gpointer value;

  /* An attempt that fails at once comes back here.  */
  if (edge->is_pumping)
    return;
  edge->is_pumping = true;
  g_hash_table_iter_init (&iter, edge->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_edge_service *service = value;
      struct pump pump = { .edge = edge };

      if (bd_backlog_count (&service->backlog) == 0)
        continue;
      bd_backlog_age (&service->backlog, bd_edge_now_ms (edge));
      bd_backlog_each (&service->backlog, visit_waiting, &pump);
    }
  edge->is_pumping = false;
}

/* Keeping replica groups: the term in the store, orders to the endpoints, and
   their reports.  What to order is decided in replicas/.  */

#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MAX_ORDERS = 64,
  MAX_QUESTIONS = 64,
  ORDER_TIMEOUT_MS = 400,
  REPORT_TIMEOUT_MS = 220,
  /* A question that took longer than its timeout by this says more of this
     process than of the endpoint: it has stood still or is short of its
     processor.  */
  OWN_LAG_MS = 80,
  /* Unanswered reports in a row after which an endpoint counts as dead.  */
  MISSES_TO_DIE = 2,
  /* Daemons hear of each other in this time after the start.  */
  SETTLE_MS = 1000,
  TERM_GIVE_UP_MS = 1500,
  TERM_AGAIN_MS = 500,
  /* A keeper that has stood still for longer asks for its term anew: another
     one may have taken over meanwhile.  */
  STANDSTILL_MS = 900,
  /* A group that is doubted is not used until its members have been asked. */
  DOUBT_MS = 900,
  /* A group that is taken apart is not used until the list shows it.  */
  ENDED_MS = 3000
};

/* A kind of object of our own: who keeps the groups of a data centre.  */
#define TERMS_PREFIX "bd-terms/"

const struct bd_member *
bd_edge_keeper_of (struct bd_edge *edge, const char *data_centre)
{
  const struct bd_member *keeper
      = bd_membership_keeper (&edge->membership, data_centre);

  return keeper != NULL ? keeper
                        : bd_membership_keeper (&edge->membership, NULL);
}

bool
bd_edge_keeps (const struct bd_edge *edge, const char *data_centre)
{
  for (uint32_t i = 0; i < edge->keeper_count; i++)
    if (edge->keepers[i].is_keeping
        && strcmp (edge->keepers[i].data_centre, data_centre) == 0)
      return true;
  return false;
}

static struct bd_edge_keeper *
keeper_of (struct bd_edge *edge, const char *data_centre)
{
  struct bd_edge_keeper *keeper;

  for (uint32_t i = 0; i < edge->keeper_count; i++)
    if (strcmp (edge->keepers[i].data_centre, data_centre) == 0)
      return &edge->keepers[i];
  if (edge->keeper_count == BD_EDGE_MAX_CENTRES)
    return NULL;
  keeper = &edge->keepers[edge->keeper_count++];
  keeper->edge = edge;
  bd_name_copy (keeper->data_centre, data_centre);
  return keeper;
}

/* The service whose endpoints form groups; there is one pool.  */
static const struct bd_route_service *
pool_of (const struct bd_edge *edge)
{
  GHashTableIter iter;
  gpointer value;

  if (edge->routes == NULL)
    return NULL;
  g_hash_table_iter_init (&iter, edge->routes->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_route_service *service = value;

      if (service->has_engine && service->engine.model_count > 0)
        return service;
    }
  return NULL;
}

static uint32_t
centre_count (const struct bd_edge *edge)
{
  return edge->keeper_count > 0 ? edge->keeper_count : 1;
}

static void
drop_term (struct bd_edge_keeper *keeper, const char *reason)
{
  if (!keeper->is_keeping)
    return;
  keeper->is_keeping = false;
  bd_log ("keeper-ended", "data_centre", keeper->data_centre, "term",
          BD_NUM (keeper->term), "reason", reason, NULL);
}

static void
handle_term_written (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_edge_keeper *keeper = ctx;
  struct bd_edge *edge = keeper->edge;
  const struct bd_route_service *pool = pool_of (edge);

  keeper->is_taking = false;
  if (answer->error != BD_OK || pool == NULL)
    {
      bd_log ("keeper-term-failed", "data_centre", keeper->data_centre,
              "reason", bd_error_name (answer->error), NULL);
      return;
    }
  keeper->is_keeping = true;
  bd_replicas_init (&keeper->replicas, keeper->term,
                    pool->engine.loads_per_s / centre_count (edge),
                    pool->engine.loads_at_once / centre_count (edge),
                    edge->rng, bd_edge_now_ms (edge));
  bd_log ("keeper-began", "data_centre", keeper->data_centre, "term",
          BD_NUM (keeper->term), NULL);
}

static void
handle_term_read (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_edge_keeper *keeper = ctx;
  struct bd_edge *edge = keeper->edge;
  json_int_t term
      = json_integer_value (json_object_get (answer->data, "term"));
  char *key;

  if (answer->error != BD_OK && answer->error != BD_ERR_NOT_FOUND)
    {
      keeper->is_taking = false;
      return;
    }
  keeper->term = (int64_t)term + 1;
  key = talloc_asprintf (edge, "%s%s", TERMS_PREFIX, keeper->data_centre);
  bd_platform_update (&edge->store, BD_PRIORITY_GROUPS, key, answer->version,
                      answer->envelope,
                      json_pack ("{s:I,s:s}", "term", (json_int_t)keeper->term,
                                 "holder", edge->settings->name),
                      TERM_GIVE_UP_MS, handle_term_written, keeper);
  talloc_free (key);
}

static void
take_term (struct bd_edge_keeper *keeper)
{
  struct bd_edge *edge = keeper->edge;
  int64_t now_ms = bd_edge_now_ms (edge);
  char *key;

  if (keeper->is_taking || now_ms - keeper->tried_ms < TERM_AGAIN_MS)
    return;
  keeper->is_taking = true;
  keeper->tried_ms = now_ms;
  key = talloc_asprintf (edge, "%s%s", TERMS_PREFIX, keeper->data_centre);
  bd_platform_read (&edge->store, BD_PRIORITY_GROUPS, key, TERM_GIVE_UP_MS,
                    handle_term_read, keeper);
  talloc_free (key);
}

/* One order or question on its way.  */
struct errand
{
  struct bd_edge *edge;
  struct bd_edge_keeper *keeper;
  struct bd_order order; /* Of kind none for a question.  */
  int64_t term;
  int64_t sent_ms;
};

static enum bd_order_answer
answer_of (const struct bd_http_result *result)
{
  if (!result->is_whole)
    return BD_ORDER_LOST;
  switch (result->status)
    {
    case 200:
      return BD_ORDER_HOLDS;
    case 202:
      return BD_ORDER_ACCEPTED;
    case 412:
      return BD_ORDER_FENCED;
    case 400:
    case 409:
    case 421:
      return BD_ORDER_REFUSED;
    default:
      return BD_ORDER_LOST;
    }
}

/* A higher term, or an epoch of one, has been there.  The next term is above
   it, and so are its epochs.  */
static void
handle_fenced (struct errand *errand)
{
  struct bd_edge_keeper *keeper = errand->keeper;

  if (!keeper->is_keeping || keeper->term != errand->term)
    return;
  drop_term (keeper, "refused");
}

static void
handle_order_done (void *ctx, struct bd_http_call *call,
                   const struct bd_http_result *result)
{
  struct errand *errand = ctx;
  struct bd_edge *edge = errand->edge;
  enum bd_order_answer answer = answer_of (result);
  int64_t now_ms = bd_edge_now_ms (edge);

  (void)call;
  bd_log ("order-answered", "kind", bd_order_name (errand->order.kind),
          "endpoint", errand->order.endpoint, "group", errand->order.group,
          "epoch", BD_NUM (errand->order.epoch), "status",
          BD_NUM (result->status), "took_ms",
          BD_NUM (now_ms - errand->sent_ms), NULL);
  bd_observe (&edge->histograms, BD_HISTOGRAM_ORDER, now_ms - errand->sent_ms);
  if (answer == BD_ORDER_REFUSED || answer == BD_ORDER_FENCED)
    bd_count (&edge->counters, BD_COUNT_ORDERS_REFUSED);
  bd_replicas_answered (&errand->keeper->replicas, &edge->fleet,
                        &errand->order, answer, now_ms);
  if (answer == BD_ORDER_FENCED)
    handle_fenced (errand);
  talloc_free (errand);
}

static const struct bd_http_call_ops order_ops = { .done = handle_order_done };

/* No daemon sends anything more to a group that is taken apart.  */
static void
end_group (struct bd_edge *edge, const struct bd_order *order)
{
  struct bd_suspicion_update news
      = { .group = bd_fleet_group_hash (order->group, order->epoch),
          .is_dissolved = true };

  bd_edge_take_doubt (edge, &news);
  bd_edge_tell_all (edge, BD_MESSAGE_SUSPICION, &news);
}

static void
send_order (struct bd_edge_keeper *keeper, const struct bd_order *order)
{
  struct bd_edge *edge = keeper->edge;
  const struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, order->endpoint);
  struct errand *errand = talloc_zero (edge, struct errand);
  struct bd_http_pair headers[]
      = { { "Content-Type", "application/json" },
          { edge->dialect->headers->target_endpoint, order->endpoint },
          { NULL, NULL } };
  struct bd_http_out out = { .method = "POST",
                             .headers = headers,
                             .timeout_ms = ORDER_TIMEOUT_MS,
                             .connect_timeout_ms = ORDER_TIMEOUT_MS,
                             .is_sent_once = true };

  errand->edge = edge;
  errand->keeper = keeper;
  errand->order = *order;
  errand->term = keeper->term;
  errand->sent_ms = bd_edge_now_ms (edge);
  out.body = edge->dialect->write_order (errand, order, keeper->term);
  out.body_size = out.body != NULL ? strlen (out.body) : 0;
  out.url = talloc_asprintf (errand, "http://%s:%u%s", endpoint->entry.address,
                             endpoint->entry.port, edge->dialect->order_path);
  bd_replicas_sent (&edge->fleet, order, errand->sent_ms);
  if (order->kind == BD_ORDER_LEAVE || order->kind == BD_ORDER_CLOSE)
    end_group (edge, order);
  bd_count (&edge->counters, BD_COUNT_ORDERS);
  bd_log ("order", "kind", bd_order_name (order->kind), "endpoint",
          order->endpoint, "group", order->group, "epoch",
          BD_NUM (order->epoch), "model", order->model, "reason",
          order->reason != NULL ? order->reason : "", "term",
          BD_NUM (keeper->term), NULL);
  if (bd_http_send (&edge->client, &out, &order_ops, errand) == NULL)
    {
      bd_replicas_answered (&keeper->replicas, &edge->fleet, order,
                            BD_ORDER_LOST, errand->sent_ms);
      talloc_free (errand);
    }
}

static void
note_life (const struct bd_fleet_endpoint *endpoint, enum bd_life before)
{
  static const char *const names[] = { "alive", "doubted", "dead" };

  if (endpoint->life != before
      && (endpoint->life == BD_LIFE_DEAD || before == BD_LIFE_DEAD))
    bd_log ("endpoint-life", "endpoint", endpoint->entry.id, "life",
            names[endpoint->life], "before", names[before], "misses",
            BD_NUM (endpoint->misses), NULL);
}

static void
handle_report_done (void *ctx, struct bd_http_call *call,
                    const struct bd_http_result *result)
{
  struct errand *errand = ctx;
  struct bd_edge *edge = errand->edge;
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, errand->order.endpoint);
  struct bd_endpoint_entry report;
  enum bd_life before;
  json_t *body;

  (void)call;
  if (endpoint == NULL)
    {
      talloc_free (errand);
      return;
    }
  before = endpoint->life;
  endpoint->is_asked = false;
  body = result->is_whole && result->status == 200
             ? json_loadb (result->body, result->body_size, 0, NULL)
             : NULL;
  if (body != NULL && edge->dialect->read_report (body, &report))
    bd_fleet_report (&edge->fleet, endpoint->entry.id, &report,
                     errand->sent_ms, bd_edge_now_ms (edge));
  else if (bd_edge_now_ms (edge) - errand->sent_ms
           < REPORT_TIMEOUT_MS + OWN_LAG_MS)
    bd_fleet_missed (endpoint, MISSES_TO_DIE,
                     !result->is_whole && !result->was_sent
                         && !result->has_timed_out,
                     errand->sent_ms, bd_edge_now_ms (edge));
  note_life (endpoint, before);
  json_decref (body);
  talloc_free (errand);
}

static const struct bd_http_call_ops report_ops
    = { .done = handle_report_done };

static void
ask_report (struct bd_edge *edge, const char *id)
{
  struct bd_fleet_endpoint *endpoint = bd_fleet_endpoint (&edge->fleet, id);
  struct errand *errand = talloc_zero (edge, struct errand);
  struct bd_http_pair headers[]
      = { { edge->dialect->headers->target_endpoint, id }, { NULL, NULL } };
  struct bd_http_out out = { .method = "GET",
                             .headers = headers,
                             .timeout_ms = REPORT_TIMEOUT_MS,
                             .connect_timeout_ms = REPORT_TIMEOUT_MS };

  errand->edge = edge;
  errand->sent_ms = bd_edge_now_ms (edge);
  bd_name_copy (errand->order.endpoint, id);
  out.url = talloc_asprintf (errand, "http://%s:%u%s", endpoint->entry.address,
                             endpoint->entry.port, edge->dialect->report_path);
  bd_count (&edge->counters, BD_COUNT_ENDPOINT_POLLS);
  endpoint->is_asked = true;
  endpoint->answered_ms = errand->sent_ms;
  if (bd_http_send (&edge->client, &out, &report_ops, errand) == NULL)
    {
      endpoint->is_asked = false;
      talloc_free (errand);
    }
}

/* The keeper whose part of the fleet a step is for.  */
static bool
is_of_keeper (void *ctx, const char *data_centre)
{
  const struct bd_edge_keeper *keeper = ctx;

  return strcmp (keeper->data_centre, data_centre) == 0;
}

static bool
has_told_work (const struct bd_edge_peer *peer)
{
  for (uint32_t i = 0; i < peer->work_count; i++)
    if (peer->work[i].busy_replicas > 0)
      return true;
  return false;
}

/* Daemons, this one among them, that have told what they are offered.  */
static uint32_t
count_told (struct bd_edge *edge)
{
  uint32_t told = 0;
  GHashTableIter iter;
  gpointer value;

  for (uint32_t i = 0; i < edge->work_count && told == 0; i++)
    told = edge->work[i].busy_replicas > 0;
  g_hash_table_iter_init (&iter, edge->peer_news);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    told += has_told_work (value);
  return told;
}

/* Work offered to all daemons; all zero until it is known.  */
static void
sum_demand (struct bd_edge *edge, const struct bd_engine *engine,
            double demand[BD_ENGINE_MAX_MODELS])
{
  for (uint32_t m = 0; m < engine->model_count; m++)
    {
      const char *name = engine->models[m].name;
      uint64_t hash = bd_hash (name, strlen (name));
      GHashTableIter iter;
      gpointer value;

      demand[m] = 0;
      for (uint32_t i = 0; i < edge->work_count; i++)
        if (strcmp (edge->work[i].model, name) == 0)
          demand[m] += edge->work[i].busy_replicas;
      g_hash_table_iter_init (&iter, edge->peer_news);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct bd_edge_peer *peer = value;

          for (uint32_t i = 0; i < peer->work_count; i++)
            if (peer->work[i].model == hash)
              demand[m] += peer->work[i].busy_replicas;
        }
    }
  if (!bd_replicas_is_demand_known (demand, engine->model_count,
                                    count_told (edge),
                                    g_hash_table_size (edge->peer_news) + 1,
                                    bd_edge_now_ms (edge) - edge->started_ms))
    memset (demand, 0, BD_ENGINE_MAX_MODELS * sizeof *demand);
}

/* One line a change of what serves, at most twice a second.  */
static void
log_pool (struct bd_edge_keeper *keeper, const struct bd_replicas_input *input)
{
  enum
  {
    LOG_PERIOD_MS = 500
  };
  struct bd_replicas_summary now;

  if (input->now_ms - keeper->logged_ms < LOG_PERIOD_MS)
    return;
  bd_replicas_summarize (&keeper->replicas, input, &now);
  /* What is wanted changes all the time.  */
  memcpy (keeper->logged.wanted_percent, now.wanted_percent,
          sizeof now.wanted_percent);
  if (memcmp (&now, &keeper->logged, sizeof now) == 0)
    return;
  keeper->logged = now;
  keeper->logged_ms = input->now_ms;
  for (uint32_t i = 0; i < input->engine->model_count; i++)
    bd_log ("groups", "data_centre", keeper->data_centre, "model",
            input->engine->models[i].name, "open", BD_NUM (now.open[i]),
            "forming", BD_NUM (now.forming[i]), "broken",
            BD_NUM (now.broken[i]), "wanted_share_percent",
            BD_NUM (now.wanted_percent[i]), "free", BD_NUM (now.free), "cold",
            BD_NUM (now.cold), NULL);
}

static void
keep_groups (struct bd_edge_keeper *keeper,
             const struct bd_route_service *pool)
{
  static struct bd_order orders[MAX_ORDERS];
  const char *ids[MAX_QUESTIONS];
  struct bd_edge *edge = keeper->edge;
  struct bd_replicas_input input = {
    .fleet = &edge->fleet,
    .service = pool->name,
    .engine = &pool->engine,
    .has_traffic = edge->has_traffic || !edge->settings->is_first_start,
    .keeps = is_of_keeper,
    .ctx = keeper,
    .stall_ms = edge->settings->bounds.stall_ms,
    .now_ms = bd_edge_now_ms (edge),
  };
  uint32_t count;

  sum_demand (edge, &pool->engine, input.demand);
  count = bd_replicas_step (&keeper->replicas, &input, orders, MAX_ORDERS);
  for (uint32_t i = 0; i < count; i++)
    send_order (keeper, &orders[i]);
  count
      = bd_replicas_questions (&keeper->replicas, &input, ids, MAX_QUESTIONS);
  for (uint32_t i = 0; i < count; i++)
    ask_report (edge, ids[i]);
  log_pool (keeper, &input);
}

/* Data centres are those that the instance list names.  */
static void
find_centres (struct bd_edge *edge, const struct bd_route_service *pool)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;

      if (strcmp (endpoint->entry.service, pool->name) == 0)
        keeper_of (edge, endpoint->entry.data_centre);
    }
}

void
bd_edge_keep (void *ctx)
{
  struct bd_edge *edge = ctx;
  const struct bd_route_service *pool = pool_of (edge);
  int64_t now_ms = bd_edge_now_ms (edge);
  bool has_stood_still = edge->keeper_tick_ms != 0
                         && now_ms - edge->keeper_tick_ms > STANDSTILL_MS;

  edge->keeper_tick_ms = now_ms;
  if (has_stood_still)
    bd_fleet_forget_verdicts (&edge->fleet, now_ms);
  if (pool == NULL || !edge->fleet.is_known || !edge->has_peer_list
      || now_ms - edge->started_ms < SETTLE_MS)
    return;
  find_centres (edge, pool);
  for (uint32_t i = 0; i < edge->keeper_count; i++)
    {
      struct bd_edge_keeper *keeper = &edge->keepers[i];
      const struct bd_member *chosen
          = bd_edge_keeper_of (edge, keeper->data_centre);
      bool is_chosen = chosen == bd_membership_self (&edge->membership);

      if (has_stood_still)
        drop_term (keeper, "stood still");
      if (!is_chosen || edge->is_stopping)
        drop_term (keeper, "another daemon keeps");
      else if (!keeper->is_keeping)
        take_term (keeper);
      if (keeper->is_keeping)
        keep_groups (keeper, pool);
    }
}

void
bd_edge_take_doubt (struct bd_edge *edge,
                    const struct bd_suspicion_update *news)
{
  struct bd_fleet_group *group = bd_fleet_group (&edge->fleet, news->group);
  int64_t now_ms = bd_edge_now_ms (edge);

  if (group != NULL && news->is_dissolved)
    {
      group->doubted_until_ms = now_ms + ENDED_MS;
      return;
    }
  for (uint32_t i = 0; group != NULL && i < BD_FLEET_MAX_MEMBERS; i++)
    if (group->members[i] != NULL)
      bd_fleet_doubt (group->members[i], now_ms);
}

static void
send_doubt (struct bd_edge *edge, const struct bd_suspicion_update *news,
            const char *data_centre)
{
  const struct bd_member *keeper = bd_edge_keeper_of (edge, data_centre);

  if (keeper == bd_membership_self (&edge->membership))
    bd_edge_take_doubt (edge, news);
  else
    bd_edge_tell (edge, keeper, BD_MESSAGE_SUSPICION, news);
}

void
bd_edge_doubt_group (struct bd_edge *edge, struct bd_fleet_group *group)
{
  struct bd_suspicion_update news = { .group = group->hash };
  int64_t now_ms = bd_edge_now_ms (edge);

  if (now_ms < group->doubted_until_ms)
    return;
  group->doubted_until_ms = now_ms + DOUBT_MS;
  bd_log ("group-doubted", "group", group->name, "epoch",
          BD_NUM (group->epoch), "silent_ms",
          BD_NUM (now_ms - group->progress_ms), "in_flight",
          BD_NUM (group->in_flight), NULL);
  send_doubt (edge, &news, group->data_centre);
}

void
bd_edge_pause_group (struct bd_edge *edge, struct bd_fleet_group *group)
{
  group->doubted_until_ms = bd_edge_now_ms (edge) + DOUBT_MS;
}

/* Controls replica groups: acquires the term in the store, sends orders to the
   endpoints and probes them for their reports.  replicas/ decides which orders
   to send.  */

#include "edge/edge_internal.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MAX_ORDERS = 64,
  MAX_PROBES = 64,
  ORDER_TIMEOUT_MS = 400,
  PROBE_TIMEOUT_MS = 220,
  /* Missed probes in a row after which an endpoint counts as dead: the last
     one was refused or broken off, or all had no response.  A sound endpoint
     can be silent for a second.  */
  MISSES_UNTIL_DEAD = 2,
  SILENT_MISSES_UNTIL_DEAD = 6,
  /* Time after the start in which daemons discover each other.  */
  PEER_DISCOVERY_MS = 1000,
  TERM_CALL_TIMEOUT_MS = 1500,
  TERM_RETRY_MS = 500,
  /* A controller that stalls for longer than this gives up its term and has to
     acquire a new one: another daemon may have taken over meanwhile.  */
  MAX_TICK_GAP_MS = 900,
  /* Time after the store was restored until the instances have listed
     themselves again, by the protocol.  Before, the list can show members of
     open groups as free.  */
  RELISTING_MS = 2200,
  /* Time for which a suspected group is not used, while its members are
     probed until one counts as dead.  */
  SUSPECTED_GROUP_MS = 1800,
  /* Time for which a group that is being dissolved is not used; by then the
     instance list shows the change.  */
  DISSOLVED_GROUP_MS = 3000
};

/* Objects of burdockdale in the store: the term and the controller of each
   data centre.  */
#define TERMS_PREFIX "bd-terms/"

const struct bd_member *
bd_edge_find_controller (struct bd_edge *edge, const char *data_centre)
{
  const struct bd_member *controller
      = bd_membership_controller (&edge->membership, data_centre);

  return controller != NULL
             ? controller
             : bd_membership_controller (&edge->membership, NULL);
}

bool
bd_edge_is_controller_of (const struct bd_edge *edge, const char *data_centre)
{
  for (uint32_t i = 0; i < edge->controller_count; i++)
    if (edge->controllers[i]->is_active
        && strcmp (edge->controllers[i]->data_centre, data_centre) == 0)
      return true;
  return false;
}

/* Returns the service whose endpoints form groups, or NULL.  There is only one
   such pool.  */
static const struct bd_route_service *
find_pool (const struct bd_edge *edge)
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

void
bd_edge_note_formed_groups (struct bd_edge *edge)
{
  const struct bd_route_service *pool = find_pool (edge);

  if (pool != NULL)
    bd_replicas_note_formed (&edge->fleet, pool->name, &pool->engine);
}

static uint32_t
data_centre_count (const struct bd_edge *edge)
{
  return edge->controller_count > 0 ? edge->controller_count : 1;
}

static void
drop_term (struct bd_edge_controller *controller, const char *reason)
{
  if (!controller->is_active)
    return;
  controller->is_active = false;
  bd_fleet_forget_confirmed (&controller->edge->fleet,
                             controller->data_centre);
  bd_edge_put_entries_again (controller->edge);
  bd_log ("keeper-ended", "data_centre", controller->data_centre, "term",
          BD_NUM (controller->term.number), "reason", reason, NULL);
}

void
bd_edge_drop_terms (struct bd_edge *edge, const char *reason)
{
  for (uint32_t i = 0; i < edge->controller_count; i++)
    drop_term (edge->controllers[i], reason);
}

static void
handle_term (void *ctx, enum bd_error error)
{
  struct bd_edge_controller *controller = ctx;
  struct bd_edge *edge = controller->edge;
  const struct bd_route_service *pool = find_pool (edge);

  if (error != BD_OK || pool == NULL)
    {
      bd_log ("keeper-term-failed", "data_centre", controller->data_centre,
              "reason", bd_error_name (error), NULL);
      return;
    }
  controller->is_active = true;
  bd_fleet_forget_confirmed (&edge->fleet, controller->data_centre);
  bd_replicas_init (&controller->replicas, controller->term.token,
                    pool->engine.loads_per_s / data_centre_count (edge),
                    pool->engine.loads_at_once / data_centre_count (edge),
                    edge->rng, bd_edge_now_ms (edge));
  bd_log ("keeper-began", "data_centre", controller->data_centre, "term",
          BD_NUM (controller->term.number), "era",
          BD_NUM (controller->term.era), NULL);
}

static void
acquire_term (struct bd_edge_controller *controller)
{
  int64_t now_ms = bd_edge_now_ms (controller->edge);

  if (controller->term.is_pending
      || now_ms - controller->term_requested_ms < TERM_RETRY_MS)
    return;
  controller->term_requested_ms = now_ms;
  bd_term_acquire (&controller->term, TERM_CALL_TIMEOUT_MS);
}

/* An order or a probe in flight.  */
struct pending_call
{
  struct bd_edge *edge;
  struct bd_edge_controller *controller;
  struct bd_order order; /* Of kind BD_ORDER_NONE for a probe.  */
  int64_t token;
  int64_t sent_ms;
};

static enum bd_order_result
order_result (const struct bd_http_result *result)
{
  if (!result->is_complete)
    return BD_ORDER_UNANSWERED;
  switch (result->status)
    {
    case 200:
      return BD_ORDER_DONE;
    case 202:
      return BD_ORDER_ACCEPTED;
    case 412:
      return BD_ORDER_FENCED;
    case 400:
    case 409:
    case 421:
      return BD_ORDER_REFUSED;
    default:
      return BD_ORDER_UNANSWERED;
    }
}

/* The endpoint has seen a higher term, or an epoch of a higher term.  Gives up
   the term; the next one, and its epochs, are higher.  */
static void
handle_fenced (struct pending_call *pending)
{
  struct bd_edge_controller *controller = pending->controller;

  if (!controller->is_active || controller->term.token != pending->token)
    return;
  drop_term (controller, "refused");
}

/* Records what the result of an order or a probe says of the links.  */
static void
note_link (struct bd_edge *edge, const struct pending_call *pending,
           const struct bd_http_result *result)
{
  const struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, pending->order.endpoint);

  if (endpoint == NULL)
    return;
  if (result->status != 0 || result->malformed != NULL)
    bd_edge_note_contact (edge, endpoint->entry.service);
  else
    bd_edge_note_silence (edge, endpoint->entry.service, endpoint->entry.id,
                          pending->sent_ms);
}

void
bd_edge_note_unusable_report (struct bd_edge *edge, const char *endpoint,
                              const struct bd_http_result *result)
{
  if (result->malformed != NULL)
    {
      bd_count (&edge->counters, BD_COUNT_RESPONSES_MALFORMED);
      bd_log ("report-malformed", "endpoint", endpoint, "part",
              result->malformed, NULL);
      return;
    }
  if (result->excess == NULL)
    return;
  bd_count (&edge->counters, BD_COUNT_RESPONSES_TOO_LARGE);
  bd_log ("report-too-large", "endpoint", endpoint, "part", result->excess,
          "status", BD_NUM (result->status), NULL);
}

static void
handle_order_done (void *ctx, struct bd_http_call *call,
                   const struct bd_http_result *result)
{
  struct pending_call *pending = ctx;
  struct bd_edge *edge = pending->edge;
  enum bd_order_result outcome = order_result (result);
  int64_t now_ms = bd_edge_now_ms (edge);

  note_link (edge, pending, result);
  bd_edge_note_unusable_report (edge, pending->order.endpoint, result);
  bd_edge_note_head (edge, pending->order.endpoint, call, result->status);
  bd_log ("order-answered", "kind", bd_order_name (pending->order.kind),
          "endpoint", pending->order.endpoint, "group", pending->order.group,
          "epoch", BD_NUM (pending->order.epoch), "status",
          BD_NUM (result->status), "took_ms",
          BD_NUM (now_ms - pending->sent_ms), NULL);
  bd_observe (&edge->histograms, BD_HISTOGRAM_ORDER,
              now_ms - pending->sent_ms);
  if (outcome == BD_ORDER_REFUSED || outcome == BD_ORDER_FENCED)
    bd_count (&edge->counters, BD_COUNT_ORDERS_REFUSED);
  bd_replicas_apply_result (&pending->controller->replicas, &edge->fleet,
                            &pending->order, outcome, now_ms);
  if (outcome == BD_ORDER_FENCED)
    handle_fenced (pending);
  talloc_free (pending);
}

static const struct bd_http_call_ops order_ops = { .done = handle_order_done };

/* Whether an order ends the requests that its group runs: one to leave, to a
   leader that is in the group.  */
static bool
ends_requests (const struct bd_edge *edge, const struct bd_order *order)
{
  const struct bd_fleet_group *group = bd_fleet_group (
      &edge->fleet, bd_fleet_group_hash (order->group, order->epoch));

  return order->kind == BD_ORDER_LEAVE && group != NULL
         && group->members[0] != NULL
         && strcmp (group->members[0]->entry.id, order->endpoint) == 0;
}

/* Reports to all daemons that a group is being dissolved, so that they send it
   no more requests and do not take the end of those that it runs for a
   crash.  */
static void
announce_dissolved_group (struct bd_edge *edge, const struct bd_order *order)
{
  struct bd_suspicion_update suspicion
      = { .group = bd_fleet_group_hash (order->group, order->epoch),
          .is_dissolved = true,
          .ends_requests = ends_requests (edge, order) };

  bd_edge_receive_suspicion (edge, &suspicion);
  bd_edge_broadcast (edge, BD_MESSAGE_SUSPICION, &suspicion, &suspicion.stage);
}

static void
send_order (struct bd_edge_controller *controller,
            const struct bd_order *order)
{
  struct bd_edge *edge = controller->edge;
  const struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, order->endpoint);
  struct pending_call *pending = talloc_zero (edge, struct pending_call);
  struct bd_http_header_field headers[]
      = { { "Content-Type", "application/json" },
          { edge->adapter->headers->target_endpoint, order->endpoint },
          { NULL, NULL } };
  struct bd_http_request out
      = { .method = "POST",
          .headers = headers,
          .timeout_ms = ORDER_TIMEOUT_MS,
          .connect_timeout_ms = ORDER_TIMEOUT_MS,
          .max_response_bytes = BD_EDGE_MAX_REPORT_BYTES,
          .has_dedicated_connection = true };

  pending->edge = edge;
  pending->controller = controller;
  pending->order = *order;
  pending->token = controller->term.token;
  pending->sent_ms = bd_edge_now_ms (edge);
  out.body
      = edge->adapter->write_order (pending, order, controller->term.token);
  out.body_size = out.body != NULL ? strlen (out.body) : 0;
  out.url
      = talloc_asprintf (pending, "http://%s:%u%s", endpoint->entry.address,
                         endpoint->entry.port, edge->adapter->order_path);
  bd_replicas_mark_sent (&edge->fleet, order, pending->sent_ms);
  if (order->kind == BD_ORDER_LEAVE || order->kind == BD_ORDER_CLOSE)
    announce_dissolved_group (edge, order);
  bd_count (&edge->counters, BD_COUNT_ORDERS);
  if (order->kind == BD_ORDER_LEAVE && order->in_flight > 0)
    bd_count (&edge->counters, BD_COUNT_ORDERS_CUTTING);
  bd_log ("order", "kind", bd_order_name (order->kind), "endpoint",
          order->endpoint, "group", order->group, "epoch",
          BD_NUM (order->epoch), "expected_version",
          BD_NUM (order->expected_version), "model", order->model, "reason",
          order->reason != NULL ? order->reason : "", "in_flight",
          BD_NUM (order->in_flight), "members", BD_NUM (order->present_count),
          "size", BD_NUM (order->size), "silent_ms",
          order->silent_ms >= 0 ? BD_NUM (order->silent_ms) : "", "term",
          BD_NUM (controller->term.number), NULL);
  if (bd_http_send (&edge->client, &out, &order_ops, pending) == NULL)
    {
      bd_replicas_apply_result (&controller->replicas, &edge->fleet, order,
                                BD_ORDER_UNANSWERED, pending->sent_ms);
      talloc_free (pending);
    }
}

static void
log_liveness (const struct bd_fleet_endpoint *endpoint,
              enum bd_liveness before)
{
  static const char *const names[] = { "alive", "doubted", "dead" };

  if (endpoint->liveness != before
      && (endpoint->liveness == BD_LIVENESS_DEAD
          || before == BD_LIVENESS_DEAD))
    bd_log ("endpoint-life", "endpoint", endpoint->entry.id, "life",
            names[endpoint->liveness], "before", names[before], "misses",
            BD_NUM (endpoint->missed_probes), "refused",
            endpoint->is_probe_refused ? "yes" : "no", NULL);
}

void
bd_edge_log_member (const struct bd_edge *edge,
                    const struct bd_fleet_endpoint *endpoint,
                    const struct bd_membership_view *before,
                    const char *source)
{
  static const char *const names[]
      = { "none", "joining", "ready", "open", "closing", "broken" };
  const struct bd_membership_view *member = &endpoint->entry.member;

  if ((member->state == before->state && member->epoch == before->epoch
       && strcmp (member->group, before->group) == 0)
      || !bd_edge_is_controller_of (edge, endpoint->entry.data_centre))
    return;
  bd_log ("endpoint-member", "endpoint", endpoint->entry.id, "source", source,
          "state", names[member->state], "group", member->group, "epoch",
          BD_NUM (member->epoch), "rank", BD_NUM (member->rank), "started_ms",
          BD_NUM (endpoint->entry.started_ms), "before", names[before->state],
          "before_group", before->group, NULL);
}

/* Another endpoint that has this one's address responds to its probes too.  */
static void
apply_report (struct bd_edge *edge, struct bd_fleet_endpoint *endpoint,
              const struct bd_http_call *call,
              const struct bd_endpoint_entry *report, int64_t sent_ms)
{
  if (bd_fleet_apply_report (&edge->fleet, endpoint->entry.id, report, sent_ms,
                             bd_edge_now_ms (edge)))
    bd_edge_note_head (edge, endpoint->entry.id, call, 200);
  else
    bd_log ("report-foreign", "endpoint", endpoint->entry.id, "started_ms",
            BD_NUM (endpoint->entry.started_ms), "reported_started_ms",
            BD_NUM (report->started_ms), NULL);
}

static void
handle_probe_done (void *ctx, struct bd_http_call *call,
                   const struct bd_http_result *result)
{
  struct pending_call *pending = ctx;
  struct bd_edge *edge = pending->edge;
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, pending->order.endpoint);
  struct bd_membership_view member_before;
  struct bd_endpoint_entry report;
  enum bd_liveness before;
  struct bd_json body;

  if (endpoint == NULL)
    {
      talloc_free (pending);
      return;
    }
  note_link (edge, pending, result);
  bd_edge_note_unusable_report (edge, endpoint->entry.id, result);
  before = endpoint->liveness;
  member_before = endpoint->entry.member;
  endpoint->has_pending_probe = false;
  bd_json_load (&body, result->body, result->body_size);
  if (result->is_complete && result->status == 200
      && edge->adapter->read_report (body.value, &report))
    apply_report (edge, endpoint, call, &report, pending->sent_ms);
  else if (!bd_edge_is_isolated (edge)
           && !bd_edge_has_stalled_since (edge, pending->sent_ms))
    bd_fleet_record_missed_probe (
        endpoint,
        result->has_timed_out ? SILENT_MISSES_UNTIL_DEAD : MISSES_UNTIL_DEAD,
        !result->is_complete && !result->was_sent && !result->has_timed_out,
        pending->sent_ms, bd_edge_now_ms (edge));
  log_liveness (endpoint, before);
  bd_edge_log_member (edge, endpoint, &member_before, "report");
  bd_json_finish (&body);
  talloc_free (pending);
}

static const struct bd_http_call_ops probe_ops = { .done = handle_probe_done };

static void
send_probe (struct bd_edge *edge, const char *id)
{
  struct bd_fleet_endpoint *endpoint = bd_fleet_endpoint (&edge->fleet, id);
  struct pending_call *pending = talloc_zero (edge, struct pending_call);
  struct bd_http_header_field headers[]
      = { { edge->adapter->headers->target_endpoint, id }, { NULL, NULL } };
  struct bd_http_request out
      = { .method = "GET",
          .headers = headers,
          .timeout_ms = PROBE_TIMEOUT_MS,
          .connect_timeout_ms = PROBE_TIMEOUT_MS,
          .max_response_bytes = BD_EDGE_MAX_REPORT_BYTES,
          .has_dedicated_connection = true };

  pending->edge = edge;
  pending->sent_ms = bd_edge_now_ms (edge);
  bd_name_copy (pending->order.endpoint, id);
  out.url
      = talloc_asprintf (pending, "http://%s:%u%s", endpoint->entry.address,
                         endpoint->entry.port, edge->adapter->report_path);
  bd_count (&edge->counters, BD_COUNT_ENDPOINT_POLLS);
  endpoint->has_pending_probe = true;
  endpoint->last_probe_ms = pending->sent_ms;
  if (bd_http_send (&edge->client, &out, &probe_ops, pending) == NULL)
    {
      endpoint->has_pending_probe = false;
      talloc_free (pending);
    }
}

/* Whether a data centre is the one that the controller ctx is for.  */
static bool
is_in_data_centre (void *ctx, const char *data_centre)
{
  const struct bd_edge_controller *controller = ctx;

  return strcmp (controller->data_centre, data_centre) == 0;
}

/* Sums the load offered to all daemons, by model; all zero until it is
   known.  */
static void
sum_demand (struct bd_edge *edge, const struct bd_engine *engine,
            double demand[BD_ENGINE_MAX_MODELS])
{
  struct bd_model_demand models[BD_ENGINE_MAX_MODELS];
  struct bd_traffic_report sum = { .demand = models, .daemon_count = 1 };

  for (uint32_t i = 0; i < edge->work_count; i++)
    if (edge->work[i].offered_replicas > 0)
      sum.reporting_count = 1;
  bd_edge_add_peer_demand (edge, &sum, BD_ENGINE_MAX_MODELS);
  for (uint32_t m = 0; m < engine->model_count; m++)
    {
      const char *name = engine->models[m].name;
      uint64_t hash = bd_hash (name, strlen (name));

      demand[m] = 0;
      for (uint32_t i = 0; i < edge->work_count; i++)
        if (strcmp (edge->work[i].model, name) == 0)
          demand[m] += edge->work[i].offered_replicas;
      for (uint32_t i = 0; i < sum.demand_count; i++)
        if (models[i].model == hash)
          demand[m] += models[i].busy_replicas;
    }
  if (!bd_replicas_is_demand_known (demand, engine->model_count,
                                    sum.reporting_count, sum.daemon_count,
                                    bd_edge_now_ms (edge) - edge->started_ms))
    memset (demand, 0, BD_ENGINE_MAX_MODELS * sizeof *demand);
}

/* Logs the number of groups by model and state when it has changed, at most
   twice a second.  */
static void
log_group_counts (struct bd_edge_controller *controller,
                  const struct bd_replicas_input *input)
{
  enum
  {
    LOG_PERIOD_MS = 500
  };
  struct bd_replicas_summary now;

  if (input->now_ms - controller->last_summary_ms < LOG_PERIOD_MS)
    return;
  bd_replicas_summarize (&controller->replicas, input, &now);
  /* The wanted share alone is no reason to log: it changes all the time.  */
  memcpy (controller->last_summary.wanted_percent, now.wanted_percent,
          sizeof now.wanted_percent);
  if (memcmp (&now, &controller->last_summary, sizeof now) == 0)
    return;
  controller->last_summary = now;
  controller->last_summary_ms = input->now_ms;
  for (uint32_t i = 0; i < input->engine->model_count; i++)
    bd_log ("groups", "data_centre", controller->data_centre, "model",
            input->engine->models[i].name, "open", BD_NUM (now.open[i]),
            "forming", BD_NUM (now.forming[i]), "closing",
            BD_NUM (now.closing[i]), "broken", BD_NUM (now.broken[i]),
            "wanted_share_percent", BD_NUM (now.wanted_percent[i]), "free",
            BD_NUM (now.free), "cold", BD_NUM (now.cold), "reserved_domains",
            BD_NUM (now.reserved), NULL);
}

static bool
leads_to (const struct bd_route *route, const char *service)
{
  for (uint32_t i = 0; i < route->split_count; i++)
    if (strcmp (route->splits[i].service, service) == 0)
      return true;
  return false;
}

/* Returns the longest time that a request to a service can take.  */
static int64_t
longest_request_ms (const struct bd_routes *routes, const char *service)
{
  int64_t longest_ms = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, routes->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GPtrArray *of_host = value;

      for (guint i = 0; i < of_host->len; i++)
        {
          const struct bd_route *route = of_host->pdata[i];

          if (leads_to (route, service) && route->timeout_ms > longest_ms)
            longest_ms = route->timeout_ms;
        }
    }
  return longest_ms;
}

/* Whether the endpoint has asked this daemon to send nothing for now.  Orders
   and probes that are not sent are due again in the next step.  */
static bool
is_closed (const struct bd_edge *edge, const char *id)
{
  const struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, id);

  return endpoint != NULL && bd_edge_now_ms (edge) < endpoint->closed_until_ms;
}

static void
run_controller (struct bd_edge_controller *controller,
                const struct bd_route_service *pool)
{
  static struct bd_order orders[MAX_ORDERS];
  const char *ids[MAX_PROBES];
  struct bd_edge *edge = controller->edge;
  struct bd_replicas_input input = {
    .fleet = &edge->fleet,
    .service = pool->name,
    .engine = &pool->engine,
    .has_traffic = edge->has_traffic || !edge->settings->is_first_start,
    .is_controlled = is_in_data_centre,
    .ctx = controller,
    .stall_ms = edge->settings->bounds.stall_ms,
    .close_limit_ms = longest_request_ms (edge->routes, pool->name),
    .now_ms = bd_edge_now_ms (edge),
  };
  uint32_t count;

  sum_demand (edge, &pool->engine, input.demand);
  count = bd_replicas_step (&controller->replicas, &input, orders, MAX_ORDERS);
  for (uint32_t i = 0; i < count; i++)
    if (!is_closed (edge, orders[i].endpoint))
      send_order (controller, &orders[i]);
  count = bd_replicas_due_probes (&controller->replicas, &input, ids,
                                  MAX_PROBES);
  for (uint32_t i = 0; i < count; i++)
    if (!is_closed (edge, ids[i]))
      send_probe (edge, ids[i]);
  log_group_counts (controller, &input);
}

static struct bd_edge_controller *
find_or_add_controller (struct bd_edge *edge, const char *data_centre)
{
  struct bd_edge_controller *controller;

  for (uint32_t i = 0; i < edge->controller_count; i++)
    if (strcmp (edge->controllers[i]->data_centre, data_centre) == 0)
      return edge->controllers[i];
  if (edge->controller_count == BD_EDGE_MAX_DATA_CENTRES)
    return NULL;
  controller = talloc (edge, struct bd_edge_controller);
  /* Without replicas, of which most is never used.  */
  memset (controller, 0, offsetof (struct bd_edge_controller, replicas));
  controller->edge = edge;
  bd_name_copy (controller->data_centre, data_centre);
  bd_term_init (&controller->term, &edge->store,
                talloc_asprintf (edge, "%s%s", TERMS_PREFIX, data_centre),
                edge->settings->name, handle_term, controller);
  edge->controllers[edge->controller_count++] = controller;
  return controller;
}

/* Adds a controller for each data centre of the instance list.  */
static void
add_controllers (struct bd_edge *edge, const struct bd_route_service *pool)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;

      if (strcmp (endpoint->entry.service, pool->name) == 0)
        find_or_add_controller (edge, endpoint->entry.data_centre);
    }
}

void
bd_edge_run_controllers (void *ctx)
{
  struct bd_edge *edge = ctx;
  const struct bd_route_service *pool = find_pool (edge);
  int64_t now_ms = bd_edge_now_ms (edge);
  bool has_stalled = edge->controller_tick_ms != 0
                     && now_ms - edge->controller_tick_ms > MAX_TICK_GAP_MS;

  edge->controller_tick_ms = now_ms;
  if (has_stalled)
    bd_fleet_reset_liveness (&edge->fleet, now_ms);
  if (pool == NULL || !edge->fleet.has_list || !edge->has_peer_list
      || now_ms - edge->started_ms < PEER_DISCOVERY_MS
      || (edge->restored_ms != 0 && now_ms - edge->restored_ms < RELISTING_MS))
    return;
  if (edge->controllers_list_ms != edge->fleet.changed_ms)
    add_controllers (edge, pool);
  edge->controllers_list_ms = edge->fleet.changed_ms;
  for (uint32_t i = 0; i < edge->controller_count; i++)
    {
      struct bd_edge_controller *controller = edge->controllers[i];
      const struct bd_member *chosen
          = bd_edge_find_controller (edge, controller->data_centre);
      bool is_chosen = chosen == bd_membership_self (&edge->membership);

      if (has_stalled)
        drop_term (controller, "stalled for too long");
      if (bd_edge_is_isolated (edge))
        drop_term (controller, "links to endpoints are lost");
      else if (!is_chosen || edge->is_stopping)
        drop_term (controller, "another daemon takes over");
      else if (!controller->is_active)
        acquire_term (controller);
      if (controller->is_active)
        run_controller (controller, pool);
    }
}

bool
bd_edge_receive_suspicion (struct bd_edge *edge,
                           const struct bd_suspicion_update *suspicion)
{
  struct bd_fleet_group *group
      = bd_fleet_group (&edge->fleet, suspicion->group);
  int64_t now_ms = bd_edge_now_ms (edge);
  bool is_new = suspicion->ends_requests
                && bd_poison_dismiss (&edge->poison_requests, suspicion->group,
                                      now_ms - BD_EDGE_RELAY_DELAY_MS, now_ms);

  if (group == NULL)
    return is_new;
  if (suspicion->is_dissolved)
    {
      is_new = is_new
               || group->suspected_until_ms < now_ms + DISSOLVED_GROUP_MS / 2;
      group->suspected_until_ms = now_ms + DISSOLVED_GROUP_MS;
      return is_new;
    }
  for (uint32_t i = 0; i < BD_FLEET_MAX_MEMBERS; i++)
    if (group->members[i] != NULL)
      bd_fleet_suspect (group->members[i], now_ms);
  return false;
}

static void
send_suspicion (struct bd_edge *edge,
                const struct bd_suspicion_update *suspicion,
                const char *data_centre)
{
  const struct bd_member *controller
      = bd_edge_find_controller (edge, data_centre);

  if (controller == bd_membership_self (&edge->membership))
    bd_edge_receive_suspicion (edge, suspicion);
  else
    bd_edge_send_to_peer (edge, controller, BD_MESSAGE_SUSPICION, suspicion);
}

void
bd_edge_suspect_group (struct bd_edge *edge, struct bd_fleet_group *group)
{
  struct bd_suspicion_update suspicion = { .group = group->hash };
  int64_t now_ms = bd_edge_now_ms (edge);

  if (now_ms < group->suspected_until_ms || bd_edge_is_isolated (edge))
    return;
  group->suspected_until_ms = now_ms + SUSPECTED_GROUP_MS;
  bd_log ("group-doubted", "group", group->name, "epoch",
          BD_NUM (group->epoch), "silent_ms",
          BD_NUM (now_ms - group->progress_ms), "in_flight",
          BD_NUM (group->in_flight), NULL);
  send_suspicion (edge, &suspicion, group->data_centre);
}

void
bd_edge_suspend_group (struct bd_edge *edge, struct bd_fleet_group *group)
{
  group->suspected_until_ms = bd_edge_now_ms (edge) + SUSPECTED_GROUP_MS;
}

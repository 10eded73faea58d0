/* Stops the daemon gracefully.

   From the start of a stop the daemon is not ready, but the load balancer goes
   on sending it connections until it has noticed.  Meanwhile requests that can
   be completed within the grace period are served, and the others are refused,
   so that their callers use another daemon.  Then no new requests are
   accepted, and idle connections are closed.  At the end of the grace period
   the requests that still run get their final response.  */

#include "edge/edge_internal.h"

#include <math.h>
#include <string.h>

enum
{
  /* The load balancer checks once a second and removes a daemon after two
     misses.  Until then, a daemon that stops accepts new connections.  */
  BALANCER_DELAY_MS = 3200,
  /* Time before the end of the grace period at which the daemon ends the
     requests that still run, and for which it then waits at most until their
     responses are sent.  */
  GRACE_MARGIN_MS = 250,
  FLUSH_MS = 150,
  /* A sound endpoint can be silent for this long.  */
  MAX_SILENCE_MS = 1000,
  /* Of a latency from its mean.  */
  DEVIATIONS = 4
};

/* Estimated time of a request at a sound endpoint in a full batch.  Infinite
   for a stream of unknown length.  */
static double
estimate_ms (const struct bd_edge_request *request)
{
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);

  if (request->kind == BD_ROUTE_STREAM
      && (model == NULL || request->max_output_tokens == 0))
    return INFINITY;
  if (model == NULL)
    return request->objective_ms + MAX_SILENCE_MS;
  return bd_engine_response_ms (engine, model, request->prompt_tokens,
                                request->max_output_tokens)
         + MAX_SILENCE_MS;
}

/* The measured pace of a group; that of the slowest group of its model where
   none was measured.  */
static double
pace_of (const struct bd_edge *edge, const struct bd_fleet_group *group)
{
  double pace = fmax (group->pace, 1.0);
  GHashTableIter iter;
  gpointer value;

  if (group->progress_ms > 0)
    return pace;
  g_hash_table_iter_init (&iter, edge->fleet.groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_group *other = value;

      if (strcmp (other->service, group->service) == 0
          && strcmp (other->model, group->model) == 0)
        pace = fmax (pace, other->pace);
    }
  return pace;
}

/* Estimated time of a request at a group: until the first event by what runs
   there, and for the rest in a full batch, at the group's pace.  */
static double
estimate_at_group_ms (const struct bd_edge_request *request,
                      const struct bd_edge_target *target)
{
  const struct bd_fleet_group *group
      = bd_fleet_group (&request->edge->fleet, target->group);
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);

  if (group == NULL || model == NULL)
    return 0;
  return target->expected_ms
         + pace_of (request->edge, group)
               * bd_engine_response_ms (engine, model, request->prompt_tokens,
                                        request->max_output_tokens)
         + MAX_SILENCE_MS;
}

/* Upper limit of the measured latency of a plain endpoint, which contains the
   way there, as of a retransmission timeout in RFC 6298.  */
static double
measured_limit_ms (const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->latency_ms + DEVIATIONS * endpoint->deviation_ms;
}

/* The same where it may not have been measured: that of the slowest endpoint
   of the service then.  */
static double
max_latency_ms (const struct bd_edge *edge,
                const struct bd_fleet_endpoint *endpoint)
{
  double max_ms = measured_limit_ms (endpoint);
  GHashTableIter iter;
  gpointer value;

  if (endpoint->latency_ms > 0)
    return max_ms;
  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *other = value;

      if (strcmp (other->entry.service, endpoint->entry.service) == 0)
        max_ms = fmax (max_ms, measured_limit_ms (other));
    }
  return max_ms;
}

/* The same at a plain endpoint.  The requests beyond its slots wait.  Another
   daemon estimates the time itself.  */
static double
estimate_at_endpoint_ms (const struct bd_edge_request *request,
                         const struct bd_edge_target *target)
{
  const struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&request->edge->fleet, target->endpoint);
  uint32_t turns = 1;

  if (endpoint == NULL)
    return 0;
  if (endpoint->entry.slots > 0)
    turns += target->load / endpoint->entry.slots;
  return turns * max_latency_ms (request->edge, endpoint) + MAX_SILENCE_MS;
}

int64_t
bd_edge_earliest_end_ms (const struct bd_edge *edge)
{
  int64_t left_ms = (int64_t)edge->settings->bounds.grace_ms - GRACE_MARGIN_MS;

  return edge->is_stopping
             ? edge->end_ms
             : bd_edge_now_ms (edge) + (left_ms > 0 ? left_ms : 0);
}

int64_t
bd_edge_end_ms (const struct bd_edge_request *request)
{
  const struct bd_edge *edge = request->edge;
  int64_t end_ms = edge->is_stopping ? edge->end_ms : INT64_MAX;

  if (request->sender_end_ms > 0 && request->sender_end_ms < end_ms)
    end_ms = request->sender_end_ms;
  return request->has_stream_begun || request->deadline_ms <= end_ms
             ? INT64_MAX
             : end_ms;
}

bool
bd_edge_can_complete (const struct bd_edge_request *request)
{
  int64_t end_ms = bd_edge_end_ms (request);

  return end_ms == INT64_MAX
         || (double)bd_edge_now_ms (request->edge) + estimate_ms (request)
                <= (double)end_ms;
}

bool
bd_edge_can_complete_at (const struct bd_edge_request *request,
                         const struct bd_edge_target *target)
{
  int64_t end_ms = bd_edge_end_ms (request);
  double at_target_ms;

  if (!bd_edge_can_complete (request))
    return false;
  if (end_ms == INT64_MAX)
    return true;
  at_target_ms = target->group != 0
                     ? estimate_at_group_ms (request, target)
                     : estimate_at_endpoint_ms (request, target);
  return (double)bd_edge_now_ms (request->edge) + at_target_ms
         <= (double)end_ms;
}

/* The load balancer has removed this daemon.  */
static void
close_to_new_requests (void *ctx)
{
  struct bd_edge *edge = ctx;

  edge->is_closed = true;
  bd_http_server_stop_listening (&edge->server);
  bd_http_server_close_idle (&edge->server);
  if (edge->settings->handover_port == 0)
    return;
  bd_http_server_stop_listening (&edge->handover_server);
  bd_http_server_close_idle (&edge->handover_server);
}

static void
end_requests (void *ctx)
{
  struct bd_edge *edge = ctx;

  close_to_new_requests (edge);
  edge->is_grace_over = true;
  while (edge->requests != NULL)
    bd_edge_expire (edge->requests);
}

void
bd_edge_stop (struct bd_edge *edge)
{
  if (edge->is_stopping)
    return;
  edge->end_ms = bd_edge_earliest_end_ms (edge);
  edge->is_stopping = true;
  bd_log ("stopping", "open", BD_NUM (edge->request_count), NULL);
  bd_timer_add (edge->events, edge, BALANCER_DELAY_MS, close_to_new_requests,
                edge);
  bd_timer_add (edge->events, edge, edge->end_ms - bd_edge_now_ms (edge),
                end_requests, edge);
  /* Peers that receive this status take over this daemon's duties.  */
  bd_edge_send_status (edge);
}

bool
bd_edge_is_done (const struct bd_edge *edge)
{
  if (!edge->is_stopping)
    return false;
  if (edge->is_grace_over && bd_edge_now_ms (edge) >= edge->end_ms + FLUSH_MS)
    return true;
  return edge->is_closed && edge->request_count == 0
         && bd_http_server_is_idle (&edge->server)
         && bd_http_server_is_idle (&edge->handover_server);
}

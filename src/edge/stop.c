/* Stops the daemon gracefully.

   From the start of a stop the daemon is not ready, but the load balancer goes
   on sending it connections until it has noticed.  Meanwhile requests that can
   be completed within the grace period are served, and the others are refused,
   so that their callers use another daemon.  Then no new requests are
   accepted, and idle connections are closed.  At the end of the grace period
   the requests that still run get their final response.  */

#include "edge/edge_internal.h"

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
  MAX_SILENCE_MS = 1000
};

static int64_t
end_ms (const struct bd_edge *edge)
{
  return edge->stopping_since_ms + (int64_t)edge->settings->bounds.grace_ms
         - GRACE_MARGIN_MS;
}

/* Time that a request takes at most at a sound endpoint.  */
static double
duration_ms (const struct bd_edge_request *request)
{
  const struct bd_route_service *service
      = bd_routes_service (request->edge->routes, request->service);
  const struct bd_engine_model *model
      = service != NULL && service->has_engine
            ? bd_engine_model (&service->engine, request->model)
            : NULL;

  if (model == NULL)
    return request->objective_ms + MAX_SILENCE_MS;
  return bd_engine_response_ms (&service->engine, model,
                                request->prompt_tokens,
                                request->max_output_tokens)
         + MAX_SILENCE_MS;
}

bool
bd_edge_can_complete (const struct bd_edge_request *request)
{
  const struct bd_edge *edge = request->edge;

  return !edge->is_stopping || request->has_stream_begun
         || request->deadline_ms <= end_ms (edge)
         || (double)bd_edge_now_ms (edge) + duration_ms (request)
                <= (double)end_ms (edge);
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

  edge->is_closed = true;
  edge->is_grace_over = true;
  while (edge->requests != NULL)
    bd_edge_expire (edge->requests);
}

void
bd_edge_stop (struct bd_edge *edge)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  int64_t left_ms;

  if (edge->is_stopping)
    return;
  edge->is_stopping = true;
  edge->stopping_since_ms = now_ms;
  left_ms = end_ms (edge) - now_ms;
  bd_log ("stopping", "open", BD_NUM (edge->request_count), NULL);
  bd_timer_add (edge->events, edge, BALANCER_DELAY_MS, close_to_new_requests,
                edge);
  bd_timer_add (edge->events, edge, left_ms > 0 ? left_ms : 0, end_requests,
                edge);
  /* Peers that receive this status take over this daemon's duties.  */
  bd_edge_send_status (edge);
}

bool
bd_edge_is_done (const struct bd_edge *edge)
{
  int64_t now_ms = bd_edge_now_ms (edge);

  if (!edge->is_stopping)
    return false;
  if (now_ms >= end_ms (edge) + FLUSH_MS)
    return true;
  return edge->is_closed && edge->request_count == 0
         && bd_http_server_is_idle (&edge->server)
         && bd_http_server_is_idle (&edge->handover_server);
}

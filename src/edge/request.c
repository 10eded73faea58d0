/* Creates and frees requests.  */

#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  /* A caller without a first event gets its failure this long before it
     leaves.  */
  FAILURE_MARGIN_MS = 50
};

static int
destroy_request (struct bd_edge_request *request)
{
  bd_backlog_remove (&request->backlog_item);
  bd_memory_leave (&request->fallback_share);
  return 0;
}

struct bd_edge_request *
bd_edge_request_new (struct bd_edge *edge, struct bd_http_exchange *x)
{
  struct bd_edge_request *request = talloc_zero (edge, struct bd_edge_request);

  request->edge = edge;
  request->exchange = x;
  request->received_ms = bd_edge_now_ms (edge);
  request->config_version = edge->routes->version;
  request->method = talloc_strdup (request, x->method);
  request->request_target = talloc_strdup (request, x->uri);
  request->body = talloc_steal (request, x->body);
  request->body_size = x->body_size;
  x->body = NULL;
  x->user = request;
  bd_sse_init (&request->sse, request);
  talloc_set_destructor (request, destroy_request);
  return request;
}

struct bd_edge_request *
bd_edge_request_make (struct bd_edge *edge, struct bd_http_exchange *x)
{
  struct bd_edge_request *request = bd_edge_request_new (edge, x);

  request->next = edge->requests;
  if (request->next != NULL)
    request->next->prev = request;
  edge->requests = request;
  edge->request_count++;
  return request;
}

const struct bd_engine_model *
bd_edge_request_model (const struct bd_edge_request *request,
                       const struct bd_engine **engine)
{
  const struct bd_route_service *service
      = bd_routes_service (request->edge->routes, request->service);

  *engine = service != NULL && service->has_engine ? &service->engine : NULL;
  return *engine != NULL ? bd_engine_model (*engine, request->model) : NULL;
}

void
bd_edge_request_end (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;

  bd_edge_cancel_stalled (request);
  if (request->attempt != NULL)
    {
      bd_http_call_cancel (request->attempt);
      request->attempt = NULL;
      bd_edge_release_slot (request);
    }
  if (request->exchange != NULL)
    request->exchange->user = NULL;
  if (request->prev != NULL)
    request->prev->next = request->next;
  else
    edge->requests = request->next;
  if (request->next != NULL)
    request->next->prev = request->prev;
  edge->request_count--;
  talloc_free (request);
}

static const char *
phase_of (const struct bd_edge_request *request)
{
  if (request->has_stream_begun)
    return "stream";
  return request->attempt != NULL ? "attempt" : "waiting";
}

void
bd_edge_note_cut (const struct bd_edge_request *request, enum bd_edge_cut cut)
{
  static const struct
  {
    const char *name;
    enum bd_counter counter;
  } cuts[] = {
    [BD_EDGE_CUT_BY_CALLER] = { "caller", BD_COUNT_CALLERS_DISCONNECTED },
    [BD_EDGE_CUT_ABANDONED] = { "abandoned", BD_COUNT_CALLERS_ABANDONED },
    [BD_EDGE_CUT_BY_SWEEP] = { "sweep", BD_COUNT_CUT_BY_SWEEP },
    [BD_EDGE_CUT_BY_STOP] = { "stop", BD_COUNT_CUT_BY_STOP },
    [BD_EDGE_CUT_BY_DEADLINE] = { "deadline", BD_COUNT_CUT_BY_DEADLINE },
    [BD_EDGE_CUT_BY_FAILURE] = { "failure", BD_COUNT_CUT_BY_FAILURE }
  };
  struct bd_edge *edge = request->edge;
  int64_t now_ms = bd_edge_now_ms (edge);

  bd_count (&edge->counters, cuts[cut].counter);
  (cut == BD_EDGE_CUT_BY_CALLER || cut == BD_EDGE_CUT_ABANDONED
       ? bd_log_detail
       : bd_log_request) (
      "cut", "id", request->attempt_id, "by", cuts[cut].name, "phase",
      phase_of (request), "route", request->route, "endpoint",
      request->attempt != NULL ? request->endpoint : "", "after_ms",
      BD_NUM (now_ms - request->received_ms), "left_ms",
      BD_NUM (request->deadline_ms - now_ms), "config_at_arrival",
      BD_NUM (request->config_version), "config",
      BD_NUM (edge->routes->version), NULL);
}

int64_t
bd_edge_caller_end_ms (const struct bd_edge_request *request)
{
  int64_t last_ms = request->has_stream_begun ? request->last_forwarded_ms
                                              : request->received_ms;
  int64_t end_ms = bd_patience_end_ms (last_ms, request->caller_gap_ms,
                                       request->deadline_ms);

  /* The caller of one that is taken over is the other daemon.  */
  return request->sender_wait_end_ms > 0 && !request->has_stream_begun
             ? MIN (request->sender_wait_end_ms, end_ms)
             : end_ms;
}

int64_t
bd_edge_first_event_end_ms (const struct bd_edge_request *request)
{
  return bd_edge_caller_end_ms (request) - FAILURE_MARGIN_MS;
}

/* Why the connection of a request ended that has no whole response.  */
static enum bd_edge_cut
cut_of (const struct bd_edge_request *request)
{
  int64_t now_ms = bd_edge_now_ms (request->edge);

  if (bd_http_is_swept (request->exchange))
    return BD_EDGE_CUT_BY_SWEEP;
  return !request->has_stream_begun
                 && bd_patience_has_ended (request->received_ms,
                                           request->caller_gap_ms, now_ms)
             ? BD_EDGE_CUT_ABANDONED
             : BD_EDGE_CUT_BY_CALLER;
}

void
bd_edge_handle_disconnect (struct bd_edge *edge,
                           struct bd_http_exchange *exchange)
{
  struct bd_edge_request *request = exchange->user;

  if (request == NULL)
    {
      bd_count (&edge->counters, BD_COUNT_CUT_RESPONSES);
      bd_log_request ("response-cut", "path", exchange->path, "by",
                      bd_http_is_swept (exchange) ? "sweep" : "caller", NULL);
      return;
    }
  bd_edge_note_cut (request, cut_of (request));
  request->exchange = NULL;
  exchange->user = NULL;
  bd_edge_request_end (request);
}

void
bd_edge_handle_evicted (struct bd_http_exchange *exchange)
{
  struct bd_edge_request *request = exchange->user;

  bd_log_request ("request-too-large", "path", exchange->path, "buffered",
                  BD_NUM ((int64_t)exchange->body_bytes), NULL);
  if (request == NULL)
    bd_http_abort (exchange);
  else
    bd_edge_expire (request);
}

void
bd_edge_handle_writable (struct bd_edge *edge,
                         struct bd_http_exchange *exchange)
{
  struct bd_edge_request *request = exchange->user;

  (void)edge;
  if (request != NULL && request->attempt != NULL)
    bd_http_call_continue (request->attempt);
}

/* Creates and frees requests.  */

#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static int
destroy_request (struct bd_edge_request *request)
{
  bd_backlog_remove (&request->backlog_item);
  return 0;
}

struct bd_edge_request *
bd_edge_request_make (struct bd_edge *edge, struct bd_http_exchange *x)
{
  struct bd_edge_request *request = talloc_zero (edge, struct bd_edge_request);

  request->edge = edge;
  request->exchange = x;
  request->received_ms = bd_edge_now_ms (edge);
  request->method = talloc_strdup (request, x->method);
  request->request_target = talloc_strdup (request, x->uri);
  request->body = talloc_steal (request, x->body);
  request->body_size = x->body_size;
  x->body = NULL;
  x->user = request;
  bd_sse_init (&request->sse, request);
  request->next = edge->requests;
  if (request->next != NULL)
    request->next->prev = request;
  edge->requests = request;
  edge->request_count++;
  talloc_set_destructor (request, destroy_request);
  return request;
}

void
bd_edge_request_end (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;

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

void
bd_edge_handle_disconnect (struct bd_edge *edge,
                           struct bd_http_exchange *exchange)
{
  struct bd_edge_request *request = exchange->user;

  if (request == NULL)
    return;
  bd_count (&edge->counters, BD_COUNT_CALLERS_DISCONNECTED);
  bd_log_detail (
      "caller-gone", "id", request->attempt_id, "route", request->route,
      "after_ms", BD_NUM (bd_edge_now_ms (edge) - request->received_ms),
      "endpoint", request->attempt != NULL ? request->endpoint : "", NULL);
  request->exchange = NULL;
  exchange->user = NULL;
  bd_edge_request_end (request);
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

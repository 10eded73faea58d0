/* Sends responses to callers.  */

#include "edge/edge_internal.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

enum
{
  /* Of a response, those of this daemon, and the end.  */
  MAX_OWN_HEADERS = 8,
  MS_PER_S = 1000
};

/* Headers of an endpoint's response that apply to its connection only.  The
   load header is dropped too, because only this daemon uses it.  */
static const char *const dropped_headers[]
    = { "Connection",     "Keep-Alive", "Transfer-Encoding",
        "Content-Length", "Trailer",    "Proxy-Connection",
        "Upgrade",        "Date" };

struct response_headers
{
  struct bd_http_header_field *pairs; /* Ends with a NULL name.  */
  uint32_t count;
};

/* Makes room for the headers of an endpoint, and for those of this daemon.  */
static void
init (struct response_headers *headers, void *ctx, uint32_t endpoint_headers)
{
  headers->pairs = talloc_zero_array (ctx, struct bd_http_header_field,
                                      endpoint_headers + MAX_OWN_HEADERS);
  headers->count = 0;
}

static void
add (struct response_headers *headers, const char *name, const char *value)
{
  headers->pairs[headers->count++]
      = (struct bd_http_header_field){ name, value };
}

/* While the daemon stops, asks callers to use another connection.  */
static void
add_close (const struct bd_edge *edge, struct response_headers *headers)
{
  if (edge->is_stopping)
    add (headers, "Connection", "close");
}

static bool
is_dropped (const struct bd_edge *edge, const char *name)
{
  for (size_t i = 0; i < sizeof dropped_headers / sizeof dropped_headers[0];
       i++)
    if (strcasecmp (name, dropped_headers[i]) == 0)
      return true;
  return strcasecmp (name, edge->adapter->headers->load) == 0;
}

/* Initializes headers with those of an endpoint's response.  */
static void
copy_headers (struct bd_edge_request *request, const struct bd_http_call *call,
              struct response_headers *headers)
{
  const struct bd_edge *edge = request->edge;
  uint32_t count;
  const struct bd_http_header_field *pairs
      = bd_http_call_headers (call, &count);

  init (headers, request, count);
  for (uint32_t i = 0; i < count; i++)
    if (!is_dropped (edge, pairs[i].name))
      add (headers, pairs[i].name, pairs[i].value);
}

static void
log_response (const struct bd_edge_request *request, uint32_t status,
              const char *outcome)
{
  struct bd_edge *edge = request->edge;
  int64_t now_ms = bd_edge_now_ms (edge);

  bd_observe (&edge->histograms, BD_HISTOGRAM_RESPONSE,
              now_ms - request->received_ms);

  (status < 400 ? bd_log_detail : bd_log_request) (
      "answer", "id", request->attempt_id, "status", BD_NUM (status),
      "outcome", outcome, "route", request->route, "endpoint",
      request->endpoint, "tries", BD_NUM (request->call.attempts), "first_ms",
      BD_NUM (request->has_stream_begun
                  ? request->stream_begun_ms - request->received_ms
                  : now_ms - request->received_ms),
      "took_ms", BD_NUM (now_ms - request->received_ms), "last_event",
      BD_NUM (request->call.last_event_id), NULL);
}

int64_t
bd_edge_offered_retry_ms (enum bd_error error, enum bd_run_state run,
                          int64_t retry_after_ms)
{
  return bd_error_is_temporary (error) && run == BD_NOT_RUN
                 && retry_after_ms > 0
             ? retry_after_ms
             : 0;
}

void
bd_edge_send_failure (struct bd_edge *edge, struct bd_http_exchange *x,
                      const char *attempt_id, enum bd_error error,
                      enum bd_run_state run, int64_t retry_after_ms)
{
  char *text
      = talloc_asprintf (x, "{\"kind\":\"%s\",\"run\":\"%s\",\"status\":%u}\n",
                         bd_error_name (error), bd_run_state_name (run),
                         bd_error_http_status (error));
  char seconds[32];
  struct response_headers headers;

  init (&headers, x, 0);
  add (&headers, "Content-Type", "application/problem+json");
  if (attempt_id != NULL && attempt_id[0] != '\0')
    add (&headers, edge->adapter->headers->attempt_id, attempt_id);
  retry_after_ms = bd_edge_offered_retry_ms (error, run, retry_after_ms);
  if (retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%.2f",
                (double)retry_after_ms / MS_PER_S);
      add (&headers, edge->adapter->headers->retry_after, seconds);
    }
  if (run == BD_NOT_RUN && bd_edge_is_taken_over (edge, x))
    add (&headers, edge->adapter->headers->not_run, "1");
  add_close (edge, &headers);
  bd_count (&edge->counters, BD_COUNT_RESPONSES);
  bd_count (&edge->counters, BD_COUNT_FAILURE_RESPONSES);
  if (error == BD_ERR_STOPPING)
    bd_count (&edge->counters, BD_COUNT_REFUSED_STOPPING);
  bd_http_respond (x, bd_error_http_status (error), headers.pairs, text,
                   strlen (text));
}

static void
respond (struct bd_edge_request *request, uint32_t status,
         struct response_headers *headers, const char *body, size_t size)
{
  struct bd_edge *edge = request->edge;

  log_response (request, status, "whole");
  if (request->exchange != NULL)
    {
      add_close (edge, headers);
      bd_count (&edge->counters, BD_COUNT_RESPONSES);
      bd_http_respond (request->exchange, status, headers->pairs,
                       body != NULL ? body : "", size);
    }
  bd_edge_request_end (request);
}

void
bd_edge_forward_response (struct bd_edge_request *request,
                          struct bd_http_call *call,
                          const struct bd_http_result *result)
{
  struct response_headers headers;

  copy_headers (request, call, &headers);
  respond (request, result->status, &headers, request->response_body,
           request->response_size);
}

/* Bytes of the headers.  */
static size_t
size_of (const struct response_headers *headers)
{
  size_t size = 0;

  for (uint32_t i = 0; i < headers->count; i++)
    size += strlen (headers->pairs[i].name) + strlen (headers->pairs[i].value);
  return size;
}

static void
drop_fallback (void *ctx)
{
  struct bd_edge_request *request = ctx;

  bd_memory_leave (&request->fallback_share);
  TALLOC_FREE (request->fallback_headers);
  TALLOC_FREE (request->fallback_body);
  request->fallback_size = 0;
  request->fallback_status = 0;
}

void
bd_edge_keep_fallback (struct bd_edge_request *request,
                       struct bd_http_call *call,
                       const struct bd_http_result *result)
{
  struct response_headers headers;

  drop_fallback (request);
  bd_memory_join (&request->fallback_share, &request->edge->memory,
                  bd_http_call_source (call), drop_fallback, request);
  copy_headers (request, call, &headers);
  if (!bd_memory_resize (&request->fallback_share,
                         request->response_capacity + size_of (&headers)))
    return;
  request->fallback_headers
      = talloc_array (request, struct bd_http_header_field, headers.count + 1);
  for (uint32_t i = 0; i < headers.count; i++)
    request->fallback_headers[i] = (struct bd_http_header_field){
      talloc_strdup (request->fallback_headers, headers.pairs[i].name),
      talloc_strdup (request->fallback_headers, headers.pairs[i].value)
    };
  request->fallback_header_count = headers.count;
  request->fallback_status = result->status;
  request->fallback_size = request->response_size;
  request->fallback_body = request->response_body;
  request->response_body = NULL;
}

static void
send_fallback (struct bd_edge_request *request)
{
  struct response_headers headers;

  init (&headers, request, request->fallback_header_count);
  for (uint32_t i = 0; i < request->fallback_header_count; i++)
    add (&headers, request->fallback_headers[i].name,
         request->fallback_headers[i].value);
  respond (request, request->fallback_status, &headers, request->fallback_body,
           request->fallback_size);
}

static int64_t
retry_after_ms (struct bd_edge_request *request, enum bd_error error)
{
  if (error == BD_ERR_STOPPING)
    return BD_EDGE_STOPPING_RETRY_MS;
  return error == BD_ERR_POISON_REQUEST ? bd_edge_poison_remaining_ms (request)
                                        : bd_edge_retry_after_ms (request);
}

/* What ends a stream that has failed for good.  */
static enum bd_edge_cut
cut_of (const struct bd_edge_request *request)
{
  if (request->edge->is_grace_over)
    return BD_EDGE_CUT_BY_STOP;
  return request->call.error == BD_ERR_DEADLINE_PASSED
             ? BD_EDGE_CUT_BY_DEADLINE
             : BD_EDGE_CUT_BY_FAILURE;
}

/* The error that the caller gets.  */
static enum bd_error
final_error (enum bd_error error, enum bd_run_state run)
{
  /* Not run: the caller can retry.  */
  if (run == BD_NOT_RUN && error != BD_ERR_POISON_REQUEST
      && error != BD_ERR_STOPPING)
    error = BD_ERR_OVERLOADED;
  /* Status 503 would state that the request has not run.  */
  if (run != BD_NOT_RUN && bd_error_http_status (error) == 503)
    error = BD_ERR_ENDPOINT_FAILED;
  return error;
}

void
bd_edge_describe_refusal (struct bd_edge_request *request, enum bd_error error,
                          struct bd_edge_refusal *refusal)
{
  refusal->error = final_error (error, BD_NOT_RUN);
  refusal->retry_after_ms = bd_edge_offered_retry_ms (
      refusal->error, BD_NOT_RUN, retry_after_ms (request, refusal->error));
}

void
bd_edge_send_final_failure (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  enum bd_run_state run = request->call.run;
  enum bd_error error = request->call.error;

  if (request->fallback_status != 0 && !request->has_stream_begun)
    {
      send_fallback (request);
      return;
    }
  error = final_error (error, run);
  log_response (request, bd_error_http_status (error), bd_error_name (error));
  if (request->exchange != NULL && request->has_stream_begun)
    {
      bd_count (&edge->counters, BD_COUNT_FAILURE_RESPONSES);
      bd_edge_note_cut (request, cut_of (request));
      bd_http_stream_end (request->exchange, false);
    }
  else if (request->exchange != NULL)
    bd_edge_send_failure (edge, request->exchange, request->attempt_id, error,
                          run, retry_after_ms (request, error));
  bd_edge_request_end (request);
}

void
bd_edge_begin_stream (struct bd_edge_request *request,
                      struct bd_http_call *call)
{
  struct response_headers headers;

  request->has_stream_begun = true;
  request->stream_begun_ms = bd_edge_now_ms (request->edge);
  bd_observe (&request->edge->histograms, BD_HISTOGRAM_FIRST_EVENT,
              request->stream_begun_ms - request->received_ms);
  request->call.has_head = true;
  request->call.can_resume = true;
  if (request->exchange == NULL)
    return;
  copy_headers (request, call, &headers);
  add_close (request->edge, &headers);
  bd_http_stream_begin (request->exchange, bd_http_call_status (call),
                        headers.pairs);
}

bool
bd_edge_forward_event (struct bd_edge_request *request,
                       const struct bd_sse_event *event)
{
  return request->exchange == NULL
         || bd_http_stream_write (request->exchange, event->text, event->size);
}

void
bd_edge_end_stream (struct bd_edge_request *request)
{
  log_response (request, 200, "stream");
  if (request->exchange != NULL)
    {
      bd_count (&request->edge->counters, BD_COUNT_RESPONSES);
      bd_http_stream_end (request->exchange, true);
    }
  bd_edge_request_end (request);
}

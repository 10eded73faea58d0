/* Attempts: sends a request to one target and handles the result.  */

#include "edge/edge_internal.h"

#include "base/crash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

enum
{
  /* A connection opens within a few milliseconds or not at all.  The timeout
     is also limited to the time left divided by CONNECT_TIMEOUT_DIVISOR.  */
  CONNECT_TIMEOUT_MS = 250,
  CONNECT_TIMEOUT_DIVISOR = 4,
  /* Backoff for an endpoint that is full, or that cannot be reached.  */
  FULL_BACKOFF_MS = 40,
  UNREACHABLE_BACKOFF_MS = 700,
  /* The HTTP library's timeout is this much after the deadline; the watchdog
     ends the attempt before.  */
  TIMEOUT_MARGIN_MS = 300,
  MAX_RESPONSE_BYTES = 4 << 20,
  /* Of an attempt: those of fill_headers(), and the end.  */
  MAX_OWN_HEADERS = 8,
  /* Of a failure response, which is forwarded if no other attempt succeeds. */
  MAX_FALLBACK_BYTES = 64 << 10,
  /* Backoff for an address where another endpoint responded (status 421); by
     then the instance list shows where the endpoint has moved.  */
  MISDIRECTED_BACKOFF_MS = 2000
};

static const char *
header_of (const struct bd_http_call *call, const char *name)
{
  return bd_http_call_header (call, name);
}

static const struct bd_header_names *
names_of (const struct bd_edge_request *request)
{
  return request->edge->adapter->headers;
}

static bool
is_success (uint32_t status)
{
  return status >= 200 && status < 300;
}

/* Whether a response states that the endpoint has not run the request.  */
static bool
is_refused (const struct bd_edge_request *request,
            const struct bd_http_call *call, uint32_t status)
{
  /* A daemon refuses with any status, for example for lack of the route.  */
  if (request->is_handed_over)
    return header_of (call, names_of (request)->not_run) != NULL;
  return status == 421
         || ((status == 503 || status == 429 || status == 400)
             && header_of (call, names_of (request)->not_run) != NULL);
}

/* Whether all ids in a response head are the request's.  A head with another
   one consists of two.  */
static bool
has_own_ids_only (const struct bd_edge_request *request,
                  const struct bd_http_call *call)
{
  uint32_t count;
  const struct bd_http_header_field *headers
      = bd_http_call_headers (call, &count);

  for (uint32_t i = 0; i < count; i++)
    if (strcasecmp (headers[i].name, names_of (request)->attempt_id) == 0
        && strcmp (headers[i].value, request->attempt_id) != 0)
      return false;
  return true;
}

/* Whether a response head belongs to this request: endpoints echo the
   request's id, except when they refuse it.  On a kept connection, a refusal
   without an id may be that of an earlier request.  */
static bool
is_own_response (const struct bd_edge_request *request,
                 const struct bd_http_call *call, uint32_t status)
{
  if (header_of (call, names_of (request)->attempt_id) != NULL)
    return has_own_ids_only (request, call);
  return request->attempt_id[0] == '\0'
         || (is_refused (request, call, status)
             && bd_http_call_is_first (call));
}

/* Whether a response leaves no doubt about later ones on its connection.  A
   copy of a refusal or failure could not be told from the response to the same
   request when that is sent again.  */
static bool
can_keep_connection (const struct bd_edge_request *request,
                     const struct bd_http_call *call, uint32_t status)
{
  return header_of (call, names_of (request)->attempt_id) != NULL
         && status < 500 && !is_refused (request, call, status);
}

static bool
is_stream (const struct bd_http_call *call)
{
  const char *type = header_of (call, "Content-Type");

  return is_success (bd_http_call_status (call)) && type != NULL
         && strncasecmp (type, "text/event-stream", 17) == 0;
}

/* Whether a response has the seal of an endpoint and is not re-encoded.  */
static bool
has_response_seal (const struct bd_edge_request *request,
                   const struct bd_http_call *call)
{
  return header_of (call, names_of (request)->response_seal) != NULL
         && header_of (call, "Content-Encoding") == NULL;
}

static void
save_attempt (const struct bd_edge_request *request,
              struct bd_edge_stalled_attempt *stalled)
{
  stalled->attempt = request->attempt;
  stalled->is_handed_over = request->is_handed_over;
  stalled->has_next_daemon = request->has_next_daemon;
  stalled->endpoint_started_ms = request->endpoint_started_ms;
  stalled->group = request->group;
  stalled->sent_ms = request->sent_ms;
  stalled->expected_ms = request->expected_ms;
  stalled->prefill_ms = request->prefill_ms;
  stalled->is_prefilling = request->is_prefilling;
  stalled->is_mismatched = request->is_mismatched;
  stalled->is_incomplete = request->is_incomplete;
  stalled->has_head = request->has_head;
  stalled->is_stalled = request->is_stalled;
  stalled->last_event_ms = request->last_event_ms;
  stalled->events = request->events;
  stalled->sse = request->sse;
  stalled->response_body = request->response_body;
  stalled->response_size = request->response_size;
  stalled->response_capacity = request->response_capacity;
  bd_name_copy (stalled->endpoint, request->endpoint);
  stalled->runs = request->call.attempt_runs;
}

static void
load_attempt (struct bd_edge_request *request,
              const struct bd_edge_stalled_attempt *stalled)
{
  request->attempt = stalled->attempt;
  request->is_handed_over = stalled->is_handed_over;
  request->has_next_daemon = stalled->has_next_daemon;
  request->endpoint_started_ms = stalled->endpoint_started_ms;
  request->group = stalled->group;
  request->sent_ms = stalled->sent_ms;
  request->expected_ms = stalled->expected_ms;
  request->prefill_ms = stalled->prefill_ms;
  request->is_prefilling = stalled->is_prefilling;
  request->is_mismatched = stalled->is_mismatched;
  request->is_incomplete = stalled->is_incomplete;
  request->has_head = stalled->has_head;
  request->is_stalled = stalled->is_stalled;
  request->last_event_ms = stalled->last_event_ms;
  request->events = stalled->events;
  request->sse = stalled->sse;
  request->response_body = stalled->response_body;
  request->response_size = stalled->response_size;
  request->response_capacity = stalled->response_capacity;
  bd_name_copy (request->endpoint, stalled->endpoint);
  request->call.attempt_runs = stalled->runs;
}

/* Exchanges the current attempt and the one that stalls.  */
static void
swap_attempts (struct bd_edge_request *request)
{
  struct bd_edge_stalled_attempt current;

  save_attempt (request, &current);
  load_attempt (request, request->stalled);
  *request->stalled = current;
}

static void
free_stalled (struct bd_edge_request *request)
{
  talloc_free (request->stalled->sse.buffer);
  talloc_free (request->stalled->response_body);
  TALLOC_FREE (request->stalled);
}

void
bd_edge_cancel_stalled (struct bd_edge_request *request)
{
  if (request->stalled == NULL)
    return;
  swap_attempts (request);
  if (request->attempt != NULL)
    bd_http_call_cancel (request->attempt);
  bd_edge_release_slot (request);
  swap_attempts (request);
  free_stalled (request);
}

/* Makes the current attempt the one that stalls.  */
static void
keep_stalled (struct bd_edge_request *request)
{
  bd_edge_cancel_stalled (request);
  request->stalled = talloc_zero (request, struct bd_edge_stalled_attempt);
  save_attempt (request, request->stalled);
  request->attempt = NULL;
  bd_sse_init (&request->sse, request);
  request->response_body = NULL;
  request->response_size = 0;
  request->response_capacity = 0;
}

/* The current attempt has failed, and the one that stalled is current
   again.  */
static void
revert_to_stalled (struct bd_edge_request *request, enum bd_failure failure)
{
  bd_call_reverted (&request->call, failure, request->stalled->runs);
  swap_attempts (request);
  free_stalled (request);
  /* The caller may have read on meanwhile.  */
  bd_http_call_continue (request->attempt);
}

/* Whether the call is the one that stalls beside the current one.  */
static bool
is_stalled_call (const struct bd_edge_request *request,
                 const struct bd_http_call *call)
{
  return request->stalled != NULL && request->stalled->attempt == call;
}

/* A response that is a stream is forwarded before its end is known, so that
   its head has to have the seal.  */
static bool
accept_head (struct bd_edge_request *request, struct bd_http_call *call)
{
  uint32_t status = bd_http_call_status (call);
  bool is_own = is_own_response (request, call, status)
                && (!is_stream (call) || has_response_seal (request, call));

  request->has_head = true;
  if (!request->is_handed_over)
    bd_edge_note_contact (request->edge, request->service);
  if (is_own && !request->is_handed_over)
    {
      bd_edge_note_head (request->edge, request->endpoint, call, status);
      bd_edge_note_limit (request, call,
                          header_of (call, names_of (request)->attempt_id)
                              != NULL);
    }
  if (!can_keep_connection (request, call, status))
    bd_http_call_close (call);
  request->is_mismatched = !is_own;
  return is_own;
}

static bool
handle_accepts (void *ctx, struct bd_http_call *call)
{
  struct bd_edge_request *request = ctx;
  bool is_stalled = is_stalled_call (request, call);
  bool is_accepted;

  bd_crash_enter ("the head of a response", request->attempt_id);
  if (is_stalled)
    swap_attempts (request);
  is_accepted = accept_head (request, call);
  if (is_stalled)
    swap_attempts (request);
  return is_accepted;
}

static size_t
max_response_bytes (const struct bd_edge_request *request,
                    const struct bd_http_call *call)
{
  return request->is_idempotent && bd_http_call_status (call) >= 500
             ? MAX_FALLBACK_BYTES
             : MAX_RESPONSE_BYTES;
}

static bool
append_body (struct bd_edge_request *request, struct bd_http_call *call,
             const char *data, size_t size)
{
  if (request->response_size + size > max_response_bytes (request, call))
    return false;
  if (request->response_size + size > request->response_capacity)
    {
      request->response_capacity = (request->response_size + size) * 2;
      if (!bd_http_call_hold (call, request->response_capacity))
        return false;
      request->response_body = talloc_realloc (
          request, request->response_body, char, request->response_capacity);
    }
  memcpy (request->response_body + request->response_size, data, size);
  request->response_size += size;
  return true;
}

/* Records that the attempt, and with it the group, has made progress.  */
static void
note_progress (struct bd_edge_request *request)
{
  struct bd_fleet_group *group
      = bd_fleet_group (&request->edge->fleet, request->group);

  request->last_event_ms = bd_edge_now_ms (request->edge);
  request->is_stalled = false;
  if (group != NULL)
    group->progress_ms = request->last_event_ms;
}

/* Whether an event can be placed after the last one that was forwarded.  In a
   stream whose events have ids, one without an id has no place.  */
static bool
has_place (const struct bd_edge_request *request,
           const struct bd_sse_event *event)
{
  int64_t last = request->call.last_event_id;

  if (event->is_malformed)
    return false;
  if (!event->has_id)
    return last < 0 || event->is_end || event->is_comment;
  return event->id == (last >= 0 ? last : 0) + 1;
}

/* Forwards an event, or skips it when the caller has it already.  Returns
   false when it is no event that can follow.  */
static bool
forward_event (struct bd_edge_request *request, struct bd_http_call *call,
               const struct bd_sse_event *event, bool *can_write)
{
  int64_t last = request->call.last_event_id;

  if (event->has_id && last >= 0 && event->id <= last && !event->is_malformed)
    {
      bd_http_call_discard (call, event->size);
      return true;
    }
  if (!has_place (request, event))
    return false;
  if (event->is_comment)
    bd_http_call_discard (call, event->size);
  bd_edge_cancel_stalled (request);
  if (!request->has_stream_begun)
    bd_edge_begin_stream (request, call);
  else
    bd_observe (&request->edge->histograms, BD_HISTOGRAM_TOKEN_GAP,
                bd_edge_now_ms (request->edge) - request->last_forwarded_ms);
  request->last_forwarded_ms = bd_edge_now_ms (request->edge);
  bd_call_event (&request->call, event->has_id || last >= 0,
                 event->has_id ? event->id : last);
  request->events++;
  *can_write = bd_edge_forward_event (request, event) && *can_write;
  return true;
}

/* Ends the attempt: its bytes are no response, and may come without end.
   excess: they are too large.  */
static void
reject (struct bd_edge_request *request, struct bd_http_call *call,
        const char *excess)
{
  request->is_incomplete = true;
  bd_http_call_reject (call, excess);
}

static bool
read_data (struct bd_edge_request *request, struct bd_http_call *call,
           const char *data, size_t size)
{
  struct bd_sse_event event;
  bool can_write = true;

  if (!is_stream (call))
    {
      note_progress (request);
      bd_edge_note_prefill_done (request);
      if (is_success (bd_http_call_status (call))
          && has_response_seal (request, call))
        bd_edge_cancel_stalled (request);
      if (!append_body (request, call, data, size))
        reject (request, call, "body");
      return true;
    }
  if (request->is_incomplete || request->exchange == NULL)
    return true;
  if (!bd_sse_feed (&request->sse, data, size)
      || !bd_http_call_hold (call, request->sse.capacity))
    {
      reject (request, call, "event");
      return true;
    }
  while (!request->is_incomplete && bd_sse_next (&request->sse, &event))
    {
      /* Only whole events are progress: an endpoint that sends a byte now and
         then has stalled.  */
      if (!request->is_prefilling)
        bd_edge_note_gap (request, bd_edge_now_ms (request->edge)
                                       - request->last_event_ms);
      note_progress (request);
      bd_edge_note_prefill_done (request);
      request->is_incomplete
          = !forward_event (request, call, &event, &can_write);
    }
  if (request->is_incomplete)
    reject (request, call, NULL);
  return can_write;
}

/* Data of the attempt that stalled make it the current one if they can be
   forwarded.  */
static bool
handle_data (void *ctx, struct bd_http_call *call, const char *data,
             size_t size)
{
  struct bd_edge_request *request = ctx;
  bool is_stalled = is_stalled_call (request, call);
  bool can_write;

  if (is_stalled)
    swap_attempts (request);
  can_write = read_data (request, call, data, size);
  if (is_stalled && request->stalled != NULL)
    swap_attempts (request);
  return can_write;
}

static const char *
failure_name (enum bd_failure failure)
{
  static const char *const names[]
      = { [BD_FAILURE_NOT_SENT] = "not-sent",
          [BD_FAILURE_REFUSED] = "refused",
          [BD_FAILURE_BROKEN] = "broken",
          [BD_FAILURE_MISMATCHED] = "crossed",
          [BD_FAILURE_TIMEOUT] = "timeout",
          [BD_FAILURE_ERROR_RESPONSE] = "answered" };

  return names[failure];
}

static void
count_failure (struct bd_edge *edge, enum bd_failure failure)
{
  if (failure == BD_FAILURE_MISMATCHED)
    bd_count (&edge->counters, BD_COUNT_WRONG_ATTEMPT_ID);
  if (failure == BD_FAILURE_NOT_SENT)
    bd_count (&edge->counters, BD_COUNT_ATTEMPTS_NOT_SENT);
  if (failure == BD_FAILURE_BROKEN)
    bd_count (&edge->counters, BD_COUNT_ATTEMPTS_BROKEN);
}

static bool
has_left (const struct bd_fleet_endpoint *endpoint)
{
  return !endpoint->is_listed || endpoint->entry.is_draining;
}

/* Whether the end of the attempt's run is explained by an order to its group,
   or by an endpoint of it that leaves.  */
static bool
is_end_explained (const struct bd_edge_request *request)
{
  const struct bd_edge *edge = request->edge;
  const struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, request->endpoint);
  const struct bd_fleet_group *group
      = bd_fleet_group (&edge->fleet, request->group);

  if (endpoint != NULL && has_left (endpoint))
    return true;
  for (uint32_t i = 0; group != NULL && i < BD_FLEET_MAX_MEMBERS; i++)
    if (group->members[i] != NULL && has_left (group->members[i]))
      return true;
  return request->group != 0
         && bd_poison_is_dismissed (&edge->poison_requests, request->group,
                                    bd_edge_now_ms (edge));
}

/* Records what the failure says about the target.  */
static void
note_failure (struct bd_edge_request *request, enum bd_failure failure,
              bool is_crash)
{
  struct bd_edge *edge = request->edge;
  struct bd_fleet_group *group = bd_fleet_group (&edge->fleet, request->group);

  /* The other daemon has recorded what its endpoints did.  */
  if (request->is_handed_over)
    return;
  /* A request that crashes endpoints makes them silent too.  */
  if (!request->has_head && !is_crash)
    bd_edge_note_silence (edge, request->service, request->endpoint,
                          request->sent_ms);
  if (is_crash && is_end_explained (request))
    bd_count (&edge->counters, BD_COUNT_ENDS_EXPLAINED);
  else if (is_crash)
    bd_edge_record_crash (request);
  if (failure == BD_FAILURE_REFUSED || failure == BD_FAILURE_MISMATCHED
      || failure == BD_FAILURE_ERROR_RESPONSE)
    return;
  if (group != NULL)
    bd_edge_suspect_group (edge, group);
  else if (failure == BD_FAILURE_NOT_SENT)
    bd_edge_note_refusal (request, NULL, UNREACHABLE_BACKOFF_MS);
  else
    bd_edge_note_response (request, NULL, true);
}

static void
log_failure (const struct bd_edge_request *request, enum bd_failure failure,
             const char *detail)
{
  int64_t now_ms = bd_edge_now_ms (request->edge);

  bd_log_request ("attempt-failed", "id", request->attempt_id, "endpoint",
                  request->endpoint, "failure", failure_name (failure),
                  "detail", detail, "after_ms",
                  BD_NUM (now_ms - request->sent_ms), "events",
                  BD_NUM (request->events), "silent_ms",
                  BD_NUM (now_ms - request->last_event_ms), NULL);
}

static void
count_next_attempt (const struct bd_edge_request *request)
{
  bd_count (&request->edge->counters,
            request->has_stream_begun ? BD_COUNT_RESUMES : BD_COUNT_RETRIES);
}

/* Whether the attempt has reached no endpoint, which may be this daemon's
   fault.  */
static bool
is_link_doubtful (const struct bd_edge_request *request)
{
  return !request->has_head
         && bd_links_is_doubtful (
             &bd_edge_service (request->edge, request->service)->links);
}

/* Frees what the failed attempt has left.  */
static void
drop_response (struct bd_edge_request *request)
{
  TALLOC_FREE (request->response_body);
  request->response_size = 0;
  request->response_capacity = 0;
  bd_sse_reset (&request->sse);
}

/* Handles the failure of the attempt: goes back to the one that stalled,
   starts the next one or sends the final failure.  */
static void
fail (struct bd_edge_request *request, enum bd_failure failure, bool is_crash,
      const char *detail)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_service *service = bd_edge_service (edge, request->service);
  enum bd_action action;

  log_failure (request, failure, detail);
  bd_backlog_remove (&request->backlog_item);
  bd_edge_release_slot (request);
  count_failure (edge, failure);
  note_failure (request, failure, is_crash);
  if (request->stalled != NULL)
    {
      revert_to_stalled (request, failure);
      bd_edge_dispatch_backlogs (edge);
      return;
    }
  drop_response (request);
  request->prefers_handover
      = !is_crash
        && (failure == BD_FAILURE_NOT_SENT || failure == BD_FAILURE_BROKEN)
        && is_link_doubtful (request);
  action = bd_call_failed (&request->call, failure, &service->retries,
                           bd_edge_now_ms (edge));
  /* The daemon that has handed it over tries another one.  */
  if (action == BD_ACTION_DISPATCH && request->is_taken_over
      && request->prefers_handover)
    action = bd_call_refused (&request->call, request->call.may_have_run
                                                  ? BD_ERR_ENDPOINT_FAILED
                                                  : BD_ERR_OVERLOADED);
  if (action == BD_ACTION_DISPATCH && bd_edge_is_poison (request))
    action = bd_call_refused (&request->call, BD_ERR_POISON_REQUEST);
  if (action == BD_ACTION_DISPATCH)
    count_next_attempt (request);
  bd_edge_run_action (request, action);
  bd_edge_dispatch_backlogs (edge);
}

void
bd_edge_note_stall (struct bd_edge_request *request)
{
  if (request->is_stalled)
    return;
  request->is_stalled = true;
  note_failure (request, BD_FAILURE_BROKEN, false);
  request->prefers_handover = is_link_doubtful (request);
}

bool
bd_edge_can_move (const struct bd_edge_request *request, int64_t now_ms)
{
  struct bd_edge *edge = request->edge;

  return request->is_stalled && bd_edge_can_complete (request)
         && !bd_edge_is_blocked (request)
         && bd_call_can_retry (
             &request->call, BD_FAILURE_BROKEN,
             &bd_edge_service (edge, request->service)->retries, now_ms);
}

void
bd_edge_move_attempt (struct bd_edge_request *request,
                      const struct bd_edge_target *target, int64_t now_ms)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_service *service = bd_edge_service (edge, request->service);
  enum bd_action action = bd_call_failed (&request->call, BD_FAILURE_BROKEN,
                                          &service->retries, now_ms);

  BD_ASSERT (action == BD_ACTION_DISPATCH);
  log_failure (request, BD_FAILURE_BROKEN, "silent");
  count_failure (edge, BD_FAILURE_BROKEN);
  keep_stalled (request);
  count_next_attempt (request);
  bd_edge_start_attempt (request, target);
}

static void
finish_stream (struct bd_edge_request *request)
{
  bd_call_finished (&request->call);
  bd_edge_note_completed (request);
  bd_edge_end_stream (request);
}

/* Handles a complete response that is not a stream.  */
static void
finish_response (struct bd_edge_request *request, struct bd_http_call *call,
                 const struct bd_http_result *result)
{
  bd_call_finished (&request->call);
  if (is_success (result->status))
    bd_edge_note_completed (request);
  bd_edge_forward_response (request, call, result);
}

/* Whether this daemon uses the status to state that a request has not run.
   Such a status of an endpoint is not forwarded, because the endpoint may have
   run the request.  */
static bool
is_not_run_status (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* What another daemon refuses has reached no endpoint.  */
static enum bd_failure
refusal_of (const struct bd_edge_request *request)
{
  return request->is_handed_over ? BD_FAILURE_NOT_SENT : BD_FAILURE_REFUSED;
}

static void
note_refusal (struct bd_edge_request *request, const struct bd_http_call *call,
              uint32_t status)
{
  struct bd_edge *edge = request->edge;
  struct bd_fleet_group *group = bd_fleet_group (&edge->fleet, request->group);

  bd_edge_note_refusal (request, header_of (call, names_of (request)->load),
                        status == 421 ? MISDIRECTED_BACKOFF_MS
                                      : FULL_BACKOFF_MS);
  if (status == 421 && group != NULL)
    bd_edge_suspend_group (edge, group);
}

static void
handle_complete_response (struct bd_edge_request *request,
                          struct bd_http_call *call,
                          const struct bd_http_result *result)
{
  struct bd_edge *edge = request->edge;
  const char *load = header_of (call, names_of (request)->load);
  bool is_failed = result->status >= 500;

  if (is_refused (request, call, result->status))
    {
      note_refusal (request, call, result->status);
      fail (request, refusal_of (request), false,
            BD_NUM ((int64_t)result->status));
      return;
    }
  bd_edge_note_response (request, load, is_failed);
  if (is_success (result->status) && !has_response_seal (request, call))
    fail (request, BD_FAILURE_MISMATCHED, false, "response has no seal");
  else if (request->has_stream_begun || is_not_run_status (result->status))
    fail (request, BD_FAILURE_BROKEN, false,
          "status that cannot be forwarded, or after a stream has begun");
  else if (is_failed && request->is_idempotent)
    {
      bd_edge_keep_fallback (request, call, result);
      fail (request, BD_FAILURE_ERROR_RESPONSE, false,
            BD_NUM ((int64_t)result->status));
    }
  else
    {
      bd_edge_release_slot (request);
      finish_response (request, call, result);
      bd_edge_dispatch_backlogs (edge);
    }
}

/* Whether the end of the body shows: otherwise it is the connection's.  */
static bool
has_length (const struct bd_http_call *call)
{
  return header_of (call, "Content-Length") != NULL
         || header_of (call, "Transfer-Encoding") != NULL;
}

/* Whether the attempt that stalled has ended with a response for the caller
   that has no body.  */
static bool
has_stalled_responded (const struct bd_edge_request *request,
                       const struct bd_http_call *call,
                       const struct bd_http_result *result)
{
  return result->is_complete && !request->stalled->is_mismatched
         && !request->stalled->is_incomplete && !is_stream (call)
         && is_success (result->status) && has_response_seal (request, call);
}

/* Whether the endpoint has broken the connection while it ran the request. */
static bool
is_crash_result (const struct bd_http_result *result)
{
  return !result->is_complete && result->was_sent && !result->has_timed_out
         && result->excess == NULL && result->malformed == NULL;
}

/* Counts and logs a response that is malformed.  */
static void
note_malformed (struct bd_edge_request *request,
                const struct bd_http_result *result)
{
  bd_count (&request->edge->counters, BD_COUNT_RESPONSES_MALFORMED);
  bd_log_request ("response-malformed", "id", request->attempt_id, "endpoint",
                  request->endpoint, "part", result->malformed, "events",
                  BD_NUM (request->events), NULL);
  /* The endpoint was reached.  */
  request->has_head = true;
  if (!request->is_handed_over)
    bd_edge_note_contact (request->edge, request->service);
}

/* Counts and logs a response that this daemon has ended, since it or what all
   responses buffer was too large.  */
static void
note_excess (const struct bd_edge_request *request,
             const struct bd_http_result *result)
{
  bd_count (&request->edge->counters, BD_COUNT_RESPONSES_TOO_LARGE);
  bd_log_request ("response-too-large", "id", request->attempt_id, "endpoint",
                  request->endpoint, "part", result->excess, "status",
                  BD_NUM (result->status), "body_bytes",
                  BD_NUM ((int64_t)request->response_size), "events",
                  BD_NUM (request->events), "buffered_bytes",
                  BD_NUM ((int64_t)request->edge->memory.used_bytes), NULL);
}

static void
fail_excess (struct bd_edge_request *request,
             const struct bd_http_result *result)
{
  bool is_failed = result->status >= 500;

  note_excess (request, result);
  if (is_failed)
    bd_edge_note_response (request, NULL, true);
  fail (request, is_failed ? BD_FAILURE_ERROR_RESPONSE : BD_FAILURE_BROKEN,
        false, result->excess);
}

/* How the attempt that stalled, which is loaded, has ended.  */
static enum bd_failure
stalled_failure (const struct bd_edge_request *request,
                 const struct bd_http_call *call,
                 const struct bd_http_result *result)
{
  if (!result->is_complete)
    return result->was_sent ? BD_FAILURE_BROKEN : BD_FAILURE_NOT_SENT;
  if (request->is_mismatched || request->is_incomplete
      || !is_refused (request, call, result->status))
    return BD_FAILURE_BROKEN;
  return refusal_of (request);
}

/* The attempt that stalled has ended, and the current one goes on.  */
static void
end_stalled (struct bd_edge_request *request, struct bd_http_call *call,
             const struct bd_http_result *result)
{
  uint32_t runs = request->stalled->runs;
  enum bd_failure failure;

  swap_attempts (request);
  request->attempt = NULL;
  if (result->malformed != NULL)
    note_malformed (request, result);
  else if (result->excess != NULL)
    note_excess (request, result);
  failure = stalled_failure (request, call, result);
  log_failure (request, failure, "ended after it stalled");
  if (result->is_complete && failure != BD_FAILURE_BROKEN)
    note_refusal (request, call, result->status);
  bd_edge_release_slot (request);
  note_failure (request, failure, is_crash_result (result));
  swap_attempts (request);
  free_stalled (request);
  bd_call_stalled_ended (&request->call, failure, runs);
  bd_edge_dispatch_backlogs (request->edge);
}

static void
handle_done (void *ctx, struct bd_http_call *call,
             const struct bd_http_result *result)
{
  struct bd_edge_request *request = ctx;
  struct bd_edge *edge = request->edge;
  bool is_partial;

  bd_crash_enter ("the end of an attempt", request->attempt_id);
  if (is_stalled_call (request, call))
    {
      if (!has_stalled_responded (request, call, result))
        {
          end_stalled (request, call, result);
          return;
        }
      swap_attempts (request);
      bd_edge_cancel_stalled (request);
    }
  is_partial = request->sse.used > request->sse.start;
  request->attempt = NULL;
  if (result->malformed != NULL)
    {
      note_malformed (request, result);
      fail (request, BD_FAILURE_BROKEN, false, "malformed response");
    }
  else if (request->is_mismatched)
    fail (request, BD_FAILURE_MISMATCHED, false,
          "response does not have the id of this request, or no seal");
  else if (result->excess != NULL)
    fail_excess (request, result);
  else if (request->is_incomplete)
    fail (request, BD_FAILURE_BROKEN, false, "invalid response");
  else if (!result->is_complete)
    fail (request,
          result->has_timed_out && result->was_sent ? BD_FAILURE_TIMEOUT
          : result->was_sent                        ? BD_FAILURE_BROKEN
                                                    : BD_FAILURE_NOT_SENT,
          is_crash_result (result), "connection");
  else if (is_stream (call) && is_partial)
    fail (request, BD_FAILURE_BROKEN, true, "ended inside an event");
  else if (!is_stream (call))
    handle_complete_response (request, call, result);
  else if (request->events == 0 && !has_length (call))
    fail (request, BD_FAILURE_BROKEN, false, "no event and no length");
  else
    {
      if (!request->has_stream_begun)
        bd_edge_begin_stream (request, call);
      bd_edge_release_slot (request);
      finish_stream (request);
      bd_edge_dispatch_backlogs (edge);
    }
}

static const struct bd_http_call_ops attempt_ops
    = { .accepts = handle_accepts, .data = handle_data, .done = handle_done };

/* The headers of one attempt: the caller's and those that this daemon sets. */
struct attempt_headers
{
  struct bd_http_header_field *pairs;
  uint32_t count;
};

static void
add (struct attempt_headers *headers, const char *name, const char *value)
{
  headers->pairs[headers->count++]
      = (struct bd_http_header_field){ name, value };
}

/* Updates the account: the key may have been assigned to another one since the
   request came in, or since its last attempt.  */
static void
update_account (struct bd_edge_request *request)
{
  const struct bd_account *account
      = bd_routes_account (request->edge->routes, request->key);

  if (account == NULL || strcmp (account->name, request->account) == 0)
    return;
  bd_log_request ("account-changed", "id", request->attempt_id, "before",
                  request->account, "account", account->name, "config",
                  BD_NUM (request->edge->routes->version), NULL);
  talloc_free (request->account);
  request->account = talloc_strdup (request, account->name);
}

/* Adds the priority class of a request for one of this daemon's targets.  */
static void
add_class (const struct bd_edge_request *request,
           struct attempt_headers *headers, void *mem)
{
  struct bd_interference_request prompt;
  const struct bd_engine *engine;
  const struct bd_engine_model *model
      = bd_edge_request_model (request, &engine);

  if (request->edge->settings->interference.sends_class
      && bd_edge_describe_prompt (request, &prompt))
    add (headers, names_of (request)->priority_class,
         talloc_asprintf (mem, "%u",
                          bd_interference_class (engine, model, &prompt,
                                                 request->expected_ms)));
}

static void
fill_headers (struct bd_edge_request *request, struct attempt_headers *headers,
              void *mem)
{
  const struct bd_header_names *names = names_of (request);
  int64_t left_ms = request->deadline_ms - bd_edge_now_ms (request->edge);

  headers->count = 0;
  headers->pairs = talloc_array (
      mem, struct bd_http_header_field,
      request->header_count + BD_EDGE_MAX_HANDOVER_HEADERS + MAX_OWN_HEADERS);
  for (uint32_t i = 0; i < request->header_count; i++)
    add (headers, request->headers[i].name, request->headers[i].value);
  add (headers, names->deadline_ms,
       talloc_asprintf (mem, "%lld", (long long)(left_ms > 1 ? left_ms : 1)));
  if (!request->is_handed_over)
    add (headers, names->target_endpoint, request->endpoint);
  if (request->is_handed_over)
    headers->count += bd_edge_handover_headers (
        mem, request, headers->pairs + headers->count,
        BD_EDGE_MAX_HANDOVER_HEADERS);
  else if (request->account[0] != '\0')
    add (headers, names->account, request->account);
  if (!request->is_handed_over)
    add_class (request, headers, mem);
  if (request->call.last_event_id >= 0)
    add (
        headers, names->last_event_id,
        talloc_asprintf (mem, "%lld", (long long)request->call.last_event_id));
  add (headers, NULL, NULL);
}

static uint64_t
hash_target (const struct bd_edge_target *target)
{
  return target->group != 0
             ? target->group
             : bd_hash (target->endpoint, strlen (target->endpoint));
}

static uint32_t
connect_timeout_ms (int64_t left_ms)
{
  int64_t fraction_ms = left_ms / CONNECT_TIMEOUT_DIVISOR;

  if (fraction_ms > CONNECT_TIMEOUT_MS)
    return CONNECT_TIMEOUT_MS;
  return fraction_ms > 1 ? (uint32_t)fraction_ms : 1;
}

void
bd_edge_start_attempt (struct bd_edge_request *request,
                       const struct bd_edge_target *target)
{
  struct bd_edge *edge = request->edge;
  void *mem = talloc_new (request);
  struct attempt_headers headers;
  int64_t left_ms = request->deadline_ms - bd_edge_now_ms (edge);
  struct bd_http_request out = {
    .method = request->method,
    .url
    = talloc_asprintf (mem, "http://%s:%u/", target->address, target->port),
    .target = request->request_target,
    .body = request->body,
    .body_size = request->body_size,
    .timeout_ms = (uint32_t)(left_ms > 0 ? left_ms : 0) + TIMEOUT_MARGIN_MS,
    .connect_timeout_ms = connect_timeout_ms (left_ms),
    /* A request that is not idempotent uses a connection of its own, which is
       not reused: a kept connection may be dead, and the library would then
       send the request again.  So does one without an id, whose response
       cannot be matched.  */
    .has_dedicated_connection
    = !request->is_idempotent || request->attempt_id[0] == '\0',
    .is_sent_once = true,
    /* Responses of many endpoints come through one daemon.  */
    .source = target->is_daemon
                  ? bd_hash (request->attempt_id, strlen (request->attempt_id))
                  : 0,
  };

  bd_crash_enter ("the start of an attempt", request->attempt_id);
  update_account (request);
  bd_edge_acquire_slot (request, target);
  bd_call_sent (&request->call, hash_target (target));
  request->has_next_daemon
      = target->is_daemon && bd_edge_has_next_daemon (request);
  if (target->is_daemon)
    bd_call_grant_runs (&request->call, bd_edge_handover_runs (request));
  bd_count (&edge->counters,
            target->is_daemon ? BD_COUNT_HANDED_OVER : BD_COUNT_ATTEMPTS);
  if (request->call.attempts == 1)
    bd_observe (&edge->histograms, BD_HISTOGRAM_QUEUE_WAIT,
                bd_edge_now_ms (edge) - request->received_ms);
  fill_headers (request, &headers, mem);
  out.headers = headers.pairs;
  bd_sse_reset (&request->sse);
  request->is_mismatched = false;
  request->is_incomplete = false;
  request->has_head = false;
  request->is_stalled = false;
  request->events = 0;
  request->response_size = 0;
  bd_log_detail (
      "attempt", "id", request->attempt_id, "try",
      BD_NUM (request->call.attempts), "endpoint", request->endpoint,
      "started_ms", BD_NUM (bd_edge_started_ms (edge, request->endpoint)),
      "candidates", BD_NUM (target->candidates), "load", BD_NUM (target->load),
      "expected_ms", BD_NUM (target->expected_ms), "waited_ms",
      BD_NUM (bd_edge_now_ms (edge) - request->received_ms), "list_age_ms",
      BD_NUM (bd_edge_now_ms (edge) - edge->instances_verified_ms), NULL);
  request->attempt = bd_http_send (&edge->client, &out, &attempt_ops, request);
  talloc_free (mem);
  if (request->attempt == NULL)
    fail (request, BD_FAILURE_NOT_SENT, false, "client");
}

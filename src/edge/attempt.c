/* One try of a request at one place.  */

#include "edge/edge_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

enum
{
  /* A connection is open after a few milliseconds or not at all; the most
     that is waited for one, and its part of the time left.  */
  CONNECT_TIMEOUT_MS = 250,
  CONNECT_PART = 4,
  /* Pauses before an endpoint is tried again that is full, or that cannot be
     reached.  */
  FULL_PAUSE_MS = 40,
  UNREACHED_PAUSE_MS = 700,
  /* The library's own end of a call; the watchdog ends it sooner.  */
  TIMEOUT_MARGIN_MS = 300,
  MAX_ANSWER_BYTES = 16 << 20,
  /* An endpoint that is not the one meant is not tried for this long; the
     list will tell where it went.  */
  MOVED_PAUSE_MS = 2000
};

static const char *
header_of (const struct bd_http_call *call, const char *name)
{
  return bd_http_call_header (call, name);
}

static const struct bd_header_names *
names_of (const struct bd_edge_request *request)
{
  return request->edge->dialect->headers;
}

static bool
is_success (uint32_t status)
{
  return status >= 200 && status < 300;
}

/* The endpoint says that it has not run the request.  */
static bool
is_disowned (const struct bd_edge_request *request,
             const struct bd_http_call *call, uint32_t status)
{
  return status == 421
         || ((status == 503 || status == 429 || status == 400)
             && header_of (call, names_of (request)->not_run) != NULL);
}

/* Whether a head belongs to this request.  Endpoints give its id back, save
   when they disown it.  */
static bool
handle_accepts (void *ctx, struct bd_http_call *call)
{
  struct bd_edge_request *request = ctx;
  uint32_t status = bd_http_call_status (call);
  const char *id = header_of (call, names_of (request)->attempt_id);

  if (id != NULL ? strcmp (id, request->attempt_id) == 0
                 : is_disowned (request, call, status))
    return true;
  if (request->attempt_id[0] == '\0' && id == NULL)
    return true;
  request->is_crossed = true;
  return false;
}

static bool
is_stream (const struct bd_http_call *call)
{
  const char *type = header_of (call, "Content-Type");

  return is_success (bd_http_call_status (call)) && type != NULL
         && strncasecmp (type, "text/event-stream", 17) == 0;
}

static bool
collect (struct bd_edge_request *request, const char *data, size_t size)
{
  if (request->answer_size + size > MAX_ANSWER_BYTES)
    return false;
  if (request->answer_size + size > request->answer_room)
    {
      request->answer_room = (request->answer_size + size) * 2;
      request->answer_body = talloc_realloc (request, request->answer_body,
                                             char, request->answer_room);
    }
  memcpy (request->answer_body + request->answer_size, data, size);
  request->answer_size += size;
  return true;
}

/* Progress of the group: this daemon has heard from it.  */
static void
note_progress (struct bd_edge_request *request)
{
  struct bd_fleet_group *group
      = bd_fleet_group (&request->edge->fleet, request->group);

  request->event_ms = bd_edge_now_ms (request->edge);
  if (group != NULL)
    group->progress_ms = request->event_ms;
}

/* Gives an event on; false when it does not follow the last one.  */
static bool
take_event (struct bd_edge_request *request, struct bd_http_call *call,
            const struct bd_sse_event *event, bool *has_room)
{
  int64_t last = request->call.last_event_id;

  if (event->has_id && last >= 0 && event->id <= last)
    return true;
  if (event->has_id && event->id != (last >= 0 ? last : 0) + 1)
    return false;
  if (!request->has_begun)
    bd_edge_answer_begin (request, call);
  else
    bd_observe (&request->edge->histograms, BD_HISTOGRAM_PAUSE,
                bd_edge_now_ms (request->edge) - request->given_ms);
  request->given_ms = bd_edge_now_ms (request->edge);
  bd_call_event (&request->call, event->has_id, event->id);
  request->events++;
  *has_room = bd_edge_answer_event (request, event) && *has_room;
  return true;
}

static bool
handle_data (void *ctx, struct bd_http_call *call, const char *data,
             size_t size)
{
  struct bd_edge_request *request = ctx;
  struct bd_sse_event event;
  bool has_room = true;

  note_progress (request);
  bd_edge_note_read (request);
  if (!is_stream (call))
    {
      if (!collect (request, data, size))
        request->is_gapped = true;
      return true;
    }
  if (request->is_gapped || request->exchange == NULL)
    return true;
  request->is_gapped = !bd_sse_feed (&request->sse, data, size);
  while (!request->is_gapped && bd_sse_next (&request->sse, &event))
    request->is_gapped = !take_event (request, call, &event, &has_room);
  return has_room;
}

/* The request was running where the endpoint broke off: it may be the cause.
   Other daemons are told.  */
static void
suspect (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_poison_update news
      = { .fingerprint = request->fingerprint,
          .target
          = request->group != 0
                ? request->group
                : bd_hash (request->endpoint, strlen (request->endpoint)) };

  if (bd_suspects_mark (&edge->suspects, news.fingerprint, news.target,
                        bd_edge_now_ms (edge)))
    bd_edge_tell_all (edge, BD_MESSAGE_POISON, &news);
}

static void
clear_suspicion (struct bd_edge_request *request)
{
  struct bd_poison_update news
      = { .fingerprint = request->fingerprint, .is_cleared = true };

  if (bd_suspects_clear (&request->edge->suspects, request->fingerprint))
    bd_edge_tell_all (request->edge, BD_MESSAGE_POISON, &news);
}

static const char *
failure_name (enum bd_failure failure)
{
  static const char *const names[] = {
    [BD_FAILURE_NOT_SENT] = "not-sent", [BD_FAILURE_REFUSED] = "refused",
    [BD_FAILURE_BROKEN] = "broken",     [BD_FAILURE_CROSSED] = "crossed",
    [BD_FAILURE_TIMEOUT] = "timeout",   [BD_FAILURE_ANSWERED] = "answered"
  };

  return names[failure];
}

static void
note_failure (struct bd_edge_request *request, enum bd_failure failure,
              bool is_crash)
{
  struct bd_edge *edge = request->edge;
  struct bd_fleet_group *group = bd_fleet_group (&edge->fleet, request->group);

  if (failure == BD_FAILURE_CROSSED)
    bd_count (&edge->counters, BD_COUNT_CROSSED);
  if (is_crash)
    suspect (request);
  if (failure == BD_FAILURE_REFUSED || failure == BD_FAILURE_CROSSED
      || failure == BD_FAILURE_ANSWERED)
    return;
  if (group != NULL)
    bd_edge_doubt_group (edge, group);
  else if (failure == BD_FAILURE_NOT_SENT)
    bd_edge_note_refusal (request, NULL, UNREACHED_PAUSE_MS);
  else
    bd_edge_note_answer (request, NULL, true);
}

/* The attempt has failed; the next one, or the final failure, follows.  */
static void
fail (struct bd_edge_request *request, enum bd_failure failure, bool is_crash,
      const char *detail)
{
  struct bd_edge *edge = request->edge;
  struct bd_edge_service *service = bd_edge_service (edge, request->service);
  enum bd_action action;

  bd_log ("attempt-failed", "id", request->attempt_id, "endpoint",
          request->endpoint, "failure", failure_name (failure), "detail",
          detail, "after_ms",
          BD_NUM (bd_edge_now_ms (edge) - request->sent_ms), "events",
          BD_NUM (request->events), "silent_ms",
          BD_NUM (bd_edge_now_ms (edge) - request->event_ms), NULL);
  bd_edge_leave_place (request);
  note_failure (request, failure, is_crash);
  action = bd_call_failed (&request->call, failure, &service->retries,
                           bd_edge_now_ms (edge));
  if (action == BD_ACTION_DISPATCH
      && bd_suspects_judge (&edge->suspects, request->fingerprint,
                            bd_edge_now_ms (edge))
             == BD_VERDICT_REFUSE)
    action = bd_call_refused (&request->call, BD_ERR_SUSPECT);
  if (action == BD_ACTION_DISPATCH)
    bd_count (&edge->counters,
              request->has_begun ? BD_COUNT_RESUMES : BD_COUNT_RETRIES);
  bd_edge_act (request, action);
  bd_edge_pump (edge);
}

void
bd_edge_attempt_fail (struct bd_edge_request *request, enum bd_failure failure)
{
  if (request->attempt != NULL)
    bd_http_call_cancel (request->attempt);
  request->attempt = NULL;
  fail (request, failure, false, "silent");
}

static void
finish_stream (struct bd_edge_request *request)
{
  bd_call_finished (&request->call);
  clear_suspicion (request);
  bd_edge_answer_end (request);
}

/* A whole answer of an endpoint that is no stream.  */
static void
finish_whole (struct bd_edge_request *request, struct bd_http_call *call,
              const struct bd_http_result *result)
{
  bd_call_finished (&request->call);
  if (is_success (result->status))
    clear_suspicion (request);
  bd_edge_answer_call (request, call, result);
}

/* Whether a success is one that an endpoint has sealed, as it made it.  */
static bool
is_genuine (const struct bd_edge_request *request,
            const struct bd_http_call *call)
{
  return header_of (call, names_of (request)->answer_seal) != NULL
         && header_of (call, "Content-Encoding") == NULL;
}

/* Statuses by which this daemon promises that a request has not run; an
   endpoint that does not say so must not be made to.  */
static bool
is_promise (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
end_answered (struct bd_edge_request *request, struct bd_http_call *call,
              const struct bd_http_result *result)
{
  struct bd_edge *edge = request->edge;
  const char *load = header_of (call, names_of (request)->load);
  bool is_failed = result->status >= 500;

  if (is_disowned (request, call, result->status))
    {
      struct bd_fleet_group *group
          = bd_fleet_group (&edge->fleet, request->group);

      bd_edge_note_refusal (request, load,
                            result->status == 421 ? MOVED_PAUSE_MS
                                                  : FULL_PAUSE_MS);
      if (result->status == 421 && group != NULL)
        bd_edge_pause_group (edge, group);
      fail (request, BD_FAILURE_REFUSED, false,
            BD_NUM ((int64_t)result->status));
      return;
    }
  bd_edge_note_answer (request, load, is_failed);
  if (is_success (result->status) && !is_genuine (request, call))
    fail (request, BD_FAILURE_CROSSED, false, "no seal");
  else if (request->has_begun || is_promise (result->status))
    fail (request, BD_FAILURE_BROKEN, false, "status after a stream");
  else if (is_failed && request->is_idempotent)
    {
      bd_edge_answer_hold (request, call, result);
      fail (request, BD_FAILURE_ANSWERED, false,
            BD_NUM ((int64_t)result->status));
    }
  else
    {
      bd_edge_leave_place (request);
      finish_whole (request, call, result);
      bd_edge_pump (edge);
    }
}

static void
handle_done (void *ctx, struct bd_http_call *call,
             const struct bd_http_result *result)
{
  struct bd_edge_request *request = ctx;
  struct bd_edge *edge = request->edge;
  bool is_partial = request->sse.used > request->sse.start;

  request->attempt = NULL;
  if (request->is_crossed)
    fail (request, BD_FAILURE_CROSSED, false, "other id");
  else if (!result->is_whole)
    fail (request,
          result->has_timed_out && result->was_sent ? BD_FAILURE_TIMEOUT
          : result->was_sent                        ? BD_FAILURE_BROKEN
                                                    : BD_FAILURE_NOT_SENT,
          result->was_sent && !result->has_timed_out
              && bd_edge_now_ms (edge) > request->sent_ms,
          "connection");
  else if (request->is_gapped || (is_stream (call) && is_partial))
    fail (request, BD_FAILURE_BROKEN, false, "gap");
  else if (!is_stream (call))
    end_answered (request, call, result);
  else if (!is_genuine (request, call))
    fail (request, BD_FAILURE_CROSSED, false, "no seal");
  else
    {
      if (!request->has_begun)
        bd_edge_answer_begin (request, call);
      bd_edge_leave_place (request);
      finish_stream (request);
      bd_edge_pump (edge);
    }
}

static const struct bd_http_call_ops attempt_ops
    = { .accepts = handle_accepts, .data = handle_data, .done = handle_done };

/* The headers of one attempt: the caller's, and those made here.  */
struct attempt_headers
{
  struct bd_http_pair pairs[BD_EDGE_MAX_HEADERS + 8];
  uint32_t count;
};

static void
add (struct attempt_headers *headers, const char *name, const char *value)
{
  headers->pairs[headers->count++] = (struct bd_http_pair){ name, value };
}

/* A key may have passed to another account since the request came in, or
   since its last attempt.  */
static void
renew_account (struct bd_edge_request *request)
{
  const struct bd_account *account
      = bd_routes_account (request->edge->routes, request->key);

  if (account == NULL || strcmp (account->name, request->account) == 0)
    return;
  bd_log ("account-changed", "id", request->attempt_id, "before",
          request->account, "account", account->name, "config",
          BD_NUM (request->edge->routes->version), NULL);
  bd_name_copy (request->account, account->name);
}

static void
fill_headers (struct bd_edge_request *request, struct attempt_headers *headers,
              void *mem)
{
  const struct bd_header_names *names = names_of (request);
  int64_t left_ms = request->deadline_ms - bd_edge_now_ms (request->edge);

  headers->count = 0;
  for (uint32_t i = 0; i < request->header_count; i++)
    add (headers, request->headers[i].name, request->headers[i].value);
  add (headers, names->deadline_ms,
       talloc_asprintf (mem, "%lld", (long long)(left_ms > 1 ? left_ms : 1)));
  add (headers, names->target_endpoint, request->endpoint);
  if (request->account[0] != '\0')
    add (headers, names->account, request->account);
  if (request->call.last_event_id >= 0)
    add (
        headers, names->last_event_id,
        talloc_asprintf (mem, "%lld", (long long)request->call.last_event_id));
  add (headers, NULL, NULL);
}

static uint64_t
place_hash (const struct bd_edge_place *target)
{
  return target->group != 0
             ? target->group
             : bd_hash (target->endpoint, strlen (target->endpoint));
}

static uint32_t
connect_timeout_ms (int64_t left_ms)
{
  int64_t part_ms = left_ms / CONNECT_PART;

  if (part_ms > CONNECT_TIMEOUT_MS)
    return CONNECT_TIMEOUT_MS;
  return part_ms > 1 ? (uint32_t)part_ms : 1;
}

void
bd_edge_attempt (struct bd_edge_request *request,
                 const struct bd_edge_place *target)
{
  struct bd_edge *edge = request->edge;
  void *mem = talloc_new (request);
  struct attempt_headers headers;
  int64_t left_ms = request->deadline_ms - bd_edge_now_ms (edge);
  struct bd_http_out out = {
    .method = request->method,
    .url
    = talloc_asprintf (mem, "http://%s:%u/", target->address, target->port),
    .target = request->target,
    .body = request->body,
    .body_size = request->body_size,
    .timeout_ms = (uint32_t)(left_ms > 0 ? left_ms : 0) + TIMEOUT_MARGIN_MS,
    .connect_timeout_ms = connect_timeout_ms (left_ms),
    /* What may run only once never meets a connection that has died, and
       leaves none behind.  */
    .is_single_shot = !request->is_idempotent,
    .is_sent_once = true,
  };

  renew_account (request);
  bd_edge_enter_place (request, target);
  bd_call_sent (&request->call, place_hash (target));
  bd_count (&edge->counters, BD_COUNT_ATTEMPTS);
  if (request->call.attempts == 1)
    bd_observe (&edge->histograms, BD_HISTOGRAM_WAIT,
                bd_edge_now_ms (edge) - request->received_ms);
  fill_headers (request, &headers, mem);
  out.headers = headers.pairs;
  bd_sse_reset (&request->sse);
  request->is_crossed = false;
  request->is_gapped = false;
  request->events = 0;
  request->answer_size = 0;
  bd_log_detail (
      "attempt", "id", request->attempt_id, "try",
      BD_NUM (request->call.attempts), "endpoint", request->endpoint,
      "candidates", BD_NUM (target->candidates), "load", BD_NUM (target->load),
      "expected_ms", BD_NUM (target->expected_ms), "waited_ms",
      BD_NUM (bd_edge_now_ms (edge) - request->received_ms), "list_age_ms",
      BD_NUM (bd_edge_now_ms (edge) - edge->instances_proof_ms), NULL);
  request->attempt = bd_http_send (&edge->client, &out, &attempt_ops, request);
  talloc_free (mem);
  if (request->attempt == NULL)
    fail (request, BD_FAILURE_NOT_SENT, false, "client");
}

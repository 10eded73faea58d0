/* Attempts: sending a call to its target and handling the response.  */

#include "base/log.h"
#include "daemon/job_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MAX_ERROR_BODY_BYTES = 64 * 1024,
  MAX_ATTEMPT_HEADERS = 12
};

/* Handles a broken attempt on a replica group: the group is suspected, and the
   request is marked as suspected poison, since it may have crashed the
   replica.  */
static void
mark_poison (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  int64_t now_ms = bd_daemon_now_ms (daemon);
  struct bd_poison_evidence evidence
      = { .subject = job->subject,
          .target = job->target.hash,
          .request = job->subject,
          .reporter = bd_membership_self (&daemon->membership)->name_hash,
          .sent_age_ms = (uint32_t)(now_ms - job->attempt_sent_ms) };
  struct bd_poison_update message = { .items = &evidence, .count = 1 };

  if (job->target.group[0] == '\0')
    return;
  bd_daemon_suspect_target (daemon, job->target.hash);
  if (bd_poison_add (&daemon->poison_requests, &evidence, 1, now_ms))
    bd_daemon_send_to_all (daemon, BD_MESSAGE_POISON, &message);
}

static void
clear_poison (struct bd_job *job)
{
  struct bd_poison_evidence cleared[BD_POISON_MAX_EVIDENCE];
  struct bd_poison_update message = { .items = cleared };

  message.count = bd_poison_complete (
      &job->daemon->poison_requests, &job->subject, 1,
      bd_daemon_now_ms (job->daemon), cleared, BD_POISON_MAX_EVIDENCE);
  if (message.count > 0)
    bd_daemon_send_to_all (job->daemon, BD_MESSAGE_POISON, &message);
}

/* Frees what the failed attempt has left.  */
static void
drop_response (struct bd_job *job)
{
  TALLOC_FREE (job->error_body);
  job->error_size = 0;
  job->error_capacity = 0;
  bd_sse_reset (&job->sse);
}

/* Counts and logs a response that this daemon has ended, since it or what all
   responses buffer was too large.  */
static void
note_excess (const struct bd_job *job, const struct bd_http_result *result)
{
  struct bd_daemon *daemon = job->daemon;

  bd_count (&daemon->counters, BD_COUNT_RESPONSES_TOO_LARGE);
  bd_log_request ("response-too-large", "id", job->attempt_id, "endpoint",
                  job->target.instance, "part", result->excess, "status",
                  BD_NUM (result->status), "events", BD_NUM (job->tokens),
                  "buffered_bytes",
                  BD_NUM ((int64_t)daemon->memory.used_bytes), NULL);
}

/* Counts and logs a response that cannot be used.  */
static void
note_unusable (const struct bd_job *job, const struct bd_http_result *result)
{
  if (result->malformed == NULL)
    {
      if (result->excess != NULL)
        note_excess (job, result);
      return;
    }
  bd_count (&job->daemon->counters, BD_COUNT_RESPONSES_MALFORMED);
  bd_log_request ("response-malformed", "id", job->attempt_id, "endpoint",
                  job->target.instance, "part", result->malformed, "events",
                  BD_NUM (job->tokens), NULL);
}

/* is_crash: the replica may have crashed.  */
static void
handle_attempt_failure (struct bd_job *job, enum bd_failure failure,
                        bool is_crash)
{
  struct bd_daemon *daemon = job->daemon;
  struct bd_target target = job->target;
  enum bd_action action;

  bd_job_release_slot (job);
  drop_response (job);
  if (target.is_daemon && failure == BD_FAILURE_NOT_SENT)
    bd_daemon_clear_remote (daemon, target.instance);
  if (is_crash)
    mark_poison (job);
  if (failure == BD_FAILURE_MISMATCHED)
    bd_count (&daemon->counters, BD_COUNT_WRONG_ATTEMPT_ID);
  action = bd_call_failed (&job->call, failure, &daemon->retries,
                           bd_daemon_now_ms (daemon));
  if (target.group[0] != '\0')
    bd_daemon_probe_group (daemon, target.group);
  job->poison_decision = bd_poison_decide (
      &daemon->poison_requests, &job->subject, 1, bd_daemon_now_ms (daemon));
  if (action == BD_ACTION_DISPATCH && job->poison_decision == BD_POISON_REFUSE)
    action = bd_call_refused (&job->call, BD_ERR_POISON_REQUEST);
  if (action == BD_ACTION_DISPATCH)
    bd_count (&daemon->counters,
              job->has_started_stream ? BD_COUNT_RESUMES : BD_COUNT_RETRIES);
  bd_job_apply_action (job, action);
}

static enum bd_failure
failure_of_result (const struct bd_http_result *result)
{
  if (result->has_timed_out)
    return BD_FAILURE_TIMEOUT;
  return result->was_sent ? BD_FAILURE_BROKEN : BD_FAILURE_NOT_SENT;
}

/* Handles an attempt without a complete response.  */
static void
handle_incomplete (struct bd_job *job, const struct bd_http_result *result)
{
  enum bd_failure failure = failure_of_result (result);

  handle_attempt_failure (job, failure,
                          failure == BD_FAILURE_BROKEN
                              && result->excess == NULL
                              && result->malformed == NULL);
}

/* Whether a response belongs to this attempt: engines and daemons return the
   attempt id, and engines also the incarnation.  */
static bool
is_response_of_attempt (struct bd_job *job, struct bd_http_call *call)
{
  const char *id = bd_http_call_header (call, "X-Attempt-Id");
  const char *incarnation
      = bd_http_call_header (call, "X-Replica-Incarnation");

  if (!job->is_model)
    return id == NULL || strcmp (id, job->attempt_id) == 0;
  if (id == NULL || strcmp (id, job->attempt_id) != 0)
    return false;
  if (job->target.is_daemon)
    return true;
  if (incarnation != NULL
      && strtoll (incarnation, NULL, 10) == job->target.incarnation)
    return true;
  bd_count (&job->daemon->counters, BD_COUNT_WRONG_INCARNATION);
  return false;
}

/* Refuses a response with the id of another attempt, whatever its status.  The
   connection is closed after a failure or a refusal: a copy of it that comes
   late cannot be told from the response to the next request.  */
static bool
handle_accepts (void *ctx, struct bd_http_call *call)
{
  struct bd_job *job = ctx;
  const char *id = bd_http_call_header (call, "X-Attempt-Id");

  job->has_mismatched_response
      = id != NULL && strcmp (id, job->attempt_id) != 0;
  if (bd_http_call_status (call) >= 300)
    bd_http_call_close (call);
  return !job->has_mismatched_response;
}

/* Whether the response states that the endpoint has not started the call.  */
static bool
is_refusal (const struct bd_job *job, struct bd_http_call *call,
            uint32_t status, const char *body)
{
  const char *run_state = bd_http_call_header (call, "X-Run-State");

  if (job->target.is_daemon)
    return run_state != NULL && strcmp (run_state, "not-run") == 0
           && (status == 429 || status == 503);
  return job->is_model && (status == 409 || status == 503) && body != NULL
         && strstr (body, "\"started\":false") != NULL;
}

static void
finish_response (struct bd_job *job, struct bd_http_call *call,
                 uint32_t status, const char *body, size_t size)
{
  struct bd_daemon *daemon = job->daemon;
  const char *content_type = bd_http_call_header (call, "Content-Type");
  const char *run_state = bd_http_call_header (call, "X-Run-State");
  struct bd_http_header_field headers[5]
      = { { "Content-Type", content_type != NULL
                                ? content_type
                                : "application/octet-stream" } };
  uint32_t count = 1;

  if (job->is_forwarded && job->exchange != NULL)
    headers[count++] = (struct bd_http_header_field){
      "X-Attempt-Id", bd_http_header (job->exchange, "X-Attempt-Id")
    };
  if (run_state != NULL)
    headers[count++]
        = (struct bd_http_header_field){ "X-Run-State", run_state };
  bd_call_finished (&job->call);
  clear_poison (job);
  bd_job_record_outcome (job, status, headers[0].value, body, size);
  if (job->exchange != NULL)
    {
      bd_count (&daemon->counters, BD_COUNT_RESPONSES);
      bd_http_respond (job->exchange, status, headers, body, size);
    }
  bd_job_end (job);
}

static void
handle_response_done (void *ctx, struct bd_http_call *call,
                      const struct bd_http_result *result)
{
  struct bd_job *job = ctx;
  bool is_refused = result->is_complete
                    && is_refusal (job, call, result->status, result->body);

  job->attempt = NULL;
  note_unusable (job, result);
  if (job->has_mismatched_response
      || (result->is_complete && !is_refused
          && !is_response_of_attempt (job, call)))
    handle_attempt_failure (job, BD_FAILURE_MISMATCHED, false);
  else if (!result->is_complete)
    handle_incomplete (job, result);
  else if (is_refused)
    handle_attempt_failure (job, BD_FAILURE_REFUSED, false);
  else
    finish_response (job, call, result->status, result->body,
                     result->body_size);
}

static const struct bd_http_call_ops response_ops
    = { .accepts = handle_accepts, .done = handle_response_done };

static void
begin_stream (struct bd_job *job)
{
  struct bd_http_header_field headers[]
      = { { "Content-Type", "text/event-stream" },
          { "Cache-Control", "no-store" },
          { NULL, NULL },
          { NULL, NULL } };

  if (job->has_started_stream || job->exchange == NULL)
    return;
  if (job->is_forwarded)
    headers[2] = (struct bd_http_header_field){
      "X-Attempt-Id", bd_http_header (job->exchange, "X-Attempt-Id")
    };
  job->has_started_stream = true;
  bd_http_stream_begin (job->exchange, 200, headers);
}

static void
handle_stream_head (void *ctx, struct bd_http_call *call, uint32_t status)
{
  struct bd_job *job = ctx;
  const char *content_type = bd_http_call_header (call, "Content-Type");

  job->is_streaming = status == 200 && content_type != NULL
                      && strncmp (content_type, "text/event-stream", 17) == 0;
  job->has_mismatched_response
      = job->is_streaming && !is_response_of_attempt (job, call);
}

/* Whether an event belongs to the stream: in one whose events have ids, an
   event without an id has no place.  */
static bool
has_place (const struct bd_job *job, const struct bd_sse_event *event)
{
  return !event->is_malformed
         && (event->has_id || event->is_end || event->is_comment
             || job->call.last_event_id < 0);
}

/* Forwards one event to the caller.  Returns false when the caller reads
   slowly.  */
static bool
forward_event (struct bd_job *job, struct bd_http_call *call,
               const struct bd_sse_event *event)
{
  if (!bd_call_is_new_event (&job->call, event->has_id, event->id))
    {
      bd_http_call_discard (call, event->size);
      return true;
    }
  begin_stream (job);
  bd_call_event (
      &job->call,
      event->has_id
          || ((event->is_end || event->is_comment) && job->call.can_resume),
      event->has_id ? event->id : job->call.last_event_id);
  job->tokens++;
  return bd_http_stream_write (job->exchange, event->text, event->size);
}

/* Returns false if the body is too large.  */
static bool
append_error_body (struct bd_job *job, struct bd_http_call *call,
                   const char *data, size_t size)
{
  size_t needed = job->error_size + size + 1;

  if (needed > MAX_ERROR_BODY_BYTES)
    return false;
  if (needed > job->error_capacity)
    {
      job->error_capacity = needed * 2;
      if (!bd_http_call_hold (call, job->error_capacity))
        return false;
      job->error_body
          = talloc_realloc (job, job->error_body, char, job->error_capacity);
    }
  memcpy (job->error_body + job->error_size, data, size);
  job->error_size += size;
  job->error_body[job->error_size] = '\0';
  return true;
}

static bool
handle_stream_data (void *ctx, struct bd_http_call *call, const char *data,
                    size_t size)
{
  struct bd_job *job = ctx;
  struct bd_sse_event event;
  bool can_continue = true;

  if (!job->is_streaming)
    {
      if (!append_error_body (job, call, data, size))
        bd_http_call_reject (call, "body");
      return true;
    }
  if (job->has_mismatched_response || job->has_ended_stream)
    {
      bd_http_call_discard (call, size);
      return true;
    }
  if (job->exchange == NULL)
    return true;
  if (!bd_sse_feed (&job->sse, data, size)
      || !bd_http_call_hold (call, job->sse.capacity))
    {
      bd_http_call_reject (call, "event");
      return true;
    }
  while (!job->has_ended_stream && bd_sse_next (&job->sse, &event))
    {
      if (!has_place (job, &event))
        {
          job->has_mismatched_response = true;
          bd_http_call_reject (call, NULL);
          return true;
        }
      can_continue = forward_event (job, call, &event) && can_continue;
      job->has_ended_stream = event.is_end;
    }
  return can_continue;
}

static void
finish_stream (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;

  if (job->target.group[0] != '\0' && job->tokens > 0)
    bd_daemon_record_token_time (
        daemon, job->target.group,
        bd_daemon_now_ms (daemon) - job->attempt_sent_ms, job->tokens);
  bd_call_finished (&job->call);
  clear_poison (job);
  if (job->exchange != NULL)
    {
      bd_count (&daemon->counters, BD_COUNT_RESPONSES);
      bd_http_stream_end (job->exchange, true);
    }
  bd_job_end (job);
}

static void
handle_stream_done (void *ctx, struct bd_http_call *call,
                    const struct bd_http_result *result)
{
  struct bd_job *job = ctx;
  const char *body = job->error_body != NULL ? job->error_body : "";

  job->attempt = NULL;
  note_unusable (job, result);
  if (job->has_ended_stream)
    finish_stream (job);
  else if (job->has_mismatched_response)
    handle_attempt_failure (job, BD_FAILURE_MISMATCHED, false);
  else if (!result->is_complete)
    handle_incomplete (job, result);
  else if (!job->is_streaming && is_refusal (job, call, result->status, body))
    handle_attempt_failure (job, BD_FAILURE_REFUSED, false);
  else if (job->is_streaming || job->has_started_stream)
    handle_attempt_failure (job, BD_FAILURE_BROKEN, true);
  else
    finish_response (job, call, result->status, body, job->error_size);
}

static const struct bd_http_call_ops stream_ops
    = { .accepts = handle_accepts,
        .head = handle_stream_head,
        .data = handle_stream_data,
        .done = handle_stream_done };

struct attempt_headers
{
  struct bd_http_header_field pairs[MAX_ATTEMPT_HEADERS];
  uint32_t count;
  char incarnation[32];
  char last_event_id[32];
  char deadline[32];
};

static void
add_header (struct attempt_headers *headers, const char *name,
            const char *value)
{
  if (value != NULL && value[0] != '\0')
    headers->pairs[headers->count++]
        = (struct bd_http_header_field){ name, value };
}

static void
fill_headers (struct bd_job *job, struct attempt_headers *headers)
{
  memset (headers, 0, sizeof *headers);
  add_header (headers, "Content-Type", job->content_type);
  add_header (headers, "X-Attempt-Id", job->attempt_id);
  add_header (headers, "X-Client-Account", job->account);
  add_header (headers, "Idempotency-Key", job->idempotency_key);
  if (job->call.has_head && job->call.can_resume)
    {
      snprintf (headers->last_event_id, sizeof headers->last_event_id, "%lld",
                (long long)job->call.last_event_id);
      add_header (headers, "Last-Event-ID", headers->last_event_id);
    }
  if (job->target.group[0] != '\0')
    {
      snprintf (headers->incarnation, sizeof headers->incarnation, "%lld",
                (long long)job->target.incarnation);
      add_header (headers, "X-Replica-Group", job->target.group);
      add_header (headers, "X-Replica-Incarnation", headers->incarnation);
    }
  if (!job->target.is_daemon)
    return;
  snprintf (
      headers->deadline, sizeof headers->deadline, "%lld",
      (long long)(job->call.deadline_ms - bd_daemon_now_ms (job->daemon)));
  add_header (headers, "X-Deadline-Ms", headers->deadline);
  add_header (headers, BD_FORWARD_HEADER,
              job->poison_decision == BD_POISON_ISOLATE ? "suspect"
              : job->target.is_relay                    ? "relay"
                                                        : "room");
}

static void
send_attempt (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  struct attempt_headers headers;
  char *url = talloc_asprintf (job, "http://%s:%u%s", job->target.address,
                               job->target.port, job->uri);
  struct bd_http_request out
      = { .method = job->method,
          .url = url,
          .headers = headers.pairs,
          .body = job->body,
          .body_size = job->body_size,
          .has_dedicated_connection = !job->call.is_idempotent };

  bd_id_make (daemon->rng, job->attempt_id);
  fill_headers (job, &headers);
  drop_response (job);
  job->is_streaming = false;
  job->has_mismatched_response = false;
  job->tokens = 0;
  job->attempt_sent_ms = bd_daemon_now_ms (daemon);
  bd_call_sent (&job->call, job->target.hash);
  bd_count (&daemon->counters, BD_COUNT_ATTEMPTS);
  bd_daemon_acquire_slot (daemon, &job->target,
                          job->poison_decision == BD_POISON_ISOLATE);
  job->has_slot = true;
  job->attempt
      = bd_http_send (&daemon->client, &out,
                      job->call.is_stream ? &stream_ops : &response_ops, job);
  talloc_free (url);
  if (job->attempt == NULL)
    handle_attempt_failure (job, BD_FAILURE_NOT_SENT, false);
}

void
bd_job_dispatch (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  enum bd_target_choice choice
      = bd_daemon_choose_target (daemon, job, &job->target);

  job->is_parked = choice == BD_CHOICE_WAIT;
  if (choice == BD_CHOICE_NONE)
    bd_job_apply_action (
        job, bd_call_no_target (&job->call, job->call.may_have_run
                                                ? BD_ERR_ENDPOINT_FAILED
                                                : BD_ERR_NO_ENDPOINT));
  if (choice != BD_CHOICE_FOUND)
    return;
  if (job->target.group[0] != '\0')
    bd_prefix_record (&daemon->prefixes, &job->prefix, job->target.hash,
                      bd_daemon_now_ms (daemon));
  send_attempt (job);
}

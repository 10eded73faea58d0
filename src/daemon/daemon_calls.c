/* Calls of callers: from the request to the one final answer.

   Decisions are those of calls/call.h; this file carries them out.  */

#include "daemon/daemon_internal.h"

#include "base/log.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MS_PER_S = 1000,
  LEAST_RETRY_AFTER_MS = 1000,
  FAILURE_RETRY_AFTER_MS = 1000,
  MAX_ERROR_BODY_BYTES = 64 * 1024,
  MAX_ATTEMPT_HEADERS = 12,
  SECONDS_SIZE = 24
};

#define HOP_HEADER "X-Burdockdale-Hop"

static void dispatch (struct bd_job *job);
static void give_failure (struct bd_job *job);

/* Answers.  */

static void
format_seconds (int64_t ms, char out[SECONDS_SIZE])
{
  int64_t wait_ms = ms > LEAST_RETRY_AFTER_MS ? ms : LEAST_RETRY_AFTER_MS;

  snprintf (out, SECONDS_SIZE, "%lld",
            (long long)((wait_ms + MS_PER_S - 1) / MS_PER_S));
}

static char *
problem_text (void *ctx, enum bd_error error, enum bd_run_state run)
{
  return talloc_asprintf (
      ctx,
      "{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%u,"
      "\"kind\":\"%s\",\"run\":\"%s\"}",
      bd_error_text (error), bd_error_http_status (error),
      bd_error_name (error), bd_run_state_name (run));
}

void
bd_daemon_problem (struct bd_daemon *daemon, struct bd_http_exchange *exchange,
                   enum bd_error error, enum bd_run_state run,
                   int64_t retry_after_ms)
{
  char *text = problem_text (exchange, error, run);
  char seconds[SECONDS_SIZE];
  struct bd_http_pair headers[5]
      = { { "Content-Type", "application/problem+json" },
          { "X-Run-State", bd_run_state_name (run) } };
  uint32_t count = 2;

  format_seconds (retry_after_ms, seconds);
  if (bd_error_is_temporary (error))
    headers[count++] = (struct bd_http_pair){ "Retry-After", seconds };
  if (error == BD_ERR_STOPPING)
    headers[count++] = (struct bd_http_pair){ "Connection", "close" };
  bd_count (&daemon->counters, BD_COUNT_ANSWERS);
  bd_count (&daemon->counters, BD_COUNT_FAILURES);
  bd_http_respond (exchange, bd_error_http_status (error), headers, text,
                   strlen (text));
}

/* The life of a job.  */

static void
unlink_job (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;

  if (job->prev != NULL)
    job->prev->next = job->next;
  else
    daemon->jobs = job->next;
  if (job->next != NULL)
    job->next->prev = job->prev;
  daemon->job_count--;
}

static void
leave_place (struct bd_job *job)
{
  if (!job->has_place)
    return;
  job->has_place = false;
  bd_daemon_leave_place (job->daemon, &job->place,
                         job->verdict == BD_VERDICT_APART);
}

/* Frees a job; its answer has been given or nobody waits for it.  */
static void
end_job (struct bd_job *job)
{
  struct bd_pool *pool = bd_daemon_pool (job->daemon, job->service);

  leave_place (job);
  if (job->waiting.lane != NULL)
    bd_queue_remove (&pool->queue, &job->waiting);
  else if (job->call.run == BD_RAN)
    bd_queue_finished (&pool->queue,
                       bd_daemon_now_ms (job->daemon) - job->attempt_ms,
                       bd_daemon_now_ms (job->daemon));
  if (job->attempt != NULL)
    bd_http_call_cancel (job->attempt);
  if (job->claim != NULL)
    job->claim->ctx = NULL;
  if (job->exchange != NULL)
    job->exchange->user = NULL;
  unlink_job (job);
  talloc_free (job);
}

/* Claims.  */

static void
ignore_claim (void *ctx, struct bd_claim_work *work)
{
  (void)ctx;
  (void)work;
}

static void
record (struct bd_job *job, enum bd_claim_kind kind, uint32_t status,
        const char *content_type, const char *body)
{
  struct bd_claim claim = {
    .kind = kind, .status = status, .content_type = content_type, .body = body
  };

  if (job->claim_key[0] == '\0')
    return;
  memcpy (claim.key, job->claim_key, BD_ID_SIZE);
  memcpy (claim.id, job->call_id, BD_ID_SIZE);
  bd_daemon_claim (job->daemon, &claim, ignore_claim, NULL);
}

/* What a resend gets: the outcome, or only its status when it is too long or
   not text.  */
static void
record_outcome (struct bd_job *job, uint32_t status, const char *content_type,
                const char *body, size_t size)
{
  bool can_keep = size <= BD_CLAIM_MAX_BODY_BYTES
                  && memchr (body, '\0', size) == NULL
                  && g_utf8_validate (body, (gssize)size, NULL);
  char *text
      = can_keep ? talloc_strndup (job, body, size) : talloc_strdup (job, "");

  record (job, BD_CLAIM_FINISH, status, content_type, text);
}

/* The final failure.  */

static int64_t
retry_after_ms (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  struct bd_pool *pool = bd_daemon_pool (daemon, job->service);
  int64_t wait_ms = bd_queue_wait_ms (&pool->queue);

  if (job->call.error == BD_ERR_SUSPECT)
    return bd_suspects_wait_ms (&daemon->suspects, job->fingerprint,
                                bd_daemon_now_ms (daemon));
  return wait_ms > FAILURE_RETRY_AFTER_MS ? wait_ms : FAILURE_RETRY_AFTER_MS;
}

/* A stream that has begun ends with an error event, never silently.  */
static void
end_stream_with_error (struct bd_job *job)
{
  char *problem = problem_text (job, job->call.error, job->call.run);
  char *event = talloc_asprintf (job, "event: error\ndata: %s\n\n", problem);

  bd_count (&job->daemon->counters, BD_COUNT_ANSWERS);
  bd_count (&job->daemon->counters, BD_COUNT_FAILURES);
  bd_http_stream_write (job->exchange, event, strlen (event));
  bd_http_stream_end (job->exchange, true);
}

static void
give_failure (struct bd_job *job)
{
  if (job->call.run == BD_NOT_RUN)
    record (job, BD_CLAIM_RELEASE, 0, "", "");
  else
    record (job, BD_CLAIM_FINISH, 0, "", "");
  if (job->exchange != NULL && job->has_stream)
    end_stream_with_error (job);
  else if (job->exchange != NULL)
    bd_daemon_problem (job->daemon, job->exchange, job->call.error,
                       job->call.run, retry_after_ms (job));
  end_job (job);
}

static void
act (struct bd_job *job, enum bd_action action)
{
  if (action == BD_ACTION_DISPATCH)
    dispatch (job);
  else if (action == BD_ACTION_FAIL)
    give_failure (job);
}

/* Attempts.  */

/* The request was running where the replica broke.  */
static void
suspect (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  struct bd_suspect_news news
      = { .fingerprint = job->fingerprint, .place = job->place.hash };

  if (job->place.group[0] == '\0')
    return;
  bd_daemon_doubt (daemon, job->place.hash);
  if (bd_suspects_mark (&daemon->suspects, job->fingerprint, job->place.hash,
                        bd_daemon_now_ms (daemon)))
    bd_daemon_tell_all (daemon, BD_MESSAGE_SUSPECT, &news);
}

static void
clear_suspicion (struct bd_job *job)
{
  struct bd_suspect_news news
      = { .fingerprint = job->fingerprint, .is_cleared = true };

  if (bd_suspects_clear (&job->daemon->suspects, job->fingerprint))
    bd_daemon_tell_all (job->daemon, BD_MESSAGE_SUSPECT, &news);
}

static void
attempt_failed (struct bd_job *job, enum bd_failure failure)
{
  struct bd_daemon *daemon = job->daemon;
  struct bd_place place = job->place;
  enum bd_action action;

  leave_place (job);
  if (place.is_daemon && failure == BD_FAILURE_NOT_SENT)
    bd_daemon_lose_centre (daemon, place.instance);
  if (failure == BD_FAILURE_BROKEN)
    suspect (job);
  if (failure == BD_FAILURE_CROSSED)
    bd_count (&daemon->counters, BD_COUNT_CROSSED);
  action = bd_call_failed (&job->call, failure, &daemon->retries,
                           bd_daemon_now_ms (daemon));
  if (place.group[0] != '\0')
    bd_daemon_check_group (daemon, place.group);
  job->verdict = bd_suspects_judge (&daemon->suspects, job->fingerprint,
                                    bd_daemon_now_ms (daemon));
  if (action == BD_ACTION_DISPATCH && job->verdict == BD_VERDICT_REFUSE)
    action = bd_call_refused (&job->call, BD_ERR_SUSPECT);
  if (action == BD_ACTION_DISPATCH)
    bd_count (&daemon->counters,
              job->has_stream ? BD_COUNT_RESUMES : BD_COUNT_RETRIES);
  act (job, action);
}

static enum bd_failure
failure_of (const struct bd_http_result *result)
{
  if (result->has_timed_out)
    return BD_FAILURE_TIMEOUT;
  return result->was_sent ? BD_FAILURE_BROKEN : BD_FAILURE_NOT_SENT;
}

/* Whether the head of an answer is that of this attempt: engines and daemons
   give the attempt's id back, and engines the incarnation.  */
static bool
is_own_head (struct bd_job *job, struct bd_http_call *call)
{
  const char *id = bd_http_call_header (call, "X-Attempt-Id");
  const char *incarnation
      = bd_http_call_header (call, "X-Replica-Incarnation");

  if (!job->is_model)
    return id == NULL || strcmp (id, job->attempt_id) == 0;
  if (id == NULL || strcmp (id, job->attempt_id) != 0)
    return false;
  if (job->place.is_daemon)
    return true;
  if (incarnation != NULL
      && strtoll (incarnation, NULL, 10) == job->place.incarnation)
    return true;
  bd_count (&job->daemon->counters, BD_COUNT_WRONG_INCARNATION);
  return false;
}

/* An answer by which the endpoint says that it has not started.  */
static bool
is_refusal (const struct bd_job *job, struct bd_http_call *call,
            uint32_t status, const char *body)
{
  const char *run = bd_http_call_header (call, "X-Run-State");

  if (job->place.is_daemon)
    return run != NULL && strcmp (run, "not-run") == 0
           && (status == 429 || status == 503);
  return job->is_model && (status == 409 || status == 503) && body != NULL
         && strstr (body, "\"started\":false") != NULL;
}

static void
finish_whole (struct bd_job *job, struct bd_http_call *call, uint32_t status,
              const char *body, size_t size)
{
  struct bd_daemon *daemon = job->daemon;
  const char *type = bd_http_call_header (call, "Content-Type");
  const char *replay = bd_http_call_header (call, "X-Run-State");
  struct bd_http_pair headers[5]
      = { { "Content-Type",
            type != NULL ? type : "application/octet-stream" } };
  uint32_t count = 1;

  if (job->is_hop)
    headers[count++] = (struct bd_http_pair){
      "X-Attempt-Id", bd_http_header (job->exchange, "X-Attempt-Id")
    };
  if (replay != NULL)
    headers[count++] = (struct bd_http_pair){ "X-Run-State", replay };
  bd_call_finished (&job->call);
  clear_suspicion (job);
  record_outcome (job, status, headers[0].value, body, size);
  if (job->exchange != NULL)
    {
      bd_count (&daemon->counters, BD_COUNT_ANSWERS);
      bd_http_respond (job->exchange, status, headers, body, size);
    }
  end_job (job);
}

static void
handle_whole_done (void *ctx, struct bd_http_call *call,
                   const struct bd_http_result *result)
{
  struct bd_job *job = ctx;

  job->attempt = NULL;
  if (!result->is_whole)
    attempt_failed (job, failure_of (result));
  else if (is_refusal (job, call, result->status, result->body))
    attempt_failed (job, BD_FAILURE_REFUSED);
  else if (!is_own_head (job, call))
    attempt_failed (job, BD_FAILURE_CROSSED);
  else
    finish_whole (job, call, result->status, result->body, result->body_size);
}

static const struct bd_http_call_ops whole_ops
    = { NULL, NULL, handle_whole_done };

/* Streams.  */

static void
begin_stream (struct bd_job *job)
{
  struct bd_http_pair headers[] = { { "Content-Type", "text/event-stream" },
                                    { "Cache-Control", "no-store" },
                                    { NULL, NULL },
                                    { NULL, NULL } };

  if (job->has_stream || job->exchange == NULL)
    return;
  if (job->is_hop)
    headers[2] = (struct bd_http_pair){
      "X-Attempt-Id", bd_http_header (job->exchange, "X-Attempt-Id")
    };
  job->has_stream = true;
  bd_http_stream_begin (job->exchange, 200, headers);
}

static void
handle_stream_head (void *ctx, struct bd_http_call *call, uint32_t status)
{
  struct bd_job *job = ctx;
  const char *type = bd_http_call_header (call, "Content-Type");

  job->is_streaming = status == 200 && type != NULL
                      && strncmp (type, "text/event-stream", 17) == 0;
  job->has_foreign_head = job->is_streaming && !is_own_head (job, call);
}

/* Gives one event on; returns false when the caller reads slowly.  */
static bool
give_event (struct bd_job *job, const struct bd_sse_event *event)
{
  if (!bd_call_is_new_event (&job->call, event->has_id, event->id))
    return true;
  begin_stream (job);
  bd_call_event (&job->call,
                 event->has_id || (event->is_end && job->call.can_resume),
                 event->has_id ? event->id : job->call.last_event_id);
  job->tokens++;
  return bd_http_stream_write (job->exchange, event->text, event->size);
}

static bool
handle_stream_data (void *ctx, struct bd_http_call *call, const char *data,
                    size_t size)
{
  struct bd_job *job = ctx;
  struct bd_sse_event event;
  bool has_room = true;

  (void)call;
  if (!job->is_streaming)
    {
      size_t used = job->error_body != NULL ? strlen (job->error_body) : 0;
      if (used + size < MAX_ERROR_BODY_BYTES)
        job->error_body
            = talloc_strndup_append_buffer (job->error_body, data, size);
      return true;
    }
  if (job->has_foreign_head || job->exchange == NULL || job->has_ended)
    return true;
  if (!bd_sse_feed (&job->sse, data, size))
    {
      job->has_foreign_head = true;
      return true;
    }
  while (!job->has_ended && bd_sse_next (&job->sse, &event))
    {
      has_room = give_event (job, &event) && has_room;
      job->has_ended = event.is_end;
    }
  return has_room;
}

static void
finish_stream (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;

  if (job->place.group[0] != '\0' && job->tokens > 0)
    bd_daemon_note_pace (daemon, job->place.group,
                         bd_daemon_now_ms (daemon) - job->attempt_ms,
                         job->tokens);
  bd_call_finished (&job->call);
  clear_suspicion (job);
  bd_count (&daemon->counters, BD_COUNT_ANSWERS);
  bd_http_stream_end (job->exchange, true);
  end_job (job);
}

static void
handle_stream_done (void *ctx, struct bd_http_call *call,
                    const struct bd_http_result *result)
{
  struct bd_job *job = ctx;
  const char *body = job->error_body != NULL ? job->error_body : "";

  job->attempt = NULL;
  if (job->has_ended)
    finish_stream (job);
  else if (job->has_foreign_head)
    attempt_failed (job, BD_FAILURE_CROSSED);
  else if (!result->is_whole || job->is_streaming)
    attempt_failed (job, result->is_whole ? BD_FAILURE_BROKEN
                                          : failure_of (result));
  else if (is_refusal (job, call, result->status, body))
    attempt_failed (job, BD_FAILURE_REFUSED);
  else if (job->has_stream)
    attempt_failed (job, BD_FAILURE_BROKEN);
  else
    finish_whole (job, call, result->status, body, strlen (body));
}

static const struct bd_http_call_ops stream_ops
    = { handle_stream_head, handle_stream_data, handle_stream_done };

/* Sending.  */

struct attempt_headers
{
  struct bd_http_pair pairs[MAX_ATTEMPT_HEADERS];
  uint32_t count;
  char incarnation[32];
  char last_event[32];
  char deadline[32];
};

static void
add_header (struct attempt_headers *headers, const char *name,
            const char *value)
{
  if (value != NULL && value[0] != '\0')
    headers->pairs[headers->count++] = (struct bd_http_pair){ name, value };
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
      snprintf (headers->last_event, sizeof headers->last_event, "%lld",
                (long long)job->call.last_event_id);
      add_header (headers, "Last-Event-ID", headers->last_event);
    }
  if (job->place.group[0] != '\0')
    {
      snprintf (headers->incarnation, sizeof headers->incarnation, "%lld",
                (long long)job->place.incarnation);
      add_header (headers, "X-Replica-Group", job->place.group);
      add_header (headers, "X-Replica-Incarnation", headers->incarnation);
    }
  if (!job->place.is_daemon)
    return;
  snprintf (
      headers->deadline, sizeof headers->deadline, "%lld",
      (long long)(job->call.deadline_ms - bd_daemon_now_ms (job->daemon)));
  add_header (headers, "X-Deadline-Ms", headers->deadline);
  add_header (headers, HOP_HEADER,
              job->verdict == BD_VERDICT_APART ? "suspect"
              : job->place.is_relay            ? "relay"
                                               : "room");
}

static void
send_attempt (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  struct attempt_headers headers;
  char *url = talloc_asprintf (job, "http://%s:%u%s", job->place.address,
                               job->place.port, job->uri);
  struct bd_http_out out = { .method = job->method,
                             .url = url,
                             .headers = headers.pairs,
                             .body = job->body,
                             .body_size = job->body_size,
                             .is_single_shot = !job->call.may_repeat };

  bd_id_make (daemon->rng, job->attempt_id);
  fill_headers (job, &headers);
  bd_sse_reset (&job->sse);
  TALLOC_FREE (job->error_body);
  job->is_streaming = false;
  job->has_foreign_head = false;
  job->tokens = 0;
  job->attempt_ms = bd_daemon_now_ms (daemon);
  bd_call_sent (&job->call, job->place.hash);
  bd_count (&daemon->counters, BD_COUNT_ATTEMPTS);
  bd_daemon_enter_place (daemon, &job->place,
                         job->verdict == BD_VERDICT_APART);
  job->has_place = true;
  job->attempt
      = bd_http_send (&daemon->client, &out,
                      job->call.is_stream ? &stream_ops : &whole_ops, job);
  talloc_free (url);
  if (job->attempt == NULL)
    attempt_failed (job, BD_FAILURE_NOT_SENT);
}

static void
dispatch (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  enum bd_choice choice = bd_daemon_choose_place (daemon, job, &job->place);

  job->is_parked = choice == BD_CHOICE_LATER;
  if (choice == BD_CHOICE_NEVER)
    act (job, bd_call_no_place (&job->call, job->call.may_have_run
                                                ? BD_ERR_ENDPOINT_FAILED
                                                : BD_ERR_NO_ENDPOINT));
  if (choice != BD_CHOICE_PLACE)
    return;
  if (job->place.group[0] != '\0')
    bd_prefix_sent (&daemon->prefixes, &job->prefix, job->place.hash,
                    bd_daemon_now_ms (daemon));
  send_attempt (job);
}

/* Claiming.  */

static void
replay (struct bd_job *job, const struct bd_claim *claim)
{
  struct bd_http_pair headers[] = { { "Content-Type", claim->content_type },
                                    { "Idempotent-Replay", "true" },
                                    { NULL, NULL } };

  bd_count (&job->daemon->counters, BD_COUNT_CLAIM_REPLAYS);
  if (claim->status == 0)
    {
      job->claim_key[0] = '\0';
      job->call.may_have_run = true;
      act (job, bd_call_refused (&job->call, BD_ERR_KEY_UNKNOWN));
      return;
    }
  bd_count (&job->daemon->counters, BD_COUNT_ANSWERS);
  if (job->exchange != NULL)
    bd_http_respond (job->exchange, claim->status, headers, claim->body,
                     strlen (claim->body));
  end_job (job);
}

static void
refuse_claim (struct bd_job *job, enum bd_error error, bool may_have_run)
{
  /* The key is not this call's to release.  */
  job->claim_key[0] = '\0';
  job->call.may_have_run = may_have_run;
  act (job, bd_call_refused (&job->call, error));
}

static void
handle_claim (void *ctx, struct bd_claim_work *work)
{
  struct bd_job *job = ctx;
  struct bd_claim release = work->claim;

  if (job == NULL)
    {
      /* The call was given up meanwhile; it has not run.  */
      release.kind = BD_CLAIM_RELEASE;
      if (work->claim.result == BD_CLAIM_GRANTED)
        bd_daemon_claim (work->daemon, &release, ignore_claim, NULL);
      return;
    }
  job->claim = NULL;
  switch (work->claim.result)
    {
    case BD_CLAIM_GRANTED:
      bd_count (&job->daemon->counters, BD_COUNT_CLAIMS);
      act (job, bd_call_claimed (&job->call));
      break;
    case BD_CLAIM_REPLAY:
      replay (job, &work->claim);
      break;
    case BD_CLAIM_IN_PROGRESS:
      refuse_claim (job, BD_ERR_KEY_IN_PROGRESS, true);
      break;
    case BD_CLAIM_UNKNOWN:
      refuse_claim (job, BD_ERR_KEY_UNKNOWN, true);
      break;
    case BD_CLAIM_REUSED:
      refuse_claim (job, BD_ERR_KEY_REUSED, false);
      break;
    case BD_CLAIM_UNAVAILABLE:
      /* The commit may still take effect: free the key when it can be.  */
      act (job, bd_call_refused (&job->call, BD_ERR_PLATFORM_DOWN));
      break;
    }
}

static void
claim (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  struct bd_claim take
      = { .kind = BD_CLAIM_TAKE,
          .fingerprint = job->fingerprint,
          .at_ms = bd_clock_calendar_ms (&daemon->clock),
          .hold_ms
          = (uint32_t)(job->call.deadline_ms - bd_daemon_now_ms (daemon)) };

  bd_claim_key (job->account, job->service, job->idempotency_key,
                job->claim_key);
  bd_id_make (daemon->rng, job->call_id);
  memcpy (take.key, job->claim_key, BD_ID_SIZE);
  memcpy (take.id, job->call_id, BD_ID_SIZE);
  job->claim = bd_daemon_claim (daemon, &take, handle_claim, job);
}

/* Admission.  */

static void
admit (struct bd_job *job)
{
  enum bd_action action = bd_call_admitted (&job->call);

  if (action == BD_ACTION_CLAIM)
    claim (job);
  else
    act (job, action);
}

static void
pump_pool (struct bd_daemon *daemon, struct bd_pool *pool)
{
  const struct bd_service *service
      = bd_config_service (&daemon->config, pool->service);

  while (pool->queue.count > 0 && service != NULL
         && bd_daemon_has_room (daemon, service))
    {
      struct bd_waiting *waiting = bd_queue_pop (&pool->queue);
      admit (waiting->owner);
    }
}

static void
retry_parked (struct bd_daemon *daemon)
{
  struct bd_job *next;

  for (struct bd_job *job = daemon->jobs; job != NULL; job = next)
    {
      next = job->next;
      if (job->is_parked)
        dispatch (job);
    }
}

void
bd_daemon_pump (struct bd_daemon *daemon)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, daemon->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    pump_pool (daemon, value);
}

void
bd_daemon_expire (void *ctx)
{
  struct bd_daemon *daemon = ctx;

  retry_parked (daemon);
  bd_daemon_pump (daemon);
}

static void
handle_deadline (struct tevent_context *events, struct tevent_timer *timer,
                 struct timeval now, void *private_data)
{
  struct bd_job *job = private_data;

  (void)events;
  (void)timer;
  (void)now;
  job->deadline = NULL;
  if (job->attempt != NULL)
    {
      /* Closing the connection tells the endpoint to stop.  */
      bd_http_call_cancel (job->attempt);
      job->attempt = NULL;
    }
  act (job, bd_call_expired (&job->call));
}

static void
enqueue (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  struct bd_pool *pool = bd_daemon_pool (daemon, job->service);
  struct bd_waiting *evicted;
  enum bd_error error;

  job->waiting.owner = job;
  job->waiting.bytes = job->body_size;
  job->waiting.deadline_ms = job->call.deadline_ms;
  error = bd_queue_push (&pool->queue, &job->waiting, job->account,
                         job->weight, bd_daemon_now_ms (daemon), &evicted);
  if (evicted != NULL)
    {
      struct bd_job *victim = evicted->owner;
      bd_count (&daemon->counters, BD_COUNT_SHED);
      act (victim, bd_call_refused (&victim->call, BD_ERR_OVERLOADED));
    }
  if (error != BD_OK)
    {
      bd_count (&daemon->counters, BD_COUNT_SHED);
      act (job, bd_call_refused (&job->call, error));
      return;
    }
  pump_pool (daemon, pool);
}

/* Requests.  */

struct request
{
  const struct bd_service *service;
  bool is_stream;
  char *prompt;
};

static bool
is_model_path (const char *path)
{
  return strcmp (path, "/v1/chat/completions") == 0
         || strcmp (path, "/v1/completions") == 0;
}

static enum bd_error
read_model_request (struct bd_daemon *daemon,
                    struct bd_http_exchange *exchange, struct request *out)
{
  json_t *body = exchange->body != NULL
                     ? json_loadb (exchange->body, exchange->body_size,
                                   JSON_REJECT_DUPLICATES, NULL)
                     : NULL;
  const char *model = json_string_value (json_object_get (body, "model"));
  json_t *prompt = json_object_get (body, "messages");
  enum bd_error error = BD_OK;

  if (prompt == NULL)
    prompt = json_object_get (body, "prompt");
  if (strcmp (exchange->method, "POST") != 0 || model == NULL
      || prompt == NULL)
    error = BD_ERR_BAD_REQUEST;
  else
    {
      char *text = json_dumps (prompt, JSON_ENCODE_ANY | JSON_COMPACT);
      out->service = bd_config_model (&daemon->config, model);
      out->is_stream = json_is_true (json_object_get (body, "stream"));
      out->prompt = talloc_strdup (exchange, text != NULL ? text : "");
      free (text);
      if (out->service == NULL)
        error = BD_ERR_NO_ROUTE;
    }
  json_decref (body);
  return error;
}

static enum bd_error
read_request (struct bd_daemon *daemon, struct bd_http_exchange *exchange,
              struct request *out)
{
  memset (out, 0, sizeof *out);
  if (is_model_path (exchange->path))
    return read_model_request (daemon, exchange, out);
  out->service = bd_config_path (&daemon->config, exchange->path);
  return out->service != NULL ? BD_OK : BD_ERR_NO_ROUTE;
}

static int64_t
deadline_of (struct bd_http_exchange *exchange,
             const struct bd_service *service, int64_t now_ms)
{
  const char *asked = bd_http_header (exchange, "X-Deadline-Ms");
  int64_t most = service->deadline_ms;
  int64_t wanted = asked != NULL ? strtoll (asked, NULL, 10) : most;

  return now_ms + (wanted > 0 && wanted < most ? wanted : most);
}

static struct bd_job *
make_job (struct bd_daemon *daemon, struct bd_http_exchange *exchange,
          const struct request *request)
{
  struct bd_job *job = talloc_zero (daemon, struct bd_job);
  const struct bd_service *service = request->service;
  const char *account = bd_http_header (exchange, "X-Client-Account");
  const char *key = bd_http_header (exchange, "Idempotency-Key");
  const char *type = bd_http_header (exchange, "Content-Type");
  const char *hop = bd_http_header (exchange, HOP_HEADER);
  const char *last = bd_http_header (exchange, "Last-Event-ID");
  const struct bd_limit *limit;
  int64_t deadline_ms
      = deadline_of (exchange, service, bd_daemon_now_ms (daemon));

  job->daemon = daemon;
  job->exchange = exchange;
  exchange->user = job;
  bd_name_copy (job->service, service->name);
  bd_name_copy (job->account, account != NULL ? account : "anonymous");
  limit = bd_service_limit (service, job->account);
  job->weight = limit != NULL ? limit->weight : 1.0;
  job->method = talloc_strdup (job, exchange->method);
  job->uri = talloc_strdup (job, exchange->uri);
  job->body = talloc_steal (job, exchange->body);
  exchange->body = NULL;
  job->body_size = exchange->body_size;
  job->content_type = talloc_strdup (job, type != NULL ? type : "");
  job->idempotency_key = talloc_strdup (job, key != NULL ? key : "");
  job->is_model = service->is_model;
  job->is_hop = hop != NULL;
  job->must_stay = hop != NULL && strcmp (hop, "suspect") == 0;
  job->may_leave = hop != NULL && strcmp (hop, "relay") == 0;
  job->fingerprint
      = bd_hash_pair (job->service, job->account)
        ^ bd_hash (job->body != NULL ? job->body : "", job->body_size);
  if (request->prompt != NULL)
    bd_prefix_make (&job->prefix, request->prompt, strlen (request->prompt));
  bd_sse_init (&job->sse, job);
  /* The daemon that passed the call on holds the claim.  */
  bd_call_init (&job->call, service->may_repeat, key != NULL && !job->is_hop,
                request->is_stream, deadline_ms);
  if (job->is_hop && last != NULL)
    bd_call_resume_after (&job->call, strtoll (last, NULL, 10));
  job->deadline = tevent_add_timer (
      daemon->events, job,
      tevent_timeval_current_ofs (
          (uint32_t)((deadline_ms - bd_daemon_now_ms (daemon)) / MS_PER_S),
          (uint32_t)((deadline_ms - bd_daemon_now_ms (daemon)) % MS_PER_S)
              * 1000),
      handle_deadline, job);
  job->next = daemon->jobs;
  if (job->next != NULL)
    job->next->prev = job;
  daemon->jobs = job;
  daemon->job_count++;
  return job;
}

/* Refusals before a job is made.  */
static bool
is_refused (struct bd_daemon *daemon, struct bd_http_exchange *exchange,
            const struct request *request)
{
  const char *account = bd_http_header (exchange, "X-Client-Account");
  bool is_hop = bd_http_header (exchange, HOP_HEADER) != NULL;
  int64_t wait_ms;

  if (exchange->body_size > request->service->max_body_bytes)
    {
      bd_daemon_problem (daemon, exchange, BD_ERR_TOO_LARGE, BD_NOT_RUN, 0);
      return true;
    }
  if (account == NULL)
    account = "anonymous";
  if (!is_hop
      && !bd_limits_take (&daemon->limits, request->service->name, account,
                          bd_service_limit (request->service, account),
                          bd_daemon_now_ms (daemon), &wait_ms))
    {
      bd_count (&daemon->counters, BD_COUNT_RATE_LIMITED);
      bd_daemon_problem (daemon, exchange, BD_ERR_RATE_LIMITED, BD_NOT_RUN,
                         wait_ms);
      return true;
    }
  if (!bd_daemon_can_ever_serve (daemon, request->service))
    {
      bd_daemon_problem (daemon, exchange, BD_ERR_NO_ENDPOINT, BD_NOT_RUN,
                         FAILURE_RETRY_AFTER_MS);
      return true;
    }
  return false;
}

void
bd_daemon_take_call (struct bd_daemon *daemon,
                     struct bd_http_exchange *exchange)
{
  struct request request;
  struct bd_job *job;
  const char *reason;
  enum bd_error error;

  bd_count (&daemon->counters, BD_COUNT_REQUESTS);
  if (!bd_daemon_is_ready (daemon, &reason))
    {
      error = daemon->is_stopping ? BD_ERR_STOPPING : BD_ERR_NOT_READY;
      bd_daemon_problem (daemon, exchange, error, BD_NOT_RUN, 0);
      return;
    }
  error = read_request (daemon, exchange, &request);
  if (error != BD_OK)
    {
      bd_daemon_problem (daemon, exchange, error, BD_NOT_RUN, 0);
      return;
    }
  if (is_refused (daemon, exchange, &request))
    return;
  bd_retry_budget_fresh (&daemon->retries);
  job = make_job (daemon, exchange, &request);
  job->verdict = bd_suspects_judge (&daemon->suspects, job->fingerprint,
                                    bd_daemon_now_ms (daemon));
  /* The daemon that handed it over knows more than has arrived here yet.  */
  if (job->must_stay && job->verdict == BD_VERDICT_CLEAR)
    job->verdict = BD_VERDICT_APART;
  if (job->verdict == BD_VERDICT_REFUSE)
    {
      bd_count (&daemon->counters, BD_COUNT_SUSPECTS_REFUSED);
      act (job, bd_call_refused (&job->call, BD_ERR_SUSPECT));
      return;
    }
  enqueue (job);
}

void
bd_daemon_caller_gone (struct bd_daemon *daemon,
                       struct bd_http_exchange *exchange)
{
  struct bd_job *job = exchange->user;

  if (job == NULL)
    return;
  exchange->user = NULL;
  job->exchange = NULL;
  bd_count (&daemon->counters, BD_COUNT_CALLERS_GONE);
  /* A call that may not be repeated runs to its end, so that a resend can be
     told its outcome.  */
  if (!job->call.may_repeat && job->call.state == BD_CALL_RUNNING
      && job->attempt != NULL)
    return;
  if (job->call.state == BD_CALL_RUNNING)
    record (job, BD_CLAIM_RELEASE, 0, "", "");
  end_job (job);
}

void
bd_daemon_caller_writable (struct bd_daemon *daemon,
                           struct bd_http_exchange *exchange)
{
  struct bd_job *job = exchange->user;

  (void)daemon;
  if (job != NULL && job->attempt != NULL)
    bd_http_call_continue (job->attempt);
}

/* Jobs: the state of one call from its creation to its final response.  */

#include "daemon/job_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MS_PER_S = 1000,
  MIN_RETRY_AFTER_MS = 1000,
  FAILURE_RETRY_AFTER_MS = 1000,
  SECONDS_SIZE = 24
};

int64_t
bd_daemon_retry_after_s (enum bd_error error, int64_t ms)
{
  int64_t wait_ms = ms > MIN_RETRY_AFTER_MS ? ms : MIN_RETRY_AFTER_MS;

  return bd_error_is_temporary (error) ? (wait_ms + MS_PER_S - 1) / MS_PER_S
                                       : 0;
}

static char *
problem_json (void *ctx, enum bd_error error, enum bd_run_state run)
{
  return talloc_asprintf (
      ctx,
      "{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%u,"
      "\"kind\":\"%s\",\"run\":\"%s\"}",
      bd_error_text (error), bd_error_http_status (error),
      bd_error_name (error), bd_run_state_name (run));
}

void
bd_daemon_send_problem (struct bd_daemon *daemon,
                        struct bd_http_exchange *exchange, enum bd_error error,
                        enum bd_run_state run, int64_t retry_after_ms)
{
  char *text = problem_json (exchange, error, run);
  char seconds[SECONDS_SIZE];
  struct bd_http_header_field headers[5]
      = { { "Content-Type", "application/problem+json" },
          { "X-Run-State", bd_run_state_name (run) } };
  uint32_t count = 2;

  snprintf (seconds, sizeof seconds, "%lld",
            (long long)bd_daemon_retry_after_s (error, retry_after_ms));
  if (bd_error_is_temporary (error))
    headers[count++] = (struct bd_http_header_field){ "Retry-After", seconds };
  if (error == BD_ERR_STOPPING)
    headers[count++] = (struct bd_http_header_field){ "Connection", "close" };
  bd_count (&daemon->counters, BD_COUNT_RESPONSES);
  bd_count (&daemon->counters, BD_COUNT_FAILURE_RESPONSES);
  bd_http_respond (exchange, bd_error_http_status (error), headers, text,
                   strlen (text));
}

static void
unlink_job (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;

  if (daemon->next_job == job)
    daemon->next_job = job->next;
  if (job->prev != NULL)
    job->prev->next = job->next;
  else
    daemon->jobs = job->next;
  if (job->next != NULL)
    job->next->prev = job->prev;
  daemon->job_count--;
}

void
bd_job_release_slot (struct bd_job *job)
{
  if (!job->has_slot)
    return;
  job->has_slot = false;
  bd_daemon_release_slot (job->daemon, &job->target,
                          job->poison_decision == BD_POISON_ISOLATE);
}

void
bd_job_end (struct bd_job *job)
{
  struct bd_service_queue *service_queue
      = bd_daemon_service_queue (job->daemon, job->service);

  bd_job_release_slot (job);
  if (job->waiting.flow != NULL)
    bd_queue_remove (&service_queue->queue, &job->waiting);
  else if (job->call.run == BD_RAN)
    bd_queue_record_completion (&service_queue->queue,
                                bd_daemon_now_ms (job->daemon)
                                    - job->attempt_sent_ms,
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

void
bd_job_record_claim (struct bd_job *job, enum bd_claim_kind kind,
                     uint32_t status, const char *content_type,
                     const char *body)
{
  struct bd_claim claim = {
    .kind = kind, .status = status, .content_type = content_type, .body = body
  };

  if (job->claim_key[0] == '\0')
    return;
  memcpy (claim.key, job->claim_key, BD_ID_SIZE);
  memcpy (claim.id, job->call_id, BD_ID_SIZE);
  bd_daemon_submit_claim (job->daemon, &claim, NULL, NULL, NULL);
}

void
bd_job_record_outcome (struct bd_job *job, uint32_t status,
                       const char *content_type, const char *body, size_t size)
{
  bool can_keep = size <= BD_CLAIM_MAX_BODY_BYTES
                  && memchr (body, '\0', size) == NULL
                  && g_utf8_validate (body, (gssize)size, NULL);

  if (can_keep)
    bd_job_record_claim (job, BD_CLAIM_FINISH, status, content_type,
                         talloc_strndup (job, body, size));
  else
    bd_job_record_claim (job, BD_CLAIM_FINISH, BD_OUTCOME_NOT_KEPT, "", "");
}

int64_t
bd_job_retry_after_ms (const struct bd_job *job, enum bd_error error)
{
  const struct bd_daemon *daemon = job->daemon;
  const struct bd_service_queue *service_queue
      = g_hash_table_lookup (daemon->service_queues, job->service);
  int64_t wait_ms
      = service_queue != NULL ? bd_queue_wait_ms (&service_queue->queue) : 0;

  if (error == BD_ERR_POISON_REQUEST)
    return bd_poison_remaining_ms (&daemon->poison_requests, &job->subject, 1,
                                   bd_daemon_now_ms (daemon));
  return wait_ms > FAILURE_RETRY_AFTER_MS ? wait_ms : FAILURE_RETRY_AFTER_MS;
}

/* A stream that has begun ends with an error event, so that its caller can
   tell a failure from the end of the stream.  */
static void
end_stream_with_error (struct bd_job *job)
{
  char *problem = problem_json (job, job->call.error, job->call.run);
  char *event = talloc_asprintf (job, "event: error\ndata: %s\n\n", problem);

  bd_count (&job->daemon->counters, BD_COUNT_RESPONSES);
  bd_count (&job->daemon->counters, BD_COUNT_FAILURE_RESPONSES);
  bd_http_stream_write (job->exchange, event, strlen (event));
  bd_http_stream_end (job->exchange, true);
}

void
bd_job_fail (struct bd_job *job)
{
  if (job->call.run == BD_NOT_RUN)
    bd_job_record_claim (job, BD_CLAIM_RELEASE, 0, "", "");
  else
    bd_job_record_claim (job, BD_CLAIM_FINISH, BD_OUTCOME_UNKNOWN, "", "");
  if (job->exchange != NULL && job->has_started_stream)
    end_stream_with_error (job);
  else if (job->exchange != NULL)
    bd_daemon_send_problem (job->daemon, job->exchange, job->call.error,
                            job->call.run,
                            bd_job_retry_after_ms (job, job->call.error));
  bd_job_end (job);
}

void
bd_job_apply_action (struct bd_job *job, enum bd_action action)
{
  if (action == BD_ACTION_DISPATCH)
    bd_job_dispatch (job);
  else if (action == BD_ACTION_FAIL)
    bd_job_fail (job);
}

/* Closing the connection makes the endpoint stop.  */
static void
cancel_attempt (struct bd_job *job)
{
  if (job->attempt != NULL)
    bd_http_call_cancel (job->attempt);
  job->attempt = NULL;
}

static void
handle_deadline (void *private_data)
{
  struct bd_job *job = private_data;

  job->deadline_timer = NULL;
  cancel_attempt (job);
  bd_job_apply_action (job, bd_call_expired (&job->call));
}

void
bd_daemon_end_calls (struct bd_daemon *daemon)
{
  while (daemon->jobs != NULL)
    {
      struct bd_job *job = daemon->jobs;
      bool may_have_run = job->call.may_have_run || job->attempt != NULL;

      cancel_attempt (job);
      bd_job_apply_action (
          job, may_have_run ? bd_call_expired (&job->call)
                            : bd_call_refused (&job->call, BD_ERR_STOPPING));
    }
}

static int64_t
request_deadline_ms (struct bd_http_exchange *exchange,
                     const struct bd_service *service, int64_t now_ms)
{
  const char *requested = bd_http_header (exchange, "X-Deadline-Ms");
  int64_t max_ms = service->deadline_ms;
  int64_t requested_ms
      = requested != NULL ? strtoll (requested, NULL, 10) : max_ms;

  return now_ms
         + (requested_ms > 0 && requested_ms < max_ms ? requested_ms : max_ms);
}

struct bd_job *
bd_job_new (struct bd_daemon *daemon, struct bd_http_exchange *exchange,
            const struct bd_request *request)
{
  struct bd_job *job = talloc_zero (daemon, struct bd_job);
  const struct bd_service *service = request->service;
  const char *account = bd_http_header (exchange, "X-Client-Account");
  const char *key = bd_http_header (exchange, "Idempotency-Key");
  const char *content_type = bd_http_header (exchange, "Content-Type");
  const char *forward_header = bd_http_header (exchange, BD_FORWARD_HEADER);
  const char *last_event_id = bd_http_header (exchange, "Last-Event-ID");
  const struct bd_limit *limit;
  int64_t deadline_ms
      = request_deadline_ms (exchange, service, bd_daemon_now_ms (daemon));

  job->daemon = daemon;
  job->exchange = exchange;
  exchange->user = job;
  bd_name_copy (job->service, service->name);
  job->account = talloc_strdup (job, account != NULL ? account : "anonymous");
  limit = bd_service_limit (service, job->account);
  job->weight = limit != NULL ? limit->weight : 1.0;
  job->method = talloc_strdup (job, exchange->method);
  job->uri = talloc_strdup (job, exchange->uri);
  job->body = talloc_steal (job, exchange->body);
  exchange->body = NULL;
  job->body_size = exchange->body_size;
  job->content_type
      = talloc_strdup (job, content_type != NULL ? content_type : "");
  job->idempotency_key = talloc_strdup (job, key != NULL ? key : "");
  job->is_model = service->is_model;
  job->is_forwarded = forward_header != NULL;
  job->must_run_locally
      = forward_header != NULL && strcmp (forward_header, "suspect") == 0;
  job->can_forward
      = forward_header != NULL && strcmp (forward_header, "relay") == 0;
  job->fingerprint
      = bd_hash_pair (job->service, job->account)
        ^ bd_hash (job->body != NULL ? job->body : "", job->body_size);
  job->subject = bd_poison_subject (BD_POISON_REQUEST, job->fingerprint);
  if (request->prompt != NULL)
    bd_prefix_hash (&job->prefix, request->prompt, strlen (request->prompt));
  bd_sse_init (&job->sse, job);
  /* For a forwarded call, the daemon that forwarded it has the claim.  */
  bd_call_init (&job->call, service->can_retry,
                key != NULL && !job->is_forwarded, request->is_stream,
                deadline_ms);
  if (job->is_forwarded && last_event_id != NULL)
    bd_call_resume_after (&job->call, strtoll (last_event_id, NULL, 10));
  return job;
}

struct bd_job *
bd_job_create (struct bd_daemon *daemon, struct bd_http_exchange *exchange,
               const struct bd_request *request)
{
  struct bd_job *job = bd_job_new (daemon, exchange, request);

  job->deadline_timer = bd_timer_add (
      daemon->events, job, job->call.deadline_ms - bd_daemon_now_ms (daemon),
      handle_deadline, job);
  job->next = daemon->jobs;
  if (job->next != NULL)
    job->next->prev = job;
  daemon->jobs = job;
  daemon->job_count++;
  return job;
}

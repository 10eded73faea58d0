/* Calls from callers: reading the request, admission, claims, and callers that
   disconnect.  The other modules make the decisions; this file performs
   them.  */

#include "daemon/job_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  RETRY_AFTER_MS = 1000
};

static void
replay_outcome (struct bd_job *job, const struct bd_claim *claim)
{
  struct bd_http_header_field headers[]
      = { { "Content-Type", claim->content_type },
          { "Idempotent-Replay", "true" },
          { NULL, NULL } };

  bd_count (&job->daemon->counters, BD_COUNT_CLAIM_REPLAYS);
  if (claim->status == BD_OUTCOME_NOT_KEPT)
    {
      job->claim_key[0] = '\0';
      bd_job_apply_action (job, bd_call_already_ran (&job->call));
      return;
    }
  if (claim->status == BD_OUTCOME_UNKNOWN)
    {
      job->claim_key[0] = '\0';
      job->call.may_have_run = true;
      bd_job_apply_action (job,
                           bd_call_refused (&job->call, BD_ERR_KEY_UNKNOWN));
      return;
    }
  bd_count (&job->daemon->counters, BD_COUNT_RESPONSES);
  if (job->exchange != NULL)
    bd_http_respond (job->exchange, claim->status, headers, claim->body,
                     strlen (claim->body));
  bd_job_end (job);
}

static void
fail_claim (struct bd_job *job, enum bd_error error, bool may_have_run)
{
  /* Another call has the key, so this one must not release it.  */
  job->claim_key[0] = '\0';
  job->call.may_have_run = may_have_run;
  bd_job_apply_action (job, bd_call_refused (&job->call, error));
}

static void
handle_claim (void *ctx, struct bd_pending_claim *pending)
{
  struct bd_job *job = ctx;
  struct bd_claim release = pending->claim;

  if (job == NULL)
    {
      /* The job has ended and the call has not run, so the key is free.  */
      release.kind = BD_CLAIM_RELEASE;
      if (pending->claim.result == BD_CLAIM_GRANTED)
        bd_daemon_submit_claim (pending->daemon, &release, NULL, NULL, NULL);
      return;
    }
  job->claim = NULL;
  switch (pending->claim.result)
    {
    case BD_CLAIM_GRANTED:
      bd_count (&job->daemon->counters, BD_COUNT_CLAIMS);
      bd_job_apply_action (job, bd_call_claimed (&job->call));
      break;
    case BD_CLAIM_REPLAY:
      replay_outcome (job, &pending->claim);
      break;
    case BD_CLAIM_IN_PROGRESS:
      fail_claim (job, BD_ERR_KEY_IN_PROGRESS, true);
      break;
    case BD_CLAIM_UNKNOWN:
      fail_claim (job, BD_ERR_KEY_UNKNOWN, true);
      break;
    case BD_CLAIM_REUSED:
      fail_claim (job, BD_ERR_KEY_REUSED, false);
      break;
    case BD_CLAIM_UNAVAILABLE:
      /* The commit may still take effect.  The failed call releases the key as
         soon as the platform can be written.  */
      bd_job_apply_action (job,
                           bd_call_refused (&job->call, BD_ERR_PLATFORM_DOWN));
      break;
    }
}

void
bd_job_claim (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  /* The deadline may have passed since the call was admitted.  */
  int64_t left_ms = job->call.deadline_ms - bd_daemon_now_ms (daemon);
  struct bd_claim claim = { .kind = BD_CLAIM_TAKE,
                            .fingerprint = job->fingerprint,
                            .at_ms = bd_clock_calendar_ms (&daemon->clock),
                            .hold_ms = (uint32_t)MAX (left_ms, 0) };

  bd_claim_key (job->account, job->service, job->idempotency_key,
                job->claim_key);
  bd_id_make (daemon->rng, job->call_id);
  memcpy (claim.key, job->claim_key, BD_ID_SIZE);
  memcpy (claim.id, job->call_id, BD_ID_SIZE);
  bd_daemon_submit_claim (daemon, &claim, handle_claim, job, &job->claim);
}

static void
admit (struct bd_job *job)
{
  enum bd_action action = bd_call_admitted (&job->call);

  if (action == BD_ACTION_CLAIM)
    bd_job_claim (job);
  else
    bd_job_apply_action (job, action);
}

static void
dispatch_queue (struct bd_daemon *daemon,
                struct bd_service_queue *service_queue)
{
  const struct bd_service *service
      = bd_config_service (&daemon->config, service_queue->service);

  while (service_queue->queue.count > 0 && service != NULL
         && bd_daemon_has_capacity (daemon, service))
    {
      struct bd_queue_item *waiting = bd_queue_pop (&service_queue->queue);
      admit (waiting->owner);
    }
}

static void
retry_parked (struct bd_daemon *daemon)
{
  struct bd_job *job;

  daemon->next_job = daemon->jobs;
  while ((job = daemon->next_job) != NULL)
    {
      daemon->next_job = job->next;
      if (job->is_parked)
        bd_job_dispatch (job);
    }
}

void
bd_daemon_dispatch_queues (struct bd_daemon *daemon)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, daemon->service_queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    dispatch_queue (daemon, value);
}

void
bd_daemon_dispatch_all (void *ctx)
{
  struct bd_daemon *daemon = ctx;

  retry_parked (daemon);
  bd_daemon_dispatch_queues (daemon);
}

static void
enqueue (struct bd_job *job)
{
  struct bd_daemon *daemon = job->daemon;
  struct bd_service_queue *service_queue
      = bd_daemon_service_queue (daemon, job->service);
  struct bd_queue_item *evicted;
  enum bd_error error;

  job->waiting.owner = job;
  job->waiting.bytes = job->body_size;
  job->waiting.deadline_ms = job->call.deadline_ms;
  error = bd_queue_push (&service_queue->queue, &job->waiting, job->account,
                         job->weight, bd_daemon_now_ms (daemon), &evicted);
  if (evicted != NULL)
    {
      struct bd_job *evicted_job = evicted->owner;
      bd_count (&daemon->counters, BD_COUNT_SHED);
      bd_job_apply_action (evicted_job, bd_call_refused (&evicted_job->call,
                                                         BD_ERR_OVERLOADED));
    }
  if (error != BD_OK)
    {
      bd_count (&daemon->counters, BD_COUNT_SHED);
      bd_job_apply_action (job, bd_call_refused (&job->call, error));
      return;
    }
  dispatch_queue (daemon, service_queue);
}

static bool
is_model_path (const char *path)
{
  return strcmp (path, "/v1/chat/completions") == 0
         || strcmp (path, "/v1/completions") == 0;
}

const struct bd_service *
bd_daemon_find_service (const struct bd_daemon *daemon, const char *path,
                        const char *model)
{
  if (!is_model_path (path))
    return bd_config_service_for_path (&daemon->config, path);
  return model != NULL ? bd_config_service_for_model (&daemon->config, model)
                       : NULL;
}

static enum bd_error
read_model_request (struct bd_daemon *daemon,
                    struct bd_http_exchange *exchange, struct bd_request *out)
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
      out->service = bd_daemon_find_service (daemon, exchange->path, model);
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
              struct bd_request *out)
{
  memset (out, 0, sizeof *out);
  if (is_model_path (exchange->path))
    return read_model_request (daemon, exchange, out);
  out->service = bd_daemon_find_service (daemon, exchange->path, NULL);
  return out->service != NULL ? BD_OK : BD_ERR_NO_ROUTE;
}

/* Whether the limit of the request's account allows it.  Counts it unless it
   is only checked.  */
static bool
is_within_limit (struct bd_daemon *daemon,
                 const struct bd_http_exchange *exchange,
                 const struct bd_service *service, bool is_check,
                 int64_t *wait_ms)
{
  const char *account = bd_http_header (exchange, "X-Client-Account");
  const struct bd_limit *limit;
  int64_t now_ms = bd_daemon_now_ms (daemon);

  if (bd_http_header (exchange, BD_FORWARD_HEADER) != NULL)
    return true;
  if (account == NULL)
    account = "anonymous";
  limit = bd_service_limit (service, account);
  return is_check ? bd_limits_try (&daemon->limits, service->name, account,
                                   limit, now_ms, wait_ms)
                  : bd_limits_take (&daemon->limits, service->name, account,
                                    limit, now_ms, wait_ms);
}

/* Why a request is refused before a job is created, or BD_OK, and when its
   caller should retry.  */
static enum bd_error
find_refusal (struct bd_daemon *daemon,
              const struct bd_http_exchange *exchange,
              const struct bd_service *service, bool is_check,
              int64_t *retry_after_ms)
{
  *retry_after_ms = 0;
  if (exchange->body_size > service->max_body_bytes)
    return BD_ERR_TOO_LARGE;
  if (!is_within_limit (daemon, exchange, service, is_check, retry_after_ms))
    return BD_ERR_RATE_LIMITED;
  if (bd_daemon_has_any_target (daemon, service))
    return BD_OK;
  *retry_after_ms = RETRY_AFTER_MS;
  return BD_ERR_NO_ENDPOINT;
}

/* Responds to a request that is refused before a job is created.  Returns
   whether it was refused.  */
static bool
respond_if_refused (struct bd_daemon *daemon,
                    struct bd_http_exchange *exchange,
                    const struct bd_request *request)
{
  int64_t retry_after_ms;
  enum bd_error error = find_refusal (daemon, exchange, request->service,
                                      false, &retry_after_ms);

  if (error == BD_OK)
    return false;
  if (error == BD_ERR_RATE_LIMITED)
    bd_count (&daemon->counters, BD_COUNT_RATE_LIMITED);
  bd_daemon_send_problem (daemon, exchange, error, BD_NOT_RUN, retry_after_ms);
  return true;
}

/* Why the daemon takes no calls, or BD_OK.  */
static enum bd_error
find_unreadiness (const struct bd_daemon *daemon)
{
  const char *reason;

  if (bd_daemon_is_ready (daemon, &reason))
    return BD_OK;
  return daemon->is_stopping ? BD_ERR_STOPPING : BD_ERR_NOT_READY;
}

static enum bd_poison_decision
decide_poison (const struct bd_job *job)
{
  enum bd_poison_decision decision
      = bd_poison_decide (&job->daemon->poison_requests, &job->subject, 1,
                          bd_daemon_now_ms (job->daemon));

  /* The forwarding daemon suspects this request.  Its BD_MESSAGE_POISON may
     not have arrived here yet.  */
  return job->must_run_locally && decision == BD_POISON_ALLOW
             ? BD_POISON_ISOLATE
             : decision;
}

enum bd_error
bd_daemon_try_arrival (struct bd_daemon *daemon,
                       const struct bd_http_exchange *exchange,
                       const struct bd_service *service,
                       int64_t *retry_after_ms)
{
  enum bd_error error = find_unreadiness (daemon);

  *retry_after_ms = 0;
  if (error != BD_OK)
    return error;
  return service != NULL
             ? find_refusal (daemon, exchange, service, true, retry_after_ms)
             : BD_ERR_NO_ROUTE;
}

enum bd_error
bd_job_try (struct bd_job *job, enum bd_target_choice *choice)
{
  struct bd_daemon *daemon = job->daemon;
  const struct bd_service *service
      = bd_config_service (&daemon->config, job->service);
  const struct bd_service_queue *service_queue
      = g_hash_table_lookup (daemon->service_queues, job->service);
  const struct bd_queue_item item
      = { .bytes = job->body_size, .deadline_ms = job->call.deadline_ms };
  enum bd_error error = BD_OK;

  *choice = BD_CHOICE_WAIT;
  job->poison_decision = decide_poison (job);
  if (job->poison_decision == BD_POISON_REFUSE)
    return BD_ERR_POISON_REQUEST;
  if (service_queue != NULL)
    error = bd_queue_try_push (&service_queue->queue, &item, job->account,
                               job->weight, bd_daemon_now_ms (daemon));
  if (error != BD_OK
      || (service_queue != NULL && service_queue->queue.count > 0)
      || service == NULL || !bd_daemon_has_capacity (daemon, service))
    return error;
  *choice = bd_daemon_choose_target (daemon, job, &job->target);
  return *choice == BD_CHOICE_NONE ? BD_ERR_NO_ENDPOINT : BD_OK;
}

void
bd_daemon_handle_call (struct bd_daemon *daemon,
                       struct bd_http_exchange *exchange)
{
  struct bd_request request;
  struct bd_job *job;
  enum bd_error error;

  bd_count (&daemon->counters, BD_COUNT_REQUESTS);
  error = find_unreadiness (daemon);
  if (error != BD_OK)
    {
      bd_daemon_send_problem (daemon, exchange, error, BD_NOT_RUN, 0);
      return;
    }
  error = read_request (daemon, exchange, &request);
  if (error != BD_OK)
    {
      bd_daemon_send_problem (daemon, exchange, error, BD_NOT_RUN, 0);
      return;
    }
  if (respond_if_refused (daemon, exchange, &request))
    return;
  bd_retry_budget_deposit (&daemon->retries);
  job = bd_job_create (daemon, exchange, &request);
  job->poison_decision = decide_poison (job);
  if (job->poison_decision == BD_POISON_REFUSE)
    {
      bd_count (&daemon->counters, BD_COUNT_POISON_REFUSED);
      bd_job_apply_action (
          job, bd_call_refused (&job->call, BD_ERR_POISON_REQUEST));
      return;
    }
  enqueue (job);
}

void
bd_daemon_handle_caller_disconnect (struct bd_daemon *daemon,
                                    struct bd_http_exchange *exchange)
{
  struct bd_job *job = exchange->user;

  if (job == NULL)
    return;
  exchange->user = NULL;
  job->exchange = NULL;
  bd_count (&daemon->counters, BD_COUNT_CALLERS_DISCONNECTED);
  /* A call that may not be repeated runs to its end, so that a resend gets its
     outcome.  */
  if (!job->call.is_idempotent && job->call.state == BD_CALL_RUNNING
      && job->attempt != NULL)
    return;
  if (job->call.state == BD_CALL_RUNNING)
    bd_job_record_claim (job, BD_CLAIM_RELEASE, 0, "", "");
  bd_job_end (job);
}

void
bd_daemon_handle_caller_writable (struct bd_daemon *daemon,
                                  struct bd_http_exchange *exchange)
{
  struct bd_job *job = exchange->user;

  (void)daemon;
  if (job != NULL && job->attempt != NULL)
    bd_http_call_continue (job->attempt);
}

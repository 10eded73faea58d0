/* Calls of callers: reading the request, admission, claims, and callers that
   leave.  Decisions are those of the slices; this file carries them out.  */

#include "daemon/job_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  RETRY_AFTER_MS = 1000
};

static void
replay (struct bd_job *job, const struct bd_claim *claim)
{
  struct bd_http_pair headers[] = { { "Content-Type", claim->content_type },
                                    { "Idempotent-Replay", "true" },
                                    { NULL, NULL } };

  bd_count (&job->daemon->counters, BD_COUNT_CLAIM_REPLAYS);
  if (claim->status == BD_OUTCOME_NOT_KEPT)
    {
      job->claim_key[0] = '\0';
      bd_job_act (job, bd_call_ran_before (&job->call));
      return;
    }
  if (claim->status == BD_OUTCOME_UNKNOWN)
    {
      job->claim_key[0] = '\0';
      job->call.may_have_run = true;
      bd_job_act (job, bd_call_refused (&job->call, BD_ERR_KEY_UNKNOWN));
      return;
    }
  bd_count (&job->daemon->counters, BD_COUNT_ANSWERS);
  if (job->exchange != NULL)
    bd_http_respond (job->exchange, claim->status, headers, claim->body,
                     strlen (claim->body));
  bd_job_end (job);
}

static void
refuse_claim (struct bd_job *job, enum bd_error error, bool may_have_run)
{
  /* The key is not this call's to release.  */
  job->claim_key[0] = '\0';
  job->call.may_have_run = may_have_run;
  bd_job_act (job, bd_call_refused (&job->call, error));
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
        bd_daemon_claim (work->daemon, &release, NULL, NULL);
      return;
    }
  job->claim = NULL;
  switch (work->claim.result)
    {
    case BD_CLAIM_GRANTED:
      bd_count (&job->daemon->counters, BD_COUNT_CLAIMS);
      bd_job_act (job, bd_call_claimed (&job->call));
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
      bd_job_act (job, bd_call_refused (&job->call, BD_ERR_PLATFORM_DOWN));
      break;
    }
}

void
bd_job_claim (struct bd_job *job)
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

static void
admit (struct bd_job *job)
{
  enum bd_action action = bd_call_admitted (&job->call);

  if (action == BD_ACTION_CLAIM)
    bd_job_claim (job);
  else
    bd_job_act (job, action);
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
        bd_job_dispatch (job);
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
      bd_job_act (victim, bd_call_refused (&victim->call, BD_ERR_OVERLOADED));
    }
  if (error != BD_OK)
    {
      bd_count (&daemon->counters, BD_COUNT_SHED);
      bd_job_act (job, bd_call_refused (&job->call, error));
      return;
    }
  pump_pool (daemon, pool);
}

static bool
is_model_path (const char *path)
{
  return strcmp (path, "/v1/chat/completions") == 0
         || strcmp (path, "/v1/completions") == 0;
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
      out->service = bd_config_service_for_model (&daemon->config, model);
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
  out->service = bd_config_service_for_path (&daemon->config, exchange->path);
  return out->service != NULL ? BD_OK : BD_ERR_NO_ROUTE;
}

/* Refusals before a job is made.  */
static bool
is_refused (struct bd_daemon *daemon, struct bd_http_exchange *exchange,
            const struct bd_request *request)
{
  const char *account = bd_http_header (exchange, "X-Client-Account");
  bool is_hop = bd_http_header (exchange, BD_HOP_HEADER) != NULL;
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
                         RETRY_AFTER_MS);
      return true;
    }
  return false;
}

void
bd_daemon_take_call (struct bd_daemon *daemon,
                     struct bd_http_exchange *exchange)
{
  struct bd_request request;
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
  job = bd_job_make (daemon, exchange, &request);
  job->verdict = bd_suspects_judge (&daemon->suspects, job->fingerprint,
                                    bd_daemon_now_ms (daemon));
  /* The daemon that handed it over knows more than has arrived here yet.  */
  if (job->must_stay && job->verdict == BD_VERDICT_CLEAR)
    job->verdict = BD_VERDICT_APART;
  if (job->verdict == BD_VERDICT_REFUSE)
    {
      bd_count (&daemon->counters, BD_COUNT_SUSPECTS_REFUSED);
      bd_job_act (job, bd_call_refused (&job->call, BD_ERR_SUSPECT));
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
  if (!job->call.can_retry && job->call.state == BD_CALL_RUNNING
      && job->attempt != NULL)
    return;
  if (job->call.state == BD_CALL_RUNNING)
    bd_job_record (job, BD_CLAIM_RELEASE, 0, "", "");
  bd_job_end (job);
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

/* State machine of a call.  */

#include "calls/call.h"

#include "base/crash.h"

#include <math.h>
#include <string.h>

/* Retries per new call, and the maximum number of saved retries.  */
static const double default_retry_ratio = 0.2;
static const double default_retry_burst = 100.0;

void
bd_retry_budget_init (struct bd_retry_budget *budget)
{
  budget->tokens = default_retry_burst;
  budget->ratio = default_retry_ratio;
  budget->burst = default_retry_burst;
}

void
bd_retry_budget_set_limits (struct bd_retry_budget *budget, double ratio,
                            double burst)
{
  budget->ratio = ratio;
  budget->burst = burst;
  budget->tokens = fmin (budget->tokens, burst);
}

void
bd_retry_budget_deposit (struct bd_retry_budget *budget)
{
  budget->tokens = fmin (budget->burst, budget->tokens + budget->ratio);
}

static bool
has_retry (const struct bd_retry_budget *budget)
{
  return budget->tokens >= 1.0;
}

bool
bd_retry_budget_take (struct bd_retry_budget *budget)
{
  if (!has_retry (budget))
    return false;
  budget->tokens -= 1.0;
  return true;
}

void
bd_call_init (struct bd_call *call, bool is_idempotent, bool has_key,
              bool is_stream, int64_t deadline_ms)
{
  memset (call, 0, sizeof *call);
  call->is_idempotent = is_idempotent;
  call->has_key = has_key;
  call->is_stream = is_stream;
  call->deadline_ms = deadline_ms;
  call->last_event_id = -1;
}

void
bd_call_resume_after (struct bd_call *call, int64_t id)
{
  call->has_head = true;
  call->can_resume = true;
  call->last_event_id = id;
}

static enum bd_action
fail (struct bd_call *call, enum bd_error error)
{
  BD_ASSERT (call->state != BD_CALL_DONE);
  call->state = BD_CALL_DONE;
  call->error = error;
  call->run = call->may_have_run ? BD_RUN_UNKNOWN : BD_NOT_RUN;
  return BD_ACTION_FAIL;
}

enum bd_action
bd_call_admitted (struct bd_call *call)
{
  BD_ASSERT (call->state == BD_CALL_QUEUED);
  if (call->has_key && !call->is_idempotent)
    {
      call->state = BD_CALL_CLAIMING;
      return BD_ACTION_CLAIM;
    }
  call->state = BD_CALL_RUNNING;
  return BD_ACTION_DISPATCH;
}

enum bd_action
bd_call_claimed (struct bd_call *call)
{
  BD_ASSERT (call->state == BD_CALL_CLAIMING);
  call->state = BD_CALL_RUNNING;
  return BD_ACTION_DISPATCH;
}

void
bd_call_sent (struct bd_call *call, uint64_t target)
{
  BD_ASSERT (call->state == BD_CALL_RUNNING);
  BD_ASSERT (call->attempts < BD_CALL_MAX_TARGETS);
  call->tried_targets[call->attempts++] = target;
  call->attempt_runs = 1;
}

void
bd_call_grant_runs (struct bd_call *call, uint32_t runs)
{
  BD_ASSERT (runs > 0);
  call->attempt_runs = runs;
}

void
bd_call_event (struct bd_call *call, bool has_id, int64_t id)
{
  call->has_head = true;
  call->can_resume = has_id;
  if (has_id)
    call->last_event_id = id;
}

bool
bd_call_is_new_event (const struct bd_call *call, bool has_id, int64_t id)
{
  return !has_id || id > call->last_event_id;
}

static bool
is_unstarted (enum bd_failure failure)
{
  return failure == BD_FAILURE_NOT_SENT || failure == BD_FAILURE_REFUSED;
}

/* Whether the attempts, of which the last one fails now, allow another one. */
static bool
allows_attempt (const struct bd_call *call, enum bd_failure failure)
{
  uint32_t runs
      = call->runs + (is_unstarted (failure) ? 0 : call->attempt_runs);
  uint32_t unsent = call->unsent + (failure == BD_FAILURE_NOT_SENT);

  if (call->attempts - unsent >= BD_CALL_MAX_ATTEMPTS
      || call->attempts >= BD_CALL_MAX_TARGETS
      || (call->max_runs > 0 && runs >= call->max_runs))
    return false;
  if (!call->is_idempotent)
    return is_unstarted (failure) && !call->may_have_run;
  /* A stream whose response has begun is only retried when it can resume after
     the last event.  */
  return !call->has_head || call->can_resume;
}

static enum bd_error
error_of (const struct bd_call *call, enum bd_failure failure)
{
  if (failure == BD_FAILURE_TIMEOUT)
    return BD_ERR_DEADLINE_PASSED;
  return call->has_head ? BD_ERR_STREAM_BROKEN : BD_ERR_ENDPOINT_FAILED;
}

/* Whether a retry counts against the budget: an attempt that has reached no
   endpoint adds no load to any.  */
static bool
uses_budget (enum bd_failure failure)
{
  return failure != BD_FAILURE_NOT_SENT;
}

bool
bd_call_can_retry (const struct bd_call *call, enum bd_failure failure,
                   const struct bd_retry_budget *budget, int64_t now_ms)
{
  return now_ms < call->deadline_ms && allows_attempt (call, failure)
         && (!uses_budget (failure) || has_retry (budget));
}

enum bd_action
bd_call_failed (struct bd_call *call, enum bd_failure failure,
                struct bd_retry_budget *budget, int64_t now_ms)
{
  bool can_retry = bd_call_can_retry (call, failure, budget, now_ms);

  BD_ASSERT (call->state == BD_CALL_RUNNING);
  call->unsent += failure == BD_FAILURE_NOT_SENT;
  if (!is_unstarted (failure))
    {
      call->may_have_run = true;
      call->runs += call->attempt_runs;
    }
  if (now_ms >= call->deadline_ms)
    return fail (call, BD_ERR_DEADLINE_PASSED);
  if (!can_retry)
    return fail (call, error_of (call, failure));
  if (uses_budget (failure))
    bd_retry_budget_take (budget);
  return BD_ACTION_DISPATCH;
}

void
bd_call_reverted (struct bd_call *call, enum bd_failure failure, uint32_t runs)
{
  BD_ASSERT (call->state == BD_CALL_RUNNING && call->runs >= runs);
  call->unsent += failure == BD_FAILURE_NOT_SENT;
  if (!is_unstarted (failure))
    call->runs += call->attempt_runs;
  call->runs -= runs;
  call->attempt_runs = runs;
  call->may_have_run = call->runs > 0;
}

void
bd_call_stalled_ended (struct bd_call *call, enum bd_failure failure,
                       uint32_t runs)
{
  BD_ASSERT (call->state == BD_CALL_RUNNING && call->runs >= runs);
  if (!is_unstarted (failure))
    return;
  call->unsent += failure == BD_FAILURE_NOT_SENT;
  call->runs -= runs;
  call->may_have_run = call->runs > 0;
}

enum bd_action
bd_call_no_target (struct bd_call *call, enum bd_error error)
{
  return fail (call, error);
}

enum bd_action
bd_call_refused (struct bd_call *call, enum bd_error error)
{
  return fail (call, error);
}

enum bd_action
bd_call_already_ran (struct bd_call *call)
{
  enum bd_action action = fail (call, BD_ERR_OUTCOME_NOT_KEPT);

  call->run = BD_RAN;
  return action;
}

enum bd_action
bd_call_expired (struct bd_call *call)
{
  if (call->state == BD_CALL_RUNNING && call->attempts > 0)
    call->may_have_run = true;
  return fail (call, BD_ERR_DEADLINE_PASSED);
}

enum bd_action
bd_call_finished (struct bd_call *call)
{
  BD_ASSERT (call->state == BD_CALL_RUNNING);
  call->state = BD_CALL_DONE;
  call->error = BD_OK;
  call->run = BD_RAN;
  return BD_ACTION_FINISH;
}

bool
bd_call_was_tried (const struct bd_call *call, uint64_t target)
{
  for (uint32_t i = 0; i < call->attempts; i++)
    if (call->tried_targets[i] == target)
      return true;
  return false;
}

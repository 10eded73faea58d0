/* State machine of one call.  Pure.

     queued -> claiming (keyed calls only) -> running -> done
                                               |   ^
                                               +---+ retry or resume

   In every case the caller gets exactly one final response with an accurate
   run state: NOT_RUN only when no endpoint can have started the work.

   Report each event of the call with the matching function; it returns the
   action that the daemon has to take next.  Times are in ms of one monotonic
   clock.  */

#ifndef BD_CALLS_CALL_H
#define BD_CALLS_CALL_H

#include "base/error.h"
#include "base/ids.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Attempts that reach an endpoint, whether it runs the call or not.  */
  BD_CALL_MAX_ATTEMPTS = 4,
  /* All attempts, each at another target.  */
  BD_CALL_MAX_TARGETS = 16
};

enum bd_call_state
{
  BD_CALL_QUEUED,
  BD_CALL_CLAIMING,
  BD_CALL_RUNNING,
  BD_CALL_DONE
};

/* How an attempt ended without a complete response.  */
enum bd_failure
{
  BD_FAILURE_NOT_SENT,   /* No byte was sent.  */
  BD_FAILURE_REFUSED,    /* The endpoint reports that it has not started.  */
  BD_FAILURE_BROKEN,     /* Connection lost, stream stalled or with a gap.  */
  BD_FAILURE_MISMATCHED, /* The response belongs to another attempt.  */
  BD_FAILURE_TIMEOUT,
  BD_FAILURE_ERROR_RESPONSE /* The endpoint ran it and returned an error.  */
};

enum bd_action
{
  BD_ACTION_NONE,
  BD_ACTION_CLAIM,    /* Commit a claim for the key.  */
  BD_ACTION_DISPATCH, /* Choose an endpoint and send an attempt.  */
  BD_ACTION_FAIL,     /* Report error and run to the caller.  */
  BD_ACTION_FINISH    /* End the call; its response was sent.  */
};

struct bd_call
{
  enum bd_call_state state;
  bool is_idempotent;
  bool has_key;
  bool is_stream;
  int64_t deadline_ms;
  uint32_t attempts; /* All of them.  */
  uint32_t unsent;   /* Of these, those that have reached no endpoint.  */
  uint32_t max_runs; /* Maximum of runs; 0 for no limit.  */
  uint32_t runs;     /* That may have happened.  */
  /* Runs that the current attempt may use; more than one only at another
     daemon.  */
  uint32_t attempt_runs;
  /* Whether any endpoint may have started the work.  */
  bool may_have_run;
  bool has_head;         /* The caller has received the response head.  */
  bool can_resume;       /* The stream's events carry ids.  */
  int64_t last_event_id; /* Last one sent to the caller; -1 for none.  */
  enum bd_error error;
  enum bd_run_state run;
  uint64_t tried_targets[BD_CALL_MAX_TARGETS]; /* Targets of the attempts.  */
};

/* Retry budget: limits the retries to a fraction of the new calls.  */
struct bd_retry_budget
{
  double tokens;
  double ratio; /* Retries per new call.  */
  double burst; /* Maximum of tokens.  */
};

/* bd_retry_budget_init(): starts with a full budget, so that the calls of a
   replica that dies can be retried at once.  */
void bd_retry_budget_init (struct bd_retry_budget *budget);

/* bd_retry_budget_set_limits(): replaces the default limits, for example when
   several daemons share one budget.  */
void bd_retry_budget_set_limits (struct bd_retry_budget *budget, double ratio,
                                 double burst);

/* bd_retry_budget_deposit(): adds the retries that a new call earns.  */
void bd_retry_budget_deposit (struct bd_retry_budget *budget);

/* bd_retry_budget_take(): takes one retry; false when the budget is empty.  */
bool bd_retry_budget_take (struct bd_retry_budget *budget);

/* bd_call_init(): initializes a call that waits for admission.  is_idempotent:
   it may run more than once; has_key: it has an idempotency key.  */
void bd_call_init (struct bd_call *call, bool is_idempotent, bool has_key,
                   bool is_stream, int64_t deadline_ms);

/* bd_call_resume_after(): another daemon has begun the stream and forwards the
   call.  The caller has received every event up to id.  */
void bd_call_resume_after (struct bd_call *call, int64_t id);

/* bd_call_admitted(): the call leaves the queue.  */
enum bd_action bd_call_admitted (struct bd_call *call);

/* bd_call_claimed(): the claim is committed.  */
enum bd_action bd_call_claimed (struct bd_call *call);

/* bd_call_sent(): an attempt is sent to target, which is the hash of a group
   or endpoint.  */
void bd_call_sent (struct bd_call *call, uint64_t target);

/* bd_call_grant_runs(): the attempt that was just sent went to another daemon,
   which may run the call so often.  If the attempt fails, all of these may
   have happened.  */
void bd_call_grant_runs (struct bd_call *call, uint32_t runs);

/* bd_call_event(): a complete event of the stream was sent to the caller.  */
void bd_call_event (struct bd_call *call, bool has_id, int64_t id);

/* bd_call_is_new_event(): whether an event comes after the last one sent to
   the caller, so that a resumed stream repeats none.  */
bool bd_call_is_new_event (const struct bd_call *call, bool has_id,
                           int64_t id);

/* bd_call_can_retry(): whether bd_call_failed() with the same arguments would
   return DISPATCH.  */
bool bd_call_can_retry (const struct bd_call *call, enum bd_failure failure,
                        const struct bd_retry_budget *budget, int64_t now_ms);

/* bd_call_failed(): the attempt failed.  Returns DISPATCH to retry (after
   last_event_id when a stream has begun), or FAIL.  */
enum bd_action bd_call_failed (struct bd_call *call, enum bd_failure failure,
                               struct bd_retry_budget *budget, int64_t now_ms);

/* bd_call_reverted(): the attempt failed while the one before it, whose
   failure was reported and which may use runs, goes on.  That one counts as a
   run again only when it fails.  Not for calls with a claim.  */
void bd_call_reverted (struct bd_call *call, enum bd_failure failure,
                       uint32_t runs);

/* bd_call_stalled_ended(): the attempt before the current one, whose failure
   was reported as a run and which may use runs, has ended with failure while
   the current one goes on.  If it has not started, it is no run.  */
void bd_call_stalled_ended (struct bd_call *call, enum bd_failure failure,
                            uint32_t runs);

/* bd_call_no_target(): no endpoint can take the call.  */
enum bd_action bd_call_no_target (struct bd_call *call, enum bd_error error);

/* bd_call_refused(): the call is refused by admission, by its claim or by the
   poison request filter.  */
enum bd_action bd_call_refused (struct bd_call *call, enum bd_error error);

/* bd_call_already_ran(): a call with the same key has run, and its response
   was not kept.  */
enum bd_action bd_call_already_ran (struct bd_call *call);

/* bd_call_expired(): the deadline has passed.  */
enum bd_action bd_call_expired (struct bd_call *call);

/* bd_call_finished(): the complete response was sent.  */
enum bd_action bd_call_finished (struct bd_call *call);

/* bd_call_was_tried(): whether an attempt was sent to target.  */
bool bd_call_was_tried (const struct bd_call *call, uint64_t target);

#endif

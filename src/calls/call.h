/* The life of one call as a state machine.  Pure.

     queued -> claiming (keyed calls only) -> running -> done
                                               |   ^
                                               +---+ retry or resume

   Whatever happens, the caller gets one final answer, and its run state is
   true: NOT_RUN only when no endpoint can have started the work.  */

#ifndef BD_CALLS_CALL_H
#define BD_CALLS_CALL_H

#include "base/error.h"
#include "base/ids.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  BD_CALL_MAX_ATTEMPTS = 4
};

enum bd_call_state
{
  BD_CALL_QUEUED,
  BD_CALL_CLAIMING,
  BD_CALL_RUNNING,
  BD_CALL_DONE
};

/* How an attempt ended without a whole answer.  */
enum bd_failure
{
  BD_FAILURE_NOT_SENT, /* No byte was handed over.  */
  BD_FAILURE_REFUSED,  /* The endpoint said that it has not started.  */
  BD_FAILURE_BROKEN,   /* The connection ended early.  */
  BD_FAILURE_CROSSED,  /* The answer belongs to another attempt.  */
  BD_FAILURE_TIMEOUT,
  BD_FAILURE_ANSWERED /* The endpoint has run it, and answered a failure.  */
};

enum bd_action
{
  BD_ACTION_NONE,
  BD_ACTION_CLAIM,    /* Commit a claim for the key.  */
  BD_ACTION_DISPATCH, /* Choose an endpoint and send an attempt.  */
  BD_ACTION_FAIL,     /* Give the final answer: error and run.  */
  BD_ACTION_FINISH    /* The whole answer has been given.  */
};

struct bd_call
{
  enum bd_call_state state;
  bool can_retry;
  bool has_key;
  bool is_stream;
  int64_t deadline_ms;
  uint32_t attempts;
  uint32_t max_runs; /* Endpoints that may run it; 0 stands for any.  */
  uint32_t runs;     /* Attempts that may have run.  */
  /* Whether some endpoint may have started the work.  */
  bool may_have_run;
  bool has_head;         /* The caller has the head of the answer.  */
  bool can_resume;       /* The stream's events carry ids.  */
  int64_t last_event_id; /* Last one given to the caller; -1 for none.  */
  enum bd_error error;
  enum bd_run_state run;
  uint64_t tried[BD_CALL_MAX_ATTEMPTS]; /* Places that have failed.  */
};

/* The retry budget: retries may be a share of fresh calls.  */
struct bd_retry_budget
{
  double tokens;
  double share; /* Retries for each fresh call.  */
  double most;  /* That may be saved up.  */
};

/* bd_retry_budget_init(): starts with the most that may be saved up: the
   calls of a replica that dies can be sent elsewhere at once.  */
void bd_retry_budget_init (struct bd_retry_budget *budget);

/* bd_retry_budget_limit(): other limits than the usual ones, as for a daemon
   that shares them with others.  */
void bd_retry_budget_limit (struct bd_retry_budget *budget, double share,
                            double most);

/* bd_retry_budget_fresh(): a fresh call adds to the budget.  */
void bd_retry_budget_fresh (struct bd_retry_budget *budget);

/* bd_retry_budget_take(): whether a retry may be made.  */
bool bd_retry_budget_take (struct bd_retry_budget *budget);

/* bd_call_init(): a call that waits for admission.  */
void bd_call_init (struct bd_call *call, bool can_retry, bool has_key,
                   bool is_stream, int64_t deadline_ms);

/* bd_call_resume_after(): the stream has begun elsewhere and its caller has
   every event up to id.  */
void bd_call_resume_after (struct bd_call *call, int64_t id);

/* bd_call_admitted(): it is the call's turn.  */
enum bd_action bd_call_admitted (struct bd_call *call);

/* bd_call_claimed(): the claim is committed.  */
enum bd_action bd_call_claimed (struct bd_call *call);

/* bd_call_sent(): an attempt goes to place.  */
void bd_call_sent (struct bd_call *call, uint64_t place);

/* bd_call_event(): a whole event of the stream has been given on.  */
void bd_call_event (struct bd_call *call, bool has_id, int64_t id);

/* bd_call_is_new_event(): whether an event comes after those given on, so
   that a resumed stream doubles none.  */
bool bd_call_is_new_event (const struct bd_call *call, bool has_id,
                           int64_t id);

/* bd_call_failed(): the attempt failed.  DISPATCH to try again (resuming
   after last_event_id when a stream has begun), or FAIL.  */
enum bd_action bd_call_failed (struct bd_call *call, enum bd_failure failure,
                               struct bd_retry_budget *budget, int64_t now_ms);

/* bd_call_no_place(): there is nowhere to send it.  */
enum bd_action bd_call_no_place (struct bd_call *call, enum bd_error error);

/* bd_call_refused(): admission, a claim or a suspicion refuses it.  */
enum bd_action bd_call_refused (struct bd_call *call, enum bd_error error);

/* bd_call_ran_before(): a call with its key has run, and nobody can say any
   more what it answered.  */
enum bd_action bd_call_ran_before (struct bd_call *call);

/* bd_call_expired(): its deadline has passed.  */
enum bd_action bd_call_expired (struct bd_call *call);

/* bd_call_finished(): the whole answer was given.  */
enum bd_action bd_call_finished (struct bd_call *call);

/* bd_call_was_tried(): whether an attempt at place has failed.  */
bool bd_call_was_tried (const struct bd_call *call, uint64_t place);

#endif

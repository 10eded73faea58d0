/* Properties of the call state machine: one final response, an accurate run
   state, at most one run of a call that is not idempotent and at most its
   maximum of any other, and resumed streams without lost or repeated events.
 */

extern "C"
{
#include "calls/call.h"
#include "calls/sse.h"
}

#include <algorithm>
#include <cstring>
#include <rapidcheck.h>
#include <string>
#include <talloc.h>

namespace
{

/* Result of one attempt.  */
enum AttemptResult
{
  FINISHES,
  NOT_SENT,
  REFUSED,
  BREAKS,
  MISMATCHES,
  TIMES_OUT,
  NO_TARGET,
  RESULT_COUNT
};

struct Outcome
{
  unsigned finals = 0; /* Final responses.  */
  unsigned runs = 0;   /* Runs that endpoints may have started.  */
  unsigned attempts = 0;
  unsigned reached = 0; /* Attempts that have reached an endpoint.  */
};

/* What the daemons make of one attempt.  */
struct Step
{
  int result;
  unsigned granted_runs; /* More than one at another daemon.  */
  unsigned started_runs; /* Of these, unless the attempt has not started.  */
};

rc::Gen<Step>
anyStep ()
{
  return rc::gen::apply (
      [] (int result, unsigned granted, unsigned started) {
        return Step{ result, granted, std::min (started, granted) };
      },
      rc::gen::oneOf (rc::gen::just<int> (NOT_SENT),
                      rc::gen::inRange<int> (0, RESULT_COUNT)),
      rc::gen::inRange (1u, 4u), rc::gen::inRange (1u, 4u));
}

/* Runs that a daemon may grant to another one for the next attempt.  */
unsigned
grantable (const struct bd_call *call, unsigned wanted)
{
  if (!call->is_idempotent)
    return 1;
  return call->max_runs > 0 ? std::min (wanted, call->max_runs - call->runs)
                            : wanted;
}

enum bd_failure
failure_of (int result)
{
  switch (result)
    {
    case NOT_SENT:
      return BD_FAILURE_NOT_SENT;
    case REFUSED:
      return BD_FAILURE_REFUSED;
    case MISMATCHES:
      return BD_FAILURE_MISMATCHED;
    case TIMES_OUT:
      return BD_FAILURE_TIMEOUT;
    default:
      return BD_FAILURE_BROKEN;
    }
}

enum bd_action
attempt (struct bd_call *call, const Step &step,
         struct bd_retry_budget *budget, int64_t now_ms, Outcome *out)
{
  int result = step.result;
  unsigned granted = grantable (call, step.granted_runs);

  if (result == NO_TARGET)
    return bd_call_no_target (call, BD_ERR_NO_ENDPOINT);
  bd_call_sent (call, out->attempts++);
  bd_call_grant_runs (call, granted);
  out->reached += result != NOT_SENT;
  if (result != NOT_SENT && result != REFUSED)
    out->runs += std::min (step.started_runs, granted);
  if (result == FINISHES)
    return bd_call_finished (call);
  bool can_retry
      = bd_call_can_retry (call, failure_of (result), budget, now_ms);
  enum bd_action action
      = bd_call_failed (call, failure_of (result), budget, now_ms);
  RC_ASSERT (can_retry == (action == BD_ACTION_DISPATCH));
  return action;
}

bool
oneFinalResponse ()
{
  return rc::check ("one final response with an accurate run state", [] {
    bool is_idempotent = *rc::gen::arbitrary<bool> ();
    bool has_key = *rc::gen::arbitrary<bool> ();
    double tokens = *rc::gen::inRange (0, 6);
    unsigned max_runs = *rc::gen::inRange (0u, 5u);
    auto steps = *rc::gen::container<std::vector<Step> > (BD_CALL_MAX_TARGETS,
                                                          anyStep ());
    struct bd_call call;
    struct bd_retry_budget budget = { tokens, 0.2, 100 };
    Outcome out;
    enum bd_action action;

    bd_call_init (&call, is_idempotent, has_key, false, 1000);
    call.max_runs = max_runs;
    action = bd_call_admitted (&call);
    if (action == BD_ACTION_CLAIM)
      {
        RC_ASSERT (has_key);
        RC_ASSERT (!is_idempotent);
        action = bd_call_claimed (&call);
      }
    for (int i = 0; action == BD_ACTION_DISPATCH; i++)
      {
        RC_ASSERT (i < BD_CALL_MAX_TARGETS);
        RC_ASSERT (max_runs == 0u || call.runs < max_runs);
        action = attempt (&call, steps[i], &budget, i * 50, &out);
        out.finals += action == BD_ACTION_FAIL || action == BD_ACTION_FINISH;
      }
    RC_ASSERT (out.finals == 1u);
    RC_ASSERT (call.state == BD_CALL_DONE);
    RC_ASSERT (out.reached <= (unsigned)BD_CALL_MAX_ATTEMPTS);
    RC_ASSERT (out.attempts <= (unsigned)BD_CALL_MAX_TARGETS);
    if (!is_idempotent)
      RC_ASSERT (out.runs <= 1u);
    if (max_runs > 0)
      RC_ASSERT (out.runs <= max_runs);
    if (action == BD_ACTION_FAIL)
      {
        RC_ASSERT (call.error != BD_OK);
        RC_ASSERT ((call.run == BD_NOT_RUN) == (out.runs == 0));
      }
    else
      RC_ASSERT (call.run == BD_RAN);
  });
}

/* How the two attempts end of a call whose first one of them stalls.  */
struct Stall
{
  Step first;
  Step second;
  bool ends_first; /* The attempt that stalls ends before the other one.  */
};

rc::Gen<Stall>
anyStall ()
{
  return rc::gen::apply (
      [] (const Step &first, const Step &second, bool ends_first) {
        return Stall{ first, second, ends_first };
      },
      anyStep (), anyStep (), rc::gen::arbitrary<bool> ());
}

/* Failures only: what ends a call is covered without stalls.  */
enum bd_failure
stallFailure (const Step &step)
{
  return failure_of (step.result == FINISHES || step.result == NO_TARGET
                         ? static_cast<int> (BREAKS)
                         : step.result);
}

bool
isUnstarted (const Step &step)
{
  enum bd_failure failure = stallFailure (step);

  return failure == BD_FAILURE_NOT_SENT || failure == BD_FAILURE_REFUSED;
}

/* Sends one attempt and returns the runs that it may use.  */
unsigned
sendAttempt (struct bd_call *call, const Step &step, unsigned *attempts)
{
  unsigned granted = grantable (call, step.granted_runs);

  bd_call_sent (call, (*attempts)++);
  bd_call_grant_runs (call, granted);
  return granted;
}

/* Plays an attempt that stalls and the one that is sent beside it.  Adds the
   runs that may have happened to *runs.  */
enum bd_action
playStall (struct bd_call *call, const Stall &stall,
           struct bd_retry_budget *budget, unsigned *attempts, unsigned *runs)
{
  unsigned first_runs = sendAttempt (call, stall.first, attempts);
  unsigned second_runs;
  const Step *last = &stall.second;

  if (!bd_call_can_retry (call, BD_FAILURE_BROKEN, budget, 0))
    {
      *runs += isUnstarted (stall.first) ? 0 : first_runs;
      return bd_call_failed (call, stallFailure (stall.first), budget, 0);
    }
  bd_call_failed (call, BD_FAILURE_BROKEN, budget, 0);
  second_runs = sendAttempt (call, stall.second, attempts);
  *runs += isUnstarted (stall.first) ? 0 : first_runs;
  *runs += isUnstarted (stall.second) ? 0 : second_runs;
  if (stall.ends_first)
    bd_call_stalled_ended (call, stallFailure (stall.first), first_runs);
  else
    {
      bd_call_reverted (call, stallFailure (stall.second), first_runs);
      last = &stall.first;
    }
  return bd_call_failed (call, stallFailure (*last), budget, 0);
}

bool
stalledAttemptsKeepTheRunState ()
{
  return rc::check ("attempts that stall leave an accurate run state", [] {
    bool is_idempotent = *rc::gen::arbitrary<bool> ();
    unsigned max_runs = *rc::gen::inRange (0u, 5u);
    auto stalls = *rc::gen::container<std::vector<Stall> > (
        BD_CALL_MAX_TARGETS, anyStall ());
    struct bd_call call;
    struct bd_retry_budget budget = { 100, 0.2, 100 };
    unsigned attempts = 0;
    unsigned runs = 0;
    enum bd_action action;

    bd_call_init (&call, is_idempotent, false, false, 1000);
    call.max_runs = max_runs;
    action = bd_call_admitted (&call);
    for (size_t i = 0; action == BD_ACTION_DISPATCH; i++)
      {
        RC_ASSERT (i < stalls.size ());
        RC_ASSERT (call.runs == runs);
        RC_ASSERT (call.may_have_run == (runs > 0));
        action = playStall (&call, stalls[i], &budget, &attempts, &runs);
      }
    RC_ASSERT (action == BD_ACTION_FAIL);
    RC_ASSERT ((call.run == BD_NOT_RUN) == (runs == 0));
    if (!is_idempotent)
      RC_ASSERT (runs <= 1u);
    if (max_runs > 0)
      RC_ASSERT (runs <= max_runs);
  });
}

std::string
eventText (unsigned id)
{
  return "id: " + std::to_string (id) + "\ndata: {\"t\":" + std::to_string (id)
         + "}\n\n";
}

/* The stream from event first on, with its end marker.  */
std::string
streamFrom (unsigned first, unsigned count)
{
  std::string text;
  for (unsigned i = first; i < count; i++)
    text += eventText (i);
  return text + "data: [DONE]\n\n";
}

bool
resumedStreamsAreComplete ()
{
  return rc::check ("a resumed stream loses and repeats no event", [] {
    unsigned count = *rc::gen::inRange (0u, 40u);
    auto cut_points = *rc::gen::container<std::vector<unsigned> > (
        BD_CALL_MAX_ATTEMPTS - 1, rc::gen::inRange (0u, 1200u));
    auto chunks = *rc::gen::container<std::vector<unsigned> > (
        20, rc::gen::inRange (1u, 60u));
    void *ctx = talloc_new (nullptr);
    struct bd_sse sse;
    struct bd_call call;
    struct bd_retry_budget budget = { 10, 0.2, 100 };
    std::string delivered;
    bool has_ended = false;
    enum bd_action action;

    bd_sse_init (&sse, ctx);
    bd_call_init (&call, true, false, true, 1000);
    action = bd_call_admitted (&call);
    for (unsigned attempt_index = 0; action == BD_ACTION_DISPATCH;
         attempt_index++)
      {
        std::string text = streamFrom (
            static_cast<unsigned> (call.last_event_id + 1), count);
        if (attempt_index < cut_points.size ())
          text.resize (
              std::min<size_t> (cut_points[attempt_index], text.size ()));
        bd_call_sent (&call, attempt_index);
        bd_sse_reset (&sse);
        for (size_t offset = 0, chunk_index = 0;
             offset < text.size () && !has_ended; chunk_index++)
          {
            size_t size = std::min<size_t> (
                chunks[chunk_index % chunks.size ()], text.size () - offset);
            struct bd_sse_event event;
            RC_ASSERT (bd_sse_feed (&sse, text.data () + offset, size));
            offset += size;
            while (!has_ended && bd_sse_next (&sse, &event))
              {
                if (!bd_call_is_new_event (&call, event.has_id, event.id))
                  continue;
                delivered.append (event.text, event.size);
                bd_call_event (
                    &call, event.has_id || (event.is_end && call.can_resume),
                    event.has_id ? event.id : call.last_event_id);
                has_ended = event.is_end;
              }
          }
        action = has_ended
                     ? bd_call_finished (&call)
                     : bd_call_failed (&call, BD_FAILURE_BROKEN, &budget, 0);
      }
    RC_ASSERT (has_ended);
    RC_ASSERT (delivered == streamFrom (0, count));
    talloc_free (ctx);
  });
}

}

int
main ()
{
  bool has_passed = oneFinalResponse ();

  has_passed = stalledAttemptsKeepTheRunState () && has_passed;
  has_passed = resumedStreamsAreComplete () && has_passed;
  return has_passed ? 0 : 1;
}

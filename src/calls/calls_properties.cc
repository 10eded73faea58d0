/* Properties of a call's life: one final answer, a true run state, at most one
   run of what may not be repeated, and streams without loss or doubling.  */

extern "C"
{
#include "calls/call.h"
#include "calls/sse.h"
}

#include <cstring>
#include <rapidcheck.h>
#include <string>
#include <talloc.h>

namespace
{

/* What happens to one attempt.  */
enum Fate
{
  FINISHES,
  NOT_SENT,
  REFUSED,
  BREAKS,
  CROSSES,
  TIMES_OUT,
  NO_PLACE,
  FATE_COUNT
};

struct Outcome
{
  int finals = 0;
  unsigned runs = 0; /* Attempts that an endpoint may have started.  */
  unsigned attempts = 0;
};

enum bd_failure
failure_of (int fate)
{
  switch (fate)
    {
    case NOT_SENT:
      return BD_FAILURE_NOT_SENT;
    case REFUSED:
      return BD_FAILURE_REFUSED;
    case CROSSES:
      return BD_FAILURE_CROSSED;
    case TIMES_OUT:
      return BD_FAILURE_TIMEOUT;
    default:
      return BD_FAILURE_BROKEN;
    }
}

enum bd_action
attempt (struct bd_call *call, int fate, struct bd_retry_budget *budget,
         int64_t now_ms, Outcome *out)
{
  if (fate == NO_PLACE)
    return bd_call_no_place (call, BD_ERR_NO_ENDPOINT);
  bd_call_sent (call, out->attempts++);
  if (fate != NOT_SENT && fate != REFUSED)
    out->runs++;
  if (fate == FINISHES)
    return bd_call_finished (call);
  return bd_call_failed (call, failure_of (fate), budget, now_ms);
}

bool
oneFinalAnswer ()
{
  return rc::check ("one final answer with a true run state", [] {
    bool can_retry = *rc::gen::arbitrary<bool> ();
    bool has_key = *rc::gen::arbitrary<bool> ();
    double tokens = *rc::gen::inRange (0, 6);
    auto fates = *rc::gen::container<std::vector<int> > (
        8, rc::gen::inRange<int> (0, FATE_COUNT));
    struct bd_call call;
    struct bd_retry_budget budget = { tokens, 0.2, 100 };
    Outcome out;
    enum bd_action action;

    bd_call_init (&call, can_retry, has_key, false, 1000);
    action = bd_call_admitted (&call);
    if (action == BD_ACTION_CLAIM)
      {
        RC_ASSERT (has_key);
        RC_ASSERT (!can_retry);
        action = bd_call_claimed (&call);
      }
    for (int i = 0; action == BD_ACTION_DISPATCH; i++)
      {
        RC_ASSERT (i < 8);
        action = attempt (&call, fates[i], &budget, i * 100, &out);
      }
    RC_ASSERT (call.state == BD_CALL_DONE);
    RC_ASSERT (out.attempts <= (unsigned)BD_CALL_MAX_ATTEMPTS);
    if (!can_retry)
      RC_ASSERT (out.runs <= 1u);
    if (action == BD_ACTION_FAIL)
      {
        RC_ASSERT (call.error != BD_OK);
        RC_ASSERT ((call.run == BD_NOT_RUN) == (out.runs == 0));
      }
    else
      RC_ASSERT (call.run == BD_RAN);
  });
}

std::string
eventText (unsigned id)
{
  return "id: " + std::to_string (id) + "\ndata: {\"t\":" + std::to_string (id)
         + "}\n\n";
}

/* The stream from event first on, with its end mark.  */
std::string
streamFrom (unsigned first, unsigned count)
{
  std::string text;
  for (unsigned i = first; i < count; i++)
    text += eventText (i);
  return text + "data: [DONE]\n\n";
}

bool
streamsAreWhole ()
{
  return rc::check ("a resumed stream loses and doubles nothing", [] {
    unsigned count = *rc::gen::inRange (0u, 40u);
    auto cuts = *rc::gen::container<std::vector<unsigned> > (
        BD_CALL_MAX_ATTEMPTS - 1, rc::gen::inRange (0u, 1200u));
    auto chunks = *rc::gen::container<std::vector<unsigned> > (
        20, rc::gen::inRange (1u, 60u));
    void *ctx = talloc_new (nullptr);
    struct bd_sse sse;
    struct bd_call call;
    struct bd_retry_budget budget = { 10, 0.2, 100 };
    std::string given;
    bool has_ended = false;
    enum bd_action action;

    bd_sse_init (&sse, ctx);
    bd_call_init (&call, true, false, true, 1000);
    action = bd_call_admitted (&call);
    for (unsigned n = 0; action == BD_ACTION_DISPATCH; n++)
      {
        std::string text = streamFrom (
            static_cast<unsigned> (call.last_event_id + 1), count);
        if (n < cuts.size ())
          text.resize (std::min<size_t> (cuts[n], text.size ()));
        bd_call_sent (&call, n);
        bd_sse_reset (&sse);
        for (size_t at = 0, c = 0; at < text.size () && !has_ended; c++)
          {
            size_t size = std::min<size_t> (chunks[c % chunks.size ()],
                                            text.size () - at);
            struct bd_sse_event event;
            RC_ASSERT (bd_sse_feed (&sse, text.data () + at, size));
            at += size;
            while (!has_ended && bd_sse_next (&sse, &event))
              {
                if (!bd_call_is_new_event (&call, event.has_id, event.id))
                  continue;
                given.append (event.text, event.size);
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
    RC_ASSERT (given == streamFrom (0, count));
    talloc_free (ctx);
  });
}

}

int
main ()
{
  bool is_good = oneFinalAnswer ();

  is_good = streamsAreWhole () && is_good;
  return is_good ? 0 : 1;
}

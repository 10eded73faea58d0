/* Tests of the call state machine, the retry budget and the event parser.  */

#include "tests/unit.h"

#include "calls/call.h"
#include "calls/sse.h"

#include <string.h>
#include <talloc.h>

static struct bd_retry_budget full_budget
    = { .tokens = 50, .ratio = 0.2, .burst = 100 };

static void
start (struct bd_call *call, bool is_idempotent, bool is_stream)
{
  bd_call_init (call, is_idempotent, false, is_stream, 1000);
  CU_ASSERT_EQUAL (bd_call_admitted (call), BD_ACTION_DISPATCH);
}

static void
test_unsent_call_is_retried (void)
{
  struct bd_call call;

  start (&call, false, false);
  bd_call_sent (&call, 1);
  CU_ASSERT_EQUAL (
      bd_call_failed (&call, BD_FAILURE_NOT_SENT, &full_budget, 0),
      BD_ACTION_DISPATCH);
  CU_ASSERT_TRUE (bd_call_was_tried (&call, 1));
  CU_ASSERT_FALSE (bd_call_was_tried (&call, 2));
  bd_call_sent (&call, 2);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &full_budget, 0),
                   BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.run, BD_RUN_UNKNOWN);
  CU_ASSERT_EQUAL (call.error, BD_ERR_ENDPOINT_FAILED);
}

static void
test_stream_without_ids_is_not_resumed (void)
{
  struct bd_call call;

  start (&call, true, true);
  bd_call_sent (&call, 1);
  bd_call_event (&call, false, 0);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &full_budget, 0),
                   BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.error, BD_ERR_STREAM_BROKEN);
}

static void
test_runs_at_other_daemons_exceed_the_maximum (void)
{
  struct bd_retry_budget budget = full_budget;
  struct bd_call call;

  start (&call, true, false);
  call.max_runs = 3;
  bd_call_sent (&call, 1);
  bd_call_grant_runs (&call, 2);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_REFUSED, &budget, 0),
                   BD_ACTION_DISPATCH);
  CU_ASSERT_EQUAL (call.runs, 0);
  bd_call_sent (&call, 2);
  bd_call_grant_runs (&call, 2);
  CU_ASSERT_EQUAL (
      bd_call_failed (&call, BD_FAILURE_ERROR_RESPONSE, &budget, 0),
      BD_ACTION_DISPATCH);
  CU_ASSERT_EQUAL (call.runs, 2);
  bd_call_sent (&call, 3);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &budget, 0),
                   BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.runs, 3);
}

/* The first attempt, which counts as failed, goes on.  */
static void
test_reverted_attempts_use_up_the_runs (void)
{
  struct bd_retry_budget budget = full_budget;
  struct bd_call call;

  start (&call, true, false);
  call.max_runs = 2;
  bd_call_sent (&call, 1);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &budget, 0),
                   BD_ACTION_DISPATCH);
  bd_call_sent (&call, 2);
  bd_call_reverted (&call, BD_FAILURE_REFUSED, 1);
  CU_ASSERT_EQUAL (call.runs, 0);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &budget, 0),
                   BD_ACTION_DISPATCH);
  bd_call_sent (&call, 3);
  bd_call_reverted (&call, BD_FAILURE_ERROR_RESPONSE, 1);
  CU_ASSERT_EQUAL (call.runs, 1);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &budget, 0),
                   BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.runs, 2);
}

/* The first attempt goes on when the second one has failed, and reaches nobody
   in the end.  */
static void
check_run_of_refused_call (enum bd_failure second, enum bd_run_state expected)
{
  struct bd_retry_budget budget = full_budget;
  struct bd_call call;

  start (&call, true, false);
  bd_call_sent (&call, 1);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &budget, 0),
                   BD_ACTION_DISPATCH);
  bd_call_sent (&call, 2);
  bd_call_reverted (&call, second, 1);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_NOT_SENT, &budget, 0),
                   BD_ACTION_DISPATCH);
  CU_ASSERT_EQUAL (bd_call_refused (&call, BD_ERR_OVERLOADED), BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.run, expected);
}

static void
test_refused_call_is_taken_for_run (void)
{
  check_run_of_refused_call (BD_FAILURE_NOT_SENT, BD_NOT_RUN);
}

static void
test_broken_call_is_taken_for_not_run (void)
{
  check_run_of_refused_call (BD_FAILURE_BROKEN, BD_RUN_UNKNOWN);
}

/* The first attempt ends while the second one goes on, which is then refused.
 */
static void
check_run_of_stalled_call (enum bd_failure first, uint32_t runs,
                           enum bd_run_state expected)
{
  struct bd_retry_budget budget = full_budget;
  struct bd_call call;

  start (&call, true, false);
  bd_call_sent (&call, 1);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &budget, 0),
                   BD_ACTION_DISPATCH);
  bd_call_sent (&call, 2);
  bd_call_stalled_ended (&call, first, 1);
  CU_ASSERT_EQUAL (call.runs, runs);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_REFUSED, &budget, 0),
                   BD_ACTION_DISPATCH);
  CU_ASSERT_EQUAL (bd_call_refused (&call, BD_ERR_OVERLOADED), BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.run, expected);
}

static void
test_late_refusal_is_taken_for_run (void)
{
  check_run_of_stalled_call (BD_FAILURE_REFUSED, 0, BD_NOT_RUN);
  check_run_of_stalled_call (BD_FAILURE_NOT_SENT, 0, BD_NOT_RUN);
}

static void
test_late_failure_is_taken_for_not_run (void)
{
  check_run_of_stalled_call (BD_FAILURE_BROKEN, 1, BD_RUN_UNKNOWN);
}

/* Only the deadline and the targets bound attempts that reach nobody.  */
static void
test_unsent_attempts_use_up_the_tries (void)
{
  struct bd_retry_budget empty = { .tokens = 0, .ratio = 0, .burst = 1 };
  struct bd_call call;
  uint64_t target = 0;

  start (&call, false, false);
  call.max_runs = 1;
  for (; target < BD_CALL_MAX_TARGETS - 1; target++)
    {
      bd_call_sent (&call, target);
      CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_NOT_SENT, &empty, 0),
                       BD_ACTION_DISPATCH);
      CU_ASSERT_TRUE (bd_call_was_tried (&call, target));
    }
  bd_call_sent (&call, target);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_NOT_SENT, &empty, 0),
                   BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.run, BD_NOT_RUN);
}

static void
test_tries_beside_unsent_attempts (void)
{
  struct bd_retry_budget budget = full_budget;
  struct bd_call call;

  start (&call, true, false);
  for (uint64_t target = 0; target < BD_CALL_MAX_ATTEMPTS; target++)
    {
      bd_call_sent (&call, 2 * target);
      CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_NOT_SENT, &budget, 0),
                       BD_ACTION_DISPATCH);
      bd_call_sent (&call, 2 * target + 1);
      CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_REFUSED, &budget, 0),
                       target < BD_CALL_MAX_ATTEMPTS - 1 ? BD_ACTION_DISPATCH
                                                         : BD_ACTION_FAIL);
    }
}

static void
test_retry_budget (void)
{
  struct bd_retry_budget budget = { .tokens = 0, .ratio = 0.2, .burst = 100 };

  CU_ASSERT_FALSE (bd_retry_budget_take (&budget));
  for (int i = 0; i < 6; i++)
    bd_retry_budget_deposit (&budget);
  CU_ASSERT_TRUE (bd_retry_budget_take (&budget));
  CU_ASSERT_FALSE (bd_retry_budget_take (&budget));
  /* A daemon that has just started can retry all calls of a lost replica.  */
  bd_retry_budget_init (&budget);
  for (int i = 0; i < 100; i++)
    CU_ASSERT_TRUE (bd_retry_budget_take (&budget));
  CU_ASSERT_FALSE (bd_retry_budget_take (&budget));
}

static void
test_deadline (void)
{
  struct bd_call call;

  start (&call, true, false);
  bd_call_sent (&call, 1);
  CU_ASSERT_EQUAL (
      bd_call_failed (&call, BD_FAILURE_REFUSED, &full_budget, 1000),
      BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.error, BD_ERR_DEADLINE_PASSED);
  CU_ASSERT_EQUAL (call.run, BD_NOT_RUN);
  bd_call_init (&call, true, false, false, 1000);
  CU_ASSERT_EQUAL (bd_call_expired (&call), BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.run, BD_NOT_RUN);
}

static void
test_key_already_ran (void)
{
  struct bd_call call;

  bd_call_init (&call, false, true, false, 1000);
  CU_ASSERT_EQUAL (bd_call_admitted (&call), BD_ACTION_CLAIM);
  CU_ASSERT_EQUAL (bd_call_already_ran (&call), BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.error, BD_ERR_OUTCOME_NOT_KEPT);
  CU_ASSERT_EQUAL (call.run, BD_RAN);
}

/* An event with other lines than fields is none: its endpoint has written an
   error into the stream.  */
static void
test_malformed_event_is_taken_as_event (void)
{
  static const struct
  {
    const char *text;
    bool is_malformed;
    bool is_comment;
  } cases[]
      = { { "id: 1\ndata: x\n\n", false, false },
          { "id: 1\nweight-versions: 3\ndata\ndata:\n\n", false, false },
          { ": keep-alive\n\n", false, true },
          { ":\nid: 1\n\n", false, false },
          { "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\noops\n\n",
            true, false },
          { "id: 1\ndata: xHTTP/1.1 500 Error\r\n\r\noops\n\n", true, false },
          { "oops\nid: 1\ndata: x\n\n", true, false },
          { "{\"kind\":\"failed\"}\n\n", true, false },
          { "id: 1\ndatHTTP/1.1 500: x\n\n", true, false } };
  void *ctx = talloc_new (NULL);
  struct bd_sse sse;
  struct bd_sse_event event;

  bd_sse_init (&sse, ctx);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      CU_ASSERT_TRUE (
          bd_sse_feed (&sse, cases[i].text, strlen (cases[i].text)));
      CU_ASSERT_TRUE (bd_sse_next (&sse, &event));
      CU_ASSERT_EQUAL (event.is_malformed, cases[i].is_malformed);
      CU_ASSERT_EQUAL (event.is_comment, cases[i].is_comment);
      CU_ASSERT_FALSE (bd_sse_next (&sse, &event));
    }
  talloc_free (ctx);
}

static void
test_events (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_sse sse;
  struct bd_sse_event event;

  bd_sse_init (&sse, ctx);
  CU_ASSERT_TRUE (bd_sse_feed (&sse, "id: 4\nda", 8));
  CU_ASSERT_FALSE (bd_sse_next (&sse, &event));
  CU_ASSERT_TRUE (bd_sse_feed (&sse, "ta: x\n\ndata: [DONE]\n\n", 21));
  CU_ASSERT_TRUE (bd_sse_next (&sse, &event));
  CU_ASSERT_TRUE (event.has_id);
  CU_ASSERT_EQUAL (event.id, 4);
  CU_ASSERT_FALSE (event.is_end);
  CU_ASSERT_TRUE (bd_sse_next (&sse, &event));
  CU_ASSERT_TRUE (event.is_end);
  CU_ASSERT_FALSE (bd_sse_next (&sse, &event));
  talloc_free (ctx);
}

/* Events whose lines end with CR LF, received byte by byte.  */
static void
test_events_with_cr_lf_are_not_found (void)
{
  static const char text[] = "id: 4\r\ndata: x\r\n\r\ndata: [DONE]\r\n\r\n";
  void *ctx = talloc_new (NULL);
  struct bd_sse sse;
  struct bd_sse_event event;
  uint32_t count = 0;

  bd_sse_init (&sse, ctx);
  for (size_t i = 0; i < sizeof text - 1; i++)
    {
      CU_ASSERT_TRUE (bd_sse_feed (&sse, text + i, 1));
      if (!bd_sse_next (&sse, &event))
        continue;
      CU_ASSERT_FALSE (event.is_malformed);
      CU_ASSERT_FALSE (event.is_comment);
      CU_ASSERT_EQUAL (event.has_id, count == 0);
      CU_ASSERT_EQUAL (event.is_end, count == 1);
      CU_ASSERT_EQUAL (event.size, count == 0 ? 18 : 16);
      count++;
    }
  CU_ASSERT_EQUAL (count, 2);
  /* The next stream can have other line ends.  */
  bd_sse_reset (&sse);
  CU_ASSERT_TRUE (bd_sse_feed (&sse, "id: 5\n\n", 7));
  CU_ASSERT_TRUE (bd_sse_next (&sse, &event));
  CU_ASSERT_EQUAL (event.id, 5);
  CU_ASSERT_FALSE (event.is_malformed);
  talloc_free (ctx);
}

/* Line ends change within a stream: something else has been written into it.
 */
static void
test_mixed_line_ends_are_taken_as_event (void)
{
  static const char *const texts[]
      = { "id: 1\n\nid: 2\r\ndata: x\n\n",
          "id: 1\r\n\r\nid: 2\ndata: x\r\n\r\n",
          "id: 1\n\ndata: xHTTP/1.1 500 Error\r\n\r\noops\n\n",
          "id: 1\r\n\r\nid: 2\rdata: x\r\n\r\n" };
  void *ctx = talloc_new (NULL);
  struct bd_sse sse;
  struct bd_sse_event event;

  bd_sse_init (&sse, ctx);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      bd_sse_reset (&sse);
      CU_ASSERT_TRUE (bd_sse_feed (&sse, texts[i], strlen (texts[i])));
      CU_ASSERT_TRUE (bd_sse_next (&sse, &event));
      CU_ASSERT_FALSE (event.is_malformed);
      CU_ASSERT_TRUE (bd_sse_next (&sse, &event));
      CU_ASSERT_TRUE (event.is_malformed);
      CU_ASSERT_FALSE (bd_sse_next (&sse, &event));
    }
  talloc_free (ctx);
}

static void
test_overlong_event_is_rejected (void)
{
  void *ctx = talloc_new (NULL);
  char *chunk = talloc_zero_size (ctx, 100000);
  struct bd_sse sse;
  bool is_accepted = true;

  memset (chunk, 'x', 100000);
  bd_sse_init (&sse, ctx);
  for (int i = 0; i < 11 && is_accepted; i++)
    is_accepted = bd_sse_feed (&sse, chunk, 100000);
  CU_ASSERT_FALSE (is_accepted);
  talloc_free (ctx);
}

/* The number of an id is looked for behind the end of its line.  */
static void
test_empty_id_reads_behind_its_line (void)
{
  static const char text[] = "id: \n\n";
  void *ctx = talloc_new (NULL);
  struct bd_sse sse;
  struct bd_sse_event event;

  bd_sse_init (&sse, ctx);
  CU_ASSERT_TRUE (bd_sse_feed (&sse, "id: \n\n17\n", 9));
  CU_ASSERT_TRUE (bd_sse_next (&sse, &event));
  CU_ASSERT_EQUAL (event.id, 0);
  /* Fills the buffer.  */
  bd_sse_reset (&sse);
  CU_ASSERT_TRUE (bd_sse_feed (&sse, text, 3));
  CU_ASSERT_TRUE (bd_sse_feed (&sse, text + 3, 3));
  CU_ASSERT_EQUAL (sse.capacity, sse.used);
  CU_ASSERT_TRUE (bd_sse_next (&sse, &event));
  CU_ASSERT_EQUAL (event.id, 0);
  talloc_free (ctx);
}

static const struct unit_test tests[] = {
  { "an unsent call is retried", test_unsent_call_is_retried },
  { "a stream without ids is not resumed",
    test_stream_without_ids_is_not_resumed },
  { "runs at other daemons exceed the maximum",
    test_runs_at_other_daemons_exceed_the_maximum },
  { "reverted attempts use up the runs",
    test_reverted_attempts_use_up_the_runs },
  { "refused call is taken for run", test_refused_call_is_taken_for_run },
  { "broken call is taken for not run",
    test_broken_call_is_taken_for_not_run },
  { "late refusal is taken for run", test_late_refusal_is_taken_for_run },
  { "late failure is taken for not run",
    test_late_failure_is_taken_for_not_run },
  { "unsent attempts use up the tries",
    test_unsent_attempts_use_up_the_tries },
  { "tries beside unsent attempts", test_tries_beside_unsent_attempts },
  { "retry budget", test_retry_budget },
  { "deadline", test_deadline },
  { "a key that already ran", test_key_already_ran },
  { "events", test_events },
  { "malformed event is taken as event",
    test_malformed_event_is_taken_as_event },
  { "events with CR LF are not found", test_events_with_cr_lf_are_not_found },
  { "mixed line ends are taken as event",
    test_mixed_line_ends_are_taken_as_event },
  { "an empty id reads behind its line", test_empty_id_reads_behind_its_line },
  { "an overlong event", test_overlong_event_is_rejected },
};

int
main (void)
{
  return UNIT_RUN ("calls", tests);
}

/* Tests of the calls slice.  */

#include "tests/unit.h"

#include "calls/call.h"
#include "calls/sse.h"

#include <string.h>
#include <talloc.h>

static struct bd_retry_budget rich
    = { .tokens = 50, .share = 0.2, .most = 100 };

static void
start (struct bd_call *call, bool can_retry, bool is_stream)
{
  bd_call_init (call, can_retry, false, is_stream, 1000);
  CU_ASSERT_EQUAL (bd_call_admitted (call), BD_ACTION_DISPATCH);
}

static void
test_unsent_booking_may_go_elsewhere (void)
{
  struct bd_call call;

  start (&call, false, false);
  bd_call_sent (&call, 1);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_NOT_SENT, &rich, 0),
                   BD_ACTION_DISPATCH);
  CU_ASSERT_TRUE (bd_call_was_tried (&call, 1));
  CU_ASSERT_FALSE (bd_call_was_tried (&call, 2));
  bd_call_sent (&call, 2);
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &rich, 0),
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
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_BROKEN, &rich, 0),
                   BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.error, BD_ERR_STREAM_BROKEN);
}

static void
test_retry_budget (void)
{
  struct bd_retry_budget budget = { .tokens = 0, .share = 0.2, .most = 100 };

  CU_ASSERT_FALSE (bd_retry_budget_take (&budget));
  for (int i = 0; i < 6; i++)
    bd_retry_budget_fresh (&budget);
  CU_ASSERT_TRUE (bd_retry_budget_take (&budget));
  CU_ASSERT_FALSE (bd_retry_budget_take (&budget));
  /* A daemon that has just started can retry the calls of a replica.  */
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
  CU_ASSERT_EQUAL (bd_call_failed (&call, BD_FAILURE_REFUSED, &rich, 1000),
                   BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.error, BD_ERR_DEADLINE_PASSED);
  CU_ASSERT_EQUAL (call.run, BD_NOT_RUN);
  bd_call_init (&call, true, false, false, 1000);
  CU_ASSERT_EQUAL (bd_call_expired (&call), BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.run, BD_NOT_RUN);
}

static void
test_key_that_ran (void)
{
  struct bd_call call;

  bd_call_init (&call, false, true, false, 1000);
  CU_ASSERT_EQUAL (bd_call_admitted (&call), BD_ACTION_CLAIM);
  CU_ASSERT_EQUAL (bd_call_ran_before (&call), BD_ACTION_FAIL);
  CU_ASSERT_EQUAL (call.error, BD_ERR_OUTCOME_NOT_KEPT);
  CU_ASSERT_EQUAL (call.run, BD_RAN);
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

static void
test_endless_event_is_refused (void)
{
  void *ctx = talloc_new (NULL);
  char *part = talloc_zero_size (ctx, 100000);
  struct bd_sse sse;
  bool is_taken = true;

  memset (part, 'x', 100000);
  bd_sse_init (&sse, ctx);
  for (int i = 0; i < 11 && is_taken; i++)
    is_taken = bd_sse_feed (&sse, part, 100000);
  CU_ASSERT_FALSE (is_taken);
  talloc_free (ctx);
}

static const struct unit_test tests[] = {
  { "an unsent booking", test_unsent_booking_may_go_elsewhere },
  { "a stream without ids", test_stream_without_ids_is_not_resumed },
  { "retry budget", test_retry_budget },
  { "deadline", test_deadline },
  { "a key that ran", test_key_that_ran },
  { "events", test_events },
  { "an endless event", test_endless_event_is_refused },
};

int
main (void)
{
  return UNIT_RUN ("calls", tests);
}

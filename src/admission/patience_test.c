/* Tests of how long callers wait.  */

#include "admission/patience.h"
#include "tests/unit.h"

static void
test_stream_caller_is_not_taken_to_wait_until_its_deadline (void)
{
  CU_ASSERT_EQUAL (bd_patience_end_ms (1000, 2000, 7000), 3000);
  CU_ASSERT_EQUAL (bd_patience_end_ms (1000, 2000, 2500), 2500);
  CU_ASSERT_EQUAL (bd_patience_end_ms (1000, 0, 7000), 7000);
}

static void
test_request_waits_until_no_response_can_come_in_time (void)
{
  CU_ASSERT_EQUAL (bd_patience_left_ms (3000, 300, 1000), 1700);
  CU_ASSERT_EQUAL (bd_patience_left_ms (3000, 300, 2700), 0);
  CU_ASSERT_EQUAL (bd_patience_left_ms (3000, 300, 2900), 0);
}

static void
test_caller_that_leaves_after_its_gap_is_told_apart (void)
{
  CU_ASSERT_TRUE (bd_patience_has_ended (1000, 2000, 3000));
  CU_ASSERT_TRUE (bd_patience_has_ended (1000, 2000, 2990));
  CU_ASSERT_FALSE (bd_patience_has_ended (1000, 2000, 2500));
  CU_ASSERT_FALSE (bd_patience_has_ended (1000, 0, 9000));
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "stream caller is not taken to wait until its deadline",
            test_stream_caller_is_not_taken_to_wait_until_its_deadline },
          { "request waits until no response can come in time",
            test_request_waits_until_no_response_can_come_in_time },
          { "caller that leaves after its gap is told apart",
            test_caller_that_leaves_after_its_gap_is_told_apart } };

  return UNIT_RUN ("patience", tests);
}

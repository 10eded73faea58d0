/* Unit tests of the poison module.  */

#include "tests/unit.h"

#include "poison/poison.h"

/* A crash of the target while a request ran on it that has just been sent.  */
static bool
record (struct bd_poison_table *table, uint64_t request, uint64_t target,
        int64_t now_ms)
{
  struct bd_poison_evidence evidence
      = { .subject = bd_poison_subject (BD_POISON_REQUEST, request),
          .target = target,
          .request = bd_poison_subject (BD_POISON_REQUEST, request) };

  return bd_poison_add (table, &evidence, 1, now_ms);
}

static enum bd_poison_decision
decide (const struct bd_poison_table *table, uint64_t request, int64_t now_ms)
{
  uint64_t subject = bd_poison_subject (BD_POISON_REQUEST, request);

  return bd_poison_decide (table, &subject, 1, now_ms);
}

static bool
complete (struct bd_poison_table *table, uint64_t request, int64_t now_ms)
{
  uint64_t subject = bd_poison_subject (BD_POISON_REQUEST, request);
  struct bd_poison_evidence cleared[BD_POISON_MAX_EVIDENCE];

  return bd_poison_complete (table, &subject, 1, now_ms, cleared,
                             BD_POISON_MAX_EVIDENCE)
         > 0;
}

static int64_t
remaining_ms (const struct bd_poison_table *table, uint64_t request,
              int64_t now_ms)
{
  uint64_t subject = bd_poison_subject (BD_POISON_REQUEST, request);

  return bd_poison_remaining_ms (table, &subject, 1, now_ms);
}

static void
test_two_crashes_refuse (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 1000);
  CU_ASSERT_EQUAL (decide (&table, 7, 0), BD_POISON_ALLOW);
  CU_ASSERT_TRUE (record (&table, 7, 1, 0));
  CU_ASSERT_EQUAL (decide (&table, 7, 0), BD_POISON_ISOLATE);
  /* The same crash, reported by another daemon as well, counts once.  */
  CU_ASSERT_FALSE (record (&table, 7, 1, 0));
  CU_ASSERT_EQUAL (decide (&table, 7, 0), BD_POISON_ISOLATE);
  CU_ASSERT_TRUE (record (&table, 7, 2, 100));
  CU_ASSERT_EQUAL (decide (&table, 7, 100), BD_POISON_REFUSE);
  CU_ASSERT_EQUAL (remaining_ms (&table, 7, 100), 1000);
  CU_ASSERT_EQUAL (decide (&table, 7, 1100), BD_POISON_ALLOW);
  bd_poison_finish (&table);
}

static void
test_finished_request_is_cleared (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 1000);
  record (&table, 7, 1, 0);
  record (&table, 8, 1, 0);
  CU_ASSERT_TRUE (complete (&table, 7, 0));
  CU_ASSERT_FALSE (complete (&table, 7, 0));
  CU_ASSERT_EQUAL (decide (&table, 7, 0), BD_POISON_ALLOW);
  CU_ASSERT_EQUAL (decide (&table, 8, 0), BD_POISON_ISOLATE);
  bd_poison_finish (&table);
}

static void
test_withdrawn_crash_clears_requests (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 1000);
  record (&table, 7, 1, 0);
  record (&table, 7, 2, 0);
  record (&table, 8, 1, 0);
  bd_poison_withdraw_crash (&table, 1);
  CU_ASSERT_EQUAL (decide (&table, 7, 0), BD_POISON_ISOLATE);
  CU_ASSERT_EQUAL (decide (&table, 8, 0), BD_POISON_ALLOW);
  bd_poison_finish (&table);
}

static void
test_table_is_bounded (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 1000);
  for (uint64_t i = 0; i < 20000; i++)
    record (&table, i, 1, 0);
  CU_ASSERT_TRUE (g_hash_table_size (table.entries) <= 10000);
  /* Expired entries free their slots.  */
  CU_ASSERT_TRUE (record (&table, 99999, 1, 2000));
  bd_poison_finish (&table);
}

static const struct unit_test tests[] = {
  { "two crashes refuse a request", test_two_crashes_refuse },
  { "a finished request is cleared", test_finished_request_is_cleared },
  { "a withdrawn crash clears requests",
    test_withdrawn_crash_clears_requests },
  { "bounds", test_table_is_bounded },
};

int
main (void)
{
  return UNIT_RUN ("suspects", tests);
}

/* Unit tests of the poison module.  */

#include "tests/unit.h"

#include "poison/poison.h"

static void
test_two_crashes_refuse (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 1000);
  CU_ASSERT_EQUAL (bd_poison_decide (&table, 7, 0), BD_POISON_ALLOW);
  CU_ASSERT_TRUE (bd_poison_record_crash (&table, 7, 1, 0));
  CU_ASSERT_EQUAL (bd_poison_decide (&table, 7, 0), BD_POISON_ISOLATE);
  /* The same crash, reported by another daemon as well, counts once.  */
  CU_ASSERT_FALSE (bd_poison_record_crash (&table, 7, 1, 0));
  CU_ASSERT_EQUAL (bd_poison_decide (&table, 7, 0), BD_POISON_ISOLATE);
  CU_ASSERT_TRUE (bd_poison_record_crash (&table, 7, 2, 100));
  CU_ASSERT_EQUAL (bd_poison_decide (&table, 7, 100), BD_POISON_REFUSE);
  CU_ASSERT_EQUAL (bd_poison_remaining_ms (&table, 7, 100), 1000);
  CU_ASSERT_EQUAL (bd_poison_decide (&table, 7, 1100), BD_POISON_ALLOW);
  bd_poison_finish (&table);
}

static void
test_finished_request_is_cleared (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 1000);
  bd_poison_record_crash (&table, 7, 1, 0);
  bd_poison_record_crash (&table, 8, 1, 0);
  CU_ASSERT_TRUE (bd_poison_clear (&table, 7));
  CU_ASSERT_FALSE (bd_poison_clear (&table, 7));
  CU_ASSERT_EQUAL (bd_poison_decide (&table, 7, 0), BD_POISON_ALLOW);
  CU_ASSERT_EQUAL (bd_poison_decide (&table, 8, 0), BD_POISON_ISOLATE);
  bd_poison_finish (&table);
}

static void
test_withdrawn_crash_clears_requests (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 1000);
  bd_poison_record_crash (&table, 7, 1, 0);
  bd_poison_record_crash (&table, 7, 2, 0);
  bd_poison_record_crash (&table, 8, 1, 0);
  bd_poison_withdraw_crash (&table, 1);
  CU_ASSERT_EQUAL (bd_poison_decide (&table, 7, 0), BD_POISON_ISOLATE);
  CU_ASSERT_EQUAL (bd_poison_decide (&table, 8, 0), BD_POISON_ALLOW);
  bd_poison_finish (&table);
}

static void
test_table_is_bounded (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 1000);
  for (uint64_t i = 0; i < 20000; i++)
    bd_poison_record_crash (&table, i, 1, 0);
  CU_ASSERT_TRUE (g_hash_table_size (table.entries) <= 10000);
  /* Expired entries free their slots.  */
  CU_ASSERT_TRUE (bd_poison_record_crash (&table, 99999, 1, 2000));
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

/* Tests of the suspects slice.  */

#include "tests/unit.h"

#include "suspects/suspects.h"

static void
test_two_deaths_refuse (void)
{
  struct bd_suspects s;

  bd_suspects_init (&s, 1000);
  CU_ASSERT_EQUAL (bd_suspects_judge (&s, 7, 0), BD_VERDICT_CLEAR);
  CU_ASSERT_TRUE (bd_suspects_mark (&s, 7, 1, 0));
  CU_ASSERT_EQUAL (bd_suspects_judge (&s, 7, 0), BD_VERDICT_APART);
  /* The same death, told by another daemon, counts once.  */
  CU_ASSERT_FALSE (bd_suspects_mark (&s, 7, 1, 0));
  CU_ASSERT_EQUAL (bd_suspects_judge (&s, 7, 0), BD_VERDICT_APART);
  CU_ASSERT_TRUE (bd_suspects_mark (&s, 7, 2, 100));
  CU_ASSERT_EQUAL (bd_suspects_judge (&s, 7, 100), BD_VERDICT_REFUSE);
  CU_ASSERT_EQUAL (bd_suspects_wait_ms (&s, 7, 100), 1000);
  CU_ASSERT_EQUAL (bd_suspects_judge (&s, 7, 1100), BD_VERDICT_CLEAR);
  bd_suspects_finish (&s);
}

static void
test_innocent_is_cleared (void)
{
  struct bd_suspects s;

  bd_suspects_init (&s, 1000);
  bd_suspects_mark (&s, 7, 1, 0);
  bd_suspects_mark (&s, 8, 1, 0);
  CU_ASSERT_TRUE (bd_suspects_clear (&s, 7));
  CU_ASSERT_FALSE (bd_suspects_clear (&s, 7));
  CU_ASSERT_EQUAL (bd_suspects_judge (&s, 7, 0), BD_VERDICT_CLEAR);
  CU_ASSERT_EQUAL (bd_suspects_judge (&s, 8, 0), BD_VERDICT_APART);
  bd_suspects_finish (&s);
}

static void
test_place_that_lives_acquits (void)
{
  struct bd_suspects s;

  bd_suspects_init (&s, 1000);
  bd_suspects_mark (&s, 7, 1, 0);
  bd_suspects_mark (&s, 7, 2, 0);
  bd_suspects_mark (&s, 8, 1, 0);
  bd_suspects_acquit (&s, 1);
  CU_ASSERT_EQUAL (bd_suspects_judge (&s, 7, 0), BD_VERDICT_APART);
  CU_ASSERT_EQUAL (bd_suspects_judge (&s, 8, 0), BD_VERDICT_CLEAR);
  bd_suspects_finish (&s);
}

static void
test_table_is_bounded (void)
{
  struct bd_suspects s;

  bd_suspects_init (&s, 1000);
  for (uint64_t i = 0; i < 20000; i++)
    bd_suspects_mark (&s, i, 1, 0);
  CU_ASSERT_TRUE (g_hash_table_size (s.table) <= 10000);
  /* Room comes back as suspicions end.  */
  CU_ASSERT_TRUE (bd_suspects_mark (&s, 99999, 1, 2000));
  bd_suspects_finish (&s);
}

static const struct unit_test tests[] = {
  { "two deaths", test_two_deaths_refuse },
  { "the innocent", test_innocent_is_cleared },
  { "acquittal", test_place_that_lives_acquits },
  { "bounds", test_table_is_bounded },
};

int
main (void)
{
  return UNIT_RUN ("suspects", tests);
}

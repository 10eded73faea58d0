/* Unit tests of the poison module.  */

#include "tests/unit.h"

#include "poison/poison.h"

#include <time.h>

enum
{
  /* Longest time of the event loop for one list.  A daemon whose loop is later
     counts as stalled (MAX_LOOP_LAG_MS in edge/watchdog.c).  */
  MAX_APPLY_MS = 50,
  CRASHES_OF_PART = 3,
  RUN_MS = 10
};

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

/* The end of the runs at target 2 is known before the order that explains it,
   that at target 3 after it.  */
static void
test_ends_by_order_are_no_evidence (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  record (&table, 7, 1, 0);
  record (&table, 7, 2, 3000);
  CU_ASSERT_EQUAL (decide (&table, 7, 3000), BD_POISON_REFUSE);
  CU_ASSERT_TRUE (bd_poison_dismiss (&table, 2, 2500, 3500));
  CU_ASSERT_FALSE (bd_poison_dismiss (&table, 2, 2500, 3500));
  CU_ASSERT_EQUAL (decide (&table, 7, 3500), BD_POISON_ISOLATE);
  CU_ASSERT_TRUE (bd_poison_dismiss (&table, 3, 2500, 3500));
  record (&table, 7, 3, 3600);
  CU_ASSERT_EQUAL (decide (&table, 7, 3600), BD_POISON_ISOLATE);
  record (&table, 7, 4, 3700);
  CU_ASSERT_EQUAL (decide (&table, 7, 3700), BD_POISON_REFUSE);
  bd_poison_finish (&table);
}

static void
test_crash_long_before_order_is_evidence (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  record (&table, 7, 1, 0);
  record (&table, 7, 2, 1000);
  CU_ASSERT_TRUE (bd_poison_dismiss (&table, 2, 2500, 3500));
  CU_ASSERT_EQUAL (decide (&table, 7, 3500), BD_POISON_REFUSE);
  bd_poison_finish (&table);
}

static void
test_dismissals_are_bounded (void)
{
  struct bd_poison_table table;

  bd_poison_init (&table, 1000);
  for (uint64_t i = 0; i < 20000; i++)
    bd_poison_dismiss (&table, i, 0, 0);
  CU_ASSERT_TRUE (g_hash_table_size (table.dismissed[0])
                      + g_hash_table_size (table.dismissed[1])
                  <= 8192);
  CU_ASSERT_TRUE (bd_poison_is_dismissed (&table, 19999, 0));
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

/* A crash of the target while a request with these parts ran on it for 10 ms.
 */
static void
record_parts (struct bd_poison_table *table, uint64_t request,
              const uint64_t *parts, uint32_t count, uint64_t target,
              int64_t now_ms)
{
  struct bd_poison_evidence items[BD_POISON_MAX_SUBJECTS];

  for (uint32_t i = 0; i < count; i++)
    items[i] = (struct bd_poison_evidence){
      .subject = bd_poison_subject (BD_POISON_PART, parts[i]),
      .target = target,
      .request = bd_poison_subject (BD_POISON_REQUEST, request),
      .sent_age_ms = 10,
    };
  bd_poison_add (table, items, count, now_ms);
}

static bool
is_part_refused (const struct bd_poison_table *table, uint64_t part,
                 int64_t now_ms)
{
  uint64_t subject = bd_poison_subject (BD_POISON_PART, part);

  return bd_poison_blocked (table, &subject, 1, now_ms) != 0;
}

static void
complete_part (struct bd_poison_table *table, uint64_t part, int64_t now_ms)
{
  uint64_t subject = bd_poison_subject (BD_POISON_PART, part);

  bd_poison_complete (table, &subject, 1, now_ms, NULL, 0);
}

/* The bystander, with its own part, runs beside each request with the bad
   one.  */
static void
test_part_explains_bystander (void)
{
  static const uint64_t bad[] = { 1, 2 };
  static const uint64_t bystander[] = { 1, 3 };
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  for (uint32_t i = 0; i < 3; i++)
    {
      record_parts (&table, 100 + i, bad, 2, i, 100 * i);
      complete_part (&table, 1, 100 * i + 1);
    }
  CU_ASSERT_TRUE (is_part_refused (&table, 2, 300));
  for (uint32_t i = 0; i < 3; i++)
    record_parts (&table, 200, bystander, 2, i, 300);
  CU_ASSERT_FALSE (is_part_refused (&table, 1, 300));
  CU_ASSERT_FALSE (is_part_refused (&table, 3, 300));
  bd_poison_finish (&table);
}

/* A request that crashes endpoints itself blocks none of its parts.  */
static void
test_one_request_blocks_no_part (void)
{
  static const uint64_t parts[] = { 1, 2 };
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  for (uint32_t i = 0; i < 10; i++)
    record_parts (&table, 100, parts, 2, i, 100 * i);
  CU_ASSERT_FALSE (is_part_refused (&table, 1, 1000));
  CU_ASSERT_FALSE (is_part_refused (&table, 2, 1000));
  bd_poison_finish (&table);
}

/* Two parts are in each crashed request.  */
static void
test_ties_are_blocked_together (void)
{
  static const uint64_t parts[] = { 1, 2 };
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  for (uint32_t i = 0; i < 5; i++)
    {
      CU_ASSERT_FALSE (is_part_refused (&table, 1, 100 * i));
      CU_ASSERT_FALSE (is_part_refused (&table, 2, 100 * i));
      record_parts (&table, 100 + i, parts, 2, i, 100 * i);
    }
  CU_ASSERT_TRUE (is_part_refused (&table, 1, 500));
  CU_ASSERT_TRUE (is_part_refused (&table, 2, 500));
  bd_poison_finish (&table);
}

/* Of two parts that are in each crashed request, only the one that has not
   completed lately is blocked.  */
static void
test_part_in_use_is_not_blocked (void)
{
  static const uint64_t parts[] = { 1, 2 };
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  complete_part (&table, 1, 0);
  for (uint32_t i = 0; i < 5; i++)
    {
      CU_ASSERT_FALSE (is_part_refused (&table, 1, 100 * i));
      record_parts (&table, 100 + i, parts, 2, i, 100 * i);
    }
  CU_ASSERT_FALSE (is_part_refused (&table, 1, 500));
  CU_ASSERT_TRUE (is_part_refused (&table, 2, 500));
  bd_poison_finish (&table);
}

static void
test_completion_ends_block (void)
{
  static const uint64_t parts[] = { 1 };
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  for (uint32_t i = 0; i < 3; i++)
    record_parts (&table, 100 + i, parts, 1, i, 100 * i);
  CU_ASSERT_TRUE (is_part_refused (&table, 1, 300));
  complete_part (&table, 1, 300);
  CU_ASSERT_FALSE (is_part_refused (&table, 1, 300));
  bd_poison_finish (&table);
}

/* Evidence of crashes by parts that have no target in common, enough to block
   each.  The caller frees it.  */
static struct bd_poison_evidence *
make_crashes (uint32_t parts)
{
  struct bd_poison_evidence *items
      = g_new0 (struct bd_poison_evidence, parts * CRASHES_OF_PART);

  for (uint32_t i = 0; i < parts * CRASHES_OF_PART; i++)
    {
      uint32_t age_ms = 2 * RUN_MS * (CRASHES_OF_PART - i % CRASHES_OF_PART);

      items[i] = (struct bd_poison_evidence){
        .subject = bd_poison_subject (BD_POISON_PART, i / CRASHES_OF_PART),
        .target = i + 1,
        .request = bd_poison_subject (BD_POISON_REQUEST, i),
        .sent_age_ms = age_ms + RUN_MS,
        .crash_age_ms = age_ms,
      };
    }
  return items;
}

/* Adds the list and returns the processor time that it took.  */
static int64_t
add_for_ms (struct bd_poison_table *table,
            const struct bd_poison_evidence *items, uint32_t count)
{
  clock_t start = clock ();

  bd_poison_add (table, items, count, 10000);
  return (int64_t)(clock () - start) * 1000 / CLOCKS_PER_SEC;
}

static uint32_t
count_refused (const struct bd_poison_table *table, uint32_t parts)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < parts; i++)
    count += is_part_refused (table, i, 10000);
  return count;
}

static void
test_many_blocks_take_short (void)
{
  enum
  {
    PARTS = 700
  };
  struct bd_poison_evidence *items = make_crashes (PARTS);
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  CU_ASSERT_TRUE (add_for_ms (&table, items, PARTS * CRASHES_OF_PART)
                  < MAX_APPLY_MS);
  CU_ASSERT_EQUAL (count_refused (&table, PARTS), PARTS);
  bd_poison_finish (&table);
  g_free (items);
}

static void
test_many_clears_take_short (void)
{
  enum
  {
    PARTS = 3000
  };
  struct bd_poison_evidence *items = make_crashes (PARTS);
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  for (uint32_t i = 0; i < PARTS; i++)
    bd_poison_add (&table, &items[i * CRASHES_OF_PART], CRASHES_OF_PART,
                   10000);
  CU_ASSERT_EQUAL (count_refused (&table, PARTS), PARTS);
  for (uint32_t i = 0; i < PARTS * CRASHES_OF_PART; i++)
    items[i].is_cleared = true;
  CU_ASSERT_TRUE (add_for_ms (&table, items, PARTS * CRASHES_OF_PART)
                  < MAX_APPLY_MS);
  CU_ASSERT_EQUAL (count_refused (&table, PARTS), 0);
  bd_poison_finish (&table);
  g_free (items);
}

static void
test_full_table_takes_short (void)
{
  enum
  {
    REQUESTS = 20000
  };
  struct bd_poison_evidence *items
      = g_new0 (struct bd_poison_evidence, REQUESTS);
  struct bd_poison_table table;

  for (uint32_t i = 0; i < REQUESTS; i++)
    items[i] = (struct bd_poison_evidence){
      .subject = bd_poison_subject (BD_POISON_REQUEST, i), .target = 1
    };
  bd_poison_init (&table, 10000);
  CU_ASSERT_TRUE (add_for_ms (&table, items, REQUESTS) < MAX_APPLY_MS);
  /* Expired evidence makes room for other.  */
  CU_ASSERT_TRUE (record (&table, REQUESTS, 1, 20000));
  bd_poison_finish (&table);
  g_free (items);
}

/* Of a peer that knows more kinds of subjects.  */
static void
test_unknown_kind_is_not_kept (void)
{
  struct bd_poison_evidence item = { .subject = BD_POISON_PART + 1 };
  struct bd_poison_table table;

  bd_poison_init (&table, 10000);
  for (item.target = 1; item.target <= 10; item.target++)
    CU_ASSERT_FALSE (bd_poison_add (&table, &item, 1, 0));
  CU_ASSERT_EQUAL (bd_poison_blocked (&table, &item.subject, 1, 0), 0);
  bd_poison_finish (&table);
}

static const struct unit_test tests[] = {
  { "a part explains the crashes of a bystander",
    test_part_explains_bystander },
  { "one request blocks none of its parts", test_one_request_blocks_no_part },
  { "ties are blocked together", test_ties_are_blocked_together },
  { "a part in use is not blocked", test_part_in_use_is_not_blocked },
  { "a completion ends a block", test_completion_ends_block },
  { "two crashes refuse a request", test_two_crashes_refuse },
  { "a finished request is cleared", test_finished_request_is_cleared },
  { "a withdrawn crash clears requests",
    test_withdrawn_crash_clears_requests },
  { "ends by order are evidence", test_ends_by_order_are_no_evidence },
  { "crash long before order is no evidence",
    test_crash_long_before_order_is_evidence },
  { "dismissals without bound", test_dismissals_are_bounded },
  { "bounds", test_table_is_bounded },
  { "many blocks take a short time", test_many_blocks_take_short },
  { "many clears take a short time", test_many_clears_take_short },
  { "a full table takes a short time", test_full_table_takes_short },
  { "an unknown kind is not kept", test_unknown_kind_is_not_kept },
};

int
main (void)
{
  return UNIT_RUN ("suspects", tests);
}

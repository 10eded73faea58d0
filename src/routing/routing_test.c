/* Tests of load balancing and prefix hints.  */

#include "tests/unit.h"

#include "routing/prefix.h"
#include "routing/routing.h"

#include <string.h>

static struct bd_routing_costs costs = { .prefill_ms = 100, .step_ms = 10 };
static gsl_rng *rng;

static int32_t
choose (const struct bd_candidate *candidates, uint32_t count)
{
  uint32_t next_index = 0;

  return bd_router_by_wait.choose (candidates, count, &costs, rng,
                                   &next_index);
}

static struct bd_candidate
candidate (uint32_t own_in_flight, uint32_t reported, uint32_t own_at_report)
{
  return (struct bd_candidate){ .own_in_flight = own_in_flight,
                                .reported = reported,
                                .own_at_report = own_at_report,
                                .capacity = 64,
                                .slowness = 1 };
}

static void
test_stale_report_is_corrected (void)
{
  struct bd_candidate c = candidate (5, 10, 2);

  /* 8 calls of other daemons in the report, and 5 of this daemon now.  */
  CU_ASSERT_EQUAL (bd_candidate_load (&c), 13);
  c.own_at_report = 20;
  CU_ASSERT_EQUAL (bd_candidate_load (&c), 5);
}

static void
test_full_or_tried_is_not_chosen (void)
{
  struct bd_candidate two[2] = { candidate (64, 0, 0), candidate (0, 0, 0) };

  two[1].is_tried = true;
  CU_ASSERT_EQUAL (choose (two, 2), -1);
  two[1].is_tried = false;
  CU_ASSERT_EQUAL (choose (two, 2), 1);
}

static void
test_share_on_full_replica (void)
{
  struct bd_candidate c = candidate (0, 64, 0);

  /* Other daemons fill the replica: only calls within this daemon's share are
     sent.  */
  CU_ASSERT_FALSE (bd_candidate_has_capacity (&c));
  c.share = 10;
  CU_ASSERT_TRUE (bd_candidate_has_capacity (&c));
  c.own_in_flight = 8;
  CU_ASSERT_FALSE (bd_candidate_has_capacity (&c));
  /* Above its share a daemon leaves 1/16 of the capacity to the others.  */
  c = candidate (60, 0, 0);
  c.share = 10;
  CU_ASSERT_FALSE (bd_candidate_has_capacity (&c));
  c.own_in_flight = 59;
  CU_ASSERT_TRUE (bd_candidate_has_capacity (&c));
}

static void
test_affinity_ignores_replica_order (void)
{
  uint64_t replicas[10];
  uint64_t reversed[10];
  char prompt[BD_PREFIX_BLOCK_BYTES];
  struct bd_prefix prefix;
  int32_t in_order[2];
  int32_t in_reverse[2];

  memset (prompt, 'q', sizeof prompt);
  bd_prefix_hash (&prefix, prompt, sizeof prompt);
  for (uint32_t i = 0; i < 10; i++)
    {
      replicas[i] = 100 + i;
      reversed[9 - i] = 100 + i;
    }
  bd_prefix_affinity_replicas (&prefix, replicas, 10, in_order);
  bd_prefix_affinity_replicas (&prefix, reversed, 10, in_reverse);
  CU_ASSERT_EQUAL (in_order[0], 9 - in_reverse[0]);
  CU_ASSERT_EQUAL (in_order[1], 9 - in_reverse[1]);
  CU_ASSERT_NOT_EQUAL (in_order[0], in_order[1]);
  bd_prefix_hash (&prefix, prompt, 10);
  bd_prefix_affinity_replicas (&prefix, replicas, 10, in_order);
  CU_ASSERT_EQUAL (in_order[0], -1);
}

static void
test_cache_affinity_is_bounded (void)
{
  struct bd_candidate two[2] = { candidate (2, 0, 0), candidate (0, 0, 0) };

  two[0].cached_fraction = 1;
  CU_ASSERT_EQUAL (choose (two, 2), 0);
  /* One hot prefix does not overload its replica.  */
  two[0].own_in_flight = 9;
  CU_ASSERT_EQUAL (choose (two, 2), 1);
}

static void
test_equal_replicas_share_load (void)
{
  struct bd_candidate ten[10];
  uint32_t counts[10] = { 0 };

  for (int i = 0; i < 10; i++)
    ten[i] = candidate (0, 0, 0);
  for (int i = 0; i < 1000; i++)
    counts[choose (ten, 10)]++;
  for (int i = 0; i < 10; i++)
    CU_ASSERT_TRUE (counts[i] > 50);
}

static void
test_straggler_gets_less (void)
{
  struct bd_candidate two[2] = { candidate (1, 0, 0), candidate (1, 0, 0) };

  two[0].slowness = 2;
  for (int i = 0; i < 50; i++)
    CU_ASSERT_EQUAL (choose (two, 2), 1);
}

static void
test_prefix_hints (void)
{
  char prompt[1024];
  struct bd_prefix prefix;
  struct bd_prefix longer;
  struct bd_prefix_table table;
  double fresh;

  memset (prompt, 'a', sizeof prompt);
  bd_prefix_hash (&prefix, prompt, 512);
  prompt[900] = 'b';
  bd_prefix_hash (&longer, prompt, sizeof prompt);
  CU_ASSERT_EQUAL (prefix.count, 2);
  CU_ASSERT_EQUAL (longer.count, 4);
  bd_prefix_table_init (&table, 1000, 100);
  bd_prefix_record (&table, &prefix, 7, 0);
  fresh = bd_prefix_cached_fraction (&table, &longer, 7, 0);
  CU_ASSERT_DOUBLE_EQUAL (fresh, 0.5, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (bd_prefix_cached_fraction (&table, &longer, 8, 0), 0,
                          0);
  /* A hint decays, and an eviction event removes it.  */
  CU_ASSERT_TRUE (bd_prefix_cached_fraction (&table, &longer, 7, 3000) < 0.05);
  bd_prefix_evicted (&table, prefix.blocks[0], 7);
  CU_ASSERT_DOUBLE_EQUAL (bd_prefix_cached_fraction (&table, &prefix, 7, 0), 0,
                          0);
  for (uint64_t r = 0; r < 1000; r++)
    bd_prefix_record (&table, &prefix, r, 5000);
  CU_ASSERT_TRUE (g_hash_table_size (table.hints) <= 102);
  bd_prefix_table_finish (&table);
}

static const struct unit_test tests[] = {
  { "stale reports", test_stale_report_is_corrected },
  { "full or tried replicas", test_full_or_tried_is_not_chosen },
  { "share on a full replica", test_share_on_full_replica },
  { "affinity replicas", test_affinity_ignores_replica_order },
  { "cache affinity is bounded", test_cache_affinity_is_bounded },
  { "equal replicas", test_equal_replicas_share_load },
  { "stragglers", test_straggler_gets_less },
  { "prefix hints", test_prefix_hints },
};

int
main (void)
{
  int code;

  rng = gsl_rng_alloc (gsl_rng_mt19937);
  code = UNIT_RUN ("routing", tests);
  gsl_rng_free (rng);
  return code;
}

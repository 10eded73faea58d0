/* Tests that no instance is in two groups, and that no group opens without a
   member, when the controller's observations are old or not of the instance
   that they are taken for.  */

#include "tests/fakes/pool.h"
#include "tests/unit.h"

#include <string.h>

static struct pool pool;

static void
check_invariants (void)
{
  CU_ASSERT_EQUAL (pool.stolen_joins, 0);
  CU_ASSERT_EQUAL (pool.partial_opens, 0);
  CU_ASSERT_EQUAL (pool.unconditional, 0);
  if (pool.stolen_joins + pool.partial_opens > 0)
    printf ("\n%s\n", pool.violation);
}

/* New instances at the addresses of lost ones respond to their probes.  A
   controller that was stalled probes what it took for dead, at any moment of
   the forming and opening of groups.  */
static void
test_reused_addresses (void)
{
  for (int64_t stall_ms = 0; stall_ms <= 4000; stall_ms += 100)
    {
      pool_init (&pool, 2, 10, 13);
      pool.report_lag_ms = 200;
      pool_run (&pool, 8000);
      for (uint32_t i = 0; i < 10; i++)
        pool_lose_instance (&pool, i);
      pool_run (&pool, 6000);
      for (uint32_t i = 0; i < 10; i++)
        pool_add_instance_at (&pool, i);
      pool_run (&pool, stall_ms);
      bd_fleet_reset_liveness (&pool.fleet, pool.now_ms);
      pool_run (&pool, 8000);
      CU_ASSERT_EQUAL (pool_capacity (&pool), 20);
      check_invariants ();
      pool_finish (&pool);
    }
}

/* After a partition members return before their leaders, which served all the
   time.  */
static void
test_leaders_return_late (void)
{
  for (int64_t late_ms = 200; late_ms <= 3000; late_ms += 200)
    {
      pool_init (&pool, 2, 10, 14);
      pool_run (&pool, 8000);
      pool.has_traffic = true;
      for (uint32_t i = 0; i < pool.count; i++)
        {
          pool.members[i].is_reachable = pool.members[i].is_in_list = false;
          bd_fleet_suspect (
              bd_fleet_endpoint (&pool.fleet, pool.members[i].entry.id),
              pool.now_ms);
        }
      pool_run (&pool, 4000);
      for (uint32_t i = 0; i < pool.count; i++)
        pool.members[i].is_reachable = pool.members[i].is_in_list
            = pool.members[i].entry.member.rank > 0;
      pool_run (&pool, late_ms);
      for (uint32_t i = 0; i < pool.count; i++)
        pool.members[i].is_reachable = pool.members[i].is_in_list = true;
      pool_run (&pool, 8000);
      CU_ASSERT_EQUAL (pool_capacity (&pool), 20);
      check_invariants ();
      pool_finish (&pool);
    }
}

/* A leader that serves resets new connections, as one with its maximum does;
   its probes end without a byte sent.  */
static void
test_leader_resets_connections (void)
{
  for (uint32_t i = 0; i < 20; i++)
    {
      pool_init (&pool, 2, 10, 13);
      pool_run (&pool, 8000);
      pool.has_traffic = true;
      pool.members[i].is_reachable = false;
      pool.members[i].is_refusing = true;
      bd_fleet_suspect (
          bd_fleet_endpoint (&pool.fleet, pool.members[i].entry.id),
          pool.now_ms);
      pool_run (&pool, 5000);
      check_invariants ();
      pool_finish (&pool);
    }
}

/* A controller that does not know that it was deposed orders on beside the
   next one.  */
static void
run_with_overlap (uint64_t seed, bool has_fences, double delayed_share)
{
  pool_init (&pool, 2, 10, seed);
  pool.has_fences = has_fences;
  pool.list_lag_ms = 500 * (int64_t)(seed % 5);
  pool.report_lag_ms = 100 * (int64_t)(seed % 4);
  pool_run (&pool, 5000);
  pool.has_traffic = true;
  pool.delayed_share = delayed_share;
  for (uint32_t i = 0; i < 6; i++)
    {
      pool_lose_instance (&pool, (uint32_t)gsl_rng_uniform_int (pool.rng, 20));
      pool_run (&pool, 50 * (int64_t)gsl_rng_uniform_int (pool.rng, 60));
      pool_overlap_controller (&pool);
      pool_run (&pool, 50 * (int64_t)gsl_rng_uniform_int (pool.rng, 60));
      if (i % 2 == 1)
        pool_end_overlap (&pool);
    }
  pool.delayed_share = 0;
  pool_end_overlap (&pool);
  pool_run (&pool, 20000);
  check_invariants ();
  pool_finish (&pool);
}

static void
test_controllers_overlap (void)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      run_with_overlap (seed, false, 0);
      run_with_overlap (seed, true, 0.35);
    }
}

/* Instances are lost and added and the controller is replaced, while the list
   and the reports show the past.  */
static void
run_with_lag (uint64_t seed, int64_t list_lag_ms, int64_t report_lag_ms,
              double delayed_share)
{
  pool_init (&pool, 2, 10, seed);
  pool.list_lag_ms = list_lag_ms;
  pool.report_lag_ms = report_lag_ms;
  pool_run (&pool, 10000);
  pool.has_traffic = true;
  pool.delayed_share = delayed_share;
  for (uint32_t i = 0; i < 8; i++)
    {
      uint32_t lost = (uint32_t)gsl_rng_uniform_int (pool.rng, 20);

      pool_lose_instance (&pool, lost);
      pool_run (&pool, 2500);
      if (i % 2 == 0 && !pool.members[lost].is_alive)
        pool_add_instance_at (&pool, lost);
      if (i % 3 == 2)
        pool_restart_controller (&pool);
    }
  pool.delayed_share = 0;
  pool_run (&pool, 20000);
  check_invariants ();
  pool_finish (&pool);
}

static void
test_lagging_list_and_reports (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      run_with_lag (seed, 500, 300, 0);
      run_with_lag (seed, 2500, 200, 0);
    }
}

static void
test_lag_and_delayed_orders (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      run_with_lag (seed, 500, 200, 0.35);
      run_with_lag (seed, 2500, 300, 0.35);
    }
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "reused addresses", test_reused_addresses },
    { "leaders return late", test_leaders_return_late },
    { "leader resets connections", test_leader_resets_connections },
    { "controllers overlap", test_controllers_overlap },
    { "lagging list and reports", test_lagging_list_and_reports },
    { "lag and delayed orders", test_lag_and_delayed_orders },
  };

  return UNIT_RUN ("two_groups", tests);
}

/* Tests that groups finish their requests when a version of the configuration
   changes the size of their model or removes it, and that groups of the size
   in force take their place, against an in-memory pool.  */

#include "tests/fakes/pool.h"
#include "tests/unit.h"

#include <string.h>

enum
{
  WORK_MS = 3000,
  /* For longer than an endpoint that leaves goes on serving.  */
  SERVED_MS = 12000,
  /* What runs ends, and the members form groups again.  */
  CHANGED_MS = WORK_MS + 6000,
  LARGE = 0,
  SMALL = 1
};

static struct pool pool;

/* Splits the pool into groups that run requests of up to WORK_MS each.  */
static void
start_serving (uint64_t seed)
{
  pool_init (&pool, 2, 12, seed);
  pool_run (&pool, 8000);
  pool.has_traffic = true;
  pool.work_ms = WORK_MS;
  pool_run (&pool, SERVED_MS);
  CU_ASSERT_EQUAL (pool_capacity (&pool), 24);
}

static void
resize (uint32_t model, uint32_t members)
{
  pool.engine.models[model].members = members;
}

/* Members of the open groups that have the size in force.  */
static uint32_t
serving_members (void)
{
  uint32_t serving = 0;

  for (uint32_t i = 0; i < pool.count; i++)
    {
      const struct bd_membership_view *view = &pool.members[i].entry.member;
      const struct bd_engine_model *model
          = bd_engine_model (&pool.engine, view->model);

      if (view->state == BD_MEMBER_OPEN && model != NULL
          && pool.members[i].count == model->members)
        serving += model->members;
    }
  return serving;
}

static void
finish (uint32_t serving)
{
  pool_run (&pool, CHANGED_MS);
  CU_ASSERT_EQUAL (pool.cut_groups, 0);
  CU_ASSERT_EQUAL (pool.abandoned_groups, 0);
  CU_ASSERT_EQUAL (pool.stolen_joins, 0);
  CU_ASSERT_EQUAL (pool.partial_opens, 0);
  CU_ASSERT_EQUAL (pool.unconditional, 0);
  CU_ASSERT_TRUE (serving_members () >= serving);
  if (pool.cut_groups + pool.abandoned_groups + pool.stolen_joins > 0)
    printf ("\n%s\n", pool.violation);
  pool_finish (&pool);
}

static void
test_larger_size_cuts_running_requests (void)
{
  start_serving (1);
  resize (SMALL, 3);
  finish (24 - 6);
}

static void
test_smaller_size_cuts_running_requests (void)
{
  start_serving (2);
  resize (LARGE, 2);
  finish (24 - 2);
}

static void
test_size_of_one_cuts_running_requests (void)
{
  start_serving (3);
  resize (SMALL, 1);
  finish (24 - 2);
}

static void
test_sizes_of_both_models_cut_running_requests (void)
{
  start_serving (4);
  resize (SMALL, 4);
  resize (LARGE, 2);
  finish (24 - 6);
}

static void
test_removed_model_cuts_running_requests (void)
{
  start_serving (5);
  pool.engine.model_count = 1;
  pool_run (&pool, CHANGED_MS);
  CU_ASSERT_EQUAL (pool_count_open_groups (&pool, "small"), 0);
  finish (12);
}

static void
test_size_that_is_taken_back_costs_groups (void)
{
  uint32_t joins;

  start_serving (6);
  joins = pool.joins;
  resize (SMALL, 3);
  pool_run (&pool, 200);
  resize (SMALL, 2);
  pool_run (&pool, CHANGED_MS);
  CU_ASSERT_EQUAL (pool.joins, joins);
  finish (24);
}

static void
test_sizes_in_series_cut_running_requests (void)
{
  start_serving (7);
  for (uint32_t i = 0; i < 20; i++)
    {
      resize (SMALL, 1 + i % 4);
      resize (LARGE, 2 + i % 5);
      pool_run (&pool, 350 * (1 + i % 7));
    }
  resize (SMALL, 2);
  resize (LARGE, 4);
  finish (24 - 4);
}

static void
test_new_controller_during_change_cuts_running_requests (void)
{
  for (int64_t after_ms = 0; after_ms <= 3000; after_ms += 250)
    {
      start_serving (8 + (uint64_t)after_ms);
      resize (SMALL, 3);
      pool_run (&pool, after_ms);
      pool_restart_controller (&pool);
      finish (24 - 6);
    }
}

static void
test_lag_during_change_cuts_running_requests (void)
{
  start_serving (9);
  pool.list_lag_ms = 1500;
  pool.report_lag_ms = pool.engine.report_lag_ms = 200;
  pool_run (&pool, SERVED_MS);
  resize (SMALL, 3);
  resize (LARGE, 3);
  pool_run (&pool, CHANGED_MS);
  finish (24 - 6);
}

/* No group can be formed by such a version.  */
static void
test_impossible_sizes_cut_running_requests (void)
{
  static const uint32_t sizes[] = { 0, BD_FLEET_MAX_MEMBERS + 1, UINT32_MAX };

  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      start_serving (12 + i);
      resize (SMALL, sizes[i]);
      resize (LARGE, sizes[i]);
      pool_run (&pool, 100);
      pool_restart_controller (&pool);
      pool_run (&pool, CHANGED_MS);
      CU_ASSERT_EQUAL (pool_count_groups (&pool, BD_MEMBER_OPEN), 0);
      resize (SMALL, 2);
      resize (LARGE, 4);
      finish (24 - 6);
    }
}

/* The groups of the other model serve on.  */
static void
test_change_of_one_model_costs_another_one (void)
{
  uint32_t before;

  start_serving (10);
  before = pool_count_open_groups (&pool, "large");
  CU_ASSERT_TRUE (before > 0);
  resize (SMALL, 3);
  for (uint32_t i = 0; i < CHANGED_MS / 100; i++)
    {
      pool_run (&pool, 100);
      CU_ASSERT_TRUE (pool_count_open_groups (&pool, "large") >= before);
    }
  finish (24 - 6);
}

/* A member dies after the version: its group has no more requests to end.  */
static void
test_lost_member_during_change_holds_members (void)
{
  uint32_t lost = 0;

  start_serving (11);
  while (pool.members[lost].entry.member.rank != 1
         || strcmp (pool.members[lost].entry.member.model, "small") != 0)
    lost++;
  resize (SMALL, 3);
  pool_run (&pool, 100);
  pool_lose_instance (&pool, lost);
  finish (24 - 8);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "larger size cuts running requests",
      test_larger_size_cuts_running_requests },
    { "smaller size cuts running requests",
      test_smaller_size_cuts_running_requests },
    { "size of one cuts running requests",
      test_size_of_one_cuts_running_requests },
    { "sizes of both models cut running requests",
      test_sizes_of_both_models_cut_running_requests },
    { "removed model cuts running requests",
      test_removed_model_cuts_running_requests },
    { "size that is taken back costs groups",
      test_size_that_is_taken_back_costs_groups },
    { "sizes in series cut running requests",
      test_sizes_in_series_cut_running_requests },
    { "new controller during change cuts running requests",
      test_new_controller_during_change_cuts_running_requests },
    { "lag during change cuts running requests",
      test_lag_during_change_cuts_running_requests },
    { "impossible sizes cut running requests",
      test_impossible_sizes_cut_running_requests },
    { "change of one model costs another one",
      test_change_of_one_model_costs_another_one },
    { "lost member during change holds members",
      test_lost_member_during_change_holds_members },
  };

  return UNIT_RUN ("versions", tests);
}

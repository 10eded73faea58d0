/* Forms and repairs groups under random sequences of losses, partitions,
   returns, new controllers and delayed orders.  */

#include <glib.h>

extern "C"
{
#include "tests/fakes/pool.h"
}

#include <rapidcheck.h>

#include <cstdio>
#include <cstring>

enum
{
  /* The pool's limit on closing, and time to leave or to open again.  */
  MAX_CLOSED_MS = POOL_CLOSE_LIMIT_MS + 4000
};

static struct pool pool;

/* Cuts off a part of the pool from the controller; its entries stay.  With a
   count of 10 or more, cuts off the whole pool from the controller and the
   store.  Single instances are never cut off from the store, because the
   platform reports unreachable single instances as removed.  */
static void
partition (uint32_t from, uint32_t count)
{
  bool is_listed = count < 10;

  if (!is_listed)
    count = pool.count;
  for (uint32_t i = 0; i < count; i++)
    {
      struct pool_member *member = &pool.members[(from + i) % pool.count];
      struct bd_fleet_endpoint *endpoint
          = bd_fleet_endpoint (&pool.fleet, member->entry.id);

      member->is_reachable = false;
      member->is_in_list = is_listed && member->is_alive;
      if (endpoint != nullptr)
        bd_fleet_suspect (endpoint, pool.now_ms);
    }
}

static void
heal ()
{
  for (uint32_t i = 0; i < pool.count; i++)
    {
      pool.members[i].is_reachable = true;
      pool.members[i].is_in_list = pool.members[i].is_alive;
      if (pool.members[i].is_alive)
        pool_run (&pool, 50);
    }
}

static void
disturb (int kind, uint32_t index)
{
  switch (kind)
    {
    case 0:
    case 1:
    case 2:
      pool_lose_instance (&pool, index % pool.count);
      break;
    case 3:
      if (!pool.members[index % pool.count].is_alive)
        pool_restart_instance (&pool, index % pool.count);
      break;
    case 4:
      pool_add_instance (&pool, index % 2 == 0 ? "d0" : "d1");
      break;
    case 5:
      pool_restart_controller (&pool);
      break;
    case 6:
      pool.delayed_share = pool.delayed_share > 0 ? 0 : 0.4;
      break;
    case 7:
      partition (index, 1 + index % 10);
      break;
    case 8:
      heal ();
      break;
    case 9:
      pool.members[index % pool.count].entry.is_draining = true;
      break;
    case 10:
      pool.demand[0] = 1;
      pool.demand[1] = 1 + index % 8;
      break;
    case 11:
    case 12:
      pool_delist_instance (&pool, index % pool.count, 500 + 10 * index);
      break;
    default:
      pool_run (&pool, 50 * (1 + index % 60));
      break;
    }
}

/* Changes the size of a model, or takes the second model away and brings it
   back.  */
static void
change_version (uint32_t index)
{
  if (index % 8 == 0)
    pool.engine.model_count = pool.engine.model_count == 1 ? 2 : 1;
  else
    pool.engine.models[index % 2].members = 1 + index / 2 % 5;
}

/* Whether a step of a sequence is a new version.  */
static bool
is_version (int kind)
{
  return kind >= 14 && kind <= 15;
}

/* Forms groups and disturbs them; the list and the reports show the past.  */
static void
check_groups (int64_t list_lag_ms, int64_t report_lag_ms,
              bool has_versions = false)
{
  auto seed = *rc::gen::inRange<uint32_t> (1, 1000000);
  auto steps = *rc::gen::container<std::vector<std::pair<int, uint32_t> > > (
      rc::gen::pair (rc::gen::inRange (0, 17),
                     rc::gen::inRange<uint32_t> (0, 1000)));

  pool_init (&pool, 2, 10, seed);
  pool.list_lag_ms = list_lag_ms;
  pool.report_lag_ms = pool.engine.report_lag_ms = report_lag_ms;
  pool_run (&pool, 5000);
  pool.has_traffic = true;
  pool.work_ms = *rc::gen::inRange<int64_t> (0, 7000);
  for (const auto &step : steps)
    {
      if (has_versions && is_version (step.first))
        change_version (step.second);
      else
        disturb (step.first, step.second);
      pool_run (&pool, 100);
    }
  heal ();
  pool.delayed_share = 0;
  pool.longest_closed_ms = 0;
  for (uint32_t i = 0; i < pool.count; i++)
    pool.members[i].closed_since_ms = 0;
  pool_run (&pool, 20000);
  if (pool.stolen_joins + pool.partial_opens + pool.cut_groups > 0)
    RC_LOG () << pool.violation << std::endl;
  RC_ASSERT (pool.stolen_joins == 0);
  RC_ASSERT (pool.partial_opens == 0);
  RC_ASSERT (pool.cut_groups == 0);
  RC_ASSERT (pool.unconditional == 0);
  RC_ASSERT (pool.longest_closed_ms <= MAX_CLOSED_MS);
  pool_finish (&pool);
}

int
main ()
{
  bool has_passed
      = rc::check ("no group without a member, no instance in two groups",
                   [] { check_groups (0, 0); });

  has_passed = rc::check ("the same while the list and the reports lag",
                          [] {
                            check_groups (*rc::gen::inRange<int64_t> (
                                              0, POOL_MAX_LAG_MS),
                                          *rc::gen::inRange<int64_t> (0, 400));
                          })
               && has_passed;
  has_passed
      = rc::check ("the same while versions change the models",
                   [] {
                     check_groups (
                         *rc::gen::inRange<int64_t> (0, POOL_MAX_LAG_MS),
                         *rc::gen::inRange<int64_t> (0, 400), true);
                   })
        && has_passed;
  return has_passed ? 0 : 1;
}

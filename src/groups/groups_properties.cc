/* Properties of the groups slice under random interleavings of events.  */

#include <glib.h>

extern "C"
{
#include "tests/fakes/world.h"
}

#include <cstdio>
#include <rapidcheck.h>
#include <talloc.h>

namespace
{

enum Event
{
  KILL,
  REVIVE,
  PAUSE,
  RESUME,
  LEAVE,
  UNLIST,
  RELIST,
  PAUSE_KEEPER,
  HOLD_ORDERS,
  WAKE_KEEPER,
  CUT_KEEPER,
  JOIN_KEEPER,
  PLATFORM_DOWN,
  PLATFORM_UP,
  LOSE_ANSWER,
  NEW_VERSION,
  WAIT,
  EVENT_COUNT
};

struct Step
{
  int event;
  unsigned target;
  unsigned wait_ms;
};

void
showValue (const Step &step, std::ostream &os)
{
  os << "(" << step.event << "," << step.target << "," << step.wait_ms << ")";
}

rc::Gen<Step>
genStep ()
{
  return rc::gen::build<Step> (
      rc::gen::set (&Step::event, rc::gen::inRange<int> (0, EVENT_COUNT)),
      rc::gen::set (&Step::target, rc::gen::inRange<unsigned> (0, 100)),
      rc::gen::set (&Step::wait_ms, rc::gen::inRange<unsigned> (100, 9000)));
}

struct Scene
{
  void *ctx = talloc_new (nullptr);
  struct world *world = talloc (ctx, struct world);
  uint32_t version = 1;

  explicit Scene (bool checks_fence)
  {
    struct bd_keeper_limits limits = {};
    char name[BD_NAME_SIZE];

    limits.dead_after_ms = 3000;
    limits.controller_bound_ms = 5000;
    limits.drain_ms = 2000;
    limits.loads_at_once = 8;
    limits.order_retry_ms = 1000;
    limits.load_ms = 4000;
    limits.join_ms = 500;
    limits.downtime_weight = 1;
    limits.stranded_weight = 1;
    world_init (world, ctx, 7);
    world->load_ms = 4000;
    world->join_ms = 500;
    for (int i = 0; i < 10; i++)
      {
        snprintf (name, sizeof name, "u%d", i);
        world_add_unit (world, name, i < 6 ? "A" : "B", "p")->checks_fence
            = checks_fence;
      }
    world_add_service (world, "high", "p", 3, 2, 10)->engines_check_fence
        = checks_fence;
    world_add_service (world, "low", "p", 2, 1, 1)->engines_check_fence
        = checks_fence;
    world_add_keeper (world, "k1", &limits, &bd_mend_by_cost);
    world_add_keeper (world, "k2", &limits, &bd_mend_by_cost);
    world_run (world, 15000);
  }

  ~Scene ()
  {
    world_finish (world);
    talloc_free (ctx);
  }

  void
  unitEvent (int event, struct world_unit *unit)
  {
    switch (event)
      {
      case KILL:
        world_kill (unit);
        break;
      case REVIVE:
        world_revive (unit);
        break;
      case PAUSE:
        unit->is_paused = unit->is_alive;
        break;
      case RESUME:
        unit->is_paused = false;
        break;
      case LEAVE:
        unit->info.is_leaving = true;
        break;
      case UNLIST:
        unit->is_listed = false;
        break;
      case RELIST:
        unit->is_listed = true;
        unit->info.is_leaving = false;
        break;
      }
  }

  void
  keeperEvent (int event, struct world_keeper *keeper)
  {
    switch (event)
      {
      case PAUSE_KEEPER:
        keeper->is_paused = true;
        break;
      case HOLD_ORDERS:
        world_hold_orders (world, keeper);
        keeper->is_paused = true;
        break;
      case WAKE_KEEPER:
        world_deliver_held (world, keeper);
        keeper->is_paused = false;
        break;
      case CUT_KEEPER:
        keeper->is_cut_off = true;
        break;
      case JOIN_KEEPER:
        keeper->is_cut_off = false;
        break;
      }
  }

  void
  platformEvent (int event)
  {
    switch (event)
      {
      case PLATFORM_DOWN:
        world->is_platform_down = true;
        break;
      case PLATFORM_UP:
        world->is_platform_down = false;
        break;
      case LOSE_ANSWER:
        world->lose_answers++;
        break;
      case NEW_VERSION:
        snprintf (world->services[0].version, BD_NAME_SIZE, "%u", ++version);
        break;
      }
  }

  void
  apply (const Step &step)
  {
    unitEvent (step.event, &world->units[step.target % world->unit_count]);
    keeperEvent (step.event,
                 &world->keepers[step.target % world->keeper_count]);
    platformEvent (step.event);
    world_run (world, step.wait_ms);
  }

  /* Everything comes back: instances, keepers, the platform.  */
  void
  heal ()
  {
    for (uint32_t i = 0; i < world->unit_count; i++)
      {
        unitEvent (RELIST, &world->units[i]);
        world_revive (&world->units[i]);
      }
    for (uint32_t i = 0; i < world->keeper_count; i++)
      {
        keeperEvent (WAKE_KEEPER, &world->keepers[i]);
        keeperEvent (JOIN_KEEPER, &world->keepers[i]);
      }
    world->is_platform_down = false;
    world->lose_answers = 0;
    world_run (world, 60000);
  }
};

bool
holds (bool checks_fence)
{
  return rc::check (
      checks_fence ? "groups stay whole, with engines that check fences"
                   : "groups stay whole, with engines that ignore fences",
      [checks_fence] {
        auto steps = *rc::gen::container<std::vector<Step> > (40, genStep ());
        Scene scene (checks_fence);
        for (const Step &step : steps)
          {
            scene.apply (step);
            if (scene.world->violation != nullptr)
              RC_FAIL (std::string (scene.world->violation));
          }
        scene.heal ();
        if (scene.world->violation != nullptr)
          RC_FAIL (std::string (scene.world->violation));
        /* Every wanted group is whole again, and every survivor in use.  */
        RC_ASSERT (world_open_groups (scene.world, "high") == 2u);
        RC_ASSERT (world_open_groups (scene.world, "low") == 1u);
        if (checks_fence)
          RC_ASSERT (scene.world->old_orders_obeyed == 0u);
      });
}

}

int
main ()
{
  bool is_good = holds (true);

  is_good = holds (false) && is_good;
  return is_good ? 0 : 1;
}

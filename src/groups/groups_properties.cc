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
  struct sim *sim = talloc (ctx, struct sim);
  uint32_t version = 1;

  explicit Scene (bool checks_fence)
  {
    struct bd_keeper_limits limits = {};
    char name[BD_NAME_SIZE];

    limits.dead_after_ms = 3000;
    limits.keeper_bound_ms = 5000;
    limits.drain_ms = 2000;
    limits.loads_at_once = 8;
    limits.order_retry_ms = 1000;
    limits.load_ms = 4000;
    limits.join_ms = 500;
    limits.downtime_weight = 1;
    limits.stranded_weight = 1;
    sim_init (sim, ctx, 7);
    sim->load_ms = 4000;
    sim->join_ms = 500;
    for (int i = 0; i < 10; i++)
      {
        snprintf (name, sizeof name, "u%d", i);
        sim_add_instance (sim, name, i < 6 ? "A" : "B", "p")->checks_fence
            = checks_fence;
      }
    sim_add_service (sim, "high", "p", 3, 2, 10)->engines_check_fence
        = checks_fence;
    sim_add_service (sim, "low", "p", 2, 1, 1)->engines_check_fence
        = checks_fence;
    sim_add_controller (sim, "k1", &limits, &bd_mend_by_cost);
    sim_add_controller (sim, "k2", &limits, &bd_mend_by_cost);
    sim_run (sim, 15000);
  }

  ~Scene ()
  {
    sim_finish (sim);
    talloc_free (ctx);
  }

  void
  unitEvent (int event, struct sim_instance *unit)
  {
    switch (event)
      {
      case KILL:
        sim_kill_instance (unit);
        break;
      case REVIVE:
        sim_revive_instance (unit);
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
  keeperEvent (int event, struct sim_controller *keeper)
  {
    switch (event)
      {
      case PAUSE_KEEPER:
        keeper->is_paused = true;
        break;
      case HOLD_ORDERS:
        sim_delay_orders (sim, keeper);
        keeper->is_paused = true;
        break;
      case WAKE_KEEPER:
        sim_deliver_delayed_orders (sim, keeper);
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
        sim->is_platform_down = true;
        break;
      case PLATFORM_UP:
        sim->is_platform_down = false;
        break;
      case LOSE_ANSWER:
        sim->replies_to_lose++;
        break;
      case NEW_VERSION:
        snprintf (sim->services[0].version, BD_NAME_SIZE, "%u", ++version);
        break;
      }
  }

  void
  apply (const Step &step)
  {
    unitEvent (step.event, &sim->instances[step.target % sim->instance_count]);
    keeperEvent (step.event,
                 &sim->controllers[step.target % sim->controller_count]);
    platformEvent (step.event);
    sim_run (sim, step.wait_ms);
  }

  /* Everything comes back: instances, keepers, the platform.  */
  void
  heal ()
  {
    for (uint32_t i = 0; i < sim->instance_count; i++)
      {
        unitEvent (RELIST, &sim->instances[i]);
        sim_revive_instance (&sim->instances[i]);
      }
    for (uint32_t i = 0; i < sim->controller_count; i++)
      {
        keeperEvent (WAKE_KEEPER, &sim->controllers[i]);
        keeperEvent (JOIN_KEEPER, &sim->controllers[i]);
      }
    sim->is_platform_down = false;
    sim->replies_to_lose = 0;
    sim_run (sim, 60000);
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
            if (scene.sim->violation != nullptr)
              RC_FAIL (std::string (scene.sim->violation));
          }
        scene.heal ();
        if (scene.sim->violation != nullptr)
          RC_FAIL (std::string (scene.sim->violation));
        /* Every wanted group is whole again, and every survivor in use.  */
        RC_ASSERT (sim_count_open_groups (scene.sim, "high") == 2u);
        RC_ASSERT (sim_count_open_groups (scene.sim, "low") == 1u);
        if (checks_fence)
          RC_ASSERT (scene.sim->stale_orders_executed == 0u);
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

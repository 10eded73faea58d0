/* Properties of the groups module under random sequences of events.  */

#include <glib.h>

extern "C"
{
#include "tests/fakes/sim.h"
}

#include <cstdio>
#include <rapidcheck.h>
#include <talloc.h>

namespace
{

enum Event
{
  KILL_INSTANCE,
  REVIVE_INSTANCE,
  PAUSE_INSTANCE,
  RESUME_INSTANCE,
  MARK_LEAVING,
  UNLIST_INSTANCE,
  RELIST_INSTANCE,
  PAUSE_CONTROLLER,
  PAUSE_CONTROLLER_WITH_ORDERS,
  RESUME_CONTROLLER,
  DISCONNECT_CONTROLLER,
  RECONNECT_CONTROLLER,
  PLATFORM_DOWN,
  PLATFORM_UP,
  LOSE_REPLY,
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

struct Scenario
{
  void *ctx = talloc_new (nullptr);
  struct sim *sim = talloc (ctx, struct sim);
  uint32_t version = 1;

  explicit Scenario (bool checks_fence)
  {
    struct bd_controller_limits limits = {};
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
    sim_add_controller (sim, "k1", &limits, &bd_repair_by_cost);
    sim_add_controller (sim, "k2", &limits, &bd_repair_by_cost);
    sim_run (sim, 15000);
  }

  ~Scenario ()
  {
    sim_finish (sim);
    talloc_free (ctx);
  }

  void
  applyInstanceEvent (int event, struct sim_instance *instance)
  {
    switch (event)
      {
      case KILL_INSTANCE:
        sim_kill_instance (instance);
        break;
      case REVIVE_INSTANCE:
        sim_revive_instance (instance);
        break;
      case PAUSE_INSTANCE:
        instance->is_paused = instance->is_alive;
        break;
      case RESUME_INSTANCE:
        instance->is_paused = false;
        break;
      case MARK_LEAVING:
        instance->info.is_leaving = true;
        break;
      case UNLIST_INSTANCE:
        instance->is_listed = false;
        break;
      case RELIST_INSTANCE:
        instance->is_listed = true;
        instance->info.is_leaving = false;
        break;
      }
  }

  void
  applyControllerEvent (int event, struct sim_controller *controller)
  {
    switch (event)
      {
      case PAUSE_CONTROLLER:
        controller->is_paused = true;
        break;
      case PAUSE_CONTROLLER_WITH_ORDERS:
        sim_delay_orders (sim, controller);
        controller->is_paused = true;
        break;
      case RESUME_CONTROLLER:
        sim_deliver_delayed_orders (sim, controller);
        controller->is_paused = false;
        break;
      case DISCONNECT_CONTROLLER:
        controller->is_cut_off = true;
        break;
      case RECONNECT_CONTROLLER:
        controller->is_cut_off = false;
        break;
      }
  }

  void
  applyPlatformEvent (int event)
  {
    switch (event)
      {
      case PLATFORM_DOWN:
        sim->is_platform_down = true;
        break;
      case PLATFORM_UP:
        sim->is_platform_down = false;
        break;
      case LOSE_REPLY:
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
    applyInstanceEvent (step.event,
                        &sim->instances[step.target % sim->instance_count]);
    applyControllerEvent (
        step.event, &sim->controllers[step.target % sim->controller_count]);
    applyPlatformEvent (step.event);
    sim_run (sim, step.wait_ms);
  }

  /* Brings back all instances, controllers and the platform, and waits until
     the groups are repaired.  */
  void
  restoreAll ()
  {
    for (uint32_t i = 0; i < sim->instance_count; i++)
      {
        applyInstanceEvent (RELIST_INSTANCE, &sim->instances[i]);
        sim_revive_instance (&sim->instances[i]);
      }
    for (uint32_t i = 0; i < sim->controller_count; i++)
      {
        applyControllerEvent (RESUME_CONTROLLER, &sim->controllers[i]);
        applyControllerEvent (RECONNECT_CONTROLLER, &sim->controllers[i]);
      }
    sim->is_platform_down = false;
    sim->replies_to_lose = 0;
    sim_run (sim, 60000);
  }
};

bool
checkGroupInvariants (bool checks_fence)
{
  return rc::check (
      checks_fence ? "groups stay whole, with engines that check fences"
                   : "groups stay whole, with engines that ignore fences",
      [checks_fence] {
        auto steps = *rc::gen::container<std::vector<Step> > (40, genStep ());
        Scenario scenario (checks_fence);
        for (const Step &step : steps)
          {
            scenario.apply (step);
            if (scenario.sim->violation != nullptr)
              RC_FAIL (std::string (scenario.sim->violation));
          }
        scenario.restoreAll ();
        if (scenario.sim->violation != nullptr)
          RC_FAIL (std::string (scenario.sim->violation));
        /* Every service has all of its groups open again.  */
        RC_ASSERT (sim_count_open_groups (scenario.sim, "high") == 2u);
        RC_ASSERT (sim_count_open_groups (scenario.sim, "low") == 1u);
        if (checks_fence)
          RC_ASSERT (scenario.sim->stale_orders_executed == 0u);
      });
}

}

int
main ()
{
  bool has_passed = checkGroupInvariants (true);

  has_passed = checkGroupInvariants (false) && has_passed;
  return has_passed ? 0 : 1;
}

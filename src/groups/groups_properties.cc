/* Properties of the groups module under random sequences of events.  */

#include <glib.h>

extern "C"
{
#include "tests/fakes/sim.h"
}

#include <cstdio>
#include <cstring>
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
  EVENT_COUNT,
  /* Only with faulty observations.  */
  REUSE_ADDRESS = EVENT_COUNT,
  REUSE_ADDRESS_IN_OTHER_POOL,
  EVENT_COUNT_WITH_REUSE
};

enum
{
  LIST_LAG_MS = 3000,
  REPORT_LAG_MS = 500
};

/* How the observations of a scenario can be wrong.  */
enum class Observations
{
  PRESENT,
  LAGGING,     /* The list and the reports are of earlier states.  */
  MISDIRECTED, /* New instances get the addresses of lost ones.  */
  LAGGING_AND_MISDIRECTED
};

bool
isLagging (Observations observations)
{
  return observations == Observations::LAGGING
         || observations == Observations::LAGGING_AND_MISDIRECTED;
}

bool
isMisdirected (Observations observations)
{
  return observations == Observations::MISDIRECTED
         || observations == Observations::LAGGING_AND_MISDIRECTED;
}

const char *
nameOf (Observations observations)
{
  static const char *const names[]
      = { "", ", lagging observations", ", reused addresses",
          ", lagging observations and reused addresses" };

  return names[static_cast<int> (observations)];
}

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
genStep (Observations observations)
{
  int count
      = isMisdirected (observations) ? EVENT_COUNT_WITH_REUSE : EVENT_COUNT;

  return rc::gen::build<Step> (
      rc::gen::set (&Step::event, rc::gen::inRange<int> (0, count)),
      rc::gen::set (&Step::target, rc::gen::inRange<unsigned> (0, 100)),
      rc::gen::set (&Step::wait_ms, rc::gen::inRange<unsigned> (100, 9000)));
}

struct Scenario
{
  void *ctx = talloc_new (nullptr);
  struct sim *sim = talloc (ctx, struct sim);
  uint32_t version = 1;

  Scenario (bool checks_fence, Observations observations)
  {
    struct bd_controller_limits limits = {};
    char name[BD_NAME_SIZE];

    limits.dead_after_ms = 3000;
    limits.controller_bound_ms = 5000;
    limits.report_lag_ms = REPORT_LAG_MS;
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
    if (isLagging (observations))
      {
        sim->list_lag_ms = LIST_LAG_MS;
        sim->report_lag_ms = REPORT_LAG_MS;
      }
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
  reuseAddress (struct sim_instance *old, const char *pool)
  {
    char name[BD_NAME_SIZE];

    if (old->has_lost_address)
      return;
    snprintf (name, sizeof name, "n%u", sim->instance_count);
    sim_reuse_address (sim, old, name, pool);
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
      case REUSE_ADDRESS:
        reuseAddress (instance, "p");
        break;
      case REUSE_ADDRESS_IN_OTHER_POOL:
        reuseAddress (instance, "q");
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

  /* Adds instances in place of those whose addresses went to another pool.  */
  void
  replaceLostInstances ()
  {
    uint32_t count = sim->instance_count;
    char name[BD_NAME_SIZE];

    for (uint32_t i = 0; i < count; i++)
      if (strcmp (sim->instances[i].info.pool, "q") == 0)
        {
          snprintf (name, sizeof name, "r%u", i);
          sim_add_instance (sim, name, sim->instances[i].info.fabric_domain,
                            "p")
              ->checks_fence
              = sim->instances[i].checks_fence;
        }
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
    replaceLostInstances ();
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
checkGroupInvariants (bool checks_fence, Observations observations)
{
  std::string name
      = checks_fence ? "groups stay whole, with engines that check fences"
                     : "groups stay whole, with engines that ignore fences";

  return rc::check (name + nameOf (observations), [=] {
    auto steps
        = *rc::gen::container<std::vector<Step> > (40, genStep (observations));
    Scenario scenario (checks_fence, observations);
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
    /* And none changes without need.  */
    uint32_t writes = scenario.sim->writes;
    sim_run (scenario.sim, 10000);
    RC_ASSERT (scenario.sim->writes == writes);
    if (checks_fence)
      RC_ASSERT (scenario.sim->stale_orders_executed == 0u);
  });
}

}

int
main ()
{
  static const Observations all[]
      = { Observations::PRESENT, Observations::LAGGING,
          Observations::MISDIRECTED, Observations::LAGGING_AND_MISDIRECTED };
  bool has_passed = true;

  for (Observations observations : all)
    for (bool checks_fence : { true, false })
      has_passed
          = checkGroupInvariants (checks_fence, observations) && has_passed;
  return has_passed ? 0 : 1;
}

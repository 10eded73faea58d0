/* Policies for repairing groups that lack members.  */

#include "groups/controller.h"

/* Waiting keeps the survivors idle for waiting_ms.  Dissolving the group costs
   the downtime and the idle members while a group forms again.  */
static bool
is_waiting_costlier (const struct bd_controller *controller,
                     const struct bd_group *group, uint32_t survivors,
                     int64_t waiting_ms)
{
  const struct bd_controller_limits *limits = &controller->limits;
  double waiting_cost
      = limits->stranded_weight * survivors * (double)waiting_ms;
  double reforming_cost
      = limits->join_ms
        * (limits->downtime_weight
           + limits->stranded_weight * (double)group->member_count);

  return waiting_cost > reforming_cost;
}

static enum bd_repair
choose_by_cost (const struct bd_controller *controller,
                const struct bd_group *group,
                const struct bd_shortage *shortage)
{
  uint32_t missing = shortage->lost + shortage->cold;
  /* An unresponsive member can return at any time with its weights, so the
     time that it has been lost is the estimate of the time still to wait.  A
     cold member has to load its weights, which takes load_ms.  */
  int64_t waiting_ms = shortage->cold > 0 ? controller->limits.load_ms
                                          : shortage->duration_ms;

  if (shortage->warm_spares >= missing)
    return BD_REPAIR_REPLACE;
  return is_waiting_costlier (controller, group,
                              group->member_count - shortage->lost, waiting_ms)
             ? BD_REPAIR_DISSOLVE
             : BD_REPAIR_WAIT;
}

static enum bd_repair
choose_waiting (const struct bd_controller *controller,
                const struct bd_group *group,
                const struct bd_shortage *shortage)
{
  (void)controller;
  (void)group;
  (void)shortage;
  return BD_REPAIR_WAIT;
}

static enum bd_repair
choose_dissolving (const struct bd_controller *controller,
                   const struct bd_group *group,
                   const struct bd_shortage *shortage)
{
  (void)controller;
  (void)group;
  (void)shortage;
  return BD_REPAIR_DISSOLVE;
}

const struct bd_repair_policy bd_repair_by_cost
    = { "cost", true, choose_by_cost };
const struct bd_repair_policy bd_repair_by_waiting
    = { "wait", false, choose_waiting };
const struct bd_repair_policy bd_repair_by_dissolving
    = { "dissolve", false, choose_dissolving };

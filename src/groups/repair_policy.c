/* Policies for groups that are short of members.  */

#include "groups/controller.h"

/* Holding the survivors for waiting_ms costs stranded accelerators; giving
   them up costs the time to form the group again.  */
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
  /* A silent member may come back whole at any moment, for nothing: what has
     passed stands for what is to come.  A cold one is known to load.  */
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

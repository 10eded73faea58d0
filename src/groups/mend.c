/* Policies for groups that are short of members.  */

#include "groups/keeper.h"

/* Holding the survivors for held_ms costs stranded accelerators; giving them
   up costs the time to form the group again.  */
static bool
is_holding_dearer (const struct bd_keeper *keeper,
                   const struct bd_group *group, uint32_t survivors,
                   int64_t held_ms)
{
  const struct bd_keeper_limits *limits = &keeper->limits;
  double held = limits->stranded_weight * survivors * (double)held_ms;
  double form_again
      = limits->join_ms
        * (limits->downtime_weight
           + limits->stranded_weight * (double)group->member_count);

  return held > form_again;
}

static enum bd_mend
choose_by_cost (const struct bd_keeper *keeper, const struct bd_group *group,
                const struct bd_shortage *shortage)
{
  uint32_t missing = shortage->lost + shortage->cold;
  /* A silent member may come back whole at any moment, for nothing: what has
     passed stands for what is to come.  A cold one is known to load.  */
  int64_t held_ms
      = shortage->cold > 0 ? keeper->limits.load_ms : shortage->since_ms;

  if (shortage->warm_spares >= missing)
    return BD_MEND_REPLACE;
  return is_holding_dearer (keeper, group,
                            group->member_count - shortage->lost, held_ms)
             ? BD_MEND_DISSOLVE
             : BD_MEND_WAIT;
}

static enum bd_mend
choose_waiting (const struct bd_keeper *keeper, const struct bd_group *group,
                const struct bd_shortage *shortage)
{
  (void)keeper;
  (void)group;
  (void)shortage;
  return BD_MEND_WAIT;
}

static enum bd_mend
choose_dissolving (const struct bd_keeper *keeper,
                   const struct bd_group *group,
                   const struct bd_shortage *shortage)
{
  (void)keeper;
  (void)group;
  (void)shortage;
  return BD_MEND_DISSOLVE;
}

const struct bd_mend_policy bd_mend_by_cost = { "cost", true, choose_by_cost };
const struct bd_mend_policy bd_mend_by_waiting
    = { "wait", false, choose_waiting };
const struct bd_mend_policy bd_mend_by_dissolving
    = { "dissolve", false, choose_dissolving };

/* Policies for groups that have lost members.  */

#include "groups/keeper.h"

/* Holding the survivors costs stranded accelerators; giving them up costs the
   time to form the group again.  As long as the first has not grown to the
   second, the lost member may still come back whole, for nothing.  */
static bool
is_holding_dearer (const struct bd_keeper *keeper,
                   const struct bd_group *group, uint32_t lost,
                   int64_t lost_ms)
{
  const struct bd_keeper_limits *limits = &keeper->limits;
  double survivors = group->member_count - lost;
  double held = limits->stranded_weight * survivors * (double)lost_ms;
  double form_again
      = limits->join_ms
        * (limits->downtime_weight
           + limits->stranded_weight * (double)group->member_count);

  return held > form_again;
}

static enum bd_mend
choose_by_cost (const struct bd_keeper *keeper, const struct bd_group *group,
                uint32_t lost, uint32_t warm_spares, uint32_t cold_spares,
                int64_t lost_ms)
{
  (void)cold_spares;
  if (warm_spares >= lost)
    return BD_MEND_REPLACE;
  if (lost == group->member_count)
    return BD_MEND_WAIT;
  return is_holding_dearer (keeper, group, lost, lost_ms) ? BD_MEND_DISSOLVE
                                                          : BD_MEND_WAIT;
}

static enum bd_mend
choose_waiting (const struct bd_keeper *keeper, const struct bd_group *group,
                uint32_t lost, uint32_t warm_spares, uint32_t cold_spares,
                int64_t lost_ms)
{
  (void)keeper;
  (void)group;
  (void)lost;
  (void)warm_spares;
  (void)cold_spares;
  (void)lost_ms;
  return BD_MEND_WAIT;
}

static enum bd_mend
choose_dissolving (const struct bd_keeper *keeper,
                   const struct bd_group *group, uint32_t lost,
                   uint32_t warm_spares, uint32_t cold_spares, int64_t lost_ms)
{
  (void)keeper;
  (void)group;
  (void)lost;
  (void)warm_spares;
  (void)cold_spares;
  (void)lost_ms;
  return BD_MEND_DISSOLVE;
}

const struct bd_mend_policy bd_mend_by_cost = { "cost", true, choose_by_cost };
const struct bd_mend_policy bd_mend_by_waiting
    = { "wait", false, choose_waiting };
const struct bd_mend_policy bd_mend_by_dissolving
    = { "dissolve", false, choose_dissolving };

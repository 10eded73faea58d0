/* Groups that have lost members.  */

#include "groups/plan_internal.h"

#include <string.h>

/* Whether the survivors of this group could complete a better one of the
   same service in the same domain.  */
static bool
can_complete_another (const struct bd_plan *plan, const struct bd_group *group,
                      const struct bd_service *service,
                      const struct bd_standing *standing)
{
  uint32_t survivors = group->member_count - standing->missing;

  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *other = &plan->next->groups[i];
      uint32_t missing;
      if (other == group || strcmp (other->service, group->service) != 0
          || strcmp (other->domain, group->domain) != 0
          || other->drain != BD_DRAIN_NONE)
        continue;
      missing = bd_plan_stand (plan, other, service).missing;
      if (missing == 0 || missing > survivors + standing->warm_spares)
        continue;
      if (missing < standing->missing
          || (missing == standing->missing
              && strcmp (other->id, group->id) < 0))
        return true;
    }
  return false;
}

/* Mends one group; returns true when it was dissolved.  */
static bool
mend_group (struct bd_plan *plan, uint32_t index)
{
  struct bd_keeper *keeper = plan->keeper;
  struct bd_group *group = &plan->next->groups[index];
  const struct bd_service *service
      = bd_keeper_service (keeper, group->service);
  struct bd_standing standing;
  struct bd_shortage shortage;
  enum bd_mend choice;

  if (service == NULL || group->drain != BD_DRAIN_NONE)
    return false;
  standing = bd_plan_stand (plan, group, service);
  if (standing.missing == 0)
    {
      g_hash_table_remove (keeper->short_since_ms, group->id);
      if (standing.has_restarted)
        bd_plan_renew (plan, group);
      return false;
    }
  shortage = (struct bd_shortage){ .lost = standing.lost,
                                   .cold = standing.missing - standing.lost,
                                   .warm_spares = standing.warm_spares,
                                   .cold_spares = standing.cold_spares,
                                   .since_ms = bd_plan_time_in (
                                       keeper->short_since_ms, group->id,
                                       plan->now_ms) };
  choice = keeper->policy->choose (keeper, group, &shortage);
  if (choice == BD_MEND_WAIT && keeper->policy->warms_spares
      && can_complete_another (plan, group, service, &standing))
    choice = BD_MEND_DISSOLVE;
  if (choice == BD_MEND_DISSOLVE)
    {
      bd_plan_remove (plan, index);
      return true;
    }
  if (choice == BD_MEND_REPLACE
      && bd_plan_replace_members (plan, group, service))
    return false;
  /* A member that came back empty loads again within the group; the others
     have to join it anew.  */
  if (standing.has_restarted)
    bd_plan_renew (plan, group);
  return false;
}

void
bd_plan_mend (struct bd_plan *plan)
{
  uint32_t i = 0;

  while (i < plan->next->count)
    if (!mend_group (plan, i))
      i++;
}

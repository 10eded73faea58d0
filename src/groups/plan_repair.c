/* Repairs groups that have lost members.  */

#include "groups/plan_internal.h"

#include <string.h>

/* Whether the survivors of this group can complete another group of the same
   service and domain, one that misses fewer members or, when equal, has a
   lower id.  */
static bool
can_complete_another (const struct bd_plan *plan, const struct bd_group *group,
                      const struct bd_service *service,
                      const struct bd_group_health *health)
{
  uint32_t survivors = group->member_count - health->missing;

  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *other = &plan->next->groups[i];
      uint32_t missing;
      if (other == group || strcmp (other->service, group->service) != 0
          || strcmp (other->domain, group->domain) != 0
          || other->drain != BD_DRAIN_NONE)
        continue;
      missing = bd_plan_group_health (plan, other, service).missing;
      if (missing == 0 || missing > survivors + health->warm_spares)
        continue;
      if (missing < health->missing
          || (missing == health->missing && strcmp (other->id, group->id) < 0))
        return true;
    }
  return false;
}

/* Repairs one group.  Returns true when it was dissolved.  */
static bool
repair_group (struct bd_plan *plan, uint32_t index)
{
  struct bd_controller *controller = plan->controller;
  struct bd_group *group = &plan->next->groups[index];
  const struct bd_service *service
      = bd_controller_find_service (controller, group->service);
  struct bd_group_health health;
  struct bd_shortage shortage;
  enum bd_repair choice;

  if (service == NULL || group->drain != BD_DRAIN_NONE)
    return false;
  health = bd_plan_group_health (plan, group, service);
  if (health.missing == 0)
    {
      g_hash_table_remove (controller->short_since_ms, group->id);
      if (health.has_restarted)
        bd_plan_bump_incarnation (plan, group);
      return false;
    }
  shortage = (struct bd_shortage){ .lost = health.lost,
                                   .cold = health.missing - health.lost,
                                   .warm_spares = health.warm_spares,
                                   .cold_spares = health.cold_spares,
                                   .duration_ms = bd_plan_elapsed_ms (
                                       controller->short_since_ms, group->id,
                                       plan->now_ms) };
  choice = controller->policy->choose (controller, group, &shortage);
  if (choice == BD_REPAIR_WAIT && controller->policy->warms_spares
      && can_complete_another (plan, group, service, &health))
    choice = BD_REPAIR_DISSOLVE;
  if (choice == BD_REPAIR_DISSOLVE)
    {
      bd_plan_remove_group (plan, index);
      return true;
    }
  if (choice == BD_REPAIR_REPLACE
      && bd_plan_replace_members (plan, group, service))
    return false;
  /* A member that restarted without weights loads them again within the group;
     the other members have to rejoin it.  */
  if (health.has_restarted)
    bd_plan_bump_incarnation (plan, group);
  return false;
}

void
bd_plan_repair_groups (struct bd_plan *plan)
{
  uint32_t i = 0;

  while (i < plan->next->count)
    if (!repair_group (plan, i))
      i++;
}

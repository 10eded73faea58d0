/* Planned changes: groups drain before they are changed or removed.  */

#include "groups/plan_internal.h"

#include <string.h>

static bool
is_drained (const struct bd_plan *plan, const struct bd_group *group)
{
  const struct bd_instance_state *leader = bd_plan_member (plan, group, 0);
  int64_t draining_ms = bd_plan_elapsed_ms (plan->controller->drain_since_ms,
                                            group->id, plan->now_ms);

  if (draining_ms < plan->controller->limits.drain_ms)
    return false;
  if (bd_instance_is_lost (plan->controller, leader, plan->now_ms))
    return bd_instance_is_silent (plan->controller, leader, plan->now_ms);
  return leader->report.running == 0
         || strcmp (leader->report.group, group->id) != 0;
}

/* Replaces the leaving members of a drained group by spares.  Returns true
   when the group was removed because there are too few spares.  */
static bool
end_member_drain (struct bd_plan *plan, uint32_t index,
                  const struct bd_service *service)
{
  struct bd_group *group = &plan->next->groups[index];
  struct bd_group_health health = bd_plan_group_health (plan, group, service);
  uint32_t leaving = bd_plan_count_leaving (plan, group);
  uint32_t needed = leaving + health.missing;

  if (leaving == 0)
    {
      /* The members are no longer leaving.  */
      group->drain = BD_DRAIN_NONE;
      plan->has_changed = true;
      return false;
    }
  if (health.warm_spares + health.cold_spares < needed)
    {
      bd_plan_remove_group (plan, index);
      return true;
    }
  /* Otherwise wait for spares that are still loading weights.  */
  if (health.warm_spares >= needed
      && bd_plan_replace_members (plan, group, service))
    group->drain = BD_DRAIN_NONE;
  return false;
}

/* Ends the drain of a group that has no running requests.  Returns true when
   the group was removed.  */
static bool
end_drain (struct bd_plan *plan, uint32_t index)
{
  struct bd_group *group = &plan->next->groups[index];
  const struct bd_service *service
      = bd_controller_find_service (plan->controller, group->service);

  if (service == NULL || group->drain == BD_DRAIN_REMOVE)
    {
      bd_plan_remove_group (plan, index);
      return true;
    }
  if (group->drain == BD_DRAIN_VERSION)
    {
      bd_name_copy (group->model, service->model);
      bd_name_copy (group->version, service->version);
      group->drain = BD_DRAIN_NONE;
      bd_plan_bump_incarnation (plan, group);
      return false;
    }
  return end_member_drain (plan, index, service);
}

void
bd_plan_end_drains (struct bd_plan *plan)
{
  uint32_t i = 0;

  while (i < plan->next->count)
    {
      const struct bd_group *group = &plan->next->groups[i];
      bool is_removed = group->drain != BD_DRAIN_NONE
                        && is_drained (plan, group) && end_drain (plan, i);
      if (!is_removed)
        i++;
    }
}

/* Whether a group of the service is being removed, or its replacement can be
   formed, loads, or is not yet known to every daemon.  */
static bool
is_replacing_group (const struct bd_plan *plan,
                    const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      if (strcmp (group->service, service->name) != 0)
        continue;
      if (group->drain == BD_DRAIN_REMOVE)
        return true;
      if (group->member_count == service->members
          && !bd_plan_is_known_open (plan, group)
          && bd_plan_group_health (plan, group, service).lost == 0)
        return true;
    }
  return bd_plan_count_groups (plan, service) < service->replicas
         && bd_plan_choose_domain_for_group (plan, service, false) != NULL;
}

/* Whether the group only has another size than the service, so that it takes
   calls until it is its turn to be replaced.  */
static bool
is_waiting_for_turn (const struct bd_plan *plan, const struct bd_group *group,
                     const struct bd_service *service)
{
  return service != NULL && service->is_model
         && bd_plan_count_groups (plan, service) <= service->replicas
         && bd_controller_is_group_open (plan->controller, group, plan->now_ms)
         && is_replacing_group (plan, service);
}

void
bd_plan_drain_surplus (struct bd_plan *plan)
{
  for (uint32_t pass = 0; pass < 2; pass++)
    for (uint32_t i = plan->next->count; i-- > 0;)
      {
        struct bd_group *group = &plan->next->groups[i];
        const struct bd_service *service
            = bd_controller_find_service (plan->controller, group->service);
        bool is_surplus
            = service == NULL || !service->is_model
              || group->member_count != service->members
              || bd_plan_count_groups (plan, service) > service->replicas;
        bool is_open = bd_controller_is_group_open (plan->controller, group,
                                                    plan->now_ms);
        if (group->drain != BD_DRAIN_NONE || !is_surplus
            || (pass == 0 && is_open)
            || is_waiting_for_turn (plan, group, service))
          continue;
        bd_plan_start_drain (plan, group, BD_DRAIN_REMOVE);
      }
}

static bool
has_other_version (const struct bd_group *group,
                   const struct bd_service *service)
{
  return strcmp (group->version, service->version) != 0
         || strcmp (group->model, service->model) != 0;
}

/* Whether a group of the service is already draining for the new version,
   loads it, or is not yet known to every daemon as open.  */
static bool
is_rolling (const struct bd_plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      if (strcmp (group->service, service->name) != 0)
        continue;
      if (group->drain == BD_DRAIN_VERSION)
        return true;
      if (!has_other_version (group, service)
          && !bd_plan_is_known_open (plan, group)
          && bd_plan_group_health (plan, group, service).lost == 0)
        return true;
    }
  return false;
}

void
bd_plan_roll_versions (struct bd_plan *plan)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      struct bd_group *group = &plan->next->groups[i];
      const struct bd_service *service
          = bd_controller_find_service (plan->controller, group->service);
      if (service != NULL && group->drain == BD_DRAIN_NONE
          && group->member_count == service->members
          && has_other_version (group, service) && !is_rolling (plan, service))
        bd_plan_start_drain (plan, group, BD_DRAIN_VERSION);
    }
}

void
bd_plan_drain_leaving (struct bd_plan *plan)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      struct bd_group *group = &plan->next->groups[i];
      if (group->drain != BD_DRAIN_NONE)
        continue;
      for (uint32_t m = 0; m < group->member_count; m++)
        {
          const struct bd_instance_state *instance
              = bd_plan_member (plan, group, m);
          if (bd_plan_is_leaving (instance)
              && !bd_instance_is_lost (plan->controller, instance,
                                       plan->now_ms))
            {
              bd_plan_start_drain (plan, group, BD_DRAIN_MEMBER);
              break;
            }
        }
    }
}

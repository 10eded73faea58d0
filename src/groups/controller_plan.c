/* Computes the next assignment.  All steps modify one copy of the current
   assignment.  Steps that free instances run before those that assign them, so
   that a single update can do both.  */

#include "groups/plan_internal.h"

#include <string.h>
#include <talloc.h>

static struct bd_assignment *
take_over_term (struct bd_plan *plan)
{
  bd_name_copy (plan->next->controller, plan->controller->self);
  plan->next->term++;
  plan->next->sequence++;
  return plan->next;
}

static struct bd_assignment *
new_assignment (const struct bd_controller *controller, void *ctx)
{
  struct bd_assignment *assignment = talloc_zero (ctx, struct bd_assignment);

  bd_name_copy (assignment->data_centre, controller->data_centre);
  return assignment;
}

static bool
is_group_settled (const struct bd_controller *controller,
                  const struct bd_group *group,
                  const struct bd_service *service, int64_t now_ms)
{
  if (service == NULL || !service->is_model || group->drain != BD_DRAIN_NONE
      || group->member_count != service->members
      || strcmp (group->version, service->version) != 0
      || strcmp (group->model, service->model) != 0)
    return false;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_instance_state *instance
          = bd_controller_find_instance (controller, group->members[i]);
      if (instance == NULL
          || !bd_instance_is_usable (controller, instance, now_ms)
          || !bd_report_is_member (&instance->report, group->id,
                                   group->incarnation))
        return false;
    }
  return true;
}

static uint32_t
count_groups_of (const struct bd_assignment *assignment, const char *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < assignment->count; i++)
    if (strcmp (assignment->groups[i].service, service) == 0)
      count++;
  return count;
}

bool
bd_controller_is_settled (const struct bd_controller *controller,
                          int64_t now_ms)
{
  const struct bd_assignment *assignment = controller->assignment;

  if (assignment == NULL
      || strcmp (assignment->controller, controller->self) != 0)
    return false;
  for (uint32_t i = 0; i < controller->service_count; i++)
    if (controller->services[i]->is_model
        && count_groups_of (assignment, controller->services[i]->name)
               != controller->services[i]->replicas)
      return false;
  for (uint32_t i = 0; i < assignment->count; i++)
    {
      const struct bd_group *group = &assignment->groups[i];
      const struct bd_service *service
          = bd_controller_find_service (controller, group->service);
      if (!is_group_settled (controller, group, service, now_ms))
        return false;
    }
  return g_hash_table_size (controller->short_since_ms) == 0;
}

struct bd_assignment *
bd_controller_plan (struct bd_controller *controller, void *ctx,
                    int64_t now_ms)
{
  struct bd_plan plan = { .controller = controller, .now_ms = now_ms };

  bd_controller_note_run (controller, now_ms);
  /* Fast path: usually there is nothing to do, and this check is cheap.  */
  if (!controller->is_selected
      || bd_controller_is_settled (controller, now_ms))
    return NULL;
  plan.next = controller->assignment != NULL
                  ? bd_assignment_clone (ctx, controller->assignment)
                  : new_assignment (controller, ctx);
  if (strcmp (plan.next->controller, controller->self) != 0
      && now_ms < controller->yields_until_ms)
    {
      talloc_free (plan.next);
      return NULL;
    }
  if (strcmp (plan.next->controller, controller->self) != 0)
    return take_over_term (&plan);
  bd_plan_init (&plan);
  bd_plan_note_open_groups (&plan);
  bd_plan_end_drains (&plan);
  bd_plan_drain_surplus (&plan);
  bd_plan_drain_leaving (&plan);
  bd_controller_assign_spares (controller, plan.next, now_ms);
  bd_plan_repair_groups (&plan);
  bd_plan_roll_versions (&plan);
  bd_controller_assign_spares (controller, plan.next, now_ms);
  bd_plan_form_groups (&plan);
  bd_plan_preempt (&plan);
  if (plan.has_changed && bd_assignment_is_valid (plan.next))
    {
      plan.next->sequence++;
      return plan.next;
    }
  talloc_free (plan.next);
  return NULL;
}

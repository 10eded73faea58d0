/* The next allotment.  Each step works on a copy of the present one; the
   steps go from what frees instances to what takes them, so that one update
   can do both.  */

#include "groups/plan_internal.h"

#include <string.h>
#include <talloc.h>

static struct bd_allotment *
take_over (struct bd_plan *plan)
{
  bd_name_copy (plan->next->keeper, plan->keeper->self);
  plan->next->term++;
  plan->next->sequence++;
  return plan->next;
}

static struct bd_allotment *
first_allotment (const struct bd_keeper *keeper, void *ctx)
{
  struct bd_allotment *first = talloc_zero (ctx, struct bd_allotment);

  bd_name_copy (first->data_centre, keeper->data_centre);
  return first;
}

static bool
is_group_settled (const struct bd_keeper *keeper, const struct bd_group *group,
                  const struct bd_service *service, int64_t now_ms)
{
  if (service == NULL || !service->is_model || group->drain != BD_DRAIN_NONE
      || group->member_count != service->members
      || strcmp (group->version, service->version) != 0
      || strcmp (group->model, service->model) != 0)
    return false;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_unit *unit = bd_keeper_unit (keeper, group->members[i]);
      if (unit == NULL || !bd_unit_is_usable (keeper, unit, now_ms)
          || !bd_report_is_member (&unit->report, group->id,
                                   group->incarnation))
        return false;
    }
  return true;
}

static uint32_t
count_groups_of (const struct bd_allotment *allotment, const char *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < allotment->count; i++)
    if (strcmp (allotment->groups[i].service, service) == 0)
      count++;
  return count;
}

bool
bd_keeper_is_settled (const struct bd_keeper *keeper, int64_t now_ms)
{
  const struct bd_allotment *allotment = keeper->allotment;

  if (allotment == NULL || strcmp (allotment->keeper, keeper->self) != 0)
    return false;
  for (uint32_t i = 0; i < keeper->service_count; i++)
    if (keeper->services[i]->is_model
        && count_groups_of (allotment, keeper->services[i]->name)
               != keeper->services[i]->replicas)
      return false;
  for (uint32_t i = 0; i < allotment->count; i++)
    {
      const struct bd_group *group = &allotment->groups[i];
      const struct bd_service *service
          = bd_keeper_service (keeper, group->service);
      if (!is_group_settled (keeper, group, service, now_ms))
        return false;
    }
  return g_hash_table_size (keeper->short_since_ms) == 0;
}

struct bd_allotment *
bd_keeper_plan (struct bd_keeper *keeper, void *ctx, int64_t now_ms)
{
  struct bd_plan plan = { .keeper = keeper, .now_ms = now_ms };

  /* Most of the time there is nothing to do; finding that out is cheap.  */
  if (!keeper->is_chosen || bd_keeper_is_settled (keeper, now_ms))
    return NULL;
  plan.next = keeper->allotment != NULL
                  ? bd_allotment_clone (ctx, keeper->allotment)
                  : first_allotment (keeper, ctx);
  if (strcmp (plan.next->keeper, keeper->self) != 0
      && now_ms < keeper->yields_until_ms)
    {
      talloc_free (plan.next);
      return NULL;
    }
  if (strcmp (plan.next->keeper, keeper->self) != 0)
    return take_over (&plan);
  bd_plan_init (&plan);
  bd_plan_end_drains (&plan);
  bd_plan_drain_surplus (&plan);
  bd_plan_drain_leaving (&plan);
  bd_keeper_assign_spares (keeper, plan.next, now_ms);
  bd_plan_mend (&plan);
  bd_plan_roll_versions (&plan);
  bd_keeper_assign_spares (keeper, plan.next, now_ms);
  bd_plan_form (&plan);
  bd_plan_preempt (&plan);
  if (plan.has_changed && bd_allotment_check (plan.next))
    {
      plan.next->sequence++;
      return plan.next;
    }
  talloc_free (plan.next);
  return NULL;
}

/* Which weights the free instances hold in advance.  */

#include "groups/plan_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Marks units of one domain until needed of them hold or load the weights,
   those that do so already first.  */
static uint32_t
mark_warm (struct bd_plan *plan, const struct bd_service *service,
           const char *domain, uint32_t needed)
{
  uint32_t marked = 0;

  for (uint32_t pass = 0; pass < 2; pass++)
    for (uint32_t i = 0; i < plan->unit_count && marked < needed; i++)
      {
        struct bd_unit *unit = plan->units[i];
        bool has_weights
            = strcmp (unit->report.model, service->model) == 0
              && strcmp (unit->report.version, service->version) == 0;
        if (strcmp (unit->info.fabric_domain, domain) != 0
            || (pass == 0 && !has_weights)
            || !bd_unit_fits (plan->keeper, unit, service, plan->now_ms)
            || !bd_plan_is_free (plan, unit))
          continue;
        bd_name_copy (unit->warm_for, service->name);
        marked++;
      }
  return marked;
}

static void
clear_marks (struct bd_plan *plan)
{

  for (uint32_t i = 0; i < plan->unit_count; i++)
    plan->units[i]->warm_for[0] = '\0';
}

static void
mark_for_short_groups (struct bd_plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      uint32_t needed;
      if (strcmp (group->service, service->name) != 0)
        continue;
      needed = bd_plan_stand (plan, group, service).missing
               + (group->drain == BD_DRAIN_MEMBER
                      ? bd_plan_count_leaving (plan, group)
                      : 0);
      mark_warm (plan, service, group->domain, needed);
    }
}

static void
mark_for_new_groups (struct bd_plan *plan, const struct bd_service *service)
{
  for (uint32_t i = bd_plan_count_mendable (plan, service);
       i < service->replicas; i++)
    {
      const char *domain = bd_plan_choose_domain (plan, service, false);
      /* What is free where a lower priority makes room is kept for it.  */
      if (domain == NULL)
        domain = bd_plan_domain_to_clear (plan, service);
      if (domain == NULL)
        return;
      mark_warm (plan, service, domain, service->members);
    }
}

/* Every instance that is left over becomes a spare of the service with the
   highest priority that has a group in its domain.  */
static void
mark_spares (struct bd_plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    if (strcmp (plan->next->groups[i].service, service->name) == 0)
      mark_warm (plan, service, plan->next->groups[i].domain, UINT32_MAX);
}

/* Instances of domains without a group hold weights as well: they are what is
   left when a whole domain goes dark.  */
static void
mark_everywhere (struct bd_plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->domain_count && service->replicas > 0; i++)
    mark_warm (plan, service, plan->domains[i], UINT32_MAX);
}

void
bd_keeper_assign_spares (struct bd_keeper *keeper,
                         const struct bd_allotment *allotment, int64_t now_ms)
{
  struct bd_plan plan
      = { .keeper = keeper, .now_ms = now_ms, .skips_marked = true };
  const struct bd_service **sorted;

  plan.next = bd_allotment_clone (NULL, allotment);
  bd_plan_init (&plan);
  clear_marks (&plan);
  if (!keeper->policy->warms_spares)
    {
      talloc_free (plan.next);
      return;
    }
  sorted = bd_plan_services (&plan);
  for (uint32_t i = 0; i < keeper->service_count; i++)
    if (sorted[i]->is_model)
      {
        mark_for_short_groups (&plan, sorted[i]);
        mark_for_new_groups (&plan, sorted[i]);
      }
  for (uint32_t i = 0; i < keeper->service_count; i++)
    if (sorted[i]->is_model)
      mark_spares (&plan, sorted[i]);
  for (uint32_t i = 0; i < keeper->service_count; i++)
    if (sorted[i]->is_model)
      mark_everywhere (&plan, sorted[i]);
  talloc_free (plan.next);
}

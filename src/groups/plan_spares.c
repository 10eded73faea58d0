/* Selects the weights that free instances load in advance.  */

#include "groups/plan_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Sets warm_for of up to needed free instances of a domain to the service.
   Instances that already have or load its weights come first.  Returns how
   many were set.  */
static uint32_t
mark_instances (struct bd_plan *plan, const struct bd_service *service,
                const char *domain, uint32_t needed)
{
  uint32_t marked = 0;

  for (uint32_t pass = 0; pass < 2; pass++)
    for (uint32_t i = 0; i < plan->instance_count && marked < needed; i++)
      {
        struct bd_instance_state *instance = plan->instances[i];
        bool has_weights
            = strcmp (instance->report.model, service->model) == 0
              && strcmp (instance->report.version, service->version) == 0;
        if (strcmp (instance->info.fabric_domain, domain) != 0
            || (pass == 0 && !has_weights)
            || !bd_instance_fits_service (plan->controller, instance, service,
                                          plan->now_ms)
            || !bd_plan_is_free (plan, instance))
          continue;
        bd_name_copy (instance->warm_for, service->name);
        marked++;
      }
  return marked;
}

static void
clear_marks (struct bd_plan *plan)
{
  for (uint32_t i = 0; i < plan->instance_count; i++)
    plan->instances[i]->warm_for[0] = '\0';
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
      needed = bd_plan_group_health (plan, group, service).missing
               + (group->drain == BD_DRAIN_MEMBER
                      ? bd_plan_count_leaving (plan, group)
                      : 0);
      mark_instances (plan, service, group->domain, needed);
    }
}

static void
mark_for_new_groups (struct bd_plan *plan, const struct bd_service *service)
{
  for (uint32_t i = bd_plan_count_repairable (plan, service);
       i < service->replicas; i++)
    {
      const char *domain
          = bd_plan_choose_domain_for_group (plan, service, false);
      /* No domain has enough free instances: reserve those of a domain where
         groups of lower priorities will be preempted.  */
      if (domain == NULL)
        domain = bd_plan_domain_to_preempt (plan, service);
      if (domain == NULL)
        return;
      mark_instances (plan, service, domain, service->members);
    }
}

/* Makes the remaining free instances spares of the service, in the domains
   where it has a group.  The caller starts with the highest priority.  */
static void
mark_spares (struct bd_plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    if (strcmp (plan->next->groups[i].service, service->name) == 0)
      mark_instances (plan, service, plan->next->groups[i].domain, UINT32_MAX);
}

/* Also loads weights in domains without a group: these instances replace a
   domain that fails as a whole.  */
static void
mark_in_every_domain (struct bd_plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->domain_count && service->replicas > 0; i++)
    mark_instances (plan, service, plan->domains[i], UINT32_MAX);
}

void
bd_controller_assign_spares (struct bd_controller *controller,
                             const struct bd_assignment *assignment,
                             int64_t now_ms)
{
  struct bd_plan plan
      = { .controller = controller, .now_ms = now_ms, .skips_marked = true };
  const struct bd_service **sorted;

  plan.next = bd_assignment_clone (NULL, assignment);
  bd_plan_init (&plan);
  clear_marks (&plan);
  if (!controller->policy->warms_spares)
    {
      talloc_free (plan.next);
      return;
    }
  sorted = bd_plan_services_by_priority (&plan);
  for (uint32_t i = 0; i < controller->service_count; i++)
    if (sorted[i]->is_model)
      {
        mark_for_short_groups (&plan, sorted[i]);
        mark_for_new_groups (&plan, sorted[i]);
      }
  for (uint32_t i = 0; i < controller->service_count; i++)
    if (sorted[i]->is_model)
      mark_spares (&plan, sorted[i]);
  for (uint32_t i = 0; i < controller->service_count; i++)
    if (sorted[i]->is_model)
      mark_in_every_domain (&plan, sorted[i]);
  talloc_free (plan.next);
}

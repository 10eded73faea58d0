/* New groups, and preemption of groups of lower priorities.  */

#include "groups/plan_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
make_group_id (const struct bd_plan *plan, const struct bd_service *service,
               char id[BD_NAME_SIZE])
{
  for (uint32_t i = 0;; i++)
    {
      char name[3 * BD_NAME_SIZE];
      snprintf (name, sizeof name, "%u.%s.%s", i,
                plan->controller->data_centre, service->name);
      bd_name_copy (id, name);
      if (bd_assignment_find_group (plan->next, id) == NULL)
        return;
    }
}

static void
form_group (struct bd_plan *plan, const struct bd_service *service,
            const char *domain)
{
  char id[BD_NAME_SIZE];
  struct bd_group *group;

  make_group_id (plan, service, id);
  group = bd_assignment_add_group (plan->next, service->members);
  bd_name_copy (group->id, id);
  bd_name_copy (group->service, service->name);
  bd_name_copy (group->model, service->model);
  bd_name_copy (group->version, service->version);
  bd_name_copy (group->domain, domain);
  for (uint32_t i = 0; i < service->members; i++)
    {
      struct bd_instance_state *instance
          = bd_plan_find_spare (plan, domain, service, false);
      bd_name_copy (group->members[i], instance->info.name);
      instance->is_assigned = true;
    }
  bd_plan_bump_incarnation (plan, group);
}

/* Removes one unrepairable group, which a new one replaces.  */
static void
remove_unrepairable_group (struct bd_plan *plan,
                           const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      if (strcmp (group->service, service->name) == 0
          && bd_plan_is_unrepairable (plan, group, service))
        {
          bd_plan_remove_group (plan, i);
          return;
        }
    }
}

static void
form_groups_of (struct bd_plan *plan, const struct bd_service *service)
{
  bool is_warm_required = plan->controller->policy->warms_spares;
  const char *domain;

  while (bd_plan_count_repairable (plan, service) < service->replicas
         && (domain = bd_plan_choose_domain_for_group (plan, service,
                                                       is_warm_required))
                != NULL)
    {
      if (bd_plan_count_groups (plan, service) >= service->replicas)
        remove_unrepairable_group (plan, service);
      form_group (plan, service, domain);
    }
}

void
bd_plan_form_groups (struct bd_plan *plan)
{
  const struct bd_service **sorted = bd_plan_services_by_priority (plan);

  for (uint32_t i = 0; i < plan->controller->service_count; i++)
    if (sorted[i]->is_model)
      form_groups_of (plan, sorted[i]);
}

/* Returns the number of instances in the domain that are free or in groups of
   a lower priority.  Sets *victim to the index of the group with the lowest
   priority, or to UINT32_MAX.  */
static uint32_t
count_preemptible (const struct bd_plan *plan, const char *domain,
                   const struct bd_service *service, uint32_t *victim)
{
  uint32_t count = bd_plan_count_free (plan, domain, service, false);
  uint32_t lowest = service->priority;

  *victim = UINT32_MAX;
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      const struct bd_service *owner
          = bd_controller_find_service (plan->controller, group->service);
      if (owner == NULL || owner->priority >= service->priority
          || strcmp (owner->pool, service->pool) != 0
          || strcmp (group->domain, domain) != 0)
        continue;
      count += group->member_count;
      if (owner->priority < lowest)
        {
          lowest = owner->priority;
          *victim = i;
        }
    }
  return count;
}

static bool
is_group_removal_pending (const struct bd_plan *plan, const char *domain)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    if (plan->next->groups[i].drain == BD_DRAIN_REMOVE
        && strcmp (plan->next->groups[i].domain, domain) == 0)
      return true;
  return false;
}

/* Drains the group with the lowest priority in the domain if preemption can
   give the service the needed instances.  Returns whether a group of the
   domain is being removed.  */
static bool
preempt_in_domain (struct bd_plan *plan, const struct bd_service *service,
                   const char *domain, uint32_t needed)
{
  uint32_t victim;

  if (is_group_removal_pending (plan, domain))
    return true;
  if (bd_plan_count_free (plan, domain, service, false) >= needed
      || count_preemptible (plan, domain, service, &victim) < needed
      || victim == UINT32_MAX)
    return false;
  bd_plan_start_drain (plan, &plan->next->groups[victim], BD_DRAIN_REMOVE);
  return true;
}

const char *
bd_plan_domain_to_preempt (const struct bd_plan *plan,
                           const struct bd_service *service)
{
  uint32_t victim;

  for (uint32_t i = 0; i < plan->domain_count; i++)
    if (count_preemptible (plan, plan->domains[i], service, &victim)
        >= service->members)
      return plan->domains[i];
  return NULL;
}

static void
preempt_for_new_group (struct bd_plan *plan, const struct bd_service *service)
{
  if (bd_plan_count_repairable (plan, service) >= service->replicas
      || bd_plan_choose_domain_for_group (plan, service, false) != NULL)
    return;
  for (uint32_t i = 0; i < plan->domain_count; i++)
    if (preempt_in_domain (plan, service, plan->domains[i], service->members))
      return;
}

/* Preempts groups for members that have been missing for dead_after_ms, which
   is longer than a short pause of an instance.  */
static void
preempt_for_repair (struct bd_plan *plan)
{
  const struct bd_controller *controller = plan->controller;

  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      const struct bd_service *service
          = bd_controller_find_service (controller, group->service);
      const int64_t *since
          = g_hash_table_lookup (controller->short_since_ms, group->id);
      if (service == NULL || since == NULL || group->drain != BD_DRAIN_NONE
          || plan->now_ms - *since < controller->limits.dead_after_ms)
        continue;
      preempt_in_domain (plan, service, group->domain,
                         bd_plan_group_health (plan, group, service).missing);
    }
}

void
bd_plan_preempt (struct bd_plan *plan)
{
  const struct bd_service **sorted = bd_plan_services_by_priority (plan);

  preempt_for_repair (plan);
  for (uint32_t i = 0; i < plan->controller->service_count; i++)
    if (sorted[i]->is_model)
      preempt_for_new_group (plan, sorted[i]);
}

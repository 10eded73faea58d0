/* The state of a plan: the health of groups and the free instances.  */

#include "groups/plan_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static int
compare_instance_names (const void *a, const void *b)
{
  return strcmp ((*(struct bd_instance_state *const *)a)->info.name,
                 (*(struct bd_instance_state *const *)b)->info.name);
}

static void
add_domain (struct bd_plan *plan, const char *domain)
{
  for (uint32_t i = 0; i < plan->domain_count; i++)
    if (strcmp (plan->domains[i], domain) == 0)
      return;
  plan->domains[plan->domain_count++] = domain;
}

void
bd_plan_init (struct bd_plan *plan)
{
  uint32_t size = g_hash_table_size (plan->controller->instances);
  GHashTableIter iter;
  gpointer value;

  plan->instances
      = talloc_array (plan->next, struct bd_instance_state *, size + 1);
  plan->domains = talloc_array (plan->next, const char *, size + 1);
  g_hash_table_iter_init (&iter, plan->controller->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    plan->instances[plan->instance_count++] = value;
  qsort (plan->instances, plan->instance_count, sizeof *plan->instances,
         compare_instance_names);
  for (uint32_t i = 0; i < plan->instance_count; i++)
    add_domain (plan, plan->instances[i]->info.fabric_domain);
  bd_plan_update_assigned (plan);
}

void
bd_plan_update_assigned (struct bd_plan *plan)
{
  for (uint32_t i = 0; i < plan->instance_count; i++)
    plan->instances[i]->is_assigned = false;
  for (uint32_t g = 0; g < plan->next->count; g++)
    for (uint32_t m = 0; m < plan->next->groups[g].member_count; m++)
      {
        struct bd_instance_state *instance
            = bd_plan_member (plan, &plan->next->groups[g], m);
        if (instance != NULL)
          instance->is_assigned = true;
      }
}

bool
bd_plan_is_free (const struct bd_plan *plan,
                 const struct bd_instance_state *instance)
{
  return !instance->is_assigned
         && !(plan->skips_marked && instance->warm_for[0] != '\0');
}

struct bd_instance_state *
bd_plan_member (const struct bd_plan *plan, const struct bd_group *group,
                uint32_t i)
{
  return bd_controller_find_instance (plan->controller, group->members[i]);
}

/* Whether the member has to load the group's weights before it can serve.  */
static bool
is_cold (const struct bd_group *group,
         const struct bd_instance_state *instance)
{
  return !bd_report_has_loaded (&instance->report, group->model,
                                group->version);
}

/* Whether the member has joined this incarnation of the group and no longer
   reports it, because it has restarted.  A report that can be of a state from
   before the join does not show that.  */
static bool
has_lost_membership (const struct bd_plan *plan, const struct bd_group *group,
                     const struct bd_instance_state *instance)
{
  return instance->joined_incarnation == group->incarnation
         && !bd_report_is_member (&instance->report, group->id,
                                  group->incarnation)
         && instance->last_received_ms - instance->joined_ms
                > plan->controller->limits.report_lag_ms;
}

bool
bd_plan_is_missing (const struct bd_plan *plan, const struct bd_group *group,
                    const struct bd_instance_state *instance)
{
  return bd_instance_is_silent (plan->controller, instance, plan->now_ms)
         || (has_lost_membership (plan, group, instance)
             && is_cold (group, instance));
}

/* Whether the free instance is reserved for a service of a higher priority.
 */
static bool
is_reserved (const struct bd_plan *plan,
             const struct bd_instance_state *instance,
             const struct bd_service *service)
{
  const struct bd_service *owner
      = bd_controller_find_service (plan->controller, instance->warm_for);

  return owner != NULL && !plan->skips_marked
         && owner->priority > service->priority;
}

/* Whether the service can use the instance: free, in the domain, in the
   service's pool, usable, and not reserved for a higher priority.  */
static bool
is_available (const struct bd_plan *plan,
              const struct bd_instance_state *instance, const char *domain,
              const struct bd_service *service)
{
  return strcmp (instance->info.fabric_domain, domain) == 0
         && bd_plan_is_free (plan, instance)
         && bd_instance_fits_service (plan->controller, instance, service,
                                      plan->now_ms)
         && !is_reserved (plan, instance, service);
}

void
bd_plan_count_spares (const struct bd_plan *plan, const struct bd_group *group,
                      const struct bd_service *service,
                      struct bd_group_health *out)
{
  for (uint32_t i = 0; i < plan->instance_count; i++)
    {
      const struct bd_instance_state *instance = plan->instances[i];
      if (!is_available (plan, instance, group->domain, service))
        continue;
      if (bd_instance_is_warm (instance, service))
        out->warm_spares++;
      else
        out->cold_spares++;
    }
}

struct bd_group_health
bd_plan_group_health (const struct bd_plan *plan, const struct bd_group *group,
                      const struct bd_service *service)
{
  struct bd_group_health out = { 0 };

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_instance_state *instance
          = bd_plan_member (plan, group, i);
      if (bd_instance_is_silent (plan->controller, instance, plan->now_ms))
        out.lost++;
      else if (has_lost_membership (plan, group, instance))
        out.has_restarted = true;
      if (bd_plan_is_missing (plan, group, instance))
        out.missing++;
    }
  bd_plan_count_spares (plan, group, service, &out);
  return out;
}

void
bd_plan_bump_incarnation (struct bd_plan *plan, struct bd_group *group)
{
  group->incarnation = plan->next->sequence + 1;
  g_hash_table_remove (plan->controller->open_since_ms, group->id);
  plan->has_changed = true;
  bd_plan_update_assigned (plan);
}

int64_t
bd_plan_elapsed_ms (GHashTable *since_ms, const char *id, int64_t now_ms)
{
  int64_t *since = g_hash_table_lookup (since_ms, id);

  if (since == NULL)
    {
      since = g_new (int64_t, 1);
      *since = now_ms;
      g_hash_table_insert (since_ms, g_strdup (id), since);
    }
  return now_ms - *since;
}

void
bd_plan_start_drain (struct bd_plan *plan, struct bd_group *group,
                     enum bd_drain drain)
{
  group->drain = drain;
  /* The drain counts from the first plan on an assignment that has it.  */
  g_hash_table_remove (plan->controller->drain_since_ms, group->id);
  plan->has_changed = true;
}

void
bd_plan_note_open_groups (struct bd_plan *plan)
{
  struct bd_controller *controller = plan->controller;

  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      if (bd_controller_is_group_open (controller, group, plan->now_ms))
        bd_plan_elapsed_ms (controller->open_since_ms, group->id,
                            plan->now_ms);
      else
        g_hash_table_remove (controller->open_since_ms, group->id);
    }
}

bool
bd_plan_is_known_open (const struct bd_plan *plan,
                       const struct bd_group *group)
{
  const int64_t *since
      = g_hash_table_lookup (plan->controller->open_since_ms, group->id);

  return since != NULL
         && plan->now_ms - *since >= plan->controller->limits.drain_ms;
}

void
bd_plan_remove_group (struct bd_plan *plan, uint32_t index)
{
  const char *id = plan->next->groups[index].id;

  g_hash_table_remove (plan->controller->short_since_ms, id);
  g_hash_table_remove (plan->controller->drain_since_ms, id);
  g_hash_table_remove (plan->controller->open_since_ms, id);
  bd_assignment_remove_group (plan->next, index);
  plan->has_changed = true;
  bd_plan_update_assigned (plan);
}

struct bd_instance_state *
bd_plan_find_spare (const struct bd_plan *plan, const char *domain,
                    const struct bd_service *service, bool is_warm_required)
{
  struct bd_instance_state *best = NULL;

  for (uint32_t i = 0; i < plan->instance_count; i++)
    {
      struct bd_instance_state *instance = plan->instances[i];
      bool is_warm = bd_instance_is_warm (instance, service);
      if (!is_available (plan, instance, domain, service)
          || (is_warm_required && !is_warm))
        continue;
      if (best == NULL || (is_warm && !bd_instance_is_warm (best, service))
          || (is_warm == bd_instance_is_warm (best, service)
              && strcmp (instance->info.name, best->info.name) < 0))
        best = instance;
    }
  return best;
}

bool
bd_plan_is_leaving (const struct bd_instance_state *instance)
{
  return instance != NULL
         && (instance->info.is_leaving || !instance->is_listed);
}

uint32_t
bd_plan_count_leaving (const struct bd_plan *plan,
                       const struct bd_group *group)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->member_count; i++)
    if (bd_plan_is_leaving (bd_plan_member (plan, group, i)))
      count++;
  return count;
}

bool
bd_plan_replace_members (struct bd_plan *plan, struct bd_group *group,
                         const struct bd_service *service)
{
  bool has_replaced = false;

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      struct bd_instance_state *instance = bd_plan_member (plan, group, i);
      struct bd_instance_state *spare;
      if (!bd_plan_is_missing (plan, group, instance)
          && !bd_plan_is_leaving (instance))
        continue;
      spare = bd_plan_find_spare (plan, group->domain, service, true);
      if (spare == NULL)
        continue;
      bd_name_copy (group->members[i], spare->info.name);
      bd_plan_update_assigned (plan);
      has_replaced = true;
    }
  if (has_replaced)
    bd_plan_bump_incarnation (plan, group);
  return has_replaced;
}

uint32_t
bd_plan_count_groups (const struct bd_plan *plan,
                      const struct bd_service *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->next->count; i++)
    if (strcmp (plan->next->groups[i].service, service->name) == 0
        && plan->next->groups[i].drain != BD_DRAIN_REMOVE)
      count++;
  return count;
}

bool
bd_plan_is_unrepairable (const struct bd_plan *plan,
                         const struct bd_group *group,
                         const struct bd_service *service)
{
  struct bd_group_health health = bd_plan_group_health (plan, group, service);

  return health.lost > 0
         && health.lost > health.warm_spares + health.cold_spares;
}

uint32_t
bd_plan_count_repairable (const struct bd_plan *plan,
                          const struct bd_service *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      if (strcmp (group->service, service->name) == 0
          && group->drain != BD_DRAIN_REMOVE
          && !bd_plan_is_unrepairable (plan, group, service))
        count++;
    }
  return count;
}

uint32_t
bd_plan_count_free (const struct bd_plan *plan, const char *domain,
                    const struct bd_service *service, bool is_warm_required)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->instance_count; i++)
    {
      const struct bd_instance_state *instance = plan->instances[i];
      if (is_available (plan, instance, domain, service)
          && (!is_warm_required || bd_instance_is_warm (instance, service)))
        count++;
    }
  return count;
}

/* The free instances of a domain that a new group can use.  */
struct domain_capacity
{
  const char *domain;
  uint32_t warm; /* Those with the weights, at most the members needed.  */
  uint32_t free;
};

static bool
is_better_domain (const struct domain_capacity *a,
                  const struct domain_capacity *b)
{
  if (b->domain == NULL || a->warm != b->warm)
    return b->domain == NULL || a->warm > b->warm;
  if (a->free != b->free)
    return a->free > b->free;
  return strcmp (a->domain, b->domain) < 0;
}

const char *
bd_plan_choose_domain_for_group (const struct bd_plan *plan,
                                 const struct bd_service *service,
                                 bool is_warm_required)
{
  struct domain_capacity best = { 0 };

  for (uint32_t i = 0; i < plan->domain_count; i++)
    {
      struct domain_capacity domain_capacity = { .domain = plan->domains[i] };

      domain_capacity.free
          = bd_plan_count_free (plan, domain_capacity.domain, service, false);
      domain_capacity.warm
          = bd_plan_count_free (plan, domain_capacity.domain, service, true);
      if (domain_capacity.warm > service->members)
        domain_capacity.warm = service->members;
      if ((is_warm_required ? domain_capacity.warm : domain_capacity.free)
              >= service->members
          && is_better_domain (&domain_capacity, &best))
        best = domain_capacity;
    }
  return best.domain;
}

/* Sorts by descending priority, then by name.  */
static int
compare_priority (const void *a, const void *b)
{
  const struct bd_service *const *left = a;
  const struct bd_service *const *right = b;

  if ((*left)->priority != (*right)->priority)
    return (*left)->priority > (*right)->priority ? -1 : 1;
  return strcmp ((*left)->name, (*right)->name);
}

const struct bd_service **
bd_plan_services_by_priority (const struct bd_plan *plan)
{
  uint32_t count = plan->controller->service_count;
  const struct bd_service **sorted
      = talloc_array (plan->next, const struct bd_service *, count + 1);

  for (uint32_t i = 0; i < count; i++)
    sorted[i] = plan->controller->services[i];
  qsort (sorted, count, sizeof *sorted, compare_priority);
  return sorted;
}

/* The next allotment: drains, mends, rolls and forms groups.

   Each step works on a copy of the present allotment.  The steps go from what
   frees instances to what takes them, so that one update can do both.  */

#include "groups/keeper_internal.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

struct plan
{
  struct bd_keeper *keeper;
  struct bd_allotment *next;
  int64_t now_ms;
  bool has_changed;
};

/* How a group stands at this moment.  */
struct standing
{
  uint32_t missing;     /* Members lost, or back without their weights.  */
  uint32_t lost;        /* Members that do not answer.  */
  bool has_restarted;   /* A member is back and has forgotten the group.  */
  uint32_t warm_spares; /* Free in the same domain, with the weights.  */
  uint32_t cold_spares;
};

static struct bd_unit *
member_unit (const struct plan *plan, const struct bd_group *group, uint32_t i)
{
  return bd_keeper_unit (plan->keeper, group->members[i]);
}

static bool
is_free (const struct plan *plan, const struct bd_unit *unit)
{
  return bd_allotment_group_of (plan->next, unit->info.name) == NULL;
}

/* A member that cannot serve before it has loaded its weights.  */
static bool
is_cold (const struct bd_group *group, const struct bd_unit *unit)
{
  return !bd_report_holds (&unit->report, group->model, group->version);
}

static bool
has_forgotten (const struct bd_group *group, const struct bd_unit *unit)
{
  return unit->joined_incarnation == group->incarnation
         && !bd_report_is_member (&unit->report, group->id,
                                  group->incarnation);
}

static bool
is_missing (const struct plan *plan, const struct bd_group *group,
            const struct bd_unit *unit)
{
  return bd_unit_is_lost (plan->keeper, unit, plan->now_ms)
         || (has_forgotten (group, unit) && is_cold (group, unit));
}

static void
count_spares (const struct plan *plan, const struct bd_group *group,
              const struct bd_service *service, struct standing *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plan->keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_unit *unit = value;
      if (strcmp (unit->info.fabric_domain, group->domain) != 0
          || !bd_unit_fits (plan->keeper, unit, service, plan->now_ms)
          || !is_free (plan, unit))
        continue;
      if (bd_unit_is_warm (unit, service))
        out->warm_spares++;
      else
        out->cold_spares++;
    }
}

static struct standing
stand (const struct plan *plan, const struct bd_group *group,
       const struct bd_service *service)
{
  struct standing out = { 0 };

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_unit *unit = member_unit (plan, group, i);
      if (bd_unit_is_lost (plan->keeper, unit, plan->now_ms))
        out.lost++;
      else if (has_forgotten (group, unit))
        out.has_restarted = true;
      if (is_missing (plan, group, unit))
        out.missing++;
    }
  count_spares (plan, group, service, &out);
  return out;
}

static void
renew (struct plan *plan, struct bd_group *group)
{
  group->incarnation = plan->next->sequence + 1;
  plan->has_changed = true;
}

/* Since when something has held for a group; 0 passed when it is new.  */
static int64_t
time_in (GHashTable *since_ms, const char *id, int64_t now_ms)
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

static void
start_drain (struct plan *plan, struct bd_group *group, enum bd_drain drain)
{
  group->drain = drain;
  g_hash_table_remove (plan->keeper->drain_since_ms, group->id);
  time_in (plan->keeper->drain_since_ms, group->id, plan->now_ms);
  plan->has_changed = true;
}

static void
remove_group (struct plan *plan, uint32_t index)
{
  const char *id = plan->next->groups[index].id;

  g_hash_table_remove (plan->keeper->short_since_ms, id);
  g_hash_table_remove (plan->keeper->drain_since_ms, id);
  bd_allotment_remove (plan->next, index);
  plan->has_changed = true;
}

/* The best free instance of the domain: one that holds the weights first.  */
static struct bd_unit *
take_spare (const struct plan *plan, const char *domain,
            const struct bd_service *service, bool must_be_warm)
{
  struct bd_unit *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plan->keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_unit *unit = value;
      bool is_warm = bd_unit_is_warm (unit, service);
      if (strcmp (unit->info.fabric_domain, domain) != 0
          || !bd_unit_fits (plan->keeper, unit, service, plan->now_ms)
          || !is_free (plan, unit) || (must_be_warm && !is_warm))
        continue;
      if (best == NULL || (is_warm && !bd_unit_is_warm (best, service))
          || (is_warm == bd_unit_is_warm (best, service)
              && strcmp (unit->info.name, best->info.name) < 0))
        best = unit;
    }
  return best;
}

static bool
is_leaving (const struct bd_unit *unit)
{
  return unit != NULL && (unit->info.is_leaving || !unit->is_listed);
}

/* Puts spares in the places of members that are missing or leaving; returns
   whether a place was filled.  */
static bool
replace_members (struct plan *plan, struct bd_group *group,
                 const struct bd_service *service)
{
  bool has_replaced = false;

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      struct bd_unit *unit = member_unit (plan, group, i);
      struct bd_unit *spare;
      if (!is_missing (plan, group, unit) && !is_leaving (unit))
        continue;
      spare = take_spare (plan, group->domain, service, true);
      if (spare == NULL)
        continue;
      bd_name_copy (group->members[i], spare->info.name);
      has_replaced = true;
    }
  if (has_replaced)
    renew (plan, group);
  return has_replaced;
}

static bool
is_drained (const struct plan *plan, const struct bd_group *group)
{
  const struct bd_unit *leader = member_unit (plan, group, 0);
  int64_t drained_ms
      = time_in (plan->keeper->drain_since_ms, group->id, plan->now_ms);
  bool is_gone = bd_unit_is_lost (plan->keeper, leader, plan->now_ms);

  if (drained_ms < plan->keeper->limits.drain_ms)
    return false;
  return is_gone || leader->report.running == 0
         || strcmp (leader->report.group, group->id) != 0;
}

static uint32_t
count_leaving (const struct plan *plan, const struct bd_group *group)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->member_count; i++)
    if (is_leaving (member_unit (plan, group, i)))
      count++;
  return count;
}

/* Ends a drain whose group is empty of work.  Returns true when the group
   was removed.  */
static bool
end_drain (struct plan *plan, uint32_t index)
{
  struct bd_group *group = &plan->next->groups[index];
  const struct bd_service *service
      = bd_keeper_service (plan->keeper, group->service);
  struct standing standing = { 0 };

  if (service == NULL || group->drain == BD_DRAIN_REMOVE)
    {
      remove_group (plan, index);
      return true;
    }
  if (group->drain == BD_DRAIN_VERSION)
    {
      bd_name_copy (group->model, service->model);
      bd_name_copy (group->version, service->version);
      group->drain = BD_DRAIN_NONE;
      renew (plan, group);
      return false;
    }
  count_spares (plan, group, service, &standing);
  if (standing.warm_spares + standing.cold_spares
      < count_leaving (plan, group))
    {
      remove_group (plan, index);
      return true;
    }
  /* Spares that are still loading are waited for.  */
  if (standing.warm_spares >= count_leaving (plan, group)
      && replace_members (plan, group, service))
    group->drain = BD_DRAIN_NONE;
  return false;
}

static void
end_drains (struct plan *plan)
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

/* Groups of a service that are meant to stay.  */
static uint32_t
count_groups (const struct plan *plan, const struct bd_service *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->next->count; i++)
    if (strcmp (plan->next->groups[i].service, service->name) == 0
        && plan->next->groups[i].drain != BD_DRAIN_REMOVE)
      count++;
  return count;
}

/* Starts to remove groups that no service wants, those out of service
   first.  */
static void
drain_surplus (struct plan *plan)
{
  for (uint32_t pass = 0; pass < 2; pass++)
    for (uint32_t i = plan->next->count; i-- > 0;)
      {
        struct bd_group *group = &plan->next->groups[i];
        const struct bd_service *service
            = bd_keeper_service (plan->keeper, group->service);
        bool is_surplus = service == NULL || !service->is_model
                          || group->member_count != service->members
                          || count_groups (plan, service) > service->replicas;
        bool is_open = bd_keeper_is_open (plan->keeper, group, plan->now_ms);
        if (group->drain != BD_DRAIN_NONE || !is_surplus
            || (pass == 0 && is_open))
          continue;
        start_drain (plan, group, BD_DRAIN_REMOVE);
      }
}

static bool
has_other_version (const struct bd_group *group,
                   const struct bd_service *service)
{
  return strcmp (group->version, service->version) != 0
         || strcmp (group->model, service->model) != 0;
}

/* Whether another group of the service is under way already.  */
static bool
is_rolling (const struct plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      if (strcmp (group->service, service->name) != 0)
        continue;
      if (group->drain == BD_DRAIN_VERSION)
        return true;
      if (!has_other_version (group, service)
          && !bd_keeper_is_open (plan->keeper, group, plan->now_ms)
          && stand (plan, group, service).lost == 0)
        return true;
    }
  return false;
}

static void
roll_versions (struct plan *plan)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      struct bd_group *group = &plan->next->groups[i];
      const struct bd_service *service
          = bd_keeper_service (plan->keeper, group->service);
      if (service != NULL && group->drain == BD_DRAIN_NONE
          && has_other_version (group, service) && !is_rolling (plan, service))
        start_drain (plan, group, BD_DRAIN_VERSION);
    }
}

static void
drain_leaving (struct plan *plan)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      struct bd_group *group = &plan->next->groups[i];
      if (group->drain != BD_DRAIN_NONE)
        continue;
      for (uint32_t m = 0; m < group->member_count; m++)
        {
          const struct bd_unit *unit = member_unit (plan, group, m);
          if (is_leaving (unit)
              && !bd_unit_is_lost (plan->keeper, unit, plan->now_ms))
            {
              start_drain (plan, group, BD_DRAIN_MEMBER);
              break;
            }
        }
    }
}

/* Whether the survivors of this group could complete a better one of the
   same service in the same domain.  */
static bool
can_complete_another (const struct plan *plan, const struct bd_group *group,
                      const struct bd_service *service,
                      const struct standing *standing)
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
      missing = stand (plan, other, service).missing;
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
mend_group (struct plan *plan, uint32_t index)
{
  struct bd_keeper *keeper = plan->keeper;
  struct bd_group *group = &plan->next->groups[index];
  const struct bd_service *service
      = bd_keeper_service (keeper, group->service);
  struct standing standing;
  enum bd_mend choice;

  if (service == NULL || group->drain != BD_DRAIN_NONE)
    return false;
  standing = stand (plan, group, service);
  if (standing.missing == 0)
    {
      g_hash_table_remove (keeper->short_since_ms, group->id);
      if (standing.has_restarted)
        renew (plan, group);
      return false;
    }
  choice = keeper->policy->choose (
      keeper, group, standing.missing, standing.warm_spares,
      standing.cold_spares,
      time_in (keeper->short_since_ms, group->id, plan->now_ms));
  if (choice == BD_MEND_WAIT && keeper->policy->warms_spares
      && can_complete_another (plan, group, service, &standing))
    choice = BD_MEND_DISSOLVE;
  if (choice == BD_MEND_DISSOLVE)
    {
      remove_group (plan, index);
      return true;
    }
  if (choice == BD_MEND_REPLACE && replace_members (plan, group, service))
    return false;
  /* A member that came back empty loads again within the group; the others
     have to join it anew.  */
  if (standing.has_restarted)
    renew (plan, group);
  return false;
}

static void
mend_groups (struct plan *plan)
{
  uint32_t i = 0;

  while (i < plan->next->count)
    if (!mend_group (plan, i))
      i++;
}

/* Whether a group is out of service with no mend in its own domain.  */
static bool
is_beyond_mending (const struct plan *plan, const struct bd_group *group,
                   const struct bd_service *service)
{
  struct standing standing = stand (plan, group, service);

  return standing.lost > 0
         && standing.lost > standing.warm_spares + standing.cold_spares;
}

static uint32_t
count_mendable_groups (const struct plan *plan,
                       const struct bd_service *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      if (strcmp (group->service, service->name) == 0
          && group->drain != BD_DRAIN_REMOVE
          && !is_beyond_mending (plan, group, service))
        count++;
    }
  return count;
}

static uint32_t
count_free (const struct plan *plan, const char *domain,
            const struct bd_service *service, bool must_be_warm)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plan->keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_unit *unit = value;
      if (strcmp (unit->info.fabric_domain, domain) == 0
          && bd_unit_fits (plan->keeper, unit, service, plan->now_ms)
          && is_free (plan, unit)
          && (!must_be_warm || bd_unit_is_warm (unit, service)))
        count++;
    }
  return count;
}

/* Room that a domain has for one more group.  */
struct room
{
  const char *domain;
  uint32_t warm; /* Instances with the weights, at most those needed.  */
  uint32_t free;
};

static bool
is_better_room (const struct room *a, const struct room *b)
{
  if (b->domain == NULL || a->warm != b->warm)
    return b->domain == NULL || a->warm > b->warm;
  if (a->free != b->free)
    return a->free > b->free;
  return strcmp (a->domain, b->domain) < 0;
}

/* The domain for one more group: the least to load, then the most left over,
   so that spares stay spread.  NULL when none has room.  */
static const char *
choose_domain (const struct plan *plan, const struct bd_service *service,
               bool must_be_warm)
{
  struct room best = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plan->keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct room room
          = { .domain = ((struct bd_unit *)value)->info.fabric_domain };
      if (best.domain != NULL && strcmp (best.domain, room.domain) == 0)
        continue;
      room.free = count_free (plan, room.domain, service, false);
      room.warm = count_free (plan, room.domain, service, true);
      if (room.warm > service->members)
        room.warm = service->members;
      if ((must_be_warm ? room.warm : room.free) >= service->members
          && is_better_room (&room, &best))
        best = room;
    }
  return best.domain;
}

static void
make_group_id (const struct plan *plan, const struct bd_service *service,
               char id[BD_NAME_SIZE])
{
  for (uint32_t i = 0;; i++)
    {
      char name[3 * BD_NAME_SIZE];
      snprintf (name, sizeof name, "%u.%s.%s", i, plan->keeper->data_centre,
                service->name);
      bd_name_copy (id, name);
      if (bd_allotment_find (plan->next, id) == NULL)
        return;
    }
}

static void
form_group (struct plan *plan, const struct bd_service *service,
            const char *domain)
{
  char id[BD_NAME_SIZE];
  struct bd_group *group;

  make_group_id (plan, service, id);
  group = bd_allotment_add (plan->next, service->members);
  bd_name_copy (group->id, id);
  bd_name_copy (group->service, service->name);
  bd_name_copy (group->model, service->model);
  bd_name_copy (group->version, service->version);
  bd_name_copy (group->domain, domain);
  for (uint32_t i = 0; i < service->members; i++)
    {
      struct bd_unit *unit = take_spare (plan, domain, service, false);
      bd_name_copy (group->members[i], unit->info.name);
    }
  renew (plan, group);
}

/* Removes one group that the new one stands in for.  */
static void
remove_one_beyond_mending (struct plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      if (strcmp (group->service, service->name) == 0
          && is_beyond_mending (plan, group, service))
        {
          remove_group (plan, i);
          return;
        }
    }
}

static void
form_groups_of (struct plan *plan, const struct bd_service *service)
{
  bool must_be_warm = plan->keeper->policy->warms_spares;
  const char *domain;

  while (count_mendable_groups (plan, service) < service->replicas
         && (domain = choose_domain (plan, service, must_be_warm)) != NULL)
    {
      if (count_groups (plan, service) >= service->replicas)
        remove_one_beyond_mending (plan, service);
      form_group (plan, service, domain);
    }
}

/* Services from the highest priority down.  */
static int
compare_priority (const void *a, const void *b)
{
  const struct bd_service *const *left = a;
  const struct bd_service *const *right = b;

  if ((*left)->priority != (*right)->priority)
    return (*left)->priority > (*right)->priority ? -1 : 1;
  return strcmp ((*left)->name, (*right)->name);
}

static const struct bd_service **
services_by_priority (const struct plan *plan)
{
  uint32_t count = plan->keeper->service_count;
  const struct bd_service **sorted
      = talloc_array (plan->next, const struct bd_service *, count + 1);

  for (uint32_t i = 0; i < count; i++)
    sorted[i] = plan->keeper->services[i];
  qsort (sorted, count, sizeof *sorted, compare_priority);
  return sorted;
}

static void
form_groups (struct plan *plan)
{
  const struct bd_service **sorted = services_by_priority (plan);

  for (uint32_t i = 0; i < plan->keeper->service_count; i++)
    if (sorted[i]->is_model)
      form_groups_of (plan, sorted[i]);
}

/* Instances of the domain that service could have: free ones and those of
   groups with a lower priority.  */
static uint32_t
count_takeable (const struct plan *plan, const char *domain,
                const struct bd_service *service, uint32_t *victim)
{
  uint32_t count = count_free (plan, domain, service, false);
  uint32_t lowest = service->priority;

  *victim = UINT32_MAX;
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      const struct bd_service *owner
          = bd_keeper_service (plan->keeper, group->service);
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
is_removing (const struct plan *plan, const char *domain)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    if (plan->next->groups[i].drain == BD_DRAIN_REMOVE
        && strcmp (plan->next->groups[i].domain, domain) == 0)
      return true;
  return false;
}

/* Drains a group of a lower priority in domain, when that can help service to
   needed instances.  */
static bool
preempt_in (struct plan *plan, const struct bd_service *service,
            const char *domain, uint32_t needed)
{
  uint32_t victim;

  if (is_removing (plan, domain))
    return true;
  if (count_free (plan, domain, service, false) >= needed
      || count_takeable (plan, domain, service, &victim) < needed
      || victim == UINT32_MAX)
    return false;
  start_drain (plan, &plan->next->groups[victim], BD_DRAIN_REMOVE);
  return true;
}

static void
preempt_for_new_group (struct plan *plan, const struct bd_service *service)
{
  GHashTableIter iter;
  gpointer value;

  if (count_mendable_groups (plan, service) >= service->replicas
      || choose_domain (plan, service, false) != NULL)
    return;
  g_hash_table_iter_init (&iter, plan->keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (preempt_in (plan, service,
                    ((struct bd_unit *)value)->info.fabric_domain,
                    service->members))
      return;
}

/* A group that is short for longer than a pause lasts takes its spare from a
   lower priority.  */
static void
preempt_for_mending (struct plan *plan)
{
  const struct bd_keeper *keeper = plan->keeper;

  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      const struct bd_service *service
          = bd_keeper_service (keeper, group->service);
      const int64_t *since
          = g_hash_table_lookup (keeper->short_since_ms, group->id);
      if (service == NULL || since == NULL || group->drain != BD_DRAIN_NONE
          || plan->now_ms - *since < keeper->limits.dead_after_ms)
        continue;
      preempt_in (plan, service, group->domain,
                  stand (plan, group, service).missing);
    }
}

static void
preempt (struct plan *plan)
{
  const struct bd_service **sorted = services_by_priority (plan);

  preempt_for_mending (plan);
  for (uint32_t i = 0; i < plan->keeper->service_count; i++)
    if (sorted[i]->is_model)
      preempt_for_new_group (plan, sorted[i]);
}

/* Marks units of one domain until needed of them hold or load the weights,
   those that do so already first.  */
static uint32_t
mark_warm (struct plan *plan, const struct bd_service *service,
           const char *domain, uint32_t needed)
{
  uint32_t marked = 0;

  for (uint32_t pass = 0; pass < 2; pass++)
    {
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, plan->keeper->units);
      while (marked < needed && g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct bd_unit *unit = value;
          bool has_weights
              = strcmp (unit->report.model, service->model) == 0
                && strcmp (unit->report.version, service->version) == 0;
          if (strcmp (unit->info.fabric_domain, domain) != 0
              || unit->warm_for[0] != '\0' || (pass == 0 && !has_weights)
              || !bd_unit_fits (plan->keeper, unit, service, plan->now_ms)
              || !is_free (plan, unit))
            continue;
          bd_name_copy (unit->warm_for, service->name);
          marked++;
        }
    }
  return marked;
}

static void
clear_marks (struct plan *plan)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plan->keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct bd_unit *)value)->warm_for[0] = '\0';
}

static void
mark_for_short_groups (struct plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      uint32_t needed;
      if (strcmp (group->service, service->name) != 0)
        continue;
      needed = stand (plan, group, service).missing
               + (group->drain == BD_DRAIN_MEMBER ? count_leaving (plan, group)
                                                  : 0);
      mark_warm (plan, service, group->domain, needed);
    }
}

static void
mark_for_new_groups (struct plan *plan, const struct bd_service *service)
{
  uint32_t have = count_mendable_groups (plan, service);
  const char *domain = choose_domain (plan, service, false);

  for (uint32_t i = have; i < service->replicas && domain != NULL; i++)
    mark_warm (plan, service, domain, service->members);
}

/* Every instance that is left over becomes a spare of the service with the
   highest priority that has a group in its domain.  */
static void
mark_spares (struct plan *plan, const struct bd_service *service)
{
  for (uint32_t i = 0; i < plan->next->count; i++)
    if (strcmp (plan->next->groups[i].service, service->name) == 0)
      mark_warm (plan, service, plan->next->groups[i].domain, UINT32_MAX);
}

void
bd_keeper_assign_spares (struct bd_keeper *keeper,
                         const struct bd_allotment *allotment, int64_t now_ms)
{
  struct plan plan = { .keeper = keeper, .now_ms = now_ms };
  const struct bd_service **sorted;

  clear_marks (&plan);
  if (!keeper->policy->warms_spares)
    return;
  plan.next = bd_allotment_clone (NULL, allotment);
  sorted = services_by_priority (&plan);
  for (uint32_t i = 0; i < keeper->service_count; i++)
    if (sorted[i]->is_model)
      {
        mark_for_short_groups (&plan, sorted[i]);
        mark_for_new_groups (&plan, sorted[i]);
      }
  for (uint32_t i = 0; i < keeper->service_count; i++)
    if (sorted[i]->is_model)
      mark_spares (&plan, sorted[i]);
  talloc_free (plan.next);
}

static struct bd_allotment *
take_over (struct plan *plan)
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

struct bd_allotment *
bd_keeper_plan (struct bd_keeper *keeper, void *ctx, int64_t now_ms)
{
  struct plan plan = { .keeper = keeper, .now_ms = now_ms };

  if (!keeper->is_chosen)
    return NULL;
  plan.next = keeper->allotment != NULL
                  ? bd_allotment_clone (ctx, keeper->allotment)
                  : first_allotment (keeper, ctx);
  if (strcmp (plan.next->keeper, keeper->self) != 0)
    return take_over (&plan);
  end_drains (&plan);
  drain_surplus (&plan);
  drain_leaving (&plan);
  mend_groups (&plan);
  roll_versions (&plan);
  form_groups (&plan);
  preempt (&plan);
  if (plan.has_changed && bd_allotment_check (plan.next))
    {
      plan.next->sequence++;
      return plan.next;
    }
  talloc_free (plan.next);
  return NULL;
}

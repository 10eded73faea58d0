/* What the steps of a plan share: how groups stand and which instances are
   free.  */

#include "groups/plan_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static int
compare_units (const void *a, const void *b)
{
  return strcmp ((*(struct bd_unit *const *)a)->info.name,
                 (*(struct bd_unit *const *)b)->info.name);
}

static void
note_domain (struct bd_plan *plan, const char *domain)
{
  for (uint32_t i = 0; i < plan->domain_count; i++)
    if (strcmp (plan->domains[i], domain) == 0)
      return;
  plan->domains[plan->domain_count++] = domain;
}

void
bd_plan_init (struct bd_plan *plan)
{
  uint32_t size = g_hash_table_size (plan->keeper->units);
  GHashTableIter iter;
  gpointer value;

  plan->units = talloc_array (plan->next, struct bd_unit *, size + 1);
  plan->domains = talloc_array (plan->next, const char *, size + 1);
  g_hash_table_iter_init (&iter, plan->keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    plan->units[plan->unit_count++] = value;
  qsort (plan->units, plan->unit_count, sizeof *plan->units, compare_units);
  for (uint32_t i = 0; i < plan->unit_count; i++)
    note_domain (plan, plan->units[i]->info.fabric_domain);
  bd_plan_note_taken (plan);
}

void
bd_plan_note_taken (struct bd_plan *plan)
{
  for (uint32_t i = 0; i < plan->unit_count; i++)
    plan->units[i]->is_taken = false;
  for (uint32_t g = 0; g < plan->next->count; g++)
    for (uint32_t m = 0; m < plan->next->groups[g].member_count; m++)
      {
        struct bd_unit *unit
            = bd_plan_member (plan, &plan->next->groups[g], m);
        if (unit != NULL)
          unit->is_taken = true;
      }
}

bool
bd_plan_is_free (const struct bd_plan *plan, const struct bd_unit *unit)
{
  return !unit->is_taken && !(plan->skips_marked && unit->warm_for[0] != '\0');
}

struct bd_unit *
bd_plan_member (const struct bd_plan *plan, const struct bd_group *group,
                uint32_t i)
{
  return bd_keeper_unit (plan->keeper, group->members[i]);
}

/* A member that cannot serve before it has loaded its weights.  */
static bool
is_cold (const struct bd_group *group, const struct bd_unit *unit)
{
  return !bd_report_has_loaded (&unit->report, group->model, group->version);
}

static bool
has_forgotten (const struct bd_group *group, const struct bd_unit *unit)
{
  return unit->joined_incarnation == group->incarnation
         && !bd_report_is_member (&unit->report, group->id,
                                  group->incarnation);
}

bool
bd_plan_is_missing (const struct bd_plan *plan, const struct bd_group *group,
                    const struct bd_unit *unit)
{
  return bd_unit_is_lost (plan->keeper, unit, plan->now_ms)
         || (has_forgotten (group, unit) && is_cold (group, unit));
}

/* Whether a service of a higher priority needs this free instance.  */
static bool
is_kept (const struct bd_plan *plan, const struct bd_unit *unit,
         const struct bd_service *service)
{
  const struct bd_service *keeps
      = bd_keeper_service (plan->keeper, unit->warm_for);

  return keeps != NULL && !plan->skips_marked
         && keeps->priority > service->priority;
}

/* Whether service may take the instance: free, in the domain, of the right
   pool, usable, and not kept for a higher priority.  */
static bool
is_available (const struct bd_plan *plan, const struct bd_unit *unit,
              const char *domain, const struct bd_service *service)
{
  return strcmp (unit->info.fabric_domain, domain) == 0
         && bd_plan_is_free (plan, unit)
         && bd_unit_fits (plan->keeper, unit, service, plan->now_ms)
         && !is_kept (plan, unit, service);
}

void
bd_plan_count_spares (const struct bd_plan *plan, const struct bd_group *group,
                      const struct bd_service *service,
                      struct bd_standing *out)
{

  for (uint32_t i = 0; i < plan->unit_count; i++)
    {
      const struct bd_unit *unit = plan->units[i];
      if (!is_available (plan, unit, group->domain, service))
        continue;
      if (bd_unit_is_warm (unit, service))
        out->warm_spares++;
      else
        out->cold_spares++;
    }
}

struct bd_standing
bd_plan_stand (const struct bd_plan *plan, const struct bd_group *group,
               const struct bd_service *service)
{
  struct bd_standing out = { 0 };

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_unit *unit = bd_plan_member (plan, group, i);
      if (bd_unit_is_lost (plan->keeper, unit, plan->now_ms))
        out.lost++;
      else if (has_forgotten (group, unit))
        out.has_restarted = true;
      if (bd_plan_is_missing (plan, group, unit))
        out.missing++;
    }
  bd_plan_count_spares (plan, group, service, &out);
  return out;
}

void
bd_plan_renew (struct bd_plan *plan, struct bd_group *group)
{
  group->incarnation = plan->next->sequence + 1;
  plan->has_changed = true;
  bd_plan_note_taken (plan);
}

/* Since when something has held for a group; 0 passed when it is new.  */
int64_t
bd_plan_time_in (GHashTable *since_ms, const char *id, int64_t now_ms)
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
  g_hash_table_remove (plan->keeper->drain_since_ms, group->id);
  bd_plan_time_in (plan->keeper->drain_since_ms, group->id, plan->now_ms);
  plan->has_changed = true;
}

void
bd_plan_remove (struct bd_plan *plan, uint32_t index)
{
  const char *id = plan->next->groups[index].id;

  g_hash_table_remove (plan->keeper->short_since_ms, id);
  g_hash_table_remove (plan->keeper->drain_since_ms, id);
  bd_allotment_remove (plan->next, index);
  plan->has_changed = true;
  bd_plan_note_taken (plan);
}

/* The best free instance of the domain: one that holds the weights first.  */
struct bd_unit *
bd_plan_take_spare (const struct bd_plan *plan, const char *domain,
                    const struct bd_service *service, bool must_be_warm)
{
  struct bd_unit *best = NULL;

  for (uint32_t i = 0; i < plan->unit_count; i++)
    {
      struct bd_unit *unit = plan->units[i];
      bool is_warm = bd_unit_is_warm (unit, service);
      if (!is_available (plan, unit, domain, service)
          || (must_be_warm && !is_warm))
        continue;
      if (best == NULL || (is_warm && !bd_unit_is_warm (best, service))
          || (is_warm == bd_unit_is_warm (best, service)
              && strcmp (unit->info.name, best->info.name) < 0))
        best = unit;
    }
  return best;
}

bool
bd_plan_is_leaving (const struct bd_unit *unit)
{
  return unit != NULL && (unit->info.is_leaving || !unit->is_listed);
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

/* Puts spares in the places of members that are missing or leaving; returns
   whether a place was filled.  */
bool
bd_plan_replace_members (struct bd_plan *plan, struct bd_group *group,
                         const struct bd_service *service)
{
  bool has_replaced = false;

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      struct bd_unit *unit = bd_plan_member (plan, group, i);
      struct bd_unit *spare;
      if (!bd_plan_is_missing (plan, group, unit)
          && !bd_plan_is_leaving (unit))
        continue;
      spare = bd_plan_take_spare (plan, group->domain, service, true);
      if (spare == NULL)
        continue;
      bd_name_copy (group->members[i], spare->info.name);
      bd_plan_note_taken (plan);
      has_replaced = true;
    }
  if (has_replaced)
    bd_plan_renew (plan, group);
  return has_replaced;
}

/* Groups of a service that are meant to stay.  */
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

/* Whether a group is out of service with no mend in its own domain.  */
bool
bd_plan_is_beyond_mending (const struct bd_plan *plan,
                           const struct bd_group *group,
                           const struct bd_service *service)
{
  struct bd_standing standing = bd_plan_stand (plan, group, service);

  return standing.lost > 0
         && standing.lost > standing.warm_spares + standing.cold_spares;
}

uint32_t
bd_plan_count_mendable (const struct bd_plan *plan,
                        const struct bd_service *service)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->next->count; i++)
    {
      const struct bd_group *group = &plan->next->groups[i];
      if (strcmp (group->service, service->name) == 0
          && group->drain != BD_DRAIN_REMOVE
          && !bd_plan_is_beyond_mending (plan, group, service))
        count++;
    }
  return count;
}

uint32_t
bd_plan_count_free (const struct bd_plan *plan, const char *domain,
                    const struct bd_service *service, bool must_be_warm)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->unit_count; i++)
    {
      const struct bd_unit *unit = plan->units[i];
      if (is_available (plan, unit, domain, service)
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
const char *
bd_plan_choose_domain (const struct bd_plan *plan,
                       const struct bd_service *service, bool must_be_warm)
{
  struct room best = { 0 };

  for (uint32_t i = 0; i < plan->domain_count; i++)
    {
      struct room room = { .domain = plan->domains[i] };

      room.free = bd_plan_count_free (plan, room.domain, service, false);
      room.warm = bd_plan_count_free (plan, room.domain, service, true);
      if (room.warm > service->members)
        room.warm = service->members;
      if ((must_be_warm ? room.warm : room.free) >= service->members
          && is_better_room (&room, &best))
        best = room;
    }
  return best.domain;
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

const struct bd_service **
bd_plan_services (const struct bd_plan *plan)
{
  uint32_t count = plan->keeper->service_count;
  const struct bd_service **sorted
      = talloc_array (plan->next, const struct bd_service *, count + 1);

  for (uint32_t i = 0; i < count; i++)
    sorted[i] = plan->keeper->services[i];
  qsort (sorted, count, sizeof *sorted, compare_priority);
  return sorted;
}

/* What the keeper knows: instances, the allotment, its own term.  */

#include "groups/keeper_internal.h"

#include <string.h>
#include <talloc.h>

enum
{
  YIELD_MS = 60000
};

void
bd_keeper_init (struct bd_keeper *keeper, const char *data_centre,
                const char *self, const struct bd_keeper_limits *limits)
{
  memset (keeper, 0, sizeof *keeper);
  bd_name_copy (keeper->data_centre, data_centre);
  bd_name_copy (keeper->self, self);
  keeper->limits = *limits;
  keeper->policy = &bd_mend_by_cost;
  keeper->units
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  keeper->short_since_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  keeper->drain_since_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
bd_keeper_finish (struct bd_keeper *keeper)
{
  g_hash_table_destroy (keeper->units);
  g_hash_table_destroy (keeper->short_since_ms);
  g_hash_table_destroy (keeper->drain_since_ms);
  TALLOC_FREE (keeper->allotment);
}

void
bd_keeper_services (struct bd_keeper *keeper,
                    const struct bd_service *const *services, uint32_t count)
{
  keeper->services = services;
  keeper->service_count = count;
}

struct bd_unit *
bd_keeper_unit (const struct bd_keeper *keeper, const char *instance)
{
  return g_hash_table_lookup (keeper->units, instance);
}

static struct bd_unit *
unit_made (struct bd_keeper *keeper, const char *name)
{
  struct bd_unit *unit = bd_keeper_unit (keeper, name);

  if (unit != NULL)
    return unit;
  unit = g_new0 (struct bd_unit, 1);
  bd_name_copy (unit->info.name, name);
  g_hash_table_insert (keeper->units, unit->info.name, unit);
  return unit;
}

/* Forgets instances that are neither listed nor in a group.  */
static void
forget_unlisted (struct bd_keeper *keeper)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_unit *unit = value;
      bool is_in_group
          = keeper->allotment != NULL
            && bd_allotment_group_of (keeper->allotment, unit->info.name)
                   != NULL;
      if (!unit->is_listed && !is_in_group)
        g_hash_table_iter_remove (&iter);
    }
}

void
bd_keeper_list (struct bd_keeper *keeper, const struct bd_instance_list *list)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct bd_unit *)value)->is_listed = false;
  for (uint32_t i = 0; i < list->count; i++)
    {
      const struct bd_instance *info = &list->items[i];
      struct bd_unit *unit;
      if (strcmp (info->data_centre, keeper->data_centre) != 0
          || strcmp (info->pool, BD_POOL_DAEMONS) == 0)
        continue;
      unit = unit_made (keeper, info->name);
      unit->info = *info;
      unit->is_listed = true;
    }
  forget_unlisted (keeper);
}

void
bd_keeper_report (struct bd_keeper *keeper, const char *instance,
                  const struct bd_report *report, int64_t now_ms)
{
  struct bd_unit *unit = bd_keeper_unit (keeper, instance);

  if (unit == NULL)
    return;
  unit->was_heard = true;
  unit->heard_ms = now_ms;
  unit->report = *report;
  if (report->phase == BD_PHASE_READY && report->incarnation > 0)
    unit->joined_incarnation = report->incarnation;
}

static gboolean
is_no_group (gpointer id, gpointer value, gpointer allotment)
{
  (void)value;
  return bd_allotment_find (allotment, id) == NULL;
}

/* What was noted of groups that another keeper has removed.  */
static void
forget_groups (struct bd_keeper *keeper)
{
  g_hash_table_foreach_remove (keeper->short_since_ms, is_no_group,
                               keeper->allotment);
  g_hash_table_foreach_remove (keeper->drain_since_ms, is_no_group,
                               keeper->allotment);
}

bool
bd_keeper_confirm (struct bd_keeper *keeper,
                   const struct bd_allotment *allotment, int64_t asked_ms)
{
  const struct bd_allotment *held = keeper->allotment;
  bool is_mine = strcmp (allotment->keeper, keeper->self) == 0;

  if (held != NULL && bd_allotment_is_newer (held, allotment))
    return false;
  /* A daemon with a better claim took back what this one had taken from it: it
     lives, although nothing is heard of it.  Two that kept on taking over from
     each other would never come to order anything.  */
  if (held != NULL && allotment->term > held->term
      && strcmp (held->keeper, keeper->self) == 0
      && strcmp (allotment->keeper, keeper->self) < 0)
    keeper->yields_until_ms = asked_ms + YIELD_MS;
  /* Another keeper may have had orders under way until its bound ends.  */
  if (is_mine && allotment->term > 1
      && (held == NULL || held->term != allotment->term))
    keeper->orders_from_ms = asked_ms + keeper->limits.controller_bound_ms;
  if (held == NULL || bd_allotment_is_newer (allotment, held))
    {
      struct bd_allotment *copy = bd_allotment_clone (NULL, allotment);
      talloc_free (keeper->allotment);
      keeper->allotment = copy;
      forget_groups (keeper);
    }
  if (!keeper->is_confirmed || asked_ms > keeper->confirmed_ms)
    keeper->confirmed_ms = asked_ms;
  keeper->is_confirmed = true;
  return true;
}

bool
bd_keeper_may_order (const struct bd_keeper *keeper, int64_t now_ms)
{
  return keeper->allotment != NULL && keeper->is_chosen && keeper->is_confirmed
         && strcmp (keeper->allotment->keeper, keeper->self) == 0
         && now_ms - keeper->confirmed_ms < keeper->limits.controller_bound_ms;
}

bool
bd_unit_is_lost (const struct bd_keeper *keeper, const struct bd_unit *unit,
                 int64_t now_ms)
{
  return unit == NULL || !unit->was_heard
         || now_ms - unit->heard_ms > keeper->limits.dead_after_ms;
}

bool
bd_unit_is_usable (const struct bd_keeper *keeper, const struct bd_unit *unit,
                   int64_t now_ms)
{
  return unit->is_listed && !unit->info.is_leaving
         && !bd_unit_is_lost (keeper, unit, now_ms);
}

bool
bd_unit_fits (const struct bd_keeper *keeper, const struct bd_unit *unit,
              const struct bd_service *service, int64_t now_ms)
{
  return strcmp (unit->info.pool, service->pool) == 0
         && bd_unit_is_usable (keeper, unit, now_ms);
}

bool
bd_unit_is_warm (const struct bd_unit *unit, const struct bd_service *service)
{
  return bd_report_holds (&unit->report, service->model, service->version);
}

bool
bd_keeper_is_open (const struct bd_keeper *keeper,
                   const struct bd_group *group, int64_t now_ms)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_unit *unit = bd_keeper_unit (keeper, group->members[i]);
      if (bd_unit_is_lost (keeper, unit, now_ms)
          || !bd_report_is_member (&unit->report, group->id,
                                   group->incarnation))
        return false;
    }
  return true;
}

const struct bd_service *
bd_keeper_service (const struct bd_keeper *keeper, const char *name)
{
  for (uint32_t i = 0; i < keeper->service_count; i++)
    if (strcmp (keeper->services[i]->name, name) == 0)
      return keeper->services[i];
  return NULL;
}

/* The state of the group controller: instances, the assignment and the term.
 */

#include "groups/controller_internal.h"

#include <string.h>
#include <talloc.h>

enum
{
  TERM_YIELD_MS = 60000
};

void
bd_controller_init (struct bd_controller *controller, const char *data_centre,
                    const char *self,
                    const struct bd_controller_limits *limits)
{
  memset (controller, 0, sizeof *controller);
  bd_name_copy (controller->data_centre, data_centre);
  bd_name_copy (controller->self, self);
  controller->limits = *limits;
  controller->policy = &bd_repair_by_cost;
  controller->instances
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  controller->short_since_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  controller->drain_since_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  controller->open_since_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
bd_controller_finish (struct bd_controller *controller)
{
  g_hash_table_destroy (controller->instances);
  g_hash_table_destroy (controller->short_since_ms);
  g_hash_table_destroy (controller->drain_since_ms);
  g_hash_table_destroy (controller->open_since_ms);
  TALLOC_FREE (controller->assignment);
}

void
bd_controller_set_services (struct bd_controller *controller,
                            const struct bd_service *const *services,
                            uint32_t count)
{
  controller->services = services;
  controller->service_count = count;
}

struct bd_instance_state *
bd_controller_find_instance (const struct bd_controller *controller,
                             const char *name)
{
  return g_hash_table_lookup (controller->instances, name);
}

static struct bd_instance_state *
get_or_add_instance (struct bd_controller *controller, const char *name)
{
  struct bd_instance_state *instance
      = bd_controller_find_instance (controller, name);

  if (instance != NULL)
    return instance;
  instance = g_new0 (struct bd_instance_state, 1);
  bd_name_copy (instance->info.name, name);
  g_hash_table_insert (controller->instances, instance->info.name, instance);
  return instance;
}

/* Removes instances that are neither listed nor in a group.  */
static void
remove_unlisted_instances (struct bd_controller *controller)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, controller->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_instance_state *instance = value;
      bool is_in_group = controller->assignment != NULL
                         && bd_assignment_group_of (controller->assignment,
                                                    instance->info.name)
                                != NULL;
      if (!instance->is_listed && !is_in_group)
        g_hash_table_iter_remove (&iter);
    }
}

void
bd_controller_set_instances (struct bd_controller *controller,
                             const struct bd_instance_list *list)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, controller->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct bd_instance_state *)value)->is_listed = false;
  for (uint32_t i = 0; i < list->count; i++)
    {
      const struct bd_instance *info = &list->items[i];
      struct bd_instance_state *instance;
      if (strcmp (info->data_centre, controller->data_centre) != 0
          || strcmp (info->pool, BD_POOL_DAEMONS) == 0)
        continue;
      instance = get_or_add_instance (controller, info->name);
      instance->info = *info;
      instance->is_listed = true;
    }
  remove_unlisted_instances (controller);
}

void
bd_controller_add_report (struct bd_controller *controller, const char *name,
                          const struct bd_report *report, int64_t sent_ms,
                          int64_t now_ms)
{
  struct bd_instance_state *instance
      = bd_controller_find_instance (controller, name);

  if (instance == NULL
      || (instance->has_report && instance->last_received_ms > sent_ms))
    return;
  instance->has_report = true;
  instance->last_received_ms = sent_ms;
  instance->report = *report;
  /* A report can be of an older state than the one before it.  */
  if (report->phase == BD_PHASE_READY && report->incarnation > 0
      && report->incarnation >= instance->joined_incarnation)
    {
      instance->joined_incarnation = report->incarnation;
      instance->joined_ms = now_ms;
    }
}

static gboolean
is_group_removed (gpointer id, gpointer value, gpointer assignment)
{
  (void)value;
  return bd_assignment_find_group (assignment, id) == NULL;
}

/* Drops the timestamps of groups that another controller has removed.  */
static void
remove_stale_timestamps (struct bd_controller *controller)
{
  g_hash_table_foreach_remove (controller->short_since_ms, is_group_removed,
                               controller->assignment);
  g_hash_table_foreach_remove (controller->drain_since_ms, is_group_removed,
                               controller->assignment);
  g_hash_table_foreach_remove (controller->open_since_ms, is_group_removed,
                               controller->assignment);
}

bool
bd_controller_confirm (struct bd_controller *controller,
                       const struct bd_assignment *assignment, int64_t sent_ms)
{
  const struct bd_assignment *current = controller->assignment;
  bool is_own = strcmp (assignment->controller, controller->self) == 0;

  if (current != NULL && bd_assignment_is_newer (current, assignment))
    return false;
  /* A daemon with a lower name has taken back the term that this one had taken
     over: it is alive, although this daemon receives nothing from it.  If both
     kept taking over from each other, neither would ever send an order.  */
  if (current != NULL && assignment->term > current->term
      && strcmp (current->controller, controller->self) == 0
      && strcmp (assignment->controller, controller->self) < 0)
    controller->yields_until_ms = sent_ms + TERM_YIELD_MS;
  /* Orders of the previous controller can be in flight until its last
     confirmation expires.  */
  if (is_own && assignment->term > 1
      && (current == NULL || current->term != assignment->term))
    controller->orders_from_ms
        = sent_ms + controller->limits.controller_bound_ms;
  if (current == NULL || bd_assignment_is_newer (assignment, current))
    {
      struct bd_assignment *copy = bd_assignment_clone (NULL, assignment);
      talloc_free (controller->assignment);
      controller->assignment = copy;
      remove_stale_timestamps (controller);
    }
  if (!controller->is_confirmed || sent_ms > controller->confirmed_ms)
    controller->confirmed_ms = sent_ms;
  controller->is_confirmed = true;
  return true;
}

bool
bd_controller_can_order (const struct bd_controller *controller,
                         int64_t now_ms)
{
  return controller->assignment != NULL && controller->is_selected
         && controller->is_confirmed
         && strcmp (controller->assignment->controller, controller->self) == 0
         && now_ms - controller->confirmed_ms
                < controller->limits.controller_bound_ms;
}

bool
bd_instance_is_lost (const struct bd_controller *controller,
                     const struct bd_instance_state *instance, int64_t now_ms)
{
  return instance == NULL || !instance->has_report
         || now_ms - instance->last_received_ms
                > controller->limits.dead_after_ms;
}

bool
bd_instance_is_silent (const struct bd_controller *controller,
                       const struct bd_instance_state *instance,
                       int64_t now_ms)
{
  return instance == NULL
         || (bd_instance_is_lost (controller, instance, now_ms)
             && now_ms - controller->listening_from_ms
                    > controller->limits.dead_after_ms);
}

void
bd_controller_note_run (struct bd_controller *controller, int64_t now_ms)
{
  if (controller->listening_from_ms == 0
      || now_ms - controller->ran_ms > controller->limits.dead_after_ms / 2)
    controller->listening_from_ms = now_ms;
  controller->ran_ms = now_ms;
}

bool
bd_instance_is_usable (const struct bd_controller *controller,
                       const struct bd_instance_state *instance,
                       int64_t now_ms)
{
  return instance->is_listed && !instance->info.is_leaving
         && !bd_instance_is_lost (controller, instance, now_ms);
}

bool
bd_instance_fits_service (const struct bd_controller *controller,
                          const struct bd_instance_state *instance,
                          const struct bd_service *service, int64_t now_ms)
{
  return strcmp (instance->info.pool, service->pool) == 0
         && bd_instance_is_usable (controller, instance, now_ms);
}

bool
bd_instance_is_warm (const struct bd_instance_state *instance,
                     const struct bd_service *service)
{
  return bd_report_has_loaded (&instance->report, service->model,
                               service->version);
}

bool
bd_controller_is_group_open (const struct bd_controller *controller,
                             const struct bd_group *group, int64_t now_ms)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_instance_state *instance
          = bd_controller_find_instance (controller, group->members[i]);
      if (bd_instance_is_lost (controller, instance, now_ms)
          || !bd_report_is_member (&instance->report, group->id,
                                   group->incarnation))
        return false;
    }
  return true;
}

const struct bd_service *
bd_controller_find_service (const struct bd_controller *controller,
                            const char *name)
{
  for (uint32_t i = 0; i < controller->service_count; i++)
    if (strcmp (controller->services[i]->name, name) == 0)
      return controller->services[i];
  return NULL;
}

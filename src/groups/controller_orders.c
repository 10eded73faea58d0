/* Orders to engines: which weights each instance loads and which group it
   joins.  An order is repeated until the instance's report matches it.  */

#include "groups/controller_internal.h"

#include <string.h>

/* The weights and the group that an instance should have.  */
struct desired_state
{
  const struct bd_service *service; /* NULL when no service needs it.  */
  const struct bd_group *group;     /* NULL when it should leave its group.  */
  const char *model;
  const char *version;
};

struct order_list
{
  struct bd_order *items;
  uint32_t count;
  uint32_t max;
  uint32_t loading; /* Instances loading weights, including new orders.  */
};

static bool
was_ordered_recently (const struct bd_controller *controller,
                      const struct bd_instance_state *instance, int64_t now_ms)
{
  return instance->ordered_sequence == controller->assignment->sequence
         && now_ms - instance->ordered_ms < controller->limits.order_retry_ms;
}

static void
add_order (struct bd_controller *controller, struct order_list *list,
           struct bd_instance_state *instance,
           const struct desired_state *desired, int64_t now_ms)
{
  struct bd_order *order = &list->items[list->count++];

  memset (order, 0, sizeof *order);
  bd_name_copy (order->instance, instance->info.name);
  bd_name_copy (order->address, instance->info.address);
  order->port = instance->info.port;
  order->fence_term = controller->assignment->term;
  order->fence_sequence = controller->assignment->sequence;
  bd_name_copy (order->model, desired->model);
  bd_name_copy (order->version, desired->version);
  order->members = desired->group;
  if (desired->group != NULL)
    {
      bd_name_copy (order->group, desired->group->id);
      order->incarnation = desired->group->incarnation;
    }
  instance->ordered_ms = now_ms;
  instance->ordered_sequence = controller->assignment->sequence;
}

/* After a change of controller, the last orders of the previous one can still
   arrive.  Engines that check fences reject them; orders to other engines wait
   until the previous controller's confirmation has expired.  */
static bool
is_waiting_for_old_orders (const struct bd_controller *controller,
                           const struct bd_service *service, int64_t now_ms)
{
  return now_ms < controller->orders_from_ms
         && (service == NULL || !service->engines_check_fence);
}

static void
try_add_order (struct bd_controller *controller, struct order_list *list,
               struct bd_instance_state *instance,
               const struct desired_state *desired, int64_t now_ms)
{
  bool is_load_needed = !bd_report_has_loaded (
      &instance->report, desired->model, desired->version);
  bool is_loading = instance->report.phase == BD_PHASE_LOADING;

  if (list->count == list->max
      || was_ordered_recently (controller, instance, now_ms)
      || is_waiting_for_old_orders (controller, desired->service, now_ms))
    return;
  if (is_load_needed && !is_loading)
    {
      if (list->loading >= controller->limits.loads_at_once)
        return;
      list->loading++;
    }
  add_order (controller, list, instance, desired, now_ms);
}

static bool
matches_group (const struct bd_instance_state *instance,
               const struct bd_group *group)
{
  const struct bd_report *report = &instance->report;

  return strcmp (report->group, group->id) == 0
         && report->incarnation == group->incarnation
         && strcmp (report->model, group->model) == 0
         && strcmp (report->version, group->version) == 0
         && report->phase != BD_PHASE_IDLE;
}

static void
order_members (struct bd_controller *controller, struct order_list *list,
               const struct bd_group *group, int64_t now_ms)
{
  struct desired_state desired
      = { .service = bd_controller_find_service (controller, group->service),
          .group = group,
          .model = group->model,
          .version = group->version };

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      struct bd_instance_state *instance
          = bd_controller_find_instance (controller, group->members[i]);
      if (bd_instance_is_lost (controller, instance, now_ms)
          || matches_group (instance, group))
        continue;
      try_add_order (controller, list, instance, &desired, now_ms);
    }
}

/* Orders a free instance to leave its old group and to load the weights of the
   service that it is a spare of.  */
static void
order_free_instance (struct bd_controller *controller, struct order_list *list,
                     struct bd_instance_state *instance, int64_t now_ms)
{
  const struct bd_service *service
      = bd_controller_find_service (controller, instance->warm_for);
  bool is_in_group = instance->report.group[0] != '\0';
  struct desired_state desired = { .service = service,
                                   .model = instance->report.model,
                                   .version = instance->report.version };

  if (service != NULL)
    {
      desired.model = service->model;
      desired.version = service->version;
    }
  if (is_in_group
      || (service != NULL
          && (instance->report.phase == BD_PHASE_IDLE
              || strcmp (instance->report.model, desired.model) != 0
              || strcmp (instance->report.version, desired.version) != 0)))
    try_add_order (controller, list, instance, &desired, now_ms);
}

static uint32_t
count_loading (const struct bd_controller *controller, int64_t now_ms)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, controller->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_instance_state *instance = value;
      if (instance->report.phase == BD_PHASE_LOADING
          && !bd_instance_is_lost (controller, instance, now_ms))
        count++;
    }
  return count;
}

/* Orders the free instances that have a warm_for if is_preload_pass is set,
   and those that have none if it is not.  */
static void
order_free_instances (struct bd_controller *controller,
                      struct order_list *list, bool is_preload_pass,
                      int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, controller->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_instance_state *instance = value;
      bool is_preload = instance->warm_for[0] != '\0';
      if (is_preload == is_preload_pass
          && !bd_instance_is_lost (controller, instance, now_ms)
          && bd_assignment_group_of (controller->assignment,
                                     instance->info.name)
                 == NULL)
        order_free_instance (controller, list, instance, now_ms);
    }
}

static uint32_t
count_members (const struct bd_assignment *assignment)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < assignment->count; i++)
    count += assignment->groups[i].member_count;
  return count;
}

/* Whether no instance needs an order: the groups are complete, no other
   instance reports to be in a group, and every spare has its weights.  */
static bool
is_converged (const struct bd_controller *controller, int64_t now_ms)
{
  uint32_t in_groups = 0;
  GHashTableIter iter;
  gpointer value;

  if (!bd_controller_is_settled (controller, now_ms))
    return false;
  g_hash_table_iter_init (&iter, controller->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_instance_state *instance = value;
      const struct bd_service *service;
      if (bd_instance_is_lost (controller, instance, now_ms))
        continue;
      if (instance->report.group[0] != '\0')
        {
          in_groups++;
          continue;
        }
      service = bd_controller_find_service (controller, instance->warm_for);
      if (service == NULL || !bd_instance_is_warm (instance, service))
        return false;
    }
  return in_groups == count_members (controller->assignment);
}

uint32_t
bd_controller_orders (struct bd_controller *controller, int64_t now_ms,
                      struct bd_order *orders, uint32_t max)
{
  struct order_list list = { .items = orders, .max = max };

  bd_controller_note_run (controller, now_ms);
  if (!bd_controller_can_order (controller, now_ms)
      || is_converged (controller, now_ms))
    return 0;
  bd_controller_assign_spares (controller, controller->assignment, now_ms);
  list.loading = count_loading (controller, now_ms);
  for (uint32_t i = 0; i < controller->assignment->count; i++)
    order_members (controller, &list, &controller->assignment->groups[i],
                   now_ms);
  order_free_instances (controller, &list, true, now_ms);
  order_free_instances (controller, &list, false, now_ms);
  return list.count;
}

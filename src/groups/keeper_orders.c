/* Orders to engines: what each instance should hold and which group it should
   be in, sent again until its report agrees.  */

#include "groups/keeper_internal.h"

#include <string.h>

/* What an instance should be told.  */
struct wish
{
  const struct bd_service *service; /* NULL when none needs it.  */
  const struct bd_group *group;     /* NULL when it is to be in none.  */
  const char *model;
  const char *version;
};

struct order_list
{
  struct bd_order *items;
  uint32_t count;
  uint32_t max;
  uint32_t loading; /* Instances that load weights, with those ordered now. */
};

static bool
was_ordered_lately (const struct bd_keeper *keeper, const struct bd_unit *unit,
                    int64_t now_ms)
{
  return unit->ordered_sequence == keeper->allotment->sequence
         && now_ms - unit->ordered_ms < keeper->limits.order_retry_ms;
}

static void
add_order (struct bd_keeper *keeper, struct order_list *list,
           struct bd_unit *unit, const struct wish *wish, int64_t now_ms)
{
  struct bd_order *order = &list->items[list->count++];

  memset (order, 0, sizeof *order);
  bd_name_copy (order->instance, unit->info.name);
  bd_name_copy (order->address, unit->info.address);
  order->port = unit->info.port;
  order->fence_term = keeper->allotment->term;
  order->fence_sequence = keeper->allotment->sequence;
  bd_name_copy (order->model, wish->model);
  bd_name_copy (order->version, wish->version);
  order->members = wish->group;
  if (wish->group != NULL)
    {
      bd_name_copy (order->group, wish->group->id);
      order->incarnation = wish->group->incarnation;
    }
  unit->ordered_ms = now_ms;
  unit->ordered_sequence = keeper->allotment->sequence;
}

/* After a change of keeper the old one's last orders may still arrive.
   Engines that check fences refuse them; for others its bound is waited out.
 */
static bool
is_waiting_out (const struct bd_keeper *keeper,
                const struct bd_service *service, int64_t now_ms)
{
  return now_ms < keeper->orders_from_ms
         && (service == NULL || !service->engines_check_fence);
}

static void
consider (struct bd_keeper *keeper, struct order_list *list,
          struct bd_unit *unit, const struct wish *wish, int64_t now_ms)
{
  bool needs_load
      = !bd_report_has_loaded (&unit->report, wish->model, wish->version);
  bool is_loading = unit->report.phase == BD_PHASE_LOADING;

  if (list->count == list->max || was_ordered_lately (keeper, unit, now_ms)
      || is_waiting_out (keeper, wish->service, now_ms))
    return;
  if (needs_load && !is_loading)
    {
      if (list->loading >= keeper->limits.loads_at_once)
        return;
      list->loading++;
    }
  add_order (keeper, list, unit, wish, now_ms);
}

static bool
is_as_ordered (const struct bd_unit *unit, const struct bd_group *group)
{
  const struct bd_report *report = &unit->report;

  return strcmp (report->group, group->id) == 0
         && report->incarnation == group->incarnation
         && strcmp (report->model, group->model) == 0
         && strcmp (report->version, group->version) == 0
         && report->phase != BD_PHASE_IDLE;
}

static void
order_members (struct bd_keeper *keeper, struct order_list *list,
               const struct bd_group *group, int64_t now_ms)
{
  struct wish wish = { .service = bd_keeper_service (keeper, group->service),
                       .group = group,
                       .model = group->model,
                       .version = group->version };

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      struct bd_unit *unit = bd_keeper_unit (keeper, group->members[i]);
      if (bd_unit_is_lost (keeper, unit, now_ms)
          || is_as_ordered (unit, group))
        continue;
      consider (keeper, list, unit, &wish, now_ms);
    }
}

/* A free instance leaves its old group and holds the weights that it may be
   needed for.  */
static void
order_free (struct bd_keeper *keeper, struct order_list *list,
            struct bd_unit *unit, int64_t now_ms)
{
  const struct bd_service *service
      = bd_keeper_service (keeper, unit->warm_for);
  bool is_in_group = unit->report.group[0] != '\0';
  struct wish wish = { .service = service,
                       .model = unit->report.model,
                       .version = unit->report.version };

  if (service != NULL)
    {
      wish.model = service->model;
      wish.version = service->version;
    }
  if (is_in_group
      || (service != NULL
          && (unit->report.phase == BD_PHASE_IDLE
              || strcmp (unit->report.model, wish.model) != 0
              || strcmp (unit->report.version, wish.version) != 0)))
    consider (keeper, list, unit, &wish, now_ms);
}

static uint32_t
count_loading (const struct bd_keeper *keeper, int64_t now_ms)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_unit *unit = value;
      if (unit->report.phase == BD_PHASE_LOADING
          && !bd_unit_is_lost (keeper, unit, now_ms))
        count++;
    }
  return count;
}

static void
order_free_units (struct bd_keeper *keeper, struct order_list *list,
                  bool is_for_need, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_unit *unit = value;
      bool is_needed = unit->warm_for[0] != '\0';
      if (is_needed == is_for_need && !bd_unit_is_lost (keeper, unit, now_ms)
          && bd_allotment_group_of (keeper->allotment, unit->info.name)
                 == NULL)
        order_free (keeper, list, unit, now_ms);
    }
}

static uint32_t
count_members (const struct bd_allotment *allotment)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < allotment->count; i++)
    count += allotment->groups[i].member_count;
  return count;
}

/* Whether no instance needs an order: the groups are whole, nobody else
   thinks that it is in one, and every spare holds what it should.  */
static bool
is_all_as_ordered (const struct bd_keeper *keeper, int64_t now_ms)
{
  uint32_t in_groups = 0;
  GHashTableIter iter;
  gpointer value;

  if (!bd_keeper_is_settled (keeper, now_ms))
    return false;
  g_hash_table_iter_init (&iter, keeper->units);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_unit *unit = value;
      const struct bd_service *service;
      if (bd_unit_is_lost (keeper, unit, now_ms))
        continue;
      if (unit->report.group[0] != '\0')
        {
          in_groups++;
          continue;
        }
      service = bd_keeper_service (keeper, unit->warm_for);
      if (service == NULL || !bd_unit_is_warm (unit, service))
        return false;
    }
  return in_groups == count_members (keeper->allotment);
}

uint32_t
bd_keeper_orders (struct bd_keeper *keeper, int64_t now_ms,
                  struct bd_order *orders, uint32_t max)
{
  struct order_list list = { .items = orders, .max = max };

  if (!bd_keeper_may_order (keeper, now_ms)
      || is_all_as_ordered (keeper, now_ms))
    return 0;
  bd_keeper_assign_spares (keeper, keeper->allotment, now_ms);
  list.loading = count_loading (keeper, now_ms);
  for (uint32_t i = 0; i < keeper->allotment->count; i++)
    order_members (keeper, &list, &keeper->allotment->groups[i], now_ms);
  order_free_units (keeper, &list, true, now_ms);
  order_free_units (keeper, &list, false, now_ms);
  return list.count;
}

/* Order of the waiting requests.  */

#include "admission/backlog.h"

/* Class and priority of requests.  */
static gint
compare_urgency (const struct bd_backlog_item *left,
                 const struct bd_backlog_item *right)
{
  if (left->is_resumed != right->is_resumed)
    return left->is_resumed ? -1 : 1;
  if (left->is_late != right->is_late)
    return left->is_late ? 1 : -1;
  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  return 0;
}

static gint
compare (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct bd_backlog_item *left = a;
  const struct bd_backlog_item *right = b;

  gint urgency = compare_urgency (left, right);

  (void)ctx;
  if (urgency != 0)
    return urgency;
  if (left->objective_ms != right->objective_ms)
    return left->objective_ms < right->objective_ms ? -1 : 1;
  return left < right ? -1 : left > right;
}

/* Order by urgency and the time at which requests become late.  */
static gint
compare_latest_start (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct bd_backlog_item *left = a;
  const struct bd_backlog_item *right = b;
  int64_t left_ms = left->objective_ms - left->first_event_delay_ms;
  int64_t right_ms = right->objective_ms - right->first_event_delay_ms;
  gint urgency = compare_urgency (left, right);

  (void)ctx;
  if (urgency != 0)
    return urgency;
  if (left_ms != right_ms)
    return left_ms < right_ms ? -1 : 1;
  return left < right ? -1 : left > right;
}

/* Order by urgency and the accounts' shares.  */
static gint
compare_shares (gconstpointer a, gconstpointer b)
{
  const struct bd_backlog_item *left = *(struct bd_backlog_item *const *)a;
  const struct bd_backlog_item *right = *(struct bd_backlog_item *const *)b;
  gint urgency = compare_urgency (left, right);

  if (urgency != 0)
    return urgency;
  if (left->virtual_finish != right->virtual_finish)
    return left->virtual_finish < right->virtual_finish ? -1 : 1;
  return compare_latest_start (left, right, NULL);
}

static GCompareDataFunc
order_of (const struct bd_backlog *backlog)
{
  return backlog->is_shared ? compare_latest_start : compare;
}

void
bd_backlog_init (struct bd_backlog *backlog)
{
  backlog->items = g_sequence_new (NULL);
  backlog->waiting = 0;
  backlog->is_shared = false;
  backlog->order = NULL;
}

void
bd_backlog_share (struct bd_backlog *backlog, double phase)
{
  backlog->is_shared = true;
  bd_accounts_init (&backlog->accounts, phase);
}

void
bd_backlog_finish (struct bd_backlog *backlog)
{
  g_sequence_free (backlog->items);
  if (backlog->is_shared)
    bd_accounts_finish (&backlog->accounts);
}

void
bd_backlog_add (struct bd_backlog *backlog, struct bd_backlog_item *item,
                int64_t now_ms)
{
  item->backlog = backlog;
  item->since_ms = now_ms;
  item->position = g_sequence_insert_sorted (backlog->items, item,
                                             order_of (backlog), NULL);
  backlog->waiting += !item->has_target;
  item->lane = NULL;
  if (!backlog->is_shared || item->has_target)
    return;
  bd_accounts_update (&backlog->accounts, now_ms);
  item->lane = bd_accounts_lane (&backlog->accounts, &item->key);
  bd_accounts_wait (item->lane);
}

/* The rest of a pass must not visit an item that is gone.  */
static void
forget_place (struct bd_backlog *backlog, const struct bd_backlog_item *item)
{
  GPtrArray *order = backlog->order;

  if (order != NULL && item->place < order->len
      && order->pdata[item->place] == item)
    order->pdata[item->place] = NULL;
}

void
bd_backlog_remove (struct bd_backlog_item *item)
{
  if (item->backlog == NULL)
    return;
  g_sequence_remove (item->position);
  item->backlog->waiting -= !item->has_target;
  if (item->lane != NULL)
    bd_accounts_leave (item->lane);
  item->lane = NULL;
  forget_place (item->backlog, item);
  item->backlog = NULL;
  item->position = NULL;
}

uint32_t
bd_backlog_count (const struct bd_backlog *backlog)
{
  return backlog->waiting;
}

bool
bd_backlog_is_empty (const struct bd_backlog *backlog)
{
  return g_sequence_is_empty (backlog->items);
}

void
bd_backlog_mark_late (struct bd_backlog *backlog, int64_t now_ms)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (backlog->items);
  bool has_changed = false;

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      struct bd_backlog_item *item = g_sequence_get (iter);

      if (item->is_late
          || now_ms + item->first_event_delay_ms <= item->objective_ms)
        continue;
      item->is_late = true;
      has_changed = true;
    }
  if (has_changed)
    g_sequence_sort (backlog->items, order_of (backlog), NULL);
  if (backlog->is_shared)
    bd_accounts_update (&backlog->accounts, now_ms);
}

/* The items by urgency and the accounts' shares; to be freed.  A request that
   has a target already, or goes before all others, is not charged to its
   account and takes no place in its order.  */
static GPtrArray *
arrange (struct bd_backlog *backlog)
{
  GPtrArray *order
      = g_ptr_array_sized_new ((guint)g_sequence_get_length (backlog->items));
  GSequenceIter *iter = g_sequence_get_begin_iter (backlog->items);

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      struct bd_backlog_item *item = g_sequence_get (iter);

      if (item->lane != NULL)
        item->lane->rank = 0;
      g_ptr_array_add (order, item);
    }
  for (guint i = 0; i < order->len; i++)
    {
      struct bd_backlog_item *item = order->pdata[i];
      struct bd_account_lane *lane = item->lane;

      item->virtual_finish = 0;
      if (lane == NULL || item->is_resumed)
        continue;
      item->virtual_finish
          = bd_accounts_finish_time (lane) + ++lane->rank / lane->share.weight;
    }
  g_ptr_array_sort (order, compare_shares);
  return order;
}

uint32_t
bd_backlog_accounts (const struct bd_backlog *backlog,
                     struct bd_account_traffic *usages, uint32_t max)
{
  return backlog->is_shared
             ? bd_accounts_usages (&backlog->accounts, usages, max)
             : 0;
}

void
bd_backlog_set_others (struct bd_backlog *backlog,
                       const struct bd_account_traffic *usages, uint32_t count)
{
  if (backlog->is_shared)
    bd_accounts_set_others (&backlog->accounts, usages, count);
}

static struct bd_account_lane *
lane_of (struct bd_backlog *backlog, const struct bd_backlog_item *item)
{
  return item->trial != NULL
             ? &item->trial->lane
             : bd_accounts_lane (&backlog->accounts, &item->key);
}

void
bd_backlog_ask (struct bd_backlog *backlog, const struct bd_backlog_item *item,
                int64_t now_ms)
{
  if (!backlog->is_shared)
    return;
  if (item->trial != NULL)
    bd_accounts_try (&backlog->accounts, &item->key, item->trial);
  else
    bd_accounts_update (&backlog->accounts, now_ms);
  bd_accounts_ask (lane_of (backlog, item));
}

bool
bd_backlog_is_behind (struct bd_backlog *backlog,
                      const struct bd_backlog_item *item)
{
  return backlog->is_shared
         && bd_accounts_is_waiting (lane_of (backlog, item));
}

bool
bd_backlog_may_take (struct bd_backlog *backlog,
                     const struct bd_backlog_item *item, uint32_t free,
                     uint32_t slots)
{
  return !backlog->is_shared || item->is_resumed || item->has_run
         || bd_accounts_may_take (lane_of (backlog, item), item->is_late, free,
                                  slots);
}

void
bd_backlog_charge (struct bd_backlog *backlog,
                   const struct bd_backlog_item *item)
{
  if (backlog->is_shared)
    bd_accounts_charge (bd_accounts_lane (&backlog->accounts, &item->key));
}

/* Whether item is to be refused rather than last, which goes before it: as one
   of an account that is large in the fleet, or has as many waiting here.  */
static bool
loses_to (const struct bd_backlog_item *item,
          const struct bd_backlog_item *last)
{
  bool is_large = item->lane->flow->pool->has_others
                  && bd_accounts_is_large (item->lane);
  bool is_last_large = last->lane->flow->pool->has_others
                       && bd_accounts_is_large (last->lane);

  if (is_large != is_last_large)
    return is_large;
  return !bd_share_has_more (&last->lane->flow->total,
                             &item->lane->flow->total);
}

/* The request to refuse so that the one at place in order, or those after it,
   can be dispatched earlier: the last one, up to that place, of an account
   that is large in the fleet, else of the account with the most waiting
   requests, among those that are as urgent.  NULL if none may be refused.  */
static struct bd_backlog_item *
choose_excess (const GPtrArray *order, guint place)
{
  const struct bd_backlog_item *unserved = order->pdata[place];
  struct bd_backlog_item *last = NULL;

  for (guint i = 0; i <= place; i++)
    {
      struct bd_backlog_item *item = order->pdata[i];

      if (item->lane == NULL
          || item->lane->flow->pool != unserved->lane->flow->pool
          || item->has_run || compare_urgency (item, unserved) != 0)
        continue;
      if (last == NULL || loses_to (item, last))
        last = item;
    }
  return last;
}

/* Whether the request has requests of its model ahead of it and cannot be
   dispatched in time after them.  The first one can be dispatched at any
   moment.  */
static bool
is_unserved (const struct bd_backlog_item *item, int64_t now_ms)
{
  struct bd_account_pool *pool;
  uint32_t ahead;

  if (item->lane == NULL || item->is_resumed)
    return false;
  pool = item->lane->flow->pool;
  ahead = pool->ahead++;
  return ahead > 0 && bd_accounts_is_short (item->lane)
         && (double)now_ms + bd_accounts_wait_ms (pool, ahead)
                > (double)item->end_ms;
}

struct bd_backlog_item *
bd_backlog_find_excess (struct bd_backlog *backlog, int64_t now_ms)
{
  struct bd_backlog_item *excess = NULL;
  GPtrArray *order;

  if (!backlog->is_shared || backlog->waiting < 2)
    return NULL;
  order = arrange (backlog);
  bd_accounts_restart (&backlog->accounts);
  for (guint i = 0; i < order->len && excess == NULL; i++)
    if (is_unserved (order->pdata[i], now_ms))
      excess = choose_excess (order, i);
  g_ptr_array_free (order, TRUE);
  return excess;
}

int64_t
bd_backlog_retry_ms (struct bd_backlog *backlog,
                     const struct bd_backlog_item *item, int64_t min_ms)
{
  if (!backlog->is_shared)
    return min_ms;
  return bd_accounts_retry_ms (&backlog->accounts,
                               lane_of (backlog, item)->flow, min_ms);
}

/* The order of one pass does not change while visit adds and removes items:
   accounts that are served in it are charged as the order assumes.  */
static void
visit_shared (struct bd_backlog *backlog,
              bool (*visit) (void *ctx, struct bd_backlog_item *item),
              void *ctx)
{
  GPtrArray *order = arrange (backlog);

  for (guint i = 0; i < order->len; i++)
    ((struct bd_backlog_item *)order->pdata[i])->place = i;
  backlog->order = order;
  for (guint i = 0; i < order->len; i++)
    if (order->pdata[i] != NULL && !visit (ctx, order->pdata[i]))
      break;
  backlog->order = NULL;
  g_ptr_array_free (order, TRUE);
}

void
bd_backlog_foreach (struct bd_backlog *backlog,
                    bool (*visit) (void *ctx, struct bd_backlog_item *item),
                    void *ctx)
{
  GSequenceIter *iter;

  if (backlog->is_shared)
    {
      visit_shared (backlog, visit, ctx);
      return;
    }
  iter = g_sequence_get_begin_iter (backlog->items);
  while (!g_sequence_iter_is_end (iter))
    {
      GSequenceIter *next = g_sequence_iter_next (iter);

      if (!visit (ctx, g_sequence_get (iter)))
        return;
      iter = next;
    }
}

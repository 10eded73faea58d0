/* Weighted fair queue.  */

#include "admission/queue.h"

#include "admission/shares.h"

#include <math.h>
#include <string.h>

enum
{
  RATE_WINDOW_MS = 1000,
  MAX_WAIT_MS = 60000
};

static const double rate_smoothing = 0.2;
static const double service_smoothing = 0.05;

/* FIFO queue of the calls of one account.  */
struct bd_flow
{
  struct bd_share share;
  struct bd_queue_item *first;
  struct bd_queue_item *last;
};

void
bd_queue_init (struct bd_queue *queue, uint32_t max_count, size_t max_bytes,
               int64_t now_ms)
{
  memset (queue, 0, sizeof *queue);
  queue->flows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  queue->max_count = max_count;
  queue->max_bytes = max_bytes;
  queue->window_start_ms = now_ms;
}

void
bd_queue_finish (struct bd_queue *queue)
{
  g_hash_table_destroy (queue->flows);
}

static struct bd_flow *
get_or_create_flow (struct bd_queue *queue, const char *account)
{
  struct bd_flow *flow = g_hash_table_lookup (queue->flows, account);

  if (flow != NULL)
    return flow;
  flow = g_new0 (struct bd_flow, 1);
  g_hash_table_insert (queue->flows, g_strdup (account), flow);
  return flow;
}

void
bd_queue_remove (struct bd_queue *queue, struct bd_queue_item *item)
{
  struct bd_flow *flow = item->flow;

  if (flow == NULL)
    return;
  if (item->prev != NULL)
    item->prev->next = item->next;
  else
    flow->first = item->next;
  if (item->next != NULL)
    item->next->prev = item->prev;
  else
    flow->last = item->prev;
  flow->share.waiting--;
  queue->count--;
  queue->bytes -= item->bytes;
  item->flow = NULL;
}

/* Returns the last call of the account with the longest backlog relative to
   its weight, or NULL when the queue is empty.  */
static struct bd_queue_item *
last_of_longest_flow (const struct bd_queue *queue)
{
  struct bd_flow *longest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_flow *flow = value;
      if (flow->share.waiting > 0
          && (longest == NULL
              || bd_share_has_more (&flow->share, &longest->share)))
        longest = flow;
    }
  return longest != NULL ? longest->last : NULL;
}

static bool
is_full (const struct bd_queue *queue, const struct bd_queue_item *item)
{
  return queue->count >= queue->max_count
         || queue->bytes + item->bytes > queue->max_bytes;
}

/* Whether item fits in the place of victim.  */
static bool
can_replace (const struct bd_queue *queue, const struct bd_queue_item *victim,
             const struct bd_queue_item *item)
{
  return queue->count <= queue->max_count
         && queue->bytes - victim->bytes + item->bytes <= queue->max_bytes;
}

/* The last call of an account with a longer backlog than flow, which has this
   share, relative to the weights, if item fits in its place; or NULL.  flow is
   NULL for an account that has none yet.  */
static struct bd_queue_item *
find_victim (const struct bd_queue *queue, const struct bd_queue_item *item,
             const struct bd_flow *flow, const struct bd_share *share)
{
  struct bd_queue_item *victim = last_of_longest_flow (queue);
  struct bd_share with_item = *share;

  with_item.waiting++;
  return victim != NULL && victim->flow != flow
                 && bd_share_has_more (&victim->flow->share, &with_item)
                 && can_replace (queue, victim, item)
             ? victim
             : NULL;
}

int64_t
bd_queue_wait_ms (const struct bd_queue *queue)
{
  double wait_ms;

  if (queue->count == 0)
    return 0;
  if (queue->completions_per_s <= 0)
    return 1000;
  wait_ms = queue->count * 1000.0 / queue->completions_per_s;
  return (int64_t)fmin (wait_ms, MAX_WAIT_MS);
}

/* Expected wait of a new call of flow, in ms.  The accounts with waiting calls
   share the completion rate by weight, so the wait depends on the length of
   the call's own flow, which has this share.  flow is NULL for an account that
   has none yet.  */
static int64_t
flow_wait_ms (const struct bd_queue *queue, const struct bd_flow *flow,
              const struct bd_share *share)
{
  double weights = 0;
  double wait_ms;
  GHashTableIter iter;
  gpointer value;

  if (queue->completions_per_s <= 0)
    return 0;
  g_hash_table_iter_init (&iter, queue->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct bd_flow *)value)->share.waiting > 0 || value == flow)
      weights += ((struct bd_flow *)value)->share.weight;
  if (flow == NULL)
    weights += share->weight;
  wait_ms = (share->waiting + 1) * 1000.0 * weights
            / (share->weight * queue->completions_per_s);
  return (int64_t)fmin (wait_ms, (double)bd_queue_wait_ms (queue));
}

static void
append (struct bd_queue *queue, struct bd_flow *flow,
        struct bd_queue_item *item)
{
  bd_share_start (&flow->share, queue->virtual_time);
  item->flow = flow;
  item->virtual_finish = bd_share_charge (&flow->share);
  item->next = NULL;
  item->prev = flow->last;
  if (flow->last != NULL)
    flow->last->next = item;
  else
    flow->first = item;
  flow->last = item;
  flow->share.waiting++;
  queue->count++;
  queue->bytes += item->bytes;
}

/* Decides on a call of flow, which has this share; *victim is the call to
   remove for it, or NULL.  */
static enum bd_error
decide (const struct bd_queue *queue, const struct bd_queue_item *item,
        const struct bd_flow *flow, const struct bd_share *share,
        int64_t now_ms, struct bd_queue_item **victim)
{
  *victim = NULL;
  if (flow_wait_ms (queue, flow, share) + (int64_t)queue->service_ms
      > item->deadline_ms - now_ms)
    return BD_ERR_DEADLINE_UNREACHABLE;
  if (!is_full (queue, item))
    return BD_OK;
  *victim = find_victim (queue, item, flow, share);
  return *victim != NULL ? BD_OK : BD_ERR_OVERLOADED;
}

enum bd_error
bd_queue_push (struct bd_queue *queue, struct bd_queue_item *item,
               const char *account, double weight, int64_t now_ms,
               struct bd_queue_item **evicted)
{
  struct bd_flow *flow = get_or_create_flow (queue, account);
  enum bd_error error;

  flow->share.weight = weight;
  error = decide (queue, item, flow, &flow->share, now_ms, evicted);
  if (error != BD_OK)
    return error;
  if (*evicted != NULL)
    bd_queue_remove (queue, *evicted);
  append (queue, flow, item);
  return BD_OK;
}

enum bd_error
bd_queue_try_push (const struct bd_queue *queue,
                   const struct bd_queue_item *item, const char *account,
                   double weight, int64_t now_ms)
{
  const struct bd_flow *flow = g_hash_table_lookup (queue->flows, account);
  struct bd_share share = { .weight = weight };
  struct bd_queue_item *victim;

  if (flow != NULL)
    share = flow->share;
  share.weight = weight;
  return decide (queue, item, flow, &share, now_ms, &victim);
}

struct bd_queue_item *
bd_queue_pop (struct bd_queue *queue)
{
  struct bd_queue_item *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_queue_item *first = ((struct bd_flow *)value)->first;
      if (first != NULL
          && (best == NULL || first->virtual_finish < best->virtual_finish))
        best = first;
    }
  if (best == NULL)
    return NULL;
  queue->virtual_time = bd_share_advance (
      &best->flow->share, best->virtual_finish, queue->virtual_time);
  bd_queue_remove (queue, best);
  return best;
}

struct bd_queue_item *
bd_queue_pop_expired (struct bd_queue *queue, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (struct bd_queue_item *item = ((struct bd_flow *)value)->first;
         item != NULL; item = item->next)
      if (item->deadline_ms <= now_ms + (int64_t)queue->service_ms)
        {
          bd_queue_remove (queue, item);
          return item;
        }
  return NULL;
}

void
bd_queue_record_completion (struct bd_queue *queue, int64_t service_ms,
                            int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - queue->window_start_ms;
  double rate;

  queue->window_completions++;
  queue->service_ms
      += service_smoothing * ((double)service_ms - queue->service_ms);
  if (elapsed_ms < RATE_WINDOW_MS)
    return;
  rate = queue->window_completions * 1000.0 / (double)elapsed_ms;
  if (queue->completions_per_s > 0)
    queue->completions_per_s
        += rate_smoothing * (rate - queue->completions_per_s);
  else
    queue->completions_per_s = rate;
  queue->window_start_ms = now_ms;
  queue->window_completions = 0;
}

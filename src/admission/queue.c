/* The weighted fair queue.  */

#include "admission/queue.h"

#include <math.h>
#include <string.h>

enum
{
  RATE_WINDOW_MS = 1000,
  MAX_WAIT_MS = 60000
};

static const double rate_smoothing = 0.2;
static const double service_smoothing = 0.05;

/* The calls of one account, first come, first served.  */
struct bd_lane
{
  double weight;
  double last_finish;
  uint32_t count;
  struct bd_waiting *first;
  struct bd_waiting *last;
};

void
bd_queue_init (struct bd_queue *queue, uint32_t max_count, size_t max_bytes,
               int64_t now_ms)
{
  memset (queue, 0, sizeof *queue);
  queue->lanes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  queue->max_count = max_count;
  queue->max_bytes = max_bytes;
  queue->rate_since_ms = now_ms;
}

void
bd_queue_finish (struct bd_queue *queue)
{
  g_hash_table_destroy (queue->lanes);
}

static struct bd_lane *
lane_made (struct bd_queue *queue, const char *account)
{
  struct bd_lane *lane = g_hash_table_lookup (queue->lanes, account);

  if (lane != NULL)
    return lane;
  lane = g_new0 (struct bd_lane, 1);
  g_hash_table_insert (queue->lanes, g_strdup (account), lane);
  return lane;
}

void
bd_queue_remove (struct bd_queue *queue, struct bd_waiting *waiting)
{
  struct bd_lane *lane = waiting->lane;

  if (lane == NULL)
    return;
  if (waiting->prev != NULL)
    waiting->prev->next = waiting->next;
  else
    lane->first = waiting->next;
  if (waiting->next != NULL)
    waiting->next->prev = waiting->prev;
  else
    lane->last = waiting->prev;
  lane->count--;
  queue->count--;
  queue->bytes -= waiting->bytes;
  waiting->lane = NULL;
}

/* The last call of the account that has the most waiting for its weight.  */
static struct bd_waiting *
longest_backlog (struct bd_queue *queue)
{
  struct bd_lane *longest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->lanes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_lane *lane = value;
      if (lane->count > 0
          && (longest == NULL
              || lane->count / lane->weight
                     > longest->count / longest->weight))
        longest = lane;
    }
  return longest != NULL ? longest->last : NULL;
}

static bool
is_full (const struct bd_queue *queue, const struct bd_waiting *waiting)
{
  return queue->count >= queue->max_count
         || queue->bytes + waiting->bytes > queue->max_bytes;
}

/* Makes room at the cost of another account; false when there is none.  */
static bool
evict (struct bd_queue *queue, const struct bd_waiting *waiting,
       const struct bd_lane *lane, struct bd_waiting **evicted)
{
  struct bd_waiting *victim = longest_backlog (queue);

  if (victim == NULL || victim->lane == lane
      || victim->lane->count / victim->lane->weight
             <= (lane->count + 1) / lane->weight)
    return false;
  bd_queue_remove (queue, victim);
  *evicted = victim;
  return !is_full (queue, waiting);
}

int64_t
bd_queue_wait_ms (const struct bd_queue *queue)
{
  double wait_ms;

  if (queue->count == 0)
    return 0;
  if (queue->finished_per_s <= 0)
    return 1000;
  wait_ms = queue->count * 1000.0 / queue->finished_per_s;
  return (int64_t)fmin (wait_ms, MAX_WAIT_MS);
}

/* How long a call of lane waits: in a fair queue it shares the rate with the
   accounts that wait, so its own lane's length counts.  */
static int64_t
wait_in_lane_ms (const struct bd_queue *queue, const struct bd_lane *lane)
{
  double weights = 0;
  double wait_ms;
  GHashTableIter iter;
  gpointer value;

  if (queue->finished_per_s <= 0)
    return 0;
  g_hash_table_iter_init (&iter, queue->lanes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct bd_lane *)value)->count > 0 || value == lane)
      weights += ((struct bd_lane *)value)->weight;
  wait_ms = (lane->count + 1) * 1000.0 * weights
            / (lane->weight * queue->finished_per_s);
  return (int64_t)fmin (wait_ms, (double)bd_queue_wait_ms (queue));
}

static void
append (struct bd_queue *queue, struct bd_lane *lane,
        struct bd_waiting *waiting)
{
  double start = fmax (queue->virtual_time, lane->last_finish);

  waiting->lane = lane;
  waiting->finish = start + 1.0 / lane->weight;
  waiting->next = NULL;
  waiting->prev = lane->last;
  if (lane->last != NULL)
    lane->last->next = waiting;
  else
    lane->first = waiting;
  lane->last = waiting;
  lane->last_finish = waiting->finish;
  lane->count++;
  queue->count++;
  queue->bytes += waiting->bytes;
}

enum bd_error
bd_queue_push (struct bd_queue *queue, struct bd_waiting *waiting,
               const char *account, double weight, int64_t now_ms,
               struct bd_waiting **evicted)
{
  struct bd_lane *lane = lane_made (queue, account);

  *evicted = NULL;
  lane->weight = weight;
  if (wait_in_lane_ms (queue, lane) + (int64_t)queue->service_ms
      > waiting->deadline_ms - now_ms)
    return BD_ERR_DEADLINE_UNREACHABLE;
  if (is_full (queue, waiting) && !evict (queue, waiting, lane, evicted))
    return BD_ERR_OVERLOADED;
  append (queue, lane, waiting);
  return BD_OK;
}

struct bd_waiting *
bd_queue_pop (struct bd_queue *queue)
{
  struct bd_waiting *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->lanes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_waiting *first = ((struct bd_lane *)value)->first;
      if (first != NULL && (best == NULL || first->finish < best->finish))
        best = first;
    }
  if (best == NULL)
    return NULL;
  queue->virtual_time
      = fmax (queue->virtual_time, best->finish - 1.0 / best->lane->weight);
  bd_queue_remove (queue, best);
  return best;
}

struct bd_waiting *
bd_queue_expired (struct bd_queue *queue, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->lanes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (struct bd_waiting *w = ((struct bd_lane *)value)->first; w != NULL;
         w = w->next)
      if (w->deadline_ms <= now_ms + (int64_t)queue->service_ms)
        {
          bd_queue_remove (queue, w);
          return w;
        }
  return NULL;
}

void
bd_queue_finished (struct bd_queue *queue, int64_t service_ms, int64_t now_ms)
{
  int64_t passed_ms = now_ms - queue->rate_since_ms;
  double rate;

  queue->rate_count++;
  queue->service_ms
      += service_smoothing * ((double)service_ms - queue->service_ms);
  if (passed_ms < RATE_WINDOW_MS)
    return;
  rate = queue->rate_count * 1000.0 / (double)passed_ms;
  if (queue->finished_per_s > 0)
    queue->finished_per_s += rate_smoothing * (rate - queue->finished_per_s);
  else
    queue->finished_per_s = rate;
  queue->rate_since_ms = now_ms;
  queue->rate_count = 0;
}

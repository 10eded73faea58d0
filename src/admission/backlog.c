/* Order of the waiting requests.  */

#include "admission/backlog.h"

static gint
compare (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct bd_backlog_item *left = a;
  const struct bd_backlog_item *right = b;

  (void)ctx;
  if (left->is_resumed != right->is_resumed)
    return left->is_resumed ? -1 : 1;
  if (left->is_late != right->is_late)
    return left->is_late ? 1 : -1;
  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (left->objective_ms != right->objective_ms)
    return left->objective_ms < right->objective_ms ? -1 : 1;
  return left < right ? -1 : left > right;
}

void
bd_backlog_init (struct bd_backlog *backlog)
{
  backlog->items = g_sequence_new (NULL);
  backlog->waiting = 0;
}

void
bd_backlog_finish (struct bd_backlog *backlog)
{
  g_sequence_free (backlog->items);
}

void
bd_backlog_add (struct bd_backlog *backlog, struct bd_backlog_item *item,
                int64_t now_ms)
{
  item->backlog = backlog;
  item->since_ms = now_ms;
  item->position
      = g_sequence_insert_sorted (backlog->items, item, compare, NULL);
  backlog->waiting += !item->has_target;
}

void
bd_backlog_remove (struct bd_backlog_item *item)
{
  if (item->backlog == NULL)
    return;
  g_sequence_remove (item->position);
  item->backlog->waiting -= !item->has_target;
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
    g_sequence_sort (backlog->items, compare, NULL);
}

void
bd_backlog_foreach (struct bd_backlog *backlog,
                    bool (*visit) (void *ctx, struct bd_backlog_item *item),
                    void *ctx)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (backlog->items);

  while (!g_sequence_iter_is_end (iter))
    {
      GSequenceIter *next = g_sequence_iter_next (iter);

      if (!visit (ctx, g_sequence_get (iter)))
        return;
      iter = next;
    }
}

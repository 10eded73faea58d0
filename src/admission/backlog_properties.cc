/* Properties of the backlog: without shares, the order is that of class,
   priority and objective whatever was added, removed and marked; with shares,
   each waiting request is visited once, and urgency goes first.  */

#include <glib.h>

extern "C"
{
#include "admission/backlog.h"
}

#include <algorithm>
#include <rapidcheck.h>
#include <tuple>
#include <vector>

namespace
{

/* The order before there were shares.  */
bool
comes_before (const bd_backlog_item *left, const bd_backlog_item *right)
{
  return std::make_tuple (!left->is_resumed, left->is_late, left->priority,
                          left->objective_ms, left)
         < std::make_tuple (!right->is_resumed, right->is_late,
                            right->priority, right->objective_ms, right);
}

bool
is_less_urgent (const bd_backlog_item *left, const bd_backlog_item *right)
{
  return std::make_tuple (!left->is_resumed, left->is_late, left->priority)
         > std::make_tuple (!right->is_resumed, right->is_late,
                            right->priority);
}

bool
collect (void *ctx, bd_backlog_item *item)
{
  static_cast<std::vector<bd_backlog_item *> *> (ctx)->push_back (item);
  return true;
}

void
fill (bd_backlog_item *item, int64_t now_ms)
{
  *item = bd_backlog_item{};
  item->objective_ms = now_ms + *rc::gen::inRange (0, 600);
  item->first_event_delay_ms = *rc::gen::inRange (0, 200);
  item->end_ms = now_ms + *rc::gen::inRange (0, 2000);
  item->priority = *rc::gen::inRange<uint32_t> (0, 3);
  item->is_resumed = *rc::gen::inRange (0, 8) == 0;
  item->has_target = *rc::gen::inRange (0, 8) == 0;
  item->has_run = *rc::gen::inRange (0, 4) == 0;
  item->key.account = *rc::gen::inRange<uint64_t> (0, 4);
  item->key.model = *rc::gen::inRange<uint64_t> (0, 2);
  item->key.priority = item->priority;
}

/* The calls that the edge daemon makes whether accounts have shares or not. */
void
check_shares_calls (bd_backlog *backlog, bd_backlog_item *item, int64_t now_ms,
                    bool is_shared)
{
  bd_backlog_item *excess = bd_backlog_find_excess (backlog, now_ms);
  int64_t retry_ms = bd_backlog_retry_ms (backlog, item, 200);

  if (!is_shared)
    {
      RC_ASSERT (excess == nullptr);
      RC_ASSERT (retry_ms == 200);
      RC_ASSERT (bd_backlog_may_take (backlog, item, 1, 1000));
      return;
    }
  RC_ASSERT (retry_ms >= 200 && retry_ms <= 10000);
  RC_ASSERT (bd_backlog_may_take (backlog, item, 21, 1000));
  if (excess != nullptr)
    RC_ASSERT (!excess->is_resumed && !excess->has_run && !excess->has_target
               && excess->backlog == backlog);
}

void
check_order (bool is_shared)
{
  std::vector<bd_backlog_item> items (24);
  std::vector<bd_backlog_item *> queued;
  bd_backlog backlog;
  int64_t now_ms = 1000;
  const auto steps = *rc::gen::inRange (1, 80);

  bd_backlog_init (&backlog);
  if (is_shared)
    bd_backlog_share (&backlog, 0.3);
  for (int step = 0; step < steps; step++)
    {
      bd_backlog_item *item
          = &items[*rc::gen::inRange<size_t> (0, items.size ())];
      std::vector<bd_backlog_item *> visited;

      now_ms += *rc::gen::inRange (0, 100);
      if (item->backlog == nullptr)
        {
          fill (item, now_ms);
          bd_backlog_ask (&backlog, item, now_ms);
          bd_backlog_add (&backlog, item, now_ms);
          queued.push_back (item);
        }
      else
        {
          if (*rc::gen::inRange (0, 2) == 0)
            bd_backlog_charge (&backlog, item);
          bd_backlog_remove (item);
          queued.erase (std::find (queued.begin (), queued.end (), item));
        }
      if (*rc::gen::inRange (0, 2) == 0)
        bd_backlog_mark_late (&backlog, now_ms);
      bd_backlog_foreach (&backlog, collect, &visited);
      if (is_shared)
        {
          auto same = visited;

          RC_ASSERT (std::adjacent_find (visited.begin (), visited.end (),
                                         is_less_urgent)
                     == visited.end ());
          std::sort (same.begin (), same.end ());
          std::sort (queued.begin (), queued.end ());
          RC_ASSERT (same == queued);
        }
      else
        {
          std::sort (queued.begin (), queued.end (), comes_before);
          RC_ASSERT (visited == queued);
        }
      RC_ASSERT (bd_backlog_count (&backlog)
                 == std::count_if (queued.begin (), queued.end (),
                                   [] (const bd_backlog_item *queued_item) {
                                     return !queued_item->has_target;
                                   }));
      check_shares_calls (&backlog, item, now_ms, is_shared);
    }
  for (bd_backlog_item *item : queued)
    bd_backlog_remove (item);
  RC_ASSERT (bd_backlog_is_empty (&backlog));
  bd_backlog_finish (&backlog);
}

} // namespace

int
main ()
{
  bool is_ok = true;

  is_ok = rc::check ("without shares, the order is as it was before them",
                     [] () { check_order (false); })
          && is_ok;
  is_ok = rc::check ("with shares, all are visited, and urgency goes first",
                     [] () { check_order (true); })
          && is_ok;
  return is_ok ? 0 : 1;
}

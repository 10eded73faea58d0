/* Priority queue of the requests that wait at a daemon for a free slot.  Pure.

   Bursts, and groups lost under load, leave more requests than free slots.
   Order, from first to last: resumed requests; requests that can still meet
   their latency objective; late requests.  Late requests go last so that one
   backlog does not make all requests late.  Within each class, the lower
   priority number goes first, then the earlier objective.

   A request that runs at a target that stalls can be in the backlog too: it
   goes to another one when its turn comes, and is not counted as waiting.

   Embed a struct bd_backlog_item in the request, fill its fields from
   objective_ms on and add it.  Before each dispatch call
   bd_backlog_mark_late(), then walk the backlog with bd_backlog_foreach().
   All times are in ms of one monotonic clock.  */

#ifndef BD_ADMISSION_BACKLOG_H
#define BD_ADMISSION_BACKLOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct bd_backlog;

/* One waiting request; embedded in the caller's struct.  */
struct bd_backlog_item
{
  void *owner;
  struct bd_backlog *backlog; /* NULL while the request is not queued.  */
  GSequenceIter *position;
  int64_t since_ms;             /* Time at which the request was added.  */
  int64_t objective_ms;         /* Time at which the first event is due.  */
  int64_t first_event_delay_ms; /* From dispatch to the first event.  */
  int64_t deadline_ms;
  uint32_t priority; /* 0 is the most urgent.  */
  bool is_late;
  bool is_resumed; /* Has run in part; goes before all others.  */
  bool has_target; /* Its attempt goes on meanwhile.  */
};

struct bd_backlog
{
  GSequence *items;
  uint32_t waiting; /* Items without a target.  */
};

/* bd_backlog_init(), bd_backlog_finish(): create and free an empty backlog;
   the items belong to the caller.  */
void bd_backlog_init (struct bd_backlog *backlog);
void bd_backlog_finish (struct bd_backlog *backlog);

/* bd_backlog_add(): inserts item in order.  The caller has set its fields from
   objective_ms on.  */
void bd_backlog_add (struct bd_backlog *backlog, struct bd_backlog_item *item,
                     int64_t now_ms);

/* bd_backlog_remove(): removes item; does nothing when it is not queued.  */
void bd_backlog_remove (struct bd_backlog_item *item);

/* bd_backlog_count(): number of waiting requests, without those that have a
   target.  */
uint32_t bd_backlog_count (const struct bd_backlog *backlog);

/* bd_backlog_is_empty(): whether no item is queued.  */
bool bd_backlog_is_empty (const struct bd_backlog *backlog);

/* bd_backlog_mark_late(): moves items to the late class when they would miss
   their objective even if dispatched at now_ms.  */
void bd_backlog_mark_late (struct bd_backlog *backlog, int64_t now_ms);

/* bd_backlog_foreach(): calls visit for the items in order until it returns
   false.  visit is allowed to remove the item that it receives.  */
void bd_backlog_foreach (struct bd_backlog *backlog,
                         bool (*visit) (void *ctx,
                                        struct bd_backlog_item *item),
                         void *ctx);

#endif

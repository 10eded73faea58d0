/* Requests that wait at a daemon for a place.  Pure.

   The load that this answers: bursts, and groups lost under load, when more
   requests come than places are free.  What can still meet its objective goes
   first, the earliest objective before others; what is late already waits
   behind, so that a backlog does not make everything late.  Within these,
   urgent priorities go before others.  */

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
  struct bd_backlog *backlog; /* NULL while it does not wait.  */
  GSequenceIter *position;
  int64_t since_ms;
  int64_t objective_ms;         /* When its first event should be there.  */
  int64_t first_event_delay_ms; /* From a place until its first event.  */
  int64_t deadline_ms;
  uint32_t priority; /* 0 goes first.  */
  bool is_late;
  bool is_resumed; /* Has run in part: goes before all others.  */
};

struct bd_backlog
{
  GSequence *items;
};

void bd_backlog_init (struct bd_backlog *backlog);
void bd_backlog_finish (struct bd_backlog *backlog);

/* bd_backlog_add(): item's fields from objective_ms on are set.  */
void bd_backlog_add (struct bd_backlog *backlog, struct bd_backlog_item *item,
                     int64_t now_ms);

/* bd_backlog_remove(): takes it out; does nothing when it does not wait.  */
void bd_backlog_remove (struct bd_backlog_item *item);

/* bd_backlog_count(): requests that wait.  */
uint32_t bd_backlog_count (const struct bd_backlog *backlog);

/* bd_backlog_mark_late(): moves items behind whose objective cannot be met any
   more, even if they had a place now.  */
void bd_backlog_mark_late (struct bd_backlog *backlog, int64_t now_ms);

/* bd_backlog_foreach(): calls visit for the items in order until it returns
   false; visit may remove the item that it is given.  */
void bd_backlog_foreach (struct bd_backlog *backlog,
                         bool (*visit) (void *ctx,
                                        struct bd_backlog_item *item),
                         void *ctx);

#endif

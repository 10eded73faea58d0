/* Priority queue of the requests that wait at a daemon for a free slot.  Pure.

   Bursts, and groups lost under load, leave more requests than free slots.
   Order, from first to last: resumed requests; requests that can still meet
   their latency objective; late requests.  Late requests go last so that one
   backlog does not make all requests late.  Within each class, the lower
   priority number goes first, then the earlier objective.

   With bd_backlog_share() the requests of one class and priority are ordered
   by their accounts' shares of what is dispatched (admission/accounts.h), and
   those of an account by the time at which they become late, so that a long
   prompt, which takes longer to its first event, goes earlier.  When not all
   that wait can be dispatched before their callers leave,
   bd_backlog_find_excess() names the one to refuse.

   A request that runs at a target that stalls can be in the backlog too: it
   goes to another one when its turn comes, and is not counted as waiting.

   Embed a struct bd_backlog_item in the request, fill its fields from
   objective_ms on and add it.  Before each dispatch call
   bd_backlog_mark_late(), then walk the backlog with bd_backlog_foreach().
   All times are in ms of one monotonic clock.  */

#ifndef BD_ADMISSION_BACKLOG_H
#define BD_ADMISSION_BACKLOG_H

#include "admission/accounts.h"

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
  /* The rest is used only with shares.  */
  struct bd_account_key key;
  int64_t end_ms;               /* Time until which it can be dispatched.  */
  bool has_run;                 /* Was sent before; is never refused early.  */
  struct bd_account_lane *lane; /* Set while the request waits.  */
  /* Set, and allocated by the caller, for a request that is not to change the
     backlog: used in place of its account's lane.  It is never added.  */
  struct bd_account_trial *trial;
  double virtual_finish; /* In the current order.  */
  uint32_t place;        /* The same.  */
};

struct bd_backlog
{
  GSequence *items;
  uint32_t waiting; /* Items without a target.  */
  bool is_shared;   /* Ordered by the shares of accounts.  */
  struct bd_accounts accounts;
  GPtrArray *order; /* While the items are visited; NULL where one was
                       removed.  */
};

/* bd_backlog_init(), bd_backlog_finish(): create and free an empty backlog;
   the items belong to the caller.  */
void bd_backlog_init (struct bd_backlog *backlog);
void bd_backlog_finish (struct bd_backlog *backlog);

/* bd_backlog_share(): orders an empty backlog by the shares of accounts from
   now on.  phase is that of bd_accounts_init().  */
void bd_backlog_share (struct bd_backlog *backlog, double phase);

/* bd_backlog_add(): inserts item in order.  The caller has set its fields from
   objective_ms on.  */
void bd_backlog_add (struct bd_backlog *backlog, struct bd_backlog_item *item,
                     int64_t now_ms);

/* bd_backlog_remove(): removes item; does nothing when it is not queued.  */
void bd_backlog_remove (struct bd_backlog_item *item);

/* bd_backlog_accounts(), bd_backlog_set_others(): what the accounts ask for
   and get here, and at the other daemons; see bd_accounts_usages() and
   bd_accounts_set_others().  Nothing without shares.  */
uint32_t bd_backlog_accounts (const struct bd_backlog *backlog,
                              struct bd_account_traffic *usages, uint32_t max);
void bd_backlog_set_others (struct bd_backlog *backlog,
                            const struct bd_account_traffic *usages,
                            uint32_t count);

/* bd_backlog_ask(): item is a new request, whose key is set.  Call it once,
   before the request is sent or added.  Does nothing without shares.  Sets the
   trial of an item that has one.  */
void bd_backlog_ask (struct bd_backlog *backlog,
                     const struct bd_backlog_item *item, int64_t now_ms);

/* bd_backlog_is_behind(): whether a new request has to wait for its turn
   because others wait for its model.  Always false without shares.  */
bool bd_backlog_is_behind (struct bd_backlog *backlog,
                           const struct bd_backlog_item *item);

/* bd_backlog_may_take(): whether item, queued or not, may have one of the free
   slots of its model; see bd_accounts_may_take().  Always true without
   shares, and for a request that was sent before.  */
bool bd_backlog_may_take (struct bd_backlog *backlog,
                          const struct bd_backlog_item *item, uint32_t free,
                          uint32_t slots);

/* bd_backlog_charge(): item, queued or not, is about to be sent for the first
   time.  Does nothing without shares.  */
void bd_backlog_charge (struct bd_backlog *backlog,
                        const struct bd_backlog_item *item);

/* bd_backlog_find_excess(): when a waiting request cannot be dispatched before
   its end_ms, at the measured rate and in the current order, returns the
   request to refuse: the last one ahead of it, or itself, of an account that
   is large in the fleet, else of the one that has the most waiting for the
   same model, among those of its class and priority.  NULL when all can be,
   when the rate is unknown, when the fleet dispatches what is asked for, and
   without shares.  Call it again after the request was removed.  */
struct bd_backlog_item *bd_backlog_find_excess (struct bd_backlog *backlog,
                                                int64_t now_ms);

/* bd_backlog_retry_ms(): when the caller of a refused item should return; see
   bd_accounts_retry_ms().  min_ms without shares.  */
int64_t bd_backlog_retry_ms (struct bd_backlog *backlog,
                             const struct bd_backlog_item *item,
                             int64_t min_ms);

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

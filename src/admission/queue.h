/* The queue before a service: weighted fair among client accounts, bounded in
   count and bytes, with an estimate of the wait.  Pure.

   Fairness is by virtual finish times: an account's next call finishes one
   over its weight after its last one.  When the queue is full, the account
   with the longest backlog for its weight loses its last call, so that a
   flood harms the account that floods.  */

#ifndef BD_ADMISSION_QUEUE_H
#define BD_ADMISSION_QUEUE_H

#include "base/error.h"
#include "base/ids.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One waiting call; embedded in the caller's own struct.  */
struct bd_queue_item
{
  void *owner;
  struct bd_flow *flow;
  double virtual_finish;
  size_t bytes;
  int64_t deadline_ms;
  struct bd_queue_item *prev;
  struct bd_queue_item *next;
};

struct bd_queue
{
  GHashTable *flows; /* Account -> struct bd_flow.  */
  uint32_t count;
  size_t bytes;
  uint32_t max_count;
  size_t max_bytes;
  double virtual_time;
  /* Calls finished a second, smoothed, for the estimate of the wait.  */
  double completions_per_s;
  double service_ms; /* From dispatch to end, smoothed.  */
  int64_t window_start_ms;
  uint32_t window_completions;
};

void bd_queue_init (struct bd_queue *queue, uint32_t max_count,
                    size_t max_bytes, int64_t now_ms);
void bd_queue_finish (struct bd_queue *queue);

/* bd_queue_push(): adds a call.  weight is the account's.
   Returns BD_OK, BD_ERR_OVERLOADED, or BD_ERR_DEADLINE_UNREACHABLE when the
   wait is longer than the time until deadline_ms.  *evicted is a call that
   had to make room, to be answered at once; NULL when there is none.  */
enum bd_error bd_queue_push (struct bd_queue *queue,
                             struct bd_queue_item *item, const char *account,
                             double weight, int64_t now_ms,
                             struct bd_queue_item **evicted);

/* bd_queue_pop(): the next call in fair order, or NULL.  */
struct bd_queue_item *bd_queue_pop (struct bd_queue *queue);

/* bd_queue_remove(): takes a call out, wherever it is.  */
void bd_queue_remove (struct bd_queue *queue, struct bd_queue_item *item);

/* bd_queue_pop_expired(): a call that can no longer meet its deadline, since
   its service takes as long as is left or longer; taken out.  NULL when there
   is none.  */
struct bd_queue_item *bd_queue_pop_expired (struct bd_queue *queue,
                                            int64_t now_ms);

/* bd_queue_record_completion(): a call of this service has finished,
   service_ms after its dispatch.  */
void bd_queue_record_completion (struct bd_queue *queue, int64_t service_ms,
                                 int64_t now_ms);

/* bd_queue_wait_ms(): how long the present backlog takes; also what a caller
   is told to wait before it comes back.  */
int64_t bd_queue_wait_ms (const struct bd_queue *queue);

#endif

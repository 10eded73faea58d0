/* Weighted fair queue in front of a service: fair among client accounts,
   bounded in count and bytes, with an estimate of the wait.  Pure.

   Each account has a flow, and calls are served by virtual finish time.  That
   of a call is 1 / weight after that of the previous call of its flow, or
   after the current virtual time if that is later.  When the queue is
   full, the account with the longest backlog relative to its weight loses its
   last call, so that a flood only evicts calls of the account that sends it.

   All times are in ms of one monotonic clock.  */

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
  double virtual_finish; /* Virtual finish time.  */
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
  /* Smoothed completion rate, for the estimate of the wait.  */
  double completions_per_s;
  double service_ms; /* From dispatch to completion, smoothed.  */
  int64_t window_start_ms;
  uint32_t window_completions;
};

/* bd_queue_init(), bd_queue_finish(): create and free a queue of at most
   max_count calls and max_bytes bytes; the items belong to the caller.  */
void bd_queue_init (struct bd_queue *queue, uint32_t max_count,
                    size_t max_bytes, int64_t now_ms);
void bd_queue_finish (struct bd_queue *queue);

/* bd_queue_push(): adds a call to the flow of account, whose weight is weight.
   Returns BD_OK; BD_ERR_OVERLOADED when the queue is full; or
   BD_ERR_DEADLINE_UNREACHABLE when the expected wait and service time exceed
   the time until deadline_ms.  *evicted is a call that was removed to free
   capacity, which the caller has to refuse; NULL unless the result is BD_OK.
 */
enum bd_error bd_queue_push (struct bd_queue *queue,
                             struct bd_queue_item *item, const char *account,
                             double weight, int64_t now_ms,
                             struct bd_queue_item **evicted);

/* bd_queue_try_push(): the result of bd_queue_push() for a call that is not
   added.  */
enum bd_error bd_queue_try_push (const struct bd_queue *queue,
                                 const struct bd_queue_item *item,
                                 const char *account, double weight,
                                 int64_t now_ms);

/* bd_queue_pop(): removes and returns the next call in fair order, or NULL. */
struct bd_queue_item *bd_queue_pop (struct bd_queue *queue);

/* bd_queue_remove(): removes a call from any position; does nothing when it is
   not queued.  */
void bd_queue_remove (struct bd_queue *queue, struct bd_queue_item *item);

/* bd_queue_pop_expired(): removes and returns a call that can no longer meet
   its deadline because the smoothed service time is at least the time left.
   NULL when there is none.  */
struct bd_queue_item *bd_queue_pop_expired (struct bd_queue *queue,
                                            int64_t now_ms);

/* bd_queue_record_completion(): records that a call of this service finished
   service_ms after its dispatch.  */
void bd_queue_record_completion (struct bd_queue *queue, int64_t service_ms,
                                 int64_t now_ms);

/* bd_queue_wait_ms(): expected time in ms to serve the current backlog, at
   most 60000, and 1000 while the rate is unknown.  Also sent to refused
   callers as the time to wait before a retry.  */
int64_t bd_queue_wait_ms (const struct bd_queue *queue);

#endif

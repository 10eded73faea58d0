/* Timers of the event loop on the monotonic clock.

   tevent schedules its own timers by wall-clock time, so that a step of that
   clock delays them or fires them early.  These timers use CLOCK_MONOTONIC and
   are not affected.  */

#ifndef BD_BASE_TIMER_H
#define BD_BASE_TIMER_H

#include <stdint.h>
#include <tevent.h>

struct bd_timer;

typedef void bd_timer_handler (void *ctx);

/* bd_timer_add(): calls handler once, after delay_ms; 0 means in the next
   iteration of the event loop.  The timer is allocated on mem; talloc_free()
   cancels it, and it is freed after handler returns.  Returns NULL if out of
   memory or if no timer descriptor can be created for this event loop.  */
struct bd_timer *bd_timer_add (struct tevent_context *events, void *mem,
                               int64_t delay_ms, bd_timer_handler *handler,
                               void *ctx);

#endif

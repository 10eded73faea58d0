/* Timers of the event loop on the monotonic clock.

   tevent keeps its own timers by the time of day, so that a step of that
   clock holds them up or sets them off early.  These fire after a span of
   monotonic time, whatever the time of day does.  */

#ifndef BD_BASE_TIMER_H
#define BD_BASE_TIMER_H

#include <stdint.h>
#include <tevent.h>

struct bd_timer;

typedef void bd_timer_handler (void *ctx);

/* bd_timer_add(): calls handler once, in delay_ms (0 stands for the next turn
   of the loop).  The timer lives on mem; talloc_free() cancels it, and it is
   freed after it has fired.  Returns NULL when there is no memory or no
   descriptor for the timers of this loop.  */
struct bd_timer *bd_timer_add (struct tevent_context *events, void *mem,
                               int64_t delay_ms, bd_timer_handler *handler,
                               void *ctx);

#endif

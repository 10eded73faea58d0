/* Periodic timers on the event loop.  */

#ifndef BD_BASE_TICKER_H
#define BD_BASE_TICKER_H

#include "base/clock.h"
#include "base/timer.h"

#include <gsl/gsl_rng.h>
#include <stdint.h>
#include <tevent.h>

typedef void bd_ticker_handler (void *ctx);

struct bd_ticker
{
  struct tevent_context *events;
  struct bd_timer *timer;
  gsl_rng *rng;
  struct bd_clock clock;
  uint32_t period_ms;
  int64_t due_us; /* When the next call of handler is due.  */
  int64_t lag_ms; /* How late the last one was.  */
  bd_ticker_handler *handler;
  void *ctx;
};

/* bd_ticker_init(): calls handler about every period_ms, for the first time
   after 1 ms.  Each interval varies by up to 10 % at random, so that daemons
   do not do their periodic work at the same moment.  */
void bd_ticker_init (struct bd_ticker *ticker, struct tevent_context *events,
                     gsl_rng *rng, uint32_t period_ms,
                     bd_ticker_handler *handler, void *ctx);

/* bd_ticker_lag_ms(): time between when the last call of handler was due and
   when it was made: how late the event loop is.  0 before the first call.  */
int64_t bd_ticker_lag_ms (const struct bd_ticker *ticker);

/* bd_ticker_overdue_ms(): how late the next call of handler is already; 0 if
   it is not due yet.  */
int64_t bd_ticker_overdue_ms (const struct bd_ticker *ticker);

/* bd_ticker_finish(): stops the ticker.  */
void bd_ticker_finish (struct bd_ticker *ticker);

/* bd_ticker_reschedule(): moves the next call of handler to delay_ms from
   now.  */
void bd_ticker_reschedule (struct bd_ticker *ticker, uint32_t delay_ms);

#endif

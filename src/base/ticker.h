/* Work that repeats on the event loop.  */

#ifndef BD_BASE_TICKER_H
#define BD_BASE_TICKER_H

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
  uint32_t period_ms;
  bd_ticker_handler *handler;
  void *ctx;
};

/* bd_ticker_init(): calls handler about every period_ms, a tenth more or
   less, so that daemons do not move in step.  */
void bd_ticker_init (struct bd_ticker *ticker, struct tevent_context *events,
                     gsl_rng *rng, uint32_t period_ms,
                     bd_ticker_handler *handler, void *ctx);

/* bd_ticker_finish(): stops it.  */
void bd_ticker_finish (struct bd_ticker *ticker);

/* bd_ticker_reschedule(): calls handler within delay_ms.  */
void bd_ticker_reschedule (struct bd_ticker *ticker, uint32_t delay_ms);

#endif

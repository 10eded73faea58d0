/* Periodic timers with jitter.  */

#include "base/ticker.h"

#include <talloc.h>

static void arm (struct bd_ticker *ticker, uint32_t delay_ms);

static void
handle_timer (void *private_data)
{
  struct bd_ticker *ticker = private_data;
  double jitter_factor = 0.9 + 0.2 * gsl_rng_uniform (ticker->rng);

  ticker->timer = NULL;
  arm (ticker, (uint32_t)(ticker->period_ms * jitter_factor));
  ticker->handler (ticker->ctx);
}

static void
arm (struct bd_ticker *ticker, uint32_t delay_ms)
{
  TALLOC_FREE (ticker->timer);
  ticker->timer = bd_timer_add (ticker->events, ticker->events, delay_ms,
                                handle_timer, ticker);
}

void
bd_ticker_init (struct bd_ticker *ticker, struct tevent_context *events,
                gsl_rng *rng, uint32_t period_ms, bd_ticker_handler *handler,
                void *ctx)
{
  ticker->events = events;
  ticker->timer = NULL;
  ticker->rng = rng;
  ticker->period_ms = period_ms;
  ticker->handler = handler;
  ticker->ctx = ctx;
  arm (ticker, 1);
}

void
bd_ticker_finish (struct bd_ticker *ticker)
{
  TALLOC_FREE (ticker->timer);
}

void
bd_ticker_reschedule (struct bd_ticker *ticker, uint32_t delay_ms)
{
  arm (ticker, delay_ms);
}

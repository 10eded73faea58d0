/* Periodic timers with jitter.  */

#include "base/ticker.h"

#include <talloc.h>

enum
{
  US_PER_MS = 1000
};

static void arm (struct bd_ticker *ticker, uint32_t delay_ms);

static void
handle_timer (void *private_data)
{
  struct bd_ticker *ticker = private_data;
  double jitter_factor = 0.9 + 0.2 * gsl_rng_uniform (ticker->rng);

  ticker->timer = NULL;
  ticker->lag_ms
      = (bd_clock_now_us (&ticker->clock) - ticker->due_us) / US_PER_MS;
  arm (ticker, (uint32_t)(ticker->period_ms * jitter_factor));
  ticker->handler (ticker->ctx);
}

static void
arm (struct bd_ticker *ticker, uint32_t delay_ms)
{
  TALLOC_FREE (ticker->timer);
  ticker->due_us
      = bd_clock_now_us (&ticker->clock) + (int64_t)delay_ms * US_PER_MS;
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
  ticker->clock = bd_clock_system ();
  ticker->period_ms = period_ms;
  ticker->lag_ms = 0;
  ticker->handler = handler;
  ticker->ctx = ctx;
  arm (ticker, 1);
}

int64_t
bd_ticker_lag_ms (const struct bd_ticker *ticker)
{
  return ticker->lag_ms;
}

int64_t
bd_ticker_overdue_ms (const struct bd_ticker *ticker)
{
  int64_t overdue_us = bd_clock_now_us (&ticker->clock) - ticker->due_us;

  return overdue_us > 0 ? overdue_us / US_PER_MS : 0;
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

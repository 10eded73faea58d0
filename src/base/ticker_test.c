/* Tests that a ticker tells how late the event loop has called it, with a
   clock that the test moves.  */

#include "base/ticker.h"
#include "tests/unit.h"

#include <talloc.h>

enum
{
  PERIOD_MS = 10,
  /* The period, with its random part.  */
  MIN_INTERVAL_MS = 9,
  MAX_INTERVAL_MS = 11,
  STALL_MS = 500,
  CALLS = 3
};

static struct timespec now;
static struct bd_ticker ticker;
static int64_t lags_ms[CALLS];
static int64_t overdue_ms[CALLS];
static uint32_t call_count;

static struct timespec
read_clock (void *ctx)
{
  (void)ctx;
  return now;
}

static const struct bd_clock_ops clock_ops
    = { .monotonic = read_clock, .calendar = read_clock };

static void
advance_ms (int64_t ms)
{
  now.tv_nsec += ms * 1000000;
  now.tv_sec += now.tv_nsec / 1000000000;
  now.tv_nsec %= 1000000000;
}

/* Stalls after the first call, and not after the second.  */
static void
record_lag (void *ctx)
{
  (void)ctx;
  lags_ms[call_count++] = bd_ticker_lag_ms (&ticker);
  advance_ms (call_count == 1 ? STALL_MS : MAX_INTERVAL_MS);
  overdue_ms[call_count - 1] = bd_ticker_overdue_ms (&ticker);
}

static void
test_lag (void)
{
  struct tevent_context *events = tevent_context_init (NULL);
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);

  now = (struct timespec){ .tv_sec = 100 };
  bd_ticker_init (&ticker, events, rng, PERIOD_MS, record_lag, NULL);
  CU_ASSERT_EQUAL (bd_ticker_lag_ms (&ticker), 0);
  ticker.clock = (struct bd_clock){ .ops = &clock_ops };
  ticker.due_us = bd_clock_now_us (&ticker.clock);
  while (call_count < CALLS)
    tevent_loop_once (events);
  CU_ASSERT_EQUAL (lags_ms[0], 0);
  CU_ASSERT_TRUE (lags_ms[1] >= STALL_MS - MAX_INTERVAL_MS);
  CU_ASSERT_TRUE (lags_ms[1] <= STALL_MS - MIN_INTERVAL_MS);
  CU_ASSERT_TRUE (lags_ms[2] <= MAX_INTERVAL_MS - MIN_INTERVAL_MS);
  CU_ASSERT_TRUE (overdue_ms[0] >= STALL_MS - MAX_INTERVAL_MS);
  CU_ASSERT_TRUE (overdue_ms[0] <= STALL_MS - MIN_INTERVAL_MS);
  CU_ASSERT_TRUE (overdue_ms[1] <= MAX_INTERVAL_MS - MIN_INTERVAL_MS);
  bd_ticker_finish (&ticker);
  gsl_rng_free (rng);
  talloc_free (events);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "lag", test_lag } };

  return UNIT_RUN ("ticker", tests);
}

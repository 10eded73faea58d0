/* Token bucket, circuit breaker and backoff.  */

#include "store/budget.h"

#include <math.h>

enum
{
  FAILURES_TO_OPEN = 3,
  BACKOFF_INITIAL_MS = 50,
  BACKOFF_MAX_DOUBLINGS = 6,
  /* Clients that may probe with the shortest maximum delay.  */
  BACKOFF_SHARES = 8,
  PROBE_TIMEOUT_MS = 5000
};

/* Lower than 1 because small refills can add up to slightly less than one
   token, due to rounding.  */
static const double full_token = 1.0 - 1e-6;

static void
refill (struct bd_bucket *bucket, int64_t now_ms)
{
  double gained
      = (double)(now_ms - bucket->updated_ms) * bucket->rate_per_s / 1000.0;

  if (now_ms <= bucket->updated_ms)
    return;
  bucket->tokens = fmin (bucket->burst, bucket->tokens + gained);
  bucket->updated_ms = now_ms;
}

void
bd_bucket_init (struct bd_bucket *bucket, double rate_per_s, double burst,
                int64_t now_ms)
{
  bucket->rate_per_s = rate_per_s;
  bucket->burst = burst;
  bucket->tokens = burst;
  bucket->updated_ms = now_ms;
}

bool
bd_bucket_take (struct bd_bucket *bucket, int64_t now_ms)
{
  refill (bucket, now_ms);
  if (bucket->tokens < full_token)
    return false;
  bucket->tokens = fmax (0, bucket->tokens - 1.0);
  return true;
}

int64_t
bd_bucket_wait_ms (struct bd_bucket *bucket, int64_t now_ms)
{
  refill (bucket, now_ms);
  if (bucket->tokens >= full_token)
    return 0;
  return (int64_t)ceil ((1.0 - bucket->tokens) * 1000.0 / bucket->rate_per_s);
}

void
bd_bucket_set_rate (struct bd_bucket *bucket, double rate_per_s, double burst,
                    int64_t now_ms)
{
  refill (bucket, now_ms);
  bucket->rate_per_s = rate_per_s;
  bucket->burst = burst;
  bucket->tokens = fmin (bucket->tokens, burst);
}

bool
bd_breaker_allows (struct bd_breaker *breaker, int64_t now_ms)
{
  if (breaker->failures < FAILURES_TO_OPEN)
    return true;
  if (now_ms < breaker->open_until_ms)
    return false;
  /* Allow one probe; further calls wait for its result or its timeout.  */
  breaker->open_until_ms = now_ms + PROBE_TIMEOUT_MS;
  breaker->is_probing = true;
  return true;
}

void
bd_breaker_record_success (struct bd_breaker *breaker)
{
  breaker->failures = 0;
  breaker->open_until_ms = 0;
  breaker->is_probing = false;
}

void
bd_breaker_record_failure (struct bd_breaker *breaker, int64_t now_ms,
                           uint32_t max_ms, gsl_rng *rng)
{
  breaker->failures++;
  breaker->is_probing = false;
  if (breaker->failures >= FAILURES_TO_OPEN)
    breaker->open_until_ms
        = now_ms + bd_backoff_ms (breaker->failures, max_ms, rng);
}

bool
bd_breaker_is_closed (const struct bd_breaker *breaker)
{
  return breaker->failures < FAILURES_TO_OPEN;
}

int64_t
bd_backoff_ms (uint32_t failures, uint32_t max_ms, gsl_rng *rng)
{
  uint32_t doublings
      = failures < BACKOFF_MAX_DOUBLINGS ? failures : BACKOFF_MAX_DOUBLINGS;
  double limit = fmin (max_ms, ldexp (BACKOFF_INITIAL_MS, (int)doublings));

  return (int64_t)(limit * (0.5 + 0.5 * gsl_rng_uniform (rng)));
}

uint32_t
bd_backoff_shared_ms (uint32_t max_ms, uint32_t count, uint32_t limit_ms)
{
  uint64_t shared_ms = (uint64_t)max_ms * count / BACKOFF_SHARES;

  if (shared_ms <= max_ms)
    return max_ms;
  return shared_ms < limit_ms ? (uint32_t)shared_ms : limit_ms;
}

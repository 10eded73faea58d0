/* Rate limits, a circuit breaker and retry backoff for calls to the platform.
   The module does no I/O and reads no clock: callers pass now_ms.  */

#ifndef BD_STORE_BUDGET_H
#define BD_STORE_BUDGET_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Default maximum delay between retries: long enough that the retries of
     all daemons together do not overload a platform that is down.  */
  BD_BACKOFF_MAX_MS = 2000
};

/* A token bucket.  */
struct bd_bucket
{
  double rate_per_s;
  double burst;
  double tokens;
  int64_t updated_ms;
};

/* bd_bucket_init(): starts with a full bucket of burst tokens.  */
void bd_bucket_init (struct bd_bucket *bucket, double rate_per_s, double burst,
                     int64_t now_ms);

/* bd_bucket_take(): takes one token.  Returns false when there is none.  */
bool bd_bucket_take (struct bd_bucket *bucket, int64_t now_ms);

/* bd_bucket_wait_ms(): time until a token is available; 0 when one is.  */
int64_t bd_bucket_wait_ms (struct bd_bucket *bucket, int64_t now_ms);

/* bd_bucket_set_rate(): changes the rate, keeping the tokens.  */
void bd_bucket_set_rate (struct bd_bucket *bucket, double rate_per_s,
                         double burst, int64_t now_ms);

/* Circuit breaker: stops calls to a service that does not respond and probes
   it from time to time, with jitter so that the daemons do not all probe at
   once.  */
struct bd_breaker
{
  uint32_t failures;     /* Consecutive failures.  */
  int64_t open_until_ms; /* No call is allowed before this time.  */
  bool is_probing;       /* A probe call is in flight.  */
};

/* bd_breaker_allows(): true when a call can be sent now.  When the breaker is
   open, the allowed call is a probe, and others wait for its result.  */
bool bd_breaker_allows (struct bd_breaker *breaker, int64_t now_ms);

/* bd_breaker_record_success(), bd_breaker_record_failure(): record the result
   of a call.  max_ms bounds the time until the next probe.  */
void bd_breaker_record_success (struct bd_breaker *breaker);
void bd_breaker_record_failure (struct bd_breaker *breaker, int64_t now_ms,
                                uint32_t max_ms, gsl_rng *rng);

/* bd_breaker_is_closed(): true while there are too few consecutive failures to
   open the breaker.  */
bool bd_breaker_is_closed (const struct bd_breaker *breaker);

/* bd_backoff_ms(): the delay before the next attempt: exponential in the
   number of consecutive failures, with jitter, at most max_ms.  */
int64_t bd_backoff_ms (uint32_t failures, uint32_t max_ms, gsl_rng *rng);

/* bd_backoff_shared_ms(): the maximum delay for each of count clients that
   probe the same service: max_ms for a few of them, and more for many, up to
   limit_ms, so that all together do not probe more often for being more.  */
uint32_t bd_backoff_shared_ms (uint32_t max_ms, uint32_t count,
                               uint32_t limit_ms);

#endif

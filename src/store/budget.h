/* How often the platform may be called: rates and a circuit breaker.  Pure. */

#ifndef BD_STORE_BUDGET_H
#define BD_STORE_BUDGET_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Longest pause between tries, unless the client is told otherwise: long
     enough for a fleet to leave a platform alone that is down.  */
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

/* bd_bucket_init(): a full bucket.  */
void bd_bucket_init (struct bd_bucket *bucket, double rate_per_s, double burst,
                     int64_t now_ms);

/* bd_bucket_take(): takes one token; false when there is none.  */
bool bd_bucket_take (struct bd_bucket *bucket, int64_t now_ms);

/* bd_bucket_wait_ms(): how long until a token is there; 0 when one is.  */
int64_t bd_bucket_wait_ms (struct bd_bucket *bucket, int64_t now_ms);

/* bd_bucket_set_rate(): changes the rate, keeping the tokens.  */
void bd_bucket_set_rate (struct bd_bucket *bucket, double rate_per_s,
                         double burst, int64_t now_ms);

/* Stops calls to a service that does not answer, and tries it again now and
   then, with jitter so that the daemons do not come back together.  */
struct bd_breaker
{
  uint32_t failures;     /* In a row.  */
  int64_t open_until_ms; /* No call before this time.  */
  bool is_probing;       /* One call is out to see whether it is back.  */
};

/* bd_breaker_allows(): whether a call may go out now.  */
bool bd_breaker_allows (struct bd_breaker *breaker, int64_t now_ms);

/* bd_breaker_record_success(), bd_breaker_record_failure(): how a call went.
   max_ms bounds the time until the next try.  */
void bd_breaker_record_success (struct bd_breaker *breaker);
void bd_breaker_record_failure (struct bd_breaker *breaker, int64_t now_ms,
                                uint32_t max_ms, gsl_rng *rng);

/* bd_breaker_is_closed(): whether the service is thought to be well.  */
bool bd_breaker_is_closed (const struct bd_breaker *breaker);

/* bd_backoff_ms(): a jittered delay after so many failures in a row, of at
   most max_ms.  */
int64_t bd_backoff_ms (uint32_t failures, uint32_t max_ms, gsl_rng *rng);

#endif

/* Shares of a limit and the permits that they yield.  */

#include "pacing/pacing.h"

/* Part of a limit that is used: orders, and requests of a daemon that does not
   know the limit yet, come on top.  */
static const double used_part = 0.95;
/* Time for which permits beyond the first are saved up: without any, the rest
   of a share is lost while no request happens to come.  */
static const double saved_s = 0.5;

/* Rank of a daemon for an endpoint (rendezvous hashing): the finalizer of
   splitmix64 over both hashes.  */
static uint64_t
score (uint64_t endpoint, uint64_t daemon)
{
  uint64_t value = endpoint ^ (daemon * UINT64_C (0x9e3779b97f4a7c15));

  value = (value ^ (value >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  value = (value ^ (value >> 27)) * UINT64_C (0x94d049bb133111eb);
  return value ^ (value >> 31);
}

bool
bd_pacing_observe (struct bd_pacing *pacing, double limit_per_s,
                   int64_t observed_ms)
{
  if (!(limit_per_s > 0))
    limit_per_s = 0;
  if (observed_ms <= pacing->observed_ms
      || (limit_per_s == 0 && pacing->observed_ms == 0))
    return false;
  pacing->observed_ms = observed_ms;
  if (limit_per_s == pacing->limit_per_s)
    return false;
  pacing->limit_per_s = limit_per_s;
  return true;
}

uint32_t
bd_pacing_rank (uint64_t endpoint, uint64_t self, const uint64_t *daemons,
                uint32_t count, uint32_t max)
{
  uint64_t own_score = score (endpoint, self);
  uint32_t rank = 0;

  for (uint32_t i = 0; i < count && rank < max; i++)
    rank += score (endpoint, daemons[i]) > own_score;
  return rank;
}

double
bd_pacing_share (double limit_per_s, uint64_t endpoint, uint64_t self,
                 const uint64_t *daemons, uint32_t count)
{
  uint32_t senders
      = count < BD_PACING_MAX_SENDERS ? count : BD_PACING_MAX_SENDERS;
  uint32_t rank = bd_pacing_rank (endpoint, self, daemons, count, senders);

  return rank < senders ? used_part * limit_per_s / senders : 0;
}

void
bd_pacing_set_share (struct bd_pacing *pacing, double share_per_s,
                     int64_t now_ms)
{
  double max_permits = 1.0 + share_per_s * saved_s;

  if (pacing->share_per_s == 0)
    {
      bd_bucket_init (&pacing->permits, share_per_s, max_permits, now_ms);
      pacing->permits.tokens = 0;
    }
  bd_bucket_set_rate (&pacing->permits, share_per_s, max_permits, now_ms);
  pacing->share_per_s = share_per_s;
}

bool
bd_pacing_has_permit (struct bd_pacing *pacing, int64_t now_ms)
{
  if (pacing->limit_per_s == 0)
    return true;
  return pacing->share_per_s > 0
         && bd_bucket_wait_ms (&pacing->permits, now_ms) == 0;
}

double
bd_pacing_permits (struct bd_pacing *pacing, int64_t now_ms)
{
  /* Refills the bucket.  */
  return bd_pacing_has_permit (pacing, now_ms) || pacing->share_per_s > 0
             ? pacing->permits.tokens
             : 0;
}

void
bd_pacing_take (struct bd_pacing *pacing, int64_t now_ms)
{
  if (pacing->limit_per_s > 0)
    bd_bucket_take (&pacing->permits, now_ms);
}

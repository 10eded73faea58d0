/* Load balancing: chooses the replica or endpoint for a call.  Pure.

   The score of a candidate is its expected time to the first token.
   bd_router_by_wait draws at random among the candidates with a score close to
   the best, so that daemons with the same stale view do not all choose the
   same replica.

   Fill one struct bd_candidate per replica or endpoint, mark the affinity
   replicas of the prompt with bd_candidates_apply_affinity(), and call
   choose() of a router.  */

#ifndef BD_ROUTING_ROUTING_H
#define BD_ROUTING_ROUTING_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

struct bd_candidate
{
  uint32_t own_in_flight; /* Running calls sent by this daemon.  */
  uint32_t reported;      /* Running calls in the last report.  */
  uint32_t own_at_report; /* Of those, calls sent by this daemon.  */
  uint32_t capacity;      /* Maximum of concurrent calls.  */
  uint32_t share;         /* Of those, reserved for this daemon.  */
  double cached_fraction; /* Expected cached fraction of the prompt.  */
  double slowness;        /* Time per token / median of the pool.  */
  uint32_t distance_us;
  bool is_tried;    /* The call was already sent there.  */
  bool is_excluded; /* Another possible poison request runs there.  */
};

struct bd_routing_costs
{
  double prefill_ms; /* Of the prompt with an empty cache.  */
  double step_ms;    /* Added wait per running call.  */
};

struct bd_router
{
  const char *name;
  /* Returns the index of one of count candidates, or -1 when none is usable.
     next_index points to the round-robin position of the calling daemon.  */
  int32_t (*choose) (const struct bd_candidate *candidates, uint32_t count,
                     const struct bd_routing_costs *costs, gsl_rng *rng,
                     uint32_t *next_index);
};

extern const struct bd_router bd_router_by_wait;
/* Baselines for comparison.  */
extern const struct bd_router bd_router_random;
extern const struct bd_router bd_router_round_robin;
extern const struct bd_router bd_router_least_outstanding;

/* bd_candidates_apply_affinity(): raises cached_fraction of the affinity
   replicas (see bd_prefix_affinity_replicas()), which are assumed to have the
   prefix even without a hint.  */
void bd_candidates_apply_affinity (struct bd_candidate *candidates,
                                   const int32_t affinity[2]);

/* bd_candidate_load(): estimated running calls: the last report, corrected by
   the calls that this daemon has sent and finished since.  */
uint32_t bd_candidate_load (const struct bd_candidate *candidate);

/* bd_candidate_has_capacity(): whether a call can be sent to the candidate.
   Below its share a daemon also sends when a stale report shows a full
   replica; above its share it leaves a part of the capacity to other daemons.
   So no daemon can occupy all slots while the queue of another one grows.  */
bool bd_candidate_has_capacity (const struct bd_candidate *candidate);

/* bd_candidate_score(): expected time to the first token in ms, with the
   network distance; lower is better.  */
double bd_candidate_score (const struct bd_candidate *candidate,
                           const struct bd_routing_costs *costs);

#endif

/* Which replica or endpoint gets a call.  Pure.

   The score of a candidate is the time until the first token that is expected
   there.  Two candidates are drawn from the better ones and the better of the
   two is taken, so that daemons with the same stale view do not all choose
   the same replica.  */

#ifndef BD_ROUTING_ROUTING_H
#define BD_ROUTING_ROUTING_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

struct bd_candidate
{
  uint32_t own_in_flight; /* Calls that this daemon has there.  */
  uint32_t reported;      /* Calls there by the last report.  */
  uint32_t own_at_report; /* Of those, this daemon's.  */
  uint32_t capacity;      /* Calls that it takes at once.  */
  uint32_t share;         /* Of those, kept for this daemon.  */
  double cached_fraction; /* Expected part of the prompt in its cache.  */
  double slowness;        /* Time per token over the pool's median.  */
  uint32_t distance_us;
  bool is_tried;    /* The call has failed there already.  */
  bool is_excluded; /* Not at this moment: another suspect runs there.  */
};

struct bd_routing_costs
{
  double prefill_ms; /* Of the whole prompt with an empty cache.  */
  double step_ms;    /* Added wait for each call that runs there.  */
};

struct bd_router
{
  const char *name;
  /* Chooses among count candidates, or returns -1 when none may be used.  */
  int32_t (*choose) (const struct bd_candidate *candidates, uint32_t count,
                     const struct bd_routing_costs *costs, gsl_rng *rng,
                     uint32_t *next_index);
};

extern const struct bd_router bd_router_by_wait;
/* Baselines, for comparison.  */
extern const struct bd_router bd_router_random;
extern const struct bd_router bd_router_round_robin;
extern const struct bd_router bd_router_least_outstanding;

/* bd_candidates_apply_affinity(): the replicas where a prefix is at home (see
   bd_prefix_affinity_replicas()) are taken to have it, whatever the hints say.
 */
void bd_candidates_apply_affinity (struct bd_candidate *candidates,
                                   const int32_t affinity[2]);

/* bd_candidate_load(): calls expected there: the lagging report, corrected
   by what this daemon has sent and finished since.  */
uint32_t bd_candidate_load (const struct bd_candidate *candidate);

/* bd_candidate_has_capacity(): whether a call may be sent there.  Within its
   own share a daemon sends although the replica seems full by a report that
   lags; above it a part of the capacity is left to the others.  So no daemon
   holds on to every slot while another one's queue grows.  */
bool bd_candidate_has_capacity (const struct bd_candidate *candidate);

/* bd_candidate_score(): expected time to the first token, in ms.  */
double bd_candidate_score (const struct bd_candidate *candidate,
                           const struct bd_routing_costs *costs);

#endif

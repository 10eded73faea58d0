/* Load balancing policies.  */

#include "routing/routing.h"

#include <math.h>

enum
{
  MAX_CANDIDATES = 4096,
  US_PER_MS = 1000,
  /* Capacity / SLACK_DIVISOR is reserved for daemons below their share, which
     can also exceed the capacity by as much.  */
  SLACK_DIVISOR = 16
};

/* Maximum load of a replica, relative to the mean load, at which its cached
   prefixes still lower its score.  */
static const double affinity_bound = 1.25;

/* Fraction of a prompt that its first and second affinity replica are assumed
   to have cached.  */
static const double affinity_cached[2] = { 0.9, 0.6 };

/* Candidates with a score within this factor of the best are equally good.  */
static const double near_best_factor = 1.1;

void
bd_candidates_apply_affinity (struct bd_candidate *candidates,
                              const int32_t affinity[2])
{
  for (uint32_t i = 0; i < 2; i++)
    if (affinity[i] >= 0)
      candidates[affinity[i]].cached_fraction
          = fmax (candidates[affinity[i]].cached_fraction, affinity_cached[i]);
}

uint32_t
bd_candidate_load (const struct bd_candidate *candidate)
{
  uint32_t others = candidate->reported > candidate->own_at_report
                        ? candidate->reported - candidate->own_at_report
                        : 0;

  return others + candidate->own_in_flight;
}

double
bd_candidate_score (const struct bd_candidate *candidate,
                    const struct bd_routing_costs *costs)
{
  double wait_ms = bd_candidate_load (candidate) * costs->step_ms;
  double prefill_ms = costs->prefill_ms * (1.0 - candidate->cached_fraction);

  return (wait_ms + prefill_ms) * fmax (1.0, candidate->slowness)
         + (double)candidate->distance_us / US_PER_MS;
}

bool
bd_candidate_has_capacity (const struct bd_candidate *candidate)
{
  uint32_t load = bd_candidate_load (candidate);
  uint32_t slack = candidate->capacity / SLACK_DIVISOR;

  if (candidate->own_in_flight < candidate->share)
    return load < candidate->capacity + slack;
  return load + slack < candidate->capacity;
}

static bool
is_usable (const struct bd_candidate *candidate)
{
  return !candidate->is_tried && !candidate->is_excluded
         && bd_candidate_has_capacity (candidate);
}

static uint32_t
list_usable (const struct bd_candidate *candidates, uint32_t count,
             uint32_t *usable)
{
  uint32_t usable_count = 0;

  for (uint32_t i = 0; i < count && usable_count < MAX_CANDIDATES; i++)
    if (is_usable (&candidates[i]))
      usable[usable_count++] = i;
  return usable_count;
}

static double
mean_load (const struct bd_candidate *candidates, const uint32_t *usable,
           uint32_t count)
{
  double sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += bd_candidate_load (&candidates[usable[i]]);
  return sum / count;
}

/* The score, which ignores the cache of a replica with a load above the bound
   so that one hot prefix does not overload its replica.  */
static double
bounded_score (const struct bd_candidate *candidate,
               const struct bd_routing_costs *costs, double average_load)
{
  struct bd_candidate uncached = *candidate;

  if (bd_candidate_load (candidate) > affinity_bound * average_load + 1)
    uncached.cached_fraction = 0;
  return bd_candidate_score (&uncached, costs);
}

static int32_t
choose_by_wait (const struct bd_candidate *candidates, uint32_t count,
                const struct bd_routing_costs *costs, gsl_rng *rng,
                uint32_t *next_index)
{
  uint32_t usable[MAX_CANDIDATES];
  double scores[MAX_CANDIDATES];
  uint32_t usable_count = list_usable (candidates, count, usable);
  uint32_t near_count = 0;
  double average_load;
  double best = INFINITY;

  (void)next_index;
  if (usable_count == 0)
    return -1;
  average_load = mean_load (candidates, usable, usable_count);
  for (uint32_t i = 0; i < usable_count; i++)
    {
      scores[i] = bounded_score (&candidates[usable[i]], costs, average_load);
      best = fmin (best, scores[i]);
    }
  for (uint32_t i = 0; i < usable_count; i++)
    if (scores[i] <= best * near_best_factor + 1e-9)
      usable[near_count++] = usable[i];
  return (int32_t)usable[gsl_rng_uniform_int (rng, near_count)];
}

static int32_t
choose_random (const struct bd_candidate *candidates, uint32_t count,
               const struct bd_routing_costs *costs, gsl_rng *rng,
               uint32_t *next_index)
{
  uint32_t usable[MAX_CANDIDATES];
  uint32_t usable_count = list_usable (candidates, count, usable);

  (void)costs;
  (void)next_index;
  return usable_count > 0
             ? (int32_t)usable[gsl_rng_uniform_int (rng, usable_count)]
             : -1;
}

static int32_t
choose_round_robin (const struct bd_candidate *candidates, uint32_t count,
                    const struct bd_routing_costs *costs, gsl_rng *rng,
                    uint32_t *next_index)
{
  (void)costs;
  (void)rng;
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t next = (*next_index + i) % count;
      if (!is_usable (&candidates[next]))
        continue;
      *next_index = next + 1;
      return (int32_t)next;
    }
  return -1;
}

static int32_t
choose_least_outstanding (const struct bd_candidate *candidates,
                          uint32_t count, const struct bd_routing_costs *costs,
                          gsl_rng *rng, uint32_t *next_index)
{
  int32_t best = -1;

  (void)costs;
  (void)rng;
  (void)next_index;
  for (uint32_t i = 0; i < count; i++)
    if (is_usable (&candidates[i])
        && (best < 0
            || candidates[i].own_in_flight < candidates[best].own_in_flight))
      best = (int32_t)i;
  return best;
}

const struct bd_router bd_router_by_wait = { "wait", choose_by_wait };
const struct bd_router bd_router_random = { "random", choose_random };
const struct bd_router bd_router_round_robin
    = { "in-turn", choose_round_robin };
const struct bd_router bd_router_least_outstanding
    = { "least-outstanding", choose_least_outstanding };

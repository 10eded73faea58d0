/* Routers.  */

#include "routing/routing.h"

#include <math.h>

enum
{
  MAX_CANDIDATES = 4096,
  US_PER_MS = 1000,
  /* One part of so many of the capacity is left to daemons below their share,
     and may be exceeded by them.  */
  SLACK_PARTS = 16
};

/* A replica may have this much more than the mean load before its cache stops
   attracting calls.  */
static const double affinity_bound = 1.25;

/* Part of a prompt that its first and second home replica are taken to have
   cached.  */
static const double home_cached[2] = { 0.9, 0.6 };

/* Candidates whose score is within this factor of the best are as good.  */
static const double near_best = 1.1;

void
bd_candidates_at_home (struct bd_candidate *candidates, const int32_t homes[2])
{
  for (uint32_t i = 0; i < 2; i++)
    if (homes[i] >= 0)
      candidates[homes[i]].cached
          = fmax (candidates[homes[i]].cached, home_cached[i]);
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
  double prefill_ms = costs->prefill_ms * (1.0 - candidate->cached);

  return (wait_ms + prefill_ms) * fmax (1.0, candidate->slowness)
         + (double)candidate->distance_us / US_PER_MS;
}

bool
bd_candidate_has_room (const struct bd_candidate *candidate)
{
  uint32_t load = bd_candidate_load (candidate);
  uint32_t slack = candidate->capacity / SLACK_PARTS;

  if (candidate->own_in_flight < candidate->share)
    return load < candidate->capacity + slack;
  return load + slack < candidate->capacity;
}

static bool
may_use (const struct bd_candidate *candidate)
{
  return !candidate->is_tried && !candidate->is_kept
         && bd_candidate_has_room (candidate);
}

static uint32_t
list_usable (const struct bd_candidate *candidates, uint32_t count,
             uint32_t *usable)
{
  uint32_t used = 0;

  for (uint32_t i = 0; i < count && used < MAX_CANDIDATES; i++)
    if (may_use (&candidates[i]))
      usable[used++] = i;
  return used;
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

/* The score, without the pull of the cache on a replica that is loaded above
   the bound: one hot prefix must not overload its replica.  */
static double
bounded_score (const struct bd_candidate *candidate,
               const struct bd_routing_costs *costs, double mean)
{
  struct bd_candidate without = *candidate;

  if (bd_candidate_load (candidate) > affinity_bound * mean + 1)
    without.cached = 0;
  return bd_candidate_score (&without, costs);
}

static int32_t
choose_by_wait (const struct bd_candidate *candidates, uint32_t count,
                const struct bd_routing_costs *costs, gsl_rng *rng,
                uint32_t *turn)
{
  uint32_t usable[MAX_CANDIDATES];
  double scores[MAX_CANDIDATES];
  uint32_t used = list_usable (candidates, count, usable);
  uint32_t near = 0;
  double mean;
  double best = INFINITY;

  (void)turn;
  if (used == 0)
    return -1;
  mean = mean_load (candidates, usable, used);
  for (uint32_t i = 0; i < used; i++)
    {
      scores[i] = bounded_score (&candidates[usable[i]], costs, mean);
      best = fmin (best, scores[i]);
    }
  for (uint32_t i = 0; i < used; i++)
    if (scores[i] <= best * near_best + 1e-9)
      usable[near++] = usable[i];
  return (int32_t)usable[gsl_rng_uniform_int (rng, near)];
}

static int32_t
choose_random (const struct bd_candidate *candidates, uint32_t count,
               const struct bd_routing_costs *costs, gsl_rng *rng,
               uint32_t *turn)
{
  uint32_t usable[MAX_CANDIDATES];
  uint32_t used = list_usable (candidates, count, usable);

  (void)costs;
  (void)turn;
  return used > 0 ? (int32_t)usable[gsl_rng_uniform_int (rng, used)] : -1;
}

static int32_t
choose_in_turn (const struct bd_candidate *candidates, uint32_t count,
                const struct bd_routing_costs *costs, gsl_rng *rng,
                uint32_t *turn)
{
  (void)costs;
  (void)rng;
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t next = (*turn + i) % count;
      if (!may_use (&candidates[next]))
        continue;
      *turn = next + 1;
      return (int32_t)next;
    }
  return -1;
}

static int32_t
choose_least_outstanding (const struct bd_candidate *candidates,
                          uint32_t count, const struct bd_routing_costs *costs,
                          gsl_rng *rng, uint32_t *turn)
{
  int32_t best = -1;

  (void)costs;
  (void)rng;
  (void)turn;
  for (uint32_t i = 0; i < count; i++)
    if (may_use (&candidates[i])
        && (best < 0
            || candidates[i].own_in_flight < candidates[best].own_in_flight))
      best = (int32_t)i;
  return best;
}

const struct bd_router bd_router_by_wait = { "wait", choose_by_wait };
const struct bd_router bd_router_random = { "random", choose_random };
const struct bd_router bd_router_in_turn = { "in-turn", choose_in_turn };
const struct bd_router bd_router_least_outstanding
    = { "least-outstanding", choose_least_outstanding };

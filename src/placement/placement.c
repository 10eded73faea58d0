/* Estimates the cost of each target and chooses one.  */

#include "placement/placement.h"

#include <math.h>

/* Targets whose cost is within this factor of the lowest are equally good.  */
static const double cost_tolerance = 1.15;
/* A failure costs about as much as this many responses.  */
static const double failure_cost = 12.0;
/* Assumed latency of an endpoint without a measurement.  */
static const double default_latency_ms = 20.0;
/* Time from the arrival of a request at an engine to its first step.  */
static const double engine_start_ms = 100.0;

void
bd_estimate_prompt (const struct bd_engine *engine,
                    const struct bd_engine_model *model,
                    const struct bd_group_load *load, double own_ms,
                    struct bd_prompt_times *times)
{
  double pace = load->pace > 0 ? load->pace : 1.0;
  double pass_ms = bd_engine_pass_ms (engine, model, load->running + 1);
  /* Prompts that were waiting when the other daemons counted them are done
     one by one, the last of them after all and the passes.  */
  double peers_ms = load->peers_prefill_ms;
  double done = load->age_ms / (peers_ms + 1.5 * pass_ms);
  double others_ms;

  times->peers_ms = peers_ms * fmax (0, 1 - done);
  others_ms = load->prefill_ms + times->peers_ms;

  /* The request waits half a pass on average until it is scheduled, and its
     first event is sent one pass later.  Passes that prefill other prompts
     take as long as these prompts.  */
  times->first_event_ms = load->distance_ms + engine_start_ms
                          + pace * (others_ms + own_ms + 1.5 * pass_ms);
}

double
bd_first_event_ms (const struct bd_engine *engine,
                   const struct bd_engine_model *model,
                   const struct bd_group_load *load, uint32_t prompt_tokens)
{
  struct bd_prompt_times times;

  bd_estimate_prompt (engine, model, load,
                      bd_engine_prefill_ms (engine, model, prompt_tokens),
                      &times);
  return times.first_event_ms;
}

/* Chooses a random target among those within cost_tolerance of the best; -1
   when there is none.  */
static int32_t
choose_random (const double *costs, uint32_t count, double best, gsl_rng *rng)
{
  uint32_t near_count = 0;
  uint64_t skip_count;

  for (uint32_t i = 0; i < count; i++)
    near_count += costs[i] <= best * cost_tolerance;
  if (near_count == 0)
    return -1;
  skip_count = gsl_rng_uniform_int (rng, near_count);
  for (uint32_t i = 0; i < count; i++)
    if (costs[i] <= best * cost_tolerance && skip_count-- == 0)
      return (int32_t)i;
  return -1;
}

int32_t
bd_choose_cheapest (const double *costs, const struct bd_group_load *loads,
                    uint32_t count, bool compares_counts, gsl_rng *rng)
{
  double best = INFINITY;
  int32_t chosen;
  int32_t other;

  for (uint32_t i = 0; i < count; i++)
    if (costs[i] < best)
      best = costs[i];
  if (isinf (best))
    return -1;
  chosen = choose_random (costs, count, best, rng);
  if (!compares_counts)
    return chosen;
  other = choose_random (costs, count, best, rng);
  /* Their costs are nearly equal; the one with fewer requests fills up
     later.  */
  if (chosen >= 0 && other >= 0
      && loads[other].running < loads[chosen].running)
    chosen = other;
  return chosen;
}

int32_t
bd_choose_group (const struct bd_engine *engine,
                 const struct bd_engine_model *model,
                 const struct bd_group_load *loads, uint32_t count,
                 uint32_t prompt_tokens, gsl_rng *rng, double *expected_ms)
{
  double costs[BD_MAX_CANDIDATES];
  int32_t chosen;

  if (count > BD_MAX_CANDIDATES)
    count = BD_MAX_CANDIDATES;
  for (uint32_t i = 0; i < count; i++)
    {
      costs[i] = INFINITY;
      if (loads[i].is_tried || loads[i].running >= engine->slots)
        continue;
      costs[i] = bd_first_event_ms (engine, model, &loads[i], prompt_tokens);
    }
  chosen = bd_choose_cheapest (costs, loads, count, true, rng);
  if (chosen >= 0)
    *expected_ms = costs[chosen];
  return chosen;
}

int32_t
bd_choose_endpoint (const struct bd_endpoint_load *loads, uint32_t count,
                    uint32_t queue_limit, gsl_rng *rng)
{
  double costs[BD_MAX_CANDIDATES];
  double best = INFINITY;

  if (count > BD_MAX_CANDIDATES)
    count = BD_MAX_CANDIDATES;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct bd_endpoint_load *load = &loads[i];
      double latency_ms
          = load->latency_ms > 0 ? load->latency_ms : default_latency_ms;
      uint32_t slots = load->slots > 0 ? load->slots : 1;

      costs[i] = INFINITY;
      if (load->is_tried || load->is_overloaded
          || load->running >= slots + queue_limit)
        continue;
      costs[i] = load->distance_ms
                 + latency_ms * (1.0 + (double)load->running / slots)
                       * (1.0 + failure_cost * load->failure_rate);
      best = fmin (best, costs[i]);
    }
  return isinf (best) ? -1 : choose_random (costs, count, best, rng);
}

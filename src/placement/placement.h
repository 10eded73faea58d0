/* Chooses the target of a request: a replica group or a plain endpoint.  Pure.

   Designed for many daemons that share the same replica groups, each with a
   delayed view of the load of the others.  A request is sent to the group
   with the shortest expected time to its first event.  Of two random ones of
   the nearly equal groups, the one with fewer requests is chosen, so that
   daemons with the same view do not all choose the same one.  A target without
   a free slot is not chosen: the request waits at the daemon, which can still
   send it to any target.  */

#ifndef BD_PLACEMENT_PLACEMENT_H
#define BD_PLACEMENT_PLACEMENT_H

#include "engine/engine.h"

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

/* Known load of one replica group.  */
struct bd_group_load
{
  uint32_t running;        /* Requests on it, from all daemons.  */
  uint32_t prefill_count;  /* Of those, requests without a first event.  */
  double prefill_ms;       /* Prefill time of this daemon's prompts on it.  */
  double peers_prefill_ms; /* Of the other daemons' prompts, age_ms ago.  */
  double pace;        /* Ratio of the measured to the expected time of a pass;
                         0 if unknown.  */
  double distance_ms; /* Network round-trip time.  */
  double age_ms;      /* Of what is known of the other daemons' requests.  */
  bool is_tried;      /* This request has failed on it.  */
  /* Above 1: used if the others cost this many times as much.
     bd_interference_choose() only.  */
  double widen_factor;
};

enum
{
  /* Limit on the targets that are compared for one request.  */
  BD_MAX_CANDIDATES = 1024
};

/* Expected times in ms of a prompt at a group.  */
struct bd_prompt_times
{
  double peers_ms; /* Of the other daemons' prompts that still wait there.  */
  double first_event_ms; /* From sending it.  */
};

/* bd_estimate_prompt(): estimates the times at a group of a prompt whose
   prefill takes own_ms without other load.  */
void bd_estimate_prompt (const struct bd_engine *engine,
                         const struct bd_engine_model *model,
                         const struct bd_group_load *load, double own_ms,
                         struct bd_prompt_times *times);

/* bd_first_event_ms(): returns the expected time in ms from sending a request
   to its first event.  */
double bd_first_event_ms (const struct bd_engine *engine,
                          const struct bd_engine_model *model,
                          const struct bd_group_load *load,
                          uint32_t prompt_tokens);

/* bd_choose_cheapest(): returns the index of one of the groups with nearly the
   lowest of the costs, drawn at random, or -1 when all costs are infinite.  If
   compares_counts is set, that is the one with fewer requests of two random
   ones.  */
int32_t bd_choose_cheapest (const double *costs,
                            const struct bd_group_load *loads, uint32_t count,
                            bool compares_counts, gsl_rng *rng);

/* bd_choose_group(): returns the index of the group to use, or -1 when all
   are full or tried.  Sets *expected_ms to the expected time
   to the first event.  */
int32_t bd_choose_group (const struct bd_engine *engine,
                         const struct bd_engine_model *model,
                         const struct bd_group_load *loads, uint32_t count,
                         uint32_t prompt_tokens, gsl_rng *rng,
                         double *expected_ms);

/* Known load of one plain endpoint.  */
struct bd_endpoint_load
{
  uint32_t running; /* Known requests on it, from all daemons.  */
  uint32_t slots;
  double latency_ms;   /* Smoothed; 0 if unknown.  */
  double failure_rate; /* Smoothed share of failed requests, from 0 to 1.  */
  double distance_ms;
  bool is_tried;
  bool is_overloaded; /* It has recently reported that it is full.  */
};

/* bd_choose_endpoint(): returns the index of the endpoint to use, or -1 when
   all are full, overloaded or tried.  queue_limit is the number of requests
   that can wait at an endpoint in addition to its slots.  */
int32_t bd_choose_endpoint (const struct bd_endpoint_load *loads,
                            uint32_t count, uint32_t queue_limit,
                            gsl_rng *rng);

#endif

/* Where a request goes.  Pure.

   The load that this answers: many daemons before the same replica groups,
   each with a view of the others that lags.  A request goes where its first
   event is expected soonest; among places that are nearly as good one is
   drawn, so that daemons with the same view do not all choose the same.
   A place without a free slot is not chosen: the request waits at the daemon,
   where it can still go anywhere.  */

#ifndef BD_PLACEMENT_PLACEMENT_H
#define BD_PLACEMENT_PLACEMENT_H

#include "engine/engine.h"

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

/* What is known of the load of one replica group.  */
struct bd_group_load
{
  uint32_t running;       /* Requests on it, of all daemons.  */
  uint32_t prefill_count; /* Of those, without a first event.  */
  double prefill_ms;      /* Time that reading their prompts takes.  */
  double pace;            /* Measured over expected time of a pass.  */
  double distance_ms;     /* There and back.  */
  bool is_tried;          /* This request has failed there.  */
};

/* bd_first_event_ms(): expected time to the first event of a request.  */
double bd_first_event_ms (const struct bd_engine *engine,
                          const struct bd_engine_model *model,
                          const struct bd_group_load *load,
                          uint32_t prompt_tokens);

/* bd_choose_group(): index of the group to use; -1 when none has a slot.
 *expected_ms is when its first event is expected.  */
int32_t bd_choose_group (const struct bd_engine *engine,
                         const struct bd_engine_model *model,
                         const struct bd_group_load *loads, uint32_t count,
                         uint32_t prompt_tokens, gsl_rng *rng,
                         double *expected_ms);

/* What is known of the load of one plain endpoint.  */
struct bd_endpoint_load
{
  uint32_t running; /* Of all daemons, as far as is known.  */
  uint32_t slots;
  double latency_ms;   /* Smoothed; 0 while unknown.  */
  double failure_rate; /* Smoothed share of failed requests, from 0 to 1.  */
  double distance_ms;
  bool is_tried;
  bool is_overloaded; /* It has said lately that it is full.  */
};

/* bd_choose_endpoint(): index of the endpoint to use; -1 when all are full or
   tried.  room is how many requests beyond its slots an endpoint may have
   waiting.  */
int32_t bd_choose_endpoint (const struct bd_endpoint_load *loads,
                            uint32_t count, uint32_t queue_limit,
                            gsl_rng *rng);

#endif

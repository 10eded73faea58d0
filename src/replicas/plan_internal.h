/* What planning, reassigning and staging share.  */

#ifndef BD_REPLICAS_PLAN_INTERNAL_H
#define BD_REPLICAS_PLAN_INTERNAL_H

#include "replicas/replicas_internal.h"

enum
{
  /* Free endpoints that one step looks at.  */
  BD_PLAN_MAX_FREE = 4096
};

struct free_endpoint
{
  struct bd_fleet_endpoint *endpoint;
  bool is_taken;
};

struct plan
{
  struct bd_replicas_step *step;
  struct free_endpoint *free;
  uint32_t free_count;
  double capacity[BD_ENGINE_MAX_MODELS]; /* Replicas, whole or being formed. */
  double need[BD_ENGINE_MAX_MODELS];
};

/* plan.c: capacity and need of each model.  */
void bd_plan_compute_need (struct plan *plan);
void bd_plan_compute_capacity (struct plan *plan);

/* bd_plan_lowest_capacity_model(): the model with the least capacity for its
   work among those not passed; -1 when all are.  */
int32_t
bd_plan_lowest_capacity_model (const struct plan *plan,
                               const bool is_skipped[BD_ENGINE_MAX_MODELS]);

/* bd_plan_is_settling(): whether endpoints are still coming in at the start.
 */
bool bd_plan_is_settling (const struct bd_replicas_input *input);

/* reassign.c: takes groups of a richer model apart, so that one of this model
   can be formed in their domain.  */
void bd_plan_reassign (struct plan *plan, uint32_t model);

/* bd_plan_is_reserved(): whether free endpoints of a domain wait for those of
   a group that is being taken apart for another model.  */
bool bd_plan_is_reserved (const struct bd_replicas_step *step,
                          const char *domain, const char *model);
void bd_plan_end_reservation (const struct bd_replicas_step *step,
                              const char *domain, const char *model);

#endif

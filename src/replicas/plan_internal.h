/* Declarations shared by plan.c, reassign.c and staging.c.  */

#ifndef BD_REPLICAS_PLAN_INTERNAL_H
#define BD_REPLICAS_PLAN_INTERNAL_H

#include "replicas/replicas_internal.h"

enum
{
  /* Limit on the free endpoints considered in one step.  */
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
  double
      capacity[BD_ENGINE_MAX_MODELS]; /* Replicas, complete or being formed. */
  double need[BD_ENGINE_MAX_MODELS];
};

/* plan.c: computes need and capacity of each model, in replicas.  */
void bd_plan_compute_need (struct plan *plan);
void bd_plan_compute_capacity (struct plan *plan);

/* bd_plan_lowest_capacity_model(): returns the index of the model with the
   lowest ratio of capacity to need among those not skipped, or -1 when all
   are skipped.  */
int32_t
bd_plan_lowest_capacity_model (const struct plan *plan,
                               const bool is_skipped[BD_ENGINE_MAX_MODELS]);

/* bd_plan_is_settling(): whether endpoints are still registering at startup.
 */
bool bd_plan_is_settling (const struct bd_replicas_input *input);

/* reassign.c: starts to dissolve groups of a model with more capacity for its
   need, so that a group of this model can be formed in their domain.  Returns
   whether a move was started.  Moves wait for each other, except where most
   members of the new group are free.  */
bool bd_plan_reassign (struct plan *plan, uint32_t model);

/* bd_plan_count_moves(): counts the groups that are being dissolved for
   another model as its capacity.  Gives up the moves that have too few
   endpoints left for a group, and those from a model that now has less
   capacity for its need than the other one.  */
void bd_plan_count_moves (struct plan *plan);

/* bd_plan_is_reserved(): whether the free endpoints of a domain are reserved
   for a model other than this one.  They are while groups of the domain are
   being dissolved for that model.  */
bool bd_plan_is_reserved (const struct bd_replicas_step *step,
                          const char *domain, const char *model);

/* bd_plan_has_move(): whether the free endpoints of a domain are reserved.  */
bool bd_plan_has_move (const struct bd_replicas_step *step,
                       const char *domain);

/* bd_plan_end_reservation(): a group of the model at this index is being
   formed in the domain.  */
void bd_plan_end_reservation (struct plan *plan, const char *domain,
                              uint32_t model);

/* bd_plan_model_index(): returns the index of a model, or -1.  */
int32_t bd_plan_model_index (const struct bd_engine *engine, const char *name);

#endif

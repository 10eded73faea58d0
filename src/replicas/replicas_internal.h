/* Declarations shared by the files of this folder.  */

#ifndef BD_REPLICAS_REPLICAS_INTERNAL_H
#define BD_REPLICAS_REPLICAS_INTERNAL_H

#include "replicas/replicas.h"

/* State of one call of bd_replicas_step().  */
struct bd_replicas_step
{
  struct bd_replicas *replicas;
  const struct bd_replicas_input *input;
  struct bd_order *orders;
  uint32_t count;
  uint32_t max;
};

/* Phase of a group, derived from the state of its members.  */
enum bd_group_phase
{
  BD_PHASE_JOINING,    /* Complete; at least one member is not ready.  */
  BD_PHASE_READY,      /* Every member is ready; not open.  */
  BD_PHASE_OPEN,       /* Serves requests.  */
  BD_PHASE_CLOSING,    /* Takes no new requests; finishes the current ones.  */
  BD_PHASE_LEAVING,    /* Complete; a member is draining, no longer listed or
                          not reached, and the leader can still serve.  */
  BD_PHASE_OBSOLETE,   /* Complete, but the configuration has another size of
                          the model or does not have it; the leader can still
                          serve.  */
  BD_PHASE_INCOMPLETE, /* A member is missing, dead or broken, and no progress
                          shows that it serves; the leader can still
                          serve.  */
  BD_PHASE_RELEASED    /* None of the first four, and the leader no longer
                          serves: the members can join another group.  */
};

/* bd_group_phase(): returns the phase that the members' entries show.  */
enum bd_group_phase bd_group_phase (const struct bd_replicas_input *input,
                                    const struct bd_fleet_group *group);

/* bd_group_leader(): returns the leader of a group, also when it is no longer
   a member; NULL when it is unknown.  */
struct bd_fleet_endpoint *
bd_group_leader (const struct bd_replicas_input *input,
                 const struct bd_fleet_group *group);

/* bd_is_released(): whether an endpoint is in no group, or its leader has left
   the group.  Members of other groups have to leave them first.  */
bool bd_is_released (const struct bd_replicas *replicas,
                     const struct bd_replicas_input *input,
                     const struct bd_fleet_endpoint *endpoint);

/* bd_is_confirmed(): whether the endpoint's state is confirmed and current, so
   that an order can be conditional on it.  Requests a report if not.  */
bool bd_is_confirmed (struct bd_fleet_endpoint *endpoint);

/* bd_is_available(): whether an endpoint is listed, alive and not draining, so
   that it can be a member of a group.  */
bool bd_is_available (const struct bd_fleet_endpoint *endpoint);

/* bd_is_controlled(): whether this controller sends orders to the endpoint.
 */
bool bd_is_controlled (const struct bd_replicas_input *input,
                       const struct bd_fleet_endpoint *endpoint);

/* bd_is_controlled_group(): whether this controller sends orders to the
   group's members.  */
bool bd_is_controlled_group (const struct bd_replicas_input *input,
                             const struct bd_fleet_group *group);

/* bd_can_order(): whether the endpoint has no pending order.  */
bool bd_can_order (const struct bd_fleet_endpoint *endpoint);

/* bd_replicas_add_order(): adds an order to this step; returns NULL when the
   step has its maximum of orders.  */
struct bd_order *bd_replicas_add_order (struct bd_replicas_step *step,
                                        enum bd_order_kind kind,
                                        const struct bd_fleet_endpoint *to,
                                        const char *reason);

/* bd_order_leader(): adds an order to the leader of a group.  Does nothing
   while the leader's state is not confirmed, it has a pending order, or the
   same order was sent recently.  */
void bd_order_leader (struct bd_replicas_step *step,
                      const struct bd_fleet_group *group,
                      enum bd_order_kind kind, const char *reason);

/* bd_is_donor(): whether the group is to be dissolved for another model.  */
bool bd_is_donor (const struct bd_replicas_step *step,
                  const struct bd_fleet_group *group);

/* bd_reconcile_donor(): adds the order that is due for a donor in a phase in
   which it has all its members.  */
void bd_reconcile_donor (struct bd_replicas_step *step,
                         const struct bd_fleet_group *group,
                         enum bd_group_phase phase);

/* bd_find_forming(): returns the group being formed that has the endpoint as a
   member, or NULL.  */
struct bd_forming *bd_find_forming (struct bd_replicas *replicas,
                                    const char *id);

/* bd_has_staged(): whether the model's weights are staged on the host.  */
bool bd_has_staged (const struct bd_fleet_endpoint *endpoint,
                    const char *model);

/* plan.c and staging.c: plan new groups and the staging of weights.  */
void bd_replicas_plan (struct bd_replicas_step *step);
void bd_replicas_stage (struct bd_replicas_step *step);

/* bd_join_ms(): returns the time in ms that an endpoint takes to join a group
   of a model.  Returns -1 when it needs the weights from the weight store and
   there is traffic: they are staged first then.  */
int64_t bd_join_ms (const struct bd_replicas_input *input,
                    const struct bd_fleet_endpoint *endpoint,
                    const struct bd_engine_model *model);

#endif

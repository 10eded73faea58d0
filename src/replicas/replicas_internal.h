/* What the files of this slice share.  */

#ifndef BD_REPLICAS_REPLICAS_INTERNAL_H
#define BD_REPLICAS_REPLICAS_INTERNAL_H

#include "replicas/replicas.h"

/* One step in the making.  */
struct bd_replicas_step
{
  struct bd_replicas *replicas;
  const struct bd_replicas_input *input;
  struct bd_order *orders;
  uint32_t count;
  uint32_t max;
};

/* Where a group stands.  */
enum bd_group_phase
{
  BD_PHASE_JOINING,    /* Every place is held; some member is not ready.  */
  BD_PHASE_READY,      /* Every member is ready; not open.  */
  BD_PHASE_OPEN,       /* It serves, or finishes what it has.  */
  BD_PHASE_LEAVING,    /* Whole and open, but a member drains.  */
  BD_PHASE_INCOMPLETE, /* Not whole; its leader is still in it.  */
  BD_PHASE_RELEASED    /* Not whole, and its members may go.  */
};

/* bd_group_phase(): what the entries of its members show.  */
enum bd_group_phase bd_group_phase (const struct bd_replicas_input *input,
                                    const struct bd_fleet_group *group);

/* bd_can_reopen(): whether a leader that has left its group may be back in it
   and open: copies of a join and of an opening went unanswered, and it has
   accepted nothing above them.  */
bool bd_can_reopen (const struct bd_replicas_input *input,
                    const struct bd_fleet_endpoint *leader);

/* bd_is_available(): whether an endpoint may be given a place.  */
bool bd_is_available (const struct bd_fleet_endpoint *endpoint);

/* bd_is_controlled(): whether this keeper orders the endpoint.  */
bool bd_is_controlled (const struct bd_replicas_input *input,
                       const struct bd_fleet_endpoint *endpoint);

/* bd_is_controlled_group(): whether this keeper orders the group's members. */
bool bd_is_controlled_group (const struct bd_replicas_input *input,
                             const struct bd_fleet_group *group);

/* bd_can_order(): whether no order to the endpoint is on its way.  */
bool bd_can_order (const struct bd_fleet_endpoint *endpoint);

/* bd_replicas_add_order(): a new order of this step, or NULL when there is no
   room.  */
struct bd_order *bd_replicas_add_order (struct bd_replicas_step *step,
                                        enum bd_order_kind kind,
                                        const struct bd_fleet_endpoint *to,
                                        const char *reason);

/* bd_find_forming(): the group being formed that names an endpoint, or NULL.
 */
struct bd_forming *bd_find_forming (struct bd_replicas *replicas,
                                    const char *id);

/* bd_has_staged(): whether the host holds the model's weights.  */
bool bd_has_staged (const struct bd_fleet_endpoint *endpoint,
                    const char *model);

/* plan.c: new groups and staging.  */
void bd_replicas_plan (struct bd_replicas_step *step);
void bd_replicas_stage (struct bd_replicas_step *step);

/* bd_join_ms(): how long an endpoint takes to join a group of a model; -1
   when it would need a load and may not.  */
int64_t bd_join_ms (const struct bd_replicas_input *input,
                    const struct bd_fleet_endpoint *endpoint,
                    const struct bd_engine_model *model);

#endif

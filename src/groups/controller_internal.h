/* Declarations shared by the sources of the group controller.  */

#ifndef BD_GROUPS_CONTROLLER_INTERNAL_H
#define BD_GROUPS_CONTROLLER_INTERNAL_H

#include "groups/controller.h"

/* Whether the instance is listed, responsive and not leaving.  */
bool bd_instance_is_usable (const struct bd_controller *controller,
                            const struct bd_instance_state *instance,
                            int64_t now_ms);

/* Whether the instance is unknown (NULL) or has sent no report within
   dead_after_ms.  */
bool bd_instance_is_lost (const struct bd_controller *controller,
                          const struct bd_instance_state *instance,
                          int64_t now_ms);

/* Whether the instance is lost although this controller has listened for
   dead_after_ms without a stall of its own, so that its absence counts.  */
bool bd_instance_is_silent (const struct bd_controller *controller,
                            const struct bd_instance_state *instance,
                            int64_t now_ms);

/* Notes that the controller runs at now_ms, to detect its own stalls.  */
void bd_controller_note_run (struct bd_controller *controller, int64_t now_ms);

/* Whether the instance can serve the service: in its pool and usable.  */
bool bd_instance_fits_service (const struct bd_controller *controller,
                               const struct bd_instance_state *instance,
                               const struct bd_service *service,
                               int64_t now_ms);

/* Whether the instance has loaded the weights of the service.  */
bool bd_instance_is_warm (const struct bd_instance_state *instance,
                          const struct bd_service *service);

/* Whether every member has recently reported the current incarnation.  */
bool bd_controller_is_group_open (const struct bd_controller *controller,
                                  const struct bd_group *group,
                                  int64_t now_ms);

const struct bd_service *
bd_controller_find_service (const struct bd_controller *controller,
                            const char *name);

/* Whether every service has its groups, all complete and ready, and none has
   to change.  */
bool bd_controller_is_settled (const struct bd_controller *controller,
                               int64_t now_ms);

/* Sets warm_for of every free instance to the service whose weights it should
   load, according to assignment.  */
void bd_controller_assign_spares (struct bd_controller *controller,
                                  const struct bd_assignment *assignment,
                                  int64_t now_ms);

#endif

/* What the files of the keeper share.  */

#ifndef BD_GROUPS_CONTROLLER_INTERNAL_H
#define BD_GROUPS_CONTROLLER_INTERNAL_H

#include "groups/controller.h"

/* Whether the instance is listed, answers, and stays.  */
bool bd_instance_is_usable (const struct bd_controller *controller,
                            const struct bd_instance_state *instance,
                            int64_t now_ms);

/* Whether the instance has been silent for too long.  */
bool bd_instance_is_lost (const struct bd_controller *controller,
                          const struct bd_instance_state *instance,
                          int64_t now_ms);

/* Whether a free instance may serve service: right pool, usable.  */
bool bd_instance_fits_service (const struct bd_controller *controller,
                               const struct bd_instance_state *instance,
                               const struct bd_service *service,
                               int64_t now_ms);

/* Whether it holds the weights of service already.  */
bool bd_instance_is_warm (const struct bd_instance_state *instance,
                          const struct bd_service *service);

/* Whether every member reports this incarnation lately.  */
bool bd_controller_is_group_open (const struct bd_controller *controller,
                                  const struct bd_group *group,
                                  int64_t now_ms);

const struct bd_service *
bd_controller_find_service (const struct bd_controller *controller,
                            const char *name);

/* Whether every wanted group is whole and none has to change.  */
bool bd_controller_is_settled (const struct bd_controller *controller,
                               int64_t now_ms);

/* Sets warm_for of every free instance.  */
void bd_controller_assign_spares (struct bd_controller *controller,
                                  const struct bd_assignment *assignment,
                                  int64_t now_ms);

#endif

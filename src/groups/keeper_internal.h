/* What the files of the keeper share.  */

#ifndef BD_GROUPS_KEEPER_INTERNAL_H
#define BD_GROUPS_KEEPER_INTERNAL_H

#include "groups/keeper.h"

/* Whether the instance is listed, answers, and stays.  */
bool bd_unit_is_usable (const struct bd_keeper *keeper,
                        const struct bd_unit *unit, int64_t now_ms);

/* Whether the instance has been silent for too long.  */
bool bd_unit_is_lost (const struct bd_keeper *keeper,
                      const struct bd_unit *unit, int64_t now_ms);

/* Whether a free instance may serve service: right pool, usable.  */
bool bd_unit_fits (const struct bd_keeper *keeper, const struct bd_unit *unit,
                   const struct bd_service *service, int64_t now_ms);

/* Whether it holds the weights of service already.  */
bool bd_unit_is_warm (const struct bd_unit *unit,
                      const struct bd_service *service);

/* Whether every member reports this incarnation lately.  */
bool bd_keeper_is_open (const struct bd_keeper *keeper,
                        const struct bd_group *group, int64_t now_ms);

const struct bd_service *bd_keeper_service (const struct bd_keeper *keeper,
                                            const char *name);

/* Whether every wanted group is whole and none has to change.  */
bool bd_keeper_is_settled (const struct bd_keeper *keeper, int64_t now_ms);

/* Sets warm_for of every free instance.  */
void bd_keeper_assign_spares (struct bd_keeper *keeper,
                              const struct bd_allotment *allotment,
                              int64_t now_ms);

#endif

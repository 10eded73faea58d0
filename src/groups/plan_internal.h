/* What the steps of a plan share.  */

#ifndef BD_GROUPS_PLAN_INTERNAL_H
#define BD_GROUPS_PLAN_INTERNAL_H

#include "groups/controller_internal.h"

/* A plan in the making.  */
struct bd_plan
{
  struct bd_controller *controller;
  struct bd_assignment *next;
  struct bd_instance_state **instances; /* Every instance, by name.  */
  uint32_t instance_count;
  const char **domains; /* Every fabric domain, once.  */
  uint32_t domain_count;
  int64_t now_ms;
  bool has_changed;
  /* While weights are being assigned: units that are spoken for do not count
     as free.  */
  bool skips_marked;
};

/* How a group stands at this moment.  */
struct bd_group_health
{
  uint32_t missing;     /* Members lost, or back without their weights.  */
  uint32_t lost;        /* Members that do not answer.  */
  bool has_restarted;   /* A member is back and has forgotten the group.  */
  uint32_t warm_spares; /* Free in the same domain, with the weights.  */
  uint32_t cold_spares;
};

/* bd_plan_init(): plan.next must be set; everything else lives on it.  */
void bd_plan_init (struct bd_plan *plan);

/* bd_plan_update_assigned(): to be called after groups have changed.  */
void bd_plan_update_assigned (struct bd_plan *plan);

bool bd_plan_is_free (const struct bd_plan *plan,
                      const struct bd_instance_state *instance);

struct bd_instance_state *bd_plan_member (const struct bd_plan *plan,
                                          const struct bd_group *group,
                                          uint32_t i);

bool bd_plan_is_missing (const struct bd_plan *plan,
                         const struct bd_group *group,
                         const struct bd_instance_state *instance);

void bd_plan_count_spares (const struct bd_plan *plan,
                           const struct bd_group *group,
                           const struct bd_service *service,
                           struct bd_group_health *out);

struct bd_group_health bd_plan_group_health (const struct bd_plan *plan,
                                             const struct bd_group *group,
                                             const struct bd_service *service);

void bd_plan_bump_incarnation (struct bd_plan *plan, struct bd_group *group);

/* Since when something has held for a group; 0 passed when it is new.  */
int64_t bd_plan_elapsed_ms (GHashTable *since_ms, const char *id,
                            int64_t now_ms);

void bd_plan_start_drain (struct bd_plan *plan, struct bd_group *group,
                          enum bd_drain drain);

void bd_plan_remove_group (struct bd_plan *plan, uint32_t index);

/* The best free instance of the domain: one that holds the weights first.  */
struct bd_instance_state *bd_plan_find_spare (const struct bd_plan *plan,
                                              const char *domain,
                                              const struct bd_service *service,
                                              bool is_warm_required);

bool bd_plan_is_leaving (const struct bd_instance_state *instance);

uint32_t bd_plan_count_leaving (const struct bd_plan *plan,
                                const struct bd_group *group);

/* Puts spares in the places of members that are missing or leaving; returns
   whether a place was filled.  */
bool bd_plan_replace_members (struct bd_plan *plan, struct bd_group *group,
                              const struct bd_service *service);

/* Groups of a service that are meant to stay.  */
uint32_t bd_plan_count_groups (const struct bd_plan *plan,
                               const struct bd_service *service);

/* Whether a group is out of service with no mend in its own domain.  */
bool bd_plan_is_unrepairable (const struct bd_plan *plan,
                              const struct bd_group *group,
                              const struct bd_service *service);

uint32_t bd_plan_count_repairable (const struct bd_plan *plan,
                                   const struct bd_service *service);

uint32_t bd_plan_count_free (const struct bd_plan *plan, const char *domain,
                             const struct bd_service *service,
                             bool is_warm_required);

/* The domain for one more group: the least to load, then the most left over,
   so that spares stay spread.  NULL when none has room.  */
const char *bd_plan_choose_domain_for_group (const struct bd_plan *plan,
                                             const struct bd_service *service,
                                             bool is_warm_required);

const struct bd_service **
bd_plan_services_by_priority (const struct bd_plan *plan);

void bd_plan_end_drains (struct bd_plan *plan);

/* Starts to remove groups that no service wants, those out of service
   first.  */
void bd_plan_drain_surplus (struct bd_plan *plan);

void bd_plan_roll_versions (struct bd_plan *plan);

void bd_plan_drain_leaving (struct bd_plan *plan);

void bd_plan_repair_groups (struct bd_plan *plan);

void bd_plan_form_groups (struct bd_plan *plan);

void bd_plan_preempt (struct bd_plan *plan);

/* bd_plan_domain_to_preempt(): the domain in which service gets a group once
   groups of lower priorities have left; NULL when there is none.  */
const char *bd_plan_domain_to_preempt (const struct bd_plan *plan,
                                       const struct bd_service *service);

#endif

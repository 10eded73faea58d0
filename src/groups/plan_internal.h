/* The plan being computed, and the steps that bd_controller_plan() runs on
   it.  */

#ifndef BD_GROUPS_PLAN_INTERNAL_H
#define BD_GROUPS_PLAN_INTERNAL_H

#include "groups/controller_internal.h"

/* The next assignment while the steps modify it.  */
struct bd_plan
{
  struct bd_controller *controller;
  struct bd_assignment *next;
  struct bd_instance_state **instances; /* All of them, sorted by name.  */
  uint32_t instance_count;
  const char **domains; /* The fabric domains of the instances.  */
  uint32_t domain_count;
  int64_t now_ms;
  bool has_changed;
  /* Whether an instance with a warm_for does not count as free.  Set while
     bd_controller_assign_spares() fills in warm_for.  */
  bool skips_marked;
};

/* The members that a group lacks, and the spares available to it.  */
struct bd_group_health
{
  uint32_t missing;     /* Members lost, or restarted without weights.  */
  uint32_t lost;        /* Members that are unresponsive.  */
  bool has_restarted;   /* A responsive member is no longer in the group.  */
  uint32_t warm_spares; /* Free in the same domain, with the weights.  */
  uint32_t cold_spares; /* Free in the same domain, without them.  */
};

/* bd_plan_init(): fills in the instances and domains.  The caller has set
   plan->next; the arrays are allocated on it.  */
void bd_plan_init (struct bd_plan *plan);

/* bd_plan_update_assigned(): sets is_assigned of every instance.  Called after
   the members of groups have changed.  */
void bd_plan_update_assigned (struct bd_plan *plan);

/* bd_plan_is_free(): whether the instance is in no group and, with
   skips_marked, has no warm_for.  */
bool bd_plan_is_free (const struct bd_plan *plan,
                      const struct bd_instance_state *instance);

/* bd_plan_member(): returns member number i of the group, or NULL when the
   controller does not know the instance.  */
struct bd_instance_state *bd_plan_member (const struct bd_plan *plan,
                                          const struct bd_group *group,
                                          uint32_t i);

/* bd_plan_is_missing(): whether the member is lost, or has restarted without
   the group's weights.  */
bool bd_plan_is_missing (const struct bd_plan *plan,
                         const struct bd_group *group,
                         const struct bd_instance_state *instance);

/* bd_plan_count_spares(): adds the spares available to the group to out.  */
void bd_plan_count_spares (const struct bd_plan *plan,
                           const struct bd_group *group,
                           const struct bd_service *service,
                           struct bd_group_health *out);

/* bd_plan_group_health(): counts the group's missing members and spares.  */
struct bd_group_health bd_plan_group_health (const struct bd_plan *plan,
                                             const struct bd_group *group,
                                             const struct bd_service *service);

/* bd_plan_bump_incarnation(): gives the group a new incarnation, which all of
   its members have to join.  */
void bd_plan_bump_incarnation (struct bd_plan *plan, struct bd_group *group);

/* bd_plan_elapsed_ms(): returns the time since the first call with this group
   id.  The first call stores now_ms in since_ms and returns 0.  */
int64_t bd_plan_elapsed_ms (GHashTable *since_ms, const char *id,
                            int64_t now_ms);

/* bd_plan_note_open_groups(): updates since when each group is open.  To be
   called at the start of each plan.
   bd_plan_is_known_open(): whether the group has been open for drain_ms, so
   that every daemon can have learned of it.  */
void bd_plan_note_open_groups (struct bd_plan *plan);
bool bd_plan_is_known_open (const struct bd_plan *plan,
                            const struct bd_group *group);

/* bd_plan_start_drain(): sets the group's drain and starts to time it.  */
void bd_plan_start_drain (struct bd_plan *plan, struct bd_group *group,
                          enum bd_drain drain);

/* bd_plan_remove_group(): removes the group at index and frees its members. */
void bd_plan_remove_group (struct bd_plan *plan, uint32_t index);

/* bd_plan_find_spare(): returns a free instance of the domain, or NULL.
   Prefers instances with the weights, then the lowest name.  */
struct bd_instance_state *bd_plan_find_spare (const struct bd_plan *plan,
                                              const char *domain,
                                              const struct bd_service *service,
                                              bool is_warm_required);

/* bd_plan_is_leaving(): whether the instance is known and leaving or no longer
   listed.  */
bool bd_plan_is_leaving (const struct bd_instance_state *instance);

/* bd_plan_count_leaving(): returns the number of members that are leaving.  */
uint32_t bd_plan_count_leaving (const struct bd_plan *plan,
                                const struct bd_group *group);

/* bd_plan_replace_members(): replaces members that are missing or leaving by
   spares that have the weights, as far as there are any.  Returns whether a
   member was replaced.  */
bool bd_plan_replace_members (struct bd_plan *plan, struct bd_group *group,
                              const struct bd_service *service);

/* bd_plan_count_groups(): returns the number of the service's groups that are
   not being removed.  */
uint32_t bd_plan_count_groups (const struct bd_plan *plan,
                               const struct bd_service *service);

/* bd_plan_is_unrepairable(): whether the group has lost more members than its
   domain has spares.  */
bool bd_plan_is_unrepairable (const struct bd_plan *plan,
                              const struct bd_group *group,
                              const struct bd_service *service);

/* bd_plan_count_repairable(): like bd_plan_count_groups(), without those that
   are unrepairable.  */
uint32_t bd_plan_count_repairable (const struct bd_plan *plan,
                                   const struct bd_service *service);

/* bd_plan_count_free(): returns the number of instances in the domain that are
   available to the service.  */
uint32_t bd_plan_count_free (const struct bd_plan *plan, const char *domain,
                             const struct bd_service *service,
                             bool is_warm_required);

/* bd_plan_choose_domain_for_group(): returns the domain for one more group:
   the one where the fewest members have to load weights, then the one with the
   most free instances, so that spares stay spread over the domains.  NULL when
   no domain has enough free instances.  */
const char *bd_plan_choose_domain_for_group (const struct bd_plan *plan,
                                             const struct bd_service *service,
                                             bool is_warm_required);

/* bd_plan_services_by_priority(): returns the services sorted from the highest
   priority down, allocated on plan->next.  */
const struct bd_service **
bd_plan_services_by_priority (const struct bd_plan *plan);

/* bd_plan_end_drains(): changes or removes the groups that have drained.  */
void bd_plan_end_drains (struct bd_plan *plan);

/* bd_plan_drain_surplus(): starts to remove groups that no service needs,
   those that are not open first.  */
void bd_plan_drain_surplus (struct bd_plan *plan);

/* bd_plan_roll_versions(): starts to drain groups of another model or version
   than their service, one at a time for each service.  */
void bd_plan_roll_versions (struct bd_plan *plan);

/* bd_plan_drain_leaving(): starts to drain groups with a leaving member.  */
void bd_plan_drain_leaving (struct bd_plan *plan);

/* bd_plan_repair_groups(): repairs groups with missing members, as the policy
   decides.  */
void bd_plan_repair_groups (struct bd_plan *plan);

/* bd_plan_form_groups(): forms the groups that services lack.  */
void bd_plan_form_groups (struct bd_plan *plan);

/* bd_plan_preempt(): drains groups of lower priorities whose instances a
   service needs for a new group or for a repair.  */
void bd_plan_preempt (struct bd_plan *plan);

/* bd_plan_domain_to_preempt(): returns the first domain that has enough
   instances for a group of the service once groups of lower priorities are
   removed, or NULL.  */
const char *bd_plan_domain_to_preempt (const struct bd_plan *plan,
                                       const struct bd_service *service);

#endif

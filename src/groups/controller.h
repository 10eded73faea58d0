/* The group controller of a data centre: decides which instances form which
   replica groups.  Does no I/O: the caller passes in events and the time, and
   gets back the assignment to write and the orders to send.

   Usage, at every step:
   - bd_controller_set_instances(), bd_controller_add_report(): pass in the
     instance list and the reports of instances;
   - bd_controller_confirm(): pass in the assignment that the platform stores;
   - bd_controller_plan(): get the next assignment to write, if any;
   - bd_controller_orders(): get the orders to send to engines, if any.

   Safety depends on the conditional update of the assignment and on the gate
   (groups/gate.h), not on clocks.  Time only limits how long orders of a
   previous controller can still arrive at engines that ignore fences.  */

#ifndef BD_GROUPS_CONTROLLER_H
#define BD_GROUPS_CONTROLLER_H

#include "config/service.h"
#include "endpoints/report.h"
#include "groups/assignment.h"
#include "store/instances.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct bd_controller_limits
{
  uint32_t dead_after_ms;       /* Time without a report until it is lost.  */
  uint32_t controller_bound_ms; /* How long a confirmation allows orders.  */
  uint32_t report_lag_ms;       /* How old the state in a report can be.  */
  /* Minimum, so that all daemons learn of it; also how long a changed group
     has to be open before the next one of its service drains.  */
  uint32_t drain_ms;
  uint32_t loads_at_once;  /* Maximum of concurrent weight loads.  */
  uint32_t order_retry_ms; /* Interval until an order is sent again.  */
  uint32_t load_ms;        /* Expected time to load weights.  */
  uint32_t join_ms;        /* Expected time to join with weights loaded.  */
  double downtime_weight;  /* Cost per second of a group out of service.  */
  double stranded_weight;  /* Cost per second of an idle accelerator.  */
};

/* What the controller knows of an instance.  */
struct bd_instance_state
{
  struct bd_instance info;
  bool is_listed;
  bool has_report;
  int64_t last_received_ms;
  struct bd_report report;
  int64_t joined_incarnation; /* Highest one that it has reported ready in. */
  int64_t joined_ms;          /* When the last such report came in.  */
  int64_t ordered_ms;
  int64_t ordered_sequence;
  /* Service whose weights a free instance should load; empty if none.  */
  char warm_for[BD_NAME_SIZE];
  bool is_assigned; /* Member of a group in the assignment being planned.  */
};

struct bd_controller;

/* How to repair a group that has lost members.  */
enum bd_repair
{
  BD_REPAIR_WAIT,    /* Wait until the members are back.  */
  BD_REPAIR_REPLACE, /* Replace them with spares of the fabric domain.  */
  BD_REPAIR_DISSOLVE /* Remove the group and free the survivors.  */
};

/* What a group lacks, and the spares available to it.  */
struct bd_shortage
{
  uint32_t lost;        /* Members that are unresponsive.  */
  uint32_t cold;        /* Members that restarted without their weights.  */
  uint32_t warm_spares; /* Free in the group's domain, with the weights.  */
  uint32_t cold_spares; /* Free in the group's domain, without them.  */
  int64_t duration_ms;  /* Since the group first lacked members.  */
};

/* How groups are repaired; bench/week.c compares the policies.  */
struct bd_repair_policy
{
  const char *name;
  bool warms_spares; /* Whether free instances load weights in advance.  */
  enum bd_repair (*choose) (const struct bd_controller *controller,
                            const struct bd_group *group,
                            const struct bd_shortage *shortage);
};

extern const struct bd_repair_policy bd_repair_by_cost;
extern const struct bd_repair_policy bd_repair_by_waiting;
extern const struct bd_repair_policy bd_repair_by_dissolving;

struct bd_controller
{
  char data_centre[BD_NAME_SIZE];
  char self[BD_NAME_SIZE];
  struct bd_controller_limits limits;
  const struct bd_repair_policy *policy;
  /* Set by the caller: this daemon has the lowest name of the live ones.  */
  bool is_selected;
  struct bd_assignment *assignment; /* Last one known to be stored.  */
  int64_t confirmed_ms;             /* When the confirming call was sent.  */
  bool is_confirmed;
  /* Until then orders of the previous controller can still arrive.  */
  int64_t orders_from_ms;
  int64_t ran_ms;            /* When it last planned or gave orders.  */
  int64_t listening_from_ms; /* Since when it has run without a stall.  */
  /* Until then this daemon does not take over the term, because a daemon with
     a lower name has taken it back.  */
  int64_t yields_until_ms;
  GHashTable *instances;      /* Instance name -> struct bd_instance_state.  */
  GHashTable *short_since_ms; /* Group id -> when it first lacked members.  */
  GHashTable *drain_since_ms; /* Group id -> when it was known to drain.  */
  GHashTable *open_since_ms;  /* Group id -> when it was known to be open.  */
  const struct bd_service *const *services;
  uint32_t service_count;
};

/* One order to an engine.  */
struct bd_order
{
  char instance[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t port;
  int64_t fence_term;
  int64_t fence_sequence;
  char group[BD_NAME_SIZE]; /* Empty: load the weights, join no group.  */
  int64_t incarnation;
  char model[BD_NAME_SIZE];
  char version[BD_NAME_SIZE];
  const struct bd_group *members; /* NULL when group is empty.  */
};

/* bd_controller_init(): starts without instances, services or an assignment.
   The policy is bd_repair_by_cost; the caller can replace it.  */
void bd_controller_init (struct bd_controller *controller,
                         const char *data_centre, const char *self,
                         const struct bd_controller_limits *limits);

/* bd_controller_finish(): frees what the controller has allocated.  */
void bd_controller_finish (struct bd_controller *controller);

/* bd_controller_set_services(): sets the current configuration.  The array is
   borrowed until the next call.  */
void bd_controller_set_services (struct bd_controller *controller,
                                 const struct bd_service *const *services,
                                 uint32_t count);

/* bd_controller_set_instances(): sets the instance list.  Entries of other
   data centres and of the daemons' pool are ignored.  */
void bd_controller_set_instances (struct bd_controller *controller,
                                  const struct bd_instance_list *list);

/* bd_controller_add_report(): at now_ms, a report of an instance has come in
   that answers a probe sent at sent_ms.  Reports of unknown instances, and
   those older than the last one, are ignored.  */
void bd_controller_add_report (struct bd_controller *controller,
                               const char *name,
                               const struct bd_report *report, int64_t sent_ms,
                               int64_t now_ms);

/* bd_controller_confirm(): the platform stores this assignment, as returned by
   a call that was sent at sent_ms.  Copies it.  Returns false and ignores it
   when it is older than the last one.  */
bool bd_controller_confirm (struct bd_controller *controller,
                            const struct bd_assignment *assignment,
                            int64_t sent_ms);

/* bd_controller_plan(): returns the next assignment, allocated on ctx, or NULL
   when nothing has to change.  The caller writes it on condition that the
   stored assignment is still the one that was last confirmed.  */
struct bd_assignment *bd_controller_plan (struct bd_controller *controller,
                                          void *ctx, int64_t now_ms);

/* bd_controller_can_order(): whether orders can be sent now.  Orders to
   engines that ignore fences also wait until orders_from_ms.  */
bool bd_controller_can_order (const struct bd_controller *controller,
                              int64_t now_ms);

/* bd_controller_orders(): writes up to max orders and returns their number.
   Every returned order counts as sent, and is repeated after order_retry_ms
   until the instance's report matches it.  */
uint32_t bd_controller_orders (struct bd_controller *controller,
                               int64_t now_ms, struct bd_order *orders,
                               uint32_t max);

/* bd_controller_find_instance(): returns the state of an instance, or NULL
   when it is unknown.  */
struct bd_instance_state *
bd_controller_find_instance (const struct bd_controller *controller,
                             const char *name);

#endif

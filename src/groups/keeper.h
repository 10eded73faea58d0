/* The group keeper of a data centre: decides which instances form which
   replica groups.  Pure: it is told what happens and when, and answers with
   the allotment to write and the orders to send.

   Simple use, at every step:
     bd_keeper_list(), bd_keeper_report()     what is known of instances
     bd_keeper_confirm()                      what the platform holds
     bd_keeper_plan()                         the allotment to write, if any
     bd_keeper_orders()                       orders to engines, if any

   Safety rests on the conditional update of the allotment and on the gate
   (groups/gate.h), not on time.  Time only bounds how long an old keeper's
   orders may arrive at engines that ignore fences.  */

#ifndef BD_GROUPS_KEEPER_H
#define BD_GROUPS_KEEPER_H

#include "config/service.h"
#include "endpoints/report.h"
#include "groups/allotment.h"
#include "store/instances.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct bd_keeper_limits
{
  uint32_t dead_after_ms;       /* Silence after which an instance is lost.  */
  uint32_t controller_bound_ms; /* Oldest confirmation that may still order. */
  uint32_t drain_ms;            /* Least time of a drain: news must spread.  */
  uint32_t loads_at_once;       /* Instances loading weights at a time.  */
  uint32_t order_retry_ms;      /* Between two equal orders.  */
  uint32_t load_ms;             /* Expected time to load weights.  */
  uint32_t join_ms;       /* Expected time to join with weights loaded.  */
  double downtime_weight; /* Cost of a group's second out of service.  */
  double stranded_weight; /* Cost of an accelerator's second held idle.  */
};

/* An instance as the keeper sees it.  */
struct bd_unit
{
  struct bd_instance info;
  bool is_listed;
  bool was_heard;
  int64_t heard_ms;
  struct bd_report report;
  int64_t joined_incarnation; /* Last one it was seen ready in.  */
  int64_t ordered_ms;
  int64_t ordered_sequence;
  /* Service whose weights a free instance should hold.  */
  char warm_for[BD_NAME_SIZE];
  bool is_taken; /* In a group of the plan in the making.  */
};

struct bd_keeper;

/* What to do with a group that has lost members.  */
enum bd_mend
{
  BD_MEND_WAIT,    /* Keep it and hope.  */
  BD_MEND_REPLACE, /* Take spares of the same fabric domain.  */
  BD_MEND_DISSOLVE /* Free the survivors.  */
};

/* A group that is short of members.  */
struct bd_shortage
{
  uint32_t lost;        /* Members that do not answer.  */
  uint32_t cold;        /* Members back without their weights.  */
  uint32_t warm_spares; /* Free in the group's domain, with the weights.  */
  uint32_t cold_spares;
  int64_t since_ms; /* How long it has been short.  */
};

/* How groups are mended; the bench compares several.  */
struct bd_mend_policy
{
  const char *name;
  bool warms_spares; /* Load weights on free instances in advance.  */
  enum bd_mend (*choose) (const struct bd_keeper *keeper,
                          const struct bd_group *group,
                          const struct bd_shortage *shortage);
};

extern const struct bd_mend_policy bd_mend_by_cost;
extern const struct bd_mend_policy bd_mend_by_waiting;
extern const struct bd_mend_policy bd_mend_by_dissolving;

struct bd_keeper
{
  char data_centre[BD_NAME_SIZE];
  char self[BD_NAME_SIZE];
  struct bd_keeper_limits limits;
  const struct bd_mend_policy *policy;
  bool is_chosen; /* This daemon is the lowest-ranked live one.  */
  struct bd_allotment *allotment; /* Last one known to be written.  */
  int64_t confirmed_ms;           /* When the confirming call was sent.  */
  bool is_confirmed;
  int64_t orders_from_ms; /* An older keeper's orders may arrive until then. */
  int64_t yields_until_ms; /* A lower-ranked one has taken the term back.  */
  GHashTable *units;       /* Instance name -> struct bd_unit.  */
  GHashTable *short_since_ms; /* Group id -> since when members are lost.  */
  GHashTable *drain_since_ms; /* Group id -> since when it drains.  */
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
  char group[BD_NAME_SIZE]; /* Empty: hold the weights, be in no group.  */
  int64_t incarnation;
  char model[BD_NAME_SIZE];
  char version[BD_NAME_SIZE];
  const struct bd_group *members; /* NULL when group is empty.  */
};

/* bd_keeper_init(): a keeper without knowledge.  policy may be replaced.  */
void bd_keeper_init (struct bd_keeper *keeper, const char *data_centre,
                     const char *self, const struct bd_keeper_limits *limits);
void bd_keeper_finish (struct bd_keeper *keeper);

/* bd_keeper_services(): the configuration in force.  The array is borrowed
   until the next call.  */
void bd_keeper_services (struct bd_keeper *keeper,
                         const struct bd_service *const *services,
                         uint32_t count);

/* bd_keeper_list(): the instance list.  Entries of other data centres are
   passed over.  */
void bd_keeper_list (struct bd_keeper *keeper,
                     const struct bd_instance_list *list);

/* bd_keeper_report(): an instance has answered at now_ms.  */
void bd_keeper_report (struct bd_keeper *keeper, const char *instance,
                       const struct bd_report *report, int64_t now_ms);

/* bd_keeper_confirm(): the platform holds this allotment, by a call that was
   sent at asked_ms.  Takes a copy.  An older allotment is passed over; returns
   whether it was taken.  */
bool bd_keeper_confirm (struct bd_keeper *keeper,
                        const struct bd_allotment *allotment,
                        int64_t asked_ms);

/* bd_keeper_plan(): the next allotment on ctx, or NULL when nothing is to
   change.  It must be written with the condition that the present one still
   stands.  */
struct bd_allotment *bd_keeper_plan (struct bd_keeper *keeper, void *ctx,
                                     int64_t now_ms);

/* bd_keeper_may_order(): whether orders may go out now.  Those to engines that
   ignore fences also wait until orders_from_ms.  */
bool bd_keeper_may_order (const struct bd_keeper *keeper, int64_t now_ms);

/* bd_keeper_orders(): fills orders (room for max) and returns their number.
   Every order is counted as sent.  */
uint32_t bd_keeper_orders (struct bd_keeper *keeper, int64_t now_ms,
                           struct bd_order *orders, uint32_t max);

/* bd_keeper_unit(): what is known of an instance, or NULL.  */
struct bd_unit *bd_keeper_unit (const struct bd_keeper *keeper,
                                const char *instance);

#endif

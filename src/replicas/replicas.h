/* Forms replica groups from the instances of a pool, and repairs them.  Pure.

   The engines accept orders to join, open, close and leave a group, and to
   stage a model's weights on their host.  The state of a group is stored by
   its members; a new controller reads it from them.  The controller of a data
   centre sends orders only to the instances there and balances only their
   groups, but uses the offered load of the whole pool.

   Invariants:
   - A group name is used for one list of members only.
   - A leader is ordered to open only after every member has reported that it
     is ready under this name and epoch.
   - A group that the configuration does not want any more, since its model
     has another size or is gone, is closed and leaves when it has finished its
     requests, or after close_limit_ms.
   - A group that another model needs is closed first.  It leaves when it has
     finished its requests, or after close_limit_ms.  A move that has become
     impossible or needless is given up, and its donors are opened again.
   - A member is ordered into another group only when it has left its old one,
     or the leader of that group has confirmed that it has left or is broken,
     and no earlier controller has formed it.
   - An order to join, open, close or leave is conditional on the version of
     the endpoint's state that the decision rests on; the endpoint refuses it
     when any other order came between, and late copies with it.
   - A group is not opened, and is closed if it is open, while an unanswered
     order to leave or to join can still remove one of its members.

   Use, every few tens of milliseconds:
     count = bd_replicas_step (&replicas, &input, orders, max);
     (send the orders and call bd_replicas_mark_sent() for each)
     count = bd_replicas_due_probes (&replicas, &input, ids, max);
     (probe these endpoints)
   and call bd_replicas_apply_result() for the result of each order.  */

#ifndef BD_REPLICAS_REPLICAS_H
#define BD_REPLICAS_REPLICAS_H

#include "engine/engine.h"
#include "fleet/fleet.h"
#include "store/budget.h"

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_order_kind
{
  BD_ORDER_NONE,
  BD_ORDER_JOIN,
  BD_ORDER_OPEN,
  BD_ORDER_CLOSE, /* Takes no new requests; finishes the current ones.  */
  BD_ORDER_LEAVE, /* Leaves at once; aborts the running requests.  */
  BD_ORDER_STAGE  /* Loads weights onto the host.  */
};

struct bd_order
{
  enum bd_order_kind kind;
  char endpoint[BD_NAME_SIZE];
  char group[BD_NAME_SIZE];
  int64_t epoch;
  char model[BD_NAME_SIZE];
  char members[BD_FLEET_MAX_MEMBERS][BD_NAME_SIZE]; /* Leader first.  */
  uint32_t member_count;
  int64_t expected_version; /* Refused at any other one; -1: no condition.  */
  const char *reason;       /* For the log.  */
  uint32_t in_flight;       /* Requests on the group, of all daemons.  */
  uint32_t present_count;   /* Known members of the group.  */
  uint32_t size;            /* That its model has now; 0 for no model.  */
  int64_t silent_ms; /* Since the group's last progress; -1 if there was none
                        or the order is not to a leader.  */
};

enum bd_order_result
{
  BD_ORDER_ACCEPTED,  /* The endpoint has started to execute it.  */
  BD_ORDER_DONE,      /* The endpoint is in the requested state.  */
  BD_ORDER_REFUSED,   /* The endpoint's state does not allow it.  */
  BD_ORDER_FENCED,    /* The endpoint has seen a higher epoch or term.  */
  BD_ORDER_UNANSWERED /* No reply; it can still be executed later.  */
};

enum
{
  BD_REPLICAS_MAX_FORMING = 256,
  BD_REPLICAS_MAX_RESERVED = 32,
  /* Of the last groups that were formed, the sizes are kept.  */
  BD_REPLICAS_MAX_FORMED = 256,
  BD_REPLICAS_MAX_DONORS = 8,
  /* Limit on the groups that one controller forms in its term.  */
  BD_REPLICAS_EPOCHS_PER_TERM = 1 << 20,
  /* Minimum time between two moves that follow demand: the endpoints' entries
     show the effect of a move with a delay.  */
  BD_REPLICAS_MOVE_INTERVAL_MS = 700
};

/* A group that is being formed.  */
struct bd_forming
{
  char name[BD_NAME_SIZE];
  int64_t epoch;
  char model[BD_NAME_SIZE];
  char members[BD_FLEET_MAX_MEMBERS][BD_NAME_SIZE];
  uint32_t count;
  int64_t started_ms;
};

/* The number of members that a group was formed with: while some have not
   joined, the group can look like a complete one of another size.  */
struct bd_formed
{
  uint64_t group; /* Hash.  */
  uint32_t count;
};

/* A move: a domain whose free endpoints are reserved for one model, while
   groups of other models, the donors, are closed and dissolved for it.  */
struct bd_reservation
{
  char domain[BD_NAME_SIZE];
  char model[BD_NAME_SIZE];
  uint64_t donors[BD_REPLICAS_MAX_DONORS]; /* Hashes of the groups.  */
  uint32_t donor_count;
  int64_t close_until_ms; /* Then donors that are not empty leave, too.  */
  int64_t until_ms;
};

struct bd_replicas
{
  struct bd_forming forming[BD_REPLICAS_MAX_FORMING];
  uint32_t forming_count;
  struct bd_formed formed[BD_REPLICAS_MAX_FORMED]; /* A ring.  */
  uint32_t formed_next;
  struct bd_reservation reserved[BD_REPLICAS_MAX_RESERVED];
  int64_t last_move_ms;   /* Last move between models.  */
  uint32_t loads_at_once; /* Limit; more would slow each one down.  */
  struct bd_bucket loads; /* Limits loads from the weight store.  */
  int64_t first_epoch;    /* Epochs of this controller are greater.  */
  int64_t epoch;          /* Last epoch assigned.  */
  int64_t started_ms;     /* When this controller started.  */
  gsl_rng *rng;
};

struct bd_replicas_input
{
  struct bd_fleet *fleet;
  const char *service;
  const struct bd_engine *engine;
  /* Offered load of each model, in fully used replicas; all zero before the
     first request.  */
  double demand[BD_ENGINE_MAX_MODELS];
  bool has_traffic; /* Any daemon has received a request.  */
  /* Whether this controller controls the instances of a data centre.  */
  bool (*is_controlled) (void *ctx, const char *data_centre);
  void *ctx;
  int64_t stall_ms; /* A group without progress for this long is broken.  */
  /* A group that was closed this long ago is dissolved with the requests
     that it still runs.  */
  int64_t close_limit_ms;
  int64_t now_ms;
};

/* State of the part of the pool that this controller controls.  */
struct bd_replicas_summary
{
  uint32_t open[BD_ENGINE_MAX_MODELS];
  uint32_t forming[BD_ENGINE_MAX_MODELS];
  uint32_t closing[BD_ENGINE_MAX_MODELS]; /* Take no new requests.  */
  uint32_t broken[BD_ENGINE_MAX_MODELS];  /* Groups that lack a member.  */
  /* Share of each model in the offered load of the whole pool.  */
  uint32_t wanted_percent[BD_ENGINE_MAX_MODELS];
  uint32_t free;     /* Available, in no group, with weights on the host.  */
  uint32_t cold;     /* Available, in no group, without any weights.  */
  uint32_t reserved; /* Domains whose free endpoints wait for a move.  */
};

/* bd_replicas_init(): initializes the controller with a token.  Its epochs are
   greater than those of all lower tokens, so that instances refuse a delayed
   order of an earlier controller even if they do not check fences.
   loads_per_s and loads_at_once are this controller's share of the weight
   store's limits.  */
void bd_replicas_init (struct bd_replicas *replicas, int64_t token,
                       double loads_per_s, uint32_t loads_at_once,
                       gsl_rng *rng, int64_t now_ms);

/* bd_replicas_step(): fills in up to max orders that are due and returns their
   number.  */
uint32_t bd_replicas_step (struct bd_replicas *replicas,
                           const struct bd_replicas_input *input,
                           struct bd_order *orders, uint32_t max);

/* bd_replicas_note_formed(): records the sizes of the groups that are complete
   by an engine.  To be called before another one takes its place: later a
   group of the former size looks like one that has lost members.
   bd_replicas_step() does so for the controller.  */
void bd_replicas_note_formed (struct bd_fleet *fleet, const char *service,
                              const struct bd_engine *engine);

/* bd_replicas_due_probes(): fills in up to max ids of endpoints whose probe is
   due and returns their number.  The fleet owns the strings.  */
uint32_t bd_replicas_due_probes (struct bd_replicas *replicas,
                                 const struct bd_replicas_input *input,
                                 const char **ids, uint32_t max);

/* bd_replicas_summarize(): counts groups and endpoints for logs and metrics.
 */
void bd_replicas_summarize (const struct bd_replicas *replicas,
                            const struct bd_replicas_input *input,
                            struct bd_replicas_summary *summary);

/* bd_replicas_is_demand_known(): whether the offered load of each of
   model_count models is complete enough to decide how many groups each model
   gets.  reporting_count of daemon_count daemons have reported their load;
   uptime_ms is the time since this daemon started.  In the first 30 s at
   least half of the daemons must have reported, and every model must have
   some load: a few daemons see few requests, and none of a rarely used
   model.  */
bool bd_replicas_is_demand_known (const double *demand, uint32_t model_count,
                                  uint32_t reporting_count,
                                  uint32_t daemon_count, int64_t uptime_ms);

/* bd_replicas_mark_sent(): records that the order has been sent.  */
void bd_replicas_mark_sent (struct bd_fleet *fleet,
                            const struct bd_order *order, int64_t now_ms);

/* bd_replicas_apply_result(): records the result of an order.  */
void bd_replicas_apply_result (struct bd_replicas *replicas,
                               struct bd_fleet *fleet,
                               const struct bd_order *order,
                               enum bd_order_result result, int64_t now_ms);

/* bd_order_name(): returns the name of an order kind for the log.  */
const char *bd_order_name (enum bd_order_kind kind);

#endif

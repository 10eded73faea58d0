/* Forming replica groups from the instances of a pool, and mending them.
   Pure.

   For engines that take orders to join, open, close and leave a group, and to
   stage a model's weights on their host.  What a group is stands with its
   members; a keeper that starts anew reads it from them.  The keeper of a data
   centre orders only there, but reckons with the groups of all.

   What always holds:
   - a group's name is used for one list of members only;
   - a leader is told to open only after every member has reported that it is
     ready under this name and epoch;
   - a member is ordered into another group only when its leader is out of the
     old one, has said that it is broken, or does not answer.

   Use, every few tens of milliseconds:
     count = bd_replicas_step (&replicas, &input, orders, max);
     (send the orders; mark each endpoint's order as sent)
     ids = bd_replicas_due_probes (&replicas, &input, ids, max);
     (ask these endpoints for a report)
   and for each answer bd_replicas_apply_result().  */

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
  BD_ORDER_CLOSE, /* No new work; what waits and runs is finished.  */
  BD_ORDER_LEAVE, /* At once; what runs is cut off.  */
  BD_ORDER_STAGE  /* Load weights onto the host.  */
};

struct bd_order
{
  enum bd_order_kind kind;
  char endpoint[BD_NAME_SIZE];
  char group[BD_NAME_SIZE];
  int64_t epoch;
  char model[BD_NAME_SIZE];
  char members[BD_FLEET_MAX_MEMBERS][BD_NAME_SIZE]; /* The first leads.  */
  uint32_t member_count;
  const char *reason; /* For the log.  */
};

enum bd_order_result
{
  BD_ORDER_ACCEPTED,  /* It has begun.  */
  BD_ORDER_DONE,      /* The state holds already, or it is done.  */
  BD_ORDER_REFUSED,   /* It does not fit the endpoint's state.  */
  BD_ORDER_FENCED,    /* Another keeper has a higher term.  */
  BD_ORDER_UNANSWERED /* No answer: it may yet be carried out.  */
};

enum
{
  BD_REPLICAS_MAX_FORMING = 256,
  BD_REPLICAS_MAX_RESERVED = 32,
  /* Groups that one keeper can form in its term.  */
  BD_REPLICAS_EPOCHS_PER_TERM = 1 << 20,
  /* Between two groups that are taken apart for another model: capacity as
     the entries show it has to follow.  */
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

/* A domain whose free endpoints are kept for one model.  */
struct bd_reservation
{
  char domain[BD_NAME_SIZE];
  char model[BD_NAME_SIZE];
  int64_t until_ms;
};

struct bd_replicas
{
  struct bd_forming forming[BD_REPLICAS_MAX_FORMING];
  uint32_t forming_count;
  struct bd_reservation reserved[BD_REPLICAS_MAX_RESERVED];
  int64_t last_move_ms;   /* Last move from one model to another.  */
  uint32_t loads_at_once; /* More make each take longer.  */
  struct bd_bucket loads; /* Loads from the weight store.  */
  int64_t first_epoch;    /* Those of this keeper are above it.  */
  int64_t epoch;          /* Last one given out.  */
  int64_t started_ms;     /* When this keeper began.  */
  gsl_rng *rng;
};

struct bd_replicas_input
{
  struct bd_fleet *fleet;
  const char *service;
  const struct bd_engine *engine;
  /* Work offered for each model, in replicas kept busy; all zero while
     nothing has been offered.  */
  double demand[BD_ENGINE_MAX_MODELS];
  bool has_traffic; /* Any daemon has taken a request.  */
  bool (*is_controlled) (void *ctx, const char *data_centre);
  void *ctx;
  int64_t stall_ms; /* A group that stands still is broken after this.  */
  int64_t now_ms;
};

/* Where the kept part of the pool stands.  */
struct bd_replicas_summary
{
  uint32_t open[BD_ENGINE_MAX_MODELS];
  uint32_t forming[BD_ENGINE_MAX_MODELS];
  uint32_t broken[BD_ENGINE_MAX_MODELS]; /* Short of a member.  */
  /* Part of the offered work, of the whole pool.  */
  uint32_t wanted_percent[BD_ENGINE_MAX_MODELS];
  uint32_t free; /* Sound and in no group, with weights at hand.  */
  uint32_t cold; /* Sound, without any weights.  */
};

/* bd_replicas_init(): a keeper of this term; its epochs are above those of all
   earlier terms, so that an order of an earlier keeper that is carried out
   late is refused also where fences are not checked.  loads_per_s and
   loads_at_once are this keeper's part of what the weight store allows.  */
void bd_replicas_init (struct bd_replicas *replicas, int64_t term,
                       double loads_per_s, uint32_t loads_at_once,
                       gsl_rng *rng, int64_t now_ms);

/* bd_replicas_step(): fills in orders to be sent now; returns how many.  */
uint32_t bd_replicas_step (struct bd_replicas *replicas,
                           const struct bd_replicas_input *input,
                           struct bd_order *orders, uint32_t max);

/* bd_replicas_due_probes(): ids of endpoints to be asked for a report now;
   returns how many.  The strings are the fleet's.  */
uint32_t bd_replicas_due_probes (struct bd_replicas *replicas,
                                 const struct bd_replicas_input *input,
                                 const char **ids, uint32_t max);

/* bd_replicas_summarize(): for logs and metrics.  */
void bd_replicas_summarize (const struct bd_replicas *replicas,
                            const struct bd_replicas_input *input,
                            struct bd_replicas_summary *summary);

/* bd_replicas_is_demand_known(): whether the work offered for each of
   model_count models may decide how many groups each gets.  told of daemons
   have told of theirs, started_ms after this one started.  In the first 30 s
   not before half of them have, and some for each model: a few daemons see few
   requests, and what is rare not at all.  */
bool bd_replicas_is_demand_known (const double *demand, uint32_t model_count,
                                  uint32_t reporting_count,
                                  uint32_t daemon_count, int64_t started_ms);

/* bd_replicas_mark_sent(): the order is on its way.  */
void bd_replicas_mark_sent (struct bd_fleet *fleet,
                            const struct bd_order *order, int64_t now_ms);

/* bd_replicas_apply_result(): what came of an order.  */
void bd_replicas_apply_result (struct bd_replicas *replicas,
                               struct bd_fleet *fleet,
                               const struct bd_order *order,
                               enum bd_order_result result, int64_t now_ms);

/* bd_order_name(): for the log.  */
const char *bd_order_name (enum bd_order_kind kind);

#endif

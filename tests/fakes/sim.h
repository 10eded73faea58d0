/* Discrete-time simulation of a data centre for the group controller.

   It simulates instances that load and fail, the assignment object of the
   platform, and controllers that run the production code on a simulated
   clock.  The trace tests, the property tests and the benchmarks use it.

   sim_init(), then add instances, controllers and services; alternate
   sim_run() with faults; check violation; sim_finish().  Times are in
   milliseconds of the simulated clock.  */

#ifndef BD_TESTS_FAKES_SIM_H
#define BD_TESTS_FAKES_SIM_H

#include "groups/controller.h"
#include "groups/gate.h"
#include "store/update.h"

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  SIM_MAX_INSTANCES = 256,
  SIM_MAX_CONTROLLERS = 4,
  SIM_MAX_SERVICES = 4,
  SIM_MAX_ORDERS = 256,
  SIM_HISTORY = 32 /* Steps.  */
};

/* What could be observed of an instance at one step.  */
struct sim_snapshot
{
  struct bd_instance info;
  bool is_listed;
  struct bd_report report;
};

struct sim_instance
{
  struct bd_instance info;
  bool is_listed;
  bool is_alive;
  bool is_paused;
  bool checks_fence;
  struct bd_report report;
  bool has_loaded_weights; /* Of report.model and report.version.  */
  double load_left_ms;
  double join_left_ms;
  int64_t fence_term;
  int64_t fence_sequence;
  uint32_t running;      /* Calls in flight; a drain waits for them.  */
  bool has_lost_address; /* Another instance has it; it never comes back.  */
  int64_t last_alive_ms;
  struct sim_snapshot history[SIM_HISTORY]; /* A ring.  */
  uint32_t history_count;
  uint32_t steps_alive; /* Since it started.  */
};

struct sim_controller
{
  struct bd_controller controller;
  bool is_alive;
  bool is_paused;
  bool is_cut_off; /* From the platform and the other controllers.  */
  bool is_cut_off_from_instances;
  struct bd_update update;
  bool is_updating;
  struct bd_assignment *pending; /* Being written.  */
  int64_t sent_ms;
  int64_t version; /* Of the object when it was last read.  */
  struct bd_received_report received[SIM_MAX_INSTANCES];
  struct bd_order delayed_orders[SIM_MAX_ORDERS];
  uint32_t delayed_order_count;
};

struct sim
{
  void *ctx;
  gsl_rng *rng;
  int64_t now_ms;
  uint32_t step_ms;
  uint32_t load_ms;
  uint32_t join_ms;
  uint32_t loads_at_full_speed; /* More loads share their speed.  */
  uint32_t freshness_ms;

  /* Faults.  Every list entry and every report is of an earlier state, of a
     random age up to the given one; a later one can be of an older state.  The
     maximum is SIM_HISTORY - 1 steps.  */
  uint32_t list_lag_ms;
  uint32_t report_lag_ms;
  bool has_reused_addresses;

  struct sim_instance instances[SIM_MAX_INSTANCES];
  uint32_t instance_count;
  struct sim_controller controllers[SIM_MAX_CONTROLLERS];
  uint32_t controller_count;
  struct bd_service services[SIM_MAX_SERVICES];
  const struct bd_service *service_list[SIM_MAX_SERVICES];
  uint32_t service_count;

  /* The assignment object in the platform.  */
  bool is_platform_down;
  bool are_controllers_partitioned; /* None sees another.  */
  uint32_t replies_to_lose;
  int64_t version;
  struct bd_assignment *stored;
  char write_ids[8][BD_ID_SIZE];
  uint32_t writes;

  /* What a daemon has observed.  */
  struct bd_received_report observations[SIM_MAX_INSTANCES];
  int64_t seen_term;
  int64_t seen_sequence;

  /* Measures.  */
  double downtime_ms; /* Of missing groups, summed.  */
  double stranded_ms; /* Accelerator time in groups that cannot serve.  */
  uint32_t stale_orders_rejected;
  uint32_t stale_orders_executed;
  uint32_t misdirected_orders_rejected; /* Those for another instance.  */
  uint32_t aborted_calls;               /* Calls that an order aborted.  */
  const char *violation; /* The last violated invariant, or NULL.  */
};

/* sim_init(): starts an empty simulation whose random values depend on seed
   only.  */
void sim_init (struct sim *sim, void *ctx, uint64_t seed);
void sim_finish (struct sim *sim);

/* sim_add_*(): return the new element.  The arrays have fixed sizes, and
   callers don't exceed them.  */
struct sim_instance *sim_add_instance (struct sim *sim, const char *name,
                                       const char *domain, const char *pool);
struct sim_controller *
sim_add_controller (struct sim *sim, const char *name,
                    const struct bd_controller_limits *limits,
                    const struct bd_repair_policy *policy);
struct bd_service *sim_add_service (struct sim *sim, const char *name,
                                    const char *pool, uint32_t members,
                                    uint32_t replicas, uint32_t priority);

/* sim_instance(), sim_controller(): find an element by name; NULL if there is
   none.  */
struct sim_instance *sim_instance (struct sim *sim, const char *name);
struct sim_controller *sim_controller (struct sim *sim, const char *name);

/* Faults.  sim_kill_instance() also clears the instance's weights, report and
   fence; sim_revive_instance() ends a pause too.  */
void sim_kill_instance (struct sim_instance *inst);
void sim_revive_instance (struct sim_instance *inst);

/* sim_reuse_address(): kills old, which stays in the list, and adds a new
   instance of the pool at its address.  */
struct sim_instance *sim_reuse_address (struct sim *sim,
                                        struct sim_instance *old,
                                        const char *name, const char *pool);

/* sim_delay_orders(): stores the orders that the controller would send now. If
   there are none, stores a load order for every member of its assignment.
   sim_deliver_delayed_orders() delivers them.  */
void sim_delay_orders (struct sim *sim, struct sim_controller *controller);
void sim_deliver_delayed_orders (struct sim *sim,
                                 struct sim_controller *controller);

/* sim_run(): advances the clock in steps of step_ms, and checks all invariants
   after each.  */
void sim_run (struct sim *sim, int64_t run_ms);

/* sim_is_group_open(): whether every member is alive and has joined the group,
   whatever the daemons have observed.  */
bool sim_is_group_open (struct sim *sim, const struct bd_group *group);

/* sim_count_open_groups(): returns the open groups of a service that are not
   draining.  */
uint32_t sim_count_open_groups (struct sim *sim, const char *service);

/* sim_is_idle(): whether no live instance loads or leaves, and no group
   drains.  */
bool sim_is_idle (struct sim *sim);

/* sim_skip_time(): advances the clock by skip_ms in a single step.  Call it
   only while sim_is_idle().  */
void sim_skip_time (struct sim *sim, int64_t skip_ms);

#endif

/* A small world for the group keeper: instances that load and die, one object
   of the platform, and keepers that run the product's decisions on a clock
   that the test moves.  Used by traces, properties and the bench.  */

#ifndef BD_TESTS_FAKES_WORLD_H
#define BD_TESTS_FAKES_WORLD_H

#include "groups/gate.h"
#include "groups/keeper.h"
#include "store/update.h"

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  SIM_MAX_INSTANCES = 256,
  SIM_MAX_CONTROLLERS = 4,
  SIM_MAX_SERVICES = 4,
  SIM_MAX_ORDERS = 256
};

struct sim_instance
{
  struct bd_instance info;
  bool is_listed;
  bool is_alive;
  bool is_paused;
  bool checks_fence;
  struct bd_report report;
  bool has_loaded_weights; /* Of report.model and version.  */
  double load_left_ms;
  double join_left_ms;
  int64_t fence_term;
  int64_t fence_sequence;
  uint32_t running; /* Calls, for drains.  */
};

struct sim_controller
{
  struct bd_keeper controller;
  bool is_alive;
  bool is_paused;
  bool is_cut_off; /* From the platform and the other keepers.  */
  bool is_cut_off_from_instances;
  struct bd_update update;
  bool is_updating;
  struct bd_allotment *pending;
  int64_t asked_ms;
  int64_t version; /* Of the object as it was read last.  */
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
  uint32_t loads_at_full_speed;
  uint32_t freshness_ms;

  struct sim_instance instances[SIM_MAX_INSTANCES];
  uint32_t instance_count;
  struct sim_controller controllers[SIM_MAX_CONTROLLERS];
  uint32_t controller_count;
  struct bd_service services[SIM_MAX_SERVICES];
  const struct bd_service *service_list[SIM_MAX_SERVICES];
  uint32_t service_count;

  /* The platform's object.  */
  bool is_platform_down;
  bool are_controllers_partitioned; /* They hear nothing of each other.  */
  uint32_t replies_to_lose;
  int64_t version;
  struct bd_allotment *stored;
  char write_ids[8][BD_ID_SIZE];
  uint32_t writes;

  /* What an observing daemon holds.  */
  struct bd_sighting observations[SIM_MAX_INSTANCES];
  int64_t seen_term;
  int64_t seen_sequence;

  /* Measures.  */
  double downtime_ms; /* Of groups that are wanted.  */
  double stranded_ms; /* Of accelerators in groups that cannot serve.  */
  uint32_t stale_orders_rejected;
  uint32_t stale_orders_executed;
  uint32_t aborted_calls; /* Calls that an order cut off.  */
  const char *violation;  /* First rule that was broken, or NULL.  */
};

void sim_init (struct sim *sim, void *ctx, uint64_t seed);
void sim_finish (struct sim *sim);

struct sim_instance *sim_add_instance (struct sim *sim, const char *name,
                                       const char *domain, const char *pool);
struct sim_controller *
sim_add_controller (struct sim *sim, const char *name,
                    const struct bd_keeper_limits *limits,
                    const struct bd_mend_policy *policy);
struct bd_service *sim_add_service (struct sim *sim, const char *name,
                                    const char *pool, uint32_t members,
                                    uint32_t replicas, uint32_t priority);
struct sim_instance *sim_instance (struct sim *sim, const char *name);
struct sim_controller *sim_controller (struct sim *sim, const char *name);

/* Events.  */
void sim_kill_instance (struct sim_instance *inst);
void sim_revive_instance (struct sim_instance *inst);
/* The orders that the keeper would send now stay in its hand.  */
void sim_delay_orders (struct sim *sim, struct sim_controller *controller);
void sim_deliver_delayed_orders (struct sim *sim,
                                 struct sim_controller *controller);

/* sim_run(): moves time and checks every rule after every step.  */
void sim_run (struct sim *sim, int64_t run_ms);

/* sim_is_group_open(): whether the group can serve in truth.  */
bool sim_is_group_open (struct sim *sim, const struct bd_group *group);
uint32_t sim_count_open_groups (struct sim *sim, const char *service);

/* sim_is_idle(): nothing loads, is lost, drains or waits.  */
bool sim_is_idle (struct sim *sim);

/* sim_skip_time(): moves time without steps; only while quiet.  */
void sim_skip_time (struct sim *sim, int64_t skip_ms);

#endif

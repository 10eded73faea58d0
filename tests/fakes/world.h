/* A small world for the group keeper: instances that load and die, one object
   of the platform, and keepers that run the product's decisions on a clock
   that the test moves.  Used by traces, properties and the bench.  */

#ifndef BD_FAKES_WORLD_H
#define BD_FAKES_WORLD_H

#include "groups/controller.h"
#include "groups/gate.h"
#include "store/update.h"

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  WORLD_MAX_UNITS = 256,
  WORLD_MAX_KEEPERS = 4,
  WORLD_MAX_SERVICES = 4,
  WORLD_MAX_ORDERS = 256
};

struct world_unit
{
  struct bd_instance info;
  bool is_listed;
  bool is_alive;
  bool is_paused;
  bool checks_fence;
  struct bd_report report;
  bool holds_weights; /* Of report.model and version.  */
  double load_left_ms;
  double join_left_ms;
  int64_t fence_term;
  int64_t fence_sequence;
  uint32_t running; /* Calls, for drains.  */
};

struct world_keeper
{
  struct bd_controller controller;
  bool is_alive;
  bool is_paused;
  bool is_cut_off; /* From the platform and the other keepers.  */
  bool is_cut_from_units;
  struct bd_update update;
  bool is_updating;
  struct bd_assignment *wanted;
  int64_t asked_ms;
  int64_t version; /* Of the object as it was read last.  */
  struct bd_order held[WORLD_MAX_ORDERS];
  uint32_t held_count;
};

struct world
{
  void *ctx;
  gsl_rng *rng;
  int64_t now_ms;
  uint32_t step_ms;
  uint32_t load_ms;
  uint32_t join_ms;
  uint32_t loads_at_full_speed;
  uint32_t freshness_ms;

  struct world_unit units[WORLD_MAX_UNITS];
  uint32_t unit_count;
  struct world_keeper keepers[WORLD_MAX_KEEPERS];
  uint32_t keeper_count;
  struct bd_service services[WORLD_MAX_SERVICES];
  const struct bd_service *service_list[WORLD_MAX_SERVICES];
  uint32_t service_count;

  /* The platform's object.  */
  bool is_platform_down;
  bool are_keepers_parted; /* They hear nothing of each other.  */
  uint32_t lose_answers;
  int64_t version;
  struct bd_assignment *stored;
  char write_ids[8][BD_ID_SIZE];
  uint32_t writes;

  /* What an observing daemon holds.  */
  struct bd_received_report sightings[WORLD_MAX_UNITS];
  int64_t seen_term;
  int64_t seen_sequence;

  /* Measures.  */
  double downtime_ms; /* Of groups that are wanted.  */
  double stranded_ms; /* Of accelerators in groups that cannot serve.  */
  uint32_t old_orders_refused;
  uint32_t old_orders_obeyed;
  uint32_t cut_calls;    /* Calls that an order cut off.  */
  const char *violation; /* First rule that was broken, or NULL.  */
};

void world_init (struct world *world, void *ctx, uint64_t seed);
void world_finish (struct world *world);

struct world_unit *world_add_unit (struct world *world, const char *name,
                                   const char *domain, const char *pool);
struct world_keeper *
world_add_keeper (struct world *world, const char *name,
                  const struct bd_controller_limits *limits,
                  const struct bd_repair_policy *policy);
struct bd_service *world_add_service (struct world *world, const char *name,
                                      const char *pool, uint32_t members,
                                      uint32_t replicas, uint32_t priority);
struct world_unit *world_unit (struct world *world, const char *name);
struct world_keeper *world_keeper (struct world *world, const char *name);

/* Events.  */
void world_kill (struct world_unit *unit);
void world_revive (struct world_unit *unit);
/* The orders that the keeper would send now stay in its hand.  */
void world_hold_orders (struct world *world, struct world_keeper *controller);
void world_deliver_held (struct world *world, struct world_keeper *controller);

/* world_run(): moves time and checks every rule after every step.  */
void world_run (struct world *world, int64_t run_ms);

/* world_is_open(): whether the group can serve in truth.  */
bool world_is_open (struct world *world, const struct bd_group *group);
uint32_t world_open_groups (struct world *world, const char *service);

/* world_is_quiet(): nothing loads, is lost, drains or waits.  */
bool world_is_quiet (struct world *world);

/* world_skip(): moves time without steps; only while quiet.  */
void world_skip (struct world *world, int64_t skip_ms);

#endif

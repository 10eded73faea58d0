/* A pool of instances that form groups by orders, in memory, on a clock that
   the test moves.  It carries out what a keeper orders, by the protocol, and
   records what must never happen.  */

#ifndef BD_TESTS_FAKES_POOL_H
#define BD_TESTS_FAKES_POOL_H

#ifdef __cplusplus
extern "C"
{
#endif

#include "replicas/replicas.h"

  enum
  {
    POOL_MAX_INSTANCES = 128,
    POOL_MAX_DELAYED = 64
  };

  struct pool_member
  {
    struct bd_endpoint_entry entry; /* As it is, not as the list says.  */
    bool is_alive;
    bool is_refusing;  /* Dead, and its instance says so.  */
    bool is_reachable; /* From the keeper.  */
    bool is_in_list;   /* The store has its entry.  */
    char leader[BD_NAME_SIZE];
    char members[BD_FLEET_MAX_MEMBERS][BD_NAME_SIZE];
    uint32_t count;
    char last_model[BD_NAME_SIZE];
    int64_t ready_ms; /* When a join is done; 0 for none.  */
    int64_t open_ms;  /* When an opening is done; 0 for none.  */
    int64_t staged_ms;
    char staging[BD_NAME_SIZE];
    int64_t epoch;         /* Highest seen.  */
    int64_t lost_since_ms; /* Since when it is dead or cut.  */
  };

  /* An order that is carried out late.  */
  struct pool_delayed_order
  {
    struct bd_order order;
    int64_t due_ms;
  };

  struct pool
  {
    struct bd_engine engine;
    struct bd_fleet fleet;
    struct bd_replicas replicas;
    struct pool_member members[POOL_MAX_INSTANCES];
    uint32_t count;
    struct pool_delayed_order delayed[POOL_MAX_DELAYED];
    uint32_t delayed_count;
    double delayed_share; /* Of orders that are not answered.  */
    int64_t now_ms;
    int64_t term; /* Of the keeper.  */
    bool has_traffic;
    double demand[BD_ENGINE_MAX_MODELS];
    gsl_rng *rng;
    uint32_t joins;
    uint32_t loads;         /* Staged from the weight store, under traffic.  */
    uint32_t cold_joins;    /* That needed a load, under traffic.  */
    uint32_t stolen_joins;  /* Joins out of a group that was open.  */
    uint32_t partial_opens; /* Openings without every member ready.  */
    char violation[256];
  };

  /* pool_init(): domains of domain_size instances, in data centre "a", which
     the keeper keeps.  Two models: "large" of four members and "small" of two.
   */
  void pool_init (struct pool *pool, uint32_t domains, uint32_t domain_size,
                  uint64_t seed);
  void pool_finish (struct pool *pool);

  /* pool_run(): lets the keeper work for a while.  */
  void pool_run (struct pool *pool, int64_t span_ms);

  /* pool_restart_controller(): another keeper that knows only the list.  */
  void pool_restart_controller (struct pool *pool);

  /* pool_lose_instance(): an instance goes dark; the list loses it later.  */
  void pool_lose_instance (struct pool *pool, uint32_t index);

  /* pool_add_instance(): a new instance without weights in a domain.  */
  void pool_add_instance (struct pool *pool, const char *domain);

  /* pool_restart_instance(): a lost instance starts again; its host has kept
     what was staged.  */
  void pool_restart_instance (struct pool *pool, uint32_t index);

  /* pool_count_open_groups(): groups of a model that are open and whole.  */
  uint32_t pool_count_open_groups (const struct pool *pool, const char *model);

  /* pool_find(): by id.  */
  struct pool_member *pool_find (struct pool *pool, const char *id);

#ifdef __cplusplus
}
#endif

#endif

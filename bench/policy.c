/* Simulates routing and admission under load: runs the decision code of the
   daemon against a queueing model of replicas.

   A replica runs up to 16 calls at a time.  A call first runs the prefill of
   its prompt, without the part that the replica has cached, and then generates
   its tokens.  Both are slower the more calls share the replica.  Six daemons
   route by load reports that are up to 500 ms old.  Every call starts with one
   of 40 long prefixes, drawn from a geometric distribution; the cache of a
   replica has space for 6 of them.  */

#include "admission/limits.h"
#include "admission/queue.h"
#include "routing/prefix.h"
#include "routing/routing.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REPLICAS = 15,
  SLOTS = 16,
  DAEMONS = 6,
  SHARE = SLOTS / DAEMONS,
  PREFIXES = 40,
  CACHED_PREFIXES = 6,
  STEP_MS = 5,
  REPORT_MS = 500,
  RUN_MS = 120000,
  WARMUP_MS = 20000,
  MAX_CALLS = 400000,
  ACCOUNTS = 10,
  DEADLINE_MS = 10000,
  PREFIX_PREFILL_MS = 400,
  SUFFIX_PREFILL_MS = 60,
  TOKENS_PER_CALL = 60,
  TOKEN_MS = 10
};

struct sim_call
{
  uint32_t prefix;
  uint32_t account;
  uint32_t daemon;
  int64_t arrived_ms;
  int64_t started_ms;
  double prefill_left_ms;
  double tokens_left;
  bool has_first_token;
  struct bd_prefix blocks;
  struct bd_queue_item queue_item;
};

struct replica
{
  struct sim_call *running[SLOTS];
  uint32_t count;
  uint32_t cache[CACHED_PREFIXES];
  uint32_t cache_next;
  uint32_t reported;
};

struct sim
{
  gsl_rng *rng;
  const struct bd_router *router;
  bool is_fair;
  struct replica replicas[REPLICAS];
  uint32_t in_flight[DAEMONS][REPLICAS];
  uint32_t own_at_report[DAEMONS][REPLICAS];
  uint32_t round_robin_next[DAEMONS];
  struct bd_queue queues[DAEMONS];
  struct sim_call *blocked_calls[DAEMONS]; /* Popped without a slot.  */
  struct bd_prefix_table tables[DAEMONS];
  struct sim_call *calls;
  uint32_t call_count;
  int64_t now_ms;
  double *first_token_ms;
  uint32_t first_token_count;
  uint32_t completed_in_time;
  uint32_t completed_by_account[ACCOUNTS];
  uint32_t offered_by_account[ACCOUNTS];
  uint32_t prefix_hits;
  uint32_t prefix_lookups;
  uint32_t shed_count;
};

static bool
has_cached (const struct replica *r, uint32_t prefix)
{
  for (uint32_t i = 0; i < CACHED_PREFIXES; i++)
    if (r->cache[i] == prefix + 1)
      return true;
  return false;
}

static void
start_call (struct sim *sim, struct sim_call *call, uint32_t index)
{
  struct replica *r = &sim->replicas[index];
  bool is_hit = has_cached (r, call->prefix);

  r->running[r->count++] = call;
  call->started_ms = sim->now_ms;
  call->prefill_left_ms = SUFFIX_PREFILL_MS + (is_hit ? 0 : PREFIX_PREFILL_MS);
  call->tokens_left = TOKENS_PER_CALL;
  if (!is_hit)
    {
      r->cache[r->cache_next] = call->prefix + 1;
      r->cache_next = (r->cache_next + 1) % CACHED_PREFIXES;
    }
  if (sim->now_ms >= WARMUP_MS)
    {
      sim->prefix_lookups++;
      sim->prefix_hits += is_hit;
    }
  bd_prefix_record (&sim->tables[call->daemon], &call->blocks, index,
                    sim->now_ms);
  sim->in_flight[call->daemon][index]++;
}

static int32_t
choose (struct sim *sim, struct sim_call *call)
{
  struct bd_candidate candidates[REPLICAS];
  struct bd_routing_costs costs
      = { .prefill_ms = PREFIX_PREFILL_MS + SUFFIX_PREFILL_MS, .step_ms = 25 };
  uint64_t replicas[REPLICAS];
  int32_t affinity_replicas[2];
  uint32_t d = call->daemon;
  int32_t chosen;

  for (uint32_t i = 0; i < REPLICAS; i++)
    {
      double cached_fraction = bd_prefix_cached_fraction (
          &sim->tables[d], &call->blocks, i, sim->now_ms);
      candidates[i]
          = (struct bd_candidate){ .own_in_flight = sim->in_flight[d][i],
                                   .reported = sim->replicas[i].reported,
                                   .own_at_report = sim->own_at_report[d][i],
                                   .capacity = SLOTS,
                                   .share = SHARE,
                                   .cached_fraction = cached_fraction,
                                   .slowness = 1 };
    }
  for (uint32_t i = 0; i < REPLICAS; i++)
    replicas[i] = i;
  bd_prefix_affinity_replicas (&call->blocks, replicas, REPLICAS,
                               affinity_replicas);
  bd_candidates_apply_affinity (candidates, affinity_replicas);
  chosen = sim->router->choose (candidates, REPLICAS, &costs, sim->rng,
                                &sim->round_robin_next[d]);
  /* The reports can be stale: a replica that is in fact full rejects the call,
     which then waits.  */
  return chosen >= 0 && sim->replicas[chosen].count < SLOTS ? chosen : -1;
}

/* Whether any replica has a free slot, as far as daemon d knows.  */
static bool
has_free_slot (const struct sim *sim, uint32_t d)
{
  for (uint32_t i = 0; i < REPLICAS; i++)
    {
      struct bd_candidate c = { .own_in_flight = sim->in_flight[d][i],
                                .reported = sim->replicas[i].reported,
                                .own_at_report = sim->own_at_report[d][i],
                                .capacity = SLOTS,
                                .share = SHARE };
      if (bd_candidate_has_capacity (&c))
        return true;
    }
  return false;
}

static void
dispatch_queue (struct sim *sim, uint32_t d)
{
  struct bd_queue_item *expired;

  while ((expired = bd_queue_pop_expired (&sim->queues[d], sim->now_ms))
         != NULL)
    sim->shed_count++;
  while (sim->blocked_calls[d] != NULL || sim->queues[d].count > 0)
    {
      struct sim_call *call = sim->blocked_calls[d];
      int32_t chosen;
      if (call == NULL)
        {
          if (!has_free_slot (sim, d))
            return;
          call = bd_queue_pop (&sim->queues[d])->owner;
        }
      chosen = choose (sim, call);
      sim->blocked_calls[d] = chosen < 0 ? call : NULL;
      if (chosen < 0)
        return;
      start_call (sim, call, (uint32_t)chosen);
    }
}

static void
add_arrival (struct sim *sim, uint32_t account)
{
  struct sim_call *call;
  struct bd_queue_item *evicted;
  char name[16];
  char prompt[16 * BD_PREFIX_BLOCK_BYTES];

  if (sim->call_count == MAX_CALLS)
    return;
  call = &sim->calls[sim->call_count++];
  memset (call, 0, sizeof *call);
  call->prefix = (uint32_t)gsl_ran_geometric (sim->rng, 0.08) % PREFIXES;
  call->account = account;
  call->daemon = (uint32_t)gsl_rng_uniform_int (sim->rng, DAEMONS);
  call->arrived_ms = sim->now_ms;
  memset (prompt, 'a' + (int)call->prefix % 26, sizeof prompt);
  prompt[0] = (char)call->prefix;
  bd_prefix_hash (&call->blocks, prompt, sizeof prompt);
  call->queue_item.owner = call;
  call->queue_item.bytes = 1;
  call->queue_item.deadline_ms = sim->now_ms + DEADLINE_MS;
  if (sim->now_ms >= WARMUP_MS)
    sim->offered_by_account[account]++;
  snprintf (name, sizeof name, "account-%u", sim->is_fair ? account : 0);
  if (bd_queue_push (&sim->queues[call->daemon], &call->queue_item, name, 1,
                     sim->now_ms, &evicted)
      != BD_OK)
    sim->shed_count++;
  if (evicted != NULL)
    sim->shed_count++;
}

static void
finish_call (struct sim *sim, struct replica *r, uint32_t slot)
{
  struct sim_call *call = r->running[slot];

  r->running[slot] = r->running[--r->count];
  sim->in_flight[call->daemon][r - sim->replicas]--;
  bd_queue_record_completion (&sim->queues[call->daemon],
                              sim->now_ms - call->started_ms, sim->now_ms);
  if (call->arrived_ms < WARMUP_MS
      || sim->now_ms - call->arrived_ms > DEADLINE_MS)
    return;
  sim->completed_in_time++;
  sim->completed_by_account[call->account]++;
}

static void
step_replica (struct sim *sim, struct replica *r)
{
  /* Each further call on the replica adds 6 % to the duration of a step.  */
  double speed = 1.0 / (1.0 + 0.06 * (r->count > 0 ? r->count - 1 : 0));

  for (uint32_t i = r->count; i-- > 0;)
    {
      struct sim_call *call = r->running[i];
      if (call->prefill_left_ms > 0)
        {
          call->prefill_left_ms -= STEP_MS * speed;
          continue;
        }
      if (!call->has_first_token)
        {
          call->has_first_token = true;
          if (call->arrived_ms >= WARMUP_MS)
            sim->first_token_ms[sim->first_token_count++]
                = (double)(sim->now_ms - call->arrived_ms);
        }
      call->tokens_left -= STEP_MS * speed / TOKEN_MS;
      if (call->tokens_left <= 0)
        finish_call (sim, r, i);
    }
}

static void
update_reports (struct sim *sim)
{
  for (uint32_t i = 0; i < REPLICAS; i++)
    {
      sim->replicas[i].reported = sim->replicas[i].count;
      for (uint32_t d = 0; d < DAEMONS; d++)
        sim->own_at_report[d][i] = sim->in_flight[d][i];
    }
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

struct summary
{
  double p50_ms;
  double p99_ms;
  double goodput_per_s;
  double hit_rate;
  /* Fraction of the calls of all accounts but account 0, which sends the
     flood, that complete in time.  */
  double others_completed_ratio;
  double jain_fairness;
};

/* Jain's fairness index of the completed fractions of the accounts: 1 when
   they are equal, 1 / ACCOUNTS when only one account is served.  */
static double
jain_index (const struct sim *sim)
{
  double sum = 0;
  double sum_squares = 0;

  for (uint32_t i = 0; i < ACCOUNTS; i++)
    {
      double completed_ratio = sim->offered_by_account[i] > 0
                                   ? (double)sim->completed_by_account[i]
                                         / sim->offered_by_account[i]
                                   : 1;
      sum += completed_ratio;
      sum_squares += completed_ratio * completed_ratio;
    }
  return sum * sum / (ACCOUNTS * sum_squares);
}

static struct summary
simulate (const struct bd_router *router, double calls_per_s,
          double flood_calls_per_s, bool is_fair)
{
  struct sim *sim = calloc (1, sizeof *sim);
  struct summary out;
  uint32_t completed = 0;
  uint32_t offered = 0;

  sim->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (sim->rng, 20261204);
  sim->router = router;
  sim->is_fair = is_fair;
  sim->calls = calloc (MAX_CALLS, sizeof *sim->calls);
  sim->first_token_ms = calloc (MAX_CALLS, sizeof *sim->first_token_ms);
  for (uint32_t d = 0; d < DAEMONS; d++)
    {
      bd_queue_init (&sim->queues[d], 200, 1 << 20, 0);
      bd_prefix_table_init (&sim->tables[d], 20000, 100000);
    }
  while (sim->now_ms < RUN_MS)
    {
      unsigned arrivals;
      sim->now_ms += STEP_MS;
      if (sim->now_ms % REPORT_MS == 0)
        update_reports (sim);
      arrivals = gsl_ran_poisson (sim->rng, calls_per_s * STEP_MS / 1000);
      for (unsigned i = 0; i < arrivals; i++)
        add_arrival (sim, (uint32_t)gsl_rng_uniform_int (sim->rng, ACCOUNTS));
      arrivals
          = gsl_ran_poisson (sim->rng, flood_calls_per_s * STEP_MS / 1000);
      for (unsigned i = 0; i < arrivals; i++)
        add_arrival (sim, 0);
      /* Rotates the order so that no daemon always dispatches first.  */
      for (uint32_t d = 0; d < DAEMONS; d++)
        dispatch_queue (sim,
                        (uint32_t)((d + sim->now_ms / STEP_MS) % DAEMONS));
      for (uint32_t i = 0; i < REPLICAS; i++)
        step_replica (sim, &sim->replicas[i]);
    }
  qsort (sim->first_token_ms, sim->first_token_count,
         sizeof *sim->first_token_ms, compare_doubles);
  for (uint32_t i = 1; i < ACCOUNTS; i++)
    {
      completed += sim->completed_by_account[i];
      offered += sim->offered_by_account[i];
    }
  out = (struct summary){
    .p50_ms = sim->first_token_ms[sim->first_token_count / 2],
    .p99_ms = sim->first_token_ms[sim->first_token_count * 99 / 100],
    .goodput_per_s = sim->completed_in_time * 1000.0 / (RUN_MS - WARMUP_MS),
    .hit_rate = (double)sim->prefix_hits / sim->prefix_lookups,
    .others_completed_ratio = (double)completed / offered,
    .jain_fairness = jain_index (sim)
  };
  for (uint32_t d = 0; d < DAEMONS; d++)
    {
      bd_queue_finish (&sim->queues[d]);
      bd_prefix_table_finish (&sim->tables[d]);
    }
  free (sim->calls);
  free (sim->first_token_ms);
  gsl_rng_free (sim->rng);
  free (sim);
  return out;
}

/* The arrival rate at which the simulated replicas saturate.  */
static const double capacity_calls_per_s = 128;

int
main (void)
{
  const struct bd_router *routers[]
      = { &bd_router_by_wait, &bd_router_random, &bd_router_round_robin,
          &bd_router_least_outstanding };
  static const double loads[] = { 0.5, 0.8, 1, 2, 4 };

  printf ("\nrouting, %d replicas, %d daemons, reports every %d ms\n",
          REPLICAS, DAEMONS, REPORT_MS);
  printf ("%-20s %6s %10s %10s %10s %8s\n", "router", "load", "p50 ms",
          "p99 ms", "goodput/s", "hits");
  for (size_t l = 0; l < sizeof loads / sizeof loads[0]; l++)
    for (size_t r = 0; r < sizeof routers / sizeof routers[0]; r++)
      {
        struct summary o
            = simulate (routers[r], loads[l] * capacity_calls_per_s, 0, true);
        printf ("%-20s %6.1f %10.0f %10.0f %10.1f %8.2f\n", routers[r]->name,
                loads[l], o.p50_ms, o.p99_ms, o.goodput_per_s, o.hit_rate);
      }
  printf ("\n0.5 times the capacity from all accounts in total, plus 4 times "
          "from one\n%-20s %24s %8s\n",
          "queue", "others' calls in time", "Jain");
  for (int fair = 1; fair >= 0; fair--)
    {
      struct summary alone
          = simulate (&bd_router_by_wait, 0.5 * capacity_calls_per_s, 0, fair);
      struct summary flooded
          = simulate (&bd_router_by_wait, 0.5 * capacity_calls_per_s,
                      4 * capacity_calls_per_s, fair);
      printf ("%-20s %11.3f, alone %5.3f %8.3f\n",
              fair ? "weighted fair" : "FIFO", flooded.others_completed_ratio,
              alone.others_completed_ratio, flooded.jain_fairness);
    }
  return 0;
}

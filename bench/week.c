/* Replays a random week of failures under several repair policies and compares
   their downtime with a lower bound.

   There are three data centres of 20 workers, each with two fabric domains of
   10 workers.  The failure rates are those of a fleet of 10,000 workers,
   scaled to 60.  Per day and 10,000 workers, 150 fail for hours, and 1,100 are
   restarted or replaced and return without weights within minutes.  Pauses of
   seconds are as frequent as restarts.  Once a week a whole domain of each
   data centre fails for ten minutes.

   The lower bound knows how long each outage lasts, but reacts to it only
   after it has begun.  A group that loses a member is down for the failure
   detection time plus a join, or until the member returns from a pause,
   whichever is shorter.  While the data centre has too few instances for four
   groups, the missing groups count as down.  */

#include "tests/fakes/sim.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  DATA_CENTRES = 3,
  INSTANCE_COUNT = 20,
  DOMAIN_SIZE = 10,
  MAX_EVENTS = 4096,
  IDLE_BEFORE_SKIP_MS = 90000,
  STEP_MS = 500,
  DEAD_AFTER_MS = 3000,
  JOIN_MS = 2000,
  LOAD_MS = 60000,
  ACCELERATORS = 8
};

static const int64_t week_ms = 7LL * 24 * 3600 * 1000;

enum kind
{
  RESTART_EMPTY, /* The instance dies and returns without weights.  */
  PAUSE,
  RECOVERY
};

struct event
{
  int64_t at_ms;
  int64_t outage_ms;
  uint32_t instance;
  enum kind kind;
};

struct week
{
  struct event events[MAX_EVENTS];
  uint32_t count;
};

struct result
{
  double downtime_s;
  double stranded_s;
  uint32_t writes;
  uint32_t restarts;
};

static void
add_outage (struct week *week, int64_t at_ms, uint32_t instance,
            enum kind kind, int64_t outage_ms)
{
  if (week->count + 2 > MAX_EVENTS)
    return;
  week->events[week->count++]
      = (struct event){ at_ms, outage_ms, instance, kind };
  week->events[week->count++]
      = (struct event){ at_ms + outage_ms, 0, instance, RECOVERY };
}

static int
compare_events (const void *a, const void *b)
{
  const struct event *left = a;
  const struct event *right = b;

  return left->at_ms < right->at_ms ? -1 : left->at_ms > right->at_ms;
}

static void
add_random_outages (struct week *week, gsl_rng *rng, double per_worker_day,
                    enum kind kind, double mean_outage_s)
{
  double mean = per_worker_day * 7 * INSTANCE_COUNT;
  unsigned count = gsl_ran_poisson (rng, mean);

  for (unsigned i = 0; i < count; i++)
    add_outage (week, (int64_t)(gsl_rng_uniform (rng) * (double)week_ms),
                (uint32_t)gsl_rng_uniform_int (rng, INSTANCE_COUNT), kind,
                (int64_t)(1000 * gsl_ran_exponential (rng, mean_outage_s))
                    + 1000);
}

static void
make_week (struct week *week, gsl_rng *rng)
{
  int64_t domain_failure_ms
      = (int64_t)(gsl_rng_uniform (rng) * (double)week_ms);
  uint32_t domain = (uint32_t)gsl_rng_uniform_int (rng, 2);

  week->count = 0;
  add_random_outages (week, rng, 150.0 / 10000, RESTART_EMPTY, 4 * 3600);
  add_random_outages (week, rng, 1100.0 / 10000, RESTART_EMPTY, 240);
  add_random_outages (week, rng, 1100.0 / 10000, PAUSE, 8);
  for (uint32_t i = 0; i < DOMAIN_SIZE; i++)
    add_outage (week, domain_failure_ms, domain * DOMAIN_SIZE + i,
                RESTART_EMPTY, 600000);
  qsort (week->events, week->count, sizeof *week->events, compare_events);
}

static void
set_up_sim (struct sim *sim, void *ctx, const struct bd_repair_policy *policy,
            double downtime_weight, double stranded_weight)
{
  struct bd_controller_limits limits = { .dead_after_ms = DEAD_AFTER_MS,
                                         .controller_bound_ms = 5000,
                                         .drain_ms = 2000,
                                         .loads_at_once = 8,
                                         .order_retry_ms = 1000,
                                         .load_ms = LOAD_MS,
                                         .join_ms = JOIN_MS,
                                         .downtime_weight = downtime_weight,
                                         .stranded_weight = stranded_weight };
  char name[BD_NAME_SIZE];

  sim_init (sim, ctx, 1);
  sim->step_ms = STEP_MS;
  sim->load_ms = LOAD_MS;
  sim->join_ms = JOIN_MS;
  for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
    {
      snprintf (name, sizeof name, "u%02u", i);
      sim_add_instance (sim, name, i < DOMAIN_SIZE ? "A" : "B", "p");
    }
  sim_add_service (sim, "main", "p", 4, 4, 10);
  sim_add_controller (sim, "k1", &limits, policy);
}

static void
apply_event (struct sim *sim, const struct event *event,
             uint32_t *outage_counts)
{
  struct sim_instance *instance = &sim->instances[event->instance];

  if (event->kind == RECOVERY)
    {
      if (outage_counts[event->instance] > 0
          && --outage_counts[event->instance] == 0)
        sim_revive_instance (instance);
      return;
    }
  outage_counts[event->instance]++;
  if (event->kind == PAUSE && instance->is_alive)
    instance->is_paused = true;
  else if (event->kind == RESTART_EMPTY)
    sim_kill_instance (instance);
}

/* Runs the simulation until at_ms and skips over idle time.  */
static void
run_until (struct sim *sim, int64_t at_ms)
{
  int64_t idle_ms = 0;

  while (sim->now_ms < at_ms)
    {
      if (sim_is_idle (sim) && idle_ms >= IDLE_BEFORE_SKIP_MS
          && at_ms - sim->now_ms > 2 * STEP_MS)
        {
          sim_skip_time (sim, at_ms - sim->now_ms - STEP_MS);
          continue;
        }
      idle_ms = sim_is_idle (sim) ? idle_ms + STEP_MS : 0;
      sim_run (sim, STEP_MS);
    }
}

static struct result
replay_week (const struct week *week, const struct bd_repair_policy *policy,
             double downtime_weight, double stranded_weight)
{
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);
  uint32_t outage_counts[INSTANCE_COUNT] = { 0 };
  struct result result;

  set_up_sim (sim, ctx, policy, downtime_weight, stranded_weight);
  sim_run (sim, 300000);
  sim->downtime_ms = 0;
  sim->stranded_ms = 0;
  for (uint32_t i = 0; i < week->count; i++)
    {
      run_until (sim, week->events[i].at_ms + 300000);
      apply_event (sim, &week->events[i], outage_counts);
    }
  run_until (sim, week_ms + 300000);
  if (sim->violation != NULL)
    printf ("VIOLATION: %s\n", sim->violation);
  result = (struct result){ .downtime_s = sim->downtime_ms / 1000,
                            .stranded_s = sim->stranded_ms / 1000,
                            .writes = sim->writes };
  sim_finish (sim);
  talloc_free (ctx);
  return result;
}

/* Computes the lower bound described at the top of the file.  Counts groups
   without assigning instances to them.  */
static struct result
lower_bound (const struct week *week)
{
  uint32_t outage_counts[INSTANCE_COUNT] = { 0 };
  uint32_t alive[2] = { DOMAIN_SIZE, DOMAIN_SIZE };
  uint32_t possible_groups = 4;
  int64_t last_ms = 0;
  struct result result = { 0 };

  for (uint32_t i = 0; i < week->count; i++)
    {
      const struct event *e = &week->events[i];
      uint32_t domain = e->instance / DOMAIN_SIZE;
      uint32_t groups_before = possible_groups;
      result.downtime_s
          += (4 - possible_groups) * (double)(e->at_ms - last_ms) / 1000;
      last_ms = e->at_ms;
      if (e->kind == RECOVERY)
        {
          if (outage_counts[e->instance] > 0
              && --outage_counts[e->instance] == 0)
            alive[domain]++;
        }
      else if (outage_counts[e->instance]++ == 0)
        {
          double min_outage_ms = DEAD_AFTER_MS + JOIN_MS;
          alive[domain]--;
          if (e->kind == PAUSE && e->outage_ms < min_outage_ms)
            min_outage_ms = (double)e->outage_ms;
          /* Four groups of four: 16 of the 20 instances are members.  */
          if (groups_before > 0)
            {
              result.downtime_s += 0.8 * min_outage_ms / 1000;
              result.stranded_s
                  += 0.8 * 3 * ACCELERATORS * min_outage_ms / 1000;
            }
        }
      possible_groups = alive[0] / 4 + alive[1] / 4;
      if (possible_groups > 4)
        possible_groups = 4;
    }
  result.downtime_s
      += (4 - possible_groups) * (double)(week_ms - last_ms) / 1000;
  return result;
}

static void
add_result (struct result *sum, struct result other)
{
  sum->downtime_s += other.downtime_s;
  sum->stranded_s += other.stranded_s;
  sum->writes += other.writes;
}

static void
print_row (const char *name, struct result r, struct result bound)
{
  printf ("%-22s %12.0f %8.2f %16.0f %8.2f %8u\n", name, r.downtime_s,
          r.downtime_s / bound.downtime_s, r.stranded_s,
          r.stranded_s / bound.stranded_s, r.writes);
}

int
main (int argc, char **argv)
{
  unsigned long seed = argc > 1 ? strtoul (argv[1], NULL, 10) : 20261204;
  const struct bd_repair_policy *policies[]
      = { &bd_repair_by_cost, &bd_repair_by_waiting,
          &bd_repair_by_dissolving };
  struct result sums[5] = { 0 };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  struct week *week = malloc (sizeof *week);
  uint32_t events = 0;

  gsl_rng_set (rng, seed);
  for (int c = 0; c < DATA_CENTRES; c++)
    {
      make_week (week, rng);
      events += week->count / 2;
      add_result (&sums[0], lower_bound (week));
      add_result (&sums[1], replay_week (week, policies[0], 3, 1));
      add_result (&sums[2], replay_week (week, policies[0], 1, 3));
      add_result (&sums[3], replay_week (week, policies[1], 1, 1));
      add_result (&sums[4], replay_week (week, policies[2], 1, 1));
    }
  printf ("a week of failures, 3 data centres of 20 workers, seed %lu, %u "
          "losses and pauses\n",
          seed, events);
  printf ("%-22s %12s %8s %16s %8s %8s\n", "policy", "downtime s", "/bound",
          "stranded acc. s", "/bound", "writes");
  print_row ("bound", sums[0], sums[0]);
  print_row ("cost, Kandanda 3:1", sums[1], sums[0]);
  print_row ("cost, Tecelagem 1:3", sums[2], sums[0]);
  print_row ("wait for the member", sums[3], sums[0]);
  print_row ("always dissolve", sums[4], sums[0]);
  gsl_rng_free (rng);
  free (week);
  return 0;
}

/* A week of failures in one data centre, replayed under several policies.

   60 workers in three data centres of 20, two fabric domains of 10 each; the
   failures are the rates of a fleet of 10,000 workers scaled to 60: of 10,000
   on a day 150 fail and stay away for hours, 1,100 are restarted or replaced
   and come back empty within minutes; pauses of seconds come as often as
   restarts; a domain goes dark once a week for minutes.

   The bound knows the future but acts only on what has happened: a group that
   loses a member is out for the silence that tells of the loss and a join, or
   until the member is back whole, whichever is less, as long as its data
   centre has enough instances; beyond that it is short of instances.  */

#include "tests/fakes/world.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  CENTRES = 3,
  UNITS = 20,
  DOMAIN_UNITS = 10,
  MAX_EVENTS = 4096,
  QUIET_BEFORE_SKIP_MS = 90000,
  STEP_MS = 500,
  DEAD_AFTER_MS = 3000,
  JOIN_MS = 2000,
  LOAD_MS = 60000,
  ACCELERATORS = 8
};

static const int64_t week_ms = 7LL * 24 * 3600 * 1000;

enum kind
{
  GO_EMPTY, /* Dies and comes back without weights.  */
  PAUSE,
  BACK
};

struct event
{
  int64_t at_ms;
  int64_t away_ms;
  uint32_t unit;
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
add (struct week *week, int64_t at_ms, uint32_t unit, enum kind kind,
     int64_t away_ms)
{
  if (week->count + 2 > MAX_EVENTS)
    return;
  week->events[week->count++] = (struct event){ at_ms, away_ms, unit, kind };
  week->events[week->count++]
      = (struct event){ at_ms + away_ms, 0, unit, BACK };
}

static int
compare_events (const void *a, const void *b)
{
  const struct event *left = a;
  const struct event *right = b;

  return left->at_ms < right->at_ms ? -1 : left->at_ms > right->at_ms;
}

static void
add_random (struct week *week, gsl_rng *rng, double per_worker_day,
            enum kind kind, double away_s)
{
  double mean = per_worker_day * 7 * UNITS;
  unsigned count = gsl_ran_poisson (rng, mean);

  for (unsigned i = 0; i < count; i++)
    add (week, (int64_t)(gsl_rng_uniform (rng) * (double)week_ms),
         (uint32_t)gsl_rng_uniform_int (rng, UNITS), kind,
         (int64_t)(1000 * gsl_ran_exponential (rng, away_s)) + 1000);
}

static void
make_week (struct week *week, gsl_rng *rng)
{
  int64_t dark_ms = (int64_t)(gsl_rng_uniform (rng) * (double)week_ms);
  uint32_t domain = (uint32_t)gsl_rng_uniform_int (rng, 2);

  week->count = 0;
  add_random (week, rng, 150.0 / 10000, GO_EMPTY, 4 * 3600);
  add_random (week, rng, 1100.0 / 10000, GO_EMPTY, 240);
  add_random (week, rng, 1100.0 / 10000, PAUSE, 8);
  for (uint32_t i = 0; i < DOMAIN_UNITS; i++)
    add (week, dark_ms, domain * DOMAIN_UNITS + i, GO_EMPTY, 600000);
  qsort (week->events, week->count, sizeof *week->events, compare_events);
}

static void
set_up (struct sim *sim, void *ctx, const struct bd_repair_policy *policy,
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
  for (uint32_t i = 0; i < UNITS; i++)
    {
      snprintf (name, sizeof name, "u%02u", i);
      sim_add_instance (sim, name, i < DOMAIN_UNITS ? "A" : "B", "p");
    }
  sim_add_service (sim, "main", "p", 4, 4, 10);
  sim_add_controller (sim, "k1", &limits, policy);
}

static void
apply (struct sim *sim, const struct event *event, uint32_t *away)
{
  struct sim_instance *unit = &sim->instances[event->unit];

  if (event->kind == BACK)
    {
      if (away[event->unit] > 0 && --away[event->unit] == 0)
        sim_revive_instance (unit);
      return;
    }
  away[event->unit]++;
  if (event->kind == PAUSE && unit->is_alive)
    unit->is_paused = true;
  else if (event->kind == GO_EMPTY)
    sim_kill_instance (unit);
}

/* Runs until at_ms; while nothing happens, time is skipped.  */
static void
run_until (struct sim *sim, int64_t at_ms)
{
  int64_t quiet_ms = 0;

  while (sim->now_ms < at_ms)
    {
      if (sim_is_idle (sim) && quiet_ms >= QUIET_BEFORE_SKIP_MS
          && at_ms - sim->now_ms > 2 * STEP_MS)
        {
          sim_skip_time (sim, at_ms - sim->now_ms - STEP_MS);
          continue;
        }
      quiet_ms = sim_is_idle (sim) ? quiet_ms + STEP_MS : 0;
      sim_run (sim, STEP_MS);
    }
}

static struct result
replay (const struct week *week, const struct bd_repair_policy *policy,
        double downtime_weight, double stranded_weight)
{
  void *ctx = talloc_new (NULL);
  struct sim *sim = talloc (ctx, struct sim);
  uint32_t away[UNITS] = { 0 };
  struct result result;

  set_up (sim, ctx, policy, downtime_weight, stranded_weight);
  sim_run (sim, 300000);
  sim->downtime_ms = 0;
  sim->stranded_ms = 0;
  for (uint32_t i = 0; i < week->count; i++)
    {
      run_until (sim, week->events[i].at_ms + 300000);
      apply (sim, &week->events[i], away);
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

/* The bound: see the head of the file.  Groups are counted, not placed.  */
static struct result
bound (const struct week *week)
{
  uint32_t away[UNITS] = { 0 };
  uint32_t alive[2] = { DOMAIN_UNITS, DOMAIN_UNITS };
  uint32_t possible = 4;
  int64_t last_ms = 0;
  struct result result = { 0 };

  for (uint32_t i = 0; i < week->count; i++)
    {
      const struct event *e = &week->events[i];
      uint32_t domain = e->unit / DOMAIN_UNITS;
      uint32_t before = possible;
      result.downtime_s
          += (4 - possible) * (double)(e->at_ms - last_ms) / 1000;
      last_ms = e->at_ms;
      if (e->kind == BACK)
        {
          if (away[e->unit] > 0 && --away[e->unit] == 0)
            alive[domain]++;
        }
      else if (away[e->unit]++ == 0)
        {
          double least_ms = DEAD_AFTER_MS + JOIN_MS;
          alive[domain]--;
          if (e->kind == PAUSE && e->away_ms < least_ms)
            least_ms = (double)e->away_ms;
          /* Four in five instances are members.  */
          if (before > 0)
            {
              result.downtime_s += 0.8 * least_ms / 1000;
              result.stranded_s += 0.8 * 3 * ACCELERATORS * least_ms / 1000;
            }
        }
      possible = alive[0] / 4 + alive[1] / 4;
      if (possible > 4)
        possible = 4;
    }
  result.downtime_s += (4 - possible) * (double)(week_ms - last_ms) / 1000;
  return result;
}

static void
add_result (struct result *sum, struct result more)
{
  sum->downtime_s += more.downtime_s;
  sum->stranded_s += more.stranded_s;
  sum->writes += more.writes;
}

static void
print (const char *name, struct result r, struct result least)
{
  printf ("%-22s %12.0f %8.2f %16.0f %8.2f %8u\n", name, r.downtime_s,
          r.downtime_s / least.downtime_s, r.stranded_s,
          r.stranded_s / least.stranded_s, r.writes);
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
  for (int c = 0; c < CENTRES; c++)
    {
      make_week (week, rng);
      events += week->count / 2;
      add_result (&sums[0], bound (week));
      add_result (&sums[1], replay (week, policies[0], 3, 1));
      add_result (&sums[2], replay (week, policies[0], 1, 3));
      add_result (&sums[3], replay (week, policies[1], 1, 1));
      add_result (&sums[4], replay (week, policies[2], 1, 1));
    }
  printf ("a week of failures, 3 data centres of 20 workers, seed %lu, %u "
          "losses and pauses\n",
          seed, events);
  printf ("%-22s %12s %8s %16s %8s %8s\n", "policy", "downtime s", "/bound",
          "stranded acc. s", "/bound", "writes");
  print ("bound", sums[0], sums[0]);
  print ("cost, Kandanda 3:1", sums[1], sums[0]);
  print ("cost, Tecelagem 1:3", sums[2], sums[0]);
  print ("wait for the member", sums[3], sums[0]);
  print ("always dissolve", sums[4], sums[0]);
  gsl_rng_free (rng);
  free (week);
  return 0;
}

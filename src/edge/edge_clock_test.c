/* Guards against LOST: the daemon aborts, and with it all of its requests,
   because its clock moves on between two steps that belong together, for
   example while its process is stopped.

   Each seed runs in a process of its own, so that an abort is one failure.  */

#include "base/crash.h"
#include "edge/edge_internal.h"
#include "platform/platform.h"
#include "tests/fakes/site.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  SEEDS = 24,
  AT_ONCE = 6,
  READY_MS = 15000,
  ROUNDS = 4,
  CALLS = 8,
  ROUND_MS = 400,
  /* On average, the clock jumps at one of so many of its reads.  */
  READS_PER_JUMP = 60,
  MAX_JUMP_MS = 900,
  /* Of the far jumps: one of so many is that far, and the calendar's go both
     ways.  */
  JUMPS_PER_FAR_JUMP = 8,
  MAX_FAR_JUMP_MS = 7200 * 1000,
  STOP_MS = 15000,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000
};

static struct site site;
static struct bd_clock real_clock;
static gsl_rng *rng;
static int64_t ahead_ms;
static int64_t calendar_ahead_ms;
static bool has_far_jumps;

static struct timespec
add_ms (struct timespec time, int64_t ms)
{
  int64_t ns = time.tv_nsec + ms % MS_PER_S * NS_PER_MS;

  time.tv_sec += ms / MS_PER_S + ns / (MS_PER_S * (int64_t)NS_PER_MS);
  time.tv_nsec = ns % (MS_PER_S * (int64_t)NS_PER_MS);
  return time;
}

static int64_t
draw_jump_ms (void)
{
  bool is_far
      = has_far_jumps && gsl_rng_uniform_int (rng, JUMPS_PER_FAR_JUMP) == 0;

  return (int64_t)gsl_rng_uniform_int (rng,
                                       is_far ? MAX_FAR_JUMP_MS : MAX_JUMP_MS);
}

static struct timespec
read_monotonic (void *ctx)
{
  (void)ctx;
  if (gsl_rng_uniform_int (rng, READS_PER_JUMP) == 0)
    ahead_ms += draw_jump_ms ();
  return add_ms (real_clock.ops->monotonic (real_clock.ctx), ahead_ms);
}

static struct timespec
read_calendar (void *ctx)
{
  struct timespec time = real_clock.ops->calendar (real_clock.ctx);

  (void)ctx;
  if (!has_far_jumps)
    return time;
  calendar_ahead_ms += draw_jump_ms () - draw_jump_ms ();
  return add_ms (time, calendar_ahead_ms);
}

static const struct bd_clock_ops jumping_clock
    = { read_monotonic, read_calendar };

static void
draw_modes (void)
{
  static const enum worker_mode modes[]
      = { WORKER_HEALTHY,      WORKER_STALLING,  WORKER_LATE,
          WORKER_UNRESPONSIVE, WORKER_SLOW,      WORKER_PAUSING,
          WORKER_FAILING,      WORKER_RESETTING, WORKER_FULL };

  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode
        = modes[gsl_rng_uniform_int (rng, sizeof modes / sizeof modes[0])];
}

static void
run_round (void)
{
  static const char *const deadlines[] = { "300", "800", "1500", "4000" };

  draw_modes ();
  for (uint32_t i = 0; i < CALLS; i++)
    {
      site.deadline_ms = deadlines[gsl_rng_uniform_int (rng, 4)];
      site_start_call (&site, "POST", "/stream/x", "k1", "m");
      site_start_call (&site, "GET", "/safe/x", "k1", NULL);
      site_start_call (&site, "POST", "/unsafe/x", "k1", NULL);
    }
  /* The clock runs on as before between two series of jumps, so that groups
     and keys count as known again.  */
  site.edge->clock.ops = &jumping_clock;
  site_wait (&site, ROUND_MS);
}

static bool
is_done (struct site *s)
{
  return bd_edge_is_done (s->edge);
}

/* The settings are read again between two rounds, and the daemon stops with
   calls under way.  Returns the exit code of the process.  */
static int
run_far_rounds (void)
{
  struct bd_edge_settings settings = site.settings;

  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      run_round ();
      bd_edge_reload (site.edge, &settings);
    }
  bd_edge_stop (site.edge);
  run_round ();
  return site_run (&site, is_done, STOP_MS) ? 0 : 3;
}

/* Returns the exit code of the process.  */
static int
run_seed (unsigned long seed)
{
  bd_crash_init ("edge_clock_test");
  rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (rng, seed);
  site_start (&site, 3, 6);
  site.call_timeout_ms = 5000;
  if (!site_run (&site, site_has_groups, READY_MS))
    return 2;
  real_clock = site.edge->clock;
  if (has_far_jumps)
    return run_far_rounds ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    run_round ();
  return 0;
}

static uint32_t
reap (void)
{
  int status = 0;
  pid_t child = wait (&status);
  bool is_sound = child > 0 && WIFEXITED (status) && WEXITSTATUS (status) == 0;

  if (!is_sound)
    printf ("\n  process %d: %s %d\n", (int)child,
            WIFSIGNALED (status) ? "signal" : "exit code",
            WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
  return is_sound ? 0 : 1;
}

static void
run_seeds (void)
{
  const char *first = getenv ("FIRST_SEED");
  unsigned long seed = first != NULL ? strtoul (first, NULL, 10) : 1;
  uint32_t failures = 0;
  uint32_t running = 0;

  for (uint32_t i = 0; i < SEEDS; i++)
    {
      if (running == AT_ONCE)
        failures += reap ();
      else
        running++;
      fflush (NULL);
      if (fork () == 0)
        {
          printf ("\n  process %d: seed %lu", (int)getpid (), seed + i);
          fflush (NULL);
          _exit (run_seed (seed + i));
        }
    }
  for (; running > 0; running--)
    failures += reap ();
  CU_ASSERT_EQUAL (failures, 0);
}

static void
test_clock_jumps (void)
{
  has_far_jumps = false;
  run_seeds ();
}

static void
test_clocks_jump_far (void)
{
  has_far_jumps = true;
  run_seeds ();
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "the clock jumps", test_clock_jumps },
    { "the clocks jump far, also around reloads and the stop",
      test_clocks_jump_far },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_clock", tests);
}

/* Plays load on one limited endpoint from fleets of several sizes, and checks
   what it gets in each window.  */

#include "pacing/pacing.h"
#include "tests/unit.h"

#include <gsl/gsl_rng.h>
#include <string.h>

enum
{
  MAX_DAEMONS = 300,
  STEP_MS = 10,
  DAY_MS = 60000,
  STEPS = DAY_MS / STEP_MS,
  /* The users count from this time after the limit was first named.  */
  CONTACT_MS = 3000,
  WINDOW_MS = 4000,
  WINDOW_SLACK = 5,
  NEWS_MAX_MS = 400,
  MS_PER_S = 1000
};

static const double max_factor = 1.5;
static const double min_used = 0.8;
static const uint64_t endpoint = 77;

/* One daemon of the fleet that is played.  */
struct daemon
{
  uint64_t hash;
  struct bd_pacing pacing;
  int64_t learns_ms; /* When the news of the limit arrive.  */
  int64_t restarts_ms;
  bool is_live;
};

static struct daemon daemons[MAX_DAEMONS];
static uint32_t daemon_count;
static uint32_t arrivals[STEPS];
static gsl_rng *rng;

static void
start_fleet (uint32_t count)
{
  gsl_rng_set (rng, 20261204 + count);
  memset (daemons, 0, sizeof daemons);
  memset (arrivals, 0, sizeof arrivals);
  daemon_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      daemons[i].hash = gsl_rng_get (rng) * UINT64_C (0x100000001);
      daemons[i].learns_ms
          = (int64_t)gsl_rng_uniform_int (rng, NEWS_MAX_MS) + 1;
      daemons[i].restarts_ms = -1;
      daemons[i].is_live = true;
    }
}

/* Sets the shares by the daemons that are live.  Daemons with an odd index
   learn late_ms later which these are.  */
static void
update_shares (double limit_per_s, int64_t now_ms, bool is_odd)
{
  uint64_t live[MAX_DAEMONS];
  uint32_t count = 0;

  for (uint32_t i = 0; i < daemon_count; i++)
    if (daemons[i].is_live)
      live[count++] = daemons[i].hash;
  for (uint32_t i = is_odd; i < daemon_count; i += 2)
    if (daemons[i].pacing.limit_per_s > 0)
      bd_pacing_set_share (&daemons[i].pacing,
                           bd_pacing_share (limit_per_s, endpoint,
                                            daemons[i].hash, live, count),
                           now_ms);
}

/* Plays a day on which demand_per_s requests arrive at each daemon, all
   restarted ones included, and the endpoint names its limit from 0 ms on.  */
static void
play (double limit_per_s, double demand_per_s, int64_t late_ms)
{
  for (uint32_t step = 0; step < STEPS; step++)
    {
      int64_t now = (int64_t)step * STEP_MS;

      for (uint32_t i = 0; i < daemon_count; i++)
        {
          struct daemon *daemon = &daemons[i];

          if (daemon->restarts_ms == now)
            {
              daemon->is_live = false;
              daemon->pacing = (struct bd_pacing){ 0 };
              daemon->learns_ms = now + 3 * MS_PER_S;
            }
          if (daemon->learns_ms == now)
            daemon->is_live = true;
          if (now >= daemon->learns_ms && daemon->pacing.limit_per_s == 0)
            bd_pacing_observe (&daemon->pacing, limit_per_s, now + 1);
        }
      if (step % 10 == 0)
        update_shares (limit_per_s, now, false);
      if (step % 10 == late_ms / STEP_MS % 10)
        update_shares (limit_per_s, now, true);
      for (uint32_t i = 0; i < daemon_count; i++)
        if (daemons[i].is_live
            && gsl_rng_uniform (rng) < demand_per_s * STEP_MS / MS_PER_S
            && now >= daemons[i].learns_ms
            && bd_pacing_has_permit (&daemons[i].pacing, now))
          {
            bd_pacing_take (&daemons[i].pacing, now);
            arrivals[step]++;
          }
    }
}

static void
check_windows (double limit_per_s, double min_part)
{
  uint32_t most = 0;
  uint32_t all = 0;
  uint32_t steps = WINDOW_MS / STEP_MS;

  for (uint32_t first = CONTACT_MS / STEP_MS; first + steps <= STEPS; first++)
    {
      uint32_t sum = 0;

      for (uint32_t i = 0; i < steps; i++)
        sum += arrivals[first + i];
      if (sum > most)
        most = sum;
    }
  for (uint32_t i = 0; i < STEPS; i++)
    all += arrivals[i];
  CU_ASSERT_TRUE (
      most <= (uint32_t)(max_factor * limit_per_s * WINDOW_MS / MS_PER_S)
                  + WINDOW_SLACK);
  CU_ASSERT_TRUE (all >= min_part * limit_per_s * DAY_MS / MS_PER_S);
}

static void
test_limit_is_kept_and_used (void)
{
  static const uint32_t sizes[] = { 1, 2, 3, 6, 85, 300 };
  static const double limits[] = { 0.4, 1.7, 5.2, 40 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    for (size_t l = 0; l < sizeof limits / sizeof limits[0]; l++)
      {
        start_fleet (sizes[s]);
        play (limits[l], 60, 0);
        check_windows (limits[l], min_used);
      }
}

/* Permits that were saved up while there was no demand.  */
static void
test_low_demand_keeps_the_limit (void)
{
  static const uint32_t sizes[] = { 6, 85, 300 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      start_fleet (sizes[s]);
      play (1.7, 0.2, 0);
      check_windows (1.7, 0);
    }
}

/* Daemons are stopped and started one after another, and the others disagree
   for a while about who is there.  A starting daemon knows no limit until a
   peer tells it.  */
static void
test_restarts_keep_the_limit (void)
{
  static const uint32_t sizes[] = { 6, 85, 300 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    for (int64_t late_ms = 0; late_ms < 100; late_ms += 30)
      {
        start_fleet (sizes[s]);
        for (uint32_t i = 0; i < daemon_count && i < 12; i++)
          daemons[i].restarts_ms = 8000 + 4000 * (int64_t)i;
        play (2.8, 30, late_ms);
        check_windows (2.8, min_used);
      }
}

/* News arrive in any order, late and more than once; the newest counts.  */
static void
test_newest_observation_counts (void)
{
  struct bd_pacing pacing = { 0 };

  CU_ASSERT_FALSE (bd_pacing_observe (&pacing, 0, 50));
  CU_ASSERT_TRUE (bd_pacing_observe (&pacing, 2, 100));
  CU_ASSERT_FALSE (bd_pacing_observe (&pacing, 2, 150));
  CU_ASSERT_FALSE (bd_pacing_observe (&pacing, 0, 120));
  CU_ASSERT_FALSE (bd_pacing_observe (&pacing, 3, 150));
  CU_ASSERT_DOUBLE_EQUAL (pacing.limit_per_s, 2, 1e-9);
  CU_ASSERT_TRUE (bd_pacing_observe (&pacing, 0, 200));
  CU_ASSERT_TRUE (bd_pacing_has_permit (&pacing, 200));
  CU_ASSERT_FALSE (bd_pacing_observe (&pacing, 2, 180));
  CU_ASSERT_TRUE (bd_pacing_observe (&pacing, 3, 210));
}

/* A limit that is known and whose share is not set yet allows nothing.  */
static void
test_no_share_no_permit (void)
{
  struct bd_pacing pacing = { 0 };

  CU_ASSERT_TRUE (bd_pacing_has_permit (&pacing, 1000));
  bd_pacing_observe (&pacing, 2, 1000);
  CU_ASSERT_FALSE (bd_pacing_has_permit (&pacing, 60000));
  bd_pacing_set_share (&pacing, 1, 60000);
  CU_ASSERT_FALSE (bd_pacing_has_permit (&pacing, 60500));
  CU_ASSERT_TRUE (bd_pacing_has_permit (&pacing, 61000));
  bd_pacing_take (&pacing, 61000);
  CU_ASSERT_FALSE (bd_pacing_has_permit (&pacing, 61500));
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "limit is kept and used", test_limit_is_kept_and_used },
          { "low demand keeps the limit", test_low_demand_keeps_the_limit },
          { "restarts keep the limit", test_restarts_keep_the_limit },
          { "newest observation counts", test_newest_observation_counts },
          { "no share, no permit", test_no_share_no_permit } };
  int code;

  rng = gsl_rng_alloc (gsl_rng_mt19937);
  code = UNIT_RUN ("pacing", tests);
  gsl_rng_free (rng);
  return code;
}

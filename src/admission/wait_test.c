/* Plays the load of a heavy hour on the wait estimate: callers ask for twice
   what the slots carry, with bursts, and one daemon of several queues what it
   cannot send.  Compared with refusing only after the longest wait, as many
   callers are served, and the refused ones know it far sooner.  */

#include "admission/wait.h"
#include "tests/unit.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <string.h>

enum
{
  SLOTS = 100,
  DAEMONS = 5,
  OWN_SLOTS = SLOTS / DAEMONS,
  RUN_MS = 1000,
  MAX_WAIT_MS = 1800,
  PLAYED_MS = 60000,
  MAX_WAITING = 4096
};

struct outcome
{
  uint32_t served;
  uint32_t refused;
  double refused_after_ms; /* Sum.  */
};

/* Plays PLAYED_MS in steps of 1 ms.  is_estimated: whether the estimate
   decides, too.  */
static struct outcome
play (bool is_estimated, double load, unsigned long seed)
{
  const struct bd_wait_capacity capacity
      = { .slots = SLOTS, .daemon_count = DAEMONS, .run_ms = RUN_MS };
  static int64_t waiting[MAX_WAITING]; /* Arrival times, in order.  */
  int64_t busy_until[OWN_SLOTS] = { 0 };
  uint32_t count = 0;
  struct outcome out = { 0 };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);

  gsl_rng_set (rng, seed);
  for (int64_t now_ms = 0; now_ms < PLAYED_MS; now_ms++)
    {
      /* Four seconds of load, one second with half of it.  */
      double rate = load * (now_ms % 5000 < 4000 ? 1.125 : 0.5);
      uint32_t arrivals = gsl_ran_poisson (rng, rate * OWN_SLOTS / RUN_MS);
      uint32_t kept = 0;

      for (uint32_t i = 0; i < arrivals && count < MAX_WAITING; i++)
        waiting[count++] = now_ms;
      for (uint32_t i = 0; i < count; i++)
        {
          int64_t waited_ms = now_ms - waiting[i];
          uint32_t slot = 0;

          while (slot < OWN_SLOTS && busy_until[slot] > now_ms)
            slot++;
          if (waited_ms >= MAX_WAIT_MS
              || (is_estimated && slot == OWN_SLOTS
                  && bd_wait_is_hopeless (
                      waited_ms, bd_wait_ms (&capacity, kept), MAX_WAIT_MS)))
            {
              out.refused++;
              out.refused_after_ms += (double)waited_ms;
            }
          else if (slot < OWN_SLOTS)
            {
              busy_until[slot]
                  = now_ms + (int64_t)gsl_ran_exponential (rng, RUN_MS);
              out.served++;
            }
          else
            waiting[kept++] = waiting[i];
        }
      count = kept;
    }
  gsl_rng_free (rng);
  return out;
}

static void
test_heavy_hour (void)
{
  for (unsigned long seed = 1; seed <= 5; seed++)
    {
      struct outcome before = play (false, 2.0, seed);
      struct outcome after = play (true, 2.0, seed);

      CU_ASSERT_TRUE (after.served >= 0.97 * before.served);
      CU_ASSERT_TRUE (after.refused > 0 && before.refused > 0);
      /* Within an eighth of the longest wait on average.  */
      CU_ASSERT_TRUE (after.refused_after_ms / after.refused
                      < MAX_WAIT_MS / 8.0);
      CU_ASSERT_TRUE (before.refused_after_ms / before.refused
                      > MAX_WAIT_MS * 0.9);
    }
}

/* Below capacity nobody is refused for the estimate alone.  */
static void
test_calm_hour (void)
{
  for (unsigned long seed = 1; seed <= 5; seed++)
    CU_ASSERT_EQUAL (play (true, 0.7, seed).refused,
                     play (false, 0.7, seed).refused);
}

/* Without slots or a measured time there is no estimate, and the request
   waits.  */
static void
test_unknown (void)
{
  struct bd_wait_capacity capacity
      = { .slots = 0, .daemon_count = 6, .run_ms = 900 };

  CU_ASSERT_EQUAL (bd_wait_ms (&capacity, 10), 0);
  capacity.slots = 60;
  CU_ASSERT_EQUAL (bd_wait_ms (&capacity, 9), 900);
  capacity.run_ms = 0;
  CU_ASSERT_EQUAL (bd_wait_ms (&capacity, 9), 0);
  CU_ASSERT_FALSE (bd_wait_is_hopeless (1700, 0, 1800));
  CU_ASSERT_FALSE (bd_wait_is_hopeless (1000, 600, 1800));
  CU_ASSERT_TRUE (bd_wait_is_hopeless (1000, 640, 1800));
}

int
main (void)
{
  static const struct unit_test tests[] = { { "heavy hour", test_heavy_hour },
                                            { "calm hour", test_calm_hour },
                                            { "unknown", test_unknown } };

  return UNIT_RUN ("wait", tests);
}

/* Checks how many workers the edge daemon lets a request crash.  The users'
   platform is faked, in one process with the daemon.  */

#include "tests/fakes/site.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <talloc.h>

enum
{
  PLAIN_WORKERS = 6,
  /* The users allow three crashes, and three more requests after them.  */
  MAX_CRASHES = 3,
  REPEATS = 8,
  MAX_WARM_CALLS = 100
};

static struct site site;

static void
set_modes (enum worker_mode mode)
{
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = mode;
}

static uint32_t
request_count (void)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < site.worker_count; i++)
    sum += site.workers[i].request_count;
  return sum;
}

static bool
is_served (void)
{
  struct site_call *call = site_call (&site, "GET", "/safe/x", "k1", NULL);
  bool is_success = call->status == 200;

  talloc_free (call);
  return is_success;
}

/* Lets each worker respond once, so that the daemon has a kept connection to
   it.  A call may not get to the one that is not full, as its attempts are
   limited.  */
static void
use_every_worker (void)
{
  for (uint32_t i = 0; i < site.worker_count; i++)
    {
      uint32_t calls = 0;

      set_modes (WORKER_FULL);
      site.workers[i].mode = WORKER_HEALTHY;
      while (!is_served () && calls < MAX_WARM_CALLS)
        calls++;
      CU_ASSERT_TRUE (calls < MAX_WARM_CALLS);
    }
}

static void
test_request_crashes_workers_on_kept_connections (void)
{
  uint32_t before;

  site_start (&site, PLAIN_WORKERS, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  use_every_worker ();
  before = request_count ();
  set_modes (WORKER_CRASHING);
  for (uint32_t i = 0; i < REPEATS; i++)
    talloc_free (site_call (&site, "GET", "/safe/crash", "k1", NULL));
  CU_ASSERT_TRUE (request_count () - before <= MAX_CRASHES);
  site_finish (&site);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "request crashes workers on kept connections",
      test_request_crashes_workers_on_kept_connections },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_crashes", tests);
}

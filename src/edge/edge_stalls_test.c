/* Checks that every caller gets a whole response when a sound endpoint falls
   silent for a while beside stalls of the daemon's own event loop and a change
   of its configuration.  */

#include "edge/edge_internal.h"
#include "tests/fakes/site.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <string.h>
#include <talloc.h>

enum
{
  READY_MS = 10000,
  PLAIN_WORKERS = 2,
  POOL_WORKERS = 4,
  GROUPS = POOL_WORKERS / 2,
  STREAMS = 4,
  SAFE_CALLS = 2,
  UNSAFE_CALLS = 2,
  ALL_CALLS = STREAMS + SAFE_CALLS + UNSAFE_CALLS,
  STREAM_EVENTS = 12,
  /* Until all requests have been sent, and streams are about to pause.  */
  BEGUN_MS = 100,
  /* Of the plain routes: safe requests stall within the pause.  */
  TIMEOUT_MS = 2600,
  SHORT_TIMEOUT_MS = 500,
  SHORT_IDLE_MS = 500,
  SAFE_ROUTE = 0,
  UNSAFE_ROUTE = 1,
  STREAM_ROUTE = 2,
  ROUTES = 3
};

/* Stalls of the event loop: count of them, each of stall_ms and interval_ms
   after the one before; and how long the endpoints are silent.  */
struct stalls
{
  uint32_t count;
  uint32_t stall_ms;
  uint32_t interval_ms;
  uint32_t pause_ms;
};

static const struct stalls patterns[] = {
  { 12, 60, 40, 1000 },  { 8, 60, 100, 1300 },  { 1, 150, 900, 1000 },
  { 5, 150, 100, 1300 }, { 1, 400, 700, 1000 }, { 3, 400, 100, 1300 },
};

static struct site site;
static uint32_t unsafe_runs;

static void
count_unsafe (struct site_worker *worker, const char *path,
              const char *account)
{
  (void)worker;
  (void)account;
  unsafe_runs += strncmp (path, "/unsafe/", strlen ("/unsafe/")) == 0;
}

static void
set_route (size_t index, const char *name, json_t *value)
{
  json_t *routes = json_object_get (site.config, "Routes");

  json_object_set_new (json_array_get (routes, index), name, value);
}

static bool
has_version (struct site *s)
{
  return s->edge->routes->version == s->version;
}

/* Whether no group is suspected any more for its last silence.  */
static bool
has_usable_groups (struct site *s)
{
  uint32_t size;
  struct bd_fleet_group **groups
      = bd_fleet_groups_of (&s->edge->fleet, "pool", "m", NULL, &size);

  for (uint32_t i = 0; i < size; i++)
    if (!bd_fleet_is_usable (groups[i], 2, bd_edge_now_ms (s->edge)))
      return false;
  return size == GROUPS;
}

static void
start (void)
{
  site_start (&site, PLAIN_WORKERS, POOL_WORKERS);
  CU_ASSERT_TRUE_FATAL (site_run (&site, has_usable_groups, READY_MS));
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = WORKER_PAUSING;
  set_route (SAFE_ROUTE, "TimeoutMs", json_integer (TIMEOUT_MS));
  set_route (UNSAFE_ROUTE, "TimeoutMs", json_integer (TIMEOUT_MS));
  site_publish (&site);
  CU_ASSERT_TRUE_FATAL (site_run (&site, has_version, READY_MS));
  site.on_run = count_unsafe;
}

static void
start_calls (struct site_call **calls)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < STREAMS; i++)
    calls[count++] = site_start_call (&site, "POST", "/stream/x", "k1", "m");
  for (uint32_t i = 0; i < SAFE_CALLS; i++)
    calls[count++] = site_start_call (&site, "GET", "/safe/x", "k1", NULL);
  for (uint32_t i = 0; i < UNSAFE_CALLS; i++)
    calls[count++] = site_start_call (&site, "POST", "/unsafe/x", "k1", NULL);
}

static void
play (const struct stalls *stalls, void (*change) (void))
{
  struct site_call *calls[ALL_CALLS];

  site.pause_ms = stalls->pause_ms;
  unsafe_runs = 0;
  start_calls (calls);
  site_wait (&site, BEGUN_MS);
  if (change != NULL)
    change ();
  for (uint32_t i = 0; i < stalls->count; i++)
    {
      site_wait (&site, stalls->interval_ms);
      g_usleep (1000 * stalls->stall_ms);
    }
  for (uint32_t i = 0; i < ALL_CALLS; i++)
    {
      while (!calls[i]->is_done)
        tevent_loop_once (site.events);
      CU_ASSERT_EQUAL (calls[i]->status, 200);
      CU_ASSERT_TRUE (calls[i]->is_complete);
      if (i < STREAMS)
        CU_ASSERT_TRUE (site_is_stream_whole (calls[i], STREAM_EVENTS));
    }
  CU_ASSERT_EQUAL (unsafe_runs, UNSAFE_CALLS);
}

/* Plays all patterns, each beside the change, which is undone after it.  */
static void
check (void (*change) (void))
{
  start ();
  for (size_t i = 0; i < sizeof patterns / sizeof patterns[0]; i++)
    {
      json_t *before = json_deep_copy (site.config);

      play (&patterns[i], change);
      json_decref (site.config);
      site.config = before;
      site_publish (&site);
      CU_ASSERT_TRUE_FATAL (site_run (&site, has_version, READY_MS));
      CU_ASSERT_TRUE_FATAL (site_run (&site, has_usable_groups, READY_MS));
    }
  site_finish (&site);
}

static void
move_routes (void)
{
  set_route (SAFE_ROUTE, "Service", json_string ("pool"));
  set_route (UNSAFE_ROUTE, "Service", json_string ("pool"));
  set_route (STREAM_ROUTE, "Service", json_string ("plain"));
  site_publish (&site);
}

static void
shorten_timeouts (void)
{
  for (size_t i = 0; i < ROUTES; i++)
    set_route (i, "TimeoutMs", json_integer (SHORT_TIMEOUT_MS));
  site_publish (&site);
}

static void
shorten_idle_timeout (void)
{
  json_t *limits = json_object_get (site.config, "Limits");

  json_object_set_new (limits, "IdleTimeoutMs", json_integer (SHORT_IDLE_MS));
  site_publish (&site);
}

static void
reload (void)
{
  bd_edge_reload (site.edge, &site.settings);
}

static void
test_silence_beside_own_stalls_ends_requests (void)
{
  check (NULL);
}

static void
test_moved_routes_beside_own_stalls_end_requests (void)
{
  check (move_routes);
}

static void
test_shorter_timeouts_beside_own_stalls_end_requests (void)
{
  check (shorten_timeouts);
}

static void
test_shorter_idle_timeout_beside_own_stalls_ends_requests (void)
{
  check (shorten_idle_timeout);
}

static void
test_reload_beside_own_stalls_ends_requests (void)
{
  check (reload);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "silence beside own stalls ends requests",
      test_silence_beside_own_stalls_ends_requests },
    { "moved routes beside own stalls end requests",
      test_moved_routes_beside_own_stalls_end_requests },
    { "shorter timeouts beside own stalls end requests",
      test_shorter_timeouts_beside_own_stalls_end_requests },
    { "shorter idle timeout beside own stalls ends requests",
      test_shorter_idle_timeout_beside_own_stalls_ends_requests },
    { "reload beside own stalls ends requests",
      test_reload_beside_own_stalls_ends_requests },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_stalls", tests);
}

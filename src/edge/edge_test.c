/* Runs the whole edge daemon against a fake platform in one process, and
   checks what callers and workers receive.  Waits are bounded; no test asserts
   a time.  */

#include "base/clock.h"
#include "base/timer.h"
#include "platform/platform.h"
#include "tests/fakes/site.h"
#include "tests/loopback.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <arpa/inet.h>
#include <malloc.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

static struct site site;

static void
set_modes (enum worker_mode mode)
{
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = mode;
}

/* Routes, API keys, and the headers that a worker receives.  */
static void
test_routes_and_keys (void)
{
  struct site_call *call;

  site_start (&site, 1, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  call = site_call (&site, "GET", "/safe/x?y=1", "k1", NULL);
  CU_ASSERT_EQUAL (call->status, 200);
  CU_ASSERT_STRING_EQUAL (call->body, "w-0");
  CU_ASSERT_STRING_EQUAL (call->seal, "w-0");
  CU_ASSERT_STRING_EQUAL (site.workers[0].last_account, "acc");
  CU_ASSERT_FALSE (site.workers[0].has_received_key);
  CU_ASSERT_TRUE (atoi (site.workers[0].last_deadline) <= 4000);
  CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/x", "no", NULL)->status,
                   401);
  CU_ASSERT_EQUAL (site_call (&site, "GET", "/none/x", "k1", NULL)->status,
                   404);
  CU_ASSERT_EQUAL (site_request_count (&site), 1);
  site_finish (&site);
}

/* A request that is not idempotent reaches workers only once, whatever the
   outcome.  A status that states that it has not run (503) is sent only if
   that is true.  */
static void
test_unsafe_runs_once (void)
{
  struct site_call *call;

  site_start (&site, 2, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  set_modes (WORKER_RESETTING);
  call = site_call (&site, "POST", "/unsafe/x", "k1", NULL);
  CU_ASSERT_EQUAL (call->status, 502);
  CU_ASSERT_EQUAL (site_request_count (&site), 1);
  set_modes (WORKER_WRONG_ID);
  call = site_call (&site, "POST", "/unsafe/x", "k1", NULL);
  CU_ASSERT_EQUAL (call->status, 502);
  CU_ASSERT_EQUAL (site_request_count (&site), 2);
  set_modes (WORKER_FULL);
  call = site_call (&site, "POST", "/unsafe/x", "k1", NULL);
  CU_ASSERT_EQUAL (call->status, 503);
  CU_ASSERT_PTR_NOT_NULL (call->retry_after);
  set_modes (WORKER_FAILING);
  call = site_call (&site, "POST", "/unsafe/x", "k1", NULL);
  CU_ASSERT_EQUAL (call->status, 500);
  CU_ASSERT_PTR_NOT_NULL (call->seal);
  site_finish (&site);
}

/* An idempotent request is retried at another worker.  A worker's failure
   response is forwarded when no worker succeeds.  */
static void
test_safe_is_retried (void)
{
  struct site_call *call;

  site_start (&site, 2, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site.workers[0].mode = WORKER_FAILING;
  for (uint32_t i = 0; i < 6; i++)
    {
      call = site_call (&site, "GET", "/safe/x", "k1", NULL);
      CU_ASSERT_EQUAL (call->status, 200);
      CU_ASSERT_STRING_EQUAL (call->body, "w-1");
    }
  set_modes (WORKER_FAILING);
  call = site_call (&site, "GET", "/safe/x", "k1", NULL);
  CU_ASSERT_EQUAL (call->status, 500);
  CU_ASSERT_PTR_NOT_NULL (call->seal);
  site_finish (&site);
}

/* The metrics page tells how late the event loop has been, from a number of
   measurements.  */
static void
test_loop_lag_metric (void)
{
  static const char *const count = "burdockdale_loop_lag_seconds_count ";
  struct site_call *call;
  const char *found;

  site_start (&site, 1, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site.daemon_port = site.settings.metrics_port;
  call = site_call (&site, "GET", "/metrics", NULL, NULL);
  CU_ASSERT_EQUAL (call->status, 200);
  found = strstr (call->body, count);
  CU_ASSERT_PTR_NOT_NULL_FATAL (found);
  CU_ASSERT_TRUE (atoi (found + strlen (count)) > 0);
  site_finish (&site);
}

static bool
is_stream_complete (const char *body)
{
  char expected[512] = "";

  for (int i = 1; i <= 12; i++)
    snprintf (expected + strlen (expected),
              sizeof expected - strlen (expected), "id: %d\ndata: e%d\n\n", i,
              i);
  return strcmp (body, expected) == 0;
}

/* Groups form and serve.  A stream whose group stalls resumes at another group
   after its last event.  */
static void
test_streams_resume (void)
{
  struct site_call *call;

  site_start (&site, 0, 4);
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 10000));
  call = site_call (&site, "POST", "/stream/x", "k1", "m");
  CU_ASSERT_EQUAL (call->status, 200);
  CU_ASSERT_TRUE (is_stream_complete (call->body));
  set_modes (WORKER_STALLING);
  for (uint32_t i = 0; i < site.worker_count; i++)
    if (site.workers[i].request_count > 0)
      site.workers[i].mode = WORKER_HEALTHY;
  for (uint32_t i = 0; i < 4; i++)
    {
      call = site_call (&site, "POST", "/stream/x", "k1", "m");
      CU_ASSERT_EQUAL (call->status, 200);
      CU_ASSERT_TRUE (call->is_complete);
      CU_ASSERT_TRUE (is_stream_complete (call->body));
    }
  site_finish (&site);
}

static bool
is_w0_removed (struct site *s)
{
  return !bd_edge_is_endpoint_listed (s->edge, "w-0");
}

/* The store is unreachable for longer than the lifetime of an entry.  An entry
   that is missing when it returns is removed only some time later, and the
   daemon keeps running.  */
static void
test_store_returns_without_an_entry (void)
{
  site_start (&site, 2, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site.store_mode = STORE_DOWN;
  site_wait (&site, 4200);
  site.workers[0].is_listed = false;
  site_list_worker (&site.workers[0]);
  CU_ASSERT_TRUE (bd_edge_is_endpoint_listed (site.edge, "w-0"));
  site.store_mode = STORE_HEALTHY;
  CU_ASSERT_TRUE (site_run (&site, is_w0_removed, 8000));
  CU_ASSERT_TRUE (bd_edge_is_endpoint_listed (site.edge, "w-1"));
  CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/x", "k1", NULL)->status,
                   200);
  site_finish (&site);
}

static bool
is_not_ready (struct site *s)
{
  return !site_is_ready (s);
}

/* A key is refused, and the request not run, while the daemon cannot know
   whether the key was revoked.  */
static void
test_keys_fail_closed (void)
{
  struct site_call *call;

  site_start (&site, 1, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site.store_mode = STORE_UNRESPONSIVE;
  CU_ASSERT_TRUE (site_run (&site, is_not_ready, 8000));
  call = site_call (&site, "GET", "/safe/x", "k1", NULL);
  CU_ASSERT_EQUAL (call->status, 503);
  CU_ASSERT_EQUAL (site_request_count (&site), 0);
  site.store_mode = STORE_HEALTHY;
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 8000));
  CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/x", "k1", NULL)->status,
                   200);
  site_finish (&site);
}

static bool
is_key_refused (struct site *s)
{
  return site_call (s, "GET", "/safe/x", "k1", NULL)->status == 401;
}

/* A configuration version that revokes a key is applied soon; a lower version
   never is.  */
static void
test_versions_only_rise (void)
{

  site_start (&site, 1, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site_revoke_key (&site);
  CU_ASSERT_TRUE (site_run (&site, is_key_refused, 5000));
  site.version -= 10;
  site_grant_key (&site, "acc");
  site_wait (&site, 1500);
  CU_ASSERT_TRUE (is_key_refused (&site));
  site_finish (&site);
}

static bool
has_only_w1 (struct site *s)
{
  return bd_edge_is_endpoint_listed (s->edge, "w-1")
         && !bd_edge_is_endpoint_listed (s->edge, "w-0");
}

/* The store compacts its history: the daemon reads the whole list again and
   removes the entries that are missing.  */
static void
test_history_compacted (void)
{
  site_start (&site, 2, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site.workers[0].is_listed = false;
  json_object_del (json_object_get (site.objects, "servers"), "w-0");
  site.compacted_revision = ++site.revision;
  site_list_worker (&site.workers[1]);
  CU_ASSERT_TRUE (site_run (&site, has_only_w1, 8000));
  site_finish (&site);
}

/* A key is assigned to another account while its stream runs: the daemon
   resumes the stream under the new account.  */
static void
test_key_changes_account (void)
{
  struct site_call *call;

  site_start (&site, 0, 4);
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 10000));
  set_modes (WORKER_STALLING);
  call = site_start_call (&site, "POST", "/stream/x", "k1", "m");
  site_wait (&site, 100);
  for (uint32_t i = 0; i < site.worker_count; i++)
    if (site.workers[i].request_count == 0)
      site.workers[i].mode = WORKER_HEALTHY;
  site_revoke_key (&site);
  site_grant_key (&site, "heir");
  while (!call->is_done)
    tevent_loop_once (site.events);
  CU_ASSERT_TRUE (is_stream_complete (call->body));
  CU_ASSERT_EQUAL (site_request_count (&site), 2);
  for (uint32_t i = 0; i < site.worker_count; i++)
    if (site.workers[i].mode == WORKER_HEALTHY
        && site.workers[i].request_count > 0)
      CU_ASSERT_STRING_EQUAL (site.workers[i].last_account, "heir");
  site_finish (&site);
}

static bool
is_stopped (struct site *s)
{
  return bd_edge_is_done (s->edge);
}

/* A planned stop completes running requests.  A late request is refused as not
   run.  */
static void
test_planned_stop (void)
{
  struct site_call *running;
  struct site_call *late;

  site_start (&site, 1, 4);
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 10000));
  CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/x", "k1", NULL)->status,
                   200);
  running = site_start_call (&site, "POST", "/stream/x", "k1", "m");
  site_wait (&site, 60);
  bd_edge_stop (site.edge);
  CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/x", "k1", NULL)->status,
                   200);
  site_wait (&site, 3500);
  CU_ASSERT_TRUE (running->is_complete);
  CU_ASSERT_TRUE (is_stream_complete (running->body));
  late = site_call (&site, "GET", "/safe/x", "k1", NULL);
  CU_ASSERT_TRUE (late->status == 503 || late->status == 0);
  CU_ASSERT_EQUAL (site.workers[0].request_count, 2);
  CU_ASSERT_TRUE (site_run (&site, is_stopped, 8000));
  site_finish (&site);
}

/* A stream that sends single bytes after its third event has stalled, and goes
   on at another group well before its deadline.  */
static void
test_trickling_stream (void)
{
  struct site_call *call;

  site_start (&site, 0, 4);
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 10000));
  set_modes (WORKER_TRICKLING);
  call = site_start_call (&site, "POST", "/stream/x", "k1", "m");
  site_wait (&site, 100);
  for (uint32_t i = 0; i < site.worker_count; i++)
    if (site.workers[i].request_count == 0)
      site.workers[i].mode = WORKER_HEALTHY;
  while (!call->is_done)
    tevent_loop_once (site.events);
  CU_ASSERT_TRUE (call->is_complete);
  CU_ASSERT_TRUE (is_stream_complete (call->body));
  CU_ASSERT_EQUAL (site_request_count (&site), 2);
  site_finish (&site);
}

/* A stream whose events come as slowly as its route allows is not cut, and
   runs once.  */
static void
test_slow_stream (void)
{
  struct site_call *call;

  site_start (&site, 0, 4);
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 10000));
  set_modes (WORKER_SLOW);
  call = site_call (&site, "POST", "/stream/x", "k1", "m");
  CU_ASSERT_EQUAL (call->status, 200);
  CU_ASSERT_TRUE (call->is_complete);
  CU_ASSERT_TRUE (is_stream_complete (call->body));
  CU_ASSERT_EQUAL (site_request_count (&site), 1);
  site_finish (&site);
}

/* Whether the store has the daemon's own entry.  */
static bool
is_registered (struct site *s)
{
  return json_object_get (json_object_get (s->objects, "bd-daemons"), "edge-1")
         != NULL;
}

static json_int_t
stored_term (struct site *s)
{
  const json_t *term
      = json_object_get (json_object_get (s->objects, "bd-terms"), "a");
  const json_t *data
      = json_object_get (json_object_get (term, "Spec"), "data");

  return json_integer_value (json_object_get (data, "term"));
}

static bool
has_term (struct site *s)
{
  return stored_term (s) > 0;
}

/* The store comes back from a copy that is older than the configuration, the
   daemon's entry and its term.  A revoked key stays refused, the daemon writes
   itself in again and acquires another term, and what runs is served.  */
static void
test_store_restored (void)
{
  json_t *copy;

  site_start (&site, 1, 4);
  copy = site_copy_store (&site);
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 10000));
  CU_ASSERT_TRUE (is_registered (&site));
  CU_ASSERT_TRUE (has_term (&site));
  site_revoke_key (&site);
  CU_ASSERT_TRUE (site_run (&site, is_key_refused, 5000));
  site_restore_store (&site, copy);
  CU_ASSERT_FALSE (is_registered (&site));
  for (uint32_t i = 0; i < 8; i++)
    {
      CU_ASSERT_NOT_EQUAL (
          site_call (&site, "GET", "/safe/x", "k1", NULL)->status, 200);
      site_wait (&site, 150);
    }
  /* The operator and the workers write again what they wrote.  */
  site_publish (&site);
  for (uint32_t i = 0; i < site.worker_count; i++)
    site_list_worker (&site.workers[i]);
  CU_ASSERT_TRUE (site_run (&site, is_registered, 8000));
  CU_ASSERT_TRUE (site_run (&site, has_term, 8000));
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 8000));
  CU_ASSERT_TRUE (is_key_refused (&site));
  CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/x", "k2", NULL)->status,
                   200);
  CU_ASSERT_TRUE (is_stream_complete (
      site_call (&site, "POST", "/stream/x", "k2", "m")->body));
  CU_ASSERT_EQUAL (site.partial_runs, 0);
  CU_ASSERT_EQUAL (site.stolen_joins, 0);
  site_finish (&site);
}

/* The list shows that members are ready before their responses to the join
   orders arrive, and before their reports say so.  */
static void
test_late_responses_and_reports (void)
{
  site_start (&site, 0, 4);
  for (uint32_t i = 0; i < site.worker_count; i++)
    {
      site.workers[i].order_delay_ms = 200;
      site.workers[i].report_lag_ms = 500;
    }
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 6000));
  site_finish (&site);
}

/* A worker that says in a response that it leaves gets no more requests,
   though the list shows it as ready.  */
static void
test_leaving_worker (void)
{
  uint32_t before;

  site_start (&site, 2, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site.workers[0].is_leaving = true;
  /* More requests at once than the other worker takes.  */
  for (uint32_t i = 0; i < 10; i++)
    site_start_call (&site, "GET", "/safe/x", "k1", NULL);
  site_wait (&site, 500);
  before = site.workers[0].request_count;
  CU_ASSERT_TRUE (before > 0);
  site_wait (&site, 1500);
  for (uint32_t i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/x", "k1", NULL)->status,
                     200);
  CU_ASSERT_EQUAL (site.workers[0].request_count, before);
  site_finish (&site);
}

/* A worker that refuses with a Retry-After gets no requests until then.  */
static void
test_closed_worker (void)
{
  uint32_t before;

  site_start (&site, 2, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site.workers[0].mode = WORKER_FULL;
  site.workers[0].retry_after = "1.5";
  for (uint32_t i = 0; i < 10; i++)
    site_start_call (&site, "GET", "/safe/x", "k1", NULL);
  site_wait (&site, 200);
  before = site.workers[0].request_count;
  for (uint32_t i = 0; i < 12; i++)
    {
      CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/x", "k1", NULL)->status,
                       200);
      site_wait (&site, 100);
    }
  CU_ASSERT_EQUAL (site.workers[0].request_count, before);
  site.workers[0].mode = WORKER_HEALTHY;
  site_wait (&site, 900);
  /* More requests at once than the other worker takes.  */
  for (uint32_t i = 0; i < 10; i++)
    site_start_call (&site, "GET", "/safe/x", "k1", NULL);
  site_wait (&site, 500);
  CU_ASSERT_TRUE (site.workers[0].request_count > before);
  site_finish (&site);
}

/* While groups stall, requests in the backlog end in any order.  The watchdog
   must not continue with a request that has been freed.  */
static void
test_stalled_groups_with_backlog (void)
{
  site_start (&site, 0, 4);
  site.settings.bounds.retry_slack = 1000;
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 10000));
  set_modes (WORKER_UNRESPONSIVE);
  for (uint32_t i = 0; i < 3; i++)
    {
      struct site_call *call
          = site_call (&site, "POST", "/stream/x", "k1", "m");

      CU_ASSERT_NOT_EQUAL (call->status, 200);
    }
  site_finish (&site);
}

enum
{
  CALLERS_PER_KIND = 500,
  CALLERS = 3 * CALLERS_PER_KIND,
  HEADER_TIMEOUT_MS = 1000,
  IDLE_TIMEOUT_MS = 2000,
  /* One in so many callers that do not complete their request sends a byte
     now and then.  */
  DRIBBLE_SHARE = 10,
  DRIBBLE_MS = 100,
  /* The users' rules allow as much past a timeout.  */
  SLACK_MS = 500,
  OBJECTIVE_MS = 300, /* Of the site's routes.  */
  USUAL_CALLS = 40
};

/* A caller that does not complete its request, or that stays idle.  */
struct bad_caller
{
  int fd;
  bool is_idle;
  bool is_sending;
  bool is_closed;
  int64_t timeout_ms;
  int64_t opened_ms;
  int64_t closed_ms;
  char response[256];
  size_t used;
};

static struct bad_caller callers[CALLERS];

static int64_t
now_ms (void)
{
  struct bd_clock clock = bd_clock_system ();

  return bd_clock_now_ms (&clock);
}

static void
read_caller (struct tevent_context *ev, struct tevent_fd *event,
             uint16_t flags, void *ctx)
{
  struct bad_caller *caller = ctx;
  ssize_t received
      = recv (caller->fd, caller->response + caller->used,
              sizeof caller->response - 1 - caller->used, MSG_DONTWAIT);

  (void)ev;
  (void)flags;
  if (received > 0)
    caller->used += (size_t)received;
  else
    {
      caller->is_closed = true;
      caller->closed_ms = now_ms ();
      talloc_free (event);
      close (caller->fd);
    }
}

static void
open_caller (struct bad_caller *caller, const char *text)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)site.daemon_port) };

  caller->opened_ms = now_ms ();
  caller->fd = socket (AF_INET, SOCK_STREAM, 0);
  inet_pton (AF_INET, loopback_address (), &address.sin_addr);
  if (connect (caller->fd, (struct sockaddr *)&address, sizeof address) != 0)
    CU_FAIL ("connect");
  send (caller->fd, text, strlen (text), MSG_NOSIGNAL);
  tevent_add_fd (site.events, site.events, caller->fd, TEVENT_FD_READ,
                 read_caller, caller);
}

static void
send_bytes (void *ctx)
{
  (void)ctx;
  for (uint32_t i = 0; i < CALLERS; i++)
    if (callers[i].is_sending && !callers[i].is_closed)
      send (callers[i].fd, "a", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
  bd_timer_add (site.events, site.events, DRIBBLE_MS, send_bytes, NULL);
}

static void
open_callers (void)
{
  static const char half_head[] = "POST /safe/x HTTP/1.1\r\nHost: h.exam";
  const char *id_name = bd_platform_adapter.headers->attempt_id;
  char half_body[256];
  char request[256];

  snprintf (half_body, sizeof half_body,
            "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n%s: half\r\n"
            "Authorization: Bearer k1\r\nContent-Length: 9999\r\n\r\nabc",
            id_name);
  snprintf (request, sizeof request,
            "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n%s: idle\r\n"
            "Authorization: Bearer no\r\n\r\n",
            id_name);
  memset (callers, 0, sizeof callers);
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      callers[i].is_idle = i % 3 == 2;
      callers[i].is_sending = !callers[i].is_idle && i % DRIBBLE_SHARE == 0;
      callers[i].timeout_ms = i % 3 == 0 ? HEADER_TIMEOUT_MS : IDLE_TIMEOUT_MS;
      open_caller (&callers[i], i % 3 == 0   ? half_head
                                : i % 3 == 1 ? half_body
                                             : request);
      tevent_loop_once (site.events);
    }
}

static uint32_t
open_count (uint32_t kind)
{
  uint32_t count = 0;

  for (uint32_t i = kind; i < CALLERS; i += 3)
    count += !callers[i].is_closed;
  return count;
}

static bool
are_heads_closed (struct site *s)
{
  (void)s;
  return open_count (0) == 0;
}

static bool
are_all_closed (struct site *s)
{
  (void)s;
  return open_count (0) + open_count (1) + open_count (2) == 0;
}

/* Time that this thread has been ready to run and waited for a processor.  */
static int64_t
get_processor_wait_ms (void)
{
  FILE *file = fopen ("/proc/thread-self/schedstat", "r");
  long long wait_ns = 0;

  if (file == NULL)
    return 0;
  if (fscanf (file, "%*u %lld", &wait_ns) != 1)
    wait_ns = 0;
  fclose (file);
  return wait_ns / 1000000;
}

/* Runs until is_true or for limit_ms, in which this process had a
   processor.  */
static bool
run_for_own_time (bool (*is_true) (struct site *site), int64_t limit_ms)
{
  int64_t begin_ms = now_ms () - get_processor_wait_ms ();
  int64_t used_ms = 0;

  while (used_ms < limit_ms && !site_run (&site, is_true, limit_ms - used_ms))
    used_ms = now_ms () - get_processor_wait_ms () - begin_ms;
  return is_true (&site);
}

static void
check_callers (void)
{
  uint32_t wrong_status = 0;
  uint32_t too_early = 0;

  for (uint32_t i = 0; i < CALLERS; i++)
    {
      const char *expected
          = callers[i].is_idle ? "HTTP/1.1 401 " : "HTTP/1.1 408 ";

      wrong_status += strncmp (callers[i].response, expected, 13) != 0
                      || strstr (callers[i].response + 1, "HTTP/1.1") != NULL;
      too_early += callers[i].closed_ms - callers[i].opened_ms
                   < callers[i].timeout_ms;
    }
  CU_ASSERT_EQUAL (wrong_status, 0);
  CU_ASSERT_EQUAL (too_early, 0);
}

/* Calls as usual; returns how many were served within the objective.  */
static uint32_t
serve_usual_calls (void)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < USUAL_CALLS; i++)
    {
      int64_t before_ms = now_ms ();
      struct site_call *call = site_call (&site, "GET", "/safe/x", "k1", NULL);

      count += call->status == 200 && now_ms () - before_ms < OBJECTIVE_MS;
      talloc_free (call);
    }
  return count;
}

/* 500 callers with half a head, 500 with half a body and 500 idle ones at
   once: each is ended within its timeout, the others are served, and nothing
   of them stays.  */
static void
test_callers_that_do_not_complete (void)
{
  enum
  {
    WAVES = 3,
    /* The smallest leak of each caller would be as large.  */
    MAX_GROWTH_BYTES = CALLERS * 32
  };
  struct rlimit files;
  size_t used_bytes[WAVES];
  json_t *limits;
  int64_t begin_ms;
  int64_t alone_ms;
  int64_t beside_ms = 0;

  getrlimit (RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit (RLIMIT_NOFILE, &files);
  site_start (&site, 2, 0);
  limits = json_object_get (site.config, "Limits");
  json_object_set_new (limits, "HeaderTimeoutMs",
                       json_integer (HEADER_TIMEOUT_MS));
  json_object_set_new (limits, "IdleTimeoutMs",
                       json_integer (IDLE_TIMEOUT_MS));
  site_publish (&site);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  send_bytes (NULL);
  begin_ms = now_ms ();
  CU_ASSERT_EQUAL (serve_usual_calls (), USUAL_CALLS);
  alone_ms = now_ms () - begin_ms;
  for (uint32_t i = 0; i < WAVES; i++)
    {
      uint32_t before = site_request_count (&site);

      open_callers ();
      begin_ms = now_ms ();
      CU_ASSERT_EQUAL (serve_usual_calls (), USUAL_CALLS);
      beside_ms += now_ms () - begin_ms;
      CU_ASSERT_TRUE (
          run_for_own_time (are_heads_closed, HEADER_TIMEOUT_MS + SLACK_MS));
      CU_ASSERT_TRUE (run_for_own_time (
          are_all_closed, IDLE_TIMEOUT_MS - HEADER_TIMEOUT_MS + SLACK_MS));
      check_callers ();
      CU_ASSERT_EQUAL (site_request_count (&site), before + USUAL_CALLS);
      site_wait (&site, 300);
      used_bytes[i] = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
    }
  CU_ASSERT_TRUE (used_bytes[WAVES - 1] < used_bytes[1] + MAX_GROWTH_BYTES);
  printf (" (%d calls: %lld ms alone, %lld ms beside %d callers; in use after "
          "each wave: %zu, %zu, %zu bytes) ",
          USUAL_CALLS, (long long)alone_ms, (long long)beside_ms / WAVES,
          CALLERS, used_bytes[0], used_bytes[1], used_bytes[2]);
  site_finish (&site);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "routes and keys", test_routes_and_keys },
    { "unsafe runs once", test_unsafe_runs_once },
    { "safe is retried", test_safe_is_retried },
    { "loop lag metric", test_loop_lag_metric },
    { "streams resume", test_streams_resume },
    { "store returns without an entry", test_store_returns_without_an_entry },
    { "keys fail closed", test_keys_fail_closed },
    { "versions only rise", test_versions_only_rise },
    { "history gone", test_history_compacted },
    { "key changes account", test_key_changes_account },
    { "planned stop", test_planned_stop },
    { "store restored from a copy", test_store_restored },
    { "late responses and reports", test_late_responses_and_reports },
    { "leaving worker", test_leaving_worker },
    { "closed worker", test_closed_worker },
    { "stalled groups with backlog", test_stalled_groups_with_backlog },
    { "trickling stream", test_trickling_stream },
    { "slow stream", test_slow_stream },
    { "callers that do not complete", test_callers_that_do_not_complete },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge", tests);
}

/* Checks that a daemon that stops takes nothing that outlasts it, and that
   each request gets its final response before the end.  */

#include "edge/edge_internal.h"
#include "platform/platform.h"
#include "tests/fakes/site.h"
#include "tests/loopback.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  POOL_WORKERS = 8,
  GROUP_MEMBERS = 2,
  PLAIN_WORKERS = 12,
  CALLS = 10,
  CALL_INTERVAL_MS = 330,
  MANY_CALLS = 100,
  GRACE_MS = 4500,
  READY_MS = 10000,
  EARLY_MS = 700, /* The deadline is after the end.  */
  LATE_MS = 2500,
  CLOSED_MS = 3600, /* No new requests are accepted by then.  */
  PAUSE_MS = 2000,  /* Not over at the end, if it begins at LATE_MS.  */
  SHORT_MS = 20,
  STEADY_MS = 300,
  WARM_CALLS = 10
};

static struct site site;

static bool
is_done (struct site *s)
{
  return bd_edge_is_done (s->edge);
}

static bool
has_all_groups (struct site *s)
{
  return site_is_ready (s)
         && site_count_open_groups (s) == POOL_WORKERS / GROUP_MEMBERS;
}

/* The daemon's process ends; another one takes its place.  */
static void
end_daemon (void)
{
  CU_ASSERT_TRUE (site_run (&site, is_done, GRACE_MS));
  bd_edge_finish (site.edge);
  site.edge = bd_edge_start (site.events, site.events, &site.settings,
                             &bd_platform_adapter);
}

static void
wait_for (struct site_call *call)
{
  while (!call->is_done)
    tevent_loop_once (site.events);
}

/* Sends calls while the daemon stops.  Each of them is completed, or refused
   before it has run.  */
static void
check_calls_at_stop (const char *target, const char *model)
{
  struct site_call *calls[CALLS];
  uint32_t requests = site_request_count (&site);
  uint32_t served = 0;
  uint32_t refused = 0;

  bd_edge_stop (site.edge);
  for (uint32_t i = 0; i < CALLS; i++)
    {
      calls[i] = site_start_call (&site, "POST", target, "k1", model);
      site_wait (&site, CALL_INTERVAL_MS);
    }
  end_daemon ();
  for (uint32_t i = 0; i < CALLS; i++)
    {
      wait_for (calls[i]);
      served += calls[i]->status == 200 && calls[i]->is_complete;
      refused += calls[i]->status == 503 || calls[i]->status == 0;
    }
  CU_ASSERT_EQUAL (served + refused, CALLS);
  if (served + refused != CALLS)
    printf ("\n%s: %u served, %u refused, of %d\n", target, served, refused,
            CALLS);
  CU_ASSERT_TRUE (served > 0);
  CU_ASSERT_EQUAL (site_request_count (&site), requests + served);
}

static json_t *
pool_engine (void)
{
  json_t *services = json_object_get (site.config, "Services");

  return json_object_get (json_array_get (services, 1), "Engine");
}

/* Short prompts in batches whose other prompts have the usual length, which
   make each step take SITE_SLOW_EVENT_MS.  */
static void
test_short_prompts_among_usual_ones_outlast_the_grace (void)
{
  site_start (&site, 0, POOL_WORKERS);
  json_object_set_new (pool_engine (), "context_per_k", json_real (5.45));
  json_object_set_new (json_object_get (pool_engine (), "usual"), "prompt",
                       json_integer (8000));
  site_publish (&site);
  for (uint32_t i = 0; i < POOL_WORKERS; i++)
    site.workers[i].mode = WORKER_SLOW;
  CU_ASSERT_TRUE_FATAL (site_run (&site, has_all_groups, READY_MS));
  site.settings.bounds.grace_ms = GRACE_MS;
  check_calls_at_stop ("/stream/x", "m");
  site_finish (&site);
}

/* Only one of the groups has had a stream before.  */
static void
test_unmeasured_groups_of_slow_model_outlast_the_grace (void)
{
  struct site_call *calls[CALLS];

  site_start (&site, 0, POOL_WORKERS);
  for (uint32_t i = 0; i < POOL_WORKERS; i++)
    site.workers[i].mode = WORKER_SLOW;
  CU_ASSERT_TRUE_FATAL (site_run (&site, has_all_groups, READY_MS));
  site.settings.bounds.grace_ms = GRACE_MS;
  site_call (&site, "POST", "/stream/x", "k1", "m");
  bd_edge_stop (site.edge);
  site_wait (&site, LATE_MS);
  for (uint32_t i = 0; i < CALLS; i++)
    calls[i] = site_start_call (&site, "POST", "/stream/x", "k1", "m");
  end_daemon ();
  for (uint32_t i = 0; i < CALLS; i++)
    {
      wait_for (calls[i]);
      CU_ASSERT_EQUAL (calls[i]->status, 503);
    }
  CU_ASSERT_EQUAL (site_request_count (&site), 1);
  site_finish (&site);
}

/* Each fourth request takes long.  */
static void
vary_pause (struct site_worker *worker, const char *path, const char *account)
{
  (void)path;
  (void)account;
  site.pause_ms = worker->request_count % 4 == 0 ? PAUSE_MS : SHORT_MS;
}

static void
start_varying_endpoint (void)
{
  site_start (&site, 1, 0);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  site.settings.bounds.grace_ms = GRACE_MS;
  site.workers[0].mode = WORKER_PAUSING;
  site.on_run = vary_pause;
}

/* Requests that may not be repeated, to an endpoint that is usually fast.  */
static void
test_slow_response_of_usually_fast_endpoint_outlasts_the_grace (void)
{
  struct site_call *calls[CALLS];

  start_varying_endpoint ();
  for (uint32_t i = 0; i < WARM_CALLS; i++)
    site_call (&site, "POST", "/unsafe/x", "k1", NULL);
  bd_edge_stop (site.edge);
  site_wait (&site, LATE_MS);
  for (uint32_t i = 0; i < CALLS; i++)
    calls[i] = site_start_call (&site, "POST", "/unsafe/x", "k1", NULL);
  end_daemon ();
  for (uint32_t i = 0; i < CALLS; i++)
    {
      wait_for (calls[i]);
      CU_ASSERT_EQUAL (calls[i]->status, 503);
    }
  CU_ASSERT_EQUAL (site_request_count (&site), WARM_CALLS);
  site_finish (&site);
}

static void
test_steady_endpoint_is_used_until_late (void)
{
  struct site_call *call;

  site_start (&site, 1, 0);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  site.settings.bounds.grace_ms = GRACE_MS;
  site.workers[0].mode = WORKER_PAUSING;
  site.pause_ms = STEADY_MS;
  for (uint32_t i = 0; i < WARM_CALLS; i++)
    site_call (&site, "POST", "/unsafe/x", "k1", NULL);
  bd_edge_stop (site.edge);
  site_wait (&site, LATE_MS);
  call = site_start_call (&site, "POST", "/unsafe/x", "k1", NULL);
  end_daemon ();
  wait_for (call);
  CU_ASSERT_EQUAL (call->status, 200);
  site_finish (&site);
}

static bool
has_fresh_endpoint (struct site *s)
{
  const struct bd_fleet_endpoint *fresh
      = bd_fleet_endpoint (&s->edge->fleet, s->workers[1].id);
  const struct bd_fleet_endpoint *measured
      = bd_fleet_endpoint (&s->edge->fleet, s->workers[0].id);

  return fresh != NULL && fresh->is_listed && measured->entry.is_draining;
}

/* It has just taken the place of one that was measured.  */
static void
test_fresh_endpoint_of_slow_service_outlasts_the_grace (void)
{
  struct site_call *call;

  site_start (&site, 2, 0);
  site.workers[1].is_listed = false;
  site_list_worker (&site.workers[1]);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  site.settings.bounds.grace_ms = GRACE_MS;
  site.workers[0].mode = WORKER_PAUSING;
  site.workers[1].mode = WORKER_PAUSING;
  site.pause_ms = PAUSE_MS;
  site_call (&site, "POST", "/unsafe/x", "k1", NULL);
  site.workers[0].is_draining = true;
  site_list_worker (&site.workers[0]);
  site.workers[1].is_listed = true;
  site_list_worker (&site.workers[1]);
  CU_ASSERT_TRUE_FATAL (site_run (&site, has_fresh_endpoint, READY_MS));
  bd_edge_stop (site.edge);
  site_wait (&site, LATE_MS);
  call = site_start_call (&site, "POST", "/unsafe/x", "k1", NULL);
  end_daemon ();
  wait_for (call);
  CU_ASSERT_EQUAL (call->status, 503);
  CU_ASSERT_EQUAL (site.workers[1].request_count, 0);
  site_finish (&site);
}

static void
test_many_requests_get_final_responses_at_the_end (void)
{
  struct site_call *calls[MANY_CALLS];
  uint32_t run = 0;

  site_start (&site, PLAIN_WORKERS, 0);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  site.settings.bounds.grace_ms = GRACE_MS;
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = WORKER_PAUSING;
  site.pause_ms = 2 * GRACE_MS;
  bd_edge_stop (site.edge);
  site_wait (&site, 700);
  for (uint32_t i = 0; i < MANY_CALLS; i++)
    calls[i] = site_start_call (&site, "POST", "/unsafe/x", "k1", NULL);
  end_daemon ();
  for (uint32_t i = 0; i < MANY_CALLS; i++)
    {
      wait_for (calls[i]);
      CU_ASSERT_TRUE (calls[i]->is_complete);
      CU_ASSERT_TRUE (calls[i]->status >= 502 && calls[i]->status <= 504);
      run += calls[i]->status != 503;
    }
  CU_ASSERT_EQUAL (site_request_count (&site), run);
  CU_ASSERT_TRUE (run > 0);
  site_finish (&site);
}

static int
connect_to_daemon (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)site.settings.http_port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, loopback_address (), &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
}

/* The rest of the body arrives when no new requests are accepted.  */
static void
test_body_that_crosses_the_close_gets_no_response (void)
{
  char response[512] = "";
  int fd;

  site_start (&site, 1, 0);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  site.settings.bounds.grace_ms = GRACE_MS;
  fd = connect_to_daemon ();
  bd_edge_stop (site.edge);
  site_wait (&site, LATE_MS);
  send_text (fd, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
                 "Attempt-Id: a\r\nAuthorization: Bearer k1\r\n"
                 "Content-Length: 10\r\n\r\nhalf ");
  site_wait (&site, CLOSED_MS - LATE_MS);
  CU_ASSERT_FALSE (is_done (&site));
  send_text (fd, "whole");
  site_wait (&site, 100);
  CU_ASSERT_TRUE (recv (fd, response, sizeof response - 1, MSG_DONTWAIT) > 0);
  CU_ASSERT_EQUAL (strncmp (response, "HTTP/1.1 503", 12), 0);
  CU_ASSERT_EQUAL (site_request_count (&site), 0);
  close (fd);
  end_daemon ();
  site_finish (&site);
}

#define UNSAFE_HEAD                                                           \
  "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\n"           \
  "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"

/* The second one waits for the response to the first.  */
static void
test_pipelined_request_runs_at_the_end (void)
{
  char response[1024] = "";
  int fd;

  site_start (&site, 1, 0);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  site.settings.bounds.grace_ms = GRACE_MS;
  site.workers[0].mode = WORKER_PAUSING;
  site.pause_ms = 2 * GRACE_MS;
  fd = connect_to_daemon ();
  bd_edge_stop (site.edge);
  site_wait (&site, EARLY_MS);
  send_text (fd, UNSAFE_HEAD UNSAFE_HEAD);
  end_daemon ();
  CU_ASSERT_TRUE (recv (fd, response, sizeof response - 1, MSG_DONTWAIT) > 0);
  CU_ASSERT_EQUAL (strncmp (response, "HTTP/1.1 504", 12), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (response, "Connection: close"));
  CU_ASSERT_EQUAL (site_request_count (&site), 1);
  close (fd);
  site_finish (&site);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "short prompts among usual ones outlast the grace",
      test_short_prompts_among_usual_ones_outlast_the_grace },
    { "unmeasured groups of slow model outlast the grace",
      test_unmeasured_groups_of_slow_model_outlast_the_grace },
    { "slow response of usually fast endpoint outlasts the grace",
      test_slow_response_of_usually_fast_endpoint_outlasts_the_grace },
    { "steady endpoint is used until late",
      test_steady_endpoint_is_used_until_late },
    { "fresh endpoint of slow service outlasts the grace",
      test_fresh_endpoint_of_slow_service_outlasts_the_grace },
    { "body that crosses the close gets no response",
      test_body_that_crosses_the_close_gets_no_response },
    { "pipelined request runs at the end",
      test_pipelined_request_runs_at_the_end },
    { "many requests get final responses at the end",
      test_many_requests_get_final_responses_at_the_end },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_stop_late", tests);
}

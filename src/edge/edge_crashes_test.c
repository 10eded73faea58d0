/* Checks how many workers the edge daemon lets a request crash.  The users'
   platform is faked, in one process with the daemon.  */

#include "edge/edge_internal.h"
#include "platform/platform.h"
#include "tests/fakes/site.h"
#include "tests/loopback.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  PLAIN_WORKERS = 6,
  /* The users allow three crashes, and three more requests after them.  */
  MAX_CRASHES = 3,
  REPEATS = 8,
  MAX_WARM_CALLS = 100,
  /* Until a crash and the endpoint's new start are known.  */
  SETTLE_MS = 400,
  CRASH_DELAY_MS = 20,
  SECOND_PORT = 25180,
  MIN_RETENTION_S = 60,
  RAW_PORT = 25190,
  RAW_WORKERS = 4,
  POOL_WORKERS = 12,
  PROMPTS = 16,
  /* The users allow five crashes, and three more requests after them.  */
  MAX_PART_CRASHES = 8
};

static struct site site;

static void
set_modes (enum worker_mode mode)
{
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = mode;
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
  before = site_request_count (&site);
  set_modes (WORKER_CRASHING);
  for (uint32_t i = 0; i < REPEATS; i++)
    talloc_free (site_call (&site, "GET", "/safe/crash", "k1", NULL));
  CU_ASSERT_TRUE (site_request_count (&site) - before <= MAX_CRASHES);
  site_finish (&site);
}

/* Starts plain workers that crash when they run a path with "crash" in it.  */
static void
start_crashing_site (uint32_t workers)
{
  site_start (&site, workers, 0);
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site.crashing_text = "crash";
  site.crash_delay_ms = CRASH_DELAY_MS;
}

static void
send_crashing (const char *target)
{
  talloc_free (site_call (&site, "GET", target, "k1", NULL));
  site_wait (&site, SETTLE_MS);
}

static void
test_request_crashes_workers_at_once (void)
{
  start_crashing_site (PLAIN_WORKERS);
  site.crash_delay_ms = 0;
  for (uint32_t i = 0; i < REPEATS; i++)
    send_crashing ("/safe/crash");
  CU_ASSERT_TRUE (site.crash_count <= MAX_CRASHES);
  site_finish (&site);
}

static void
test_request_crashes_one_worker_again_and_again (void)
{
  start_crashing_site (1);
  for (uint32_t i = 0; i < REPEATS; i++)
    send_crashing ("/safe/crash");
  CU_ASSERT_TRUE (site.crash_count <= MAX_CRASHES);
  site_finish (&site);
}

static void
test_request_with_another_query_crashes_workers (void)
{
  start_crashing_site (PLAIN_WORKERS);
  for (uint32_t i = 0; i < REPEATS; i++)
    {
      char target[64];

      snprintf (target, sizeof target, "/safe/crash?n=%u", i);
      send_crashing (target);
    }
  CU_ASSERT_TRUE (site.crash_count <= 2 * MAX_CRASHES);
  CU_ASSERT_TRUE (is_served ());
  site_finish (&site);
}

/* A daemon that starts after the crashes.  */
static void
test_request_crashes_workers_at_a_new_daemon (void)
{
  struct bd_edge_settings settings;
  struct bd_edge *second;
  uint32_t before;

  start_crashing_site (PLAIN_WORKERS);
  for (uint32_t i = 0; i < REPEATS; i++)
    send_crashing ("/safe/crash");
  settings = site_settings (&site, "edge-2", SECOND_PORT);
  second = bd_edge_start (site.events, site.events, &settings,
                          &bd_platform_adapter);
  site_wait (&site, 3000);
  before = site.crash_count;
  site.daemon_port = SECOND_PORT;
  CU_ASSERT_TRUE (is_served ());
  for (uint32_t i = 0; i < REPEATS; i++)
    send_crashing ("/safe/crash");
  CU_ASSERT_EQUAL (site.crash_count, before);
  bd_edge_finish (second);
  site_finish (&site);
}

/* News of two crashes, as another daemon sends it.  */
static void
receive_crashes (uint64_t subject)
{
  struct bd_poison_evidence items[] = {
    { .subject = subject, .target = 1, .request = subject },
    { .subject = subject, .target = 2, .request = subject },
  };
  struct bd_poison_update update = { .items = items, .count = 2 };

  CU_ASSERT_TRUE (bd_edge_receive_poison (site.edge, &update));
}

static void
set_draining (bool is_draining)
{
  site.workers[0].is_draining = is_draining;
  site_list_worker (&site.workers[0]);
}

static bool
is_drain_known (struct site *s)
{
  return bd_fleet_endpoint (&s->edge->fleet, s->workers[0].id)
      ->entry.is_draining;
}

static bool
is_waiting (struct site *s)
{
  return s->edge->requests != NULL && s->edge->requests->attempt == NULL;
}

/* The news of crashes arrive while the request waits for an endpoint.  */
static void
test_request_crashes_workers_after_waiting (void)
{
  struct site_call *call;

  start_crashing_site (1);
  set_draining (true);
  CU_ASSERT_TRUE (site_run (&site, is_drain_known, 2000));
  call = site_start_call (&site, "GET", "/safe/crash", "k1", NULL);
  CU_ASSERT_TRUE_FATAL (site_run (&site, is_waiting, 1000));
  receive_crashes (site.edge->requests->subjects[0]);
  set_draining (false);
  while (!call->is_done)
    tevent_loop_once (site.events);
  CU_ASSERT_EQUAL (site.crash_count, 0);
  CU_ASSERT_EQUAL (call->status, 503);
  /* The caller is told when the evidence expires.  */
  CU_ASSERT_PTR_NOT_NULL_FATAL (call->retry_after);
  CU_ASSERT_TRUE (atof (call->retry_after) > MIN_RETENTION_S);
  site_finish (&site);
}

/* A worker whose streams have neither a length nor chunks, and end with their
   connection inside an event.  */
struct raw_worker
{
  struct tevent_fd *event;
  int listen_fd;
  uint32_t request_count;
};

struct raw_connection
{
  struct raw_worker *worker;
  int fd;
};

static void
break_off_stream (struct tevent_context *events, struct tevent_fd *event,
                  uint16_t flags, void *ctx)
{
  struct raw_connection *connection = ctx;
  const struct bd_header_names *names = bd_platform_adapter.headers;
  char request[4096];
  char response[512];
  char id[64] = "";
  ssize_t received
      = recv (connection->fd, request, sizeof request - 1, MSG_DONTWAIT);
  const char *header;

  (void)events;
  (void)event;
  (void)flags;
  if (received > 0)
    {
      request[received] = '\0';
      header = strstr (request, names->attempt_id);
      if (header != NULL)
        sscanf (header + strlen (names->attempt_id), ": %63s", id);
      snprintf (response, sizeof response,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "%s: %s\r\n%s: raw\r\n\r\n"
                "id: 1\ndata: e1\n\nid: 2\nda",
                names->attempt_id, id, names->response_seal);
      connection->worker->request_count++;
      send (connection->fd, response, strlen (response), MSG_NOSIGNAL);
    }
  close (connection->fd);
  talloc_free (connection);
}

static void
accept_raw (struct tevent_context *events, struct tevent_fd *event,
            uint16_t flags, void *ctx)
{
  struct raw_worker *worker = ctx;
  struct raw_connection *connection
      = talloc_zero (events, struct raw_connection);

  (void)event;
  (void)flags;
  connection->worker = worker;
  connection->fd = accept (worker->listen_fd, NULL, NULL);
  tevent_add_fd (events, connection, connection->fd, TEVENT_FD_READ,
                 break_off_stream, connection);
}

static void
start_raw_worker (struct raw_worker *worker, uint32_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int on = 1;

  worker->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (worker->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  inet_pton (AF_INET, loopback_address (), &address.sin_addr);
  CU_ASSERT_EQUAL (
      bind (worker->listen_fd, (struct sockaddr *)&address, sizeof address),
      0);
  CU_ASSERT_EQUAL (listen (worker->listen_fd, 8), 0);
  worker->event = tevent_add_fd (site.events, site.events, worker->listen_fd,
                                 TEVENT_FD_READ, accept_raw, worker);
}

static void
test_request_breaks_off_streams_inside_events (void)
{
  struct raw_worker raw[RAW_WORKERS] = { { 0 } };
  uint32_t requests = 0;

  site_start (&site, RAW_WORKERS, 0);
  for (uint32_t i = 0; i < RAW_WORKERS; i++)
    {
      start_raw_worker (&raw[i], RAW_PORT + i);
      site.workers[i].port = RAW_PORT + i;
      site_list_worker (&site.workers[i]);
    }
  CU_ASSERT_TRUE (site_run (&site, site_is_ready, 5000));
  site_wait (&site, SETTLE_MS);
  for (uint32_t i = 0; i < REPEATS; i++)
    talloc_free (site_call (&site, "GET", "/safe/crash", "k1", NULL));
  for (uint32_t i = 0; i < RAW_WORKERS; i++)
    {
      requests += raw[i].request_count;
      talloc_free (raw[i].event);
      close (raw[i].listen_fd);
    }
  CU_ASSERT_TRUE (requests > 0);
  CU_ASSERT_TRUE (requests <= MAX_CRASHES);
  site_finish (&site);
}

/* Sends a stream whose prompt consists of a part that all share, a part, and a
   part of its own.  Returns whether it was served.  */
static bool
send_prompt (const char *part)
{
  static uint32_t serial;
  char target[64];
  char parts[128];
  struct site_call *call;
  bool is_success;

  snprintf (target, sizeof target, "/stream/%u", ++serial);
  snprintf (parts, sizeof parts, "a0:40,%s:100,c%u:50", part, serial);
  site.prompt_parts = parts;
  call = site_call (&site, "POST", target, "k1", "m");
  is_success = call->status == 200 && call->is_complete;
  talloc_free (call);
  site.prompt_parts = NULL;
  return is_success;
}

/* Requests with a part crash workers, no two alike; sound ones share their
   account, route and first part.  */
static void
test_part_of_prompts_crashes_workers (void)
{
  uint32_t served = 0;

  site_start (&site, 0, POOL_WORKERS);
  CU_ASSERT_TRUE (site_run (&site, site_has_groups, 10000));
  site.crashing_text = "bad";
  site.crash_delay_ms = CRASH_DELAY_MS;
  for (uint32_t i = 0; i < PROMPTS; i++)
    {
      char part[16];

      snprintf (part, sizeof part, "b%u", i);
      send_prompt ("bad");
      site_wait (&site, SETTLE_MS);
      served += send_prompt (part);
    }
  CU_ASSERT_TRUE (site.crash_count <= MAX_PART_CRASHES);
  CU_ASSERT_TRUE (served >= PROMPTS / 2);
  site_finish (&site);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "request crashes workers on kept connections",
      test_request_crashes_workers_on_kept_connections },
    { "request crashes workers at once",
      test_request_crashes_workers_at_once },
    { "request crashes one worker again and again",
      test_request_crashes_one_worker_again_and_again },
    { "request with another query crashes workers",
      test_request_with_another_query_crashes_workers },
    { "request crashes workers at a new daemon",
      test_request_crashes_workers_at_a_new_daemon },
    { "request crashes workers after waiting",
      test_request_crashes_workers_after_waiting },
    { "request breaks off streams inside events",
      test_request_breaks_off_streams_inside_events },
    { "part of prompts crashes workers",
      test_part_of_prompts_crashes_workers },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_crashes", tests);
}

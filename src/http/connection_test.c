/* Tests on sockets of how callers' connections end: by time-outs, at a stop,
   and with the server.

   The tests call bd_http_connection_check() with times of their own, so that
   the moment of a check is certain.  */

#include "base/clock.h"
#include "base/timer.h"
#include "http/http_internal.h"
#include "tests/loopback.h"
#include "tests/unit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  SERVER_PORT = 25090,
  MAX_CONNECTIONS = 8,
  MAX_BODY_BYTES = 1 << 20,
  LONG_MS = 60000,
  SHORT_MS = 1000,
  TINY_MS = 10,
  /* More than the buffers of both sockets hold.  */
  LARGE_BYTES = 32 << 20,
  TAKEN_BYTES = 4 << 20,
  /* As much as the buffers of both sockets hold, and a little more.  */
  CLOSING_BYTES = 3 << 20,
  TALLOC_BYTES = 256 << 20, /* At once, at most.  */
  STEP_MS = 100,
  SETTLE_MS = 100,
  WAIT_MS = 5000,
  ROUND_MS = 5
};

static const char request_text[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/* A server whose handler keeps the requests until the test responds.  */
struct fixture
{
  struct tevent_context *events;
  struct bd_http_server server;
  struct bd_http_exchange *exchange; /* The last request.  */
  uint32_t request_count;
  uint32_t disconnect_count;
  int other_fd;
};

static size_t
max_body (void *ctx, const char *path)
{
  (void)ctx;
  (void)path;
  return MAX_BODY_BYTES;
}

static void
handle_request (void *ctx, struct bd_http_exchange *x)
{
  struct fixture *f = ctx;

  f->exchange = x;
  f->request_count++;
}

static void
handle_disconnect (void *ctx, struct bd_http_exchange *x)
{
  struct fixture *f = ctx;

  (void)x;
  f->exchange = NULL;
  f->disconnect_count++;
}

static void
ignore (void *ctx, struct bd_http_exchange *x)
{
  (void)ctx;
  (void)x;
}

static const struct bd_http_server_ops ops
    = { max_body, handle_request, handle_disconnect, ignore };

static void
keep_loop_awake (void *ctx)
{
  bd_timer_add (ctx, ctx, ROUND_MS, keep_loop_awake, ctx);
}

static void
start (struct fixture *f, uint32_t idle_timeout_ms)
{
  memset (f, 0, sizeof *f);
  f->events = tevent_context_init (NULL);
  keep_loop_awake (f->events);
  CU_ASSERT_TRUE_FATAL (bd_http_server_init (&f->server, f->events,
                                             loopback_address (), SERVER_PORT,
                                             MAX_CONNECTIONS, &ops, f));
  bd_http_server_set_timeouts (&f->server, idle_timeout_ms, idle_timeout_ms);
}

static void
finish (struct fixture *f)
{
  bd_http_server_finish (&f->server);
  talloc_free (f->events);
}

static int64_t
get_now_ms (void)
{
  struct bd_clock clock = bd_clock_system ();

  return bd_clock_now_ms (&clock);
}

static int
connect_caller (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (SERVER_PORT) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, loopback_address (), &address.sin_addr);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address),
                   0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
}

/* Runs the event loop until the handler has been called count times.  */
static bool
run_until_requests (struct fixture *f, uint32_t count)
{
  int64_t end_ms = get_now_ms () + WAIT_MS;

  while (f->request_count < count && get_now_ms () < end_ms)
    tevent_loop_once (f->events);
  return f->request_count >= count;
}

static bool
run_until_disconnect (struct fixture *f)
{
  int64_t end_ms = get_now_ms () + WAIT_MS;

  while (f->disconnect_count == 0 && get_now_ms () < end_ms)
    tevent_loop_once (f->events);
  return f->disconnect_count > 0;
}

/* Runs the event loop until the server has freed all connections.  */
static bool
run_until_freed (struct fixture *f)
{
  int64_t end_ms = get_now_ms () + WAIT_MS;

  while (f->server.connections != NULL && get_now_ms () < end_ms)
    tevent_loop_once (f->events);
  return f->server.connections == NULL;
}

static bool
run_until_phase (struct fixture *f, enum bd_http_phase phase)
{
  int64_t end_ms = get_now_ms () + WAIT_MS;

  while (
      (f->server.connections == NULL || f->server.connections->phase != phase)
      && get_now_ms () < end_ms)
    tevent_loop_once (f->events);
  return f->server.connections != NULL
         && f->server.connections->phase == phase;
}

/* Runs the event loop until text has been received.  */
static bool
receive_text (struct fixture *f, int fd, const char *text)
{
  char received[4096];
  size_t used = 0;
  int64_t end_ms = get_now_ms () + WAIT_MS;

  received[0] = '\0';
  while (strstr (received, text) == NULL && get_now_ms () < end_ms)
    {
      ssize_t count = recv (fd, received + used, sizeof received - used - 1,
                            MSG_DONTWAIT);

      if (count == 0)
        return false;
      used += count > 0 ? (size_t)count : 0;
      received[used] = '\0';
      if (count < 0)
        tevent_loop_once (f->events);
    }
  return strstr (received, text) != NULL;
}

/* A caller whose request the handler holds.  */
static int
begin_request (struct fixture *f)
{
  int fd = connect_caller ();

  send_text (fd, request_text);
  CU_ASSERT_TRUE_FATAL (run_until_requests (f, f->request_count + 1));
  tevent_loop_once (f->events);
  return fd;
}

/* The connection is checked between the call of bd_http_respond() and the
   write.  */
static void
test_check_before_response_is_written (void)
{
  struct fixture f;
  struct bd_http_connection *c;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  c = f.server.connections;
  bd_http_connection_check (c, c->deadline_ms);
  CU_ASSERT_NOT_EQUAL (c->phase, BD_HTTP_ENDING);
  bd_http_respond_text (f.exchange, 200, "text/plain", "whole");
  for (uint32_t i = 0; i <= 2 * LONG_MS / STEP_MS; i++)
    bd_http_connection_check (c, c->since_ms + (int64_t)i * STEP_MS);
  CU_ASSERT_NOT_EQUAL (c->phase, BD_HTTP_ENDING);
  CU_ASSERT_TRUE (receive_text (&f, fd, "whole"));
  CU_ASSERT_EQUAL (f.disconnect_count, 0);
  close (fd);
  finish (&f);
}

/* The same within a stream that was silent for an idle time-out.  */
static void
test_check_before_stream_is_written (void)
{
  struct fixture f;
  struct bd_http_connection *c;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  c = f.server.connections;
  bd_http_stream_begin (f.exchange, 200, NULL);
  bd_http_stream_write (f.exchange, "first", 5);
  CU_ASSERT_TRUE (receive_text (&f, fd, "first"));
  tevent_loop_once (f.events);
  bd_http_connection_check (c, c->since_ms + LONG_MS);
  bd_http_connection_check (c, c->since_ms + 2 * LONG_MS);
  CU_ASSERT_NOT_EQUAL (c->phase, BD_HTTP_ENDING);
  bd_http_stream_write (f.exchange, "second", 6);
  bd_http_connection_check (c, c->since_ms + 3 * LONG_MS);
  CU_ASSERT_NOT_EQUAL (c->phase, BD_HTTP_ENDING);
  CU_ASSERT_TRUE (receive_text (&f, fd, "second"));
  CU_ASSERT_EQUAL (f.disconnect_count, 0);
  close (fd);
  finish (&f);
}

static void
fill_stream (struct fixture *f)
{
  static char block[64 * 1024];
  int64_t end_ms = get_now_ms () + SHORT_MS;

  for (size_t sent = 0; sent < LARGE_BYTES; sent += sizeof block)
    bd_http_stream_write (f->exchange, block, sizeof block);
  while (get_now_ms () < end_ms)
    tevent_loop_once (f->events);
}

/* Checks the connection as the sweep does.  Returns the time after which it
   was ended, or -1 if it lasted until limit_ms.  */
static int64_t
end_delay_ms (struct bd_http_connection *c, int64_t start_ms, int64_t limit_ms)
{
  for (int64_t after_ms = 0; after_ms <= limit_ms; after_ms += STEP_MS)
    {
      bd_http_connection_check (c, start_ms + after_ms);
      if (c->phase == BD_HTTP_ENDING)
        return after_ms;
    }
  return -1;
}

/* A caller that takes nothing of its response for an idle time-out loses its
   connection, and not before.  */
static void
test_unread_response_ends (void)
{
  struct fixture f;
  struct bd_http_connection *c;
  int64_t after_ms;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  c = f.server.connections;
  bd_http_stream_begin (f.exchange, 200, NULL);
  fill_stream (&f);
  after_ms = end_delay_ms (c, get_now_ms (), 2 * LONG_MS);
  CU_ASSERT_TRUE (after_ms >= LONG_MS && after_ms <= LONG_MS + LONG_MS / 2);
  CU_ASSERT_TRUE (run_until_disconnect (&f));
  close (fd);
  finish (&f);
}

/* Bytes of the response of which the server knows that they have arrived.  */
static uint64_t
bytes_acked (const struct fixture *f)
{
  struct tcp_info info;

  bd_http_get_tcp_info (f->server.connections->fd, &info);
  return info.tcpi_bytes_acked;
}

/* Waits until the kernel, which is slow on a busy machine, sends and
   acknowledges no more.  */
static void
settle (struct fixture *f)
{
  uint64_t acked;

  do
    {
      int64_t end_ms = get_now_ms () + SETTLE_MS;

      acked = bytes_acked (f);
      while (get_now_ms () < end_ms)
        tevent_loop_once (f->events);
    }
  while (bytes_acked (f) != acked);
}

/* The caller reads a part of the response.  */
static void
take_bytes (struct fixture *f, int fd)
{
  static char block[64 * 1024];
  size_t taken = 0;

  while (taken < TAKEN_BYTES)
    {
      ssize_t count = recv (fd, block, sizeof block, MSG_DONTWAIT);

      CU_ASSERT_NOT_EQUAL_FATAL (count, 0);
      taken += count > 0 ? (size_t)count : 0;
      tevent_loop_once (f->events);
    }
  settle (f);
}

/* What a caller takes begins a new term.  */
static void
test_slowly_read_response_lasts (void)
{
  struct fixture f;
  struct bd_http_connection *c;
  int64_t start_ms;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  c = f.server.connections;
  bd_http_stream_begin (f.exchange, 200, NULL);
  fill_stream (&f);
  start_ms = get_now_ms ();
  for (uint32_t i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (end_delay_ms (c, start_ms, LONG_MS - STEP_MS), -1);
      start_ms += LONG_MS - STEP_MS;
      take_bytes (&f, fd);
    }
  CU_ASSERT_EQUAL (f.disconnect_count, 0);
  close (fd);
  finish (&f);
}

/* A configuration with a lower idle time-out comes into force while a caller
   sends a body.  */
static void
test_body_keeps_its_idle_timeout (void)
{
  struct fixture f;
  struct bd_http_connection *c;
  int fd;

  start (&f, LONG_MS);
  fd = connect_caller ();
  send_text (fd, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n");
  CU_ASSERT_TRUE_FATAL (run_until_phase (&f, BD_HTTP_BODY));
  c = f.server.connections;
  bd_http_server_set_timeouts (&f.server, SHORT_MS, SHORT_MS);
  send_text (fd, "a");
  while (c->body_bytes == 0)
    tevent_loop_once (f.events);
  bd_http_connection_check (c, c->since_ms + LONG_MS / 2);
  CU_ASSERT_EQUAL (c->phase, BD_HTTP_BODY);
  send_text (fd, "b");
  CU_ASSERT_TRUE (run_until_requests (&f, 1));
  close (fd);
  finish (&f);
}

/* The same while a caller does not read its response.  */
static void
test_response_keeps_its_idle_timeout (void)
{
  struct fixture f;
  struct bd_http_connection *c;
  int64_t start_ms;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  c = f.server.connections;
  bd_http_stream_begin (f.exchange, 200, NULL);
  fill_stream (&f);
  start_ms = get_now_ms ();
  bd_http_server_set_timeouts (&f.server, SHORT_MS, SHORT_MS);
  CU_ASSERT_EQUAL (end_delay_ms (c, start_ms, LONG_MS - STEP_MS), -1);
  take_bytes (&f, fd);
  start_ms += LONG_MS - STEP_MS;
  CU_ASSERT_TRUE (end_delay_ms (c, start_ms, 2 * LONG_MS) >= LONG_MS);
  close (fd);
  finish (&f);
}

/* While it is not -1, the caller's socket on which crossing_text is sent at
   the moment of the server's shutdown().  */
static int crossing_fd = -1;
static const char *crossing_text;

int
shutdown (int fd, int how)
{
  int caller_fd = crossing_fd;

  crossing_fd = -1;
  if (caller_fd >= 0)
    send_text (caller_fd, crossing_text);
  return (int)syscall (SYS_shutdown, fd, how);
}

/* A caller whose first request has been answered.  */
static int
keep_connection (struct fixture *f)
{
  int fd = begin_request (f);

  bd_http_respond_text (f->exchange, 200, "text/plain", "first");
  CU_ASSERT_TRUE (receive_text (f, fd, "first"));
  CU_ASSERT_TRUE_FATAL (run_until_phase (f, BD_HTTP_IDLE));
  return fd;
}

/* Runs the event loop until the server has closed the connection.  */
static bool
run_until_closed (struct fixture *f, int fd)
{
  char byte;
  int64_t end_ms = get_now_ms () + WAIT_MS;

  while (get_now_ms () < end_ms)
    {
      ssize_t count = recv (fd, &byte, 1, MSG_DONTWAIT);

      if (count == 0 || (count < 0 && errno != EAGAIN))
        return true;
      tevent_loop_once (f->events);
    }
  return false;
}

/* Lets the connection be idle for an idle time-out.  */
static void
pass_idle_time (struct fixture *f, uint32_t idle_timeout_ms)
{
  struct bd_http_connection *c = f->server.connections;

  bd_http_server_set_timeouts (&f->server, 0, idle_timeout_ms);
  bd_http_connection_enter (c, BD_HTTP_IDLE);
  bd_http_connection_check (c, c->deadline_ms);
}

static void
end_by_idle_timeout (struct fixture *f)
{
  pass_idle_time (f, TINY_MS);
}

static void
end_by_close_idle (struct fixture *f)
{
  bd_http_server_close_idle (&f->server);
}

/* A request arrives at the moment at which its idle connection is shut down:
   no response can be sent, so it must not run.  */
static void
check_crossing_request (void (*end) (struct fixture *f))
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = keep_connection (&f);
  crossing_fd = fd;
  crossing_text = request_text;
  end (&f);
  CU_ASSERT_EQUAL (crossing_fd, -1);
  CU_ASSERT_TRUE (run_until_freed (&f));
  CU_ASSERT_EQUAL (f.request_count, 1);
  close (fd);
  finish (&f);
}

static void
test_request_crosses_idle_timeout (void)
{
  check_crossing_request (end_by_idle_timeout);
}

static void
test_request_crosses_close_idle (void)
{
  check_crossing_request (end_by_close_idle);
}

/* The rest of a request arrives after its 408.  */
static void
test_request_crosses_408 (void)
{
  struct fixture f;
  struct bd_http_connection *c;
  int fd;

  start (&f, LONG_MS);
  fd = connect_caller ();
  send_text (fd, "GET /x HTTP/1.1\r\n");
  CU_ASSERT_TRUE_FATAL (run_until_phase (&f, BD_HTTP_HEAD));
  c = f.server.connections;
  crossing_fd = fd;
  crossing_text = "Host: h\r\n\r\n";
  bd_http_connection_check (c, c->deadline_ms);
  CU_ASSERT_EQUAL (crossing_fd, -1);
  CU_ASSERT_TRUE (receive_text (&f, fd, "\"status\":408}\n"));
  CU_ASSERT_TRUE (run_until_freed (&f));
  CU_ASSERT_EQUAL (f.request_count, 0);
  close (fd);
  finish (&f);
}

/* The event loop was busy: a whole request waits in the socket when the idle
   time is over.  */
static void
check_waiting_request (uint32_t idle_timeout_ms)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = keep_connection (&f);
  send_text (fd, request_text);
  pass_idle_time (&f, idle_timeout_ms);
  CU_ASSERT_TRUE (run_until_requests (&f, 2));
  if (f.request_count == 2)
    {
      bd_http_respond_text (f.exchange, 200, "text/plain", "second");
      CU_ASSERT_TRUE (receive_text (&f, fd, "second"));
    }
  close (fd);
  finish (&f);
}

static void
test_waiting_request_is_served (void)
{
  check_waiting_request (LONG_MS);
  check_waiting_request (TINY_MS);
}

/* The same at a stop.  */
static void
test_waiting_request_outlasts_close_idle (void)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = keep_connection (&f);
  send_text (fd, request_text);
  bd_http_server_close_idle (&f.server);
  CU_ASSERT_TRUE (run_until_requests (&f, 2));
  bd_http_respond_text (f.exchange, 200, "text/plain", "second");
  CU_ASSERT_TRUE (receive_text (&f, fd, "second"));
  close (fd);
  finish (&f);
}

/* A response that began before a stop does not tell the caller of it.  */
static void
test_connection_idle_after_close_idle (void)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  bd_http_stream_begin (f.exchange, 200, NULL);
  bd_http_stream_write (f.exchange, "begun", 5);
  CU_ASSERT_TRUE (receive_text (&f, fd, "begun"));
  bd_http_server_close_idle (&f.server);
  bd_http_stream_write (f.exchange, "ended", 5);
  bd_http_stream_end (f.exchange, true);
  CU_ASSERT_TRUE (receive_text (&f, fd, "ended"));
  CU_ASSERT_TRUE (run_until_closed (&f, fd));
  CU_ASSERT_EQUAL (f.disconnect_count, 0);
  close (fd);
  finish (&f);
}

/* A connection on which nothing was ever sent.  */
static void
test_unused_connection_is_closed (void)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = connect_caller ();
  CU_ASSERT_TRUE_FATAL (run_until_phase (&f, BD_HTTP_FIRST_HEAD));
  bd_http_server_close_idle (&f.server);
  CU_ASSERT_TRUE (run_until_closed (&f, fd));
  close (fd);
  finish (&f);
}

/* A sweep after a stop finds that a caller has left within its first head.  */
static void
test_sweep_closes_left_partial_heads (void)
{
  struct fixture f;
  int fds[MAX_CONNECTIONS];

  start (&f, STEP_MS);
  for (uint32_t i = 0; i < MAX_CONNECTIONS; i++)
    {
      fds[i] = connect_caller ();
      send_text (fds[i], "GET /x HTTP/1.1\r\n");
      while (f.server.partial_heads <= i)
        tevent_loop_once (f.events);
    }
  bd_http_server_close_idle (&f.server);
  for (struct bd_http_connection *c = f.server.connections; c != NULL;
       c = c->next)
    {
      TALLOC_FREE (c->look_timer);
      c->deadline_ms = get_now_ms ();
    }
  for (uint32_t i = 0; i < MAX_CONNECTIONS; i++)
    shutdown (fds[i], SHUT_WR);
  CU_ASSERT_TRUE (run_until_freed (&f));
  CU_ASSERT_EQUAL (f.request_count, 0);
  for (uint32_t i = 0; i < MAX_CONNECTIONS; i++)
    close (fds[i]);
  finish (&f);
}

static const struct bd_http_header_field close_headers[]
    = { { "Connection", "close" }, { NULL, NULL } };

/* A second request follows the first one at once, whose response closes the
   connection.  */
static void
test_pipelined_behind_close (void)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = connect_caller ();
  send_text (fd, request_text);
  send_text (fd, request_text);
  CU_ASSERT_TRUE_FATAL (run_until_requests (&f, 1));
  bd_http_respond (f.exchange, 200, close_headers, "whole", 5);
  CU_ASSERT_TRUE (receive_text (&f, fd, "whole"));
  CU_ASSERT_TRUE (run_until_closed (&f, fd));
  CU_ASSERT_EQUAL (f.request_count, 1);
  close (fd);
  finish (&f);
}

static void
test_pipelined_behind_stream (void)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  bd_http_stream_begin (f.exchange, 200, NULL);
  bd_http_stream_write (f.exchange, "begun", 5);
  CU_ASSERT_TRUE (receive_text (&f, fd, "begun"));
  send_text (fd, request_text);
  for (uint32_t i = 0; i < 3; i++)
    tevent_loop_once (f.events);
  CU_ASSERT_EQUAL (f.request_count, 1);
  bd_http_stream_write (f.exchange, "ended", 5);
  bd_http_stream_end (f.exchange, true);
  CU_ASSERT_TRUE (receive_text (&f, fd, "ended"));
  CU_ASSERT_TRUE (run_until_requests (&f, 2));
  bd_http_respond_text (f.exchange, 200, "text/plain", "second");
  CU_ASSERT_TRUE (receive_text (&f, fd, "second"));
  close (fd);
  finish (&f);
}

/* A caller above the limit of open connections waits until one is closed.  */
static void
test_caller_above_limit (void)
{
  struct fixture f;
  int fds[MAX_CONNECTIONS];
  int fd;

  start (&f, LONG_MS);
  for (uint32_t i = 0; i < MAX_CONNECTIONS; i++)
    fds[i] = keep_connection (&f);
  fd = connect_caller ();
  send_text (fd, request_text);
  for (uint32_t i = 0; i < 10; i++)
    tevent_loop_once (f.events);
  CU_ASSERT_EQUAL (f.request_count, MAX_CONNECTIONS);
  close (fds[0]);
  CU_ASSERT_TRUE (run_until_requests (&f, MAX_CONNECTIONS + 1));
  if (f.request_count > MAX_CONNECTIONS)
    {
      bd_http_respond_text (f.exchange, 200, "text/plain", "above");
      CU_ASSERT_TRUE (receive_text (&f, fd, "above"));
    }
  for (uint32_t i = 1; i < MAX_CONNECTIONS; i++)
    close (fds[i]);
  close (fd);
  finish (&f);
}

/* Reads until the end of the connection.  Returns the number of bytes.  */
static size_t
count_bytes (int fd, size_t max_bytes)
{
  static char block[64 * 1024];
  size_t received = 0;
  ssize_t count;

  while (received < max_bytes
         && (count = recv (fd, block, sizeof block, 0)) > 0)
    received += (size_t)count;
  return received;
}

/* The server ends directly after a response.  */
static void
test_finish_sends_responses (void)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  bd_http_respond_text (f.exchange, 200, "text/plain", "whole");
  finish (&f);
  CU_ASSERT_TRUE (count_bytes (fd, 4096) > 0);
  close (fd);
}

/* The same with a response of which a part is in the socket.  */
static void
test_finish_keeps_incomplete_responses_incomplete (void)
{
  static char body[LARGE_BYTES];
  struct fixture f;
  size_t received;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  bd_http_respond (f.exchange, 200, NULL, body, sizeof body);
  for (uint32_t i = 0; i < 10; i++)
    tevent_loop_once (f.events);
  finish (&f);
  received = count_bytes (fd, 2 * sizeof body);
  CU_ASSERT_TRUE (received > 0 && received < sizeof body);
  close (fd);
}

static void
test_finish_ends_streams_as_incomplete (void)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  bd_http_stream_begin (f.exchange, 200, NULL);
  bd_http_stream_write (f.exchange, "begun", 5);
  CU_ASSERT_TRUE (receive_text (&f, fd, "begun"));
  finish (&f);
  /* The last chunk of a complete stream has 5 bytes.  */
  CU_ASSERT_TRUE (count_bytes (fd, 4096) < 5);
  close (fd);
}

/* A handler stops the server's listening while it handles a request and
   another caller connects, and keeps the request.  */
static void
stop_listening_and_keep (void *ctx, struct bd_http_exchange *x)
{
  struct fixture *f = ctx;
  bool is_first = f->request_count == 0;

  handle_request (ctx, x);
  if (!is_first)
    {
      bd_http_respond_text (x, 200, "text/plain", "other");
      return;
    }
  f->other_fd = connect_caller ();
  send_text (f->other_fd, request_text);
  bd_http_server_stop_listening (x->server);
}

static void
stop_listening_and_abort (void *ctx, struct bd_http_exchange *x)
{
  bool is_first = ((struct fixture *)ctx)->request_count == 0;

  stop_listening_and_keep (ctx, x);
  if (is_first)
    bd_http_abort (x);
}

static const struct bd_http_server_ops keeping_ops
    = { max_body, stop_listening_and_keep, handle_disconnect, ignore };
static const struct bd_http_server_ops aborting_ops
    = { max_body, stop_listening_and_abort, handle_disconnect, ignore };

static void
check_stop_in_handler (const struct bd_http_server_ops *handler_ops)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  f.server.ops = handler_ops;
  fd = connect_caller ();
  send_text (fd, request_text);
  CU_ASSERT_TRUE (run_until_requests (&f, 2));
  CU_ASSERT_TRUE (receive_text (&f, f.other_fd, "other"));
  close (f.other_fd);
  close (fd);
  CU_ASSERT_TRUE (run_until_freed (&f));
  finish (&f);
}

static void
test_handler_stops_listening (void)
{
  check_stop_in_handler (&keeping_ops);
}

static void
test_handler_stops_listening_and_aborts (void)
{
  check_stop_in_handler (&aborting_ops);
}

/* The number of the closed listening socket is used again.  */
static void
test_second_stop_closes_no_other_socket (void)
{
  struct fixture f;
  int listen_fd;
  int fd;

  start (&f, LONG_MS);
  listen_fd = f.server.listen_fd;
  bd_http_server_stop_listening (&f.server);
  fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL (dup2 (fd, listen_fd), listen_fd);
  bd_http_server_stop_listening (&f.server);
  CU_ASSERT_TRUE (fcntl (listen_fd, F_GETFD) >= 0);
  if (fd != listen_fd)
    close (fd);
  finish (&f);
  CU_ASSERT_TRUE (fcntl (listen_fd, F_GETFD) >= 0);
  close (listen_fd);
}

static void
respond (void *ctx, struct bd_http_exchange *x)
{
  handle_request (ctx, x);
  bd_http_respond_text (x, 200, "text/plain", "whole");
}

static const struct bd_http_server_ops responding_ops
    = { max_body, respond, handle_disconnect, ignore };

/* Responses of a server that stops tell their callers to use another
   connection.  */
static void
test_responses_announce_the_close (void)
{
  struct fixture f;
  int fd;

  start (&f, LONG_MS);
  fd = begin_request (&f);
  bd_http_server_announce_close (&f.server);
  bd_http_respond_text (f.exchange, 200, "text/plain", "whole");
  CU_ASSERT_TRUE (receive_text (&f, fd, "Connection: close\r\n"));
  CU_ASSERT_TRUE (run_until_freed (&f));
  close (fd);
  fd = begin_request (&f);
  bd_http_stream_begin (f.exchange, 200, close_headers);
  CU_ASSERT_TRUE (receive_text (&f, fd, "Connection: close\r\n"));
  bd_http_stream_end (f.exchange, true);
  CU_ASSERT_TRUE (run_until_freed (&f));
  close (fd);
  finish (&f);
}

/* A server that is stopped and finished as soon as it is idle handles the
   requests that wait in its sockets by then.  */
static void
test_stopped_server_reads_waiting_requests (void)
{
  struct fixture f;
  int kept_fd;
  int new_fd;

  start (&f, LONG_MS);
  kept_fd = keep_connection (&f);
  send_text (kept_fd, request_text);
  new_fd = connect_caller ();
  send_text (new_fd, request_text);
  f.server.ops = &responding_ops;
  bd_http_server_stop_listening (&f.server);
  bd_http_server_close_idle (&f.server);
  while (!bd_http_server_is_idle (&f.server))
    tevent_loop_once (f.events);
  finish (&f);
  CU_ASSERT_TRUE (count_bytes (kept_fd, 4096) > 0);
  CU_ASSERT_TRUE (count_bytes (new_fd, 4096) > 0);
  close (kept_fd);
  close (new_fd);
}

/* Takes the response in small parts, and stops at the end of the connection,
   or when the server has freed it if until_freed.  Adds the bytes to *taken.
   Returns whether the connection ended in order.  */
static bool
take_response (struct fixture *f, int fd, bool until_freed, size_t *taken)
{
  static char part[16 * 1024];
  int64_t end_ms = get_now_ms () + WAIT_MS;

  while (get_now_ms () < end_ms
         && (!until_freed || f->server.connections != NULL))
    {
      ssize_t count = recv (fd, part, sizeof part, MSG_DONTWAIT);

      if (count == 0 || (count < 0 && errno != EAGAIN))
        return count == 0;
      *taken += count > 0 ? (size_t)count : 0;
      tevent_loop_once (f->events);
    }
  return false;
}

/* A caller with a response that closes its connection, of which it has taken
   nothing yet.  */
static int
begin_closing_response (struct fixture *f)
{
  static char body[CLOSING_BYTES];
  int64_t end_ms = get_now_ms () + WAIT_MS;
  char byte;
  int fd = begin_request (f);

  bd_http_respond (f->exchange, 200, close_headers, body, sizeof body);
  while (recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && get_now_ms () < end_ms)
    tevent_loop_once (f->events);
  return fd;
}

/* The end of a connection resets it if something that the caller has sent was
   not read, and the rest of the response is lost.  */
static void
test_caller_sends_during_closing_response (void)
{
  struct fixture f;
  size_t taken = 0;
  int fd;

  start (&f, LONG_MS);
  fd = begin_closing_response (&f);
  send_text (fd, request_text);
  CU_ASSERT_TRUE (take_response (&f, fd, false, &taken));
  CU_ASSERT_TRUE (taken > CLOSING_BYTES);
  CU_ASSERT_EQUAL (f.request_count, 1);
  close (fd);
  finish (&f);
}

/* The same with what it sends once all of the response is in the socket.  */
static void
test_caller_sends_after_closing_response (void)
{
  struct fixture f;
  size_t taken = 0;
  int fd;

  start (&f, LONG_MS);
  fd = begin_closing_response (&f);
  take_response (&f, fd, true, &taken);
  CU_ASSERT_PTR_NULL (f.server.connections);
  CU_ASSERT_TRUE (taken < CLOSING_BYTES);
  CU_ASSERT_FALSE (bd_http_server_is_idle (&f.server));
  send_text (fd, request_text);
  CU_ASSERT_TRUE (take_response (&f, fd, false, &taken));
  CU_ASSERT_TRUE (taken > CLOSING_BYTES);
  CU_ASSERT_EQUAL (f.request_count, 1);
  close (fd);
  finish (&f);
}

/* A caller that has been answered, and whose connection the server has closed.
 */
static int
linger (struct fixture *f)
{
  int fd = begin_request (f);

  bd_http_respond (f->exchange, 200, close_headers, "whole", 5);
  CU_ASSERT_TRUE (receive_text (f, fd, "whole"));
  CU_ASSERT_TRUE (run_until_freed (f));
  CU_ASSERT_EQUAL (f->server.lingering_count, 1);
  return fd;
}

/* A caller keeps its end open for good.  */
static void
test_lingering_ends (void)
{
  struct fixture f;
  int64_t now_ms;
  int fd;

  start (&f, LONG_MS);
  fd = linger (&f);
  now_ms = get_now_ms ();
  bd_http_linger_check (&f.server, now_ms);
  CU_ASSERT_EQUAL (f.server.lingering_count, 1);
  bd_http_linger_check (&f.server, now_ms + LONG_MS);
  CU_ASSERT_EQUAL (f.server.lingering_count, 0);
  close (fd);
  fd = linger (&f);
  finish (&f);
  CU_ASSERT_EQUAL (f.server.lingering_count, 0);
  close (fd);
}

/* A caller sends without end.  */
static void
test_lingering_reads_are_bounded (void)
{
  static char part[64 * 1024];
  struct fixture f;
  size_t sent = 0;
  ssize_t count = 0;
  int fd;

  start (&f, LONG_MS);
  fd = linger (&f);
  while (sent < 2 * LARGE_BYTES && (count >= 0 || errno == EAGAIN))
    {
      count = send (fd, part, sizeof part, MSG_NOSIGNAL | MSG_DONTWAIT);
      sent += count > 0 ? (size_t)count : 0;
      tevent_loop_once (f.events);
    }
  CU_ASSERT_TRUE (sent < LARGE_BYTES);
  CU_ASSERT_EQUAL (f.server.lingering_count, 0);
  close (fd);
  finish (&f);
}

/* A body that is too large is refused before it has been sent.  */
static void
test_caller_sends_on_after_413 (void)
{
  static char part[64 * 1024];
  struct fixture f;
  char response[16];
  int64_t end_ms;
  int fd;

  start (&f, LONG_MS);
  fd = connect_caller ();
  send_text (fd, "POST /x HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 2097152\r\n\r\n");
  end_ms = get_now_ms () + WAIT_MS;
  for (size_t sent = 0; sent < 2 * MAX_BODY_BYTES && get_now_ms () < end_ms;)
    {
      ssize_t count
          = send (fd, part, sizeof part, MSG_NOSIGNAL | MSG_DONTWAIT);

      CU_ASSERT_TRUE_FATAL (count > 0 || errno == EAGAIN);
      sent += count > 0 ? (size_t)count : 0;
      tevent_loop_once (f.events);
    }
  CU_ASSERT_TRUE (recv (fd, response, sizeof response, MSG_DONTWAIT) > 12);
  CU_ASSERT_EQUAL (strncmp (response, "HTTP/1.1 413", 12), 0);
  CU_ASSERT_EQUAL (f.request_count, 0);
  close (fd);
  finish (&f);
}

enum
{
  FLOOD_PART_BYTES = 32 * 1024,
  FLOOD_MAX_BYTES = 16 << 20,
  OTHER_PERIOD = 16 /* Parts between requests of another caller.  */
};

/* Sends head, and then part without end.  Returns the number of bytes until
   the server has ended the connection.  Other callers are served.  */
static size_t
flood (struct fixture *f, const char *head, const char *part, int *fd)
{
  size_t size = strlen (part);
  size_t offset = 0;
  size_t sent = 0;
  uint32_t parts = 0;
  ssize_t count = 0;
  int64_t end_ms = get_now_ms () + WAIT_MS;

  *fd = connect_caller ();
  while (f->server.connections == NULL && get_now_ms () < end_ms)
    tevent_loop_once (f->events);
  send_text (*fd, head);
  while (sent < FLOOD_MAX_BYTES && get_now_ms () < end_ms
         && (count >= 0 || errno == EAGAIN))
    {
      if (f->server.connections == NULL)
        break;
      count = send (*fd, part + offset, size - offset,
                    MSG_NOSIGNAL | MSG_DONTWAIT);
      sent += count > 0 ? (size_t)count : 0;
      offset = (offset + (count > 0 ? (size_t)count : 0)) % size;
      if (++parts % OTHER_PERIOD == 0)
        {
          int other = begin_request (f);

          bd_http_respond_text (f->exchange, 200, "text/plain", "ok");
          CU_ASSERT_TRUE (receive_text (f, other, "HTTP/1.1 200"));
          close (other);
        }
      tevent_loop_once (f->events);
    }
  return sent;
}

#define CHUNKED_HEAD                                                          \
  "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

static char *
repeat (const char *unit)
{
  char *part = talloc_array (NULL, char, FLOOD_PART_BYTES + 256);
  size_t size = strlen (unit);
  size_t used = 0;

  for (; used + size < FLOOD_PART_BYTES; used += size)
    memcpy (part + used, unit, size);
  part[used] = '\0';
  return part;
}

/* A caller sends the part without end; its connection must end, if status is
   not NULL with this status line.  */
static void
check_flood (const char *head, const char *unit, int64_t timeout_ms,
             const char *status)
{
  struct fixture f;
  char *part = repeat (unit);
  size_t sent;
  int fd;

  start (&f, timeout_ms);
  sent = flood (&f, head, part, &fd);
  fprintf (stderr, "  %zu KiB sent until the end\n", sent / 1024);
  CU_ASSERT_TRUE (sent < FLOOD_MAX_BYTES);
  CU_ASSERT_TRUE (f.server.connections == NULL);
  if (status != NULL)
    CU_ASSERT_TRUE (receive_text (&f, fd, status));
  close (fd);
  finish (&f);
  talloc_free (part);
}

static void
test_endless_body_ends (void)
{
  char unit[1024 + 8];

  memset (unit, 'a', sizeof unit);
  memcpy (unit, "400\r\n", 5);
  memcpy (unit + 5 + 1024, "\r\n", 3);
  check_flood (CHUNKED_HEAD, unit, LONG_MS, "HTTP/1.1 413");
}

static void
test_endless_small_chunks_end (void)
{
  check_flood (CHUNKED_HEAD, "1\r\na\r\n", LONG_MS, "HTTP/1.1 413");
}

static void
test_endless_trailers_end (void)
{
  check_flood (CHUNKED_HEAD "0\r\n", "T: trailer\r\n", LONG_MS, NULL);
}

static void
test_endless_chunk_extension_ends (void)
{
  check_flood (CHUNKED_HEAD "1;", "extension", SHORT_MS, NULL);
}

static void
test_endless_headers_end (void)
{
  check_flood ("GET /x HTTP/1.1\r\nHost: h\r\n", "H: header\r\n", LONG_MS,
               NULL);
}

static void
test_endless_request_line_ends (void)
{
  check_flood ("GET /", "path", LONG_MS, NULL);
}

enum
{
  ACCOUNT_BYTES = 256 * 1024,
  PIECE_BYTES = 8 * 1024
};

static void
start_with_account (struct fixture *f, struct bd_memory *memory)
{
  start (f, LONG_MS);
  bd_memory_init (memory, ACCOUNT_BYTES);
  bd_http_server_set_memory (&f->server, memory, NULL);
}

static void
serve_other (struct fixture *f)
{
  int fd = begin_request (f);

  bd_http_respond_text (f->exchange, 200, "text/plain", "ok");
  CU_ASSERT_TRUE (receive_text (f, fd, "HTTP/1.1 200"));
  close (fd);
}

/* The bytes of all open exchanges' bodies and buffers.  */
static size_t
get_held_bytes (const struct fixture *f)
{
  size_t bytes = 0;

  for (const struct bd_http_exchange *x = f->server.exchanges; x != NULL;
       x = x->next)
    bytes += x->body_size + x->buffer_size;
  return bytes;
}

/* Callers that each send a body within the limit, piece by piece.  */
static void
test_sum_of_bodies_is_bounded (void)
{
  static char piece[PIECE_BYTES];
  struct fixture f;
  struct bd_memory memory;
  int fds[MAX_CONNECTIONS - 1];
  size_t peak = 0;
  uint32_t refused = 0;

  start_with_account (&f, &memory);
  memset (piece, 'a', sizeof piece);
  for (uint32_t i = 0; i < MAX_CONNECTIONS - 1; i++)
    {
      fds[i] = connect_caller ();
      send_text (fds[i], "POST /x HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 1000000\r\n\r\n");
    }
  for (uint32_t round = 0; round < MAX_BODY_BYTES / PIECE_BYTES / 2; round++)
    {
      for (uint32_t i = 0; i < MAX_CONNECTIONS - 1; i++)
        (void)!send (fds[i], piece, sizeof piece, MSG_NOSIGNAL | MSG_DONTWAIT);
      for (uint32_t i = 0; i < 4; i++)
        tevent_loop_once (f.events);
      peak = get_held_bytes (&f) > peak ? get_held_bytes (&f) : peak;
      if (round % OTHER_PERIOD == 0)
        serve_other (&f);
    }
  for (uint32_t i = 0; i < MAX_CONNECTIONS - 1; i++)
    {
      char response[64] = "";

      if (recv (fds[i], response, sizeof response - 1, MSG_DONTWAIT) > 0)
        refused += strncmp (response, "HTTP/1.1 503", 12) == 0;
      close (fds[i]);
    }
  fprintf (stderr, "  at most %zu KiB held, %u of %u refused\n", peak / 1024,
           refused, MAX_CONNECTIONS - 1);
  CU_ASSERT_TRUE (peak <= ACCOUNT_BYTES + 4 * PIECE_BYTES);
  CU_ASSERT_TRUE (refused > 0);
  CU_ASSERT_TRUE (run_until_freed (&f));
  CU_ASSERT_EQUAL (memory.used_bytes, 0);
  finish (&f);
}

/* A caller reads nothing of a stream whose sender does not wait.  */
static void
test_unread_stream_is_bounded (void)
{
  static char piece[PIECE_BYTES];
  struct fixture f;
  struct bd_memory memory;
  size_t peak = 0;
  size_t sent = 0;
  int fd;

  start_with_account (&f, &memory);
  fd = begin_request (&f);
  bd_http_stream_begin (f.exchange, 200, NULL);
  while (f.disconnect_count == 0 && sent < LARGE_BYTES)
    {
      bd_http_stream_write (f.exchange, piece, sizeof piece);
      sent += sizeof piece;
      peak = get_held_bytes (&f) > peak ? get_held_bytes (&f) : peak;
      tevent_loop_once (f.events);
    }
  fprintf (stderr, "  at most %zu KiB held\n", peak / 1024);
  CU_ASSERT_TRUE (peak <= 2 * ACCOUNT_BYTES);
  CU_ASSERT_EQUAL (f.disconnect_count, 1);
  CU_ASSERT_TRUE (run_until_freed (&f));
  CU_ASSERT_EQUAL (memory.used_bytes, 0);
  serve_other (&f);
  close (fd);
  finish (&f);
}

/* Callers read nothing of whole responses.  */
static void
test_unread_responses_are_bounded (void)
{
  static char body[ACCOUNT_BYTES / 2];
  struct fixture f;
  struct bd_memory memory;
  int fds[MAX_CONNECTIONS - 1];
  int size = 4096;

  start_with_account (&f, &memory);
  for (uint32_t i = 0; i < MAX_CONNECTIONS - 1; i++)
    {
      fds[i] = begin_request (&f);
      setsockopt (f.server.connections->fd, SOL_SOCKET, SO_SNDBUF, &size,
                  sizeof size);
      setsockopt (fds[i], SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
      bd_http_respond (f.exchange, 200, NULL, body, sizeof body);
      tevent_loop_once (f.events);
      CU_ASSERT_TRUE (memory.used_bytes <= ACCOUNT_BYTES);
    }
  serve_other (&f);
  fprintf (stderr, "  %u of %u responses ended\n", (unsigned)memory.evictions,
           MAX_CONNECTIONS - 1);
  CU_ASSERT_TRUE (memory.evictions > 0);
  CU_ASSERT_EQUAL (f.disconnect_count, memory.evictions);
  for (uint32_t i = 0; i < MAX_CONNECTIONS - 1; i++)
    close (fds[i]);
  CU_ASSERT_TRUE (run_until_freed (&f));
  CU_ASSERT_EQUAL (memory.used_bytes, 0);
  finish (&f);
}

/* The limit of the configuration is higher than what talloc allocates, and
   the caller has sent almost that much.  */
static void
test_body_beyond_allocation_is_refused (void)
{
  struct fixture f;
  struct bd_http_exchange *x;
  int fd;

  start (&f, LONG_MS);
  fd = connect_caller ();
  send_text (fd, "POST /x HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 1000000\r\n\r\n");
  CU_ASSERT_TRUE_FATAL (run_until_phase (&f, BD_HTTP_BODY));
  x = f.server.exchanges;
  x->max_body_bytes = 2 * TALLOC_BYTES;
  x->body_size = TALLOC_BYTES - 1;
  send_text (fd, "more");
  CU_ASSERT_TRUE (receive_text (&f, fd, "\"status\":503}\n"));
  CU_ASSERT_EQUAL (f.request_count, 0);
  close (fd);
  CU_ASSERT_TRUE (run_until_freed (&f));
  finish (&f);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "check before a response is written",
      test_check_before_response_is_written },
    { "check before a stream is written",
      test_check_before_stream_is_written },
    { "an unread response ends", test_unread_response_ends },
    { "a slowly read response lasts", test_slowly_read_response_lasts },
    { "a body keeps its idle time-out", test_body_keeps_its_idle_timeout },
    { "a response keeps its idle time-out",
      test_response_keeps_its_idle_timeout },
    { "a request crosses an idle time-out",
      test_request_crosses_idle_timeout },
    { "a request crosses a close of idle connections",
      test_request_crosses_close_idle },
    { "a request crosses its 408", test_request_crosses_408 },
    { "a request that waits at the idle time-out is served",
      test_waiting_request_is_served },
    { "a request that waits at a close of idle connections is served",
      test_waiting_request_outlasts_close_idle },
    { "a connection that becomes idle after a stop is closed",
      test_connection_idle_after_close_idle },
    { "an unused connection is closed at a stop",
      test_unused_connection_is_closed },
    { "a sweep closes partial heads whose callers have left",
      test_sweep_closes_left_partial_heads },
    { "pipelined behind a response that closes", test_pipelined_behind_close },
    { "pipelined behind a stream", test_pipelined_behind_stream },
    { "a caller above the limit of connections", test_caller_above_limit },
    { "the end of a server sends responses", test_finish_sends_responses },
    { "the end of a server leaves partial responses incomplete",
      test_finish_keeps_incomplete_responses_incomplete },
    { "the end of a server leaves streams incomplete",
      test_finish_ends_streams_as_incomplete },
    { "a handler stops listening", test_handler_stops_listening },
    { "a handler stops listening and aborts",
      test_handler_stops_listening_and_aborts },
    { "a second stop closes no other socket",
      test_second_stop_closes_no_other_socket },
    { "responses announce the close", test_responses_announce_the_close },
    { "a stopped server reads waiting requests",
      test_stopped_server_reads_waiting_requests },
    { "a caller sends during a response that closes",
      test_caller_sends_during_closing_response },
    { "a caller sends after a response that closes",
      test_caller_sends_after_closing_response },
    { "a caller sends on after a 413", test_caller_sends_on_after_413 },
    { "a closed connection lingers for a bounded time", test_lingering_ends },
    { "a closed connection reads a bounded number of bytes",
      test_lingering_reads_are_bounded },
    { "a body without end ends", test_endless_body_ends },
    { "chunks of a byte without end end", test_endless_small_chunks_end },
    { "trailers without end end", test_endless_trailers_end },
    { "a chunk extension without end ends",
      test_endless_chunk_extension_ends },
    { "headers without end end", test_endless_headers_end },
    { "a request line without end ends", test_endless_request_line_ends },
    { "the sum of bodies is bounded", test_sum_of_bodies_is_bounded },
    { "an unread stream is bounded", test_unread_stream_is_bounded },
    { "unread responses are bounded", test_unread_responses_are_bounded },
    { "a body beyond an allocation is refused",
      test_body_beyond_allocation_is_refused }
  };

  return UNIT_RUN ("connection", tests);
}

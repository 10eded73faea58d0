/* Tests on sockets that the server rejects requests with ambiguous framing,
   ends requests that are not completed in time and connections that are idle,
   and shares its port with no other server, and that the client
   does not resend a request sent with is_sent_once, reports a request as sent
   when its server ends, and sends none on a stale connection.  */

#include "base/timer.h"
#include "http/client.h"
#include "http/server.h"
#include "tests/fakes/raw.h"
#include "tests/loopback.h"
#include "tests/unit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  SERVER_PORT = 25090,
  RAW_PORT = 25091,
  SECOND_PORT = 25093,
  CRASHING_PORT = 25094,
  CUT_PORT = 25099,
  LIMIT_MS = 5000,
  SHORT_MS = 300
};

static struct tevent_context *events;
static struct bd_http_server server;
static uint32_t handled_count;

static size_t
max_body (void *ctx, const char *path)
{
  (void)ctx;
  (void)path;
  return 1024;
}

static void
handle (void *ctx, struct bd_http_exchange *x)
{
  (void)ctx;
  handled_count++;
  bd_http_respond_text (x, 200, "text/plain", "ok");
}

static void
ignore (void *ctx, struct bd_http_exchange *x)
{
  (void)ctx;
  (void)x;
}

static const struct bd_http_server_ops ops
    = { max_body, handle, ignore, ignore };

static int
connect_to (uint32_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, loopback_address (), &address.sin_addr);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address),
                   0);
  return fd;
}

static void
set_flag (void *ctx)
{
  *(bool *)ctx = true;
}

/* Sends text and reads until the server closes the connection or wait_ms have
   passed.  Returns whether the server closed it.  */
static bool
send_and_read (const char *text, int64_t wait_ms, char *response, size_t size)
{
  bool is_over = false;
  bool is_closed = false;
  size_t used = 0;
  int fd = connect_to (SERVER_PORT);
  struct bd_timer *timer
      = bd_timer_add (events, events, wait_ms, set_flag, &is_over);

  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
  while (!is_over && !is_closed)
    {
      ssize_t received
          = recv (fd, response + used, size - used - 1, MSG_DONTWAIT);

      if (received > 0)
        used += (size_t)received;
      else if (received == 0)
        is_closed = true;
      else
        tevent_loop_once (events);
    }
  response[used] = '\0';
  if (!is_over)
    talloc_free (timer);
  close (fd);
  return is_closed;
}

static void
keep_loop_awake (void *ctx)
{
  bd_timer_add (events, events, 5, keep_loop_awake, ctx);
}

/* A request with malformed or ambiguous framing is rejected and its connection
   closed; the handler is not called.  */
static void
test_ambiguous_framing (void)
{
  static const char *const malformed_requests[] = {
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n"
    "\r\nabcd",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n"
    "\r\nabc",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    "0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x3\r\n\r\nabc",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
    "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
  };

  for (size_t i = 0;
       i < sizeof malformed_requests / sizeof malformed_requests[0]; i++)
    {
      char response[4096];
      uint32_t before = handled_count;
      bool is_closed = send_and_read (malformed_requests[i], LIMIT_MS,
                                      response, sizeof response);

      CU_ASSERT_EQUAL (handled_count, before);
      CU_ASSERT_TRUE (is_closed);
      CU_ASSERT_TRUE (response[0] == '\0'
                      || strncmp (response, "HTTP/1.1 400", 12) == 0);
      if (handled_count != before || !is_closed)
        printf ("\nrequest %zu: %.60s\n", i, response);
    }
}

/* Valid requests are served, and the connection stays open.  */
static void
test_plain_requests (void)
{
  char response[4096];

  handled_count = 0;
  CU_ASSERT_FALSE (
      send_and_read ("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                     "\r\nabc",
                     SHORT_MS, response, sizeof response));
  CU_ASSERT_EQUAL (strncmp (response, "HTTP/1.1 200", 12), 0);
  send_and_read (
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n",
      SHORT_MS, response, sizeof response);
  CU_ASSERT_EQUAL (strncmp (response, "HTTP/1.1 200", 12), 0);
  CU_ASSERT_EQUAL (handled_count, 2);
}

static void
run_loop (int64_t wait_ms)
{
  bool is_over = false;

  bd_timer_add (events, events, wait_ms, set_flag, &is_over);
  while (!is_over)
    tevent_loop_once (events);
}

static const char *const requests[]
    = { "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n" };

enum
{
  REQUEST_COUNT = sizeof requests / sizeof requests[0],
  MAX_CUTS = 512,
  READ_MS = 100
};

/* Sends the first bytes of each request, from first_size to all but
   missing_bytes, each on a connection.  Their ends come with the bytes or
   later.  Returns how many requests were handled.  */
static uint32_t
count_handled (size_t first_size, size_t missing_bytes, bool ends_later)
{
  struct bd_http_server cut_server;
  int fds[MAX_CUTS];
  size_t count = 0;
  uint32_t before = handled_count;

  CU_ASSERT_TRUE_FATAL (bd_http_server_init (&cut_server, events,
                                             loopback_address (), CUT_PORT,
                                             MAX_CUTS, &ops, NULL));
  for (size_t i = 0; i < REQUEST_COUNT; i++)
    {
      size_t last_size = strlen (requests[i]) - missing_bytes;

      for (size_t size = first_size < last_size ? first_size : last_size;
           size <= last_size; size++)
        {
          fds[count] = connect_to (CUT_PORT);
          send (fds[count], requests[i], size, MSG_NOSIGNAL);
          if (!ends_later)
            shutdown (fds[count], SHUT_WR);
          count++;
        }
    }
  run_loop (READ_MS);
  for (size_t i = 0; i < count; i++)
    shutdown (fds[i], SHUT_WR);
  run_loop (READ_MS);
  for (size_t i = 0; i < count; i++)
    close (fds[i]);
  bd_http_server_finish (&cut_server);
  return handled_count - before;
}

/* The end of a connection completes no request.  */
static void
test_incomplete_request_is_handled (void)
{
  CU_ASSERT_EQUAL (count_handled (1, 1, false), 0);
  CU_ASSERT_EQUAL (count_handled (1, 1, true), 0);
  CU_ASSERT_EQUAL (count_handled (SIZE_MAX, 0, false), REQUEST_COUNT);
}

enum
{
  HEADER_TIMEOUT_MS = 400,
  IDLE_TIMEOUT_MS = 900,
  DRIBBLE_MS = 30
};

/* A connection whose caller sends a byte now and then.  */
struct dribble
{
  int fd;
  bool is_sending;
};

static void
send_byte (void *ctx)
{
  struct dribble *dribble = ctx;

  if (!dribble->is_sending)
    {
      talloc_free (dribble);
      return;
    }
  send (dribble->fd, "a", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
  bd_timer_add (events, events, DRIBBLE_MS, send_byte, dribble);
}

/* Sends first, if there is one, and reads its response; then sends rest, and
   bytes without end if it dribbles.  Returns whether the server closed the
   connection, and what it sent after first.  */
static bool
is_timed_out (const char *first, const char *rest, bool dribbles,
              char *response, size_t size)
{
  struct dribble *dribble = talloc_zero (NULL, struct dribble);
  bool is_over = false;
  bool is_closed = false;
  size_t used = 0;
  int fd = connect_to (SERVER_PORT);
  struct bd_timer *timer
      = bd_timer_add (events, events, LIMIT_MS, set_flag, &is_over);

  while (first != NULL && !is_over && used == 0)
    {
      ssize_t received;

      send (fd, first, strlen (first), MSG_NOSIGNAL);
      first = "";
      tevent_loop_once (events);
      received = recv (fd, response, size - 1, MSG_DONTWAIT);
      used = received > 0 ? (size_t)received : 0;
    }
  used = 0;
  send (fd, rest, strlen (rest), MSG_NOSIGNAL);
  dribble->fd = fd;
  dribble->is_sending = dribbles;
  send_byte (dribble);
  while (!is_over && !is_closed)
    {
      ssize_t received
          = recv (fd, response + used, size - used - 1, MSG_DONTWAIT);

      if (received > 0)
        used += (size_t)received;
      else if (received == 0)
        is_closed = true;
      else
        tevent_loop_once (events);
    }
  response[used] = '\0';
  if (!is_over)
    talloc_free (timer);
  if (dribbles)
    dribble->is_sending = false;
  close (fd);
  return is_closed;
}

/* A caller that does not complete a request in time gets 408, also if it sends
   a byte now and then, and the request does not run.  An idle connection is
   closed.  */
static void
test_timeouts (void)
{
  static const char request[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  static const char half_head[] = "POST /x HTTP/1.1\r\nHost: h\r\nX-A: ";
  static const char half_line[] = "POST /x";
  static const char half_body[]
      = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 999\r\n\r\nabc";
  static const char half_chunk[] = "POST /x HTTP/1.1\r\nHost: h\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "3ff\r\nabc";
  static const struct
  {
    const char *first;
    const char *rest;
    bool dribbles;
    bool gets_408;
  } cases[] = {
    { NULL, "", false, false },         { NULL, half_line, false, true },
    { NULL, half_head, false, true },   { NULL, half_head, true, true },
    { NULL, half_body, false, true },   { NULL, half_body, true, true },
    { NULL, half_chunk, false, true },  { NULL, half_chunk, true, true },
    { request, "", false, false },      { request, half_head, false, true },
    { request, half_head, true, true }, { request, half_body, true, true },
  };

  bd_http_server_set_timeouts (&server, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char response[4096];
      uint32_t before;
      bool is_closed;
      bool is_408;

      before = handled_count + (cases[i].first != NULL);
      is_closed = is_timed_out (cases[i].first, cases[i].rest,
                                cases[i].dribbles, response, sizeof response);
      is_408 = strncmp (response, "HTTP/1.1 408 ", 13) == 0
               && strstr (response, "\"status\":408}\n") != NULL;
      CU_ASSERT_TRUE (is_closed);
      CU_ASSERT_EQUAL (is_408, cases[i].gets_408);
      CU_ASSERT_TRUE (is_408 || response[0] == '\0');
      CU_ASSERT_EQUAL (handled_count, before);
      if (!is_closed || is_408 != cases[i].gets_408)
        printf ("\ncase %zu: closed %d, %.40s\n", i, is_closed, response);
    }
}

/* A port belongs to one server.  If two could listen on it, the kernel would
   divide the connections among them, and a process that is left over and hangs
   would leave its part without a response.  */
static void
test_port_is_not_shared (void)
{
  struct bd_http_server other;

  CU_ASSERT_FALSE (bd_http_server_init (&other, events, loopback_address (),
                                        SERVER_PORT, 64, &ops, NULL));
  bd_http_server_finish (&other);
}

/* A server that is started again gets its port although the kernel still
   remembers connections that the previous one closed.  */
static void
test_port_is_reused (void)
{
  struct bd_http_server other;
  int fd;

  for (uint32_t i = 0; i < 3; i++)
    {
      char byte;

      CU_ASSERT_TRUE (bd_http_server_init (&other, events, loopback_address (),
                                           SECOND_PORT, 64, &ops, NULL));
      fd = connect_to (SECOND_PORT);
      tevent_loop_once (events);
      tevent_loop_once (events);
      bd_http_server_finish (&other);
      CU_ASSERT_TRUE (recv (fd, &byte, 1, 0) <= 0);
      close (fd);
    }
}

/* A server that stops listening serves the callers that have connected by
   then.  */
static void
test_stop_listening (void)
{
  enum
  {
    CALLERS = 40
  };
  static const char request[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  struct bd_http_server other;
  uint32_t before = handled_count;
  uint32_t served = 0;
  bool is_over = false;
  int fds[CALLERS];

  CU_ASSERT_TRUE (bd_http_server_init (&other, events, loopback_address (),
                                       SECOND_PORT, 64, &ops, NULL));
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      fds[i] = connect_to (SECOND_PORT);
      send (fds[i], request, sizeof request - 1, MSG_NOSIGNAL);
    }
  bd_http_server_stop_listening (&other);
  bd_timer_add (events, events, SHORT_MS, set_flag, &is_over);
  while (!is_over)
    tevent_loop_once (events);
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      char response[256];

      served += recv (fds[i], response, sizeof response, MSG_DONTWAIT) > 12
                && strncmp (response, "HTTP/1.1 200", 12) == 0;
      close (fds[i]);
    }
  CU_ASSERT_EQUAL (served, CALLERS);
  CU_ASSERT_EQUAL (handled_count, before + CALLERS);
  bd_http_server_finish (&other);
}

/* A server that responds to the first request of a connection and closes the
   connection at the second one without sending a byte.  To the client, this
   looks like a kept-alive connection that has died.  */
struct raw_server
{
  struct tevent_fd *event;
  int listen_fd;
  uint32_t request_count;
  bool is_crashing; /* Stops listening with the second request.  */
};

struct dying_connection
{
  struct raw_server *raw;
  int fd;
  uint32_t requests;
};

static int
close_raw (struct dying_connection *c)
{
  close (c->fd);
  return 0;
}

static void
stop_listening (struct raw_server *raw)
{
  TALLOC_FREE (raw->event);
  close (raw->listen_fd);
}

static void
handle_raw (struct tevent_context *ev, struct tevent_fd *fd, uint16_t flags,
            void *ctx)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  struct dying_connection *c = ctx;
  char buffer[4096];
  ssize_t received = recv (c->fd, buffer, sizeof buffer, MSG_DONTWAIT);

  (void)ev;
  (void)fd;
  (void)flags;
  if (received <= 0)
    {
      talloc_free (c);
      return;
    }
  c->raw->request_count++;
  if (c->requests++ > 0)
    {
      if (c->raw->is_crashing)
        stop_listening (c->raw);
      talloc_free (c);
    }
  else
    CU_ASSERT_TRUE (send (c->fd, response, sizeof response - 1, MSG_NOSIGNAL)
                    > 0);
}

static void
handle_raw_listen (struct tevent_context *ev, struct tevent_fd *fd,
                   uint16_t flags, void *ctx)
{
  struct dying_connection *c = talloc_zero (events, struct dying_connection);

  (void)ev;
  (void)fd;
  (void)flags;
  c->raw = ctx;
  c->fd = accept (c->raw->listen_fd, NULL, NULL);
  talloc_set_destructor (c, close_raw);
  tevent_add_fd (events, c, c->fd, TEVENT_FD_READ, handle_raw, c);
}

static void
start_listening (struct raw_server *raw, uint32_t port,
                 tevent_fd_handler_t handler, void *ctx)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int on = 1;

  raw->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (raw->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  inet_pton (AF_INET, loopback_address (), &address.sin_addr);
  CU_ASSERT_EQUAL (
      bind (raw->listen_fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (listen (raw->listen_fd, 8), 0);
  raw->event = tevent_add_fd (events, events, raw->listen_fd, TEVENT_FD_READ,
                              handler, ctx);
}

static void
start_raw_server (struct raw_server *raw)
{
  start_listening (raw, RAW_PORT, handle_raw_listen, raw);
}

struct outcome
{
  bool is_done;
  bool is_complete;
  bool was_sent;
  const char *excess;
  uint32_t status;
};

static void
handle_done (void *ctx, struct bd_http_call *call,
             const struct bd_http_result *result)
{
  struct outcome *outcome = ctx;

  (void)call;
  outcome->is_done = true;
  outcome->is_complete = result->is_complete;
  outcome->was_sent = result->was_sent;
  outcome->excess = result->excess;
  outcome->status = result->status;
}

static const struct bd_http_call_ops call_ops = { .done = handle_done };

static struct outcome
post_to (struct bd_http_client *client, uint32_t port, bool is_sent_once)
{
  struct outcome outcome = { .is_done = false };
  char *url
      = talloc_asprintf (NULL, "http://%s:%u/", loopback_address (), port);
  struct bd_http_request request = { .method = "POST",
                                     .url = url,
                                     .body = "abc",
                                     .body_size = 3,
                                     .timeout_ms = LIMIT_MS,
                                     .is_sent_once = is_sent_once };

  bd_http_send (client, &request, &call_ops, &outcome);
  talloc_free (url);
  while (!outcome.is_done)
    tevent_loop_once (events);
  return outcome;
}

static struct outcome
post (struct bd_http_client *client, bool is_sent_once)
{
  return post_to (client, RAW_PORT, is_sent_once);
}

/* By default, libcurl resends a request when a kept-alive connection turns out
   to be dead.  With is_sent_once, the request arrives once and the call
   fails.  */
static void
test_sent_once (void)
{
  struct raw_server raw = { .request_count = 0 };
  struct bd_http_client client;
  struct outcome outcome;

  start_raw_server (&raw);
  bd_http_client_init (&client, events, 4);
  CU_ASSERT_TRUE (post (&client, true).is_complete);
  CU_ASSERT_EQUAL (raw.request_count, 1);
  outcome = post (&client, true);
  CU_ASSERT_FALSE (outcome.is_complete);
  CU_ASSERT_TRUE (outcome.was_sent);
  CU_ASSERT_PTR_NULL (outcome.excess);
  CU_ASSERT_EQUAL (raw.request_count, 2);
  bd_http_client_finish (&client);
}

/* libcurl connects again when a kept-alive connection ends without a response;
   that the server refuses the new one doesn't mean that nothing was sent.  */
static void
check_server_crash (bool is_sent_once)
{
  struct raw_server raw = { .is_crashing = true };
  struct bd_http_client client;
  struct outcome outcome;

  start_listening (&raw, CRASHING_PORT, handle_raw_listen, &raw);
  bd_http_client_init (&client, events, 4);
  CU_ASSERT_TRUE (post_to (&client, CRASHING_PORT, is_sent_once).is_complete);
  outcome = post_to (&client, CRASHING_PORT, is_sent_once);
  CU_ASSERT_EQUAL (raw.request_count, 2);
  CU_ASSERT_FALSE (outcome.is_complete);
  CU_ASSERT_TRUE (outcome.was_sent);
  CU_ASSERT_PTR_NULL (outcome.excess);
  bd_http_client_finish (&client);
}

static void
test_server_crashes_on_kept_connection (void)
{
  check_server_crash (true);
  check_server_crash (false);
}

/* Nothing is sent to a server that refuses the connection.  */
static void
test_refused_connection (void)
{
  struct bd_http_client client;
  struct outcome outcome;

  bd_http_client_init (&client, events, 4);
  outcome = post_to (&client, CRASHING_PORT, true);
  CU_ASSERT_FALSE (outcome.is_complete);
  CU_ASSERT_FALSE (outcome.was_sent);
  bd_http_client_finish (&client);
}

static void
test_refusal_is_noticed_late (void)
{
  struct bd_http_client client;
  bool is_late = false;
  struct bd_timer *timer;

  bd_http_client_init (&client, events, 4);
  timer = bd_timer_add (events, events, SHORT_MS / 3, set_flag, &is_late);
  post_to (&client, CRASHING_PORT, true);
  CU_ASSERT_FALSE_FATAL (is_late);
  talloc_free (timer);
  bd_http_client_finish (&client);
}

enum
{
  REUSED_PORT = 25095,
  IDLE_MS = 20
};

static const char whole_response[]
    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/* Sends a response, and something later on the idle connection.  */
static void
respond_and_send (struct raw_connection *c, const struct raw_request *request)
{
  (void)request;
  raw_send (c, whole_response, 0);
  raw_send (c, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", IDLE_MS);
}

static void
respond_and_close (struct raw_connection *c, const struct raw_request *request)
{
  (void)request;
  raw_send (c, whole_response, 0);
  raw_close (c, false, IDLE_MS);
}

static void
respond_and_reset (struct raw_connection *c, const struct raw_request *request)
{
  (void)request;
  raw_send (c, whole_response, 0);
  raw_close (c, true, IDLE_MS);
}

static void
respond_only (struct raw_connection *c, const struct raw_request *request)
{
  (void)request;
  raw_send (c, whole_response, 0);
}

/* While it is not NULL, the connection that is reset as soon as libcurl has
   found it to be alive.  */
static struct raw_connection *crossing;

static void
reset_crossing (void)
{
  struct linger linger = { .l_onoff = 1 };
  struct raw_connection *c = crossing;

  crossing = NULL;
  if (c == NULL)
    return;
  setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  talloc_free (c);
}

int
poll (struct pollfd *fds, nfds_t count, int timeout_ms)
{
  int ready = (int)syscall (
      SYS_ppoll, fds, count,
      timeout_ms < 0 ? NULL
                     : &(struct timespec){ timeout_ms / 1000,
                                           timeout_ms % 1000 * 1000000L },
      NULL, 0);

  reset_crossing ();
  return ready;
}

static void
respond_and_cross (struct raw_connection *c, const struct raw_request *request)
{
  bool *has_responded = c->endpoint->ctx;

  (void)request;
  raw_send (c, whole_response, 0);
  if (!*has_responded)
    crossing = c;
  *has_responded = true;
}

static struct outcome
get_reused (struct bd_http_client *client)
{
  struct outcome outcome = { .is_done = false };
  char *url = talloc_asprintf (NULL, "http://%s:%u/", loopback_address (),
                               REUSED_PORT);
  struct bd_http_request request = {
    .method = "GET", .url = url, .timeout_ms = LIMIT_MS, .is_sent_once = true
  };
  bool is_over = false;

  bd_http_send (client, &request, &call_ops, &outcome);
  talloc_free (url);
  while (!outcome.is_done)
    tevent_loop_once (events);
  bd_timer_add (events, events, 2 * IDLE_MS, set_flag, &is_over);
  while (!is_over)
    tevent_loop_once (events);
  return outcome;
}

/* No request is sent on a kept connection on which something waits: it would
   be read as the response, or the request would be lost.  */
static void
test_request_is_sent_on_stale_connection (void)
{
  static const struct
  {
    raw_handler *handle;
    uint32_t connections;
  } cases[] = { { respond_and_send, 3 },
                { respond_and_close, 3 },
                { respond_and_reset, 3 },
                { respond_only, 1 } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct raw_endpoint raw;
      struct bd_http_client client;

      raw_start (&raw, events, REUSED_PORT, cases[i].handle, NULL);
      bd_http_client_init (&client, events, 4);
      for (uint32_t j = 0; j < 3; j++)
        {
          struct outcome outcome = get_reused (&client);

          CU_ASSERT_TRUE (outcome.is_complete);
          CU_ASSERT_EQUAL (outcome.status, 200);
        }
      CU_ASSERT_EQUAL (raw.connections, cases[i].connections);
      bd_http_client_finish (&client);
      raw_finish (&raw);
    }
}

/* A reset comes at the moment at which a request is to be sent: nothing has
   been, so that the request may be sent on another connection.  */
static void
test_reset_crosses_request (void)
{
  struct raw_endpoint raw;
  struct bd_http_client client;
  bool has_responded = false;

  raw_start (&raw, events, REUSED_PORT, respond_and_cross, &has_responded);
  bd_http_client_init (&client, events, 4);
  CU_ASSERT_TRUE (get_reused (&client).is_complete);
  CU_ASSERT_PTR_NOT_NULL (crossing);
  CU_ASSERT_TRUE (get_reused (&client).is_complete);
  CU_ASSERT_PTR_NULL (crossing);
  CU_ASSERT_EQUAL (raw.connections, 2);
  bd_http_client_finish (&client);
  raw_finish (&raw);
}

enum
{
  /* Far more than any bound that the client may have, and so little that the
     test ends soon without one.  */
  ENDLESS_BYTES = 64 << 20,
  CHUNK_BYTES = 16 * 1024
};

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

/* A server that sends a head or a body without end, until the client closes.
 */
struct endless_server
{
  const char *start; /* Of the response.  */
  const char *line;  /* Repeated.  */
  size_t sent;
  int listen_fd;
  int fd;
  struct tevent_fd *event;
};

static void
send_endlessly (struct tevent_context *ev, struct tevent_fd *fd,
                uint16_t flags, void *ctx)
{
  struct endless_server *endless = ctx;
  char chunk[CHUNK_BYTES];
  size_t size = strlen (endless->line);
  size_t used = 0;
  ssize_t sent;

  (void)ev;
  if ((flags & TEVENT_FD_READ) != 0)
    {
      /* The request, or the end of the connection.  */
      if (recv (endless->fd, chunk, sizeof chunk, MSG_DONTWAIT) <= 0)
        TALLOC_FREE (endless->event);
      else
        {
          send (endless->fd, endless->start, strlen (endless->start),
                MSG_NOSIGNAL);
          tevent_fd_set_flags (fd, TEVENT_FD_WRITE);
        }
      return;
    }
  while (used + size <= sizeof chunk)
    {
      memcpy (chunk + used, endless->line, size);
      used += size;
    }
  sent = send (endless->fd, chunk, used, MSG_NOSIGNAL | MSG_DONTWAIT);
  /* What remains of a line that was sent in part is left out; a line without
     its beginning is as bad.  */
  if (sent > 0)
    endless->sent += (size_t)sent;
  else if (errno != EAGAIN)
    TALLOC_FREE (endless->event);
  if (endless->sent >= ENDLESS_BYTES)
    TALLOC_FREE (endless->event);
}

static void
handle_endless_listen (struct tevent_context *ev, struct tevent_fd *fd,
                       uint16_t flags, void *ctx)
{
  struct endless_server *endless = ctx;

  (void)fd;
  (void)flags;
  endless->fd = accept (endless->listen_fd, NULL, NULL);
  endless->event = tevent_add_fd (ev, ev, endless->fd, TEVENT_FD_READ,
                                  send_endlessly, endless);
}

/* Bytes that are no response, in a head or a body without end, are cut at a
   bound, long before the timeout, and the memory of the call stays small.  */
static void
check_endless (const char *start, const char *line, size_t max_bytes)
{
  struct endless_server endless = { .start = start, .line = line };
  struct raw_server raw = { .request_count = 0 };
  struct bd_http_client client;
  struct outcome outcome;

  start_listening (&raw, RAW_PORT + 1, handle_endless_listen, &endless);
  endless.listen_fd = raw.listen_fd;
  bd_http_client_init (&client, events, 4);
  outcome = post_to (&client, RAW_PORT + 1, true);
  CU_ASSERT_FALSE (outcome.is_complete);
  CU_ASSERT_TRUE (outcome.was_sent);
  CU_ASSERT_TRUE (endless.sent < max_bytes);
  bd_http_client_finish (&client);
  TALLOC_FREE (endless.event);
  close (endless.fd);
  talloc_free (raw.event);
  close (raw.listen_fd);
}

static void
test_endless_responses (void)
{
  enum
  {
    /* Socket buffers on both sides hold what was sent and not read.  */
    BUFFERS = 8 << 20,
    MAX_HEAD = 128 << 10,
    MAX_BODY = 16 << 20
  };

  check_endless ("HTTP/1.1 200 OK\r\n", "X-Noise: 0123456789\r\n",
                 MAX_HEAD + BUFFERS);
  check_endless ("HTTP/1.1 200 OK\r\nX-Noise: ", "0123456789",
                 MAX_HEAD + BUFFERS);
  check_endless ("", "no response at all ", MAX_HEAD + BUFFERS);
  check_endless ("HTTP/1.1 200 OK\r\n\r\n", "0123456789", MAX_BODY + BUFFERS);
  check_endless ("HTTP/1.1 100 Continue\r\n\r\n",
                 "HTTP/1.1 100 Continue\r\n\r\n", MAX_HEAD + BUFFERS);
  check_endless (CHUNKED "1;", "x", MAX_HEAD + BUFFERS);
  check_endless (CHUNKED "1;", "x\r\nx\r\n1;", MAX_HEAD + BUFFERS);
  check_endless (CHUNKED, "1\r\nx\r\n", MAX_HEAD + BUFFERS);
  check_endless (CHUNKED "1\r\nx\r\n0\r\n", "X-Noise: 0123456789\r\n",
                 MAX_HEAD + BUFFERS);
}

enum
{
  FRAMED_PORT = 25096,
  KEPT_CALLS = 40,
  PADDING_BYTES = 1000,
  BODY_DELAY_MS = 2
};

/* A body in small chunks, with an extension each.  */
static char *
make_chunked_response (void *ctx)
{
  char *text = talloc_strdup (ctx, CHUNKED);

  for (uint32_t i = 0; i < 2000; i++)
    text = talloc_strdup_append_buffer (text, "a;x=y\r\n0123456789\r\n");
  return talloc_strdup_append_buffer (text, "0\r\n\r\n");
}

/* The head of a response, which is far larger than its body.  */
static char *
make_padded_head (void *ctx)
{
  char padding[PADDING_BYTES + 1];

  memset (padding, 'x', PADDING_BYTES);
  padding[PADDING_BYTES] = '\0';
  return talloc_asprintf (ctx,
                          "HTTP/1.1 200 OK\r\nX-Padding: %s\r\n"
                          "Content-Length: 2\r\n\r\n",
                          padding);
}

static void
respond_framed (struct raw_connection *c, const struct raw_request *request)
{
  (void)request;
  if (c->endpoint->ctx == NULL)
    raw_send (c, make_chunked_response (c), 0);
  else
    {
      raw_send (c, make_padded_head (c), 0);
      raw_send (c, "ok", BODY_DELAY_MS);
    }
}

static struct outcome
get_framed (struct bd_http_client *client)
{
  struct outcome outcome = { .is_done = false };
  char *url = talloc_asprintf (NULL, "http://%s:%u/", loopback_address (),
                               FRAMED_PORT);
  struct bd_http_request request
      = { .method = "GET", .url = url, .timeout_ms = LIMIT_MS };

  bd_http_send (client, &request, &call_ops, &outcome);
  talloc_free (url);
  while (!outcome.is_done)
    tevent_loop_once (events);
  return outcome;
}

static void
test_sound_framing_is_not_taken_for_endless (void)
{
  bool is_padded = true;
  struct raw_endpoint raw;
  struct bd_http_client client;

  raw_start (&raw, events, FRAMED_PORT, respond_framed, NULL);
  bd_http_client_init (&client, events, 4);
  CU_ASSERT_TRUE (get_framed (&client).is_complete);
  raw.ctx = &is_padded;
  for (uint32_t i = 0; i < KEPT_CALLS; i++)
    CU_ASSERT_TRUE (get_framed (&client).is_complete);
  CU_ASSERT_EQUAL (raw.connections, 1);
  bd_http_client_finish (&client);
  raw_finish (&raw);
}

/* Of the calls to two servers, those to the one that sends without end are
   evicted.  */
static void
test_endless_responses_do_not_evict_others (void)
{
  enum
  {
    CALLS = 8,
    LIMIT_BYTES = 1 << 20
  };
  struct endless_server endless
      = { .start = "HTTP/1.1 200 OK\r\n\r\n", .line = "0123456789" };
  struct raw_server listener = { .request_count = 0 };
  struct raw_endpoint raw;
  struct bd_http_client client;
  struct bd_memory memory;

  bd_memory_init (&memory, LIMIT_BYTES);
  start_listening (&listener, RAW_PORT + 1, handle_endless_listen, &endless);
  endless.listen_fd = listener.listen_fd;
  raw_start (&raw, events, FRAMED_PORT, respond_framed, NULL);
  bd_http_client_init (&client, events, 4);
  bd_http_client_set_memory (&client, &memory);
  for (uint32_t i = 0; i < CALLS; i++)
    CU_ASSERT_TRUE (get_framed (&client).is_complete);
  CU_ASSERT_EQUAL (memory.evictions, 0);
  CU_ASSERT_FALSE (post_to (&client, RAW_PORT + 1, true).is_complete);
  CU_ASSERT_EQUAL (memory.evictions, 1);
  CU_ASSERT_EQUAL (memory.used_bytes, 0);
  CU_ASSERT_TRUE (get_framed (&client).is_complete);
  bd_http_client_finish (&client);
  raw_finish (&raw);
  TALLOC_FREE (endless.event);
  close (endless.fd);
  talloc_free (listener.event);
  close (listener.listen_fd);
}

/* A call that a callback of its own, or of another call, ends.  */
struct ended_call
{
  struct bd_http_call *call;
  struct bd_http_call *paused; /* Continued before the end.  */
  bool has_data;
  bool is_done;
};

static bool
end_in_head (void *ctx, struct bd_http_call *call)
{
  (void)ctx;
  bd_http_call_cancel (call);
  return true;
}

static bool
pause_in_data (void *ctx, struct bd_http_call *call, const char *data,
               size_t size)
{
  struct ended_call *ended = ctx;
  bool is_first = !ended->has_data;

  (void)call;
  (void)data;
  (void)size;
  ended->has_data = true;
  return !is_first;
}

static bool
end_in_data (void *ctx, struct bd_http_call *call, const char *data,
             size_t size)
{
  struct ended_call *ended = ctx;

  (void)data;
  (void)size;
  ended->has_data = true;
  bd_http_call_continue (ended->paused);
  bd_http_call_cancel (call);
  return true;
}

static void
note_end (void *ctx, struct bd_http_call *call,
          const struct bd_http_result *result)
{
  struct ended_call *ended = ctx;

  (void)call;
  (void)result;
  ended->is_done = true;
}

static void
begin_call (struct bd_http_client *client,
            const struct bd_http_call_ops *callbacks, struct ended_call *ended)
{
  char *url = talloc_asprintf (NULL, "http://%s:%u/", loopback_address (),
                               FRAMED_PORT);
  struct bd_http_request request
      = { .method = "GET", .url = url, .timeout_ms = LIMIT_MS };

  ended->call = bd_http_send (client, &request, callbacks, ended);
  talloc_free (url);
}

static void
test_call_is_freed_within_its_head (void)
{
  static const struct bd_http_call_ops ending_ops
      = { .accepts = end_in_head, .done = note_end };
  struct raw_endpoint raw;
  struct bd_http_client client;
  struct ended_call ended = { .call = NULL };

  raw_start (&raw, events, FRAMED_PORT, respond_framed, NULL);
  bd_http_client_init (&client, events, 4);
  begin_call (&client, &ending_ops, &ended);
  while (client.calls != NULL)
    tevent_loop_once (events);
  CU_ASSERT_FALSE (ended.is_done);
  CU_ASSERT_TRUE (get_framed (&client).is_complete);
  bd_http_client_finish (&client);
  raw_finish (&raw);
}

/* The other call has data that libcurl holds back.  */
static void
test_call_is_freed_within_its_data (void)
{
  static const struct bd_http_call_ops pausing_ops
      = { .data = pause_in_data, .done = note_end };
  static const struct bd_http_call_ops ending_ops
      = { .data = end_in_data, .done = note_end };
  struct raw_endpoint raw;
  struct bd_http_client client;
  struct ended_call paused = { .call = NULL };
  struct ended_call ended = { .call = NULL };

  raw_start (&raw, events, FRAMED_PORT, respond_framed, NULL);
  bd_http_client_init (&client, events, 4);
  begin_call (&client, &pausing_ops, &paused);
  while (!paused.has_data)
    tevent_loop_once (events);
  ended.paused = paused.call;
  begin_call (&client, &ending_ops, &ended);
  while (!paused.is_done)
    tevent_loop_once (events);
  CU_ASSERT_TRUE (ended.has_data);
  CU_ASSERT_FALSE (ended.is_done);
  CU_ASSERT_PTR_NULL (client.calls);
  bd_http_client_finish (&client);
  raw_finish (&raw);
}

static void
end_when_done (void *ctx, struct bd_http_call *call,
               const struct bd_http_result *result)
{
  struct ended_call *ended = ctx;

  (void)result;
  ended->is_done = true;
  bd_http_call_cancel (call);
}

static void
test_call_is_freed_twice_at_its_end (void)
{
  static const struct bd_http_call_ops ending_ops = { .done = end_when_done };
  struct raw_endpoint raw;
  struct bd_http_client client;
  struct ended_call ended = { .call = NULL };

  raw_start (&raw, events, FRAMED_PORT, respond_framed, NULL);
  bd_http_client_init (&client, events, 4);
  begin_call (&client, &ending_ops, &ended);
  while (client.calls != NULL)
    tevent_loop_once (events);
  CU_ASSERT_TRUE (ended.is_done);
  bd_http_client_finish (&client);
  raw_finish (&raw);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "ambiguous framing", test_ambiguous_framing },
    { "plain requests", test_plain_requests },
    { "incomplete request is handled", test_incomplete_request_is_handled },
    { "timeouts", test_timeouts },
    { "port is not shared", test_port_is_not_shared },
    { "port is reused", test_port_is_reused },
    { "stop listening", test_stop_listening },
    { "sent once", test_sent_once },
    { "server crashes on a kept connection",
      test_server_crashes_on_kept_connection },
    { "refused connection", test_refused_connection },
    { "refusal is noticed late", test_refusal_is_noticed_late },
    { "request is sent on stale connection",
      test_request_is_sent_on_stale_connection },
    { "reset crosses request", test_reset_crosses_request },
    { "endless responses", test_endless_responses },
    { "sound framing is not taken for endless",
      test_sound_framing_is_not_taken_for_endless },
    { "endless responses do not evict others",
      test_endless_responses_do_not_evict_others },
    { "call is freed within its head", test_call_is_freed_within_its_head },
    { "call is freed within its data", test_call_is_freed_within_its_data },
    { "call is freed twice at its end", test_call_is_freed_twice_at_its_end }
  };
  int code;

  events = tevent_context_init (NULL);
  keep_loop_awake (NULL);
  if (!bd_http_server_init (&server, events, loopback_address (), SERVER_PORT,
                            64, &ops, NULL))
    {
      printf ("port %d is in use\n", SERVER_PORT);
      return 1;
    }
  code = UNIT_RUN ("http", tests);
  bd_http_server_finish (&server);
  talloc_free (events);
  return code;
}

/* Watches the time-outs of callers' connections.  */

#include "http/http_internal.h"

#include "base/clock.h"
#include "base/crash.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

enum
{
  SWEEP_PERIOD_MS = 100,
  CHECKS_PER_IDLE_TIMEOUT = 4, /* Of a response.  */
  /* Time for the caller to read a refusal before the connection is reset.  */
  LINGER_MS = 200,
  /* A body may take the idle timeout and the time that its bytes need at this
     rate, so that a slow caller is served and one that sends a byte now and
     then is not.  */
  BODY_BYTES_PER_MS = 16,
  /* The kernel states the age of the last bytes in coarse steps.  */
  AGE_STEP_MS = 20
};

int64_t
bd_http_now_ms (void)
{
  struct bd_clock clock = bd_clock_system ();

  return bd_clock_now_ms (&clock);
}

static void
sweep (void *ctx)
{
  struct bd_http_server *server = ctx;
  int64_t now_ms = bd_http_now_ms ();
  struct bd_http_connection *next;

  server->sweep_timer = NULL;
  for (struct bd_http_connection *c = server->connections; c != NULL; c = next)
    {
      next = c->next;
      if (server->closes_idle)
        bd_http_connection_close_idle (c);
      bd_http_connection_check (c, now_ms);
    }
  bd_http_linger_check (server, now_ms);
  if (server->connections != NULL || server->lingering != NULL)
    server->sweep_timer = bd_timer_add (server->events, server->events,
                                        SWEEP_PERIOD_MS, sweep, server);
}

const char *
bd_http_phase_name (enum bd_http_phase phase)
{
  static const char *const names[] = { [BD_HTTP_FIRST_HEAD] = "first head",
                                       [BD_HTTP_IDLE] = "idle",
                                       [BD_HTTP_HEAD] = "head",
                                       [BD_HTTP_BODY] = "body",
                                       [BD_HTTP_RESPONSE] = "response",
                                       [BD_HTTP_ENDING] = "end" };

  return names[phase];
}

static void
handle_evicted (void *ctx)
{
  struct bd_http_connection *c = ctx;

  c->is_evicted = true;
  bd_http_end_evicted_later (c->server);
}

struct bd_http_connection *
bd_http_connection_open (struct bd_http_server *server, int fd)
{
  struct bd_http_connection *c = talloc_zero (NULL, struct bd_http_connection);

  if (c == NULL)
    return NULL;
  c->server = server;
  c->fd = fd;
  bd_memory_join (&c->head_share, server->memory, (uintptr_t)c, handle_evicted,
                  c);
  bd_http_connection_enter (c, BD_HTTP_FIRST_HEAD);
  c->next = server->connections;
  if (c->next != NULL)
    c->next->prev = c;
  server->connections = c;
  server->connection_count++;
  if (server->sweep_timer == NULL)
    server->sweep_timer = bd_timer_add (server->events, server->events,
                                        SWEEP_PERIOD_MS, sweep, server);
  return c;
}

bool
bd_http_connection_reserve (struct bd_http_connection *c)
{
  const struct bd_memory *memory = c->server->memory;
  size_t bytes = c->server->max_head_bytes;

  /* No other share is evicted for it: what libmicrohttpd has begun to read is
     freed only when the connection has ended.  */
  if (c->is_evicted
      || (memory != NULL && c->head_share.bytes < bytes
          && memory->used_bytes - c->head_share.bytes + bytes
                 > memory->limit_bytes))
    return false;
  return bd_memory_resize (&c->head_share, bytes);
}

bool
bd_http_connection_release (struct bd_http_connection *c)
{
  return !c->is_evicted && bd_memory_resize (&c->head_share, 0);
}

void
bd_http_connection_close (struct bd_http_connection *c)
{
  struct bd_http_server *server = c->server;

  BD_ASSERT (!c->is_idled);
  if (c->has_responded || c->is_refused)
    bd_http_linger_begin (server, c->fd, bd_http_now_ms ());
  if (c->prev != NULL)
    c->prev->next = c->next;
  else
    server->connections = c->next;
  if (c->next != NULL)
    c->next->prev = c->prev;
  server->connection_count--;
  if (c->has_partial_head)
    server->partial_heads--;
  bd_memory_leave (&c->head_share);
  talloc_free (c);
  bd_http_update_accepting (server);
}

static int64_t
next_response_check_ms (const struct bd_http_connection *c, int64_t now_ms)
{
  return now_ms + c->idle_timeout_ms / CHECKS_PER_IDLE_TIMEOUT;
}

static void
begin_response (struct bd_http_connection *c)
{
  c->has_unacked = false;
  c->deadline_ms = next_response_check_ms (c, c->since_ms);
}

void
bd_http_connection_enter (struct bd_http_connection *c,
                          enum bd_http_phase phase)
{
  const struct bd_http_server *server = c->server;
  bool is_head = phase == BD_HTTP_FIRST_HEAD || phase == BD_HTTP_HEAD;
  bool is_first = phase == BD_HTTP_HEAD && c->phase == BD_HTTP_FIRST_HEAD;

  if (c->phase == BD_HTTP_ENDING)
    return;
  c->phase = phase;
  c->body_bytes = 0;
  /* The head of the first request has the time since the connection opened. */
  if (is_first)
    return;
  c->since_ms = bd_http_now_ms ();
  /* A request keeps the time-out that was in force when it began.  */
  if (is_head || phase == BD_HTTP_IDLE)
    c->idle_timeout_ms = server->idle_timeout_ms;
  if (phase == BD_HTTP_RESPONSE)
    begin_response (c);
  else
    c->deadline_ms
        = c->since_ms
          + (is_head ? server->header_timeout_ms : c->idle_timeout_ms);
}

void
bd_http_connection_received (struct bd_http_connection *c, size_t size)
{
  if (c->phase != BD_HTTP_BODY)
    return;
  c->body_bytes += size;
  c->deadline_ms = c->since_ms + c->idle_timeout_ms
                   + (int64_t)(c->body_bytes / BODY_BYTES_PER_MS);
}

void
bd_http_get_tcp_info (int fd, struct tcp_info *info)
{
  socklen_t size = sizeof *info;

  memset (info, 0, sizeof *info);
  getsockopt (fd, IPPROTO_TCP, TCP_INFO, info, &size);
}

static struct tcp_info
get_tcp_info (const struct bd_http_connection *c)
{
  struct tcp_info info;

  bd_http_get_tcp_info (c->fd, &info);
  return info;
}

/* Whether the caller has sent a part of a request.  */
static bool
has_begun_request (const struct bd_http_connection *c, int64_t now_ms)
{
  struct tcp_info info;

  if (c->phase == BD_HTTP_HEAD || c->phase == BD_HTTP_BODY)
    return true;
  if (c->is_waiting)
    return c->has_partial_head;
  info = get_tcp_info (c);
  if (c->phase == BD_HTTP_FIRST_HEAD)
    return info.tcpi_bytes_received > 0;
  return (int64_t)info.tcpi_last_data_recv + AGE_STEP_MS
         < now_ms - c->since_ms;
}

/* The responses that are sent without libmicrohttpd.  */
static const struct
{
  uint32_t status;
  const char *reason;
  const char *kind;
} refusals[] = { { 408, "Request Timeout", "request-timeout" },
                 { 413, "Content Too Large", "too-large" },
                 { 431, "Request Header Fields Too Large", "head-too-large" },
                 { 503, "Service Unavailable", "overloaded" } };

static size_t
format_refusal (char *text, size_t text_size, uint32_t status)
{
  char body[128];
  uint32_t i = 0;
  int size;

  while (refusals[i].status != status)
    i++;
  size = snprintf (body, sizeof body,
                   "{\"kind\":\"%s\",\"run\":\"not-run\",\"status\":%u}\n",
                   refusals[i].kind, status);
  size = snprintf (text, text_size,
                   "HTTP/1.1 %u %s\r\n"
                   "Content-Type: application/problem+json\r\n"
                   "Content-Length: %d\r\n"
                   "Connection: close\r\n\r\n%s",
                   status, refusals[i].reason, size, body);
  return (size_t)size;
}

void
bd_http_connection_refuse (struct bd_http_connection *c, uint32_t status,
                           int64_t now_ms)
{
  char text[512];
  size_t size = format_refusal (text, sizeof text, status);

  send (c->fd, text, size, MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown (c->fd, SHUT_WR);
  c->is_refused = true;
  c->phase = BD_HTTP_ENDING;
  c->deadline_ms = now_ms + LINGER_MS;
}

/* Whether bytes of the response have waited to be sent for an idle time-out
   and the caller took none of them.  A response that waits for its content,
   or that has not been written yet, has no such bytes.  */
static bool
is_response_stuck (struct bd_http_connection *c, int64_t now_ms)
{
  struct tcp_info info = get_tcp_info (c);
  bool has_unacked = info.tcpi_notsent_bytes > 0 || info.tcpi_unacked > 0;

  if (!has_unacked || !c->has_unacked
      || info.tcpi_bytes_acked != c->acked_bytes)
    c->unchanged_since_ms = now_ms;
  c->has_unacked = has_unacked;
  c->acked_bytes = info.tcpi_bytes_acked;
  c->deadline_ms = next_response_check_ms (c, now_ms);
  return now_ms - c->unchanged_since_ms >= c->idle_timeout_ms;
}

void
bd_http_connection_end (struct bd_http_connection *c)
{
  if (c->exchange != NULL)
    c->exchange->is_swept = true;
  /* A request that crosses the end could not be answered.  */
  c->phase = BD_HTTP_ENDING;
  shutdown (c->fd, SHUT_RDWR);
  if (c->is_waiting)
    bd_http_wait_leave (c);
}

static bool
has_unread_bytes (const struct bd_http_connection *c)
{
  char byte;

  return recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static bool
is_idle (const struct bd_http_connection *c)
{
  return c->phase == BD_HTTP_IDLE
         || (c->phase == BD_HTTP_FIRST_HEAD
             && get_tcp_info (c).tcpi_bytes_received == 0);
}

void
bd_http_connection_close_idle (struct bd_http_connection *c)
{
  if (is_idle (c) && !has_unread_bytes (c))
    bd_http_connection_end (c);
}

void
bd_http_connection_check (struct bd_http_connection *c, int64_t now_ms)
{
  if (now_ms < c->deadline_ms)
    return;
  if (c->phase == BD_HTTP_RESPONSE)
    {
      if (is_response_stuck (c, now_ms))
        bd_http_connection_end (c);
      return;
    }
  if (c->phase == BD_HTTP_ENDING)
    {
      bd_http_connection_end (c);
      return;
    }
  /* What has arrived may complete the request.  If libmicrohttpd reads it, the
     next check comes after that; it may read without end, or stop to read.  */
  if (c->is_waiting)
    {
      if (!bd_http_wait_check (c))
        return;
    }
  else if (now_ms < c->deadline_ms + c->idle_timeout_ms
           && has_unread_bytes (c))
    return;
  if (has_begun_request (c, now_ms))
    bd_http_connection_refuse (c, 408, now_ms);
  else
    bd_http_connection_end (c);
}

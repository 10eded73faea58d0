/* Connections that wait for the head of a request, which is looked at before
   libmicrohttpd reads it.  */

#include "http/http_internal.h"

#include "base/crash.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  FIRST_LOOK_BYTES = 2 * 1024,
  /* Larger heads are not measured, but read in the last tier.  */
  MAX_LOOK_BYTES = 32 * 1024,
  /* Between two looks at a partial head.  */
  MIN_LOOK_DELAY_MS = 1,
  MAX_LOOK_DELAY_MS = 64
};

static void
set_partial (struct bd_http_connection *c, bool is_partial)
{
  if (c->has_partial_head == is_partial)
    return;
  c->has_partial_head = is_partial;
  if (is_partial)
    c->server->partial_heads++;
  else
    c->server->partial_heads--;
}

static void
stop_waiting (struct bd_http_connection *c)
{
  c->is_waiting = false;
  set_partial (c, false);
  TALLOC_FREE (c->watch);
  TALLOC_FREE (c->look_timer);
}

static void
resume (struct bd_http_connection *c)
{
  MHD_resume_connection (c->handle);
  bd_http_schedule_run (c->server);
}

/* Ends a connection that has ended on its socket.  */
static void
leave (struct bd_http_connection *c)
{
  int fd = c->fd;

  c->phase = BD_HTTP_ENDING;
  stop_waiting (c);
  if (c->handle != NULL)
    {
      /* libmicrohttpd reads the end.  */
      resume (c);
      return;
    }
  bd_http_connection_close (c);
  close (fd);
}

static void
handle_look_timer (void *ctx)
{
  struct bd_http_connection *c = ctx;

  c->look_timer = NULL;
  if (c->phase == BD_HTTP_ENDING)
    leave (c);
  else
    bd_http_wait_check (c);
}

static void
look_later (struct bd_http_connection *c, int64_t delay_ms)
{
  tevent_fd_set_flags (c->watch, 0);
  TALLOC_FREE (c->look_timer);
  c->look_timer
      = bd_timer_add (c->server->events, c, delay_ms, handle_look_timer, c);
  if (c->look_timer == NULL)
    tevent_fd_set_flags (c->watch, TEVENT_FD_READ);
}

void
bd_http_wait_leave (struct bd_http_connection *c)
{
  BD_ASSERT (c->is_waiting);
  look_later (c, 0);
}

/* This and the following functions return whether the connection still
   waits; if it does not, it may have been freed.  */
static bool
refuse (struct bd_http_connection *c, uint32_t status)
{
  tevent_fd_set_flags (c->watch, 0);
  TALLOC_FREE (c->look_timer);
  set_partial (c, false);
  bd_http_connection_refuse (c, status, bd_http_now_ms ());
  return true;
}

/* Whether the caller has closed its end: it can't complete the head.  */
static bool
is_half_closed (const struct bd_http_connection *c)
{
  struct pollfd socket = { .fd = c->fd, .events = POLLRDHUP };

  return poll (&socket, 1, 0) > 0;
}

/* Looks again at a head of which there is only a part, a little later: its
   bytes stay in the socket, which is readable all the time.  */
static bool
wait_for_rest (struct bd_http_connection *c)
{
  if (is_half_closed (c))
    {
      leave (c);
      return false;
    }
  if (!c->has_partial_head)
    {
      set_partial (c, true);
      c->look_delay_ms = MIN_LOOK_DELAY_MS;
      bd_http_connection_enter (c, BD_HTTP_HEAD);
    }
  else if (c->look_delay_ms < MAX_LOOK_DELAY_MS)
    c->look_delay_ms *= 2;
  look_later (c, c->look_delay_ms);
  return true;
}

/* Passes the socket to a connection of another tier.  libmicrohttpd closes
   only descriptors that it has, and shuts their sockets down: the connection
   that had it is left a socket without a peer, and ends.  */
static bool
move (struct bd_http_connection *c, uint32_t tier)
{
  struct bd_http_server *server = c->server;
  struct bd_http_connection *moved;
  int fd = dup (c->fd);
  int unconnected = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  moved = fd >= 0 && unconnected >= 0 ? bd_http_connection_open (server, fd)
                                      : NULL;
  if (moved == NULL)
    goto fail;
  moved->tier = tier;
  /* There is room for what the other one had.  */
  if (c->head_share.bytes > 0)
    {
      bd_http_connection_release (c);
      bd_http_connection_reserve (moved);
    }
  stop_waiting (c);
  dup2 (unconnected, c->fd);
  close (unconnected);
  c->phase = BD_HTTP_ENDING;
  c->has_responded = false;
  resume (c);
  bd_http_tier_open (moved);
  return false;

fail:
  if (unconnected >= 0)
    close (unconnected);
  if (fd >= 0)
    close (fd);
  return refuse (c, 503);
}

/* Passes a connection on to libmicrohttpd.  */
static bool
pass (struct bd_http_connection *c, uint32_t tier)
{
  if (!bd_http_tier_start (c->server, tier))
    return refuse (c, 503);
  if (c->handle != NULL && tier > c->tier)
    return move (c, tier);
  stop_waiting (c);
  if (c->handle != NULL)
    resume (c);
  else
    {
      c->tier = tier;
      bd_http_tier_open (c);
    }
  return false;
}

/* The first tier with room for the head and for that of a response;
   BD_HTTP_TIERS if there is none.  */
static uint32_t
tier_for (const struct bd_http_head *head)
{
  size_t needed_bytes
      = head->memory_bytes + bd_http_response_head_bytes (head->bytes);
  uint32_t tier = 0;

  while (tier < BD_HTTP_TIERS && bd_http_tier_bytes (tier) < needed_bytes)
    tier++;
  return tier;
}

static ssize_t
look (const struct bd_http_connection *c, struct bd_http_head *head)
{
  char text[MAX_LOOK_BYTES];
  size_t wanted = FIRST_LOOK_BYTES;
  ssize_t size;

  for (;;)
    {
      size = recv (c->fd, text, wanted, MSG_PEEK | MSG_DONTWAIT);
      if (size <= 0)
        return size;
      bd_http_head_measure (text, (size_t)size, head);
      if (head->is_whole || (size_t)size < wanted || wanted == sizeof text)
        return size;
      wanted = sizeof text;
    }
}

static bool
judge (struct bd_http_connection *c, const struct bd_http_head *head)
{
  uint32_t tier = head->is_whole ? tier_for (head) : BD_HTTP_TIERS - 1;

  if (head->bytes > c->server->max_head_bytes || tier == BD_HTTP_TIERS)
    return refuse (c, 431);
  if (!head->is_whole && head->bytes < MAX_LOOK_BYTES)
    return wait_for_rest (c);
  if (!head->is_whole && !bd_http_connection_reserve (c))
    return refuse (c, 503);
  return pass (c, tier);
}

bool
bd_http_wait_check (struct bd_http_connection *c)
{
  struct bd_http_head head;
  ssize_t size;

  if (c->phase == BD_HTTP_ENDING)
    return true;
  size = look (c, &head);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    {
      tevent_fd_set_flags (c->watch, TEVENT_FD_READ);
      return true;
    }
  if (size > 0)
    return judge (c, &head);
  leave (c);
  return false;
}

static void
handle_input (struct tevent_context *events, struct tevent_fd *fd,
              uint16_t flags, void *private_data)
{
  (void)events;
  (void)fd;
  (void)flags;
  bd_crash_enter ("a head is looked at", NULL);
  bd_http_wait_check (private_data);
}

void
bd_http_wait_begin (struct bd_http_connection *c)
{
  struct bd_http_server *server = c->server;

  bd_crash_enter ("a connection waits for a head", NULL);
  BD_ASSERT (!c->is_waiting && !server->is_running);
  c->watch = tevent_add_fd (server->events, c, c->fd, TEVENT_FD_READ,
                            handle_input, c);
  if (c->handle != NULL)
    MHD_suspend_connection (c->handle);
  c->is_waiting = true;
}

void
bd_http_wait_finish (struct bd_http_server *server)
{
  struct bd_http_connection *next;

  for (struct bd_http_connection *c = server->connections; c != NULL; c = next)
    {
      next = c->next;
      if (c->is_waiting)
        leave (c);
    }
}

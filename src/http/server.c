/* Runs libmicrohttpd on the event loop.  */

#include "http/server.h"

#include "base/crash.h"
#include "base/log.h"
#include "http/http_internal.h"

#include <netinet/in.h>
#include <string.h>
#include <strings.h>
#include <sys/param.h>
#include <sys/socket.h>
#include <talloc.h>

/* States of an exchange.  */
enum
{
  READING,
  AWAITING_RESPONSE,
  RESPONDED,
  STREAMING
};

enum
{
  HIGH_WATER_BYTES = 64 * 1024,
  LOW_WATER_BYTES = 16 * 1024,
  STREAM_BLOCK_BYTES = 4 * 1024,
  BODY_BLOCK_BYTES = 4 * 1024,
  HEADER_TIMEOUT_MS = 10000,
  IDLE_TIMEOUT_MS = 75000,
  MAX_HEAD_BYTES = 16 * 1024,
  /* Of a response, besides the fields of the request that it repeats.  */
  RESPONSE_HEAD_BYTES = 10 * 1024,
  /* Of a head: the status line, and the fields that libmicrohttpd adds.  */
  OTHER_RESPONSE_BYTES = 256,
  /* The colon, the space and the end of a field.  */
  FIELD_FRAMING_BYTES = 4,
  MAX_FLUSH_RUNS = 4 /* Of the responses at the end of a server.  */
};

/* The sizes of pools.  The first is that of each connection that is kept.  The
   others are mapped, so that of these only what is used takes memory.  */
static const size_t pool_bytes[BD_HTTP_TIERS]
    = { 15 * 1024, 64 * 1024, 512 * 1024, 16 * 1024 * 1024 };

static void schedule_next_run (struct bd_http_server *server);
static void stop_listening (struct bd_http_server *server);

/* The connections that have become idle wait for their next request.  One that
   has begun it, since the caller sent it early, is read on.  */
static void
let_idle_wait (struct bd_http_server *server)
{
  struct bd_http_connection *c;

  while ((c = server->idled) != NULL)
    {
      server->idled = c->next_idled;
      c->is_idled = false;
      if (c->phase == BD_HTTP_IDLE && !server->is_finishing)
        bd_http_wait_begin (c);
    }
}

/* Runs libmicrohttpd, which must not be entered again by its callbacks.  */
static void
run (struct bd_http_server *server)
{
  server->is_running = true;
  bd_crash_enter ("connections of callers are read and written", NULL);
  for (uint32_t i = 0; i < BD_HTTP_TIERS; i++)
    if (server->tiers[i].daemon != NULL)
      MHD_run (server->tiers[i].daemon);
  server->is_running = false;
  let_idle_wait (server);
}

static void
run_and_schedule (struct bd_http_server *server)
{
  run (server);
  if (server->has_to_stop_listening)
    stop_listening (server);
  schedule_next_run (server);
}

static void
handle_timer (void *private_data)
{
  struct bd_http_server *server = private_data;

  server->timer = NULL;
  server->is_run_due = false;
  run_and_schedule (server);
}

static void
set_timer (struct bd_http_server *server, int64_t delay_ms)
{
  TALLOC_FREE (server->timer);
  server->timer = bd_timer_add (server->events, server->events, delay_ms,
                                handle_timer, server);
}

/* Arms the timer for the next time at which libmicrohttpd has to run.  */
static void
schedule_next_run (struct bd_http_server *server)
{
  int64_t first_ms = INT64_MAX;

  if (server->is_run_due)
    return;
  for (uint32_t i = 0; i < BD_HTTP_TIERS; i++)
    {
      MHD_UNSIGNED_LONG_LONG delay_ms = 0;

      if (server->tiers[i].daemon != NULL
          && MHD_get_timeout (server->tiers[i].daemon, &delay_ms) == MHD_YES
          && (int64_t)delay_ms < first_ms)
        first_ms = (int64_t)delay_ms;
    }
  if (first_ms < INT64_MAX)
    set_timer (server, first_ms);
  else
    TALLOC_FREE (server->timer);
}

void
bd_http_schedule_run (struct bd_http_server *server)
{
  if (server->is_run_due)
    return;
  server->is_run_due = true;
  set_timer (server, 0);
}

static void
handle_fd (struct tevent_context *events, struct tevent_fd *fd, uint16_t flags,
           void *private_data)
{
  struct bd_http_tier *tier = private_data;

  (void)events;
  (void)fd;
  (void)flags;
  run_and_schedule (tier->server);
}

static void resume (struct bd_http_exchange *x);

static void
notify_disconnected (struct bd_http_exchange *x)
{
  if (x->is_closed || x->server->is_finishing)
    return;
  x->is_closed = true;
  x->server->ops->disconnected (x->server->ctx, x);
}

/* libmicrohttpd does not detect that a suspended connection is closed, so the
   event loop watches the socket.  */
static void
handle_watch (struct tevent_context *events, struct tevent_fd *fd,
              uint16_t flags, void *private_data)
{
  struct bd_http_exchange *x = private_data;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;
  ssize_t received
      = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  (void)events;
  (void)flags;
  if (received > 0)
    {
      /* A pipelined request.  libmicrohttpd reads it after the connection is
         resumed.  */
      tevent_fd_set_flags (fd, 0);
      return;
    }
  if (received < 0)
    return;
  notify_disconnected (x);
  resume (x);
}

static void
suspend (struct bd_http_exchange *x)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  x->is_suspended = true;
  bd_crash_enter ("a connection is suspended", x->uri);
  MHD_suspend_connection (x->connection);
  x->watch = tevent_add_fd (x->server->events, x, info->connect_fd,
                            TEVENT_FD_READ, handle_watch, x);
}

static void
resume (struct bd_http_exchange *x)
{
  if (!x->is_suspended)
    return;
  x->is_suspended = false;
  TALLOC_FREE (x->watch);
  MHD_resume_connection (x->connection);
  bd_http_schedule_run (x->server);
}

static bool
is_body_too_large (struct bd_http_exchange *x)
{
  const char *length = bd_http_header (x, "Content-Length");

  return length != NULL && strtoull (length, NULL, 10) > x->max_body_bytes;
}

/* Ends a request that is incomplete.  */
static enum MHD_Result
refuse (struct bd_http_exchange *x, uint32_t status)
{
  TALLOC_FREE (x->body);
  x->body_size = 0;
  bd_http_connection_refuse (x->peer, status, bd_http_now_ms ());
  return MHD_NO;
}

/* Updates the share of an exchange.  After an eviction, only a small response
   is sent, which is not counted.  */
static bool
update_share (struct bd_http_exchange *x)
{
  return !x->is_evicted
         && bd_memory_resize (&x->share, x->head_bytes + x->body_bytes
                                             + x->response_bytes
                                             + x->buffer_size);
}

/* Ends an exchange outside of the callbacks of libmicrohttpd.  */
static void
end_evicted (struct bd_http_exchange *x)
{
  struct bd_http_server *server = x->server;

  if (x->state == READING)
    {
      if (x->peer->phase != BD_HTTP_ENDING)
        refuse (x, 503);
      return;
    }
  if (x->state == AWAITING_RESPONSE && server->evicted != NULL)
    {
      server->evicted (server->ctx, x);
      return;
    }
  if (x->state != RESPONDED)
    {
      notify_disconnected (x);
      TALLOC_FREE (x->body);
      TALLOC_FREE (x->buffer);
      x->buffer_size = 0;
      x->buffer_used = 0;
    }
  bd_http_connection_end (x->peer);
  resume (x);
}

static void
end_evicted_heads (struct bd_http_server *server)
{
  for (struct bd_http_connection *c = server->connections; c != NULL;
       c = c->next)
    if (c->is_evicted && c->phase != BD_HTTP_ENDING)
      bd_http_connection_refuse (c, 503, bd_http_now_ms ());
}

static void
end_all_evicted (void *ctx)
{
  struct bd_http_server *server = ctx;
  struct bd_http_exchange *next;

  server->eviction_timer = NULL;
  end_evicted_heads (server);
  for (struct bd_http_exchange *x = server->exchanges; x != NULL; x = next)
    {
      next = x->next;
      if (!x->is_evicted || x->has_been_ended)
        continue;
      x->has_been_ended = true;
      end_evicted (x);
    }
}

void
bd_http_end_evicted_later (struct bd_http_server *server)
{
  if (server->eviction_timer == NULL)
    server->eviction_timer = bd_timer_add (server->events, server->events, 0,
                                           end_all_evicted, server);
}

static void
handle_evicted (void *ctx)
{
  struct bd_http_exchange *x = ctx;

  x->is_evicted = true;
  bd_http_end_evicted_later (x->server);
}

/* Returns the status of a refusal, or 0.  */
static uint32_t
append_body (struct bd_http_exchange *x, const char *data, size_t size)
{
  char *body;

  if (x->body_size + size > x->max_body_bytes)
    return 413;
  if (x->body_size + size >= x->body_bytes)
    {
      x->body_bytes = x->body_size + size + BODY_BLOCK_BYTES;
      if (!update_share (x))
        return 503;
      /* The limit of the configuration may be above that of talloc.  */
      body = talloc_realloc (x, x->body, char, x->body_bytes);
      if (body == NULL)
        return 503;
      x->body = body;
    }
  memcpy (x->body + x->body_size, data, size);
  x->body_size += size;
  x->body[x->body_size] = '\0';
  return 0;
}

static enum MHD_Result
queue_response (struct bd_http_exchange *x)
{
  enum MHD_Result result
      = MHD_queue_response (x->connection, x->status, x->response);

  MHD_destroy_response (x->response);
  x->response = NULL;
  return result;
}

static void
respond_too_large (struct bd_http_exchange *x)
{
  static const char text[] = "{\"kind\":\"too-large\",\"run\":\"not-run\","
                             "\"status\":413}\n";

  bd_http_respond_text (x, 413, "application/problem+json", text);
}

/* The headers that determine the framing of a request.  */
struct framing
{
  uint32_t host_count;
  uint32_t content_length_count;
  uint32_t transfer_encoding_count;
  bool is_malformed;
};

static enum MHD_Result
check_header (void *ctx, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  struct framing *framing = ctx;

  (void)kind;
  if (name[0] == '\0' || strpbrk (name, " \t") != NULL)
    framing->is_malformed = true;
  else if (strcasecmp (name, "Host") == 0)
    framing->host_count++;
  else if (strcasecmp (name, "Content-Length") == 0)
    {
      framing->content_length_count++;
      if (value == NULL || value[0] == '\0'
          || value[strspn (value, "0123456789")] != '\0')
        framing->is_malformed = true;
    }
  else if (strcasecmp (name, "Transfer-Encoding") == 0)
    {
      framing->transfer_encoding_count++;
      if (value == NULL || strcasecmp (value, "chunked") != 0)
        framing->is_malformed = true;
    }
  return MHD_YES;
}

/* Whether the framing of a request is ambiguous by RFC 9112, section 6.  Such
   a request is rejected, because another HTTP implementation may parse it as
   two requests (request smuggling).  */
static bool
is_ambiguous (struct MHD_Connection *connection, const char *uri)
{
  struct framing framing = { 0 };

  MHD_get_connection_values (connection, MHD_HEADER_KIND, check_header,
                             &framing);
  return framing.is_malformed || framing.host_count != 1
         || framing.content_length_count + framing.transfer_encoding_count > 1
         || uri[0] != '/';
}

static void
respond_ambiguous (struct bd_http_exchange *x)
{
  static const char text[] = "{\"kind\":\"bad-request\",\"run\":\"not-run\","
                             "\"status\":400}\n";
  static const struct bd_http_header_field headers[]
      = { { "Content-Type", "application/problem+json" },
          { "Connection", "close" },
          { NULL, NULL } };

  bd_http_respond (x, 400, headers, text, sizeof text - 1);
}

/* Counts what a parsed head takes from the pool of its connection.  Returns
   the status of a refusal, or 0.  */
static uint32_t
measure_head (struct bd_http_exchange *x)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      x->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  const char *cookies = bd_http_header (x, "Cookie");
  int entries = MHD_get_connection_values (
      x->connection, MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND,
      NULL, NULL);
  size_t memory_bytes = bd_http_head_memory_bytes (
      info->header_size, cookies != NULL ? strlen (cookies) : 0,
      (size_t)entries);
  size_t room_bytes = bd_http_response_head_bytes (info->header_size);

  if (!bd_http_connection_release (x->peer))
    return 503;
  if (info->header_size > x->server->max_head_bytes)
    return 431;
  x->response_head_room = pool_bytes[x->peer->tier]
                          - MIN (memory_bytes, pool_bytes[x->peer->tier]);
  /* A request that its caller sent before the response to the last one has not
     been measured.  It is served on a new connection.  */
  if (x->response_head_room < room_bytes)
    return 503;
  if (x->peer->tier > 0)
    x->head_bytes = memory_bytes + room_bytes;
  return update_share (x) ? 0 : 503;
}

static enum MHD_Result
handle_access (void *ctx, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *data,
               size_t *size, void **con_cls)
{
  struct bd_http_exchange *x = *con_cls;
  struct bd_http_server *server = ctx;
  uint32_t refusal;

  (void)version;
  if (x != NULL)
    bd_crash_enter (bd_http_phase_name (x->peer->phase), x->uri);
  /* No response can be sent, or a refusal was: the request must not run.  */
  if (x == NULL || x->peer->phase == BD_HTTP_ENDING)
    return MHD_NO;
  if (server->is_finishing && x->state == READING)
    return MHD_NO;
  if (x->connection == NULL)
    {
      x->connection = connection;
      x->method = method;
      x->path = talloc_strdup (x, url);
      bd_http_connection_enter (x->peer, BD_HTTP_BODY);
      refusal = measure_head (x);
      if (refusal != 0)
        return refuse (x, refusal);
      if (is_ambiguous (connection, x->uri))
        {
          x->state = RESPONDED;
          bd_http_connection_enter (x->peer, BD_HTTP_RESPONSE);
          respond_ambiguous (x);
          return queue_response (x);
        }
      x->max_body_bytes = server->ops->max_body_bytes (server->ctx, url);
      if (!is_body_too_large (x))
        return MHD_YES;
      bd_http_connection_enter (x->peer, BD_HTTP_RESPONSE);
      respond_too_large (x);
      return queue_response (x);
    }
  if (x->is_closed)
    return MHD_NO;
  if (*size > 0)
    {
      refusal = append_body (x, data, *size);
      if (refusal != 0)
        return refuse (x, refusal);
      bd_http_connection_received (x->peer, *size);
      *size = 0;
      return MHD_YES;
    }
  if (x->state == READING)
    {
      /* An attempt keeps a copy.  */
      x->body_bytes *= 2;
      if (!update_share (x))
        return refuse (x, 503);
      x->state = AWAITING_RESPONSE;
      bd_http_connection_enter (x->peer, BD_HTTP_RESPONSE);
      server->ops->request (server->ctx, x);
    }
  if (x->is_closed)
    return MHD_NO;
  if (x->response != NULL)
    return queue_response (x);
  if (x->state == AWAITING_RESPONSE)
    suspend (x);
  return MHD_YES;
}

static void *
handle_uri (void *ctx, const char *uri, struct MHD_Connection *connection)
{
  struct bd_http_server *server = ctx;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  struct bd_http_exchange *x;

  if (info->socket_context == NULL)
    return NULL;
  x = talloc_zero (NULL, struct bd_http_exchange);
  if (x == NULL)
    return NULL;
  x->server = server;
  x->peer = info->socket_context;
  x->peer->exchange = x;
  bd_http_connection_enter (x->peer, BD_HTTP_HEAD);
  x->uri = talloc_strdup (x, uri);
  bd_memory_join (&x->share, server->memory, (uintptr_t)x, handle_evicted, x);
  server->open_exchanges++;
  x->next = server->exchanges;
  if (x->next != NULL)
    x->next->prev = x;
  server->exchanges = x;
  return x;
}

static void
free_exchange (struct bd_http_exchange *x)
{
  x->peer->exchange = NULL;
  if (x->response != NULL)
    MHD_destroy_response (x->response);
  bd_memory_leave (&x->share);
  x->server->open_exchanges--;
  if (x->prev != NULL)
    x->prev->next = x->next;
  else
    x->server->exchanges = x->next;
  if (x->next != NULL)
    x->next->prev = x->prev;
  talloc_free (x);
}

static void
handle_completed (void *ctx, struct MHD_Connection *connection, void **con_cls,
                  enum MHD_RequestTerminationCode code)
{
  struct bd_http_exchange *x = *con_cls;

  (void)ctx;
  (void)connection;
  if (x == NULL)
    return;
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && x->connection != NULL
      && x->state != READING)
    notify_disconnected (x);
  x->peer->has_responded = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
  bd_http_connection_enter (x->peer, BD_HTTP_IDLE);
  if (!x->peer->is_idled)
    {
      x->peer->is_idled = true;
      x->peer->next_idled = x->server->idled;
      x->server->idled = x->peer;
    }
  free_exchange (x);
  *con_cls = NULL;
}

static void
remove_idled (struct bd_http_connection *c)
{
  struct bd_http_connection **place = &c->server->idled;

  if (!c->is_idled)
    return;
  while (*place != c)
    place = &(*place)->next_idled;
  *place = c->next_idled;
  c->is_idled = false;
}

/* libmicrohttpd does not report the end of a request that it has answered by
   itself, before the first call of handle_access().  */
static void
close_connection (struct bd_http_connection *c)
{
  if (c->exchange != NULL)
    free_exchange (c->exchange);
  remove_idled (c);
  bd_http_connection_close (c);
}

static void
handle_connection (void *ctx, struct MHD_Connection *connection,
                   void **socket_context,
                   enum MHD_ConnectionNotificationCode code)
{
  struct bd_http_server *server = ctx;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      server->opening->handle = connection;
      *socket_context = server->opening;
      server->opening = NULL;
    }
  else if (*socket_context != NULL)
    {
      close_connection (*socket_context);
      *socket_context = NULL;
    }
}

static void
handle_panic (void *ctx, const char *file, unsigned line, const char *reason)
{
  (void)ctx;
  bd_crash_abort ("libmicrohttpd", file, line, reason);
}

bool
bd_http_tier_start (struct bd_http_server *server, uint32_t index)
{
  struct bd_http_tier *tier = &server->tiers[index];
  const union MHD_DaemonInfo *info;

  if (tier->daemon != NULL)
    return true;
  MHD_set_panic_func (handle_panic, NULL);
  /* This server counts the connections.  A moved one is in two tiers for a
     short time.  */
  tier->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET, 0,
      NULL, NULL, handle_access, server, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)server->max_connections * 2,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, pool_bytes[index],
      MHD_OPTION_URI_LOG_CALLBACK, handle_uri, server,
      MHD_OPTION_NOTIFY_COMPLETED, handle_completed, server,
      MHD_OPTION_NOTIFY_CONNECTION, handle_connection, server,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (tier->daemon == NULL)
    return false;
  info = MHD_get_daemon_info (tier->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  tier->server = server;
  tier->fd = tevent_add_fd (server->events, server->events, info->epoll_fd,
                            TEVENT_FD_READ, handle_fd, tier);
  return true;
}

size_t
bd_http_response_head_bytes (size_t head_bytes)
{
  return RESPONSE_HEAD_BYTES + head_bytes;
}

size_t
bd_http_tier_bytes (uint32_t tier)
{
  return pool_bytes[tier];
}

void
bd_http_tier_open (struct bd_http_connection *c)
{
  struct bd_http_server *server = c->server;
  /* libmicrohttpd wants an address, which is used for limits only.  */
  struct sockaddr_in address = { .sin_family = AF_INET };

  server->opening = c;
  MHD_add_connection (server->tiers[c->tier].daemon, c->fd,
                      (struct sockaddr *)&address, sizeof address);
  /* It has closed the socket of a connection that it does not take.  */
  if (server->opening != NULL)
    {
      server->opening = NULL;
      bd_http_connection_close (c);
      return;
    }
  bd_http_schedule_run (server);
}

bool
bd_http_server_init (struct bd_http_server *server,
                     struct tevent_context *events, const char *address,
                     uint32_t port, uint32_t max_connections,
                     const struct bd_http_server_ops *ops, void *ctx)
{
  memset (server, 0, sizeof *server);
  server->ops = ops;
  server->ctx = ctx;
  server->events = events;
  server->header_timeout_ms = HEADER_TIMEOUT_MS;
  server->idle_timeout_ms = IDLE_TIMEOUT_MS;
  server->max_head_bytes = MAX_HEAD_BYTES;
  server->max_connections = max_connections;
  if (!bd_http_listen (server, address, port))
    return false;
  server->is_open = true;
  return true;
}

void
bd_http_server_set_max_head (struct bd_http_server *server, size_t max_bytes)
{
  server->max_head_bytes = max_bytes > 0 ? max_bytes : MAX_HEAD_BYTES;
}

void
bd_http_server_set_timeouts (struct bd_http_server *server,
                             uint32_t header_timeout_ms,
                             uint32_t idle_timeout_ms)
{
  if (header_timeout_ms > 0)
    server->header_timeout_ms = header_timeout_ms;
  if (idle_timeout_ms > 0)
    server->idle_timeout_ms = idle_timeout_ms;
}

void
bd_http_server_set_memory (struct bd_http_server *server,
                           struct bd_memory *memory,
                           void (*evicted) (void *ctx,
                                            struct bd_http_exchange *exchange))
{
  server->memory = memory;
  server->evicted = evicted;
}

/* Passes on the requests that have arrived.  */
static void
check_waiting (struct bd_http_server *server)
{
  struct bd_http_connection *next;

  for (struct bd_http_connection *c = server->connections; c != NULL; c = next)
    {
      next = c->next;
      if (c->is_waiting)
        bd_http_wait_check (c);
    }
}

/* The kernel would reset the connections that wait for their acceptance when
   their listening socket is closed, though their requests may have arrived. */
static void
stop_listening (struct bd_http_server *server)
{
  server->has_to_stop_listening = false;
  server->has_stopped_listening = true;
  bd_http_accept_all (server);
  bd_http_stop_accepting (server);
  check_waiting (server);
  bd_http_schedule_run (server);
}

void
bd_http_server_stop_listening (struct bd_http_server *server)
{
  if (!server->is_open || server->has_stopped_listening)
    return;
  if (server->is_running)
    server->has_to_stop_listening = true;
  else
    stop_listening (server);
}

void
bd_http_server_close_idle (struct bd_http_server *server)
{
  struct bd_http_connection *next;

  server->closes_idle = true;
  for (struct bd_http_connection *c = server->connections; c != NULL; c = next)
    {
      next = c->next;
      bd_http_connection_close_idle (c);
    }
}

void
bd_http_server_announce_close (struct bd_http_server *server)
{
  server->announces_close = true;
}

bool
bd_http_server_is_idle (const struct bd_http_server *server)
{
  return server->open_exchanges == 0 && server->partial_heads == 0
         && !server->is_run_due && server->lingering == NULL;
}

/* Whether nothing is missing of the response.  */
static bool
has_whole_response (const struct bd_http_exchange *x)
{
  return x->state == RESPONDED
         || (x->state == STREAMING && x->has_ended && x->is_complete);
}

/* Writes whole responses as far as their sockets take them.  */
static void
flush_responses (struct bd_http_server *server)
{
  for (uint32_t i = 0; i < MAX_FLUSH_RUNS && server->open_exchanges > 0; i++)
    run (server);
}

static void
stop_tiers (struct bd_http_server *server)
{
  for (uint32_t i = 0; i < BD_HTTP_TIERS; i++)
    {
      struct bd_http_tier *tier = &server->tiers[i];

      TALLOC_FREE (tier->fd);
      if (tier->daemon != NULL)
        MHD_stop_daemon (tier->daemon);
      tier->daemon = NULL;
    }
}

void
bd_http_server_finish (struct bd_http_server *server)
{
  if (!server->is_open)
    return;
  server->is_open = false;
  server->is_finishing = true;
  bd_http_stop_accepting (server);
  /* libmicrohttpd cannot be stopped while a connection is suspended.  */
  bd_http_wait_finish (server);
  for (struct bd_http_exchange *x = server->exchanges; x != NULL; x = x->next)
    {
      x->is_closed = x->is_closed || !has_whole_response (x);
      resume (x);
    }
  flush_responses (server);
  stop_tiers (server);
  bd_http_linger_finish (server);
  TALLOC_FREE (server->timer);
  TALLOC_FREE (server->sweep_timer);
  TALLOC_FREE (server->eviction_timer);
}

const char *
bd_http_header (const struct bd_http_exchange *x, const char *name)
{
  const struct bd_http_header_field *field = x->overrides;

  for (; field != NULL && field->name != NULL; field++)
    if (strcasecmp (field->name, name) == 0)
      return field->value;
  return MHD_lookup_connection_value (x->connection, MHD_HEADER_KIND, name);
}

bool
bd_http_is_swept (const struct bd_http_exchange *x)
{
  return x->is_swept;
}

struct header_visitor
{
  void (*visit) (void *ctx, const char *name, const char *value);
  void *ctx;
};

static enum MHD_Result
visit_header (void *ctx, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  const struct header_visitor *visitor = ctx;

  (void)kind;
  visitor->visit (visitor->ctx, name, value != NULL ? value : "");
  return MHD_YES;
}

void
bd_http_headers (const struct bd_http_exchange *x,
                 void (*visit) (void *ctx, const char *name,
                                const char *value),
                 void *ctx)
{
  struct header_visitor visitor = { visit, ctx };

  MHD_get_connection_values (x->connection, MHD_HEADER_KIND, visit_header,
                             &visitor);
}

const char *
bd_http_query (const struct bd_http_exchange *x, const char *name)
{
  return MHD_lookup_connection_value (x->connection, MHD_GET_ARGUMENT_KIND,
                                      name);
}

/* Whether there is room for the head of a response.  Logs if not.  */
static bool
has_room (const struct bd_http_exchange *x, uint32_t status,
          const struct bd_http_header_field *headers)
{
  size_t size = OTHER_RESPONSE_BYTES;

  for (; headers != NULL && headers->name != NULL; headers++)
    size += strlen (headers->name) + strlen (headers->value)
            + FIELD_FRAMING_BYTES;
  if (size <= x->response_head_room)
    return true;
  bd_log_request ("response-head-too-large", "path", x->path, "status",
                  BD_NUM (status), "bytes", BD_NUM ((int64_t)size),
                  "room_bytes", BD_NUM ((int64_t)x->response_head_room), NULL);
  return false;
}

static void
add_headers (struct bd_http_exchange *x,
             const struct bd_http_header_field *headers)
{
  bool has_connection = false;

  for (; headers != NULL && headers->name != NULL; headers++)
    {
      has_connection
          = has_connection || strcasecmp (headers->name, "Connection") == 0;
      MHD_add_response_header (x->response, headers->name, headers->value);
    }
  if ((x->server->announces_close || x->peer->tier > 0) && !has_connection)
    MHD_add_response_header (x->response, "Connection", "close");
}

/* The response in place of one whose head is too large.  */
static const struct bd_http_header_field problem_headers[]
    = { { "Content-Type", "application/problem+json" }, { NULL, NULL } };
static const char too_large_head_text[]
    = "{\"kind\":\"endpoint-failed\",\"run\":\"unknown\","
      "\"status\":502}\n";

void
bd_http_respond (struct bd_http_exchange *x, uint32_t status,
                 const struct bd_http_header_field *headers, const char *body,
                 size_t size)
{
  BD_ASSERT (x->response == NULL);
  if (!has_room (x, status, headers))
    {
      status = 502;
      headers = problem_headers;
      body = too_large_head_text;
      size = sizeof too_large_head_text - 1;
    }
  x->response = MHD_create_response_from_buffer (size, (void *)body,
                                                 MHD_RESPMEM_MUST_COPY);
  add_headers (x, headers);
  x->status = status;
  x->state = RESPONDED;
  /* The handler frees the body now.  */
  x->body_bytes = 0;
  x->response_bytes = size;
  update_share (x);
  resume (x);
}

void
bd_http_respond_text (struct bd_http_exchange *x, uint32_t status,
                      const char *content_type, const char *text)
{
  struct bd_http_header_field headers[]
      = { { "Content-Type", content_type }, { NULL, NULL } };

  bd_http_respond (x, status, headers, text, strlen (text));
}

static ssize_t
read_stream (void *cls, uint64_t pos, char *out, size_t max)
{
  struct bd_http_exchange *x = cls;
  size_t count = x->buffer_used < max ? x->buffer_used : max;

  (void)pos;
  if (x->is_closed)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (count == 0 && x->has_ended)
    return x->is_complete ? MHD_CONTENT_READER_END_OF_STREAM
                          : MHD_CONTENT_READER_END_WITH_ERROR;
  if (count == 0)
    {
      suspend (x);
      return 0;
    }
  memcpy (out, x->buffer + x->buffer_start, count);
  x->buffer_start += count;
  x->buffer_used -= count;
  if (x->is_writer_blocked && !x->has_ended
      && x->buffer_used < LOW_WATER_BYTES)
    {
      x->is_writer_blocked = false;
      x->server->ops->writable (x->server->ctx, x);
    }
  return (ssize_t)count;
}

void
bd_http_stream_begin (struct bd_http_exchange *x, uint32_t status,
                      const struct bd_http_header_field *headers)
{
  BD_ASSERT (x->response == NULL);
  if (!has_room (x, status, headers))
    {
      status = 502;
      headers = problem_headers;
      bd_http_stream_write (x, too_large_head_text,
                            sizeof too_large_head_text - 1);
      x->is_replaced = true;
      x->has_ended = true;
      x->is_complete = true;
    }
  x->response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, x, NULL);
  add_headers (x, headers);
  x->status = status;
  x->state = STREAMING;
  resume (x);
}

/* Returns false if the exchange was evicted.  */
static bool
reserve_buffer (struct bd_http_exchange *x, size_t size)
{
  if (x->buffer_start > 0)
    memmove (x->buffer, x->buffer + x->buffer_start, x->buffer_used);
  x->buffer_start = 0;
  if (x->buffer_used + size <= x->buffer_size)
    return !x->is_evicted;
  x->buffer_size = (x->buffer_used + size) * 2;
  if (!update_share (x))
    return false;
  x->buffer = talloc_realloc (x, x->buffer, char, x->buffer_size);
  return true;
}

bool
bd_http_stream_write (struct bd_http_exchange *x, const char *data,
                      size_t size)
{
  if (size == 0 || x->is_replaced)
    return true;
  if (!reserve_buffer (x, size))
    return false;
  memcpy (x->buffer + x->buffer_used, data, size);
  x->buffer_used += size;
  resume (x);
  x->is_writer_blocked = x->buffer_used >= HIGH_WATER_BYTES;
  return !x->is_writer_blocked;
}

void
bd_http_stream_end (struct bd_http_exchange *x, bool is_complete)
{
  x->has_ended = true;
  x->is_complete = (is_complete || x->is_replaced) && !x->is_evicted;
  x->body_bytes = 0;
  update_share (x);
  resume (x);
}

void
bd_http_abort (struct bd_http_exchange *x)
{
  x->is_closed = true;
  resume (x);
}

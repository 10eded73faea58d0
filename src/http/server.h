/* HTTP server on the event loop.  It limits the size of requests, sends
   responses immediately, later or as streams with back-pressure, and reports
   callers that disconnect.

   The server runs libmicrohttpd without threads and watches its epoll
   descriptors in the event loop.

   Up to the limit of a head, a request is handled whatever its head consists
   of.  Before it is handled, the head of a response has room for at least
   10 KiB; a response whose head is larger than the room that is left is
   replaced by 502.  */

#ifndef BD_HTTP_SERVER_H
#define BD_HTTP_SERVER_H

#include "base/timer.h"
#include "memory/memory.h"

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

enum
{
  BD_HTTP_TIERS = 4
};

struct bd_http_server;

/* One header field of a request or response.  */
struct bd_http_header_field
{
  const char *name;
  const char *value;
};

/* One request and its response.  The server owns it and frees it when it is
   complete.  */
struct bd_http_exchange
{
  struct bd_http_server *server;
  struct MHD_Connection *connection;
  void *user; /* Data of the request handler; initially NULL.  */
  const char *method;
  char *uri;  /* As received, with the query.  */
  char *path; /* Without the query.  */
  /* Header fields that take the place of those received; they end with a NULL
     name.  NULL for none.  */
  const struct bd_http_header_field *overrides;
  char *body;
  size_t body_size;
  size_t max_body_bytes;

  /* Internal to the server.  */
  uint32_t state;
  bool is_suspended;
  bool is_swept; /* The caller has taken nothing for too long.  */
  bool is_closed;
  bool has_ended;
  bool is_complete;
  bool is_writer_blocked;
  bool is_evicted;
  bool has_been_ended;          /* After an eviction.  */
  struct bd_memory_share share; /* Of the account of the server.  */
  size_t body_bytes;            /* The part of it that the body takes.  */
  size_t response_bytes;        /* The same of a whole response.  */
  size_t head_bytes;            /* The same of a large head.  */
  size_t response_head_room;    /* Bytes that are left for it.  */
  bool is_replaced;             /* Its response by a 502.  */
  struct bd_http_connection *peer;
  struct MHD_Response *response;
  uint32_t status;
  struct tevent_fd *watch;
  char *buffer;
  size_t buffer_start;
  size_t buffer_used;
  size_t buffer_size;
  struct bd_http_exchange *prev;
  struct bd_http_exchange *next;
};

struct bd_http_server_ops
{
  /* Largest accepted body for this path, in bytes.  */
  size_t (*max_body_bytes) (void *ctx, const char *path);
  /* A complete request was received.  Respond now or keep the exchange and
     respond later.  */
  void (*request) (void *ctx, struct bd_http_exchange *exchange);
  /* The caller disconnected before the response was complete.  The exchange
     must not be used after this callback returns.  */
  void (*disconnected) (void *ctx, struct bd_http_exchange *exchange);
  /* A stream accepts data again after bd_http_stream_write() returned
     false.  */
  void (*writable) (void *ctx, struct bd_http_exchange *exchange);
};

/* An instance of libmicrohttpd.  */
struct bd_http_tier
{
  struct bd_http_server *server;
  struct MHD_Daemon *daemon; /* NULL before the first use.  */
  struct tevent_fd *fd;
};

struct bd_http_server
{
  const struct bd_http_server_ops *ops;
  void *ctx;
  struct tevent_context *events;
  struct bd_http_tier tiers[BD_HTTP_TIERS];
  int listen_fd; /* -1 if it does not listen.  */
  struct tevent_fd *listen_watch;
  struct bd_timer *accept_timer; /* Accepts again when it ends.  */
  uint32_t max_connections;
  uint32_t connection_count;
  size_t max_head_bytes;
  bool is_open; /* Initialized and not finished.  */
  struct bd_timer *timer;
  bool is_run_due;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
  bool closes_idle;
  bool announces_close;
  bool is_finishing;
  bool is_running; /* libmicrohttpd runs.  */
  bool has_to_stop_listening;
  bool has_stopped_listening;
  uint32_t open_exchanges; /* Requests without a complete response.  */
  struct bd_http_exchange *exchanges; /* All open exchanges.  */
  struct bd_http_connection *connections;
  /* Whose response has become complete in this run of libmicrohttpd.  */
  struct bd_http_connection *idled;
  struct bd_http_connection *opening; /* Passed to libmicrohttpd now.  */
  uint32_t partial_heads;             /* Connections that wait for the rest. */
  struct bd_http_linger *lingering; /* Closed; their callers may still send. */
  uint32_t lingering_count;
  struct bd_timer *sweep_timer; /* Runs while there is one of either.  */
  struct bd_memory *memory;
  void (*evicted) (void *ctx, struct bd_http_exchange *exchange);
  struct bd_timer *eviction_timer; /* Ends the evicted exchanges.  */
};

/* bd_http_server_init(): listens on an IPv4 address and port.
   The caller allocates server.  max_connections limits the number of open
   connections.  Returns false if the address is invalid or the port cannot be
   bound.  */
bool bd_http_server_init (struct bd_http_server *server,
                          struct tevent_context *events, const char *address,
                          uint32_t port, uint32_t max_connections,
                          const struct bd_http_server_ops *ops, void *ctx);

/* bd_http_server_set_timeouts(): limits the time from a new connection, or
   from a later request line, to the complete request head, and the time that a
   connection is idle or takes nothing of its response.  A body may take the
   idle timeout and the time that its bytes need at a low rate.  A caller that
   does not complete a request in time gets 408; an idle connection is closed.
   0 leaves the default.  Applies to what begins later.  */
void bd_http_server_set_timeouts (struct bd_http_server *server,
                                  uint32_t header_timeout_ms,
                                  uint32_t idle_timeout_ms);

/* bd_http_server_set_max_head(): limits the head of a request, from the
   request line to the empty line, in bytes; 16 KiB if it is never called or
   max_bytes is 0.  A request with a larger head gets 431.  Applies to requests
   that are read later, also on open connections.  */
void bd_http_server_set_max_head (struct bd_http_server *server,
                                  size_t max_bytes);

/* bd_http_server_set_memory(): takes the bodies and large heads of later
   requests, and what waits for their callers, from an account.  Each exchange
   is a source.  A caller whose body is evicted before it is complete gets 503;
   a response that is evicted ends as incomplete.  evicted is called with the
   context of the server for an exchange between these: it has to respond, with
   few bytes, and to free the body.  If it is NULL, the connection is closed as
   if the caller had disconnected.  The request handler may keep the body, and
   a copy of it, until it responds or ends the stream.  */
void bd_http_server_set_memory (
    struct bd_http_server *server, struct bd_memory *memory,
    void (*evicted) (void *ctx, struct bd_http_exchange *exchange));

/* bd_http_server_stop_listening(): accepts the connections that wait, and then
   no more.  May call the request handler.  If it is called by a callback of
   the server, this happens after libmicrohttpd has returned.  */
void bd_http_server_stop_listening (struct bd_http_server *server);

/* bd_http_limit_connections(): max_connections, or as many as the process may
   have without taking the descriptors that its other connections need.  */
uint32_t bd_http_limit_connections (uint32_t max_connections);

/* bd_http_server_close_idle(): closes the connections on which no request has
   begun, and from now on those whose response is complete.  A request that
   arrives on one of them afterwards is not handled.  To be called after
   bd_http_server_stop_listening().  */
void bd_http_server_close_idle (struct bd_http_server *server);

/* bd_http_server_announce_close(): from now on, each response tells its caller
   that the connection is closed after it.  */
void bd_http_server_announce_close (struct bd_http_server *server);

/* bd_http_server_is_idle(): whether no request is open, the requests that had
   arrived when the server stopped listening have been read, and no caller can
   lose a whole response by the server's end.  */
bool bd_http_server_is_idle (const struct bd_http_server *server);

/* bd_http_server_finish(): writes the whole responses as far as their sockets
   take them, closes all connections and stops the server.  Calls no callback.
   Must not be called by one.  */
void bd_http_server_finish (struct bd_http_server *server);

/* bd_http_header(): the value of a request header, or NULL.  */
const char *bd_http_header (const struct bd_http_exchange *exchange,
                            const char *name);

/* bd_http_headers(): calls visit (ctx, name, value) for every request header,
   in the order in which they were received.  */
void bd_http_headers (const struct bd_http_exchange *exchange,
                      void (*visit) (void *ctx, const char *name,
                                     const char *value),
                      void *ctx);

/* bd_http_query(): the value of a query argument, or NULL.  */
const char *bd_http_query (const struct bd_http_exchange *exchange,
                           const char *name);

/* bd_http_is_swept(): whether the server has ended the connection because the
   caller took nothing of the response.  */
bool bd_http_is_swept (const struct bd_http_exchange *exchange);

/* bd_http_respond(): sends a complete response.  body is copied.  headers ends
   with a NULL name, or is NULL for no headers.  Must be called only once.  */
void bd_http_respond (struct bd_http_exchange *exchange, uint32_t status,
                      const struct bd_http_header_field *headers,
                      const char *body, size_t size);

/* bd_http_respond_text(): like bd_http_respond(), with a content type and a
   string as body.  */
void bd_http_respond_text (struct bd_http_exchange *exchange, uint32_t status,
                           const char *content_type, const char *text);

/* bd_http_stream_begin(): starts a response of unknown length.  */
void bd_http_stream_begin (struct bd_http_exchange *exchange, uint32_t status,
                           const struct bd_http_header_field *headers);

/* bd_http_stream_write(): appends bytes to the stream.  Returns false if the
   caller reads slowly; the sender should then wait for the writable
   callback.  */
bool bd_http_stream_write (struct bd_http_exchange *exchange, const char *data,
                           size_t size);

/* bd_http_stream_end(): ends the response.  If is_complete is false, closes
   the connection, so that the caller sees a broken transfer.  */
void bd_http_stream_end (struct bd_http_exchange *exchange, bool is_complete);

/* bd_http_abort(): closes the connection without a response.  */
void bd_http_abort (struct bd_http_exchange *exchange);

#endif

/* An HTTP server on the event loop: bounded requests, answers now or later,
   streams with back-pressure, and notice of callers that leave.

   The server runs libmicrohttpd without threads.  Its epoll descriptor is one
   event of the loop.  */

#ifndef BD_HTTP_SERVER_H
#define BD_HTTP_SERVER_H

#include "base/timer.h"

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

struct bd_http_server;

/* One request and its answer.  Owned by the server until it is completed.  */
struct bd_http_exchange
{
  struct bd_http_server *server;
  struct MHD_Connection *connection;
  void *user; /* For the handler; NULL at first.  */
  const char *method;
  char *uri;  /* As it was sent, with the query.  */
  char *path; /* Without the query.  */
  char *body;
  size_t body_size;
  size_t max_body_bytes;

  /* For the server only.  */
  uint32_t state;
  bool is_suspended;
  bool is_too_large;
  bool is_closed;
  bool has_ended;
  bool is_complete;
  bool is_writer_blocked;
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
  /* Largest body taken for this path, in bytes.  */
  size_t (*max_body_bytes) (void *ctx, const char *path);
  /* A whole request.  Answer it now or keep the exchange for later.  */
  void (*request) (void *ctx, struct bd_http_exchange *exchange);
  /* The caller left before the whole answer; the exchange ends now.  */
  void (*disconnected) (void *ctx, struct bd_http_exchange *exchange);
  /* A stream has room again after bd_http_stream_write() returned false.  */
  void (*writable) (void *ctx, struct bd_http_exchange *exchange);
};

struct bd_http_server
{
  const struct bd_http_server_ops *ops;
  void *ctx;
  struct tevent_context *events;
  struct MHD_Daemon *daemon;
  struct tevent_fd *fd;
  struct bd_timer *timer;
  bool is_run_due;
  uint32_t header_timeout_s;
  uint32_t idle_timeout_s;
  uint32_t open_exchanges; /* Requests without a completed answer.  */
  struct bd_http_exchange *exchanges; /* All of them.  */
};

/* bd_http_server_init(): listens on address and port.
   server is memory of the caller; max_connections bounds open connections.
   Returns false when the port cannot be bound.  */
bool bd_http_server_init (struct bd_http_server *server,
                          struct tevent_context *events, const char *address,
                          uint32_t port, uint32_t max_connections,
                          const struct bd_http_server_ops *ops, void *ctx);

/* bd_http_server_set_timeouts(): how long a new connection may take for its
   first request, and how long a connection may be idle.  Applies to requests
   and connections that come later.  */
void bd_http_server_set_timeouts (struct bd_http_server *server,
                                  uint32_t header_timeout_ms,
                                  uint32_t idle_timeout_ms);

/* bd_http_server_stop_listening(): takes no new connections.  */
void bd_http_server_stop_listening (struct bd_http_server *server);

/* bd_http_server_finish(): closes every connection.  */
void bd_http_server_finish (struct bd_http_server *server);

/* bd_http_header(): a request header, or NULL.  */
const char *bd_http_header (const struct bd_http_exchange *exchange,
                            const char *name);

/* bd_http_headers(): calls each (name, value) for every request header, in
   the order in which they came.  */
void bd_http_headers (const struct bd_http_exchange *exchange,
                      void (*visit) (void *ctx, const char *name,
                                     const char *value),
                      void *ctx);

/* bd_http_query(): a query argument, or NULL.  */
const char *bd_http_query (const struct bd_http_exchange *exchange,
                           const char *name);

/* One header of an answer.  */
struct bd_http_header_field
{
  const char *name;
  const char *value;
};

/* bd_http_respond(): gives the whole answer.  body is copied.  headers end
   with a NULL name; NULL stands for none.  May be called once.  */
void bd_http_respond (struct bd_http_exchange *exchange, uint32_t status,
                      const struct bd_http_header_field *headers,
                      const char *body, size_t size);

/* bd_http_respond_text(): the same with a content type and a string.  */
void bd_http_respond_text (struct bd_http_exchange *exchange, uint32_t status,
                           const char *content_type, const char *text);

/* bd_http_stream_begin(): starts an answer of unknown length.  */
void bd_http_stream_begin (struct bd_http_exchange *exchange, uint32_t status,
                           const struct bd_http_header_field *headers);

/* bd_http_stream_write(): adds bytes.  Returns false when the caller reads
   slowly and the sender should wait for the writable callback.  */
bool bd_http_stream_write (struct bd_http_exchange *exchange, const char *data,
                           size_t size);

/* bd_http_stream_end(): ends the answer; with is_complete false the connection
   is cut, so that the caller sees a broken transfer.  */
void bd_http_stream_end (struct bd_http_exchange *exchange, bool is_complete);

/* bd_http_abort(): closes the connection without an answer.  */
void bd_http_abort (struct bd_http_exchange *exchange);

#endif

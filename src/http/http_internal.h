/* Callers' connections: their time-outs, and how they wait for requests.  For
   use by this slice only.

   A connection is in one phase at a time: it sends the head or the body of a
   request, waits for the response and reads it, or is idle.  Each phase has a
   deadline that single bytes do not move.  A caller that does not complete a
   request in time gets 408, and one whose body is too large 413 at once, which
   is true: the request was not passed on.  A
   response ends if bytes of it wait in the socket and the caller takes none
   for an idle time-out; its checks find that up to half of one later.

   The pool of a connection is allocated as a whole and cleared after each
   request, so that its size counts for each idle connection.  Most heads fit a
   small one.  So a connection is read by one of several instances of
   libmicrohttpd, the tiers, which differ in the size of their pools.  Before
   its first request, and between two of them, the server looks at the head
   without reading it (MSG_PEEK) and chooses the tier by its measure.  A
   connection of the first tier is kept there; one of another tier is closed
   after one response.  */

#ifndef BD_HTTP_HTTP_INTERNAL_H
#define BD_HTTP_HTTP_INTERNAL_H

#include "http/head.h"
#include "http/server.h"

enum bd_http_phase
{
  BD_HTTP_FIRST_HEAD, /* New; no request line has been received.  */
  BD_HTTP_IDLE,       /* Kept after a response.  */
  BD_HTTP_HEAD,       /* A request line has been received.  */
  BD_HTTP_BODY,
  BD_HTTP_RESPONSE,
  BD_HTTP_ENDING /* Shut down, or refused: no request is handled.  */
};

/* bd_http_phase_name(): what a connection does in a phase.  */
const char *bd_http_phase_name (enum bd_http_phase phase);

struct bd_http_connection
{
  struct bd_http_server *server;
  int fd;
  enum bd_http_phase phase;
  int64_t since_ms;    /* When the phase began.  */
  int64_t deadline_ms; /* Of the phase, or of the next check of a response. */
  uint32_t idle_timeout_ms;
  uint64_t body_bytes; /* Received in this phase.  */
  /* At the last check of the response.  */
  bool has_unacked; /* Bytes had been written and not acknowledged.  */
  uint64_t acked_bytes;
  int64_t unchanged_since_ms; /* When unacknowledged bytes were last found to
                                 be new or fewer.  */
  bool has_responded;         /* The last request has its whole response.  */
  bool is_refused;            /* See bd_http_connection_refuse().  */
  struct bd_http_exchange *exchange; /* NULL outside of requests.  */
  uint32_t tier;
  struct MHD_Connection *handle; /* NULL before the first request.  */
  /* Of a head that libmicrohttpd reads before its end has come.  */
  struct bd_memory_share head_share;
  bool is_evicted;         /* This share is.  */
  bool is_waiting;         /* For a head, which is not read yet.  */
  bool has_partial_head;   /* Waits for the rest of it.  */
  bool is_idled;           /* In the list of the server.  */
  int64_t look_delay_ms;   /* Until the next look at a partial head.  */
  struct tevent_fd *watch; /* While it waits.  */
  struct bd_timer *look_timer;
  struct bd_http_connection *next_idled;
  struct bd_http_connection *prev;
  struct bd_http_connection *next;
};

/* bd_http_end_evicted_later(): ends what has lost its share, outside of the
   callbacks of libmicrohttpd.  */
void bd_http_end_evicted_later (struct bd_http_server *server);

/* bd_http_now_ms(): the time of the deadlines of connections.  */
int64_t bd_http_now_ms (void);

/* bd_http_connection_open(): starts to watch a new connection of server.  */
struct bd_http_connection *
bd_http_connection_open (struct bd_http_server *server, int fd);

/* bd_http_connection_reserve(): the connection reads a head that may have as
   many bytes as the server allows.  Returns false if there is no room.
   bd_http_connection_release(): its head has come.  Returns false if its share
   has been evicted.  */
bool bd_http_connection_reserve (struct bd_http_connection *connection);
bool bd_http_connection_release (struct bd_http_connection *connection);

/* bd_http_connection_close(): ends the watch, and frees connection.  Its
   socket lingers if the last request has been answered.  */
void bd_http_connection_close (struct bd_http_connection *connection);

/* bd_http_connection_enter(): the connection is in another phase.  A
   connection that ends stays in its phase.  */
void bd_http_connection_enter (struct bd_http_connection *connection,
                               enum bd_http_phase phase);

/* bd_http_connection_received(): size bytes of a body have been received.  */
void bd_http_connection_received (struct bd_http_connection *connection,
                                  size_t size);

/* bd_http_connection_refuse(): responds 408, 413, 431 or 503 to a request that
   is incomplete, for which libmicrohttpd has no response, and ends the
   connection.  No response may have begun.  */
void bd_http_connection_refuse (struct bd_http_connection *connection,
                                uint32_t status, int64_t now_ms);

/* bd_http_connection_end(): shuts the connection down, so that libmicrohttpd
   closes it.  */
void bd_http_connection_end (struct bd_http_connection *connection);

/* bd_http_connection_close_idle(): closes the connection if it is idle or
   new and nothing has arrived on it.  */
void bd_http_connection_close_idle (struct bd_http_connection *connection);

/* bd_http_connection_check(): sends 408 or closes the connection if its
   deadline has passed.  May free it.  */
void bd_http_connection_check (struct bd_http_connection *connection,
                               int64_t now_ms);

/* bd_http_wait_begin(): the connection waits for the head of a request.  Not
   to be called while libmicrohttpd runs.  */
void bd_http_wait_begin (struct bd_http_connection *connection);

/* bd_http_wait_check(): looks at what has arrived.  Returns whether the
   connection still waits; if not, libmicrohttpd reads it.  */
bool bd_http_wait_check (struct bd_http_connection *connection);

/* bd_http_wait_leave(): a connection that waits has ended: it is closed in the
   next iteration of the event loop.  */
void bd_http_wait_leave (struct bd_http_connection *connection);

/* bd_http_wait_finish(): ends all waiting, because the server finishes.  */
void bd_http_wait_finish (struct bd_http_server *server);

/* bd_http_response_head_bytes(): the room that a request with a head of this
   size leaves in the pool of its connection for the head of the response.  */
size_t bd_http_response_head_bytes (size_t head_bytes);

/* bd_http_tier_open(): passes the connection, which has no handle yet, to
   libmicrohttpd.  Frees it if that fails.
   bd_http_tier_start(): starts a tier; called before the first use of one.
   Returns false if that fails.
   bd_http_tier_bytes(): the size of its pools.  */
void bd_http_tier_open (struct bd_http_connection *connection);
bool bd_http_tier_start (struct bd_http_server *server, uint32_t tier);
size_t bd_http_tier_bytes (uint32_t tier);

/* bd_http_schedule_run(): runs libmicrohttpd in the next iteration of the
   event loop.  */
void bd_http_schedule_run (struct bd_http_server *server);

/* bd_http_listen(): listens on an IPv4 address.  Returns false if the address
   is invalid or in use.
   bd_http_accept_all(): accepts all connections that wait.
   bd_http_update_accepting(): accepts connections if there is room for them.
   bd_http_stop_accepting(): closes the listening socket.  */
bool bd_http_listen (struct bd_http_server *server, const char *address,
                     uint32_t port);
void bd_http_accept_all (struct bd_http_server *server);
void bd_http_update_accepting (struct bd_http_server *server);
void bd_http_stop_accepting (struct bd_http_server *server);

struct tcp_info;

/* bd_http_get_tcp_info(): what the kernel knows of a socket; zeros if that
   cannot be found out.  */
void bd_http_get_tcp_info (int fd, struct tcp_info *info);

/* bd_http_linger_begin(): the server is about to close fd after a whole
   response.  The kernel resets a connection that is closed before all that the
   caller has sent was read, and then the caller can lose what it has not read
   of the response.  So the socket is only shut down for writing, and what
   comes is dropped, until the caller closes its end, takes nothing more for a
   second, or has sent or taken too much; then it is closed.  A server that
   finishes drops only what has arrived by then.  */
void bd_http_linger_begin (struct bd_http_server *server, int fd,
                           int64_t now_ms);

/* bd_http_linger_check(): closes the sockets whose time is over.  */
void bd_http_linger_check (struct bd_http_server *server, int64_t now_ms);

/* bd_http_linger_finish(): closes all of them.  */
void bd_http_linger_finish (struct bd_http_server *server);

#endif

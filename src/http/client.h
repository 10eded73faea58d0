/* HTTP client on the event loop, built on libcurl's multi interface.

   bd_http_send() starts a call; the callbacks in struct bd_http_call_ops
   report its response and its end.

   A response that is not valid HTTP (http/response_head.h, http/chunks.h)
   fails the call, and its connection is closed.

   No request is sent on a connection on which bytes wait, since they would be
   taken for its response, or which its peer has ended: a kept connection is
   closed and another one opened, and a call whose new connection is such a one
   fails as not sent.

   A peer may send without end, also bytes that reach no callback, such as
   chunk extensions.  So a response head, a collected body, and what of a
   response is of no use are limited for each call, and the bytes that all
   calls buffer by the account of the client.  A call over one of the limits
   fails.  */

#ifndef BD_HTTP_CLIENT_H
#define BD_HTTP_CLIENT_H

#include "base/timer.h"
#include "http/server.h"
#include "memory/memory.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/* The result of a finished call.  */
struct bd_http_result
{
  bool is_complete; /* The complete response was received.  */
  bool was_sent;    /* At least one byte of the request may have been sent.  */
  bool has_timed_out;
  /* What of the response was too large: "head", "body", "framing" (chunk sizes
     and extensions), "discarded" (see bd_http_call_discard()), "buffers" (it
     was evicted from the account), or what the callbacks have named; NULL if
     nothing was.  */
  const char *excess;
  /* What of the response is malformed: a part that http/response_head.h names,
     "chunk" (see http/chunks.h), or "head" if libcurl has refused it; NULL if
     nothing is.  The call is not complete then, and has neither response
     headers nor a body.  */
  const char *malformed;
  uint32_t status; /* 0 if there is none, or the response is malformed.  */
  const char *body;
  size_t body_size;
};

struct bd_http_call;

struct bd_http_call_ops
{
  /* The response head has been received.  Called before the first byte of the
     body; not called for a response without a body.  May be NULL.  */
  void (*head) (void *ctx, struct bd_http_call *call, uint32_t status);
  /* Whether the final response head belongs to this request.  If it returns
     false, the call fails and its connection is closed.  May be NULL.  */
  bool (*accepts) (void *ctx, struct bd_http_call *call);
  /* Bytes of the body.  Returns false to pause the transfer until
     bd_http_call_continue().  If NULL, the body is collected and passed to
     done.  */
  bool (*data) (void *ctx, struct bd_http_call *call, const char *data,
                size_t size);
  /* The call has finished; it is freed after this callback returns.  */
  void (*done) (void *ctx, struct bd_http_call *call,
                const struct bd_http_result *result);
};

/* A request to send.  */
struct bd_http_request
{
  const char *method;
  const char *url;
  /* Ends with a NULL name.  May be NULL.  */
  const struct bd_http_header_field *headers;
  const char *body; /* Copied.  */
  size_t body_size;
  /* Largest response body that is collected; 0 means the default.  */
  size_t max_response_bytes;
  /* Of what the response buffers; 0 means the address of url.  */
  uint64_t source;
  uint32_t timeout_ms;         /* 0 means no timeout.  */
  uint32_t connect_timeout_ms; /* 0 means the default.  */
  /* Request target, sent unchanged instead of the URL's path.  May be NULL. */
  const char *target;
  /* Uses a new connection, which may be kept alive afterwards.  */
  bool has_new_connection;
  /* Stops libcurl from resending the request: if a reused connection turns out
     to be dead, the call fails.  */
  bool is_sent_once;
  /* Uses a new connection and closes it after the call, so that libcurl never
     resends the request.  */
  bool has_dedicated_connection;
};

struct bd_http_client
{
  struct tevent_context *events;
  CURLM *multi;
  struct bd_timer *timer;
  struct bd_http_call *calls; /* Running calls.  */
  GHashTable *sockets;        /* Addresses of a connection -> socket.  */
  GHashTable *names;          /* The reverse; holds the keys of sockets.  */
  /* Callbacks of libcurl that run, each within the one before.  */
  uint32_t callback_depth;
  bool has_cancelled; /* Calls cancelled in callbacks have to be freed.  */
  struct bd_memory *memory;
  struct bd_timer *end_timer; /* Ends the calls over a limit.  */
};

/* bd_http_client_init(): prepares client.  max_idle limits the idle
   connections that are kept open.  Returns false if libcurl cannot be
   initialized.  */
bool bd_http_client_init (struct bd_http_client *client,
                          struct tevent_context *events, uint32_t max_idle);

/* bd_http_client_finish(): cancels running calls without calling their
   callbacks, and frees the client.  */
void bd_http_client_finish (struct bd_http_client *client);

/* bd_http_client_set_memory(): takes what the responses of later calls buffer
   from an account.  */
void bd_http_client_set_memory (struct bd_http_client *client,
                                struct bd_memory *memory);

/* bd_http_send(): starts a call.  Returns NULL if it cannot be started.
   Must not be called from the head and data callbacks.  */
struct bd_http_call *bd_http_send (struct bd_http_client *client,
                                   const struct bd_http_request *request,
                                   const struct bd_http_call_ops *ops,
                                   void *ctx);

/* bd_http_call_status(): the status of the response; 0 before its head is
   received.  */
uint32_t bd_http_call_status (const struct bd_http_call *call);

/* bd_http_call_header(): the value of a response header, or NULL.  Trailers
   are dropped.  */
const char *bd_http_call_header (const struct bd_http_call *call,
                                 const char *name);

/* bd_http_call_headers(): all response headers; sets *count.  */
const struct bd_http_header_field *
bd_http_call_headers (const struct bd_http_call *call, uint32_t *count);

/* bd_http_call_is_first(): whether the connection of the call was opened for
   it.  Valid from the response head on.  */
bool bd_http_call_is_first (const struct bd_http_call *call);

/* bd_http_call_was_sent(): whether at least one byte of the request may have
   been sent.  */
bool bd_http_call_was_sent (const struct bd_http_call *call);

/* bd_http_call_close(): closes the connection once the call has finished, so
   that no other call uses it.  */
void bd_http_call_close (struct bd_http_call *call);

/* bd_http_call_reject(): the data are no valid response, or excess, a static
   string, is too large.  excess may be NULL.  Called from the data callback;
   the call then fails and its connection is closed.  */
void bd_http_call_reject (struct bd_http_call *call, const char *excess);

/* bd_http_call_hold(): the callbacks buffer this many bytes for the call.
   Returns false if the call was evicted from the account; it then fails.  */
bool bd_http_call_hold (struct bd_http_call *call, size_t bytes);

/* bd_http_call_source(): the source of what the response buffers.  */
uint64_t bd_http_call_source (const struct bd_http_call *call);

/* bd_http_call_discard(): of the data that the current data callback was
   passed, these many bytes are of no use.  */
void bd_http_call_discard (struct bd_http_call *call, size_t bytes);

/* bd_http_call_continue(): resumes the transfer after the data callback paused
   it.  */
void bd_http_call_continue (struct bd_http_call *call);

/* bd_http_call_cancel(): cancels the call and closes its connection.  None of
   its callbacks is called afterwards.  May be called from all of them.  */
void bd_http_call_cancel (struct bd_http_call *call);

#endif

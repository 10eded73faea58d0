/* An HTTP client on the event loop, through libcurl's multi interface.  */

#ifndef BD_HTTP_CLIENT_H
#define BD_HTTP_CLIENT_H

#include "base/timer.h"
#include "http/server.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

enum
{
  /* Response headers that are kept for a call.  */
  BD_HTTP_MAX_HEADERS = 24
};

/* What a finished call came to.  */
struct bd_http_result
{
  bool is_complete; /* The transfer ended as its framing promised.  */
  bool was_sent;    /* At least one byte of the request may have left.  */
  bool has_timed_out;
  uint32_t status; /* 0 when no status line came.  */
  const char *body;
  size_t body_size;
};

struct bd_http_call;

struct bd_http_call_ops
{
  /* The head of the answer is here.  May be NULL.  */
  void (*head) (void *ctx, struct bd_http_call *call, uint32_t status);
  /* Whether this head answers the request.  When it does not, the call ends
     as broken and its connection is closed.  May be NULL.  */
  bool (*accepts) (void *ctx, struct bd_http_call *call);
  /* Bytes of the body.  Returns false to take no more until
     bd_http_call_continue().  NULL collects the body for done.  */
  bool (*data) (void *ctx, struct bd_http_call *call, const char *data,
                size_t size);
  /* The call is over; it is freed after this returns.  */
  void (*done) (void *ctx, struct bd_http_call *call,
                const struct bd_http_result *result);
};

struct bd_http_request
{
  const char *method;
  const char *url;
  const struct bd_http_header_field
      *headers;     /* Ends with a NULL name, or NULL.  */
  const char *body; /* Copied.  */
  size_t body_size;
  uint32_t timeout_ms;         /* 0 stands for none.  */
  uint32_t connect_timeout_ms; /* 0 stands for the default.  */
  /* Sent as it is instead of the URL's path; NULL for none.  */
  const char *target;
  /* On a new connection, which may be kept.  */
  bool has_new_connection;
  /* Never sent a second time by the library: a kept connection that turns out
     dead breaks the call.  */
  bool is_sent_once;
  /* A connection of its own, never reused.  The library then never sends a
     request a second time by itself.  */
  bool has_dedicated_connection;
};

struct bd_http_client
{
  struct tevent_context *events;
  CURLM *multi;
  struct bd_timer *timer;
  struct bd_http_call *calls; /* Running.  */
  CURL **idle;                /* Handles to be used again.  */
  uint32_t idle_count;
  uint32_t idle_size;
  bool is_in_callback; /* The library is calling back.  */
  bool has_cancelled;  /* Calls cancelled meanwhile wait to be freed.  */
};

/* bd_http_client_init(): max_idle bounds the connections kept open.  */
bool bd_http_client_init (struct bd_http_client *client,
                          struct tevent_context *events, uint32_t max_idle);

/* bd_http_client_finish(): drops running calls without calling back.  */
void bd_http_client_finish (struct bd_http_client *client);

/* bd_http_send(): starts a call.  Returns NULL when it cannot be started.
   Not to be called from the head and data callbacks.  */
struct bd_http_call *bd_http_send (struct bd_http_client *client,
                                   const struct bd_http_request *out,
                                   const struct bd_http_call_ops *ops,
                                   void *ctx);

/* bd_http_call_status(): of the answer; 0 before its head.  */
uint32_t bd_http_call_status (const struct bd_http_call *call);

/* bd_http_call_header(): a header of the answer, or NULL.  */
const char *bd_http_call_header (const struct bd_http_call *call,
                                 const char *name);

/* bd_http_call_headers(): all headers of the answer that were kept.  */
const struct bd_http_header_field *
bd_http_call_headers (const struct bd_http_call *call, uint32_t *count);

/* bd_http_call_continue(): takes data again after data returned false.  */
void bd_http_call_continue (struct bd_http_call *call);

/* bd_http_call_cancel(): drops the call and closes its connection; nothing
   is called back.  */
void bd_http_call_cancel (struct bd_http_call *call);

#endif

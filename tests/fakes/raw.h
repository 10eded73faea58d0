/* An endpoint whose responses are written byte by byte, for responses that no
   sound HTTP server sends.

   raw_start(); the handler is called for each request head, also for one that
   arrives before the response to the last one; raw_finish().  Bodies with a
   length are skipped; others are not supported.  */

#ifndef BD_TESTS_FAKES_RAW_H
#define BD_TESTS_FAKES_RAW_H

#include "base/ids.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

struct raw_endpoint;

/* A connection.  Freed when the client closes it.  */
struct raw_connection
{
  struct raw_endpoint *endpoint;
  struct tevent_fd *event;
  int fd;
  uint32_t requests; /* Including the current one.  */
  char head[8192];
  size_t used;
  size_t body_left; /* Of the current request.  */
  int64_t quiet_ms; /* For the handler's use.  */
};

struct raw_request
{
  char path[BD_NAME_SIZE];
  char attempt_id[BD_NAME_SIZE]; /* Empty if it has none.  */
  int64_t last_event_id;         /* -1 if it has none.  */
};

typedef void raw_handler (struct raw_connection *connection,
                          const struct raw_request *request);

struct raw_endpoint
{
  struct tevent_context *events;
  struct tevent_fd *event;
  int fd;
  raw_handler *handle;
  void *ctx;
  uint32_t connections; /* Accepted since the start.  */
};

/* raw_start(): listens on the loopback address of the test.  */
void raw_start (struct raw_endpoint *endpoint, struct tevent_context *events,
                uint32_t port, raw_handler *handle, void *ctx);
void raw_finish (struct raw_endpoint *endpoint);

/* raw_send(): sends text after delay_ms, or at once if that is 0.  Nothing is
   sent once the connection is closed.
   raw_send_bytes(): the same for bytes, which may contain zeros.  */
void raw_send (struct raw_connection *connection, const char *text,
               int64_t delay_ms);
void raw_send_bytes (struct raw_connection *connection, const char *bytes,
                     size_t size, int64_t delay_ms);

/* raw_close(): closes the connection after delay_ms, by a reset or in order.
 */
void raw_close (struct raw_connection *connection, bool is_reset,
                int64_t delay_ms);

#endif

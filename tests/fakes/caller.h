/* A caller on a plain socket: it sends bodies in pieces, with a length or in
   chunks, keeps its connection, and may leave before the response.

   caller_init(); caller_send() sends a request, on a new connection if there
   is none, and done is called at its end, from where the next one can be sent;
   caller_finish().  Responses are read with the checks of the product.  */

#ifndef BD_TESTS_FAKES_CALLER_H
#define BD_TESTS_FAKES_CALLER_H

#include "base/ids.h"
#include "http/chunks.h"
#include "http/response_head.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

enum caller_outcome
{
  CALLER_WHOLE,   /* A complete response.  */
  CALLER_CUT,     /* A response that is not complete.  */
  CALLER_NONE,    /* The connection ended without a head.  */
  CALLER_REFUSED, /* No connection could be opened.  */
  CALLER_LEFT,    /* It closed the connection before the end.  */
  CALLER_TIMEOUT, /* No end within limit_ms.  */
  CALLER_OUTCOMES
};

struct caller_request
{
  const char *method;
  const char *target;
  const char *host;
  const char *attempt_id;
  const char *fields;  /* Further header fields, each with its CRLF.  */
  uint32_t body_bytes; /* In all.  */
  uint32_t pieces;     /* In which the body is sent; at least 1.  */
  uint32_t piece_ms;   /* Between two of them.  */
  bool is_chunked;     /* Each piece is a chunk.  */
  uint32_t leave_ms;   /* Until it leaves; 0 if it does not.  */
  uint32_t limit_ms;   /* For the end of the response.  */
};

struct caller;

typedef void caller_done (struct caller *caller, enum caller_outcome outcome);

struct caller
{
  struct tevent_context *events;
  const char *address;
  uint32_t port;
  caller_done *done;
  void *ctx;
  int fd; /* -1 if there is no connection.  */
  struct tevent_fd *event;
  void *timers; /* Of the current request; NULL if there is none.  */
  struct caller_request request;
  char attempt_id[BD_NAME_SIZE];
  GString *input;
  size_t read; /* Of the input.  */
  struct bd_response_head head;
  struct bd_chunks chunks;
  GString *fields; /* The lines of the head.  */
  GString *body;   /* As received, with its framing.  */
};

void caller_init (struct caller *caller, struct tevent_context *events,
                  const char *address, uint32_t port, caller_done *done,
                  void *ctx);
void caller_finish (struct caller *caller);

/* caller_send(): only if no request is under way.  */
void caller_send (struct caller *caller, const struct caller_request *request);

/* caller_has_field(): whether the head of the response has this line.  */
bool caller_has_field (const struct caller *caller, const char *line);

#endif

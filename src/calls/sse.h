/* Incremental parser that splits a stream of server-sent events.  Pure.

   Only complete events are returned, so that a stream that breaks within an
   event can be resumed after the last complete one.

   Pass received bytes to bd_sse_feed(), then call bd_sse_next() until it
   returns false.  Lines end with LF or CR LF, by the first one of the
   stream.  */

#ifndef BD_CALLS_SSE_H
#define BD_CALLS_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Longest event that is accepted.  */
  BD_SSE_MAX_EVENT_BYTES = 1 << 20
};

struct bd_sse
{
  void *ctx;
  char *buffer;
  size_t used;  /* Bytes in the buffer.  */
  size_t start; /* First byte that was not returned yet.  */
  size_t capacity;
  size_t scanned; /* The end of an event is not before this byte.  */
  bool has_line;  /* The first line has ended.  */
  bool has_cr_lf;
};

/* One complete event.  */
struct bd_sse_event
{
  const char *text; /* Includes the empty line that ends it.  */
  size_t size;
  bool has_id;
  int64_t id;
  bool is_end;     /* "data: [DONE]".  */
  bool is_comment; /* It has no fields.  */
  /* It has other lines than fields and comments, or other line ends than the
     first line of the stream.  An endpoint that fails may write another
     response into its stream.  */
  bool is_malformed;
};

/* bd_sse_init(): ctx is the talloc parent of the buffer.  */
void bd_sse_init (struct bd_sse *sse, void *ctx);

/* bd_sse_feed(): appends size bytes.  Returns false when the buffered bytes
   would exceed BD_SSE_MAX_EVENT_BYTES.  */
bool bd_sse_feed (struct bd_sse *sse, const char *data, size_t size);

/* bd_sse_next(): fills event with the next complete event; false when there is
   none.  event->text is valid until the next call of bd_sse_feed().  */
bool bd_sse_next (struct bd_sse *sse, struct bd_sse_event *event);

/* bd_sse_reset(): discards the buffered rest of a broken stream; what is fed
   next is another stream.  */
void bd_sse_reset (struct bd_sse *sse);

#endif

/* Server-sent events, cut into whole events.  Pure.

   Only whole events are passed on, so that a stream which breaks within an
   event can be resumed after the last whole one.  */

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
  size_t used;
  size_t start;
  size_t capacity;
  size_t scanned;
};

/* One whole event.  */
struct bd_sse_event
{
  const char *text; /* With the empty line that ends it.  */
  size_t size;
  bool has_id;
  int64_t id;
  bool is_end; /* "data: [DONE]".  */
};

/* bd_sse_init(): the buffer lives on ctx.  */
void bd_sse_init (struct bd_sse *sse, void *ctx);

/* bd_sse_feed(): adds bytes; false when an event grows too long.  */
bool bd_sse_feed (struct bd_sse *sse, const char *data, size_t size);

/* bd_sse_next(): the next whole event; its text is valid until the next call
   of bd_sse_feed().  */
bool bd_sse_next (struct bd_sse *sse, struct bd_sse_event *event);

/* bd_sse_reset(): drops what is left of a broken stream.  */
void bd_sse_reset (struct bd_sse *sse);

#endif

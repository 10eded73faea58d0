/* Splitting of event streams into events.  */

#include "calls/sse.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MAX_ID_BYTES = 63 /* Of a number with blanks and leading zeros.  */
};

void
bd_sse_init (struct bd_sse *sse, void *ctx)
{
  memset (sse, 0, sizeof *sse);
  sse->ctx = ctx;
}

void
bd_sse_reset (struct bd_sse *sse)
{
  TALLOC_FREE (sse->buffer);
  sse->capacity = 0;
  sse->used = 0;
  sse->start = 0;
  sse->scanned = 0;
  sse->has_line = false;
}

bool
bd_sse_feed (struct bd_sse *sse, const char *data, size_t size)
{
  size_t pending = sse->used - sse->start;

  if (pending + size > BD_SSE_MAX_EVENT_BYTES)
    return false;
  if (sse->start > 0)
    memmove (sse->buffer, sse->buffer + sse->start, pending);
  sse->scanned -= sse->start;
  sse->start = 0;
  sse->used = pending;
  if (pending + size > sse->capacity)
    {
      sse->capacity = (pending + size) * 2;
      sse->buffer
          = talloc_realloc (sse->ctx, sse->buffer, char, sse->capacity);
    }
  memcpy (sse->buffer + pending, data, size);
  sse->used += size;
  return true;
}

static bool
has_prefix (const char *line, size_t size, const char *prefix)
{
  size_t length = strlen (prefix);

  return size >= length && memcmp (line, prefix, length) == 0;
}

/* Whether a line is a field or a comment.  Only "data" may stand without a
   colon.  */
static bool
is_field (const char *line, size_t size)
{
  const char *colon = memchr (line, ':', size);
  const char *end = colon != NULL ? colon : line + size;

  if (memchr (line, '\r', size) != NULL)
    return false;
  if (colon == NULL)
    return size == strlen ("data") && has_prefix (line, size, "data");
  for (const char *c = line; c < end; c++)
    if (!isalnum ((unsigned char)*c) && *c != '-' && *c != '_')
      return false;
  return true;
}

/* The text is followed by other lines, or by the end of the buffer.  */
static int64_t
read_id (const char *text, size_t size)
{
  char digits[MAX_ID_BYTES + 1] = "";

  memcpy (digits, text, size < MAX_ID_BYTES ? size : MAX_ID_BYTES);
  return strtoll (digits, NULL, 10);
}

static void
parse_line (struct bd_sse_event *event, const char *line, size_t size,
            bool has_cr_lf)
{
  bool has_cr = size > 0 && line[size - 1] == '\r';

  event->is_malformed = event->is_malformed || has_cr != has_cr_lf;
  size -= has_cr && has_cr_lf;
  if (size == 0)
    return;
  event->is_malformed = event->is_malformed || !is_field (line, size);
  event->is_comment = event->is_comment && line[0] == ':';
  if (has_prefix (line, size, "id: "))
    {
      event->has_id = true;
      event->id = read_id (line + strlen ("id: "), size - strlen ("id: "));
    }
  else if (has_prefix (line, size, "data: [DONE]"))
    event->is_end = true;
}

static void
parse_event (struct bd_sse_event *event, bool has_cr_lf)
{
  const char *line = event->text;
  const char *end = event->text + event->size;

  event->is_comment = true;
  while (line < end)
    {
      const char *newline = memchr (line, '\n', (size_t)(end - line));
      if (newline == NULL)
        break;
      parse_line (event, line, (size_t)(newline - line), has_cr_lf);
      line = newline + 1;
    }
}

/* Looks from an offset on how the first line of the stream ends.  */
static void
find_line_end (struct bd_sse *sse, size_t from)
{
  const char *start = sse->buffer + sse->start;
  const char *newline
      = sse->used > from ? memchr (sse->buffer + from, '\n', sse->used - from)
                         : NULL;

  sse->has_line = newline != NULL;
  sse->has_cr_lf = newline != NULL && newline > start && newline[-1] == '\r';
}

bool
bd_sse_next (struct bd_sse *sse, struct bd_sse_event *event)
{
  size_t from = sse->scanned > sse->start ? sse->scanned : sse->start;
  const char *end;
  const char *found;
  size_t end_size;

  if (!sse->has_line)
    find_line_end (sse, from);
  end = sse->has_cr_lf ? "\r\n\r\n" : "\n\n";
  end_size = strlen (end);
  found = sse->used > from
              ? memmem (sse->buffer + from, sse->used - from, end, end_size)
              : NULL;
  if (found != NULL)
    {
      memset (event, 0, sizeof *event);
      event->text = sse->buffer + sse->start;
      event->size = (size_t)(found - event->text) + end_size;
      sse->start += event->size;
      sse->scanned = sse->start;
      parse_event (event, sse->has_cr_lf);
      return true;
    }
  /* The last bytes may be the first ones of the end of an event.  */
  sse->scanned = sse->used - sse->start >= end_size ? sse->used - end_size + 1
                                                    : sse->start;
  return false;
}

/* Measures the head of a request.  */

#include "http/head.h"

#include <string.h>
#include <strings.h>

enum
{
  /* Of libmicrohttpd: one entry in a list of fields, cookies or arguments,
     and what is aligned or is not counted otherwise.  */
  ENTRY_BYTES = 64,
  OTHER_BYTES = 256
};

struct line
{
  const char *text;
  size_t size; /* Without its end.  */
};

/* What was found so far.  */
struct measure
{
  const char *text;
  size_t size;
  size_t position;
  size_t entries;
  size_t cookie_bytes;
  size_t folded_bytes; /* Copied when a field goes on in another line.  */
  size_t field_bytes;  /* Of the last field.  */
  bool is_cookie;      /* The last field is.  */
};

/* Reads the next line.  Returns false if its end is not there yet.  */
static bool
next_line (struct measure *m, struct line *line)
{
  const char *start = m->text + m->position;
  size_t left = m->size - m->position;
  size_t size = 0;

  while (size < left && start[size] != '\r' && start[size] != '\n')
    size++;
  if (size == left || (start[size] == '\r' && size + 1 == left))
    return false;
  *line = (struct line){ start, size };
  m->position += size + 1;
  if (start[size] == '\r' && start[size + 1] == '\n')
    m->position++;
  return true;
}

static size_t
count_of (const struct line *line, const char *separators)
{
  size_t count = 0;

  for (size_t i = 0; i < line->size; i++)
    count
        += strchr (separators, line->text[i]) != NULL && line->text[i] != '\0';
  return count;
}

static bool
is_cookie_field (const struct line *line)
{
  static const char name[] = "cookie";
  size_t size = sizeof name - 1;

  return line->size > size && strncasecmp (line->text, name, size) == 0;
}

static void
add_field (struct measure *m, const struct line *line)
{
  bool is_continued = line->text[0] == ' ' || line->text[0] == '\t';

  if (is_continued)
    m->folded_bytes += m->field_bytes + line->size;
  else
    {
      m->entries++;
      m->field_bytes = 0;
      m->is_cookie = is_cookie_field (line);
    }
  m->field_bytes += line->size;
  if (!m->is_cookie)
    return;
  m->cookie_bytes += line->size;
  m->entries += 1 + count_of (line, ";,");
}

size_t
bd_http_head_memory_bytes (size_t bytes, size_t cookie_bytes, size_t entries)
{
  return bytes + cookie_bytes + ENTRY_BYTES * entries + OTHER_BYTES;
}

void
bd_http_head_measure (const char *text, size_t size, struct bd_http_head *head)
{
  struct measure m = { .text = text, .size = size };
  struct line line;

  *head = (struct bd_http_head){ .bytes = size };
  /* Empty lines before the request line are skipped.  */
  do
    if (!next_line (&m, &line))
      return;
  while (line.size == 0);
  m.entries = 1 + count_of (&line, "&");
  for (;;)
    {
      if (!next_line (&m, &line))
        return;
      if (line.size == 0)
        break;
      add_field (&m, &line);
    }
  head->is_whole = true;
  head->bytes = m.position;
  head->memory_bytes
      = bd_http_head_memory_bytes (m.position, m.cookie_bytes, m.entries)
        + m.folded_bytes;
}

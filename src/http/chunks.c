/* Checks the framing of chunked bodies.  */

#include "http/chunks.h"

enum
{
  HEXADECIMAL = 16
};

/* The value of a hexadecimal digit, or -1.  */
static int
digit_of (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

static bool
is_text (char c)
{
  unsigned char byte = (unsigned char)c;

  return (byte >= ' ' && byte != 0x7f) || byte == '\t';
}

static enum bd_chunks_state
read_size (struct bd_chunks *chunks, char c)
{
  int digit = digit_of (c);

  if (digit >= 0)
    {
      if (chunks->left > (uint64_t)(INT64_MAX - digit) / HEXADECIMAL)
        return BD_CHUNKS_MALFORMED;
      chunks->left = chunks->left * HEXADECIMAL + (uint64_t)digit;
      chunks->has_size = true;
      return BD_CHUNKS_SIZE;
    }
  if (!chunks->has_size)
    return BD_CHUNKS_MALFORMED;
  switch (c)
    {
    case '\r':
      return BD_CHUNKS_SIZE_LF;
    case ';':
      return BD_CHUNKS_EXTENSION;
    case ' ':
    case '\t':
      return BD_CHUNKS_BLANK;
    default:
      return BD_CHUNKS_MALFORMED;
    }
}

static enum bd_chunks_state
read_blank (char c)
{
  if (c == ' ' || c == '\t')
    return BD_CHUNKS_BLANK;
  return c == ';' ? BD_CHUNKS_EXTENSION : BD_CHUNKS_MALFORMED;
}

/* Text up to a CR.  */
static enum bd_chunks_state
read_text (char c, enum bd_chunks_state same, enum bd_chunks_state next)
{
  if (c == '\r')
    return next;
  return is_text (c) ? same : BD_CHUNKS_MALFORMED;
}

static enum bd_chunks_state
expect (char c, char expected, enum bd_chunks_state next)
{
  return c == expected ? next : BD_CHUNKS_MALFORMED;
}

/* Begins the next chunk.  */
static enum bd_chunks_state
begin_chunk (struct bd_chunks *chunks, char c)
{
  chunks->has_size = false;
  chunks->left = 0;
  return expect (c, '\n', BD_CHUNKS_SIZE);
}

/* Reads a byte of the framing.  */
static enum bd_chunks_state
read_byte (struct bd_chunks *chunks, char c)
{
  switch (chunks->state)
    {
    case BD_CHUNKS_SIZE:
      return read_size (chunks, c);
    case BD_CHUNKS_BLANK:
      return read_blank (c);
    case BD_CHUNKS_EXTENSION:
      return read_text (c, BD_CHUNKS_EXTENSION, BD_CHUNKS_SIZE_LF);
    case BD_CHUNKS_SIZE_LF:
      return expect (c, '\n',
                     chunks->left > 0 ? BD_CHUNKS_DATA : BD_CHUNKS_TRAILER);
    case BD_CHUNKS_DATA_CR:
      return expect (c, '\r', BD_CHUNKS_DATA_LF);
    case BD_CHUNKS_DATA_LF:
      return begin_chunk (chunks, c);
    case BD_CHUNKS_TRAILER:
      return read_text (c, BD_CHUNKS_TRAILER_TEXT, BD_CHUNKS_END_LF);
    case BD_CHUNKS_TRAILER_TEXT:
      return read_text (c, BD_CHUNKS_TRAILER_TEXT, BD_CHUNKS_TRAILER_LF);
    case BD_CHUNKS_TRAILER_LF:
      return expect (c, '\n', BD_CHUNKS_TRAILER);
    case BD_CHUNKS_END_LF:
      return expect (c, '\n', BD_CHUNKS_END);
    case BD_CHUNKS_DATA:
    case BD_CHUNKS_END:
    case BD_CHUNKS_MALFORMED:
      break;
    }
  return chunks->state;
}

bool
bd_chunks_read (struct bd_chunks *chunks, const char *data, size_t size)
{
  const char *end = data + size;

  while (data < end && chunks->state < BD_CHUNKS_END)
    if (chunks->state == BD_CHUNKS_DATA)
      {
        size_t bytes = (size_t)(end - data);

        if (bytes > chunks->left)
          bytes = (size_t)chunks->left;
        data += bytes;
        chunks->left -= bytes;
        if (chunks->left == 0)
          chunks->state = BD_CHUNKS_DATA_CR;
      }
    else
      chunks->state = read_byte (chunks, *data++);
  return chunks->state != BD_CHUNKS_MALFORMED;
}

/* Checks the framing of a chunked body against RFC 9112, 7.1, as its bytes
   arrive.  Pure.

   libcurl reads the hexadecimal digits that a chunk's size begins with and
   skips the rest of its line, so that a spoilt size looks like a whole body of
   another length.

   Malformed are a size that is not hexadecimal digits only or above 63 bits, a
   control byte in an extension, a line that does not end with CRLF, and a
   chunk that is longer or shorter than its size.  The fields of trailers are
   checked by bd_response_head_read(), here only the ends of their lines.  */

#ifndef BD_HTTP_CHUNKS_H
#define BD_HTTP_CHUNKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What the next byte belongs to.  */
enum bd_chunks_state
{
  BD_CHUNKS_SIZE,
  BD_CHUNKS_BLANK, /* Between a size and a semicolon.  */
  BD_CHUNKS_EXTENSION,
  BD_CHUNKS_SIZE_LF, /* The end of the line of a size.  */
  BD_CHUNKS_DATA,
  BD_CHUNKS_DATA_CR, /* The end of a chunk.  */
  BD_CHUNKS_DATA_LF,
  BD_CHUNKS_TRAILER, /* Beginning of a line after the last chunk.  */
  BD_CHUNKS_TRAILER_TEXT,
  BD_CHUNKS_TRAILER_LF,
  BD_CHUNKS_END_LF,
  BD_CHUNKS_END, /* The body is whole; what follows is not part of it.  */
  BD_CHUNKS_MALFORMED
};

/* A chunked body.  All zeros before its first byte.  */
struct bd_chunks
{
  enum bd_chunks_state state;
  bool has_size; /* The current size has a digit.  */
  uint64_t left; /* Of the current chunk.  */
};

/* bd_chunks_read(): reads the next bytes of the body.  Returns false once it
   is malformed.  */
bool bd_chunks_read (struct bd_chunks *chunks, const char *data, size_t size);

#endif

/* Checks the heads of responses against RFC 9112, line by line.  Pure.

   libcurl accepts more than the RFC allows: of a length only the digits that
   it begins with, names with blanks, lines that are no field.  A response
   whose end or fields are in doubt must not be taken for one, so it is refused
   before anything of its head is used.

   The part that is malformed is one of these static strings:
     "status-line"  not "HTTP/1.0" or "HTTP/1.1", one blank, three digits from
                    100 to 599 and a reason; or 101 without an upgrade
     "field-name"   empty, or with a byte that is no token character, such as
                    a blank before the colon; a line without a colon
     "field-value"  a control byte other than a tab
     "folded-line"  a line that begins with a blank (obsolete line folding)
     "length"       not digits only, above 63 bits, or two that differ; in an
                    interim response
     "encoding"     not "chunked" alone and once, beside a length, in HTTP/1.0
                    or in an interim response

   Lines may end with a bare LF (RFC 9112, 2.2), and a length may be a list of
   the same length (RFC 9110, 8.6).  Bytes above 0x7f are allowed in reasons
   and values.  */

#ifndef BD_HTTP_RESPONSE_HEAD_H
#define BD_HTTP_RESPONSE_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a line of a head is.  */
enum bd_response_line
{
  BD_RESPONSE_MALFORMED,
  BD_RESPONSE_STATUS, /* The first line of a head.  */
  BD_RESPONSE_FIELD,
  BD_RESPONSE_HEAD_END /* The empty line.  */
};

/* A field of the head: slices of the line, without the blanks around the
   value.  */
struct bd_response_field
{
  const char *name;
  size_t name_bytes;
  const char *value;
  size_t value_bytes;
};

/* The heads of one call, interim ones included.  All zeros before the first
   line.  */
struct bd_response_head
{
  uint32_t status; /* Of the current head; 0 before its first line.  */
  bool is_old;     /* HTTP/1.0.  */
  bool has_length;
  bool is_chunked;
  bool is_whole; /* The final head has ended; later fields are trailers.  */
  uint64_t length;
  const char *malformed; /* The part that is; NULL if none is.  */
};

/* bd_response_head_read(): reads a line with its end, and sets *field if it is
   a field.  Nothing is read after a malformed line.  */
enum bd_response_line bd_response_head_read (struct bd_response_head *head,
                                             const char *line, size_t size,
                                             struct bd_response_field *field);

#endif

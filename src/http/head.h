/* Measures the head of a request before libmicrohttpd reads it.  Pure.

   libmicrohttpd reads the head of a request, what it parses from it, and the
   head of the response into one pool whose size is fixed when the connection
   is opened.  The server chooses a pool with room for all of them.  */

#ifndef BD_HTTP_HEAD_H
#define BD_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bd_http_head
{
  bool is_whole;       /* The empty line after the fields was found.  */
  size_t bytes;        /* With this line; of all input if it was not found.  */
  size_t memory_bytes; /* Of a pool; 0 unless is_whole.  */
};

/* bd_http_head_measure(): measures the head at the beginning of text.  A line
   ends as libmicrohttpd has it: by CRLF, or by one of both.  */
void bd_http_head_measure (const char *text, size_t size,
                           struct bd_http_head *head);

/* bd_http_head_memory_bytes(): what a parsed head takes from a pool: its own
   bytes, a copy of its cookies, and an entry for each field, cookie and query
   argument.  */
size_t bd_http_head_memory_bytes (size_t bytes, size_t cookie_bytes,
                                  size_t entries);

#endif

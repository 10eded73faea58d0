/* Structured log records.

   A record is one JSON line on standard output with the time, the process
   name, the event and its fields.  Lines are buffered and written without
   blocking.  If the reader is too slow or the rate limit is exceeded, lines
   are dropped and counted.  Detail records have a lower rate limit, so that
   they are dropped before failures.  */

#ifndef BD_BASE_LOG_H
#define BD_BASE_LOG_H

#include <stdint.h>

/* bd_log_init(): sets the process name of later records, and makes standard
   output non-blocking.  */
void bd_log_init (const char *process_name);

/* bd_log(): logs a state change or a failure.  event is a constant name; the
   other arguments are pairs of strings (name, value) that end with NULL.  */
void bd_log (const char *event, ...) __attribute__ ((sentinel));

/* bd_log_detail(): the same for frequent events without a failure.  Has a
   lower rate limit than bd_log() and is not flushed at once.  */
void bd_log_detail (const char *event, ...) __attribute__ ((sentinel));

/* bd_log_flush(): writes the buffered lines, as far as standard output accepts
   them.  */
void bd_log_flush (void);

/* bd_log_dropped(): number of lines dropped since the process started.  */
uint64_t bd_log_dropped (void);

/* bd_number_text(): formats value in decimal.  Returns buffer.  */
char *bd_number_text (char buffer[24], int64_t value);

/* A number as a value for bd_log(), valid until the end of the enclosing
   block.  */
#define BD_NUM(value) bd_number_text ((char[24]){ 0 }, (int64_t)(value))

#endif

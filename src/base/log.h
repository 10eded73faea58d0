/* Structured log records.

   A record is one JSON line on standard output with the time, the process
   name, the event and its fields.  Lines are buffered and written without
   blocking.  If the reader is too slow or a rate limit is exceeded, lines are
   dropped and counted by kind; a record "log-dropped" follows with the counts
   of that time.

   Records of changes of state have a rate limit and a part of the buffer of
   their own, so that none is dropped for records of single requests.  Of
   these, details have the lower limit, so that they are dropped before
   failures.  */

#ifndef BD_BASE_LOG_H
#define BD_BASE_LOG_H

#include <stdint.h>

enum bd_log_kind
{
  BD_LOG_STATE,   /* Changes of state, and failures of no single request.  */
  BD_LOG_REQUEST, /* Failures and refusals of single requests.  */
  BD_LOG_DETAIL,  /* Frequent events without a failure.  */
  BD_LOG_KINDS
};

/* bd_log_init(): sets the process name of later records, and makes standard
   output non-blocking.  */
void bd_log_init (const char *process_name);

/* bd_log(): logs a change of state.  event is a constant name; the other
   arguments are pairs of strings (name, value) that end with NULL.  */
void bd_log (const char *event, ...) __attribute__ ((sentinel));

/* bd_log_request(): the same for the failure or refusal of a request.  */
void bd_log_request (const char *event, ...) __attribute__ ((sentinel));

/* bd_log_detail(): the same for frequent events without a failure.  They are
   not flushed at once.  */
void bd_log_detail (const char *event, ...) __attribute__ ((sentinel));

/* bd_log_flush(): writes the buffered lines, as far as standard output accepts
   them, and the record of those that were dropped if one is due.  */
void bd_log_flush (void);

/* bd_log_write_out(): writes the buffered lines only, as far as standard
   output accepts them.  Allocates nothing, for a signal handler.  */
void bd_log_write_out (void);

/* bd_log_dropped(): lines of a kind that were dropped since the process
   started.  */
uint64_t bd_log_dropped (enum bd_log_kind kind);

/* bd_number_text(): formats value in decimal.  Returns buffer.  */
char *bd_number_text (char buffer[24], int64_t value);

/* A number as a value for bd_log(), valid until the end of the enclosing
   block.  */
#define BD_NUM(value) bd_number_text ((char[24]){ 0 }, (int64_t)(value))

#endif

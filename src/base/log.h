/* Structured log records.

   A record is one JSON line on standard output with the time, the process, the
   event and its fields.  Lines are gathered and written without blocking:
   when the reader does not keep up, or more lines come than the budget of a
   second holds, lines are dropped and counted; failures are dropped last.  */

#ifndef BD_BASE_LOG_H
#define BD_BASE_LOG_H

#include <stdint.h>

/* bd_log_init(): names the process in every later record.  */
void bd_log_init (const char *process_name);

/* bd_log(): writes one record of a change of state or a failure.  event is a
   fixed word; the rest are pairs of strings (name, value), closed by NULL.  */
void bd_log (const char *event, ...) __attribute__ ((sentinel));

/* bd_log_detail(): the same for what goes well and often; dropped first.  */
void bd_log_detail (const char *event, ...) __attribute__ ((sentinel));

/* bd_log_flush(): writes what has been gathered.  */
void bd_log_flush (void);

/* bd_log_dropped(): lines dropped since the start.  */
uint64_t bd_log_dropped (void);

/* bd_number_text(): value as text in buffer, which it returns.  */
char *bd_number_text (char buffer[24], int64_t value);

/* A number as a value of bd_log(); lives until the end of the block.  */
#define BD_NUM(value) bd_number_text ((char[24]){ 0 }, (int64_t)(value))

#endif

/* Structured log records, one for each change of state.

   A record is one JSON line on standard error with the time, the daemon, the
   event and its fields.  Counters say how often; a record says what changed.
 */

#ifndef BD_BASE_LOG_H
#define BD_BASE_LOG_H

/* bd_log_init(): names the process in every later record.  */
void bd_log_init (const char *process_name);

/* bd_log(): writes one record.  event is a fixed word; the rest are pairs of
   strings (name, value), closed by NULL.  */
void bd_log (const char *event, ...) __attribute__ ((sentinel));

#endif

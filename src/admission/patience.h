/* How long callers wait.  Pure.

   The caller of a stream leaves after a gap without an event, long before the
   deadline of the whole stream.  What cannot bring the next event by then is
   of no use to it.  All times are in ms of one monotonic clock.  */

#ifndef BD_ADMISSION_PATIENCE_H
#define BD_ADMISSION_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

/* bd_patience_end_ms(): until when a caller waits for the next event that had
   the last one, or sent its request, at last_ms and leaves after a gap of
   gap_ms; 0 if it waits until deadline_ms.  */
int64_t bd_patience_end_ms (int64_t last_ms, uint32_t gap_ms,
                            int64_t deadline_ms);

/* bd_patience_left_ms(): for how long a request can still wait to be sent, so
   that a response that takes response_ms comes by end_ms; 0 if it cannot.  */
int64_t bd_patience_left_ms (int64_t end_ms, int64_t response_ms,
                             int64_t now_ms);

/* bd_patience_has_ended(): whether a caller that leaves now does so because of
   a gap of gap_ms since last_ms.  */
bool bd_patience_has_ended (int64_t last_ms, uint32_t gap_ms, int64_t now_ms);

#endif

/* Requests that wait at several daemons for a target that opens.  Pure.

   When a target opens, every daemon that has requests waiting sees the same
   free slots, and its own requests there are reported to the others only a
   while later.  Until then each daemon counts as if every other one had sent
   as many as it has, so that they share the slots.  Requests that find a free
   target at their arrival are not counted: they come at different times.  */

#ifndef BD_PLACEMENT_BURST_H
#define BD_PLACEMENT_BURST_H

#include <stdint.h>

/* What this daemon has sent to one target from its backlog.  All zero at
   first.  */
struct bd_burst
{
  int64_t since_ms; /* When the current series began.  */
  uint32_t sent;    /* In this series.  */
};

/* bd_burst_add(): a request that has waited is sent.  A series ends window_ms
   after its begin: by then the other daemons' requests have been reported.  */
void bd_burst_add (struct bd_burst *burst, int64_t window_ms, int64_t now_ms);

/* bd_burst_unreported(): requests that the other ones of so many daemons may
   have sent and not yet reported.  */
uint32_t bd_burst_unreported (const struct bd_burst *burst, uint32_t daemons,
                              int64_t window_ms, int64_t now_ms);

#endif

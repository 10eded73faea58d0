/* Limits how often something is done in any one second.  Pure.  */

#ifndef BD_BASE_RECENT_H
#define BD_BASE_RECENT_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  BD_RECENT_MAX_PER_S = 20
};

/* The times of what was done last, in ms of a monotonic clock.  All zero:
   nothing was done yet.  */
struct bd_recent
{
  int64_t done_ms[BD_RECENT_MAX_PER_S]; /* A ring.  */
  uint32_t count;
};

/* bd_recent_may_do(): returns whether it was done fewer than
   BD_RECENT_MAX_PER_S times in the second before now_ms, and records it if
   so.  */
bool bd_recent_may_do (struct bd_recent *recent, int64_t now_ms);

#endif

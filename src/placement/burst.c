/* Requests that wait at several daemons for a target that opens.  */

#include "placement/burst.h"

#include <stdbool.h>

static bool
has_ended (const struct bd_burst *burst, int64_t window_ms, int64_t now_ms)
{
  return burst->sent == 0 || now_ms - burst->since_ms >= window_ms;
}

void
bd_burst_add (struct bd_burst *burst, int64_t window_ms, int64_t now_ms)
{
  if (has_ended (burst, window_ms, now_ms))
    *burst = (struct bd_burst){ .since_ms = now_ms };
  burst->sent++;
}

uint32_t
bd_burst_unreported (const struct bd_burst *burst, uint32_t daemons,
                     int64_t window_ms, int64_t now_ms)
{
  if (daemons == 0 || has_ended (burst, window_ms, now_ms))
    return 0;
  return burst->sent * (daemons - 1);
}

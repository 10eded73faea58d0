/* A ring of the last times.  */

#include "base/recent.h"

enum
{
  WINDOW_MS = 1000
};

bool
bd_recent_may_do (struct bd_recent *recent, int64_t now_ms)
{
  /* The oldest of the times that the ring holds.  */
  int64_t *oldest_ms = &recent->done_ms[recent->count % BD_RECENT_MAX_PER_S];

  if (recent->count >= BD_RECENT_MAX_PER_S && now_ms - *oldest_ms < WINDOW_MS)
    return false;
  *oldest_ms = now_ms;
  recent->count++;
  return true;
}

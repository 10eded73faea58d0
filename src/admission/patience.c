/* How long callers wait.  */

#include "admission/patience.h"

enum
{
  /* A caller's gap begins before its request has arrived.  */
  MAX_ARRIVAL_MS = 200
};

int64_t
bd_patience_end_ms (int64_t last_ms, uint32_t gap_ms, int64_t deadline_ms)
{
  int64_t end_ms = last_ms + gap_ms;

  return gap_ms > 0 && end_ms < deadline_ms ? end_ms : deadline_ms;
}

int64_t
bd_patience_left_ms (int64_t end_ms, int64_t response_ms, int64_t now_ms)
{
  int64_t left_ms = end_ms - response_ms - now_ms;

  return left_ms > 0 ? left_ms : 0;
}

bool
bd_patience_has_ended (int64_t last_ms, uint32_t gap_ms, int64_t now_ms)
{
  return gap_ms > 0 && now_ms >= last_ms + gap_ms - MAX_ARRIVAL_MS;
}

/* Estimate of the wait for a free slot.  */

#include "admission/wait.h"

/* Slots are freed unevenly, and most of the requests that would just be in time
   on average would be refused late.  */
static const double spread_factor = 1.25;

int64_t
bd_wait_ms (const struct bd_wait_capacity *capacity, uint32_t ahead)
{
  if (capacity->slots == 0 || capacity->run_ms <= 0)
    return 0;
  /* Every daemon gets its share of the slots that are freed.  */
  return (int64_t)(capacity->run_ms * (ahead + 1.0) * capacity->daemon_count
                   / capacity->slots);
}

bool
bd_wait_is_hopeless (int64_t waited_ms, int64_t wait_ms, int64_t max_wait_ms)
{
  return wait_ms > 0
         && (double)waited_ms + spread_factor * (double)wait_ms
                >= (double)max_wait_ms;
}

/* Returns memory that is not in use to the system.  */

#include "base/resident.h"

#include <malloc.h>

enum
{
  /* Larger blocks are mapped on their own, and unmapped when they are freed.
     Bodies of requests are rarely as large.  */
  MAPPED_BYTES = 256 * 1024,
  /* Free memory at the end of the heap above which it shrinks at once, and by
     which it grows: high enough that waves of requests do not move the end of
     the heap each time.  What has not been used is not resident.  */
  TRIM_BYTES = 4 * 1024 * 1024,
  GROWTH_BYTES = 1024 * 1024,
  /* Fewer requests leave too little to be worth the page faults.  */
  MIN_PEAK_REQUESTS = 16,
  MIN_PERIOD_MS = 1000,
  MAX_PERIOD_MS = 5000
};

void
bd_resident_init (void)
{
  mallopt (M_MMAP_THRESHOLD, MAPPED_BYTES);
  mallopt (M_TRIM_THRESHOLD, TRIM_BYTES);
  mallopt (M_TOP_PAD, GROWTH_BYTES);
}

void
bd_resident_release_heap (void)
{
  malloc_trim (0);
}

void
bd_trim_init (struct bd_trim *trim, int64_t now_ms)
{
  *trim = (struct bd_trim){ .last_ms = now_ms };
}

bool
bd_trim_is_due (struct bd_trim *trim, uint32_t requests, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - trim->last_ms;

  if (requests > trim->peak)
    trim->peak = requests;
  if (elapsed_ms < MIN_PERIOD_MS
      || (elapsed_ms < MAX_PERIOD_MS
          && (trim->peak < MIN_PEAK_REQUESTS || requests > trim->peak / 2)))
    return false;
  *trim = (struct bd_trim){ .last_ms = now_ms, .peak = requests };
  return true;
}

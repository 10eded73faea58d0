/* Keeps the resident memory of the process small.

   bd_resident_init() once at start, and bd_resident_release_heap() whenever
   bd_trim_is_due(): the resident set also has freed memory that the allocator
   keeps for later.

   Pages of code that only the start of a library needs stay.  They could be
   unmapped, but a debugger or a tracer may have changed them since they were
   read from the file.  */

#ifndef BD_BASE_RESIDENT_H
#define BD_BASE_RESIDENT_H

#include <stdbool.h>
#include <stdint.h>

/* bd_resident_init(): sets fixed thresholds of the allocator.  Before the
   first large allocation: glibc raises its own thresholds with each large
   block that is freed, and keeps more and more.  */
void bd_resident_init (void);

/* bd_resident_release_heap(): returns freed memory to the system.  */
void bd_resident_release_heap (void);

/* When to release the heap.  Pure.  */
struct bd_trim
{
  int64_t last_ms; /* Last release.  */
  uint32_t peak;   /* Most requests at a time since then.  */
};

/* bd_trim_init(): the first release is due after the longest period.  */
void bd_trim_init (struct bd_trim *trim, int64_t now_ms);

/* bd_trim_is_due(): whether the heap is to be released now; it counts as
   released then.  To be called regularly with the number of requests in
   progress.  A release is due when at most half of the most requests are left,
   if these were 16 or more, at most once a second, and after five seconds in
   any case, because not only requests use memory.  */
bool bd_trim_is_due (struct bd_trim *trim, uint32_t requests, int64_t now_ms);

#endif

/* Estimate of how long a request waits for a free slot, and whether waiting
   can help.  Pure.

   Designed for hours in which callers ask for more than the slots carry: then
   the slots that are freed in time are taken by requests that came before, and
   a request that waits and is refused later has only lost time in which its
   caller could have returned.  It is refused on arrival, or as soon as the
   estimate shows it, with the time after which to come back.  */

#ifndef BD_ADMISSION_WAIT_H
#define BD_ADMISSION_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/* The slots that serve a request, and who shares them.  */
struct bd_wait_capacity
{
  uint32_t slots;        /* Of all usable targets.  */
  uint32_t daemon_count; /* Daemons that send requests to them.  */
  double run_ms; /* Mean time that a request holds a slot; 0 if unknown. */
};

/* bd_wait_ms(): expected time until a slot is free for the request that has
   ahead requests of this daemon before it.  0 when it is unknown: without
   slots, which are being repaired, or without a measured time.  */
int64_t bd_wait_ms (const struct bd_wait_capacity *capacity, uint32_t ahead);

/* bd_wait_is_hopeless(): whether a request that has waited for waited_ms and
   may wait for max_wait_ms in all should be refused now, because it is
   expected to wait for wait_ms more.  */
bool bd_wait_is_hopeless (int64_t waited_ms, int64_t wait_ms,
                          int64_t max_wait_ms);

#endif

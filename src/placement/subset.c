/* Preferred targets on a ring.  */

#include "placement/subset.h"

uint32_t
bd_subset_first (uint32_t targets, uint32_t width, uint32_t place,
                 uint32_t daemons)
{
  /* The middle of the daemon's part of the ring, in half targets.  */
  uint64_t middle = (2 * (uint64_t)place + 1) * targets / daemons;
  uint64_t first = middle + 2 * (uint64_t)targets - width;

  return (uint32_t)(first / 2 % targets);
}

uint32_t
bd_subset_width (uint32_t targets, uint32_t daemons, uint32_t min_width,
                 uint32_t min_daemons)
{
  uint64_t width = ((uint64_t)targets * min_daemons + daemons - 1) / daemons;

  if (width < min_width)
    width = min_width;
  return width < targets ? (uint32_t)width : targets;
}

/* The targets that each daemon prefers.  Pure.

   Designed for many daemons with few requests each: if each of them used all
   targets, hardly any connection would be used twice before it idles out, and
   each daemon would have to know the load of all targets.  The daemons of a
   data centre are spread evenly over a ring of its targets, and each prefers
   the targets around its place.  All targets then have the same number of
   daemons, to within one, and neighbours overlap, so load spreads along the
   ring.  */

#ifndef BD_PLACEMENT_SUBSET_H
#define BD_PLACEMENT_SUBSET_H

#include <stdint.h>

/* bd_subset_first(): the first of width preferred targets, of targets in a
   fixed order, for the daemon with this place among daemons; the others
   follow, and after the last target comes the first.  targets and daemons are
   not 0. */
uint32_t bd_subset_first (uint32_t targets, uint32_t width, uint32_t place,
                          uint32_t daemons);

/* bd_subset_width(): number of targets to prefer.  Each daemon prefers at
   least min_width, and enough that every target has min_daemons.  At most
   targets.  */
uint32_t bd_subset_width (uint32_t targets, uint32_t daemons,
                          uint32_t min_width, uint32_t min_daemons);

#endif

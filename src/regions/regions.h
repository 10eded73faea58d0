/* The regions that a request may use.  Pure.

   A table maps data centres to regions.  A list names the regions that a route
   or an account allows.  A data centre is allowed if its region is in each
   list that names any; a list without names, or no list (NULL), allows all.
   If a list names any, a data centre without a region is not allowed.

   Usage: bd_regions_init() on an array of the caller and bd_regions_add() for
   each data centre; bd_region_list_init() on memory of
   bd_region_list_size() bytes and bd_region_list_add() for each region.  For
   each request bd_regions_filter(), then bd_regions_allows() for each target.
   Nothing has to be freed.  */

#ifndef BD_REGIONS_REGIONS_H
#define BD_REGIONS_REGIONS_H

#include "base/ids.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Data centres of a table; a filter has a bit for each.  */
  BD_REGIONS_MAX_DATA_CENTRES = 64,
  BD_REGIONS_MAX_LISTED = 16,
  /* Size of a list as text, with the final null byte.  */
  BD_REGIONS_TEXT_SIZE = BD_REGIONS_MAX_LISTED * BD_NAME_SIZE
};

struct bd_regions_entry
{
  char data_centre[BD_NAME_SIZE];
  char region[BD_NAME_SIZE];
};

/* All zero: the region of every data centre is unknown.  */
struct bd_regions
{
  struct bd_regions_entry *entries; /* Of the caller.  */
  uint32_t capacity;
  uint32_t count;
};

struct bd_region_list
{
  uint32_t capacity;
  uint32_t count;
  char names[][BD_NAME_SIZE];
};

/* What two lists allow.  Valid as long as the table does not change.  */
struct bd_regions_filter
{
  const struct bd_regions *regions;
  bool is_restricted;    /* A list names a region.  */
  uint64_t data_centres; /* Bits of the entries that are allowed.  */
};

/* Called for a listed region that has no data centre.  */
typedef void bd_regions_listener (void *ctx, const char *region);

/* bd_region_is_valid(): whether a region or a data centre can have the name:
   from 1 to BD_NAME_SIZE - 1 bytes, without control characters.  */
bool bd_region_is_valid (const char *name);

/* bd_regions_init(): initializes an empty table with room for capacity
   entries, at most BD_REGIONS_MAX_DATA_CENTRES.  */
void bd_regions_init (struct bd_regions *regions,
                      struct bd_regions_entry *entries, uint32_t capacity);

/* bd_regions_add(): returns false, and adds nothing, if a name is invalid, the
   data centre has an entry already or there is no room.  */
bool bd_regions_add (struct bd_regions *regions, const char *data_centre,
                     const char *region);

/* bd_regions_of(): the region of a data centre, or NULL if it is unknown.  */
const char *bd_regions_of (const struct bd_regions *regions,
                           const char *data_centre);

/* bd_region_list_size(): the bytes of a list with room for capacity names.  */
size_t bd_region_list_size (uint32_t capacity);

/* bd_region_list_init(): initializes an empty list.
   bd_region_list_add(): returns false, and adds nothing, if the name is
   invalid or there is no room.  A name that is listed already is valid and
   takes no room.  */
void bd_region_list_init (struct bd_region_list *list, uint32_t capacity);
bool bd_region_list_add (struct bd_region_list *list, const char *name);

/* bd_region_list_format(): writes the names, separated by commas, to out;
   nothing for NULL.  Returns out.  */
const char *bd_region_list_format (const struct bd_region_list *list,
                                   char out[BD_REGIONS_TEXT_SIZE]);

/* bd_regions_filter(): the filter of the requests of a route and an account
   with these lists; either may be NULL.  */
struct bd_regions_filter
bd_regions_filter (const struct bd_regions *regions,
                   const struct bd_region_list *route,
                   const struct bd_region_list *account);

/* bd_regions_allows(): whether requests may be sent to the data centre.  */
bool bd_regions_allows (const struct bd_regions_filter *filter,
                        const char *data_centre);

/* bd_regions_find_unknown(): calls listen for each region of the list that has
   no data centre.  */
void bd_regions_find_unknown (const struct bd_regions *regions,
                              const struct bd_region_list *list,
                              bd_regions_listener *listen, void *ctx);

#endif

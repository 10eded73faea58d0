/* Which data centres the lists of a route and an account allow.  */

#include "regions/regions.h"

#include <string.h>

bool
bd_region_is_valid (const char *name)
{
  size_t size = strlen (name);

  for (size_t i = 0; i < size; i++)
    if ((unsigned char)name[i] < ' ' || name[i] == '\x7f')
      return false;
  return size > 0 && size < BD_NAME_SIZE;
}

void
bd_regions_init (struct bd_regions *regions, struct bd_regions_entry *entries,
                 uint32_t capacity)
{
  regions->entries = entries;
  regions->capacity = capacity < BD_REGIONS_MAX_DATA_CENTRES
                          ? capacity
                          : BD_REGIONS_MAX_DATA_CENTRES;
  regions->count = 0;
}

/* The index of a data centre's entry, or the number of entries.  */
static uint32_t
find (const struct bd_regions *regions, const char *data_centre)
{
  uint32_t i = 0;

  while (i < regions->count
         && strcmp (regions->entries[i].data_centre, data_centre) != 0)
    i++;
  return i;
}

bool
bd_regions_add (struct bd_regions *regions, const char *data_centre,
                const char *region)
{
  struct bd_regions_entry *entry;

  if (!bd_region_is_valid (data_centre) || !bd_region_is_valid (region)
      || regions->count == regions->capacity
      || find (regions, data_centre) < regions->count)
    return false;
  entry = &regions->entries[regions->count++];
  bd_name_copy (entry->data_centre, data_centre);
  bd_name_copy (entry->region, region);
  return true;
}

const char *
bd_regions_of (const struct bd_regions *regions, const char *data_centre)
{
  uint32_t i = find (regions, data_centre);

  return i < regions->count ? regions->entries[i].region : NULL;
}

size_t
bd_region_list_size (uint32_t capacity)
{
  return sizeof (struct bd_region_list) + (size_t)capacity * BD_NAME_SIZE;
}

void
bd_region_list_init (struct bd_region_list *list, uint32_t capacity)
{
  list->capacity
      = capacity < BD_REGIONS_MAX_LISTED ? capacity : BD_REGIONS_MAX_LISTED;
  list->count = 0;
}

static bool
has_name (const struct bd_region_list *list, const char *name)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (strcmp (list->names[i], name) == 0)
      return true;
  return false;
}

bool
bd_region_list_add (struct bd_region_list *list, const char *name)
{
  if (!bd_region_is_valid (name))
    return false;
  if (has_name (list, name))
    return true;
  if (list->count == list->capacity)
    return false;
  bd_name_copy (list->names[list->count++], name);
  return true;
}

const char *
bd_region_list_format (const struct bd_region_list *list,
                       char out[BD_REGIONS_TEXT_SIZE])
{
  size_t used = 0;

  out[0] = '\0';
  for (uint32_t i = 0; list != NULL && i < list->count; i++)
    {
      size_t size = strlen (list->names[i]);

      if (i > 0)
        out[used++] = ',';
      memcpy (out + used, list->names[i], size + 1);
      used += size;
    }
  return out;
}

static bool
is_restriction (const struct bd_region_list *list)
{
  return list != NULL && list->count > 0;
}

struct bd_regions_filter
bd_regions_filter (const struct bd_regions *regions,
                   const struct bd_region_list *route,
                   const struct bd_region_list *account)
{
  struct bd_regions_filter filter
      = { .regions = regions,
          .is_restricted
          = is_restriction (route) || is_restriction (account) };

  if (!filter.is_restricted)
    return filter;
  for (uint32_t i = 0; i < regions->count; i++)
    {
      const char *region = regions->entries[i].region;

      if ((!is_restriction (route) || has_name (route, region))
          && (!is_restriction (account) || has_name (account, region)))
        filter.data_centres |= (uint64_t)1 << i;
    }
  return filter;
}

bool
bd_regions_allows (const struct bd_regions_filter *filter,
                   const char *data_centre)
{
  uint32_t i;

  if (!filter->is_restricted)
    return true;
  i = find (filter->regions, data_centre);
  return i < filter->regions->count && (filter->data_centres >> i & 1) != 0;
}

static bool
has_data_centre (const struct bd_regions *regions, const char *region)
{
  for (uint32_t i = 0; i < regions->count; i++)
    if (strcmp (regions->entries[i].region, region) == 0)
      return true;
  return false;
}

void
bd_regions_find_unknown (const struct bd_regions *regions,
                         const struct bd_region_list *list,
                         bd_regions_listener *listen, void *ctx)
{
  for (uint32_t i = 0; list != NULL && i < list->count; i++)
    if (!has_data_centre (regions, list->names[i]))
      listen (ctx, list->names[i]);
}

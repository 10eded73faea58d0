/* The allotment map and its value in the Object API.  */

#include "groups/allotment.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

static const char *const drain_names[]
    = { "none", "version", "member", "remove" };

struct bd_allotment *
bd_allotment_clone (void *ctx, const struct bd_allotment *allotment)
{
  struct bd_allotment *copy = talloc (ctx, struct bd_allotment);

  *copy = *allotment;
  copy->groups = talloc_memdup (copy, allotment->groups,
                                sizeof *copy->groups * allotment->count);
  for (uint32_t i = 0; i < copy->count; i++)
    copy->groups[i].members = talloc_memdup (
        copy, copy->groups[i].members,
        copy->groups[i].member_count * sizeof *copy->groups[i].members);
  return copy;
}

struct bd_group *
bd_allotment_add (struct bd_allotment *allotment, uint32_t member_count)
{
  struct bd_group *group;

  allotment->groups = talloc_realloc (allotment, allotment->groups,
                                      struct bd_group, allotment->count + 1);
  group = &allotment->groups[allotment->count++];
  memset (group, 0, sizeof *group);
  group->member_count = member_count;
  group->members
      = talloc_zero_size (allotment, member_count * sizeof *group->members);
  return group;
}

void
bd_allotment_remove (struct bd_allotment *allotment, uint32_t index)
{
  allotment->count--;
  memmove (&allotment->groups[index], &allotment->groups[index + 1],
           (allotment->count - index) * sizeof *allotment->groups);
}

struct bd_group *
bd_allotment_group_of (const struct bd_allotment *allotment,
                       const char *instance)
{
  for (uint32_t i = 0; i < allotment->count; i++)
    for (uint32_t m = 0; m < allotment->groups[i].member_count; m++)
      if (strcmp (allotment->groups[i].members[m], instance) == 0)
        return &allotment->groups[i];
  return NULL;
}

struct bd_group *
bd_allotment_find (const struct bd_allotment *allotment, const char *id)
{
  for (uint32_t i = 0; i < allotment->count; i++)
    if (strcmp (allotment->groups[i].id, id) == 0)
      return &allotment->groups[i];
  return NULL;
}

static bool
check_group (const struct bd_group *group, GHashTable *ids, GHashTable *taken)
{
  if (group->id[0] == '\0' || group->member_count == 0
      || group->member_count > BD_GROUP_MAX_MEMBERS)
    return false;
  if (!g_hash_table_add (ids, (gpointer)group->id))
    return false;
  for (uint32_t i = 0; i < group->member_count; i++)
    if (group->members[i][0] == '\0'
        || !g_hash_table_add (taken, group->members[i]))
      return false;
  return true;
}

bool
bd_allotment_check (const struct bd_allotment *allotment)
{
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *taken = g_hash_table_new (g_str_hash, g_str_equal);
  bool is_good = true;

  for (uint32_t i = 0; i < allotment->count && is_good; i++)
    is_good = check_group (&allotment->groups[i], ids, taken);
  g_hash_table_destroy (ids);
  g_hash_table_destroy (taken);
  return is_good;
}

bool
bd_allotment_is_newer (const struct bd_allotment *a,
                       const struct bd_allotment *b)
{
  if (a->term != b->term)
    return a->term > b->term;
  return a->sequence > b->sequence;
}

static json_t *
group_to_json (const struct bd_group *group)
{
  json_t *members = json_array ();

  for (uint32_t i = 0; i < group->member_count; i++)
    json_array_append_new (members, json_string (group->members[i]));
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:I,s:s,s:o}", "id", group->id,
                    "service", group->service, "model", group->model,
                    "version", group->version, "domain", group->domain,
                    "incarnation", (json_int_t)group->incarnation, "drain",
                    drain_names[group->drain], "members", members);
}

json_t *
bd_allotment_to_json (const struct bd_allotment *allotment)
{
  json_t *groups = json_array ();

  for (uint32_t i = 0; i < allotment->count; i++)
    json_array_append_new (groups, group_to_json (&allotment->groups[i]));
  return json_pack ("{s:s,s:s,s:I,s:I,s:o}", "data_centre",
                    allotment->data_centre, "keeper", allotment->keeper,
                    "term", (json_int_t)allotment->term, "sequence",
                    (json_int_t)allotment->sequence, "groups", groups);
}

static void
read_name (const json_t *object, const char *key, char out[BD_NAME_SIZE])
{
  bd_name_copy (out, json_string_value (json_object_get (object, key)));
}

static enum bd_drain
read_drain (const json_t *object)
{
  const char *name = json_string_value (json_object_get (object, "drain"));

  for (uint32_t i = 0; i < G_N_ELEMENTS (drain_names); i++)
    if (name != NULL && strcmp (name, drain_names[i]) == 0)
      return i;
  return BD_DRAIN_NONE;
}

static void
group_from_json (struct bd_allotment *allotment, const json_t *entry)
{
  const json_t *members = json_object_get (entry, "members");
  struct bd_group *group
      = bd_allotment_add (allotment, (uint32_t)json_array_size (members));

  read_name (entry, "id", group->id);
  read_name (entry, "service", group->service);
  read_name (entry, "model", group->model);
  read_name (entry, "version", group->version);
  read_name (entry, "domain", group->domain);
  group->incarnation
      = json_integer_value (json_object_get (entry, "incarnation"));
  group->drain = read_drain (entry);
  for (uint32_t i = 0; i < group->member_count; i++)
    bd_name_copy (group->members[i],
                  json_string_value (json_array_get (members, i)));
}

struct bd_allotment *
bd_allotment_from_json (void *ctx, const json_t *value)
{
  struct bd_allotment *allotment = talloc_zero (ctx, struct bd_allotment);
  const json_t *groups = json_object_get (value, "groups");
  const json_t *entry;
  size_t i;

  read_name (value, "data_centre", allotment->data_centre);
  read_name (value, "keeper", allotment->keeper);
  allotment->term = json_integer_value (json_object_get (value, "term"));
  allotment->sequence
      = json_integer_value (json_object_get (value, "sequence"));
  json_array_foreach (groups, i, entry)
    group_from_json (allotment, entry);
  if (json_is_array (groups) && bd_allotment_check (allotment))
    return allotment;
  talloc_free (allotment);
  return NULL;
}

/* The assignment of instances to groups and its JSON value in the Object API.
 */

#include "groups/assignment.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

enum
{
  /* Groups of an assignment that is read.  */
  MAX_GROUPS = 1 << 16
};

/* Far above what any number of changes reaches, so that a next one exists.  */
static const int64_t max_number = (int64_t)1 << 53;

static const char *const drain_names[]
    = { "none", "version", "member", "remove" };

struct bd_assignment *
bd_assignment_clone (void *ctx, const struct bd_assignment *assignment)
{
  struct bd_assignment *copy = talloc (ctx, struct bd_assignment);

  *copy = *assignment;
  copy->groups = talloc_memdup (copy, assignment->groups,
                                sizeof *copy->groups * assignment->count);
  for (uint32_t i = 0; i < copy->count; i++)
    copy->groups[i].members = talloc_memdup (
        copy, copy->groups[i].members,
        copy->groups[i].member_count * sizeof *copy->groups[i].members);
  return copy;
}

struct bd_group *
bd_assignment_add_group (struct bd_assignment *assignment,
                         uint32_t member_count)
{
  struct bd_group *group;

  assignment->groups = talloc_realloc (assignment, assignment->groups,
                                       struct bd_group, assignment->count + 1);
  group = &assignment->groups[assignment->count++];
  memset (group, 0, sizeof *group);
  group->member_count = member_count;
  group->members
      = talloc_zero_size (assignment, member_count * sizeof *group->members);
  return group;
}

void
bd_assignment_remove_group (struct bd_assignment *assignment, uint32_t index)
{
  assignment->count--;
  memmove (&assignment->groups[index], &assignment->groups[index + 1],
           (assignment->count - index) * sizeof *assignment->groups);
}

struct bd_group *
bd_assignment_group_of (const struct bd_assignment *assignment,
                        const char *instance)
{
  for (uint32_t i = 0; i < assignment->count; i++)
    for (uint32_t m = 0; m < assignment->groups[i].member_count; m++)
      if (strcmp (assignment->groups[i].members[m], instance) == 0)
        return &assignment->groups[i];
  return NULL;
}

struct bd_group *
bd_assignment_find_group (const struct bd_assignment *assignment,
                          const char *id)
{
  for (uint32_t i = 0; i < assignment->count; i++)
    if (strcmp (assignment->groups[i].id, id) == 0)
      return &assignment->groups[i];
  return NULL;
}

static bool
check_group (const struct bd_group *group, GHashTable *ids,
             GHashTable *assigned)
{
  if (group->id[0] == '\0' || group->member_count == 0
      || group->member_count > BD_GROUP_MAX_MEMBERS)
    return false;
  if (!g_hash_table_add (ids, (gpointer)group->id))
    return false;
  for (uint32_t i = 0; i < group->member_count; i++)
    if (group->members[i][0] == '\0'
        || !g_hash_table_add (assigned, group->members[i]))
      return false;
  return true;
}

bool
bd_assignment_is_valid (const struct bd_assignment *assignment)
{
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *assigned = g_hash_table_new (g_str_hash, g_str_equal);
  bool is_valid = true;

  for (uint32_t i = 0; i < assignment->count && is_valid; i++)
    is_valid = check_group (&assignment->groups[i], ids, assigned);
  g_hash_table_destroy (ids);
  g_hash_table_destroy (assigned);
  return is_valid;
}

bool
bd_assignment_is_newer (const struct bd_assignment *a,
                        const struct bd_assignment *b)
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
bd_assignment_to_json (const struct bd_assignment *assignment)
{
  json_t *groups = json_array ();

  for (uint32_t i = 0; i < assignment->count; i++)
    json_array_append_new (groups, group_to_json (&assignment->groups[i]));
  return json_pack ("{s:s,s:s,s:I,s:I,s:o}", "data_centre",
                    assignment->data_centre, "keeper", assignment->controller,
                    "term", (json_int_t)assignment->term, "sequence",
                    (json_int_t)assignment->sequence, "groups", groups);
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

static bool
read_number (const json_t *object, const char *key, int64_t *out)
{
  *out = json_integer_value (json_object_get (object, key));
  return *out >= 0 && *out <= max_number;
}

/* Whether the counts allow the memory that the groups take.  */
static bool
are_counts_valid (const json_t *groups)
{
  const json_t *entry;
  size_t i;

  if (!json_is_array (groups) || json_array_size (groups) > MAX_GROUPS)
    return false;
  json_array_foreach (groups, i, entry)
    if (json_array_size (json_object_get (entry, "members"))
        > BD_GROUP_MAX_MEMBERS)
      return false;
  return true;
}

static void
group_from_json (struct bd_assignment *assignment, const json_t *entry)
{
  const json_t *members = json_object_get (entry, "members");
  struct bd_group *group = bd_assignment_add_group (
      assignment, (uint32_t)json_array_size (members));

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

struct bd_assignment *
bd_assignment_from_json (void *ctx, const json_t *value)
{
  const json_t *groups = json_object_get (value, "groups");
  struct bd_assignment *assignment;
  const json_t *entry;
  size_t i;

  if (!are_counts_valid (groups))
    return NULL;
  assignment = talloc_zero (ctx, struct bd_assignment);
  read_name (value, "data_centre", assignment->data_centre);
  read_name (value, "keeper", assignment->controller);
  json_array_foreach (groups, i, entry)
    group_from_json (assignment, entry);
  if (read_number (value, "term", &assignment->term)
      && read_number (value, "sequence", &assignment->sequence)
      && bd_assignment_is_valid (assignment))
    return assignment;
  talloc_free (assignment);
  return NULL;
}

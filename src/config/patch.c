/* Creation and application of patches.  */

#include "config/patch.h"

#include "config/config.h"

/* Fields of a head that a patch contains completely: all but the services.  */
static const char *const copied_fields[] = { "revision", "removed", "change" };

enum
{
  COPIED_FIELD_COUNT = sizeof copied_fields / sizeof copied_fields[0]
};

json_t *
bd_head_make_patch (const json_t *from, const json_t *to)
{
  json_t *old = json_object_get (from, "services");
  json_t *new = json_object_get (to, "services");
  json_t *set = json_object ();
  json_t *unset = json_array ();
  json_t *patch
      = json_pack ("{s:I}", "base", (json_int_t)bd_head_revision (from));
  const char *name;
  json_t *entry;

  json_object_foreach (new, name, entry)
    if (!json_equal (entry, json_object_get (old, name)))
      json_object_set (set, name, entry);
  json_object_foreach (old, name, entry)
    if (json_object_get (new, name) == NULL)
      json_array_append_new (unset, json_string (name));
  for (uint32_t i = 0; i < COPIED_FIELD_COUNT; i++)
    if (json_object_get (to, copied_fields[i]) != NULL)
      json_object_set (patch, copied_fields[i],
                       json_object_get (to, copied_fields[i]));
  json_object_set_new (patch, "set", set);
  json_object_set_new (patch, "unset", unset);
  return patch;
}

bool
bd_head_is_patch (const json_t *value)
{
  return json_object_get (value, "base") != NULL;
}

json_t *
bd_head_apply_patch (const json_t *head, const json_t *patch)
{
  json_t *services;
  json_t *result;
  json_t *name;
  size_t i;

  if (bd_head_revision (head)
      != json_integer_value (json_object_get (patch, "base")))
    return NULL;
  services = json_copy (json_object_get (head, "services"));
  if (services == NULL)
    services = json_object ();
  json_object_update (services, json_object_get (patch, "set"));
  json_array_foreach (json_object_get (patch, "unset"), i, name)
    json_object_del (services, json_string_value (name));
  result = json_object ();
  for (uint32_t f = 0; f < COPIED_FIELD_COUNT; f++)
    if (json_object_get (patch, copied_fields[f]) != NULL)
      json_object_set (result, copied_fields[f],
                       json_object_get (patch, copied_fields[f]));
  json_object_set_new (result, "services", services);
  return result;
}

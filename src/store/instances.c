/* Parsing of the instance list.  */

#include "store/instances.h"

#include "base/json.h"

#include <string.h>
#include <talloc.h>

static void
read_name (const json_t *object, const char *key, char out[BD_NAME_SIZE])
{
  bd_name_copy (out, json_string_value (json_object_get (object, key)));
}

static uint32_t
read_u32 (const json_t *object, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (object, key));

  return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

static bool
read_instance (const json_t *entry, struct bd_instance *out)
{
  const char *state = json_string_value (json_object_get (entry, "state"));

  memset (out, 0, sizeof *out);
  read_name (entry, "name", out->name);
  read_name (entry, "address", out->address);
  read_name (entry, "data_centre", out->data_centre);
  read_name (entry, "fabric_domain", out->fabric_domain);
  read_name (entry, "pool", out->pool);
  out->port = read_u32 (entry, "port");
  out->peer_port = read_u32 (entry, "peer_port");
  out->accelerators = read_u32 (entry, "accelerators");
  out->is_leaving = state != NULL && strcmp (state, "leaving") == 0;
  return out->name[0] != '\0' && out->address[0] != '\0' && out->port != 0;
}

bool
bd_instances_parse (void *ctx, const char *body, size_t size,
                    struct bd_instance_list *list)
{
  struct bd_json root;
  const json_t *entries;
  const json_t *entry;
  bool is_list;
  size_t i;

  bd_json_load (&root, body, size);
  entries = json_object_get (root.value, "instances");
  is_list = json_is_array (entries);
  list->count = 0;
  list->items
      = talloc_array (ctx, struct bd_instance, json_array_size (entries) + 1);
  json_array_foreach (entries, i, entry)
    if (!bd_json_is_damaged (&root, entry)
        && read_instance (entry, &list->items[list->count]))
      list->count++;
  bd_json_finish (&root);
  return is_list;
}

json_t *
bd_instances_filter (const char *body, size_t size, const char *data_centre)
{
  struct bd_json root;
  json_t *entries;
  json_t *kept = NULL;
  json_t *entry;
  size_t i;

  bd_json_load (&root, body, size);
  entries = json_object_get (root.value, "instances");
  if (json_is_array (entries))
    kept = json_array ();
  json_array_foreach (entries, i, entry)
    {
      const char *at
          = json_string_value (json_object_get (entry, "data_centre"));
      const char *pool = json_string_value (json_object_get (entry, "pool"));
      bool is_daemon = pool != NULL && strcmp (pool, BD_POOL_DAEMONS) == 0;
      bool is_own = at != NULL && strcmp (at, data_centre) == 0;

      if ((is_own || is_daemon) && !bd_json_is_damaged (&root, entry))
        json_array_append (kept, entry);
    }
  bd_json_finish (&root);
  return kept != NULL ? json_pack ("{s:o}", "instances", kept) : NULL;
}

const struct bd_instance *
bd_instance_find (const struct bd_instance_list *list, const char *name)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (strcmp (list->items[i].name, name) == 0)
      return &list->items[i];
  return NULL;
}

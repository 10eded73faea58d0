/* The instance list: relays fetch it and send it to their data centre.  */

#include "daemon/daemon_internal.h"

#include "base/log.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  LIST_TIMEOUT_MS = 2000
};

static void
apply_entry (struct bd_daemon *daemon, const struct bd_instance *info)
{
  struct bd_endpoint *endpoint;

  if (strcmp (info->pool, BD_POOL_DAEMONS) == 0)
    {
      if (info->peer_port != 0)
        bd_membership_add (&daemon->membership, info->name, info->data_centre,
                           info->address, info->peer_port)
            ->is_listed
            = true;
      return;
    }
  endpoint = bd_daemon_find_endpoint (daemon, info->name);
  if (endpoint == NULL)
    {
      endpoint = g_new0 (struct bd_endpoint, 1);
      bd_name_copy (endpoint->info.name, info->name);
      g_hash_table_insert (daemon->endpoints, endpoint->info.name, endpoint);
    }
  if (info->is_leaving && !endpoint->observation.is_leaving)
    bd_log ("endpoint-leaving", "instance", info->name, NULL);
  endpoint->info = *info;
  endpoint->is_listed = true;
  endpoint->observation.is_leaving = info->is_leaving;
}

static bool
is_in_group (const struct bd_daemon *daemon, const char *instance)
{
  const struct bd_assignment *assignment = daemon->controller.assignment;

  return assignment != NULL
         && bd_assignment_group_of (assignment, instance) != NULL;
}

/* A member of a group is probed until it is replaced: it can go on serving
   calls of other daemons.  */
static gboolean
is_removable (gpointer key, gpointer value, gpointer ctx)
{
  struct bd_endpoint *endpoint = value;

  (void)key;
  return !endpoint->is_listed && endpoint->in_flight == 0
         && !endpoint->is_probing && !is_in_group (ctx, endpoint->info.name);
}

void
bd_daemon_remove_unlisted_endpoints (struct bd_daemon *daemon)
{
  g_hash_table_foreach_remove (daemon->endpoints, is_removable, daemon);
}

static void
apply_list (struct bd_daemon *daemon, const char *text)
{
  void *ctx = talloc_new (daemon);
  struct bd_instance_list list;
  GHashTableIter iter;
  gpointer value;

  if (bd_instances_parse (ctx, text, strlen (text), &list))
    {
      g_hash_table_iter_init (&iter, daemon->endpoints);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        ((struct bd_endpoint *)value)->is_listed = false;
      bd_membership_clear_listed (&daemon->membership);
      for (uint32_t i = 0; i < list.count; i++)
        apply_entry (daemon, &list.items[i]);
      g_hash_table_iter_init (&iter, daemon->endpoints);
      /* An endpoint that is no longer listed counts as leaving.  */
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (!((struct bd_endpoint *)value)->is_listed)
          ((struct bd_endpoint *)value)->observation.is_leaving = true;
      bd_daemon_remove_unlisted_endpoints (daemon);
      bd_controller_set_instances (&daemon->controller, &list);
      bd_daemon_dispatch_queues (daemon);
    }
  talloc_free (ctx);
}

void
bd_daemon_send_instances (struct bd_daemon *daemon,
                          const struct bd_member *member)
{
  char *text;
  struct bd_document document;

  if (daemon->instances_json == NULL)
    return;
  text = json_dumps (daemon->instances_json, JSON_COMPACT);
  document.text = text;
  bd_daemon_send (daemon, member, BD_MESSAGE_INSTANCES, &document);
  free (text);
}

static void
send_instances_to_data_centre (struct bd_daemon *daemon)
{
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) == 0
          && !bd_membership_is_relay (&daemon->membership, member))
        bd_daemon_send_instances (daemon, member);
    }
}

void
bd_daemon_apply_instances (struct bd_daemon *daemon, const char *text)
{
  json_decref (daemon->instances_json);
  daemon->instances_json = json_loads (text, 0, NULL);
  apply_list (daemon, text);
}

static void
handle_instances_done (void *ctx, struct bd_http_call *call,
                       const struct bd_http_result *result)
{
  struct bd_daemon *daemon = ctx;
  json_t *filtered;
  char *text;

  (void)call;
  daemon->is_fetching_instances = false;
  if (!result->is_complete || result->status != 200)
    return;
  filtered = bd_instances_filter (result->body, result->body_size,
                                  daemon->settings->data_centre);
  if (daemon->is_list_unreadable != (filtered == NULL))
    {
      daemon->is_list_unreadable = filtered == NULL;
      bd_log (filtered == NULL ? "list-unreadable" : "list-readable", "prefix",
              "instances", NULL);
    }
  /* The last list stays in force.  */
  if (filtered == NULL)
    return;
  if (!json_equal (filtered, daemon->instances_json))
    {
      text = json_dumps (filtered, JSON_COMPACT);
      bd_daemon_apply_instances (daemon, text);
      send_instances_to_data_centre (daemon);
      free (text);
    }
  json_decref (filtered);
}

static const struct bd_http_call_ops list_ops
    = { .done = handle_instances_done };

void
bd_daemon_fetch_instances (void *ctx)
{
  struct bd_daemon *daemon = ctx;
  struct bd_http_request out = { .method = "GET",
                                 .url = daemon->settings->instances_url,
                                 .timeout_ms = LIST_TIMEOUT_MS };
  bool is_needed
      = daemon->instances_json == NULL || bd_daemon_is_relay (daemon);

  if (!is_needed || daemon->is_fetching_instances)
    return;
  daemon->is_fetching_instances
      = bd_http_send (&daemon->client, &out, &list_ops, daemon) != NULL;
}

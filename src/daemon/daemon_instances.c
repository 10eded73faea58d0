/* The instance list.  Relays fetch it and send each change to their data
   centre; every daemon compares its own with those of the relays regularly. */

#include "daemon/daemon_internal.h"

#include "base/log.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  LIST_TIMEOUT_MS = 2000,
  /* While the list has been confirmed within this time, one without an age is
     not taken.  */
  LIST_CONFIRMED_MS = 2000
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

/* Age of the list when the request arrived.  */
static void
send_list_reply (struct bd_daemon *daemon, const struct bd_member *member,
                 const struct bd_list_requester *requester,
                 uint64_t known_checksum)
{
  struct bd_list_reply reply
      = { .sent_ms = requester->sent_ms,
          .age_ms = requester->received_ms - daemon->instances_confirmed_ms,
          .checksum = daemon->instances_checksum };
  char *text = NULL;

  if (known_checksum != daemon->instances_checksum)
    text = json_dumps (daemon->instances_json, JSON_COMPACT);
  reply.text = text != NULL ? text : "";
  bd_daemon_send (daemon, member, BD_MESSAGE_LIST_REPLY, &reply);
  free (text);
}

/* A member of an earlier build sends no requests.  */
static void
send_instances_to_data_centre (struct bd_daemon *daemon)
{
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      const struct bd_list_requester *requester
          = g_hash_table_lookup (daemon->list_requests, member->name);
      if (!member->is_live
          || strcmp (member->data_centre, daemon->settings->data_centre) != 0
          || bd_membership_is_relay (&daemon->membership, member))
        continue;
      if (requester != NULL && requester->incarnation == member->incarnation)
        send_list_reply (daemon, member, requester, 0);
      else
        bd_daemon_send_instances (daemon, member);
    }
}

static uint64_t
list_checksum (const json_t *list)
{
  char *text = json_dumps (list, JSON_COMPACT | JSON_SORT_KEYS);
  uint64_t checksum = bd_hash (text, strlen (text));

  free (text);
  return checksum;
}

static void
put_in_force (struct bd_daemon *daemon, json_t *list)
{
  char *text = json_dumps (list, JSON_COMPACT);

  json_decref (daemon->instances_json);
  daemon->instances_json = json_incref (list);
  daemon->instances_checksum = list_checksum (list);
  apply_list (daemon, text);
  free (text);
}

/* Handles a list that was the platform's at confirmed_ms.  Returns whether it
   replaces another one.  */
static bool
adopt_list (struct bd_daemon *daemon, json_t *list, int64_t confirmed_ms)
{
  if (daemon->instances_json != NULL
      && confirmed_ms <= daemon->instances_confirmed_ms)
    return false;
  daemon->instances_confirmed_ms = confirmed_ms;
  if (json_equal (list, daemon->instances_json))
    return false;
  put_in_force (daemon, list);
  return true;
}

void
bd_daemon_receive_instances (struct bd_daemon *daemon, const char *text)
{
  int64_t confirmed_age_ms
      = bd_daemon_now_ms (daemon) - daemon->instances_confirmed_ms;
  json_t *list;

  if (daemon->instances_json != NULL && confirmed_age_ms < LIST_CONFIRMED_MS)
    return;
  list = json_loads (text, 0, NULL);
  if (list != NULL)
    put_in_force (daemon, list);
  json_decref (list);
}

void
bd_daemon_request_list (void *ctx)
{
  struct bd_daemon *daemon = ctx;
  struct bd_list_request request = { .sent_ms = bd_daemon_now_ms (daemon),
                                     .checksum = daemon->instances_checksum };

  bd_name_copy (request.from, daemon->settings->name);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) == 0
          && bd_membership_is_relay (&daemon->membership, member))
        bd_daemon_send (daemon, member, BD_MESSAGE_LIST_REQUEST, &request);
    }
}

static gboolean
is_unknown_member (gpointer key, gpointer value, gpointer membership)
{
  (void)value;
  return bd_membership_find (membership, key) == NULL;
}

static struct bd_list_requester *
get_or_add_requester (struct bd_daemon *daemon, const char *name)
{
  struct bd_list_requester *requester
      = g_hash_table_lookup (daemon->list_requests, name);

  if (requester != NULL)
    return requester;
  g_hash_table_foreach_remove (daemon->list_requests, is_unknown_member,
                               &daemon->membership);
  requester = g_new0 (struct bd_list_requester, 1);
  bd_name_copy (requester->name, name);
  g_hash_table_insert (daemon->list_requests, requester->name, requester);
  return requester;
}

void
bd_daemon_receive_list_request (struct bd_daemon *daemon,
                                const struct bd_list_request *request)
{
  const struct bd_member *member
      = bd_membership_find (&daemon->membership, request->from);
  struct bd_list_requester *requester;

  if (member == NULL)
    return;
  requester = get_or_add_requester (daemon, request->from);
  requester->incarnation = member->incarnation;
  requester->sent_ms = request->sent_ms;
  requester->received_ms = bd_daemon_now_ms (daemon);
  if (daemon->instances_json != NULL)
    send_list_reply (daemon, member, requester, request->checksum);
}

void
bd_daemon_receive_list_reply (struct bd_daemon *daemon,
                              const struct bd_list_reply *reply)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);
  int64_t confirmed_ms;
  json_t *list;

  /* A time that is still to come is from before a restart of the host.  */
  if (reply->sent_ms < 0 || reply->sent_ms > now_ms
      || reply->age_ms < reply->sent_ms - now_ms)
    return;
  confirmed_ms = reply->sent_ms - reply->age_ms;
  if (reply->text[0] == '\0')
    {
      if (reply->checksum == daemon->instances_checksum
          && confirmed_ms > daemon->instances_confirmed_ms)
        daemon->instances_confirmed_ms = confirmed_ms;
      return;
    }
  list = json_loads (reply->text, 0, NULL);
  if (list != NULL)
    adopt_list (daemon, list, confirmed_ms);
  json_decref (list);
}

static void
handle_instances_done (void *ctx, struct bd_http_call *call,
                       const struct bd_http_result *result)
{
  struct bd_daemon *daemon = ctx;
  json_t *filtered;

  (void)call;
  daemon->is_fetching_instances = false;
  bd_daemon_note_malformed (daemon, "instances", result);
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
  if (adopt_list (daemon, filtered, daemon->instances_sent_ms))
    send_instances_to_data_centre (daemon);
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
  daemon->instances_sent_ms = bd_daemon_now_ms (daemon);
  daemon->is_fetching_instances
      = bd_http_send (&daemon->client, &out, &list_ops, daemon) != NULL;
}

/* Synchronizes the configuration and the instance list with the store.

   Both are read periodically, because only the reply to a read shows which
   version is the newest.  Watches deliver changes between reads, but a watch
   without changes does not show that there are none.  A daemon that cannot
   reach the store asks its peers.  */

#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  /* Period of the reads of the configuration and of the list: half of
     config_apply_ms and of drain_ms, so that one reply may be lost.  */
  READ_PERIOD_MS = 1000,
  STORE_CALL_TIMEOUT_MS = 1500,
  WATCH_WAIT_MS = 4000,
  /* Minimum time between watches of the list in a large data centre: each
     watch is a store call, and changes within this time arrive in one.  */
  WATCH_INTERVAL_MS = 250,
  /* Age of this daemon's own data above which it asks a peer: two read
     periods.  */
  FRESHNESS_AFTER_MS = 2200,
  /* Minimum time between two freshness requests.  */
  FRESHNESS_PERIOD_MS = 250,
  /* Up to this number of live daemons in a data centre, each of them reads the
     store.  */
  MAX_READERS = 3,
  /* Age of the data from a relay at which the relay is asked again, and at
     which a daemon reads the store itself.  */
  RELAY_PERIOD_MS = 500,
  OWN_READ_AFTER_MS = 2000
};

/* Objects of burdockdale in the store: one for each daemon.  */
#define DAEMONS_PREFIX "bd-daemons/"

/* Records whether the store is reachable.  When it is reachable again, entries
   of the list may have expired during the outage; the fleet then keeps them
   for a while, and the list has to be applied again afterwards.  */
static void
set_store_unreachable (struct bd_edge *edge, bool is_unreachable)
{
  int64_t now_ms = bd_edge_now_ms (edge);

  if (is_unreachable)
    bd_fleet_mark_store_unavailable (&edge->fleet, now_ms);
  else if (edge->is_store_unreachable)
    edge->is_reapply_pending = bd_fleet_mark_store_available (
        &edge->fleet, edge->instances_verified_ms, now_ms);
  if (edge->is_store_unreachable == is_unreachable)
    return;
  edge->is_store_unreachable = is_unreachable;
  bd_log (is_unreachable ? "dependency-lost" : "dependency-regained",
          "dependency", "store", "config_age_ms",
          BD_NUM (now_ms - edge->config_verified_ms), "list_age_ms",
          BD_NUM (now_ms - edge->instances_verified_ms), NULL);
}

/* Applies a configuration unless its version is lower than the current one.
   verified_ms is when it was known to be the newest.  */
static void
apply_config (struct bd_edge *edge, json_t *value, int64_t verified_ms)
{
  int64_t current_version = edge->routes != NULL ? edge->routes->version : 0;
  struct bd_routes *routes;

  routes = edge->config != NULL && json_equal (edge->config, value)
               ? edge->routes
               : edge->adapter->read_routes (edge, value);
  if (routes == NULL)
    return;
  if (routes != edge->routes && routes->version < current_version)
    {
      bd_count (&edge->counters, BD_COUNT_CONFIG_LOWER_REVISION);
      bd_log ("config-lower", "version", BD_NUM (routes->version), "held",
              BD_NUM (current_version), NULL);
      talloc_free (routes);
      return;
    }
  if (verified_ms > edge->config_verified_ms)
    edge->config_verified_ms = verified_ms;
  if (routes == edge->routes)
    return;
  bd_count (&edge->counters, BD_COUNT_CONFIG_ADOPTED);
  bd_log ("config-in-force", "version", BD_NUM (routes->version), "before",
          BD_NUM (current_version), NULL);
  talloc_free (edge->routes);
  edge->routes = routes;
  json_decref (edge->config);
  edge->config = json_incref (value);
  bd_http_server_set_timeouts (&edge->server, routes->limits.header_timeout_ms,
                               routes->limits.idle_timeout_ms);
}

static void
handle_config (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;
  const json_t *item;
  size_t i;

  edge->is_reading_config = false;
  set_store_unreachable (edge, reply->error != BD_OK);
  if (reply->error != BD_OK)
    return;
  json_array_foreach (reply->items, i, item)
    {
      const char *key = json_string_value (json_object_get (item, "key"));

      if (key != NULL && strcmp (key, edge->adapter->configuration_key) == 0)
        apply_config (edge, json_object_get (item, "value"), reply->sent_ms);
    }
  if (!edge->is_watching_config)
    edge->config_watch_revision = reply->revision;
}

static void
read_config (struct bd_edge *edge)
{
  edge->is_reading_config = true;
  edge->config_read_started_ms = bd_edge_now_ms (edge);
  bd_store_list (&edge->store, BD_PRIORITY_CONFIG,
                 edge->adapter->configuration_prefix, STORE_CALL_TIMEOUT_MS,
                 handle_config, edge);
}

static void
handle_config_watch (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;

  edge->is_watching_config = false;
  if (reply->error != BD_OK)
    {
      edge->config_watch_revision = 0;
      return;
    }
  edge->config_watch_revision = reply->revision;
  if (json_array_size (reply->items) > 0 && !edge->is_reading_config)
    read_config (edge);
}

/* Adds an entry of the list, or of a watch, to a list of instances.  */
static void
put_entry (const json_t *item, json_t *into)
{
  const char *name = json_string_value (json_object_get (item, "name"));

  if (name != NULL)
    json_object_set_new (into, name,
                         json_pack ("{s:O,s:O}", "revision",
                                    json_object_get (item, "version"), "value",
                                    json_object_get (item, "value")));
}

/* Replaces the list and passes all of it to the fleet.  */
static void
apply_instances (struct bd_edge *edge, json_t *instances, int64_t verified_ms)
{
  size_t size = json_object_size (instances);
  struct bd_endpoint_entry *entries
      = talloc_array (edge, struct bd_endpoint_entry, size + 1);
  uint32_t count = 0;
  const char *name;
  json_t *item;

  json_object_foreach (instances, name, item)
    if (edge->adapter->read_entry (name, json_object_get (item, "value"),
                                   &entries[count]))
      count++;
  bd_fleet_replace (&edge->fleet, entries, count, bd_edge_now_ms (edge));
  bd_fleet_refresh (&edge->fleet);
  talloc_free (entries);
  /* instances may be edge->instances itself.  */
  json_incref (instances);
  json_decref (edge->instances);
  edge->instances = instances;
  if (verified_ms > edge->instances_verified_ms)
    edge->instances_verified_ms = verified_ms;
  bd_edge_dispatch_backlogs (edge);
}

static void
handle_list (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;
  json_t *instances;
  const json_t *item;
  size_t i;

  edge->is_listing = false;
  set_store_unreachable (edge, reply->error != BD_OK);
  if (reply->error != BD_OK)
    return;
  instances = json_object ();
  json_array_foreach (reply->items, i, item)
    put_entry (item, instances);
  if (edge->instances == NULL || !json_equal (instances, edge->instances))
    edge->instances_revision = reply->revision;
  apply_instances (edge, instances, reply->sent_ms);
  json_decref (instances);
  if (!edge->is_watching_instances)
    edge->instances_watch_revision = reply->revision;
}

static void
list_instances (struct bd_edge *edge)
{
  edge->is_listing = true;
  bd_store_list (&edge->store, BD_PRIORITY_GROUPS,
                 edge->adapter->instances_prefix, STORE_CALL_TIMEOUT_MS,
                 handle_list, edge);
}

/* Whether a watch event is at least as new as the stored entry; a watch may
   lag behind the list.  */
static bool
is_newer (const struct bd_edge *edge, const char *name, const json_t *item)
{
  const json_t *stored = json_object_get (edge->instances, name);

  return json_integer_value (json_object_get (item, "version"))
         >= json_integer_value (json_object_get (stored, "revision"));
}

static void
apply_event (struct bd_edge *edge, const json_t *item)
{
  const char *name = json_string_value (json_object_get (item, "name"));
  struct bd_endpoint_entry entry;

  if (name == NULL || edge->instances == NULL || !is_newer (edge, name, item))
    return;
  if (json_is_true (json_object_get (item, "is_deleted")))
    {
      bd_log ("instance-gone", "instance", name, NULL);
      json_object_del (edge->instances, name);
      bd_fleet_remove (&edge->fleet, name, bd_edge_now_ms (edge));
      return;
    }
  put_entry (item, edge->instances);
  if (edge->adapter->read_entry (name, json_object_get (item, "value"),
                                 &entry))
    bd_fleet_put (&edge->fleet, &entry, bd_edge_now_ms (edge));
}

static void
handle_instances_watch (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;
  const json_t *item;
  size_t i;

  edge->is_watching_instances = false;
  if (reply->error != BD_OK)
    {
      edge->instances_watch_revision = 0;
      return;
    }
  edge->instances_watch_revision = reply->revision;
  json_array_foreach (reply->items, i, item)
    apply_event (edge, item);
  if (json_array_size (reply->items) == 0)
    return;
  edge->instances_revision = reply->revision;
  bd_fleet_refresh (&edge->fleet);
  bd_edge_dispatch_backlogs (edge);
}

/* A small data centre watches without a pause: it needs few store calls.  */
static int64_t
watch_interval_ms (const struct bd_edge *edge)
{
  return bd_membership_count_live (&edge->membership,
                                   edge->settings->data_centre)
                 > MAX_READERS
             ? WATCH_INTERVAL_MS
             : 0;
}

static void
watch_changes (struct bd_edge *edge)
{
  if (!edge->is_watching_config && edge->config_watch_revision > 0)
    {
      edge->is_watching_config = true;
      bd_store_watch (&edge->store, edge->adapter->configuration_prefix,
                      edge->config_watch_revision, WATCH_WAIT_MS,
                      handle_config_watch, edge);
    }
  if (!edge->is_watching_instances && edge->instances_watch_revision > 0
      && bd_edge_now_ms (edge) - edge->instances_watch_started_ms
             >= watch_interval_ms (edge))
    {
      edge->instances_watch_started_ms = bd_edge_now_ms (edge);
      edge->is_watching_instances = true;
      bd_store_watch (&edge->store, edge->adapter->instances_prefix,
                      edge->instances_watch_revision, WATCH_WAIT_MS,
                      handle_instances_watch, edge);
    }
}

/* Whether this daemon reads the store.  In a large data centre two daemons,
   the relays, read it for all, because store calls are expensive and their
   rate limits do not grow with the fleet.  The others ask the relays, and read
   the store only when their own data is too old.  */
static bool
should_read_store (struct bd_edge *edge)
{
  const struct bd_membership *membership = &edge->membership;
  int64_t now_ms = bd_edge_now_ms (edge);

  return bd_membership_count_live (membership, edge->settings->data_centre)
             <= MAX_READERS
         || bd_membership_is_relay (membership, &membership->members[0])
         || now_ms - edge->config_verified_ms >= OWN_READ_AFTER_MS
         || now_ms - edge->instances_verified_ms >= OWN_READ_AFTER_MS;
}

/* Returns the peer to ask: each live peer in turn, or each relay of this data
   centre in turn when is_relay_required.  */
static const struct bd_member *
next_peer (struct bd_edge *edge, bool is_relay_required)
{
  const struct bd_membership *membership = &edge->membership;

  for (uint32_t i = 0; i < membership->count; i++)
    {
      const struct bd_member *member;

      if (!is_relay_required || i > 0)
        edge->freshness_peer_index
            = (edge->freshness_peer_index + 1) % membership->count;
      member = &membership
                    ->members[edge->freshness_peer_index % membership->count];
      if (member == &membership->members[0] || !member->is_live)
        continue;
      if (!is_relay_required
          || (strcmp (member->data_centre, edge->settings->data_centre) == 0
              && bd_membership_is_relay (membership, member)))
        return member;
    }
  return NULL;
}

/* Sends a freshness request to a peer when the configuration or the list is
   too old.  */
static void
request_freshness (struct bd_edge *edge, bool is_reader)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  int64_t after_ms = is_reader ? FRESHNESS_AFTER_MS : RELAY_PERIOD_MS;
  bool is_config_old = now_ms - edge->config_verified_ms >= after_ms;
  bool is_list_old = now_ms - edge->instances_verified_ms >= after_ms;
  const struct bd_member *peer;
  struct bd_freshness_request request
      = { .sent_ms = now_ms,
          .config_version = edge->routes != NULL ? edge->routes->version : 0,
          .wants_instances = is_list_old,
          .instances_stamp = edge->instances_revision };

  if ((!is_config_old && !is_list_old)
      || now_ms - edge->freshness_requested_ms < FRESHNESS_PERIOD_MS)
    return;
  edge->freshness_requested_ms = now_ms;
  bd_name_copy (request.from, edge->settings->name);
  /* When the relays do not reply, any peer is asked.  */
  peer = next_peer (edge, !is_reader
                              && now_ms - edge->config_verified_ms
                                     < 2 * RELAY_PERIOD_MS);
  if (peer != NULL)
    bd_edge_send_to_peer (edge, peer, BD_MESSAGE_FRESHNESS_REQUEST, &request);
}

void
bd_edge_send_freshness_reply (struct bd_edge *edge,
                              const struct bd_freshness_request *request)
{
  const struct bd_member *member
      = bd_membership_find (&edge->membership, request->from);
  int64_t now_ms = bd_edge_now_ms (edge);
  char *config = NULL;
  char *instances = NULL;
  struct bd_freshness_reply reply
      = { .sent_ms = request->sent_ms,
          .config_age_ms = now_ms - edge->config_verified_ms,
          .instances_age_ms = now_ms - edge->instances_verified_ms,
          .instances_stamp = edge->instances_revision };

  if (member == NULL || edge->routes == NULL)
    return;
  reply.config_version = edge->routes->version;
  if (request->config_version < edge->routes->version)
    config = json_dumps (edge->config, JSON_COMPACT);
  if (request->wants_instances && edge->instances != NULL
      && request->instances_stamp != edge->instances_revision)
    instances = json_dumps (edge->instances, JSON_COMPACT);
  reply.config = config != NULL ? config : "";
  reply.instances = instances != NULL ? instances : "";
  bd_edge_send_to_peer (edge, member, BD_MESSAGE_FRESHNESS_REPLY, &reply);
  free (config);
  free (instances);
}

void
bd_edge_receive_freshness_reply (struct bd_edge *edge,
                                 const struct bd_freshness_reply *reply)
{
  /* The peer's ages are counted back from the sending of the request, the
     earliest time at which the peer can have computed them.  */
  int64_t config_ms = reply->sent_ms - reply->config_age_ms;
  int64_t instances_ms = reply->sent_ms - reply->instances_age_ms;
  json_t *value;

  if (reply->config[0] != '\0')
    {
      value = json_loads (reply->config, 0, NULL);
      if (value != NULL)
        apply_config (edge, value, config_ms);
      json_decref (value);
    }
  else if (edge->routes != NULL
           && edge->routes->version == reply->config_version
           && config_ms > edge->config_verified_ms)
    edge->config_verified_ms = config_ms;
  if (instances_ms <= edge->instances_verified_ms)
    return;
  if (reply->instances[0] == '\0')
    {
      /* The peer has the same list.  */
      if (reply->instances_stamp == edge->instances_revision
          && edge->instances != NULL)
        edge->instances_verified_ms = instances_ms;
      return;
    }
  value = json_loads (reply->instances, 0, NULL);
  if (value != NULL)
    {
      edge->instances_revision = reply->instances_stamp;
      apply_instances (edge, value, instances_ms);
    }
  json_decref (value);
}

static void
add_daemons (struct bd_edge *edge, const json_t *items, const json_t **own)
{
  const json_t *item;
  size_t i;

  bd_membership_clear_listed (&edge->membership);
  json_array_foreach (items, i, item)
    {
      const json_t *envelope = json_object_get (item, "value");
      const json_t *data = bd_envelope_data (envelope);
      const char *name = json_string_value (json_object_get (item, "name"));
      const char *address
          = json_string_value (json_object_get (data, "address"));
      const char *data_centre
          = json_string_value (json_object_get (data, "data_centre"));
      json_int_t port
          = json_integer_value (json_object_get (data, "peer_port"));

      if (name == NULL || address == NULL || data_centre == NULL || port <= 0)
        continue;
      if (strcmp (name, edge->settings->name) == 0)
        *own = item;
      else
        bd_membership_add (&edge->membership, name, data_centre, address,
                           (uint32_t)port)
            ->is_listed
            = true;
    }
}

static void
handle_registered (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;

  edge->is_registered = reply->error == BD_OK;
  if (!edge->is_registered)
    bd_log ("register-failed", "reason", bd_error_name (reply->error), NULL);
}

static void
handle_daemons (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;
  const struct bd_edge_settings *settings = edge->settings;
  const json_t *own = NULL;
  const json_t *envelope;
  char *key;

  edge->is_registering = false;
  if (reply->error != BD_OK)
    return;
  /* Daemons that start together find each other only once all are
     registered.  */
  edge->has_peer_list = edge->is_registered;
  add_daemons (edge, reply->items, &own);
  envelope = json_object_get (own, "value");
  if (own != NULL
      && strcmp (json_string_value (
                     json_object_get (bd_envelope_data (envelope), "address")),
                 settings->address)
             == 0)
    {
      edge->is_registered = true;
      return;
    }
  key = talloc_asprintf (edge, "%s%s", DAEMONS_PREFIX, settings->name);
  bd_store_update (
      &edge->store, BD_PRIORITY_STATUS, key,
      json_integer_value (json_object_get (own, "version")), envelope,
      json_pack ("{s:s,s:s,s:i}", "address", settings->address, "data_centre",
                 settings->data_centre, "peer_port", (int)settings->peer_port),
      STORE_CALL_TIMEOUT_MS, handle_registered, edge);
  talloc_free (key);
}

/* Registers this daemon in the store and reads the entries of the others.
   Daemons that are missing there become known by their status messages.  */
static void
register_daemon (struct bd_edge *edge)
{
  enum
  {
    RETRY_MS = 400,
    REFRESH_MS = 15000,
    /* The daemons of a fleet start within this time of each other.  */
    STARTUP_MS = 3000
  };
  int64_t now_ms = bd_edge_now_ms (edge);
  bool is_starting = now_ms - edge->started_ms < STARTUP_MS;
  int64_t period_ms
      = edge->has_peer_list && !is_starting ? REFRESH_MS : RETRY_MS;

  if (edge->is_registering || now_ms - edge->register_started_ms < period_ms)
    return;
  edge->is_registering = true;
  edge->register_started_ms = now_ms;
  /* An old reply is good enough: daemons that it lacks soon send status
     messages.  */
  bd_store_list_stale (&edge->store, BD_PRIORITY_CONFIG, DAEMONS_PREFIX,
                       STORE_CALL_TIMEOUT_MS, handle_daemons, edge);
}

void
bd_edge_sync (void *ctx)
{
  struct bd_edge *edge = ctx;
  int64_t now_ms = bd_edge_now_ms (edge);
  bool is_reader = should_read_store (edge);

  register_daemon (edge);
  if (is_reader && !edge->is_reading_config
      && now_ms - edge->config_read_started_ms >= READ_PERIOD_MS)
    read_config (edge);
  if (is_reader && !edge->is_listing
      && now_ms - edge->list_started_ms >= READ_PERIOD_MS)
    {
      edge->list_started_ms = now_ms;
      list_instances (edge);
    }
  if (edge->is_reapply_pending && !edge->is_store_unreachable
      && now_ms >= edge->fleet.retain_until_ms && edge->instances != NULL)
    {
      edge->is_reapply_pending = false;
      apply_instances (edge, edge->instances, edge->instances_verified_ms);
    }
  if (is_reader)
    watch_changes (edge);
  request_freshness (edge, is_reader);
}

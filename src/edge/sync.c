/* Synchronizes the configuration and the instance list with the store.

   Both are read periodically, because only the reply to a read shows which
   version is the newest.  Watches deliver changes between reads, but a watch
   without changes does not show that there are none.  In a large data centre
   only its relays read the store; the others follow them, see freshness.c.  */

#include "document/delta.h"
#include "edge/edge_internal.h"

#include <string.h>
#include <talloc.h>

enum
{
  /* Longest time until the store is probed again, of one daemon.  */
  STORE_BACKOFF_MS = 400,
  STORE_CALL_TIMEOUT_MS = 1500,
  WATCH_WAIT_MS = 4000,
  /* Minimum time between watches of the list in a large data centre: each
     watch is a store call, and changes within this time arrive in one.  */
  WATCH_INTERVAL_MS = 250,
  /* Limits of the read period.  */
  MIN_READ_PERIOD_MS = 250,
  MAX_READ_PERIOD_MS = 2000,
  /* Reads within the time after which a key must not be accepted any more.  */
  READS_PER_REVOCATION = 4,
  /* Up to this number of live daemons in a data centre, each of them reads the
     store.  */
  MAX_READERS = 3,
  /* Age of the data from a relay at which a daemon reads the store itself;
     more if the relay reads so seldom that its own get almost as old.  */
  OWN_READ_AFTER_MS = 2000
};

static int64_t
min_ms (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static bool
is_large_data_centre (const struct bd_edge *edge)
{
  return bd_membership_count_live (&edge->membership,
                                   edge->settings->data_centre)
         > MAX_READERS;
}

/* Half of the time in which a change has to be in force, so that one reply may
   be lost.  */
static int64_t
read_period_ms (const struct bd_edge *edge)
{
  const struct bd_edge_bounds *bounds = &edge->settings->bounds;
  int64_t bound_ms = min_ms (bounds->config_apply_ms, bounds->drain_ms);
  int64_t period_ms;

  if (is_large_data_centre (edge))
    bound_ms -= BD_EDGE_RELAY_DELAY_MS;
  period_ms = min_ms (bound_ms / 2, bounds->revoke_ms / READS_PER_REVOCATION);
  if (period_ms < MIN_READ_PERIOD_MS)
    return MIN_READ_PERIOD_MS;
  return min_ms (period_ms, MAX_READ_PERIOD_MS);
}

static int64_t
own_read_after_ms (const struct bd_edge *edge)
{
  int64_t follower_age_ms = read_period_ms (edge) + BD_EDGE_RELAY_DELAY_MS;

  return follower_age_ms > OWN_READ_AFTER_MS ? follower_age_ms
                                             : OWN_READ_AFTER_MS;
}

static void
note_reachability (struct bd_edge *edge, bool is_unreachable)
{
  int64_t now_ms = bd_edge_now_ms (edge);

  if (edge->is_store_unreachable == is_unreachable)
    return;
  edge->is_store_unreachable = is_unreachable;
  bd_log (is_unreachable ? "dependency-lost" : "dependency-regained",
          "dependency", "store", "config_age_ms",
          BD_NUM (now_ms - edge->config_verified_ms), "list_age_ms",
          BD_NUM (now_ms - edge->instances_verified_ms), NULL);
}

/* Records whether the last list could be decoded as a whole.  */
static void
note_readable (bool *is_unreadable, enum bd_error error, const char *prefix)
{
  if (*is_unreadable == (error == BD_ERR_UNREADABLE))
    return;
  *is_unreadable = !*is_unreadable;
  bd_log (*is_unreadable ? "list-unreadable" : "list-readable", "prefix",
          prefix, NULL);
}

/* Whether the reply shows that the store does not respond.  */
static bool
is_unreachable (const struct bd_store_reply *reply)
{
  return reply->error != BD_OK && reply->error != BD_ERR_UNREADABLE;
}

/* A request that is handed over has the headers of other daemons besides.  */
static void
set_limits (struct bd_edge *edge, const struct bd_route_limits *limits)
{
  bd_http_server_set_timeouts (&edge->server, limits->header_timeout_ms,
                               limits->idle_timeout_ms);
  bd_http_server_set_max_head (&edge->server, limits->header_bytes);
  bd_http_server_set_max_head (&edge->handover_server,
                               edge->server.max_head_bytes
                                   + BD_EDGE_HANDOVER_HEAD_BYTES);
}

/* Gives the members of open groups a grace in the services that the setting
   covers.  */
static void
configure_grace (struct bd_edge *edge)
{
  uint32_t min_members = edge->settings->grace_min_members;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->routes->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct bd_route_service *service = value;

      bd_fleet_set_grace (&edge->fleet, name,
                          min_members > 0 && service->has_engine
                              && bd_engine_smallest_model (&service->engine)
                                     >= min_members);
    }
}

void
bd_edge_apply_config (struct bd_edge *edge, json_t *value, int64_t verified_ms)
{
  int64_t current_version = edge->routes != NULL ? edge->routes->version : 0;
  uint64_t checksum = bd_document_checksum (value);
  struct bd_routes *routes;

  routes = edge->config != NULL && edge->config_checksum == checksum
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
  /* A lower version than a peer holds is not the newest: the store may have
     been restored from a copy.  */
  if (verified_ms > edge->config_verified_ms
      && routes->version >= edge->highest_config_version)
    edge->config_verified_ms = verified_ms;
  if (routes == edge->routes)
    return;
  bd_count (&edge->counters, BD_COUNT_CONFIG_ADOPTED);
  bd_log ("config-in-force", "version", BD_NUM (routes->version), "before",
          BD_NUM (current_version), NULL);
  bd_edge_note_formed_groups (edge);
  bd_edge_configure_regions (edge, routes);
  talloc_free (edge->routes);
  edge->routes = routes;
  edge->config_applied_ms = bd_edge_now_ms (edge);
  bd_edge_set_config (edge, value, checksum);
  /* The pool may be another one.  */
  edge->controllers_list_ms = 0;
  set_limits (edge, &routes->limits);
  bd_edge_configure_cold (edge);
  configure_grace (edge);
}

static void
apply_config_item (struct bd_edge *edge, const json_t *item, int64_t sent_ms)
{
  json_t *value = json_object_get (item, "value");
  const json_t *version = json_object_get (item, "version");

  if (json_is_true (json_object_get (item, "is_damaged"))
      && (edge->config == NULL || !json_equal (edge->config, value)))
    {
      bd_count (&edge->counters, BD_COUNT_OBJECTS_DAMAGED);
      bd_log ("config-damaged", "revision",
              BD_NUM (json_integer_value (version)), NULL);
    }
  bd_edge_apply_config (edge, value, sent_ms);
}

static void
handle_config (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;
  const json_t *item;
  size_t i;

  edge->is_reading_config = false;
  note_reachability (edge, is_unreachable (reply));
  note_readable (&edge->is_config_unreadable, reply->error,
                 edge->adapter->configuration_prefix);
  if (reply->error != BD_OK)
    return;
  json_array_foreach (reply->items, i, item)
    {
      const char *key = json_string_value (json_object_get (item, "key"));

      if (key != NULL && strcmp (key, edge->adapter->configuration_key) == 0)
        apply_config_item (edge, item, reply->sent_ms);
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

static void
put_entry (struct bd_edge *edge, const struct bd_endpoint_entry *entry)
{
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, entry->id);
  struct bd_membership_view before = { .state = BD_MEMBER_NONE };
  bool was_draining = endpoint != NULL && endpoint->entry.is_draining;
  bool is_returned = endpoint != NULL && !endpoint->is_in_list;

  if (endpoint != NULL)
    before = endpoint->entry.member;
  bd_fleet_put (&edge->fleet, entry, bd_edge_now_ms (edge));
  bd_fleet_endpoint (&edge->fleet, entry->id)->is_evacuated
      = bd_evacuation_has (&edge->evacuation, entry->data_centre);
  endpoint = bd_fleet_endpoint (&edge->fleet, entry->id);
  bd_edge_update_cold_endpoint (edge, endpoint);
  if (is_returned && endpoint->is_in_list)
    bd_log ("instance-listed", "instance", entry->id, "started_ms",
            BD_NUM (endpoint->entry.started_ms), NULL);
  if (endpoint->entry.is_draining && !was_draining)
    bd_log ("endpoint-leaving", "endpoint", entry->id, "source", "list",
            "started_ms", BD_NUM (endpoint->entry.started_ms), NULL);
  bd_edge_log_member (edge, endpoint, &before, "list");
}

/* Logs that the list lacks an endpoint, and whether it is kept since its entry
   can have expired.  */
static void
log_removal (void *ctx, const struct bd_fleet_endpoint *endpoint)
{
  (void)ctx;
  bd_log ("instance-gone", "instance", endpoint->entry.id, "started_ms",
          BD_NUM (endpoint->entry.started_ms), "is_kept",
          endpoint->is_listed ? "true" : "false", NULL);
}

/* Listener of the directory: passes a change of the list to the fleet.  */
static void
handle_change (void *ctx, const struct bd_directory_record *record)
{
  struct bd_edge *edge = ctx;
  const struct bd_fleet_endpoint *endpoint;

  edge->has_list_changed = true;
  if (!record->is_removed)
    {
      put_entry (edge, &record->entry);
      return;
    }
  if (record->entry.is_draining)
    bd_fleet_mark_leaving (&edge->fleet, record->entry.id,
                           record->entry.started_ms, bd_edge_now_ms (edge));
  bd_fleet_remove (&edge->fleet, record->entry.id, bd_edge_now_ms (edge));
  endpoint = bd_fleet_endpoint (&edge->fleet, record->entry.id);
  if (endpoint != NULL)
    log_removal (edge, endpoint);
}

void
bd_edge_start_directory (struct bd_edge *edge)
{
  uint64_t log = bd_random_u64 (edge->rng);

  bd_directory_init (&edge->directory, log != 0 ? log : 1, handle_change,
                     edge);
}

static void
put_again (void *ctx, const struct bd_directory_record *record)
{
  put_entry (ctx, &record->entry);
}

void
bd_edge_put_entries_again (struct bd_edge *edge)
{
  bd_directory_foreach (&edge->directory, put_again, edge);
}

static bool
is_controller (const struct bd_edge *edge)
{
  for (uint32_t i = 0; i < edge->controller_count; i++)
    if (edge->controllers[i]->is_active)
      return true;
  return false;
}

void
bd_edge_note_list (struct bd_edge *edge, int64_t verified_ms)
{
  const struct bd_edge_bounds *bounds = &edge->settings->bounds;

  edge->fleet.listing.drain_ms = bounds->drain_ms;
  edge->fleet.listing.contact_ms = bounds->contact_ms;
  bd_listing_note_failure (&edge->fleet.listing, edge->store.failed_ms);
  if (verified_ms > edge->instances_verified_ms)
    {
      edge->instances_verified_ms = verified_ms;
      bd_listing_note_verified (&edge->fleet.listing, verified_ms,
                                bd_edge_now_ms (edge));
      /* Only controllers confirm states, which can then lag behind an entry
         that was not taken.  */
      if (is_controller (edge))
        bd_edge_put_entries_again (edge);
    }
  edge->fleet.has_list = edge->fleet.has_list || edge->directory.is_complete;
  if (bd_fleet_update (&edge->fleet, log_removal, edge, bd_edge_now_ms (edge)))
    edge->has_list_changed = true;
  if (!edge->has_list_changed)
    return;
  edge->has_list_changed = false;
  bd_fleet_refresh (&edge->fleet);
  bd_edge_dispatch_backlogs (edge);
}

/* Decodes an item of the list; false when it describes no endpoint.  */
static bool
read_item (const struct bd_edge *edge, const json_t *item,
           struct bd_endpoint_entry *entry)
{
  return !json_is_true (json_object_get (item, "is_damaged"))
         && edge->adapter->read_entry (
             json_string_value (json_object_get (item, "name")),
             json_object_get (item, "value"), entry);
}

/* Returns whether the item is valid.  An invalid one names no endpoint, so
   that the one that had its id counts as removed, as in a list.  */
static bool
put_item (struct bd_edge *edge, const json_t *item, int64_t era)
{
  const char *name = json_string_value (json_object_get (item, "name"));
  int64_t revision = json_integer_value (json_object_get (item, "version"));
  bool is_deleted = json_is_true (json_object_get (item, "is_deleted"));
  struct bd_endpoint_entry entry;

  if (name == NULL)
    return false;
  if (!is_deleted && read_item (edge, item, &entry))
    {
      bd_directory_put (&edge->directory, &entry, era, revision);
      return true;
    }
  bd_directory_remove (&edge->directory, name, era, revision);
  return is_deleted;
}

/* Puts the items of a complete list.  Invalid ones are logged when they are
   not those of the last list.  */
static void
put_items (struct bd_edge *edge, const struct bd_store_reply *reply)
{
  const char *first = "";
  uint64_t hash = 0;
  uint32_t count = 0;
  const json_t *item;
  size_t i;

  json_array_foreach (reply->items, i, item)
    {
      const char *name = json_string_value (json_object_get (item, "name"));

      if (put_item (edge, item, reply->era) || name == NULL)
        continue;
      first = count++ == 0 ? name : first;
      hash += bd_hash (name, strlen (name));
    }
  if (hash == edge->damaged_entries)
    return;
  edge->damaged_entries = hash;
  bd_count_add (&edge->counters, BD_COUNT_OBJECTS_DAMAGED, count);
  bd_log ("entries-damaged", "count", BD_NUM (count), "first", first, NULL);
}

static void
handle_list (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;

  edge->is_listing = false;
  note_reachability (edge, is_unreachable (reply));
  note_readable (&edge->is_list_unreadable, reply->error,
                 edge->adapter->instances_prefix);
  if (reply->error != BD_OK)
    return;
  bd_directory_begin_list (&edge->directory, reply->era, reply->revision);
  put_items (edge, reply);
  bd_directory_end_list (&edge->directory);
  edge->has_list_changed
      = bd_fleet_expire (&edge->fleet, bd_edge_now_ms (edge))
        || edge->has_list_changed;
  bd_edge_note_list (edge, reply->sent_ms);
  if (!edge->is_watching_instances)
    edge->instances_watch_revision = reply->revision;
}

static void
list_instances (struct bd_edge *edge)
{
  edge->is_listing = true;
  edge->list_started_ms = bd_edge_now_ms (edge);
  bd_store_list (&edge->store, BD_PRIORITY_GROUPS,
                 edge->adapter->instances_prefix, STORE_CALL_TIMEOUT_MS,
                 handle_list, edge);
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
  if (!edge->directory.is_complete)
    return;
  json_array_foreach (reply->items, i, item)
    put_item (edge, item, reply->era);
  bd_edge_note_list (edge, 0);
}

/* A small data centre watches without a pause: it needs few store calls.  */
static int64_t
watch_interval_ms (const struct bd_edge *edge)
{
  return is_large_data_centre (edge) ? WATCH_INTERVAL_MS : 0;
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

void
bd_edge_handle_era (void *ctx, int64_t era)
{
  struct bd_edge *edge = ctx;
  int64_t now_ms = bd_edge_now_ms (edge);

  bd_log ("store-restored", "era", BD_NUM (era), "list_age_ms",
          BD_NUM (now_ms - edge->instances_verified_ms), NULL);
  edge->restored_ms = now_ms;
  edge->config_watch_revision = 0;
  edge->instances_watch_revision = 0;
  edge->config_read_started_ms = 0;
  edge->list_started_ms = 0;
  edge->evacuations_read_ms = 0;
  /* Instances write themselves in again, as after an outage.  */
  bd_fleet_mark_store_restored (&edge->fleet, now_ms);
  bd_edge_register_again (edge);
  bd_edge_drop_terms (edge, "store restored from a copy");
}

/* Whether this daemon reads the store.  In a large data centre two daemons,
   the relays, read it for all, because store calls are expensive and their
   rate limits do not grow with the fleet.  The others read the store only when
   their own data is too old.  */
static bool
should_read_store (struct bd_edge *edge)
{
  const struct bd_membership *membership = &edge->membership;
  int64_t now_ms = bd_edge_now_ms (edge);
  int64_t old_ms = now_ms - own_read_after_ms (edge);

  if (bd_edge_is_finding_peers (edge))
    return false;
  return !is_large_data_centre (edge)
         || bd_membership_is_relay (membership, &membership->members[0])
         || (edge->started_ms <= old_ms
             && (edge->config_verified_ms <= old_ms
                 || edge->instances_verified_ms <= old_ms));
}

/* While the store does not serve them, the daemons that do not read it for
   others probe it less often the more of them there are; its return reaches
   them over the relays.  */
static void
share_backoff (struct bd_edge *edge, bool is_relay)
{
  edge->store.max_backoff_ms
      = is_relay || !is_large_data_centre (edge)
            ? STORE_BACKOFF_MS
            : bd_backoff_shared_ms (STORE_BACKOFF_MS, edge->local_daemons,
                                    BD_BACKOFF_MAX_MS);
}

void
bd_edge_sync (void *ctx)
{
  struct bd_edge *edge = ctx;
  int64_t now_ms = bd_edge_now_ms (edge);
  int64_t period_ms = read_period_ms (edge);
  bool is_reader = should_read_store (edge);

  share_backoff (edge, bd_membership_is_relay (&edge->membership,
                                               &edge->membership.members[0]));
  bd_edge_register (edge);
  if (is_reader && !edge->is_reading_config
      && now_ms - edge->config_read_started_ms >= period_ms)
    read_config (edge);
  if (is_reader && !edge->is_listing
      && now_ms - edge->list_started_ms >= period_ms)
    list_instances (edge);
  bd_edge_note_list (edge, 0);
  if (is_reader)
    watch_changes (edge);
  bd_edge_sync_evacuations (edge, is_reader);
  bd_edge_request_freshness (edge, is_reader);
}

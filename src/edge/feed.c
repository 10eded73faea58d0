/* What the platform says: the configuration and the instance list.

   Both are read at a steady pace, since only an answer to a question shows
   what is newest; watches bring changes in between and prove nothing.  A
   daemon that cannot reach the store asks its peers.  */

#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  /* Between reads of the configuration and of the list: half of the bounds on
     configuration and draining, so that one lost answer is made up for.  */
  READ_PERIOD_MS = 1000,
  GIVE_UP_MS = 1500,
  WATCH_WAIT_MS = 4000,
  /* In a large data centre, changes that come within this are taken together:
     each watch is a call.  */
  WATCH_PAUSE_MS = 250,
  /* A peer is asked when this daemon's own knowledge is older than two
     periods.  */
  VOUCH_AFTER_MS = 2200,
  VOUCH_PERIOD_MS = 250,
  /* Up to so many daemons of a data centre each read the store.  */
  READERS_AT_MOST = 3,
  /* How old what a relay gave may be when it is asked again, and when a daemon
     reads for itself.  */
  RELAY_PERIOD_MS = 500,
  OWN_READ_AFTER_MS = 2000
};

/* A kind of object of our own: one for each daemon.  */
#define DAEMONS_PREFIX "bd-daemons/"

static void
set_store_away (struct bd_edge *edge, bool is_away)
{
  int64_t now_ms = bd_edge_now_ms (edge);

  if (is_away)
    bd_fleet_store_away (&edge->fleet, now_ms);
  else if (edge->is_store_away)
    edge->must_settle_list
        = bd_fleet_store_back (&edge->fleet, edge->instances_proof_ms, now_ms);
  if (edge->is_store_away == is_away)
    return;
  edge->is_store_away = is_away;
  bd_log (is_away ? "dependency-lost" : "dependency-regained", "dependency",
          "store", "config_age_ms", BD_NUM (now_ms - edge->config_proof_ms),
          "list_age_ms", BD_NUM (now_ms - edge->instances_proof_ms), NULL);
}

/* Puts a configuration in force unless it is older than the present one.
   sent_ms is when it was known to be the newest.  */
static void
take_config (struct bd_edge *edge, json_t *value, int64_t sent_ms)
{
  int64_t held = edge->routes != NULL ? edge->routes->version : 0;
  struct bd_routes *routes;

  routes = edge->config != NULL && json_equal (edge->config, value)
               ? edge->routes
               : edge->dialect->read_routes (edge, value);
  if (routes == NULL)
    return;
  if (routes != edge->routes && routes->version < held)
    {
      bd_count (&edge->counters, BD_COUNT_CONFIG_LOWER);
      bd_log ("config-lower", "version", BD_NUM (routes->version), "held",
              BD_NUM (held), NULL);
      talloc_free (routes);
      return;
    }
  if (sent_ms > edge->config_proof_ms)
    edge->config_proof_ms = sent_ms;
  if (routes == edge->routes)
    return;
  bd_count (&edge->counters, BD_COUNT_CONFIG_ADOPTED);
  bd_log ("config-in-force", "version", BD_NUM (routes->version), "before",
          BD_NUM (held), NULL);
  talloc_free (edge->routes);
  edge->routes = routes;
  json_decref (edge->config);
  edge->config = json_incref (value);
  bd_http_server_set_timeouts (&edge->server, routes->limits.header_timeout_ms,
                               routes->limits.idle_timeout_ms);
}

static void
handle_config (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_edge *edge = ctx;
  const json_t *item;
  size_t i;

  edge->is_reading_config = false;
  set_store_away (edge, answer->error != BD_OK);
  if (answer->error != BD_OK)
    return;
  json_array_foreach (answer->items, i, item)
    {
      const char *key = json_string_value (json_object_get (item, "key"));

      if (key != NULL && strcmp (key, edge->dialect->configuration_key) == 0)
        take_config (edge, json_object_get (item, "value"), answer->sent_ms);
    }
  if (!edge->is_watching_config)
    edge->config_since = answer->revision;
}

static void
read_config (struct bd_edge *edge)
{
  edge->is_reading_config = true;
  edge->config_read_ms = bd_edge_now_ms (edge);
  bd_platform_list (&edge->store, BD_PRIORITY_CONFIG,
                    edge->dialect->configuration_prefix, GIVE_UP_MS,
                    handle_config, edge);
}

static void
handle_config_watch (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_edge *edge = ctx;

  edge->is_watching_config = false;
  if (answer->error != BD_OK)
    {
      edge->config_since = 0;
      return;
    }
  edge->config_since = answer->revision;
  if (json_array_size (answer->items) > 0 && !edge->is_reading_config)
    read_config (edge);
}

/* One entry of the list, or of a watch.  */
static void
keep_entry (const json_t *item, json_t *into)
{
  const char *name = json_string_value (json_object_get (item, "name"));

  if (name != NULL)
    json_object_set_new (into, name,
                         json_pack ("{s:O,s:O}", "revision",
                                    json_object_get (item, "version"), "value",
                                    json_object_get (item, "value")));
}

/* Gives the whole list to the fleet.  */
static void
replace_instances (struct bd_edge *edge, json_t *instances, int64_t sent_ms)
{
  size_t size = json_object_size (instances);
  struct bd_endpoint_entry *entries
      = talloc_array (edge, struct bd_endpoint_entry, size + 1);
  uint32_t count = 0;
  const char *name;
  json_t *item;

  json_object_foreach (instances, name, item)
    if (edge->dialect->read_entry (name, json_object_get (item, "value"),
                                   &entries[count]))
      count++;
  bd_fleet_replace (&edge->fleet, entries, count, bd_edge_now_ms (edge));
  bd_fleet_refresh (&edge->fleet);
  talloc_free (entries);
  /* The list given may be the one that is held.  */
  json_incref (instances);
  json_decref (edge->instances);
  edge->instances = instances;
  if (sent_ms > edge->instances_proof_ms)
    edge->instances_proof_ms = sent_ms;
  bd_edge_pump (edge);
}

static void
handle_list (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_edge *edge = ctx;
  json_t *instances;
  const json_t *item;
  size_t i;

  edge->is_listing = false;
  set_store_away (edge, answer->error != BD_OK);
  if (answer->error != BD_OK)
    return;
  instances = json_object ();
  json_array_foreach (answer->items, i, item)
    keep_entry (item, instances);
  if (edge->instances == NULL || !json_equal (instances, edge->instances))
    edge->instances_stamp = answer->revision;
  replace_instances (edge, instances, answer->sent_ms);
  json_decref (instances);
  if (!edge->is_watching_instances)
    edge->instances_since = answer->revision;
}

static void
list_instances (struct bd_edge *edge)
{
  edge->is_listing = true;
  bd_platform_list (&edge->store, BD_PRIORITY_GROUPS,
                    edge->dialect->instances_prefix, GIVE_UP_MS, handle_list,
                    edge);
}

/* Whether an event is newer than what is held of its entry; a watch may be
   behind the list.  */
static bool
is_newer (const struct bd_edge *edge, const char *name, const json_t *item)
{
  const json_t *held = json_object_get (edge->instances, name);

  return json_integer_value (json_object_get (item, "version"))
         >= json_integer_value (json_object_get (held, "revision"));
}

static void
take_event (struct bd_edge *edge, const json_t *item)
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
  keep_entry (item, edge->instances);
  if (edge->dialect->read_entry (name, json_object_get (item, "value"),
                                 &entry))
    bd_fleet_put (&edge->fleet, &entry, bd_edge_now_ms (edge));
}

static void
handle_instances_watch (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_edge *edge = ctx;
  const json_t *item;
  size_t i;

  edge->is_watching_instances = false;
  if (answer->error != BD_OK)
    {
      edge->instances_since = 0;
      return;
    }
  edge->instances_since = answer->revision;
  json_array_foreach (answer->items, i, item)
    take_event (edge, item);
  if (json_array_size (answer->items) == 0)
    return;
  edge->instances_stamp = answer->revision;
  bd_fleet_refresh (&edge->fleet);
  bd_edge_pump (edge);
}

/* In a small data centre a change is worth the call.  */
static int64_t
watch_pause_ms (const struct bd_edge *edge)
{
  return bd_membership_live (&edge->membership, edge->settings->data_centre)
                 > READERS_AT_MOST
             ? WATCH_PAUSE_MS
             : 0;
}

static void
watch_changes (struct bd_edge *edge)
{
  if (!edge->is_watching_config && edge->config_since > 0)
    {
      edge->is_watching_config = true;
      bd_platform_watch (&edge->store, edge->dialect->configuration_prefix,
                         edge->config_since, WATCH_WAIT_MS,
                         handle_config_watch, edge);
    }
  if (!edge->is_watching_instances && edge->instances_since > 0
      && bd_edge_now_ms (edge) - edge->watched_ms >= watch_pause_ms (edge))
    {
      edge->watched_ms = bd_edge_now_ms (edge);
      edge->is_watching_instances = true;
      bd_platform_watch (&edge->store, edge->dialect->instances_prefix,
                         edge->instances_since, WATCH_WAIT_MS,
                         handle_instances_watch, edge);
    }
}

/* In a large data centre two daemons read the store for all: calls to it are
   dear, and its rates do not grow with the fleet.  The others ask them, and
   read for themselves only when what they know grows old.  */
static bool
reads_store (struct bd_edge *edge)
{
  const struct bd_membership *membership = &edge->membership;
  int64_t now_ms = bd_edge_now_ms (edge);

  return bd_membership_live (membership, edge->settings->data_centre)
             <= READERS_AT_MOST
         || bd_membership_is_relay (membership, &membership->members[0])
         || now_ms - edge->config_proof_ms >= OWN_READ_AFTER_MS
         || now_ms - edge->instances_proof_ms >= OWN_READ_AFTER_MS;
}

/* Whom to ask: in turn any live peer, or one that reads the store.  */
static const struct bd_member *
next_peer (struct bd_edge *edge, bool must_be_relay)
{
  const struct bd_membership *membership = &edge->membership;

  for (uint32_t i = 0; i < membership->count; i++)
    {
      const struct bd_member *member;

      if (!must_be_relay || i > 0)
        edge->vouch_turn = (edge->vouch_turn + 1) % membership->count;
      member = &membership->members[edge->vouch_turn % membership->count];
      if (member == &membership->members[0] || !member->is_live)
        continue;
      if (!must_be_relay
          || (strcmp (member->data_centre, edge->settings->data_centre) == 0
              && bd_membership_is_relay (membership, member)))
        return member;
    }
  return NULL;
}

/* Asks a peer for what it knows when there is reason to.  */
static void
ask_peers (struct bd_edge *edge, bool reads)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  int64_t after_ms = reads ? VOUCH_AFTER_MS : RELAY_PERIOD_MS;
  bool is_config_old = now_ms - edge->config_proof_ms >= after_ms;
  bool is_list_old = now_ms - edge->instances_proof_ms >= after_ms;
  const struct bd_member *peer;
  struct bd_freshness_request ask
      = { .sent_ms = now_ms,
          .config_version = edge->routes != NULL ? edge->routes->version : 0,
          .wants_instances = is_list_old,
          .instances_stamp = edge->instances_stamp };

  if ((!is_config_old && !is_list_old)
      || now_ms - edge->vouch_asked_ms < VOUCH_PERIOD_MS)
    return;
  edge->vouch_asked_ms = now_ms;
  bd_name_copy (ask.from, edge->settings->name);
  /* Relays that do not answer are passed over by asking anybody.  */
  peer = next_peer (
      edge, !reads && now_ms - edge->config_proof_ms < 2 * RELAY_PERIOD_MS);
  if (peer != NULL)
    bd_edge_tell (edge, peer, BD_MESSAGE_FRESHNESS_REQUEST, &ask);
}

void
bd_edge_give_vouch (struct bd_edge *edge,
                    const struct bd_freshness_request *ask)
{
  const struct bd_member *member
      = bd_membership_find (&edge->membership, ask->from);
  int64_t now_ms = bd_edge_now_ms (edge);
  char *config = NULL;
  char *instances = NULL;
  struct bd_freshness_reply vouch
      = { .sent_ms = ask->sent_ms,
          .config_age_ms = now_ms - edge->config_proof_ms,
          .instances_age_ms = now_ms - edge->instances_proof_ms,
          .instances_stamp = edge->instances_stamp };

  if (member == NULL || edge->routes == NULL)
    return;
  vouch.config_version = edge->routes->version;
  if (ask->config_version < edge->routes->version)
    config = json_dumps (edge->config, JSON_COMPACT);
  if (ask->wants_instances && edge->instances != NULL
      && ask->instances_stamp != edge->instances_stamp)
    instances = json_dumps (edge->instances, JSON_COMPACT);
  vouch.config = config != NULL ? config : "";
  vouch.instances = instances != NULL ? instances : "";
  bd_edge_tell (edge, member, BD_MESSAGE_FRESHNESS_REPLY, &vouch);
  free (config);
  free (instances);
}

void
bd_edge_take_vouch (struct bd_edge *edge,
                    const struct bd_freshness_reply *vouch)
{
  /* The peer's knowledge is at least as old as when it was asked.  */
  int64_t config_ms = vouch->sent_ms - vouch->config_age_ms;
  int64_t instances_ms = vouch->sent_ms - vouch->instances_age_ms;
  json_t *value;

  if (vouch->config[0] != '\0')
    {
      value = json_loads (vouch->config, 0, NULL);
      if (value != NULL)
        take_config (edge, value, config_ms);
      json_decref (value);
    }
  else if (edge->routes != NULL
           && edge->routes->version == vouch->config_version
           && config_ms > edge->config_proof_ms)
    edge->config_proof_ms = config_ms;
  if (instances_ms <= edge->instances_proof_ms)
    return;
  if (vouch->instances[0] == '\0')
    {
      /* The same list.  */
      if (vouch->instances_stamp == edge->instances_stamp
          && edge->instances != NULL)
        edge->instances_proof_ms = instances_ms;
      return;
    }
  value = json_loads (vouch->instances, 0, NULL);
  if (value != NULL)
    {
      edge->instances_stamp = vouch->instances_stamp;
      replace_instances (edge, value, instances_ms);
    }
  json_decref (value);
}

static void
learn_daemons (struct bd_edge *edge, const json_t *items, const json_t **own)
{
  const json_t *item;
  size_t i;

  bd_membership_start_list (&edge->membership);
  json_array_foreach (items, i, item)
    {
      const json_t *envelope = json_object_get (item, "value");
      const json_t *data = bd_envelope_data (envelope);
      const char *name = json_string_value (json_object_get (item, "name"));
      const char *address
          = json_string_value (json_object_get (data, "address"));
      const char *centre
          = json_string_value (json_object_get (data, "data_centre"));
      json_int_t port
          = json_integer_value (json_object_get (data, "peer_port"));

      if (name == NULL || address == NULL || centre == NULL || port <= 0)
        continue;
      if (strcmp (name, edge->settings->name) == 0)
        *own = item;
      else
        bd_membership_learn (&edge->membership, name, centre, address,
                             (uint32_t)port)
            ->is_listed
            = true;
    }
}

static void
handle_registered (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_edge *edge = ctx;

  edge->has_registered = answer->error == BD_OK;
  if (!edge->has_registered)
    bd_log ("register-failed", "reason", bd_error_name (answer->error), NULL);
}

static void
handle_daemons (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_edge *edge = ctx;
  const struct bd_edge_settings *settings = edge->settings;
  const json_t *own = NULL;
  const json_t *envelope;
  char *key;

  edge->is_registering = false;
  if (answer->error != BD_OK)
    return;
  /* Daemons that start together see each other only once all have made
     themselves known.  */
  edge->has_peer_list = edge->has_registered;
  learn_daemons (edge, answer->items, &own);
  envelope = json_object_get (own, "value");
  if (own != NULL
      && strcmp (json_string_value (
                     json_object_get (bd_envelope_data (envelope), "address")),
                 settings->address)
             == 0)
    {
      edge->has_registered = true;
      return;
    }
  key = talloc_asprintf (edge, "%s%s", DAEMONS_PREFIX, settings->name);
  bd_platform_update (
      &edge->store, BD_PRIORITY_STATUS, key,
      json_integer_value (json_object_get (own, "version")), envelope,
      json_pack ("{s:s,s:s,s:i}", "address", settings->address, "data_centre",
                 settings->data_centre, "peer_port", (int)settings->peer_port),
      GIVE_UP_MS, handle_registered, edge);
  talloc_free (key);
}

/* Makes this daemon known, and learns of the others.  Heartbeats do the rest:
   whoever hears one of an unknown daemon learns of it.  */
static void
register_daemon (struct bd_edge *edge)
{
  enum
  {
    AGAIN_MS = 400,
    REFRESH_MS = 15000,
    /* Daemons of a fleet start within this time of each other.  */
    STARTING_MS = 3000
  };
  int64_t now_ms = bd_edge_now_ms (edge);
  bool is_starting = now_ms - edge->started_ms < STARTING_MS;
  int64_t period_ms
      = edge->has_peer_list && !is_starting ? REFRESH_MS : AGAIN_MS;

  if (edge->is_registering || now_ms - edge->registered_ms < period_ms)
    return;
  edge->is_registering = true;
  edge->registered_ms = now_ms;
  /* Who is missing from an old answer is heard of soon.  */
  bd_platform_list_stale (&edge->store, BD_PRIORITY_CONFIG, DAEMONS_PREFIX,
                          GIVE_UP_MS, handle_daemons, edge);
}

void
bd_edge_feed (void *ctx)
{
  struct bd_edge *edge = ctx;
  int64_t now_ms = bd_edge_now_ms (edge);
  bool reads = reads_store (edge);

  register_daemon (edge);
  if (reads && !edge->is_reading_config
      && now_ms - edge->config_read_ms >= READ_PERIOD_MS)
    read_config (edge);
  if (reads && !edge->is_listing && now_ms - edge->listed_ms >= READ_PERIOD_MS)
    {
      edge->listed_ms = now_ms;
      list_instances (edge);
    }
  if (edge->must_settle_list && !edge->is_store_away
      && now_ms >= edge->fleet.keep_until_ms && edge->instances != NULL)
    {
      edge->must_settle_list = false;
      replace_instances (edge, edge->instances, edge->instances_proof_ms);
    }
  if (reads)
    watch_changes (edge);
  ask_peers (edge, reads);
}

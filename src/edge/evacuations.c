/* Follows which data centres are evacuated.

   The daemons that read the store list the objects periodically.  The others
   get the set and its age from the peer that they follow, beside its freshness
   reply, and read the store themselves when that is too old.  A watch is not
   used: the lists are few, and only a list shows that there is no object.

   The set takes effect as a flag of each endpoint, so that the choice of a
   target compares no names.  */

#include "edge/edge_internal.h"

#include <string.h>
#include <talloc.h>

enum
{
  READ_TIMEOUT_MS = 1500,
  /* Time after the start at which a daemon that has no set from a peer reads
     the store itself: as for the configuration, see sync.c.  */
  FIRST_READ_AFTER_MS = 2000
};

/* The source of an observation.  */
struct source
{
  struct bd_edge *edge;
  const char *name;
  int64_t verified_ms;
};

static void
handle_change (void *ctx, const char *name, bool is_evacuated)
{
  const struct source *source = ctx;
  struct bd_edge *edge = source->edge;

  bd_log (is_evacuated ? "evacuation-begun" : "evacuation-ended",
          "data_centre", name, "source", source->name, "age_ms",
          BD_NUM (bd_edge_now_ms (edge) - source->verified_ms), NULL);
  /* The endpoints may have become cold while they got no requests.  */
  if (!is_evacuated)
    bd_edge_mark_cold (edge, name);
}

static void
mark_endpoints (struct bd_edge *edge)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_endpoint *endpoint = value;

      endpoint->is_evacuated
          = bd_evacuation_has (&edge->evacuation, endpoint->entry.data_centre);
    }
}

static bool
has_endpoints (void *ctx, const char *data_centre)
{
  const struct bd_edge *edge = ctx;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;

      if (strcmp (endpoint->entry.data_centre, data_centre) == 0)
        return true;
    }
  return false;
}

static void
log_unknown (void *ctx, const char *name, bool is_evacuated)
{
  (void)ctx;
  (void)is_evacuated;
  bd_log ("evacuation-unknown", "data_centre", name, NULL);
}

static void
observe (struct bd_edge *edge, const char *const *names, uint32_t count,
         int64_t verified_ms, const char *source_name)
{
  struct source source = { edge, source_name, verified_ms };

  if (!bd_evacuation_observe (&edge->evacuation, names, count, verified_ms,
                              handle_change, &source))
    return;
  mark_endpoints (edge);
  /* Requests that wait have other targets now, or none any more.  */
  bd_edge_dispatch_backlogs (edge);
}

/* Logs the names that no data centre can have when they are not those of the
   last list.  */
static void
note_odd_names (struct bd_edge *edge, const json_t *items)
{
  const char *first = NULL;
  uint64_t hash = 0;
  const json_t *item;
  size_t i;

  json_array_foreach (items, i, item)
    {
      const char *name = json_string_value (json_object_get (item, "name"));

      if (name == NULL || bd_evacuation_is_valid (name))
        continue;
      first = first != NULL ? first : name;
      hash += bd_hash (name, strlen (name));
    }
  if (hash != edge->odd_evacuations && first != NULL)
    bd_log ("evacuation-unknown", "data_centre", first, NULL);
  edge->odd_evacuations = hash;
}

/* Applies a list.  Only the names of the objects have a meaning, not their
   values, damaged or not.  If there are more names than the set has room for,
   those of data centres with endpoints take precedence.  */
static void
apply_list (struct bd_edge *edge, const struct bd_store_reply *reply)
{
  size_t size = json_array_size (reply->items);
  const char **names = g_new (const char *, size + 1);
  uint32_t count = 0;
  const json_t *item;
  size_t i;

  json_array_foreach (reply->items, i, item)
    {
      const char *name = json_string_value (json_object_get (item, "name"));

      if (name != NULL
          && (size <= BD_EVACUATION_MAX_NAMES || has_endpoints (edge, name)))
        names[count++] = name;
    }
  observe (edge, names, count, reply->sent_ms, "store");
  g_free (names);
}

static void
note_readable (struct bd_edge *edge, enum bd_error error)
{
  if (edge->are_evacuations_unreadable == (error == BD_ERR_UNREADABLE))
    return;
  edge->are_evacuations_unreadable = !edge->are_evacuations_unreadable;
  bd_log (edge->are_evacuations_unreadable ? "list-unreadable"
                                           : "list-readable",
          "prefix", edge->adapter->evacuations_prefix, NULL);
}

static void
handle_list (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;

  edge->is_reading_evacuations = false;
  /* The bound was removed from the settings after the call.  */
  if (edge->settings->bounds.evacuation_ms == 0)
    return;
  note_readable (edge, reply->error);
  if (reply->error != BD_OK)
    {
      bd_evacuation_note_failure (&edge->evacuation);
      return;
    }
  note_odd_names (edge, reply->items);
  apply_list (edge, reply);
}

/* Whether this daemon reads the store, as a reader or because what it has from
   its peer is too old.  */
static bool
should_read (const struct bd_edge *edge, bool is_reader)
{
  const struct bd_evacuation *evacuation = &edge->evacuation;
  int64_t now_ms = bd_edge_now_ms (edge);

  if (is_reader)
    return true;
  if (bd_edge_is_finding_peers (edge))
    return false;
  if (!evacuation->has_observation)
    return now_ms - edge->started_ms >= FIRST_READ_AFTER_MS;
  return now_ms - evacuation->verified_ms >= bd_evacuation_own_read_after_ms (
             edge->settings->bounds.evacuation_ms);
}

void
bd_edge_sync_evacuations (struct bd_edge *edge, bool is_reader)
{
  int64_t bound_ms = edge->settings->bounds.evacuation_ms;
  int64_t now_ms = bd_edge_now_ms (edge);

  if (bound_ms == 0)
    {
      if (edge->evacuation.count > 0)
        observe (edge, NULL, 0, now_ms, "settings");
      return;
    }
  if (edge->fleet.has_list)
    bd_evacuation_report_unknown (&edge->evacuation, has_endpoints,
                                  log_unknown, edge);
  if (edge->is_reading_evacuations || !should_read (edge, is_reader)
      || now_ms - edge->evacuations_read_ms
             < bd_evacuation_period_ms (bound_ms))
    return;
  edge->is_reading_evacuations = true;
  edge->evacuations_read_ms = now_ms;
  bd_store_list (&edge->store, BD_PRIORITY_CONFIG,
                 edge->adapter->evacuations_prefix, READ_TIMEOUT_MS,
                 handle_list, edge);
}

void
bd_edge_send_evacuations (struct bd_edge *edge, const struct bd_member *peer,
                          int64_t sent_ms)
{
  static struct bd_evacuated items[BD_EVACUATION_MAX_NAMES];
  const struct bd_evacuation *evacuation = &edge->evacuation;
  struct bd_evacuation_update update
      = { .sent_ms = sent_ms,
          .era = edge->store.era,
          .age_ms = bd_edge_now_ms (edge) - evacuation->verified_ms,
          .items = items,
          .count = evacuation->count };

  if (edge->settings->bounds.evacuation_ms == 0
      || !evacuation->has_observation)
    return;
  for (uint32_t i = 0; i < evacuation->count; i++)
    bd_name_copy (items[i].name, evacuation->names[i].name);
  bd_edge_send_to_peer (edge, peer, BD_MESSAGE_EVACUATIONS, &update);
}

/* Whether the request was sent, and the set was confirmed, by now.  */
static bool
has_possible_times (const struct bd_evacuation_update *update, int64_t now_ms)
{
  return update->sent_ms >= 0 && update->sent_ms <= now_ms
         && update->age_ms >= update->sent_ms - now_ms;
}

void
bd_edge_receive_evacuations (struct bd_edge *edge,
                             const struct bd_evacuation_update *update)
{
  const char **names;

  if (edge->settings->bounds.evacuation_ms == 0
      || !has_possible_times (update, bd_edge_now_ms (edge)))
    return;
  bd_store_note_era (&edge->store, update->era);
  if (update->era < edge->store.era)
    return;
  names = g_new (const char *, update->count + 1);
  for (uint32_t i = 0; i < update->count; i++)
    names[i] = update->items[i].name;
  /* The age is counted back from the sending of the request, the earliest time
     at which the peer can have computed it.  */
  observe (edge, names, update->count, update->sent_ms - update->age_ms,
           "peer");
  g_free (names);
}

bool
bd_edge_awaits_evacuations (const struct bd_edge *edge)
{
  return edge->settings->bounds.evacuation_ms > 0
         && !bd_evacuation_is_settled (&edge->evacuation);
}

bool
bd_edge_is_service_evacuated (const struct bd_edge *edge, const char *service)
{
  bool has_evacuated = false;
  GHashTableIter iter;
  gpointer value;

  if (edge->evacuation.count == 0)
    return false;
  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;

      if (!endpoint->is_listed || endpoint->entry.is_draining
          || strcmp (endpoint->entry.service, service) != 0)
        continue;
      if (!endpoint->is_evacuated)
        return false;
      has_evacuated = true;
    }
  return has_evacuated;
}

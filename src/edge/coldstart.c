/* Cold endpoints: applies the configuration and what responses say, finds out
   for which of them this daemon is a sender, and logs when they turn cold or
   are warm again.  */

#include "base/numbers.h"
#include "edge/edge_internal.h"

#include <stdio.h>
#include <string.h>

enum
{
  MAX_DAEMONS = 4096,
  RATE_SIZE = 32, /* Of a rate as text.  */
  /* Where the settings do not name contact_ms.  */
  DEFAULT_CONTACT_MS = 3000
};

static void
configure (const struct bd_edge *edge, struct bd_fleet_endpoint *endpoint)
{
  const struct bd_route_service *service
      = edge->routes != NULL
            ? bd_routes_service (edge->routes, endpoint->entry.service)
            : NULL;

  bd_coldstart_configure (
      &endpoint->cold, service != NULL ? service->cold_start_ms : 0,
      service != NULL ? service->cold_per_s : 0, bd_edge_now_ms (edge));
}

/* Whether this daemon can be a sender at all.  */
static bool
may_send (const struct bd_edge *edge)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  int64_t contact_ms = edge->settings->bounds.contact_ms;
  struct bd_coldstart_standing standing = {
    .has_list = edge->has_peer_list,
    .is_first_start = edge->settings->is_first_start,
    .age_ms = now_ms - edge->started_ms,
    .listed_age_ms = edge->first_registered_ms > 0
                         ? now_ms - edge->first_registered_ms
                         : INT64_MAX,
    /* In a small fleet every daemon learns of it by its status.  */
    .spread_ms = bd_edge_sends_to_all (edge) ? 0 : BD_EDGE_DAEMON_LIST_MS,
    .contact_ms = contact_ms > 0 ? contact_ms : DEFAULT_CONTACT_MS,
  };

  return bd_coldstart_may_send (&standing);
}

static bool
is_sender (const struct bd_edge *edge,
           const struct bd_fleet_endpoint *endpoint)
{
  static uint64_t local[MAX_DAEMONS];
  static uint64_t all[MAX_DAEMONS];
  struct bd_coldstart_daemons daemons = { .local = local, .all = all };
  const struct bd_edge_bounds *bounds = &edge->settings->bounds;
  double per_s = endpoint->cold.per_s;
  /* Without both bounds, that of all daemons is not known.  */
  double bound_per_s
      = bounds->cold_overshoot > 0
            ? per_s * bounds->cold_overshoot + bounds->cold_slack
            : 0;

  for (uint32_t i = 0;
       i < edge->membership.count && daemons.all_count < MAX_DAEMONS; i++)
    {
      const struct bd_member *member = &edge->membership.members[i];

      all[daemons.all_count++] = member->name_hash;
      if (strcmp (member->data_centre, endpoint->entry.data_centre) == 0)
        local[daemons.local_count++] = member->name_hash;
    }
  return bd_coldstart_is_sender (
      bd_edge_hash_endpoint (endpoint), edge->membership.members[0].name_hash,
      &daemons, bd_coldstart_sender_count (per_s, bound_per_s));
}

static void
log_change (struct bd_edge *edge, const struct bd_fleet_endpoint *endpoint,
            enum bd_coldstart_change change)
{
  static const char *const sources[]
      = { [BD_COLDSTART_FIRST_SEEN] = "first-seen",
          [BD_COLDSTART_ENTRY] = "list",
          [BD_COLDSTART_RESPONSE] = "response",
          [BD_COLDSTART_MARK] = "evacuation" };
  const struct bd_coldstart *cold = &endpoint->cold;
  int64_t left_ms = bd_coldstart_end_ms (cold) - bd_edge_now_ms (edge);
  char share_per_s[RATE_SIZE];

  snprintf (share_per_s, sizeof share_per_s, "%.3f",
            bd_coldstart_share_per_s (cold));
  if (change == BD_COLDSTART_BEGAN)
    bd_count (&edge->counters, BD_COUNT_ENDPOINTS_COLD);
  bd_log (change == BD_COLDSTART_BEGAN ? "endpoint-cold" : "endpoint-warm",
          "endpoint", endpoint->entry.id, "started_ms",
          BD_NUM (endpoint->entry.started_ms), "source", sources[cold->source],
          "ms", BD_NUM (left_ms > 0 ? left_ms : 0), "share_per_s", share_per_s,
          NULL);
}

/* Applies the configuration and the known daemons to one endpoint.  */
static void
update (struct bd_edge *edge, struct bd_fleet_endpoint *endpoint)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  enum bd_coldstart_change change;

  if (bd_coldstart_is_cold (&endpoint->cold, now_ms))
    bd_coldstart_set_sender (&endpoint->cold,
                             may_send (edge) && is_sender (edge, endpoint),
                             now_ms);
  change = bd_coldstart_poll (&endpoint->cold, now_ms);
  if (change != BD_COLDSTART_NONE)
    log_change (edge, endpoint, change);
}

void
bd_edge_update_cold_endpoint (struct bd_edge *edge,
                              struct bd_fleet_endpoint *endpoint)
{
  configure (edge, endpoint);
  update (edge, endpoint);
}

void
bd_edge_configure_cold (struct bd_edge *edge)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bd_edge_update_cold_endpoint (edge, value);
}

void
bd_edge_update_cold (struct bd_edge *edge)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct bd_fleet_endpoint *)value)->cold.per_s > 0)
      update (edge, value);
}

void
bd_edge_note_cold (struct bd_edge *edge, struct bd_fleet_endpoint *endpoint,
                   const struct bd_http_call *call)
{
  uint32_t remaining_ms;

  if (!bd_numbers_read (
          bd_http_call_header (call, edge->adapter->headers->cold_ms),
          BD_COLDSTART_MAX_REMAINING_MS, &remaining_ms, 1))
    return;
  bd_coldstart_note_response (&endpoint->cold, remaining_ms,
                              bd_edge_now_ms (edge));
  update (edge, endpoint);
}

void
bd_edge_mark_cold (struct bd_edge *edge, const char *data_centre)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_endpoint *endpoint = value;

      if (strcmp (endpoint->entry.data_centre, data_centre) != 0)
        continue;
      bd_coldstart_mark (&endpoint->cold, bd_edge_now_ms (edge));
      update (edge, endpoint);
    }
}

/* The regions that requests may use: the lists of their route and account.

   A request refers to the lists of the configuration in force.  When another
   one comes into force, it takes those of the route and the account that it
   has there, so that a change applies to its next attempt.  If one of them is
   gone, the request keeps that list.  */

#include "edge/edge_internal.h"

#include <string.h>
#include <strings.h>
#include <talloc.h>

struct bd_regions_filter
bd_edge_regions (const struct bd_edge_request *request)
{
  return bd_regions_filter (&request->edge->settings->regions,
                            request->route_regions, request->account_regions);
}

/* Whether an endpoint of the service is allowed and not evacuated, or none is
   known at all.  */
static bool
has_endpoint (const struct bd_edge_request *request,
              const struct bd_regions_filter *filter)
{
  const struct bd_edge *edge = request->edge;
  bool is_any_known = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;

      if (!endpoint->is_listed || endpoint->entry.is_draining
          || strcmp (endpoint->entry.service, request->service) != 0)
        continue;
      if (!endpoint->is_evacuated
          && bd_regions_allows (filter, endpoint->entry.data_centre))
        return true;
      is_any_known = true;
    }
  return !is_any_known;
}

/* Whether a group of the request's model is allowed, or can be since its
   leader is not known yet, or there is none at all.  */
static bool
has_group (const struct bd_edge_request *request,
           const struct bd_regions_filter *filter)
{
  uint32_t size;
  struct bd_fleet_group **groups = bd_fleet_groups_of (
      &request->edge->fleet, request->service, request->model, NULL, &size);

  for (uint32_t i = 0; i < size; i++)
    if (groups[i]->data_centre[0] == '\0'
        || bd_regions_allows (filter, groups[i]->data_centre))
      return true;
  return size == 0;
}

bool
bd_edge_lacks_region (const struct bd_edge_request *request)
{
  struct bd_regions_filter filter = bd_edge_regions (request);

  return filter.is_restricted
         && (!has_endpoint (request, &filter)
             || (request->model[0] != '\0' && !has_group (request, &filter)));
}

void
bd_edge_note_region_refusal (const struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  char route[BD_REGIONS_TEXT_SIZE];
  char account[BD_REGIONS_TEXT_SIZE];

  bd_count (&edge->counters, BD_COUNT_REGION_REFUSED);
  bd_log_request ("region-refused", "id", request->attempt_id, "route",
                  request->route, "account", request->account, "service",
                  request->service, "model", request->model, "route_regions",
                  bd_region_list_format (request->route_regions, route),
                  "account_regions",
                  bd_region_list_format (request->account_regions, account),
                  "config", BD_NUM (edge->routes->version), "has_waited",
                  request->backlog_item.since_ms > 0 ? "true" : "false", NULL);
}

/* A copy of the list on the request, which outlives the configuration.  */
static const struct bd_region_list *
keep (struct bd_edge_request *request, const struct bd_region_list *list)
{
  return list == NULL || talloc_parent (list) == request
             ? list
             : talloc_memdup (request, list,
                              bd_region_list_size (list->capacity));
}

/* The list that replaces before, which is the request's own or that of a
   configuration.  */
static const struct bd_region_list *
replace (struct bd_edge_request *request, const struct bd_region_list *before,
         const struct bd_region_list *after)
{
  if (before != NULL && talloc_parent (before) == request)
    talloc_free ((void *)before);
  return after;
}

/* The host that the request names, or NULL.  */
static const char *
host_of (const struct bd_edge_request *request)
{
  for (uint32_t i = 0; i < request->header_count; i++)
    if (strcasecmp (request->headers[i].name, "Host") == 0)
      return request->headers[i].value;
  return NULL;
}

static void
update_request (struct bd_edge_request *request,
                const struct bd_routes *routes)
{
  const char *host = host_of (request);
  const struct bd_route *route
      = host != NULL ? bd_routes_match (routes, host, request->request_target)
                     : NULL;
  const struct bd_account *account = bd_routes_account (routes, request->key);

  request->route_regions
      = route != NULL
            ? replace (request, request->route_regions, route->regions)
            : keep (request, request->route_regions);
  request->account_regions
      = account != NULL
            ? replace (request, request->account_regions, account->regions)
            : keep (request, request->account_regions);
}

/* Reports the unknown regions of one list.  */
struct unknown_regions
{
  struct bd_edge *edge;
  GHashTable *reported; /* Those of this configuration.  */
  const char *kind;     /* "route" or "account" */
  const char *name;
};

static void
note_unknown (void *ctx, const char *region)
{
  struct unknown_regions *unknown = ctx;
  char *key = g_strjoin ("\n", unknown->kind, unknown->name, region, NULL);
  GHashTable *before = unknown->edge->unknown_regions;

  if (!g_hash_table_contains (unknown->reported, key)
      && (before == NULL || !g_hash_table_contains (before, key)))
    bd_log ("region-unknown", "region", region, unknown->kind, unknown->name,
            NULL);
  g_hash_table_add (unknown->reported, key);
}

/* Logs the listed regions that have no data centre, once for as long as they
   stay so.  */
static void
report_unknown (struct bd_edge *edge, const struct bd_routes *routes)
{
  const struct bd_regions *regions = &edge->settings->regions;
  struct unknown_regions unknown
      = { edge, g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
          "route", "" };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, routes->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (guint i = 0; i < ((GPtrArray *)value)->len; i++)
      {
        const struct bd_route *route
            = g_ptr_array_index ((GPtrArray *)value, i);

        unknown.name = route->name;
        bd_regions_find_unknown (regions, route->regions, note_unknown,
                                 &unknown);
      }
  unknown.kind = "account";
  g_hash_table_iter_init (&iter, routes->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_account *account = value;

      unknown.name = account->name;
      bd_regions_find_unknown (regions, account->regions, note_unknown,
                               &unknown);
    }
  g_clear_pointer (&edge->unknown_regions, g_hash_table_destroy);
  edge->unknown_regions = unknown.reported;
}

void
bd_edge_configure_regions (struct bd_edge *edge,
                           const struct bd_routes *routes)
{
  bool had_regions = edge->routes != NULL && edge->routes->has_regions;

  /* A request can have kept a list of a configuration before the last one.  */
  for (struct bd_edge_request *request = edge->requests; request != NULL;
       request = request->next)
    if (routes->has_regions || had_regions || request->route_regions != NULL
        || request->account_regions != NULL)
      update_request (request, routes);
  if (routes->has_regions)
    report_unknown (edge, routes);
  else
    g_clear_pointer (&edge->unknown_regions, g_hash_table_destroy);
}

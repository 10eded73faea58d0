/* Route table.  */

#include "routes/routes.h"

#include <string.h>
#include <strings.h>
#include <talloc.h>

static int
destroy_routes (struct bd_routes *routes)
{
  g_hash_table_destroy (routes->hosts);
  g_hash_table_destroy (routes->keys);
  g_hash_table_destroy (routes->services);
  return 0;
}

struct bd_routes *
bd_routes_new (void *ctx, int64_t version)
{
  struct bd_routes *routes = talloc_zero (ctx, struct bd_routes);

  if (routes == NULL)
    return NULL;
  routes->version = version;
  routes->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)g_ptr_array_unref);
  routes->keys = g_hash_table_new (g_str_hash, g_str_equal);
  routes->services = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (routes, destroy_routes);
  return routes;
}

static char *
lower_case (void *ctx, const char *text)
{
  char *copy = talloc_strdup (ctx, text);

  for (char *c = copy; c != NULL && *c != '\0'; c++)
    *c = g_ascii_tolower (*c);
  return copy;
}

/* A copy of a list on ctx; NULL for one that restricts nothing.  */
static const struct bd_region_list *
copy_regions (struct bd_routes *routes, void *ctx,
              const struct bd_region_list *list)
{
  if (list == NULL || list->count == 0)
    return NULL;
  routes->has_regions = true;
  return talloc_memdup (ctx, list, bd_region_list_size (list->capacity));
}

void
bd_routes_add (struct bd_routes *routes, const struct bd_route *route)
{
  struct bd_route *copy = talloc_memdup (routes, route, sizeof *route);
  GPtrArray *list;

  copy->host = lower_case (copy, route->host);
  copy->prefix = talloc_strdup (copy, route->prefix);
  copy->regions = copy_regions (routes, copy, route->regions);
  list = g_hash_table_lookup (routes->hosts, copy->host);
  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (routes->hosts, (gpointer)copy->host, list);
    }
  g_ptr_array_add (list, copy);
}

void
bd_routes_require_keys (struct bd_routes *routes)
{
  routes->needs_keys = true;
}

void
bd_routes_add_account (struct bd_routes *routes,
                       const struct bd_account *account, const char *key)
{
  struct bd_account *copy = talloc_memdup (routes, account, sizeof *account);

  bd_routes_require_keys (routes);
  copy->name = talloc_strdup (copy, account->name);
  copy->regions = copy_regions (routes, copy, account->regions);
  g_hash_table_insert (routes->keys, talloc_strdup (copy, key), copy);
}

void
bd_routes_add_service (struct bd_routes *routes,
                       const struct bd_route_service *service)
{
  struct bd_route_service *copy
      = talloc_memdup (routes, service, sizeof *service);

  if (service->health_path != NULL)
    copy->health_path = talloc_strdup (copy, service->health_path);
  g_hash_table_insert (routes->services, copy->name, copy);
}

static gint
compare_prefixes (gconstpointer a, gconstpointer b)
{
  const struct bd_route *left = *(const struct bd_route *const *)a;
  const struct bd_route *right = *(const struct bd_route *const *)b;
  size_t left_size = strlen (left->prefix);
  size_t right_size = strlen (right->prefix);

  if (left_size != right_size)
    return left_size > right_size ? -1 : 1;
  return strcmp (left->prefix, right->prefix);
}

void
bd_routes_finalize (struct bd_routes *routes)
{
  GHashTableIter iter;
  gpointer list;

  g_hash_table_iter_init (&iter, routes->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &list))
    g_ptr_array_sort (list, compare_prefixes);
}

const struct bd_route *
bd_routes_match (const struct bd_routes *routes, const char *host,
                 const char *target)
{
  size_t path_size = strcspn (target, "?#");
  char *name = g_ascii_strdown (host, (gssize)strcspn (host, ":"));
  GPtrArray *list = g_hash_table_lookup (routes->hosts, name);

  g_free (name);
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct bd_route *route = g_ptr_array_index (list, i);
      size_t size = strlen (route->prefix);

      if (size <= path_size && memcmp (target, route->prefix, size) == 0)
        return route;
    }
  return NULL;
}

const struct bd_account *
bd_routes_account (const struct bd_routes *routes, const char *key)
{
  return key != NULL ? g_hash_table_lookup (routes->keys, key) : NULL;
}

const struct bd_route_service *
bd_routes_service (const struct bd_routes *routes, const char *name)
{
  return g_hash_table_lookup (routes->services, name);
}

const char *
bd_route_choose_service (const struct bd_route *route, gsl_rng *rng)
{
  uint64_t total = 0;
  uint64_t drawn;

  for (uint32_t i = 0; i < route->split_count; i++)
    total += route->splits[i].weight;
  if (route->split_count == 0)
    return NULL;
  if (total == 0)
    return route->splits[0].service;
  /* The sum may exceed the range of gsl_rng_uniform_int().  */
  drawn = (uint64_t)(gsl_rng_uniform (rng) * (double)total);
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      if (drawn < route->splits[i].weight)
        return route->splits[i].service;
      drawn -= route->splits[i].weight;
    }
  return NULL;
}

bool
bd_route_is_idempotent (const struct bd_route *route)
{
  return route->kind == BD_ROUTE_SAFE
         || (route->kind == BD_ROUTE_STREAM && route->can_resume);
}

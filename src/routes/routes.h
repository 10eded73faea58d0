/* The route table of one version of the configuration.  Pure.

   A request matches the route of its host with the longest path prefix.  A
   route has one service or a weighted split among several.  The account of a
   request is the owner of its API key.

   Fill a table with the bd_routes_add functions and call bd_routes_finalize()
   once; after that the table is read-only.  */

#ifndef BD_ROUTES_ROUTES_H
#define BD_ROUTES_ROUTES_H

#include "base/ids.h"
#include "engine/engine.h"
#include "regions/regions.h"

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum bd_route_kind
{
  BD_ROUTE_SAFE,   /* May run more than once.  */
  BD_ROUTE_UNSAFE, /* Runs at most once.  */
  BD_ROUTE_STREAM  /* Events; runs at most once unless it can resume.  */
};

enum
{
  BD_ROUTE_MAX_SPLITS = 8
};

struct bd_route_split
{
  char service[BD_NAME_SIZE];
  uint32_t weight;
};

struct bd_route
{
  char name[BD_NAME_SIZE];
  const char *host;
  const char *prefix; /* Begins and ends with a slash.  */
  enum bd_route_kind kind;
  bool can_resume; /* For streams only.  */
  bool is_public;  /* Needs no API key.  */
  uint32_t timeout_ms;
  uint32_t objective_ms;     /* Latency of the response or first event.  */
  uint32_t gap_objective_ms; /* Time between events; 0 for none.  */
  /* Time without an event after which the caller of a stream leaves; 0 for
     other kinds.  */
  uint32_t caller_gap_ms;
  uint32_t max_attempts; /* Maximum runs of one request.  */
  uint32_t priority;     /* 0 is the most urgent.  */
  struct bd_route_split splits[BD_ROUTE_MAX_SPLITS];
  uint32_t split_count;
  /* Regions that its requests may use; NULL for all.  */
  const struct bd_region_list *regions;
};

struct bd_account
{
  const char *name;
  bool has_priority; /* Overrides the priority of the route.  */
  uint32_t priority;
  const struct bd_region_list *regions; /* As of a route.  */
};

/* Configuration of a service.  */
struct bd_route_service
{
  char name[BD_NAME_SIZE];
  const char *health_path;
  uint32_t max_connections; /* Per endpoint, for all callers.  */
  /* How long an endpoint is cold after its start, and the requests a second
     that a cold one takes from all daemons together.  There are no cold ones
     unless both are positive.  */
  int64_t cold_start_ms;
  double cold_per_s;
  bool has_engine;
  struct bd_engine engine;
};

/* Limits on the size and duration of client requests.  */
struct bd_route_limits
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
};

struct bd_routes
{
  int64_t version; /* Increases with each configuration.  */
  struct bd_route_limits limits;
  bool needs_keys;   /* See bd_routes_require_keys().  */
  bool has_regions;  /* A route or an account has a list of regions.  */
  GHashTable *hosts; /* Host -> GPtrArray of routes, longest prefix first.  */
  GHashTable *keys;  /* API key -> struct bd_account.  */
  GHashTable *services; /* Name -> struct bd_route_service.  */
};

/* bd_routes_new(): returns an empty table with talloc parent ctx, or NULL when
   there is no memory.  Free it with talloc_free().  */
struct bd_routes *bd_routes_new (void *ctx, int64_t version);

/* bd_routes_add(): adds a copy of route, its strings and its list.  */
void bd_routes_add (struct bd_routes *routes, const struct bd_route *route);

/* bd_routes_require_keys(): requests to routes that are not public need an API
   key.  To be called if the configuration has a list of accounts, which may be
   empty: without accounts, no key is valid.  */
void bd_routes_require_keys (struct bd_routes *routes);

/* bd_routes_add_account(): adds a copy of account, its name and its list with
   one of its API keys.  Requests need a key from now on.  */
void bd_routes_add_account (struct bd_routes *routes,
                            const struct bd_account *account, const char *key);

/* bd_routes_add_service(): adds a copy of service and its strings.  */
void bd_routes_add_service (struct bd_routes *routes,
                            const struct bd_route_service *service);

/* bd_routes_finalize(): sorts the routes; call it before bd_routes_match(). */
void bd_routes_finalize (struct bd_routes *routes);

/* bd_routes_match(): returns the route of a request, or NULL.  host can
   include a port; target is the path with the query.  */
const struct bd_route *bd_routes_match (const struct bd_routes *routes,
                                        const char *host, const char *target);

/* bd_routes_account(): returns the owner of an API key, or NULL.  */
const struct bd_account *bd_routes_account (const struct bd_routes *routes,
                                            const char *key);

/* bd_routes_service(): returns the service with this name, or NULL.  */
const struct bd_route_service *
bd_routes_service (const struct bd_routes *routes, const char *name);

/* bd_route_choose_service(): returns one of the route's services, drawn by
   weight, or the first when all weights are 0.  NULL when it has none.  */
const char *bd_route_choose_service (const struct bd_route *route,
                                     gsl_rng *rng);

/* bd_route_is_idempotent(): whether a request may run more than once.  */
bool bd_route_is_idempotent (const struct bd_route *route);

#endif

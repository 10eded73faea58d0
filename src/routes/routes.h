/* The route table of one version of the configuration.  Pure.

   A request is for the route of its host whose path prefix is the longest
   that begins its path.  A route names the service that answers, or several
   with weights; the account of a request is the one that holds its API key.

   A table is filled once, sealed, and never changed after that.  */

#ifndef BD_ROUTES_ROUTES_H
#define BD_ROUTES_ROUTES_H

#include "base/ids.h"
#include "engine/engine.h"

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum bd_route_kind
{
  BD_ROUTE_SAFE,   /* May run more than once.  */
  BD_ROUTE_UNSAFE, /* Runs at most once.  */
  BD_ROUTE_STREAM  /* Events; at most once unless it may be resumed.  */
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
  bool can_resume; /* Streams only.  */
  bool is_public;  /* Needs no API key.  */
  uint32_t timeout_ms;
  uint32_t objective_ms;     /* For the answer, or a stream's first event.  */
  uint32_t gap_objective_ms; /* Between events; 0 for none.  */
  uint32_t max_attempts;     /* Endpoints that may run one request.  */
  uint32_t priority;         /* 0 goes first.  */
  struct bd_route_split splits[BD_ROUTE_MAX_SPLITS];
  uint32_t split_count;
};

struct bd_account
{
  char name[BD_NAME_SIZE];
  bool has_priority; /* Goes before the route's.  */
  uint32_t priority;
};

/* A service as the configuration describes it.  */
struct bd_route_service
{
  char name[BD_NAME_SIZE];
  const char *health_path;
  uint32_t max_connections; /* To one endpoint, from all callers.  */
  bool has_engine;
  struct bd_engine engine;
};

/* What clients may send, and how slowly.  */
struct bd_route_limits
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
};

struct bd_routes
{
  int64_t version; /* Only rises.  */
  struct bd_route_limits limits;
  bool needs_keys;      /* Any account is named.  */
  GHashTable *hosts;    /* Host -> GPtrArray of routes, longest first.  */
  GHashTable *keys;     /* API key -> struct bd_account.  */
  GHashTable *services; /* Name -> struct bd_route_service.  */
};

/* bd_routes_new(): an empty table on ctx; talloc_free() lets go of it.  */
struct bd_routes *bd_routes_new (void *ctx, int64_t version);

/* bd_routes_add(): adds a copy of route.  Its strings are copied.  */
void bd_routes_add (struct bd_routes *routes, const struct bd_route *route);

/* bd_routes_add_account(): adds an account with one of its keys.  */
void bd_routes_add_account (struct bd_routes *routes,
                            const struct bd_account *account, const char *key);

/* bd_routes_add_service(): adds a copy of service.  */
void bd_routes_add_service (struct bd_routes *routes,
                            const struct bd_route_service *service);

/* bd_routes_finalize(): sorts what was added.  */
void bd_routes_finalize (struct bd_routes *routes);

/* bd_routes_match(): the route of a request; host may carry a port, target is
   the request's path with its query.  NULL when there is none.  */
const struct bd_route *bd_routes_match (const struct bd_routes *routes,
                                        const char *host, const char *target);

/* bd_routes_account(): the account that holds a key, or NULL.  */
const struct bd_account *bd_routes_account (const struct bd_routes *routes,
                                            const char *key);

/* bd_routes_service(): by name, or NULL.  */
const struct bd_route_service *
bd_routes_service (const struct bd_routes *routes, const char *name);

/* bd_route_choose_service(): one of the route's services, drawn by weight;
   NULL when it names none.  */
const char *bd_route_choose_service (const struct bd_route *route,
                                     gsl_rng *rng);

/* bd_route_is_idempotent(): whether a request may run more than once.  */
bool bd_route_is_idempotent (const struct bd_route *route);

#endif

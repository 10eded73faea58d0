/* Starts and frees the edge daemon and its timers.  */

#include "base/crash.h"
#include "edge/edge_internal.h"

#include <string.h>
#include <talloc.h>

enum
{
  STATUS_PERIOD_MS = 100,
  SYNC_PERIOD_MS = 100,
  CONTROLLER_PERIOD_MS = 50,
  WATCHDOG_PERIOD_MS = 25,
  POISON_RETENTION_MS = 300000,
  /* Limits of the connections that the HTTP clients keep open.  */
  MAX_IDLE_CONNECTIONS = 256,
  MAX_STORE_CONNECTIONS = 8,
  MAX_BODY_BYTES = 4 << 20,
  MAX_PAGE_CONNECTIONS = 32,
  /* Callers get max_descriptors divided by this; connections to endpoints and
     all others use the rest.  */
  CALLER_DESCRIPTORS_DIVISOR = 2,
  /* Part of memory_mb for bytes that are buffered for others.  */
  MEMORY_DIVISOR = 4,
  BYTES_PER_MB = 1 << 20,
  STORE_TIMEOUT_MS = 600
};

/* Part of revoke_ms up to which the age of the configuration is accepted.  */
static const double max_config_age_fraction = 0.85;
/* Part of the retry budget of all daemons that the known daemons share; the
   rest is a reserve for daemons that are not known here.  */
static const double shared_retry_fraction = 0.75;
/* Part of its maximum with which a retry budget starts: the previous process
   of this daemon may have used up its budget just before.  */
static const double initial_retry_fraction = 0.4;

int64_t
bd_edge_now_ms (const struct bd_edge *edge)
{
  return bd_clock_now_ms (&edge->clock);
}

bool
bd_edge_is_config_fresh (const struct bd_edge *edge)
{
  const struct bd_edge_bounds *bounds = &edge->settings->bounds;

  return !bounds->revoke_fail_closed
         || bd_edge_now_ms (edge) - edge->config_verified_ms
                < (int64_t)(max_config_age_fraction * bounds->revoke_ms);
}

bool
bd_edge_is_ready (const struct bd_edge *edge, const char **reason)
{
  *reason = "";
  if (edge->is_stopping)
    *reason = "stopping\n";
  else if (edge->routes == NULL)
    *reason = "no configuration, neither from the store nor from a peer\n";
  else if (!edge->fleet.has_list)
    *reason = "no instance list, neither from the store nor from a peer\n";
  else if (bd_edge_awaits_evacuations (edge))
    *reason = "the evacuated data centres are not known yet\n";
  else if (edge->routes->needs_keys && !bd_edge_is_config_fresh (edge))
    *reason = "the configuration may be out of date\n";
  return (*reason)[0] == '\0';
}

bool
bd_edge_is_endpoint_listed (const struct bd_edge *edge, const char *id)
{
  const struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, id);

  return endpoint != NULL && endpoint->is_listed;
}

uint32_t
bd_edge_daemon_count (const struct bd_edge *edge)
{
  return edge->membership.count;
}

static void
share_retries (struct bd_edge *edge, struct bd_edge_service *service)
{
  const struct bd_edge_bounds *bounds = &edge->settings->bounds;

  bd_retry_budget_set_limits (&service->retries,
                              shared_retry_fraction * bounds->retry_ratio,
                              1.0
                                  + shared_retry_fraction * bounds->retry_slack
                                        / bd_edge_daemon_count (edge));
}

struct bd_edge_service *
bd_edge_service (struct bd_edge *edge, const char *name)
{
  struct bd_edge_service *service = g_hash_table_lookup (edge->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (struct bd_edge_service, 1);
  bd_name_copy (service->name, name);
  bd_retry_budget_init (&service->retries);
  bd_backlog_init (&service->backlog);
  if (edge->settings->has_fair_accounts)
    bd_backlog_share (&service->backlog, gsl_rng_uniform (edge->rng));
  share_retries (edge, service);
  service->retries.tokens *= initial_retry_fraction;
  g_hash_table_insert (edge->services, service->name, service);
  return service;
}

static void
free_service (gpointer value)
{
  struct bd_edge_service *service = value;

  bd_backlog_finish (&service->backlog);
  g_free (service);
}

GHashTable *
bd_edge_services_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
}

static size_t
max_body (void *ctx, const char *path)
{
  const struct bd_edge *edge = ctx;

  (void)path;
  return edge->routes != NULL && edge->routes->limits.body_bytes > 0
             ? edge->routes->limits.body_bytes
             : MAX_BODY_BYTES;
}

static void
handle_request (void *ctx, struct bd_http_exchange *exchange)
{
  bd_edge_handle_request (ctx, exchange);
}

static void
handle_disconnect (void *ctx, struct bd_http_exchange *exchange)
{
  bd_edge_handle_disconnect (ctx, exchange);
}

static void
handle_writable (void *ctx, struct bd_http_exchange *exchange)
{
  bd_edge_handle_writable (ctx, exchange);
}

static void
handle_evicted (void *ctx, struct bd_http_exchange *exchange)
{
  (void)ctx;
  bd_edge_handle_evicted (exchange);
}

static const struct bd_http_server_ops caller_ops
    = { max_body, handle_request, handle_disconnect, handle_writable };

static size_t
no_body (void *ctx, const char *path)
{
  (void)ctx;
  (void)path;
  return 0;
}

static void
handle_ready (void *ctx, struct bd_http_exchange *exchange)
{
  bd_edge_serve_ready (ctx, exchange);
}

static void
handle_metrics (void *ctx, struct bd_http_exchange *exchange)
{
  bd_edge_serve_metrics (ctx, exchange);
}

static void
ignore_exchange (void *ctx, struct bd_http_exchange *exchange)
{
  (void)ctx;
  (void)exchange;
}

static const struct bd_http_server_ops ready_ops
    = { no_body, handle_ready, ignore_exchange, ignore_exchange };
static const struct bd_http_server_ops metrics_ops
    = { no_body, handle_metrics, ignore_exchange, ignore_exchange };

static void
start_tables (struct bd_edge *edge)
{
  bd_fleet_init (&edge->fleet);
  bd_edge_start_directory (edge);
  bd_evacuation_init (&edge->evacuation);
  bd_poison_init (&edge->poison_requests, POISON_RETENTION_MS);
  bd_edge_transfers_init (&edge->poison_transfers);
  bd_edge_transfers_init (&edge->limit_transfers);
  bd_edge_transfers_init (&edge->config_transfers);
  /* All daemons need a new configuration at the same time.  */
  edge->config_transfers.period_ms = 0;
  edge->services = bd_edge_services_new ();
}

static bool
start_clients (struct bd_edge *edge)
{
  const struct bd_edge_settings *settings = edge->settings;

  bd_memory_init (&edge->memory,
                  (size_t)settings->memory_mb * BYTES_PER_MB / MEMORY_DIVISOR);
  if (!bd_http_client_init (&edge->client, edge->events, MAX_IDLE_CONNECTIONS)
      || !bd_http_client_init (&edge->store_client, edge->events,
                               MAX_STORE_CONNECTIONS))
    return false;
  bd_http_client_set_memory (&edge->client, &edge->memory);
  bd_http_client_set_memory (&edge->store_client, &edge->memory);
  bd_store_init (&edge->store, edge->adapter->objects,
                 edge->adapter->make_api (edge, &edge->store_client,
                                          settings->platform_url),
                 edge->events, &edge->clock, &edge->counters, edge->rng,
                 settings->reads_per_s, settings->writes_per_s);
  edge->store.call_timeout_ms = STORE_TIMEOUT_MS;
  edge->store.on_era = bd_edge_handle_era;
  edge->store.era_ctx = edge;
  return true;
}

static bool
start_servers (struct bd_edge *edge)
{
  const struct bd_edge_settings *settings = edge->settings;
  uint32_t max_callers = bd_http_limit_connections (
      settings->max_descriptors / CALLER_DESCRIPTORS_DIVISOR);
  bool has_started;

  has_started
      = bd_http_server_init (&edge->ready_server, edge->events,
                             settings->address, settings->ready_port,
                             MAX_PAGE_CONNECTIONS, &ready_ops, edge)
        && bd_http_server_init (&edge->server, edge->events, settings->address,
                                settings->http_port, max_callers, &caller_ops,
                                edge)
        && bd_edge_start_handover (edge, &caller_ops, max_callers)
        && bd_http_server_init (&edge->metrics_server, edge->events,
                                settings->address, settings->metrics_port,
                                MAX_PAGE_CONNECTIONS, &metrics_ops, edge);
  bd_http_server_set_memory (&edge->server, &edge->memory, handle_evicted);
  bd_http_server_set_memory (&edge->handover_server, &edge->memory,
                             handle_evicted);
  return has_started;
}

static void
start_tickers (struct bd_edge *edge)
{
  bd_ticker_init (&edge->status_ticker, edge->events, edge->rng,
                  STATUS_PERIOD_MS, bd_edge_send_status, edge);
  bd_ticker_init (&edge->sync_ticker, edge->events, edge->rng, SYNC_PERIOD_MS,
                  bd_edge_sync, edge);
  bd_ticker_init (&edge->controller_ticker, edge->events, edge->rng,
                  CONTROLLER_PERIOD_MS, bd_edge_run_controllers, edge);
  bd_ticker_init (&edge->watchdog_ticker, edge->events, edge->rng,
                  WATCHDOG_PERIOD_MS, bd_edge_run_watchdog, edge);
}

struct bd_edge *
bd_edge_start (void *ctx, struct tevent_context *events,
               struct bd_edge_settings *settings,
               const struct bd_adapter *adapter)
{
  struct bd_edge *edge = talloc_zero (ctx, struct bd_edge);

  edge->settings = settings;
  edge->adapter = adapter;
  edge->events = events;
  edge->clock = bd_clock_system ();
  edge->started_ms = bd_edge_now_ms (edge);
  /* Before the first read, the configuration and the list count as out of
     date.  */
  edge->config_verified_ms = edge->started_ms - settings->bounds.revoke_ms;
  edge->instances_verified_ms = edge->config_verified_ms;
  edge->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (edge->rng, (unsigned long)bd_random_seed ());
  start_tables (edge);
  if (!bd_histograms_init (&edge->histograms) || !start_clients (edge)
      || !bd_edge_start_peers (edge) || !start_servers (edge))
    {
      bd_log ("cannot-listen", "address", settings->address, NULL);
      bd_edge_finish (edge);
      return NULL;
    }
  start_tickers (edge);
  bd_log ("started", "data_centre", settings->data_centre, "address",
          settings->address, "dialect", adapter->name, "build",
          bd_crash_build (), NULL);
  return edge;
}

void
bd_edge_share_retries (struct bd_edge *edge)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    share_retries (edge, value);
}

uint32_t
bd_edge_request_count (const struct bd_edge *edge)
{
  return edge->request_count;
}

void
bd_edge_reload (struct bd_edge *edge, const struct bd_edge_settings *settings)
{
  edge->settings->bounds = settings->bounds;
  edge->settings->regions = settings->regions;
  if (edge->routes != NULL)
    bd_edge_configure_regions (edge, edge->routes);
  bd_edge_share_retries (edge);
  bd_log ("reloaded", NULL);
}

void
bd_edge_finish (struct bd_edge *edge)
{
  bd_ticker_finish (&edge->status_ticker);
  bd_ticker_finish (&edge->sync_ticker);
  bd_ticker_finish (&edge->controller_ticker);
  bd_ticker_finish (&edge->watchdog_ticker);
  while (edge->requests != NULL)
    {
      bd_edge_note_cut (edge->requests, BD_EDGE_CUT_BY_STOP);
      bd_edge_request_end (edge->requests);
    }
  bd_http_server_finish (&edge->server);
  bd_http_server_finish (&edge->handover_server);
  bd_http_server_finish (&edge->ready_server);
  bd_http_server_finish (&edge->metrics_server);
  bd_peers_finish (&edge->peers);
  bd_store_finish (&edge->store);
  bd_http_client_finish (&edge->client);
  bd_http_client_finish (&edge->store_client);
  bd_poison_finish (&edge->poison_requests);
  bd_edge_transfers_finish (&edge->poison_transfers);
  bd_edge_transfers_finish (&edge->limit_transfers);
  bd_edge_transfers_finish (&edge->config_transfers);
  bd_traffic_finish (&edge->traffic);
  bd_traffic_finish (&edge->remote_traffic);
  g_hash_table_destroy (edge->services);
  bd_fleet_finish (&edge->fleet);
  json_decref (edge->config);
  free (edge->config_text);
  bd_document_history_finish (&edge->config_history);
  bd_directory_finish (&edge->directory);
  bd_evacuation_finish (&edge->evacuation);
  g_clear_pointer (&edge->unknown_regions, g_hash_table_destroy);
  bd_histograms_finish (&edge->histograms);
  gsl_rng_free (edge->rng);
  talloc_free (edge);
}

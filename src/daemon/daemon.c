/* Start, stop and timers of the daemon.  */

#include "daemon/daemon_internal.h"

#include "base/crash.h"
#include "base/log.h"

#include <talloc.h>

enum
{
  STARTUP_HEARTBEATS = 3,
  CONTROLLER_PERIOD_MS = 100,
  INSTANCES_PERIOD_MS = 1000,
  LIST_REQUEST_PERIOD_MS = 500,
  DISPATCH_PERIOD_MS = 100,
  MAX_IDLE_CONNECTIONS = 512,
  /* Part of memory_mb for what responses of endpoints buffer.  */
  MEMORY_DIVISOR = 4,
  BYTES_PER_MB = 1 << 20,
  POISON_RETENTION_MS = 120000,
  PREFIX_HINT_TTL_MS = 60000,
  MAX_PREFIX_HINTS = 100000,
  /* Assumed maximum age of the state in a report.  */
  REPORT_LAG_MS = 500,
  /* Time for peers and callers to notice a stop.  */
  STOP_NOTICE_MS = 300,
  DRAIN_CHECK_MS = 20,
  /* Time before the end of the grace period at which the calls that still run
     are ended, and for which the daemon then waits at most until their
     responses are sent.  */
  GRACE_MARGIN_MS = 250,
  FLUSH_MS = 150,
  /* Largest body of a request on a path that belongs to no service.  The
     service of a model request is only known from its body.  */
  MAX_MODEL_BODY_BYTES = 4 << 20
};

int64_t
bd_daemon_now_ms (const struct bd_daemon *daemon)
{
  return bd_clock_now_ms (&daemon->clock);
}

void
bd_daemon_note_malformed (struct bd_daemon *daemon, const char *source,
                          const struct bd_http_result *result)
{
  if (result->malformed == NULL)
    return;
  bd_count (&daemon->counters, BD_COUNT_RESPONSES_MALFORMED);
  bd_log ("report-malformed", "endpoint", source, "part", result->malformed,
          NULL);
}

bool
bd_daemon_is_starting (const struct bd_daemon *daemon)
{
  return bd_daemon_now_ms (daemon) - daemon->started_ms
         < STARTUP_HEARTBEATS * (int64_t)daemon->settings->heartbeat_ms;
}

bool
bd_daemon_is_ready (const struct bd_daemon *daemon, const char **reason)
{
  *reason = "";
  if (daemon->is_stopping)
    *reason = "stopping";
  else if (bd_daemon_is_starting (daemon))
    *reason = "starting: waiting for heartbeats from peers";
  else if (daemon->config.revision == 0)
    *reason = "no configuration, neither from the platform nor from a peer";
  else if (daemon->instances_json == NULL)
    *reason = "no instance list, neither from the platform nor from a peer";
  return (*reason)[0] == '\0';
}

static size_t
max_body (void *ctx, const char *path)
{
  struct bd_daemon *daemon = ctx;
  const struct bd_service *service
      = bd_config_service_for_path (&daemon->config, path);

  return service != NULL ? service->max_body_bytes : MAX_MODEL_BODY_BYTES;
}

static void
handle_request (void *ctx, struct bd_http_exchange *exchange)
{
  struct bd_daemon *daemon = ctx;

  if (!bd_daemon_serve_page (daemon, exchange))
    bd_daemon_handle_call (daemon, exchange);
}

static void
handle_disconnect (void *ctx, struct bd_http_exchange *exchange)
{
  bd_daemon_handle_caller_disconnect (ctx, exchange);
}

static void
handle_writable (void *ctx, struct bd_http_exchange *exchange)
{
  bd_daemon_handle_caller_writable (ctx, exchange);
}

static const struct bd_http_server_ops server_ops
    = { max_body, handle_request, handle_disconnect, handle_writable };

static void
start_platform (struct bd_daemon *daemon)
{
  const struct bd_settings *settings = daemon->settings;

  daemon->api.client = &daemon->client;
  daemon->api.url = settings->platform_url;
  bd_store_init (&daemon->platform, &bd_object_api_http_ops, &daemon->api,
                 daemon->events, &daemon->clock, &daemon->counters,
                 daemon->rng, settings->reads_per_s, settings->writes_per_s);
}

static void
start_controller (struct bd_daemon *daemon)
{
  const struct bd_settings *settings = daemon->settings;
  struct bd_controller_limits limits
      = { .dead_after_ms = settings->dead_after_ms,
          .controller_bound_ms = settings->controller_bound_ms,
          .report_lag_ms = REPORT_LAG_MS,
          .drain_ms = settings->freshness_ms,
          .loads_at_once = settings->loads_at_once,
          .order_retry_ms = 1000,
          .load_ms = 60000,
          .join_ms = 2000,
          .downtime_weight = settings->downtime_weight,
          .stranded_weight = settings->stranded_weight };

  bd_controller_init (&daemon->controller, settings->data_centre,
                      settings->name, &limits);
}

static void
init_tables (struct bd_daemon *daemon)
{
  bd_config_init (&daemon->config);
  bd_retry_budget_init (&daemon->retries);
  bd_limits_init (&daemon->limits);
  bd_poison_init (&daemon->poison_requests, POISON_RETENTION_MS);
  bd_prefix_table_init (&daemon->prefixes, PREFIX_HINT_TTL_MS,
                        MAX_PREFIX_HINTS);
  daemon->endpoints
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  daemon->group_statuses
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  daemon->traffic
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  daemon->suspected_targets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  daemon->service_queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  daemon->list_requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
}

static void
start_tickers (struct bd_daemon *daemon)
{
  const struct bd_settings *settings = daemon->settings;
  struct tevent_context *events = daemon->events;

  bd_ticker_init (&daemon->heartbeat_ticker, events, daemon->rng,
                  settings->heartbeat_ms, bd_daemon_send_heartbeats, daemon);
  bd_ticker_init (&daemon->probe_ticker, events, daemon->rng,
                  settings->poll_ms, bd_daemon_probe_endpoints, daemon);
  bd_ticker_init (&daemon->controller_ticker, events, daemon->rng,
                  CONTROLLER_PERIOD_MS, bd_daemon_control_groups, daemon);
  bd_ticker_init (&daemon->instances_ticker, events, daemon->rng,
                  INSTANCES_PERIOD_MS, bd_daemon_fetch_instances, daemon);
  bd_ticker_init (&daemon->list_request_ticker, events, daemon->rng,
                  LIST_REQUEST_PERIOD_MS, bd_daemon_request_list, daemon);
  bd_ticker_init (&daemon->dispatch_ticker, events, daemon->rng,
                  DISPATCH_PERIOD_MS, bd_daemon_dispatch_all, daemon);
}

struct bd_daemon *
bd_daemon_start (void *ctx, struct tevent_context *events,
                 const struct bd_settings *settings)
{
  struct bd_daemon *daemon = talloc_zero (ctx, struct bd_daemon);

  daemon->settings = settings;
  daemon->events = events;
  daemon->clock = bd_clock_system ();
  daemon->started_ms = bd_daemon_now_ms (daemon);
  daemon->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (daemon->rng, (unsigned long)bd_random_seed ());
  init_tables (daemon);
  if (!bd_http_client_init (&daemon->client, events, MAX_IDLE_CONNECTIONS))
    goto fail;
  bd_memory_init (&daemon->memory,
                  (size_t)settings->memory_mb * BYTES_PER_MB / MEMORY_DIVISOR);
  bd_http_client_set_memory (&daemon->client, &daemon->memory);
  start_platform (daemon);
  start_controller (daemon);
  bd_daemon_start_claims (daemon);
  if (!bd_daemon_start_peers (daemon))
    goto fail;
  if (!bd_http_server_init (
          &daemon->server, events, settings->address, settings->http_port,
          bd_http_limit_connections (settings->max_connections), &server_ops,
          daemon))
    goto fail;
  bd_http_server_set_timeouts (&daemon->server, settings->header_timeout_ms,
                               settings->idle_timeout_ms);
  start_tickers (daemon);
  bd_log ("started", "data_centre", settings->data_centre, "build",
          bd_crash_build (), NULL);
  return daemon;

fail:
  bd_log ("cannot-listen", "address", settings->address, NULL);
  bd_daemon_finish (daemon);
  return NULL;
}

static bool
has_pending_claims (const struct bd_daemon *daemon)
{
  if (daemon->forwarded_claims != NULL)
    return true;
  for (uint32_t i = 0; i < BD_CLAIM_SHARDS; i++)
    if (daemon->shards[i].first != NULL || daemon->shards[i].is_committing)
      return true;
  return false;
}

static bool
is_drained (const struct bd_daemon *daemon)
{
  return daemon->job_count == 0 && bd_http_server_is_idle (&daemon->server)
         && !has_pending_claims (daemon)
         && bd_daemon_now_ms (daemon) - daemon->stopping_since_ms
                >= STOP_NOTICE_MS;
}

/* Until the calls have ended, the daemon answers checks of its health and
   refuses calls.  What has arrived by then is still refused.  */
static void
close_when_drained (void *ctx)
{
  struct bd_daemon *daemon = ctx;

  if (!is_drained (daemon))
    {
      bd_timer_add (daemon->events, daemon, DRAIN_CHECK_MS, close_when_drained,
                    daemon);
      return;
    }
  daemon->is_closed = true;
  bd_http_server_stop_listening (&daemon->server);
  bd_http_server_close_idle (&daemon->server);
}

static void
end_calls (void *ctx)
{
  struct bd_daemon *daemon = ctx;

  daemon->is_grace_over = true;
  if (daemon->job_count > 0)
    bd_log ("grace-over", "open", BD_NUM (daemon->job_count), NULL);
  bd_daemon_end_calls (daemon);
}

void
bd_daemon_stop (struct bd_daemon *daemon)
{
  int64_t left_ms = (int64_t)daemon->settings->grace_ms - GRACE_MARGIN_MS;

  if (daemon->is_stopping)
    return;
  daemon->is_stopping = true;
  daemon->stopping_since_ms = bd_daemon_now_ms (daemon);
  daemon->end_ms = daemon->stopping_since_ms + left_ms;
  bd_timer_add (daemon->events, daemon, left_ms, end_calls, daemon);
  bd_membership_self (&daemon->membership)->is_stopping = true;
  bd_log ("stopping", NULL);
  bd_http_server_announce_close (&daemon->server);
  close_when_drained (daemon);
  /* The heartbeat reports the stop, so that peers take over the duties of this
     daemon at once.  */
  bd_daemon_send_heartbeats (daemon);
}

bool
bd_daemon_is_done (const struct bd_daemon *daemon)
{
  if (daemon->is_grace_over
      && bd_daemon_now_ms (daemon) >= daemon->end_ms + FLUSH_MS)
    return true;
  return daemon->is_closed && is_drained (daemon);
}

static void
stop_tickers (struct bd_daemon *daemon)
{
  bd_ticker_finish (&daemon->heartbeat_ticker);
  bd_ticker_finish (&daemon->probe_ticker);
  bd_ticker_finish (&daemon->controller_ticker);
  bd_ticker_finish (&daemon->instances_ticker);
  bd_ticker_finish (&daemon->list_request_ticker);
  bd_ticker_finish (&daemon->dispatch_ticker);
}

void
bd_daemon_finish (struct bd_daemon *daemon)
{
  stop_tickers (daemon);
  bd_http_server_finish (&daemon->server);
  bd_peers_finish (&daemon->peers);
  bd_store_finish (&daemon->platform);
  bd_daemon_finish_claims (daemon);
  bd_http_client_finish (&daemon->client);
  bd_config_finish (&daemon->config);
  bd_limits_finish (&daemon->limits);
  bd_poison_finish (&daemon->poison_requests);
  bd_prefix_table_finish (&daemon->prefixes);
  if (daemon->controller.instances != NULL)
    bd_controller_finish (&daemon->controller);
  g_hash_table_destroy (daemon->endpoints);
  g_hash_table_destroy (daemon->group_statuses);
  g_hash_table_destroy (daemon->traffic);
  g_hash_table_destroy (daemon->suspected_targets);
  g_hash_table_destroy (daemon->service_queues);
  g_hash_table_destroy (daemon->list_requests);
  json_decref (daemon->published_decisions);
  json_decref (daemon->status_written);
  json_decref (daemon->status_envelope);
  json_decref (daemon->instances_json);
  json_decref (daemon->assignment_envelope);
  gsl_rng_free (daemon->rng);
  talloc_free (daemon);
}

/* Pages of the daemon: readiness for the load balancer, and metrics.  */

#include "edge/edge_internal.h"

#include <string.h>
#include <talloc.h>

void
bd_edge_serve_ready (struct bd_edge *edge, struct bd_http_exchange *exchange)
{
  const char *reason;
  bool is_ready;

  if (strcmp (exchange->path, edge->adapter->ready_path) != 0)
    {
      bd_http_respond_text (exchange, 404, "text/plain", "no such page\n");
      return;
    }
  is_ready = bd_edge_is_ready (edge, &reason);
  bd_http_respond_text (exchange, is_ready ? 200 : 503, "text/plain",
                        is_ready ? "ready\n" : reason);
}

static char *
render_gauges (struct bd_edge *edge, void *ctx)
{
  int64_t now_ms = bd_edge_now_ms (edge);

  return talloc_asprintf (
      ctx,
      "# HELP burdockdale_config_age_seconds since the configuration was "
      "known "
      "to be the newest\n"
      "# TYPE burdockdale_config_age_seconds gauge\n"
      "burdockdale_config_age_seconds %.3f\n"
      "# HELP burdockdale_instances_age_seconds since the instance list was "
      "read\n"
      "# TYPE burdockdale_instances_age_seconds gauge\n"
      "burdockdale_instances_age_seconds %.3f\n"
      "# HELP burdockdale_config_version in force\n"
      "# TYPE burdockdale_config_version gauge\n"
      "burdockdale_config_version %lld\n"
      "# HELP burdockdale_evacuated_data_centres that get no new attempts\n"
      "# TYPE burdockdale_evacuated_data_centres gauge\n"
      "burdockdale_evacuated_data_centres %u\n"
      "# HELP burdockdale_requests_open requests without a final answer\n"
      "# TYPE burdockdale_requests_open gauge\n"
      "burdockdale_requests_open %u\n"
      "# HELP burdockdale_buffered_bytes buffered for others, at most "
      "burdockdale_buffered_limit_bytes\n"
      "# TYPE burdockdale_buffered_bytes gauge\n"
      "burdockdale_buffered_bytes %zu\n"
      "# HELP burdockdale_buffered_limit_bytes a part of memory_mb\n"
      "# TYPE burdockdale_buffered_limit_bytes gauge\n"
      "burdockdale_buffered_limit_bytes %zu\n"
      "# HELP burdockdale_buffers_evicted_total buffers freed to keep to the "
      "limit\n"
      "# TYPE burdockdale_buffers_evicted_total counter\n"
      "burdockdale_buffers_evicted_total %llu\n"
      "# HELP burdockdale_log_lines_dropped_total log lines over the budget, "
      "or not read\n"
      "# TYPE burdockdale_log_lines_dropped_total counter\n"
      "burdockdale_log_lines_dropped_total{kind=\"state\"} %llu\n"
      "burdockdale_log_lines_dropped_total{kind=\"request\"} %llu\n"
      "burdockdale_log_lines_dropped_total{kind=\"detail\"} %llu\n",
      (double)(now_ms - edge->config_verified_ms) / 1000,
      (double)(now_ms - edge->instances_verified_ms) / 1000,
      (long long)(edge->routes != NULL ? edge->routes->version : 0),
      edge->evacuation.count, edge->request_count, edge->memory.used_bytes,
      edge->memory.limit_bytes, (unsigned long long)edge->memory.evictions,
      (unsigned long long)bd_log_dropped (BD_LOG_STATE),
      (unsigned long long)bd_log_dropped (BD_LOG_REQUEST),
      (unsigned long long)bd_log_dropped (BD_LOG_DETAIL));
}

void
bd_edge_serve_metrics (struct bd_edge *edge, struct bd_http_exchange *exchange)
{
  char *text;
  char *gauges;
  char *latencies;

  if (strcmp (exchange->path, BD_ROUTE_CHECK_PATH) == 0)
    {
      bd_edge_serve_route_check (edge, exchange);
      return;
    }
  text = bd_counters_render (&edge->counters, exchange);
  gauges = render_gauges (edge, exchange);
  latencies = bd_histograms_render (&edge->histograms, exchange);
  text = text != NULL && gauges != NULL && latencies != NULL
             ? talloc_asprintf_append (text, "%s%s", gauges, latencies)
             : NULL;
  bd_http_respond_text (exchange, text != NULL ? 200 : 503,
                        "text/plain; version=0.0.4", text != NULL ? text : "");
}

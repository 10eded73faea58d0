/* Incoming requests: finds the route and the account, and reads the headers.
 */

#include "base/numbers.h"
#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/* Headers that apply to one connection only, or that each attempt sets
   itself.  */
static const char *const dropped_headers[] = { "Connection",
                                               "Keep-Alive",
                                               "Proxy-Connection",
                                               "Proxy-Authenticate",
                                               "Proxy-Authorization",
                                               "TE",
                                               "Trailer",
                                               "Transfer-Encoding",
                                               "Upgrade",
                                               "Content-Length",
                                               "Expect" };

enum
{
  /* Of a prompt or a response.  Higher counts are ignored: they would make an
     endpoint count as busy for hours.  */
  MAX_TOKENS = 1 << 24,
  DROPPED_COUNT = sizeof dropped_headers / sizeof dropped_headers[0],
  /* Retry-After while there is no configuration or keys cannot be checked.  */
  NOT_READY_RETRY_MS = 500
};

/* Whether a list of names, such as the value of Connection, contains name.  */
static bool
is_in_list (const char *list, const char *name)
{
  size_t size = strlen (name);

  while (list != NULL && *list != '\0')
    {
      size_t part = strcspn (list, ", \t");

      if (part == size && strncasecmp (list, name, size) == 0)
        return true;
      list += part;
      list += strspn (list, ", \t");
    }
  return false;
}

static bool
is_dropped (const struct bd_edge_request *request, const char *name)
{
  const struct bd_header_names *names = request->edge->adapter->headers;

  for (uint32_t i = 0; i < DROPPED_COUNT; i++)
    if (strcasecmp (name, dropped_headers[i]) == 0)
      return true;
  return bd_edge_is_handover_header (name)
         || strcasecmp (name, names->authorization) == 0
         || strcasecmp (name, names->account) == 0
         || strcasecmp (name, names->deadline_ms) == 0
         || strcasecmp (name, names->target_endpoint) == 0
         || strcasecmp (name, names->priority_class) == 0
         || strcasecmp (name, names->last_event_id) == 0
         || is_in_list (bd_http_header (request->exchange, "Connection"),
                        name);
}

static void
copy_header (void *ctx, const char *name, const char *value)
{
  struct bd_edge_request *request = ctx;

  if (is_dropped (request, name))
    return;
  request->headers
      = talloc_realloc (request, request->headers, struct bd_http_header_field,
                        request->header_count + 1);
  request->headers[request->header_count++]
      = (struct bd_http_header_field){ talloc_strdup (request, name),
                                       talloc_strdup (request, value) };
}

/* Returns the API key of a request, or NULL.  */
static const char *
key_of (const struct bd_edge *edge, const struct bd_http_exchange *x)
{
  const struct bd_header_names *names = edge->adapter->headers;
  const char *value = bd_http_header (x, names->authorization);
  size_t size = strlen (names->key_scheme);

  if (value == NULL || strncasecmp (value, names->key_scheme, size) != 0)
    return NULL;
  value += size;
  return value + strspn (value, " ");
}

static void
refuse (struct bd_edge *edge, struct bd_http_exchange *x, enum bd_error error,
        const char *route, int64_t retry_after_ms)
{
  const char *id = bd_http_header (x, edge->adapter->headers->attempt_id);

  bd_log_request ("refused", "id", id != NULL ? id : "", "route", route,
                  "reason", bd_error_name (error), "config",
                  BD_NUM (edge->routes != NULL ? edge->routes->version : 0),
                  "config_age_ms",
                  BD_NUM (bd_edge_now_ms (edge) - edge->config_verified_ms),
                  NULL);
  bd_edge_send_failure (edge, x, id, error, BD_NOT_RUN, retry_after_ms);
}

static void
read_token_counts (struct bd_edge_request *request,
                   const struct bd_engine *engine)
{
  const struct bd_header_names *names = request->edge->adapter->headers;
  const char *text = bd_http_header (request->exchange, names->token_counts);
  const char *hint_text
      = bd_http_header (request->exchange, names->output_length_hint);
  uint32_t counts[2]; /* Of the prompt, and the most of the response.  */
  uint32_t hint;

  request->output_tokens = (uint32_t)engine->typical_response_tokens;
  request->prompt_tokens = (uint32_t)engine->typical_prompt_tokens;
  if (bd_numbers_read (text, MAX_TOKENS, counts, 1))
    request->prompt_tokens = counts[0];
  if (bd_numbers_read (text, MAX_TOKENS, counts, 2))
    request->max_output_tokens = counts[1];
  if (bd_numbers_read (hint_text, MAX_TOKENS, &hint, 1) && hint > 0)
    request->output_tokens = hint;
  if (request->max_output_tokens > 0
      && request->output_tokens > request->max_output_tokens)
    request->output_tokens = request->max_output_tokens;
}

/* Reads the id of the last event that the caller has, when it resumes a
   stream.  */
static void
read_resumption (struct bd_edge_request *request)
{
  const char *last = bd_http_header (
      request->exchange, request->edge->adapter->headers->last_event_id);

  if (last != NULL && request->kind == BD_ROUTE_STREAM)
    request->call.last_event_id = strtoll (last, NULL, 10);
}

static void
read_route (struct bd_edge_request *request, const struct bd_route *route,
            const struct bd_account *account)
{
  bd_name_copy (request->route, route->name);
  request->route_regions = route->regions;
  request->account_regions = account != NULL ? account->regions : NULL;
  request->kind = route->kind;
  request->is_idempotent = bd_route_is_idempotent (route);
  request->objective_ms = route->objective_ms;
  request->gap_objective_ms = route->gap_objective_ms;
  request->caller_gap_ms = route->caller_gap_ms;
  request->priority = account != NULL && account->has_priority
                          ? account->priority
                          : route->priority;
  request->account
      = talloc_strdup (request, account != NULL ? account->name : "");
  bd_name_copy (request->service,
                bd_route_choose_service (route, request->edge->rng));
}

static int64_t
deadline_of (const struct bd_edge_request *request, uint32_t timeout_ms)
{
  const char *text = bd_http_header (
      request->exchange, request->edge->adapter->headers->deadline_ms);
  uint32_t left_ms = timeout_ms;

  if (bd_numbers_read (text, UINT32_MAX, &left_ms, 1) && left_ms > timeout_ms)
    left_ms = timeout_ms;
  return request->received_ms + left_ms;
}

void
bd_edge_describe_request (struct bd_edge_request *request,
                          const struct bd_route *route,
                          const struct bd_account *account)
{
  struct bd_edge *edge = request->edge;
  struct bd_http_exchange *x = request->exchange;
  const struct bd_header_names *names = edge->adapter->headers;
  const struct bd_route_service *service;
  const char *id = bd_http_header (x, names->attempt_id);
  const char *model = bd_http_header (x, names->model);

  read_route (request, route, account);
  if (account != NULL)
    request->key = talloc_strdup (request, key_of (edge, x));
  request->attempt_id = talloc_strdup (request, id != NULL ? id : "");
  request->deadline_ms = deadline_of (request, route->timeout_ms);
  request->model = "";
  service = bd_routes_service (edge->routes, request->service);
  if (service != NULL && service->has_engine)
    {
      request->model = talloc_strdup (request, model != NULL ? model : "");
      read_token_counts (request, &service->engine);
    }
  bd_edge_set_subjects (request);
  bd_call_init (&request->call, request->is_idempotent, false,
                request->kind == BD_ROUTE_STREAM, request->deadline_ms);
  request->call.max_runs = route->max_attempts;
  request->is_taken_over = bd_edge_is_taken_over (edge, x);
  request->is_last_resort
      = request->is_taken_over && bd_edge_is_last_resort (x);
  if (request->is_taken_over)
    {
      request->call.max_runs = bd_edge_max_runs (x, route->max_attempts);
      request->sender_end_ms = bd_edge_sender_end_ms (edge, x);
      request->sender_wait_end_ms = bd_edge_sender_wait_end_ms (edge, x);
    }
  read_resumption (request);
}

/* Sets the error and the Retry-After of a refusal on arrival.  */
static void
set_refusal (struct bd_edge_arrival *arrival, enum bd_error error,
             int64_t retry_after_ms)
{
  arrival->refusal.error = error;
  arrival->refusal.retry_after_ms = retry_after_ms;
}

void
bd_edge_check_arrival (const struct bd_edge *edge,
                       const struct bd_http_exchange *x,
                       struct bd_edge_arrival *arrival)
{
  memset (arrival, 0, sizeof *arrival);
  if (bd_edge_is_taken_over (edge, x) && !bd_edge_can_take_over (edge, x))
    {
      set_refusal (arrival, BD_ERR_NOT_READY, NOT_READY_RETRY_MS);
      return;
    }
  if (edge->is_closed)
    {
      set_refusal (arrival, BD_ERR_STOPPING, BD_EDGE_STOPPING_RETRY_MS);
      return;
    }
  if (edge->routes == NULL)
    {
      set_refusal (arrival, BD_ERR_NOT_READY, NOT_READY_RETRY_MS);
      return;
    }
  arrival->route
      = bd_routes_match (edge->routes, bd_http_header (x, "Host"), x->uri);
  if (arrival->route == NULL)
    {
      set_refusal (arrival, BD_ERR_NO_ROUTE, 0);
      return;
    }
  if (!edge->routes->needs_keys || arrival->route->is_public)
    return;
  if (!bd_edge_is_config_fresh (edge))
    {
      set_refusal (arrival, BD_ERR_NOT_READY, NOT_READY_RETRY_MS);
      return;
    }
  arrival->account = bd_routes_account (edge->routes, key_of (edge, x));
  if (arrival->account == NULL)
    set_refusal (arrival, BD_ERR_UNAUTHORIZED, 0);
}

void
bd_edge_handle_request (struct bd_edge *edge, struct bd_http_exchange *x)
{
  struct bd_edge_arrival arrival;
  struct bd_edge_request *request;

  bd_count (&edge->counters, bd_edge_is_taken_over (edge, x)
                                 ? BD_COUNT_TAKEN_OVER
                                 : BD_COUNT_REQUESTS);
  edge->has_traffic = true;
  bd_edge_check_arrival (edge, x, &arrival);
  if (arrival.refusal.error != BD_OK)
    {
      refuse (edge, x, arrival.refusal.error,
              arrival.route != NULL ? arrival.route->name : "",
              arrival.refusal.retry_after_ms);
      return;
    }
  request = bd_edge_request_make (edge, x);
  bd_edge_describe_request (request, arrival.route, arrival.account);
  bd_http_headers (x, copy_header, request);
  bd_edge_admit (request);
}

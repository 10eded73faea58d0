/* Explains where a request would go now, and why, without sending it.

   The decision is that of a request (ingress.c, admission.c, target.c).  It
   draws random numbers, refills permits, creates its service, and notes the
   work that is offered.  All of these are saved before, or replaced by copies,
   and restored afterwards, so that a check changes nothing that decides about
   a real request: not even the rounding of a permit that is refilled in two
   steps.  No check logs a line, because lines have a budget.  */

#include "base/numbers.h"
#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

enum
{
  /* Choices by which the targets are found among which a request would be sent
     to a random one.  One with a fair part of 8 targets is missed by 1 in 70
     checks.  */
  DRAWS = 32,
  MAX_TOKENS = 1 << 24,
  MAX_OVERRIDES = 8,
  TOO_MANY_STATUS = 429,
  INVALID_STATUS = 400
};

static const char *const exclusion_names[BD_EDGE_EXCLUSIONS] = {
  [BD_EDGE_NOT_EXCLUDED] = "",
  [BD_EDGE_EXCLUDED_FULL] = "full",
  [BD_EDGE_EXCLUDED_HELD] = "held",
  [BD_EDGE_EXCLUDED_LIMIT] = "limit",
  [BD_EDGE_EXCLUDED_COLD] = "cold",
  [BD_EDGE_EXCLUDED_REGION] = "region",
  [BD_EDGE_EXCLUDED_EVACUATED] = "evacuated",
  [BD_EDGE_EXCLUDED_LEAVING] = "leaving",
  [BD_EDGE_EXCLUDED_UNHEALTHY] = "unhealthy",
  [BD_EDGE_EXCLUDED_CLOSED] = "closed",
  [BD_EDGE_EXCLUDED_NOT_OPEN] = "group-not-open",
  [BD_EDGE_EXCLUDED_TRIED] = "tried",
};

/* Permits of one endpoint.  */
struct permits
{
  struct bd_pacing pacing;
  struct bd_coldstart cold;
};

/* What a check replaces while it runs.  */
struct scope
{
  gsl_rng *rng;
  GHashTable *services;
  struct bd_edge_work work[BD_ENGINE_MAX_MODELS];
  uint32_t work_count;
  int64_t first_model_request_ms;
  GArray *permits; /* Of all endpoints, in the order of their table.  */
};

static void
enter (struct bd_edge *edge, struct scope *scope)
{
  GHashTableIter iter;
  gpointer value;

  scope->rng = edge->rng;
  edge->rng = gsl_rng_clone (scope->rng);
  scope->services = edge->services;
  memcpy (scope->work, edge->work, sizeof scope->work);
  scope->work_count = edge->work_count;
  scope->first_model_request_ms = edge->first_model_request_ms;
  scope->permits = g_array_new (FALSE, FALSE, sizeof (struct permits));
  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;
      struct permits permits = { endpoint->pacing, endpoint->cold };

      g_array_append_val (scope->permits, permits);
    }
}

/* A service that no request has used yet is created in a table of its own.  */
static void
hide_services (struct bd_edge *edge, const struct scope *scope,
               const char *service)
{
  if (g_hash_table_lookup (scope->services, service) == NULL)
    edge->services = bd_edge_services_new ();
}

static void
leave (struct bd_edge *edge, struct scope *scope)
{
  GHashTableIter iter;
  gpointer value;

  gsl_rng_free (edge->rng);
  edge->rng = scope->rng;
  if (edge->services != scope->services)
    g_hash_table_destroy (edge->services);
  edge->services = scope->services;
  memcpy (edge->work, scope->work, sizeof scope->work);
  edge->work_count = scope->work_count;
  edge->first_model_request_ms = scope->first_model_request_ms;
  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  for (guint i = 0; g_hash_table_iter_next (&iter, NULL, &value); i++)
    {
      struct bd_fleet_endpoint *endpoint = value;
      const struct permits *permits
          = &g_array_index (scope->permits, struct permits, i);

      endpoint->pacing = permits->pacing;
      endpoint->cold = permits->cold;
    }
  g_array_free (scope->permits, TRUE);
}

/* Targets that can be chosen first, then those with the earliest event.  */
static int
compare_options (const void *a, const void *b)
{
  const struct bd_edge_option *left = a;
  const struct bd_edge_option *right = b;
  bool is_left_excluded = left->exclusion != BD_EDGE_NOT_EXCLUDED;
  bool is_right_excluded = right->exclusion != BD_EDGE_NOT_EXCLUDED;

  if (is_left_excluded != is_right_excluded)
    return is_left_excluded ? 1 : -1;
  if (left->expected_ms != right->expected_ms)
    return left->expected_ms < right->expected_ms ? -1 : 1;
  if (left->endpoint == NULL || right->endpoint == NULL)
    return (left->endpoint == NULL) - (right->endpoint == NULL);
  return strcmp (left->endpoint->entry.id, right->endpoint->entry.id);
}

static void
add_option (void *ctx, const struct bd_edge_option *option)
{
  g_array_append_vals (ctx, option, 1);
}

static json_t *
time_or_null (double ms)
{
  return ms < 0 ? json_null () : json_integer ((json_int_t)ms);
}

static json_t *
describe_option (const struct bd_edge_option *option)
{
  const struct bd_fleet_endpoint *endpoint = option->endpoint;
  json_t *value = json_pack (
      "{s:s,s:s,s:I,s:I,s:I,s:o,s:o}", "endpoint",
      endpoint != NULL ? endpoint->entry.id : "", "data_centre",
      endpoint != NULL ? endpoint->entry.data_centre
                       : option->group->data_centre,
      "running", (json_int_t)option->running, "waiting",
      (json_int_t)option->waiting, "slots", (json_int_t)option->slots,
      "age_ms", time_or_null ((double)option->age_ms), "expected_ms",
      time_or_null (option->expected_ms));

  if (option->group != NULL)
    json_object_set_new (value, "group", json_string (option->group->name));
  if (option->exclusion != BD_EDGE_NOT_EXCLUDED)
    json_object_set_new (value, "excluded",
                         json_string (exclusion_names[option->exclusion]));
  return value;
}

static void
describe_options (const struct bd_edge_request *request, json_t *reply)
{
  GArray *options = g_array_new (FALSE, FALSE, sizeof (struct bd_edge_option));
  json_t *list = json_array ();
  json_t *excluded = json_object ();

  bd_edge_visit_options (request, add_option, options);
  g_array_sort (options, compare_options);
  for (guint i = 0; i < options->len; i++)
    {
      const struct bd_edge_option *option
          = &g_array_index (options, struct bd_edge_option, i);
      const char *name = exclusion_names[option->exclusion];

      if (i < BD_EDGE_MAX_OPTIONS)
        json_array_append_new (list, describe_option (option));
      if (option->exclusion != BD_EDGE_NOT_EXCLUDED)
        json_object_set_new (
            excluded, name,
            json_integer (json_integer_value (json_object_get (excluded, name))
                          + 1));
    }
  json_object_set_new (reply, "target_count",
                       json_integer ((json_int_t)options->len));
  json_object_set_new (reply, "targets", list);
  json_object_set_new (reply, "excluded", excluded);
  g_array_free (options, TRUE);
}

/* Adds one choice to the counts of the targets.  */
static void
count_draw (json_t *draws, const struct bd_edge_target *target)
{
  json_int_t count
      = json_integer_value (json_object_get (draws, target->endpoint));

  json_object_set_new (draws, target->endpoint, json_integer (count + 1));
}

static json_t *
describe_send (const struct bd_edge_request *request,
               const struct bd_edge_target *chosen)
{
  json_t *draws = json_object ();
  struct bd_edge_target target;

  count_draw (draws, chosen);
  for (uint32_t i = 1; i < DRAWS; i++)
    if (bd_edge_find_target (request, &target))
      count_draw (draws, &target);
  return json_pack (
      "{s:s,s:s,s:b,s:b,s:o,s:i,s:o}", "verdict", "send", "endpoint",
      chosen->endpoint, "daemon", chosen->is_daemon, "preferred",
      chosen->is_preferred, "expected_ms",
      time_or_null (chosen->group != 0 ? chosen->expected_ms : -1), "draws",
      DRAWS, "drawn", draws);
}

static const char *
wait_reason (const struct bd_edge_request *request,
             const struct bd_edge_decision *decision)
{
  if (decision->is_for_share)
    return "share";
  if (decision->target.is_held)
    return decision->target.is_held_late ? "reserve" : "prefill";
  return bd_edge_awaits_evacuations (request->edge) ? "evacuations-unknown"
                                                    : "no-target";
}

static json_t *
describe_wait (const struct bd_edge_request *request,
               const struct bd_edge_decision *decision)
{
  int64_t max_ms
      = bd_edge_max_wait_ms (request, bd_edge_now_ms (request->edge));
  const struct bd_edge_service *service
      = bd_edge_service (request->edge, request->service);
  double wait_ms = bd_edge_turn_wait_ms (
      request, bd_backlog_count (&service->backlog) + 1);

  return json_pack ("{s:s,s:s,s:I,s:I}", "verdict", "wait", "reason",
                    wait_reason (request, decision), "expected_wait_ms",
                    (json_int_t)MIN (wait_ms, (double)max_ms), "max_wait_ms",
                    (json_int_t)max_ms);
}

static json_t *
describe_refusal (const struct bd_edge_refusal *refusal)
{
  int64_t retry_ms = bd_edge_offered_retry_ms (refusal->error, BD_NOT_RUN,
                                               refusal->retry_after_ms);

  return json_pack ("{s:s,s:s,s:i,s:o}", "verdict", "refused", "reason",
                    bd_error_name (refusal->error), "status",
                    (int)bd_error_http_status (refusal->error),
                    "retry_after_ms",
                    time_or_null (retry_ms > 0 ? (double)retry_ms : -1));
}

static json_t *
describe_decision (struct bd_edge_request *request)
{
  struct bd_edge_decision decision;
  struct bd_edge_refusal refusal;

  bd_edge_try_admission (request, &decision);
  switch (decision.verdict)
    {
    case BD_EDGE_SEND:
      return describe_send (request, &decision.target);
    case BD_EDGE_WAIT:
      return describe_wait (request, &decision);
    case BD_EDGE_REFUSE:
      break;
    }
  bd_edge_describe_refusal (request, decision.error, &refusal);
  return describe_refusal (&refusal);
}

/* The services of a route among which each request draws one.  */
static json_t *
describe_splits (const struct bd_route *route)
{
  json_t *splits = json_object ();

  for (uint32_t i = 0; i < route->split_count; i++)
    json_object_set_new (splits, route->splits[i].service,
                         json_integer (route->splits[i].weight));
  return splits;
}

static void
describe_request (struct bd_edge *edge, struct bd_http_exchange *x,
                  const struct bd_edge_arrival *arrival,
                  const struct scope *scope, json_t *reply)
{
  struct bd_edge_request *request = bd_edge_request_new (edge, x);
  struct bd_account_trial trial;
  json_t *properties;

  memset (&trial, 0, sizeof trial);
  request->backlog_item.trial = &trial;
  bd_edge_describe_request (request, arrival->route, arrival->account);
  hide_services (edge, scope, request->service);
  properties = json_pack (
      "{s:s,s:s,s:s,s:I,s:I,s:I,s:f,s:o}", "service", request->service,
      "model", request->model, "account", request->account, "prompt_tokens",
      (json_int_t)request->prompt_tokens, "output_tokens",
      (json_int_t)request->output_tokens, "left_ms",
      (json_int_t)(request->deadline_ms - request->received_ms),
      "retry_budget", bd_edge_service (edge, request->service)->retries.tokens,
      "services", describe_splits (arrival->route));
  json_object_update (reply, properties);
  json_decref (properties);
  json_object_set_new (reply, "decision", describe_decision (request));
  describe_options (request, reply);
  talloc_free (request);
}

/* A key of the account, or NULL.  */
static const char *
key_of_account (const struct bd_edge *edge, const char *name)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (edge->routes == NULL)
    return NULL;
  g_hash_table_iter_init (&iter, edge->routes->keys);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (strcmp (((const struct bd_account *)value)->name, name) == 0)
      return key;
  return NULL;
}

/* Gives the request a key of the account; an invalid one if it has none.  */
static void
add_account (const struct bd_edge *edge, void *ctx, struct bd_http_exchange *x,
             const char *account)
{
  const struct bd_header_names *names = edge->adapter->headers;
  const char *key = key_of_account (edge, account);
  struct bd_http_header_field *fields
      = talloc_zero_array (ctx, struct bd_http_header_field, MAX_OVERRIDES);
  uint32_t count = 0;

  fields[count++] = (struct bd_http_header_field){
    names->authorization,
    talloc_asprintf (ctx, "%s%s", names->key_scheme, key != NULL ? key : "")
  };
  for (const struct bd_http_header_field *field = x->overrides;
       field != NULL && field->name != NULL && count < MAX_OVERRIDES - 1;
       field++)
    fields[count++] = *field;
  x->overrides = fields;
}

json_t *
bd_edge_check_route (struct bd_edge *edge,
                     const struct bd_http_exchange *exchange,
                     const char *account)
{
  void *ctx = talloc_new (NULL);
  struct bd_http_exchange x = *exchange;
  struct bd_edge_arrival arrival;
  struct scope scope;
  json_t *reply = json_pack (
      "{s:s,s:s,s:I,s:I}", "name", edge->settings->name, "daemon_data_centre",
      edge->settings->data_centre, "config_version",
      (json_int_t)(edge->routes != NULL ? edge->routes->version : 0),
      "config_age_ms",
      (json_int_t)(bd_edge_now_ms (edge) - edge->config_verified_ms));

  x.server = &edge->server;
  x.body = NULL;
  x.body_size = 0;
  if (account != NULL)
    add_account (edge, ctx, &x, account);
  bd_edge_check_arrival (edge, &x, &arrival);
  json_object_set_new (reply, "route",
                       arrival.route != NULL
                           ? json_string (arrival.route->name)
                           : json_null ());
  if (arrival.refusal.error == BD_OK && arrival.route != NULL)
    {
      enter (edge, &scope);
      describe_request (edge, &x, &arrival, &scope, reply);
      leave (edge, &scope);
    }
  else
    json_object_set_new (reply, "decision",
                         describe_refusal (&arrival.refusal));
  talloc_free (ctx);
  return reply;
}

static void
respond (struct bd_http_exchange *x, uint32_t status, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  bd_http_respond_text (x, status, "application/json",
                        text != NULL ? text : "{}");
  free (text);
  json_decref (value);
}

static void
respond_error (struct bd_http_exchange *x, uint32_t status, const char *text)
{
  respond (x, status, json_pack ("{s:s}", "error", text));
}

/* Sets the header fields that the arguments of a check stand for.  Returns
   what is wrong with them, or NULL.  */
static const char *
read_arguments (const struct bd_edge *edge, const struct bd_http_exchange *x,
                struct bd_http_header_field *fields)
{
  const struct bd_header_names *names = edge->adapter->headers;
  const struct bd_http_header_field arguments[] = {
    { "Host", bd_http_query (x, "host") },
    { names->model, bd_http_query (x, "model") },
    { names->token_counts, bd_http_query (x, "tokens") },
    { names->prompt_parts, bd_http_query (x, "key") },
    { names->deadline_ms, bd_http_query (x, "deadline_ms") },
  };
  const char *path = bd_http_query (x, "path");
  uint32_t numbers[2];
  uint32_t count = 0;

  for (size_t i = 0; i < sizeof arguments / sizeof arguments[0]; i++)
    if (arguments[i].value != NULL)
      fields[count++] = arguments[i];
  fields[count].name = NULL;
  if (path == NULL || path[0] != '/')
    return "path is missing or does not begin with a slash";
  if (bd_http_query (x, "tokens") != NULL
      && !bd_numbers_read (bd_http_query (x, "tokens"), MAX_TOKENS, numbers,
                           2))
    return "tokens are not two numbers";
  if (bd_http_query (x, "deadline_ms") != NULL
      && !bd_numbers_read (bd_http_query (x, "deadline_ms"), UINT32_MAX,
                           numbers, 1))
    return "deadline_ms is not a number";
  return NULL;
}

void
bd_edge_serve_route_check (struct bd_edge *edge, struct bd_http_exchange *x)
{
  struct bd_http_header_field fields[MAX_OVERRIDES];
  struct bd_http_exchange request = *x;
  const char *error;

  if (strcmp (x->method, "GET") != 0)
    {
      respond_error (x, INVALID_STATUS, "only GET is supported");
      return;
    }
  if (!bd_recent_may_do (&edge->route_checks, bd_edge_now_ms (edge)))
    {
      bd_count (&edge->counters, BD_COUNT_ROUTE_CHECKS_REFUSED);
      respond_error (x, TOO_MANY_STATUS, "too many checks in a second");
      return;
    }
  error = read_arguments (edge, x, fields);
  if (error != NULL)
    {
      respond_error (x, INVALID_STATUS, error);
      return;
    }
  bd_count (&edge->counters, BD_COUNT_ROUTE_CHECKS);
  request.overrides = fields;
  request.uri = (char *)bd_http_query (x, "path");
  request.method = bd_http_query (x, "method");
  if (request.method == NULL)
    request.method = "GET";
  respond (x, 200,
           bd_edge_check_route (edge, &request, bd_http_query (x, "account")));
}

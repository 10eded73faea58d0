/* Explains where a call would go now, and why, without sending it.

   The decision is that of a call (daemon_calls.c, daemon_targets.c).  The
   random generator is replaced by a copy, and the place in the round of the
   remote data centres and what was sent to them are put back.  The claim of an
   idempotency key is not looked up, since only its owner can do so.  */

#include "base/numbers.h"
#include "daemon/job_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  DRAWS = 32, /* See edge/route_check.c.  */
  MAX_OPTIONS = 64,
  MAX_TOKENS = 1 << 24,
  /* Of a prompt, for which the length of the body stands.  */
  BYTES_PER_TOKEN = 4,
  MS_PER_S = 1000
};

/* What a check replaces while it runs.  */
struct scope
{
  gsl_rng *rng;
  uint32_t round_robin;
  struct bd_remote remotes[BD_MAX_REMOTES];
};

static void
enter (struct bd_daemon *daemon, struct scope *scope)
{
  scope->rng = daemon->rng;
  daemon->rng = gsl_rng_clone (scope->rng);
  scope->round_robin = daemon->round_robin;
  memcpy (scope->remotes, daemon->remotes, sizeof scope->remotes);
}

static void
restore_remotes (struct bd_daemon *daemon, const struct scope *scope)
{
  daemon->round_robin = scope->round_robin;
  memcpy (daemon->remotes, scope->remotes, sizeof scope->remotes);
}

static void
leave (struct bd_daemon *daemon, const struct scope *scope)
{
  gsl_rng_free (daemon->rng);
  daemon->rng = scope->rng;
  restore_remotes (daemon, scope);
}

static json_t *
time_or_null (double ms)
{
  return ms < 0 ? json_null () : json_integer ((json_int_t)ms);
}

/* The targets in a reply.  */
struct option_list
{
  json_t *usable;
  json_t *others;
  json_t *excluded; /* Counts by reason.  */
  uint32_t count;
};

static void
add_option (void *ctx, const struct bd_daemon_option *option)
{
  struct option_list *list = ctx;
  json_t *value = json_pack (
      "{s:s,s:s,s:I,s:I,s:I,s:o,s:o}", "endpoint",
      option->endpoint != NULL ? option->endpoint : "", "data_centre",
      option->data_centre, "running", (json_int_t)option->running, "waiting",
      (json_int_t)option->waiting, "slots", (json_int_t)option->slots,
      "age_ms", time_or_null ((double)option->age_ms), "expected_ms",
      time_or_null (option->expected_ms));

  list->count++;
  if (option->group != NULL)
    json_object_set_new (value, "group", json_string (option->group));
  if (option->excluded == NULL)
    {
      json_array_append_new (list->usable, value);
      return;
    }
  json_object_set_new (value, "excluded", json_string (option->excluded));
  json_array_append_new (list->others, value);
  json_object_set_new (list->excluded, option->excluded,
                       json_integer (json_integer_value (json_object_get (
                                         list->excluded, option->excluded))
                                     + 1));
}

static void
describe_options (struct bd_daemon *daemon, const struct bd_job *job,
                  const struct bd_service *service, json_t *reply)
{
  struct option_list list = { .usable = json_array (),
                              .others = json_array (),
                              .excluded = json_object () };

  bd_daemon_visit_options (daemon, job, service, add_option, &list);
  json_array_extend (list.usable, list.others);
  json_decref (list.others);
  while (json_array_size (list.usable) > MAX_OPTIONS)
    json_array_remove (list.usable, json_array_size (list.usable) - 1);
  json_object_set_new (reply, "target_count",
                       json_integer ((json_int_t)list.count));
  json_object_set_new (reply, "targets", list.usable);
  json_object_set_new (reply, "excluded", list.excluded);
}

static json_t *
describe_refusal (enum bd_error error, int64_t retry_after_ms)
{
  int64_t retry_after_s = bd_daemon_retry_after_s (error, retry_after_ms);

  return json_pack ("{s:s,s:s,s:i,s:o}", "verdict", "refused", "reason",
                    bd_error_name (error), "status",
                    (int)bd_error_http_status (error), "retry_after_ms",
                    time_or_null (retry_after_s > 0
                                      ? (double)retry_after_s * MS_PER_S
                                      : -1));
}

static json_t *
describe_wait (const struct bd_job *job)
{
  int64_t left_ms = job->call.deadline_ms - bd_daemon_now_ms (job->daemon);

  return json_pack (
      "{s:s,s:s,s:I,s:I}", "verdict", "wait", "reason", "no-target",
      "expected_wait_ms",
      (json_int_t)MIN (bd_job_retry_after_ms (job, BD_ERR_OVERLOADED),
                       left_ms),
      "max_wait_ms", (json_int_t)left_ms);
}

static void
count_draw (json_t *draws, const struct bd_target *target)
{
  json_int_t count
      = json_integer_value (json_object_get (draws, target->instance));

  json_object_set_new (draws, target->instance, json_integer (count + 1));
}

static json_t *
describe_send (struct bd_job *job, const struct scope *scope)
{
  json_t *draws = json_object ();
  struct bd_target target;

  count_draw (draws, &job->target);
  for (uint32_t i = 1; i < DRAWS; i++)
    {
      restore_remotes (job->daemon, scope);
      if (bd_daemon_choose_target (job->daemon, job, &target)
          == BD_CHOICE_FOUND)
        count_draw (draws, &target);
    }
  return json_pack ("{s:s,s:s,s:b,s:b,s:n,s:i,s:o}", "verdict", "send",
                    "endpoint", job->target.instance, "daemon",
                    job->target.is_daemon, "preferred", 0, "expected_ms",
                    "draws", DRAWS, "drawn", draws);
}

static json_t *
describe_decision (struct bd_job *job, const struct scope *scope)
{
  enum bd_target_choice choice;
  enum bd_error error = bd_job_try (job, &choice);

  if (error != BD_OK)
    return describe_refusal (error, bd_job_retry_after_ms (job, error));
  return choice == BD_CHOICE_FOUND ? describe_send (job, scope)
                                   : describe_wait (job);
}

static void
describe_job (struct bd_daemon *daemon, struct bd_http_exchange *x,
              const struct bd_request *request, json_t *reply)
{
  struct bd_job *job = bd_job_new (daemon, x, request);
  struct scope *scope = talloc (job, struct scope);

  json_object_set_new (reply, "account", json_string (job->account));
  json_object_set_new (reply, "retry_budget",
                       json_real (daemon->retries.tokens));
  enter (daemon, scope);
  json_object_set_new (reply, "decision", describe_decision (job, scope));
  leave (daemon, scope);
  describe_options (daemon, job, request->service, reply);
  talloc_free (job);
}

json_t *
bd_daemon_check_route (struct bd_daemon *daemon,
                       const struct bd_http_exchange *exchange,
                       const char *path, const char *model, const char *prompt)
{
  struct bd_http_exchange x = *exchange;
  struct bd_request request
      = { .service = bd_daemon_find_service (daemon, path, model),
          .prompt = (char *)prompt };
  json_t *reply
      = json_pack ("{s:s,s:s,s:I,s:n,s:s}", "name", daemon->settings->name,
                   "daemon_data_centre", daemon->settings->data_centre,
                   "config_version", (json_int_t)daemon->config.revision,
                   "config_age_ms", "model", model != NULL ? model : "");
  int64_t retry_after_ms;
  enum bd_error error;

  x.path = (char *)path;
  error = bd_daemon_try_arrival (daemon, &x, request.service, &retry_after_ms);
  json_object_set_new (reply, "route",
                       request.service != NULL
                           ? json_string (request.service->name)
                           : json_null ());
  json_object_set_new (
      reply, "service",
      json_string (request.service != NULL ? request.service->name : ""));
  if (error != BD_OK)
    json_object_set_new (reply, "decision",
                         describe_refusal (error, retry_after_ms));
  else
    describe_job (daemon, &x, &request, reply);
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

void
bd_daemon_serve_route_check (struct bd_daemon *daemon,
                             struct bd_http_exchange *x)
{
  const char *path = bd_http_query (x, "path");
  const char *tokens = bd_http_query (x, "tokens");
  const char *deadline_ms = bd_http_query (x, "deadline_ms");
  const char *account = bd_http_query (x, "account");
  struct bd_http_header_field fields[3] = { { NULL, NULL } };
  struct bd_http_exchange request = *x;
  uint32_t numbers[2] = { 0, 0 };
  uint32_t number;
  uint32_t count = 0;

  if (!bd_recent_may_do (&daemon->route_checks, bd_daemon_now_ms (daemon)))
    {
      bd_count (&daemon->counters, BD_COUNT_ROUTE_CHECKS_REFUSED);
      respond (x, 429, json_pack ("{s:s}", "error", "too many checks"));
      return;
    }
  if (strcmp (x->method, "GET") != 0 || path == NULL || path[0] != '/'
      || (tokens != NULL && !bd_numbers_read (tokens, MAX_TOKENS, numbers, 2))
      || (deadline_ms != NULL
          && !bd_numbers_read (deadline_ms, UINT32_MAX, &number, 1)))
    {
      respond (x, 400,
               json_pack ("{s:s}", "error",
                          "path, tokens or deadline_ms is invalid"));
      return;
    }
  bd_count (&daemon->counters, BD_COUNT_ROUTE_CHECKS);
  if (account != NULL)
    fields[count++]
        = (struct bd_http_header_field){ "X-Client-Account", account };
  if (deadline_ms != NULL)
    fields[count++]
        = (struct bd_http_header_field){ "X-Deadline-Ms", deadline_ms };
  request.overrides = fields;
  request.body = NULL;
  request.body_size = (size_t)numbers[0] * BYTES_PER_TOKEN;
  respond (x, 200,
           bd_daemon_check_route (daemon, &request, path,
                                  bd_http_query (x, "model"),
                                  bd_http_query (x, "key")));
}

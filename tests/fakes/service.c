/* Fake of a plain service: counts its runs by idempotency key.

   fakes service port=N [name=NAME] [address=A]

   GET /state                     load report
   GET /record                    {"runs": {key: count}, "total": n}
   POST /faults {"slow_ms": n, "cut_after_run": n, "refuse": b, "dead": b,
                 "long_answer": bytes, "malformed": n, "name": "text"}
   any other path                 one run

   "cut_after_run" closes the connection without a response after each of the
   next n runs.  "refuse" returns 503 without a run.  "dead" closes every
   connection except for /faults and /record.  "malformed": the heads of the
   next n responses have a bracket in the name of a field.  "name" puts another
   instance in place of the service, at its address.  */

#include "tests/fakes/fakes.h"

#include <string.h>
#include <talloc.h>

struct service
{
  struct tevent_context *events;
  struct bd_http_server server;
  char *name;
  json_t *runs;
  uint64_t total;
  uint32_t running;
  uint32_t slow_ms;
  uint32_t responses_to_drop;
  uint32_t padding_bytes; /* Added to each response.  */
  uint32_t malformed_responses;
  bool is_refusing;
  bool is_dead;
};

static void
respond_run (struct service *s, struct bd_http_exchange *x)
{
  const char *key = bd_http_header (x, "Idempotency-Key");
  const char *attempt = bd_http_header (x, "X-Attempt-Id");
  struct bd_http_header_field headers[]
      = { { "Content-Type", "application/json" },
          { "X-Attempt-Id", attempt != NULL ? attempt : "" },
          { NULL, NULL },
          { NULL, NULL } };
  char *text = talloc_asprintf (
      x, "{\"service\":\"%s\",\"run\":%llu,\"key\":\"%s\",\"bytes\":%zu}\n",
      s->name, (unsigned long long)s->total, key != NULL ? key : "",
      x->body_size);

  if (s->padding_bytes > 0)
    text = talloc_asprintf_append (text, "%*s", (int)s->padding_bytes, ".");
  if (s->malformed_responses > 0)
    {
      s->malformed_responses--;
      headers[2] = (struct bd_http_header_field){ "X(Malformed)", "1" };
    }
  if (s->responses_to_drop > 0)
    {
      s->responses_to_drop--;
      bd_http_abort (x);
      return;
    }
  bd_http_respond (x, 200, headers, text, strlen (text));
}

static void
handle_delayed (struct tevent_context *events, struct tevent_timer *timer,
                struct timeval now, void *private_data)
{
  struct bd_http_exchange *x = private_data;
  struct service *s = x->server->ctx;

  (void)events;
  (void)timer;
  (void)now;
  s->running--;
  respond_run (s, x);
}

static void
run (struct service *s, struct bd_http_exchange *x)
{
  const char *key = bd_http_header (x, "Idempotency-Key");
  const char *name = key != NULL ? key : "";

  s->total++;
  json_object_set_new (
      s->runs, name,
      json_integer (json_integer_value (json_object_get (s->runs, name)) + 1));
  if (s->slow_ms == 0)
    {
      respond_run (s, x);
      return;
    }
  s->running++;
  fake_schedule (s->events, x, s->slow_ms, handle_delayed, x);
}

static void
set_faults (struct service *s, struct bd_http_exchange *x)
{
  json_t *faults
      = json_loadb (x->body != NULL ? x->body : "", x->body_size, 0, NULL);
  const char *name;
  json_t *value;

  json_object_foreach (faults, name, value)
    {
      if (strcmp (name, "slow_ms") == 0)
        s->slow_ms = (uint32_t)json_integer_value (value);
      else if (strcmp (name, "cut_after_run") == 0)
        s->responses_to_drop = (uint32_t)json_integer_value (value);
      else if (strcmp (name, "long_answer") == 0)
        s->padding_bytes = (uint32_t)json_integer_value (value);
      else if (strcmp (name, "malformed") == 0)
        s->malformed_responses = (uint32_t)json_integer_value (value);
      else if (strcmp (name, "refuse") == 0)
        s->is_refusing = json_is_true (value);
      else if (strcmp (name, "name") == 0)
        {
          talloc_free (s->name);
          s->name = talloc_strdup (s, json_string_value (value));
        }
      else if (strcmp (name, "dead") == 0)
        s->is_dead = json_is_true (value);
    }
  json_decref (faults);
  fake_respond_json (x, 200, json_object ());
}

static void
handle_request (void *ctx, struct bd_http_exchange *x)
{
  struct service *s = ctx;

  if (strcmp (x->path, "/faults") == 0)
    set_faults (s, x);
  else if (strcmp (x->path, "/record") == 0)
    fake_respond_json (x, 200,
                       json_pack ("{s:O,s:I}", "runs", s->runs, "total",
                                  (json_int_t)s->total));
  else if (s->is_dead)
    bd_http_abort (x);
  else if (strcmp (x->path, "/state") == 0)
    fake_respond_json (x, 200,
                       json_pack ("{s:s,s:s,s:i}", "instance", s->name,
                                  "phase", "ready", "running",
                                  (int)s->running));
  else if (s->is_refusing)
    fake_respond_json (x, 503, json_pack ("{s:b}", "started", 0));
  else
    run (s, x);
}

static size_t
max_body (void *ctx, const char *path)
{
  (void)ctx;
  (void)path;
  return 16 << 20;
}

static void
ignore (void *ctx, struct bd_http_exchange *x)
{
  (void)ctx;
  (void)x;
}

static const struct bd_http_server_ops ops
    = { max_body, handle_request, ignore, ignore };

bool
fake_service_start (struct tevent_context *events,
                    const struct fake_options *options)
{
  struct service *s = talloc_zero (events, struct service);

  s->events = events;
  s->runs = json_object ();
  s->name = talloc_strdup (s, fake_option (options, "name", "service"));
  return bd_http_server_init (
      &s->server, events, fake_option (options, "address", "127.0.0.1"),
      (uint32_t)fake_option_int (options, "port", 0), 4096, &ops, s);
}

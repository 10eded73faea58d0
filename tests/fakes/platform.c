/* Fake platform: Object API, instance list and weight store.

   fakes platform port=N [address=A] [lag_ms=N] [reads_per_s=N]
                  [writes_per_s=N] [weights_per_s=N]

   GET /objects/KEY              200 with ETag, or 404
   PUT /objects/KEY              If-Match or If-None-Match: *; 412 on conflict
   GET /list?prefix=P            {"revision": R, "items": [...]}
   GET /watch?prefix=P&since=R&timeout_ms=T
                                 waits for a change after revision R
   GET /instances, PUT /instances
                                 the instance list; a PUT becomes visible after
                                 lag_ms
   GET /weights/MODEL/VERSION    200, or 429 above weights_per_s or while the
                                 fault weights_down is set
   POST /faults {"outage": b, "slow_ms": n, "lose_answers": n,
                 "weights_down": b, "restore": n}
   GET /record                   counts of calls

   "lose_answers" executes the next n writes, and closes their connections
   without a reply.  "restore" removes the objects newer than revision n.  */

#include "tests/fakes/fakes.h"

#include <string.h>
#include <talloc.h>

struct watch
{
  struct bd_http_exchange *exchange;
  char *prefix;
  int64_t since;
  struct watch *next;
};

struct platform
{
  struct tevent_context *events;
  struct bd_http_server server;
  json_t *objects; /* key -> {version, value} */
  int64_t revision;
  struct watch *watch_list;
  json_t *instances;
  json_t *visible_instances;
  uint32_t instances_lag_ms;
  bool is_down;
  bool are_weights_down;
  uint32_t slow_ms;
  uint32_t replies_to_lose;
  int reads_per_s;
  int writes_per_s;
  int weights_per_s;
  int64_t window_start_ms;
  int window_reads;
  int window_writes;
  int window_weights;
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
  uint64_t rate_limited;
  uint64_t conflicts;
};

static json_t *
changes_since (struct platform *p, const char *prefix, int64_t since)
{
  json_t *items = json_array ();
  const char *key;
  json_t *object;

  json_object_foreach (p->objects, key, object)
    {
      int64_t version
          = json_integer_value (json_object_get (object, "version"));
      if (strncmp (key, prefix, strlen (prefix)) != 0 || version <= since)
        continue;
      json_array_append_new (items,
                             json_pack ("{s:s,s:I,s:O}", "key", key, "version",
                                        (json_int_t)version, "value",
                                        json_object_get (object, "value")));
    }
  return items;
}

static void
respond_changes (struct platform *p, struct bd_http_exchange *x, json_t *items)
{
  fake_respond_json (x, 200,
                     json_pack ("{s:I,s:o}", "revision",
                                (json_int_t)p->revision, "items", items));
}

static void
notify_watches (struct platform *p)
{
  struct watch **link = &p->watch_list;

  while (*link != NULL)
    {
      struct watch *w = *link;
      json_t *items = changes_since (p, w->prefix, w->since);
      if (json_array_size (items) == 0)
        {
          json_decref (items);
          link = &w->next;
          continue;
        }
      *link = w->next;
      w->exchange->user = NULL;
      respond_changes (p, w->exchange, items);
      talloc_free (w);
    }
}

static void
remove_watch (struct platform *p, struct watch *removed)
{
  for (struct watch **link = &p->watch_list; *link != NULL;
       link = &(*link)->next)
    if (*link == removed)
      {
        *link = removed->next;
        talloc_free (removed);
        return;
      }
}

static void
handle_watch_timeout (struct tevent_context *events,
                      struct tevent_timer *timer, struct timeval now,
                      void *private_data)
{
  struct bd_http_exchange *x = private_data;
  struct platform *p = x->server->ctx;

  (void)events;
  (void)timer;
  (void)now;
  if (x->user == NULL)
    return;
  remove_watch (p, x->user);
  x->user = NULL;
  respond_changes (p, x, json_array ());
}

static void
handle_watch (struct platform *p, struct bd_http_exchange *x)
{
  const char *prefix = bd_http_query (x, "prefix");
  const char *since = bd_http_query (x, "since");
  const char *timeout = bd_http_query (x, "timeout_ms");
  int64_t revision = since != NULL ? strtoll (since, NULL, 10) : 0;
  json_t *items = changes_since (p, prefix, revision);
  struct watch *w;

  p->watches++;
  if (json_array_size (items) > 0)
    {
      respond_changes (p, x, items);
      return;
    }
  json_decref (items);
  w = talloc_zero (NULL, struct watch);
  w->exchange = x;
  w->prefix = talloc_strdup (w, prefix);
  w->since = revision;
  w->next = p->watch_list;
  p->watch_list = w;
  x->user = w;
  fake_schedule (p->events, x,
                 timeout != NULL ? (uint32_t)strtoul (timeout, NULL, 10)
                                 : 30000,
                 handle_watch_timeout, x);
}

static void
respond_object (struct bd_http_exchange *x, uint32_t status, json_t *object)
{
  char etag[32];
  struct bd_http_header_field headers[] = {
    { "ETag", etag }, { "Content-Type", "application/json" }, { NULL, NULL }
  };
  char *text = json_dumps (json_object_get (object, "value"), JSON_COMPACT);

  snprintf (
      etag, sizeof etag, "%lld",
      (long long)json_integer_value (json_object_get (object, "version")));
  bd_http_respond (x, status, headers, text, strlen (text));
  free (text);
}

static void
handle_get (struct platform *p, struct bd_http_exchange *x, const char *key)
{
  json_t *object = json_object_get (p->objects, key);

  if (object == NULL)
    fake_respond_json (x, 404, json_object ());
  else
    respond_object (x, 200, object);
}

static bool
is_condition_met (struct bd_http_exchange *x, json_t *object)
{
  const char *match = bd_http_header (x, "If-Match");
  const char *none_match = bd_http_header (x, "If-None-Match");

  if (none_match != NULL)
    return object == NULL;
  if (match != NULL)
    return object != NULL
           && strtoll (match, NULL, 10)
                  == json_integer_value (json_object_get (object, "version"));
  return true;
}

static void
handle_put (struct platform *p, struct bd_http_exchange *x, const char *key)
{
  json_t *object = json_object_get (p->objects, key);
  json_t *value = json_loadb (x->body != NULL ? x->body : "", x->body_size,
                              JSON_DECODE_ANY, NULL);

  if (value == NULL || x->body_size > 1 << 20)
    {
      json_decref (value);
      fake_respond_json (x, 400, json_object ());
      return;
    }
  if (!is_condition_met (x, object))
    {
      p->conflicts++;
      json_decref (value);
      fake_respond_json (x, 412, json_object ());
      return;
    }
  p->revision++;
  object = json_pack ("{s:I,s:o}", "version", (json_int_t)p->revision, "value",
                      value);
  json_object_set_new (p->objects, key, object);
  if (p->replies_to_lose > 0)
    {
      p->replies_to_lose--;
      bd_http_abort (x);
    }
  else
    respond_object (x, 200, object);
  notify_watches (p);
}

static void
publish_instances (struct tevent_context *events, struct tevent_timer *timer,
                   struct timeval now, void *private_data)
{
  struct platform *p = private_data;

  (void)events;
  (void)timer;
  (void)now;
  json_decref (p->visible_instances);
  p->visible_instances = json_incref (p->instances);
}

static void
set_instances (struct platform *p, struct bd_http_exchange *x)
{
  json_t *list
      = json_loadb (x->body != NULL ? x->body : "", x->body_size, 0, NULL);

  if (list == NULL)
    {
      fake_respond_json (x, 400, json_object ());
      return;
    }
  json_decref (p->instances);
  p->instances = list;
  fake_schedule (p->events, p, p->instances_lag_ms, publish_instances, p);
  fake_respond_json (x, 200, json_object ());
}

/* Removes the objects newer than revision, as a restore from a backup does. */
static void
restore (struct platform *p, int64_t revision)
{
  const char *key;
  json_t *object;
  void *next;

  json_object_foreach_safe (p->objects, next, key, object)
    if (json_integer_value (json_object_get (object, "version")) > revision)
      json_object_del (p->objects, key);
}

static void
set_faults (struct platform *p, struct bd_http_exchange *x)
{
  json_t *faults
      = json_loadb (x->body != NULL ? x->body : "", x->body_size, 0, NULL);
  const char *name;
  json_t *value;

  json_object_foreach (faults, name, value)
    {
      if (strcmp (name, "outage") == 0)
        p->is_down = json_is_true (value);
      else if (strcmp (name, "weights_down") == 0)
        p->are_weights_down = json_is_true (value);
      else if (strcmp (name, "slow_ms") == 0)
        p->slow_ms = (uint32_t)json_integer_value (value);
      else if (strcmp (name, "lose_answers") == 0)
        p->replies_to_lose = (uint32_t)json_integer_value (value);
      else if (strcmp (name, "restore") == 0)
        restore (p, json_integer_value (value));
    }
  json_decref (faults);
  fake_respond_json (x, 200, json_object ());
}

static void
respond_record (struct platform *p, struct bd_http_exchange *x)
{
  uint32_t waiting = 0;

  for (struct watch *w = p->watch_list; w != NULL; w = w->next)
    waiting++;
  fake_respond_json (
      x, 200,
      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "revision",
                 (json_int_t)p->revision, "reads", (json_int_t)p->reads,
                 "writes", (json_int_t)p->writes, "watches",
                 (json_int_t)p->watches, "waiting", (json_int_t)waiting,
                 "limited", (json_int_t)p->rate_limited, "conflicts",
                 (json_int_t)p->conflicts));
}

/* Counts a call.  Returns whether it is within the rate, in calls per second,
   of the current window of one second.  */
static bool
consume_rate (struct platform *p, int *used, int rate)
{
  int64_t now_ms = fake_now_ms ();

  if (now_ms - p->window_start_ms >= 1000)
    {
      p->window_start_ms = now_ms;
      p->window_reads = 0;
      p->window_writes = 0;
      p->window_weights = 0;
    }
  if (++*used <= rate)
    return true;
  p->rate_limited++;
  return false;
}

static void
handle_weights (struct platform *p, struct bd_http_exchange *x)
{
  if (p->are_weights_down
      || !consume_rate (p, &p->window_weights, p->weights_per_s))
    fake_respond_json (x, 429, json_object ());
  else
    fake_respond_json (x, 200, json_object ());
}

/* The Object API, subject to the rates and to the fault slow_ms.  */
static void
handle_objects (struct platform *p, struct bd_http_exchange *x)
{
  bool is_write = strcmp (x->method, "PUT") == 0;
  bool is_within_rate
      = is_write ? consume_rate (p, &p->window_writes, p->writes_per_s)
                 : consume_rate (p, &p->window_reads, p->reads_per_s);

  if (is_write)
    p->writes++;
  else
    p->reads++;
  if (!is_within_rate)
    fake_respond_json (x, 429, json_object ());
  else if (strncmp (x->path, "/watch", 6) == 0)
    handle_watch (p, x);
  else if (strncmp (x->path, "/list", 5) == 0)
    respond_changes (p, x, changes_since (p, bd_http_query (x, "prefix"), 0));
  else if (is_write)
    handle_put (p, x, x->path + strlen ("/objects/"));
  else
    handle_get (p, x, x->path + strlen ("/objects/"));
}

static void
handle_delayed (struct tevent_context *events, struct tevent_timer *timer,
                struct timeval now, void *private_data)
{
  struct bd_http_exchange *x = private_data;

  (void)events;
  (void)timer;
  (void)now;
  handle_objects (x->server->ctx, x);
}

static void
handle_request (void *ctx, struct bd_http_exchange *x)
{
  struct platform *p = ctx;

  if (strcmp (x->path, "/faults") == 0)
    set_faults (p, x);
  else if (strcmp (x->path, "/record") == 0)
    respond_record (p, x);
  else if (p->is_down)
    bd_http_abort (x);
  else if (strcmp (x->path, "/instances") == 0)
    {
      if (strcmp (x->method, "PUT") == 0)
        set_instances (p, x);
      else
        fake_respond_json (x, 200, json_incref (p->visible_instances));
    }
  else if (strncmp (x->path, "/weights/", 9) == 0)
    handle_weights (p, x);
  else if (p->slow_ms > 0)
    fake_schedule (p->events, x, p->slow_ms, handle_delayed, x);
  else
    handle_objects (p, x);
}

static size_t
max_body (void *ctx, const char *path)
{
  (void)ctx;
  (void)path;
  return 2 << 20;
}

static void
handle_disconnect (void *ctx, struct bd_http_exchange *x)
{
  if (x->user != NULL)
    remove_watch (ctx, x->user);
  x->user = NULL;
}

static void
handle_writable (void *ctx, struct bd_http_exchange *x)
{
  (void)ctx;
  (void)x;
}

static const struct bd_http_server_ops ops
    = { max_body, handle_request, handle_disconnect, handle_writable };

bool
fake_platform_start (struct tevent_context *events,
                     const struct fake_options *options)
{
  struct platform *p = talloc_zero (events, struct platform);

  p->events = events;
  p->objects = json_object ();
  p->instances = json_pack ("{s:[]}", "instances");
  p->visible_instances = json_incref (p->instances);
  p->instances_lag_ms = (uint32_t)fake_option_int (options, "lag_ms", 0);
  p->reads_per_s = fake_option_int (options, "reads_per_s", 2000);
  p->writes_per_s = fake_option_int (options, "writes_per_s", 400);
  p->weights_per_s = fake_option_int (options, "weights_per_s", 100);
  return bd_http_server_init (
      &p->server, events, fake_option (options, "address", "127.0.0.1"),
      (uint32_t)fake_option_int (options, "port", 0), 4096, &ops, p);
}

/* Checks that a daemon takes a response as one request's own only if that is
   certain.  The endpoint writes refusals once more, or sends responses that
   nobody has asked for, on connections that are kept.  */

#include "platform/platform.h"
#include "tests/fakes/raw.h"
#include "tests/fakes/site.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

enum
{
  RUN_MS = 300,
  BACKOFF_MS = 100, /* Longer than after a refusal.  */
  IDLE_COPY_MS = 20,
  LATE_COPY_MS = 200,
  NEXT_CALL_MS = 80,
  READY_MS = 10000,
  MAX_RUNS = 64,
  SAFE_RUNS = 2 /* Allowed by the route.  */
};

/* What the endpoint does.  */
struct script
{
  uint32_t refusals;   /* Requests refused, from the first one on.  */
  bool has_id;         /* The refusals and their copies have one.  */
  bool is_empty;       /* They have no body.  */
  int64_t copy_ms;     /* Delay of the copy.  */
  bool has_extra;      /* On each connection, a late refusal without an id
                          while the second request runs.  */
  bool has_idle_extra; /* Each response is followed by a refusal.  */
  bool is_stream;
  const char *other_field; /* Before or after the id of a response.  */
  bool is_before;
  const char *status_line; /* Of a response in a chunk; NULL for none.  */
  const char *trailer;
};

static struct site site;
static struct raw_endpoint endpoint;
static struct script script;
static uint32_t request_count;
static char run_ids[MAX_RUNS][BD_NAME_SIZE];
static uint32_t run_count;

static char *
make_refusal (void *ctx, const struct raw_request *request)
{
  const char *body = script.is_empty ? "" : "full";
  char *id = script.has_id ? talloc_asprintf (ctx, "Attempt-Id: %s\r\n",
                                              request->attempt_id)
                           : talloc_strdup (ctx, "");

  return talloc_asprintf (ctx,
                          "HTTP/1.1 503 Service Unavailable\r\n%s"
                          "Not-Executed: 1\r\nContent-Length: %zu\r\n\r\n%s",
                          id, strlen (body), body);
}

/* A refusal with copy_ms 0 is in one segment with its copy.  */
static void
refuse (struct raw_connection *c, const struct raw_request *request)
{
  char *text = make_refusal (c, request);

  if (script.copy_ms == 0)
    text = talloc_asprintf (c, "%s%s", text, text);
  raw_send (c, text, 0);
  if (script.copy_ms > 0)
    raw_send (c, text, script.copy_ms);
}

static void
respond (struct raw_connection *c, const struct raw_request *request)
{
  const char *type = script.is_stream ? "text/event-stream" : "text/plain";
  char *body = talloc_asprintf (
      c, script.is_stream ? "id: 1\ndata: %s\n\n" : "%s", request->attempt_id);
  const char *other = script.other_field != NULL ? script.other_field : "";
  char *text = talloc_asprintf (
      c,
      "HTTP/1.1 200 OK\r\n%sAttempt-Id: %s\r\n%s"
      "Response-Seal: s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n%s",
      script.is_before ? other : "", request->attempt_id,
      script.is_before ? "" : other, type, strlen (body), body);

  raw_send (c, text, RUN_MS);
  if (script.has_idle_extra)
    raw_send (c, make_refusal (c, request), RUN_MS + IDLE_COPY_MS);
}

static void
respond_with_trailer (struct raw_connection *c,
                      const struct raw_request *request)
{
  char *text = talloc_asprintf (c,
                                "HTTP/1.1 %s\r\nAttempt-Id: %s\r\n"
                                "Content-Type: text/plain\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "%zx\r\n%s\r\n0\r\n%s\r\n\r\n",
                                script.status_line, request->attempt_id,
                                strlen (request->attempt_id),
                                request->attempt_id, script.trailer);

  raw_send (c, text, 0);
}

static void
run (struct raw_connection *c, const struct raw_request *request)
{
  if (run_count < MAX_RUNS)
    bd_name_copy (run_ids[run_count++], request->attempt_id);
  if (script.trailer != NULL)
    {
      respond_with_trailer (c, request);
      return;
    }
  if (script.has_extra && c->requests > 1)
    raw_send (c, make_refusal (c, request), LATE_COPY_MS);
  respond (c, request);
}

static void
handle (struct raw_connection *c, const struct raw_request *request)
{
  if (request->attempt_id[0] == '\0')
    return;
  if (++request_count <= script.refusals)
    refuse (c, request);
  else
    run (c, request);
}

static uint32_t
runs_of (const char *id)
{
  uint32_t runs = 0;

  for (uint32_t i = 0; i < run_count; i++)
    runs += strcmp (run_ids[i], id) == 0;
  return runs;
}

/* Plain streams: the streaming route leads to the endpoint.  */
static void
route_streams (void)
{
  json_t *routes = json_object_get (site.config, "Routes");

  json_object_set_new (json_array_get (routes, 2), "Service",
                       json_string ("plain"));
  site_publish (&site);
}

static void
start_site (void)
{
  site_start (&site, 1, 0);
  route_streams ();
  bd_http_server_finish (&site.workers[0].server);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  site_wait (&site, LATE_COPY_MS);
}

/* Replaces the endpoint; all its connections end.  */
static void
start_endpoint (const struct script *s)
{
  script = *s;
  request_count = 0;
  run_count = 0;
  raw_start (&endpoint, site.events, site.workers[0].port, handle, NULL);
  site_wait (&site, BACKOFF_MS);
}

static bool
is_promise (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static struct site_call *
start_call (const char *method, const char *path)
{
  return site_start_call (&site, method, path, "k1", NULL);
}

/* Waits for the end of a call and checks it against the endpoint's record.  */
static void
check_call (struct site_call *call, uint32_t max_runs, bool must_succeed)
{
  uint32_t runs;
  bool is_own;
  bool is_right;

  while (!call->is_done)
    tevent_loop_once (site.events);
  runs = runs_of (call->id);
  is_own = call->status != 200 || strstr (call->body, call->id) != NULL;
  is_right = is_own && runs <= max_runs
             && (runs == 0 || !is_promise (call->status))
             && (!must_succeed || call->status == 200);
  CU_ASSERT_TRUE (is_right);
  if (!is_right)
    printf ("\nstatus %u, %u runs; id %d, empty %d, copy after %d ms\n",
            call->status, runs, script.has_id, script.is_empty,
            (int)script.copy_ms);
}

/* A call is refused; the copy comes at once, before the next call is sent, or
   while the next one runs.  */
static void
check_copies (const char *method, const char *path, bool is_stream)
{
  static const struct script cases[]
      = { { .copy_ms = 0 },
          { .copy_ms = 0, .has_id = true },
          { .copy_ms = 0, .is_empty = true },
          { .copy_ms = 0, .is_empty = true, .has_id = true },
          { .copy_ms = IDLE_COPY_MS },
          { .copy_ms = IDLE_COPY_MS, .has_id = true },
          { .copy_ms = LATE_COPY_MS },
          { .copy_ms = LATE_COPY_MS, .has_id = true } };
  struct site_call *refused[sizeof cases / sizeof cases[0]];

  start_site ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct script s = cases[i];

      s.refusals = 1;
      s.is_stream = is_stream;
      start_endpoint (&s);
      refused[i] = start_call (method, path);
      site_wait (&site, NEXT_CALL_MS);
      CU_ASSERT_EQUAL (request_count, 1);
      check_call (start_call (method, path), 1, true);
      CU_ASSERT_EQUAL (runs_of (refused[i]->id), 0);
      raw_finish (&endpoint);
    }
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    check_call (refused[i], 0, false);
  site_finish (&site);
}

static void
test_copied_refusal_ends_safe_request_that_runs (void)
{
  check_copies ("GET", "/safe/x", false);
}

static void
test_copied_refusal_ends_unsafe_request_that_runs (void)
{
  check_copies ("POST", "/unsafe/x", false);
}

static void
test_copied_refusal_ends_stream_that_runs (void)
{
  check_copies ("POST", "/stream/x", true);
}

/* A refusal without an id can't be told from that of the request in flight.
 */
static void
test_refusal_without_id_on_kept_connection_is_taken_as_own (void)
{
  static const struct
  {
    const char *method;
    const char *path;
    uint32_t max_runs;
    bool is_stream;
    bool must_succeed;
  } cases[] = { { "GET", "/safe/x", SAFE_RUNS, false, false },
                { "POST", "/stream/x", SAFE_RUNS, true, false },
                { "POST", "/unsafe/x", 1, false, true } };

  start_site ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct script s = { .has_extra = true, .is_stream = cases[i].is_stream };

      start_endpoint (&s);
      for (uint32_t j = 0; j < 3; j++)
        check_call (start_call (cases[i].method, cases[i].path),
                    cases[i].max_runs, cases[i].must_succeed);
      raw_finish (&endpoint);
    }
  site_finish (&site);
}

/* What comes on an idle connection costs no request a run.  */
static void
test_response_on_idle_connection_ends_the_next_request (void)
{
  static const char *const paths[] = { "/safe/x", "/stream/x", "/unsafe/x" };

  start_site ();
  for (size_t i = 0; i < 2 * sizeof paths / sizeof paths[0]; i++)
    {
      struct script s = { .has_idle_extra = true,
                          .has_id = i % 2 == 0,
                          .is_stream = i / 2 == 1 };

      start_endpoint (&s);
      for (uint32_t j = 0; j < 3; j++)
        {
          check_call (start_call ("POST", paths[i / 2]), 1, true);
          site_wait (&site, NEXT_CALL_MS);
        }
      raw_finish (&endpoint);
    }
  site_finish (&site);
}

/* A trailer can't say that the request was not run, nor seal a response.  */
static void
test_trailer_is_taken_for_head (void)
{
  static const char *const status_lines[]
      = { "503 Service Unavailable", "429 Too Many Requests",
          "400 Bad Request", "200 OK" };

  start_site ();
  for (size_t i = 0; i < sizeof status_lines / sizeof status_lines[0]; i++)
    {
      struct script s = { .status_line = status_lines[i],
                          .trailer = "Not-Executed: 1\r\nResponse-Seal: s" };
      struct site_call *call;

      start_endpoint (&s);
      call = start_call ("POST", "/unsafe/x");
      check_call (call, 1, false);
      CU_ASSERT_NOT_EQUAL (call->status, 200);
      CU_ASSERT_EQUAL (runs_of (call->id), 1);
      raw_finish (&endpoint);
    }
  site_finish (&site);
}

static void
test_response_with_two_ids_is_taken_as_own (void)
{
  start_site ();
  for (size_t i = 0; i < 4; i++)
    {
      struct script s = { .other_field = "Attempt-Id: another\r\n",
                          .is_before = i % 2 == 0,
                          .is_stream = i >= 2 };
      struct site_call *call;

      start_endpoint (&s);
      call = start_call ("POST", s.is_stream ? "/stream/x" : "/unsafe/x");
      check_call (call, SAFE_RUNS, false);
      CU_ASSERT_EQUAL (call->status, 502);
      raw_finish (&endpoint);
    }
  site_finish (&site);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "copied refusal ends safe request that runs",
      test_copied_refusal_ends_safe_request_that_runs },
    { "copied refusal ends unsafe request that runs",
      test_copied_refusal_ends_unsafe_request_that_runs },
    { "copied refusal ends stream that runs",
      test_copied_refusal_ends_stream_that_runs },
    { "refusal without id on kept connection is taken as own",
      test_refusal_without_id_on_kept_connection_is_taken_as_own },
    { "response on idle connection ends the next request",
      test_response_on_idle_connection_ends_the_next_request },
    { "trailer is taken for head", test_trailer_is_taken_for_head },
    { "response with two ids is taken as own",
      test_response_with_two_ids_is_taken_as_own },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_responses", tests);
}

/* Guards against MIXED: endpoints in trouble send responses that are not valid
   HTTP.  No caller gets one as a response, or a status that promises that its
   request has not run; the endpoint is not taken for one that crashes.  */

#include "edge/edge_internal.h"
#include "platform/platform.h"
#include "tests/fakes/raw.h"
#include "tests/fakes/site.h"
#include "tests/malformed.h"
#include "tests/quiet.h"
#include "tests/second.h"
#include "tests/unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  READY_MS = 10000,
  LISTED_MS = 100,
  RUN_MS = 100, /* All calls are sent before the first one fails.  */
  CLOSE_MS = 20,
  MAX_CASES = 128,
  MIN_ORDERS = 1,
  /* Of the chunked bodies, three end with their connection before they are
     whole, as those of endpoints that crash do.  */
  MAX_CUT_RUNS = 6,
  SOUND_STREAMS = 100,
  SLOTS = 2 * SOUND_STREAMS,
  STREAM_EVENTS = 20,
  EVENT_MS = 50
};

/* Requests whose responses are malformed.  */
struct kind
{
  const char *method;
  const char *path;
  const char *status_line; /* Of a case that has none.  */
  const char *type;        /* Of the content.  */
  uint32_t max_runs;
};

static const struct kind kinds[] = {
  { "POST", "/unsafe", "HTTP/1.1 200 OK", "text/plain", 1 },
  { "GET", "/safe", "HTTP/1.1 200 OK", "text/plain", 2 },
  { "POST", "/stream", "HTTP/1.1 200 OK", "text/event-stream", 2 },
  { "POST", "/unsafe", "HTTP/1.1 404 Not Found", "text/plain", 1 },
};

static struct site site;
static struct raw_endpoint endpoint;
static const struct kind *kind;
static const struct response_case *cases; /* By the number in the path.  */
static uint32_t run_counts[MAX_CASES];

/* Sends a stream of SOUND_STREAMS, event by event.  */
static void
send_stream (struct raw_connection *c, const struct raw_request *request)
{
  raw_send (c,
            talloc_asprintf (c,
                             "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                             "Response-Seal: s\r\n"
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n",
                             request->attempt_id),
            0);
  for (int i = 1; i <= STREAM_EVENTS; i++)
    {
      char *event = talloc_asprintf (c, "id: %d\ndata: e\n\n", i);

      raw_send (c, talloc_asprintf (c, "%zx\r\n%s\r\n", strlen (event), event),
                (int64_t)i * EVENT_MS);
    }
  raw_send (c, "0\r\n\r\n", (int64_t)STREAM_EVENTS * EVENT_MS + 1);
}

static void
handle (struct raw_connection *c, const struct raw_request *request)
{
  size_t number;
  char *own;
  char *bytes;
  size_t size;

  if (request->attempt_id[0] == '\0')
    return;
  if (strcmp (request->path, "/stream/sound") == 0)
    {
      send_stream (c, request);
      return;
    }
  own = talloc_asprintf (
      c, "Attempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: %s\r\n",
      request->attempt_id, kind->type);
  /* Of second_cut_links().  */
  if (strcmp (request->path, "/safe/x") == 0)
    {
      raw_send (
          c,
          talloc_asprintf (
              c, "HTTP/1.1 200 OK\r\n%s" LENGTH "\r\n" RESPONSE_BODY, own),
          0);
      return;
    }
  number = (size_t)strtoul (strrchr (request->path, '/') + 1, NULL, 10);
  run_counts[number]++;
  bytes = response_make (c, &cases[number], kind->status_line, own, &size);
  raw_send_bytes (c, bytes, size, RUN_MS);
  raw_close (c, false, RUN_MS + CLOSE_MS);
}

/* Plain streams: the streaming route leads to the endpoint.  */
static void
start_site (void)
{
  json_t *routes;

  site_start (&site, 1, 0);
  routes = json_object_get (site.config, "Routes");
  json_object_set_new (json_array_get (routes, 2), "Service",
                       json_string ("plain"));
  site_publish (&site);
  bd_http_server_finish (&site.workers[0].server);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  raw_start (&endpoint, site.events, site.workers[0].port, handle, NULL);
  site.workers[0].slots = SLOTS;
  site_list_worker (&site.workers[0]);
  site_wait (&site, LISTED_MS);
}

static void
finish_site (void)
{
  raw_finish (&endpoint);
  site_finish (&site);
}

static struct site_call *
start_call (size_t number)
{
  char *path = talloc_asprintf (site.events, "%s/%zu", kind->path, number);

  return site_start_call (&site, kind->method, path, "k1", NULL);
}

static bool
is_promise (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool
has_body (const struct site_call *call)
{
  return call->body != NULL && strstr (call->body, "abcd") != NULL;
}

/* Whether a call has run and got neither the response nor a promise that it
   has not run.  */
static bool
is_refused (const struct site_call *call, size_t number)
{
  return run_counts[number] >= 1 && run_counts[number] <= kind->max_runs
         && call->status >= 500 && !is_promise (call->status)
         && call->seal == NULL && !has_body (call);
}

/* The same, or a stream that has begun and is cut.  */
static bool
is_cut (const struct site_call *call, size_t number)
{
  return is_refused (call, number)
         || (run_counts[number] >= 1 && run_counts[number] <= kind->max_runs
             && call->status == 200 && !call->is_complete);
}

static bool
is_whole (const struct site_call *call, size_t number)
{
  bool is_failure = strstr (kind->status_line, "404") != NULL
                    && cases[number].status_line == NULL;

  return run_counts[number] == 1 && call->is_complete && call->seal != NULL
         && call->status == (is_failure ? 404 : 200)
         && strcmp (call->body, RESPONSE_BODY) == 0;
}

typedef bool is_expected_outcome (const struct site_call *call, size_t number);

/* Runs all cases at once.  */
static void
check_kind (size_t count, is_expected_outcome *is_expected)
{
  struct site_call *calls[MAX_CASES];

  memset (run_counts, 0, sizeof run_counts);
  for (size_t i = 0; i < count; i++)
    calls[i] = start_call (i);
  for (size_t i = 0; i < count; i++)
    {
      bool is_right;

      while (!calls[i]->is_done)
        tevent_loop_once (site.events);
      is_right = is_expected (calls[i], i);
      CU_ASSERT_TRUE (is_right);
      if (!is_right)
        printf ("\n%s, %s: status %u, complete %d, %u runs, %s", cases[i].name,
                kind->path, calls[i]->status, calls[i]->is_complete,
                run_counts[i], calls[i]->body);
    }
}

static void
check_cases (const struct response_case *list, size_t count,
             is_expected_outcome *is_expected, uint64_t max_crashes)
{
  CU_ASSERT_TRUE_FATAL (count <= MAX_CASES);
  cases = list;
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      kind = &kinds[i];
      start_site ();
      check_kind (count, is_expected);
      CU_ASSERT_TRUE (site.edge->counters.value[BD_COUNT_POISON_CRASHES]
                      <= max_crashes);
      finish_site ();
    }
}

static void
test_malformed_head_is_forwarded (void)
{
  check_cases (malformed_heads, CASE_COUNT (malformed_heads), is_refused, 0);
}

static void
test_malformed_chunks_are_forwarded (void)
{
  check_cases (malformed_chunks, CASE_COUNT (malformed_chunks), is_cut,
               MAX_CUT_RUNS);
}

static void
test_sound_response_is_refused (void)
{
  check_cases (sound_responses, CASE_COUNT (sound_responses), is_whole, 0);
}

/* Sound streams of the same endpoint go on meanwhile.  */
static void
test_malformed_heads_beside_streams (void)
{
  struct site_call *streams[SOUND_STREAMS];

  cases = malformed_heads;
  kind = &kinds[0];
  start_site ();
  for (size_t i = 0; i < SOUND_STREAMS; i++)
    streams[i] = site_start_call (&site, "POST", "/stream/sound", "k1", NULL);
  for (size_t i = 0; i < CASE_COUNT (malformed_heads); i++)
    start_call (i);
  for (size_t i = 0; i < SOUND_STREAMS; i++)
    {
      while (!streams[i]->is_done)
        tevent_loop_once (site.events);
      CU_ASSERT_TRUE (streams[i]->is_complete);
      CU_ASSERT_EQUAL (streams[i]->status, 200);
      CU_ASSERT_PTR_NOT_NULL (
          strstr (streams[i]->body, "id: 20\ndata: e\n\n"));
    }
  finish_site ();
}

/* The requests of a daemon that has lost its links run at another one.  */
static void
test_malformed_head_is_handed_over (void)
{
  static const uint32_t handed_over[] = { 0, 1 };

  cases = malformed_heads;
  for (size_t i = 0; i < sizeof handed_over / sizeof handed_over[0]; i++)
    {
      kind = &kinds[handed_over[i]];
      start_site ();
      second_start (&site, NULL);
      second_cut_links (&site);
      check_kind (CASE_COUNT (malformed_heads), is_refused);
      CU_ASSERT_TRUE (second->counters.value[BD_COUNT_HANDED_OVER]
                      >= CASE_COUNT (malformed_heads));
      second_finish ();
      finish_site ();
    }
}

static uint32_t order_count;

/* Refuses each order, and says that the term is over, by a malformed head.  */
static void
refuse_order (struct raw_connection *c, const struct raw_request *request)
{
  order_count += strcmp (request->path, "/order") == 0;
  raw_send (c,
            "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 2\r\n"
            "X A: b\r\n\r\n{}",
            0);
  raw_close (c, false, CLOSE_MS);
}

static bool
has_refused_orders (struct site *s)
{
  (void)s;
  return order_count >= MIN_ORDERS;
}

static void
test_malformed_response_answers_an_order (void)
{
  site_start (&site, 0, 4);
  for (uint32_t i = 0; i < site.worker_count; i++)
    bd_http_server_finish (&site.workers[i].server);
  raw_start (&endpoint, site.events, site.workers[0].port, refuse_order, NULL);
  CU_ASSERT_TRUE (site_run (&site, has_refused_orders, READY_MS));
  site_wait (&site, LISTED_MS);
  CU_ASSERT_TRUE (endpoint.connections > 0);
  CU_ASSERT_EQUAL (site.edge->counters.value[BD_COUNT_ORDERS_REFUSED], 0);
  finish_site ();
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "malformed head is forwarded", test_malformed_head_is_forwarded },
    { "malformed chunks are forwarded", test_malformed_chunks_are_forwarded },
    { "sound response is refused", test_sound_response_is_refused },
    { "malformed heads beside streams", test_malformed_heads_beside_streams },
    { "malformed head is handed over", test_malformed_head_is_handed_over },
    { "malformed response answers an order",
      test_malformed_response_answers_an_order },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_malformed", tests);
}

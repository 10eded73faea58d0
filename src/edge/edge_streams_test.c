/* Checks what a caller gets of a stream whose endpoint breaks off, and which
   the next endpoint answers with an error or with bytes that don't fit: whole
   events in order, and either the rest or a broken transfer.  */

#include "base/timer.h"
#include "edge/edge_internal.h"
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
  ENDPOINTS = 3,
  FIRST_EVENTS = 3,
  EVENTS = 6,
  EVENT_MS = 5,
  BREAK_MS = 30,
  RETRY_SLACK = 1000,
  OTHER_DAEMONS = 2,
  OTHER_PORT = 25185,
  PORTS_PER_DAEMON = 5,
  LOST_PORT = 25230,
  CUT_CHECK_MS = 5,
  START_MS = 1500, /* Until the daemons know each other.  */
  READY_MS = 10000,
  SETTLE_MS = 300,
  BACKOFF_MS = 900 /* Longer than after an endpoint was unreachable.  */
};

enum ending
{
  KEPT,
  CLOSED,
  RESET
};

/* Bytes that are sent in place of a response; %s is the request's id.  */
struct bytes
{
  const char *text;
  enum ending ending;
};

#define HEAD(status) "HTTP/1.1 " status "\r\nAttempt-Id: %s\r\n"
#define SEAL "Response-Seal: s\r\n"
#define STREAM "Content-Type: text/event-stream\r\n"
#define EVENT(n) "id: " n "\ndata: e" n "\n\n"
#define ERROR_HEAD "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\n"
#define WRONG_EVENTS "id: 4\ndata: x4\n\nid: 5\ndata: x5\n\n"

static struct site site;
static struct raw_endpoint endpoints[ENDPOINTS];
static uint32_t request_count;
static struct bytes first_bytes;
static struct bytes second_bytes;

static void
end_bytes (struct raw_connection *c, enum ending ending)
{
  if (ending != KEPT)
    raw_close (c, ending == RESET, BREAK_MS);
}

static void
send_bytes (struct raw_connection *c, const struct raw_request *request,
            const struct bytes *bytes)
{
  char *text = talloc_strdup (c, bytes->text);
  char *place = strstr (text, "%s");

  if (place != NULL)
    {
      *place = '\0';
      text = talloc_asprintf (c, "%s%s%s", text, request->attempt_id,
                              place + strlen ("%s"));
    }
  raw_send (c, text, EVENT_MS);
  end_bytes (c, bytes->ending);
}

/* The events after the last one that the caller has, and the end.  */
static void
send_rest (struct raw_connection *c, const struct raw_request *request)
{
  char *text = talloc_asprintf (c, HEAD ("200 OK") SEAL STREAM "\r\n",
                                request->attempt_id);

  for (int64_t id
       = request->last_event_id < 0 ? 1 : request->last_event_id + 1;
       id <= EVENTS; id++)
    text = talloc_asprintf_append (text, "id: %d\ndata: e%d\n\n", (int)id,
                                   (int)id);
  raw_send (c, text, EVENT_MS);
  end_bytes (c, CLOSED);
}

static void
handle (struct raw_connection *c, const struct raw_request *request)
{
  if (request->attempt_id[0] == '\0')
    return;
  request_count++;
  if (request_count == 1)
    send_bytes (c, request, &first_bytes);
  else if (request_count == 2 && second_bytes.text != NULL)
    send_bytes (c, request, &second_bytes);
  else
    send_rest (c, request);
}

static void
start_site (void)
{
  json_t *route;

  site_start (&site, ENDPOINTS, 0);
  route = json_array_get (json_object_get (site.config, "Routes"), 2);
  json_object_set_new (route, "Service", json_string ("plain"));
  json_object_set_new (route, "MaxAttempts", json_integer (ENDPOINTS));
  site_publish (&site);
  site.settings.bounds.retry_slack = RETRY_SLACK;
  bd_edge_reload (site.edge, &site.settings);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      bd_http_server_finish (&site.workers[i].server);
      raw_start (&endpoints[i], site.events, site.workers[i].port, handle,
                 NULL);
    }
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  site_wait (&site, SETTLE_MS);
}

static void
finish_site (void)
{
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    raw_finish (&endpoints[i]);
  site_finish (&site);
}

/* Points the links of the first daemon to a port that nobody serves.  */
static void
cut_links (void *ctx)
{
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    bd_fleet_endpoint (&site.edge->fleet, site.workers[i].id)->entry.port
        = LOST_PORT;
  bd_timer_add (site.events, site.events, CUT_CHECK_MS, cut_links, ctx);
}

/* The number of events that text consists of; -1 if it has other bytes.  */
static int32_t
count_events (const char *text)
{
  int32_t count = 0;

  while (*text != '\0')
    {
      char event[64];

      snprintf (event, sizeof event, "id: %d\ndata: e%d\n\n", count + 1,
                count + 1);
      if (strncmp (text, event, strlen (event)) != 0)
        return -1;
      text += strlen (event);
      count++;
    }
  return count;
}

/* Whether the response to the caller is a stream that ends as it should, or
   no success at all.  */
static bool
is_right (const struct site_call *call, bool is_end_unknown)
{
  int32_t events = count_events (call->body);

  if (call->status != 200)
    return call->status >= 400;
  return call->seal != NULL && events >= 0
         && (events == EVENTS || !call->is_complete || is_end_unknown);
}

static void
check_stream (const char *name, bool is_end_unknown)
{
  /* A request that breaks off again and again would count as poison.  */
  static uint32_t serial;
  char path[32];
  struct site_call *call;

  snprintf (path, sizeof path, "/stream/%u", ++serial);
  request_count = 0;
  call = site_call (&site, "POST", path, "k1", NULL);
  CU_ASSERT_TRUE (is_right (call, is_end_unknown));
  if (!is_right (call, is_end_unknown))
    printf ("\n%s: %u, %s, %u requests: %s", name, call->status,
            call->is_complete ? "complete" : "broken", request_count,
            call->body);
  site_wait (&site, BACKOFF_MS);
}

static const struct bytes breaks_off
    = { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("1") EVENT ("2") EVENT ("3"),
        RESET };

/* What the second endpoint sends.  */
static const struct
{
  const char *name;
  struct bytes bytes;
  bool is_end_unknown;
} second_cases[] = {
  { "500 with text",
    { HEAD ("500 Error") SEAL "Content-Length: 4\r\n\r\noops", KEPT },
    false },
  { "500 with text and no length",
    { HEAD ("500 Error") SEAL "\r\noops\n\n", CLOSED },
    false },
  { "500 as a stream",
    { HEAD ("500 Error") SEAL STREAM "\r\n" WRONG_EVENTS, CLOSED },
    false },
  { "refusal",
    { HEAD ("503 Full") "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
      KEPT },
    false },
  { "404",
    { HEAD ("404 Not Found") SEAL "Content-Length: 4\r\n\r\nnone", KEPT },
    false },
  { "200 that is no stream",
    { HEAD ("200 OK") SEAL "Content-Length: 4\r\n\r\noops", KEPT },
    false },
  { "stream without a seal",
    { HEAD ("200 OK") STREAM "\r\n" WRONG_EVENTS, CLOSED },
    false },
  { "stream with an encoding",
    { HEAD ("200 OK") SEAL STREAM "Content-Encoding: x\r\n\r\n" WRONG_EVENTS,
      CLOSED },
    false },
  { "id that skips",
    { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("5") EVENT ("6"), CLOSED },
    false },
  { "older events first",
    { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("1") EVENT ("2") EVENT ("3")
          EVENT ("4") EVENT ("5") EVENT ("6"),
      CLOSED },
    false },
  { "no event and a clean end, with a length",
    { HEAD ("200 OK") SEAL STREAM "Content-Length: 0\r\n\r\n", KEPT },
    true },
  { "no event and no length",
    { HEAD ("200 OK") SEAL STREAM "\r\n", CLOSED },
    false },
  { "clean end before the last event",
    { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("4"), CLOSED },
    true },
  { "no length and a reset",
    { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("4"), RESET },
    false },
  { "end inside an event",
    { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("4") "id: 5\nda", CLOSED },
    false },
  { "event without an id",
    { HEAD ("200 OK") SEAL STREAM "\r\ndata: oops\n\n", CLOSED },
    false },
  { "error event",
    { HEAD ("200 OK") SEAL STREAM
      "\r\n" EVENT ("4") "event: error\ndata: oops\n\n",
      CLOSED },
    false },
  { "response inside a stream",
    { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("4") ERROR_HEAD "oops\n\n",
      CLOSED },
    false },
  { "response inside an event",
    { HEAD ("200 OK") SEAL STREAM
      "\r\n" EVENT ("4") "id: 5\ndata: e" ERROR_HEAD "oops\n\n",
      CLOSED },
    false },
  { "response before an event",
    { HEAD ("200 OK") SEAL STREAM "\r\n" ERROR_HEAD "oops\n" EVENT ("4")
          EVENT ("5") EVENT ("6"),
      CLOSED },
    false },
};

enum
{
  SECOND_CASES = sizeof second_cases / sizeof second_cases[0]
};

static void
check_second_cases (void)
{
  first_bytes = breaks_off;
  for (size_t i = 0; i < SECOND_CASES; i++)
    {
      second_bytes = second_cases[i].bytes;
      check_stream (second_cases[i].name, second_cases[i].is_end_unknown);
    }
}

static void
test_error_after_stream_has_begun_reaches_caller (void)
{
  start_site ();
  check_second_cases ();
  finish_site ();
}

/* The first daemon has no links.  The second one begins the stream, which
   breaks off; the third one gets the bytes that do not fit.  */
static void
test_error_of_daemon_that_takes_stream_over_reaches_caller (void)
{
  struct bd_edge_settings settings[OTHER_DAEMONS];
  struct bd_edge *daemons[OTHER_DAEMONS];

  start_site ();
  for (uint32_t i = 0; i < OTHER_DAEMONS; i++)
    {
      char name[BD_NAME_SIZE];

      snprintf (name, sizeof name, "edge-%u", i + 2);
      settings[i]
          = site_settings (&site, name, OTHER_PORT + i * PORTS_PER_DAEMON);
      daemons[i] = bd_edge_start (site.events, site.events, &settings[i],
                                  &bd_platform_adapter);
    }
  site_wait (&site, START_MS);
  cut_links (NULL);
  check_second_cases ();
  CU_ASSERT_TRUE (daemons[0]->counters.value[BD_COUNT_TAKEN_OVER]
                      + daemons[1]->counters.value[BD_COUNT_TAKEN_OVER]
                  >= 2 * SECOND_CASES);
  for (uint32_t i = 0; i < OTHER_DAEMONS; i++)
    bd_edge_finish (daemons[i]);
  finish_site ();
}

static void
test_error_of_first_endpoint_reaches_caller (void)
{
  static const struct
  {
    const char *name;
    struct bytes bytes;
  } cases[] = {
    { "response after three events",
      { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("1") EVENT ("2") EVENT ("3")
            ERROR_HEAD "oops\n\n",
        CLOSED } },
    { "response inside an event",
      { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("1")
            EVENT ("2") "id: 3\nda" ERROR_HEAD "oops\n\n",
        CLOSED } },
    { "error event after three",
      { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("1") EVENT ("2")
            EVENT ("3") "event: error\ndata: oops\n\n",
        CLOSED } },
    { "end inside an event",
      { HEAD ("200 OK") SEAL STREAM "\r\n" EVENT ("1") "id: 2\n", CLOSED } },
    { "length that is not reached",
      { HEAD ("200 OK") SEAL STREAM "Content-Length: 99\r\n\r\n" EVENT ("1"),
        CLOSED } },
    { "chunks without an end",
      { HEAD ("200 OK") SEAL STREAM "Transfer-Encoding: chunked\r\n\r\n"
                                    "10\r\n" EVENT ("1") "\r\n",
        CLOSED } },
    { "response between chunks",
      { HEAD ("200 OK") SEAL STREAM "Transfer-Encoding: chunked\r\n\r\n"
                                    "10\r\n" EVENT ("1") "\r\n" ERROR_HEAD
                                                         "oops\n\n",
        CLOSED } },
    { "no event and no length",
      { HEAD ("200 OK") SEAL STREAM "\r\n", CLOSED } },
    { "stream without a seal",
      { HEAD ("200 OK") STREAM "\r\n" EVENT ("1") EVENT ("2"), RESET } },
  };

  start_site ();
  second_bytes.text = NULL;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      first_bytes = cases[i].bytes;
      check_stream (cases[i].name, false);
    }
  finish_site ();
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "error after a stream has begun reaches the caller",
            test_error_after_stream_has_begun_reaches_caller },
          { "error of a daemon that takes a stream over reaches the caller",
            test_error_of_daemon_that_takes_stream_over_reaches_caller },
          { "error of the first endpoint reaches the caller",
            test_error_of_first_endpoint_reaches_caller } };

  unit_silence_log ();
  return UNIT_RUN ("edge_streams", tests);
}

/* Checks that a response whose head breaks off is never forwarded as a whole
   one, wherever it breaks off.  */

#include "tests/fakes/raw.h"
#include "tests/fakes/site.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  READY_MS = 10000,
  MAX_CUTS = 256,
  BATCH = 64,   /* Calls that run at once.  */
  ID_SIZE = 16, /* Of the ids of site_start_call().  */
  SAFE_RUNS = 2
};

/* A response, and the kind of request that it is for.  The id of the request
   takes the place of %s.  */
struct response
{
  const char *method;
  const char *path;
  const char *text;
  uint32_t status;
  uint32_t max_runs;
};

static struct site site;
static struct raw_endpoint endpoint;
static const struct response *current;
static bool is_reset;
static uint32_t runs[MAX_CUTS]; /* By the size of the prefix sent.  */

static char *
make_response (void *ctx, const char *id)
{
  const char *place = strstr (current->text, "%s");

  return talloc_asprintf (ctx, "%.*s%s%s", (int)(place - current->text),
                          current->text, id, place + 2);
}

/* Sends as much of the response as the path says, and closes the
   connection.  */
static void
handle (struct raw_connection *c, const struct raw_request *request)
{
  const char *last = strrchr (request->path, '/');
  uint32_t size = last != NULL ? (uint32_t)strtoul (last + 1, NULL, 10) : 0;
  char *text;

  if (request->attempt_id[0] == '\0' || size >= MAX_CUTS)
    return;
  runs[size]++;
  text = make_response (c, request->attempt_id);
  text[size] = '\0';
  if (size > 0)
    raw_send (c, text, 0);
  raw_close (c, is_reset, is_reset ? 1 : 0);
}

static void
start_site (void)
{
  json_t *routes;

  site_start (&site, 1, 0);
  /* The streaming route leads to the plain endpoint.  */
  routes = json_object_get (site.config, "Routes");
  json_object_set_new (json_array_get (routes, 2), "Service",
                       json_string ("plain"));
  site_publish (&site);
  bd_http_server_finish (&site.workers[0].server);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  raw_start (&endpoint, site.events, site.workers[0].port, handle, NULL);
}

static void
finish_site (void)
{
  raw_finish (&endpoint);
  site_finish (&site);
}

static bool
is_promise (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
check_call (const struct site_call *call, uint32_t size)
{
  bool is_right = !(call->status == current->status && call->is_complete)
                  && (runs[size] == 0 || !is_promise (call->status))
                  && runs[size] <= current->max_runs;

  CU_ASSERT_TRUE (is_right);
  if (!is_right)
    printf ("\n%s: %u bytes, %s: status %u, complete %d, %u runs\n",
            current->path, size, is_reset ? "reset" : "closed", call->status,
            call->is_complete, runs[size]);
}

/* Calls with each size from first to last - 1.  */
static void
check_sizes (uint32_t first, uint32_t last)
{
  struct site_call *calls[BATCH];

  for (uint32_t i = 0; i < last - first; i++)
    {
      char *path
          = talloc_asprintf (site.events, "%s%u", current->path, first + i);

      calls[i] = site_start_call (&site, current->method, path, "k1", NULL);
    }
  for (uint32_t i = 0; i < last - first; i++)
    {
      while (!calls[i]->is_done)
        tevent_loop_once (site.events);
      check_call (calls[i], first + i);
    }
}

/* Breaks the response off at each of its bytes.  */
static void
check_response (const struct response *response)
{
  uint32_t size
      = (uint32_t)(strlen (response->text) - strlen ("%s") + ID_SIZE);

  current = response;
  for (uint32_t reset = 0; reset < 2; reset++)
    {
      is_reset = reset != 0;
      memset (runs, 0, sizeof runs);
      for (uint32_t first = 0; first < size; first += BATCH)
        check_sizes (first, first + BATCH < size ? first + BATCH : size);
    }
}

#define HEAD                                                                  \
  "Attempt-Id: %s\r\nResponse-Seal: 1\r\nContent-Type: text/plain\r\n"        \
  "Content-Length: 12\r\n\r\n"

static void
test_incomplete_head_of_success_is_a_response (void)
{
  static const struct response responses[]
      = { { "POST", "/unsafe/", "HTTP/1.1 200 OK\r\n" HEAD "whole answer", 200,
            1 },
          { "GET", "/safe/", "HTTP/1.1 200 OK\r\n" HEAD "whole answer", 200,
            SAFE_RUNS } };

  start_site ();
  for (size_t i = 0; i < sizeof responses / sizeof responses[0]; i++)
    check_response (&responses[i]);
  finish_site ();
}

static void
test_incomplete_head_of_failure_is_a_response (void)
{
  static const struct response response
      = { "POST", "/unsafe/", "HTTP/1.1 404 Not Found\r\n" HEAD "no such item",
          404, 1 };

  start_site ();
  check_response (&response);
  finish_site ();
}

static void
test_incomplete_head_of_stream_is_a_response (void)
{
  static const struct response response
      = { "POST", "/stream/",
          "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: 1\r\n"
          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
          "\r\n14\r\nid: 1\ndata: x\n\nid: 2\r\n0\r\nX-Trailer: 1\r\n\r\n",
          200, SAFE_RUNS };

  start_site ();
  check_response (&response);
  finish_site ();
}

static void
test_incomplete_head_after_interim_is_a_response (void)
{
  static const struct response response
      = { "POST", "/unsafe/",
          "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
          "HTTP/1.1 200 OK\r\n" HEAD "whole answer",
          200, 1 };

  start_site ();
  check_response (&response);
  finish_site ();
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "incomplete head of success is a response",
      test_incomplete_head_of_success_is_a_response },
    { "incomplete head of failure is a response",
      test_incomplete_head_of_failure_is_a_response },
    { "incomplete head of stream is a response",
      test_incomplete_head_of_stream_is_a_response },
    { "incomplete head after interim response is a response",
      test_incomplete_head_after_interim_is_a_response },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_incomplete_heads", tests);
}

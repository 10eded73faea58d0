/* Guards against MIXED and LOST: responses that are not valid HTTP reach
   nobody as a response, whatever the connection has brought before, and leave
   the client whole.  */

#include "base/timer.h"
#include "http/client.h"
#include "tests/fakes/raw.h"
#include "tests/loopback.h"
#include "tests/unit.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

enum
{
  RAW_PORT = 25087,
  CLOSE_MS = 20,
  TIMEOUT_MS = 3000,
  MAX_IDLE = 4
};

static struct tevent_context *events;
static struct raw_endpoint endpoint;

/* A call and what came of it.  */
struct outcome
{
  bool is_done;
  bool is_complete;
};

static void
handle_done (void *ctx, struct bd_http_call *call,
             const struct bd_http_result *result)
{
  struct outcome *outcome = ctx;

  (void)call;
  outcome->is_done = true;
  outcome->is_complete = result->is_complete;
}

static const struct bd_http_call_ops ops = { .done = handle_done };

static void
start_call (struct bd_http_client *client, const char *path,
            struct outcome *outcome)
{
  char url[64];
  struct bd_http_request request
      = { .method = "GET", .url = url, .timeout_ms = TIMEOUT_MS };

  memset (outcome, 0, sizeof *outcome);
  snprintf (url, sizeof url, "http://%s:%u%s", loopback_address (), RAW_PORT,
            path);
  CU_ASSERT_PTR_NOT_NULL_FATAL (
      bd_http_send (client, &request, &ops, outcome));
}

static void
wait_for (const struct outcome *outcome)
{
  while (!outcome->is_done)
    tevent_loop_once (events);
}

/* The first response is sound and has fields; the line after the status line
   of later ones begins with a blank.  */
static void
send_folded_line (struct raw_connection *c, const struct raw_request *request)
{
  if (strcmp (request->path, "/sound") == 0)
    {
      raw_send (c,
                "HTTP/1.1 200 OK\r\nX-First: 1\r\nX-Last: 2\r\n"
                "Content-Length: 2\r\n\r\nok",
                0);
      return;
    }
  raw_send (c, "HTTP/1.1 200 OK\r\n X: y\r\nContent-Length: 2\r\n\r\nok", 0);
  raw_close (c, false, CLOSE_MS);
}

/* libcurl 7.88 joins a line that begins with a blank to the last field of the
   earlier transfer of its handle, which is freed by then.  */
static void
test_folded_first_line_after_other_responses (void)
{
  struct bd_http_client client;
  struct outcome outcome;

  bd_http_client_init (&client, events, MAX_IDLE);
  raw_start (&endpoint, events, RAW_PORT, send_folded_line, NULL);
  for (uint32_t i = 0; i < 8; i++)
    {
      start_call (&client, "/sound", &outcome);
      wait_for (&outcome);
      CU_ASSERT_TRUE (outcome.is_complete);
      start_call (&client, "/folded", &outcome);
      wait_for (&outcome);
    }
  start_call (&client, "/sound", &outcome);
  wait_for (&outcome);
  CU_ASSERT_TRUE (outcome.is_complete);
  bd_http_client_finish (&client);
  raw_finish (&endpoint);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "folded first line after other responses",
            test_folded_first_line_after_other_responses } };
  int code;

  events = tevent_context_init (NULL);
  code = UNIT_RUN ("malformed", tests);
  talloc_free (events);
  return code;
}

/* Guards against MIXED and LOST: responses that are not valid HTTP are
   not passed on, whatever the connection has brought before, and leave
   the client whole.  */

#include "base/timer.h"
#include "http/client.h"
#include "tests/fakes/raw.h"
#include "tests/loopback.h"
#include "tests/malformed.h"
#include "tests/unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  RAW_PORT = 25087,
  CLOSE_MS = 20,
  TIMEOUT_MS = 3000,
  MAX_IDLE = 4
};

/* How a response reaches the client.  */
enum manner
{
  ALONE,           /* On a new connection.  */
  BYTE_BY_BYTE,    /* The same, in pieces of one byte.  */
  AFTER_A_RESPONSE /* On a connection that has brought a sound response.  */
};

static struct tevent_context *events;
static struct raw_endpoint endpoint;
static const struct response_case *cases; /* By the number in the path.  */
static enum manner manner;

/* A call and what came of it.  */
struct outcome
{
  bool is_done;
  bool is_complete;
  bool has_timed_out;
  uint32_t status;
  bool is_accepted; /* Its head was reported.  */
  bool has_field;   /* Its head had a field of the endpoint.  */
  const char *malformed;
  char body[64];
  size_t body_size;
};

static bool
handle_accepts (void *ctx, struct bd_http_call *call)
{
  struct outcome *outcome = ctx;

  (void)call;
  outcome->is_accepted = true;
  return true;
}

static bool
handle_data (void *ctx, struct bd_http_call *call, const char *data,
             size_t size)
{
  struct outcome *outcome = ctx;

  (void)call;
  for (size_t i = 0; i < size; i++)
    if (outcome->body_size < sizeof outcome->body)
      outcome->body[outcome->body_size++] = data[i];
  return true;
}

static void
handle_done (void *ctx, struct bd_http_call *call,
             const struct bd_http_result *result)
{
  struct outcome *outcome = ctx;

  outcome->is_done = true;
  outcome->is_complete = result->is_complete;
  outcome->has_timed_out = result->has_timed_out;
  outcome->status = result->status;
  outcome->malformed = result->malformed;
  outcome->has_field = bd_http_call_header (call, "X-Own") != NULL;
}

static const struct bd_http_call_ops ops
    = { .accepts = handle_accepts, .data = handle_data, .done = handle_done };

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

static const char sound_response[]
    = "HTTP/1.1 200 OK\r\nX-First: 1\r\nContent-Length: 2\r\n\r\nok";

/* The response to a request for a path: a sound one, for which *is_case is
   unset, or the case whose number is the path.  */
static char *
make_case (struct raw_connection *c, const char *path, size_t *size,
           bool *is_case)
{
  *is_case = strcmp (path, "/sound") != 0;
  *size = strlen (sound_response);
  if (!*is_case)
    return talloc_strdup (c, sound_response);
  return response_make (c, &cases[strtol (path + 1, NULL, 10)],
                        "HTTP/1.1 200 OK", "X-Own: o\r\n", size);
}

static void
send_case (struct raw_connection *c, const struct raw_request *request)
{
  int64_t sent_ms = 0;
  size_t size;
  bool is_case;
  char *bytes = make_case (c, request->path, &size, &is_case);

  if (!is_case)
    {
      raw_send_bytes (c, bytes, size, 0);
      return;
    }
  if (manner != BYTE_BY_BYTE)
    raw_send_bytes (c, bytes, size, 0);
  else
    for (size_t i = 0; i < size; i++)
      raw_send_bytes (c, bytes + i, 1, sent_ms++);
  raw_close (c, false, sent_ms + CLOSE_MS);
}

static bool
is_whole (const struct outcome *outcome)
{
  return outcome->is_complete && outcome->status == 200 && outcome->is_accepted
         && outcome->has_field && outcome->body_size == strlen (RESPONSE_BODY)
         && memcmp (outcome->body, RESPONSE_BODY, outcome->body_size) == 0;
}

/* Nothing of a malformed head may be used.  Of a chunked body, what came
   before the fault was passed on.  */
static bool
is_refused (const struct outcome *outcome, bool is_head)
{
  return !outcome->is_complete
         && (!is_head
             || (outcome->malformed != NULL && !outcome->is_accepted
                 && !outcome->has_field && outcome->status == 0
                 && outcome->body_size == 0));
}

/* Runs the cases one after the other, each on a connection that has brought a
   sound response.  */
static void
run_cases_after_responses (struct outcome *outcomes, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct bd_http_client client;
      struct outcome first;
      char path[32];

      bd_http_client_init (&client, events, MAX_IDLE);
      start_call (&client, "/sound", &first);
      wait_for (&first);
      CU_ASSERT_TRUE (first.is_complete);
      endpoint.connections = 0;
      snprintf (path, sizeof path, "/%zu", i);
      start_call (&client, path, &outcomes[i]);
      wait_for (&outcomes[i]);
      CU_ASSERT_EQUAL (endpoint.connections, 0);
      bd_http_client_finish (&client);
    }
}

/* Runs all cases at once, and then a sound call.  */
static void
run_cases_at_once (struct outcome *outcomes, size_t count)
{
  struct bd_http_client client;
  struct outcome last;
  char path[32];

  bd_http_client_init (&client, events, MAX_IDLE);
  for (size_t i = 0; i < count; i++)
    {
      snprintf (path, sizeof path, "/%zu", i);
      start_call (&client, path, &outcomes[i]);
    }
  for (size_t i = 0; i < count; i++)
    wait_for (&outcomes[i]);
  start_call (&client, "/sound", &last);
  wait_for (&last);
  CU_ASSERT_TRUE (last.is_complete);
  bd_http_client_finish (&client);
}

/* Checks the outcome of each case in each manner.  */
static void
check_cases (const struct response_case *list, size_t count, bool is_sound,
             bool is_head)
{
  struct outcome *outcomes = talloc_array (NULL, struct outcome, count);

  cases = list;
  raw_start (&endpoint, events, RAW_PORT, send_case, NULL);
  for (manner = ALONE; manner <= AFTER_A_RESPONSE; manner++)
    {
      if (manner == AFTER_A_RESPONSE)
        run_cases_after_responses (outcomes, count);
      else
        run_cases_at_once (outcomes, count);
      for (size_t i = 0; i < count; i++)
        {
          bool is_right = is_sound ? is_whole (&outcomes[i])
                                   : is_refused (&outcomes[i], is_head);

          CU_ASSERT_TRUE (is_right);
          if (!is_right)
            printf ("\n%s, manner %d: complete %d, status %u, accepted %d, "
                    "%zu bytes",
                    list[i].name, (int)manner, outcomes[i].is_complete,
                    outcomes[i].status, outcomes[i].is_accepted,
                    outcomes[i].body_size);
        }
    }
  raw_finish (&endpoint);
  talloc_free (outcomes);
}

static void
test_malformed_heads (void)
{
  check_cases (malformed_heads, CASE_COUNT (malformed_heads), false, true);
}

static void
test_malformed_chunks (void)
{
  check_cases (malformed_chunks, CASE_COUNT (malformed_chunks), false, false);
}

/* Keeps the connection after the response.  */
static void
send_case_only (struct raw_connection *c, const struct raw_request *request)
{
  size_t size;
  bool is_case;
  char *bytes = make_case (c, request->path, &size, &is_case);

  raw_send_bytes (c, bytes, size, 0);
}

/* The call fails at once, and the next one is sent on another connection.  */
static void
test_malformed_response_keeps_connection (void)
{
  static const struct response_case list[] = {
    { .name = "name", .fields = LENGTH "X A: b\r\n" },
    { .name = "lengths", .fields = LENGTH "Content-Length: 5\r\n" },
    { .name = "switching protocols",
      .fields = "",
      .status_line = "HTTP/1.1 101 Switching Protocols" },
    { .name = "last size",
      .fields = CHUNKED,
      .body = "c\r\n" RESPONSE_BODY "\r\n0x\r\n\r\n" },
    { .name = "trailer",
      .fields = CHUNKED,
      .body = "c\r\n" RESPONSE_BODY "\r\n0\r\nX A: b\r\n\r\n" },
  };

  cases = list;
  raw_start (&endpoint, events, RAW_PORT, send_case_only, NULL);
  for (size_t i = 0; i < CASE_COUNT (list); i++)
    {
      struct bd_http_client client;
      struct outcome outcome;
      char path[32];

      endpoint.connections = 0;
      bd_http_client_init (&client, events, MAX_IDLE);
      snprintf (path, sizeof path, "/%zu", i);
      start_call (&client, path, &outcome);
      wait_for (&outcome);
      CU_ASSERT_PTR_NOT_NULL (outcome.malformed);
      CU_ASSERT_FALSE (outcome.is_complete);
      CU_ASSERT_FALSE (outcome.has_timed_out);
      start_call (&client, "/sound", &outcome);
      wait_for (&outcome);
      CU_ASSERT_TRUE (outcome.is_complete);
      CU_ASSERT_EQUAL (endpoint.connections, 2);
      bd_http_client_finish (&client);
    }
  raw_finish (&endpoint);
}

static void
continue_call (void *ctx)
{
  bd_http_call_continue (ctx);
}

/* Pauses the transfer once.  */
static bool
handle_paused_data (void *ctx, struct bd_http_call *call, const char *data,
                    size_t size)
{
  struct outcome *outcome = ctx;
  bool is_first = outcome->body_size == 0;

  handle_data (ctx, call, data, size);
  if (is_first)
    bd_timer_add (events, events, CLOSE_MS, continue_call, call);
  return !is_first;
}

/* What is malformed arrives while the transfer pauses.  */
static void
test_malformed_while_paused (void)
{
  static const struct bd_http_call_ops paused_ops
      = { .data = handle_paused_data, .done = handle_done };
  static const struct response_case list[] = {
    { .name = "size",
      .fields = CHUNKED,
      .body = "5\r\ndata:\r\n7x\r\n abcd\n\n\r\n0\r\n\r\n" },
    { .name = "last size",
      .fields = CHUNKED,
      .body = "5\r\ndata:\r\n7\r\n abcd\n\n\r\n0x\r\n\r\n" },
    { .name = "trailer",
      .fields = CHUNKED,
      .body = "5\r\ndata:\r\n7\r\n abcd\n\n\r\n0\r\nX A: b\r\n\r\n" },
  };

  cases = list;
  raw_start (&endpoint, events, RAW_PORT, send_case_only, NULL);
  for (size_t i = 0; i < CASE_COUNT (list); i++)
    {
      struct bd_http_client client;
      struct outcome outcome = { 0 };
      char url[64];
      struct bd_http_request request
          = { .method = "GET", .url = url, .timeout_ms = TIMEOUT_MS };

      bd_http_client_init (&client, events, MAX_IDLE);
      snprintf (url, sizeof url, "http://%s:%u/%zu", loopback_address (),
                RAW_PORT, i);
      bd_http_send (&client, &request, &paused_ops, &outcome);
      wait_for (&outcome);
      CU_ASSERT_PTR_NOT_NULL (outcome.malformed);
      CU_ASSERT_FALSE (outcome.is_complete);
      CU_ASSERT_FALSE (outcome.has_timed_out);
      bd_http_client_finish (&client);
    }
  raw_finish (&endpoint);
}

/* Trailers that arrive while the transfer pauses are trailers.  */
static void
test_sound_trailers_while_paused (void)
{
  static const struct bd_http_call_ops paused_ops
      = { .data = handle_paused_data, .done = handle_done };
  static const struct response_case list[] = {
    { .name = "one trailer",
      .fields = CHUNKED,
      .body = "c\r\n" RESPONSE_BODY "\r\n0\r\nX-A: b\r\n\r\n" },
    { .name = "two trailers",
      .fields = CHUNKED,
      .body = "c\r\n" RESPONSE_BODY "\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n" },
  };

  cases = list;
  raw_start (&endpoint, events, RAW_PORT, send_case_only, NULL);
  for (size_t i = 0; i < CASE_COUNT (list); i++)
    {
      struct bd_http_client client;
      struct outcome outcome = { 0 };
      char url[64];
      struct bd_http_request request
          = { .method = "GET", .url = url, .timeout_ms = TIMEOUT_MS };

      bd_http_client_init (&client, events, MAX_IDLE);
      snprintf (url, sizeof url, "http://%s:%u/%zu", loopback_address (),
                RAW_PORT, i);
      bd_http_send (&client, &request, &paused_ops, &outcome);
      wait_for (&outcome);
      CU_ASSERT_PTR_NULL (outcome.malformed);
      CU_ASSERT_TRUE (outcome.is_complete);
      bd_http_client_finish (&client);
    }
  raw_finish (&endpoint);
}

static void
test_sound_responses (void)
{
  check_cases (sound_responses, CASE_COUNT (sound_responses), true, true);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "folded first line after other responses",
            test_folded_first_line_after_other_responses },
          { "malformed heads", test_malformed_heads },
          { "malformed chunks", test_malformed_chunks },
          { "malformed response keeps its connection",
            test_malformed_response_keeps_connection },
          { "malformed while the transfer pauses",
            test_malformed_while_paused },
          { "sound trailers while the transfer pauses",
            test_sound_trailers_while_paused },
          { "sound responses", test_sound_responses } };
  int code;

  events = tevent_context_init (NULL);
  code = UNIT_RUN ("malformed", tests);
  talloc_free (events);
  return code;
}

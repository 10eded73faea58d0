/* burdockdale route-check: asks a running daemon where it would send a
   request.  */

#include "base/json.h"
#include "base/numbers.h"
#include "cli/cli.h"
#include "edge/edge.h"
#include "http/client.h"

#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

enum
{
  TIMEOUT_MS = 5000,
  CONNECT_TIMEOUT_MS = 2000,
  MAX_HEAD_BYTES = 64 * 1024,
  MAX_RESPONSE_BYTES = 1 << 20,
  MAX_FIELDS = 128,
  MAX_TOKENS = 1 << 24,
  MAX_PORT = 65535,
  STATUS_INVALID = 400,
  STATUS_TOO_MANY = 429
};

/* Fields of the file that describe the connection or the body, which the check
   does not have.  */
static const char *const dropped_fields[]
    = { "Connection", "Content-Length", "Expect",  "Keep-Alive",
        "TE",         "Trailer",        "Upgrade", "Transfer-Encoding" };

struct options
{
  struct arg_str *address;
  struct arg_str *host;
  struct arg_str *path;
  struct arg_str *method;
  struct arg_str *model;
  struct arg_str *account;
  struct arg_str *tokens;
  struct arg_str *key;
  struct arg_str *deadline_ms;
  struct arg_file *headers;
  struct arg_lit *json;
};

/* The check that is sent.  */
struct check
{
  void *ctx;
  char *url;
  struct bd_http_header_field fields[MAX_FIELDS + 1];
  uint32_t field_count;
  /* What of the reply is used.  */
  bool is_done;
  bool is_complete;
  uint32_t status;
  char *body;
};

static int
fail (int code, const char *text, const char *detail)
{
  fprintf (stderr, "burdockdale: %s%s%s\n", text,
           detail[0] != '\0' ? ": " : "", detail);
  return code;
}

static bool
is_dropped (const char *name)
{
  for (size_t i = 0; i < sizeof dropped_fields / sizeof dropped_fields[0]; i++)
    if (strcasecmp (name, dropped_fields[i]) == 0)
      return true;
  return false;
}

static void
add_argument (struct check *check, const char *name, const char *value)
{
  char *escaped = g_uri_escape_string (value, NULL, FALSE);

  check->url = talloc_asprintf_append (
      check->url, "%s%s=%s", strchr (check->url, '?') == NULL ? "?" : "&",
      name, escaped);
  g_free (escaped);
}

/* Adds an option, if it was given, as an argument.  */
static void
add_option (struct check *check, const char *name,
            const struct arg_str *option)
{
  if (option->count > 0)
    add_argument (check, name, option->sval[0]);
}

/* Reads "METHOD TARGET VERSION".  The options replace both.  */
static bool
read_request_line (struct check *check, const struct options *options,
                   char *line)
{
  char *rest;
  char *method = strtok_r (line, " ", &rest);
  char *target = strtok_r (NULL, " ", &rest);

  if (target == NULL || target[0] != '/')
    return false;
  if (options->method->count == 0)
    add_argument (check, "method", method);
  if (options->path->count == 0)
    add_argument (check, "path", target);
  return true;
}

static bool
read_field (struct check *check, char *line)
{
  char *colon = strchr (line, ':');

  if (colon == NULL || colon == line || check->field_count == MAX_FIELDS)
    return false;
  *colon = '\0';
  if (!is_dropped (line))
    check->fields[check->field_count++] = (struct bd_http_header_field){
      line, colon + 1 + strspn (colon + 1, " \t")
    };
  return true;
}

/* Reads the head of a request; returns whether it is one.  */
static bool
read_head (struct check *check, const struct options *options, char *text)
{
  bool is_first = true;

  while (text != NULL && *text != '\0')
    {
      char *line = strsep (&text, "\n");
      size_t size = strlen (line);

      if (size > 0 && line[size - 1] == '\r')
        line[size - 1] = '\0';
      if (line[0] == '\0')
        break;
      if (is_first ? !read_request_line (check, options, line)
                   : !read_field (check, line))
        return false;
      is_first = false;
    }
  return !is_first;
}

static bool
read_file (struct check *check, const struct options *options,
           const char *path)
{
  FILE *file = fopen (path, "r");
  char *text = talloc_zero_size (check->ctx, MAX_HEAD_BYTES + 1);
  size_t size;

  if (file == NULL)
    return false;
  size = fread (text, 1, MAX_HEAD_BYTES, file);
  fclose (file);
  return size > 0 && strlen (text) == size && read_head (check, options, text);
}

static bool
is_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  uint32_t port;

  return colon != NULL && colon != text && strpbrk (text, "/?#@ ") == NULL
         && bd_numbers_read (colon + 1, MAX_PORT, &port, 1) && port > 0;
}

/* What is wrong with the options, or NULL.  */
static const char *
find_fault (const struct options *options)
{
  uint32_t numbers[2];
  bool has_file = options->headers->count > 0;

  if (!is_address (options->address->sval[0]))
    return "--address is not HOST:PORT";
  if (!has_file && options->path->count == 0)
    return "--path or --headers is needed";
  if (options->path->count > 0 && options->path->sval[0][0] != '/')
    return "--path does not begin with a slash";
  if (options->tokens->count > 0
      && !bd_numbers_read (options->tokens->sval[0], MAX_TOKENS, numbers, 2))
    return "--tokens is not IN,OUT";
  if (options->deadline_ms->count > 0
      && !bd_numbers_read (options->deadline_ms->sval[0], UINT32_MAX, numbers,
                           1))
    return "--deadline-ms is not a number";
  return NULL;
}

/* Fills in the check; returns what is wrong, or NULL.  */
static const char *
prepare (struct check *check, const struct options *options)
{
  const char *fault = find_fault (options);

  if (fault != NULL)
    return fault;
  check->url = talloc_asprintf (check->ctx, "http://%s" BD_ROUTE_CHECK_PATH,
                                options->address->sval[0]);
  add_option (check, "host", options->host);
  add_option (check, "path", options->path);
  add_option (check, "method", options->method);
  add_option (check, "model", options->model);
  add_option (check, "account", options->account);
  add_option (check, "tokens", options->tokens);
  add_option (check, "key", options->key);
  add_option (check, "deadline_ms", options->deadline_ms);
  if (options->headers->count > 0
      && !read_file (check, options, options->headers->filename[0]))
    return "--headers is not a file with the head of a request";
  return NULL;
}

static void
handle_done (void *ctx, struct bd_http_call *call,
             const struct bd_http_result *result)
{
  struct check *check = ctx;

  (void)call;
  check->is_done = true;
  check->is_complete = result->is_complete;
  check->status = result->status;
  check->body = talloc_strndup (
      check->ctx, result->body != NULL ? result->body : "", result->body_size);
}

static const struct bd_http_call_ops call_ops = { .done = handle_done };

/* Sends the check and waits for the reply.  */
static void
ask (struct check *check)
{
  struct tevent_context *events = tevent_context_init (NULL);
  struct bd_http_client client;
  const struct bd_http_request request
      = { .method = "GET",
          .url = check->url,
          .headers = check->fields,
          .max_response_bytes = MAX_RESPONSE_BYTES,
          .timeout_ms = TIMEOUT_MS,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS };

  if (bd_http_client_init (&client, events, 1))
    {
      if (bd_http_send (&client, &request, &call_ops, check) != NULL)
        while (!check->is_done)
          tevent_loop_once (events);
      bd_http_client_finish (&client);
    }
  talloc_free (events);
}

static const char *
get_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL && text[0] != '\0' ? text : "-";
}

static long long
get_integer (const json_t *object, const char *key)
{
  return (long long)json_integer_value (json_object_get (object, key));
}

/* Prints a number that can be unknown.  */
static void
print_number (const json_t *object, const char *key, int width)
{
  const json_t *value = json_object_get (object, key);

  if (json_is_integer (value))
    printf (" %*lld", width, (long long)json_integer_value (value));
  else
    printf (" %*s", width, "-");
}

/* Ends a line, with a time if it is known.  */
static void
print_time (const char *label, const json_t *object, const char *key)
{
  if (json_is_integer (json_object_get (object, key)))
    printf ("%s %lld ms", label, get_integer (object, key));
  printf ("\n");
}

/* Prints the members of an object with numbers, after a heading.  */
static void
print_counts (const char *heading, json_t *counts)
{
  const char *name;
  json_t *count;

  if (json_object_size (counts) == 0)
    return;
  printf ("  %s:", heading);
  json_object_foreach (counts, name, count)
    printf (" %s %lld", name, (long long)json_integer_value (count));
  printf ("\n");
}

static void
print_decision (const json_t *decision)
{
  const char *verdict = get_text (decision, "verdict");

  if (strcmp (verdict, "send") == 0)
    {
      printf ("decision: send to %s%s%s",
              json_is_true (json_object_get (decision, "daemon")) ? "daemon "
                                                                  : "",
              get_text (decision, "endpoint"),
              json_is_true (json_object_get (decision, "preferred"))
                  ? " (a preferred group)"
                  : "");
      print_time (", first event expected after", decision, "expected_ms");
      if (json_object_size (json_object_get (decision, "drawn")) > 1)
        print_counts ("chosen at random, times of 32",
                      json_object_get (decision, "drawn"));
    }
  else if (strcmp (verdict, "wait") == 0)
    printf ("decision: wait (%s), expected %lld ms, at most %lld ms\n",
            get_text (decision, "reason"),
            get_integer (decision, "expected_wait_ms"),
            get_integer (decision, "max_wait_ms"));
  else
    {
      printf ("decision: refused with %lld (%s)",
              get_integer (decision, "status"), get_text (decision, "reason"));
      print_time (", Retry-After", decision, "retry_after_ms");
    }
}

static void
print_targets (const json_t *reply)
{
  const json_t *targets = json_object_get (reply, "targets");
  const json_t *target;
  size_t i;

  if (targets == NULL)
    return;
  printf ("targets: %lld, %zu shown\n", get_integer (reply, "target_count"),
          json_array_size (targets));
  print_counts ("excluded", json_object_get (reply, "excluded"));
  if (json_array_size (targets) > 0)
    printf ("  %-24s %-12s %7s %7s %5s %7s %11s %s\n", "endpoint",
            "data centre", "running", "waiting", "slots", "age_ms",
            "expected_ms", "excluded");
  json_array_foreach (targets, i, target)
    {
      printf ("  %-24s %-12s", get_text (target, "endpoint"),
              get_text (target, "data_centre"));
      print_number (target, "running", 7);
      print_number (target, "waiting", 7);
      print_number (target, "slots", 5);
      print_number (target, "age_ms", 7);
      print_number (target, "expected_ms", 11);
      printf (" %s\n", get_text (target, "excluded"));
    }
}

static void
print_reply (const json_t *reply)
{
  printf ("daemon %s in %s, configuration %lld", get_text (reply, "name"),
          get_text (reply, "daemon_data_centre"),
          get_integer (reply, "config_version"));
  if (json_is_integer (json_object_get (reply, "config_age_ms")))
    printf (", verified %lld ms ago", get_integer (reply, "config_age_ms"));
  printf ("\n");
  printf ("route %s, service %s, account %s, model %s\n",
          get_text (reply, "route"), get_text (reply, "service"),
          get_text (reply, "account"), get_text (reply, "model"));
  if (json_is_number (json_object_get (reply, "retry_budget")))
    printf ("retry budget %.2f\n",
            json_number_value (json_object_get (reply, "retry_budget")));
  print_decision (json_object_get (reply, "decision"));
  print_targets (reply);
}

/* Prints the reply.  Returns the exit code.  */
static int
print (const struct check *check, const json_t *reply, bool as_json)
{
  const json_t *decision = json_object_get (reply, "decision");
  const char *verdict = get_text (decision, "verdict");

  if (as_json)
    printf ("%s\n", check->body);
  else
    print_reply (reply);
  if (json_is_null (json_object_get (reply, "route"))
      && strcmp (get_text (decision, "reason"), "no-route") == 0)
    return fail (BD_EXIT_FAILED, "no route for the request", "");
  return strcmp (verdict, "send") == 0 || strcmp (verdict, "wait") == 0
             ? BD_EXIT_OK
             : BD_EXIT_FAILED;
}

static int
run (struct check *check, const struct options *options)
{
  const char *fault = prepare (check, options);
  json_t *reply;
  int code;

  if (fault != NULL)
    return fail (BD_EXIT_USAGE, fault, "");
  ask (check);
  if (!check->is_complete)
    return fail (BD_EXIT_UNREACHABLE, "the daemon cannot be reached",
                 options->address->sval[0]);
  reply = json_loads (check->body, 0, NULL);
  if (check->status == STATUS_INVALID && reply != NULL)
    code = fail (BD_EXIT_USAGE, "the daemon refuses the check",
                 get_text (reply, "error"));
  else if (check->status == STATUS_TOO_MANY)
    code = fail (BD_EXIT_UNREACHABLE, "the daemon gets too many checks",
                 options->address->sval[0]);
  else if (json_object_get (reply, "decision") == NULL)
    code = fail (BD_EXIT_UNREACHABLE, "the daemon has no route-check",
                 options->address->sval[0]);
  else
    code = print (check, reply, options->json->count > 0);
  json_decref (reply);
  return code;
}

int
bd_cli_route_check (int argc, char **argv)
{
  struct options o = {
    .address
    = arg_str1 (NULL, "address", "HOST:PORT", "the daemon's metrics address"),
    .host = arg_str0 (NULL, "host", "HOST", "host of the request"),
    .path = arg_str0 (NULL, "path", "PATH", "its path"),
    .method = arg_str0 (NULL, "method", "METHOD", "its method (GET)"),
    .model = arg_str0 (NULL, "model", "MODEL", "the model that it names"),
    .account = arg_str0 (NULL, "account", "NAME", "its account"),
    .tokens = arg_str0 (NULL, "tokens", "IN,OUT",
                        "its tokens, and the most of the response"),
    .key = arg_str0 (NULL, "key", "KEY", "prompt prefix or affinity key"),
    .deadline_ms = arg_str0 (NULL, "deadline-ms", "MS", "its deadline"),
    .headers = arg_file0 (NULL, "headers", "FILE",
                          "the head of the request, in place of the others"),
    .json = arg_lit0 (NULL, "json", "print the daemon's response"),
  };
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { o.address, o.host,   o.path, o.method,      o.model,
                    o.account, o.tokens, o.key,  o.deadline_ms, o.headers,
                    o.json,    help,     end };
  int code = bd_cli_parse (argc, argv, table, help, end,
                           "Shows where a daemon would send a request now, "
                           "and why, without sending it.");
  struct check check = { .ctx = NULL };

  if (code < 0)
    {
      check.ctx = talloc_new (NULL);
      code = run (&check, &o);
      talloc_free (check.ctx);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

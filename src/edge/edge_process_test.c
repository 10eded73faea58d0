/* Guards against LOST: a daemon's process ends by itself, and with it all that
   it runs, because of what endpoints, callers and configurations send.

   Daemons in processes of their own, as users run them; endpoints that send
   malformed and unusual responses among sound ones; callers with bodies in
   chunks on kept connections; configurations and signals in series.

   Further runs: SEED, RUN_S, ODD (malformed responses in 1000), CASE (the
   name of the only one that is sent), STALL (responses in 1000 that never
   come; then deadlines differ), PAUSE_MS (the longest SIGSTOP), PROGRAM
   (another build's), LOG_DIR.  */

#include "base/timer.h"
#include "tests/fakes/caller.h"
#include "tests/fakes/hostile.h"
#include "tests/fakes/process.h"
#include "tests/fakes/raw.h"
#include "tests/fakes/site.h"
#include "tests/loopback.h"
#include "tests/malformed.h"
#include "tests/quiet.h"
#include "tests/unit.h"
#include "wire/messages.h"

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <talloc.h>

enum
{
  DAEMONS = 3,
  CALLERS = 24, /* Of each daemon.  */
  ENDPOINTS = 2,
  POOL = 4,
  SLOTS = 400,
  DEFAULT_SEED = 1,
  DEFAULT_SECONDS = 12,
  DEFAULT_ODD = 100,
  UNUSUAL = 100, /* In 1000: sound responses of an unusual form.  */
  FOLLOWED = 50, /* In 1000: sound ones that bytes follow.  */
  MAX_LAG_MS = 20,
  MAX_RANDOM_BYTES = 200,
  ISOLATED = 2, /* The daemon that has no links to endpoints.  */
  PORT_STEP = 20,
  READY_MS = 20000,
  READY_POLL_MS = 100,
  STEP_MS = 100,
  DEADLINE_MS = 4000,
  SHORT_DEADLINE_MS = 300,
  /* The deadline, the grace period and time for the processes.  */
  LIMIT_MS = 15000,
  MIN_PUBLISH_MS = 300,
  MAX_PUBLISH_MS = 1800,
  RELOAD_PERIOD_STEPS = 11,
  STOP_PERIOD_STEPS = 17,    /* Of SIGSTOP.  */
  DEFAULT_PAUSE_MS = 500,    /* The longest.  */
  RESTART_PERIOD_STEPS = 43, /* Of SIGTERM.  */
  ENGINE_PERIOD_STEPS = 50,  /* Of an engine with malformed responses.  */
  ENGINE_STEPS = 20,         /* During which it sends them.  */
  MAX_RESPONSE_MS = 40,
  MAX_BODY_BYTES = 20000,
  MAX_PIECES = 6,
  MAX_PIECE_MS = 20,
  MAX_LEAVE_MS = 60,
  LEAVERS = 30, /* In 1000.  */
  HOSTILE_GAP_MS = 20,
  MAX_HOSTILE_MS = 50,
  HOSTILE_CALLER = 0xfff0, /* A number that no caller has.  */
  MAX_SPOILT = 3,
  MAX_FIELDS = 30,
  MAX_GAP_MS = 10,
  REFUSED_GAP_MS = 100, /* While a daemon stops.  */
  STREAM_EVENTS = 8,
  EVENT_MS = 10,
  MAX_FAULT_BYTES = 2000, /* Of a log, that are printed.  */
  MS_PER_S = 1000
};

/* The case that ends a process whose libcurl handles are used again.  */
#define FOLDED_FIRST "blank before the first name"

struct daemon
{
  char name[BD_NAME_SIZE];
  char *platform_url; /* Its path begins with the name.  */
  char *settings_path;
  char *log_path;
  struct bd_edge_settings settings;
  pid_t pid;
  bool is_stopping;   /* By a SIGTERM of this test.  */
  bool has_to_report; /* That it ended by itself.  */
  uint32_t served;    /* Requests of its callers since its start.  */
  /* Requests that ended without a response or with a part of one in the last
     step, and those of them whose body came in chunks.  */
  uint32_t without;
  uint32_t cut;
  uint32_t chunked;
};

struct load_caller
{
  struct caller caller;
  struct daemon *daemon;
  uint32_t sent;
  char target[BD_NAME_SIZE];
};

static struct site site;
static struct raw_endpoint endpoints[ENDPOINTS];
static struct raw_endpoint engine;      /* In the place of this worker.  */
static struct site_worker *engine_site; /* NULL: of none.  */
static struct daemon daemons[DAEMONS];
static struct load_caller callers[DAEMONS * CALLERS];
static gsl_rng *rng;
static uint32_t odd_in_1000;
static uint32_t stalled_in_1000;
static uint32_t pause_ms;
static const char *only_case;
static const char *program;
static bool is_own_build; /* Earlier ones do not let held signals arrive.  */
static char *directory;
static bool is_over;
static uint32_t outcomes[CALLER_OUTCOMES];
static uint32_t responses; /* Whole ones of endpoints.  */
static uint32_t malformed; /* Sent by endpoints.  */
static uint32_t followed;  /* Responses that bytes follow.  */
static uint32_t controls;  /* Orders and others with malformed responses.  */
static uint32_t hostile;   /* Connections with spoilt bytes.  */
static uint32_t relayed;   /* Requests of callers of the isolated daemon.  */
static uint32_t ended;     /* Daemons that ended by themselves.  */
/* The ids of requests that endpoints have begun to run.  */
static GHashTable *runs;

static uint32_t
draw (uint32_t limit)
{
  return (uint32_t)gsl_rng_uniform_int (rng, limit);
}

static uint32_t
number_of (const char *name, uint32_t otherwise)
{
  const char *text = g_getenv (name);

  return text != NULL ? (uint32_t)strtoul (text, NULL, 10) : otherwise;
}

/* An id begins with the number of its caller in four digits.  */
static uint32_t
daemon_of (const char *attempt_id)
{
  return (uint32_t)(strtoull (attempt_id, NULL, 16) >> 48) % DAEMONS;
}

/* Endpoints.  */

static const struct response_case *
find_case (const char *name)
{
  for (size_t i = 0; i < CASE_COUNT (malformed_heads); i++)
    if (strcmp (malformed_heads[i].name, name) == 0)
      return &malformed_heads[i];
  return &malformed_heads[0];
}

static const struct response_case *
draw_case (void)
{
  uint32_t chance = draw (1000);
  size_t heads = CASE_COUNT (malformed_heads);
  size_t chunks = CASE_COUNT (malformed_chunks);
  size_t number;

  if (chance >= odd_in_1000 + UNUSUAL)
    return &sound_responses[0];
  if (chance >= odd_in_1000)
    return &sound_responses[draw (CASE_COUNT (sound_responses))];
  malformed++;
  if (only_case != NULL)
    return find_case (only_case);
  if (draw (4) == 0)
    return find_case (FOLDED_FIRST);
  number = draw ((uint32_t)(heads + chunks));
  return number < heads ? &malformed_heads[number]
                        : &malformed_chunks[number - heads];
}

/* Sends bytes in two parts or at once.  */
static void
send_bytes (struct raw_connection *c, const char *bytes, size_t size,
            int64_t delay_ms)
{
  size_t first = draw (2) == 0 ? size : draw ((uint32_t)size);

  raw_send_bytes (c, bytes, first, delay_ms);
  if (first < size)
    raw_send_bytes (c, bytes + first, size - first, delay_ms + 1);
}

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* What follows a response is not sent in the middle of the next one: that can
   make a valid response of two.  */
static int64_t
draw_delay_ms (const struct raw_connection *c)
{
  return MAX (1 + (int64_t)draw (MAX_RESPONSE_MS), c->quiet_ms - now_ms ());
}

static size_t
draw_bytes (char *bytes)
{
  size_t size = 1 + draw (MAX_RANDOM_BYTES);

  for (size_t i = 0; i < size; i++)
    bytes[i] = (char)draw (256);
  return size;
}

/* What follows a response: a second one to the same request, or random bytes.
 */
static char *
draw_more (void *ctx, const struct raw_request *request, size_t *size)
{
  char *bytes;

  if (draw (2) == 0)
    {
      bytes = talloc_array (ctx, char, MAX_RANDOM_BYTES);
      *size = draw_bytes (bytes);
      return bytes;
    }
  bytes = talloc_asprintf (ctx,
                           "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                           "Response-Seal: second\r\n" LENGTH
                           "\r\n" RESPONSE_BODY,
                           request->attempt_id);
  *size = strlen (bytes);
  return bytes;
}

/* Sends a response and what follows it, in one part or later.  */
static void
send_followed (struct raw_connection *c, const struct raw_request *request,
               const char *bytes, size_t size, int64_t delay_ms)
{
  size_t more_size;
  char *more = draw_more (c, request, &more_size);
  char *both = talloc_size (c, size + more_size);
  size_t first = draw (2) == 0 ? size : size + more_size;
  int64_t late_ms = delay_ms + 1 + draw (MAX_LAG_MS);

  followed++;
  memcpy (both, bytes, size);
  memcpy (both + size, more, more_size);
  raw_send_bytes (c, both, first, delay_ms);
  if (first == size)
    {
      raw_send_bytes (c, more, more_size, late_ms);
      c->quiet_ms = now_ms () + late_ms + 1;
    }
  talloc_free (both);
  talloc_free (more);
}

static void
handle_request (struct raw_connection *c, const struct raw_request *request)
{
  const struct response_case *response = draw_case ();
  bool is_stream = g_str_has_prefix (request->path, "/odd-stream/");
  /* A response without a length ends with its connection.  */
  bool has_end = strstr (response->fields, LENGTH) != NULL
                 || strstr (response->fields, CHUNKED) != NULL;
  int64_t delay_ms = draw_delay_ms (c);
  char *own;
  char *bytes;
  size_t size;

  if (request->attempt_id[0] == '\0')
    {
      raw_send (c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0);
      return;
    }
  g_hash_table_add (runs, g_strdup (request->attempt_id));
  relayed += daemon_of (request->attempt_id) == ISOLATED;
  if (draw (1000) < stalled_in_1000)
    return;
  own = talloc_asprintf (
      c, "Attempt-Id: %s\r\nResponse-Seal: s-%s\r\nContent-Type: %s\r\n",
      request->attempt_id, request->attempt_id,
      is_stream ? "text/event-stream" : "text/plain");
  bytes = response_make (c, response, "HTTP/1.1 200 OK", own, &size);
  if (response == &sound_responses[0] && draw (1000) < FOLLOWED)
    send_followed (c, request, bytes, size, delay_ms);
  else
    {
      send_bytes (c, bytes, size, delay_ms);
      if (!has_end || draw (2) == 0)
        raw_close (c, false, delay_ms + 3);
    }
  talloc_free (own);
  talloc_free (bytes);
}

/* Requests that the engines of the site run.  */
static void
note_engine_run (struct site_worker *worker,
                 const struct bd_http_exchange *exchange)
{
  const char *id = bd_http_header (exchange, "Attempt-Id");

  (void)worker;
  if (id != NULL)
    g_hash_table_add (runs, g_strdup (id));
}

static bool
has_lost_links (const char *path)
{
  return g_str_has_prefix (path + 1, daemons[ISOLATED].name);
}

static void
add_route (json_t *routes, const char *prefix)
{
  json_t *route = json_deep_copy (json_array_get (routes, 2));

  json_object_set_new (route, "Name", json_string (prefix));
  json_object_set_new (route, "PathPrefix", json_string (prefix));
  json_object_set_new (route, "Service", json_string ("plain"));
  json_array_append_new (routes, route);
}

static void
start_endpoints (void)
{
  add_route (json_object_get (site.config, "Routes"), "/odd-stream/");
  site_publish (&site);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      bd_http_server_finish (&site.workers[i].server);
      raw_start (&endpoints[i], site.events, site.workers[i].port,
                 handle_request, NULL);
      site.workers[i].slots = SLOTS;
      site_list_worker (&site.workers[i]);
    }
  for (uint32_t i = ENDPOINTS; i < site.worker_count; i++)
    site.workers[i].slots = SLOTS;
}

/* Engines.  */

static void
handle_control (struct raw_connection *c, const struct raw_request *request)
{
  size_t heads = CASE_COUNT (malformed_heads);
  uint32_t number = draw ((uint32_t)(heads + CASE_COUNT (malformed_chunks)));
  const struct response_case *response
      = number < heads ? &malformed_heads[number]
                       : &malformed_chunks[number - heads];
  char bytes[MAX_RANDOM_BYTES];
  char *own;
  char *text;
  size_t size;

  if (request->attempt_id[0] != '\0')
    {
      handle_request (c, request);
      return;
    }
  controls++;
  if (draw (5) == 0)
    {
      size = draw_bytes (bytes);
      raw_send_bytes (c, bytes, size, 1);
    }
  else
    {
      own = talloc_strdup (c, "Content-Type: application/json\r\n");
      text = response_make (c, response, "HTTP/1.1 202 Accepted", own, &size);
      send_bytes (c, text, size, 1);
      talloc_free (own);
      talloc_free (text);
    }
  raw_close (c, draw (2) == 0, 3);
}

/* Streams on open connections go on.  */
static void
start_engine (void)
{
  engine_site = &site.workers[ENDPOINTS + draw (POOL)];
  bd_http_server_stop_listening (&engine_site->server);
  raw_start (&engine, site.events, engine_site->port, handle_control, NULL);
}

static void
finish_engine (void)
{
  if (engine_site == NULL)
    return;
  raw_finish (&engine);
  site_restart_worker (engine_site);
  engine_site = NULL;
}

/* Daemons.  */

static void
start_daemon (struct daemon *daemon)
{
  struct process_options options = { .program = program,
                                     .settings_path = daemon->settings_path,
                                     .log_path = daemon->log_path,
                                     .holds_signals = is_own_build };

  daemon->is_stopping = false;
  daemon->pid = process_start (&daemon->settings, &options);
  CU_ASSERT_TRUE_FATAL (daemon->pid > 0);
}

static void
forget_losses (struct daemon *daemon)
{
  daemon->without = 0;
  daemon->cut = 0;
  daemon->chunked = 0;
}

static void
report_losses (struct daemon *daemon)
{
  printf ("\n  %s: %u requests without a response, %u cut ones, %u of them "
          "with a body in chunks, after %u requests",
          daemon->name, daemon->without, daemon->cut, daemon->chunked,
          daemon->served);
  daemon->served = 0;
  forget_losses (daemon);
}

static void
start_daemons (void)
{
  const char *log_directory = g_getenv ("LOG_DIR");

  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      struct daemon *daemon = &daemons[i];

      snprintf (daemon->name, sizeof daemon->name, "edge-%u", i + 1);
      daemon->settings_path
          = g_strdup_printf ("%s/%s.toml", directory, daemon->name);
      daemon->log_path = g_strdup_printf (
          "%s/%s.log", log_directory != NULL ? log_directory : directory,
          daemon->name);
      daemon->settings = site_settings (&site, daemon->name,
                                        SITE_BASE_PORT + 40 + i * PORT_STEP);
      daemon->platform_url = g_strdup_printf (
          "%s/%s", site.settings.platform_url, daemon->name);
      daemon->settings.platform_url = daemon->platform_url;
      start_daemon (daemon);
    }
}

/* Whether its process has ended; notes an end that was not asked for.  */
static bool
has_ended (struct daemon *daemon)
{
  bool is_sound;
  int status;

  if (waitpid (daemon->pid, &status, WNOHANG) != daemon->pid)
    return false;
  is_sound
      = daemon->is_stopping && WIFEXITED (status) && WEXITSTATUS (status) == 0;
  if (is_sound)
    daemon->served = 0;
  else
    {
      ended++;
      daemon->has_to_report = true;
      printf ("\n  %s ended by itself, %s %d", daemon->name,
              WIFSIGNALED (status) ? "signal" : "exit code",
              WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
    }
  return true;
}

/* Callers may notice the end of a process a step later than this.  */
static void
check_daemon (struct daemon *daemon)
{
  bool has_to_report = daemon->has_to_report;

  daemon->has_to_report = false;
  if (has_ended (daemon))
    start_daemon (daemon);
  if (has_to_report)
    report_losses (daemon);
  if (!daemon->has_to_report)
    forget_losses (daemon);
}

static void
check_daemons (void)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    check_daemon (&daemons[i]);
}

static void
resume_daemon (void *ctx)
{
  kill (((struct daemon *)ctx)->pid, SIGCONT);
}

static void
pause_daemon (struct daemon *daemon)
{
  kill (daemon->pid, SIGSTOP);
  bd_timer_add (site.events, site.events, 1 + draw (pause_ms), resume_daemon,
                daemon);
}

static void
stop_daemon (struct daemon *daemon)
{
  daemon->is_stopping = true;
  kill (daemon->pid, SIGTERM);
}

static void
wait_until_ready (void)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      uint32_t ms = 0;

      site.daemon_port = daemons[i].settings.http_port;
      /* Some responses are malformed.  */
      while (site_call (&site, "GET", "/safe/x", "k1", NULL)->status != 200)
        {
          ms += READY_POLL_MS;
          CU_ASSERT_TRUE_FATAL (ms < READY_MS);
          site_wait (&site, READY_POLL_MS);
        }
    }
}

/* Callers.  */

static void send_next (void *ctx);

/* Whether a whole response with status 200 is the endpoint's to this
   request.  */
static bool
is_own_response (const struct load_caller *c)
{
  char *seal = g_strdup_printf ("Response-Seal: s-%s", c->caller.attempt_id);
  bool is_own = g_str_has_prefix (c->target, "/stream/")
                || (caller_has_field (&c->caller, seal)
                    && strstr (c->caller.body->str, RESPONSE_BODY) != NULL);

  g_free (seal);
  return is_own;
}

static bool
has_run (const struct load_caller *c)
{
  return g_hash_table_contains (runs, c->caller.attempt_id);
}

static void
count_for_daemon (struct load_caller *c, enum caller_outcome outcome)
{
  struct daemon *daemon = c->daemon;
  bool is_chunked
      = c->caller.request.is_chunked && c->caller.request.body_bytes > 0;

  daemon->served += outcome != CALLER_REFUSED;
  daemon->without += outcome == CALLER_NONE;
  daemon->cut += outcome == CALLER_CUT;
  daemon->chunked
      += is_chunked && (outcome == CALLER_NONE || outcome == CALLER_CUT);
}

static void
handle_done (struct caller *caller, enum caller_outcome outcome)
{
  struct load_caller *c = caller->ctx;

  outcomes[outcome]++;
  count_for_daemon (c, outcome);
  if (outcome == CALLER_WHOLE && caller->head.status == 200)
    {
      CU_ASSERT_TRUE (is_own_response (c));
      if (!is_own_response (c))
        printf ("\n  %s %s: not its own response:\n%s%s", caller->attempt_id,
                c->target, caller->fields->str, caller->body->str);
      responses++;
    }
  /* That its request has run and gets no response is LOST.  */
  if (outcome == CALLER_NONE || outcome == CALLER_TIMEOUT)
    {
      CU_ASSERT_FALSE (has_run (c));
      if (has_run (c))
        printf ("\n  %s %s: outcome %d", caller->attempt_id, c->target,
                (int)outcome);
    }
  bd_timer_add (site.events, site.events,
                outcome == CALLER_REFUSED ? REFUSED_GAP_MS
                                          : (int64_t)draw (MAX_GAP_MS),
                send_next, c);
}

static uint32_t
draw_deadline_ms (void)
{
  return stalled_in_1000 == 0
             ? DEADLINE_MS
             : SHORT_DEADLINE_MS + draw (DEADLINE_MS - SHORT_DEADLINE_MS);
}

static void
send_next (void *ctx)
{
  static const char *const kinds[]
      = { "/safe/", "/unsafe/", "/odd-stream/", "/stream/" };
  struct load_caller *c = ctx;
  uint32_t kind = draw (4);
  char id[BD_NAME_SIZE];
  char fields[256];
  struct caller_request request
      = { .method = kind == 0 ? "GET" : "POST",
          .target = c->target,
          .host = "h.example",
          .attempt_id = id,
          .fields = fields,
          .body_bytes = kind == 0 ? 0 : 1 + draw (MAX_BODY_BYTES),
          .pieces = 1 + draw (MAX_PIECES),
          .piece_ms = 1 + draw (MAX_PIECE_MS),
          .is_chunked = draw (2) == 0,
          .leave_ms = draw (1000) < LEAVERS ? 1 + draw (MAX_LEAVE_MS) : 0,
          .limit_ms = LIMIT_MS };

  if (is_over)
    return;
  snprintf (id, sizeof id, "%04x%012x", (unsigned)(c - callers), ++c->sent);
  snprintf (c->target, sizeof c->target, "%sec?a=%u&b=x-y%%20%%41",
            kinds[kind], c->sent);
  snprintf (fields, sizeof fields,
            "Authorization: Bearer k1\r\nDeadline-Ms: %u\r\n%s",
            draw_deadline_ms (),
            kind == 3 ? "Model: m\r\nToken-Usage: 100,12\r\n" : "");
  caller_send (&c->caller, &request);
}

static void
start_callers (void)
{
  for (uint32_t i = 0; i < DAEMONS * CALLERS; i++)
    {
      struct load_caller *c = &callers[i];

      c->daemon = &daemons[i % DAEMONS];
      caller_init (&c->caller, site.events, loopback_address (),
                   c->daemon->settings.http_port, handle_done, c);
      send_next (c);
    }
}

static bool
are_callers_idle (struct site *s)
{
  (void)s;
  for (uint32_t i = 0; i < DAEMONS * CALLERS; i++)
    if (callers[i].caller.timers != NULL)
      return false;
  return true;
}

/* Peers that send spoilt bytes.  */

static void
spoil (GString *text)
{
  for (uint32_t i = draw (MAX_SPOILT + 1); i > 0; i--)
    {
      uint32_t place = draw ((uint32_t)text->len);

      switch (draw (4))
        {
        case 0:
          text->str[place] = (char)draw (256);
          break;
        case 1:
          g_string_insert_c (text, place, (char)draw (256));
          break;
        case 2:
          if (text->len > 1)
            g_string_erase (text, place, 1);
          break;
        default:
          if (place > 0)
            g_string_truncate (text, place);
        }
    }
}

static GString *
draw_random (void)
{
  char bytes[MAX_RANDOM_BYTES];
  size_t size = draw_bytes (bytes);

  return g_string_new_len (bytes, (gssize)size);
}

/* A request, often with a field that is not valid.  */
static GString *
draw_request (void)
{
  static const char *const targets[]
      = { "/safe/x",  "/unsafe/x", "/odd-stream/x", "/stream/x",
          "/metrics", "/readyz?",  "/healthz" };
  const struct response_case *odd
      = &malformed_heads[draw (CASE_COUNT (malformed_heads))];
  bool is_chunked = draw (2) == 0;
  GString *text = g_string_new (NULL);

  g_string_append_printf (
      text,
      "%s %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
      "Attempt-Id: %04x%012x\r\nDeadline-Ms: %u\r\nModel: m\r\n"
      "Token-Usage: %u,%u\r\nBurdockdale-Wait-Ms: %d\r\n",
      draw (2) == 0 ? "GET" : "POST",
      targets[draw (sizeof targets / sizeof targets[0])], HOSTILE_CALLER,
      hostile, draw (DEADLINE_MS), draw (200), draw (20),
      (int)draw (2000) - 9);
  if (draw (2) == 0)
    g_string_append_len (text, odd->fields,
                         (gssize)(odd->field_bytes > 0
                                      ? odd->field_bytes
                                      : strlen (odd->fields)));
  g_string_append (text, is_chunked ? CHUNKED "\r\n" CHUNKS
                                    : LENGTH "\r\n" RESPONSE_BODY);
  return text;
}

static void
pack_value (msgpack_packer *packer)
{
  static const int64_t numbers[]
      = { 0, 1, -1, INT32_MAX, UINT32_MAX, INT64_MAX, INT64_MIN };

  switch (draw (6))
    {
    case 0:
      msgpack_pack_str (packer, 6);
      msgpack_pack_str_body (packer, daemons[draw (DAEMONS)].name, 6);
      break;
    case 1:
      msgpack_pack_array (packer, 0);
      break;
    case 2:
      msgpack_pack_true (packer);
      break;
    case 3:
      msgpack_pack_double (packer, 0.0 / (double)draw (2));
      break;
    default:
      msgpack_pack_int64 (packer,
                          numbers[draw (sizeof numbers / sizeof numbers[0])]);
    }
}

/* A frame whose form is valid, with fields of any types.  */
static GString *
draw_frame (void)
{
  uint32_t fields = draw (MAX_FIELDS);
  uint32_t length;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  GString *text;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 1 + fields);
  msgpack_pack_uint32 (&packer, draw (BD_MESSAGE_COUNT + 1));
  for (uint32_t i = 0; i < fields; i++)
    pack_value (&packer);
  length = GUINT32_TO_BE ((uint32_t)buffer.size);
  text = g_string_new_len ((const char *)&length, sizeof length);
  g_string_append_len (text, buffer.data, (gssize)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return text;
}

/* A message of a daemon that does not exist.  */
static GString *
draw_message (void)
{
  struct bd_edge_status status
      = { .scope = draw (6),
          .name = "hostile",
          .data_centre = "a",
          .address = "127.0.0.1",
          .peer_port = draw (70000),
          .incarnation = (int64_t)draw (UINT32_MAX) << draw (32),
          .config_version = draw (9),
          .is_stopping = draw (2) == 0,
          .is_isolated = draw (2) == 0,
          .wants_reply = draw (2) == 0 };
  struct bd_leaving_update leaving = { .endpoint = "w-9",
                                       .started_ms = draw (UINT32_MAX),
                                       .stage = draw (4) };
  struct bd_freshness_request request = { .from = "hostile",
                                          .sent_ms = draw (UINT32_MAX),
                                          .config_version = draw (9),
                                          .wants_instances = draw (2) == 0 };
  enum bd_message_type types[] = { BD_MESSAGE_EDGE_STATUS, BD_MESSAGE_LEAVING,
                                   BD_MESSAGE_FRESHNESS_REQUEST };
  const void *messages[] = { &status, &leaving, &request };
  uint32_t kind = draw (3);
  msgpack_sbuffer buffer;
  GString *text;

  msgpack_sbuffer_init (&buffer);
  bd_message_pack (&buffer, types[kind], messages[kind]);
  text = g_string_new_len (buffer.data, (gssize)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return text;
}

static GString *
draw_spoilt (bool is_for_peers)
{
  uint32_t kind = draw (5);
  GString *text;

  if (kind == 0)
    return draw_random ();
  if (!is_for_peers)
    text = draw_request ();
  else
    text = kind < 3 ? draw_frame () : draw_message ();
  spoil (text);
  return text;
}

static void
send_spoilt (void *ctx)
{
  const struct bd_edge_settings *settings = &daemons[draw (DAEMONS)].settings;
  const uint32_t ports[]
      = { settings->http_port, settings->ready_port, settings->peer_port,
          settings->metrics_port, settings->handover_port };
  uint32_t port = ports[draw (sizeof ports / sizeof ports[0])];
  GString *text;

  (void)ctx;
  if (is_over)
    return;
  text = draw_spoilt (port == settings->peer_port);
  hostile_send (site.events, loopback_address (), port, text->str, text->len,
                draw ((uint32_t)text->len + 1), 2 + draw (MAX_HOSTILE_MS));
  hostile++;
  g_string_free (text, TRUE);
  bd_timer_add (site.events, site.events, draw (HOSTILE_GAP_MS), send_spoilt,
                NULL);
}

/* The operator, and signals.  */

static void
publish (void *ctx)
{
  static bool has_extra;
  json_t *routes = json_object_get (site.config, "Routes");

  (void)ctx;
  if (is_over)
    return;
  if (has_extra)
    json_array_remove (routes, json_array_size (routes) - 1);
  else
    add_route (routes, "/extra/");
  has_extra = !has_extra;
  site_publish (&site);
  bd_timer_add (site.events, site.events,
                MIN_PUBLISH_MS + draw (MAX_PUBLISH_MS - MIN_PUBLISH_MS),
                publish, NULL);
}

/* Signals to the daemons; one at a time stops.  */
static void
run_step (uint32_t step)
{
  struct daemon *daemon = &daemons[draw (DAEMONS)];
  bool is_any_stopping = false;

  for (uint32_t i = 0; i < DAEMONS; i++)
    is_any_stopping = is_any_stopping || daemons[i].is_stopping;
  if (step % RELOAD_PERIOD_STEPS == 1)
    kill (daemon->pid, SIGHUP);
  if (step % STOP_PERIOD_STEPS == 2)
    pause_daemon (daemon);
  if (step % RESTART_PERIOD_STEPS == 3 && !is_any_stopping)
    stop_daemon (daemon);
  if (step % ENGINE_PERIOD_STEPS == 4)
    start_engine ();
  if (step % ENGINE_PERIOD_STEPS == 4 + ENGINE_STEPS)
    finish_engine ();
  site_wait (&site, STEP_MS);
  check_daemons ();
}

static void
run_load (uint32_t seconds)
{
  uint32_t steps = seconds * MS_PER_S / STEP_MS;

  start_callers ();
  publish (NULL);
  send_spoilt (NULL);
  for (uint32_t i = 0; i < steps; i++)
    run_step (i);
  is_over = true;
  finish_engine ();
  CU_ASSERT_TRUE (site_run (&site, are_callers_idle, LIMIT_MS));
}

/* Whether the daemons' last lines or the sanitizers name a fault.  */
static bool
has_fault (const struct daemon *daemon)
{
  char *text = NULL;
  bool has_any;

  if (!g_file_get_contents (daemon->log_path, &text, NULL, NULL))
    return true;
  has_any = strstr (text, "\"aborted\"") != NULL
            || strstr (text, "Sanitizer") != NULL
            || strstr (text, "runtime error") != NULL;
  if (has_any)
    printf ("\n  %.*s", MAX_FAULT_BYTES,
            strstr (text, "\"aborted\"") != NULL ? strstr (text, "\"aborted\"")
                                                 : text);
  g_free (text);
  return has_any;
}

static void
wait_for_end (struct daemon *daemon)
{
  uint32_t ms = 0;

  while (!has_ended (daemon) && ms < LIMIT_MS)
    {
      ms += STEP_MS;
      site_wait (&site, STEP_MS);
    }
  CU_ASSERT_TRUE (ms < LIMIT_MS);
  if (ms >= LIMIT_MS)
    process_finish (daemon->pid);
}

static void
free_files (struct daemon *daemon)
{
  if (g_getenv ("LOG_DIR") == NULL)
    remove (daemon->log_path);
  remove (daemon->settings_path);
  g_free (daemon->settings_path);
  g_free (daemon->log_path);
  g_free (daemon->platform_url);
}

static void
stop_daemons (void)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      kill (daemons[i].pid, SIGCONT);
      if (!daemons[i].is_stopping)
        stop_daemon (&daemons[i]);
    }
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      wait_for_end (&daemons[i]);
      CU_ASSERT_FALSE (has_fault (&daemons[i]));
      free_files (&daemons[i]);
    }
}

static void
start_site (void)
{
  const char *build = g_getenv ("BUILD");

  directory = g_dir_make_tmp ("edge-process-XXXXXX", NULL);
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (rng, number_of ("SEED", DEFAULT_SEED));
  odd_in_1000 = number_of ("ODD", DEFAULT_ODD);
  stalled_in_1000 = number_of ("STALL", 0);
  pause_ms = number_of ("PAUSE_MS", DEFAULT_PAUSE_MS);
  only_case = g_getenv ("CASE");
  program = g_getenv ("PROGRAM");
  site_start_platform (&site, ENDPOINTS, POOL);
  is_own_build = program == NULL;
  if (is_own_build)
    program = talloc_asprintf (site.events, "%s/burdockdale",
                               build != NULL ? build : "build");
  site.has_lost_links = has_lost_links;
  site.on_exchange = note_engine_run;
  start_endpoints ();
  start_daemons ();
  wait_until_ready ();
}

static void
finish_site (void)
{
  for (uint32_t i = 0; i < DAEMONS * CALLERS; i++)
    caller_finish (&callers[i].caller);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    raw_finish (&endpoints[i]);
  site_finish (&site);
  gsl_rng_free (rng);
  g_hash_table_unref (runs);
  remove (directory);
  g_free (directory);
}

static void
test_process_ends_by_itself (void)
{
  start_site ();
  run_load (number_of ("RUN_S", DEFAULT_SECONDS));
  stop_daemons ();
  CU_ASSERT_EQUAL (ended, 0);
  /* The run has shown something.  */
  CU_ASSERT_TRUE (responses > 0);
  CU_ASSERT_TRUE (malformed > 0);
  CU_ASSERT_TRUE (followed > 0);
  CU_ASSERT_TRUE (relayed > 0);
  CU_ASSERT_TRUE (controls > 0);
  CU_ASSERT_TRUE (hostile > 0);
  printf ("\n  %u requests run, %u malformed responses, %u followed by bytes, "
          "%u to orders and reports, %u spoilt connections, %u handed over; "
          "whole %u (200: %u), "
          "cut %u, none %u, refused %u, left %u, over time %u; %u ended ",
          g_hash_table_size (runs), malformed, followed, controls, hostile,
          relayed, outcomes[CALLER_WHOLE], responses, outcomes[CALLER_CUT],
          outcomes[CALLER_NONE], outcomes[CALLER_REFUSED],
          outcomes[CALLER_LEFT], outcomes[CALLER_TIMEOUT], ended);
  finish_site ();
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "a process ends by itself", test_process_ends_by_itself },
  };

  signal (SIGPIPE, SIG_IGN);
  unit_silence_log ();
  return UNIT_RUN ("edge_process", tests);
}

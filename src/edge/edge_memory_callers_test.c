/* Checks that what callers send and do not complete takes no more memory than
   the settings allow, and that other callers are served.  */

#include "tests/fakes/process.h"
#include "tests/fakes/site.h"
#include "tests/loopback.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  MEMORY_MB = 128,
  MAX_CALLERS = 500,
  CALLS = 20,
  PERIOD_MS = 50,
  READY_MS = 10000,
  POLL_MS = 100,
  RECOVERY_MS = 1000,
  /* Of the configuration.  */
  MAX_HEADER_BYTES = 256 * 1024,
  MAX_BODY_BYTES = 2 << 20,
  HEAD_BYTES = 250 * 1024, /* Without its end.  */
  BODY_BYTES = 1 << 20,    /* The same.  */
  MAX_SEND_BYTES = 64 * 1024
};

struct load_caller
{
  int fd;
  size_t sent;
};

static const char head_start[] = "GET /safe/1 HTTP/1.1\r\nHost: h\r\nA: ";
static const char body_start[]
    = "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: 0123456789abcdef\r\n"
      "Authorization: Bearer k1\r\nDeadline-Ms: 4000\r\n"
      "Content-Length: 1200000\r\n\r\n";

static struct site site;
static char *directory;
static char *settings_path;
static pid_t process;
static struct load_caller callers[MAX_CALLERS];

static void
start_daemon (void)
{
  const char *build = g_getenv ("BUILD");
  char *program = talloc_asprintf (site.events, "%s/burdockdale",
                                   build != NULL ? build : "build");
  struct process_options options = { .program = program,
                                     .settings_path = settings_path,
                                     .log_path = g_getenv ("DAEMON_LOG") };

  site.settings.memory_mb = MEMORY_MB;
  process = process_start (&site.settings, &options);
  for (uint32_t ms = 0; ms < READY_MS; ms += POLL_MS)
    {
      site_wait (&site, POLL_MS);
      if (site_call (&site, "GET", "/safe/0", "k1", NULL)->status == 200)
        return;
    }
  CU_FAIL_FATAL ("the daemon is not ready");
}

static void
start_site (void)
{
  json_t *limits;

  directory = g_dir_make_tmp ("edge-memory-XXXXXX", NULL);
  settings_path = g_strdup_printf ("%s/edge.toml", directory);
  site_start_platform (&site, 2, 0);
  limits = json_object_get (site.config, "Limits");
  json_object_set_new (limits, "MaxHeaderBytes",
                       json_integer (MAX_HEADER_BYTES));
  json_object_set_new (limits, "MaxBodyBytes", json_integer (MAX_BODY_BYTES));
  site_publish (&site);
  start_daemon ();
}

static void
finish_site (void)
{
  process_finish (process);
  site_finish (&site);
  remove (settings_path);
  remove (directory);
  g_free (settings_path);
  g_free (directory);
}

static void
open_caller (struct load_caller *c)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)site.settings.http_port) };

  inet_pton (AF_INET, loopback_address (), &address.sin_addr);
  c->sent = 0;
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  CU_ASSERT_TRUE (c->fd >= 0);
  (void)!connect (c->fd, (struct sockaddr *)&address, sizeof address);
}

/* Sends on what there is room for.  */
static void
send_on (struct load_caller *c, const char *text, size_t size)
{
  size_t left = size - c->sent;
  ssize_t sent
      = send (c->fd, text + c->sent,
              left < MAX_SEND_BYTES ? left : MAX_SEND_BYTES, MSG_NOSIGNAL);

  if (sent > 0)
    c->sent += (size_t)sent;
}

/* Peak of the daemon's resident memory.  */
static unsigned long
get_memory_mb (void)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)process);
  char *text = NULL;
  const char *line;
  unsigned long kb = 0;

  if (g_file_get_contents (path, &text, NULL, NULL)
      && (line = strstr (text, "VmHWM:")) != NULL)
    sscanf (line, "VmHWM: %lu", &kb);
  g_free (text);
  g_free (path);
  return kb / 1024;
}

/* Callers that send a text without its end, and other calls beside them.  */
static void
check_callers (const char *name, const char *text, size_t size, uint32_t count)
{
  uint32_t served = 0;
  unsigned long memory_mb;
  bool has_ended;

  start_site ();
  for (uint32_t i = 0; i < count; i++)
    open_caller (&callers[i]);
  for (uint32_t i = 0; i < CALLS; i++)
    {
      for (uint32_t k = 0; k < count; k++)
        for (size_t sent = 0; sent < size; sent += MAX_SEND_BYTES)
          send_on (&callers[k], text, size);
      site_wait (&site, PERIOD_MS);
      served += site_call (&site, "GET", "/safe/1", "k1", NULL)->status == 200;
    }
  memory_mb = get_memory_mb ();
  fprintf (stderr, "  %s, %u callers: %lu MB; others: 200 %u of %d\n", name,
           count, memory_mb, served, CALLS);
  has_ended = process_has_ended (process);
  CU_ASSERT_FALSE (has_ended);
#ifndef __SANITIZE_ADDRESS__
  CU_ASSERT_TRUE (memory_mb <= MEMORY_MB);
#endif
  CU_ASSERT_EQUAL (served, CALLS);
  for (uint32_t i = 0; i < count; i++)
    close (callers[i].fd);
  site_wait (&site, RECOVERY_MS);
  CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/2", "k1", NULL)->status,
                   200);
  finish_site ();
}

static void
test_heads (void)
{
  char *text = g_strnfill (HEAD_BYTES, 'x');

  memcpy (text, head_start, strlen (head_start));
  check_callers ("heads", text, HEAD_BYTES, MAX_CALLERS);
  g_free (text);
}

static void
test_bodies (void)
{
  char *text = g_strnfill (BODY_BYTES, 'x');

  memcpy (text, body_start, strlen (body_start));
  check_callers ("bodies", text, BODY_BYTES, MAX_CALLERS);
  g_free (text);
}

static const struct unit_test tests[] = {
  { "heads without an end exhaust the daemon's memory", test_heads },
  { "bodies without an end exhaust the daemon's memory", test_bodies },
};

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  unit_silence_log ();
  return UNIT_RUN ("edge_memory_callers", tests);
}

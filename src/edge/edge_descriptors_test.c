/* Guards against a daemon that ends, spins or stops serving because its limit
   of descriptors is used up, or because its output takes nothing.  */

#include "tests/fakes/process.h"
#include "tests/fakes/site.h"
#include "tests/loopback.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>
#include <utime.h>

enum
{
  DESCRIPTORS = 128, /* The settings allow more.  */
  IDLE_CALLERS = 200,
  PEERS = 100,
  CALLS = 20,
  LOGGED_ROUNDS = 60,
  RUNNING_CALLS = 64,
  READY_MS = 10000,
  POLL_MS = 100,
  DEADLINE_MS = 4000,
  MEASURED_MS = 2000,
  CHECK_MS = 3000, /* The file is checked each second.  */
  MS_PER_S = 1000
};

static struct site site;
static char *directory;
static char *settings_path;
static pid_t process;
static int callers[IDLE_CALLERS];
static int peers[PEERS];

static void
start_daemon (struct process_options *options)
{
  const char *build = g_getenv ("BUILD");

  options->program = talloc_asprintf (site.events, "%s/burdockdale",
                                      build != NULL ? build : "build");
  options->settings_path = settings_path;
  if (options->log_path == NULL)
    options->log_path = g_getenv ("DAEMON_LOG");
  process = process_start (&site.settings, options);
  for (uint32_t ms = 0; ms < READY_MS; ms += POLL_MS)
    {
      site_wait (&site, POLL_MS);
      if (site_call (&site, "GET", "/safe/0", "k1", NULL)->status == 200)
        return;
    }
  CU_FAIL_FATAL ("the daemon is not ready");
}

static void
start_site (struct process_options *options)
{
  directory = g_dir_make_tmp ("edge-descriptors-XXXXXX", NULL);
  settings_path = g_strdup_printf ("%s/edge.toml", directory);
  site_start_platform (&site, 2, 0);
  start_daemon (options);
}

static void
finish_site (void)
{
  CU_ASSERT_FALSE (process_has_ended (process));
  process_finish (process);
  site_finish (&site);
  remove (settings_path);
  remove (directory);
  g_free (settings_path);
  g_free (directory);
}

static int
open_connection (uint32_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, loopback_address (), &address.sin_addr);
  CU_ASSERT_TRUE (fd >= 0);
  (void)!connect (fd, (struct sockaddr *)&address, sizeof address);
  return fd;
}

static void
open_connections (int *fds, uint32_t count, uint32_t port)
{
  for (uint32_t i = 0; i < count; i++)
    fds[i] = open_connection (port);
}

static void
close_connections (const int *fds, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    close (fds[i]);
}

static uint32_t
count_descriptors (void)
{
  char *path = g_strdup_printf ("/proc/%d/fd", (int)process);
  GDir *fds = g_dir_open (path, 0, NULL);
  uint32_t count = 0;

  while (fds != NULL && g_dir_read_name (fds) != NULL)
    count++;
  if (fds != NULL)
    g_dir_close (fds);
  g_free (path);
  return count;
}

/* Processor time of the daemon.  */
static int64_t
get_cpu_ms (void)
{
  char *path = g_strdup_printf ("/proc/%d/stat", (int)process);
  char *text = NULL;
  unsigned long user = 0;
  unsigned long system = 0;
  const char *rest;

  if (g_file_get_contents (path, &text, NULL, NULL)
      && (rest = strrchr (text, ')')) != NULL)
    sscanf (rest, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
            &user, &system);
  g_free (text);
  g_free (path);
  return (int64_t)(user + system) * MS_PER_S / sysconf (_SC_CLK_TCK);
}

static uint32_t
count_served (void)
{
  uint32_t served = 0;

  for (uint32_t i = 0; i < CALLS; i++)
    served += site_call (&site, "GET", "/safe/1", "k1", NULL)->status == 200;
  return served;
}

/* A process that only waits takes far less than half of a core.  */
static void
check_processor (const char *name)
{
  int64_t before_ms = get_cpu_ms ();
  int64_t used_ms;

  site_wait (&site, MEASURED_MS);
  used_ms = get_cpu_ms () - before_ms;
  fprintf (stderr, "  %s: %u descriptors, processor %lld of %d ms\n", name,
           count_descriptors (), (long long)used_ms, MEASURED_MS);
  CU_ASSERT_TRUE (used_ms < MEASURED_MS / 2);
}

static void
test_peers_beyond_the_limit (void)
{
  struct process_options options = { .descriptors = DESCRIPTORS };

  start_site (&options);
  open_connections (callers, IDLE_CALLERS, site.settings.http_port);
  site_wait (&site, POLL_MS);
  open_connections (peers, PEERS, site.settings.peer_port);
  site_wait (&site, POLL_MS);
  /* Its settings cannot be read.  */
  kill (process, SIGHUP);
  check_processor ("peers");
  close_connections (callers, IDLE_CALLERS);
  close_connections (peers, PEERS);
  site_wait (&site, MS_PER_S);
  CU_ASSERT_EQUAL (count_served (), CALLS);
  finish_site ();
}

static bool
has_logged (const char *path, const char *event)
{
  char *text = NULL;
  bool has_event = g_file_get_contents (path, &text, NULL, NULL)
                   && strstr (text, event) != NULL;

  g_free (text);
  return has_event;
}

static void
test_settings_change_beyond_the_limit (void)
{
  char *log_path = g_strdup_printf ("/tmp/edge-reload-%d", (int)getpid ());
  struct process_options options
      = { .descriptors = DESCRIPTORS, .log_path = log_path };

  start_site (&options);
  open_connections (callers, IDLE_CALLERS, site.settings.http_port);
  site_wait (&site, POLL_MS);
  open_connections (peers, PEERS, site.settings.peer_port);
  site_wait (&site, POLL_MS);
  utime (settings_path, NULL);
  site_wait (&site, CHECK_MS);
  CU_ASSERT_FALSE (has_logged (log_path, "\"reloaded\""));
  close_connections (callers, IDLE_CALLERS);
  close_connections (peers, PEERS);
  site_wait (&site, CHECK_MS);
  CU_ASSERT_TRUE (has_logged (log_path, "\"reloaded\""));
  finish_site ();
  remove (log_path);
  g_free (log_path);
}

/* The caller of site_call() has a connection from before.  */
static void
test_idle_callers_beyond_the_limit (void)
{
  struct process_options options = { .descriptors = DESCRIPTORS };
  uint32_t served;

  start_site (&options);
  open_connections (callers, IDLE_CALLERS, site.settings.http_port);
  site_wait (&site, POLL_MS);
  check_processor ("callers");
  served = count_served ();
  fprintf (stderr, "  callers: served %u of %d\n", served, CALLS);
  CU_ASSERT_EQUAL (served, CALLS);
  close_connections (callers, IDLE_CALLERS);
  finish_site ();
}

/* Each call takes a descriptor for its caller and one for its endpoint.  */
static void
test_running_calls_beyond_the_limit (void)
{
  struct process_options options = { .descriptors = DESCRIPTORS };
  const struct site_call *calls[RUNNING_CALLS];
  uint32_t answered = 0;
  uint32_t served = 0;

  start_site (&options);
  for (uint32_t i = 0; i < site.worker_count; i++)
    {
      site.workers[i].slots = RUNNING_CALLS;
      site.workers[i].mode = WORKER_PAUSING;
      site_list_worker (&site.workers[i]);
    }
  site_wait (&site, MS_PER_S);
  for (uint32_t i = 0; i < RUNNING_CALLS; i++)
    calls[i] = site_start_call (&site, "POST", "/unsafe/1", "k1", NULL);
  check_processor ("calls");
  site_wait (&site, DEADLINE_MS - MEASURED_MS + MS_PER_S);
  for (uint32_t i = 0; i < RUNNING_CALLS; i++)
    {
      answered += calls[i]->is_done && calls[i]->status != 0;
      served += calls[i]->status == 200;
    }
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = WORKER_HEALTHY;
  fprintf (stderr, "  calls: answered %u, served %u of %d\n", answered, served,
           RUNNING_CALLS);
  CU_ASSERT_EQUAL (answered, RUNNING_CALLS);
  CU_ASSERT_EQUAL (count_served (), CALLS);
  finish_site ();
}

/* The first sockets would take the place of standard output, and get the
   lines of the log.  */
static void
test_closed_output (void)
{
  struct process_options options = { .has_no_output = true };

  start_site (&options);
  check_processor ("no output");
  for (int fd = 0; fd <= STDERR_FILENO; fd++)
    {
      char *path = g_strdup_printf ("/proc/%d/fd/%d", (int)process, fd);
      char *target = g_file_read_link (path, NULL);

      fprintf (stderr, "  descriptor %d: %s\n", fd, target);
      CU_ASSERT_TRUE (target != NULL && strcmp (target, "/dev/null") == 0);
      g_free (target);
      g_free (path);
    }
  CU_ASSERT_EQUAL (count_served (), CALLS);
  finish_site ();
}

/* More lines than a pipe takes.  */
static void
check_calls (const char *name)
{
  uint32_t served = 0;

  for (uint32_t i = 0; i < LOGGED_ROUNDS; i++)
    served += count_served ();
  check_processor (name);
  CU_ASSERT_EQUAL (served, LOGGED_ROUNDS * CALLS);
}

static void
test_full_output (void)
{
  struct process_options options = { .log_path = "/dev/full" };

  start_site (&options);
  check_calls ("full output");
  finish_site ();
}

static void
test_unread_output (void)
{
  char *fifo = g_strdup_printf ("/tmp/edge-output-%d", (int)getpid ());
  struct process_options options = { .log_path = fifo };
  int reader;

  CU_ASSERT_EQUAL_FATAL (mkfifo (fifo, 0600), 0);
  reader = open (fifo, O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  start_site (&options);
  check_calls ("unread output");
  close (reader);
  check_calls ("output without a reader");
  finish_site ();
  remove (fifo);
  g_free (fifo);
}

static const struct unit_test tests[] = {
  { "peers beyond the limit of descriptors make the daemon spin",
    test_peers_beyond_the_limit },
  { "settings that change beyond the limit of descriptors are not read",
    test_settings_change_beyond_the_limit },
  { "idle callers beyond the limit of descriptors stop all service",
    test_idle_callers_beyond_the_limit },
  { "running calls beyond the limit of descriptors are lost",
    test_running_calls_beyond_the_limit },
  { "the log goes to a descriptor that is not its output",
    test_closed_output },
  { "full output stops the daemon", test_full_output },
  { "output that nobody reads stops the daemon", test_unread_output },
};

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  unit_silence_log ();
  return UNIT_RUN ("edge_descriptors", tests);
}

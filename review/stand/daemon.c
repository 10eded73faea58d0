/* Daemons as separate processes, with the command of the deploy file.  */

#include "stand.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

struct daemon daemons[MAX_DAEMONS];
int daemon_count;

/* The deploy file's template, filled in with the figures of a small site.  */
static const char settings[]
    = "name = \"%s\"\ndata_centre = \"%s\"\ndialect = \"platform\"\n"
      "callers = \"127.0.0.1:%u\"\nbalancer = \"127.0.0.1:%u\"\n"
      "peer_port = %u\nmetrics_port = %u\nhandover_port = %u\n"
      "platform_url = \"http://127.0.0.1:%u\"\nfirst_start = true\n"
      "heartbeat_ms = 1200\nmax_descriptors = 4200\nmemory_mb = 260\n"
      "cpu_share = 0.25\nreads_per_s = 2000\nwrites_per_s = 400\n\n[bounds]\n"
      "config_apply_ms = 2000\ndrain_ms = 2000\ncontact_ms = 3000\n"
      "grace_s = 8\nrevoke_ms = 5000\nrevoke_fail_closed = true\n"
      "retry_ratio = 0.2\nretry_slack = 103\nstall_ms = 4000\n";

static void
write_settings (const struct daemon *d, const char *zone, uint32_t store_port,
                const char *path)
{
  FILE *file = fopen (path, "w");

  if (file == NULL)
    finish (2);
  fprintf (file, settings, d->name, zone, d->callers, d->ready, d->peers,
           d->metrics, d->handover, store_port);
  fclose (file);
}

struct daemon *
daemon_start (const char *name, const char *zone, uint32_t store_port)
{
  struct daemon *d = &daemons[daemon_count++];
  const char *folder = getenv ("CASE_TMP");
  char path[4096];
  char log[4096];
  pid_t parent = getpid ();

  if (folder == NULL)
    finish (2);
  snprintf (d->name, NAME, "%s", name);
  d->callers = free_port ();
  d->ready = free_port ();
  d->peers = free_port ();
  d->metrics = free_port ();
  d->handover = free_port ();
  snprintf (path, sizeof path, "%s/%s.conf", folder, name);
  snprintf (log, sizeof log, "%s/%s.log", folder, name);
  write_settings (d, zone, store_port, path);
  d->pid = fork ();
  if (d->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_TRUNC, 0644);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (127);
      alarm (0);
      signal (SIGPIPE, SIG_DFL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl ("target/burdockdale", "target/burdockdale", "edge", "--settings",
             path, (char *)NULL);
      _exit (127);
    }
  note ("%s starts: target/burdockdale edge --settings %s.conf", name, name);
  return d;
}

bool
daemon_is_running (struct daemon *d)
{
  int status;

  if (d->pid <= 0)
    return false;
  if (waitpid (d->pid, &status, WNOHANG) != d->pid)
    return true;
  note ("%s has ended by itself, status %d", d->name, status);
  d->pid = 0;
  return false;
}

static bool
is_ready (const struct daemon *d)
{
  struct connection c = { .fd = client_connect (d->ready) };
  static const char text[] = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
  struct message m = { .count = 0 };
  bool is = false;

  if (c.fd >= 0 && send_all (c.fd, text, sizeof text - 1)
      && read_head (&c, &m))
    is = strncmp (m.first, "HTTP/1.1 200", 12) == 0;
  free_message (&m);
  close_connection (&c);
  return is;
}

void
daemons_wait_ready (int64_t timeout_ms)
{
  int64_t end_ms = now_ms () + timeout_ms;

  for (int i = 0; i < daemon_count; i++)
    while (!is_ready (&daemons[i]))
      {
        if (now_ms () > end_ms || !daemon_is_running (&daemons[i]))
          {
            note ("%s does not become ready", daemons[i].name);
            finish (2);
          }
        sleep_ms (100);
      }
  note ("all daemons are ready");
}

#include "tests/fakes/process.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  BYTES_PER_MB = 1 << 20
};

static void
append_number (GString *text, const struct process_options *options,
               const char *key, uint32_t value)
{
  if (value != 0
      && (options->omits == NULL || strcmp (options->omits, key) != 0))
    g_string_append_printf (text, "%s = %u\n", key, value);
}

static bool
write_settings (const struct bd_edge_settings *settings,
                const struct process_options *options)
{
  const struct bd_edge_bounds *bounds = &settings->bounds;
  GString *text = g_string_new (NULL);
  bool is_written;

  g_string_printf (text,
                   "name = \"%s\"\ndata_centre = \"%s\"\n"
                   "dialect = \"%s\"\n"
                   "callers = \"%s:%u\"\nbalancer = \"%s:%u\"\n"
                   "platform_url = \"%s\"\nfirst_start = %s\n",
                   settings->name, settings->data_centre, settings->adapter,
                   settings->address, settings->http_port, settings->address,
                   settings->ready_port, settings->platform_url,
                   settings->is_first_start ? "true" : "false");
  append_number (text, options, "peer_port", settings->peer_port);
  append_number (text, options, "metrics_port", settings->metrics_port);
  append_number (text, options, "handover_port", settings->handover_port);
  append_number (text, options, "heartbeat_ms", settings->heartbeat_ms);
  append_number (text, options, "max_descriptors", settings->max_descriptors);
  append_number (text, options, "memory_mb", settings->memory_mb);
  append_number (text, options, "reads_per_s", settings->reads_per_s);
  append_number (text, options, "writes_per_s", settings->writes_per_s);
  g_string_append_printf (
      text,
      "[bounds]\nconfig_apply_ms = %u\ndrain_ms = %u\ngrace_s = %g\n"
      "revoke_ms = %u\nrevoke_fail_closed = true\nretry_ratio = %g\n"
      "retry_slack = %g\nstall_ms = %u\n",
      bounds->config_apply_ms, bounds->drain_ms, bounds->grace_ms / 1000.0,
      bounds->revoke_ms, bounds->retry_ratio, bounds->retry_slack,
      bounds->stall_ms);
  is_written
      = g_file_set_contents (options->settings_path, text->str, -1, NULL);
  g_string_free (text, TRUE);
  return is_written;
}

/* Runs in the child process.  */
static void
execute (const struct process_options *options, pid_t parent)
{
  const char *log_path
      = options->log_path != NULL ? options->log_path : "/dev/null";
  int log = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  struct rlimit data = { (rlim_t)options->data_mb * BYTES_PER_MB,
                         (rlim_t)options->data_mb * BYTES_PER_MB };
  struct rlimit files = { options->descriptors, options->descriptors };

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (1);
  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  close_range (STDERR_FILENO + 1, ~0U, 0);
  if (options->has_no_output)
    close_range (STDIN_FILENO, STDERR_FILENO, 0);
  if ((options->data_mb > 0 && setrlimit (RLIMIT_DATA, &data) != 0)
      || (options->descriptors > 0 && setrlimit (RLIMIT_NOFILE, &files) != 0))
    _exit (1);
  execl (options->program, options->program, "edge", "--settings",
         options->settings_path, NULL);
  _exit (127);
}

pid_t
process_start (const struct bd_edge_settings *settings,
               const struct process_options *options)
{
  pid_t parent = getpid ();
  sigset_t held;
  sigset_t before;
  pid_t pid;
  int ends[2];
  char byte;

  if (!write_settings (settings, options) || pipe2 (ends, O_CLOEXEC) != 0)
    return -1;
  sigemptyset (&held);
  if (options->holds_signals)
    {
      sigaddset (&held, SIGHUP);
      sigaddset (&held, SIGTERM);
    }
  sigprocmask (SIG_BLOCK, &held, &before);
  pid = fork ();
  if (pid == 0)
    execute (options, parent);
  sigprocmask (SIG_SETMASK, &before, NULL);
  close (ends[1]);
  /* Until the process has closed the descriptors of this one: they would keep
     ports in use, and events alive whose descriptors are closed here.  */
  while (read (ends[0], &byte, 1) < 0 && errno == EINTR)
    ;
  close (ends[0]);
  return pid;
}

bool
process_has_ended (pid_t pid)
{
  return waitpid (pid, NULL, WNOHANG) != 0;
}

void
process_finish (pid_t pid)
{
  if (process_has_ended (pid))
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

/* burdockdale edge: the daemon in front of the endpoints of a platform.  */

#include "edge/edge.h"
#include "base/clock.h"
#include "base/crash.h"
#include "base/log.h"
#include "base/resident.h"
#include "base/timer.h"
#include "cli/cli.h"
#include "platform/platform.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  TICK_MS = 50,
  /* The settings file is checked for changes every SETTINGS_TICKS ticks,
     because it can change without a SIGHUP.  */
  SETTINGS_TICKS = 20
};

static const struct bd_adapter *const adapters[] = { &bd_platform_adapter };

struct edge_process
{
  struct tevent_context *events;
  const char *path;
  struct timespec modified_at;
  struct bd_edge_settings settings;
  struct bd_edge *edge;
  uint32_t ticks;
  struct bd_clock clock;
  struct bd_trim trim;
};

static void
handle_stop (struct tevent_context *events, struct tevent_signal *signal_event,
             int signal_number, int count, void *info, void *private_data)
{
  struct edge_process *process = private_data;

  (void)events;
  (void)signal_event;
  (void)signal_number;
  (void)count;
  (void)info;
  bd_edge_stop (process->edge);
}

static void
reload (struct edge_process *process)
{
  struct bd_faults faults = { .ctx = process->edge };
  struct bd_edge_settings settings;

  if (bd_edge_settings_read (&settings, process->edge, process->path, &faults))
    bd_edge_reload (process->edge, &settings);
  else
    bd_log ("reload-refused", "fault", faults.text, NULL);
}

static void
handle_reload (struct tevent_context *events,
               struct tevent_signal *signal_event, int signal_number,
               int count, void *info, void *private_data)
{
  (void)events;
  (void)signal_event;
  (void)signal_number;
  (void)count;
  (void)info;
  reload (private_data);
}

/* Whether the settings file has changed since the last check.  */
static bool
was_settings_file_modified (struct edge_process *process)
{
  struct stat status;
  bool was_known;
  /* A change is found again while the file cannot be opened, for example for
     want of descriptors.  */
  int fd = open (process->path, O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  bool is_read = fd >= 0 && fstat (fd, &status) == 0;

  if (fd >= 0)
    close (fd);
  if (!is_read)
    return false;
  was_known = process->modified_at.tv_sec != 0;
  if (memcmp (&process->modified_at, &status.st_mtim, sizeof status.st_mtim)
      == 0)
    return false;
  process->modified_at = status.st_mtim;
  return was_known;
}

/* Wakes the event loop, so that it checks whether shutdown is complete,
   reloads modified settings, and returns freed memory.  */
static void
handle_tick (void *private_data)
{
  struct edge_process *process = private_data;

  bd_timer_add (process->events, process->events, TICK_MS, handle_tick,
                process);
  if (process->ticks++ % SETTINGS_TICKS == 0
      && was_settings_file_modified (process))
    reload (process);
  if (bd_trim_is_due (&process->trim, bd_edge_request_count (process->edge),
                      bd_clock_now_ms (&process->clock)))
    bd_resident_release_heap ();
}

static const struct bd_adapter *
find_adapter (const char *name)
{
  for (size_t i = 0; i < sizeof adapters / sizeof adapters[0]; i++)
    if (strcmp (adapters[i]->name, name) == 0)
      return adapters[i];
  return NULL;
}

static int
run (struct edge_process *process, void *ctx)
{
  const struct bd_adapter *adapter = find_adapter (process->settings.adapter);

  if (adapter == NULL)
    {
      fprintf (stderr, "%s: error: unknown dialect '%s'\n", process->path,
               process->settings.adapter);
      return BD_EXIT_FAILED;
    }
  process->events = tevent_context_init (ctx);
  process->edge
      = bd_edge_start (ctx, process->events, &process->settings, adapter);
  if (process->edge == NULL)
    return BD_EXIT_FAILED;
  tevent_add_signal (process->events, process->events, SIGTERM, 0, handle_stop,
                     process);
  tevent_add_signal (process->events, process->events, SIGINT, 0, handle_stop,
                     process);
  tevent_add_signal (process->events, process->events, SIGHUP, 0,
                     handle_reload, process);
  bd_cli_release_signals ();
  process->clock = bd_clock_system ();
  bd_trim_init (&process->trim, bd_clock_now_ms (&process->clock));
  handle_tick (process);
  while (!bd_edge_is_done (process->edge))
    tevent_loop_once (process->events);
  bd_cli_hold_signals ();
  bd_log ("stopped", NULL);
  bd_edge_finish (process->edge);
  return BD_EXIT_OK;
}

int
bd_cli_edge (int argc, char **argv)
{
  void *ctx = talloc_new (NULL);
  struct bd_faults faults = { .ctx = ctx };
  struct edge_process process = { .path = NULL };
  int code = bd_cli_parse_daemon (argc, argv,
                                  "Runs the daemon in front of the endpoints "
                                  "of a platform until SIGTERM.",
                                  &process.path);

  if (code >= 0)
    goto out;
  bd_cli_hold_signals ();
  if (!bd_edge_settings_read (&process.settings, ctx, process.path, &faults))
    {
      fputs (faults.text, stderr);
      code = BD_EXIT_FAILED;
      goto out;
    }
  bd_resident_init ();
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  bd_log_init (process.settings.name);
  bd_crash_init (process.settings.name);
  code = run (&process, ctx);
  bd_log_flush ();
  curl_global_cleanup ();

out:
  talloc_free (ctx);
  return code;
}

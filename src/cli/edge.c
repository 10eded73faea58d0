/* burdockdale edge: the daemon before the endpoints of a platform.  */

#include "edge/edge.h"
#include "base/log.h"
#include "base/timer.h"
#include "cli/cli.h"
#include "platform/platform.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>

enum
{
  TICK_MS = 50,
  /* Settings may change without a signal.  */
  SETTINGS_TICKS = 20
};

static const struct bd_dialect *const dialects[] = { &bd_platform_adapter };

struct edge_process
{
  struct tevent_context *events;
  const char *path;
  struct timespec changed;
  struct bd_edge_settings settings;
  struct bd_edge *edge;
  uint32_t ticks;
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
handle_hangup (struct tevent_context *events,
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

/* Whether the settings file has changed since it was looked at last.  */
static bool
has_changed (struct edge_process *process)
{
  struct stat status;
  bool has_time;

  if (stat (process->path, &status) != 0)
    return false;
  has_time = process->changed.tv_sec != 0;
  if (memcmp (&process->changed, &status.st_mtim, sizeof status.st_mtim) == 0)
    return false;
  process->changed = status.st_mtim;
  return has_time;
}

/* Wakes the loop so that it looks whether a stop has come to its end.  */
static void
handle_tick (void *private_data)
{
  struct edge_process *process = private_data;

  bd_timer_add (process->events, process->events, TICK_MS, handle_tick,
                process);
  if (process->ticks++ % SETTINGS_TICKS == 0 && has_changed (process))
    reload (process);
}

static const struct bd_dialect *
dialect_of (const char *name)
{
  for (size_t i = 0; i < sizeof dialects / sizeof dialects[0]; i++)
    if (strcmp (dialects[i]->name, name) == 0)
      return dialects[i];
  return NULL;
}

static int
run (struct edge_process *process, void *ctx)
{
  const struct bd_dialect *dialect = dialect_of (process->settings.dialect);

  if (dialect == NULL)
    {
      fprintf (stderr, "%s: error: no dialect '%s'\n", process->path,
               process->settings.dialect);
      return BD_EXIT_FAILED;
    }
  process->events = tevent_context_init (ctx);
  process->edge
      = bd_edge_start (ctx, process->events, &process->settings, dialect);
  if (process->edge == NULL)
    return BD_EXIT_FAILED;
  tevent_add_signal (process->events, process->events, SIGTERM, 0, handle_stop,
                     process);
  tevent_add_signal (process->events, process->events, SIGINT, 0, handle_stop,
                     process);
  tevent_add_signal (process->events, process->events, SIGHUP, 0,
                     handle_hangup, process);
  handle_tick (process);
  while (!bd_edge_is_done (process->edge))
    tevent_loop_once (process->events);
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
                                  "Runs the daemon before the endpoints of a "
                                  "platform until SIGTERM.",
                                  &process.path);

  if (code >= 0)
    goto out;
  if (!bd_edge_settings_read (&process.settings, ctx, process.path, &faults))
    {
      fputs (faults.text, stderr);
      code = BD_EXIT_FAILED;
      goto out;
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  bd_log_init (process.settings.name);
  code = run (&process, ctx);
  bd_log_flush ();
  curl_global_cleanup ();

out:
  talloc_free (ctx);
  return code;
}

/* burdockdale serve: runs the daemon.  */

#include "base/crash.h"
#include "base/log.h"
#include "base/timer.h"
#include "cli/cli.h"
#include "daemon/daemon.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <talloc.h>

enum
{
  TICK_MS = 50
};

static void
handle_stop (struct tevent_context *events, struct tevent_signal *signal_event,
             int signal_number, int count, void *info, void *private_data)
{
  (void)events;
  (void)signal_event;
  (void)signal_number;
  (void)count;
  (void)info;
  bd_daemon_stop (private_data);
}

/* The settings of this daemon change by a restart only.  */
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
  (void)private_data;
  bd_log ("reload-refused", "fault", "settings are read at the start only",
          NULL);
}

/* Wakes the event loop, so that it checks whether shutdown is complete.  */
static void
wake_loop (void *private_data)
{
  struct tevent_context *events = private_data;

  bd_timer_add (events, events, TICK_MS, wake_loop, events);
}

static int
run (void *ctx, const struct bd_settings *settings)
{
  struct tevent_context *events = tevent_context_init (ctx);
  struct bd_daemon *daemon;

  daemon = bd_daemon_start (ctx, events, settings);
  if (daemon == NULL)
    return BD_EXIT_FAILED;
  tevent_add_signal (events, events, SIGTERM, 0, handle_stop, daemon);
  tevent_add_signal (events, events, SIGINT, 0, handle_stop, daemon);
  tevent_add_signal (events, events, SIGHUP, 0, handle_reload, daemon);
  bd_cli_release_signals ();
  wake_loop (events);
  while (!bd_daemon_is_done (daemon))
    tevent_loop_once (events);
  bd_cli_hold_signals ();
  bd_log ("stopped", NULL);
  bd_daemon_finish (daemon);
  return BD_EXIT_OK;
}

int
bd_cli_serve (int argc, char **argv)
{
  void *ctx = talloc_new (NULL);
  struct bd_faults faults = { .ctx = ctx };
  struct bd_settings settings;
  const char *path;
  int code
      = bd_cli_parse_daemon (argc, argv,
                             "Runs the daemon until SIGTERM; calls in flight "
                             "finish before it exits.",
                             &path);

  if (code >= 0)
    goto out;
  bd_cli_hold_signals ();
  if (!bd_settings_read (&settings, ctx, path, &faults))
    {
      fputs (faults.text, stderr);
      code = BD_EXIT_FAILED;
      goto out;
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  bd_log_init (settings.name);
  bd_crash_init (settings.name);
  code = run (ctx, &settings);
  bd_log_flush ();
  curl_global_cleanup ();

out:
  talloc_free (ctx);
  return code;
}

/* Signals of daemons that arrive before their handlers are installed.  */

#include "cli/cli.h"

#include <signal.h>
#include <stddef.h>

static void
change_mask (int how)
{
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGHUP);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGTERM);
  sigprocmask (how, &signals, NULL);
}

void
bd_cli_hold_signals (void)
{
  change_mask (SIG_BLOCK);
}

void
bd_cli_release_signals (void)
{
  change_mask (SIG_UNBLOCK);
}

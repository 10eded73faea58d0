/* The daemon: all modules on one event loop.

   Simple use:
     struct bd_daemon *daemon = bd_daemon_start (ctx, events, &settings);
     tevent_loop...; until bd_daemon_is_done (daemon)
     bd_daemon_finish (daemon);  */

#ifndef BD_DAEMON_DAEMON_H
#define BD_DAEMON_DAEMON_H

#include "settings/settings.h"

#include <stdbool.h>
#include <tevent.h>

struct bd_daemon;

/* bd_daemon_start(): listens and starts the timers.  Returns NULL when the
   HTTP client cannot be created or a port cannot be bound.  settings must
   outlive the daemon.  */
struct bd_daemon *bd_daemon_start (void *ctx, struct tevent_context *events,
                                   const struct bd_settings *settings);

/* bd_daemon_stop(): starts a graceful stop: the daemon is not ready from now
   on and takes no new calls; calls in flight finish.  Shortly before the end
   of the grace period of its settings those that still run get their final
   response: 503 if they have not run, 504 or a broken stream otherwise.  */
void bd_daemon_stop (struct bd_daemon *daemon);

/* bd_daemon_is_done(): whether a stop is complete, or its grace period is
   over.  */
bool bd_daemon_is_done (const struct bd_daemon *daemon);

/* bd_daemon_finish(): closes all connections and frees the daemon.  */
void bd_daemon_finish (struct bd_daemon *daemon);

#endif

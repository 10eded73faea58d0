/* The daemon: one event loop with every slice on it.

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

/* bd_daemon_start(): listens and begins to work.  Returns NULL when a port
   cannot be bound.  settings must outlive the daemon.  */
struct bd_daemon *bd_daemon_start (void *ctx, struct tevent_context *events,
                                   const struct bd_settings *settings);

/* bd_daemon_stop(): graceful stop: not ready at once, no new work, everything
   in flight finishes.  */
void bd_daemon_stop (struct bd_daemon *daemon);

/* bd_daemon_is_done(): whether a stop has come to its end.  */
bool bd_daemon_is_done (const struct bd_daemon *daemon);

/* bd_daemon_finish(): closes everything.  */
void bd_daemon_finish (struct bd_daemon *daemon);

#endif

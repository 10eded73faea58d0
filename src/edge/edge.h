/* The edge daemon: routes requests of callers and forwards them to endpoints
   and replica groups.

   A request passes through five files, each of which depends only on the next:

     ingress.c -> admission.c -> target.c -> attempt.c -> response.c

   The other files process input from the platform, the endpoints and the
   peers: sync.c (configuration and instance list), controller.c (replica
   groups), watchdog.c (stalled groups and deadlines), peers.c (messages
   between daemons), evidence.c (crashes), pacing.c (request limits of
   endpoints), handover.c (requests that other daemons serve), stop.c (graceful
   stops), pages.c (readiness and metrics) and route_check.c (explains where a
   request would go).

   Use: bd_edge_start(), then run the event loop; bd_edge_stop(), then run the
   event loop until bd_edge_is_done(); bd_edge_finish().  */

#ifndef BD_EDGE_EDGE_H
#define BD_EDGE_EDGE_H

#include "edge/adapter.h"
#include "edge/settings.h"

#include <stdbool.h>
#include <tevent.h>

/* Path, at the metrics address, of the page that `burdockdale route-check`
   reads.  */
#define BD_ROUTE_CHECK_PATH "/route-check"

struct bd_edge;

/* bd_edge_start(): starts the daemon on the event loop events.
   settings and adapter have to outlive the daemon.
   Returns NULL when it cannot initialize or listen.  */
struct bd_edge *bd_edge_start (void *ctx, struct tevent_context *events,
                               struct bd_edge_settings *settings,
                               const struct bd_adapter *adapter);

/* bd_edge_stop(): starts a graceful stop within grace_ms of the settings.
   Requests in flight are completed, new ones are served as long as they can be
   completed and are refused then.  */
void bd_edge_stop (struct bd_edge *edge);

/* bd_edge_reload(): applies the bounds of changed settings.  All other
   settings, such as addresses and ports, keep their values from the start.  */
void bd_edge_reload (struct bd_edge *edge,
                     const struct bd_edge_settings *settings);

/* bd_edge_is_ready(): whether the daemon can accept requests.  Sets *reason to
   a line of text that explains why not, or to an empty string.  */
bool bd_edge_is_ready (const struct bd_edge *edge, const char **reason);

/* bd_edge_is_endpoint_listed(): whether the endpoint with this id counts as
   listed: the instance list has it, or its entry can have expired.  */
bool bd_edge_is_endpoint_listed (const struct bd_edge *edge,
                                 const char *endpoint);

/* bd_edge_is_done(): whether a stop is complete: no requests are open or the
   grace period is over.  */
bool bd_edge_is_done (const struct bd_edge *edge);

/* bd_edge_request_count(): requests of callers in progress.  */
uint32_t bd_edge_request_count (const struct bd_edge *edge);

/* bd_edge_finish(): closes all connections and frees the daemon.  */
void bd_edge_finish (struct bd_edge *edge);

#endif

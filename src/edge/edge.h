/* The edge daemon: takes requests of callers by route tables and forwards
   them to endpoints and replica groups.

   A request goes through five files, each knowing only the next:

     ingress.c -> admission.c -> place.c -> attempt.c -> answer.c

   Beside them, fed by the platform, the endpoints and the peers: feed.c (the
   configuration and the instance list), keeper.c (replica groups), watchdog.c
   (silent groups and deadlines), peers.c, pages.c.  */

#ifndef BD_EDGE_EDGE_H
#define BD_EDGE_EDGE_H

#include "edge/adapter.h"
#include "edge/settings.h"

#include <stdbool.h>
#include <tevent.h>

struct bd_edge;

/* bd_edge_start(): starts the daemon on events; NULL when it cannot listen.
   settings and dialect must outlive it.  */
struct bd_edge *bd_edge_start (void *ctx, struct tevent_context *events,
                               struct bd_edge_settings *settings,
                               const struct bd_adapter *adapter);

/* bd_edge_stop(): a planned stop: what is in flight is finished, within the
   grace of the settings.  */
void bd_edge_stop (struct bd_edge *edge);

/* bd_edge_reload(): puts changed settings in force.  Addresses and ports stay
   as they were at the start.  */
void bd_edge_reload (struct bd_edge *edge,
                     const struct bd_edge_settings *settings);

/* bd_edge_is_ready(): whether requests can be taken; *reason says why not.  */
bool bd_edge_is_ready (const struct bd_edge *edge, const char **reason);

/* bd_edge_is_endpoint_listed(): whether an endpoint is in the list as the
 * daemon holds it.
 */
bool bd_edge_is_endpoint_listed (const struct bd_edge *edge,
                                 const char *endpoint);

/* bd_edge_is_done(): whether a stop has come to its end.  */
bool bd_edge_is_done (const struct bd_edge *edge);

/* bd_edge_finish(): closes everything.  */
void bd_edge_finish (struct bd_edge *edge);

#endif

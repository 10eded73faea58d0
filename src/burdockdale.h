/* burdockdale: the decisions of the serving system as a library.

   Each header below documents one module.  A module only makes decisions: its
   functions take events and the time, and return the actions to perform.  They
   do not use sockets, the system clock or the log, so that traces, property
   tests and benchmarks run the same code as production.  daemon/daemon.h
   performs the actions.

   All public symbols begin with bd_.  The caller allocates memory: an init
   function prepares it, and a finish function releases its resources.

   In order, from simple to advanced:

   Basics
     base/error.h              error kinds and the HTTP response for each
     base/clock.h              clock interface
     base/ids.h                ids, hashes, random numbers
     base/counters.h           metric counters
   Configuration
     settings/settings.h       the daemon's settings
     config/service.h          service files
     config/config.h           accepted configuration with its revision
     document/delta.h          what changes between two versions of a document
     document/history.h        the last changes, for those who follow
   One call
     calls/call.h              attempts, retries, one final response
     calls/sse.h               event streams, split into complete events
     admission/limits.h        rate limits per client account
     admission/queue.h         weighted fair queue
     routing/routing.h         selection of a replica or endpoint
     routing/prefix.h          hints about prefix caches
     claims/shard.h            claims for at-most-once execution
     poison/poison.h           detection of poison requests
     pacing/pacing.h           shares of an endpoint's request limit
     coldstart/coldstart.h     requests to endpoints that have just started
     links/links.h             loss of the links to endpoints
     evacuation/evacuation.h   data centres that get no new attempts
     interference/interference.h  effect of prompts on each other
   Replica groups
     endpoints/report.h        status reports of instances
     groups/gate.h             blocking of calls to incomplete groups
     groups/assignment.h       assignment of instances to groups
     groups/controller.h       formation, repair, drain and update of groups
   The system as a whole
     membership/membership.h   live daemons and their duties
     store/budget.h            store rate limits, circuit breaker, backoff
     store/update.h            conditional updates that survive a lost reply
     daemon/daemon.h           the daemon on one event loop  */

#ifndef BD_BURDOCKDALE_H
#define BD_BURDOCKDALE_H

#include "admission/limits.h"
#include "admission/queue.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/error.h"
#include "base/ids.h"
#include "calls/call.h"
#include "calls/sse.h"
#include "claims/shard.h"
#include "coldstart/coldstart.h"
#include "config/config.h"
#include "config/service.h"
#include "daemon/daemon.h"
#include "endpoints/report.h"
#include "evacuation/evacuation.h"
#include "groups/assignment.h"
#include "groups/controller.h"
#include "groups/gate.h"
#include "interference/interference.h"
#include "links/links.h"
#include "membership/membership.h"
#include "pacing/pacing.h"
#include "poison/poison.h"
#include "routing/prefix.h"
#include "routing/routing.h"
#include "settings/settings.h"
#include "store/budget.h"
#include "store/update.h"

#endif

/* burdockdale: the decisions of the serving system as a library.

   Every header below is the manual of one slice.  A slice decides and does
   nothing else: it is told what happened and when, and answers with what to
   do.  None touches a socket, a clock or the log, so the code that runs in
   production is what traces, properties and benchmarks drive.  All symbols
   begin with bd_.  Memory is the caller's: an init function prepares it, a
   finish function lets go of what it holds.

   In order, from simple to advanced:

   Basics
     base/error.h        the closed list of errors and the answer to each
     base/clock.h        time as an interface
     base/ids.h          ids, hashes, random numbers
     base/counters.h     metric counters
   What operators write
     settings/settings.h the daemon's settings
     config/service.h    service files
     config/config.h     acceptance, and a revision that only rises
   One call
     calls/call.h        its life: attempts, retries, one final answer
     calls/sse.h         streams cut into whole events
     admission/limits.h  limits per client account
     admission/queue.h   the weighted fair queue
     routing/routing.h   which replica or endpoint gets it
     routing/prefix.h    hints about prefix caches
     claims/shard.h      at most once
     poison/poison.h requests that crash endpoints
   Replica groups
     endpoints/report.h  what an instance says of itself
     groups/gate.h       nothing goes to a group that is not whole
     groups/assignment.h  which instances form which group
     groups/controller.h     forming, mending, draining, rolling
   The system as a whole
     membership/membership.h  which daemons are alive and what each one does
     store/budget.h        how often the platform may be called
     store/update.h        updates whose answer was lost
     daemon/daemon.h          all of it on one event loop  */

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
#include "config/config.h"
#include "config/service.h"
#include "daemon/daemon.h"
#include "endpoints/report.h"
#include "groups/assignment.h"
#include "groups/controller.h"
#include "groups/gate.h"
#include "membership/membership.h"
#include "poison/poison.h"
#include "routing/prefix.h"
#include "routing/routing.h"
#include "settings/settings.h"
#include "store/budget.h"
#include "store/update.h"

#endif

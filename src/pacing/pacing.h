/* Keeps the daemons to the rate of requests that an endpoint accepts.  Pure.

   An endpoint in need names in its responses how many requests a second it
   accepts from all daemons together, for as long as it says so.  The limit is
   a small number, and the daemons do not know each other's requests.  So only
   a few daemons, the senders, use a limited endpoint, and each has an equal
   share of the limit.  All daemons derive the senders from the live daemons by
   the same ranking.  A sender saves up little more than one request, so that
   the bursts of all senders together are small too.

   A limit is what an endpoint has said last.  Daemons exchange what they have
   heard with its age, and the newest counts, in whichever order it arrives.

   Designed for loads at which the requests of each sender exceed its share;
   where they do not, the rest of its share stays unused.  */

#ifndef BD_PACING_PACING_H
#define BD_PACING_PACING_H

#include "store/budget.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  BD_PACING_MAX_SENDERS = 4 /* Of one endpoint.  */
};

/* Pacing of the requests to one incarnation of an endpoint.  All zero: it has
   named no limit.  Times are in ms of one monotonic clock.  */
struct bd_pacing
{
  double limit_per_s;  /* Over all daemons; 0 for none.  */
  int64_t observed_ms; /* When it last said so; 0 if it never named any.  */
  double share_per_s;  /* Of this daemon; 0 if it is no sender.  */
  struct bd_bucket permits;
};

/* bd_pacing_observe(): a response of observed_ms has named this limit, or none
   (0).  Returns whether the limit is now another one, so that the share has to
   be set.  An observation that is not newer than the last one has no effect,
   nor has the lack of a limit where none is known.  */
bool bd_pacing_observe (struct bd_pacing *pacing, double limit_per_s,
                        int64_t observed_ms);

/* bd_pacing_rank(): the number of the daemons that rank before self for an
   endpoint.  endpoint, self and the daemons are hashes.  Stops counting at
   max.  */
uint32_t bd_pacing_rank (uint64_t endpoint, uint64_t self,
                         const uint64_t *daemons, uint32_t count,
                         uint32_t max);

/* bd_pacing_share(): the requests a second that the daemon self may send, of
   count daemons that include it, to an endpoint with this limit; 0 if it is no
   sender.  endpoint and the daemons are hashes.  */
double bd_pacing_share (double limit_per_s, uint64_t endpoint, uint64_t self,
                        const uint64_t *daemons, uint32_t count);

/* bd_pacing_set_share(): sets the share of this daemon.  A new sender has no
   permit yet.  */
void bd_pacing_set_share (struct bd_pacing *pacing, double share_per_s,
                          int64_t now_ms);

/* bd_pacing_has_permit(): whether a request can be sent now.  */
bool bd_pacing_has_permit (struct bd_pacing *pacing, int64_t now_ms);

/* bd_pacing_permits(): the permits, and parts of one, that a sender has saved
   up for an endpoint with a limit; 0 if this daemon is no sender.  */
double bd_pacing_permits (struct bd_pacing *pacing, int64_t now_ms);

/* bd_pacing_take(): a request is sent.  */
void bd_pacing_take (struct bd_pacing *pacing, int64_t now_ms);

#endif

/* Fair shares of a limited capacity, by virtual time.  Pure.

   Each account has a share.  What is served for it advances the share's finish
   time by 1 / weight, and the account with the earliest finish time is served
   next.  The virtual time is the start time of what was served last.  An
   account that begins to wait starts there, or at its own finish time if that
   is later.  So it gets nothing for the time in which it did not wait, and an
   account that was served just before does not go ahead of the others because
   its last request has left the queue.

   Used by the backlog of the edge daemon (admission/backlog.h) and by the
   queue of the other interface (admission/queue.h).  */

#ifndef BD_ADMISSION_SHARES_H
#define BD_ADMISSION_SHARES_H

#include <stdbool.h>
#include <stdint.h>

/* Share of one account.  */
struct bd_share
{
  double weight; /* Above 0; accounts without weights have 1.  */
  double finish; /* Virtual finish time of what was charged last.  */
  uint32_t waiting;
};

/* bd_share_start(): moves the finish time of a share forward to virtual_time
   if it is earlier.  Call it before each charge of an account that does not
   wait, and when its first request begins to wait.  */
void bd_share_start (struct bd_share *share, double virtual_time);

/* bd_share_charge(): charges one request.  Returns the new finish time.  */
double bd_share_charge (struct bd_share *share);

/* bd_share_advance(): returns the virtual time after a request with this
   finish time was served for the share.  */
double bd_share_advance (const struct bd_share *share, double finish,
                         double virtual_time);

/* bd_share_has_more(): whether more requests wait for share than for other,
   relative to their weights.  The account with the most loses a request first
   when not all can be served.  */
bool bd_share_has_more (const struct bd_share *share,
                        const struct bd_share *other);

#endif

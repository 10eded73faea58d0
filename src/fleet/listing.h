/* Whether an entry that the instance list lacks can have expired.  Pure.

   The store removes the entry of an endpoint that leaves, and one whose
   heartbeats have not arrived for a while.  While the store cannot be reached
   the two look alike.  Live endpoints are listed again within two seconds of
   its return, and an entry that is still missing then counts as removed.

   Only facts are kept; what follows from them is computed when it is asked
   for, so that a window ends without an event.  When the store returned is
   known only from two sides: not before the last call that it did not serve
   was sent, and not after the first list was read.  The window after an outage
   lasts until live endpoints have been listed again, but ends within drain_ms
   of the first list, and before the daemon has been in contact with the store
   for contact_ms, from when drain_ms counts for it in any case.  A rate limit
   or a lost reply of one daemon opens no window while a peer keeps the list
   current.

   Times are in ms of one monotonic clock.  */

#ifndef BD_FLEET_LISTING_H
#define BD_FLEET_LISTING_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* From the store's return until live endpoints are listed again.  */
  BD_LISTING_RETURN_MS = 2200,
  /* Longest time until the end of the window is noticed, and with the time in
     which a request that was sent before it reaches its endpoint.  */
  BD_LISTING_UPDATE_MS = 200,
  BD_LISTING_TRAVEL_MS = 350,
  /* Shortest assumed time until an entry expires: three missed heartbeats.  */
  BD_LISTING_MIN_TTL_MS = 2500
};

/* All zero, but for the bounds: no list has been read.  */
struct bd_listing
{
  int64_t drain_ms;   /* In which an endpoint that has left gets requests.  */
  int64_t contact_ms; /* See struct bd_edge_bounds.  */
  /* When the list was last known to be current: the sending of the read, by
     this daemon or a peer, that returned it.  */
  int64_t verified_ms;
  int64_t failed_ms; /* Sending of the last unserved call; 0 for none.  */
  /* End of the window after the last outage in which entries can have
     expired, or after a restore; 0 for none.  */
  int64_t window_end_ms;
};

/* bd_listing_note_failure(): the store has not served a call sent at sent_ms.
   bd_listing_note_verified(): the list was current at verified_ms.
   bd_listing_note_restored(): the store was restored from a copy, and the
   endpoints list themselves again.
   bd_listing_note_peer_window(): the peer whose list comes next has a window
   until end_ms.  A daemon that follows a peer calls the store seldom, and may
   know of no failure.  The calls may come in any order.  */
void bd_listing_note_failure (struct bd_listing *listing, int64_t sent_ms);
void bd_listing_note_verified (struct bd_listing *listing, int64_t verified_ms,
                               int64_t now_ms);
void bd_listing_note_restored (struct bd_listing *listing, int64_t now_ms);

void bd_listing_note_peer_window (struct bd_listing *listing, int64_t end_ms,
                                  int64_t now_ms);

/* bd_listing_window_ms(): the time until the end of the window; 0 if there is
   none.  */
int64_t bd_listing_window_ms (const struct bd_listing *listing,
                              int64_t now_ms);

/* bd_listing_can_have_expired(): whether an entry whose absence is learned now
   can have expired.  */
bool bd_listing_can_have_expired (const struct bd_listing *listing,
                                  int64_t now_ms);

/* bd_listing_grace_end_ms(): until when an endpoint that the next list lacks
   can be sent requests: it was still listed at verified_ms, and no daemon can
   have read earlier that it leaves.  0 before the first list.  */
int64_t bd_listing_grace_end_ms (const struct bd_listing *listing);

#endif

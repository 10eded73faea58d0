/* Limits the requests to endpoints that have just started.  Pure.

   An endpoint is cold for some time after its start, and can become cold again
   at any moment.  While it is cold it can take only a few requests a second
   from all daemons together.  The daemons do not know each other's requests,
   and some can be cut off from the others.  So only a few daemons, the
   senders, send to a cold endpoint.  They are ranked by rendezvous hashing
   over the known daemons, live or not, so that a daemon that has lost sight of
   the others does not become a sender for that reason.  Each sender has a
   fixed quarter of the rate, whether the other senders exist or not.

   The end of the cold time follows from what the endpoint's entries and
   responses say.  Times are in ms of one monotonic clock, rates in requests
   a second.  Values come from endpoints: those outside 0 to
   BD_COLDSTART_MAX_REMAINING_MS are invalid and have no effect.  */

#ifndef BD_COLDSTART_COLDSTART_H
#define BD_COLDSTART_COLDSTART_H

#include "store/budget.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  BD_COLDSTART_SENDERS = 4, /* Of one endpoint, at most.  */
  /* Longest remaining time that is valid: a week.  */
  BD_COLDSTART_MAX_REMAINING_MS = 7 * 24 * 3600 * 1000
};

/* From where the end of the cold time is known.  */
enum bd_coldstart_source
{
  BD_COLDSTART_FIRST_SEEN, /* A new incarnation without a valid value.  */
  BD_COLDSTART_ENTRY,
  BD_COLDSTART_RESPONSE,
  BD_COLDSTART_MARK /* See bd_coldstart_mark().  */
};

/* Change of the state since the last bd_coldstart_poll().  */
enum bd_coldstart_change
{
  BD_COLDSTART_NONE,
  BD_COLDSTART_BEGAN,
  BD_COLDSTART_ENDED
};

/* Cold time of an endpoint.  All zero: its service has no cold endpoints.  */
struct bd_coldstart
{
  int64_t start_ms; /* Cold time after a start, as configured; 0 for none.  */
  double per_s;     /* Rate of a cold endpoint over all daemons; 0 for none. */
  enum bd_coldstart_source source;

  /* The current incarnation.  */
  int64_t first_ms;           /* When it was first seen.  */
  bool is_unknown;            /* Its first entry had no valid value.  */
  bool has_entry;             /* Since bd_coldstart_begin().  */
  int64_t heartbeats;         /* Of its last entry.  */
  int64_t entry_remaining_ms; /* Of its last entry; -1 if invalid.  */
  int64_t given_ms;           /* When until_ms became known.  */
  int64_t until_ms;           /* End of the cold time that it has named.  */
  int64_t kept_until_ms;      /* An entry does not end it before.  */
  int64_t marked_until_ms;

  bool was_cold; /* At the last bd_coldstart_poll().  */
  bool is_sender;
  struct bd_bucket permits;
};

/* bd_coldstart_configure(): sets the cold time after a start and the rate of a
   cold endpoint.  If either is not positive there are no cold endpoints.  */
void bd_coldstart_configure (struct bd_coldstart *cold, int64_t start_ms,
                             double per_s, int64_t now_ms);

/* bd_coldstart_begin(): a new incarnation is seen; its entry follows.  */
void bd_coldstart_begin (struct bd_coldstart *cold, int64_t now_ms);

/* bd_coldstart_note_entry(): an entry of the instance list names how much
   longer the endpoint is cold; -1: it names no valid time.  heartbeats is the
   entry's count, 0 if it has none: an entry that is not newer than the last
   one has no effect.  A newer one with 0 ends the cold time, unless that was
   named by a response so recently that the entry can be older.  */
void bd_coldstart_note_entry (struct bd_coldstart *cold, int64_t remaining_ms,
                              int64_t heartbeats, int64_t now_ms);

/* bd_coldstart_note_response(): the same for a response.  The later end
   counts; 0 has no effect.  */
void bd_coldstart_note_response (struct bd_coldstart *cold,
                                 int64_t remaining_ms, int64_t now_ms);

/* bd_coldstart_mark(): the endpoint counts as cold for the configured time
   from now on, whatever its entries say.  */
void bd_coldstart_mark (struct bd_coldstart *cold, int64_t now_ms);

/* bd_coldstart_end_ms(): the end of the cold time, at most 10 times the
   configured one (or 60 s if that is longer) after it was named.  0 if the
   service has no cold endpoints.
   bd_coldstart_is_cold(): whether it is still to come.  */
int64_t bd_coldstart_end_ms (const struct bd_coldstart *cold);
bool bd_coldstart_is_cold (const struct bd_coldstart *cold, int64_t now_ms);

/* bd_coldstart_poll(): whether the endpoint has turned cold or warm since the
   last call.  */
enum bd_coldstart_change bd_coldstart_poll (struct bd_coldstart *cold,
                                            int64_t now_ms);

/* What this daemon and the others know of each other.  Daemons read which
   others exist from a list.  */
struct bd_coldstart_standing
{
  bool has_list;       /* This daemon has read the list.  */
  bool is_first_start; /* Of the whole system: the list still grows.  */
  int64_t age_ms;      /* Since its start.  */
  /* Since it was first put in the list; INT64_MAX if it was there before.  */
  int64_t listed_age_ms;
  int64_t spread_ms;  /* Until the others have read a new entry.  */
  int64_t contact_ms; /* For which a daemon that starts is no sender.  */
};

/* bd_coldstart_may_send(): whether this daemon can be a sender at all.  One
   that does not know the others ranks itself too high, and one that they do
   not know is a sender in addition to theirs.  */
bool bd_coldstart_may_send (const struct bd_coldstart_standing *standing);

/* The daemons that this one knows, live or not, and itself; hashes of their
   names.  */
struct bd_coldstart_daemons
{
  const uint64_t *local; /* Of the endpoint's data centre.  */
  uint32_t local_count;
  const uint64_t *all;
  uint32_t all_count;
};

/* bd_coldstart_is_sender(): whether the daemon self is one of a number of
   senders for an endpoint.  They are ranked among the daemons of its data
   centre, or among all if that has fewer than four.  endpoint is a hash of the
   endpoint and the start of its incarnation.  */
bool bd_coldstart_is_sender (uint64_t endpoint, uint64_t self,
                             const struct bd_coldstart_daemons *daemons,
                             uint32_t senders);

/* bd_coldstart_sender_count(): number of senders for an endpoint with this
   rate.  bound_per_s is how many requests it may receive in any one second, 0
   if that is unknown: fewer than four senders are used if one request of each
   would exceed it.  */
uint32_t bd_coldstart_sender_count (double per_s, double bound_per_s);

/* bd_coldstart_set_sender(): sets whether this daemon is a sender.  A new
   sender has no permit yet.  */
void bd_coldstart_set_sender (struct bd_coldstart *cold, bool is_sender,
                              int64_t now_ms);

/* bd_coldstart_has_permit(): whether a request can be sent now.  Always true
   for a warm endpoint.  */
bool bd_coldstart_has_permit (struct bd_coldstart *cold, int64_t now_ms);

/* bd_coldstart_permits(): the part of a permit that this daemon has for a cold
   endpoint; 0 if it is no sender.
   bd_coldstart_share_per_s(): its rate of permits; 0 if it is no sender.  */
double bd_coldstart_permits (struct bd_coldstart *cold, int64_t now_ms);
double bd_coldstart_share_per_s (const struct bd_coldstart *cold);

/* bd_coldstart_take(): a request is sent.  */
void bd_coldstart_take (struct bd_coldstart *cold, int64_t now_ms);

#endif

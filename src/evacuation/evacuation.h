/* The data centres that the operator has evacuated: no new attempt is sent to
   an endpoint there.  Pure.

   An observation is the whole set of names at a time at which it was known to
   be the newest: the time at which this daemon or a peer sent the read that
   returned it, on this daemon's clock, in ms.  Of two observations the one
   that was verified later counts, whoever made it; of two that were verified
   at the same time, the one that is already held.  Without a new observation
   the last one stays in force, so that nothing ends while the store does not
   respond.

   Before the first observation nothing is evacuated.  A daemon that has just
   started does not know whether that is so: bd_evacuation_is_settled() is
   false until the first observation, or until the first read has failed.

   A name that is no known data centre is kept: its endpoints can appear
   later.

   Usage: bd_evacuation_init(); for each read or reply
   bd_evacuation_observe(), which reports the changes; for each attempt
   bd_evacuation_has(), or its result kept with the endpoint;
   bd_evacuation_finish().  An empty set takes no memory.  */

#ifndef BD_EVACUATION_EVACUATION_H
#define BD_EVACUATION_EVACUATION_H

#include "base/ids.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Names of a set.  Far more than there are data centres; it limits what
     odd objects cost.  Those beyond it are not kept.  */
  BD_EVACUATION_MAX_NAMES = 256,
  /* Limits of the read period, and the part of the bound that is not for
     reads: it is for the way from a relay.  */
  BD_EVACUATION_MIN_PERIOD_MS = 250,
  BD_EVACUATION_RESERVE_MS = 1000,
  /* Reads within the rest of the bound, so that the replies of all but one of
     them may be lost.  */
  BD_EVACUATION_READS_PER_BOUND = 3
};

struct bd_evacuation_name
{
  char name[BD_NAME_SIZE];
  bool is_reported; /* As unknown.  */
};

struct bd_evacuation
{
  struct bd_evacuation_name *names; /* Ascending; NULL if there is none.  */
  uint32_t count;
  int64_t verified_ms; /* Of the last observation that counted.  */
  bool has_observation;
  bool has_failed; /* The first read has failed.  */
};

/* Called for a name that was added to the set or has left it.  */
typedef void bd_evacuation_listener (void *ctx, const char *name,
                                     bool is_evacuated);

/* Whether the name is a data centre with endpoints.  */
typedef bool bd_evacuation_filter (void *ctx, const char *name);

/* bd_evacuation_init(): initializes an empty set without an observation.  */
void bd_evacuation_init (struct bd_evacuation *evacuation);

/* bd_evacuation_finish(): frees the set.  */
void bd_evacuation_finish (struct bd_evacuation *evacuation);

/* bd_evacuation_is_valid(): whether a data centre can have the name.  */
bool bd_evacuation_is_valid (const char *name);

/* bd_evacuation_observe(): applies an observation if it counts.  Names may be
   repeated and in any order; invalid ones are ignored.  If there are too many,
   those first in byte order are kept.  Calls listen for each change, in byte
   order, when the new set is in force.  Returns whether there was any.  */
bool bd_evacuation_observe (struct bd_evacuation *evacuation,
                            const char *const *names, uint32_t count,
                            int64_t verified_ms,
                            bd_evacuation_listener *listen, void *ctx);

/* bd_evacuation_note_failure(): a read has failed.  */
void bd_evacuation_note_failure (struct bd_evacuation *evacuation);

/* bd_evacuation_is_settled(): whether an observation has been made or a read
   has failed.  */
bool bd_evacuation_is_settled (const struct bd_evacuation *evacuation);

/* bd_evacuation_has(): whether the data centre is evacuated.  */
bool bd_evacuation_has (const struct bd_evacuation *evacuation,
                        const char *data_centre);

/* bd_evacuation_report_unknown(): calls listen once for each name of the set
   that is_known rejects, for as long as the name stays in the set.  */
void bd_evacuation_report_unknown (struct bd_evacuation *evacuation,
                                   bd_evacuation_filter *is_known,
                                   bd_evacuation_listener *listen, void *ctx);

/* bd_evacuation_period_ms(): the time from one read to the next, for the bound
   from the creation of an object until it is in force everywhere.  */
int64_t bd_evacuation_period_ms (int64_t bound_ms);

/* bd_evacuation_own_read_after_ms(): the age of the last observation at which
   a daemon that follows a peer reads the store itself: later than a sound
   relay lets it become, and early enough that the read, repeated once, is
   within the bound where the bound allows both.  */
int64_t bd_evacuation_own_read_after_ms (int64_t bound_ms);

#endif

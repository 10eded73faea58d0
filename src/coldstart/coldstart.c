/* Cold times of endpoints and the permits to send to them.  */

#include "coldstart/coldstart.h"

#include "pacing/pacing.h"

#include <math.h>

enum
{
  /* Upper limit of a cold time: a multiple of the configured one, and a time
     that is allowed in any case.  */
  MAX_STARTS = 10,
  MIN_LIMIT_MS = 60000,
  /* Age that an entry can have when it arrives: two heartbeats and the way
     over a relay.  */
  ENTRY_AGE_MS = 3000
};

/* Permits that a sender saves up: more would let all senders together send an
   additional second's worth of requests at once.  */
static const double max_permits = 1.0;

static int64_t
max_ms (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static int64_t
min_ms (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static bool
has_cold_time (const struct bd_coldstart *cold)
{
  return cold->start_ms > 0 && cold->per_s > 0;
}

static bool
is_valid (int64_t remaining_ms)
{
  return remaining_ms >= 0 && remaining_ms <= BD_COLDSTART_MAX_REMAINING_MS;
}

static int64_t
limit_ms (const struct bd_coldstart *cold)
{
  return max_ms (MAX_STARTS * cold->start_ms, MIN_LIMIT_MS);
}

/* End of the time that entries and responses have named.  */
static int64_t
named_end_ms (const struct bd_coldstart *cold)
{
  return min_ms (cold->until_ms, cold->given_ms + limit_ms (cold));
}

static int64_t
last_end_ms (const struct bd_coldstart *cold)
{
  int64_t end_ms = max_ms (named_end_ms (cold), cold->marked_until_ms);

  return cold->is_unknown ? max_ms (end_ms, cold->first_ms + cold->start_ms)
                          : end_ms;
}

int64_t
bd_coldstart_end_ms (const struct bd_coldstart *cold)
{
  return has_cold_time (cold) ? last_end_ms (cold) : 0;
}

bool
bd_coldstart_is_cold (const struct bd_coldstart *cold, int64_t now_ms)
{
  return has_cold_time (cold) && now_ms < last_end_ms (cold);
}

double
bd_coldstart_share_per_s (const struct bd_coldstart *cold)
{
  return cold->is_sender ? cold->per_s / BD_COLDSTART_SENDERS : 0;
}

/* Requests that were sent while the endpoint was warm are not known to the
   bucket, so that it starts empty.  */
static void
drop_permits (struct bd_coldstart *cold, int64_t now_ms)
{
  bd_bucket_init (&cold->permits, cold->per_s / BD_COLDSTART_SENDERS,
                  max_permits, now_ms);
  cold->permits.tokens = 0;
}

static void
note_change (struct bd_coldstart *cold, bool was_cold, int64_t now_ms)
{
  if (!was_cold && bd_coldstart_is_cold (cold, now_ms))
    drop_permits (cold, now_ms);
}

void
bd_coldstart_configure (struct bd_coldstart *cold, int64_t start_ms,
                        double per_s, int64_t now_ms)
{
  bool was_cold = bd_coldstart_is_cold (cold, now_ms);

  if (!(per_s > 0) || start_ms <= 0)
    {
      per_s = 0;
      start_ms = 0;
    }
  if (start_ms == cold->start_ms && per_s == cold->per_s)
    return;
  cold->start_ms = start_ms;
  cold->per_s = per_s;
  if (was_cold)
    bd_bucket_set_rate (&cold->permits, per_s / BD_COLDSTART_SENDERS,
                        max_permits, now_ms);
  note_change (cold, was_cold, now_ms);
}

void
bd_coldstart_begin (struct bd_coldstart *cold, int64_t now_ms)
{
  *cold = (struct bd_coldstart){ .start_ms = cold->start_ms,
                                 .per_s = cold->per_s,
                                 .is_sender = cold->is_sender,
                                 .was_cold = cold->was_cold,
                                 .first_ms = now_ms,
                                 .entry_remaining_ms = -1 };
  drop_permits (cold, now_ms);
}

/* Applies a time that was named at now_ms if it ends later than the known
   one.  */
static void
extend (struct bd_coldstart *cold, int64_t remaining_ms,
        enum bd_coldstart_source source, int64_t now_ms)
{
  if (now_ms + min_ms (remaining_ms, limit_ms (cold)) <= named_end_ms (cold))
    return;
  cold->given_ms = now_ms;
  cold->until_ms = now_ms + remaining_ms;
  cold->source = source;
}

/* Whether the entry is newer than the last one.  Without counts of heartbeats
   only another value shows that.  */
static bool
is_newer (const struct bd_coldstart *cold, int64_t remaining_ms,
          int64_t heartbeats)
{
  if (!cold->has_entry || heartbeats > cold->heartbeats)
    return true;
  return heartbeats == 0 && remaining_ms != cold->entry_remaining_ms;
}

static void
end_by_entry (struct bd_coldstart *cold, int64_t now_ms)
{
  cold->is_unknown = false;
  cold->until_ms
      = min_ms (cold->until_ms, max_ms (now_ms, cold->kept_until_ms));
}

void
bd_coldstart_note_entry (struct bd_coldstart *cold, int64_t remaining_ms,
                         int64_t heartbeats, int64_t now_ms)
{
  bool was_cold = bd_coldstart_is_cold (cold, now_ms);
  bool is_first = !cold->has_entry;

  if (!is_valid (remaining_ms))
    remaining_ms = -1;
  if (!is_newer (cold, remaining_ms, heartbeats))
    return;
  cold->has_entry = true;
  cold->heartbeats = heartbeats;
  cold->entry_remaining_ms = remaining_ms;
  if (remaining_ms > 0)
    extend (cold, remaining_ms, BD_COLDSTART_ENTRY, now_ms);
  else if (remaining_ms == 0)
    end_by_entry (cold, now_ms);
  else if (is_first)
    {
      cold->is_unknown = true;
      cold->source = BD_COLDSTART_FIRST_SEEN;
    }
  note_change (cold, was_cold, now_ms);
}

void
bd_coldstart_note_response (struct bd_coldstart *cold, int64_t remaining_ms,
                            int64_t now_ms)
{
  bool was_cold = bd_coldstart_is_cold (cold, now_ms);

  if (!is_valid (remaining_ms) || remaining_ms == 0)
    return;
  cold->kept_until_ms = max_ms (cold->kept_until_ms,
                                now_ms + min_ms (remaining_ms, ENTRY_AGE_MS));
  extend (cold, remaining_ms, BD_COLDSTART_RESPONSE, now_ms);
  note_change (cold, was_cold, now_ms);
}

void
bd_coldstart_mark (struct bd_coldstart *cold, int64_t now_ms)
{
  bool was_cold = bd_coldstart_is_cold (cold, now_ms);

  if (!has_cold_time (cold))
    return;
  cold->marked_until_ms = now_ms + cold->start_ms;
  cold->source = BD_COLDSTART_MARK;
  note_change (cold, was_cold, now_ms);
}

enum bd_coldstart_change
bd_coldstart_poll (struct bd_coldstart *cold, int64_t now_ms)
{
  bool is_cold = bd_coldstart_is_cold (cold, now_ms);

  if (is_cold == cold->was_cold)
    return BD_COLDSTART_NONE;
  cold->was_cold = is_cold;
  return is_cold ? BD_COLDSTART_BEGAN : BD_COLDSTART_ENDED;
}

bool
bd_coldstart_may_send (const struct bd_coldstart_standing *standing)
{
  if (!standing->has_list)
    return false;
  /* All daemons are new.  */
  if (standing->is_first_start)
    return standing->age_ms >= standing->contact_ms;
  return standing->listed_age_ms >= standing->spread_ms + standing->contact_ms;
}

bool
bd_coldstart_is_sender (uint64_t endpoint, uint64_t self,
                        const struct bd_coldstart_daemons *daemons,
                        uint32_t senders)
{
  bool is_local = daemons->local_count >= BD_COLDSTART_SENDERS;
  const uint64_t *ranked = is_local ? daemons->local : daemons->all;
  uint32_t count = is_local ? daemons->local_count : daemons->all_count;
  bool has_self = false;

  for (uint32_t i = 0; i < count && !has_self; i++)
    has_self = ranked[i] == self;
  return has_self
         && bd_pacing_rank (endpoint, self, ranked, count, senders) < senders;
}

uint32_t
bd_coldstart_sender_count (double per_s, double bound_per_s)
{
  /* Requests are a sender's interval apart, so that a second has no more than
     these.  */
  double max_of_one = fmax (1, ceil (per_s / BD_COLDSTART_SENDERS));

  if (!(bound_per_s > 0) || bound_per_s >= BD_COLDSTART_SENDERS * max_of_one)
    return BD_COLDSTART_SENDERS;
  return bound_per_s < max_of_one ? 1 : (uint32_t)(bound_per_s / max_of_one);
}

void
bd_coldstart_set_sender (struct bd_coldstart *cold, bool is_sender,
                         int64_t now_ms)
{
  if (is_sender && !cold->is_sender)
    drop_permits (cold, now_ms);
  cold->is_sender = is_sender;
}

bool
bd_coldstart_has_permit (struct bd_coldstart *cold, int64_t now_ms)
{
  if (!bd_coldstart_is_cold (cold, now_ms))
    return true;
  return cold->is_sender && bd_bucket_wait_ms (&cold->permits, now_ms) == 0;
}

double
bd_coldstart_permits (struct bd_coldstart *cold, int64_t now_ms)
{
  if (!cold->is_sender)
    return 0;
  /* Refills the bucket.  */
  bd_coldstart_has_permit (cold, now_ms);
  return cold->permits.tokens;
}

void
bd_coldstart_take (struct bd_coldstart *cold, int64_t now_ms)
{
  if (bd_coldstart_is_cold (cold, now_ms))
    bd_bucket_take (&cold->permits, now_ms);
}

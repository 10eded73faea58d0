/* Entries that can have expired.  */

#include "fleet/listing.h"

/* Whether the list is old enough that entries can have expired.  */
static bool
is_old (const struct bd_listing *listing, int64_t now_ms)
{
  return now_ms - listing->verified_ms >= BD_LISTING_MIN_TTL_MS;
}

/* Whether the store was lost after the list was last current.  */
static bool
is_outage (const struct bd_listing *listing, int64_t now_ms)
{
  return listing->failed_ms > listing->verified_ms && is_old (listing, now_ms);
}

/* Whether the store was lost again before the window has ended: no list shows
   which endpoints were listed again by then.  */
static bool
is_interrupted (const struct bd_listing *listing)
{
  return listing->failed_ms > listing->verified_ms
         && listing->verified_ms < listing->window_end_ms;
}

static void
extend_window (struct bd_listing *listing, int64_t end_ms)
{
  if (end_ms > listing->window_end_ms)
    listing->window_end_ms = end_ms;
}

static int64_t
min_ms (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
max_ms (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Opens the window after a return of the store that is noticed now.  */
static void
open_window (struct bd_listing *listing, int64_t earliest_return_ms,
             int64_t now_ms)
{
  int64_t listed_ms = now_ms
                      + min_ms (BD_LISTING_RETURN_MS,
                                listing->drain_ms - BD_LISTING_UPDATE_MS);
  int64_t bounded_ms = earliest_return_ms
                       + max_ms (listing->contact_ms, listing->drain_ms)
                       - BD_LISTING_TRAVEL_MS;

  extend_window (listing, min_ms (listed_ms, bounded_ms));
}

void
bd_listing_note_failure (struct bd_listing *listing, int64_t sent_ms)
{
  if (sent_ms > listing->failed_ms)
    listing->failed_ms = sent_ms;
}

void
bd_listing_note_verified (struct bd_listing *listing, int64_t verified_ms,
                          int64_t now_ms)
{
  if (verified_ms <= listing->verified_ms)
    return;
  if (is_outage (listing, now_ms))
    open_window (listing, listing->failed_ms, now_ms);
  listing->verified_ms = verified_ms;
}

void
bd_listing_note_restored (struct bd_listing *listing, int64_t now_ms)
{
  open_window (listing, max_ms (listing->failed_ms, listing->verified_ms),
               now_ms);
}

void
bd_listing_note_peer_window (struct bd_listing *listing, int64_t end_ms,
                             int64_t now_ms)
{
  if (is_old (listing, now_ms))
    extend_window (listing, min_ms (end_ms, now_ms + BD_LISTING_RETURN_MS));
}

int64_t
bd_listing_window_ms (const struct bd_listing *listing, int64_t now_ms)
{
  return now_ms < listing->window_end_ms ? listing->window_end_ms - now_ms : 0;
}

bool
bd_listing_can_have_expired (const struct bd_listing *listing, int64_t now_ms)
{
  return is_outage (listing, now_ms) || now_ms < listing->window_end_ms
         || is_interrupted (listing);
}

int64_t
bd_listing_grace_end_ms (const struct bd_listing *listing)
{
  return listing->verified_ms == 0
             ? 0
             : listing->verified_ms + listing->drain_ms - BD_LISTING_UPDATE_MS
                   - BD_LISTING_TRAVEL_MS;
}

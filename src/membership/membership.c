/* The table of daemons and the ranking that assigns duties.  */

#include "membership/membership.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

enum
{
  DEAD_MEMBER_RETENTION_MS = 600000,
  /* Part of the time without a heartbeat until a member is dead, in which
     reports can be from before it fell silent.  */
  OLDER_REPORTS_DIVISOR = 3
};

static void
hash_name (struct bd_member *member)
{
  member->name_hash = bd_hash (member->name, strlen (member->name));
  member->relay_rank = bd_hash_pair ("relay", member->name);
}

void
bd_membership_init (struct bd_membership *membership, void *ctx,
                    const struct bd_member *self, uint32_t dead_after_ms)
{
  memset (membership, 0, sizeof *membership);
  membership->ctx = ctx;
  membership->dead_after_ms = dead_after_ms;
  membership->members = talloc_memdup (ctx, self, sizeof *self);
  membership->members[0].is_live = true;
  hash_name (&membership->members[0]);
  membership->count = 1;
}

struct bd_member *
bd_membership_self (struct bd_membership *membership)
{
  return &membership->members[0];
}

struct bd_member *
bd_membership_find (const struct bd_membership *membership, const char *name)
{
  for (uint32_t i = 0; i < membership->count; i++)
    if (strcmp (membership->members[i].name, name) == 0)
      return &membership->members[i];
  return NULL;
}

static struct bd_member *
get_or_add_member (struct bd_membership *membership, const char *name)
{
  struct bd_member *member = bd_membership_find (membership, name);

  if (member != NULL)
    return member;
  membership->members
      = talloc_realloc (membership->ctx, membership->members, struct bd_member,
                        membership->count + 1);
  member = &membership->members[membership->count++];
  memset (member, 0, sizeof *member);
  bd_name_copy (member->name, name);
  hash_name (member);
  return member;
}

struct bd_member *
bd_membership_add (struct bd_membership *membership, const char *name,
                   const char *data_centre, const char *address,
                   uint32_t peer_port)
{
  struct bd_member *member = get_or_add_member (membership, name);

  if (member == bd_membership_self (membership))
    return member;
  bd_name_copy (member->data_centre, data_centre);
  bd_name_copy (member->address, address);
  member->peer_port = peer_port;
  return member;
}

enum bd_error
bd_membership_receive_heartbeat (struct bd_membership *membership,
                                 const struct bd_member *heartbeat,
                                 int64_t now_ms)
{
  struct bd_member *member = get_or_add_member (membership, heartbeat->name);
  struct bd_member known;

  if (member == bd_membership_self (membership)
      || heartbeat->incarnation < member->incarnation)
    return BD_ERR_STALE;
  known = *member;
  *member = *heartbeat;
  member->is_pinned = known.is_pinned;
  member->is_listed = known.is_listed;
  member->name_hash = known.name_hash;
  member->relay_rank = known.relay_rank;
  member->cpu_share = known.cpu_share;
  member->is_confirmed = known.is_confirmed;
  member->reported_by = known.reported_by;
  member->is_reported = false;
  member->last_received_ms = now_ms;
  member->witnessed_ms = now_ms;
  member->is_live = true;
  return BD_OK;
}

/* A member whose own heartbeats arrive needs no report.  */
static bool
has_heartbeats (const struct bd_membership *membership,
                const struct bd_member *member, int64_t now_ms)
{
  return member->is_live && !member->is_reported
         && now_ms - member->last_received_ms <= membership->dead_after_ms / 2;
}

void
bd_membership_begin_report (struct bd_membership *membership)
{
  for (uint32_t i = 1; i < membership->count; i++)
    membership->members[i].is_confirmed = false;
}

static bool
is_local (const struct bd_membership *membership,
          const struct bd_member *member)
{
  return strcmp (member->data_centre, membership->members[0].data_centre) == 0;
}

static uint32_t
silence_limit_ms (const struct bd_membership *membership,
                  const struct bd_member *member)
{
  return !is_local (membership, member) && membership->remote_dead_after_ms > 0
             ? membership->remote_dead_after_ms
             : membership->dead_after_ms;
}

/* Whether reports can be from before the member fell silent: another daemon
   has the same limit, and may have got one heartbeat more.  */
static bool
are_reports_older (const struct bd_membership *membership,
                   const struct bd_member *member, int64_t now_ms)
{
  return member->lost_ms > 0
         && now_ms - member->lost_ms <= silence_limit_ms (membership, member)
                                            / OLDER_REPORTS_DIVISOR;
}

static void
refresh_reported (const struct bd_membership *membership,
                  const struct bd_member *reporter, struct bd_member *member,
                  int64_t now_ms)
{
  if (are_reports_older (membership, member, now_ms))
    return;
  /* A relay of another data centre reports its own.  */
  if (!is_local (membership, reporter)
      && strcmp (reporter->data_centre, member->data_centre) == 0)
    member->witnessed_ms = now_ms;
  if (has_heartbeats (membership, member, now_ms))
    return;
  member->is_live = true;
  member->is_reported = true;
  member->reported_by = reporter->name_hash;
  member->last_received_ms = now_ms;
}

void
bd_membership_report (struct bd_membership *membership,
                      const struct bd_member *reporter, uint64_t name_hash,
                      bool is_stopping, bool is_isolated, int64_t now_ms)
{
  for (uint32_t i = 1; i < membership->count; i++)
    {
      struct bd_member *member = &membership->members[i];

      if (member->name_hash != name_hash)
        continue;
      /* Another data centre knows less of this one than its own daemons.  */
      if (is_local (membership, member) && !is_local (membership, reporter))
        return;
      member->is_confirmed = true;
      refresh_reported (membership, reporter, member, now_ms);
      if (member->is_reported)
        {
          member->is_stopping = is_stopping;
          member->is_isolated = is_isolated;
        }
      return;
    }
}

bool
bd_membership_end_report (struct bd_membership *membership,
                          const struct bd_member *reporter)
{
  bool lacks_members = false;

  for (uint32_t i = 1; i < membership->count; i++)
    {
      struct bd_member *member = &membership->members[i];

      if (!member->is_live || !member->is_reported || member->is_confirmed)
        continue;
      lacks_members = true;
      if (member->reported_by == reporter->name_hash)
        member->is_live = false;
    }
  return lacks_members;
}

void
bd_membership_confirm_reported (struct bd_membership *membership,
                                const struct bd_member *reporter,
                                int64_t now_ms)
{
  for (uint32_t i = 1; i < membership->count; i++)
    if (membership->members[i].is_confirmed)
      refresh_reported (membership, reporter, &membership->members[i], now_ms);
}

bool
bd_membership_is_witnessed (const struct bd_membership *membership,
                            const struct bd_member *member, int64_t now_ms)
{
  return member == &membership->members[0]
         || (member->is_live && member->witnessed_ms > 0
             && now_ms - member->witnessed_ms
                    <= silence_limit_ms (membership, member));
}

uint64_t
bd_membership_checksum (const struct bd_membership *membership, int64_t now_ms)
{
  enum
  {
    LIVE_FACTOR = 1,
    STOPPING_FACTOR = 3,
    ISOLATED_FACTOR = 5
  };
  uint64_t sum = 0;

  for (uint32_t i = 0; i < membership->count; i++)
    if (bd_membership_is_witnessed (membership, &membership->members[i],
                                    now_ms))
      sum += membership->members[i].name_hash
             * (membership->members[i].is_stopping ? STOPPING_FACTOR
                                                   : LIVE_FACTOR)
             * (membership->members[i].is_isolated ? ISOLATED_FACTOR
                                                   : LIVE_FACTOR);
  return sum;
}

void
bd_membership_update_data_centre (
    struct bd_membership *membership,
    const struct bd_remote_data_centre *data_centre, int64_t now_ms)
{
  struct bd_remote_data_centre *known = NULL;

  for (uint32_t i = 0; i < membership->remote_data_centre_count; i++)
    if (strcmp (membership->remote_data_centres[i].name, data_centre->name)
        == 0)
      known = &membership->remote_data_centres[i];
  if (known == NULL)
    {
      membership->remote_data_centres
          = talloc_realloc (membership->ctx, membership->remote_data_centres,
                            struct bd_remote_data_centre,
                            membership->remote_data_centre_count + 1);
      known
          = &membership
                 ->remote_data_centres[membership->remote_data_centre_count++];
    }
  *known = *data_centre;
  known->last_received_ms = now_ms;
}

void
bd_membership_clear_listed (struct bd_membership *membership)
{
  for (uint32_t i = 1; i < membership->count; i++)
    membership->members[i].is_listed = false;
}

static void
remove_dead_members (struct bd_membership *membership, int64_t now_ms)
{
  uint32_t kept = 1;

  for (uint32_t i = 1; i < membership->count; i++)
    {
      const struct bd_member *member = &membership->members[i];
      if (!member->is_live && !member->is_pinned && !member->is_listed
          && now_ms - member->last_received_ms > DEAD_MEMBER_RETENTION_MS)
        continue;
      membership->members[kept++] = *member;
    }
  membership->count = kept;
}

static int64_t
dead_after_ms (const struct bd_membership *membership,
               const struct bd_member *member)
{
  return member->is_reported && membership->reported_dead_after_ms > 0
             ? membership->reported_dead_after_ms
             : silence_limit_ms (membership, member);
}

void
bd_membership_add_stall (struct bd_membership *membership, int64_t stalled_ms,
                         int64_t now_ms)
{
  for (uint32_t i = 1; i < membership->count; i++)
    {
      struct bd_member *member = &membership->members[i];

      if (member->lost_ms > 0)
        member->lost_ms = MIN (member->lost_ms + stalled_ms, now_ms);
      if (!member->is_live)
        continue;
      member->last_received_ms
          = MIN (member->last_received_ms + stalled_ms, now_ms);
      if (member->witnessed_ms > 0)
        member->witnessed_ms = MIN (member->witnessed_ms + stalled_ms, now_ms);
    }
}

bool
bd_membership_tick (struct bd_membership *membership, int64_t now_ms)
{
  bool has_changed = false;

  for (uint32_t i = 1; i < membership->count; i++)
    {
      struct bd_member *member = &membership->members[i];
      if (!member->is_live
          || now_ms - member->last_received_ms
                 <= dead_after_ms (membership, member))
        continue;
      member->is_live = false;
      if (!member->is_reported && member->incarnation != 0)
        member->lost_ms = now_ms;
      has_changed = true;
    }
  remove_dead_members (membership, now_ms);
  return has_changed;
}

static bool
is_candidate (const struct bd_member *member, const char *data_centre)
{
  return member->is_live && !member->is_stopping
         && (data_centre == NULL
             || strcmp (member->data_centre, data_centre) == 0);
}

/* Whether a ranks before b for key: by size, then by rendezvous hashing.  */
static bool
ranks_before (const struct bd_member *a, const struct bd_member *b,
              const char *key)
{
  uint64_t rank_a = bd_hash_pair (key, a->name);
  uint64_t rank_b = bd_hash_pair (key, b->name);

  if (a->cpu_share != b->cpu_share)
    return a->cpu_share > b->cpu_share;
  return rank_a != rank_b ? rank_a > rank_b : strcmp (a->name, b->name) < 0;
}

bool
bd_membership_has_duty (const struct bd_membership *membership,
                        const char *name, const char *data_centre,
                        const char *key, uint32_t max_holders)
{
  const struct bd_member *member = bd_membership_find (membership, name);
  uint32_t before = 0;

  if (member == NULL || !is_candidate (member, data_centre))
    return false;
  for (uint32_t i = 0; i < membership->count; i++)
    {
      const struct bd_member *other = &membership->members[i];
      if (other != member && is_candidate (other, data_centre)
          && ranks_before (other, member, key))
        before++;
    }
  return before < max_holders;
}

const struct bd_member *
bd_membership_highest_ranked (const struct bd_membership *membership,
                              const char *data_centre, const char *key)
{
  const struct bd_member *best = NULL;

  for (uint32_t i = 0; i < membership->count; i++)
    {
      const struct bd_member *member = &membership->members[i];
      if (is_candidate (member, data_centre)
          && (best == NULL || ranks_before (member, best, key)))
        best = member;
    }
  return best != NULL ? best : &membership->members[0];
}

static bool
is_better_controller (const struct bd_member *a, const struct bd_member *b)
{
  return a->cpu_share != b->cpu_share ? a->cpu_share > b->cpu_share
                                      : strcmp (a->name, b->name) < 0;
}

static const struct bd_member *
best_controller (const struct bd_membership *membership,
                 const char *data_centre, bool may_be_isolated)
{
  const struct bd_member *lowest = NULL;

  for (uint32_t i = 0; i < membership->count; i++)
    {
      const struct bd_member *member = &membership->members[i];
      if (is_candidate (member, data_centre)
          && (may_be_isolated || !member->is_isolated)
          && (lowest == NULL || is_better_controller (member, lowest)))
        lowest = member;
    }
  return lowest;
}

const struct bd_member *
bd_membership_controller (const struct bd_membership *membership,
                          const char *data_centre)
{
  const struct bd_member *best
      = best_controller (membership, data_centre, false);

  /* All daemons of the fleet are isolated.  */
  if (best == NULL && data_centre == NULL)
    best = best_controller (membership, NULL, true);
  return best;
}

bool
bd_membership_is_controller (const struct bd_membership *membership,
                             const char *data_centre)
{
  return bd_membership_controller (membership, data_centre)
         == &membership->members[0];
}

static bool
is_better_relay (const struct bd_member *a, const struct bd_member *b)
{
  if (a->cpu_share != b->cpu_share)
    return a->cpu_share > b->cpu_share;
  return a->relay_rank != b->relay_rank ? a->relay_rank > b->relay_rank
                                        : strcmp (a->name, b->name) < 0;
}

uint32_t
bd_membership_relay_rank (const struct bd_membership *membership,
                          const struct bd_member *member)
{
  uint32_t before = 0;

  if (!is_candidate (member, NULL))
    return UINT32_MAX;
  for (uint32_t i = 0; i < membership->count; i++)
    {
      const struct bd_member *other = &membership->members[i];

      if (other != member && is_candidate (other, member->data_centre)
          && is_better_relay (other, member))
        before++;
    }
  return before;
}

bool
bd_membership_is_relay (const struct bd_membership *membership,
                        const struct bd_member *member)
{
  return bd_membership_relay_rank (membership, member) < BD_MEMBERSHIP_RELAYS;
}

uint32_t
bd_membership_count_live (const struct bd_membership *membership,
                          const char *data_centre)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < membership->count; i++)
    if (membership->members[i].is_live
        && (data_centre == NULL
            || strcmp (membership->members[i].data_centre, data_centre) == 0))
      count++;
  return count;
}

bool
bd_membership_should_send_heartbeat (const struct bd_membership *membership,
                                     const struct bd_member *member)
{
  const struct bd_member *self = &membership->members[0];

  if (member == self)
    return false;
  if (strcmp (member->data_centre, self->data_centre) == 0)
    return true;
  if (!bd_membership_is_relay (membership, self))
    return false;
  /* While no member of the remote data centre is live, its relays are unknown,
     so try all of its members.  */
  return !member->is_live
             ? bd_membership_count_live (membership, member->data_centre) == 0
             : bd_membership_is_relay (membership, member);
}

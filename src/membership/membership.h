/* Tracks which daemons are alive, and assigns duties to them.  Does no I/O:
   the caller passes in heartbeats and the time.

   A daemon is identified by its name and incarnation.  A process that restarts
   under the same name has a higher incarnation, one that was paused continues
   with the same, and a message of an earlier incarnation is stale.

   Every daemon derives the duties from a ranking of the live members, so no
   election is needed.  Two daemons with different views of the members can
   both take a duty; the conditional updates of the platform keep that safe.

   Usage: bd_membership_init(), then bd_membership_add() for every known
   address, bd_membership_receive_heartbeat() for every heartbeat and
   bd_membership_tick() regularly.  */

#ifndef BD_MEMBERSHIP_MEMBERSHIP_H
#define BD_MEMBERSHIP_MEMBERSHIP_H

#include "base/error.h"
#include "base/ids.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  BD_MEMBERSHIP_RELAYS = 2 /* Of each data centre.  */
};

struct bd_member
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t http_port;
  uint32_t peer_port;
  int64_t incarnation; /* 0 until the first heartbeat.  */
  int64_t last_received_ms;
  int64_t lost_ms; /* When its own heartbeats were found to have ended.  */
  bool is_live;
  bool is_stopping;
  bool is_isolated; /* It has lost its links to endpoints.  */
  /* Known to be live by the report of a relay, not by its own heartbeats.  */
  bool is_reported;
  bool is_confirmed;    /* In the last report of a relay.  */
  uint64_t reported_by; /* Hash of the relay that has reported it last.  */
  /* Its last heartbeat, or the last report from its own data centre to another
     one.  Only then do its own reports to others name it: two daemons that
     repeated each other's reports would keep a dead one alive for ever.  */
  int64_t witnessed_ms;
  uint64_t name_hash;
  uint64_t relay_rank; /* Order among instances of the same size.  */
  /* Cores that its instance has; 0 if unknown.  Instances with more are chosen
     first for duties.  */
  double cpu_share;
  bool is_pinned;          /* Named in the settings: never removed.  */
  bool is_listed;          /* Named in the instance list.  */
  int64_t config_revision; /* The one that the daemon uses.  */
  int64_t assignment_term;
  int64_t assignment_sequence;
};

/* The state of another data centre, as its relays report it.  */
struct bd_remote_data_centre
{
  char name[BD_NAME_SIZE];
  uint32_t live;           /* Number of live daemons.  */
  int64_t lowest_revision; /* Lowest config_revision of its live daemons.  */
  int64_t last_received_ms;
};

struct bd_membership
{
  struct bd_member *members; /* members[0] is this daemon.  */
  uint32_t count;
  struct bd_remote_data_centre *remote_data_centres;
  uint32_t remote_data_centre_count;
  uint32_t dead_after_ms; /* Time without a heartbeat until it is dead.  */
  /* The same for members of other data centres; 0: dead_after_ms.  */
  uint32_t remote_dead_after_ms;
  /* The same for members known by reports: a relay that fails must not take
     with it those that it has reported.  0: dead_after_ms.  */
  uint32_t reported_dead_after_ms;
  void *ctx;
};

/* bd_membership_init(): starts with this daemon as the only member.  self is
   copied and always live.  The arrays are allocated on ctx.  */
void bd_membership_init (struct bd_membership *membership, void *ctx,
                         const struct bd_member *self, uint32_t dead_after_ms);

/* bd_membership_add(): adds a member, or updates its address, from the
   settings or the instance list.  Doesn't change whether it is live.  Returns
   the member; the pointer is valid until a member is added or removed.  */
struct bd_member *bd_membership_add (struct bd_membership *membership,
                                     const char *name, const char *data_centre,
                                     const char *address, uint32_t peer_port);

/* bd_membership_clear_listed(): clears is_listed of all members.  Called
   before the members of a new instance list are added and marked as listed. */
void bd_membership_clear_listed (struct bd_membership *membership);

/* bd_membership_receive_heartbeat(): updates or adds the sender of a heartbeat
   and marks it as live.  heartbeat has all fields of the sender except
   last_received_ms, lost_ms, is_live, is_pinned and is_listed.  Returns
   BD_ERR_STALE when it has an earlier incarnation or this daemon's own name.
 */
enum bd_error
bd_membership_receive_heartbeat (struct bd_membership *membership,
                                 const struct bd_member *heartbeat,
                                 int64_t now_ms);

/* bd_membership_begin_report(): reporter, a relay, reports all live members
   anew; to be followed by bd_membership_report() for each and
   bd_membership_end_report().  A member whose own heartbeats have ended is not
   brought back for a third of the time after which it counts as dead, two
   periods of heartbeats: until then a report can be from before it fell
   silent.  */
void bd_membership_begin_report (struct bd_membership *membership);
void bd_membership_report (struct bd_membership *membership,
                           const struct bd_member *reporter,
                           uint64_t name_hash, bool is_stopping,
                           bool is_isolated, int64_t now_ms);

/* bd_membership_end_report(): marks the members as dead that the reporter was
   the last one to report, and that this report lacks.  Returns whether it
   lacks any that are known by reports: the other relays may still report them.
 */
bool bd_membership_end_report (struct bd_membership *membership,
                               const struct bd_member *reporter);

/* bd_membership_confirm_reported(): a relay reports the same live members as
   before.  */
void bd_membership_confirm_reported (struct bd_membership *membership,
                                     const struct bd_member *reporter,
                                     int64_t now_ms);

/* bd_membership_is_witnessed(): whether this daemon may report the member to
   others as alive: it has heard from it, or from a relay of its data centre
   which had, within the time after which it counts as dead.  */
bool bd_membership_is_witnessed (const struct bd_membership *membership,
                                 const struct bd_member *member,
                                 int64_t now_ms);

/* bd_membership_checksum(): of the members that this daemon may report, and of
   which are stopping; does not depend on their order.  */
uint64_t bd_membership_checksum (const struct bd_membership *membership,
                                 int64_t now_ms);

/* bd_membership_update_data_centre(): stores the state of another data centre
   that one of its relays has reported.  */
void bd_membership_update_data_centre (
    struct bd_membership *membership,
    const struct bd_remote_data_centre *data_centre, int64_t now_ms);

/* bd_membership_add_stall(): this daemon has stood still for stalled_ms until
   now_ms, in which it could hear nobody.  That time is no silence of the live
   members, and reports of the others that came in it are read now.  */
void bd_membership_add_stall (struct bd_membership *membership,
                              int64_t stalled_ms, int64_t now_ms);

/* bd_membership_tick(): marks members without a recent heartbeat as dead, and
   removes dead members after 10 minutes when neither the settings nor the
   instance list names them.  Without the removal the table would grow, because
   replacement instances have new names.  Returns whether a member was marked
   as dead.  */
bool bd_membership_tick (struct bd_membership *membership, int64_t now_ms);

/* bd_membership_self(): returns this daemon.  */
struct bd_member *bd_membership_self (struct bd_membership *membership);

/* bd_membership_find(): returns the member with this name, or NULL.  */
struct bd_member *bd_membership_find (const struct bd_membership *membership,
                                      const char *name);

/* bd_membership_has_duty(): whether the member is among the max_holders
   highest-ranked for key of the live members of data_centre (NULL: of all).
   Members with a larger cpu_share rank first.  Members that are stopping have
   no duties.  */
bool bd_membership_has_duty (const struct bd_membership *membership,
                             const char *name, const char *data_centre,
                             const char *key, uint32_t max_holders);

/* bd_membership_highest_ranked(): returns the highest-ranked live member for
   key, or this daemon when there is none.  */
const struct bd_member *
bd_membership_highest_ranked (const struct bd_membership *membership,
                              const char *data_centre, const char *key);

/* bd_membership_controller(): returns the live member with the largest
   cpu_share, and of those the one with the lowest name, of data_centre (NULL:
   of all), or NULL.  */
const struct bd_member *
bd_membership_controller (const struct bd_membership *membership,
                          const char *data_centre);

/* bd_membership_is_controller(): whether this daemon is the controller.  */
bool bd_membership_is_controller (const struct bd_membership *membership,
                                  const char *data_centre);

/* bd_membership_relay_rank(): the number of live members of the member's data
   centre that are chosen as relay before it: larger ones, and by a hash of the
   name.  UINT32_MAX when it has no duties.  */
uint32_t bd_membership_relay_rank (const struct bd_membership *membership,
                                   const struct bd_member *member);

/* bd_membership_is_relay(): whether the member is a relay of its data centre.
   Relays keep the watches on the platform and exchange messages with other
   data centres.  */
bool bd_membership_is_relay (const struct bd_membership *membership,
                             const struct bd_member *member);

/* bd_membership_count_live(): returns the number of live members of
   data_centre (NULL: of all).  */
uint32_t bd_membership_count_live (const struct bd_membership *membership,
                                   const char *data_centre);

/* bd_membership_should_send_heartbeat(): whether this daemon sends heartbeats
   to the member.  Heartbeats go to all daemons of the own data centre, and
   between the relays of different data centres.  */
bool
bd_membership_should_send_heartbeat (const struct bd_membership *membership,
                                     const struct bd_member *member);

#endif

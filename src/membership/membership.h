/* Which daemons are alive, and which of them does what.  Pure.

   A daemon is told apart by name and incarnation: a process that starts again
   under the same address has a higher incarnation, a paused one comes back
   with the same, and a message of an earlier incarnation is stale.

   Duties follow from the live members by ranking, so that no election is
   needed.  Two daemons that see different members may both take a duty; the
   conditional updates of the platform keep that safe.  */

#ifndef BD_MEMBERSHIP_MEMBERSHIP_H
#define BD_MEMBERSHIP_MEMBERSHIP_H

#include "base/error.h"
#include "base/ids.h"

#include <stdbool.h>
#include <stdint.h>

struct bd_member
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t http_port;
  uint32_t peer_port;
  int64_t incarnation; /* 0 until it was heard.  */
  int64_t heard_ms;
  bool is_live;
  bool is_stopping;
  bool is_pinned;          /* Named by the settings: never forgotten.  */
  bool is_listed;          /* Named by the instance list.  */
  int64_t config_revision; /* In force there.  */
  int64_t assignment_term;
  int64_t assignment_sequence;
};

/* What the relays of another data centre say of it.  */
struct bd_centre
{
  char name[BD_NAME_SIZE];
  uint32_t live;
  int64_t lowest_revision;
  int64_t heard_ms;
};

struct bd_membership
{
  struct bd_member *members; /* members[0] is this daemon.  */
  uint32_t count;
  struct bd_centre *centres;
  uint32_t centre_count;
  uint32_t dead_after_ms;
  uint32_t far_dead_after_ms; /* Of other data centres; 0: the same.  */
  void *ctx;
};

/* bd_membership_init(): self is copied and always live.  */
void bd_membership_init (struct bd_membership *membership, void *ctx,
                         const struct bd_member *self, uint32_t dead_after_ms);

/* bd_membership_learn(): an address from the settings or the instance list.
   Says nothing about life.  Returns the member.  */
struct bd_member *bd_membership_learn (struct bd_membership *membership,
                                       const char *name,
                                       const char *data_centre,
                                       const char *address,
                                       uint32_t peer_port);

/* bd_membership_start_list(): a new instance list begins: nobody is listed
   until bd_membership_learn() and is_listed say so again.  */
void bd_membership_start_list (struct bd_membership *membership);

/* bd_membership_heard(): a heartbeat.  news carries every field but heard_ms
   and is_live.  BD_ERR_STALE when it is of an earlier incarnation.  */
enum bd_error bd_membership_heard (struct bd_membership *membership,
                                   const struct bd_member *news,
                                   int64_t now_ms);

/* bd_membership_centre(): what a relay says of its data centre.  */
void bd_membership_centre (struct bd_membership *membership,
                           const struct bd_centre *centre, int64_t now_ms);

/* bd_membership_tick(): members that are silent for too long are dead; one
   that has been dead for long and is named nowhere is forgotten, since
   replaced instances come under new names.  Returns true when one died.  */
bool bd_membership_tick (struct bd_membership *membership, int64_t now_ms);

/* bd_membership_self(): this daemon.  */
struct bd_member *bd_membership_self (struct bd_membership *membership);

/* bd_membership_find(): by name, or NULL.  */
struct bd_member *bd_membership_find (const struct bd_membership *membership,
                                      const char *name);

/* bd_membership_is_duty(): whether the member called name is among the first
   places of the live members of data_centre (NULL: of all) for key.  */
bool bd_membership_is_duty (const struct bd_membership *membership,
                            const char *name, const char *data_centre,
                            const char *key, uint32_t places);

/* bd_membership_first(): the live member that ranks first for key, or this
   daemon when it knows no other.  */
const struct bd_member *
bd_membership_first (const struct bd_membership *membership,
                     const char *data_centre, const char *key);

/* bd_membership_keeper(): the lowest-ranked live member (by name) of
   data_centre (NULL: of all), or NULL.  */
const struct bd_member *
bd_membership_keeper (const struct bd_membership *membership,
                      const char *data_centre);

/* bd_membership_is_keeper(): whether this daemon is the keeper.  */
bool bd_membership_is_keeper (const struct bd_membership *membership,
                              const char *data_centre);

/* bd_membership_is_relay(): whether a member relays for its data centre:
   holds watches and talks to other data centres.  */
bool bd_membership_is_relay (const struct bd_membership *membership,
                             const struct bd_member *member);

/* bd_membership_live(): live members of data_centre (NULL: of all).  */
uint32_t bd_membership_live (const struct bd_membership *membership,
                             const char *data_centre);

/* bd_membership_must_tell(): whether this daemon sends heartbeats to member:
   to all of its own data centre, and between relays of different ones.  */
bool bd_membership_must_tell (const struct bd_membership *membership,
                              const struct bd_member *member);

#endif

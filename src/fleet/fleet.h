/* A daemon's view of the endpoints and the replica groups that they form.
   Pure.

   The view is updated from three sources: the instance list (which lags, and
   can miss an endpoint for a while), the endpoints' reports, and the results
   of requests.  What the list shows is recorded at once, whatever else is
   known; whether an endpoint that it lacks still counts as listed follows from
   fleet/listing.h.  An endpoint that is no longer listed receives no requests;
   its record is retained for a while, since it can still be a member of a
   group.

   The store removes the entry of an endpoint whose heartbeats are missing,
   which may still serve.  Of a service with a grace, a member of an open group
   therefore counts as listed for a while after the list lacks it, unless it is
   draining or dead: a leader until drain_ms after it was last known to be
   listed, as it must get no requests later, another member until drain_ms
   after the list lacked it, since requests go to leaders only.

   An endpoint counts the orders that it executes; the count is the version of
   its state.  What a report says, and what the result of an order implies, is
   true of one version: a report of a lower version than the confirmed one is
   old.  Entries of the list have no version: against a confirmed state they
   count only if they show what can have followed it.

   A group is usable while its leader reports that it is open and every other
   rank is filled by a listed endpoint with the same group and epoch.  */

#ifndef BD_FLEET_FLEET_H
#define BD_FLEET_FLEET_H

#include "base/ids.h"
#include "coldstart/coldstart.h"
#include "fleet/listing.h"
#include "pacing/pacing.h"
#include "placement/burst.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  BD_FLEET_MAX_STAGED = 4,
  BD_FLEET_MAX_MEMBERS = 16,
  /* How long the record of an endpoint is retained after it is delisted.  */
  BD_FLEET_RETENTION_MS = 60000
};

enum bd_member_state
{
  BD_MEMBER_NONE, /* Not in a group.  */
  BD_MEMBER_JOINING,
  BD_MEMBER_READY,
  BD_MEMBER_OPEN,
  BD_MEMBER_CLOSING,
  BD_MEMBER_BROKEN
};

/* Membership of an endpoint in a group, as the endpoint reports it.  */
struct bd_membership_view
{
  char group[BD_NAME_SIZE];
  int64_t epoch;
  uint32_t rank; /* 0 is the leader.  */
  enum bd_member_state state;
  char model[BD_NAME_SIZE];
};

/* Description of an endpoint, from the instance list or from its report.  */
struct bd_endpoint_entry
{
  char id[BD_NAME_SIZE];
  char service[BD_NAME_SIZE];
  char address[BD_NAME_SIZE]; /* IP address.  */
  uint32_t port;
  char data_centre[BD_NAME_SIZE];
  char domain[BD_NAME_SIZE]; /* Fabric domain; empty for plain services.  */
  uint32_t slots;
  bool is_draining;
  int64_t started_ms; /* Start of this incarnation, Unix time; 0 if unknown. */
  int64_t heartbeats; /* Count of its heartbeats; list only.  */
  char staged[BD_FLEET_MAX_STAGED][BD_NAME_SIZE]; /* Models, on the host.  */
  uint32_t staged_count;
  struct bd_membership_view member;
  int64_t version; /* Reports only: number of orders executed.  */
  double pace;     /* Reports only: over 1 when slow; 0 if not reported.  */
  bool is_busy;    /* Reports only: an order is being executed.  */
  /* List only: how much longer it was cold when the entry was written.  */
  bool has_cold_remaining;
  int64_t cold_remaining_ms;
};

enum bd_liveness
{
  BD_LIVENESS_ALIVE,
  BD_LIVENESS_SUSPECTED, /* Unresponsive or failing; to be probed.  */
  BD_LIVENESS_DEAD       /* Missed too many probes in a row.  */
};

/* The last order to an endpoint; recorded by the controller of its data
   centre.  */
struct bd_order_state
{
  bool is_pending;     /* No result yet.  */
  int64_t sent_ms;     /* 0 if none was sent.  */
  int64_t accepted_ms; /* 0 until accepted.  */
  uint32_t kind;       /* enum bd_order_kind */
  char group[BD_NAME_SIZE];
  int64_t epoch;
  char model[BD_NAME_SIZE];
};

/* State of an endpoint at a version.  */
struct bd_confirmed_state
{
  int64_t version;
  /* When the probe was sent whose report first showed the version; 0 if an
     order's result did.  */
  int64_t version_ms;
  /* Whether this is the last known state: no unanswered or refused order, and
     no entry of the list, shows a later one.  */
  bool is_current;
  /* The last order was accepted, and may not have been counted: a report has
     to tell the version.  The membership does not depend on it.  */
  bool is_version_doubtful;
  /* A report is needed before the next order to it.  */
  bool is_report_needed;
  /* Since when the list has shown another state; 0 if it does not.  */
  int64_t contradicted_ms;
  /* Version that an accepted open order has led to, 0 if none.  */
  int64_t opening_version;
  /* Condition of the last unanswered order to leave its group or to join
     another one, -1 if none.  It can be executed late, while the endpoint is
     still at this version.  */
  int64_t pending_exit_version;
  /* Hash of the group that it has last confirmed to have left; 0 if none.  */
  uint64_t left_group;
};

struct bd_fleet_endpoint
{
  struct bd_endpoint_entry entry;
  bool is_in_list; /* As the list shows it.  */
  /* It is in the list, or was listed until its entry can have expired.  Once
     delisted, it is listed again only with its next entry.  */
  bool is_listed;
  /* The list lacks it, and it counts as listed until then at most; 0 if it
     does not.  */
  int64_t grace_end_ms;
  /* This incarnation has said in a response that it leaves, or in the list of
     a store that has been restored since.  Its entry does not take that
     back.  */
  bool is_leaving;
  /* Its data centre is: it gets no new attempts.  */
  bool is_evacuated;
  int64_t listed_ms;             /* When it was last added to the list.  */
  int64_t delisted_ms;           /* When it was last delisted.  */
  int64_t member_updated_ms;     /* When entry.member was last updated.  */
  char last_model[BD_NAME_SIZE]; /* Of its last group in this incarnation.  */

  /* Health.  */
  enum bd_liveness liveness;
  int64_t liveness_changed_ms; /* When liveness changed.  */
  uint32_t missed_probes;      /* Consecutive missed probes.  */
  int64_t missed_probe_ms;     /* When the last missed probe was sent.  */
  /* The connection of the last missed probe was refused.  For the log: an
     endpoint with its maximum of connections resets new ones too.  */
  bool is_probe_refused;
  bool has_pending_probe; /* A probe is in flight.  */
  int64_t last_probe_ms;  /* When the last probe was sent.  */
  double reported_pace;   /* Last reported pace; 1 at normal speed.  */

  /* This daemon's traffic with a plain endpoint.  */
  uint32_t in_flight;
  double latency_ms;        /* Smoothed; 0 if unknown.  */
  double deviation_ms;      /* Of single latencies from that, smoothed.  */
  double failure_rate;      /* Smoothed share of failed requests.  */
  int64_t failed_ms;        /* Last failure.  */
  uint32_t load;            /* Running and waiting, by its last response.  */
  int64_t load_updated_ms;  /* When that response was received.  */
  uint32_t sent_since_load; /* Requests sent to it since load_updated_ms.  */
  int64_t backoff_until_ms; /* It has reported that it is full.  */
  int64_t closed_until_ms;  /* It has asked for no requests until then.  */
  struct bd_pacing pacing;  /* Of the requests to it.  */
  struct bd_coldstart cold;

  struct bd_order_state order;
  struct bd_confirmed_state confirmed;
  bool is_staging;
  int64_t staging_until_ms;
  char staging_model[BD_NAME_SIZE];
};

/* A replica group, derived from the members' entries.  */
struct bd_fleet_group
{
  char name[BD_NAME_SIZE];
  uint64_t hash; /* Of name and epoch.  */
  int64_t epoch;
  char model[BD_NAME_SIZE];
  char service[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE]; /* Of its leader.  */
  struct bd_fleet_endpoint *members[BD_FLEET_MAX_MEMBERS]; /* By rank.  */
  char leader[BD_NAME_SIZE]; /* Id of the last known leader.  */
  uint32_t member_count;     /* Ranks that have a member.  */
  uint32_t formed_count; /* The same when it was complete; 0 if unknown.  */
  uint32_t generation;   /* Of the last refresh that found members.  */

  /* Traffic of this daemon.  */
  uint32_t in_flight;
  uint32_t prefill_count; /* Of those, requests without a first event.  */
  double prefill_ms;      /* Prefill time of their prompts on this group.  */
  int64_t progress_ms;    /* Last event or response from it.  */
  int64_t sent_ms;        /* Last request sent to it.  */
  int64_t first_sent_ms;  /* First request sent to it; 0 for none.  */
  struct bd_burst burst;  /* Of requests that waited until it opened.  */
  /* Of those that waited at any time, under interference control.  */
  struct bd_burst waited;
  uint32_t server_load; /* Running and waiting, by its last response.  */
  int64_t server_load_ms;
  int64_t suspected_until_ms; /* Not used before this time.  */
  double pace; /* Ratio of the measured to the expected time between two events
                  of its streams, smoothed; 1 before any was measured.  */

  /* Traffic of the other daemons, summed from their last updates.  */
  uint32_t peers_in_flight;
  double peers_prefill_ms;
  int64_t peers_progress_ms;
};

struct bd_fleet
{
  GHashTable *endpoints; /* Id -> struct bd_fleet_endpoint.  */
  GHashTable *groups;    /* Hash -> struct bd_fleet_group.  */
  /* Id -> start of its incarnation: leaves of incarnations not known yet.  */
  GHashTable *early_leaves;
  /* The groups ordered by service, model, data centre and hash.  */
  GPtrArray *sorted_groups;
  uint32_t generation;
  bool has_list;      /* The list has been read at least once.  */
  int64_t changed_ms; /* Last change of any entry.  */
  struct bd_listing listing;
  GHashTable *grace_services; /* Names of the services with a grace.  */
};

/* Called for an endpoint that has been delisted.  */
typedef void bd_fleet_visitor (void *ctx,
                               const struct bd_fleet_endpoint *endpoint);

/* bd_fleet_init(): initializes an empty view.  */
void bd_fleet_init (struct bd_fleet *fleet);

/* bd_fleet_finish(): frees the contents.  */
void bd_fleet_finish (struct bd_fleet *fleet);

/* bd_fleet_put(): adds or updates an entry of the list.  The entries of an
   endpoint are put in the order of the list; one with another start, which is
   earlier after its clock was set back, is of a new incarnation.  Its
   cold time is applied too.  */
void bd_fleet_put (struct bd_fleet *fleet,
                   const struct bd_endpoint_entry *entry, int64_t now_ms);

/* bd_fleet_remove(): the list has the endpoint no more.  It is delisted, at
   once or by bd_fleet_update().  */
void bd_fleet_remove (struct bd_fleet *fleet, const char *id, int64_t now_ms);

/* bd_fleet_set_grace(): whether a service has a grace for members of its
   groups that the list lacks.  None has at first.  */
void bd_fleet_set_grace (struct bd_fleet *fleet, const char *service,
                         bool has_grace);

/* bd_fleet_update(): delists the endpoints that the list lacks and whose
   entries cannot have expired, and calls visit for each of them.  To be called
   periodically, and after a change of the list or of the listing.  Returns
   whether any was delisted.  */
bool bd_fleet_update (struct bd_fleet *fleet, bd_fleet_visitor *visit,
                      void *ctx, int64_t now_ms);

/* bd_fleet_apply_report(): applies a report that a probe of the endpoint, sent
   at probe_sent_ms, has returned.  Only the fields that a report has are used.
   Returns whether the report is of this incarnation.  If it is of a later one,
   the endpoint has restarted or another one has its address: this incarnation
   is dead, and the list shows the new one.  */
bool bd_fleet_apply_report (struct bd_fleet *fleet, const char *id,
                            const struct bd_endpoint_entry *report,
                            int64_t probe_sent_ms, int64_t now_ms);

/* bd_fleet_set_confirmed(): the result of an order shows that the endpoint is
   at this version, with the membership state that its entry now has.  */
void bd_fleet_set_confirmed (struct bd_fleet_endpoint *endpoint,
                             int64_t version);

/* bd_fleet_forget_confirmed(): the states of the endpoints of a data centre
   are no longer confirmed; the list counts again.  To be called when another
   daemon may have sent orders to them.  */
void bd_fleet_forget_confirmed (struct bd_fleet *fleet,
                                const char *data_centre);

/* bd_fleet_mark_store_restored(): the store was restored from an older copy,
   and instances list themselves again.  */
void bd_fleet_mark_store_restored (struct bd_fleet *fleet, int64_t now_ms);

/* bd_fleet_expire(): frees the records of endpoints that were delisted long
   ago.  Returns whether there were any; the groups then have to be rebuilt. */
bool bd_fleet_expire (struct bd_fleet *fleet, int64_t now_ms);

/* bd_fleet_refresh(): rebuilds the groups from the entries; to be called after
   changes.  Pointers to groups that still exist stay valid.  */
void bd_fleet_refresh (struct bd_fleet *fleet);

/* bd_fleet_endpoint(): returns an endpoint by id, or NULL.  */
struct bd_fleet_endpoint *bd_fleet_endpoint (const struct bd_fleet *fleet,
                                             const char *id);

/* bd_fleet_group(): returns a group by hash, or NULL.  */
struct bd_fleet_group *bd_fleet_group (const struct bd_fleet *fleet,
                                       uint64_t hash);

/* bd_fleet_groups_of(): returns the groups of a model, of one data centre or
   (NULL) of all, in a fixed order, and sets *count.  Valid until the next
   refresh.  */
struct bd_fleet_group **bd_fleet_groups_of (const struct bd_fleet *fleet,
                                            const char *service,
                                            const char *model,
                                            const char *data_centre,
                                            uint32_t *count);

/* bd_fleet_group_hash(): returns the key of a group: the hash of its name and
   epoch.  */
uint64_t bd_fleet_group_hash (const char *name, int64_t epoch);

/* bd_fleet_is_available(): whether the endpoint can get new requests or be a
   member of a group that does: it is listed, does not drain and is not dead.
   */
bool bd_fleet_is_available (const struct bd_fleet_endpoint *endpoint);

/* bd_fleet_is_usable(): whether new requests can be sent to the group.  Its
   model requires this number of members; one that was formed with more has
   lost some.  */
bool bd_fleet_is_usable (const struct bd_fleet_group *group, uint32_t members,
                         int64_t now_ms);

/* bd_fleet_progress_ms(): returns the time of the last event or response of a
   group at any daemon; 0 for none.  */
int64_t bd_fleet_progress_ms (const struct bd_fleet_group *group);

/* bd_fleet_mark_leaving(): the incarnation of an endpoint that started at
   started_ms (0: the current one) has said that it leaves.  One that is not
   known yet is remembered until its entry is put.  Returns whether that is
   new.  */
bool bd_fleet_mark_leaving (struct bd_fleet *fleet, const char *id,
                            int64_t started_ms, int64_t now_ms);

/* bd_fleet_close(): the endpoint has asked for no requests until until_ms.  */
void bd_fleet_close (struct bd_fleet *fleet, const char *id, int64_t until_ms);

/* bd_fleet_suspect(): marks a live endpoint as suspected, for example after a
   failed request.  */
void bd_fleet_suspect (struct bd_fleet_endpoint *endpoint, int64_t now_ms);

/* bd_fleet_reset_liveness(): changes dead endpoints to suspected, so that they
   are probed again.  To be called after this process was stalled: replies can
   have been missed for that reason alone.  */
void bd_fleet_reset_liveness (struct bd_fleet *fleet, int64_t now_ms);

/* bd_fleet_record_missed_probe(): records that a probe sent at probe_sent_ms
   was not answered; after max_missed_probes in a row the endpoint is dead.
   is_probe_refused: the connection was refused or reset.  */
void bd_fleet_record_missed_probe (struct bd_fleet_endpoint *endpoint,
                                   uint32_t max_missed_probes,
                                   bool is_probe_refused,
                                   int64_t probe_sent_ms, int64_t now_ms);

#endif

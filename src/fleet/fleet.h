/* What a daemon knows of the endpoints and of the replica groups that they
   form.  Pure.

   Three sources feed it: the instance list (which lags, and may miss an
   endpoint for a while), the endpoints' own reports, and what traffic shows.
   An endpoint that is no longer listed takes no requests; its record stays
   for a while, since it may still hold a place in a group.

   A group may be used while its leader says that it is open and every other
   place is held by a listed endpoint of the same group and epoch.  */

#ifndef BD_FLEET_FLEET_H
#define BD_FLEET_FLEET_H

#include "base/ids.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  BD_FLEET_MAX_STAGED = 4,
  BD_FLEET_MAX_MEMBERS = 16,
  /* How long the record of an endpoint outlives its entry in the list.  */
  BD_FLEET_RETENTION_MS = 60000
};

enum bd_member_state
{
  BD_MEMBER_NONE, /* In no group.  */
  BD_MEMBER_JOINING,
  BD_MEMBER_READY,
  BD_MEMBER_OPEN,
  BD_MEMBER_CLOSING,
  BD_MEMBER_BROKEN
};

/* The place of an endpoint in a group, as it says itself.  */
struct bd_membership_view
{
  char group[BD_NAME_SIZE];
  int64_t epoch;
  uint32_t rank; /* 0 leads.  */
  enum bd_member_state state;
  char model[BD_NAME_SIZE];
};

/* What an endpoint says of itself, in the list or in a report.  */
struct bd_endpoint_entry
{
  char id[BD_NAME_SIZE];
  char service[BD_NAME_SIZE];
  char address[BD_NAME_SIZE]; /* IP number.  */
  uint32_t port;
  char data_centre[BD_NAME_SIZE];
  char domain[BD_NAME_SIZE]; /* Fabric domain; empty for plain services.  */
  uint32_t slots;
  bool is_draining;
  int64_t started_ms; /* Start of this life, Unix time; 0 when not told.  */
  char staged[BD_FLEET_MAX_STAGED][BD_NAME_SIZE]; /* Models on the host.  */
  uint32_t staged_count;
  struct bd_membership_view member;
  double pace;  /* Reports only: over 1 when it is slow; 0 when not told.  */
  bool is_busy; /* Reports only: an order is being carried out.  */
};

enum bd_liveness
{
  BD_LIVENESS_ALIVE,
  BD_LIVENESS_SUSPECTED, /* Silent or broken; being asked.  */
  BD_LIVENESS_DEAD       /* Did not answer.  */
};

/* The last order to an endpoint; kept by the keeper of its data centre.  */
struct bd_order_state
{
  bool is_pending;     /* No answer yet.  */
  int64_t sent_ms;     /* 0 for none.  */
  int64_t accepted_ms; /* 0 until it was accepted.  */
  uint32_t kind;       /* enum bd_order_kind */
  char group[BD_NAME_SIZE];
  int64_t epoch;
  char model[BD_NAME_SIZE];
};

struct bd_fleet_endpoint
{
  struct bd_endpoint_entry entry;
  bool is_listed;
  int64_t listed_ms;             /* When it was listed first.  */
  int64_t delisted_ms;           /* When the list lost it.  */
  int64_t member_updated_ms;     /* When entry.member was learnt.  */
  char last_model[BD_NAME_SIZE]; /* Of its last group in this life.  */

  /* Health.  */
  enum bd_liveness liveness;
  int64_t liveness_changed_ms; /* When life changed.  */
  uint32_t missed_probes;      /* Unanswered questions in a row.  */
  int64_t missed_probe_ms;     /* Sending time of the last unanswered one.  */
  bool is_probe_refused;       /* The last one was refused.  */
  bool has_pending_probe;      /* A report is on its way.  */
  int64_t answered_probe_ms; /* Sending time of the last answered question.  */
  double slowness;           /* Pace by its own report, 1 when sound.  */

  /* This daemon's traffic with a plain endpoint.  */
  uint32_t in_flight;
  double latency_ms;        /* Smoothed; 0 while unknown.  */
  double failure_rate;      /* Smoothed share of failed requests.  */
  int64_t failed_ms;        /* Last failure.  */
  uint32_t load;            /* Running and waiting by its last answer.  */
  int64_t load_updated_ms;  /* When that answer came.  */
  uint32_t sent_since_load; /* Requests sent there since.  */
  int64_t backoff_until_ms; /* It has said that it is full.  */

  struct bd_order_state order;
  /* Of the last join that was sent and not accepted; 0 for none.  It may be
     carried out late.  */
  int64_t pending_epoch;
  /* Of the last join and the last opening that nobody answered, since a join
     above them was accepted; copies of both may be carried out late.  */
  int64_t unanswered_join_epoch;
  int64_t unanswered_join_ms;
  int64_t unanswered_open_epoch;
  int64_t unanswered_open_ms;
  bool is_staging;
  int64_t staging_until_ms;
  char staging_model[BD_NAME_SIZE];
};

/* A replica group as the members' entries show it.  */
struct bd_fleet_group
{
  char name[BD_NAME_SIZE];
  uint64_t hash; /* Of name and epoch.  */
  int64_t epoch;
  char model[BD_NAME_SIZE];
  char service[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE]; /* Of its leader.  */
  struct bd_fleet_endpoint *members[BD_FLEET_MAX_MEMBERS]; /* By rank.  */
  char leader[BD_NAME_SIZE]; /* Who led it last, as far as is known.  */
  uint32_t member_count;     /* Places that are held.  */
  uint32_t generation;       /* Of the last refresh that saw it.  */

  /* Traffic of this daemon.  */
  uint32_t in_flight;
  uint32_t prefill_count; /* Of those, without a first event yet.  */
  double prefill_ms;      /* Their prompts, in time of this group.  */
  int64_t progress_ms;    /* Last event or answer from it.  */
  int64_t sent_ms;        /* Last request sent to it.  */
  uint32_t server_load;   /* Running and waiting by its last answer.  */
  int64_t server_load_ms;
  int64_t suspected_until_ms; /* Not used before this time.  */
  double pace;                /* Measured over expected pause, smoothed.  */

  /* Traffic of the other daemons, summed from their last news.  */
  uint32_t peers_in_flight;
  double peers_prefill_ms;
  int64_t peers_progress_ms;
};

struct bd_fleet
{
  GHashTable *endpoints; /* Id -> struct bd_fleet_endpoint.  */
  GHashTable *groups;    /* Hash -> struct bd_fleet_group.  */
  uint32_t generation;
  bool has_list;      /* The list has been read once.  */
  int64_t changed_ms; /* Last change of any entry.  */
  /* Before this time nobody is taken to be gone.  */
  int64_t retain_until_ms;
};

void bd_fleet_init (struct bd_fleet *fleet);
void bd_fleet_finish (struct bd_fleet *fleet);

/* bd_fleet_put(): an entry of the list.  */
void bd_fleet_put (struct bd_fleet *fleet,
                   const struct bd_endpoint_entry *entry, int64_t now_ms);

/* bd_fleet_remove(): the list says that id is gone.  */
void bd_fleet_remove (struct bd_fleet *fleet, const char *id, int64_t now_ms);

/* bd_fleet_replace(): the whole list; who is not in it is gone, unless the
   store has just come back (retain_until_ms).  */
void bd_fleet_replace (struct bd_fleet *fleet,
                       const struct bd_endpoint_entry *entries, uint32_t count,
                       int64_t now_ms);

/* bd_fleet_apply_report(): an endpoint's own report, to a question of
   probe_sent_ms. Only the fields of a report are taken.  */
void bd_fleet_apply_report (struct bd_fleet *fleet, const char *id,
                            const struct bd_endpoint_entry *report,
                            int64_t probe_sent_ms, int64_t now_ms);

/* bd_fleet_mark_store_unavailable(): the store does not answer: nobody is
 * gone.  */
void bd_fleet_mark_store_unavailable (struct bd_fleet *fleet, int64_t now_ms);

/* bd_fleet_mark_store_available(): the store answers again.  seen_ms is when
   the list was last known to be right, by the store or by a peer.  Entries
   that may have lapsed while nobody could reach the store are waited for; when
   the store was away only for this daemon there are none.  Returns whether the
   list is to be given again at retain_until_ms.  */
bool bd_fleet_mark_store_available (struct bd_fleet *fleet, int64_t seen_ms,
                                    int64_t now_ms);

/* bd_fleet_refresh(): forms the groups anew from the entries; to be called
   after changes.  Pointers to groups stay valid for groups that stay.  */
void bd_fleet_refresh (struct bd_fleet *fleet);

struct bd_fleet_endpoint *bd_fleet_endpoint (const struct bd_fleet *fleet,
                                             const char *id);

/* bd_fleet_group(): by hash, or NULL.  */
struct bd_fleet_group *bd_fleet_group (const struct bd_fleet *fleet,
                                       uint64_t hash);

/* bd_fleet_group_hash(): what stands for a group of one epoch.  */
uint64_t bd_fleet_group_hash (const char *name, int64_t epoch);

/* bd_fleet_is_usable(): whether new requests may go to the group, given how
   many members its model needs.  */
bool bd_fleet_is_usable (const struct bd_fleet_group *group, uint32_t members,
                         int64_t now_ms);

/* bd_fleet_suspect(): traffic says that an endpoint may be dead.  */
void bd_fleet_suspect (struct bd_fleet_endpoint *endpoint, int64_t now_ms);

/* bd_fleet_reset_liveness(): this process has stood still, so that answers
   seemed not to come: who counts as dead is asked again.  */
void bd_fleet_reset_liveness (struct bd_fleet *fleet, int64_t now_ms);

/* bd_fleet_record_missed_probe(): a question of probe_sent_ms to an endpoint
   was not answered; after max_missed_probes in a row it counts as dead.
   is_probe_refused tells that its instance answered that there is no such
   process.  */
void bd_fleet_record_missed_probe (struct bd_fleet_endpoint *endpoint,
                                   uint32_t max_missed_probes,
                                   bool is_probe_refused,
                                   int64_t probe_sent_ms, int64_t now_ms);

/* bd_fleet_is_confirmed_dead(): whether a dead endpoint is surely no more: its
   process is not there, or its entry has lapsed.  One that is silent but
   listed may live where it cannot be heard.  */
bool bd_fleet_is_confirmed_dead (const struct bd_fleet_endpoint *endpoint);

#endif

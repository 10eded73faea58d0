/* What the files of the daemon share.  Each file carries out what one slice
   decides: it feeds events in and does what comes out.  */

#ifndef BD_DAEMON_DAEMON_INTERNAL_H
#define BD_DAEMON_DAEMON_INTERNAL_H

#include "admission/limits.h"
#include "admission/queue.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/ticker.h"
#include "base/timer.h"
#include "calls/call.h"
#include "calls/sse.h"
#include "claims/shard.h"
#include "config/config.h"
#include "daemon/daemon.h"
#include "groups/gate.h"
#include "groups/keeper.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/membership.h"
#include "routing/prefix.h"
#include "routing/routing.h"
#include "settings/settings.h"
#include "store/client.h"
#include "store/instances.h"
#include "suspects/suspects.h"
#include "wire/peers.h"

enum
{
  /* Data centres that room is known of.  */
  BD_MAX_CENTRES = 64,
  BD_MAX_ROOMS = 16
};

/* An endpoint as this daemon sees it.  */
struct bd_endpoint
{
  struct bd_instance info;
  struct bd_sighting sighting;
  bool is_listed;
  bool is_polling;
  int64_t sent_ms; /* When the last answered poll was sent.  */
  uint32_t in_flight;
  uint32_t own_at_report;
};

/* A group as other observers see it.  */
struct bd_group_news
{
  uint64_t id_hash;
  int64_t incarnation;
  int64_t whole_ms; /* When its oldest report was made.  */
  uint32_t running;
  uint32_t own_at_report;
};

/* This daemon's own traffic with a group.  */
struct bd_group_traffic
{
  uint32_t in_flight;
  uint32_t suspects;
  double ms_per_token; /* Smoothed; 0 while unknown.  */
  bool is_straggler;
};

/* Room in another data centre.  */
struct bd_centre_room
{
  char name[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t http_port;
  int64_t heard_ms;
  struct bd_service_capacity capacities[BD_MAX_ROOMS];
  uint32_t capacity_count;
  uint32_t sent_since; /* Calls sent there since it was heard.  */
  bool is_relay;       /* A relay of this centre, which knows others.  */
};

/* The queue and totals of one service.  */
struct bd_pool
{
  char service[BD_NAME_SIZE];
  struct bd_queue queue;
};

/* Waiting claims of one shard, and its commit.  */
struct bd_shard_work
{
  struct bd_daemon *daemon;
  struct bd_shard shard;
  struct bd_claim_work *first;
  struct bd_claim_work *last;
  bool is_loading;
  bool is_committing;
  int64_t committed_ms;
  struct bd_timer *timer;
  struct bd_shard_commit commit;
  struct bd_claim_work *batch[BD_CLAIM_MAX_BATCH];
  uint32_t batch_count;
};

struct bd_daemon
{
  const struct bd_settings *settings;
  struct tevent_context *events;
  struct bd_clock clock;
  gsl_rng *rng;
  struct bd_counters counters;
  struct bd_http_client client;
  struct bd_http_server server;
  struct bd_object_api_http api;
  struct bd_platform platform;
  struct bd_peers peers;
  struct bd_membership membership;

  struct bd_config config;
  json_t *published_verdicts;
  bool is_accepting;
  bool must_accept;
  json_t *status_written;
  json_t *status_envelope;
  int64_t status_version;
  bool is_status_known;
  bool is_writing_status;
  bool is_watching_head;
  bool is_watching_published;
  int64_t published_revision;
  int64_t head_revision_seen;
  int64_t audited_revision;
  int64_t store_revision; /* Of the head that the platform showed last.  */

  json_t *instances_text;
  struct bd_instance_list instances;
  bool is_listing;
  GHashTable *endpoints;  /* Name -> struct bd_endpoint.  */
  GHashTable *group_news; /* Id hash -> struct bd_group_news.  */
  GHashTable *traffic;    /* Group id -> struct bd_group_traffic.  */
  GHashTable *breaks;     /* Place -> when a call broke there, ms.  */

  struct bd_keeper keeper;
  int64_t allotment_version;
  int64_t allotment_seen; /* Revision of the store that the watch has seen. */
  json_t *allotment_envelope;
  bool is_writing_allotment;
  bool is_reading_allotment;
  bool is_watching_allotment;
  int64_t allotment_read_ms;

  struct bd_limits limits;
  struct bd_suspects suspects;
  struct bd_prefix_table prefixes;
  struct bd_retry_budget retries;
  GHashTable *pools; /* Service -> struct bd_pool.  */
  struct bd_centre_room centres[BD_MAX_CENTRES];
  uint32_t centre_count;
  int64_t usages_told_ms;
  uint64_t elsewhere_mark;
  int64_t elsewhere_told_ms;
  uint32_t turn;
  struct bd_places *places; /* Scratch of daemon_places.c.  */
  struct bd_job *jobs;
  uint32_t job_count;

  struct bd_shard_work shards[BD_CLAIM_SHARDS];
  struct bd_claim_work *forwarded;

  struct bd_ticker heartbeat_ticker;
  struct bd_ticker poll_ticker;
  struct bd_ticker keeper_ticker;
  struct bd_ticker list_ticker;
  struct bd_ticker expire_ticker;
  int64_t started_ms;
  bool is_stopping;
  int64_t stopping_since_ms;
  bool was_ready;
};

/* Time.  */
int64_t bd_daemon_now_ms (const struct bd_daemon *daemon);

/* Whether the daemon has just started and may not have heard its peers yet.
   What the platform shows it may be older than what they hold, so that it
   neither serves nor keeps anything.  */
bool bd_daemon_is_settling (const struct bd_daemon *daemon);

/* Whether calls can be taken, and why not.  */
bool bd_daemon_is_ready (const struct bd_daemon *daemon, const char **reason);

/* daemon_peers.c: membership and messages.  */
bool bd_daemon_start_peers (struct bd_daemon *daemon);
void bd_daemon_beat (void *ctx);
void bd_daemon_tell (struct bd_daemon *daemon, const struct bd_member *member,
                     enum bd_message_type type, const void *message);
void bd_daemon_tell_centre (struct bd_daemon *daemon,
                            enum bd_message_type type, const void *message);
void bd_daemon_tell_all (struct bd_daemon *daemon, enum bd_message_type type,
                         const void *message);
bool bd_daemon_is_relay (const struct bd_daemon *daemon);
/* The lowest revision in force among the live daemons of this centre.  */
int64_t bd_daemon_lowest_revision (const struct bd_daemon *daemon);

/* daemon_config.c: the configuration.  */
void bd_daemon_config_step (struct bd_daemon *daemon);
void bd_daemon_offer_head (struct bd_daemon *daemon, const json_t *head);
/* A head or a patch of one from a peer.  */
void bd_daemon_take_config (struct bd_daemon *daemon, const json_t *value);
void bd_daemon_send_config (struct bd_daemon *daemon,
                            const struct bd_member *member);
bool bd_daemon_is_config_keeper (const struct bd_daemon *daemon);

/* daemon_status.c: the status that operators read.  */
void bd_daemon_write_status (struct bd_daemon *daemon);

/* daemon_groups.c: allotment and orders.  */
void bd_daemon_keep_groups (void *ctx);
void bd_daemon_offer_allotment (struct bd_daemon *daemon, const json_t *data,
                                int64_t sent_ms);
void bd_daemon_send_allotment (struct bd_daemon *daemon,
                               const struct bd_member *member);

/* daemon_instances.c: the instance list.  */
void bd_daemon_list_instances (void *ctx);
void bd_daemon_take_instances (struct bd_daemon *daemon, const char *text);
void bd_daemon_send_instances (struct bd_daemon *daemon,
                               const struct bd_member *member);

/* daemon_observe.c: load reports and digests.  */
void bd_daemon_poll (void *ctx);
void bd_daemon_take_digest (struct bd_daemon *daemon,
                            const struct bd_instance_reports *digest);
void bd_daemon_take_groups (struct bd_daemon *daemon,
                            const struct bd_group_reports *digest);
void bd_daemon_send_digests (struct bd_daemon *daemon);
/* A call broke at a place: nothing is sent there until every member has
   answered a poll that was sent later.  */
void bd_daemon_doubt (struct bd_daemon *daemon, uint64_t target);
bool bd_daemon_is_doubted (const struct bd_daemon *daemon, uint64_t target);
void bd_daemon_check_group (struct bd_daemon *daemon, const char *group_id);
struct bd_endpoint *bd_daemon_endpoint (const struct bd_daemon *daemon,
                                        const char *name);
enum bd_gate bd_daemon_gate (struct bd_daemon *daemon,
                             const struct bd_group *group, int64_t now_ms);

/* daemon_places.c: where a call can go.  */
struct bd_place
{
  char group[BD_NAME_SIZE]; /* Empty for plain endpoints and daemons.  */
  int64_t incarnation;
  char instance[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t port;
  uint64_t hash;
  bool is_daemon; /* Another daemon carries the call on.  */
  bool is_relay;  /* It may hand it to another centre.  */
};

/* What stands for one incarnation of a group.  */
uint64_t bd_daemon_group_place (const char *group_id, int64_t incarnation);

/* A call on a group took so long for so many tokens.  */
void bd_daemon_note_pace (struct bd_daemon *daemon, const char *group_id,
                          int64_t passed_ms, uint32_t tokens);

struct bd_job;
enum bd_choice
{
  BD_CHOICE_PLACE,
  BD_CHOICE_LATER, /* None now; one may come.  */
  BD_CHOICE_NEVER  /* The call has failed everywhere, or nothing serves it.  */
};
enum bd_choice bd_daemon_choose_place (struct bd_daemon *daemon,
                                       struct bd_job *job,
                                       struct bd_place *target);
bool bd_daemon_has_room (struct bd_daemon *daemon,
                         const struct bd_service *service);
bool bd_daemon_can_ever_serve (struct bd_daemon *daemon,
                               const struct bd_service *service);
uint32_t bd_daemon_free_slots (struct bd_daemon *daemon,
                               const struct bd_service *service);
void bd_daemon_enter_place (struct bd_daemon *daemon,
                            const struct bd_place *target, bool is_suspect);
void bd_daemon_leave_place (struct bd_daemon *daemon,
                            const struct bd_place *target, bool is_suspect);
struct bd_pool *bd_daemon_pool (struct bd_daemon *daemon, const char *service);
void bd_daemon_take_centre (struct bd_daemon *daemon,
                            const struct bd_data_centre_status *news,
                            bool is_relay);
/* The daemon that takes calls for a centre cannot be reached.  */
void bd_daemon_lose_centre (struct bd_daemon *daemon, const char *name);
uint32_t bd_daemon_rooms_elsewhere (struct bd_daemon *daemon,
                                    struct bd_service_capacity *capacities);

/* daemon_calls.c, daemon_jobs.c, daemon_attempts.c: calls of callers.  */

/* One call with everything that carries it out.  */
struct bd_job
{
  struct bd_daemon *daemon;
  struct bd_http_exchange *exchange; /* NULL once the caller has left.  */
  struct bd_call call;
  char service[BD_NAME_SIZE];
  char account[BD_NAME_SIZE];
  double weight;
  char *method;
  char *uri;
  char *body;
  size_t body_size;
  char *content_type;
  char *idempotency_key;
  bool is_model;
  bool is_hop;    /* Another daemon sent it here.  */
  bool must_stay; /* A suspect handed over to this daemon.  */
  bool may_leave; /* Handed over to this relay for another centre.  */
  uint64_t fingerprint;
  enum bd_verdict verdict;
  struct bd_prefix prefix;
  struct bd_waiting waiting;
  bool is_parked; /* Admitted, but no place takes it at present.  */
  struct bd_place target;
  bool has_place;
  char attempt_id[BD_ID_SIZE];
  struct bd_http_call *attempt;
  bool is_streaming;     /* The present attempt's head said so.  */
  bool has_foreign_head; /* Its head belongs to another attempt.  */
  bool has_stream;       /* The caller's stream has begun.  */
  bool has_ended;        /* The end mark of the stream came.  */
  struct bd_sse sse;
  char *error_body; /* Of a stream's answer that is no stream.  */
  struct bd_claim_work *claim;
  char claim_key[BD_ID_SIZE];
  char call_id[BD_ID_SIZE];
  int64_t attempt_ms; /* When the attempt was sent.  */
  uint32_t tokens;    /* Events of the attempt.  */
  struct bd_timer *deadline;
  struct bd_job *prev;
  struct bd_job *next;
};

void bd_daemon_take_call (struct bd_daemon *daemon,
                          struct bd_http_exchange *exchange);
void bd_daemon_caller_gone (struct bd_daemon *daemon,
                            struct bd_http_exchange *exchange);
void bd_daemon_caller_writable (struct bd_daemon *daemon,
                                struct bd_http_exchange *exchange);
void bd_daemon_pump (struct bd_daemon *daemon);
void bd_daemon_expire (void *ctx);
void bd_daemon_problem (struct bd_daemon *daemon,
                        struct bd_http_exchange *exchange, enum bd_error error,
                        enum bd_run_state run, int64_t retry_after_ms);

/* daemon_claims.c: at most once.  */
struct bd_claim_work
{
  struct bd_daemon *daemon;
  struct bd_claim claim;
  /* Called once, unless NULL; result, and for a replay the outcome.  */
  void (*done) (void *ctx, struct bd_claim_work *work);
  void *ctx;
  int64_t give_up_ms;
  uint32_t hops;
  char reply_address[BD_NAME_SIZE]; /* Of a forwarded claim.  */
  uint32_t reply_port;
  struct bd_timer *timer;
  struct bd_claim_work *next;
};

void bd_daemon_start_claims (struct bd_daemon *daemon);
void bd_daemon_finish_claims (struct bd_daemon *daemon);
struct bd_claim_work *
bd_daemon_claim (struct bd_daemon *daemon, const struct bd_claim *claim,
                 void (*done) (void *ctx, struct bd_claim_work *work),
                 void *ctx);
void bd_daemon_take_claim (struct bd_daemon *daemon,
                           const struct bd_claim_request *request);
void bd_daemon_take_claim_reply (struct bd_daemon *daemon,
                                 const struct bd_claim_reply *reply);

/* daemon_http.c: the daemon's own pages.  */
bool bd_daemon_serve_page (struct bd_daemon *daemon,
                           struct bd_http_exchange *exchange);

#endif

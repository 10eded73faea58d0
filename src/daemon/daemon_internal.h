/* State and functions shared by the files of the daemon.

   The decisions are made by the other modules (calls, routing, groups, ...),
   which do no input or output.  Each file here passes events to such modules
   and performs the actions that they return.  */

#ifndef BD_DAEMON_DAEMON_INTERNAL_H
#define BD_DAEMON_DAEMON_INTERNAL_H

#include "admission/limits.h"
#include "admission/queue.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/recent.h"
#include "base/ticker.h"
#include "base/timer.h"
#include "calls/call.h"
#include "calls/sse.h"
#include "claims/shard.h"
#include "config/config.h"
#include "daemon/daemon.h"
#include "groups/controller.h"
#include "groups/gate.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/membership.h"
#include "poison/poison.h"
#include "routing/prefix.h"
#include "routing/routing.h"
#include "settings/settings.h"
#include "store/client.h"
#include "store/instances.h"
#include "wire/peers.h"

enum
{
  /* Remote entries: data centres, or relays that forward to them.  */
  BD_MAX_REMOTES = 64,
  /* Services in one capacity message.  */
  BD_MAX_SERVICE_CAPACITIES = 16
};

/* An endpoint as seen by this daemon.  */
struct bd_endpoint
{
  struct bd_instance info;
  struct bd_received_report observation;
  bool is_listed;
  bool is_probing;
  int64_t probe_sent_ms;  /* When the last answered probe was sent.  */
  uint32_t in_flight;     /* Calls of this daemon.  */
  uint32_t own_at_report; /* This daemon's calls when the report arrived. */
};

/* A complete group as reported by other probers.  */
struct bd_group_status
{
  uint64_t id_hash;
  int64_t incarnation;
  int64_t oldest_report_ms; /* Time of the oldest report of a member.  */
  uint32_t running;
  uint32_t own_at_report; /* This daemon's calls when the status arrived.  */
};

/* This daemon's traffic with a group.  */
struct bd_group_traffic
{
  uint32_t in_flight;
  uint32_t poison_requests; /* Suspected poison requests in flight.  */
  double ms_per_token;      /* Smoothed; 0 while unknown.  */
  bool is_straggler;
};

/* The capacity of a remote data centre, or of all remote data centres that a
   relay of this data centre forwards to.  */
struct bd_remote
{
  char name[BD_NAME_SIZE]; /* Of the data centre, or of the relay.  */
  char address[BD_NAME_SIZE];
  uint32_t http_port;
  int64_t received_ms;
  struct bd_service_capacity capacities[BD_MAX_SERVICE_CAPACITIES];
  uint32_t capacity_count;
  uint32_t sent_since_update; /* Calls sent there since received_ms.  */
  bool is_relay;              /* A relay of this data centre.  */
};

/* The queue of one service.  */
struct bd_service_queue
{
  char service[BD_NAME_SIZE];
  struct bd_queue queue;
};

/* Claims that wait for a commit to one shard, and the commit in progress.  */
struct bd_shard_queue
{
  struct bd_daemon *daemon;
  struct bd_shard shard;
  struct bd_pending_claim *first;
  struct bd_pending_claim *last;
  bool is_loading;
  bool is_committing;
  bool is_settling; /* The results of claims are being reported.  */
  int64_t commit_started_ms;
  struct bd_timer *timer;
  struct bd_shard_commit commit;
  struct bd_pending_claim *batch[BD_CLAIM_MAX_BATCH];
  uint32_t batch_count;
};

/* The last request of a member for the instance list.  */
struct bd_list_requester
{
  char name[BD_NAME_SIZE];
  int64_t incarnation;
  int64_t sent_ms; /* On the member's clock.  */
  int64_t received_ms;
};

struct bd_daemon
{
  const struct bd_settings *settings;
  struct tevent_context *events;
  struct bd_clock clock;
  gsl_rng *rng;
  struct bd_counters counters;
  struct bd_http_client client;
  struct bd_memory memory; /* Bytes of responses of endpoints.  */
  struct bd_http_server server;
  struct bd_object_api_http api;
  struct bd_store platform;
  struct bd_peers peers;
  struct bd_membership membership;

  struct bd_config config;
  json_t *published_decisions;
  bool is_accepting;
  bool is_acceptance_due;
  json_t *status_written;
  json_t *status_envelope;
  int64_t status_version;
  bool is_status_known;
  bool is_writing_status;
  bool is_watching_head;
  bool is_watching_published;
  int64_t published_watch_revision;
  int64_t head_watch_revision;
  int64_t audited_revision;
  int64_t store_revision; /* Of the head last read from the platform.  */

  json_t *instances_json;
  uint64_t instances_checksum; /* 0: no list.  */
  /* The list was the platform's at this time or later.  */
  int64_t instances_confirmed_ms;
  struct bd_instance_list instances;
  bool is_fetching_instances;
  int64_t instances_sent_ms;     /* When the current fetch was sent.  */
  GHashTable *list_requests;     /* Member -> struct bd_list_requester.  */
  bool is_list_unreadable;       /* The last list of instances was.  */
  GHashTable *endpoints;         /* Name -> struct bd_endpoint.  */
  GHashTable *group_statuses;    /* Id hash -> struct bd_group_status.  */
  GHashTable *traffic;           /* Group id -> struct bd_group_traffic.  */
  GHashTable *suspected_targets; /* Target hash -> time of the failure, ms.  */

  struct bd_controller controller;
  int64_t assignment_version;
  int64_t assignment_watch_revision; /* Store revision seen by the watch.  */
  json_t *assignment_envelope;
  bool is_writing_assignment;
  bool is_reading_assignment;
  bool is_watching_assignment;
  int64_t assignment_read_ms;

  struct bd_limits limits;
  struct bd_poison_table poison_requests;
  struct bd_prefix_table prefixes;
  struct bd_retry_budget retries;
  GHashTable *service_queues; /* Service -> struct bd_service_queue.  */
  struct bd_remote remotes[BD_MAX_REMOTES];
  uint32_t remote_count;
  int64_t usages_sent_ms;
  uint64_t remote_capacity_hash;
  int64_t remote_capacity_sent_ms;
  uint32_t round_robin;
  struct bd_target_list *targets; /* Scratch memory of daemon_targets.c.  */
  struct bd_job *jobs;
  /* The one that a walk through the list comes to next; a call that ends can
     end others.  */
  struct bd_job *next_job;
  uint32_t job_count;

  struct bd_shard_queue shards[BD_CLAIM_SHARDS];
  struct bd_pending_claim *forwarded_claims;

  struct bd_ticker heartbeat_ticker;
  struct bd_ticker probe_ticker;
  struct bd_ticker controller_ticker;
  struct bd_ticker instances_ticker;
  struct bd_ticker list_request_ticker;
  struct bd_ticker dispatch_ticker;
  int64_t started_ms;
  bool is_stopping;
  bool is_closed; /* The calls have ended; no connections are accepted.  */
  int64_t stopping_since_ms;
  bool is_grace_over; /* All calls have got their final response.  */
  int64_t end_ms;     /* When that is to be.  */
  bool was_ready;
  struct bd_recent route_checks;
};

/* bd_daemon_now_ms(): monotonic time in ms.  */
int64_t bd_daemon_now_ms (const struct bd_daemon *daemon);

/* bd_daemon_note_malformed(): counts and logs the response of a source, an
   instance, "order", or "instances" for their list, to a call of the daemon's
   own if it is malformed.  */
void bd_daemon_note_malformed (struct bd_daemon *daemon, const char *source,
                               const struct bd_http_result *result);

/* bd_daemon_is_starting(): whether the daemon has started so recently that it
   may not have received a heartbeat from every peer.  The platform may return
   older state than the peers have, so a starting daemon takes no calls and is
   no controller.  */
bool bd_daemon_is_starting (const struct bd_daemon *daemon);

/* bd_daemon_is_ready(): whether the daemon takes calls.  *reason is why it
   does not, or an empty string.  */
bool bd_daemon_is_ready (const struct bd_daemon *daemon, const char **reason);

/* daemon_peers.c: membership and messages between daemons.  */

/* bd_daemon_start_peers(): returns false when the peer port cannot be
   bound.  */
bool bd_daemon_start_peers (struct bd_daemon *daemon);

/* bd_daemon_send_heartbeats(): sends heartbeats, statuses and digests to the
   peers, and calls bd_daemon_sync_config().  */
void bd_daemon_send_heartbeats (void *ctx);

/* bd_daemon_send(), bd_daemon_send_to_data_centre(), bd_daemon_send_to_all():
   send a message to one daemon, to the live daemons of this data centre, or to
   every live daemon.  */
void bd_daemon_send (struct bd_daemon *daemon, const struct bd_member *member,
                     enum bd_message_type type, const void *message);
void bd_daemon_send_to_data_centre (struct bd_daemon *daemon,
                                    enum bd_message_type type,
                                    const void *message);
void bd_daemon_send_to_all (struct bd_daemon *daemon,
                            enum bd_message_type type, const void *message);

/* bd_daemon_is_relay(): whether this daemon is a relay of its data centre.  */
bool bd_daemon_is_relay (const struct bd_daemon *daemon);

/* bd_daemon_lowest_revision(): the lowest configuration revision in force
   among the live daemons of this data centre.  */
int64_t bd_daemon_lowest_revision (const struct bd_daemon *daemon);

/* daemon_config.c: the configuration.  */

/* bd_daemon_sync_config(): starts the watches, the acceptance round and the
   status write that are due.  */
void bd_daemon_sync_config (struct bd_daemon *daemon);

/* bd_daemon_adopt_config_head(): puts head in force if its revision is higher,
   and sends the change to the peers.  */
void bd_daemon_adopt_config_head (struct bd_daemon *daemon,
                                  const json_t *head);

/* bd_daemon_receive_config(): handles a head, or a patch of one, from a
   peer.  */
void bd_daemon_receive_config (struct bd_daemon *daemon, const json_t *value);

/* bd_daemon_send_config(): sends the head in force to a member that has an
   older one.  */
void bd_daemon_send_config (struct bd_daemon *daemon,
                            const struct bd_member *member);

/* bd_daemon_is_config_controller(): whether this daemon accepts published
   files: it is the relay with the lowest name among the live ones.  */
bool bd_daemon_is_config_controller (const struct bd_daemon *daemon);

/* daemon_status.c: the status object for operators.  */

/* bd_daemon_write_status(): writes the status to the platform if it has
   changed.  */
void bd_daemon_write_status (struct bd_daemon *daemon);

/* daemon_groups.c: the assignment of instances to groups, and orders.  */

/* bd_daemon_control_groups(): one step of the group controller.  */
void bd_daemon_control_groups (void *ctx);

/* bd_daemon_adopt_assignment(): takes over an assignment if it is newer.
   sent_ms is when the platform call that returned it was sent; 0 when it comes
   from a peer or a watch, which does not confirm that it is current.  */
void bd_daemon_adopt_assignment (struct bd_daemon *daemon, const json_t *data,
                                 int64_t sent_ms);

/* bd_daemon_send_assignment(): sends the current assignment, if any.  */
void bd_daemon_send_assignment (struct bd_daemon *daemon,
                                const struct bd_member *member);

/* daemon_instances.c: the instance list.  */

/* bd_daemon_fetch_instances(): requests the list from the platform, on relays
   and on daemons that have none.  */
void bd_daemon_fetch_instances (void *ctx);

/* bd_daemon_request_list(): asks the relays of the data centre for a newer
   list.  */
void bd_daemon_request_list (void *ctx);

/* bd_daemon_receive_list_request(), bd_daemon_receive_list_reply(): handle
   such a request and its replies.  A list is put in force only if the platform
   had it later than the one in force.  */
void bd_daemon_receive_list_request (struct bd_daemon *daemon,
                                     const struct bd_list_request *request);
void bd_daemon_receive_list_reply (struct bd_daemon *daemon,
                                   const struct bd_list_reply *reply);

/* bd_daemon_receive_instances(): puts the list in text, which is JSON, in
   force unless the present one has been confirmed recently.  Only daemons of
   earlier builds, and those without a request from this one, send a list that
   has no age.  */
void bd_daemon_receive_instances (struct bd_daemon *daemon, const char *text);

/* bd_daemon_remove_unlisted_endpoints(): removes the endpoints that the list
   no longer has, that are in no group and that have no calls or probes.  */
void bd_daemon_remove_unlisted_endpoints (struct bd_daemon *daemon);

/* bd_daemon_send_instances(): sends the list, if there is one.  */
void bd_daemon_send_instances (struct bd_daemon *daemon,
                               const struct bd_member *member);

/* daemon_probes.c: load reports and digests.  */

/* bd_daemon_probe_endpoints(): probes the endpoints that this daemon is
   responsible for.  */
void bd_daemon_probe_endpoints (void *ctx);

/* bd_daemon_receive_digest(), bd_daemon_receive_group_digest(): handle what
   another prober has observed.  */
void bd_daemon_receive_digest (struct bd_daemon *daemon,
                               const struct bd_instance_reports *digest);
void bd_daemon_receive_group_digest (struct bd_daemon *daemon,
                                     const struct bd_group_reports *digest);

/* bd_daemon_send_digests(): sends this daemon's observations to the daemons of
   the data centre and to its group controller.  */
void bd_daemon_send_digests (struct bd_daemon *daemon);

/* bd_daemon_suspect_target(): a call to the group with this target hash broke.
   No call is sent there until every member has answered a probe that was sent
   after this time.  */
void bd_daemon_suspect_target (struct bd_daemon *daemon, uint64_t target);
bool bd_daemon_is_target_suspected (const struct bd_daemon *daemon,
                                    uint64_t target);

/* bd_daemon_probe_group(): probes every member now.  */
void bd_daemon_probe_group (struct bd_daemon *daemon, const char *group_id);

/* bd_daemon_find_endpoint(): returns the endpoint with this instance name, or
   NULL.  */
struct bd_endpoint *bd_daemon_find_endpoint (const struct bd_daemon *daemon,
                                             const char *name);

/* bd_daemon_gate(): whether calls may be sent to the group, by this daemon's
   probes or by the digests of other probers.  */
enum bd_gate bd_daemon_gate (struct bd_daemon *daemon,
                             const struct bd_group *group, int64_t now_ms);

/* daemon_targets.c: the targets of calls.  */

/* The group, endpoint or daemon that a call is sent to.  */
struct bd_target
{
  char group[BD_NAME_SIZE]; /* Empty for plain endpoints and daemons.  */
  int64_t incarnation;
  char instance[BD_NAME_SIZE]; /* Leader, endpoint or remote entry.  */
  char address[BD_NAME_SIZE];
  uint32_t port;
  uint64_t hash;
  bool is_daemon; /* Another daemon, which carries out the call.  */
  bool is_relay;  /* A relay, which may forward to a remote data centre.  */
};

/* bd_daemon_group_target_hash(): the target hash of one incarnation of a
   group.  */
uint64_t bd_daemon_group_target_hash (const char *group_id,
                                      int64_t incarnation);

/* bd_daemon_record_token_time(): a call on the group took elapsed_ms and
   returned this number of tokens.  Updates the group's time per token, and
   whether the group is a straggler.  */
void bd_daemon_record_token_time (struct bd_daemon *daemon,
                                  const char *group_id, int64_t elapsed_ms,
                                  uint32_t tokens);

struct bd_job;
enum bd_target_choice
{
  BD_CHOICE_FOUND,
  BD_CHOICE_WAIT, /* No target now; one may become available.  */
  BD_CHOICE_NONE  /* The call failed on every target, or there is none.  */
};

/* bd_daemon_choose_target(): sets *target for BD_CHOICE_FOUND.  */
enum bd_target_choice bd_daemon_choose_target (struct bd_daemon *daemon,
                                               struct bd_job *job,
                                               struct bd_target *target);

/* bd_daemon_has_capacity(): whether a call of the service can be sent now,
   here or to a remote data centre.  */
bool bd_daemon_has_capacity (struct bd_daemon *daemon,
                             const struct bd_service *service);

/* bd_daemon_has_any_target(): whether the service has a group, an endpoint or
   a remote data centre with capacity, whatever the present load.  */
bool bd_daemon_has_any_target (struct bd_daemon *daemon,
                               const struct bd_service *service);

/* bd_daemon_free_slots(): returns how many calls of the service can start now
   in this data centre.  */
uint32_t bd_daemon_free_slots (struct bd_daemon *daemon,
                               const struct bd_service *service);

/* bd_daemon_acquire_slot(), bd_daemon_release_slot(): count a call in flight
   on the target.  is_isolated marks a suspected poison request.  */
void bd_daemon_acquire_slot (struct bd_daemon *daemon,
                             const struct bd_target *target, bool is_isolated);
void bd_daemon_release_slot (struct bd_daemon *daemon,
                             const struct bd_target *target, bool is_isolated);

/* bd_daemon_service_queue(): the queue of a service, created on first use.  */
struct bd_service_queue *bd_daemon_service_queue (struct bd_daemon *daemon,
                                                  const char *service);

/* bd_daemon_update_remote(): stores the status of a remote data centre, or
   with is_relay the summary that a relay of this data centre has sent.  */
void bd_daemon_update_remote (struct bd_daemon *daemon,
                              const struct bd_data_centre_status *status,
                              bool is_relay);

/* bd_daemon_clear_remote(): sets the capacity of a remote entry to none until
   its next status, because the daemon at its address cannot be reached.  */
void bd_daemon_clear_remote (struct bd_daemon *daemon, const char *name);

/* bd_daemon_fill_remote_capacities(): fills in the services that have capacity
   in a remote data centre, at most BD_MAX_SERVICE_CAPACITIES.  Returns their
   number.  */
uint32_t
bd_daemon_fill_remote_capacities (struct bd_daemon *daemon,
                                  struct bd_service_capacity *capacities);

/* daemon_calls.c, daemon_jobs.c, daemon_attempts.c: calls from
   callers.  */

/* One call and the state needed to carry it out.  */
struct bd_job
{
  struct bd_daemon *daemon;
  struct bd_http_exchange
      *exchange; /* NULL once the caller has disconnected.  */
  struct bd_call call;
  char service[BD_NAME_SIZE];
  char *account;
  double weight;
  char *method;
  char *uri;
  char *body;
  size_t body_size;
  char *content_type;
  char *idempotency_key;
  bool is_model;
  bool is_forwarded;     /* Received from another daemon.  */
  bool must_run_locally; /* Suspected poison, forwarded here.  */
  bool can_forward;      /* This relay may send it to a remote data centre.  */
  uint64_t fingerprint;
  uint64_t subject; /* Of crashes: the request.  */
  enum bd_poison_decision poison_decision;
  struct bd_prefix prefix;
  struct bd_queue_item waiting;
  bool is_parked; /* Admitted, but no target is available now.  */
  struct bd_target target;
  bool has_slot;
  char attempt_id[BD_ID_SIZE];
  struct bd_http_call *attempt;
  bool is_streaming; /* The attempt's response is an event stream.  */
  bool has_mismatched_response; /* It belongs to another attempt or is
                                   malformed.  */
  bool has_started_stream;      /* The response to the caller has begun.  */
  bool has_ended_stream; /* The attempt's end event has been received.  */
  struct bd_sse sse;
  /* The response of a stream call that is no stream, with a final NUL.  */
  char *error_body;
  size_t error_size;
  size_t error_capacity;
  struct bd_pending_claim *claim;
  char claim_key[BD_ID_SIZE];
  char call_id[BD_ID_SIZE];
  int64_t attempt_sent_ms; /* When the last attempt was sent.  */
  uint32_t tokens;         /* Events received in the attempt.  */
  struct bd_timer *deadline_timer;
  struct bd_job *prev;
  struct bd_job *next;
};

/* bd_daemon_find_service(): the service of the requests to a path, and of the
   model that they name, or NULL.  */
const struct bd_service *
bd_daemon_find_service (const struct bd_daemon *daemon, const char *path,
                        const char *model);

/* bd_daemon_retry_after_s(): the time in the Retry-After of a failure, for a
   caller that should wait for ms; 0 if it has none.  */
int64_t bd_daemon_retry_after_s (enum bd_error error, int64_t ms);

/* A group or an endpoint of this data centre, as a job finds it.  */
struct bd_daemon_option
{
  const char *endpoint; /* A group's leader; NULL if it is not known.  */
  const char *group;    /* NULL for an endpoint.  */
  const char *data_centre;
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  int64_t age_ms;       /* Of its last report; -1 if there is none.  */
  double expected_ms;   /* To the first token; -1 if unknown.  */
  const char *excluded; /* Why it cannot be chosen; NULL if it can.  */
};

typedef void bd_daemon_visitor (void *ctx,
                                const struct bd_daemon_option *option);

/* bd_daemon_visit_options(): calls visit for the groups or endpoints of the
   job's service.  */
void bd_daemon_visit_options (struct bd_daemon *daemon,
                              const struct bd_job *job,
                              const struct bd_service *service,
                              bd_daemon_visitor *visit, void *ctx);

/* daemon_route_check.c: explains where a call would go, without sending it. */

/* bd_daemon_check_route(): what would happen to a request now; a new value, in
   the format that docs/design/route-check.md describes.  exchange has its
   header fields and, in place of the body, its length.  model and prompt can
   be NULL.  Changes nothing that decides about calls.  */
json_t *bd_daemon_check_route (struct bd_daemon *daemon,
                               const struct bd_http_exchange *exchange,
                               const char *path, const char *model,
                               const char *prompt);

/* bd_daemon_serve_route_check(): responds to a check, or with 429 if there
   were too many in the last second.  */
void bd_daemon_serve_route_check (struct bd_daemon *daemon,
                                  struct bd_http_exchange *exchange);

/* bd_daemon_handle_call(): takes a request; it gets exactly one final
   response.  */
void bd_daemon_handle_call (struct bd_daemon *daemon,
                            struct bd_http_exchange *exchange);

/* bd_daemon_handle_caller_disconnect(): the caller has closed the connection
   before the complete response.  */
void bd_daemon_handle_caller_disconnect (struct bd_daemon *daemon,
                                         struct bd_http_exchange *exchange);

/* bd_daemon_handle_caller_writable(): the caller reads again, so the attempt
   continues.  */
void bd_daemon_handle_caller_writable (struct bd_daemon *daemon,
                                       struct bd_http_exchange *exchange);

/* bd_daemon_end_calls(): gives all calls their final response.  */
void bd_daemon_end_calls (struct bd_daemon *daemon);

/* bd_daemon_dispatch_queues(): admits queued calls while there is capacity. */
void bd_daemon_dispatch_queues (struct bd_daemon *daemon);

/* bd_daemon_dispatch_all(): dispatches the parked calls again, then the
   queues.  */
void bd_daemon_dispatch_all (void *ctx);

/* bd_daemon_send_problem(): responds with a failure.  retry_after_ms is sent
   with temporary errors only.  */
void bd_daemon_send_problem (struct bd_daemon *daemon,
                             struct bd_http_exchange *exchange,
                             enum bd_error error, enum bd_run_state run,
                             int64_t retry_after_ms);

/* daemon_claims.c: claims of calls that must run at most once.  */

/* A claim that is not yet settled.  */
struct bd_pending_claim
{
  struct bd_daemon *daemon;
  struct bd_claim claim;
  /* Called once with the result in claim, and the recorded outcome for a
     replay.  May be NULL.  */
  void (*done) (void *ctx, struct bd_pending_claim *pending);
  void *ctx;
  int64_t expires_ms;
  uint32_t hops; /* How often the claim has been forwarded.  */
  char reply_address[BD_NAME_SIZE]; /* Of a forwarded claim.  */
  uint32_t reply_port;
  struct bd_timer *timer;
  struct bd_pending_claim *next;
};

/* bd_daemon_start_claims(): initializes the shards.
   bd_daemon_finish_claims(): drops the waiting claims and frees the shards. */
void bd_daemon_start_claims (struct bd_daemon *daemon);
void bd_daemon_finish_claims (struct bd_daemon *daemon);

/* bd_daemon_submit_claim(): records a claim, here or at the owner of its
   shard.  done, unless NULL, is called once, possibly before this returns; the
   pending claim is freed after it.  Unless out is NULL, *out is the pending
   claim; it is set before done is called and not used afterwards, so that done
   may free what contains it.  */
void bd_daemon_submit_claim (struct bd_daemon *daemon,
                             const struct bd_claim *claim,
                             void (*done) (void *ctx,
                                           struct bd_pending_claim *pending),
                             void *ctx, struct bd_pending_claim **out);

/* bd_daemon_receive_claim(), bd_daemon_receive_claim_reply(): a claim
   forwarded by another daemon, and the reply to one forwarded to it.  */
void bd_daemon_receive_claim (struct bd_daemon *daemon,
                              const struct bd_claim_request *request);
void bd_daemon_receive_claim_reply (struct bd_daemon *daemon,
                                    const struct bd_claim_reply *reply);

/* daemon_http.c: pages for operators, and the model list.  */

/* bd_daemon_serve_page(): responds to a request for a page.  Returns false
   when the path is not a page.  */
bool bd_daemon_serve_page (struct bd_daemon *daemon,
                           struct bd_http_exchange *exchange);

#endif

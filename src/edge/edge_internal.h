/* Types and functions shared by the files of the edge daemon.  */

#ifndef BD_EDGE_EDGE_INTERNAL_H
#define BD_EDGE_EDGE_INTERNAL_H

#include "admission/backlog.h"
#include "admission/patience.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/histograms.h"
#include "base/json.h"
#include "base/log.h"
#include "base/recent.h"
#include "base/ticker.h"
#include "calls/call.h"
#include "calls/sse.h"
#include "directory/directory.h"
#include "document/history.h"
#include "edge/edge.h"
#include "evacuation/evacuation.h"
#include "fleet/fleet.h"
#include "http/client.h"
#include "http/server.h"
#include "links/links.h"
#include "membership/membership.h"
#include "memory/memory.h"
#include "placement/placement.h"
#include "poison/poison.h"
#include "regions/regions.h"
#include "replicas/replicas.h"
#include "store/client.h"
#include "store/term.h"
#include "wire/peers.h"

enum
{
  BD_EDGE_MAX_DATA_CENTRES = 64,
  BD_EDGE_MAX_HANDOVER_HEADERS = 6,
  /* Of what a request that is handed over has besides its caller's head.  */
  BD_EDGE_HANDOVER_HEAD_BYTES = 2 * 1024,
  BD_EDGE_MAX_RELAY_REPORTS = 4,
  /* Retry-After while this daemon stops: another one can serve at once.  */
  BD_EDGE_STOPPING_RETRY_MS = 50,
  /* Time of the way from a relay to the daemons that follow it.  */
  BD_EDGE_RELAY_DELAY_MS = 1000,
  /* Longest time between two reads of the list of daemons.  */
  BD_EDGE_DAEMON_LIST_MS = 15000
};

/* What ended a caller's connection before the whole response was sent.  */
enum bd_edge_cut
{
  BD_EDGE_CUT_BY_CALLER,
  BD_EDGE_CUT_ABANDONED, /* By a caller that got no first event in time.  */
  BD_EDGE_CUT_BY_SWEEP,  /* The caller took nothing of the response.  */
  BD_EDGE_CUT_BY_STOP,
  BD_EDGE_CUT_BY_DEADLINE, /* A stream that still ran then.  */
  BD_EDGE_CUT_BY_FAILURE   /* A stream that cannot be resumed.  */
};

/* One request of a caller, from its arrival to its final response.  */
struct bd_edge_request
{
  struct bd_edge *edge;
  /* NULL once the caller has disconnected.  */
  struct bd_http_exchange *exchange;

  /* Properties of the request, set at ingress.  */
  char route[BD_NAME_SIZE];
  enum bd_route_kind kind;
  bool is_idempotent;
  uint32_t objective_ms;
  uint32_t gap_objective_ms;
  uint32_t caller_gap_ms; /* See struct bd_route.  */
  uint32_t priority;
  char service[BD_NAME_SIZE];
  char *account;    /* Empty without one.  */
  char *key;        /* API key; NULL on public routes.  Never logged.  */
  char *attempt_id; /* Empty without one.  */
  char *method;
  char *request_target; /* URI as received.  */
  char *body;
  size_t body_size;
  struct bd_http_header_field *headers; /* That are forwarded.  */
  uint32_t header_count;
  const char *model; /* Empty for services without an engine.  */
  /* Regions that its route and its account allow, see regions.c; NULL for
     all.  */
  const struct bd_region_list *route_regions;
  const struct bd_region_list *account_regions;
  uint32_t prompt_tokens;
  uint32_t output_tokens;     /* Expected.  */
  uint32_t max_output_tokens; /* 0 if unknown.  */
  /* To which a crash can be attributed; the first is the whole request.  */
  uint64_t subjects[BD_POISON_MAX_SUBJECTS];
  uint32_t subject_count;
  int64_t received_ms;
  int64_t deadline_ms;
  int64_t config_version; /* In force when it was received.  */
  struct bd_call call;

  /* Another daemon has handed it over to this one.  */
  bool is_taken_over;
  bool is_last_resort; /* The other daemon knows of no further one.  */
  /* When the other daemon ends, which stops; 0 if it does not.  */
  int64_t sender_end_ms;
  /* When the other daemon ends the request for want of a first event or a
     response, or can do so at the earliest; 0 if that is unknown.  */
  int64_t sender_wait_end_ms;
  /* Its last attempt has reached no endpoint, which may be this daemon's
     fault: the next one goes to another daemon if one can take it.  */
  bool prefers_handover;

  /* Interference control (src/interference/) has held it back, and looks at it
     again then; 0 if it has not.  */
  int64_t held_until_ms;

  /* Set while the request waits in a backlog, for a first target or, while its
     attempt stalls, for another one.  */
  struct bd_backlog_item backlog_item;

  /* The current attempt.  */
  struct bd_http_call *attempt;
  bool is_handed_over;  /* To the daemon that endpoint names.  */
  bool has_next_daemon; /* Handed over, and another daemon is left.  */
  char endpoint[BD_NAME_SIZE];
  int64_t endpoint_started_ms; /* Of its incarnation.  */
  uint64_t group;              /* Hash; 0 for endpoints without a group.  */
  int64_t sent_ms;
  double expected_ms; /* From sending to the first event.  */
  double prefill_ms;
  bool is_prefilling;    /* No event or response yet.  */
  bool is_mismatched;    /* The response belongs to another request.  */
  bool is_incomplete;    /* Events are missing or the body is too large.  */
  bool has_head;         /* The head of the attempt's response was received. */
  bool is_stalled;       /* It is overdue, and no data has come since.  */
  int64_t last_event_ms; /* Last data of the attempt, or its sending.  */
  int64_t last_forwarded_ms; /* Last event sent to the caller.  */
  uint32_t events;
  struct bd_sse sse;
  char *response_body; /* Of a response that is not a stream.  */
  size_t response_size;
  size_t response_capacity;

  struct bd_edge_stalled_attempt *stalled; /* NULL if there is none.  */

  /* The response to the caller.  */
  bool has_stream_begun; /* The head of a stream was sent.  */
  int64_t stream_begun_ms;
  struct bd_http_header_field
      *fallback_headers; /* See bd_edge_keep_fallback().  */
  char *fallback_body;
  uint32_t fallback_header_count;
  size_t fallback_size;
  uint32_t fallback_status;
  struct bd_memory_share fallback_share;

  struct bd_edge_request *prev;
  struct bd_edge_request *next;
};

/* An attempt that stalls and runs on beside the current one, which has brought
   nothing yet: the fields of the request that describe an attempt.  */
struct bd_edge_stalled_attempt
{
  struct bd_http_call *attempt;
  bool is_handed_over;
  bool has_next_daemon;
  char endpoint[BD_NAME_SIZE];
  int64_t endpoint_started_ms;
  uint64_t group;
  int64_t sent_ms;
  double expected_ms;
  double prefill_ms;
  bool is_prefilling;
  bool is_mismatched;
  bool is_incomplete;
  bool has_head;
  bool is_stalled;
  int64_t last_event_ms;
  uint32_t events;
  struct bd_sse sse;
  char *response_body;
  size_t response_size;
  size_t response_capacity;
  uint32_t runs; /* That it may use.  */
};

/* Retry budget and backlog of one service.  The retry budget is this daemon's
   share of the budget of all daemons.  */
struct bd_edge_service
{
  char name[BD_NAME_SIZE];
  struct bd_retry_budget retries;
  struct bd_backlog backlog;
  struct bd_links links; /* To its endpoints.  */
};

/* Load that callers of this daemon offer for one model, smoothed.  */
struct bd_edge_work
{
  char model[BD_NAME_SIZE];
  double offered_replicas; /* Replicas that the load keeps busy.  */
  double peers_replicas;   /* The same of the load of all other daemons; 0
                              unless [placement] load_level is set.  */
  double window_work_ms;   /* Since window_start_ms.  */
  int64_t window_start_ms;
  /* The shortest objective of its requests since this version of the
     configuration is in force.  */
  uint32_t shortest_objective_ms;
  int64_t objective_version;
};

/* State of this daemon as controller of the groups of a data centre.  */
struct bd_edge_controller
{
  struct bd_edge *edge;
  char data_centre[BD_NAME_SIZE];
  bool is_active; /* This daemon owns the term.  */
  struct bd_term term;
  int64_t term_requested_ms;
  struct bd_replicas_summary last_summary; /* Last one logged.  */
  int64_t last_summary_ms;
  /* Valid once a term was acquired.  Large: has to be the last field.  */
  struct bd_replicas replicas;
};

/* The live daemons that a relay has reported last.  */
struct bd_edge_relay_report
{
  uint64_t relay; /* Hash of its name; 0 if unused.  */
  uint64_t checksum;
  uint32_t used_turn; /* status_turn at the last use.  */
};

/* Messages with the whole of one table.  */
struct bd_edge_transfers
{
  GHashTable *last;  /* Hash of a peer's name -> struct transfer.  */
  int64_t period_ms; /* Shortest time between two messages.  */
  int64_t sent_ms;   /* When the table was last sent to any peer.  */
};

struct bd_edge_target;

struct bd_edge
{
  struct bd_edge_settings *settings;
  const struct bd_adapter *adapter;
  struct tevent_context *events;
  struct bd_clock clock;
  gsl_rng *rng;
  struct bd_counters counters;
  struct bd_histograms histograms;
  struct bd_memory memory;            /* Bytes buffered for others.  */
  struct bd_http_client client;       /* To endpoints.  */
  struct bd_http_client store_client; /* To the store.  */
  struct bd_http_server server;
  struct bd_http_server handover_server;
  struct bd_http_server ready_server;
  struct bd_http_server metrics_server;
  struct bd_store store;
  struct bd_peers peers;
  struct bd_membership membership;
  uint32_t status_turn;
  uint32_t live_daemons; /* Of all data centres.  */
  /* The live daemons of this data centre, and the place of this one in the
     order of their names.  */
  uint32_t local_daemons;
  uint32_t local_place;
  /* Traffic of the other daemons, and, at a relay, of this one; by daemon and
     by data centre.  */
  struct bd_traffic traffic;
  struct bd_traffic remote_traffic;
  struct bd_edge_relay_report relay_reports[BD_EDGE_MAX_RELAY_REPORTS];
  /* When this daemon became a relay; 0 if it is not.  */
  int64_t relay_since_ms;

  /* Configuration.  */
  struct bd_routes *routes; /* NULL before the first one.  */
  json_t *config;
  uint64_t config_checksum; /* Of config; 0 without one.  */
  char *config_text;        /* Of config; NULL until a peer needs it.  */
  bool is_config_large;
  struct bd_document_history config_history;
  bool needs_whole_config;   /* The last deltas did not lead to it.  */
  int64_t config_applied_ms; /* When this version came into force.  */
  /* When the configuration was last known to be the newest: the time at which
     this daemon or a peer sent the read that returned it.  */
  int64_t config_verified_ms;
  int64_t highest_config_version; /* Of all daemons, by their status.  */
  int64_t config_read_started_ms; /* Start of the last read.  */
  int64_t config_watch_revision; /* Where the next watch starts; 0 for none. */
  bool is_reading_config;
  bool is_watching_config;

  /* Instance list.  */
  struct bd_fleet fleet;
  struct bd_directory directory;
  bool has_list_changed;            /* The groups have to be rebuilt.  */
  int64_t instances_verified_ms;    /* As config_verified_ms.  */
  int64_t instances_watch_revision; /* As config_watch_revision.  */
  int64_t instances_watch_started_ms;
  bool is_listing;
  bool is_watching_instances;
  bool is_store_unreachable;
  bool is_config_unreadable; /* The last list of configurations was.  */
  bool is_list_unreadable;   /* The last list of instances was.  */
  /* Hash of the ids of the damaged entries in the last list; 0 for none.  */
  uint64_t damaged_entries;
  int64_t list_started_ms; /* Start of the last read of the list.  */
  bool is_registered;      /* This daemon's entry is in the store.  */
  bool has_peer_list;
  /* When this daemon was found to be missing in the first list of daemons; 0
     if it was not.  */
  int64_t first_registered_ms;
  bool is_registering;
  int64_t register_period_ms; /* 0 before the first call.  */
  int64_t register_due_ms;
  int64_t freshness_requested_ms;
  char freshness_peer[BD_NAME_SIZE]; /* The peer whose log is followed.  */
  uint32_t freshness_unanswered; /* Requests since its last fresh reply.  */
  uint32_t freshness_peer_index;

  /* Evacuations.  */
  struct bd_evacuation evacuation;
  int64_t evacuations_read_ms; /* Start of the last read.  */
  bool is_reading_evacuations;
  bool are_evacuations_unreadable; /* The last list of them was.  */
  uint64_t odd_evacuations; /* Hash of the invalid names; 0 for none.  */

  /* Listed regions without a data centre that have been logged; NULL for
     none.  */
  GHashTable *unknown_regions;

  struct bd_edge_controller *controllers[BD_EDGE_MAX_DATA_CENTRES];
  uint32_t controller_count;
  int64_t controller_tick_ms;
  /* Change of the fleet for which the controllers were added.  */
  int64_t controllers_list_ms;
  int64_t restored_ms; /* When the store was last restored; 0 if never.  */

  GHashTable *services; /* Name -> struct bd_edge_service.  */
  struct bd_edge_work work[BD_ENGINE_MAX_MODELS];
  uint32_t work_count;
  int64_t first_model_request_ms; /* First request for any model.  */
  struct bd_poison_table poison_requests;
  struct bd_edge_transfers poison_transfers;
  struct bd_edge_transfers limit_transfers;
  struct bd_edge_transfers config_transfers; /* Of whole large ones.  */
  bool has_traffic;
  struct bd_edge_request *requests;
  uint32_t request_count;
  bool is_dispatching;

  struct bd_ticker status_ticker;
  struct bd_ticker sync_ticker;
  struct bd_ticker controller_ticker;
  struct bd_ticker watchdog_ticker;
  int64_t stalled_ms;     /* End of the last stall of the loop; 0 if none.  */
  int64_t stall_began_ms; /* When that stall began.  */
  int64_t started_ms;
  bool is_stopping;
  bool is_closed; /* Accepts no more requests.  */
  bool is_grace_over;
  int64_t end_ms; /* Of a stop; a reload does not change it.  */
  bool was_ready;
  struct bd_recent route_checks;
};

/* bd_edge_now_ms(): the time of the daemon's monotonic clock.  */
int64_t bd_edge_now_ms (const struct bd_edge *edge);

/* edge.c: start, stop and state of the daemon.  */

/* bd_edge_is_config_fresh(): whether the configuration was known to be the
   newest recently enough to accept API keys by it.  Always true unless
   revoke_fail_closed is set.  */
bool bd_edge_is_config_fresh (const struct bd_edge *edge);

/* bd_edge_service(): the service with this name; created when missing.  */
struct bd_edge_service *bd_edge_service (struct bd_edge *edge,
                                         const char *name);

/* bd_edge_services_new(): an empty table for the services of the daemon.  */
GHashTable *bd_edge_services_new (void);

/* bd_edge_share_retries(): recomputes this daemon's share of the retry budgets
   after the number of daemons or the bounds have changed.  */
void bd_edge_share_retries (struct bd_edge *edge);

/* bd_edge_daemon_count(): the number of known daemons, which share the limits
   of the system.  */
uint32_t bd_edge_daemon_count (const struct bd_edge *edge);

/* ingress.c: checks requests of callers.  */

/* bd_edge_handle_request(): handles a request that has been received
   completely: refuses it or passes it to bd_edge_admit().  */
void bd_edge_handle_request (struct bd_edge *edge,
                             struct bd_http_exchange *exchange);

/* With what a request is refused.  */
struct bd_edge_refusal
{
  enum bd_error error; /* BD_OK if it is not.  */
  int64_t retry_after_ms;
};

/* What is decided about a request by its head alone.  */
struct bd_edge_arrival
{
  const struct bd_route *route;     /* NULL if none was found.  */
  const struct bd_account *account; /* NULL if none is needed or found.  */
  struct bd_edge_refusal refusal;
};

/* bd_edge_check_arrival(): finds the route and the account of the request of
   an exchange.  Changes nothing.  */
void bd_edge_check_arrival (const struct bd_edge *edge,
                            const struct bd_http_exchange *exchange,
                            struct bd_edge_arrival *arrival);

/* bd_edge_describe_request(): sets the properties of a request by its route,
   its account and its head, without the headers that are forwarded.  Draws the
   service.  */
void bd_edge_describe_request (struct bd_edge_request *request,
                               const struct bd_route *route,
                               const struct bd_account *account);

/* request.c: creates and frees requests.  */

/* bd_edge_request_new(): creates the request of an exchange and takes over its
   body.  The request is not one of the daemon's open requests.
   bd_edge_request_make(): the same, and it is one.  */
struct bd_edge_request *bd_edge_request_new (struct bd_edge *edge,
                                             struct bd_http_exchange *x);
struct bd_edge_request *bd_edge_request_make (struct bd_edge *edge,
                                              struct bd_http_exchange *x);

/* bd_edge_request_model(): the model that the request names, or NULL if its
   service has no such one; sets *engine to that of the service.  */
const struct bd_engine_model *
bd_edge_request_model (const struct bd_edge_request *request,
                       const struct bd_engine **engine);

/* bd_edge_expire(): sends the final failure of a request for which no time is
   left, and frees it.  */
void bd_edge_expire (struct bd_edge_request *request);

/* bd_edge_earliest_end_ms(): when this daemon ends its requests if it is
   stopped at once, or has been.  */
int64_t bd_edge_earliest_end_ms (const struct bd_edge *edge);

/* bd_edge_end_ms(): time by which a new attempt has to be completed, because
   this daemon stops, or the one that has handed the request over; INT64_MAX if
   any time before the deadline will do.  */
int64_t bd_edge_end_ms (const struct bd_edge_request *request);

/* bd_edge_can_complete(): whether a new attempt at a sound target can be
   completed before bd_edge_end_ms().
   bd_edge_can_complete_at(): the same at this target, by what is known of
   it.  */
bool bd_edge_can_complete (const struct bd_edge_request *request);
bool bd_edge_can_complete_at (const struct bd_edge_request *request,
                              const struct bd_edge_target *target);

/* bd_edge_caller_end_ms(): until when the caller waits for the next event of a
   stream, or for the response.  */
int64_t bd_edge_caller_end_ms (const struct bd_edge_request *request);

/* bd_edge_first_event_end_ms(): when a caller without a first event gets its
   failure: shortly before it leaves.  */
int64_t bd_edge_first_event_end_ms (const struct bd_edge_request *request);

/* bd_edge_note_cut(): counts and logs a request whose caller gets no whole
   response.  */
void bd_edge_note_cut (const struct bd_edge_request *request,
                       enum bd_edge_cut cut);

/* bd_edge_request_end(): cancels the attempt, if any, and frees the request;
   sends nothing to the caller.  */
void bd_edge_request_end (struct bd_edge_request *request);

/* bd_edge_handle_disconnect(): the caller has closed its connection; ends the
   request.  */
void bd_edge_handle_disconnect (struct bd_edge *edge,
                                struct bd_http_exchange *exchange);

/* bd_edge_handle_evicted(): the exchange takes too many of the bytes that may
   be buffered: sends the final failure of its request.  */
void bd_edge_handle_evicted (struct bd_http_exchange *exchange);

/* bd_edge_handle_writable(): the caller's connection accepts data again;
   continues to read from the endpoint.  */
void bd_edge_handle_writable (struct bd_edge *edge,
                              struct bd_http_exchange *exchange);

/* admission.c: sends, queues or refuses requests.  */

/* bd_edge_admit(): handles a new request: sends it, queues it or refuses it.
 */
void bd_edge_admit (struct bd_edge_request *request);

/* bd_edge_handle_stall(): the attempt is overdue.  Queues the request for
   another target while the attempt goes on, if it may move.  */
void bd_edge_handle_stall (struct bd_edge_request *request);

/* bd_edge_run_action(): starts or queues another attempt, or sends the final
   failure.  Other actions have no effect.  */
void bd_edge_run_action (struct bd_edge_request *request,
                         enum bd_action action);

/* bd_edge_find_work(): the load that callers offer for the model, or NULL.  */
struct bd_edge_work *bd_edge_find_work (struct bd_edge *edge,
                                        const char *model);

/* bd_edge_retry_after_ms(): when the caller of a refused request should retry:
   once the current backlog is served, at the rate at which slots become
   free.  */
int64_t bd_edge_retry_after_ms (struct bd_edge_request *request);

/* bd_edge_dispatch_backlogs(): sends the waiting requests that have a target
   now, and refuses those that have waited too long.  */
void bd_edge_dispatch_backlogs (struct bd_edge *edge);

/* bd_edge_turn_wait_ms(): estimated time until as many requests as turn have
   got a slot, each daemon's in turn, or until the limits of the endpoints
   allow one more than wait.  */
double bd_edge_turn_wait_ms (const struct bd_edge_request *request,
                             uint32_t turn);

/* bd_edge_max_wait_ms(): how long a request waits from since_ms on until it is
   given up.  */
int64_t bd_edge_max_wait_ms (const struct bd_edge_request *request,
                             int64_t since_ms);

/* target.c: chooses targets and tracks their load.  */

/* The endpoint, the leader of a group, or the daemon that a request is sent
   to.  */
struct bd_edge_target
{
  char endpoint[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t port;
  bool is_daemon;      /* Another daemon, which takes the request over.  */
  uint64_t group;      /* Hash; 0 for endpoints without a group.  */
  double expected_ms;  /* From sending to the first event; groups only.  */
  uint32_t candidates; /* Number of targets compared.  */
  uint32_t load;       /* Requests running on the chosen target.  */
  bool is_preferred;   /* A group that this daemon prefers.  */
  bool is_late;        /* The request is, and a reserve of slots is kept.  */
  /* No target, although a group has a free slot, by interference control: for
     now, or as long as the request is late.  */
  bool is_held;
  bool is_held_late;
};

enum bd_edge_verdict
{
  BD_EDGE_SEND,
  BD_EDGE_WAIT,
  BD_EDGE_REFUSE
};

/* What becomes of a request that is to be sent.  */
struct bd_edge_decision
{
  enum bd_edge_verdict verdict;
  enum bd_error error; /* Of a refusal.  */
  bool is_for_share;   /* It waits since its account leaves slots to others. */
  struct bd_edge_target target; /* If it is sent; is_held if it waits.  */
};

/* bd_edge_try_admission(): the decision of bd_edge_admit() on a request that
   is not one of the daemon's open requests, without its effects.  It draws
   random numbers, refills permits and notes the work of the request: the
   caller has to restore these (see route_check.c).  The request's backlog item
   has to have a trial.  */
void bd_edge_try_admission (struct bd_edge_request *request,
                            struct bd_edge_decision *decision);

/* bd_edge_find_target(): chooses a group or an endpoint, or another daemon
   while this one has lost its links or may have.  Returns false when no target
   has capacity for the request.  Records nothing.
   bd_edge_note_held(): no target was found, since interference control holds
   the request back.
   bd_edge_choose_target(): both.  */
bool bd_edge_find_target (const struct bd_edge_request *request,
                          struct bd_edge_target *target);
void bd_edge_note_held (struct bd_edge_request *request,
                        const struct bd_edge_target *target);
bool bd_edge_choose_target (struct bd_edge_request *request,
                            struct bd_edge_target *target);

/* Why a target cannot be chosen for a request.  */
enum bd_edge_exclusion
{
  BD_EDGE_NOT_EXCLUDED,
  BD_EDGE_EXCLUDED_FULL,
  BD_EDGE_EXCLUDED_HELD,  /* By interference control.  */
  BD_EDGE_EXCLUDED_LIMIT, /* No permit by the endpoint's request limit.  */
  BD_EDGE_EXCLUDED_COLD,  /* Cold, and this daemon has no permit.  */
  BD_EDGE_EXCLUDED_REGION,
  BD_EDGE_EXCLUDED_EVACUATED,
  BD_EDGE_EXCLUDED_LEAVING,
  BD_EDGE_EXCLUDED_UNHEALTHY,
  BD_EDGE_EXCLUDED_CLOSED, /* It has asked for no requests.  */
  BD_EDGE_EXCLUDED_NOT_OPEN,
  BD_EDGE_EXCLUDED_TRIED,
  BD_EDGE_EXCLUSIONS
};

/* A group or an endpoint, as a request finds it.  */
struct bd_edge_option
{
  const struct bd_fleet_endpoint *endpoint; /* A group's leader, or NULL.  */
  const struct bd_fleet_group *group;       /* NULL for a plain endpoint.  */
  uint32_t running;
  /* At a group, requests of this daemon without a first event; at an endpoint,
     those beyond its slots.  */
  uint32_t waiting;
  uint32_t slots;
  int64_t age_ms;     /* Of what is known of the load; -1 if nothing is.  */
  double expected_ms; /* From sending to the first event; -1 if unknown.  */
  enum bd_edge_exclusion exclusion;
};

/* bd_edge_visit_options(): calls visit for all groups of the request's model,
   or for the listed endpoints of its service.  Draws random numbers and
   refills permits, as bd_edge_try_admission() does.  */
void bd_edge_visit_options (
    const struct bd_edge_request *request,
    void (*visit) (void *ctx, const struct bd_edge_option *option), void *ctx);

/* bd_edge_describe_prompt(): what src/interference/ needs to know of the
   request, without unseen_ms.  Returns whether its decisions apply to it.  */
bool bd_edge_describe_prompt (const struct bd_edge_request *request,
                              struct bd_interference_request *prompt);

/* bd_edge_unseen_work_ms(): the work that the other daemons are expected to
   have sent to each group of the request's model and not yet reported; 0
   unless [placement] load_level is set.  */
double bd_edge_unseen_work_ms (const struct bd_edge_request *request);

/* bd_edge_due_delay_ms(): the time from sending the request to its first event
   by which it is late in the backlog.  */
int64_t bd_edge_due_delay_ms (const struct bd_edge_request *request);

/* bd_edge_estimate_response_ms(): estimated time from sending the request to
   its first event in a full batch, or to the response of a plain endpoint.  */
int64_t bd_edge_estimate_response_ms (const struct bd_edge_request *request);

/* bd_edge_acquire_slot(), bd_edge_release_slot(): count the request as running
   on target, or no longer on its current target.  */
void bd_edge_acquire_slot (struct bd_edge_request *request,
                           const struct bd_edge_target *target);
void bd_edge_release_slot (struct bd_edge_request *request);

/* bd_edge_note_prefill_done(): records that the first event or a response has
   arrived.  */
void bd_edge_note_prefill_done (struct bd_edge_request *request);

/* bd_edge_note_response(): records a complete response or a failure of a plain
   endpoint.  load is the value of its load header, or NULL.  */
void bd_edge_note_response (struct bd_edge_request *request, const char *load,
                            bool is_failed);

/* bd_edge_note_refusal(): records that the endpoint has not accepted the
   request: it is full, unreachable, or not the endpoint that was addressed.
   It gets no requests for backoff_ms.  */
void bd_edge_note_refusal (struct bd_edge_request *request, const char *load,
                           int64_t backoff_ms);

/* bd_edge_pass_ms(): the time of a pass of the request's model at the group,
   by the engine's formulas; 0 without such a model.  */
double bd_edge_pass_ms (const struct bd_edge_request *request,
                        const struct bd_fleet_group *group);

/* bd_edge_note_gap(): an event of the attempt has come so long after the one
   before.  Updates the pace of its group.  */
void bd_edge_note_gap (struct bd_edge_request *request, int64_t gap_ms);

enum
{
  /* Largest response of an endpoint to an order or a probe.  */
  BD_EDGE_MAX_REPORT_BYTES = 64 * 1024
};

/* bd_edge_note_unusable_report(): counts and logs a response of an endpoint to
   an order or a probe if it is malformed, or has ended since it was too
   large.  */
void bd_edge_note_unusable_report (struct bd_edge *edge, const char *endpoint,
                                   const struct bd_http_result *result);

/* bd_edge_started_ms(): the start of the known incarnation of an endpoint, for
   the log; 0 if unknown.  */
int64_t bd_edge_started_ms (const struct bd_edge *edge, const char *endpoint);

/* bd_edge_note_head(): reads what the head of an endpoint's response says
   about the endpoint itself: that it leaves, that it wants no requests for
   some time, or how much longer it is cold.  */
void bd_edge_note_head (struct bd_edge *edge, const char *endpoint,
                        const struct bd_http_call *call, uint32_t status);

/* bd_edge_apply_leaving(): another daemon knows that this incarnation leaves.
   Returns whether that is new.  */
bool bd_edge_apply_leaving (struct bd_edge *edge, const char *id,
                            int64_t started_ms);

/* bd_edge_receive_leaving(): a peer has learned that an endpoint leaves.
   Returns whether that is new.  */
bool bd_edge_receive_leaving (struct bd_edge *edge,
                              const struct bd_leaving_update *update);

/* bd_edge_count_slots(): the slots of all usable groups of the request's
   model, or of the listed endpoints of its service when that has no such
   model, in the regions that it may use.  An endpoint whose requests are
   limited, also because it is cold, counts as the slots that these need, each
   for use_ms.  */
double bd_edge_count_slots (const struct bd_edge_request *request,
                            int64_t use_ms);

/* bd_edge_permit_wait_ms(): when the requests to all these targets are
   limited, the time until this daemon may send one that has a number of others
   ahead of it, or until the first of them is warm, if that is earlier;
   INT64_MAX if it may send none.  0 if a target has no limit, or there is no
   target.  */
int64_t bd_edge_permit_wait_ms (const struct bd_edge_request *request,
                                uint32_t ahead);

/* handover.c: hands requests over to other daemons while this one has no links
   to endpoints.  */

/* bd_edge_start_handover(): listens for requests of other daemons.  */
bool bd_edge_start_handover (struct bd_edge *edge,
                             const struct bd_http_server_ops *ops,
                             uint32_t max_connections);

/* bd_edge_find_daemon(): chooses a daemon that can take the request over.
   Returns false when there is none.  */
bool bd_edge_find_daemon (const struct bd_edge_request *request,
                          struct bd_edge_target *target);

/* bd_edge_lacks_allowed_daemon(): whether daemons can take the request over,
   but none in a region that it may use.  */
bool bd_edge_lacks_allowed_daemon (const struct bd_edge_request *request);

/* bd_edge_awaits_daemon(): whether a daemon can take the request over as soon
   as it has read the configuration of this one.  */
bool bd_edge_awaits_daemon (const struct bd_edge_request *request);

/* bd_edge_has_next_daemon(): whether a daemon is left to which the request can
   go next.  */
bool bd_edge_has_next_daemon (const struct bd_edge_request *request);

/* bd_edge_handover_runs(): the runs that the daemon may use to which the
   request is handed over; those that it does not get are for the others.  */
uint32_t bd_edge_handover_runs (const struct bd_edge_request *request);

/* bd_edge_handover_headers(): the headers, allocated on ctx, that a request
   has in addition when it is handed over; up to max.  Returns their number. */
uint32_t bd_edge_handover_headers (void *ctx,
                                   const struct bd_edge_request *request,
                                   struct bd_http_header_field *headers,
                                   uint32_t max);

/* bd_edge_is_handover_header(): whether only daemons use the header.  */
bool bd_edge_is_handover_header (const char *name);

/* bd_edge_is_last_resort(): whether the sender of a request knows of no other
   daemon that can take it over.  */
bool bd_edge_is_last_resort (const struct bd_http_exchange *exchange);

/* bd_edge_is_taken_over(): whether an exchange is with another daemon.  */
bool bd_edge_is_taken_over (const struct bd_edge *edge,
                            const struct bd_http_exchange *exchange);

/* bd_edge_can_take_over(): whether this daemon may handle the request of an
   exchange with another one: its configuration is not older.  */
bool bd_edge_can_take_over (const struct bd_edge *edge,
                            const struct bd_http_exchange *exchange);

/* bd_edge_max_runs(): runs that the daemon that hands the request over still
   allows, at most max_runs.  */
uint32_t bd_edge_max_runs (const struct bd_http_exchange *exchange,
                           uint32_t max_runs);

/* bd_edge_sender_end_ms(): when the daemon ends that hands the request over;
   0 if it does not stop.  */
int64_t bd_edge_sender_end_ms (const struct bd_edge *edge,
                               const struct bd_http_exchange *exchange);

/* bd_edge_sender_wait_end_ms(): when the daemon that hands the request over
   ends it for want of a first event or a response, or can do so at the
   earliest; 0 if that is unknown.  */
int64_t bd_edge_sender_wait_end_ms (const struct bd_edge *edge,
                                    const struct bd_http_exchange *exchange);

/* bd_edge_note_contact(): an endpoint of the service has responded.  */
void bd_edge_note_contact (struct bd_edge *edge, const char *service);

/* bd_edge_note_silence(): an endpoint of the service did not respond to a
   request or probe sent at sent_ms.  Ignored if the event loop has stood still
   since.  */
void bd_edge_note_silence (struct bd_edge *edge, const char *service,
                           const char *endpoint, int64_t sent_ms);

/* bd_edge_is_isolated(): whether this daemon has lost its links to the
   endpoints that form groups.  */
bool bd_edge_is_isolated (const struct bd_edge *edge);

/* bd_edge_probe_links(): sends the probes that are due over links that are
   lost or doubtful.  */
void bd_edge_probe_links (struct bd_edge *edge);

/* pacing.c: keeps to the request limits of endpoints.  */

/* bd_edge_note_limit(): reads the limit that a response to the request's
   current attempt names.  One that can_end also tells that there is none.  */
void bd_edge_note_limit (const struct bd_edge_request *request,
                         const struct bd_http_call *call, bool can_end);

/* bd_edge_receive_limits(): applies the limits that a peer knows.  Returns
   whether any is new.  */
bool bd_edge_receive_limits (struct bd_edge *edge,
                             const struct bd_limits_update *update);

/* bd_edge_limits_checksum(): of the known limits and leaves.  */
uint64_t bd_edge_limits_checksum (const struct bd_edge *edge);

/* bd_edge_compare_limits(): sends the known limits to a peer that does not
   know the same.  */
void bd_edge_compare_limits (struct bd_edge *edge,
                             const struct bd_member *peer, uint64_t checksum);

/* bd_edge_share_limits(): recomputes this daemon's shares of all limits, for
   the daemons that are live now.  */
void bd_edge_share_limits (struct bd_edge *edge);

/* bd_edge_hash_endpoint(): hash of an endpoint and the start of its
   incarnation, by which its senders are ranked.  */
uint64_t bd_edge_hash_endpoint (const struct bd_fleet_endpoint *endpoint);

/* How many requests this daemon may send to an endpoint, by its request limit
   and, while it is cold, by that of cold endpoints.  */
struct bd_edge_allowance
{
  bool is_limited;
  double limit_per_s; /* Over all daemons.  */
  double share_per_s; /* Of that, this daemon's.  */
  double permits;
  /* When the limit ends, if that is known; INT64_MAX otherwise.  */
  int64_t end_ms;
};

/* bd_edge_has_permit(): whether a request can be sent to the endpoint now.
   bd_edge_allowance(): how many.
   bd_edge_take_permit(): a request is sent to it.  */
bool bd_edge_has_permit (struct bd_fleet_endpoint *endpoint, int64_t now_ms);
struct bd_edge_allowance bd_edge_allowance (struct bd_fleet_endpoint *endpoint,
                                            int64_t now_ms);
void bd_edge_take_permit (struct bd_fleet_endpoint *endpoint, int64_t now_ms);

/* coldstart.c: limits the requests to cold endpoints, see
   coldstart/coldstart.h.  */

/* bd_edge_configure_cold(): applies the configuration in force to all
   endpoints.
   bd_edge_update_cold_endpoint(): the same for one, after its entry was put.
   bd_edge_update_cold(): applies the known daemons to all endpoints; to be
   called periodically.  Logs those that have turned cold or warm.  */
void bd_edge_configure_cold (struct bd_edge *edge);
void bd_edge_update_cold_endpoint (struct bd_edge *edge,
                                   struct bd_fleet_endpoint *endpoint);
void bd_edge_update_cold (struct bd_edge *edge);

/* bd_edge_note_cold(): reads how much longer the endpoint is cold from the
   head of its response.  */
void bd_edge_note_cold (struct bd_edge *edge,
                        struct bd_fleet_endpoint *endpoint,
                        const struct bd_http_call *call);

/* bd_edge_mark_cold(): the endpoints of a data centre count as cold from now
   on, for the configured time after a start, if their service has one.  To be
   called when its evacuation ends.  */
void bd_edge_mark_cold (struct bd_edge *edge, const char *data_centre);

/* transfers.c: limits how often tables are sent to peers.  */

void bd_edge_transfers_init (struct bd_edge_transfers *transfers);
void bd_edge_transfers_finish (struct bd_edge_transfers *transfers);

/* bd_edge_is_transfer_due(): whether to send the whole table to a peer whose
   table differs.  checksums is the sum of the checksums of both: while neither
   table changes, the peer does not take what it lacks or the last message was
   lost.  */
bool bd_edge_is_transfer_due (const struct bd_edge_transfers *transfers,
                              uint64_t peer, uint64_t checksums,
                              int64_t now_ms);
void bd_edge_note_transfer (struct bd_edge_transfers *transfers, uint64_t peer,
                            uint64_t checksums, int64_t now_ms);

/* attempt.c: sends a request to one target.  */

/* bd_edge_start_attempt(): sends the request to target.  */
void bd_edge_start_attempt (struct bd_edge_request *request,
                            const struct bd_edge_target *target);

/* bd_edge_note_stall(): the attempt is overdue.  Records once what that says
   about its target; the attempt goes on.  */
void bd_edge_note_stall (struct bd_edge_request *request);

/* bd_edge_can_move(): whether an attempt that stalls may be replaced at now_ms
   by one at another target, if there is one.  */
bool bd_edge_can_move (const struct bd_edge_request *request, int64_t now_ms);

/* bd_edge_move_attempt(): sends a request for which bd_edge_can_move() is true
   at now_ms to target.  The attempt that stalls runs on; the first of the two
   that makes progress cancels the other one.  */
void bd_edge_move_attempt (struct bd_edge_request *request,
                           const struct bd_edge_target *target,
                           int64_t now_ms);

/* bd_edge_cancel_stalled(): cancels the attempt that runs on beside the
   current one, if there is one.  */
void bd_edge_cancel_stalled (struct bd_edge_request *request);

/* evidence.c: records and exchanges what crashes endpoints.  */

/* bd_edge_set_subjects(): sets the subjects of a new request.  */
void bd_edge_set_subjects (struct bd_edge_request *request);

/* bd_edge_record_crash(): records, here and in all other daemons, that the
   request may have crashed its endpoint: it was running when the endpoint
   broke the connection.  */
void bd_edge_record_crash (struct bd_edge_request *request);

/* bd_edge_note_completed(): the request has completed, so that nothing of it
   crashes endpoints.  */
void bd_edge_note_completed (struct bd_edge_request *request);

/* bd_edge_receive_poison(): applies evidence from a peer.  Returns whether any
   is new.  */
bool bd_edge_receive_poison (struct bd_edge *edge,
                             const struct bd_poison_update *update);

/* bd_edge_compare_poison(): sends this daemon's evidence to a peer that does
   not hold the same.  */
void bd_edge_compare_poison (struct bd_edge *edge,
                             const struct bd_member *peer, uint64_t checksum);

/* bd_edge_is_blocked(): whether bd_edge_is_poison() would refuse the request.
   Counts and logs nothing.  */
bool bd_edge_is_blocked (const struct bd_edge_request *request);

/* bd_edge_is_poison(): whether the request crashes endpoints and is not to be
   sent.  Counts and logs it if so.  */
bool bd_edge_is_poison (const struct bd_edge_request *request);

/* bd_edge_poison_remaining_ms(): the time until the evidence against a refused
   request expires.  */
int64_t bd_edge_poison_remaining_ms (const struct bd_edge_request *request);

/* response.c: sends responses to callers.  */

/* bd_edge_send_failure(): responds to an exchange with an error, and with a
   Retry-After header where a retry is useful and safe.  attempt_id may be
   NULL.  */
void bd_edge_send_failure (struct bd_edge *edge,
                           struct bd_http_exchange *exchange,
                           const char *attempt_id, enum bd_error error,
                           enum bd_run_state run, int64_t retry_after_ms);

/* bd_edge_offered_retry_ms(): the time in the Retry-After of a failure; 0 if
   it has none.  */
int64_t bd_edge_offered_retry_ms (enum bd_error error, enum bd_run_state run,
                                  int64_t retry_after_ms);

/* bd_edge_describe_refusal(): with what a request is refused that has not run
   and is not admitted for this error.  */
void bd_edge_describe_refusal (struct bd_edge_request *request,
                               enum bd_error error,
                               struct bd_edge_refusal *refusal);

/* bd_edge_forward_response(): forwards an endpoint's complete response and
   ends the request.  */
void bd_edge_forward_response (struct bd_edge_request *request,
                               struct bd_http_call *call,
                               const struct bd_http_result *result);

/* bd_edge_send_final_failure(): sends the fallback response, if any, or the
   error of the call, and ends the request.  */
void bd_edge_send_final_failure (struct bd_edge_request *request);

/* bd_edge_begin_stream(): sends the head of a stream.  */
void bd_edge_begin_stream (struct bd_edge_request *request,
                           struct bd_http_call *call);

/* bd_edge_forward_event(): returns false when the caller's connection cannot
   accept more data for now.  */
bool bd_edge_forward_event (struct bd_edge_request *request,
                            const struct bd_sse_event *event);

/* bd_edge_end_stream(): ends a complete stream and the request.  */
void bd_edge_end_stream (struct bd_edge_request *request);

/* bd_edge_keep_fallback(): stores an endpoint's failure response; it is sent
   when no other attempt succeeds.  */
void bd_edge_keep_fallback (struct bd_edge_request *request,
                            struct bd_http_call *call,
                            const struct bd_http_result *result);

/* sync.c: reads the configuration and the instance list.  */

/* bd_edge_sync(): timer callback: starts the store calls and the requests to
   peers that are due.  */
void bd_edge_sync (void *ctx);

/* bd_edge_start_directory(): prepares the copy of the instance list.  */
void bd_edge_start_directory (struct bd_edge *edge);

/* bd_edge_apply_config(): applies a configuration unless its version is lower
   than the current one.  verified_ms is when it was known to be the newest.
 */
void bd_edge_apply_config (struct bd_edge *edge, json_t *value,
                           int64_t verified_ms);

/* bd_edge_note_list(): to be called after changes of the directory, which was
   verified at verified_ms (0: not).  */
void bd_edge_note_list (struct bd_edge *edge, int64_t verified_ms);

/* bd_edge_put_entries_again(): passes all entries of the list to the fleet
   once more.  */
void bd_edge_put_entries_again (struct bd_edge *edge);

/* bd_edge_handle_era(): the store was restored from a copy.  */
void bd_edge_handle_era (void *ctx, int64_t era);

/* freshness.c: follows the configuration and the list of a peer.  */

/* bd_edge_request_freshness(): asks a peer when the configuration or the list
   is too old.  is_reader: this daemon reads the store itself.  */
void bd_edge_request_freshness (struct bd_edge *edge, bool is_reader);

/* bd_edge_receive_freshness_reply(): applies the configuration, the list and
   their ages from a peer's reply.  */
void bd_edge_receive_freshness_reply (struct bd_edge *edge,
                                      const struct bd_freshness_reply *reply);

/* bd_edge_send_freshness_reply(): replies to a peer's freshness request.  */
void bd_edge_send_freshness_reply (struct bd_edge *edge,
                                   const struct bd_freshness_request *request);

/* config_copy.c: passes the configuration on to peers.  */

/* bd_edge_set_config(): value, with this checksum, is the configuration in
   force.  */
void bd_edge_set_config (struct bd_edge *edge, json_t *value,
                         uint64_t checksum);

/* bd_edge_describe_config(): sets the fields of a reply to the peer's request
   that describe the configuration.  The text is allocated on ctx or lives as
   long as the configuration.  */
void bd_edge_describe_config (struct bd_edge *edge, void *ctx,
                              const struct bd_member *peer,
                              const struct bd_freshness_request *request,
                              struct bd_freshness_reply *reply);

/* bd_edge_read_config_copy(): the configuration in a reply; a new value, or
   NULL if it has none.  */
json_t *bd_edge_read_config_copy (struct bd_edge *edge,
                                  const struct bd_freshness_reply *reply);

/* evacuations.c: follows which data centres are evacuated.  */

/* bd_edge_sync_evacuations(): starts the read that is due.  is_reader: this
   daemon reads the store.  Without the bound in the settings it starts none,
   and nothing is evacuated.  */
void bd_edge_sync_evacuations (struct bd_edge *edge, bool is_reader);

/* bd_edge_send_evacuations(): sends what this daemon knows to a peer that has
   sent a freshness request at sent_ms.  */
void bd_edge_send_evacuations (struct bd_edge *edge,
                               const struct bd_member *peer, int64_t sent_ms);

/* bd_edge_receive_evacuations(): applies what a peer knows.  */
void bd_edge_receive_evacuations (struct bd_edge *edge,
                                  const struct bd_evacuation_update *update);

/* bd_edge_awaits_evacuations(): whether this daemon does not know yet what is
   evacuated, because its first read has neither been answered nor failed.  */
bool bd_edge_awaits_evacuations (const struct bd_edge *edge);

/* bd_edge_is_service_evacuated(): whether all endpoints of the service are in
   evacuated data centres.  */
bool bd_edge_is_service_evacuated (const struct bd_edge *edge,
                                   const char *service);

/* regions.c: the regions that requests may use.  */

/* bd_edge_regions(): the data centres whose endpoints and daemons the request
   may be sent to.  */
struct bd_regions_filter
bd_edge_regions (const struct bd_edge_request *request);

/* bd_edge_lacks_region(): whether the request's lists leave no endpoint of its
   service, or no group of its model, that is in no evacuated data centre.  */
bool bd_edge_lacks_region (const struct bd_edge_request *request);

/* bd_edge_note_region_refusal(): counts and logs a request that is refused
   because of its lists.  */
void bd_edge_note_region_refusal (const struct bd_edge_request *request);

/* bd_edge_configure_regions(): to be called before routes, which may be those
   in force, replace those in force, and after a change of the settings.
   Applies the lists to the requests, and logs unknown regions.  */
void bd_edge_configure_regions (struct bd_edge *edge,
                                const struct bd_routes *routes);

/* register.c: registers this daemon in the store.  */

/* bd_edge_register(): starts the store call that is due.  */
void bd_edge_register (struct bd_edge *edge);

/* bd_edge_register_again(): the store has lost this daemon's entry.  */
void bd_edge_register_again (struct bd_edge *edge);

/* bd_edge_is_finding_peers(): whether the daemon has just started and does not
   know the others yet.  */
bool bd_edge_is_finding_peers (const struct bd_edge *edge);

/* peers.c: messages between daemons.  */

/* bd_edge_start_peers(): listens for messages; false when it cannot.  */
bool bd_edge_start_peers (struct bd_edge *edge);

/* bd_edge_add_peer_demand(): adds the load that the callers of the other
   daemons offer, and the number of daemons, to report.  */
void bd_edge_add_peer_demand (struct bd_edge *edge,
                              struct bd_traffic_report *report,
                              uint32_t max_models);

/* bd_edge_note_peer_demand(): records that load with the models that this
   daemon has had requests for, if a decision needs it.  */
void bd_edge_note_peer_demand (struct bd_edge *edge);

/* bd_edge_traffic_age_ms(): returns the mean age of the counts of the other
   daemons' requests.  */
int64_t bd_edge_traffic_age_ms (const struct bd_edge *edge);

/* bd_edge_send_status(): timer callback: sends this daemon's status to the
   peers that are due.  */
void bd_edge_send_status (void *ctx);

void bd_edge_send_to_peer (struct bd_edge *edge,
                           const struct bd_member *member,
                           enum bd_message_type type, const void *message);

/* bd_edge_sends_to_all(): whether each daemon sends its status to all others,
   because the fleet is small.  */
bool bd_edge_sends_to_all (const struct bd_edge *edge);

/* bd_edge_broadcast(): sends a message to all daemons; in a large fleet, over
   the relays.  stage is the member of the message with that name.  */
void bd_edge_broadcast (struct bd_edge *edge, enum bd_message_type type,
                        const void *message, uint32_t *stage);

/* controller.c: controls replica groups.  */

/* bd_edge_suspect_group(): reports a stalled group to its controller.  */
void bd_edge_suspect_group (struct bd_edge *edge,
                            struct bd_fleet_group *group);

/* bd_edge_suspend_group(): sends no requests for a short time to a group that
   its leader no longer serves; by then the instance list shows the change.  */
void bd_edge_suspend_group (struct bd_edge *edge,
                            struct bd_fleet_group *group);

/* bd_edge_receive_suspicion(): handles a report that a group is stalled or is
   being dissolved.  Returns whether the latter is new.  */
bool bd_edge_receive_suspicion (struct bd_edge *edge,
                                const struct bd_suspicion_update *suspicion);

/* bd_edge_run_controllers(): timer callback: acquires and gives up terms, and
   runs a step for each data centre that this daemon controls.  */
void bd_edge_run_controllers (void *ctx);

/* bd_edge_note_formed_groups(): records the sizes of the groups that are
   complete by the configuration in force, before another one replaces it.  */
void bd_edge_note_formed_groups (struct bd_edge *edge);

/* bd_edge_drop_terms(): gives up all terms.  */
void bd_edge_drop_terms (struct bd_edge *edge, const char *reason);

/* bd_edge_is_controller_of(): whether this daemon owns the term of the data
   centre.  */
bool bd_edge_is_controller_of (const struct bd_edge *edge,
                               const char *data_centre);

/* bd_edge_log_member(): logs a change of an endpoint's membership that a
   source ("report", "list") has caused, if this daemon controls it.  */
void bd_edge_log_member (const struct bd_edge *edge,
                         const struct bd_fleet_endpoint *endpoint,
                         const struct bd_membership_view *before,
                         const char *source);

/* bd_edge_find_controller(): the daemon that controls the groups of the data
   centre: one of its live daemons, or one of another data centre when it has
   none.  */
const struct bd_member *bd_edge_find_controller (struct bd_edge *edge,
                                                 const char *data_centre);

/* watchdog.c: enforces time limits of requests.  */

/* bd_edge_run_watchdog(): timer callback: ends requests whose deadline has
   passed, and attempts that stall.  */
void bd_edge_run_watchdog (void *ctx);

/* bd_edge_is_late(): whether this daemon's event loop has stood still and the
   watchdog has not run since.  */
bool bd_edge_is_late (const struct bd_edge *edge);

/* bd_edge_has_stalled_since(): whether this daemon's event loop has stood
   still since a time.  Time limits that ran out in a stall say nothing of
   another machine: its response may be waiting to be read.  */
bool bd_edge_has_stalled_since (const struct bd_edge *edge, int64_t since_ms);

/* route_check.c: explains where a request would go, without sending it.  */

enum
{
  /* Targets in one description.  */
  BD_EDGE_MAX_OPTIONS = 64
};

/* bd_edge_check_route(): what would happen to a request now; a new value, in
   the format that docs/design/route-check.md describes.  exchange is like that
   of the request, or is that of the check with the fields of the request.
   account, or NULL, is the name of an account whose key the request has.
   Changes nothing of the daemon.  */
json_t *bd_edge_check_route (struct bd_edge *edge,
                             const struct bd_http_exchange *exchange,
                             const char *account);

/* bd_edge_serve_route_check(): responds to a check, or with 429 if there were
   too many in the last second.  */
void bd_edge_serve_route_check (struct bd_edge *edge,
                                struct bd_http_exchange *exchange);

/* pages.c: readiness and metrics.  */

/* bd_edge_serve_ready(): responds to a health check of the load balancer.  */
void bd_edge_serve_ready (struct bd_edge *edge,
                          struct bd_http_exchange *exchange);

/* bd_edge_serve_metrics(): responds with all metrics as Prometheus text.  */
void bd_edge_serve_metrics (struct bd_edge *edge,
                            struct bd_http_exchange *exchange);

#endif

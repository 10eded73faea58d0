/* What the files of the edge daemon share.  */

#ifndef BD_EDGE_EDGE_INTERNAL_H
#define BD_EDGE_EDGE_INTERNAL_H

#include "admission/backlog.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/histograms.h"
#include "base/log.h"
#include "base/ticker.h"
#include "calls/call.h"
#include "calls/sse.h"
#include "edge/edge.h"
#include "fleet/fleet.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/membership.h"
#include "placement/placement.h"
#include "replicas/replicas.h"
#include "store/client.h"
#include "suspects/suspects.h"
#include "wire/peers.h"

enum
{
  BD_EDGE_MAX_CENTRES = 64,
  /* Headers of a request that are passed on.  */
  BD_EDGE_MAX_HEADERS = 48
};

/* One request of a caller, from its arrival to its final answer.  */
struct bd_edge_request
{
  struct bd_edge *edge;
  struct bd_http_exchange *exchange; /* NULL once the caller has left.  */

  /* What it asks for; set at ingress.  */
  char route[BD_NAME_SIZE];
  enum bd_route_kind kind;
  bool is_idempotent;
  uint32_t objective_ms;
  uint32_t gap_objective_ms;
  uint32_t priority;
  char service[BD_NAME_SIZE];
  char account[BD_NAME_SIZE];
  char *key; /* API key; NULL on public routes.  Never logged.  */
  char attempt_id[BD_NAME_SIZE];
  char *method;
  char *target;
  char *body;
  size_t body_size;
  struct bd_http_pair headers[BD_EDGE_MAX_HEADERS + 1];
  uint32_t header_count;
  char model[BD_NAME_SIZE]; /* Empty for plain services.  */
  uint32_t prompt_tokens;
  uint32_t answer_tokens; /* Expected.  */
  uint64_t fingerprint;
  int64_t received_ms;
  int64_t deadline_ms;
  struct bd_call call;
  enum bd_verdict verdict;

  /* While it waits for a place.  */
  struct bd_backlog_item waiting;

  /* The attempt that runs.  */
  struct bd_http_call *attempt;
  char endpoint[BD_NAME_SIZE];
  uint64_t group; /* 0 for plain endpoints.  */
  int64_t sent_ms;
  double expected_ms; /* Until the first event.  */
  double reading_ms;
  bool is_reading;  /* No event or answer yet.  */
  bool is_crossed;  /* Its head belongs to another request.  */
  bool is_gapped;   /* An event is missing.  */
  int64_t event_ms; /* Last event of the attempt.  */
  int64_t given_ms; /* Last event given to the caller.  */
  uint32_t events;
  struct bd_sse sse;
  char *answer_body; /* Of an answer that is no stream.  */
  size_t answer_size;
  size_t answer_room;

  /* The answer.  */
  bool has_begun; /* The caller has the head of a stream.  */
  int64_t begun_ms;
  struct bd_http_pair *held_headers; /* Of a failure kept in reserve.  */
  char *held_body;
  uint32_t held_header_count;
  size_t held_size;
  uint32_t held_status;

  struct bd_edge_request *prev;
  struct bd_edge_request *next;
};

/* Retries of one service, shared with the other daemons.  */
struct bd_edge_service
{
  char name[BD_NAME_SIZE];
  struct bd_retry_budget retries;
  struct bd_backlog backlog;
};

/* Work offered for one model, smoothed.  */
struct bd_edge_work
{
  char model[BD_NAME_SIZE];
  double busy_replicas; /* Replicas.  */
  double since_ms_work;
  int64_t since_ms;
};

/* This daemon as keeper of a data centre.  */
struct bd_edge_keeper
{
  struct bd_edge *edge;
  char data_centre[BD_NAME_SIZE];
  bool is_keeping; /* Holds the term.  */
  bool is_taking;  /* A store call for the term is out.  */
  int64_t term;
  int64_t tried_ms;
  struct bd_replicas replicas;
  struct bd_replicas_summary logged; /* Last one in the log.  */
  int64_t logged_ms;
};

/* Traffic of a peer.  */
struct bd_edge_peer
{
  char name[BD_NAME_SIZE];
  int64_t heard_ms;
  bool has_traffic;
  struct bd_target_traffic *targets; /* Child of the entry.  */
  uint32_t target_count;
  struct bd_model_demand *work;
  uint32_t work_count;
};

struct bd_edge
{
  struct bd_edge_settings *settings;
  const struct bd_dialect *dialect;
  struct tevent_context *events;
  struct bd_clock clock;
  gsl_rng *rng;
  struct bd_counters counters;
  struct bd_histograms histograms;
  struct bd_http_client client;       /* To endpoints.  */
  struct bd_http_client store_client; /* To the store.  */
  struct bd_http_server server;
  struct bd_http_server ready_server;
  struct bd_http_server metrics_server;
  struct bd_platform store;
  struct bd_peers peers;
  struct bd_membership membership;
  uint32_t news_turn;
  GHashTable *peer_news; /* Name -> struct bd_edge_peer.  */

  /* Configuration.  */
  struct bd_routes *routes; /* NULL until the first.  */
  json_t *config;
  int64_t config_proof_ms; /* Sending of the call that showed it newest.  */
  int64_t config_read_ms;  /* Last read begun.  */
  int64_t config_since;    /* Revision that the watch goes on from.  */
  bool is_reading_config;
  bool is_watching_config;

  /* Instance list.  */
  struct bd_fleet fleet;
  json_t *instances; /* Id -> {revision, value}.  */
  int64_t instances_proof_ms;
  int64_t instances_stamp; /* Revision of the store of the last change.  */
  int64_t instances_since;
  int64_t watched_ms; /* Last watch begun.  */
  bool is_listing;
  bool is_watching_instances;
  bool is_store_away;
  bool must_settle_list; /* Entries that lapsed were waited for.  */
  int64_t listed_ms;     /* Last reading of the list begun.  */
  bool has_registered;   /* Its own entry stands in the store.  */
  bool has_peer_list;
  bool is_registering;
  int64_t registered_ms;
  int64_t vouch_asked_ms;
  uint32_t vouch_turn;

  struct bd_edge_keeper keepers[BD_EDGE_MAX_CENTRES];
  uint32_t keeper_count;
  int64_t keeper_tick_ms;

  GHashTable *services; /* Name -> struct bd_edge_service.  */
  struct bd_edge_work work[BD_ENGINE_MAX_MODELS];
  uint32_t work_count;
  int64_t work_since_ms; /* First request for a model.  */
  struct bd_suspects suspects;
  bool has_traffic;
  struct bd_edge_request *requests;
  uint32_t request_count;
  bool is_pumping;

  struct bd_ticker news_ticker;
  struct bd_ticker feed_ticker;
  struct bd_ticker keeper_ticker;
  struct bd_ticker watchdog_ticker;
  int64_t started_ms;
  bool is_stopping;
  bool is_closed; /* Takes no more requests.  */
  int64_t stopping_since_ms;
  bool was_ready;
};

int64_t bd_edge_now_ms (const struct bd_edge *edge);

/* edge.c */
/* Whether keys can be trusted: the configuration was shown to be the newest
   lately enough.  */
bool bd_edge_is_key_proof_fresh (const struct bd_edge *edge);
struct bd_edge_service *bd_edge_service (struct bd_edge *edge,
                                         const char *name);
/* Shares the retries anew, as daemons come and go.  */
void bd_edge_share_retries (struct bd_edge *edge);
/* Daemons that share what all may use together.  */
uint32_t bd_edge_daemon_count (const struct bd_edge *edge);

/* ingress.c: requests of callers.  */
void bd_edge_take_request (struct bd_edge *edge,
                           struct bd_http_exchange *exchange);

/* request.c: making and ending.  */
struct bd_edge_request *bd_edge_request_make (struct bd_edge *edge,
                                              struct bd_http_exchange *x);
void bd_edge_request_end (struct bd_edge_request *request);
void bd_edge_caller_gone (struct bd_edge *edge,
                          struct bd_http_exchange *exchange);
void bd_edge_caller_writable (struct bd_edge *edge,
                              struct bd_http_exchange *exchange);

/* admission.c: now, later or not at all.  */
void bd_edge_admit (struct bd_edge_request *request);
/* Another attempt, or the final failure.  */
void bd_edge_act (struct bd_edge_request *request, enum bd_action action);
/* When a refused caller should come back.  */
int64_t bd_edge_retry_after_ms (struct bd_edge_request *request);
/* Sends what waits and has a place now; refuses what cannot be served.  */
void bd_edge_pump (struct bd_edge *edge);

/* place.c: where it goes.  */
struct bd_edge_place
{
  char endpoint[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t port;
  uint64_t group; /* 0 for plain endpoints.  */
  double expected_ms;
  uint32_t candidates; /* That were weighed.  */
  uint32_t load;       /* Of the chosen one.  */
};
/* True when a place takes the request now.  */
bool bd_edge_find_place (struct bd_edge_request *request,
                         struct bd_edge_place *place);
/* From a place until the first event, in a full batch; until the answer of a
   plain endpoint.  */
int64_t bd_edge_needs_ms (const struct bd_edge_request *request);
void bd_edge_enter_place (struct bd_edge_request *request,
                          const struct bd_edge_place *place);
void bd_edge_leave_place (struct bd_edge_request *request);
/* Its prompt has been read: the first event or an answer is there.  */
void bd_edge_note_read (struct bd_edge_request *request);
/* A whole answer, or a failure, of a plain endpoint; load is its own word on
   its load, or NULL.  */
void bd_edge_note_answer (struct bd_edge_request *request, const char *load,
                          bool is_failed);
/* The endpoint has not taken the request: it is full, or not the one that was
   meant, or cannot be reached.  It is left alone for pause_ms.  */
void bd_edge_note_refusal (struct bd_edge_request *request, const char *load,
                           int64_t pause_ms);
/* Sound groups of the model, or endpoints of the service, and their slots.  */
uint32_t bd_edge_slots (struct bd_edge *edge, const char *service,
                        const char *model);

/* attempt.c: one try at one place.  */
void bd_edge_attempt (struct bd_edge_request *request,
                      const struct bd_edge_place *place);
/* Gives the attempt up as failed.  */
void bd_edge_attempt_fail (struct bd_edge_request *request,
                           enum bd_failure failure);

/* answer.c: what the caller gets.  */
void bd_edge_answer_failure (struct bd_edge *edge,
                             struct bd_http_exchange *exchange,
                             const char *attempt_id, enum bd_error error,
                             enum bd_run_state run, int64_t retry_after_ms);
void bd_edge_answer_call (struct bd_edge_request *request,
                          struct bd_http_call *call,
                          const struct bd_http_result *result);
void bd_edge_answer_final_failure (struct bd_edge_request *request);
void bd_edge_answer_begin (struct bd_edge_request *request,
                           struct bd_http_call *call);
bool bd_edge_answer_event (struct bd_edge_request *request,
                           const struct bd_sse_event *event);
void bd_edge_answer_end (struct bd_edge_request *request);
/* Keeps an endpoint's failure as the answer in case nothing better comes.  */
void bd_edge_answer_hold (struct bd_edge_request *request,
                          struct bd_http_call *call,
                          const struct bd_http_result *result);

/* feed.c: the configuration and the instance list.  */
void bd_edge_feed (void *ctx);
void bd_edge_take_vouch (struct bd_edge *edge,
                         const struct bd_freshness_reply *vouch);
void bd_edge_give_vouch (struct bd_edge *edge,
                         const struct bd_freshness_request *ask);

/* peers.c */
bool bd_edge_start_peers (struct bd_edge *edge);
void bd_edge_send_news (void *ctx);
void bd_edge_tell (struct bd_edge *edge, const struct bd_member *member,
                   enum bd_message_type type, const void *message);
void bd_edge_tell_all (struct bd_edge *edge, enum bd_message_type type,
                       const void *message);
/* Tells the keeper that a group is silent.  */
void bd_edge_doubt_group (struct bd_edge *edge, struct bd_fleet_group *group);
/* Sends nothing to a group whose leader serves it no more, until the list has
   caught up.  */
void bd_edge_pause_group (struct bd_edge *edge, struct bd_fleet_group *group);
void bd_edge_take_doubt (struct bd_edge *edge,
                         const struct bd_suspicion_update *news);

/* keeper.c */
void bd_edge_keep (void *ctx);
bool bd_edge_keeps (const struct bd_edge *edge, const char *data_centre);
const struct bd_member *bd_edge_keeper_of (struct bd_edge *edge,
                                           const char *data_centre);

/* watchdog.c: silence and deadlines.  */
void bd_edge_watch (void *ctx);

/* pages.c */
void bd_edge_serve_ready (struct bd_edge *edge,
                          struct bd_http_exchange *exchange);
void bd_edge_serve_metrics (struct bd_edge *edge,
                            struct bd_http_exchange *exchange);

#endif

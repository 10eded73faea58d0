/* The users' platform in one process, on the test's event loop: a store with
   revisions, watches and faults, workers that form groups by orders, stream
   and answer, and a client.  It speaks the published protocol.  */

#ifndef BD_TESTS_FAKES_SITE_H
#define BD_TESTS_FAKES_SITE_H

#include "edge/edge.h"
#include "http/client.h"
#include "http/server.h"

#include <jansson.h>
#include <tevent.h>

enum
{
  SITE_MAX_WORKERS = 12,
  SITE_MAX_SEEN = 256,
  SITE_BASE_PORT = 25100
};

enum store_mode
{
  STORE_HEALTHY,
  STORE_DOWN,          /* Answers 503.  */
  STORE_UNRESPONSIVE,  /* Takes calls and never answers.  */
  STORE_LOSING_REPLIES /* Writes are done, and their answers lost.  */
};

enum worker_mode
{
  WORKER_HEALTHY,
  WORKER_UNRESPONSIVE, /* Takes requests, orders and questions, answers none.
                        */
  WORKER_STALLING,  /* Streams stop after three events, all else goes on.  */
  WORKER_RESETTING, /* Breaks the connection once it has run a request.  */
  WORKER_WRONG_ID,  /* Answers with another request's id.  */
  WORKER_FULL,      /* 503, not run.  */
  WORKER_FAILING    /* 500 of its own.  */
};

struct site_worker
{
  struct site *site;
  struct bd_http_server server;
  uint32_t port;
  char id[BD_NAME_SIZE];
  const char *service;
  const char *domain;
  enum worker_mode mode;
  bool is_listed;
  bool is_draining;
  json_t *group; /* NULL while it is in none.  */
  char model[BD_NAME_SIZE];
  json_t *staged;
  json_t *members;        /* Of its group, by rank.  */
  json_t *ready_terms;    /* Every group and term it was ready in.  */
  int64_t start_count;    /* Rises with each start.  */
  uint32_t request_count; /* Requests of callers.  */
  char last_account[BD_NAME_SIZE];
  char last_deadline[BD_NAME_SIZE];
  bool has_received_key;
};

struct site;

/* Told of each request that a worker begins to run.  */
typedef void site_run_handler (struct site_worker *worker, const char *path,
                               const char *account);

struct site
{
  struct tevent_context *events;
  struct bd_http_server store;
  enum store_mode store_mode;
  json_t *objects; /* kind -> name -> object */
  json_t *history; /* Of {kind, revision, event}.  */
  int64_t revision;
  int64_t compacted_revision; /* Older history is forgotten.  */
  GPtrArray *watches;
  struct site_worker workers[SITE_MAX_WORKERS];
  uint32_t worker_count;
  struct bd_edge_settings settings;
  struct bd_edge *edge;
  struct bd_http_client client;
  json_int_t version; /* Of the configuration.  */
  json_t *config;
  uint32_t daemon_port; /* Of the daemon that callers meet.  */
  bool echoes_path;     /* Answers and events name the request's path.  */
  site_run_handler *on_run;
  uint32_t partial_runs; /* With a member that was never ready.  */
  uint32_t stolen_joins; /* Joins of members whose group is open.  */
};

/* One request of a client, and what came of it.  */
struct site_call
{
  bool is_done;
  bool is_whole;
  uint32_t status;
  char *body;
  char *retry_after;
  char *seal;
};

/* site_start(): the store, a configuration with one account (key "k1"),
   plain workers and a pool in one domain, and the edge daemon.  */
void site_start (struct site *site, uint32_t plain, uint32_t pool);
void site_finish (struct site *site);

/* site_run(): turns the loop until *is_true or for at most limit_ms; returns
   whether it became true.  */
bool site_run (struct site *site, bool (*is_true) (struct site *site),
               int64_t limit_ms);
void site_wait (struct site *site, int64_t ms);

/* site_call(): sends a request and waits for its end.  Results live on the
   site's loop.  */
struct site_call *site_call (struct site *site, const char *method,
                             const char *target, const char *key,
                             const char *model);

/* site_start_call(): the same without waiting.  */
struct site_call *site_start_call (struct site *site, const char *method,
                                   const char *target, const char *key,
                                   const char *model);

/* site_publish(): puts the configuration under the next version.  */
void site_publish (struct site *site);

/* site_list_worker(): writes, or removes, a worker's entry.  */
void site_list_worker (struct site_worker *worker);

/* site_restart_worker(): the worker comes back with an empty memory; what it
   ran breaks off.  */
void site_restart_worker (struct site_worker *worker);

/* site_compact_history(): the store drops its history.  */
void site_compact_history (struct site *site);

/* site_revoke_key(): takes the account's key "k1" away, under the next
   version; site_grant_key(): gives it to an account, which may be a new one.
 */
void site_revoke_key (struct site *site);
void site_grant_key (struct site *site, const char *account);

bool site_is_ready (struct site *site);
/* Whether at least two groups are open.  */
bool site_has_groups (struct site *site);

#endif

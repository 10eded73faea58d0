/* Stand-ins for the cases of this review: the platform's store, workers,
   clients and the operator, as the users' pages describe them, and the
   daemons as separate processes.  Threads with blocking sockets; one lock for
   all state.  */

#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  MAX_HEADERS = 256,
  MAX_MEMBERS = 8,
  MAX_WORKERS = 32,
  MAX_DAEMONS = 8,
  MAX_RUNS = 20000,
  NAME = 96
};

/* stand.c: time, record, HTTP.  */

int64_t now_ms (void); /* Since the start of the case.  */
int64_t unix_ms (void);
void sleep_ms (int64_t ms);
bool has_trouble (void); /* TROUBLE is not 0.  */
void stand_start (const char *folder);
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Ends all processes and exits: 1 broken, 0 held, 2 could not run.  */
void finish (int code) __attribute__ ((noreturn));

struct message
{
  char first[16500]; /* The first line.  */
  char *names[MAX_HEADERS];
  char *values[MAX_HEADERS];
  int count;
  char *head; /* Holds names and values.  */
  char *body;
  size_t size;
  bool is_whole;
};

struct connection
{
  int fd;
  char *buffer;
  size_t used;
  size_t capacity;
  char *extra; /* Late extra response that waits for the next message.  */
};

bool read_head (struct connection *c, struct message *m);
bool read_body (struct connection *c, struct message *m);
void free_message (struct message *m);
const char *header (const struct message *m, const char *name);
bool send_all (int fd, const char *data, size_t size);
bool respond (int fd, int status, const char *headers, const char *body,
              size_t size);
int listen_on (uint32_t *port);
uint32_t free_port (void);
void serve (int listen_fd, void (*handle) (void *ctx, int fd), void *ctx);
void close_connection (struct connection *c);

/* store.c */

struct store
{
  uint32_t port;
};
uint32_t store_start (void);
void store_put (const char *kind, const char *name, json_t *spec);
void store_delete (const char *kind, const char *name);
/* The operator's write; returns the time of its acknowledgement.  */
int64_t operator_publish (json_t *configuration);

/* worker.c */

struct run
{
  int64_t at_ms;
  char id[NAME];
  char worker[NAME];
  char first[160];
  char account[NAME];
  char model[NAME];
  char tokens[NAME];
  char prefix[NAME];
};

struct worker
{
  char id[NAME];
  char service[NAME];
  char domain[NAME];
  uint32_t port;
  int listen_fd;
  int slots;
  int64_t born;
  int64_t beat;
  int64_t beat_ms;
  bool is_dead;
  int64_t dead_ms;
  /* Engine.  */
  bool has_engine;
  int64_t sequence;
  int64_t fence;
  int64_t highest_epoch;
  char staged[NAME];
  char last_model[NAME];
  char staging[NAME];
  int64_t staging_until_ms;
  char group[NAME];
  int64_t epoch;
  int rank;
  int member_count;
  char members[MAX_MEMBERS][NAME];
  char model[NAME];
  char state[16]; /* "", joining, ready, open, closing, broken */
  int64_t state_due_ms;
  int running;
  int fds[512];
  int fd_count;
};

extern pthread_mutex_t lock;
extern struct worker workers[MAX_WORKERS];
extern int worker_count;
extern struct run runs[MAX_RUNS];
extern int run_count;

struct worker *worker_add (const char *id, const char *service,
                           const char *domain, bool has_engine, int slots);
void worker_crash (struct worker *w);
void workers_start (void);
struct worker *worker_find (const char *id);
int runs_of (const char *id);
/* Headers that every answer of a worker has in addition; CRLF after each.  */
extern const char *answer_headers;
/* An order may be given to this; it returns true if it has dealt with it.  */
extern bool (*order_hook) (struct worker *w, struct connection *c,
                           const json_t *order);
/* Called with the lock held when a worker takes a join.  */
extern void (*join_hook) (struct worker *w, const json_t *order);
int apply_order (struct worker *w, const json_t *order);
extern int event_count;
extern int event_gap_ms;
extern int order_ms; /* Until a worker answers an order.  */

/* daemon.c */

struct daemon
{
  char name[NAME];
  uint32_t callers;
  uint32_t ready;
  uint32_t peers;
  uint32_t metrics;
  uint32_t handover;
  pid_t pid;
};
extern struct daemon daemons[MAX_DAEMONS];
extern int daemon_count;
struct daemon *daemon_start (const char *name, const char *zone,
                             uint32_t store_port);
void daemons_wait_ready (int64_t timeout_ms);
bool daemon_is_running (struct daemon *d);

/* client.c */

struct answer
{
  int status; /* 0: the connection ended without an answer.  */
  bool is_whole;
  char seal[NAME];
  char id[NAME];
  size_t size;
};
int client_connect (uint32_t port);
/* Sends one request on an open connection and reads its answer.  extra are
   header lines with CRLF after each.  */
struct answer client_ask (struct connection *c, const char *method,
                          const char *path, const char *id, const char *key,
                          const char *extra, const char *body);
void new_id (char id[NAME]);

/* configuration.c */
json_t *route (const char *name, const char *prefix, const char *type,
               const char *service, int attempts, int timeout_ms);
json_t *configuration (int64_t version, json_t *routes, json_t *services,
                       json_t *tenants);
json_t *plain_service (const char *name);
json_t *engine_service (const char *name, const char *model, int size,
                        double pace);
json_t *tenant (const char *name, const char *key);

#endif

/* Client of the store, which is the platform's Object API.  All calls of a
   daemon to the store go through it.

   Calls wait in queues by priority until the rate limits and the circuit
   breaker allow them.  Failed calls are retried with backoff until their
   timeout.  When the reply to an update is lost, the client reads the object
   back to find out whether the update took effect.

   From simple to advanced:
     bd_store_read()        reads one object
     bd_store_list()        lists all objects with a prefix
     bd_store_list_stale()  the same, cheaper, but possibly some seconds old
     bd_store_watch()       waits for a change below a prefix
     bd_store_update()      updates an object conditionally

   A store that is restored from a copy has a higher era.  Replies of an
   earlier era that arrive after one of a later era count as lost.  An update
   whose expected version is of an earlier era ends with BD_ERR_CONFLICT, and a
   watch with BD_ERR_HISTORY_GONE, because versions and revisions are given out
   again.

   done is called exactly once for each call, with borrowed JSON values, unless
   bd_store_finish() drops the call.  */

#ifndef BD_STORE_CLIENT_H
#define BD_STORE_CLIENT_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/timer.h"
#include "store/budget.h"
#include "store/object_api.h"
#include "store/update.h"

#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

/* Order in which queued calls are sent, highest priority first.  */
enum bd_store_priority
{
  BD_PRIORITY_CLAIM,
  BD_PRIORITY_GROUPS,
  BD_PRIORITY_CONFIG,
  BD_PRIORITY_STATUS,
  BD_PRIORITY_COUNT
};

/* Result of a call.  */
struct bd_store_reply
{
  enum bd_error error;
  int64_t version;  /* Of the object read or written.  */
  int64_t revision; /* Of the store, for lists and watches.  */
  int64_t era;      /* Of the store; 0 when the platform states none.  */
  json_t *envelope; /* Borrowed; of the object read or written.  */
  json_t *data;     /* Borrowed; payload of the envelope read.  */
  json_t *items;    /* Borrowed; for lists and watches.  */
  int64_t sent_ms;  /* When the last attempt was sent.  */
};

typedef void bd_store_done (void *ctx, const struct bd_store_reply *reply);

/* Called once for each era after the first, before the reply that shows it is
   handled.  */
typedef void bd_store_era_handler (void *ctx, int64_t era);

struct bd_store_call;

struct bd_store
{
  const struct bd_object_api_ops *ops;
  void *api;
  struct tevent_context *events;
  const struct bd_clock *clock;
  struct bd_counters *counters;
  gsl_rng *rng;
  struct bd_bucket reads;  /* Rate limit of reads, lists and watches.  */
  struct bd_bucket writes; /* Rate limit of writes.  */
  struct bd_breaker breaker;
  uint32_t call_timeout_ms; /* Of one attempt, except for watches.  */
  uint32_t max_backoff_ms;  /* Maximum delay between attempts.  */
  int64_t failed_ms;        /* Sending of the last call that the store did
                               not serve; 0 for none.  */
  int64_t refused_ms;       /* The same, or that was over its rate limit. */
  int64_t era;              /* Highest one seen; 0 before the first.  */
  bd_store_era_handler *on_era; /* May be NULL.  */
  void *era_ctx;
  struct bd_store_call *first[BD_PRIORITY_COUNT];
  struct bd_store_call *last[BD_PRIORITY_COUNT];
  struct bd_timer *timer;
};

/* bd_store_init(): reads_per_s and writes_per_s are the rate limits of this
   daemon.  ops and api are the adapter that sends the operations.  */
void bd_store_init (struct bd_store *store,
                    const struct bd_object_api_ops *ops, void *api,
                    struct tevent_context *events,
                    const struct bd_clock *clock, struct bd_counters *counters,
                    gsl_rng *rng, uint32_t reads_per_s, uint32_t writes_per_s);

/* bd_store_note_era(): a peer has seen this era.  */
void bd_store_note_era (struct bd_store *store, int64_t era);

/* bd_store_finish(): drops queued calls without calling done.  */
void bd_store_finish (struct bd_store *store);

/* bd_store_read(): reads one object.  Results: BD_OK, BD_ERR_NOT_FOUND, or
   BD_ERR_PLATFORM_DOWN when no attempt succeeds within timeout_ms.  */
void bd_store_read (struct bd_store *store, enum bd_store_priority priority,
                    const char *key, uint32_t timeout_ms, bd_store_done *done,
                    void *ctx);

/* bd_store_list(): lists the objects with a prefix; the reply has them in
   items.  Errors as for bd_store_read().  */
void bd_store_list (struct bd_store *store, enum bd_store_priority priority,
                    const char *prefix, uint32_t timeout_ms,
                    bd_store_done *done, void *ctx);

/* bd_store_list_stale(): same as bd_store_list(), but the result can be
   some seconds old, where the platform serves such lists at a lower cost.  */
void bd_store_list_stale (struct bd_store *store,
                          enum bd_store_priority priority, const char *prefix,
                          uint32_t timeout_ms, bd_store_done *done, void *ctx);

/* bd_store_watch(): waits until objects with a prefix change after revision
   since; the reply has the changes in items, or none after wait_ms, and
   sooner when the watch was the first call to a store that did not respond
   before.  An empty reply does not prove that nothing changed, because a watch
   can miss changes for a while.  */
void bd_store_watch (struct bd_store *store, const char *prefix, int64_t since,
                     uint32_t wait_ms, bd_store_done *done, void *ctx);

/* bd_store_update(): expected_version is of the era that the store client
   knows at the time of the call.  Writes data, whose reference it takes over,
   if the object still has expected_version.  previous is the envelope that was
   read, or NULL. Results: BD_OK, BD_ERR_CONFLICT, or BD_ERR_PLATFORM_DOWN
   after timeout_ms; in the last case it is unknown whether the write took
   effect.  */
void bd_store_update (struct bd_store *store, enum bd_store_priority priority,
                      const char *key, int64_t expected_version,
                      const json_t *previous, json_t *data,
                      uint32_t timeout_ms, bd_store_done *done, void *ctx);

/* bd_store_is_up(): true while the circuit breaker is closed.  */
bool bd_store_is_up (const struct bd_store *store);

#endif

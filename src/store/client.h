/* The daemon's one way to the platform: budgets, priorities, a breaker, and
   updates that are settled when their answers are lost.

   From simple to advanced:
     bd_platform_read()    one object
     bd_platform_list()    all objects below a prefix
     bd_platform_watch()   waits for a change below a prefix
     bd_platform_update()  a conditional update  */

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

/* Who goes first when the budget is short.  */
enum bd_platform_priority
{
  BD_PRIORITY_CLAIM,
  BD_PRIORITY_GROUPS,
  BD_PRIORITY_CONFIG,
  BD_PRIORITY_STATUS,
  BD_PRIORITY_COUNT
};

/* An object as the platform holds it.  */
struct bd_platform_reply
{
  enum bd_error error;
  int64_t version;
  int64_t revision;
  json_t *envelope; /* Borrowed; of the object read or written.  */
  json_t *data;     /* Borrowed; what the envelope holds.  */
  json_t *items;    /* Borrowed; for lists and watches.  */
  int64_t sent_ms;  /* When the answered call went out.  */
};

typedef void bd_platform_done (void *ctx,
                               const struct bd_platform_reply *reply);

struct bd_platform_call;

struct bd_platform
{
  const struct bd_object_api_ops *ops;
  void *api;
  struct tevent_context *events;
  const struct bd_clock *clock;
  struct bd_counters *counters;
  gsl_rng *rng;
  struct bd_bucket reads;
  struct bd_bucket writes;
  struct bd_breaker breaker;
  uint32_t call_timeout_ms; /* Of calls that do not wait.  */
  uint32_t max_backoff_ms;  /* Between tries of a call.  */
  struct bd_platform_call *first[BD_PRIORITY_COUNT];
  struct bd_platform_call *last[BD_PRIORITY_COUNT];
  struct bd_timer *timer;
};

/* bd_platform_init(): reads_per_s and writes_per_s are this daemon's share.
   ops and api are the adapter.  */
void bd_platform_init (struct bd_platform *platform,
                       const struct bd_object_api_ops *ops, void *api,
                       struct tevent_context *events,
                       const struct bd_clock *clock,
                       struct bd_counters *counters, gsl_rng *rng,
                       uint32_t reads_per_s, uint32_t writes_per_s);

/* bd_platform_finish(): drops queued calls without calling back.  */
void bd_platform_finish (struct bd_platform *platform);

/* bd_platform_read(): answers BD_OK, BD_ERR_NOT_FOUND, or
   BD_ERR_PLATFORM_DOWN after timeout_ms.  */
void bd_platform_read (struct bd_platform *platform,
                       enum bd_platform_priority priority, const char *key,
                       uint32_t timeout_ms, bd_platform_done *done, void *ctx);

/* bd_platform_list(): the same for a prefix; see items.  */
void bd_platform_list (struct bd_platform *platform,
                       enum bd_platform_priority priority, const char *prefix,
                       uint32_t timeout_ms, bd_platform_done *done, void *ctx);

/* bd_platform_list_stale(): the same, from some seconds ago where the platform
   has a cheaper answer.  */
void bd_platform_list_stale (struct bd_platform *platform,
                             enum bd_platform_priority priority,
                             const char *prefix, uint32_t timeout_ms,
                             bd_platform_done *done, void *ctx);

/* bd_platform_watch(): answers with items newer than since, or with none
   after wait_ms.  That there are none proves nothing: a watch may miss news
   for a while.  */
void bd_platform_watch (struct bd_platform *platform, const char *prefix,
                        int64_t since, uint32_t wait_ms,
                        bd_platform_done *done, void *ctx);

/* bd_platform_update(): writes data (stolen) if the object still has
   expected_version; previous is the envelope that was read, or NULL.
   Answers BD_OK, BD_ERR_CONFLICT, or BD_ERR_PLATFORM_DOWN after timeout_ms:
   then nobody knows whether the write took effect.  */
void bd_platform_update (struct bd_platform *platform,
                         enum bd_platform_priority priority, const char *key,
                         int64_t expected_version, const json_t *previous,
                         json_t *data, uint32_t timeout_ms,
                         bd_platform_done *done, void *ctx);

/* bd_platform_is_up(): whether the platform is thought to answer.  */
bool bd_platform_is_up (const struct bd_platform *platform);

#endif

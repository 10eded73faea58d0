/* Client of the store: queues, rate limits, retries.  */

#include "store/client.h"

#include <string.h>
#include <talloc.h>

enum
{
  DEFAULT_CALL_TIMEOUT_MS = 1000,
  /* Burst that the rate limits allow, in seconds of the rate.  */
  BURST_S = 1,
  /* Wait of a watch that probes a store which may be down: all other calls
     wait for its reply.  */
  PROBE_WAIT_MS = 1
};

struct bd_store_call
{
  struct bd_store *store;
  enum bd_store_priority priority;
  enum bd_object_kind kind;
  char *key;
  int64_t since;
  uint32_t wait_ms;
  int64_t deadline_ms;
  int64_t not_before_ms;
  int64_t sent_ms;
  uint32_t failures;
  bool is_update;
  bool allows_stale;
  int64_t era; /* Of the expected version, or at the start of a watch.  */
  struct bd_update update;
  json_t *envelope;
  char *value;
  bd_store_done *done;
  void *ctx;
  struct bd_store_call *next;
};

static void dispatch (struct bd_store *store);
static void schedule_dispatch (struct bd_store *store);

static void
enqueue (struct bd_store_call *call)
{
  struct bd_store *p = call->store;

  call->next = NULL;
  if (p->first[call->priority] == NULL)
    p->first[call->priority] = call;
  else
    p->last[call->priority]->next = call;
  p->last[call->priority] = call;
}

static struct bd_store_call *
unlink_call (struct bd_store *p, enum bd_store_priority priority,
             struct bd_store_call *previous, struct bd_store_call *call)
{
  if (previous == NULL)
    p->first[priority] = call->next;
  else
    previous->next = call->next;
  if (p->last[priority] == call)
    p->last[priority] = previous;
  return call;
}

static void
finish (struct bd_store_call *call, const struct bd_store_reply *reply)
{
  call->done (call->ctx, reply);
  talloc_free (call);
}

static void
fail_timed_out (struct bd_store_call *call)
{
  struct bd_store_reply reply = { .error = BD_ERR_PLATFORM_DOWN };

  finish (call, &reply);
}

/* Queues the call again after a failure, with exponential backoff.  */
static void
retry_later (struct bd_store_call *call, int64_t now_ms)
{
  call->failures++;
  call->not_before_ms
      = now_ms
        + bd_backoff_ms (call->failures, call->store->max_backoff_ms,
                         call->store->rng);
  enqueue (call);
  schedule_dispatch (call->store);
}

static void
finish_update (struct bd_store_call *call)
{
  struct bd_store_reply reply = { .error = call->update.error,
                                  .version = call->update.version,
                                  .era = call->store->era,
                                  .envelope = call->envelope,
                                  .sent_ms = call->sent_ms };

  if (call->update.has_lost_reply)
    bd_count (call->store->counters, BD_COUNT_LOST_REPLIES_RESOLVED);
  finish (call, &reply);
}

static void
advance_update (struct bd_store_call *call,
                const struct bd_object_reply *received, int64_t now_ms)
{
  bool was_read = call->kind == BD_OBJECT_READ;

  if (was_read)
    bd_update_handle_read (&call->update, received->error, received->version,
                           received->value);
  else
    bd_update_handle_write (&call->update, received->error, received->version);
  if (call->update.step == BD_UPDATE_DONE)
    {
      finish_update (call);
      return;
    }
  call->kind
      = call->update.step == BD_UPDATE_READ ? BD_OBJECT_READ : BD_OBJECT_WRITE;
  retry_later (call, now_ms);
}

static void
record_health (const struct bd_store_call *call, enum bd_error error,
               int64_t now_ms)
{
  struct bd_store *p = call->store;

  if ((error == BD_ERR_PLATFORM_DOWN || error == BD_ERR_RATE_LIMITED)
      && call->sent_ms > p->refused_ms)
    p->refused_ms = call->sent_ms;
  if (error == BD_ERR_PLATFORM_DOWN)
    {
      if (call->sent_ms > p->failed_ms)
        p->failed_ms = call->sent_ms;
      bd_count (p->counters, BD_COUNT_PLATFORM_FAILURES);
      bd_breaker_record_failure (&p->breaker, now_ms, p->max_backoff_ms,
                                 p->rng);
      return;
    }
  if (error == BD_ERR_UNREADABLE)
    bd_count (p->counters, BD_COUNT_PLATFORM_UNREADABLE);
  bd_breaker_record_success (&p->breaker);
}

void
bd_store_note_era (struct bd_store *store, int64_t era)
{
  bool is_first = store->era == 0;

  if (era <= store->era)
    return;
  store->era = era;
  if (is_first)
    return;
  bd_count (store->counters, BD_COUNT_STORE_RESTORES);
  if (store->on_era != NULL)
    store->on_era (store->era_ctx, era);
}

/* Whether what a call refers to, a version or a revision, is of an era before
   the one of its reply.  */
static bool
is_of_earlier_era (const struct bd_store_call *call, int64_t era)
{
  return call->era != 0 && era > call->era;
}

/* The expected version means nothing in the new era, whether or not the update
   took effect there.  */
static void
end_update_of_earlier_era (struct bd_store_call *call)
{
  struct bd_store_reply reply
      = { .error = BD_ERR_CONFLICT, .sent_ms = call->sent_ms };

  finish (call, &reply);
}

static void
handle_reply (void *ctx, const struct bd_object_reply *received)
{
  struct bd_store_call *call = ctx;
  struct bd_store *p = call->store;
  int64_t now_ms = bd_clock_now_ms (p->clock);
  const struct bd_object_reply lost = { .error = BD_ERR_PLATFORM_DOWN };
  struct bd_store_reply reply = { .error = received->error,
                                  .era = received->era,
                                  .version = received->version,
                                  .revision = received->revision,
                                  .items = received->items,
                                  .sent_ms = call->sent_ms };

  record_health (call, received->error, now_ms);
  bd_store_note_era (p, received->era);
  if (received->era != 0 && received->era < p->era)
    received = &lost;
  if (call->is_update)
    {
      if (is_of_earlier_era (call, p->era))
        {
          end_update_of_earlier_era (call);
          return;
        }
      advance_update (call, received, now_ms);
      return;
    }
  if (call->kind == BD_OBJECT_WATCH && is_of_earlier_era (call, p->era))
    {
      reply = (struct bd_store_reply){ .error = BD_ERR_HISTORY_GONE };
      finish (call, &reply);
      return;
    }
  if (received->error == BD_ERR_PLATFORM_DOWN
      || received->error == BD_ERR_RATE_LIMITED)
    {
      retry_later (call, now_ms);
      return;
    }
  if (call->kind == BD_OBJECT_READ && received->error == BD_OK)
    {
      reply.envelope = received->value;
      reply.data = bd_envelope_data (received->value);
    }
  finish (call, &reply);
  dispatch (p);
}

/* Takes what the call needs to be sent.  The breaker is asked last, since it
   counts a call that it allows as its probe.  */
static bool
take_permission (struct bd_store *p, const struct bd_store_call *call,
                 int64_t now_ms)
{
  struct bd_bucket *bucket
      = call->kind == BD_OBJECT_WRITE ? &p->writes : &p->reads;

  return now_ms >= call->not_before_ms
         && bd_bucket_wait_ms (bucket, now_ms) == 0
         && bd_breaker_allows (&p->breaker, now_ms)
         && bd_bucket_take (bucket, now_ms);
}

static uint32_t
attempt_timeout_ms (const struct bd_store_call *call)
{
  const struct bd_store *p = call->store;

  if (call->kind != BD_OBJECT_WATCH)
    return p->call_timeout_ms;
  return bd_breaker_is_closed (&p->breaker) ? call->wait_ms : PROBE_WAIT_MS;
}

static void
start_call (struct bd_store_call *call, int64_t now_ms)
{
  struct bd_store *p = call->store;
  struct bd_object_op op
      = { .kind = call->kind,
          .key = call->key,
          .value = call->value,
          .version
          = call->is_update ? call->update.expected_version : call->since,
          .timeout_ms = attempt_timeout_ms (call),
          .allows_stale = call->allows_stale };

  call->sent_ms = now_ms;
  if (call->kind == BD_OBJECT_WATCH && call->era == 0)
    call->era = p->era;
  bd_count (p->counters, call->kind == BD_OBJECT_WRITE
                             ? BD_COUNT_PLATFORM_WRITES
                             : BD_COUNT_PLATFORM_READS);
  if (call->kind == BD_OBJECT_LIST)
    bd_count (p->counters, BD_COUNT_STORE_LISTS);
  else if (call->kind == BD_OBJECT_WATCH)
    bd_count (p->counters, BD_COUNT_STORE_WATCHES);
  if (!p->ops->start (p->api, &op, handle_reply, call))
    retry_later (call, now_ms);
}

static void
handle_timer (void *private_data)
{
  struct bd_store *p = private_data;

  p->timer = NULL;
  dispatch (p);
}

static void
schedule_dispatch (struct bd_store *p)
{
  enum
  {
    RECHECK_MS = 10
  };

  if (p->timer == NULL)
    p->timer
        = bd_timer_add (p->events, p->events, RECHECK_MS, handle_timer, p);
}

/* Sends the calls of one queue that are due, or fails one that timed out.
   Returns true when calls remain in the queue.  */
static bool
dispatch_queue (struct bd_store *p, enum bd_store_priority priority,
                int64_t now_ms)
{
  struct bd_store_call *previous = NULL;
  struct bd_store_call *call = p->first[priority];

  while (call != NULL)
    {
      struct bd_store_call *next = call->next;

      if (now_ms >= call->deadline_ms)
        {
          fail_timed_out (unlink_call (p, priority, previous, call));
          /* The callback can change the queue, so stop the iteration.  */
          return true;
        }
      if (take_permission (p, call, now_ms))
        start_call (unlink_call (p, priority, previous, call), now_ms);
      else
        previous = call;
      call = next;
    }
  return p->first[priority] != NULL;
}

static void
dispatch (struct bd_store *p)
{
  int64_t now_ms = bd_clock_now_ms (p->clock);
  bool is_waiting = false;

  for (uint32_t i = 0; i < BD_PRIORITY_COUNT; i++)
    is_waiting = dispatch_queue (p, i, now_ms) || is_waiting;
  if (is_waiting)
    schedule_dispatch (p);
}

static int
release_envelope (struct bd_store_call *call)
{
  json_decref (call->envelope);
  return 0;
}

static struct bd_store_call *
make_call (struct bd_store *p, enum bd_store_priority priority,
           enum bd_object_kind kind, const char *key, uint32_t timeout_ms,
           bd_store_done *done, void *ctx)
{
  struct bd_store_call *call = talloc_zero (p->events, struct bd_store_call);

  call->store = p;
  call->priority = priority;
  call->kind = kind;
  call->key = talloc_strdup (call, key);
  call->deadline_ms = bd_clock_now_ms (p->clock) + timeout_ms;
  call->done = done;
  call->ctx = ctx;
  return call;
}

void
bd_store_init (struct bd_store *store, const struct bd_object_api_ops *ops,
               void *api, struct tevent_context *events,
               const struct bd_clock *clock, struct bd_counters *counters,
               gsl_rng *rng, uint32_t reads_per_s, uint32_t writes_per_s)
{
  int64_t now_ms = bd_clock_now_ms (clock);

  memset (store, 0, sizeof *store);
  store->ops = ops;
  store->api = api;
  store->events = events;
  store->clock = clock;
  store->counters = counters;
  store->rng = rng;
  store->call_timeout_ms = DEFAULT_CALL_TIMEOUT_MS;
  store->max_backoff_ms = BD_BACKOFF_MAX_MS;
  bd_bucket_init (&store->reads, reads_per_s, reads_per_s * BURST_S, now_ms);
  bd_bucket_init (&store->writes, writes_per_s, writes_per_s * BURST_S,
                  now_ms);
}

void
bd_store_finish (struct bd_store *store)
{
  TALLOC_FREE (store->timer);
  for (uint32_t i = 0; i < BD_PRIORITY_COUNT; i++)
    while (store->first[i] != NULL)
      talloc_free (unlink_call (store, i, NULL, store->first[i]));
}

void
bd_store_read (struct bd_store *store, enum bd_store_priority priority,
               const char *key, uint32_t timeout_ms, bd_store_done *done,
               void *ctx)
{
  enqueue (
      make_call (store, priority, BD_OBJECT_READ, key, timeout_ms, done, ctx));
  dispatch (store);
}

void
bd_store_list (struct bd_store *store, enum bd_store_priority priority,
               const char *prefix, uint32_t timeout_ms, bd_store_done *done,
               void *ctx)
{
  enqueue (make_call (store, priority, BD_OBJECT_LIST, prefix, timeout_ms,
                      done, ctx));
  dispatch (store);
}

void
bd_store_list_stale (struct bd_store *store, enum bd_store_priority priority,
                     const char *prefix, uint32_t timeout_ms,
                     bd_store_done *done, void *ctx)
{
  struct bd_store_call *call = make_call (store, priority, BD_OBJECT_LIST,
                                          prefix, timeout_ms, done, ctx);

  call->allows_stale = true;
  enqueue (call);
  dispatch (store);
}

void
bd_store_watch (struct bd_store *store, const char *prefix, int64_t since,
                uint32_t wait_ms, bd_store_done *done, void *ctx)
{
  struct bd_store_call *call = make_call (
      store, BD_PRIORITY_CONFIG, BD_OBJECT_WATCH, prefix, wait_ms, done, ctx);

  call->since = since;
  call->wait_ms = wait_ms;
  call->allows_stale = true;
  enqueue (call);
  dispatch (store);
}

void
bd_store_update (struct bd_store *store, enum bd_store_priority priority,
                 const char *key, int64_t expected_version,
                 const json_t *previous, json_t *data, uint32_t timeout_ms,
                 bd_store_done *done, void *ctx)
{
  struct bd_store_call *call = make_call (store, priority, BD_OBJECT_WRITE,
                                          key, timeout_ms, done, ctx);
  char write_id[BD_ID_SIZE];
  char *text;

  bd_id_make (store->rng, write_id);
  call->envelope = bd_envelope_make (write_id, previous, data);
  talloc_set_destructor (call, release_envelope);
  text = json_dumps (call->envelope, JSON_COMPACT);
  call->value = talloc_strdup (call, text);
  free (text);
  call->is_update = true;
  call->era = store->era;
  bd_update_init (&call->update, write_id, expected_version);
  enqueue (call);
  dispatch (store);
}

bool
bd_store_is_up (const struct bd_store *store)
{
  return bd_breaker_is_closed (&store->breaker);
}

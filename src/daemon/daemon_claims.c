/* Claims of calls that may not be repeated.  The owner of a shard commits its
   claims in batches; a daemon that gets no reply from the owner commits
   directly.

   The owner is an optimisation only.  Every commit is conditional on the
   entries that its writer has read, so two owners cannot grant the same key
   twice.  */

#include "daemon/daemon_internal.h"

#include "base/log.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

enum
{
  /* Minimum time between two commits of a shard: with all shards busy this
     keeps the writes of all daemons within the write rate of the platform.  */
  COMMIT_SPACING_MS = 60,
  CLAIM_TIMEOUT_MS = 1500,
  RECORD_TIMEOUT_MS = 60000,
  FORWARD_TIMEOUT_MS = 300,
  MAX_FORWARDS = 2
};

static void process_shard (struct bd_shard_queue *shard);

static void
finish_claim (struct bd_pending_claim *pending, enum bd_claim_result result)
{
  pending->claim.result = result;
  if (pending->done != NULL)
    pending->done (pending->ctx, pending);
  talloc_free (pending);
}

/* Finishes a claim that the loaded shard has settled.  A replay gets the
   recorded outcome.  */
static void
finish_with_recorded_outcome (struct bd_shard_queue *shard,
                              struct bd_pending_claim *pending)
{
  if (pending->claim.result == BD_CLAIM_REPLAY)
    bd_shard_outcome (&shard->shard, pending->claim.key,
                      &pending->claim.status, &pending->claim.content_type,
                      &pending->claim.body);
  finish_claim (pending, pending->claim.result);
}

static void
append (struct bd_shard_queue *shard, struct bd_pending_claim *pending)
{
  pending->next = NULL;
  if (shard->first == NULL)
    shard->first = pending;
  else
    shard->last->next = pending;
  shard->last = pending;
}

static struct bd_pending_claim *
pop_first (struct bd_shard_queue *shard)
{
  struct bd_pending_claim *pending = shard->first;

  if (pending == NULL)
    return NULL;
  shard->first = pending->next;
  if (shard->first == NULL)
    shard->last = NULL;
  return pending;
}

/* Fails the waiting claims that have timed out.  */
static void
expire_waiting (struct bd_shard_queue *shard, int64_t now_ms)
{
  struct bd_pending_claim *waiting = shard->first;

  shard->first = NULL;
  shard->last = NULL;
  while (waiting != NULL)
    {
      struct bd_pending_claim *next = waiting->next;
      if (now_ms >= waiting->expires_ms)
        finish_claim (waiting, BD_CLAIM_UNAVAILABLE);
      else
        append (shard, waiting);
      waiting = next;
    }
}

static void
handle_shard_timer (void *private_data)
{
  struct bd_shard_queue *shard = private_data;

  shard->timer = NULL;
  expire_waiting (shard, bd_daemon_now_ms (shard->daemon));
  process_shard (shard);
}

static void
process_shard_later (struct bd_shard_queue *shard, int64_t delay_ms)
{
  if (shard->timer == NULL)
    shard->timer = bd_timer_add (shard->daemon->events, shard->daemon,
                                 delay_ms, handle_shard_timer, shard);
}

/* The claims of the shard can't be decoded, so that no key can be granted.  */
static void
fail_unreadable (struct bd_shard_queue *shard)
{
  struct bd_pending_claim *waiting = shard->first;

  bd_log ("claims-damaged", "shard", BD_NUM (shard->shard.number), NULL);
  shard->first = NULL;
  shard->last = NULL;
  while (waiting != NULL)
    {
      struct bd_pending_claim *next = waiting->next;

      finish_claim (waiting, BD_CLAIM_UNAVAILABLE);
      waiting = next;
    }
}

static void
handle_shard_loaded (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_shard_queue *shard = ctx;

  shard->is_loading = false;
  if (reply->error == BD_ERR_UNREADABLE
      || (reply->error == BD_OK
          && !bd_shard_load (&shard->shard, reply->items,
                             bd_clock_calendar_ms (&shard->daemon->clock))))
    fail_unreadable (shard);
  expire_waiting (shard, bd_daemon_now_ms (shard->daemon));
  process_shard (shard);
}

static void
load_shard (struct bd_shard_queue *shard)
{
  char prefix[BD_NAME_SIZE];

  shard->is_loading = true;
  bd_shard_prefix (shard->shard.number, prefix);
  bd_store_list (&shard->daemon->platform, BD_PRIORITY_CLAIM, prefix,
                 CLAIM_TIMEOUT_MS, handle_shard_loaded, shard);
}

static void
requeue_batch (struct bd_shard_queue *shard)
{
  struct bd_pending_claim *remaining = shard->first;

  shard->first = NULL;
  shard->last = NULL;
  for (uint32_t i = 0; i < shard->batch_count; i++)
    append (shard, shard->batch[i]);
  while (remaining != NULL)
    {
      struct bd_pending_claim *next = remaining->next;
      append (shard, remaining);
      remaining = next;
    }
  shard->batch_count = 0;
}

static void
finish_batch (struct bd_shard_queue *shard, enum bd_claim_result result)
{
  shard->is_settling = true;
  for (uint32_t i = 0; i < shard->batch_count; i++)
    finish_claim (shard->batch[i], result);
  shard->batch_count = 0;
  shard->is_settling = false;
}

static void
grant_batch (struct bd_shard_queue *shard, const struct bd_store_reply *reply)
{
  struct bd_claim *claims[BD_CLAIM_MAX_BATCH];
  uint32_t count = shard->batch_count;

  for (uint32_t i = 0; i < count; i++)
    claims[i] = &shard->batch[i]->claim;
  bd_shard_committed (&shard->shard, &shard->commit, reply->version,
                      reply->envelope, claims, count,
                      bd_clock_calendar_ms (&shard->daemon->clock));
  finish_batch (shard, BD_CLAIM_GRANTED);
}

static void
handle_commit_done (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_shard_queue *shard = ctx;

  shard->is_committing = false;
  if (reply->error == BD_OK)
    grant_batch (shard, reply);
  else
    {
      /* Another writer was first, or the result of the write is unknown: the
         shard is loaded again.  Claims that did take effect are recognised by
         the ids of their calls.  */
      bd_shard_conflict (&shard->shard, &shard->commit);
      requeue_batch (shard);
    }
  expire_waiting (shard, bd_daemon_now_ms (shard->daemon));
  process_shard (shard);
}

static bool
is_in_batch (const struct bd_shard_queue *shard, const char *key)
{
  for (uint32_t i = 0; i < shard->batch_count; i++)
    if (strcmp (shard->batch[i]->claim.key, key) == 0)
      return true;
  return false;
}

/* Settles the claims that the loaded shard can settle and collects the others
   into a batch with at most one claim for each key.  */
static void
collect_batch (struct bd_shard_queue *shard)
{
  struct bd_pending_claim *waiting = shard->first;
  int64_t now_ms = bd_clock_calendar_ms (&shard->daemon->clock);

  shard->first = NULL;
  shard->last = NULL;
  shard->batch_count = 0;
  shard->is_settling = true;
  while (waiting != NULL)
    {
      struct bd_pending_claim *next = waiting->next;
      if (bd_shard_resolve (&shard->shard, &waiting->claim, now_ms))
        finish_with_recorded_outcome (shard, waiting);
      else if (shard->batch_count == BD_CLAIM_MAX_BATCH
               || is_in_batch (shard, waiting->claim.key))
        append (shard, waiting);
      else
        shard->batch[shard->batch_count++] = waiting;
      waiting = next;
    }
  shard->is_settling = false;
}

static void
commit_batch (struct bd_shard_queue *shard)
{
  struct bd_daemon *daemon = shard->daemon;
  struct bd_claim *claims[BD_CLAIM_MAX_BATCH];
  char key[BD_NAME_SIZE];
  const json_t *previous;

  for (uint32_t i = 0; i < shard->batch_count; i++)
    claims[i] = &shard->batch[i]->claim;
  if (!bd_shard_prepare (&shard->shard, claims, shard->batch_count,
                         bd_clock_calendar_ms (&daemon->clock),
                         &shard->commit))
    {
      finish_batch (shard, BD_CLAIM_UNAVAILABLE);
      return;
    }
  shard->is_committing = true;
  shard->commit_started_ms = bd_daemon_now_ms (daemon);
  bd_count (&daemon->counters, BD_COUNT_CLAIM_WRITES);
  bd_shard_object (shard->shard.number, shard->commit.slot, key);
  previous
      = shard->commit.slot == shard->shard.slot ? shard->shard.envelope : NULL;
  bd_store_update (&daemon->platform, BD_PRIORITY_CLAIM, key,
                   shard->commit.expected_version, previous,
                   json_incref (shard->commit.data), CLAIM_TIMEOUT_MS,
                   handle_commit_done, shard);
}

static void
process_shard (struct bd_shard_queue *shard)
{
  int64_t elapsed_ms;

  if (shard->first == NULL || shard->is_loading || shard->is_committing
      || shard->is_settling)
    return;
  if (!shard->shard.is_loaded)
    {
      load_shard (shard);
      return;
    }
  elapsed_ms = bd_daemon_now_ms (shard->daemon) - shard->commit_started_ms;
  if (elapsed_ms < COMMIT_SPACING_MS)
    {
      process_shard_later (shard, COMMIT_SPACING_MS - elapsed_ms);
      return;
    }
  collect_batch (shard);
  if (shard->batch_count > 0)
    commit_batch (shard);
  if (shard->first != NULL && !shard->is_committing)
    process_shard_later (shard, COMMIT_SPACING_MS);
}

/* The daemon that commits a shard, by rendezvous hashing among the relays that
   this daemon knows.  Only relays know the relays of other data centres: other
   daemons choose a relay of their own data centre, which may forward once
   more.  */
static const struct bd_member *
shard_owner (struct bd_daemon *daemon, uint32_t shard)
{
  const struct bd_member *best = NULL;
  bool is_relay = bd_daemon_is_relay (daemon);
  uint64_t best_rank = 0;
  char key[32];

  snprintf (key, sizeof key, "claims/%u", shard);
  for (uint32_t i = 0; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      bool is_own
          = strcmp (member->data_centre, daemon->settings->data_centre) == 0;
      uint64_t rank = bd_hash_pair (key, member->name);
      if (!member->is_live || member->is_stopping || (!is_relay && !is_own)
          || !bd_membership_is_relay (&daemon->membership, member))
        continue;
      if (best == NULL || rank > best_rank)
        {
          best = member;
          best_rank = rank;
        }
    }
  return best != NULL ? best : bd_membership_self (&daemon->membership);
}

static void
process_locally (struct bd_pending_claim *pending)
{
  struct bd_shard_queue *shard
      = &pending->daemon->shards[bd_shard_of (pending->claim.key)];

  append (shard, pending);
  process_shard (shard);
}

static void
unlink_forwarded (struct bd_pending_claim *pending)
{
  struct bd_pending_claim **link = &pending->daemon->forwarded_claims;

  while (*link != NULL && *link != pending)
    link = &(*link)->next;
  if (*link == pending)
    *link = pending->next;
}

/* The owner has not replied: the claim is committed here.  An entry that the
   owner has made for this call is recognised by the call id.  */
static void
handle_forward_timeout (void *private_data)
{
  struct bd_pending_claim *pending = private_data;

  pending->timer = NULL;
  unlink_forwarded (pending);
  /* The shard in memory may be older than what the owner has committed.  */
  pending->daemon->shards[bd_shard_of (pending->claim.key)].shard.is_loaded
      = false;
  process_locally (pending);
}

static void
forward_claim (struct bd_pending_claim *pending, const struct bd_member *owner)
{
  struct bd_daemon *daemon = pending->daemon;
  struct bd_claim_request request
      = { .reply_port = daemon->settings->advertised_peer_port,
          .hops = pending->hops + 1,
          .fingerprint = pending->claim.fingerprint,
          .kind = pending->claim.kind,
          .status = pending->claim.status,
          .content_type = pending->claim.content_type,
          .body = pending->claim.body,
          .hold_ms = pending->claim.hold_ms };

  bd_name_copy (request.reply_address, daemon->settings->address);
  memcpy (request.id, pending->claim.id, BD_ID_SIZE);
  memcpy (request.key, pending->claim.key, BD_ID_SIZE);
  pending->next = daemon->forwarded_claims;
  daemon->forwarded_claims = pending;
  pending->timer = bd_timer_add (daemon->events, pending, FORWARD_TIMEOUT_MS,
                                 handle_forward_timeout, pending);
  bd_daemon_send (daemon, owner, BD_MESSAGE_CLAIM, &request);
}

static struct bd_pending_claim *
create_pending_claim (struct bd_daemon *daemon, const struct bd_claim *claim,
                      void (*done) (void *ctx,
                                    struct bd_pending_claim *pending),
                      void *ctx)
{
  struct bd_pending_claim *pending
      = talloc_zero (daemon, struct bd_pending_claim);
  uint32_t timeout_ms
      = claim->kind == BD_CLAIM_TAKE ? CLAIM_TIMEOUT_MS : RECORD_TIMEOUT_MS;

  pending->daemon = daemon;
  pending->claim = *claim;
  pending->claim.content_type = talloc_strdup (
      pending, claim->content_type != NULL ? claim->content_type : "");
  pending->claim.body
      = talloc_strdup (pending, claim->body != NULL ? claim->body : "");
  pending->done = done;
  pending->ctx = ctx;
  pending->expires_ms = bd_daemon_now_ms (daemon) + timeout_ms;
  return pending;
}

static void
route_claim (struct bd_pending_claim *pending)
{
  struct bd_daemon *daemon = pending->daemon;
  const struct bd_member *owner
      = shard_owner (daemon, bd_shard_of (pending->claim.key));

  if (owner == bd_membership_self (&daemon->membership)
      || pending->hops >= MAX_FORWARDS)
    process_locally (pending);
  else
    forward_claim (pending, owner);
}

static void
handle_platform_down (void *private_data)
{
  finish_claim (private_data, BD_CLAIM_UNAVAILABLE);
}

void
bd_daemon_submit_claim (struct bd_daemon *daemon, const struct bd_claim *claim,
                        void (*done) (void *ctx,
                                      struct bd_pending_claim *pending),
                        void *ctx, struct bd_pending_claim **out)
{
  struct bd_pending_claim *pending
      = create_pending_claim (daemon, claim, done, ctx);

  if (out != NULL)
    *out = pending;
  if (claim->kind == BD_CLAIM_TAKE && !bd_store_is_up (&daemon->platform))
    pending->timer = bd_timer_add (daemon->events, pending, 0,
                                   handle_platform_down, pending);
  else
    route_claim (pending);
}

static void
send_claim_reply (void *ctx, struct bd_pending_claim *pending)
{
  struct bd_daemon *daemon = ctx;
  struct bd_claim_reply reply = { .kind = pending->claim.kind,
                                  .result = pending->claim.result,
                                  .status = pending->claim.status,
                                  .content_type = pending->claim.content_type,
                                  .body = pending->claim.body };

  memcpy (reply.id, pending->claim.id, BD_ID_SIZE);
  bd_peers_send (&daemon->peers, pending->reply_address, pending->reply_port,
                 BD_MESSAGE_CLAIM_REPLY, &reply);
}

void
bd_daemon_receive_claim (struct bd_daemon *daemon,
                         const struct bd_claim_request *request)
{
  struct bd_claim claim = { .fingerprint = request->fingerprint,
                            .at_ms = bd_clock_calendar_ms (&daemon->clock),
                            .hold_ms = request->hold_ms,
                            .status = request->status,
                            .content_type = request->content_type,
                            .body = request->body };
  struct bd_pending_claim *pending;

  if (request->kind > BD_CLAIM_RELEASE)
    return;
  claim.kind = (enum bd_claim_kind)request->kind;
  memcpy (claim.id, request->id, BD_ID_SIZE);
  memcpy (claim.key, request->key, BD_ID_SIZE);
  pending = create_pending_claim (daemon, &claim, send_claim_reply, daemon);
  pending->hops = request->hops;
  bd_name_copy (pending->reply_address, request->reply_address);
  pending->reply_port = request->reply_port;
  route_claim (pending);
}

void
bd_daemon_receive_claim_reply (struct bd_daemon *daemon,
                               const struct bd_claim_reply *reply)
{
  struct bd_pending_claim *pending = daemon->forwarded_claims;

  while (pending != NULL
         && (strcmp (pending->claim.id, reply->id) != 0
             || pending->claim.kind != reply->kind))
    pending = pending->next;
  if (pending == NULL || reply->result > BD_CLAIM_UNAVAILABLE)
    return;
  unlink_forwarded (pending);
  TALLOC_FREE (pending->timer);
  pending->claim.status = reply->status;
  pending->claim.content_type = talloc_strdup (pending, reply->content_type);
  pending->claim.body = talloc_strdup (pending, reply->body);
  finish_claim (pending, (enum bd_claim_result)reply->result);
}

void
bd_daemon_start_claims (struct bd_daemon *daemon)
{
  for (uint32_t i = 0; i < BD_CLAIM_SHARDS; i++)
    {
      daemon->shards[i].daemon = daemon;
      bd_shard_init (&daemon->shards[i].shard, i);
    }
}

void
bd_daemon_finish_claims (struct bd_daemon *daemon)
{
  for (uint32_t i = 0; i < BD_CLAIM_SHARDS; i++)
    {
      struct bd_shard_queue *shard = &daemon->shards[i];
      struct bd_pending_claim *pending;
      TALLOC_FREE (shard->timer);
      json_decref (shard->commit.data);
      while ((pending = pop_first (shard)) != NULL)
        talloc_free (pending);
      if (shard->daemon != NULL)
        bd_shard_finish (&shard->shard);
    }
}

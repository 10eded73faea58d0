/* Claims of calls that may not be repeated: at the owner of their shard, by
   group commit, or directly when the owner does not answer.

   The owner only saves work.  Whoever commits does so on top of every entry
   it has seen, so two owners cannot grant one key twice.  */

#include "daemon/daemon_internal.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

enum
{
  /* Least time between two commits of a shard: with all shards busy this
     keeps the writes of the fleet within the platform's rate.  */
  COMMIT_SPACING_MS = 60,
  GIVE_UP_MS = 1500,
  RECORD_GIVE_UP_MS = 60000,
  FORWARD_TIMEOUT_MS = 300,
  MAX_HOPS = 2
};

static void pump_shard (struct bd_shard_work *work);

static void
finish_work (struct bd_claim_work *work, enum bd_claim_result result)
{
  work->claim.result = result;
  if (work->done != NULL)
    work->done (work->ctx, work);
  talloc_free (work);
}

/* Fills in the recorded outcome for a replay.  */
static void
finish_with_memory (struct bd_shard_work *shard, struct bd_claim_work *work)
{
  if (work->claim.result == BD_CLAIM_REPLAY)
    bd_shard_outcome (&shard->shard, work->claim.key, &work->claim.status,
                      &work->claim.content_type, &work->claim.body);
  finish_work (work, work->claim.result);
}

static void
append (struct bd_shard_work *shard, struct bd_claim_work *work)
{
  work->next = NULL;
  if (shard->first == NULL)
    shard->first = work;
  else
    shard->last->next = work;
  shard->last = work;
}

static struct bd_claim_work *
take_first (struct bd_shard_work *shard)
{
  struct bd_claim_work *work = shard->first;

  if (work == NULL)
    return NULL;
  shard->first = work->next;
  if (shard->first == NULL)
    shard->last = NULL;
  return work;
}

/* Ends waiting claims that have waited too long.  */
static void
expire (struct bd_shard_work *shard, int64_t now_ms)
{
  struct bd_claim_work *waiting = shard->first;

  shard->first = NULL;
  shard->last = NULL;
  while (waiting != NULL)
    {
      struct bd_claim_work *next = waiting->next;
      if (now_ms >= waiting->give_up_ms)
        finish_work (waiting, BD_CLAIM_UNAVAILABLE);
      else
        append (shard, waiting);
      waiting = next;
    }
}

static void
handle_timer (void *private_data)
{
  struct bd_shard_work *shard = private_data;

  shard->timer = NULL;
  expire (shard, bd_daemon_now_ms (shard->daemon));
  pump_shard (shard);
}

static void
pump_later (struct bd_shard_work *shard, int64_t delay_ms)
{
  if (shard->timer == NULL)
    shard->timer = bd_timer_add (shard->daemon->events, shard->daemon,
                                 delay_ms, handle_timer, shard);
}

static void
handle_loaded (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_shard_work *shard = ctx;

  shard->is_loading = false;
  if (answer->error == BD_OK)
    bd_shard_load (&shard->shard, answer->items,
                   bd_clock_calendar_ms (&shard->daemon->clock));
  expire (shard, bd_daemon_now_ms (shard->daemon));
  pump_shard (shard);
}

static void
load (struct bd_shard_work *shard)
{
  char prefix[BD_NAME_SIZE];

  shard->is_loading = true;
  bd_shard_prefix (shard->shard.number, prefix);
  bd_platform_list (&shard->daemon->platform, BD_PRIORITY_CLAIM, prefix,
                    GIVE_UP_MS, handle_loaded, shard);
}

static void
return_batch (struct bd_shard_work *shard)
{
  struct bd_claim_work *rest = shard->first;

  shard->first = NULL;
  shard->last = NULL;
  for (uint32_t i = 0; i < shard->batch_count; i++)
    append (shard, shard->batch[i]);
  while (rest != NULL)
    {
      struct bd_claim_work *next = rest->next;
      append (shard, rest);
      rest = next;
    }
  shard->batch_count = 0;
}

static void
grant_batch (struct bd_shard_work *shard,
             const struct bd_platform_reply *answer)
{
  struct bd_claim *claims[BD_CLAIM_MAX_BATCH];
  uint32_t count = shard->batch_count;

  for (uint32_t i = 0; i < count; i++)
    claims[i] = &shard->batch[i]->claim;
  bd_shard_committed (&shard->shard, &shard->commit, answer->version,
                      answer->envelope, claims, count,
                      bd_clock_calendar_ms (&shard->daemon->clock));
  shard->batch_count = 0;
  for (uint32_t i = 0; i < count; i++)
    finish_work (shard->batch[i], BD_CLAIM_GRANTED);
}

static void
handle_committed (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_shard_work *shard = ctx;

  shard->is_committing = false;
  if (answer->error == BD_OK)
    grant_batch (shard, answer);
  else
    {
      /* Another writer was first, or nobody knows: look at what is there.
         What took effect is found under the ids of its calls.  */
      bd_shard_lost (&shard->shard, &shard->commit);
      return_batch (shard);
    }
  expire (shard, bd_daemon_now_ms (shard->daemon));
  pump_shard (shard);
}

static bool
is_in_batch (const struct bd_shard_work *shard, const char *key)
{
  for (uint32_t i = 0; i < shard->batch_count; i++)
    if (strcmp (shard->batch[i]->claim.key, key) == 0)
      return true;
  return false;
}

/* Answers what memory can answer and gathers the rest into a batch, one entry
   a key.  */
static void
gather (struct bd_shard_work *shard)
{
  struct bd_claim_work *waiting = shard->first;
  int64_t now_ms = bd_clock_calendar_ms (&shard->daemon->clock);

  shard->first = NULL;
  shard->last = NULL;
  shard->batch_count = 0;
  while (waiting != NULL)
    {
      struct bd_claim_work *next = waiting->next;
      if (bd_shard_answer (&shard->shard, &waiting->claim, now_ms))
        finish_with_memory (shard, waiting);
      else if (shard->batch_count == BD_CLAIM_MAX_BATCH
               || is_in_batch (shard, waiting->claim.key))
        append (shard, waiting);
      else
        shard->batch[shard->batch_count++] = waiting;
      waiting = next;
    }
}

static void
commit (struct bd_shard_work *shard)
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
      uint32_t count = shard->batch_count;
      shard->batch_count = 0;
      for (uint32_t i = 0; i < count; i++)
        finish_work (shard->batch[i], BD_CLAIM_UNAVAILABLE);
      return;
    }
  shard->is_committing = true;
  shard->committed_ms = bd_daemon_now_ms (daemon);
  bd_count (&daemon->counters, BD_COUNT_CLAIM_WRITES);
  bd_shard_object (shard->shard.number, shard->commit.slot, key);
  previous
      = shard->commit.slot == shard->shard.slot ? shard->shard.envelope : NULL;
  bd_platform_update (&daemon->platform, BD_PRIORITY_CLAIM, key,
                      shard->commit.expected_version, previous,
                      json_incref (shard->commit.data), GIVE_UP_MS,
                      handle_committed, shard);
}

static void
pump_shard (struct bd_shard_work *shard)
{
  int64_t since_ms;

  if (shard->first == NULL || shard->is_loading || shard->is_committing)
    return;
  if (!shard->shard.is_loaded)
    {
      load (shard);
      return;
    }
  since_ms = bd_daemon_now_ms (shard->daemon) - shard->committed_ms;
  if (since_ms < COMMIT_SPACING_MS)
    {
      pump_later (shard, COMMIT_SPACING_MS - since_ms);
      return;
    }
  gather (shard);
  if (shard->batch_count > 0)
    commit (shard);
  else if (shard->first != NULL)
    pump_later (shard, COMMIT_SPACING_MS);
}

/* The daemon that commits a shard: a relay, since only relays know those of
   other data centres.  */
static const struct bd_member *
owner_of (struct bd_daemon *daemon, uint32_t shard)
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
work_here (struct bd_claim_work *work)
{
  struct bd_shard_work *shard
      = &work->daemon->shards[bd_shard_of (work->claim.key)];

  append (shard, work);
  pump_shard (shard);
}

static void
unlink_forwarded (struct bd_claim_work *work)
{
  struct bd_claim_work **link = &work->daemon->forwarded;

  while (*link != NULL && *link != work)
    link = &(*link)->next;
  if (*link == work)
    *link = work->next;
}

/* The owner does not answer: commit here.  An entry that it has made for this
   call is found by the call's id.  */
static void
handle_forward_timeout (void *private_data)
{
  struct bd_claim_work *work = private_data;

  work->timer = NULL;
  unlink_forwarded (work);
  /* What memory says may be older than what the owner has committed.  */
  work->daemon->shards[bd_shard_of (work->claim.key)].shard.is_loaded = false;
  work_here (work);
}

static void
forward (struct bd_claim_work *work, const struct bd_member *owner)
{
  struct bd_daemon *daemon = work->daemon;
  struct bd_claim_request request
      = { .reply_port = daemon->settings->advertised_peer_port,
          .hops = work->hops + 1,
          .fingerprint = work->claim.fingerprint,
          .kind = work->claim.kind,
          .status = work->claim.status,
          .content_type = work->claim.content_type,
          .body = work->claim.body,
          .hold_ms = work->claim.hold_ms };

  bd_name_copy (request.reply_address, daemon->settings->address);
  memcpy (request.id, work->claim.id, BD_ID_SIZE);
  memcpy (request.key, work->claim.key, BD_ID_SIZE);
  work->next = daemon->forwarded;
  daemon->forwarded = work;
  work->timer = bd_timer_add (daemon->events, work, FORWARD_TIMEOUT_MS,
                              handle_forward_timeout, work);
  bd_daemon_tell (daemon, owner, BD_MESSAGE_CLAIM, &request);
}

static struct bd_claim_work *
make_work (struct bd_daemon *daemon, const struct bd_claim *claim,
           void (*done) (void *ctx, struct bd_claim_work *work), void *ctx)
{
  struct bd_claim_work *work = talloc_zero (daemon, struct bd_claim_work);
  uint32_t give_up_ms
      = claim->kind == BD_CLAIM_TAKE ? GIVE_UP_MS : RECORD_GIVE_UP_MS;

  work->daemon = daemon;
  work->claim = *claim;
  work->claim.content_type = talloc_strdup (
      work, claim->content_type != NULL ? claim->content_type : "");
  work->claim.body
      = talloc_strdup (work, claim->body != NULL ? claim->body : "");
  work->done = done;
  work->ctx = ctx;
  work->give_up_ms = bd_daemon_now_ms (daemon) + give_up_ms;
  return work;
}

static void
start_work (struct bd_claim_work *work)
{
  struct bd_daemon *daemon = work->daemon;
  const struct bd_member *owner
      = owner_of (daemon, bd_shard_of (work->claim.key));

  if (owner == bd_membership_self (&daemon->membership)
      || work->hops >= MAX_HOPS)
    work_here (work);
  else
    forward (work, owner);
}

static void
handle_outage (void *private_data)
{
  finish_work (private_data, BD_CLAIM_UNAVAILABLE);
}

struct bd_claim_work *
bd_daemon_claim (struct bd_daemon *daemon, const struct bd_claim *claim,
                 void (*done) (void *ctx, struct bd_claim_work *work),
                 void *ctx)
{
  struct bd_claim_work *work = make_work (daemon, claim, done, ctx);

  if (claim->kind == BD_CLAIM_TAKE && !bd_platform_is_up (&daemon->platform))
    /* Told at once, but not before the caller holds the work.  */
    work->timer = bd_timer_add (daemon->events, work, 0, handle_outage, work);
  else
    start_work (work);
  return work;
}

static void
reply (void *ctx, struct bd_claim_work *work)
{
  struct bd_daemon *daemon = ctx;
  struct bd_claim_reply message = { .kind = work->claim.kind,
                                    .result = work->claim.result,
                                    .status = work->claim.status,
                                    .content_type = work->claim.content_type,
                                    .body = work->claim.body };

  memcpy (message.id, work->claim.id, BD_ID_SIZE);
  bd_peers_send (&daemon->peers, work->reply_address, work->reply_port,
                 BD_MESSAGE_CLAIM_REPLY, &message);
}

void
bd_daemon_take_claim (struct bd_daemon *daemon,
                      const struct bd_claim_request *request)
{
  struct bd_claim claim = { .fingerprint = request->fingerprint,
                            .at_ms = bd_clock_calendar_ms (&daemon->clock),
                            .hold_ms = request->hold_ms,
                            .status = request->status,
                            .content_type = request->content_type,
                            .body = request->body };
  struct bd_claim_work *work;

  if (request->kind > BD_CLAIM_RELEASE)
    return;
  claim.kind = (enum bd_claim_kind)request->kind;
  memcpy (claim.id, request->id, BD_ID_SIZE);
  memcpy (claim.key, request->key, BD_ID_SIZE);
  work = make_work (daemon, &claim, reply, daemon);
  work->hops = request->hops;
  bd_name_copy (work->reply_address, request->reply_address);
  work->reply_port = request->reply_port;
  start_work (work);
}

void
bd_daemon_take_claim_reply (struct bd_daemon *daemon,
                            const struct bd_claim_reply *message)
{
  struct bd_claim_work *work = daemon->forwarded;

  while (work != NULL
         && (strcmp (work->claim.id, message->id) != 0
             || work->claim.kind != message->kind))
    work = work->next;
  if (work == NULL || message->result > BD_CLAIM_UNAVAILABLE)
    return;
  unlink_forwarded (work);
  TALLOC_FREE (work->timer);
  work->claim.status = message->status;
  work->claim.content_type = talloc_strdup (work, message->content_type);
  work->claim.body = talloc_strdup (work, message->body);
  finish_work (work, (enum bd_claim_result)message->result);
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
      struct bd_shard_work *shard = &daemon->shards[i];
      struct bd_claim_work *work;
      TALLOC_FREE (shard->timer);
      json_decref (shard->commit.data);
      while ((work = take_first (shard)) != NULL)
        talloc_free (work);
      if (shard->daemon != NULL)
        bd_shard_finish (&shard->shard);
    }
}

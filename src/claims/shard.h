/* One shard of the record of calls that may not be repeated.  Pure.

   The shard is a log of entries in a ring of segments; a segment is one
   object, claims/<shard>/<slot>.  A batch of entries is added by one
   conditional update of the last segment (group commit), so that it can only
   take effect on top of every entry that its writer has seen.  When a segment
   is full, the next slot of the ring is written; a slot is used again once all
   that it holds is past the retention.

   A key is taken before the first byte of its call goes out.  What is in
   memory answers resends; only a commit grants a key.  */

#ifndef BD_CLAIMS_SHARD_H
#define BD_CLAIMS_SHARD_H

#include "base/ids.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define BD_KEY_CLAIMS "claims/"

enum
{
  BD_CLAIM_SHARDS = 16,
  BD_CLAIM_SLOTS = 1024,
  /* A segment is full above this size, so that a commit stays small.  */
  BD_CLAIM_SEGMENT_BYTES = 32 * 1024,
  /* Entries of one commit.  */
  BD_CLAIM_MAX_BATCH = 512,
  /* Longest outcome that is kept for resends.  */
  BD_CLAIM_MAX_BODY_BYTES = 8 * 1024,
  BD_CLAIM_RETENTION_MS = 6 * 3600 * 1000
};

enum bd_claim_kind
{
  BD_CLAIM_TAKE,   /* The call is about to go out.  */
  BD_CLAIM_FINISH, /* Its outcome.  */
  BD_CLAIM_RELEASE /* It did not run after all; the key is free again.  */
};

enum bd_claim_result
{
  BD_CLAIM_GRANTED,     /* Committed: run the call, or outcome recorded.  */
  BD_CLAIM_REPLAY,      /* The outcome is recorded: give it again.  */
  BD_CLAIM_IN_PROGRESS, /* Another call with this key is running.  */
  BD_CLAIM_UNKNOWN,     /* It was started and no outcome was recorded.  */
  BD_CLAIM_REUSED,      /* The key belongs to another request.  */
  BD_CLAIM_UNAVAILABLE  /* Nothing was committed.  */
};

/* Outcomes that are no HTTP status.  */
enum
{
  BD_OUTCOME_UNKNOWN = 0, /* Nobody knows whether the call ran.  */
  BD_OUTCOME_NOT_KEPT = 1 /* It ran; its answer is too long or no text.  */
};

/* One wish to add an entry.  */
struct bd_claim
{
  enum bd_claim_kind kind;
  char id[BD_ID_SIZE];  /* Of the call.  */
  char key[BD_ID_SIZE]; /* Hash of account, service and idempotency key.  */
  uint64_t fingerprint; /* Of the request.  */
  int64_t at_ms;        /* Calendar time.  */
  uint32_t hold_ms;     /* How long the call may be running.  */
  uint32_t status;
  const char *content_type; /* Of the outcome; owned by the asker.  */
  const char *body;
  enum bd_claim_result result;
};

struct bd_shard
{
  uint32_t number;
  GHashTable *entries; /* Key -> struct entry.  */
  bool is_loaded;
  uint32_t slot;   /* Of the last segment.  */
  int64_t segment; /* Its number; rises with each segment.  */
  int64_t version; /* Of its object.  */
  json_t *rows;    /* What it holds.  */
  size_t bytes;
  json_t *envelope; /* As it was read or written last.  */
  int64_t slot_versions[BD_CLAIM_SLOTS];
  int64_t slot_newest_ms[BD_CLAIM_SLOTS];
};

/* One commit that is under way.  */
struct bd_shard_commit
{
  uint32_t slot;
  int64_t segment;
  int64_t expected_version;
  json_t *data; /* Of the object; owned by the commit.  */
  size_t bytes;
};

void bd_shard_init (struct bd_shard *shard, uint32_t number);
void bd_shard_finish (struct bd_shard *shard);

/* bd_shard_of(): the shard of a key.  */
uint32_t bd_shard_of (const char *key);

/* bd_claim_key(): the key of a call.  */
void bd_claim_key (const char *account, const char *service,
                   const char *idempotency_key, char key[BD_ID_SIZE]);

/* bd_shard_prefix(), bd_shard_object(): names of objects.  */
void bd_shard_prefix (uint32_t shard, char out[BD_NAME_SIZE]);
void bd_shard_object (uint32_t shard, uint32_t slot, char out[BD_NAME_SIZE]);

/* bd_shard_load(): takes in the shard's objects, items of a list of its
   prefix; forgets what it held.  */
void bd_shard_load (struct bd_shard *shard, const json_t *items,
                    int64_t now_ms);

/* bd_shard_resolve(): whether what is in memory answers a claim; its result
   is then set.  A key that is free needs a commit.  */
bool bd_shard_resolve (struct bd_shard *shard, struct bd_claim *claim,
                       int64_t now_ms);

/* bd_shard_prepare(): builds the commit of a batch.  Returns false when the
   ring has no room: nothing may be granted then.  */
bool bd_shard_prepare (struct bd_shard *shard, struct bd_claim *const *batch,
                       uint32_t count, int64_t now_ms,
                       struct bd_shard_commit *commit);

/* bd_shard_committed(): the commit took effect with version; envelope is what
   was written, or NULL.  */
void bd_shard_committed (struct bd_shard *shard,
                         struct bd_shard_commit *commit, int64_t version,
                         json_t *envelope, struct bd_claim *const *batch,
                         uint32_t count, int64_t now_ms);

/* bd_shard_conflict(): another writer was first; the shard must be loaded
 * again.
 */
void bd_shard_conflict (struct bd_shard *shard,
                        struct bd_shard_commit *commit);

/* bd_shard_outcome(): the recorded outcome of a key, for a replay.  False when
   there is none.  Strings live until the shard changes.  */
bool bd_shard_outcome (const struct bd_shard *shard, const char *key,
                       uint32_t *status, const char **content_type,
                       const char **body);

#endif

/* One shard of the log of idempotency keys, which lets each call that is not
   idempotent run at most once.  Pure.

   The shard is a log of entries in a ring of segments; a segment is one
   object, claims/<shard>/<slot>.  A batch of entries is appended by one
   conditional update of the last segment (group commit).  The update fails
   when another writer has changed the segment, so a batch only takes effect on
   top of all entries that its writer has seen.  When a segment is full, the
   next slot of the ring is written; a slot is reused when all its entries are
   past the retention time.

   A key is claimed before the first byte of its call is sent.  Repeated
   requests are resolved from memory; only a commit grants a key.

   To commit claims: load the shard with bd_shard_load(), pass each claim to
   bd_shard_resolve(), build a commit of the unresolved ones with
   bd_shard_prepare(), write it to the store, and report the result with
   bd_shard_committed() or bd_shard_conflict().  Times are calendar times in
   ms.  */

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
  /* A segment is full above this size; the limit keeps commits small.  */
  BD_CLAIM_SEGMENT_BYTES = 32 * 1024,
  /* Maximum entries per commit.  */
  BD_CLAIM_MAX_BATCH = 512,
  /* Longest response body that is kept for repeated requests.  */
  BD_CLAIM_MAX_BODY_BYTES = 8 * 1024,
  BD_CLAIM_RETENTION_MS = 6 * 3600 * 1000
};

enum bd_claim_kind
{
  BD_CLAIM_TAKE,   /* The call is about to be sent.  */
  BD_CLAIM_FINISH, /* Records the outcome of the call.  */
  BD_CLAIM_RELEASE /* The call did not run; frees the key.  */
};

enum bd_claim_result
{
  BD_CLAIM_GRANTED,     /* Committed: the call can run, or is recorded.  */
  BD_CLAIM_REPLAY,      /* The outcome is recorded; return it.  */
  BD_CLAIM_IN_PROGRESS, /* Another call with this key is running.  */
  BD_CLAIM_UNKNOWN,     /* The call started; no outcome is recorded.  */
  BD_CLAIM_REUSED,      /* The key belongs to another request.  */
  BD_CLAIM_UNAVAILABLE  /* Nothing was committed.  */
};

/* Outcomes without an HTTP status.  */
enum
{
  BD_OUTCOME_UNKNOWN = 0, /* It is unknown whether the call ran.  */
  BD_OUTCOME_NOT_KEPT = 1 /* It ran; its response is too long or not text.  */
};

/* Request to append one entry.  */
struct bd_claim
{
  enum bd_claim_kind kind;
  char id[BD_ID_SIZE];  /* ID of the call.  */
  char key[BD_ID_SIZE]; /* Hash of account, service and idempotency key.  */
  uint64_t fingerprint; /* Hash of the request.  */
  int64_t at_ms;        /* Time of the claim.  */
  uint32_t hold_ms;     /* Longest time that the call can run.  */
  uint32_t status;
  const char *content_type; /* Owned by the caller, like body.  */
  const char *body;
  enum bd_claim_result result;
};

struct bd_shard
{
  uint32_t number;
  GHashTable *entries; /* Key -> struct entry.  */
  bool is_loaded;
  uint32_t slot;    /* Slot of the last segment.  */
  int64_t segment;  /* Its number; increases by one per segment.  */
  int64_t version;  /* Version of its object.  */
  json_t *rows;     /* Its entries.  */
  size_t bytes;     /* Size of the rows as text.  */
  json_t *envelope; /* Its object as last read or written.  */
  /* Versions of the objects of the slots; 0 for a slot without object.  */
  int64_t slot_versions[BD_CLAIM_SLOTS];
  /* Time of the last commit to each slot or, after a load, of its newest
     claim.  */
  int64_t slot_newest_ms[BD_CLAIM_SLOTS];
};

/* One commit in progress.  */
struct bd_shard_commit
{
  uint32_t slot;
  int64_t segment;
  int64_t expected_version;
  json_t *data; /* New data of the object; owned by the commit.  */
  size_t bytes;
};

/* bd_shard_init(), bd_shard_finish(): create and free the shard with this
   number, which has to be loaded before use.  */
void bd_shard_init (struct bd_shard *shard, uint32_t number);
void bd_shard_finish (struct bd_shard *shard);

/* bd_shard_of(): number of the shard of a key.  */
uint32_t bd_shard_of (const char *key);

/* bd_claim_key(): computes the key of a call, a hash of the three strings.  */
void bd_claim_key (const char *account, const char *service,
                   const char *idempotency_key, char key[BD_ID_SIZE]);

/* bd_shard_prefix(), bd_shard_object(): common prefix of a shard's object
   names, and the name of the object of a slot.  */
void bd_shard_prefix (uint32_t shard, char out[BD_NAME_SIZE]);
void bd_shard_object (uint32_t shard, uint32_t slot, char out[BD_NAME_SIZE]);

/* bd_shard_load(): replaces the contents of the shard by items, the list
   result for its prefix.  Entries past the retention time are skipped.
   Returns false, and changes nothing, when an item is damaged: the keys that
   it has taken are unknown.  */
bool bd_shard_load (struct bd_shard *shard, const json_t *items,
                    int64_t now_ms);

/* bd_shard_resolve(): whether the entries in memory decide a claim; sets its
   result then.  A claim of a free key needs a commit.  */
bool bd_shard_resolve (struct bd_shard *shard, struct bd_claim *claim,
                       int64_t now_ms);

/* bd_shard_prepare(): builds the commit of a batch.  Returns false when the
   ring is full; no claim of the batch is granted then.  */
bool bd_shard_prepare (struct bd_shard *shard, struct bd_claim *const *batch,
                       uint32_t count, int64_t now_ms,
                       struct bd_shard_commit *commit);

/* bd_shard_committed(): the commit succeeded with version; envelope is the
   written object, or NULL.  Sets the result of each claim of the batch.  */
void bd_shard_committed (struct bd_shard *shard,
                         struct bd_shard_commit *commit, int64_t version,
                         json_t *envelope, struct bd_claim *const *batch,
                         uint32_t count, int64_t now_ms);

/* bd_shard_conflict(): the commit failed because another writer was first, or
   its reply was lost.  The shard has to be loaded again.  */
void bd_shard_conflict (struct bd_shard *shard,
                        struct bd_shard_commit *commit);

/* bd_shard_outcome(): gets the recorded outcome of a key, for a replay.
   Returns false when there is none.  The strings are valid until the shard
   changes.  */
bool bd_shard_outcome (const struct bd_shard *shard, const char *key,
                       uint32_t *status, const char **content_type,
                       const char **body);

#endif

/* Log of the claims of one shard.  */

#include "claims/shard.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum entry_state
{
  ENTRY_TAKEN,
  ENTRY_FINISHED
};

struct entry
{
  char key[BD_ID_SIZE];
  char id[BD_ID_SIZE];
  uint64_t fingerprint;
  int64_t at_ms;
  uint32_t hold_ms;
  enum entry_state state;
  uint32_t status;
  char *content_type;
  char *body;
};

static void
free_entry (gpointer value)
{
  struct entry *entry = value;

  g_free (entry->content_type);
  g_free (entry->body);
  g_free (entry);
}

void
bd_shard_init (struct bd_shard *shard, uint32_t number)
{
  memset (shard, 0, sizeof *shard);
  shard->number = number;
  shard->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
}

void
bd_shard_finish (struct bd_shard *shard)
{
  g_hash_table_destroy (shard->entries);
  json_decref (shard->rows);
  json_decref (shard->envelope);
}

uint32_t
bd_shard_of (const char *key)
{
  return (uint32_t)(bd_hash (key, strlen (key)) % BD_CLAIM_SHARDS);
}

void
bd_claim_key (const char *account, const char *service,
              const char *idempotency_key, char key[BD_ID_SIZE])
{
  uint64_t account_hash = bd_hash_pair (service, account);
  uint64_t key_hash = bd_hash (idempotency_key, strlen (idempotency_key));
  uint64_t mixed[2] = { account_hash, key_hash };
  uint64_t low;
  char *joined
      = g_strconcat (account, "\n", service, "\n", idempotency_key, NULL);

  low = bd_hash (joined, strlen (joined));
  g_free (joined);
  snprintf (key, BD_ID_SIZE, "%016llx%016llx",
            (unsigned long long)bd_hash (mixed, sizeof mixed),
            (unsigned long long)low);
}

void
bd_shard_prefix (uint32_t shard, char out[BD_NAME_SIZE])
{
  snprintf (out, BD_NAME_SIZE, BD_KEY_CLAIMS "%u/", shard);
}

void
bd_shard_object (uint32_t shard, uint32_t slot, char out[BD_NAME_SIZE])
{
  snprintf (out, BD_NAME_SIZE, BD_KEY_CLAIMS "%u/%u", shard, slot);
}

/* Rows of a segment (take, finish, release): ["t", key, id, fingerprint, at,
   hold], ["f", key, id, status, type, body], ["r", key, id].  */

static struct entry *
find_entry (const struct bd_shard *shard, const char *key)
{
  return g_hash_table_lookup (shard->entries, key);
}

static void
take_entry (struct bd_shard *shard, const char *key, const char *id,
            uint64_t fingerprint, int64_t at_ms, uint32_t hold_ms)
{
  struct entry *entry = find_entry (shard, key);

  /* Keep the first claim of a key: a writer that has seen it does not commit
     another one.  */
  if (entry != NULL)
    return;
  entry = g_new0 (struct entry, 1);
  g_strlcpy (entry->key, key, sizeof entry->key);
  g_strlcpy (entry->id, id, sizeof entry->id);
  entry->fingerprint = fingerprint;
  entry->at_ms = at_ms;
  entry->hold_ms = hold_ms;
  g_hash_table_insert (shard->entries, entry->key, entry);
}

static void
finish_entry (struct bd_shard *shard, const char *key, const char *id,
              uint32_t status, const char *content_type, const char *body)
{
  struct entry *entry = find_entry (shard, key);

  if (entry == NULL || strcmp (entry->id, id) != 0
      || entry->state == ENTRY_FINISHED)
    return;
  entry->state = ENTRY_FINISHED;
  entry->status = status;
  entry->content_type = g_strdup (content_type);
  entry->body = g_strdup (body);
}

static void
release_entry (struct bd_shard *shard, const char *key, const char *id)
{
  struct entry *entry = find_entry (shard, key);

  if (entry != NULL && strcmp (entry->id, id) == 0
      && entry->state == ENTRY_TAKEN)
    g_hash_table_remove (shard->entries, key);
}

static const char *
string_at (const json_t *row, size_t i)
{
  const char *text = json_string_value (json_array_get (row, i));

  return text != NULL ? text : "";
}

static int64_t
integer_at (const json_t *row, size_t i)
{
  return json_integer_value (json_array_get (row, i));
}

static void
apply_row (struct bd_shard *shard, const json_t *row)
{
  const char *kind = string_at (row, 0);
  const char *key = string_at (row, 1);
  const char *id = string_at (row, 2);

  /* Cut, it could be the key of another entry.  */
  if (strlen (key) >= BD_ID_SIZE)
    return;
  if (strcmp (kind, "t") == 0)
    take_entry (shard, key, id, (uint64_t)integer_at (row, 3),
                integer_at (row, 4), (uint32_t)integer_at (row, 5));
  else if (strcmp (kind, "f") == 0)
    finish_entry (shard, key, id, (uint32_t)integer_at (row, 3),
                  string_at (row, 4), string_at (row, 5));
  else if (strcmp (kind, "r") == 0)
    release_entry (shard, key, id);
}

/* One segment of a list result.  */
struct segment
{
  int64_t number;
  uint32_t slot;
  int64_t version;
  json_t *envelope;
  json_t *rows;
};

static int
compare_segments (const void *a, const void *b)
{
  const struct segment *left = a;
  const struct segment *right = b;

  return left->number < right->number ? -1 : left->number > right->number;
}

static bool
read_segment (const json_t *item, struct segment *out)
{
  const char *key = json_string_value (json_object_get (item, "key"));
  const char *slash = key != NULL ? strrchr (key, '/') : NULL;
  json_t *data;

  if (slash == NULL)
    return false;
  out->envelope = json_object_get (item, "value");
  data = json_object_get (out->envelope, "data");
  out->slot = (uint32_t)strtoul (slash + 1, NULL, 10) % BD_CLAIM_SLOTS;
  out->version = json_integer_value (json_object_get (item, "version"));
  out->number = json_integer_value (json_object_get (data, "segment"));
  out->rows = json_object_get (data, "rows");
  return json_is_array (out->rows);
}

static int64_t
newest_take_ms (const json_t *rows)
{
  int64_t newest_ms = 0;
  json_t *row;
  size_t i;

  json_array_foreach (rows, i, row)
    {
      bool is_take = strcmp (string_at (row, 0), "t") == 0;
      if (is_take && integer_at (row, 4) > newest_ms)
        newest_ms = integer_at (row, 4);
    }
  return newest_ms;
}

static void
apply_segment (struct bd_shard *shard, const struct segment *segment,
               int64_t now_ms)
{
  json_t *row;
  size_t i;

  shard->slot_versions[segment->slot] = segment->version;
  shard->slot_newest_ms[segment->slot] = newest_take_ms (segment->rows);
  if (now_ms - shard->slot_newest_ms[segment->slot] > BD_CLAIM_RETENTION_MS)
    return;
  json_array_foreach (segment->rows, i, row)
    apply_row (shard, row);
}

static void
set_last_segment (struct bd_shard *shard, const struct segment *last)
{
  char *text;

  json_decref (shard->rows);
  json_decref (shard->envelope);
  shard->rows = json_deep_copy (last->rows);
  shard->envelope = json_incref (last->envelope);
  shard->slot = last->slot;
  shard->segment = last->number;
  shard->version = last->version;
  text = json_dumps (last->rows, JSON_COMPACT);
  shard->bytes = text != NULL ? strlen (text) : 0;
  free (text);
}

static bool
is_any_damaged (const json_t *items)
{
  const json_t *item;
  size_t i;

  json_array_foreach (items, i, item)
    if (json_is_true (json_object_get (item, "is_damaged")))
      return true;
  return false;
}

bool
bd_shard_load (struct bd_shard *shard, const json_t *items, int64_t now_ms)
{
  size_t count = json_array_size (items);
  struct segment *segments;
  uint32_t segment_count = 0;

  if (is_any_damaged (items))
    return false;
  segments = g_new0 (struct segment, count + 1);
  g_hash_table_remove_all (shard->entries);
  memset (shard->slot_versions, 0, sizeof shard->slot_versions);
  memset (shard->slot_newest_ms, 0, sizeof shard->slot_newest_ms);
  for (size_t i = 0; i < count; i++)
    if (read_segment (json_array_get (items, i), &segments[segment_count]))
      segment_count++;
  qsort (segments, segment_count, sizeof *segments, compare_segments);
  for (uint32_t i = 0; i < segment_count; i++)
    apply_segment (shard, &segments[i], now_ms);
  if (segment_count > 0)
    set_last_segment (shard, &segments[segment_count - 1]);
  else
    {
      json_decref (shard->rows);
      json_decref (shard->envelope);
      shard->envelope = NULL;
      shard->rows = json_array ();
      shard->bytes = 0;
      shard->version = 0;
      shard->segment = 1;
      shard->slot = 0;
    }
  shard->is_loaded = true;
  g_free (segments);
  return true;
}

static void
resolve_taken_key (const struct entry *entry, struct bd_claim *claim,
                   int64_t now_ms)
{
  if (entry->state == ENTRY_FINISHED)
    claim->result = BD_CLAIM_REPLAY;
  else if (now_ms - entry->at_ms <= entry->hold_ms)
    claim->result = BD_CLAIM_IN_PROGRESS;
  else
    claim->result = BD_CLAIM_UNKNOWN;
}

bool
bd_shard_resolve (struct bd_shard *shard, struct bd_claim *claim,
                  int64_t now_ms)
{
  const struct entry *entry = find_entry (shard, claim->key);

  if (claim->kind != BD_CLAIM_TAKE)
    {
      bool is_own = entry != NULL && strcmp (entry->id, claim->id) == 0
                    && entry->state == ENTRY_TAKEN;
      /* Either recorded already, or another call holds the key.  */
      claim->result = BD_CLAIM_GRANTED;
      return !is_own;
    }
  if (entry == NULL)
    return false;
  if (strcmp (entry->id, claim->id) == 0 && entry->state == ENTRY_TAKEN)
    claim->result = BD_CLAIM_GRANTED;
  else if (entry->fingerprint != claim->fingerprint)
    claim->result = BD_CLAIM_REUSED;
  else
    resolve_taken_key (entry, claim, now_ms);
  return true;
}

static json_t *
make_row (const struct bd_claim *claim)
{
  switch (claim->kind)
    {
    case BD_CLAIM_TAKE:
      return json_pack ("[s,s,s,I,I,i]", "t", claim->key, claim->id,
                        (json_int_t)claim->fingerprint,
                        (json_int_t)claim->at_ms, (int)claim->hold_ms);
    case BD_CLAIM_FINISH:
      return json_pack ("[s,s,s,i,s,s]", "f", claim->key, claim->id,
                        (int)claim->status, claim->content_type, claim->body);
    case BD_CLAIM_RELEASE:
      break;
    }
  return json_pack ("[s,s,s]", "r", claim->key, claim->id);
}

static gboolean
is_past_retention (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return *(int64_t *)now_ms - ((struct entry *)value)->at_ms
         > BD_CLAIM_RETENTION_MS;
}

/* Advances to the next slot of the ring.  Returns false when that slot has
   entries within the retention time.  */
static bool
advance_segment (struct bd_shard *shard, struct bd_shard_commit *commit,
                 int64_t now_ms)
{
  uint32_t next = (shard->slot + 1) % BD_CLAIM_SLOTS;

  if (shard->slot_versions[next] != 0
      && now_ms - shard->slot_newest_ms[next] <= BD_CLAIM_RETENTION_MS)
    return false;
  commit->slot = next;
  commit->segment = shard->segment + 1;
  commit->expected_version = shard->slot_versions[next];
  g_hash_table_foreach_remove (shard->entries, is_past_retention, &now_ms);
  return true;
}

bool
bd_shard_prepare (struct bd_shard *shard, struct bd_claim *const *batch,
                  uint32_t count, int64_t now_ms,
                  struct bd_shard_commit *commit)
{
  json_t *rows;

  memset (commit, 0, sizeof *commit);
  commit->slot = shard->slot;
  commit->segment = shard->segment;
  commit->expected_version = shard->version;
  if (shard->bytes > BD_CLAIM_SEGMENT_BYTES)
    {
      if (!advance_segment (shard, commit, now_ms))
        return false;
      rows = json_array ();
    }
  else
    {
      rows = json_copy (shard->rows);
      commit->bytes = shard->bytes;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      json_t *row = make_row (batch[i]);
      char *text = json_dumps (row, JSON_COMPACT);
      commit->bytes += text != NULL ? strlen (text) + 1 : 0;
      free (text);
      json_array_append_new (rows, row);
    }
  commit->data = json_pack ("{s:I,s:o}", "segment",
                            (json_int_t)commit->segment, "rows", rows);
  return true;
}

static void
apply_claim (struct bd_shard *shard, const struct bd_claim *claim)
{
  switch (claim->kind)
    {
    case BD_CLAIM_TAKE:
      take_entry (shard, claim->key, claim->id, claim->fingerprint,
                  claim->at_ms, claim->hold_ms);
      break;
    case BD_CLAIM_FINISH:
      finish_entry (shard, claim->key, claim->id, claim->status,
                    claim->content_type, claim->body);
      break;
    case BD_CLAIM_RELEASE:
      release_entry (shard, claim->key, claim->id);
      break;
    }
}

void
bd_shard_committed (struct bd_shard *shard, struct bd_shard_commit *commit,
                    int64_t version, json_t *envelope,
                    struct bd_claim *const *batch, uint32_t count,
                    int64_t now_ms)
{
  json_decref (shard->envelope);
  shard->envelope = json_incref (envelope);
  json_decref (shard->rows);
  shard->rows = json_incref (json_object_get (commit->data, "rows"));
  json_decref (commit->data);
  commit->data = NULL;
  shard->slot = commit->slot;
  shard->segment = commit->segment;
  shard->version = version;
  shard->bytes = commit->bytes;
  shard->slot_versions[commit->slot] = version;
  shard->slot_newest_ms[commit->slot] = now_ms;
  for (uint32_t i = 0; i < count; i++)
    {
      apply_claim (shard, batch[i]);
      batch[i]->result = BD_CLAIM_GRANTED;
    }
}

void
bd_shard_conflict (struct bd_shard *shard, struct bd_shard_commit *commit)
{
  json_decref (commit->data);
  commit->data = NULL;
  shard->is_loaded = false;
}

bool
bd_shard_outcome (const struct bd_shard *shard, const char *key,
                  uint32_t *status, const char **content_type,
                  const char **body)
{
  const struct entry *entry = find_entry (shard, key);

  if (entry == NULL || entry->state != ENTRY_FINISHED)
    return false;
  *status = entry->status;
  *content_type = entry->content_type;
  *body = entry->body;
  return true;
}

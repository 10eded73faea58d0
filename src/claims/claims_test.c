/* Tests of the claim log of one shard.  */

#include "tests/unit.h"

#include "claims/shard.h"

#include <stdio.h>
#include <string.h>

static struct bd_claim
claim (enum bd_claim_kind kind, const char *key, const char *id,
       uint64_t fingerprint, int64_t at_ms)
{
  struct bd_claim out = { .kind = kind,
                          .fingerprint = fingerprint,
                          .at_ms = at_ms,
                          .hold_ms = 1000,
                          .status = 201,
                          .content_type = "text/plain",
                          .body = "done" };

  snprintf (out.key, sizeof out.key, "%s", key);
  snprintf (out.id, sizeof out.id, "%s", id);
  return out;
}

/* Commits one claim with the next version of the object.  */
static void
commit (struct bd_shard *shard, struct bd_claim *claimed, int64_t now_ms)
{
  static int64_t version;
  struct bd_claim *batch[] = { claimed };
  struct bd_shard_commit out;

  CU_ASSERT_TRUE_FATAL (bd_shard_prepare (shard, batch, 1, now_ms, &out));
  bd_shard_committed (shard, &out, ++version, NULL, batch, 1, now_ms);
}

static void
load_empty (struct bd_shard *shard)
{
  json_t *items = json_array ();

  bd_shard_init (shard, 3);
  bd_shard_load (shard, items, 0);
  json_decref (items);
}

/* A segment that can't be decoded may have taken any key.  */
static void
test_damaged_segment_forgets_its_keys (void)
{
  struct bd_shard shard;
  json_t *items = json_pack ("[{s:s,s:i,s:n,s:b}]", "key", "claims/3/0",
                             "version", 5, "value", "is_damaged", 1);

  bd_shard_init (&shard, 3);
  CU_ASSERT_FALSE (bd_shard_load (&shard, items, 0));
  CU_ASSERT_FALSE (shard.is_loaded);
  bd_shard_finish (&shard);
  json_decref (items);
}

static enum bd_claim_result
resolve (struct bd_shard *shard, const char *key, const char *id,
         uint64_t fingerprint, int64_t now_ms)
{
  struct bd_claim claimed
      = claim (BD_CLAIM_TAKE, key, id, fingerprint, now_ms);

  CU_ASSERT_TRUE (bd_shard_resolve (shard, &claimed, now_ms));
  return claimed.result;
}

/* An id has 32 characters; a longer one belongs to no call.  */
static void
test_overlong_keys_share_a_freed_entry (void)
{
  static const char *const keys[] = { "0123456789abcdef0123456789abcdef-1",
                                      "0123456789abcdef0123456789abcdef-2" };
  struct bd_shard shard;
  struct bd_claim claimed
      = claim (BD_CLAIM_TAKE, "0123456789abcdef0123456789abcdef", "a", 7, 0);
  json_t *items = json_pack (
      "[{s:s,s:i,s:{s:{s:i,s:[[s,s,s,i,i,i],[s,s,s,i,i,i]]}}}]", "key",
      "claims/3/0", "version", 5, "value", "data", "segment", 1, "rows", "t",
      keys[0], "x", 1, 1, 1000, "t", keys[1], "y", 2, 1, 1000);

  bd_shard_init (&shard, 3);
  CU_ASSERT_TRUE (bd_shard_load (&shard, items, 1));
  CU_ASSERT_FALSE (bd_shard_resolve (&shard, &claimed, 1));
  CU_ASSERT_EQUAL (g_hash_table_size (shard.entries), 0);
  bd_shard_finish (&shard);
  json_decref (items);
}

static void
test_repeated_call_gets_outcome (void)
{
  struct bd_shard shard;
  struct bd_claim take = claim (BD_CLAIM_TAKE, "k", "one", 7, 100);
  struct bd_claim finish = claim (BD_CLAIM_FINISH, "k", "one", 7, 0);
  struct bd_claim other_call = claim (BD_CLAIM_FINISH, "k", "two", 7, 0);
  uint32_t status;
  const char *type;
  const char *body;

  load_empty (&shard);
  CU_ASSERT_FALSE (bd_shard_resolve (&shard, &take, 100));
  commit (&shard, &take, 100);
  CU_ASSERT_EQUAL (take.result, BD_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (resolve (&shard, "k", "two", 7, 200), BD_CLAIM_IN_PROGRESS);
  CU_ASSERT_EQUAL (resolve (&shard, "k", "two", 7, 1101), BD_CLAIM_UNKNOWN);
  CU_ASSERT_EQUAL (resolve (&shard, "k", "two", 8, 200), BD_CLAIM_REUSED);
  /* The call still holds its own key when the reply to its commit was lost. */
  CU_ASSERT_EQUAL (resolve (&shard, "k", "one", 7, 200), BD_CLAIM_GRANTED);
  /* Another call cannot record an outcome for this key.  */
  CU_ASSERT_TRUE (bd_shard_resolve (&shard, &other_call, 200));
  CU_ASSERT_FALSE (bd_shard_resolve (&shard, &finish, 200));
  commit (&shard, &finish, 200);
  CU_ASSERT_EQUAL (resolve (&shard, "k", "two", 7, 5000), BD_CLAIM_REPLAY);
  CU_ASSERT_TRUE (bd_shard_outcome (&shard, "k", &status, &type, &body));
  CU_ASSERT_EQUAL (status, 201);
  CU_ASSERT_STRING_EQUAL (body, "done");
  bd_shard_finish (&shard);
}

static void
test_released_key_is_free (void)
{
  struct bd_shard shard;
  struct bd_claim take = claim (BD_CLAIM_TAKE, "k", "one", 7, 100);
  struct bd_claim release = claim (BD_CLAIM_RELEASE, "k", "one", 7, 0);
  struct bd_claim again = claim (BD_CLAIM_TAKE, "k", "two", 7, 300);

  load_empty (&shard);
  commit (&shard, &take, 100);
  CU_ASSERT_FALSE (bd_shard_resolve (&shard, &release, 200));
  commit (&shard, &release, 200);
  CU_ASSERT_FALSE (bd_shard_resolve (&shard, &again, 300));
  bd_shard_finish (&shard);
}

static void
test_segments_roll_and_stay_small (void)
{
  struct bd_shard shard;
  char key[BD_ID_SIZE];

  load_empty (&shard);
  for (int i = 0; i < 1000; i++)
    {
      struct bd_claim take;
      snprintf (key, sizeof key, "key-%d", i);
      take = claim (BD_CLAIM_TAKE, key, "one", 7, 100);
      commit (&shard, &take, 100);
      CU_ASSERT_TRUE (shard.bytes < 2 * BD_CLAIM_SEGMENT_BYTES);
    }
  CU_ASSERT_TRUE (shard.segment > 1);
  CU_ASSERT_EQUAL (resolve (&shard, "key-0", "two", 7, 200),
                   BD_CLAIM_IN_PROGRESS);
  bd_shard_finish (&shard);
}

static void
test_full_ring_grants_nothing (void)
{
  struct bd_shard shard;
  struct bd_claim take = claim (BD_CLAIM_TAKE, "k", "one", 7, 100);
  struct bd_claim *batch[] = { &take };
  struct bd_shard_commit out;
  int64_t later_ms = 200 + (int64_t)BD_CLAIM_RETENTION_MS;

  load_empty (&shard);
  shard.bytes = BD_CLAIM_SEGMENT_BYTES + 1;
  shard.slot_versions[1] = 5;
  shard.slot_newest_ms[1] = 100;
  CU_ASSERT_FALSE (bd_shard_prepare (&shard, batch, 1, 100, &out));
  /* Past the retention time the slot is reused: its object is overwritten.  */
  CU_ASSERT_TRUE (bd_shard_prepare (&shard, batch, 1, later_ms, &out));
  CU_ASSERT_EQUAL (out.slot, 1);
  CU_ASSERT_EQUAL (out.expected_version, 5);
  json_decref (out.data);
  bd_shard_finish (&shard);
}

static void
test_keys_differ_by_account_and_service (void)
{
  char a[BD_ID_SIZE];
  char b[BD_ID_SIZE];

  bd_claim_key ("one", "s", "k", a);
  bd_claim_key ("two", "s", "k", b);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  bd_claim_key ("one", "t", "k", b);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  bd_claim_key ("one", "s", "k", b);
  CU_ASSERT_STRING_EQUAL (a, b);
}

static const struct unit_test tests[] = {
  { "a damaged segment forgets its keys",
    test_damaged_segment_forgets_its_keys },
  { "overlong keys share a freed entry",
    test_overlong_keys_share_a_freed_entry },
  { "a repeated call is answered", test_repeated_call_gets_outcome },
  { "a released key is free", test_released_key_is_free },
  { "segments roll", test_segments_roll_and_stay_small },
  { "a full ring grants nothing", test_full_ring_grants_nothing },
  { "keys", test_keys_differ_by_account_and_service },
};

int
main (void)
{
  return UNIT_RUN ("claims", tests);
}

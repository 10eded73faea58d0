/* Tests of the queue of claims of a shard against a fake store whose replies
   are given by the test.  */

#include "daemon/job_internal.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

enum
{
  START_MS = 100000,
  SLOW_WRITE_MS = 200,
  HOLD_MS = 10000,
  STORE_CALLS_PER_S = 1000,
  MAX_CLAIMS = 4,
  SHARD = 3
};

/* An operation that the store has not replied to.  */
struct pending_op
{
  bool is_open;
  bd_object_done *done;
  void *ctx;
};

static struct tevent_context *events;
static struct bd_daemon *test_daemon;
static struct bd_settings settings;
static int64_t now_ms;
static struct pending_op list;
static struct pending_op write_op;
static uint32_t writes_at_once;
static uint32_t max_writes_at_once;
static json_t *written; /* Envelope of the last write.  */

/* A claim of the test and its result.  */
struct claimant
{
  struct bd_claim claim;
  bool has_left; /* Releases the key when it is granted.  */
  bool is_done;
  enum bd_claim_result result;
};

static struct claimant claimants[MAX_CLAIMS];

static struct timespec
read_clock (void *ctx)
{
  (void)ctx;
  return (struct timespec){ .tv_sec = now_ms / 1000,
                            .tv_nsec = now_ms % 1000 * 1000000 };
}

static const struct bd_clock_ops clock_ops = { read_clock, read_clock };

static bool
start_op (void *api, const struct bd_object_op *op, bd_object_done *done,
          void *ctx)
{
  struct pending_op *pending = op->kind == BD_OBJECT_WRITE ? &write_op : &list;

  (void)api;
  *pending = (struct pending_op){ .is_open = true, .done = done, .ctx = ctx };
  if (op->kind != BD_OBJECT_WRITE)
    return true;
  json_decref (written);
  written = json_loads (op->value, 0, NULL);
  writes_at_once++;
  if (writes_at_once > max_writes_at_once)
    max_writes_at_once = writes_at_once;
  return true;
}

static const struct bd_object_api_ops store_ops = { start_op };

static void
reply_to (struct pending_op *pending, const struct bd_object_reply *reply)
{
  struct pending_op op = *pending;

  CU_ASSERT_TRUE_FATAL (op.is_open);
  pending->is_open = false;
  if (pending == &write_op)
    writes_at_once--;
  op.done (op.ctx, reply);
}

static void
reply_to_write (enum bd_error error)
{
  static int64_t version;
  struct bd_object_reply reply = { .error = error, .version = ++version };

  reply_to (&write_op, &reply);
}

/* Lists the last written segment, or none.  */
static void
reply_to_list (bool has_segment)
{
  json_t *items = has_segment
                      ? json_pack ("[{s:s,s:i,s:O}]", "key", "claims/3/0",
                                   "version", 1, "value", written)
                      : json_array ();
  struct bd_object_reply reply = { .error = BD_OK, .items = items };

  reply_to (&list, &reply);
  json_decref (items);
}

static void
handle_done (void *ctx, struct bd_pending_claim *pending)
{
  struct claimant *claimant = ctx;
  struct bd_claim release = claimant->claim;

  claimant->is_done = true;
  claimant->result = pending->claim.result;
  release.kind = BD_CLAIM_RELEASE;
  if (claimant->has_left && claimant->result == BD_CLAIM_GRANTED)
    bd_daemon_submit_claim (pending->daemon, &release, NULL, NULL, NULL);
}

/* Submits claims of other keys of the same shard.  */
static void
submit (uint32_t first, uint32_t count)
{
  for (uint32_t i = first; i < first + count; i++)
    bd_daemon_submit_claim (test_daemon, &claimants[i].claim, handle_done,
                            &claimants[i], NULL);
}

static void
make_claimants (void)
{
  uint32_t count = 0;

  memset (claimants, 0, sizeof claimants);
  for (uint32_t i = 0; count < MAX_CLAIMS; i++)
    {
      struct bd_claim *claim = &claimants[count].claim;

      claim->kind = BD_CLAIM_TAKE;
      claim->at_ms = now_ms;
      claim->hold_ms = HOLD_MS;
      snprintf (claim->key, sizeof claim->key, "key%u", i);
      snprintf (claim->id, sizeof claim->id, "call%u", i);
      count += bd_shard_of (claim->key) == SHARD;
    }
}

static void
start (void)
{
  struct bd_member self = { .name = "a", .data_centre = "one" };

  now_ms = START_MS;
  max_writes_at_once = 0;
  writes_at_once = 0;
  list.is_open = false;
  write_op.is_open = false;
  events = tevent_context_init (NULL);
  test_daemon = talloc_zero (events, struct bd_daemon);
  test_daemon->settings = &settings;
  test_daemon->events = events;
  test_daemon->clock = (struct bd_clock){ &clock_ops, NULL };
  test_daemon->rng = gsl_rng_alloc (gsl_rng_mt19937);
  bd_membership_init (&test_daemon->membership, test_daemon, &self, 1000);
  bd_store_init (&test_daemon->platform, &store_ops, NULL, events,
                 &test_daemon->clock, &test_daemon->counters, test_daemon->rng,
                 STORE_CALLS_PER_S, STORE_CALLS_PER_S);
  bd_daemon_start_claims (test_daemon);
  make_claimants ();
}

static void
finish (void)
{
  bd_store_finish (&test_daemon->platform);
  bd_daemon_finish_claims (test_daemon);
  gsl_rng_free (test_daemon->rng);
  json_decref (written);
  written = NULL;
  talloc_free (events);
}

/* Claims 0 and 1 are being written, 2 and 3 wait.  */
static void
start_batch (void)
{
  start ();
  submit (0, 2);
  reply_to_list (false);
  CU_ASSERT_TRUE_FATAL (write_op.is_open);
  submit (2, 2);
  now_ms += SLOW_WRITE_MS;
}

static void
check (uint32_t first, uint32_t count, bool is_granted)
{
  for (uint32_t i = first; i < first + count; i++)
    {
      CU_ASSERT_EQUAL_FATAL (claimants[i].is_done, is_granted);
      if (is_granted)
        CU_ASSERT_EQUAL (claimants[i].result, BD_CLAIM_GRANTED);
    }
}

static void
test_release_during_grant_grants_no_uncommitted_claim (void)
{
  start_batch ();
  claimants[0].has_left = true;
  reply_to_write (BD_OK);
  check (0, 2, true);
  check (2, 2, false);
  reply_to_write (BD_OK);
  check (2, 2, true);
  CU_ASSERT_EQUAL (max_writes_at_once, 1);
  finish ();
}

/* The write took effect, though its reply said otherwise.  */
static void
test_release_during_collection_grants_no_uncommitted_claim (void)
{
  start_batch ();
  claimants[0].has_left = true;
  reply_to_write (BD_ERR_CONFLICT);
  reply_to_list (true);
  check (0, 2, true);
  check (2, 2, false);
  CU_ASSERT_EQUAL (max_writes_at_once, 1);
  reply_to_write (BD_OK);
  check (2, 2, true);
  finish ();
}

/* The clock has moved on since the call was admitted, for example while the
   process was stopped.  */
static void
test_claim_after_the_deadline_is_held_for_weeks (void)
{
  struct bd_job *job;

  start ();
  job = talloc_zero (events, struct bd_job);
  job->daemon = test_daemon;
  job->account = "account";
  job->idempotency_key = "key";
  job->call.deadline_ms = now_ms - 1;
  bd_job_claim (job);
  CU_ASSERT_PTR_NOT_NULL_FATAL (job->claim);
  CU_ASSERT_EQUAL (job->claim->claim.hold_ms, 0);
  finish ();
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "release during grant grants no uncommitted claim",
            test_release_during_grant_grants_no_uncommitted_claim },
          { "release during collection grants no uncommitted claim",
            test_release_during_collection_grants_no_uncommitted_claim },
          { "claim after the deadline is held for weeks",
            test_claim_after_the_deadline_is_held_for_weeks } };

  unit_silence_log ();
  return UNIT_RUN ("daemon claims", tests);
}

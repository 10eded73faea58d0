/* Sends a daemon frames of peers and replies of the store whose form is valid
   and whose contents are odd.  The sanitizers find what they corrupt.  */

#include "daemon/job_internal.h"
#include "tests/loopback.h"
#include "tests/odd_frames.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  HTTP_PORT = 25700,
  PEER_PORT = 25701,
  LOST_PORT = 25799, /* Without a listener.  */
  SEED = 63,
  FRAMES = 20000,
  FRAMES_A_TURN = 10,
  MAX_PENDING = 256
};

static struct bd_settings settings;

#define SERVICE                                                               \
  "{\"revision\":2,\"services\":{\"s\":{\"generation\":1,\"file\":\"f\","     \
  "\"by\":\"b\",\"text\":\"service='s'\\npool='p'\\n[model]\\nname='m'\\n"    \
  "version='1'\\nmembers=1\\nreplicas_per_data_centre=2\\n[route]\\n\"}}}"
#define GROUP                                                                 \
  "{\"data_centre\":\"one\",\"keeper\":\"a\",\"term\":3,\"sequence\":1,"      \
  "\"groups\":[{\"id\":\"g\",\"service\":\"s\",\"model\":\"m\",\"version\":"  \
  "\"1\",\"domain\":\"d\",\"incarnation\":1,\"members\":[\"w-1\"]}]}"

/* Valid ones, and such that have the right form only.  */
static const char *documents[] = {
  "{\"revision\":1,\"services\":{},\"removed\":{},\"change\":{\"a\":1}}",
  "{\"revision\":2,\"services\":{\"s\":{\"generation\":1,\"file\":\"f\","
  "\"by\":\"b\",\"text\":\"service='s'\\npool='p'\\n[model]\\nname='m'\\n"
  "version='1'\\nmembers=2\\nreplicas_per_data_centre=2\\n[route]\\n\"}}}",
  "{\"revision\":3,\"services\":{\"s\":{\"generation\":1,\"text\":"
  "\"service='s'\\npool='p'\\n[route]\\nprefix='/x/'\\n\"}}}",
  "{\"revision\":9223372036854775807,\"services\":[]}",
  "{\"revision\":4,\"services\":null}",
  "{\"revision\":5,\"services\":{\"s\":7}}",
  "{\"base\":1,\"revision\":6,\"set\":[],\"unset\":{}}",
  "{\"base\":1,\"revision\":6,\"set\":{\"s\":null},\"unset\":[7,null,\"s\"]}",
  "{\"base\":2,\"revision\":7,\"set\":7,\"unset\":[\"s\"]}",
  "{\"data_centre\":\"one\",\"keeper\":\"a\",\"term\":1,\"sequence\":1,"
  "\"groups\":[{\"id\":\"g\",\"service\":\"s\",\"model\":\"m\",\"version\":"
  "\"1\",\"domain\":\"d\",\"incarnation\":1,\"drain\":\"none\",\"members\":["
  "\"w-1\",\"w-2\"]}]}",
  "{\"data_centre\":\"one\",\"keeper\":\"b\",\"term\":2,\"sequence\":7,"
  "\"groups\":[{\"id\":\"g\",\"incarnation\":-1,\"drain\":\"member\","
  "\"members\":[\"w-1\"]},{\"id\":\"h\",\"members\":[\"w-9\",\"w-3\"]}]}",
  "{\"data_centre\":\"one\",\"keeper\":\"a\",\"term\":9223372036854775807,"
  "\"sequence\":9223372036854775807,\"groups\":[]}",
  "{\"data_centre\":\"one\",\"term\":-9223372036854775808,\"groups\":[7,"
  "null,[]]}",
  "{\"groups\":{}}",
  "{\"instances\":[]}",
  "{\"instances\":[7,null,{},{\"name\":7},{\"name\":\"w-1\"}]}",
  "{\"instances\":{}}",
  "[]",
  "[[[[[[]]]]]]",
  "{}",
  "7",
  "null",
  "",
  "{",
  "\xff",
  SERVICE,
  SERVICE,
  SERVICE,
  GROUP,
  GROUP,
  GROUP,
  NULL, /* Lists of instances at addresses of this process.  */
  NULL,
  NULL,
  NULL,
};

enum
{
  DOCUMENT_COUNT = sizeof documents / sizeof documents[0]
};

static const char *names[] = {
  "a",
  "b",
  "c",
  "one",
  "two",
  "w-1",
  "w-2",
  "w-3",
  "g",
  "h",
  "s",
  "m",
  "p",
  "",
  "1",
  "nowhere",
  "256.1.1.1",
  "\xff\xfe",
  "\xc3",
  "x\xe2\x82",
  "012345678901234567890123456789012345678901234567890123456789012",
  "01234567890123456789012345678901",
  NULL, /* Address of this process.  */
};

enum
{
  NAME_COUNT = sizeof names / sizeof names[0]
};

static void
make_texts (void *ctx)
{
  const char *address = loopback_address ();

  documents[DOCUMENT_COUNT - 1] = talloc_asprintf (
      ctx,
      "{\"instances\":[{\"name\":\"w-1\",\"address\":\"%s\",\"port\":%u,"
      "\"data_centre\":\"one\",\"fabric_domain\":\"d\",\"pool\":\"p\"},"
      "{\"name\":\"w-2\",\"address\":\"%s\",\"port\":%u,\"data_centre\":"
      "\"one\",\"fabric_domain\":\"d\",\"pool\":\"p\",\"state\":\"leaving\"},"
      "{\"name\":\"w-3\",\"address\":\"%s\",\"port\":%u,\"data_centre\":"
      "\"one\",\"pool\":\"p\"},{\"name\":\"c\",\"address\":\"%s\",\"port\":"
      "%u,\"peer_port\":%u,\"data_centre\":\"two\",\"pool\":\"" BD_POOL_DAEMONS
      "\"}]}",
      address, LOST_PORT, address, LOST_PORT, address, LOST_PORT, address,
      LOST_PORT, LOST_PORT);
  documents[DOCUMENT_COUNT - 2] = talloc_asprintf (
      ctx,
      "{\"instances\":[{\"name\":\"w-1\",\"address\":\"%s\",\"port\":"
      "4294967295,\"data_centre\":\"one\",\"pool\":\"p\"},{\"name\":\"w-1\","
      "\"address\":\"%s\",\"port\":%u,\"data_centre\":\"one\",\"pool\":"
      "\"q\"}]}",
      address, address, LOST_PORT);
  documents[DOCUMENT_COUNT - 3] = documents[DOCUMENT_COUNT - 1];
  documents[DOCUMENT_COUNT - 4] = documents[DOCUMENT_COUNT - 1];
  names[NAME_COUNT - 1] = talloc_strdup (ctx, address);
  settings = (struct bd_settings){
    .name = "a",
    .data_centre = "one",
    .address = names[NAME_COUNT - 1],
    .http_port = HTTP_PORT,
    .peer_port = PEER_PORT,
    .advertised_peer_port = PEER_PORT,
    .platform_url = talloc_asprintf (ctx, "http://%s:%u", address, LOST_PORT),
    .instances_url
    = talloc_asprintf (ctx, "http://%s:%u/", address, LOST_PORT),
    .heartbeat_ms = 10,
    .poll_ms = 10,
    .dead_after_ms = 500,
    .freshness_ms = 300,
    .controller_bound_ms = 500,
    .max_connections = 64,
    .header_timeout_ms = 1000,
    .idle_timeout_ms = 1000,
    .grace_ms = 1000,
    .memory_mb = 64,
    .max_queued = 16,
    .reads_per_s = 10000,
    .writes_per_s = 10000,
    .loads_at_once = 8,
    .downtime_weight = 1,
    .stranded_weight = 1,
  };
}

/* Longer than a name, so that other documents take its place.  */
#define DOCUMENT                                                              \
  "{\"revision\":1,\"services\":{},\"removed\":{},\"change\":{\"a\":1},"      \
  "\"instances\":[]}"

static struct bd_usage usages[] = { { 1, 2.5 }, { 2, 1 } };
static const struct bd_heartbeat heartbeat = { .name = "b",
                                               .data_centre = "one",
                                               .address = "nowhere",
                                               .http_port = 1,
                                               .peer_port = LOST_PORT,
                                               .incarnation = 1,
                                               .usages = usages,
                                               .usage_count = 2 };
static struct bd_service_capacity capacities[] = { { 1, 2, 3 } };
static const struct bd_data_centre_status data_centre
    = { .name = "two",
        .live = 1,
        .lowest_revision = 1,
        .address = "nowhere",
        .http_port = 1,
        .capacities = capacities,
        .capacity_count = 1 };
static const struct bd_state_request state_request = { "b", true, true, true };
static const struct bd_document document = { DOCUMENT };
static struct bd_instance_report instance_items[]
    = { { .instance = "w-1",
          .age_ms = 1,
          .phase = BD_PHASE_READY,
          .group = "g",
          .incarnation = 1,
          .model = "m",
          .version = "1",
          .running = 1 } };
static const struct bd_instance_reports instance_reports
    = { instance_items, 1 };
static struct bd_group_report group_items[] = { { 1, 1, 1, 1 } };
static const struct bd_group_reports group_reports = { group_items, 1 };
static struct bd_poison_evidence evidence[]
    = { { .subject = 4, .target = 1, .request = 4, .reporter = 2 },
        { .subject = 5, .target = 1, .request = 4, .reporter = 3 } };
static const struct bd_poison_update poison = { evidence, 2, 0 };
static const struct bd_claim_request claim = { .reply_address = "nowhere",
                                               .reply_port = LOST_PORT,
                                               .id = "1",
                                               .key = "2",
                                               .fingerprint = 1,
                                               .content_type = "text/plain",
                                               .body = "",
                                               .hold_ms = 1 };
static const struct bd_claim_reply claim_reply
    = { .id = "1", .status = 200, .content_type = "", .body = "" };
static const struct bd_list_request list_request = { "b", 1, 1 };
static const struct bd_list_reply list_reply = { 1, 1, 1, DOCUMENT };

static const struct
{
  enum bd_message_type type;
  const void *message;
} messages[] = {
  { BD_MESSAGE_HEARTBEAT, &heartbeat },
  { BD_MESSAGE_DATA_CENTRE, &data_centre },
  { BD_MESSAGE_REMOTE_CAPACITY, &data_centre },
  { BD_MESSAGE_STATE_REQUEST, &state_request },
  { BD_MESSAGE_CONFIG, &document },
  { BD_MESSAGE_ASSIGNMENT, &document },
  { BD_MESSAGE_INSTANCES, &document },
  { BD_MESSAGE_INSTANCE_REPORTS, &instance_reports },
  { BD_MESSAGE_GROUP_REPORTS, &group_reports },
  { BD_MESSAGE_POISON, &poison },
  { BD_MESSAGE_CLAIM, &claim },
  { BD_MESSAGE_CLAIM_REPLY, &claim_reply },
  { BD_MESSAGE_LIST_REQUEST, &list_request },
  { BD_MESSAGE_LIST_REPLY, &list_reply },
};

/* An operation that the store has not replied to.  */
struct pending_op
{
  char *key;
  enum bd_object_kind kind;
  bd_object_done *done;
  void *ctx;
};

static struct pending_op pending_ops[MAX_PENDING];
static uint32_t pending_count;

static bool
start_op (void *api, const struct bd_object_op *op, bd_object_done *done,
          void *ctx)
{
  (void)api;
  if (pending_count == MAX_PENDING)
    return false;
  pending_ops[pending_count++]
      = (struct pending_op){ g_strdup (op->key), op->kind, done, ctx };
  return true;
}

static const struct bd_object_api_ops odd_store_ops = { start_op };

static json_t *
odd_value (const struct odd_frames *odd)
{
  const char *text = documents[odd_pick (odd, DOCUMENT_COUNT)];
  json_t *data = json_loads (text, JSON_DECODE_ANY, NULL);

  if (odd_pick (odd, 2 * ODD_ONE_IN) == 0)
    return data != NULL ? data : json_null ();
  return json_pack ("{s:s,s:[s,i,n],s:o}", "write_id", "w", "recent", "v", 7,
                    "data", data != NULL ? data : json_null ());
}

static json_t *
odd_items (const struct odd_frames *odd, const char *key)
{
  json_t *items = json_array ();

  for (uint32_t i = odd_pick (odd, 4); i > 0; i--)
    json_array_append_new (
        items, json_pack ("{s:s+,s:i,s:o}", "key", key,
                          odd_pick (odd, 2) == 0 ? "/1" : "x", "version",
                          (int)odd_pick (odd, 3), "value", odd_value (odd)));
  return items;
}

static void
reply_to (const struct odd_frames *odd, struct pending_op op)
{
  static const enum bd_error errors[]
      = { BD_ERR_NOT_FOUND, BD_ERR_CONFLICT, BD_ERR_HISTORY_GONE,
          BD_ERR_UNREADABLE };
  bool is_read = op.kind == BD_OBJECT_READ;
  bool has_items = op.kind == BD_OBJECT_LIST || op.kind == BD_OBJECT_WATCH;
  struct bd_object_reply reply
      = { .version = odd_pick (odd, 3), .revision = odd_pick (odd, 100) };

  if (odd_pick (odd, ODD_ONE_IN) == 0)
    reply.error = errors[odd_pick (odd, sizeof errors / sizeof errors[0])];
  else if (is_read)
    reply.value = odd_value (odd);
  else if (has_items)
    reply.items = odd_items (odd, op.key);
  op.done (op.ctx, &reply);
  json_decref (reply.value);
  json_decref (reply.items);
  g_free (op.key);
}

/* Replies to the operations that are open now.  */
static void
reply_to_all (const struct odd_frames *odd)
{
  struct pending_op ops[MAX_PENDING];
  uint32_t count = pending_count;

  memcpy (ops, pending_ops, count * sizeof *ops);
  pending_count = 0;
  for (uint32_t i = 0; i < count; i++)
    reply_to (odd, ops[i]);
}

static void
handle_turn_end (void *is_over)
{
  *(bool *)is_over = true;
}

/* Runs what is due.  */
static void
run_turn (struct bd_daemon *daemon)
{
  bool is_over = false;

  bd_timer_add (daemon->events, daemon, 1, handle_turn_end, &is_over);
  while (!is_over)
    tevent_loop_once (daemon->events);
}

static bool
is_store_idle (const struct bd_daemon *daemon)
{
  for (uint32_t i = 0; i < BD_PRIORITY_COUNT; i++)
    if (daemon->platform.first[i] != NULL)
      return false;
  return pending_count == 0;
}

/* Ends what waits for the store.  */
static void
end_operations (struct bd_daemon *daemon)
{
  daemon->is_stopping = true;
  while (!is_store_idle (daemon))
    {
      struct pending_op op;
      struct bd_object_reply reply = { .error = BD_ERR_CONFLICT };

      if (pending_count == 0)
        {
          run_turn (daemon);
          continue;
        }
      op = pending_ops[--pending_count];
      if (op.kind == BD_OBJECT_READ)
        reply.error = BD_ERR_NOT_FOUND;
      else if (op.kind != BD_OBJECT_WATCH)
        reply.error = BD_OK;
      op.done (op.ctx, &reply);
      g_free (op.key);
    }
}

static void
test_odd_frame_ends_the_process (void)
{
  void *ctx = talloc_new (NULL);
  struct tevent_context *events = tevent_context_init (ctx);
  struct odd_frames odd = { .rng = gsl_rng_alloc (gsl_rng_mt19937),
                            .names = names,
                            .name_count = NAME_COUNT,
                            .documents = documents,
                            .document_count = DOCUMENT_COUNT };
  uint32_t handled = 0;
  struct bd_daemon *daemon;

  gsl_rng_set (odd.rng, getenv ("ODD_SEED") != NULL
                            ? strtoul (getenv ("ODD_SEED"), NULL, 10)
                            : SEED);
  make_texts (ctx);
  daemon = bd_daemon_start (ctx, events, &settings);
  CU_ASSERT_PTR_NOT_NULL_FATAL (daemon);
  daemon->platform.ops = &odd_store_ops;
  daemon->platform.max_backoff_ms = 1;
  daemon->started_ms = 1;
  for (uint32_t i = 0; i < FRAMES; i++)
    {
      uint32_t kind = odd_pick (&odd, sizeof messages / sizeof messages[0]);
      void *message
          = odd_frame (&odd, ctx, messages[kind].type, messages[kind].message);

      if (message != NULL)
        {
          daemon->peers.handler (daemon->peers.ctx, messages[kind].type,
                                 message);
          handled++;
        }
      talloc_free (message);
      if (i % FRAMES_A_TURN == 0)
        {
          run_turn (daemon);
          reply_to_all (&odd);
        }
    }
  CU_ASSERT_TRUE (handled > FRAMES / 4);
  end_operations (daemon);
  bd_daemon_finish (daemon);
  gsl_rng_free (odd.rng);
  talloc_free (ctx);
}

/* What peers and endpoints report need not be valid UTF-8, also where a name
   was cut.  */
static void
test_order_for_an_odd_report_ends_the_process (void)
{
  static const char assignment[]
      = "{\"data_centre\":\"one\",\"keeper\":\"a\",\"term\":1,"
        "\"sequence\":1,\"groups\":[]}";
  void *ctx = talloc_new (NULL);
  struct tevent_context *events = tevent_context_init (ctx);
  struct bd_instance_report item = instance_items[0];
  struct bd_instance_reports reports = { &item, 1 };
  json_t *value = json_loads (assignment, 0, NULL);
  struct bd_daemon *daemon;

  make_texts (ctx);
  daemon = bd_daemon_start (ctx, events, &settings);
  CU_ASSERT_PTR_NOT_NULL_FATAL (daemon);
  daemon->platform.ops = &odd_store_ops;
  daemon->started_ms = 1;
  bd_daemon_receive_instances (daemon, documents[DOCUMENT_COUNT - 1]);
  bd_daemon_adopt_assignment (daemon, value, bd_daemon_now_ms (daemon));
  bd_name_copy (item.model, "m\xff");
  bd_daemon_receive_digest (daemon, &reports);
  bd_daemon_control_groups (daemon);
  CU_ASSERT_EQUAL (daemon->counters.value[BD_COUNT_ORDERS], 0);
  bd_name_copy (item.instance, "w-2");
  bd_name_copy (item.model, "m");
  bd_daemon_receive_digest (daemon, &reports);
  bd_daemon_control_groups (daemon);
  CU_ASSERT_EQUAL (daemon->counters.value[BD_COUNT_ORDERS], 1);
  json_decref (value);
  while (pending_count > 0)
    g_free (pending_ops[--pending_count].key);
  bd_daemon_finish (daemon);
  talloc_free (ctx);
}

static struct bd_job *
add_job (struct bd_daemon *daemon, struct bd_job *next)
{
  struct bd_job *job = talloc_zero (daemon, struct bd_job);

  job->daemon = daemon;
  bd_name_copy (job->service, "s");
  job->account = talloc_strdup (job, "acc");
  job->idempotency_key = talloc_strdup (job, "k");
  job->next = next;
  if (next != NULL)
    next->prev = job;
  daemon->jobs = job;
  daemon->job_count++;
  return job;
}

/* The end of a parked call settles the claim of the next one in the list,
   whose key another call holds.  */
static void
test_claim_settled_by_another_call_frees_its_job (void)
{
  void *ctx = talloc_new (NULL);
  struct tevent_context *events = tevent_context_init (ctx);
  struct bd_shard_queue *shard;
  struct bd_daemon *daemon;
  struct bd_job *waiting;
  struct bd_job *parked;
  char key[BD_ID_SIZE];
  json_t *items;

  make_texts (ctx);
  daemon = bd_daemon_start (ctx, events, &settings);
  CU_ASSERT_PTR_NOT_NULL_FATAL (daemon);
  daemon->platform.ops = &odd_store_ops;
  bd_claim_key ("acc", "s", "k", key);
  shard = &daemon->shards[bd_shard_of (key)];
  items = json_pack (
      "[{s:s,s:i,s:{s:{s:i,s:[[s,s,s,i,I,i]]}}}]", "key", "claims/3/0",
      "version", 5, "value", "data", "segment", 1, "rows", "t", key, "other",
      0, (json_int_t)bd_clock_calendar_ms (&daemon->clock), INT32_MAX);
  CU_ASSERT_TRUE (bd_shard_load (&shard->shard, items,
                                 bd_clock_calendar_ms (&daemon->clock)));
  waiting = add_job (daemon, NULL);
  waiting->call.state = BD_CALL_CLAIMING;
  parked = add_job (daemon, waiting);
  parked->call.state = BD_CALL_RUNNING;
  parked->is_parked = true;
  memcpy (parked->claim_key, key, BD_ID_SIZE);
  bd_name_copy (parked->service, "t");
  shard->commit_started_ms = bd_daemon_now_ms (daemon);
  bd_job_claim (waiting);
  shard->commit_started_ms = 0;
  CU_ASSERT_EQUAL (daemon->job_count, 2);
  bd_daemon_dispatch_all (daemon);
  while (daemon->job_count > 0)
    run_turn (daemon);
  json_decref (items);
  while (pending_count > 0)
    g_free (pending_ops[--pending_count].key);
  bd_daemon_finish (daemon);
  talloc_free (ctx);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "order for an odd report ends the process",
      test_order_for_an_odd_report_ends_the_process },
    { "claim settled by another call frees its job",
      test_claim_settled_by_another_call_frees_its_job },
    { "odd frame ends the process", test_odd_frame_ends_the_process },
  };

  unit_silence_log ();
  return UNIT_RUN ("daemon_odd_frames", tests);
}

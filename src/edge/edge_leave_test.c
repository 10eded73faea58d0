/* Checks that callers keep their streams when the store removes the entries of
   endpoints that have not said that they leave and go on serving, and that
   streams of dead endpoints go on elsewhere.  */

#include "edge/edge_internal.h"
#include "platform/platform.h"
#include "tests/fakes/site.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

enum
{
  READY_MS = 10000,
  POOL_WORKERS = 6,
  GROUPS = 3,
  CALLS = 6,
  STREAM_EVENTS = 12,
  EVENT_MS = 80,
  STREAM_ROUTE = 2,
  /* For longer than expired entries take to be listed again.  */
  LISTED_MS = 3000,
  /* For which an endpoint serves after its entry was removed.  */
  SERVING_MS = 2000,
  ABSENT_MS = 1000,
  IN_TURN_MS = 500,
  STORE_DOWN_MS = 2000,
  /* Until the entry of a silent endpoint is removed.  */
  EXPIRY_MS = 900,
  /* A stream whose endpoint does not recover goes on elsewhere within this
     time.  */
  MOVED_MS = 1500,
  /* Until a group whose member is dead and no longer listed has to leave.  */
  DISSOLVED_MS = 1000
};

static struct site site;
static struct site_call *calls[CALLS];
static uint32_t whole_count;
static uint32_t cut_count;
static uint32_t refused_count;
static int64_t longest_ms;

static void
note_call (const struct site_call *call)
{
  if (call->status != 200)
    refused_count++;
  else if (site_is_stream_whole (call, STREAM_EVENTS))
    whole_count++;
  else
    cut_count++;
  if (call->took_ms > longest_ms)
    longest_ms = call->took_ms;
}

/* Runs one stream after the other.  */
static void
renew_calls (void)
{
  for (uint32_t i = 0; i < CALLS; i++)
    {
      if (calls[i] != NULL && !calls[i]->is_done)
        continue;
      if (calls[i] != NULL)
        note_call (calls[i]);
      calls[i] = site_start_call (&site, "POST", "/stream/x", "k1", "m");
    }
}

static void
finish_calls (void)
{
  for (uint32_t i = 0; i < CALLS; i++)
    {
      while (!calls[i]->is_done)
        tevent_loop_once (site.events);
      note_call (calls[i]);
    }
}

static bool
renew_only (struct site *s)
{
  (void)s;
  renew_calls ();
  return false;
}

static void
serve (int64_t ms)
{
  site_run (&site, renew_only, ms);
}

static bool
is_open_leader (const struct site_worker *worker)
{
  const json_t *state = json_object_get (worker->group, "State");

  return worker->is_listed && !worker->is_down && state != NULL
         && strcmp (json_string_value (state), "open") == 0;
}

static uint32_t
count_open_groups (void)
{
  uint32_t open = 0;

  for (uint32_t i = 0; i < site.worker_count; i++)
    open += is_open_leader (&site.workers[i]);
  return open;
}

static bool
all_groups_serve (struct site *s)
{
  renew_calls ();
  for (uint32_t i = 0; i < s->worker_count; i++)
    if (is_open_leader (&s->workers[i]) && s->workers[i].stream_count == 0)
      return false;
  return count_open_groups () == GROUPS;
}

static uint32_t expected_groups;

static bool
has_expected_groups (struct site *s)
{
  (void)s;
  renew_calls ();
  return count_open_groups () == expected_groups;
}

static struct site_worker *
leader_of_group (uint32_t index)
{
  for (uint32_t i = 0; i < site.worker_count; i++)
    if (is_open_leader (&site.workers[i]) && index-- == 0)
      return &site.workers[i];
  return NULL;
}

static struct site_worker *
other_member (const struct site_worker *leader)
{
  for (uint32_t i = 0; i < site.worker_count; i++)
    if (&site.workers[i] != leader
        && json_equal (json_object_get (site.workers[i].group, "Name"),
                       json_object_get (leader->group, "Name")))
      return &site.workers[i];
  return NULL;
}

/* The endpoints have been listed for LISTED_MS.  */
static void
age_listing (void)
{
  GHashTableIter iter;
  gpointer endpoint;

  g_hash_table_iter_init (&iter, site.edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &endpoint))
    ((struct bd_fleet_endpoint *)endpoint)->listed_ms -= LISTED_MS;
}

static void
start (int max_attempts)
{
  memset (calls, 0, sizeof calls);
  whole_count = 0;
  cut_count = 0;
  refused_count = 0;
  longest_ms = 0;
  site_start_platform (&site, 0, POOL_WORKERS);
  site.settings.bounds.revoke_fail_closed = false;
  site.edge = bd_edge_start (site.events, site.events, &site.settings,
                             &bd_platform_adapter);
  site.slow_event_ms = EVENT_MS;
  json_object_set_new (
      json_array_get (json_object_get (site.config, "Routes"), STREAM_ROUTE),
      "MaxAttempts", json_integer (max_attempts));
  site_publish (&site);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_has_groups, READY_MS));
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = WORKER_SLOW;
  age_listing ();
  CU_ASSERT_TRUE_FATAL (site_run (&site, all_groups_serve, READY_MS));
}

static void
set_listed (struct site_worker *worker, bool is_listed)
{
  worker->is_listed = is_listed;
  site_list_worker (worker);
}

/* The rest of the instances form groups, and no stream was broken off.  */
static void
finish (uint32_t groups)
{
  const uint64_t *counts = site.edge->counters.value;

  expected_groups = groups;
  CU_ASSERT_TRUE (site_run (&site, has_expected_groups, READY_MS));
  finish_calls ();
  CU_ASSERT_TRUE (whole_count > CALLS);
  CU_ASSERT_EQUAL (cut_count, 0);
  CU_ASSERT_EQUAL (refused_count, 0);
  CU_ASSERT_EQUAL (counts[BD_COUNT_CUT_BY_FAILURE], 0);
  CU_ASSERT_EQUAL (counts[BD_COUNT_ATTEMPTS_BROKEN], 0);
  CU_ASSERT_EQUAL (counts[BD_COUNT_ORDERS_CUTTING], 0);
  CU_ASSERT_EQUAL (counts[BD_COUNT_POISON_CRASHES], 0);
  CU_ASSERT_EQUAL (site.stolen_joins, 0);
  site_finish (&site);
}

static struct site_worker *
worker_of_first_group (bool is_leader)
{
  struct site_worker *leader = leader_of_group (0);

  return is_leader ? leader : other_member (leader);
}

static void
check_removed_entry (bool is_leader)
{
  struct site_worker *worker;

  start (1);
  worker = worker_of_first_group (is_leader);
  set_listed (worker, false);
  serve (SERVING_MS);
  worker->is_down = true;
  finish (GROUPS - 1);
}

static void
test_removed_entry_of_member_cuts_streams (void)
{
  check_removed_entry (false);
}

static void
test_removed_entry_of_leader_cuts_streams (void)
{
  check_removed_entry (true);
}

static void
test_removed_entries_of_group_cut_streams (void)
{
  struct site_worker *leader;
  struct site_worker *member;

  start (1);
  leader = leader_of_group (0);
  member = other_member (leader);
  set_listed (leader, false);
  set_listed (member, false);
  serve (SERVING_MS);
  leader->is_down = true;
  member->is_down = true;
  finish (GROUPS - 1);
}

/* The other members of both groups form one.  */
static void
test_entries_removed_in_turn_cut_streams (void)
{
  struct site_worker *leader;
  struct site_worker *member;

  start (1);
  leader = leader_of_group (0);
  member = other_member (leader_of_group (1));
  set_listed (leader, false);
  serve (IN_TURN_MS);
  set_listed (member, false);
  serve (SERVING_MS);
  leader->is_down = true;
  member->is_down = true;
  finish (GROUPS - 1);
}

static void
check_entry_that_returns (bool is_leader)
{
  struct site_worker *worker;

  start (1);
  worker = worker_of_first_group (is_leader);
  set_listed (worker, false);
  serve (ABSENT_MS);
  set_listed (worker, true);
  serve (SERVING_MS);
  finish (GROUPS);
}

static void
test_entry_of_member_that_returns_cuts_streams (void)
{
  check_entry_that_returns (false);
}

static void
test_entry_of_leader_that_returns_cuts_streams (void)
{
  check_entry_that_returns (true);
}

/* The entries of one group are back a second after the store.  */
static void
test_entries_that_expire_beside_outage_cut_streams (void)
{
  struct site_worker *leader;
  struct site_worker *member;

  start (1);
  leader = leader_of_group (0);
  member = other_member (leader);
  site.store_mode = STORE_DOWN;
  site_abort_watches (&site);
  set_listed (leader, false);
  set_listed (member, false);
  serve (STORE_DOWN_MS);
  site.store_mode = STORE_HEALTHY;
  serve (ABSENT_MS);
  set_listed (leader, true);
  set_listed (member, true);
  serve (SERVING_MS);
  finish (GROUPS);
}

/* The endpoint has ended, and another one has its address.  */
static void
replace_worker (struct site_worker *worker, const char *service,
                const char *domain)
{
  static uint32_t serial;

  worker->is_down = true;
  serve (IN_TURN_MS);
  snprintf (worker->id, sizeof worker->id, "n-%u", serial++);
  worker->service = service;
  worker->domain = domain;
  worker->is_down = false;
  worker->is_listed = true;
  worker->heartbeats = 0;
  worker->order_count = 0;
  site_restart_worker (worker);
}

static void
check_reused_address (bool is_leader, const char *service, const char *domain,
                      uint32_t groups)
{
  struct site_worker *worker;

  start (1);
  worker = worker_of_first_group (is_leader);
  set_listed (worker, false);
  serve (SERVING_MS);
  replace_worker (worker, service, domain);
  serve (SERVING_MS);
  finish (groups);
}

static void
test_address_of_member_used_again_cuts_streams (void)
{
  check_reused_address (false, "pool", "d0", GROUPS);
}

static void
test_address_of_leader_used_again_cuts_streams (void)
{
  check_reused_address (true, "pool", "d0", GROUPS);
}

static void
test_address_used_again_by_other_service_cuts_streams (void)
{
  check_reused_address (true, "plain", "", GROUPS - 1);
}

static struct site_worker *dying_leader;

static bool
has_left (struct site *s)
{
  (void)s;
  renew_calls ();
  return dying_leader->leave_count > 0;
}

/* Streams go on elsewhere.  */
static void
finish_dead (void)
{
  serve (SERVING_MS);
  finish_calls ();
  CU_ASSERT_TRUE (whole_count > CALLS);
  CU_ASSERT_EQUAL (cut_count, 0);
  CU_ASSERT_EQUAL (refused_count, 0);
  CU_ASSERT_TRUE (longest_ms < STREAM_EVENTS * EVENT_MS + MOVED_MS);
  site_finish (&site);
}

/* A member falls silent, its leader's streams stall, and its entry expires:
   the leader has to leave.  */
static void
test_dead_member_that_is_no_longer_listed_holds_streams (void)
{
  struct site_worker *member;

  start (2);
  dying_leader = leader_of_group (0);
  member = other_member (dying_leader);
  member->mode = WORKER_UNRESPONSIVE;
  dying_leader->mode = WORKER_STALLING;
  serve (EXPIRY_MS);
  set_listed (member, false);
  CU_ASSERT_TRUE (site_run (&site, has_left, DISSOLVED_MS));
  finish_dead ();
}

static void
test_dead_leader_that_is_no_longer_listed_holds_streams (void)
{
  struct site_worker *leader;

  start (2);
  leader = leader_of_group (0);
  leader->mode = WORKER_UNRESPONSIVE;
  serve (EXPIRY_MS);
  set_listed (leader, false);
  finish_dead ();
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "removed entry of member cuts streams",
      test_removed_entry_of_member_cuts_streams },
    { "removed entry of leader cuts streams",
      test_removed_entry_of_leader_cuts_streams },
    { "removed entries of group cut streams",
      test_removed_entries_of_group_cut_streams },
    { "entries removed in turn cut streams",
      test_entries_removed_in_turn_cut_streams },
    { "entry of member that returns cuts streams",
      test_entry_of_member_that_returns_cuts_streams },
    { "entry of leader that returns cuts streams",
      test_entry_of_leader_that_returns_cuts_streams },
    { "entries that expire beside outage cut streams",
      test_entries_that_expire_beside_outage_cut_streams },
    { "address of member used again cuts streams",
      test_address_of_member_used_again_cuts_streams },
    { "address of leader used again cuts streams",
      test_address_of_leader_used_again_cuts_streams },
    { "address used again by other service cuts streams",
      test_address_used_again_by_other_service_cuts_streams },
    { "dead member that is no longer listed holds streams",
      test_dead_member_that_is_no_longer_listed_holds_streams },
    { "dead leader that is no longer listed holds streams",
      test_dead_leader_that_is_no_longer_listed_holds_streams },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_leave", tests);
}

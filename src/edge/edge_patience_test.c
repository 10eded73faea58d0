/* Checks what callers of streams get that leave after a gap, long before their
   deadline, beside a fake platform.  */

#include "edge/edge_internal.h"
#include "tests/fakes/site.h"
#include "tests/quiet.h"
#include "tests/unit.h"

enum
{
  STREAM_ROUTE = 2,
  CALLER_GAP_MS = 2000, /* Of the site's stream route.  */
  LONG_TIMEOUT_MS = 20000,
  ABANDONED_AFTER_MS = 1850,
  LEFT_AFTER_MS = 600,
  CLOSE_MS = 300,
  CALLERS = 3
};

static struct site site;

/* Sends a request whose caller leaves after a time.  */
static struct site_call *
start_caller (uint32_t leaves_after_ms)
{
  site.deadline_ms = "20000";
  site.call_timeout_ms = leaves_after_ms;
  return site_start_call (&site, "POST", "/stream/x", "k1", "m");
}

static void
start_site (enum worker_mode mode)
{
  site_start (&site, 0, 4);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_has_groups, 10000));
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = mode;
}

static bool
has_version (struct site *s)
{
  return s->edge->routes->version == s->version;
}

static void
set_timeout (uint32_t timeout_ms)
{
  json_t *routes = json_object_get (site.config, "Routes");

  json_object_set_new (json_array_get (routes, STREAM_ROUTE), "TimeoutMs",
                       json_integer (timeout_ms));
  site_publish (&site);
  CU_ASSERT_TRUE (site_run (&site, has_version, 3000));
}

static uint64_t
run_callers (uint32_t leave_after_ms, uint32_t *unanswered)
{
  struct site_call *callers[CALLERS];

  for (uint32_t i = 0; i < CALLERS; i++)
    callers[i] = start_caller (leave_after_ms);
  site_wait (&site, leave_after_ms + CLOSE_MS);
  *unanswered = 0;
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      CU_ASSERT_TRUE (callers[i]->is_done);
      *unanswered += callers[i]->status == 0;
    }
  return site.edge->counters.value[BD_COUNT_CALLERS_ABANDONED];
}

static void
test_caller_without_a_first_event_counts_like_one_that_left (void)
{
  uint32_t unanswered;

  start_site (WORKER_UNRESPONSIVE);
  CU_ASSERT_EQUAL (run_callers (LEFT_AFTER_MS, &unanswered), 0);
  CU_ASSERT_EQUAL (unanswered, CALLERS);
  CU_ASSERT_EQUAL (site.edge->counters.value[BD_COUNT_CALLERS_DISCONNECTED],
                   CALLERS);
  CU_ASSERT_EQUAL (run_callers (ABANDONED_AFTER_MS, &unanswered), unanswered);
  CU_ASSERT_EQUAL (site.edge->counters.value[BD_COUNT_CALLERS_DISCONNECTED],
                   CALLERS);
  site_finish (&site);
}

static void
test_waiting_caller_leaves_before_it_is_refused (void)
{
  struct site_call *caller;

  site_start (&site, 0, 1);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, 10000));
  set_timeout (LONG_TIMEOUT_MS);
  caller = start_caller (CALLER_GAP_MS);
  site_wait (&site, CALLER_GAP_MS + CLOSE_MS);
  CU_ASSERT_TRUE (caller->is_done);
  CU_ASSERT_EQUAL (caller->status, 503);
  CU_ASSERT_EQUAL (site.edge->counters.value[BD_COUNT_CALLERS_ABANDONED], 0);
  site_finish (&site);
}

static void
test_sent_request_gets_no_answer_before_its_caller_leaves (void)
{
  struct site_call *callers[CALLERS];

  start_site (WORKER_UNRESPONSIVE);
  set_timeout (LONG_TIMEOUT_MS);
  for (uint32_t i = 0; i < CALLERS; i++)
    callers[i] = start_caller (CALLER_GAP_MS);
  site_wait (&site, CALLER_GAP_MS + CLOSE_MS);
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      CU_ASSERT_TRUE (callers[i]->is_done);
      CU_ASSERT_EQUAL (callers[i]->status, 504);
    }
  CU_ASSERT_EQUAL (site.edge->counters.value[BD_COUNT_CALLERS_ABANDONED], 0);
  site_finish (&site);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "caller without a first event counts like one that left",
      test_caller_without_a_first_event_counts_like_one_that_left },
    { "waiting caller leaves before it is refused",
      test_waiting_caller_leaves_before_it_is_refused },
    { "sent request gets no answer before its caller leaves",
      test_sent_request_gets_no_answer_before_its_caller_leaves },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge patience", tests);
}

/* Checks that headers with numbers that cannot be true, from callers and from
   endpoints, count as absent.  */

#include "platform/platform.h"
#include "tests/fakes/site.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <stdlib.h>

enum
{
  READY_MS = 10000,
  OTHERS = 3, /* Fewer than a group's slots.  */
  TRIES = 5,
  BATCH = 8,
  MIN_LEFT_MS = 3000 /* Of the 4000 of the route.  */
};

static struct site site;

static void
wait_for (const struct site_call *call)
{
  while (!call->is_done)
    tevent_loop_once (site.events);
  CU_ASSERT_EQUAL (call->status, 200);
}

static uint32_t sent_count;

/* Whether the requests that were sent have reached the workers.  */
static bool
has_sent_requests (struct site *s)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < s->worker_count; i++)
    count += s->workers[i].request_count;
  return count >= sent_count;
}

static struct site_worker *
busy_worker (void)
{
  for (uint32_t i = 0; i < site.worker_count; i++)
    if (site.workers[i].request_count > 0)
      return &site.workers[i];
  return NULL;
}

/* Sends a request with odd counts, and others while it is read.  Returns the
   number of the others that its group got.  */
static uint32_t
count_others (const char *token_counts)
{
  struct site_call *calls[1 + OTHERS];
  const struct site_worker *worker = NULL;
  uint32_t count;

  site_start (&site, 0, 4);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_has_groups, READY_MS));
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = WORKER_LATE;
  site.token_counts = token_counts;
  for (sent_count = 0; sent_count <= OTHERS;)
    {
      calls[sent_count++]
          = site_start_call (&site, "POST", "/stream/x", "k1", "m");
      CU_ASSERT_TRUE (site_run (&site, has_sent_requests, READY_MS));
      if (worker == NULL)
        worker = busy_worker ();
      site.token_counts = NULL;
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (worker);
  count = worker->request_count - 1;
  for (uint32_t i = 0; i <= OTHERS; i++)
    wait_for (calls[i]);
  site_finish (&site);
  return count;
}

/* While a request is read whose length is taken for billions of tokens, its
   group counts as busy for hours.  */
static void
test_counts_out_of_range_keep_others_away (void)
{
  static const char *const counts[]
      = { "100,12", "-1,12", "-1", "99999999999999999999,12", "4294967295,1" };

  for (uint32_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      uint32_t count = 0;

      /* Two groups that are loaded alike are drawn.  */
      for (uint32_t j = 0; j < TRIES && count == 0; j++)
        count = count_others (counts[i]);
      CU_ASSERT_TRUE (count > 0);
      if (count == 0)
        printf ("\n'%s'\n", counts[i]);
    }
}

/* Sends requests at once, and waits for their responses.  */
static void
send_batch (void)
{
  struct site_call *calls[BATCH];

  for (uint32_t i = 0; i < BATCH; i++)
    calls[i] = site_start_call (&site, "GET", "/safe/x", "k1", NULL);
  for (uint32_t i = 0; i < BATCH; i++)
    wait_for (calls[i]);
}

/* An endpoint that says that it runs billions of requests gets none.  */
static void
test_load_out_of_range_keeps_requests_away (void)
{
  static const char *const loads[]
      = { "0,0,8", "-1,0,8", "0,-1,8", "4294967295,0,8",
          "99999999999999999999,0,8" };

  for (uint32_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    {
      uint32_t before;

      site_start (&site, 2, 0);
      CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
      site.workers[0].load = loads[i];
      send_batch ();
      before = site.workers[0].request_count;
      CU_ASSERT_TRUE (before > 0);
      send_batch ();
      CU_ASSERT_TRUE (site.workers[0].request_count > before);
      if (site.workers[0].request_count == before)
        printf ("\n'%s'\n", loads[i]);
      site_finish (&site);
    }
}

static void
test_deadline_that_is_no_number_leaves_no_time (void)
{
  static const char *const deadlines[] = { "soon", "4s", "1 2", "0x10", "-1" };

  site_start (&site, 1, 0);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_is_ready, READY_MS));
  for (uint32_t i = 0; i < sizeof deadlines / sizeof deadlines[0]; i++)
    {
      site.deadline_ms = deadlines[i];
      CU_ASSERT_EQUAL (site_call (&site, "GET", "/safe/x", "k1", NULL)->status,
                       200);
      CU_ASSERT_TRUE (atoi (site.workers[0].last_deadline) > MIN_LEFT_MS);
    }
  site_finish (&site);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "counts out of range keep others away",
      test_counts_out_of_range_keep_others_away },
    { "load out of range keeps requests away",
      test_load_out_of_range_keeps_requests_away },
    { "deadline that is no number leaves no time",
      test_deadline_that_is_no_number_leaves_no_time },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_headers", tests);
}

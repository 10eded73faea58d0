/* Tests of error kinds, counters, ids and the clock interface.  */

#include "tests/unit.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/error.h"
#include "base/ids.h"

#include <string.h>
#include <talloc.h>

static void
test_every_error_has_a_response (void)
{
  for (int i = 0; i < BD_ERR_COUNT; i++)
    {
      CU_ASSERT_PTR_NOT_NULL_FATAL (bd_error_name (i));
      CU_ASSERT_TRUE (strlen (bd_error_text (i)) > 0);
      CU_ASSERT_TRUE (bd_error_http_status (i) >= 200);
      /* An error that allows a retry is never the caller's fault.  */
      if (bd_error_is_temporary (i))
        CU_ASSERT_TRUE (bd_error_http_status (i) >= 409);
      for (int j = 0; j < i; j++)
        CU_ASSERT_STRING_NOT_EQUAL (bd_error_name (i), bd_error_name (j));
    }
  CU_ASSERT_STRING_EQUAL (bd_run_state_name (BD_NOT_RUN), "not-run");
}

static void
test_counters_are_rendered (void)
{
  struct bd_counters counters = { 0 };
  char *text;

  bd_count (&counters, BD_COUNT_REQUESTS);
  bd_count_add (&counters, BD_COUNT_REQUESTS, 41);
  text = bd_counters_render (&counters, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\nburdockdale_requests_total 42\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "# TYPE burdockdale_shed_total counter\n"));
  talloc_free (text);
}

static void
test_ids (void)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  char a[BD_ID_SIZE];
  char b[BD_ID_SIZE];
  char name[BD_NAME_SIZE];
  char long_name[200];

  bd_id_make (rng, a);
  bd_id_make (rng, b);
  CU_ASSERT_EQUAL (strlen (a), BD_ID_SIZE - 1);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  CU_ASSERT_NOT_EQUAL (bd_hash_pair ("a", "b"), bd_hash_pair ("b", "a"));
  memset (long_name, 'x', sizeof long_name);
  long_name[sizeof long_name - 1] = '\0';
  bd_name_copy (name, long_name);
  CU_ASSERT_EQUAL (strlen (name), BD_NAME_SIZE - 1);
  bd_name_copy (name, NULL);
  CU_ASSERT_EQUAL (name[0], '\0');
  gsl_rng_free (rng);
}

static struct timespec
fixed_time (void *ctx)
{
  return *(struct timespec *)ctx;
}

static void
test_clock_uses_its_ops (void)
{
  struct timespec now = { .tv_sec = 7, .tv_nsec = 5600000 };
  struct bd_clock_ops ops = { fixed_time, fixed_time };
  struct bd_clock clock = { &ops, &now };

  CU_ASSERT_EQUAL (bd_clock_now_ms (&clock), 7005);
  CU_ASSERT_EQUAL (bd_clock_now_us (&clock), 7005600);
  CU_ASSERT_EQUAL (bd_clock_calendar_ms (&clock), 7005);
}

static const struct unit_test tests[] = {
  { "every error has a response", test_every_error_has_a_response },
  { "counters", test_counters_are_rendered },
  { "ids", test_ids },
  { "clock", test_clock_uses_its_ops },
};

int
main (void)
{
  return UNIT_RUN ("base", tests);
}

/* Tests that latencies are counted in the right buckets and rendered.  */

#include "base/histograms.h"
#include "tests/unit.h"

#include <string.h>
#include <talloc.h>

static void
test_render (void)
{
  struct bd_histograms histograms;
  char *text;

  CU_ASSERT_TRUE (bd_histograms_init (&histograms));
  bd_observe (&histograms, BD_HISTOGRAM_RESPONSE, 3);
  bd_observe (&histograms, BD_HISTOGRAM_RESPONSE, 120);
  bd_observe (&histograms, BD_HISTOGRAM_RESPONSE, 70000);
  bd_observe (&histograms, BD_HISTOGRAM_RESPONSE, -1);
  text = bd_histograms_render (&histograms, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "# TYPE burdockdale_answer_seconds histogram\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "burdockdale_answer_seconds_bucket{le=\"0.005\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "burdockdale_answer_seconds_bucket{le=\"0.2\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "burdockdale_answer_seconds_bucket{le=\"30\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "burdockdale_answer_seconds_bucket{le=\"+Inf\"} 4\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "burdockdale_answer_seconds_sum 70.123\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "burdockdale_first_event_seconds_count 0\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "# HELP burdockdale_loop_lag_seconds "));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "# TYPE burdockdale_loop_lag_seconds histogram\n"));
  talloc_free (text);
  bd_histograms_finish (&histograms);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "render", test_render } };

  return UNIT_RUN ("histograms", tests);
}

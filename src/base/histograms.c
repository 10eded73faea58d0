/* Latency histograms, built on the histograms of GSL.  */

#include "base/histograms.h"

#include <string.h>
#include <talloc.h>

enum
{
  MS_PER_S = 1000
};

/* Bucket bounds.  They include the latency objectives of routes; the last one
   is larger than any timeout.  */
static const double bounds_ms[]
    = { 0,   5,   10,   25,   50,   100,  200,   300, 400,
        500, 750, 1000, 2000, 4000, 8000, 30000, 1e9 };

enum
{
  BOUND_COUNT = sizeof bounds_ms / sizeof bounds_ms[0],
  BIN_COUNT = BOUND_COUNT - 1
};

struct histogram_info
{
  const char *name;
  const char *help;
};

static const struct histogram_info infos[BD_HISTOGRAM_COUNT] = {
#define HISTOGRAM_INFO(name, exported, help) { exported, help },
  BD_HISTOGRAM_LIST (HISTOGRAM_INFO)
#undef HISTOGRAM_INFO
};

bool
bd_histograms_init (struct bd_histograms *histograms)
{
  memset (histograms, 0, sizeof *histograms);
  for (uint32_t i = 0; i < BD_HISTOGRAM_COUNT; i++)
    {
      histograms->bins[i] = gsl_histogram_alloc (BIN_COUNT);
      if (histograms->bins[i] == NULL)
        {
          bd_histograms_finish (histograms);
          return false;
        }
      gsl_histogram_set_ranges (histograms->bins[i], bounds_ms, BOUND_COUNT);
    }
  return true;
}

void
bd_histograms_finish (struct bd_histograms *histograms)
{
  for (uint32_t i = 0; i < BD_HISTOGRAM_COUNT; i++)
    {
      if (histograms->bins[i] != NULL)
        gsl_histogram_free (histograms->bins[i]);
      histograms->bins[i] = NULL;
    }
}

void
bd_observe (struct bd_histograms *histograms, enum bd_histogram which,
            int64_t latency_ms)
{
  double value_ms = latency_ms > 0 ? (double)latency_ms : 0;

  gsl_histogram_increment (histograms->bins[which], value_ms);
  histograms->sum_ms[which] += value_ms;
  histograms->count[which]++;
}

/* Appends one histogram to text.  GSL bins exclude their upper bound, whereas
   an "le" bucket includes it.  Only values equal to a bound are affected: they
   are counted one bucket higher, which is within the resolution of the
   buckets.  */
static char *
render_one (const struct bd_histograms *histograms, uint32_t which, char *text)
{
  double cumulative = 0;

  text = talloc_asprintf_append_buffer (
      text, "# HELP burdockdale_%s %s\n# TYPE burdockdale_%s histogram\n",
      infos[which].name, infos[which].help, infos[which].name);
  for (uint32_t i = 0; i + 1 < BIN_COUNT && text != NULL; i++)
    {
      cumulative += gsl_histogram_get (histograms->bins[which], i);
      text = talloc_asprintf_append_buffer (
          text, "burdockdale_%s_bucket{le=\"%g\"} %.0f\n", infos[which].name,
          bounds_ms[i + 1] / MS_PER_S, cumulative);
    }
  if (text == NULL)
    return NULL;
  return talloc_asprintf_append_buffer (
      text,
      "burdockdale_%s_bucket{le=\"+Inf\"} %llu\n"
      "burdockdale_%s_sum %.3f\nburdockdale_%s_count %llu\n",
      infos[which].name, (unsigned long long)histograms->count[which],
      infos[which].name, histograms->sum_ms[which] / MS_PER_S,
      infos[which].name, (unsigned long long)histograms->count[which]);
}

char *
bd_histograms_render (const struct bd_histograms *histograms, void *ctx)
{
  char *text = talloc_strdup (ctx, "");

  for (uint32_t i = 0; i < BD_HISTOGRAM_COUNT && text != NULL; i++)
    text = render_one (histograms, i, text);
  return text;
}

/* Latency histograms: a closed list, rendered in the text exposition format.

   Bounds fit the objectives of callers, from a few milliseconds to the longest
   time-outs of routes.  */

#ifndef BD_BASE_HISTOGRAMS_H
#define BD_BASE_HISTOGRAMS_H

#include <gsl/gsl_histogram.h>
#include <stdbool.h>
#include <stdint.h>

/* X (enumerator, exported name, help).  */
#define BD_HISTOGRAM_LIST(X)                                                  \
  X (FIRST_EVENT, "first_event_seconds",                                      \
     "from the arrival of a request to the first event of its stream")        \
  X (TOKEN_GAP, "event_pause_seconds", "between two events of a stream")      \
  X (RESPONSE, "answer_seconds",                                              \
     "from the arrival of a request to the end of its answer")                \
  X (QUEUE_WAIT, "place_wait_seconds",                                        \
     "from the arrival of a request until it is sent to a place")             \
  X (ORDER, "order_seconds", "from an order to its answer")

enum bd_histogram
{
#define BD_HISTOGRAM_ENUM(name, exported, help) BD_HISTOGRAM_##name,
  BD_HISTOGRAM_LIST (BD_HISTOGRAM_ENUM)
#undef BD_HISTOGRAM_ENUM
      BD_HISTOGRAM_COUNT
};

struct bd_histograms
{
  gsl_histogram *bins[BD_HISTOGRAM_COUNT];
  double sum_ms[BD_HISTOGRAM_COUNT];
  uint64_t count[BD_HISTOGRAM_COUNT];
};

/* bd_histograms_init(): all empty.  Returns false when there is no memory.  */
bool bd_histograms_init (struct bd_histograms *histograms);
void bd_histograms_finish (struct bd_histograms *histograms);

/* bd_observe(): adds one latency.  */
void bd_observe (struct bd_histograms *histograms, enum bd_histogram which,
                 int64_t latency_ms);

/* bd_histograms_render(): as text on ctx; NULL when there is no memory.  */
char *bd_histograms_render (const struct bd_histograms *histograms, void *ctx);

#endif

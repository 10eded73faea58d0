/* Latency histograms: a fixed list, rendered in the Prometheus text exposition
   format.

   The bucket bounds cover the latency objectives of callers, from a few
   milliseconds to the longest timeout of a route.  */

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
  X (ORDER, "order_seconds", "from an order to its answer")                   \
  X (LOOP_LAG, "loop_lag_seconds",                                            \
     "from when the event loop was due to run a periodic task until it did")

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

/* bd_histograms_init(): allocates empty histograms.  Returns false if out of
   memory.  */
bool bd_histograms_init (struct bd_histograms *histograms);

/* bd_histograms_finish(): frees the histograms.  */
void bd_histograms_finish (struct bd_histograms *histograms);

/* bd_observe(): records one latency.  Negative values count as 0.  */
void bd_observe (struct bd_histograms *histograms, enum bd_histogram which,
                 int64_t latency_ms);

/* bd_histograms_render(): all histograms as text, allocated on ctx; NULL if
   out of memory.  */
char *bd_histograms_render (const struct bd_histograms *histograms, void *ctx);

#endif

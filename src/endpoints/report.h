/* What an instance says of itself, and the parsing of that report.  */

#ifndef BD_ENDPOINTS_REPORT_H
#define BD_ENDPOINTS_REPORT_H

#include "base/ids.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_phase
{
  BD_PHASE_IDLE,
  BD_PHASE_LOADING,
  BD_PHASE_READY
};

struct bd_report
{
  enum bd_phase phase;
  char group[BD_NAME_SIZE]; /* Empty when the instance is in none.  */
  int64_t incarnation;
  char model[BD_NAME_SIZE]; /* Weights that it holds or loads.  */
  char version[BD_NAME_SIZE];
  uint32_t running;
};

/* bd_report_parse(): false when body is not a report.  */
bool bd_report_parse (const char *body, size_t size, struct bd_report *report);

/* bd_report_is_member(): whether the instance is ready in this very
   incarnation of a group.  */
bool bd_report_is_member (const struct bd_report *report, const char *group,
                          int64_t incarnation);

/* bd_report_has_loaded(): whether the weights are loaded.  */
bool bd_report_has_loaded (const struct bd_report *report, const char *model,
                           const char *version);

#endif

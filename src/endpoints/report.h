/* The status report that an instance returns to a probe, and its parser.

   Parse the body with bd_report_parse(), then query the result.  */

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
  char instance[BD_NAME_SIZE]; /* Of the process that made the report.  */
  enum bd_phase phase;
  char group[BD_NAME_SIZE]; /* Empty when the instance is in no group.  */
  int64_t incarnation;
  char model[BD_NAME_SIZE]; /* Model of the loaded or loading weights.  */
  char version[BD_NAME_SIZE];
  uint32_t running; /* Running requests.  */
};

/* bd_report_parse(): parses size bytes of JSON at body into report.  Returns
   false when body is not a JSON object.  */
bool bd_report_parse (const char *body, size_t size, struct bd_report *report);

/* bd_report_is_from(): whether the report was made by this instance.  A report
   that names no instance is from none.  */
bool bd_report_is_from (const struct bd_report *report, const char *instance);

/* bd_report_is_member(): whether the instance is ready in exactly this
   incarnation of a group.  */
bool bd_report_is_member (const struct bd_report *report, const char *group,
                          int64_t incarnation);

/* bd_report_has_loaded(): whether the instance is ready with these weights. */
bool bd_report_has_loaded (const struct bd_report *report, const char *model,
                           const char *version);

#endif

/* Decides whether a replica group accepts requests: nothing is sent to a group
   unless every member itself has recently reported the group's current
   incarnation.  Does no I/O.  */

#ifndef BD_GROUPS_GATE_H
#define BD_GROUPS_GATE_H

#include "endpoints/report.h"
#include "groups/assignment.h"

#include <stdbool.h>
#include <stdint.h>

/* The last report that a daemon has received from an instance.  */
struct bd_received_report
{
  bool has_report;
  bool is_leaving;
  int64_t last_received_ms;
  struct bd_report report;
};

/* Looks up the last report of an instance.  Returns NULL when the instance is
   unknown.  */
typedef const struct bd_received_report *
bd_received_report_lookup (void *ctx, const char *instance);

/* bd_received_report_update(): a probe of the instance, sent at sent_ms, was
   answered with report.  Stores the report and returns true.  Returns false
   when a probe that was sent later has been answered, or when the report is of
   another instance, which has been given the address; in the latter case the
   earlier reports no longer count.  */
bool bd_received_report_update (struct bd_received_report *received,
                                const char *instance,
                                const struct bd_report *report,
                                int64_t sent_ms);

enum bd_gate
{
  BD_GATE_OPEN,
  BD_GATE_DRAINING, /* Accepts no new requests; running ones can finish.  */
  BD_GATE_LEAVING,  /* A member is leaving.  */
  BD_GATE_CLOSED    /* A member is unknown or unresponsive, or its last report
                       is not of this incarnation of the group.  */
};

/* bd_gate_check(): whether a request can be sent to group at now_ms.
   freshness_ms is the maximum age of a report.  ctx is passed to lookup.  */
enum bd_gate bd_gate_check (const struct bd_group *group,
                            bd_received_report_lookup *lookup, void *ctx,
                            int64_t now_ms, uint32_t freshness_ms);

/* bd_gate_name(): the name of the state, for status pages.  */
const char *bd_gate_name (enum bd_gate gate);

#endif

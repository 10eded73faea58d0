/* The gate before a replica group: nothing is sent to a group unless every
   member has itself reported the group's present incarnation lately.  Pure. */

#ifndef BD_GROUPS_GATE_H
#define BD_GROUPS_GATE_H

#include "endpoints/report.h"
#include "groups/assignment.h"

#include <stdbool.h>
#include <stdint.h>

/* The last report of an instance, as a daemon holds it.  */
struct bd_received_report
{
  bool has_report;
  bool is_leaving;
  int64_t last_received_ms;
  struct bd_report report;
};

/* Looks an instance up; NULL when nothing is known of it.  */
typedef const struct bd_received_report *
bd_received_report_lookup (void *ctx, const char *instance);

enum bd_gate
{
  BD_GATE_OPEN,
  BD_GATE_DRAINING, /* Takes no new work; what runs may finish.  */
  BD_GATE_LEAVING,  /* A member is leaving.  */
  BD_GATE_CLOSED    /* A member is missing, silent or elsewhere.  */
};

/* bd_gate_check(): whether a call may be sent to group at now_ms.
   freshness_ms is the oldest report that counts.  */
enum bd_gate bd_gate_check (const struct bd_group *group,
                            bd_received_report_lookup *lookup, void *ctx,
                            int64_t now_ms, uint32_t freshness_ms);

/* bd_gate_name(): for status pages.  */
const char *bd_gate_name (enum bd_gate gate);

#endif

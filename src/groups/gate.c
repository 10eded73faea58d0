/* Decides whether a replica group accepts requests.  */

#include "groups/gate.h"

#include "base/crash.h"

#include <stddef.h>

bool
bd_received_report_update (struct bd_received_report *received,
                           const char *instance,
                           const struct bd_report *report, int64_t sent_ms)
{
  if (received->last_received_ms > sent_ms)
    return false;
  received->last_received_ms = sent_ms;
  received->has_report = bd_report_is_from (report, instance);
  if (received->has_report)
    received->report = *report;
  return received->has_report;
}

static bool
is_present (const struct bd_group *group,
            const struct bd_received_report *received, int64_t now_ms,
            uint32_t freshness_ms)
{
  return received != NULL && received->has_report
         && now_ms - received->last_received_ms <= freshness_ms
         && bd_report_is_member (&received->report, group->id,
                                 group->incarnation);
}

enum bd_gate
bd_gate_check (const struct bd_group *group, bd_received_report_lookup *lookup,
               void *ctx, int64_t now_ms, uint32_t freshness_ms)
{
  bool has_leaving = false;

  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_received_report *received
          = lookup (ctx, group->members[i]);
      if (!is_present (group, received, now_ms, freshness_ms))
        return BD_GATE_CLOSED;
      has_leaving = has_leaving || received->is_leaving;
    }
  if (group->drain != BD_DRAIN_NONE)
    return BD_GATE_DRAINING;
  return has_leaving ? BD_GATE_LEAVING : BD_GATE_OPEN;
}

const char *
bd_gate_name (enum bd_gate gate)
{
  static const char *const names[]
      = { "open", "draining", "leaving", "closed" };

  BD_ASSERT (gate <= BD_GATE_CLOSED);
  return names[gate];
}

/* The next allotment.  Each step works on a copy of the present one; the
   steps go from what frees instances to what takes them, so that one update
   can do both.  */

#include "groups/plan_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static struct bd_allotment *
take_over (struct bd_plan *plan)
{
  bd_name_copy (plan->next->keeper, plan->keeper->self);
  plan->next->term++;
  plan->next->sequence++;
  return plan->next;
}

static struct bd_allotment *
first_allotment (const struct bd_keeper *keeper, void *ctx)
{
  struct bd_allotment *first = talloc_zero (ctx, struct bd_allotment);

  bd_name_copy (first->data_centre, keeper->data_centre);
  return first;
}

struct bd_allotment *
bd_keeper_plan (struct bd_keeper *keeper, void *ctx, int64_t now_ms)
{
  struct bd_plan plan = { .keeper = keeper, .now_ms = now_ms };

  if (!keeper->is_chosen)
    return NULL;
  plan.next = keeper->allotment != NULL
                  ? bd_allotment_clone (ctx, keeper->allotment)
                  : first_allotment (keeper, ctx);
  if (strcmp (plan.next->keeper, keeper->self) != 0)
    return take_over (&plan);
  bd_plan_init (&plan);
  bd_plan_end_drains (&plan);
  bd_plan_drain_surplus (&plan);
  bd_plan_drain_leaving (&plan);
  bd_keeper_assign_spares (keeper, plan.next, now_ms);
  bd_plan_mend (&plan);
  bd_plan_roll_versions (&plan);
  bd_keeper_assign_spares (keeper, plan.next, now_ms);
  bd_plan_form (&plan);
  bd_plan_preempt (&plan);
  if (plan.has_changed && bd_allotment_check (plan.next))
    {
      plan.next->sequence++;
      return plan.next;
    }
  talloc_free (plan.next);
  return NULL;
}

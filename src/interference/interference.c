/* Decides whether and where a request is sent, by the effect on others.  */

#include "interference/interference.h"

#include <math.h>
#include <string.h>

enum
{
  /* Part of the slots that late requests leave free.  In the load test a
     quarter serves more requests on time than an eighth, and as many in
     all.  */
  RESERVE_DIVISOR = 4,
  /* Counts of requests that are older than this are not compared: all daemons
     would choose the group that had the fewest then.  */
  MAX_COUNT_AGE_MS = 100,
  /* Loads that are older than this are not levelled: in the load test, those
     of 300 ms and more gave no more requests on time than a random draw.  */
  MAX_LEVEL_AGE_MS = 200,
  RESUMED_CLASS = 0,
  DEFAULT_CLASS = 5,
  LATE_CLASS = 9
};

/* Part of the objective by which the estimates of the time to the first event
   may be too short.  A request that has less than that left beside its
   expected time is no longer held back for a better target, and uses the
   reserve no more: without the margin, one in 20 of the requests that got the
   slots of the reserve in overload was late all the same.  */
static const double time_margin = 0.1;

/* Classes of requests that can be on time, by the part of the objective that
   is left at most.  A request that has just arrived has the class of those
   that have none, so that the routes to which the decisions do not apply lose
   nothing against it.  */
static const struct
{
  double left;
  uint32_t number;
} classes[] = { { 0.25, 1 }, { 0.5, 2 }, { 0.7, 3 }, { 0.9, 4 } };

bool
bd_interference_read_mode (const char *text, enum bd_interference_mode *mode)
{
  static const char *const names[] = { [BD_INTERFERENCE_AUTO] = "auto",
                                       [BD_INTERFERENCE_ON] = "on",
                                       [BD_INTERFERENCE_OFF] = "off" };

  for (uint32_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *mode = (enum bd_interference_mode)i;
        return true;
      }
  return false;
}

/* Time by which the prefill of a prompt is longer than that of the usual one;
   negative for a smaller prompt.  Whether a request is late does not depend on
   it: in overload requests wait until they are nearly late, so that sizes that
   are late a few ms before others get only what these leave.  */
static double
excess_ms (const struct bd_engine *engine, const struct bd_engine_model *model,
           uint32_t prompt_tokens)
{
  uint32_t usual = (uint32_t)engine->typical_prompt_tokens;

  return bd_engine_prefill_ms (engine, model, prompt_tokens)
         - bd_engine_prefill_ms (engine, model, usual);
}

/* Expected time to the first event on a group without other requests.  */
static double
idle_ms (const struct bd_engine *engine, const struct bd_engine_model *model,
         uint32_t prompt_tokens)
{
  struct bd_group_load idle = { .running = 0 };

  return bd_first_event_ms (engine, model, &idle, prompt_tokens);
}

bool
bd_interference_applies (const struct bd_interference_settings *settings,
                         const struct bd_engine *engine,
                         const struct bd_engine_model *model,
                         double objective_ms)
{
  uint32_t usual = (uint32_t)engine->typical_prompt_tokens;

  if (settings->mode == BD_INTERFERENCE_OFF || objective_ms <= 0)
    return false;
  if (settings->mode == BD_INTERFERENCE_ON)
    return true;
  return engine->slots * bd_engine_prefill_ms (engine, model, usual)
             > objective_ms
         && idle_ms (engine, model, usual) <= (1 - time_margin) * objective_ms;
}

bool
bd_interference_has_choice (const struct bd_interference_settings *settings)
{
  return settings->keeps_reserve || settings->bounds_prefill
         || settings->weighs_delay || settings->levels_load;
}

uint32_t
bd_interference_reserve (uint32_t slots)
{
  uint32_t reserve = slots / RESERVE_DIVISOR;

  if (slots <= 1)
    return 0;
  return reserve > 0 ? reserve : 1;
}

/* What is known of the candidates of one request.  */
struct field
{
  const struct bd_interference_settings *settings;
  const struct bd_interference_request *request;
  const struct bd_group_load *loads;
  uint32_t count;
  uint32_t slot_limit;
  double own_ms;    /* Prefill time of its prompt.  */
  double excess_ms; /* See excess_ms().  */
  double best_ms;   /* The shortest of judged_ms.  */
  struct bd_prompt_times times[BD_MAX_CANDIDATES];
  /* Expected times to the first event without the excess; infinite where the
     request cannot go.  */
  double judged_ms[BD_MAX_CANDIDATES];
};

static double
pace_of (const struct bd_group_load *load)
{
  return load->pace > 0 ? load->pace : 1.0;
}

/* Whether the prompts that wait at a group would be on time without the
   request, and late with it.  */
static bool
is_harmful (const struct field *field, uint32_t i)
{
  const struct bd_prompt_times *times = &field->times[i];
  double objective_ms = field->request->shortest_objective_ms;
  double own_ms = pace_of (&field->loads[i]) * field->own_ms;

  return field->loads[i].prefill_ms + times->peers_ms > 0
         && times->first_event_ms > objective_ms
         && times->first_event_ms - own_ms <= objective_ms;
}

/* Own expected time, and the delay of those that wait for their first event
   there.  Of these, only this daemon's are counted: what waits of the others'
   changes faster than it is reported, and weighing it sends all daemons to the
   same groups.  */
static double
cost_of (const struct field *field, uint32_t i)
{
  const struct bd_prompt_times *times = &field->times[i];

  return field->settings->weighs_delay
             ? times->first_event_ms
                   + field->loads[i].prefill_count * field->own_ms
             : times->first_event_ms;
}

/* Keeps the costs of the preferred groups only, or those of the others if one
   of these costs much less.  */
static void
keep_preferred (const struct field *field, double *costs)
{
  double preferred = INFINITY;
  double others = INFINITY;

  for (uint32_t i = 0; i < field->count; i++)
    if (field->loads[i].widen_factor <= 1 && costs[i] < preferred)
      preferred = costs[i];
    else if (field->loads[i].widen_factor > 1
             && costs[i] * field->loads[i].widen_factor < others)
      others = costs[i] * field->loads[i].widen_factor;
  if (isinf (others))
    return;
  for (uint32_t i = 0; i < field->count; i++)
    if ((field->loads[i].widen_factor > 1) != (others < preferred))
      costs[i] = INFINITY;
}

/* Fills in the costs of the groups with a slot for the request, where it is on
   time if needs_time is set, and harms no other if needs_peace is set. Returns
   their number.  */
static uint32_t
fill_costs (const struct field *field, bool needs_time, bool needs_peace,
            double *costs)
{
  uint32_t found = 0;

  for (uint32_t i = 0; i < field->count; i++)
    {
      costs[i] = INFINITY;
      if (isinf (field->judged_ms[i])
          || field->loads[i].running >= field->slot_limit
          || (needs_time && field->judged_ms[i] > field->request->left_ms)
          || (needs_peace && is_harmful (field, i)))
        continue;
      costs[i] = cost_of (field, i);
      found++;
    }
  return found;
}

/* The cost that all groups below it reach when unseen_ms for each group with a
   finite cost is distributed among them.  INFINITY if there is none.  */
static double
find_level (const double *costs, uint32_t count, double unseen_ms)
{
  double level_ms = INFINITY;
  double total_ms = 0;
  uint32_t below = 0;
  uint32_t before;

  /* Groups above the level are left out, which lowers it, until none is.  */
  do
    {
      double sum_ms = 0;

      before = below;
      below = 0;
      for (uint32_t i = 0; i < count; i++)
        if (costs[i] < level_ms)
          {
            sum_ms += costs[i];
            below++;
          }
      if (before == 0)
        total_ms = unseen_ms * below;
      if (below > 0)
        level_ms = (sum_ms + total_ms) / below;
    }
  while (below != before);
  return level_ms;
}

/* Draws a group with a probability in proportion to what it lacks to the
   level; -1 if there is none.  unseen_ms is above 0.  */
static int32_t
choose_below_level (const double *costs, uint32_t count, double unseen_ms,
                    gsl_rng *rng)
{
  double level_ms = find_level (costs, count, unseen_ms);
  double lacking_ms = 0;
  double skip_ms;
  int32_t chosen = -1;

  if (isinf (level_ms))
    return -1;
  for (uint32_t i = 0; i < count; i++)
    if (costs[i] < level_ms)
      lacking_ms += level_ms - costs[i];
  skip_ms = gsl_rng_uniform (rng) * lacking_ms;
  for (uint32_t i = 0; i < count; i++)
    if (costs[i] < level_ms)
      {
        chosen = (int32_t)i;
        skip_ms -= level_ms - costs[i];
        if (skip_ms < 0)
          break;
      }
  return chosen;
}

/* Estimates the times at the groups that the request can use.  */
static void
fill_times (struct field *field, const struct bd_engine *engine,
            const struct bd_engine_model *model)
{
  field->best_ms = INFINITY;
  for (uint32_t i = 0; i < field->count; i++)
    {
      const struct bd_group_load *load = &field->loads[i];

      field->judged_ms[i] = INFINITY;
      if (load->is_tried || load->running >= engine->slots)
        continue;
      bd_estimate_prompt (engine, model, load, field->own_ms,
                          &field->times[i]);
      field->judged_ms[i]
          = field->times[i].first_event_ms - pace_of (load) * field->excess_ms;
      if (field->judged_ms[i] < field->best_ms)
        field->best_ms = field->judged_ms[i];
    }
}

/* Fills in the costs for a request that can be on time.  Returns whether it is
   sent now.  */
static bool
admit_timely (const struct field *field, double *costs)
{
  const struct bd_interference_request *request = field->request;
  double margin_ms = time_margin * request->objective_ms;

  if (!field->settings->bounds_prefill || request->is_resumed)
    return fill_costs (field, false, false, costs) > 0;
  if (fill_costs (field, true, true, costs) > 0)
    return true;
  if (request->can_wait
      && request->left_ms - field->best_ms - field->excess_ms > margin_ms)
    return false;
  return fill_costs (field, true, false, costs) > 0;
}

void
bd_interference_choose (const struct bd_interference_settings *settings,
                        const struct bd_engine *engine,
                        const struct bd_engine_model *model,
                        const struct bd_group_load *loads, uint32_t count,
                        const struct bd_interference_request *request,
                        gsl_rng *rng, struct bd_interference_choice *choice)
{
  struct field field; /* Not initialized as a whole: it is large.  */
  double costs[BD_MAX_CANDIDATES];
  double margin_ms;
  int32_t chosen;

  *choice = (struct bd_interference_choice){ .verdict = BD_INTERFERENCE_FULL };
  field.settings = settings;
  field.request = request;
  field.loads = loads;
  field.count = count < BD_MAX_CANDIDATES ? count : BD_MAX_CANDIDATES;
  field.slot_limit = engine->slots;
  field.own_ms = bd_engine_prefill_ms (engine, model, request->prompt_tokens);
  field.excess_ms = excess_ms (engine, model, request->prompt_tokens);
  fill_times (&field, engine, model);
  if (isinf (field.best_ms))
    return;
  margin_ms
      = settings->keeps_reserve ? time_margin * request->objective_ms : 0;
  choice->is_late
      = !request->is_resumed && request->left_ms < field.best_ms + margin_ms;
  if (choice->is_late && settings->keeps_reserve)
    field.slot_limit -= bd_interference_reserve (engine->slots);
  choice->verdict
      = choice->is_late ? BD_INTERFERENCE_RESERVE : BD_INTERFERENCE_PREFILL;
  /* A late request does not wait for less prefill work: held back in the load
     test, long prompts were served half as often in overload, and no more
     requests were on time.  */
  if (choice->is_late ? fill_costs (&field, false, false, costs) == 0
                      : !admit_timely (&field, costs))
    return;
  keep_preferred (&field, costs);
  if (settings->levels_load && request->unseen_ms > 0
      && loads[0].age_ms <= MAX_LEVEL_AGE_MS)
    chosen = choose_below_level (costs, field.count, request->unseen_ms, rng);
  else
    chosen = bd_choose_cheapest (
        costs, loads, field.count,
        !settings->weighs_delay || loads[0].age_ms <= MAX_COUNT_AGE_MS, rng);
  if (chosen < 0)
    return;
  choice->verdict = BD_INTERFERENCE_SEND;
  choice->index = (uint32_t)chosen;
  choice->expected_ms = field.times[chosen].first_event_ms;
}

uint32_t
bd_interference_class (const struct bd_engine *engine,
                       const struct bd_engine_model *model,
                       const struct bd_interference_request *request,
                       double expected_ms)
{
  double judged_ms
      = expected_ms - excess_ms (engine, model, request->prompt_tokens);

  if (request->is_resumed)
    return RESUMED_CLASS;
  if (request->left_ms < judged_ms)
    return LATE_CLASS;
  for (uint32_t i = 0; i < sizeof classes / sizeof classes[0]; i++)
    if (request->left_ms <= classes[i].left * request->objective_ms)
      return classes[i].number;
  return DEFAULT_CLASS;
}

double
bd_interference_due_delay_ms (const struct bd_engine *engine,
                              const struct bd_engine_model *model)
{
  struct bd_group_load full = { .running = engine->slots };

  return bd_first_event_ms (engine, model, &full,
                            (uint32_t)engine->typical_prompt_tokens);
}

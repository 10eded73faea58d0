/* Decides which groups to form from the free endpoints.

   Designed for a pool that loses members all the time and serves models of
   different sizes.  Free endpoints of one fabric domain form a group of the
   model with the lowest ratio of capacity to offered load.  If there are too
   few of them, a group of a model with a higher ratio is dissolved
   (reassign.c).  */

#include "replicas/plan_internal.h"

#include "base/crash.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Endpoints register one by one; no group is formed until none has
     registered for this long, so that all endpoints of a domain are planned
     together.  */
  SETTLE_MS = 400,
  /* After this uptime, a model without requests has no demand.  */
  DEMAND_SETTLE_MS = 30000
};

int32_t
bd_plan_model_index (const struct bd_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->model_count; i++)
    if (strcmp (engine->models[i].name, name) == 0)
      return (int32_t)i;
  return -1;
}

bool
bd_replicas_is_demand_known (const double *demand, uint32_t model_count,
                             uint32_t reporting_count, uint32_t daemon_count,
                             int64_t uptime_ms)
{
  if (uptime_ms >= DEMAND_SETTLE_MS)
    return true;
  for (uint32_t i = 0; i < model_count; i++)
    if (demand[i] <= 0)
      return false;
  return 2 * reporting_count >= daemon_count;
}

/* Uses the offered load, or the configured share before there is any.  The
   configured share is a share of the instances, so it is divided by the number
   of members of a replica.  */
void
bd_plan_compute_need (struct plan *plan)
{
  const struct bd_replicas_input *input = plan->step->input;
  const struct bd_engine *engine = input->engine;
  double total = 0;

  for (uint32_t i = 0; i < engine->model_count; i++)
    total += input->demand[i];
  for (uint32_t i = 0; i < engine->model_count; i++)
    {
      const struct bd_engine_model *model = &engine->models[i];
      double share = model->share > 0 ? model->share : 1e-3;

      plan->need[i] = total > 0 ? input->demand[i] : share / model->members;
      if (plan->need[i] < 1e-3)
        plan->need[i] = 1e-3;
    }
}

/* Returns how many groups of the model's size the members of an obsolete group
   make up: groups of other models are not dissolved for want of these.  */
static double
group_capacity (const struct bd_replicas_input *input,
                const struct bd_fleet_group *group, int32_t model)
{
  uint32_t size = input->engine->models[model].members;

  return size > 0 ? (double)group->member_count / size : 0;
}

/* Counts only the groups of this controller.  All controllers see the same
   load; if each compensated for the shortage of the whole fleet, all would
   move capacity in the same direction at once, and then back again.  */
void
bd_plan_compute_capacity (struct plan *plan)
{
  const struct bd_replicas_input *input = plan->step->input;
  struct bd_replicas *replicas = plan->step->replicas;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, input->fleet->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_group *group = value;
      int32_t model = bd_plan_model_index (input->engine, group->model);
      enum bd_group_phase phase;

      if (model < 0 || strcmp (group->service, input->service) != 0
          || !bd_is_controlled_group (input, group)
          || bd_is_donor (plan->step, group))
        continue;
      phase = bd_group_phase (input, group);
      if (phase == BD_PHASE_OPEN || phase == BD_PHASE_CLOSING
          || phase == BD_PHASE_READY || phase == BD_PHASE_JOINING)
        plan->capacity[model]++;
      else if (phase == BD_PHASE_OBSOLETE)
        plan->capacity[model] += group_capacity (input, group, model);
    }
  for (uint32_t i = 0; i < replicas->forming_count; i++)
    {
      const struct bd_forming *forming = &replicas->forming[i];
      uint64_t hash = bd_fleet_group_hash (forming->name, forming->epoch);
      const struct bd_fleet_group *group = bd_fleet_group (input->fleet, hash);
      int32_t model = bd_plan_model_index (input->engine, forming->model);

      if (model >= 0
          && (group == NULL || group->member_count < forming->count))
        plan->capacity[model]++;
    }
  bd_plan_count_moves (plan);
}

bool
bd_is_released (const struct bd_replicas *replicas,
                const struct bd_replicas_input *input,
                const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_membership_view *member = &endpoint->entry.member;
  const struct bd_fleet_endpoint *leader;
  const struct bd_fleet_group *group;

  if (member->state == BD_MEMBER_NONE || member->state == BD_MEMBER_BROKEN)
    return true;
  group = bd_fleet_group (input->fleet,
                          bd_fleet_group_hash (member->group, member->epoch));
  if (group == NULL || group->epoch <= replicas->first_epoch
      || bd_group_phase (input, group) != BD_PHASE_RELEASED)
    return false;
  leader = bd_group_leader (input, group);
  return leader != NULL && leader->liveness != BD_LIVENESS_DEAD;
}

/* An epoch above those of this term shows that another controller has taken
   over.  */
static bool
is_of_later_term (const struct bd_replicas *replicas,
                  const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->entry.member.epoch
         >= replicas->first_epoch + BD_REPLICAS_EPOCHS_PER_TERM;
}

static bool
is_free (const struct plan *plan, struct bd_fleet_endpoint *endpoint)
{
  struct bd_replicas *replicas = plan->step->replicas;

  return bd_is_available (endpoint) && bd_can_order (endpoint)
         && endpoint->entry.domain[0] != '\0'
         && !is_of_later_term (replicas, endpoint)
         && bd_find_forming (replicas, endpoint->entry.id) == NULL
         && bd_is_released (replicas, plan->step->input, endpoint)
         && bd_is_confirmed (endpoint);
}

static void
collect_free (struct plan *plan)
{
  const struct bd_replicas_input *input = plan->step->input;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && plan->free_count < BD_PLAN_MAX_FREE)
    {
      struct bd_fleet_endpoint *endpoint = value;

      if (bd_is_controlled (input, endpoint) && is_free (plan, endpoint))
        plan->free[plan->free_count++].endpoint = endpoint;
    }
}

/* A group that can be formed in one domain.  */
struct candidate
{
  uint32_t members[BD_FLEET_MAX_MEMBERS]; /* Indexes into plan->free.  */
  uint32_t count;
  int64_t ready_ms;        /* Join time of the slowest member.  */
  uint32_t leftover_count; /* Other free endpoints of the domain.  */
};

/* Counts the models whose groups an endpoint can join without staging weights
   first.  */
static uint32_t
count_runnable_models (const struct plan *plan, uint32_t index)
{
  const struct bd_replicas_input *input = plan->step->input;
  uint32_t count = 0;

  for (uint32_t i = 0; i < input->engine->model_count; i++)
    count += bd_join_ms (input, plan->free[index].endpoint,
                         &input->engine->models[i])
             >= 0;
  return count;
}

/* Whether the endpoint at index is preferred to another one with the same join
   time: the one that can run fewer models, then the one with the lower id, so
   that the choice is deterministic.  */
static bool
is_preferred_member (const struct plan *plan, uint32_t index, uint32_t other)
{
  uint32_t own_count = count_runnable_models (plan, index);
  uint32_t other_count = count_runnable_models (plan, other);

  if (own_count != other_count)
    return own_count < other_count;
  return strcmp (plan->free[index].endpoint->entry.id,
                 plan->free[other].endpoint->entry.id)
         < 0;
}

/* Inserts an endpoint into the candidate.  The candidate keeps at most size
   endpoints: those with the shortest join times, in ascending order.
   join_times_ms contains their join times.  */
static void
add_candidate_member (const struct plan *plan, struct candidate *candidate,
                      int64_t join_times_ms[BD_FLEET_MAX_MEMBERS],
                      uint32_t size, uint32_t index, int64_t join_ms)
{
  uint32_t position = candidate->count < size ? candidate->count : size;

  while (position > 0
         && (join_times_ms[position - 1] > join_ms
             || (join_times_ms[position - 1] == join_ms
                 && is_preferred_member (plan, index,
                                         candidate->members[position - 1]))))
    {
      if (position < size)
        {
          join_times_ms[position] = join_times_ms[position - 1];
          candidate->members[position] = candidate->members[position - 1];
        }
      position--;
    }
  if (position == size)
    return;
  join_times_ms[position] = join_ms;
  candidate->members[position] = index;
  if (candidate->count < size)
    candidate->count++;
}

static bool
find_candidate (const struct plan *plan, const struct bd_engine_model *model,
                const char *domain, struct candidate *candidate)
{
  int64_t join_times_ms[BD_FLEET_MAX_MEMBERS] = { 0 };
  uint32_t eligible_count = 0;

  memset (candidate, 0, sizeof *candidate);
  for (uint32_t i = 0; i < plan->free_count; i++)
    {
      const struct free_endpoint *free = &plan->free[i];
      int64_t join_ms;

      if (free->is_taken || strcmp (free->endpoint->entry.domain, domain) != 0)
        continue;
      join_ms = bd_join_ms (plan->step->input, free->endpoint, model);
      if (join_ms < 0)
        continue;
      eligible_count++;
      add_candidate_member (plan, candidate, join_times_ms, model->members, i,
                            join_ms);
    }
  if (candidate->count < model->members)
    return false;
  candidate->ready_ms = join_times_ms[model->members - 1];
  candidate->leftover_count = eligible_count - model->members;
  return true;
}

/* Finds the best candidate of all domains: the one that is ready first, then
   the one that leaves the fewest free endpoints.  */
static bool
best_candidate (const struct plan *plan, const struct bd_engine_model *model,
                struct candidate *best)
{
  bool has_any = false;

  if (model->members > BD_FLEET_MAX_MEMBERS || model->members == 0)
    return false;
  for (uint32_t i = 0; i < plan->free_count; i++)
    {
      const char *domain = plan->free[i].endpoint->entry.domain;
      bool is_seen = plan->free[i].is_taken;
      struct candidate candidate;

      for (uint32_t j = 0; j < i && !is_seen; j++)
        is_seen
            = !plan->free[j].is_taken
              && strcmp (plan->free[j].endpoint->entry.domain, domain) == 0;
      if (is_seen || bd_plan_is_reserved (plan->step, domain, model->name)
          || !find_candidate (plan, model, domain, &candidate))
        continue;
      if (!has_any || candidate.ready_ms < best->ready_ms
          || (candidate.ready_ms == best->ready_ms
              && candidate.leftover_count < best->leftover_count))
        *best = candidate;
      has_any = true;
    }
  return has_any;
}

static void
record_formed (struct bd_replicas *replicas, const struct bd_forming *forming)
{
  replicas->formed[replicas->formed_next++ % BD_REPLICAS_MAX_FORMED]
      = (struct bd_formed){ .group = bd_fleet_group_hash (forming->name,
                                                          forming->epoch),
                            .count = forming->count };
}

static void
form_group (struct plan *plan, const struct bd_engine_model *model,
            const struct candidate *candidate)
{
  struct bd_replicas *replicas = plan->step->replicas;
  struct bd_forming *forming;
  int64_t epoch = replicas->epoch;

  BD_ASSERT (replicas->forming_count < BD_REPLICAS_MAX_FORMING);
  forming = &replicas->forming[replicas->forming_count++];
  memset (forming, 0, sizeof *forming);
  forming->count = model->members;
  forming->started_ms = plan->step->input->now_ms;
  bd_name_copy (forming->model, model->name);
  for (uint32_t i = 0; i < forming->count; i++)
    {
      struct free_endpoint *free = &plan->free[candidate->members[i]];

      free->is_taken = true;
      bd_name_copy (forming->members[i], free->endpoint->entry.id);
      if (free->endpoint->entry.member.epoch > epoch)
        epoch = free->endpoint->entry.member.epoch;
    }
  bd_plan_end_reservation (
      plan, plan->free[candidate->members[0]].endpoint->entry.domain,
      (uint32_t)(model - plan->step->input->engine->models));
  replicas->epoch = epoch + 1;
  forming->epoch = replicas->epoch;
  /* A random name is unique even if another controller is active.  */
  snprintf (forming->name, sizeof forming->name, "r-%08lx%08lx",
            gsl_rng_uniform_int (replicas->rng, 0xffffffff),
            gsl_rng_uniform_int (replicas->rng, 0xffffffff));
  record_formed (replicas, forming);
}

int32_t
bd_plan_lowest_capacity_model (const struct plan *plan,
                               const bool is_skipped[BD_ENGINE_MAX_MODELS])
{
  const struct bd_engine *engine = plan->step->input->engine;
  int32_t chosen = -1;

  for (uint32_t i = 0; i < engine->model_count; i++)
    if (!is_skipped[i]
        && (chosen < 0
            || plan->capacity[i] * plan->need[chosen]
                   < plan->capacity[chosen] * plan->need[i]))
      chosen = (int32_t)i;
  return chosen;
}

/* Forms one group.  Models that no group can be formed for get capacity by
   reassignment.  Returns false when no group was formed.  */
static bool
form_next_group (struct plan *plan)
{
  const struct bd_engine *engine = plan->step->input->engine;
  bool is_skipped[BD_ENGINE_MAX_MODELS] = { false };
  int32_t model;

  if (plan->step->replicas->forming_count == BD_REPLICAS_MAX_FORMING)
    return false;
  while ((model = bd_plan_lowest_capacity_model (plan, is_skipped)) >= 0)
    {
      struct candidate candidate;

      if (best_candidate (plan, &engine->models[model], &candidate))
        {
          form_group (plan, &engine->models[model], &candidate);
          plan->capacity[model]++;
          return true;
        }
      if (!bd_plan_reassign (plan, (uint32_t)model))
        is_skipped[model] = true;
    }
  return false;
}

bool
bd_plan_is_settling (const struct bd_replicas_input *input)
{
  GHashTableIter iter;
  gpointer value;

  if (input->has_traffic)
    return false;
  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (input->now_ms - ((struct bd_fleet_endpoint *)value)->listed_ms
        < SETTLE_MS)
      return true;
  return false;
}

void
bd_replicas_plan (struct bd_replicas_step *step)
{
  static struct free_endpoint free_list[BD_PLAN_MAX_FREE];
  struct plan plan = { .step = step, .free = free_list };

  if (bd_plan_is_settling (step->input))
    return;
  memset (free_list, 0, sizeof free_list);
  collect_free (&plan);
  bd_plan_compute_need (&plan);
  bd_plan_compute_capacity (&plan);
  while (form_next_group (&plan))
    continue;
}

/* Which groups to form of the endpoints that are free, and which weights to
   stage.

   The load that this answers: a pool that loses members all the time, with
   models of different sizes.  Free endpoints of one fabric domain are put
   together for the model that has the least capacity for its offered work;
   what none of them can be used for waits.  Weights are staged ahead so that
   an endpoint can take a place of either model within seconds.  */

#include "replicas/replicas_internal.h"

#include <stdio.h>
#include <string.h>

enum
{
  MAX_FREE = 4096,
  /* Endpoints register one by one; groups wait until none has come for this
     long, so that a domain is planned as a whole.  */
  SETTLE_MS = 400
};

/* A model whose capacity is above the poorest one's by this factor does not
   take endpoints that the poorest may need.  */
static const double ample = 2.0;

/* Loads left for hosts without any weights before others stage ahead.  */
static const double load_reserve = 1.5;

struct free_endpoint
{
  struct bd_fleet_endpoint *endpoint;
  bool is_taken;
};

struct plan
{
  struct bd_replicas_step *step;
  struct free_endpoint *free;
  uint32_t free_count;
  double have[BD_ENGINE_MAX_MODELS]; /* Replicas, whole or being formed.  */
  double need[BD_ENGINE_MAX_MODELS];
};

static int32_t
model_index (const struct bd_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->model_count; i++)
    if (strcmp (engine->models[i].name, name) == 0)
      return (int32_t)i;
  return -1;
}

/* Work offered, or before any the published share.  That is a share of the
   instances, so that a large replica stands for more of it.  */
static void
reckon_need (struct plan *plan)
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

static void
reckon_have (struct plan *plan)
{
  const struct bd_replicas_input *input = plan->step->input;
  struct bd_replicas *replicas = plan->step->replicas;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, input->fleet->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_group *group = value;
      int32_t model = model_index (input->engine, group->model);
      enum bd_group_phase phase;

      if (model < 0 || strcmp (group->service, input->service) != 0)
        continue;
      phase = bd_group_phase (input, group);
      if (phase == BD_PHASE_OPEN || phase == BD_PHASE_READY
          || phase == BD_PHASE_JOINING)
        plan->have[model]++;
    }
  for (uint32_t i = 0; i < replicas->forming_count; i++)
    {
      const struct bd_forming *forming = &replicas->forming[i];
      uint64_t hash = bd_fleet_group_hash (forming->name, forming->epoch);
      const struct bd_fleet_group *group = bd_fleet_group (input->fleet, hash);
      int32_t model = model_index (input->engine, forming->model);

      if (model >= 0
          && (group == NULL || group->member_count < forming->count))
        plan->have[model]++;
    }
}

/* Whether a leader has not answered since a member of its group was seen
   alive.  After a partition the members come back one by one, and a leader
   that seemed dead may be among those that are still to come.  */
static bool
is_death_known_since (const struct bd_fleet_endpoint *leader,
                      const struct bd_fleet_endpoint *member)
{
  return leader == member
         || (leader->missed_ms > member->listed_ms
             && leader->missed_ms > member->life_ms);
}

static bool
is_free (const struct plan *plan, const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_replicas_input *input = plan->step->input;
  const struct bd_membership_view *member = &endpoint->entry.member;
  const struct bd_fleet_group *group;

  if (!bd_is_sound (endpoint) || !bd_can_order (input, endpoint)
      || endpoint->entry.domain[0] == '\0'
      || bd_forming_of (plan->step->replicas, endpoint->entry.id) != NULL)
    return false;
  if (member->state == BD_MEMBER_NONE || member->state == BD_MEMBER_BROKEN)
    return true;
  group = bd_fleet_group (input->fleet,
                          bd_fleet_group_hash (member->group, member->epoch));
  if (group == NULL || bd_group_phase (input, group) != BD_PHASE_FREE)
    return false;
  /* The leader has left.  */
  if (group->members[0] == NULL && group->leader[0] != '\0')
    return true;
  /* It was never known: it may live where it cannot be seen, or be listed
     later than its members.  */
  if (group->members[0] == NULL)
    return input->now_ms - plan->step->replicas->since_ms > input->stall_ms
           && input->now_ms - endpoint->listed_ms > input->stall_ms
           && input->now_ms - endpoint->member_ms > input->stall_ms;
  return group->members[0]->life != BD_LIFE_DEAD
         || is_death_known_since (group->members[0], endpoint);
}

static void
collect_free (struct plan *plan)
{
  const struct bd_replicas_input *input = plan->step->input;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && plan->free_count < MAX_FREE)
    {
      struct bd_fleet_endpoint *endpoint = value;

      if (bd_is_kept (input, endpoint) && is_free (plan, endpoint))
        plan->free[plan->free_count++].endpoint = endpoint;
    }
}

/* The members of a group that could be formed in one domain.  */
struct offer
{
  uint32_t members[BD_FLEET_MAX_MEMBERS]; /* Indexes into the free ones.  */
  uint32_t count;
  int64_t ms;     /* Until the slowest of them is ready.  */
  uint32_t spare; /* Free endpoints that the domain has besides.  */
};

/* Keeps the quickest members; ties go by id, so that a choice repeats.  */
static void
offer_member (const struct plan *plan, struct offer *offer,
              int64_t ms[BD_FLEET_MAX_MEMBERS], uint32_t size, uint32_t index,
              int64_t join_ms)
{
  uint32_t at = offer->count < size ? offer->count : size;

  while (
      at > 0
      && (ms[at - 1] > join_ms
          || (ms[at - 1] == join_ms
              && strcmp (plan->free[offer->members[at - 1]].endpoint->entry.id,
                         plan->free[index].endpoint->entry.id)
                     > 0)))
    {
      if (at < size)
        {
          ms[at] = ms[at - 1];
          offer->members[at] = offer->members[at - 1];
        }
      at--;
    }
  if (at == size)
    return;
  ms[at] = join_ms;
  offer->members[at] = index;
  if (offer->count < size)
    offer->count++;
}

static bool
offer_domain (const struct plan *plan, const struct bd_engine_model *model,
              const char *domain, struct offer *offer)
{
  int64_t ms[BD_FLEET_MAX_MEMBERS];
  uint32_t found = 0;

  memset (offer, 0, sizeof *offer);
  for (uint32_t i = 0; i < plan->free_count; i++)
    {
      const struct free_endpoint *free = &plan->free[i];
      int64_t join_ms;

      if (free->is_taken || strcmp (free->endpoint->entry.domain, domain) != 0)
        continue;
      join_ms = bd_join_ms (plan->step->input, free->endpoint, model);
      if (join_ms < 0)
        continue;
      found++;
      offer_member (plan, offer, ms, model->members, i, join_ms);
    }
  if (offer->count < model->members)
    return false;
  offer->ms = ms[model->members - 1];
  offer->spare = found - model->members;
  return true;
}

/* The best offer of all domains: ready soonest, then the fewest left over. */
static bool
best_offer (const struct plan *plan, const struct bd_engine_model *model,
            struct offer *best)
{
  bool has_any = false;

  if (model->members > BD_FLEET_MAX_MEMBERS || model->members == 0)
    return false;
  for (uint32_t i = 0; i < plan->free_count; i++)
    {
      const char *domain = plan->free[i].endpoint->entry.domain;
      bool is_seen = plan->free[i].is_taken;
      struct offer offer;

      for (uint32_t j = 0; j < i && !is_seen; j++)
        is_seen
            = !plan->free[j].is_taken
              && strcmp (plan->free[j].endpoint->entry.domain, domain) == 0;
      if (is_seen || !offer_domain (plan, model, domain, &offer))
        continue;
      if (!has_any || offer.ms < best->ms
          || (offer.ms == best->ms && offer.spare < best->spare))
        *best = offer;
      has_any = true;
    }
  return has_any;
}

static void
form (struct plan *plan, const struct bd_engine_model *model,
      const struct offer *offer)
{
  struct bd_replicas *replicas = plan->step->replicas;
  struct bd_forming *forming;
  int64_t epoch = replicas->epoch;

  if (replicas->forming_count == BD_REPLICAS_MAX_FORMING)
    return;
  forming = &replicas->forming[replicas->forming_count++];
  memset (forming, 0, sizeof *forming);
  forming->count = model->members;
  forming->since_ms = plan->step->input->now_ms;
  bd_name_copy (forming->model, model->name);
  for (uint32_t i = 0; i < forming->count; i++)
    {
      struct free_endpoint *free = &plan->free[offer->members[i]];

      free->is_taken = true;
      bd_name_copy (forming->members[i], free->endpoint->entry.id);
      if (free->endpoint->entry.member.epoch > epoch)
        epoch = free->endpoint->entry.member.epoch;
    }
  replicas->epoch = epoch + 1;
  forming->epoch = replicas->epoch;
  /* A name of its own, whatever another keeper does meanwhile.  */
  snprintf (forming->name, sizeof forming->name, "r-%08lx%08lx",
            gsl_rng_uniform_int (replicas->rng, 0xffffffff),
            gsl_rng_uniform_int (replicas->rng, 0xffffffff));
}

/* The model with the least capacity for its work among those not passed. */
static int32_t
poorest (const struct plan *plan, const bool passed[BD_ENGINE_MAX_MODELS])
{
  const struct bd_engine *engine = plan->step->input->engine;
  int32_t chosen = -1;

  for (uint32_t i = 0; i < engine->model_count; i++)
    if (!passed[i]
        && (chosen < 0
            || plan->have[i] * plan->need[chosen]
                   < plan->have[chosen] * plan->need[i]))
      chosen = (int32_t)i;
  return chosen;
}

/* Forms one group; false when none can be formed or should be.  */
static bool
form_next (struct plan *plan)
{
  const struct bd_engine *engine = plan->step->input->engine;
  bool passed[BD_ENGINE_MAX_MODELS] = { false };
  int32_t first = poorest (plan, passed);
  int32_t model;

  while ((model = poorest (plan, passed)) >= 0)
    {
      struct offer offer;

      if (model != first
          && plan->have[model] / plan->need[model]
                 > ample * plan->have[first] / plan->need[first]
          && plan->step->input->has_traffic)
        return false;
      if (best_offer (plan, &engine->models[model], &offer))
        {
          form (plan, &engine->models[model], &offer);
          plan->have[model]++;
          return true;
        }
      passed[model] = true;
    }
  return false;
}

/* Whether endpoints are still coming in at the start.  */
static bool
is_settling (const struct bd_replicas_input *input)
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
  static struct free_endpoint free_list[MAX_FREE];
  struct plan plan = { .step = step, .free = free_list };

  if (is_settling (step->input))
    return;
  memset (free_list, 0, sizeof free_list);
  collect_free (&plan);
  if (plan.free_count == 0)
    return;
  reckon_need (&plan);
  reckon_have (&plan);
  while (form_next (&plan))
    continue;
}

static bool
is_model_at_hand (const struct bd_fleet_endpoint *endpoint, const char *model)
{
  return strcmp (endpoint->last_model, model) == 0
         || bd_has_staged (endpoint, model);
}

/* The model whose weights the host should get next, or NULL.  */
static const struct bd_engine_model *
missing_model (const struct plan *plan,
               const struct bd_fleet_endpoint *endpoint)
{
  bool passed[BD_ENGINE_MAX_MODELS] = { false };
  int32_t model;

  while ((model = poorest (plan, passed)) >= 0)
    {
      const struct bd_engine_model *chosen
          = &plan->step->input->engine->models[model];

      if (!is_model_at_hand (endpoint, chosen->name))
        return chosen;
      passed[model] = true;
    }
  return NULL;
}

/* Whether staging would push out weights that nothing else stands for.  */
static bool
has_room_to_stage (const struct bd_replicas_input *input,
                   const struct bd_fleet_endpoint *endpoint)
{
  uint32_t needed = 0;

  for (uint32_t i = 0; i < endpoint->entry.staged_count; i++)
    if (strcmp (endpoint->entry.staged[i], endpoint->last_model) != 0)
      needed++;
  return needed < input->engine->retained_models;
}

static bool
can_stage (const struct plan *plan, const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_replicas_input *input = plan->step->input;

  return bd_is_kept (input, endpoint) && bd_is_sound (endpoint)
         && bd_can_order (input, endpoint) && endpoint->entry.domain[0] != '\0'
         && endpoint->entry.member.state != BD_MEMBER_JOINING
         && (!endpoint->is_staging
             || bd_has_staged (endpoint, endpoint->staging_model)
             || input->now_ms >= endpoint->staging_until_ms)
         && bd_forming_of (plan->step->replicas, endpoint->entry.id) == NULL
         && has_room_to_stage (input, endpoint);
}

static bool
take_load (struct plan *plan, bool is_urgent)
{
  struct bd_replicas *replicas = plan->step->replicas;
  const struct bd_replicas_input *input = plan->step->input;

  /* Loads from before the first request are not counted.  */
  if (!input->has_traffic)
    return true;
  (void)bd_bucket_wait_ms (&replicas->loads, input->now_ms);
  if (!is_urgent && replicas->loads.tokens < load_reserve)
    return false;
  return bd_bucket_take (&replicas->loads, input->now_ms);
}

static void
order_stage (struct plan *plan, struct bd_fleet_endpoint *endpoint)
{
  const struct bd_engine_model *model = missing_model (plan, endpoint);
  bool is_urgent
      = endpoint->last_model[0] == '\0' && endpoint->entry.staged_count == 0;
  struct bd_order *order;

  if (model == NULL || !take_load (plan, is_urgent))
    return;
  order = bd_replicas_add_order (plan->step, BD_ORDER_STAGE, endpoint,
                                 is_urgent ? "new" : "ahead");
  if (order == NULL)
    return;
  bd_name_copy (order->model, model->name);
  endpoint->is_staging = true;
  bd_name_copy (endpoint->staging_model, model->name);
  endpoint->staging_until_ms = plan->step->input->now_ms + 2 * model->load_ms;
}

/* Hosts without any weights go first.  */
static void
stage_all (struct plan *plan, bool is_urgent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plan->step->input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_endpoint *endpoint = value;
      bool has_none = endpoint->last_model[0] == '\0'
                      && endpoint->entry.staged_count == 0;

      if (has_none == is_urgent && can_stage (plan, endpoint))
        order_stage (plan, endpoint);
    }
}

void
bd_replicas_stage (struct bd_replicas_step *step)
{
  struct plan plan = { .step = step };

  /* Joins that need the weight store go first.  */
  if (step->replicas->forming_count > 0 && !step->input->has_traffic)
    return;
  if (is_settling (step->input))
    return;
  reckon_need (&plan);
  reckon_have (&plan);
  stage_all (&plan, true);
  stage_all (&plan, false);
}

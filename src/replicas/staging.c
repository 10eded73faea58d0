/* Which weights to stage on which hosts.

   The load that this answers: instances that are lost, and new ones that come
   without weights, before a weight store that serves few loads at a time.
   Hosts without weights go first; then endpoints that are free because their
   domain has too few others with their weights; then, while nothing else is
   to be loaded, hosts get the weights of a model that their endpoint does not
   run, so that it can take a place of either within seconds.  */

#include "replicas/plan_internal.h"

#include <string.h>

enum
{
  /* Free for so long, an endpoint is not about to be used.  */
  STUCK_MS = 2500
};

/* Loads left for hosts without any weights before others stage ahead.  */
static const double load_reserve = 1.5;

enum host_need
{
  HOST_NEW,   /* No weights at all.  */
  HOST_STUCK, /* Free, with weights that make up no group.  */
  HOST_AHEAD, /* In use; the other model's weights would make it quick.  */
  HOST_NONE
};

static bool
is_model_at_hand (const struct bd_fleet_endpoint *endpoint, const char *model)
{
  return strcmp (endpoint->last_model, model) == 0
         || bd_has_staged (endpoint, model);
}

static bool
is_staging_now (const struct bd_replicas_input *input,
                const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->is_staging && bd_is_sound (endpoint)
         && !bd_has_staged (endpoint, endpoint->staging_model)
         && input->now_ms < endpoint->staging_until_ms;
}

/* Whether staging pushes out no weights that nothing else stands for.  */
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

static enum host_need
need_of (const struct plan *plan, const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_replicas_input *input = plan->step->input;

  if (!bd_is_kept (input, endpoint) || !bd_is_sound (endpoint)
      || !bd_can_order (endpoint) || endpoint->entry.domain[0] == '\0'
      || endpoint->entry.member.state == BD_MEMBER_JOINING
      || is_staging_now (input, endpoint)
      || bd_forming_of (plan->step->replicas, endpoint->entry.id) != NULL)
    return HOST_NONE;
  if (endpoint->last_model[0] == '\0' && endpoint->entry.staged_count == 0)
    return HOST_NEW;
  if (endpoint->entry.member.state == BD_MEMBER_NONE
      && input->now_ms - endpoint->listed_ms >= STUCK_MS
      && input->now_ms - endpoint->member_ms >= STUCK_MS)
    return HOST_STUCK;
  return has_room_to_stage (input, endpoint) ? HOST_AHEAD : HOST_NONE;
}

/* Counts the stuck endpoints of a domain, those of them that have a model at
   hand, and those that will.  */
static void
count_stuck (const struct plan *plan, const char *domain, const char *model,
             uint32_t *stuck, uint32_t *ready)
{
  const struct bd_replicas_input *input = plan->step->input;
  GHashTableIter iter;
  gpointer value;

  *stuck = *ready = 0;
  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;
      bool will = is_staging_now (input, endpoint)
                  && strcmp (endpoint->staging_model, model) == 0;

      if (strcmp (endpoint->entry.domain, domain) != 0
          || endpoint->entry.member.state != BD_MEMBER_NONE
          || (!will && need_of (plan, endpoint) != HOST_STUCK))
        continue;
      (*stuck)++;
      *ready += will || is_model_at_hand (endpoint, model);
    }
}

/* The model for which the stuck endpoints of a domain lack the fewest loads,
   when this endpoint is one of those that lack it.  */
static const struct bd_engine_model *
model_for_stuck (const struct plan *plan,
                 const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_engine *engine = plan->step->input->engine;
  const struct bd_engine_model *best = NULL;
  uint32_t fewest = UINT32_MAX;

  for (uint32_t i = 0; i < engine->model_count; i++)
    {
      const struct bd_engine_model *model = &engine->models[i];
      uint32_t stuck;
      uint32_t ready;

      count_stuck (plan, endpoint->entry.domain, model->name, &stuck, &ready);
      if (stuck < model->members || ready >= model->members
          || model->members - ready >= fewest)
        continue;
      fewest = model->members - ready;
      best = model;
    }
  return best != NULL && !is_model_at_hand (endpoint, best->name) ? best
                                                                  : NULL;
}

/* The poorest model that the endpoint cannot run at once.  */
static const struct bd_engine_model *
missing_model (const struct plan *plan,
               const struct bd_fleet_endpoint *endpoint)
{
  bool passed[BD_ENGINE_MAX_MODELS] = { false };
  int32_t model;

  while ((model = bd_plan_poorest (plan, passed)) >= 0)
    {
      const struct bd_engine_model *chosen
          = &plan->step->input->engine->models[model];

      if (!is_model_at_hand (endpoint, chosen->name))
        return chosen;
      passed[model] = true;
    }
  return NULL;
}

/* Hosts that load, and what they will add to the capacity of their models.  */
static uint32_t
reckon_staging (struct plan *plan)
{
  const struct bd_replicas_input *input = plan->step->input;
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;

      if (!is_staging_now (input, endpoint))
        continue;
      count++;
      for (uint32_t i = 0; i < input->engine->model_count; i++)
        if (endpoint->entry.member.state == BD_MEMBER_NONE
            && strcmp (input->engine->models[i].name, endpoint->staging_model)
                   == 0)
          plan->have[i] += 1.0 / input->engine->models[i].members;
    }
  return count;
}

/* Whether the weight store has room for one more load.  More at once would
   each take longer: some hosts are ready early rather than all late.  */
static bool
take_load (struct plan *plan, enum host_need need, uint32_t staging)
{
  struct bd_replicas *replicas = plan->step->replicas;
  const struct bd_replicas_input *input = plan->step->input;

  /* Loads from before the first request are not counted.  */
  if (!input->has_traffic)
    return true;
  (void)bd_bucket_wait_ms (&replicas->loads, input->now_ms);
  if (staging >= replicas->loads_at_once
      || (need == HOST_AHEAD
          && (staging > 0 || replicas->loads.tokens < load_reserve)))
    return false;
  return bd_bucket_take (&replicas->loads, input->now_ms);
}

static bool
order_stage (struct plan *plan, struct bd_fleet_endpoint *endpoint,
             enum host_need need, uint32_t staging)
{
  static const char *const reasons[] = { "new", "stuck", "ahead", "" };
  const struct bd_engine_model *model = need == HOST_STUCK
                                            ? model_for_stuck (plan, endpoint)
                                            : missing_model (plan, endpoint);
  struct bd_order *order;

  if (model == NULL || !take_load (plan, need, staging))
    return false;
  order = bd_replicas_add_order (plan->step, BD_ORDER_STAGE, endpoint,
                                 reasons[need]);
  if (order == NULL)
    return false;
  bd_name_copy (order->model, model->name);
  endpoint->is_staging = true;
  bd_name_copy (endpoint->staging_model, model->name);
  endpoint->staging_until_ms = plan->step->input->now_ms + 2 * model->load_ms;
  if (need == HOST_NEW)
    plan->have[model - plan->step->input->engine->models]
        += 1.0 / model->members;
  return true;
}

/* Orders what hosts of one need lack; returns how many now load.  */
static uint32_t
stage_all (struct plan *plan, enum host_need need, uint32_t staging)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plan->step->input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (need_of (plan, value) == need
        && order_stage (plan, value, need, staging))
      staging++;
  return staging;
}

void
bd_replicas_stage (struct bd_replicas_step *step)
{
  struct plan plan = { .step = step };
  uint32_t staging;

  /* Joins that need the weight store go first.  */
  if (step->replicas->forming_count > 0 && !step->input->has_traffic)
    return;
  if (bd_plan_is_settling (step->input))
    return;
  bd_plan_reckon_need (&plan);
  bd_plan_reckon_have (&plan);
  staging = reckon_staging (&plan);
  staging = stage_all (&plan, HOST_NEW, staging);
  staging = stage_all (&plan, HOST_STUCK, staging);
  stage_all (&plan, HOST_AHEAD, staging);
}

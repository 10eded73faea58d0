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
static const double prefetch_reserve = 1.5;

enum host_need
{
  HOST_NEW,      /* No weights at all.  */
  HOST_STUCK,    /* Free, with weights that make up no group.  */
  HOST_PREFETCH, /* In use; the other model's weights would make it quick.  */
  HOST_NONE
};

static bool
has_local_weights (const struct bd_fleet_endpoint *endpoint, const char *model)
{
  return strcmp (endpoint->last_model, model) == 0
         || bd_has_staged (endpoint, model);
}

static bool
is_staging_active (const struct bd_replicas_input *input,
                   const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->is_staging && bd_is_available (endpoint)
         && !bd_has_staged (endpoint, endpoint->staging_model)
         && input->now_ms < endpoint->staging_until_ms;
}

/* Whether staging pushes out no weights that nothing else stands for.  */
static bool
has_space_to_stage (const struct bd_replicas_input *input,
                    const struct bd_fleet_endpoint *endpoint)
{
  uint32_t kept_count = 0;

  for (uint32_t i = 0; i < endpoint->entry.staged_count; i++)
    if (strcmp (endpoint->entry.staged[i], endpoint->last_model) != 0)
      kept_count++;
  return kept_count < input->engine->retained_models;
}

static enum host_need
host_need_of (const struct plan *plan,
              const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_replicas_input *input = plan->step->input;

  if (!bd_is_controlled (input, endpoint) || !bd_is_available (endpoint)
      || !bd_can_order (endpoint) || endpoint->entry.domain[0] == '\0'
      || endpoint->entry.member.state == BD_MEMBER_JOINING
      || is_staging_active (input, endpoint)
      || bd_find_forming (plan->step->replicas, endpoint->entry.id) != NULL)
    return HOST_NONE;
  if (endpoint->last_model[0] == '\0' && endpoint->entry.staged_count == 0)
    return HOST_NEW;
  if (endpoint->entry.member.state == BD_MEMBER_NONE
      && input->now_ms - endpoint->listed_ms >= STUCK_MS
      && input->now_ms - endpoint->member_updated_ms >= STUCK_MS)
    return HOST_STUCK;
  return has_space_to_stage (input, endpoint) ? HOST_PREFETCH : HOST_NONE;
}

/* Counts the stuck endpoints of a domain, those of them that have a model at
   hand, and those that will.  */
static void
count_stuck (const struct plan *plan, const char *domain, const char *model,
             uint32_t *stuck_count, uint32_t *ready_count)
{
  const struct bd_replicas_input *input = plan->step->input;
  GHashTableIter iter;
  gpointer value;

  *stuck_count = *ready_count = 0;
  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;
      bool is_loading = is_staging_active (input, endpoint)
                        && strcmp (endpoint->staging_model, model) == 0;

      if (strcmp (endpoint->entry.domain, domain) != 0
          || endpoint->entry.member.state != BD_MEMBER_NONE
          || (!is_loading && host_need_of (plan, endpoint) != HOST_STUCK))
        continue;
      (*stuck_count)++;
      *ready_count += is_loading || has_local_weights (endpoint, model);
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
      uint32_t stuck_count;
      uint32_t ready_count;

      count_stuck (plan, endpoint->entry.domain, model->name, &stuck_count,
                   &ready_count);
      if (stuck_count < model->members || ready_count >= model->members
          || model->members - ready_count >= fewest)
        continue;
      fewest = model->members - ready_count;
      best = model;
    }
  return best != NULL && !has_local_weights (endpoint, best->name) ? best
                                                                   : NULL;
}

/* The poorest model that the endpoint cannot run at once.  */
static const struct bd_engine_model *
missing_model (const struct plan *plan,
               const struct bd_fleet_endpoint *endpoint)
{
  bool is_skipped[BD_ENGINE_MAX_MODELS] = { false };
  int32_t model;

  while ((model = bd_plan_lowest_capacity_model (plan, is_skipped)) >= 0)
    {
      const struct bd_engine_model *chosen
          = &plan->step->input->engine->models[model];

      if (!has_local_weights (endpoint, chosen->name))
        return chosen;
      is_skipped[model] = true;
    }
  return NULL;
}

/* Hosts that load, and what they will add to the capacity of their models.  */
static uint32_t
count_staging (struct plan *plan)
{
  const struct bd_replicas_input *input = plan->step->input;
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;

      if (!is_staging_active (input, endpoint))
        continue;
      count++;
      for (uint32_t i = 0; i < input->engine->model_count; i++)
        if (endpoint->entry.member.state == BD_MEMBER_NONE
            && strcmp (input->engine->models[i].name, endpoint->staging_model)
                   == 0)
          plan->capacity[i] += 1.0 / input->engine->models[i].members;
    }
  return count;
}

/* Whether the weight store has room for one more load.  More at once would
   each take longer: some hosts are ready early rather than all late.  */
static bool
acquire_load (struct plan *plan, enum host_need need, uint32_t staging_count)
{
  struct bd_replicas *replicas = plan->step->replicas;
  const struct bd_replicas_input *input = plan->step->input;

  /* Loads from before the first request are not counted.  */
  if (!input->has_traffic)
    return true;
  (void)bd_bucket_wait_ms (&replicas->loads, input->now_ms);
  if (staging_count >= replicas->loads_at_once
      || (need == HOST_PREFETCH
          && (staging_count > 0 || replicas->loads.tokens < prefetch_reserve)))
    return false;
  return bd_bucket_take (&replicas->loads, input->now_ms);
}

static bool
order_stage (struct plan *plan, struct bd_fleet_endpoint *endpoint,
             enum host_need need, uint32_t staging_count)
{
  static const char *const reasons[] = { "new", "stuck", "ahead", "" };
  const struct bd_engine_model *model = need == HOST_STUCK
                                            ? model_for_stuck (plan, endpoint)
                                            : missing_model (plan, endpoint);
  struct bd_order *order;

  if (model == NULL || !acquire_load (plan, need, staging_count))
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
    plan->capacity[model - plan->step->input->engine->models]
        += 1.0 / model->members;
  return true;
}

/* Orders what hosts of one need lack; returns how many now load.  */
static uint32_t
stage_all (struct plan *plan, enum host_need need, uint32_t staging_count)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plan->step->input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (host_need_of (plan, value) == need
        && order_stage (plan, value, need, staging_count))
      staging_count++;
  return staging_count;
}

void
bd_replicas_stage (struct bd_replicas_step *step)
{
  struct plan plan = { .step = step };
  uint32_t staging_count;

  /* Joins that need the weight store go first.  */
  if (step->replicas->forming_count > 0 && !step->input->has_traffic)
    return;
  if (bd_plan_is_settling (step->input))
    return;
  bd_plan_compute_need (&plan);
  bd_plan_compute_capacity (&plan);
  staging_count = count_staging (&plan);
  staging_count = stage_all (&plan, HOST_NEW, staging_count);
  staging_count = stage_all (&plan, HOST_STUCK, staging_count);
  stage_all (&plan, HOST_PREFETCH, staging_count);
}

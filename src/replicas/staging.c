/* Decides which weights to stage on which hosts.

   Designed for instances that are replaced by new ones without weights, and a
   weight store that serves few loads at a time.  Hosts without weights come
   first; then endpoints that are free because too few others of their domain
   have the same weights.  While there is nothing else to load, hosts prefetch
   the weights of a model that their endpoint does not run, so that it can join
   a group of either model within seconds.  */

#include "replicas/plan_internal.h"

#include <string.h>

enum
{
  /* An endpoint that is free for this long is considered stuck.  */
  STUCK_MS = 2500
};

/* Tokens of the load budget that prefetching leaves to hosts without any
   weights.  */
static const double prefetch_reserve = 1.5;

enum host_need
{
  HOST_NEW,      /* Has no weights.  */
  HOST_STUCK,    /* Free; its weights do not suffice for a group.  */
  HOST_PREFETCH, /* Has space for another model's weights, to join faster.  */
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

/* Whether staging one more model evicts no weights that are needed.  Staged
   weights of the endpoint's last model are not counted: the endpoint rejoins
   that model without them.  */
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
      && !bd_plan_has_move (plan->step, endpoint->entry.domain)
      && input->now_ms - endpoint->listed_ms >= STUCK_MS
      && input->now_ms - endpoint->member_updated_ms >= STUCK_MS)
    return HOST_STUCK;
  return has_space_to_stage (input, endpoint) ? HOST_PREFETCH : HOST_NONE;
}

/* Counts the stuck endpoints of a domain (including those that are loading the
   model), and those of them that have or are loading the model's weights.  */
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

/* Returns the model for which the stuck endpoints of the domain need the
   fewest loads to form a group; NULL when there is none or this endpoint
   already has its weights.  */
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

/* Returns the model with the lowest ratio of capacity to need among those
   whose weights the endpoint lacks, or NULL.  */
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

/* Returns the number of hosts that are loading, and adds the capacity that
   they will provide to the plan.  */
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

/* Takes one load from the budget of the weight store; returns false when it is
   exhausted.  More concurrent loads would slow each one down: it is better
   that some hosts are ready early than that all are ready late.  */
static bool
acquire_load (struct plan *plan, enum host_need need, uint32_t staging_count)
{
  struct bd_replicas *replicas = plan->step->replicas;
  const struct bd_replicas_input *input = plan->step->input;

  /* Loads before the first request are not limited.  */
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

/* Orders staging for the hosts with one kind of need; returns the new number
   of loading hosts.  */
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

  /* Before traffic, joins load from the weight store and have priority.  */
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

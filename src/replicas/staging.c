/* Which weights to stage on which hosts.

   The load that this answers: instances that are lost, and new ones that come
   without weights.  A host holds the weights of a model that its endpoint does
   not run, so that the endpoint can take a place of either within seconds.  */

#include "replicas/plan_internal.h"

#include <string.h>

enum
{
  /* Free for so long, an endpoint's weights are taken to be of no use.  */
  STUCK_MS = 3000
};

/* Loads left for hosts without any weights before others stage ahead.  */
static const double load_reserve = 1.5;

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

/* Whether an endpoint holds weights that are of no use where it is: it is
   free, and its domain has too few others for that model.  */
static bool
is_stuck (const struct bd_replicas_input *input,
          const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->entry.member.state == BD_MEMBER_NONE
         && endpoint->last_model[0] == '\0'
         && input->now_ms - endpoint->listed_ms >= STUCK_MS
         && input->now_ms - endpoint->member_ms >= STUCK_MS;
}

/* Whether staging pushes out no weights that nothing else stands for.  */
static bool
has_room_to_stage (const struct bd_replicas_input *input,
                   const struct bd_fleet_endpoint *endpoint)
{
  uint32_t needed = 0;

  if (is_stuck (input, endpoint))
    return true;
  for (uint32_t i = 0; i < endpoint->entry.staged_count; i++)
    if (strcmp (endpoint->entry.staged[i], endpoint->last_model) != 0)
      needed++;
  return needed < input->engine->retained_models;
}

static bool
is_staging_now (const struct plan *plan,
                const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->is_staging && bd_is_sound (endpoint)
         && !bd_has_staged (endpoint, endpoint->staging_model)
         && plan->step->input->now_ms < endpoint->staging_until_ms;
}

static uint32_t
staging_count (const struct plan *plan)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plan->step->input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_staging_now (plan, value);
  return count;
}

static bool
can_stage (const struct plan *plan, const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_replicas_input *input = plan->step->input;

  return bd_is_kept (input, endpoint) && bd_is_sound (endpoint)
         && bd_can_order (input, endpoint) && endpoint->entry.domain[0] != '\0'
         && endpoint->entry.member.state != BD_MEMBER_JOINING
         && !is_staging_now (plan, endpoint)
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
  if (!is_urgent
      && (replicas->loads.tokens < load_reserve
          || staging_count (plan) >= replicas->loads_at_once))
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
  if (bd_plan_is_settling (step->input))
    return;
  bd_plan_reckon_need (&plan);
  bd_plan_reckon_have (&plan);
  stage_all (&plan, true);
  stage_all (&plan, false);
}

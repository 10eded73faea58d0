/* Moves instances from a model with a higher ratio of capacity to need to one
   with a lower ratio.

   Designed for a large replica that loses one of its many members.  The
   remaining members are too few for a group of their model; together with the
   members of a small replica of the same domain they can form a large replica
   again.  */

#include "replicas/plan_internal.h"

#include <string.h>

enum
{
  /* How long the free endpoints of a domain are reserved while the members of
     the dissolved groups leave their groups.  */
  RESERVATION_MS = 2500,
  MAX_DONORS = 8
};

/* After giving up a group, the donor model's ratio of capacity to need must
   exceed the receiving model's previous ratio by this factor.  Each move then
   raises the lowest ratio, so that no move is reversed.  */
static const double min_capacity_ratio = 1.2;

/* A group that can be formed in one domain by dissolving others.  */
struct move
{
  const char *domain;
  uint32_t free_count; /* Free endpoints that can join without a load.  */
  struct bd_fleet_group *donors[MAX_DONORS];
  uint32_t donor_count;
  uint32_t in_flight; /* Requests on the donors, of all daemons.  */
};

static struct bd_reservation *
find_reservation (const struct bd_replicas_step *step, const char *domain)
{
  struct bd_replicas *replicas = step->replicas;

  for (uint32_t i = 0; i < BD_REPLICAS_MAX_RESERVED; i++)
    if (replicas->reserved[i].until_ms > step->input->now_ms
        && strcmp (replicas->reserved[i].domain, domain) == 0)
      return &replicas->reserved[i];
  return NULL;
}

bool
bd_plan_is_reserved (const struct bd_replicas_step *step, const char *domain,
                     const char *model)
{
  const struct bd_reservation *found = find_reservation (step, domain);

  return found != NULL && strcmp (found->model, model) != 0;
}

void
bd_plan_end_reservation (const struct bd_replicas_step *step,
                         const char *domain, const char *model)
{
  struct bd_reservation *found = find_reservation (step, domain);

  if (found != NULL && strcmp (found->model, model) == 0)
    found->until_ms = 0;
}

static void
reserve (const struct bd_replicas_step *step, const char *domain,
         const char *model)
{
  struct bd_replicas *replicas = step->replicas;

  for (uint32_t i = 0; i < BD_REPLICAS_MAX_RESERVED; i++)
    {
      struct bd_reservation *entry = &replicas->reserved[i];

      if (entry->until_ms > step->input->now_ms)
        continue;
      bd_name_copy (entry->domain, domain);
      bd_name_copy (entry->model, model);
      entry->until_ms = step->input->now_ms + RESERVATION_MS;
      return;
    }
}

/* Whether a group is open, serves another model, and has all its members in
   the domain and able to join without a load.  */
static bool
is_donor (const struct plan *plan, const struct bd_fleet_group *group,
          const struct bd_engine_model *model, const char *domain)
{
  const struct bd_replicas_input *input = plan->step->input;

  if (strcmp (group->service, input->service) != 0
      || strcmp (group->model, model->name) == 0
      || bd_group_phase (input, group) != BD_PHASE_OPEN
      || !bd_is_controlled (input, group->members[0]))
    return false;
  for (uint32_t i = 0; i < group->member_count; i++)
    if (strcmp (group->members[i]->entry.domain, domain) != 0
        || bd_join_ms (input, group->members[i], model) < 0)
      return false;
  return true;
}

/* Whether the donor model can give up one more group to the other model.  */
static bool
can_spare_group (const struct plan *plan, const char *donor,
                 uint32_t spared_count, uint32_t model)
{
  const struct bd_engine *engine = plan->step->input->engine;

  for (uint32_t i = 0; i < engine->model_count; i++)
    if (strcmp (engine->models[i].name, donor) == 0)
      return (plan->capacity[i] - spared_count - 1) / plan->need[i]
             > min_capacity_ratio * plan->capacity[model] / plan->need[model];
  return false;
}

/* Returns the donor group with the fewest requests that is not yet part of the
   move, or NULL.  */
static struct bd_fleet_group *
next_donor (const struct plan *plan, const struct move *move, uint32_t model)
{
  const struct bd_replicas_input *input = plan->step->input;
  struct bd_fleet_group *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, input->fleet->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_group *group = value;
      bool is_chosen = false;

      for (uint32_t i = 0; i < move->donor_count; i++)
        is_chosen = is_chosen || move->donors[i] == group;
      if (is_chosen
          || !is_donor (plan, group, &input->engine->models[model],
                        move->domain)
          || !can_spare_group (plan, group->model, move->donor_count, model))
        continue;
      if (best == NULL
          || group->in_flight + group->peers_in_flight
                 < best->in_flight + best->peers_in_flight)
        best = group;
    }
  return best;
}

static void
count_free (const struct plan *plan, struct move *move,
            const struct bd_engine_model *model)
{
  for (uint32_t i = 0; i < plan->free_count; i++)
    {
      const struct free_endpoint *free = &plan->free[i];

      if (!free->is_taken
          && strcmp (free->endpoint->entry.domain, move->domain) == 0
          && bd_join_ms (plan->step->input, free->endpoint, model) >= 0)
        move->free_count++;
    }
}

/* Fills in a move for a domain; returns false when the domain has too few
   instances for a group.  */
static bool
find_move (const struct plan *plan, const char *domain, uint32_t index,
           struct move *move)
{
  const struct bd_engine_model *model
      = &plan->step->input->engine->models[index];
  uint32_t found;

  memset (move, 0, sizeof *move);
  move->domain = domain;
  count_free (plan, move, model);
  found = move->free_count;
  while (found < model->members && move->donor_count < MAX_DONORS)
    {
      struct bd_fleet_group *donor = next_donor (plan, move, index);

      if (donor == NULL)
        return false;
      move->donors[move->donor_count++] = donor;
      move->in_flight += donor->in_flight + donor->peers_in_flight;
      found += donor->member_count;
    }
  return found >= model->members;
}

static bool
is_better (const struct move *a, const struct move *b)
{
  if (a->donor_count != b->donor_count)
    return a->donor_count < b->donor_count;
  return a->in_flight < b->in_flight;
}

static bool
best_move (const struct plan *plan, uint32_t model, struct move *best)
{
  const struct bd_replicas_input *input = plan->step->input;
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  bool has_any = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;
      const char *domain = endpoint->entry.domain;
      struct move move = { .domain = domain };

      if (!bd_is_controlled (input, endpoint) || domain[0] == '\0'
          || !g_hash_table_add (seen, (gpointer)domain)
          || find_reservation (plan->step, domain) != NULL
          || !find_move (plan, domain, model, &move))
        continue;
      if (!has_any || is_better (&move, best))
        *best = move;
      has_any = true;
    }
  g_hash_table_destroy (seen);
  return has_any;
}

void
bd_plan_reassign (struct plan *plan, uint32_t model)
{
  struct bd_replicas_step *step = plan->step;
  const struct bd_replicas_input *input = step->input;
  struct move move = { .domain = NULL };

  if (!input->has_traffic
      || input->now_ms - step->replicas->last_move_ms
             < BD_REPLICAS_MOVE_INTERVAL_MS
      || !best_move (plan, model, &move))
    return;
  step->replicas->last_move_ms = input->now_ms;
  reserve (step, move.domain, input->engine->models[model].name);
  for (uint32_t i = 0; i < move.donor_count; i++)
    {
      const struct bd_fleet_group *donor = move.donors[i];
      struct bd_order *order = bd_replicas_add_order (
          step, BD_ORDER_LEAVE, donor->members[0], "another model needs it");

      if (order == NULL)
        return;
      bd_name_copy (order->group, donor->name);
      bd_name_copy (order->model, donor->model);
      order->epoch = donor->epoch;
    }
}

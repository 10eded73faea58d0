/* Moves instances from a model with a higher ratio of capacity to need to one
   with a lower ratio.

   Designed for a large replica that loses one of its many members.  The
   remaining members are too few for a group of their model; together with the
   members of a small replica of the same domain they can form a large replica
   again.  The small replica, the donor, is closed and finishes its requests
   before it is dissolved.  */

#include "replicas/plan_internal.h"

#include <string.h>

enum
{
  /* How long the free endpoints of a domain are reserved beyond the closing of
     the donors, while their members leave them.  */
  RESERVATION_MS = 2500
};

/* After giving up a group, the donor model's ratio of capacity to need must
   exceed the receiving model's previous ratio by this factor.  Each move then
   raises the lowest ratio, so that no move is reversed.  */
static const double min_capacity_ratio = 1.2;

/* A group that can be formed in one domain by dissolving others.  */
struct move
{
  const char *domain;
  uint32_t free_count;   /* Free endpoints that can join without a load.  */
  uint32_t member_count; /* Those, and members of donors that can, too.  */
  struct bd_fleet_group *donors[BD_REPLICAS_MAX_DONORS];
  uint32_t donor_count;
  uint32_t in_flight; /* Requests on the donors, of all daemons.  */
};

static bool
is_active (const struct bd_replicas_step *step,
           const struct bd_reservation *entry)
{
  return entry->until_ms > step->input->now_ms;
}

static struct bd_reservation *
find_reservation (const struct bd_replicas_step *step, const char *domain)
{
  struct bd_replicas *replicas = step->replicas;

  for (uint32_t i = 0; i < BD_REPLICAS_MAX_RESERVED; i++)
    if (is_active (step, &replicas->reserved[i])
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

bool
bd_plan_has_move (const struct bd_replicas_step *step, const char *domain)
{
  return find_reservation (step, domain) != NULL;
}

void
bd_plan_end_reservation (struct plan *plan, const char *domain, uint32_t model)
{
  struct bd_reservation *found = find_reservation (plan->step, domain);

  if (found == NULL
      || strcmp (found->model, plan->step->input->engine->models[model].name)
             != 0)
    return;
  found->until_ms = 0;
  plan->capacity[model]--;
}

static bool
has_donor (const struct bd_reservation *entry, uint64_t hash)
{
  for (uint32_t i = 0; i < entry->donor_count; i++)
    if (entry->donors[i] == hash)
      return true;
  return false;
}

static const struct bd_reservation *
find_donation (const struct bd_replicas_step *step,
               const struct bd_fleet_group *group)
{
  const struct bd_replicas *replicas = step->replicas;

  for (uint32_t i = 0; i < BD_REPLICAS_MAX_RESERVED; i++)
    if (is_active (step, &replicas->reserved[i])
        && has_donor (&replicas->reserved[i], group->hash))
      return &replicas->reserved[i];
  return NULL;
}

bool
bd_is_donor (const struct bd_replicas_step *step,
             const struct bd_fleet_group *group)
{
  return find_donation (step, group) != NULL;
}

void
bd_reconcile_donor (struct bd_replicas_step *step,
                    const struct bd_fleet_group *group,
                    enum bd_group_phase phase)
{
  const struct bd_reservation *entry = find_donation (step, group);
  static const char reason[] = "another model needs it";

  if (phase == BD_PHASE_OPEN)
    bd_order_leader (step, group, BD_ORDER_CLOSE, reason);
  else if (phase == BD_PHASE_READY
           || step->input->now_ms >= entry->close_until_ms)
    bd_order_leader (step, group, BD_ORDER_LEAVE, reason);
}

/* Whether an endpoint of the domain can become a member of the new group: it
   is in no group, or in a donor.  */
static bool
is_available_to_move (const struct plan *plan,
                      const struct bd_reservation *entry,
                      const struct bd_fleet_endpoint *endpoint,
                      const struct bd_engine_model *model)
{
  const struct bd_replicas_input *input = plan->step->input;
  const struct bd_membership_view *member = &endpoint->entry.member;

  if (!bd_fleet_is_available (endpoint) || !bd_is_controlled (input, endpoint)
      || strcmp (endpoint->entry.domain, entry->domain) != 0
      || bd_join_ms (input, endpoint, model) < 0
      || bd_find_forming (plan->step->replicas, endpoint->entry.id) != NULL)
    return false;
  return has_donor (entry, bd_fleet_group_hash (member->group, member->epoch))
         || bd_is_released (plan->step->replicas, input, endpoint);
}

static bool
has_enough_endpoints (const struct plan *plan,
                      const struct bd_reservation *entry,
                      const struct bd_engine_model *model)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, plan->step->input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_available_to_move (plan, entry, value, model);
  return count >= model->members;
}

/* Whether the model of a donor now has less capacity for its need than the
   model at index, which the move does not count for yet.  */
static bool
is_needed_again (const struct plan *plan, const struct bd_reservation *entry,
                 uint32_t index)
{
  const struct bd_replicas_input *input = plan->step->input;

  for (uint32_t i = 0; i < entry->donor_count; i++)
    {
      const struct bd_fleet_group *donor
          = bd_fleet_group (input->fleet, entry->donors[i]);
      int32_t model = donor != NULL
                          ? bd_plan_model_index (input->engine, donor->model)
                          : -1;

      if (model >= 0
          && plan->capacity[model] / plan->need[model]
                 < plan->capacity[index] / plan->need[index])
        return true;
    }
  return false;
}

/* Counts the donors that can be opened again as capacity of their models.  */
static void
count_donors (struct plan *plan, const struct bd_reservation *entry)
{
  const struct bd_replicas_input *input = plan->step->input;

  for (uint32_t i = 0; i < entry->donor_count; i++)
    {
      const struct bd_fleet_group *donor
          = bd_fleet_group (input->fleet, entry->donors[i]);
      enum bd_group_phase phase;
      int32_t model;

      if (donor == NULL)
        continue;
      phase = bd_group_phase (input, donor);
      model = bd_plan_model_index (input->engine, donor->model);
      if (model >= 0
          && (phase == BD_PHASE_OPEN || phase == BD_PHASE_CLOSING
              || phase == BD_PHASE_READY))
        plan->capacity[model]++;
    }
}

void
bd_plan_count_moves (struct plan *plan)
{
  const struct bd_replicas_input *input = plan->step->input;
  struct bd_replicas *replicas = plan->step->replicas;

  for (uint32_t i = 0; i < BD_REPLICAS_MAX_RESERVED; i++)
    {
      struct bd_reservation *entry = &replicas->reserved[i];
      int32_t index;

      if (!is_active (plan->step, entry))
        continue;
      index = bd_plan_model_index (input->engine, entry->model);
      if (index < 0
          || !has_enough_endpoints (plan, entry, &input->engine->models[index])
          || is_needed_again (plan, entry, (uint32_t)index))
        {
          entry->until_ms = 0;
          count_donors (plan, entry);
        }
      else
        plan->capacity[index]++;
    }
}

/* Returns whether there was room for the reservation.  */
static bool
reserve (const struct bd_replicas_step *step, const struct move *move,
         const char *model)
{
  struct bd_replicas *replicas = step->replicas;

  for (uint32_t i = 0; i < BD_REPLICAS_MAX_RESERVED; i++)
    {
      struct bd_reservation *entry = &replicas->reserved[i];

      if (is_active (step, entry))
        continue;
      bd_name_copy (entry->domain, move->domain);
      bd_name_copy (entry->model, model);
      entry->donor_count = move->donor_count;
      for (uint32_t d = 0; d < move->donor_count; d++)
        entry->donors[d] = move->donors[d]->hash;
      entry->close_until_ms
          = step->input->now_ms + step->input->close_limit_ms;
      entry->until_ms = entry->close_until_ms + RESERVATION_MS;
      return true;
    }
  return false;
}

/* Whether a group is open, serves another model, and has all its members in
   the domain.  */
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
    if (strcmp (group->members[i]->entry.domain, domain) != 0)
      return false;
  return true;
}

/* Counts the members of a group that can join a group of the model without a
   load.  */
static uint32_t
count_joinable (const struct plan *plan, const struct bd_fleet_group *group,
                const struct bd_engine_model *model)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->member_count; i++)
    count += bd_join_ms (plan->step->input, group->members[i], model) >= 0;
  return count;
}

/* Whether most members of the new group serve nobody now, as after a loss.
   Such a move does not follow demand, so it need not wait for earlier ones to
   show their effect.  */
static bool
is_repair (const struct move *move, const struct bd_engine_model *model)
{
  return 2 * move->free_count > model->members;
}

/* Whether the members of a donor suffice for the move: all of them, or those
   that complete a repair.  The others stay free.  */
static bool
is_useful_donor (const struct plan *plan, const struct move *move,
                 const struct bd_fleet_group *group,
                 const struct bd_engine_model *model)
{
  uint32_t joinable = count_joinable (plan, group, model);

  return joinable == group->member_count
         || (is_repair (move, model)
             && move->member_count + joinable >= model->members);
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
          || !is_useful_donor (plan, move, group,
                               &input->engine->models[model])
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

  memset (move, 0, sizeof *move);
  move->domain = domain;
  count_free (plan, move, model);
  move->member_count = move->free_count;
  while (move->member_count < model->members
         && move->donor_count < BD_REPLICAS_MAX_DONORS)
    {
      struct bd_fleet_group *donor = next_donor (plan, move, index);

      if (donor == NULL)
        return false;
      move->donors[move->donor_count++] = donor;
      move->in_flight += donor->in_flight + donor->peers_in_flight;
      move->member_count += count_joinable (plan, donor, model);
    }
  return move->member_count >= model->members;
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

static void
close_donors (struct plan *plan, const struct move *move)
{
  for (uint32_t i = 0; i < move->donor_count; i++)
    {
      int32_t donor = bd_plan_model_index (plan->step->input->engine,
                                           move->donors[i]->model);

      if (donor >= 0)
        plan->capacity[donor]--;
      bd_reconcile_donor (plan->step, move->donors[i], BD_PHASE_OPEN);
    }
}

bool
bd_plan_reassign (struct plan *plan, uint32_t model)
{
  struct bd_replicas_step *step = plan->step;
  const struct bd_replicas_input *input = step->input;
  struct move move = { .domain = NULL };
  bool must_wait;

  if (!input->has_traffic || !best_move (plan, model, &move))
    return false;
  must_wait = !is_repair (&move, &input->engine->models[model]);
  if ((must_wait
       && input->now_ms - step->replicas->last_move_ms
              < BD_REPLICAS_MOVE_INTERVAL_MS)
      || !reserve (step, &move, input->engine->models[model].name))
    return false;
  if (must_wait)
    step->replicas->last_move_ms = input->now_ms;
  plan->capacity[model]++;
  close_donors (plan, &move);
  return true;
}

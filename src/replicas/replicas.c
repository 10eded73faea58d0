/* Decides which orders and probes are due for the members of groups, and
   applies their results.  */

#include "replicas/replicas_internal.h"

#include <stddef.h>
#include <string.h>

enum
{
  /* An unanswered order is repeated after this time; the daemon's HTTP client
     times out earlier.  */
  ORDER_RETRY_MS = 500,
  /* A forming group is abandoned after the minimum timeout plus this many
     times the expected join time.  */
  FORMING_TIMEOUT_FACTOR = 4,
  FORMING_MIN_TIMEOUT_MS = 3000,
  /* Join time for the model of the member's last group, by the protocol.  */
  REJOIN_MS = 200,
  PROBE_INTERVAL_MS = 120,
  DEAD_PROBE_INTERVAL_MS = 400,
  /* Expired entries are listed again within two seconds, by the protocol.  */
  RELISTING_MS = 2500,
  /* A group that serves requests makes progress within this time.  */
  PROGRESS_WINDOW_MS = 600,
  /* A closed group without progress for this long may have finished.  */
  QUIET_MS = 150,
  /* A member that leaves remains for this time while its leader has work, by
     the protocol.  */
  LEAVING_LIMIT_MS = 10000,
  /* An endpoint is probed when the list shows another state than the confirmed
     one for this long.  */
  CONTRADICTION_MS = 1000
};

/* Loads before the first request take this fraction of the usual time.  */
static const double early_load_factor = 0.1;
/* Fraction of the weight store's rate that is used, and burst size of the load
   budget.  */
static const double load_rate_share = 0.8;
static const double load_burst = 2.0;

const char *
bd_order_name (enum bd_order_kind kind)
{
  static const char *const names[]
      = { "none", "join", "open", "close", "leave", "stage" };

  return names[kind];
}

void
bd_replicas_init (struct bd_replicas *replicas, int64_t token,
                  double loads_per_s, uint32_t loads_at_once, gsl_rng *rng,
                  int64_t now_ms)
{
  /* The entries of forming beyond forming_count are not read.  They are 260
     KiB that would become resident in every controller.  */
  memset (&replicas->forming_count, 0,
          sizeof *replicas - offsetof (struct bd_replicas, forming_count));
  replicas->rng = rng;
  replicas->epoch = replicas->first_epoch
      = token * BD_REPLICAS_EPOCHS_PER_TERM;
  replicas->loads_at_once = loads_at_once > 0 ? loads_at_once : 1;
  replicas->started_ms = now_ms;
  bd_bucket_init (&replicas->loads, loads_per_s * load_rate_share, load_burst,
                  now_ms);
  /* The previous controller may have used up the burst.  */
  replicas->loads.tokens = 0;
}

bool
bd_is_available (const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->is_listed && !endpoint->entry.is_draining
         && endpoint->liveness == BD_LIVENESS_ALIVE;
}

bool
bd_is_controlled (const struct bd_replicas_input *input,
                  const struct bd_fleet_endpoint *endpoint)
{
  return strcmp (endpoint->entry.service, input->service) == 0
         && input->is_controlled (input->ctx, endpoint->entry.data_centre);
}

bool
bd_can_order (const struct bd_fleet_endpoint *endpoint)
{
  return !endpoint->order.is_pending;
}

bool
bd_has_staged (const struct bd_fleet_endpoint *endpoint, const char *model)
{
  for (uint32_t i = 0; i < endpoint->entry.staged_count; i++)
    if (strcmp (endpoint->entry.staged[i], model) == 0)
      return true;
  return false;
}

int64_t
bd_join_ms (const struct bd_replicas_input *input,
            const struct bd_fleet_endpoint *endpoint,
            const struct bd_engine_model *model)
{
  if (strcmp (endpoint->last_model, model->name) == 0)
    return REJOIN_MS;
  if (bd_has_staged (endpoint, model->name))
    return model->warm_ms;
  if (input->has_traffic)
    return -1;
  return (int64_t)(early_load_factor * (double)model->load_ms);
}

static bool
is_version_confirmed (const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->confirmed.is_current
         && !endpoint->confirmed.is_version_doubtful;
}

struct bd_order *
bd_replicas_add_order (struct bd_replicas_step *step, enum bd_order_kind kind,
                       const struct bd_fleet_endpoint *to, const char *reason)
{
  struct bd_order *order;

  if (step->count == step->max)
    return NULL;
  order = &step->orders[step->count++];
  memset (order, 0, sizeof *order);
  order->kind = kind;
  order->reason = reason;
  order->silent_ms = -1;
  order->expected_version
      = is_version_confirmed (to) ? to->confirmed.version : -1;
  bd_name_copy (order->endpoint, to->entry.id);
  return order;
}

bool
bd_is_confirmed (struct bd_fleet_endpoint *endpoint)
{
  endpoint->confirmed.is_report_needed = !is_version_confirmed (endpoint);
  return is_version_confirmed (endpoint);
}

struct bd_forming *
bd_find_forming (struct bd_replicas *replicas, const char *id)
{
  for (uint32_t i = 0; i < replicas->forming_count; i++)
    for (uint32_t m = 0; m < replicas->forming[i].count; m++)
      if (strcmp (replicas->forming[i].members[m], id) == 0)
        return &replicas->forming[i];
  return NULL;
}

static bool
has_progress (const struct bd_replicas_input *input,
              const struct bd_fleet_group *group)
{
  return input->now_ms - bd_fleet_progress_ms (group) < PROGRESS_WINDOW_MS;
}

struct bd_fleet_endpoint *
bd_group_leader (const struct bd_replicas_input *input,
                 const struct bd_fleet_group *group)
{
  return group->members[0] != NULL
             ? group->members[0]
             : bd_fleet_endpoint (input->fleet, group->leader);
}

/* Whether the leader is in the group no more and no order that was sent before
   can bring it back: endpoints refuse joins of lower epochs, and those whose
   condition a confirmed leave has changed.  */
static bool
has_left (const struct bd_fleet_endpoint *leader,
          const struct bd_fleet_group *group)
{
  const struct bd_membership_view *member = &leader->entry.member;

  return member->epoch > group->epoch
         || (leader->confirmed.left_group == group->hash
             && group->members[0] != leader)
         || (member->state == BD_MEMBER_BROKEN && member->epoch == group->epoch
             && strcmp (member->group, group->name) == 0);
}

/* Whether the leader can still serve the group, so that its members are not
   allowed to join another one.  */
static bool
can_leader_serve (const struct bd_replicas_input *input,
                  const struct bd_fleet_group *group)
{
  const struct bd_fleet_endpoint *leader = bd_group_leader (input, group);

  if (leader == NULL)
    return has_progress (input, group);
  if (has_left (leader, group))
    return false;
  return leader->liveness != BD_LIVENESS_DEAD || has_progress (input, group);
}

/* Whether the list lacks the endpoint, and not for an outage of the store.  */
static bool
is_missing (const struct bd_fleet_endpoint *endpoint)
{
  return !endpoint->is_listed || endpoint->grace_end_ms > 0;
}

/* Whether a member can no longer serve its group.  An endpoint that is no
   longer listed may be leaving, and a probe may miss one that serves: a group
   that makes progress has all its members.  */
static bool
is_lost (const struct bd_replicas_input *input,
         const struct bd_fleet_group *group,
         const struct bd_fleet_endpoint *member)
{
  if (member == NULL || member->entry.member.state == BD_MEMBER_BROKEN)
    return true;
  if (!member->is_listed
      && input->now_ms - member->delisted_ms >= LEAVING_LIMIT_MS)
    return true;
  if (has_progress (input, group))
    return false;
  return member->liveness == BD_LIVENESS_DEAD
         || (is_missing (member) && member->missed_probes > 0);
}

/* Returns the number of members that groups of the model have now; 0 if the
   configuration does not have the model.  */
static uint32_t
wanted_size (const struct bd_replicas_input *input,
             const struct bd_fleet_group *group)
{
  const struct bd_engine_model *model
      = bd_engine_model (input->engine, group->model);

  return model != NULL ? model->members : 0;
}

/* Returns the number of members that the group was formed with, as far as it
   is known; at least that of its model if it was never seen complete.  */
static uint32_t
formed_size (const struct bd_replicas_input *input,
             const struct bd_fleet_group *group)
{
  uint32_t size = group->formed_count > 0 ? group->formed_count
                                          : wanted_size (input, group);

  for (uint32_t rank = 0; rank < BD_FLEET_MAX_MEMBERS; rank++)
    if (group->members[rank] != NULL && rank >= size)
      size = rank + 1;
  return size;
}

static enum bd_group_phase
phase_of_sound_group (const struct bd_fleet_group *group, bool is_ready)
{
  switch (group->members[0]->entry.member.state)
    {
    case BD_MEMBER_OPEN:
      return BD_PHASE_OPEN;
    case BD_MEMBER_CLOSING:
      return BD_PHASE_CLOSING;
    default:
      return is_ready ? BD_PHASE_READY : BD_PHASE_JOINING;
    }
}

enum bd_group_phase
bd_group_phase (const struct bd_replicas_input *input,
                const struct bd_fleet_group *group)
{
  uint32_t size = formed_size (input, group);
  bool is_wanted = size == wanted_size (input, group);
  bool is_complete = size > 0 && group->member_count == size;
  bool is_leaving = false;
  bool is_ready = true;

  for (uint32_t i = 0; i < size && is_complete; i++)
    {
      const struct bd_fleet_endpoint *member = group->members[i];

      if (is_lost (input, group, member))
        is_complete = false;
      else if (!bd_fleet_is_available (member))
        is_leaving = true;
      else if (member->entry.member.state == BD_MEMBER_JOINING)
        is_ready = false;
    }
  if (is_complete && !is_leaving && is_wanted)
    return phase_of_sound_group (group, is_ready);
  if (!can_leader_serve (input, group))
    return BD_PHASE_RELEASED;
  if (!is_complete)
    return BD_PHASE_INCOMPLETE;
  return is_wanted ? BD_PHASE_LEAVING : BD_PHASE_OBSOLETE;
}

static bool
has_recent_order (const struct bd_replicas_input *input,
                  const struct bd_fleet_endpoint *endpoint,
                  enum bd_order_kind kind, const struct bd_fleet_group *group)
{
  return endpoint->order.kind == kind && endpoint->order.epoch == group->epoch
         && strcmp (endpoint->order.group, group->name) == 0
         && input->now_ms - endpoint->order.sent_ms < ORDER_RETRY_MS;
}

/* Does nothing while the member's state is not confirmed, it has a pending
   order, or the same order was sent recently.  */
static void
order_member (struct bd_replicas_step *step,
              const struct bd_fleet_group *group,
              struct bd_fleet_endpoint *member, enum bd_order_kind kind,
              const char *reason)
{
  struct bd_order *order;

  if (!bd_is_confirmed (member) || !bd_can_order (member)
      || has_recent_order (step->input, member, kind, group))
    return;
  order = bd_replicas_add_order (step, kind, member, reason);
  if (order == NULL)
    return;
  bd_name_copy (order->group, group->name);
  bd_name_copy (order->model, group->model);
  order->epoch = group->epoch;
  order->in_flight = group->in_flight + group->peers_in_flight;
  order->present_count = group->member_count;
  order->size = wanted_size (step->input, group);
  if (bd_fleet_progress_ms (group) > 0)
    order->silent_ms = step->input->now_ms - bd_fleet_progress_ms (group);
}

void
bd_order_leader (struct bd_replicas_step *step,
                 const struct bd_fleet_group *group, enum bd_order_kind kind,
                 const char *reason)
{
  struct bd_fleet_endpoint *leader = bd_group_leader (step->input, group);

  if (leader != NULL)
    order_member (step, group, leader, kind, reason);
}

bool
bd_is_controlled_group (const struct bd_replicas_input *input,
                        const struct bd_fleet_group *group)
{
  for (uint32_t i = 0; i < BD_FLEET_MAX_MEMBERS; i++)
    if (group->members[i] != NULL)
      return bd_is_controlled (input, group->members[i]);
  return false;
}

/* Returns the latest time at which an available member of the group was
   listed; 0 when there is none.  */
static int64_t
last_listed_ms (const struct bd_fleet_group *group)
{
  int64_t last_ms = 0;

  for (uint32_t i = 0; i < BD_FLEET_MAX_MEMBERS; i++)
    {
      const struct bd_fleet_endpoint *member = group->members[i];

      if (member != NULL && bd_is_available (member)
          && member->listed_ms > last_ms)
        last_ms = member->listed_ms;
    }
  return last_ms;
}

/* Whether the group serves with a member that this controller does not know:
   its entry was removed before the others were listed here.  */
static bool
has_unknown_member (const struct bd_replicas_input *input,
                    const struct bd_fleet_group *group)
{
  return group->member_count < formed_size (input, group)
         && has_progress (input, group);
}

/* Whether the group can become complete again when more entries are listed:
   after a partition entries return one by one, and members that missed probes
   during the partition can respond again.  */
static bool
is_relisting_expected (const struct bd_replicas_input *input,
                       const struct bd_fleet_group *group)
{
  uint32_t size = formed_size (input, group);
  int64_t group_listed_ms = last_listed_ms (group);

  if (size > BD_FLEET_MAX_MEMBERS
      || input->now_ms - group_listed_ms >= RELISTING_MS)
    return false;
  for (uint32_t i = 0; i < size; i++)
    {
      const struct bd_fleet_endpoint *member = group->members[i];

      if (member == NULL && has_progress (input, group))
        continue;
      if (member == NULL || member->entry.is_draining
          || (member->liveness == BD_LIVENESS_DEAD
              && member->missed_probe_ms > group_listed_ms))
        return false;
    }
  return true;
}

/* Whether a member of a released group has to leave it before it can join
   another one: its leader can be alive and unreachable, or be ordered to open
   by an earlier controller that is still active.  */
static bool
must_leave (const struct bd_replicas_step *step,
            const struct bd_fleet_group *group,
            const struct bd_fleet_endpoint *member)
{
  const struct bd_fleet_endpoint *leader
      = bd_group_leader (step->input, group);
  int64_t stall_ms = step->input->stall_ms;
  int64_t now_ms = step->input->now_ms;

  if (!bd_is_available (member))
    return false;
  if (leader != NULL && leader->liveness == BD_LIVENESS_DEAD)
    return leader->missed_probe_ms > last_listed_ms (group)
           && leader->missed_probe_ms > member->liveness_changed_ms;
  if (leader != NULL)
    return group->epoch <= step->replicas->first_epoch;
  /* A leader that was never listed here can be listed later than its
     members.  */
  return group->leader[0] != '\0'
         || (now_ms - step->replicas->started_ms > stall_ms
             && now_ms - member->listed_ms > stall_ms
             && now_ms - member->member_updated_ms > stall_ms);
}

static void
release_members (struct bd_replicas_step *step,
                 const struct bd_fleet_group *group)
{
  for (uint32_t i = 1; i < BD_FLEET_MAX_MEMBERS; i++)
    if (group->members[i] != NULL
        && must_leave (step, group, group->members[i]))
      order_member (step, group, group->members[i], BD_ORDER_LEAVE,
                    "the leader does not serve the group");
}

enum open_decision
{
  OPEN_NOW,
  OPEN_LATER, /* The state of a member is not confirmed.  */
  OPEN_NEVER  /* A delayed order can remove a member.  */
};

/* Whether an unanswered order can still remove the member from its group.  */
static bool
can_exit_late (const struct bd_fleet_endpoint *member)
{
  return member->confirmed.pending_exit_version == member->confirmed.version;
}

/* Decides whether a ready group can be opened.  The orders of an earlier
   controller are unknown here, so its groups are formed again.  */
static enum open_decision
decide_open (const struct bd_replicas *replicas,
             const struct bd_fleet_group *group)
{
  enum open_decision decision = OPEN_NOW;

  if (group->epoch <= replicas->first_epoch)
    return OPEN_NEVER;
  for (uint32_t i = 0; i < BD_FLEET_MAX_MEMBERS; i++)
    {
      struct bd_fleet_endpoint *member = group->members[i];

      if (member == NULL)
        continue;
      if (!bd_is_confirmed (member))
        decision = OPEN_LATER;
      else if (can_exit_late (member))
        return OPEN_NEVER;
    }
  return decision;
}

/* Returns since when this controller has known the endpoint at its present
   version.  */
static int64_t
known_since_ms (const struct bd_replicas_step *step,
                const struct bd_fleet_endpoint *endpoint)
{
  return MAX (MAX (step->replicas->started_ms, endpoint->listed_ms),
              endpoint->confirmed.version_ms);
}

/* Returns the time after which a report shows that an order to open was
   carried out.  */
static int64_t
opening_ms (const struct bd_engine *engine)
{
  return engine->form_ms + engine->report_lag_ms;
}

/* Whether a group of an earlier controller lacks a member here and has been
   known for too short a time to know whether it serves.  */
static bool
is_newly_known (const struct bd_replicas_step *step,
                const struct bd_fleet_group *group)
{
  const struct bd_fleet_endpoint *leader = group->members[0];

  if (leader == NULL || !step->input->has_traffic
      || group->epoch > step->replicas->first_epoch
      || group->member_count >= formed_size (step->input, group))
    return false;
  return step->input->now_ms - known_since_ms (step, leader)
         < MAX (PROGRESS_WINDOW_MS, opening_ms (step->input->engine));
}

/* Whether the leader, which was last seen ready, can have accepted an order to
   open that no report has shown the end of: one of this controller, or one of
   an earlier controller, or one without an answer, which have led to the
   version that it was first seen with.  Requests a report that shows it.
   Before traffic a group that opens has no requests to lose.  */
static bool
can_be_opening (const struct bd_replicas_step *step,
                struct bd_fleet_endpoint *leader)
{
  struct bd_confirmed_state *confirmed = &leader->confirmed;
  int64_t opened_ms
      = known_since_ms (step, leader) + opening_ms (step->input->engine);

  if (leader->entry.member.state != BD_MEMBER_READY
      || !step->input->has_traffic)
    return false;
  if (confirmed->opening_version > 0
      && confirmed->opening_version == confirmed->version)
    return true;
  if (step->input->now_ms >= opened_ms && leader->last_probe_ms < opened_ms)
    confirmed->is_report_needed = true;
  return leader->last_probe_ms < opened_ms;
}

static void
reconcile_ready_group (struct bd_replicas_step *step,
                       const struct bd_fleet_group *group)
{
  switch (decide_open (step->replicas, group))
    {
    case OPEN_NOW:
      bd_order_leader (step, group, BD_ORDER_OPEN, "every member is ready");
      break;
    case OPEN_LATER:
      break;
    case OPEN_NEVER:
      if (!can_be_opening (step, group->members[0]))
        bd_order_leader (step, group, BD_ORDER_LEAVE,
                         "a delayed order can remove a member");
      break;
    }
}

/* Closes a group that a delayed order can end.  The order to close leads to
   another version of the leader's state, so that the leader refuses the
   delayed one.  */
static void
reconcile_open_group (struct bd_replicas_step *step,
                      const struct bd_fleet_group *group)
{
  bool can_end = false;

  for (uint32_t i = 0; i < BD_FLEET_MAX_MEMBERS; i++)
    can_end
        = can_end
          || (group->members[i] != NULL && can_exit_late (group->members[i]));
  if (can_end)
    bd_order_leader (step, group, BD_ORDER_CLOSE,
                     "a delayed order can remove a member");
}

/* Whether the leader has accepted this controller's order to close the group
   longer ago than its requests can run.  */
static bool
is_close_overdue (const struct bd_replicas_step *step,
                  const struct bd_fleet_group *group,
                  const struct bd_fleet_endpoint *leader)
{
  const struct bd_order_state *order = &leader->order;

  return order->kind == BD_ORDER_CLOSE && order->epoch == group->epoch
         && strcmp (order->group, group->name) == 0 && order->accepted_ms > 0
         && step->input->now_ms - order->accepted_ms
                >= step->input->close_limit_ms;
}

/* Closes a group that is to be dissolved; it leaves when its leader has
   finished its requests.  The counts of other daemons can be old, so they do
   not decide that.  */
static void
dissolve_group (struct bd_replicas_step *step,
                const struct bd_fleet_group *group, const char *reason)
{
  struct bd_fleet_endpoint *leader = group->members[0];

  if (leader == NULL || can_be_opening (step, leader))
    return;
  switch (leader->entry.member.state)
    {
    case BD_MEMBER_OPEN:
      bd_order_leader (step, group, BD_ORDER_CLOSE, reason);
      break;
    case BD_MEMBER_CLOSING:
      if (is_close_overdue (step, group, leader))
        bd_order_leader (step, group, BD_ORDER_LEAVE, reason);
      break;
    default:
      bd_order_leader (step, group, BD_ORDER_LEAVE, reason);
      break;
    }
}

static bool
is_forming (const struct bd_replicas *replicas,
            const struct bd_fleet_group *group)
{
  for (uint32_t i = 0; i < replicas->forming_count; i++)
    if (replicas->forming[i].epoch == group->epoch
        && strcmp (replicas->forming[i].name, group->name) == 0)
      return true;
  return false;
}

/* Opens a ready group; dissolves a group that has lost a member, or that
   another model needs.  */
static void
reconcile_group (struct bd_replicas_step *step, struct bd_fleet_group *group)
{
  enum bd_group_phase phase = bd_group_phase (step->input, group);

  switch (phase)
    {
    case BD_PHASE_READY:
      if (bd_is_donor (step, group))
        bd_reconcile_donor (step, group, phase);
      else
        reconcile_ready_group (step, group);
      break;
    case BD_PHASE_OPEN:
    case BD_PHASE_CLOSING:
      if (bd_is_donor (step, group))
        bd_reconcile_donor (step, group, phase);
      else if (phase == BD_PHASE_OPEN)
        reconcile_open_group (step, group);
      break;
    case BD_PHASE_INCOMPLETE:
      if (is_forming (step->replicas, group)
          || is_relisting_expected (step->input, group)
          || is_newly_known (step, group))
        break;
      if (has_unknown_member (step->input, group))
        dissolve_group (step, group, "a member is not known");
      else
        bd_order_leader (step, group, BD_ORDER_LEAVE, "a member is lost");
      break;
    case BD_PHASE_LEAVING:
      if (!is_relisting_expected (step->input, group))
        dissolve_group (step, group, "a member is leaving");
      break;
    case BD_PHASE_OBSOLETE:
      dissolve_group (step, group, "the configuration has changed");
      break;
    case BD_PHASE_RELEASED:
      release_members (step, group);
      break;
    case BD_PHASE_JOINING:
      break;
    }
}

static void
remove_forming (struct bd_replicas *replicas, uint32_t index)
{
  replicas->forming[index] = replicas->forming[--replicas->forming_count];
}

static bool
is_member_of (const struct bd_fleet_endpoint *endpoint,
              const struct bd_forming *forming)
{
  const struct bd_membership_view *member = &endpoint->entry.member;

  return member->state != BD_MEMBER_NONE && member->epoch == forming->epoch
         && strcmp (member->group, forming->name) == 0;
}

static void
order_join (struct bd_replicas_step *step, const struct bd_forming *forming,
            const struct bd_fleet_endpoint *member)
{
  struct bd_order *order
      = bd_replicas_add_order (step, BD_ORDER_JOIN, member, "forming");

  if (order == NULL)
    return;
  bd_name_copy (order->group, forming->name);
  bd_name_copy (order->model, forming->model);
  order->epoch = forming->epoch;
  memcpy (order->members, forming->members, sizeof order->members);
  order->member_count = forming->count;
}

static bool
needs_join (const struct bd_replicas_input *input,
            const struct bd_forming *forming,
            const struct bd_fleet_endpoint *member)
{
  const struct bd_order_state *order = &member->order;

  if (is_member_of (member, forming) || !bd_can_order (member))
    return false;
  return order->kind != BD_ORDER_JOIN || order->epoch != forming->epoch
         || strcmp (order->group, forming->name) != 0
         || input->now_ms - order->sent_ms >= ORDER_RETRY_MS;
}

/* Returns how long a forming group can take until it is abandoned.  */
static int64_t
forming_timeout_ms (const struct bd_replicas_input *input,
                    const struct bd_forming *forming)
{
  const struct bd_engine_model *model
      = bd_engine_model (input->engine, forming->model);
  int64_t expected_ms = model == NULL        ? 0
                        : input->has_traffic ? model->warm_ms
                                             : model->load_ms;

  return FORMING_MIN_TIMEOUT_MS + FORMING_TIMEOUT_FACTOR * expected_ms;
}

/* Adds the join orders that are due for a group that is being formed.  Returns
   false when the group is open or cannot be formed any more.  */
static bool
reconcile_forming (struct bd_replicas_step *step,
                   const struct bd_forming *forming)
{
  const struct bd_replicas_input *input = step->input;
  const struct bd_engine_model *model
      = bd_engine_model (input->engine, forming->model);
  uint32_t open = 0;

  if (model == NULL || model->members != forming->count
      || input->now_ms - forming->started_ms
             > forming_timeout_ms (input, forming))
    return false;
  for (uint32_t i = 0; i < forming->count; i++)
    {
      const struct bd_fleet_endpoint *member
          = bd_fleet_endpoint (input->fleet, forming->members[i]);

      if (member == NULL || !bd_is_available (member)
          || member->entry.member.epoch > forming->epoch)
        return false;
      if (is_member_of (member, forming)
          && member->entry.member.state == BD_MEMBER_OPEN)
        open++;
    }
  if (open > 0)
    return false;
  for (uint32_t i = 0; i < forming->count; i++)
    {
      struct bd_fleet_endpoint *member
          = bd_fleet_endpoint (input->fleet, forming->members[i]);

      if (!needs_join (input, forming, member) || !bd_is_confirmed (member))
        continue;
      if (!bd_is_released (step->replicas, input, member))
        return false;
      order_join (step, forming, member);
    }
  return true;
}

static uint32_t
recorded_count (const struct bd_replicas *replicas, uint64_t group)
{
  for (uint32_t i = 0; i < BD_REPLICAS_MAX_FORMED; i++)
    if (replicas->formed[i].group == group)
      return replicas->formed[i].count;
  return 0;
}

/* Sets the sizes of the groups that this controller has formed.  */
static void
note_own_groups (const struct bd_replicas *replicas, struct bd_fleet *fleet)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_group *group = value;

      if (group->formed_count == 0 && group->epoch > replicas->first_epoch)
        group->formed_count = recorded_count (replicas, group->hash);
    }
}

void
bd_replicas_note_formed (struct bd_fleet *fleet, const char *service,
                         const struct bd_engine *engine)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_group *group = value;
      const struct bd_engine_model *model
          = bd_engine_model (engine, group->model);

      if (model != NULL && group->member_count == model->members
          && group->formed_count < group->member_count
          && strcmp (group->service, service) == 0)
        group->formed_count = group->member_count;
    }
}

uint32_t
bd_replicas_step (struct bd_replicas *replicas,
                  const struct bd_replicas_input *input,
                  struct bd_order *orders, uint32_t max)
{
  struct bd_replicas_step step
      = { .replicas = replicas, .input = input, .orders = orders, .max = max };
  GHashTableIter iter;
  gpointer value;

  bd_fleet_refresh (input->fleet);
  note_own_groups (replicas, input->fleet);
  for (uint32_t i = replicas->forming_count; i-- > 0;)
    if (!reconcile_forming (&step, &replicas->forming[i]))
      remove_forming (replicas, i);
  g_hash_table_iter_init (&iter, input->fleet->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (bd_is_controlled_group (input, value))
      reconcile_group (&step, value);
  bd_replicas_plan (&step);
  bd_replicas_stage (&step);
  bd_replicas_note_formed (input->fleet, input->service, input->engine);
  return step.count;
}

void
bd_replicas_mark_sent (struct bd_fleet *fleet, const struct bd_order *order,
                       int64_t now_ms)
{
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (fleet, order->endpoint);

  if (endpoint == NULL)
    return;
  endpoint->order.is_pending = true;
  endpoint->order.sent_ms = now_ms;
  endpoint->order.accepted_ms = 0;
  endpoint->order.kind = order->kind;
  endpoint->order.epoch = order->epoch;
  bd_name_copy (endpoint->order.group, order->group);
  bd_name_copy (endpoint->order.model, order->model);
}

static uint32_t
rank_of (const struct bd_order *order)
{
  uint32_t rank = 0;

  while (rank < order->member_count
         && strcmp (order->members[rank], order->endpoint) != 0)
    rank++;
  return rank;
}

/* Records the version that an executed order has led to.  An order that finds
   its state reached does not count.  */
static void
confirm_order (struct bd_fleet_endpoint *endpoint,
               const struct bd_order *order, bool has_begun)
{
  if (order->expected_version < 0)
    endpoint->confirmed.is_current = false;
  else if (order->expected_version == endpoint->confirmed.version)
    bd_fleet_set_confirmed (endpoint, order->expected_version + has_begun);
}

static void
apply_join (struct bd_fleet_endpoint *endpoint, const struct bd_order *order,
            enum bd_order_result result)
{
  struct bd_membership_view *member = &endpoint->entry.member;

  confirm_order (endpoint, order, result == BD_ORDER_ACCEPTED);
  endpoint->confirmed.left_group = 0;
  if (result == BD_ORDER_DONE && member->epoch == order->epoch
      && strcmp (member->group, order->group) == 0)
    return;
  memset (member, 0, sizeof *member);
  member->state = BD_MEMBER_JOINING;
  member->epoch = order->epoch;
  member->rank = rank_of (order);
  bd_name_copy (member->group, order->group);
  bd_name_copy (member->model, order->model);
}

static void
apply_leave (struct bd_fleet_endpoint *endpoint, const struct bd_order *order)
{
  struct bd_membership_view *member = &endpoint->entry.member;
  bool is_member = member->state != BD_MEMBER_NONE
                   && member->epoch == order->epoch
                   && strcmp (member->group, order->group) == 0;

  confirm_order (endpoint, order, is_member);
  endpoint->confirmed.left_group
      = bd_fleet_group_hash (order->group, order->epoch);
  if (is_member)
    member->state = BD_MEMBER_NONE;
}

/* An earlier controller can have ordered the same load.  While that is under
   way the order is accepted and not counted.  */
static void
apply_stage (struct bd_fleet_endpoint *endpoint, const struct bd_order *order,
             enum bd_order_result result)
{
  bool is_accepted = result == BD_ORDER_ACCEPTED;

  confirm_order (endpoint, order, false);
  endpoint->confirmed.is_version_doubtful = is_accepted;
  endpoint->confirmed.is_report_needed = is_accepted;
  endpoint->is_staging = is_accepted;
  bd_name_copy (endpoint->staging_model, order->model);
}

/* A closed leader is closing, or ready again when it had nothing to finish;
   reports tell.  */
static void
apply_close (struct bd_fleet_endpoint *endpoint, const struct bd_order *order,
             enum bd_order_result result)
{
  struct bd_membership_view *member = &endpoint->entry.member;

  confirm_order (endpoint, order, result == BD_ORDER_ACCEPTED);
  if (member->state == BD_MEMBER_OPEN && member->epoch == order->epoch
      && strcmp (member->group, order->group) == 0)
    member->state = BD_MEMBER_CLOSING;
}

/* Applies the effect of an accepted order to the endpoint's entry, until the
   endpoint reports its state.  */
static void
apply_order (struct bd_fleet_endpoint *endpoint, const struct bd_order *order,
             enum bd_order_result result, int64_t now_ms)
{
  endpoint->member_updated_ms = now_ms;
  switch (order->kind)
    {
    case BD_ORDER_JOIN:
      apply_join (endpoint, order, result);
      break;
    case BD_ORDER_OPEN:
      confirm_order (endpoint, order, result == BD_ORDER_ACCEPTED);
      if (result == BD_ORDER_ACCEPTED)
        endpoint->confirmed.opening_version = order->expected_version + 1;
      break;
    case BD_ORDER_LEAVE:
      apply_leave (endpoint, order);
      break;
    case BD_ORDER_STAGE:
      apply_stage (endpoint, order, result);
      break;
    case BD_ORDER_CLOSE:
      apply_close (endpoint, order, result);
      break;
    case BD_ORDER_NONE:
      break;
    }
}

/* The endpoint's state differs from the confirmed one, or can come to differ
   from it; a report corrects it.  */
static void
doubt_state (struct bd_fleet_endpoint *endpoint, const struct bd_order *order,
             int64_t now_ms)
{
  endpoint->confirmed.is_current = false;
  if (order->kind == BD_ORDER_STAGE)
    endpoint->is_staging = false;
  bd_fleet_suspect (endpoint, now_ms);
}

static void
abandon_forming (struct bd_replicas *replicas, const struct bd_order *order)
{
  for (uint32_t i = replicas->forming_count; i-- > 0;)
    if (replicas->forming[i].epoch == order->epoch
        && strcmp (replicas->forming[i].name, order->group) == 0)
      remove_forming (replicas, i);
}

void
bd_replicas_apply_result (struct bd_replicas *replicas, struct bd_fleet *fleet,
                          const struct bd_order *order,
                          enum bd_order_result result, int64_t now_ms)
{
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (fleet, order->endpoint);

  if (endpoint == NULL)
    return;
  endpoint->order.is_pending = false;
  switch (result)
    {
    case BD_ORDER_ACCEPTED:
    case BD_ORDER_DONE:
      endpoint->order.accepted_ms = now_ms;
      endpoint->missed_probes = 0;
      apply_order (endpoint, order, result, now_ms);
      break;
    case BD_ORDER_REFUSED:
      doubt_state (endpoint, order, now_ms);
      /* No load has begun.  */
      if (order->kind == BD_ORDER_STAGE)
        replicas->loads.tokens++;
      break;
    case BD_ORDER_FENCED:
      doubt_state (endpoint, order, now_ms);
      if (order->kind == BD_ORDER_JOIN)
        abandon_forming (replicas, order);
      break;
    case BD_ORDER_UNANSWERED:
      if (order->kind == BD_ORDER_JOIN || order->kind == BD_ORDER_LEAVE)
        endpoint->confirmed.pending_exit_version = order->expected_version;
      doubt_state (endpoint, order, now_ms);
      break;
    }
  fleet->changed_ms = now_ms;
}

/* Whether a member that has accepted a join is expected to be ready.  */
static bool
is_ready_due (const struct bd_replicas_input *input,
              const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_membership_view *member = &endpoint->entry.member;
  const struct bd_engine_model *model
      = bd_engine_model (input->engine, member->model);
  int64_t due_ms = endpoint->order.accepted_ms + REJOIN_MS;

  if (member->state != BD_MEMBER_JOINING || model == NULL)
    return false;
  if (strcmp (endpoint->last_model, model->name) != 0)
    due_ms = endpoint->order.accepted_ms
             + (bd_has_staged (endpoint, model->name)
                    ? model->warm_ms
                    : (int64_t)(early_load_factor * (double)model->load_ms));
  return input->now_ms >= due_ms;
}

static bool
is_open_due (const struct bd_replicas_input *input,
             const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->order.kind == BD_ORDER_OPEN
         && endpoint->order.accepted_ms > 0
         && endpoint->entry.member.state == BD_MEMBER_READY
         && input->now_ms - endpoint->order.accepted_ms
                >= input->engine->form_ms;
}

/* Whether a closed leader is expected to have finished: no daemon waits for a
   response of its group, or none has received anything for a while.  */
static bool
is_close_due (const struct bd_replicas_input *input,
              const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_membership_view *member = &endpoint->entry.member;
  const struct bd_fleet_group *group;

  if (member->state != BD_MEMBER_CLOSING)
    return false;
  group = bd_fleet_group (input->fleet,
                          bd_fleet_group_hash (member->group, member->epoch));
  return group != NULL
         && (group->in_flight + group->peers_in_flight == 0
             || input->now_ms - bd_fleet_progress_ms (group) >= QUIET_MS);
}

/* An endpoint that the list lacks can still lead a group.  */
static bool
is_missing_member (const struct bd_fleet_endpoint *endpoint)
{
  return is_missing (endpoint) && endpoint->liveness != BD_LIVENESS_DEAD
         && endpoint->entry.member.state != BD_MEMBER_NONE;
}

/* Whether other members of the endpoint's group cannot join another one until
   it is confirmed to be dead.  */
static bool
is_death_confirmation_needed (const struct bd_replicas_input *input,
                              const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_membership_view *member = &endpoint->entry.member;
  const struct bd_fleet_group *group;

  if (member->state == BD_MEMBER_NONE)
    return false;
  group = bd_fleet_group (input->fleet,
                          bd_fleet_group_hash (member->group, member->epoch));
  return group != NULL && last_listed_ms (group) > 0
         && (member->rank == 0
             || endpoint->missed_probe_ms <= last_listed_ms (group));
}

/* Whether the list has shown another state for long, and no probe was sent
   since.  */
static bool
is_contradicted (const struct bd_replicas_input *input,
                 const struct bd_fleet_endpoint *endpoint)
{
  int64_t since_ms = endpoint->confirmed.contradicted_ms;

  if (since_ms == 0)
    return false;
  if (endpoint->last_probe_ms > since_ms)
    since_ms = endpoint->last_probe_ms;
  return input->now_ms - since_ms >= CONTRADICTION_MS;
}

/* Whether a report is needed and will show the effect of the last order.  */
static bool
is_report_due (const struct bd_replicas_input *input,
               const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_confirmed_state *confirmed = &endpoint->confirmed;

  return confirmed->is_report_needed
         && (!confirmed->is_version_doubtful
             || input->now_ms - endpoint->order.accepted_ms
                    > input->engine->report_lag_ms);
}

static bool
is_probe_due (const struct bd_replicas_input *input,
              const struct bd_fleet_endpoint *endpoint)
{
  int64_t elapsed_ms = input->now_ms - endpoint->last_probe_ms;

  if (endpoint->has_pending_probe)
    return false;
  switch (endpoint->liveness)
    {
    case BD_LIVENESS_SUSPECTED:
      return true;
    case BD_LIVENESS_DEAD:
      return (endpoint->is_listed
              || is_death_confirmation_needed (input, endpoint))
             && input->now_ms - endpoint->missed_probe_ms
                    >= DEAD_PROBE_INTERVAL_MS;
    case BD_LIVENESS_ALIVE:
      break;
    }
  if (is_missing_member (endpoint)
      && (endpoint->last_probe_ms < endpoint->delisted_ms
          || elapsed_ms >= DEAD_PROBE_INTERVAL_MS))
    return true;
  if (is_contradicted (input, endpoint))
    return true;
  return elapsed_ms >= PROBE_INTERVAL_MS
         && (is_report_due (input, endpoint) || is_ready_due (input, endpoint)
             || is_open_due (input, endpoint)
             || is_close_due (input, endpoint));
}

uint32_t
bd_replicas_due_probes (struct bd_replicas *replicas,
                        const struct bd_replicas_input *input,
                        const char **ids, uint32_t max)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  (void)replicas;
  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;

      if (bd_is_controlled (input, endpoint) && is_probe_due (input, endpoint))
        ids[count++] = endpoint->entry.id;
    }
  return count;
}

static void
count_group (const struct bd_replicas_input *input,
             const struct bd_fleet_group *group,
             struct bd_replicas_summary *summary)
{
  const struct bd_engine_model *model
      = bd_engine_model (input->engine, group->model);
  uint32_t index;

  if (model == NULL || !bd_is_controlled_group (input, group))
    return;
  index = (uint32_t)(model - input->engine->models);
  switch (bd_group_phase (input, group))
    {
    case BD_PHASE_OPEN:
      summary->open[index]++;
      break;
    case BD_PHASE_CLOSING:
    case BD_PHASE_OBSOLETE:
      summary->closing[index]++;
      break;
    case BD_PHASE_READY:
    case BD_PHASE_JOINING:
      summary->forming[index]++;
      break;
    case BD_PHASE_LEAVING:
    case BD_PHASE_INCOMPLETE:
      summary->broken[index]++;
      break;
    case BD_PHASE_RELEASED:
      break;
    }
}

void
bd_replicas_summarize (const struct bd_replicas *replicas,
                       const struct bd_replicas_input *input,
                       struct bd_replicas_summary *summary)
{
  double total = 0;
  GHashTableIter iter;
  gpointer value;

  memset (summary, 0, sizeof *summary);
  for (uint32_t i = 0; i < BD_REPLICAS_MAX_RESERVED; i++)
    summary->reserved += replicas->reserved[i].until_ms > input->now_ms;
  g_hash_table_iter_init (&iter, input->fleet->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count_group (input, value, summary);
  g_hash_table_iter_init (&iter, input->fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;

      if (!bd_is_controlled (input, endpoint) || !bd_is_available (endpoint)
          || endpoint->entry.member.state != BD_MEMBER_NONE)
        continue;
      if (endpoint->last_model[0] == '\0' && endpoint->entry.staged_count == 0)
        summary->cold++;
      else
        summary->free++;
    }
  for (uint32_t i = 0; i < input->engine->model_count; i++)
    total += input->demand[i] * input->engine->models[i].members;
  for (uint32_t i = 0; i < input->engine->model_count && total > 0; i++)
    summary->wanted_percent[i]
        = (uint32_t)(100 * input->demand[i] * input->engine->models[i].members
                     / total);
}

/* Messages between daemons.  The periodic status of a daemon shows that it is
   alive, and contains its traffic on each group.  */

#include "edge/edge_internal.h"

#include <string.h>
#include <talloc.h>

enum
{
  /* Period of the status in a small fleet, and the maximum number of daemons
     of such a fleet.  In larger fleets the period is longer, so that the cost
     of the status messages for each daemon does not grow with the fleet.  */
  STATUS_PERIOD_MS = 100,
  SMALL_FLEET_DAEMONS = 12,
  /* In a large fleet, daemons of other data centres get only every fourth
     status.  */
  REMOTE_TURNS = 4,
  /* Status periods without a message after which a daemon counts as dead, and
     the minimum time.  Another daemon then becomes controller in its place.
     The traffic of an unresponsive daemon counts for the same time.  */
  DEAD_AFTER_PERIODS = 5,
  MIN_DEAD_AFTER_MS = 1200,
  MAX_TARGETS = 512
};

void
bd_edge_send_to_peer (struct bd_edge *edge, const struct bd_member *member,
                      enum bd_message_type type, const void *message)
{
  bd_peers_send (&edge->peers, member->address, member->peer_port, type,
                 message);
}

void
bd_edge_broadcast (struct bd_edge *edge, enum bd_message_type type,
                   const void *message)
{
  for (uint32_t i = 1; i < edge->membership.count; i++)
    bd_edge_send_to_peer (edge, &edge->membership.members[i], type, message);
}

static uint32_t
collect_targets (struct bd_edge *edge, struct bd_target_traffic *targets)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.groups);
  while (count < MAX_TARGETS && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_group *group = value;

      if (group->in_flight > 0)
        targets[count++] = (struct bd_target_traffic){
          .target = group->hash,
          .in_flight = group->in_flight,
          .prefill_ms = group->prefill_ms,
          .progress_age_ms = (uint32_t)(now_ms - group->progress_ms),
        };
    }
  return count;
}

static uint32_t
collect_work (struct bd_edge *edge, struct bd_model_demand *work)
{
  for (uint32_t i = 0; i < edge->work_count; i++)
    work[i] = (struct bd_model_demand){
      .model = bd_hash (edge->work[i].model, strlen (edge->work[i].model)),
      .busy_replicas = edge->work[i].offered_replicas,
    };
  return edge->work_count;
}

/* Updates the moving average of the load offered for each model.  */
static void
update_offered_load (struct bd_edge *edge)
{
  enum
  {
    WORK_PERIOD_MS = 500,
    /* A shorter time is too short a sample of the offered load; until then the
       configured share is used.  */
    MIN_SPAN_MS = 4000
  };
  static const double smoothing = 0.08;
  int64_t now_ms = bd_edge_now_ms (edge);

  if (edge->first_model_request_ms == 0
      || now_ms - edge->first_model_request_ms < MIN_SPAN_MS)
    return;
  for (uint32_t i = 0; i < edge->work_count; i++)
    {
      struct bd_edge_work *work = &edge->work[i];
      int64_t elapsed_ms = now_ms - work->window_start_ms;
      double sample;

      if (elapsed_ms < WORK_PERIOD_MS)
        continue;
      sample = work->window_work_ms / (double)elapsed_ms;
      work->offered_replicas
          = work->offered_replicas == 0
                ? sample
                : work->offered_replicas
                      + smoothing * (sample - work->offered_replicas);
      work->window_start_ms = now_ms;
      work->window_work_ms = 0;
    }
}

/* Sums the traffic of the peers on each group.  */
static void
sum_peer_traffic (struct bd_edge *edge)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_group *group = value;

      group->peers_in_flight = 0;
      group->peers_prefill_ms = 0;
    }
  g_hash_table_iter_init (&iter, edge->peer_traffic);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_edge_peer *peer = value;

      if (now_ms - peer->last_received_ms
          > edge->membership.remote_dead_after_ms)
        continue;
      for (uint32_t i = 0; i < peer->target_count; i++)
        {
          const struct bd_target_traffic *target = &peer->targets[i];
          struct bd_fleet_group *group
              = bd_fleet_group (&edge->fleet, target->target);
          int64_t progress_ms
              = peer->last_received_ms - target->progress_age_ms;

          if (group == NULL)
            continue;
          group->peers_in_flight += target->in_flight;
          group->peers_prefill_ms += target->prefill_ms;
          if (progress_ms > group->peers_progress_ms)
            group->peers_progress_ms = progress_ms;
        }
    }
}

static void
free_peer (gpointer peer)
{
  talloc_free (peer);
}

static void
receive_status (struct bd_edge *edge, const struct bd_edge_status *status)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  struct bd_member member = { .peer_port = status->peer_port,
                              .incarnation = status->incarnation,
                              .is_stopping = status->is_stopping,
                              .config_revision = status->config_version };
  struct bd_edge_peer *peer;

  bd_name_copy (member.name, status->name);
  bd_name_copy (member.data_centre, status->data_centre);
  bd_name_copy (member.address, status->address);
  if (strcmp (status->name, edge->settings->name) == 0
      || bd_membership_receive_heartbeat (&edge->membership, &member, now_ms)
             != BD_OK)
    return;
  peer = g_hash_table_lookup (edge->peer_traffic, status->name);
  if (peer == NULL)
    {
      peer = talloc_zero (edge, struct bd_edge_peer);
      bd_name_copy (peer->name, status->name);
      g_hash_table_insert (edge->peer_traffic, peer->name, peer);
      bd_log ("peer-found", "peer", status->name, "address", status->address,
              NULL);
    }
  peer->last_received_ms = now_ms;
  if (status->config_version > edge->highest_config_version)
    edge->highest_config_version = status->config_version;
  edge->has_traffic = edge->has_traffic || status->has_traffic;
  talloc_free (peer->targets);
  talloc_free (peer->work);
  peer->target_count = status->target_count;
  peer->targets
      = talloc_memdup (peer, status->targets,
                       status->target_count * sizeof *status->targets + 1);
  peer->work_count = status->work_count;
  peer->work = talloc_memdup (peer, status->work,
                              status->work_count * sizeof *status->work + 1);
  sum_peer_traffic (edge);
}

static void
receive_poison_update (struct bd_edge *edge,
                       const struct bd_poison_update *update)
{
  if (update->is_cleared)
    bd_poison_clear (&edge->poison_requests, update->fingerprint);
  else
    bd_poison_record_crash (&edge->poison_requests, update->fingerprint,
                            update->target, bd_edge_now_ms (edge));
}

static void
handle_message (void *ctx, enum bd_message_type type, const void *message)
{
  struct bd_edge *edge = ctx;

  switch (type)
    {
    case BD_MESSAGE_EDGE_STATUS:
      receive_status (edge, message);
      break;
    case BD_MESSAGE_FRESHNESS_REQUEST:
      bd_edge_send_freshness_reply (edge, message);
      break;
    case BD_MESSAGE_FRESHNESS_REPLY:
      bd_edge_receive_freshness_reply (edge, message);
      break;
    case BD_MESSAGE_SUSPICION:
      bd_edge_receive_suspicion (edge, message);
      break;
    case BD_MESSAGE_LEAVING:
      bd_edge_receive_leaving (edge, message);
      break;
    case BD_MESSAGE_POISON:
      receive_poison_update (edge, message);
      break;
    default:
      break;
    }
}

/* Sets the status period, and the time after which a daemon is dead, by the
   size of the fleet and of the data centre.  */
static void
adjust_status_period (struct bd_edge *edge)
{
  uint32_t local_daemons = bd_membership_count_live (
      &edge->membership, edge->settings->data_centre);
  bool is_small = edge->membership.count <= SMALL_FLEET_DAEMONS;
  uint32_t period_ms
      = is_small ? STATUS_PERIOD_MS
                 : STATUS_PERIOD_MS * (local_daemons + SMALL_FLEET_DAEMONS - 1)
                       / SMALL_FLEET_DAEMONS;
  uint32_t remote_period_ms = is_small ? period_ms : REMOTE_TURNS * period_ms;

  edge->status_ticker.period_ms = period_ms;
  edge->membership.dead_after_ms
      = DEAD_AFTER_PERIODS * period_ms > MIN_DEAD_AFTER_MS
            ? DEAD_AFTER_PERIODS * period_ms
            : MIN_DEAD_AFTER_MS;
  edge->membership.remote_dead_after_ms
      = DEAD_AFTER_PERIODS * remote_period_ms > MIN_DEAD_AFTER_MS
            ? DEAD_AFTER_PERIODS * remote_period_ms
            : MIN_DEAD_AFTER_MS;
}

static bool
is_status_due (struct bd_edge *edge, const struct bd_member *member)
{
  return edge->membership.count <= SMALL_FLEET_DAEMONS || edge->is_stopping
         || strcmp (member->data_centre, edge->settings->data_centre) == 0
         || edge->status_turn % REMOTE_TURNS == 0;
}

void
bd_edge_send_status (void *ctx)
{
  struct bd_edge *edge = ctx;
  const struct bd_edge_settings *settings = edge->settings;
  static struct bd_target_traffic targets[MAX_TARGETS];
  struct bd_model_demand work[BD_ENGINE_MAX_MODELS];
  struct bd_edge_status status
      = { .peer_port = settings->peer_port,
          .incarnation = bd_membership_self (&edge->membership)->incarnation,
          .config_version = edge->routes != NULL ? edge->routes->version : 0,
          .is_stopping = edge->is_stopping,
          .has_traffic = edge->has_traffic,
          .targets = targets,
          .work = work };

  update_offered_load (edge);
  bd_edge_share_retries (edge);
  if (bd_membership_tick (&edge->membership, bd_edge_now_ms (edge)))
    bd_log ("peer-lost", "live",
            BD_NUM (bd_membership_count_live (&edge->membership, NULL)), NULL);
  sum_peer_traffic (edge);
  bd_name_copy (status.name, settings->name);
  bd_name_copy (status.data_centre, settings->data_centre);
  bd_name_copy (status.address, settings->address);
  status.target_count = collect_targets (edge, targets);
  status.work_count = collect_work (edge, work);
  adjust_status_period (edge);
  edge->status_turn++;
  for (uint32_t i = 1; i < edge->membership.count; i++)
    if (is_status_due (edge, &edge->membership.members[i]))
      bd_edge_send_to_peer (edge, &edge->membership.members[i],
                            BD_MESSAGE_EDGE_STATUS, &status);
}

bool
bd_edge_start_peers (struct bd_edge *edge)
{
  const struct bd_edge_settings *settings = edge->settings;
  struct bd_member self = { .peer_port = settings->peer_port };

  bd_name_copy (self.name, settings->name);
  bd_name_copy (self.data_centre, settings->data_centre);
  bd_name_copy (self.address, settings->address);
  self.incarnation = bd_clock_calendar_ms (&edge->clock);
  bd_membership_init (&edge->membership, edge, &self, MIN_DEAD_AFTER_MS);
  edge->peer_traffic
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  return bd_peers_init (&edge->peers, edge->events, &edge->counters,
                        settings->address, settings->peer_port, handle_message,
                        edge);
}

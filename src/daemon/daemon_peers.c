/* Heartbeats and messages between daemons.  */

#include "daemon/daemon_internal.h"

#include "base/log.h"

#include <string.h>

enum
{
  MAX_USAGES = 32,
  REMOTE_CAPACITY_PERIOD_MS = 10000,
  /* Minimum heartbeat period for each live member of the data centre, so that
     the bytes per second of heartbeats stay bounded as it grows.  */
  HEARTBEAT_MS_PER_MEMBER = 24,
  /* The minimum time between two reports of account usages is this value times
     the reported accounts times the live members.  So few accounts are
     reported that it does not exceed USAGES_PERIOD_MS.  */
  USAGE_MS_PER_MEMBER = 8,
  USAGES_PERIOD_MS = 6000
};

bool
bd_daemon_is_relay (const struct bd_daemon *daemon)
{
  return bd_membership_is_relay (&daemon->membership,
                                 &daemon->membership.members[0]);
}

void
bd_daemon_send (struct bd_daemon *daemon, const struct bd_member *member,
                enum bd_message_type type, const void *message)
{
  bd_peers_send (&daemon->peers, member->address, member->peer_port, type,
                 message);
}

void
bd_daemon_send_to_data_centre (struct bd_daemon *daemon,
                               enum bd_message_type type, const void *message)
{
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) == 0)
        bd_daemon_send (daemon, member, type, message);
    }
}

void
bd_daemon_send_to_all (struct bd_daemon *daemon, enum bd_message_type type,
                       const void *message)
{
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    if (daemon->membership.members[i].is_live)
      bd_daemon_send (daemon, &daemon->membership.members[i], type, message);
}

/* Fills in the demand of the largest accounts.  Their number and frequency are
   limited, since a heartbeat goes to every member of the data centre.  Returns
   0 while the usages are not due.  */
static uint32_t
fill_usages (struct bd_daemon *daemon, struct bd_usage *usages)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);
  uint32_t live = bd_membership_count_live (&daemon->membership,
                                            daemon->settings->data_centre);
  uint32_t max_count = USAGES_PERIOD_MS / (live * USAGE_MS_PER_MEMBER);
  uint32_t count;

  max_count = max_count < MAX_USAGES ? max_count : MAX_USAGES;
  count = bd_limits_top_usages (&daemon->limits, now_ms, usages, max_count);
  if (now_ms - daemon->usages_sent_ms
      < (int64_t)count * live * USAGE_MS_PER_MEMBER)
    return 0;
  daemon->usages_sent_ms = now_ms;
  return count;
}

static void
fill_heartbeat (struct bd_daemon *daemon, struct bd_heartbeat *heartbeat,
                struct bd_usage *usages)
{
  const struct bd_member *self = bd_membership_self (&daemon->membership);
  const struct bd_assignment *assignment = daemon->controller.assignment;

  memset (heartbeat, 0, sizeof *heartbeat);
  bd_name_copy (heartbeat->name, self->name);
  bd_name_copy (heartbeat->data_centre, self->data_centre);
  bd_name_copy (heartbeat->address, self->address);
  heartbeat->http_port = self->http_port;
  heartbeat->peer_port = self->peer_port;
  heartbeat->incarnation = self->incarnation;
  heartbeat->config_revision = daemon->config.revision;
  heartbeat->assignment_term = assignment != NULL ? assignment->term : 0;
  heartbeat->assignment_sequence
      = assignment != NULL ? assignment->sequence : 0;
  heartbeat->is_stopping = self->is_stopping;
  heartbeat->usages = usages;
  heartbeat->usage_count = fill_usages (daemon, usages);
}

int64_t
bd_daemon_lowest_revision (const struct bd_daemon *daemon)
{
  int64_t lowest = daemon->config.revision;

  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) == 0
          && member->config_revision < lowest)
        lowest = member->config_revision;
    }
  return lowest;
}

static uint32_t
fill_capacities (struct bd_daemon *daemon,
                 struct bd_service_capacity *capacities)
{
  uint32_t count = 0;

  for (uint32_t i = 0;
       i < daemon->config.service_count && count < BD_MAX_SERVICE_CAPACITIES;
       i++)
    {
      const struct bd_service *service = daemon->config.services[i];
      struct bd_service_queue *service_queue
          = bd_daemon_service_queue (daemon, service->name);
      capacities[count++] = (struct bd_service_capacity){
        .service_hash = bd_hash (service->name, strlen (service->name)),
        .free = bd_daemon_free_slots (daemon, service),
        .queued = service_queue->queue.count
      };
    }
  return count;
}

static void
fill_data_centre_status (struct bd_daemon *daemon,
                         struct bd_data_centre_status *status,
                         struct bd_service_capacity *capacities)
{
  const struct bd_settings *settings = daemon->settings;

  memset (status, 0, sizeof *status);
  bd_name_copy (status->name, settings->data_centre);
  status->live
      = bd_membership_count_live (&daemon->membership, settings->data_centre);
  status->lowest_revision = bd_daemon_lowest_revision (daemon);
  bd_name_copy (status->address, settings->address);
  status->http_port = settings->http_port;
  status->capacities = capacities;
  status->capacity_count = fill_capacities (daemon, capacities);
}

/* Relays send the status of their data centre to the relays of the others.  */
static void
send_data_centre_status (struct bd_daemon *daemon)
{
  struct bd_service_capacity capacities[BD_MAX_SERVICE_CAPACITIES];
  struct bd_data_centre_status status;

  if (!bd_daemon_is_relay (daemon))
    return;
  fill_data_centre_status (daemon, &status, capacities);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) != 0
          && bd_membership_should_send_heartbeat (&daemon->membership, member))
        bd_daemon_send (daemon, member, BD_MESSAGE_DATA_CENTRE, &status);
    }
}

/* Relays send the other daemons of their data centre, which get no status of
   remote data centres, a summary of the services that have remote capacity.
   The daemons send calls of these services to the relay.  The summary changes
   seldom, so it costs fewer bytes than forwarding every status.  */
static void
send_remote_capacities (struct bd_daemon *daemon, int64_t now_ms)
{
  struct bd_service_capacity capacities[BD_MAX_SERVICE_CAPACITIES];
  struct bd_data_centre_status status
      = { .http_port = daemon->settings->http_port, .capacities = capacities };
  uint64_t hash;

  if (!bd_daemon_is_relay (daemon))
    return;
  status.capacity_count
      = bd_daemon_fill_remote_capacities (daemon, capacities);
  hash = bd_hash (capacities, status.capacity_count * sizeof *capacities);
  if (hash == daemon->remote_capacity_hash
      && now_ms - daemon->remote_capacity_sent_ms < REMOTE_CAPACITY_PERIOD_MS)
    return;
  daemon->remote_capacity_hash = hash;
  daemon->remote_capacity_sent_ms = now_ms;
  bd_name_copy (status.name, daemon->settings->name);
  bd_name_copy (status.address, daemon->settings->address);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) == 0
          && !bd_membership_is_relay (&daemon->membership, member))
        bd_daemon_send (daemon, member, BD_MESSAGE_REMOTE_CAPACITY, &status);
    }
}

static uint32_t
count_known_daemons (const struct bd_daemon *daemon)
{
  uint32_t known = 0;

  for (uint32_t i = 0; i < daemon->membership.count; i++)
    if (daemon->membership.members[i].peer_port != 0)
      known++;
  return known;
}

static void
log_readiness (struct bd_daemon *daemon)
{
  const char *reason;
  bool is_ready = bd_daemon_is_ready (daemon, &reason);

  if (is_ready == daemon->was_ready)
    return;
  daemon->was_ready = is_ready;
  bd_log (is_ready ? "ready" : "not-ready", "reason", reason, NULL);
}

/* The heartbeat period for the current size of the data centre.  */
static uint32_t
heartbeat_period_ms (const struct bd_daemon *daemon)
{
  uint32_t scaled_ms = HEARTBEAT_MS_PER_MEMBER
                       * bd_membership_count_live (
                           &daemon->membership, daemon->settings->data_centre);

  return scaled_ms > daemon->settings->heartbeat_ms
             ? scaled_ms
             : daemon->settings->heartbeat_ms;
}

void
bd_daemon_send_heartbeats (void *ctx)
{
  struct bd_daemon *daemon = ctx;
  struct bd_usage usages[MAX_USAGES];
  struct bd_heartbeat heartbeat;
  int64_t now_ms = bd_daemon_now_ms (daemon);

  daemon->heartbeat_ticker.period_ms = heartbeat_period_ms (daemon);
  if (bd_membership_tick (&daemon->membership, now_ms))
    bd_log ("member-lost", NULL);
  fill_heartbeat (daemon, &heartbeat, usages);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (bd_membership_should_send_heartbeat (&daemon->membership, member))
        bd_daemon_send (daemon, member, BD_MESSAGE_HEARTBEAT, &heartbeat);
    }
  send_data_centre_status (daemon);
  send_remote_capacities (daemon, now_ms);
  bd_limits_set_live_daemons (
      &daemon->limits, bd_membership_count_live (&daemon->membership, NULL),
      count_known_daemons (daemon));
  bd_daemon_send_digests (daemon);
  bd_daemon_sync_config (daemon);
  log_readiness (daemon);
}

/* Requests the documents of which a peer has a newer version.  */
static void
request_newer_documents (struct bd_daemon *daemon,
                         const struct bd_member *member)
{
  const struct bd_assignment *current = daemon->controller.assignment;
  struct bd_assignment peer_version
      = { .term = member->assignment_term,
          .sequence = member->assignment_sequence };
  struct bd_state_request request = { 0 };
  bool is_same_data_centre
      = strcmp (member->data_centre, daemon->settings->data_centre) == 0;

  bd_name_copy (request.from, daemon->settings->name);
  request.wants_config = member->config_revision > daemon->config.revision;
  request.wants_assignment
      = is_same_data_centre && peer_version.term > 0
        && (current == NULL
            || bd_assignment_is_newer (&peer_version, current));
  request.wants_instances
      = is_same_data_centre && daemon->instances_json == NULL;
  if (request.wants_config || request.wants_assignment
      || request.wants_instances)
    bd_daemon_send (daemon, member, BD_MESSAGE_STATE_REQUEST, &request);
}

static void
handle_heartbeat (struct bd_daemon *daemon,
                  const struct bd_heartbeat *heartbeat)
{
  struct bd_member *known
      = bd_membership_find (&daemon->membership, heartbeat->name);
  bool was_live = known != NULL && known->is_live;
  struct bd_member update
      = { .http_port = heartbeat->http_port,
          .peer_port = heartbeat->peer_port,
          .incarnation = heartbeat->incarnation,
          .is_stopping = heartbeat->is_stopping,
          .config_revision = heartbeat->config_revision,
          .assignment_term = heartbeat->assignment_term,
          .assignment_sequence = heartbeat->assignment_sequence };
  int64_t now_ms = bd_daemon_now_ms (daemon);

  bd_name_copy (update.name, heartbeat->name);
  bd_name_copy (update.data_centre, heartbeat->data_centre);
  bd_name_copy (update.address, heartbeat->address);
  if (bd_membership_receive_heartbeat (&daemon->membership, &update, now_ms)
      != BD_OK)
    return;
  if (!was_live)
    bd_log ("member-live", "member", heartbeat->name, NULL);
  bd_limits_set_peer_usages (&daemon->limits, heartbeat->name,
                             heartbeat->usages, heartbeat->usage_count,
                             now_ms);
  request_newer_documents (daemon, &update);
}

static void
handle_state_request (struct bd_daemon *daemon,
                      const struct bd_state_request *request)
{
  const struct bd_member *member
      = bd_membership_find (&daemon->membership, request->from);

  if (member == NULL)
    return;
  if (request->wants_config)
    bd_daemon_send_config (daemon, member);
  if (request->wants_assignment)
    bd_daemon_send_assignment (daemon, member);
  if (request->wants_instances)
    bd_daemon_send_instances (daemon, member);
}

static void
handle_data_centre_status (struct bd_daemon *daemon,
                           const struct bd_data_centre_status *status)
{
  struct bd_remote_data_centre data_centre
      = { .live = status->live, .lowest_revision = status->lowest_revision };
  bool is_own = strcmp (status->name, daemon->settings->data_centre) == 0;

  if (is_own)
    return;
  bd_name_copy (data_centre.name, status->name);
  bd_membership_update_data_centre (&daemon->membership, &data_centre,
                                    bd_daemon_now_ms (daemon));
  bd_daemon_update_remote (daemon, status, false);
}

static void
handle_poison (struct bd_daemon *daemon, const struct bd_poison_update *update)
{
  bd_poison_add (&daemon->poison_requests, update->items, update->count,
                 bd_daemon_now_ms (daemon));
}

static void
handle_document (struct bd_daemon *daemon, enum bd_message_type type,
                 const struct bd_document *document)
{
  json_t *value;

  if (type == BD_MESSAGE_INSTANCES)
    {
      bd_daemon_receive_instances (daemon, document->text);
      return;
    }
  value = json_loads (document->text, 0, NULL);
  if (type == BD_MESSAGE_CONFIG)
    bd_daemon_receive_config (daemon, value);
  else
    bd_daemon_adopt_assignment (daemon, value, 0);
  json_decref (value);
}

static void
handle_message (void *ctx, enum bd_message_type type, const void *message)
{
  struct bd_daemon *daemon = ctx;

  switch (type)
    {
    case BD_MESSAGE_HEARTBEAT:
      handle_heartbeat (daemon, message);
      break;
    case BD_MESSAGE_DATA_CENTRE:
      handle_data_centre_status (daemon, message);
      break;
    case BD_MESSAGE_REMOTE_CAPACITY:
      bd_daemon_update_remote (daemon, message, true);
      break;
    case BD_MESSAGE_STATE_REQUEST:
      handle_state_request (daemon, message);
      break;
    case BD_MESSAGE_CONFIG:
    case BD_MESSAGE_ASSIGNMENT:
    case BD_MESSAGE_INSTANCES:
      handle_document (daemon, type, message);
      break;
    case BD_MESSAGE_INSTANCE_REPORTS:
      bd_daemon_receive_digest (daemon, message);
      break;
    case BD_MESSAGE_GROUP_REPORTS:
      bd_daemon_receive_group_digest (daemon, message);
      break;
    case BD_MESSAGE_POISON:
      handle_poison (daemon, message);
      break;
    case BD_MESSAGE_CLAIM:
      bd_daemon_receive_claim (daemon, message);
      break;
    case BD_MESSAGE_CLAIM_REPLY:
      bd_daemon_receive_claim_reply (daemon, message);
      break;
    case BD_MESSAGE_LIST_REQUEST:
      bd_daemon_receive_list_request (daemon, message);
      break;
    case BD_MESSAGE_LIST_REPLY:
      bd_daemon_receive_list_reply (daemon, message);
      break;
    case BD_MESSAGE_EDGE_STATUS:
    case BD_MESSAGE_FRESHNESS_REQUEST:
    case BD_MESSAGE_FRESHNESS_REPLY:
    case BD_MESSAGE_SUSPICION:
    case BD_MESSAGE_LEAVING:
    case BD_MESSAGE_LIMITS:
    case BD_MESSAGE_EVACUATIONS:
    case BD_MESSAGE_COUNT:
      break;
    }
}

static void
add_configured_peers (struct bd_daemon *daemon)
{
  for (uint32_t i = 0; i < daemon->settings->peer_count; i++)
    {
      const struct bd_peer_address *peer = &daemon->settings->peers[i];
      bd_membership_add (&daemon->membership, peer->name, peer->data_centre,
                         peer->address, peer->port)
          ->is_pinned
          = true;
    }
}

bool
bd_daemon_start_peers (struct bd_daemon *daemon)
{
  const struct bd_settings *settings = daemon->settings;
  struct bd_member self = { .http_port = settings->http_port,
                            .peer_port = settings->advertised_peer_port };

  bd_name_copy (self.name, settings->name);
  bd_name_copy (self.data_centre, settings->data_centre);
  bd_name_copy (self.address, settings->address);
  self.incarnation = bd_clock_calendar_ms (&daemon->clock);
  bd_membership_init (&daemon->membership, daemon, &self,
                      settings->dead_after_ms);
  add_configured_peers (daemon);
  return bd_peers_init (&daemon->peers, daemon->events, &daemon->counters,
                        settings->address, settings->peer_port, handle_message,
                        daemon);
}

/* Heartbeats and messages between daemons.  */

#include "daemon/daemon_internal.h"

#include "base/log.h"

#include <string.h>

enum
{
  MAX_USAGES = 32,
  ELSEWHERE_PERIOD_MS = 10000,
  /* Each member of a centre adds this much to the period of the heartbeats,
     so that their bytes a second stay bounded as the centre grows.  */
  BEAT_MS_PER_MEMBER = 24,
  /* Each account told to a member adds this much to the time until accounts
     are told again, up to the period.  */
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
bd_daemon_tell (struct bd_daemon *daemon, const struct bd_member *member,
                enum bd_message_type type, const void *message)
{
  bd_peers_send (&daemon->peers, member->address, member->peer_port, type,
                 message);
}

void
bd_daemon_tell_centre (struct bd_daemon *daemon, enum bd_message_type type,
                       const void *message)
{
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) == 0)
        bd_daemon_tell (daemon, member, type, message);
    }
}

void
bd_daemon_tell_all (struct bd_daemon *daemon, enum bd_message_type type,
                    const void *message)
{
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    if (daemon->membership.members[i].is_live)
      bd_daemon_tell (daemon, &daemon->membership.members[i], type, message);
}

/* The demand of the largest accounts, as many and as often as the bytes
   allow: a heartbeat goes to every member of the centre.  */
static uint32_t
fill_usages (struct bd_daemon *daemon, struct bd_usage *usages)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);
  uint32_t live = bd_membership_live (&daemon->membership,
                                      daemon->settings->data_centre);
  uint32_t most = USAGES_PERIOD_MS / (live * USAGE_MS_PER_MEMBER);
  uint32_t count;

  most = most < MAX_USAGES ? most : MAX_USAGES;
  count = bd_limits_usages (&daemon->limits, now_ms, usages, most);
  if (now_ms - daemon->usages_told_ms
      < (int64_t)count * live * USAGE_MS_PER_MEMBER)
    return 0;
  daemon->usages_told_ms = now_ms;
  return count;
}

static void
fill_heartbeat (struct bd_daemon *daemon, struct bd_heartbeat *beat,
                struct bd_usage *usages)
{
  const struct bd_member *self = bd_membership_self (&daemon->membership);
  const struct bd_allotment *allotment = daemon->keeper.allotment;

  memset (beat, 0, sizeof *beat);
  bd_name_copy (beat->name, self->name);
  bd_name_copy (beat->data_centre, self->data_centre);
  bd_name_copy (beat->address, self->address);
  beat->http_port = self->http_port;
  beat->peer_port = self->peer_port;
  beat->incarnation = self->incarnation;
  beat->config_revision = daemon->config.revision;
  beat->assignment_term = allotment != NULL ? allotment->term : 0;
  beat->assignment_sequence = allotment != NULL ? allotment->sequence : 0;
  beat->is_stopping = self->is_stopping;
  beat->usages = usages;
  beat->usage_count = fill_usages (daemon, usages);
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
fill_rooms (struct bd_daemon *daemon, struct bd_service_capacity *capacities)
{
  uint32_t count = 0;

  for (uint32_t i = 0;
       i < daemon->config.service_count && count < BD_MAX_ROOMS; i++)
    {
      const struct bd_service *service = daemon->config.services[i];
      struct bd_pool *pool = bd_daemon_pool (daemon, service->name);
      capacities[count++] = (struct bd_service_capacity){
        .service_hash = bd_hash (service->name, strlen (service->name)),
        .free = bd_daemon_free_slots (daemon, service),
        .queued = pool->queue.count
      };
    }
  return count;
}

static void
fill_centre_news (struct bd_daemon *daemon, struct bd_data_centre_status *news,
                  struct bd_service_capacity *capacities)
{
  const struct bd_settings *settings = daemon->settings;

  memset (news, 0, sizeof *news);
  bd_name_copy (news->name, settings->data_centre);
  news->live = bd_membership_live (&daemon->membership, settings->data_centre);
  news->lowest_revision = bd_daemon_lowest_revision (daemon);
  bd_name_copy (news->address, settings->address);
  news->http_port = settings->http_port;
  news->capacities = capacities;
  news->capacity_count = fill_rooms (daemon, capacities);
}

/* Relays tell relays of other centres what their centre has.  */
static void
tell_other_centres (struct bd_daemon *daemon)
{
  struct bd_service_capacity capacities[BD_MAX_ROOMS];
  struct bd_data_centre_status news;

  if (!bd_daemon_is_relay (daemon))
    return;
  fill_centre_news (daemon, &news, capacities);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) != 0
          && bd_membership_must_tell (&daemon->membership, member))
        bd_daemon_tell (daemon, member, BD_MESSAGE_DATA_CENTRE, &news);
    }
}

/* Tells the daemons of this centre that no other centre talks to which
   services have room elsewhere: they send such calls to this relay.  A summary
   that changes seldom takes the place of the news of every centre.  */
static void
tell_elsewhere (struct bd_daemon *daemon, int64_t now_ms)
{
  struct bd_service_capacity capacities[BD_MAX_ROOMS];
  struct bd_data_centre_status news
      = { .http_port = daemon->settings->http_port, .capacities = capacities };
  uint64_t mark;

  if (!bd_daemon_is_relay (daemon))
    return;
  news.capacity_count = bd_daemon_rooms_elsewhere (daemon, capacities);
  mark = bd_hash (capacities, news.capacity_count * sizeof *capacities);
  if (mark == daemon->elsewhere_mark
      && now_ms - daemon->elsewhere_told_ms < ELSEWHERE_PERIOD_MS)
    return;
  daemon->elsewhere_mark = mark;
  daemon->elsewhere_told_ms = now_ms;
  bd_name_copy (news.name, daemon->settings->name);
  bd_name_copy (news.address, daemon->settings->address);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) == 0
          && !bd_membership_is_relay (&daemon->membership, member))
        bd_daemon_tell (daemon, member, BD_MESSAGE_REMOTE_CAPACITY, &news);
    }
}

static uint32_t
count_known (const struct bd_daemon *daemon)
{
  uint32_t known = 0;

  for (uint32_t i = 0; i < daemon->membership.count; i++)
    if (daemon->membership.members[i].peer_port != 0)
      known++;
  return known;
}

static void
note_readiness (struct bd_daemon *daemon)
{
  const char *reason;
  bool is_ready = bd_daemon_is_ready (daemon, &reason);

  if (is_ready == daemon->was_ready)
    return;
  daemon->was_ready = is_ready;
  bd_log (is_ready ? "ready" : "not-ready", "reason", reason, NULL);
}

/* The period of heartbeats for the present size of the centre.  */
static uint32_t
beat_period_ms (const struct bd_daemon *daemon)
{
  uint32_t grown_ms = BEAT_MS_PER_MEMBER
                      * bd_membership_live (&daemon->membership,
                                            daemon->settings->data_centre);

  return grown_ms > daemon->settings->heartbeat_ms
             ? grown_ms
             : daemon->settings->heartbeat_ms;
}

void
bd_daemon_beat (void *ctx)
{
  struct bd_daemon *daemon = ctx;
  struct bd_usage usages[MAX_USAGES];
  struct bd_heartbeat beat;
  int64_t now_ms = bd_daemon_now_ms (daemon);

  daemon->heartbeat_ticker.period_ms = beat_period_ms (daemon);
  if (bd_membership_tick (&daemon->membership, now_ms))
    bd_log ("member-lost", NULL);
  fill_heartbeat (daemon, &beat, usages);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (bd_membership_must_tell (&daemon->membership, member))
        bd_daemon_tell (daemon, member, BD_MESSAGE_HEARTBEAT, &beat);
    }
  tell_other_centres (daemon);
  tell_elsewhere (daemon, now_ms);
  bd_limits_peers (&daemon->limits,
                   bd_membership_live (&daemon->membership, NULL),
                   count_known (daemon));
  bd_daemon_send_digests (daemon);
  bd_daemon_config_step (daemon);
  note_readiness (daemon);
}

/* Asks a peer for what it holds newer.  */
static void
ask_for_news (struct bd_daemon *daemon, const struct bd_member *member)
{
  const struct bd_allotment *held = daemon->keeper.allotment;
  struct bd_allotment theirs = { .term = member->assignment_term,
                                 .sequence = member->assignment_sequence };
  struct bd_state_request get = { 0 };
  bool is_same_centre
      = strcmp (member->data_centre, daemon->settings->data_centre) == 0;

  bd_name_copy (get.from, daemon->settings->name);
  get.wants_config = member->config_revision > daemon->config.revision;
  get.wants_assignment
      = is_same_centre && theirs.term > 0
        && (held == NULL || bd_allotment_is_newer (&theirs, held));
  get.wants_instances = is_same_centre && daemon->instances_text == NULL;
  if (get.wants_config || get.wants_assignment || get.wants_instances)
    bd_daemon_tell (daemon, member, BD_MESSAGE_STATE_REQUEST, &get);
}

static void
take_heartbeat (struct bd_daemon *daemon, const struct bd_heartbeat *beat)
{
  struct bd_member *known
      = bd_membership_find (&daemon->membership, beat->name);
  bool was_live = known != NULL && known->is_live;
  struct bd_member news = { .http_port = beat->http_port,
                            .peer_port = beat->peer_port,
                            .incarnation = beat->incarnation,
                            .is_stopping = beat->is_stopping,
                            .config_revision = beat->config_revision,
                            .assignment_term = beat->assignment_term,
                            .assignment_sequence = beat->assignment_sequence };
  int64_t now_ms = bd_daemon_now_ms (daemon);

  bd_name_copy (news.name, beat->name);
  bd_name_copy (news.data_centre, beat->data_centre);
  bd_name_copy (news.address, beat->address);
  if (bd_membership_heard (&daemon->membership, &news, now_ms) != BD_OK)
    return;
  if (!was_live)
    bd_log ("member-live", "member", beat->name, NULL);
  bd_limits_heard (&daemon->limits, beat->name, beat->usages,
                   beat->usage_count, now_ms);
  ask_for_news (daemon, &news);
}

static void
take_get (struct bd_daemon *daemon, const struct bd_state_request *get)
{
  const struct bd_member *member
      = bd_membership_find (&daemon->membership, get->from);

  if (member == NULL)
    return;
  if (get->wants_config)
    bd_daemon_send_config (daemon, member);
  if (get->wants_assignment)
    bd_daemon_send_allotment (daemon, member);
  if (get->wants_instances)
    bd_daemon_send_instances (daemon, member);
}

static void
take_centre (struct bd_daemon *daemon,
             const struct bd_data_centre_status *news)
{
  struct bd_centre centre
      = { .live = news->live, .lowest_revision = news->lowest_revision };
  bool is_own = strcmp (news->name, daemon->settings->data_centre) == 0;

  if (is_own)
    return;
  bd_name_copy (centre.name, news->name);
  bd_membership_centre (&daemon->membership, &centre,
                        bd_daemon_now_ms (daemon));
  bd_daemon_take_centre (daemon, news, false);
}

static void
take_suspect (struct bd_daemon *daemon, const struct bd_poison_update *news)
{
  if (news->is_cleared)
    bd_suspects_clear (&daemon->suspects, news->fingerprint);
  else
    bd_suspects_mark (&daemon->suspects, news->fingerprint, news->target,
                      bd_daemon_now_ms (daemon));
}

static void
take_document (struct bd_daemon *daemon, enum bd_message_type type,
               const struct bd_document *document)
{
  json_t *value;

  if (type == BD_MESSAGE_INSTANCES)
    {
      bd_daemon_take_instances (daemon, document->text);
      return;
    }
  value = json_loads (document->text, 0, NULL);
  if (type == BD_MESSAGE_CONFIG)
    bd_daemon_take_config (daemon, value);
  else
    bd_daemon_offer_allotment (daemon, value, 0);
  json_decref (value);
}

static void
handle_message (void *ctx, enum bd_message_type type, const void *message)
{
  struct bd_daemon *daemon = ctx;

  switch (type)
    {
    case BD_MESSAGE_HEARTBEAT:
      take_heartbeat (daemon, message);
      break;
    case BD_MESSAGE_DATA_CENTRE:
      take_centre (daemon, message);
      break;
    case BD_MESSAGE_REMOTE_CAPACITY:
      bd_daemon_take_centre (daemon, message, true);
      break;
    case BD_MESSAGE_STATE_REQUEST:
      take_get (daemon, message);
      break;
    case BD_MESSAGE_CONFIG:
    case BD_MESSAGE_ASSIGNMENT:
    case BD_MESSAGE_INSTANCES:
      take_document (daemon, type, message);
      break;
    case BD_MESSAGE_INSTANCE_REPORTS:
      bd_daemon_take_digest (daemon, message);
      break;
    case BD_MESSAGE_GROUP_REPORTS:
      bd_daemon_take_groups (daemon, message);
      break;
    case BD_MESSAGE_POISON:
      take_suspect (daemon, message);
      break;
    case BD_MESSAGE_CLAIM:
      bd_daemon_take_claim (daemon, message);
      break;
    case BD_MESSAGE_CLAIM_REPLY:
      bd_daemon_take_claim_reply (daemon, message);
      break;
    case BD_MESSAGE_EDGE_STATUS:
    case BD_MESSAGE_FRESHNESS_REQUEST:
    case BD_MESSAGE_FRESHNESS_REPLY:
    case BD_MESSAGE_SUSPICION:
    case BD_MESSAGE_COUNT:
      break;
    }
}

static void
learn_peers (struct bd_daemon *daemon)
{
  for (uint32_t i = 0; i < daemon->settings->peer_count; i++)
    {
      const struct bd_peer_address *peer = &daemon->settings->peers[i];
      bd_membership_learn (&daemon->membership, peer->name, peer->data_centre,
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
  learn_peers (daemon);
  return bd_peers_init (&daemon->peers, daemon->events, &daemon->counters,
                        settings->address, settings->peer_port, handle_message,
                        daemon);
}

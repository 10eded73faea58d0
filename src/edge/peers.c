/* Messages between daemons.  The periodic status of a daemon shows that it is
   alive, and contains its traffic on each group.

   In a small fleet every daemon sends its status to all others.  In a large
   one it goes to the relays of its data centre, the largest instances there.
   One of them replies with the sum over the fleet and, when that has changed,
   with the daemons that are alive; the first relay of each data centre sends
   the sum over it to the relays of the others.  So a daemon sends and receives
   the same number of messages in a fleet of any size, and its view is two
   periods old within a data centre and three across.  One that counts as dead
   is asked now and then.  */

#include "edge/edge_internal.h"
#include "membership/news.h"

#include <string.h>
#include <talloc.h>

enum
{
  /* Maximum number of daemons of a small fleet, and the status periods.  */
  SMALL_FLEET_DAEMONS = 12,
  SMALL_PERIOD_MS = 100,
  LARGE_PERIOD_MS = 200,
  /* Above this number of daemons each of them knows so little of the load by
     its own requests that the counts of the others have to be newer.  */
  MANY_DAEMONS = 100,
  MANY_PERIOD_MS = 100,
  /* Above this one the sums of the relays are too large to be sent as often.
   */
  MAX_MANY_DAEMONS = 400,
  /* Time without a message after which a daemon counts as dead; another one
     then takes over its duties.  A daemon of another data centre is heard of
     over a relay there, which has to be replaced first if it fails, and so is
     one that only a relay reports.  */
  DEAD_AFTER_MS = 1200,
  REMOTE_DEAD_AFTER_MS = 3000,
  REPORTED_DEAD_AFTER_MS = 3600,
  /* Time after which a new relay has heard from the daemons of its data
     centre.  */
  RELAY_WARM_MS = 500,
  /* Status periods after which a daemon that counts as dead is asked whether
     it is alive.  */
  ASK_TURNS = 5,
  /* Messages by which a count reaches another daemon of a large fleet: to the
     relay, to that of another data centre, and to the daemon.  */
  LARGE_FLEET_HOPS = 3,
  MAX_TARGETS = 1024,
  /* Accounts that are summed up before those that ask for the most are sent:
     the own ones, and those of three data centres.  */
  MAX_SUMMED_ACCOUNTS = 4 * BD_TRAFFIC_MAX_ACCOUNTS,
  MAX_LIVE = 4096
};

/* Source of the traffic that a relay reports for the whole fleet.  */
static const uint64_t fleet_source = 1;

/* A report with room for the sums.  */
struct report_buffer
{
  struct bd_traffic_report report;
  struct bd_target_traffic targets[MAX_TARGETS];
  struct bd_model_demand demand[BD_ENGINE_MAX_MODELS];
  struct bd_account_traffic accounts[MAX_SUMMED_ACCOUNTS];
};

static void
clear_report (struct report_buffer *buffer)
{
  buffer->report = (struct bd_traffic_report){ .targets = buffer->targets,
                                               .demand = buffer->demand,
                                               .accounts = buffer->accounts };
}

void
bd_edge_send_to_peer (struct bd_edge *edge, const struct bd_member *member,
                      enum bd_message_type type, const void *message)
{
  bd_peers_send (&edge->peers, member->address, member->peer_port, type,
                 message);
}

static bool
is_small_fleet (const struct bd_edge *edge)
{
  return edge->membership.count <= SMALL_FLEET_DAEMONS;
}

bool
bd_edge_sends_to_all (const struct bd_edge *edge)
{
  return is_small_fleet (edge);
}

static uint32_t
status_period_ms (const struct bd_edge *edge)
{
  uint32_t count = edge->membership.count;

  if (is_small_fleet (edge))
    return SMALL_PERIOD_MS;
  return count > MANY_DAEMONS && count <= MAX_MANY_DAEMONS ? MANY_PERIOD_MS
                                                           : LARGE_PERIOD_MS;
}

int64_t
bd_edge_traffic_age_ms (const struct bd_edge *edge)
{
  int64_t hops = is_small_fleet (edge) ? 1 : LARGE_FLEET_HOPS;

  return hops * (int64_t)status_period_ms (edge) / 2;
}

static bool
is_local (const struct bd_edge *edge, const char *data_centre)
{
  return strcmp (edge->settings->data_centre, data_centre) == 0;
}

static bool
is_relay (const struct bd_edge *edge)
{
  return bd_membership_is_relay (&edge->membership,
                                 &edge->membership.members[0]);
}

/* Fills in the live relays of this data centre, without this daemon, or those
   of all others.  */
static uint32_t
find_relays (const struct bd_edge *edge, bool is_own_data_centre,
             const struct bd_member **relays, uint32_t max)
{
  const struct bd_membership *membership = &edge->membership;
  uint32_t count = 0;

  for (uint32_t i = 1; i < membership->count && count < max; i++)
    {
      const struct bd_member *member = &membership->members[i];

      if (member->is_live
          && is_local (edge, member->data_centre) == is_own_data_centre
          && bd_membership_is_relay (membership, member))
        relays[count++] = member;
    }
  return count;
}

static void
send_to_relays (struct bd_edge *edge, bool is_own_data_centre,
                enum bd_message_type type, const void *message)
{
  const struct bd_member
      *relays[BD_MEMBERSHIP_RELAYS * BD_EDGE_MAX_DATA_CENTRES];
  uint32_t count
      = find_relays (edge, is_own_data_centre, relays,
                     BD_MEMBERSHIP_RELAYS * BD_EDGE_MAX_DATA_CENTRES);

  for (uint32_t i = 0; i < count; i++)
    bd_edge_send_to_peer (edge, relays[i], type, message);
}

/* Sends a message to the members of this data centre, or to all.  */
static void
send_to_members (struct bd_edge *edge, bool is_own_data_centre,
                 enum bd_message_type type, const void *message)
{
  for (uint32_t i = 1; i < edge->membership.count; i++)
    if (!is_own_data_centre
        || is_local (edge, edge->membership.members[i].data_centre))
      bd_edge_send_to_peer (edge, &edge->membership.members[i], type, message);
}

/* Sends copies of a message; stage is its member.  */
static void
send_news (struct bd_edge *edge, enum bd_message_type type,
           const void *message, uint32_t *stage,
           const struct bd_news_receivers *receivers)
{
  *stage = BD_NEWS_TO_OWN_RELAYS;
  if (receivers->own_relays)
    send_to_relays (edge, true, type, message);
  *stage = BD_NEWS_TO_OTHER_RELAYS;
  if (receivers->other_relays)
    send_to_relays (edge, false, type, message);
  *stage = BD_NEWS_TO_MEMBERS;
  if (receivers->members)
    send_to_members (edge, !is_small_fleet (edge), type, message);
}

void
bd_edge_broadcast (struct bd_edge *edge, enum bd_message_type type,
                   const void *message, uint32_t *stage)
{
  struct bd_news_receivers receivers
      = bd_news_start (is_small_fleet (edge), is_relay (edge));

  send_news (edge, type, message, stage, &receivers);
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
          .prefill_ms = (uint32_t)group->prefill_ms,
          .progress_age_ms = bd_traffic_age_ms (group->progress_ms, now_ms),
        };
    }
  return count;
}

/* Adds what the accounts ask for here and get.  */
static void
collect_accounts (struct bd_edge *edge, struct bd_traffic_report *report)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_edge_service *service = value;

      report->account_count += bd_backlog_accounts (
          &service->backlog, report->accounts + report->account_count,
          MAX_SUMMED_ACCOUNTS - report->account_count);
    }
  bd_traffic_trim_accounts (report, BD_TRAFFIC_MAX_ACCOUNTS);
}

/* Sets buffer to the traffic and the demand of this daemon.  */
static void
collect_own_traffic (struct bd_edge *edge, struct report_buffer *buffer)
{
  struct bd_traffic_report *report = &buffer->report;

  clear_report (buffer);
  report->daemon_count = 1;
  collect_accounts (edge, report);
  report->target_count = collect_targets (edge, buffer->targets);
  for (uint32_t i = 0; i < edge->work_count; i++)
    {
      const struct bd_edge_work *work = &edge->work[i];

      buffer->demand[report->demand_count++] = (struct bd_model_demand){
        .model = bd_hash (work->model, strlen (work->model)),
        .busy_replicas = work->offered_replicas,
      };
      if (work->offered_replicas > 0)
        report->reporting_count = 1;
    }
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

static uint64_t
own_source (const struct bd_edge *edge)
{
  return edge->membership.members[0].name_hash;
}

/* Sets the traffic of the other daemons on a group.  */
static void
update_group (struct bd_edge *edge, struct bd_fleet_group *group)
{
  struct bd_traffic_load local
      = bd_traffic_load (&edge->traffic, group->hash, own_source (edge));
  struct bd_traffic_load remote
      = bd_traffic_load (&edge->remote_traffic, group->hash, 0);

  group->peers_in_flight = local.in_flight + remote.in_flight;
  group->peers_prefill_ms = local.prefill_ms + remote.prefill_ms;
  if (local.progress_ms > group->peers_progress_ms)
    group->peers_progress_ms = local.progress_ms;
  if (remote.progress_ms > group->peers_progress_ms)
    group->peers_progress_ms = remote.progress_ms;
}

static void
update_all_groups (struct bd_edge *edge)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update_group (edge, value);
}

void
bd_edge_add_peer_demand (struct bd_edge *edge,
                         struct bd_traffic_report *report, uint32_t max_models)
{
  bd_traffic_add_counts (&edge->traffic, own_source (edge), report,
                         max_models);
  bd_traffic_add_counts (&edge->remote_traffic, 0, report, max_models);
}

/* Passes what the accounts ask for and get at the other daemons to the
   backlogs.  */
static void
update_accounts (struct bd_edge *edge)
{
  static struct report_buffer buffer;
  GHashTableIter iter;
  gpointer value;

  if (!edge->settings->has_fair_accounts)
    return;
  clear_report (&buffer);
  bd_traffic_add_accounts (&edge->traffic, own_source (edge), &buffer.report,
                           MAX_SUMMED_ACCOUNTS);
  bd_traffic_add_accounts (&edge->remote_traffic, 0, &buffer.report,
                           MAX_SUMMED_ACCOUNTS);
  g_hash_table_iter_init (&iter, edge->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bd_backlog_set_others (&((struct bd_edge_service *)value)->backlog,
                           buffer.accounts, buffer.report.account_count);
}

void
bd_edge_note_peer_demand (struct bd_edge *edge)
{
  struct bd_model_demand models[BD_ENGINE_MAX_MODELS];
  struct bd_traffic_report sum = { .demand = models };

  if (!edge->settings->interference.levels_load)
    return;
  bd_edge_add_peer_demand (edge, &sum, BD_ENGINE_MAX_MODELS);
  for (uint32_t i = 0; i < edge->work_count; i++)
    {
      struct bd_edge_work *work = &edge->work[i];
      uint64_t hash = bd_hash (work->model, strlen (work->model));

      work->peers_replicas = 0;
      for (uint32_t k = 0; k < sum.demand_count; k++)
        if (models[k].model == hash)
          work->peers_replicas += models[k].busy_replicas;
    }
}

/* Stores the traffic of a status message.  Groups that the message names are
   updated at once, the others with the next status of this daemon.  */
static void
store_traffic (struct bd_edge *edge, const struct bd_edge_status *status,
               uint64_t sender)
{
  bool is_remote = !is_local (edge, status->data_centre);
  struct bd_traffic *traffic
      = is_remote ? &edge->remote_traffic : &edge->traffic;
  struct bd_traffic_report report = status->traffic;
  uint64_t source = sender;

  if (!edge->settings->has_fair_accounts)
    report.account_count = 0;
  if (status->scope == BD_STATUS_DATA_CENTRE)
    source = bd_hash (status->data_centre, strlen (status->data_centre));
  if (status->scope == BD_STATUS_FLEET)
    {
      /* The sums of a relay cover all that other messages have said.  */
      if (is_relay (edge))
        return;
      source = fleet_source;
      bd_traffic_clear (&edge->traffic, fleet_source);
      bd_traffic_clear (&edge->remote_traffic, 0);
    }
  bd_traffic_report (traffic, source, &report, bd_edge_now_ms (edge));
  for (uint32_t i = 0; i < status->traffic.target_count; i++)
    {
      struct bd_fleet_group *group
          = bd_fleet_group (&edge->fleet, status->traffic.targets[i].target);

      if (group != NULL)
        update_group (edge, group);
    }
}

/* The report of the relay; a new one takes the place of the one that was used
   longest ago.  */
static struct bd_edge_relay_report *
find_relay_report (struct bd_edge *edge, uint64_t relay)
{
  struct bd_edge_relay_report *found = &edge->relay_reports[0];

  for (uint32_t i = 0; i < BD_EDGE_MAX_RELAY_REPORTS; i++)
    {
      struct bd_edge_relay_report *report = &edge->relay_reports[i];

      if (report->relay == relay)
        {
          found = report;
          break;
        }
      if (report->used_turn < found->used_turn)
        found = report;
    }
  if (found->relay != relay)
    *found = (struct bd_edge_relay_report){ .relay = relay };
  found->used_turn = edge->status_turn;
  return found;
}

/* Makes the relays, except one if it is not 0, report all live daemons anew.
 */
static void
request_reports (struct bd_edge *edge, uint64_t except)
{
  for (uint32_t i = 0; i < BD_EDGE_MAX_RELAY_REPORTS; i++)
    if (edge->relay_reports[i].relay != except)
      edge->relay_reports[i].checksum = 0;
}

/* Stores which daemons a relay reports as alive.  */
static void
store_live (struct bd_edge *edge, const struct bd_edge_status *status,
            const struct bd_member *sender)
{
  struct bd_membership *membership = &edge->membership;
  bool is_whole = status->scope != BD_STATUS_DATA_CENTRE
                  && is_local (edge, status->data_centre);
  int64_t now_ms = bd_edge_now_ms (edge);

  if (status->live_count == 0)
    {
      bd_membership_confirm_reported (membership, sender, now_ms);
      return;
    }
  if (is_whole)
    {
      find_relay_report (edge, sender->name_hash)->checksum
          = status->live_checksum;
      bd_membership_begin_report (membership);
    }
  for (uint32_t i = 0; i < status->live_count; i++)
    bd_membership_report (membership, sender, status->live[i].name_hash,
                          status->live[i].is_stopping,
                          status->live[i].is_isolated, now_ms);
  /* Two relays differ: a report of no change no longer tells which daemons it
     means.  */
  if (is_whole && bd_membership_end_report (membership, sender))
    request_reports (edge, sender->name_hash);
}

/* Sets the fields of a status message that describe this daemon.  */
static void
fill_status (struct bd_edge *edge, struct bd_edge_status *status,
             enum bd_status_scope scope)
{
  const struct bd_edge_settings *settings = edge->settings;
  int64_t own_version = edge->routes != NULL ? edge->routes->version : 0;

  *status = (struct bd_edge_status){
    .scope = scope,
    .peer_port = settings->peer_port,
    .incarnation = bd_membership_self (&edge->membership)->incarnation,
    .config_version
    = scope == BD_STATUS_DAEMON || own_version > edge->highest_config_version
          ? own_version
          : edge->highest_config_version,
    .handover_port = settings->handover_port,
    .is_stopping = edge->is_stopping,
    .is_isolated = bd_edge_is_isolated (edge),
    .has_traffic = edge->has_traffic,
    .poison_checksum
    = bd_poison_checksum (&edge->poison_requests, bd_edge_now_ms (edge)),
    .limits_checksum = bd_edge_limits_checksum (edge),
  };
  bd_name_copy (status->name, settings->name);
  bd_name_copy (status->data_centre, settings->data_centre);
  bd_name_copy (status->address, settings->address);
}

/* Adds the live daemons to a status: for another data centre, those of this
   one; for a daemon of this one, those that others have not only reported.  */
static void
add_live (struct bd_edge *edge, struct bd_edge_status *status,
          bool is_own_data_centre)
{
  static struct bd_live_daemon live[MAX_LIVE];
  int64_t now_ms = bd_edge_now_ms (edge);

  status->live = live;
  for (uint32_t i = 0;
       i < edge->membership.count && status->live_count < MAX_LIVE; i++)
    {
      const struct bd_member *member = &edge->membership.members[i];

      if (is_own_data_centre
              ? !member->is_live || !is_local (edge, member->data_centre)
              : !bd_membership_is_witnessed (&edge->membership, member,
                                             now_ms))
        continue;
      live[status->live_count++] = (struct bd_live_daemon){
        .name_hash = member->name_hash,
        .is_stopping = i == 0 ? edge->is_stopping : member->is_stopping,
        .is_isolated = member->is_isolated,
      };
    }
}

/* Whether this daemon is a relay that has heard from the daemons of its data
   centre.  */
static bool
is_warm_relay (const struct bd_edge *edge)
{
  return edge->relay_since_ms != 0
         && bd_edge_now_ms (edge) - edge->relay_since_ms >= RELAY_WARM_MS;
}

/* Replies to the status of a daemon with the daemons that are alive and, from
   a relay, with the sums over the fleet.  A daemon that is no relay replies
   too: the sender may take it for one because it has lost the relays.  */
static void
send_reply (struct bd_edge *edge, const struct bd_member *receiver,
            uint64_t known_checksum)
{
  static struct report_buffer buffer;
  struct bd_traffic_report *report = &buffer.report;
  bool has_sums = is_warm_relay (edge);
  struct bd_edge_status status;
  int64_t now_ms = bd_edge_now_ms (edge);

  clear_report (&buffer);
  if (has_sums)
    {
      bd_traffic_add_to (&edge->traffic, receiver->name_hash, report,
                         MAX_TARGETS, BD_ENGINE_MAX_MODELS, now_ms);
      bd_traffic_add_to (&edge->remote_traffic, 0, report, MAX_TARGETS,
                         BD_ENGINE_MAX_MODELS, now_ms);
      bd_traffic_add_accounts (&edge->traffic, receiver->name_hash, report,
                               MAX_SUMMED_ACCOUNTS);
      bd_traffic_add_accounts (&edge->remote_traffic, 0, report,
                               MAX_SUMMED_ACCOUNTS);
      bd_traffic_trim_accounts (report, BD_TRAFFIC_MAX_ACCOUNTS);
    }
  fill_status (edge, &status, has_sums ? BD_STATUS_FLEET : BD_STATUS_MEMBERS);
  status.traffic = *report;
  status.live_checksum = bd_membership_checksum (&edge->membership, now_ms);
  if (status.live_checksum != known_checksum)
    add_live (edge, &status, false);
  bd_edge_send_to_peer (edge, receiver, BD_MESSAGE_EDGE_STATUS, &status);
}

/* Asks a daemon that counts as dead.  If it is alive, its reply names the
   daemons that it knows.  */
static void
send_query (struct bd_edge *edge, const struct bd_member *member)
{
  struct bd_edge_status status;

  fill_status (edge, &status, BD_STATUS_QUERY);
  bd_edge_send_to_peer (edge, member, BD_MESSAGE_EDGE_STATUS, &status);
}

/* A query shows that its sender can be heard, and not that it hears.  If the
   sender counts as dead here, it is asked in turn.  */
static void
receive_query (struct bd_edge *edge, struct bd_member *sender)
{
  const struct bd_member *known
      = bd_membership_find (&edge->membership, sender->name);

  sender->name_hash = bd_hash (sender->name, strlen (sender->name));
  if (!bd_edge_is_late (edge))
    send_reply (edge, sender, 0);
  if (known == NULL || !known->is_live)
    send_query (edge, sender);
}

static void
receive_status (struct bd_edge *edge, const struct bd_edge_status *status)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  struct bd_member heartbeat = { .peer_port = status->peer_port,
                                 .incarnation = status->incarnation,
                                 .http_port = status->handover_port,
                                 .is_stopping = status->is_stopping,
                                 .is_isolated = status->is_isolated,
                                 .config_revision = status->config_version };
  const struct bd_member *sender;

  if (strcmp (status->name, edge->settings->name) == 0)
    return;
  bd_name_copy (heartbeat.name, status->name);
  bd_name_copy (heartbeat.data_centre, status->data_centre);
  bd_name_copy (heartbeat.address, status->address);
  if (status->scope == BD_STATUS_QUERY)
    {
      receive_query (edge, &heartbeat);
      return;
    }
  if (bd_membership_receive_heartbeat (&edge->membership, &heartbeat, now_ms)
      != BD_OK)
    return;
  sender = bd_membership_find (&edge->membership, status->name);
  if (status->config_version > edge->highest_config_version)
    edge->highest_config_version = status->config_version;
  edge->has_traffic = edge->has_traffic || status->has_traffic;
  bd_edge_compare_poison (edge, sender, status->poison_checksum);
  bd_edge_compare_limits (edge, sender, status->limits_checksum);
  if (status->scope != BD_STATUS_MEMBERS)
    store_traffic (edge, status, sender->name_hash);
  if (status->scope != BD_STATUS_DAEMON)
    store_live (edge, status, sender);
  else if (status->wants_reply && !bd_edge_is_late (edge))
    send_reply (edge, sender, status->live_checksum);
}

/* Passes a message for all daemons on if it is news here.  */
static void
forward_news (struct bd_edge *edge, enum bd_message_type type, void *message,
              uint32_t *stage, bool is_news)
{
  struct bd_news_receivers receivers;

  if (!is_news || is_small_fleet (edge) || *stage > BD_NEWS_TO_MEMBERS)
    return;
  receivers = bd_news_forward ((enum bd_news_stage) * stage, is_relay (edge));
  send_news (edge, type, message, stage, &receivers);
}

static void
receive_suspicion (struct bd_edge *edge, struct bd_suspicion_update update)
{
  bool is_news = bd_edge_receive_suspicion (edge, &update);

  forward_news (edge, BD_MESSAGE_SUSPICION, &update, &update.stage, is_news);
}

static void
receive_leaving (struct bd_edge *edge, struct bd_leaving_update update)
{
  bool is_news = bd_edge_receive_leaving (edge, &update);

  forward_news (edge, BD_MESSAGE_LEAVING, &update, &update.stage, is_news);
}

static void
receive_poison (struct bd_edge *edge, struct bd_poison_update update)
{
  bool is_news = bd_edge_receive_poison (edge, &update);

  forward_news (edge, BD_MESSAGE_POISON, &update, &update.stage, is_news);
}

static void
receive_limits (struct bd_edge *edge, struct bd_limits_update update)
{
  bool is_news = bd_edge_receive_limits (edge, &update);

  forward_news (edge, BD_MESSAGE_LIMITS, &update, &update.stage, is_news);
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
    case BD_MESSAGE_EVACUATIONS:
      bd_edge_receive_evacuations (edge, message);
      break;
    case BD_MESSAGE_SUSPICION:
      receive_suspicion (edge, *(const struct bd_suspicion_update *)message);
      break;
    case BD_MESSAGE_LEAVING:
      receive_leaving (edge, *(const struct bd_leaving_update *)message);
      break;
    case BD_MESSAGE_POISON:
      receive_poison (edge, *(const struct bd_poison_update *)message);
      break;
    case BD_MESSAGE_LIMITS:
      receive_limits (edge, *(const struct bd_limits_update *)message);
      break;
    default:
      break;
    }
}

static void
adjust_to_fleet_size (struct bd_edge *edge)
{
  bool is_small = is_small_fleet (edge);

  edge->status_ticker.period_ms = status_period_ms (edge);
  edge->membership.dead_after_ms = DEAD_AFTER_MS;
  edge->membership.remote_dead_after_ms
      = is_small ? DEAD_AFTER_MS : REMOTE_DEAD_AFTER_MS;
  edge->membership.reported_dead_after_ms = REPORTED_DEAD_AFTER_MS;
}

/* Finds this daemon's place among those of its data centre.  */
static void
update_place (struct bd_edge *edge)
{
  const struct bd_membership *membership = &edge->membership;

  edge->live_daemons = bd_membership_count_live (membership, NULL);
  edge->local_daemons = 1;
  edge->local_place = 0;
  for (uint32_t i = 1; i < membership->count; i++)
    {
      const struct bd_member *member = &membership->members[i];

      if (!member->is_live || !is_local (edge, member->data_centre))
        continue;
      edge->local_daemons++;
      edge->local_place += strcmp (member->name, edge->settings->name) < 0;
    }
}

/* Forgets the daemons and data centres that are silent, and their traffic.  */
static void
forget_silent (struct bd_edge *edge, int64_t now_ms)
{
  if (bd_membership_tick (&edge->membership, now_ms))
    {
      /* A report of no change no longer means what this daemon knows.  */
      request_reports (edge, 0);
      bd_log ("peer-lost", "live",
              BD_NUM (bd_membership_count_live (&edge->membership, NULL)),
              NULL);
    }
  bd_traffic_expire (&edge->traffic, now_ms - DEAD_AFTER_MS);
  bd_traffic_expire (&edge->remote_traffic,
                     now_ms - edge->membership.remote_dead_after_ms);
}

/* Sends this daemon's status to the relays of its data centre; one of them, by
   turns, replies.  */
static void
send_to_own_relays (struct bd_edge *edge, struct bd_edge_status *status)
{
  const struct bd_member *relays[BD_MEMBERSHIP_RELAYS];
  uint32_t count = find_relays (edge, true, relays, BD_MEMBERSHIP_RELAYS);

  for (uint32_t i = 0; i < count; i++)
    {
      status->wants_reply = edge->status_turn % count == i;
      status->live_checksum
          = find_relay_report (edge, relays[i]->name_hash)->checksum;
      bd_edge_send_to_peer (edge, relays[i], BD_MESSAGE_EDGE_STATUS, status);
    }
}

/* The first relay of a data centre sends the sum over it to the relays of the
   other data centres.  */
static void
send_data_centre_status (struct bd_edge *edge)
{
  static struct report_buffer buffer;
  struct bd_edge_status status;

  if (bd_membership_relay_rank (&edge->membership,
                                &edge->membership.members[0])
      != 0)
    return;
  clear_report (&buffer);
  bd_traffic_add_to (&edge->traffic, fleet_source, &buffer.report, MAX_TARGETS,
                     BD_ENGINE_MAX_MODELS, bd_edge_now_ms (edge));
  bd_traffic_add_accounts (&edge->traffic, fleet_source, &buffer.report,
                           MAX_SUMMED_ACCOUNTS);
  bd_traffic_trim_accounts (&buffer.report, BD_TRAFFIC_MAX_ACCOUNTS);
  fill_status (edge, &status, BD_STATUS_DATA_CENTRE);
  status.traffic = buffer.report;
  add_live (edge, &status, true);
  send_to_relays (edge, false, BD_MESSAGE_EDGE_STATUS, &status);
}

/* Draws one of the dead members: for a relay of any data centre, for another
   daemon of its own.  NULL if there is none.  */
static const struct bd_member *
draw_dead_member (const struct bd_edge *edge)
{
  const struct bd_membership *membership = &edge->membership;
  const struct bd_member *drawn = NULL;
  bool is_any = is_relay (edge);
  uint32_t count = 0;

  for (uint32_t i = 1; i < membership->count; i++)
    {
      const struct bd_member *member = &membership->members[i];

      if (!member->is_live && (is_any || is_local (edge, member->data_centre))
          && gsl_rng_uniform_int (edge->rng, ++count) == 0)
        drawn = member;
    }
  return drawn;
}

/* Asks a dead member now and then, so that daemons that have lost sight of
   each other meet again; one that is silent never would, because statuses go
   to live relays only.  */
static void
ask_dead_member (struct bd_edge *edge)
{
  const struct bd_member *member;

  if (edge->status_turn % ASK_TURNS != 0)
    return;
  member = draw_dead_member (edge);
  if (member != NULL)
    send_query (edge, member);
}

void
bd_edge_send_status (void *ctx)
{
  struct bd_edge *edge = ctx;
  static struct report_buffer buffer;
  struct bd_edge_status status;
  int64_t now_ms = bd_edge_now_ms (edge);

  update_offered_load (edge);
  bd_edge_note_peer_demand (edge);
  bd_edge_share_retries (edge);
  adjust_to_fleet_size (edge);
  if (!bd_edge_is_late (edge))
    forget_silent (edge, now_ms);
  update_place (edge);
  bd_edge_share_limits (edge);
  bd_edge_update_cold (edge);
  collect_own_traffic (edge, &buffer);
  fill_status (edge, &status, BD_STATUS_DAEMON);
  status.traffic = buffer.report;
  edge->status_turn++;
  if (is_small_fleet (edge))
    {
      edge->relay_since_ms = 0;
      send_to_members (edge, false, BD_MESSAGE_EDGE_STATUS, &status);
    }
  else
    {
      if (!is_relay (edge))
        edge->relay_since_ms = 0;
      else if (edge->relay_since_ms == 0)
        edge->relay_since_ms = now_ms;
      if (edge->relay_since_ms != 0)
        {
          bd_traffic_report (&edge->traffic, own_source (edge), &buffer.report,
                             now_ms);
          send_data_centre_status (edge);
        }
      send_to_own_relays (edge, &status);
      ask_dead_member (edge);
    }
  update_all_groups (edge);
  update_accounts (edge);
}

bool
bd_edge_start_peers (struct bd_edge *edge)
{
  const struct bd_edge_settings *settings = edge->settings;
  struct bd_member self
      = { .peer_port = settings->peer_port, .cpu_share = settings->cpu_share };

  bd_name_copy (self.name, settings->name);
  bd_name_copy (self.data_centre, settings->data_centre);
  bd_name_copy (self.address, settings->address);
  self.incarnation = bd_clock_calendar_ms (&edge->clock);
  bd_membership_init (&edge->membership, edge, &self, DEAD_AFTER_MS);
  update_place (edge);
  bd_traffic_init (&edge->traffic);
  bd_traffic_init (&edge->remote_traffic);
  if (!bd_peers_init (&edge->peers, edge->events, &edge->counters,
                      settings->address, settings->peer_port, handle_message,
                      edge))
    return false;
  bd_peers_set_memory (&edge->peers, &edge->memory);
  return true;
}

/* News among the daemons: who is alive, and what traffic each has where.  */

#include "edge/edge_internal.h"

#include <string.h>
#include <talloc.h>

enum
{
  /* Between news of a small fleet, and how many daemons it may have: what a
     daemon spends on news does not grow with the fleet.  */
  NEWS_PERIOD_MS = 100,
  SMALL_FLEET = 12,
  /* In a large one, daemons of other data centres hear every so many.  */
  FAR_TURNS = 4,
  /* Time without news after which a daemon counts as dead, in periods;
     keepers change hands then.  Traffic of a silent daemon counts as long.  */
  DEAD_AFTER_TURNS = 5,
  DEAD_AFTER_LEAST_MS = 1200,
  MAX_PLACES = 512
};

void
bd_edge_tell (struct bd_edge *edge, const struct bd_member *member,
              enum bd_message_type type, const void *message)
{
  bd_peers_send (&edge->peers, member->address, member->peer_port, type,
                 message);
}

void
bd_edge_tell_all (struct bd_edge *edge, enum bd_message_type type,
                  const void *message)
{
  for (uint32_t i = 1; i < edge->membership.count; i++)
    bd_edge_tell (edge, &edge->membership.members[i], type, message);
}

static uint32_t
collect_places (struct bd_edge *edge, struct bd_target_traffic *targets)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.groups);
  while (count < MAX_PLACES && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_group *group = value;

      if (group->in_flight > 0)
        targets[count++] = (struct bd_target_traffic){
          .target = group->hash,
          .in_flight = group->in_flight,
          .reading_ms = group->reading_ms,
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
      .busy_replicas = edge->work[i].busy_replicas,
    };
  return edge->work_count;
}

/* Smooths the work that was offered since the last turn.  */
static void
reckon_work (struct bd_edge *edge)
{
  enum
  {
    WORK_PERIOD_MS = 500,
    /* Less says little of what is offered; the published share holds.  */
    LEAST_SPAN_MS = 4000
  };
  static const double work_smoothing = 0.08;
  int64_t now_ms = bd_edge_now_ms (edge);

  if (edge->work_since_ms == 0 || now_ms - edge->work_since_ms < LEAST_SPAN_MS)
    return;
  for (uint32_t i = 0; i < edge->work_count; i++)
    {
      struct bd_edge_work *work = &edge->work[i];
      int64_t passed_ms = now_ms - work->since_ms;
      double busy_replicas;

      if (passed_ms < WORK_PERIOD_MS)
        continue;
      busy_replicas = work->since_ms_work / (double)passed_ms;
      work->busy_replicas
          = work->busy_replicas == 0
                ? busy_replicas
                : work->busy_replicas
                      + work_smoothing * (busy_replicas - work->busy_replicas);
      work->since_ms = now_ms;
      work->since_ms_work = 0;
    }
}

/* Sums up what the peers have on each group.  */
static void
sum_peers (struct bd_edge *edge)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_group *group = value;

      group->peers_in_flight = 0;
      group->peers_reading_ms = 0;
    }
  g_hash_table_iter_init (&iter, edge->peer_news);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_edge_peer *peer = value;

      if (now_ms - peer->heard_ms > edge->membership.far_dead_after_ms)
        continue;
      for (uint32_t i = 0; i < peer->target_count; i++)
        {
          const struct bd_target_traffic *news = &peer->targets[i];
          struct bd_fleet_group *group
              = bd_fleet_group (&edge->fleet, news->target);
          int64_t progress_ms = peer->heard_ms - news->progress_age_ms;

          if (group == NULL)
            continue;
          group->peers_in_flight += news->in_flight;
          group->peers_reading_ms += news->reading_ms;
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
take_news (struct bd_edge *edge, const struct bd_edge_status *news)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  struct bd_member member = { .peer_port = news->peer_port,
                              .incarnation = news->incarnation,
                              .is_stopping = news->is_stopping,
                              .config_revision = news->config_version };
  struct bd_edge_peer *peer;

  bd_name_copy (member.name, news->name);
  bd_name_copy (member.data_centre, news->data_centre);
  bd_name_copy (member.address, news->address);
  if (strcmp (news->name, edge->settings->name) == 0
      || bd_membership_heard (&edge->membership, &member, now_ms) != BD_OK)
    return;
  peer = g_hash_table_lookup (edge->peer_news, news->name);
  if (peer == NULL)
    {
      peer = talloc_zero (edge, struct bd_edge_peer);
      bd_name_copy (peer->name, news->name);
      g_hash_table_insert (edge->peer_news, peer->name, peer);
      bd_log ("peer-found", "peer", news->name, "address", news->address,
              NULL);
    }
  peer->heard_ms = now_ms;
  edge->has_traffic = edge->has_traffic || news->has_traffic;
  talloc_free (peer->targets);
  talloc_free (peer->work);
  peer->target_count = news->target_count;
  peer->targets = talloc_memdup (
      peer, news->targets, news->target_count * sizeof *news->targets + 1);
  peer->work_count = news->work_count;
  peer->work = talloc_memdup (peer, news->work,
                              news->work_count * sizeof *news->work + 1);
  sum_peers (edge);
}

static void
take_suspect (struct bd_edge *edge, const struct bd_poison_update *news)
{
  if (news->is_cleared)
    bd_suspects_clear (&edge->suspects, news->fingerprint);
  else
    bd_suspects_mark (&edge->suspects, news->fingerprint, news->target,
                      bd_edge_now_ms (edge));
}

static void
handle_message (void *ctx, enum bd_message_type type, const void *message)
{
  struct bd_edge *edge = ctx;

  switch (type)
    {
    case BD_MESSAGE_EDGE_STATUS:
      take_news (edge, message);
      break;
    case BD_MESSAGE_FRESHNESS_REQUEST:
      bd_edge_give_vouch (edge, message);
      break;
    case BD_MESSAGE_FRESHNESS_REPLY:
      bd_edge_take_vouch (edge, message);
      break;
    case BD_MESSAGE_SUSPICION:
      bd_edge_take_doubt (edge, message);
      break;
    case BD_MESSAGE_POISON:
      take_suspect (edge, message);
      break;
    default:
      break;
    }
}

/* Sets the pace of news by the size of the data centre.  */
static void
pace_news (struct bd_edge *edge)
{
  uint32_t near
      = bd_membership_live (&edge->membership, edge->settings->data_centre);
  bool is_small = edge->membership.count <= SMALL_FLEET;
  uint32_t period_ms
      = is_small ? NEWS_PERIOD_MS
                 : NEWS_PERIOD_MS * (near + SMALL_FLEET - 1) / SMALL_FLEET;
  uint32_t far_ms = is_small ? period_ms : FAR_TURNS * period_ms;

  edge->news_ticker.period_ms = period_ms;
  edge->membership.dead_after_ms
      = DEAD_AFTER_TURNS * period_ms > DEAD_AFTER_LEAST_MS
            ? DEAD_AFTER_TURNS * period_ms
            : DEAD_AFTER_LEAST_MS;
  edge->membership.far_dead_after_ms
      = DEAD_AFTER_TURNS * far_ms > DEAD_AFTER_LEAST_MS
            ? DEAD_AFTER_TURNS * far_ms
            : DEAD_AFTER_LEAST_MS;
}

static bool
hears_news (struct bd_edge *edge, const struct bd_member *member)
{
  return edge->membership.count <= SMALL_FLEET || edge->is_stopping
         || strcmp (member->data_centre, edge->settings->data_centre) == 0
         || edge->news_turn % FAR_TURNS == 0;
}

void
bd_edge_send_news (void *ctx)
{
  struct bd_edge *edge = ctx;
  const struct bd_edge_settings *settings = edge->settings;
  static struct bd_target_traffic targets[MAX_PLACES];
  struct bd_model_demand work[BD_ENGINE_MAX_MODELS];
  struct bd_edge_status news
      = { .peer_port = settings->peer_port,
          .incarnation = bd_membership_self (&edge->membership)->incarnation,
          .config_version = edge->routes != NULL ? edge->routes->version : 0,
          .is_stopping = edge->is_stopping,
          .has_traffic = edge->has_traffic,
          .targets = targets,
          .work = work };

  reckon_work (edge);
  bd_edge_share_retries (edge);
  if (bd_membership_tick (&edge->membership, bd_edge_now_ms (edge)))
    bd_log ("peer-lost", "live",
            BD_NUM (bd_membership_live (&edge->membership, NULL)), NULL);
  sum_peers (edge);
  bd_name_copy (news.name, settings->name);
  bd_name_copy (news.data_centre, settings->data_centre);
  bd_name_copy (news.address, settings->address);
  news.target_count = collect_places (edge, targets);
  news.work_count = collect_work (edge, work);
  pace_news (edge);
  edge->news_turn++;
  for (uint32_t i = 1; i < edge->membership.count; i++)
    if (hears_news (edge, &edge->membership.members[i]))
      bd_edge_tell (edge, &edge->membership.members[i], BD_MESSAGE_EDGE_STATUS,
                    &news);
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
  bd_membership_init (&edge->membership, edge, &self, DEAD_AFTER_LEAST_MS);
  edge->peer_news
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  return bd_peers_init (&edge->peers, edge->events, &edge->counters,
                        settings->address, settings->peer_port, handle_message,
                        edge);
}

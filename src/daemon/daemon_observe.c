/* Observation of endpoints: load reports, and the digests by which daemons
   share them.

   Each unit (a group, or an instance in none) is polled by two daemons of its
   data centre, by rank.  They tell every daemon which groups are whole, and
   the keeper what each instance reports.  */

#include "daemon/daemon_internal.h"

#include <string.h>
#include <talloc.h>

enum
{
  OBSERVERS = 2,
  MAX_SEEN = 1024,
  MAX_WHOLE = 1024,
  BREAK_MEMORY_MS = 60000
};

struct bd_endpoint *
bd_daemon_endpoint (const struct bd_daemon *daemon, const char *name)
{
  return g_hash_table_lookup (daemon->endpoints, name);
}

static const struct bd_sighting *
look_up (void *ctx, const char *instance)
{
  const struct bd_endpoint *endpoint = bd_daemon_endpoint (ctx, instance);

  return endpoint != NULL ? &endpoint->sighting : NULL;
}

static bool
is_local (const struct bd_daemon *daemon, const struct bd_instance *info)
{
  return strcmp (info->data_centre, daemon->settings->data_centre) == 0;
}

/* What decides who polls an instance: its group, or itself.  */
static const char *
unit_of (const struct bd_daemon *daemon, const char *instance)
{
  const struct bd_group *group
      = daemon->keeper.allotment != NULL
            ? bd_allotment_group_of (daemon->keeper.allotment, instance)
            : NULL;

  return group != NULL ? group->id : instance;
}

static bool
is_observer (const struct bd_daemon *daemon, const char *unit)
{
  /* A daemon that stops still has calls there.  */
  if (daemon->is_stopping)
    return true;
  return bd_membership_is_duty (&daemon->membership, daemon->settings->name,
                                daemon->settings->data_centre, unit,
                                OBSERVERS);
}

/* The group's state by the digests of other observers.  */
static bool
is_whole_by_news (const struct bd_daemon *daemon, const struct bd_group *group,
                  int64_t now_ms)
{
  uint64_t id_hash = bd_hash (group->id, strlen (group->id));
  const struct bd_group_news *news
      = g_hash_table_lookup (daemon->group_news, &id_hash);

  return news != NULL && news->incarnation == group->incarnation
         && now_ms - news->whole_ms <= daemon->settings->freshness_ms;
}

static bool
has_leaving_member (const struct bd_daemon *daemon,
                    const struct bd_group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_endpoint *e
          = bd_daemon_endpoint (daemon, group->members[i]);
      if (e != NULL && e->sighting.is_leaving)
        return true;
    }
  return false;
}

enum bd_gate
bd_daemon_gate (struct bd_daemon *daemon, const struct bd_group *group,
                int64_t now_ms)
{
  enum bd_gate gate = bd_gate_check (group, look_up, daemon, now_ms,
                                     daemon->settings->freshness_ms);

  if (gate != BD_GATE_CLOSED || !is_whole_by_news (daemon, group, now_ms))
    return gate;
  if (group->drain != BD_DRAIN_NONE)
    return BD_GATE_DRAINING;
  return has_leaving_member (daemon, group) ? BD_GATE_LEAVING : BD_GATE_OPEN;
}

static void
note_leader_load (struct bd_daemon *daemon, struct bd_endpoint *endpoint)
{
  struct bd_group_traffic *traffic
      = g_hash_table_lookup (daemon->traffic, endpoint->sighting.report.group);

  endpoint->own_at_report
      = traffic != NULL ? traffic->in_flight : endpoint->in_flight;
}

static void
see (struct bd_daemon *daemon, struct bd_endpoint *endpoint,
     const struct bd_report *report, int64_t seen_ms)
{
  struct bd_sighting *sighting = &endpoint->sighting;

  if (sighting->was_heard && sighting->heard_ms > seen_ms)
    return;
  sighting->was_heard = true;
  sighting->heard_ms = seen_ms;
  sighting->report = *report;
  note_leader_load (daemon, endpoint);
  bd_keeper_report (&daemon->keeper, endpoint->info.name, report, seen_ms);
}

static gboolean
is_old_break (gpointer key, gpointer value, gpointer limit_ms)
{
  (void)key;
  return *(int64_t *)value < *(int64_t *)limit_ms;
}

void
bd_daemon_doubt (struct bd_daemon *daemon, uint64_t target)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);
  int64_t limit_ms = now_ms - BREAK_MEMORY_MS;
  uint64_t *key = g_new (uint64_t, 1);
  int64_t *broke_ms = g_new (int64_t, 1);

  *key = target;
  *broke_ms = now_ms;
  g_hash_table_foreach_remove (daemon->breaks, is_old_break, &limit_ms);
  g_hash_table_replace (daemon->breaks, key, broke_ms);
}

bool
bd_daemon_is_doubted (const struct bd_daemon *daemon, uint64_t target)
{
  return g_hash_table_contains (daemon->breaks, &target);
}

/* A place where a call broke, but whose members have reported the same
   incarnation since, has not died: its requests are no suspects.  */
static void
acquit (struct bd_daemon *daemon, const struct bd_group *group)
{
  uint64_t target = bd_daemon_group_place (group->id, group->incarnation);
  const int64_t *broke_ms = g_hash_table_lookup (daemon->breaks, &target);

  if (broke_ms == NULL)
    return;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_endpoint *e
          = bd_daemon_endpoint (daemon, group->members[i]);
      if (e == NULL || e->sent_ms <= *broke_ms
          || !bd_report_is_member (&e->sighting.report, group->id,
                                   group->incarnation))
        return;
    }
  bd_suspects_acquit (&daemon->suspects, target);
  g_hash_table_remove (daemon->breaks, &target);
}

/* One poll under way.  */
struct poll
{
  struct bd_daemon *daemon;
  char instance[BD_NAME_SIZE];
  int64_t sent_ms;
};

static void
handle_poll_done (void *ctx, struct bd_http_call *call,
                  const struct bd_http_result *result)
{
  struct poll *poll = ctx;
  struct bd_daemon *daemon = poll->daemon;
  struct bd_endpoint *endpoint = bd_daemon_endpoint (daemon, poll->instance);
  struct bd_report report;

  (void)call;
  if (endpoint != NULL)
    {
      endpoint->is_polling = false;
      if (result->is_whole && result->status == 200
          && bd_report_parse (result->body, result->body_size, &report))
        {
          const struct bd_group *group = NULL;
          endpoint->sent_ms = poll->sent_ms;
          see (daemon, endpoint, &report, poll->sent_ms);
          if (daemon->keeper.allotment != NULL)
            group = bd_allotment_group_of (daemon->keeper.allotment,
                                           endpoint->info.name);
          if (group != NULL)
            acquit (daemon, group);
          bd_daemon_pump (daemon);
        }
    }
  talloc_free (poll);
}

static const struct bd_http_call_ops poll_ops = { .done = handle_poll_done };

static void
poll_endpoint (struct bd_daemon *daemon, struct bd_endpoint *endpoint)
{
  struct poll *poll;
  char *url;
  struct bd_http_out out = { .method = "GET" };

  if (endpoint->is_polling)
    return;
  poll = talloc_zero (daemon, struct poll);
  poll->daemon = daemon;
  poll->sent_ms = bd_daemon_now_ms (daemon);
  bd_name_copy (poll->instance, endpoint->info.name);
  url = talloc_asprintf (poll, "http://%s:%u/state", endpoint->info.address,
                         endpoint->info.port);
  out.url = url;
  out.timeout_ms = daemon->settings->freshness_ms;
  endpoint->is_polling = true;
  bd_count (&daemon->counters, BD_COUNT_ENDPOINT_POLLS);
  if (bd_http_send (&daemon->client, &out, &poll_ops, poll) == NULL)
    {
      endpoint->is_polling = false;
      talloc_free (poll);
    }
}

/* Whether the instance's group waits for reports after a break.  */
static bool
is_in_doubt (const struct bd_daemon *daemon, const char *instance)
{
  const struct bd_group *group
      = daemon->keeper.allotment != NULL
                && g_hash_table_size (daemon->breaks) > 0
            ? bd_allotment_group_of (daemon->keeper.allotment, instance)
            : NULL;

  return group != NULL
         && bd_daemon_is_doubted (
             daemon, bd_daemon_group_place (group->id, group->incarnation));
}

void
bd_daemon_poll (void *ctx)
{
  struct bd_daemon *daemon = ctx;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, daemon->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_endpoint *endpoint = value;
      if (is_local (daemon, &endpoint->info)
          && (is_observer (daemon, unit_of (daemon, endpoint->info.name))
              || is_in_doubt (daemon, endpoint->info.name)))
        poll_endpoint (daemon, endpoint);
    }
}

void
bd_daemon_check_group (struct bd_daemon *daemon, const char *group_id)
{
  const struct bd_group *group
      = daemon->keeper.allotment != NULL
            ? bd_allotment_find (daemon->keeper.allotment, group_id)
            : NULL;

  for (uint32_t i = 0; group != NULL && i < group->member_count; i++)
    {
      struct bd_endpoint *e = bd_daemon_endpoint (daemon, group->members[i]);
      if (e != NULL)
        poll_endpoint (daemon, e);
    }
}

/* Whether this daemon itself sees every member in the group, and how old the
   oldest report is.  */
static bool
is_whole_here (const struct bd_daemon *daemon, const struct bd_group *group,
               int64_t now_ms, struct bd_group_report *out)
{
  out->age_ms = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_endpoint *e
          = bd_daemon_endpoint (daemon, group->members[i]);
      int64_t age_ms;
      if (e == NULL || !e->sighting.was_heard
          || !bd_report_is_member (&e->sighting.report, group->id,
                                   group->incarnation))
        return false;
      age_ms = now_ms - e->sighting.heard_ms;
      if (age_ms > daemon->settings->freshness_ms)
        return false;
      if ((uint32_t)age_ms > out->age_ms)
        out->age_ms = (uint32_t)age_ms;
      if (i == 0)
        out->running = e->sighting.report.running;
    }
  out->id_hash = bd_hash (group->id, strlen (group->id));
  out->incarnation = group->incarnation;
  return true;
}

/* The groups that this daemon watches and finds whole.  */
struct watched
{
  struct bd_group_report items[MAX_WHOLE];
  const char *ids[MAX_WHOLE];
  uint32_t count;
};

static void
list_watched (const struct bd_daemon *daemon, int64_t now_ms,
              struct watched *out)
{
  const struct bd_allotment *allotment = daemon->keeper.allotment;

  out->count = 0;
  for (uint32_t i = 0; i < allotment->count && out->count < MAX_WHOLE; i++)
    {
      const struct bd_group *group = &allotment->groups[i];
      if (!is_observer (daemon, group->id)
          || !is_whole_here (daemon, group, now_ms, &out->items[out->count]))
        continue;
      out->ids[out->count++] = group->id;
    }
}

/* Tells a daemon of this centre which groups are whole; of those that it
   watches itself it needs no telling.  */
static void
tell_groups (struct bd_daemon *daemon, const struct bd_member *member,
             const struct watched *watched)
{
  struct bd_group_report items[MAX_WHOLE];
  struct bd_group_reports digest = { .items = items };

  for (uint32_t i = 0; i < watched->count; i++)
    if (!bd_membership_is_duty (&daemon->membership, member->name,
                                member->data_centre, watched->ids[i],
                                OBSERVERS))
      items[digest.count++] = watched->items[i];
  if (digest.count > 0)
    bd_daemon_tell (daemon, member, BD_MESSAGE_GROUP_REPORTS, &digest);
}

/* The same for every daemon of this centre.  */
static void
tell_centre_groups (struct bd_daemon *daemon, int64_t now_ms)
{
  struct watched watched;

  list_watched (daemon, now_ms, &watched);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) == 0)
        tell_groups (daemon, member, &watched);
    }
}

static void
fill_seen (const struct bd_endpoint *endpoint, int64_t now_ms,
           struct bd_instance_report *seen)
{
  const struct bd_report *report = &endpoint->sighting.report;

  bd_name_copy (seen->instance, endpoint->info.name);
  seen->age_ms = (uint32_t)(now_ms - endpoint->sighting.heard_ms);
  seen->phase = report->phase;
  bd_name_copy (seen->group, report->group);
  seen->incarnation = report->incarnation;
  bd_name_copy (seen->model, report->model);
  bd_name_copy (seen->version, report->version);
  seen->running = report->running;
}

/* Tells the keeper what the instances report that this daemon polls and the
   keeper does not.  */
static void
tell_keeper (struct bd_daemon *daemon, const struct bd_member *keeper,
             int64_t now_ms)
{
  struct bd_instance_report *items
      = talloc_array (daemon, struct bd_instance_report, MAX_SEEN);
  struct bd_instance_reports digest = { .items = items };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, daemon->endpoints);
  while (digest.count < MAX_SEEN
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_endpoint *endpoint = value;
      const char *unit = unit_of (daemon, endpoint->info.name);
      if (is_local (daemon, &endpoint->info) && endpoint->sighting.was_heard
          && now_ms - endpoint->sighting.heard_ms
                 <= daemon->settings->freshness_ms
          && is_observer (daemon, unit)
          && !bd_membership_is_duty (&daemon->membership, keeper->name,
                                     keeper->data_centre, unit, OBSERVERS))
        fill_seen (endpoint, now_ms, &items[digest.count++]);
    }
  if (digest.count > 0)
    bd_daemon_tell (daemon, keeper, BD_MESSAGE_INSTANCE_REPORTS, &digest);
  talloc_free (items);
}

void
bd_daemon_send_digests (struct bd_daemon *daemon)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);
  const struct bd_member *keeper = bd_membership_keeper (
      &daemon->membership, daemon->settings->data_centre);

  if (daemon->keeper.allotment != NULL)
    tell_centre_groups (daemon, now_ms);
  if (keeper != NULL && keeper != bd_membership_self (&daemon->membership))
    tell_keeper (daemon, keeper, now_ms);
}

void
bd_daemon_take_digest (struct bd_daemon *daemon,
                       const struct bd_instance_reports *digest)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);

  for (uint32_t i = 0; i < digest->count; i++)
    {
      const struct bd_instance_report *seen = &digest->items[i];
      struct bd_endpoint *endpoint
          = bd_daemon_endpoint (daemon, seen->instance);
      struct bd_report report = { .phase = seen->phase <= BD_PHASE_READY
                                               ? (enum bd_phase)seen->phase
                                               : BD_PHASE_IDLE,
                                  .incarnation = seen->incarnation,
                                  .running = seen->running };
      if (endpoint == NULL)
        continue;
      bd_name_copy (report.group, seen->group);
      bd_name_copy (report.model, seen->model);
      bd_name_copy (report.version, seen->version);
      see (daemon, endpoint, &report, now_ms - seen->age_ms);
    }
}

static uint32_t
own_in_flight (struct bd_daemon *daemon, uint64_t id_hash)
{
  const struct bd_allotment *allotment = daemon->keeper.allotment;

  for (uint32_t i = 0; allotment != NULL && i < allotment->count; i++)
    {
      const char *id = allotment->groups[i].id;
      const struct bd_group_traffic *traffic;
      if (bd_hash (id, strlen (id)) != id_hash)
        continue;
      traffic = g_hash_table_lookup (daemon->traffic, id);
      return traffic != NULL ? traffic->in_flight : 0;
    }
  return 0;
}

void
bd_daemon_take_groups (struct bd_daemon *daemon,
                       const struct bd_group_reports *digest)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);

  for (uint32_t i = 0; i < digest->count; i++)
    {
      const struct bd_group_report *item = &digest->items[i];
      struct bd_group_news *news
          = g_hash_table_lookup (daemon->group_news, &item->id_hash);
      if (news == NULL)
        {
          news = g_new0 (struct bd_group_news, 1);
          news->id_hash = item->id_hash;
          g_hash_table_insert (daemon->group_news, &news->id_hash, news);
        }
      news->incarnation = item->incarnation;
      news->whole_ms = now_ms - item->age_ms;
      news->running = item->running;
      news->own_at_report = own_in_flight (daemon, item->id_hash);
    }
  bd_daemon_pump (daemon);
}

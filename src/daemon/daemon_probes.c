/* Probes of endpoints for load reports, and the digests by which daemons share
   the results.

   Each unit (a group, or an instance in no group) is probed by two daemons of
   its data centre, chosen by rendezvous hashing.  They report complete groups
   to every daemon of the data centre, and the state of each instance to the
   group controller.  */

#include "daemon/daemon_internal.h"

#include <string.h>
#include <talloc.h>

enum
{
  PROBERS_PER_UNIT = 2,
  MAX_DIGEST_ITEMS = 1024,
  MAX_COMPLETE_GROUPS = 1024,
  SUSPICION_TTL_MS = 60000
};

struct bd_endpoint *
bd_daemon_find_endpoint (const struct bd_daemon *daemon, const char *name)
{
  return g_hash_table_lookup (daemon->endpoints, name);
}

static const struct bd_received_report *
find_observation (void *ctx, const char *instance)
{
  const struct bd_endpoint *endpoint = bd_daemon_find_endpoint (ctx, instance);

  return endpoint != NULL ? &endpoint->observation : NULL;
}

static bool
is_local (const struct bd_daemon *daemon, const struct bd_instance *info)
{
  return strcmp (info->data_centre, daemon->settings->data_centre) == 0;
}

/* The unit by which the probers of an instance are chosen: its group, or the
   instance itself.  */
static const char *
probe_unit (const struct bd_daemon *daemon, const char *instance)
{
  const struct bd_group *group
      = daemon->controller.assignment != NULL
            ? bd_assignment_group_of (daemon->controller.assignment, instance)
            : NULL;

  return group != NULL ? group->id : instance;
}

static bool
is_prober (const struct bd_daemon *daemon, const char *unit)
{
  /* A stopping daemon has no probe duties in the view of its peers, but may
     still have calls in flight on any endpoint.  */
  if (daemon->is_stopping)
    return true;
  return bd_membership_has_duty (&daemon->membership, daemon->settings->name,
                                 daemon->settings->data_centre, unit,
                                 PROBERS_PER_UNIT);
}

/* Whether a recent digest of another prober reports the group as complete.  */
static bool
is_reported_complete (const struct bd_daemon *daemon,
                      const struct bd_group *group, int64_t now_ms)
{
  uint64_t id_hash = bd_hash (group->id, strlen (group->id));
  const struct bd_group_status *status
      = g_hash_table_lookup (daemon->group_statuses, &id_hash);

  return status != NULL && status->incarnation == group->incarnation
         && now_ms - status->oldest_report_ms
                <= daemon->settings->freshness_ms;
}

static bool
has_leaving_member (const struct bd_daemon *daemon,
                    const struct bd_group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_endpoint *endpoint
          = bd_daemon_find_endpoint (daemon, group->members[i]);
      if (endpoint != NULL && endpoint->observation.is_leaving)
        return true;
    }
  return false;
}

enum bd_gate
bd_daemon_gate (struct bd_daemon *daemon, const struct bd_group *group,
                int64_t now_ms)
{
  enum bd_gate gate = bd_gate_check (group, find_observation, daemon, now_ms,
                                     daemon->settings->freshness_ms);

  if (gate != BD_GATE_CLOSED || !is_reported_complete (daemon, group, now_ms))
    return gate;
  if (group->drain != BD_DRAIN_NONE)
    return BD_GATE_DRAINING;
  return has_leaving_member (daemon, group) ? BD_GATE_LEAVING : BD_GATE_OPEN;
}

static void
record_own_in_flight (struct bd_daemon *daemon, struct bd_endpoint *endpoint)
{
  struct bd_group_traffic *traffic = g_hash_table_lookup (
      daemon->traffic, endpoint->observation.report.group);

  endpoint->own_at_report
      = traffic != NULL ? traffic->in_flight : endpoint->in_flight;
}

/* The age of a report counts from when its probe was sent, because the
   endpoint can have made the report at any time since then.  */
static bool
record_report (struct bd_daemon *daemon, struct bd_endpoint *endpoint,
               const struct bd_report *report, int64_t probed_ms)
{
  if (!bd_report_is_from (report, endpoint->info.name))
    bd_count (&daemon->counters, BD_COUNT_WRONG_INSTANCE);
  if (!bd_received_report_update (&endpoint->observation, endpoint->info.name,
                                  report, probed_ms))
    return false;
  record_own_in_flight (daemon, endpoint);
  bd_controller_add_report (&daemon->controller, endpoint->info.name, report,
                            probed_ms, bd_daemon_now_ms (daemon));
  return true;
}

static gboolean
is_expired_suspicion (gpointer key, gpointer value, gpointer limit_ms)
{
  (void)key;
  return *(int64_t *)value < *(int64_t *)limit_ms;
}

void
bd_daemon_suspect_target (struct bd_daemon *daemon, uint64_t target)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);
  int64_t limit_ms = now_ms - SUSPICION_TTL_MS;
  uint64_t *key = g_new (uint64_t, 1);
  int64_t *suspected_ms = g_new (int64_t, 1);

  *key = target;
  *suspected_ms = now_ms;
  g_hash_table_foreach_remove (daemon->suspected_targets, is_expired_suspicion,
                               &limit_ms);
  g_hash_table_replace (daemon->suspected_targets, key, suspected_ms);
}

bool
bd_daemon_is_target_suspected (const struct bd_daemon *daemon, uint64_t target)
{
  return g_hash_table_contains (daemon->suspected_targets, &target);
}

/* Clears the suspicion of a group if every member has reported the same
   incarnation since the call broke: the group did not crash, so its requests
   are not poison.  */
static void
clear_suspicion_if_alive (struct bd_daemon *daemon,
                          const struct bd_group *group)
{
  uint64_t target
      = bd_daemon_group_target_hash (group->id, group->incarnation);
  const int64_t *suspected_ms
      = g_hash_table_lookup (daemon->suspected_targets, &target);

  if (suspected_ms == NULL)
    return;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_endpoint *endpoint
          = bd_daemon_find_endpoint (daemon, group->members[i]);
      if (endpoint == NULL || endpoint->probe_sent_ms <= *suspected_ms
          || !bd_report_is_member (&endpoint->observation.report, group->id,
                                   group->incarnation))
        return;
    }
  bd_poison_withdraw_crash (&daemon->poison_requests, target);
  g_hash_table_remove (daemon->suspected_targets, &target);
}

/* One probe in progress.  */
struct probe
{
  struct bd_daemon *daemon;
  char instance[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t port;
  int64_t probe_sent_ms;
};

/* The instance may have been given another address since the probe.  */
static bool
is_at_probed_address (const struct probe *probe,
                      const struct bd_endpoint *endpoint)
{
  return endpoint->info.port == probe->port
         && strcmp (endpoint->info.address, probe->address) == 0;
}

static void
handle_probed_report (struct bd_daemon *daemon, struct bd_endpoint *endpoint,
                      const struct bd_report *report, int64_t probe_sent_ms)
{
  const struct bd_group *group = NULL;

  if (!record_report (daemon, endpoint, report, probe_sent_ms))
    return;
  endpoint->probe_sent_ms = probe_sent_ms;
  if (daemon->controller.assignment != NULL)
    group = bd_assignment_group_of (daemon->controller.assignment,
                                    endpoint->info.name);
  if (group != NULL)
    clear_suspicion_if_alive (daemon, group);
  bd_daemon_dispatch_queues (daemon);
}

static void
handle_probe_done (void *ctx, struct bd_http_call *call,
                   const struct bd_http_result *result)
{
  struct probe *probe = ctx;
  struct bd_daemon *daemon = probe->daemon;
  struct bd_endpoint *endpoint
      = bd_daemon_find_endpoint (daemon, probe->instance);
  struct bd_report report;

  (void)call;
  bd_daemon_note_malformed (daemon, probe->instance, result);
  if (endpoint != NULL)
    {
      endpoint->is_probing = false;
      if (is_at_probed_address (probe, endpoint) && result->is_complete
          && result->status == 200
          && bd_report_parse (result->body, result->body_size, &report))
        handle_probed_report (daemon, endpoint, &report, probe->probe_sent_ms);
    }
  talloc_free (probe);
}

static const struct bd_http_call_ops probe_ops = { .done = handle_probe_done };

static void
probe_endpoint (struct bd_daemon *daemon, struct bd_endpoint *endpoint)
{
  struct probe *probe;
  char *url;
  struct bd_http_request out = { .method = "GET" };

  if (endpoint->is_probing)
    return;
  probe = talloc_zero (daemon, struct probe);
  probe->daemon = daemon;
  probe->probe_sent_ms = bd_daemon_now_ms (daemon);
  bd_name_copy (probe->instance, endpoint->info.name);
  bd_name_copy (probe->address, endpoint->info.address);
  probe->port = endpoint->info.port;
  url = talloc_asprintf (probe, "http://%s:%u/state", endpoint->info.address,
                         endpoint->info.port);
  out.url = url;
  out.timeout_ms = daemon->settings->freshness_ms;
  endpoint->is_probing = true;
  bd_count (&daemon->counters, BD_COUNT_ENDPOINT_POLLS);
  if (bd_http_send (&daemon->client, &out, &probe_ops, probe) == NULL)
    {
      endpoint->is_probing = false;
      talloc_free (probe);
    }
}

/* Whether the instance's group is suspected, so that every daemon that
   suspects it probes its members.  */
static bool
is_group_suspected (const struct bd_daemon *daemon, const char *instance)
{
  const struct bd_group *group
      = daemon->controller.assignment != NULL
                && g_hash_table_size (daemon->suspected_targets) > 0
            ? bd_assignment_group_of (daemon->controller.assignment, instance)
            : NULL;

  return group != NULL
         && bd_daemon_is_target_suspected (
             daemon,
             bd_daemon_group_target_hash (group->id, group->incarnation));
}

void
bd_daemon_probe_endpoints (void *ctx)
{
  struct bd_daemon *daemon = ctx;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, daemon->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_endpoint *endpoint = value;
      if (is_local (daemon, &endpoint->info)
          && (is_prober (daemon, probe_unit (daemon, endpoint->info.name))
              || is_group_suspected (daemon, endpoint->info.name)))
        probe_endpoint (daemon, endpoint);
    }
}

void
bd_daemon_probe_group (struct bd_daemon *daemon, const char *group_id)
{
  const struct bd_group *group
      = daemon->controller.assignment != NULL ? bd_assignment_find_group (
            daemon->controller.assignment, group_id)
                                              : NULL;

  for (uint32_t i = 0; group != NULL && i < group->member_count; i++)
    {
      struct bd_endpoint *endpoint
          = bd_daemon_find_endpoint (daemon, group->members[i]);
      if (endpoint != NULL)
        probe_endpoint (daemon, endpoint);
    }
}

/* Whether this daemon has a recent report of every member in the group's
   incarnation.  Sets *out, with the age of the oldest report.  */
static bool
is_complete_locally (const struct bd_daemon *daemon,
                     const struct bd_group *group, int64_t now_ms,
                     struct bd_group_report *out)
{
  out->age_ms = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct bd_endpoint *endpoint
          = bd_daemon_find_endpoint (daemon, group->members[i]);
      int64_t age_ms;
      if (endpoint == NULL || !endpoint->observation.has_report
          || !bd_report_is_member (&endpoint->observation.report, group->id,
                                   group->incarnation))
        return false;
      age_ms = now_ms - endpoint->observation.last_received_ms;
      if (age_ms > daemon->settings->freshness_ms)
        return false;
      if ((uint32_t)age_ms > out->age_ms)
        out->age_ms = (uint32_t)age_ms;
      if (i == 0)
        out->running = endpoint->observation.report.running;
    }
  out->id_hash = bd_hash (group->id, strlen (group->id));
  out->incarnation = group->incarnation;
  return true;
}

/* The groups that this daemon probes and that are complete.  */
struct probed_groups
{
  struct bd_group_report items[MAX_COMPLETE_GROUPS];
  const char *ids[MAX_COMPLETE_GROUPS];
  uint32_t count;
};

static void
list_probed_groups (const struct bd_daemon *daemon, int64_t now_ms,
                    struct probed_groups *out)
{
  const struct bd_assignment *assignment = daemon->controller.assignment;

  out->count = 0;
  for (uint32_t i = 0;
       i < assignment->count && out->count < MAX_COMPLETE_GROUPS; i++)
    {
      const struct bd_group *group = &assignment->groups[i];
      if (!is_prober (daemon, group->id)
          || !is_complete_locally (daemon, group, now_ms,
                                   &out->items[out->count]))
        continue;
      out->ids[out->count++] = group->id;
    }
}

/* Reports the complete groups to a daemon of this data centre, except those
   that the receiver probes itself.  */
static void
send_group_digest (struct bd_daemon *daemon, const struct bd_member *member,
                   const struct probed_groups *probed_groups)
{
  struct bd_group_report items[MAX_COMPLETE_GROUPS];
  struct bd_group_reports digest = { .items = items };

  for (uint32_t i = 0; i < probed_groups->count; i++)
    if (!bd_membership_has_duty (&daemon->membership, member->name,
                                 member->data_centre, probed_groups->ids[i],
                                 PROBERS_PER_UNIT))
      items[digest.count++] = probed_groups->items[i];
  if (digest.count > 0)
    bd_daemon_send (daemon, member, BD_MESSAGE_GROUP_REPORTS, &digest);
}

/* Sends a group digest to every live daemon of this data centre.  */
static void
send_all_group_digests (struct bd_daemon *daemon, int64_t now_ms)
{
  struct probed_groups probed_groups;

  list_probed_groups (daemon, now_ms, &probed_groups);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live
          && strcmp (member->data_centre, daemon->settings->data_centre) == 0)
        send_group_digest (daemon, member, &probed_groups);
    }
}

static void
fill_digest_item (const struct bd_endpoint *endpoint, int64_t now_ms,
                  struct bd_instance_report *item)
{
  const struct bd_report *report = &endpoint->observation.report;

  bd_name_copy (item->instance, endpoint->info.name);
  item->age_ms = (uint32_t)(now_ms - endpoint->observation.last_received_ms);
  item->phase = report->phase;
  bd_name_copy (item->group, report->group);
  item->incarnation = report->incarnation;
  bd_name_copy (item->model, report->model);
  bd_name_copy (item->version, report->version);
  item->running = report->running;
}

/* Sends the group controller the reports of the instances that this daemon
   probes, also of those that the controller probes: it may not reach them.  */
static void
send_digest_to_controller (struct bd_daemon *daemon,
                           const struct bd_member *controller, int64_t now_ms)
{
  struct bd_instance_report *items
      = talloc_array (daemon, struct bd_instance_report, MAX_DIGEST_ITEMS);
  struct bd_instance_reports digest = { .items = items };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, daemon->endpoints);
  while (digest.count < MAX_DIGEST_ITEMS
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_endpoint *endpoint = value;
      const char *unit = probe_unit (daemon, endpoint->info.name);
      if (is_local (daemon, &endpoint->info)
          && endpoint->observation.has_report
          && now_ms - endpoint->observation.last_received_ms
                 <= daemon->settings->freshness_ms
          && is_prober (daemon, unit))
        fill_digest_item (endpoint, now_ms, &items[digest.count++]);
    }
  if (digest.count > 0)
    bd_daemon_send (daemon, controller, BD_MESSAGE_INSTANCE_REPORTS, &digest);
  talloc_free (items);
}

void
bd_daemon_send_digests (struct bd_daemon *daemon)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);
  const struct bd_member *controller = bd_membership_controller (
      &daemon->membership, daemon->settings->data_centre);

  if (daemon->controller.assignment != NULL)
    send_all_group_digests (daemon, now_ms);
  if (controller != NULL
      && controller != bd_membership_self (&daemon->membership))
    send_digest_to_controller (daemon, controller, now_ms);
}

/* Calls go only to endpoints that this daemon reaches, so for those that it
   probes itself another prober's report counts for the controller alone.  */
static void
record_digest_report (struct bd_daemon *daemon, struct bd_endpoint *endpoint,
                      const struct bd_report *report, int64_t probed_ms)
{
  const char *name = endpoint->info.name;

  if (!is_prober (daemon, probe_unit (daemon, name)))
    record_report (daemon, endpoint, report, probed_ms);
  else if (probed_ms > endpoint->observation.last_received_ms)
    bd_controller_add_report (&daemon->controller, name, report, probed_ms,
                              bd_daemon_now_ms (daemon));
}

void
bd_daemon_receive_digest (struct bd_daemon *daemon,
                          const struct bd_instance_reports *digest)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);

  for (uint32_t i = 0; i < digest->count; i++)
    {
      const struct bd_instance_report *item = &digest->items[i];
      struct bd_endpoint *endpoint
          = bd_daemon_find_endpoint (daemon, item->instance);
      struct bd_report report = { .phase = item->phase <= BD_PHASE_READY
                                               ? (enum bd_phase)item->phase
                                               : BD_PHASE_IDLE,
                                  .incarnation = item->incarnation,
                                  .running = item->running };
      if (endpoint == NULL)
        continue;
      bd_name_copy (report.instance, item->instance);
      bd_name_copy (report.group, item->group);
      bd_name_copy (report.model, item->model);
      bd_name_copy (report.version, item->version);
      record_digest_report (daemon, endpoint, &report, now_ms - item->age_ms);
    }
}

static uint32_t
own_in_flight (struct bd_daemon *daemon, uint64_t id_hash)
{
  const struct bd_assignment *assignment = daemon->controller.assignment;

  for (uint32_t i = 0; assignment != NULL && i < assignment->count; i++)
    {
      const char *id = assignment->groups[i].id;
      const struct bd_group_traffic *traffic;
      if (bd_hash (id, strlen (id)) != id_hash)
        continue;
      traffic = g_hash_table_lookup (daemon->traffic, id);
      return traffic != NULL ? traffic->in_flight : 0;
    }
  return 0;
}

void
bd_daemon_receive_group_digest (struct bd_daemon *daemon,
                                const struct bd_group_reports *digest)
{
  int64_t now_ms = bd_daemon_now_ms (daemon);

  for (uint32_t i = 0; i < digest->count; i++)
    {
      const struct bd_group_report *item = &digest->items[i];
      struct bd_group_status *status
          = g_hash_table_lookup (daemon->group_statuses, &item->id_hash);
      if (status == NULL)
        {
          status = g_new0 (struct bd_group_status, 1);
          status->id_hash = item->id_hash;
          g_hash_table_insert (daemon->group_statuses, &status->id_hash,
                               status);
        }
      status->incarnation = item->incarnation;
      status->oldest_report_ms = now_ms - item->age_ms;
      status->running = item->running;
      status->own_at_report = own_in_flight (daemon, item->id_hash);
    }
  bd_daemon_dispatch_queues (daemon);
}

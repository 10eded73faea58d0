/* Endpoints and replica groups as a daemon sees them.  */

#include "fleet/fleet.h"

#include <stdio.h>
#include <string.h>

enum
{
  MAX_EARLY_LEAVES = 1024,
  /* Upper limit of the age of what a report shows.  */
  MAX_REPORT_AGE_MS = 1000,
  /* An endpoint is dead after this number of reports in a row that are of an
     earlier incarnation: for a moment, reports are older than the list.  */
  MISSES_BY_EARLIER_REPORTS = 4
};

void
bd_fleet_init (struct bd_fleet *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->endpoints
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  fleet->early_leaves
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->sorted_groups = g_ptr_array_new ();
  fleet->groups
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  fleet->grace_services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
bd_fleet_finish (struct bd_fleet *fleet)
{
  if (fleet->endpoints == NULL)
    return;
  g_ptr_array_free (fleet->sorted_groups, TRUE);
  g_hash_table_destroy (fleet->early_leaves);
  g_hash_table_destroy (fleet->grace_services);
  g_hash_table_destroy (fleet->groups);
  g_hash_table_destroy (fleet->endpoints);
  fleet->endpoints = NULL;
}

struct bd_fleet_endpoint *
bd_fleet_endpoint (const struct bd_fleet *fleet, const char *id)
{
  return g_hash_table_lookup (fleet->endpoints, id);
}

struct bd_fleet_group *
bd_fleet_group (const struct bd_fleet *fleet, uint64_t hash)
{
  return g_hash_table_lookup (fleet->groups, &hash);
}

uint64_t
bd_fleet_group_hash (const char *name, int64_t epoch)
{
  char text[BD_NAME_SIZE + 32];
  int size = snprintf (text, sizeof text, "%s/%lld", name, (long long)epoch);

  return bd_hash (text, (size_t)size);
}

static bool
is_same_member (const struct bd_membership_view *a,
                const struct bd_membership_view *b)
{
  return a->state == b->state && a->epoch == b->epoch && a->rank == b->rank
         && strcmp (a->group, b->group) == 0;
}

static void
set_liveness (struct bd_fleet_endpoint *endpoint, enum bd_liveness liveness,
              int64_t now_ms)
{
  if (endpoint->liveness == liveness)
    return;
  endpoint->liveness = liveness;
  endpoint->liveness_changed_ms = now_ms;
}

static bool
is_in_same_group (const struct bd_membership_view *a,
                  const struct bd_membership_view *b)
{
  return a->state != BD_MEMBER_NONE && b->state != BD_MEMBER_NONE
         && a->epoch == b->epoch && strcmp (a->group, b->group) == 0;
}

/* An endpoint that leaves its group keeps the epoch that it has seen.  */
static void
set_membership (struct bd_fleet_endpoint *endpoint,
                const struct bd_membership_view *member, int64_t now_ms)
{
  endpoint->member_updated_ms = now_ms;
  if (member->state == BD_MEMBER_NONE)
    {
      endpoint->entry.member.state = BD_MEMBER_NONE;
      return;
    }
  endpoint->entry.member = *member;
  if (member->model[0] != '\0')
    bd_name_copy (endpoint->last_model, member->model);
}

/* Resets the state of the previous incarnation.  */
static void
begin_incarnation (struct bd_fleet_endpoint *endpoint, int64_t now_ms)
{
  endpoint->last_model[0] = '\0';
  endpoint->missed_probes = 0;
  endpoint->in_flight = 0;
  endpoint->latency_ms = 0;
  endpoint->deviation_ms = 0;
  endpoint->failure_rate = 0;
  endpoint->load = 0;
  endpoint->sent_since_load = 0;
  endpoint->backoff_until_ms = 0;
  endpoint->closed_until_ms = 0;
  endpoint->pacing = (struct bd_pacing){ 0 };
  bd_coldstart_begin (&endpoint->cold, now_ms);
  endpoint->is_leaving = false;
  endpoint->reported_pace = 1.0;
  endpoint->is_staging = false;
  endpoint->order = (struct bd_order_state){ 0 };
  endpoint->entry.member = (struct bd_membership_view){ 0 };
  /* No order has been executed yet.  */
  endpoint->confirmed
      = (struct bd_confirmed_state){ .is_current = true,
                                     .pending_exit_version = -1 };
  endpoint->liveness = BD_LIVENESS_ALIVE;
  endpoint->liveness_changed_ms = now_ms;
}

/* Whether an endpoint enters a state without a further order: it is ready or
   broken some time after it has joined, and open after it has accepted that
   order.  */
static bool
is_reached_without_order (const struct bd_fleet_endpoint *endpoint,
                          enum bd_member_state state)
{
  const struct bd_confirmed_state *confirmed = &endpoint->confirmed;

  return state == BD_MEMBER_READY || state == BD_MEMBER_BROKEN
         || (state == BD_MEMBER_OPEN && confirmed->opening_version > 0
             && confirmed->opening_version == confirmed->version);
}

/* Applies the membership that the list shows.  A confirmed state is replaced
   only by what can have followed it: a higher epoch, or a later state in the
   same group.  */
static void
apply_listed_member (struct bd_fleet_endpoint *endpoint,
                     const struct bd_membership_view *listed, int64_t now_ms)
{
  const struct bd_membership_view *known = &endpoint->entry.member;
  struct bd_confirmed_state *confirmed = &endpoint->confirmed;
  bool has_higher_epoch
      = listed->state != BD_MEMBER_NONE && listed->epoch > known->epoch;

  if (listed->state == known->state
      && (listed->state == BD_MEMBER_NONE || is_same_member (listed, known)))
    {
      confirmed->contradicted_ms = 0;
      return;
    }
  if (!has_higher_epoch && confirmed->is_current
      && !(is_in_same_group (listed, known) && listed->state > known->state))
    {
      if (confirmed->contradicted_ms == 0)
        confirmed->contradicted_ms = now_ms;
      return;
    }
  if (!confirmed->is_current && listed->state != BD_MEMBER_NONE
      && listed->epoch < known->epoch)
    return;
  if (has_higher_epoch || !is_reached_without_order (endpoint, listed->state))
    confirmed->is_current = false;
  confirmed->contradicted_ms = 0;
  set_membership (endpoint, listed, now_ms);
}

/* Returns whether the leave is news.  After the table was cleared that is not
   known, and the leave is not passed on.  */
static bool
remember_leave (struct bd_fleet *fleet, const char *id, int64_t started_ms)
{
  const int64_t *known = g_hash_table_lookup (fleet->early_leaves, id);
  bool is_full = g_hash_table_size (fleet->early_leaves) >= MAX_EARLY_LEAVES;

  if (known != NULL && *known >= started_ms)
    return false;
  if (is_full)
    g_hash_table_remove_all (fleet->early_leaves);
  g_hash_table_replace (fleet->early_leaves, g_strdup (id),
                        g_memdup2 (&started_ms, sizeof started_ms));
  return !is_full;
}

/* Whether the endpoint's incarnation had announced its leave before its entry
   came.  */
static bool
has_left_early (struct bd_fleet *fleet,
                const struct bd_fleet_endpoint *endpoint)
{
  const int64_t *started_ms
      = g_hash_table_lookup (fleet->early_leaves, endpoint->entry.id);

  return started_ms != NULL && *started_ms == endpoint->entry.started_ms;
}

void
bd_fleet_put (struct bd_fleet *fleet, const struct bd_endpoint_entry *entry,
              int64_t now_ms)
{
  struct bd_fleet_endpoint *endpoint = bd_fleet_endpoint (fleet, entry->id);
  struct bd_membership_view known_member;
  bool is_new = endpoint == NULL;
  bool is_new_incarnation;

  if (is_new)
    {
      endpoint = g_new0 (struct bd_fleet_endpoint, 1);
      bd_name_copy (endpoint->entry.id, entry->id);
      g_hash_table_insert (fleet->endpoints, endpoint->entry.id, endpoint);
    }
  is_new_incarnation
      = is_new || entry->started_ms != endpoint->entry.started_ms;
  known_member = endpoint->entry.member;
  endpoint->entry = *entry;
  endpoint->entry.member = known_member;
  if (is_new_incarnation)
    {
      begin_incarnation (endpoint, now_ms);
      endpoint->is_leaving = has_left_early (fleet, endpoint);
    }
  bd_coldstart_note_entry (&endpoint->cold,
                           entry->has_cold_remaining ? entry->cold_remaining_ms
                                                     : -1,
                           entry->heartbeats, now_ms);
  if (is_new_incarnation || !endpoint->is_listed)
    endpoint->listed_ms = now_ms;
  if (!is_new_incarnation && !endpoint->is_listed)
    set_liveness (endpoint, BD_LIVENESS_ALIVE, now_ms);
  endpoint->is_in_list = true;
  endpoint->is_listed = true;
  endpoint->grace_end_ms = 0;
  endpoint->entry.is_draining = entry->is_draining || endpoint->is_leaving;
  apply_listed_member (endpoint, &entry->member, now_ms);
  fleet->changed_ms = now_ms;
}

void
bd_fleet_set_grace (struct bd_fleet *fleet, const char *service,
                    bool has_grace)
{
  if (has_grace)
    g_hash_table_add (fleet->grace_services, g_strdup (service));
  else
    g_hash_table_remove (fleet->grace_services, service);
}

/* Whether the endpoint is a member of a group whose leader is open.  */
static bool
is_in_open_group (const struct bd_fleet *fleet,
                  const struct bd_fleet_endpoint *endpoint)
{
  const struct bd_membership_view *member = &endpoint->entry.member;
  const struct bd_fleet_group *group;

  if (member->state == BD_MEMBER_NONE)
    return false;
  group = bd_fleet_group (fleet,
                          bd_fleet_group_hash (member->group, member->epoch));
  return group != NULL && group->members[0] != NULL
         && group->members[0]->entry.member.state == BD_MEMBER_OPEN;
}

/* Starts the grace of an endpoint that the list has just lost.  */
static void
begin_grace (const struct bd_fleet *fleet, struct bd_fleet_endpoint *endpoint,
             int64_t now_ms)
{
  endpoint->grace_end_ms = 0;
  if (!endpoint->is_listed
      || !g_hash_table_contains (fleet->grace_services,
                                 endpoint->entry.service))
    return;
  endpoint->grace_end_ms = endpoint->entry.member.rank == 0
                               ? bd_listing_grace_end_ms (&fleet->listing)
                               : now_ms + fleet->listing.drain_ms;
}

static bool
has_grace (const struct bd_fleet *fleet,
           const struct bd_fleet_endpoint *endpoint, int64_t now_ms)
{
  return now_ms < endpoint->grace_end_ms && !endpoint->entry.is_draining
         && endpoint->liveness != BD_LIVENESS_DEAD
         && is_in_open_group (fleet, endpoint);
}

/* Delists an endpoint that the list lacks, unless its entry can have expired
   or it has a grace.  Returns whether it has.  */
static bool
delist (struct bd_fleet *fleet, struct bd_fleet_endpoint *endpoint,
        int64_t now_ms)
{
  if (endpoint->is_in_list || !endpoint->is_listed
      || bd_listing_can_have_expired (&fleet->listing, now_ms)
      || has_grace (fleet, endpoint, now_ms))
    return false;
  endpoint->is_listed = false;
  endpoint->grace_end_ms = 0;
  endpoint->delisted_ms = now_ms;
  fleet->changed_ms = now_ms;
  return true;
}

void
bd_fleet_remove (struct bd_fleet *fleet, const char *id, int64_t now_ms)
{
  struct bd_fleet_endpoint *endpoint = bd_fleet_endpoint (fleet, id);

  if (endpoint == NULL)
    return;
  if (endpoint->is_in_list)
    begin_grace (fleet, endpoint, now_ms);
  endpoint->is_in_list = false;
  delist (fleet, endpoint, now_ms);
}

bool
bd_fleet_update (struct bd_fleet *fleet, bd_fleet_visitor *visit, void *ctx,
                 int64_t now_ms)
{
  bool is_changed = false;
  GHashTableIter iter;
  gpointer endpoint;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &endpoint))
    {
      if (!delist (fleet, endpoint, now_ms))
        continue;
      is_changed = true;
      visit (ctx, endpoint);
    }
  return is_changed;
}

bool
bd_fleet_mark_leaving (struct bd_fleet *fleet, const char *id,
                       int64_t started_ms, int64_t now_ms)
{
  struct bd_fleet_endpoint *endpoint = bd_fleet_endpoint (fleet, id);

  if (endpoint == NULL || started_ms > endpoint->entry.started_ms)
    return started_ms != 0 && remember_leave (fleet, id, started_ms);
  if (endpoint->is_leaving
      || (started_ms != 0 && started_ms != endpoint->entry.started_ms))
    return false;
  endpoint->is_leaving = true;
  endpoint->entry.is_draining = true;
  fleet->changed_ms = now_ms;
  return true;
}

void
bd_fleet_close (struct bd_fleet *fleet, const char *id, int64_t until_ms)
{
  struct bd_fleet_endpoint *endpoint = bd_fleet_endpoint (fleet, id);

  if (endpoint != NULL && until_ms > endpoint->closed_until_ms)
    endpoint->closed_until_ms = until_ms;
}

void
bd_fleet_mark_store_restored (struct bd_fleet *fleet, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  bd_listing_note_restored (&fleet->listing, now_ms);
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_endpoint *endpoint = value;

      endpoint->is_leaving = endpoint->entry.is_draining;
    }
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer now_ms)
{
  const struct bd_fleet_endpoint *endpoint = value;

  (void)key;
  return !endpoint->is_listed && !endpoint->order.is_pending
         && !endpoint->has_pending_probe && endpoint->in_flight == 0
         && *(int64_t *)now_ms - endpoint->delisted_ms > BD_FLEET_RETENTION_MS;
}

bool
bd_fleet_expire (struct bd_fleet *fleet, int64_t now_ms)
{
  return g_hash_table_foreach_remove (fleet->endpoints, is_expired, &now_ms)
         > 0;
}

/* Whether a report, answered to a probe of this time, can be older than what
   the list has shown.  The list shows nothing of an endpoint after it has been
   removed.  */
static bool
can_be_older_than_list (const struct bd_fleet_endpoint *endpoint,
                        int64_t probe_sent_ms)
{
  return endpoint->is_listed
         || probe_sent_ms - endpoint->delisted_ms < MAX_REPORT_AGE_MS;
}

/* Applies the membership of a report whose version is not older than the
   confirmed one.  A report can still be older than the list, which has no
   versions.  */
static void
apply_reported_member (struct bd_fleet_endpoint *endpoint,
                       const struct bd_endpoint_entry *report,
                       int64_t probe_sent_ms)
{
  const struct bd_membership_view *reported = &report->member;
  const struct bd_membership_view *known = &endpoint->entry.member;
  struct bd_confirmed_state *confirmed = &endpoint->confirmed;
  /* A closing leader becomes ready again, without a further order.  */
  bool has_closed = confirmed->is_current && known->state == BD_MEMBER_CLOSING
                    && reported->state == BD_MEMBER_READY;
  bool is_newer
      = confirmed->is_current && report->version > confirmed->version;
  bool is_behind = reported->state != BD_MEMBER_NONE && !is_newer
                   && !has_closed
                   && can_be_older_than_list (endpoint, probe_sent_ms)
                   && (reported->epoch < known->epoch
                       || (is_in_same_group (reported, known)
                           && reported->state < known->state));

  if (report->version != confirmed->version)
    confirmed->version_ms = probe_sent_ms;
  if (confirmed->is_current && report->version == confirmed->version)
    {
      confirmed->contradicted_ms = 0;
      bd_fleet_set_confirmed (endpoint, report->version);
      if (is_in_same_group (reported, known) && !is_behind)
        set_membership (endpoint, reported, probe_sent_ms);
      return;
    }
  if (is_behind)
    return;
  set_membership (endpoint, reported, probe_sent_ms);
  confirmed->contradicted_ms = 0;
  bd_fleet_set_confirmed (endpoint, report->version);
}

bool
bd_fleet_apply_report (struct bd_fleet *fleet, const char *id,
                       const struct bd_endpoint_entry *report,
                       int64_t probe_sent_ms, int64_t now_ms)
{
  struct bd_fleet_endpoint *endpoint = bd_fleet_endpoint (fleet, id);

  if (endpoint == NULL)
    return false;
  if (report->started_ms != endpoint->entry.started_ms)
    {
      bool is_later = report->started_ms > endpoint->entry.started_ms;

      bd_fleet_record_missed_probe (endpoint,
                                    is_later ? 1 : MISSES_BY_EARLIER_REPORTS,
                                    false, probe_sent_ms, now_ms);
      return false;
    }
  endpoint->missed_probes = 0;
  endpoint->last_probe_ms = probe_sent_ms;
  set_liveness (endpoint, BD_LIVENESS_ALIVE, now_ms);
  if (report->pace > 0)
    endpoint->reported_pace = report->pace;
  fleet->changed_ms = now_ms;
  if (report->version < endpoint->confirmed.version)
    return true;
  memcpy (endpoint->entry.staged, report->staged, sizeof report->staged);
  endpoint->entry.staged_count = report->staged_count;
  apply_reported_member (endpoint, report, probe_sent_ms);
  return true;
}

void
bd_fleet_set_confirmed (struct bd_fleet_endpoint *endpoint, int64_t version)
{
  endpoint->confirmed.version = version;
  endpoint->confirmed.is_current = true;
  endpoint->confirmed.is_version_doubtful = false;
  endpoint->confirmed.is_report_needed = false;
}

void
bd_fleet_forget_confirmed (struct bd_fleet *fleet, const char *data_centre)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_endpoint *endpoint = value;

      if (strcmp (endpoint->entry.data_centre, data_centre) != 0)
        continue;
      /* One that was in no group yet is still at its first version, or refuses
         an order on that condition.  */
      endpoint->confirmed.is_current = endpoint->entry.member.epoch == 0;
      endpoint->confirmed.left_group = 0;
      endpoint->confirmed.pending_exit_version = -1;
      endpoint->confirmed.contradicted_ms = 0;
    }
}

static void
add_group_member (struct bd_fleet *fleet, struct bd_fleet_endpoint *endpoint)
{
  const struct bd_membership_view *member = &endpoint->entry.member;
  struct bd_fleet_group *group;
  uint64_t hash;

  if (member->state == BD_MEMBER_NONE || member->rank >= BD_FLEET_MAX_MEMBERS)
    return;
  hash = bd_fleet_group_hash (member->group, member->epoch);
  group = bd_fleet_group (fleet, hash);
  if (group == NULL)
    {
      group = g_new0 (struct bd_fleet_group, 1);
      group->hash = hash;
      group->epoch = member->epoch;
      group->pace = 1.0;
      bd_name_copy (group->name, member->group);
      g_hash_table_insert (fleet->groups, &group->hash, group);
    }
  if (group->generation != fleet->generation)
    {
      memset (group->members, 0, sizeof group->members);
      group->member_count = 0;
      group->generation = fleet->generation;
    }
  if (group->members[member->rank] == NULL)
    group->member_count++;
  group->members[member->rank] = endpoint;
  if (member->model[0] != '\0')
    bd_name_copy (group->model, member->model);
  bd_name_copy (group->service, endpoint->entry.service);
  if (member->rank != 0)
    return;
  bd_name_copy (group->leader, endpoint->entry.id);
  bd_name_copy (group->data_centre, endpoint->entry.data_centre);
}

/* Whether to remove a group without members: not while it has requests in
   flight.  */
static gboolean
is_stale (gpointer key, gpointer value, gpointer fleet)
{
  struct bd_fleet_group *group = value;

  (void)key;
  if (group->generation == ((struct bd_fleet *)fleet)->generation)
    return FALSE;
  memset (group->members, 0, sizeof group->members);
  group->member_count = 0;
  return group->in_flight == 0;
}

/* Orders a group relative to those of a service, a model and, unless NULL, a
   data centre.  */
static int
compare_class (const struct bd_fleet_group *group, const char *service,
               const char *model, const char *data_centre)
{
  int order = strcmp (group->service, service);

  if (order == 0)
    order = strcmp (group->model, model);
  if (order == 0 && data_centre != NULL)
    order = strcmp (group->data_centre, data_centre);
  return order;
}

static gint
compare_groups (gconstpointer a, gconstpointer b)
{
  const struct bd_fleet_group *left = *(struct bd_fleet_group *const *)a;
  const struct bd_fleet_group *right = *(struct bd_fleet_group *const *)b;
  int order
      = compare_class (left, right->service, right->model, right->data_centre);

  if (order != 0)
    return order;
  return left->hash < right->hash ? -1 : left->hash > right->hash;
}

static void
sort_groups (struct bd_fleet *fleet)
{
  GHashTableIter iter;
  gpointer group;

  g_ptr_array_set_size (fleet->sorted_groups, 0);
  g_hash_table_iter_init (&iter, fleet->groups);
  while (g_hash_table_iter_next (&iter, NULL, &group))
    g_ptr_array_add (fleet->sorted_groups, group);
  g_ptr_array_sort (fleet->sorted_groups, compare_groups);
}

void
bd_fleet_refresh (struct bd_fleet *fleet)
{
  GHashTableIter iter;
  gpointer endpoint;

  fleet->generation++;
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &endpoint))
    add_group_member (fleet, endpoint);
  g_hash_table_foreach_remove (fleet->groups, is_stale, fleet);
  sort_groups (fleet);
}

struct bd_fleet_group **
bd_fleet_groups_of (const struct bd_fleet *fleet, const char *service,
                    const char *model, const char *data_centre,
                    uint32_t *count)
{
  struct bd_fleet_group **groups
      = (struct bd_fleet_group **)fleet->sorted_groups->pdata;
  uint32_t first = 0;
  uint32_t end = fleet->sorted_groups->len;

  while (first < end)
    {
      uint32_t middle = first + (end - first) / 2;

      if (compare_class (groups[middle], service, model, data_centre) < 0)
        first = middle + 1;
      else
        end = middle;
    }
  *count = 0;
  while (first + *count < fleet->sorted_groups->len
         && compare_class (groups[first + *count], service, model, data_centre)
                == 0)
    (*count)++;
  return groups + first;
}

bool
bd_fleet_is_available (const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->is_listed && !endpoint->entry.is_draining
         && endpoint->liveness != BD_LIVENESS_DEAD;
}

bool
bd_fleet_is_usable (const struct bd_fleet_group *group, uint32_t members,
                    int64_t now_ms)
{
  if (group->member_count != members || members == 0
      || group->formed_count > members || members > BD_FLEET_MAX_MEMBERS
      || now_ms < group->suspected_until_ms)
    return false;
  for (uint32_t i = 0; i < members; i++)
    {
      const struct bd_fleet_endpoint *member = group->members[i];

      if (member == NULL || !bd_fleet_is_available (member))
        return false;
    }
  return group->members[0]->entry.member.state == BD_MEMBER_OPEN
         && now_ms >= group->members[0]->closed_until_ms;
}

int64_t
bd_fleet_progress_ms (const struct bd_fleet_group *group)
{
  return MAX (group->progress_ms, group->peers_progress_ms);
}

void
bd_fleet_suspect (struct bd_fleet_endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->liveness == BD_LIVENESS_ALIVE)
    set_liveness (endpoint, BD_LIVENESS_SUSPECTED, now_ms);
}

void
bd_fleet_record_missed_probe (struct bd_fleet_endpoint *endpoint,
                              uint32_t max_missed_probes,
                              bool is_probe_refused, int64_t probe_sent_ms,
                              int64_t now_ms)
{
  endpoint->missed_probes++;
  endpoint->missed_probe_ms = probe_sent_ms;
  endpoint->is_probe_refused = is_probe_refused;
  set_liveness (endpoint,
                endpoint->missed_probes >= max_missed_probes
                    ? BD_LIVENESS_DEAD
                    : BD_LIVENESS_SUSPECTED,
                now_ms);
}

void
bd_fleet_reset_liveness (struct bd_fleet *fleet, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_fleet_endpoint *endpoint = value;

      endpoint->missed_probes = 0;
      endpoint->missed_probe_ms = 0;
      if (endpoint->liveness == BD_LIVENESS_DEAD)
        set_liveness (endpoint, BD_LIVENESS_SUSPECTED, now_ms);
    }
}

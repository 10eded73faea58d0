/* Sums over the last reports of several sources.  */

#include "traffic/traffic.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Largest count of an account at one source, in hundredths: 100,000
     requests a second over 10 s.  Sums of it over all sources fit their type
     with room to spare, whatever a damaged message contains.  */
  MAX_ACCOUNT_COUNT = 100000000
};

struct source
{
  uint64_t id;
  int64_t received_ms;
  struct bd_traffic_report report;
};

struct sum
{
  uint64_t target;
  struct bd_traffic_load load;
  uint32_t source_count; /* Sources whose report has the target.  */
};

struct account_sum
{
  struct bd_account_traffic names; /* Without counts.  */
  uint64_t asked;
  uint64_t served;
  uint32_t source_count; /* Entries of reports with these names.  */
};

static guint
hash_names (gconstpointer key)
{
  const struct bd_account_traffic *names = key;
  uint64_t hash = names->account ^ (names->model * 31) ^ names->priority;

  return (guint)(hash ^ hash >> 32);
}

static bool
has_same_names (const struct bd_account_traffic *left,
                const struct bd_account_traffic *right)
{
  return left->account == right->account && left->model == right->model
         && left->priority == right->priority;
}

static gboolean
are_names_equal (gconstpointer left, gconstpointer right)
{
  return has_same_names (left, right);
}

static struct account_sum *
find_or_add_account (struct bd_traffic *traffic,
                     const struct bd_account_traffic *names)
{
  struct account_sum *sum = g_hash_table_lookup (traffic->account_sums, names);

  if (sum != NULL)
    return sum;
  sum = g_new0 (struct account_sum, 1);
  sum->names = *names;
  g_hash_table_insert (traffic->account_sums, &sum->names, sum);
  return sum;
}

static void
add_source_accounts (struct bd_traffic *traffic,
                     const struct bd_traffic_report *report)
{
  for (uint32_t i = 0; i < report->account_count; i++)
    {
      struct account_sum *sum
          = find_or_add_account (traffic, &report->accounts[i]);

      sum->asked += report->accounts[i].asked;
      sum->served += report->accounts[i].served;
      sum->source_count++;
    }
}

static void
subtract_source_accounts (struct bd_traffic *traffic,
                          const struct bd_traffic_report *report)
{
  for (uint32_t i = 0; i < report->account_count; i++)
    {
      struct account_sum *sum
          = g_hash_table_lookup (traffic->account_sums, &report->accounts[i]);

      sum->asked -= report->accounts[i].asked;
      sum->served -= report->accounts[i].served;
      if (--sum->source_count == 0)
        g_hash_table_remove (traffic->account_sums, &report->accounts[i]);
    }
}

static struct sum *
find_or_add_sum (struct bd_traffic *traffic, uint64_t target)
{
  struct sum *sum = g_hash_table_lookup (traffic->sums, &target);

  if (sum != NULL)
    return sum;
  sum = g_new0 (struct sum, 1);
  sum->target = target;
  g_hash_table_insert (traffic->sums, &sum->target, sum);
  return sum;
}

static void
add_report (struct bd_traffic *traffic, const struct source *source)
{
  for (uint32_t i = 0; i < source->report.target_count; i++)
    {
      const struct bd_target_traffic *target = &source->report.targets[i];
      struct sum *sum = find_or_add_sum (traffic, target->target);
      int64_t progress_ms
          = target->progress_age_ms == BD_TRAFFIC_NO_PROGRESS
                ? 0
                : source->received_ms - target->progress_age_ms;

      sum->source_count++;
      sum->load.in_flight += target->in_flight;
      sum->load.prefill_ms += target->prefill_ms;
      if (progress_ms > sum->load.progress_ms)
        sum->load.progress_ms = progress_ms;
    }
  add_source_accounts (traffic, &source->report);
}

static void
subtract_report (struct bd_traffic *traffic, const struct source *source)
{
  for (uint32_t i = 0; i < source->report.target_count; i++)
    {
      const struct bd_target_traffic *target = &source->report.targets[i];
      struct sum *sum = g_hash_table_lookup (traffic->sums, &target->target);

      sum->load.in_flight -= target->in_flight;
      sum->load.prefill_ms -= target->prefill_ms;
      if (--sum->source_count == 0)
        g_hash_table_remove (traffic->sums, &target->target);
    }
  subtract_source_accounts (traffic, &source->report);
}

static void
free_source (gpointer value)
{
  struct source *source = value;

  g_free (source->report.targets);
  g_free (source->report.demand);
  g_free (source->report.accounts);
  g_free (source);
}

void
bd_traffic_init (struct bd_traffic *traffic)
{
  traffic->sources
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_source);
  traffic->sums
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  traffic->account_sums
      = g_hash_table_new_full (hash_names, are_names_equal, NULL, g_free);
}

void
bd_traffic_finish (struct bd_traffic *traffic)
{
  if (traffic->sources == NULL)
    return;
  g_hash_table_destroy (traffic->sources);
  g_hash_table_destroy (traffic->sums);
  g_hash_table_destroy (traffic->account_sums);
  traffic->sources = NULL;
}

/* Replaces the accounts of a report by a copy with plausible counts.  */
static void
copy_accounts (struct bd_traffic_report *report)
{
  report->account_count = MIN (report->account_count, BD_TRAFFIC_MAX_ACCOUNTS);
  report->accounts = g_memdup2 (
      report->accounts, report->account_count * sizeof *report->accounts);
  for (uint32_t i = 0; i < report->account_count; i++)
    {
      struct bd_account_traffic *account = &report->accounts[i];

      account->asked = MIN (account->asked, MAX_ACCOUNT_COUNT);
      account->served = MIN (account->served, account->asked);
    }
}

void
bd_traffic_report (struct bd_traffic *traffic, uint64_t id,
                   const struct bd_traffic_report *report, int64_t now_ms)
{
  struct source *source = g_hash_table_lookup (traffic->sources, &id);

  if (source != NULL)
    subtract_report (traffic, source);
  else
    {
      source = g_new0 (struct source, 1);
      source->id = id;
      g_hash_table_insert (traffic->sources, &source->id, source);
    }
  g_free (source->report.targets);
  g_free (source->report.demand);
  g_free (source->report.accounts);
  source->report = *report;
  source->report.targets = g_memdup2 (
      report->targets, report->target_count * sizeof *report->targets);
  source->report.demand = g_memdup2 (
      report->demand, report->demand_count * sizeof *report->demand);
  copy_accounts (&source->report);
  source->received_ms = now_ms;
  add_report (traffic, source);
}

void
bd_traffic_add_stall (struct bd_traffic *traffic, int64_t stalled_ms,
                      int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, traffic->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct source *source = value;

      source->received_ms = MIN (source->received_ms + stalled_ms, now_ms);
    }
}

static void
drop_sources (struct bd_traffic *traffic, int64_t before_ms, uint64_t kept)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, traffic->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct source *source = value;

      if (source->id == kept || source->received_ms >= before_ms)
        continue;
      subtract_report (traffic, source);
      g_hash_table_iter_remove (&iter);
    }
}

void
bd_traffic_expire (struct bd_traffic *traffic, int64_t before_ms)
{
  drop_sources (traffic, before_ms, 0);
}

void
bd_traffic_clear (struct bd_traffic *traffic, uint64_t kept)
{
  drop_sources (traffic, INT64_MAX, kept);
}

/* The part that one source has in the sum of a target.  */
static struct bd_target_traffic
part_of (const struct bd_traffic *traffic, uint64_t id, uint64_t target)
{
  const struct source *source
      = id != 0 ? g_hash_table_lookup (traffic->sources, &id) : NULL;

  for (uint32_t i = 0; source != NULL && i < source->report.target_count; i++)
    if (source->report.targets[i].target == target)
      return source->report.targets[i];
  return (struct bd_target_traffic){ .target = target };
}

struct bd_traffic_load
bd_traffic_load (const struct bd_traffic *traffic, uint64_t target,
                 uint64_t excluded)
{
  const struct sum *sum = g_hash_table_lookup (traffic->sums, &target);
  struct bd_target_traffic part;
  struct bd_traffic_load load = { 0 };

  if (sum == NULL)
    return load;
  part = part_of (traffic, excluded, target);
  load = sum->load;
  load.in_flight -= part.in_flight;
  load.prefill_ms -= part.prefill_ms;
  return load;
}

uint32_t
bd_traffic_age_ms (int64_t progress_ms, int64_t now_ms)
{
  if (progress_ms <= 0 || now_ms - progress_ms >= BD_TRAFFIC_NO_PROGRESS)
    return BD_TRAFFIC_NO_PROGRESS;
  return now_ms > progress_ms ? (uint32_t)(now_ms - progress_ms) : 0;
}

static void
add_target (struct bd_traffic_report *report, uint64_t target,
            const struct bd_traffic_load *load, uint32_t max_targets,
            int64_t now_ms)
{
  struct bd_target_traffic *found = NULL;
  uint32_t age_ms = bd_traffic_age_ms (load->progress_ms, now_ms);

  for (uint32_t i = 0; i < report->target_count && found == NULL; i++)
    if (report->targets[i].target == target)
      found = &report->targets[i];
  if (found == NULL)
    {
      if (report->target_count == max_targets)
        return;
      found = &report->targets[report->target_count++];
      *found = (struct bd_target_traffic){ .target = target,
                                           .progress_age_ms
                                           = BD_TRAFFIC_NO_PROGRESS };
    }
  found->in_flight += load->in_flight;
  found->prefill_ms += load->prefill_ms;
  if (age_ms < found->progress_age_ms)
    found->progress_age_ms = age_ms;
}

static void
add_demand (struct bd_traffic_report *report,
            const struct bd_model_demand *demand, uint32_t max_models)
{
  for (uint32_t i = 0; i < report->demand_count; i++)
    if (report->demand[i].model == demand->model)
      {
        report->demand[i].busy_replicas += demand->busy_replicas;
        return;
      }
  if (report->demand_count < max_models)
    report->demand[report->demand_count++] = *demand;
}

void
bd_traffic_add_counts (const struct bd_traffic *traffic, uint64_t excluded,
                       struct bd_traffic_report *report, uint32_t max_models)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, traffic->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct source *source = value;

      if (source->id == excluded)
        continue;
      report->daemon_count += source->report.daemon_count;
      report->reporting_count += source->report.reporting_count;
      for (uint32_t i = 0; i < source->report.demand_count; i++)
        add_demand (report, &source->report.demand[i], max_models);
    }
}

void
bd_traffic_add_to (const struct bd_traffic *traffic, uint64_t excluded,
                   struct bd_traffic_report *report, uint32_t max_targets,
                   uint32_t max_models, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, traffic->sums);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct sum *sum = value;
      struct bd_traffic_load load
          = bd_traffic_load (traffic, sum->target, excluded);

      if (load.in_flight > 0)
        add_target (report, sum->target, &load, max_targets, now_ms);
    }
  bd_traffic_add_counts (traffic, excluded, report, max_models);
}

/* Takes the part of one source from the sums of an account.  */
static struct account_sum
subtract_part (const struct source *source, const struct account_sum *sum)
{
  struct account_sum rest = *sum;

  for (uint32_t i = 0; source != NULL && i < source->report.account_count; i++)
    if (has_same_names (&source->report.accounts[i], &sum->names))
      {
        rest.asked -= source->report.accounts[i].asked;
        rest.served -= source->report.accounts[i].served;
      }
  return rest;
}

static void
add_account (struct bd_traffic_report *report, const struct account_sum *sum,
             uint32_t max_accounts)
{
  struct bd_account_traffic *found = NULL;

  for (uint32_t i = 0; i < report->account_count && found == NULL; i++)
    if (has_same_names (&report->accounts[i], &sum->names))
      found = &report->accounts[i];
  if (found == NULL)
    {
      if (report->account_count == max_accounts)
        return;
      found = &report->accounts[report->account_count++];
      *found = sum->names;
      found->asked = 0;
      found->served = 0;
    }
  found->asked = (uint32_t)MIN (found->asked + sum->asked, MAX_ACCOUNT_COUNT);
  found->served
      = (uint32_t)MIN (found->served + sum->served, MAX_ACCOUNT_COUNT);
}

void
bd_traffic_add_accounts (const struct bd_traffic *traffic, uint64_t excluded,
                         struct bd_traffic_report *report,
                         uint32_t max_accounts)
{
  const struct source *source
      = g_hash_table_lookup (traffic->sources, &excluded);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, traffic->account_sums);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct account_sum rest = subtract_part (source, value);

      if (rest.asked > 0)
        add_account (report, &rest, max_accounts);
    }
}

static int
compare_asked (const void *a, const void *b)
{
  const struct bd_account_traffic *left = a;
  const struct bd_account_traffic *right = b;

  return left->asked > right->asked ? -1 : left->asked < right->asked;
}

void
bd_traffic_trim_accounts (struct bd_traffic_report *report,
                          uint32_t max_accounts)
{
  if (report->account_count <= max_accounts)
    return;
  qsort (report->accounts, report->account_count, sizeof *report->accounts,
         compare_asked);
  report->account_count = max_accounts;
}

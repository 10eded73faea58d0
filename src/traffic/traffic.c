/* Sums over the last reports of several sources.  */

#include "traffic/traffic.h"

#include <string.h>

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
}

static void
free_source (gpointer value)
{
  struct source *source = value;

  g_free (source->report.targets);
  g_free (source->report.demand);
  g_free (source);
}

void
bd_traffic_init (struct bd_traffic *traffic)
{
  traffic->sources
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_source);
  traffic->sums
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
bd_traffic_finish (struct bd_traffic *traffic)
{
  if (traffic->sources == NULL)
    return;
  g_hash_table_destroy (traffic->sources);
  g_hash_table_destroy (traffic->sums);
  traffic->sources = NULL;
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
  source->report = *report;
  source->report.targets = g_memdup2 (
      report->targets, report->target_count * sizeof *report->targets);
  source->report.demand = g_memdup2 (
      report->demand, report->demand_count * sizeof *report->demand);
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

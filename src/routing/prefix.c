/* Hints about cached prompt prefixes.  */

#include "routing/prefix.h"

#include "base/ids.h"

#include <math.h>

struct hint
{
  uint64_t key;
  int64_t recorded_ms;
};

void
bd_prefix_table_init (struct bd_prefix_table *table, uint32_t decay_ms,
                      uint32_t max_hints)
{
  table->hints
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->decay_ms = decay_ms;
  table->max_hints = max_hints;
}

void
bd_prefix_table_finish (struct bd_prefix_table *table)
{
  g_hash_table_destroy (table->hints);
}

void
bd_prefix_hash (struct bd_prefix *prefix, const char *prompt, size_t size)
{
  uint64_t chain[2] = { 0, 0 };

  prefix->count = 0;
  while (size >= BD_PREFIX_BLOCK_BYTES && prefix->count < BD_PREFIX_MAX_BLOCKS)
    {
      chain[1] = bd_hash (prompt, BD_PREFIX_BLOCK_BYTES);
      chain[0] = bd_hash (chain, sizeof chain);
      prefix->blocks[prefix->count++] = chain[0];
      prompt += BD_PREFIX_BLOCK_BYTES;
      size -= BD_PREFIX_BLOCK_BYTES;
    }
}

static uint64_t
hint_key (uint64_t block, uint64_t replica)
{
  uint64_t both[2] = { block, replica };

  return bd_hash (both, sizeof both);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer oldest_ms)
{
  (void)key;
  return ((struct hint *)value)->recorded_ms < *(int64_t *)oldest_ms;
}

static void
evict_hints (struct bd_prefix_table *table, int64_t now_ms)
{
  int64_t oldest_ms = now_ms - table->decay_ms;

  if (g_hash_table_size (table->hints) < table->max_hints)
    return;
  g_hash_table_foreach_remove (table->hints, is_expired, &oldest_ms);
  if (g_hash_table_size (table->hints) >= table->max_hints)
    g_hash_table_remove_all (table->hints);
}

void
bd_prefix_record (struct bd_prefix_table *table,
                  const struct bd_prefix *prefix, uint64_t replica,
                  int64_t now_ms)
{
  evict_hints (table, now_ms);
  for (uint32_t i = 0; i < prefix->count; i++)
    {
      uint64_t key = hint_key (prefix->blocks[i], replica);
      struct hint *hint = g_hash_table_lookup (table->hints, &key);
      if (hint == NULL)
        {
          hint = g_new (struct hint, 1);
          hint->key = key;
          g_hash_table_insert (table->hints, &hint->key, hint);
        }
      hint->recorded_ms = now_ms;
    }
}

void
bd_prefix_evicted (struct bd_prefix_table *table, uint64_t block,
                   uint64_t replica)
{
  uint64_t key = hint_key (block, replica);

  g_hash_table_remove (table->hints, &key);
}

double
bd_prefix_cached_fraction (struct bd_prefix_table *table,
                           const struct bd_prefix *prefix, uint64_t replica,
                           int64_t now_ms)
{
  double cached_blocks = 0;

  for (uint32_t i = 0; i < prefix->count; i++)
    {
      uint64_t key = hint_key (prefix->blocks[i], replica);
      const struct hint *hint = g_hash_table_lookup (table->hints, &key);
      if (hint == NULL)
        break;
      cached_blocks
          += exp (-(double)(now_ms - hint->recorded_ms) / table->decay_ms);
    }
  return prefix->count > 0 ? cached_blocks / prefix->count : 0;
}

void
bd_prefix_affinity_replicas (const struct bd_prefix *prefix,
                             const uint64_t *replicas, uint32_t count,
                             int32_t affinity[2])
{
  uint64_t best[2] = { 0, 0 };

  affinity[0] = -1;
  affinity[1] = -1;
  for (uint32_t i = 0; i < count && prefix->count > 0; i++)
    {
      uint64_t rank = hint_key (prefix->blocks[0], replicas[i]);
      if (affinity[0] < 0 || rank > best[0])
        {
          best[1] = best[0];
          affinity[1] = affinity[0];
          best[0] = rank;
          affinity[0] = (int32_t)i;
        }
      else if (affinity[1] < 0 || rank > best[1])
        {
          best[1] = rank;
          affinity[1] = (int32_t)i;
        }
    }
}

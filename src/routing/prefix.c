/* Prefix cache hints.  */

#include "routing/prefix.h"

#include "base/ids.h"

#include <math.h>

struct hint
{
  uint64_t key;
  int64_t at_ms;
};

void
bd_prefix_table_init (struct bd_prefix_table *table, uint32_t fade_ms,
                      uint32_t max_hints)
{
  table->hints
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->fade_ms = fade_ms;
  table->max_hints = max_hints;
}

void
bd_prefix_table_finish (struct bd_prefix_table *table)
{
  g_hash_table_destroy (table->hints);
}

void
bd_prefix_make (struct bd_prefix *prefix, const char *prompt, size_t size)
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
has_faded (gpointer key, gpointer value, gpointer limit_ms)
{
  (void)key;
  return ((struct hint *)value)->at_ms < *(int64_t *)limit_ms;
}

static void
make_room (struct bd_prefix_table *table, int64_t now_ms)
{
  int64_t limit_ms = now_ms - table->fade_ms;

  if (g_hash_table_size (table->hints) < table->max_hints)
    return;
  g_hash_table_foreach_remove (table->hints, has_faded, &limit_ms);
  if (g_hash_table_size (table->hints) >= table->max_hints)
    g_hash_table_remove_all (table->hints);
}

void
bd_prefix_sent (struct bd_prefix_table *table, const struct bd_prefix *prefix,
                uint64_t replica, int64_t now_ms)
{
  make_room (table, now_ms);
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
      hint->at_ms = now_ms;
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
bd_prefix_expected (struct bd_prefix_table *table,
                    const struct bd_prefix *prefix, uint64_t replica,
                    int64_t now_ms)
{
  double expected = 0;

  for (uint32_t i = 0; i < prefix->count; i++)
    {
      uint64_t key = hint_key (prefix->blocks[i], replica);
      const struct hint *hint = g_hash_table_lookup (table->hints, &key);
      if (hint == NULL)
        break;
      expected += exp (-(double)(now_ms - hint->at_ms) / table->fade_ms);
    }
  return prefix->count > 0 ? expected / prefix->count : 0;
}

void
bd_prefix_homes (const struct bd_prefix *prefix, const uint64_t *replicas,
                 uint32_t count, int32_t homes[2])
{
  uint64_t best[2] = { 0, 0 };

  homes[0] = -1;
  homes[1] = -1;
  for (uint32_t i = 0; i < count && prefix->count > 0; i++)
    {
      uint64_t rank = hint_key (prefix->blocks[0], replicas[i]);
      if (homes[0] < 0 || rank > best[0])
        {
          best[1] = best[0];
          homes[1] = homes[0];
          best[0] = rank;
          homes[0] = (int32_t)i;
        }
      else if (homes[1] < 0 || rank > best[1])
        {
          best[1] = rank;
          homes[1] = (int32_t)i;
        }
    }
}

/* The table of suspected requests.  */

#include "poison/poison.h"

#include <string.h>

enum
{
  CRASHES_TO_REFUSE = 2,
  MAX_ENTRIES = 10000
};

struct poison_entry
{
  uint64_t fingerprint;
  uint64_t endpoints[CRASHES_TO_REFUSE];
  uint32_t crash_count;
  int64_t expires_ms;
};

void
bd_poison_init (struct bd_poison_table *table, uint32_t retention_ms)
{
  table->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->retention_ms = retention_ms;
}

void
bd_poison_finish (struct bd_poison_table *table)
{
  g_hash_table_destroy (table->entries);
}

static gboolean
has_expired (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return ((struct poison_entry *)value)->expires_ms <= *(int64_t *)now_ms;
}

static struct poison_entry *
find (struct bd_poison_table *table, uint64_t fingerprint, int64_t now_ms)
{
  struct poison_entry *entry
      = g_hash_table_lookup (table->entries, &fingerprint);

  if (entry == NULL || entry->expires_ms > now_ms)
    return entry;
  g_hash_table_remove (table->entries, &fingerprint);
  return NULL;
}

bool
bd_poison_record_crash (struct bd_poison_table *table, uint64_t fingerprint,
                        uint64_t endpoint, int64_t now_ms)
{
  struct poison_entry *entry = find (table, fingerprint, now_ms);

  if (entry == NULL)
    {
      if (g_hash_table_size (table->entries) >= MAX_ENTRIES)
        g_hash_table_foreach_remove (table->entries, has_expired, &now_ms);
      if (g_hash_table_size (table->entries) >= MAX_ENTRIES)
        return false;
      entry = g_new0 (struct poison_entry, 1);
      entry->fingerprint = fingerprint;
      g_hash_table_insert (table->entries, &entry->fingerprint, entry);
    }
  for (uint32_t i = 0; i < entry->crash_count; i++)
    if (entry->endpoints[i] == endpoint)
      return false;
  if (entry->crash_count == CRASHES_TO_REFUSE)
    return false;
  entry->endpoints[entry->crash_count++] = endpoint;
  entry->expires_ms = now_ms + table->retention_ms;
  return true;
}

bool
bd_poison_clear (struct bd_poison_table *table, uint64_t fingerprint)
{
  return g_hash_table_remove (table->entries, &fingerprint);
}

static gboolean
withdraw_crash (gpointer key, gpointer value, gpointer endpoint)
{
  struct poison_entry *entry = value;

  (void)key;
  for (uint32_t i = 0; i < entry->crash_count; i++)
    if (entry->endpoints[i] == *(uint64_t *)endpoint)
      entry->endpoints[i--] = entry->endpoints[--entry->crash_count];
  return entry->crash_count == 0;
}

void
bd_poison_withdraw_crash (struct bd_poison_table *table, uint64_t endpoint)
{
  g_hash_table_foreach_remove (table->entries, withdraw_crash, &endpoint);
}

enum bd_poison_decision
bd_poison_decide (struct bd_poison_table *table, uint64_t fingerprint,
                  int64_t now_ms)
{
  const struct poison_entry *entry = find (table, fingerprint, now_ms);

  if (entry == NULL)
    return BD_POISON_ALLOW;
  return entry->crash_count >= CRASHES_TO_REFUSE ? BD_POISON_REFUSE
                                                 : BD_POISON_ISOLATE;
}

int64_t
bd_poison_remaining_ms (struct bd_poison_table *table, uint64_t fingerprint,
                        int64_t now_ms)
{
  const struct poison_entry *entry = find (table, fingerprint, now_ms);

  return entry != NULL ? entry->expires_ms - now_ms : 0;
}

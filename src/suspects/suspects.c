/* The table of suspect requests.  */

#include "suspects/suspects.h"

#include <string.h>

enum
{
  DEATHS_TO_REFUSE = 2,
  MAX_SUSPECTS = 10000
};

struct suspect
{
  uint64_t fingerprint;
  uint64_t places[DEATHS_TO_REFUSE];
  uint32_t count;
  int64_t until_ms;
};

void
bd_suspects_init (struct bd_suspects *suspects, uint32_t hold_ms)
{
  suspects->table
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  suspects->hold_ms = hold_ms;
}

void
bd_suspects_finish (struct bd_suspects *suspects)
{
  g_hash_table_destroy (suspects->table);
}

static gboolean
has_expired (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return ((struct suspect *)value)->until_ms <= *(int64_t *)now_ms;
}

static struct suspect *
find (struct bd_suspects *suspects, uint64_t fingerprint, int64_t now_ms)
{
  struct suspect *s = g_hash_table_lookup (suspects->table, &fingerprint);

  if (s == NULL || s->until_ms > now_ms)
    return s;
  g_hash_table_remove (suspects->table, &fingerprint);
  return NULL;
}

bool
bd_suspects_mark (struct bd_suspects *suspects, uint64_t fingerprint,
                  uint64_t place, int64_t now_ms)
{
  struct suspect *s = find (suspects, fingerprint, now_ms);

  if (s == NULL)
    {
      if (g_hash_table_size (suspects->table) >= MAX_SUSPECTS)
        g_hash_table_foreach_remove (suspects->table, has_expired, &now_ms);
      if (g_hash_table_size (suspects->table) >= MAX_SUSPECTS)
        return false;
      s = g_new0 (struct suspect, 1);
      s->fingerprint = fingerprint;
      g_hash_table_insert (suspects->table, &s->fingerprint, s);
    }
  for (uint32_t i = 0; i < s->count; i++)
    if (s->places[i] == place)
      return false;
  if (s->count == DEATHS_TO_REFUSE)
    return false;
  s->places[s->count++] = place;
  s->until_ms = now_ms + suspects->hold_ms;
  return true;
}

bool
bd_suspects_clear (struct bd_suspects *suspects, uint64_t fingerprint)
{
  return g_hash_table_remove (suspects->table, &fingerprint);
}

static gboolean
acquit (gpointer key, gpointer value, gpointer place)
{
  struct suspect *s = value;

  (void)key;
  for (uint32_t i = 0; i < s->count; i++)
    if (s->places[i] == *(uint64_t *)place)
      s->places[i--] = s->places[--s->count];
  return s->count == 0;
}

void
bd_suspects_acquit (struct bd_suspects *suspects, uint64_t place)
{
  g_hash_table_foreach_remove (suspects->table, acquit, &place);
}

enum bd_verdict
bd_suspects_judge (struct bd_suspects *suspects, uint64_t fingerprint,
                   int64_t now_ms)
{
  const struct suspect *s = find (suspects, fingerprint, now_ms);

  if (s == NULL)
    return BD_VERDICT_CLEAR;
  return s->count >= DEATHS_TO_REFUSE ? BD_VERDICT_REFUSE : BD_VERDICT_APART;
}

int64_t
bd_suspects_wait_ms (struct bd_suspects *suspects, uint64_t fingerprint,
                     int64_t now_ms)
{
  const struct suspect *s = find (suspects, fingerprint, now_ms);

  return s != NULL ? s->until_ms - now_ms : 0;
}

/* Rate limits of client accounts.  */

#include "admission/limits.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time constant of the exponential average of the demand.  */
  DEMAND_WINDOW_MS = 2000,
  PEER_FRESH_MS = 10000,
  /* The table of accounts is cleared when it reaches this size.  */
  MAX_ACCOUNTS = 10000
};

/* Minimum fraction of a limit that a daemon can use, so that the first call of
   an account is not refused while the demand is unknown.  */
static const double min_share = 0.02;

struct peer_demand
{
  double per_s;
  int64_t received_ms;
};

struct account
{
  uint64_t key;
  struct bd_bucket bucket;
  double per_s; /* Demand at this daemon.  */
  int64_t updated_ms;
  GHashTable *peers; /* Peer name -> struct peer_demand.  */
};

static void
free_account (gpointer value)
{
  struct account *account = value;

  g_hash_table_destroy (account->peers);
  g_free (account);
}

void
bd_limits_init (struct bd_limits *limits)
{
  limits->accounts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            free_account);
  limits->live_fraction = 1.0;
}

void
bd_limits_finish (struct bd_limits *limits)
{
  g_hash_table_destroy (limits->accounts);
}

uint64_t
bd_limits_key (const char *service, const char *account)
{
  return bd_hash_pair (service, account);
}

static struct account *
get_or_create_account (struct bd_limits *limits, uint64_t key, int64_t now_ms)
{
  struct account *account = g_hash_table_lookup (limits->accounts, &key);

  if (account != NULL)
    return account;
  if (g_hash_table_size (limits->accounts) >= MAX_ACCOUNTS)
    g_hash_table_remove_all (limits->accounts);
  account = g_new0 (struct account, 1);
  account->key = key;
  account->updated_ms = now_ms;
  account->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (limits->accounts, &account->key, account);
  return account;
}

/* Decays the demand to now_ms; the caller adds a call to it.  */
static void
decay (struct account *account, int64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - account->updated_ms);

  account->per_s *= exp (-elapsed_ms / DEMAND_WINDOW_MS);
  account->updated_ms = now_ms;
}

static double
total_peer_demand (const struct account *account, int64_t now_ms)
{
  double sum = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, account->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer_demand *peer = value;
      if (now_ms - peer->received_ms <= PEER_FRESH_MS)
        sum += peer->per_s;
    }
  return sum;
}

static void
drop_old_peers (struct account *account, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, account->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((struct peer_demand *)value)->received_ms > PEER_FRESH_MS)
      g_hash_table_iter_remove (&iter);
}

static double
limit_share (const struct bd_limits *limits, const struct account *account,
             int64_t now_ms)
{
  double peer_per_s = total_peer_demand (account, now_ms);
  double share
      = peer_per_s > 0 ? account->per_s / (account->per_s + peer_per_s) : 1.0;

  return fmax (share, min_share) * limits->live_fraction;
}

/* Counts a call of account, which can be a copy.  */
static bool
take (const struct bd_limits *limits, struct account *account,
      const struct bd_limit *limit, int64_t now_ms, int64_t *wait_ms)
{
  double share;

  decay (account, now_ms);
  account->per_s += 1000.0 / DEMAND_WINDOW_MS;
  share = limit_share (limits, account, now_ms);
  if (account->bucket.rate_per_s == 0)
    bd_bucket_init (&account->bucket, limit->requests_per_s * share,
                    fmax (1.0, limit->burst * share), now_ms);
  bd_bucket_set_rate (&account->bucket, limit->requests_per_s * share,
                      fmax (1.0, limit->burst * share), now_ms);
  if (bd_bucket_take (&account->bucket, now_ms))
    return true;
  *wait_ms = bd_bucket_wait_ms (&account->bucket, now_ms);
  return false;
}

bool
bd_limits_take (struct bd_limits *limits, const char *service,
                const char *name, const struct bd_limit *limit, int64_t now_ms,
                int64_t *wait_ms)
{
  uint64_t key = bd_limits_key (service, name);
  struct account *account;

  *wait_ms = 0;
  if (limit == NULL)
    return true;
  account = get_or_create_account (limits, key, now_ms);
  drop_old_peers (account, now_ms);
  return take (limits, account, limit, now_ms, wait_ms);
}

bool
bd_limits_try (const struct bd_limits *limits, const char *service,
               const char *name, const struct bd_limit *limit, int64_t now_ms,
               int64_t *wait_ms)
{
  uint64_t key = bd_limits_key (service, name);
  const struct account *known = g_hash_table_lookup (limits->accounts, &key);
  struct account account = { .key = key, .updated_ms = now_ms };
  bool is_within;

  *wait_ms = 0;
  if (limit == NULL)
    return true;
  if (known != NULL)
    account = *known;
  else
    account.peers = g_hash_table_new (g_str_hash, g_str_equal);
  is_within = take (limits, &account, limit, now_ms, wait_ms);
  if (known == NULL)
    g_hash_table_destroy (account.peers);
  return is_within;
}

void
bd_limits_set_live_daemons (struct bd_limits *limits, uint32_t live,
                            uint32_t known)
{
  limits->live_fraction = known > 0 ? (double)live / known : 1.0;
}

void
bd_limits_set_peer_usages (struct bd_limits *limits, const char *peer,
                           const struct bd_usage *usages, uint32_t count,
                           int64_t now_ms)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct account *account
          = get_or_create_account (limits, usages[i].key, now_ms);
      struct peer_demand *demand = g_hash_table_lookup (account->peers, peer);
      if (demand == NULL)
        {
          demand = g_new0 (struct peer_demand, 1);
          g_hash_table_insert (account->peers, g_strdup (peer), demand);
        }
      demand->per_s = usages[i].per_s;
      demand->received_ms = now_ms;
    }
}

static int
compare_usage (const void *a, const void *b)
{
  double left = ((const struct bd_usage *)a)->per_s;
  double right = ((const struct bd_usage *)b)->per_s;

  return left < right ? 1 : left > right ? -1 : 0;
}

uint32_t
bd_limits_top_usages (struct bd_limits *limits, int64_t now_ms,
                      struct bd_usage *usages, uint32_t max)
{
  enum
  {
    MAX_SORTED = 1024
  };
  struct bd_usage all[MAX_SORTED];
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limits->accounts);
  while (count < MAX_SORTED && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct account *account = value;
      decay (account, now_ms);
      if (account->per_s > 0.01)
        all[count++] = (struct bd_usage){ account->key, account->per_s };
    }
  if (count > 1)
    qsort (all, count, sizeof *all, compare_usage);
  if (count > max)
    count = max;
  memcpy (usages, all, count * sizeof *usages);
  return count;
}

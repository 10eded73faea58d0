/* Lanes, flows and rates of accounts.  */

#include "admission/accounts.h"

#include "base/ids.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

enum
{
  MIN_SWEEP_LANES = 64,
  /* Shorter times are added up before anything is recomputed.  */
  UPDATE_MS = 10,
  /* Time constant of what accounts ask for and get.  A small account has about
     one request in 4 s at each daemon of a large fleet; over a shorter time,
     chance makes small accounts look large.  */
  DEMAND_MS = 10000,
  /* Time constant of the measured rate.  Requests wait for about 2 s at most,
     so it describes what those that wait now will meet.  */
  RATE_MS = 2000,
  /* Below these the rate is unknown: a daemon with 4 requests a second has
     about as many dispatches in RATE_MS.  */
  MIN_CONTENDED_MS = 500,
  MIN_DISPATCHES = 3,
  /* Groups come and go, so an older rate is no estimate.  */
  MAX_RATE_AGE_MS = 10000,
  MAX_RETRY_MS = 5000
};

/* An account that asks for this many equal parts is large.  */
static const double large_parts = 3.0;
/* The small accounts may seem to ask for this much of what is dispatched: a
   daemon that dispatches few requests in DEMAND_MS often counts too many of
   them by chance.  */
static const double shareable = 1.2;
/* The fleet is short when it is asked for this much of what it dispatches:
   requests that have just come are counted as asked for only.  */
static const double shortage = 1.05;
/* In the order, what an account has had in the fleet counts as up to this many
   requests more or less at each daemon: all of it if it differs from the equal
   part by this fraction.  The limit is also what an account that has just
   begun to ask has ahead of the others.  */
static const double max_order_shift = 1.0;
static const double order_range = 0.1;
/* Part of the slots that large accounts and late requests leave free.  */
static const double reserve = 0.02;
/* An account that has asked for less than this does not count: about one
   request 12 s ago.  */
static const double min_asked = 0.3;
/* Multiples of the golden ratio, modulo 1, spread evenly however many there
   are.  */
static const double spread_step = 0.6180339887498949;

static GHashTable *
make_table (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
bd_accounts_init (struct bd_accounts *accounts, double phase)
{
  accounts->pools = make_table ();
  accounts->flows = make_table ();
  accounts->bands = make_table ();
  accounts->lanes = make_table ();
  accounts->sweep_at = MIN_SWEEP_LANES;
  accounts->updated_ms = 0;
  accounts->phase = phase;
}

void
bd_accounts_finish (struct bd_accounts *accounts)
{
  g_hash_table_destroy (accounts->lanes);
  g_hash_table_destroy (accounts->bands);
  g_hash_table_destroy (accounts->flows);
  g_hash_table_destroy (accounts->pools);
}

static uint64_t
hash_flow (const struct bd_account_key *key)
{
  const uint64_t parts[] = { key->account, key->model };

  return bd_hash (parts, sizeof parts);
}

static uint64_t
hash_band (const struct bd_account_key *key)
{
  const uint64_t parts[] = { key->model, key->priority };

  return bd_hash (parts, sizeof parts);
}

static struct bd_account_pool *
get_or_create_pool (struct bd_accounts *accounts, uint64_t model)
{
  struct bd_account_pool *pool = g_hash_table_lookup (accounts->pools, &model);

  if (pool != NULL)
    return pool;
  pool = g_new0 (struct bd_account_pool, 1);
  pool->model = model;
  g_hash_table_insert (accounts->pools, &pool->model, pool);
  return pool;
}

static struct bd_account_flow *
get_or_create_flow (struct bd_accounts *accounts,
                    const struct bd_account_key *key)
{
  uint64_t hash = hash_flow (key);
  struct bd_account_flow *flow = g_hash_table_lookup (accounts->flows, &hash);

  if (flow != NULL)
    return flow;
  flow = g_new0 (struct bd_account_flow, 1);
  flow->key = hash;
  flow->pool = get_or_create_pool (accounts, key->model);
  flow->total.weight = 1.0;
  g_hash_table_insert (accounts->flows, &flow->key, flow);
  return flow;
}

static bool
has_band (const struct bd_accounts *accounts, const struct bd_account_key *key)
{
  uint64_t hash = hash_band (key);

  return g_hash_table_contains (accounts->bands, &hash);
}

static struct bd_account_band *
get_or_create_band (struct bd_accounts *accounts,
                    const struct bd_account_key *key)
{
  uint64_t hash = hash_band (key);
  struct bd_account_band *band = g_hash_table_lookup (accounts->bands, &hash);

  if (band != NULL)
    return band;
  band = g_new0 (struct bd_account_band, 1);
  band->key = hash;
  band->pool = get_or_create_pool (accounts, key->model);
  band->priority = key->priority;
  g_hash_table_insert (accounts->bands, &band->key, band);
  return band;
}

/* What the fleet was asked for, and dispatched.  */
static double
asked_of (const struct bd_account_lane *lane)
{
  return lane->asked + lane->others_asked;
}

static double
served_of (const struct bd_account_lane *lane)
{
  return lane->served + lane->others_served;
}

/* A lane that would start at the virtual time again has no state.  */
static gboolean
remove_idle_lane (gpointer key, gpointer value, gpointer ctx)
{
  const struct bd_account_lane *lane = value;

  (void)key;
  (void)ctx;
  if (lane->share.waiting > 0 || asked_of (lane) >= min_asked)
    return false;
  lane->flow->lanes--;
  return true;
}

static gboolean
is_flow_idle (gpointer key, gpointer value, gpointer ctx)
{
  const struct bd_account_flow *flow = value;

  (void)key;
  (void)ctx;
  return flow->lanes == 0;
}

/* Frees what accounts left that no longer ask.  A lane refers to its flow, so
   it goes first.  */
static void
sweep (struct bd_accounts *accounts)
{
  if (g_hash_table_size (accounts->lanes) < accounts->sweep_at)
    return;
  g_hash_table_foreach_remove (accounts->lanes, remove_idle_lane, NULL);
  g_hash_table_foreach_remove (accounts->flows, is_flow_idle, NULL);
  accounts->sweep_at
      = MIN_SWEEP_LANES + 2 * g_hash_table_size (accounts->lanes);
}

struct bd_account_lane *
bd_accounts_lane (struct bd_accounts *accounts,
                  const struct bd_account_key *key)
{
  uint64_t hash = bd_hash (key, sizeof *key);
  struct bd_account_lane *lane = g_hash_table_lookup (accounts->lanes, &hash);

  if (lane != NULL)
    return lane;
  sweep (accounts);
  lane = g_new0 (struct bd_account_lane, 1);
  lane->key = hash;
  lane->flow = get_or_create_flow (accounts, key);
  lane->flow->lanes++;
  lane->band = get_or_create_band (accounts, key);
  lane->names = *key;
  lane->share.weight = 1.0;
  g_hash_table_insert (accounts->lanes, &lane->key, lane);
  return lane;
}

/* Copies the value of a key; without one, what is set already stays.  */
static void
copy_value (GHashTable *table, uint64_t key, void *copy, size_t size)
{
  const void *value = g_hash_table_lookup (table, &key);

  if (value != NULL)
    memcpy (copy, value, size);
}

void
bd_accounts_try (const struct bd_accounts *accounts,
                 const struct bd_account_key *key,
                 struct bd_account_trial *trial)
{
  uint64_t lane = bd_hash (key, sizeof *key);

  *trial = (struct bd_account_trial){
    .pool = { .model = key->model },
    .flow = { .key = hash_flow (key), .total.weight = 1.0 },
    .band = { .key = hash_band (key), .priority = key->priority },
    .lane = { .key = lane, .names = *key, .share.weight = 1.0 },
  };
  copy_value (accounts->pools, key->model, &trial->pool, sizeof trial->pool);
  copy_value (accounts->flows, trial->flow.key, &trial->flow,
              sizeof trial->flow);
  copy_value (accounts->bands, trial->band.key, &trial->band,
              sizeof trial->band);
  copy_value (accounts->lanes, lane, &trial->lane, sizeof trial->lane);
  trial->flow.pool = &trial->pool;
  trial->band.pool = &trial->pool;
  trial->lane.flow = &trial->flow;
  trial->lane.band = &trial->band;
}

static void
update_rate (struct bd_account_pool *pool, int64_t elapsed_ms, int64_t now_ms)
{
  double left = exp (-(double)elapsed_ms / RATE_MS);

  if (pool->waiting > 0)
    {
      pool->dispatches *= left;
      pool->contended_ms = pool->contended_ms * left + (double)elapsed_ms;
      pool->contended_at_ms = now_ms;
    }
  else if (now_ms - pool->contended_at_ms > MAX_RATE_AGE_MS)
    pool->dispatches = pool->contended_ms = 0;
}

static bool
asks_for_more (const struct bd_account_lane *lane)
{
  return asked_of (lane) > large_parts * lane->band->equal_part;
}

static void
clear_sums (struct bd_accounts *accounts)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, accounts->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_account_pool *pool = value;

      pool->asked = 0;
      pool->served = 0;
      pool->asked_small = 0;
    }
  g_hash_table_iter_init (&iter, accounts->bands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_account_band *band = value;

      band->asked = 0;
      band->served = 0;
      band->active = 0;
    }
}

/* Counts what accounts ask for and get.  */
static void
sum_lanes (struct bd_accounts *accounts, double left)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, accounts->lanes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_account_lane *lane = value;

      lane->asked *= left;
      lane->served *= left;
      lane->band->asked += asked_of (lane);
      lane->band->served += served_of (lane);
      lane->band->active += asked_of (lane) >= min_asked;
      lane->band->pool->asked += asked_of (lane);
      lane->band->pool->served += served_of (lane);
    }
}

static void
update_equal_parts (struct bd_accounts *accounts)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, accounts->bands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_account_band *band = value;

      band->equal_part = band->active > 0 ? band->served / band->active : 0;
    }
  g_hash_table_iter_init (&iter, accounts->lanes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_account_lane *lane = value;

      if (!asks_for_more (lane))
        lane->band->pool->asked_small += asked_of (lane);
    }
}

/* What is asked for at the band's priority and the more urgent ones.  */
static double
asked_up_to (struct bd_accounts *accounts, const struct bd_account_band *band)
{
  double asked = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, accounts->bands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_account_band *other = value;

      if (other->pool == band->pool && other->priority <= band->priority)
        asked += other->asked;
    }
  return asked;
}

static void
update_bands (struct bd_accounts *accounts)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, accounts->bands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_account_band *band = value;
      double limit
          = band->pool->served * (band->pool->has_others ? shortage : 1.0);

      band->is_contended = asked_up_to (accounts, band) > limit;
    }
}

/* Computes all sums, after the counts of this daemon have decayed to left of
   what they were.  */
static void
update_sums (struct bd_accounts *accounts, double left)
{
  clear_sums (accounts);
  sum_lanes (accounts, left);
  update_equal_parts (accounts);
  update_bands (accounts);
}

void
bd_accounts_update (struct bd_accounts *accounts, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - accounts->updated_ms;
  double left = exp (-(double)elapsed_ms / DEMAND_MS);
  GHashTableIter iter;
  gpointer value;

  if (elapsed_ms < UPDATE_MS)
    return;
  accounts->updated_ms = now_ms;
  g_hash_table_iter_init (&iter, accounts->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update_rate (value, elapsed_ms, now_ms);
  update_sums (accounts, left);
}

static uint32_t
hundredths (double count)
{
  return (uint32_t)fmin (100 * count, UINT32_MAX);
}

uint32_t
bd_accounts_usages (const struct bd_accounts *accounts,
                    struct bd_account_traffic *usages, uint32_t max)
{
  guint size = g_hash_table_size (accounts->lanes);
  struct bd_traffic_report report
      = { .accounts = g_new (struct bd_account_traffic, size) };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, accounts->lanes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_account_lane *lane = value;

      if (lane->asked >= min_asked)
        report.accounts[report.account_count++] = (struct bd_account_traffic){
          .account = lane->names.account,
          .model = lane->names.model,
          .priority = lane->names.priority,
          .asked = hundredths (lane->asked),
          .served = hundredths (lane->served),
        };
    }
  bd_traffic_trim_accounts (&report, max);
  if (report.account_count > 0)
    memcpy (usages, report.accounts, report.account_count * sizeof *usages);
  g_free (report.accounts);
  return report.account_count;
}

static void
clear_others (struct bd_accounts *accounts)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, accounts->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct bd_account_pool *)value)->has_others = false;
  g_hash_table_iter_init (&iter, accounts->lanes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_account_lane *lane = value;

      lane->others_asked = 0;
      lane->others_served = 0;
    }
}

void
bd_accounts_set_others (struct bd_accounts *accounts,
                        const struct bd_account_traffic *usages,
                        uint32_t count)
{
  clear_others (accounts);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct bd_account_key key
          = { usages[i].account, usages[i].model, usages[i].priority };
      struct bd_account_lane *lane;

      if (!has_band (accounts, &key))
        continue;
      lane = bd_accounts_lane (accounts, &key);
      lane->band->pool->has_others = true;
      lane->others_asked = usages[i].asked / 100.0;
      lane->others_served = usages[i].served / 100.0;
    }
  update_sums (accounts, 1.0);
}

void
bd_accounts_ask (struct bd_account_lane *lane)
{
  lane->asked += 1;
}

void
bd_accounts_wait (struct bd_account_lane *lane)
{
  struct bd_account_flow *flow = lane->flow;

  if (lane->share.waiting == 0)
    bd_share_start (&lane->share, lane->band->virtual_time);
  lane->share.waiting++;
  flow->pool->waiting_flows += flow->total.waiting == 0;
  flow->total.waiting++;
  flow->pool->waiting++;
}

void
bd_accounts_leave (struct bd_account_lane *lane)
{
  struct bd_account_flow *flow = lane->flow;

  lane->share.waiting--;
  flow->total.waiting--;
  flow->pool->waiting_flows -= flow->total.waiting == 0;
  flow->pool->waiting--;
}

void
bd_accounts_charge (struct bd_account_lane *lane)
{
  struct bd_account_pool *pool = lane->flow->pool;

  if (lane->share.waiting == 0)
    bd_share_start (&lane->share, lane->band->virtual_time);
  lane->band->virtual_time = bd_share_advance (
      &lane->share, bd_share_charge (&lane->share), lane->band->virtual_time);
  lane->served += 1;
  pool->dispatches += pool->waiting > 0;
}

bool
bd_accounts_is_large (const struct bd_account_lane *lane)
{
  const struct bd_account_band *band = lane->band;
  const struct bd_account_pool *pool = band->pool;

  return band->is_contended
         && (pool->has_others || pool->asked_small < shareable * pool->served)
         && served_of (lane) > band->equal_part && asks_for_more (lane);
}

bool
bd_accounts_may_take (const struct bd_account_lane *lane, bool is_late,
                      uint32_t free, uint32_t slots)
{
  const struct bd_account_band *band = lane->band;

  if (free > (uint32_t)(reserve * slots))
    return true;
  return !(is_late && band->pool->has_others && band->is_contended)
         && !bd_accounts_is_large (lane);
}

bool
bd_accounts_is_short (const struct bd_account_lane *lane)
{
  const struct bd_account_pool *pool = lane->band->pool;

  return !pool->has_others || pool->asked > shortage * pool->served;
}

double
bd_accounts_finish_time (const struct bd_account_lane *lane)
{
  double equal_part = lane->band->equal_part;
  double excess;

  if (!lane->band->pool->has_others || equal_part <= 0)
    return lane->share.finish;
  excess = (served_of (lane) - equal_part) / (order_range * equal_part);
  return lane->share.finish + max_order_shift * fmax (-1, fmin (excess, 1));
}

bool
bd_accounts_is_waiting (const struct bd_account_lane *lane)
{
  return lane->flow->pool->waiting > 0;
}

void
bd_accounts_restart (struct bd_accounts *accounts)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, accounts->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct bd_account_pool *)value)->ahead = 0;
}

static bool
is_rate_known (const struct bd_account_pool *pool)
{
  return pool->contended_ms >= MIN_CONTENDED_MS
         && pool->dispatches >= MIN_DISPATCHES;
}

double
bd_accounts_wait_ms (const struct bd_account_pool *pool, uint32_t ahead)
{
  double high = pool->dispatches + sqrt (pool->dispatches);

  return is_rate_known (pool) ? (ahead + 1.0) * pool->contended_ms / high : 0;
}

int64_t
bd_accounts_retry_ms (struct bd_accounts *accounts,
                      const struct bd_account_flow *flow, int64_t min_ms)
{
  struct bd_account_pool *pool = flow->pool;
  double base_ms = (double)min_ms;
  double place;
  double whole;

  if (is_rate_known (pool))
    base_ms
        = fmax (base_ms, fmin (MAX_RETRY_MS,
                               (flow->total.waiting + 1.0)
                                   * fmax (pool->waiting_flows, 1)
                                   * pool->contended_ms / pool->dispatches));
  place = modf (accounts->phase + spread_step * pool->retries++, &whole);
  return (int64_t)(base_ms * (1.0 + place));
}

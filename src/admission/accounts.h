/* Shares of the client accounts in what the daemons dispatch.  Pure.

   Accounts that wait for different models compete for different targets, so
   all that is counted here is counted for each model.  A request counts as
   one, whatever its prompt is, and accounts have equal weights.

   Order: the requests of one account, model and priority form a lane, and the
   lanes of a model and priority share a virtual time (admission/shares.h).
   What was dispatched at one priority does not count at another one.  A lane
   is kept for about 12 s after the account's last request: the backlog of a
   daemon in a large fleet is short, and an account whose last request has just
   left it must not be equal to one that was not served at all.

   Fleet: daemons exchange what the accounts of each model and priority
   have asked for and got (bd_accounts_usages(), bd_accounts_set_others()).
   While others have reported requests for a model, an account that has had
   less or more than its equal part of what the fleet has dispatched in about
   10 s goes up to one request earlier or later in the order, and the last
   slots and early refusals are decided by the fleet's counts; else by those of
   this daemon.

   Large accounts: the order alone does not help an account whose request comes
   to a daemon that waits for its next free slot.  With 82 daemons each has
   about 7 dispatches a second, and a latency objective of 250 ms is then
   missed by 4 of 10 requests that go first in the order.  So an account that
   had more than its equal part dispatched at a priority, and asks for several
   times that, leaves the last slots free for the others.  Without the counts
   of other daemons it does so only while these ask for less than is
   dispatched.  Both are counted over about 10 s.

   Late requests: while the fleet cannot dispatch all that is asked for, late
   requests leave the last slots free too, because at another daemon a request
   waits that can still be in time.

   Capacity: the rate at which the requests of a model are dispatched while
   others wait.  While none wait, the rate is that of the demand.

   All times are in ms of one monotonic clock.  */

#ifndef BD_ADMISSION_ACCOUNTS_H
#define BD_ADMISSION_ACCOUNTS_H

#include "admission/shares.h"
#include "traffic/traffic.h"

#include <glib.h>

/* What a request is charged to, by hashes of the names.  */
struct bd_account_key
{
  uint64_t account;
  uint64_t model;
  uint64_t priority;
};

/* The requests for one model, "" for a plain service.  */
struct bd_account_pool
{
  uint64_t model; /* Hash of its name.  */
  uint32_t waiting;
  uint32_t waiting_flows;
  uint32_t retries; /* Times to retry that were given out.  */
  uint32_t ahead;   /* Scratch of the backlog.  */
  /* Dispatches while requests waited, and the time in which they did, both
     with an exponential decay over that time.  */
  double dispatches;
  double contended_ms;
  int64_t contended_at_ms; /* The last time.  */
  bool has_others;         /* Other daemons have requests for the model.  */
  /* Sums of the fleet's lanes, as far as this daemon knows them.  */
  double asked;
  double served;
  double asked_small; /* Of the lanes that are not large.  */
};

/* The requests of one account for one model.  */
struct bd_account_flow
{
  uint64_t key; /* Hash of account and model.  */
  struct bd_account_pool *pool;
  struct bd_share total; /* Only its waiting and weight are used.  */
  uint32_t lanes;
};

/* Lanes with one virtual time.  */
struct bd_account_band
{
  uint64_t key; /* Hash of model and priority.  */
  struct bd_account_pool *pool;
  uint64_t priority;
  double virtual_time;
  /* Sums of the fleet's lanes, as far as this daemon knows them.  */
  double asked;
  double served;
  uint32_t active;   /* Accounts that ask.  */
  double equal_part; /* Of what is served, for each account that asks.  */
  /* The requests of this priority and of the more urgent ones are more than
     are dispatched.  */
  bool is_contended;
};

struct bd_account_lane
{
  uint64_t key; /* Hash of account, model and priority.  */
  struct bd_account_flow *flow;
  struct bd_account_band *band;
  struct bd_account_key names;
  struct bd_share share;
  double asked;        /* Requests, with an exponential decay.  */
  double served;       /* Of these, those dispatched.  */
  double others_asked; /* The same at the other daemons.  */
  double others_served;
  uint32_t rank; /* Scratch of the backlog.  */
};

/* Copies of all that decisions on one request read, see bd_accounts_try().  */
struct bd_account_trial
{
  struct bd_account_pool pool;
  struct bd_account_flow flow;
  struct bd_account_band band;
  struct bd_account_lane lane;
};

struct bd_accounts
{
  GHashTable *pools;
  GHashTable *flows;
  GHashTable *bands;
  GHashTable *lanes;
  uint32_t sweep_at; /* Lanes at which idle ones are looked for.  */
  int64_t updated_ms;
  double phase;
};

/* bd_accounts_init(), bd_accounts_finish(): create and free an empty table.
   phase, in [0, 1), differs between daemons, so that they do not give out the
   same times to retry.  */
void bd_accounts_init (struct bd_accounts *accounts, double phase);
void bd_accounts_finish (struct bd_accounts *accounts);

/* bd_accounts_lane(): the lane of a request; created when missing.  Valid
   until the next call, and while requests of it wait.  */
struct bd_account_lane *bd_accounts_lane (struct bd_accounts *accounts,
                                          const struct bd_account_key *key);

/* bd_accounts_try(): sets trial->lane to a copy of the lane of a request, or
   to the one that would be created, with copies of what it refers to.  The
   other functions can be called with it, and change only the copies.  trial
   must not be moved.  */
void bd_accounts_try (const struct bd_accounts *accounts,
                      const struct bd_account_key *key,
                      struct bd_account_trial *trial);

/* bd_accounts_update(): continues what is measured over time.  Call it before
   the other functions with the present time.  */
void bd_accounts_update (struct bd_accounts *accounts, int64_t now_ms);

/* bd_accounts_usages(): fills usages with what the accounts have asked for
   here and got, those that ask for the most if there are more than max.
   Returns their number.
   bd_accounts_set_others(): replaces what the accounts have asked for at the
   other daemons and got, in total.  Models and priorities of which this daemon
   has had no request are ignored.  With count 0 this daemon decides by its own
   counts.  */
uint32_t bd_accounts_usages (const struct bd_accounts *accounts,
                             struct bd_account_traffic *usages, uint32_t max);
void bd_accounts_set_others (struct bd_accounts *accounts,
                             const struct bd_account_traffic *usages,
                             uint32_t count);

/* bd_accounts_ask(): a new request has come.  */
void bd_accounts_ask (struct bd_account_lane *lane);

/* bd_accounts_wait(), bd_accounts_leave(): a request begins to wait, or no
   longer waits, whatever the reason.  */
void bd_accounts_wait (struct bd_account_lane *lane);
void bd_accounts_leave (struct bd_account_lane *lane);

/* bd_accounts_charge(): a request is dispatched, after it has waited or at
   once.  Call it before bd_accounts_leave().  */
void bd_accounts_charge (struct bd_account_lane *lane);

/* bd_accounts_is_large(): whether the account has had more than its equal part
   and leaves the last slots free.
   bd_accounts_may_take(): whether its request, late or not, may have a slot
   when free of slots seem free.
   bd_accounts_is_short(): whether requests of the lane may be refused early:
   not while the fleet dispatches what is asked for.
   bd_accounts_finish_time(): the finish time by which the lanes of a band are
   ordered.  */
bool bd_accounts_is_large (const struct bd_account_lane *lane);
bool bd_accounts_may_take (const struct bd_account_lane *lane, bool is_late,
                           uint32_t free, uint32_t slots);
bool bd_accounts_is_short (const struct bd_account_lane *lane);
double bd_accounts_finish_time (const struct bd_account_lane *lane);

/* bd_accounts_is_waiting(): whether a request waits for the same model.  */
bool bd_accounts_is_waiting (const struct bd_account_lane *lane);

/* bd_accounts_restart(): sets the scratch fields of all pools to 0.  */
void bd_accounts_restart (struct bd_accounts *accounts);

/* bd_accounts_wait_ms(): time until ahead + 1 requests of the pool are
   dispatched, estimated low: the rate is taken one standard deviation above
   the measured one, so that few requests are refused that could be served.
   0 while too little was measured.  */
double bd_accounts_wait_ms (const struct bd_account_pool *pool,
                            uint32_t ahead);

/* bd_accounts_retry_ms(): when a caller whose request of flow is refused
   should return: after the account's waiting requests are served at its share
   of the measured rate, or 5000 if that is less, and at least after min_ms.
   Up to as much again is added, so that calls in a row return different times
   that are spread evenly.  */
int64_t bd_accounts_retry_ms (struct bd_accounts *accounts,
                              const struct bd_account_flow *flow,
                              int64_t min_ms);

#endif

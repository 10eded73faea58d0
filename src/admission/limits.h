/* Limits per client account, shared among daemons by demand.  Pure.

   Each daemon tells its peers the demand that it sees.  Its share of a limit
   is its part of the demand, times the part of the daemons that it can see:
   daemons that are cut off from each other cannot use a limit twice.  */

#ifndef BD_ADMISSION_LIMITS_H
#define BD_ADMISSION_LIMITS_H

#include "config/service.h"
#include "store/budget.h"
#include "wire/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct bd_limits
{
  GHashTable *accounts; /* Key -> struct account.  */
  double live_fraction; /* Part of all daemons that is live for this one.  */
};

void bd_limits_init (struct bd_limits *limits);
void bd_limits_finish (struct bd_limits *limits);

/* bd_limits_key(): what stands for a service and an account in messages.  */
uint64_t bd_limits_key (const char *service, const char *account);

/* bd_limits_take(): whether a call is within the account's limit.  When it is
   not, *wait_ms is when to come back.  */
bool bd_limits_take (struct bd_limits *limits, const char *service,
                     const char *account, const struct bd_limit *limit,
                     int64_t now_ms, int64_t *wait_ms);

/* bd_limits_set_live_daemons(): how many daemons are live out of how many are
 * known.  */
void bd_limits_set_live_daemons (struct bd_limits *limits, uint32_t live,
                                 uint32_t known);

/* bd_limits_set_peer_usages(): the demand that a peer sees.  */
void bd_limits_set_peer_usages (struct bd_limits *limits, const char *peer,
                                const struct bd_usage *usages, uint32_t count,
                                int64_t now_ms);

/* bd_limits_top_usages(): this daemon's demand, the largest first, at most
   max. Returns the number filled in.  */
uint32_t bd_limits_top_usages (struct bd_limits *limits, int64_t now_ms,
                               struct bd_usage *usages, uint32_t max);

#endif

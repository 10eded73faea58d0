/* Rate limits per client account, shared among the daemons by demand.  Pure.

   Each daemon publishes its own demand per account to its peers.  Its share of
   a limit is its fraction of the total demand, times the fraction of the known
   daemons that are live: the sides of a network partition cannot use a limit
   twice.

   Call bd_limits_take() for each call, and pass the usages that peers publish
   to bd_limits_set_peer_usages().  A peer's demand expires after 10 s without
   an update.  */

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
  double live_fraction; /* Live daemons / known daemons, 0 to 1.  */
};

/* bd_limits_init(), bd_limits_finish(): create and free an empty table of
   accounts.  */
void bd_limits_init (struct bd_limits *limits);
void bd_limits_finish (struct bd_limits *limits);

/* bd_limits_key(): hash by which messages identify a service and an account.
 */
uint64_t bd_limits_key (const char *service, const char *account);

/* bd_limits_take(): counts a call and returns whether it is within the
   account's limit; limit is NULL when there is none.  On false, *wait_ms is
   the time in ms until a retry can succeed, else it is 0.  */
bool bd_limits_take (struct bd_limits *limits, const char *service,
                     const char *account, const struct bd_limit *limit,
                     int64_t now_ms, int64_t *wait_ms);

/* bd_limits_try(): the result of bd_limits_take() for a call that is not
   made.  */
bool bd_limits_try (const struct bd_limits *limits, const char *service,
                    const char *account, const struct bd_limit *limit,
                    int64_t now_ms, int64_t *wait_ms);

/* bd_limits_set_live_daemons(): sets the number of live daemons and of known
   daemons.  */
void bd_limits_set_live_daemons (struct bd_limits *limits, uint32_t live,
                                 uint32_t known);

/* bd_limits_set_peer_usages(): stores the demand that a peer has published. */
void bd_limits_set_peer_usages (struct bd_limits *limits, const char *peer,
                                const struct bd_usage *usages, uint32_t count,
                                int64_t now_ms);

/* bd_limits_top_usages(): fills usages with the largest demands at this
   daemon, in descending order, at most max.  Returns their number.  */
uint32_t bd_limits_top_usages (struct bd_limits *limits, int64_t now_ms,
                               struct bd_usage *usages, uint32_t max);

#endif

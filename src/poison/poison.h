/* Isolates and refuses poison requests: requests that crash endpoints.  Does
   no I/O: the caller passes in events and the time.

   Callers retry a crashing request under a new id, so a request is identified
   by the fingerprint of its client account, route and body.  When an endpoint
   crashes, every request that was running on it becomes suspected.  A
   suspected request runs only where no other suspected request runs, so that
   one crash is not counted for two of them.  After it has crashed two
   endpoints it is refused.  A request that finishes is cleared.  */

#ifndef BD_POISON_POISON_H
#define BD_POISON_POISON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_poison_decision
{
  BD_POISON_ALLOW,   /* It isn't suspected.  */
  BD_POISON_ISOLATE, /* Run it where no other suspected request runs.  */
  BD_POISON_REFUSE   /* It has crashed two endpoints.  */
};

/* The suspected requests.  Bounded: while it is full, crashes of further
   requests are not recorded.  */
struct bd_poison_table
{
  GHashTable *entries;   /* Fingerprint -> struct poison_entry.  */
  uint32_t retention_ms; /* Time from the last crash until an entry expires. */
};

/* bd_poison_init(), bd_poison_finish(): create an empty table and free it.  */
void bd_poison_init (struct bd_poison_table *table, uint32_t retention_ms);
void bd_poison_finish (struct bd_poison_table *table);

/* bd_poison_record_crash(): the request was running on the endpoint when it
   crashed.  endpoint is a hash that identifies the endpoint or group and its
   incarnation.  Returns whether the crash was recorded: false when it is known
   already, the request is refused already or the table is full.  */
bool bd_poison_record_crash (struct bd_poison_table *table,
                             uint64_t fingerprint, uint64_t endpoint,
                             int64_t now_ms);

/* bd_poison_clear(): the request has finished.  Returns whether it was
   suspected.  */
bool bd_poison_clear (struct bd_poison_table *table, uint64_t fingerprint);

/* bd_poison_withdraw_crash(): the endpoint has not crashed, contrary to an
   earlier bd_poison_record_crash().  Removes that crash from all requests.  */
void bd_poison_withdraw_crash (struct bd_poison_table *table,
                               uint64_t endpoint);

/* bd_poison_decide(): returns how to handle a request.  */
enum bd_poison_decision bd_poison_decide (struct bd_poison_table *table,
                                          uint64_t fingerprint,
                                          int64_t now_ms);

/* bd_poison_remaining_ms(): returns the time until the entry of a suspected or
   refused request expires, or 0 for other requests.  */
int64_t bd_poison_remaining_ms (struct bd_poison_table *table,
                                uint64_t fingerprint, int64_t now_ms);

#endif

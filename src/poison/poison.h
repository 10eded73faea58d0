/* Requests that crash endpoints.  Pure.

   A caller sends a crashing request again under a new id, so a request is
   known by the fingerprint of its account, route and body.  When a replica
   dies, every request then on it becomes a suspect; a suspect runs apart from
   other suspects; after its second death at another place it is refused.  The
   innocent are cleared by finishing.  */

#ifndef BD_POISON_POISON_H
#define BD_POISON_POISON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_poison_decision
{
  BD_POISON_ALLOW,
  BD_POISON_ISOLATE, /* Run it where no other suspect runs.  */
  BD_POISON_REFUSE
};

struct bd_poison_table
{
  GHashTable *entries;   /* Fingerprint -> struct suspect.  */
  uint32_t retention_ms; /* How long a suspicion lasts.  */
};

void bd_poison_init (struct bd_poison_table *table, uint32_t retention_ms);
void bd_poison_finish (struct bd_poison_table *table);

/* bd_poison_record_crash(): the request ran at place (a replica's incarnation)
   when it died.  Returns whether this death was not known yet.  */
bool bd_poison_record_crash (struct bd_poison_table *table,
                             uint64_t fingerprint, uint64_t endpoint,
                             int64_t now_ms);

/* bd_poison_clear(): the request has finished.  Returns whether it was a
   suspect.  */
bool bd_poison_clear (struct bd_poison_table *table, uint64_t fingerprint);

/* bd_poison_withdraw_crash(): the place has not died after all.  */
void bd_poison_withdraw_crash (struct bd_poison_table *table,
                               uint64_t endpoint);

/* bd_poison_decide(): what to do with a request.  */
enum bd_poison_decision bd_poison_decide (struct bd_poison_table *table,
                                          uint64_t fingerprint,
                                          int64_t now_ms);

/* bd_poison_remaining_ms(): how long a refused request stays refused.  */
int64_t bd_poison_remaining_ms (struct bd_poison_table *table,
                                uint64_t fingerprint, int64_t now_ms);

#endif

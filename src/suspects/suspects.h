/* Requests that crash endpoints.  Pure.

   A caller sends a crashing request again under a new id, so a request is
   known by the fingerprint of its account, route and body.  When a replica
   dies, every request then on it becomes a suspect; a suspect runs apart from
   other suspects; after its second death at another place it is refused.  The
   innocent are cleared by finishing.  */

#ifndef BD_SUSPECTS_SUSPECTS_H
#define BD_SUSPECTS_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_verdict
{
  BD_VERDICT_CLEAR,
  BD_VERDICT_APART, /* Run it where no other suspect runs.  */
  BD_VERDICT_REFUSE
};

struct bd_suspects
{
  GHashTable *table; /* Fingerprint -> struct suspect.  */
  uint32_t hold_ms;  /* How long a suspicion lasts.  */
};

void bd_suspects_init (struct bd_suspects *suspects, uint32_t hold_ms);
void bd_suspects_finish (struct bd_suspects *suspects);

/* bd_suspects_mark(): the request ran at place (a replica's incarnation) when
   it died.  Returns whether this death was not known yet.  */
bool bd_suspects_mark (struct bd_suspects *suspects, uint64_t fingerprint,
                       uint64_t place, int64_t now_ms);

/* bd_suspects_clear(): the request has finished.  Returns whether it was a
   suspect.  */
bool bd_suspects_clear (struct bd_suspects *suspects, uint64_t fingerprint);

/* bd_suspects_acquit(): the place has not died after all.  */
void bd_suspects_acquit (struct bd_suspects *suspects, uint64_t place);

/* bd_suspects_judge(): what to do with a request.  */
enum bd_verdict bd_suspects_judge (struct bd_suspects *suspects,
                                   uint64_t fingerprint, int64_t now_ms);

/* bd_suspects_wait_ms(): how long a refused request stays refused.  */
int64_t bd_suspects_wait_ms (struct bd_suspects *suspects,
                             uint64_t fingerprint, int64_t now_ms);

#endif

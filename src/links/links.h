/* Tells whether this daemon has lost its links to the endpoints of a service.
   Pure.

   A request that cannot be delivered says something about one pair, this
   daemon and that endpoint.  That several endpoints in a row do not respond,
   and none does, says that the fault is on this side, unless just these have
   failed together and nothing was sent to others: probes of other endpoints,
   sent from the first silence on, have to fail too.  Then the requests of
   callers go to other daemons, and nothing that is observed here counts
   against an endpoint or a request, until probes on new connections are
   answered again.

   Usage: note each contact with an endpoint and each attempt that has found
   none; while the links are doubtful or lost, send a probe when one is due and
   note its result.  Times are in ms of one monotonic clock.  */

#ifndef BD_LINKS_LINKS_H
#define BD_LINKS_LINKS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Different endpoints without a response, and probes of others that failed,
     until the links count as lost.  */
  BD_LINKS_MAX_SILENT = 3,
  BD_LINKS_MAX_FAILED_PROBES = 2,
  /* Silent endpoints that are remembered, those of probes included.  */
  BD_LINKS_MAX_REMEMBERED = 16
};

struct bd_links
{
  bool is_lost;
  int64_t contact_ms; /* The last response of an endpoint.  */
  int64_t lost_ms;    /* When the links were last found lost.  */
  /* Hashes of the endpoints that were silent since the last contact.  */
  uint64_t silent[BD_LINKS_MAX_REMEMBERED];
  uint32_t silent_count;
  uint32_t probes_failed;   /* Since the last contact.  */
  int64_t probe_ms;         /* When the last probe was sent.  */
  uint32_t probes_answered; /* In a row.  */
};

/* bd_links_note_contact(): an endpoint has responded.  */
void bd_links_note_contact (struct bd_links *links, int64_t now_ms);

/* bd_links_note_silence(): an endpoint could not be reached, or has broken off
   or not responded, for a request sent at sent_ms.  Returns whether the links
   are found lost by that.  */
bool bd_links_note_silence (struct bd_links *links, uint64_t endpoint,
                            int64_t sent_ms, int64_t now_ms);

/* bd_links_is_doubtful(): whether any endpoint was silent since the last
   contact, or the links are lost.  */
bool bd_links_is_doubtful (const struct bd_links *links);

/* bd_links_is_silent(): whether the endpoint was silent since the last contact
   that counts.  A probe goes to another one, if there is any.  */
bool bd_links_is_silent (const struct bd_links *links, uint64_t endpoint);

/* bd_links_start_probe(): whether to send a probe on a new connection now.  */
bool bd_links_start_probe (struct bd_links *links, int64_t now_ms);

/* bd_links_note_probe(): the result of a probe of an endpoint that was sent at
   sent_ms.  Returns whether the links are found lost or back by that.  */
bool bd_links_note_probe (struct bd_links *links, uint64_t endpoint,
                          bool is_answered, int64_t sent_ms, int64_t now_ms);

#endif

/* Counts silent endpoints and answered probes.  */

#include "links/links.h"

enum
{
  PROBE_INTERVAL_MS = 150,
  /* Answered probes in a row until the links are used again.  */
  PROBES_UNTIL_BACK = 2
};

void
bd_links_note_contact (struct bd_links *links, int64_t now_ms)
{
  links->contact_ms = now_ms;
  /* Old connections can live on while new ones fail, so that only probes show
     that lost links are back.  */
  if (!links->is_lost)
    links->silent_count = 0;
}

bool
bd_links_note_silence (struct bd_links *links, uint64_t endpoint,
                       int64_t sent_ms, int64_t now_ms)
{
  if (links->is_lost || sent_ms < links->contact_ms)
    return false;
  for (uint32_t i = 0; i < links->silent_count; i++)
    if (links->silent[i] == endpoint)
      return false;
  links->silent[links->silent_count++] = endpoint;
  if (links->silent_count < BD_LINKS_MAX_SILENT)
    return false;
  links->is_lost = true;
  links->lost_ms = now_ms;
  links->probe_ms = now_ms;
  links->probes_answered = 0;
  return true;
}

bool
bd_links_is_doubtful (const struct bd_links *links)
{
  return links->is_lost || links->silent_count > 0;
}

bool
bd_links_start_probe (struct bd_links *links, int64_t now_ms)
{
  if (now_ms - links->probe_ms < PROBE_INTERVAL_MS)
    return false;
  links->probe_ms = now_ms;
  return true;
}

bool
bd_links_note_probe (struct bd_links *links, bool is_answered, int64_t now_ms)
{
  links->probes_answered = is_answered ? links->probes_answered + 1 : 0;
  if (!links->is_lost || links->probes_answered < PROBES_UNTIL_BACK)
    return false;
  links->is_lost = false;
  links->silent_count = 0;
  links->contact_ms = now_ms;
  return true;
}

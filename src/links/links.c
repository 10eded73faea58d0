/* Counts silent endpoints and answered probes.  */

#include "links/links.h"

enum
{
  PROBE_INTERVAL_MS = 150,
  /* The same while the links are only doubtful.  */
  DOUBTFUL_PROBE_INTERVAL_MS = 50,
  /* Answered probes in a row until the links are used again.  */
  PROBES_UNTIL_BACK = 2
};

void
bd_links_note_contact (struct bd_links *links, int64_t now_ms)
{
  links->contact_ms = now_ms;
  /* Old connections can live on while new ones fail, so that only probes show
     that lost links are back.  */
  if (links->is_lost)
    return;
  links->silent_count = 0;
  links->probes_failed = 0;
}

/* Returns whether the links are found lost now.  */
static bool
judge (struct bd_links *links, int64_t now_ms)
{
  if (links->is_lost || links->silent_count < BD_LINKS_MAX_SILENT
      || links->probes_failed < BD_LINKS_MAX_FAILED_PROBES)
    return false;
  links->is_lost = true;
  links->lost_ms = now_ms;
  links->probe_ms = now_ms;
  links->probes_answered = 0;
  return true;
}

bool
bd_links_is_silent (const struct bd_links *links, uint64_t endpoint)
{
  for (uint32_t i = 0; i < links->silent_count; i++)
    if (links->silent[i] == endpoint)
      return true;
  return false;
}

static void
remember_silent (struct bd_links *links, uint64_t endpoint)
{
  if (links->silent_count < BD_LINKS_MAX_REMEMBERED
      && !bd_links_is_silent (links, endpoint))
    links->silent[links->silent_count++] = endpoint;
}

bool
bd_links_note_silence (struct bd_links *links, uint64_t endpoint,
                       int64_t sent_ms, int64_t now_ms)
{
  if (links->is_lost || sent_ms < links->contact_ms)
    return false;
  remember_silent (links, endpoint);
  return judge (links, now_ms);
}

bool
bd_links_is_doubtful (const struct bd_links *links)
{
  return links->is_lost || links->silent_count > 0;
}

bool
bd_links_start_probe (struct bd_links *links, int64_t now_ms)
{
  bool is_decided
      = links->is_lost || links->probes_failed >= BD_LINKS_MAX_FAILED_PROBES;
  int64_t interval_ms
      = is_decided ? PROBE_INTERVAL_MS : DOUBTFUL_PROBE_INTERVAL_MS;

  if (!bd_links_is_doubtful (links) || now_ms - links->probe_ms < interval_ms)
    return false;
  links->probe_ms = now_ms;
  return true;
}

/* Whether lost links are found to be back by a probe.  */
static bool
note_probe_of_lost (struct bd_links *links, bool is_answered, int64_t now_ms)
{
  links->probes_answered = is_answered ? links->probes_answered + 1 : 0;
  if (links->probes_answered < PROBES_UNTIL_BACK)
    return false;
  links->is_lost = false;
  bd_links_note_contact (links, now_ms);
  return true;
}

bool
bd_links_note_probe (struct bd_links *links, uint64_t endpoint,
                     bool is_answered, int64_t sent_ms, int64_t now_ms)
{
  if (links->is_lost)
    return note_probe_of_lost (links, is_answered, now_ms);
  if (is_answered)
    bd_links_note_contact (links, now_ms);
  else if (sent_ms >= links->contact_ms)
    {
      remember_silent (links, endpoint);
      links->probes_failed++;
    }
  return judge (links, now_ms);
}

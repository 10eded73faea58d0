/* Tests when a daemon takes its links to endpoints for lost.  */

#include "links/links.h"
#include "tests/unit.h"

static void
test_one_silent_endpoint_is_not_the_daemon (void)
{
  struct bd_links links = { 0 };

  bd_links_note_contact (&links, 100);
  for (int64_t now_ms = 200; now_ms < 5000; now_ms += 100)
    CU_ASSERT_FALSE (bd_links_note_silence (&links, 1, now_ms - 50, now_ms));
  CU_ASSERT_TRUE (bd_links_is_doubtful (&links));
  bd_links_note_contact (&links, 6000);
  CU_ASSERT_FALSE (bd_links_is_doubtful (&links));
}

/* Many endpoints fail while others respond: a domain is lost, not the
   links.  */
static void
test_contacts_between_silences (void)
{
  struct bd_links links = { 0 };

  for (uint32_t i = 0; i < 20; i++)
    {
      int64_t now_ms = 1000 + 100 * (int64_t)i;

      CU_ASSERT_FALSE (
          bd_links_note_silence (&links, i + 1, now_ms - 50, now_ms));
      bd_links_note_contact (&links, now_ms + 1);
      /* Sent before that contact.  */
      CU_ASSERT_FALSE (
          bd_links_note_silence (&links, i + 50, now_ms, now_ms + 2));
    }
}

static void
test_lost_and_back (void)
{
  struct bd_links links = { 0 };

  bd_links_note_contact (&links, 1000);
  CU_ASSERT_FALSE (bd_links_note_silence (&links, 1, 1010, 1260));
  CU_ASSERT_FALSE (bd_links_note_silence (&links, 2, 1020, 1270));
  CU_ASSERT_FALSE (bd_links_note_silence (&links, 2, 1030, 1280));
  CU_ASSERT_TRUE (bd_links_start_probe (&links, 1280));
  CU_ASSERT_FALSE (bd_links_start_probe (&links, 1281));
  CU_ASSERT_FALSE (bd_links_note_silence (&links, 3, 1040, 1290));
  CU_ASSERT_TRUE (bd_links_start_probe (&links, 1330));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, 9, false, 1280, 1380));
  CU_ASSERT_TRUE (bd_links_note_probe (&links, 9, false, 1330, 1430));
  CU_ASSERT_TRUE (links.is_lost);
  /* An old connection that lives on.  */
  bd_links_note_contact (&links, 1440);
  CU_ASSERT_TRUE (links.is_lost);
  CU_ASSERT_FALSE (bd_links_start_probe (&links, 1440));
  CU_ASSERT_TRUE (bd_links_start_probe (&links, 1600));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, 9, true, 1600, 1610));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, 9, false, 1760, 1910));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, 9, true, 2100, 2110));
  CU_ASSERT_TRUE (bd_links_note_probe (&links, 9, true, 2300, 2310));
  CU_ASSERT_FALSE (bd_links_is_doubtful (&links));
}

/* Requests to them alone time out at one moment; another endpoint answers.  */
static void
test_endpoints_that_crash_together_are_lost_links (void)
{
  struct bd_links links = { 0 };

  bd_links_note_contact (&links, 1000);
  for (uint32_t i = 1; i <= 6; i++)
    CU_ASSERT_FALSE (bd_links_note_silence (&links, i, 1008, 1228));
  CU_ASSERT_TRUE (bd_links_start_probe (&links, 1250));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, 9, true, 1250, 1256));
  CU_ASSERT_FALSE (bd_links_is_doubtful (&links));
  CU_ASSERT_FALSE (bd_links_is_silent (&links, 1));
  /* Of a probe sent before that contact.  */
  CU_ASSERT_FALSE (bd_links_note_probe (&links, 9, false, 1250, 1350));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, 9, false, 1250, 1350));
  for (uint32_t i = 1; i <= 6; i++)
    CU_ASSERT_FALSE (bd_links_note_silence (&links, i, 1300, 1520));
}

/* Probes that draw further crashed endpoints do not draw them again.  */
static void
test_probes_of_one_crashed_endpoint_lose_the_links (void)
{
  struct bd_links links = { 0 };

  bd_links_note_contact (&links, 1000);
  for (uint32_t i = 1; i <= 4; i++)
    bd_links_note_silence (&links, i, 1008, 1228);
  CU_ASSERT_TRUE (bd_links_is_silent (&links, 4));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, 5, false, 1250, 1350));
  CU_ASSERT_TRUE (bd_links_is_silent (&links, 5));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, 6, true, 1350, 1356));
  CU_ASSERT_FALSE (bd_links_is_doubtful (&links));
}

/* One silent endpoint of a service that has no other.  */
static void
test_doubtful_links_are_probed_without_pause (void)
{
  struct bd_links links = { 0 };
  uint32_t probes = 0;

  bd_links_note_contact (&links, 1000);
  bd_links_note_silence (&links, 1, 1010, 1260);
  for (int64_t now_ms = 1260; now_ms < 2260; now_ms += 25)
    if (bd_links_start_probe (&links, now_ms))
      {
        probes++;
        bd_links_note_probe (&links, 1, false, now_ms, now_ms);
      }
  CU_ASSERT_FALSE (links.is_lost);
  CU_ASSERT_TRUE (probes <= 10);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "one silent endpoint is not the daemon",
            test_one_silent_endpoint_is_not_the_daemon },
          { "contacts between silences", test_contacts_between_silences },
          { "lost and back", test_lost_and_back },
          { "endpoints that crash together are lost links",
            test_endpoints_that_crash_together_are_lost_links },
          { "probes of one crashed endpoint lose the links",
            test_probes_of_one_crashed_endpoint_lose_the_links },
          { "doubtful links are probed without pause",
            test_doubtful_links_are_probed_without_pause } };

  return UNIT_RUN ("links", tests);
}

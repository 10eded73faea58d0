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
  CU_ASSERT_TRUE (bd_links_note_silence (&links, 3, 1040, 1290));
  CU_ASSERT_TRUE (links.is_lost);
  /* An old connection that lives on.  */
  bd_links_note_contact (&links, 1300);
  CU_ASSERT_TRUE (links.is_lost);
  CU_ASSERT_FALSE (bd_links_start_probe (&links, 1300));
  CU_ASSERT_TRUE (bd_links_start_probe (&links, 1500));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, true, 1510));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, false, 1910));
  CU_ASSERT_FALSE (bd_links_note_probe (&links, true, 2110));
  CU_ASSERT_TRUE (bd_links_note_probe (&links, true, 2310));
  CU_ASSERT_FALSE (bd_links_is_doubtful (&links));
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "one silent endpoint is not the daemon",
            test_one_silent_endpoint_is_not_the_daemon },
          { "contacts between silences", test_contacts_between_silences },
          { "lost and back", test_lost_and_back } };

  return UNIT_RUN ("links", tests);
}

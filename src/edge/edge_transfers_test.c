/* Tests when a table is sent again to a peer that still lacks a part of it,
   with given times.  */

#include "edge/edge_internal.h"
#include "tests/unit.h"

enum
{
  /* Of peers.c: what differs is found by the statuses, whose period varies by
     a tenth, and a peer without one for this time is dead.  */
  MAX_STATUS_PERIOD_MS = 220,
  DEAD_AFTER_MS = 1200,
  /* Of transfers.c.  */
  MAX_REPEAT_MS = 1000,
  TRANSFER_PERIOD_MS = 100,
  LONG_TIME_MS = 60000,
  START_MS = 1000,
  PEER = 1,
  OTHER_PEER = 2,
  CHECKSUMS = 10,
  OTHER_CHECKSUMS = 11
};

static struct bd_edge_transfers transfers;

/* A status shows at now_ms that the tables differ.  Returns whether the table
   is sent.  */
static bool
compare (uint64_t peer, uint64_t checksums, int64_t now_ms)
{
  if (!bd_edge_is_transfer_due (&transfers, peer, checksums, now_ms))
    return false;
  bd_edge_note_transfer (&transfers, peer, checksums, now_ms);
  return true;
}

/* Counts the transfers to the peer while its statuses show the same
   difference.  */
static uint32_t
count_transfers (int64_t duration_ms)
{
  uint32_t count = 0;

  for (int64_t age_ms = 0; age_ms <= duration_ms;
       age_ms += MAX_STATUS_PERIOD_MS)
    count += compare (PEER, CHECKSUMS, START_MS + age_ms);
  return count;
}

static void
test_lost_transfers_are_repeated_before_peer_counts_as_dead (void)
{
  bd_edge_transfers_init (&transfers);
  /* The first two are lost.  */
  CU_ASSERT_TRUE (count_transfers (DEAD_AFTER_MS - 1) >= 3);
  bd_edge_transfers_finish (&transfers);
}

static void
test_tables_that_stay_different_cost_little (void)
{
  bd_edge_transfers_init (&transfers);
  CU_ASSERT_TRUE (count_transfers (LONG_TIME_MS)
                  <= LONG_TIME_MS / MAX_REPEAT_MS);
  bd_edge_transfers_finish (&transfers);
}

static void
test_change_of_table_is_sent_at_once (void)
{
  int64_t now_ms = START_MS + LONG_TIME_MS + TRANSFER_PERIOD_MS;

  bd_edge_transfers_init (&transfers);
  count_transfers (LONG_TIME_MS);
  CU_ASSERT_TRUE (compare (PEER, OTHER_CHECKSUMS, now_ms));
  CU_ASSERT_FALSE (compare (PEER, OTHER_CHECKSUMS, now_ms));
  bd_edge_transfers_finish (&transfers);
}

static void
test_transfers_to_several_peers_are_spaced (void)
{
  bd_edge_transfers_init (&transfers);
  CU_ASSERT_TRUE (compare (PEER, CHECKSUMS, START_MS));
  CU_ASSERT_FALSE (
      compare (OTHER_PEER, CHECKSUMS, START_MS + TRANSFER_PERIOD_MS - 1));
  CU_ASSERT_TRUE (
      compare (OTHER_PEER, CHECKSUMS, START_MS + TRANSFER_PERIOD_MS));
  bd_edge_transfers_finish (&transfers);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "lost transfers are repeated before the peer counts as dead",
      test_lost_transfers_are_repeated_before_peer_counts_as_dead },
    { "tables that stay different cost little",
      test_tables_that_stay_different_cost_little },
    { "a change of a table is sent at once",
      test_change_of_table_is_sent_at_once },
    { "transfers to several peers are spaced",
      test_transfers_to_several_peers_are_spaced },
  };

  return UNIT_RUN ("edge transfers", tests);
}

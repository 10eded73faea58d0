/* Limits how often tables are sent to peers.  */

#include "edge/edge_internal.h"

enum
{
  MAX_TRANSFERS = 4096,
  /* Shortest time between two messages with the whole table.  */
  TRANSFER_PERIOD_MS = 100,
  /* Time until the same message to the same peer is repeated: at first long
     enough for a status of the peer that has received it, then doubled up to
     the maximum.  */
  MIN_REPEAT_MS = 300,
  MAX_REPEAT_MS = 1000
};

/* The last transfer to a peer.  */
struct transfer
{
  uint64_t peer; /* Hash of its name.  */
  uint64_t checksums;
  int64_t sent_ms;
  int64_t repeat_after_ms;
};

void
bd_edge_transfers_init (struct bd_edge_transfers *transfers)
{
  *transfers = (struct bd_edge_transfers){
    .period_ms = TRANSFER_PERIOD_MS,
    .last = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free),
  };
}

void
bd_edge_transfers_finish (struct bd_edge_transfers *transfers)
{
  g_hash_table_destroy (transfers->last);
}

bool
bd_edge_is_transfer_due (const struct bd_edge_transfers *transfers,
                         uint64_t peer, uint64_t checksums, int64_t now_ms)
{
  const struct transfer *last = g_hash_table_lookup (transfers->last, &peer);

  return now_ms - transfers->sent_ms >= transfers->period_ms
         && (last == NULL || last->checksums != checksums
             || now_ms - last->sent_ms >= last->repeat_after_ms);
}

/* Time after which the same message is repeated once more.  */
static int64_t
next_repeat_ms (const struct transfer *last, uint64_t checksums)
{
  if (last == NULL || last->checksums != checksums)
    return MIN_REPEAT_MS;
  return MIN (2 * last->repeat_after_ms, MAX_REPEAT_MS);
}

void
bd_edge_note_transfer (struct bd_edge_transfers *transfers, uint64_t peer,
                       uint64_t checksums, int64_t now_ms)
{
  const struct transfer *last = g_hash_table_lookup (transfers->last, &peer);
  struct transfer *transfer = g_new (struct transfer, 1);

  transfers->sent_ms = now_ms;
  *transfer = (struct transfer){ peer, checksums, now_ms,
                                 next_repeat_ms (last, checksums) };
  if (g_hash_table_size (transfers->last) >= MAX_TRANSFERS)
    g_hash_table_remove_all (transfers->last);
  g_hash_table_replace (transfers->last, &transfer->peer, transfer);
}

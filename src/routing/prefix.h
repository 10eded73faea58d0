/* Hints about which replicas have which prompt prefixes in their cache.  Pure.

   A prompt is split into blocks; each block's hash covers all blocks before
   it.  Hints come from the prompts sent to each replica and from the engines'
   cache events, which arrive late and with gaps.  So a hint only orders
   replicas that are usable anyway, and its weight decays with time.

   Hash each prompt with bd_prefix_hash(), report where it was sent with
   bd_prefix_record(), and compare replicas with bd_prefix_cached_fraction().
   Times are in ms of one monotonic clock.  */

#ifndef BD_ROUTING_PREFIX_H
#define BD_ROUTING_PREFIX_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  BD_PREFIX_BLOCK_BYTES = 256,
  BD_PREFIX_MAX_BLOCKS = 32
};

/* The block hashes of one prompt.  */
struct bd_prefix
{
  uint64_t blocks[BD_PREFIX_MAX_BLOCKS];
  uint32_t count;
};

struct bd_prefix_table
{
  GHashTable *hints; /* Hash of block and replica -> time of the last use.  */
  uint32_t decay_ms; /* Time constant of the decay.  */
  uint32_t max_hints;
};

/* bd_prefix_table_init(), bd_prefix_table_finish(): create and free a table.
   A table with max_hints hints drops those older than decay_ms, and all hints
   when it is still full.  */
void bd_prefix_table_init (struct bd_prefix_table *table, uint32_t decay_ms,
                           uint32_t max_hints);
void bd_prefix_table_finish (struct bd_prefix_table *table);

/* bd_prefix_hash(): computes the block hashes of a prompt of size bytes.
   Ignores an incomplete last block and blocks beyond BD_PREFIX_MAX_BLOCKS.  */
void bd_prefix_hash (struct bd_prefix *prefix, const char *prompt,
                     size_t size);

/* bd_prefix_record(): records that the prompt was sent to replica (a hash of
   its ID and incarnation).  */
void bd_prefix_record (struct bd_prefix_table *table,
                       const struct bd_prefix *prefix, uint64_t replica,
                       int64_t now_ms);

/* bd_prefix_evicted(): an engine reports that a block was evicted.  */
void bd_prefix_evicted (struct bd_prefix_table *table, uint64_t block,
                        uint64_t replica);

/* bd_prefix_cached_fraction(): the fraction of the prompt, 0 to 1, that the
   replica is expected to have cached.  */
double bd_prefix_cached_fraction (struct bd_prefix_table *table,
                                  const struct bd_prefix *prefix,
                                  uint64_t replica, int64_t now_ms);

/* bd_prefix_affinity_replicas(): finds the two affinity replicas of a prefix
   by rendezvous hashing of its first block; all daemons find the same ones
   without communication.  affinity receives their indexes in replicas, or -1.
   A prompt shorter than a block has none.  */
void bd_prefix_affinity_replicas (const struct bd_prefix *prefix,
                                  const uint64_t *replicas, uint32_t count,
                                  int32_t affinity[2]);

#endif

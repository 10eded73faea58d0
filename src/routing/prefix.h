/* Hints about which replica has which prompt prefix in its cache.  Pure.

   A prompt is cut into blocks; each block's hash covers all blocks before it.
   Hints come from what was sent where, and from the engines' cache events,
   which arrive late and with gaps.  So a hint only ever orders replicas that
   are otherwise fit, and it fades.  */

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
  GHashTable *hints; /* Block and replica -> when it was last there.  */
  uint32_t decay_ms;
  uint32_t max_hints;
};

void bd_prefix_table_init (struct bd_prefix_table *table, uint32_t decay_ms,
                           uint32_t max_hints);
void bd_prefix_table_finish (struct bd_prefix_table *table);

/* bd_prefix_hash(): the blocks of a prompt.  */
void bd_prefix_hash (struct bd_prefix *prefix, const char *prompt,
                     size_t size);

/* bd_prefix_record(): the prompt went to replica (a hash of its id and
   incarnation).  */
void bd_prefix_record (struct bd_prefix_table *table,
                       const struct bd_prefix *prefix, uint64_t replica,
                       int64_t now_ms);

/* bd_prefix_evicted(): an engine has said that a block is gone.  */
void bd_prefix_evicted (struct bd_prefix_table *table, uint64_t block,
                        uint64_t replica);

/* bd_prefix_cached_fraction(): the part of the prompt, from 0 to 1, that the
   replica is expected to have cached.  */
double bd_prefix_cached_fraction (struct bd_prefix_table *table,
                                  const struct bd_prefix *prefix,
                                  uint64_t replica, int64_t now_ms);

/* bd_prefix_affinity_replicas(): finds the two replicas where a prompt of this
   prefix is at home, by rank of its first block (rendezvous hashing); every
   daemon finds the same ones without a word.  homes holds their places in
   replicas, or -1. A prompt shorter than a block has none.  */
void bd_prefix_affinity_replicas (const struct bd_prefix *prefix,
                                  const uint64_t *replicas, uint32_t count,
                                  int32_t affinity[2]);

#endif

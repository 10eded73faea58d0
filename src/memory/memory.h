/* The account of the bytes that a process buffers for others: responses of
   endpoints, requests of callers, messages of other daemons.  Pure.

   A limit on each buffer does not limit their sum, so that each of them is a
   share of one account with a limit.  A share belongs to a source, for example
   an endpoint.  When the limit would be exceeded, the largest shares of the
   sources that hold the most are evicted, until there is some room: a source
   that sends without end loses its own shares, not those of the others.  */

#ifndef BD_MEMORY_MEMORY_H
#define BD_MEMORY_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bd_memory_share;

struct bd_memory
{
  size_t limit_bytes;
  size_t used_bytes; /* At most limit_bytes.  */
  uint64_t evictions;
  struct bd_memory_share *shares; /* Those with bytes.  */
};

/* What one buffer, or some that end together, take.  */
struct bd_memory_share
{
  struct bd_memory *memory;
  uint64_t source;
  size_t bytes;
  /* The share has been evicted and is empty: its owner must free the buffers
     and ask for no more bytes.  May be called by bd_memory_resize() for any
     share, also for the one that is resized.  */
  void (*evicted) (void *ctx);
  void *ctx;
  struct bd_memory_share *prev;
  struct bd_memory_share *next;
};

/* bd_memory_init(): an account without shares.  */
void bd_memory_init (struct bd_memory *memory, size_t limit_bytes);

/* bd_memory_join(): prepares an empty share, which the caller allocates.
   memory may be NULL: nothing is limited then.  */
void bd_memory_join (struct bd_memory_share *share, struct bd_memory *memory,
                     uint64_t source, void (*evicted) (void *ctx), void *ctx);

/* bd_memory_resize(): the share is to take this many bytes.  To be called
   before a buffer grows, and after it was freed.  Returns false if the share
   was evicted.  */
bool bd_memory_resize (struct bd_memory_share *share, size_t bytes);

/* bd_memory_leave(): empties the share, which may then be freed.  */
void bd_memory_leave (struct bd_memory_share *share);

#endif

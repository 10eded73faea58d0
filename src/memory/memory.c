/* Limits the bytes that a process buffers for others.  */

#include "memory/memory.h"

#include <glib.h>
#include <string.h>

enum
{
  /* Part of the limit that an eviction frees beyond what is asked for, so that
     the shares are not searched again for each further byte.  */
  ROOM_DIVISOR = 8
};

void
bd_memory_init (struct bd_memory *memory, size_t limit_bytes)
{
  memset (memory, 0, sizeof *memory);
  memory->limit_bytes = limit_bytes;
}

void
bd_memory_join (struct bd_memory_share *share, struct bd_memory *memory,
                uint64_t source, void (*evicted) (void *ctx), void *ctx)
{
  memset (share, 0, sizeof *share);
  share->memory = memory;
  share->source = source;
  share->evicted = evicted;
  share->ctx = ctx;
}

static void
link_share (struct bd_memory_share *share)
{
  share->prev = NULL;
  share->next = share->memory->shares;
  if (share->next != NULL)
    share->next->prev = share;
  share->memory->shares = share;
}

static void
unlink_share (struct bd_memory_share *share)
{
  if (share->prev != NULL)
    share->prev->next = share->next;
  else
    share->memory->shares = share->next;
  if (share->next != NULL)
    share->next->prev = share->prev;
}

static void
set_bytes (struct bd_memory_share *share, size_t bytes)
{
  if (share->bytes == 0 && bytes > 0)
    link_share (share);
  if (share->bytes > 0 && bytes == 0)
    unlink_share (share);
  share->memory->used_bytes += bytes - share->bytes;
  share->bytes = bytes;
}

/* What the shares of each source take: source -> bytes.  */
static GHashTable *
sum_by_source (const struct bd_memory *memory)
{
  GHashTable *sums = g_hash_table_new (NULL, NULL);

  for (const struct bd_memory_share *share = memory->shares; share != NULL;
       share = share->next)
    {
      gpointer source = GSIZE_TO_POINTER (share->source);
      size_t sum = GPOINTER_TO_SIZE (g_hash_table_lookup (sums, source));

      g_hash_table_insert (sums, source,
                           GSIZE_TO_POINTER (sum + share->bytes));
    }
  return sums;
}

static size_t
sum_of (GHashTable *sums, const struct bd_memory_share *share)
{
  return GPOINTER_TO_SIZE (
      g_hash_table_lookup (sums, GSIZE_TO_POINTER (share->source)));
}

/* The largest share of the source that takes the most.  */
static struct bd_memory_share *
find_largest (const struct bd_memory *memory, GHashTable *sums)
{
  struct bd_memory_share *largest = memory->shares;

  for (struct bd_memory_share *share = largest->next; share != NULL;
       share = share->next)
    {
      size_t sum = sum_of (sums, share);
      size_t largest_sum = sum_of (sums, largest);

      if (sum > largest_sum
          || (sum == largest_sum && share->bytes > largest->bytes))
        largest = share;
    }
  return largest;
}

static void
evict (struct bd_memory_share *share, GHashTable *sums)
{
  g_hash_table_insert (sums, GSIZE_TO_POINTER (share->source),
                       GSIZE_TO_POINTER (sum_of (sums, share) - share->bytes));
  set_bytes (share, 0);
  share->memory->evictions++;
  share->evicted (share->ctx);
}

/* Evicts shares until there is room.  Returns false if own is one of them.  */
static bool
make_room (struct bd_memory *memory, const struct bd_memory_share *own)
{
  GHashTable *sums = sum_by_source (memory);
  size_t room = memory->limit_bytes / ROOM_DIVISOR;
  bool is_own_left = true;

  while (memory->used_bytes > memory->limit_bytes - room)
    {
      struct bd_memory_share *share = find_largest (memory, sums);

      is_own_left = is_own_left && share != own;
      evict (share, sums);
    }
  g_hash_table_unref (sums);
  return is_own_left;
}

bool
bd_memory_resize (struct bd_memory_share *share, size_t bytes)
{
  struct bd_memory *memory = share->memory;

  if (memory == NULL)
    return true;
  set_bytes (share, bytes);
  return memory->used_bytes <= memory->limit_bytes
         || make_room (memory, share);
}

void
bd_memory_leave (struct bd_memory_share *share)
{
  if (share->memory != NULL)
    set_bytes (share, 0);
  share->memory = NULL;
}

/* A daemon's copy of the instance list, with a log of its changes.  Pure.

   Every change gets the next number of this daemon's log.  A peer that has
   applied the log up to some number receives what follows, in frames of
   bounded size; only a peer that starts, or that has followed the log of
   another daemon, receives all entries.

   The store orders its changes by (era, revision): the revisions of a store
   that was restored from a copy begin again below those already given out, and
   its era is higher.  A change with a lower (era, revision) than the stored
   entry is ignored.

   From the store:  bd_directory_put(), bd_directory_remove() for each change,
   or bd_directory_begin_list(), bd_directory_put() for each entry and
   bd_directory_end_list() for a complete list.
   From a peer:     bd_directory_apply().
   For a peer:      bd_directory_fill().  */

#ifndef BD_DIRECTORY_DIRECTORY_H
#define BD_DIRECTORY_DIRECTORY_H

#include "fleet/fleet.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Entries in a frame: about 25 KB.  */
  BD_DIRECTORY_FRAME_ENTRIES = 128,
  /* Records of removed entries that are kept.  A peer that has missed more
     receives the whole list.  */
  BD_DIRECTORY_MAX_REMOVED = 1024
};

/* Position in the change log of one daemon.  */
struct bd_directory_position
{
  uint64_t log; /* Identifies the log; 0 for none.  */
  uint64_t change;
  bool is_whole; /* Within a transfer of all entries.  */
};

/* One entry of the list, or the record of its removal.  */
struct bd_directory_record
{
  struct bd_endpoint_entry entry; /* The last one, in a removal.  */
  int64_t era;
  int64_t revision;
  bool is_removed;
};

/* Part of a log: the changes after from, up to and including to.  A transfer
   of all entries begins with a frame from 0.  After a frame with is_last, the
   receiver has all that the sender had.  */
struct bd_directory_frame
{
  uint64_t log;
  uint64_t from;
  uint64_t to;
  bool is_whole; /* Part of a transfer of all entries.  */
  bool is_last;
  /* The sender's list is complete as of this point of the store.  */
  int64_t era;
  int64_t revision;
  struct bd_directory_record *records;
  uint32_t record_count;
};

/* Called for each change that is applied, and for a drain that is learned
   after the entry was removed: the removal then has it.  */
typedef void bd_directory_listener (void *ctx,
                                    const struct bd_directory_record *record);

struct bd_directory
{
  GHashTable *records;     /* Id -> struct record, in directory.c.  */
  GQueue order;            /* All records, the last changed one at the end.  */
  uint64_t log;            /* Id of this daemon's log.  */
  uint64_t change;         /* Number of the last change.  */
  uint64_t oldest_removal; /* Removals up to this change are forgotten.  */
  uint32_t removed_count;
  /* The list, or the transfer of all entries, that is being received.  */
  uint32_t list_generation;
  int64_t list_era;
  int64_t list_revision;
  /* The list is complete as of this point of the store.  */
  int64_t complete_era;
  int64_t complete_revision;
  struct bd_directory_position source; /* Log that this copy follows.  */
  /* A record of the source was older than what is known here.  Its log does
     not show when the two become the same.  */
  bool has_refused;
  bool is_complete; /* A complete list has been received.  */
  /* Some entries are newer than the list that lacks them.  */
  bool has_unlisted;
  bd_directory_listener *listener;
  void *ctx;
};

/* bd_directory_init(): an empty directory.  log is a number that no other
   daemon and no earlier process uses; not 0.  */
void bd_directory_init (struct bd_directory *directory, uint64_t log,
                        bd_directory_listener *listener, void *ctx);
void bd_directory_finish (struct bd_directory *directory);

/* bd_directory_put(): an entry as the store had it at (era, revision).
   Returns whether it has changed the directory.  */
bool bd_directory_put (struct bd_directory *directory,
                       const struct bd_endpoint_entry *entry, int64_t era,
                       int64_t revision);

/* bd_directory_remove(): the entry was removed at (era, revision).  */
bool bd_directory_remove (struct bd_directory *directory, const char *id,
                          int64_t era, int64_t revision);

/* bd_directory_begin_list(), bd_directory_end_list(): between them, the
   entries of a complete list that the store returned at (era, revision) are
   put; the end removes the entries that were not.  */
void bd_directory_begin_list (struct bd_directory *directory, int64_t era,
                              int64_t revision);
void bd_directory_end_list (struct bd_directory *directory);

/* bd_directory_apply(): a frame of a peer's log.  Returns false when it does
   not follow the source position: a frame was lost or repeated.  */
bool bd_directory_apply (struct bd_directory *directory,
                         const struct bd_directory_frame *frame);

/* bd_directory_fill(): the changes that a peer at position lacks.  records has
   room for BD_DIRECTORY_FRAME_ENTRIES and belongs to the caller.  Returns
   false while this daemon has no complete list itself.  */
bool bd_directory_fill (const struct bd_directory *directory,
                        const struct bd_directory_position *position,
                        struct bd_directory_record *records,
                        struct bd_directory_frame *frame);

/* bd_directory_lists(): whether the list has an entry with this id.  */
bool bd_directory_lists (const struct bd_directory *directory, const char *id);

/* bd_directory_count(): number of entries.  */
uint32_t bd_directory_count (const struct bd_directory *directory);

/* bd_directory_foreach(): calls visit for every entry.  */
void bd_directory_foreach (const struct bd_directory *directory,
                           bd_directory_listener *visit, void *ctx);

#endif

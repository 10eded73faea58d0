/* The instance list and its change log.  */

#include "directory/directory.h"

#include "base/crash.h"

#include <string.h>

struct record
{
  struct bd_directory_record out;
  uint64_t change;
  uint32_t generation; /* Of the last list that had it.  */
  GList link;          /* In bd_directory.order.  */
  /* Entry of an earlier start that was taken for an old one after a restore of
     the store: its era, start and count of heartbeats.  */
  int64_t refused_era;
  int64_t refused_started_ms;
  int64_t refused_heartbeats;
};

static struct record *
find (const struct bd_directory *directory, const char *id)
{
  return g_hash_table_lookup (directory->records, id);
}

static bool
is_older (int64_t era, int64_t revision, const struct bd_directory_record *old)
{
  return era != old->era ? era < old->era : revision < old->revision;
}

static bool
has_same_member (const struct bd_endpoint_entry *a,
                 const struct bd_endpoint_entry *b)
{
  return a->member.state == b->member.state
         && a->member.epoch == b->member.epoch
         && a->member.rank == b->member.rank
         && strcmp (a->member.group, b->member.group) == 0
         && strcmp (a->member.model, b->member.model) == 0;
}

static bool
has_same_staged (const struct bd_endpoint_entry *a,
                 const struct bd_endpoint_entry *b)
{
  if (a->staged_count != b->staged_count)
    return false;
  for (uint32_t i = 0; i < a->staged_count; i++)
    if (strcmp (a->staged[i], b->staged[i]) != 0)
      return false;
  return true;
}

/* Whether both entries leave the cold time as it is known.  A time that is
   left counts from the heartbeat that names it.  */
static bool
has_same_cold_time (const struct bd_endpoint_entry *a,
                    const struct bd_endpoint_entry *b)
{
  return a->has_cold_remaining == b->has_cold_remaining
         && a->cold_remaining_ms == b->cold_remaining_ms
         && (a->cold_remaining_ms == 0 || a->heartbeats == b->heartbeats);
}

/* Whether two entries differ in nothing but the count of heartbeats, which
   alone is no change.  */
static bool
is_same_entry (const struct bd_endpoint_entry *a,
               const struct bd_endpoint_entry *b)
{
  return a->port == b->port && a->slots == b->slots
         && a->is_draining == b->is_draining && a->started_ms == b->started_ms
         && strcmp (a->address, b->address) == 0
         && strcmp (a->service, b->service) == 0
         && strcmp (a->data_centre, b->data_centre) == 0
         && strcmp (a->domain, b->domain) == 0 && has_same_member (a, b)
         && has_same_staged (a, b) && has_same_cold_time (a, b);
}

/* Whether an entry is of an instance that is known to have started later, and
   that has not written it since a restore of the store.  An instance that
   started again on a clock that was set back writes more heartbeats.  */
static bool
is_of_past_start (const struct bd_directory_record *in,
                  const struct record *record)
{
  return in->entry.started_ms < record->out.entry.started_ms
         && (record->refused_era != in->era
             || record->refused_started_ms != in->entry.started_ms
             || in->entry.heartbeats <= record->refused_heartbeats);
}

/* Whether an entry is an old one that is back because the store was restored
   from a copy: its instance has written nothing since.  Its changes that are
   known here were written with a higher count of heartbeats, or in a later
   start.  */
static bool
is_leftover (const struct bd_directory_record *in, const struct record *record)
{
  const struct bd_directory_record *known = &record->out;

  if (in->is_removed || in->era <= known->era || in->entry.heartbeats == 0)
    return false;
  return in->entry.started_ms == known->entry.started_ms
             ? in->entry.heartbeats <= known->entry.heartbeats
             : is_of_past_start (in, record);
}

static void
note_leftover (struct record *record, const struct bd_directory_record *in)
{
  record->refused_era = in->era;
  record->refused_started_ms = in->entry.started_ms;
  record->refused_heartbeats = in->entry.heartbeats;
}

/* Moves the record to the end of the log and reports the change.  */
static void
append_change (struct bd_directory *directory, struct record *record)
{
  g_queue_unlink (&directory->order, &record->link);
  g_queue_push_tail_link (&directory->order, &record->link);
  record->change = ++directory->change;
  directory->listener (directory->ctx, &record->out);
}

static void
forget_old_removals (struct bd_directory *directory)
{
  GList *next;

  for (GList *link = directory->order.head;
       link != NULL && directory->removed_count > BD_DIRECTORY_MAX_REMOVED;
       link = next)
    {
      struct record *record = link->data;

      next = link->next;
      if (!record->out.is_removed)
        continue;
      directory->oldest_removal = record->change;
      directory->removed_count--;
      g_queue_unlink (&directory->order, link);
      g_hash_table_remove (directory->records, record->out.entry.id);
    }
}

/* Stores a record that is known to be new.  */
static void
store (struct bd_directory *directory, struct record *record,
       const struct bd_directory_record *in)
{
  bool was_removed = record != NULL && record->out.is_removed;

  if (record == NULL)
    {
      record = g_new0 (struct record, 1);
      record->link.data = record;
      bd_name_copy (record->out.entry.id, in->entry.id);
      g_queue_push_tail_link (&directory->order, &record->link);
      g_hash_table_insert (directory->records, record->out.entry.id, record);
    }
  record->out = *in;
  record->generation = directory->list_generation;
  append_change (directory, record);
  directory->removed_count += in->is_removed;
  directory->removed_count -= was_removed;
}

/* Applies a change that is not older than what is known.  Returns whether it
   is new.  */
static bool
apply_newer (struct bd_directory *directory,
             const struct bd_directory_record *in)
{
  struct record *record = find (directory, in->entry.id);

  if (record == NULL && in->is_removed)
    return false;
  if (record != NULL && is_leftover (in, record))
    {
      note_leftover (record, in);
      if (!record->out.is_removed)
        record->generation = directory->list_generation;
      return false;
    }
  if (record != NULL && !in->is_removed)
    record->generation = directory->list_generation;
  if (record != NULL && is_older (in->era, in->revision, &record->out))
    return false;
  if (record != NULL && record->out.is_removed == in->is_removed
      && (in->is_removed || is_same_entry (&record->out.entry, &in->entry)))
    {
      if (!in->is_removed)
        record->out.entry.heartbeats = in->entry.heartbeats;
      record->out.era = in->era;
      record->out.revision = in->revision;
      return false;
    }
  store (directory, record, in);
  return true;
}

/* An instance that drains does not stop doing so, so a drain counts in
   whichever order it comes, also after the removal of the entry.  */
static bool
note_drain (struct bd_directory *directory,
            const struct bd_directory_record *in)
{
  struct record *record = find (directory, in->entry.id);

  if (!in->entry.is_draining || record == NULL || record->out.entry.is_draining
      || record->out.entry.started_ms != in->entry.started_ms)
    return false;
  record->out.entry.is_draining = true;
  append_change (directory, record);
  return true;
}

/* Applies one change and frees no record.  Returns whether it has changed the
   directory.  */
static bool
apply_change (struct bd_directory *directory,
              const struct bd_directory_record *in)
{
  bool is_newer = apply_newer (directory, in);

  return note_drain (directory, in) || is_newer;
}

/* Applies one change and forgets the removals that are too many.  */
static bool
change (struct bd_directory *directory, const struct bd_directory_record *in)
{
  bool has_changed = apply_change (directory, in);

  forget_old_removals (directory);
  return has_changed;
}

/* Whether a record of a peer is older than a complete list that lacked it.  */
static bool
is_of_older_list (const struct bd_directory *directory,
                  const struct bd_directory_record *in)
{
  const struct record *known = find (directory, in->entry.id);

  if (!directory->is_complete || (known != NULL && !known->out.is_removed))
    return false;
  return in->era != directory->complete_era
             ? in->era < directory->complete_era
             : in->revision <= directory->complete_revision;
}

static void
note_complete (struct bd_directory *directory)
{
  directory->is_complete = true;
  if (directory->list_era < directory->complete_era
      || (directory->list_era == directory->complete_era
          && directory->list_revision < directory->complete_revision))
    return;
  directory->complete_era = directory->list_era;
  directory->complete_revision = directory->list_revision;
}

/* Removes the entries that the list lacks.  Those that are newer are kept
   until a later list, or a later state of the source, lacks them too.  */
static void
remove_unlisted (struct bd_directory *directory)
{
  uint64_t last = directory->change;
  GList *next;

  directory->has_unlisted = false;
  for (GList *link = directory->order.head; link != NULL; link = next)
    {
      struct record *record = link->data;
      struct bd_directory_record removal
          = { .era = directory->list_era,
              .revision = directory->list_revision,
              .is_removed = true };

      next = link->next;
      if (record->change > last)
        break;
      if (record->out.is_removed
          || record->generation == directory->list_generation)
        continue;
      removal.entry = record->out.entry;
      if (!apply_change (directory, &removal))
        directory->has_unlisted = true;
    }
  forget_old_removals (directory);
  note_complete (directory);
}

void
bd_directory_init (struct bd_directory *directory, uint64_t log,
                   bd_directory_listener *listener, void *ctx)
{
  BD_ASSERT (log != 0);
  memset (directory, 0, sizeof *directory);
  directory->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  g_queue_init (&directory->order);
  directory->log = log;
  directory->listener = listener;
  directory->ctx = ctx;
}

void
bd_directory_finish (struct bd_directory *directory)
{
  if (directory->records != NULL)
    g_hash_table_destroy (directory->records);
  directory->records = NULL;
}

bool
bd_directory_put (struct bd_directory *directory,
                  const struct bd_endpoint_entry *entry, int64_t era,
                  int64_t revision)
{
  struct bd_directory_record record
      = { .entry = *entry, .era = era, .revision = revision };

  return change (directory, &record);
}

bool
bd_directory_remove (struct bd_directory *directory, const char *id,
                     int64_t era, int64_t revision)
{
  const struct record *known = find (directory, id);
  struct bd_directory_record record
      = { .era = era, .revision = revision, .is_removed = true };

  if (known == NULL)
    return false;
  record.entry = known->out.entry;
  return change (directory, &record);
}

void
bd_directory_begin_list (struct bd_directory *directory, int64_t era,
                         int64_t revision)
{
  directory->list_generation++;
  directory->list_era = era;
  directory->list_revision = revision;
}

void
bd_directory_end_list (struct bd_directory *directory)
{
  remove_unlisted (directory);
  /* What was read from the store can be newer than the log that this copy has
     followed, which then never mentions its removal.  */
  directory->source = (struct bd_directory_position){ .log = 0 };
}

/* Applies a record of a peer, unless something newer is known.  */
static void
apply_record (struct bd_directory *directory,
              const struct bd_directory_record *in)
{
  const struct record *record;

  if (is_of_older_list (directory, in))
    note_drain (directory, in);
  else
    change (directory, in);
  record = find (directory, in->entry.id);
  if (in->is_removed)
    return;
  if (record == NULL || record->out.is_removed
      || !is_same_entry (&record->out.entry, &in->entry))
    directory->has_refused = true;
}

bool
bd_directory_apply (struct bd_directory *directory,
                    const struct bd_directory_frame *frame)
{
  struct bd_directory_position *source = &directory->source;

  if (frame->is_whole && frame->from == 0)
    bd_directory_begin_list (directory, 0, 0);
  else if (frame->log != source->log || frame->from != source->change
           || frame->is_whole != source->is_whole)
    return false;
  for (uint32_t i = 0; i < frame->record_count; i++)
    apply_record (directory, &frame->records[i]);
  *source = (struct bd_directory_position){
    .log = frame->log,
    .change = frame->to,
    .is_whole = frame->is_whole && !frame->is_last,
  };
  if (!frame->is_last)
    return true;
  directory->list_era = frame->era;
  directory->list_revision = frame->revision;
  if (frame->is_whole || directory->has_unlisted)
    remove_unlisted (directory);
  if (directory->has_refused)
    source->log = 0;
  directory->has_refused = false;
  return true;
}

/* The first record after a change, or NULL.  Peers lack only the last changes,
   so the search begins at the end.  */
static const GList *
find_after (const struct bd_directory *directory, uint64_t change)
{
  const GList *found = NULL;

  for (const GList *link = directory->order.tail; link != NULL;
       link = link->prev)
    {
      const struct record *record = link->data;

      if (record->change <= change)
        break;
      found = link;
    }
  return found;
}

bool
bd_directory_fill (const struct bd_directory *directory,
                   const struct bd_directory_position *position,
                   struct bd_directory_record *records,
                   struct bd_directory_frame *frame)
{
  bool can_continue = position->log == directory->log
                      && position->change <= directory->change
                      && (position->is_whole
                          || position->change >= directory->oldest_removal);
  const GList *link;

  memset (frame, 0, sizeof *frame);
  if (!directory->is_complete)
    return false;
  frame->log = directory->log;
  frame->is_whole = !can_continue || position->is_whole;
  frame->from = can_continue ? position->change : 0;
  frame->records = records;
  frame->to = directory->change;
  frame->era = directory->complete_era;
  frame->revision = directory->complete_revision;
  frame->is_last = true;
  for (link = find_after (directory, frame->from); link != NULL;
       link = link->next)
    {
      const struct record *record = link->data;

      if (frame->record_count == BD_DIRECTORY_FRAME_ENTRIES)
        {
          frame->to = ((const struct record *)link->prev->data)->change;
          frame->is_last = false;
          return true;
        }
      records[frame->record_count++] = record->out;
    }
  return true;
}

bool
bd_directory_lists (const struct bd_directory *directory, const char *id)
{
  const struct record *record = find (directory, id);

  return record != NULL && !record->out.is_removed;
}

uint32_t
bd_directory_count (const struct bd_directory *directory)
{
  return (uint32_t)g_queue_get_length ((GQueue *)&directory->order)
         - directory->removed_count;
}

void
bd_directory_foreach (const struct bd_directory *directory,
                      bd_directory_listener *visit, void *ctx)
{
  for (const GList *link = directory->order.head; link != NULL;
       link = link->next)
    {
      const struct record *record = link->data;

      if (!record->out.is_removed)
        visit (ctx, &record->out);
    }
}

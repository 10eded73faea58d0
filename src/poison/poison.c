/* The table of evidence.  */

#include "poison/poison.h"

#include <string.h>

enum
{
  KIND_BITS = 2,
  KIND_MASK = (1 << KIND_BITS) - 1,
  KINDS = BD_POISON_PART + 1,
  MAX_ENTRIES = 10000,
  MAX_COMPLETED = 4096,
  MAX_DISMISSED = 4096,
  /* Crashes after which a subject is blocked even if it has completed
     lately, or if another one is as likely.  */
  CRASHES_WITHOUT_DOUBT = 5,
  REQUESTS_FOR_PART = 2,
  MAX_UNEXPLAINED = 64,
  MAX_TIES = 8
};

/* Crashes after which a subject is blocked, by kind.  */
static const uint32_t crashes_to_block[KINDS] = {
  [BD_POISON_REQUEST] = 2,
  [BD_POISON_PATH] = 3,
  [BD_POISON_PART] = 3,
};

struct evidence
{
  uint64_t target;
  uint64_t request;
  uint64_t reporter;
  int64_t sent_ms;
  int64_t crashed_ms;
  bool is_cleared;
};

/* Crashes of one target for which paths and parts are blocked, by kind.  Those
   of a kind are ordered by their time; values are struct blocked_crash.  NULL
   for a kind without any.  */
struct blocked_target
{
  uint64_t target;
  GSequence *crashes[KINDS];
};

struct blocked_crash
{
  uint64_t subject;
  int64_t crashed_ms;
};

/* Ends of runs at the target since since_ms are no evidence.  */
struct dismissal
{
  uint64_t target;
  int64_t since_ms;
};

struct poison_entry
{
  uint64_t subject;
  bool is_blocked;
  /* Not blocked, with crashes enough for a block if none is explained.  */
  bool is_suspect;
  uint32_t count;
  uint32_t capacity;
  struct evidence *evidence; /* By crashed_ms.  */
};

static enum bd_poison_kind
kind_of (uint64_t subject)
{
  return (enum bd_poison_kind) (subject & KIND_MASK);
}

uint64_t
bd_poison_subject (enum bd_poison_kind kind, uint64_t hash)
{
  return hash << KIND_BITS | kind;
}

static GHashTable *
make_set (GDestroyNotify free_value)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_value);
}

static void
free_entry (gpointer value)
{
  struct poison_entry *entry = value;

  g_free (entry->evidence);
  g_free (entry);
}

static void
free_blocked_target (gpointer value)
{
  struct blocked_target *blocked = value;

  for (uint32_t kind = 0; kind < KINDS; kind++)
    if (blocked->crashes[kind] != NULL)
      g_sequence_free (blocked->crashes[kind]);
  g_free (blocked);
}

void
bd_poison_init (struct bd_poison_table *table, uint32_t retention_ms)
{
  table->entries = make_set (free_entry);
  table->blocked = make_set (free_blocked_target);
  table->completed[0] = make_set (g_free);
  table->completed[1] = make_set (g_free);
  table->dismissed[0] = make_set (g_free);
  table->dismissed[1] = make_set (g_free);
  table->retention_ms = retention_ms;
  table->suspect_count = 0;
  table->expired_ms = INT64_MIN;
}

void
bd_poison_finish (struct bd_poison_table *table)
{
  g_hash_table_destroy (table->entries);
  g_hash_table_destroy (table->blocked);
  g_hash_table_destroy (table->completed[0]);
  g_hash_table_destroy (table->completed[1]);
  g_hash_table_destroy (table->dismissed[0]);
  g_hash_table_destroy (table->dismissed[1]);
}

static struct poison_entry *
find (const struct bd_poison_table *table, uint64_t subject)
{
  return g_hash_table_lookup (table->entries, &subject);
}

static int64_t
expires_ms (const struct bd_poison_table *table,
            const struct evidence *evidence)
{
  return evidence->crashed_ms + table->retention_ms;
}

static bool
is_current (const struct bd_poison_table *table,
            const struct evidence *evidence, int64_t now_ms)
{
  return !evidence->is_cleared && expires_ms (table, evidence) > now_ms;
}

static struct evidence *
find_evidence (struct poison_entry *entry, uint64_t target)
{
  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->evidence[i].target == target)
      return &entry->evidence[i];
  return NULL;
}

static gint
compare_crashes (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct blocked_crash *left = a;
  const struct blocked_crash *right = b;

  (void)ctx;
  if (left->crashed_ms != right->crashed_ms)
    return left->crashed_ms < right->crashed_ms ? -1 : 1;
  if (left->subject != right->subject)
    return left->subject < right->subject ? -1 : 1;
  return 0;
}

/* The crashes of the target for which subjects of this kind are blocked.  */
static GSequence *
find_or_add_crashes (struct bd_poison_table *table, uint64_t target,
                     enum bd_poison_kind kind)
{
  struct blocked_target *blocked
      = g_hash_table_lookup (table->blocked, &target);

  if (blocked == NULL)
    {
      blocked = g_new0 (struct blocked_target, 1);
      blocked->target = target;
      g_hash_table_insert (table->blocked, &blocked->target, blocked);
    }
  if (blocked->crashes[kind] == NULL)
    blocked->crashes[kind] = g_sequence_new (g_free);
  return blocked->crashes[kind];
}

/* Whether the evidence of this entry explains crashes of others, if it is
   current.  */
static bool
explains_others (const struct poison_entry *entry,
                 const struct evidence *evidence)
{
  return entry->is_blocked && kind_of (entry->subject) != BD_POISON_REQUEST
         && !evidence->is_cleared;
}

static void
add_blocked (struct bd_poison_table *table, const struct poison_entry *entry,
             const struct evidence *evidence)
{
  struct blocked_crash *crash;
  GSequence *crashes;

  if (!explains_others (entry, evidence))
    return;
  crashes = find_or_add_crashes (table, evidence->target,
                                 kind_of (entry->subject));
  crash = g_new (struct blocked_crash, 1);
  *crash = (struct blocked_crash){ entry->subject, evidence->crashed_ms };
  g_sequence_insert_sorted (crashes, crash, compare_crashes, NULL);
}

static bool
is_empty (const struct blocked_target *blocked)
{
  for (uint32_t kind = 0; kind < KINDS; kind++)
    if (blocked->crashes[kind] != NULL)
      return false;
  return true;
}

static void
remove_blocked (struct bd_poison_table *table,
                const struct poison_entry *entry,
                const struct evidence *evidence)
{
  struct blocked_crash crash = { entry->subject, evidence->crashed_ms };
  struct blocked_target *blocked;
  GSequence **crashes;

  if (!explains_others (entry, evidence))
    return;
  blocked = g_hash_table_lookup (table->blocked, &evidence->target);
  crashes = &blocked->crashes[kind_of (entry->subject)];
  g_sequence_remove (
      g_sequence_lookup (*crashes, &crash, compare_crashes, NULL));
  if (g_sequence_is_empty (*crashes))
    g_clear_pointer (crashes, g_sequence_free);
  if (is_empty (blocked))
    g_hash_table_remove (table->blocked, &blocked->target);
}

/* Whether one of these crashes is current and of another subject.  */
static bool
has_other (const struct bd_poison_table *table, GSequence *crashes,
           const struct poison_entry *entry, int64_t now_ms)
{
  GSequenceIter *iter = g_sequence_get_end_iter (crashes);

  while (!g_sequence_iter_is_begin (iter))
    {
      const struct blocked_crash *crash;

      iter = g_sequence_iter_prev (iter);
      crash = g_sequence_get (iter);
      if (crash->crashed_ms + table->retention_ms <= now_ms)
        return false;
      if (crash->subject != entry->subject)
        return true;
    }
  return false;
}

/* Whether the crash of the target is explained by another subject.  A request
   that crashed two endpoints does not explain why: another request with the
   same part may do the same.  */
static bool
is_explained (const struct bd_poison_table *table,
              const struct poison_entry *entry, uint64_t target,
              int64_t now_ms)
{
  const struct blocked_target *blocked
      = g_hash_table_lookup (table->blocked, &target);

  if (blocked == NULL)
    return false;
  for (uint32_t kind = kind_of (entry->subject); kind < KINDS; kind++)
    if (blocked->crashes[kind] != NULL
        && has_other (table, blocked->crashes[kind], entry, now_ms))
      return true;
  return false;
}

/* Returns the number of crashes that speak against the subject.  */
static uint32_t
count_crashes (const struct bd_poison_table *table,
               const struct poison_entry *entry, int64_t now_ms)
{
  bool is_any = kind_of (entry->subject) == BD_POISON_REQUEST;
  int64_t last_ms = INT64_MIN;
  uint32_t count = 0;

  for (uint32_t i = 0; i < entry->count; i++)
    {
      const struct evidence *evidence = &entry->evidence[i];

      if (!is_current (table, evidence, now_ms)
          || is_explained (table, entry, evidence->target, now_ms)
          || (!is_any && evidence->sent_ms < last_ms))
        continue;
      last_ms = evidence->crashed_ms;
      count++;
    }
  return count;
}

/* Whether enough different requests crashed with the subject.  */
static bool
has_enough_requests (const struct bd_poison_table *table,
                     const struct poison_entry *entry, int64_t now_ms)
{
  uint64_t requests[REQUESTS_FOR_PART];
  uint32_t count = 0;

  if (kind_of (entry->subject) != BD_POISON_PART)
    return true;
  for (uint32_t i = 0; i < entry->count && count < REQUESTS_FOR_PART; i++)
    if (is_current (table, &entry->evidence[i], now_ms)
        && (count == 0 || requests[0] != entry->evidence[i].request))
      requests[count++] = entry->evidence[i].request;
  return count == REQUESTS_FOR_PART;
}

static bool
has_completed_lately (const struct bd_poison_table *table, uint64_t subject)
{
  return g_hash_table_contains (table->completed[0], &subject)
         || g_hash_table_contains (table->completed[1], &subject);
}

/* Makes room in the younger generation of a set when it has its maximum.  */
static void
rotate (GHashTable *generations[2], uint32_t max)
{
  GHashTable *oldest = generations[1];

  if (g_hash_table_size (generations[0]) < max)
    return;
  g_hash_table_remove_all (oldest);
  generations[1] = generations[0];
  generations[0] = oldest;
}

static void
note_completed (struct bd_poison_table *table, uint64_t subject)
{
  uint64_t *key;

  if (g_hash_table_contains (table->completed[0], &subject))
    return;
  rotate (table->completed, MAX_COMPLETED);
  key = g_new (uint64_t, 1);
  *key = subject;
  g_hash_table_insert (table->completed[0], key, key);
}

/* Whether other has crashed wherever entry has.  */
static bool
covers (const struct bd_poison_table *table, struct poison_entry *other,
        const struct poison_entry *entry, int64_t now_ms)
{
  for (uint32_t i = 0; i < entry->count; i++)
    {
      const struct evidence *evidence = &entry->evidence[i];
      const struct evidence *match = find_evidence (other, evidence->target);

      if (is_current (table, evidence, now_ms)
          && (match == NULL || !is_current (table, match, now_ms)))
        return false;
    }
  return true;
}

static uint32_t
threshold_of (const struct bd_poison_table *table,
              const struct poison_entry *entry)
{
  if (kind_of (entry->subject) != BD_POISON_REQUEST
      && has_completed_lately (table, entry->subject))
    return CRASHES_WITHOUT_DOUBT;
  return crashes_to_block[kind_of (entry->subject)];
}

static bool
should_block (const struct bd_poison_table *table,
              const struct poison_entry *entry, int64_t now_ms)
{
  return count_crashes (table, entry, now_ms) >= threshold_of (table, entry)
         && has_enough_requests (table, entry, now_ms);
}

/* Follows a change of the entry.  */
static void
update_suspect (struct bd_poison_table *table, struct poison_entry *entry)
{
  uint32_t count = 0;
  bool is_suspect;

  for (uint32_t i = 0; i < entry->count; i++)
    count += !entry->evidence[i].is_cleared;
  is_suspect = !entry->is_blocked
               && count >= crashes_to_block[kind_of (entry->subject)];
  table->suspect_count += is_suspect;
  table->suspect_count -= entry->is_suspect;
  entry->is_suspect = is_suspect;
}

static void
unblock (struct bd_poison_table *table, struct poison_entry *entry)
{
  for (uint32_t i = 0; i < entry->count; i++)
    remove_blocked (table, entry, &entry->evidence[i]);
  entry->is_blocked = false;
  update_suspect (table, entry);
}

static void
block (struct bd_poison_table *table, struct poison_entry *entry)
{
  entry->is_blocked = true;
  for (uint32_t i = 0; i < entry->count; i++)
    add_blocked (table, entry, &entry->evidence[i]);
  update_suspect (table, entry);
}

static uint32_t
count_evidence (const struct bd_poison_table *table,
                const struct poison_entry *entry, int64_t now_ms)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < entry->count; i++)
    count += is_current (table, &entry->evidence[i], now_ms);
  return count;
}

/* Whether other is as likely to be the cause as entry: it has crashed wherever
   entry has, and has not completed lately unless entry has, too.  */
static bool
is_as_likely (const struct bd_poison_table *table, struct poison_entry *other,
              const struct poison_entry *entry, int64_t now_ms)
{
  return other != entry && !other->is_blocked
         && kind_of (other->subject) >= kind_of (entry->subject)
         && threshold_of (table, other) <= threshold_of (table, entry)
         && count_evidence (table, other, now_ms)
                >= count_evidence (table, entry, now_ms)
         && covers (table, other, entry, now_ms);
}

/* A subject of a list that may have to be blocked.  */
struct suspect
{
  struct poison_entry *entry;
  uint32_t crashes; /* At least as many as there are now.  */
  uint32_t index;   /* In the list.  */
};

/* Finds the subjects to block among those of a list, the likeliest first.
   While it runs, subjects are only blocked, so that crashes get explained but
   none ceases to be.  */
struct search
{
  struct bd_poison_table *table;
  int64_t now_ms;
  GSequence *suspects; /* The likeliest first.  */
  /* Target -> the paths and parts among the table's suspects that crashed it,
     in the order of the table, for the targets of the search's suspects.  NULL
     before the first use.  */
  GHashTable *sharers;
};

static gint
compare_suspects (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct suspect *left = a;
  const struct suspect *right = b;

  (void)ctx;
  if (left->crashes != right->crashes)
    return left->crashes > right->crashes ? -1 : 1;
  if (left->index != right->index)
    return left->index < right->index ? -1 : 1;
  return 0;
}

static void
add_suspect (struct search *search, struct poison_entry *entry, uint32_t index)
{
  struct suspect *suspect = g_new (struct suspect, 1);

  suspect->entry = entry;
  suspect->crashes = count_crashes (search->table, entry, search->now_ms);
  suspect->index = index;
  g_sequence_append (search->suspects, suspect);
}

static void
search_init (struct search *search, struct bd_poison_table *table,
             const struct bd_poison_evidence *items, uint32_t count,
             int64_t now_ms)
{
  GHashTable *seen = g_hash_table_new (NULL, NULL);

  *search = (struct search){ .table = table,
                             .now_ms = now_ms,
                             .suspects = g_sequence_new (g_free) };
  for (uint32_t i = 0; i < count; i++)
    {
      struct poison_entry *entry = find (table, items[i].subject);

      if (entry != NULL && entry->is_suspect
          && should_block (table, entry, now_ms)
          && g_hash_table_add (seen, entry))
        add_suspect (search, entry, i);
    }
  g_sequence_sort (search->suspects, compare_suspects, NULL);
  g_hash_table_destroy (seen);
}

static void
search_finish (struct search *search)
{
  g_sequence_free (search->suspects);
  if (search->sharers != NULL)
    g_hash_table_destroy (search->sharers);
}

static void
free_sharers (gpointer value)
{
  g_ptr_array_free (value, TRUE);
}

/* Makes an empty list of sharers for each target of the entry.  */
static void
add_targets (struct search *search, const struct poison_entry *entry)
{
  for (uint32_t i = 0; i < entry->count; i++)
    {
      const uint64_t *target = &entry->evidence[i].target;

      if (!g_hash_table_contains (search->sharers, target))
        g_hash_table_insert (search->sharers, (gpointer)target,
                             g_ptr_array_new ());
    }
}

/* Adds the entry to the lists of its targets.  */
static void
add_sharer (struct search *search, struct poison_entry *entry)
{
  for (uint32_t i = 0; i < entry->count; i++)
    {
      GPtrArray *list
          = g_hash_table_lookup (search->sharers, &entry->evidence[i].target);

      if (list != NULL
          && is_current (search->table, &entry->evidence[i], search->now_ms))
        g_ptr_array_add (list, entry);
    }
}

/* What is as likely as a suspect has as many crashes, so that it is one of the
   table's suspects, too.  */
static void
list_sharers (struct search *search)
{
  GHashTableIter table_iter;
  gpointer value;

  search->sharers = make_set (free_sharers);
  for (GSequenceIter *iter = g_sequence_get_begin_iter (search->suspects);
       !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      const struct suspect *suspect = g_sequence_get (iter);

      if (kind_of (suspect->entry->subject) != BD_POISON_REQUEST)
        add_targets (search, suspect->entry);
    }
  g_hash_table_iter_init (&table_iter, search->table->entries);
  while (g_hash_table_iter_next (&table_iter, NULL, &value))
    {
      struct poison_entry *entry = value;

      if (entry->is_suspect && kind_of (entry->subject) != BD_POISON_REQUEST)
        add_sharer (search, entry);
    }
}

/* Returns the shortest list of sharers of a target whose crash speaks against
   the entry.  Whatever has crashed wherever the entry has is in it.  */
static const GPtrArray *
find_sharers (struct search *search, const struct poison_entry *entry)
{
  const GPtrArray *shortest = NULL;

  if (search->sharers == NULL)
    list_sharers (search);
  for (uint32_t i = 0; i < entry->count; i++)
    {
      const struct evidence *evidence = &entry->evidence[i];
      const GPtrArray *list;

      if (!is_current (search->table, evidence, search->now_ms)
          || is_explained (search->table, entry, evidence->target,
                           search->now_ms))
        continue;
      list = g_hash_table_lookup (search->sharers, &evidence->target);
      if (shortest == NULL || list->len < shortest->len)
        shortest = list;
    }
  return shortest;
}

/* Stores up to max other subjects that are as likely to be the cause.  */
static uint32_t
find_as_likely (struct search *search, const struct poison_entry *entry,
                struct poison_entry **found, uint32_t max)
{
  const GPtrArray *sharers = find_sharers (search, entry);
  uint32_t count = 0;

  for (uint32_t i = 0; i < sharers->len && count < max; i++)
    {
      struct poison_entry *other = g_ptr_array_index (sharers, i);

      if (is_as_likely (search->table, other, entry, search->now_ms))
        found[count++] = other;
    }
  return count;
}

/* Whether the subject has to wait, since another one is as likely.  It waits
   to the end of the search: a block of the other one explains its crashes.  */
static bool
is_ambiguous (struct search *search, const struct suspect *suspect)
{
  struct poison_entry *other;

  return suspect->crashes < CRASHES_WITHOUT_DOUBT
         && kind_of (suspect->entry->subject) != BD_POISON_REQUEST
         && find_as_likely (search, suspect->entry, &other, 1) > 0;
}

/* Counts the crashes of the first suspect again, since the blocks of others
   may explain some by now.  Returns whether it is still the first.  */
static bool
is_first_still (struct search *search, GSequenceIter *first)
{
  struct suspect *suspect = g_sequence_get (first);
  uint32_t crashes
      = count_crashes (search->table, suspect->entry, search->now_ms);

  if (crashes == suspect->crashes)
    return true;
  suspect->crashes = crashes;
  g_sequence_sort_changed (first, compare_suspects, NULL);
  return g_sequence_get_begin_iter (search->suspects) == first;
}

/* Returns the subject with the most crashes among those to block, or NULL; the
   first in the list among those with as many.  */
static struct poison_entry *
find_likeliest (struct search *search)
{
  GSequenceIter *first;

  while (!g_sequence_iter_is_end (
      first = g_sequence_get_begin_iter (search->suspects)))
    {
      const struct suspect *suspect = g_sequence_get (first);

      if (!is_first_still (search, first))
        continue;
      if (suspect->entry->is_suspect
          && should_block (search->table, suspect->entry, search->now_ms)
          && !is_ambiguous (search, suspect))
        return suspect->entry;
      g_sequence_remove (first);
    }
  return NULL;
}

/* Blocks the subject, and those that are as likely.  Each block may
   explain the crashes of others.  */
static void
block_with_ties (struct search *search, struct poison_entry *entry)
{
  struct poison_entry *ties[MAX_TIES];
  uint32_t count = 0;

  if (kind_of (entry->subject) != BD_POISON_REQUEST)
    count = find_as_likely (search, entry, ties, MAX_TIES);
  block (search->table, entry);
  for (uint32_t i = 0; i < count; i++)
    block (search->table, ties[i]);
}

static void
block_likeliest (struct bd_poison_table *table,
                 const struct bd_poison_evidence *items, uint32_t count,
                 int64_t now_ms)
{
  struct search search;
  struct poison_entry *entry;

  search_init (&search, table, items, count, now_ms);
  while ((entry = find_likeliest (&search)) != NULL)
    block_with_ties (&search, entry);
  search_finish (&search);
}

/* Removes the evidence that has expired.  Returns whether none is left.  */
static bool
expire (struct bd_poison_table *table, struct poison_entry *entry,
        int64_t now_ms)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < entry->count; i++)
    if (expires_ms (table, &entry->evidence[i]) > now_ms)
      entry->evidence[kept++] = entry->evidence[i];
    else
      remove_blocked (table, entry, &entry->evidence[i]);
  entry->count = kept;
  if (kept == 0 && entry->is_blocked)
    unblock (table, entry);
  update_suspect (table, entry);
  return kept == 0;
}

struct expiry
{
  struct bd_poison_table *table;
  int64_t now_ms;
};

static gboolean
expire_entry (gpointer key, gpointer value, gpointer ctx)
{
  struct expiry *expiry = ctx;

  (void)key;
  return expire (expiry->table, value, expiry->now_ms);
}

static struct poison_entry *
find_or_add (struct bd_poison_table *table, uint64_t subject, int64_t now_ms)
{
  struct poison_entry *entry = find (table, subject);
  struct expiry expiry = { table, now_ms };

  if (entry != NULL)
    {
      expire (table, entry, now_ms);
      return entry;
    }
  if (g_hash_table_size (table->entries) >= MAX_ENTRIES
      && now_ms > table->expired_ms)
    {
      g_hash_table_foreach_remove (table->entries, expire_entry, &expiry);
      table->expired_ms = now_ms;
    }
  if (g_hash_table_size (table->entries) >= MAX_ENTRIES)
    return NULL;
  entry = g_new0 (struct poison_entry, 1);
  entry->subject = subject;
  g_hash_table_insert (table->entries, &entry->subject, entry);
  return entry;
}

static void
remove_evidence (struct poison_entry *entry, struct evidence *evidence)
{
  size_t index = (size_t)(evidence - entry->evidence);

  entry->count--;
  memmove (evidence, evidence + 1,
           (entry->count - index) * sizeof entry->evidence[0]);
}

/* Finds a place that evidence can take in a full entry: of a crash that was
   cleared or, if the evidence is independent of the others, of one that is
   not.  */
static struct evidence *
find_victim (struct poison_entry *entry, const struct evidence *evidence)
{
  struct evidence *items = entry->evidence;

  if (evidence->is_cleared || entry->is_blocked)
    return NULL;
  for (uint32_t i = 0; i < entry->count; i++)
    if (items[i].is_cleared)
      return &items[i];
  if (evidence->sent_ms < items[entry->count - 1].crashed_ms)
    return NULL;
  for (uint32_t i = 1; i < entry->count; i++)
    if (items[i].sent_ms < items[i - 1].crashed_ms)
      return &items[i];
  return NULL;
}

/* Returns false if the entry is full of evidence that is as good: what it
   holds then no longer changes, whatever peers send.  */
static bool
insert (struct bd_poison_table *table, struct poison_entry *entry,
        const struct evidence *evidence)
{
  struct evidence *victim = NULL;
  uint32_t i;

  if (entry->count == BD_POISON_MAX_EVIDENCE)
    {
      victim = find_victim (entry, evidence);
      if (victim == NULL)
        return false;
      remove_evidence (entry, victim);
    }
  if (entry->count == entry->capacity)
    {
      entry->capacity = entry->capacity > 0 ? 2 * entry->capacity : 1;
      entry->evidence
          = g_renew (struct evidence, entry->evidence, entry->capacity);
    }
  for (i = entry->count;
       i > 0 && entry->evidence[i - 1].crashed_ms > evidence->crashed_ms; i--)
    entry->evidence[i] = entry->evidence[i - 1];
  entry->evidence[i] = *evidence;
  entry->count++;
  add_blocked (table, entry, evidence);
  update_suspect (table, entry);
  return true;
}

/* Blocks what the block of another subject no longer explains.  */
static void
block_unexplained (struct bd_poison_table *table, int64_t now_ms)
{
  struct bd_poison_evidence items[MAX_UNEXPLAINED] = { { 0 } };
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  if (table->suspect_count == 0)
    return;
  g_hash_table_iter_init (&iter, table->entries);
  while (count < MAX_UNEXPLAINED
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct poison_entry *entry = value;

      if (entry->is_suspect && should_block (table, entry, now_ms))
        items[count++].subject = entry->subject;
    }
  block_likeliest (table, items, count, now_ms);
}

/* Clears one piece of evidence; the subject may then no longer be
   blocked.  */
static void
clear (struct bd_poison_table *table, struct poison_entry *entry,
       struct evidence *evidence, int64_t now_ms)
{
  remove_blocked (table, entry, evidence);
  evidence->is_cleared = true;
  update_suspect (table, entry);
  if (!entry->is_blocked || should_block (table, entry, now_ms))
    return;
  unblock (table, entry);
  if (kind_of (entry->subject) != BD_POISON_REQUEST)
    block_unexplained (table, now_ms);
}

static bool
add_one (struct bd_poison_table *table, const struct bd_poison_evidence *item,
         int64_t now_ms)
{
  struct evidence evidence = { .target = item->target,
                               .request = item->request,
                               .reporter = item->reporter,
                               .sent_ms = now_ms - item->sent_age_ms,
                               .crashed_ms = now_ms - item->crash_age_ms,
                               .is_cleared = item->is_cleared };
  struct poison_entry *entry;
  struct evidence *known;

  if (bd_poison_is_dismissed (table, item->target, evidence.crashed_ms))
    evidence.is_cleared = true;
  if ((item->subject & KIND_MASK) >= KINDS
      || item->crash_age_ms >= table->retention_ms)
    return false;
  entry = find_or_add (table, item->subject, now_ms);
  if (entry == NULL)
    return false;
  known = find_evidence (entry, item->target);
  if (known == NULL)
    return insert (table, entry, &evidence);
  if (known->is_cleared || !evidence.is_cleared)
    return false;
  clear (table, entry, known, now_ms);
  return true;
}

bool
bd_poison_add (struct bd_poison_table *table,
               const struct bd_poison_evidence *items, uint32_t count,
               int64_t now_ms)
{
  bool is_news = false;

  for (uint32_t i = 0; i < count; i++)
    is_news = add_one (table, &items[i], now_ms) || is_news;
  if (is_news)
    block_likeliest (table, items, count, now_ms);
  return is_news;
}

static struct bd_poison_evidence
make_item (const struct poison_entry *entry, const struct evidence *evidence,
           int64_t now_ms)
{
  return (struct bd_poison_evidence){
    .subject = entry->subject,
    .target = evidence->target,
    .request = evidence->request,
    .reporter = evidence->reporter,
    .sent_age_ms = (uint32_t)(now_ms - evidence->sent_ms),
    .crash_age_ms = (uint32_t)(now_ms - evidence->crashed_ms),
    .is_cleared = evidence->is_cleared,
  };
}

static uint32_t
clear_all (struct bd_poison_table *table, struct poison_entry *entry,
           int64_t now_ms, struct bd_poison_evidence *cleared, uint32_t max)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < entry->count; i++)
    {
      struct evidence *evidence = &entry->evidence[i];

      if (!is_current (table, evidence, now_ms))
        continue;
      clear (table, entry, evidence, now_ms);
      if (count < max)
        cleared[count] = make_item (entry, evidence, now_ms);
      count++;
    }
  return count;
}

uint32_t
bd_poison_complete (struct bd_poison_table *table, const uint64_t *subjects,
                    uint32_t count, int64_t now_ms,
                    struct bd_poison_evidence *cleared, uint32_t max)
{
  uint32_t total = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct poison_entry *entry = find (table, subjects[i]);

      note_completed (table, subjects[i]);
      if (entry != NULL)
        total += clear_all (table, entry, now_ms, cleared + total,
                            total < max ? max - total : 0);
    }
  return total < max ? total : max;
}

void
bd_poison_withdraw_crash (struct bd_poison_table *table, uint64_t target)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct poison_entry *entry = value;
      struct evidence *evidence = find_evidence (entry, target);

      if (evidence == NULL)
        continue;
      clear (table, entry, evidence, evidence->crashed_ms);
      remove_evidence (entry, evidence);
      if (entry->count == 0)
        g_hash_table_iter_remove (&iter);
    }
}

static const struct dismissal *
find_dismissal (const struct bd_poison_table *table, uint64_t target)
{
  const struct dismissal *found
      = g_hash_table_lookup (table->dismissed[0], &target);

  return found != NULL ? found
                       : g_hash_table_lookup (table->dismissed[1], &target);
}

bool
bd_poison_is_dismissed (const struct bd_poison_table *table, uint64_t target,
                        int64_t crashed_ms)
{
  const struct dismissal *found = find_dismissal (table, target);

  return found != NULL && crashed_ms >= found->since_ms;
}

bool
bd_poison_dismiss (struct bd_poison_table *table, uint64_t target,
                   int64_t since_ms, int64_t now_ms)
{
  struct dismissal *dismissal;
  GHashTableIter iter;
  gpointer value;

  if (find_dismissal (table, target) != NULL)
    return false;
  rotate (table->dismissed, MAX_DISMISSED);
  dismissal = g_new (struct dismissal, 1);
  *dismissal = (struct dismissal){ target, since_ms };
  g_hash_table_insert (table->dismissed[0], &dismissal->target, dismissal);
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct poison_entry *entry = value;
      struct evidence *evidence = find_evidence (entry, target);

      if (evidence != NULL && evidence->crashed_ms >= since_ms
          && !evidence->is_cleared)
        clear (table, entry, evidence, now_ms);
    }
  return true;
}

uint64_t
bd_poison_blocked (const struct bd_poison_table *table,
                   const uint64_t *subjects, uint32_t count, int64_t now_ms)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const struct poison_entry *entry = find (table, subjects[i]);

      if (entry != NULL && entry->is_blocked
          && bd_poison_remaining_ms (table, &subjects[i], 1, now_ms) > 0)
        return subjects[i];
    }
  return 0;
}

enum bd_poison_decision
bd_poison_decide (const struct bd_poison_table *table,
                  const uint64_t *subjects, uint32_t count, int64_t now_ms)
{
  if (bd_poison_blocked (table, subjects, count, now_ms) != 0)
    return BD_POISON_REFUSE;
  return bd_poison_remaining_ms (table, subjects, count, now_ms) > 0
             ? BD_POISON_ISOLATE
             : BD_POISON_ALLOW;
}

void
bd_poison_summarize (const struct bd_poison_table *table, uint64_t subject,
                     int64_t now_ms, struct bd_poison_summary *summary)
{
  const struct poison_entry *entry = find (table, subject);

  memset (summary, 0, sizeof *summary);
  for (uint32_t i = 0; entry != NULL && i < entry->count; i++)
    {
      const struct evidence *evidence = &entry->evidence[i];

      if (!is_current (table, evidence, now_ms))
        continue;
      summary->crashes++;
      summary->last_crash_age_ms = now_ms - evidence->crashed_ms;
      summary->last_reporter = evidence->reporter;
    }
}

int64_t
bd_poison_remaining_ms (const struct bd_poison_table *table,
                        const uint64_t *subjects, uint32_t count,
                        int64_t now_ms)
{
  int64_t last_ms = now_ms;

  for (uint32_t i = 0; i < count; i++)
    {
      const struct poison_entry *entry = find (table, subjects[i]);

      for (uint32_t k = 0; entry != NULL && k < entry->count; k++)
        if (is_current (table, &entry->evidence[k], now_ms)
            && expires_ms (table, &entry->evidence[k]) > last_ms)
          last_ms = expires_ms (table, &entry->evidence[k]);
    }
  return last_ms - now_ms;
}

uint32_t
bd_poison_list (const struct bd_poison_table *table, int64_t now_ms,
                struct bd_poison_evidence *items, uint32_t max)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct poison_entry *entry = value;

      for (uint32_t i = 0; i < entry->count && count < max; i++)
        if (expires_ms (table, &entry->evidence[i]) > now_ms)
          items[count++] = make_item (entry, &entry->evidence[i], now_ms);
    }
  return count;
}

/* Mixes the bits, so that the sum over a table depends on each of them.  */
static uint64_t
mix (uint64_t value)
{
  value ^= value >> 31;
  value *= 0x9e3779b97f4a7c15;
  return value ^ value >> 29;
}

uint64_t
bd_poison_checksum (const struct bd_poison_table *table, int64_t now_ms)
{
  uint64_t sum = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct poison_entry *entry = value;

      for (uint32_t i = 0; i < entry->count; i++)
        if (expires_ms (table, &entry->evidence[i]) > now_ms)
          sum += mix (mix (entry->subject) ^ entry->evidence[i].target
                      ^ entry->evidence[i].is_cleared);
    }
  return sum;
}

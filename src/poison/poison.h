/* Finds out what crashes endpoints, and refuses it.  Does no I/O: the caller
   passes in events and the time.

   A subject is what a crash can be attributed to: a request, the path of one,
   or a part of its prompt.  When an endpoint crashes, each subject of each
   request that was running on it is a suspect; that is one piece of evidence
   for each.  A request that completes clears its subjects of the crashes that
   were known by then.  A subject is blocked and its requests are refused

   - when enough crashes remain, and, for paths and parts, these are
   independent: each run began after the crash before it, so that endpoints
   that fail together, or that run many requests with a shared part, count
   once;
   - if the crashes are not explained by the block of another path or part
     that ran there;
   - for a part, if more than one request crashed with it.

   Runs that an order has ended are dismissed: their ends are no evidence.

   Evidence is identified by subject and target, and once cleared it stays
   cleared.  So daemons that exchange evidence in any order, late or twice,
   come to hold the same.  Ages in messages are relative to their sending.  */

#ifndef BD_POISON_POISON_H
#define BD_POISON_POISON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Subjects of one request.  */
  BD_POISON_MAX_SUBJECTS = 16,
  /* Evidence that is kept for one subject.  */
  BD_POISON_MAX_EVIDENCE = 32
};

enum bd_poison_kind
{
  BD_POISON_REQUEST, /* The whole request.  */
  BD_POISON_PATH,    /* The request without its query.  */
  BD_POISON_PART     /* A part of the prompt.  */
};

enum bd_poison_decision
{
  BD_POISON_ALLOW,   /* No subject is suspected.  */
  BD_POISON_ISOLATE, /* Run it where no other suspected request runs.  */
  BD_POISON_REFUSE   /* A subject is blocked.  */
};

/* A crash during a run of a request with this subject.  */
struct bd_poison_evidence
{
  uint64_t subject;
  uint64_t target;  /* Identifies the endpoint or group and its incarnation. */
  uint64_t request; /* Subject of the whole request.  */
  uint64_t reporter;     /* Hash of the name of the daemon that saw it.  */
  uint32_t sent_age_ms;  /* Since the request was sent to the target.  */
  uint32_t crash_age_ms; /* Since the crash.  */
  bool is_cleared;       /* A request with the subject has completed since.  */
};

/* Bounded: while it is full, evidence of further subjects is not kept.  */
struct bd_poison_table
{
  GHashTable *entries; /* Subject -> struct poison_entry.  */
  /* Target -> its crashes for which paths and parts are blocked.  */
  GHashTable *blocked;
  /* Subjects that have completed lately, in two generations.  */
  GHashTable *completed[2];
  /* Target -> struct dismissal, in two generations.  */
  GHashTable *dismissed[2];
  uint32_t retention_ms;  /* Time from a crash until its evidence expires.  */
  uint32_t suspect_count; /* Entries that may have to be blocked.  */
  int64_t expired_ms;     /* Time at which the full table was last searched for
                             expired evidence.  */
};

/* bd_poison_init(), bd_poison_finish(): create an empty table and free it.  */
void bd_poison_init (struct bd_poison_table *table, uint32_t retention_ms);
void bd_poison_finish (struct bd_poison_table *table);

/* bd_poison_subject(): the subject of this kind with this hash.  */
uint64_t bd_poison_subject (enum bd_poison_kind kind, uint64_t hash);

/* bd_poison_add(): adds evidence, the caller's own or that of a peer.  Returns
   whether any of it is new: not known, cleared or expired already.  Evidence
   of subjects of an unknown kind is not kept.  */
bool bd_poison_add (struct bd_poison_table *table,
                    const struct bd_poison_evidence *items, uint32_t count,
                    int64_t now_ms);

/* bd_poison_complete(): a request with these subjects has completed.  Clears
   them and returns how much evidence was cleared by that; stores up to max of
   it in cleared.  */
uint32_t bd_poison_complete (struct bd_poison_table *table,
                             const uint64_t *subjects, uint32_t count,
                             int64_t now_ms,
                             struct bd_poison_evidence *cleared, uint32_t max);

/* bd_poison_withdraw_crash(): the target has not crashed, contrary to earlier
   evidence.  Removes all of it; the target may still crash.  */
void bd_poison_withdraw_crash (struct bd_poison_table *table, uint64_t target);

/* bd_poison_dismiss(): an order has ended the runs at the target, so that
   their ends are no evidence.  Clears the evidence of its crashes since
   since_ms, also such that is added later.  Returns whether that is new.  */
bool bd_poison_dismiss (struct bd_poison_table *table, uint64_t target,
                        int64_t since_ms, int64_t now_ms);

/* bd_poison_is_dismissed(): whether evidence of a crash of the target at
   crashed_ms is cleared by bd_poison_dismiss().  */
bool bd_poison_is_dismissed (const struct bd_poison_table *table,
                             uint64_t target, int64_t crashed_ms);

/* bd_poison_decide(): returns how to handle a request with these subjects.  */
enum bd_poison_decision bd_poison_decide (const struct bd_poison_table *table,
                                          const uint64_t *subjects,
                                          uint32_t count, int64_t now_ms);

/* bd_poison_blocked(): the first of these subjects that is blocked, or
   0.  */
uint64_t bd_poison_blocked (const struct bd_poison_table *table,
                            const uint64_t *subjects, uint32_t count,
                            int64_t now_ms);

/* The evidence against a subject.  */
struct bd_poison_summary
{
  uint32_t crashes;
  int64_t last_crash_age_ms;
  uint64_t last_reporter;
};

/* bd_poison_summarize(): fills in summary; all zero if there is none.  */
void bd_poison_summarize (const struct bd_poison_table *table,
                          uint64_t subject, int64_t now_ms,
                          struct bd_poison_summary *summary);

/* bd_poison_remaining_ms(): returns the time until the last evidence against
   these subjects expires; 0 if there is none.  */
int64_t bd_poison_remaining_ms (const struct bd_poison_table *table,
                                const uint64_t *subjects, uint32_t count,
                                int64_t now_ms);

/* bd_poison_list(): stores up to max pieces of evidence, cleared ones
   included, and returns their number.  */
uint32_t bd_poison_list (const struct bd_poison_table *table, int64_t now_ms,
                         struct bd_poison_evidence *items, uint32_t max);

/* bd_poison_checksum(): of all evidence; equal for tables with the same.  */
uint64_t bd_poison_checksum (const struct bd_poison_table *table,
                             int64_t now_ms);

#endif

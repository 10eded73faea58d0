/* Evidence of what crashes endpoints: records what this daemon sees, refuses
   requests by it, and exchanges it with the other daemons.  */

#include "edge/edge_internal.h"

#include "base/crash.h"
#include "membership/news.h"

#include <string.h>
#include <talloc.h>

enum
{
  MAX_CLEARED = 64,
  MAX_TABLE_ITEMS = 1000
};

static struct bd_poison_table *
table_of (const struct bd_edge_request *request)
{
  return &request->edge->poison_requests;
}

/* Hash of what identifies a request, with target as its request target.  */
static uint64_t
hash_request (const struct bd_edge_request *request, const char *target)
{
  return bd_hash_pair (request->account, target)
         ^ bd_hash_pair (request->method, "")
         ^ bd_hash (request->body != NULL ? request->body : "",
                    request->body_size);
}

static void
add_subject (struct bd_edge_request *request, enum bd_poison_kind kind,
             uint64_t hash)
{
  if (request->subject_count < BD_POISON_MAX_SUBJECTS)
    request->subjects[request->subject_count++]
        = bd_poison_subject (kind, hash);
}

/* Adds the parts of the prompt, without the last, which is the request's own.
 */
static void
add_parts (struct bd_edge_request *request)
{
  const char *part = bd_http_header (
      request->exchange, request->edge->adapter->headers->prompt_parts);
  const char *end;

  for (; part != NULL && (end = strchr (part, ',')) != NULL; part = end + 1)
    add_subject (request, BD_POISON_PART,
                 bd_hash (part, strcspn (part, ":,")));
}

void
bd_edge_set_subjects (struct bd_edge_request *request)
{
  const char *target = request->request_target;
  char *path = talloc_strndup (request, target, strcspn (target, "?"));

  add_subject (request, BD_POISON_REQUEST, hash_request (request, target));
  add_subject (request, BD_POISON_PATH, hash_request (request, path));
  talloc_free (path);
  add_parts (request);
}

/* Identifies the group of the current attempt, or the incarnation of its
   endpoint: one that starts again keeps its id.  */
static uint64_t
hash_crashed (const struct bd_edge_request *request)
{
  return request->group != 0
             ? request->group
             : bd_hash (request->endpoint, strlen (request->endpoint))
                   ^ bd_hash (&request->endpoint_started_ms,
                              sizeof request->endpoint_started_ms);
}

static void
log_crash (const char *id, const struct bd_poison_evidence *evidence)
{
  bd_log_request ("suspect-crash", "id", id, "subject",
                  BD_NUM (evidence->subject), "target",
                  BD_NUM (evidence->target), "crash_age_ms",
                  BD_NUM (evidence->crash_age_ms), "reporter",
                  BD_NUM (evidence->reporter), NULL);
}

/* Adds evidence to the table; returns whether any is new.  */
static bool
add_evidence (struct bd_edge *edge, const struct bd_poison_update *update,
              const char *id)
{
  if (!bd_poison_add (&edge->poison_requests, update->items, update->count,
                      bd_edge_now_ms (edge)))
    return false;
  bd_count (&edge->counters, update->items[0].is_cleared
                                 ? BD_COUNT_POISON_CLEARED
                                 : BD_COUNT_POISON_CRASHES);
  if (!update->items[0].is_cleared)
    log_crash (id, &update->items[0]);
  return true;
}

void
bd_edge_record_crash (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_poison_evidence items[BD_POISON_MAX_SUBJECTS];
  struct bd_poison_update update
      = { .items = items, .count = request->subject_count };

  BD_ASSERT (request->subject_count > 0);
  for (uint32_t i = 0; i < request->subject_count; i++)
    items[i] = (struct bd_poison_evidence){
      .subject = request->subjects[i],
      .target = hash_crashed (request),
      .request = request->subjects[0],
      .reporter = bd_membership_self (&edge->membership)->name_hash,
      .sent_age_ms = (uint32_t)(bd_edge_now_ms (edge) - request->sent_ms),
    };
  if (add_evidence (edge, &update, request->attempt_id))
    bd_edge_broadcast (edge, BD_MESSAGE_POISON, &update, &update.stage);
}

void
bd_edge_note_completed (struct bd_edge_request *request)
{
  struct bd_edge *edge = request->edge;
  struct bd_poison_evidence items[MAX_CLEARED];
  struct bd_poison_update update = { .items = items };

  update.count = bd_poison_complete (
      table_of (request), request->subjects, request->subject_count,
      bd_edge_now_ms (edge), items, MAX_CLEARED);
  if (update.count == 0)
    return;
  bd_count (&edge->counters, BD_COUNT_POISON_CLEARED);
  bd_log_request ("suspect-cleared", "id", request->attempt_id, "evidence",
                  BD_NUM (update.count), NULL);
  bd_edge_broadcast (edge, BD_MESSAGE_POISON, &update, &update.stage);
}

bool
bd_edge_receive_poison (struct bd_edge *edge,
                        const struct bd_poison_update *update)
{
  return update->count > 0 && add_evidence (edge, update, "");
}

void
bd_edge_compare_poison (struct bd_edge *edge, const struct bd_member *peer,
                        uint64_t checksum)
{
  static struct bd_poison_evidence items[MAX_TABLE_ITEMS];
  int64_t now_ms = bd_edge_now_ms (edge);
  uint64_t own = bd_poison_checksum (&edge->poison_requests, now_ms);
  struct bd_poison_update update
      = { .items = items, .stage = BD_NEWS_TO_MEMBERS };

  if (checksum == own
      || !bd_edge_is_transfer_due (&edge->poison_transfers, peer->name_hash,
                                   own + checksum, now_ms))
    return;
  update.count = bd_poison_list (&edge->poison_requests, now_ms, items,
                                 MAX_TABLE_ITEMS);
  if (update.count == 0)
    return;
  bd_edge_note_transfer (&edge->poison_transfers, peer->name_hash,
                         own + checksum, now_ms);
  bd_edge_send_to_peer (edge, peer, BD_MESSAGE_POISON, &update);
}

static void
log_refusal (const struct bd_edge_request *request, uint64_t subject)
{
  struct bd_poison_summary summary;

  bd_poison_summarize (table_of (request), subject,
                       bd_edge_now_ms (request->edge), &summary);
  bd_log_request ("suspect-refused", "id", request->attempt_id, "subject",
                  BD_NUM (subject), "crashes", BD_NUM (summary.crashes),
                  "last_crash_age_ms", BD_NUM (summary.last_crash_age_ms),
                  "reporter", BD_NUM (summary.last_reporter), NULL);
}

/* The subject by which the request is refused, or 0.  */
static uint64_t
blocked_subject (const struct bd_edge_request *request)
{
  return bd_poison_blocked (table_of (request), request->subjects,
                            request->subject_count,
                            bd_edge_now_ms (request->edge));
}

bool
bd_edge_is_blocked (const struct bd_edge_request *request)
{
  return blocked_subject (request) != 0;
}

bool
bd_edge_is_poison (const struct bd_edge_request *request)
{
  uint64_t blocked = blocked_subject (request);

  if (blocked == 0)
    return false;
  bd_count (&request->edge->counters, BD_COUNT_POISON_REFUSED);
  log_refusal (request, blocked);
  return true;
}

int64_t
bd_edge_poison_remaining_ms (const struct bd_edge_request *request)
{
  return bd_poison_remaining_ms (table_of (request), request->subjects,
                                 request->subject_count,
                                 bd_edge_now_ms (request->edge));
}

/* Request limits of endpoints: reads what responses name, exchanges it with
   the other daemons, and shares each limit among those that are live.  Leaves
   that responses have announced are exchanged in the same table, so that a
   daemon that has missed the message has them too.  */

#include "edge/edge_internal.h"
#include "membership/news.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MAX_LIMITS = 1024,
  MAX_DAEMONS = 4096,
  RATE_SIZE = 32, /* Of a rate as text.  */
  /* In place of the age: the endpoint has never named a limit.  */
  NO_LIMIT_AGE = -1
};

uint64_t
bd_edge_hash_endpoint (const struct bd_fleet_endpoint *endpoint)
{
  return bd_hash (endpoint->entry.id, strlen (endpoint->entry.id))
         ^ (uint64_t)endpoint->entry.started_ms;
}

bool
bd_edge_has_permit (struct bd_fleet_endpoint *endpoint, int64_t now_ms)
{
  return bd_pacing_has_permit (&endpoint->pacing, now_ms)
         && bd_coldstart_has_permit (&endpoint->cold, now_ms);
}

void
bd_edge_take_permit (struct bd_fleet_endpoint *endpoint, int64_t now_ms)
{
  bd_pacing_take (&endpoint->pacing, now_ms);
  bd_coldstart_take (&endpoint->cold, now_ms);
}

struct bd_edge_allowance
bd_edge_allowance (struct bd_fleet_endpoint *endpoint, int64_t now_ms)
{
  struct bd_pacing *pacing = &endpoint->pacing;
  struct bd_coldstart *cold = &endpoint->cold;
  struct bd_edge_allowance allowance = { .end_ms = INT64_MAX };

  if (pacing->limit_per_s > 0)
    {
      allowance.is_limited = true;
      allowance.limit_per_s = pacing->limit_per_s;
      allowance.share_per_s = pacing->share_per_s;
      allowance.permits = bd_pacing_permits (pacing, now_ms);
    }
  if (!bd_coldstart_is_cold (cold, now_ms))
    return allowance;
  if (!allowance.is_limited)
    return (struct bd_edge_allowance){
      .is_limited = true,
      .limit_per_s = cold->per_s,
      .share_per_s = bd_coldstart_share_per_s (cold),
      .permits = bd_coldstart_permits (cold, now_ms),
      .end_ms = bd_coldstart_end_ms (cold),
    };
  allowance.limit_per_s = MIN (allowance.limit_per_s, cold->per_s);
  allowance.share_per_s
      = MIN (allowance.share_per_s, bd_coldstart_share_per_s (cold));
  allowance.permits
      = MIN (allowance.permits, bd_coldstart_permits (cold, now_ms));
  return allowance;
}

/* Fills in the hashes of the daemons that send requests.  */
static uint32_t
find_daemons (const struct bd_edge *edge, uint64_t *daemons)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < edge->membership.count && count < MAX_DAEMONS; i++)
    {
      const struct bd_member *member = &edge->membership.members[i];

      if (member->is_isolated)
        continue;
      if (i == 0 ? !edge->is_stopping
                 : member->is_live && !member->is_stopping)
        daemons[count++] = member->name_hash;
    }
  return count;
}

static void
share_limit (const struct bd_edge *edge, struct bd_fleet_endpoint *endpoint,
             const uint64_t *daemons, uint32_t count)
{
  double share_per_s
      = edge->is_stopping || bd_edge_is_isolated (edge)
            ? 0
            : bd_pacing_share (
                endpoint->pacing.limit_per_s, bd_edge_hash_endpoint (endpoint),
                edge->membership.members[0].name_hash, daemons, count);

  bd_pacing_set_share (&endpoint->pacing, share_per_s, bd_edge_now_ms (edge));
}

void
bd_edge_share_limits (struct bd_edge *edge)
{
  static uint64_t daemons[MAX_DAEMONS];
  uint32_t count = find_daemons (edge, daemons);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct bd_fleet_endpoint *)value)->pacing.limit_per_s > 0)
      share_limit (edge, value, daemons, count);
}

/* Applies an observation; returns whether it is news.  */
static bool
observe (struct bd_edge *edge, struct bd_fleet_endpoint *endpoint,
         double limit_per_s, int64_t observed_ms, const char *source)
{
  static uint64_t daemons[MAX_DAEMONS];
  double before = endpoint->pacing.limit_per_s;
  char per_s[RATE_SIZE];
  char before_per_s[RATE_SIZE];

  if (!bd_pacing_observe (&endpoint->pacing, limit_per_s, observed_ms))
    return false;
  share_limit (edge, endpoint, daemons, find_daemons (edge, daemons));
  snprintf (per_s, sizeof per_s, "%.3f", limit_per_s);
  snprintf (before_per_s, sizeof before_per_s, "%.3f", before);
  bd_log ("endpoint-limit", "endpoint", endpoint->entry.id, "per_s", per_s,
          "before_per_s", before_per_s, "share_per_mille",
          BD_NUM (limit_per_s > 0
                      ? 1000 * endpoint->pacing.share_per_s / limit_per_s
                      : 0),
          "age_ms", BD_NUM (bd_edge_now_ms (edge) - observed_ms), "source",
          source, NULL);
  return true;
}

static struct bd_endpoint_limit
describe (const struct bd_edge *edge, const struct bd_fleet_endpoint *endpoint)
{
  struct bd_endpoint_limit limit = {
    .started_ms = endpoint->entry.started_ms,
    .per_s = endpoint->pacing.limit_per_s,
    .age_ms = endpoint->pacing.observed_ms > 0
                  ? bd_edge_now_ms (edge) - endpoint->pacing.observed_ms
                  : NO_LIMIT_AGE,
    .is_leaving = endpoint->is_leaving,
  };

  bd_name_copy (limit.endpoint, endpoint->entry.id);
  return limit;
}

void
bd_edge_note_limit (const struct bd_edge_request *request,
                    const struct bd_http_call *call, bool can_end)
{
  struct bd_edge *edge = request->edge;
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&edge->fleet, request->endpoint);
  const char *text
      = bd_http_call_header (call, edge->adapter->headers->request_limit);
  struct bd_endpoint_limit limit;
  struct bd_limits_update update = { .items = &limit, .count = 1 };

  /* An endpoint that has started again has named none yet, and status 421 is
     another one's.  */
  if (endpoint == NULL
      || endpoint->entry.started_ms != request->endpoint_started_ms
      || bd_http_call_status (call) == 421 || (text == NULL && !can_end)
      || !observe (edge, endpoint, text != NULL ? strtod (text, NULL) : 0,
                   bd_edge_now_ms (edge), "response"))
    return;
  bd_count (&edge->counters, BD_COUNT_ENDPOINT_LIMITS);
  limit = describe (edge, endpoint);
  bd_edge_broadcast (edge, BD_MESSAGE_LIMITS, &update, &update.stage);
}

bool
bd_edge_receive_limits (struct bd_edge *edge,
                        const struct bd_limits_update *update)
{
  bool is_news = false;

  for (uint32_t i = 0; i < update->count; i++)
    {
      const struct bd_endpoint_limit *limit = &update->items[i];
      struct bd_fleet_endpoint *endpoint
          = bd_fleet_endpoint (&edge->fleet, limit->endpoint);

      if (limit->is_leaving
          && bd_edge_apply_leaving (edge, limit->endpoint, limit->started_ms))
        is_news = true;
      if (endpoint != NULL && endpoint->entry.started_ms == limit->started_ms
          && limit->age_ms >= 0
          && observe (edge, endpoint, limit->per_s,
                      bd_edge_now_ms (edge) - limit->age_ms, "peer"))
        is_news = true;
    }
  return is_news;
}

uint64_t
bd_edge_limits_checksum (const struct bd_edge *edge)
{
  uint64_t sum = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;
      const struct bd_pacing *pacing = &endpoint->pacing;

      if (pacing->limit_per_s > 0)
        sum += bd_edge_hash_endpoint (endpoint)
               ^ bd_hash (&pacing->limit_per_s, sizeof pacing->limit_per_s);
      if (endpoint->is_leaving)
        sum += bd_hash (&endpoint->entry.started_ms,
                        sizeof endpoint->entry.started_ms)
               ^ bd_edge_hash_endpoint (endpoint);
    }
  return sum;
}

static bool
has_said_anything (const struct bd_fleet_endpoint *endpoint)
{
  return endpoint->pacing.observed_ms > 0 || endpoint->is_leaving;
}

void
bd_edge_compare_limits (struct bd_edge *edge, const struct bd_member *peer,
                        uint64_t checksum)
{
  static struct bd_endpoint_limit items[MAX_LIMITS];
  int64_t now_ms = bd_edge_now_ms (edge);
  uint64_t own = bd_edge_limits_checksum (edge);
  struct bd_limits_update update
      = { .items = items, .stage = BD_NEWS_TO_MEMBERS };
  GHashTableIter iter;
  gpointer value;

  if (checksum == own
      || !bd_edge_is_transfer_due (&edge->limit_transfers, peer->name_hash,
                                   own + checksum, now_ms))
    return;
  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (update.count < MAX_LIMITS
         && g_hash_table_iter_next (&iter, NULL, &value))
    if (has_said_anything (value))
      items[update.count++] = describe (edge, value);
  if (update.count == 0)
    return;
  bd_edge_note_transfer (&edge->limit_transfers, peer->name_hash,
                         own + checksum, now_ms);
  bd_edge_send_to_peer (edge, peer, BD_MESSAGE_LIMITS, &update);
}

/* Follows the configuration and the instance list of a peer.

   A daemon that does not read the store, or cannot reach it, asks a peer: it
   sends the version and the log position that it has, and gets what follows
   and the ages of the peer's copies.  Ages count from the sending of the
   request, on the clock of the daemon that asks.  It stays with one peer while
   that peer's replies are fresh, because each peer has a log of its own.  */

#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  /* Age of a reader's own data above which it asks a peer: two read periods
     of a small data centre.  */
  READER_AFTER_MS = 2200,
  /* Age of the data from a relay at which the relay is asked again, and of a
     reader that the store does not serve.  */
  RELAY_PERIOD_MS = 500,
  /* Time without a reply from a relay after which any peer is asked.  */
  RELAYS_SILENT_MS = 4 * RELAY_PERIOD_MS,
  /* Minimum time between two requests.  */
  REQUEST_PERIOD_MS = 250,
  /* Requests without a fresh reply after which another peer is asked.  */
  MAX_UNANSWERED = 2,
  /* Age of a peer's copies up to which its reply is fresh: the store is read
     at least this often.  */
  FRESH_MS = 2000
};

/* Whether a non-reader may ask the member: a relay of its data centre, or any
   daemon while the relays do not answer.  */
static bool
is_source (const struct bd_edge *edge, const struct bd_member *member,
           bool is_relay_required)
{
  const struct bd_membership *membership = &edge->membership;

  if (member == &membership->members[0] || !member->is_live)
    return false;
  return !is_relay_required
         || (strcmp (member->data_centre, edge->settings->data_centre) == 0
             && bd_membership_is_relay (membership, member));
}

/* Whether this daemon has had a time to get the configuration from a relay,
   and got none.  */
static bool
are_relays_silent (const struct bd_edge *edge)
{
  int64_t since_ms = edge->config_verified_ms > edge->started_ms
                         ? edge->config_verified_ms
                         : edge->started_ms;

  return bd_edge_now_ms (edge) - since_ms >= RELAYS_SILENT_MS;
}

/* Returns the peer to ask: the same as before, or the next one if that does
   not answer.  */
static const struct bd_member *
choose_peer (struct bd_edge *edge, bool is_relay_required)
{
  const struct bd_membership *membership = &edge->membership;
  const struct bd_member *current
      = bd_membership_find (membership, edge->freshness_peer);

  if (current != NULL && edge->freshness_unanswered < MAX_UNANSWERED
      && is_source (edge, current, is_relay_required))
    return current;
  for (uint32_t i = 0; i < membership->count; i++)
    {
      const struct bd_member *member;

      edge->freshness_peer_index
          = (edge->freshness_peer_index + 1) % membership->count;
      member = &membership->members[edge->freshness_peer_index];
      if (!is_source (edge, member, is_relay_required))
        continue;
      bd_name_copy (edge->freshness_peer, member->name);
      edge->freshness_unanswered = 0;
      return member;
    }
  return NULL;
}

static void
send_request (struct bd_edge *edge, const struct bd_member *peer,
              bool wants_instances)
{
  struct bd_freshness_request request
      = { .sent_ms = bd_edge_now_ms (edge),
          .config_version = edge->routes != NULL ? edge->routes->version : 0,
          .wants_instances = wants_instances,
          .position = edge->directory.source,
          .config_checksum = edge->is_config_large && !edge->needs_whole_config
                                 ? edge->config_checksum
                                 : 0 };

  bd_name_copy (request.from, edge->settings->name);
  edge->freshness_requested_ms = request.sent_ms;
  edge->freshness_unanswered++;
  bd_edge_send_to_peer (edge, peer, BD_MESSAGE_FRESHNESS_REQUEST, &request);
}

void
bd_edge_request_freshness (struct bd_edge *edge, bool is_reader)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  bool is_served = edge->store.refused_ms <= edge->instances_verified_ms;
  int64_t after_ms
      = is_reader && is_served ? READER_AFTER_MS : RELAY_PERIOD_MS;
  bool is_config_old
      = now_ms - edge->config_verified_ms >= after_ms
        || bd_edge_awaits_evacuations (edge)
        || (edge->routes != NULL
            && edge->routes->version < edge->highest_config_version);
  bool is_list_old = now_ms - edge->instances_verified_ms >= after_ms;
  const struct bd_member *peer;

  if ((!is_config_old && !is_list_old)
      || now_ms - edge->freshness_requested_ms < REQUEST_PERIOD_MS)
    return;
  peer = choose_peer (edge, !is_reader && !are_relays_silent (edge));
  if (peer == NULL)
    peer = choose_peer (edge, false);
  if (peer != NULL)
    send_request (edge, peer, is_list_old);
}

void
bd_edge_send_freshness_reply (struct bd_edge *edge,
                              const struct bd_freshness_request *request)
{
  static struct bd_directory_record records[BD_DIRECTORY_FRAME_ENTRIES];
  const struct bd_member *member
      = bd_membership_find (&edge->membership, request->from);
  int64_t now_ms = bd_edge_now_ms (edge);
  void *mem;
  struct bd_freshness_reply reply
      = { .sent_ms = request->sent_ms,
          .config_age_ms = now_ms - edge->config_verified_ms,
          .instances_age_ms = now_ms - edge->instances_verified_ms,
          .era = edge->store.era,
          .window_ms = bd_listing_window_ms (&edge->fleet.listing, now_ms) };

  if (member == NULL || edge->routes == NULL)
    return;
  mem = talloc_new (edge);
  bd_edge_describe_config (edge, mem, member, request, &reply);
  reply.has_frame = request->wants_instances
                    && bd_directory_fill (&edge->directory, &request->position,
                                          records, &reply.frame);
  bd_edge_send_to_peer (edge, member, BD_MESSAGE_FRESHNESS_REPLY, &reply);
  talloc_free (mem);
  bd_edge_send_evacuations (edge, member, request->sent_ms);
}

static void
receive_config (struct bd_edge *edge, const struct bd_freshness_reply *reply,
                int64_t verified_ms)
{
  json_t *value = bd_edge_read_config_copy (edge, reply);

  if (value != NULL)
    {
      bd_edge_apply_config (edge, value, verified_ms);
      json_decref (value);
    }
  else if (edge->routes != NULL
           && edge->routes->version == reply->config_version
           && verified_ms > edge->config_verified_ms)
    edge->config_verified_ms = verified_ms;
}

static bool
is_valid_frame (const struct bd_directory_frame *frame)
{
  for (uint32_t i = 0; i < frame->record_count; i++)
    {
      const struct bd_endpoint_entry *entry = &frame->records[i].entry;

      if (entry->id[0] == '\0' || entry->staged_count > BD_FLEET_MAX_STAGED
          || entry->member.state > BD_MEMBER_BROKEN)
        return false;
    }
  return true;
}

/* Whether the request was sent, and the copies were confirmed, by now.  */
static bool
has_possible_times (const struct bd_freshness_reply *reply, int64_t now_ms)
{
  return reply->sent_ms >= 0 && reply->sent_ms <= now_ms
         && reply->config_age_ms >= reply->sent_ms - now_ms
         && reply->instances_age_ms >= reply->sent_ms - now_ms;
}

void
bd_edge_receive_freshness_reply (struct bd_edge *edge,
                                 const struct bd_freshness_reply *reply)
{
  int64_t config_ms;
  int64_t instances_ms;
  const struct bd_member *peer
      = bd_membership_find (&edge->membership, edge->freshness_peer);

  if (!has_possible_times (reply, bd_edge_now_ms (edge)))
    return;
  bd_store_note_era (&edge->store, reply->era);
  if (reply->era < edge->store.era)
    return;
  /* The peer's ages are counted back from the sending of the request, the
     earliest time at which the peer can have computed them.  */
  config_ms = reply->sent_ms - reply->config_age_ms;
  instances_ms = reply->sent_ms - reply->instances_age_ms;
  if (reply->config_age_ms < FRESH_MS && reply->instances_age_ms < FRESH_MS)
    edge->freshness_unanswered = 0;
  receive_config (edge, reply, config_ms);
  if (reply->window_ms > 0)
    bd_listing_note_peer_window (
        &edge->fleet.listing,
        reply->sent_ms + MIN (reply->window_ms, BD_LISTING_RETURN_MS),
        bd_edge_now_ms (edge));
  if (!reply->has_frame || !is_valid_frame (&reply->frame)
      || !bd_directory_apply (&edge->directory, &reply->frame))
    return;
  bd_edge_note_list (edge, reply->frame.is_last ? instances_ms : 0);
  if (!reply->frame.is_last && peer != NULL)
    send_request (edge, peer, true);
}

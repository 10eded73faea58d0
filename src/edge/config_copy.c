/* Passes the configuration on to peers.

   A large configuration takes longer over the link of a small instance than
   the time in which it has to be in force, if it changes several times a
   second.  A peer that has an earlier version then gets what has changed, and
   the whole text only where that is not known; one that has just been sent the
   whole text is still receiving it.  */

#include "document/delta.h"
#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  /* Entries of all lists in a large configuration.  A smaller one fits into a
     few packets and is sent as a whole.  */
  MIN_LARGE_ENTRIES = 128,
  /* Deltas that take more than this part of the whole text are not sent.  */
  MAX_DELTAS_DIVISOR = 2
};

static bool
is_large (json_t *config)
{
  size_t entries = 0;
  const char *key;
  json_t *value;

  json_object_foreach (config, key, value)
    entries += json_array_size (value);
  return entries >= MIN_LARGE_ENTRIES;
}

void
bd_edge_set_config (struct bd_edge *edge, json_t *value, uint64_t checksum)
{
  json_t *before = edge->config;

  /* Peers ask the relays first.  */
  if (before != NULL && edge->relay_since_ms != 0)
    bd_document_history_add (&edge->config_history, before,
                             edge->config_checksum, value, checksum);
  else
    bd_document_history_finish (&edge->config_history);
  edge->config = json_incref (value);
  edge->config_checksum = checksum;
  edge->is_config_large = is_large (value);
  edge->needs_whole_config = false;
  free (edge->config_text);
  edge->config_text = NULL;
  json_decref (before);
}

static const char *
config_text (struct bd_edge *edge)
{
  if (edge->config_text == NULL)
    edge->config_text = json_dumps (edge->config, JSON_COMPACT);
  return edge->config_text != NULL ? edge->config_text : "";
}

/* Whether the peer is still receiving this configuration.  */
static bool
is_being_sent (struct bd_edge *edge, const struct bd_member *peer)
{
  int64_t now_ms = bd_edge_now_ms (edge);

  if (!bd_edge_is_transfer_due (&edge->config_transfers, peer->name_hash,
                                edge->config_checksum, now_ms))
    return true;
  bd_edge_note_transfer (&edge->config_transfers, peer->name_hash,
                         edge->config_checksum, now_ms);
  return false;
}

void
bd_edge_describe_config (struct bd_edge *edge, void *ctx,
                         const struct bd_member *peer,
                         const struct bd_freshness_request *request,
                         struct bd_freshness_reply *reply)
{
  const char *text;

  reply->config = "";
  reply->config_version = edge->routes->version;
  if (request->config_version >= edge->routes->version)
    return;
  text = config_text (edge);
  if (!edge->is_config_large)
    {
      reply->config = text;
      return;
    }
  if (request->config_checksum != 0)
    reply->config_deltas = bd_document_history_find (
        &edge->config_history, ctx, request->config_checksum,
        edge->config_checksum, strlen (text) / MAX_DELTAS_DIVISOR);
  if (reply->config_deltas != NULL)
    {
      reply->config_checksum = edge->config_checksum;
      bd_count (&edge->counters, BD_COUNT_CONFIG_DELTAS_OUT);
    }
  else if (!is_being_sent (edge, peer))
    {
      bd_count (&edge->counters, BD_COUNT_CONFIG_WHOLE_OUT);
      reply->config = text;
    }
}

json_t *
bd_edge_read_config_copy (struct bd_edge *edge,
                          const struct bd_freshness_reply *reply)
{
  json_t *value;

  if (reply->config[0] != '\0')
    return json_loads (reply->config, 0, NULL);
  if (reply->config_deltas == NULL || reply->config_deltas[0] == '\0'
      || edge->config == NULL)
    return NULL;
  /* An earlier reply has brought this version.  */
  if (reply->config_checksum == edge->config_checksum)
    return json_incref (edge->config);
  value = bd_document_apply_deltas (edge->config, reply->config_deltas,
                                    strlen (reply->config_deltas),
                                    reply->config_checksum);
  if (value == NULL)
    {
      edge->needs_whole_config = true;
      bd_log ("config-deltas-refused", "version",
              BD_NUM (reply->config_version), "held",
              BD_NUM (edge->routes != NULL ? edge->routes->version : 0), NULL);
    }
  return value;
}

/* Registers this daemon in the store, and reads there which others exist.

   Daemons that are missing in the list become known by their status messages.
 */

#include "edge/edge_internal.h"

#include <arpa/inet.h>
#include <string.h>
#include <talloc.h>

enum
{
  CALL_TIMEOUT_MS = 1500,
  /* Time between two reads of the list: it doubles after each, from the first
     value to the last.  */
  FIRST_PERIOD_MS = 400,
  LAST_PERIOD_MS = BD_EDGE_DAEMON_LIST_MS,
  /* Longest wait for the first list before the daemon goes on without it.  */
  MAX_DISCOVERY_MS = 1500,
  /* After the store was restored, all daemons register again within this
     time.  */
  RESTORE_SPREAD_MS = 2500
};

/* Objects of burdockdale in the store: one for each daemon.  */
#define DAEMONS_PREFIX "bd-daemons/"

static bool
is_own_entry (const struct bd_edge *edge, const json_t *data)
{
  const char *address = json_string_value (json_object_get (data, "address"));

  return address != NULL && strcmp (address, edge->settings->address) == 0;
}

/* Whether the text can be a member's name or data centre as a whole.  */
static bool
is_name (const char *text)
{
  return text != NULL && text[0] != '\0' && strlen (text) < BD_NAME_SIZE;
}

static bool
is_address (const char *text)
{
  struct in_addr address;

  return is_name (text) && inet_pton (AF_INET, text, &address) == 1;
}

/* Adds a daemon of the list to the members.  One that is new counts as live
   until it has missed its status messages, so that daemons that start together
   agree on their duties from the beginning.  */
static void
add_daemon (struct bd_edge *edge, const json_t *item)
{
  const char *name = json_string_value (json_object_get (item, "name"));
  const json_t *data = bd_envelope_data (json_object_get (item, "value"));
  const char *address = json_string_value (json_object_get (data, "address"));
  const char *data_centre
      = json_string_value (json_object_get (data, "data_centre"));
  json_int_t port = json_integer_value (json_object_get (data, "peer_port"));
  struct bd_member *member;
  bool is_new;

  if (json_is_true (json_object_get (item, "is_damaged")) || !is_name (name)
      || !is_name (data_centre) || !is_address (address) || port <= 0
      || port > UINT16_MAX)
    return;
  is_new = bd_membership_find (&edge->membership, name) == NULL;
  member = bd_membership_add (&edge->membership, name, data_centre, address,
                              (uint32_t)port);
  member->is_listed = true;
  member->cpu_share = json_number_value (json_object_get (data, "cpu_share"));
  if (!is_new)
    return;
  member->is_live = true;
  member->last_received_ms = bd_edge_now_ms (edge);
}

static void
handle_registered (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;

  edge->is_registered = reply->error == BD_OK;
  if (!edge->is_registered && reply->error != BD_ERR_CONFLICT)
    bd_log ("register-failed", "reason", bd_error_name (reply->error), NULL);
}

/* Writes this daemon's entry.  previous is its old one in the list, or NULL.
 */
static void
write_entry (struct bd_edge *edge, const json_t *previous)
{
  const struct bd_edge_settings *settings = edge->settings;
  char *key = talloc_asprintf (edge, "%s%s", DAEMONS_PREFIX, settings->name);

  bd_store_update (
      &edge->store, BD_PRIORITY_STATUS, key,
      json_integer_value (json_object_get (previous, "version")),
      json_object_get (previous, "value"),
      json_pack ("{s:s,s:s,s:i,s:f}", "address", settings->address,
                 "data_centre", settings->data_centre, "peer_port",
                 (int)settings->peer_port, "cpu_share", settings->cpu_share),
      CALL_TIMEOUT_MS, handle_registered, edge);
  talloc_free (key);
}

static void
handle_daemons (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_edge *edge = ctx;
  const json_t *own = NULL;
  const json_t *own_data = NULL;
  const json_t *item;
  size_t i;

  edge->is_registering = false;
  if (reply->error != BD_OK)
    return;
  /* Daemons that start together find each other only once all are
     registered.  */
  edge->has_peer_list = edge->has_peer_list || edge->is_registered;
  bd_membership_clear_listed (&edge->membership);
  json_array_foreach (reply->items, i, item)
    {
      const char *name = json_string_value (json_object_get (item, "name"));
      const json_t *data = bd_envelope_data (json_object_get (item, "value"));

      if (name != NULL && strcmp (name, edge->settings->name) == 0)
        {
          own = item;
          own_data = data;
        }
      else
        add_daemon (edge, item);
    }
  if (own == NULL && !edge->has_peer_list)
    edge->first_registered_ms = bd_edge_now_ms (edge);
  if (own != NULL && is_own_entry (edge, own_data))
    edge->is_registered = true;
  else
    write_entry (edge, own);
}

bool
bd_edge_is_finding_peers (const struct bd_edge *edge)
{
  return !edge->has_peer_list
         && bd_edge_now_ms (edge) - edge->started_ms < MAX_DISCOVERY_MS;
}

void
bd_edge_register_again (struct bd_edge *edge)
{
  edge->is_registered = false;
  edge->register_period_ms = 0;
  edge->register_due_ms
      = bd_edge_now_ms (edge)
        + (int64_t)gsl_rng_uniform_int (edge->rng, RESTORE_SPREAD_MS);
}

void
bd_edge_register (struct bd_edge *edge)
{
  int64_t now_ms = bd_edge_now_ms (edge);
  bool is_first = edge->register_period_ms == 0;

  if (edge->is_registering || now_ms < edge->register_due_ms)
    return;
  edge->register_period_ms = is_first ? FIRST_PERIOD_MS
                             : 2 * edge->register_period_ms < LAST_PERIOD_MS
                                 ? 2 * edge->register_period_ms
                                 : LAST_PERIOD_MS;
  edge->register_due_ms = now_ms + edge->register_period_ms;
  if (is_first && edge->settings->is_first_start && edge->store.era == 0)
    {
      /* There is no earlier entry.  */
      write_entry (edge, NULL);
      return;
    }
  edge->is_registering = true;
  /* An old reply is good enough: daemons that it lacks soon send status
     messages.  */
  bd_store_list_stale (&edge->store, BD_PRIORITY_CONFIG, DAEMONS_PREFIX,
                       CALL_TIMEOUT_MS, handle_daemons, edge);
}

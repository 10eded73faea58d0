/* The group keeper's writes and orders, and the spreading of the allotment. */

#include "daemon/daemon_internal.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  WATCH_MS = 20000,
  GIVE_UP_MS = 3000,
  ORDER_TIMEOUT_MS = 1000,
  MAX_ORDERS = 64
};

static void
allotment_key (const struct bd_daemon *daemon, char out[2 * BD_NAME_SIZE])
{
  snprintf (out, 2 * BD_NAME_SIZE, "allotment/%s",
            daemon->settings->data_centre);
}

/* The allotment as text, to be freed; NULL when there is none.  */
static char *
allotment_text (const struct bd_daemon *daemon)
{
  json_t *value;
  char *text;

  if (daemon->keeper.allotment == NULL)
    return NULL;
  value = bd_allotment_to_json (daemon->keeper.allotment);
  text = json_dumps (value, JSON_COMPACT);
  json_decref (value);
  return text;
}

void
bd_daemon_send_allotment (struct bd_daemon *daemon,
                          const struct bd_member *member)
{
  char *text = allotment_text (daemon);
  struct bd_document document = { .text = text };

  if (text != NULL)
    bd_daemon_tell (daemon, member, BD_MESSAGE_ASSIGNMENT, &document);
  free (text);
}

static void
push_allotment (struct bd_daemon *daemon)
{
  char *text = allotment_text (daemon);
  struct bd_document document = { .text = text };

  if (text != NULL)
    bd_daemon_tell_centre (daemon, BD_MESSAGE_ASSIGNMENT, &document);
  free (text);
}

static bool
is_newer_than_held (const struct bd_daemon *daemon,
                    const struct bd_allotment *allotment)
{
  const struct bd_allotment *held = daemon->keeper.allotment;

  return held == NULL || bd_allotment_is_newer (allotment, held);
}

static void
log_allotment (const struct bd_allotment *allotment)
{
  char term[32];
  char sequence[32];
  char groups[16];

  snprintf (term, sizeof term, "%lld", (long long)allotment->term);
  snprintf (sequence, sizeof sequence, "%lld", (long long)allotment->sequence);
  snprintf (groups, sizeof groups, "%u", allotment->count);
  bd_log ("allotment", "keeper", allotment->keeper, "term", term, "sequence",
          sequence, "groups", groups, NULL);
}

/* sent_ms is when the call was sent that says so; 0 when a peer says so,
   which confirms nothing.  */
void
bd_daemon_offer_allotment (struct bd_daemon *daemon, const json_t *data,
                           int64_t sent_ms)
{
  struct bd_allotment *allotment = bd_allotment_from_json (daemon, data);
  bool is_newer;

  if (allotment == NULL)
    return;
  is_newer = is_newer_than_held (daemon, allotment);
  if (strcmp (allotment->data_centre, daemon->settings->data_centre) == 0
      && bd_keeper_confirm (&daemon->keeper, allotment, sent_ms) && is_newer)
    {
      log_allotment (allotment);
      bd_daemon_pump (daemon);
    }
  talloc_free (allotment);
}

static void
keep_envelope (struct bd_daemon *daemon,
               const struct bd_platform_reply *answer)
{
  daemon->allotment_version = answer->version;
  json_decref (daemon->allotment_envelope);
  daemon->allotment_envelope = json_incref (answer->envelope);
}

static void
handle_read (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_daemon *daemon = ctx;

  daemon->is_reading_allotment = false;
  if (answer->error != BD_OK && answer->error != BD_ERR_NOT_FOUND)
    return;
  daemon->allotment_read_ms = answer->sent_ms;
  keep_envelope (daemon, answer);
  if (answer->error == BD_OK)
    bd_daemon_offer_allotment (daemon, answer->data, answer->sent_ms);
  else
    daemon->allotment_version = BD_VERSION_NONE;
}

static void
read_allotment (struct bd_daemon *daemon)
{
  char key[2 * BD_NAME_SIZE];

  if (daemon->is_reading_allotment || daemon->is_writing_allotment)
    return;
  daemon->is_reading_allotment = true;
  allotment_key (daemon, key);
  bd_platform_read (&daemon->platform, BD_PRIORITY_GROUPS, key, GIVE_UP_MS,
                    handle_read, daemon);
}

/* A write of the allotment under way.  */
struct write
{
  struct bd_daemon *daemon;
  json_t *data;
};

static void
ignore (void *ctx, const struct bd_platform_reply *answer)
{
  (void)ctx;
  (void)answer;
}

static void
audit (struct bd_daemon *daemon, const json_t *data)
{
  char key[3 * BD_NAME_SIZE];
  json_t *record = json_pack (
      "{s:I,s:O}", "at_ms", (json_int_t)bd_clock_calendar_ms (&daemon->clock),
      "allotment", data);

  snprintf (
      key, sizeof key, BD_KEY_AUDIT "groups/%s/%06lld-%09lld",
      daemon->settings->data_centre,
      (long long)json_integer_value (json_object_get (data, "term")),
      (long long)json_integer_value (json_object_get (data, "sequence")));
  bd_platform_update (&daemon->platform, BD_PRIORITY_STATUS, key,
                      BD_VERSION_NONE, NULL, record, GIVE_UP_MS, ignore, NULL);
}

static void
handle_written (void *ctx, const struct bd_platform_reply *answer)
{
  struct write *write = ctx;
  struct bd_daemon *daemon = write->daemon;

  daemon->is_writing_allotment = false;
  if (answer->error == BD_OK)
    {
      keep_envelope (daemon, answer);
      daemon->allotment_read_ms = answer->sent_ms;
      bd_daemon_offer_allotment (daemon, write->data, answer->sent_ms);
      push_allotment (daemon);
      audit (daemon, write->data);
      bd_ticker_hurry (&daemon->keeper_ticker, 1);
    }
  else
    daemon->allotment_read_ms = 0;
  json_decref (write->data);
  talloc_free (write);
}

static void
write_allotment (struct bd_daemon *daemon, const struct bd_allotment *next)
{
  struct write *write = talloc_zero (daemon, struct write);
  char key[2 * BD_NAME_SIZE];

  write->daemon = daemon;
  write->data = bd_allotment_to_json (next);
  daemon->is_writing_allotment = true;
  allotment_key (daemon, key);
  bd_platform_update (&daemon->platform, BD_PRIORITY_GROUPS, key,
                      daemon->allotment_version, daemon->allotment_envelope,
                      json_incref (write->data), GIVE_UP_MS, handle_written,
                      write);
}

static void
handle_order_done (void *ctx, struct bd_http_call *call,
                   const struct bd_http_result *result)
{
  struct bd_daemon *daemon = ctx;

  (void)call;
  if (result->status == 409)
    bd_count (&daemon->counters, BD_COUNT_ORDERS_REFUSED);
}

static const struct bd_http_call_ops order_ops = { .done = handle_order_done };

static json_t *
member_ports (const struct bd_daemon *daemon, const struct bd_group *group)
{
  json_t *members = json_array ();

  for (uint32_t i = 0; group != NULL && i < group->member_count; i++)
    {
      const struct bd_unit *unit
          = bd_keeper_unit (&daemon->keeper, group->members[i]);
      json_array_append_new (
          members, json_integer (unit != NULL ? unit->info.port : 0));
    }
  return members;
}

static void
send_order (struct bd_daemon *daemon, const struct bd_order *order)
{
  json_t *body = json_pack (
      "{s:s,s:I,s:I,s:s,s:I,s:s,s:s,s:o}", "action", "load", "fence_term",
      (json_int_t)order->fence_term, "fence_sequence",
      (json_int_t)order->fence_sequence, "group", order->group, "incarnation",
      (json_int_t)order->incarnation, "model", order->model, "version",
      order->version, "members", member_ports (daemon, order->members));
  char *text = json_dumps (body, JSON_COMPACT);
  char *url = talloc_asprintf (daemon, "http://%s:%u/orders", order->address,
                               order->port);
  struct bd_http_out out = { .method = "POST",
                             .url = url,
                             .body = text,
                             .body_size = strlen (text),
                             .timeout_ms = ORDER_TIMEOUT_MS };

  bd_count (&daemon->counters, BD_COUNT_ORDERS);
  bd_http_send (&daemon->client, &out, &order_ops, daemon);
  talloc_free (url);
  free (text);
  json_decref (body);
}

static void
send_orders (struct bd_daemon *daemon)
{
  struct bd_order orders[MAX_ORDERS];
  uint32_t count = bd_keeper_orders (
      &daemon->keeper, bd_daemon_now_ms (daemon), orders, MAX_ORDERS);

  for (uint32_t i = 0; i < count; i++)
    {
      /* The loop may have been held up since the check.  */
      if (!bd_keeper_may_order (&daemon->keeper, bd_daemon_now_ms (daemon)))
        return;
      send_order (daemon, &orders[i]);
    }
}

static void
plan (struct bd_daemon *daemon)
{
  struct bd_allotment *next;

  if (daemon->is_writing_allotment || daemon->allotment_read_ms == 0
      || daemon->config.revision == 0 || daemon->instances_text == NULL)
    return;
  next = bd_keeper_plan (&daemon->keeper, daemon, bd_daemon_now_ms (daemon));
  if (next == NULL)
    return;
  write_allotment (daemon, next);
  talloc_free (next);
}

static void
handle_watch (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_daemon *daemon = ctx;
  json_t *item;
  size_t i;

  daemon->is_watching_allotment = false;
  if (answer->error != BD_OK)
    return;
  daemon->allotment_seen = answer->revision;
  json_array_foreach (answer->items, i, item)
    bd_daemon_offer_allotment (
        daemon, bd_envelope_data (json_object_get (item, "value")), 0);
}

/* Relays see a change that the keeper could not tell them.  */
static void
watch_allotment (struct bd_daemon *daemon)
{
  char key[2 * BD_NAME_SIZE];

  if (daemon->is_watching_allotment || daemon->is_stopping
      || (daemon->keeper.allotment != NULL && !bd_daemon_is_relay (daemon)))
    return;
  daemon->is_watching_allotment = true;
  allotment_key (daemon, key);
  bd_platform_watch (&daemon->platform, key, daemon->allotment_seen, WATCH_MS,
                     handle_watch, daemon);
}

void
bd_daemon_keep_groups (void *ctx)
{
  struct bd_daemon *daemon = ctx;
  int64_t now_ms = bd_daemon_now_ms (daemon);
  int64_t read_age_ms = now_ms - daemon->allotment_read_ms;

  daemon->keeper.is_chosen
      = !bd_daemon_is_settling (daemon)
        && bd_membership_is_keeper (&daemon->membership,
                                    daemon->settings->data_centre);
  if (!daemon->keeper.is_chosen)
    {
      daemon->allotment_read_ms = 0;
      watch_allotment (daemon);
      return;
    }
  if (daemon->allotment_read_ms == 0
      || read_age_ms > daemon->settings->controller_bound_ms / 3)
    read_allotment (daemon);
  plan (daemon);
  send_orders (daemon);
}

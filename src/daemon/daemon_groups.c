/* The writes and orders of the group controller, and the distribution of the
   assignment.  */

#include "daemon/daemon_internal.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  WATCH_TIMEOUT_MS = 20000,
  PLATFORM_TIMEOUT_MS = 3000,
  ORDER_TIMEOUT_MS = 1000,
  MAX_ORDERS = 64
};

static void
assignment_key (const struct bd_daemon *daemon, char out[2 * BD_NAME_SIZE])
{
  snprintf (out, 2 * BD_NAME_SIZE, "allotment/%s",
            daemon->settings->data_centre);
}

/* The assignment as JSON text, freed by the caller; NULL when there is none.
 */
static char *
assignment_json_text (const struct bd_daemon *daemon)
{
  json_t *value;
  char *text;

  if (daemon->controller.assignment == NULL)
    return NULL;
  value = bd_assignment_to_json (daemon->controller.assignment);
  text = json_dumps (value, JSON_COMPACT);
  json_decref (value);
  return text;
}

void
bd_daemon_send_assignment (struct bd_daemon *daemon,
                           const struct bd_member *member)
{
  char *text = assignment_json_text (daemon);
  struct bd_document document = { .text = text };

  if (text != NULL)
    bd_daemon_send (daemon, member, BD_MESSAGE_ASSIGNMENT, &document);
  free (text);
}

static void
broadcast_assignment (struct bd_daemon *daemon)
{
  char *text = assignment_json_text (daemon);
  struct bd_document document = { .text = text };

  if (text != NULL)
    bd_daemon_send_to_data_centre (daemon, BD_MESSAGE_ASSIGNMENT, &document);
  free (text);
}

static bool
is_newer_than_current (const struct bd_daemon *daemon,
                       const struct bd_assignment *assignment)
{
  const struct bd_assignment *current = daemon->controller.assignment;

  return current == NULL || bd_assignment_is_newer (assignment, current);
}

static void
log_assignment (const struct bd_assignment *assignment)
{
  char term[32];
  char sequence[32];
  char groups[16];

  snprintf (term, sizeof term, "%lld", (long long)assignment->term);
  snprintf (sequence, sizeof sequence, "%lld",
            (long long)assignment->sequence);
  snprintf (groups, sizeof groups, "%u", assignment->count);
  bd_log ("allotment", "keeper", assignment->controller, "term", term,
          "sequence", sequence, "groups", groups, NULL);
}

void
bd_daemon_adopt_assignment (struct bd_daemon *daemon, const json_t *data,
                            int64_t sent_ms)
{
  struct bd_assignment *assignment = bd_assignment_from_json (daemon, data);
  bool is_newer;

  if (assignment == NULL)
    return;
  is_newer = is_newer_than_current (daemon, assignment);
  if (strcmp (assignment->data_centre, daemon->settings->data_centre) == 0
      && bd_controller_confirm (&daemon->controller, assignment, sent_ms)
      && is_newer)
    {
      log_assignment (assignment);
      bd_daemon_remove_unlisted_endpoints (daemon);
      bd_daemon_dispatch_queues (daemon);
    }
  talloc_free (assignment);
}

static void
save_envelope (struct bd_daemon *daemon, const struct bd_store_reply *reply)
{
  daemon->assignment_version = reply->version;
  json_decref (daemon->assignment_envelope);
  daemon->assignment_envelope = json_incref (reply->envelope);
}

static void
handle_assignment_read (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_daemon *daemon = ctx;

  daemon->is_reading_assignment = false;
  if (reply->error != BD_OK && reply->error != BD_ERR_NOT_FOUND)
    return;
  daemon->assignment_read_ms = reply->sent_ms;
  save_envelope (daemon, reply);
  if (reply->error == BD_OK)
    bd_daemon_adopt_assignment (daemon, reply->data, reply->sent_ms);
  else
    daemon->assignment_version = BD_VERSION_NONE;
}

static void
read_assignment (struct bd_daemon *daemon)
{
  char key[2 * BD_NAME_SIZE];

  if (daemon->is_reading_assignment || daemon->is_writing_assignment)
    return;
  daemon->is_reading_assignment = true;
  assignment_key (daemon, key);
  bd_store_read (&daemon->platform, BD_PRIORITY_GROUPS, key,
                 PLATFORM_TIMEOUT_MS, handle_assignment_read, daemon);
}

/* A write of the assignment in progress.  */
struct assignment_write
{
  struct bd_daemon *daemon;
  json_t *data;
};

static void
ignore_reply (void *ctx, const struct bd_store_reply *reply)
{
  (void)ctx;
  (void)reply;
}

static void
write_audit_record (struct bd_daemon *daemon, const json_t *data)
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
  bd_store_update (&daemon->platform, BD_PRIORITY_STATUS, key, BD_VERSION_NONE,
                   NULL, record, PLATFORM_TIMEOUT_MS, ignore_reply, NULL);
}

static void
handle_assignment_written (void *ctx, const struct bd_store_reply *reply)
{
  struct assignment_write *assignment_write = ctx;
  struct bd_daemon *daemon = assignment_write->daemon;

  daemon->is_writing_assignment = false;
  if (reply->error == BD_OK)
    {
      save_envelope (daemon, reply);
      daemon->assignment_read_ms = reply->sent_ms;
      bd_daemon_adopt_assignment (daemon, assignment_write->data,
                                  reply->sent_ms);
      broadcast_assignment (daemon);
      write_audit_record (daemon, assignment_write->data);
      bd_ticker_reschedule (&daemon->controller_ticker, 1);
    }
  else
    daemon->assignment_read_ms = 0;
  json_decref (assignment_write->data);
  talloc_free (assignment_write);
}

static void
write_assignment (struct bd_daemon *daemon, const struct bd_assignment *next)
{
  struct assignment_write *assignment_write
      = talloc_zero (daemon, struct assignment_write);
  char key[2 * BD_NAME_SIZE];

  assignment_write->daemon = daemon;
  assignment_write->data = bd_assignment_to_json (next);
  daemon->is_writing_assignment = true;
  assignment_key (daemon, key);
  bd_store_update (&daemon->platform, BD_PRIORITY_GROUPS, key,
                   daemon->assignment_version, daemon->assignment_envelope,
                   json_incref (assignment_write->data), PLATFORM_TIMEOUT_MS,
                   handle_assignment_written, assignment_write);
}

static void
handle_order_done (void *ctx, struct bd_http_call *call,
                   const struct bd_http_result *result)
{
  struct bd_daemon *daemon = ctx;

  (void)call;
  bd_daemon_note_malformed (daemon, "order", result);
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
      const struct bd_instance_state *instance = bd_controller_find_instance (
          &daemon->controller, group->members[i]);
      json_array_append_new (
          members, json_integer (instance != NULL ? instance->info.port : 0));
    }
  return members;
}

static char *
order_json_text (const struct bd_daemon *daemon, const struct bd_order *order)
{
  json_t *body = json_pack (
      "{s:s,s:s,s:I,s:I,s:s,s:I,s:s,s:s,s:o}", "action", "load", "instance",
      order->instance, "fence_term", (json_int_t)order->fence_term,
      "fence_sequence", (json_int_t)order->fence_sequence, "group",
      order->group, "incarnation", (json_int_t)order->incarnation, "model",
      order->model, "version", order->version, "members",
      member_ports (daemon, order->members));
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  return text;
}

static void
send_order (struct bd_daemon *daemon, const struct bd_order *order)
{
  char *text = order_json_text (daemon, order);
  struct bd_http_request out = { .method = "POST",
                                 .body = text,
                                 .timeout_ms = ORDER_TIMEOUT_MS,
                                 .has_dedicated_connection = true };
  char *url;

  /* A name in it is no UTF-8: the model of a spare is the one that its
     endpoint or a peer has reported.  */
  if (text == NULL)
    {
      bd_log ("order-unwritable", "instance", order->instance, NULL);
      return;
    }
  url = talloc_asprintf (daemon, "http://%s:%u/orders", order->address,
                         order->port);
  out.url = url;
  out.body_size = strlen (text);
  bd_count (&daemon->counters, BD_COUNT_ORDERS);
  bd_http_send (&daemon->client, &out, &order_ops, daemon);
  talloc_free (url);
  free (text);
}

static void
send_orders (struct bd_daemon *daemon)
{
  struct bd_order orders[MAX_ORDERS];
  uint32_t count = bd_controller_orders (
      &daemon->controller, bd_daemon_now_ms (daemon), orders, MAX_ORDERS);

  for (uint32_t i = 0; i < count; i++)
    {
      /* The event loop may have been delayed since the check in
         bd_controller_orders().  */
      if (!bd_controller_can_order (&daemon->controller,
                                    bd_daemon_now_ms (daemon)))
        return;
      send_order (daemon, &orders[i]);
    }
}

static void
plan_groups (struct bd_daemon *daemon)
{
  struct bd_assignment *next;

  if (daemon->is_writing_assignment || daemon->assignment_read_ms == 0
      || daemon->config.revision == 0 || daemon->instances_json == NULL)
    return;
  next = bd_controller_plan (&daemon->controller, daemon,
                             bd_daemon_now_ms (daemon));
  if (next == NULL)
    return;
  write_assignment (daemon, next);
  talloc_free (next);
}

static void
handle_assignment_watch (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_daemon *daemon = ctx;
  json_t *item;
  size_t i;

  daemon->is_watching_assignment = false;
  if (reply->error != BD_OK)
    return;
  daemon->assignment_watch_revision = reply->revision;
  json_array_foreach (reply->items, i, item)
    bd_daemon_adopt_assignment (
        daemon, bd_envelope_data (json_object_get (item, "value")), 0);
}

/* Relays watch the assignment, so that they receive a change that the
   controller could not send to them.  */
static void
watch_assignment (struct bd_daemon *daemon)
{
  char key[2 * BD_NAME_SIZE];

  if (daemon->is_watching_assignment || daemon->is_stopping
      || (daemon->controller.assignment != NULL
          && !bd_daemon_is_relay (daemon)))
    return;
  daemon->is_watching_assignment = true;
  assignment_key (daemon, key);
  bd_store_watch (&daemon->platform, key, daemon->assignment_watch_revision,
                  WATCH_TIMEOUT_MS, handle_assignment_watch, daemon);
}

void
bd_daemon_control_groups (void *ctx)
{
  struct bd_daemon *daemon = ctx;
  int64_t now_ms = bd_daemon_now_ms (daemon);
  int64_t read_age_ms = now_ms - daemon->assignment_read_ms;

  daemon->controller.is_selected
      = !bd_daemon_is_starting (daemon)
        && bd_membership_is_controller (&daemon->membership,
                                        daemon->settings->data_centre);
  if (!daemon->controller.is_selected)
    {
      daemon->assignment_read_ms = 0;
      watch_assignment (daemon);
      return;
    }
  if (daemon->assignment_read_ms == 0
      || read_age_ms > daemon->settings->controller_bound_ms / 3)
    read_assignment (daemon);
  plan_groups (daemon);
  send_orders (daemon);
}

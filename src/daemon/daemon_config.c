/* The configuration: relays watch it, the config controller accepts published
   files, and every daemon receives the result.

   The config controller reads the head, makes sure that the record of its last
   change is in the audit trail, lists the published files, and writes the next
   head on condition that the head it has read is unchanged.  So the audit
   trail has no gaps, and of two concurrent controllers one gets a conflict and
   starts again.  */

#include "daemon/daemon_internal.h"

#include "base/log.h"
#include "config/patch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  WATCH_TIMEOUT_MS = 20000,
  PLATFORM_TIMEOUT_MS = 5000
};

/* One acceptance round: checks the published files and writes the next head if
   it differs.  */
struct acceptance
{
  struct bd_daemon *daemon;
  int64_t head_version;
  json_t *head_envelope;
  json_t *head; /* As read from the platform, or NULL.  */
  struct bd_acceptance result;
};

void
bd_daemon_send_config (struct bd_daemon *daemon,
                       const struct bd_member *member)
{
  char *text;
  struct bd_document document;

  if (daemon->config.revision <= member->config_revision)
    return;
  text = json_dumps (daemon->config.head, JSON_COMPACT);
  document.text = text;
  if (text != NULL)
    bd_daemon_send (daemon, member, BD_MESSAGE_CONFIG, &document);
  free (text);
}

bool
bd_daemon_is_config_controller (const struct bd_daemon *daemon)
{
  const struct bd_member *self = &daemon->membership.members[0];

  if (daemon->is_stopping || bd_daemon_is_starting (daemon)
      || !bd_daemon_is_relay (daemon))
    return false;
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live && !member->is_stopping
          && bd_membership_is_relay (&daemon->membership, member)
          && strcmp (member->name, self->name) < 0)
        return false;
    }
  return true;
}

static void
log_revision (const char *event, int64_t revision)
{
  char text[32];

  snprintf (text, sizeof text, "%lld", (long long)revision);
  bd_log (event, "revision", text, NULL);
}

/* Sends the change to the members that this daemon sends heartbeats to and
   that have an older revision.  */
static void
send_patch (struct bd_daemon *daemon, const json_t *patch)
{
  char *text = json_dumps (patch, JSON_COMPACT);
  struct bd_document document = { .text = text };

  for (uint32_t i = 1; i < daemon->membership.count && text != NULL; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live && member->config_revision < daemon->config.revision
          && bd_membership_should_send_heartbeat (&daemon->membership, member))
        bd_daemon_send (daemon, member, BD_MESSAGE_CONFIG, &document);
    }
  free (text);
}

/* Requests the complete head from a live relay.  */
static void
request_head (struct bd_daemon *daemon)
{
  struct bd_state_request request = { .wants_config = true };

  bd_name_copy (request.from, daemon->settings->name);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (!member->is_live
          || !bd_membership_is_relay (&daemon->membership, member))
        continue;
      bd_daemon_send (daemon, member, BD_MESSAGE_STATE_REQUEST, &request);
      return;
    }
}

void
bd_daemon_receive_config (struct bd_daemon *daemon, const json_t *value)
{
  json_t *head;

  if (!bd_head_is_patch (value))
    {
      bd_daemon_adopt_config_head (daemon, value);
      return;
    }
  if (bd_head_revision (value) <= daemon->config.revision)
    return;
  head = bd_head_apply_patch (daemon->config.head, value);
  if (head != NULL)
    bd_daemon_adopt_config_head (daemon, head);
  else
    request_head (daemon);
  json_decref (head);
}

void
bd_daemon_adopt_config_head (struct bd_daemon *daemon, const json_t *head)
{
  int64_t revision = bd_head_revision (head);
  json_t *patch = bd_head_make_patch (daemon->config.head, head);
  enum bd_error error = bd_config_adopt (&daemon->config, head);

  if (error == BD_OK)
    send_patch (daemon, patch);
  json_decref (patch);
  if (error == BD_ERR_STALE)
    {
      if (revision < daemon->config.revision)
        {
          bd_count (&daemon->counters, BD_COUNT_CONFIG_LOWER_REVISION);
          log_revision ("lower-revision-refused", revision);
        }
      return;
    }
  if (error != BD_OK)
    {
      log_revision ("configuration-unreadable", revision);
      return;
    }
  bd_count (&daemon->counters, BD_COUNT_CONFIG_ADOPTED);
  log_revision ("configuration-in-force", revision);
  bd_controller_set_services (
      &daemon->controller,
      (const struct bd_service *const *)daemon->config.services,
      daemon->config.service_count);
  bd_ticker_reschedule (&daemon->heartbeat_ticker, 1);
  bd_daemon_dispatch_queues (daemon);
}

static void
handle_head_watch (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_daemon *daemon = ctx;
  json_t *item;
  size_t i;

  daemon->is_watching_head = false;
  if (reply->error != BD_OK)
    return;
  if (daemon->head_watch_revision == 0 && json_array_size (reply->items) == 0)
    daemon->store_revision = 0;
  /* A watch that ends without a change starts again from revision 0, which
     reads the head once more: a store that was restored from a backup reports
     no change.  */
  daemon->head_watch_revision
      = json_array_size (reply->items) > 0 ? reply->revision : 0;
  json_array_foreach (reply->items, i, item)
    {
      json_t *head = bd_envelope_data (json_object_get (item, "value"));

      if (json_is_true (json_object_get (item, "is_damaged")))
        {
          bd_log ("config-damaged", "key", BD_KEY_HEAD, NULL);
          continue;
        }
      daemon->store_revision = bd_head_revision (head);
      bd_daemon_adopt_config_head (daemon, head);
    }
  bd_daemon_sync_config (daemon);
}

static void
watch_head (struct bd_daemon *daemon)
{
  bool is_needed = daemon->config.revision == 0 || bd_daemon_is_relay (daemon);

  if (!is_needed || daemon->is_watching_head || daemon->is_stopping)
    return;
  daemon->is_watching_head = true;
  bd_store_watch (&daemon->platform, "accepted/", daemon->head_watch_revision,
                  WATCH_TIMEOUT_MS, handle_head_watch, daemon);
}

static void start_acceptance (struct bd_daemon *daemon);

static void
handle_published_watch (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_daemon *daemon = ctx;

  daemon->is_watching_published = false;
  if (reply->error != BD_OK)
    return;
  if (json_array_size (reply->items) > 0)
    daemon->is_acceptance_due = true;
  daemon->published_watch_revision = reply->revision;
  bd_daemon_sync_config (daemon);
}

static void
watch_published (struct bd_daemon *daemon)
{
  if (daemon->is_watching_published)
    return;
  daemon->is_watching_published = true;
  bd_store_watch (&daemon->platform, BD_KEY_PUBLISHED,
                  daemon->published_watch_revision, WATCH_TIMEOUT_MS,
                  handle_published_watch, daemon);
}

static void
finish_acceptance (struct acceptance *acceptance)
{
  acceptance->daemon->is_accepting = false;
  json_decref (acceptance->head_envelope);
  json_decref (acceptance->result.head);
  json_decref (acceptance->result.decisions);
  talloc_free (acceptance);
}

static void
retry_acceptance (struct acceptance *acceptance)
{
  acceptance->daemon->is_acceptance_due = true;
  finish_acceptance (acceptance);
}

static void
audit_key (int64_t revision, char out[BD_NAME_SIZE])
{
  snprintf (out, BD_NAME_SIZE, BD_KEY_AUDIT "config/%012lld",
            (long long)revision);
}

static void
handle_head_written (void *ctx, const struct bd_store_reply *reply)
{
  struct acceptance *acceptance = ctx;
  struct bd_daemon *daemon = acceptance->daemon;

  if (reply->error != BD_OK)
    {
      retry_acceptance (acceptance);
      return;
    }
  daemon->store_revision = bd_head_revision (acceptance->result.head);
  bd_daemon_adopt_config_head (daemon, acceptance->result.head);
  json_decref (daemon->published_decisions);
  daemon->published_decisions = json_incref (acceptance->result.decisions);
  /* The next round records this change in the audit trail.  */
  retry_acceptance (acceptance);
}

/* The head that the next one is based on: the head in force if the one on the
   platform is older.  */
static const json_t *
base_head (const struct acceptance *acceptance)
{
  const struct bd_config *config = &acceptance->daemon->config;

  return bd_head_revision (acceptance->head) < config->revision
             ? config->head
             : acceptance->head;
}

/* The head on the platform is older than the head in force: the latter is
   written again under a higher revision.  */
static void
restore_head (struct acceptance *acceptance)
{
  const json_t *base = base_head (acceptance);
  int64_t revision = bd_head_revision (base) + 1;
  json_t *change = json_pack (
      "{s:I,s:I,s:s,s:[],s:b}", "revision", (json_int_t)revision, "at_ms",
      (json_int_t)bd_clock_calendar_ms (&acceptance->daemon->clock), "keeper",
      acceptance->daemon->settings->name, "services", "restored", 1);

  acceptance->result.head = json_deep_copy (base);
  json_object_set_new (acceptance->result.head, "revision",
                       json_integer (revision));
  json_object_set_new (acceptance->result.head, "change", change);
  log_revision ("older-store-restored", revision);
}

static bool
is_store_behind (const struct acceptance *acceptance)
{
  return bd_head_revision (acceptance->head)
         < acceptance->daemon->config.revision;
}

static void
log_rejections (struct bd_daemon *daemon, const struct bd_acceptance *result)
{
  const char *service;
  json_t *decision;

  bd_count_add (&daemon->counters, BD_COUNT_CONFIG_REJECTED, result->rejected);
  json_object_foreach (result->decisions, service, decision)
    {
      const char *state
          = json_string_value (json_object_get (decision, "state"));
      const char *reason
          = json_string_value (json_object_get (decision, "reason"));
      if (strcmp (state, "rejected") == 0)
        bd_log ("file-rejected", "service", service, "reason", reason, NULL);
    }
}

static void
handle_published (void *ctx, const struct bd_store_reply *reply)
{
  struct acceptance *acceptance = ctx;
  struct bd_daemon *daemon = acceptance->daemon;
  size_t count = json_array_size (reply->items);
  struct bd_published *files;
  uint32_t file_count = 0;

  if (reply->error != BD_OK)
    {
      retry_acceptance (acceptance);
      return;
    }
  files = talloc_array (acceptance, struct bd_published, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      json_t *item = json_array_get (reply->items, i);
      json_t *data = bd_envelope_data (json_object_get (item, "value"));
      if (bd_published_from_json (data, &files[file_count]))
        file_count++;
    }
  bd_config_accept (
      base_head (acceptance), files, file_count, daemon->settings->name,
      bd_clock_calendar_ms (&daemon->clock), &acceptance->result);
  if (acceptance->result.head == NULL && is_store_behind (acceptance))
    restore_head (acceptance);
  if (acceptance->result.head == NULL)
    {
      if (!json_equal (daemon->published_decisions,
                       acceptance->result.decisions))
        log_rejections (daemon, &acceptance->result);
      json_decref (daemon->published_decisions);
      daemon->published_decisions = json_incref (acceptance->result.decisions);
      finish_acceptance (acceptance);
      return;
    }
  log_rejections (daemon, &acceptance->result);
  bd_store_update (&daemon->platform, BD_PRIORITY_CONFIG, BD_KEY_HEAD,
                   acceptance->head_version, acceptance->head_envelope,
                   json_incref (acceptance->result.head), PLATFORM_TIMEOUT_MS,
                   handle_head_written, acceptance);
}

static void
list_published (struct acceptance *acceptance)
{
  bd_store_list (&acceptance->daemon->platform, BD_PRIORITY_CONFIG,
                 BD_KEY_PUBLISHED, PLATFORM_TIMEOUT_MS, handle_published,
                 acceptance);
}

static void
handle_audited (void *ctx, const struct bd_store_reply *reply)
{
  struct acceptance *acceptance = ctx;

  /* A conflict means that the record exists already.  */
  if (reply->error != BD_OK && reply->error != BD_ERR_CONFLICT)
    {
      retry_acceptance (acceptance);
      return;
    }
  acceptance->daemon->audited_revision = bd_head_revision (acceptance->head);
  list_published (acceptance);
}

static void
handle_head_read (void *ctx, const struct bd_store_reply *reply)
{
  struct acceptance *acceptance = ctx;
  char key[BD_NAME_SIZE];
  json_t *change;

  if (reply->error != BD_OK && reply->error != BD_ERR_NOT_FOUND)
    {
      retry_acceptance (acceptance);
      return;
    }
  acceptance->head_version
      = reply->error == BD_OK ? reply->version : BD_VERSION_NONE;
  acceptance->head_envelope = json_incref (reply->envelope);
  acceptance->head = bd_envelope_data (acceptance->head_envelope);
  acceptance->daemon->store_revision = bd_head_revision (acceptance->head);
  change = json_object_get (acceptance->head, "change");
  if (change == NULL
      || bd_head_revision (acceptance->head)
             <= acceptance->daemon->audited_revision)
    {
      list_published (acceptance);
      return;
    }
  audit_key (bd_head_revision (acceptance->head), key);
  bd_store_update (&acceptance->daemon->platform, BD_PRIORITY_CONFIG, key,
                   BD_VERSION_NONE, NULL, json_incref (change),
                   PLATFORM_TIMEOUT_MS, handle_audited, acceptance);
}

static void
start_acceptance (struct bd_daemon *daemon)
{
  struct acceptance *acceptance;

  if (!daemon->is_acceptance_due || daemon->is_accepting)
    return;
  daemon->is_acceptance_due = false;
  daemon->is_accepting = true;
  acceptance = talloc_zero (daemon, struct acceptance);
  acceptance->daemon = daemon;
  bd_store_read (&daemon->platform, BD_PRIORITY_CONFIG, BD_KEY_HEAD,
                 PLATFORM_TIMEOUT_MS, handle_head_read, acceptance);
}

void
bd_daemon_sync_config (struct bd_daemon *daemon)
{
  watch_head (daemon);
  if (!bd_daemon_is_config_controller (daemon))
    {
      /* On becoming the controller, this daemon reads everything again.  */
      daemon->published_watch_revision = 0;
      daemon->is_status_known = false;
      return;
    }
  watch_published (daemon);
  /* The head on the platform is older than the one in force: an acceptance
     round writes the latter again.  */
  if (daemon->store_revision < daemon->config.revision)
    daemon->is_acceptance_due = true;
  start_acceptance (daemon);
  bd_daemon_write_status (daemon);
}

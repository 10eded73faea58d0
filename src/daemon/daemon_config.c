/* The configuration: watched by relays, accepted by one keeper, spread to all.

   The keeper reads the head, makes sure that the record of its last change is
   in the audit trail, lists the published files, and writes the next head on
   the condition that the one it read still stands.  So the trail has no gap,
   and of two keepers one loses and starts again.  */

#include "daemon/daemon_internal.h"

#include "base/log.h"
#include "config/patch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  WATCH_MS = 20000,
  GIVE_UP_MS = 5000
};

/* One round of acceptance.  */
struct acceptance
{
  struct bd_daemon *daemon;
  int64_t head_version;
  json_t *head_envelope;
  json_t *head; /* What the platform holds, or NULL.  */
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
    bd_daemon_tell (daemon, member, BD_MESSAGE_CONFIG, &document);
  free (text);
}

bool
bd_daemon_is_config_keeper (const struct bd_daemon *daemon)
{
  const struct bd_member *self = &daemon->membership.members[0];

  if (daemon->is_stopping || bd_daemon_is_settling (daemon)
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

/* Tells every member of this centre that lacks it what has changed.  */
static void
push_patch (struct bd_daemon *daemon, const json_t *patch)
{
  char *text = json_dumps (patch, JSON_COMPACT);
  struct bd_document document = { .text = text };

  for (uint32_t i = 1; i < daemon->membership.count && text != NULL; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (member->is_live && member->config_revision < daemon->config.revision
          && bd_membership_must_tell (&daemon->membership, member))
        bd_daemon_tell (daemon, member, BD_MESSAGE_CONFIG, &document);
    }
  free (text);
}

/* Asks a peer of this centre for the whole head.  */
static void
ask_for_head (struct bd_daemon *daemon)
{
  struct bd_state_request get = { .wants_config = true };

  bd_name_copy (get.from, daemon->settings->name);
  for (uint32_t i = 1; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      if (!member->is_live
          || !bd_membership_is_relay (&daemon->membership, member))
        continue;
      bd_daemon_tell (daemon, member, BD_MESSAGE_STATE_REQUEST, &get);
      return;
    }
}

void
bd_daemon_take_config (struct bd_daemon *daemon, const json_t *value)
{
  json_t *head;

  if (!bd_head_is_patch (value))
    {
      bd_daemon_offer_head (daemon, value);
      return;
    }
  if (bd_head_revision (value) <= daemon->config.revision)
    return;
  head = bd_head_apply_patch (daemon->config.head, value);
  if (head != NULL)
    bd_daemon_offer_head (daemon, head);
  else
    ask_for_head (daemon);
  json_decref (head);
}

void
bd_daemon_offer_head (struct bd_daemon *daemon, const json_t *head)
{
  int64_t revision = bd_head_revision (head);
  json_t *patch = bd_head_make_patch (daemon->config.head, head);
  enum bd_error error = bd_config_adopt (&daemon->config, head);

  if (error == BD_OK)
    push_patch (daemon, patch);
  json_decref (patch);
  if (error == BD_ERR_STALE)
    {
      if (revision < daemon->config.revision)
        {
          bd_count (&daemon->counters, BD_COUNT_CONFIG_LOWER);
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
  bd_keeper_services (
      &daemon->keeper,
      (const struct bd_service *const *)daemon->config.services,
      daemon->config.service_count);
  bd_ticker_hurry (&daemon->heartbeat_ticker, 1);
  bd_daemon_pump (daemon);
}

static void
handle_head_watch (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_daemon *daemon = ctx;
  json_t *item;
  size_t i;

  daemon->is_watching_head = false;
  if (answer->error != BD_OK)
    return;
  if (daemon->head_revision_seen == 0 && json_array_size (answer->items) == 0)
    daemon->store_revision = 0;
  /* After a quiet wait everything is read once more: a store that was
     restored has no news to tell.  */
  daemon->head_revision_seen
      = json_array_size (answer->items) > 0 ? answer->revision : 0;
  json_array_foreach (answer->items, i, item)
    {
      json_t *head = bd_envelope_data (json_object_get (item, "value"));

      daemon->store_revision = bd_head_revision (head);
      bd_daemon_offer_head (daemon, head);
    }
  bd_daemon_config_step (daemon);
}

static void
watch_head (struct bd_daemon *daemon)
{
  bool wants = daemon->config.revision == 0 || bd_daemon_is_relay (daemon);

  if (!wants || daemon->is_watching_head || daemon->is_stopping)
    return;
  daemon->is_watching_head = true;
  bd_platform_watch (&daemon->platform, "accepted/",
                     daemon->head_revision_seen, WATCH_MS, handle_head_watch,
                     daemon);
}

static void start_acceptance (struct bd_daemon *daemon);

static void
handle_published_watch (void *ctx, const struct bd_platform_reply *answer)
{
  struct bd_daemon *daemon = ctx;

  daemon->is_watching_published = false;
  if (answer->error != BD_OK)
    return;
  if (json_array_size (answer->items) > 0)
    daemon->must_accept = true;
  daemon->published_revision = answer->revision;
  bd_daemon_config_step (daemon);
}

static void
watch_published (struct bd_daemon *daemon)
{
  if (daemon->is_watching_published)
    return;
  daemon->is_watching_published = true;
  bd_platform_watch (&daemon->platform, BD_KEY_PUBLISHED,
                     daemon->published_revision, WATCH_MS,
                     handle_published_watch, daemon);
}

static void
end_acceptance (struct acceptance *a)
{
  a->daemon->is_accepting = false;
  json_decref (a->head_envelope);
  json_decref (a->result.head);
  json_decref (a->result.decisions);
  talloc_free (a);
}

static void
retry_acceptance (struct acceptance *a)
{
  a->daemon->must_accept = true;
  end_acceptance (a);
}

static void
audit_key (int64_t revision, char out[BD_NAME_SIZE])
{
  snprintf (out, BD_NAME_SIZE, BD_KEY_AUDIT "config/%012lld",
            (long long)revision);
}

static void
handle_head_written (void *ctx, const struct bd_platform_reply *answer)
{
  struct acceptance *a = ctx;
  struct bd_daemon *daemon = a->daemon;

  if (answer->error != BD_OK)
    {
      retry_acceptance (a);
      return;
    }
  daemon->store_revision = bd_head_revision (a->result.head);
  bd_daemon_offer_head (daemon, a->result.head);
  json_decref (daemon->published_verdicts);
  daemon->published_verdicts = json_incref (a->result.decisions);
  /* The next round records this change in the audit trail.  */
  retry_acceptance (a);
}

/* The head that the next one is built on: what is in force goes before what
   the platform holds, should that be older.  */
static const json_t *
base_head (const struct acceptance *a)
{
  const struct bd_config *config = &a->daemon->config;

  return bd_head_revision (a->head) < config->revision ? config->head
                                                       : a->head;
}

/* The platform has fallen behind what is in force: write that again, under a
   higher revision.  */
static void
restore_head (struct acceptance *a)
{
  const json_t *base = base_head (a);
  int64_t revision = bd_head_revision (base) + 1;
  json_t *change = json_pack (
      "{s:I,s:I,s:s,s:[],s:b}", "revision", (json_int_t)revision, "at_ms",
      (json_int_t)bd_clock_calendar_ms (&a->daemon->clock), "keeper",
      a->daemon->settings->name, "services", "restored", 1);

  a->result.head = json_deep_copy (base);
  json_object_set_new (a->result.head, "revision", json_integer (revision));
  json_object_set_new (a->result.head, "change", change);
  log_revision ("older-store-restored", revision);
}

static bool
is_store_behind (const struct acceptance *a)
{
  return bd_head_revision (a->head) < a->daemon->config.revision;
}

static void
log_verdicts (struct bd_daemon *daemon, const struct bd_acceptance *result)
{
  const char *service;
  json_t *verdict;

  bd_count_add (&daemon->counters, BD_COUNT_CONFIG_REJECTED, result->rejected);
  json_object_foreach (result->decisions, service, verdict)
    {
      const char *state
          = json_string_value (json_object_get (verdict, "state"));
      const char *reason
          = json_string_value (json_object_get (verdict, "reason"));
      if (strcmp (state, "rejected") == 0)
        bd_log ("file-rejected", "service", service, "reason", reason, NULL);
    }
}

static void
handle_published (void *ctx, const struct bd_platform_reply *answer)
{
  struct acceptance *a = ctx;
  struct bd_daemon *daemon = a->daemon;
  size_t count = json_array_size (answer->items);
  struct bd_published *files;
  uint32_t used = 0;

  if (answer->error != BD_OK)
    {
      retry_acceptance (a);
      return;
    }
  files = talloc_array (a, struct bd_published, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      json_t *item = json_array_get (answer->items, i);
      json_t *data = bd_envelope_data (json_object_get (item, "value"));
      if (bd_published_from_json (data, &files[used]))
        used++;
    }
  bd_config_accept (base_head (a), files, used, daemon->settings->name,
                    bd_clock_calendar_ms (&daemon->clock), &a->result);
  if (a->result.head == NULL && is_store_behind (a))
    restore_head (a);
  if (a->result.head == NULL)
    {
      if (!json_equal (daemon->published_verdicts, a->result.decisions))
        log_verdicts (daemon, &a->result);
      json_decref (daemon->published_verdicts);
      daemon->published_verdicts = json_incref (a->result.decisions);
      end_acceptance (a);
      return;
    }
  log_verdicts (daemon, &a->result);
  bd_platform_update (&daemon->platform, BD_PRIORITY_CONFIG, BD_KEY_HEAD,
                      a->head_version, a->head_envelope,
                      json_incref (a->result.head), GIVE_UP_MS,
                      handle_head_written, a);
}

static void
list_published (struct acceptance *a)
{
  bd_platform_list (&a->daemon->platform, BD_PRIORITY_CONFIG, BD_KEY_PUBLISHED,
                    GIVE_UP_MS, handle_published, a);
}

static void
handle_audited (void *ctx, const struct bd_platform_reply *answer)
{
  struct acceptance *a = ctx;

  /* A conflict means that the record is there already.  */
  if (answer->error != BD_OK && answer->error != BD_ERR_CONFLICT)
    {
      retry_acceptance (a);
      return;
    }
  a->daemon->audited_revision = bd_head_revision (a->head);
  list_published (a);
}

static void
handle_head_read (void *ctx, const struct bd_platform_reply *answer)
{
  struct acceptance *a = ctx;
  char key[BD_NAME_SIZE];
  json_t *change;

  if (answer->error != BD_OK && answer->error != BD_ERR_NOT_FOUND)
    {
      retry_acceptance (a);
      return;
    }
  a->head_version = answer->error == BD_OK ? answer->version : BD_VERSION_NONE;
  a->head_envelope = json_incref (answer->envelope);
  a->head = bd_envelope_data (a->head_envelope);
  a->daemon->store_revision = bd_head_revision (a->head);
  change = json_object_get (a->head, "change");
  if (change == NULL
      || bd_head_revision (a->head) <= a->daemon->audited_revision)
    {
      list_published (a);
      return;
    }
  audit_key (bd_head_revision (a->head), key);
  bd_platform_update (&a->daemon->platform, BD_PRIORITY_CONFIG, key,
                      BD_VERSION_NONE, NULL, json_incref (change), GIVE_UP_MS,
                      handle_audited, a);
}

static void
start_acceptance (struct bd_daemon *daemon)
{
  struct acceptance *a;

  if (!daemon->must_accept || daemon->is_accepting)
    return;
  daemon->must_accept = false;
  daemon->is_accepting = true;
  a = talloc_zero (daemon, struct acceptance);
  a->daemon = daemon;
  bd_platform_read (&daemon->platform, BD_PRIORITY_CONFIG, BD_KEY_HEAD,
                    GIVE_UP_MS, handle_head_read, a);
}

void
bd_daemon_config_step (struct bd_daemon *daemon)
{
  watch_head (daemon);
  if (!bd_daemon_is_config_keeper (daemon))
    {
      /* Whoever takes over looks at everything first.  */
      daemon->published_revision = 0;
      daemon->is_status_known = false;
      return;
    }
  watch_published (daemon);
  /* The platform has lost what is in force: it is written again.  */
  if (daemon->store_revision < daemon->config.revision)
    daemon->must_accept = true;
  start_acceptance (daemon);
  bd_daemon_write_status (daemon);
}

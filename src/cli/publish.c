/* burdockdale publish: hands service files over, by conditional updates.  */

#include "cli/cli.h"
#include "cli/files.h"
#include "cli/session.h"
#include "config/config.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

enum
{
  WAIT_POLL_MS = 100,
  DEFAULT_TIMEOUT_S = 30
};

/* One file on its way.  */
struct entry
{
  char service[BD_NAME_SIZE];
  const char *path;
  const char *text;
  int64_t generation;
  bool is_removed;
};

static int64_t
integer_at (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

/* The generation that must be passed: of what is published, in force and
   removed.  */
static int64_t
highest_generation (const json_t *published, const json_t *head,
                    const char *service)
{
  const json_t *accepted
      = json_object_get (json_object_get (head, "services"), service);
  int64_t highest = integer_at (published, "generation");
  int64_t removed = integer_at (json_object_get (head, "removed"), service);

  if (integer_at (accepted, "generation") > highest)
    highest = integer_at (accepted, "generation");
  return removed > highest ? removed : highest;
}

static bool
is_unchanged (const json_t *published, const json_t *head,
              const struct entry *entry)
{
  const json_t *accepted
      = json_object_get (json_object_get (head, "services"), entry->service);
  const char *text = json_string_value (json_object_get (published, "text"));
  bool was_removed = json_is_true (json_object_get (published, "removed"));

  return text != NULL && strcmp (text, entry->text) == 0
         && was_removed == entry->is_removed
         && integer_at (published, "generation")
                >= integer_at (accepted, "generation");
}

static void
report_loss (struct bd_session *session, const char *key,
             const struct entry *entry)
{
  struct bd_session_answer now;
  const char *winner;

  bd_session_read (session, key, &now);
  winner = json_string_value (json_object_get (now.data, "by"));
  fprintf (stderr,
           "publish: %s: lost the race: %s published generation %lld first\n",
           entry->service, winner != NULL ? winner : "somebody",
           (long long)integer_at (now.data, "generation"));
  bd_session_answer_finish (&now);
}

static bool
publish_entry (struct bd_session *session, const json_t *head,
               struct entry *entry, const char *by, uint32_t hold_ms)
{
  struct bd_session_answer held;
  struct bd_session_answer written;
  struct bd_published published = { .service = entry->service,
                                    .file = entry->path,
                                    .text = entry->text,
                                    .by = by,
                                    .is_removed = entry->is_removed };
  char *key = talloc_asprintf (NULL, BD_KEY_PUBLISHED "%s", entry->service);
  bool is_good = false;

  bd_session_read (session, key, &held);
  if (held.error != BD_OK && held.error != BD_ERR_NOT_FOUND)
    {
      fprintf (stderr, "publish: %s: the platform does not answer\n",
               entry->service);
      goto out;
    }
  entry->generation = integer_at (held.data, "generation");
  if (is_unchanged (held.data, head, entry))
    {
      printf ("%s: unchanged, generation %lld\n", entry->service,
              (long long)entry->generation);
      is_good = true;
      goto out;
    }
  published.generation
      = highest_generation (held.data, head, entry->service) + 1;
  if (hold_ms > 0)
    bd_session_pause (session, hold_ms);
  bd_session_update (
      session, key, held.error == BD_OK ? held.version : BD_VERSION_NONE,
      held.envelope, bd_published_to_json (&published), &written);
  is_good = written.error == BD_OK;
  entry->generation = published.generation;
  if (is_good)
    printf ("%s: published, generation %lld\n", entry->service,
            (long long)entry->generation);
  else if (written.error == BD_ERR_CONFLICT)
    report_loss (session, key, entry);
  else
    fprintf (stderr, "publish: %s: nobody knows whether it was written\n",
             entry->service);
  bd_session_answer_finish (&written);

out:
  bd_session_answer_finish (&held);
  talloc_free (key);
  return is_good;
}

enum wait
{
  WAIT_MORE,
  WAIT_IN_FORCE,
  WAIT_REJECTED
};

static enum wait
look_at_verdict (const json_t *status, const struct entry *entry)
{
  const json_t *verdict
      = json_object_get (json_object_get (status, "verdicts"), entry->service);
  const char *state = json_string_value (json_object_get (verdict, "state"));
  const char *reason = json_string_value (json_object_get (verdict, "reason"));

  if (state == NULL || integer_at (verdict, "generation") < entry->generation)
    return WAIT_MORE;
  if (strcmp (state, "rejected") != 0)
    return WAIT_IN_FORCE;
  fprintf (stderr, "%s: rejected\n%s", entry->service, reason);
  return WAIT_REJECTED;
}

/* Whether every live daemon has at least this revision.  */
static bool
is_everywhere (const json_t *status, int64_t revision)
{
  const json_t *centres = json_object_get (status, "centres");
  const json_t *daemons = json_object_get (status, "daemons");
  const json_t *entry;
  size_t i;

  json_array_foreach (centres, i, entry)
    if (integer_at (entry, "lowest_revision") < revision)
      return false;
  json_array_foreach (daemons, i, entry)
    if (integer_at (entry, "revision") < revision)
      return false;
  return integer_at (status, "revision") >= revision;
}

static enum wait
look (struct bd_session *session, const struct entry *entries, uint32_t count,
      int64_t *revision)
{
  struct bd_session_answer status;
  struct bd_session_answer head;
  enum wait result = WAIT_IN_FORCE;

  bd_session_read (session, BD_KEY_STATUS, &status);
  bd_session_read (session, BD_KEY_HEAD, &head);
  for (uint32_t i = 0; i < count && result == WAIT_IN_FORCE; i++)
    result = look_at_verdict (status.data, &entries[i]);
  *revision = bd_head_revision (head.data);
  if (result == WAIT_IN_FORCE && !is_everywhere (status.data, *revision))
    result = WAIT_MORE;
  bd_session_answer_finish (&status);
  bd_session_answer_finish (&head);
  return result;
}

static bool
wait_until_in_force (struct bd_session *session, const struct entry *entries,
                     uint32_t count, uint32_t timeout_s)
{
  int64_t from_ms = bd_clock_now_ms (&session->clock);
  int64_t until_ms = from_ms + (int64_t)timeout_s * 1000;
  int64_t revision = 0;

  while (bd_clock_now_ms (&session->clock) < until_ms)
    {
      enum wait result = look (session, entries, count, &revision);
      if (result == WAIT_REJECTED)
        return false;
      if (result == WAIT_IN_FORCE)
        {
          printf ("revision %lld is in force on every live daemon after "
                  "%lld ms\n",
                  (long long)revision,
                  (long long)(bd_clock_now_ms (&session->clock) - from_ms));
          return true;
        }
      bd_session_pause (session, WAIT_POLL_MS);
    }
  fprintf (stderr, "publish: not in force everywhere after %u s\n", timeout_s);
  return false;
}

static struct entry *
list_entries (void *ctx, const struct bd_service_file *files, uint32_t count,
              const struct arg_str *removed, uint32_t *total)
{
  struct entry *entries = talloc_zero_array (
      ctx, struct entry, count + (uint32_t)removed->count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      bd_name_copy (entries[i].service, files[i].service->name);
      entries[i].path = files[i].path;
      entries[i].text = files[i].text;
    }
  for (int i = 0; i < removed->count; i++)
    {
      struct entry *entry = &entries[count + (uint32_t)i];
      bd_name_copy (entry->service, removed->sval[i]);
      entry->path = "(removed)";
      entry->text = "";
      entry->is_removed = true;
    }
  *total = count + (uint32_t)removed->count;
  return entries;
}

static int
run (const char *url, struct entry *entries, uint32_t count, const char *by,
     bool waits, uint32_t timeout_s, uint32_t hold_ms)
{
  struct bd_session session;
  struct bd_session_answer head;
  bool is_good = true;

  if (!bd_session_init (&session, url))
    return BD_EXIT_FAILED;
  bd_session_read (&session, BD_KEY_HEAD, &head);
  for (uint32_t i = 0; i < count; i++)
    is_good = publish_entry (&session, head.data, &entries[i], by, hold_ms)
              && is_good;
  if (is_good && waits)
    is_good = wait_until_in_force (&session, entries, count, timeout_s);
  bd_session_answer_finish (&head);
  bd_session_finish (&session);
  return is_good ? BD_EXIT_OK : BD_EXIT_FAILED;
}

int
bd_cli_publish (int argc, char **argv)
{
  struct arg_file *dir
      = arg_file0 (NULL, NULL, "DIR", "folder of service files, or one file");
  struct arg_str *url
      = arg_str1 (NULL, "platform", "URL", "the platform's Object API");
  struct arg_str *by
      = arg_str0 (NULL, "by", "NAME", "who publishes (default: operator)");
  struct arg_str *removed = arg_strn (NULL, "remove", "SERVICE", 0, 64,
                                      "takes a service out of force");
  struct arg_lit *wait
      = arg_lit0 (NULL, "wait", "until in force on every live daemon");
  struct arg_int *timeout
      = arg_int0 (NULL, "timeout", "SECONDS", "longest wait (default: 30)");
  struct arg_int *hold
      = arg_int0 (NULL, "hold-ms", "MS",
                  "pause between reading and writing, to provoke races");
  struct arg_lit *help = arg_lit0 (NULL, "help", "this text");
  struct arg_end *end = arg_end (8);
  void *table[] = { dir, url, by, removed, wait, timeout, hold, help, end };
  int code = bd_cli_parse (argc, argv, table, help, end,
                           "Checks service files and publishes those that "
                           "changed.  Of two that race, one wins.");
  void *ctx = talloc_new (NULL);
  struct bd_faults faults = { .ctx = ctx };
  struct bd_service_file *files = NULL;
  struct entry *entries;
  uint32_t count = 0;
  uint32_t total;

  if (code >= 0)
    goto out;
  if (dir->count > 0)
    bd_files_read (ctx, dir->filename[0], &files, &count, &faults);
  bd_files_check (ctx, files, count, &faults);
  if (faults.count > 0)
    {
      fputs (faults.text, stderr);
      code = BD_EXIT_FAILED;
      goto out;
    }
  entries = list_entries (ctx, files, count, removed, &total);
  code = run (url->sval[0], entries, total,
              by->count > 0 ? by->sval[0] : "operator", wait->count > 0,
              timeout->count > 0 ? (uint32_t)timeout->ival[0]
                                 : DEFAULT_TIMEOUT_S,
              hold->count > 0 ? (uint32_t)hold->ival[0] : 0);

out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  talloc_free (ctx);
  return code;
}

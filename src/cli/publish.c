/* burdockdale publish: stores service files on the platform with conditional
   updates.  */

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

/* One service file to publish, or one service to remove.  */
struct publication
{
  char service[BD_NAME_SIZE];
  const char *path;
  const char *text;
  int64_t generation;
  bool is_removed;
};

static int64_t
get_integer (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

/* The highest generation of the service that was published, accepted or
   removed.  A new publication needs a higher one.  */
static int64_t
highest_generation (const json_t *published, const json_t *head,
                    const char *service)
{
  const json_t *accepted
      = json_object_get (json_object_get (head, "services"), service);
  int64_t highest = get_integer (published, "generation");
  int64_t removed = get_integer (json_object_get (head, "removed"), service);

  if (get_integer (accepted, "generation") > highest)
    highest = get_integer (accepted, "generation");
  return removed > highest ? removed : highest;
}

static bool
is_unchanged (const json_t *published, const json_t *head,
              const struct publication *publication)
{
  const json_t *accepted = json_object_get (json_object_get (head, "services"),
                                            publication->service);
  const char *text = json_string_value (json_object_get (published, "text"));
  bool was_removed = json_is_true (json_object_get (published, "removed"));

  return text != NULL && strcmp (text, publication->text) == 0
         && was_removed == publication->is_removed
         && get_integer (published, "generation")
                >= get_integer (accepted, "generation");
}

static void
report_conflict (struct bd_session *session, const char *key,
                 const struct publication *publication)
{
  struct bd_session_reply current;
  const char *winner;

  bd_session_read (session, key, &current);
  winner = json_string_value (json_object_get (current.data, "by"));
  fprintf (stderr,
           "publish: %s: lost the race: %s published generation %lld first\n",
           publication->service, winner != NULL ? winner : "somebody",
           (long long)get_integer (current.data, "generation"));
  bd_session_reply_finish (&current);
}

static bool
publish_service (struct bd_session *session, const json_t *head,
                 struct publication *publication, const char *by,
                 uint32_t delay_ms)
{
  struct bd_session_reply current;
  struct bd_session_reply update;
  struct bd_published published = { .service = publication->service,
                                    .file = publication->path,
                                    .text = publication->text,
                                    .by = by,
                                    .is_removed = publication->is_removed };
  char *key
      = talloc_asprintf (NULL, BD_KEY_PUBLISHED "%s", publication->service);
  bool is_ok = false;

  bd_session_read (session, key, &current);
  if (current.error != BD_OK && current.error != BD_ERR_NOT_FOUND)
    {
      fprintf (stderr, "publish: %s: the platform does not answer\n",
               publication->service);
      goto out;
    }
  publication->generation = get_integer (current.data, "generation");
  if (is_unchanged (current.data, head, publication))
    {
      printf ("%s: unchanged, generation %lld\n", publication->service,
              (long long)publication->generation);
      is_ok = true;
      goto out;
    }
  published.generation
      = highest_generation (current.data, head, publication->service) + 1;
  if (delay_ms > 0)
    bd_session_sleep (session, delay_ms);
  bd_session_update (
      session, key, current.error == BD_OK ? current.version : BD_VERSION_NONE,
      current.envelope, bd_published_to_json (&published), &update);
  is_ok = update.error == BD_OK;
  publication->generation = published.generation;
  if (is_ok)
    printf ("%s: published, generation %lld\n", publication->service,
            (long long)publication->generation);
  else if (update.error == BD_ERR_CONFLICT)
    report_conflict (session, key, publication);
  else
    fprintf (stderr, "publish: %s: nobody knows whether it was written\n",
             publication->service);
  bd_session_reply_finish (&update);

out:
  bd_session_reply_finish (&current);
  talloc_free (key);
  return is_ok;
}

enum progress
{
  PROGRESS_PENDING,
  PROGRESS_APPLIED,
  PROGRESS_REJECTED
};

static enum progress
check_decision (const json_t *status, const struct publication *publication)
{
  const json_t *decision = json_object_get (
      json_object_get (status, "verdicts"), publication->service);
  const char *state = json_string_value (json_object_get (decision, "state"));
  const char *reason
      = json_string_value (json_object_get (decision, "reason"));

  if (state == NULL
      || get_integer (decision, "generation") < publication->generation)
    return PROGRESS_PENDING;
  if (strcmp (state, "rejected") != 0)
    return PROGRESS_APPLIED;
  fprintf (stderr, "%s: rejected\n%s", publication->service, reason);
  return PROGRESS_REJECTED;
}

/* Whether every live daemon has at least this revision.  */
static bool
is_revision_everywhere (const json_t *status, int64_t revision)
{
  const json_t *centres = json_object_get (status, "centres");
  const json_t *daemons = json_object_get (status, "daemons");
  const json_t *entry;
  size_t i;

  json_array_foreach (centres, i, entry)
    if (get_integer (entry, "lowest_revision") < revision)
      return false;
  json_array_foreach (daemons, i, entry)
    if (get_integer (entry, "revision") < revision)
      return false;
  return get_integer (status, "revision") >= revision;
}

static enum progress
check_progress (struct bd_session *session,
                const struct publication *publications, uint32_t count,
                int64_t *revision)
{
  struct bd_session_reply status;
  struct bd_session_reply head;
  enum progress result = PROGRESS_APPLIED;

  bd_session_read (session, BD_KEY_STATUS, &status);
  bd_session_read (session, BD_KEY_HEAD, &head);
  for (uint32_t i = 0; i < count && result == PROGRESS_APPLIED; i++)
    result = check_decision (status.data, &publications[i]);
  *revision = bd_head_revision (head.data);
  if (result == PROGRESS_APPLIED
      && !is_revision_everywhere (status.data, *revision))
    result = PROGRESS_PENDING;
  bd_session_reply_finish (&status);
  bd_session_reply_finish (&head);
  return result;
}

static bool
wait_until_applied (struct bd_session *session,
                    const struct publication *publications, uint32_t count,
                    uint32_t timeout_s)
{
  int64_t start_ms = bd_clock_now_ms (&session->clock);
  int64_t end_ms = start_ms + (int64_t)timeout_s * 1000;
  int64_t revision = 0;

  while (bd_clock_now_ms (&session->clock) < end_ms)
    {
      enum progress result
          = check_progress (session, publications, count, &revision);
      if (result == PROGRESS_REJECTED)
        return false;
      if (result == PROGRESS_APPLIED)
        {
          printf ("revision %lld is in force on every live daemon after "
                  "%lld ms\n",
                  (long long)revision,
                  (long long)(bd_clock_now_ms (&session->clock) - start_ms));
          return true;
        }
      bd_session_sleep (session, WAIT_POLL_MS);
    }
  fprintf (stderr, "publish: not in force everywhere after %u s\n", timeout_s);
  return false;
}

static struct publication *
list_publications (void *ctx, const struct bd_service_file *files,
                   uint32_t count, const struct arg_str *removed,
                   uint32_t *total)
{
  struct publication *publications = talloc_zero_array (
      ctx, struct publication, count + (uint32_t)removed->count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      bd_name_copy (publications[i].service, files[i].service->name);
      publications[i].path = files[i].path;
      publications[i].text = files[i].text;
    }
  for (int i = 0; i < removed->count; i++)
    {
      struct publication *publication = &publications[count + (uint32_t)i];
      bd_name_copy (publication->service, removed->sval[i]);
      publication->path = "(removed)";
      publication->text = "";
      publication->is_removed = true;
    }
  *total = count + (uint32_t)removed->count;
  return publications;
}

static int
run (const char *url, struct publication *publications, uint32_t count,
     const char *by, bool has_to_wait, uint32_t timeout_s, uint32_t delay_ms)
{
  struct bd_session session;
  struct bd_session_reply head;
  bool is_ok = true;

  if (!bd_session_init (&session, url))
    return BD_EXIT_FAILED;
  bd_session_read (&session, BD_KEY_HEAD, &head);
  for (uint32_t i = 0; i < count; i++)
    is_ok
        = publish_service (&session, head.data, &publications[i], by, delay_ms)
          && is_ok;
  if (is_ok && has_to_wait)
    is_ok = wait_until_applied (&session, publications, count, timeout_s);
  bd_session_reply_finish (&head);
  bd_session_finish (&session);
  return is_ok ? BD_EXIT_OK : BD_EXIT_FAILED;
}

int
bd_cli_publish (int argc, char **argv)
{
  struct arg_file *files_path
      = arg_file0 (NULL, NULL, "DIR", "folder of service files, or one file");
  struct arg_str *url
      = arg_str1 (NULL, "platform", "URL", "the platform's Object API");
  struct arg_str *by = arg_str0 (NULL, "by", "NAME",
                                 "name of the publisher (default: operator)");
  struct arg_str *removed = arg_strn (NULL, "remove", "SERVICE", 0, 64,
                                      "remove a published service");
  struct arg_lit *wait = arg_lit0 (
      NULL, "wait", "wait until every live daemon applies the change");
  struct arg_int *timeout
      = arg_int0 (NULL, "timeout", "SECONDS", "maximum wait (default: 30)");
  struct arg_int *delay
      = arg_int0 (NULL, "hold-ms", "MS",
                  "pause between reading and writing, to provoke races");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { files_path, url, by, removed, wait, timeout, delay, help, end };
  int code = bd_cli_parse (argc, argv, table, help, end,
                           "Checks service files and publishes those that "
                           "changed.  If two operators publish the same "
                           "service at the same time, one of them fails.");
  void *ctx = talloc_new (NULL);
  struct bd_faults faults = { .ctx = ctx };
  struct bd_service_file *files = NULL;
  struct publication *publications;
  uint32_t count = 0;
  uint32_t total;

  if (code >= 0)
    goto out;
  if (files_path->count > 0)
    bd_files_read (ctx, files_path->filename[0], &files, &count, &faults);
  bd_files_check (ctx, files, count, &faults);
  if (faults.count > 0)
    {
      fputs (faults.text, stderr);
      code = BD_EXIT_FAILED;
      goto out;
    }
  publications = list_publications (ctx, files, count, removed, &total);
  code = run (url->sval[0], publications, total,
              by->count > 0 ? by->sval[0] : "operator", wait->count > 0,
              timeout->count > 0 ? (uint32_t)timeout->ival[0]
                                 : DEFAULT_TIMEOUT_S,
              delay->count > 0 ? (uint32_t)delay->ival[0] : 0);

out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  talloc_free (ctx);
  return code;
}

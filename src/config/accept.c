/* Validation of published files and creation of a new head.  */

#include "config/config.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

json_t *
bd_published_to_json (const struct bd_published *published)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:I,s:b}", "service", published->service,
                    "file", published->file, "text", published->text, "by",
                    published->by, "generation",
                    (json_int_t)published->generation, "removed",
                    published->is_removed);
}

bool
bd_published_from_json (const json_t *value, struct bd_published *out)
{
  out->service = json_string_value (json_object_get (value, "service"));
  out->file = json_string_value (json_object_get (value, "file"));
  out->text = json_string_value (json_object_get (value, "text"));
  out->by = json_string_value (json_object_get (value, "by"));
  out->generation = json_integer_value (json_object_get (value, "generation"));
  out->is_removed = json_is_true (json_object_get (value, "removed"));
  return out->service != NULL && out->file != NULL && out->text != NULL
         && out->by != NULL;
}

static int64_t
accepted_generation (const json_t *services, const char *name)
{
  return json_integer_value (
      json_object_get (json_object_get (services, name), "generation"));
}

static bool
is_change (const json_t *services, const json_t *removed,
           const struct bd_published *file)
{
  int64_t removed_generation
      = json_integer_value (json_object_get (removed, file->service));

  return file->generation > accepted_generation (services, file->service)
         && file->generation > removed_generation;
}

/* Adds, replaces or removes the service of one file.  A removal is recorded
   with its generation, so that an older file cannot restore the service.  */
static void
apply_file (json_t *services, json_t *removed, const struct bd_published *file)
{
  if (file->is_removed)
    {
      json_object_del (services, file->service);
      json_object_set_new (removed, file->service,
                           json_integer (file->generation));
      return;
    }
  json_object_set_new (services, file->service,
                       json_pack ("{s:I,s:s,s:s,s:s}", "generation",
                                  (json_int_t)file->generation, "text",
                                  file->text, "file", file->file, "by",
                                  file->by));
}

static bool
has_expected_name (const struct bd_service *service, const char *name,
                   struct bd_faults *faults)
{
  if (strcmp (service->name, name) == 0)
    return true;
  bd_faults_add (faults, name, 0, "defines service '%s'", service->name);
  return false;
}

/* Checks a set of services as a whole and adds each fault found.  */
static bool
check_set (const json_t *services, struct bd_faults *faults)
{
  void *ctx = talloc_new (faults->ctx);
  struct bd_service **parsed = talloc_array (ctx, struct bd_service *,
                                             json_object_size (services) + 1);
  uint32_t count_before = faults->count;
  uint32_t count = 0;
  size_t bytes = 0;
  const char *name;
  json_t *entry;

  json_object_foreach ((json_t *)services, name, entry)
    {
      const char *text = json_string_value (json_object_get (entry, "text"));
      const char *file = json_string_value (json_object_get (entry, "file"));
      struct bd_service *service;

      /* A head of another writer.  */
      if (text == NULL || file == NULL)
        {
          bd_faults_add (faults, name, 0, "has no text or no file name");
          continue;
        }
      service = bd_service_parse (ctx, file, text, strlen (text), faults);
      bytes += strlen (text) + strlen (name);
      if (service != NULL && has_expected_name (service, name, faults))
        parsed[count++] = service;
    }
  bd_services_check (parsed, count, faults);
  if (bytes > BD_HEAD_MAX_BYTES)
    bd_faults_add (faults, "set", 0, "all services together exceed %d bytes",
                   BD_HEAD_MAX_BYTES);
  talloc_free (ctx);
  return faults->count == count_before;
}

static void
add_decision (struct bd_acceptance *out, const struct bd_published *file,
              const char *state, const char *reason)
{
  json_object_set_new (out->decisions, file->service,
                       json_pack ("{s:s,s:I,s:s,s:s}", "state", state,
                                  "generation", (json_int_t)file->generation,
                                  "by", file->by, "reason", reason));
}

static void
record_accepted (struct bd_acceptance *out, json_t *changes,
                 const struct bd_published *file)
{
  out->accepted++;
  add_decision (out, file, file->is_removed ? "removed" : "accepted", "");
  json_array_append_new (
      changes, json_pack ("{s:s,s:I,s:s,s:b}", "service", file->service,
                          "generation", (json_int_t)file->generation, "by",
                          file->by, "removed", file->is_removed));
}

/* Records the decision on a file whose generation is not newer than the
   accepted one: accepted if it matches the active configuration, otherwise
   rejected.  */
static void
record_unchanged (struct bd_acceptance *out, const json_t *services,
                  const struct bd_published *file)
{
  const json_t *entry = json_object_get (services, file->service);
  const char *text = json_string_value (json_object_get (entry, "text"));
  bool is_same = file->is_removed
                     ? entry == NULL
                     : text != NULL && strcmp (text, file->text) == 0;

  if (is_same)
    add_decision (out, file, file->is_removed ? "removed" : "accepted", "");
  else
    add_decision (out, file, "rejected",
                  "older than the active configuration; publish it again");
}

/* Applies the files one by one to the active services and rejects each file
   that makes the set invalid.  */
static void
accept_individually (struct bd_acceptance *out, json_t **services,
                     json_t **removed, json_t *changes,
                     const struct bd_published *files, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct bd_faults faults = { .ctx = talloc_new (NULL) };
      json_t *trial = json_deep_copy (*services);
      json_t *trial_removed = json_deep_copy (*removed);

      if (!is_change (*services, *removed, &files[i]))
        record_unchanged (out, *services, &files[i]);
      else
        {
          apply_file (trial, trial_removed, &files[i]);
          if (check_set (trial, &faults))
            {
              json_t *swap = *services;
              *services = trial;
              trial = swap;
              swap = *removed;
              *removed = trial_removed;
              trial_removed = swap;
              record_accepted (out, changes, &files[i]);
            }
          else
            {
              out->rejected++;
              add_decision (out, &files[i], "rejected", faults.text);
            }
        }
      json_decref (trial);
      json_decref (trial_removed);
      talloc_free (faults.ctx);
    }
}

/* Applies all changes at once.  Returns false and changes nothing when the
   resulting set is invalid.  */
static bool
accept_all (struct bd_acceptance *out, json_t **services, json_t **removed,
            json_t *changes, const struct bd_published *files, uint32_t count)
{
  struct bd_faults faults = { .ctx = talloc_new (NULL) };
  json_t *trial = json_deep_copy (*services);
  json_t *trial_removed = json_deep_copy (*removed);
  bool is_valid;

  for (uint32_t i = 0; i < count; i++)
    if (is_change (*services, *removed, &files[i]))
      apply_file (trial, trial_removed, &files[i]);
  is_valid = check_set (trial, &faults);
  talloc_free (faults.ctx);
  if (!is_valid)
    {
      json_decref (trial);
      json_decref (trial_removed);
      return false;
    }
  for (uint32_t i = 0; i < count; i++)
    if (is_change (*services, *removed, &files[i]))
      record_accepted (out, changes, &files[i]);
    else
      record_unchanged (out, *services, &files[i]);
  json_decref (*services);
  json_decref (*removed);
  *services = trial;
  *removed = trial_removed;
  return true;
}

void
bd_config_accept (const json_t *head, const struct bd_published *files,
                  uint32_t count, const char *controller, int64_t at_ms,
                  struct bd_acceptance *out)
{
  json_t *services = json_deep_copy (json_object_get (head, "services"));
  json_t *removed = json_deep_copy (json_object_get (head, "removed"));
  json_t *changes = json_array ();
  int64_t revision = bd_head_revision (head) + 1;

  memset (out, 0, sizeof *out);
  out->decisions = json_object ();
  if (services == NULL)
    services = json_object ();
  if (removed == NULL)
    removed = json_object ();
  if (!accept_all (out, &services, &removed, changes, files, count))
    accept_individually (out, &services, &removed, changes, files, count);
  if (out->accepted > 0)
    out->head = json_pack ("{s:I,s:O,s:O,s:{s:I,s:I,s:s,s:O}}", "revision",
                           (json_int_t)revision, "services", services,
                           "removed", removed, "change", "revision",
                           (json_int_t)revision, "at_ms", (json_int_t)at_ms,
                           "keeper", controller, "services", changes);
  json_decref (services);
  json_decref (removed);
  json_decref (changes);
}

/* burdockdale status and audit: show the state of the system and the accepted
   changes.  */

#include "cli/cli.h"
#include "cli/session.h"
#include "config/config.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static const char *
get_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "-";
}

static long long
get_integer (const json_t *object, const char *key)
{
  return (long long)json_integer_value (json_object_get (object, key));
}

static void
print_json (json_t *value)
{
  char *text = json_dumps (value, JSON_INDENT (2));

  printf ("%s\n", text);
  free (text);
}

static void
print_services (const json_t *status)
{
  json_t *decisions = json_object_get (status, "verdicts");
  const char *service;
  json_t *decision;

  printf ("services\n");
  json_object_foreach (decisions, service, decision)
    {
      const char *reason = get_text (decision, "reason");
      printf ("  %-24s generation %lld by %s: %s\n", service,
              get_integer (decision, "generation"), get_text (decision, "by"),
              get_text (decision, "state"));
      if (reason[0] != '\0')
        printf ("    %s", reason);
    }
}

static void
print_daemons (const json_t *status)
{
  const json_t *centres = json_object_get (status, "centres");
  const json_t *daemons = json_object_get (status, "daemons");
  const json_t *entry;
  size_t i;

  printf ("data centres\n");
  json_array_foreach (centres, i, entry)
    printf ("  %-24s %lld daemons live, at least revision %lld\n",
            get_text (entry, "name"), get_integer (entry, "live"),
            get_integer (entry, "lowest_revision"));
  printf ("daemons that the keeper sees\n");
  json_array_foreach (daemons, i, entry)
    printf ("  %-24s %-16s revision %lld\n", get_text (entry, "name"),
            get_text (entry, "data_centre"), get_integer (entry, "revision"));
}

static void
print_group (const json_t *group)
{
  const json_t *members = json_object_get (group, "members");
  const json_t *member;
  size_t i;

  printf ("  %-40s version %s, incarnation %lld, domain %s, drain %s:",
          get_text (group, "id"), get_text (group, "version"),
          get_integer (group, "incarnation"), get_text (group, "domain"),
          get_text (group, "drain"));
  json_array_foreach (members, i, member)
    printf (" %s", json_string_value (member));
  printf ("\n");
}

static uint32_t
count_groups (const json_t *assignment, const char *service)
{
  const json_t *groups = json_object_get (assignment, "groups");
  const json_t *group;
  uint32_t count = 0;
  size_t i;

  json_array_foreach (groups, i, group)
    if (strcmp (get_text (group, "service"), service) == 0)
      count++;
  return count;
}

/* Prints the services that have fewer replica groups than configured.  */
static void
print_missing_groups (const json_t *head, const json_t *assignment)
{
  json_t *services = json_object_get (head, "services");
  const char *name;
  json_t *entry;

  json_object_foreach (services, name, entry)
    {
      void *ctx = talloc_new (NULL);
      struct bd_faults faults = { .ctx = ctx };
      const char *text = get_text (entry, "text");
      struct bd_service *service
          = bd_service_parse (ctx, name, text, strlen (text), &faults);
      uint32_t group_count = count_groups (assignment, name);
      if (service != NULL && service->is_model
          && group_count < service->replicas)
        printf ("  not served in full: %s has %u of %u groups; no fabric "
                "domain has %u more free instances with the weights\n",
                name, group_count, service->replicas, service->members);
      talloc_free (ctx);
    }
}

static void
print_groups (const json_t *head, const json_t *assignments)
{
  const json_t *item;
  size_t i;

  json_array_foreach (assignments, i, item)
    {
      const json_t *data = bd_envelope_data (json_object_get (item, "value"));
      const json_t *groups = json_object_get (data, "groups");
      const json_t *group;
      size_t g;
      printf ("groups in %s (keeper %s, term %lld, sequence %lld)\n",
              get_text (data, "data_centre"), get_text (data, "keeper"),
              get_integer (data, "term"), get_integer (data, "sequence"));
      json_array_foreach (groups, g, group)
        print_group (group);
      print_missing_groups (head, data);
    }
}

static int
show_status (struct bd_session *session, bool as_json)
{
  struct bd_session_reply status;
  struct bd_session_reply head;
  struct bd_session_reply assignments;
  bool is_ok;

  bd_session_read (session, BD_KEY_STATUS, &status);
  bd_session_read (session, BD_KEY_HEAD, &head);
  bd_session_list (session, "allotment/", &assignments);
  is_ok = status.error == BD_OK && assignments.error == BD_OK;
  if (!is_ok)
    fprintf (stderr, "status: %s\n",
             status.error == BD_ERR_NOT_FOUND
                 ? "nothing has been published yet"
                 : "the platform does not answer");
  else if (as_json)
    {
      json_t *all = json_pack ("{s:O,s:O}", "config", status.data,
                               "allotments", assignments.items);
      print_json (all);
      json_decref (all);
    }
  else
    {
      printf ("revision %lld, config keeper %s\n",
              get_integer (status.data, "revision"),
              get_text (status.data, "keeper"));
      print_services (status.data);
      print_daemons (status.data);
      print_groups (head.data, assignments.items);
    }
  bd_session_reply_finish (&status);
  bd_session_reply_finish (&head);
  bd_session_reply_finish (&assignments);
  return is_ok ? BD_EXIT_OK : BD_EXIT_FAILED;
}

static void
print_time (long long at_ms)
{
  time_t seconds = (time_t)(at_ms / 1000);
  struct tm parts;
  char text[32];

  gmtime_r (&seconds, &parts);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  printf ("%s ", text);
}

static void
print_change (const json_t *change)
{
  const json_t *services = json_object_get (change, "services");
  const json_t *entry;
  size_t i;

  print_time (get_integer (change, "at_ms"));
  printf ("revision %lld accepted by %s:", get_integer (change, "revision"),
          get_text (change, "keeper"));
  json_array_foreach (services, i, entry)
    printf (" %s generation %lld by %s%s", get_text (entry, "service"),
            get_integer (entry, "generation"), get_text (entry, "by"),
            json_is_true (json_object_get (entry, "removed")) ? " (removed)"
                                                              : "");
  printf ("\n");
}

static void
print_record (const json_t *record)
{
  const json_t *assignment = json_object_get (record, "allotment");

  if (assignment == NULL)
    {
      print_change (record);
      return;
    }
  print_time (get_integer (record, "at_ms"));
  printf (
      "groups of %s: term %lld, sequence %lld, keeper %s, %zu groups\n",
      get_text (assignment, "data_centre"), get_integer (assignment, "term"),
      get_integer (assignment, "sequence"), get_text (assignment, "keeper"),
      json_array_size (json_object_get (assignment, "groups")));
}

static int
compare_by_version (const void *a, const void *b)
{
  long long left = get_integer (*(json_t *const *)a, "version");
  long long right = get_integer (*(json_t *const *)b, "version");

  return left < right ? -1 : left > right;
}

static int
show_audit (struct bd_session *session, bool as_json)
{
  struct bd_session_reply trail;
  size_t count;
  json_t **sorted;

  bd_session_list (session, BD_KEY_AUDIT, &trail);
  if (trail.error != BD_OK)
    {
      fprintf (stderr, "audit: the platform does not answer\n");
      bd_session_reply_finish (&trail);
      return BD_EXIT_FAILED;
    }
  count = json_array_size (trail.items);
  sorted = calloc (count + 1, sizeof *sorted);
  for (size_t i = 0; i < count; i++)
    sorted[i] = json_array_get (trail.items, i);
  qsort (sorted, count, sizeof *sorted, compare_by_version);
  if (as_json)
    print_json (trail.items);
  for (size_t i = 0; i < count && !as_json; i++)
    print_record (bd_envelope_data (json_object_get (sorted[i], "value")));
  free (sorted);
  bd_session_reply_finish (&trail);
  return BD_EXIT_OK;
}

static int
run (int argc, char **argv, const char *about,
     int (*show) (struct bd_session *session, bool as_json))
{
  struct arg_str *url
      = arg_str1 (NULL, "platform", "URL", "the platform's Object API");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { url, json, help, end };
  int code = bd_cli_parse (argc, argv, table, help, end, about);
  struct bd_session session;

  if (code < 0)
    {
      code = BD_EXIT_FAILED;
      if (bd_session_init (&session, url->sval[0]))
        {
          code = show (&session, json->count > 0);
          bd_session_finish (&session);
        }
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

int
bd_cli_status (int argc, char **argv)
{
  return run (
      argc, argv,
      "Shows services, the revision that daemons apply, and replica groups.",
      show_status);
}

int
bd_cli_audit (int argc, char **argv)
{
  return run (argc, argv, "Shows every accepted change, oldest first.",
              show_audit);
}

/* Tests of the configuration: service files, validation of published files,
   and a revision that never decreases.  */

#include "tests/unit.h"

#include "config/config.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define PLAIN(name, prefix)                                                   \
  "service = \"" name "\"\npool = \"p\"\n[route]\nprefix = \"" prefix "\"\n"

static struct bd_published
file (const char *service, const char *text, int64_t generation)
{
  return (struct bd_published){ .service = service,
                                .file = service,
                                .text = text,
                                .by = "amina",
                                .generation = generation };
}

/* Parses invalid text and returns whether the faults contain part.  */
static bool
has_fault (const char *text, const char *part)
{
  void *ctx = talloc_new (NULL);
  struct bd_faults faults = { .ctx = ctx };
  struct bd_service *service
      = bd_service_parse (ctx, "f.toml", text, strlen (text), &faults);
  bool is_found = service == NULL && faults.text != NULL
                  && strstr (faults.text, part) != NULL;

  if (!is_found)
    printf ("faults: %s\n", faults.text != NULL ? faults.text : "none");
  talloc_free (ctx);
  return is_found;
}

static void
test_valid_file (void)
{
  const char text[]
      = "service = \"s\"\npool = \"p\"\npriority = 3\n[model]\nname = \"m\"\n"
        "version = \"1\"\nadapters = [\"x\"]\nmembers = 4\n"
        "replicas_per_data_centre = 2\n[route]\ndeadline_ms = 100\n"
        "[[limit]]\naccount = \"a\"\nrequests_per_s = 2.5\n"
        "[[limit]]\naccount = \"*\"\nrequests_per_s = 1\n";
  void *ctx = talloc_new (NULL);
  struct bd_faults faults = { .ctx = ctx };
  struct bd_service *s
      = bd_service_parse (ctx, "f", text, strlen (text), &faults);

  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_EQUAL (s->members, 4);
  CU_ASSERT_EQUAL (s->deadline_ms, 100);
  CU_ASSERT_TRUE (s->can_retry);
  CU_ASSERT_DOUBLE_EQUAL (bd_service_limit (s, "a")->requests_per_s, 2.5, 0);
  CU_ASSERT_DOUBLE_EQUAL (bd_service_limit (s, "b")->requests_per_s, 1, 0);
  talloc_free (ctx);
}

static void
test_faults_contain_the_line (void)
{
  CU_ASSERT_TRUE (has_fault ("service = \"s\"\npool = \"p\"\ncolour = 1\n"
                             "[route]\nprefix = \"/x/\"\n",
                             "f.toml:3: error: unknown key 'colour'"));
  CU_ASSERT_TRUE (has_fault ("service = \"s\"\npool = 7\n[route]\n"
                             "prefix = \"/x/\"\n",
                             "f.toml:2: error: 'pool' must be a name"));
  CU_ASSERT_TRUE (has_fault ("service = \"s\"\n[route]\nprefix = \"/x/\"\n",
                             "missing key 'pool'"));
  CU_ASSERT_TRUE (
      has_fault ("service = \"s\"\npool = \"p\"\n[route]\n"
                 "prefix = \"/x/\"\ndeadline_ms = 0\n",
                 "f.toml:5: error: 'deadline_ms' must be a whole"));
  CU_ASSERT_TRUE (
      has_fault ("service = \"s\"\nservice = \"t\"\n", "f.toml:2: error:"));
  CU_ASSERT_TRUE (has_fault ("service = \"s\"\npool = \"p\"\n[route]\n",
                             "missing key 'prefix' or [model]"));
  CU_ASSERT_TRUE (has_fault ("service = \"s\"\npool = \"p\"\n[route]\n"
                             "prefix = \"/x/\"\nrepeat = \"maybe\"\n",
                             "'repeat' must be"));
  CU_ASSERT_TRUE (has_fault (
      PLAIN ("s", "/x/") "[[limit]]\naccount = \"a\"\nrequests_per_s = 1\n"
                         "[[limit]]\naccount = \"a\"\nrequests_per_s = 1\n",
      "duplicate account 'a'"));
  CU_ASSERT_TRUE (has_fault ("[[[", "f.toml:1: error:"));
  CU_ASSERT_TRUE (has_fault (PLAIN ("s", "/v1/x/"), "is reserved for models"));
}

static json_t *
accept (const json_t *head, const struct bd_published *files, uint32_t count,
        uint32_t accepted, uint32_t rejected)
{
  struct bd_acceptance out;

  bd_config_accept (head, files, count, "k", 1, &out);
  CU_ASSERT_EQUAL (out.accepted, accepted);
  CU_ASSERT_EQUAL (out.rejected, rejected);
  json_decref (out.decisions);
  return out.head;
}

static void
test_accept_and_adopt (void)
{
  struct bd_published files[] = { file ("a", PLAIN ("a", "/a/"), 1),
                                  file ("b", PLAIN ("b", "/b/"), 1) };
  json_t *head = accept (NULL, files, 2, 2, 0);
  struct bd_config config;

  bd_config_init (&config);
  CU_ASSERT_EQUAL (bd_config_adopt (&config, head), BD_OK);
  CU_ASSERT_EQUAL (config.revision, 1);
  CU_ASSERT_PTR_NOT_NULL (bd_config_service_for_path (&config, "/a/x"));
  CU_ASSERT_PTR_NULL (bd_config_service_for_path (&config, "/c/x"));
  CU_ASSERT_EQUAL (bd_config_adopt (&config, head), BD_ERR_STALE);
  CU_ASSERT_PTR_NULL (accept (head, files, 2, 0, 0));
  bd_config_finish (&config);
  json_decref (head);
}

static void
test_bad_file_does_not_block_the_others (void)
{
  struct bd_published first[] = { file ("a", PLAIN ("a", "/a/"), 1) };
  struct bd_published files[] = { file ("a", PLAIN ("a", "nonsense"), 2),
                                  file ("b", PLAIN ("b", "/a/"), 1),
                                  file ("c", PLAIN ("c", "/c/"), 1) };
  json_t *head = accept (NULL, first, 1, 1, 0);
  json_t *next = accept (head, files, 3, 1, 2);
  json_t *services = json_object_get (next, "services");

  CU_ASSERT_EQUAL (bd_head_revision (next), 2);
  /* The earlier accepted file stays active when a newer one is rejected.  */
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (
                              json_object_get (services, "a"), "text")),
                          PLAIN ("a", "/a/"));
  CU_ASSERT_PTR_NULL (json_object_get (services, "b"));
  CU_ASSERT_PTR_NOT_NULL (json_object_get (services, "c"));
  json_decref (head);
  json_decref (next);
}

static void
test_interdependent_files_are_accepted (void)
{
  struct bd_published first[] = { file ("a", PLAIN ("a", "/a/"), 1),
                                  file ("b", PLAIN ("b", "/b/"), 1) };
  struct bd_published swapped[] = { file ("a", PLAIN ("a", "/b/"), 2),
                                    file ("b", PLAIN ("b", "/a/"), 2) };
  json_t *head = accept (NULL, first, 2, 2, 0);
  json_t *next = accept (head, swapped, 2, 2, 0);

  json_decref (head);
  json_decref (next);
}

static void
test_older_generation_is_rejected (void)
{
  struct bd_published current[] = { file ("a", PLAIN ("a", "/new/"), 5) };
  struct bd_published old[] = { file ("a", PLAIN ("a", "/old/"), 4) };
  json_t *head = accept (NULL, current, 1, 1, 0);
  struct bd_acceptance out;

  bd_config_accept (head, old, 1, "k", 1, &out);
  CU_ASSERT_PTR_NULL (out.head);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (
                              json_object_get (out.decisions, "a"), "state")),
                          "rejected");
  json_decref (out.decisions);
  json_decref (head);
}

static void
test_removal_is_not_undone (void)
{
  struct bd_published old[] = { file ("a", PLAIN ("a", "/a/"), 1) };
  struct bd_published removal[] = { file ("a", "", 2) };
  json_t *head = accept (NULL, old, 1, 1, 0);
  json_t *next;

  removal[0].is_removed = true;
  next = accept (head, removal, 1, 1, 0);
  CU_ASSERT_EQUAL (json_object_size (json_object_get (next, "services")), 0);
  /* Publishing the old file again does not restore the service.  */
  CU_ASSERT_PTR_NULL (accept (next, old, 1, 0, 0));
  json_decref (head);
  json_decref (next);
}

static void
test_invalid_head_keeps_active_configuration (void)
{
  struct bd_published files[] = { file ("a", PLAIN ("a", "/a/"), 1) };
  json_t *head = accept (NULL, files, 1, 1, 0);
  json_t *bad = json_pack ("{s:i,s:{s:{s:s}}}", "revision", 9, "services", "x",
                           "text", "[[[");
  struct bd_config config;

  bd_config_init (&config);
  CU_ASSERT_EQUAL (bd_config_adopt (&config, head), BD_OK);
  CU_ASSERT_EQUAL (bd_config_adopt (&config, bad), BD_ERR_INVALID_FILE);
  CU_ASSERT_EQUAL (config.revision, 1);
  CU_ASSERT_PTR_NOT_NULL (bd_config_service (&config, "a"));
  bd_config_finish (&config);
  json_decref (head);
  json_decref (bad);
}

static void
test_head_without_a_next_revision_is_adopted (void)
{
  struct bd_published files[] = { file ("a", PLAIN ("a", "/a/"), 1) };
  json_t *last = json_pack ("{s:I,s:{}}", "revision", (json_int_t)INT64_MAX,
                            "services");
  json_t *next = accept (last, files, 1, 1, 0);
  struct bd_config config;

  bd_config_init (&config);
  CU_ASSERT_EQUAL (bd_config_adopt (&config, last), BD_ERR_STALE);
  CU_ASSERT_EQUAL (bd_config_adopt (&config, next), BD_OK);
  CU_ASSERT_EQUAL (config.revision, 1);
  bd_config_finish (&config);
  json_decref (last);
  json_decref (next);
}

/* The head of another writer need not be one that was adopted.  */
static void
test_head_without_texts_ends_the_process (void)
{
  static const char *const heads[]
      = { "{\"revision\": 5, \"services\": {\"x\": {\"generation\": 1}}}",
          "{\"revision\": 5, \"services\": {\"x\": null}}",
          "{\"revision\": 5, \"services\": {\"x\": {\"text\": 7}}}",
          "{\"revision\": 5, \"services\": {\"x\": {\"text\": \"[[[\"}}}",
          "{\"revision\": 5, \"services\": {\"x\": "
          "{\"text\": \"service = 'x'\", \"file\": 3}}}" };
  struct bd_published files[] = { file ("a", PLAIN ("a", "/a/"), 1) };

  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      json_t *head = json_loads (heads[i], 0, NULL);

      CU_ASSERT_PTR_NOT_NULL_FATAL (head);
      CU_ASSERT_PTR_NULL (accept (head, files, 1, 0, 1));
      json_decref (head);
    }
}

static const struct unit_test tests[] = {
  { "a valid file", test_valid_file },
  { "faults contain the line", test_faults_contain_the_line },
  { "accept and adopt", test_accept_and_adopt },
  { "a bad file does not block the others",
    test_bad_file_does_not_block_the_others },
  { "interdependent files are accepted",
    test_interdependent_files_are_accepted },
  { "an older generation is rejected", test_older_generation_is_rejected },
  { "a removal is not undone", test_removal_is_not_undone },
  { "an invalid head keeps the active configuration",
    test_invalid_head_keeps_active_configuration },
  { "a head without a next revision is adopted",
    test_head_without_a_next_revision_is_adopted },
  { "a head without texts ends the process",
    test_head_without_texts_ends_the_process },
};

int
main (void)
{
  return UNIT_RUN ("config", tests);
}

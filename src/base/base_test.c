/* Tests of error kinds, counters, ids and the clock interface.  */

#include "tests/unit.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/json.h"
#include "base/numbers.h"
#include "base/toml.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static void
test_every_error_has_a_response (void)
{
  for (int i = 0; i < BD_ERR_COUNT; i++)
    {
      CU_ASSERT_PTR_NOT_NULL_FATAL (bd_error_name (i));
      CU_ASSERT_TRUE (strlen (bd_error_text (i)) > 0);
      CU_ASSERT_TRUE (bd_error_http_status (i) >= 200);
      /* An error that allows a retry is never the caller's fault.  */
      if (bd_error_is_temporary (i))
        CU_ASSERT_TRUE (bd_error_http_status (i) >= 409);
      for (int j = 0; j < i; j++)
        CU_ASSERT_STRING_NOT_EQUAL (bd_error_name (i), bd_error_name (j));
    }
  CU_ASSERT_STRING_EQUAL (bd_run_state_name (BD_NOT_RUN), "not-run");
}

static void
test_counters_are_rendered (void)
{
  struct bd_counters counters = { 0 };
  char *text;

  bd_count (&counters, BD_COUNT_REQUESTS);
  bd_count_add (&counters, BD_COUNT_REQUESTS, 41);
  text = bd_counters_render (&counters, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\nburdockdale_requests_total 42\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "# TYPE burdockdale_shed_total counter\n"));
  talloc_free (text);
}

static void
test_ids (void)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  char a[BD_ID_SIZE];
  char b[BD_ID_SIZE];
  char name[BD_NAME_SIZE];
  char long_name[200];

  bd_id_make (rng, a);
  bd_id_make (rng, b);
  CU_ASSERT_EQUAL (strlen (a), BD_ID_SIZE - 1);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  CU_ASSERT_NOT_EQUAL (bd_hash_pair ("a", "b"), bd_hash_pair ("b", "a"));
  memset (long_name, 'x', sizeof long_name);
  long_name[sizeof long_name - 1] = '\0';
  bd_name_copy (name, long_name);
  CU_ASSERT_EQUAL (strlen (name), BD_NAME_SIZE - 1);
  bd_name_copy (name, NULL);
  CU_ASSERT_EQUAL (name[0], '\0');
  gsl_rng_free (rng);
}

static struct timespec
fixed_time (void *ctx)
{
  return *(struct timespec *)ctx;
}

static void
test_clock_uses_its_ops (void)
{
  struct timespec now = { .tv_sec = 7, .tv_nsec = 5600000 };
  struct bd_clock_ops ops = { fixed_time, fixed_time };
  struct bd_clock clock = { &ops, &now };

  CU_ASSERT_EQUAL (bd_clock_now_ms (&clock), 7005);
  CU_ASSERT_EQUAL (bd_clock_now_us (&clock), 7005600);
  CU_ASSERT_EQUAL (bd_clock_calendar_ms (&clock), 7005);
}

static json_t *
load (const char *text, size_t size, bool *is_first_damaged)
{
  struct bd_json json;
  json_t *value = NULL;

  *is_first_damaged = false;
  if (bd_json_load (&json, text, size))
    {
      *is_first_damaged
          = bd_json_is_damaged (&json, json_array_get (json.value, 0));
      value = json_incref (json.value);
    }
  bd_json_finish (&json);
  return value;
}

static void
test_json_keeps_what_is_beside_a_refused_value (void)
{
  static const struct
  {
    const char *text;
    const char *loaded; /* NULL for none.  */
    bool is_first_damaged;
  } cases[] = {
    { "[{\"a\":1},{\"b\":2}]", "[{\"a\":1},{\"b\":2}]", false },
    { "[{\"a\":1e999},{\"b\":2}]", "[{\"a\":null},{\"b\":2}]", true },
    { " [ {\"a\" : NaN , \"c\":[1]} ,2] ", "[{\"a\":null,\"c\":[1]},2]",
      true },
    { "[1,{\"b\":[1,,2]}]", "[1,{\"b\":[1,null,2]}]", false },
    { "[{\"a\":\"}]\\\"\",\"b\":x},2]", "[{\"a\":\"}]\\\"\",\"b\":null},2]",
      true },
    { "[{\"a\":1,},2]", "[{\"a\":1},2]", true },
    { "[{\"a\":{\"b\" 1},\"c\":3}]", "[{\"a\":{},\"c\":3}]", true },
    { "[{\"a\":NaN,\"a\":1},2]", "[{\"a\":1},2]", true },
    { "[\"\xff\",2]", "[\"\xef\xbf\xbd\",2]", true },
    { "[[[[[[[[[[[[[[x,1]]]]]]]]]]]]],2]", "[[[[[[[[[[[[null]]]]]]]]]]],2]",
      true },
    { "[1,[}]", "[1,null]", false },
    { "[1,2", NULL, false },
    { "[1,{]", NULL, false },
    { "[1e999] 2", NULL, false },
    { "", NULL, false },
    { " ", NULL, false },
    { "\"", NULL, false },
    { "\"\\", NULL, false },
    { "[\"", NULL, false },
    { "}", NULL, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      bool is_first_damaged;
      json_t *value
          = load (cases[i].text, strlen (cases[i].text), &is_first_damaged);
      json_t *expected = cases[i].loaded != NULL
                             ? json_loads (cases[i].loaded, 0, NULL)
                             : NULL;

      CU_ASSERT_EQUAL (value != NULL, cases[i].loaded != NULL);
      CU_ASSERT_TRUE (value == NULL || json_equal (value, expected));
      CU_ASSERT_EQUAL (is_first_damaged, cases[i].is_first_damaged);
      json_decref (value);
      json_decref (expected);
    }
}

/* Any bytes in one element, as long as brackets and quotes match, leave the
   others as they are; any bytes at all are taken or refused.  */
static void
test_json_takes_any_bytes (void)
{
  enum
  {
    ROUNDS = 20000,
    MAX_BYTES = 40
  };
  static const char others[] = "{\"a\":[1,\"x\"]}";
  static const char structure[] = "[]{}\",:\\ 1e";
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  json_t *other = json_loads (others, 0, NULL);

  gsl_rng_set (rng, 33);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      bool is_plain = round % 2 == 0;
      bool is_first_damaged;
      GString *text = g_string_new ("[");
      json_t *value;

      for (unsigned long n = gsl_rng_uniform_int (rng, MAX_BYTES); n > 0; n--)
        {
          char c = (char)gsl_rng_uniform_int (rng, 256);

          if (is_plain && strchr (structure, c) != NULL)
            continue;
          if (!is_plain && n % 2 == 0)
            c = structure[gsl_rng_uniform_int (rng, sizeof structure - 1)];
          g_string_append_c (text, c);
        }
      g_string_append_printf (text, ",%s]", others);
      value = load (text->str, text->len, &is_first_damaged);
      if (is_plain)
        CU_ASSERT_TRUE (json_equal (json_array_get (value, 1), other));
      json_decref (value);
      g_string_free (text, TRUE);
    }
  json_decref (other);
  gsl_rng_free (rng);
}

/* What jansson takes, without the memory of the allocator.  */
static size_t json_bytes;
static size_t json_peak_bytes;

static void *
allocate_json (size_t size)
{
  size_t *block = malloc (sizeof (max_align_t) + size);

  *block = size;
  json_bytes += size;
  if (json_bytes > json_peak_bytes)
    json_peak_bytes = json_bytes;
  return (char *)block + sizeof (max_align_t);
}

static void
free_json (void *data)
{
  size_t *block;

  if (data == NULL)
    return;
  block = (size_t *)((char *)data - sizeof (max_align_t));
  json_bytes -= *block;
  free (block);
}

/* A list of an entry that consists of small values, and of sound entries.  */
static char *
make_list (const char *unit, size_t size, uint32_t sound_count)
{
  static const char sound[]
      = ",{\"Service\":\"s\",\"Address\":\"10.0.0.1:81\",\"Zone\":\"z\","
        "\"Slots\":17,\"State\":\"ready\",\"Sequence\":9,\"born\":1782927,"
        "\"Models\":[{\"Name\":\"m\"},{\"Name\":\"n\"}],\"Domain\":\"d\","
        "\"Staged\":[\"m\",\"n\",\"o\"],\"ColdRemainingMs\":5,\"load\":"
        "{\"a\":1,\"b\":2,\"c\":3,\"d\":4},\"group\":{\"Name\":\"g\","
        "\"epoch\":5,\"rank\":1,\"State\":\"open\"}}";
  GString *text = g_string_new ("{\"Items\":[{\"a\":7,\"x\":");
  bool is_object = unit[0] == '"';

  g_string_append_c (text, is_object ? '{' : '[');
  for (uint32_t i = 0; text->len < size; i++)
    {
      if (i > 0)
        g_string_append_c (text, ',');
      if (is_object)
        g_string_append_printf (text, "\"%x\":%s", i, unit + 1);
      else
        g_string_append (text, unit);
    }
  g_string_append (text, is_object ? "}}" : "]}");
  for (uint32_t i = 0; i < sound_count; i++)
    g_string_append (text, sound);
  g_string_append (text, "],\"HasMore\":true}");
  return g_string_free (text, FALSE);
}

static void
test_json_of_small_values_takes_memory (void)
{
  enum
  {
    SOUND = 500,
    MAX_BYTES = 24 << 20
  };
  static const char *const units[]
      = { "[]", "{}", "0", "[[]]", "\"{}", "\"[0]" };
  json_malloc_t old_malloc;
  json_free_t old_free;

  json_get_alloc_funcs (&old_malloc, &old_free);
  json_set_alloc_funcs (allocate_json, free_json);
  for (size_t size = 1 << 20; size <= 4 << 20; size *= 4)
    for (size_t i = 0; i < sizeof units / sizeof units[0]; i++)
      {
        char *text = make_list (units[i], size, SOUND);
        struct bd_json json;
        const json_t *items;
        const json_t *first;

        json_peak_bytes = json_bytes;
        CU_ASSERT_TRUE (bd_json_load (&json, text, strlen (text)));
        if (json_peak_bytes > MAX_BYTES)
          printf ("\n%s, %zu MiB: %zu MB\n", units[i], size >> 20,
                  json_peak_bytes >> 20);
        CU_ASSERT_TRUE (json_peak_bytes <= MAX_BYTES);
        items = json_object_get (json.value, "Items");
        CU_ASSERT_EQUAL (json_array_size (items), SOUND + 1);
        first = json_array_get (items, 0);
        CU_ASSERT_TRUE (bd_json_is_damaged (&json, first));
        CU_ASSERT_EQUAL (json_integer_value (json_object_get (first, "a")), 7);
        for (size_t k = 1; k <= SOUND; k++)
          CU_ASSERT_TRUE (
              json_object_size (json_array_get (items, k)) == 13
              && !bd_json_is_damaged (&json, json_array_get (items, k)));
        CU_ASSERT_TRUE (
            json_is_true (json_object_get (json.value, "HasMore")));
        bd_json_finish (&json);
        g_free (text);
      }
  json_set_alloc_funcs (old_malloc, old_free);
}

/* Four times the entries of a page, with all their fields.  */
static void
test_json_of_a_large_list_is_damaged (void)
{
  char *text = make_list ("0", 0, 2000);
  struct bd_json json;

  CU_ASSERT_TRUE (bd_json_load (&json, text, strlen (text)));
  CU_ASSERT_EQUAL (json_array_size (json_object_get (json.value, "Items")),
                   2001);
  CU_ASSERT_FALSE (bd_json_is_damaged (&json, json.value));
  bd_json_finish (&json);
  g_free (text);
}

static void
test_numbers_out_of_range_are_taken (void)
{
  static const struct
  {
    const char *text;
    uint32_t count;
    bool is_read;
  } cases[] = {
    { "0,7,100", 3, true },    { " 1\t, 2 ,3 ", 3, true },
    { "007", 1, true },        { "1,2,3", 1, true },
    { "1,2,3,x", 3, true },    { "1,", 1, true },
    { NULL, 1, false },        { "", 1, false },
    { " ", 1, false },         { "1,2", 3, false },
    { "1,2,", 3, false },      { "101", 1, false },
    { "-1", 1, false },        { "+1", 1, false },
    { "1x", 1, false },        { "x", 1, false },
    { "1 2", 1, false },       { "1;2", 2, false },
    { "0x1", 1, false },       { "1.0", 1, false },
    { "1e1", 1, false },       { "4294967297", 1, false },
    { "1,-1,1", 3, false },    { "18446744073709551617", 1, false },
    { "1,,2", 3, false },      { "99999999999999999999999", 1, false },
    { "1,2,3,4,5", 5, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint32_t out[5] = { 999, 999, 999, 999, 999 };
      bool is_read = bd_numbers_read (cases[i].text, 100, out, cases[i].count);

      CU_ASSERT_EQUAL (is_read, cases[i].is_read);
      CU_ASSERT_EQUAL (out[0] == 999, !is_read);
      CU_ASSERT_EQUAL (out[4], 999);
      if (is_read != cases[i].is_read)
        printf ("\n'%s'\n", cases[i].text);
    }
}

/* The open of a directory succeeds, the read fails.  */
static void
test_file_that_fails_while_it_is_read_is_empty (void)
{
  size_t size;

  CU_ASSERT_PTR_NULL (bd_file_read (NULL, "/", &size));
}

static bool
is_toml (const char *text)
{
  void *ctx = talloc_new (NULL);
  struct bd_faults faults = { .ctx = ctx };
  bool is_read
      = bd_toml_parse (ctx, "f", text, strlen (text), &faults) != NULL;

  talloc_free (ctx);
  return is_read;
}

/* As a key, as the name of a table and in a table, with quoted parts.  */
static void
test_key_of_many_parts_ends_the_process (void)
{
  enum
  {
    PARTS = 300000
  };
  static const char *const parts[] = { "a", "'='", "\"#\\\"\"" };
  static const char *const formats[]
      = { "# it's\n%s = 1\n", "b = '''\n''' # \"\n[%s]\n", "b = {%s = 1}\n",
          "b = {c = \"\"\"x\"\"\"\", %s = 1}\n" };

  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    {
      GString *key = g_string_new (parts[i]);

      for (uint32_t k = 1; k < PARTS; k++)
        g_string_append_printf (key, ".%s", parts[i]);
      for (size_t f = 0; f < sizeof formats / sizeof formats[0]; f++)
        {
          char **pieces = g_strsplit (formats[f], "%s", 2);
          char *text = g_strconcat (pieces[0], key->str, pieces[1], NULL);

          CU_ASSERT_FALSE (is_toml (text));
          g_free (text);
          g_strfreev (pieces);
        }
      g_string_free (key, TRUE);
    }
  CU_ASSERT_TRUE (
      is_toml ("a.b.\"c.d\" = 1.5 # ...................................."
               "..................................................\n"
               "b = \"..................................................."
               "..................................................\"\n"
               "[t.u]\nc = [1.5, 2.5]\n"));
}

static const struct unit_test tests[] = {
  { "every error has a response", test_every_error_has_a_response },
  { "counters", test_counters_are_rendered },
  { "ids", test_ids },
  { "clock", test_clock_uses_its_ops },
  { "JSON keeps what is beside a refused value",
    test_json_keeps_what_is_beside_a_refused_value },
  { "numbers out of range are taken", test_numbers_out_of_range_are_taken },
  { "JSON takes any bytes", test_json_takes_any_bytes },
  { "JSON of small values takes memory",
    test_json_of_small_values_takes_memory },
  { "JSON of a large list is damaged", test_json_of_a_large_list_is_damaged },
  { "file that fails while it is read is empty",
    test_file_that_fails_while_it_is_read_is_empty },
  { "key of many parts ends the process",
    test_key_of_many_parts_ends_the_process },
};

int
main (void)
{
  return UNIT_RUN ("base", tests);
}

/* Tests of the checks of response heads: the malformed part of each line is
   named, and the fields of sound heads are read without the blanks around
   them.  */

#include "http/response_head.h"
#include "tests/malformed.h"
#include "tests/unit.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static struct bd_response_head head;
static struct bd_response_field field;

/* Reads lines, each with its end, and returns what the last one was.  */
static enum bd_response_line
read_lines (const char *text, size_t size)
{
  enum bd_response_line kind = BD_RESPONSE_MALFORMED;

  memset (&head, 0, sizeof head);
  while (size > 0)
    {
      const char *end = memchr (text, '\n', size);
      size_t bytes = end != NULL ? (size_t)(end - text) + 1 : size;

      kind = bd_response_head_read (&head, text, bytes, &field);
      text += bytes;
      size -= bytes;
    }
  return kind;
}

static void
check (const char *text, const char *malformed)
{
  enum bd_response_line kind = read_lines (text, strlen (text));
  bool is_right;

  if (malformed == NULL)
    is_right = head.malformed == NULL && kind != BD_RESPONSE_MALFORMED;
  else
    is_right = kind == BD_RESPONSE_MALFORMED && head.malformed != NULL
               && strcmp (head.malformed, malformed) == 0;
  CU_ASSERT_TRUE (is_right);
  if (!is_right)
    printf ("\n%s: %s", text,
            head.malformed != NULL ? head.malformed : "not malformed");
}

#define OK_LINE "HTTP/1.1 200 OK\r\n"

static void
test_malformed_part (void)
{
  check ("HTTP/1.1 200x OK\r\n", "status-line");
  check ("HTTP/1.1 099 OK\r\n", "status-line");
  check ("HTTP/1.1 600 OK\r\n", "status-line");
  check ("HTTP/1.1 101 OK\r\n", "status-line");
  check ("HTTP/1.1 20\r\n", "status-line");
  check ("HTTP/1.1 \r\n", "status-line");
  check ("\r\n", "status-line");
  check ("HTTP/1.1 200 OK", "status-line");
  check ("HTTP/1.1 200 O\rK\r\n", "status-line");
  check (OK_LINE " X: y\r\n", "folded-line");
  check (OK_LINE "\t\r\n", "folded-line");
  check (OK_LINE ": y\r\n", "field-name");
  check (OK_LINE "X\r\n", "field-name");
  check (OK_LINE "X : y\r\n", "field-name");
  check (OK_LINE "X: y", "field-name");
  check (OK_LINE "X: y\r\r\n", "field-value");
  check (OK_LINE "X: \177\r\n", "field-value");
  check (OK_LINE "Content-Length: 1 2\r\n", "length");
  check (OK_LINE "Content-Length: 9223372036854775808\r\n", "length");
  check (OK_LINE "Content-Length: 1\r\ncontent-length: 2\r\n", "length");
  check (OK_LINE "Content-Length: 1,\r\n", "length");
  check (OK_LINE "Transfer-Encoding: gzip, chunked\r\n", "encoding");
  check (OK_LINE "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
         "encoding");
  check (OK_LINE "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
         "encoding");
  check ("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "encoding");
  check ("HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n", "length");
  check ("HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n",
         "encoding");
}

static void
test_sound_lines (void)
{
  check ("HTTP/1.1 200\r\n", NULL);
  check ("HTTP/1.0 599 \n", NULL);
  check (OK_LINE "Content-Length: 9223372036854775807\r\n", NULL);
  CU_ASSERT_EQUAL (head.length, INT64_MAX);
  check (OK_LINE "Content-Length: 7 , 07\r\nContent-Length: 7\r\n\r\n", NULL);
  CU_ASSERT_EQUAL (head.length, 7);
  CU_ASSERT_TRUE (head.is_whole);
  check ("HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 204 No\r\n\r\n", NULL);
  CU_ASSERT_EQUAL (head.status, 204);
  CU_ASSERT_TRUE (head.is_whole);
}

/* Nothing is read after a malformed line.  */
static void
test_malformed_stays (void)
{
  check (OK_LINE "X Y: z\r\n\r\n", "field-name");
  CU_ASSERT_FALSE (head.is_whole);
}

/* A trailer says nothing about the body.  */
static void
test_trailers (void)
{
  check (OK_LINE "\r\nContent-Length: x\r\nTransfer-Encoding: y\r\n", NULL);
  CU_ASSERT_FALSE (head.has_length);
  check (OK_LINE "\r\nX Y: z\r\n", "field-name");
}

static bool
is_field (const char *name, const char *value)
{
  return field.name_bytes == strlen (name)
         && memcmp (field.name, name, field.name_bytes) == 0
         && field.value_bytes == strlen (value)
         && memcmp (field.value, value, field.value_bytes) == 0;
}

static void
test_fields (void)
{
  check (OK_LINE "X-A: \t b c\t \r\n", NULL);
  CU_ASSERT_TRUE (is_field ("X-A", "b c"));
  check (OK_LINE "X-A:b:c\n", NULL);
  CU_ASSERT_TRUE (is_field ("X-A", "b:c"));
  check (OK_LINE "X-A:\r\n", NULL);
  CU_ASSERT_TRUE (is_field ("X-A", ""));
  check (OK_LINE "X-A:  \t \r\n", NULL);
  CU_ASSERT_TRUE (is_field ("X-A", ""));
}

/* The cases that the tests with sockets have, too.  */
static void
check_cases (const struct response_case *list, size_t count, bool is_sound)
{
  for (size_t i = 0; i < count; i++)
    {
      struct response_case c = list[i];
      size_t size;
      char *text;

      c.body = "";
      text
          = response_make (NULL, &c, "HTTP/1.1 200 OK", "X-Own: o\r\n", &size);
      read_lines (text, size);
      CU_ASSERT_EQUAL (head.malformed == NULL, is_sound);
      CU_ASSERT_EQUAL (head.is_whole, is_sound);
      if (head.is_whole != is_sound)
        printf ("\n%s: %d", list[i].name, head.is_whole);
      talloc_free (text);
    }
}

static void
test_cases (void)
{
  check_cases (malformed_heads, CASE_COUNT (malformed_heads), false);
  check_cases (sound_responses, CASE_COUNT (sound_responses), true);
  check_cases (malformed_chunks, CASE_COUNT (malformed_chunks), true);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "malformed part", test_malformed_part },
          { "sound lines", test_sound_lines },
          { "malformed stays malformed", test_malformed_stays },
          { "trailers", test_trailers },
          { "fields", test_fields },
          { "cases", test_cases } };

  return UNIT_RUN ("response_head", tests);
}

/* Tests of the checks of chunked bodies, whole and cut at each byte.  */

#include "http/chunks.h"
#include "tests/malformed.h"
#include "tests/unit.h"

#include <stdio.h>
#include <string.h>

/* Reads a text in two parts.  */
static struct bd_chunks
read_parts (const char *text, size_t first)
{
  struct bd_chunks chunks = { 0 };
  bool is_sound = bd_chunks_read (&chunks, text, first);

  is_sound = bd_chunks_read (&chunks, text + first, strlen (text) - first);
  CU_ASSERT_EQUAL (is_sound, chunks.state != BD_CHUNKS_MALFORMED);
  return chunks;
}

static void
check (const char *name, const char *text, enum bd_chunks_state expected)
{
  for (size_t first = 0; first <= strlen (text); first++)
    {
      struct bd_chunks chunks = read_parts (text, first);

      CU_ASSERT_EQUAL (chunks.state, expected);
      if (chunks.state != expected)
        printf ("\n%s, cut after %zu bytes: state %d", name, first,
                (int)chunks.state);
    }
}

/* The cases of the tests with sockets.  Fields of trailers are checked
   elsewhere, and a body that is cut is not malformed.  */
static void
test_cases (void)
{
  for (size_t i = 0; i < CASE_COUNT (malformed_chunks); i++)
    {
      const char *name = malformed_chunks[i].name;
      const char *body = malformed_chunks[i].body;

      if (strstr (name, "trailer that is cut") != NULL)
        check (name, body, BD_CHUNKS_TRAILER_TEXT);
      else if (strcmp (name, "no last chunk") == 0)
        check (name, body, BD_CHUNKS_SIZE);
      else if (strcmp (name, "no end after the last chunk") == 0)
        check (name, body, BD_CHUNKS_TRAILER);
      else if (strstr (name, "railer") != NULL
               && strstr (name, "bare LF") == NULL
               && strstr (name, "control") == NULL)
        check (name, body, BD_CHUNKS_END);
      else
        check (name, body, BD_CHUNKS_MALFORMED);
    }
  for (size_t i = 0; i < CASE_COUNT (sound_responses); i++)
    if (sound_responses[i].body != NULL)
      check (sound_responses[i].name, sound_responses[i].body, BD_CHUNKS_END);
}

static void
test_sizes (void)
{
  check ("63 bits", "7fffffffffffffff\r\n", BD_CHUNKS_DATA);
  check ("64 bits", "8000000000000000\r\n", BD_CHUNKS_MALFORMED);
  check ("zeros", "00000000000000000001\r\na\r\n0\r\n\r\n", BD_CHUNKS_END);
  check ("no digit", ";a\r\n", BD_CHUNKS_MALFORMED);
  check ("no digit after a blank", " ;a\r\n", BD_CHUNKS_MALFORMED);
  check ("high bytes", "1;\200\r\na\r\n0\r\n\r\n", BD_CHUNKS_END);
}

/* What follows the body is not read.  */
static void
test_end (void)
{
  check ("second response", "0\r\n\r\nHTTP/1.1 \001", BD_CHUNKS_END);
}

/* Each byte of the framing, replaced by each other one, makes the body
   malformed, or is one that the grammar allows there.  */
static void
test_each_byte (void)
{
  static const char text[] = "1;a\r\nb\r\n0\r\n\r\n";
  static const size_t fixed[] = { 3, 4, 6, 7, 9, 10, 12 };

  for (size_t i = 0; i < sizeof fixed / sizeof fixed[0]; i++)
    for (int byte = 0; byte < 256; byte++)
      {
        char spoilt[sizeof text];
        struct bd_chunks chunks = { 0 };
        bool is_extended = fixed[i] == 3 && byte != '\r';

        memcpy (spoilt, text, sizeof text);
        spoilt[fixed[i]] = (char)byte;
        bd_chunks_read (&chunks, spoilt, sizeof text - 1);
        if (byte == text[fixed[i]])
          CU_ASSERT_EQUAL (chunks.state, BD_CHUNKS_END)
        else
          CU_ASSERT_NOT_EQUAL (chunks.state, BD_CHUNKS_END);
        CU_ASSERT_TRUE (!is_extended || chunks.state == BD_CHUNKS_MALFORMED);
      }
}

int
main (void)
{
  static const struct unit_test tests[] = { { "cases", test_cases },
                                            { "sizes", test_sizes },
                                            { "end", test_end },
                                            { "each byte", test_each_byte } };

  return UNIT_RUN ("chunks", tests);
}

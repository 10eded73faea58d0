/* Tests of the message encoding: a round trip, truncated payloads, which are
   rejected, and damaged payloads.  */

#include "tests/unit.h"

#include "wire/messages.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

enum
{
  LENGTH_BYTES = 4
};

static void
pack_heartbeat (msgpack_sbuffer *buffer)
{
  static struct bd_usage usages[] = { { 1, 2.5 }, { UINT64_MAX, 0 } };
  struct bd_heartbeat heartbeat = { .name = "a",
                                    .data_centre = "north",
                                    .address = "127.0.0.1",
                                    .http_port = 1,
                                    .peer_port = 2,
                                    .incarnation = -5,
                                    .config_revision = INT64_MAX,
                                    .is_stopping = true,
                                    .usages = usages,
                                    .usage_count = 2 };

  msgpack_sbuffer_init (buffer);
  bd_message_pack (buffer, BD_MESSAGE_HEARTBEAT, &heartbeat);
}

static void
test_round_trip (void)
{
  msgpack_sbuffer buffer;
  enum bd_message_type type;
  struct bd_heartbeat *heartbeat;

  pack_heartbeat (&buffer);
  heartbeat = bd_message_unpack (NULL, buffer.data + LENGTH_BYTES,
                                 buffer.size - LENGTH_BYTES, &type);
  CU_ASSERT_PTR_NOT_NULL_FATAL (heartbeat);
  CU_ASSERT_EQUAL (type, BD_MESSAGE_HEARTBEAT);
  CU_ASSERT_STRING_EQUAL (heartbeat->data_centre, "north");
  CU_ASSERT_EQUAL (heartbeat->incarnation, -5);
  CU_ASSERT_EQUAL (heartbeat->config_revision, INT64_MAX);
  CU_ASSERT_TRUE (heartbeat->is_stopping);
  CU_ASSERT_EQUAL (heartbeat->usage_count, 2);
  CU_ASSERT_DOUBLE_EQUAL (heartbeat->usages[0].per_s, 2.5, 0);
  CU_ASSERT_EQUAL (heartbeat->usages[1].key, UINT64_MAX);
  talloc_free (heartbeat);
  msgpack_sbuffer_destroy (&buffer);
}

static void
test_truncated_and_damaged_messages (void)
{
  msgpack_sbuffer buffer;
  enum bd_message_type type;
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);

  gsl_rng_set (rng, 4);
  pack_heartbeat (&buffer);
  for (size_t size = 0; size + LENGTH_BYTES < buffer.size; size++)
    CU_ASSERT_PTR_NULL (
        bd_message_unpack (NULL, buffer.data + LENGTH_BYTES, size, &type));
  for (int i = 0; i < 20000; i++)
    {
      void *message;
      size_t at = LENGTH_BYTES
                  + gsl_rng_uniform_int (rng, buffer.size - LENGTH_BYTES);
      char original = buffer.data[at];
      buffer.data[at] = (char)gsl_rng_uniform_int (rng, 256);
      /* The message may be accepted or rejected; the sanitizers detect
         memory errors.  */
      message = bd_message_unpack (NULL, buffer.data + LENGTH_BYTES,
                                   buffer.size - LENGTH_BYTES, &type);
      talloc_free (message);
      buffer.data[at] = original;
    }
  msgpack_sbuffer_destroy (&buffer);
  gsl_rng_free (rng);
}

/* An element of a list takes one byte in the frame and some hundred bytes in
   memory: a frame that claims too many is rejected before they are allocated.
 */
static void
test_huge_list (void)
{
  enum
  {
    ELEMENTS = 1 << 20
  };
  void *ctx = talloc_new (NULL);
  struct bd_freshness_reply reply = { .config = "" };
  msgpack_sbuffer buffer;
  enum bd_message_type type;
  char *payload;
  size_t size;

  msgpack_sbuffer_init (&buffer);
  bd_message_pack (&buffer, BD_MESSAGE_FRESHNESS_REPLY, &reply);
  size = buffer.size - LENGTH_BYTES;
  CU_ASSERT_PTR_NOT_NULL (
      bd_message_unpack (ctx, buffer.data + LENGTH_BYTES, size, &type));
  /* The empty list at the end becomes one of ELEMENTS times nil.  */
  payload = talloc_array (ctx, char, size + 4 + ELEMENTS);
  memcpy (payload, buffer.data + LENGTH_BYTES, size);
  memcpy (payload + size - 1, "\xdd\x00\x10\x00\x00", 5);
  memset (payload + size + 4, 0xc0, ELEMENTS);
  CU_ASSERT_PTR_NULL (
      bd_message_unpack (ctx, payload, size + 4 + ELEMENTS, &type));
  CU_ASSERT_TRUE (talloc_total_size (ctx) < 4 * ELEMENTS);
  msgpack_sbuffer_destroy (&buffer);
  talloc_free (ctx);
}

/* Largest size of the process's address space so far.  */
static size_t
peak_kb (void)
{
  FILE *file = fopen ("/proc/self/status", "r");
  char line[256];
  size_t kb = 0;

  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmPeak: %zu", &kb) == 1)
      break;
  if (file != NULL)
    fclose (file);
  return kb;
}

/* Each of the nested arrays claims all bytes that follow as its elements, and
   the library allocates them before it reads them.  */
static void
test_nested_arrays_claim_more_elements_than_bytes (void)
{
  enum
  {
    PAYLOAD_BYTES = 4 << 20,
    LEVELS = 30,
    HEADER_BYTES = 5,
    MAX_GROWTH_KB = 256 << 10
  };
  unsigned char *payload = talloc_zero_size (NULL, PAYLOAD_BYTES);
  enum bd_message_type type;
  size_t before_kb = peak_kb ();
  size_t at = 0;

  for (uint32_t i = 0; i < LEVELS; i++)
    {
      uint32_t count = PAYLOAD_BYTES - (uint32_t)at - HEADER_BYTES;

      payload[at] = 0xdd;
      for (uint32_t k = 1; k < HEADER_BYTES; k++)
        payload[at + k] = (unsigned char)(count >> 8 * (HEADER_BYTES - 1 - k));
      at += HEADER_BYTES;
    }
  CU_ASSERT_PTR_NULL (
      bd_message_unpack (NULL, (const char *)payload, PAYLOAD_BYTES, &type));
  CU_ASSERT_TRUE (peak_kb () - before_kb < MAX_GROWTH_KB);
  talloc_free (payload);
}

static void
test_deeply_nested_message_ends_the_process (void)
{
  enum
  {
    PAYLOAD_BYTES = 4 << 20
  };
  static const char headers[] = { (char)0x91, (char)0x9f, (char)0x81 };
  char *payload = talloc_size (NULL, PAYLOAD_BYTES);
  enum bd_message_type type;

  for (size_t i = 0; i < sizeof headers; i++)
    {
      memset (payload, headers[i], PAYLOAD_BYTES);
      CU_ASSERT_PTR_NULL (
          bd_message_unpack (NULL, payload, PAYLOAD_BYTES, &type));
    }
  talloc_free (payload);
}

static const struct unit_test tests[] = {
  { "round trip", test_round_trip },
  { "truncated and damaged messages", test_truncated_and_damaged_messages },
  { "huge list", test_huge_list },
  { "nested arrays claim more elements than bytes",
    test_nested_arrays_claim_more_elements_than_bytes },
  { "deeply nested message ends the process",
    test_deeply_nested_message_ends_the_process },
};

int
main (void)
{
  return UNIT_RUN ("wire", tests);
}

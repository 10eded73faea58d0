/* Tests of the wire slice: messages survive packing, and nothing malformed is
   taken for a message.  */

#include "tests/unit.h"

#include "wire/messages.h"

#include <gsl/gsl_rng.h>
#include <string.h>
#include <talloc.h>

enum
{
  HEAD_BYTES = 4
};

static void
pack_heartbeat (msgpack_sbuffer *buffer)
{
  static struct bd_usage usages[] = { { 1, 2.5 }, { UINT64_MAX, 0 } };
  struct bd_heartbeat beat = { .name = "a",
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
  bd_message_pack (buffer, BD_MESSAGE_HEARTBEAT, &beat);
}

static void
test_round_trip (void)
{
  msgpack_sbuffer buffer;
  enum bd_message_type type;
  struct bd_heartbeat *beat;

  pack_heartbeat (&buffer);
  beat = bd_message_unpack (NULL, buffer.data + HEAD_BYTES,
                            buffer.size - HEAD_BYTES, &type);
  CU_ASSERT_PTR_NOT_NULL_FATAL (beat);
  CU_ASSERT_EQUAL (type, BD_MESSAGE_HEARTBEAT);
  CU_ASSERT_STRING_EQUAL (beat->data_centre, "north");
  CU_ASSERT_EQUAL (beat->incarnation, -5);
  CU_ASSERT_EQUAL (beat->config_revision, INT64_MAX);
  CU_ASSERT_TRUE (beat->is_stopping);
  CU_ASSERT_EQUAL (beat->usage_count, 2);
  CU_ASSERT_DOUBLE_EQUAL (beat->usages[0].per_s, 2.5, 0);
  CU_ASSERT_EQUAL (beat->usages[1].key, UINT64_MAX);
  talloc_free (beat);
  msgpack_sbuffer_destroy (&buffer);
}

static void
test_cut_and_damaged_messages (void)
{
  msgpack_sbuffer buffer;
  enum bd_message_type type;
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);

  gsl_rng_set (rng, 4);
  pack_heartbeat (&buffer);
  for (size_t size = 0; size + HEAD_BYTES < buffer.size; size++)
    CU_ASSERT_PTR_NULL (
        bd_message_unpack (NULL, buffer.data + HEAD_BYTES, size, &type));
  for (int i = 0; i < 20000; i++)
    {
      void *message;
      size_t at
          = HEAD_BYTES + gsl_rng_uniform_int (rng, buffer.size - HEAD_BYTES);
      char kept = buffer.data[at];
      buffer.data[at] = (char)gsl_rng_uniform_int (rng, 256);
      /* It is taken or refused; the sanitizers watch.  */
      message = bd_message_unpack (NULL, buffer.data + HEAD_BYTES,
                                   buffer.size - HEAD_BYTES, &type);
      talloc_free (message);
      buffer.data[at] = kept;
    }
  msgpack_sbuffer_destroy (&buffer);
  gsl_rng_free (rng);
}

static const struct unit_test tests[] = {
  { "round trip", test_round_trip },
  { "cut and damaged messages", test_cut_and_damaged_messages },
};

int
main (void)
{
  return UNIT_RUN ("wire", tests);
}

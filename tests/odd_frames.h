/* Frames of peers whose form is valid and whose contents are odd.

   odd_frame() packs a sound message and exchanges some of its values for odd
   ones of the same type: numbers at the ends of their ranges, names and texts
   from a list of the test, empty, repeated and long arrays.  The generator
   decides all, so a seed gives the same frames.  */

#ifndef BD_TESTS_ODD_FRAMES_H
#define BD_TESTS_ODD_FRAMES_H

#include "wire/messages.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include <string.h>

enum
{
  ODD_LENGTH_BYTES = 4,
  ODD_REPEATS = 200,
  ODD_ONE_IN = 4,
  ODD_RATES = 3
};

struct odd_frames
{
  gsl_rng *rng;
  const char *const *names; /* For texts of up to BD_NAME_SIZE bytes.  */
  uint32_t name_count;
  const char *const *documents; /* For the others.  */
  uint32_t document_count;
  uint32_t one_in; /* One value in so many is odd; differs by frame.  */
};

static inline uint32_t
odd_pick (const struct odd_frames *odd, uint32_t count)
{
  return (uint32_t)gsl_rng_uniform_int (odd->rng, count);
}

static inline void
odd_pack_text (const struct odd_frames *odd, msgpack_packer *packer,
               const msgpack_object_str *text)
{
  bool is_name = text->size < BD_NAME_SIZE;
  const char *chosen
      = is_name ? odd->names[odd_pick (odd, odd->name_count)]
                : odd->documents[odd_pick (odd, odd->document_count)];
  size_t size = strlen (chosen);

  msgpack_pack_str (packer, size);
  msgpack_pack_str_body (packer, chosen, size);
}

static inline void
odd_pack_integer (const struct odd_frames *odd, msgpack_packer *packer)
{
  static const int64_t numbers[] = { 0,          1,
                                     -1,         2,
                                     7,          100,
                                     65535,      65536,
                                     INT32_MAX,  (int64_t)INT32_MAX + 1,
                                     UINT32_MAX, INT64_MAX,
                                     INT64_MIN,  INT64_MAX - 1 };
  uint32_t choice = odd_pick (odd, sizeof numbers / sizeof numbers[0] + 1);

  if (choice == 0)
    msgpack_pack_uint64 (packer, UINT64_MAX);
  else
    msgpack_pack_int64 (packer, numbers[choice - 1]);
}

static inline void
odd_pack_double (const struct odd_frames *odd, msgpack_packer *packer)
{
  static const double numbers[]
      = { 0, -0.0, 1, -1, 1e-300, 1e300, -1e300, NAN, INFINITY, -INFINITY };

  msgpack_pack_double (
      packer, numbers[odd_pick (odd, sizeof numbers / sizeof numbers[0])]);
}

static inline void odd_pack (const struct odd_frames *odd,
                             msgpack_packer *packer,
                             const msgpack_object *value, bool is_root);

static inline void
odd_pack_array (const struct odd_frames *odd, msgpack_packer *packer,
                const msgpack_object_array *array, bool is_root)
{
  /* Only lists have arrays as elements.  */
  bool is_list = !is_root && array->size > 0
                 && array->ptr[0].type == MSGPACK_OBJECT_ARRAY;
  uint32_t repeats = 1;

  if (is_list && odd_pick (odd, odd->one_in) == 0)
    repeats = odd_pick (odd, 2) * ODD_REPEATS;
  msgpack_pack_array (packer, (size_t)array->size * repeats);
  for (uint32_t k = 0; k < repeats; k++)
    for (uint32_t i = 0; i < array->size; i++)
      if (is_root && i == 0)
        msgpack_pack_object (packer, array->ptr[i]);
      else
        odd_pack (odd, packer, &array->ptr[i], false);
}

static inline void
odd_pack (const struct odd_frames *odd, msgpack_packer *packer,
          const msgpack_object *value, bool is_root)
{
  if (value->type == MSGPACK_OBJECT_ARRAY)
    odd_pack_array (odd, packer, &value->via.array, is_root);
  else if (odd_pick (odd, odd->one_in) != 0)
    msgpack_pack_object (packer, *value);
  else if (value->type == MSGPACK_OBJECT_STR)
    odd_pack_text (odd, packer, &value->via.str);
  else if (value->type == MSGPACK_OBJECT_BOOLEAN)
    msgpack_pack_object (
        packer, (msgpack_object){ .type = MSGPACK_OBJECT_BOOLEAN,
                                  .via.boolean = odd_pick (odd, 2) != 0 });
  else if (value->type == MSGPACK_OBJECT_FLOAT64)
    odd_pack_double (odd, packer);
  else
    odd_pack_integer (odd, packer);
}

/* odd_frame(): returns the decoded message of an odd frame, allocated on ctx,
   or NULL if the decoder refuses it.  */
static inline void *
odd_frame (struct odd_frames *odd, void *ctx, enum bd_message_type type,
           const void *message)
{
  msgpack_sbuffer sound;
  msgpack_sbuffer packed;
  msgpack_packer packer;
  msgpack_unpacked unpacked;
  enum bd_message_type read_type;
  void *read = NULL;

  odd->one_in = (uint32_t)ODD_ONE_IN << 2 * odd_pick (odd, ODD_RATES);
  msgpack_sbuffer_init (&sound);
  msgpack_sbuffer_init (&packed);
  msgpack_unpacked_init (&unpacked);
  msgpack_packer_init (&packer, &packed, msgpack_sbuffer_write);
  bd_message_pack (&sound, type, message);
  if (msgpack_unpack_next (&unpacked, sound.data + ODD_LENGTH_BYTES,
                           sound.size - ODD_LENGTH_BYTES, NULL)
      == MSGPACK_UNPACK_SUCCESS)
    {
      odd_pack (odd, &packer, &unpacked.data, true);
      read = bd_message_unpack (ctx, packed.data, packed.size, &read_type);
    }
  msgpack_unpacked_destroy (&unpacked);
  msgpack_sbuffer_destroy (&sound);
  msgpack_sbuffer_destroy (&packed);
  return read;
}

#endif

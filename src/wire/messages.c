/* Table-driven packing of messages.  */

#include "wire/messages.h"

#include <arpa/inet.h>
#include <string.h>
#include <talloc.h>

enum kind
{
  NAME,
  ID,
  TEXT,
  U32,
  U64,
  I64,
  DOUBLE,
  BOOL,
  LIST
};

struct layout;

struct field
{
  enum kind kind;
  size_t offset;
  size_t count_offset;          /* Of lists.  */
  const struct layout *element; /* Of lists.  */
};

struct layout
{
  const struct field *fields;
  uint32_t count;
  size_t size;
};

#define FIELD(type, kind, member)                                             \
  {                                                                           \
    kind, offsetof (struct type, member), 0, NULL                             \
  }
#define LIST_FIELD(type, member, counter, layout)                             \
  {                                                                           \
    LIST, offsetof (struct type, member), offsetof (struct type, counter),    \
        layout                                                                \
  }
#define LAYOUT(type, fields)                                                  \
  {                                                                           \
    fields, sizeof (fields) / sizeof (fields)[0], sizeof (struct type)        \
  }

static const struct field usage_fields[]
    = { FIELD (bd_usage, U64, key), FIELD (bd_usage, DOUBLE, per_s) };
static const struct layout usage_layout = LAYOUT (bd_usage, usage_fields);

static const struct field heartbeat_fields[]
    = { FIELD (bd_heartbeat, NAME, name),
        FIELD (bd_heartbeat, NAME, data_centre),
        FIELD (bd_heartbeat, NAME, address),
        FIELD (bd_heartbeat, U32, http_port),
        FIELD (bd_heartbeat, U32, peer_port),
        FIELD (bd_heartbeat, I64, incarnation),
        FIELD (bd_heartbeat, I64, config_revision),
        FIELD (bd_heartbeat, I64, assignment_term),
        FIELD (bd_heartbeat, I64, assignment_sequence),
        FIELD (bd_heartbeat, BOOL, is_stopping),
        LIST_FIELD (bd_heartbeat, usages, usage_count, &usage_layout) };

static const struct field room_fields[]
    = { FIELD (bd_room, U64, service_hash), FIELD (bd_room, U32, free),
        FIELD (bd_room, U32, queued) };
static const struct layout room_layout = LAYOUT (bd_room, room_fields);

static const struct field centre_fields[]
    = { FIELD (bd_centre_news, NAME, name),
        FIELD (bd_centre_news, U32, live),
        FIELD (bd_centre_news, I64, lowest_revision),
        FIELD (bd_centre_news, NAME, address),
        FIELD (bd_centre_news, U32, http_port),
        LIST_FIELD (bd_centre_news, rooms, room_count, &room_layout) };

static const struct field get_fields[]
    = { FIELD (bd_get, NAME, from), FIELD (bd_get, BOOL, wants_config),
        FIELD (bd_get, BOOL, wants_allotment),
        FIELD (bd_get, BOOL, wants_instances) };

static const struct field document_fields[]
    = { FIELD (bd_document, TEXT, text) };

static const struct field seen_fields[]
    = { FIELD (bd_seen, NAME, instance),   FIELD (bd_seen, U32, age_ms),
        FIELD (bd_seen, U32, phase),       FIELD (bd_seen, NAME, group),
        FIELD (bd_seen, I64, incarnation), FIELD (bd_seen, NAME, model),
        FIELD (bd_seen, NAME, version),    FIELD (bd_seen, U32, running) };
static const struct layout seen_layout = LAYOUT (bd_seen, seen_fields);

static const struct field digest_fields[]
    = { LIST_FIELD (bd_digest, items, count, &seen_layout) };

static const struct field whole_fields[]
    = { FIELD (bd_whole_group, U64, id_hash),
        FIELD (bd_whole_group, I64, incarnation),
        FIELD (bd_whole_group, U32, age_ms),
        FIELD (bd_whole_group, U32, running) };
static const struct layout whole_layout
    = LAYOUT (bd_whole_group, whole_fields);

static const struct field group_digest_fields[]
    = { LIST_FIELD (bd_group_digest, items, count, &whole_layout) };

static const struct field suspect_fields[]
    = { FIELD (bd_suspect_news, U64, fingerprint),
        FIELD (bd_suspect_news, U64, place),
        FIELD (bd_suspect_news, BOOL, is_cleared) };

static const struct field claim_fields[]
    = { FIELD (bd_claim_request, NAME, reply_address),
        FIELD (bd_claim_request, U32, reply_port),
        FIELD (bd_claim_request, U32, hops),
        FIELD (bd_claim_request, ID, id),
        FIELD (bd_claim_request, ID, key),
        FIELD (bd_claim_request, U64, fingerprint),
        FIELD (bd_claim_request, U32, kind),
        FIELD (bd_claim_request, U32, status),
        FIELD (bd_claim_request, TEXT, content_type),
        FIELD (bd_claim_request, TEXT, body),
        FIELD (bd_claim_request, U32, hold_ms) };

static const struct field claim_reply_fields[]
    = { FIELD (bd_claim_reply, ID, id),
        FIELD (bd_claim_reply, U32, kind),
        FIELD (bd_claim_reply, U32, result),
        FIELD (bd_claim_reply, U32, status),
        FIELD (bd_claim_reply, TEXT, content_type),
        FIELD (bd_claim_reply, TEXT, body) };

static const struct field place_fields[]
    = { FIELD (bd_place_news, U64, place),
        FIELD (bd_place_news, U32, in_flight),
        FIELD (bd_place_news, DOUBLE, prefill_ms),
        FIELD (bd_place_news, U32, progress_age_ms) };
static const struct layout place_layout = LAYOUT (bd_place_news, place_fields);

static const struct field work_fields[]
    = { FIELD (bd_work_news, U64, model), FIELD (bd_work_news, DOUBLE, busy) };
static const struct layout work_layout = LAYOUT (bd_work_news, work_fields);

static const struct field news_fields[]
    = { FIELD (bd_edge_news, NAME, name),
        FIELD (bd_edge_news, NAME, data_centre),
        FIELD (bd_edge_news, NAME, address),
        FIELD (bd_edge_news, U32, peer_port),
        FIELD (bd_edge_news, I64, incarnation),
        FIELD (bd_edge_news, I64, config_version),
        FIELD (bd_edge_news, BOOL, is_stopping),
        FIELD (bd_edge_news, BOOL, has_traffic),
        LIST_FIELD (bd_edge_news, places, place_count, &place_layout),
        LIST_FIELD (bd_edge_news, work, work_count, &work_layout) };

static const struct field vouch_ask_fields[]
    = { FIELD (bd_vouch_ask, NAME, from), FIELD (bd_vouch_ask, I64, asked_ms),
        FIELD (bd_vouch_ask, I64, config_version),
        FIELD (bd_vouch_ask, BOOL, wants_instances),
        FIELD (bd_vouch_ask, I64, instances_stamp) };

static const struct field vouch_fields[]
    = { FIELD (bd_vouch, I64, asked_ms),
        FIELD (bd_vouch, I64, config_version),
        FIELD (bd_vouch, I64, config_age_ms),
        FIELD (bd_vouch, TEXT, config),
        FIELD (bd_vouch, I64, instances_age_ms),
        FIELD (bd_vouch, I64, instances_stamp),
        FIELD (bd_vouch, TEXT, instances) };

static const struct field doubt_fields[]
    = { FIELD (bd_doubt_news, U64, group),
        FIELD (bd_doubt_news, BOOL, is_ended) };

static const struct layout layouts[BD_MESSAGE_COUNT] = {
  [BD_MESSAGE_HEARTBEAT] = LAYOUT (bd_heartbeat, heartbeat_fields),
  [BD_MESSAGE_CENTRE] = LAYOUT (bd_centre_news, centre_fields),
  [BD_MESSAGE_ELSEWHERE] = LAYOUT (bd_centre_news, centre_fields),
  [BD_MESSAGE_GET] = LAYOUT (bd_get, get_fields),
  [BD_MESSAGE_CONFIG] = LAYOUT (bd_document, document_fields),
  [BD_MESSAGE_ALLOTMENT] = LAYOUT (bd_document, document_fields),
  [BD_MESSAGE_INSTANCES] = LAYOUT (bd_document, document_fields),
  [BD_MESSAGE_DIGEST] = LAYOUT (bd_digest, digest_fields),
  [BD_MESSAGE_GROUPS] = LAYOUT (bd_group_digest, group_digest_fields),
  [BD_MESSAGE_SUSPECT] = LAYOUT (bd_suspect_news, suspect_fields),
  [BD_MESSAGE_CLAIM] = LAYOUT (bd_claim_request, claim_fields),
  [BD_MESSAGE_CLAIM_REPLY] = LAYOUT (bd_claim_reply, claim_reply_fields),
  [BD_MESSAGE_NEWS] = LAYOUT (bd_edge_news, news_fields),
  [BD_MESSAGE_VOUCH_ASK] = LAYOUT (bd_vouch_ask, vouch_ask_fields),
  [BD_MESSAGE_VOUCH] = LAYOUT (bd_vouch, vouch_fields),
  [BD_MESSAGE_DOUBT] = LAYOUT (bd_doubt_news, doubt_fields),
};

static void
pack_text (msgpack_packer *packer, const char *text)
{
  size_t size = text != NULL ? strlen (text) : 0;

  msgpack_pack_str (packer, size);
  msgpack_pack_str_body (packer, text != NULL ? text : "", size);
}

static void pack_fields (msgpack_packer *packer, const struct layout *layout,
                         const void *message);

static void
pack_list (msgpack_packer *packer, const struct field *field,
           const void *message)
{
  const char *items
      = *(const char *const *)((const char *)message + field->offset);
  uint32_t count
      = *(const uint32_t *)((const char *)message + field->count_offset);

  msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      msgpack_pack_array (packer, field->element->count);
      pack_fields (packer, field->element, items + i * field->element->size);
    }
}

static void
pack_field (msgpack_packer *packer, const struct field *field,
            const void *message)
{
  const void *place = (const char *)message + field->offset;

  switch (field->kind)
    {
    case NAME:
    case ID:
      pack_text (packer, place);
      break;
    case TEXT:
      pack_text (packer, *(const char *const *)place);
      break;
    case U32:
      msgpack_pack_uint32 (packer, *(const uint32_t *)place);
      break;
    case U64:
      msgpack_pack_uint64 (packer, *(const uint64_t *)place);
      break;
    case I64:
      msgpack_pack_int64 (packer, *(const int64_t *)place);
      break;
    case DOUBLE:
      msgpack_pack_double (packer, *(const double *)place);
      break;
    case BOOL:
      if (*(const bool *)place)
        msgpack_pack_true (packer);
      else
        msgpack_pack_false (packer);
      break;
    case LIST:
      pack_list (packer, field, message);
      break;
    }
}

static void
pack_fields (msgpack_packer *packer, const struct layout *layout,
             const void *message)
{
  for (uint32_t i = 0; i < layout->count; i++)
    pack_field (packer, &layout->fields[i], message);
}

void
bd_message_pack (msgpack_sbuffer *buffer, enum bd_message_type type,
                 const void *message)
{
  msgpack_packer packer;
  size_t start = buffer->size;
  uint32_t size = 0;

  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_sbuffer_write (buffer, (const char *)&size, sizeof size);
  msgpack_pack_array (&packer, layouts[type].count + 1);
  msgpack_pack_uint32 (&packer, type);
  pack_fields (&packer, &layouts[type], message);
  size = htonl ((uint32_t)(buffer->size - start - sizeof size));
  memcpy (buffer->data + start, &size, sizeof size);
}

static bool unpack_fields (void *ctx, const msgpack_object *values,
                           const struct layout *layout, void *message);

static bool
unpack_text (const msgpack_object *value, size_t room, char *out)
{
  if (value->type != MSGPACK_OBJECT_STR || value->via.str.size >= room)
    return false;
  memcpy (out, value->via.str.ptr, value->via.str.size);
  out[value->via.str.size] = '\0';
  return true;
}

static bool
unpack_unsigned (const msgpack_object *value, uint64_t max, uint64_t *out)
{
  if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER || value->via.u64 > max)
    return false;
  *out = value->via.u64;
  return true;
}

static bool
unpack_signed (const msgpack_object *value, int64_t *out)
{
  bool is_positive = value->type == MSGPACK_OBJECT_POSITIVE_INTEGER
                     && value->via.u64 <= INT64_MAX;

  if (!is_positive && value->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return false;
  *out = value->via.i64;
  return true;
}

static bool
unpack_list (void *ctx, const msgpack_object *value, const struct field *field,
             void *message)
{
  char **items = (char **)((char *)message + field->offset);
  uint32_t *count = (uint32_t *)((char *)message + field->count_offset);

  if (value->type != MSGPACK_OBJECT_ARRAY)
    return false;
  *count = value->via.array.size;
  *items = talloc_zero_size (ctx, (size_t)*count * field->element->size + 1);
  for (uint32_t i = 0; i < *count; i++)
    if (!unpack_fields (ctx, &value->via.array.ptr[i], field->element,
                        *items + i * field->element->size))
      return false;
  return true;
}

static bool
unpack_field (void *ctx, const msgpack_object *value,
              const struct field *field, void *message)
{
  void *place = (char *)message + field->offset;
  uint64_t number;

  switch (field->kind)
    {
    case NAME:
      return unpack_text (value, BD_NAME_SIZE, place);
    case ID:
      return unpack_text (value, BD_ID_SIZE, place);
    case TEXT:
      if (value->type != MSGPACK_OBJECT_STR)
        return false;
      *(char **)place
          = talloc_strndup (ctx, value->via.str.ptr, value->via.str.size);
      return true;
    case U32:
      if (!unpack_unsigned (value, UINT32_MAX, &number))
        return false;
      *(uint32_t *)place = (uint32_t)number;
      return true;
    case U64:
      return unpack_unsigned (value, UINT64_MAX, place);
    case I64:
      return unpack_signed (value, place);
    case DOUBLE:
      if (value->type != MSGPACK_OBJECT_FLOAT64)
        return false;
      *(double *)place = value->via.f64;
      return true;
    case BOOL:
      *(bool *)place
          = value->type == MSGPACK_OBJECT_BOOLEAN && value->via.boolean;
      return value->type == MSGPACK_OBJECT_BOOLEAN;
    case LIST:
      return unpack_list (ctx, value, field, message);
    }
  return false;
}

static bool
unpack_fields (void *ctx, const msgpack_object *values,
               const struct layout *layout, void *message)
{
  if (values->type != MSGPACK_OBJECT_ARRAY
      || values->via.array.size != layout->count)
    return false;
  for (uint32_t i = 0; i < layout->count; i++)
    if (!unpack_field (ctx, &values->via.array.ptr[i], &layout->fields[i],
                       message))
      return false;
  return true;
}

static void *
unpack_object (void *ctx, const msgpack_object *root,
               enum bd_message_type *type)
{
  msgpack_object values;
  uint64_t number;
  void *message;

  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size == 0
      || !unpack_unsigned (&root->via.array.ptr[0], BD_MESSAGE_COUNT - 1,
                           &number))
    return NULL;
  *type = (enum bd_message_type)number;
  values = *root;
  values.via.array.ptr++;
  values.via.array.size--;
  message = talloc_zero_size (ctx, layouts[*type].size);
  if (unpack_fields (message, &values, &layouts[*type], message))
    return message;
  talloc_free (message);
  return NULL;
}

/* What the head of an encoded object says.  */
struct token
{
  uint64_t skip;  /* Bytes of the token with its payload.  */
  uint64_t items; /* Objects that follow as its content.  */
};

static uint64_t
read_count (const unsigned char *data, size_t bytes)
{
  uint64_t count = 0;

  for (size_t i = 0; i < bytes; i++)
    count = count << 8 | data[i];
  return count;
}

/* Reads the head of one object of which left bytes are there.  Maps and
   extensions are not used and not taken.  */
static bool
read_token (const unsigned char *data, size_t left, struct token *token)
{
  unsigned char first = data[0];
  size_t count_bytes = 0;

  *token = (struct token){ .skip = 1 };
  if (first <= 0x7f || first >= 0xe0 || first == 0xc0 || first == 0xc2
      || first == 0xc3)
    return true;
  if (first >= 0x90 && first <= 0x9f)
    {
      token->items = first & 0x0f;
      return true;
    }
  if (first >= 0xa0 && first <= 0xbf)
    {
      token->skip += first & 0x1f;
      return true;
    }
  if (first >= 0xca && first <= 0xd3)
    {
      static const unsigned char sizes[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };
      token->skip += sizes[first - 0xca];
      return true;
    }
  if (first >= 0xd9 && first <= 0xdb)
    count_bytes = (size_t)1 << (first - 0xd9);
  else if (first == 0xdc || first == 0xdd)
    count_bytes = first == 0xdc ? 2 : 4;
  if (count_bytes == 0 || left < 1 + count_bytes)
    return false;
  token->skip += count_bytes;
  if (first <= 0xdb)
    token->skip += read_count (data + 1, count_bytes);
  else
    token->items = read_count (data + 1, count_bytes);
  return true;
}

/* Whether the counts in a payload fit its size.  The library makes room for
   as many objects as a head says, so that one damaged byte could ask for more
   memory than there is.  */
static bool
is_plausible (const char *data, size_t size)
{
  size_t at = 0;

  while (at < size)
    {
      struct token token;
      if (!read_token ((const unsigned char *)data + at, size - at, &token)
          || token.skip > size - at || token.items > size - at)
        return false;
      at += token.skip;
    }
  return true;
}

void *
bd_message_unpack (void *ctx, const char *data, size_t size,
                   enum bd_message_type *type)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  void *message = NULL;

  if (!is_plausible (data, size))
    return NULL;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, size, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && offset == size)
    message = unpack_object (ctx, &unpacked.data, type);
  msgpack_unpacked_destroy (&unpacked);
  return message;
}

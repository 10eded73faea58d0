/* Table-driven encoding and decoding of messages.  */

#include "wire/messages.h"

#include <arpa/inet.h>
#include <string.h>
#include <talloc.h>

enum
{
  /* Largest decoded list.  An encoded element can be a single byte, so the
     size of the frame does not limit it.  */
  MAX_LIST_BYTES = 8 << 20,
  /* Elements of a frame, those of nested arrays included.  The library takes
     24 bytes for each, also of one byte.  */
  MAX_ELEMENTS = 1 << 20
};

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
  uint32_t appended; /* Last fields, which an earlier build does not send.  */
  /* Of these, the last ones that are not sent if all are zero or empty, so
     that an earlier build that refuses further fields can read the rest.  */
  uint32_t omitted;
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
    fields, sizeof (fields) / sizeof (fields)[0], sizeof (struct type), 0, 0  \
  }
#define GROWN_LAYOUT(type, fields, appended)                                  \
  {                                                                           \
    fields, sizeof (fields) / sizeof (fields)[0], sizeof (struct type),       \
        appended, 0                                                           \
  }
#define SHORT_LAYOUT(type, fields, appended, omitted)                         \
  {                                                                           \
    fields, sizeof (fields) / sizeof (fields)[0], sizeof (struct type),       \
        appended, omitted                                                     \
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

static const struct field capacity_fields[]
    = { FIELD (bd_service_capacity, U64, service_hash),
        FIELD (bd_service_capacity, U32, free),
        FIELD (bd_service_capacity, U32, queued) };
static const struct layout capacity_layout
    = LAYOUT (bd_service_capacity, capacity_fields);

static const struct field data_centre_fields[]
    = { FIELD (bd_data_centre_status, NAME, name),
        FIELD (bd_data_centre_status, U32, live),
        FIELD (bd_data_centre_status, I64, lowest_revision),
        FIELD (bd_data_centre_status, NAME, address),
        FIELD (bd_data_centre_status, U32, http_port),
        LIST_FIELD (bd_data_centre_status, capacities, capacity_count,
                    &capacity_layout) };

static const struct field state_request_fields[]
    = { FIELD (bd_state_request, NAME, from),
        FIELD (bd_state_request, BOOL, wants_config),
        FIELD (bd_state_request, BOOL, wants_assignment),
        FIELD (bd_state_request, BOOL, wants_instances) };

static const struct field document_fields[]
    = { FIELD (bd_document, TEXT, text) };

static const struct field instance_report_fields[]
    = { FIELD (bd_instance_report, NAME, instance),
        FIELD (bd_instance_report, U32, age_ms),
        FIELD (bd_instance_report, U32, phase),
        FIELD (bd_instance_report, NAME, group),
        FIELD (bd_instance_report, I64, incarnation),
        FIELD (bd_instance_report, NAME, model),
        FIELD (bd_instance_report, NAME, version),
        FIELD (bd_instance_report, U32, running) };
static const struct layout instance_report_layout
    = LAYOUT (bd_instance_report, instance_report_fields);

static const struct field instance_reports_fields[] = { LIST_FIELD (
    bd_instance_reports, items, count, &instance_report_layout) };

static const struct field group_report_fields[]
    = { FIELD (bd_group_report, U64, id_hash),
        FIELD (bd_group_report, I64, incarnation),
        FIELD (bd_group_report, U32, age_ms),
        FIELD (bd_group_report, U32, running) };
static const struct layout group_report_layout
    = LAYOUT (bd_group_report, group_report_fields);

static const struct field group_reports_fields[]
    = { LIST_FIELD (bd_group_reports, items, count, &group_report_layout) };

static const struct field evidence_fields[]
    = { FIELD (bd_poison_evidence, U64, subject),
        FIELD (bd_poison_evidence, U64, target),
        FIELD (bd_poison_evidence, U64, request),
        FIELD (bd_poison_evidence, U64, reporter),
        FIELD (bd_poison_evidence, U32, sent_age_ms),
        FIELD (bd_poison_evidence, U32, crash_age_ms),
        FIELD (bd_poison_evidence, BOOL, is_cleared) };
static const struct layout evidence_layout
    = LAYOUT (bd_poison_evidence, evidence_fields);

static const struct field poison_fields[]
    = { LIST_FIELD (bd_poison_update, items, count, &evidence_layout),
        FIELD (bd_poison_update, U32, stage) };

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

static const struct field target_fields[]
    = { FIELD (bd_target_traffic, U64, target),
        FIELD (bd_target_traffic, U32, in_flight),
        FIELD (bd_target_traffic, U32, prefill_ms),
        FIELD (bd_target_traffic, U32, progress_age_ms) };
static const struct layout target_layout
    = LAYOUT (bd_target_traffic, target_fields);

static const struct field demand_fields[]
    = { FIELD (bd_model_demand, U64, model),
        FIELD (bd_model_demand, DOUBLE, busy_replicas) };
static const struct layout demand_layout
    = LAYOUT (bd_model_demand, demand_fields);

static const struct field account_fields[]
    = { FIELD (bd_account_traffic, U64, account),
        FIELD (bd_account_traffic, U64, model),
        FIELD (bd_account_traffic, U64, priority),
        FIELD (bd_account_traffic, U32, asked),
        FIELD (bd_account_traffic, U32, served) };
static const struct layout account_layout
    = LAYOUT (bd_account_traffic, account_fields);

static const struct field live_fields[]
    = { FIELD (bd_live_daemon, U64, name_hash),
        FIELD (bd_live_daemon, BOOL, is_stopping),
        FIELD (bd_live_daemon, BOOL, is_isolated) };
static const struct layout live_layout = LAYOUT (bd_live_daemon, live_fields);

static const struct field edge_status_fields[]
    = { FIELD (bd_edge_status, U32, scope),
        FIELD (bd_edge_status, NAME, name),
        FIELD (bd_edge_status, NAME, data_centre),
        FIELD (bd_edge_status, NAME, address),
        FIELD (bd_edge_status, U32, peer_port),
        FIELD (bd_edge_status, I64, incarnation),
        FIELD (bd_edge_status, I64, config_version),
        FIELD (bd_edge_status, U32, handover_port),
        FIELD (bd_edge_status, BOOL, is_stopping),
        FIELD (bd_edge_status, BOOL, is_isolated),
        FIELD (bd_edge_status, BOOL, has_traffic),
        FIELD (bd_edge_status, BOOL, wants_reply),
        FIELD (bd_edge_status, U64, live_checksum),
        FIELD (bd_edge_status, U64, poison_checksum),
        FIELD (bd_edge_status, U64, limits_checksum),
        FIELD (bd_edge_status, U32, traffic.daemon_count),
        FIELD (bd_edge_status, U32, traffic.reporting_count),
        LIST_FIELD (bd_edge_status, traffic.targets, traffic.target_count,
                    &target_layout),
        LIST_FIELD (bd_edge_status, traffic.demand, traffic.demand_count,
                    &demand_layout),
        LIST_FIELD (bd_edge_status, live, live_count, &live_layout),
        LIST_FIELD (bd_edge_status, traffic.accounts, traffic.account_count,
                    &account_layout) };

static const struct field freshness_request_fields[]
    = { FIELD (bd_freshness_request, NAME, from),
        FIELD (bd_freshness_request, I64, sent_ms),
        FIELD (bd_freshness_request, I64, config_version),
        FIELD (bd_freshness_request, BOOL, wants_instances),
        FIELD (bd_freshness_request, U64, position.log),
        FIELD (bd_freshness_request, U64, position.change),
        FIELD (bd_freshness_request, BOOL, position.is_whole),
        FIELD (bd_freshness_request, U64, config_checksum) };

static const struct field record_fields[]
    = { FIELD (bd_directory_record, I64, era),
        FIELD (bd_directory_record, I64, revision),
        FIELD (bd_directory_record, BOOL, is_removed),
        FIELD (bd_directory_record, NAME, entry.id),
        FIELD (bd_directory_record, NAME, entry.service),
        FIELD (bd_directory_record, NAME, entry.address),
        FIELD (bd_directory_record, U32, entry.port),
        FIELD (bd_directory_record, NAME, entry.data_centre),
        FIELD (bd_directory_record, NAME, entry.domain),
        FIELD (bd_directory_record, U32, entry.slots),
        FIELD (bd_directory_record, BOOL, entry.is_draining),
        FIELD (bd_directory_record, I64, entry.started_ms),
        FIELD (bd_directory_record, I64, entry.heartbeats),
        FIELD (bd_directory_record, U32, entry.staged_count),
        FIELD (bd_directory_record, NAME, entry.staged[0]),
        FIELD (bd_directory_record, NAME, entry.staged[1]),
        FIELD (bd_directory_record, NAME, entry.staged[2]),
        FIELD (bd_directory_record, NAME, entry.staged[3]),
        FIELD (bd_directory_record, NAME, entry.member.group),
        FIELD (bd_directory_record, I64, entry.member.epoch),
        FIELD (bd_directory_record, U32, entry.member.rank),
        FIELD (bd_directory_record, U32, entry.member.state),
        FIELD (bd_directory_record, NAME, entry.member.model),
        FIELD (bd_directory_record, BOOL, entry.has_cold_remaining),
        FIELD (bd_directory_record, I64, entry.cold_remaining_ms) };
static const struct layout record_layout
    = SHORT_LAYOUT (bd_directory_record, record_fields, 2, 2);

static const struct field freshness_reply_fields[]
    = { FIELD (bd_freshness_reply, I64, sent_ms),
        FIELD (bd_freshness_reply, I64, config_version),
        FIELD (bd_freshness_reply, I64, config_age_ms),
        FIELD (bd_freshness_reply, TEXT, config),
        FIELD (bd_freshness_reply, I64, era),
        FIELD (bd_freshness_reply, I64, instances_age_ms),
        FIELD (bd_freshness_reply, BOOL, has_frame),
        FIELD (bd_freshness_reply, U64, frame.log),
        FIELD (bd_freshness_reply, U64, frame.from),
        FIELD (bd_freshness_reply, U64, frame.to),
        FIELD (bd_freshness_reply, BOOL, frame.is_whole),
        FIELD (bd_freshness_reply, BOOL, frame.is_last),
        FIELD (bd_freshness_reply, I64, frame.era),
        FIELD (bd_freshness_reply, I64, frame.revision),
        LIST_FIELD (bd_freshness_reply, frame.records, frame.record_count,
                    &record_layout),
        FIELD (bd_freshness_reply, I64, window_ms),
        FIELD (bd_freshness_reply, TEXT, config_deltas),
        FIELD (bd_freshness_reply, U64, config_checksum) };

static const struct field evacuated_fields[]
    = { FIELD (bd_evacuated, NAME, name) };
static const struct layout evacuated_layout
    = LAYOUT (bd_evacuated, evacuated_fields);

static const struct field evacuation_fields[]
    = { FIELD (bd_evacuation_update, I64, sent_ms),
        FIELD (bd_evacuation_update, I64, era),
        FIELD (bd_evacuation_update, I64, age_ms),
        LIST_FIELD (bd_evacuation_update, items, count, &evacuated_layout) };

static const struct field leaving_fields[]
    = { FIELD (bd_leaving_update, NAME, endpoint),
        FIELD (bd_leaving_update, I64, started_ms),
        FIELD (bd_leaving_update, U32, stage) };

static const struct field limit_fields[]
    = { FIELD (bd_endpoint_limit, NAME, endpoint),
        FIELD (bd_endpoint_limit, I64, started_ms),
        FIELD (bd_endpoint_limit, DOUBLE, per_s),
        FIELD (bd_endpoint_limit, I64, age_ms),
        FIELD (bd_endpoint_limit, BOOL, is_leaving) };
static const struct layout limit_layout
    = GROWN_LAYOUT (bd_endpoint_limit, limit_fields, 1);

static const struct field limits_fields[]
    = { LIST_FIELD (bd_limits_update, items, count, &limit_layout),
        FIELD (bd_limits_update, U32, stage) };

static const struct field list_request_fields[]
    = { FIELD (bd_list_request, NAME, from),
        FIELD (bd_list_request, I64, sent_ms),
        FIELD (bd_list_request, U64, checksum) };

static const struct field list_reply_fields[] = {
  FIELD (bd_list_reply, I64, sent_ms), FIELD (bd_list_reply, I64, age_ms),
  FIELD (bd_list_reply, U64, checksum), FIELD (bd_list_reply, TEXT, text)
};

static const struct field suspicion_fields[]
    = { FIELD (bd_suspicion_update, U64, group),
        FIELD (bd_suspicion_update, BOOL, is_dissolved),
        FIELD (bd_suspicion_update, U32, stage),
        FIELD (bd_suspicion_update, BOOL, ends_requests) };

static const struct layout layouts[BD_MESSAGE_COUNT] = {
  [BD_MESSAGE_HEARTBEAT] = LAYOUT (bd_heartbeat, heartbeat_fields),
  [BD_MESSAGE_DATA_CENTRE]
  = LAYOUT (bd_data_centre_status, data_centre_fields),
  [BD_MESSAGE_REMOTE_CAPACITY]
  = LAYOUT (bd_data_centre_status, data_centre_fields),
  [BD_MESSAGE_STATE_REQUEST] = LAYOUT (bd_state_request, state_request_fields),
  [BD_MESSAGE_CONFIG] = LAYOUT (bd_document, document_fields),
  [BD_MESSAGE_ASSIGNMENT] = LAYOUT (bd_document, document_fields),
  [BD_MESSAGE_INSTANCES] = LAYOUT (bd_document, document_fields),
  [BD_MESSAGE_INSTANCE_REPORTS]
  = LAYOUT (bd_instance_reports, instance_reports_fields),
  [BD_MESSAGE_GROUP_REPORTS] = LAYOUT (bd_group_reports, group_reports_fields),
  [BD_MESSAGE_POISON] = LAYOUT (bd_poison_update, poison_fields),
  [BD_MESSAGE_CLAIM] = LAYOUT (bd_claim_request, claim_fields),
  [BD_MESSAGE_CLAIM_REPLY] = LAYOUT (bd_claim_reply, claim_reply_fields),
  [BD_MESSAGE_EDGE_STATUS]
  = SHORT_LAYOUT (bd_edge_status, edge_status_fields, 1, 1),
  [BD_MESSAGE_FRESHNESS_REQUEST]
  = SHORT_LAYOUT (bd_freshness_request, freshness_request_fields, 1, 1),
  [BD_MESSAGE_FRESHNESS_REPLY]
  = SHORT_LAYOUT (bd_freshness_reply, freshness_reply_fields, 3, 2),
  [BD_MESSAGE_SUSPICION]
  = GROWN_LAYOUT (bd_suspicion_update, suspicion_fields, 1),
  [BD_MESSAGE_LEAVING] = LAYOUT (bd_leaving_update, leaving_fields),
  [BD_MESSAGE_LIMITS] = LAYOUT (bd_limits_update, limits_fields),
  [BD_MESSAGE_LIST_REQUEST] = LAYOUT (bd_list_request, list_request_fields),
  [BD_MESSAGE_LIST_REPLY] = LAYOUT (bd_list_reply, list_reply_fields),
  [BD_MESSAGE_EVACUATIONS] = LAYOUT (bd_evacuation_update, evacuation_fields),
};

static void
pack_text (msgpack_packer *packer, const char *text)
{
  size_t size = text != NULL ? strlen (text) : 0;

  msgpack_pack_str (packer, size);
  msgpack_pack_str_body (packer, text != NULL ? text : "", size);
}

static void pack_fields (msgpack_packer *packer, const struct layout *layout,
                         uint32_t count, const void *message);

static bool
is_zero (const struct field *field, const void *message)
{
  const void *member = (const char *)message + field->offset;

  switch (field->kind)
    {
    case U32:
      return *(const uint32_t *)member == 0;
    case U64:
      return *(const uint64_t *)member == 0;
    case I64:
      return *(const int64_t *)member == 0;
    case DOUBLE:
      return *(const double *)member == 0;
    case BOOL:
      return !*(const bool *)member;
    case LIST:
      return *(const uint32_t *)((const char *)message + field->count_offset)
             == 0;
    case TEXT:
      return *(char *const *)member == NULL
             || (*(char *const *)member)[0] == '\0';
    case NAME:
    case ID:
      return *(const char *)member == '\0';
    }
  return false;
}

/* Number of fields that are sent.  */
static uint32_t
count_fields (const struct layout *layout, const void *message)
{
  uint32_t first = layout->count - layout->omitted;

  for (uint32_t i = first; i < layout->count; i++)
    if (!is_zero (&layout->fields[i], message))
      return layout->count;
  return first;
}

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
      const char *item = items + i * field->element->size;
      uint32_t fields = count_fields (field->element, item);

      msgpack_pack_array (packer, fields);
      pack_fields (packer, field->element, fields, item);
    }
}

static void
pack_field (msgpack_packer *packer, const struct field *field,
            const void *message)
{
  const void *member = (const char *)message + field->offset;

  switch (field->kind)
    {
    case NAME:
    case ID:
      pack_text (packer, member);
      break;
    case TEXT:
      pack_text (packer, *(const char *const *)member);
      break;
    case U32:
      msgpack_pack_uint32 (packer, *(const uint32_t *)member);
      break;
    case U64:
      msgpack_pack_uint64 (packer, *(const uint64_t *)member);
      break;
    case I64:
      msgpack_pack_int64 (packer, *(const int64_t *)member);
      break;
    case DOUBLE:
      msgpack_pack_double (packer, *(const double *)member);
      break;
    case BOOL:
      if (*(const bool *)member)
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
             uint32_t count, const void *message)
{
  for (uint32_t i = 0; i < count; i++)
    pack_field (packer, &layout->fields[i], message);
}

void
bd_message_pack (msgpack_sbuffer *buffer, enum bd_message_type type,
                 const void *message)
{
  msgpack_packer packer;
  size_t start = buffer->size;
  uint32_t size = 0;
  uint32_t fields = count_fields (&layouts[type], message);

  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_sbuffer_write (buffer, (const char *)&size, sizeof size);
  msgpack_pack_array (&packer, fields + 1);
  msgpack_pack_uint32 (&packer, type);
  pack_fields (&packer, &layouts[type], fields, message);
  size = htonl ((uint32_t)(buffer->size - start - sizeof size));
  memcpy (buffer->data + start, &size, sizeof size);
}

static bool unpack_fields (void *ctx, const msgpack_object *values,
                           const struct layout *layout, void *message);

/* The library can leave the pointer of an empty text NULL.  */
static const char *
text_of (const msgpack_object_str *text)
{
  return text->size > 0 ? text->ptr : "";
}

static bool
unpack_text (const msgpack_object *value, size_t capacity, char *out)
{
  if (value->type != MSGPACK_OBJECT_STR || value->via.str.size >= capacity)
    return false;
  memcpy (out, text_of (&value->via.str), value->via.str.size);
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

  if (value->type != MSGPACK_OBJECT_ARRAY
      || value->via.array.size > MAX_LIST_BYTES / field->element->size)
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
  void *member = (char *)message + field->offset;
  uint64_t number;

  switch (field->kind)
    {
    case NAME:
      return unpack_text (value, BD_NAME_SIZE, member);
    case ID:
      return unpack_text (value, BD_ID_SIZE, member);
    case TEXT:
      if (value->type != MSGPACK_OBJECT_STR)
        return false;
      *(char **)member = talloc_strndup (ctx, text_of (&value->via.str),
                                         value->via.str.size);
      return true;
    case U32:
      if (!unpack_unsigned (value, UINT32_MAX, &number))
        return false;
      *(uint32_t *)member = (uint32_t)number;
      return true;
    case U64:
      return unpack_unsigned (value, UINT64_MAX, member);
    case I64:
      return unpack_signed (value, member);
    case DOUBLE:
      if (value->type != MSGPACK_OBJECT_FLOAT64)
        return false;
      *(double *)member = value->via.f64;
      return true;
    case BOOL:
      *(bool *)member
          = value->type == MSGPACK_OBJECT_BOOLEAN && value->via.boolean;
      return value->type == MSGPACK_OBJECT_BOOLEAN;
    case LIST:
      return unpack_list (ctx, value, field, message);
    }
  return false;
}

/* A later build may append fields, which are ignored.  Those that an earlier
   build lacks stay zero.  */
static bool
unpack_fields (void *ctx, const msgpack_object *values,
               const struct layout *layout, void *message)
{
  uint32_t count = layout->count;

  if (values->type != MSGPACK_OBJECT_ARRAY
      || values->via.array.size < count - layout->appended)
    return false;
  if (values->via.array.size < count)
    count = values->via.array.size;
  for (uint32_t i = 0; i < count; i++)
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

/* Sizes from the header of an encoded object.  */
struct token
{
  uint64_t skip;  /* Size of the header and of the data after it.  */
  uint64_t items; /* Number of elements, which follow as objects.  */
};

static uint64_t
read_count (const unsigned char *data, size_t bytes)
{
  uint64_t count = 0;

  for (size_t i = 0; i < bytes; i++)
    count = count << 8 | data[i];
  return count;
}

/* Reads the header of the object at data; left is the number of bytes that
   remain in the payload.  Returns false if the header is truncated, and for
   maps and extensions, which no message uses.  */
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

/* Checks that the counts in a payload together do not exceed its size, since
   each element has a byte of its own, nor MAX_ELEMENTS.  The library allocates
   memory for as many elements as a header announces.  Without this check, one
   damaged byte can request more memory than the machine has.  */
static bool
are_counts_plausible (const char *data, size_t size)
{
  size_t max_items = size < MAX_ELEMENTS ? size : MAX_ELEMENTS;
  size_t at = 0;
  uint64_t items = 0;

  while (at < size)
    {
      struct token token;
      if (!read_token ((const unsigned char *)data + at, size - at, &token)
          || token.skip > size - at || token.items > max_items - items)
        return false;
      at += token.skip;
      items += token.items;
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

  if (!are_counts_plausible (data, size))
    return NULL;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, size, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && offset == size)
    message = unpack_object (ctx, &unpacked.data, type);
  msgpack_unpacked_destroy (&unpacked);
  return message;
}

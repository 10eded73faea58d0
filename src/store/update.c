/* State machine of conditional updates.  */

#include "store/update.h"

#include <string.h>

enum
{
  /* Maximum number of earlier write ids in an envelope.  */
  RECENT_WRITES = 16
};

void
bd_update_init (struct bd_update *update, const char write_id[BD_ID_SIZE],
                int64_t expected_version)
{
  memset (update, 0, sizeof *update);
  memcpy (update->write_id, write_id, BD_ID_SIZE);
  update->expected_version = expected_version;
  update->step = BD_UPDATE_WRITE;
}

static void
finish (struct bd_update *update, enum bd_error error, int64_t version)
{
  update->step = BD_UPDATE_DONE;
  update->error = error;
  update->version = version;
}

void
bd_update_handle_write (struct bd_update *update, enum bd_error error,
                        int64_t version)
{
  switch (error)
    {
    case BD_OK:
      finish (update, BD_OK, version);
      return;
    case BD_ERR_RATE_LIMITED:
      /* The platform did not execute the write, so it is sent again.  */
      return;
    case BD_ERR_CONFLICT:
      /* After a lost reply, the conflict can be with an earlier copy of this
         same write.  */
      if (update->has_lost_reply)
        update->step = BD_UPDATE_READ;
      else
        finish (update, BD_ERR_CONFLICT, 0);
      return;
    default:
      update->has_lost_reply = true;
      update->step = BD_UPDATE_READ;
    }
}

/* Whether value is this write id.  An object of another writer can have
   anything in its place.  */
static bool
is_write_id (const json_t *value, const char *write_id)
{
  const char *text = json_string_value (value);

  return text != NULL && strcmp (text, write_id) == 0;
}

static bool
contains_write (const json_t *envelope, const char *write_id, bool *is_last)
{
  const json_t *last = json_object_get (envelope, "write_id");
  const json_t *recent = json_object_get (envelope, "recent");
  const json_t *entry;
  size_t i;

  *is_last = is_write_id (last, write_id);
  if (*is_last)
    return true;
  json_array_foreach (recent, i, entry)
    if (is_write_id (entry, write_id))
      return true;
  return false;
}

void
bd_update_handle_read (struct bd_update *update, enum bd_error error,
                       int64_t version, const json_t *envelope)
{
  bool is_last = false;
  bool is_absent = error == BD_ERR_NOT_FOUND;

  if (error != BD_OK && !is_absent)
    return;
  if (!is_absent && contains_write (envelope, update->write_id, &is_last))
    {
      update->is_superseded = !is_last;
      finish (update, BD_OK, version);
      return;
    }
  if (is_absent ? update->expected_version == 0
                : version == update->expected_version)
    update->step = BD_UPDATE_WRITE;
  else
    finish (update, BD_ERR_CONFLICT, 0);
}

json_t *
bd_envelope_make (const char *write_id, const json_t *previous, json_t *data)
{
  json_t *recent = json_array ();
  json_t *earlier = json_object_get (previous, "recent");
  json_t *last = json_object_get (previous, "write_id");
  json_t *entry;
  size_t i;

  if (json_is_string (last))
    json_array_append (recent, last);
  json_array_foreach (earlier, i, entry)
    {
      if (json_array_size (recent) >= RECENT_WRITES)
        break;
      if (json_is_string (entry))
        json_array_append (recent, entry);
    }
  return json_pack ("{s:s,s:o,s:o}", "write_id", write_id, "recent", recent,
                    "data", data);
}

json_t *
bd_envelope_data (const json_t *envelope)
{
  return json_object_get (envelope, "data");
}

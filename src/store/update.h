/* State machine of one conditional update that learns the outcome even when a
   reply is lost.  The module does no I/O.

   Every value is an envelope {"write_id", "recent", "data"}.  After a lost
   reply the writer reads the object back.  If write_id or recent contains its
   write id, the write took effect.  If the version is unchanged, it sends the
   same write again, which is safe because the condition lets at most one copy
   take effect.  Otherwise another writer won.  */

#ifndef BD_STORE_UPDATE_H
#define BD_STORE_UPDATE_H

#include "base/error.h"
#include "base/ids.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_update_step
{
  BD_UPDATE_WRITE, /* Send the conditional write.  */
  BD_UPDATE_READ,  /* Read the object back.  */
  BD_UPDATE_DONE   /* error has the outcome.  */
};

struct bd_update
{
  char write_id[BD_ID_SIZE];
  int64_t expected_version;
  enum bd_update_step step;
  enum bd_error error; /* When done: BD_OK or BD_ERR_CONFLICT.  */
  int64_t version;     /* When done with BD_OK: version written.  */
  bool is_superseded;  /* Took effect, but a later write replaced it.  */
  bool has_lost_reply; /* The reply to a write was lost.  */
};

/* bd_update_init(): starts with step BD_UPDATE_WRITE.  */
void bd_update_init (struct bd_update *update, const char write_id[BD_ID_SIZE],
                     int64_t expected_version);

/* bd_update_handle_write(): processes the reply to the write and sets step. */
void bd_update_handle_write (struct bd_update *update, enum bd_error error,
                             int64_t version);

/* bd_update_handle_read(): processes the reply to the read and sets step.
   envelope is NULL when the object does not exist.  */
void bd_update_handle_read (struct bd_update *update, enum bd_error error,
                            int64_t version, const json_t *envelope);

/* bd_envelope_make(): wraps data, whose reference it takes over, together with
   this write's id and the ids of the preceding writes, copied from previous.
   previous is NULL for the first write.  */
json_t *bd_envelope_make (const char *write_id, const json_t *previous,
                          json_t *data);

/* bd_envelope_data(): the payload of an envelope, borrowed; NULL when value
   is not an envelope.  */
json_t *bd_envelope_data (const json_t *envelope);

#endif

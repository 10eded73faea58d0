/* One conditional update, settled even when its answer is lost.  Pure.

   Every value is an envelope {"write_id", "recent", "data"}.  A writer whose
   answer was lost reads the object back: its write id in write_id or recent
   means that the write took effect; an unchanged version means that the same
   write may be sent again, since at most one copy of it can win the
   condition; anything else means that another writer won.  */

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
  BD_UPDATE_DONE   /* See error.  */
};

struct bd_update
{
  char write_id[BD_ID_SIZE];
  int64_t expected_version;
  enum bd_update_step step;
  enum bd_error error; /* When done: BD_OK or BD_ERR_CONFLICT.  */
  int64_t version;     /* When done with BD_OK: version written.  */
  bool is_superseded;  /* Won, but another write has followed already.  */
  bool has_lost_reply; /* The answer of a write was lost.  */
};

/* bd_update_init(): starts with the write.  */
void bd_update_init (struct bd_update *update, const char write_id[BD_ID_SIZE],
                     int64_t expected_version);

/* bd_update_handle_write(): the answer to the write.  */
void bd_update_handle_write (struct bd_update *update, enum bd_error error,
                             int64_t version);

/* bd_update_handle_read(): the answer to the read; envelope is NULL when the
   object is not there.  */
void bd_update_handle_read (struct bd_update *update, enum bd_error error,
                            int64_t version, const json_t *envelope);

/* bd_envelope_make(): wraps data (stolen) with this write's id and the ids
   of the writes before it, taken from previous, which may be NULL.  */
json_t *bd_envelope_make (const char *write_id, const json_t *previous,
                          json_t *data);

/* bd_envelope_data(): what an envelope holds; NULL when it is not one.  */
json_t *bd_envelope_data (const json_t *envelope);

#endif

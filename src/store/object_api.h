/* Interface to the Object API, a versioned key-value store.

   An adapter sends an operation in the format of a platform and returns one
   reply.  To support another platform, implement bd_object_api_ops for it.  */

#ifndef BD_STORE_OBJECT_API_H
#define BD_STORE_OBJECT_API_H

#include "base/error.h"
#include "http/client.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_object_kind
{
  BD_OBJECT_READ,
  BD_OBJECT_LIST,  /* key is a prefix.  */
  BD_OBJECT_WATCH, /* key is a prefix; completes on a change.  */
  BD_OBJECT_WRITE
};

enum
{
  /* Expected version of a write that creates the object.  */
  BD_VERSION_NONE = 0,
  /* Largest value that the platform stores.  */
  BD_OBJECT_MAX_BYTES = 1 << 20
};

struct bd_object_op
{
  enum bd_object_kind kind;
  const char *key;
  int64_t version; /* Write: expected version.  Watch: last seen revision.  */
  const char *value;
  uint32_t timeout_ms;
  /* Allows a result that is some seconds old, which some platforms return at
     a lower cost.  */
  bool allows_stale;
};

struct bd_object_reply
{
  /* BD_OK, BD_ERR_NOT_FOUND, BD_ERR_CONFLICT, BD_ERR_HISTORY_GONE (a watch
     starts before the retained history: list again), BD_ERR_RATE_LIMITED (not
     executed), BD_ERR_UNREADABLE (the reply can't be decoded or is too large;
     a write counts as one without a reply) or BD_ERR_PLATFORM_DOWN (unknown
     whether executed).  */
  enum bd_error error;
  int64_t version;  /* Of the object read or written.  */
  int64_t revision; /* Of the store, for lists and watches.  */
  /* Rises each time the store is restored from a copy: revisions of an earlier
     era may be given out again.  0 when the platform states none.  */
  int64_t era;
  json_t *value; /* Borrowed.  */
  json_t *items; /* Borrowed; array of {key, version, value}, plus
                    is_deleted where the platform reports deletions, and
                    is_damaged where parts of the value could not be decoded
                    and are null.  */
};

typedef void bd_object_done (void *ctx, const struct bd_object_reply *reply);

struct bd_object_api_ops
{
  /* Starts op.  Calls done once, after the function has returned.  Returns
     false when op cannot be started; done is not called then.  */
  bool (*start) (void *api, const struct bd_object_op *op,
                 bd_object_done *done, void *ctx);
};

/* Adapter for an Object API over HTTP and JSON.  */
struct bd_object_api_http
{
  struct bd_http_client *client;
  const char *url;
};

extern const struct bd_object_api_ops bd_object_api_http_ops;

#endif

/* The Object API as an interface.

   An adapter turns one operation into the dialect of a platform and gives
   back one answer.  A new dialect is one new file with its own table.  */

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
  BD_OBJECT_WATCH, /* key is a prefix; answers when something is newer.  */
  BD_OBJECT_WRITE
};

enum
{
  /* Expected version of a write that creates the object.  */
  BD_VERSION_NONE = 0,
  /* Largest value that the platform holds.  */
  BD_OBJECT_MAX_BYTES = 1 << 20
};

struct bd_object_op
{
  enum bd_object_kind kind;
  const char *key;
  int64_t version; /* Expected by a write; known already by a watch.  */
  const char *value;
  uint32_t timeout_ms;
  /* An answer from some seconds ago will do, where the platform has a cheaper
     one.  */
  bool allows_stale;
};

struct bd_object_reply
{
  /* BD_OK, BD_ERR_NOT_FOUND, BD_ERR_CONFLICT, BD_ERR_HISTORY_GONE (of a
     watch: list again), BD_ERR_RATE_LIMITED (nothing was done) or
     BD_ERR_PLATFORM_DOWN (nobody knows).  */
  enum bd_error error;
  int64_t version;  /* Of the object read or written.  */
  int64_t revision; /* Of the store, for lists and watches.  */
  json_t *value;    /* Borrowed.  */
  json_t *items;    /* Borrowed; array of {key, version, value}, of a
                       watch also is_deleted where the platform deletes.  */
};

typedef void bd_object_done (void *ctx, const struct bd_object_reply *reply);

struct bd_object_api_ops
{
  /* Starts op and calls done once, later.  False when it cannot start.  */
  bool (*start) (void *api, const struct bd_object_op *op,
                 bd_object_done *done, void *ctx);
};

/* The platform's HTTP dialect.  */
struct bd_object_api_http
{
  struct bd_http_client *client;
  const char *url;
};

extern const struct bd_object_api_ops bd_object_api_http_ops;

#endif

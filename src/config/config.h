/* The active configuration: a set of services at a monotonically increasing
   revision.  The module does no I/O.

   Operators publish service files.  The controller validates them with
   bd_config_accept() and writes the accepted services to the store as one JSON
   document, the head.  Every daemon applies a head of a higher revision with
   bd_config_adopt().  A head of the same or a lower revision is rejected,
   because it comes from a stale read, a slow peer or a store that was restored
   to an earlier state.  */

#ifndef BD_CONFIG_CONFIG_H
#define BD_CONFIG_CONFIG_H

#include "base/error.h"
#include "config/service.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define BD_KEY_PUBLISHED "published/"
#define BD_KEY_HEAD "accepted/head"
#define BD_KEY_STATUS "status/config"
#define BD_KEY_AUDIT "audit/"

enum
{
  /* Largest accepted head.  Leaves room for the envelope below the
     platform's limit of 1 MiB for each object.  */
  BD_HEAD_MAX_BYTES = 900 * 1024
};

struct bd_config
{
  int64_t revision; /* 0: no configuration yet.  */
  json_t *head;
  void *ctx;
  struct bd_service **services;
  uint32_t service_count;
};

/* bd_config_init(): starts without a configuration.
   bd_config_finish(): frees the configuration.  */
void bd_config_init (struct bd_config *config);
void bd_config_finish (struct bd_config *config);

/* bd_config_adopt(): replaces the active configuration by head if head has a
   higher revision.  Takes a copy of head.
   Returns BD_OK, BD_ERR_STALE when the revision is not higher, or
   BD_ERR_INVALID_FILE when a service in head cannot be parsed or the services
   conflict.  The active configuration does not change on errors.  */
enum bd_error bd_config_adopt (struct bd_config *config, const json_t *head);

/* bd_config_service_for_model(): the service that serves a model or an adapter
   of that name, or NULL.
   bd_config_service_for_path(): the plain service with the longest prefix that
   matches path, or NULL.  */
const struct bd_service *
bd_config_service_for_model (const struct bd_config *config,
                             const char *model);
const struct bd_service *
bd_config_service_for_path (const struct bd_config *config, const char *path);

/* bd_config_service(): the service of that name, or NULL.  */
const struct bd_service *bd_config_service (const struct bd_config *config,
                                            const char *name);

/* bd_head_revision(): the revision of a head; 0 for NULL, and for one that
   has no next revision.  */
int64_t bd_head_revision (const json_t *head);

/* One published file.  */
struct bd_published
{
  const char *service;
  const char *file;   /* File name, for faults.  */
  const char *text;   /* Content.  */
  const char *by;     /* Operator who published it.  */
  int64_t generation; /* Increases each time the service is published.  */
  bool is_removed;
};

/* bd_published_to_json(): encodes a published file as the value of a store
   object.
   bd_published_from_json(): decodes such a value.  The strings in out are
   borrowed from value.  Returns false when a field is missing.  */
json_t *bd_published_to_json (const struct bd_published *published);
bool bd_published_from_json (const json_t *value, struct bd_published *out);

/* Result of the validation of a set of published files.  */
struct bd_acceptance
{
  json_t *head;      /* New head, or NULL when no file was accepted.  */
  json_t *decisions; /* Service -> {state, generation, by, reason}.  */
  uint32_t accepted;
  uint32_t rejected;
};

/* bd_config_accept(): validates published files on top of head, which can be
   NULL.  Applies all files at once, so that interdependent changes succeed.
   If the result is invalid, applies them one by one in the order given, so
   that an invalid file does not block the others.
   The change record of the new head stores controller, the name of the calling
   daemon, and at_ms.  The caller releases the JSON values in out.  */
void bd_config_accept (const json_t *head, const struct bd_published *files,
                       uint32_t count, const char *controller, int64_t at_ms,
                       struct bd_acceptance *out);

#endif

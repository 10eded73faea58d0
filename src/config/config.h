/* The configuration in force: a set of services under a revision that only
   rises.  Pure.

   Published files become a candidate; the keeper accepts what passes and
   writes the head; every daemon adopts heads of a higher revision.  A lower
   head is refused, whoever brings it: a stale read, a slow peer or a store
   that was restored.  */

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
  /* Largest head that is accepted; the platform holds a megabyte.  */
  BD_HEAD_MAX_BYTES = 900 * 1024
};

struct bd_config
{
  int64_t revision; /* 0 stands for none.  */
  json_t *head;
  void *ctx;
  struct bd_service **services;
  uint32_t service_count;
};

/* bd_config_init(), bd_config_finish(): no configuration at first.  */
void bd_config_init (struct bd_config *config);
void bd_config_finish (struct bd_config *config);

/* bd_config_adopt(): puts head in force if it is newer.
   BD_OK; BD_ERR_STALE when the revision is not higher; BD_ERR_INVALID_FILE
   when a service in it cannot be read.  The earlier state stays on errors.  */
enum bd_error bd_config_adopt (struct bd_config *config, const json_t *head);

/* bd_config_service_for_model(), bd_config_service_for_path(): the service
   that a call is for, by model name or by the longest matching prefix; NULL
   when there is none.  */
const struct bd_service *
bd_config_service_for_model (const struct bd_config *config,
                             const char *model);
const struct bd_service *
bd_config_service_for_path (const struct bd_config *config, const char *path);

/* bd_config_service(): by name, or NULL.  */
const struct bd_service *bd_config_service (const struct bd_config *config,
                                            const char *name);

/* bd_head_revision(): of a head; 0 for NULL.  */
int64_t bd_head_revision (const json_t *head);

/* One published file.  */
struct bd_published
{
  const char *service;
  const char *file;
  const char *text;
  const char *by;
  int64_t generation; /* Rises with each publishing of the service.  */
  bool is_removed;
};

/* bd_published_to_json(), bd_published_from_json(): an object's value.  The
   strings of the latter are borrowed from value.  */
json_t *bd_published_to_json (const struct bd_published *published);
bool bd_published_from_json (const json_t *value, struct bd_published *out);

/* What came of a set of published files.  */
struct bd_acceptance
{
  json_t *head;      /* New head, or NULL when nothing is to change.  */
  json_t *decisions; /* Service -> {state, generation, reason}.  */
  uint32_t accepted;
  uint32_t rejected;
};

/* bd_config_accept(): checks published files against the head in force.
   The whole set is tried first; when it fails, file by file in the order
   given, so that one bad file does not hold up the others.  keeper and at_ms
   go into the record of the change.  Values in the result are new.  */
void bd_config_accept (const json_t *head, const struct bd_published *files,
                       uint32_t count, const char *controller, int64_t at_ms,
                       struct bd_acceptance *out);

#endif

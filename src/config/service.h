/* Service files: TOML files in which operators describe how a service is
   routed, limited and, for models, replicated.

   A file defines one service.  A model service runs on replicas that span
   several instances, a plain service on single endpoints.  */

#ifndef BD_CONFIG_SERVICE_H
#define BD_CONFIG_SERVICE_H

#include "base/ids.h"
#include "base/toml.h"

#include <stdbool.h>
#include <stdint.h>

/* The limit of one client account on one service.  */
struct bd_limit
{
  char account[BD_NAME_SIZE]; /* "*": every account without its own limit.  */
  double requests_per_s;
  double burst;  /* Requests that can start at once after idle time.  */
  double weight; /* Relative share in the fair queue.  */
};

struct bd_service
{
  char name[BD_NAME_SIZE];
  char pool[BD_NAME_SIZE]; /* Pool of the instance list that it runs on.  */
  bool is_model;
  uint32_t priority; /* Higher first, in queues and when instances are
                        assigned.  */

  /* Model services.  */
  char model[BD_NAME_SIZE];
  char version[BD_NAME_SIZE];
  const char **adapters; /* Adapter names, which callers use like models.  */
  uint32_t adapter_count;
  uint32_t members;  /* Instances that one replica spans.  */
  uint32_t replicas; /* Target count in each data centre.  */
  bool engines_check_fence;

  /* Plain services.  */
  const char *prefix; /* Path prefix, "/league/".  */

  bool can_retry; /* A request can be executed more than once.  */
  uint32_t deadline_ms;
  uint32_t max_body_bytes;
  uint32_t max_in_flight; /* Concurrent calls on one replica or endpoint.  */
  struct bd_limit *limits;
  uint32_t limit_count;
};

/* bd_service_parse(): parses and checks one service file of size bytes.
   file_name appears in faults.  The service and its strings are allocated on
   ctx.  Returns NULL after adding each fault found.  */
struct bd_service *bd_service_parse (void *ctx, const char *file_name,
                                     const char *text, size_t size,
                                     struct bd_faults *faults);

/* bd_services_check(): checks a set of services for duplicate names, models
   and route prefixes.  Returns true when it adds no fault.  */
bool bd_services_check (struct bd_service *const *services, uint32_t count,
                        struct bd_faults *faults);

/* bd_service_limit(): the limit of an account, or the limit of "*" when the
   account has none; NULL when there is neither.  */
const struct bd_limit *bd_service_limit (const struct bd_service *service,
                                         const char *account);

#endif

/* Service files: what an operator writes beside a service's code.

   A file names one service.  A model service is served by replicas that span
   several instances; a plain service by single endpoints.  */

#ifndef BD_CONFIG_SERVICE_H
#define BD_CONFIG_SERVICE_H

#include "base/ids.h"
#include "base/toml.h"

#include <stdbool.h>
#include <stdint.h>

/* The limit of one client account on one service.  */
struct bd_limit
{
  char account[BD_NAME_SIZE]; /* "*" stands for every other account.  */
  double requests_per_s;
  double burst;
  double weight; /* Share in the fair queue.  */
};

struct bd_service
{
  char name[BD_NAME_SIZE];
  char pool[BD_NAME_SIZE]; /* Instances of the instance list that it uses. */
  bool is_model;
  uint32_t priority; /* Higher goes first, in queues and for instances.  */

  /* Model services.  */
  char model[BD_NAME_SIZE];
  char version[BD_NAME_SIZE];
  const char **adapters;
  uint32_t adapter_count;
  uint32_t members;  /* Instances that one replica spans.  */
  uint32_t replicas; /* Wanted in each data centre.  */
  bool engines_check_fence;

  /* Plain services.  */
  const char *prefix; /* Path prefix, "/league/".  */

  bool can_retry;
  uint32_t deadline_ms;
  uint32_t max_body_bytes;
  uint32_t max_in_flight; /* Calls on one replica or endpoint at a time.  */
  struct bd_limit *limits;
  uint32_t limit_count;
};

/* bd_service_parse(): reads and checks one service file.
   Strings live on ctx.  Returns NULL after adding each fault found.  */
struct bd_service *bd_service_parse (void *ctx, const char *file_name,
                                     const char *text, size_t size,
                                     struct bd_faults *faults);

/* bd_services_check(): checks a whole set for conflicts between services:
   names, models and route prefixes that stand twice.  Returns true when it
   adds no fault.  */
bool bd_services_check (struct bd_service *const *services, uint32_t count,
                        struct bd_faults *faults);

/* bd_service_limit(): the limit for an account; NULL when it has none.  */
const struct bd_limit *bd_service_limit (const struct bd_service *service,
                                         const char *account);

#endif

/* The platform's instance list: which instances are live or leaving.

   The list lags behind and reflects the platform's plan.  An instance in it
   does not necessarily respond.  */

#ifndef BD_STORE_INSTANCES_H
#define BD_STORE_INSTANCES_H

#include "base/ids.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct bd_instance
{
  char name[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t port;
  uint32_t peer_port; /* Of instances that run a daemon, otherwise 0.  */
  char data_centre[BD_NAME_SIZE];
  char fabric_domain[BD_NAME_SIZE];
  char pool[BD_NAME_SIZE];
  uint32_t accelerators;
  bool is_leaving;
};

struct bd_instance_list
{
  struct bd_instance *items;
  uint32_t count;
};

/* The pool of the instances that run daemons.  */
#define BD_POOL_DAEMONS "burdockdale"

/* bd_instances_parse(): parses {"instances": [...]} of size bytes into a list
   on ctx.  Skips entries without a name, address or port, and those with
   values that can't be decoded.  Returns false when body has another
   format.  */
bool bd_instances_parse (void *ctx, const char *body, size_t size,
                         struct bd_instance_list *list);

/* bd_instances_filter(): the entries of such a list that the daemons of a data
   centre need, in the same format: its instances, and all daemons.  NULL when
   body has another format.  */
json_t *bd_instances_filter (const char *body, size_t size,
                             const char *data_centre);

/* bd_instance_find(): the instance of that name, or NULL.  */
const struct bd_instance *
bd_instance_find (const struct bd_instance_list *list, const char *name);

#endif

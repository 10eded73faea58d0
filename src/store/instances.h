/* The platform's instance list: which instances are live or leaving.

   The list lags; it says what the platform plans, not what answers now.  */

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
  uint32_t peer_port; /* Of instances that run this system.  */
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

/* The pool of the instances that run this system.  */
#define BD_POOL_DAEMONS "burdockdale"

/* bd_instances_parse(): reads {"instances": [...]} into a list on ctx.
   Entries without a name, address or port are left out.  Returns false when
   body is not such a list.  */
bool bd_instances_parse (void *ctx, const char *body, size_t size,
                         struct bd_instance_list *list);

/* bd_instance_find(): by name; NULL when it is not listed.  */
const struct bd_instance *
bd_instance_find (const struct bd_instance_list *list, const char *name);

#endif

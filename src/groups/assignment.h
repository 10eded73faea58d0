/* The assignment of a data centre: which instances form which replica group.

   The whole map is stored as one object, so that no stored state can put an
   instance into two groups: bd_assignment_is_valid() rejects such a map, and
   the conditional update of the object allows only one successor.  */

#ifndef BD_GROUPS_ASSIGNMENT_H
#define BD_GROUPS_ASSIGNMENT_H

#include "base/ids.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  BD_GROUP_MAX_MEMBERS = 64
};

/* Why a group accepts no new requests.  */
enum bd_drain
{
  BD_DRAIN_NONE,
  BD_DRAIN_VERSION, /* It loads another version next.  */
  BD_DRAIN_MEMBER,  /* A member is leaving.  */
  BD_DRAIN_REMOVE   /* Its service needs fewer replicas, or it is preempted. */
};

struct bd_group
{
  char id[BD_NAME_SIZE];
  char service[BD_NAME_SIZE];
  char model[BD_NAME_SIZE];
  char version[BD_NAME_SIZE];
  char domain[BD_NAME_SIZE]; /* Fabric domain of every member.  */
  int64_t incarnation;       /* Increases when members have to rejoin.  */
  enum bd_drain drain;
  uint32_t member_count;
  char (*members)[BD_NAME_SIZE]; /* The first one is the leader.  */
};

struct bd_assignment
{
  char data_centre[BD_NAME_SIZE];
  char controller[BD_NAME_SIZE];
  int64_t term;     /* Increases with every change of controller.  */
  int64_t sequence; /* Increases with every change.  */
  struct bd_group *groups;
  uint32_t count;
};

/* bd_assignment_clone(): returns a deep copy, allocated on ctx.  */
struct bd_assignment *
bd_assignment_clone (void *ctx, const struct bd_assignment *assignment);

/* bd_assignment_add_group(): appends an empty group with member_count member
   names to fill in and returns it.  Invalidates pointers to other groups.  */
struct bd_group *bd_assignment_add_group (struct bd_assignment *assignment,
                                          uint32_t member_count);

/* bd_assignment_remove_group(): removes the group at index.  */
void bd_assignment_remove_group (struct bd_assignment *assignment,
                                 uint32_t index);

/* bd_assignment_group_of(): returns the group that an instance is a member of,
   or NULL.  */
struct bd_group *
bd_assignment_group_of (const struct bd_assignment *assignment,
                        const char *instance);

/* bd_assignment_find_group(): returns the group with this id, or NULL.  */
struct bd_group *
bd_assignment_find_group (const struct bd_assignment *assignment,
                          const char *id);

/* bd_assignment_is_valid(): whether every instance is in at most one group,
   and every group has a unique id and a name for each of its 1 to
   BD_GROUP_MAX_MEMBERS members.  */
bool bd_assignment_is_valid (const struct bd_assignment *assignment);

/* bd_assignment_is_newer(): whether a is newer than b.  Compares the terms,
   then the sequences.  */
bool bd_assignment_is_newer (const struct bd_assignment *a,
                             const struct bd_assignment *b);

/* bd_assignment_to_json(), bd_assignment_from_json(): convert to and from the
   value of the stored object.  The latter allocates on ctx and returns NULL
   when the groups are not an array or bd_assignment_is_valid() fails.  */
json_t *bd_assignment_to_json (const struct bd_assignment *assignment);
struct bd_assignment *bd_assignment_from_json (void *ctx, const json_t *value);

#endif

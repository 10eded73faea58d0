/* The allotment of a data centre: which instances form which replica group.

   One object holds the whole map, so that two groups that share an instance
   cannot be written down: bd_assignment_is_valid() refuses such a map, and the
   conditional update lets only one map follow another.  */

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

/* Why a group takes no new work.  */
enum bd_drain
{
  BD_DRAIN_NONE,
  BD_DRAIN_VERSION, /* Loads another version next.  */
  BD_DRAIN_MEMBER,  /* A member is leaving.  */
  BD_DRAIN_REMOVE   /* Its service wants fewer replicas, or it is preempted. */
};

struct bd_group
{
  char id[BD_NAME_SIZE];
  char service[BD_NAME_SIZE];
  char model[BD_NAME_SIZE];
  char version[BD_NAME_SIZE];
  char domain[BD_NAME_SIZE]; /* Fabric domain of every member.  */
  int64_t incarnation;       /* Rises with every change of members.  */
  enum bd_drain drain;
  uint32_t member_count;
  char (*members)[BD_NAME_SIZE]; /* The first one leads.  */
};

struct bd_assignment
{
  char data_centre[BD_NAME_SIZE];
  char controller[BD_NAME_SIZE];
  int64_t term;     /* Rises with every change of keeper.  */
  int64_t sequence; /* Rises with every change at all.  */
  struct bd_group *groups;
  uint32_t count;
};

/* bd_assignment_clone(): a deep copy on ctx.  */
struct bd_assignment *
bd_assignment_clone (void *ctx, const struct bd_assignment *assignment);

/* bd_assignment_add_group(): a new empty group with room for member_count. The
   array may move.  */
struct bd_group *bd_assignment_add_group (struct bd_assignment *assignment,
                                          uint32_t member_count);

/* bd_assignment_remove_group(): removes the group at index.  */
void bd_assignment_remove_group (struct bd_assignment *assignment,
                                 uint32_t index);

/* bd_assignment_group_of(): the group that holds an instance, or NULL.  */
struct bd_group *
bd_assignment_group_of (const struct bd_assignment *assignment,
                        const char *instance);

/* bd_assignment_find_group(): the group with this id, or NULL.  */
struct bd_group *
bd_assignment_find_group (const struct bd_assignment *assignment,
                          const char *id);

/* bd_assignment_is_valid(): whether every instance is in one group at most and
   every group is whole, with an id of its own.  */
bool bd_assignment_is_valid (const struct bd_assignment *assignment);

/* bd_assignment_is_newer(): whether a follows b: term first, then sequence. */
bool bd_assignment_is_newer (const struct bd_assignment *a,
                             const struct bd_assignment *b);

/* bd_assignment_to_json(), bd_assignment_from_json(): the object's value.
   The latter returns NULL for a value that is malformed or fails the check. */
json_t *bd_assignment_to_json (const struct bd_assignment *assignment);
struct bd_assignment *bd_assignment_from_json (void *ctx, const json_t *value);

#endif

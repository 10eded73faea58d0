/* The difference between two heads.  Pure.

   A relay tells its data centre only what a change has changed; whoever holds
   another head than the patch starts from asks for the whole.  */

#ifndef BD_CONFIG_PATCH_H
#define BD_CONFIG_PATCH_H

#include <jansson.h>
#include <stdbool.h>

/* bd_head_make_patch(): what makes from into to; a new value.  from may be
 * NULL. */
json_t *bd_head_make_patch (const json_t *from, const json_t *to);

/* bd_head_is_patch(): whether value is a patch and no head.  */
bool bd_head_is_patch (const json_t *value);

/* bd_head_apply_patch(): the head that a patch makes of head; a new value, or
   NULL when the patch starts from another revision.  */
json_t *bd_head_apply_patch (const json_t *head, const json_t *patch);

#endif

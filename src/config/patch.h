/* Patches: the difference between two heads, as JSON.  The module does no I/O.

   A relay sends its data centre only the services that a change affects.  A
   daemon whose head is not the patch's base requests the complete head.  */

#ifndef BD_CONFIG_PATCH_H
#define BD_CONFIG_PATCH_H

#include <jansson.h>
#include <stdbool.h>

/* bd_head_make_patch(): the patch that turns from into to; a new value.  from
   can be NULL, which means an empty head.  */
json_t *bd_head_make_patch (const json_t *from, const json_t *to);

/* bd_head_is_patch(): true when value is a patch, false when it is a head.  */
bool bd_head_is_patch (const json_t *value);

/* bd_head_apply_patch(): applies patch to head.  Returns the new head as a new
   value, or NULL when the base of the patch is not the revision of head.  */
json_t *bd_head_apply_patch (const json_t *head, const json_t *patch);

#endif

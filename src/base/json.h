/* Decoding of JSON from other programs.

   A JSON decoder refuses a whole text for a single value, for example a number
   that is too large.  Here such a value becomes null, and only the objects and
   arrays around it count as damaged; their other members and elements, and
   everything beside them, are decoded as usual.

   The memory of the values is limited too, since small ones take many times
   that of their text: an object or array of far more values than the others
   becomes null in the same way, and a text of such ones only is refused.

     if (bd_json_load (&json, text, size))
       use (json.value);
     bd_json_finish (&json);  */

#ifndef BD_BASE_JSON_H
#define BD_BASE_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

struct bd_json
{
  json_t *value;       /* NULL when the text can't be decoded.  */
  GHashTable *damaged; /* Set of values; NULL for none.  */
};

/* bd_json_load(): decodes a text.  Invalid UTF-8 in a string is replaced.
   Returns false when the brackets of the text don't match, or when what can't
   be decoded, or is too large, can't be taken out by itself.  json has to be
   finished in any case.  */
bool bd_json_load (struct bd_json *json, const char *text, size_t size);

/* bd_json_is_damaged(): whether something in this value, at any depth, could
   not be decoded.  */
bool bd_json_is_damaged (const struct bd_json *json, const json_t *value);

/* bd_json_finish(): frees the contents.  */
void bd_json_finish (struct bd_json *json);

#endif

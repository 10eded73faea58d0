/* Deltas between two versions of a JSON document.  Pure.

   A delta describes how one value becomes another one:
     ["=", VALUE]                      it is replaced,
     ["o", {KEY: DELTA...}, [KEY...]]  an object: changed or added members, and
                                       removed ones,
     ["a", AT, COUNT, [VALUE...]]      an array: COUNT items from AT on are
                                       replaced by others.
   An added member has the delta of null.  Values that do not change are shared
   between the two documents, which must not be modified afterwards.

   A delta is applied only to the document that it was made from: the caller
   compares checksums.  */

#ifndef BD_DOCUMENT_DELTA_H
#define BD_DOCUMENT_DELTA_H

#include <jansson.h>
#include <stdint.h>

/* bd_document_checksum(): of the value of a document; does not depend on the
   order of the members of its objects.  Never 0.  */
uint64_t bd_document_checksum (const json_t *document);

/* bd_document_make_delta(): the delta that turns from into to, which are
   borrowed; a new value.  */
json_t *bd_document_make_delta (json_t *from, json_t *to);

/* bd_document_apply_delta(): the document that delta makes of document; a new
   value, or NULL if the delta does not fit.  */
json_t *bd_document_apply_delta (json_t *document, json_t *delta);

#endif

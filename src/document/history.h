/* The last deltas of a document, for those who have an earlier version.  Pure.

   Designed for a large document that changes often and a little at a time,
   which one process passes on to many others over narrow links.  A version is
   identified by its checksum: two documents can have the same version number
   after the store was restored from a copy.  */

#ifndef BD_DOCUMENT_HISTORY_H
#define BD_DOCUMENT_HISTORY_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  BD_DOCUMENT_MAX_DELTAS = 48
};

/* From one version to the next.  */
struct bd_document_step
{
  uint64_t from; /* Checksums.  */
  uint64_t to;
  char *delta; /* JSON.  */
  size_t size;
};

/* All zero: empty.  */
struct bd_document_history
{
  struct bd_document_step steps[BD_DOCUMENT_MAX_DELTAS]; /* Oldest first.  */
  uint32_t count;
};

/* bd_document_history_finish(): frees the deltas.  */
void bd_document_history_finish (struct bd_document_history *history);

/* bd_document_history_add(): the document from, with the checksum from_sum,
   was replaced by to.  A history whose last version is another one is dropped:
   its steps no longer lead to the current version.  */
void bd_document_history_add (struct bd_document_history *history,
                              json_t *from, uint64_t from_sum, json_t *to,
                              uint64_t to_sum);

/* bd_document_history_find(): the deltas that lead from the version with the
   checksum from_sum to that with to_sum, the last one, as a JSON array on ctx.
   NULL if they are not known or take more than max_bytes.  */
char *bd_document_history_find (const struct bd_document_history *history,
                                void *ctx, uint64_t from_sum, uint64_t to_sum,
                                size_t max_bytes);

/* bd_document_apply_deltas(): the document with the checksum to_sum that the
   array of deltas, of size bytes, makes of document; a new value, or NULL if
   they do not lead there.  */
json_t *bd_document_apply_deltas (json_t *document, const char *deltas,
                                  size_t size, uint64_t to_sum);

#endif

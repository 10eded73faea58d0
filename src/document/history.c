/* Keeps deltas and looks them up.  */

#include "document/history.h"

#include "document/delta.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static void
drop_oldest (struct bd_document_history *history)
{
  free (history->steps[0].delta);
  history->count--;
  memmove (history->steps, history->steps + 1,
           history->count * sizeof history->steps[0]);
}

void
bd_document_history_finish (struct bd_document_history *history)
{
  while (history->count > 0)
    drop_oldest (history);
}

void
bd_document_history_add (struct bd_document_history *history, json_t *from,
                         uint64_t from_sum, json_t *to, uint64_t to_sum)
{
  json_t *delta;
  char *text;

  if (history->count > 0 && history->steps[history->count - 1].to != from_sum)
    bd_document_history_finish (history);
  if (history->count == BD_DOCUMENT_MAX_DELTAS)
    drop_oldest (history);
  delta = bd_document_make_delta (from, to);
  text = json_dumps (delta, JSON_COMPACT);
  json_decref (delta);
  if (text == NULL)
    {
      bd_document_history_finish (history);
      return;
    }
  history->steps[history->count++] = (struct bd_document_step){
    .from = from_sum, .to = to_sum, .delta = text, .size = strlen (text)
  };
}

/* The index of the last step from the version with the checksum from_sum, or
   -1 if it and those after it take more than max_bytes.  */
static int32_t
find_step (const struct bd_document_history *history, uint64_t from_sum,
           size_t max_bytes)
{
  size_t bytes = 0;

  for (uint32_t i = history->count; i-- > 0;)
    {
      bytes += history->steps[i].size;
      if (bytes > max_bytes)
        return -1;
      if (history->steps[i].from == from_sum)
        return (int32_t)i;
    }
  return -1;
}

char *
bd_document_history_find (const struct bd_document_history *history, void *ctx,
                          uint64_t from_sum, uint64_t to_sum, size_t max_bytes)
{
  int32_t first = find_step (history, from_sum, max_bytes);
  char *text;

  if (first < 0 || history->steps[history->count - 1].to != to_sum)
    return NULL;
  text = talloc_strdup (ctx, "[");
  for (uint32_t i = (uint32_t)first; i < history->count; i++)
    text = talloc_asprintf_append_buffer (
        text, "%s%s", i > (uint32_t)first ? "," : "", history->steps[i].delta);
  return talloc_strdup_append_buffer (text, "]");
}

json_t *
bd_document_apply_deltas (json_t *document, const char *deltas, size_t size,
                          uint64_t to_sum)
{
  json_t *steps = json_loadb (deltas, size, 0, NULL);
  json_t *current = json_incref (document);
  json_t *step;
  size_t i;

  json_array_foreach (steps, i, step)
    {
      json_t *next = bd_document_apply_delta (current, step);

      json_decref (current);
      current = next;
      if (current == NULL)
        break;
    }
  json_decref (steps);
  if (current != NULL && bd_document_checksum (current) == to_sum)
    return current;
  json_decref (current);
  return NULL;
}

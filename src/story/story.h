/* The story of one request, from the log records of all daemons.

   The records are those of base/log.h, one JSON object a line.  A story holds
   the records with the id of the request, and between them what the same
   daemons believed: changes of their configuration, store, peers and links
   since HISTORY_MS before the request, and changes of the endpoints at which
   they tried it.  Records of several daemons are ordered by their times, so
   the order is only as exact as the clocks of the instances agree.

     bd_story_init (&story, id);
     while (...)
       bd_story_add (&story, line, size);
     bd_story_write (&story, out);
     bd_story_finish (&story);  */

#ifndef BD_STORY_STORY_H
#define BD_STORY_STORY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bd_story
{
  char *id;
  GPtrArray *records; /* JSON objects: the request's, and all beliefs.  */
  uint32_t own_count; /* Records with the id of the request.  */
  uint32_t unread_lines;
};

/* bd_story_init(): starts the story of the request with this id.  */
void bd_story_init (struct bd_story *story, const char *id);

/* bd_story_add(): adds a line of a log, in any order.  A line that is no
   record only counts in unread_lines.  */
void bd_story_add (struct bd_story *story, const char *line, size_t size);

/* bd_story_write(): appends the story, one line a record: the seconds since
   the first record of the request, the process and what happened.  Returns
   false, and appends nothing, when no record has the id.  */
bool bd_story_write (struct bd_story *story, GString *out);

/* bd_story_finish(): frees the contents.  */
void bd_story_finish (struct bd_story *story);

#endif

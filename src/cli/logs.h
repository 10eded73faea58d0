/* Reads collected logs of daemons.  */

#ifndef BD_CLI_LOGS_H
#define BD_CLI_LOGS_H

#include <stdbool.h>
#include <stddef.h>

enum
{
  BD_LOGS_MAX_FILES = 1024
};

typedef void bd_logs_line (void *ctx, const char *line, size_t size);

/* bd_logs_read(): passes each line of the files, or of the standard input if
   there are none, to handle.  Returns false after an error message for each
   file that cannot be read.  */
struct arg_file;
bool bd_logs_read (const struct arg_file *paths, bd_logs_line *handle,
                   void *ctx);

#endif

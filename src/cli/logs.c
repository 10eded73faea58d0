/* Reads collected logs of daemons.  */

#include "cli/logs.h"

#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
read_lines (FILE *file, bd_logs_line *handle, void *ctx)
{
  char *line = NULL;
  size_t capacity = 0;
  ssize_t size;

  while ((size = getline (&line, &capacity, file)) >= 0)
    handle (ctx, line, (size_t)size);
  free (line);
}

/* Returns false after an error message.  */
static bool
read_file (const char *path, bd_logs_line *handle, void *ctx)
{
  FILE *file = fopen (path, "r");
  bool is_read;

  if (file != NULL)
    read_lines (file, handle, ctx);
  is_read = file != NULL && !ferror (file);
  if (!is_read)
    fprintf (stderr, "burdockdale: cannot read %s: %s\n", path,
             strerror (errno));
  if (file != NULL)
    fclose (file);
  return is_read;
}

bool
bd_logs_read (const struct arg_file *paths, bd_logs_line *handle, void *ctx)
{
  bool is_read = true;

  if (paths->count == 0)
    read_lines (stdin, handle, ctx);
  for (int i = 0; i < paths->count; i++)
    is_read = read_file (paths->filename[i], handle, ctx) && is_read;
  return is_read;
}

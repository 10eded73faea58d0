/* burdockdale explain: prints the story of a request from collected logs.  */

#include "cli/cli.h"
#include "story/story.h"

#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_FILES = 1024
};

static void
read_lines (struct bd_story *story, FILE *file)
{
  char *line = NULL;
  size_t capacity = 0;
  ssize_t size;

  while ((size = getline (&line, &capacity, file)) >= 0)
    bd_story_add (story, line, (size_t)size);
  free (line);
}

/* Returns false after an error message.  */
static bool
read_file (struct bd_story *story, const char *path)
{
  FILE *file = fopen (path, "r");
  bool is_read;

  if (file != NULL)
    read_lines (story, file);
  is_read = file != NULL && !ferror (file);
  if (!is_read)
    fprintf (stderr, "burdockdale: cannot read %s: %s\n", path,
             strerror (errno));
  if (file != NULL)
    fclose (file);
  return is_read;
}

static bool
read_logs (struct bd_story *story, const struct arg_file *paths)
{
  bool is_read = true;

  if (paths->count == 0)
    read_lines (story, stdin);
  for (int i = 0; i < paths->count; i++)
    is_read = read_file (story, paths->filename[i]) && is_read;
  return is_read;
}

static int
explain (const char *id, const struct arg_file *paths)
{
  struct bd_story story;
  GString *text = g_string_new (NULL);
  bool is_read;
  bool is_known;

  bd_story_init (&story, id);
  is_read = read_logs (&story, paths);
  is_known = bd_story_write (&story, text);
  fputs (text->str, stdout);
  if (story.unread_lines > 0)
    fprintf (stderr, "burdockdale: %u lines are no log records\n",
             story.unread_lines);
  if (!is_known)
    fprintf (stderr, "burdockdale: no record of request '%s'\n", id);
  bd_story_finish (&story);
  g_string_free (text, TRUE);
  return is_read && is_known ? BD_EXIT_OK : BD_EXIT_FAILED;
}

int
bd_cli_explain (int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "the request's id");
  struct arg_file *paths
      = arg_filen (NULL, NULL, "FILE", 0, MAX_FILES,
                   "logs of the daemons; none: the standard input");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { id, paths, help, end };
  int code = bd_cli_parse (argc, argv, table, help, end,
                           "Prints what happened to a request, in order, and "
                           "what its daemons believed meanwhile.");

  if (code < 0)
    code = explain (id->sval[0], paths);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

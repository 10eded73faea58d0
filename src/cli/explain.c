/* burdockdale explain: prints the story of a request from collected logs.  */

#include "cli/cli.h"
#include "cli/logs.h"
#include "story/story.h"

#include <argtable2.h>
#include <stdio.h>

static void
add_line (void *ctx, const char *line, size_t size)
{
  bd_story_add (ctx, line, size);
}

static int
explain (const char *id, const struct arg_file *paths)
{
  struct bd_story story;
  GString *text = g_string_new (NULL);
  bool is_read;
  bool is_known;

  bd_story_init (&story, id);
  is_read = bd_logs_read (paths, add_line, &story);
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
      = arg_filen (NULL, NULL, "FILE", 0, BD_LOGS_MAX_FILES,
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

/* burdockdale contradictions: requests that daemons sent against what they
   knew, from collected logs.  */

#include "contradictions/contradictions.h"
#include "cli/cli.h"
#include "cli/logs.h"

#include <argtable2.h>
#include <stdio.h>

static void
add_line (void *ctx, const char *line, size_t size)
{
  bd_contradictions_add (ctx, line, size);
}

static int
find_contradictions (int64_t bound_ms, const struct arg_file *paths)
{
  struct bd_contradictions contradictions;
  GString *text = g_string_new (NULL);
  bool is_read;
  bool has_found;

  bd_contradictions_init (&contradictions, bound_ms);
  is_read = bd_logs_read (paths, add_line, &contradictions);
  bd_contradictions_find (&contradictions);
  bd_contradictions_write (&contradictions, text);
  fputs (text->str, stdout);
  if (contradictions.unread_lines > 0)
    fprintf (stderr, "burdockdale: %u lines are no log records\n",
             contradictions.unread_lines);
  has_found = contradictions.found->len > 0;
  bd_contradictions_finish (&contradictions);
  g_string_free (text, TRUE);
  return is_read && !has_found ? BD_EXIT_OK : BD_EXIT_FAILED;
}

int
bd_cli_contradictions (int argc, char **argv)
{
  struct arg_int *bound_ms
      = arg_int0 (NULL, "bound-ms", "N",
                  "time within which a fact binds all daemons (2000)");
  struct arg_file *paths
      = arg_filen (NULL, NULL, "LOG", 0, BD_LOGS_MAX_FILES,
                   "logs of the daemons; none: the standard input");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { bound_ms, paths, help, end };
  int code = bd_cli_parse (argc, argv, table, help, end,
                           "Prints the requests that daemons sent against "
                           "what their logs say they knew.");

  if (code < 0 && bound_ms->count > 0 && bound_ms->ival[0] < 0)
    {
      fprintf (stderr, "burdockdale: --bound-ms is negative\n");
      code = BD_EXIT_USAGE;
    }
  if (code < 0)
    code = find_contradictions (
        bound_ms->count > 0 ? bound_ms->ival[0] : BD_CONTRADICTIONS_BOUND_MS,
        paths);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

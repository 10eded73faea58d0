/* burdockdale check: validates service files without publishing them.  */

#include "cli/cli.h"
#include "cli/files.h"

#include <argtable2.h>
#include <stdio.h>
#include <talloc.h>

int
bd_cli_check (int argc, char **argv)
{
  struct arg_file *paths
      = arg_filen (NULL, NULL, "FILE|DIR", 1, 64, "service files");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { paths, help, end };
  int code = bd_cli_parse (argc, argv, table, help, end,
                           "Checks service files one by one and as a set; "
                           "prints file:line: error: ... for each error.");
  void *ctx = talloc_new (NULL);
  struct bd_faults faults = { .ctx = ctx };
  struct bd_service_file *files = NULL;
  uint32_t count = 0;

  if (code >= 0)
    goto out;
  for (int i = 0; i < paths->count; i++)
    bd_files_read (ctx, paths->filename[i], &files, &count, &faults);
  bd_files_check (ctx, files, count, &faults);
  if (faults.count > 0)
    fputs (faults.text, stderr);
  else
    printf ("%u service files are valid\n", count);
  code = faults.count > 0 ? BD_EXIT_FAILED : BD_EXIT_OK;

out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  talloc_free (ctx);
  return code;
}

/* Argument parsing that all subcommands share.  */

#include "cli/cli.h"

#include <argtable2.h>
#include <stdio.h>

int
bd_cli_parse (int argc, char **argv, void **table, struct arg_lit *help,
              struct arg_end *end, const char *about)
{
  int faults = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("usage: burdockdale %s", argv[0]);
      arg_print_syntax (stdout, table, "\n\n");
      printf ("%s\n\n", about);
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      return BD_EXIT_OK;
    }
  if (faults == 0)
    return -1;
  arg_print_errors (stderr, end, argv[0]);
  fprintf (stderr, "try: burdockdale %s --help\n", argv[0]);
  return BD_EXIT_USAGE;
}

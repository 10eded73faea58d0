/* Argument parsing that all subcommands share.  */

#include "cli/cli.h"

#include <argtable2.h>
#include <stdio.h>

int
bd_cli_parse (int argc, char **argv, void **table, struct arg_lit *help,
              struct arg_end *end, const char *about)
{
  int error_count = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("usage: burdockdale %s", argv[0]);
      arg_print_syntax (stdout, table, "\n\n");
      printf ("%s\n\n", about);
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      return BD_EXIT_OK;
    }
  if (error_count == 0)
    return -1;
  arg_print_errors (stderr, end, argv[0]);
  fprintf (stderr, "try: burdockdale %s --help\n", argv[0]);
  return BD_EXIT_USAGE;
}

int
bd_cli_parse_daemon (int argc, char **argv, const char *about,
                     const char **path)
{
  struct arg_file *file
      = arg_file1 (NULL, "settings", "FILE", "the daemon's settings (TOML)");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { file, help, end };
  int code = bd_cli_parse (argc, argv, table, help, end, about);

  *path = code < 0 ? file->filename[0] : NULL;
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

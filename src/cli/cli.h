/* The command line: one function per subcommand.

   Exit codes: 0 success, 1 failure, 2 usage error, 3 a daemon that cannot be
   asked (route-check only).  */

#ifndef BD_CLI_CLI_H
#define BD_CLI_CLI_H

#define BD_VERSION "0.1.0"

enum bd_exit
{
  BD_EXIT_OK = 0,
  BD_EXIT_FAILED = 1,
  BD_EXIT_USAGE = 2,
  BD_EXIT_UNREACHABLE = 3
};

/* Each function takes the arguments, starting with the name of the subcommand,
   and returns an exit code.  */
int bd_cli_serve (int argc, char **argv);
int bd_cli_edge (int argc, char **argv);
int bd_cli_check (int argc, char **argv);
int bd_cli_publish (int argc, char **argv);
int bd_cli_status (int argc, char **argv);
int bd_cli_audit (int argc, char **argv);
int bd_cli_explain (int argc, char **argv);
int bd_cli_contradictions (int argc, char **argv);
int bd_cli_route_check (int argc, char **argv);

/* bd_cli_parse(): parses arguments with argtable2.  Prints the help or the
   errors.  Returns -1 if the command should run, otherwise the exit code.
   help is the entry of --help in table, end is the last entry of table, and
   about is the description of the command.  */
struct arg_lit;
struct arg_end;
int bd_cli_parse (int argc, char **argv, void **table, struct arg_lit *help,
                  struct arg_end *end, const char *about);

/* bd_cli_parse_daemon(): parses the arguments of a daemon, --settings and
   --help.  Sets *path to the path of the settings file, which points into
   argv.  Returns the same values as bd_cli_parse().  */
int bd_cli_parse_daemon (int argc, char **argv, const char *about,
                         const char **path);

/* bd_cli_hold_signals(): SIGHUP, SIGINT and SIGTERM wait from now on; by
   default they would end a daemon that has no handlers yet, or none left.
   bd_cli_release_signals(): those that wait arrive, and later ones too.  */
void bd_cli_hold_signals (void);
void bd_cli_release_signals (void);

#endif

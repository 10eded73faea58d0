/* burdockdale: one binary for the daemons and for the tools of operators.  */

#include "cli/cli.h"

#include <argtable2.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct command
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *about;
};

static const struct command commands[] = {
  { "serve", bd_cli_serve, "run the daemon" },
  { "edge", bd_cli_edge,
    "run the daemon in front of the endpoints of a platform" },
  { "check", bd_cli_check, "check service files" },
  { "publish", bd_cli_publish, "publish service files" },
  { "status", bd_cli_status, "show services, daemons and replica groups" },
  { "audit", bd_cli_audit, "show the log of accepted changes" },
  { "explain", bd_cli_explain, "show what happened to a request" },
  { "contradictions", bd_cli_contradictions,
    "show requests sent against what the daemons knew" },
  { "route-check", bd_cli_route_check,
    "show where a daemon would send a request" },
};

enum
{
  COMMAND_COUNT = sizeof commands / sizeof commands[0]
};

static void
print_usage (FILE *out)
{
  fprintf (out, "usage: burdockdale COMMAND [OPTIONS]\n\n");
  for (int i = 0; i < COMMAND_COUNT; i++)
    fprintf (out, "  %-14s %s\n", commands[i].name, commands[i].about);
  fprintf (out,
           "\n  --help     print this help; after a command, its options\n"
           "  --version  print the version\n");
}

/* A descriptor that is opened later must not take the place of a standard one
   that is closed: it would get the lines of the log.  */
static bool
open_standard_descriptors (void)
{
  int fd;

  do
    fd = open ("/dev/null", O_RDWR);
  while (fd >= 0 && fd <= STDERR_FILENO);
  return fd >= 0 && close (fd) == 0;
}

int
main (int argc, char **argv)
{
  if (!open_standard_descriptors ())
    return BD_EXIT_FAILED;
  if (argc < 2)
    {
      print_usage (stderr);
      return BD_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      print_usage (stdout);
      return BD_EXIT_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("burdockdale %s\n", BD_VERSION);
      return BD_EXIT_OK;
    }
  for (int i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "burdockdale: unknown command '%s'\n", argv[1]);
  print_usage (stderr);
  return BD_EXIT_USAGE;
}

/* fakes ROLE [name=value...]: runs one fake until the process is killed.  */

#include "tests/fakes/fakes.h"

#include "base/clock.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

const char *
fake_option (const struct fake_options *options, const char *name,
             const char *fallback)
{
  size_t length = strlen (name);

  for (int i = 0; i < options->count; i++)
    if (strncmp (options->arguments[i], name, length) == 0
        && options->arguments[i][length] == '=')
      return options->arguments[i] + length + 1;
  return fallback;
}

int
fake_option_int (const struct fake_options *options, const char *name,
                 int fallback)
{
  const char *text = fake_option (options, name, NULL);

  return text != NULL ? (int)strtol (text, NULL, 10) : fallback;
}

void
fake_respond_json (struct bd_http_exchange *x, uint32_t status, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  bd_http_respond_text (x, status, "application/json", text);
  free (text);
  json_decref (value);
}

void
fake_schedule (struct tevent_context *events, void *owner, uint32_t delay_ms,
               tevent_timer_handler_t handler, void *ctx)
{
  tevent_add_timer (
      events, owner,
      tevent_timeval_current_ofs (delay_ms / 1000, delay_ms % 1000 * 1000),
      handler, ctx);
}

int64_t
fake_now_ms (void)
{
  struct bd_clock clock = bd_clock_system ();

  return bd_clock_now_ms (&clock);
}

static bool
start_role (struct tevent_context *events, const char *role,
            const struct fake_options *options)
{
  if (strcmp (role, "platform") == 0)
    return fake_platform_start (events, options);
  if (strcmp (role, "engines") == 0)
    return fake_engines_start (events, options);
  if (strcmp (role, "service") == 0)
    return fake_service_start (events, options);
  if (strcmp (role, "pipe") == 0)
    return fake_pipe_start (events, options);
  return false;
}

int
main (int argc, char **argv)
{
  struct tevent_context *events = tevent_context_init (NULL);
  struct fake_options options = { argc - 2, argv + 2 };

  signal (SIGPIPE, SIG_IGN);
  if (argc < 2 || !start_role (events, argv[1], &options))
    {
      fprintf (stderr,
               "usage: fakes platform|engines|service|pipe port=N ...\n");
      return 2;
    }
  return tevent_loop_wait (events);
}

/* Waited-for calls of the platform.  */

#include "cli/session.h"
#include "base/timer.h"

#include <string.h>
#include <talloc.h>

enum
{
  GIVE_UP_MS = 10000,
  RATE_PER_S = 50,
  MAX_IDLE = 2
};

bool
bd_session_init (struct bd_session *session, const char *url)
{
  memset (session, 0, sizeof *session);
  session->events = tevent_context_init (NULL);
  session->clock = bd_clock_system ();
  session->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (session->rng, (unsigned long)bd_random_seed ());
  if (!bd_http_client_init (&session->client, session->events, MAX_IDLE))
    return false;
  session->api.client = &session->client;
  session->api.url = url;
  bd_platform_init (&session->platform, &bd_object_api_http_ops, &session->api,
                    session->events, &session->clock, &session->counters,
                    session->rng, RATE_PER_S, RATE_PER_S);
  return true;
}

void
bd_session_finish (struct bd_session *session)
{
  bd_platform_finish (&session->platform);
  bd_http_client_finish (&session->client);
  gsl_rng_free (session->rng);
  talloc_free (session->events);
}

static void
handle_answer (void *ctx, const struct bd_platform_reply *got)
{
  struct bd_session_answer *answer = ctx;

  answer->error = got->error;
  answer->version = got->version;
  answer->envelope = json_incref (got->envelope);
  answer->data = bd_envelope_data (answer->envelope);
  answer->items = json_incref (got->items);
  answer->is_done = true;
}

static void
wait_for (struct bd_session *session, struct bd_session_answer *answer)
{
  while (!answer->is_done)
    tevent_loop_once (session->events);
}

void
bd_session_read (struct bd_session *session, const char *key,
                 struct bd_session_answer *answer)
{
  memset (answer, 0, sizeof *answer);
  bd_platform_read (&session->platform, BD_PRIORITY_CONFIG, key, GIVE_UP_MS,
                    handle_answer, answer);
  wait_for (session, answer);
}

void
bd_session_list (struct bd_session *session, const char *prefix,
                 struct bd_session_answer *answer)
{
  memset (answer, 0, sizeof *answer);
  bd_platform_list (&session->platform, BD_PRIORITY_CONFIG, prefix, GIVE_UP_MS,
                    handle_answer, answer);
  wait_for (session, answer);
}

void
bd_session_update (struct bd_session *session, const char *key,
                   int64_t expected_version, const json_t *previous,
                   json_t *data, struct bd_session_answer *answer)
{
  memset (answer, 0, sizeof *answer);
  bd_platform_update (&session->platform, BD_PRIORITY_CONFIG, key,
                      expected_version, previous, data, GIVE_UP_MS,
                      handle_answer, answer);
  wait_for (session, answer);
}

void
bd_session_answer_finish (struct bd_session_answer *answer)
{
  json_decref (answer->envelope);
  json_decref (answer->items);
}

static void
handle_pause (void *private_data)
{
  *(bool *)private_data = true;
}

void
bd_session_pause (struct bd_session *session, uint32_t pause_ms)
{
  bool is_over = false;

  bd_timer_add (session->events, session->events, pause_ms, handle_pause,
                &is_over);
  while (!is_over)
    tevent_loop_once (session->events);
}

/* Synchronous calls to the store.  */

#include "cli/session.h"
#include "base/timer.h"

#include <string.h>
#include <talloc.h>

enum
{
  CALL_TIMEOUT_MS = 10000,
  CALLS_PER_S = 50,
  MAX_IDLE_CONNECTIONS = 2
};

bool
bd_session_init (struct bd_session *session, const char *url)
{
  memset (session, 0, sizeof *session);
  session->events = tevent_context_init (NULL);
  session->clock = bd_clock_system ();
  session->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (session->rng, (unsigned long)bd_random_seed ());
  if (!bd_http_client_init (&session->client, session->events,
                            MAX_IDLE_CONNECTIONS))
    return false;
  session->api.client = &session->client;
  session->api.url = url;
  bd_store_init (&session->store, &bd_object_api_http_ops, &session->api,
                 session->events, &session->clock, &session->counters,
                 session->rng, CALLS_PER_S, CALLS_PER_S);
  return true;
}

void
bd_session_finish (struct bd_session *session)
{
  bd_store_finish (&session->store);
  bd_http_client_finish (&session->client);
  gsl_rng_free (session->rng);
  talloc_free (session->events);
}

static void
handle_reply (void *ctx, const struct bd_store_reply *result)
{
  struct bd_session_reply *reply = ctx;

  reply->error = result->error;
  reply->version = result->version;
  reply->envelope = json_incref (result->envelope);
  reply->data = bd_envelope_data (reply->envelope);
  reply->items = json_incref (result->items);
  reply->is_done = true;
}

static void
wait_for (struct bd_session *session, struct bd_session_reply *reply)
{
  while (!reply->is_done)
    tevent_loop_once (session->events);
}

void
bd_session_read (struct bd_session *session, const char *key,
                 struct bd_session_reply *reply)
{
  memset (reply, 0, sizeof *reply);
  bd_store_read (&session->store, BD_PRIORITY_CONFIG, key, CALL_TIMEOUT_MS,
                 handle_reply, reply);
  wait_for (session, reply);
}

void
bd_session_list (struct bd_session *session, const char *prefix,
                 struct bd_session_reply *reply)
{
  memset (reply, 0, sizeof *reply);
  bd_store_list (&session->store, BD_PRIORITY_CONFIG, prefix, CALL_TIMEOUT_MS,
                 handle_reply, reply);
  wait_for (session, reply);
}

void
bd_session_update (struct bd_session *session, const char *key,
                   int64_t expected_version, const json_t *previous,
                   json_t *data, struct bd_session_reply *reply)
{
  memset (reply, 0, sizeof *reply);
  bd_store_update (&session->store, BD_PRIORITY_CONFIG, key, expected_version,
                   previous, data, CALL_TIMEOUT_MS, handle_reply, reply);
  wait_for (session, reply);
}

void
bd_session_reply_finish (struct bd_session_reply *reply)
{
  json_decref (reply->envelope);
  json_decref (reply->items);
}

static void
handle_sleep_end (void *private_data)
{
  *(bool *)private_data = true;
}

void
bd_session_sleep (struct bd_session *session, uint32_t duration_ms)
{
  bool is_over = false;

  bd_timer_add (session->events, session->events, duration_ms,
                handle_sleep_end, &is_over);
  while (!is_over)
    tevent_loop_once (session->events);
}

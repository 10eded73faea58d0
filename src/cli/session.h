/* Synchronous calls to the store for the operator's commands.  Each call runs
   the event loop until the reply arrives.  */

#ifndef BD_CLI_SESSION_H
#define BD_CLI_SESSION_H

#include "store/client.h"

#include <stdbool.h>

struct bd_session
{
  struct tevent_context *events;
  struct bd_clock clock;
  gsl_rng *rng;
  struct bd_counters counters;
  struct bd_http_client client;
  struct bd_object_api_http api;
  struct bd_store store;
};

/* The reply to a call.  The caller owns its values.  data belongs to
   envelope.  */
struct bd_session_reply
{
  enum bd_error error;
  int64_t version;
  json_t *envelope;
  json_t *data;
  json_t *items;
  bool is_done;
};

/* bd_session_init(): prepares a session with the Object API at url.  Returns
   false if the HTTP client cannot be initialized.  */
bool bd_session_init (struct bd_session *session, const char *url);

/* bd_session_finish(): frees the session.  */
void bd_session_finish (struct bd_session *session);

/* bd_session_read(), bd_session_list(), bd_session_update(): like
   bd_store_read(), bd_store_list() and bd_store_update(), with a
   timeout of 10 s.  Free the reply with bd_session_reply_finish().  */
void bd_session_read (struct bd_session *session, const char *key,
                      struct bd_session_reply *reply);
void bd_session_list (struct bd_session *session, const char *prefix,
                      struct bd_session_reply *reply);
void bd_session_update (struct bd_session *session, const char *key,
                        int64_t expected_version, const json_t *previous,
                        json_t *data, struct bd_session_reply *reply);
void bd_session_reply_finish (struct bd_session_reply *reply);

/* bd_session_sleep(): runs the event loop for duration_ms.  */
void bd_session_sleep (struct bd_session *session, uint32_t duration_ms);

#endif

/* The table of responses by error kind.  */

#include "base/error.h"

#include "base/crash.h"

struct error_response
{
  const char *name;
  const char *text;
  uint32_t http_status;
  bool is_temporary;
};

static const struct error_response error_responses[BD_ERR_COUNT] = {
  [BD_OK] = { "ok", "no error", 200, false },
  [BD_ERR_BAD_REQUEST]
  = { "bad-request", "the request cannot be understood", 400, false },
  [BD_ERR_TOO_LARGE]
  = { "too-large", "the request body is over the route's limit", 413, false },
  [BD_ERR_NO_ROUTE]
  = { "no-route", "no published service takes this request", 404, false },
  [BD_ERR_UNAUTHORIZED]
  = { "unauthorized", "no client account holds this API key", 401, false },
  [BD_ERR_RATE_LIMITED]
  = { "rate-limited", "the client account is over its limit", 429, true },
  [BD_ERR_OVERLOADED] = { "overloaded", "the queue is full", 503, true },
  [BD_ERR_DEADLINE_UNREACHABLE]
  = { "deadline-unreachable", "the backlog is longer than the deadline", 503,
      true },
  [BD_ERR_DEADLINE_PASSED]
  = { "deadline-passed", "no answer before the deadline", 504, true },
  [BD_ERR_NO_ENDPOINT]
  = { "no-endpoint", "no complete replica or endpoint is available", 503,
      true },
  [BD_ERR_ENDPOINT_FAILED]
  = { "endpoint-failed", "the endpoint failed before a whole answer", 502,
      true },
  [BD_ERR_STREAM_BROKEN]
  = { "stream-broken", "the stream broke and could not be resumed", 502,
      true },
  [BD_ERR_KEY_REUSED]
  = { "key-reused", "the idempotency key was used with another request", 422,
      false },
  [BD_ERR_KEY_IN_PROGRESS]
  = { "key-in-progress", "a call with this idempotency key is running", 409,
      true },
  [BD_ERR_KEY_UNKNOWN]
  = { "key-unknown", "the outcome of the call with this key is unknown", 409,
      false },
  [BD_ERR_OUTCOME_NOT_KEPT]
  = { "outcome-not-kept",
      "the call with this key ran; its answer was not kept", 409, false },
  [BD_ERR_POISON_REQUEST]
  = { "suspect", "this request has crashed endpoints and is refused", 503,
      true },
  [BD_ERR_PLATFORM_DOWN]
  = { "platform-down", "the claim cannot be recorded now", 503, true },
  [BD_ERR_HISTORY_GONE]
  = { "history-gone", "the changes since that revision are forgotten", 410,
      true },
  [BD_ERR_UNREADABLE]
  = { "unreadable", "the reply cannot be decoded", 502, true },
  [BD_ERR_STOPPING]
  = { "stopping", "this daemon is stopping; another one serves", 503, true },
  [BD_ERR_NOT_READY]
  = { "not-ready", "this daemon has no configuration yet", 503, true },
  [BD_ERR_CONFLICT]
  = { "conflict", "another writer changed the object first", 409, false },
  [BD_ERR_STALE]
  = { "stale", "the message is older than what is held", 409, false },
  [BD_ERR_INVALID_FILE]
  = { "invalid-file", "the file does not pass its checks", 400, false },
  [BD_ERR_NOT_FOUND] = { "not-found", "there is no such object", 404, false },
  [BD_ERR_NO_MEMORY] = { "no-memory", "out of memory", 503, true },
  [BD_ERR_INTERNAL]
  = { "internal", "an error inside burdockdale", 500, false },
};

static const struct error_response *
response_for (enum bd_error error)
{
  BD_ASSERT (error >= BD_OK && error < BD_ERR_COUNT);
  return &error_responses[error];
}

const char *
bd_error_name (enum bd_error error)
{
  return response_for (error)->name;
}

const char *
bd_error_text (enum bd_error error)
{
  return response_for (error)->text;
}

uint32_t
bd_error_http_status (enum bd_error error)
{
  return response_for (error)->http_status;
}

bool
bd_error_is_temporary (enum bd_error error)
{
  return response_for (error)->is_temporary;
}

const char *
bd_run_state_name (enum bd_run_state state)
{
  static const char *const names[] = { "not-run", "ran", "unknown" };

  BD_ASSERT (state >= BD_NOT_RUN && state <= BD_RUN_UNKNOWN);
  return names[state];
}

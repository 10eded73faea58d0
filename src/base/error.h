/* Error kinds, and the HTTP response for each of them.

   Every failure in the program has one of these kinds.  A single table maps
   each kind to its name, its HTTP status and whether the response carries
   Retry-After, so that no other file decides how to report a failure.  */

#ifndef BD_BASE_ERROR_H
#define BD_BASE_ERROR_H

#include <stdbool.h>
#include <stdint.h>

enum bd_error
{
  BD_OK = 0,
  BD_ERR_BAD_REQUEST,
  BD_ERR_TOO_LARGE,
  BD_ERR_NO_ROUTE,
  BD_ERR_UNAUTHORIZED,
  BD_ERR_RATE_LIMITED,
  BD_ERR_OVERLOADED,
  BD_ERR_DEADLINE_UNREACHABLE,
  BD_ERR_DEADLINE_PASSED,
  BD_ERR_NO_ENDPOINT,
  BD_ERR_ENDPOINT_FAILED,
  BD_ERR_STREAM_BROKEN,
  BD_ERR_KEY_REUSED,
  BD_ERR_KEY_IN_PROGRESS,
  BD_ERR_KEY_UNKNOWN,
  BD_ERR_OUTCOME_NOT_KEPT,
  BD_ERR_POISON_REQUEST,
  BD_ERR_PLATFORM_DOWN,
  BD_ERR_HISTORY_GONE,
  BD_ERR_UNREADABLE,
  BD_ERR_STOPPING,
  BD_ERR_NOT_READY,
  BD_ERR_CONFLICT,
  BD_ERR_STALE,
  BD_ERR_INVALID_FILE,
  BD_ERR_NOT_FOUND,
  BD_ERR_NO_MEMORY,
  BD_ERR_INTERNAL,
  BD_ERR_COUNT
};

/* Whether an endpoint ran the call.  BD_NOT_RUN means that no endpoint can
   have started the work; in doubt, the state is BD_RUN_UNKNOWN.  */
enum bd_run_state
{
  BD_NOT_RUN,
  BD_RAN,
  BD_RUN_UNKNOWN
};

/* bd_error_name(): the name of the kind in responses and logs.
   Accepts any value below BD_ERR_COUNT.  Returns a static string, never
   NULL.  */
const char *bd_error_name (enum bd_error error);

/* bd_error_text(): a description for people.  Returns a static string, never
   NULL.  */
const char *bd_error_text (enum bd_error error);

/* bd_error_http_status(): the HTTP status of a response of this kind.  */
uint32_t bd_error_http_status (enum bd_error error);

/* bd_error_is_temporary(): whether a retry may succeed.  The response then
   carries Retry-After.  */
bool bd_error_is_temporary (enum bd_error error);

/* bd_run_state_name(): "not-run", "ran" or "unknown".  */
const char *bd_run_state_name (enum bd_run_state state);

#endif

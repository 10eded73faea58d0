/* Fakes of the systems that burdockdale talks to, over the real protocols.

   Each role of the program "fakes" is one fake: the platform, model engines, a
   plain service, or a TCP proxy.  POST /faults with a JSON object sets faults;
   GET /record returns what the fake has recorded.  */

#ifndef BD_FAKES_H
#define BD_FAKES_H

#include "http/client.h"
#include "http/server.h"

#include <jansson.h>
#include <stdbool.h>
#include <tevent.h>

/* Command-line options of the form "name=value".  */
struct fake_options
{
  int count;
  char **arguments;
};

/* fake_option(): returns the value of the option name, or fallback if it is
   not set.  */
const char *fake_option (const struct fake_options *options, const char *name,
                         const char *fallback);

/* fake_option_int(): the same for a decimal integer.  */
int fake_option_int (const struct fake_options *options, const char *name,
                     int fallback);

/* fake_respond_json(): sends value as the JSON response body, and releases the
   reference to value.  */
void fake_respond_json (struct bd_http_exchange *x, uint32_t status,
                        json_t *value);

/* fake_schedule(): calls handler once after delay_ms, with ctx as its private
   data.  Freeing owner cancels the timer.  */
void fake_schedule (struct tevent_context *events, void *owner,
                    uint32_t delay_ms, tevent_timer_handler_t handler,
                    void *ctx);

/* fake_now_ms(): returns the monotonic time in milliseconds.  */
int64_t fake_now_ms (void);

/* fake_ROLE_start(): starts the fake on the event loop.  Options are described
   at the top of each source file.  Returns false if an option is out of range
   or a port cannot be opened.  */
bool fake_platform_start (struct tevent_context *events,
                          const struct fake_options *options);
bool fake_engines_start (struct tevent_context *events,
                         const struct fake_options *options);
bool fake_service_start (struct tevent_context *events,
                         const struct fake_options *options);
bool fake_pipe_start (struct tevent_context *events,
                      const struct fake_options *options);

#endif

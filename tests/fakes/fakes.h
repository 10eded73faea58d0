/* Small stand-ins for what burdockdale talks to, over the real protocols.

   Each fault is switched on by a request to the fake, POST /faults with a
   JSON object; GET /record says what the fake has seen.  */

#ifndef BD_FAKES_H
#define BD_FAKES_H

#include "http/client.h"
#include "http/server.h"

#include <jansson.h>
#include <stdbool.h>
#include <tevent.h>

/* Options of the command line, "name=value".  */
struct fake_options
{
  int count;
  char **arguments;
};

const char *fake_option (const struct fake_options *options, const char *name,
                         const char *fallback);
int fake_option_int (const struct fake_options *options, const char *name,
                     int fallback);

/* fake_respond_json(): answers with value and drops it.  */
void fake_respond_json (struct bd_http_exchange *x, uint32_t status,
                        json_t *value);

/* fake_schedule(): calls back once after delay_ms.  */
void fake_schedule (struct tevent_context *events, void *owner,
                    uint32_t delay_ms, tevent_timer_handler_t handler,
                    void *ctx);

/* fake_now_ms(): monotonic milliseconds.  */
int64_t fake_now_ms (void);

bool fake_platform_start (struct tevent_context *events,
                          const struct fake_options *options);
bool fake_engines_start (struct tevent_context *events,
                         const struct fake_options *options);
bool fake_service_start (struct tevent_context *events,
                         const struct fake_options *options);
bool fake_pipe_start (struct tevent_context *events,
                      const struct fake_options *options);

#endif

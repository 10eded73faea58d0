/* Settings of the edge daemon, from a TOML file.

   The bounds are promises to callers and operators; the daemon derives its
   own periods from them.  */

#ifndef BD_EDGE_SETTINGS_H
#define BD_EDGE_SETTINGS_H

#include "base/ids.h"
#include "base/toml.h"

#include <stdbool.h>
#include <stdint.h>

struct bd_edge_bounds
{
  uint32_t contact_ms;      /* Out of touch for less than this is excused.  */
  uint32_t config_apply_ms; /* From the store's acknowledgement.  */
  uint32_t drain_ms;        /* Until a leaving endpoint gets nothing new.  */
  uint32_t grace_ms;        /* From SIGTERM to SIGKILL.  */
  uint32_t revoke_ms;       /* Until a key that was taken away is refused.  */
  bool revoke_fail_closed;  /* Keys are refused while that cannot be shown.  */
  double retry_ratio;       /* Repeats for each request of a service.  */
  uint32_t retry_window_s;
  uint32_t retry_slack;  /* Repeats a window besides, of all daemons.  */
  uint32_t stall_ms;     /* A group that stands still is broken.  */
  bool fencing_enforced; /* Engines refuse orders of a lower term.  */
};

struct bd_edge_settings
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  const char *adapter;
  const char *address; /* IP number of this machine.  */
  uint32_t http_port;  /* Callers.  */
  uint32_t ready_port; /* The balancer's question.  */
  uint32_t peer_port;  /* Other daemons.  */
  uint32_t metrics_port;
  const char *platform_url;
  bool is_first_start;   /* The whole system starts for the first time.  */
  uint32_t heartbeat_ms; /* Of endpoints, in the instance list.  */
  uint32_t max_descriptors;
  uint32_t reads_per_s; /* Of all daemons.  */
  uint32_t writes_per_s;
  struct bd_edge_bounds bounds;
};

/* bd_edge_settings_read(): reads and checks the file at path.  Strings live on
   ctx.  Returns false after adding each fault found.  */
bool bd_edge_settings_read (struct bd_edge_settings *settings, void *ctx,
                            const char *path, struct bd_faults *faults);

/* bd_edge_settings_parse(): the same from text already in memory.  */
bool bd_edge_settings_parse (struct bd_edge_settings *settings, void *ctx,
                             const char *file_name, const char *text,
                             size_t size, struct bd_faults *faults);

#endif

/* Settings of the edge daemon, read from a TOML file.

   The bounds are guarantees to callers and operators; the daemon chooses its
   internal periods to meet them.  */

#ifndef BD_EDGE_SETTINGS_H
#define BD_EDGE_SETTINGS_H

#include "base/ids.h"
#include "base/toml.h"
#include "interference/interference.h"
#include "regions/regions.h"

#include <stdbool.h>
#include <stdint.h>

struct bd_edge_bounds
{
  uint32_t config_apply_ms; /* From the store's acknowledgement of a write
                               until the configuration is in force.  */
  uint32_t drain_ms; /* Until a draining endpoint gets no new requests.  */
  /* Time bounds count for a daemon that has been in contact with the store for
     this long; 0: at once.  */
  uint32_t contact_ms;
  uint32_t grace_ms;       /* From SIGTERM to SIGKILL.  */
  uint32_t revoke_ms;      /* Until a revoked key is refused.  */
  bool revoke_fail_closed; /* Refuse keys while revoke_ms cannot be guaranteed.
                            */
  double retry_ratio;      /* Retries per request of a service.  */
  double retry_slack; /* Additional retries of all daemons, in any window.  */
  uint32_t stall_ms;  /* A group that stalls for this long is broken.  */
  /* Until an evacuated data centre gets no new attempts; 0: the evacuations
     are not read.  */
  uint32_t evacuation_ms;
  /* In any second a cold endpoint receives at most its rate times
     cold_overshoot plus cold_slack requests; 0 if that is not set.  */
  double cold_overshoot;
  double cold_slack;
};

struct bd_edge_settings
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  const char *adapter;
  const char *address; /* IPv4 address of this machine.  */
  uint32_t http_port;  /* For requests of callers.  */
  uint32_t ready_port; /* For the load balancer's health checks.  */
  uint32_t peer_port;  /* For messages of other daemons.  */
  uint32_t metrics_port;
  /* For requests that other daemons hand over; 0: none are.  */
  uint32_t handover_port;
  const char *platform_url;
  bool is_first_start;   /* First start of the whole system.  */
  uint32_t heartbeat_ms; /* Of endpoints in the instance list.  */
  uint32_t max_descriptors;
  uint32_t memory_mb;   /* That this machine gives the daemon.  */
  uint32_t reads_per_s; /* Limit of the store, for all daemons together.  */
  uint32_t writes_per_s;
  double cpu_share; /* Cores that this machine gives the daemon.  */
  /* Waiting requests are dispatched by their accounts' shares; see
     admission/backlog.h.  */
  bool has_fair_accounts;
  struct bd_interference_settings interference;
  /* Members of the open groups of a service have a grace after the list lacks
     them if each of its models has at least this many members; see
     fleet/fleet.h.  0: no service.  */
  uint32_t grace_min_members;
  struct bd_regions regions; /* Of the data centres.  */
  struct bd_edge_bounds bounds;
};

/* bd_edge_settings_read(): reads and validates the file at path.  Strings are
   allocated on ctx.  Adds each fault to faults and returns false when the file
   is invalid; settings is then unchanged.  */
bool bd_edge_settings_read (struct bd_edge_settings *settings, void *ctx,
                            const char *path, struct bd_faults *faults);

/* bd_edge_settings_parse(): the same for size bytes of text in memory;
   file_name is used in the faults.  */
bool bd_edge_settings_parse (struct bd_edge_settings *settings, void *ctx,
                             const char *file_name, const char *text,
                             size_t size, struct bd_faults *faults);

#endif

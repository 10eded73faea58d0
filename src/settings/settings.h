/* The daemon's settings, read from a TOML file and validated.

   Usage:
     struct bd_settings settings;
     struct bd_faults faults = { .ctx = ctx };
     if (!bd_settings_read (&settings, ctx, "daemon.toml", &faults))
       fputs (faults.text, stderr);  */

#ifndef BD_SETTINGS_SETTINGS_H
#define BD_SETTINGS_SETTINGS_H

#include "base/ids.h"
#include "base/toml.h"

#include <stdbool.h>
#include <stdint.h>

/* Another daemon that the settings list.  */
struct bd_peer_address
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  const char *address; /* IPv4 address.  */
  uint32_t port;       /* Its peer port.  */
};

struct bd_settings
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  const char *address; /* IPv4 address that this daemon listens on.  */
  uint32_t http_port;  /* Listens for callers and operators.  */
  uint32_t peer_port;  /* Listens for other daemons.  */
  /* Peer port sent to other daemons; differs from peer_port where a proxy
     forwards the connections.  */
  uint32_t advertised_peer_port;
  const char *platform_url;  /* URL of the Object API.  */
  const char *instances_url; /* URL of the instance list.  */
  uint32_t heartbeat_ms;     /* Interval of heartbeats to a peer.  */
  uint32_t poll_ms;          /* Interval of load reports of an instance.  */
  /* A member or instance is dead when no message arrives for this time.  */
  uint32_t dead_after_ms;
  uint32_t freshness_ms; /* Maximum age of reports for a usable replica.  */
  /* A controller sends orders for at most this time after it sent the store
     call that confirmed its term.  */
  uint32_t controller_bound_ms;
  uint32_t max_connections;
  /* Time for a caller to send a request head, and to stay idle.  */
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
  uint32_t grace_ms;      /* From SIGTERM to SIGKILL.  */
  uint32_t memory_mb;     /* Of the machine, for the daemon.  */
  uint32_t max_queued;    /* Calls queued for a replica.  */
  uint32_t reads_per_s;   /* Rate limit of this daemon's platform reads.  */
  uint32_t writes_per_s;  /* Rate limit of this daemon's platform writes.  */
  uint32_t loads_at_once; /* Concurrent weight loads in a data centre.  */
  double downtime_weight; /* Cost of one second of downtime of a replica.  */
  double stranded_weight; /* Cost of one second of an idle accelerator.  */
  struct bd_peer_address *peers;
  uint32_t peer_count;
};

/* bd_settings_read(): parses and validates the file at path.  Strings are
   allocated on ctx.  Returns false after adding each fault found; settings
   does not change then.  */
bool bd_settings_read (struct bd_settings *settings, void *ctx,
                       const char *path, struct bd_faults *faults);

/* bd_settings_parse(): same as bd_settings_read() for text of size bytes in
   memory.  file_name appears in faults.  */
bool bd_settings_parse (struct bd_settings *settings, void *ctx,
                        const char *file_name, const char *text, size_t size,
                        struct bd_faults *faults);

#endif

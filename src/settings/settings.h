/* The daemon's own settings, read from a TOML file and fully checked.

   Simple use:
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

/* Another daemon, as the settings name it.  */
struct bd_peer_address
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  const char *address; /* IP number.  */
  uint32_t port;       /* Port for daemons.  */
};

struct bd_settings
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  const char *address; /* IP number that this daemon listens on.  */
  uint32_t http_port;  /* Callers and operators.  */
  uint32_t peer_port;  /* Other daemons.  */
  /* Port that other daemons are told, where one in between forwards.  */
  uint32_t advertised_peer_port;
  const char *platform_url;     /* Object API.  */
  const char *instances_url;    /* Instance list.  */
  uint32_t heartbeat_ms;        /* Between heartbeats to a peer.  */
  uint32_t poll_ms;             /* Between load reports of an instance.  */
  uint32_t dead_after_ms;       /* Silence after which a member is lost.  */
  uint32_t freshness_ms;        /* Oldest report that opens a replica.  */
  uint32_t controller_bound_ms; /* Oldest confirmed term that may order.  */
  uint32_t max_connections;
  uint32_t max_queued;    /* Calls waiting for a replica.  */
  uint32_t reads_per_s;   /* This daemon's share of platform reads.  */
  uint32_t writes_per_s;  /* This daemon's share of platform writes.  */
  uint32_t loads_at_once; /* Loads in a data centre at one time.  */
  double downtime_weight; /* Cost of a replica's second out of service. */
  double stranded_weight; /* Cost of an accelerator's second held idle. */
  struct bd_peer_address *peers;
  uint32_t peer_count;
};

/* bd_settings_read(): reads and checks the file at path.
   Strings live on ctx.  Returns false after adding each fault found.  */
bool bd_settings_read (struct bd_settings *settings, void *ctx,
                       const char *path, struct bd_faults *faults);

/* bd_settings_parse(): the same from text already in memory.  */
bool bd_settings_parse (struct bd_settings *settings, void *ctx,
                        const char *file_name, const char *text, size_t size,
                        struct bd_faults *faults);

#endif

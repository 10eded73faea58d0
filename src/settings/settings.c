/* Parsing and validation of the daemon's settings.  */

#include "settings/settings.h"

#include <arpa/inet.h>
#include <string.h>
#include <talloc.h>

enum
{
  MAX_PORT = 65535,
  MAX_PERIOD_MS = 600000,
  MAX_GRACE_MS = 24 * 3600 * 1000
};

struct raw_settings
{
  struct bd_settings out;
  const struct bd_toml *peers;
};

#define AT(member) offsetof (struct raw_settings, out.member)

static const struct bd_field fields[] = {
  { "name", BD_FIELD_NAME, AT (name), 0, 0, true },
  { "data_centre", BD_FIELD_NAME, AT (data_centre), 0, 0, true },
  { "address", BD_FIELD_TEXT, AT (address), 0, 0, true },
  { "http_port", BD_FIELD_U32, AT (http_port), 1, MAX_PORT, true },
  { "peer_port", BD_FIELD_U32, AT (peer_port), 1, MAX_PORT, true },
  { "advertised_peer_port", BD_FIELD_U32, AT (advertised_peer_port), 1,
    MAX_PORT, false },
  { "platform_url", BD_FIELD_TEXT, AT (platform_url), 0, 0, true },
  { "instances_url", BD_FIELD_TEXT, AT (instances_url), 0, 0, true },
  { "heartbeat_ms", BD_FIELD_U32, AT (heartbeat_ms), 10, MAX_PERIOD_MS,
    false },
  { "poll_ms", BD_FIELD_U32, AT (poll_ms), 10, MAX_PERIOD_MS, false },
  { "dead_after_ms", BD_FIELD_U32, AT (dead_after_ms), 50, MAX_PERIOD_MS,
    false },
  { "freshness_ms", BD_FIELD_U32, AT (freshness_ms), 50, MAX_PERIOD_MS,
    false },
  { "keeper_bound_ms", BD_FIELD_U32, AT (controller_bound_ms), 50,
    MAX_PERIOD_MS, false },
  { "max_connections", BD_FIELD_U32, AT (max_connections), 1, 1000000, false },
  { "header_timeout_ms", BD_FIELD_U32, AT (header_timeout_ms), 100,
    MAX_PERIOD_MS, false },
  { "idle_timeout_ms", BD_FIELD_U32, AT (idle_timeout_ms), 100, MAX_PERIOD_MS,
    false },
  { "grace_ms", BD_FIELD_U32, AT (grace_ms), 500, MAX_GRACE_MS, false },
  { "memory_mb", BD_FIELD_U32, AT (memory_mb), 64, 1000000, false },
  { "max_queued", BD_FIELD_U32, AT (max_queued), 0, 1000000, false },
  { "reads_per_s", BD_FIELD_U32, AT (reads_per_s), 1, 100000, false },
  { "writes_per_s", BD_FIELD_U32, AT (writes_per_s), 1, 100000, false },
  { "loads_at_once", BD_FIELD_U32, AT (loads_at_once), 1, 10000, false },
  { "downtime_weight", BD_FIELD_DOUBLE, AT (downtime_weight), 0, 1000, false },
  { "stranded_weight", BD_FIELD_DOUBLE, AT (stranded_weight), 0, 1000, false },
  { "peer", BD_FIELD_TABLE, offsetof (struct raw_settings, peers), 0, 0,
    false },
};

static const struct bd_field peer_fields[] = {
  { "name", BD_FIELD_NAME, offsetof (struct bd_peer_address, name), 0, 0,
    true },
  { "data_centre", BD_FIELD_NAME,
    offsetof (struct bd_peer_address, data_centre), 0, 0, true },
  { "address", BD_FIELD_TEXT, offsetof (struct bd_peer_address, address), 0, 0,
    true },
  { "port", BD_FIELD_U32, offsetof (struct bd_peer_address, port), 1, MAX_PORT,
    true },
};

static const struct bd_settings defaults = {
  .heartbeat_ms = 500,
  .poll_ms = 500,
  .dead_after_ms = 3000,
  .freshness_ms = 2000,
  .controller_bound_ms = 5000,
  .max_connections = 4096,
  .header_timeout_ms = 10000,
  .idle_timeout_ms = 75000,
  .grace_ms = 30000,
  .memory_mb = 512,
  .max_queued = 1024,
  .reads_per_s = 200,
  .writes_per_s = 40,
  .loads_at_once = 8,
  .downtime_weight = 1.0,
  .stranded_weight = 1.0,
};

static void
check_address (const char *address, const char *file_name, uint32_t line,
               struct bd_faults *faults)
{
  struct in_addr parsed;

  if (address != NULL && inet_pton (AF_INET, address, &parsed) != 1)
    bd_faults_add (faults, file_name, line, "'%s' is not an IPv4 address",
                   address);
}

static void
check_url (const char *url, const char *key, const char *file_name,
           struct bd_faults *faults)
{
  if (url != NULL && strncmp (url, "http://", strlen ("http://")) != 0)
    bd_faults_add (faults, file_name, 1, "'%s' must start with http://", key);
}

static void
check_peer_is_unique (const struct bd_settings *settings, uint32_t line,
                      const char *file_name, struct bd_faults *faults)
{
  const struct bd_peer_address *last
      = &settings->peers[settings->peer_count - 1];

  for (uint32_t i = 0; i + 1 < settings->peer_count; i++)
    if (strcmp (settings->peers[i].name, last->name) == 0)
      bd_faults_add (faults, file_name, line, "duplicate peer '%s'",
                     last->name);
}

static void
read_peers (struct bd_settings *settings, void *ctx,
            const struct bd_toml *array, const char *file_name,
            struct bd_faults *faults)
{
  for (const struct bd_toml *n = array->first_child; n != NULL; n = n->next)
    {
      struct bd_peer_address *peer;

      settings->peers
          = talloc_realloc (ctx, settings->peers, struct bd_peer_address,
                            settings->peer_count + 1);
      peer = &settings->peers[settings->peer_count++];
      memset (peer, 0, sizeof *peer);
      bd_fields_read (n, file_name, peer_fields,
                      sizeof peer_fields / sizeof peer_fields[0], ctx, peer,
                      faults);
      check_address (peer->address, file_name, n->line, faults);
      check_peer_is_unique (settings, n->line, file_name, faults);
    }
}

bool
bd_settings_parse (struct bd_settings *settings, void *ctx,
                   const char *file_name, const char *text, size_t size,
                   struct bd_faults *faults)
{
  struct raw_settings raw = { .out = defaults };
  struct bd_toml *root = bd_toml_parse (ctx, file_name, text, size, faults);

  if (root == NULL)
    return false;
  bd_fields_read (root, file_name, fields, sizeof fields / sizeof fields[0],
                  ctx, &raw, faults);
  check_address (raw.out.address, file_name, 1, faults);
  check_url (raw.out.platform_url, "platform_url", file_name, faults);
  check_url (raw.out.instances_url, "instances_url", file_name, faults);
  if (raw.out.freshness_ms > raw.out.dead_after_ms)
    bd_faults_add (faults, file_name, 1,
                   "'freshness_ms' must not exceed 'dead_after_ms'");
  if (raw.peers != NULL)
    read_peers (&raw.out, ctx, raw.peers, file_name, faults);
  if (faults->count != 0)
    return false;
  if (raw.out.advertised_peer_port == 0)
    raw.out.advertised_peer_port = raw.out.peer_port;
  *settings = raw.out;
  return true;
}

bool
bd_settings_read (struct bd_settings *settings, void *ctx, const char *path,
                  struct bd_faults *faults)
{
  size_t size = 0;
  char *text = bd_file_read (ctx, path, &size);

  if (text == NULL)
    {
      bd_faults_add (faults, path, 0, "cannot be read");
      return false;
    }
  return bd_settings_parse (settings, ctx, path, text, size, faults);
}

/* Reads and validates the settings of the edge daemon.  */

#include "edge/settings.h"

#include "fleet/fleet.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum
{
  MAX_PORT = 65535,
  MAX_MS = 3600000,
  MS_PER_S = 1000
};

struct raw_settings
{
  struct bd_edge_settings out;
  const char *callers; /* "address:port" */
  const char *balancer;
  const struct bd_toml *bounds;
  const struct bd_toml *admission;
  const struct bd_toml *placement;
  const struct bd_toml *regions;
};

struct raw_placement
{
  struct bd_interference_settings out;
  const char *mixed_prompts;
  uint32_t grace_min_members;
};

struct raw_bounds
{
  struct bd_edge_bounds out;
  double grace_s;
};

#define AT(member) offsetof (struct raw_settings, out.member)
#define BOUND(member) offsetof (struct raw_bounds, out.member)
#define PLACEMENT(member) offsetof (struct raw_placement, out.member)

static const struct bd_field fields[] = {
  { "name", BD_FIELD_NAME, AT (name), 0, 0, true },
  { "data_centre", BD_FIELD_NAME, AT (data_centre), 0, 0, true },
  { "dialect", BD_FIELD_TEXT, AT (adapter), 0, 0, true },
  { "callers", BD_FIELD_TEXT, offsetof (struct raw_settings, callers), 0, 0,
    true },
  { "balancer", BD_FIELD_TEXT, offsetof (struct raw_settings, balancer), 0, 0,
    true },
  { "peer_port", BD_FIELD_U32, AT (peer_port), 1, MAX_PORT, true },
  { "metrics_port", BD_FIELD_U32, AT (metrics_port), 1, MAX_PORT, true },
  { "handover_port", BD_FIELD_U32, AT (handover_port), 1, MAX_PORT, false },
  { "platform_url", BD_FIELD_TEXT, AT (platform_url), 0, 0, true },
  { "first_start", BD_FIELD_BOOL, AT (is_first_start), 0, 0, false },
  { "heartbeat_ms", BD_FIELD_CLAMPED_U32, AT (heartbeat_ms), 1, MAX_MS,
    false },
  { "max_descriptors", BD_FIELD_CLAMPED_U32, AT (max_descriptors), 64, 1e7,
    false },
  { "memory_mb", BD_FIELD_CLAMPED_U32, AT (memory_mb), 64, 1e6, false },
  { "reads_per_s", BD_FIELD_CLAMPED_U32, AT (reads_per_s), 1, 1e7, false },
  { "writes_per_s", BD_FIELD_CLAMPED_U32, AT (writes_per_s), 1, 1e7, false },
  { "cpu_share", BD_FIELD_DOUBLE, AT (cpu_share), 0, 1e6, false },
  { "bounds", BD_FIELD_TABLE, offsetof (struct raw_settings, bounds), 0, 0,
    true },
  { "admission", BD_FIELD_TABLE, offsetof (struct raw_settings, admission), 0,
    0, false },
  { "placement", BD_FIELD_TABLE, offsetof (struct raw_settings, placement), 0,
    0, false },
  { "regions", BD_FIELD_TABLE, offsetof (struct raw_settings, regions), 0, 0,
    false },
};

static const struct bd_field admission_fields[] = {
  { "fair_accounts", BD_FIELD_BOOL, AT (has_fair_accounts), 0, 0, false },
};

static const struct bd_field placement_fields[] = {
  { "mixed_prompts", BD_FIELD_TEXT,
    offsetof (struct raw_placement, mixed_prompts), 0, 0, false },
  { "grace_min_members", BD_FIELD_U32,
    offsetof (struct raw_placement, grace_min_members), 0,
    BD_FLEET_MAX_MEMBERS, false },
  { "late_reserve", BD_FIELD_BOOL, PLACEMENT (keeps_reserve), 0, 0, false },
  { "prefill_bound", BD_FIELD_BOOL, PLACEMENT (bounds_prefill), 0, 0, false },
  { "delay_cost", BD_FIELD_BOOL, PLACEMENT (weighs_delay), 0, 0, false },
  { "priority_class", BD_FIELD_BOOL, PLACEMENT (sends_class), 0, 0, false },
  { "load_level", BD_FIELD_BOOL, PLACEMENT (levels_load), 0, 0, false },
};

/* The platform states the bounds as whole numbers or fractions and sets no
   upper limits, so they are clamped.  */
static const struct bd_field bound_fields[] = {
  { "config_apply_ms", BD_FIELD_CLAMPED_U32, BOUND (config_apply_ms), 1,
    MAX_MS, true },
  { "drain_ms", BD_FIELD_CLAMPED_U32, BOUND (drain_ms), 1, MAX_MS, true },
  { "contact_ms", BD_FIELD_CLAMPED_U32, BOUND (contact_ms), 0, MAX_MS, false },
  { "grace_s", BD_FIELD_DOUBLE, offsetof (struct raw_bounds, grace_s), 0, 1e15,
    true },
  { "revoke_ms", BD_FIELD_CLAMPED_U32, BOUND (revoke_ms), 1, MAX_MS, true },
  { "revoke_fail_closed", BD_FIELD_BOOL, BOUND (revoke_fail_closed), 0, 0,
    true },
  { "retry_ratio", BD_FIELD_DOUBLE, BOUND (retry_ratio), 0, 1e15, true },
  { "retry_slack", BD_FIELD_DOUBLE, BOUND (retry_slack), 0, 1e15, true },
  { "stall_ms", BD_FIELD_CLAMPED_U32, BOUND (stall_ms), 1, MAX_MS, true },
  { "evacuation_ms", BD_FIELD_CLAMPED_U32, BOUND (evacuation_ms), 0, MAX_MS,
    false },
  { "cold_overshoot", BD_FIELD_DOUBLE, BOUND (cold_overshoot), 0, 1e15,
    false },
  { "cold_slack", BD_FIELD_DOUBLE, BOUND (cold_slack), 0, 1e15, false },
};

static const struct bd_edge_settings defaults = {
  .heartbeat_ms = 1000,
  .max_descriptors = 1024,
  .memory_mb = 256,
  .reads_per_s = 200,
  .writes_per_s = 40,
  .cpu_share = 1.0,
  .interference = { .mode = BD_INTERFERENCE_OFF,
                    .keeps_reserve = true,
                    .bounds_prefill = true,
                    .weighs_delay = true,
                    .sends_class = true },
};

/* Splits "address:port" and validates both.  */
static void
read_listen_address (void *ctx, const char *key, const char *text,
                     const char *file_name, const char **address,
                     uint32_t *port, struct bd_faults *faults)
{
  const char *colon = text != NULL ? strrchr (text, ':') : NULL;
  struct in_addr parsed;
  char *end = NULL;
  unsigned long number;

  if (text == NULL)
    return;
  number = colon != NULL ? strtoul (colon + 1, &end, 10) : 0;
  *address = colon != NULL ? talloc_strndup (ctx, text, colon - text) : text;
  if (colon == NULL || *end != '\0' || number == 0 || number > MAX_PORT
      || inet_pton (AF_INET, *address, &parsed) != 1)
    {
      bd_faults_add (faults, file_name, 1, "'%s' is not ADDRESS:PORT: '%s'",
                     key, text);
      return;
    }
  *port = (uint32_t)number;
}

static void
read_placement (struct raw_settings *raw, void *ctx, const char *file_name,
                struct bd_faults *faults)
{
  struct raw_placement placement = { .out = raw->out.interference };
  const char *mode;

  if (raw->placement == NULL)
    return;
  bd_fields_read (raw->placement, file_name, placement_fields,
                  sizeof placement_fields / sizeof placement_fields[0], ctx,
                  &placement, faults);
  mode = placement.mixed_prompts;
  if (mode != NULL && !bd_interference_read_mode (mode, &placement.out.mode))
    bd_faults_add (faults, file_name, raw->placement->line,
                   "'mixed_prompts' is not \"auto\", \"on\" or \"off\": '%s'",
                   mode);
  raw->out.interference = placement.out;
  raw->out.grace_min_members = placement.grace_min_members;
}

/* Reads the entries data-centre = "region".  */
static void
read_regions (struct raw_settings *raw, void *ctx, const char *file_name,
              struct bd_faults *faults)
{
  const struct bd_toml *table = raw->regions;
  struct bd_regions *regions = &raw->out.regions;
  const struct bd_toml *entry;
  uint32_t size = 0;

  if (table == NULL)
    return;
  for (entry = table->first_child; entry != NULL; entry = entry->next)
    size++;
  if (table->kind != BD_TOML_TABLE || size > BD_REGIONS_MAX_DATA_CENTRES)
    {
      bd_faults_add (faults, file_name, table->line,
                     "'regions' must be a table of at most %d entries",
                     BD_REGIONS_MAX_DATA_CENTRES);
      return;
    }
  bd_regions_init (regions, talloc_array (ctx, struct bd_regions_entry, size),
                   size);
  for (entry = table->first_child; entry != NULL; entry = entry->next)
    if (entry->kind != BD_TOML_STRING
        || !bd_regions_add (regions, entry->key, entry->string))
      bd_faults_add (faults, file_name, entry->line,
                     "'regions': '%s' is not a data centre with the name of "
                     "its region",
                     entry->key);
}

bool
bd_edge_settings_parse (struct bd_edge_settings *settings, void *ctx,
                        const char *file_name, const char *text, size_t size,
                        struct bd_faults *faults)
{
  struct raw_settings raw = { .out = defaults };
  struct raw_bounds bounds = { .grace_s = 0 };
  struct bd_toml *root = bd_toml_parse (ctx, file_name, text, size, faults);
  const char *balancer_address = NULL;

  if (root == NULL)
    return false;
  bd_fields_read (root, file_name, fields, sizeof fields / sizeof fields[0],
                  ctx, &raw, faults);
  if (raw.bounds != NULL)
    bd_fields_read (raw.bounds, file_name, bound_fields,
                    sizeof bound_fields / sizeof bound_fields[0], ctx, &bounds,
                    faults);
  if (raw.admission != NULL)
    bd_fields_read (raw.admission, file_name, admission_fields,
                    sizeof admission_fields / sizeof admission_fields[0], ctx,
                    &raw, faults);
  read_placement (&raw, ctx, file_name, faults);
  read_regions (&raw, ctx, file_name, faults);
  read_listen_address (ctx, "callers", raw.callers, file_name,
                       &raw.out.address, &raw.out.http_port, faults);
  read_listen_address (ctx, "balancer", raw.balancer, file_name,
                       &balancer_address, &raw.out.ready_port, faults);
  if (faults->count != 0)
    return false;
  bounds.out.grace_ms = (uint32_t)fmin (bounds.grace_s * MS_PER_S, MAX_MS);
  raw.out.bounds = bounds.out;
  *settings = raw.out;
  return true;
}

bool
bd_edge_settings_read (struct bd_edge_settings *settings, void *ctx,
                       const char *path, struct bd_faults *faults)
{
  size_t size = 0;
  char *text = bd_file_read (ctx, path, &size);

  if (text == NULL)
    {
      bd_faults_add (faults, path, 0, "cannot be read");
      return false;
    }
  return bd_edge_settings_parse (settings, ctx, path, text, size, faults);
}

/* Parsing and checking of service files.  */

#include "config/service.h"

#include <string.h>
#include <talloc.h>

enum
{
  MAX_MEMBERS = 64,
  MAX_REPLICAS = 4096,
  MAX_PRIORITY = 100,
  MAX_DEADLINE_MS = 3600000,
  MAX_BODY_BYTES = 64 << 20,
  MAX_IN_FLIGHT = 100000,
  DEFAULT_DEADLINE_MS = 60000,
  DEFAULT_BODY_BYTES = 1 << 20,
  DEFAULT_IN_FLIGHT = 64
};

struct raw_limit
{
  struct bd_limit out;
  const char *account;
};

struct raw_service
{
  struct bd_service out;
  const struct bd_toml *model;
  const struct bd_toml *route;
  const struct bd_toml *limits;
  const struct bd_toml *adapters;
  const char *repeat;
};

#define AT(member) offsetof (struct raw_service, out.member)
#define RAW(member) offsetof (struct raw_service, member)
#define COUNT(array) (sizeof (array) / sizeof (array)[0])

static const struct bd_field root_fields[] = {
  { "service", BD_FIELD_NAME, AT (name), 0, 0, true },
  { "pool", BD_FIELD_NAME, AT (pool), 0, 0, true },
  { "priority", BD_FIELD_U32, AT (priority), 0, MAX_PRIORITY, false },
  { "model", BD_FIELD_TABLE, RAW (model), 0, 0, false },
  { "route", BD_FIELD_TABLE, RAW (route), 0, 0, true },
  { "limit", BD_FIELD_TABLE, RAW (limits), 0, 0, false },
};

static const struct bd_field model_fields[] = {
  { "name", BD_FIELD_NAME, AT (model), 0, 0, true },
  { "version", BD_FIELD_NAME, AT (version), 0, 0, true },
  { "adapters", BD_FIELD_TABLE, RAW (adapters), 0, 0, false },
  { "members", BD_FIELD_U32, AT (members), 1, MAX_MEMBERS, true },
  { "replicas_per_data_centre", BD_FIELD_U32, AT (replicas), 0, MAX_REPLICAS,
    true },
  { "engines_check_fence", BD_FIELD_BOOL, AT (engines_check_fence), 0, 0,
    false },
};

static const struct bd_field route_fields[] = {
  { "prefix", BD_FIELD_TEXT, AT (prefix), 0, 0, false },
  { "repeat", BD_FIELD_TEXT, RAW (repeat), 0, 0, false },
  { "deadline_ms", BD_FIELD_U32, AT (deadline_ms), 1, MAX_DEADLINE_MS, false },
  { "max_body_bytes", BD_FIELD_U32, AT (max_body_bytes), 1, MAX_BODY_BYTES,
    false },
  { "max_in_flight", BD_FIELD_U32, AT (max_in_flight), 1, MAX_IN_FLIGHT,
    false },
};

static const struct bd_field limit_fields[] = {
  { "account", BD_FIELD_TEXT, offsetof (struct raw_limit, account), 0, 0,
    true },
  { "requests_per_s", BD_FIELD_DOUBLE,
    offsetof (struct raw_limit, out.requests_per_s), 0.001, 1e6, true },
  { "burst", BD_FIELD_DOUBLE, offsetof (struct raw_limit, out.burst), 1, 1e6,
    false },
  { "weight", BD_FIELD_DOUBLE, offsetof (struct raw_limit, out.weight), 0.01,
    1000, false },
};

static bool
has_account (const struct bd_service *service, const char *account)
{
  for (uint32_t i = 0; i < service->limit_count; i++)
    if (strcmp (service->limits[i].account, account) == 0)
      return true;
  return false;
}

static void
read_limits (struct bd_service *service, void *ctx,
             const struct bd_toml *array, const char *file_name,
             struct bd_faults *faults)
{
  for (const struct bd_toml *n = array->first_child; n != NULL; n = n->next)
    {
      struct raw_limit raw = { .out = { .burst = 1, .weight = 1 } };

      if (!bd_fields_read (n, file_name, limit_fields, COUNT (limit_fields),
                           ctx, &raw, faults))
        continue;
      if (strlen (raw.account) >= BD_NAME_SIZE)
        bd_faults_add (faults, file_name, n->line, "'account' is too long");
      else if (has_account (service, raw.account))
        bd_faults_add (faults, file_name, n->line, "duplicate account '%s'",
                       raw.account);
      bd_name_copy (raw.out.account, raw.account);
      service->limits = talloc_realloc (ctx, service->limits, struct bd_limit,
                                        service->limit_count + 1);
      service->limits[service->limit_count++] = raw.out;
    }
}

static void
read_retry_policy (struct raw_service *raw, const char *file_name,
                   struct bd_faults *faults)
{
  raw->out.can_retry = true;
  if (raw->repeat == NULL)
    return;
  if (strcmp (raw->repeat, "never") == 0)
    raw->out.can_retry = false;
  else if (strcmp (raw->repeat, "safe") != 0)
    bd_faults_add (faults, file_name, raw->route->line,
                   "'repeat' must be \"safe\" or \"never\"");
}

static void
check_prefix (const struct raw_service *raw, const char *file_name,
              struct bd_faults *faults)
{
  const char *prefix = raw->out.prefix;
  uint32_t line = raw->route->line;

  if (raw->out.is_model && prefix != NULL)
    bd_faults_add (
        faults, file_name, line,
        "a model service has no 'prefix': callers select it by model");
  else if (!raw->out.is_model && prefix == NULL)
    bd_faults_add (faults, file_name, line, "missing key 'prefix' or [model]");
  else if (prefix != NULL && (prefix[0] != '/' || strlen (prefix) < 3))
    bd_faults_add (faults, file_name, line,
                   "'prefix' must be a path like /name/");
  else if (prefix != NULL && strncmp (prefix, "/v1/", 4) == 0)
    bd_faults_add (faults, file_name, line,
                   "'prefix' /v1/ is reserved for models");
}

struct bd_service *
bd_service_parse (void *ctx, const char *file_name, const char *text,
                  size_t size, struct bd_faults *faults)
{
  struct raw_service raw = { 0 };
  struct bd_service *service;
  uint32_t count_before = faults->count;
  struct bd_toml *root = bd_toml_parse (ctx, file_name, text, size, faults);

  if (root == NULL)
    return NULL;
  raw.out.deadline_ms = DEFAULT_DEADLINE_MS;
  raw.out.max_body_bytes = DEFAULT_BODY_BYTES;
  raw.out.max_in_flight = DEFAULT_IN_FLIGHT;
  bd_fields_read (root, file_name, root_fields, COUNT (root_fields), ctx, &raw,
                  faults);
  raw.out.is_model = raw.model != NULL;
  if (raw.model != NULL)
    bd_fields_read (raw.model, file_name, model_fields, COUNT (model_fields),
                    ctx, &raw, faults);
  if (raw.adapters != NULL)
    bd_toml_read_names (raw.adapters, file_name, ctx, &raw.out.adapters,
                        &raw.out.adapter_count, faults);
  if (raw.route != NULL)
    {
      bd_fields_read (raw.route, file_name, route_fields, COUNT (route_fields),
                      ctx, &raw, faults);
      read_retry_policy (&raw, file_name, faults);
      check_prefix (&raw, file_name, faults);
    }
  if (raw.limits != NULL)
    read_limits (&raw.out, ctx, raw.limits, file_name, faults);
  if (faults->count != count_before)
    return NULL;
  service = talloc (ctx, struct bd_service);
  *service = raw.out;
  return service;
}

static bool
has_conflict (const struct bd_service *a, const struct bd_service *b,
              const char **conflict_kind, const char **name)
{
  if (strcmp (a->name, b->name) == 0)
    {
      *conflict_kind = "service";
      *name = a->name;
      return true;
    }
  if (a->is_model && b->is_model && strcmp (a->model, b->model) == 0)
    {
      *conflict_kind = "model";
      *name = a->model;
      return true;
    }
  if (!a->is_model && !b->is_model && strcmp (a->prefix, b->prefix) == 0)
    {
      *conflict_kind = "prefix";
      *name = a->prefix;
      return true;
    }
  return false;
}

bool
bd_services_check (struct bd_service *const *services, uint32_t count,
                   struct bd_faults *faults)
{
  uint32_t count_before = faults->count;
  const char *conflict_kind = NULL;
  const char *name = NULL;

  for (uint32_t i = 0; i < count; i++)
    for (uint32_t j = i + 1; j < count; j++)
      if (has_conflict (services[i], services[j], &conflict_kind, &name))
        bd_faults_add (faults, services[j]->name, 0,
                       "%s '%s' is already taken by service '%s'",
                       conflict_kind, name, services[i]->name);
  return faults->count == count_before;
}

const struct bd_limit *
bd_service_limit (const struct bd_service *service, const char *account)
{
  const struct bd_limit *fallback = NULL;

  for (uint32_t i = 0; i < service->limit_count; i++)
    {
      if (strcmp (service->limits[i].account, account) == 0)
        return &service->limits[i];
      if (strcmp (service->limits[i].account, "*") == 0)
        fallback = &service->limits[i];
    }
  return fallback;
}

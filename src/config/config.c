/* The active configuration.  */

#include "config/config.h"

#include <string.h>
#include <talloc.h>

/* Far above what any number of changes reaches, so that a next one exists.  */
static const int64_t max_revision = (int64_t)1 << 53;

void
bd_config_init (struct bd_config *config)
{
  memset (config, 0, sizeof *config);
}

void
bd_config_finish (struct bd_config *config)
{
  json_decref (config->head);
  TALLOC_FREE (config->ctx);
}

int64_t
bd_head_revision (const json_t *head)
{
  json_int_t revision
      = json_integer_value (json_object_get (head, "revision"));

  return revision > 0 && revision <= max_revision ? revision : 0;
}

/* Parses and checks every service of a head.  Returns false when one is
   invalid or two conflict.  */
static bool
parse_services (void *ctx, const json_t *head, struct bd_service ***services,
                uint32_t *count)
{
  json_t *entries = json_object_get (head, "services");
  struct bd_faults faults = { .ctx = ctx };
  const char *name;
  json_t *entry;

  *count = 0;
  *services = talloc_array (ctx, struct bd_service *,
                            json_object_size (entries) + 1);
  json_object_foreach (entries, name, entry)
    {
      const char *text = json_string_value (json_object_get (entry, "text"));
      struct bd_service *service
          = text != NULL
                ? bd_service_parse (ctx, name, text, strlen (text), &faults)
                : NULL;
      if (service == NULL)
        return false;
      (*services)[(*count)++] = service;
    }
  return bd_services_check (*services, *count, &faults);
}

enum bd_error
bd_config_adopt (struct bd_config *config, const json_t *head)
{
  void *ctx;
  struct bd_service **services;
  uint32_t count;

  if (bd_head_revision (head) <= config->revision)
    return BD_ERR_STALE;
  ctx = talloc_new (NULL);
  if (!parse_services (ctx, head, &services, &count))
    {
      talloc_free (ctx);
      return BD_ERR_INVALID_FILE;
    }
  bd_config_finish (config);
  config->ctx = ctx;
  config->services = services;
  config->service_count = count;
  config->revision = bd_head_revision (head);
  config->head = json_deep_copy (head);
  return BD_OK;
}

const struct bd_service *
bd_config_service_for_model (const struct bd_config *config, const char *model)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      const struct bd_service *service = config->services[i];
      if (!service->is_model)
        continue;
      if (strcmp (service->model, model) == 0)
        return service;
      for (uint32_t a = 0; a < service->adapter_count; a++)
        if (strcmp (service->adapters[a], model) == 0)
          return service;
    }
  return NULL;
}

const struct bd_service *
bd_config_service_for_path (const struct bd_config *config, const char *path)
{
  const struct bd_service *best = NULL;

  for (uint32_t i = 0; i < config->service_count; i++)
    {
      const struct bd_service *service = config->services[i];
      if (service->is_model
          || strncmp (path, service->prefix, strlen (service->prefix)) != 0)
        continue;
      if (best == NULL || strlen (service->prefix) > strlen (best->prefix))
        best = service;
    }
  return best;
}

const struct bd_service *
bd_config_service (const struct bd_config *config, const char *name)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    if (strcmp (config->services[i]->name, name) == 0)
      return config->services[i];
  return NULL;
}

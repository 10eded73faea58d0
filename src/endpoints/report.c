/* Parser of the reports of instances.  */

#include "endpoints/report.h"

#include "base/json.h"

#include <string.h>

static enum bd_phase
phase_of (const char *name)
{
  if (name != NULL && strcmp (name, "ready") == 0)
    return BD_PHASE_READY;
  if (name != NULL && strcmp (name, "loading") == 0)
    return BD_PHASE_LOADING;
  return BD_PHASE_IDLE;
}

static const char *
text_of (const json_t *object, const char *key)
{
  return json_string_value (json_object_get (object, key));
}

bool
bd_report_parse (const char *body, size_t size, struct bd_report *report)
{
  struct bd_json json;
  const json_t *root;
  json_int_t running;
  bool is_report;

  bd_json_load (&json, body, size);
  root = json.value;
  is_report = json_is_object (root);
  memset (report, 0, sizeof *report);
  bd_name_copy (report->instance, text_of (root, "instance"));
  report->phase = phase_of (text_of (root, "phase"));
  bd_name_copy (report->group, text_of (root, "group"));
  bd_name_copy (report->model, text_of (root, "model"));
  bd_name_copy (report->version, text_of (root, "version"));
  report->incarnation
      = json_integer_value (json_object_get (root, "incarnation"));
  running = json_integer_value (json_object_get (root, "running"));
  if (running > UINT32_MAX)
    running = UINT32_MAX;
  report->running = running > 0 ? (uint32_t)running : 0;
  bd_json_finish (&json);
  return is_report;
}

bool
bd_report_is_from (const struct bd_report *report, const char *instance)
{
  return report->instance[0] != '\0'
         && strcmp (report->instance, instance) == 0;
}

bool
bd_report_is_member (const struct bd_report *report, const char *group,
                     int64_t incarnation)
{
  return report->phase == BD_PHASE_READY && report->incarnation == incarnation
         && strcmp (report->group, group) == 0;
}

bool
bd_report_has_loaded (const struct bd_report *report, const char *model,
                      const char *version)
{
  return report->phase == BD_PHASE_READY && strcmp (report->model, model) == 0
         && strcmp (report->version, version) == 0;
}

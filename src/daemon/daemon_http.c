/* Pages of the daemon: health, readiness, metrics, models, state.  */

#include "daemon/daemon_internal.h"

#include <stdlib.h>
#include <string.h>

static void
respond_json (struct bd_http_exchange *exchange, uint32_t status,
              json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  bd_http_respond_text (exchange, status, "application/json",
                        text != NULL ? text : "{}");
  free (text);
  json_decref (value);
}

static void
serve_ready (struct bd_daemon *daemon, struct bd_http_exchange *exchange)
{
  const char *reason;
  bool is_ready = bd_daemon_is_ready (daemon, &reason);

  respond_json (exchange, is_ready ? 200 : 503,
                json_pack ("{s:b,s:s,s:I}", "ready", is_ready, "reason",
                           reason, "revision",
                           (json_int_t)daemon->config.revision));
}

static void
serve_metrics (struct bd_daemon *daemon, struct bd_http_exchange *exchange)
{
  char *text = bd_counters_render (&daemon->counters, exchange);

  bd_http_respond_text (exchange, 200, "text/plain; version=0.0.4",
                        text != NULL ? text : "");
}

static void
add_model (json_t *list, const char *id, const struct bd_service *service)
{
  json_array_append_new (list, json_pack ("{s:s,s:s,s:s}", "id", id, "object",
                                          "model", "owned_by", service->name));
}

static void
serve_models (struct bd_daemon *daemon, struct bd_http_exchange *exchange)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < daemon->config.service_count; i++)
    {
      const struct bd_service *service = daemon->config.services[i];
      if (!service->is_model)
        continue;
      add_model (list, service->model, service);
      for (uint32_t a = 0; a < service->adapter_count; a++)
        add_model (list, service->adapters[a], service);
    }
  respond_json (exchange, 200,
                json_pack ("{s:s,s:o}", "object", "list", "data", list));
}

static json_t *
list_members (const struct bd_daemon *daemon)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < daemon->membership.count; i++)
    {
      const struct bd_member *member = &daemon->membership.members[i];
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:b,s:I,s:b}", "name", member->name,
                     "data_centre", member->data_centre, "live",
                     member->is_live, "revision",
                     (json_int_t)member->config_revision, "relay",
                     bd_membership_is_relay (&daemon->membership, member)));
    }
  return list;
}

static json_t *
list_groups (struct bd_daemon *daemon)
{
  json_t *list = json_array ();
  const struct bd_assignment *assignment = daemon->controller.assignment;
  int64_t now_ms = bd_daemon_now_ms (daemon);

  for (uint32_t i = 0; assignment != NULL && i < assignment->count; i++)
    {
      const struct bd_group *group = &assignment->groups[i];
      json_t *members = json_array ();
      for (uint32_t m = 0; m < group->member_count; m++)
        json_array_append_new (members, json_string (group->members[m]));
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:I,s:s,s:s,s:s,s:o}", "id", group->id,
                     "service", group->service, "incarnation",
                     (json_int_t)group->incarnation, "version", group->version,
                     "domain", group->domain, "gate",
                     bd_gate_name (bd_daemon_gate (daemon, group, now_ms)),
                     "members", members));
    }
  return list;
}

static void
serve_state (struct bd_daemon *daemon, struct bd_http_exchange *exchange)
{
  respond_json (exchange, 200,
                json_pack ("{s:s,s:I,s:i,s:b,s:b,s:b,s:o,s:o}", "name",
                           daemon->settings->name, "revision",
                           (json_int_t)daemon->config.revision, "calls",
                           (int)daemon->job_count, "group_keeper",
                           daemon->controller.is_selected, "config_keeper",
                           bd_daemon_is_config_controller (daemon),
                           "platform_up", bd_store_is_up (&daemon->platform),
                           "members", list_members (daemon), "groups",
                           list_groups (daemon)));
}

struct page
{
  const char *path;
  void (*serve) (struct bd_daemon *daemon, struct bd_http_exchange *exchange);
};

static void
serve_health (struct bd_daemon *daemon, struct bd_http_exchange *exchange)
{
  (void)daemon;
  bd_http_respond_text (exchange, 200, "text/plain", "ok\n");
}

static const struct page pages[] = {
  { "/healthz", serve_health },
  { "/readyz", serve_ready },
  { "/metrics", serve_metrics },
  { "/v1/models", serve_models },
  { "/burdockdale/state", serve_state },
  { "/route-check", bd_daemon_serve_route_check },
};

bool
bd_daemon_serve_page (struct bd_daemon *daemon,
                      struct bd_http_exchange *exchange)
{
  for (size_t i = 0; i < sizeof pages / sizeof pages[0]; i++)
    if (strcmp (exchange->path, pages[i].path) == 0)
      {
        pages[i].serve (daemon, exchange);
        return true;
      }
  return false;
}

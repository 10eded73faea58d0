/* Hands requests over to other daemons while this one has no links to
   endpoints.

   A daemon that has lost them is still reached by callers, by the store and by
   the other daemons.  It goes on checking its callers' requests, and sends
   them as they came to the handover port of another daemon, which handles them
   like its own, once: it hands none on.  What it cannot serve, or not before
   a sender that stops ends, it refuses as not run, and the sender tries
   another one; the last one that is left lets it wait like its own.  While all
   of them have an older configuration than the sender, the request waits until
   one has read it.

   The sender counts the runs.  Each daemon may use one, so that a failure, or
   no response at all, stands for one run, and the next daemon gets the next;
   only the last one that is left may use all the others.  */

#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

enum
{
  PROBE_TIMEOUT_MS = 250,
  /* The same while the links are only doubtful.  */
  DOUBTFUL_PROBE_TIMEOUT_MS = 100,
  MAX_DAEMONS = 64
};

/* Version of the sender's configuration, and the runs that the daemon may
   use.  */
static const char config_header[] = "Burdockdale-Config";
static const char runs_header[] = "Burdockdale-Runs";
/* Sent to the last daemon that can take the request over.  */
static const char last_header[] = "Burdockdale-Last";
/* Time left until the sender ends, which stops.  */
static const char left_header[] = "Burdockdale-Left-Ms";
/* Time left until the sender ends the request for want of a first event or a
   response, or can do so at the earliest.  */
static const char wait_header[] = "Burdockdale-Wait-Ms";

bool
bd_edge_start_handover (struct bd_edge *edge,
                        const struct bd_http_server_ops *ops,
                        uint32_t max_connections)
{
  const struct bd_edge_settings *settings = edge->settings;

  return settings->handover_port == 0
         || bd_http_server_init (&edge->handover_server, edge->events,
                                 settings->address, settings->handover_port,
                                 max_connections, ops, edge);
}

/* The handover port of a daemon.  One that is known from the list or from a
   relay only has the same as this one.  */
static uint32_t
port_of (const struct bd_edge *edge, const struct bd_member *member)
{
  return member->http_port != 0 ? member->http_port
                                : edge->settings->handover_port;
}

/* Whether the member has an older configuration than this daemon, so that it
   would refuse.  The version of a member that only a relay reports is not
   known: it is taken to be older until the relays have passed this one on.  */
static bool
is_behind (const struct bd_edge *edge, const struct bd_member *member)
{
  if (member->incarnation == 0 || member->is_reported)
    return bd_edge_now_ms (edge) - edge->config_applied_ms
           < BD_EDGE_RELAY_DELAY_MS;
  return member->config_revision < edge->routes->version;
}

/* Whether the member can take the request over with the configuration of this
   daemon.  */
static bool
is_candidate (const struct bd_edge_request *request,
              const struct bd_member *member)
{
  return member->is_live && !member->is_stopping && !member->is_isolated
         && port_of (request->edge, member) != 0
         && !bd_call_was_tried (&request->call,
                                bd_hash (member->name, strlen (member->name)));
}

static bool
can_take_over (const struct bd_edge_request *request,
               const struct bd_regions_filter *regions,
               const struct bd_member *member)
{
  return is_candidate (request, member)
         && bd_regions_allows (regions, member->data_centre)
         && !is_behind (request->edge, member);
}

/* Fills in the daemons that can take the request over: those of this data
   centre, or of the others.  */
static uint32_t
find_daemons (const struct bd_edge_request *request, bool is_local,
              const struct bd_member **found)
{
  const struct bd_edge *edge = request->edge;
  struct bd_regions_filter regions = bd_edge_regions (request);
  uint32_t count = 0;

  for (uint32_t i = 1; i < edge->membership.count && count < MAX_DAEMONS; i++)
    {
      const struct bd_member *member = &edge->membership.members[i];

      if ((strcmp (member->data_centre, edge->settings->data_centre) == 0)
              == is_local
          && can_take_over (request, &regions, member))
        found[count++] = member;
    }
  return count;
}

bool
bd_edge_find_daemon (const struct bd_edge_request *request,
                     struct bd_edge_target *target)
{
  const struct bd_edge *edge = request->edge;
  const struct bd_member *found[MAX_DAEMONS];
  const struct bd_member *chosen;
  uint32_t count;

  if (request->is_taken_over || edge->settings->handover_port == 0)
    return false;
  count = find_daemons (request, true, found);
  if (count == 0)
    count = find_daemons (request, false, found);
  if (count == 0)
    return false;
  chosen = found[gsl_rng_uniform_int (edge->rng, count)];
  memset (target, 0, sizeof *target);
  target->is_daemon = true;
  target->candidates = count;
  bd_name_copy (target->endpoint, chosen->name);
  bd_name_copy (target->address, chosen->address);
  target->port = port_of (edge, chosen);
  return true;
}

bool
bd_edge_awaits_daemon (const struct bd_edge_request *request)
{
  const struct bd_edge *edge = request->edge;
  struct bd_regions_filter regions = bd_edge_regions (request);

  if (request->is_taken_over || edge->settings->handover_port == 0
      || bd_edge_now_ms (edge) - edge->config_applied_ms
             > edge->settings->bounds.config_apply_ms)
    return false;
  for (uint32_t i = 1; i < edge->membership.count; i++)
    if (is_candidate (request, &edge->membership.members[i])
        && bd_regions_allows (&regions,
                              edge->membership.members[i].data_centre))
      return true;
  return false;
}

bool
bd_edge_lacks_allowed_daemon (const struct bd_edge_request *request)
{
  const struct bd_edge *edge = request->edge;
  struct bd_regions_filter regions = bd_edge_regions (request);
  bool is_any_known = false;

  if (request->is_taken_over || edge->settings->handover_port == 0)
    return false;
  for (uint32_t i = 1; i < edge->membership.count; i++)
    {
      const struct bd_member *member = &edge->membership.members[i];

      if (!is_candidate (request, member))
        continue;
      if (bd_regions_allows (&regions, member->data_centre))
        return false;
      is_any_known = true;
    }
  return is_any_known;
}

bool
bd_edge_has_next_daemon (const struct bd_edge_request *request)
{
  const struct bd_member *found[MAX_DAEMONS];

  return find_daemons (request, true, found) > 0
         || find_daemons (request, false, found) > 0;
}

uint32_t
bd_edge_handover_runs (const struct bd_edge_request *request)
{
  const struct bd_call *call = &request->call;

  if (call->max_runs <= call->runs || request->has_next_daemon)
    return 1;
  return call->max_runs - call->runs;
}

/* How long the request may wait at another daemon.  This one can be stopped at
   once, and then knows of a request without a response only that it has been
   sent.  Callers of streams leave before.  */
static int64_t
wait_left_ms (const struct bd_edge_request *request, int64_t now_ms)
{
  int64_t end_ms = bd_edge_first_event_end_ms (request);

  if (request->caller_gap_ms == 0)
    end_ms = MIN (end_ms, bd_edge_earliest_end_ms (request->edge));
  return end_ms - now_ms;
}

uint32_t
bd_edge_handover_headers (void *ctx, const struct bd_edge_request *request,
                          struct bd_http_header_field *headers, uint32_t max)
{
  const struct bd_header_names *names = request->edge->adapter->headers;
  int64_t now_ms = bd_edge_now_ms (request->edge);
  int64_t end_ms = bd_edge_end_ms (request);
  struct bd_http_header_field all[BD_EDGE_MAX_HANDOVER_HEADERS] = {
    { config_header,
      talloc_asprintf (ctx, "%lld",
                       (long long)request->edge->routes->version) },
    { runs_header, talloc_asprintf (ctx, "%u", request->call.attempt_runs) },
  };
  uint32_t count = 2;

  if (request->key != NULL)
    all[count++] = (struct bd_http_header_field){
      names->authorization,
      talloc_asprintf (ctx, "%s%s", names->key_scheme, request->key)
    };
  if (!request->has_next_daemon)
    all[count++] = (struct bd_http_header_field){ last_header, "1" };
  if (end_ms != INT64_MAX)
    all[count++] = (struct bd_http_header_field){
      left_header, talloc_asprintf (ctx, "%lld", (long long)(end_ms - now_ms))
    };
  if (!request->has_stream_begun)
    all[count++] = (struct bd_http_header_field){
      wait_header,
      talloc_asprintf (ctx, "%lld", (long long)wait_left_ms (request, now_ms))
    };
  if (count > max)
    count = max;
  memcpy (headers, all, count * sizeof all[0]);
  return count;
}

bool
bd_edge_is_handover_header (const char *name)
{
  return strcasecmp (name, config_header) == 0
         || strcasecmp (name, runs_header) == 0
         || strcasecmp (name, last_header) == 0
         || strcasecmp (name, left_header) == 0
         || strcasecmp (name, wait_header) == 0;
}

bool
bd_edge_is_taken_over (const struct bd_edge *edge,
                       const struct bd_http_exchange *x)
{
  return x->server == &edge->handover_server;
}

bool
bd_edge_is_last_resort (const struct bd_http_exchange *x)
{
  return bd_http_header (x, last_header) != NULL;
}

/* The end of the time that is left by a header; 0 without the header.  */
static int64_t
read_end_ms (const struct bd_edge *edge, const struct bd_http_exchange *x,
             const char *name)
{
  const char *text = bd_http_header (x, name);
  long long left_ms = text != NULL ? strtoll (text, NULL, 10) : 0;

  if (text == NULL)
    return 0;
  return bd_edge_now_ms (edge) + CLAMP (left_ms, 0, INT32_MAX);
}

int64_t
bd_edge_sender_end_ms (const struct bd_edge *edge,
                       const struct bd_http_exchange *x)
{
  return read_end_ms (edge, x, left_header);
}

int64_t
bd_edge_sender_wait_end_ms (const struct bd_edge *edge,
                            const struct bd_http_exchange *x)
{
  return read_end_ms (edge, x, wait_header);
}

bool
bd_edge_can_take_over (const struct bd_edge *edge,
                       const struct bd_http_exchange *x)
{
  const char *version = bd_http_header (x, config_header);

  return edge->routes != NULL && version != NULL
         && edge->routes->version >= strtoll (version, NULL, 10);
}

uint32_t
bd_edge_max_runs (const struct bd_http_exchange *x, uint32_t max_runs)
{
  const char *text = bd_http_header (x, runs_header);
  unsigned long runs = text != NULL ? strtoul (text, NULL, 10) : 0;

  return runs > 0 && (max_runs == 0 || runs < max_runs) ? (uint32_t)runs
                                                        : max_runs;
}

void
bd_edge_note_contact (struct bd_edge *edge, const char *service)
{
  bd_links_note_contact (&bd_edge_service (edge, service)->links,
                         bd_edge_now_ms (edge));
}

bool
bd_edge_is_isolated (const struct bd_edge *edge)
{
  return edge->membership.members[0].is_isolated;
}

static bool
has_groups (const struct bd_edge *edge, const char *name)
{
  const struct bd_route_service *service
      = edge->routes != NULL ? bd_routes_service (edge->routes, name) : NULL;

  return service != NULL && service->has_engine;
}

/* The links to a service are found lost, or back.  What was observed of
   endpoints is forgotten both times: replies were missing for this reason.  */
static void
handle_change (struct bd_edge *edge, const struct bd_edge_service *service)
{
  const struct bd_links *links = &service->links;
  int64_t now_ms = bd_edge_now_ms (edge);

  bd_log (links->is_lost ? "links-lost" : "links-back", "service",
          service->name, "contact_age_ms", BD_NUM (now_ms - links->contact_ms),
          "lost_for_ms", BD_NUM (links->is_lost ? 0 : now_ms - links->lost_ms),
          NULL);
  if (links->is_lost)
    bd_count (&edge->counters, BD_COUNT_LINKS_LOST);
  if (!has_groups (edge, service->name))
    return;
  bd_fleet_reset_liveness (&edge->fleet, now_ms);
  edge->membership.members[0].is_isolated = links->is_lost;
  bd_edge_send_status (edge);
}

void
bd_edge_note_silence (struct bd_edge *edge, const char *service_name,
                      const char *endpoint, int64_t sent_ms)
{
  struct bd_edge_service *service = bd_edge_service (edge, service_name);

  if (bd_edge_has_stalled_since (edge, sent_ms))
    return;
  if (bd_links_note_silence (&service->links,
                             bd_hash (endpoint, strlen (endpoint)), sent_ms,
                             bd_edge_now_ms (edge)))
    handle_change (edge, service);
}

/* A probe in flight.  */
struct link_probe
{
  struct bd_edge *edge;
  char service[BD_NAME_SIZE];
  char id[BD_NAME_SIZE];
  uint64_t endpoint; /* The hash of its id.  */
  int64_t sent_ms;
};

static void
end_probe (struct link_probe *probe, bool is_answered)
{
  struct bd_edge_service *service
      = bd_edge_service (probe->edge, probe->service);

  if ((is_answered || !bd_edge_has_stalled_since (probe->edge, probe->sent_ms))
      && bd_links_note_probe (&service->links, probe->endpoint, is_answered,
                              probe->sent_ms, bd_edge_now_ms (probe->edge)))
    handle_change (probe->edge, service);
  talloc_free (probe);
}

static void
handle_probe_done (void *ctx, struct bd_http_call *call,
                   const struct bd_http_result *result)
{
  struct link_probe *probe = ctx;
  struct bd_fleet_endpoint *endpoint
      = bd_fleet_endpoint (&probe->edge->fleet, probe->id);

  bd_edge_note_unusable_report (probe->edge, probe->id, result);
  if (endpoint != NULL)
    bd_edge_note_cold (probe->edge, endpoint, call);
  end_probe (probe,
             bd_http_call_status (call) != 0 || result->malformed != NULL);
}

static const struct bd_http_call_ops probe_ops = { .done = handle_probe_done };

/* Draws one of the endpoints of a service that are listed; one that was silent
   only if all were.  */
static const struct bd_fleet_endpoint *
draw_endpoint (const struct bd_edge *edge,
               const struct bd_edge_service *service)
{
  const struct bd_fleet_endpoint *drawn = NULL;
  const struct bd_fleet_endpoint *silent = NULL;
  unsigned long seen = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->fleet.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct bd_fleet_endpoint *endpoint = value;
      const char *id = endpoint->entry.id;

      if (!endpoint->is_listed
          || strcmp (endpoint->entry.service, service->name) != 0)
        continue;
      if (!service->links.is_lost
          && bd_links_is_silent (&service->links, bd_hash (id, strlen (id))))
        silent = endpoint;
      else if (gsl_rng_uniform_int (edge->rng, ++seen) == 0)
        drawn = endpoint;
    }
  return drawn != NULL ? drawn : silent;
}

static void
probe_service (struct bd_edge *edge, const struct bd_edge_service *service)
{
  const struct bd_fleet_endpoint *endpoint = draw_endpoint (edge, service);
  uint32_t timeout_ms
      = service->links.is_lost ? PROBE_TIMEOUT_MS : DOUBTFUL_PROBE_TIMEOUT_MS;
  struct link_probe *probe;
  struct bd_http_request out
      = { .method = "GET",
          .timeout_ms = timeout_ms,
          .connect_timeout_ms = timeout_ms,
          .max_response_bytes = BD_EDGE_MAX_REPORT_BYTES,
          .has_new_connection = true };

  if (endpoint == NULL)
    return;
  probe = talloc_zero (edge, struct link_probe);
  probe->edge = edge;
  probe->endpoint = bd_hash (endpoint->entry.id, strlen (endpoint->entry.id));
  probe->sent_ms = bd_edge_now_ms (edge);
  bd_name_copy (probe->service, service->name);
  bd_name_copy (probe->id, endpoint->entry.id);
  out.url = talloc_asprintf (probe, "http://%s:%u%s", endpoint->entry.address,
                             endpoint->entry.port, edge->adapter->report_path);
  bd_count (&edge->counters, BD_COUNT_ENDPOINT_POLLS);
  if (bd_http_send (&edge->client, &out, &probe_ops, probe) == NULL)
    end_probe (probe, false);
}

void
bd_edge_probe_links (struct bd_edge *edge)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, edge->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bd_edge_service *service = value;

      if (bd_links_start_probe (&service->links, bd_edge_now_ms (edge)))
        probe_service (edge, service);
    }
}

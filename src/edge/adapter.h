/* Adapters: tables of functions and names that connect the edge daemon to a
   platform.

   The edge daemon works with configurations, endpoints, reports and orders; an
   adapter parses and formats them as one platform defines them.  Supporting
   another platform takes another adapter.  */

#ifndef BD_EDGE_ADAPTER_H
#define BD_EDGE_ADAPTER_H

#include "fleet/fleet.h"
#include "replicas/replicas.h"
#include "routes/routes.h"
#include "store/object_api.h"

#include <jansson.h>

/* Header names of requests and responses.  */
struct bd_header_names
{
  const char *attempt_id;  /* Id of a caller's attempt; endpoints echo it.  */
  const char *deadline_ms; /* Time that the sender waits for the response.  */
  const char *account;     /* Name of the client account.  */
  const char *authorization;   /* Carries the API key.  */
  const char *key_scheme;      /* Precedes the key, with a trailing blank.  */
  const char *target_endpoint; /* Id of the endpoint that is addressed.  */
  const char *response_seal; /* Set by an endpoint on a complete response.  */
  const char *not_run; /* Set when the endpoint has not run the request.  */
  const char *load;    /* Running and waiting requests, and slots.  */
  const char *model;
  const char *token_counts; /* Prompt tokens, maximum output tokens.  */
  const char *prompt_parts; /* ID:TOKENS of each part, separated by commas.  */
  const char *output_length_hint; /* Expected output tokens.  */
  const char *last_event_id;
  const char *priority_class; /* 0 is served first; 5 when absent.  */
  const char *retry_after;    /* Seconds, with fractions.  */
  const char *is_leaving; /* "1" in the responses of a leaving endpoint.  */
  /* Requests a second that the endpoint accepts from all daemons together.  */
  const char *request_limit;
  const char *cold_ms; /* How much longer the endpoint is cold.  */
};

struct bd_adapter
{
  const char *name;
  const struct bd_header_names *headers;

  /* The platform's store.  make_api() creates the api argument of these
     functions on ctx.  */
  const struct bd_object_api_ops *objects;
  void *(*make_api) (void *ctx, struct bd_http_client *client,
                     const char *url);

  /* Key of the configuration, and key prefixes of the configuration and of the
     instance list.  */
  const char *configuration_key;
  const char *configuration_prefix;
  const char *instances_prefix;
  /* Key prefix of the evacuations; the name of an object below it is that of a
     data centre.  */
  const char *evacuations_prefix;

  /* Parses the configuration; the result is allocated on ctx.  Logs the faults
     and returns NULL when it is invalid.  */
  struct bd_routes *(*read_routes) (void *ctx, const json_t *value);

  /* Parses an entry of the instance list; false when it describes no
     endpoint.  */
  bool (*read_entry) (const char *id, const json_t *value,
                      struct bd_endpoint_entry *entry);

  /* Parses an endpoint's report; false when it is invalid.  */
  bool (*read_report) (const json_t *value, struct bd_endpoint_entry *report);

  /* Formats the body of an order; the result is allocated on ctx.  */
  char *(*write_order) (void *ctx, const struct bd_order *order, int64_t term);

  const char *report_path;
  const char *order_path;
  const char *ready_path; /* Path at which this daemon serves its readiness. */
};

#endif

/* How the outside world speaks, as tables of functions and names.

   The edge daemon knows what a configuration, an endpoint, a report and an
   order are; a dialect knows how a platform writes them.  A new platform is a
   new dialect.  */

#ifndef BD_EDGE_ADAPTER_H
#define BD_EDGE_ADAPTER_H

#include "fleet/fleet.h"
#include "replicas/replicas.h"
#include "routes/routes.h"
#include "store/object_api.h"

#include <jansson.h>

/* Header names on requests and answers.  */
struct bd_header_names
{
  const char *attempt_id;      /* Of one attempt of a client; echoed.  */
  const char *deadline_ms;     /* Time that the sender will wait.  */
  const char *account;         /* Name of the client account.  */
  const char *authorization;   /* Carries the API key.  */
  const char *key_scheme;      /* Before the key, with a blank.  */
  const char *target_endpoint; /* Id that must answer.  */
  const char *response_seal;   /* Marks a whole answer of an endpoint.  */
  const char *not_run;         /* The endpoint has not run the request.  */
  const char *load;            /* Running, waiting, slots.  */
  const char *model;
  const char *token_counts;       /* Prompt tokens, most answer tokens.  */
  const char *output_length_hint; /* Expected answer tokens.  */
  const char *last_event_id;
  const char *priority_class; /* 0 goes first, 5 when absent.  */
  const char *retry_after;    /* Seconds, with fractions.  */
};

struct bd_adapter
{
  const char *name;
  const struct bd_header_names *headers;

  /* The store of the platform; api is made by make_api() on ctx.  */
  const struct bd_object_api_ops *objects;
  void *(*make_api) (void *ctx, struct bd_http_client *client,
                     const char *url);

  /* Object that holds the configuration, and prefixes of the lists.  */
  const char *configuration_key;
  const char *configuration_prefix;
  const char *instances_prefix;

  /* The configuration on ctx; NULL after logging what is wrong.  */
  struct bd_routes *(*read_routes) (void *ctx, const json_t *value);

  /* An entry of the instance list; false when it names no endpoint.  */
  bool (*read_entry) (const char *id, const json_t *value,
                      struct bd_endpoint_entry *entry);

  /* An endpoint's own report; false when it is none.  */
  bool (*read_report) (const json_t *value, struct bd_endpoint_entry *report);

  /* The body of an order, on ctx.  */
  char *(*write_order) (void *ctx, const struct bd_order *order, int64_t term);

  const char *report_path;
  const char *order_path;
  const char *ready_path; /* Of this daemon, for the balancer.  */
};

#endif

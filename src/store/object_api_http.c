/* The Object API over HTTP and JSON.  */

#include "store/object_api.h"

#include "base/json.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct pending
{
  enum bd_object_kind kind;
  bd_object_done *done;
  void *ctx;
};

/* The error of a response that is too large.  The store has responded, so that
   other calls need not fail for it.  */
static enum bd_error
error_of_excess (const struct bd_http_result *result)
{
  bd_log ("store-response-too-large", "part", result->excess, "status",
          BD_NUM (result->status), NULL);
  return result->status == 200 || result->status == 201 ? BD_ERR_UNREADABLE
                                                        : BD_ERR_PLATFORM_DOWN;
}

static enum bd_error
error_of_status (const struct bd_http_result *result)
{
  if (result->malformed != NULL)
    {
      bd_log ("store-response-malformed", "part", result->malformed, NULL);
      return BD_ERR_PLATFORM_DOWN;
    }
  if (result->excess != NULL)
    return error_of_excess (result);
  if (!result->is_complete)
    return BD_ERR_PLATFORM_DOWN;
  switch (result->status)
    {
    case 200:
    case 201:
      return BD_OK;
    case 404:
      return BD_ERR_NOT_FOUND;
    case 412:
      return BD_ERR_CONFLICT;
    case 429:
      return BD_ERR_RATE_LIMITED;
    default:
      return BD_ERR_PLATFORM_DOWN;
    }
}

/* Takes the values out that can't be decoded as a whole.  */
static void
mark_damaged_items (const struct bd_json *body, json_t *items)
{
  json_t *item;
  size_t i;

  json_array_foreach (items, i, item)
    if (json_is_object (item) && bd_json_is_damaged (body, item))
      {
        json_object_set_new (item, "value", json_null ());
        json_object_set_new (item, "is_damaged", json_true ());
      }
}

/* Whether the part of the body on which the reply depends was decoded: of a
   single object all, of a list everything but the items.  */
static bool
is_readable (const struct pending *pending, const struct bd_json *body)
{
  switch (pending->kind)
    {
    case BD_OBJECT_LIST:
    case BD_OBJECT_WATCH:
      return json_is_object (body->value)
             && !(bd_json_is_damaged (body, body->value)
                  && json_is_null (json_object_get (body->value, "items")));
    case BD_OBJECT_READ:
    case BD_OBJECT_WRITE:
      break;
    }
  return body->value != NULL && !bd_json_is_damaged (body, body->value);
}

static void
handle_done (void *ctx, struct bd_http_call *call,
             const struct bd_http_result *result)
{
  struct pending *pending = ctx;
  struct bd_object_reply reply = { .error = error_of_status (result) };
  const char *etag = bd_http_call_header (call, "ETag");
  const char *era = bd_http_call_header (call, "Store-Generation");
  struct bd_json body;

  bd_json_load (&body, result->body, result->body_size);
  if (reply.error == BD_OK && !is_readable (pending, &body))
    reply.error = BD_ERR_UNREADABLE;
  reply.era = era != NULL ? strtoll (era, NULL, 10) : 0;
  reply.version = etag != NULL ? strtoll (etag, NULL, 10) : 0;
  reply.revision
      = json_integer_value (json_object_get (body.value, "revision"));
  reply.items = json_object_get (body.value, "items");
  reply.value = body.value;
  mark_damaged_items (&body, reply.items);
  pending->done (pending->ctx, &reply);
  bd_json_finish (&body);
  talloc_free (pending);
}

static const struct bd_http_call_ops call_ops = { .done = handle_done };

static char *
make_url (void *ctx, const struct bd_object_api_http *api,
          const struct bd_object_op *op)
{
  switch (op->kind)
    {
    case BD_OBJECT_LIST:
      return talloc_asprintf (ctx, "%s/list?prefix=%s", api->url, op->key);
    case BD_OBJECT_WATCH:
      return talloc_asprintf (
          ctx, "%s/watch?prefix=%s&since=%lld&timeout_ms=%u", api->url,
          op->key, (long long)op->version, op->timeout_ms);
    case BD_OBJECT_READ:
    case BD_OBJECT_WRITE:
      break;
    }
  return talloc_asprintf (ctx, "%s/objects/%s", api->url, op->key);
}

static bool
start (void *api_ctx, const struct bd_object_op *op, bd_object_done *done,
       void *ctx)
{
  enum
  {
    WATCH_MARGIN_MS = 2000
  };
  struct bd_object_api_http *api = api_ctx;
  struct pending *pending = talloc_zero (NULL, struct pending);
  char expected[32];
  struct bd_http_header_field headers[]
      = { { "If-Match", expected },
          { "Content-Type", "application/json" },
          { NULL, NULL } };
  struct bd_http_request request
      = { .method = "GET", .timeout_ms = op->timeout_ms };
  struct bd_http_call *call;

  pending->kind = op->kind;
  pending->done = done;
  pending->ctx = ctx;
  request.url = make_url (pending, api, op);
  snprintf (expected, sizeof expected, "%lld", (long long)op->version);
  if (op->kind == BD_OBJECT_WATCH)
    request.timeout_ms += WATCH_MARGIN_MS;
  if (op->kind == BD_OBJECT_WRITE)
    {
      if (op->version == BD_VERSION_NONE)
        headers[0] = (struct bd_http_header_field){ "If-None-Match", "*" };
      request.method = "PUT";
      request.headers = headers;
      request.body = op->value;
      request.body_size = strlen (op->value);
    }
  call = bd_http_send (api->client, &request, &call_ops, pending);
  if (call == NULL)
    {
      talloc_free (pending);
      return false;
    }
  /* If the call is dropped at shutdown, this frees pending as well.  */
  talloc_steal (call, pending);
  return true;
}

const struct bd_object_api_ops bd_object_api_http_ops = { .start = start };

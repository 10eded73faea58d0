/* Runs libcurl's multi interface on the event loop.  */

#include "http/client.h"

#include "base/crash.h"
#include "base/ids.h"
#include "http/chunks.h"
#include "http/http_internal.h"
#include "http/response_head.h"

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  CONNECT_TIMEOUT_MS = 2000,
  /* A peer that acknowledges no data for this long is treated as disconnected,
     because a network partition causes no reset.  */
  UNACKNOWLEDGED_TIMEOUT_MS = 3000,
  MAX_BODY_BYTES = 4 << 20,
  /* Of all response heads of a call, interim ones and trailers included.  */
  MAX_HEAD_BYTES = 64 << 10,
  /* Response headers for which room is made at once.  */
  HEADERS_STEP = 24,
  /* libcurl reads at most this much at a time, and as long as there is more up
     to a hundred times before it returns.  */
  READ_BYTES = 2 << 10,
  /* Least framing of a chunk.  */
  CHUNK_BYTES = sizeof "1\r\n\r\n" - 1,
  /* What a call may bring of no use, besides as much as is of use.  */
  MAX_EXCESS_BYTES = 16 << 10
};

struct socket_watch;

struct bd_http_call
{
  struct bd_http_client *client;
  const struct bd_http_call_ops *ops;
  void *ctx;
  CURL *easy;
  curl_socket_t socket; /* The last one that was opened for it.  */
  struct curl_slist *headers;
  char *request_body;
  char *body;
  size_t body_size;
  size_t body_capacity;
  size_t max_body_size;
  size_t head_size;
  /* That its connection had received before; UINT64_MAX if unknown.  */
  uint64_t old_bytes;
  uint64_t passed_bytes;  /* Passed to the callbacks of libcurl.  */
  uint64_t pieces;        /* In which the body was passed.  */
  uint64_t useful_bytes;  /* Of the body.  */
  uint64_t dropped_bytes; /* The same, of no use.  */
  size_t held_bytes;      /* By the callbacks.  */
  struct bd_memory_share share;
  struct bd_response_head head;
  struct bd_chunks chunks;
  const char *malformed;      /* See struct bd_http_result.  */
  const char *excess;         /* The same.  */
  struct socket_watch *watch; /* Of its socket; NULL if there is none.  */
  bool has_to_end;            /* Outside of the callbacks of libcurl.  */
  bool has_head;              /* The response head was reported.  */
  bool is_sent_once;
  bool was_started; /* A connection has been assigned to it once.  */
  bool is_stale;    /* Its kept connection has ended or brings bytes.  */
  bool is_paused;
  bool is_cancelled;
  bool has_ended;   /* Freed when the last callback returns.  */
  bool is_rejected; /* Fails when the current callback returns.  */
  uint32_t header_count;
  struct bd_http_header_field *response_headers;
  uint32_t header_capacity;
  struct bd_http_call *prev;
  struct bd_http_call *next;
};

static void
unlink_call (struct bd_http_call *call)
{
  if (call->prev != NULL)
    call->prev->next = call->next;
  else
    call->client->calls = call->next;
  if (call->next != NULL)
    call->next->prev = call->prev;
}

/* A socket in the event loop.  */
struct socket_watch
{
  struct bd_http_client *client;
  struct bd_http_call *call; /* That uses it; NULL if none does.  */
  curl_socket_t socket;
  struct tevent_fd *fd;
};

/* The call uses the socket of watch, or none.  */
static void
set_watch (struct bd_http_call *call, struct socket_watch *watch)
{
  if (call->watch != NULL)
    call->watch->call = NULL;
  call->watch = watch;
  if (watch == NULL)
    return;
  if (watch->call != NULL)
    watch->call->watch = NULL;
  watch->call = call;
}

static void
free_call (struct bd_http_call *call)
{
  bd_memory_leave (&call->share);
  set_watch (call, NULL);
  curl_multi_remove_handle (call->client->multi, call->easy);
  curl_slist_free_all (call->headers);
  curl_easy_cleanup (call->easy);
  unlink_call (call);
  talloc_free (call);
}

/* What of the response is malformed, by the checks of this client or by those
   of libcurl; NULL if nothing is.  */
static const char *
find_malformed (const struct bd_http_call *call, CURLcode code)
{
  if (call->malformed != NULL || call->head.malformed != NULL)
    return call->malformed != NULL ? call->malformed : call->head.malformed;
  if (!call->was_started)
    return NULL;
  switch (code)
    {
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_FUNCTION_ARGUMENT:
      return "head";
    default:
      return NULL;
    }
}

static void
finish_call (struct bd_http_call *call, CURLcode code)
{
  struct bd_http_result result = { .malformed = find_malformed (call, code) };

  if (result.malformed != NULL)
    bd_crash_enter ("a malformed response is refused", result.malformed);
  /* libcurl does not report a connection that ends within a head.  */
  result.is_complete
      = code == CURLE_OK && call->head.is_whole && result.malformed == NULL;
  /* The code of the result says nothing of it: it may be that of a second
     connection.  */
  result.was_sent = call->was_started;
  result.has_timed_out = code == CURLE_OPERATION_TIMEDOUT;
  /* A line that is too long for libcurl.  */
  if (code == CURLE_OUT_OF_MEMORY && call->excess == NULL
      && !call->head.is_whole)
    call->excess = "head";
  result.excess = result.is_complete ? NULL : call->excess;
  result.body = "";
  if (result.malformed == NULL)
    {
      result.status = bd_http_call_status (call);
      result.body = call->body != NULL ? call->body : "";
      result.body_size = call->body_size;
    }
  else
    call->header_count = 0;
  /* What done keeps is a share of its own.  */
  bd_memory_leave (&call->share);
  call->has_ended = true;
  if (!call->is_cancelled)
    call->ops->done (call->ctx, call, &result);
  free_call (call);
}

/* Sends the request of a call that was assigned a stale connection on a new
   one.  Nothing of a response has been read on its handle.  */
static void
restart_call (struct bd_http_call *call)
{
  call->is_stale = false;
  curl_multi_remove_handle (call->client->multi, call->easy);
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 0L);
  curl_multi_add_handle (call->client->multi, call->easy);
}

static void
finish_calls (struct bd_http_client *client)
{
  struct bd_http_call *next;
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (client->multi, &remaining)) != NULL)
    {
      struct bd_http_call *call = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      if (call->is_stale && !call->is_cancelled)
        restart_call (call);
      else
        finish_call (call, message->data.result);
    }
  if (!client->has_cancelled)
    return;
  client->has_cancelled = false;
  for (struct bd_http_call *call = client->calls; call != NULL; call = next)
    {
      next = call->next;
      if (call->is_cancelled)
        free_call (call);
    }
}

static bool
is_excessive (const struct bd_http_call *call, uint64_t bytes)
{
  return bytes > MAX_EXCESS_BYTES + call->useful_bytes;
}

static struct bd_http_call *
find_call_to_end (const struct bd_http_client *client)
{
  for (struct bd_http_call *call = client->calls; call != NULL;
       call = call->next)
    if (call->has_to_end && !call->is_cancelled)
      return call;
  return NULL;
}

static void
end_calls (void *ctx)
{
  struct bd_http_client *client = ctx;
  struct bd_http_call *call;

  client->end_timer = NULL;
  while ((call = find_call_to_end (client)) != NULL)
    finish_call (call, CURLE_WRITE_ERROR);
}

/* Ends a call outside of the callbacks of libcurl.  excess may be NULL.  */
static void
end_call_soon (struct bd_http_call *call, const char *excess)
{
  struct bd_http_client *client = call->client;

  call->has_to_end = true;
  if (call->excess == NULL)
    call->excess = excess;
  if (client->end_timer == NULL)
    client->end_timer
        = bd_timer_add (client->events, client->events, 0, end_calls, client);
}

static void
handle_evicted (void *ctx)
{
  end_call_soon (ctx, "buffers");
}

static bool
update_share (struct bd_http_call *call)
{
  return bd_memory_resize (
      &call->share,
      call->head_size + call->body_capacity + call->held_bytes
          + call->header_capacity * sizeof *call->response_headers);
}

/* All bytes that a socket has received; 0 if that is unknown.  */
static uint64_t
count_received_bytes (curl_socket_t socket)
{
  struct tcp_info info;

  bd_http_get_tcp_info (socket, &info);
  return info.tcpi_bytes_received;
}

static uint64_t
count_unread_bytes (curl_socket_t socket)
{
  int unread = 0;

  return ioctl (socket, FIONREAD, &unread) == 0 ? (uint64_t)unread : 0;
}

/* Whether too much of what was read from the socket is framing, of which
   libcurl passes on nothing.  */
static bool
has_excessive_framing (const struct bd_http_call *call, curl_socket_t socket)
{
  uint64_t total = count_received_bytes (socket);
  uint64_t received = total - call->old_bytes;

  if (total < call->old_bytes)
    return false;
  return received > call->passed_bytes
         && is_excessive (call, received - call->passed_bytes)
         && received > call->passed_bytes + count_unread_bytes (socket)
         && is_excessive (call, received - call->passed_bytes
                                    - count_unread_bytes (socket));
}

/* Names the call whose socket is read or written, for the last line of the
   process.  */
static void
note_call (const struct bd_http_call *call)
{
  const char *url = NULL;

  if (call != NULL)
    curl_easy_getinfo (call->easy, CURLINFO_EFFECTIVE_URL, &url);
  bd_crash_enter ("the socket of a call is read or written", url);
}

static void
handle_watch (struct tevent_context *events, struct tevent_fd *fd,
              uint16_t flags, void *private_data)
{
  struct socket_watch *watch = private_data;
  struct bd_http_client *client = watch->client;
  struct bd_http_call *call = watch->call;
  curl_socket_t socket = watch->socket;
  int running;
  int action = 0;

  (void)events;
  (void)fd;
  if ((flags & TEVENT_FD_READ) != 0)
    action |= CURL_CSELECT_IN;
  if ((flags & TEVENT_FD_WRITE) != 0)
    action |= CURL_CSELECT_OUT;
  note_call (call);
  curl_multi_socket_action (client->multi, socket, action, &running);
  /* No call has been freed, but libcurl may have freed the watch.  */
  if (call != NULL && call->watch == watch && (flags & TEVENT_FD_READ) != 0
      && has_excessive_framing (call, socket))
    end_call_soon (call, "framing");
  finish_calls (client);
}

static int
handle_socket (CURL *easy, curl_socket_t socket, int what, void *ctx,
               void *socket_ctx)
{
  struct bd_http_client *client = ctx;
  struct socket_watch *watch = socket_ctx;
  struct bd_http_call *call = NULL;
  uint16_t flags = 0;

  if (what == CURL_POLL_REMOVE)
    {
      if (watch != NULL && watch->call != NULL)
        set_watch (watch->call, NULL);
      curl_multi_assign (client->multi, socket, NULL);
      talloc_free (watch);
      return 0;
    }
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &call);
  if ((what & CURL_POLL_IN) != 0)
    flags |= TEVENT_FD_READ;
  if ((what & CURL_POLL_OUT) != 0)
    flags |= TEVENT_FD_WRITE;
  if (watch != NULL)
    {
      set_watch (call, watch);
      tevent_fd_set_flags (watch->fd, flags);
      return 0;
    }
  watch = talloc_zero (client->events, struct socket_watch);
  watch->client = client;
  watch->socket = socket;
  watch->fd = tevent_add_fd (client->events, watch, socket, flags,
                             handle_watch, watch);
  set_watch (call, watch);
  curl_multi_assign (client->multi, socket, watch);
  return 0;
}

static void
handle_timeout (void *private_data)
{
  struct bd_http_client *client = private_data;
  int running;

  client->timer = NULL;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_calls (client);
}

static int
handle_timer (CURLM *multi, long timeout_ms, void *ctx)
{
  struct bd_http_client *client = ctx;

  (void)multi;
  TALLOC_FREE (client->timer);
  if (timeout_ms >= 0)
    client->timer = bd_timer_add (client->events, client->events, timeout_ms,
                                  handle_timeout, client);
  return 0;
}

bool
bd_http_client_init (struct bd_http_client *client,
                     struct tevent_context *events, uint32_t max_idle)
{
  memset (client, 0, sizeof *client);
  client->events = events;
  client->multi = curl_multi_init ();
  if (client->multi == NULL)
    return false;
  client->sockets = g_hash_table_new (g_str_hash, g_str_equal);
  client->names = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, handle_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, handle_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long)max_idle);
  curl_multi_setopt (client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  return true;
}

void
bd_http_client_finish (struct bd_http_client *client)
{
  if (client->multi == NULL)
    return;
  while (client->calls != NULL)
    free_call (client->calls);
  curl_multi_cleanup (client->multi);
  client->multi = NULL;
  g_hash_table_unref (client->sockets);
  g_hash_table_unref (client->names);
  TALLOC_FREE (client->timer);
  TALLOC_FREE (client->end_timer);
}

void
bd_http_client_set_memory (struct bd_http_client *client,
                           struct bd_memory *memory)
{
  client->memory = memory;
}

static bool
is_accepted (struct bd_http_call *call)
{
  bool is_own;

  if (call->ops->accepts == NULL)
    return true;
  call->client->callback_depth++;
  is_own = call->ops->accepts (call->ctx, call);
  call->client->callback_depth--;
  return is_own && !call->is_cancelled;
}

static char *
copy_text (char **out, const char *text, size_t size)
{
  char *copy = *out;

  memcpy (copy, text, size);
  copy[size] = '\0';
  *out += size + 1;
  return copy;
}

/* Returns false if the call was evicted from the account.  */
static bool
add_header (struct bd_http_call *call, const struct bd_response_field *field)
{
  char *out;
  const char *name;

  if (call->header_count == call->header_capacity)
    {
      call->header_capacity += HEADERS_STEP;
      if (!update_share (call))
        return false;
      call->response_headers = talloc_realloc (call, call->response_headers,
                                               struct bd_http_header_field,
                                               call->header_capacity);
    }
  out = talloc_size (call, field->name_bytes + field->value_bytes + 2);
  name = copy_text (&out, field->name, field->name_bytes);
  call->response_headers[call->header_count++]
      = (struct bd_http_header_field){ name, copy_text (&out, field->value,
                                                        field->value_bytes) };
  return true;
}

/* Reads the body of a chunked response before libcurl decodes it.  */
static int
handle_raw_data (CURL *easy, curl_infotype type, char *data, size_t size,
                 void *ctx)
{
  struct bd_http_call *call = ctx;

  (void)easy;
  if (type == CURLINFO_DATA_IN && call->malformed == NULL
      && !bd_chunks_read (&call->chunks, data, size))
    {
      call->malformed = "chunk";
      bd_http_call_close (call);
    }
  return 0;
}

/* Handles the end of a head.  Returns false to end the call.  */
static bool
handle_head_end (struct bd_http_call *call)
{
  if (!call->head.is_whole)
    return true;
  if (!is_accepted (call))
    return false;
  /* libcurl passes the raw body only to its debug callback.  */
  if (call->head.is_chunked)
    curl_easy_setopt (call->easy, CURLOPT_VERBOSE, 1L);
  return true;
}

/* Handles a line of a head, or a trailer, which libcurl passes too.  Returns
   false to end the call.  */
static bool
read_head_line (struct bd_http_call *call, const char *line, size_t size)
{
  struct bd_response_field field;
  bool is_trailer = call->head.is_whole;

  switch (bd_response_head_read (&call->head, line, size, &field))
    {
    case BD_RESPONSE_MALFORMED:
      return false;
    case BD_RESPONSE_STATUS:
      call->header_count = 0;
      return true;
    case BD_RESPONSE_FIELD:
      return is_trailer || add_header (call, &field);
    case BD_RESPONSE_HEAD_END:
      return is_trailer || handle_head_end (call);
    }
  return false;
}

/* Handles lines of a head.  libcurl passes one at a time, or all trailers that
   it has held back while the transfer was paused.  */
static bool
read_head_lines (struct bd_http_call *call, const char *lines, size_t size)
{
  while (size > 0)
    {
      const char *end = memchr (lines, '\n', size);
      size_t length = end != NULL ? (size_t)(end - lines) + 1 : size;

      if (!read_head_line (call, lines, length))
        return false;
      lines += length;
      size -= length;
    }
  return true;
}

static size_t
handle_header (char *data, size_t size, size_t count, void *ctx)
{
  struct bd_http_call *call = ctx;
  size_t length = size * count;

  call->head_size += length;
  call->passed_bytes += length;
  if (call->head_size > MAX_HEAD_BYTES)
    {
      call->excess = "head";
      return 0;
    }
  if (call->is_cancelled || !update_share (call))
    return 0;
  return read_head_lines (call, data, length) ? length : 0;
}

static void
report_head (struct bd_http_call *call)
{
  long status = 0;

  if (call->has_head)
    return;
  call->has_head = true;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (call->ops->head != NULL)
    call->ops->head (call->ctx, call, (uint32_t)status);
}

static size_t
append_body (struct bd_http_call *call, const char *data, size_t size)
{
  if (call->body_size + size > call->max_body_size)
    {
      call->excess = "body";
      return 0;
    }
  if (call->body_size + size + 1 > call->body_capacity)
    {
      call->body_capacity = (call->body_size + size + 1) * 2;
      if (!update_share (call))
        return 0;
      call->body
          = talloc_realloc (call, call->body, char, call->body_capacity);
    }
  memcpy (call->body + call->body_size, data, size);
  call->body_size += size;
  call->body[call->body_size] = '\0';
  return size;
}

static size_t
handle_data (char *data, size_t size, size_t count, void *ctx)
{
  struct bd_http_call *call = ctx;
  size_t length = size * count;
  bool wants_more;

  if (call->is_cancelled || call->excess != NULL || call->malformed != NULL)
    return 0;
  call->passed_bytes += length;
  call->useful_bytes += length;
  call->pieces++;
  if (call->head.is_chunked && is_excessive (call, call->pieces * CHUNK_BYTES))
    {
      call->excess = "framing";
      return 0;
    }
  call->client->callback_depth++;
  report_head (call);
  if (call->is_cancelled)
    length = 0;
  else if (call->ops->data == NULL)
    length = append_body (call, data, length);
  else
    {
      wants_more = call->ops->data (call->ctx, call, data, length);
      if (call->is_cancelled || call->is_rejected || call->excess != NULL)
        length = 0;
      else if (!wants_more)
        {
          /* The callback has consumed these bytes; only later ones wait.  */
          call->is_paused = true;
          curl_easy_pause (call->easy, CURLPAUSE_RECV);
        }
    }
  call->client->callback_depth--;
  return call->excess == NULL ? length : 0;
}

static void
set_headers (struct bd_http_call *call,
             const struct bd_http_header_field *headers)
{
  bool has_content_type = false;

  for (; headers != NULL && headers->name != NULL; headers++)
    {
      /* libcurl leaves out a header without a value, unless a semicolon takes
         the place of the colon.  */
      char *line = headers->value[0] != '\0'
                       ? talloc_asprintf (call, "%s: %s", headers->name,
                                          headers->value)
                       : talloc_asprintf (call, "%s;", headers->name);
      has_content_type = has_content_type
                         || strcasecmp (headers->name, "Content-Type") == 0;
      call->headers = curl_slist_append (call->headers, line);
      talloc_free (line);
    }
  /* libcurl adds a default Content-Type unless the header is removed.  */
  if (!has_content_type)
    call->headers = curl_slist_append (call->headers, "Content-Type:");
  /* Do not wait for "100 Continue".  */
  call->headers = curl_slist_append (call->headers, "Expect:");
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static void
set_method (struct bd_http_call *call, const struct bd_http_request *request)
{
  CURL *easy = call->easy;

  if (strcmp (request->method, "GET") == 0 && request->body_size == 0)
    {
      curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
      return;
    }
  if (strcmp (request->method, "HEAD") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
      return;
    }
  call->request_body
      = talloc_memdup (call, request->body_size > 0 ? request->body : "",
                       request->body_size > 0 ? request->body_size : 1);
  curl_easy_setopt (easy, CURLOPT_POST, 1L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)request->body_size);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->request_body);
  if (strcmp (request->method, "POST") != 0)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static int
handle_socket_created (void *ctx, curl_socket_t socket, curlsocktype purpose)
{
  struct bd_http_call *call = ctx;
  unsigned timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS;

  (void)purpose;
  call->socket = socket;
  call->old_bytes = 0;
  setsockopt (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
  return CURL_SOCKOPT_OK;
}

static void
forget_socket (struct bd_http_client *client, curl_socket_t socket)
{
  const char *name
      = g_hash_table_lookup (client->names, GINT_TO_POINTER (socket));

  if (name == NULL)
    return;
  g_hash_table_remove (client->sockets, name);
  g_hash_table_remove (client->names, GINT_TO_POINTER (socket));
}

static int
handle_socket_closed (void *ctx, curl_socket_t socket)
{
  struct bd_http_client *client = ctx;

  forget_socket (client, socket);
  return close (socket);
}

/* The addresses of a connection.  */
struct connection_name
{
  const char *peer_ip;
  const char *local_ip;
  int peer_port;
  int local_port;
};

/* The socket of the connection that a call was assigned.  libcurl names the
   connection by its addresses only, until the call has finished.  */
static curl_socket_t
find_socket (struct bd_http_call *call, const struct connection_name *name)
{
  struct bd_http_client *client = call->client;
  char *key = g_strdup_printf ("%s:%d %s:%d", name->local_ip, name->local_port,
                               name->peer_ip, name->peer_port);
  gpointer value;

  if (bd_http_call_is_first (call))
    {
      forget_socket (client, call->socket);
      g_hash_table_insert (client->names, GINT_TO_POINTER (call->socket), key);
      g_hash_table_replace (client->sockets, key,
                            GINT_TO_POINTER (call->socket));
      return call->socket;
    }
  value = g_hash_table_lookup (client->sockets, key);
  g_free (key);
  return value != NULL ? GPOINTER_TO_INT (value) : CURL_SOCKET_BAD;
}

/* Whether the peer has sent something on a connection, or has closed or reset
   it.  libcurl reuses such connections.  */
static bool
has_input (curl_socket_t socket)
{
  char byte;

  return socket != CURL_SOCKET_BAD
         && (recv (socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0
             || errno != EAGAIN);
}

/* libcurl calls this function before it sends the request.  A second call
   means that a reused connection was dead and that libcurl is about to resend
   the request.  */
static int
handle_prerequest (void *ctx, char *peer_ip, char *local_ip, int peer_port,
                   int local_port)
{
  struct bd_http_call *call = ctx;
  const struct connection_name name
      = { peer_ip, local_ip, peer_port, local_port };
  curl_socket_t socket;

  if (call->is_cancelled || (call->was_started && call->is_sent_once))
    return CURL_PREREQFUNC_ABORT;
  socket = find_socket (call, &name);
  if (has_input (socket))
    {
      call->is_stale = !call->was_started && !bd_http_call_is_first (call);
      bd_http_call_close (call);
      return CURL_PREREQFUNC_ABORT;
    }
  call->old_bytes
      = socket != CURL_SOCKET_BAD ? count_received_bytes (socket) : UINT64_MAX;
  call->was_started = true;
  return CURL_PREREQFUNC_OK;
}

static void
set_options (struct bd_http_call *call, const struct bd_http_request *request)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    request->connect_timeout_ms > 0
                        ? (long)request->connect_timeout_ms
                        : (long)CONNECT_TIMEOUT_MS);
  /* With one address this is only the time until libcurl notices a connection
     that the kernel has refused at once.  */
  curl_easy_setopt (easy, CURLOPT_HAPPY_EYEBALLS_TIMEOUT_MS, 1L);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, handle_socket_created);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, call);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, handle_socket_closed);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, call->client);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_BUFFERSIZE, (long)READ_BYTES);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, handle_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_DEBUGFUNCTION, handle_raw_data);
  curl_easy_setopt (easy, CURLOPT_DEBUGDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, handle_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  if (request->has_dedicated_connection)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
  if (request->has_new_connection)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  if (request->target != NULL)
    curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->target);
  call->is_sent_once = request->is_sent_once;
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, handle_prerequest);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  set_method (call, request);
  set_headers (call, request->headers);
}

/* Hash of the address and port of a URL.  */
static uint64_t
hash_address (const char *url)
{
  const char *address = url + strlen ("http://");

  return bd_hash (address, strcspn (address, "/"));
}

struct bd_http_call *
bd_http_send (struct bd_http_client *client,
              const struct bd_http_request *request,
              const struct bd_http_call_ops *ops, void *ctx)
{
  struct bd_http_call *call = talloc_zero (NULL, struct bd_http_call);

  if (call == NULL)
    return NULL;
  call->client = client;
  call->ops = ops;
  call->ctx = ctx;
  /* A new handle: libcurl before 8.0 keeps a pointer to the last header of
     the earlier transfer of a handle, which is freed, and appends a line to it
     that begins with a blank.  */
  call->easy = curl_easy_init ();
  if (call->easy == NULL)
    {
      talloc_free (call);
      return NULL;
    }
  call->max_body_size = request->max_response_bytes > 0
                            ? request->max_response_bytes
                            : MAX_BODY_BYTES;
  bd_memory_join (&call->share, client->memory,
                  request->source != 0 ? request->source
                                       : hash_address (request->url),
                  handle_evicted, call);
  call->next = client->calls;
  if (call->next != NULL)
    call->next->prev = call;
  client->calls = call;
  set_options (call, request);
  curl_multi_add_handle (client->multi, call->easy);
  return call;
}

uint32_t
bd_http_call_status (const struct bd_http_call *call)
{
  long status = 0;

  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  return (uint32_t)status;
}

const char *
bd_http_call_header (const struct bd_http_call *call, const char *name)
{
  for (uint32_t i = 0; i < call->header_count; i++)
    if (strcasecmp (call->response_headers[i].name, name) == 0)
      return call->response_headers[i].value;
  return NULL;
}

const struct bd_http_header_field *
bd_http_call_headers (const struct bd_http_call *call, uint32_t *count)
{
  *count = call->header_count;
  return call->response_headers;
}

bool
bd_http_call_is_first (const struct bd_http_call *call)
{
  long opened = 0;

  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &opened);
  return opened > 0;
}

bool
bd_http_call_was_sent (const struct bd_http_call *call)
{
  return call->was_started;
}

void
bd_http_call_close (struct bd_http_call *call)
{
  curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
}

void
bd_http_call_reject (struct bd_http_call *call, const char *excess)
{
  call->is_rejected = true;
  if (call->excess == NULL)
    call->excess = excess;
}

bool
bd_http_call_hold (struct bd_http_call *call, size_t bytes)
{
  call->held_bytes = bytes;
  return call->excess == NULL && update_share (call);
}

uint64_t
bd_http_call_source (const struct bd_http_call *call)
{
  return call->share.source;
}

void
bd_http_call_discard (struct bd_http_call *call, size_t bytes)
{
  call->useful_bytes -= bytes;
  call->dropped_bytes += bytes;
  if (is_excessive (call, call->dropped_bytes))
    call->excess = "discarded";
}

void
bd_http_call_continue (struct bd_http_call *call)
{
  if (!call->is_paused)
    return;
  call->is_paused = false;
  /* Passes on what libcurl has read already, and drops the error.  */
  curl_easy_pause (call->easy, CURLPAUSE_CONT);
  if (call->is_rejected || call->excess != NULL)
    end_call_soon (call, NULL);
}

void
bd_http_call_cancel (struct bd_http_call *call)
{
  if (call->has_ended)
    return;
  call->is_cancelled = true;
  /* libcurl cannot remove a handle inside its callbacks, so finish_calls()
     frees the call later.  */
  if (call->client->callback_depth > 0)
    call->client->has_cancelled = true;
  else
    free_call (call);
}

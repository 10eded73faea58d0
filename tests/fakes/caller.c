/* Sends requests and reads responses on a plain socket.  */

#include "tests/fakes/caller.h"

#include "base/timer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  READ_BYTES = 16 * 1024
};

/* A part of the request that is sent later; NULL text to leave.  */
struct part
{
  struct caller *caller;
  char *text;
  size_t size;
};

static void
close_connection (struct caller *caller)
{
  TALLOC_FREE (caller->event);
  if (caller->fd >= 0)
    close (caller->fd);
  caller->fd = -1;
}

static void
end_request (struct caller *caller, enum caller_outcome outcome)
{
  TALLOC_FREE (caller->timers);
  if (outcome != CALLER_WHOLE || caller_has_field (caller, "Connection: close")
      || (!caller->head.has_length && !caller->head.is_chunked))
    close_connection (caller);
  caller->done (caller, outcome);
}

static void
handle_leave (void *ctx)
{
  end_request (ctx, CALLER_LEFT);
}

static void
handle_limit (void *ctx)
{
  end_request (ctx, CALLER_TIMEOUT);
}

/* Reads the next line of the head.  Returns false if it is not there yet, or
   not valid.  */
static bool
read_head_line (struct caller *caller)
{
  const char *line = caller->input->str + caller->read;
  const char *end = memchr (line, '\n', caller->input->len - caller->read);
  struct bd_response_field field;
  size_t size;

  if (end == NULL)
    return false;
  size = (size_t)(end - line) + 1;
  caller->read += size;
  g_string_append_len (caller->fields, line, (gssize)size);
  return bd_response_head_read (&caller->head, line, size, &field)
         != BD_RESPONSE_MALFORMED;
}

static bool
has_whole_body (const struct caller *caller)
{
  if (caller->head.is_chunked)
    return caller->chunks.state == BD_CHUNKS_END;
  return caller->head.has_length && caller->body->len >= caller->head.length;
}

static void
read_input (struct caller *caller)
{
  const char *data;
  size_t size;

  while (!caller->head.is_whole && read_head_line (caller))
    ;
  if (!caller->head.is_whole)
    return;
  data = caller->input->str + caller->read;
  size = caller->input->len - caller->read;
  caller->read = caller->input->len;
  g_string_append_len (caller->body, data, (gssize)size);
  if (caller->head.is_chunked)
    bd_chunks_read (&caller->chunks, data, size);
  if (has_whole_body (caller))
    end_request (caller, CALLER_WHOLE);
}

static void
handle_end (struct caller *caller, bool is_in_order)
{
  bool ends_body = is_in_order && caller->head.is_whole
                   && !caller->head.has_length && !caller->head.is_chunked;

  if (caller->timers == NULL)
    close_connection (caller);
  else if (ends_body)
    end_request (caller, CALLER_WHOLE);
  else
    end_request (caller, caller->head.status != 0 ? CALLER_CUT : CALLER_NONE);
}

static void
handle_event (struct tevent_context *events, struct tevent_fd *event,
              uint16_t flags, void *ctx)
{
  struct caller *caller = ctx;
  char data[READ_BYTES];
  ssize_t received = recv (caller->fd, data, sizeof data, MSG_DONTWAIT);

  (void)events;
  (void)event;
  (void)flags;
  if (received < 0 && errno == EAGAIN)
    return;
  if (received <= 0)
    {
      handle_end (caller, received == 0);
      return;
    }
  g_string_append_len (caller->input, data, received);
  if (caller->timers != NULL)
    read_input (caller);
}

static void
handle_part (void *ctx)
{
  struct part *part = ctx;

  /* Requests are small; a part that the socket does not take is seen as a
     request that is never whole.  */
  send (part->caller->fd, part->text, part->size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

static void
add_part (struct caller *caller, const char *text, size_t size,
          uint32_t delay_ms)
{
  struct part *part = talloc_zero (caller->timers, struct part);

  part->caller = caller;
  part->text = talloc_memdup (part, text, size);
  part->size = size;
  if (delay_ms == 0)
    handle_part (part);
  else
    bd_timer_add (caller->events, part, delay_ms, handle_part, part);
}

static void
send_head (struct caller *caller)
{
  const struct caller_request *request = &caller->request;
  char *framing
      = request->is_chunked
            ? talloc_strdup (caller->timers, "Transfer-Encoding: chunked\r\n")
            : talloc_asprintf (caller->timers, "Content-Length: %u\r\n",
                               request->body_bytes);
  char *head = talloc_asprintf (
      caller->timers,
      "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n%s%s\r\n",
      request->method, request->target, request->host, caller->attempt_id,
      request->fields, request->body_bytes > 0 ? framing : "");

  add_part (caller, head, strlen (head), 0);
}

static void
send_body (struct caller *caller)
{
  const struct caller_request *request = &caller->request;
  uint32_t size = request->body_bytes / request->pieces;
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < request->pieces; i++)
    {
      uint32_t bytes
          = i + 1 < request->pieces ? size : request->body_bytes - i * size;

      g_string_truncate (text, 0);
      if (request->is_chunked)
        g_string_append_printf (text, "%x\r\n", bytes);
      for (uint32_t k = 0; k < bytes; k++)
        g_string_append_c (text, 'b');
      if (request->is_chunked)
        g_string_append (text,
                         i + 1 < request->pieces ? "\r\n" : "\r\n0\r\n\r\n");
      add_part (caller, text->str, text->len, i * request->piece_ms);
    }
  g_string_free (text, TRUE);
}

static bool
connect_to_port (struct caller *caller)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)caller->port) };

  inet_pton (AF_INET, caller->address, &address.sin_addr);
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (caller->fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close_connection (caller);
      return false;
    }
  caller->event = tevent_add_fd (caller->events, caller->events, caller->fd,
                                 TEVENT_FD_READ, handle_event, caller);
  return true;
}

void
caller_init (struct caller *caller, struct tevent_context *events,
             const char *address, uint32_t port, caller_done *done, void *ctx)
{
  memset (caller, 0, sizeof *caller);
  caller->events = events;
  caller->address = address;
  caller->port = port;
  caller->done = done;
  caller->ctx = ctx;
  caller->fd = -1;
  caller->input = g_string_new (NULL);
  caller->fields = g_string_new (NULL);
  caller->body = g_string_new (NULL);
}

void
caller_finish (struct caller *caller)
{
  TALLOC_FREE (caller->timers);
  close_connection (caller);
  g_string_free (caller->input, TRUE);
  g_string_free (caller->fields, TRUE);
  g_string_free (caller->body, TRUE);
}

static void
handle_refused (void *ctx)
{
  end_request (ctx, CALLER_REFUSED);
}

void
caller_send (struct caller *caller, const struct caller_request *request)
{
  caller->request = *request;
  bd_name_copy (caller->attempt_id, request->attempt_id);
  caller->timers = talloc_new (caller->events);
  g_string_truncate (caller->input, 0);
  g_string_truncate (caller->fields, 0);
  g_string_truncate (caller->body, 0);
  caller->read = 0;
  caller->head = (struct bd_response_head){ 0 };
  caller->chunks = (struct bd_chunks){ 0 };
  if (caller->fd < 0 && !connect_to_port (caller))
    {
      bd_timer_add (caller->events, caller->timers, 1, handle_refused, caller);
      return;
    }
  bd_timer_add (caller->events, caller->timers, request->limit_ms,
                handle_limit, caller);
  if (request->leave_ms > 0)
    bd_timer_add (caller->events, caller->timers, request->leave_ms,
                  handle_leave, caller);
  send_head (caller);
  if (request->body_bytes > 0)
    send_body (caller);
}

bool
caller_has_field (const struct caller *caller, const char *line)
{
  char *text = g_strdup_printf ("\n%s\r\n", line);
  bool has_it = strstr (caller->fields->str, text) != NULL;

  g_free (text);
  return has_it;
}

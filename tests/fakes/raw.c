/* The endpoint on plain sockets.  */

#include "tests/fakes/raw.h"

#include "base/timer.h"
#include "tests/loopback.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  LISTEN_QUEUE = 512
};

static int
close_connection (struct raw_connection *c)
{
  TALLOC_FREE (c->event);
  close (c->fd);
  return 0;
}

static void
read_path (const char *head, struct raw_request *request)
{
  const char *start = strchr (head, ' ');
  size_t size;

  if (start == NULL)
    return;
  size = strcspn (start + 1, " \r\n");
  if (size < sizeof request->path)
    memcpy (request->path, start + 1, size);
}

/* Copies the value of a header, or leaves value as it is.  */
static void
read_header (const char *head, const char *name, char *value, size_t size)
{
  const char *line = strstr (head, "\r\n");
  size_t length = strlen (name);

  for (; line != NULL; line = strstr (line + 2, "\r\n"))
    {
      const char *start = line + 2;

      if (strncasecmp (start, name, length) != 0 || start[length] != ':')
        continue;
      start += length + 1;
      start += strspn (start, " ");
      snprintf (value, size, "%.*s", (int)strcspn (start, "\r"), start);
    }
}

static void
handle_head (struct raw_connection *c, const char *head)
{
  struct raw_request request = { .last_event_id = -1 };
  char last[BD_NAME_SIZE] = "";
  char length[BD_NAME_SIZE] = "";

  read_header (head, "Content-Length", length, sizeof length);
  c->body_left = strtoull (length, NULL, 10);
  read_path (head, &request);
  read_header (head, "Attempt-Id", request.attempt_id,
               sizeof request.attempt_id);
  read_header (head, "Last-Event-Id", last, sizeof last);
  if (last[0] != '\0')
    request.last_event_id = strtoll (last, NULL, 10);
  c->requests++;
  c->endpoint->handle (c, &request);
}

static void
drop_bytes (struct raw_connection *c, size_t size)
{
  memmove (c->head, c->head + size, c->used - size);
  c->used -= size;
}

/* Handles the next head if it is whole.  Returns false if it is not.  */
static bool
read_request (struct raw_connection *c)
{
  size_t skipped = c->body_left < c->used ? c->body_left : c->used;
  char head[sizeof c->head];
  char *end;
  size_t size;

  c->body_left -= skipped;
  drop_bytes (c, skipped);
  c->head[c->used] = '\0';
  end = strstr (c->head, "\r\n\r\n");
  if (end == NULL)
    return false;
  /* With the end of its last line only.  */
  size = (size_t)(end - c->head) + 2;
  memcpy (head, c->head, size);
  head[size] = '\0';
  drop_bytes (c, size + 2);
  handle_head (c, head);
  return true;
}

static void
handle_bytes (struct tevent_context *ev, struct tevent_fd *fd, uint16_t flags,
              void *ctx)
{
  struct raw_connection *c = ctx;
  ssize_t received = recv (c->fd, c->head + c->used,
                           sizeof c->head - c->used - 1, MSG_DONTWAIT);

  (void)ev;
  (void)fd;
  (void)flags;
  if (received <= 0)
    {
      talloc_free (c);
      return;
    }
  c->used += (size_t)received;
  while (read_request (c))
    ;
}

static void
handle_listen (struct tevent_context *ev, struct tevent_fd *fd, uint16_t flags,
               void *ctx)
{
  struct raw_endpoint *endpoint = ctx;
  struct raw_connection *c;
  int accepted = accept (endpoint->fd, NULL, NULL);

  (void)ev;
  (void)fd;
  (void)flags;
  if (accepted < 0)
    return;
  c = talloc_zero (endpoint->event, struct raw_connection);
  c->endpoint = endpoint;
  c->fd = accepted;
  c->event = tevent_add_fd (endpoint->events, c, c->fd, TEVENT_FD_READ,
                            handle_bytes, c);
  talloc_set_destructor (c, close_connection);
  endpoint->connections++;
}

void
raw_start (struct raw_endpoint *endpoint, struct tevent_context *events,
           uint32_t port, raw_handler *handle, void *ctx)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int on = 1;

  memset (endpoint, 0, sizeof *endpoint);
  endpoint->events = events;
  endpoint->handle = handle;
  endpoint->ctx = ctx;
  inet_pton (AF_INET, loopback_address (), &address.sin_addr);
  endpoint->fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (endpoint->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (endpoint->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (endpoint->fd, LISTEN_QUEUE) != 0)
    {
      perror ("raw endpoint");
      abort ();
    }
  endpoint->event = tevent_add_fd (events, events, endpoint->fd,
                                   TEVENT_FD_READ, handle_listen, endpoint);
}

void
raw_finish (struct raw_endpoint *endpoint)
{
  TALLOC_FREE (endpoint->event);
  close (endpoint->fd);
}

/* Something that is done to a connection later.  */
struct raw_action
{
  struct raw_connection *connection;
  char *bytes; /* NULL: closes the connection.  */
  size_t size;
  bool is_reset;
};

static void
run_action (void *ctx)
{
  struct raw_action *action = ctx;
  struct raw_connection *c = action->connection;
  struct linger linger = { .l_onoff = 1 };

  if (action->bytes != NULL)
    {
      send (c->fd, action->bytes, action->size, MSG_NOSIGNAL);
      talloc_free (action);
      return;
    }
  if (action->is_reset)
    setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  talloc_free (c);
}

static void
add_action (struct raw_connection *c, const char *bytes, size_t size,
            bool is_reset, int64_t delay_ms)
{
  struct raw_action *action = talloc_zero (c, struct raw_action);

  action->connection = c;
  action->bytes = bytes != NULL ? talloc_memdup (action, bytes, size) : NULL;
  action->size = size;
  action->is_reset = is_reset;
  if (delay_ms == 0 && bytes != NULL)
    run_action (action);
  else
    bd_timer_add (c->endpoint->events, action, delay_ms, run_action, action);
}

void
raw_send (struct raw_connection *c, const char *text, int64_t delay_ms)
{
  add_action (c, text, strlen (text), false, delay_ms);
}

void
raw_send_bytes (struct raw_connection *c, const char *bytes, size_t size,
                int64_t delay_ms)
{
  add_action (c, bytes, size, false, delay_ms);
}

void
raw_close (struct raw_connection *c, bool is_reset, int64_t delay_ms)
{
  add_action (c, NULL, 0, is_reset, delay_ms);
}

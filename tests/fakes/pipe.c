/* Fake network between two daemons: a TCP proxy that can be cut.

   fakes pipe port=CONTROL pipes=LISTEN:TARGET,LISTEN:TARGET...
   LISTEN and TARGET are ports at the option address.

   POST /faults {"cut": b}     while set, closes all connections, and new ones
                               at once  */

#include "tests/fakes/fakes.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  MAX_PIPES = 16,
  BUFFER_BYTES = 65536
};

struct pipes;

struct listener
{
  struct pipes *owner;
  int listen_fd;
  uint32_t target_port;
};

/* A proxied connection: fds[0] is the client's side, fds[1] the target's.  */
struct connection
{
  struct pipes *owner;
  int fds[2];
  struct tevent_fd *events[2];
  struct connection *next;
  struct connection *prev;
};

struct pipes
{
  struct tevent_context *events;
  struct bd_http_server server;
  const char *address;
  struct listener listeners[MAX_PIPES];
  uint32_t count;
  struct connection *connections;
  bool is_cut;
};

static int
close_connection (struct connection *connection)
{
  for (int i = 0; i < 2; i++)
    {
      TALLOC_FREE (connection->events[i]);
      close (connection->fds[i]);
    }
  if (connection->prev != NULL)
    connection->prev->next = connection->next;
  else
    connection->owner->connections = connection->next;
  if (connection->next != NULL)
    connection->next->prev = connection->prev;
  return 0;
}

static void
handle_data (struct tevent_context *events, struct tevent_fd *event,
             uint16_t flags, void *private_data)
{
  struct connection *connection = private_data;
  int source_index = event == connection->events[0] ? 0 : 1;
  char buffer[BUFFER_BYTES];
  ssize_t received
      = recv (connection->fds[source_index], buffer, sizeof buffer, 0);

  (void)events;
  (void)flags;
  if (received <= 0
      || send (connection->fds[1 - source_index], buffer, (size_t)received,
               MSG_NOSIGNAL)
             != received)
    talloc_free (connection);
}

static int
connect_to (const struct pipes *p, uint32_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, p->address, &address.sin_addr);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
handle_accept (struct tevent_context *events, struct tevent_fd *event,
               uint16_t flags, void *private_data)
{
  struct listener *listener = private_data;
  struct pipes *p = listener->owner;
  int client_fd = accept (listener->listen_fd, NULL, NULL);
  int target_fd = p->is_cut ? -1 : connect_to (p, listener->target_port);
  struct connection *connection;

  (void)event;
  (void)flags;
  if (target_fd < 0)
    {
      close (client_fd);
      return;
    }
  connection = talloc_zero (p, struct connection);
  connection->owner = p;
  connection->fds[0] = client_fd;
  connection->fds[1] = target_fd;
  connection->next = p->connections;
  if (connection->next != NULL)
    connection->next->prev = connection;
  p->connections = connection;
  for (int i = 0; i < 2; i++)
    connection->events[i]
        = tevent_add_fd (events, connection, connection->fds[i],
                         TEVENT_FD_READ, handle_data, connection);
  talloc_set_destructor (connection, close_connection);
}

static void
set_faults (struct pipes *p, struct bd_http_exchange *x)
{
  json_t *faults
      = json_loadb (x->body != NULL ? x->body : "", x->body_size, 0, NULL);

  p->is_cut = json_is_true (json_object_get (faults, "cut"));
  while (p->is_cut && p->connections != NULL)
    talloc_free (p->connections);
  json_decref (faults);
  fake_respond_json (x, 200, json_object ());
}

static void
handle_request (void *ctx, struct bd_http_exchange *x)
{
  if (strcmp (x->path, "/faults") == 0)
    set_faults (ctx, x);
  else
    fake_respond_json (x, 200, json_object ());
}

static size_t
max_body (void *ctx, const char *path)
{
  (void)ctx;
  (void)path;
  return 4096;
}

static void
ignore (void *ctx, struct bd_http_exchange *x)
{
  (void)ctx;
  (void)x;
}

static const struct bd_http_server_ops ops
    = { max_body, handle_request, ignore, ignore };

static bool
open_pipe (struct pipes *p, uint32_t port, uint32_t target_port)
{
  struct listener *listener = &p->listeners[p->count++];
  struct sockaddr_in address = { .sin_family = AF_INET };
  int on = 1;

  listener->owner = p;
  listener->target_port = target_port;
  listener->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listener->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, p->address, &address.sin_addr);
  if (bind (listener->listen_fd, (struct sockaddr *)&address, sizeof address)
          != 0
      || listen (listener->listen_fd, 64) != 0)
    return false;
  tevent_add_fd (p->events, p, listener->listen_fd, TEVENT_FD_READ,
                 handle_accept, listener);
  return true;
}

bool
fake_pipe_start (struct tevent_context *events,
                 const struct fake_options *options)
{
  struct pipes *p = talloc_zero (events, struct pipes);
  const char *rest = fake_option (options, "pipes", "");

  p->events = events;
  p->address = fake_option (options, "address", "127.0.0.1");
  while (*rest != '\0' && p->count < MAX_PIPES)
    {
      char *end;
      uint32_t port = (uint32_t)strtoul (rest, &end, 10);
      uint32_t target_port = (uint32_t)strtoul (end + 1, &end, 10);
      if (!open_pipe (p, port, target_port))
        return false;
      rest = *end == ',' ? end + 1 : end;
    }
  return bd_http_server_init (&p->server, events, p->address,
                              (uint32_t)fake_option_int (options, "port", 0),
                              64, &ops, p);
}

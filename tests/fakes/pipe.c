/* Stand-in for the network between two daemons: forwards TCP connections, and
   cuts them.

   fakes pipe port=CONTROL pipes=LISTEN:TO,LISTEN:TO...
   POST /faults {"cut": b}     closes what is open and takes nothing new  */

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

struct pipe_end
{
  struct pipes *owner;
  int listen_fd;
  uint32_t to;
};

/* A connection and its two directions.  */
struct link
{
  struct pipes *owner;
  int fds[2];
  struct tevent_fd *events[2];
  struct link *next;
  struct link *prev;
};

struct pipes
{
  struct tevent_context *events;
  struct bd_http_server server;
  struct pipe_end ends[MAX_PIPES];
  uint32_t count;
  struct link *links;
  bool is_cut;
};

static int
close_link (struct link *link)
{
  for (int i = 0; i < 2; i++)
    {
      TALLOC_FREE (link->events[i]);
      close (link->fds[i]);
    }
  if (link->prev != NULL)
    link->prev->next = link->next;
  else
    link->owner->links = link->next;
  if (link->next != NULL)
    link->next->prev = link->prev;
  return 0;
}

static void
handle_data (struct tevent_context *events, struct tevent_fd *event,
             uint16_t flags, void *private_data)
{
  struct link *link = private_data;
  int from = event == link->events[0] ? 0 : 1;
  char buffer[BUFFER_BYTES];
  ssize_t got = recv (link->fds[from], buffer, sizeof buffer, 0);

  (void)events;
  (void)flags;
  if (got <= 0
      || send (link->fds[1 - from], buffer, (size_t)got, MSG_NOSIGNAL) != got)
    talloc_free (link);
}

static int
connect_to (uint32_t port)
{
  struct sockaddr_in where = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  where.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, "127.0.0.1", &where.sin_addr);
  if (connect (fd, (struct sockaddr *)&where, sizeof where) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
handle_listen (struct tevent_context *events, struct tevent_fd *event,
               uint16_t flags, void *private_data)
{
  struct pipe_end *end = private_data;
  struct pipes *p = end->owner;
  int here = accept (end->listen_fd, NULL, NULL);
  int there = p->is_cut ? -1 : connect_to (end->to);
  struct link *link;

  (void)event;
  (void)flags;
  if (there < 0)
    {
      close (here);
      return;
    }
  link = talloc_zero (p, struct link);
  link->owner = p;
  link->fds[0] = here;
  link->fds[1] = there;
  link->next = p->links;
  if (link->next != NULL)
    link->next->prev = link;
  p->links = link;
  for (int i = 0; i < 2; i++)
    link->events[i] = tevent_add_fd (events, link, link->fds[i],
                                     TEVENT_FD_READ, handle_data, link);
  talloc_set_destructor (link, close_link);
}

static void
set_faults (struct pipes *p, struct bd_http_exchange *x)
{
  json_t *faults
      = json_loadb (x->body != NULL ? x->body : "", x->body_size, 0, NULL);

  p->is_cut = json_is_true (json_object_get (faults, "cut"));
  while (p->is_cut && p->links != NULL)
    talloc_free (p->links);
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
open_pipe (struct pipes *p, uint32_t port, uint32_t to)
{
  struct pipe_end *end = &p->ends[p->count++];
  struct sockaddr_in where = { .sin_family = AF_INET };
  int on = 1;

  end->owner = p;
  end->to = to;
  end->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (end->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  where.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, "127.0.0.1", &where.sin_addr);
  if (bind (end->listen_fd, (struct sockaddr *)&where, sizeof where) != 0
      || listen (end->listen_fd, 64) != 0)
    return false;
  tevent_add_fd (p->events, p, end->listen_fd, TEVENT_FD_READ, handle_listen,
                 end);
  return true;
}

bool
fake_pipe_start (struct tevent_context *events,
                 const struct fake_options *options)
{
  struct pipes *p = talloc_zero (events, struct pipes);
  const char *rest = fake_option (options, "pipes", "");

  p->events = events;
  while (*rest != '\0' && p->count < MAX_PIPES)
    {
      char *end;
      uint32_t port = (uint32_t)strtoul (rest, &end, 10);
      uint32_t to = (uint32_t)strtoul (end + 1, &end, 10);
      if (!open_pipe (p, port, to))
        return false;
      rest = *end == ',' ? end + 1 : end;
    }
  return bd_http_server_init (&p->server, events, "127.0.0.1",
                              (uint32_t)fake_option_int (options, "port", 0),
                              64, &ops, p);
}

/* Accepts the connections of callers.  */

#include "http/http_internal.h"

#include "base/crash.h"
#include "base/log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  MAX_ACCEPTS = 32, /* In one iteration of the event loop.  */
  /* Until the next try after a lack of descriptors or memory.  */
  ACCEPT_RETRY_MS = 100,
  /* Callers get the descriptors of the process divided by this; connections to
     endpoints and all others use the rest.  */
  DESCRIPTORS_DIVISOR = 2
};

static void
accept_again (void *ctx)
{
  struct bd_http_server *server = ctx;

  server->accept_timer = NULL;
  bd_http_update_accepting (server);
}

static void
pause_accepting (struct bd_http_server *server)
{
  server->accept_timer = bd_timer_add (server->events, server->events,
                                       ACCEPT_RETRY_MS, accept_again, server);
  bd_http_update_accepting (server);
}

/* Returns whether more connections may wait.  */
static bool
accept_one (struct bd_http_server *server)
{
  int fd
      = accept4 (server->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct bd_http_connection *c;

  if (fd < 0)
    {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS
          || errno == ENOMEM)
        pause_accepting (server);
      return errno == ECONNABORTED || errno == EINTR;
    }
  c = bd_http_connection_open (server, fd);
  if (c == NULL)
    {
      close (fd);
      return true;
    }
  bd_http_wait_begin (c);
  bd_http_wait_check (c);
  return true;
}

static bool
has_room (const struct bd_http_server *server)
{
  return server->connection_count < server->max_connections
         && server->accept_timer == NULL;
}

static void
handle_input (struct tevent_context *events, struct tevent_fd *fd,
              uint16_t flags, void *private_data)
{
  struct bd_http_server *server = private_data;

  (void)events;
  (void)fd;
  (void)flags;
  for (uint32_t i = 0; i < MAX_ACCEPTS && has_room (server); i++)
    if (!accept_one (server))
      break;
  bd_http_update_accepting (server);
}

void
bd_http_accept_all (struct bd_http_server *server)
{
  BD_ASSERT (!server->is_running);
  while (has_room (server))
    if (!accept_one (server))
      return;
}

void
bd_http_update_accepting (struct bd_http_server *server)
{
  if (server->listen_watch != NULL)
    tevent_fd_set_flags (server->listen_watch,
                         has_room (server) ? TEVENT_FD_READ : 0);
}

void
bd_http_stop_accepting (struct bd_http_server *server)
{
  TALLOC_FREE (server->listen_watch);
  TALLOC_FREE (server->accept_timer);
  if (server->listen_fd >= 0)
    close (server->listen_fd);
  server->listen_fd = -1;
}

uint32_t
bd_http_limit_connections (uint32_t max_connections)
{
  struct rlimit files;

  if (getrlimit (RLIMIT_NOFILE, &files) != 0
      || files.rlim_cur / DESCRIPTORS_DIVISOR >= max_connections)
    return max_connections;
  bd_log ("connections-limited", "max_connections", BD_NUM (max_connections),
          "descriptors", BD_NUM ((int64_t)files.rlim_cur), NULL);
  return (uint32_t)(files.rlim_cur / DESCRIPTORS_DIVISOR);
}

bool
bd_http_listen (struct bd_http_server *server, const char *address,
                uint32_t port)
{
  struct sockaddr_in listen_address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int on = 1;

  if (inet_pton (AF_INET, address, &listen_address.sin_addr) != 1)
    return false;
  server->listen_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (server->listen_fd < 0)
    return false;
  setsockopt (server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (server->listen_fd, (struct sockaddr *)&listen_address,
            sizeof listen_address)
          != 0
      || listen (server->listen_fd, SOMAXCONN) != 0)
    goto fail;
  server->listen_watch
      = tevent_add_fd (server->events, server->events, server->listen_fd,
                       TEVENT_FD_READ, handle_input, server);
  if (server->listen_watch == NULL)
    goto fail;
  return true;

fail:
  close (server->listen_fd);
  server->listen_fd = -1;
  return false;
}

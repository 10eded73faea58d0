/* Reads what callers send after their connections were closed.  */

#include "http/http_internal.h"

#include <errno.h>
#include <linux/tcp.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  /* Time for a caller that takes no more of its response to close its end.  */
  QUIET_MS = 1000,
  MAX_LINGER_MS = 30000,
  MAX_LINGER_BYTES = 16 << 20,
  /* Sockets beyond the limit of open connections.  */
  MAX_LINGERING = 256,
  READ_BYTES = 16 * 1024
};

struct bd_http_linger
{
  struct bd_http_server *server;
  int fd;
  struct tevent_fd *watch;
  size_t read_bytes;
  int64_t start_ms;
  int64_t taken_ms; /* When acked_bytes was last found to have grown.  */
  uint64_t acked_bytes;
  struct bd_http_linger *prev;
  struct bd_http_linger *next;
};

static void
end_linger (struct bd_http_linger *l)
{
  if (l->prev != NULL)
    l->prev->next = l->next;
  else
    l->server->lingering = l->next;
  if (l->next != NULL)
    l->next->prev = l->prev;
  l->server->lingering_count--;
  TALLOC_FREE (l->watch);
  close (l->fd);
  talloc_free (l);
}

/* Drops what has arrived, and adds its size to *read_bytes.  Returns whether
   more may be read.  */
static bool
drop_input (int fd, size_t *read_bytes)
{
  char bytes[READ_BYTES];
  ssize_t count;

  while ((count = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    {
      *read_bytes += (size_t)count;
      if (*read_bytes >= MAX_LINGER_BYTES)
        return false;
    }
  return count < 0 && (errno == EAGAIN || errno == EINTR);
}

static void
handle_input (struct tevent_context *events, struct tevent_fd *fd,
              uint16_t flags, void *private_data)
{
  struct bd_http_linger *l = private_data;

  (void)events;
  (void)fd;
  (void)flags;
  if (!drop_input (l->fd, &l->read_bytes))
    end_linger (l);
}

static void
add_linger (struct bd_http_server *server, struct bd_http_linger *l)
{
  l->next = server->lingering;
  if (l->next != NULL)
    l->next->prev = l;
  server->lingering = l;
  server->lingering_count++;
}

void
bd_http_linger_begin (struct bd_http_server *server, int fd, int64_t now_ms)
{
  struct bd_http_linger *l;
  size_t read_bytes = 0;

  if (!drop_input (fd, &read_bytes) || server->is_finishing
      || server->lingering_count >= MAX_LINGERING)
    return;
  l = talloc_zero (NULL, struct bd_http_linger);
  if (l == NULL)
    return;
  l->server = server;
  l->read_bytes = read_bytes;
  l->start_ms = now_ms;
  l->taken_ms = now_ms;
  /* libmicrohttpd closes its descriptor.  */
  l->fd = dup (fd);
  if (l->fd < 0)
    goto fail_dup;
  l->watch = tevent_add_fd (server->events, l, l->fd, TEVENT_FD_READ,
                            handle_input, l);
  if (l->watch == NULL)
    goto fail_watch;
  shutdown (l->fd, SHUT_WR);
  add_linger (server, l);
  return;

fail_watch:
  close (l->fd);
fail_dup:
  talloc_free (l);
}

static void
check (struct bd_http_linger *l, int64_t now_ms)
{
  struct tcp_info info;

  bd_http_get_tcp_info (l->fd, &info);
  if (info.tcpi_bytes_acked != l->acked_bytes)
    l->taken_ms = now_ms;
  l->acked_bytes = info.tcpi_bytes_acked;
  if (now_ms - l->taken_ms >= QUIET_MS
      || now_ms - l->start_ms >= MAX_LINGER_MS)
    end_linger (l);
}

void
bd_http_linger_check (struct bd_http_server *server, int64_t now_ms)
{
  struct bd_http_linger *next;

  for (struct bd_http_linger *l = server->lingering; l != NULL; l = next)
    {
      next = l->next;
      check (l, now_ms);
    }
}

void
bd_http_linger_finish (struct bd_http_server *server)
{
  while (server->lingering != NULL)
    {
      struct bd_http_linger *l = server->lingering;

      drop_input (l->fd, &l->read_bytes);
      end_linger (l);
    }
}

/* Connections that only send.  */

#include "tests/fakes/hostile.h"

#include "base/timer.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

struct hostile
{
  int fd;
  char *bytes;
  size_t size;
  size_t sent;
};

static int
close_connection (struct hostile *hostile)
{
  close (hostile->fd);
  return 0;
}

/* What does not fit into the socket is left out.  */
static void
send_until (struct hostile *hostile, size_t end)
{
  send (hostile->fd, hostile->bytes + hostile->sent, end - hostile->sent,
        MSG_NOSIGNAL | MSG_DONTWAIT);
  hostile->sent = end;
}

static void
send_rest (void *ctx)
{
  struct hostile *hostile = ctx;

  send_until (hostile, hostile->size);
}

static void
leave (void *ctx)
{
  struct hostile *hostile = ctx;

  talloc_free (hostile);
}

void
hostile_send (struct tevent_context *events, const char *address,
              uint32_t port, const char *bytes, size_t size, size_t first,
              int64_t leave_ms)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  struct hostile *hostile = talloc_zero (events, struct hostile);

  hostile->fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  hostile->bytes = talloc_memdup (hostile, bytes, size);
  hostile->size = size;
  talloc_set_destructor (hostile, close_connection);
  inet_pton (AF_INET, address, &to.sin_addr);
  /* On the loopback interface it is open at once, or refused.  */
  connect (hostile->fd, (struct sockaddr *)&to, sizeof to);
  send_until (hostile, first);
  bd_timer_add (events, hostile, leave_ms / 2, send_rest, hostile);
  bd_timer_add (events, hostile, leave_ms, leave, hostile);
}

/* Clients.  */

#include "stand.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

int
client_connect (uint32_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval limit = { .tv_sec = 10 };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

void
new_id (char id[NAME])
{
  static pthread_mutex_t id_lock = PTHREAD_MUTEX_INITIALIZER;
  static uint64_t last;

  pthread_mutex_lock (&id_lock);
  if (last == 0)
    last = (uint64_t)unix_ms () << 16;
  snprintf (id, NAME, "%016llx", (unsigned long long)++last);
  pthread_mutex_unlock (&id_lock);
}

struct answer
client_ask (struct connection *c, const char *method, const char *path,
            const char *id, const char *key, const char *extra,
            const char *body)
{
  struct answer a = { .status = 0 };
  struct message m;
  char *text;
  int size = asprintf (&text,
                       "%s %s HTTP/1.1\r\nHost: ficu95.example\r\n"
                       "Attempt-Id: %s\r\nDeadline-Ms: 5000\r\n"
                       "Authorization: Bearer %s\r\n%sContent-Length: "
                       "%zu\r\n\r\n%s",
                       method, path, id, key, extra, strlen (body), body);

  if (size < 0)
    finish (2);
  if (send_all (c->fd, text, (size_t)size) && read_head (c, &m))
    {
      const char *seal = header (&m, "Response-Seal");
      const char *own = header (&m, "Attempt-Id");

      a.status = atoi (m.first + strlen ("HTTP/1.1 "));
      snprintf (a.seal, NAME, "%s", seal != NULL ? seal : "");
      snprintf (a.id, NAME, "%s", own != NULL ? own : "");
      a.is_whole = read_body (c, &m);
      a.size = m.size;
      free_message (&m);
    }
  free (text);
  return a;
}

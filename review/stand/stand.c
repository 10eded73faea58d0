/* Time, record and HTTP of the stand-ins.  */

#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms;
static FILE *record;

static int64_t
clock_ms (clockid_t clock)
{
  struct timespec t;

  clock_gettime (clock, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC) - start_ms;
}

int64_t
unix_ms (void)
{
  return clock_ms (CLOCK_REALTIME);
}

void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  while (nanosleep (&t, &t) != 0 && errno == EINTR)
    continue;
}

bool
has_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

/* Nothing may outlast the 120 seconds of a case.  */
static void
handle_alarm (int number)
{
  (void)number;
  for (int i = 0; i < daemon_count; i++)
    if (daemons[i].pid > 0)
      kill (daemons[i].pid, SIGKILL);
  _exit (2);
}

void
stand_start (const char *folder)
{
  char path[4096];

  start_ms = clock_ms (CLOCK_MONOTONIC);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, handle_alarm);
  signal (SIGTERM, handle_alarm);
  signal (SIGINT, handle_alarm);
  alarm (115);
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record = fopen (path, "w");
  if (record == NULL)
    exit (2);
  note ("trouble: %s", has_trouble () ? "yes" : "no");
}

void
note (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%9.3f  ", (double)now_ms () / 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
finish (int code)
{
  for (int i = 0; i < daemon_count; i++)
    if (daemons[i].pid > 0 && daemon_is_running (&daemons[i]))
      kill (daemons[i].pid, SIGKILL);
  for (int i = 0; i < daemon_count; i++)
    if (daemons[i].pid > 0)
      waitpid (daemons[i].pid, NULL, 0);
  note ("result: %s", code == 1   ? "the rule was broken"
                      : code == 0 ? "the rule held"
                                  : "the case could not run");
  fflush (record);
  _exit (code);
}

static bool
fill (struct connection *c)
{
  ssize_t count;

  if (c->capacity - c->used < 65536)
    {
      c->capacity = c->capacity * 2 + 131072;
      c->buffer = realloc (c->buffer, c->capacity);
    }
  do
    count = recv (c->fd, c->buffer + c->used, c->capacity - c->used - 1, 0);
  while (count < 0 && errno == EINTR);
  if (count <= 0)
    return false;
  c->used += (size_t)count;
  c->buffer[c->used] = '\0';
  return true;
}

static void
drop (struct connection *c, size_t size)
{
  memmove (c->buffer, c->buffer + size, c->used - size);
  c->used -= size;
  c->buffer[c->used] = '\0';
}

static char *
trim (char *text)
{
  char *end;

  text += strspn (text, " \t");
  end = text + strlen (text);
  while (end > text && (end[-1] == ' ' || end[-1] == '\t'))
    *--end = '\0';
  return text;
}

bool
read_head (struct connection *c, struct message *m)
{
  char *end = NULL;
  char *line;
  char *next;

  memset (m, 0, sizeof *m);
  while (c->used == 0
         || (end = memmem (c->buffer, c->used, "\r\n\r\n", 4)) == NULL)
    if (!fill (c))
      return false;
  m->head = strndup (c->buffer, (size_t)(end - c->buffer));
  drop (c, (size_t)(end - c->buffer) + 4);
  for (line = m->head; line != NULL; line = next)
    {
      char *colon;

      next = strstr (line, "\r\n");
      if (next != NULL)
        {
          *next = '\0';
          next += 2;
        }
      if (line == m->head)
        {
          snprintf (m->first, sizeof m->first, "%s", line);
          continue;
        }
      colon = strchr (line, ':');
      if (colon == NULL || m->count == MAX_HEADERS)
        continue;
      *colon = '\0';
      m->names[m->count] = line;
      m->values[m->count++] = trim (colon + 1);
    }
  return true;
}

const char *
header (const struct message *m, const char *name)
{
  for (int i = 0; i < m->count; i++)
    if (strcasecmp (m->names[i], name) == 0)
      return m->values[i];
  return NULL;
}

static void
append (struct message *m, const char *data, size_t size)
{
  m->body = realloc (m->body, m->size + size + 1);
  memcpy (m->body + m->size, data, size);
  m->size += size;
  m->body[m->size] = '\0';
}

static bool
read_chunks (struct connection *c, struct message *m)
{
  for (;;)
    {
      char *end;
      size_t size;
      size_t line;

      while ((end = c->used > 0 ? memmem (c->buffer, c->used, "\r\n", 2)
                                : NULL)
             == NULL)
        if (!fill (c))
          return false;
      size = strtoul (c->buffer, NULL, 16);
      line = (size_t)(end - c->buffer) + 2;
      while (c->used < line + size + 2)
        if (!fill (c))
          return false;
      append (m, c->buffer + line, size);
      drop (c, line + size + 2);
      if (size == 0)
        return true;
    }
}

bool
read_body (struct connection *c, struct message *m)
{
  const char *length = header (m, "Content-Length");
  size_t size = length != NULL ? strtoul (length, NULL, 10) : 0;

  append (m, "", 0);
  if (header (m, "Transfer-Encoding") != NULL)
    return m->is_whole = read_chunks (c, m);
  while (c->used < size)
    if (!fill (c))
      return false;
  if (size > 0)
    {
      append (m, c->buffer, size);
      drop (c, size);
    }
  return m->is_whole = true;
}

void
free_message (struct message *m)
{
  free (m->head);
  free (m->body);
  m->head = m->body = NULL;
}

bool
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t count = send (fd, data, size, MSG_NOSIGNAL);

      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        return false;
      data += count;
      size -= (size_t)count;
    }
  return true;
}

bool
respond (int fd, int status, const char *headers, const char *body,
         size_t size)
{
  char *text;
  int length = asprintf (&text,
                         "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n",
                         status, status < 400 ? "OK" : "Error",
                         headers != NULL ? headers : "", size);
  bool is_sent;

  text = realloc (text, (size_t)length + size);
  memcpy (text + length, body, size);
  is_sent = send_all (fd, text, (size_t)length + size);
  free (text);
  return is_sent;
}

int
listen_on (uint32_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)*port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 512) != 0)
    {
      close (fd);
      return -1;
    }
  getsockname (fd, (struct sockaddr *)&address, &size);
  *port = ntohs (address.sin_port);
  return fd;
}

/* A port below those that the system gives to connections, so that none takes
   it before the daemon listens.  */
uint32_t
free_port (void)
{
  static uint32_t next;

  if (next == 0)
    next = 15000 + (uint32_t)getpid () * 37 % 12000;
  for (int i = 0; i < 1000; i++)
    {
      uint32_t port = next++;
      int fd = listen_on (&port);

      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
  finish (2);
}

struct server
{
  int fd;
  void (*handle) (void *ctx, int fd);
  void *ctx;
};

struct accepted
{
  struct server *server;
  int fd;
};

static void *
run_connection (void *ctx)
{
  struct accepted *a = ctx;

  a->server->handle (a->server->ctx, a->fd);
  free (a);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *ctx)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, ctx) != 0)
    finish (2);
  pthread_attr_destroy (&attributes);
}

static void *
run_server (void *ctx)
{
  struct server *server = ctx;
  int on = 1;

  for (;;)
    {
      struct accepted *a;
      int fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);

      if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
        continue;
      if (fd < 0)
        return NULL;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      a = malloc (sizeof *a);
      *a = (struct accepted){ server, fd };
      start_thread (run_connection, a);
    }
}

void
serve (int listen_fd, void (*handle) (void *ctx, int fd), void *ctx)
{
  struct server *server = malloc (sizeof *server);

  *server = (struct server){ listen_fd, handle, ctx };
  start_thread (run_server, server);
}

void
close_connection (struct connection *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
  free (c->buffer);
  free (c->extra);
  c->buffer = c->extra = NULL;
  c->used = c->capacity = 0;
}

/* HTTP load generator: sends POST requests to a port of 127.0.0.1 over
   keep-alive connections, one request at a time on each.

   load PORT PATH BODY [name=value...]
     connections=N  number of connections, default 16
     seconds=S      duration, default 2
     rate=R         requests per second over all connections; 0, the default,
                    sends the next request as soon as a response is complete
     pid=P          process whose CPU time is measured
     header=H       additional request header, "Name: value"

   Prints one line of seven columns: requests per second, requests per second
   of CPU time, errors, median and 99th percentile of the latency in
   microseconds, server-sent events per second, and events per second of CPU
   time.  The columns per CPU time are 0 without pid.  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  MAX_LATENCIES = 4000000,
  BUFFER_SIZE = 65536,
  MAX_EVENTS = 256
};

struct connection
{
  int fd;
  bool is_busy;
  int64_t sent_us;
  size_t used;
  char buffer[BUFFER_SIZE];
};

struct load
{
  uint32_t port;
  char *request;
  size_t request_size;
  struct connection *connections;
  uint32_t connection_count;
  int epoll_fd;
  uint32_t *latencies_us;
  uint64_t latency_count;
  uint64_t responses;
  uint64_t errors;
  uint64_t events;
};

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void
open_connection (struct load *load, struct connection *c)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = c };
  int enable = 1;

  address.sin_port = htons ((uint16_t)load->port);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  c->fd = socket (AF_INET, SOCK_STREAM, 0);
  c->used = 0;
  c->is_busy = false;
  if (connect (c->fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      perror ("connect");
      exit (1);
    }
  setsockopt (c->fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
  epoll_ctl (load->epoll_fd, EPOLL_CTL_ADD, c->fd, &event);
}

static void
send_request (struct load *load, struct connection *c)
{
  c->is_busy = true;
  c->used = 0;
  c->sent_us = now_us ();
  if (send (c->fd, load->request, load->request_size, MSG_NOSIGNAL)
      != (ssize_t)load->request_size)
    load->errors++;
}

/* Whether the buffer contains a complete response.  A response without
   Content-Length is chunked and complete with its last chunk, which is still
   found after read_response has shortened a long stream.  */
static bool
is_response_complete (struct connection *c)
{
  char *body = memmem (c->buffer, c->used, "\r\n\r\n", 4);
  char *length_header;

  if (body == NULL)
    return false;
  body += 4;
  length_header = strcasestr (c->buffer, "Content-Length: ");
  if (length_header != NULL && length_header < body)
    return c->used - (size_t)(body - c->buffer)
           >= strtoul (length_header + 16, NULL, 10);
  return c->used >= 5 && memcmp (c->buffer + c->used - 5, "0\r\n\r\n", 5) == 0;
}

static void
count_events (struct load *load, const char *data, size_t size)
{
  const char *end = data + size;

  while ((data = memmem (data, (size_t)(end - data), "data: {", 7)) != NULL)
    {
      load->events++;
      data += 7;
    }
}

static void
record_response (struct load *load, struct connection *c)
{
  if (strncmp (c->buffer, "HTTP/1.1 200", 12) != 0)
    load->errors++;
  load->responses++;
  if (load->latency_count < MAX_LATENCIES)
    load->latencies_us[load->latency_count++]
        = (uint32_t)(now_us () - c->sent_us);
  c->is_busy = false;
}

static bool
read_response (struct load *load, struct connection *c)
{
  ssize_t received;

  if (c->used > BUFFER_SIZE / 2)
    {
      /* Keeps the head and the last 16 bytes of a long stream, enough to find
         the last chunk.  */
      memmove (c->buffer + 1024, c->buffer + c->used - 16, 16);
      c->used = 1040;
    }
  received = recv (c->fd, c->buffer + c->used, BUFFER_SIZE - 1 - c->used, 0);
  if (received <= 0)
    {
      load->errors++;
      close (c->fd);
      open_connection (load, c);
      return true;
    }
  count_events (load, c->buffer + c->used, (size_t)received);
  c->used += (size_t)received;
  c->buffer[c->used] = '\0';
  if (!is_response_complete (c))
    return false;
  record_response (load, c);
  return true;
}

static struct connection *
find_idle (struct load *load)
{
  for (uint32_t i = 0; i < load->connection_count; i++)
    if (!load->connections[i].is_busy)
      return &load->connections[i];
  return NULL;
}

static void
run_load (struct load *load, double seconds, double rate)
{
  struct epoll_event events[MAX_EVENTS];
  int64_t start_us = now_us ();
  int64_t end_us = start_us + (int64_t)(seconds * 1e6);
  uint64_t sent = 0;

  for (uint32_t i = 0; rate == 0 && i < load->connection_count; i++)
    send_request (load, &load->connections[i]);
  while (now_us () < end_us)
    {
      double due_requests = rate * (double)(now_us () - start_us) / 1e6;
      struct connection *idle;
      int ready;
      while (rate > 0 && (double)sent < due_requests
             && (idle = find_idle (load)) != NULL)
        {
          send_request (load, idle);
          sent++;
        }
      ready = epoll_wait (load->epoll_fd, events, MAX_EVENTS,
                          rate > 0 ? 0 : 100);
      for (int i = 0; i < ready; i++)
        {
          struct connection *c = events[i].data.ptr;
          if (read_response (load, c) && rate == 0)
            send_request (load, c);
        }
    }
}

static double
cpu_time_s (const char *pid)
{
  char path[64];
  char text[1024];
  unsigned long user_ticks = 0;
  unsigned long system_ticks = 0;
  FILE *file;
  char *stat_fields;

  snprintf (path, sizeof path, "/proc/%s/stat", pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fgets (text, sizeof text, file) != NULL
      && (stat_fields = strrchr (text, ')')) != NULL)
    sscanf (stat_fields + 2,
            "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user_ticks,
            &system_ticks);
  fclose (file);
  return (double)(user_ticks + system_ticks) / (double)sysconf (_SC_CLK_TCK);
}

static int
compare (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return left < right ? -1 : left > right;
}

static uint32_t
quantile (struct load *load, double q)
{
  if (load->latency_count == 0)
    return 0;
  return load->latencies_us[(uint64_t)(q * (double)(load->latency_count - 1))];
}

static const char *
option_value (int argc, char **argv, const char *name,
              const char *default_value)
{
  size_t name_length = strlen (name);

  for (int i = 4; i < argc; i++)
    if (strncmp (argv[i], name, name_length) == 0
        && argv[i][name_length] == '=')
      return argv[i] + name_length + 1;
  return default_value;
}

int
main (int argc, char **argv)
{
  struct load load = { 0 };
  double seconds;
  double rate;
  double cpu_s;
  const char *pid;
  const char *header;

  if (argc < 4)
    {
      fprintf (stderr, "usage: load PORT PATH BODY [name=value...]\n");
      return 2;
    }
  seconds = strtod (option_value (argc, argv, "seconds", "2"), NULL);
  rate = strtod (option_value (argc, argv, "rate", "0"), NULL);
  pid = option_value (argc, argv, "pid", "0");
  header = option_value (argc, argv, "header", "X-None: 1");
  load.port = (uint32_t)strtoul (argv[1], NULL, 10);
  load.connection_count = (uint32_t)strtoul (
      option_value (argc, argv, "connections", "16"), NULL, 10);
  load.request_size = (size_t)asprintf (
      &load.request,
      "POST %s HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: %zu\r\n\r\n%s",
      argv[2], header, strlen (argv[3]), argv[3]);
  load.epoll_fd = epoll_create1 (0);
  load.latencies_us = malloc (MAX_LATENCIES * sizeof *load.latencies_us);
  load.connections = calloc (load.connection_count, sizeof *load.connections);
  for (uint32_t i = 0; i < load.connection_count; i++)
    open_connection (&load, &load.connections[i]);
  cpu_s = cpu_time_s (pid);
  run_load (&load, seconds, rate);
  cpu_s = cpu_time_s (pid) - cpu_s;
  qsort (load.latencies_us, load.latency_count, sizeof *load.latencies_us,
         compare);
  printf ("%.0f %.0f %llu %u %u %.0f %.0f\n", (double)load.responses / seconds,
          cpu_s > 0 ? (double)load.responses / cpu_s : 0,
          (unsigned long long)load.errors, quantile (&load, 0.5),
          quantile (&load, 0.99), (double)load.events / seconds,
          cpu_s > 0 ? (double)load.events / cpu_s : 0);
  free (load.latencies_us);
  free (load.connections);
  free (load.request);
  return 0;
}

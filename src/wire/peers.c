/* TCP connections between daemons.  */

#include "wire/peers.h"

#include "base/ids.h"
#include "base/timer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  LISTEN_BACKLOG = 256,
  /* Until the next try after a lack of descriptors or memory.  */
  ACCEPT_RETRY_MS = 100,
  /* Incoming connections of one address.  A sound daemon has one, but several
     can share an address.  */
  MAX_CONNECTIONS = 128,
  MAX_QUEUE_BYTES = 4 << 20,
  MAX_FRAME_BYTES = 4 << 20,
  /* Most bytes of one frame, and of frames whose lengths are not known, that
     are read before the other connections have their turn: small frames cost
     more than the same bytes of a large one.  */
  READ_BYTES = 16 * 1024,
  READ_AHEAD_BYTES = 512,
  FRAME_LENGTH_BYTES = 4,
  /* TCP closes a connection when sent data stays unacknowledged for this time,
     for example due to a network partition.  The next message reconnects.  */
  UNACKNOWLEDGED_TIMEOUT_MS = 1500
};

struct bd_peer_connection
{
  struct bd_peers *peers;
  struct sockaddr_in socket_address;
  int fd;
  struct tevent_fd *event;
  char *buffer; /* NULL when it is empty.  */
  size_t used;
  struct bd_memory_share share;
  uint64_t last_use; /* Of incoming ones.  */
  uint32_t queued;   /* Messages since the buffer was empty; outgoing ones.  */
  bool is_busy;      /* Its messages are being handled.  */
  bool has_ended;    /* While it was busy.  */
  struct bd_peer_connection **list;
  struct bd_peer_connection *prev;
  struct bd_peer_connection *next;
};

static int
destroy_connection (struct bd_peer_connection *c)
{
  bd_memory_leave (&c->share);
  TALLOC_FREE (c->event);
  close (c->fd);
  if (c->prev != NULL)
    c->prev->next = c->next;
  else
    *c->list = c->next;
  if (c->next != NULL)
    c->next->prev = c->prev;
  return 0;
}

/* Ends a connection that takes too much.  */
static void
end_connection (void *ctx)
{
  struct bd_peer_connection *c = ctx;

  bd_count (c->peers->counters, BD_COUNT_PEER_ENDED);
  bd_count_add (c->peers->counters, BD_COUNT_PEER_DROPPED, c->queued);
  if (c->is_busy)
    c->has_ended = true;
  else
    talloc_free (c);
}

/* Keeps the used part of the buffer.  */
static void
shrink_buffer (struct bd_peer_connection *c)
{
  if (c->used == 0)
    TALLOC_FREE (c->buffer);
  else
    c->buffer = talloc_realloc (c, c->buffer, char, c->used);
  bd_memory_resize (&c->share, c->used);
}

/* Makes room for more bytes behind the used ones.  Returns false if the
   connection was freed instead.  */
static bool
grow_buffer (struct bd_peer_connection *c, size_t bytes)
{
  if (!bd_memory_resize (&c->share, c->used + bytes))
    return false;
  c->buffer = talloc_realloc (c, c->buffer, char, c->used + bytes);
  return true;
}

static struct bd_peer_connection *
make_connection (struct bd_peers *peers, struct bd_peer_connection **list,
                 int fd, const struct sockaddr_in *socket_address,
                 uint16_t flags, tevent_fd_handler_t handler)
{
  struct bd_peer_connection *c
      = talloc_zero (peers->events, struct bd_peer_connection);
  unsigned timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS;
  int on = 1;

  c->peers = peers;
  c->fd = fd;
  c->socket_address = *socket_address;
  bd_memory_join (
      &c->share, peers->memory,
      bd_hash (&socket_address->sin_addr, sizeof socket_address->sin_addr),
      end_connection, c);
  c->list = list;
  c->next = *list;
  if (c->next != NULL)
    c->next->prev = c;
  *list = c;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
  c->event = tevent_add_fd (peers->events, c, fd, flags, handler, c);
  talloc_set_destructor (c, destroy_connection);
  return c;
}

static void
handle_frame (struct bd_peer_connection *c, const char *data, size_t size)
{
  enum bd_message_type type;
  void *message = bd_message_unpack (c, data, size, &type);

  if (message == NULL)
    {
      bd_count (c->peers->counters, BD_COUNT_PEER_UNREADABLE);
      return;
    }
  c->last_use = ++c->peers->last_use;
  c->peers->handler (c->peers->ctx, type, message);
  talloc_free (message);
}

/* Handles every complete frame in the buffer.  Returns false when the stream
   is malformed or the connection has ended since.  */
static bool
handle_frames (struct bd_peer_connection *c)
{
  size_t start = 0;

  while (!c->has_ended && c->used - start >= FRAME_LENGTH_BYTES)
    {
      uint32_t size;
      memcpy (&size, c->buffer + start, sizeof size);
      size = ntohl (size);
      if (size > MAX_FRAME_BYTES)
        return false;
      if (c->used - start - FRAME_LENGTH_BYTES < size)
        break;
      handle_frame (c, c->buffer + start + FRAME_LENGTH_BYTES, size);
      start += FRAME_LENGTH_BYTES + size;
    }
  if (start == 0 || c->has_ended)
    return !c->has_ended;
  memmove (c->buffer, c->buffer + start, c->used - start);
  c->used -= start;
  shrink_buffer (c);
  return true;
}

/* How much to read next: what the frame lacks that has begun, within the
   limits.  */
static size_t
get_read_size (const struct bd_peer_connection *c)
{
  uint32_t size;

  if (c->used < FRAME_LENGTH_BYTES)
    return READ_AHEAD_BYTES;
  memcpy (&size, c->buffer, sizeof size);
  return CLAMP ((size_t)FRAME_LENGTH_BYTES + ntohl (size) - c->used,
                READ_AHEAD_BYTES, READ_BYTES);
}

static void
handle_incoming (struct tevent_context *events, struct tevent_fd *event,
                 uint16_t flags, void *private_data)
{
  struct bd_peer_connection *c = private_data;
  size_t size = get_read_size (c);
  ssize_t received;
  bool is_sound;

  (void)events;
  (void)event;
  (void)flags;
  if (!grow_buffer (c, size))
    return;
  received = recv (c->fd, c->buffer + c->used, size, MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (received <= 0)
    {
      talloc_free (c);
      return;
    }
  bd_count_add (c->peers->counters, BD_COUNT_PEER_BYTES_IN,
                (uint64_t)received);
  c->used += (size_t)received;
  c->is_busy = true;
  is_sound = handle_frames (c);
  c->is_busy = false;
  if (!is_sound)
    talloc_free (c);
}

/* Ends one of the connections of an address if it has as many as it may.  */
static void
limit_connections (struct bd_peers *peers,
                   const struct sockaddr_in *socket_address)
{
  struct bd_peer_connection *oldest = NULL;
  uint32_t count = 0;

  for (struct bd_peer_connection *c = peers->incoming; c != NULL; c = c->next)
    if (c->socket_address.sin_addr.s_addr == socket_address->sin_addr.s_addr)
      {
        count++;
        if (oldest == NULL || c->last_use < oldest->last_use)
          oldest = c;
      }
  if (count >= MAX_CONNECTIONS)
    end_connection (oldest);
}

static void
accept_again (void *ctx)
{
  struct bd_peers *peers = ctx;

  peers->accept_timer = NULL;
  tevent_fd_set_flags (peers->listen_event, TEVENT_FD_READ);
}

/* A connection that cannot be accepted stays, and the socket readable.  */
static void
pause_accepting (struct bd_peers *peers)
{
  peers->accept_timer = bd_timer_add (peers->events, peers->events,
                                      ACCEPT_RETRY_MS, accept_again, peers);
  if (peers->accept_timer != NULL)
    tevent_fd_set_flags (peers->listen_event, 0);
}

static void
handle_listen (struct tevent_context *events, struct tevent_fd *event,
               uint16_t flags, void *private_data)
{
  struct bd_peers *peers = private_data;
  struct bd_peer_connection *c;
  struct sockaddr_in socket_address = { .sin_family = AF_INET };
  socklen_t size = sizeof socket_address;
  int fd = accept4 (peers->listen_fd, (struct sockaddr *)&socket_address,
                    &size, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)events;
  (void)event;
  (void)flags;
  if (fd < 0)
    {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS
          || errno == ENOMEM)
        pause_accepting (peers);
      return;
    }
  limit_connections (peers, &socket_address);
  c = make_connection (peers, &peers->incoming, fd, &socket_address,
                       TEVENT_FD_READ, handle_incoming);
  c->last_use = ++peers->last_use;
}

static void
handle_outgoing (struct tevent_context *events, struct tevent_fd *event,
                 uint16_t flags, void *private_data)
{
  struct bd_peer_connection *c = private_data;
  char byte;
  ssize_t sent;

  (void)events;
  if ((flags & TEVENT_FD_READ) != 0
      && recv (c->fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0)
    {
      talloc_free (c);
      return;
    }
  if ((flags & TEVENT_FD_WRITE) == 0)
    return;
  sent = send (c->fd, c->buffer, c->used, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN && errno != EINTR)
    {
      talloc_free (c);
      return;
    }
  if (sent > 0)
    {
      memmove (c->buffer, c->buffer + sent, c->used - (size_t)sent);
      c->used -= (size_t)sent;
    }
  if (c->used > 0)
    return;
  shrink_buffer (c);
  c->queued = 0;
  tevent_fd_set_flags (event, TEVENT_FD_READ);
}

bool
bd_peers_init (struct bd_peers *peers, struct tevent_context *events,
               struct bd_counters *counters, const char *address,
               uint32_t port, bd_peers_handler *handler, void *ctx)
{
  struct sockaddr_in socket_address = { .sin_family = AF_INET };
  int on = 1;

  memset (peers, 0, sizeof *peers);
  peers->events = events;
  peers->counters = counters;
  peers->handler = handler;
  peers->ctx = ctx;
  socket_address.sin_port = htons ((uint16_t)port);
  if (inet_pton (AF_INET, address, &socket_address.sin_addr) != 1)
    return false;
  peers->listen_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (peers->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (peers->listen_fd, (struct sockaddr *)&socket_address,
            sizeof socket_address)
          != 0
      || listen (peers->listen_fd, LISTEN_BACKLOG) != 0)
    {
      close (peers->listen_fd);
      return false;
    }
  peers->listen_event = tevent_add_fd (events, events, peers->listen_fd,
                                       TEVENT_FD_READ, handle_listen, peers);
  return true;
}

void
bd_peers_set_memory (struct bd_peers *peers, struct bd_memory *memory)
{
  peers->memory = memory;
}

void
bd_peers_finish (struct bd_peers *peers)
{
  if (peers->events == NULL)
    return;
  TALLOC_FREE (peers->accept_timer);
  TALLOC_FREE (peers->listen_event);
  close (peers->listen_fd);
  while (peers->outgoing != NULL)
    talloc_free (peers->outgoing);
  while (peers->incoming != NULL)
    talloc_free (peers->incoming);
  peers->events = NULL;
}

static struct bd_peer_connection *
find_or_open_connection (struct bd_peers *peers,
                         const struct sockaddr_in *socket_address)
{
  struct bd_peer_connection *c;
  int fd;

  for (c = peers->outgoing; c != NULL; c = c->next)
    if (c->socket_address.sin_port == socket_address->sin_port
        && c->socket_address.sin_addr.s_addr
               == socket_address->sin_addr.s_addr)
      return c;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (connect (fd, (const struct sockaddr *)socket_address,
               sizeof *socket_address)
          != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  return make_connection (peers, &peers->outgoing, fd, socket_address,
                          TEVENT_FD_READ | TEVENT_FD_WRITE, handle_outgoing);
}

/* Counts the kinds of messages that make up most of the traffic.  */
static void
count_kind (struct bd_peers *peers, enum bd_message_type type, size_t size)
{
  switch (type)
    {
    case BD_MESSAGE_EDGE_STATUS:
    case BD_MESSAGE_HEARTBEAT:
      bd_count (peers->counters, BD_COUNT_PEER_STATUS_OUT);
      bd_count_add (peers->counters, BD_COUNT_PEER_STATUS_BYTES_OUT, size);
      break;
    case BD_MESSAGE_FRESHNESS_REQUEST:
    case BD_MESSAGE_FRESHNESS_REPLY:
    case BD_MESSAGE_EVACUATIONS:
      bd_count (peers->counters, BD_COUNT_PEER_FRESHNESS_OUT);
      bd_count_add (peers->counters, BD_COUNT_PEER_FRESHNESS_BYTES_OUT, size);
      break;
    default:
      break;
    }
}

void
bd_peers_send (struct bd_peers *peers, const char *address, uint32_t port,
               enum bd_message_type type, const void *message)
{
  struct sockaddr_in socket_address = { .sin_family = AF_INET };
  struct bd_peer_connection *c;
  msgpack_sbuffer frame;

  socket_address.sin_port = htons ((uint16_t)port);
  if (inet_pton (AF_INET, address, &socket_address.sin_addr) != 1)
    return;
  c = find_or_open_connection (peers, &socket_address);
  if (c == NULL)
    return;
  msgpack_sbuffer_init (&frame);
  bd_message_pack (&frame, type, message);
  if (c->used + frame.size > MAX_QUEUE_BYTES || !grow_buffer (c, frame.size))
    bd_count (peers->counters, BD_COUNT_PEER_DROPPED);
  else
    {
      memcpy (c->buffer + c->used, frame.data, frame.size);
      c->used += frame.size;
      c->queued++;
      bd_count (peers->counters, BD_COUNT_PEER_MESSAGES_OUT);
      bd_count_add (peers->counters, BD_COUNT_PEER_BYTES_OUT, frame.size);
      count_kind (peers, type, frame.size);
      tevent_fd_set_flags (c->event, TEVENT_FD_READ | TEVENT_FD_WRITE);
    }
  msgpack_sbuffer_destroy (&frame);
}

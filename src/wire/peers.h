/* Connections between daemons: one TCP connection for each direction, msgpack
   frames, bounded send queues.  Messages to an unreachable peer are dropped;
   a daemon that needs a reply sends its request again.

   Buffers are shares of an account, with the peer's address as source: a
   connection whose share is evicted ends.  An address has a limited number of
   incoming connections; a further one ends that which has brought no message
   for the longest time.  Both kinds of ends are counted.  */

#ifndef BD_WIRE_PEERS_H
#define BD_WIRE_PEERS_H

#include "base/counters.h"
#include "memory/memory.h"
#include "wire/messages.h"

#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

struct bd_peers;

/* Called for each received message.  message is freed when the handler
   returns.  */
typedef void bd_peers_handler (void *ctx, enum bd_message_type type,
                               const void *message);

struct bd_peer_connection;

struct bd_peers
{
  struct tevent_context *events;
  struct bd_counters *counters;
  bd_peers_handler *handler;
  void *ctx;
  struct bd_memory *memory; /* NULL: not limited.  */
  uint64_t last_use;        /* Of any incoming connection.  */
  int listen_fd;
  struct tevent_fd *listen_event;
  struct bd_timer *accept_timer;       /* NULL: accepts connections.  */
  struct bd_peer_connection *outgoing; /* Linked list.  */
  struct bd_peer_connection *incoming; /* Linked list.  */
};

/* bd_peers_init(): listens on address and port and calls handler with ctx for
   each message.  Returns false when the port cannot be bound or address is not
   an IPv4 address.  */
bool bd_peers_init (struct bd_peers *peers, struct tevent_context *events,
                    struct bd_counters *counters, const char *address,
                    uint32_t port, bd_peers_handler *handler, void *ctx);

/* bd_peers_set_memory(): buffers of later connections are shares of memory.
   To be called before the first connection.  */
void bd_peers_set_memory (struct bd_peers *peers, struct bd_memory *memory);

/* bd_peers_finish(): stops listening and closes all connections.  */
void bd_peers_finish (struct bd_peers *peers);

/* bd_peers_send(): queues message for the daemon at address and port.  Opens a
   connection if there is none.  Drops the message when the queue is full, and
   the whole queue when its share is evicted.  */
void bd_peers_send (struct bd_peers *peers, const char *address, uint32_t port,
                    enum bd_message_type type, const void *message);

#endif

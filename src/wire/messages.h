/* Messages between daemons and their encoding.

   Each message type has a struct and a table of its fields, from which one
   pair of functions encodes and decodes all messages with msgpack.  A frame
   consists of the payload length in 4 bytes, big-endian, and the payload, an
   array [type, fields...].  The position in enum bd_message_type is the type
   on the wire, and the order of the fields in the tables is their order there.

   Daemons of several builds exchange messages during an upgrade, so a type
   keeps its fields.  A daemon drops types that it does not know, and ignores
   fields appended to those that it knows; earlier builds drop a message with
   such fields, so what they have to understand needs a type of its own.  */

#ifndef BD_WIRE_MESSAGES_H
#define BD_WIRE_MESSAGES_H

#include "base/ids.h"
#include "directory/directory.h"
#include "poison/poison.h"
#include "traffic/traffic.h"

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum bd_message_type
{
  BD_MESSAGE_HEARTBEAT,
  BD_MESSAGE_DATA_CENTRE,
  BD_MESSAGE_REMOTE_CAPACITY,
  BD_MESSAGE_STATE_REQUEST,
  BD_MESSAGE_CONFIG,
  BD_MESSAGE_ASSIGNMENT,
  BD_MESSAGE_INSTANCES,
  BD_MESSAGE_INSTANCE_REPORTS,
  BD_MESSAGE_GROUP_REPORTS,
  BD_MESSAGE_POISON,
  BD_MESSAGE_CLAIM,
  BD_MESSAGE_CLAIM_REPLY,
  BD_MESSAGE_EDGE_STATUS,
  BD_MESSAGE_FRESHNESS_REQUEST,
  BD_MESSAGE_FRESHNESS_REPLY,
  BD_MESSAGE_SUSPICION,
  BD_MESSAGE_LEAVING,
  BD_MESSAGE_LIMITS,
  BD_MESSAGE_LIST_REQUEST,
  BD_MESSAGE_LIST_REPLY,
  BD_MESSAGE_EVACUATIONS,
  BD_MESSAGE_COUNT
};

/* Demand of one client account on one service at one daemon.  */
struct bd_usage
{
  uint64_t key; /* Hash of service and account.  */
  double per_s;
};

/* Periodic liveness message of a daemon, with the versions of its state.  */
struct bd_heartbeat
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t http_port;
  uint32_t peer_port;
  int64_t incarnation;
  int64_t config_revision;
  int64_t assignment_term;
  int64_t assignment_sequence;
  bool is_stopping;
  struct bd_usage *usages;
  uint32_t usage_count;
};

/* Capacity of a data centre for calls of one service.  */
struct bd_service_capacity
{
  uint64_t service_hash;
  uint32_t free;   /* Calls that can start now.  */
  uint32_t queued; /* Calls in the queue.  */
};

/* Status and capacity of a data centre, which its relay sends to the relays of
   other data centres (BD_MESSAGE_DATA_CENTRE).
   In BD_MESSAGE_REMOTE_CAPACITY, a relay sends the daemons of its own data
   centre the services for which other data centres have capacity.  Then name,
   address and http_port are those of the relay, and live and lowest_revision
   are not set.  */
struct bd_data_centre_status
{
  char name[BD_NAME_SIZE];
  uint32_t live;              /* Number of live daemons.  */
  int64_t lowest_revision;    /* Lowest configuration revision of a daemon.  */
  char address[BD_NAME_SIZE]; /* Of the daemon that accepts calls for it. */
  uint32_t http_port;
  struct bd_service_capacity *capacities;
  uint32_t capacity_count;
};

/* Requests the state of which the receiver has a newer version.  */
struct bd_state_request
{
  char from[BD_NAME_SIZE];
  bool wants_config;
  bool wants_assignment;
  bool wants_instances;
};

/* The active configuration or a patch of it, the assignment of the data
   centre, or its part of the instance list, as JSON.  */
struct bd_document
{
  const char *text;
};

/* State of one instance as its prober last saw it.  */
struct bd_instance_report
{
  char instance[BD_NAME_SIZE];
  uint32_t age_ms; /* Of the report.  */
  uint32_t phase;  /* enum bd_phase */
  char group[BD_NAME_SIZE];
  int64_t incarnation;
  char model[BD_NAME_SIZE];
  char version[BD_NAME_SIZE];
  uint32_t running; /* Calls that run on it.  */
};

/* Sent to the controller of the data centre.  */
struct bd_instance_reports
{
  struct bd_instance_report *items;
  uint32_t count;
};

/* A complete group: all of its members have reported the same incarnation.  */
struct bd_group_report
{
  uint64_t id_hash;
  int64_t incarnation;
  uint32_t age_ms;  /* Of the oldest report.  */
  uint32_t running; /* Calls that run on the group.  */
};

/* Sent to every daemon of the data centre.  */
struct bd_group_reports
{
  struct bd_group_report *items;
  uint32_t count;
};

/* Evidence of what crashed endpoints.  */
struct bd_poison_update
{
  struct bd_poison_evidence *items;
  uint32_t count;
  uint32_t stage; /* enum bd_news_stage */
};

/* Request to the owner of a shard to record a claim or its outcome.  */
struct bd_claim_request
{
  char reply_address[BD_NAME_SIZE];
  uint32_t reply_port;
  uint32_t hops;       /* Number of times daemons have forwarded it.  */
  char id[BD_ID_SIZE]; /* Of the call.  */
  char key[BD_ID_SIZE];
  uint64_t fingerprint;
  uint32_t kind; /* enum bd_claim_kind */
  uint32_t status;
  const char *content_type;
  const char *body;
  uint32_t hold_ms;
};

struct bd_claim_reply
{
  char id[BD_ID_SIZE];
  uint32_t kind;   /* Of the request.  */
  uint32_t result; /* enum bd_claim_result */
  uint32_t status;
  const char *content_type;
  const char *body;
};

enum bd_status_scope
{
  BD_STATUS_DAEMON,      /* Of the sender.  */
  BD_STATUS_DATA_CENTRE, /* Sum over the data centre of the sender, a relay. */
  BD_STATUS_FLEET,   /* Reply of a relay: sum over all but the receiver.  */
  BD_STATUS_MEMBERS, /* Reply without traffic: only the live daemons.  */
  /* Without traffic, to a daemon that counts as dead, which replies.  */
  BD_STATUS_QUERY
};

/* A live daemon.  */
struct bd_live_daemon
{
  uint64_t name_hash;
  bool is_stopping;
  bool is_isolated;
};

/* Periodic status of an edge daemon: liveness, traffic and demand.  The
   accounts of the traffic are empty unless shares of accounts are on; a status
   without them has the bytes of earlier builds.  */
struct bd_edge_status
{
  uint32_t scope; /* enum bd_status_scope; of the traffic, not of the rest.  */
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t peer_port;
  int64_t incarnation;
  int64_t config_version; /* The highest one in the scope.  */
  uint32_t handover_port; /* 0: requests cannot be handed over to it.  */
  bool is_stopping;
  bool is_isolated; /* It has lost its links to endpoints.  */
  bool has_traffic;
  bool wants_reply;         /* The receiver, a relay, sends the fleet's.  */
  uint64_t live_checksum;   /* Of the live daemons that the sender knows.  */
  uint64_t poison_checksum; /* Of its evidence of crashes.  */
  uint64_t limits_checksum; /* Of the request limits that it knows.  */
  struct bd_traffic_report traffic;
  /* Live daemons in the scope; empty when the receiver knows them.  */
  struct bd_live_daemon *live;
  uint32_t live_count;
};

/* Asks a peer how fresh its configuration and its instance list are.  */
struct bd_freshness_request
{
  char from[BD_NAME_SIZE];
  int64_t sent_ms; /* On the requester's clock; echoed in the reply.  */
  int64_t config_version;
  bool wants_instances;
  struct bd_directory_position position; /* In the log of a peer.  */
  /* Of the large configuration that it has; 0: it needs a whole one.  */
  uint64_t config_checksum;
};

/* Reply to bd_freshness_request.  An age is the time since the peer sent the
   store call that confirmed the state.  */
struct bd_freshness_reply
{
  int64_t sent_ms;
  int64_t config_version;
  int64_t config_age_ms;
  /* Empty when the requester has this version, gets the deltas or has been
     sent the whole text just before.  */
  const char *config;
  int64_t era; /* Of the store.  */
  int64_t instances_age_ms;
  bool has_frame; /* The next changes of the instance list follow.  */
  struct bd_directory_frame frame;
  /* For which entries that the list lacks can have expired.  */
  int64_t window_ms;
  /* What makes the configuration of the one that the requester has named, and
     its checksum then (document/history.h); NULL or empty for none.  */
  const char *config_deltas;
  uint64_t config_checksum;
};

/* Name of an evacuated data centre.  */
struct bd_evacuated
{
  char name[BD_NAME_SIZE];
};

/* The evacuated data centres that the sender knows; follows a
   bd_freshness_reply.  It is a message of its own because builds up to b94131c
   drop replies with more fields.  */
struct bd_evacuation_update
{
  int64_t sent_ms; /* Of the request, on the requester's clock.  */
  int64_t era;     /* Of the store.  */
  /* Since the sending of the store call that returned the set.  */
  int64_t age_ms;
  struct bd_evacuated *items;
  uint32_t count;
};

/* An endpoint has said in a response that it leaves.  */
struct bd_leaving_update
{
  char endpoint[BD_NAME_SIZE];
  int64_t started_ms; /* Of its incarnation.  */
  uint32_t stage;     /* enum bd_news_stage */
};

/* What an endpoint has said of itself in its responses: the request limit over
   all daemons, and whether it leaves.  */
struct bd_endpoint_limit
{
  char endpoint[BD_NAME_SIZE];
  int64_t started_ms; /* Of its incarnation.  */
  double per_s;       /* 0: it no longer has any limit.  */
  int64_t age_ms; /* Since the response that last named it; -1: none has.  */
  bool is_leaving;
};

struct bd_limits_update
{
  struct bd_endpoint_limit *items;
  uint32_t count;
  uint32_t stage; /* enum bd_news_stage */
};

/* Asks a daemon of the same data centre for its part of the instance list.  */
struct bd_list_request
{
  char from[BD_NAME_SIZE];
  int64_t sent_ms;   /* On the requester's clock; echoed in the replies.  */
  uint64_t checksum; /* Of its list; 0: it has none.  */
};

/* Reply to bd_list_request, also repeated when the list changes later.  */
struct bd_list_reply
{
  int64_t sent_ms;
  /* From the platform call that returned the list until the request arrived;
     negative if the call was sent after it.  */
  int64_t age_ms;
  uint64_t checksum;
  const char *text; /* JSON; empty when the requester has this list.  */
};

/* Sent to the controller when a group with traffic sends no events and is
   suspected to have failed.  Sent by the controller to all daemons, with
   is_dissolved, when it dissolves a group.  */
struct bd_suspicion_update
{
  uint64_t group;
  bool is_dissolved;
  uint32_t stage; /* enum bd_news_stage; used with is_dissolved.  */
  /* Its leader is ordered to leave, which ends what it runs.  */
  bool ends_requests;
};

/* bd_message_pack(): appends a frame to buffer.  message points to the struct
   that belongs to type.  */
void bd_message_pack (msgpack_sbuffer *buffer, enum bd_message_type type,
                      const void *message);

/* bd_message_unpack(): decodes the payload of a frame, size bytes without the
   length.  Sets *type and returns the struct that belongs to it, allocated on
   ctx, or NULL when the payload is malformed or its type unknown.  */
void *bd_message_unpack (void *ctx, const char *data, size_t size,
                         enum bd_message_type *type);

#endif

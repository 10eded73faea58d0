/* Messages between daemons and their encoding.

   Each message is a struct; a table of fields describes it, and one pair of
   functions packs and unpacks them all with msgpack.  A frame is its length
   in 4 bytes, big-endian, and an array [type, fields...].  */

#ifndef BD_WIRE_MESSAGES_H
#define BD_WIRE_MESSAGES_H

#include "base/ids.h"

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
  BD_MESSAGE_COUNT
};

/* Demand of one client account on one service at one daemon.  */
struct bd_usage
{
  uint64_t key; /* Hash of service and account.  */
  double per_s;
};

/* A daemon is alive; what it holds.  */
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

/* Room that a data centre has for calls of one service.  */
struct bd_service_capacity
{
  uint64_t service_hash;
  uint32_t free;   /* Calls that could start now.  */
  uint32_t queued; /* Calls that wait.  */
};

/* What a relay says of its data centre; other relays pass it on.  */
struct bd_data_centre_status
{
  char name[BD_NAME_SIZE];
  uint32_t live;
  int64_t lowest_revision;
  char address[BD_NAME_SIZE]; /* Of the daemon that takes calls for it.  */
  uint32_t http_port;
  struct bd_service_capacity *capacities;
  uint32_t capacity_count;
};

/* Asks for what the sender lacks.  */
struct bd_state_request
{
  char from[BD_NAME_SIZE];
  bool wants_config;
  bool wants_assignment;
  bool wants_instances;
};

/* The configuration in force, the allotment of the data centre, or its part
   of the instance list, as JSON text.  */
struct bd_document
{
  const char *text;
};

/* What an observer has seen of one instance.  Goes to the keeper.  */
struct bd_instance_report
{
  char instance[BD_NAME_SIZE];
  uint32_t age_ms;
  uint32_t phase;
  char group[BD_NAME_SIZE];
  int64_t incarnation;
  char model[BD_NAME_SIZE];
  char version[BD_NAME_SIZE];
  uint32_t running;
};

struct bd_instance_reports
{
  struct bd_instance_report *items;
  uint32_t count;
};

/* A group whose members have all been seen in one incarnation.  Goes to every
   daemon of the data centre.  */
struct bd_group_report
{
  uint64_t id_hash;
  int64_t incarnation;
  uint32_t age_ms; /* Of the oldest report.  */
  uint32_t running;
};

struct bd_group_reports
{
  struct bd_group_report *items;
  uint32_t count;
};

/* A request that was running where a replica died.  */
struct bd_poison_update
{
  uint64_t fingerprint;
  uint64_t target; /* Hash of group and incarnation of the death.  */
  bool is_cleared;
};

/* Asks the owner of a shard to record a claim or its outcome.  */
struct bd_claim_request
{
  char reply_address[BD_NAME_SIZE];
  uint32_t reply_port;
  uint32_t hops;
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

/* A daemon's traffic with one group or endpoint.  */
struct bd_target_traffic
{
  uint64_t target; /* Hash of the group and epoch, or of the endpoint.  */
  uint32_t in_flight;
  double reading_ms;        /* Prompts that are being read, in time.  */
  uint32_t progress_age_ms; /* Since the last event from it.  */
};

/* Work that callers of a daemon offer for one model.  */
struct bd_model_demand
{
  uint64_t model;       /* Hash of its name.  */
  double busy_replicas; /* Replicas that it keeps busy.  */
};

/* An edge daemon is alive; its traffic and what it knows.  */
struct bd_edge_status
{
  char name[BD_NAME_SIZE];
  char data_centre[BD_NAME_SIZE];
  char address[BD_NAME_SIZE];
  uint32_t peer_port;
  int64_t incarnation;
  int64_t config_version;
  bool is_stopping;
  bool has_traffic;
  struct bd_target_traffic *targets;
  uint32_t target_count;
  struct bd_model_demand *work;
  uint32_t work_count;
};

/* Asks how newly a peer knows the newest configuration and the instance
   list.  */
struct bd_freshness_request
{
  char from[BD_NAME_SIZE];
  int64_t sent_ms; /* By the asking daemon's clock; comes back.  */
  int64_t config_version;
  bool wants_instances;
  int64_t instances_stamp; /* Of the list that the asking daemon holds.  */
};

/* The answer.  Ages count from the sending of the store call that the peer
   goes by.  */
struct bd_freshness_reply
{
  int64_t sent_ms;
  int64_t config_version;
  int64_t config_age_ms;
  const char *config; /* Empty when the asking daemon has this version.  */
  int64_t instances_age_ms;
  int64_t instances_stamp;
  const char *instances; /* Empty when not wanted, or when it is held.  */
};

/* A group is silent under traffic: goes to the keeper.  Or it is being taken
   apart: the keeper tells all.  */
struct bd_suspicion_update
{
  uint64_t group;
  bool is_dissolved;
};

/* bd_message_pack(): appends a frame with message to buffer.  */
void bd_message_pack (msgpack_sbuffer *buffer, enum bd_message_type type,
                      const void *message);

/* bd_message_unpack(): reads the payload of a frame.
   Returns the message on ctx, of the struct that belongs to *type, or NULL
   when it is malformed.  Unknown types are malformed.  */
void *bd_message_unpack (void *ctx, const char *data, size_t size,
                         enum bd_message_type *type);

#endif

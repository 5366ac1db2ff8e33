#ifndef RAGWORTYOKE_WIRE_H
#define RAGWORTYOKE_WIRE_H

/**
 * @file
 * Messages between the system's own processes.  A message is a keyed tag
 * followed by a MessagePack array whose first element is the message kind.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/member.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/replica.h"
#include "ragwortyoke/request.h"
#include "ragwortyoke/steering.h"
#include "ragwortyoke/str.h"

#define RGY_WIRE_TAG_BYTES 16
#define RGY_WIRE_KEY_BYTES 32
/** Largest datagram that is filled with gossip or entries.  */
#define RGY_WIRE_DATAGRAM_BYTES 1200
#define RGY_WIRE_MAX_ENTRIES 32
#define RGY_WIRE_MAX_SAMPLE 8
#define RGY_WIRE_MAX_USAGE 16

enum rgy_message_kind
{
  RGY_MSG_DATA = 1,
  RGY_MSG_ANSWER,
  RGY_MSG_HEARTBEAT,
  RGY_MSG_HEARTBEAT_ACK,
  RGY_MSG_ENTRIES,
  RGY_MSG_GOSSIP,
  RGY_MSG_GOSSIP_ACK,
  RGY_MSG_PEER_STATE,
  RGY_MSG_PEER_STATE_ACK,
  RGY_MSG_HANDOVER,
  RGY_MSG_HANDOVER_ACK,
  RGY_MSG_PROBE,
  RGY_MSG_PROBE_ACK,
  RGY_MSG_SYNC_REQUEST,
  RGY_MSG_SYNC_REPLY,
  RGY_MSG_KIND_COUNT
};
extern const char *const rgy_message_kind_string[];

struct rgy_data_message
{
  struct rgy_endpoint caller;
  struct rgy_endpoint service;
  struct rgy_name customer;
  uint64_t contract_revision;
  uint64_t view; /**< View number of the balancer's bucket table.  */
  struct rgy_endpoint balancer;
  struct rgy_steer_trail trail;
  struct rgy_bytes payload;
};

struct rgy_answer_message
{
  struct rgy_endpoint caller;
  struct rgy_endpoint service;
  struct rgy_bytes payload;
};

/** Digests of the entry classes, indexed by enum rgy_entry_class.  In the
    messages of an agent the AGENT digest covers only the agents of its own
    service, and the BALANCER digest is 0.  */
struct rgy_digests
{
  uint64_t of[RGY_ENTRY_CLASS_COUNT];
};

struct rgy_heartbeat_message
{
  struct rgy_agent_record record;
  struct rgy_digests digests;
  uint32_t flows;
  uint32_t running;
  uint32_t limit; /**< Admission limit, in slots.  */
  uint64_t refused[RGY_REFUSAL_REASON_COUNT]; /**< Refusals since
                                                 the agent started.  */
};

struct rgy_heartbeat_ack_message
{
  struct rgy_name balancer;
  struct rgy_endpoint sync;
  struct rgy_digests digests; /**< Digests that the agent should have.  */
  uint64_t agent_epoch;       /**< Version of the agent's record
                                 at the balancer.  */
  uint64_t agent_sequence;
  struct rgy_balancer_record sample[RGY_WIRE_MAX_SAMPLE];
  size_t sample_count;
};

struct rgy_entries_message
{
  struct rgy_name from;
  const struct rgy_entry *entries[RGY_WIRE_MAX_ENTRIES];
  struct rgy_entry decoded[RGY_WIRE_MAX_ENTRIES];
  size_t count;
};

struct rgy_gossip_message
{
  struct rgy_name from;
  struct rgy_endpoint sync;
  struct rgy_digests digests;
  struct rgy_entries_message entries;
};

struct rgy_usage
{
  struct rgy_name customer;
  uint64_t open_flows;
  uint64_t new_flows_per_s;
  uint64_t requests;
};

struct rgy_peer_state_message
{
  struct rgy_name from;
  uint64_t epoch;
  uint64_t sequence;
  struct rgy_bucket_set may_hold;
  bool can_accept; /**< True without a queue and below
                      the connection limit.  */
  uint32_t flows;
  struct rgy_usage usage[RGY_WIRE_MAX_USAGE];
  size_t usage_count;
};

struct rgy_peer_state_ack_message
{
  struct rgy_name from;
  uint64_t epoch; /**< Version of the acknowledged state.  */
  uint64_t sequence;
  uint64_t own_sequence; /**< Sequence of the agent that acknowledges.  */
};

struct rgy_handover_message
{
  struct rgy_name from;
  uint64_t transfer_id;
  struct rgy_bytes state; /**< State as encoded by
                             rgy_handover_state_encode().  */
};

struct rgy_handover_ack_message
{
  struct rgy_name from;
  uint64_t transfer_id;
  bool accepted;
};

struct rgy_probe_message
{
  struct rgy_name from;
  uint64_t nonce;
  /** Agent that the sender asks about; only a balancer that is in contact with
      this agent answers.  Empty when the probe is for the receiver itself.  */
  struct rgy_name subject;
};

/** Request for the entries of some classes, with the sub-digests of the
    sender's own entries.  */
struct rgy_sync_request_message
{
  struct rgy_name from;
  uint32_t classes;            /**< Requested classes, a bit mask
                                  of enum rgy_entry_class.  */
  struct rgy_endpoint service; /**< Set by agents to get only the agents of
                                  this service.  */
  uint64_t subdigests[RGY_ENTRY_CLASS_COUNT][RGY_SUBDIGEST_COUNT];
};

struct rgy_message
{
  enum rgy_message_kind kind;
  union
  {
    struct rgy_data_message data;
    struct rgy_answer_message answer;
    struct rgy_heartbeat_message heartbeat;
    struct rgy_heartbeat_ack_message heartbeat_ack;
    struct rgy_entries_message entries; /**< Also for SYNC_REPLY.  */
    struct rgy_gossip_message gossip;   /**< Also for GOSSIP_ACK.  */
    struct rgy_peer_state_message peer_state;
    struct rgy_peer_state_ack_message peer_state_ack;
    struct rgy_handover_message handover;
    struct rgy_handover_ack_message handover_ack;
    struct rgy_probe_message probe; /**< Also for PROBE_ACK.  */
    struct rgy_sync_request_message sync_request;
  } u;
};

/** Codec: the key and reusable buffers.  */
struct rgy_wire;

/** @param key  RGY_WIRE_KEY_BYTES bytes, shared by all processes; copied.  */
struct rgy_wire *rgy_wire_new (const uint8_t *key);
void rgy_wire_delete (struct rgy_wire *wire);

/** Encode a message.  The bytes stay valid until the next call.  */
struct rgy_bytes rgy_wire_encode (struct rgy_wire *wire,
                                  const struct rgy_message *message);

/** Decode a message.  Byte ranges point into @p datagram.
    @return RGY_OK, RGY_ERR_AUTH, RGY_ERR_INVALID or RGY_ERR_UNSUPPORTED
    (unknown kind).  */
enum rgy_outcome rgy_wire_decode (struct rgy_wire *wire,
                                  struct rgy_bytes datagram,
                                  struct rgy_message *message);

#endif

#ifndef RAGWORTYOKE_HANDOVER_H
#define RAGWORTYOKE_HANDOVER_H

/**
 * @file
 * Handover of a flow with its observations from one agent to another.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/flow.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

#define RGY_HANDOVER_MAX_OBSERVATIONS 4
#define RGY_HANDOVER_MAX_RECORDS 8
#define RGY_HANDOVER_MAX_EPOCHS 4
#define RGY_HANDOVER_RETRANSMIT_US INT64_C (200000)
#define RGY_HANDOVER_ATTEMPTS 15

/** One observation: the registration and the last sequence number sent.  */
struct rgy_handover_observation
{
  struct rgy_bytes registration; /**< GET datagram of the caller.  */
  uint32_t last_sequence;        /**< 24-bit Observe value; 0: none sent.  */
  bool notified;                 /**< At least one notification was sent.  */
};

/** One deduplication record.  */
struct rgy_handover_record
{
  uint16_t message_id;
  struct rgy_bytes token;
  struct rgy_bytes response; /**< Stored answer; empty: outcome unknown.  */
  uint32_t age_ms;           /**< Time since the request.  */
};

/** State of a flow that is handed over.  */
struct rgy_handover_state
{
  struct rgy_flow_key key;
  struct rgy_name customer;
  struct rgy_handover_observation observations[RGY_HANDOVER_MAX_OBSERVATIONS];
  size_t observation_count;
  struct rgy_handover_record records[RGY_HANDOVER_MAX_RECORDS];
  size_t record_count;
  uint64_t echo_epochs[RGY_HANDOVER_MAX_EPOCHS]; /**< Epochs whose Echo values
                                                    are still valid.  */
  size_t echo_epoch_count;
};

/** Encode a state; its counts must be within the limits above.  The caller
    frees the result with g_byte_array_unref().  */
GByteArray *rgy_handover_state_encode (const struct rgy_handover_state *state);

/** Decode a state.  Byte ranges of @p state point into @p bytes.
    @return RGY_OK, RGY_ERR_UNSUPPORTED (unknown kind of flow key) or
    RGY_ERR_INVALID; @p state is unchanged unless RGY_OK.  */
enum rgy_outcome rgy_handover_state_decode (struct rgy_bytes bytes,
                                            struct rgy_handover_state *state);

/* Sending agent: transfers under way.  */

enum rgy_transfer_event_kind
{
  RGY_TRANSFER_SEND,  /**< Send the state of @c flow_id to @c target.  */
  RGY_TRANSFER_FAILED /**< The target did not answer, or is dead or removed;
                         the transfer has ended.  */
};

struct rgy_transfer_event
{
  enum rgy_transfer_event_kind kind;
  uint64_t flow_id;
  uint64_t transfer_id;
  struct rgy_name target;
  /** For RGY_TRANSFER_FAILED: the target is dead or removed; choose another
      one.  When false, the target may own the flow although its answers were
      lost; the transfer to it is to be repeated while it is live, and it
      accepts a flow that it already owns.  */
  bool target_unavailable;
};

struct rgy_transfers;

struct rgy_transfers *rgy_transfers_new (void);
void rgy_transfers_delete (struct rgy_transfers *transfers);
/** Begin the transfer of a flow.
    @return RGY_OK, or RGY_ERR_CONFLICT when a transfer of the flow is under
    way.  */
enum rgy_outcome rgy_transfers_begin (struct rgy_transfers *transfers,
                                      uint64_t flow_id,
                                      const struct rgy_name *target,
                                      int64_t now_us);
/** Get the next event that is due.  @return false when there is none.  */
bool rgy_transfers_next (struct rgy_transfers *transfers, int64_t now_us,
                         struct rgy_transfer_event *event);
/** Record the answer of the target.
    @return RGY_OK with the flow's ID (the transfer has ended), or
    RGY_ERR_NOT_FOUND.  */
enum rgy_outcome rgy_transfers_note_ack (struct rgy_transfers *transfers,
                                         uint64_t transfer_id,
                                         const struct rgy_name *target,
                                         uint64_t *flow_id);
/** Cancel the transfer of a flow, for example because the flow closed.  */
void rgy_transfers_cancel (struct rgy_transfers *transfers, uint64_t flow_id);
/** Cancel all transfers to a target that is dead or removed.  Each of them
    yields RGY_TRANSFER_FAILED at the next rgy_transfers_next().  */
void rgy_transfers_cancel_target (struct rgy_transfers *transfers,
                                  const struct rgy_name *target);
size_t rgy_transfers_get_count (const struct rgy_transfers *transfers);

/* Receiving agent: answers sent.  */

/** Time for which an answer is kept.  It covers all retransmissions
    (RGY_HANDOVER_ATTEMPTS * RGY_HANDOVER_RETRANSMIT_US) and their delay.  */
#define RGY_HANDOVER_REPLY_KEEP_US INT64_C (10000000)

/** Answers to recent transfers.  A retransmitted HANDOVER gets the same answer
    again: a flow refused at first must not be accepted later, when the sending
    agent has already kept it, and a flow that has closed since must not be
    opened again.  */
struct rgy_handover_replies;

struct rgy_handover_replies *rgy_handover_replies_new (void);
void rgy_handover_replies_delete (struct rgy_handover_replies *replies);
void rgy_handover_replies_note (struct rgy_handover_replies *replies,
                                const struct rgy_name *from,
                                uint64_t transfer_id,
                                const struct rgy_flow_key *key, bool accepted,
                                int64_t now_us);
/** @return RGY_OK with the earlier answer, or RGY_ERR_NOT_FOUND.  */
enum rgy_outcome
rgy_handover_replies_find (struct rgy_handover_replies *replies,
                           const struct rgy_name *from, uint64_t transfer_id,
                           const struct rgy_flow_key *key, int64_t now_us,
                           bool *accepted);

#endif

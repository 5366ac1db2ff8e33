#ifndef RAGWORTYOKE_STREAM_ACTION_H
#define RAGWORTYOKE_STREAM_ACTION_H

/**
 * @file
 * Actions that the cores for sequenced flows request.  The adapter carries an
 * action out during the call that emits it; pointers in the action are invalid
 * afterwards.
 */

#include <stdint.h>

#include "ragwortyoke/segment.h"
#include "ragwortyoke/str.h"

enum rgy_stream_action_kind
{
  RGY_STREAM_TO_AGENT,       /**< Forward a segment to the agent at @c ip.  */
  RGY_STREAM_TO_BALANCER,    /**< Return a segment to the balancer at @c
                                  ip.  */
  RGY_STREAM_TO_BACKEND,     /**< Forward a segment to the agent's backend
                                  server.  */
  RGY_STREAM_TO_CALLER,      /**< Forward a segment to the caller of its
                                  flow.  */
  RGY_STREAM_RESET,          /**< Send the caller a reset: its flow is lost or
                                  was not opened.  */
  RGY_STREAM_MESSAGE,        /**< Send a control message to @c ip.  */
  RGY_STREAM_CHECK_BACKEND,  /**< Check whether the backend server's process
                                  runs; if not, call
                                  rgy_stream_agent_backend_not_running().  */
  RGY_STREAM_FETCH_MANIFEST, /**< Request the active manifest of the balancer
                                  at @c ip.  */
  RGY_STREAM_SAVE_FLOWS,     /**< Write the open flows of the balancer's
                                  failure domain to the store, to be removed
                                  some seconds after this process has
                                  ended.  */
  RGY_STREAM_LOAD_FLOWS,     /**< Read them and call
                                  rgy_stream_balancer_set_stored_flows().  */
  RGY_STREAM_LOG,            /**< Log a change in the state of agents,
                                  balancers or the configuration.  */
  RGY_STREAM_LOG_FLOW        /**< Log a decision about one flow.  */
};

struct rgy_stream_action
{
  enum rgy_stream_action_kind kind;
  uint32_t ip; /**< Receiver's address in host byte order.  */
  union
  {
    struct
    {
      struct rgy_bytes raw;
      struct rgy_segment_trailer trail;
      struct rgy_flow_key key;
    } segment;
    struct
    {
      struct rgy_flow_key key;
      uint32_t seq; /**< Last number that the caller acknowledged; the sequence
                         number of the reset.  */
    } reset;
    struct rgy_bytes message;
    uint32_t manifest_epoch; /**< Epoch in which the manifest that
                                  RGY_STREAM_FETCH_MANIFEST requests is known
                                to stand.  */
    struct rgy_bytes stored; /**< What RGY_STREAM_SAVE_FLOWS writes.  */
    const char *log;
  } u;
};

/** Callback that receives the actions of a core, and its context.  */
struct rgy_stream_action_sink
{
  void (*emit) (void *ctx, const struct rgy_stream_action *action);
  void *ctx;
};

/** Bytes of a formatted flow: two endpoints, an arrow and a terminator.  */
#define RGY_FLOW_TEXT_BYTES (2 * RGY_ENDPOINT_TEXT_BYTES + 2)

/** Format a flow as "CALLER>SERVICE" into @p text, which has
    RGY_FLOW_TEXT_BYTES; returns @p text.  */
const char *rgy_flow_key_format (const struct rgy_flow_key *key, char *text);

/** Emit an action of @p kind that forwards a segment.  */
void rgy_stream_emit_segment (const struct rgy_stream_action_sink *out,
                              enum rgy_stream_action_kind kind, uint32_t ip,
                              const struct rgy_flow_key *key,
                              struct rgy_bytes raw,
                              struct rgy_segment_trailer trail);
/** Emit RGY_STREAM_RESET for the caller of a flow.  */
void rgy_stream_emit_reset (const struct rgy_stream_action_sink *out,
                            const struct rgy_flow_key *key, uint32_t seq);

struct rgy_stream_message;
/** Encode a control message and emit it to @p ip.
    @return bytes of the encoded message.  */
size_t rgy_stream_emit_message (const struct rgy_stream_action_sink *out,
                                uint32_t ip,
                                const struct rgy_stream_message *message);
/** Emit RGY_STREAM_LOG with a formatted line; texts above 399 bytes are
    truncated.  */
void rgy_stream_emit_log (const struct rgy_stream_action_sink *out,
                          const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Emit RGY_STREAM_LOG_FLOW with a formatted line; texts above 399 bytes are
    truncated.  */
void rgy_stream_emit_flow_log (const struct rgy_stream_action_sink *out,
                               const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif

#ifndef RAGWORTYOKE_STREAM_ACTION_H
#define RAGWORTYOKE_STREAM_ACTION_H

/**
 * @file
 * What the cores for sequenced flows want done.  The adapter carries an action
 * out during the call that emits it; nothing in it stays valid afterwards.
 */

#include <stdint.h>

#include "ragwortyoke/segment.h"
#include "ragwortyoke/str.h"

enum rgy_stream_action_kind
{
  RGY_STREAM_TO_AGENT,       /**< Segment to the agent at @c ip.  */
  RGY_STREAM_TO_BALANCER,    /**< Segment back to the balancer at @c ip.  */
  RGY_STREAM_TO_BACKEND,     /**< Segment to the agent's backend server.  */
  RGY_STREAM_TO_CALLER,      /**< Segment to the caller of its flow.  */
  RGY_STREAM_RESET,          /**< Tell the caller that its flow is lost.  */
  RGY_STREAM_MESSAGE,        /**< Control message to @c ip.  */
  RGY_STREAM_CHECK_BACKEND,  /**< Find out whether the backend server runs,
                                  and call rgy_stream_agent_backend_absent()
                                  if it does not.  */
  RGY_STREAM_FETCH_MANIFEST, /**< Ask the balancer at @c ip for its own.  */
  RGY_STREAM_LOG,            /**< A change of what the core believes.  */
  RGY_STREAM_LOG_FLOW        /**< A decision about one flow.  */
};

struct rgy_stream_action
{
  enum rgy_stream_action_kind kind;
  uint32_t ip; /**< Receiver, host byte order.  */
  union
  {
    struct
    {
      struct rgy_bytes raw;
      struct rgy_trail trail;
      struct rgy_flow_key key;
    } segment;
    struct
    {
      struct rgy_flow_key key;
      uint32_t seq; /**< What the caller acknowledged last.  */
    } reset;
    struct rgy_bytes message;
    const char *log;
  } u;
};

/** Receiver of actions.  */
struct rgy_stream_out
{
  void (*emit) (void *ctx, const struct rgy_stream_action *action);
  void *ctx;
};

/** Bytes for a formatted flow: two endpoints, an arrow and a terminator.  */
#define RGY_FLOW_TEXT_BYTES (2 * RGY_ENDPOINT_TEXT_BYTES + 2)

/** Format as "CALLER>SERVICE"; returns @p text.  */
const char *rgy_flow_key_format (const struct rgy_flow_key *key, char *text);

void rgy_stream_emit_segment (const struct rgy_stream_out *out,
                              enum rgy_stream_action_kind kind, uint32_t ip,
                              const struct rgy_flow_key *key,
                              struct rgy_bytes raw, struct rgy_trail trail);
void rgy_stream_emit_reset (const struct rgy_stream_out *out,
                            const struct rgy_flow_key *key, uint32_t seq);

struct rgy_stream_message;
void rgy_stream_emit_message (const struct rgy_stream_out *out, uint32_t ip,
                              const struct rgy_stream_message *message);
void rgy_stream_emit_log (const struct rgy_stream_out *out, const char *format,
                          ...) __attribute__ ((format (printf, 2, 3)));
void rgy_stream_emit_flow_log (const struct rgy_stream_out *out,
                               const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif

#ifndef RAGWORTYOKE_PRIVATE_STREAM_TRAFFIC_H
#define RAGWORTYOKE_PRIVATE_STREAM_TRAFFIC_H

/**
 * @file
 * Bytes of the control messages that a process sends, by kind and by the
 * failure domain of the receiver.
 */

#include "ragwortyoke/counter.h"
#include "ragwortyoke/stream_action.h"
#include "ragwortyoke/stream_message.h"

/** Where the receiver of a message is.  */
enum rgy_receiver_domain
{
  RGY_RECEIVER_SAME_DOMAIN,
  RGY_RECEIVER_OTHER_DOMAIN,
  RGY_RECEIVER_UNKNOWN_DOMAIN,
  RGY_RECEIVER_DOMAIN_COUNT
};

struct rgy_stream_traffic
{
  uint64_t *bytes[RGY_STREAM_MESSAGE_KIND_COUNT][RGY_RECEIVER_DOMAIN_COUNT];
};

/** Register the counters.  */
void rgy_stream_traffic_init (struct rgy_stream_traffic *traffic,
                              struct rgy_counters *counters);

/** Emit a message to @p ip and count its bytes.  */
void rgy_stream_traffic_send (struct rgy_stream_traffic *traffic,
                              const struct rgy_stream_action_sink *out,
                              uint32_t ip,
                              const struct rgy_stream_message *message,
                              enum rgy_receiver_domain receiver);

#endif

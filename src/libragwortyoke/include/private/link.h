#ifndef RAGWORTYOKE_PRIVATE_LINK_H
#define RAGWORTYOKE_PRIVATE_LINK_H

/**
 * @file
 * Encoding and decoding of the messages between the system's processes, shared
 * by the agent core and the balancer core: codec, decoding buffer and
 * counters.
 */

#include "ragwortyoke/action.h"
#include "ragwortyoke/counter.h"
#include "ragwortyoke/wire.h"

struct rgy_link
{
  struct rgy_wire *wire;
  struct rgy_message *message; /**< Message decoded last.  */
  uint64_t *bad_tag;
  uint64_t *bad_message;
  uint64_t *control_messages_in;
  uint64_t *control_bytes_in;
  uint64_t *control_bytes_out;
};

void rgy_link_init (struct rgy_link *link, const uint8_t *key,
                    struct rgy_counters *counters);
void rgy_link_finish (struct rgy_link *link);

/** Encode and send a control message.  */
void rgy_link_send (struct rgy_link *link, struct rgy_endpoint to,
                    const struct rgy_message *message,
                    struct rgy_actions *actions);

/** Decode and count a datagram.
    @return the message, valid until the next call, or NULL when the datagram
    is invalid.  */
struct rgy_message *rgy_link_receive (struct rgy_link *link,
                                      struct rgy_bytes datagram);

#endif

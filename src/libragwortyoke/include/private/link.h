#ifndef RAGWORTYOKE_PRIVATE_LINK_H
#define RAGWORTYOKE_PRIVATE_LINK_H

/**
 * @file
 * Messages between the processes of the system, as both cores send and
 * receive them: codec, scratch message and counters.
 */

#include "ragwortyoke/action.h"
#include "ragwortyoke/counter.h"
#include "ragwortyoke/wire.h"

struct rgy_link
{
  struct rgy_wire *wire;
  struct rgy_message *message; /**< Last message received.  */
  uint64_t *bad_tag;
  uint64_t *bad_message;
  uint64_t *control_in;
  uint64_t *control_bytes_in;
  uint64_t *control_bytes_out;
};

void rgy_link_init (struct rgy_link *link, const uint8_t *key,
                    struct rgy_counters *counters);
void rgy_link_finish (struct rgy_link *link);

/** Send a control message.  */
void rgy_link_send (struct rgy_link *link, struct rgy_endpoint to,
                    const struct rgy_message *message,
                    struct rgy_actions *actions);

/** Decode a datagram and count it.
    @return the message, valid until the next call, or NULL.  */
struct rgy_message *rgy_link_receive (struct rgy_link *link,
                                      struct rgy_bytes datagram);

#endif

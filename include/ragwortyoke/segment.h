#ifndef RAGWORTYOKE_SEGMENT_H
#define RAGWORTYOKE_SEGMENT_H

/**
 * @file
 * Segments: packets of sequenced flows, whose two ends number and acknowledge
 * what they send.
 */

#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/flow.h"
#include "ragwortyoke/str.h"

/** Flags of a segment; combined as a bit set.  */
enum rgy_segment_flag
{
  RGY_SEGMENT_SYN = 1 << 0,
  RGY_SEGMENT_ACK = 1 << 1,
  RGY_SEGMENT_FIN = 1 << 2,
  RGY_SEGMENT_RST = 1 << 3,
  RGY_SEGMENT_BOUNCED = 1 << 4 /**< A backend server that does not serve the
                                    flow returned the segment.  */
};

/** Mark on a segment for the process that receives it next.  */
enum rgy_segment_mark
{
  RGY_MARK_NONE = 0,
  /** To a balancer: the agent does not own the flow and returns the segment.
      To an agent, on a first segment: no agent is known that could answer the
      flow's request sooner.  */
  RGY_MARK_NOT_OWNED = 1,
  RGY_MARK_LAST_OFFER = RGY_MARK_NOT_OWNED
};

/** Fields that balancers and agents attach to a segment for each other; the
    ends of the flow ignore them.  */
struct rgy_segment_trailer
{
  uint32_t service_tag; /**< rgy_service_tag() of the service that the segment
                             is meant for.  */
  uint32_t balancer_ip; /**< Balancer that gets the segment back if the agent
                             does not own the flow; 0 if none.  */
  enum rgy_segment_mark mark;
  int64_t goal_us; /**< Time within which the route's requests should be
                        answered; 0 if unknown.  */
};

/** A decoded segment.  The bytes in @c raw are forwarded; only the fields of
    @c trail are replaced in them.  */
struct rgy_segment
{
  struct rgy_flow_key key;
  bool from_service; /**< True if the backend server sent the segment, false if
                          the caller did.  */
  uint8_t flags;     /**< Bits of enum rgy_segment_flag.  */
  uint32_t seq;
  uint32_t ack;
  uint16_t payload_len;
  struct rgy_segment_trailer trail;
  struct rgy_bytes raw;
};

/** Time after which no copy of the first segment of a flow arrives: a caller
    sends the last one after 0.6 s and gives up after 1.4 s.  */
#define RGY_SEGMENT_OPENING_US INT64_C (2000000)

/** True for the first segment of a flow: SYN without ACK.  */
static inline bool
rgy_segment_is_opening (const struct rgy_segment *segment)
{
  return (segment->flags & (RGY_SEGMENT_SYN | RGY_SEGMENT_ACK))
         == RGY_SEGMENT_SYN;
}

/** Return a 32-bit hash of a service name, never 0.  The value 0 stands for
    "no service" in a segment's trailer.  */
uint32_t rgy_service_tag (const struct rgy_name *service);

/** Bytes of an encoded flow key: the addresses and ports of both ends.  */
#define RGY_FLOW_ENDPOINTS_BYTES 12

/** Write the two ends of @p key to @p out, RGY_FLOW_ENDPOINTS_BYTES long.  */
void rgy_flow_endpoints_encode (const struct rgy_flow_key *key, uint8_t *out);
/** Read a flow key from RGY_FLOW_ENDPOINTS_BYTES at @p in.  */
struct rgy_flow_key rgy_flow_endpoints_decode (const uint8_t *in);

#endif

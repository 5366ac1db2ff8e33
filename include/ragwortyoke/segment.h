#ifndef RAGWORTYOKE_SEGMENT_H
#define RAGWORTYOKE_SEGMENT_H

/**
 * @file
 * Segments: the packets of flows that their two ends number and acknowledge.
 */

#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/flow.h"
#include "ragwortyoke/str.h"

/** Flags of a segment, a bit set.  */
enum rgy_segment_flag
{
  RGY_SEGMENT_SYN = 1 << 0,
  RGY_SEGMENT_ACK = 1 << 1,
  RGY_SEGMENT_FIN = 1 << 2,
  RGY_SEGMENT_RST = 1 << 3,
  RGY_SEGMENT_BOUNCED = 1 << 4 /**< A backend server that does not hold the
                                    flow returned it.  */
};

/** What one process of ours tells the next one with a segment.  */
enum rgy_segment_mark
{
  RGY_MARK_NONE = 0,
  RGY_MARK_MISS = 1 /**< Returned to the balancer: the flow is not here.  */
};

/** Fields that travel with a segment between our processes and that the ends
    of the flow do not read.  */
struct rgy_trail
{
  uint32_t service_tag; /**< rgy_service_tag() of the service meant.  */
  uint32_t balancer_ip; /**< Balancer to return a segment to; 0 if none.  */
  enum rgy_segment_mark mark;
};

/** A decoded segment; @c raw is what is sent on, unchanged but for the
    trail.  */
struct rgy_segment
{
  struct rgy_flow_key key;
  bool from_service; /**< Sent by the backend server, not by the caller.  */
  uint8_t flags;     /**< enum rgy_segment_flag.  */
  uint32_t seq;
  uint32_t ack;
  uint16_t payload_len;
  struct rgy_trail trail;
  struct rgy_bytes raw;
};

/** True for the first segment of a flow: SYN without ACK.  */
static inline bool
rgy_segment_is_opening (const struct rgy_segment *segment)
{
  return (segment->flags & (RGY_SEGMENT_SYN | RGY_SEGMENT_ACK))
         == RGY_SEGMENT_SYN;
}

/** Short hash of a service name, never 0.  */
uint32_t rgy_service_tag (const struct rgy_name *service);

/** Bytes of a flow key in messages.  */
#define RGY_FLOW_ENDS_BYTES 12

void rgy_flow_ends_encode (const struct rgy_flow_key *key, uint8_t *out);
struct rgy_flow_key rgy_flow_ends_decode (const uint8_t *in);

#endif

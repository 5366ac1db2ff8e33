#include "fuzz.h"
#include "platform.h"

/* Fuzz target of the decoder of the platform's packet headers.  */

void
fuzz_add_seeds (GPtrArray *seeds)
{
  uint8_t packet[RGY_PACKET_HEADER_BYTES + 4]
      = { 2, 0, 0, 0, 0, 0, 1, 2, 3, 4 };

  fuzz_add_seed (seeds, packet, RGY_PACKET_HEADER_BYTES);
  packet[0] = 4 | 128;
  packet[31] = 4;
  fuzz_add_seed (seeds, packet, sizeof packet);
}

/* A copy of a valid packet must be a valid packet with the same flow key,
   sequence number and acknowledgement number.  The copy must have the new
   trail and must not be marked as bounced.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  struct rgy_segment_trailer trail = { .service_tag = 1, .balancer_ip = 2 };
  uint8_t out[RGY_PACKET_MAX_BYTES];
  struct rgy_segment segment;
  struct rgy_segment again;
  size_t len;

  if (rgy_packet_decode (input, false, &segment) != RGY_OK)
    return;
  g_assert (input.len <= sizeof out);
  len = rgy_packet_copy (input, &trail, out);
  g_assert (rgy_packet_decode ((struct rgy_bytes){ .data = out, .len = len },
                               false, &again)
            == RGY_OK);
  g_assert (rgy_flow_key_equal (&segment.key, &again.key));
  g_assert (again.seq == segment.seq && again.ack == segment.ack);
  g_assert ((again.flags & RGY_SEGMENT_BOUNCED) == 0);
  g_assert (again.trail.balancer_ip == trail.balancer_ip);
}

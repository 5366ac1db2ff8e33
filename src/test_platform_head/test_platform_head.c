#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "platform.h"

/* Opening segment and reset from the example
   in the description of the users' protocol.  */
static const uint8_t syn_[RGY_PACKET_HEADER_BYTES] = {
  0x02, 0,    0,    0,    0,    0,    0x11, 0x22, 0x33, 0x44, 0,    0,
  0,    0,    0,    0,    0,    0,    0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01,
  0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0,    0,    0xa1, 0xb2, 0xc3, 0xd5
};
static const uint8_t reset_[RGY_PACKET_HEADER_BYTES]
    = { 0x08, 0,    0,    0,    0,    0,    0,    0,    0,    0,    0,    0,
        0,    0,    0,    0,    0,    0,    0x9c, 0x41, 0x64, 0x40, 0x00, 0x07,
        0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0,    0,    0,    0,    0,    0 };

static struct rgy_bytes
make_bytes_ (const uint8_t *data, size_t len)
{
  return (struct rgy_bytes){ .data = data, .len = len };
}

/* The decoder must read the fields at the offsets of the users' protocol; a
   wrong offset would give flows a wrong key.  */
static void
example_of_the_protocol_is_decoded_ (void **state)
{
  struct rgy_segment segment;

  (void)state;
  assert_int_equal (
      rgy_packet_decode (make_bytes_ (syn_, sizeof syn_), false, &segment),
      RGY_OK);
  assert_true (rgy_segment_is_opening (&segment));
  assert_int_equal (segment.seq, 0x11223344);
  assert_int_equal (segment.key.u.segment.caller.ip, 0x64400007);
  assert_int_equal (segment.key.u.segment.caller.port, 40001);
  assert_int_equal (segment.key.u.segment.service.ip, 0xc6120001);
  assert_int_equal (segment.key.u.segment.service.port, 443);
}

/* A reset must come from the service's address and go to the caller; otherwise
   the caller does not match it to its flow and waits for its timeout.  */
static void
reset_is_built_for_the_caller_ (void **state)
{
  struct rgy_segment segment;
  uint8_t out[RGY_PACKET_HEADER_BYTES];

  (void)state;
  rgy_packet_decode (make_bytes_ (syn_, sizeof syn_), false, &segment);
  rgy_packet_build_reset (&segment.key, 0, out);
  assert_memory_equal (out, reset_, sizeof reset_);
}

/* Packets of both directions of a flow must have the same flow key, and a
   bounced packet the key of the caller's packet.  Otherwise an agent would not
   find the flow that they belong to.  */
static void
both_directions_share_a_flow_key_ (void **state)
{
  struct rgy_segment to_service;
  struct rgy_segment to_caller;
  uint8_t bounced[RGY_PACKET_HEADER_BYTES];

  (void)state;
  rgy_packet_decode (make_bytes_ (syn_, sizeof syn_), false, &to_service);
  rgy_packet_decode (make_bytes_ (reset_, sizeof reset_), true, &to_caller);
  assert_true (rgy_flow_key_equal (&to_service.key, &to_caller.key));
  memcpy (bounced, syn_, sizeof bounced);
  bounced[0] |= 128;
  rgy_packet_decode (make_bytes_ (bounced, sizeof bounced), true, &to_caller);
  assert_true (rgy_flow_key_equal (&to_service.key, &to_caller.key));
  assert_false (to_caller.from_service);
}

/* A copy may differ from the packet only in the fields that caller and backend
   server do not read, and in the BOUNCED flag; any other change would corrupt
   the flow.  */
static void
copy_changes_only_the_trailer_ (void **state)
{
  struct rgy_segment_trailer trail = { .service_tag = 0x01020304,
                                       .balancer_ip = 0x0a01000a,
                                       .mark = RGY_MARK_NOT_OWNED };
  uint8_t packet[RGY_PACKET_HEADER_BYTES + 5];
  uint8_t out[RGY_PACKET_MAX_BYTES];
  struct rgy_segment segment;
  size_t i;

  (void)state;
  memcpy (packet, syn_, sizeof syn_);
  memcpy (packet + RGY_PACKET_HEADER_BYTES, "hello", 5);
  packet[31] = 5;
  packet[0] |= 128;
  assert_int_equal (
      rgy_packet_copy (make_bytes_ (packet, sizeof packet), &trail, out),
      sizeof packet);
  for (i = 0; i < sizeof packet; i++)
    if (i == 0)
      assert_int_equal (out[i], 2);
    else if (!(i >= 1 && i < 6) && !(i >= 14 && i < 18))
      assert_int_equal (out[i], packet[i]);
  assert_int_equal (
      rgy_packet_decode (make_bytes_ (out, sizeof packet), false, &segment),
      RGY_OK);
  assert_int_equal (segment.trail.service_tag, trail.service_tag);
  assert_int_equal (segment.trail.balancer_ip, trail.balancer_ip);
  assert_int_equal (segment.trail.mark, RGY_MARK_NOT_OWNED);
  trail = (struct rgy_segment_trailer){ 0 };
  rgy_packet_copy (make_bytes_ (syn_, sizeof syn_), &trail, out);
  assert_memory_equal (out, syn_, sizeof syn_);
}

/* The latency goal shares a byte with the mark.  An agent that read one as the
   other would return segments, or let requests wait for the wrong time; a goal
   beyond the field must not wrap.  */
static void
goal_and_mark_share_a_byte_ (void **state)
{
  static const struct
  {
    int64_t sent_us;
    int64_t read_us;
  } goals[]
      = { { 0, 0 },           { 9999, 0 },          { 120000, 120000 },
          { 125000, 120000 }, { 1270000, 1270000 }, { 60000000, 1270000 } };
  static const enum rgy_segment_mark marks[]
      = { RGY_MARK_NONE, RGY_MARK_NOT_OWNED };
  uint8_t out[RGY_PACKET_MAX_BYTES];
  struct rgy_segment segment;
  size_t i;
  size_t m;

  (void)state;
  for (i = 0; i < sizeof goals / sizeof goals[0]; i++)
    for (m = 0; m < 2; m++)
      {
        struct rgy_segment_trailer trail
            = { .mark = marks[m], .goal_us = goals[i].sent_us };

        rgy_packet_copy (make_bytes_ (syn_, sizeof syn_), &trail, out);
        assert_int_equal (rgy_packet_decode (make_bytes_ (out, sizeof syn_),
                                             false, &segment),
                          RGY_OK);
        assert_int_equal (segment.trail.goal_us, goals[i].read_us);
        assert_int_equal (segment.trail.mark, marks[m]);
      }
}

/* A truncated packet, or one with a wrong length field, must be rejected;
   otherwise the decoder reads beyond its end.  */
static void
wrong_lengths_are_rejected_ (void **state)
{
  uint8_t packet[RGY_PACKET_MAX_BYTES + 1] = { 0 };
  struct rgy_segment segment;
  size_t len;

  (void)state;
  memcpy (packet, syn_, sizeof syn_);
  for (len = 0; len < sizeof packet; len++)
    if (len != RGY_PACKET_HEADER_BYTES)
      assert_int_equal (
          rgy_packet_decode (make_bytes_ (packet, len), false, &segment),
          RGY_ERR_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (example_of_the_protocol_is_decoded_),
    cmocka_unit_test (reset_is_built_for_the_caller_),
    cmocka_unit_test (both_directions_share_a_flow_key_),
    cmocka_unit_test (copy_changes_only_the_trailer_),
    cmocka_unit_test (goal_and_mark_share_a_byte_),
    cmocka_unit_test (wrong_lengths_are_rejected_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

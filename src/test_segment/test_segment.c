#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/segment.h"

/* A message with a damaged flow key would match no flow, so that no lookup
   would find the owner.  */
static void
flow_key_survives_encoding_ (void **state)
{
  struct rgy_flow_key key = rgy_flow_key_segment (
      (struct rgy_endpoint){ .ip = 0x64400007, .port = 40001 },
      (struct rgy_endpoint){ .ip = 0xc6120001, .port = 443 });
  uint8_t bytes[RGY_FLOW_ENDPOINTS_BYTES];
  struct rgy_flow_key decoded;

  (void)state;
  rgy_flow_endpoints_encode (&key, bytes);
  decoded = rgy_flow_endpoints_decode (bytes);
  assert_true (rgy_flow_key_equal (&key, &decoded));
  assert_int_equal (bytes[0], 0x64);
  assert_int_equal (bytes[11], 443 & 0xff);
}

/* The tag 0 stands for "no service" in a segment's trailer; a service with
   that tag would get no flows.  */
static void
service_tag_is_never_zero_ (void **state)
{
  unsigned i;

  (void)state;
  for (i = 0; i < 10000; i++)
    {
      char *text = g_strdup_printf ("service-%u", i);
      struct rgy_name name = rgy_name_from_c (text);

      assert_int_not_equal (rgy_service_tag (&name), 0);
      g_free (text);
    }
}

/* A SYN with ACK or a late segment of an older flow must not open a new
   flow.  */
static void
only_syn_without_ack_opens_a_flow_ (void **state)
{
  struct rgy_segment segment = { .flags = RGY_SEGMENT_SYN };

  (void)state;
  assert_true (rgy_segment_is_opening (&segment));
  segment.flags = RGY_SEGMENT_SYN | RGY_SEGMENT_ACK;
  assert_false (rgy_segment_is_opening (&segment));
  segment.flags = RGY_SEGMENT_ACK;
  assert_false (rgy_segment_is_opening (&segment));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flow_key_survives_encoding_),
    cmocka_unit_test (service_tag_is_never_zero_),
    cmocka_unit_test (only_syn_without_ack_opens_a_flow_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

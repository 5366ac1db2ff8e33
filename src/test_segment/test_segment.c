#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/segment.h"

/* A flow that is named differently in a message would be found at no agent. */
static void
ends_survive_encoding_ (void **state)
{
  struct rgy_flow_key key = rgy_flow_key_segment (
      (struct rgy_endpoint){ .ip = 0x64400007, .port = 40001 },
      (struct rgy_endpoint){ .ip = 0xc6120001, .port = 443 });
  uint8_t bytes[RGY_FLOW_ENDS_BYTES];
  struct rgy_flow_key back;

  (void)state;
  rgy_flow_ends_encode (&key, bytes);
  back = rgy_flow_ends_decode (bytes);
  assert_true (rgy_flow_key_equal (&key, &back));
  assert_int_equal (bytes[0], 0x64);
  assert_int_equal (bytes[11], 443 & 0xff);
}

/* The tag 0 means "no service" in a trail.  */
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

/* A SYN+ACK or a late segment must not open a flow.  */
static void
only_a_bare_syn_opens_ (void **state)
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
    cmocka_unit_test (ends_survive_encoding_),
    cmocka_unit_test (service_tag_is_never_zero_),
    cmocka_unit_test (only_a_bare_syn_opens_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "ragwortyoke/action.h"
#include "ragwortyoke/address.h"
#include "ragwortyoke/proxy.h"
#include "ragwortyoke/str.h"

/* Guards against a malformed endpoint in a setting that is truncated to a
   valid one instead of being rejected.  */
static void
endpoint_parse_rejects_malformed_text_ (void **state)
{
  static const char *const bad[] = {
    "",         "1.2.3.4",     "1.2.3.4:",     "1.2.3.4:0", "1.2.3.4:65536",
    "1.2.3:80", "1.2.3.4:80 ", "localhost:80", "1.2.3.4:-1"
  };
  struct rgy_endpoint ep;
  size_t i;

  (void)state;
  for (i = 0; i < sizeof bad / sizeof bad[0]; i++)
    assert_int_equal (rgy_endpoint_parse (rgy_str_from_c (bad[i]), &ep),
                      RGY_ERR_INVALID);
  /* A text without bytes may have no address.  */
  assert_int_equal (rgy_ip_parse ((struct rgy_str){ 0 }, &ep.ip),
                    RGY_ERR_INVALID);
  assert_int_equal (rgy_endpoint_parse (RGY_STR ("127.0.0.1:5683"), &ep),
                    RGY_OK);
  assert_int_equal (ep.ip, 0x7f000001);
  assert_int_equal (ep.port, 5683);
}

/* Guards against prefixes with host bits, which would match other callers than
   the operator intended.  */
static void
prefix_parse_rejects_host_bits_ (void **state)
{
  struct rgy_prefix prefix;

  (void)state;
  assert_int_equal (rgy_prefix_parse (RGY_STR ("10.0.0.1/8"), &prefix),
                    RGY_ERR_INVALID);
  assert_int_equal (rgy_prefix_parse (RGY_STR ("10.0.0.0/33"), &prefix),
                    RGY_ERR_INVALID);
  assert_int_equal (rgy_prefix_parse (RGY_STR ("10.0.0.0/8"), &prefix),
                    RGY_OK);
  assert_true (rgy_prefix_contains (&prefix, 0x0a010203));
  assert_false (rgy_prefix_contains (&prefix, 0x0b010203));
  assert_int_equal (rgy_prefix_parse (RGY_STR ("0.0.0.0/0"), &prefix), RGY_OK);
  assert_true (rgy_prefix_contains (&prefix, 0xffffffff));
}

/* Guards against caller and service addresses that change in the PROXY header,
   and against reads past the end of a truncated datagram.  */
static void
proxy_header_survives_a_round_trip_ (void **state)
{
  struct rgy_endpoint src = { .ip = 0x7f000102, .port = 40000 };
  struct rgy_endpoint dst = { .ip = 0x7f000a01, .port = 5683 };
  uint8_t buf[RGY_PROXY_HEADER_BYTES + 3];
  struct rgy_endpoint s;
  struct rgy_endpoint d;
  struct rgy_bytes payload;
  size_t len;

  (void)state;
  rgy_proxy_write (buf, src, dst);
  memcpy (buf + RGY_PROXY_HEADER_BYTES, "abc", 3);
  assert_int_equal (
      rgy_proxy_parse ((struct rgy_bytes){ .data = buf, .len = sizeof buf },
                       &s, &d, &payload),
      RGY_OK);
  assert_true (rgy_endpoint_equal (s, src));
  assert_true (rgy_endpoint_equal (d, dst));
  assert_int_equal (payload.len, 3);
  for (len = 0; len < RGY_PROXY_HEADER_BYTES; len++)
    assert_int_equal (
        rgy_proxy_parse ((struct rgy_bytes){ .data = buf, .len = len }, &s, &d,
                         &payload),
        RGY_ERR_INVALID);
}

/* Guards against payload pointers that become invalid when the list grows and
   its buffer moves.  */
static void
actions_keep_payloads_while_growing_ (void **state)
{
  struct rgy_actions *actions = rgy_actions_new ();
  struct rgy_action action;
  uint8_t byte;
  unsigned i;

  (void)state;
  for (i = 0; i < 1000; i++)
    {
      byte = (uint8_t)i;
      rgy_actions_deliver (actions, i,
                           (struct rgy_bytes){ .data = &byte, .len = 1 });
    }
  assert_int_equal (rgy_actions_get_count (actions), 1000);
  action = rgy_actions_get (actions, 777);
  assert_int_equal (action.kind, RGY_ACTION_DELIVER);
  assert_int_equal (action.u.flow.flow_id, 777);
  assert_int_equal (action.u.flow.data.data[0], (uint8_t)777);
  rgy_actions_delete (actions);
}

/* Addresses that no host can have must not be used for messages.  */
static void
host_addresses_are_told_from_others_ (void **state)
{
  (void)state;
  assert_false (rgy_ip_is_host (0));
  assert_true (rgy_ip_is_host (1));
  assert_true (rgy_ip_is_host (0x7f000001));
  assert_true (rgy_ip_is_host (0xdfffffff));
  assert_false (rgy_ip_is_host (0xe0000000));
  assert_false (rgy_ip_is_host (UINT32_MAX));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (host_addresses_are_told_from_others_),
    cmocka_unit_test (endpoint_parse_rejects_malformed_text_),
    cmocka_unit_test (prefix_parse_rejects_host_bits_),
    cmocka_unit_test (proxy_header_survives_a_round_trip_),
    cmocka_unit_test (actions_keep_payloads_while_growing_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

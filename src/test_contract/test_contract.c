#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/contract.h"

#define SERVICE(name, address)                                                \
  "{\"name\":\"" name "\",\"address\":\"" address                             \
  "\",\"protocol\":\"udp\",\"limits\":{\"open_flows\":5}}"

static struct rgy_contract *
make_contract_ (const char *customer, const char *callers,
                const char *services, uint64_t revision)
{
  struct rgy_check_error error = { "" };
  struct rgy_contract *contract;
  char *text = g_strdup_printf (
      "{\"customer\":\"%s\",\"callers\":[%s],\"services\":[%s]}", customer,
      callers, services);

  contract = rgy_contract_parse (rgy_str_from_c (text), &error);
  g_free (text);
  assert_string_equal (error.text, "");
  assert_non_null (contract);
  contract->revision = revision;
  return contract;
}

static struct rgy_endpoint
parse_endpoint_ (const char *text)
{
  struct rgy_endpoint endpoint = { 0 };

  assert_int_equal (rgy_endpoint_parse (rgy_str_from_c (text), &endpoint),
                    RGY_OK);
  return endpoint;
}

/* Guards against a field of the file that is lost in the contract: a lost
   limit would mean no limit.  */
static void
parse_reads_every_field_ (void **state)
{
  static const char text[]
      = "{\"customer\": \"rodaforte\", \"callers\": [\"127.0.0.0/8\"],"
        " \"limits\": {\"bytes_per_second\": 1000000}, \"write_id\": \"x\","
        " \"services\": [{\"name\": \"workshop\","
        " \"address\": \"127.0.10.1:5683\", \"protocol\": \"coap\","
        " \"failure_domains\": [\"poa-a\", \"poa-b\"],"
        " \"limits\": {\"open_flows\": 1000, \"new_flows_per_second\": 50,"
        " \"requests_in_flight\": 28}}]}";
  struct rgy_check_error error = { "" };
  struct rgy_contract *c = rgy_contract_parse (rgy_str_from_c (text), &error);

  (void)state;
  assert_string_equal (error.text, "");
  assert_non_null (c);
  assert_string_equal (c->customer.data, "rodaforte");
  assert_int_equal (c->prefix_count, 1);
  assert_int_equal (c->prefixes[0].bits, 8);
  assert_int_equal (c->bytes_per_second, 1000000);
  assert_int_equal (c->service_count, 1);
  assert_string_equal (c->services[0].name.data, "workshop");
  assert_int_equal (c->services[0].address.port, 5683);
  assert_int_equal (c->services[0].protocol, RGY_PROTOCOL_COAP);
  assert_int_equal (c->services[0].domain_count, 2);
  assert_string_equal (c->services[0].domains[1].data, "poa-b");
  assert_int_equal (c->services[0].limits.open_flows, 1000);
  assert_int_equal (c->services[0].limits.new_flows_per_second, 50);
  assert_int_equal (c->services[0].limits.requests_in_flight, 28);
  rgy_contract_delete (c);
}

/* Guards against error messages that do not state which field to change and to
   what, and against partial acceptance of an invalid file.  */
static void
parse_errors_name_path_and_allowed_values_ (void **state)
{
  static const char ok_service[] = SERVICE ("a", "1.2.3.4:5");
  static const struct
  {
    const char *callers;
    const char *services;
    const char *more;
    const char *message;
  } cases[] = {
    { "\"10.0.0.0/8\"",
      SERVICE ("a", "1.2.3.4:5") ",{\"name\":\"b\",\"address\":\"1.2.3.4:6\","
                                 "\"protocol\":\"udp\",\"limits\":"
                                 "{\"open_flows\":-1}}",
      "",
      "services[1].limits.open_flows: must be an integer from 0 to "
      "1000000000" },
    { "\"10.0.0.0/8\"",
      "{\"name\":\"b\",\"address\":\"1.2.3.4:6\",\"protocol\":\"udp\","
      "\"limits\":{\"requests_in_flight\":1.5}}",
      "",
      "services[0].limits.requests_in_flight: must be an integer from 0 to "
      "1000000000" },
    { "\"10.0.0.1/8\"", ok_service, "",
      "callers[0]: \"10.0.0.1/8\" is not a prefix, must be A.B.C.D/BITS with "
      "0 to 32 bits and all further address bits zero" },
    { "\"10.0.0.0/8\",\"10.0.0.0/8\"", ok_service, "",
      "callers[1]: \"10.0.0.0/8\" is already at index 0, prefixes must be "
      "unique" },
    { "", ok_service, "",
      "callers: has a wrong number of elements, must be an array of 1 to 256 "
      "elements" },
    { "\"10.0.0.0/8\"", SERVICE ("a", "host:5"), "",
      "services[0].address: \"host:5\" is not a service address, must be "
      "A.B.C.D:PORT with port 1 to 65535" },
    { "\"10.0.0.0/8\"",
      SERVICE ("a", "1.2.3.4:5") "," SERVICE ("a", "1.2.3.4:6"), "",
      "services[1].name: \"a\" is already the name of services[0], names "
      "must be unique" },
    { "\"10.0.0.0/8\"",
      SERVICE ("a", "1.2.3.4:5") "," SERVICE ("b", "1.2.3.4:5"), "",
      "services[1].address: 1.2.3.4:5 is already the address of services[0], "
      "addresses must be unique" },
    { "\"10.0.0.0/8\"", SERVICE ("a b", "1.2.3.4:5"), "",
      "services[0].name: is not a valid name, must be a string of 1 to 62 "
      "characters a-z, A-Z, 0-9, '-', '_' and '.'" },
    { "\"10.0.0.0/8\"",
      "{\"name\":\"b\",\"address\":\"1.2.3.4:6\",\"protocol\":\"tcp\"}", "",
      "services[0].protocol: is not a known protocol, must be \"udp\" or "
      "\"coap\"" },
    { "\"10.0.0.0/8\"",
      "{\"name\":\"b\",\"address\":\"1.2.3.4:6\",\"protocol\":\"udp\","
      "\"failure_domains\":[\"x\",\"y\",\"x\"]}",
      "",
      "services[0].failure_domains[2]: \"x\" is already at index 0, a failure "
      "domain may be named once" },
    { "\"10.0.0.0/8\"", "17", "", "services[0]: must be an object" },
    { "\"10.0.0.0/8\"", ok_service, ",\"limit\":{}",
      "limit: unknown member, allowed are customer, callers, limits, "
      "services, write_id" },
    { "\"10.0.0.0/8\"", ok_service, ",\"limits\":{\"bytes_per_second\":true}",
      "limits.bytes_per_second: must be an integer from 0 to 1000000000000" },
  };
  struct rgy_check_error error;
  char *text;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      text = g_strdup_printf ("{\"customer\":\"c\",\"callers\":[%s],"
                              "\"services\":[%s]%s}",
                              cases[i].callers, cases[i].services,
                              cases[i].more);
      assert_null (rgy_contract_parse (rgy_str_from_c (text), &error));
      assert_string_equal (error.text, cases[i].message);
      g_free (text);
    }
}

/* Guards against acceptance of truncated, binary, oversized
   and non-object input.  */
static void
parse_rejects_text_that_is_no_contract_ (void **state)
{
  static const char *const bad[] = { "",
                                     "{",
                                     "[]",
                                     "null",
                                     "17",
                                     "{}",
                                     "{\"customer\":\"a\",",
                                     "{\"customer\":\"a\",\"customer\":\"b\"}",
                                     "{\"customer\":\"\\u0000\"}",
                                     "{\"customer\":\"\xff\"}",
                                     "{\"customer\":1e99999}",
                                     "{\"customer\":99999999999999999999}" };
  struct rgy_check_error error;
  char *nested;
  char *big;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      error.text[0] = '\0';
      assert_null (rgy_contract_parse (rgy_str_from_c (bad[i]), &error));
      assert_true (strlen (error.text) > 10);
    }
  nested = g_strnfill (5000, '[');
  assert_null (rgy_contract_parse (rgy_str_from_c (nested), &error));
  assert_true (strlen (error.text) > 10);
  g_free (nested);
  big = g_strnfill (RGY_CONTRACT_MAX_JSON_BYTES + 1, ' ');
  assert_null (rgy_contract_parse (rgy_str_from_c (big), &error));
  assert_string_equal (
      error.text, "(top level): has 262145 bytes, must have at most 262144");
  g_free (big);
}

/* Guards against control characters of a file that reach
   the operator's terminal.  */
static void
errors_contain_no_control_characters_ (void **state)
{
  struct rgy_check_error error;
  const char *p;

  (void)state;
  assert_null (rgy_contract_parse (
      RGY_STR ("{\"customer\":\"c\",\"callers\":[\"\\u001b[2J\\n\"],"
               "\"services\":[]}"),
      &error));
  for (p = error.text; *p != '\0'; p++)
    assert_false (g_ascii_iscntrl (*p));
}

/* Guards against traffic of one customer that is charged to another with a
   shorter prefix for the same address.  */
static void
match_prefers_the_longest_prefix_ (void **state)
{
  struct rgy_contract_set *set = rgy_contract_set_new ();
  const struct rgy_contract *c;
  const struct rgy_contract_service *s;
  struct rgy_endpoint address = parse_endpoint_ ("9.9.9.9:53");

  (void)state;
  rgy_contract_set_put (set, make_contract_ ("any", "\"0.0.0.0/0\"",
                                             SERVICE ("s", "9.9.9.9:53"), 1));
  rgy_contract_set_put (set, make_contract_ ("ten", "\"10.0.0.0/8\"",
                                             SERVICE ("s", "9.9.9.9:53"), 2));
  rgy_contract_set_put (set, make_contract_ ("host",
                                             "\"10.1.2.3/32\",\"10.7.0.0/16\"",
                                             SERVICE ("s", "9.9.9.9:53"), 3));
  assert_int_equal (rgy_contract_set_match (set, 0x0a010203, address, &c, &s),
                    RGY_OK);
  assert_string_equal (c->customer.data, "host");
  assert_int_equal (rgy_contract_set_match (set, 0x0a070101, address, &c, &s),
                    RGY_OK);
  assert_string_equal (c->customer.data, "host");
  assert_int_equal (rgy_contract_set_match (set, 0x0a010204, address, &c, &s),
                    RGY_OK);
  assert_string_equal (c->customer.data, "ten");
  assert_string_equal (s->name.data, "s");
  assert_int_equal (rgy_contract_set_match (set, 0x0b000000, address, &c, &s),
                    RGY_OK);
  assert_string_equal (c->customer.data, "any");
  rgy_contract_set_delete (set);
}

/* Guards against confusion of unknown addresses and unknown callers, which the
   balancer counts separately.  */
static void
match_distinguishes_unknown_address_and_caller_ (void **state)
{
  struct rgy_contract_set *set = rgy_contract_set_new ();
  const struct rgy_contract *c;
  const struct rgy_contract_service *s;

  (void)state;
  rgy_contract_set_put (set, make_contract_ ("a", "\"10.0.0.0/8\"",
                                             SERVICE ("s", "9.9.9.9:53"), 1));
  assert_int_equal (rgy_contract_set_match (set, 0x0a000001,
                                            parse_endpoint_ ("9.9.9.9:54"), &c,
                                            &s),
                    RGY_ERR_NOT_FOUND);
  assert_null (c);
  assert_null (s);
  assert_int_equal (rgy_contract_set_match (set, 0x0b000001,
                                            parse_endpoint_ ("9.9.9.9:53"), &c,
                                            &s),
                    RGY_ERR_NOT_FOUND);
  assert_null (c);
  assert_non_null (s);
  rgy_contract_set_delete (set);
}

/* Guards against processes that charge different customers when two contracts
   have the same prefix and arrive in different orders.  */
static void
match_is_independent_of_put_order_ (void **state)
{
  struct rgy_contract_set *set;
  const struct rgy_contract *c;
  const struct rgy_contract_service *s;
  int order;

  (void)state;
  for (order = 0; order < 2; order++)
    {
      set = rgy_contract_set_new ();
      rgy_contract_set_put (
          set, make_contract_ (order ? "a" : "b", "\"10.0.0.0/8\"",
                               SERVICE ("s", "9.9.9.9:53"), 1));
      rgy_contract_set_put (
          set, make_contract_ (order ? "b" : "a", "\"10.0.0.0/8\"",
                               SERVICE ("s", "9.9.9.9:53"), 2));
      assert_int_equal (rgy_contract_set_match (set, 0x0a000001,
                                                parse_endpoint_ ("9.9.9.9:53"),
                                                &c, &s),
                        RGY_OK);
      assert_string_equal (c->customer.data, "a");
      rgy_contract_set_delete (set);
    }
}

/* Guards against a contract that reverts to an older revision, also
   after its removal.  */
static void
set_rejects_older_revisions_ (void **state)
{
  struct rgy_contract_set *set = rgy_contract_set_new ();
  struct rgy_name name = rgy_name_from_c ("a");
  const struct rgy_contract *c;
  const struct rgy_contract_service *s;

  (void)state;
  assert_int_equal (rgy_contract_set_put (
                        set, make_contract_ ("a", "\"10.0.0.0/8\"",
                                             SERVICE ("s", "9.9.9.9:53"), 5)),
                    RGY_OK);
  assert_int_equal (rgy_contract_set_put (
                        set, make_contract_ ("a", "\"10.0.0.0/8\"",
                                             SERVICE ("s", "9.9.9.9:54"), 4)),
                    RGY_ERR_STALE);
  assert_int_equal (rgy_contract_set_remove (set, &name, 4), RGY_ERR_STALE);
  assert_int_equal (rgy_contract_set_get (set, &name)->revision, 5);
  assert_int_equal (rgy_contract_set_put (
                        set, make_contract_ ("a", "\"10.0.0.0/8\"",
                                             SERVICE ("s", "9.9.9.9:55"), 6)),
                    RGY_OK);
  assert_int_equal (rgy_contract_set_get_count (set), 1);
  assert_int_equal (rgy_contract_set_match (set, 0x0a000001,
                                            parse_endpoint_ ("9.9.9.9:53"), &c,
                                            &s),
                    RGY_ERR_NOT_FOUND);
  assert_null (s);
  assert_int_equal (rgy_contract_set_remove (set, &name, 7), RGY_OK);
  assert_null (rgy_contract_set_get (set, &name));
  assert_int_equal (rgy_contract_set_get_count (set), 0);
  assert_int_equal (rgy_contract_set_match (set, 0x0a000001,
                                            parse_endpoint_ ("9.9.9.9:55"), &c,
                                            &s),
                    RGY_ERR_NOT_FOUND);
  assert_int_equal (rgy_contract_set_put (
                        set, make_contract_ ("a", "\"10.0.0.0/8\"",
                                             SERVICE ("s", "9.9.9.9:55"), 7)),
                    RGY_ERR_STALE);
  assert_int_equal (rgy_contract_set_put (
                        set, make_contract_ ("a", "\"10.0.0.0/8\"",
                                             SERVICE ("s", "9.9.9.9:55"), 8)),
                    RGY_OK);
  rgy_contract_set_delete (set);
}

/* Guards against a removal that has no effect when it arrives before the put
   that it follows.  */
static void
removal_before_its_put_wins_ (void **state)
{
  struct rgy_contract_set *set = rgy_contract_set_new ();
  struct rgy_name name = rgy_name_from_c ("a");

  (void)state;
  assert_int_equal (rgy_contract_set_remove (set, &name, 9), RGY_OK);
  assert_int_equal (rgy_contract_set_put (
                        set, make_contract_ ("a", "\"10.0.0.0/8\"",
                                             SERVICE ("s", "9.9.9.9:53"), 8)),
                    RGY_ERR_STALE);
  rgy_contract_set_delete (set);
}

/* Guards against an index that differs from a linear scan of all
   contracts after many random changes; a difference would send packets
   to another service.  */
static void
match_agrees_with_linear_scan_ (void **state)
{
  struct rgy_contract_set *set = rgy_contract_set_new ();
  GRand *rand = g_rand_new_with_seed (7);
  const struct rgy_contract *c;
  const struct rgy_contract *best;
  const struct rgy_contract *candidate;
  const struct rgy_contract_service *s;
  struct rgy_endpoint address;
  struct rgy_name name;
  uint64_t revision = 0;
  uint32_t ip;
  unsigned step;
  int best_bits;
  int i;
  char customer[8];
  char callers[64];
  char service[128];
  size_t p;

  (void)state;
  for (step = 0; step < 2000; step++)
    {
      g_snprintf (customer, sizeof customer, "c%d",
                  g_rand_int_range (rand, 0, 6));
      name = rgy_name_from_c (customer);
      g_snprintf (callers, sizeof callers, "\"%d.0.0.0/8\",\"%d.%d.0.0/16\"",
                  g_rand_int_range (rand, 1, 4), g_rand_int_range (rand, 1, 4),
                  g_rand_int_range (rand, 0, 2));
      g_snprintf (service, sizeof service, SERVICE ("s", "9.9.9.%d:53"),
                  g_rand_int_range (rand, 1, 3));
      if (g_rand_int_range (rand, 0, 4) == 0)
        rgy_contract_set_remove (set, &name, ++revision);
      else
        rgy_contract_set_put (
            set, make_contract_ (customer, callers, service, ++revision));
      ip = (uint32_t)g_rand_int_range (rand, 1, 5) << 24
           | (uint32_t)g_rand_int_range (rand, 0, 3) << 16;
      address = (struct rgy_endpoint){
        .ip = 0x09090900 + (uint32_t)g_rand_int_range (rand, 1, 3), .port = 53
      };
      best = NULL;
      best_bits = -1;
      for (i = 0; i < 6; i++)
        {
          g_snprintf (customer, sizeof customer, "c%d", i);
          name = rgy_name_from_c (customer);
          candidate = rgy_contract_set_get (set, &name);
          if (candidate == NULL
              || !rgy_endpoint_equal (candidate->services[0].address, address))
            continue;
          for (p = 0; p < candidate->prefix_count; p++)
            if (rgy_prefix_contains (&candidate->prefixes[p], ip)
                && candidate->prefixes[p].bits > best_bits)
              {
                best = candidate;
                best_bits = candidate->prefixes[p].bits;
              }
        }
      assert_int_equal (rgy_contract_set_match (set, ip, address, &c, &s),
                        best == NULL ? RGY_ERR_NOT_FOUND : RGY_OK);
      assert_ptr_equal (c, best);
    }
  g_rand_free (rand);
  rgy_contract_set_delete (set);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (parse_reads_every_field_),
    cmocka_unit_test (parse_errors_name_path_and_allowed_values_),
    cmocka_unit_test (parse_rejects_text_that_is_no_contract_),
    cmocka_unit_test (errors_contain_no_control_characters_),
    cmocka_unit_test (match_prefers_the_longest_prefix_),
    cmocka_unit_test (match_distinguishes_unknown_address_and_caller_),
    cmocka_unit_test (match_is_independent_of_put_order_),
    cmocka_unit_test (set_rejects_older_revisions_),
    cmocka_unit_test (removal_before_its_put_wins_),
    cmocka_unit_test (match_agrees_with_linear_scan_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

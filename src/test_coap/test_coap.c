#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "ragwortyoke/request.h"

#define FUZZ_ROUNDS 200000
#define FUZZ_MAX_BYTES 80

static struct rgy_bytes
bytes_of_ (const GByteArray *array)
{
  return (struct rgy_bytes){ .data = array->data, .len = array->len };
}

static struct rgy_coap_option
text_option_ (uint16_t number, const char *text)
{
  return (struct rgy_coap_option){ .number = number,
                                   .value = { .data = (const uint8_t *)text,
                                              .len = strlen (text) } };
}

/* Guards against a wrongly encoded byte, which would reach callers and backend
   servers of other implementations.  The expected bytes are the example of RFC
   7252 figure 16.  */
static void
build_matches_the_example_of_rfc_7252_ (void **state)
{
  static const uint8_t expected[]
      = { 0x41, 0x01, 0x7d, 0x35, 0x20, 0xbb, 't', 'e', 'm',
          'p',  'e',  'r',  'a',  't',  'u',  'r', 'e' };
  static const uint8_t token[] = { 0x20 };
  struct rgy_coap_header header
      = { .type = RGY_COAP_CON,
          .code = RGY_COAP_CODE (0, 1),
          .message_id = 0x7d35,
          .token = { .data = token, .len = sizeof token } };
  struct rgy_coap_option path = text_option_ (11, "temperature");
  GByteArray *out
      = rgy_coap_build (&header, &path, 1, (struct rgy_bytes){ 0 });

  (void)state;
  assert_int_equal (out->len, sizeof expected);
  assert_memory_equal (out->data, expected, sizeof expected);
  g_byte_array_unref (out);
}

/* Guards against malformed datagrams that are accepted in part or read past
   their end.  */
static void
parse_rejects_malformed_datagrams_ (void **state)
{
  static const struct
  {
    const char *data;
    size_t len;
  } bad[] = {
    { "", 0 },
    { "\x40\x01\x00", 3 },     /* Truncated header.  */
    { "\x80\x01\x00\x01", 4 }, /* Version 2.  */
    { "\x49\x01\x00\x01"
      "123456789",
      13 },                                /* Token of nine bytes.  */
    { "\x42\x01\x00\x01\x01", 5 },         /* Truncated token.  */
    { "\x40\x00\x00\x01\x00", 5 },         /* Empty message with a body.  */
    { "\x50\x00\x00\x01", 4 },             /* Empty NON.  */
    { "\x40\x20\x00\x01", 4 },             /* Code class 1.  */
    { "\x40\xe1\x00\x01", 4 },             /* Code class 7.  */
    { "\x70\x45\x00\x01", 4 },             /* Reset with a code.  */
    { "\x60\x01\x00\x01", 4 },             /* Request in an ACK.  */
    { "\x40\x01\x00\x01\xff", 5 },         /* Marker without payload.  */
    { "\x40\x01\x00\x01\xb4\x61", 6 },     /* Truncated option value.  */
    { "\x40\x01\x00\x01\xf0", 5 },         /* Reserved option delta.  */
    { "\x40\x01\x00\x01\xe0\xff\xff", 7 }, /* Option number above 65535.  */
  };
  struct rgy_coap_view view;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      struct rgy_bytes data
          = { .data = (const uint8_t *)bad[i].data, .len = bad[i].len };

      if (rgy_coap_parse (data, &view) != RGY_ERR_INVALID)
        fail_msg ("malformed datagram %zu was accepted", i);
    }
}

/* Guards against a wrong message class, by which a POST would run without Echo
   or be retried.  */
static void
classify_distinguishes_every_class_ (void **state)
{
  static const struct
  {
    const char *data;
    size_t len;
    enum rgy_coap_class expected;
  } cases[] = {
    { "\x40\x00\x00\x01", 4, RGY_COAP_CLASS_PING },
    { "\x60\x00\x00\x01", 4, RGY_COAP_CLASS_ACK },
    { "\x70\x00\x00\x01", 4, RGY_COAP_CLASS_RESET },
    { "\x40\x01\x00\x01", 4, RGY_COAP_CLASS_IDEMPOTENT },
    { "\x40\x03\x00\x01", 4, RGY_COAP_CLASS_IDEMPOTENT },
    { "\x40\x04\x00\x01", 4, RGY_COAP_CLASS_IDEMPOTENT },
    { "\x40\x05\x00\x01", 4, RGY_COAP_CLASS_IDEMPOTENT },
    { "\x40\x01\x00\x01\x60", 5, RGY_COAP_CLASS_OBSERVE },
    { "\x40\x01\x00\x01\x61\x01", 6, RGY_COAP_CLASS_OBSERVE_END },
    { "\x40\x02\x00\x01", 4, RGY_COAP_CLASS_NON_IDEMPOTENT },
    { "\x40\x06\x00\x01", 4, RGY_COAP_CLASS_NON_IDEMPOTENT },
    { "\x40\x07\x00\x01", 4, RGY_COAP_CLASS_NON_IDEMPOTENT },
    { "\x40\x1f\x00\x01", 4, RGY_COAP_CLASS_NON_IDEMPOTENT },
    { "\x60\x45\x00\x01", 4, RGY_COAP_CLASS_RESPONSE },
    { "\x40\xa3\x00\x01", 4, RGY_COAP_CLASS_RESPONSE },
  };
  struct rgy_coap_view view;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct rgy_bytes data
          = { .data = (const uint8_t *)cases[i].data, .len = cases[i].len };

      assert_int_equal (rgy_coap_parse (data, &view), RGY_OK);
      assert_int_equal (rgy_coap_classify (&view), cases[i].expected);
    }
}

/* Guards against a deadline out of range that becomes a deadline of zero
   or of days.  */
static void
deadline_out_of_range_is_ignored_ (void **state)
{
  static const struct
  {
    uint32_t ms;
    bool valid;
  } cases[] = { { 0, false },
                { 1, true },
                { 60000, true },
                { 60001, false },
                { 1 << 30, false } };
  struct rgy_coap_header header
      = { .type = RGY_COAP_CON, .code = RGY_COAP_CODE (0, 1) };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct rgy_coap_uint room;
      struct rgy_coap_option option = rgy_coap_uint_option (
          RGY_COAP_OPTION_DEADLINE_MS, cases[i].ms, &room);
      GByteArray *out
          = rgy_coap_build (&header, &option, 1, (struct rgy_bytes){ 0 });
      struct rgy_coap_view view;

      assert_int_equal (rgy_coap_parse (bytes_of_ (out), &view), RGY_OK);
      assert_int_equal (view.has_deadline, cases[i].valid);
      if (cases[i].valid)
        assert_int_equal (view.deadline_ms, cases[i].ms);
      g_byte_array_unref (out);
    }
}

/* Guards against a rewrite that changes options other than the named ones:
   without a path segment the request would reach another resource.  */
static void
rewrite_keeps_all_other_options_ (void **state)
{
  static const uint8_t token[] = { 1, 2, 3 };
  static const uint8_t other[] = { 9, 9, 9, 9, 9, 9, 9, 9 };
  struct rgy_coap_uint room[3];
  struct rgy_coap_option options[]
      = { rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, 0, &room[0]),
          text_option_ (11, "a"),
          text_option_ (11, ""),
          text_option_ (15, "q=1"),
          text_option_ (RGY_COAP_OPTION_ECHO, "old"),
          text_option_ (2000, "kept") };
  struct rgy_coap_option changes[]
      = { rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, 70000, &room[1]),
          { .number = RGY_COAP_OPTION_ECHO },
          rgy_coap_uint_option (RGY_COAP_OPTION_DEADLINE_MS, 250, &room[2]) };
  static const uint16_t numbers[] = { 6, 11, 11, 15, 2000, 65008 };
  struct rgy_coap_header header = { .type = RGY_COAP_CON,
                                    .code = RGY_COAP_CODE (0, 1),
                                    .message_id = 7,
                                    .token = { .data = token, .len = 3 } };
  struct rgy_bytes payload = { .data = (const uint8_t *)"body", .len = 4 };
  struct rgy_coap_cursor cursor = { 0 };
  struct rgy_coap_option option;
  struct rgy_coap_view view;
  GByteArray *first;
  GByteArray *second;
  size_t count = 0;

  (void)state;
  first = rgy_coap_build (&header, options, G_N_ELEMENTS (options), payload);
  assert_int_equal (rgy_coap_parse (bytes_of_ (first), &view), RGY_OK);
  header.message_id = 8;
  header.token = (struct rgy_bytes){ .data = other, .len = sizeof other };
  second = rgy_coap_rewrite (&view, &header, changes, G_N_ELEMENTS (changes));
  assert_int_equal (rgy_coap_parse (bytes_of_ (second), &view), RGY_OK);
  assert_int_equal (view.message_id, 8);
  assert_memory_equal (view.token.data, other, sizeof other);
  assert_int_equal (view.observe, 70000);
  assert_false (view.has_echo);
  assert_int_equal (view.deadline_ms, 250);
  assert_int_equal (view.payload.len, 4);
  assert_memory_equal (view.payload.data, "body", 4);
  while (rgy_coap_next_option (&view, &cursor, &option))
    {
      assert_true (count < G_N_ELEMENTS (numbers));
      assert_int_equal (option.number, numbers[count]);
      count++;
    }
  assert_int_equal (count, G_N_ELEMENTS (numbers));
  g_byte_array_unref (first);
  g_byte_array_unref (second);
}

static void
check_refusal_ (GByteArray *out, enum rgy_coap_type type, uint8_t code,
                const char *text)
{
  struct rgy_coap_view view;

  assert_int_equal (rgy_coap_parse (bytes_of_ (out), &view), RGY_OK);
  assert_int_equal (view.type, type);
  assert_int_equal (view.code, code);
  assert_int_equal (view.message_id, 0x1234);
  assert_int_equal (view.token.len, 2);
  assert_memory_equal (view.token.data, "ab", 2);
  assert_int_equal (view.payload.len, strlen (text));
  assert_memory_equal (view.payload.data, text, strlen (text));
  g_byte_array_unref (out);
}

/* Guards against a false "not-run" answer: for a POST with an Echo that
   another agent may have accepted, and for a GET of which an agent that no
   longer runs may have delivered an earlier copy.  */
static void
refusal_is_not_run_only_for_undelivered_requests_ (void **state)
{
  static const uint8_t get[] = { 0x52, 1, 0x12, 0x34, 'a', 'b' };
  static const uint8_t reset[] = { 0x70, 0, 0x12, 0x34 };
  static const uint8_t post[] = { 0x42, 2, 0x12, 0x34, 'a', 'b' };
  static const uint8_t post_echo[]
      = { 0x42, 2, 0x12, 0x34, 'a', 'b', 0xd1, 239, 'e' };
  struct rgy_coap_view view;

  (void)state;
  assert_int_equal (
      rgy_coap_parse ((struct rgy_bytes){ get, sizeof get }, &view), RGY_OK);
  check_refusal_ (rgy_coap_build_refusal (&view, RGY_REFUSAL_DRAINING, 3),
                  RGY_COAP_NON, RGY_COAP_CODE (5, 4),
                  "outcome-unknown: draining");
  assert_int_equal (
      rgy_coap_parse ((struct rgy_bytes){ post, sizeof post }, &view), RGY_OK);
  check_refusal_ (rgy_coap_build_refusal (&view, RGY_REFUSAL_OVERLOAD, 0),
                  RGY_COAP_ACK, RGY_COAP_CODE (5, 3), "not-run: overload");
  assert_int_equal (
      rgy_coap_parse ((struct rgy_bytes){ post_echo, sizeof post_echo },
                      &view),
      RGY_OK);
  assert_true (view.has_echo);
  check_refusal_ (
      rgy_coap_build_refusal (&view, RGY_REFUSAL_CONTRACT_LIMIT, 1),
      RGY_COAP_ACK, RGY_COAP_CODE (5, 4), "outcome-unknown: contract-limit");
  /* Only requests are refused; a Reset has no answer.  */
  assert_int_equal (
      rgy_coap_parse ((struct rgy_bytes){ reset, sizeof reset }, &view),
      RGY_OK);
  assert_null (rgy_coap_build_refusal (&view, RGY_REFUSAL_OVERLOAD, 1));
}

/* Guards against random bytes that crash the parser or make it return
   ranges outside the datagram.  An accepted message must be unchanged
   after a rewrite.  */
static void
random_datagrams_are_parsed_within_bounds_ (void **state)
{
  GRand *rand = g_rand_new_with_seed (20260101);
  int round;

  (void)state;
  for (round = 0; round < FUZZ_ROUNDS; round++)
    {
      size_t len = (size_t)g_rand_int_range (rand, 0, FUZZ_MAX_BYTES);
      uint8_t *data = g_malloc (len);
      struct rgy_coap_view view;
      size_t i;

      for (i = 0; i < len; i++)
        data[i] = (uint8_t)g_rand_int_range (rand, 0, 256);
      if (len > 0 && g_rand_boolean (rand))
        data[0] = (uint8_t)(0x40 | (data[0] & 0x33));
      if (rgy_coap_parse ((struct rgy_bytes){ .data = data, .len = len },
                          &view)
          == RGY_OK)
        {
          struct rgy_coap_header header = { .type = view.type,
                                            .code = view.code,
                                            .message_id = view.message_id,
                                            .token = view.token };
          GByteArray *out = rgy_coap_rewrite (&view, &header, NULL, 0);
          struct rgy_coap_view again;

          (void)rgy_coap_classify (&view);
          assert_int_equal (rgy_coap_parse (bytes_of_ (out), &again), RGY_OK);
          assert_int_equal (again.payload.len, view.payload.len);
          assert_int_equal (again.has_echo, view.has_echo);
          g_byte_array_unref (out);
        }
      g_free (data);
    }
  g_rand_free (rand);
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (build_matches_the_example_of_rfc_7252_),
    cmocka_unit_test (parse_rejects_malformed_datagrams_),
    cmocka_unit_test (classify_distinguishes_every_class_),
    cmocka_unit_test (deadline_out_of_range_is_ignored_),
    cmocka_unit_test (rewrite_keeps_all_other_options_),
    cmocka_unit_test (refusal_is_not_run_only_for_undelivered_requests_),
    cmocka_unit_test (random_datagrams_are_parsed_within_bounds_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

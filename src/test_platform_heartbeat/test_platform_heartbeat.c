#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <jansson.h>

#include "platform.h"
#include "ragwortyoke/clock.h"

#define BORN_MS INT64_C (1781312339406)
#define NOW_MS (BORN_MS + 60000)
#define MS_PER_DAY INT64_C (86400000)
/* Nesting beyond the parser's limit.  */
#define TOO_DEEP 5000

static const struct rgy_endpoint backend_ = { .ip = 0x0a800009, .port = 8080 };

static const char *const field_names_[]
    = { "service", "address",        "zone", "version", "concurrency",
        "state",   "warmup_left_ms", "seq",  "born" };

/* Makes a valid heartbeat, to be released with json_decref().  */
static json_t *
make_heartbeat_ (void)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "service",
                    "workshop", "address", "10.128.0.9:8080", "zone", "poa-a",
                    "version", "v1", "concurrency", 4, "state", "ready",
                    "warmup_left_ms", 0, "seq", 4, "born",
                    (json_int_t)BORN_MS);
}

static enum rgy_outcome
decode_text_ (const char *id, const char *text,
              struct rgy_backend_heartbeat *heartbeat, const char **why)
{
  return rgy_platform_heartbeat_decode (
      rgy_str_from_c (id),
      (struct rgy_bytes){ .data = (const uint8_t *)text,
                          .len = strlen (text) },
      backend_, NOW_MS, heartbeat, why);
}

/* Decodes and releases HEARTBEAT.  */
static enum rgy_outcome
decode_ (json_t *heartbeat, struct rgy_backend_heartbeat *out,
         const char **why)
{
  char *text = json_dumps (heartbeat, 0);
  enum rgy_outcome rc = decode_text_ ("i-7f3a91c2", text, out, why);

  free (text);
  json_decref (heartbeat);
  return rc;
}

/* Asserts that a heartbeat with VALUE in a field is rejected, and that the
   reason names the field.  Takes ownership of VALUE; NULL removes the
   field.  */
static void
assert_field_rejected_ (const char *name, json_t *value)
{
  struct rgy_backend_heartbeat heartbeat;
  const char *why = NULL;
  json_t *object = make_heartbeat_ ();

  if (value == NULL)
    json_object_del (object, name);
  else
    json_object_set_new (object, name, value);
  assert_int_equal (decode_ (object, &heartbeat, &why), RGY_ERR_INVALID);
  assert_non_null (why);
  assert_true (g_str_has_prefix (why, name));
}

/* All fields that the core uses must be decoded.  The remaining warm-up must
   keep fractions of a millisecond, and a field that a later version of the
   backend server sends must be ignored.  */
static void
heartbeat_is_decoded_ (void **state)
{
  struct rgy_backend_heartbeat heartbeat;
  const char *why = NULL;
  json_t *object = make_heartbeat_ ();

  (void)state;
  json_object_set_new (object, "state", json_string ("draining"));
  json_object_set_new (object, "warmup_left_ms", json_real (1500.5));
  json_object_set_new (object, "future", json_pack ("{s:[i]}", "a", 1));
  assert_int_equal (decode_ (object, &heartbeat, &why), RGY_OK);
  assert_null (why);
  assert_true (heartbeat.draining);
  assert_string_equal (heartbeat.id.data, "i-7f3a91c2");
  assert_string_equal (heartbeat.service.data, "workshop");
  assert_int_equal (heartbeat.slots, 4);
  assert_int_equal (heartbeat.seq, 4);
  assert_int_equal (heartbeat.started_ms, BORN_MS);
  assert_int_equal (heartbeat.uptime_us, (NOW_MS - BORN_MS) * RGY_US_PER_MS);
  assert_int_equal (heartbeat.cold_left_us, 1500 * RGY_US_PER_MS + 500);
}

/* The limits themselves must be accepted, and so must a start that lies some
   seconds ahead, because clocks jump.  */
static void
limits_of_fields_are_accepted_ (void **state)
{
  static const struct
  {
    const char *name;
    json_int_t value;
  } limits[] = {
    { "seq", 0 },
    { "seq", UINT32_MAX },
    { "concurrency", 1 },
    { "concurrency", UINT16_MAX },
    { "born", 1 },
    { "warmup_left_ms", MS_PER_DAY },
    { "warmup_left_ms", 0 },
    { "born", NOW_MS + 5000 },
  };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      struct rgy_backend_heartbeat heartbeat;
      const char *why = NULL;
      json_t *object = make_heartbeat_ ();

      json_object_set_new (object, limits[i].name,
                           json_integer (limits[i].value));
      assert_int_equal (decode_ (object, &heartbeat, &why), RGY_OK);
    }
}

/* Another program's heartbeat without an address was taken for a new start of
   the backend server (review case 3).  Each field is needed.  */
static void
heartbeat_without_a_field_is_rejected_ (void **state)
{
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (field_names_); i++)
    assert_field_rejected_ (field_names_[i], NULL);
}

/* A field of another type must not be read as zero or be skipped.  */
static void
heartbeat_with_another_type_is_rejected_ (void **state)
{
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (field_names_); i++)
    {
      const char *name = field_names_[i];
      json_t *object = make_heartbeat_ ();
      bool is_text = json_is_string (json_object_get (object, name));

      json_decref (object);
      assert_field_rejected_ (name, json_null ());
      assert_field_rejected_ (name, json_true ());
      assert_field_rejected_ (name, json_array ());
      assert_field_rejected_ (name, json_object ());
      assert_field_rejected_ (name,
                              is_text ? json_integer (2) : json_string ("2"));
      if (!is_text && strcmp (name, "warmup_left_ms") != 0)
        assert_field_rejected_ (name, json_real (2.5));
    }
}

/* Values that the platform does not define must be rejected.  A number that is
   too large would make later heartbeats of the backend server count as old
   ones.  */
static void
heartbeat_out_of_range_is_rejected_ (void **state)
{
  static const struct
  {
    const char *name;
    json_int_t value;
  } numbers[] = {
    { "concurrency", 0 },
    { "concurrency", -4 },
    { "concurrency", UINT16_MAX + 1 },
    { "concurrency", INT64_MAX },
    { "warmup_left_ms", -1 },
    { "warmup_left_ms", MS_PER_DAY + 1 },
    { "seq", -1 },
    { "seq", (json_int_t)UINT32_MAX + 1 },
    { "seq", INT64_MAX },
    { "born", 0 },
    { "born", -BORN_MS },
    { "born", NOW_MS + 2 * MS_PER_DAY },
    { "born", INT64_MAX },
  };
  static const struct
  {
    const char *name;
    const char *value;
  } texts[] = {
    { "service", "" },
    { "service", "work shop" },
    { "zone", "" },
    { "zone", "poa\n" },
    { "state", "" },
    { "state", "READY" },
    { "state", "gone" },
    { "address", "" },
    { "address", "10.128.0.9" },
    { "address", "10.128.0.9:" },
    { "address", "10.128.0.9:0" },
    { "address", "10.128.0.9:65536" },
    { "address", "10.128.0.9:8080000000000000000000" },
    { "address", "10.128.0.9:-8080" },
    { "address", "10.128.0.9:8080 " },
    { "address", "10.128.0.256:8080" },
    { "address", "host:8080" },
    { "address", "10.128.0.10:8080" },
    { "address", "10.128.0.9:8081" },
  };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (numbers); i++)
    assert_field_rejected_ (numbers[i].name, json_integer (numbers[i].value));
  for (i = 0; i < G_N_ELEMENTS (texts); i++)
    assert_field_rejected_ (texts[i].name, json_string (texts[i].value));
  assert_field_rejected_ ("warmup_left_ms", json_real (1e300));
}

/* Names and addresses that are too long must be rejected, not cut.  */
static void
heartbeat_with_long_text_is_rejected_ (void **state)
{
  static const char *const names[] = { "service", "zone", "address", "state" };
  char text[4096];
  size_t i;

  (void)state;
  memset (text, 'a', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  for (i = 0; i < G_N_ELEMENTS (names); i++)
    assert_field_rejected_ (names[i], json_string (text));
}

static char *
repeat_ (const char *part, size_t n)
{
  GString *text = g_string_new (NULL);

  while (n-- > 0)
    g_string_append (text, part);
  return g_string_free (text, FALSE);
}

/* Input that is no JSON object, or that the parser cannot represent, must be
   rejected with a reason; the process must go on.  The objects with "x" are
   valid but for that field.  */
static void
unreadable_heartbeat_is_rejected_ (void **state)
{
  json_t *object = make_heartbeat_ ();
  char *valid = json_dumps (object, 0);
  const char *rest = valid + 1;
  char *arrays = repeat_ ("[", TOO_DEEP);
  char *ends = repeat_ ("]", TOO_DEEP);
  char *objects = repeat_ ("{\"a\":", TOO_DEEP);
  char *bad[] = { g_strdup (""),
                  g_strdup ("[]"),
                  g_strdup ("null"),
                  g_strdup ("7"),
                  g_strdup ("\"seq\""),
                  g_strdup ("{}"),
                  g_strdup_printf ("{\"x\":1e99999,%s", rest),
                  g_strdup_printf ("{\"x\":99999999999999999999,%s", rest),
                  g_strdup_printf ("{\"x\":\"\xff\xfe\",%s", rest),
                  g_strdup_printf ("{\"x\":\"a\\u0000b\",%s", rest),
                  g_strdup_printf ("{\"seq\":3,%s", rest),
                  g_strdup_printf ("{\"x\":%s%s,%s", arrays, ends, rest),
                  g_strdup_printf ("%s x", valid),
                  g_strndup (valid, strlen (valid) - 1),
                  g_strdup ("\xff\xfe\x80"),
                  arrays,
                  objects };
  struct rgy_backend_heartbeat heartbeat;
  const char *why = NULL;
  size_t i;

  (void)state;
  assert_int_equal (decode_text_ ("i-1", valid, &heartbeat, &why), RGY_OK);
  for (i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      why = NULL;
      assert_int_equal (decode_text_ ("i-1", bad[i], &heartbeat, &why),
                        RGY_ERR_INVALID);
      assert_non_null (why);
      g_free (bad[i]);
    }
  g_free (ends);
  free (valid);
  json_decref (object);
}

/* The name in the path of the request must be valid too.  */
static void
heartbeat_with_invalid_id_is_rejected_ (void **state)
{
  static const char *const ids[] = { "", "a b", "a%2f", "\xff" };
  json_t *object = make_heartbeat_ ();
  char *text = json_dumps (object, 0);
  char long_id[100];
  struct rgy_backend_heartbeat heartbeat;
  const char *why = NULL;
  size_t i;

  (void)state;
  json_decref (object);
  for (i = 0; i < G_N_ELEMENTS (ids); i++)
    assert_int_equal (decode_text_ (ids[i], text, &heartbeat, &why),
                      RGY_ERR_INVALID);
  memset (long_id, 'i', sizeof long_id - 1);
  long_id[sizeof long_id - 1] = '\0';
  assert_int_equal (decode_text_ (long_id, text, &heartbeat, &why),
                    RGY_ERR_INVALID);
  assert_true (g_str_has_prefix (why, "id"));
  free (text);
}

/* Agent with an open flow at its backend server.  */

struct scenario_
{
  struct rgy_stream_agent *agent;
  unsigned resets;
};

static void
count_reset_ (void *ctx, const struct rgy_stream_action *action)
{
  struct scenario_ *scenario = ctx;

  scenario->resets += action->kind == RGY_STREAM_RESET;
}

/* Passes a heartbeat to the agent as the program does.  Takes ownership of
   OBJECT.  */
static void
deliver_ (struct scenario_ *scenario, const char *id, json_t *object,
          int64_t now_us)
{
  struct rgy_backend_heartbeat heartbeat;
  const char *why = NULL;
  char *text = json_dumps (object, 0);

  if (decode_text_ (id, text, &heartbeat, &why) == RGY_OK)
    (void)rgy_stream_agent_heartbeat (scenario->agent, &heartbeat, now_us);
  free (text);
  json_decref (object);
}

static void
open_flow_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  static const uint8_t raw[1];
  struct rgy_name service = rgy_name_from_c ("workshop");
  struct rgy_segment segment
      = { .key = rgy_flow_key_segment (
              (struct rgy_endpoint){ .ip = 0x64400007, .port = 1 },
              (struct rgy_endpoint){ .ip = 0xc6120001, .port = 443 }),
          .flags = RGY_SEGMENT_SYN,
          .trail = { .service_tag = rgy_service_tag (&service),
                     .balancer_ip = 0x0a010001 },
          .raw = { .data = raw, .len = sizeof raw } };

  rgy_stream_agent_from_balancer (agent, &segment, 0x0a010001, now_us);
  segment.flags = RGY_SEGMENT_SYN | RGY_SEGMENT_ACK;
  segment.seq = 1000;
  rgy_stream_agent_from_backend (agent, &segment, now_us);
  segment.flags = RGY_SEGMENT_ACK;
  segment.ack = 1001;
  rgy_stream_agent_from_balancer (agent, &segment, 0x0a010001, now_us);
}

/* The heartbeat of another program reset the open flows of the backend server,
   and from then on the agent ignored that the backend server was draining
   (review case 3).  Repeated with each field missing or of another type.  */
static void
other_writer_does_not_replace_the_backend_ (void **state)
{
  size_t i;

  (void)state;
  for (i = 0; i < 2 * G_N_ELEMENTS (field_names_); i++)
    {
      struct scenario_ scenario = { 0 };
      struct rgy_counters *counters = rgy_counters_new ();
      struct rgy_stream_agent_settings settings
          = { .service = rgy_name_from_c ("workshop"),
              .domain = rgy_name_from_c ("poa-a"),
              .incarnation = 1,
              .flow_ttl_us = 60 * RGY_US_PER_S,
              .heartbeat_us = RGY_US_PER_S,
              .max_flows = 100,
              .out = { .emit = count_reset_, .ctx = &scenario } };
      int64_t now_us = 100 * RGY_US_PER_S;
      const char *name = field_names_[i / 2];
      json_t *odd = make_heartbeat_ ();
      json_t *draining = make_heartbeat_ ();

      scenario.agent = rgy_stream_agent_new (&settings, counters, now_us);
      deliver_ (&scenario, "i-1", make_heartbeat_ (), now_us);
      open_flow_ (scenario.agent, now_us);
      now_us += 30 * RGY_US_PER_S;
      json_object_set_new (odd, "born", json_integer (NOW_MS));
      if (i % 2 == 0)
        json_object_del (odd, name);
      else
        json_object_set_new (odd, name, json_array ());
      deliver_ (&scenario, "i-other", odd, now_us);
      assert_int_equal (scenario.resets, 0);
      json_object_set_new (draining, "seq", json_integer (30));
      json_object_set_new (draining, "state", json_string ("draining"));
      deliver_ (&scenario, "i-1", draining, now_us);
      assert_int_equal (rgy_stream_agent_get_state (scenario.agent),
                        RGY_BACKEND_DRAINING);
      rgy_stream_agent_delete (scenario.agent);
      rgy_counters_delete (counters);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (heartbeat_is_decoded_),
    cmocka_unit_test (limits_of_fields_are_accepted_),
    cmocka_unit_test (heartbeat_without_a_field_is_rejected_),
    cmocka_unit_test (heartbeat_with_another_type_is_rejected_),
    cmocka_unit_test (heartbeat_out_of_range_is_rejected_),
    cmocka_unit_test (heartbeat_with_long_text_is_rejected_),
    cmocka_unit_test (unreadable_heartbeat_is_rejected_),
    cmocka_unit_test (heartbeat_with_invalid_id_is_rejected_),
    cmocka_unit_test (other_writer_does_not_replace_the_backend_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "platform.h"
#include "ragwortyoke/clock.h"

static struct rgy_bytes
make_bytes_ (const char *text)
{
  return (struct rgy_bytes){ .data = (const uint8_t *)text,
                             .len = strlen (text) };
}

#define SERVICES                                                              \
  "\"services\":[{\"name\":\"a\",\"warmup_per_s\":2.5},{\"name\":\"b\"}]"

/* A malformed manifest, which another writer may put into the store, must be
   rejected with a reason, so that the previous manifest stays active.  */
static void
malformed_manifests_are_rejected_ (void **state)
{
  static const char *const bad[] = {
    "",
    "[]",
    "{\"version\":1",
    "{\"version\":0,\"routes\":[]}",
    "{\"version\":\"7\",\"routes\":[]}",
    "{\"version\":7}",
    "{\"version\":7,\"routes\":[{}]}",
    "{\"version\":7,\"routes\":[{\"hostname\":\"198.18.0.1\",\"prefix\":"
    "\"443\",\"service\":\"a\"}]}",
    "{\"version\":7,\"routes\":[{\"hostname\":\"198.18.0.1\",\"prefix\":"
    "\"/443/\"}]}",
    "{\"version\":7,\"routes\":[{\"hostname\":\"198.18.0.1\",\"prefix\":"
    "\"/443/\",\"traffic_split\":[{\"service\":\"a\",\"weight\":0}]}]}",
    "{\"version\":7,\"routes\":[{\"hostname\":\"198.18.0.1\",\"prefix\":"
    "\"/443/\",\"traffic_split\":[{\"service\":\"a\",\"weight\":-1}]}]}",
    "{\"version\":7,\"routes\":[{\"hostname\":\"198.18.0.1\",\"prefix\":"
    "\"/443/\",\"service\":\"a\",\"priority\":-1}]}",
    "{\"version\":7,\"routes\":[{\"hostname\":\"198.18.0.1\",\"prefix\":"
    "\"/443/\",\"service\":\"a\",\"priority\":\"high\"}]}",
  };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      char *why = NULL;

      assert_null (rgy_platform_manifest_decode (make_bytes_ (bad[i]), &why));
      assert_non_null (why);
      g_free (why);
    }
}

/* A valid manifest but for one value: nested too deeply, too large for a
   number, or a port or weight out of range.  It must be rejected with a
   reason, and the process must go on.  */
static void
manifests_with_an_odd_value_are_rejected_ (void **state)
{
  static const char form[]
      = "{\"version\":%s,\"routes\":[{\"hostname\":\"%s\",\"prefix\":\"%s\","
        "\"traffic_split\":[{\"service\":\"a\",\"weight\":%s},"
        "{\"service\":\"b\",\"weight\":1}]}],\"new\":%s}";
  char *nested = g_strnfill (5000, '[');
  const char *const values[][5] = {
    { "1e99999", "198.18.0.1", "/443/", "9", "1" },
    { "99999999999999999999", "198.18.0.1", "/443/", "9", "1" },
    { "7.5", "198.18.0.1", "/443/", "9", "1" },
    { "-7", "198.18.0.1", "/443/", "9", "1" },
    { "7", "198.18.0.256", "/443/", "9", "1" },
    { "7", "198.18.0.1:1", "/443/", "9", "1" },
    { "7", "\xff", "/443/", "9", "1" },
    { "7", "198.18.0.1", "/65536/", "9", "1" },
    { "7", "198.18.0.1", "/0/", "9", "1" },
    { "7", "198.18.0.1", "/-1/", "9", "1" },
    { "7", "198.18.0.1", "//", "9", "1" },
    { "7", "198.18.0.1", "/443/", "4294967296", "1" },
    { "7", "198.18.0.1", "/443/", "\"9\"", "1" },
    { "7", "198.18.0.1", "/443/", "1.5", "1" },
    { "7", "198.18.0.1", "/443/", "null", "1" },
    { "7", "198.18.0.1", "/443/", "9", "1e99999" },
    { "7", "198.18.0.1", "/443/", "9", "\"\\udcff\"" },
    { "7", "198.18.0.1", "/443/", "9", nested },
  };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (values); i++)
    {
      char *text = g_strdup_printf (form, values[i][0], values[i][1],
                                    values[i][2], values[i][3], values[i][4]);
      char *why = NULL;

      assert_null (rgy_platform_manifest_decode (make_bytes_ (text), &why));
      assert_non_null (why);
      g_free (why);
      g_free (text);
    }
  g_free (nested);
}

/* Routes in both forms, weights, warm-up rates and the idle timeout must be
   decoded, and unknown members must be ignored.  */
static void
manifest_is_decoded_ (void **state)
{
  static const char json[]
      = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"198.18.0."
        "1\","
        "\"latency_goal_ms\":120,\"timeout_ms\":900,\"priority\":1,"
        "\"type\":\"unsafe\",\"prefix\":\"/8443/"
        "\",\"traffic_split\":[{\"service\":\"a\",\"weight\":"
        "90},{\"service\":\"b\",\"weight\":10}]},{\"hostname\":\"198.18.0.2\","
        "\"type\":\"safe\",\"prefix\":\"/80/\",\"service\":\"b\"}]," SERVICES
        ",\"limits\":{\"idle_timeout_ms\":15000},\"new\":true}";
  struct rgy_name a = rgy_name_from_c ("a");
  struct rgy_name b = rgy_name_from_c ("b");
  char *why = NULL;
  struct rgy_stream_manifest *manifest
      = rgy_platform_manifest_decode (make_bytes_ (json), &why);
  const struct rgy_route *route;

  (void)state;
  assert_null (why);
  assert_int_equal (rgy_stream_manifest_get_version (manifest), 7);
  assert_int_equal (rgy_stream_manifest_get_idle_timeout (manifest), 15000);
  route = rgy_stream_manifest_find (
      manifest, (struct rgy_endpoint){ .ip = 0xc6120001, .port = 8443 });
  assert_non_null (route);
  assert_int_equal (route->n_targets, 2);
  assert_int_equal (route->terms.goal_us, 120000);
  assert_int_equal (route->terms.limit_us, 900000);
  assert_int_equal (route->terms.priority, 1);
  assert_false (route->terms.repeatable);
  assert_int_equal (route->targets[0].weight, 90);
  assert_true (rgy_name_equal (&route->targets[1].service, &b));
  route = rgy_stream_manifest_find (
      manifest, (struct rgy_endpoint){ .ip = 0xc6120002, .port = 80 });
  assert_int_equal (route->n_targets, 1);
  assert_int_equal (route->terms.goal_us, 0);
  assert_int_equal (route->terms.limit_us, 0);
  assert_int_equal (route->terms.priority, RGY_PRIORITY_UNSTATED);
  assert_true (route->terms.repeatable);
  assert_int_equal (rgy_stream_manifest_get_cold_rate (manifest, &a), 2500);
  assert_int_equal (rgy_stream_manifest_get_cold_rate (manifest, &b), 0);
  rgy_stream_manifest_delete (manifest);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (malformed_manifests_are_rejected_),
    cmocka_unit_test (manifests_with_an_odd_value_are_rejected_),
    cmocka_unit_test (manifest_is_decoded_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke-io/store_json.h"

static json_t *
load_json_ (const char *text)
{
  json_t *json = json_loads (text, 0, NULL);

  assert_non_null (json);
  return json;
}

static uint64_t
read_u64_ (const char *value)
{
  char *text = g_strdup_printf ("{\"n\": %s}", value);
  json_t *json = load_json_ (text);
  uint64_t number = rgy_store_json_get_u64 (json, "n");

  json_decref (json);
  g_free (text);
  return number;
}

/* Numbers must be read from strings and from JSON integers, because the
   gateway writes 64-bit numbers as strings.  */
static void
numbers_are_read_from_strings_and_integers_ (void **state)
{
  (void)state;
  assert_int_equal (read_u64_ ("\"42\""), 42);
  assert_int_equal (read_u64_ ("42"), 42);
  assert_int_equal (read_u64_ ("\"18446744073709551615\""), UINT64_MAX);
}

/* Malformed numbers must be read as 0.  "-1" and numbers above 64 bits were
   once read as 2^64 - 1; as a revision this made every later answer of the
   store look older, until the process was restarted.  */
static void
malformed_numbers_are_zero_ (void **state)
{
  static const char *const values[]
      = { "\"-1\"", "-1",        "\"18446744073709551616\"",
          "\"4x\"", "\" 4\"",    "\"\"",
          "true",   "{\"a\":1}", "1.5" };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (values); i++)
    assert_int_equal (read_u64_ (values[i]), 0);
}

/* Revisions above the signed 64-bit range of the protocol must be read as 0;
   otherwise later answers would look older.  */
static void
impossible_revisions_are_zero_ (void **state)
{
  json_t *json = load_json_ ("{\"last\": \"9223372036854775807\","
                             " \"next\": \"9223372036854775808\"}");

  (void)state;
  assert_int_equal (rgy_store_json_get_revision (json, "last"), INT64_MAX);
  assert_int_equal (rgy_store_json_get_revision (json, "next"), 0);
  assert_int_equal (rgy_store_json_get_revision (json, "none"), 0);
  json_decref (json);
}

/* The limit for revisions must not apply to a cluster ID,
   which uses all 64 bits.  */
static void
header_is_read_ (void **state)
{
  json_t *json = load_json_ ("{\"header\": {\"revision\": \"-1\","
                             " \"cluster_id\": \"14841639068965178418\"}}");
  json_t *none = load_json_ ("{}");
  struct rgy_store_header header;

  (void)state;
  assert_true (rgy_store_json_get_header (json, &header));
  assert_int_equal (header.revision, 0);
  assert_int_equal (header.cluster_id, UINT64_C (14841639068965178418));
  assert_false (rgy_store_json_get_header (none, &header));
  json_decref (json);
  json_decref (none);
}

/* Keys and values are arbitrary bytes; a value with zero bytes
   must not be truncated.  */
static void
bytes_are_unchanged_after_base64_ (void **state)
{
  static const uint8_t data[] = { 0, 255, 0, 10, 0 };
  json_t *json = json_object ();
  GBytes *bytes;
  gsize len = 0;

  (void)state;
  json_object_set_new (json, "value",
                       rgy_store_json_bytes ((struct rgy_bytes){
                           .data = data, .len = sizeof data }));
  bytes = rgy_store_json_get_bytes (json, "value");
  assert_memory_equal (g_bytes_get_data (bytes, &len), data, sizeof data);
  assert_int_equal (len, sizeof data);
  g_bytes_unref (bytes);
  bytes = rgy_store_json_get_bytes (json, "missing");
  assert_int_equal (g_bytes_get_size (bytes), 0);
  g_bytes_unref (bytes);
  json_decref (json);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (numbers_are_read_from_strings_and_integers_),
    cmocka_unit_test (malformed_numbers_are_zero_),
    cmocka_unit_test (impossible_revisions_are_zero_),
    cmocka_unit_test (header_is_read_),
    cmocka_unit_test (bytes_are_unchanged_after_base64_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

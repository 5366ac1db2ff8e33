#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/counter.h"

/* Guards against values that move when others are registered: they would be
   written through a dangling pointer.  */
static void
value_addresses_stay_valid_ (void **state)
{
  struct rgy_counters *counters = rgy_counters_new ();
  uint64_t *first = rgy_counters_add (counters, "dropped", NULL, "Drops.");
  char label[32];
  int i;

  (void)state;
  *first = 7;
  for (i = 0; i < 1000; i++)
    {
      snprintf (label, sizeof label, "reason=\"r%d\"", i);
      *rgy_counters_add (counters, "refused", label, "Refusals.")
          = (uint64_t)i;
    }
  ++*first;
  assert_int_equal (rgy_counters_get (counters, "dropped", NULL), 8);
  assert_int_equal (rgy_counters_get (counters, "refused", "reason=\"r999\""),
                    999);
  rgy_counters_delete (counters);
}

/* Guards against a second registration that resets or duplicates a value.
   Labels are copied, so the caller may reuse its buffer.  */
static void
registration_finds_existing_value_ (void **state)
{
  struct rgy_counters *counters = rgy_counters_new ();
  char label[] = "reason=\"deadline\"";
  uint64_t *value = rgy_counters_add (counters, "refused", label, "Refusals.");

  (void)state;
  *value = 3;
  label[0] = 'x';
  assert_ptr_equal (rgy_counters_add (counters, "refused",
                                      "reason=\"deadline\"", "Refusals."),
                    value);
  assert_int_equal (
      rgy_counters_get (counters, "refused", "reason=\"deadline\""), 3);
  assert_int_equal (rgy_counters_get (counters, "refused", NULL), 0);
  assert_int_equal (rgy_counters_get (counters, "unknown", NULL), 0);
  rgy_counters_delete (counters);
}

/* Guards against output that scrapers reject because the samples of a name are
   not in one group below one HELP and one TYPE line.  */
static void
format_groups_samples_of_a_name_ (void **state)
{
  struct rgy_counters *counters = rgy_counters_new ();
  char *text;

  (void)state;
  *rgy_counters_add (counters, "refused", "reason=\"a\"", "Refusals.") = 1;
  *rgy_counters_add_gauge (counters, "flows", NULL, "Open flows.")
      = UINT64_MAX;
  *rgy_counters_add (counters, "refused", "reason=\"b\"", "Refusals.") = 2;
  text = rgy_counters_format (counters);
  assert_string_equal (text, "# HELP ragwortyoke_refused Refusals.\n"
                             "# TYPE ragwortyoke_refused counter\n"
                             "ragwortyoke_refused{reason=\"a\"} 1\n"
                             "ragwortyoke_refused{reason=\"b\"} 2\n"
                             "# HELP ragwortyoke_flows Open flows.\n"
                             "# TYPE ragwortyoke_flows gauge\n"
                             "ragwortyoke_flows 18446744073709551615\n");
  g_free (text);
  rgy_counters_delete (counters);
  rgy_counters_delete (NULL);
}

/* Guards against buckets that are not cumulative, or a wrong sum: every
   quantile computed from them would be wrong.  */
static void
histogram_buckets_are_cumulative_ (void **state)
{
  struct rgy_counters *counters = rgy_counters_new ();
  struct rgy_histogram *histogram
      = rgy_counters_add_histogram (counters, "wait_seconds", "Waiting.");
  char *text;

  (void)state;
  rgy_histogram_observe (histogram, 500);
  rgy_histogram_observe (histogram, 1500);
  rgy_histogram_observe (histogram, 9000000);
  text = rgy_counters_format (counters);
  assert_non_null (strstr (text, "# TYPE ragwortyoke_wait_seconds histogram"));
  assert_non_null (strstr (text, "wait_seconds_bucket{le=\"0.001\"} 1\n"));
  assert_non_null (strstr (text, "wait_seconds_bucket{le=\"0.002\"} 2\n"));
  assert_non_null (strstr (text, "wait_seconds_bucket{le=\"5\"} 2\n"));
  assert_non_null (strstr (text, "wait_seconds_bucket{le=\"+Inf\"} 3\n"));
  assert_non_null (strstr (text, "wait_seconds_sum 9.002\n"));
  assert_non_null (strstr (text, "wait_seconds_count 3\n"));
  assert_int_equal (rgy_histogram_get_count (histogram), 3);
  g_free (text);
  rgy_counters_delete (counters);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (histogram_buckets_are_cumulative_),
    cmocka_unit_test (value_addresses_stay_valid_),
    cmocka_unit_test (registration_finds_existing_value_),
    cmocka_unit_test (format_groups_samples_of_a_name_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

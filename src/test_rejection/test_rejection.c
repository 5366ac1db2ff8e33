#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke-io/rejection.h"

struct fixture_
{
  struct rgy_counters *counters;
  struct rgy_rejections *rejections;
};

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);

  f->counters = rgy_counters_new ();
  f->rejections = rgy_rejections_new (f->counters);
  *state = f;
  return 0;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_rejections_delete (f->rejections);
  rgy_counters_delete (f->counters);
  g_free (f);
  return 0;
}

/* Another writer that repeats one malformed input must not fill the log, and
   each input must be counted.  */
static void
repeated_input_is_counted_and_logged_once_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned lines = 0;
  int i;

  for (i = 0; i < 1000; i++)
    lines += rgy_rejections_add (f->rejections, "heartbeat", "seq: missing",
                                 i * 1000);
  assert_int_equal (lines, 1);
  assert_true (
      rgy_rejections_add (f->rejections, "heartbeat", "zone: missing", 0));
  assert_true (
      rgy_rejections_add (f->rejections, "manifest", "seq: missing", 0));
  assert_true (rgy_rejections_add (f->rejections, "heartbeat", "seq: missing",
                                   RGY_REJECTION_LOG_INTERVAL_US));
  assert_int_equal (
      rgy_counters_get (f->counters, "rejected_total", "source=\"heartbeat\""),
      1002);
  assert_int_equal (
      rgy_counters_get (f->counters, "rejected_total", "source=\"manifest\""),
      1);
}

/* Input that is malformed in a new way each time must not fill the log or the
   memory either.  */
static void
number_of_remembered_reasons_is_limited_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned lines = 0;
  int i;

  for (i = 0; i < 10000; i++)
    {
      char *reason = g_strdup_printf ("routes[%d]: invalid", i);

      lines += rgy_rejections_add (f->rejections, "manifest", reason, i);
      g_free (reason);
    }
  assert_int_equal (lines, RGY_REJECTION_MAX_REASONS + 1);
}

int
main (void)
{
#define WITH_RECORD(test)                                                     \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    WITH_RECORD (repeated_input_is_counted_and_logged_once_),
    WITH_RECORD (number_of_remembered_reasons_is_limited_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

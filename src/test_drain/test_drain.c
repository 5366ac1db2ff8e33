#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/drain.h"

#define START_US INT64_C (1000000)
#define TIMEOUT_US INT64_C (60000000)
#define LINGER_US INT64_C (2000000)
#define STEP_US INT64_C (50000)

static const struct rgy_drain_work no_work_ = { 0 };

static struct rgy_drain *
new_drain_in_moving_stage_ (void)
{
  struct rgy_drain *drain = rgy_drain_new (TIMEOUT_US, LINGER_US);

  rgy_drain_start (drain, START_US);
  assert_true (
      rgy_drain_tick (drain, &no_work_, START_US + RGY_DRAIN_ANNOUNCE_US));
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_MOVING);
  return drain;
}

/* Guards against an exit of a process that is not draining, however little
   work it has.  */
static void
stage_does_not_advance_before_the_start_ (void **state)
{
  struct rgy_drain *drain = rgy_drain_new (TIMEOUT_US, LINGER_US);

  (void)state;
  assert_false (rgy_drain_tick (drain, &no_work_, INT64_MAX));
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_NONE);
  rgy_drain_delete (drain);
}

/* Guards against moving flows or exiting before balancers and peers know of
   the drain, which would lose the packets that they still send here.  */
static void
stages_follow_in_order_ (void **state)
{
  struct rgy_drain *drain = rgy_drain_new (TIMEOUT_US, LINGER_US);
  int64_t now_us = START_US;

  (void)state;
  rgy_drain_start (drain, now_us);
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_ANNOUNCING);
  assert_false (
      rgy_drain_tick (drain, &no_work_, now_us + RGY_DRAIN_ANNOUNCE_US - 1));
  now_us += RGY_DRAIN_ANNOUNCE_US;
  assert_true (rgy_drain_tick (drain, &no_work_, now_us));
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_MOVING);
  now_us += STEP_US;
  assert_true (rgy_drain_tick (drain, &no_work_, now_us));
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_LINGERING);
  assert_false (rgy_drain_tick (drain, &no_work_, now_us + LINGER_US - 1));
  assert_true (rgy_drain_tick (drain, &no_work_, now_us + LINGER_US));
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_DONE);
  assert_false (rgy_drain_is_forced (drain));
  assert_string_equal (rgy_drain_stage_string[RGY_DRAIN_DONE], "done");
  assert_false (rgy_drain_tick (drain, &no_work_, INT64_MAX));
  rgy_drain_delete (drain);
}

/* Guards against a drain that ends with work left before its timeout, which
   interrupts requests or breaks flows.  Each kind of work alone must delay the
   end.  */
static void
any_work_delays_the_end_until_the_timeout_ (void **state)
{
  static const struct rgy_drain_work works[] = {
    { .flows = 1 }, { .running = 1 }, { .queued = 1 }, { .transfers = 1 }
  };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (works); i++)
    {
      struct rgy_drain *drain = new_drain_in_moving_stage_ ();
      int64_t now_us;

      for (now_us = START_US + RGY_DRAIN_ANNOUNCE_US;
           now_us < START_US + TIMEOUT_US; now_us += STEP_US)
        assert_false (rgy_drain_tick (drain, &works[i], now_us));
      assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_MOVING);
      assert_false (rgy_drain_is_forced (drain));
      assert_true (rgy_drain_tick (drain, &works[i], START_US + TIMEOUT_US));
      assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_DONE);
      assert_true (rgy_drain_is_forced (drain));
      rgy_drain_delete (drain);
    }
}

/* Work that appears while lingering, such as a late transfer, must be finished
   too, and the full linger time must start anew.  */
static void
late_work_leads_back_to_moving_ (void **state)
{
  struct rgy_drain_work one_flow = { .flows = 1 };
  struct rgy_drain *drain = new_drain_in_moving_stage_ ();
  int64_t now_us = START_US + RGY_DRAIN_ANNOUNCE_US;

  (void)state;
  assert_true (rgy_drain_tick (drain, &no_work_, now_us));
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_LINGERING);
  now_us += LINGER_US;
  assert_true (rgy_drain_tick (drain, &one_flow, now_us));
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_MOVING);
  now_us += STEP_US;
  assert_true (rgy_drain_tick (drain, &no_work_, now_us));
  assert_false (rgy_drain_tick (drain, &no_work_, now_us + LINGER_US - 1));
  assert_true (rgy_drain_tick (drain, &no_work_, now_us + LINGER_US));
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_DONE);
  rgy_drain_delete (drain);
}

/* Guards against a second SIGTERM that extends the drain, and against
   reporting a timeout without work left as a forced end.  */
static void
timeout_counts_from_the_first_start_ (void **state)
{
  struct rgy_drain *drain = rgy_drain_new (RGY_DRAIN_ANNOUNCE_US, LINGER_US);

  (void)state;
  rgy_drain_start (drain, START_US);
  rgy_drain_start (drain, START_US + STEP_US);
  assert_true (
      rgy_drain_tick (drain, &no_work_, START_US + RGY_DRAIN_ANNOUNCE_US));
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_DONE);
  assert_false (rgy_drain_is_forced (drain));
  rgy_drain_start (drain, START_US + TIMEOUT_US);
  assert_int_equal (rgy_drain_get_stage (drain), RGY_DRAIN_DONE);
  rgy_drain_delete (drain);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (stage_does_not_advance_before_the_start_),
    cmocka_unit_test (stages_follow_in_order_),
    cmocka_unit_test (any_work_delays_the_end_until_the_timeout_),
    cmocka_unit_test (late_work_leads_back_to_moving_),
    cmocka_unit_test (timeout_counts_from_the_first_start_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

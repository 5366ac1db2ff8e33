#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/admission.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/health.h"

#define US_PER_MS RGY_US_PER_MS
#define US_PER_S RGY_US_PER_S
#define START_US (1000 * US_PER_S)
#define SLOTS 4

static struct rgy_health *
new_health_ (void)
{
  return rgy_health_new (&rgy_health_defaults, SLOTS);
}

/* Sends a probe that must be due and returns its sequence number.  */
static uint16_t
send_probe_ (struct rgy_health *health, int64_t now_us)
{
  uint16_t sequence = 0;

  assert_true (rgy_health_start_probe (health, now_us, &sequence));
  return sequence;
}

/* Guards against an unresponsive server that stays healthy, and against a
   single lost probe that makes it unhealthy: 2 failures or 2 answers in a row
   must change the state.  */
static void
state_follows_consecutive_probes_ (void **state)
{
  struct rgy_health *health = new_health_ ();
  int64_t t = START_US;
  uint16_t sequence = 0;

  (void)state;
  assert_true (rgy_health_is_healthy (health));
  send_probe_ (health, t);
  assert_false (
      rgy_health_start_probe (health, t + 999 * US_PER_MS, &sequence));
  assert_int_equal (rgy_health_tick (health, t + 500 * US_PER_MS),
                    RGY_HEALTH_UNCHANGED);
  assert_int_equal (rgy_health_tick (health, t + 501 * US_PER_MS),
                    RGY_HEALTH_UNCHANGED);
  assert_int_equal (rgy_health_tick (health, t + 900 * US_PER_MS),
                    RGY_HEALTH_UNCHANGED);
  t += US_PER_S;
  sequence = send_probe_ (health, t);
  assert_int_equal (rgy_health_note_answer (health, sequence, t + US_PER_MS),
                    RGY_HEALTH_UNCHANGED);
  t += US_PER_S;
  send_probe_ (health, t);
  assert_int_equal (rgy_health_tick (health, t + 501 * US_PER_MS),
                    RGY_HEALTH_UNCHANGED);
  t += US_PER_S;
  send_probe_ (health, t);
  assert_int_equal (rgy_health_tick (health, t + 501 * US_PER_MS),
                    RGY_HEALTH_FAILED);
  assert_false (rgy_health_is_healthy (health));
  assert_int_equal (rgy_health_get_ceiling (health, t), 0);
  t += US_PER_S;
  sequence = send_probe_ (health, t);
  assert_int_equal (rgy_health_note_answer (health, sequence, t + US_PER_MS),
                    RGY_HEALTH_UNCHANGED);
  t += US_PER_S;
  sequence = send_probe_ (health, t);
  assert_int_equal (rgy_health_note_answer (health, sequence, t + US_PER_MS),
                    RGY_HEALTH_RECOVERED);
  assert_int_equal (rgy_health_get_ceiling (health, t), SLOTS);
  rgy_health_delete (health);
}

/* Guards against late answers, such as those sent before a restart, that make
   a server healthy.  */
static void
late_and_unknown_answers_are_ignored_ (void **state)
{
  struct rgy_health *health = new_health_ ();
  int64_t t = START_US;
  uint16_t first;
  uint16_t second;

  (void)state;
  rgy_health_note_refused (health, t);
  first = send_probe_ (health, t);
  assert_int_equal (
      rgy_health_note_answer (health, first, t + 501 * US_PER_MS),
      RGY_HEALTH_UNCHANGED);
  rgy_health_tick (health, t + 501 * US_PER_MS);
  t += US_PER_S;
  second = send_probe_ (health, t);
  assert_int_equal (rgy_health_note_answer (health, first, t),
                    RGY_HEALTH_UNCHANGED);
  assert_int_equal (rgy_health_note_answer (health, second, t),
                    RGY_HEALTH_UNCHANGED);
  assert_int_equal (rgy_health_note_answer (health, second, t),
                    RGY_HEALTH_UNCHANGED);
  assert_false (rgy_health_is_healthy (health));
  t += US_PER_S;
  assert_int_equal (
      rgy_health_note_answer (health, send_probe_ (health, t), t),
      RGY_HEALTH_RECOVERED);
  rgy_health_delete (health);
}

/* A refused socket means that no process listens: the server must become
   unhealthy at once, so that no request is lost while a second failure is
   awaited.  */
static void
refused_socket_fails_at_once_ (void **state)
{
  struct rgy_health *health = new_health_ ();

  (void)state;
  rgy_health_note_traffic (health, START_US);
  assert_int_equal (rgy_health_note_refused (health, START_US),
                    RGY_HEALTH_FAILED);
  assert_int_equal (rgy_health_note_refused (health, START_US),
                    RGY_HEALTH_UNCHANGED);
  assert_int_equal (rgy_health_get_ceiling (health, START_US), 0);
  rgy_health_delete (health);
}

/* Guards against taking a server out of use whose probes fail while it answers
   traffic.  When it is unhealthy, it must receive one request at a time.  */
static void
answers_to_traffic_count_as_success_ (void **state)
{
  struct rgy_health *health = new_health_ ();
  int64_t t = START_US;
  unsigned i;

  (void)state;
  for (i = 0; i < 10; i++, t += US_PER_S)
    {
      send_probe_ (health, t);
      assert_int_equal (rgy_health_tick (health, t + 600 * US_PER_MS),
                        RGY_HEALTH_UNCHANGED);
      assert_int_equal (rgy_health_note_traffic (health, t + 700 * US_PER_MS),
                        RGY_HEALTH_UNCHANGED);
    }
  rgy_health_note_refused (health, t);
  assert_int_equal (rgy_health_note_traffic (health, t), RGY_HEALTH_UNCHANGED);
  assert_int_equal (rgy_health_get_ceiling (health, t + US_PER_S), 1);
  assert_int_equal (rgy_health_get_ceiling (health, t + US_PER_S + 1), 0);
  assert_int_equal (rgy_health_note_traffic (health, t + US_PER_S),
                    RGY_HEALTH_RECOVERED);
  rgy_health_delete (health);
}

/* Readings of the load endpoint may be wrong or old: they must only lower the
   ceiling, never below 1, and for 5 s.  */
static void
load_only_lowers_the_ceiling_ (void **state)
{
  static const struct
  {
    unsigned in_use;
    unsigned ceiling;
  } cases[] = { { 0, 4 }, { 1, 3 }, { 3, 1 }, { 4, 1 }, { UINT_MAX, 1 } };
  struct rgy_health *health = new_health_ ();
  int64_t t = START_US;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++, t += 10 * US_PER_S)
    {
      rgy_health_note_load (health, cases[i].in_use, t);
      assert_int_equal (rgy_health_get_ceiling (health, t), cases[i].ceiling);
      assert_int_equal (rgy_health_get_ceiling (health, t + 5 * US_PER_S),
                        cases[i].ceiling);
      assert_int_equal (rgy_health_get_ceiling (health, t + 5 * US_PER_S + 1),
                        SLOTS);
    }
  rgy_health_note_refused (health, t);
  rgy_health_note_load (health, 0, t);
  assert_int_equal (rgy_health_get_ceiling (health, t), 0);
  rgy_health_delete (health);
}

/* Guards against endpoints that report perfect health and no load for a cold
   server: they must not raise its limit.  */
static void
wrong_readings_do_not_raise_the_limit_ (void **state)
{
  struct rgy_admission *a
      = rgy_admission_new (&(struct rgy_admission_settings){
          .slots = SLOTS, .queue_length = 16, .cold_start = true });
  struct rgy_health *health = new_health_ ();
  int64_t t = START_US;
  unsigned i;

  (void)state;
  for (i = 0; i < 100; i++, t += US_PER_S)
    {
      rgy_health_note_answer (health, send_probe_ (health, t), t);
      rgy_health_note_load (health, 0, t);
      rgy_admission_set_ceiling (a, rgy_health_get_ceiling (health, t));
      assert_int_equal (rgy_admission_get_limit (a), 1);
    }
  rgy_health_delete (health);
  rgy_admission_delete (a);
}

/* In any order of events, the ceiling must stay within the slots, and a change
   must be reported exactly when the state changes.  */
static void
random_events_keep_state_and_reports_consistent_ (void **state)
{
  guint32 seed;
  unsigned i;

  (void)state;
  for (seed = 1; seed <= 100; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct rgy_health *health = new_health_ ();
      int64_t t = START_US;
      bool healthy = true;

      for (i = 0; i < 1000; i++)
        {
          enum rgy_health_change change = RGY_HEALTH_UNCHANGED;
          uint16_t sequence = 0;

          t += g_rand_int_range (rand, 0, 400) * US_PER_MS;
          switch (g_rand_int_range (rand, 0, 6))
            {
            case 0:
              change = rgy_health_tick (health, t);
              break;
            case 1:
              rgy_health_start_probe (health, t, &sequence);
              break;
            case 2:
              change = rgy_health_note_answer (
                  health, (uint16_t)g_rand_int_range (rand, 0, 300), t);
              break;
            case 3:
              if (rgy_health_start_probe (health, t, &sequence))
                change = rgy_health_note_answer (health, sequence, t);
              break;
            case 4:
              change = g_rand_int_range (rand, 0, 5) == 0
                           ? rgy_health_note_refused (health, t)
                           : rgy_health_note_traffic (health, t);
              break;
            default:
              rgy_health_note_load (
                  health, (unsigned)g_rand_int_range (rand, 0, 9), t);
            }
          assert_int_equal (change == RGY_HEALTH_RECOVERED,
                            !healthy && rgy_health_is_healthy (health));
          assert_int_equal (change == RGY_HEALTH_FAILED,
                            healthy && !rgy_health_is_healthy (health));
          healthy = rgy_health_is_healthy (health);
          assert_in_range (rgy_health_get_ceiling (health, t), healthy ? 1 : 0,
                           healthy ? SLOTS : 1);
        }
      rgy_health_delete (health);
      g_rand_free (rand);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (state_follows_consecutive_probes_),
    cmocka_unit_test (late_and_unknown_answers_are_ignored_),
    cmocka_unit_test (refused_socket_fails_at_once_),
    cmocka_unit_test (answers_to_traffic_count_as_success_),
    cmocka_unit_test (load_only_lowers_the_ceiling_),
    cmocka_unit_test (wrong_readings_do_not_raise_the_limit_),
    cmocka_unit_test (random_events_keep_state_and_reports_consistent_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

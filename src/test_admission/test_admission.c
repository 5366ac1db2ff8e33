#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/admission.h"
#include "ragwortyoke/clock.h"

#define US_PER_MS RGY_US_PER_MS
#define START_US (1000 * RGY_US_PER_S)

static struct rgy_admission *
new_admission_ (unsigned slots, unsigned queue_length)
{
  return rgy_admission_new (&(struct rgy_admission_settings){
      .slots = slots, .queue_length = queue_length, .cold_start = true });
}

/* Runs one request of the given latency to its completion.  */
static void
complete_request_ (struct rgy_admission *a, int64_t *now_us,
                   int64_t latency_us)
{
  static uint64_t id = 1000000;

  assert_int_equal (
      rgy_admission_submit (a, ++id, *now_us + 60 * RGY_US_PER_S, *now_us),
      RGY_ADMISSION_RUN);
  *now_us += latency_us;
  assert_int_equal (rgy_admission_complete (a, id, RGY_COMPLETION_OK, *now_us),
                    RGY_OK);
}

static void
raise_limit_to_slots_ (struct rgy_admission *a, int64_t *now_us,
                       unsigned slots)
{
  unsigned i;

  for (i = 0; i < (slots - 1) * RGY_ADMISSION_COMPLETIONS_PER_STEP; i++)
    complete_request_ (a, now_us, 10 * US_PER_MS);
  assert_int_equal (rgy_admission_get_limit (a), slots);
  assert_false (rgy_admission_is_cold (a));
}

/* A cold backend server fails under full load: the limit must start at 1, rise
   by 1 for every 8 good completions, and stop at the slots.  */
static void
limit_rises_one_step_for_eight_completions_ (void **state)
{
  struct rgy_admission *a = new_admission_ (4, 16);
  int64_t now_us = START_US;
  unsigned i;

  (void)state;
  for (i = 0; i < 64; i++)
    {
      assert_int_equal (rgy_admission_get_limit (a),
                        MIN (4, 1 + i / RGY_ADMISSION_COMPLETIONS_PER_STEP));
      assert_int_equal (rgy_admission_is_cold (a), i < 24);
      complete_request_ (a, &now_us, 10 * US_PER_MS);
    }
  assert_int_equal (rgy_admission_get_limit (a), 4);
  assert_int_equal (rgy_admission_get_cold_resets (a), 0);
  rgy_admission_delete (a);
}

/* Guards against a step of the limit by completions that are not consecutive:
   a failure among them means that the backend server is still cold.  */
static void
failure_restarts_the_count_of_completions_ (void **state)
{
  static const enum rgy_completion breaking[]
      = { RGY_COMPLETION_FAILED, RGY_COMPLETION_SHED, RGY_COMPLETION_LOST };
  int64_t now_us = START_US;
  size_t k;
  unsigned i;

  (void)state;
  for (k = 0; k < G_N_ELEMENTS (breaking); k++)
    {
      struct rgy_admission *a = new_admission_ (4, 16);

      for (i = 0; i < 7; i++)
        complete_request_ (a, &now_us, US_PER_MS);
      assert_int_equal (
          rgy_admission_submit (a, 1, now_us + 100 * US_PER_MS, now_us),
          RGY_ADMISSION_RUN);
      rgy_admission_complete (a, 1, breaking[k], now_us);
      now_us += RGY_US_PER_S;
      for (i = 0; i < 7; i++)
        complete_request_ (a, &now_us, US_PER_MS);
      assert_int_equal (rgy_admission_get_limit (a), 1);
      complete_request_ (a, &now_us, US_PER_MS);
      assert_int_equal (rgy_admission_get_limit (a), 2);
      rgy_admission_delete (a);
    }
}

/* Guards against executions on a backend server that has become cold: every
   sign of it must reset the limit at once, and no new request may run until
   enough running requests have ended.  */
static void
reset_stops_executions_until_below_the_limit_ (void **state)
{
  struct rgy_admission *a = new_admission_ (4, 16);
  int64_t now_us = START_US;
  uint64_t id = 0;

  (void)state;
  raise_limit_to_slots_ (a, &now_us, 4);
  for (id = 1; id <= 4; id++)
    assert_int_equal (
        rgy_admission_submit (a, id, now_us + RGY_US_PER_S, now_us),
        RGY_ADMISSION_RUN);
  assert_int_equal (rgy_admission_submit (a, 5, now_us + RGY_US_PER_S, now_us),
                    RGY_ADMISSION_QUEUED);
  rgy_admission_complete (a, 1, RGY_COMPLETION_SHED, now_us);
  assert_int_equal (rgy_admission_get_limit (a), 1);
  assert_int_equal (rgy_admission_get_cold_reason (a), RGY_COLD_SHED);
  assert_true (rgy_admission_is_cold (a));
  for (id = 2; id <= 4; id++)
    {
      uint64_t next = 0;

      assert_false (rgy_admission_next (a, now_us, &next));
      rgy_admission_complete (a, id, RGY_COMPLETION_SHED, now_us);
    }
  /* One overload causes one reset, however many requests it sheds.  */
  assert_int_equal (rgy_admission_get_cold_resets (a), 1);
  assert_true (rgy_admission_next (a, now_us, &id));
  assert_int_equal (id, 5);
  rgy_admission_set_cold (a, RGY_COLD_PROBE, now_us);
  assert_int_equal (rgy_admission_get_cold_reason (a), RGY_COLD_PROBE);
  assert_int_equal (rgy_admission_get_cold_resets (a), 2);
  rgy_admission_delete (a);
}

/* A latency above 4 times the average must reset the limit.  Below 50 ms it
   must not, since the jitter of a fast server would reset the limit all the
   time.  */
static void
latency_above_both_bounds_resets_the_limit_ (void **state)
{
  struct rgy_admission *a = new_admission_ (4, 16);
  int64_t now_us = START_US;

  (void)state;
  raise_limit_to_slots_ (a, &now_us, 4);
  complete_request_ (a, &now_us, 49 * US_PER_MS);
  assert_int_equal (rgy_admission_get_limit (a), 4);
  complete_request_ (a, &now_us, 200 * US_PER_MS);
  assert_int_equal (rgy_admission_get_limit (a), 1);
  assert_int_equal (rgy_admission_get_cold_reason (a), RGY_COLD_LATENCY);
  rgy_admission_delete (a);

  a = new_admission_ (4, 16);
  while (rgy_admission_get_limit (a) < 4)
    complete_request_ (a, &now_us, 30 * US_PER_MS);
  complete_request_ (a, &now_us, 119 * US_PER_MS);
  assert_int_equal (rgy_admission_get_limit (a), 4);
  rgy_admission_delete (a);
}

/* Guards against an average that includes the samples of an overload: the next
   overload of the same latency would be taken for normal.  */
static void
slow_samples_after_a_reset_stay_out_of_the_average_ (void **state)
{
  struct rgy_admission *a = new_admission_ (2, 16);
  int64_t now_us = START_US;
  int64_t reset_us;
  unsigned i;

  (void)state;
  raise_limit_to_slots_ (a, &now_us, 2);
  complete_request_ (a, &now_us, 60 * US_PER_MS);
  reset_us = now_us;
  assert_int_equal (rgy_admission_get_cold_resets (a), 1);
  while (now_us - reset_us < 900 * US_PER_MS)
    complete_request_ (a, &now_us, 60 * US_PER_MS);
  for (i = 0; i < RGY_ADMISSION_COMPLETIONS_PER_STEP; i++)
    complete_request_ (a, &now_us, 10 * US_PER_MS);
  assert_int_equal (rgy_admission_get_limit (a), 2);
  complete_request_ (a, &now_us, 60 * US_PER_MS);
  assert_int_equal (rgy_admission_get_limit (a), 1);
  assert_int_equal (rgy_admission_get_cold_resets (a), 2);
  rgy_admission_delete (a);
}

/* Guards against a server that has become slower permanently and is kept at
   one request for ever, because its latency never enters the average.  */
static void
average_adapts_to_lasting_latency_ (void **state)
{
  struct rgy_admission *a = new_admission_ (4, 16);
  int64_t now_us = START_US;
  unsigned i;

  (void)state;
  raise_limit_to_slots_ (a, &now_us, 4);
  for (i = 0; i < 200; i++)
    complete_request_ (a, &now_us, 100 * US_PER_MS);
  assert_int_equal (rgy_admission_get_limit (a), 4);
  assert_int_equal (rgy_admission_get_cold_resets (a), 1);
  rgy_admission_delete (a);
}

/* Requests that started before a reset measure the load before it: their
   completions must not raise the new limit.  */
static void
completions_from_before_a_reset_do_not_raise_the_limit_ (void **state)
{
  struct rgy_admission *a = new_admission_ (16, 16);
  int64_t now_us = START_US;
  uint64_t id;

  (void)state;
  raise_limit_to_slots_ (a, &now_us, 16);
  for (id = 1; id <= 16; id++)
    rgy_admission_submit (a, id, now_us + RGY_US_PER_S, now_us);
  rgy_admission_set_cold (a, RGY_COLD_REFUSED, now_us);
  for (id = 1; id <= 16; id++)
    rgy_admission_complete (a, id, RGY_COMPLETION_OK, now_us + US_PER_MS);
  assert_int_equal (rgy_admission_get_limit (a), 1);
  assert_int_equal (rgy_admission_get_running (a), 0);
  rgy_admission_delete (a);
}

/* The backend server may still execute a request without an answer: its slot
   must stay charged for one more deadline, and must not be leaked after that.
   A late answer releases it earlier.  */
static void
lost_request_keeps_its_slot_for_one_more_deadline_ (void **state)
{
  struct rgy_admission *a = new_admission_ (4, 16);
  struct rgy_admission_expired expired;
  int64_t t = START_US;
  uint64_t id = 0;

  (void)state;
  assert_int_equal (rgy_admission_submit (a, 1, t + 100 * US_PER_MS, t),
                    RGY_ADMISSION_RUN);
  assert_int_equal (rgy_admission_submit (a, 2, t + 900 * US_PER_MS, t),
                    RGY_ADMISSION_QUEUED);
  assert_false (rgy_admission_expire (a, t + 99 * US_PER_MS, &expired));
  assert_true (rgy_admission_expire (a, t + 100 * US_PER_MS, &expired));
  assert_int_equal (expired.id, 1);
  assert_true (expired.was_running);
  assert_false (rgy_admission_expire (a, t + 100 * US_PER_MS, &expired));
  assert_false (rgy_admission_next (a, t + 199 * US_PER_MS, &id));
  assert_int_equal (rgy_admission_get_running (a), 1);
  assert_int_equal (rgy_admission_submit (a, 1, t + RGY_US_PER_S, t + 199),
                    RGY_ADMISSION_DUPLICATE);
  assert_true (rgy_admission_next (a, t + 200 * US_PER_MS, &id));
  assert_int_equal (id, 2);

  assert_int_equal (
      rgy_admission_complete (a, 2, RGY_COMPLETION_LOST, t + 300 * US_PER_MS),
      RGY_OK);
  assert_int_equal (
      rgy_admission_complete (a, 2, RGY_COMPLETION_LOST, t + 300 * US_PER_MS),
      RGY_ERR_NOT_FOUND);
  assert_int_equal (rgy_admission_get_running (a), 1);
  assert_int_equal (
      rgy_admission_complete (a, 2, RGY_COMPLETION_OK, t + 301 * US_PER_MS),
      RGY_OK);
  assert_int_equal (rgy_admission_get_running (a), 0);
  assert_int_equal (
      rgy_admission_complete (a, 2, RGY_COMPLETION_OK, t + 301 * US_PER_MS),
      RGY_ERR_NOT_FOUND);
  rgy_admission_delete (a);
}

/* Guards against requests with very short deadlines that accumulate at a slow
   server, because each lost request releases its slot after its deadline.  */
static void
short_deadlines_do_not_release_slots_early_ (void **state)
{
  struct rgy_admission *a = new_admission_ (4, 16);
  struct rgy_admission_expired expired;
  int64_t now_us = START_US;
  uint64_t id = 1;
  unsigned runs = 0;
  int i;

  (void)state;
  for (i = 0; i < 100; i++, now_us += US_PER_MS, id++)
    {
      while (rgy_admission_expire (a, now_us, &expired))
        ;
      runs += rgy_admission_submit (a, id, now_us + US_PER_MS, now_us)
              == RGY_ADMISSION_RUN;
    }
  assert_int_equal (runs, 2);
  rgy_admission_delete (a);
}

/* The queue must be bounded and in order, and a request whose deadline has
   passed in the queue must not run.  */
static void
queue_is_bounded_ordered_and_respects_deadlines_ (void **state)
{
  struct rgy_admission *a = new_admission_ (1, 3);
  struct rgy_admission_expired expired;
  int64_t t = START_US;
  uint64_t id = 0;

  (void)state;
  assert_int_equal (rgy_admission_submit (a, 9, t, t), RGY_ADMISSION_DEADLINE);
  assert_int_equal (rgy_admission_submit (a, 1, t + 500 * US_PER_MS, t),
                    RGY_ADMISSION_RUN);
  assert_int_equal (rgy_admission_submit (a, 2, t + 10 * US_PER_MS, t),
                    RGY_ADMISSION_QUEUED);
  assert_int_equal (rgy_admission_submit (a, 3, t + 500 * US_PER_MS, t),
                    RGY_ADMISSION_QUEUED);
  assert_int_equal (rgy_admission_submit (a, 4, t + 500 * US_PER_MS, t),
                    RGY_ADMISSION_QUEUED);
  assert_int_equal (rgy_admission_submit (a, 5, t + 500 * US_PER_MS, t),
                    RGY_ADMISSION_REFUSED);
  assert_int_equal (rgy_admission_submit (a, 3, t + 500 * US_PER_MS, t),
                    RGY_ADMISSION_DUPLICATE);
  assert_int_equal (rgy_admission_cancel (a, 1), RGY_ERR_NOT_FOUND);
  assert_int_equal (rgy_admission_cancel (a, 3), RGY_OK);
  assert_int_equal (rgy_admission_cancel (a, 3), RGY_ERR_NOT_FOUND);
  assert_int_equal (rgy_admission_complete (a, 4, RGY_COMPLETION_OK, t),
                    RGY_ERR_NOT_FOUND);
  rgy_admission_complete (a, 1, RGY_COMPLETION_OK, t + 10 * US_PER_MS);
  assert_true (rgy_admission_next (a, t + 10 * US_PER_MS, &id));
  assert_int_equal (id, 4);
  assert_true (rgy_admission_expire (a, t + 10 * US_PER_MS, &expired));
  assert_int_equal (expired.id, 2);
  assert_false (expired.was_running);
  assert_int_equal (rgy_admission_get_queued (a), 0);
  rgy_admission_delete (a);
}

/* A ceiling from health readings may be wrong: it must only lower the
   limit.  */
static void
ceiling_only_lowers_the_limit_ (void **state)
{
  struct rgy_admission *a = new_admission_ (4, 16);
  int64_t now_us = START_US;

  (void)state;
  rgy_admission_set_ceiling (a, 1000);
  assert_int_equal (rgy_admission_get_limit (a), 1);
  raise_limit_to_slots_ (a, &now_us, 4);
  rgy_admission_set_ceiling (a, 2);
  assert_int_equal (rgy_admission_get_limit (a), 2);
  rgy_admission_set_ceiling (a, 0);
  assert_int_equal (rgy_admission_submit (a, 1, now_us + RGY_US_PER_S, now_us),
                    RGY_ADMISSION_QUEUED);
  rgy_admission_set_ceiling (a, 1000);
  assert_int_equal (rgy_admission_get_limit (a), 4);
  rgy_admission_delete (a);
}

/* Random interleavings of all calls, checked against a model.  */

#define MAX_IDS 4096

enum model_state_
{
  MODEL_NONE,
  MODEL_WAITING,
  MODEL_RUNNING,
  MODEL_LOST,
  MODEL_DONE
};

struct model_
{
  struct rgy_admission *a;
  GRand *rand;
  unsigned slots;
  unsigned queue_length;
  int64_t now_us;
  enum model_state_ states[MAX_IDS + 1];
  int64_t deadline_us[MAX_IDS + 1];
  uint64_t last_id;
  unsigned running; /* Running requests, without lost ones.  */
};

/* Checks the start of a request against the limit in effect before it.  */
static void
model_start_request_ (struct model_ *m, uint64_t id, unsigned before,
                      unsigned limit)
{
  assert_true (before < limit);
  assert_true (rgy_admission_get_running (m->a) <= limit);
  assert_true (m->running < limit);
  assert_true (m->deadline_us[id] > m->now_us);
  m->states[id] = MODEL_RUNNING;
  m->running++;
}

static uint64_t
model_pick_request_ (struct model_ *m, enum model_state_ wanted)
{
  uint64_t offset;
  uint64_t i;

  if (m->last_id == 0)
    return 0;
  offset = (uint64_t)g_rand_int_range (m->rand, 0, (gint32)m->last_id);
  for (i = 0; i < m->last_id; i++)
    if (m->states[1 + (offset + i) % m->last_id] == wanted)
      return 1 + (offset + i) % m->last_id;
  return 0;
}

static void
model_submit_request_ (struct model_ *m)
{
  unsigned before = rgy_admission_get_running (m->a);
  unsigned limit = rgy_admission_get_limit (m->a);
  uint64_t id = ++m->last_id;

  m->deadline_us[id]
      = m->now_us + g_rand_int_range (m->rand, -1, 400) * US_PER_MS;
  switch (rgy_admission_submit (m->a, id, m->deadline_us[id], m->now_us))
    {
    case RGY_ADMISSION_RUN:
      /* The call itself may have released lost requests.  */
      model_start_request_ (
          m, id, MIN (before, rgy_admission_get_running (m->a) - 1), limit);
      break;
    case RGY_ADMISSION_QUEUED:
      m->states[id] = MODEL_WAITING;
      break;
    case RGY_ADMISSION_REFUSED:
      assert_int_equal (rgy_admission_get_queued (m->a), m->queue_length);
      m->states[id] = MODEL_DONE;
      break;
    case RGY_ADMISSION_DEADLINE:
      assert_true (m->deadline_us[id] <= m->now_us);
      m->states[id] = MODEL_DONE;
      break;
    case RGY_ADMISSION_DUPLICATE:
      fail ();
    }
}

static void
model_complete_request_ (struct model_ *m, enum rgy_completion completion)
{
  uint64_t id = model_pick_request_ (m, MODEL_RUNNING);

  if (id == 0)
    return;
  assert_int_equal (rgy_admission_complete (m->a, id, completion, m->now_us),
                    RGY_OK);
  m->states[id] = completion == RGY_COMPLETION_LOST ? MODEL_LOST : MODEL_DONE;
  m->running--;
}

static void
model_start_waiting_ (struct model_ *m)
{
  unsigned limit = rgy_admission_get_limit (m->a);
  uint64_t id = 0;

  while (rgy_admission_next (m->a, m->now_us, &id))
    {
      assert_int_equal (m->states[id], MODEL_WAITING);
      model_start_request_ (m, id, rgy_admission_get_running (m->a) - 1,
                            limit);
    }
}

static void
model_expire_requests_ (struct model_ *m)
{
  struct rgy_admission_expired expired;

  while (rgy_admission_expire (m->a, m->now_us, &expired))
    {
      assert_true (m->deadline_us[expired.id] <= m->now_us);
      assert_int_equal (m->states[expired.id],
                        expired.was_running ? MODEL_RUNNING : MODEL_WAITING);
      m->states[expired.id] = expired.was_running ? MODEL_LOST : MODEL_DONE;
      m->running -= expired.was_running;
    }
}

static void
model_run_step_ (struct model_ *m)
{
  uint64_t id;

  switch (g_rand_int_range (m->rand, 0, 16))
    {
    case 0:
    case 1:
    case 2:
    case 3:
      if (m->last_id < MAX_IDS)
        model_submit_request_ (m);
      break;
    case 4:
    case 5:
    case 6:
    case 7:
      model_complete_request_ (m, RGY_COMPLETION_OK);
      break;
    case 8:
      model_complete_request_ (
          m, (enum rgy_completion)g_rand_int_range (m->rand, RGY_COMPLETION_OK,
                                                    RGY_COMPLETION_LOST + 1));
      break;
    case 9:
      id = model_pick_request_ (m, MODEL_WAITING);
      if (id != 0)
        {
          assert_int_equal (rgy_admission_cancel (m->a, id), RGY_OK);
          m->states[id] = MODEL_DONE;
        }
      break;
    case 10:
      id = model_pick_request_ (m, MODEL_LOST);
      if (id != 0) /* The request may have been released in the meantime.  */
        rgy_admission_complete (m->a, id, RGY_COMPLETION_OK, m->now_us);
      break;
    case 11:
      model_expire_requests_ (m);
      break;
    case 12:
    case 13:
      model_start_waiting_ (m);
      break;
    case 14:
      m->now_us += g_rand_int_range (m->rand, 0, 30) * US_PER_MS;
      break;
    default:
      if (g_rand_int_range (m->rand, 0, 8) == 0)
        rgy_admission_set_cold (m->a, RGY_COLD_REFUSED, m->now_us);
      else if (g_rand_int_range (m->rand, 0, 4) == 0)
        rgy_admission_set_ceiling (
            m->a,
            (unsigned)g_rand_int_range (m->rand, 0, (gint32)m->slots + 3));
      break;
    }
  assert_true (rgy_admission_get_limit (m->a) <= m->slots);
  assert_true (rgy_admission_get_queued (m->a) <= m->queue_length);
  assert_true (rgy_admission_get_running (m->a) >= m->running);
}

/* Guards against an interleaving that runs more requests than the limit, runs
   a request past its deadline, or leaks a slot through cancellation, deadlines
   or lost answers.  */
static void
random_interleavings_respect_the_limit_ (void **state)
{
  struct model_ *m = g_new0 (struct model_, 1);
  guint32 seed;
  unsigned i;

  (void)state;
  for (seed = 1; seed <= 300; seed++)
    {
      *m = (struct model_){ .now_us = START_US };
      m->rand = g_rand_new_with_seed (seed);
      m->slots = (unsigned)g_rand_int_range (m->rand, 1, 9);
      m->queue_length = (unsigned)g_rand_int_range (m->rand, 0, 17);
      m->a = new_admission_ (m->slots, m->queue_length);
      for (i = 0; i < 3000; i++)
        model_run_step_ (m);
      m->now_us += RGY_US_PER_S;
      model_expire_requests_ (m);
      m->now_us += 10 * RGY_US_PER_S;
      model_start_waiting_ (m);
      if (rgy_admission_get_running (m->a) != 0
          || rgy_admission_get_queued (m->a) != 0 || m->running != 0)
        fail_msg ("seed %u: %u slots and %u queue places leaked", seed,
                  rgy_admission_get_running (m->a),
                  rgy_admission_get_queued (m->a));
      rgy_admission_delete (m->a);
      g_rand_free (m->rand);
    }
  g_free (m);
}

/* Guards against a retry storm: when all requests fail, retries must not
   multiply the load.  */
static void
retry_budget_stops_a_retry_storm_ (void **state)
{
  struct rgy_retry_budget *budget = rgy_retry_budget_new (10);
  int64_t now_us = START_US;
  unsigned deliveries = 0;
  unsigned retries = 0;
  unsigned i;

  (void)state;
  assert_false (rgy_retry_budget_charge (budget, now_us));
  for (i = 0; i < 20000; i++, now_us += 5 * US_PER_MS)
    {
      rgy_retry_budget_note_delivery (budget, now_us);
      deliveries++;
      while (rgy_retry_budget_charge (budget, now_us))
        retries++;
      assert_true (retries * 10 <= deliveries);
    }
  assert_true (retries * 100 >= deliveries * 9);
  /* Deliveries that have left the window must not allow new retries.  */
  now_us += 11 * RGY_US_PER_S;
  assert_false (rgy_retry_budget_charge (budget, now_us));
  rgy_retry_budget_delete (budget);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (limit_rises_one_step_for_eight_completions_),
    cmocka_unit_test (failure_restarts_the_count_of_completions_),
    cmocka_unit_test (reset_stops_executions_until_below_the_limit_),
    cmocka_unit_test (latency_above_both_bounds_resets_the_limit_),
    cmocka_unit_test (slow_samples_after_a_reset_stay_out_of_the_average_),
    cmocka_unit_test (average_adapts_to_lasting_latency_),
    cmocka_unit_test (completions_from_before_a_reset_do_not_raise_the_limit_),
    cmocka_unit_test (lost_request_keeps_its_slot_for_one_more_deadline_),
    cmocka_unit_test (short_deadlines_do_not_release_slots_early_),
    cmocka_unit_test (queue_is_bounded_ordered_and_respects_deadlines_),
    cmocka_unit_test (ceiling_only_lowers_the_limit_),
    cmocka_unit_test (random_interleavings_respect_the_limit_),
    cmocka_unit_test (retry_budget_stops_a_retry_storm_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

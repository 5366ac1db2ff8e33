#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "ragwortyoke/agent.h"
#include "ragwortyoke/clock.h"

#define TICK_US (50 * RGY_US_PER_MS)
#define SPREAD_US (10 * RGY_US_PER_S)
#define FLEET 570

struct run_
{
  struct rgy_counters *counters;
  struct rgy_agent *agent;
  struct rgy_actions *actions;
  int64_t now_us;
};

static void
start_ (struct run_ *run, uint64_t seed)
{
  const struct rgy_agent_settings settings
      = { .id = rgy_name_from_c ("agent-1"),
          .domain = rgy_name_from_c ("poa-a"),
          .epoch = 1,
          .endpoint = { .ip = 0x7f000001, .port = 7000 },
          .service = { .ip = 0x7f000002, .port = 5683 },
          .random_seed = seed,
          .slots = 4,
          .connections = 10,
          .queue_length = 16,
          .deadline_ms = 2000,
          .idle_timeout_us = RGY_US_PER_S,
          .drain_timeout_us = RGY_US_PER_S };

  run->counters = rgy_counters_new ();
  run->agent = rgy_agent_new (&settings, run->counters);
  run->actions = rgy_actions_new ();
  run->now_us = RGY_US_PER_S;
}

static void
finish_ (struct run_ *run)
{
  rgy_actions_delete (run->actions);
  rgy_agent_delete (run->agent);
  rgy_counters_delete (run->counters);
}

/* Number of writes to the store during a tick.  */
static unsigned
tick_ (struct run_ *run)
{
  unsigned writes = 0;
  size_t i;

  rgy_actions_clear (run->actions);
  rgy_agent_tick (run->agent, run->now_us, run->actions);
  run->now_us += TICK_US;
  for (i = 0; i < rgy_actions_get_count (run->actions); i++)
    writes += rgy_actions_get (run->actions, i).kind == RGY_ACTION_STORE;
  return writes;
}

/* The store takes several hundred writes a second: agents that start together
   must not all write at once, and none may forget to write.  */
static void
starts_are_spread_in_the_store_ (void **state)
{
  unsigned in_second[SPREAD_US / RGY_US_PER_S + 2] = { 0 };
  unsigned total = 0;
  struct run_ run;
  unsigned most = 0;
  unsigned writes;
  size_t i;

  (void)state;
  for (i = 0; i < FLEET; i++)
    {
      start_ (&run, i + 1);
      while (run.now_us <= 2 * RGY_US_PER_S + SPREAD_US)
        {
          size_t second = (size_t)((run.now_us - RGY_US_PER_S) / RGY_US_PER_S);

          writes = tick_ (&run);
          total += writes;
          in_second[second] += writes;
        }
      finish_ (&run);
    }
  for (i = 0; i < sizeof in_second / sizeof in_second[0]; i++)
    most = in_second[i] > most ? in_second[i] : most;
  assert_int_equal (total, FLEET);
  assert_true (most <= 2 * FLEET / 10);
}

/* A record that changes again before it is written must be written once, and
   one that changes afterwards once more.  */
static void
changes_are_written_together_ (void **state)
{
  struct run_ run;
  unsigned writes = 0;

  (void)state;
  start_ (&run, 7);
  tick_ (&run);
  rgy_agent_start_drain (run.agent, run.now_us, run.actions);
  while (run.now_us < 2 * RGY_US_PER_S)
    writes += tick_ (&run);
  while (run.now_us < 2 * RGY_US_PER_S + SPREAD_US)
    writes += tick_ (&run);
  assert_true (writes <= 1);
  finish_ (&run);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (starts_are_spread_in_the_store_),
    cmocka_unit_test (changes_are_written_together_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

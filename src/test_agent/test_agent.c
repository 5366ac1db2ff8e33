#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "ragwortyoke/agent.h"
#include "ragwortyoke/clock.h"

#define TICK_US (50 * RGY_US_PER_MS)
#define WRITE_SPREAD_US (10 * RGY_US_PER_S)
#define AGENT_COUNT 570

struct fixture_
{
  struct rgy_counters *counters;
  struct rgy_agent *agent;
  struct rgy_actions *actions;
  int64_t now_us;
};

static void
start_agent_ (struct fixture_ *f, uint64_t seed)
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

  f->counters = rgy_counters_new ();
  f->agent = rgy_agent_new (&settings, f->counters);
  f->actions = rgy_actions_new ();
  f->now_us = RGY_US_PER_S;
}

static void
delete_agent_ (struct fixture_ *f)
{
  rgy_actions_delete (f->actions);
  rgy_agent_delete (f->agent);
  rgy_counters_delete (f->counters);
}

/* Runs one tick and returns the number of writes to the store.  */
static unsigned
run_tick_ (struct fixture_ *f)
{
  unsigned writes = 0;
  size_t i;

  rgy_actions_clear (f->actions);
  rgy_agent_tick (f->agent, f->now_us, f->actions);
  f->now_us += TICK_US;
  for (i = 0; i < rgy_actions_get_count (f->actions); i++)
    writes += rgy_actions_get (f->actions, i).kind == RGY_ACTION_WRITE_STORE;
  return writes;
}

/* Guards against a burst of writes: the store takes several hundred writes a
   second, so agents that start together must spread theirs over
   WRITE_SPREAD_US.  Each agent must write its record exactly once.  */
static void
writes_of_starting_agents_are_spread_ (void **state)
{
  unsigned writes_in_second[WRITE_SPREAD_US / RGY_US_PER_S + 2] = { 0 };
  unsigned total = 0;
  struct fixture_ f;
  unsigned most = 0;
  unsigned writes;
  size_t i;

  (void)state;
  for (i = 0; i < AGENT_COUNT; i++)
    {
      start_agent_ (&f, i + 1);
      while (f.now_us <= 2 * RGY_US_PER_S + WRITE_SPREAD_US)
        {
          size_t second = (size_t)((f.now_us - RGY_US_PER_S) / RGY_US_PER_S);

          writes = run_tick_ (&f);
          total += writes;
          writes_in_second[second] += writes;
        }
      delete_agent_ (&f);
    }
  for (i = 0; i < sizeof writes_in_second / sizeof writes_in_second[0]; i++)
    most = writes_in_second[i] > most ? writes_in_second[i] : most;
  assert_int_equal (total, AGENT_COUNT);
  assert_true (most <= 2 * AGENT_COUNT / 10);
}

/* Guards against one write for each change: a record that changes again before
   it is written must be written once, and a record that changes after it was
   written once more.  */
static void
changes_are_written_in_one_write_ (void **state)
{
  struct fixture_ f;
  unsigned writes = 0;

  (void)state;
  start_agent_ (&f, 7);
  run_tick_ (&f);
  rgy_agent_start_drain (f.agent, f.now_us, f.actions);
  while (f.now_us < 2 * RGY_US_PER_S)
    writes += run_tick_ (&f);
  while (f.now_us < 2 * RGY_US_PER_S + WRITE_SPREAD_US)
    writes += run_tick_ (&f);
  assert_true (writes <= 1);
  delete_agent_ (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (writes_of_starting_agents_are_spread_),
    cmocka_unit_test (changes_are_written_in_one_write_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

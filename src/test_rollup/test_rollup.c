#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "ragwortyoke/agent.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/rollup.h"

#define TICK_US (50 * RGY_US_PER_MS)

static struct rgy_endpoint
make_endpoint_ (unsigned i)
{
  return (struct rgy_endpoint){ .ip = 0x7f000001 + i, .port = 7000 };
}

/* Guards against a roll-up that changes in the store, and against seeds from a
   damaged one.  */
static void
rollup_round_trips_and_malformed_is_rejected_ (void **state)
{
  static const char *const bad[] = { "",
                                     "[]",
                                     "{}",
                                     "{\"balancers\":1}",
                                     "{\"balancers\":[1]}",
                                     "{\"balancers\":[\"127.0.0.1\"]}",
                                     "{\"balancers\":[" };
  struct rgy_rollup rollup
      = { .balancers = { make_endpoint_ (1), make_endpoint_ (2) },
          .count = 2 };
  struct rgy_rollup read;
  char *json = rgy_rollup_format (&rollup);
  size_t i;

  (void)state;
  assert_int_equal (rgy_rollup_parse (rgy_str_from_c (json), &read), RGY_OK);
  assert_int_equal (read.count, 2);
  assert_true (rgy_endpoint_equal (read.balancers[1], make_endpoint_ (2)));
  g_free (json);
  for (i = 0; i < sizeof bad / sizeof bad[0]; i++)
    assert_int_equal (rgy_rollup_parse (rgy_str_from_c (bad[i]), &read),
                      RGY_ERR_INVALID);
}

/* All balancers that were seeds in the settings may have been removed.  Guards
   against newly read seeds that are left out because the list is full.  */
static void
new_seeds_replace_the_oldest_ (void **state)
{
  struct rgy_rollup rollup
      = { .balancers = { make_endpoint_ (1), make_endpoint_ (9) },
          .count = 2 };
  struct rgy_endpoint seeds[3]
      = { make_endpoint_ (0), make_endpoint_ (1), make_endpoint_ (2) };
  size_t count = 3;

  (void)state;
  rgy_rollup_add_seeds (&rollup, seeds, &count, 3);
  assert_int_equal (count, 3);
  assert_true (rgy_endpoint_equal (seeds[0], make_endpoint_ (1)));
  assert_true (rgy_endpoint_equal (seeds[2], make_endpoint_ (9)));
}

static bool
has_action_ (const struct rgy_actions *actions, enum rgy_action_kind kind,
             struct rgy_endpoint to)
{
  size_t i;

  for (i = 0; i < rgy_actions_get_count (actions); i++)
    {
      struct rgy_action action = rgy_actions_get (actions, i);

      if (action.kind == kind
          && (kind != RGY_ACTION_SEND
              || rgy_endpoint_equal (action.u.send.to, to)))
        return true;
    }
  return false;
}

/* Guards against an agent that never finds a balancer again after all of its
   seeds were replaced.  The agent must read the store and send to the
   balancers listed there, without reading the store at every tick.  */
static void
agent_without_balancers_reads_the_store_ (void **state)
{
  struct rgy_agent_settings settings = { .id = rgy_name_from_c ("agent-1"),
                                         .domain = rgy_name_from_c ("poa-a"),
                                         .epoch = 1,
                                         .endpoint = make_endpoint_ (100),
                                         .service = make_endpoint_ (200),
                                         .seeds = { make_endpoint_ (1) },
                                         .seed_count = 1,
                                         .random_seed = 1,
                                         .slots = 4,
                                         .connections = 10,
                                         .queue_length = 16,
                                         .deadline_ms = 2000,
                                         .idle_timeout_us = RGY_US_PER_S,
                                         .drain_timeout_us = RGY_US_PER_S };
  struct rgy_counters *counters = rgy_counters_new ();
  struct rgy_agent *agent = rgy_agent_new (&settings, counters);
  struct rgy_actions *actions = rgy_actions_new ();
  unsigned reads = 0;
  bool reached = false;
  int64_t now_us;

  (void)state;
  for (now_us = RGY_US_PER_S; now_us < 20 * RGY_US_PER_S; now_us += TICK_US)
    {
      rgy_actions_clear (actions);
      rgy_agent_tick (agent, now_us, actions);
      reached |= has_action_ (actions, RGY_ACTION_SEND, make_endpoint_ (7));
      if (!has_action_ (actions, RGY_ACTION_READ_STORE, make_endpoint_ (0)))
        continue;
      reads++;
      assert_true (now_us >= 6 * RGY_US_PER_S);
      assert_false (reached);
      rgy_agent_note_rollup (agent,
                             RGY_STR ("{\"balancers\":[\"127.0.0.8:7000\"]}"));
    }
  assert_int_equal (reads, 1);
  assert_true (reached);
  rgy_actions_delete (actions);
  rgy_agent_delete (agent);
  rgy_counters_delete (counters);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (rollup_round_trips_and_malformed_is_rejected_),
    cmocka_unit_test (new_seeds_replace_the_oldest_),
    cmocka_unit_test (agent_without_balancers_reads_the_store_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/clock.h"
#include "world.h"

#define S RGY_US_PER_S
#define MS RGY_US_PER_MS

/* What must hold in every run, whatever happens.  */
static void
assert_promises_ (const struct world *w)
{
  const struct world_seen *seen = world_get_seen (w);

  assert_int_equal (seen->wrong_resets, 0);
  assert_int_equal (seen->wrong_service, 0);
  assert_int_equal (seen->after_drain, 0);
}

static struct world *
loaded_ (uint64_t seed, double loss)
{
  struct world *w = world_new (seed, 4, 7, loss);

  world_start (w);
  world_set_load (w, 20, 8 * S);
  world_run (w, 5 * S);
  return w;
}

/* Kills all processes of ours.  */
static void
kill_all_ (struct world *w, size_t n_balancers, size_t n_agents)
{
  size_t i;

  for (i = 0; i < n_balancers; i++)
    world_kill_balancer (w, i);
  for (i = 0; i < n_agents; i++)
    world_kill_agent (w, i);
}

static void
start_all_ (struct world *w, size_t n_balancers, size_t n_agents)
{
  size_t i;

  for (i = 0; i < n_balancers; i++)
    world_start_balancer (w, i);
  for (i = 0; i < n_agents; i++)
    world_start_agent (w, i);
}

/* The same for machines: the backend servers lose their flows, too.  */
static void
power_off_ (struct world *w, size_t n_balancers, size_t n_agents)
{
  size_t i;

  kill_all_ (w, n_balancers, n_agents);
  for (i = 0; i < n_agents; i++)
    world_end_backend (w, i, true);
}

static void
power_on_ (struct world *w, size_t n_balancers, size_t n_agents)
{
  size_t i;

  for (i = 0; i < n_balancers; i++)
    world_start_balancer (w, i);
  for (i = 0; i < n_agents; i++)
    {
      world_start_agent (w, i);
      world_start_backend (w, i);
    }
}

static void
calm_day_serves_all_ (void **state)
{
  struct world *w = loaded_ (1, 0);
  const struct world_seen *seen = world_get_seen (w);

  (void)state;
  world_run (w, 20 * S);
  assert_promises_ (w);
  assert_int_equal (seen->unanswered, 0);
  assert_int_equal (seen->rejected, 0);
  assert_int_equal (seen->resets, 0);
  assert_true (seen->answered > 10000);
  world_delete (w);
}

/* Balancers are stopped and started in turn; nearly every flow moves to
   another one each time.  */
static void
flows_survive_a_roll_of_balancers_ (void **state)
{
  struct world *w = loaded_ (2, 0.002);
  size_t i;

  (void)state;
  for (i = 0; i < 4; i++)
    {
      world_stop_balancer (w, i);
      world_run (w, 1800 * MS);
      world_kill_balancer (w, i);
      world_run (w, 300 * MS);
      world_start_balancer (w, i);
      world_run (w, S);
    }
  world_set_load (w, 0, 0);
  world_run (w, 10 * S);
  assert_promises_ (w);
  assert_int_equal (world_get_seen (w)->resets, 0);
  assert_int_equal (world_get_seen (w)->unanswered, 0);
  world_delete (w);
}

/* An agent that restarts knows nothing; its flows must be found again.  */
static void
flows_survive_a_roll_of_agents_ (void **state)
{
  struct world *w = loaded_ (3, 0.002);
  size_t i;

  (void)state;
  for (i = 0; i < 7; i++)
    {
      world_stop_agent (w, i);
      world_run (w, 400 * MS);
      world_start_agent (w, i);
      world_run (w, 1500 * MS);
    }
  world_set_load (w, 0, 0);
  world_run (w, 10 * S);
  assert_promises_ (w);
  assert_int_equal (world_get_seen (w)->resets, 0);
  world_delete (w);
}

/* All processes of ours are killed; the backend servers keep their flows.  */
static void
flows_survive_a_kill_of_everything_ (void **state)
{
  struct world *w = loaded_ (4, 0);
  unsigned before;

  (void)state;
  kill_all_ (w, 4, 7);
  world_run (w, 700 * MS);
  start_all_ (w, 4, 7);
  before = world_get_seen (w)->answered;
  world_run (w, 3 * S);
  assert_promises_ (w);
  assert_int_equal (world_get_seen (w)->resets, 0);
  assert_true (world_get_seen (w)->answered > before + 1000);
  world_delete (w);
}

/* Load pattern: all processes of ours are killed and thousands of open flows
   are used before any is known again.  Each search tried all backend servers;
   the copies cost more than the requests, and half of the searches found
   nothing in time (rodaforte-sul-grown, trouble-3).  */
static void
searches_try_few_backends_ (void **state)
{
  struct world *w = world_new (14, 4, 24, 0.002);
  const struct world_seen *seen = world_get_seen (w);
  unsigned before;

  (void)state;
  world_start (w);
  world_set_load (w, 100, 12 * S);
  world_run (w, 5 * S);
  kill_all_ (w, 4, 24);
  world_run (w, 700 * MS);
  start_all_ (w, 4, 24);
  before = seen->answered;
  world_run (w, 3 * S);
  assert_promises_ (w);
  assert_int_equal (seen->resets, 0);
  assert_true (seen->answered > before + 3500);
  assert_true (seen->strays < 6 * 500);
  world_delete (w);
}

/* Everything loses power: callers must be told within about a second that
   their flows are lost, and new flows be taken.  */
static void
lost_flows_are_reset_soon_ (void **state)
{
  struct world *w = loaded_ (5, 0);
  const struct world_seen *seen = world_get_seen (w);
  unsigned opened;

  (void)state;
  power_off_ (w, 4, 7);
  world_run (w, 900 * MS);
  opened = seen->opened;
  power_on_ (w, 4, 7);
  world_run (w, 2 * S);
  assert_promises_ (w);
  assert_true (seen->opened > opened + 30);
  assert_true (seen->resets > 80);
  world_run (w, 8 * S);
  assert_true (seen->unanswered < 10);
  world_delete (w);
}

/* The same with many flows, new ones coming and some loss of datagrams: nine
   of ten callers are told within a second, since the store names the agents
   that a balancer has to wait for.  Searches were limited by the rate of
   queries and ended at the first lost one, so most callers waited until their
   time limit (rodaforte-sul-grown, trouble-1).  */
static void
many_lost_flows_are_reset_soon_ (void **state)
{
  struct world *w = world_new (13, 4, 24, 0.002);
  const struct world_seen *seen = world_get_seen (w);
  unsigned lost;

  (void)state;
  world_start (w);
  world_set_load (w, 200, 12 * S);
  world_run (w, 5 * S);
  lost = seen->opened;
  power_off_ (w, 4, 24);
  world_run (w, 900 * MS);
  power_on_ (w, 4, 24);
  world_run (w, 1000 * MS);
  assert_promises_ (w);
  assert_true (seen->resets > lost * 9 / 10);
  world_delete (w);
}

/* A weight of zero takes a service off a route; its open flows stay.  When
   TAKEN was lost, such a flow was searched among the agents of the newest
   route only and reset (hollenbeck-lakes, mix, seed 658227542158).  */
static void
flows_outlive_a_change_of_weights_ (void **state)
{
  unsigned seed;
  unsigned step;

  (void)state;
  for (seed = 600; seed < 610; seed++)
    {
      struct world *w = world_new (seed, 4, 8, 0.05);

      world_set_workshop (w, 4);
      world_set_weights (w, 1, 1);
      world_start (w);
      world_set_load (w, 20, 8 * S);
      for (step = 0; step < 40; step++)
        {
          world_set_weights (w, 1, step % 2);
          world_run (w, 150 * MS);
        }
      assert_promises_ (w);
      assert_int_equal (world_get_seen (w)->resets, 0);
      world_delete (w);
    }
}

/* A restarted agent does not know the flows of its backend server.  When the
   manifest took its service off the route meanwhile, a flow there counted as
   lost and was reset by a balancer that had not known it (hollenbeck-lakes,
   trouble-3, seed 998787813029).  */
static void
unsure_agents_prevent_resets_ (void **state)
{
  struct world *w = world_new (12, 4, 8, 0);
  size_t i;

  (void)state;
  world_set_workshop (w, 4);
  world_set_weights (w, 1, 1);
  world_start (w);
  world_set_load (w, 20, 8 * S);
  world_run (w, 4 * S);
  world_set_load (w, 0, 0);
  world_set_weights (w, 1, 0);
  for (i = 0; i < 4; i++)
    world_kill_balancer (w, i);
  for (i = 4; i < 8; i++)
    {
      world_kill_agent (w, i);
      world_start_agent (w, i);
    }
  for (i = 0; i < 4; i++)
    world_start_balancer (w, i);
  world_run (w, 5 * S);
  assert_promises_ (w);
  assert_int_equal (world_get_seen (w)->resets, 0);
  world_delete (w);
}

/* The same after a kill of all processes: no balancer knows any more that a
   manifest once sent the flow to a service that the route does not name now.
   Its agents were never tried, and the callers waited until their time limits
   (hollenbeck-lakes, scale-1).  */
static void
flows_of_earlier_manifests_are_found_ (void **state)
{
  struct world *w = world_new (15, 4, 8, 0);
  const struct world_seen *seen = world_get_seen (w);

  (void)state;
  world_set_workshop (w, 4);
  world_set_weights (w, 1, 1);
  world_start (w);
  world_set_load (w, 20, 12 * S);
  world_run (w, 4 * S);
  world_set_load (w, 0, 0);
  world_set_weights (w, 1, 0);
  kill_all_ (w, 4, 8);
  world_run (w, 500 * MS);
  start_all_ (w, 4, 8);
  world_run (w, 15 * S);
  assert_promises_ (w);
  assert_int_equal (seen->resets, 0);
  assert_int_equal (seen->unanswered, 0);
  world_delete (w);
}

/* Without TAKEN, the timer offered the flow to another agent and forgot where
   it was, although the first agent had reported it as open.  */
static void
lost_messages_move_no_flow_ (void **state)
{
  struct world *w = loaded_ (7, 0.05);

  (void)state;
  world_run (w, 20 * S);
  world_set_load (w, 0, 0);
  world_run (w, 10 * S);
  assert_promises_ (w);
  assert_int_equal (world_get_seen (w)->resets, 0);
  world_delete (w);
}

static void
draining_takes_no_new_flows_ (void **state)
{
  struct world *w = loaded_ (8, 0.002);
  unsigned before;

  (void)state;
  world_drain_backend (w, 2);
  world_run (w, 200 * MS);
  before = world_get_taken (w, 2);
  world_run (w, 3 * S);
  assert_int_equal (world_get_taken (w, 2), before);
  /* It stays so after a restart of the agent.  */
  world_kill_agent (w, 2);
  world_run (w, 200 * MS);
  world_start_agent (w, 2);
  world_run (w, 5 * S);
  assert_int_equal (world_get_taken (w, 2), before);
  assert_promises_ (w);
  world_delete (w);
}

/* New flows leave a failure domain at once, its flows stay.  */
static void
domain_out_takes_no_new_flows_ (void **state)
{
  struct world *w = loaded_ (9, 0.002);
  unsigned before[7];
  size_t i;

  (void)state;
  world_set_domain_out (w, "poa-a");
  world_run (w, 200 * MS);
  for (i = 0; i < 7; i++)
    before[i] = world_get_taken (w, i);
  world_run (w, 4 * S);
  for (i = 0; i < 7; i++)
    if (i % 2 == 0)
      assert_int_equal (world_get_taken (w, i), before[i]);
    else
      assert_true (world_get_taken (w, i) > before[i]);
  world_set_domain_out (w, NULL);
  world_run (w, 2 * S);
  assert_true (world_get_taken (w, 0) > before[0]);
  assert_promises_ (w);
  world_delete (w);
}

/* The callers of a backend server that has gone are told at once, those of a
   silent one when it is sure.  */
static void
flows_of_lost_backends_are_reset_ (void **state)
{
  struct world *w = loaded_ (10, 0);
  const struct world_seen *seen = world_get_seen (w);
  unsigned resets;

  (void)state;
  world_end_backend (w, 1, false);
  world_run (w, 600 * MS);
  assert_true (seen->resets > 5);
  resets = seen->resets;
  world_end_backend (w, 3, true);
  world_run (w, 5 * S);
  assert_true (seen->resets > resets + 5);
  world_start_backend (w, 3);
  world_run (w, 2 * S);
  resets = seen->resets;
  world_run (w, 3 * S);
  assert_int_equal (seen->resets, resets);
  assert_promises_ (w);
  world_delete (w);
}

/* Without any backend server a new flow is rejected at once.  */
static void
unservable_flows_are_rejected_ (void **state)
{
  struct world *w = world_new (11, 2, 2, 0);
  const struct world_seen *seen = world_get_seen (w);

  (void)state;
  world_start (w);
  world_drain_backend (w, 0);
  world_drain_backend (w, 1);
  world_run (w, S);
  world_set_load (w, 10, S);
  world_run (w, 1500 * MS);
  assert_true (seen->rejected >= 14);
  world_delete (w);
}

/* Random faults, one after the other and overlapping.  */
static void
random_faults_keep_the_promises_ (void **state)
{
  unsigned seed;

  (void)state;
  for (seed = 100; seed < 130; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct world *w = loaded_ (seed, seed % 3 * 0.01);
      unsigned step;

      for (step = 0; step < 12; step++)
        {
          size_t b = (size_t)g_rand_int_range (rand, 0, 4);
          size_t a = (size_t)g_rand_int_range (rand, 0, 7);

          switch (g_rand_int_range (rand, 0, 5))
            {
            case 0:
              world_kill_balancer (w, b);
              world_run (w, g_rand_int_range (rand, 1, 1500) * MS);
              world_start_balancer (w, b);
              break;
            case 1:
              world_kill_agent (w, a);
              world_run (w, g_rand_int_range (rand, 1, 1500) * MS);
              world_start_agent (w, a);
              break;
            case 2:
              world_end_backend (w, a, g_rand_boolean (rand));
              world_run (w, g_rand_int_range (rand, 1, 3000) * MS);
              world_start_backend (w, a);
              break;
            case 3:
              world_stop_agent (w, a);
              world_kill_balancer (w, b);
              world_run (w, g_rand_int_range (rand, 1, 1000) * MS);
              world_start_balancer (w, b);
              world_run (w, g_rand_int_range (rand, 1, 200) * MS);
              world_start_agent (w, a);
              break;
            default:
              world_drain_backend (w, a);
              world_run (w, g_rand_int_range (rand, 1, 2000) * MS);
              world_end_backend (w, a, false);
              world_run (w, 100 * MS);
              world_start_backend (w, a);
              break;
            }
          world_run (w, g_rand_int_range (rand, 1, 1500) * MS);
        }
      world_run (w, 3 * S);
      if (world_get_seen (w)->wrong_resets > 0)
        print_message ("seed %u: %u wrong resets\n", seed,
                       world_get_seen (w)->wrong_resets);
      assert_promises_ (w);
      world_delete (w);
      g_rand_free (rand);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (calm_day_serves_all_),
    cmocka_unit_test (flows_survive_a_roll_of_balancers_),
    cmocka_unit_test (flows_survive_a_roll_of_agents_),
    cmocka_unit_test (flows_survive_a_kill_of_everything_),
    cmocka_unit_test (searches_try_few_backends_),
    cmocka_unit_test (lost_flows_are_reset_soon_),
    cmocka_unit_test (many_lost_flows_are_reset_soon_),
    cmocka_unit_test (flows_outlive_a_change_of_weights_),
    cmocka_unit_test (unsure_agents_prevent_resets_),
    cmocka_unit_test (flows_of_earlier_manifests_are_found_),
    cmocka_unit_test (lost_messages_move_no_flow_),
    cmocka_unit_test (draining_takes_no_new_flows_),
    cmocka_unit_test (domain_out_takes_no_new_flows_),
    cmocka_unit_test (flows_of_lost_backends_are_reset_),
    cmocka_unit_test (unservable_flows_are_rejected_),
    cmocka_unit_test (random_faults_keep_the_promises_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

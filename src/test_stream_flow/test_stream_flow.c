#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/clock.h"
#include "simulation.h"

#define S RGY_US_PER_S
#define MS RGY_US_PER_MS

/* Asserts what must hold in every run: no open flow is reset, no flow reaches
   a service outside its route, and no draining backend server gets new
   flows.  */
static void
assert_invariants_ (const struct simulation *sim)
{
  const struct sim_counts *counts = sim_get_counts (sim);

  assert_int_equal (counts->wrong_resets, 0);
  assert_int_equal (counts->wrong_service, 0);
  assert_int_equal (counts->accepted_after_drain, 0);
}

static struct simulation *
start_with_load_ (uint64_t seed, double loss_share)
{
  struct simulation *sim = sim_new (seed, 4, 7, loss_share);

  sim_start (sim);
  sim_set_load (sim, 20, 8 * S);
  sim_run (sim, 5 * S);
  return sim;
}

/* Kills all balancers and agents; the backend servers keep running.  */
static void
kill_all_processes_ (struct simulation *sim, size_t n_balancers,
                     size_t n_agents)
{
  size_t i;

  for (i = 0; i < n_balancers; i++)
    sim_kill_balancer (sim, i);
  for (i = 0; i < n_agents; i++)
    sim_kill_agent (sim, i);
}

static void
start_all_processes_ (struct simulation *sim, size_t n_balancers,
                      size_t n_agents)
{
  size_t i;

  for (i = 0; i < n_balancers; i++)
    sim_start_balancer (sim, i);
  for (i = 0; i < n_agents; i++)
    sim_start_agent (sim, i);
}

/* Switches off all machines, so that the backend servers lose their flows,
   too.  */
static void
power_off_machines_ (struct simulation *sim, size_t n_balancers,
                     size_t n_agents)
{
  size_t i;

  kill_all_processes_ (sim, n_balancers, n_agents);
  for (i = 0; i < n_agents; i++)
    sim_end_backend (sim, i, true);
}

static void
power_on_machines_ (struct simulation *sim, size_t n_balancers,
                    size_t n_agents)
{
  size_t i;

  for (i = 0; i < n_balancers; i++)
    sim_start_balancer (sim, i);
  for (i = 0; i < n_agents; i++)
    {
      sim_start_agent (sim, i);
      sim_start_backend (sim, i);
    }
}

/* A run without faults: a request without an answer, a rejected flow or a
   reset would be a fault of the normal path.  */
static void
requests_are_answered_without_faults_ (void **state)
{
  struct simulation *sim = start_with_load_ (1, 0);
  const struct sim_counts *counts = sim_get_counts (sim);

  (void)state;
  sim_run (sim, 20 * S);
  assert_invariants_ (sim);
  assert_int_equal (counts->unanswered, 0);
  assert_int_equal (counts->rejected, 0);
  assert_int_equal (counts->resets, 0);
  assert_true (counts->answered > 10000);
  sim_delete (sim);
}

/* Balancers are restarted in turn, and each time nearly every flow moves to
   another balancer, which has to find its owner.  */
static void
flows_survive_a_rolling_restart_of_balancers_ (void **state)
{
  struct simulation *sim = start_with_load_ (2, 0.002);
  size_t i;

  (void)state;
  for (i = 0; i < 4; i++)
    {
      sim_stop_balancer (sim, i);
      sim_run (sim, 1800 * MS);
      sim_kill_balancer (sim, i);
      sim_run (sim, 300 * MS);
      sim_start_balancer (sim, i);
      sim_run (sim, S);
    }
  sim_set_load (sim, 0, 0);
  sim_run (sim, 10 * S);
  assert_invariants_ (sim);
  assert_int_equal (sim_get_counts (sim)->resets, 0);
  assert_int_equal (sim_get_counts (sim)->unanswered, 0);
  sim_delete (sim);
}

/* A restarted agent knows none of its backend server's flows; lookups must
   find them again.  */
static void
flows_survive_a_rolling_restart_of_agents_ (void **state)
{
  struct simulation *sim = start_with_load_ (3, 0.002);
  size_t i;

  (void)state;
  for (i = 0; i < 7; i++)
    {
      sim_stop_agent (sim, i);
      sim_run (sim, 400 * MS);
      sim_start_agent (sim, i);
      sim_run (sim, 1500 * MS);
    }
  sim_set_load (sim, 0, 0);
  sim_run (sim, 10 * S);
  assert_invariants_ (sim);
  assert_int_equal (sim_get_counts (sim)->resets, 0);
  sim_delete (sim);
}

/* All balancers and agents are killed while the backend servers keep their
   flows; no flow may be reset, and requests must be answered again soon.  */
static void
flows_survive_a_kill_of_all_processes_ (void **state)
{
  struct simulation *sim = start_with_load_ (4, 0);
  unsigned before;

  (void)state;
  kill_all_processes_ (sim, 4, 7);
  sim_run (sim, 700 * MS);
  start_all_processes_ (sim, 4, 7);
  before = sim_get_counts (sim)->answered;
  sim_run (sim, 3 * S);
  assert_invariants_ (sim);
  assert_int_equal (sim_get_counts (sim)->resets, 0);
  assert_true (sim_get_counts (sim)->answered > before + 1000);
  sim_delete (sim);
}

/* Load pattern: all processes are killed, and thousands of open flows send
   segments before any flow is known again.  Each lookup probed all backend
   servers; the copies cost more than the requests, and half of the lookups
   found no owner in time (rodaforte-sul-grown, trouble-3).  */
static void
lookups_probe_few_backends_ (void **state)
{
  struct simulation *sim = sim_new (14, 4, 24, 0.002);
  const struct sim_counts *counts = sim_get_counts (sim);
  unsigned before;

  (void)state;
  sim_start (sim);
  sim_set_load (sim, 100, 12 * S);
  sim_run (sim, 5 * S);
  kill_all_processes_ (sim, 4, 24);
  sim_run (sim, 700 * MS);
  start_all_processes_ (sim, 4, 24);
  before = counts->answered;
  sim_run (sim, 3 * S);
  assert_invariants_ (sim);
  assert_int_equal (counts->resets, 0);
  assert_true (counts->answered > before + 3500);
  assert_true (counts->misdelivered < 6 * 500);
  sim_delete (sim);
}

/* All machines lose power.  Callers must get resets for their lost flows
   within about a second, and new flows must be accepted.  */
static void
lost_flows_are_reset_soon_ (void **state)
{
  struct simulation *sim = start_with_load_ (5, 0);
  const struct sim_counts *counts = sim_get_counts (sim);
  unsigned opened;

  (void)state;
  power_off_machines_ (sim, 4, 7);
  sim_run (sim, 900 * MS);
  opened = counts->opened;
  power_on_machines_ (sim, 4, 7);
  sim_run (sim, 2 * S);
  assert_invariants_ (sim);
  assert_true (counts->opened > opened + 30);
  assert_true (counts->resets > 80);
  sim_run (sim, 8 * S);
  assert_true (counts->unanswered < 10);
  sim_delete (sim);
}

/* The same power failure with many flows, new ones and some loss of
   datagrams.  Lookups were limited by the rate of queries and ended at the
   first lost one, so most callers waited until their time limit
   (rodaforte-sul-grown, trouble-1).  Nine of ten callers must get a reset
   within 1 s, as the store lists the agents to wait for.  */
static void
many_lost_flows_are_reset_soon_ (void **state)
{
  struct simulation *sim = sim_new (13, 4, 24, 0.002);
  const struct sim_counts *counts = sim_get_counts (sim);
  unsigned lost;

  (void)state;
  sim_start (sim);
  sim_set_load (sim, 200, 12 * S);
  sim_run (sim, 5 * S);
  lost = counts->opened;
  power_off_machines_ (sim, 4, 24);
  sim_run (sim, 900 * MS);
  power_on_machines_ (sim, 4, 24);
  sim_run (sim, 1000 * MS);
  assert_invariants_ (sim);
  assert_true (counts->resets > lost * 9 / 10);
  sim_delete (sim);
}

/* A weight of zero removes a service from a route, but its open flows stay.
   If RGY_STREAM_ACCEPTED was lost, the lookup of such a flow queried only the
   agents of the new route, and the flow was reset (hollenbeck-lakes, mix, seed
   658227542158).  */
static void
flows_survive_a_change_of_weights_ (void **state)
{
  unsigned seed;
  unsigned step;

  (void)state;
  for (seed = 600; seed < 610; seed++)
    {
      struct simulation *sim = sim_new (seed, 4, 8, 0.05);

      sim_set_workshop (sim, 4);
      sim_set_weights (sim, 1, 1);
      sim_start (sim);
      sim_set_load (sim, 20, 8 * S);
      for (step = 0; step < 40; step++)
        {
          sim_set_weights (sim, 1, step % 2);
          sim_run (sim, 150 * MS);
        }
      assert_invariants_ (sim);
      assert_int_equal (sim_get_counts (sim)->resets, 0);
      sim_delete (sim);
    }
}

/* A restarted agent does not know its backend server's flows.  If the manifest
   removed its service from the route meanwhile, a balancer that had not cached
   such a flow treated it as lost and reset it (hollenbeck-lakes, trouble-3,
   seed 998787813029).  */
static void
restarted_agents_prevent_resets_ (void **state)
{
  struct simulation *sim = sim_new (12, 4, 8, 0);
  size_t i;

  (void)state;
  sim_set_workshop (sim, 4);
  sim_set_weights (sim, 1, 1);
  sim_start (sim);
  sim_set_load (sim, 20, 8 * S);
  sim_run (sim, 4 * S);
  sim_set_load (sim, 0, 0);
  sim_set_weights (sim, 1, 0);
  for (i = 0; i < 4; i++)
    sim_kill_balancer (sim, i);
  for (i = 4; i < 8; i++)
    {
      sim_kill_agent (sim, i);
      sim_start_agent (sim, i);
    }
  for (i = 0; i < 4; i++)
    sim_start_balancer (sim, i);
  sim_run (sim, 5 * S);
  assert_invariants_ (sim);
  assert_int_equal (sim_get_counts (sim)->resets, 0);
  sim_delete (sim);
}

/* After a kill of all processes no balancer knows that an earlier manifest
   sent the flow to a service that the route does not name now.  That service's
   agents were never probed, and callers waited until their time limits
   (hollenbeck-lakes, scale-1).  */
static void
flows_of_earlier_manifests_are_found_ (void **state)
{
  struct simulation *sim = sim_new (15, 4, 8, 0);
  const struct sim_counts *counts = sim_get_counts (sim);

  (void)state;
  sim_set_workshop (sim, 4);
  sim_set_weights (sim, 1, 1);
  sim_start (sim);
  sim_set_load (sim, 20, 12 * S);
  sim_run (sim, 4 * S);
  sim_set_load (sim, 0, 0);
  sim_set_weights (sim, 1, 0);
  kill_all_processes_ (sim, 4, 8);
  sim_run (sim, 500 * MS);
  start_all_processes_ (sim, 4, 8);
  sim_run (sim, 15 * S);
  assert_invariants_ (sim);
  assert_int_equal (counts->resets, 0);
  assert_int_equal (counts->unanswered, 0);
  sim_delete (sim);
}

/* If RGY_STREAM_ACCEPTED was lost, the timer offered the flow to another agent
   and replaced the cached agent, although the first one had reported the flow
   as open.  */
static void
lost_messages_do_not_move_flows_ (void **state)
{
  struct simulation *sim = start_with_load_ (7, 0.05);

  (void)state;
  sim_run (sim, 20 * S);
  sim_set_load (sim, 0, 0);
  sim_run (sim, 10 * S);
  assert_invariants_ (sim);
  assert_int_equal (sim_get_counts (sim)->resets, 0);
  sim_delete (sim);
}

/* New flows at a draining backend server would be lost when it ends.  */
static void
draining_backend_accepts_no_new_flows_ (void **state)
{
  struct simulation *sim = start_with_load_ (8, 0.002);
  unsigned before;

  (void)state;
  sim_drain_backend (sim, 2);
  sim_run (sim, 200 * MS);
  before = sim_get_accepted (sim, 2);
  sim_run (sim, 3 * S);
  assert_int_equal (sim_get_accepted (sim, 2), before);
  /* The drain must outlast a restart of the agent.  */
  sim_kill_agent (sim, 2);
  sim_run (sim, 200 * MS);
  sim_start_agent (sim, 2);
  sim_run (sim, 5 * S);
  assert_int_equal (sim_get_accepted (sim, 2), before);
  assert_invariants_ (sim);
  sim_delete (sim);
}

/* A failure domain out of service must get no new flows at once; its open
   flows stay.  */
static void
domain_out_gets_no_new_flows_ (void **state)
{
  struct simulation *sim = start_with_load_ (9, 0.002);
  unsigned before[7];
  size_t i;

  (void)state;
  sim_set_domain_out (sim, "poa-a");
  sim_run (sim, 200 * MS);
  for (i = 0; i < 7; i++)
    before[i] = sim_get_accepted (sim, i);
  sim_run (sim, 4 * S);
  for (i = 0; i < 7; i++)
    if (i % 2 == 0)
      assert_int_equal (sim_get_accepted (sim, i), before[i]);
    else
      assert_true (sim_get_accepted (sim, i) > before[i]);
  sim_set_domain_out (sim, NULL);
  sim_run (sim, 2 * S);
  assert_true (sim_get_accepted (sim, 0) > before[0]);
  assert_invariants_ (sim);
  sim_delete (sim);
}

/* Callers of a backend server that has deregistered and ended must get resets
   at once, those of an unresponsive one when it is declared ended.  */
static void
flows_of_lost_backends_are_reset_ (void **state)
{
  struct simulation *sim = start_with_load_ (10, 0);
  const struct sim_counts *counts = sim_get_counts (sim);
  unsigned resets;

  (void)state;
  sim_end_backend (sim, 1, false);
  sim_run (sim, 600 * MS);
  assert_true (counts->resets > 5);
  resets = counts->resets;
  sim_end_backend (sim, 3, true);
  sim_run (sim, 5 * S);
  assert_true (counts->resets > resets + 5);
  sim_start_backend (sim, 3);
  sim_run (sim, 2 * S);
  resets = counts->resets;
  sim_run (sim, 3 * S);
  assert_int_equal (counts->resets, resets);
  assert_invariants_ (sim);
  sim_delete (sim);
}

/* New flows must be reset at once, not at the callers' time limit, if all
   backend servers are draining.  */
static void
new_flows_are_reset_without_backends_ (void **state)
{
  struct simulation *sim = sim_new (11, 2, 2, 0);
  const struct sim_counts *counts = sim_get_counts (sim);

  (void)state;
  sim_start (sim);
  sim_drain_backend (sim, 0);
  sim_drain_backend (sim, 1);
  sim_run (sim, S);
  sim_set_load (sim, 10, S);
  sim_run (sim, 1500 * MS);
  assert_true (counts->rejected >= 14);
  sim_delete (sim);
}

/* Random faults, one after another and overlapping, must never break an
   invariant.  */
static void
random_faults_keep_the_invariants_ (void **state)
{
  unsigned seed;

  (void)state;
  for (seed = 100; seed < 130; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct simulation *sim = start_with_load_ (seed, seed % 3 * 0.01);
      unsigned step;

      for (step = 0; step < 12; step++)
        {
          size_t b = (size_t)g_rand_int_range (rand, 0, 4);
          size_t a = (size_t)g_rand_int_range (rand, 0, 7);

          switch (g_rand_int_range (rand, 0, 5))
            {
            case 0:
              sim_kill_balancer (sim, b);
              sim_run (sim, g_rand_int_range (rand, 1, 1500) * MS);
              sim_start_balancer (sim, b);
              break;
            case 1:
              sim_kill_agent (sim, a);
              sim_run (sim, g_rand_int_range (rand, 1, 1500) * MS);
              sim_start_agent (sim, a);
              break;
            case 2:
              sim_end_backend (sim, a, g_rand_boolean (rand));
              sim_run (sim, g_rand_int_range (rand, 1, 3000) * MS);
              sim_start_backend (sim, a);
              break;
            case 3:
              sim_stop_agent (sim, a);
              sim_kill_balancer (sim, b);
              sim_run (sim, g_rand_int_range (rand, 1, 1000) * MS);
              sim_start_balancer (sim, b);
              sim_run (sim, g_rand_int_range (rand, 1, 200) * MS);
              sim_start_agent (sim, a);
              break;
            default:
              sim_drain_backend (sim, a);
              sim_run (sim, g_rand_int_range (rand, 1, 2000) * MS);
              sim_end_backend (sim, a, false);
              sim_run (sim, 100 * MS);
              sim_start_backend (sim, a);
              break;
            }
          sim_run (sim, g_rand_int_range (rand, 1, 1500) * MS);
        }
      sim_run (sim, 3 * S);
      if (sim_get_counts (sim)->wrong_resets > 0)
        print_message ("seed %u: %u wrong resets\n", seed,
                       sim_get_counts (sim)->wrong_resets);
      assert_invariants_ (sim);
      sim_delete (sim);
      g_rand_free (rand);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (requests_are_answered_without_faults_),
    cmocka_unit_test (flows_survive_a_rolling_restart_of_balancers_),
    cmocka_unit_test (flows_survive_a_rolling_restart_of_agents_),
    cmocka_unit_test (flows_survive_a_kill_of_all_processes_),
    cmocka_unit_test (lookups_probe_few_backends_),
    cmocka_unit_test (lost_flows_are_reset_soon_),
    cmocka_unit_test (many_lost_flows_are_reset_soon_),
    cmocka_unit_test (flows_survive_a_change_of_weights_),
    cmocka_unit_test (restarted_agents_prevent_resets_),
    cmocka_unit_test (flows_of_earlier_manifests_are_found_),
    cmocka_unit_test (lost_messages_do_not_move_flows_),
    cmocka_unit_test (draining_backend_accepts_no_new_flows_),
    cmocka_unit_test (domain_out_gets_no_new_flows_),
    cmocka_unit_test (flows_of_lost_backends_are_reset_),
    cmocka_unit_test (new_flows_are_reset_without_backends_),
    cmocka_unit_test (random_faults_keep_the_invariants_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

/* More requests than all backend servers can do, on the cores and a virtual
   clock: balancers, agents and users with repetitions.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "private/stream_agent_private.h"
#include "simulation.h"

#define S RGY_US_PER_S
#define MS RGY_US_PER_MS
#define BALANCERS 6
#define AGENTS 12
#define DOMAINS 3
#define SLOTS 3
#define RUN_US (30 * MS)
#define GOAL_US (250 * MS)
#define LIMIT_US (2 * S)
/* Requests a second that all slots can serve.  */
#define CAPACITY ((double)AGENTS * SLOTS * S / RUN_US)

/* The linker's option --wrap defines the names.  */
/* NOLINTBEGIN(readability-identifier-naming) */
struct rgy_request_terms
__wrap_rgy_stream_agent_get_terms_ (struct rgy_stream_agent *agent,
                                    const struct rgy_segment *segment,
                                    int64_t now_us);
bool __wrap_rgy_stream_agent_balancer_has_feature_ (
    const struct rgy_stream_agent *agent, uint32_t ip, uint32_t feature,
    int64_t now_us);

/* Agents know the time limits of routes.  */
static bool limits_are_known = true;
/* One balancer in two is of an earlier version.  */
static bool has_old_balancers;

struct rgy_request_terms
__wrap_rgy_stream_agent_get_terms_ (struct rgy_stream_agent *agent,
                                    const struct rgy_segment *segment,
                                    int64_t now_us)
{
  (void)agent;
  (void)now_us;
  return (struct rgy_request_terms){ .priority = 1,
                                     .goal_us = segment->trail.goal_us,
                                     .limit_us
                                     = limits_are_known ? LIMIT_US : 0 };
}

bool
__wrap_rgy_stream_agent_balancer_has_feature_ (
    const struct rgy_stream_agent *agent, uint32_t ip, uint32_t feature,
    int64_t now_us)
{
  (void)agent;
  (void)now_us;
  return feature == RGY_STREAM_DECODES_LOAD
         && (!has_old_balancers || ip % 2 == 0);
}
/* NOLINTEND(readability-identifier-naming) */

static struct simulation *
start_ (uint64_t seed, double load, double fresh_share)
{
  const struct sim_load users = { .users = 1500,
                                  .requests_per_s = load * CAPACITY,
                                  .fresh_share = fresh_share,
                                  .retries = 2,
                                  .goal_us = GOAL_US,
                                  .limit_us = LIMIT_US,
                                  .slots = SLOTS,
                                  .queue = 8,
                                  .run_us = RUN_US,
                                  .cold_factor = 1 };
  struct simulation *sim = sim_new (seed, BALANCERS, AGENTS, 0.0005);

  sim_set_domains (sim, DOMAINS);
  sim_set_users (sim, &users);
  sim_allow_early_resets (sim);
  sim_start (sim);
  sim_begin_requests (sim);
  return sim;
}

/* Answers in time a second, as a part of the capacity, from the third second
   on.  */
static double
get_goodput_ (const struct simulation *sim)
{
  const struct sim_second *seconds;
  size_t n = sim_get_seconds (sim, &seconds);
  double in_time = 0;
  size_t i;

  for (i = 2; i < n; i++)
    in_time += seconds[i].in_time;
  return in_time / (double)(n - 2) / CAPACITY;
}

/* Users with flows of their own for each request, and users who keep their
   flows, ask for more than there is; refused ones try again.  */
static void
goodput_of_the_deployment_does_not_collapse_ (void **state)
{
  static const double loads[] = { 1, 1.5, 3 };
  static const double fresh_shares[] = { 1, .2 };
  size_t i;
  size_t j;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (fresh_shares); i++)
    {
      double reference = 0;

      for (j = 0; j < G_N_ELEMENTS (loads); j++)
        {
          struct simulation *sim = start_ (1, loads[j], fresh_shares[i]);
          double goodput;

          sim_run (sim, 6 * S);
          goodput = get_goodput_ (sim);
          print_message ("fresh %.1f load %.1f: in time %.3f of capacity\n",
                         fresh_shares[i], loads[j], goodput);
          if (j == 0)
            reference = goodput;
          assert_true (goodput >= .9 * reference);
          assert_int_equal (sim_get_counts (sim)->wrong_resets, 0);
          sim_delete (sim);
        }
    }
}

/* Machines die, stop and are cut off for 2 s while all agents refuse flows and
   drop requests.  Returns the simulation 4 s later.  */
static struct simulation *
play_faults_ (uint64_t seed)
{
  struct simulation *sim = start_ (seed, 2, .5);

  sim_run (sim, 2 * S);
  sim_kill_agent (sim, 0);
  sim_stop_agent (sim, 1);
  sim_kill_balancer (sim, 0);
  sim_run (sim, 300 * MS);
  sim_kill_agent (sim, 1);
  sim_start_agent (sim, 0);
  sim_start_agent (sim, 1);
  sim_start_balancer (sim, 0);
  sim_run (sim, 700 * MS);
  sim_end_backend (sim, 2, true);
  sim_cut_domains (sim, 0, 1, true);
  sim_run (sim, S);
  sim_start_backend (sim, 2);
  sim_cut_domains (sim, 0, 1, false);
  sim_run (sim, 4 * S);
  return sim;
}

/* No flow that its backend server holds may be reset, and the service is as
   before a few seconds after the faults.  */
static void
faults_while_shedding_reset_no_open_flow_ (void **state)
{
  uint64_t seed;

  (void)state;
  for (seed = 1; seed <= 2; seed++)
    {
      struct simulation *sim = play_faults_ (seed);
      const struct sim_second *seconds;
      size_t n = sim_get_seconds (sim, &seconds);

      print_message ("seed %d: in time %.3f of capacity in the last second\n",
                     (int)seed, seconds[n - 2].in_time / CAPACITY);
      assert_int_equal (sim_get_counts (sim)->wrong_resets, 0);
      assert_true (seconds[n - 2].in_time >= .85 * CAPACITY);
      sim_delete (sim);
    }
}

/* During a release one balancer in two is of an earlier version and knows
   neither the refusal nor the last offer.  */
static void
old_balancers_reset_no_open_flow_ (void **state)
{
  uint64_t seed;

  (void)state;
  has_old_balancers = true;
  for (seed = 1; seed <= 2; seed++)
    {
      struct simulation *sim = play_faults_ (seed);

      assert_int_equal (sim_get_counts (sim)->wrong_resets, 0);
      sim_delete (sim);
    }
  has_old_balancers = false;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (goodput_of_the_deployment_does_not_collapse_),
    cmocka_unit_test (faults_while_shedding_reset_no_open_flow_),
    cmocka_unit_test (old_balancers_reset_no_open_flow_),
  };

  return cmocka_run_group_tests_name ("stream_overload", tests, NULL, NULL);
}

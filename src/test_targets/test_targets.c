/* Measures the targets of section 1.2 of the design page in both deployments
   with several seeds.  Guards against broken sessions, uneven load, and late
   or lost configuration during planned changes and balancer deaths.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "deployment.h"

/* The targets themselves.  NEW_LIMIT is the limit in the contract whose
   distribution is measured.  */
#define STEADY_IMBALANCE 1.15
#define RETURN_IMBALANCE 1.3
#define SERVICE_PERCENT 99.0
#define DOMAIN_OUT_TARGET_US (3 * H_S)
#define CONTRACT_TARGET_US (6 * H_S)
#define NEW_LIMIT 700

#define DEFAULT_SEED 1
#define SEEDS 3
#define WATCHES 120
#define POSTERS 20
#define GETTERS 6
#define STEADY_SAMPLES 10
#define DOMAIN_OUT_US (20 * H_S)
#define DOMAIN_BACK_US (60 * H_S)
/* Time that a stopped process is down, and time after its restart.  */
#define DOWN_US (12 * H_S)
#define BACK_US (8 * H_S)
#define PERCENT 100.0

/* Results of one run; counts of instances and of broken sessions must be 0. */
struct figures_
{
  double steady_imbalance;
  double return_imbalance;
  double service_percent;
  uint64_t late_receivers;
  uint64_t without_contract;
  uint64_t broken_by_change;
  uint64_t broken_by_death;
  uint64_t broken_by_combination;
};

/* Each run measures all figures, and each test checks one figure of all runs.
   The first test starts the runs.  */
static struct figures_ figures_[DEPLOYMENT_COUNT][SEEDS];
static bool measured_;
static uint64_t first_seed_ = DEFAULT_SEED;

/* Sessions that had to register again or got no update for over 5 s.  */
static uint64_t
count_broken_sessions_ (struct deployment *d)
{
  struct harness_totals t = harness_get_totals (d->h);

  return t.sum[CALLER_WATCH].registrations + t.sum[CALLER_WATCH].stale;
}

/* Three agents and a balancer drain and return, one after the other.  */
static void
measure_planned_change_ (struct deployment *d, struct figures_ *f)
{
  uint64_t before = count_broken_sessions_ (d);
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i += 3)
    {
      harness_drain (d->h, d->desk_agents[i]);
      deployment_run (d, DOWN_US);
      harness_restart (d->h, d->desk_agents[i], true);
      deployment_run (d, BACK_US);
    }
  harness_drain (d->h, d->balancers[1]);
  deployment_run (d, DOWN_US);
  harness_restart (d->h, d->balancers[1], false);
  deployment_run (d, BACK_US);
  f->broken_by_change = count_broken_sessions_ (d) - before;
}

/* Each balancer is killed and restarted, one after the other.  */
static void
measure_balancer_deaths_ (struct deployment *d, struct figures_ *f)
{
  uint64_t before = count_broken_sessions_ (d);
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DOMAINS; i++)
    {
      harness_kill (d->h, d->balancers[i]);
      deployment_run (d, DOWN_US);
      harness_restart (d->h, d->balancers[i], false);
      deployment_run (d, BACK_US);
    }
  f->broken_by_death = count_broken_sessions_ (d) - before;
}

/* Two agents and a balancer drain, and another balancer is killed, within
   one second.  */
static void
measure_combined_change_ (struct deployment *d, struct figures_ *f)
{
  uint64_t before = count_broken_sessions_ (d);
  struct node *nodes[] = { d->desk_agents[1], d->desk_agents[5],
                           d->balancers[2], d->balancers[0] };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (nodes); i++)
    {
      if (i + 1 < G_N_ELEMENTS (nodes))
        harness_drain (d->h, nodes[i]);
      else
        harness_kill (d->h, nodes[i]);
      deployment_run (d, H_S / 4);
    }
  deployment_run (d, DOWN_US);
  for (i = 0; i < G_N_ELEMENTS (nodes); i++)
    harness_restart (d->h, nodes[i], nodes[i]->kind == NODE_AGENT);
  deployment_run (d, DOWN_US);
  f->broken_by_combination = count_broken_sessions_ (d) - before;
}

/* Requests that have ended.  Requests that are outstanding when the change
   starts are left out here, and are counted in the change.  */
static uint64_t
count_ended_ (const struct caller_stats *s)
{
  return s->in_time + s->late + s->refused + s->unknown_outcomes;
}

/* A failure domain is taken out under load and comes back.  */
static void
measure_domain_change_ (struct deployment *d, unsigned domain,
                        struct figures_ *f)
{
  struct harness_totals before = harness_get_totals (d->h);
  struct harness_totals after;
  int64_t limit_us = harness_now_us (d->h) + DOMAIN_OUT_TARGET_US;
  uint64_t sent = 0;
  uint64_t served = 0;
  int caller_kind;

  harness_order_domain (d->h, domain, true);
  deployment_run (d, DOMAIN_OUT_US);
  f->late_receivers = deployment_count_receivers (d, domain, limit_us);
  harness_order_domain (d->h, domain, false);
  deployment_run (d, DOMAIN_BACK_US);
  f->return_imbalance = deployment_get_imbalance (d);
  deployment_finish_load (d);
  after = harness_get_totals (d->h);
  for (caller_kind = CALLER_POST; caller_kind <= CALLER_GET; caller_kind++)
    {
      sent += after.sum[caller_kind].requests
              - count_ended_ (&before.sum[caller_kind]);
      served
          += after.sum[caller_kind].in_time - before.sum[caller_kind].in_time;
    }
  f->service_percent = PERCENT * (double)served / (double)sent;
}

/* Measures a run with the seed FIRST_SEED_ + NUMBER; the failure domain that
   is taken out depends on NUMBER.  */
static void
measure_run_ (enum deployment_kind kind, unsigned number, struct figures_ *f)
{
  const struct deployment_load load = { .watches = WATCHES,
                                        .posters = POSTERS,
                                        .getters = GETTERS,
                                        .interval_us = H_S };
  const struct harness_settings settings = { .seed = first_seed_ + number };
  struct deployment *d = deployment_new (kind, &settings);
  unsigned i;

  deployment_add_load (d, &load);
  for (i = 0; i < STEADY_SAMPLES; i++)
    {
      deployment_run (d, H_S);
      f->steady_imbalance
          = MAX (f->steady_imbalance, deployment_get_imbalance (d));
    }
  deployment_put_limit (d, NEW_LIMIT);
  deployment_run (d, CONTRACT_TARGET_US);
  f->without_contract = deployment_count_without_limit (d, NEW_LIMIT);
  measure_planned_change_ (d, f);
  measure_balancer_deaths_ (d, f);
  measure_combined_change_ (d, f);
  measure_domain_change_ (d, number % DEPLOYMENT_DOMAINS, f);
  print_message (
      "  %s, seed %" G_GUINT64_FORMAT
      ": imbalance %.3f steady, %.3f after return; service %.2f%%; "
      "instances %" G_GUINT64_FORMAT " with late datagrams, %" G_GUINT64_FORMAT
      " without the contract; broken sessions %" G_GUINT64_FORMAT
      " by planned change, %" G_GUINT64_FORMAT
      " by balancer death, %" G_GUINT64_FORMAT " by combined change\n",
      deployment_string[kind], settings.seed, f->steady_imbalance,
      f->return_imbalance, f->service_percent, f->late_receivers,
      f->without_contract, f->broken_by_change, f->broken_by_death,
      f->broken_by_combination);
  deployment_delete (d);
}

static void
measure_all_runs_ (void)
{
  enum deployment_kind kind;
  unsigned i;

  if (measured_)
    return;
  measured_ = true;
  for (kind = DEPLOYMENT_SUL; kind < DEPLOYMENT_COUNT; kind++)
    for (i = 0; i < SEEDS; i++)
      measure_run_ (kind, i, &figures_[kind][i]);
}

/* Loops over the results of all runs, which the first use measures.  */
#define FOR_EACH_RUN(f)                                                       \
  measure_all_runs_ ();                                                       \
  for (const struct figures_ *f = figures_[0];                                \
       f < figures_[0] + DEPLOYMENT_COUNT * SEEDS; f++)

static void
test_imbalance_is_bounded_in_steady_state (void **state)
{
  (void)state;
  FOR_EACH_RUN (f)
  {
    assert_true (f->steady_imbalance > 0);
    assert_true (f->steady_imbalance <= STEADY_IMBALANCE);
  }
}

static void
test_imbalance_is_bounded_after_return (void **state)
{
  (void)state;
  FOR_EACH_RUN (f)
  {
    assert_true (f->return_imbalance > 0);
    assert_true (f->return_imbalance <= RETURN_IMBALANCE);
  }
}

static void
test_requests_are_answered_during_domain_change (void **state)
{
  (void)state;
  FOR_EACH_RUN (f) { assert_true (f->service_percent >= SERVICE_PERCENT); }
}

static void
test_domain_out_gets_no_late_datagrams (void **state)
{
  (void)state;
  FOR_EACH_RUN (f) { assert_int_equal (f->late_receivers, 0); }
}

static void
test_contract_is_active_within_target (void **state)
{
  (void)state;
  FOR_EACH_RUN (f) { assert_int_equal (f->without_contract, 0); }
}

static void
test_planned_change_breaks_no_session (void **state)
{
  (void)state;
  FOR_EACH_RUN (f) { assert_int_equal (f->broken_by_change, 0); }
}

static void
test_balancer_death_breaks_no_session (void **state)
{
  (void)state;
  FOR_EACH_RUN (f) { assert_int_equal (f->broken_by_death, 0); }
}

static void
test_combined_change_breaks_no_session (void **state)
{
  (void)state;
  FOR_EACH_RUN (f) { assert_int_equal (f->broken_by_combination, 0); }
}

/* Usage: test_targets [SEED].  */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_imbalance_is_bounded_in_steady_state),
    cmocka_unit_test (test_imbalance_is_bounded_after_return),
    cmocka_unit_test (test_requests_are_answered_during_domain_change),
    cmocka_unit_test (test_domain_out_gets_no_late_datagrams),
    cmocka_unit_test (test_contract_is_active_within_target),
    cmocka_unit_test (test_planned_change_breaks_no_session),
    cmocka_unit_test (test_balancer_death_breaks_no_session),
    cmocka_unit_test (test_combined_change_breaks_no_session),
  };

  if (argc > 1)
    first_seed_ = g_ascii_strtoull (argv[1], NULL, 10);
  return cmocka_run_group_tests (tests, NULL, NULL);
}

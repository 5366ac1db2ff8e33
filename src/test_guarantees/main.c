/* Tests the guarantees of section 1.2 of the design; the number in the name of
   a test is the number of its guarantee.  Each test guards against the
   violation that appears when the mechanism behind the guarantee is switched
   off, and fails too when its scenario cannot show this violation.  */

#include "scenarios.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#define DEFAULT_SEED 1

uint64_t scenario_seed = DEFAULT_SEED;

struct deployment *
scenario_start (enum deployment_kind kind,
                const struct harness_settings *settings)
{
  const struct deployment_load load = { .watches = SCENARIO_WATCHES,
                                        .posters = SCENARIO_POSTERS,
                                        .getters = SCENARIO_GETTERS,
                                        .interval_us = H_S };
  struct deployment *d = deployment_new (kind, settings);

  deployment_add_load (d, &load);
  return d;
}

/* With RGY_TRACE set, the runs of the product are traced to standard error. */
static struct harness_settings
get_product_settings_ (void)
{
  return (struct harness_settings){
    .seed = scenario_seed,
    .trace = getenv ("RGY_TRACE") != NULL ? stderr : NULL,
  };
}

typedef uint64_t (*scenario_fn) (enum deployment_kind kind,
                                 const struct harness_settings *settings);

static void
check_violations_ (const char *guarantee, enum deployment_kind kind,
                   uint64_t without_mechanism, uint64_t with_mechanism)
{
  print_message ("  %s, %s, seed %" G_GUINT64_FORMAT
                 ": violations %" G_GUINT64_FORMAT
                 " without the mechanism, %" G_GUINT64_FORMAT " with it\n",
                 guarantee, deployment_string[kind], scenario_seed,
                 without_mechanism, with_mechanism);
  assert_true (without_mechanism > 0);
  assert_int_equal (with_mechanism, 0);
}

/* The scenario must show violations with the settings that switch the
   mechanism off, and none with the product as it is.  */
static void
check_guarantee_ (const char *guarantee, scenario_fn scenario,
                  const struct harness_settings *without_mechanism)
{
  struct harness_settings without = *without_mechanism;
  const struct harness_settings product = get_product_settings_ ();
  enum deployment_kind kind;

  without.seed = scenario_seed;
  for (kind = DEPLOYMENT_SUL; kind < DEPLOYMENT_COUNT; kind++)
    check_violations_ (guarantee, kind, scenario (kind, &without),
                       scenario (kind, &product));
}

static void
test_1_session_survives_planned_change (void **state)
{
  (void)state;
  check_guarantee_ ("1", scenario_planned_changes,
                    &(struct harness_settings){ .modulo_steering = true,
                                                .without_lookup = true,
                                                .without_handover = true });
}

static void
test_2_packet_reaches_only_its_service (void **state)
{
  (void)state;
  check_guarantee_ (
      "2", scenario_reused_address,
      &(struct harness_settings){ .without_service_check = true });
}

static void
test_3_cold_backend_server_is_not_overloaded (void **state)
{
  (void)state;
  check_guarantee_ ("3", scenario_cold_start,
                    &(struct harness_settings){ .without_cold_start = true });
}

static void
test_4_domain_out_gets_no_packets (void **state)
{
  (void)state;
  check_guarantee_ (
      "4", scenario_domain_out,
      &(struct harness_settings){ .without_domain_orders = true });
}

static void
test_5_answer_belongs_to_request (void **state)
{
  (void)state;
  check_guarantee_ (
      "5", scenario_late_answers,
      &(struct harness_settings){ .without_answer_matching = true });
}

static void
test_6_not_run_is_true (void **state)
{
  (void)state;
  check_guarantee_ (
      "6", scenario_lost_answers,
      &(struct harness_settings){ .without_outcome_unknown = true });
}

static void
test_7_record_runs_at_most_once (void **state)
{
  (void)state;
  check_guarantee_ ("7", scenario_agent_deaths,
                    &(struct harness_settings){ .without_echo = true });
}

static void
test_8_leaving_backend_server_gets_no_work (void **state)
{
  (void)state;
  check_guarantee_ (
      "8", scenario_drain,
      &(struct harness_settings){ .without_drain_announcement = true });
}

/* Here, the run without the mechanism kills the processes that drain in the
   other run.  */
static void
test_9_planned_stop_interrupts_nothing (void **state)
{
  const struct harness_settings product = get_product_settings_ ();
  enum deployment_kind kind;

  (void)state;
  for (kind = DEPLOYMENT_SUL; kind < DEPLOYMENT_COUNT; kind++)
    check_violations_ ("9", kind, scenario_planned_stop (kind, &product, true),
                       scenario_planned_stop (kind, &product, false));
}

static void
test_10_contract_never_reverts (void **state)
{
  (void)state;
  check_guarantee_ (
      "10", scenario_store_restore,
      &(struct harness_settings){ .without_version_check = true });
}

static void
test_requests_in_flight_stay_within_limit (void **state)
{
  (void)state;
  check_guarantee_ (
      "limit", scenario_fleet_limit,
      &(struct harness_settings){ .without_contract_limits = true });
}

/* Usage: test_guarantees [SEED [PATTERN]].  */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_1_session_survives_planned_change),
    cmocka_unit_test (test_2_packet_reaches_only_its_service),
    cmocka_unit_test (test_3_cold_backend_server_is_not_overloaded),
    cmocka_unit_test (test_4_domain_out_gets_no_packets),
    cmocka_unit_test (test_5_answer_belongs_to_request),
    cmocka_unit_test (test_6_not_run_is_true),
    cmocka_unit_test (test_7_record_runs_at_most_once),
    cmocka_unit_test (test_8_leaving_backend_server_gets_no_work),
    cmocka_unit_test (test_9_planned_stop_interrupts_nothing),
    cmocka_unit_test (test_10_contract_never_reverts),
    cmocka_unit_test (test_requests_in_flight_stay_within_limit),
  };

  if (argc > 1)
    scenario_seed = g_ascii_strtoull (argv[1], NULL, 10);
  if (argc > 2)
    cmocka_set_test_filter (argv[2]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}

#include "proofs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#define DEFAULT_SEED 1

uint64_t proof_seed = DEFAULT_SEED;

struct deployment *
proof_start (enum deployment_kind kind,
             const struct harness_settings *settings)
{
  const struct deployment_load load = { .watches = PROOF_WATCHES,
                                        .posters = PROOF_POSTERS,
                                        .getters = PROOF_GETTERS,
                                        .interval_us = H_S };
  struct deployment *d = deployment_new (kind, settings);

  deployment_add_load (d, &load);
  return d;
}

/* With RGY_TRACE set, the runs of the product are traced.  */
static struct harness_settings
product_ (void)
{
  return (struct harness_settings){
    .seed = proof_seed,
    .trace = getenv ("RGY_TRACE") != NULL ? stderr : NULL,
  };
}

typedef uint64_t (*scenario_fn) (enum deployment_kind kind,
                                 const struct harness_settings *settings);

static void
check_ (const char *point, enum deployment_kind kind, uint64_t off,
        uint64_t on)
{
  print_message ("  %s, %s, seed %" G_GUINT64_FORMAT
                 ": violations %" G_GUINT64_FORMAT
                 " without the mechanism, %" G_GUINT64_FORMAT " with it\n",
                 point, deployment_string[kind], proof_seed, off, on);
  assert_true (off > 0);
  assert_int_equal (on, 0);
}

/* The scenario must show violations in @p off and none in the product.  */
static void
prove_ (const char *point, scenario_fn scenario,
        const struct harness_settings *off)
{
  struct harness_settings without = *off;
  const struct harness_settings product = product_ ();
  enum deployment_kind kind;

  without.seed = proof_seed;
  for (kind = DEPLOYMENT_SUL; kind < DEPLOYMENT_COUNT; kind++)
    check_ (point, kind, scenario (kind, &without), scenario (kind, &product));
}

static void
test_1_session_survives_planned_change (void **state)
{
  (void)state;
  prove_ ("1", proof_sessions,
          &(struct harness_settings){ .modulo_steering = true,
                                      .without_lookup = true,
                                      .without_handover = true });
}

static void
test_2_packet_reaches_only_its_service (void **state)
{
  (void)state;
  prove_ ("2", proof_services,
          &(struct harness_settings){ .without_service_check = true });
}

static void
test_3_cold_backend_server_is_not_overloaded (void **state)
{
  (void)state;
  prove_ ("3", proof_cold_start,
          &(struct harness_settings){ .without_cold_start = true });
}

static void
test_4_domain_out_gets_no_packets (void **state)
{
  (void)state;
  prove_ ("4", proof_domain_out,
          &(struct harness_settings){ .without_domain_orders = true });
}

static void
test_5_answer_belongs_to_request (void **state)
{
  (void)state;
  prove_ ("5", proof_answers,
          &(struct harness_settings){ .without_answer_matching = true });
}

static void
test_6_not_run_is_true (void **state)
{
  (void)state;
  prove_ ("6", proof_refusals,
          &(struct harness_settings){ .without_outcome_unknown = true });
}

static void
test_7_record_runs_at_most_once (void **state)
{
  (void)state;
  prove_ ("7", proof_at_most_once,
          &(struct harness_settings){ .without_echo = true });
}

static void
test_8_leaving_backend_server_gets_no_work (void **state)
{
  (void)state;
  prove_ ("8", proof_drain,
          &(struct harness_settings){ .without_drain_announcement = true });
}

static void
test_9_planned_stop_interrupts_nothing (void **state)
{
  const struct harness_settings product = product_ ();
  enum deployment_kind kind;

  (void)state;
  for (kind = DEPLOYMENT_SUL; kind < DEPLOYMENT_COUNT; kind++)
    check_ ("9", kind, proof_planned_stop (kind, &product, true),
            proof_planned_stop (kind, &product, false));
}

static void
test_10_contract_never_reverts (void **state)
{
  (void)state;
  prove_ ("10", proof_contract,
          &(struct harness_settings){ .without_version_check = true });
}

static void
test_requests_in_flight_stay_within_limit (void **state)
{
  (void)state;
  prove_ ("limit", proof_fleet_limit,
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
    proof_seed = g_ascii_strtoull (argv[1], NULL, 10);
  if (argc > 2)
    cmocka_set_test_filter (argv[2]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}

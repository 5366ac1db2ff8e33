#include "fixture.h"
#include "tests.h"

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (post_runs_once_despite_duplicates),
    cmocka_unit_test (
        post_with_an_echo_of_an_earlier_epoch_is_outcome_unknown),
    cmocka_unit_test (echo_of_another_flow_is_rejected),
    cmocka_unit_test (post_runs_once_across_a_handover),
    cmocka_unit_test (failed_handover_makes_old_echoes_invalid),
    cmocka_unit_test (reopened_flow_does_not_accept_old_echoes),
    cmocka_unit_test (epoch_with_missing_records_is_not_exported),
    cmocka_unit_test (newest_echo_is_accepted_after_a_handover),
    cmocka_unit_test (echo_of_the_backend_server_is_removed),
    cmocka_unit_test (refused_request_does_not_run_later),
    cmocka_unit_test (answer_to_a_put_is_replayed_when_the_queue_is_full),
    cmocka_unit_test (
        deadline_is_not_run_before_and_outcome_unknown_after_delivery),
    cmocka_unit_test (late_answer_is_not_given_to_another_request),
    cmocka_unit_test (answer_on_another_flow_is_dropped),
    cmocka_unit_test (separate_answer_keeps_the_slot),
    cmocka_unit_test (cancellation_frees_the_slot),
    cmocka_unit_test (
        requests_above_the_contract_or_in_a_domain_out_are_not_run),
    cmocka_unit_test (refused_socket_is_outcome_unknown),
    cmocka_unit_test (retry_budget_bounds_retries),
    cmocka_unit_test (record_expires_after_the_exchange_lifetime),
    cmocka_unit_test (notifications_are_forwarded_without_a_slot),
    cmocka_unit_test (observe_sequence_increases_across_handovers),
    cmocka_unit_test (observation_is_registered_until_it_succeeds),
    cmocka_unit_test (acknowledgement_crossing_a_notification_counts),
    cmocka_unit_test (end_of_an_observation_reaches_the_backend_server),
    cmocka_unit_test (observations_of_a_flow_are_bounded),
    cmocka_unit_test (failed_registration_leaves_no_observation),
    cmocka_unit_test (random_event_orders_keep_the_guarantees),
    cmocka_unit_test (random_datagrams_are_handled_within_bounds),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

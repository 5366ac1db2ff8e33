#ifndef TESTS_H
#define TESTS_H

void post_runs_once_despite_duplicates (void **state);
void post_with_an_echo_of_an_earlier_epoch_is_outcome_unknown (void **state);
void echo_of_another_flow_is_rejected (void **state);
void post_runs_once_across_a_handover (void **state);
void failed_handover_makes_old_echoes_invalid (void **state);
void reopened_flow_does_not_accept_old_echoes (void **state);
void epoch_with_missing_records_is_not_exported (void **state);
void newest_echo_is_accepted_after_a_handover (void **state);
void echo_of_the_backend_server_is_removed (void **state);
void refused_request_does_not_run_later (void **state);
void answer_to_a_put_is_replayed_when_the_queue_is_full (void **state);
void
deadline_is_not_run_before_and_outcome_unknown_after_delivery (void **state);
void late_answer_is_not_given_to_another_request (void **state);
void answer_on_another_flow_is_dropped (void **state);
void separate_answer_keeps_the_slot (void **state);
void cancellation_frees_the_slot (void **state);
void requests_above_the_contract_or_in_a_domain_out_are_not_run (void **state);
void refused_socket_is_outcome_unknown (void **state);
void retry_budget_bounds_retries (void **state);
void record_expires_after_the_exchange_lifetime (void **state);

void notifications_are_forwarded_without_a_slot (void **state);
void observe_sequence_increases_across_handovers (void **state);
void observation_is_registered_until_it_succeeds (void **state);
void acknowledgement_crossing_a_notification_counts (void **state);
void end_of_an_observation_reaches_the_backend_server (void **state);
void observations_of_a_flow_are_bounded (void **state);
void failed_registration_leaves_no_observation (void **state);

void random_event_orders_keep_the_guarantees (void **state);
void random_datagrams_are_handled_within_bounds (void **state);

#endif

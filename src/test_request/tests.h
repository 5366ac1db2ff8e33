#ifndef TESTS_H
#define TESTS_H

void post_runs_once_despite_duplicates (void **state);
void post_with_an_echo_of_an_earlier_epoch_is_unknown (void **state);
void echo_of_another_flow_is_rejected (void **state);
void post_runs_once_across_a_handover (void **state);
void failed_handover_makes_old_echoes_invalid (void **state);
void reopened_flow_does_not_accept_old_echoes (void **state);
void epoch_with_missing_records_does_not_move (void **state);
void newest_echo_is_accepted_after_a_handover (void **state);
void echo_of_the_backend_server_is_removed (void **state);
void refused_request_does_not_run_later (void **state);
void put_is_replayed_not_refused (void **state);
void deadline_before_and_after_delivery (void **state);
void late_answer_is_not_given_to_another_request (void **state);
void answer_on_another_flow_is_dropped (void **state);
void separate_answer_keeps_the_slot (void **state);
void cancellation_frees_the_slot (void **state);
void contract_limit_and_out_are_not_run (void **state);
void refused_socket_is_outcome_unknown (void **state);
void retry_budget_bounds_retries (void **state);
void record_expires_after_the_exchange_lifetime (void **state);

void notifications_pass_through (void **state);
void observe_sequence_increases_across_handovers (void **state);
void observation_is_registered_until_it_succeeds (void **state);
void acknowledgement_crossing_a_notification_counts (void **state);
void end_of_an_observation_reaches_the_backend_server (void **state);
void observations_of_a_flow_are_bounded (void **state);
void failed_registration_leaves_no_observation (void **state);

void random_interleavings_keep_the_guarantees (void **state);
void random_datagrams_do_no_harm (void **state);

#endif

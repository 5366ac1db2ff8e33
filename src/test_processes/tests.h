#ifndef TEST_PROCESSES_TESTS_H
#define TEST_PROCESSES_TESTS_H

/** @file
    Tests of real processes.  */

/* Stops, crashes and pauses of instances.  */
void planned_agent_stop_interrupts_nothing (void **state);
void killed_balancer_breaks_no_session (void **state);
void killed_agent_yields_unknown_outcome (void **state);
void paused_agent_serves_again_after_being_declared_dead (void **state);

/* Faults of the key-value service.  */
void balancer_starts_without_store (void **state);
void store_outage_rejects_contracts_and_accepts_orders (void **state);
void unresponsive_watch_is_replaced (void **state);
void older_store_contents_are_rejected (void **state);

/* Orders and contracts of operators.  */
void failure_domain_leaves_service_and_returns (void **state);
void concurrent_contract_updates_lose_nothing (void **state);

/* Invalid datagrams, connections and settings.  */
void unauthenticated_input_changes_nothing (void **state);
void invalid_daemon_settings_are_named (void **state);
void invalid_ctl_settings_are_named (void **state);

#endif

#ifndef TEST_PROCESSES_TESTS_H
#define TEST_PROCESSES_TESTS_H

/* Cases of the test program.  */

/* Stops, crashes and pauses of instances.  */
void planned_stop_cuts_nothing (void **state);
void killed_balancer_breaks_nothing (void **state);
void killed_agent_leaves_outcome_unknown (void **state);
void paused_agent_refutes_its_death (void **state);

/* Faults of the key-value service.  */
void balancer_starts_without_store (void **state);
void outage_refuses_contracts_and_takes_orders (void **state);
void silent_watch_is_replaced (void **state);
void older_contents_are_refused (void **state);

/* Operators.  */
void failure_domain_goes_out_and_returns (void **state);
void racing_operators_lose_nothing (void **state);

/* Bad input.  */
void bad_datagrams_change_nothing (void **state);
void bad_daemon_settings_are_named (void **state);
void bad_ctl_settings_are_named (void **state);

#endif

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "process.h"
#include "tests.h"

/* Kills all processes, so that a failed test leaves none running.  */
static int
delete_processes_ (void **state)
{
  (void)state;
  process_delete_all ();
  return 0;
}

/* The argument, if there is one, selects the tests to run by name; "*" matches
   any text.  */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (planned_agent_stop_interrupts_nothing,
                               delete_processes_),
    cmocka_unit_test_teardown (killed_balancer_breaks_no_session,
                               delete_processes_),
    cmocka_unit_test_teardown (killed_agent_yields_unknown_outcome,
                               delete_processes_),
    cmocka_unit_test_teardown (
        paused_agent_serves_again_after_being_declared_dead,
        delete_processes_),
    cmocka_unit_test_teardown (balancer_starts_without_store,
                               delete_processes_),
    cmocka_unit_test_teardown (
        store_outage_rejects_contracts_and_accepts_orders, delete_processes_),
    cmocka_unit_test_teardown (unresponsive_watch_is_replaced,
                               delete_processes_),
    cmocka_unit_test_teardown (older_store_contents_are_rejected,
                               delete_processes_),
    cmocka_unit_test_teardown (failure_domain_leaves_service_and_returns,
                               delete_processes_),
    cmocka_unit_test_teardown (concurrent_contract_updates_lose_nothing,
                               delete_processes_),
    cmocka_unit_test_teardown (unauthenticated_input_changes_nothing,
                               delete_processes_),
    cmocka_unit_test_teardown (invalid_daemon_settings_are_named,
                               delete_processes_),
    cmocka_unit_test_teardown (invalid_ctl_settings_are_named,
                               delete_processes_),
  };
  int failed;

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  failed = cmocka_run_group_tests (tests, NULL, NULL);
  curl_global_cleanup ();
  return failed;
}

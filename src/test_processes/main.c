#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "process.h"
#include "tests.h"

/* A failed case must leave no process behind.  */
static int
teardown_ (void **state)
{
  (void)state;
  process_delete_all ();
  return 0;
}

/* An argument, with "*" as a wild card, chooses the cases to run.  */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (planned_stop_cuts_nothing, teardown_),
    cmocka_unit_test_teardown (killed_balancer_breaks_nothing, teardown_),
    cmocka_unit_test_teardown (killed_agent_leaves_outcome_unknown, teardown_),
    cmocka_unit_test_teardown (paused_agent_refutes_its_death, teardown_),
    cmocka_unit_test_teardown (balancer_starts_without_store, teardown_),
    cmocka_unit_test_teardown (outage_refuses_contracts_and_takes_orders,
                               teardown_),
    cmocka_unit_test_teardown (silent_watch_is_replaced, teardown_),
    cmocka_unit_test_teardown (older_contents_are_refused, teardown_),
    cmocka_unit_test_teardown (failure_domain_goes_out_and_returns, teardown_),
    cmocka_unit_test_teardown (racing_operators_lose_nothing, teardown_),
    cmocka_unit_test_teardown (bad_datagrams_change_nothing, teardown_),
    cmocka_unit_test_teardown (bad_daemon_settings_are_named, teardown_),
    cmocka_unit_test_teardown (bad_ctl_settings_are_named, teardown_),
  };
  int failed;

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  failed = cmocka_run_group_tests (tests, NULL, NULL);
  curl_global_cleanup ();
  return failed;
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "deployment.h"

#define WATCHES 20

static size_t
count_flows_ (const struct deployment *d)
{
  size_t n = 0;
  size_t i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    n += rgy_agent_get_flow_count (d->desk_agents[i]->agent);
  return n;
}

static struct deployment *
start_deployment_ (void)
{
  const struct deployment_load load = { .watches = WATCHES };
  const struct harness_settings settings = { .seed = 5 };
  struct deployment *d = deployment_new (DEPLOYMENT_SUL, &settings);

  deployment_add_load (d, &load);
  assert_int_equal (count_flows_ (d), WATCHES);
  return d;
}

static uint64_t
count_notifications_ (struct deployment *d)
{
  return harness_get_totals (d->h).sum[CALLER_WATCH].notifications;
}

/* Guards against an established session that continues when the contract no
   longer allows its caller: the balancers drop the caller's packets, but the
   agent would notify it for as long as the session lasts.  */
static void
flows_of_disallowed_callers_are_closed_ (void **state)
{
  struct deployment *d = start_deployment_ ();
  char *contract = deployment_make_contract (d, 1000);
  char *prefix = strstr (contract, "127.100.0.0/16");
  uint64_t before;

  (void)state;
  assert_non_null (prefix);
  memcpy (prefix, "127.200.0.0/16", strlen ("127.200.0.0/16"));
  harness_put_contract (d->h, contract);
  deployment_run (d, 6 * H_S);
  assert_int_equal (count_flows_ (d), 0);
  before = count_notifications_ (d);
  deployment_run (d, 5 * H_S);
  assert_int_equal (count_notifications_ (d), before);
  g_free (contract);
  deployment_delete (d);
}

/* Guards against a lower limit, which is a planned change, that breaks
   established sessions.  */
static void
lower_limit_keeps_sessions_ (void **state)
{
  struct deployment *d = start_deployment_ ();
  char *contract = deployment_make_contract (d, 5);
  struct harness_totals totals;

  (void)state;
  harness_put_contract (d->h, contract);
  deployment_run (d, 20 * H_S);
  totals = harness_get_totals (d->h);
  assert_int_equal (count_flows_ (d), WATCHES);
  assert_int_equal (totals.sum[CALLER_WATCH].registrations, WATCHES);
  assert_int_equal (totals.sum[CALLER_WATCH].stale, 0);
  g_free (contract);
  deployment_delete (d);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flows_of_disallowed_callers_are_closed_),
    cmocka_unit_test (lower_limit_keeps_sessions_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

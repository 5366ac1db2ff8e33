#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "cluster.h"
#include "tests.h"

#define CTL_EXIT_UNAVAILABLE 3
#define NEXT_LIMIT 60000000
#define LATER_LIMIT 70000000

/* Guards against a balancer that needs the store to start: replacements must
   join during an outage.  */
void
balancer_starts_without_store (void **state)
{
  struct cluster *c = cluster_new_partial (2, 1, 2, "");

  (void)state;
  cluster_set_faults (c, "{\"down\":true}");
  cluster_start_balancer (c, 1);
  cluster_await_balancer (c, 1);
  assert_int_equal (cluster_revision (c, 1), cluster_revision (c, 0));
  assert_true (cluster_revision (c, 1) > 0);
  cluster_await_state (c, 1, 0, "ready");
  cluster_await_state (c, 1, 1, "ready");
  /* Only the new balancer is left to carry traffic.  */
  process_signal (c->balancers[0], SIGKILL);
  assert_int_equal (process_await_exit (c->balancers[0]), -SIGKILL);
  cluster_post (c, "post", 8);
  cluster_delete (c);
}

static bool
order_is_stored_ (void *ctx)
{
  char *orders = cluster_ctl_read (ctx, "domain list --json");
  bool stored = strstr (orders, "dom-b") != NULL;

  g_free (orders);
  return stored;
}

/* Guards against an outage of the store that stops traffic or failure domain
   orders, half-writes a contract, or forgets an order.  */
void
outage_refuses_contracts_and_takes_orders (void **state)
{
  struct cluster *c = cluster_new (2, 2, "");
  json_int_t revision = cluster_revision (c, 0);
  char *before = cluster_ctl_read (c, "contract get " CLUSTER_CUSTOMER);
  char *after;

  (void)state;
  cluster_set_faults (c, "{\"down\":true}");
  cluster_post (c, "outage", 8);
  assert_int_equal (cluster_put_contract (c, NEXT_LIMIT, ""),
                    CTL_EXIT_UNAVAILABLE);
  assert_int_equal (cluster_revision (c, 0), revision);
  assert_int_equal (cluster_revision (c, 1), revision);
  assert_int_equal (cluster_ctl (c, "domain out dom-b"), 0);
  cluster_await_ready (c, HOST_BALANCER + 1, false);
  assert_true (cluster_is_ready (c, HOST_BALANCER));
  cluster_post (c, "out", 8);
  cluster_set_faults (c, "{\"down\":false}");
  await (order_is_stored_, c, "the order to be in the store");
  after = cluster_ctl_read (c, "contract get " CLUSTER_CUSTOMER);
  assert_string_equal (after, before);
  assert_false (cluster_is_ready (c, HOST_BALANCER + 1));
  assert_int_equal (cluster_put_contract (c, NEXT_LIMIT, ""), 0);
  assert_true (cluster_revision (c, 0) > revision);
  g_free (after);
  g_free (before);
  cluster_delete (c);
}

/* Guards against a watch that stays open without delivering anything, which
   would hide every later change.  */
void
silent_watch_is_replaced (void **state)
{
  struct cluster *c = cluster_new (1, 1, "");
  json_int_t revision = cluster_revision (c, 0);

  (void)state;
  cluster_set_faults (c, "{\"silent_watches\":true}");
  cluster_set_faults (c, "{\"silent_watches\":false}");
  /* Succeeds only when the balancer has the contract.  */
  assert_int_equal (cluster_put_contract (c, NEXT_LIMIT, ""), 0);
  assert_true (cluster_revision (c, 0) > revision);
  cluster_delete (c);
}

/* Guards against a store that comes back empty, with older contents or as
   another cluster, and takes back a contract in force.  */
void
older_contents_are_refused (void **state)
{
  static const char *const faults[]
      = { "{\"reset\":true}", "{\"new_cluster\":true}" };
  struct cluster *c;
  json_int_t revision;
  size_t line;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      c = cluster_new (1, 1, "");
      assert_int_equal (cluster_put_contract (c, NEXT_LIMIT, ""), 0);
      revision = cluster_revision (c, 0);
      line = process_get_length (c->balancers[0], STREAM_ERROR);
      cluster_set_faults (c, faults[i]);
      process_await_line (c->balancers[0], STREAM_ERROR, "refused", line);
      assert_int_equal (cluster_revision (c, 0), revision);
      /* A contract of the older contents must not pass for one in force.  */
      assert_int_equal (cluster_put_contract (c, LATER_LIMIT, ""),
                        CTL_EXIT_UNAVAILABLE);
      assert_int_equal (cluster_revision (c, 0), revision);
      assert_true (cluster_is_ready (c, HOST_BALANCER));
      cluster_post (c, "post", 4);
      /* An order must not get lost in a store that nobody reads.  */
      assert_int_equal (cluster_ctl (c, "domain out dom-a"), 0);
      assert_false (cluster_is_ready (c, HOST_BALANCER));
      cluster_delete (c);
    }
}

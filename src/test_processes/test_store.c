#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "cluster.h"
#include "tests.h"

#define CTL_EXIT_UNAVAILABLE 3
#define SECOND_BYTE_LIMIT 60000000
#define THIRD_BYTE_LIMIT 70000000

/* Guards against a balancer that cannot start without the store: a replacement
   must be able to join during an outage of the store.  */
void
balancer_starts_without_store (void **state)
{
  struct cluster *c = cluster_new_partial (2, 1, 2, "");

  (void)state;
  cluster_set_faults (c, "{\"down\":true}");
  cluster_start_balancer (c, 1);
  cluster_await_balancer (c, 1);
  assert_int_equal (cluster_get_contract_revision (c, 1),
                    cluster_get_contract_revision (c, 0));
  assert_true (cluster_get_contract_revision (c, 1) > 0);
  cluster_await_state (c, 1, 0, "ready");
  cluster_await_state (c, 1, 1, "ready");
  /* From here on, only the new balancer can forward traffic.  */
  process_signal (c->balancers[0], SIGKILL);
  assert_int_equal (process_await_exit (c->balancers[0]), -SIGKILL);
  cluster_post_records (c, "post", 8);
  cluster_delete (c);
}

static bool
is_order_stored_ (void *ctx)
{
  char *orders = cluster_read_ctl (ctx, "domain list --json");
  bool stored = strstr (orders, "dom-b") != NULL;

  g_free (orders);
  return stored;
}

/* Guards against an outage of the store that stops traffic or failure domain
   orders, leaves a contract partly written, or loses an order.  */
void
store_outage_rejects_contracts_and_accepts_orders (void **state)
{
  struct cluster *c = cluster_new (2, 2, "");
  json_int_t revision = cluster_get_contract_revision (c, 0);
  char *before = cluster_read_ctl (c, "contract get " CLUSTER_CUSTOMER);
  char *after;

  (void)state;
  cluster_set_faults (c, "{\"down\":true}");
  cluster_post_records (c, "outage", 8);
  assert_int_equal (cluster_put_contract (c, SECOND_BYTE_LIMIT, ""),
                    CTL_EXIT_UNAVAILABLE);
  assert_int_equal (cluster_get_contract_revision (c, 0), revision);
  assert_int_equal (cluster_get_contract_revision (c, 1), revision);
  assert_int_equal (cluster_run_ctl (c, "domain out dom-b"), 0);
  cluster_await_ready (c, HOST_BALANCER + 1, false);
  assert_true (cluster_is_ready (c, HOST_BALANCER));
  cluster_post_records (c, "out", 8);
  cluster_set_faults (c, "{\"down\":false}");
  await_condition (is_order_stored_, c, "the order to be in the store");
  after = cluster_read_ctl (c, "contract get " CLUSTER_CUSTOMER);
  assert_string_equal (after, before);
  assert_false (cluster_is_ready (c, HOST_BALANCER + 1));
  assert_int_equal (cluster_put_contract (c, SECOND_BYTE_LIMIT, ""), 0);
  assert_true (cluster_get_contract_revision (c, 0) > revision);
  g_free (after);
  g_free (before);
  cluster_delete (c);
}

/* Guards against a watch that stays open without reporting any event: the
   balancer would miss all later changes.  */
void
unresponsive_watch_is_replaced (void **state)
{
  struct cluster *c = cluster_new (1, 1, "");
  json_int_t revision = cluster_get_contract_revision (c, 0);

  (void)state;
  cluster_set_faults (c, "{\"silent_watches\":true}");
  cluster_set_faults (c, "{\"silent_watches\":false}");
  /* The command succeeds only after the balancer has received the contract. */
  assert_int_equal (cluster_put_contract (c, SECOND_BYTE_LIMIT, ""), 0);
  assert_true (cluster_get_contract_revision (c, 0) > revision);
  cluster_delete (c);
}

/* Guards against the loss of an active contract when the store, after a fault,
   is empty, has older contents or belongs to another cluster.  */
void
older_store_contents_are_rejected (void **state)
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
      assert_int_equal (cluster_put_contract (c, SECOND_BYTE_LIMIT, ""), 0);
      revision = cluster_get_contract_revision (c, 0);
      line = process_get_length (c->balancers[0], STREAM_ERROR);
      cluster_set_faults (c, faults[i]);
      process_await_line (c->balancers[0], STREAM_ERROR, "refused", line);
      assert_int_equal (cluster_get_contract_revision (c, 0), revision);
      /* A contract that was written to the older contents must not be reported
         as active.  */
      assert_int_equal (cluster_put_contract (c, THIRD_BYTE_LIMIT, ""),
                        CTL_EXIT_UNAVAILABLE);
      assert_int_equal (cluster_get_contract_revision (c, 0), revision);
      assert_true (cluster_is_ready (c, HOST_BALANCER));
      cluster_post_records (c, "post", 4);
      /* An order must not be lost because the balancers ignore the store.  */
      assert_int_equal (cluster_run_ctl (c, "domain out dom-a"), 0);
      assert_false (cluster_is_ready (c, HOST_BALANCER));
      cluster_delete (c);
    }
}

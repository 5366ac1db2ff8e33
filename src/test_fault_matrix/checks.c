#include <string.h>

#include "matrix.h"

/* Bounds of sections 1.2 and 3 of the design.  A watch that has received no
   update for STALE_US is stale: the boards change every second.  */
#define DOMAIN_OUT_BOUND_US (3 * H_S)
#define DRAIN_BOUND_US (3 * H_S)
#define CONFIG_BOUND_US (6 * H_S)
#define STALE_US (3 * H_S)

/* Checks during a run.  */

/* Excuses the watches that may register again: those whose flow is owned by an
   agent that a fault affects, or by an agent of the failure domain that is
   being taken out.  */
static void
excuse_watches_ (struct run *r)
{
  int64_t now_us = harness_now_us (r->d->h);
  unsigned i;
  guint k;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    {
      struct node *agent = r->d->desk_agents[i];
      bool domain_leaves = r->step == STEP_DOMAIN_OUT
                           && agent->domain == OUT_DOMAIN
                           && now_us >= r->step_us
                           && (r->order_us == 0
                               || now_us <= r->order_us + DOMAIN_OUT_BOUND_US);

      if (!fault_may_break_flows (r, agent) && !domain_leaves)
        continue;
      for (k = 0; k < r->watches->len; k++)
        {
          struct caller *c = g_ptr_array_index (r->watches, k);

          if (harness_owns_flow (agent, c))
            g_hash_table_add (r->excused_watches, c);
        }
    }
}

static void
find_newest_revision_ (const struct rgy_contract *contract, void *ctx)
{
  uint64_t *revision = ctx;

  *revision = MAX (*revision, contract->revision);
}

static const struct rgy_blackboard *
get_blackboard_ (const struct node *node)
{
  return node->kind == NODE_BALANCER
             ? rgy_balancer_get_blackboard (node->balancer)
             : rgy_agent_get_blackboard (node->agent);
}

static bool
is_order_active_ (const struct node *node,
                  const struct rgy_domain_order *order)
{
  const struct rgy_domain_order *active
      = rgy_domain_set_get (get_blackboard_ (node)->domains, &order->domain);

  return active != NULL && active->number == order->number
         && active->id == order->id && active->out == order->out;
}

/* Whether the bound for a configuration change has passed on a node since the
   write, the start of the node and the end of the faults that kept the change
   from it.  */
static bool
is_overdue_ (const struct run *r, const struct node *node, int64_t since_us)
{
  int64_t isolation_end_us = fault_get_isolation_end_us (r, node);
  int64_t from_us
      = MAX (MAX (since_us, node->started_us),
             MAX (isolation_end_us, fault_get_store_outage_end_us (r)));

  if (since_us == 0 || from_us == INT64_MAX)
    return false;
  return harness_now_us (r->d->h) > from_us + CONFIG_BOUND_US;
}

/* The active contract must never revert to an older revision, and contract and
   domain order must reach each process within the bound.  */
static void
check_config_ (struct run *r, unsigned index, const struct node *node)
{
  uint64_t revision = 0;

  rgy_contract_set_foreach (get_blackboard_ (node)->contracts,
                            find_newest_revision_, &revision);
  if (r->observed[index].incarnation != node->incarnation)
    {
      r->observed[index].incarnation = node->incarnation;
      r->observed[index].revision = 0;
    }
  if (revision < r->observed[index].revision)
    run_report_failure (
        r, 10,
        "contract of %s reverted from revision %" G_GUINT64_FORMAT
        " to %" G_GUINT64_FORMAT,
        node->id.data, r->observed[index].revision, revision);
  r->observed[index].revision = revision;
  if (r->observed[index].config_reported)
    return;
  if (is_overdue_ (r, node, r->revision_us) && revision < r->revision)
    {
      r->observed[index].config_reported = true;
      run_report_failure (
          r, 10,
          "active contract of %s has revision %" G_GUINT64_FORMAT
          " instead of %" G_GUINT64_FORMAT " after 6 s",
          node->id.data, revision, r->revision);
    }
  if (is_overdue_ (r, node, r->order_us)
      && !is_order_active_ (node, &r->order))
    {
      r->observed[index].config_reported = true;
      run_report_failure (r, 10, "domain order has not reached %s after 6 s",
                          node->id.data);
    }
}

/* Whether something at AT_US came later than BOUND_US after the change at
   SINCE_US.  A process that was paused or partitioned sends what is in its
   queues, and receives what is queued for it, before the change can reach it;
   that is allowed until BOUND_US after the end of the fault.  */
static bool
is_late_ (const struct run *r, int64_t at_us, int64_t since_us,
          int64_t bound_us)
{
  size_t i;

  if (since_us == 0 || at_us <= since_us + bound_us)
    return false;
  for (i = 0; i < r->fault_count; i++)
    {
      const struct active_fault *f = &r->faults[i];

      if (f->begun && f->ended
          && (fault_get_isolation_end_us (r, f->agent) != 0
              || fault_get_isolation_end_us (r, f->balancer) != 0)
          && at_us >= f->end_us && at_us <= f->end_us + bound_us)
        return false;
    }
  return true;
}

/* A failure domain that was taken out must get no datagrams of callers, and
   its backend servers no requests, after the bound.  */
static void
check_domain_out_ (struct run *r, unsigned index, const struct node *node)
{
  int64_t isolation_end_us = fault_get_isolation_end_us (r, node);

  if (r->step != STEP_DOMAIN_OUT || node->domain != OUT_DOMAIN
      || r->observed[index].late_reported)
    return;
  /* An agent that the order cannot reach keeps probing its backend server,
     which is allowed.  */
  if (isolation_end_us == INT64_MAX
      || (isolation_end_us != 0
          && node->last_datagram_us <= isolation_end_us + DOMAIN_OUT_BOUND_US))
    return;
  if (is_late_ (r, node->last_datagram_us, r->order_us, DOMAIN_OUT_BOUND_US))
    {
      r->observed[index].late_reported = true;
      run_report_failure (
          r, 4, "%s received a datagram %.3f s after the order", node->id.data,
          (double)(node->last_datagram_us - r->order_us) / (double)H_S);
    }
  if (node->kind == NODE_AGENT
      && is_late_ (r, node->backend.last_start_us, r->order_us,
                   DOMAIN_OUT_BOUND_US))
    {
      r->observed[index].late_reported = true;
      run_report_failure (
          r, 4,
          "backend server of %s received a request %.3f s after the order",
          node->id.data,
          (double)(node->backend.last_start_us - r->order_us) / (double)H_S);
    }
}

/* The backend server of a draining agent must start no new work after
   the bound.  */
static void
check_drain_ (struct run *r)
{
  const struct node *node = r->step_agent;
  unsigned index = H_MAX_NODES - 1;

  if (r->drain_us == 0 || r->observed[index].late_reported
      || node->started_us > r->drain_us)
    return;
  if (is_late_ (r, node->backend.last_start_us, r->drain_us, DRAIN_BOUND_US))
    {
      r->observed[index].late_reported = true;
      run_report_failure (
          r, 8,
          "backend server of %s received new work %.3f s after the drain "
          "began",
          node->id.data,
          (double)(node->backend.last_start_us - r->drain_us) / (double)H_S);
    }
}

void
check_sample (struct run *r)
{
  unsigned i;

  excuse_watches_ (r);
  check_drain_ (r);
  for (i = 0; i < harness_get_node_count (r->d->h); i++)
    {
      const struct node *node = harness_get_node_at (r->d->h, i);

      check_domain_out_ (r, i, node);
      if (node->alive && !node->frozen)
        check_config_ (r, i, node);
    }
}

/* Checks at the end of a run.  */

/* Watches that are not excused must neither have registered again nor
   be stale.  */
static void
check_watches_ (struct run *r)
{
  int64_t now_us = harness_now_us (r->d->h);
  unsigned broken = 0;
  unsigned stale = 0;
  guint i;

  for (i = 0; i < r->watches->len; i++)
    {
      struct caller *c = g_ptr_array_index (r->watches, i);
      const struct caller_stats *s = harness_get_stats (c);

      if (s->registrations > g_array_index (r->registrations, uint64_t, i)
          && !g_hash_table_contains (r->excused_watches, c))
        broken++;
      if (now_us - s->last_update_us > STALE_US
          && !g_hash_table_contains (r->excused_watches, c))
        stale++;
    }
  if (broken > 0)
    run_report_failure (r, 1, "%u watches had to register again", broken);
  if (stale > 0)
    run_report_failure (r, 1, "%u watches got no update in the last 3 s",
                        stale);
}

static void
check_count_ (struct run *r, unsigned guarantee, uint64_t count,
              const char *what)
{
  if (count > 0)
    run_report_failure (r, guarantee, "%" G_GUINT64_FORMAT " %s", count, what);
}

/* Requests that ended with an unknown outcome.  Requests without any
   response don't count when the fault drops responses.  */
static uint64_t
count_unknown_ (const struct run *r, const struct harness_totals *t)
{
  uint64_t unknown_outcomes = 0;
  unsigned k;

  for (k = 0; k <= CALLER_GET; k++)
    if (k != CALLER_WATCH)
      unknown_outcomes += t->sum[k].unknown_outcomes
                          - (r->answers_may_be_lost ? t->sum[k].no_answer : 0);
  return unknown_outcomes;
}

static void
check_requests_ (struct run *r, const struct harness_totals *t)
{
  uint64_t unknown_outcomes
      = count_unknown_ (r, t) - count_unknown_ (r, &r->totals_before);
  uint64_t mismatched = 0;
  uint64_t false_not_run = 0;
  unsigned k;

  for (k = 0; k <= CALLER_GET; k++)
    {
      mismatched += t->sum[k].mismatched + t->sum[k].version_regressions;
      false_not_run += t->sum[k].false_not_run;
    }
  check_count_ (r, 2, t->wrong_service, "datagrams reached another service");
  check_count_ (r, 3, t->overloads, "executions above a concurrency limit");
  check_count_ (r, 5, mismatched,
                "responses to other requests or out of order");
  check_count_ (r, 6, false_not_run,
                "refusals with \"not-run\" for executed records");
  check_count_ (r, 7, t->repeated_records, "records executed more than once");
  check_count_ (r, 7, t->lost_records, "records accepted but never executed");
  if (!r->requests_may_fail && r->step != STEP_DOMAIN_OUT)
    check_count_ (r, 9, unknown_outcomes, "requests interrupted");
}

/* After the faults, each ready balancer must confirm that the last change has
   taken effect in all processes.  */
static void
check_confirmations_ (struct run *r)
{
  struct rgy_name customer;
  unsigned i;

  if (r->revision == 0 && r->order_us == 0)
    return;
  deployment_get_customer (r->d, &customer);
  for (i = 0; i < harness_get_node_count (r->d->h); i++)
    {
      const struct node *node = harness_get_node_at (r->d->h, i);
      char *text;

      if (node->kind != NODE_BALANCER || !node->alive
          || !rgy_balancer_is_ready (node->balancer))
        continue;
      text = r->order_us != 0
                 ? rgy_balancer_format_confirm (
                     node->balancer, &r->order.domain, true, r->order.number)
                 : rgy_balancer_format_confirm (node->balancer, &customer,
                                                false, r->revision);
      if (strstr (text, "true") == NULL)
        run_report_failure (r, 10, "%s does not confirm the change: %s",
                            node->id.data, text);
      g_free (text);
    }
}

void
check_state (struct run *r)
{
  check_confirmations_ (r);
  if (r->drain_us != 0 && r->step_agent->started_us < r->drain_us
      && fault_get_isolation_end_us (r, r->step_agent) == 0
      && !r->step_agent->exited)
    run_report_failure (r, 9, "%s has not exited after its drain",
                        r->step_agent->id.data);
  check_watches_ (r);
}

void
check_outcomes (struct run *r)
{
  struct harness_totals t = harness_get_totals (r->d->h);

  check_requests_ (r, &t);
}

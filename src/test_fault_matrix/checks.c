#include <string.h>

#include "matrix.h"

/* Bounds of sections 1.2 and 3 of the design.  */
#define OUT_BOUND_US (3 * H_S)
#define LEAVING_BOUND_US (3 * H_S)
#define CONFIG_BOUND_US (6 * H_S)
#define FRESH_US (3 * H_S)

/* Sampling.  */

static void
excuse_watches_ (struct run *r)
{
  int64_t now_us = harness_now_us (r->d->h);
  unsigned i;
  guint k;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    {
      struct node *agent = r->d->desk_agents[i];
      bool leaves
          = r->step == STEP_DOMAIN_OUT && agent->domain == OUT_DOMAIN
            && now_us >= r->step_us
            && (r->order_us == 0 || now_us <= r->order_us + OUT_BOUND_US);

      if (!fault_harms (r, agent) && !leaves)
        continue;
      for (k = 0; k < r->watches->len; k++)
        {
          struct caller *c = g_ptr_array_index (r->watches, k);

          if (harness_is_held (agent, c))
            g_hash_table_add (r->excused, c);
        }
    }
}

static void
read_revision_ (const struct rgy_contract *contract, void *ctx)
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
has_order_ (const struct node *node, const struct rgy_domain_order *order)
{
  const struct rgy_domain_order *known
      = rgy_domain_set_get (get_blackboard_ (node)->domains, &order->domain);

  return known != NULL && known->number == order->number
         && known->id == order->id && known->out == order->out;
}

static bool
is_overdue_ (const struct run *r, const struct node *node, int64_t since_us)
{
  int64_t reachable_us = fault_get_reachable_us (r, node);
  int64_t from_us = MAX (MAX (since_us, node->started_us),
                         MAX (reachable_us, fault_get_store_us (r)));

  if (since_us == 0 || from_us == INT64_MAX)
    return false;
  return harness_now_us (r->d->h) > from_us + CONFIG_BOUND_US;
}

static void
check_config_ (struct run *r, unsigned index, const struct node *node)
{
  uint64_t revision = 0;

  rgy_contract_set_foreach (get_blackboard_ (node)->contracts, read_revision_,
                            &revision);
  if (r->seen[index].incarnation != node->incarnation)
    {
      r->seen[index].incarnation = node->incarnation;
      r->seen[index].revision = 0;
    }
  if (revision < r->seen[index].revision)
    run_fail (r, 10,
              "%s went from revision %" G_GUINT64_FORMAT
              " back to %" G_GUINT64_FORMAT,
              node->id.data, r->seen[index].revision, revision);
  r->seen[index].revision = revision;
  if (r->seen[index].reported)
    return;
  if (is_overdue_ (r, node, r->revision_us) && revision < r->revision)
    {
      r->seen[index].reported = true;
      run_fail (r, 10,
                "%s has revision %" G_GUINT64_FORMAT
                " and not %" G_GUINT64_FORMAT " after 6 s",
                node->id.data, revision, r->revision);
    }
  if (is_overdue_ (r, node, r->order_us) && !has_order_ (node, &r->order))
    {
      r->seen[index].reported = true;
      run_fail (r, 10, "%s does not have the order after 6 s", node->id.data);
    }
}

/* A process that was paused or cut off may send what it still has, or take
   what waited for it, until the order could reach it.  */
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
          && (fault_get_reachable_us (r, f->agent) != 0
              || fault_get_reachable_us (r, f->balancer) != 0)
          && at_us >= f->end_us && at_us <= f->end_us + bound_us)
        return false;
    }
  return true;
}

static void
check_out_ (struct run *r, unsigned index, const struct node *node)
{
  int64_t reachable_us = fault_get_reachable_us (r, node);

  if (r->step != STEP_DOMAIN_OUT || node->domain != OUT_DOMAIN
      || r->seen[index].late)
    return;
  /* While the order cannot reach an agent, it goes on to probe its backend
     server.  */
  if (reachable_us == INT64_MAX
      || (reachable_us != 0
          && node->last_packet_us <= reachable_us + OUT_BOUND_US))
    return;
  if (is_late_ (r, node->last_packet_us, r->order_us, OUT_BOUND_US))
    {
      r->seen[index].late = true;
      run_fail (r, 4, "%s got a packet %.3f s after the order", node->id.data,
                (double)(node->last_packet_us - r->order_us) / (double)H_S);
    }
  if (node->kind == NODE_AGENT
      && is_late_ (r, node->backend.last_begun_us, r->order_us, OUT_BOUND_US))
    {
      r->seen[index].late = true;
      run_fail (r, 4, "backend server of %s got a request %.3f s after it",
                node->id.data,
                (double)(node->backend.last_begun_us - r->order_us)
                    / (double)H_S);
    }
}

static void
check_leaving_ (struct run *r)
{
  const struct node *node = r->subject;
  unsigned index = H_MAX_NODES - 1;

  if (r->drain_us == 0 || r->seen[index].late
      || node->started_us > r->drain_us)
    return;
  if (is_late_ (r, node->backend.last_begun_us, r->drain_us, LEAVING_BOUND_US))
    {
      r->seen[index].late = true;
      run_fail (
          r, 8, "%s got new work %.3f s after its drain began", node->id.data,
          (double)(node->backend.last_begun_us - r->drain_us) / (double)H_S);
    }
}

void
check_tick (struct run *r)
{
  unsigned i;

  excuse_watches_ (r);
  check_leaving_ (r);
  for (i = 0; i < harness_get_node_count (r->d->h); i++)
    {
      const struct node *node = harness_get_node_at (r->d->h, i);

      check_out_ (r, i, node);
      if (node->alive && !node->frozen)
        check_config_ (r, i, node);
    }
}

/* End of a cell.  */

static void
check_watches_ (struct run *r)
{
  int64_t now_us = harness_now_us (r->d->h);
  unsigned broken = 0;
  unsigned silent = 0;
  guint i;

  for (i = 0; i < r->watches->len; i++)
    {
      struct caller *c = g_ptr_array_index (r->watches, i);
      const struct caller_stats *s = harness_get_stats (c);

      if (s->registrations > g_array_index (r->registrations, uint64_t, i)
          && !g_hash_table_contains (r->excused, c))
        broken++;
      if (now_us - s->heard_us > FRESH_US
          && !g_hash_table_contains (r->excused, c))
        silent++;
    }
  if (broken > 0)
    run_fail (r, 1, "%u watches had to register again", broken);
  if (silent > 0)
    run_fail (r, 1, "%u watches are silent at the end", silent);
}

static void
check_count_ (struct run *r, unsigned point, uint64_t count, const char *what)
{
  if (count > 0)
    run_fail (r, point, "%" G_GUINT64_FORMAT " %s", count, what);
}

/* Requests that ended with an unknown outcome.  */
static uint64_t
count_unknown_ (const struct run *r, const struct harness_totals *t)
{
  uint64_t unknown = 0;
  unsigned k;

  for (k = 0; k <= CALLER_GET; k++)
    if (k != CALLER_WATCH)
      unknown += t->sum[k].unknown
                 - (r->answers_may_be_lost ? t->sum[k].no_answer : 0);
  return unknown;
}

static void
check_requests_ (struct run *r, const struct harness_totals *t)
{
  uint64_t unknown = count_unknown_ (r, t) - count_unknown_ (r, &r->before);
  uint64_t crossed = 0;
  uint64_t false_not_run = 0;
  unsigned k;

  for (k = 0; k <= CALLER_GET; k++)
    {
      crossed += t->sum[k].crossed + t->sum[k].regressions;
      false_not_run += t->sum[k].false_not_run;
    }
  check_count_ (r, 2, t->wrong_service, "packets reached another service");
  check_count_ (r, 3, t->violations, "requests above what a server bears");
  check_count_ (r, 5, crossed, "answers crossed or out of order");
  check_count_ (r, 6, false_not_run, "false \"not-run\"");
  check_count_ (r, 7, t->doubled, "records executed twice");
  check_count_ (r, 7, t->lost, "records accepted and lost");
  if (!r->requests_may_fail && r->step != STEP_DOMAIN_OUT)
    check_count_ (r, 9, unknown, "requests interrupted");
}

/* After the faults, each balancer in service says that the last change is in
   force everywhere.  */
static void
check_confirmed_ (struct run *r)
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
        run_fail (r, 10, "%s does not confirm the change: %s", node->id.data,
                  text);
      g_free (text);
    }
}

void
check_state (struct run *r)
{
  check_confirmed_ (r);
  if (r->drain_us != 0 && r->subject->started_us < r->drain_us
      && fault_get_reachable_us (r, r->subject) == 0 && !r->subject->left)
    run_fail (r, 9, "%s has not left", r->subject->id.data);
  check_watches_ (r);
}

void
check_outcomes (struct run *r)
{
  struct harness_totals t = harness_get_totals (r->d->h);

  check_requests_ (r, &t);
}

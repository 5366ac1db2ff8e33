#include "scenarios.h"

/* Time that a stopped process is down, and time after its restart.  */
#define DOWN_US (15 * H_S)
#define BACK_US (10 * H_S)
/* Long enough that requests are being executed when a process stops.  */
#define STOP_WORK_US (300 * H_MS)
#define SETTLE_US (20 * H_S)
#define NO_WORK_AFTER_US (3 * H_S)
#define COLD_LOAD_POSTERS 50
#define COLD_LOAD_INTERVAL_US (300 * H_MS)

/* Sessions that had to register again or got no update for over 5 s.  */
static uint64_t
count_broken_sessions_ (struct deployment *d)
{
  struct harness_totals t = harness_get_totals (d->h);

  return t.sum[CALLER_WATCH].registrations + t.sum[CALLER_WATCH].stale;
}

/* Four agents and a balancer drain and return, one after the other.  */
uint64_t
scenario_planned_changes (enum deployment_kind kind,
                          const struct harness_settings *settings)
{
  struct deployment *d = scenario_start (kind, settings);
  uint64_t before = count_broken_sessions_ (d);
  uint64_t broken;
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i += 2)
    {
      harness_drain (d->h, d->desk_agents[i]);
      deployment_run (d, DOWN_US);
      harness_restart (d->h, d->desk_agents[i], true);
      deployment_run (d, BACK_US);
    }
  harness_drain (d->h, d->balancers[0]);
  deployment_run (d, DOWN_US);
  harness_restart (d->h, d->balancers[0], false);
  deployment_run (d, DOWN_US);
  broken = count_broken_sessions_ (d) - before;
  deployment_delete (d);
  return broken;
}

/* An agent of the guide service is killed, and an agent of the desk service
   starts at its address, while a partitioned balancer still has the old agent
   in its view.  */
uint64_t
scenario_reused_address (enum deployment_kind kind,
                         const struct harness_settings *settings)
{
  struct deployment *d = scenario_start (kind, settings);
  struct node *outdated_balancer = d->balancers[2];
  struct node *node = d->guide_agents[0];
  uint64_t misdirected;
  unsigned i;

  for (i = 0; i < 2; i++)
    harness_set_partition (d->h, d->balancers[i], outdated_balancer, true);
  harness_set_partition (d->h, node, outdated_balancer, true);
  harness_kill (d->h, node);
  node->agent_settings.id = rgy_name_from_c ("reused-address");
  node->agent_settings.service = d->desk;
  harness_restart (d->h, node, true);
  deployment_run (d, DOWN_US);
  for (i = 0; i < 2; i++)
    harness_set_partition (d->h, d->balancers[i], outdated_balancer, false);
  harness_set_partition (d->h, node, outdated_balancer, false);
  deployment_run (d, BACK_US);
  misdirected = harness_get_totals (d->h).wrong_service;
  deployment_delete (d);
  return misdirected;
}

/* Two agents and their backend servers restart under load, and the backend
   server of a third agent becomes cold while this agent keeps running.  */
uint64_t
scenario_cold_start (enum deployment_kind kind,
                     const struct harness_settings *settings)
{
  const struct deployment_load load
      = { .posters = COLD_LOAD_POSTERS, .interval_us = COLD_LOAD_INTERVAL_US };
  struct deployment *d = deployment_new (kind, settings);
  uint64_t overloads;
  unsigned i;

  deployment_add_load (d, &load);
  for (i = 0; i < 2; i++)
    {
      harness_drain (d->h, d->desk_agents[i]);
      deployment_run (d, DOWN_US);
      harness_restart (d->h, d->desk_agents[i], true);
      deployment_run (d, BACK_US);
    }
  d->desk_agents[4]->backend.unresponsive = true;
  deployment_run (d, DOWN_US);
  harness_make_cold (d->desk_agents[4]);
  d->desk_agents[4]->backend.unresponsive = false;
  deployment_run (d, DOWN_US);
  overloads = harness_get_totals (d->h).overloads;
  deployment_delete (d);
  return overloads;
}

/* Flows and records that an agent has accepted.  */
static uint64_t
count_accepted_work_ (const struct node *node)
{
  return rgy_counters_get (node->counters, "flows_opened_total", NULL)
         + rgy_counters_get (node->counters, "flows_moved_in_total", NULL)
         + node->backend.executions;
}

/* An agent drains, and new watches are added 3 s later.  */
uint64_t
scenario_drain (enum deployment_kind kind,
                const struct harness_settings *settings)
{
  const struct deployment_load more
      = { .watches = SCENARIO_WATCHES, .interval_us = H_S };
  struct deployment *d = scenario_start (kind, settings);
  uint64_t before;
  uint64_t after;

  harness_drain (d->h, d->desk_agents[0]);
  deployment_run (d, NO_WORK_AFTER_US);
  before = count_accepted_work_ (d->desk_agents[0]);
  deployment_add_load (d, &more);
  after = count_accepted_work_ (d->desk_agents[0]);
  deployment_delete (d);
  return after - before;
}

/* Broken sessions, and requests that ended without success.  */
static uint64_t
count_interrupted_ (struct deployment *d)
{
  struct harness_totals t = harness_get_totals (d->h);

  return t.sum[CALLER_WATCH].registrations + t.sum[CALLER_WATCH].stale
         + t.sum[CALLER_POST].unknown_outcomes + t.sum[CALLER_POST].refused
         + t.sum[CALLER_GET].unknown_outcomes + t.sum[CALLER_GET].refused;
}

static void
stop_node_ (struct deployment *d, struct node *node, bool kill)
{
  if (kill)
    harness_kill (d->h, node);
  else
    harness_drain (d->h, node);
  deployment_run (d, DOWN_US);
  harness_restart (d->h, node, node->kind == NODE_AGENT);
  deployment_run (d, BACK_US);
}

/* Three agents and a balancer stop and restart while requests are
   being executed.  */
uint64_t
scenario_planned_stop (enum deployment_kind kind,
                       const struct harness_settings *settings, bool kill)
{
  struct deployment *d = scenario_start (kind, settings);
  uint64_t before;
  uint64_t interrupted;
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    d->desk_agents[i]->backend.work_us = STOP_WORK_US;
  /* The sudden rise of the latency lowers the concurrency limits; they must
     have recovered before the first stop.  */
  deployment_run (d, SETTLE_US);
  before = count_interrupted_ (d);
  stop_node_ (d, d->desk_agents[0], kill);
  stop_node_ (d, d->desk_agents[3], kill);
  stop_node_ (d, d->guide_agents[1], kill);
  stop_node_ (d, d->balancers[1], kill);
  deployment_finish_load (d);
  interrupted = count_interrupted_ (d) - before;
  deployment_delete (d);
  return interrupted;
}

#include "proofs.h"

#define DOWN_US (15 * H_S)
#define BACK_US (10 * H_S)
/* Long, so that requests are in execution when a stop begins.  */
#define STOP_WORK_US (300 * H_MS)
#define SETTLE_US (20 * H_S)
#define NO_WORK_AFTER_US (3 * H_S)
#define COLD_LOAD_POSTERS 50
#define COLD_LOAD_INTERVAL_US (300 * H_MS)

static uint64_t
count_broken_ (struct deployment *d)
{
  struct harness_totals t = harness_get_totals (d->h);

  return t.sum[CALLER_WATCH].registrations + t.sum[CALLER_WATCH].stale;
}

uint64_t
proof_sessions (enum deployment_kind kind,
                const struct harness_settings *settings)
{
  struct deployment *d = proof_start (kind, settings);
  uint64_t before = count_broken_ (d);
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
  broken = count_broken_ (d) - before;
  deployment_delete (d);
  return broken;
}

/* A host of the guide service ends, and an agent of the desk service starts
   at its address, while one balancer is cut off from that news.  */
uint64_t
proof_services (enum deployment_kind kind,
                const struct harness_settings *settings)
{
  struct deployment *d = proof_start (kind, settings);
  struct node *stale = d->balancers[2];
  struct node *node = d->guide_agents[0];
  uint64_t wrong;
  unsigned i;

  for (i = 0; i < 2; i++)
    harness_cut (d->h, d->balancers[i], stale, true);
  harness_cut (d->h, node, stale, true);
  harness_kill (d->h, node);
  node->agent_settings.id = rgy_name_from_c ("reused-address");
  node->agent_settings.service = d->desk;
  harness_restart (d->h, node, true);
  deployment_run (d, DOWN_US);
  for (i = 0; i < 2; i++)
    harness_cut (d->h, d->balancers[i], stale, false);
  harness_cut (d->h, node, stale, false);
  deployment_run (d, BACK_US);
  wrong = harness_get_totals (d->h).wrong_service;
  deployment_delete (d);
  return wrong;
}

/* Two hosts start again under load, and the backend server of a third does
   so beside an agent that keeps running.  */
uint64_t
proof_cold_start (enum deployment_kind kind,
                  const struct harness_settings *settings)
{
  const struct deployment_load load
      = { .posters = COLD_LOAD_POSTERS, .interval_us = COLD_LOAD_INTERVAL_US };
  struct deployment *d = deployment_new (kind, settings);
  uint64_t violations;
  unsigned i;

  deployment_add_load (d, &load);
  for (i = 0; i < 2; i++)
    {
      harness_drain (d->h, d->desk_agents[i]);
      deployment_run (d, DOWN_US);
      harness_restart (d->h, d->desk_agents[i], true);
      deployment_run (d, BACK_US);
    }
  d->desk_agents[4]->backend.silent = true;
  deployment_run (d, DOWN_US);
  harness_make_cold (d->desk_agents[4]);
  d->desk_agents[4]->backend.silent = false;
  deployment_run (d, DOWN_US);
  violations = harness_get_totals (d->h).violations;
  deployment_delete (d);
  return violations;
}

static uint64_t
count_work_ (const struct node *node)
{
  return rgy_counters_get (node->counters, "flows_opened_total", NULL)
         + rgy_counters_get (node->counters, "flows_moved_in_total", NULL)
         + node->backend.executions;
}

uint64_t
proof_drain (enum deployment_kind kind,
             const struct harness_settings *settings)
{
  const struct deployment_load more
      = { .watches = PROOF_WATCHES, .interval_us = H_S };
  struct deployment *d = proof_start (kind, settings);
  uint64_t before;
  uint64_t after;

  harness_drain (d->h, d->desk_agents[0]);
  deployment_run (d, NO_WORK_AFTER_US);
  before = count_work_ (d->desk_agents[0]);
  deployment_add_load (d, &more);
  after = count_work_ (d->desk_agents[0]);
  deployment_delete (d);
  return after - before;
}

static uint64_t
count_interrupted_ (struct deployment *d)
{
  struct harness_totals t = harness_get_totals (d->h);

  return t.sum[CALLER_WATCH].registrations + t.sum[CALLER_WATCH].stale
         + t.sum[CALLER_POST].unknown + t.sum[CALLER_POST].not_run
         + t.sum[CALLER_GET].unknown + t.sum[CALLER_GET].not_run;
}

static void
stop_ (struct deployment *d, struct node *node, bool kill)
{
  if (kill)
    harness_kill (d->h, node);
  else
    harness_drain (d->h, node);
  deployment_run (d, DOWN_US);
  harness_restart (d->h, node, node->kind == NODE_AGENT);
  deployment_run (d, BACK_US);
}

uint64_t
proof_planned_stop (enum deployment_kind kind,
                    const struct harness_settings *settings, bool kill)
{
  struct deployment *d = proof_start (kind, settings);
  uint64_t before;
  uint64_t interrupted;
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    d->desk_agents[i]->backend.work_us = STOP_WORK_US;
  /* The jump of the latency cuts the limits; they rise again before a stop.
   */
  deployment_run (d, SETTLE_US);
  before = count_interrupted_ (d);
  stop_ (d, d->desk_agents[0], kill);
  stop_ (d, d->desk_agents[3], kill);
  stop_ (d, d->guide_agents[1], kill);
  stop_ (d, d->balancers[1], kill);
  deployment_finish_load (d);
  interrupted = count_interrupted_ (d) - before;
  deployment_delete (d);
  return interrupted;
}

#include "scenarios.h"

#define NORMAL_WORK_US (20 * H_MS)
/* Around the default deadline of 2 s: due to jitter, some responses come
   before it and some after it.  */
#define SLOW_WORK_US (2200 * H_MS)
/* Time with slow executions, and time after an agent is killed and after
   it restarts.  */
#define SLOW_US (20 * H_S)
#define ROUND_US H_S
#define ROUNDS 10
#define UNRESPONSIVE_US (150 * H_MS)
#define UNRESPONSIVE_WORK_US (200 * H_MS)
#define PARTITION_US (1200 * H_MS)
#define DUPLICATE_PERCENT 10

static void
set_work_ (struct deployment *d, int64_t work_us)
{
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    d->desk_agents[i]->backend.work_us = work_us;
}

static void
set_unresponsive_ (struct deployment *d, bool unresponsive)
{
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    d->desk_agents[i]->backend.unresponsive = unresponsive;
}

/* Many responses come after the deadline, and datagrams are duplicated and,
   due to jitter, reordered.  */
uint64_t
scenario_late_answers (enum deployment_kind kind,
                       const struct harness_settings *settings)
{
  struct harness_settings hs = *settings;
  struct harness_totals t;
  struct deployment *d;

  hs.duplicate_percent = DUPLICATE_PERCENT;
  d = scenario_start (kind, &hs);
  set_work_ (d, SLOW_WORK_US);
  deployment_run (d, SLOW_US);
  set_work_ (d, NORMAL_WORK_US);
  deployment_finish_load (d);
  t = harness_get_totals (d->h);
  deployment_delete (d);
  return t.sum[CALLER_POST].mismatched + t.sum[CALLER_GET].mismatched;
}

/* Backend servers execute records, but some of their responses are lost.  */
uint64_t
scenario_lost_answers (enum deployment_kind kind,
                       const struct harness_settings *settings)
{
  struct deployment *d = scenario_start (kind, settings);
  struct harness_totals t;
  unsigned i;

  set_work_ (d, UNRESPONSIVE_WORK_US);
  for (i = 0; i < ROUNDS; i++)
    {
      deployment_run (d, ROUND_US - UNRESPONSIVE_US);
      set_unresponsive_ (d, true);
      deployment_run (d, UNRESPONSIVE_US);
      set_unresponsive_ (d, false);
    }
  set_work_ (d, NORMAL_WORK_US);
  deployment_finish_load (d);
  t = harness_get_totals (d->h);
  deployment_delete (d);
  return t.sum[CALLER_POST].false_not_run;
}

/* Agents are partitioned from the balancers and then killed, so that their
   last responses are lost and callers send records again that have
   been executed.  */
uint64_t
scenario_agent_deaths (enum deployment_kind kind,
                       const struct harness_settings *settings)
{
  struct deployment *d = scenario_start (kind, settings);
  struct node *node;
  uint64_t repeated_records;
  unsigned i;
  unsigned k;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i += 2)
    {
      node = d->desk_agents[i];
      for (k = 0; k < DEPLOYMENT_DOMAINS; k++)
        harness_set_partition (d->h, node, d->balancers[k], true);
      deployment_run (d, PARTITION_US);
      harness_kill (d->h, node);
      deployment_run (d, SLOW_US);
      for (k = 0; k < DEPLOYMENT_DOMAINS; k++)
        harness_set_partition (d->h, node, d->balancers[k], false);
      harness_restart (d->h, node, true);
      deployment_run (d, SLOW_US);
    }
  deployment_finish_load (d);
  repeated_records = harness_get_totals (d->h).repeated_records;
  deployment_delete (d);
  return repeated_records;
}

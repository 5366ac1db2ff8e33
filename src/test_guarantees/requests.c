#include "proofs.h"

#define NORMAL_WORK_US (20 * H_MS)
/* Around the default deadline of 2 s, so that some answers come late.  */
#define SLOW_WORK_US (2200 * H_MS)
#define SLOW_US (20 * H_S)
#define ROUND_US H_S
#define ROUNDS 10
#define SILENT_US (150 * H_MS)
#define SILENT_WORK_US (200 * H_MS)
#define CUT_US (1200 * H_MS)
#define DUPLICATE_PERCENT 10

static void
set_work_ (struct deployment *d, int64_t work_us)
{
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    d->desk_agents[i]->backend.work_us = work_us;
}

static void
set_silent_ (struct deployment *d, bool silent)
{
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    d->desk_agents[i]->backend.silent = silent;
}

/* Backend servers answer after the deadline, and datagrams between instances
   come twice and out of order.  */
uint64_t
proof_answers (enum deployment_kind kind,
               const struct harness_settings *settings)
{
  struct harness_settings hs = *settings;
  struct harness_totals t;
  struct deployment *d;

  hs.duplicate_percent = DUPLICATE_PERCENT;
  d = proof_start (kind, &hs);
  set_work_ (d, SLOW_WORK_US);
  deployment_run (d, SLOW_US);
  set_work_ (d, NORMAL_WORK_US);
  deployment_finish_load (d);
  t = harness_get_totals (d->h);
  deployment_delete (d);
  return t.sum[CALLER_POST].crossed + t.sum[CALLER_GET].crossed;
}

/* Backend servers execute records, but their answers are lost.  */
uint64_t
proof_refusals (enum deployment_kind kind,
                const struct harness_settings *settings)
{
  struct deployment *d = proof_start (kind, settings);
  struct harness_totals t;
  unsigned i;

  set_work_ (d, SILENT_WORK_US);
  for (i = 0; i < ROUNDS; i++)
    {
      deployment_run (d, ROUND_US - SILENT_US);
      set_silent_ (d, true);
      deployment_run (d, SILENT_US);
      set_silent_ (d, false);
    }
  set_work_ (d, NORMAL_WORK_US);
  deployment_finish_load (d);
  t = harness_get_totals (d->h);
  deployment_delete (d);
  return t.sum[CALLER_POST].false_not_run;
}

/* Agents die whose answers of the last moments were lost, so that callers
   send records again that have been executed.  */
uint64_t
proof_at_most_once (enum deployment_kind kind,
                    const struct harness_settings *settings)
{
  struct deployment *d = proof_start (kind, settings);
  struct node *node;
  uint64_t doubled;
  unsigned i;
  unsigned k;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i += 2)
    {
      node = d->desk_agents[i];
      for (k = 0; k < DEPLOYMENT_DOMAINS; k++)
        harness_cut (d->h, node, d->balancers[k], true);
      deployment_run (d, CUT_US);
      harness_kill (d->h, node);
      deployment_run (d, SLOW_US);
      for (k = 0; k < DEPLOYMENT_DOMAINS; k++)
        harness_cut (d->h, node, d->balancers[k], false);
      harness_restart (d->h, node, true);
      deployment_run (d, SLOW_US);
    }
  deployment_finish_load (d);
  doubled = harness_get_totals (d->h).doubled;
  deployment_delete (d);
  return doubled;
}

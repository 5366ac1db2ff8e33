#include "scenarios.h"

#define DOMAIN_OUT_TARGET_US (3 * H_S)
#define DOMAIN_OUT_US (20 * H_S)
#define CONTRACT_TARGET_US (6 * H_S)
#define OLD_LIMIT 1000
#define NEW_LIMIT 700
#define LIMIT 20
#define LIMIT_POSTERS 120
#define LIMIT_INTERVAL_US (50 * H_MS)
#define SAMPLE_US H_MS
#define SAMPLES 3000

/* A failure domain is taken out by an order in the store, under load.  */
uint64_t
scenario_domain_out (enum deployment_kind kind,
                     const struct harness_settings *settings)
{
  const unsigned domain = 1;
  struct deployment *d = scenario_start (kind, settings);
  int64_t limit_us = harness_now_us (d->h) + DOMAIN_OUT_TARGET_US;
  uint64_t receivers;

  harness_order_domain (d->h, domain, true);
  deployment_run (d, DOMAIN_OUT_US);
  receivers = deployment_count_receivers (d, domain, limit_us);
  deployment_delete (d);
  return receivers;
}

/* The contract changes, and then the store is restored with the
   old contract.  */
uint64_t
scenario_store_restore (enum deployment_kind kind,
                        const struct harness_settings *settings)
{
  struct deployment *d = scenario_start (kind, settings);
  char *json = deployment_make_contract (d, OLD_LIMIT);
  uint64_t revision = harness_put_contract (d->h, json);
  uint64_t missing;

  deployment_run (d, CONTRACT_TARGET_US);
  deployment_put_limit (d, NEW_LIMIT);
  deployment_run (d, CONTRACT_TARGET_US);
  missing = deployment_count_without_limit (d, NEW_LIMIT);
  harness_restore_contract (d->h, json, revision);
  deployment_run (d, CONTRACT_TARGET_US);
  missing += deployment_count_without_limit (d, NEW_LIMIT);
  g_free (json);
  deployment_delete (d);
  return missing;
}

/* Requests that the agents of the desk service execute or queue.  */
static uint64_t
count_in_flight_ (const struct deployment *d)
{
  uint64_t n = 0;
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    if (d->desk_agents[i]->alive)
      {
        const struct rgy_admission *a
            = rgy_agent_get_admission (d->desk_agents[i]->agent);

        n += rgy_admission_get_running (a) + rgy_admission_get_queued (a);
      }
  return n;
}

/* Callers send more requests at the same time than the limit allows, while an
   agent drains and a balancer is killed.  */
uint64_t
scenario_fleet_limit (enum deployment_kind kind,
                      const struct harness_settings *settings)
{
  const struct deployment_load load
      = { .posters = LIMIT_POSTERS, .interval_us = LIMIT_INTERVAL_US };
  struct deployment *d = deployment_new (kind, settings);
  uint64_t above = 0;
  unsigned i;

  deployment_put_limit (d, LIMIT);
  deployment_run (d, CONTRACT_TARGET_US);
  deployment_add_load (d, &load);
  for (i = 0; i < SAMPLES; i++)
    {
      if (i == SAMPLES / 4)
        harness_drain (d->h, d->desk_agents[2]);
      if (i == SAMPLES / 2)
        harness_kill (d->h, d->balancers[0]);
      deployment_run (d, SAMPLE_US);
      if (count_in_flight_ (d) > LIMIT)
        above++;
    }
  deployment_delete (d);
  return above;
}

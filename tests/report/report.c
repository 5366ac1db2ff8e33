/* Prints what the users measure, for both deployments and several kinds of
   trouble: broken flows, imbalance, and service; the product beside its
   baselines in one run.  */

#include <stdlib.h>
#include <string.h>

#include "deployment.h"

#define WATCHES 200
#define POSTERS 30
#define GETTERS 10
#define PERCENT 100.0

struct variant_
{
  const char *name;
  struct harness_settings settings;
};

static const struct variant_ variants_[] = {
  { "product", { 0 } },
  { "hash modulo n",
    { .modulo_steering = true,
      .without_lookup = true,
      .without_handover = true } },
  { "without earlier owners",
    { .without_lookup = true, .without_handover = true } },
  { "without slow start", { .without_cold_start = true } },
};

/* Scenarios.  */

static void
planned_change_ (struct deployment *d)
{
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i += 2)
    {
      harness_drain (d->h, d->desk_agents[i]);
      deployment_run (d, 15 * H_S);
      harness_restart (d->h, d->desk_agents[i], true);
      deployment_run (d, 15 * H_S);
    }
  harness_drain (d->h, d->balancers[0]);
  deployment_run (d, 10 * H_S);
  harness_restart (d->h, d->balancers[0], false);
  deployment_run (d, 10 * H_S);
}

static void
balancer_crash_ (struct deployment *d)
{
  harness_kill (d->h, d->balancers[1]);
  deployment_run (d, 20 * H_S);
  harness_restart (d->h, d->balancers[1], false);
  deployment_run (d, 20 * H_S);
}

static void
agent_crash_ (struct deployment *d)
{
  harness_kill (d->h, d->desk_agents[3]);
  deployment_run (d, 20 * H_S);
  harness_restart (d->h, d->desk_agents[3], true);
  deployment_run (d, 60 * H_S);
}

/* A balancer hears nothing of the others while agents drain and return.  */
static void
uneven_updates_ (struct deployment *d)
{
  unsigned i;

  for (i = 0; i < 2; i++)
    {
      harness_cut (d->h, d->balancers[i], d->balancers[2], true);
      harness_cut (d->h, d->balancers[2], d->balancers[i], true);
    }
  harness_drain (d->h, d->desk_agents[1]);
  deployment_run (d, 10 * H_S);
  harness_restart (d->h, d->desk_agents[1], true);
  deployment_run (d, 10 * H_S);
  for (i = 0; i < 2; i++)
    {
      harness_cut (d->h, d->balancers[i], d->balancers[2], false);
      harness_cut (d->h, d->balancers[2], d->balancers[i], false);
    }
  deployment_run (d, 20 * H_S);
}

static void
store_outage_ (struct deployment *d)
{
  harness_set_store_down (d->h, true);
  deployment_run (d, 10 * H_S);
  harness_drain (d->h, d->desk_agents[2]);
  deployment_run (d, 15 * H_S);
  harness_restart (d->h, d->desk_agents[2], true);
  deployment_run (d, 15 * H_S);
  harness_set_store_down (d->h, false);
  deployment_run (d, 20 * H_S);
}

static void
domain_change_ (struct deployment *d)
{
  harness_order_domain (d->h, 1, true);
  deployment_run (d, 30 * H_S);
  harness_order_domain (d->h, 1, false);
  deployment_run (d, 60 * H_S);
}

struct scenario_
{
  const char *name;
  void (*run) (struct deployment *d);
};

static const struct scenario_ scenarios_[] = {
  { "planned change", planned_change_ },
  { "balancer crash", balancer_crash_ },
  { "agent crash", agent_crash_ },
  { "uneven updates", uneven_updates_ },
  { "store outage", store_outage_ },
  { "domain out and back", domain_change_ },
};

/* Requests still under way at the start of a scenario belong to it.  */
static uint64_t
count_ended_ (const struct caller_stats *s)
{
  return s->in_time + s->late + s->not_run + s->unknown;
}

static void
run_ (enum deployment_kind kind, const struct variant_ *variant,
      const struct scenario_ *scenario, uint64_t seed)
{
  const struct deployment_load load = { .watches = WATCHES,
                                        .posters = POSTERS,
                                        .getters = GETTERS,
                                        .interval_us = H_S };
  struct harness_settings settings = variant->settings;
  struct harness_totals before;
  struct harness_totals after;
  struct deployment *d;
  double steady;
  double service;
  uint64_t sent;
  uint64_t served;
  double last;
  int caller;

  settings.seed = seed;
  if (getenv ("RGY_TRACE") != NULL)
    settings.trace = stderr;
  d = deployment_new (kind, &settings);
  deployment_add_load (d, &load);
  steady = deployment_get_imbalance (d);
  before = harness_get_totals (d->h);
  scenario->run (d);
  last = deployment_get_imbalance (d);
  deployment_finish_load (d);
  after = harness_get_totals (d->h);
  sent = 0;
  served = 0;
  for (caller = CALLER_POST; caller <= CALLER_GET; caller++)
    {
      sent += after.sum[caller].requests - count_ended_ (&before.sum[caller]);
      served += after.sum[caller].in_time - before.sum[caller].in_time;
    }
  service = sent == 0 ? 0 : PERCENT * (double)served / (double)sent;
  printf (
      "%-12s %-20s %-23s %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT
      " %7.2f %7.2f %8.2f%% %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT
      " %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT "\n",
      deployment_string[kind], scenario->name, variant->name,
      after.sum[CALLER_WATCH].registrations
          - before.sum[CALLER_WATCH].registrations,
      after.sum[CALLER_WATCH].stale - before.sum[CALLER_WATCH].stale, steady,
      last, service,
      after.sum[CALLER_POST].unknown + after.sum[CALLER_GET].unknown
          - before.sum[CALLER_POST].unknown - before.sum[CALLER_GET].unknown,
      after.doubled, after.sum[CALLER_POST].false_not_run, after.violations);
  fflush (stdout);
  deployment_delete (d);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? g_ascii_strtoull (argv[1], NULL, 10) : 1;
  const char *only = argc > 2 ? argv[2] : NULL;
  size_t v;
  size_t s;
  int kind;

  printf ("seed %" G_GUINT64_FORMAT
          "; broken: sessions that had to register again; stale: sessions "
          "over 5 s behind;\nimbalance: flows, maximum over mean, before and "
          "after; service: answered within 5 s\n",
          seed);
  printf ("%-12s %-20s %-23s %6s %6s %7s %7s %9s %6s %6s %6s %6s\n",
          "deployment", "scenario", "variant", "broken", "stale", "steady",
          "after", "service", "unkn.", "double", "false", "overl.");
  for (kind = 0; kind < DEPLOYMENT_COUNT; kind++)
    for (s = 0; s < G_N_ELEMENTS (scenarios_); s++)
      for (v = 0; v < G_N_ELEMENTS (variants_); v++)
        if (only == NULL || strstr (scenarios_[s].name, only) != NULL)
          run_ ((enum deployment_kind)kind, &variants_[v], &scenarios_[s],
                seed);
  return 0;
}

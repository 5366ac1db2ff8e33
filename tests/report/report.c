/* Prints the figures that the users measure: broken sessions, imbalance and
   service.  For both deployments, each scenario of planned changes and faults
   runs with the product and with its baselines.  */

#include <stdlib.h>
#include <string.h>

#include "deployment.h"

#define WATCHES 200
#define POSTERS 30
#define GETTERS 10
#define PERCENT 100.0

/* The product, or a baseline with some mechanisms switched off.  */
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
  { "without previous owners",
    { .without_lookup = true, .without_handover = true } },
  { "without slow start", { .without_cold_start = true } },
};

/* Scenarios, run while the callers send requests.  */

/* Four agents and a balancer drain and return, one after the other.  */
static void
run_planned_change_ (struct deployment *d)
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
run_balancer_crash_ (struct deployment *d)
{
  harness_kill (d->h, d->balancers[1]);
  deployment_run (d, 20 * H_S);
  harness_restart (d->h, d->balancers[1], false);
  deployment_run (d, 20 * H_S);
}

static void
run_agent_crash_ (struct deployment *d)
{
  harness_kill (d->h, d->desk_agents[3]);
  deployment_run (d, 20 * H_S);
  harness_restart (d->h, d->desk_agents[3], true);
  deployment_run (d, 60 * H_S);
}

/* A balancer is partitioned from the other balancers while an agent drains
   and returns.  */
static void
run_uneven_updates_ (struct deployment *d)
{
  unsigned i;

  for (i = 0; i < 2; i++)
    {
      harness_set_partition (d->h, d->balancers[i], d->balancers[2], true);
      harness_set_partition (d->h, d->balancers[2], d->balancers[i], true);
    }
  harness_drain (d->h, d->desk_agents[1]);
  deployment_run (d, 10 * H_S);
  harness_restart (d->h, d->desk_agents[1], true);
  deployment_run (d, 10 * H_S);
  for (i = 0; i < 2; i++)
    {
      harness_set_partition (d->h, d->balancers[i], d->balancers[2], false);
      harness_set_partition (d->h, d->balancers[2], d->balancers[i], false);
    }
  deployment_run (d, 20 * H_S);
}

/* An agent drains and returns while the store is down.  */
static void
run_store_outage_ (struct deployment *d)
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

/* Operators take a failure domain out and put it back.  */
static void
run_domain_change_ (struct deployment *d)
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
  { "planned change", run_planned_change_ },
  { "balancer crash", run_balancer_crash_ },
  { "agent crash", run_agent_crash_ },
  { "uneven updates", run_uneven_updates_ },
  { "store outage", run_store_outage_ },
  { "domain out and back", run_domain_change_ },
};

/* Requests that have ended.  Requests that are outstanding when a scenario
   starts are left out here, and are counted in the scenario.  */
static uint64_t
count_ended_ (const struct caller_stats *s)
{
  return s->in_time + s->late + s->refused + s->unknown_outcomes;
}

static void
run_scenario_ (enum deployment_kind kind, const struct variant_ *variant,
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
  double steady_imbalance;
  double service_percent;
  uint64_t sent;
  uint64_t served;
  double final_imbalance;
  int caller_kind;

  settings.seed = seed;
  if (getenv ("RGY_TRACE") != NULL)
    settings.trace = stderr;
  d = deployment_new (kind, &settings);
  deployment_add_load (d, &load);
  steady_imbalance = deployment_get_imbalance (d);
  before = harness_get_totals (d->h);
  scenario->run (d);
  final_imbalance = deployment_get_imbalance (d);
  deployment_finish_load (d);
  after = harness_get_totals (d->h);
  sent = 0;
  served = 0;
  for (caller_kind = CALLER_POST; caller_kind <= CALLER_GET; caller_kind++)
    {
      sent += after.sum[caller_kind].requests
              - count_ended_ (&before.sum[caller_kind]);
      served
          += after.sum[caller_kind].in_time - before.sum[caller_kind].in_time;
    }
  service_percent = sent == 0 ? 0 : PERCENT * (double)served / (double)sent;
  printf ("%-12s %-20s %-23s %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT
          " %7.2f %7.2f %8.2f%% %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT
          " %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT "\n",
          deployment_string[kind], scenario->name, variant->name,
          after.sum[CALLER_WATCH].registrations
              - before.sum[CALLER_WATCH].registrations,
          after.sum[CALLER_WATCH].stale - before.sum[CALLER_WATCH].stale,
          steady_imbalance, final_imbalance, service_percent,
          after.sum[CALLER_POST].unknown_outcomes
              + after.sum[CALLER_GET].unknown_outcomes
              - before.sum[CALLER_POST].unknown_outcomes
              - before.sum[CALLER_GET].unknown_outcomes,
          after.repeated_records, after.sum[CALLER_POST].false_not_run,
          after.overloads);
  fflush (stdout);
  deployment_delete (d);
}

/* Usage: rgy-report [SEED [PATTERN]]; PATTERN is a part of scenario names.  */
int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? g_ascii_strtoull (argv[1], NULL, 10) : 1;
  const char *pattern = argc > 2 ? argv[2] : NULL;
  size_t v;
  size_t s;
  int kind;

  printf ("seed %" G_GUINT64_FORMAT
          "; broken: sessions that had to register again; stale: sessions "
          "without an update for over 5 s;\nimbalance: maximum over mean of "
          "the flows of an agent, before (steady) and after the scenario;\n"
          "service: share of requests answered within 5 s\n",
          seed);
  printf ("%-12s %-20s %-23s %6s %6s %7s %7s %9s %6s %6s %6s %6s\n",
          "deployment", "scenario", "variant", "broken", "stale", "steady",
          "after", "service", "unkn.", "double", "false", "overl.");
  for (kind = 0; kind < DEPLOYMENT_COUNT; kind++)
    for (s = 0; s < G_N_ELEMENTS (scenarios_); s++)
      for (v = 0; v < G_N_ELEMENTS (variants_); v++)
        if (pattern == NULL || strstr (scenarios_[s].name, pattern) != NULL)
          run_scenario_ ((enum deployment_kind)kind, &variants_[v],
                         &scenarios_[s], seed);
  return 0;
}

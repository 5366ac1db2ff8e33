#include "scarcity.h"

#include <math.h>

#include "ragwortyoke/clock.h"

#define S RGY_US_PER_S
#define MS RGY_US_PER_MS
/* Longest run relative to the mean, of the users' sheets.  */
#define LONGEST_RUN 6
#define LOSS_SHARE 0.0005
/* Interval at which the rates of a wave change.  */
#define STEP_US (100 * MS)
#define WAVE_US (4 * S)
/* Time between drain and end of a backend server in SIM_ZONE_EMPTIED.  */
#define DRAIN_US (300 * MS)

const char *const sim_pattern_string[] = {
  [SIM_OVERLOAD] = "overload",
  [SIM_DOMAIN_BURST] = "domain-burst",
  [SIM_SERVERS_GONE] = "servers-gone",
  [SIM_ZONE_EMPTIED] = "zone-emptied",
  [SIM_HALF_SLOW] = "half-slow",
  [SIM_UNEVEN] = "uneven",
  [SIM_WAVE] = "wave",
};

const struct sim_site sim_seitkali = {
  .name = "seitkali",
  .hosts = 34,
  .domains = 4,
  .slots = 3,
  .n_kinds = 2,
  .kinds
  = { { .port = 443,
        .requests_per_s = 1138,
        .terms = { .priority = 2,
                   .repeatable = true,
                   .goal_us = 250 * MS,
                   .limit_us = 2000 * MS },
        .run_us = 30 * MS,
        .longest_run = LONGEST_RUN,
        .fresh_share = 1 },
      { .port = 444,
        .requests_per_s = 325,
        .terms = { .priority = 1, .goal_us = 300 * MS, .limit_us = 2500 * MS },
        .run_us = 39 * MS,
        .longest_run = LONGEST_RUN,
        .fresh_share = 1 } }
};

const struct sim_site sim_bluemahoe = {
  .name = "bluemahoe",
  .hosts = 45,
  .domains = 3,
  .slots = 2,
  .n_kinds = 2,
  .kinds
  = { { .port = 443,
        .requests_per_s = 1000,
        .terms = { .priority = 2,
                   .repeatable = true,
                   .goal_us = 200 * MS,
                   .limit_us = 2000 * MS },
        .run_us = 13 * MS,
        .longest_run = LONGEST_RUN },
      { .port = 444,
        .requests_per_s = 286,
        .terms = { .priority = 1, .goal_us = 200 * MS, .limit_us = 2500 * MS },
        .run_us = 17 * MS,
        .longest_run = LONGEST_RUN } }
};

/* Speed of a backend server, 0 if it is gone, during the excess.  */
static double
get_speed_ (const struct sim_scarcity *s, size_t i)
{
  static const double uneven[] = { 0.7, 0.7, 1.7 };

  switch (s->pattern)
    {
    case SIM_SERVERS_GONE:
      return i % 5 < 2 ? 0 : 1;
    case SIM_ZONE_EMPTIED:
      return i % s->site->domains == 0 ? 0 : 1;
    case SIM_HALF_SLOW:
      return i % 2 == 0 ? 1.0 / 6 : 1;
    case SIM_UNEVEN:
      return uneven[i % G_N_ELEMENTS (uneven)];
    case SIM_OVERLOAD:
    case SIM_DOMAIN_BURST:
    case SIM_WAVE:
    case SIM_PATTERN_COUNT:
      break;
    }
  return 1;
}

/* Slots of all backend servers, weighed by their speeds in the excess.  */
static double
get_slots_ (const struct sim_scarcity *s)
{
  double sum = 0;
  size_t i;

  for (i = 0; i < s->agents; i++)
    sum += get_speed_ (s, i) * s->site->slots;
  return sum;
}

static double
get_rate_ (const struct sim_scarcity *s, size_t kind)
{
  return s->site->kinds[kind].requests_per_s * (double)s->agents
         / (double)s->site->hosts;
}

/* Slots that requests of a kind occupy on average.  */
static double
get_work_ (const struct sim_scarcity *s, size_t kind)
{
  return get_rate_ (s, kind) * (double)s->site->kinds[kind].run_us / S;
}

double
sim_scarcity_get_capacity (const struct sim_scarcity *s, size_t kind)
{
  return get_slots_ (s) * S / (double)s->site->kinds[kind].run_us;
}

/* Factor of kind 0 at which all kinds make this load.  */
static double
get_factor_ (const struct sim_scarcity *s, double load)
{
  double others = 0;
  size_t kind;

  for (kind = 1; kind < s->site->n_kinds; kind++)
    others += get_work_ (s, kind);
  return MAX (load * get_slots_ (s) - others, 0) / get_work_ (s, 0);
}

static double
get_wave_ (const struct sim_scarcity *s, double low, double high)
{
  double phase = (double)s->elapsed_us / WAVE_US;

  return low + (high - low) * (1 - cos (2 * G_PI * phase)) / 2;
}

/* Factor of the rate of a kind from a failure domain at this moment of the
   excess.  */
static double
get_rate_factor_ (const struct sim_scarcity *s, size_t kind, size_t domain)
{
  double load;

  switch (s->pattern)
    {
    case SIM_OVERLOAD:
      if (kind > 0)
        return 1;
      return s->factor > 0 ? s->factor : get_factor_ (s, s->load);
    case SIM_DOMAIN_BURST:
      return (kind > 0 ? 1 : get_factor_ (s, 0.8)) * (domain == 0 ? 5 : 1);
    case SIM_SERVERS_GONE:
    case SIM_ZONE_EMPTIED:
      return kind > 0 ? 1 : 2;
    case SIM_HALF_SLOW:
      return kind > 0 ? 1 : 5;
    case SIM_UNEVEN:
    case SIM_WAVE:
      load = get_wave_ (s, 0.4, s->pattern == SIM_WAVE ? 1.2 : 0.9);
      return kind > 0 ? 1 : get_factor_ (s, load);
    case SIM_PATTERN_COUNT:
      break;
    }
  return 1;
}

/* Sets the rates and returns the requests a second that the slots can
   serve.  Kinds with a higher index are more urgent.  */
static double
set_rates_ (const struct sim_scarcity *s, struct simulation *sim)
{
  double slots = get_slots_ (s);
  double possible = 0;
  size_t kind;
  size_t domain;

  for (kind = s->site->n_kinds; kind-- > 0;)
    {
      double run_s = (double)s->site->kinds[kind].run_us / S;
      double rate = 0;

      for (domain = 0; domain < s->site->domains; domain++)
        {
          double factor = get_rate_factor_ (s, kind, domain);

          sim_set_rate (sim, kind, domain, factor);
          rate += get_rate_ (s, kind) * factor / (double)s->site->domains;
        }
      rate = MIN (rate, slots / run_s);
      possible += rate;
      slots -= rate * run_s;
    }
  return possible;
}

struct simulation *
sim_scarcity_start (struct sim_scarcity *s)
{
  struct simulation *sim
      = sim_new (s->seed, s->balancers, s->agents, LOSS_SHARE);
  struct sim_load load = { .users = 300,
                           .retries = 2,
                           .slots = s->site->slots,
                           .queue = 8,
                           .cold_us = 2 * S,
                           .cold_factor = 1.6,
                           .n_kinds = s->site->n_kinds };
  size_t i;

  s->elapsed_us = 0;
  s->possible = 0;
  for (i = 0; i < s->site->n_kinds; i++)
    {
      load.kinds[i] = s->site->kinds[i];
      load.kinds[i].requests_per_s = get_rate_ (s, i);
    }
  for (i = 0; i < s->site->domains; i++)
    load.domain_share[i] = 1;
  sim_set_domains (sim, s->site->domains);
  sim_set_users (sim, &load);
  sim_start (sim);
  sim_run (sim, 2 * S);
  sim_begin_requests (sim);
  sim_run (sim, SIM_CALM_S * S);
  return sim;
}

static void
restart_domain_ (const struct sim_scarcity *s, struct simulation *sim,
                 size_t domain)
{
  size_t i;

  for (i = domain; i < s->agents; i += s->site->domains)
    sim_drain_backend (sim, i);
  sim_run (sim, DRAIN_US);
  for (i = domain; i < s->agents; i += s->site->domains)
    {
      sim_end_backend (sim, i, false);
      sim_start_backend (sim, i);
    }
}

void
sim_scarcity_begin (struct sim_scarcity *s, struct simulation *sim)
{
  size_t i;

  for (i = 0; i < s->agents; i++)
    switch (s->pattern)
      {
      case SIM_SERVERS_GONE:
        if (get_speed_ (s, i) <= 0)
          sim_end_backend (sim, i, true);
        break;
      case SIM_HALF_SLOW:
      case SIM_UNEVEN:
        sim_set_speed (sim, i, get_speed_ (s, i));
        break;
      case SIM_OVERLOAD:
      case SIM_DOMAIN_BURST:
      case SIM_ZONE_EMPTIED:
      case SIM_WAVE:
      case SIM_PATTERN_COUNT:
        break;
      }
  if (s->pattern != SIM_ZONE_EMPTIED)
    return;
  restart_domain_ (s, sim, 1);
  s->elapsed_us += DRAIN_US;
  sim_set_domain_out (sim, "poa-a");
}

void
sim_scarcity_run (struct sim_scarcity *s, struct simulation *sim, int64_t us)
{
  while (us > 0)
    {
      int64_t step_us = MIN (us, STEP_US);

      s->possible += set_rates_ (s, sim) * (double)step_us / S;
      sim_run (sim, step_us);
      s->elapsed_us += step_us;
      us -= step_us;
    }
}

void
sim_scarcity_end (const struct sim_scarcity *s, struct simulation *sim)
{
  size_t i;

  for (i = 0; i < s->site->n_kinds * s->site->domains; i++)
    sim_set_rate (sim, i / s->site->domains, i % s->site->domains, 1);
  for (i = 0; i < s->agents; i++)
    {
      if (s->pattern == SIM_SERVERS_GONE && get_speed_ (s, i) <= 0)
        sim_start_backend (sim, i);
      sim_set_speed (sim, i, 1);
    }
  if (s->pattern == SIM_ZONE_EMPTIED)
    sim_set_domain_out (sim, NULL);
}

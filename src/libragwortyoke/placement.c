#include "ragwortyoke/placement.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/* Highest load of a preferred backend server relative to the mean; above it, a
   flow is placed elsewhere.  The preferred servers of the own failure domain
   are kept that far because traffic between failure domains is charged for and
   adds a round trip.  */
#define MAX_LOAD_RATIO 1.25
/* Flows for each slot by which the load may exceed MAX_LOAD_RATIO times the
   mean, since the mean of few flows is not significant.  */
#define LOAD_SLACK 1.0
/* Share of its capacity that a cold backend server has: it works about 1.6
   times as long on a request.  */
#define COLD_CAPACITY_SHARE 0.6
/* A latency below this multiple of the median is regarded as variation.  */
#define SLOW_LATENCY_FACTOR 2.0
/* A slow backend server keeps at least this share of its capacity, so that its
   recovery is seen.  */
#define SLOW_CAPACITY_MIN_SHARE 0.1
/* Part of the latency goal by which an answer may be delayed at a server that
   has room, and its bounds: below the lower one a single queued request counts
   as no room, above the upper one callers notice the delay.  */
#define ROOM_GOAL_DIVISOR 8
#define ROOM_MIN_US 10000.0
#define ROOM_MAX_US 100000.0
/* Limit of the delay on a route without a latency goal.  */
#define ROOM_DEFAULT_US 25000.0
/* Range of the limit by flow, relative to the above: flows move one after the
   other while a delay grows, and back while it falls.  */
#define ROOM_SPREAD_FROM 0.5
#define ROOM_SPREAD_RANGE 1.0
/* Delay by which another failure domain must be better than the own one: the
   round trip between domains of one region.  */
#define DOMAIN_MARGIN_US 10000.0
/* Factor besides the margin when no server has room, since expected
   delays vary by about a quarter.  */
#define DOMAIN_MARGIN_FACTOR 1.25
/* Run times by which occupied slots count before requests wait: of a share U
   of the slots U * U / (OCCUPANCY_POLE - U), as random arrivals wait, up to a
   limit, so that a server that is several times slower stays the last
   choice.  */
#define OCCUPANCY_POLE 1.05
#define OCCUPANCY_MAX_RUNS 3.0
/* Weight of the flows on each slot, relative to their mean: while few requests
   come, flows are spread evenly, since each may bring more later.  */
#define FLOWS_WEIGHT 0.25
/* Range of slowness that is regarded as variation.  */
#define EVEN_SLOWNESS_FROM 0.8
#define EVEN_SLOWNESS_UNTIL 1.25
/* Part of failed requests from which on a server is avoided while others
   work.  */
#define AVOIDED_FAILED_SHARE 0.5
/* Factor by which a preferred server is more likely to be chosen when no
   server has room, since other balancers look there first for the flow.  */
#define PREFERRED_WEIGHT 4.0
/* Run time that is assumed while none was measured.  */
#define NOMINAL_RUN_US 10000.0
/* Least part of its flows that a server gets, so that its recovery is
   seen.  */
#define MIN_SHARE 0.01

const char *const rgy_placement_reason_string[] = {
  [RGY_PLACED_BY_FLOWS] = "flows",
  [RGY_PLACED_PREFERRED] = "preferred",
  [RGY_PLACED_DOMAIN] = "own-domain",
  [RGY_PLACED_OTHER_DOMAIN] = "other-domain",
  [RGY_PLACED_WITHOUT_ROOM] = "no-room",
};

/* Returns the lower median of @p samples, which are reordered; 0 if there are
   none.  Each step leaves the median between @c low and @c high, with no
   greater samples before and no smaller ones after, in a time that grows with
   the number of samples: the median is taken at each new flow.  */
static uint32_t
get_median_ (uint32_t *samples, size_t n)
{
  size_t wanted = n == 0 ? 0 : (n - 1) / 2;
  size_t low = 0;
  size_t high = n == 0 ? 0 : n - 1;

  if (n == 0)
    return 0;
  while (low < high)
    {
      uint32_t pivot = samples[low + (high - low) / 2];
      size_t i = low;
      size_t j = high;

      for (;;)
        {
          uint32_t sample;

          while (samples[i] < pivot)
            i++;
          while (samples[j] > pivot)
            j--;
          if (i >= j)
            break;
          sample = samples[i];
          samples[i++] = samples[j];
          samples[j--] = sample;
        }
      if (wanted <= j)
        high = j;
      else
        low = j + 1;
    }
  return samples[wanted];
}

static uint32_t
median_latency_ (const struct rgy_candidate *candidates, size_t count)
{
  uint32_t *samples = g_new (uint32_t, count);
  uint32_t median_us;
  size_t n = 0;
  size_t i;

  for (i = 0; i < count; i++)
    if (candidates[i].latency_us > 0)
      samples[n++] = candidates[i].latency_us;
  median_us = get_median_ (samples, n);
  g_free (samples);
  return median_us;
}

static uint32_t
median_run_ (const struct rgy_candidate *candidates, size_t count)
{
  uint32_t *samples = g_new (uint32_t, count);
  uint32_t median_us;
  size_t n = 0;
  size_t i;

  for (i = 0; i < count; i++)
    if (candidates[i].has_load && candidates[i].run_us > 0)
      samples[n++] = candidates[i].run_us;
  median_us = get_median_ (samples, n);
  g_free (samples);
  return median_us;
}

/* Returns the slots of a backend server, reduced while it is cold or slow.  */
static double
effective_slots_ (const struct rgy_candidate *candidate, uint32_t median_us)
{
  double slots = candidate->slots == 0 ? 1 : candidate->slots;
  double slow_us = SLOW_LATENCY_FACTOR * median_us;

  if (candidate->cold)
    slots *= COLD_CAPACITY_SHARE;
  if (median_us > 0 && candidate->latency_us > slow_us)
    slots *= MAX (SLOW_CAPACITY_MIN_SHARE, slow_us / candidate->latency_us);
  return slots;
}

/* The least loaded of the candidates considered so far.  */
struct least_loaded_
{
  size_t index;
  double load; /* Flows for each slot, with the new one.  */
};

static void
update_least_loaded_ (struct least_loaded_ *best,
                      const struct rgy_candidate *candidates, size_t count,
                      size_t i, double load)
{
  if (best->index != count
      && (load > best->load
          || (load >= best->load
              && candidates[i].tie_breaker
                     >= candidates[best->index].tie_breaker)))
    return;
  best->index = i;
  best->load = load;
}

size_t
rgy_placement_choose (const struct rgy_candidate *candidates, size_t count)
{
  uint32_t median_us = median_latency_ (candidates, count);
  struct least_loaded_ local = { .index = count };
  struct least_loaded_ preferred = { .index = count };
  struct least_loaded_ any = { .index = count };
  double flows = 0;
  double slots = 0;
  double limit;
  size_t i;

  for (i = 0; i < count; i++)
    {
      double effective = effective_slots_ (&candidates[i], median_us);
      double load = (candidates[i].flows + 1) / effective;

      flows += candidates[i].flows;
      slots += effective;
      update_least_loaded_ (&any, candidates, count, i, load);
      if (!candidates[i].preferred)
        continue;
      update_least_loaded_ (&preferred, candidates, count, i, load);
      if (candidates[i].same_domain)
        update_least_loaded_ (&local, candidates, count, i, load);
    }
  if (count == 0)
    return count;
  limit = MAX_LOAD_RATIO * flows / slots + LOAD_SLACK;
  if (local.index != count && local.load <= limit)
    return local.index;
  if (preferred.index != count && preferred.load <= limit)
    return preferred.index;
  return any.index;
}

/* Expectations of one candidate.  */
struct estimate_
{
  bool is_avoided;
  double delay_us; /* Expected wait, and the time by which the server is slower
                      than the median.  */
  double cost_us;  /* Expected time to the answer, with a term that grows with
                      the occupancy before requests wait.  */
  double room;     /* Requests that the server can take before its delay passes
                      the limit, by its share.  */
  double share;    /* Part of its usual flows that it gets.  */
};

/* Figures of all candidates, with which each one is compared.  */
struct reference_
{
  double run_us;
  double room_us;           /* Delay up to which a server has room.  */
  double requests_per_flow; /* Mean of the candidates with a known load.  */
  double flows_per_slot;
  uint32_t latency_us;
  bool any_works; /* Some candidate's requests do not fail.  */
};

static bool
fails_ (const struct rgy_candidate *candidate)
{
  return candidate->silent
         || (candidate->has_load
             && candidate->failed_share >= AVOIDED_FAILED_SHARE);
}

static struct reference_
make_reference_ (const struct rgy_candidate *candidates, size_t count,
                 int64_t goal_us)
{
  uint32_t run_us = median_run_ (candidates, count);
  struct reference_ reference
      = { .run_us = run_us > 0 ? run_us : NOMINAL_RUN_US,
          .room_us = goal_us > 0 ? CLAMP ((double)goal_us / ROOM_GOAL_DIVISOR,
                                          ROOM_MIN_US, ROOM_MAX_US)
                                 : ROOM_DEFAULT_US,
          .latency_us = median_latency_ (candidates, count) };
  double requests = 0;
  double flows = 0;
  double all_flows = 0;
  double all_slots = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      all_flows += candidates[i].flows;
      all_slots += MAX (candidates[i].slots, 1);
      reference.any_works = reference.any_works || !fails_ (&candidates[i]);
      if (!candidates[i].has_load)
        continue;
      requests += candidates[i].requests;
      flows += candidates[i].flows;
    }
  reference.requests_per_flow = requests / MAX (flows, 1);
  reference.flows_per_slot = MAX (all_flows, 1) / MAX (all_slots, 1);
  return reference;
}

/* Run times that a request is expected to take longer because of the requests
   on the slots, of which a share of @p occupied is taken.  */
static double
get_occupancy_runs_ (double occupied)
{
  return occupied >= 1
             ? OCCUPANCY_MAX_RUNS
             : MIN (occupied * occupied / (OCCUPANCY_POLE - occupied),
                    OCCUPANCY_MAX_RUNS);
}

/* Run time relative to the median.  Of a server without a known load only the
   latency is known, which includes waiting, so that the old rule holds.  */
static double
get_slowness_ (const struct rgy_candidate *candidate,
               const struct reference_ *reference)
{
  double slow_us = SLOW_LATENCY_FACTOR * reference->latency_us;

  if (candidate->slowness > EVEN_SLOWNESS_FROM
      && candidate->slowness < EVEN_SLOWNESS_UNTIL)
    return 1;
  if (candidate->slowness > 0)
    return candidate->slowness;
  return !candidate->has_load && slow_us > 0 && candidate->latency_us > slow_us
             ? candidate->latency_us / slow_us
             : 1;
}

static struct estimate_
estimate_ (const struct rgy_candidate *candidate,
           const struct reference_ *reference)
{
  double slots = MAX (candidate->slots, 1);
  double slowness = get_slowness_ (candidate, reference);
  double requests = candidate->has_load
                        ? candidate->requests
                        : candidate->flows * reference->requests_per_flow;
  double run_us = candidate->has_load && candidate->run_us > 0
                      ? candidate->run_us
                      : reference->run_us * slowness;
  double own_us = reference->run_us * slowness
                  / (candidate->cold ? COLD_CAPACITY_SHARE : 1);
  double wait_us = MAX (requests + 1 - slots, 0) * run_us / slots;
  double slow_us = MAX (own_us - reference->run_us, 0);
  double works = 1 - CLAMP (candidate->failed_share, 0, 1);
  struct estimate_ estimate
      = { .is_avoided = reference->any_works && fails_ (candidate),
          .delay_us = wait_us + slow_us,
          .share
          = CLAMP ((1 - candidate->distrust) * works * works, MIN_SHARE, 1) };

  estimate.cost_us = (wait_us
                      + own_us
                            * (1 + get_occupancy_runs_ (requests / slots)
                               + FLOWS_WEIGHT * candidate->flows / slots
                                     / reference->flows_per_slot))
                     / estimate.share;
  if (slow_us < reference->room_us)
    estimate.room = MAX (slots * (reference->room_us - slow_us) / run_us
                             + slots - requests,
                         0)
                    * estimate.share;
  return estimate;
}

/* Candidates and their estimates.  */
struct choice_
{
  const struct rgy_candidate *candidates;
  struct estimate_ *estimates;
  size_t count;
};

/* Returns the preferred server of the own failure domain with the least cost,
   or the number of candidates.  */
static size_t
find_preferred_ (const struct choice_ *choice)
{
  size_t best = choice->count;
  size_t i;

  for (i = 0; i < choice->count; i++)
    if (choice->candidates[i].preferred && choice->candidates[i].same_domain
        && !choice->estimates[i].is_avoided
        && (best == choice->count
            || choice->estimates[i].cost_us < choice->estimates[best].cost_us
            || (choice->estimates[i].cost_us <= choice->estimates[best].cost_us
                && choice->candidates[i].tie_breaker
                       < choice->candidates[best].tie_breaker)))
      best = i;
  return best;
}

/* Returns the least delay in the own failure domain; infinite if it has no
   candidate.  */
static double
get_domain_delay_us_ (const struct choice_ *choice)
{
  double least_us = INFINITY;
  size_t i;

  for (i = 0; i < choice->count; i++)
    if (choice->candidates[i].same_domain && !choice->estimates[i].is_avoided)
      least_us = MIN (least_us, choice->estimates[i].delay_us);
  return least_us;
}

/* Chooses a candidate with a probability in proportion to its weight, by the
   flow alone: the candidate with the least exponential variate of that rate.
   The variate grows with the rank, so that of equal candidates those of low
   rank are chosen, as for preferences.  */
static size_t
choose_weighted_ (const struct choice_ *choice, const double *weights)
{
  size_t best = choice->count;
  double best_variate = 0;
  size_t i;

  for (i = 0; i < choice->count; i++)
    {
      double uniform;
      double variate;

      if (weights[i] <= 0)
        continue;
      uniform = (double)(choice->candidates[i].tie_breaker >> 11) * 0x1p-53;
      variate = -log1p (-uniform) / weights[i];
      if (best != choice->count && variate >= best_variate)
        continue;
      best = i;
      best_variate = variate;
    }
  return best;
}

/* Chooses among the servers with room in the own failure domain, or in others
   that are better by the margin.  */
static size_t
choose_by_room_ (const struct choice_ *choice, bool in_domain,
                 bool only_preferred, double domain_delay_us)
{
  double *weights = g_new0 (double, choice->count);
  size_t chosen;
  size_t i;

  for (i = 0; i < choice->count; i++)
    {
      const struct rgy_candidate *candidate = &choice->candidates[i];

      if (choice->estimates[i].is_avoided
          || candidate->same_domain != in_domain
          || (only_preferred && !candidate->preferred)
          || (!in_domain
              && choice->estimates[i].delay_us + DOMAIN_MARGIN_US
                     >= domain_delay_us))
        continue;
      weights[i] = choice->estimates[i].room;
    }
  chosen = choose_weighted_ (choice, weights);
  g_free (weights);
  return chosen;
}

/* Chooses among all servers when none has room.  */
static size_t
choose_without_room_ (const struct choice_ *choice, double domain_delay_us)
{
  double *weights = g_new0 (double, choice->count);
  size_t chosen;
  size_t i;

  for (i = 0; i < choice->count; i++)
    {
      const struct rgy_candidate *candidate = &choice->candidates[i];
      double delay_us = choice->estimates[i].delay_us + DOMAIN_MARGIN_US;

      if (choice->estimates[i].is_avoided
          || (!candidate->same_domain
              && delay_us * DOMAIN_MARGIN_FACTOR >= domain_delay_us))
        continue;
      weights[i] = choice->estimates[i].share
                   * (candidate->preferred ? PREFERRED_WEIGHT : 1)
                   / (delay_us * delay_us);
    }
  chosen = choose_weighted_ (choice, weights);
  g_free (weights);
  return chosen;
}

static size_t
choose_estimated_ (const struct choice_ *choice, double room_us,
                   enum rgy_placement_reason *reason)
{
  size_t preferred = find_preferred_ (choice);
  double domain_delay_us;
  size_t chosen;

  *reason = RGY_PLACED_PREFERRED;
  if (preferred != choice->count
      && choice->estimates[preferred].delay_us <= room_us)
    return preferred;
  domain_delay_us = get_domain_delay_us_ (choice);
  *reason = RGY_PLACED_DOMAIN;
  chosen = choose_by_room_ (choice, true, false, domain_delay_us);
  if (chosen != choice->count)
    return chosen;
  *reason = RGY_PLACED_OTHER_DOMAIN;
  chosen = choose_by_room_ (choice, false, true, domain_delay_us);
  if (chosen == choice->count)
    chosen = choose_by_room_ (choice, false, false, domain_delay_us);
  if (chosen != choice->count)
    return chosen;
  *reason = RGY_PLACED_WITHOUT_ROOM;
  return choose_without_room_ (choice, domain_delay_us);
}

static bool
has_known_load_ (const struct rgy_candidate *candidates, size_t count)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (candidates[i].has_load)
      return true;
  return false;
}

static struct choice_
make_choice_ (const struct rgy_candidate *candidates, size_t count,
              const struct reference_ *reference)
{
  struct choice_ choice = { .candidates = candidates,
                            .estimates = g_new (struct estimate_, count),
                            .count = count };
  size_t i;

  for (i = 0; i < count; i++)
    choice.estimates[i] = estimate_ (&candidates[i], reference);
  return choice;
}

struct rgy_placement
rgy_placement_choose_by_work (const struct rgy_candidate *candidates,
                              size_t count, int64_t goal_us,
                              uint64_t flow_hash)
{
  struct rgy_placement placement = { .index = count };
  struct reference_ reference;
  struct choice_ choice;
  double room_us;

  if (!has_known_load_ (candidates, count))
    {
      placement.index = rgy_placement_choose (candidates, count);
      return placement;
    }
  reference = make_reference_ (candidates, count, goal_us);
  choice = make_choice_ (candidates, count, &reference);
  room_us = reference.room_us
            * (ROOM_SPREAD_FROM
               + ROOM_SPREAD_RANGE * (double)(flow_hash >> 11) * 0x1p-53);
  placement.index = choose_estimated_ (&choice, room_us, &placement.reason);
  placement.has_load = true;
  if (placement.index != count)
    {
      placement.delay_us = choice.estimates[placement.index].delay_us;
      placement.has_room = placement.reason != RGY_PLACED_WITHOUT_ROOM;
    }
  g_free (choice.estimates);
  return placement;
}

size_t
rgy_placement_find_least_loaded (const struct rgy_candidate *candidates,
                                 size_t count, double *cost)
{
  bool has_load = has_known_load_ (candidates, count);
  struct reference_ reference = make_reference_ (candidates, count, 0);
  struct choice_ choice = make_choice_ (candidates, count, &reference);
  size_t best = count;
  size_t i;

  *cost = 0;
  for (i = 0; i < count; i++)
    {
      double load = has_load ? choice.estimates[i].cost_us
                             : (candidates[i].flows + 1)
                                   / effective_slots_ (&candidates[i],
                                                       reference.latency_us);

      if (choice.estimates[i].is_avoided || (best != count && load >= *cost))
        continue;
      best = i;
      *cost = load;
    }
  g_free (choice.estimates);
  return best;
}

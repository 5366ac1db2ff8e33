#include "ragwortyoke/placement.h"

#include <glib.h>
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
#define MEDIAN_SAMPLES_MAX 512

static int
compare_latencies_ (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

static uint32_t
median_latency_ (const struct rgy_candidate *candidates, size_t count)
{
  uint32_t samples[MEDIAN_SAMPLES_MAX];
  size_t n = 0;
  size_t i;

  for (i = 0; i < count && n < MEDIAN_SAMPLES_MAX; i++)
    if (candidates[i].latency_us > 0)
      samples[n++] = candidates[i].latency_us;
  if (n == 0)
    return 0;
  qsort (samples, n, sizeof samples[0], compare_latencies_);
  return samples[(n - 1) / 2];
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

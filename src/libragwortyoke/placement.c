#include "ragwortyoke/placement.h"

#include <glib.h>
#include <stdlib.h>

/* The preferred backend servers of the own failure domain are left when they
   bear this much more than the mean: bytes between domains are priced and add
   a round trip.  */
#define LEAVE_FACTOR 1.25
/* Flows a slot above that, since the mean of few flows says little.  */
#define LEAVE_SLACK 1.0
/* A cold backend server works about 1.6 times as long on a request.  */
#define COLD_SHARE 0.6
/* Below this multiple of the median, a latency is taken for variation.  */
#define SLOW_MULTIPLE 2.0
/* A slow backend server keeps this share at least, so that its recovery is
   seen.  */
#define MIN_SLOW_SHARE 0.1
#define MAX_SAMPLES 512

static int
compare_ (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

static uint32_t
median_latency_ (const struct rgy_candidate *candidates, size_t count)
{
  uint32_t samples[MAX_SAMPLES];
  size_t n = 0;
  size_t i;

  for (i = 0; i < count && n < MAX_SAMPLES; i++)
    if (candidates[i].latency_us > 0)
      samples[n++] = candidates[i].latency_us;
  if (n == 0)
    return 0;
  qsort (samples, n, sizeof samples[0], compare_);
  return samples[(n - 1) / 2];
}

/* Slots, less what is lost while it is cold or slow.  */
static double
effective_slots_ (const struct rgy_candidate *candidate, uint32_t median_us)
{
  double slots = candidate->slots == 0 ? 1 : candidate->slots;
  double slow_us = SLOW_MULTIPLE * median_us;

  if (candidate->cold)
    slots *= COLD_SHARE;
  if (median_us > 0 && candidate->latency_us > slow_us)
    slots *= MAX (MIN_SLOW_SHARE, slow_us / candidate->latency_us);
  return slots;
}

/* The least loaded of some candidates.  */
struct best_
{
  size_t index;
  double load; /* Flows a slot with the new one.  */
};

static void
consider_ (struct best_ *best, const struct rgy_candidate *candidates,
           size_t count, size_t i, double load)
{
  if (best->index != count
      && (load > best->load
          || (load >= best->load
              && candidates[i].salt >= candidates[best->index].salt)))
    return;
  best->index = i;
  best->load = load;
}

size_t
rgy_placement_choose (const struct rgy_candidate *candidates, size_t count)
{
  uint32_t median_us = median_latency_ (candidates, count);
  struct best_ near = { .index = count };
  struct best_ preferred = { .index = count };
  struct best_ any = { .index = count };
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
      consider_ (&any, candidates, count, i, load);
      if (!candidates[i].preferred)
        continue;
      consider_ (&preferred, candidates, count, i, load);
      if (candidates[i].same_domain)
        consider_ (&near, candidates, count, i, load);
    }
  if (count == 0)
    return count;
  limit = LEAVE_FACTOR * flows / slots + LEAVE_SLACK;
  if (near.index != count && near.load <= limit)
    return near.index;
  if (preferred.index != count && preferred.load <= limit)
    return preferred.index;
  return any.index;
}

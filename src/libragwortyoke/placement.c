#include "ragwortyoke/placement.h"

#include <glib.h>
#include <stdlib.h>

/* Another failure domain must be this much less loaded: bytes between domains
   are priced and add a round trip.  */
#define OTHER_DOMAIN_FACTOR 1.3
/* One that the flow does not prefer must be this much less loaded: the flow is
   harder to find there.  */
#define NOT_PREFERRED_FACTOR 1.25
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

static double
score_ (const struct rgy_candidate *candidate, uint32_t median_us)
{
  double slots = candidate->slots == 0 ? 1 : candidate->slots;
  double slow_us = SLOW_MULTIPLE * median_us;
  double score;

  if (candidate->cold)
    slots *= COLD_SHARE;
  if (median_us > 0 && candidate->latency_us > slow_us)
    slots *= MAX (MIN_SLOW_SHARE, slow_us / candidate->latency_us);
  score = (candidate->flows + 1) / slots;
  if (!candidate->preferred)
    score *= NOT_PREFERRED_FACTOR;
  return candidate->same_domain ? score : score * OTHER_DOMAIN_FACTOR;
}

size_t
rgy_placement_choose (const struct rgy_candidate *candidates, size_t count)
{
  uint32_t median_us = median_latency_ (candidates, count);
  double best_score = 0;
  size_t best = count;
  size_t i;

  for (i = 0; i < count; i++)
    {
      double score = score_ (&candidates[i], median_us);

      if (best == count || score < best_score
          || (score <= best_score
              && candidates[i].salt < candidates[best].salt))
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}

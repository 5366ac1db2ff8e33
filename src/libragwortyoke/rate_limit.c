#include "ragwortyoke/limit.h"

#include <glib.h>
#include <math.h>

#include "ragwortyoke/clock.h"

/* Interval between two updates of demand and share, which are not updated for
   every packet.  */
#define UPDATE_INTERVAL_US (100 * RGY_US_PER_MS)
/* Time constant of the smoothed demand, about one exchange of reports.  */
#define DEMAND_TAU_US ((double)RGY_US_PER_S)
/* Part of the mean demand that is added to each instance's demand, so that an
   instance that starts to get traffic has a share before its demand is known
   to the others.  */
#define FLOOR_OF_MEAN 0.1
#define NAME_HASH_SEED 0

struct report_
{
  uint64_t instance; /* Hash of the instance's name.  */
  uint64_t demand_per_s;
  int64_t received_us;
  bool known; /* False until the first report.  */
};

struct rgy_rate_limit
{
  double rate_per_s;
  double burst_s;
  GArray *reports; /* Reports of the other live instances, sorted by
                      @c instance.  */
  bool started;
  bool share_is_outdated;
  int64_t refilled_us;
  int64_t updated_us; /* Time of the last update of demand and share.  */
  double amount_since_update; /* Amounts demanded since @c updated_us.  */
  double demand_per_s;
  double published_per_s; /* Demand in the report sent last.  */
  int64_t published_us;
  bool published;
  double share_per_s;
  double tokens; /* Tokens in the bucket; negative after an amount larger than
                    the burst.  */
};

struct rgy_rate_limit *
rgy_rate_limit_new (uint64_t rate_per_s, unsigned burst_ms)
{
  struct rgy_rate_limit *limit = g_new0 (struct rgy_rate_limit, 1);

  limit->rate_per_s = (double)rate_per_s;
  limit->burst_s = (double)burst_ms * RGY_US_PER_MS / RGY_US_PER_S;
  limit->reports = g_array_new (FALSE, TRUE, sizeof (struct report_));
  limit->share_is_outdated = true;
  return limit;
}

void
rgy_rate_limit_delete (struct rgy_rate_limit *limit)
{
  if (limit == NULL)
    return;
  g_array_unref (limit->reports);
  g_free (limit);
}

void
rgy_rate_limit_set_rate (struct rgy_rate_limit *limit, uint64_t rate_per_s)
{
  limit->rate_per_s = (double)rate_per_s;
  limit->share_is_outdated = true;
}

static int
compare_reports_ (const void *a, const void *b)
{
  uint64_t x = ((const struct report_ *)a)->instance;
  uint64_t y = ((const struct report_ *)b)->instance;

  return (x > y) - (x < y);
}

static struct report_ *
find_report_ (const GArray *reports, uint64_t instance)
{
  struct report_ key = { .instance = instance };
  guint index = 0;

  if (!g_array_binary_search ((GArray *)reports, &key, compare_reports_,
                              &index))
    return NULL;
  return &g_array_index (reports, struct report_, index);
}

/* Own demand as the other instances know it.  If the present demand were used,
   a rise of the demand everywhere at once would give every instance too large
   a share until the reports arrive.  */
static double
known_own_demand_ (const struct rgy_rate_limit *limit, int64_t now_us)
{
  if (!limit->published
      || now_us - limit->published_us > RGY_LIMIT_REPORT_MAX_AGE_US)
    return limit->demand_per_s;
  return limit->published_per_s;
}

/* Computes this instance's share of the rate from the known demands, see
   section 3.5 of the design.  */
static double
compute_share_ (const struct rgy_rate_limit *limit, int64_t now_us)
{
  double own = known_own_demand_ (limit, now_us);
  double known_sum = own;
  double instances = limit->reports->len + 1.0;
  double known = 1;
  double mean;
  guint i;

  for (i = 0; i < limit->reports->len; i++)
    {
      const struct report_ *r
          = &g_array_index (limit->reports, struct report_, i);

      if (!r->known || now_us - r->received_us > RGY_LIMIT_REPORT_MAX_AGE_US)
        continue;
      known_sum += (double)r->demand_per_s;
      known += 1;
    }
  mean = known_sum / known;
  if (mean <= 0)
    return limit->rate_per_s / instances;
  return limit->rate_per_s * (own + FLOOR_OF_MEAN * mean)
         / (instances * mean * (1 + FLOOR_OF_MEAN));
}

static double
burst_size_ (const struct rgy_rate_limit *limit)
{
  return limit->share_per_s * limit->burst_s;
}

static void
update_share_ (struct rgy_rate_limit *limit, int64_t now_us)
{
  limit->share_per_s = compute_share_ (limit, now_us);
  limit->tokens = MIN (limit->tokens, burst_size_ (limit));
  limit->share_is_outdated = false;
}

static void
refill_bucket_ (struct rgy_rate_limit *limit, int64_t now_us)
{
  double elapsed_us = (double)(now_us - limit->refilled_us);

  if (elapsed_us <= 0)
    return;
  limit->refilled_us = now_us;
  limit->tokens
      = MIN (limit->tokens + limit->share_per_s * elapsed_us / RGY_US_PER_S,
             burst_size_ (limit));
}

/* Refills the bucket and updates demand and share when they are due.  */
static void
update_limit_ (struct rgy_rate_limit *limit, int64_t now_us)
{
  double elapsed_us;

  if (!limit->started)
    {
      limit->started = true;
      limit->updated_us = now_us;
      limit->refilled_us = now_us;
      update_share_ (limit, now_us);
      limit->tokens = burst_size_ (limit);
      return;
    }
  refill_bucket_ (limit, now_us);
  if (limit->share_is_outdated)
    update_share_ (limit, now_us);
  if (now_us - limit->updated_us < UPDATE_INTERVAL_US)
    return;
  elapsed_us = (double)(now_us - limit->updated_us);
  limit->updated_us = now_us;
  limit->demand_per_s
      += (1 - exp (-elapsed_us / DEMAND_TAU_US))
         * (limit->amount_since_update * RGY_US_PER_S / elapsed_us
            - limit->demand_per_s);
  limit->amount_since_update = 0;
  update_share_ (limit, now_us);
}

bool
rgy_rate_limit_charge (struct rgy_rate_limit *limit, uint64_t amount,
                       int64_t now_us)
{
  double size = (double)amount;

  update_limit_ (limit, now_us);
  limit->amount_since_update += size;
  if (limit->rate_per_s <= 0)
    return true;
  /* An amount above the burst needs a full bucket and leaves the tokens
     negative; otherwise it could never pass.  */
  if (limit->tokens < MIN (size, burst_size_ (limit)))
    return false;
  limit->tokens -= size;
  return true;
}

uint64_t
rgy_rate_limit_publish_demand (struct rgy_rate_limit *limit, int64_t now_us)
{
  update_limit_ (limit, now_us);
  limit->published = true;
  limit->published_us = now_us;
  limit->published_per_s = limit->demand_per_s;
  return (uint64_t)llround (limit->demand_per_s);
}

uint64_t
rgy_rate_limit_peek_demand (struct rgy_rate_limit *limit, int64_t now_us)
{
  update_limit_ (limit, now_us);
  return (uint64_t)llround (limit->demand_per_s);
}

void
rgy_rate_limit_confirm_demand (struct rgy_rate_limit *limit, int64_t now_us)
{
  if (limit->published)
    limit->published_us = now_us;
}

void
rgy_rate_limit_record_demand (struct rgy_rate_limit *limit,
                              const struct rgy_name *instance,
                              uint64_t demand_per_s, int64_t now_us)
{
  struct report_ *r = find_report_ (limit->reports,
                                    rgy_name_hash (instance, NAME_HASH_SEED));

  if (r == NULL)
    return;
  r->demand_per_s = demand_per_s;
  r->received_us = now_us;
  r->known = true;
}

void
rgy_rate_limit_set_instances (struct rgy_rate_limit *limit,
                              const struct rgy_name *others, size_t count)
{
  GArray *reports
      = g_array_sized_new (FALSE, TRUE, sizeof (struct report_), (guint)count);
  size_t i;

  for (i = 0; i < count; i++)
    {
      struct report_ report
          = { .instance = rgy_name_hash (&others[i], NAME_HASH_SEED) };
      const struct report_ *old
          = find_report_ (limit->reports, report.instance);

      if (old != NULL)
        report = *old;
      g_array_append_val (reports, report);
    }
  g_array_sort (reports, compare_reports_);
  g_array_unref (limit->reports);
  limit->reports = reports;
  limit->share_is_outdated = true;
}

uint64_t
rgy_rate_limit_get_share (struct rgy_rate_limit *limit, int64_t now_us)
{
  update_limit_ (limit, now_us);
  return (uint64_t)llround (limit->share_per_s);
}

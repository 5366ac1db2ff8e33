#ifndef RAGWORTYOKE_LIMIT_H
#define RAGWORTYOKE_LIMIT_H

/**
 * @file
 * Contract limits over the whole fleet without coordination: a token bucket
 * with a share of a rate, and a count limit divided by exchanged usage.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/str.h"

/** Usage reports older than this count as the mean of the others.  */
#define RGY_LIMIT_REPORT_MAX_AGE_US INT64_C (5000000)

/* Rate limit: own share of a rate that several instances enforce.  */

struct rgy_rate_limit;

/**
 * @param rate_per_s  fleet-wide rate; 0 means unlimited.
 * @param burst_ms    burst allowance as time at the own share.
 */
struct rgy_rate_limit *rgy_rate_limit_new (uint64_t rate_per_s,
                                           unsigned burst_ms);
void rgy_rate_limit_delete (struct rgy_rate_limit *limit);
void rgy_rate_limit_set_rate (struct rgy_rate_limit *limit,
                              uint64_t rate_per_s);

/** Charge @p amount.  @return true when it fits.  Refused amounts count as
    demand too.  */
bool rgy_rate_limit_take (struct rgy_rate_limit *limit, uint64_t amount,
                          int64_t now_us);

/** Smoothed own demand a second, for publication.  The own share follows the
    value returned last, so it is to be called for every report, and only for
    a report that is sent.  */
uint64_t rgy_rate_limit_get_demand (struct rgy_rate_limit *limit,
                                    int64_t now_us);

/** Smoothed own demand a second, without publishing it.  */
uint64_t rgy_rate_limit_peek_demand (struct rgy_rate_limit *limit,
                                     int64_t now_us);

/** The report sent last still stands.  To be called at least every
    RGY_LIMIT_REPORT_MAX_AGE_US while the others hold that report; the own
    share would otherwise follow a demand that they do not know.  */
void rgy_rate_limit_keep_demand (struct rgy_rate_limit *limit, int64_t now_us);

/** Demand that another instance has published.  An instance that publishes
    nothing for this limit must be noted with 0 when its report arrives;
    otherwise it counts as the mean after RGY_LIMIT_REPORT_MAX_AGE_US.  */
void rgy_rate_limit_note_demand (struct rgy_rate_limit *limit,
                                 const struct rgy_name *instance,
                                 uint64_t demand_per_s, int64_t now_us);

/** Names of the other live instances; reports of others are dropped.  */
void rgy_rate_limit_set_instances (struct rgy_rate_limit *limit,
                                   const struct rgy_name *others,
                                   size_t count);

/** Own share of the rate, a second.  */
uint64_t rgy_rate_limit_get_share (struct rgy_rate_limit *limit,
                                   int64_t now_us);

/* Count limit: own part of a total that several agents enforce.

   Every agent has a reservation that its usage stays within, and publishes a
   claim, the reservation that it wants.  A lower claim takes effect at once. A
   higher one takes effect RGY_COUNT_LIMIT_SETTLE_US after its first
   publication, when it fits beside the last claims of all other agents and
   these are not older than RGY_COUNT_LIMIT_FRESH_US.  By then each of two
   agents that raise at the same time has seen the other's claim, so the
   reservations never sum to more than the limit, provided a report takes
   less than the difference of the two times to arrive.  */

/** Covers a lost report at one report every 500 ms.  */
#define RGY_COUNT_LIMIT_FRESH_US INT64_C (1200000)
#define RGY_COUNT_LIMIT_SETTLE_US INT64_C (1500000)

struct rgy_count_limit;

/** @param limit  fleet-wide count; 0 means unlimited.  */
struct rgy_count_limit *rgy_count_limit_new (uint64_t limit);
void rgy_count_limit_delete (struct rgy_count_limit *limit);
void rgy_count_limit_set_limit (struct rgy_count_limit *limit, uint64_t value);

/** Names of the other live agents; until it is called there are none and the
    whole limit may be used.  The claim of an agent that is no longer
    named stays charged for RGY_LIMIT_REPORT_MAX_AGE_US.  */
void rgy_count_limit_set_instances (struct rgy_count_limit *limit,
                                    const struct rgy_name *others,
                                    size_t count);

/** Claim to publish to the other agents, at least the usage.  To be called
    for every report, and only for a report that is sent.  */
uint64_t rgy_count_limit_get_claim (struct rgy_count_limit *limit,
                                    int64_t now_us);

/** Claim that another agent has published.  */
void rgy_count_limit_note_claim (struct rgy_count_limit *limit,
                                 const struct rgy_name *instance,
                                 uint64_t claim, int64_t now_us);

/** Count one more.  @return false when the own reservation is used up.  */
bool rgy_count_limit_take (struct rgy_count_limit *limit, int64_t now_us);
/** Count one more whatever the limit, for work admitted elsewhere.  */
void rgy_count_limit_force (struct rgy_count_limit *limit);
void rgy_count_limit_release (struct rgy_count_limit *limit);
uint64_t rgy_count_limit_get_usage (const struct rgy_count_limit *limit);

#endif

#ifndef RAGWORTYOKE_LIMIT_H
#define RAGWORTYOKE_LIMIT_H

/**
 * @file
 * Contract limits that hold for the whole fleet without coordination: a token
 * bucket that enforces a share of a rate, and a count limit that is divided by
 * the usage that the agents exchange.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/str.h"

/** A usage report older than this is replaced by the mean of
    the other reports.  */
#define RGY_LIMIT_REPORT_MAX_AGE_US INT64_C (5000000)

/* Rate limit: every instance enforces its own share of a fleet-wide rate.  */

struct rgy_rate_limit;

/**
 * Create a rate limit.
 *
 * @param rate_per_s  fleet-wide rate; 0 means unlimited.
 * @param burst_ms    burst size, as the time in which this instance's share
 *                    refills it.
 */
struct rgy_rate_limit *rgy_rate_limit_new (uint64_t rate_per_s,
                                           unsigned burst_ms);
void rgy_rate_limit_delete (struct rgy_rate_limit *limit);
void rgy_rate_limit_set_rate (struct rgy_rate_limit *limit,
                              uint64_t rate_per_s);

/** Charge @p amount to the token bucket.  Refused amounts count as demand too.
    @return true when the bucket has enough tokens.  */
bool rgy_rate_limit_charge (struct rgy_rate_limit *limit, uint64_t amount,
                            int64_t now_us);

/** Return this instance's smoothed demand per second, for a report to the
    other instances.  This instance's share is computed from the value
    returned last, so call this function for every report, and only for a
    report that is sent.  */
uint64_t rgy_rate_limit_publish_demand (struct rgy_rate_limit *limit,
                                        int64_t now_us);

/** Return this instance's smoothed demand per second without marking
    it as published.  */
uint64_t rgy_rate_limit_peek_demand (struct rgy_rate_limit *limit,
                                     int64_t now_us);

/** Mark the report sent last as still valid.  Call this function at least
    every RGY_LIMIT_REPORT_MAX_AGE_US while the other instances keep that
    report; otherwise this instance's share would follow a demand that they
    do not know.  */
void rgy_rate_limit_confirm_demand (struct rgy_rate_limit *limit,
                                    int64_t now_us);

/** Store the demand that another instance has published.  When the report of
    an instance has no entry for this limit, store 0 for it; otherwise the
    instance counts with the mean after RGY_LIMIT_REPORT_MAX_AGE_US.  */
void rgy_rate_limit_record_demand (struct rgy_rate_limit *limit,
                                   const struct rgy_name *instance,
                                   uint64_t demand_per_s, int64_t now_us);

/** Set the names of the other live instances; reports of any other instance
    are discarded.  */
void rgy_rate_limit_set_instances (struct rgy_rate_limit *limit,
                                   const struct rgy_name *others,
                                   size_t count);

/** Return this instance's share of the rate, per second.  */
uint64_t rgy_rate_limit_get_share (struct rgy_rate_limit *limit,
                                   int64_t now_us);

/* Count limit: every agent enforces its own part of a fleet-wide total.

   Every agent has a reservation that its usage stays within, and publishes a
   claim, which is the reservation that it needs.  A lower claim takes effect
   at once.  A higher claim takes effect RGY_COUNT_LIMIT_SETTLE_US after its
   first publication, if it fits beside the last claims of all other agents and
   none of these is older than RGY_COUNT_LIMIT_FRESH_US.  By then each of two
   agents that raise their claims at the same time has seen the other's claim,
   so the sum of the reservations never exceeds the limit, provided that a
   report arrives in less than the difference of the two times.  */

/** A claim stays fresh for this long: long enough for one lost report when a
    report is sent every 500 ms.  */
#define RGY_COUNT_LIMIT_FRESH_US INT64_C (1200000)
#define RGY_COUNT_LIMIT_SETTLE_US INT64_C (1500000)

struct rgy_count_limit;

/** @param limit  fleet-wide count; 0 means unlimited.  */
struct rgy_count_limit *rgy_count_limit_new (uint64_t limit);
void rgy_count_limit_delete (struct rgy_count_limit *limit);
void rgy_count_limit_set_limit (struct rgy_count_limit *limit, uint64_t value);

/** Set the names of the other live agents.  Until the first call there are
    none and the whole limit may be used.  The claim of an agent that is no
    longer named stays charged for RGY_LIMIT_REPORT_MAX_AGE_US.  */
void rgy_count_limit_set_instances (struct rgy_count_limit *limit,
                                    const struct rgy_name *others,
                                    size_t count);

/** Return the claim to publish to the other agents, which is at least the
    usage.  Call this function for every report, and only for a report
    that is sent.  */
uint64_t rgy_count_limit_publish_claim (struct rgy_count_limit *limit,
                                        int64_t now_us);

/** Store the claim that another agent has published.  */
void rgy_count_limit_record_claim (struct rgy_count_limit *limit,
                                   const struct rgy_name *instance,
                                   uint64_t claim, int64_t now_us);

/** Raise the usage by one.  @return false when this agent's reservation
    is used up.  */
bool rgy_count_limit_acquire (struct rgy_count_limit *limit, int64_t now_us);
/** Raise the usage by one regardless of the limit, for work that another agent
    has admitted.  */
void rgy_count_limit_force_acquire (struct rgy_count_limit *limit);
void rgy_count_limit_release (struct rgy_count_limit *limit);
uint64_t rgy_count_limit_get_usage (const struct rgy_count_limit *limit);

#endif

#ifndef RAGWORTYOKE_PRIVATE_ROUTE_TERMS_H
#define RAGWORTYOKE_PRIVATE_ROUTE_TERMS_H

/**
 * @file
 * Terms of the routes over which requests reach an agent, learned from the
 * balancers' manifest (docs/design/request-terms.md).  The table says which
 * routes to query and takes the answers; it sends nothing itself.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/stream_manifest.h"
#include "ragwortyoke/stream_message.h"

/** Maximum number of routes in a table.  A backend server gets requests over
    the routes of one service only; the users' largest deployments have 1,400
    routes in all.  */
#define RGY_ROUTE_TERMS_MAX 256
/** Maximum number of routes in a table whose terms no balancer has stated; as
    many as one query names.  */
#define RGY_ROUTE_TERMS_MAX_UNSTATED RGY_STREAM_MAX_TERMS

/** Time without an answer after which a query is repeated; above the round
    trip between failure domains on a loaded machine.  */
#define RGY_ROUTE_TERMS_REPEAT_US INT64_C (200000)

/** Effect of an answer on a route.  */
enum rgy_terms_effect
{
  RGY_TERMS_CONFIRMED, /**< The terms are the known ones, or the manifest still
                            lacks the route.  */
  RGY_TERMS_CHANGED,   /**< The terms have become known or have changed.  */
  RGY_TERMS_REMOVED,   /**< The manifest has lost the route; the terms stay in
                            force.  */
  RGY_TERMS_OLDER,     /**< Ignored: a later manifest has stated the terms.  */
  RGY_TERMS_NOT_ASKED, /**< Ignored: the route was not queried.  */
  RGY_TERMS_EFFECT_COUNT
};

extern const char *const rgy_terms_effect_string[];

struct rgy_route_terms;

/**
 * @param ttl_us  time since their last use after which terms may make room for
 *                those of another route; the time after which idle flows
 *                expire.
 * @param seed    number that differs between processes; spreads their
 *                queries.
 */
struct rgy_route_terms *rgy_route_terms_new (int64_t ttl_us, uint64_t seed);
void rgy_route_terms_delete (struct rgy_route_terms *table);

/** Record that a route is in use, and add it if the table lacks it.
    @return false if the table is full of routes in use.  */
bool rgy_route_terms_use (struct rgy_route_terms *table,
                          struct rgy_endpoint address, int64_t now_us);

/**
 * Get the terms of a route: the last ones stated, however old, also when the
 * manifest has lost the route since.  If none were stated: priority
 * RGY_PRIORITY_UNSTATED, the goal @p goal_us and no time limit.
 *
 * @return true if the terms were stated.
 */
bool rgy_route_terms_find (const struct rgy_route_terms *table,
                           struct rgy_endpoint address, int64_t goal_us,
                           struct rgy_request_terms *terms);

/** True if rgy_route_terms_take_queries() may return routes; two comparisons,
    since it is called for each segment.  */
bool rgy_route_terms_is_due (const struct rgy_route_terms *table,
                             int64_t now_us);

/**
 * Take the routes that are to be queried now, at most RGY_STREAM_MAX_TERMS:
 * routes without an answer, and routes in use whose last answer is about 2 s
 * old.  They count as queried from then on.
 *
 * @return number of routes in @p routes; often 0.
 */
size_t rgy_route_terms_take_queries (struct rgy_route_terms *table,
                                     struct rgy_endpoint *routes,
                                     int64_t now_us);

/** Record that no balancer can be queried now.  No query is due for the
   minimum time between two queries.  */
void rgy_route_terms_postpone (struct rgy_route_terms *table, int64_t now_us);

/**
 * Apply a balancer's answer on one route.
 *
 * @param terms   NULL if the balancer's manifest lacks the route.
 * @param age_us  receives the time since the last answer before this one that
 *                counted, or since the first use of the route.
 */
enum rgy_terms_effect
rgy_route_terms_apply (struct rgy_route_terms *table,
                       struct rgy_endpoint address,
                       const struct rgy_request_terms *terms, uint64_t version,
                       int64_t now_us, int64_t *age_us);

/** Latest manifest version among the answers that counted.  */
uint64_t
rgy_route_terms_get_newest_version (const struct rgy_route_terms *table);

/** Number of routes in the table.  */
size_t rgy_route_terms_count (const struct rgy_route_terms *table);

#endif

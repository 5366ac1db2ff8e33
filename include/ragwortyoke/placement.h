#ifndef RAGWORTYOKE_PLACEMENT_H
#define RAGWORTYOKE_PLACEMENT_H

/**
 * @file
 * Placement: choice of the backend server for a new flow.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A backend server on which a new flow may be placed.  */
struct rgy_candidate
{
  uint32_t slots;      /**< Concurrency limit of the server in requests.  */
  uint32_t flows;      /**< Open flows and flows that are being opened.  */
  uint32_t latency_us; /**< Mean time to the first answer; 0: unknown.  */
  bool cold;
  bool same_domain;     /**< Same failure domain as the balancer.  */
  bool preferred;       /**< Result of rgy_preference_has().  */
  uint64_t tie_breaker; /**< At equal loads the lowest value is chosen; differs
                           by flow.  */
};

/**
 * Choose the backend server for a new flow.  The first choice is the preferred
 * server of the balancer's own failure domain with the fewest flows for its
 * capacity, unless its load is clearly above the mean; then the least loaded
 * of all preferred servers, then of all servers.
 *
 * A slow or cold server counts as having fewer slots.  A server that has just
 * started gets only the flows that prefer it, not all new ones.
 *
 * @return an index, or @p count when there are no candidates.
 */
size_t rgy_placement_choose (const struct rgy_candidate *candidates,
                             size_t count);

/** Number of backend servers of one service that a flow prefers in each
    failure domain.  */
#define RGY_PREFERRED_PER_DOMAIN 3
/** Number of failure domains that preferences distinguish; in further domains
    no backend server is preferred.  */
#define RGY_PREFERENCE_DOMAINS 32

/**
 * Backend servers on which a new flow is placed unless they are loaded, and at
 * which a balancer that does not know an open flow starts its lookup.  They
 * follow from the flow and the set of backend servers alone, so that all
 * balancers agree on most of them.
 */
struct rgy_preference
{
  uint64_t flow_hash;
  size_t preferred_domain_count;
  struct
  {
    uint64_t domain;
    size_t n;
    uint32_t ips[RGY_PREFERRED_PER_DOMAIN];
    uint64_t ranks[RGY_PREFERRED_PER_DOMAIN]; /**< In ascending order.  */
  } domains[RGY_PREFERENCE_DOMAINS];
};

/** Initialise a preference without any backend servers.  */
void rgy_preference_init (struct rgy_preference *preference,
                          uint64_t flow_hash);

/** Add a backend server to the set; @p domain is a hash of the name of its
    failure domain.  */
void rgy_preference_add (struct rgy_preference *preference, uint64_t domain,
                         uint32_t ip);

/** @return the rank of a backend server for a flow; lower ranks come
    first.  */
uint64_t rgy_preference_rank (const struct rgy_preference *preference,
                              uint32_t ip);

/** @return true if the backend server is one of the preferred ones.  */
bool rgy_preference_has (const struct rgy_preference *preference,
                         uint64_t domain, uint32_t ip);

#endif

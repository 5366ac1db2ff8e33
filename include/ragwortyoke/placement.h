#ifndef RAGWORTYOKE_PLACEMENT_H
#define RAGWORTYOKE_PLACEMENT_H

/**
 * @file
 * Choice of the backend server for a new flow.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A backend server that may take a new flow.  */
struct rgy_candidate
{
  uint32_t slots;      /**< Requests that it works on at once.  */
  uint32_t flows;      /**< Open flows and those being opened.  */
  uint32_t latency_us; /**< Mean time to its first answer; 0 if unknown.  */
  bool cold;
  bool same_domain; /**< In the failure domain of the balancer.  */
  bool preferred;   /**< By rgy_preference_has().  */
  uint64_t salt;    /**< Breaks ties, evenly over all flows.  */
};

/**
 * Choose the backend server for a new flow: the preferred one of the own
 * failure domain with the fewest flows for what it can bear, unless it is
 * clearly above the mean; then of all preferred ones, then of all.
 *
 * A slow one counts as having fewer slots, a cold one as well.  One that has
 * just started gets only the flows that prefer it, not all new ones.
 *
 * @return an index, or @p count when there are none.
 */
size_t rgy_placement_choose (const struct rgy_candidate *candidates,
                             size_t count);

/** Backend servers of one service that a flow prefers in each failure
    domain.  */
#define RGY_PREFERRED_PER_DOMAIN 3
/** Failure domains that preferences distinguish; in others no backend server
   is preferred.  */
#define RGY_PREFERENCE_DOMAINS 32

/**
 * The backend servers to which a new flow goes unless they are loaded, and
 * where a balancer that does not know an open flow looks first.  They follow
 * from the flow and the set of backend servers alone, so that all balancers
 * agree on most of them.
 */
struct rgy_preference
{
  uint64_t flow_hash;
  size_t n_domains;
  struct
  {
    uint64_t domain;
    size_t n;
    uint32_t ips[RGY_PREFERRED_PER_DOMAIN];
    uint64_t ranks[RGY_PREFERRED_PER_DOMAIN]; /**< Ascending.  */
  } domains[RGY_PREFERENCE_DOMAINS];
};

/** Start with no backend servers.  */
void rgy_preference_init (struct rgy_preference *preference,
                          uint64_t flow_hash);

/** Take a backend server into account; @p domain is a hash of its failure
    domain's name.  */
void rgy_preference_offer (struct rgy_preference *preference, uint64_t domain,
                           uint32_t ip);

/** Place of a backend server in the order of a flow; the lowest come first. */
uint64_t rgy_preference_rank (const struct rgy_preference *preference,
                              uint32_t ip);

/** True for the preferred ones of those offered.  */
bool rgy_preference_has (const struct rgy_preference *preference,
                         uint64_t domain, uint32_t ip);

#endif

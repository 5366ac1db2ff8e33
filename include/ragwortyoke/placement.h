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
  uint32_t salt;    /**< Breaks ties, so that balancers differ.  */
};

/**
 * Choose the backend server with the fewest flows for what it can bear.
 *
 * A slow one counts as having fewer slots, a cold one as well; one in another
 * failure domain must be clearly less loaded.
 *
 * @return an index, or @p count when there are none.
 */
size_t rgy_placement_choose (const struct rgy_candidate *candidates,
                             size_t count);

#endif

#ifndef RAGWORTYOKE_ROLLUP_H
#define RAGWORTYOKE_ROLLUP_H

/**
 * @file
 * Roll-up of a failure domain's balancers in the key-value store.  A process
 * that knows no live balancer finds one there.
 */

#include <stddef.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

/** Largest number of balancers in a roll-up.  */
#define RGY_ROLLUP_MAX 8

struct rgy_rollup
{
  struct rgy_endpoint balancers[RGY_ROLLUP_MAX];
  size_t count;
};

/** Format a roll-up as JSON {"balancers":["A.B.C.D:PORT",...]}; free the
    result with g_free().  */
char *rgy_rollup_format (const struct rgy_rollup *rollup);

/** Parse the JSON form; endpoints beyond RGY_ROLLUP_MAX are ignored.
    @return RGY_OK or RGY_ERR_INVALID.  */
enum rgy_outcome rgy_rollup_parse (struct rgy_str json,
                                   struct rgy_rollup *rollup);

/** Add the endpoints of a roll-up that are not yet among @p seeds.  When the
    array is full, the oldest seeds are evicted.  */
void rgy_rollup_add_seeds (const struct rgy_rollup *rollup,
                           struct rgy_endpoint *seeds, size_t *count,
                           size_t max);

#endif

#ifndef STANDIN_READINESS_H
#define STANDIN_READINESS_H

/**
 * @file
 * Polls GET /readyz of a balancer.
 */

#include <stdbool.h>
#include <uv.h>

#include "ragwortyoke/address.h"

struct readiness;

/** Start to poll a balancer, which counts as not ready until its first
    answer. The poller runs until the process ends.
    @param http  HTTP endpoint of the balancer.
    @param on_changed  called when the readiness changes.  */
struct readiness *readiness_new (uv_loop_t *loop, struct rgy_endpoint http,
                                 void (*on_changed) (bool ready, void *ctx),
                                 void *ctx);

#endif

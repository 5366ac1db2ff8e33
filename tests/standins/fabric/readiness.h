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

/** @param changed  called when the answer changes.  */
struct readiness *readiness_new (uv_loop_t *loop, struct rgy_endpoint http,
                                 void (*changed) (bool ready, void *ctx),
                                 void *ctx);

#endif

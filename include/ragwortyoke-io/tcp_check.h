#ifndef RAGWORTYOKE_IO_TCP_CHECK_H
#define RAGWORTYOKE_IO_TCP_CHECK_H

/**
 * @file
 * Finds out whether a process listens at a TCP address, without a request.
 */

#include <uv.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"

/**
 * Result of a check.
 *
 * @param outcome  RGY_OK: something listens; RGY_ERR_NOT_FOUND: the connection
 *                 was refused; RGY_ERR_TIMEOUT or RGY_ERR_UNAVAILABLE:
 * unknown.
 */
typedef void (*rgy_tcp_check_fn) (enum rgy_outcome outcome, void *ctx);

/**
 * Connect to an address and close the connection.  @p fn is called once, later
 * and from @p loop, which must run until then.
 *
 * @param timeout_ms  limit of the connection attempt, in milliseconds.
 */
void rgy_tcp_check (uv_loop_t *loop, struct rgy_endpoint address,
                    unsigned timeout_ms, rgy_tcp_check_fn fn, void *ctx);

#endif

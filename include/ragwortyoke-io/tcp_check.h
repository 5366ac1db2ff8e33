#ifndef RAGWORTYOKE_IO_TCP_CHECK_H
#define RAGWORTYOKE_IO_TCP_CHECK_H

/**
 * @file
 * Checks whether a process listens at a TCP address, without sending data.
 */

#include <uv.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"

/**
 * Callback for the result of a check.
 *
 * @param outcome  RGY_OK: a process listens; RGY_ERR_NOT_FOUND: the connection
 *                 was refused; RGY_ERR_TIMEOUT or RGY_ERR_UNAVAILABLE: the
 *                 result is unknown.
 */
typedef void (*rgy_tcp_check_fn) (enum rgy_outcome outcome, void *ctx);

/**
 * Connect to an address and close the connection.  @p loop calls @p fn once,
 * after this function has returned, and must run until then.
 *
 * @param timeout_ms  timeout of the connection attempt.
 */
void rgy_tcp_check (uv_loop_t *loop, struct rgy_endpoint address,
                    unsigned timeout_ms, rgy_tcp_check_fn fn, void *ctx);

#endif

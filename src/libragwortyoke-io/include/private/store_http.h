#ifndef RAGWORTYOKE_IO_PRIVATE_STORE_HTTP_H
#define RAGWORTYOKE_IO_PRIVATE_STORE_HTTP_H

/**
 * @file
 * JSON calls over HTTP with the multi socket interface of libcurl on a libuv
 * loop.  Callbacks run from the loop, never from inside these functions.
 */

#include <jansson.h>
#include <uv.h>

#include "ragwortyoke/outcome.h"

struct rgy_store_http;
struct rgy_store_request;

/**
 * Callback for the result of a call.
 *
 * @param outcome  RGY_OK with a parsed @p answer of any HTTP @p status;
 *                 RGY_ERR_TIMEOUT, RGY_ERR_UNAVAILABLE or RGY_ERR_INVALID
 *                 with NULL.  A streamed answer that ends gives
 *                 RGY_ERR_UNAVAILABLE.
 * @param why      reason as a text for the log.
 */
typedef void (*rgy_store_done_fn) (enum rgy_outcome outcome, long status,
                                   const json_t *answer, const char *why,
                                   void *ctx);
/** Callback for one JSON object of a streamed answer.  */
typedef void (*rgy_store_line_fn) (const json_t *line, void *ctx);

/** Create an HTTP client.
    @param on_closed  called after rgy_store_http_delete(),
                      when all handles are closed.  */
struct rgy_store_http *
rgy_store_http_new (uv_loop_t *loop, void (*on_closed) (void *ctx), void *ctx);
/** Cancel all calls without their callbacks; @c on_closed is called once all
    handles are closed.  */
void rgy_store_http_delete (struct rgy_store_http *http);

/** Start a call; takes ownership of @p body.  @p line is NULL unless the
    answer is streamed; @p timeout_ms 0 means no timeout.  */
struct rgy_store_request *
rgy_store_http_post (struct rgy_store_http *http, const char *url,
                     json_t *body, long timeout_ms, rgy_store_line_fn line,
                     rgy_store_done_fn done, void *ctx);
/** Cancel a call without its callbacks; NULL is allowed.  */
void rgy_store_http_cancel (struct rgy_store_request *request);

#endif

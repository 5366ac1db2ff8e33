#ifndef RAGWORTYOKE_IO_PRIVATE_STORE_HTTP_H
#define RAGWORTYOKE_IO_PRIVATE_STORE_HTTP_H

/**
 * @file
 * JSON calls over HTTP: libcurl's multi socket interface on a libuv loop.
 * Callbacks run from the loop, never from inside a call.
 */

#include <jansson.h>
#include <uv.h>

#include "ragwortyoke/outcome.h"

struct rgy_store_http;
struct rgy_store_request;

/**
 * End of a call.
 *
 * @param outcome  RGY_OK with a parsed @p answer of any HTTP @p status;
 *                 RGY_ERR_TIMEOUT, RGY_ERR_UNAVAILABLE or RGY_ERR_INVALID
 *                 with NULL.  A stream ends with RGY_ERR_UNAVAILABLE.
 * @param why      text for the log.
 */
typedef void (*rgy_store_done_fn) (enum rgy_outcome outcome, long status,
                                   const json_t *answer, const char *why,
                                   void *ctx);
/** One JSON object of a streamed answer.  */
typedef void (*rgy_store_line_fn) (const json_t *line, void *ctx);

struct rgy_store_http *
rgy_store_http_new (uv_loop_t *loop, void (*on_closed) (void *ctx), void *ctx);
/** Drops all calls without their callbacks; @c on_closed runs once all
    handles are closed.  */
void rgy_store_http_delete (struct rgy_store_http *http);

/** Start a call; takes over @p body.  @p line is NULL unless the answer is
    streamed; @p timeout_ms 0 means no time-out.  */
struct rgy_store_request *
rgy_store_http_post (struct rgy_store_http *http, const char *url,
                     json_t *body, long timeout_ms, rgy_store_line_fn line,
                     rgy_store_done_fn done, void *ctx);
/** Drop a call without its callbacks; NULL is allowed.  */
void rgy_store_http_cancel (struct rgy_store_request *request);

#endif

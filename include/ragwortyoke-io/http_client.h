#ifndef RAGWORTYOKE_IO_HTTP_CLIENT_H
#define RAGWORTYOKE_IO_HTTP_CLIENT_H

/**
 * @file
 * HTTP/1.1 client for one server on a libuv loop.  A client has one persistent
 * connection and one call at a time; each call has a timeout.
 */

#include <uv.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

struct rgy_http_client;

/**
 * Callback for the result of a call.
 *
 * @param outcome  RGY_OK with a complete response; RGY_ERR_TIMEOUT;
 *                 RGY_ERR_UNAVAILABLE when the connection failed, in which
 *                 case the server may still have executed the call;
 *                 RGY_ERR_INVALID for a malformed or oversized response.
 * @param status   HTTP status when @p outcome is RGY_OK.
 * @param body     response body; valid during the callback.
 */
typedef void (*rgy_http_client_fn) (enum rgy_outcome outcome, unsigned status,
                                    struct rgy_bytes body, void *ctx);

/** Create a client.
    @param loop    must outlive the client.
    @param server  the first call connects to it.  */
struct rgy_http_client *rgy_http_client_new (uv_loop_t *loop,
                                             struct rgy_endpoint server);

/** Record the values of a header of the responses.
    @param name  a static string.  */
void rgy_http_client_record_header (struct rgy_http_client *client,
                                    const char *name);

/** Value of the recorded header in the response that the callback receives;
    empty if the response has none, the values with commas between them if it
    has several.  Valid during the callback.  */
struct rgy_str
rgy_http_client_get_header (const struct rgy_http_client *client);

/** Cancel the call in progress without its callback,
    and close the connection.  */
void rgy_http_client_delete (struct rgy_http_client *client);

/** Cancel the call in progress, if any, without its callback, and close its
    connection.  The client can be used further.  */
void rgy_http_client_cancel (struct rgy_http_client *client);

/** True while a call is in progress.  */
bool rgy_http_client_is_busy (const struct rgy_http_client *client);

/**
 * Start a call; no other call may be in progress.
 *
 * @param target      path and query, already escaped.
 * @param body        JSON; empty for none.  Copied.
 * @param timeout_ms  timeout of the whole call, including the connection
 *                    setup.
 */
void rgy_http_client_call (struct rgy_http_client *client, const char *method,
                           const char *target, struct rgy_bytes body,
                           unsigned timeout_ms, rgy_http_client_fn fn,
                           void *ctx);

#endif

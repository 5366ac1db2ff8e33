#ifndef RAGWORTYOKE_IO_HTTP_H
#define RAGWORTYOKE_IO_HTTP_H

/**
 * @file
 * Small HTTP server (http-parser) on a libuv loop.  The handler runs in the
 * thread of the loop.
 */

#include <stdint.h>
#include <uv.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/str.h"

/** Largest request body; a larger body is answered with status 413.  */
#define RGY_HTTP_MAX_BODY_BYTES (64 * 1024)

/** Request; its members are valid during the call of the handler.  */
struct rgy_http_request
{
  const char *method;
  const char *path;
  const char *authorization; /**< Value of the Authorization header, or
                                NULL when there is none.  */
  struct rgy_bytes body;
  void *query; /**< Read by rgy_http_request_get_query().  */
};

/** Value of a query argument, or NULL when the request
    has no argument of this name.  */
const char *rgy_http_request_get_query (const struct rgy_http_request *request,
                                        const char *name);

/** Response, filled in by the handler.  */
struct rgy_http_response
{
  unsigned status;
  const char *content_type; /**< Static text, or NULL.  */
  char *header; /**< One more header, "NAME: VALUE"; the server frees it with
                     g_free(); may be NULL.  */
  char *body;   /**< The server frees it with g_free(); may be NULL.  */
};

/** Callback that answers one request.  */
typedef void (*rgy_http_handler_fn) (const struct rgy_http_request *request,
                                     struct rgy_http_response *response,
                                     void *ctx);

struct rgy_http;

/** Start a server.
    @param endpoint  port 0 binds a free port.
    @return NULL when the endpoint cannot be bound.  */
struct rgy_http *rgy_http_new (uv_loop_t *loop, struct rgy_endpoint endpoint,
                               rgy_http_handler_fn handle, void *ctx);

/** Port to which the server is bound.  */
uint16_t rgy_http_get_port (const struct rgy_http *http);

/** Stop the server and close all connections.  The loop must run once more to
    release the handles.  Must not be called from within the handler.  */
void rgy_http_delete (struct rgy_http *http);

#endif

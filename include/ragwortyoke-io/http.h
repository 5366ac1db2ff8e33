#ifndef RAGWORTYOKE_IO_HTTP_H
#define RAGWORTYOKE_IO_HTTP_H

/**
 * @file
 * Small HTTP endpoint of a process (http-parser) on a libuv loop, in the
 * loop's own thread.
 */

#include <stdint.h>
#include <uv.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/str.h"

#define RGY_HTTP_MAX_BODY_BYTES (64 * 1024)

struct rgy_http_request
{
  const char *method;
  const char *path;
  const char *authorization; /**< Header value or NULL.  */
  struct rgy_bytes body;
  void *query; /**< For rgy_http_request_get_query().  */
};

/** Value of a query argument, or NULL.  */
const char *rgy_http_request_get_query (const struct rgy_http_request *request,
                                        const char *name);

struct rgy_http_response
{
  unsigned status;
  const char *content_type; /**< Static text, or NULL.  */
  char *body; /**< Freed with g_free() by the server; may be NULL.  */
};

typedef void (*rgy_http_fn) (const struct rgy_http_request *request,
                             struct rgy_http_response *response, void *ctx);

struct rgy_http;

/** @param endpoint  port 0 binds a free port.
    @return NULL when the endpoint cannot be bound.  */
struct rgy_http *rgy_http_new (uv_loop_t *loop, struct rgy_endpoint endpoint,
                               rgy_http_fn handle, void *ctx);

/** Port that is bound.  */
uint16_t rgy_http_get_port (const struct rgy_http *http);

/** Close all connections.  The loop must run once more to release the handles.
    Must not be called from within the handler.  */
void rgy_http_delete (struct rgy_http *http);

#endif

#ifndef RAGWORTYOKE_IO_SYNC_H
#define RAGWORTYOKE_IO_SYNC_H

/**
 * @file
 * Bulk state transfer between processes: ZeroMQ ROUTER and DEALER sockets
 * on a libuv loop.
 */

#include <glib.h>
#include <stdint.h>
#include <uv.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

/** Largest request and largest frame of an answer; ZeroMQ closes a connection
    that sends a larger one.  */
#define RGY_SYNC_MAX_FRAME_BYTES (16 * 1024 * 1024)

struct rgy_sync_server;

/** Answer one request: append frames (GByteArray) to @p frames, which owns
    them.  An answer without frames is valid; one with a frame above
    RGY_SYNC_MAX_FRAME_BYTES is not sent.  Must not delete the server.  */
typedef void (*rgy_sync_serve_fn) (struct rgy_bytes request, GPtrArray *frames,
                                   void *ctx);

/** @return NULL when the endpoint cannot be bound, with @p why set to a
    static text.  */
struct rgy_sync_server *rgy_sync_server_new (uv_loop_t *loop,
                                             struct rgy_endpoint endpoint,
                                             rgy_sync_serve_fn serve,
                                             void *ctx, const char **why);
/** Closes the sockets at once; the loop must run once more to release the
    handles.  */
void rgy_sync_server_delete (struct rgy_sync_server *server);

struct rgy_sync_client;

/** End of a request: RGY_OK with each frame of the answer, or
    RGY_ERR_TIMEOUT with @p count 0.  The frames are valid during the call.
    It may start the next request or delete the client.  */
typedef void (*rgy_sync_done_fn) (enum rgy_outcome outcome,
                                  struct rgy_endpoint peer,
                                  const struct rgy_bytes *frames, size_t count,
                                  void *ctx);

/** @param timeout_ms  a connection without an answer for this long is closed
                       and the request fails.  */
struct rgy_sync_client *rgy_sync_client_new (uv_loop_t *loop,
                                             unsigned timeout_ms,
                                             rgy_sync_done_fn done, void *ctx);
/** Ends the requests under way without a call of the done function, and
    closes the sockets at once; the loop must run once more to release the
    handles.  */
void rgy_sync_client_delete (struct rgy_sync_client *client);

/** Ask a peer; one request a peer at a time.
    @return RGY_OK, RGY_ERR_CONFLICT (one is under way), RGY_ERR_INVALID (no
    address or port, or a request above RGY_SYNC_MAX_FRAME_BYTES) or
    RGY_ERR_UNAVAILABLE (no socket).  */
enum rgy_outcome rgy_sync_client_request (struct rgy_sync_client *client,
                                          struct rgy_endpoint peer,
                                          struct rgy_bytes request);

#endif

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

/** Largest request and largest frame of an answer.  ZeroMQ closes a connection
    that sends a larger frame.  */
#define RGY_SYNC_MAX_FRAME_BYTES (16 * 1024 * 1024)

struct rgy_sync_server;

/** Callback that answers one request by appending frames (GByteArray) to
    @p frames, which owns them.  An answer without frames is valid; an answer
    with a frame above RGY_SYNC_MAX_FRAME_BYTES is not sent.  The callback must
    not delete the server.  */
typedef void (*rgy_sync_serve_fn) (struct rgy_bytes request, GPtrArray *frames,
                                   void *ctx);

/** Start a server.  @return NULL when the endpoint cannot be bound, with
    @p why set to a static text.  */
struct rgy_sync_server *rgy_sync_server_new (uv_loop_t *loop,
                                             struct rgy_endpoint endpoint,
                                             rgy_sync_serve_fn serve,
                                             void *ctx, const char **why);
/** Close the sockets immediately.  The loop must run once more
    to release the handles.  */
void rgy_sync_server_delete (struct rgy_sync_server *server);

struct rgy_sync_client;

/** Callback for the result of a request: RGY_OK with the frames of the answer,
    or RGY_ERR_TIMEOUT with @p count 0.  The frames are valid during the
    callback, which may start the next request or delete the client.  */
typedef void (*rgy_sync_done_fn) (enum rgy_outcome outcome,
                                  struct rgy_endpoint peer,
                                  const struct rgy_bytes *frames, size_t count,
                                  void *ctx);

/** Create a client.
    @param timeout_ms  when no answer arrives within this time, the connection
                       is closed and the request fails.  */
struct rgy_sync_client *rgy_sync_client_new (uv_loop_t *loop,
                                             unsigned timeout_ms,
                                             rgy_sync_done_fn done, void *ctx);
/** Cancel the requests in progress without their callbacks,
    and close the sockets immediately.  The loop must run once more
    to release the handles.  */
void rgy_sync_client_delete (struct rgy_sync_client *client);

/** Send a request to a peer; each peer has at most one request in progress.
    @return RGY_OK, RGY_ERR_CONFLICT (a request to the peer is in progress),
    RGY_ERR_INVALID (no address or port, or a request above
    RGY_SYNC_MAX_FRAME_BYTES) or RGY_ERR_UNAVAILABLE (no socket).  */
enum rgy_outcome rgy_sync_client_request (struct rgy_sync_client *client,
                                          struct rgy_endpoint peer,
                                          struct rgy_bytes request);

#endif

#ifndef RAGWORTYOKE_IO_UDP_H
#define RAGWORTYOKE_IO_UDP_H

/**
 * @file
 * UDP sockets on a libuv loop.
 */

#include <uv.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

/** Callback for a received datagram; @p data is valid during the callback.  */
typedef void (*rgy_udp_receive_fn) (struct rgy_endpoint from,
                                    struct rgy_bytes data, void *ctx);
/** Callback for a connected socket whose peer refused a datagram.  */
typedef void (*rgy_udp_refused_fn) (void *ctx);

struct rgy_udp;

/** Open a socket bound to @p endpoint.  @return NULL when the endpoint cannot
    be bound, with @p why set to a static text.  */
struct rgy_udp *rgy_udp_bind (uv_loop_t *loop, struct rgy_endpoint endpoint,
                              rgy_udp_receive_fn receive, void *ctx,
                              const char **why);

/** Open a socket connected to @p peer, with an ephemeral port of the loopback
    or outgoing address.  @return NULL when no socket can be opened.  */
struct rgy_udp *rgy_udp_connect (uv_loop_t *loop, struct rgy_endpoint peer,
                                 rgy_udp_receive_fn receive,
                                 rgy_udp_refused_fn refused, void *ctx);

/** Close a socket; its memory is freed once libuv has closed the handle.  */
void rgy_udp_delete (struct rgy_udp *udp);

/** Send a datagram; @p to is ignored on a connected socket.
    @return RGY_OK, RGY_ERR_FULL (the socket buffer is full and the datagram
    dropped) or RGY_ERR_UNAVAILABLE.  */
enum rgy_outcome rgy_udp_send (struct rgy_udp *udp, struct rgy_endpoint to,
                               struct rgy_bytes data);

#endif

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

/** A datagram arrived; @p data is valid during the call.  */
typedef void (*rgy_udp_receive_fn) (struct rgy_endpoint from,
                                    struct rgy_bytes data, void *ctx);
/** A connected socket was refused by its peer.  */
typedef void (*rgy_udp_refused_fn) (void *ctx);

struct rgy_udp;

/** Bind a socket.  @return NULL when the endpoint cannot be bound, with
    @p why set to a static text.  */
struct rgy_udp *rgy_udp_bind (uv_loop_t *loop, struct rgy_endpoint endpoint,
                              rgy_udp_receive_fn receive, void *ctx,
                              const char **why);

/** Socket connected to @p peer from an ephemeral port of the loopback or
    outgoing address.  @return NULL when none can be opened.  */
struct rgy_udp *rgy_udp_connect (uv_loop_t *loop, struct rgy_endpoint peer,
                                 rgy_udp_receive_fn receive,
                                 rgy_udp_refused_fn refused, void *ctx);

/** Close; the memory is freed once libuv has closed the handle.  */
void rgy_udp_delete (struct rgy_udp *udp);

/** Send a datagram; @p to is ignored on a connected socket.
    @return RGY_OK, RGY_ERR_FULL (socket buffer full: dropped) or
    RGY_ERR_UNAVAILABLE.  */
enum rgy_outcome rgy_udp_send (struct rgy_udp *udp, struct rgy_endpoint to,
                               struct rgy_bytes data);

#endif

#ifndef KV_SERVER_H
#define KV_SERVER_H

/**
 * @file
 * HTTP server of the key-value stand-in: calls, watches and fault switches.
 * The server is single-threaded: its owner polls kv_server_get_fd() for
 * reading and calls kv_server_run() when the descriptor is readable or the
 * time of kv_server_get_timeout_ms() has passed.
 */

#include "kv_api.h"
#include "ragwortyoke/address.h"

struct kv_server;

/** Start a server with an empty store.
    @param endpoint  address to listen on; port 0 chooses a free port.
    @return NULL when the endpoint cannot be bound.  */
struct kv_server *kv_server_new (struct rgy_endpoint endpoint);
void kv_server_delete (struct kv_server *server);

/** Address that the server listens on, with the port that was chosen.  */
struct rgy_endpoint kv_server_get_endpoint (const struct kv_server *server);
/** Descriptor to poll for reading; the server keeps ownership.  */
int kv_server_get_fd (const struct kv_server *server);
/** Milliseconds until kv_server_run() must be called; -1 for no limit.  */
int kv_server_get_timeout_ms (struct kv_server *server);
/** Serve all connections that are ready, expire leases and send the answers
    whose delay has passed.  */
void kv_server_run (struct kv_server *server);

/* Functions for tests that run the stand-in in their own process.  */

/** Run a call other than a watch without HTTP. The call is not counted and not
    subject to faults.
    @return the answer, owned by the caller.  */
json_t *kv_server_call (struct kv_server *server, enum kv_call call,
                        const json_t *request);
/** Set the fault switches of @p body, as POST /standin/faults does.
    @return NULL, or the error message; then no switch is changed.  */
const char *kv_server_set_faults (struct kv_server *server,
                                  const json_t *body);
/** Number of calls of one kind that were received over HTTP.  */
uint64_t kv_server_get_call_count (const struct kv_server *server,
                                   enum kv_call call);

#endif

#ifndef KV_SERVER_H
#define KV_SERVER_H

/**
 * @file
 * HTTP server of the key-value stand-in: calls, watches and fault switches.
 * Single-threaded; the owner polls kv_server_get_fd() for reading and calls
 * kv_server_run() when it is readable or after the time-out.
 */

#include "ragwortyoke/address.h"

struct kv_server;

/** @param endpoint  port 0 chooses a free port.
    @return NULL when the endpoint cannot be bound.  */
struct kv_server *kv_server_new (struct rgy_endpoint endpoint);
void kv_server_delete (struct kv_server *server);

struct rgy_endpoint kv_server_get_endpoint (const struct kv_server *server);
int kv_server_get_fd (const struct kv_server *server);
/** Milliseconds until kv_server_run() must be called; -1 for no limit.  */
int kv_server_get_timeout_ms (struct kv_server *server);
void kv_server_run (struct kv_server *server);

#endif

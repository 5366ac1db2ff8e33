#ifndef KV_SERVER_H
#define KV_SERVER_H

/**
 * @file
 * HTTP server of the key-value stand-in: calls, watches and fault switches.
 * Single-threaded; the owner polls kv_server_get_fd() for reading and calls
 * kv_server_run() when it is readable or after the time-out.
 */

#include "kv_api.h"
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

/* For tests that run the stand-in in their own process.  */

/** Run a call other than a watch without HTTP; not counted and not subject to
    faults.  @return the answer.  */
json_t *kv_server_call (struct kv_server *server, enum kv_call call,
                        const json_t *request);
/** @return NULL, or what is wrong with the switches.  */
const char *kv_server_set_faults (struct kv_server *server,
                                  const json_t *body);
/** Calls of a kind that came over HTTP.  */
uint64_t kv_server_get_calls (const struct kv_server *server,
                              enum kv_call call);

#endif

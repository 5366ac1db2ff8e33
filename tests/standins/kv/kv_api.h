#ifndef KV_API_H
#define KV_API_H

/**
 * @file
 * JSON calls of the key-value stand-in, in the form of etcd's gRPC gateway.
 */

#include <jansson.h>

#include "kv_store.h"

#define KV_MAX_REQUEST_BYTES (1536 * 1024)

/** Calls that the stand-in answers.  */
enum kv_call
{
  KV_CALL_RANGE,
  KV_CALL_PUT,
  KV_CALL_DELETERANGE,
  KV_CALL_TXN,
  KV_CALL_LEASE_GRANT,
  KV_CALL_LEASE_KEEPALIVE,
  KV_CALL_LEASE_REVOKE,
  KV_CALL_WATCH,
  KV_CALL_COUNT
};
/** HTTP path of each call.  */
extern const char *const kv_call_path[];
/** Name of each call in the answer to GET /standin/calls.  */
extern const char *const kv_call_name[];

/** Run one call other than a watch.
    @param now_us  monotonic time, from which leases are counted.
    @param status  receives the HTTP status.
    @return the answer, owned by the caller.  */
json_t *kv_api_call (struct kv_store *store, enum kv_call call,
                     const json_t *request, int64_t now_us, unsigned *status);

/** Response header with the cluster ID and the current revision of the store.
    @return an object owned by the caller.  */
json_t *kv_api_build_header (const struct kv_store *store);
/** Error answer with @p message.
    @param status  HTTP status, 400 or 404; also written to @p out.
    @return an object owned by the caller.  */
json_t *kv_api_build_error (unsigned status, const char *message,
                            unsigned *out);
/** Read the key interval of a range, deletion or watch request.
    @param interval  to be released with kv_interval_finish() on success.
    @return false when the request has no key.  */
bool kv_api_parse_interval (const json_t *request,
                            struct kv_interval *interval);
void kv_interval_finish (struct kv_interval *interval);
/** Value of a 64-bit member, which may be written as a string or a number; 0
    when the member is missing.  */
uint64_t kv_api_get_u64 (const json_t *object, const char *name);
/** Watch event for a pair of the event log.
    @return an object owned by the caller.  */
json_t *kv_api_build_event (const struct kv_pair *pair);

#endif

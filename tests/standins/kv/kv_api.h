#ifndef KV_API_H
#define KV_API_H

/**
 * @file
 * JSON requests and answers of the key-value stand-in.
 */

#include <jansson.h>

#include "kv_store.h"

#define KV_MAX_REQUEST_BYTES (1536 * 1024)

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
extern const char *const kv_call_path[];
extern const char *const kv_call_name[];

/** Run one call.  @return the answer; @p status is the HTTP status.  */
json_t *kv_api_call (struct kv_store *store, enum kv_call call,
                     const json_t *request, int64_t now_us, unsigned *status);

json_t *kv_api_header (const struct kv_store *store);
json_t *kv_api_error (unsigned status, const char *message, unsigned *out);
/** Interval of a watch or range request; false when it is malformed.  */
bool kv_api_interval (const json_t *request, struct kv_interval *interval);
void kv_interval_finish (struct kv_interval *interval);
uint64_t kv_api_get_u64 (const json_t *object, const char *name);
/** Watch event of a logged pair.  */
json_t *kv_api_event (const struct kv_pair *pair);

#endif

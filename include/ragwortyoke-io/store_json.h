#ifndef RAGWORTYOKE_IO_STORE_JSON_H
#define RAGWORTYOKE_IO_STORE_JSON_H

/**
 * @file
 * JSON format of the key-value service: keys and values in base64, 64-bit
 * numbers as strings, headers and operations.  Functions that build JSON
 * return a new reference.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/str.h"

#define RGY_STORE_PATH_RANGE "/v3/kv/range"
#define RGY_STORE_PATH_PUT "/v3/kv/put"
#define RGY_STORE_PATH_TXN "/v3/kv/txn"
#define RGY_STORE_PATH_LEASE_GRANT "/v3/lease/grant"
#define RGY_STORE_PATH_LEASE_KEEPALIVE "/v3/lease/keepalive"
#define RGY_STORE_PATH_LEASE_REVOKE "/v3/lease/revoke"
#define RGY_STORE_PATH_WATCH "/v3/watch"

/** Header that each answer of the service carries.  */
struct rgy_store_header
{
  uint64_t cluster_id;
  uint64_t revision;
};

/** Read the header of an answer.  @return false when the answer has none.  */
bool rgy_store_json_get_header (const json_t *answer,
                                struct rgy_store_header *header);

/** Read an integer, which may be a JSON string or number.
    @return the integer; 0 when the member is missing, because the gateway
    omits zeros; 0 also when it is not an unsigned 64-bit integer.  */
uint64_t rgy_store_json_get_u64 (const json_t *object, const char *name);
/** Read a revision as rgy_store_json_get_u64() does, but return 0 above the
    largest revision of the protocol, a signed 64-bit number.  The client
    stores the highest revision; a single larger value would therefore make all
    later answers look older.  */
uint64_t rgy_store_json_get_revision (const json_t *object, const char *name);
/** Build a 64-bit number.  */
json_t *rgy_store_json_u64 (uint64_t value);

/** Decode a base64 member.  @return the bytes, empty when the member is
    missing; free with g_bytes_unref().  */
GBytes *rgy_store_json_get_bytes (const json_t *object, const char *name);
/** Build a base64 text.  */
json_t *rgy_store_json_bytes (struct rgy_bytes bytes);
json_t *rgy_store_json_str (struct rgy_str text);

/** Build a range request; @p end is empty for a single key.  */
json_t *rgy_store_json_range (struct rgy_str key, struct rgy_str end);
/** Build a put request; @p lease is 0 for none.  */
json_t *rgy_store_json_put (struct rgy_str key, struct rgy_bytes value,
                            uint64_t lease);
/** Build a delete request; @p end is empty for a single key.  */
json_t *rgy_store_json_delete (struct rgy_str key, struct rgy_str end);
/** Build the condition that a key has this modification revision, or does not
    exist for revision 0.  */
json_t *rgy_store_json_compare_mod (struct rgy_str key, uint64_t revision);
/** Wrap a request as an operation of a transaction, which takes ownership of
    the request.  */
json_t *rgy_store_json_op_range (json_t *range);
json_t *rgy_store_json_op_put (json_t *put);
json_t *rgy_store_json_op_delete (json_t *delete_range);

/** First key after all keys that start with @p prefix, which must end with a
    byte below 255.  Free with g_free().  */
char *rgy_store_prefix_end (const char *prefix);

#endif

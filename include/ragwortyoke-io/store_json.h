#ifndef RAGWORTYOKE_IO_STORE_JSON_H
#define RAGWORTYOKE_IO_STORE_JSON_H

/**
 * @file
 * JSON of the key-value service: base64 keys and values, 64-bit numbers as
 * strings, headers and operations.  Functions that build JSON return a new
 * reference.
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

struct rgy_store_header
{
  uint64_t cluster_id;
  uint64_t revision;
};

/** Header of an answer.  @return false when it has none.  */
bool rgy_store_json_get_header (const json_t *answer,
                                struct rgy_store_header *header);

/** Number given as a string or a number; 0 when missing, as the gateway
    leaves out zeros, and 0 when it is not a number of 64 bits.  */
uint64_t rgy_store_json_get_u64 (const json_t *object, const char *name);
/** As rgy_store_json_get_u64(), and 0 also above the largest revision of the
    protocol, a signed 64-bit number: the highest revision seen is remembered,
    so that one answer could make all later ones look older.  */
uint64_t rgy_store_json_get_revision (const json_t *object, const char *name);
json_t *rgy_store_json_u64 (uint64_t value);

/** Decoded member, empty when missing; free with g_bytes_unref().  */
GBytes *rgy_store_json_get_bytes (const json_t *object, const char *name);
json_t *rgy_store_json_bytes (struct rgy_bytes bytes);
json_t *rgy_store_json_str (struct rgy_str text);

/** Range request; @p end is empty for a single key.  */
json_t *rgy_store_json_range (struct rgy_str key, struct rgy_str end);
/** Put request; @p lease 0 for none.  */
json_t *rgy_store_json_put (struct rgy_str key, struct rgy_bytes value,
                            uint64_t lease);
json_t *rgy_store_json_delete (struct rgy_str key, struct rgy_str end);
/** Compare: the key has this modification revision; 0: it does not exist.  */
json_t *rgy_store_json_compare_mod (struct rgy_str key, uint64_t revision);
/** Operations of a transaction; they take over the reference.  */
json_t *rgy_store_json_op_range (json_t *range);
json_t *rgy_store_json_op_put (json_t *put);
json_t *rgy_store_json_op_delete (json_t *delete_range);

/** First key after all keys that start with @p prefix, which must end with a
    byte below 255; free with g_free().  */
char *rgy_store_prefix_end (const char *prefix);

#endif

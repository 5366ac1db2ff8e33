#ifndef RGY_STANDIN_PLATFORM_STORE_H
#define RGY_STANDIN_PLATFORM_STORE_H

/**
 * @file
 * Stand-in for the platform's metadata store on a loopback port: range, watch
 * with a waiting time, transaction and lease.  It can fall silent or lose
 * answers; a connection on which an answer was lost returns nothing further.
 */

#include <stdint.h>
#include <uv.h>

/** Calls that are counted.  */
enum standin_call
{
  STANDIN_CALL_RANGE,
  STANDIN_CALL_WATCH,
  STANDIN_CALL_TXN,
  STANDIN_CALL_LEASE,
  STANDIN_CALL_KEEP,
  STANDIN_CALL_COUNT
};

struct standin_platform_store;

/** @param seed  selects which answers are lost.  */
struct standin_platform_store *standin_platform_store_new (uv_loop_t *loop,
                                                           uint32_t seed);
/** Close all connections.  The loop must run once more.  */
void standin_platform_store_delete (struct standin_platform_store *store);
uint16_t
standin_platform_store_get_port (const struct standin_platform_store *store);

/** Lose each answer with probability @p share; 1 makes the store silent.  */
void standin_platform_store_lose_answers (struct standin_platform_store *store,
                                          double share);
/** Write a key; @p value is base64, or NULL to delete the key.  */
void standin_platform_store_put (struct standin_platform_store *store,
                                 const char *key, const char *value);
/** Write a key whose name may contain NUL bytes.  */
void standin_platform_store_put_len (struct standin_platform_store *store,
                                     const char *key, size_t key_len,
                                     const char *value, int64_t lease);
/** Forget the history up to now.  */
void standin_platform_store_compact (struct standin_platform_store *store);
/** Value of a key, or NULL.  */
const char *
standin_platform_store_get (const struct standin_platform_store *store,
                            const char *key);
unsigned
standin_platform_store_count (const struct standin_platform_store *store,
                              enum standin_call call);

#endif

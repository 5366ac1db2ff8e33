#ifndef RGY_STANDIN_PLATFORM_STORE_H
#define RGY_STANDIN_PLATFORM_STORE_H

/**
 * @file
 * Stand-in for the platform's metadata store on a loopback port: range, watch
 * with a waiting time, transaction and lease.  It can fall silent or lose
 * answers; a connection on which an answer was lost returns nothing further.
 * It can return from an older copy, after which it gives its revisions and the
 * numbers of its leases out again.
 */

#include <stdbool.h>
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
  STANDIN_CALL_KEY,
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

/** Number of ports: tests cut off some machines by one of them.  */
#define STANDIN_PORTS 2

/** Further port of the store; 0 is that of
    standin_platform_store_get_port().  */
uint16_t
standin_platform_store_get_nth_port (const struct standin_platform_store *s,
                                     unsigned n);
/** Serve the requests at a port, or leave them unanswered.  */
void standin_platform_store_set_port_silent (struct standin_platform_store *s,
                                             unsigned n, bool silent);

/** State @p era in each answer from now on; -1, the default, states none.  */
void standin_platform_store_set_era (struct standin_platform_store *store,
                                     int64_t era);
/** State @p text instead of a number; NULL ends that.  */
void standin_platform_store_set_odd_era (struct standin_platform_store *store,
                                         const char *text);
/** Take the copy from which the store returns.  */
void standin_platform_store_copy (struct standin_platform_store *store);
/** Return from the copy, in the next era; all connections are closed.  */
void standin_platform_store_return (struct standin_platform_store *store);
/** Return from the copy after the next @p n_answers answers.  */
void standin_platform_store_return_after (struct standin_platform_store *store,
                                          unsigned n_answers);
/** Answer the next reads of ranges in the era before, as they would have been
    answered before the return.  */
void standin_platform_store_answer_late (struct standin_platform_store *store,
                                         unsigned n_answers);
/** Give the next lease to a process that is not a client.  @return the lease.
 */
int64_t
standin_platform_store_take_lease (struct standin_platform_store *store);
/** Number of calls of clients with a lease of another process.  */
unsigned standin_platform_store_count_foreign_leases (
    const struct standin_platform_store *store);
/** Number of leases that clients have and that have not ended.  */
unsigned standin_platform_store_count_client_leases (
    const struct standin_platform_store *store);

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
/** Lease of a key, or 0.  */
int64_t
standin_platform_store_get_lease (const struct standin_platform_store *store,
                                  const char *key);
/** Value of a key, or NULL.  */
const char *
standin_platform_store_get (const struct standin_platform_store *store,
                            const char *key);
unsigned
standin_platform_store_count (const struct standin_platform_store *store,
                              enum standin_call call);

#endif

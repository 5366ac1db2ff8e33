#ifndef RAGWORTYOKE_IO_STORE_CLIENT_H
#define RAGWORTYOKE_IO_STORE_CLIENT_H

/**
 * @file
 * Asynchronous client of the key-value service (etcd v3 JSON gateway) on a
 * libuv loop.
 */

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "ragwortyoke/contract.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/replica.h"
#include "ragwortyoke/str.h"

#define RGY_STORE_PREFIX "/ragwortyoke/"

/** Write or deletion of one key of the watched prefix.  */
struct rgy_store_event
{
  struct rgy_str key;
  struct rgy_bytes value; /**< Empty for a deletion.  */
  bool deleted;
  uint64_t mod_revision; /**< Revision of the write or deletion.  */
};

/** State of the store as the client sees it.  */
enum rgy_store_state
{
  RGY_STORE_DOWN,
  RGY_STORE_UP,
  RGY_STORE_REFUSED, /**< The store has older contents or another cluster ID
                        than the client has read before.  */
  RGY_STORE_STATE_COUNT
};
extern const char *const rgy_store_state_string[];

struct rgy_store_callbacks
{
  /** Receives each write or deletion; @p event is valid during the call.  */
  void (*on_event) (const struct rgy_store_event *event, void *ctx);
  /** Called after the prefix has been read completely.  */
  void (*on_synced) (uint64_t revision, void *ctx);
  /** Called after the state has changed; @p why is one line for the log.  */
  void (*on_state) (enum rgy_store_state state, const char *why, void *ctx);
  void *ctx;
};

/** Intervals and timeouts of a client, with their defaults.  */
struct rgy_store_intervals
{
  unsigned retry_min_ms; /**< Shortest delay of the first retry; 1 s.  */
  unsigned retry_max_ms; /**< Longest delay of a retry; 30 s.  */
  unsigned probe_ms;     /**< A watch without an event for this long is
                            probed with a small range request; 5 s.  */
  unsigned catch_up_ms;  /**< Time within which a watch must deliver the
                            revision that the probe returned; 1 s.  */
  unsigned call_ms;      /**< Timeout of a call; 3 s.  A probe and its timeout
                            stay below 10 s.  */
  unsigned coalesce_ms;  /**< Pause after a watch answer, in which further
                            answers are collected, plus up to half of it as
                            jitter; 200 ms.  */
};
extern const struct rgy_store_intervals rgy_store_intervals_default;

struct rgy_store_client;

/**
 * Create a client.
 *
 * @param endpoints  comma-separated list of "A.B.C.D:PORT", tried in turn.
 * @param seed       seed of the retry jitter.
 * @return NULL when an endpoint is malformed.
 */
struct rgy_store_client *
rgy_store_client_new (uv_loop_t *loop, const char *endpoints, uint64_t seed,
                      const struct rgy_store_callbacks *callbacks);
/** Replace the intervals before the first call; for tests.  */
void
rgy_store_client_set_intervals (struct rgy_store_client *client,
                                const struct rgy_store_intervals *intervals);
/** Cancel all calls without their callbacks.  The client is freed once its
    handles are closed.  */
void rgy_store_client_delete (struct rgy_store_client *client);

/** Read the prefix "/ragwortyoke/" and then watch it, or stop watching.  A
    watch that makes no progress for 10 s is replaced.  Keys that were deleted
    while no watch was active are reported as deleted.  Only keys of contracts,
    domains, agents and balancers are reported.  */
void rgy_store_client_set_watching (struct rgy_store_client *client,
                                    bool watching);

/** Read the prefix once without watching it.  The read is retried until it
    succeeds or rgy_store_client_set_watching() is called.  */
void rgy_store_client_read (struct rgy_store_client *client);

/** Write a key with a lease and keep the lease alive every @p lease_s / 3.
    The write is retried until it succeeds, and repeated when the lease has
    expired.  Another call replaces the value.  */
void rgy_store_client_set_leased_key (struct rgy_store_client *client,
                                      struct rgy_str key,
                                      struct rgy_bytes value,
                                      unsigned lease_s);
/** Revoke the lease of rgy_store_client_set_leased_key(),
    which deletes the key.  */
void rgy_store_client_revoke_lease (struct rgy_store_client *client);

/** Result of a compare-and-swap: RGY_OK, RGY_ERR_CONFLICT, RGY_ERR_STALE (the
    state is RGY_STORE_REFUSED), or RGY_ERR_TIMEOUT or RGY_ERR_UNAVAILABLE,
    after which the write may have taken effect.  */
typedef void (*rgy_store_cas_fn) (enum rgy_outcome outcome, void *ctx);
/** Start a compare-and-swap.
    @param expected  the modification revision that the key must have; 0 for a
                     key that must not exist.  */
void rgy_store_client_cas (struct rgy_store_client *client, struct rgy_str key,
                           struct rgy_bytes value, uint64_t expected,
                           rgy_store_cas_fn done, void *ctx);

/** Modification revision of a watched key as last read; 0 when unknown.  */
uint64_t rgy_store_client_get_mod_revision (struct rgy_store_client *client,
                                            struct rgy_str key);

enum rgy_store_state
rgy_store_client_get_state (const struct rgy_store_client *client);
/** Number of calls made so far; an open watch counts as one.  */
uint64_t rgy_store_client_get_calls (const struct rgy_store_client *client);

/** Convert an event into a replica entry, which borrows from the event.  The
    value of a contract or a domain order is its JSON text, the value of an
    agent its encoded record.  The version of a contract is (mod_revision, 0),
    of a domain order (number, id) and of an agent (epoch, sequence).
    @return RGY_OK, RGY_ERR_NOT_FOUND (a key of another kind, or the deletion
    of a domain or agent key, which has no effect) or RGY_ERR_INVALID, with
    @p error set to what is wrong.  */
enum rgy_outcome rgy_store_event_to_entry (const struct rgy_store_event *event,
                                           struct rgy_entry *entry,
                                           struct rgy_check_error *error);

#endif

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

#include "ragwortyoke/outcome.h"
#include "ragwortyoke/replica.h"
#include "ragwortyoke/str.h"

#define RGY_STORE_PREFIX "/ragwortyoke/"

/** One key of the watched prefix was written or deleted.  */
struct rgy_store_event
{
  struct rgy_str key;
  struct rgy_bytes value; /**< Empty for a deletion.  */
  bool deleted;
  uint64_t mod_revision; /**< Of the write or the deletion.  */
};

enum rgy_store_state
{
  RGY_STORE_DOWN,
  RGY_STORE_UP,
  RGY_STORE_REFUSED, /**< Older contents or another cluster.  */
  RGY_STORE_STATE_COUNT
};
extern const char *const rgy_store_state_string[];

struct rgy_store_callbacks
{
  void (*on_event) (const struct rgy_store_event *event, void *ctx);
  /** The prefix has been read completely.  */
  void (*on_synced) (uint64_t revision, void *ctx);
  /** The state changed; @p why is one line for the log.  */
  void (*on_state) (enum rgy_store_state state, const char *why, void *ctx);
  void *ctx;
};

/** Times of a client.  */
struct rgy_store_intervals
{
  unsigned retry_min_ms; /**< First retry; 1 s.  */
  unsigned retry_max_ms; /**< Longest retry; 30 s.  */
  unsigned probe_ms;     /**< A watch without an event for this long is
                            checked with a small range; 5 s.  */
  unsigned behind_ms;    /**< Time in which a watch must deliver what the
                            check has seen; 1 s.  */
  unsigned call_ms;      /**< Time-out of a call; 3 s.  A check and its
                            time-out stay below 10 s.  */
  unsigned coalesce_ms;  /**< Pause after a watch answer, plus up to half of
                            it as jitter; 200 ms.  */
};
extern const struct rgy_store_intervals rgy_store_intervals_default;

struct rgy_store_client;

/**
 * @param endpoints  comma-separated "A.B.C.D:PORT" list; tried in turn.
 * @param seed       seed of the retry jitter.
 * @return NULL when an endpoint is malformed.
 */
struct rgy_store_client *
rgy_store_client_new (uv_loop_t *loop, const char *endpoints, uint64_t seed,
                      const struct rgy_store_callbacks *callbacks);
/** Replace the times, before the first call; for tests.  */
void
rgy_store_client_set_intervals (struct rgy_store_client *client,
                                const struct rgy_store_intervals *intervals);
/** Stops all transfers without their callbacks; the client is freed once its
 * handles are closed.  */
void rgy_store_client_delete (struct rgy_store_client *client);

/** Read the prefix "/ragwortyoke/" and then watch it, or stop watching.
    A watch that makes no progress for 10 s is replaced.  Keys that vanished
    while the watch was away are reported as deleted.  Only the contracts,
    domains, agents and balancers keys are reported.  */
void rgy_store_client_set_watching (struct rgy_store_client *client,
                                    bool watching);

/** Read the prefix once without watching it; retried until it succeeds or
    rgy_store_client_set_watching() is called.  */
void rgy_store_client_read (struct rgy_store_client *client);

/** Keep a key with a lease: written now, retried until it succeeds, the
    lease kept alive every @p lease_s / 3, and written again when the lease
    has lapsed.  Another call replaces the value.  */
void rgy_store_client_keep (struct rgy_store_client *client,
                            struct rgy_str key, struct rgy_bytes value,
                            unsigned lease_s);
/** Revoke the lease of rgy_store_client_keep().  */
void rgy_store_client_release (struct rgy_store_client *client);

/** One compare-and-swap.  @p expected is the modification revision that the
    key must have, 0 for a key that must not exist.  The outcome is RGY_OK,
    RGY_ERR_CONFLICT, RGY_ERR_STALE (the store is refused), or
    RGY_ERR_TIMEOUT or RGY_ERR_UNAVAILABLE, after which the write may have
    taken effect.  */
typedef void (*rgy_store_cas_fn) (enum rgy_outcome outcome, void *ctx);
void rgy_store_client_cas (struct rgy_store_client *client, struct rgy_str key,
                           struct rgy_bytes value, uint64_t expected,
                           rgy_store_cas_fn done, void *ctx);

/** Modification revision of a watched key as last seen; 0 when unknown.  */
uint64_t rgy_store_client_get_mod_revision (struct rgy_store_client *client,
                                            struct rgy_str key);

enum rgy_store_state
rgy_store_client_get_state (const struct rgy_store_client *client);
/** Calls made so far; a waiting watch counts as one.  */
uint64_t rgy_store_client_get_calls (const struct rgy_store_client *client);

/** Translate an event into a replica entry.  The entry borrows from the
    event.  Contract values are the JSON text, domain order values the JSON
    text, agent values the encoded record.  A contract's version is
    (mod_revision, 0), a domain order's (number, id), an agent's (epoch,
    sequence).
    @return RGY_OK, RGY_ERR_NOT_FOUND (a key of another kind, or the deletion
    of a domain or agent key, which has no effect) or RGY_ERR_INVALID.  */
enum rgy_outcome rgy_store_event_to_entry (const struct rgy_store_event *event,
                                           struct rgy_entry *entry);

#endif

#ifndef RAGWORTYOKE_IO_PRIVATE_STORE_CLIENT_PRIVATE_H
#define RAGWORTYOKE_IO_PRIVATE_STORE_CLIENT_PRIVATE_H

/**
 * @file
 * State and functions that the parts of the key-value client share: calls,
 * watch and leased key.
 */

#include <glib.h>

#include "private/store_http.h"
#include "ragwortyoke-io/store_client.h"
#include "ragwortyoke-io/store_json.h"

/* Bounds of the key ranges.  The range from agents to domains is watched.  Two
   parts of that range are read: the agents, and the balancers, contracts and
   domains.  The keys of the audit ring lie between these parts and are only
   watched.  The keys of the history, which has complete contracts, lie after
   the watched range and are not transferred.  */
#define AGENTS_PREFIX RGY_STORE_PREFIX "agents/"
#define AGENTS_PREFIX_END RGY_STORE_PREFIX "agents0"
#define BALANCERS_PREFIX RGY_STORE_PREFIX "balancers/"
#define WATCH_END RGY_STORE_PREFIX "domains0"

/** State of reading and watching the prefix.  */
struct rgy_store_watch
{
  bool enabled;   /**< Watch the prefix after the read.  */
  bool read_once; /**< Read without watching.  */
  struct rgy_store_request *read;
  struct rgy_store_request *stream;
  struct rgy_store_request *probe;
  uint64_t sent_revision;   /**< Highest revision received when the read or
                               probe was sent.  */
  uint64_t revision;        /**< Events up to this revision were received.  */
  uint64_t probed_revision; /**< Revision that the last probe returned.  */
  bool behind;              /**< The probe returned a newer revision
                               than the watch.  */
  GHashTable *known;        /**< Modification revision by key (GBytes).  */
  GPtrArray *queue;         /**< Watch answers to be applied, json_t.  */
  unsigned failures;        /**< Consecutive failures.  */
  uv_timer_t retry_timer;
  uv_timer_t probe_timer;
  uv_timer_t coalesce_timer;
};

/** State of the key that is written with a lease.  */
struct rgy_store_leased_key
{
  bool active;
  char *key;
  GBytes *value;
  unsigned lease_s;
  uint64_t lease; /**< Lease ID; 0: no lease.  */
  bool dirty;     /**< The value must be written.  */
  uint64_t sent_revision;
  struct rgy_store_request *request;
  unsigned failures;
  uv_timer_t timer; /**< Retry or keepalive.  */
};

struct rgy_store_client
{
  uv_loop_t *loop;
  struct rgy_store_http *http;
  struct rgy_store_callbacks callbacks;
  struct rgy_store_intervals intervals;
  char **endpoints;
  unsigned endpoint_count;
  unsigned endpoint; /**< Index of the endpoint in use.  */
  uint64_t random_state;
  struct rgy_store_header newest_header; /**< Highest revision received.  */
  enum rgy_store_state state;
  uint64_t call_count;
  GPtrArray *cas_calls; /**< Compare-and-swaps in progress.  */
  unsigned open_handles;
  bool closing;
  struct rgy_store_watch watch;
  struct rgy_store_leased_key leased_key;
};

/** Start a call to the endpoint in use.
    @param line  NULL unless the answer is streamed.  */
struct rgy_store_request *
rgy_store_client_post (struct rgy_store_client *client, const char *path,
                       json_t *body, rgy_store_line_fn line,
                       rgy_store_done_fn done, void *ctx);

/**
 * Check the result of a call and set the state.  The header must be of the
 * known cluster and not older than @p sent_revision, the highest revision
 * received when the call was sent.  Calls overlap, so a valid answer may be
 * older than one that was received before.  After a failure the next endpoint
 * is used.
 *
 * @return RGY_OK; the outcome of a failed call; RGY_ERR_NOT_FOUND for HTTP
 *         status 404; RGY_ERR_UNAVAILABLE for any other status but 200, or
 * when the client is being deleted; RGY_ERR_STALE when the header is missing,
 * of another cluster or older.
 */
enum rgy_outcome rgy_store_client_check_answer (
    struct rgy_store_client *client, enum rgy_outcome outcome, long status,
    const json_t *answer, const char *why, uint64_t sent_revision);
/** Check that an answer has a header of the known cluster that is not older
    than @p min_revision.  @return false after setting the state if not.  */
bool rgy_store_client_accept_header (struct rgy_store_client *client,
                                     const json_t *answer,
                                     uint64_t min_revision);
/** Set the state and report a change.  */
void rgy_store_client_set_state (struct rgy_store_client *client,
                                 enum rgy_store_state state, const char *why);

/** Exponential back-off with jitter.
    @param failures  number of consecutive failures, at least 1.  */
uint64_t rgy_store_client_backoff_ms (struct rgy_store_client *client,
                                      unsigned failures);
/** Random number below @p limit; 0 when the limit is 0.  */
uint64_t rgy_store_client_random (struct rgy_store_client *client,
                                  uint64_t limit);

/* Known keys: those that were read or reported.  */

/** @return true for keys of the kinds that the client reports.  */
bool rgy_store_known_is_reported (GBytes *key);
/** Report a write, or with @p value NULL a deletion, unless this or a newer
    revision of the key is known.  */
void rgy_store_known_report (struct rgy_store_client *client, GBytes *key,
                             GBytes *value, uint64_t mod_revision);
/** Key-value pairs of both ranges of a read, borrowed from the answer.  */
GPtrArray *rgy_store_known_collect (const json_t *answer);
/** @return true when a pair is older than the known revision of its key.  This
    detects older contents even when later writes have raised the revision of
    the header again.  */
bool rgy_store_known_is_older (const struct rgy_store_client *client,
                               const GPtrArray *pairs);
/** Report the pairs of a read, and report known keys
    without a pair as deleted.  */
void rgy_store_known_apply (struct rgy_store_client *client,
                            const GPtrArray *pairs, uint64_t revision);

void rgy_store_watch_init (struct rgy_store_client *client);
void rgy_store_watch_finish (struct rgy_store_client *client);
/** Apply the queued watch answers immediately.  */
void rgy_store_watch_flush (struct rgy_store_client *client);
void rgy_store_leased_key_init (struct rgy_store_client *client);
void rgy_store_leased_key_finish (struct rgy_store_client *client);

/** Initialise a timer whose @c data is the client, which is freed after the
    timer is closed.  */
void rgy_store_client_init_timer (struct rgy_store_client *client,
                                  uv_timer_t *timer);
void rgy_store_client_close_timer (struct rgy_store_client *client,
                                   uv_timer_t *timer);

#endif

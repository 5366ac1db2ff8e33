#ifndef RAGWORTYOKE_IO_PRIVATE_STORE_CLIENT_PRIVATE_H
#define RAGWORTYOKE_IO_PRIVATE_STORE_CLIENT_PRIVATE_H

/**
 * @file
 * Parts of the key-value client: shared state, watch and kept key.
 */

#include <glib.h>

#include "private/store_http.h"
#include "ragwortyoke-io/store_client.h"
#include "ragwortyoke-io/store_json.h"

/* The audit ring lies between agents and balancers; the history, which holds
   whole contracts, lies behind the watched keys and is not transferred.  */
#define AGENTS_KEY RGY_STORE_PREFIX "agents/"
#define AGENTS_END RGY_STORE_PREFIX "agents0"
#define CONFIG_KEY RGY_STORE_PREFIX "balancers/"
#define WATCH_END RGY_STORE_PREFIX "domains0"

/** Reading and watching of the prefix.  */
struct rgy_store_watch
{
  bool wanted;    /**< Watch after reading.  */
  bool read_once; /**< Read without watching.  */
  struct rgy_store_request *read;
  struct rgy_store_request *stream;
  struct rgy_store_request *probe;
  uint64_t sent_revision;   /**< Highest revision seen when the read or probe
                               was sent.  */
  uint64_t revision;        /**< Events up to this one were received.  */
  uint64_t probed_revision; /**< Revision that the last check has seen.  */
  bool behind;              /**< The check has seen more than the watch.  */
  GHashTable *known;        /**< GBytes key to its modification revision.  */
  GPtrArray *queue;         /**< Watch answers that wait, json_t.  */
  unsigned failures;        /**< In a row.  */
  uv_timer_t retry_timer;
  uv_timer_t probe_timer;
  uv_timer_t coalesce_timer;
};

/** The key kept with a lease.  */
struct rgy_store_keep
{
  bool active;
  char *key;
  GBytes *value;
  unsigned lease_s;
  uint64_t lease; /**< 0: none is held.  */
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
  unsigned endpoint; /**< In use.  */
  uint64_t random;
  struct rgy_store_header seen; /**< Cluster and highest revision.  */
  enum rgy_store_state state;
  uint64_t calls;
  GPtrArray *swaps; /**< Compare-and-swaps under way.  */
  unsigned handles;
  bool closing;
  struct rgy_store_watch watch;
  struct rgy_store_keep keep;
};

/** Start a call to the endpoint in use.  */
struct rgy_store_request *
rgy_store_client_post (struct rgy_store_client *client, const char *path,
                       json_t *body, rgy_store_line_fn line,
                       rgy_store_done_fn done, void *ctx);

/**
 * Check the end of a call and set the state: the outcome, the HTTP status and
 * the header, which must be of the known cluster and not older than
 * @p sent_revision, the highest revision seen when the call was sent.  Calls
 * overlap, so an answer may be older than a later one without being wrong.
 *
 * @return RGY_OK, or the outcome of the call; RGY_ERR_STALE when the store is
 *         refused; RGY_ERR_NOT_FOUND for HTTP status 404.
 */
enum rgy_outcome rgy_store_client_check (struct rgy_store_client *client,
                                         enum rgy_outcome outcome, long status,
                                         const json_t *answer, const char *why,
                                         uint64_t sent_revision);
/** True when the header is of the known cluster and not older than
    @p min_revision; sets the state otherwise.  */
bool rgy_store_client_accept_header (struct rgy_store_client *client,
                                     const json_t *answer,
                                     uint64_t min_revision);
void rgy_store_client_set_state (struct rgy_store_client *client,
                                 enum rgy_store_state state, const char *why);

/** Jittered back-off after @p failures failures in a row, from 1 on.  */
uint64_t rgy_store_client_backoff_ms (struct rgy_store_client *client,
                                      unsigned failures);
/** Random number below @p limit.  */
uint64_t rgy_store_client_random (struct rgy_store_client *client,
                                  uint64_t limit);

/* Keys that were read.  */

bool rgy_store_known_is_reported (GBytes *key);
/** Report a key unless this or a newer revision is known; @p value is NULL
    for a deletion.  */
void rgy_store_known_report (struct rgy_store_client *client, GBytes *key,
                             GBytes *value, uint64_t mod_revision);
/** Pairs of both ranges of a read, borrowed from the answer.  */
GPtrArray *rgy_store_known_collect (const json_t *answer);
/** True when a pair is older than the known one.  This shows older contents
    even when later writes have raised the header's revision again.  */
bool rgy_store_known_is_older (const struct rgy_store_client *client,
                               const GPtrArray *pairs);
/** Report the pairs of a read, and the known keys without a pair as
    deleted.  */
void rgy_store_known_apply (struct rgy_store_client *client,
                            const GPtrArray *pairs, uint64_t revision);

void rgy_store_watch_init (struct rgy_store_client *client);
void rgy_store_watch_finish (struct rgy_store_client *client);
/** Apply the queued watch answers now.  */
void rgy_store_watch_flush (struct rgy_store_client *client);
void rgy_store_keep_init (struct rgy_store_client *client);
void rgy_store_keep_finish (struct rgy_store_client *client);

/** Timer whose @c data is the client and that is closed with it.  */
void rgy_store_client_init_timer (struct rgy_store_client *client,
                                  uv_timer_t *timer);
void rgy_store_client_close_timer (struct rgy_store_client *client,
                                   uv_timer_t *timer);

#endif

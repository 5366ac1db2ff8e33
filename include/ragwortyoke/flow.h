#ifndef RAGWORTYOKE_FLOW_H
#define RAGWORTYOKE_FLOW_H

/**
 * @file
 * Flow keys and the table of flows that an agent owns.
 */

#include "ragwortyoke/address.h"
#include "ragwortyoke/steering.h"

/** Kinds of flow keys.  */
enum rgy_flow_key_kind
{
  RGY_FLOW_KEY_UDP,    /**< Caller and service endpoints of a datagram.  */
  RGY_FLOW_KEY_SEGMENT /**< Both endpoints of a sequenced flow.  */
};

/** Both endpoints of a flow, as the caller sees them.  */
struct rgy_flow_ends
{
  struct rgy_endpoint caller;
  struct rgy_endpoint service;
};

struct rgy_flow_key
{
  enum rgy_flow_key_kind kind;
  union
  {
    struct rgy_flow_ends udp;
    struct rgy_flow_ends segment;
  } u;
};

struct rgy_flow_key rgy_flow_key_udp (struct rgy_endpoint caller,
                                      struct rgy_endpoint service);
struct rgy_flow_key rgy_flow_key_segment (struct rgy_endpoint caller,
                                          struct rgy_endpoint service);
bool rgy_flow_key_equal (const struct rgy_flow_key *a,
                         const struct rgy_flow_key *b);
uint64_t rgy_flow_key_hash (const struct rgy_flow_key *key);

/** Hash and equality functions for a GHashTable keyed by struct rgy_flow_key,
    or by a structure that begins with one.  */
unsigned rgy_flow_key_ghash (const void *key);
int rgy_flow_key_gequal (const void *a, const void *b);

/** @return the bucket of a flow, 0 to RGY_BUCKET_COUNT - 1.  */
unsigned rgy_flow_key_bucket (const struct rgy_flow_key *key);

/** One open flow.  Users of the table may write only @c customer and the
    members after it.  */
struct rgy_flow
{
  struct rgy_flow_key key;
  uint64_t id; /**< Unique in the lifetime of the table, never 0.  */
  unsigned bucket;
  int64_t opened_us;
  int64_t last_active_us;

  struct rgy_name customer;
  struct rgy_endpoint last_balancer; /**< Balancer of the last packet.  */
  int64_t last_balancer_us;
  bool moving;   /**< A handover of the flow is under way.  */
  void *session; /**< Request state, owned by the user of the table.  */
};

struct rgy_flow_table;

/**
 * @param max_flows        highest number of open flows.
 * @param idle_timeout_us  a flow without traffic for this long expires.
 */
struct rgy_flow_table *rgy_flow_table_new (size_t max_flows,
                                           int64_t idle_timeout_us);

/** Free the table and its flows; sessions must have been released.  */
void rgy_flow_table_delete (struct rgy_flow_table *table);

/** Free the table, its flows and their sessions with g_free().  */
void rgy_flow_table_delete_all (struct rgy_flow_table *table);

/** @return the flow, or NULL.  */
struct rgy_flow *rgy_flow_table_find (struct rgy_flow_table *table,
                                      const struct rgy_flow_key *key);
struct rgy_flow *rgy_flow_table_find_id (struct rgy_flow_table *table,
                                         uint64_t id);

/** Open a flow.
    @return RGY_OK, RGY_ERR_FULL, or RGY_ERR_CONFLICT when the flow is already
    open.  */
enum rgy_outcome rgy_flow_table_open (struct rgy_flow_table *table,
                                      const struct rgy_flow_key *key,
                                      int64_t now_us, struct rgy_flow **flow);

/** Record traffic on a flow, which moves it to the end of the idle order.  */
void rgy_flow_table_touch (struct rgy_flow_table *table, struct rgy_flow *flow,
                           int64_t now_us);

void rgy_flow_table_close (struct rgy_flow_table *table,
                           struct rgy_flow *flow);

/** Find an expired flow in O(1); the caller closes it and calls again.
    @return the flow with the longest idle time if it has expired at @p now_us,
    else NULL.  */
struct rgy_flow *rgy_flow_table_get_expired (struct rgy_flow_table *table,
                                             int64_t now_us);

size_t rgy_flow_table_get_count (const struct rgy_flow_table *table);

/** @return the buckets in which at least one flow is open.  */
const struct rgy_bucket_set *
rgy_flow_table_get_occupied (const struct rgy_flow_table *table);

/** Call @p fn for every flow; @p fn may close the flow that it receives and
    returns false to stop.  */
void rgy_flow_table_foreach (struct rgy_flow_table *table,
                             bool (*fn) (struct rgy_flow *flow, void *ctx),
                             void *ctx);

#endif

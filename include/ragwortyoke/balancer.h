#ifndef RAGWORTYOKE_BALANCER_H
#define RAGWORTYOKE_BALANCER_H

/**
 * @file
 * Decision logic of a balancer.  The caller passes in events and carries out
 * the actions that the balancer returns; the balancer does no I/O itself.
 */

#include "ragwortyoke/action.h"
#include "ragwortyoke/blackboard.h"
#include "ragwortyoke/counter.h"
#include "ragwortyoke/wire.h"

#define RGY_BALANCER_MAX_SEEDS 16

/** Algorithm by which a balancer chooses the agent of a packet.  */
enum rgy_balancer_steering
{
  RGY_BALANCER_STEER_TABLE, /**< Look up the flow's bucket in
                               the bucket table.  */
  RGY_BALANCER_STEER_MODULO /**< Flow hash modulo the number of agents; a
                               baseline for measurements only.  */
};

struct rgy_balancer_settings
{
  struct rgy_name id;
  struct rgy_name domain;
  uint64_t epoch; /**< Incarnation; larger at every start, for example
                     from the clock.  */
  struct rgy_endpoint endpoint;
  struct rgy_endpoint sync;
  struct rgy_endpoint http;
  uint8_t key[RGY_WIRE_KEY_BYTES];
  struct rgy_endpoint seeds[RGY_BALANCER_MAX_SEEDS];
  size_t seed_count;
  uint64_t random_seed;
  int64_t drain_us; /**< Time for which a draining balancer
                       still forwards packets.  */
  enum rgy_balancer_steering steering;
  bool without_domain_orders; /**< For baselines in measurements and tests
                                 only: failure domain orders are stored but
                                 not followed.  */
  bool without_version_check; /**< For baselines in measurements and tests
                                 only: older versions of a contract are
                                 activated as well.  */
};

struct rgy_balancer;

struct rgy_balancer *
rgy_balancer_new (const struct rgy_balancer_settings *settings,
                  struct rgy_counters *counters);
void rgy_balancer_delete (struct rgy_balancer *balancer);

/* Events.  Each function appends the resulting actions to the list.  */

/** Handle a datagram from the fabric, which starts with a PROXY header.  */
void rgy_balancer_from_fabric (struct rgy_balancer *balancer,
                               struct rgy_bytes datagram, int64_t now_us,
                               struct rgy_actions *actions);
/** Handle a datagram from another process of the system.  */
void rgy_balancer_from_instance (struct rgy_balancer *balancer,
                                 struct rgy_endpoint from,
                                 struct rgy_bytes datagram, int64_t now_us,
                                 struct rgy_actions *actions);
/** Run the timers.  The caller calls this every 50 ms.  */
void rgy_balancer_tick (struct rgy_balancer *balancer, int64_t now_us,
                        struct rgy_actions *actions);
/** Apply an entry that was read from the store.  */
enum rgy_outcome rgy_balancer_from_store (struct rgy_balancer *balancer,
                                          const struct rgy_entry *entry,
                                          struct rgy_actions *actions);
/** Take note of a roll-up that was read from the store; its
    balancers become seeds.  */
void rgy_balancer_note_rollup (struct rgy_balancer *balancer,
                               const struct rgy_name *domain,
                               struct rgy_str json);
/** Apply a failure domain order that an operator sent directly to this
    balancer.
    @return RGY_OK, RGY_ERR_STALE or RGY_ERR_INVALID.  */
enum rgy_outcome rgy_balancer_from_operator (struct rgy_balancer *balancer,
                                             struct rgy_str order_json,
                                             int64_t now_us,
                                             struct rgy_actions *actions);
/** Begin a graceful shutdown.  */
void rgy_balancer_start_drain (struct rgy_balancer *balancer, int64_t now_us,
                               struct rgy_actions *actions);

/* Synchronisation of replicas between balancers.  */

/** Build the synchronisation request to send to a peer.  The result is valid
    until the next message is encoded.  */
struct rgy_bytes
rgy_balancer_build_sync_request (struct rgy_balancer *balancer);
/** Answer a peer's synchronisation request: append the frames of the reply,
    each a GByteArray, to @p frames.  */
void rgy_balancer_serve_sync (struct rgy_balancer *balancer,
                              struct rgy_bytes request, GPtrArray *frames);
/** Apply one frame of a peer's reply to a synchronisation request.  */
enum rgy_outcome rgy_balancer_apply_sync (struct rgy_balancer *balancer,
                                          struct rgy_bytes frame,
                                          int64_t now_us,
                                          struct rgy_actions *actions);

/* Queries on the balancer's state.  */

/** True when the fabric should send packets to this balancer.  */
bool rgy_balancer_is_ready (const struct rgy_balancer *balancer);
/** True when this balancer should watch the store.  */
bool rgy_balancer_is_reader (const struct rgy_balancer *balancer);
const struct rgy_blackboard *
rgy_balancer_get_blackboard (const struct rgy_balancer *balancer);

/** Format the JSON body of GET /v1/status; free it with g_free().  */
char *rgy_balancer_format_status (const struct rgy_balancer *balancer);

/** Format the JSON body of GET /v1/confirm.  @p key and @p revision name a
    contract and its revision or, with @p is_domain, a failure domain and the
    number of its order.  Free the result with g_free().  */
char *rgy_balancer_format_confirm (const struct rgy_balancer *balancer,
                                   const struct rgy_name *key, bool is_domain,
                                   uint64_t revision);

#endif

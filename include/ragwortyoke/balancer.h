#ifndef RAGWORTYOKE_BALANCER_H
#define RAGWORTYOKE_BALANCER_H

/**
 * @file
 * Decision core of a balancer: events in, actions out.
 */

#include "ragwortyoke/action.h"
#include "ragwortyoke/blackboard.h"
#include "ragwortyoke/counter.h"
#include "ragwortyoke/wire.h"

#define RGY_BALANCER_MAX_SEEDS 16

/** How a balancer chooses the agent of a packet.  */
enum rgy_balancer_steering
{
  RGY_BALANCER_STEER_TABLE, /**< Bucket table.  */
  RGY_BALANCER_STEER_MODULO /**< Hash modulo n; a baseline for measurements
                               only.  */
};

struct rgy_balancer_settings
{
  struct rgy_name id;
  struct rgy_name domain;
  uint64_t epoch; /**< Larger at every start, for example from the clock.  */
  struct rgy_endpoint endpoint;
  struct rgy_endpoint sync;
  struct rgy_endpoint http;
  uint8_t key[RGY_WIRE_KEY_BYTES];
  struct rgy_endpoint seeds[RGY_BALANCER_MAX_SEEDS];
  size_t seed_count;
  uint64_t random_seed;
  int64_t drain_us; /**< A draining balancer forwards for this long.  */
  enum rgy_balancer_steering steering;
  bool without_domain_orders; /**< For baselines in measurements and tests
                                 only: stores the orders only.  */
  bool without_version_check; /**< Likewise: takes older contracts.  */
};

struct rgy_balancer;

struct rgy_balancer *
rgy_balancer_new (const struct rgy_balancer_settings *settings,
                  struct rgy_counters *counters);
void rgy_balancer_delete (struct rgy_balancer *balancer);

/* Events.  Actions are appended to the list.  */

/** A datagram from the fabric, with its PROXY header.  */
void rgy_balancer_from_fabric (struct rgy_balancer *balancer,
                               struct rgy_bytes datagram, int64_t now_us,
                               struct rgy_actions *actions);
/** A datagram from another process of the system.  */
void rgy_balancer_from_instance (struct rgy_balancer *balancer,
                                 struct rgy_endpoint from,
                                 struct rgy_bytes datagram, int64_t now_us,
                                 struct rgy_actions *actions);
/** Call every 50 ms.  */
void rgy_balancer_tick (struct rgy_balancer *balancer, int64_t now_us,
                        struct rgy_actions *actions);
/** An entry that the store holds.  */
enum rgy_outcome rgy_balancer_from_store (struct rgy_balancer *balancer,
                                          const struct rgy_entry *entry,
                                          struct rgy_actions *actions);
/** A roll-up that the store holds; its balancers become seeds.  */
void rgy_balancer_note_rollup (struct rgy_balancer *balancer,
                               const struct rgy_name *domain,
                               struct rgy_str json);
/** An order given directly by an operator.
    @return RGY_OK, RGY_ERR_STALE or RGY_ERR_INVALID.  */
enum rgy_outcome rgy_balancer_from_operator (struct rgy_balancer *balancer,
                                             struct rgy_str order_json,
                                             int64_t now_us,
                                             struct rgy_actions *actions);
/** Begin a graceful shutdown.  */
void rgy_balancer_start_drain (struct rgy_balancer *balancer, int64_t now_us,
                               struct rgy_actions *actions);

/* Synchronisation.  */

/** Request to be sent to a peer; valid until the next encode.  */
struct rgy_bytes
rgy_balancer_build_sync_request (struct rgy_balancer *balancer);
/** Answer a peer's request with frames (GByteArray).  */
void rgy_balancer_serve_sync (struct rgy_balancer *balancer,
                              struct rgy_bytes request, GPtrArray *frames);
/** One frame of an answer.  */
enum rgy_outcome rgy_balancer_apply_sync (struct rgy_balancer *balancer,
                                          struct rgy_bytes frame,
                                          int64_t now_us,
                                          struct rgy_actions *actions);

/* State.  */

/** True when the fabric should send packets here.  */
bool rgy_balancer_is_ready (const struct rgy_balancer *balancer);
/** True when this balancer should watch the store.  */
bool rgy_balancer_is_reader (const struct rgy_balancer *balancer);
const struct rgy_blackboard *
rgy_balancer_get_blackboard (const struct rgy_balancer *balancer);

/** JSON of GET /v1/status; free with g_free().  */
char *rgy_balancer_format_status (const struct rgy_balancer *balancer);

/** JSON of GET /v1/confirm for a contract (@p revision) or, with
    @p is_domain, for a domain order (@p revision is its number); free with
    g_free().  */
char *rgy_balancer_format_confirm (const struct rgy_balancer *balancer,
                                   const struct rgy_name *key, bool is_domain,
                                   uint64_t revision);

#endif

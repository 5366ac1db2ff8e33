#ifndef RAGWORTYOKE_AGENT_H
#define RAGWORTYOKE_AGENT_H

/**
 * @file
 * Decision core of the agent beside one backend server.  The core takes events
 * and returns actions; it does no input or output itself.
 */

#include "ragwortyoke/action.h"
#include "ragwortyoke/blackboard.h"
#include "ragwortyoke/counter.h"
#include "ragwortyoke/flow.h"
#include "ragwortyoke/request.h"
#include "ragwortyoke/wire.h"

#define RGY_AGENT_MAX_SEEDS 16

/** Flow ID of the socket that carries health probes.  */
#define RGY_PROBE_FLOW_ID 0

struct rgy_agent_settings
{
  struct rgy_name id;
  struct rgy_name domain;
  /** Incarnation; larger at every start, for example from the clock.  */
  uint64_t epoch;
  struct rgy_endpoint endpoint;
  struct rgy_endpoint service; /**< Service address that the agent serves.  */
  uint8_t key[RGY_WIRE_KEY_BYTES];
  struct rgy_endpoint seeds[RGY_AGENT_MAX_SEEDS];
  size_t seed_count;
  uint64_t random_seed;
  unsigned slots;
  unsigned connections;
  unsigned queue_length;
  unsigned deadline_ms;
  int64_t idle_timeout_us;
  int64_t drain_timeout_us;
  /** @name Switches
      Each switch disables one mechanism, as a baseline for measurements and
      tests; all are false in the daemon.
      @{ */
  bool without_lookup;          /**< No lookup at previous owners.  */
  bool without_cold_start;      /**< Starts without a warm-up.  */
  bool without_echo;            /**< Does not require the Echo option.  */
  bool without_handover;        /**< Hands over no flows.  */
  bool without_service_check;   /**< Accepts packets of other services.  */
  bool without_answer_matching; /**< An answer goes to the oldest request.  */
  bool without_outcome_unknown; /**< Reports all failures as "not-run".  */
  bool without_contract_limits; /**< Does not limit requests in flight.  */
  bool without_drain_announcement; /**< Stays ready while draining.  */
  bool without_domain_orders;      /**< Stores domain orders, but does not act
                                      on them.  */
  bool without_version_check; /**< Accepts older versions of a contract.  */
  /** @} */
};

struct rgy_agent;

struct rgy_agent *rgy_agent_new (const struct rgy_agent_settings *settings,
                                 struct rgy_counters *counters);
void rgy_agent_delete (struct rgy_agent *agent);

/* Event handlers.  Each handler appends the actions that result to the
   list.  */

/** Handle a datagram from another process of the system.  */
void rgy_agent_from_instance (struct rgy_agent *agent,
                              struct rgy_endpoint from,
                              struct rgy_bytes datagram, int64_t now_us,
                              struct rgy_actions *actions);
/** Handle a datagram from the backend server on a flow's socket.  */
void rgy_agent_from_backend (struct rgy_agent *agent, uint64_t flow_id,
                             struct rgy_bytes datagram, int64_t now_us,
                             struct rgy_actions *actions);
/** Handle a flow's socket that the backend server refused.  */
void rgy_agent_backend_refused (struct rgy_agent *agent, uint64_t flow_id,
                                int64_t now_us, struct rgy_actions *actions);
/** Run the periodic work; to be called every 50 ms.  */
void rgy_agent_tick (struct rgy_agent *agent, int64_t now_us,
                     struct rgy_actions *actions);
/** Parse a roll-up read from the store and add its balancers to the seeds.  */
void rgy_agent_note_rollup (struct rgy_agent *agent, struct rgy_str json);
/** Begin a graceful shutdown.  */
void rgy_agent_start_drain (struct rgy_agent *agent, int64_t now_us,
                            struct rgy_actions *actions);

/* Synchronisation of contracts, domain orders and agents with a balancer.  */

/** @return the request to be sent; valid until the next encode.  */
struct rgy_bytes rgy_agent_build_sync_request (struct rgy_agent *agent);
enum rgy_outcome rgy_agent_apply_sync (struct rgy_agent *agent,
                                       struct rgy_bytes frame, int64_t now_us,
                                       struct rgy_actions *actions);

/* State queries.  */

bool rgy_agent_is_ready (const struct rgy_agent *agent);
const struct rgy_blackboard *
rgy_agent_get_blackboard (const struct rgy_agent *agent);
size_t rgy_agent_get_flow_count (const struct rgy_agent *agent);
bool rgy_agent_owns_flow (const struct rgy_agent *agent,
                          const struct rgy_flow_key *key);
const struct rgy_admission *
rgy_agent_get_admission (const struct rgy_agent *agent);
/** @return the JSON of GET /v1/status, to be freed with g_free().  */
char *rgy_agent_format_status (const struct rgy_agent *agent);

#endif

#ifndef RAGWORTYOKE_PRIVATE_AGENT_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_AGENT_PRIVATE_H

/**
 * @file
 * State of an agent, shared by its source files.
 */

#include "private/link.h"
#include "ragwortyoke/agent.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/drain.h"
#include "ragwortyoke/flow.h"
#include "ragwortyoke/handover.h"
#include "ragwortyoke/health.h"
#include "ragwortyoke/limit.h"
#include "ragwortyoke/rollup.h"
#include "ragwortyoke/steering.h"

#define RGY_HEARTBEAT_INTERVAL_US INT64_C (1000000)
#define RGY_PEER_STATE_INTERVAL_US INT64_C (500000)
/** A balancer is used for answers this long after its acknowledgement.  */
#define RGY_BALANCER_FRESH_US INT64_C (1500000)
/** A flow's last balancer is preferred for this long.  */
#define RGY_FLOW_BALANCER_FRESH_US INT64_C (1000000)
/** A balancer that is not heard of for this long is forgotten.  */
#define RGY_BALANCER_FORGET_US INT64_C (60000000)
/** Wait for the acknowledgements of peers after a change of the group.  */
#define RGY_SETTLE_TIMEOUT_US INT64_C (1000000)
/** Flows that were passed on are remembered for one to two of these, so that
    the peer has sent its state at least twice.  */
#define RGY_PASSED_AGE_US INT64_C (1000000)
/** While peers have not acknowledged a change, their acknowledgement is asked
    for this often: lost datagrams must not use up RGY_SETTLE_TIMEOUT_US.  */
#define RGY_SETTLE_RETRY_US INT64_C (100000)
#define RGY_SYNC_RETRY_US INT64_C (1000000)
#define RGY_HEARTBEAT_TARGETS 3
/** An agent that no balancer acknowledges for this long looks for others in
    the store.  */
#define RGY_LOST_BALANCERS_US INT64_C (5000000)
/** Between such reads, plus up to as much as jitter: the whole fleet may look
    at once.  */
#define RGY_STORE_READ_INTERVAL_US INT64_C (30000000)
/** The own record is written to the store within this time.  */
#define RGY_STORE_WRITE_SPREAD_US INT64_C (10000000)
#define RGY_MAX_TRANSFERS 200
/** Observations that a ready agent hands over a second.  */
#define RGY_REBALANCE_PER_SECOND 20
/** A peer that refused a flow is not asked again for this long.  */
#define RGY_REBALANCE_PAUSE_US INT64_C (5000000)
/** Reservations of contract limits are in effect this long after the agents
    of a new group have met; an agent reports ready only then.  */
#define RGY_READY_DELAY_US INT64_C (3000000)
#define RGY_LINGER_US INT64_C (1000000)

/** A balancer that this agent knows.  */
struct rgy_known_balancer
{
  struct rgy_balancer_record record;
  int64_t last_seen_us; /**< In a sample or by an acknowledgement.  */
  int64_t last_ack_us;
  unsigned unanswered; /**< Heartbeats since the last acknowledgement.  */
};

/** Limits and usage of one customer at this agent.  */
struct rgy_customer_usage
{
  struct rgy_count_limit *flows;
  struct rgy_rate_limit *new_flows;
  struct rgy_count_limit *requests;
};

/** What a peer of the same service last said.  */
struct rgy_peer
{
  uint64_t epoch;
  bool can_accept;
  size_t flows; /**< Reported, plus those on their way to it.  */
  int64_t refused_until_us;
};

struct rgy_agent_counters
{
  uint64_t *packets_in;
  uint64_t *delivered;
  uint64_t *forwarded;
  uint64_t *flows_opened;
  uint64_t *flows_moved_in;
  uint64_t *flows_moved_out;
  uint64_t *flows_given_up;
  uint64_t *flows_expired;
  uint64_t *flows_revoked;
  uint64_t *answers;
  uint64_t *answers_without_balancer;
  uint64_t *drop_wrong_service;
  uint64_t *drop_unknown_caller;
  uint64_t *drop_no_agent;
  uint64_t *drop_hop_limit;
  uint64_t *drop_not_held;
  uint64_t *refused_limit;
  uint64_t *refused_overload;
  uint64_t *refused_out;
  uint64_t *refused_draining;
  uint64_t *view_mismatch;
  uint64_t *config_changes;
  uint64_t *flows;
  uint64_t *limit;
  uint64_t *running;
};

struct rgy_agent
{
  struct rgy_agent_settings settings;
  struct rgy_blackboard *bb;
  struct rgy_counters *counters;
  struct rgy_agent_counters c;
  struct rgy_link link;
  GRand *random;
  struct rgy_agent_record self;

  struct rgy_flow_table *flows;
  struct rgy_steering *steering;
  struct rgy_request_engine *engine;
  struct rgy_health *health;
  struct rgy_drain *drain;
  struct rgy_transfers *transfers;
  struct rgy_receipts *receipts;
  struct rgy_passed *passed;
  GHashTable *balancers; /**< Name to struct rgy_known_balancer.  */
  GHashTable *usage;     /**< Customer to struct rgy_customer_usage.  */
  GHashTable *peers;     /**< Agent to struct rgy_peer.  */

  struct rgy_name peer_names[RGY_GROUP_MAX]; /**< Other live agents.  */
  size_t peer_count;

  /* Of the event that is being handled, for the engine's hooks.  */
  struct rgy_actions *actions;
  int64_t now_us;

  enum rgy_protocol protocol; /**< Of the own service.  */
  uint64_t protocol_changes;  /**< Contract changes it follows from.  */
  uint64_t group_changes;
  uint64_t domain_changes;
  uint64_t sent_sequence; /**< Of the last PEER_STATE.  */
  int64_t settle_deadline_us;
  int64_t sent_us; /**< Last PEER_STATE.  */
  int64_t next_age_us;
  int64_t next_heartbeat_us;
  int64_t next_peer_state_us;
  int64_t next_sync_us;
  int64_t next_rebalance_us;
  int64_t ready_since_us;
  int64_t next_load_us;
  uint16_t load_id;
  unsigned running_peak[2]; /**< Of this and of the last interval.  */
  int64_t last_ack_us;      /**< Of any balancer.  */
  int64_t next_store_read_us;
  int64_t store_write_us; /**< The record is written then; 0: never.  */
  int64_t last_digest_match_us;
  bool synced;
  bool out; /**< The own failure domain is out of service.  */
  bool record_changed;
};

/* agent.c */
void rgy_agent_send_message (struct rgy_agent *a, struct rgy_endpoint to,
                             const struct rgy_message *message);

/* agent_balancers.c */
/** A balancer through which an answer may go, or an unset endpoint.  */
struct rgy_endpoint rgy_agent_choose_balancer (struct rgy_agent *a,
                                               const struct rgy_flow *flow);
void rgy_agent_send_heartbeats (struct rgy_agent *a);
void
rgy_agent_handle_heartbeat_ack (struct rgy_agent *a,
                                const struct rgy_heartbeat_ack_message *m);
/** Read the store when no balancer has answered for long.  */
void rgy_agent_look_for_balancers (struct rgy_agent *a);

/* agent_config.c */
const struct rgy_contract_service *
rgy_agent_get_service (const struct rgy_agent *a,
                       const struct rgy_contract **contract,
                       uint32_t caller_ip);
void rgy_agent_apply_entries (struct rgy_agent *a,
                              const struct rgy_entries_message *m);

/* agent_peers.c */
/** Send the state of this agent to all peers.  */
void rgy_agent_send_peer_state (struct rgy_agent *a);
void rgy_agent_peer_state_tick (struct rgy_agent *a);
void rgy_agent_handle_peer_state (struct rgy_agent *a,
                                  struct rgy_endpoint from,
                                  const struct rgy_peer_state_message *m);
/** Follow changes of the group: bucket table, claims, limits.  */
void rgy_agent_update_group (struct rgy_agent *a);
/** Send the state when the buckets with flows have changed.  */
void rgy_agent_publish_held (struct rgy_agent *a);
void rgy_agent_settle_tick (struct rgy_agent *a);

/* agent_packet.c */
void rgy_agent_handle_data (struct rgy_agent *a, struct rgy_data_message *m);
void rgy_agent_send_answer (struct rgy_agent *a, struct rgy_endpoint caller,
                            struct rgy_bytes payload,
                            struct rgy_endpoint balancer);
bool rgy_agent_serves_requests (struct rgy_agent *a);
/** Close a flow and everything that belongs to it.  */
void rgy_agent_close_flow (struct rgy_agent *a, struct rgy_flow *flow);

/* agent_probe.c */
void rgy_agent_probe_tick (struct rgy_agent *a);
void rgy_agent_handle_probe_answer (struct rgy_agent *a,
                                    struct rgy_bytes datagram);
void rgy_agent_note_health (struct rgy_agent *a,
                            enum rgy_health_change change);

/* agent_usage.c */
struct rgy_customer_usage *
rgy_agent_get_usage (struct rgy_agent *a, const struct rgy_name *customer);
void rgy_agent_usage_free (void *data);
void rgy_agent_note_peer_usage (struct rgy_agent *a,
                                const struct rgy_peer_state_message *m);
size_t rgy_agent_fill_usage (struct rgy_agent *a, struct rgy_usage *out);
void rgy_agent_update_usage_instances (struct rgy_agent *a);
void rgy_agent_prepare_usage (struct rgy_agent *a);

/* agent_balance.c */
/** True when this agent holds so many more flows than the mean of its group
    that a new one should go to another agent.  */
bool rgy_agent_is_above_bound (const struct rgy_agent *a);
/** Flows that this agent should give away for an even share.  */
size_t rgy_agent_get_surplus (const struct rgy_agent *a);
/** Agent below the mean to which a flow may move: the owner of the bucket if
    possible, else the one with the fewest flows.  @return NULL for none.  */
const struct rgy_name *rgy_agent_choose_lighter (const struct rgy_agent *a,
                                                 unsigned bucket);
/** True when the peer takes flows as far as is known.  */
bool rgy_agent_can_take (const struct rgy_agent *a,
                         const struct rgy_name *peer);

/* agent_passed.c */
struct rgy_passed *rgy_passed_new (void);
void rgy_passed_delete (struct rgy_passed *passed);
/** A new flow was passed on to @p target.  The first target stays.  */
void rgy_passed_note (struct rgy_passed *passed,
                      const struct rgy_flow_key *key,
                      const struct rgy_name *target, int64_t now_us);
/** Agent to which a new flow was passed on a moment ago, or NULL.  */
const struct rgy_name *rgy_passed_find (struct rgy_passed *passed,
                                        const struct rgy_flow_key *key,
                                        int64_t now_us);

/* agent_handover.c */
void rgy_agent_handover_tick (struct rgy_agent *a);
void rgy_agent_handle_handover (struct rgy_agent *a, struct rgy_endpoint from,
                                const struct rgy_handover_message *m);
void rgy_agent_handle_handover_ack (struct rgy_agent *a,
                                    const struct rgy_handover_ack_message *m);

#endif

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
/** Answers are sent through a balancer for this long after it acknowledged a
    heartbeat.  */
#define RGY_BALANCER_FRESH_US INT64_C (1500000)
/** Answers are sent through the last balancer of a flow for this long.  */
#define RGY_FLOW_BALANCER_FRESH_US INT64_C (1000000)
/** A balancer that was not seen for this long is removed from the list.  */
#define RGY_BALANCER_EXPIRE_US INT64_C (60000000)
/** Longest wait for the acknowledgements of peers after a change of the
    group.  */
#define RGY_SETTLE_TIMEOUT_US INT64_C (1000000)
/** While peers have not acknowledged a change, PEER_STATE is sent this often:
    lost datagrams must not use up RGY_SETTLE_TIMEOUT_US.  */
#define RGY_SETTLE_RETRY_US INT64_C (100000)
#define RGY_SYNC_RETRY_US INT64_C (1000000)
#define RGY_HEARTBEAT_TARGETS 3
/** An agent that no balancer acknowledges for this long reads the store to
    find other balancers.  */
#define RGY_NO_BALANCER_ACK_US INT64_C (5000000)
/** Interval between an agent's reads of the store for balancers.  A random
    delay of up to the same length is added, because all agents of the fleet
    may read the store at once.  */
#define RGY_STORE_READ_INTERVAL_US INT64_C (30000000)
/** The agent writes its record to the store within this time.  */
#define RGY_STORE_WRITE_SPREAD_US INT64_C (10000000)
#define RGY_MAX_TRANSFERS 200
/** Highest number of observations that a ready agent hands over in a
    second.  */
#define RGY_REBALANCE_PER_SECOND 20
/** A peer that refused a flow gets no further handover for this long.  */
#define RGY_REFUSAL_PAUSE_US INT64_C (5000000)
/** Reservations of contract limits take effect this long after the agents of a
    new group have exchanged states; an agent reports ready only then.  */
#define RGY_READY_DELAY_US INT64_C (3000000)
#define RGY_LINGER_US INT64_C (1000000)

/** A balancer that this agent knows.  */
struct rgy_known_balancer
{
  struct rgy_balancer_record record;
  int64_t last_seen_us; /**< Time of the last heartbeat acknowledgement that
                           the balancer sent or that listed the balancer.  */
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

/** Last state that a peer of the same service reported.  */
struct rgy_peer
{
  uint64_t epoch;
  bool can_accept;
  size_t flows; /**< Reported flows, plus those in transfer to the peer.  */
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
  uint64_t *drop_unowned;
  uint64_t *refused_limit;
  uint64_t *refused_overload;
  uint64_t *refused_domain_out;
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
  struct rgy_handover_replies *handover_replies;
  struct rgy_forwarded_flows *forwarded_flows;
  GHashTable *balancers; /**< Name to struct rgy_known_balancer.  */
  GHashTable *usage;     /**< Customer to struct rgy_customer_usage.  */
  GHashTable *peers;     /**< Agent to struct rgy_peer.  */

  struct rgy_name peer_names[RGY_GROUP_MAX]; /**< Other live agents.  */
  size_t peer_count;

  /* Action list and time of the event being handled, for the engine's
     hooks.  */
  struct rgy_actions *actions;
  int64_t now_us;

  enum rgy_protocol protocol; /**< Protocol of the own service.  */
  uint64_t protocol_changes;  /**< Count of contract changes at the last update
                                 of protocol.  */
  uint64_t group_changes;
  uint64_t domain_changes;
  uint64_t state_sent_sequence; /**< Sequence of the last PEER_STATE.  */
  int64_t settle_deadline_us;
  int64_t state_sent_us; /**< Time of the last PEER_STATE.  */
  int64_t next_heartbeat_us;
  int64_t next_peer_state_us;
  int64_t next_sync_us;
  int64_t next_rebalance_us;
  int64_t ready_since_us;
  int64_t next_load_us;
  uint16_t load_message_id;
  unsigned running_peak[2]; /**< Highest number of running requests in this and
                               in the previous interval.  */
  int64_t last_ack_us; /**< Time of any balancer's last acknowledgement.  */
  int64_t next_store_read_us;
  int64_t store_write_due_us; /**< Time to write the record; 0: not due.  */
  bool synced;
  bool domain_out; /**< The own failure domain is out of service.  */
  bool record_changed;
};

/* Implemented in agent.c.  */
void rgy_agent_send_message (struct rgy_agent *a, struct rgy_endpoint to,
                             const struct rgy_message *message);

/* Implemented in agent_balancers.c.  */
/** Choose a balancer through which an answer may be sent.  @return an unset
    endpoint when there is none.  */
struct rgy_endpoint rgy_agent_choose_balancer (struct rgy_agent *a,
                                               const struct rgy_flow *flow);
void rgy_agent_send_heartbeats (struct rgy_agent *a);
void
rgy_agent_handle_heartbeat_ack (struct rgy_agent *a,
                                const struct rgy_heartbeat_ack_message *m);
/** Request a read of the store when no balancer has acknowledged a heartbeat
    for RGY_NO_BALANCER_ACK_US.  */
void rgy_agent_find_balancers_in_store (struct rgy_agent *a);

/* Implemented in agent_config.c.  */
const struct rgy_contract_service *
rgy_agent_get_service (const struct rgy_agent *a,
                       const struct rgy_contract **contract,
                       uint32_t caller_ip);
void rgy_agent_apply_entries (struct rgy_agent *a,
                              const struct rgy_entries_message *m);

/* Implemented in agent_peers.c.  */
/** Send the state of this agent to all peers.  */
void rgy_agent_send_peer_state (struct rgy_agent *a);
void rgy_agent_peer_state_tick (struct rgy_agent *a);
void rgy_agent_handle_peer_state (struct rgy_agent *a,
                                  struct rgy_endpoint from,
                                  const struct rgy_peer_state_message *m);
/** Apply changes of the group to the bucket table, the claims and the
    limits.  */
void rgy_agent_update_group (struct rgy_agent *a);
/** Send the state when the occupied buckets have changed.  */
void rgy_agent_publish_occupied (struct rgy_agent *a);
void rgy_agent_settle_tick (struct rgy_agent *a);

/* Implemented in agent_packet.c.  */
void rgy_agent_handle_data (struct rgy_agent *a, struct rgy_data_message *m);
void rgy_agent_send_answer (struct rgy_agent *a, struct rgy_endpoint caller,
                            struct rgy_bytes payload,
                            struct rgy_endpoint balancer);
bool rgy_agent_serves_requests (struct rgy_agent *a);
/** Close a flow and release its session, transfer and contract usage.  */
void rgy_agent_close_flow (struct rgy_agent *a, struct rgy_flow *flow);

/* Implemented in agent_probe.c.  */
void rgy_agent_probe_tick (struct rgy_agent *a);
void rgy_agent_handle_probe_answer (struct rgy_agent *a,
                                    struct rgy_bytes datagram);
void rgy_agent_note_health (struct rgy_agent *a,
                            enum rgy_health_change change);

/* Implemented in agent_usage.c.  */
struct rgy_customer_usage *
rgy_agent_get_usage (struct rgy_agent *a, const struct rgy_name *customer);
void rgy_agent_usage_free (void *data);
void rgy_agent_note_peer_usage (struct rgy_agent *a,
                                const struct rgy_peer_state_message *m);
size_t rgy_agent_fill_usage (struct rgy_agent *a, struct rgy_usage *out);
void rgy_agent_update_usage_instances (struct rgy_agent *a);
void rgy_agent_prepare_usage (struct rgy_agent *a);

/* Implemented in agent_balance.c.  */
/** @return true when this agent owns so many more flows than the mean of its
    group that a new one should be placed on another agent.  */
bool rgy_agent_is_above_bound (const struct rgy_agent *a);
/** @return the number of flows that this agent should hand over to reach the
    mean of its group.  */
size_t rgy_agent_get_surplus (const struct rgy_agent *a);
/** Choose an agent below the mean for a flow: the owner of the bucket if
    possible, else the one with the fewest flows.  @return NULL for none.  */
const struct rgy_name *rgy_agent_choose_less_loaded (const struct rgy_agent *a,
                                                     unsigned bucket);
/** @return true when the peer accepts flows as far as is known.  */
bool rgy_agent_peer_accepts (const struct rgy_agent *a,
                             const struct rgy_name *peer);

/* Implemented in agent_forwarded_flows.c.  */
struct rgy_forwarded_flows *rgy_forwarded_flows_new (void);
void rgy_forwarded_flows_delete (struct rgy_forwarded_flows *forwarded_flows);
/** Record that a new flow was forwarded to @p target.  The first target of a
    flow is kept.  */
void rgy_forwarded_flows_note (struct rgy_forwarded_flows *forwarded_flows,
                               const struct rgy_flow_key *key,
                               const struct rgy_name *target, int64_t now_us);
/** @return the agent to which a new flow was forwarded within the last second,
    or NULL.  */
const struct rgy_name *
rgy_forwarded_flows_find (struct rgy_forwarded_flows *forwarded_flows,
                          const struct rgy_flow_key *key, int64_t now_us);

/* Implemented in agent_handover.c.  */
void rgy_agent_handover_tick (struct rgy_agent *a);
void rgy_agent_handle_handover (struct rgy_agent *a, struct rgy_endpoint from,
                                const struct rgy_handover_message *m);
void rgy_agent_handle_handover_ack (struct rgy_agent *a,
                                    const struct rgy_handover_ack_message *m);

#endif

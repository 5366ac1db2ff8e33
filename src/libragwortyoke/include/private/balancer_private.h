#ifndef RAGWORTYOKE_PRIVATE_BALANCER_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_BALANCER_PRIVATE_H

/**
 * @file
 * State of a balancer that its source files share.
 */

#include "private/link.h"
#include "ragwortyoke/balancer.h"
#include "ragwortyoke/limit.h"
#include "ragwortyoke/rollup.h"
#include "ragwortyoke/steering.h"

#define RGY_GOSSIP_INTERVAL_US INT64_C (200000)
/** Number of times that each balancer sends one update, counting GOSSIP and
    GOSSIP_ACK together.  With 7 sends an update misses a balancer with a
    probability of exp (-7), whatever the size of the fleet; synchronisation
    repairs such a miss.  With 3 * log2 (n) sends no repair would be needed,
    but they took four times the bytes at 460 balancers.  */
#define RGY_GOSSIP_TRANSMISSIONS 7
#define RGY_PROBE_INTERVAL_US INT64_C (1000000)
/** Interval of the messages to balancers that are dead or unknown to this
    balancer, so that separated groups rejoin.  */
#define RGY_REJOIN_INTERVAL_US INT64_C (5000000)
/** Shortest interval at which a balancer publishes its own demand.  */
#define RGY_DEMAND_INTERVAL_US INT64_C (2000000)
/** The interval between demand reports of one balancer grows by this much for
    each balancer of the fleet.  */
#define RGY_DEMAND_SPREAD_US INT64_C (500000)
/** Demand is not reported in fleets with more balancers than this.  */
#define RGY_DEMAND_MAX_FLEET 32
/** Changes between demands that are both below this are not reported.  */
#define RGY_DEMAND_MIN_BYTES 1000
/** Time for which digests must differ before a synchronisation starts.  */
#define RGY_DIGEST_GRACE_US INT64_C (1000000)
/** Time after which a balancer synchronises with a peer whose digests still
    differ, whatever the digests of other peers are.  In a large fleet the next
    message to or from the same peer may take a minute.  */
#define RGY_PEER_DIFFERING_US INT64_C (3000000)
/** Time after which the balancer ends the observation of a differing peer and
    observes the sender of the next message instead.  */
#define RGY_PEER_DIFFERING_FORGET_US INT64_C (120000000)
#define RGY_SYNC_INTERVAL_US INT64_C (1000000)
#define RGY_STORE_INTERVAL_US INT64_C (2000000)
/** A balancer acknowledges a probe on behalf of an agent if it has received a
    message from the agent within this time: longer than the heartbeat
    interval, shorter than the time after which an agent is unresponsive.  */
#define RGY_INDIRECT_ACK_US INT64_C (1500000)
/** Time for which a balancer still forwards packets after its failure domain
    was taken out of service.  */
#define RGY_WITHDRAW_DELAY_US INT64_C (3000000)
/** Space for entries in a gossip datagram, after tag, names and digests.  */
#define RGY_GOSSIP_ENTRY_BYTES (RGY_WIRE_DATAGRAM_BYTES - 200)
/** Size of an entry's version and encoding in a datagram, in addition to its
    key and value.  */
#define RGY_ENTRY_OVERHEAD_BYTES 32
/** Number of balancers that monitor one member.  */
#define RGY_MONITOR_COUNT 3
/** Time for the monitored agents to report a configuration change, after which
    the agents that have not reported it are published as lagging; longer than
    a heartbeat interval.  */
#define RGY_CONFIRM_WAIT_US INT64_C (1500000)
/** Number of acknowledgements to an agent for each sample of balancers.  An
    agent receives three acknowledgements a second and therefore one sample in
    about 5 s.  */
#define RGY_SAMPLE_PERIOD 16
/** Number of balancers of a failure domain that watch the store.  */
#define RGY_READER_COUNT 2
/** Time after which a new balancer becomes ready although no peer has sent it
    the agents: two heartbeats of an agent.  */
#define RGY_WARM_UP_US INT64_C (2000000)
#define RGY_BURST_MS 500

/** Bucket table of one service.  */
struct rgy_service_table
{
  struct rgy_endpoint service;
  struct rgy_bucket_table *table;
  uint64_t group_changes; /**< Value of the group's change counter when the
                             table was built.  */
  uint64_t domain_changes;
};

/** Entry that is still to be pushed to the monitored agents.  */
struct rgy_pending_push
{
  struct rgy_entry entry;
  GBytes *value; /**< Owns the entry's value.  */
};

/** Entry that is too large for a gossip datagram.  Only its version is
    gossiped; a balancer that lacks the entry pulls it from the sender.  */
struct rgy_announcement
{
  struct rgy_entry entry; /**< The entry without its value.  */
  unsigned sends;
};

/** Load that an agent reported in its last heartbeat.  */
struct rgy_agent_load
{
  uint32_t flows;
  uint32_t running;
  uint32_t limit;
  uint64_t refused[RGY_REFUSAL_REASON_COUNT];
};

struct rgy_balancer_counters
{
  uint64_t *packets_in;
  uint64_t *bytes_in;
  uint64_t *forwarded;
  uint64_t *answers;
  uint64_t *drop_malformed;
  uint64_t *drop_unknown_service;
  uint64_t *drop_unknown_caller;
  uint64_t *drop_limit;
  uint64_t *drop_no_backend;
  uint64_t *drop_out;
  uint64_t *cut_protections;
  uint64_t *declared_dead;
  uint64_t *config_changes;
  uint64_t *agents;
  uint64_t *balancers;
};

struct rgy_balancer
{
  struct rgy_balancer_settings settings;
  struct rgy_blackboard *bb;
  struct rgy_counters *counters;
  struct rgy_balancer_counters c;
  struct rgy_link link;
  GRand *random;
  struct rgy_balancer_record self;
  GByteArray *packet; /**< Buffer in which datagrams to the
                         fabric are built.  */

  GHashTable *tables; /**< Packed service endpoint to
                         struct rgy_service_table.  */
  GHashTable *limits; /**< Customer name to struct rgy_rate_limit.  */

  struct rgy_liveness *agents_liveness;
  struct rgy_liveness *balancers_liveness;
  GHashTable *loads;   /**< Name of a monitored agent
                          to struct rgy_agent_load.  */
  GHashTable *lagging; /**< Set of the names of monitored agents whose
                          configuration differs from this balancer's.  */
  uint64_t monitored_agent_changes;
  uint64_t monitored_balancer_changes;
  uint64_t monitored_domain_changes;
  uint64_t member_set;   /**< Hash of the names of the live balancers.  */
  uint64_t monitor_set;  /**< Hash of the names of the balancers that may
                            monitor agents.  */
  GHashTable *monitored; /**< Agent name to whether this
                            balancer monitors it.  */

  GPtrArray *pending_pushes; /**< Owned struct rgy_pending_push, for the
                                monitored agents.  */
  char *last_stored_rollup;  /**< JSON of the roll-up of this
                                balancer's failure domain that was read
                                last from the store.  */
  GArray *announcements;     /**< Elements are struct rgy_announcement.  */
  GHashTable *stored_orders; /**< Failure domain to the number of its order in
                                the store.  */

  int64_t next_gossip_us;
  int64_t next_probe_us;
  int64_t next_rejoin_us;
  int64_t next_demand_us;
  int64_t next_report_us;
  int64_t next_sync_us;
  int64_t next_store_us;
  int64_t digests_differ_since_us; /**< 0 when the digests agree.  */
  struct rgy_name differing_peer;  /**< Peer whose digests differ
                                      from this balancer's.  */
  int64_t peer_differs_since_us;   /**< 0 when no peer is observed.  */
  int64_t out_since_us;            /**< 0 while this balancer's failure domain
                                      is in service.  */
  int64_t drain_until_us;   /**< 0 when the balancer is not draining.  */
  bool gossip_soon;         /**< The next tick gossips without waiting for the
                               interval, because an entry is new.  */
  int64_t confirm_until_us; /**< 0 when no configuration digest waits
                               to be published.  */
  bool record_changed;
  bool config_changed;
  bool cut_protection;
  bool knows_agents; /**< The agents are known, so that the balancer may become
                        ready; see warm_up_tick_().  */
  int64_t started_us; /**< Time of the first tick.  */
  bool joined; /**< The replica has agreed with a peer's at least once.  */
  bool initial_pull; /**< The synchronisation in progress was requested before
                        the balancer had joined.  */
  bool synced;       /**< The balancer has synchronised with a peer or
                        read the store.  */
  bool reader;       /**< This balancer watches the store.  */
};

/* Defined in balancer.c.  */
void rgy_balancer_send_message (struct rgy_balancer *b, struct rgy_endpoint to,
                                const struct rgy_message *message,
                                struct rgy_actions *actions);
/** Write the sorted names of the balancers in the cluster, except this one, to
    NAMES.
    @return the number of names.  */
size_t rgy_balancer_list_others (const struct rgy_balancer *b,
                                 struct rgy_name *names, size_t max);

/** False for a balancer that is dead or has left.  */
bool rgy_balancer_is_in_cluster (const struct rgy_balancer_record *r);

/* Defined in balancer_entries.c.  */
enum rgy_outcome rgy_balancer_apply_entry (struct rgy_balancer *b,
                                           const struct rgy_entry *entry,
                                           struct rgy_actions *actions);
/** Apply an agent record that arrived outside of an entry, such as
    in a heartbeat.  */
void rgy_balancer_apply_agent_record (struct rgy_balancer *b,
                                      const struct rgy_agent_record *record,
                                      struct rgy_actions *actions);
/** Apply an entry of the initial synchronisation.  It is not gossiped, because
    the other balancers have it already.  */
enum rgy_outcome
rgy_balancer_apply_pulled_entry (struct rgy_balancer *b,
                                 const struct rgy_entry *entry,
                                 struct rgy_actions *actions);
/** Apply the entries of a message.
    @return true when the message announces an entry version that
    this balancer lacks.  */
bool rgy_balancer_apply_entries (struct rgy_balancer *b,
                                 const struct rgy_entries_message *m,
                                 struct rgy_actions *actions);

/* Defined in balancer_gossip.c.  */
void rgy_balancer_gossip_tick (struct rgy_balancer *b, int64_t now_us,
                               struct rgy_actions *actions);
/** Send gossip to a seed, or to a balancer that is dead or unknown to this
    balancer, so that separated groups rejoin.  */
void rgy_balancer_rejoin_tick (struct rgy_balancer *b, int64_t now_us,
                               struct rgy_actions *actions);
void rgy_balancer_handle_gossip (struct rgy_balancer *b,
                                 struct rgy_endpoint from,
                                 const struct rgy_message *message,
                                 int64_t now_us, struct rgy_actions *actions);

/* Defined in balancer_record.c.  */
/** Publish this balancer's own record when it has changed.  */
void rgy_balancer_publish_record (struct rgy_balancer *b, int64_t now_us);

/* Defined in balancer_store.c.  */
/** True when this balancer, which is the last of NAMES, should
    watch the store.  */
bool rgy_balancer_choose_reader (const struct rgy_balancer *b,
                                 const struct rgy_name *names, size_t count);
void rgy_balancer_store_tick (struct rgy_balancer *b, int64_t now_us,
                              struct rgy_actions *actions);

/* Defined in balancer_monitor.c.  */
void rgy_balancer_monitor_tick (struct rgy_balancer *b, int64_t now_us,
                                struct rgy_actions *actions);
/** List the names in TABLE that are watched.  They are sorted, so that a run
    does not depend on the order in a hash table.  The caller frees the array
    but not the names.  */
GPtrArray *rgy_balancer_list_watched (GHashTable *table,
                                      const struct rgy_liveness *liveness);

/* Defined in balancer_heartbeat.c.  */
void rgy_balancer_handle_heartbeat (struct rgy_balancer *b,
                                    struct rgy_endpoint from,
                                    const struct rgy_heartbeat_message *m,
                                    int64_t now_us,
                                    struct rgy_actions *actions);
/** Count every monitored agent as lagging until its next heartbeat.  */
void rgy_balancer_mark_agents_lagging (struct rgy_balancer *b);

/* Defined in balancer_push.c.  */
void rgy_balancer_push_entries (struct rgy_balancer *b,
                                struct rgy_actions *actions);

/* Defined in balancer_packet.c.  */
void rgy_balancer_handle_answer (struct rgy_balancer *b,
                                 const struct rgy_answer_message *m,
                                 struct rgy_actions *actions);

#endif

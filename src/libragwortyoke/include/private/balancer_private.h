#ifndef RAGWORTYOKE_PRIVATE_BALANCER_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_BALANCER_PRIVATE_H

/**
 * @file
 * State of a balancer, shared by its source files.
 */

#include "private/link.h"
#include "ragwortyoke/balancer.h"
#include "ragwortyoke/limit.h"
#include "ragwortyoke/rollup.h"
#include "ragwortyoke/steering.h"

#define RGY_GOSSIP_INTERVAL_US INT64_C (200000)
/** Sends of one update by each balancer, in GOSSIP and GOSSIP_ACK together.
    So many miss a balancer with a probability of exp (-7), whatever the size
    of the fleet; a synchronisation repairs that.  3 * log2 (n) sends, which
    need no repair, took four times the bytes at 460 balancers.  */
#define RGY_TRANSMISSIONS 7
#define RGY_PROBE_INTERVAL_US INT64_C (1000000)
/** A balancer that is dead or unknown here is tried this often.  */
#define RGY_REJOIN_INTERVAL_US INT64_C (5000000)
#define RGY_RECORD_INTERVAL_US INT64_C (1000000)
/** Own demand is published at most this often.  */
#define RGY_DEMAND_INTERVAL_US INT64_C (2000000)
/** Reports of one balancer are this far apart for each balancer of the
    fleet.  */
#define RGY_DEMAND_SPREAD_US INT64_C (500000)
/** Above this number of balancers no demand is reported.  */
#define RGY_DEMAND_MAX_FLEET 32
/** Changes of a demand below this are not reported.  */
#define RGY_DEMAND_MIN_BYTES 1000
/** Digests that differ for this long start a synchronisation.  */
#define RGY_DIGEST_GRACE_US INT64_C (1000000)
/** A peer that has differed for this long is synchronised with, whatever other
    peers say.  In a large fleet a peer is met again only after a minute.  */
#define RGY_DIFFERING_US INT64_C (3000000)
#define RGY_DIFFERING_FORGET_US INT64_C (120000000)
#define RGY_SYNC_INTERVAL_US INT64_C (1000000)
#define RGY_STORE_INTERVAL_US INT64_C (2000000)
/** A balancer vouches for an agent that it heard within this time: more than
    the interval of heartbeats, less than the silence of a dead agent.  */
#define RGY_VOUCH_US INT64_C (1500000)
/** A balancer whose failure domain is out forwards for this long.  */
#define RGY_WITHDRAW_US INT64_C (3000000)
/** Room left in a gossip datagram after tag, names and digests.  */
#define RGY_GOSSIP_ENTRY_BYTES (RGY_WIRE_DATAGRAM_BYTES - 200)
/** Key and version of an entry in a datagram.  */
#define RGY_ENTRY_OVERHEAD_BYTES 32
/** Balancers that monitor one member.  */
#define RGY_MONITOR_COUNT 3
/** Time for the monitored agents to report a change before those that have
    not are published; longer than a heartbeat interval.  */
#define RGY_CONFIRM_WAIT_US INT64_C (1500000)
/** One of so many acknowledgements to an agent carries a sample; at three a
    second the agent gets one every 5 s.  */
#define RGY_SAMPLE_PERIOD 16
/** Balancers of a failure domain that watch the store.  */
#define RGY_READER_COUNT 2
/** A new balancer that no peer tells of the agents is ready after this long:
    two heartbeats of an agent.  */
#define RGY_WARM_UP_US INT64_C (2000000)
#define RGY_BURST_MS 500

/** Bucket table of one service.  */
struct rgy_service_table
{
  struct rgy_endpoint service;
  struct rgy_bucket_table *table;
  uint64_t group_changes; /**< Changes that it was built from.  */
  uint64_t domain_changes;
};

/** Entry that is still to be sent to the monitored agents.  */
struct rgy_fresh_entry
{
  struct rgy_entry entry;
  GBytes *value; /**< Owns the entry's value.  */
};

/** Entry that is too large for a gossip datagram.  Its version alone is
    gossiped, and who lacks it pulls it from the sender.  */
struct rgy_announcement
{
  struct rgy_entry entry; /**< Without its value.  */
  unsigned sends;
};

/** What an agent last reported in a heartbeat.  */
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
  uint64_t *cuts;
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
  GByteArray *packet; /**< Scratch for egress datagrams.  */

  GHashTable *tables; /**< Packed service endpoint to rgy_service_table.  */
  GHashTable *limits; /**< Customer to rgy_rate_limit.  */

  struct rgy_liveness *agents_liveness;
  struct rgy_liveness *balancers_liveness;
  GHashTable *loads;   /**< Monitored agents to struct rgy_agent_load.  */
  GHashTable *lagging; /**< Set of agent names.  */
  uint64_t monitored_agent_changes;
  uint64_t monitored_balancer_changes;
  uint64_t monitored_domain_changes;
  uint64_t member_set;   /**< Hash of the live balancers.  */
  uint64_t monitor_set;  /**< Hash of those that may monitor agents.  */
  GHashTable *monitored; /**< Agent name to whether it is monitored here.  */

  GPtrArray *fresh;      /**< Owned entries to push to monitored agents.  */
  char *stored_rollup;   /**< Of the own failure domain, as last seen.  */
  GArray *announcements; /**< struct rgy_announcement.  */
  GHashTable *stored_orders; /**< Domain to the order number in the store. */

  int64_t next_gossip_us;
  int64_t next_probe_us;
  int64_t next_rejoin_us;
  int64_t next_record_us;
  int64_t next_demand_us;
  int64_t next_report_us;
  int64_t next_sync_us;
  int64_t next_store_us;
  int64_t digest_differs_since_us; /**< 0 when digests agree.  */
  struct rgy_name differing;       /**< Peer whose digests differ.  */
  int64_t differing_since_us;      /**< 0 when there is none.  */
  int64_t out_since_us;            /**< 0 while the domain is in.  */
  int64_t drain_until_us;          /**< 0 when not draining.  */
  bool eager;                      /**< Gossip soon: something is new.  */
  int64_t confirm_until_us; /**< 0 when no digest waits to be published.  */
  bool record_changed;
  bool config_changed;
  bool cut;
  bool knows_agents;  /**< May be ready; see warm_up_tick_().  */
  int64_t started_us; /**< First tick.  */
  bool joined;        /**< Has held the same entries as a peer.  */
  bool initial_pull;  /**< The pull under way began before it had joined.  */
  bool synced;        /**< Synchronised with a peer or read from the store.  */
  bool reader;        /**< Watches the store.  */
};

/* balancer.c */
void rgy_balancer_send_message (struct rgy_balancer *b, struct rgy_endpoint to,
                                const struct rgy_message *message,
                                struct rgy_actions *actions);
/** Names of the usable or starting balancers but this one, sorted.  */
size_t rgy_balancer_list_others (const struct rgy_balancer *b,
                                 struct rgy_name *names, size_t max);

/** False for a balancer that is dead or has left.  */
bool rgy_balancer_is_in_cluster (const struct rgy_balancer_record *r);

/* balancer_entries.c */
enum rgy_outcome rgy_balancer_apply_entry (struct rgy_balancer *b,
                                           const struct rgy_entry *entry,
                                           struct rgy_actions *actions);
/** Apply a record that arrived outside the replica's entries.  */
void rgy_balancer_apply_agent_record (struct rgy_balancer *b,
                                      const struct rgy_agent_record *record,
                                      struct rgy_actions *actions);
/** Apply an entry of the initial pull; it is not gossiped.  */
enum rgy_outcome
rgy_balancer_apply_pulled_entry (struct rgy_balancer *b,
                                 const struct rgy_entry *entry,
                                 struct rgy_actions *actions);
/** @return true when an entry is announced that is not yet known here.  */
bool rgy_balancer_apply_entries (struct rgy_balancer *b,
                                 const struct rgy_entries_message *m,
                                 struct rgy_actions *actions);

/* balancer_gossip.c */
void rgy_balancer_gossip_tick (struct rgy_balancer *b, int64_t now_us,
                               struct rgy_actions *actions);
/** Write to a balancer that is dead or unknown here, so that separate groups
    join.  */
void rgy_balancer_rejoin_tick (struct rgy_balancer *b, int64_t now_us,
                               struct rgy_actions *actions);
void rgy_balancer_handle_gossip (struct rgy_balancer *b,
                                 struct rgy_endpoint from,
                                 const struct rgy_message *message,
                                 int64_t now_us, struct rgy_actions *actions);

/* balancer_record.c */
/** Publish the own record when it has changed.  */
void rgy_balancer_publish_record (struct rgy_balancer *b, int64_t now_us);

/* balancer_store.c */
/** True when this balancer, the last of NAMES, should watch the store.  */
bool rgy_balancer_choose_reader (const struct rgy_balancer *b,
                                 const struct rgy_name *names, size_t count);
void rgy_balancer_store_tick (struct rgy_balancer *b, int64_t now_us,
                              struct rgy_actions *actions);

/* balancer_monitor.c */
void rgy_balancer_monitor_tick (struct rgy_balancer *b, int64_t now_us,
                                struct rgy_actions *actions);
/** Names in TABLE that are watched, in the order of the names, so that a run
    does not depend on the order in a hash table.  Free the array.  */
GPtrArray *rgy_balancer_list_watched (GHashTable *table,
                                      const struct rgy_liveness *liveness);

/* balancer_heartbeat.c */
void rgy_balancer_handle_heartbeat (struct rgy_balancer *b,
                                    struct rgy_endpoint from,
                                    const struct rgy_heartbeat_message *m,
                                    int64_t now_us,
                                    struct rgy_actions *actions);
/** Counts every monitored agent as lagging until its next heartbeat.  */
void rgy_balancer_suspect_lag (struct rgy_balancer *b);

/* balancer_push.c */
void rgy_balancer_push_fresh (struct rgy_balancer *b,
                              struct rgy_actions *actions);

/* balancer_packet.c */
void rgy_balancer_handle_answer (struct rgy_balancer *b,
                                 const struct rgy_answer_message *m,
                                 struct rgy_actions *actions);

#endif

#ifndef RAGWORTYOKE_STEERING_H
#define RAGWORTYOKE_STEERING_H

/**
 * @file
 * Steering: bucket tables, bitmaps of buckets in which agents may own flows,
 * and the choice of the next agent for a packet whose flow this agent does not
 * own.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/str.h"

#define RGY_BUCKET_COUNT 256
#define RGY_BUCKET_WORDS (RGY_BUCKET_COUNT / 64)

/** Highest number of agents that one packet visits.  */
#define RGY_MAX_HOPS 6

/** Highest number of agents of one service.  */
#define RGY_GROUP_MAX 64

/** Set of buckets.  */
struct rgy_bucket_set
{
  uint64_t words[RGY_BUCKET_WORDS];
};

void rgy_bucket_set_add (struct rgy_bucket_set *set, unsigned bucket);
void rgy_bucket_set_remove (struct rgy_bucket_set *set, unsigned bucket);
bool rgy_bucket_set_has (const struct rgy_bucket_set *set, unsigned bucket);

/* Bucket table: assigns each bucket to an owner among the eligible agents.  */

struct rgy_bucket_table;

struct rgy_bucket_table *rgy_bucket_table_new (void);
void rgy_bucket_table_delete (struct rgy_bucket_table *table);

/**
 * Rebuild the table by rendezvous hashing.  Each agent owns at most
 * ceil (RGY_BUCKET_COUNT / count) buckets.  The result depends only on the set
 * of names and the seed, not on their order.
 *
 * @param members  names of the eligible agents, without duplicates.
 * @param count    0 gives a table without owners; past RGY_GROUP_MAX the
 *                 first ones in name order are used.
 * @param seed     the same on every process for one service.
 */
void rgy_bucket_table_build (struct rgy_bucket_table *table,
                             const struct rgy_name *members, size_t count,
                             uint64_t seed);

/** @return the owner of the bucket, or NULL when no agent is eligible.  */
const struct rgy_name *
rgy_bucket_table_get_owner (const struct rgy_bucket_table *table,
                            unsigned bucket);

/** Get an eligible agent by its rendezvous order for a bucket; @p rank 0 is
    the agent with the highest weight.  @return NULL past the last one.  */
const struct rgy_name *
rgy_bucket_table_get_ranked (const struct rgy_bucket_table *table,
                             unsigned bucket, size_t rank);

/** @return a hash of the set of eligible agents; equal sets have equal
    hashes.  */
uint64_t rgy_bucket_table_get_view (const struct rgy_bucket_table *table);
size_t rgy_bucket_table_get_count (const struct rgy_bucket_table *table);

/* Steering decisions at an agent.  */

enum rgy_steer_kind
{
  RGY_STEER_OPEN,    /**< Open the flow at this agent.  */
  RGY_STEER_FORWARD, /**< Forward the packet to @c next.  */
  RGY_STEER_DROP     /**< No agent can accept the packet; see the reason.  */
};

enum rgy_steer_reason
{
  RGY_STEER_REASON_OWNER,     /**< This agent owns the bucket.  */
  RGY_STEER_REASON_MAY_HOLD,  /**< @c next may own the flow.  */
  RGY_STEER_REASON_UNSETTLED, /**< All live peers are visited, because the
                                 bucket is unsettled after a change of the
                                 group.  */
  RGY_STEER_REASON_NOT_OWNER, /**< @c next owns the bucket.  For RGY_STEER_OPEN
                                 and RGY_STEER_DROP: the owner has already
                                 forwarded the packet.  */
  RGY_STEER_REASON_OVERFLOW,  /**< The agent that was to open the flow forwards
                                 it to another eligible agent.  For
                                 RGY_STEER_OPEN: this is the other agent.  For
                                 RGY_STEER_DROP: no other agent is left.  */
  RGY_STEER_REASON_HOP_LIMIT, /**< The packet visited RGY_MAX_HOPS agents.  */
  RGY_STEER_REASON_NO_AGENT,  /**< No agent is eligible.  */
  RGY_STEER_REASON_COUNT
};

/** Short text of each reason, indexed by enum rgy_steer_reason.  */
extern const char *const rgy_steer_reason_string[];

struct rgy_steer_decision
{
  enum rgy_steer_kind kind;
  enum rgy_steer_reason reason;
  struct rgy_name next; /**< Valid for RGY_STEER_FORWARD.  */
  bool become_origin;   /**< This agent becomes the origin of the trail.  */
  bool visit_all;       /**< The lookup visits all live peers.  */
  bool restart; /**< The trail starts anew.  The own bitmap may have advanced:
                   send PEER_STATE at once.  */
  uint64_t claim_sequence; /**< Own sequence if this agent owns or has claimed
                              the bucket, else 0.  */
};

/** Record, carried in a packet, of the agents that the packet has visited.  */
struct rgy_steer_trail
{
  struct rgy_name visited[RGY_MAX_HOPS];
  size_t count;
  bool overflow; /**< An agent that was to open the flow forwarded it: the
                    receiver may open it although it is not the owner.  */
  size_t origin; /**< 1 + index in @c visited of the agent to which the packet
                    returns when no agent is left to visit; 0: none.  */
  uint64_t origin_sequence; /**< Sequence of the origin if it owns the bucket
                               in its own view or has claimed it, else 0.  */
  bool visit_all; /**< The lookup visits all live peers, not only those that
                     may own the flow.  */
  bool restarted; /**< The trail has been started anew once, because an agent
                     claimed the bucket while the packet was in transit.  */
};

/**
 * Update the trail of a packet that is forwarded after @p decision.
 *
 * @param self  agent that forwards the packet.
 */
void rgy_steer_trail_extend (struct rgy_steer_trail *trail,
                             const struct rgy_name *self,
                             const struct rgy_steer_decision *decision);

struct rgy_steering;

/**
 * @param self  ID of this agent.
 * @param seed  seed of the service's bucket table.
 */
struct rgy_steering *rgy_steering_new (const struct rgy_name *self,
                                       uint64_t seed);
void rgy_steering_delete (struct rgy_steering *steering);

/** Enable the lookup at peers that may own a flow, such as previous owners of
    its bucket.  Disabled only as a baseline for measurements.  */
void rgy_steering_set_lookup_enabled (struct rgy_steering *steering,
                                      bool enabled);

/**
 * Replace the group of this service.
 *
 * @param eligible  agents that may open flows (this one included when it is
 *                  ready).
 * @param peers     other live agents, eligible or not (for example draining).
 *
 * Buckets gained by the change are unsettled until every live peer has
 * acknowledged a sequence sent after the change.  An unchanged group has no
 * effect.
 *
 * @return true when the group changed.
 */
bool rgy_steering_set_group (struct rgy_steering *steering,
                             const struct rgy_name *eligible,
                             size_t eligible_count,
                             const struct rgy_name *peers, size_t peer_count);

/**
 * Record the occupied buckets, in which this agent owns flows.  To be called
 * after every open and close, before any acknowledgement is sent to a peer.
 *
 * @return true when the own bitmap changed: the sequence has advanced and a
 *         PEER_STATE should be sent at once.
 */
bool rgy_steering_set_occupied (struct rgy_steering *steering,
                                const struct rgy_bucket_set *occupied);

/** @return the sequence number for the next PEER_STATE, which advances when
    the own bitmap or the group changes.  */
uint64_t rgy_steering_get_sequence (const struct rgy_steering *steering);

/** Get the own bitmap for PEER_STATE: owned, claimed and occupied buckets.  */
void rgy_steering_get_bitmap (const struct rgy_steering *steering,
                              const struct rgy_bucket_set *occupied,
                              struct rgy_bucket_set *may_hold);

/** Record a PEER_STATE.
    @return RGY_OK, RGY_ERR_STALE (older epoch or sequence) or
    RGY_ERR_NOT_FOUND (not a live peer; the state is recorded all the same).
    RGY_ERR_NOT_FOUND must not be acknowledged: the peer would count this agent
    as settled although this agent does not steer by the peer's bitmap.  */
enum rgy_outcome rgy_steering_note_state (struct rgy_steering *steering,
                                          const struct rgy_name *peer,
                                          uint64_t epoch, uint64_t sequence,
                                          const struct rgy_bucket_set *bitmap);

/** Record that @p peer has acknowledged sequence @p sequence of this agent's
    current epoch.  */
void rgy_steering_note_ack (struct rgy_steering *steering,
                            const struct rgy_name *peer, uint64_t sequence);

/**
 * Record an acknowledgement that names the peer's own sequence at the time
 * when it was sent.  The peer counts as settled only once its state of @p
 * peer_sequence has arrived; otherwise a delayed state could hide a flow that
 * the peer opened before it acknowledged.
 */
void rgy_steering_note_ack_at (struct rgy_steering *steering,
                               const struct rgy_name *peer, uint64_t sequence,
                               uint64_t peer_sequence);

/** @return true once every live peer has sent its state and acknowledged this
    agent's.  */
bool rgy_steering_is_settled (const struct rgy_steering *steering);

/** Stop waiting for peers that have not acknowledged.  To be called 1 s after
    a change, so that an unresponsive peer cannot block new flows.  */
void rgy_steering_force_settled (struct rgy_steering *steering);

/**
 * Decide on a packet whose flow this agent does not own.
 *
 * The packet goes to the live peers that may own the flow, then to the owner
 * of the bucket.  The owner of an unsettled bucket sends it to all live peers
 * first; a settled owner that such a packet reaches opens the flow itself,
 * because it may not yet know of the other owner.
 *
 * @param trail  agents visited so far; names this agent only when the packet
 *               has returned to it as the origin.
 */
void rgy_steering_decide (struct rgy_steering *steering, unsigned bucket,
                          const struct rgy_steer_trail *trail,
                          struct rgy_steer_decision *decision);

/** Choose another eligible agent for a new flow that this one cannot accept.
    Gives RGY_STEER_FORWARD with RGY_STEER_REASON_OVERFLOW, or
    RGY_STEER_DROP.  */
void rgy_steering_decide_overflow (const struct rgy_steering *steering,
                                   unsigned bucket,
                                   const struct rgy_steer_trail *trail,
                                   struct rgy_steer_decision *decision);

/** @return true when this agent owns the bucket in its own view.  */
bool rgy_steering_is_owner (const struct rgy_steering *steering,
                            unsigned bucket);

const struct rgy_bucket_table *
rgy_steering_get_table (const struct rgy_steering *steering);

#endif

#ifndef RAGWORTYOKE_STEERING_H
#define RAGWORTYOKE_STEERING_H

/**
 * @file
 * Bucket tables, bitmaps of buckets that may hold flows, and the choice of
 * the next agent for a packet whose flow is not held here.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/str.h"

#define RGY_BUCKET_COUNT 256
#define RGY_BUCKET_WORDS (RGY_BUCKET_COUNT / 64)

/** Most agents that one packet visits.  */
#define RGY_MAX_HOPS 6

/** Most agents of one service.  */
#define RGY_GROUP_MAX 64

/** Set of buckets.  */
struct rgy_bucket_set
{
  uint64_t words[RGY_BUCKET_WORDS];
};

void rgy_bucket_set_add (struct rgy_bucket_set *set, unsigned bucket);
void rgy_bucket_set_remove (struct rgy_bucket_set *set, unsigned bucket);
bool rgy_bucket_set_has (const struct rgy_bucket_set *set, unsigned bucket);

/* Bucket table: owner of each bucket among the eligible agents.  */

struct rgy_bucket_table;

struct rgy_bucket_table *rgy_bucket_table_new (void);
void rgy_bucket_table_delete (struct rgy_bucket_table *table);

/**
 * Rebuild the table.  Rendezvous hashing with a cap of
 * ceil (RGY_BUCKET_COUNT / count) buckets an agent; the result depends only
 * on the set of names and the seed, not on their order.
 *
 * @param members  names of the eligible agents, without duplicates.
 * @param count    0 gives a table without owners; past RGY_GROUP_MAX the
 *                 first ones in name order are used.
 * @param seed     the same on every process for one service.
 */
void rgy_bucket_table_build (struct rgy_bucket_table *table,
                             const struct rgy_name *members, size_t count,
                             uint64_t seed);

/** @return owner of the bucket, or NULL when no agent is eligible.  */
const struct rgy_name *
rgy_bucket_table_get_owner (const struct rgy_bucket_table *table,
                            unsigned bucket);

/** Eligible agents in rendezvous order for a bucket; @p rank 0 is the one
    with the highest weight.  @return NULL past the last one.  */
const struct rgy_name *
rgy_bucket_table_get_ranked (const struct rgy_bucket_table *table,
                             unsigned bucket, size_t rank);

/** Hash of the set of eligible agents; equal sets have equal hashes.  */
uint64_t rgy_bucket_table_get_view (const struct rgy_bucket_table *table);
size_t rgy_bucket_table_get_count (const struct rgy_bucket_table *table);

/* Steering at an agent.  */

enum rgy_steer_kind
{
  RGY_STEER_OPEN,    /**< Open the flow here.  */
  RGY_STEER_FORWARD, /**< Send the packet to @c next.  */
  RGY_STEER_DROP     /**< No agent can take it; see the reason.  */
};

enum rgy_steer_reason
{
  RGY_STEER_REASON_OWNER,     /**< This agent owns the bucket.  */
  RGY_STEER_REASON_MAY_HOLD,  /**< @c next may hold the flow.  */
  RGY_STEER_REASON_UNSETTLED, /**< All live peers are asked after a change.  */
  RGY_STEER_REASON_NOT_OWNER, /**< @c next owns the bucket.  For OPEN and
                                 DROP: the owner has already passed the
                                 packet on.  */
  RGY_STEER_REASON_OVERFLOW,  /**< The owner could not take the flow.  */
  RGY_STEER_REASON_HOP_LIMIT, /**< Visited RGY_MAX_HOPS agents.  */
  RGY_STEER_REASON_NO_AGENT,  /**< No agent is eligible.  */
  RGY_STEER_REASON_COUNT
};

/** Short text of each reason, indexed by enum rgy_steer_reason.  */
extern const char *const rgy_steer_reason_string[];

struct rgy_steer_decision
{
  enum rgy_steer_kind kind;
  enum rgy_steer_reason reason;
  struct rgy_name next;    /**< Valid for RGY_STEER_FORWARD.  */
  bool ask;                /**< This agent becomes the origin of the trail.  */
  bool search;             /**< All live peers are to be visited.  */
  bool restart;            /**< The trail starts anew.  The own bitmap may have
                              advanced: send PEER_STATE at once.  */
  uint64_t claim_sequence; /**< Own sequence if this agent is the owner.  */
};

/** What a packet carries about the agents that it has passed.  */
struct rgy_steer_trail
{
  struct rgy_name visited[RGY_MAX_HOPS];
  size_t count;
  bool overflow; /**< The owner passed the flow on: the receiver may open it
                    although it is not the owner.  */
  size_t origin; /**< 1 + index in @c visited of the agent to which the
                    packet returns when nobody is left to ask; 0: none.  */
  uint64_t origin_sequence; /**< Sequence of the origin if it considers
                               itself the owner, else 0.  */
  bool search;    /**< Ask all live peers, not only those that may hold the
                     flow.  */
  bool restarted; /**< The trail has been started anew once, because an agent
                     claimed the bucket while the packet was on its way.  */
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
 * @param self  this agent's ID.
 * @param seed  seed of the service's bucket table.
 */
struct rgy_steering *rgy_steering_new (const struct rgy_name *self,
                                       uint64_t seed);
void rgy_steering_delete (struct rgy_steering *steering);

/** Disable following earlier owners; a baseline for measurements only.  */
void rgy_steering_set_chain_enabled (struct rgy_steering *steering,
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
 * effect.  @return true when the group changed.
 */
bool rgy_steering_set_group (struct rgy_steering *steering,
                             const struct rgy_name *eligible,
                             size_t eligible_count,
                             const struct rgy_name *peers, size_t peer_count);

/**
 * Record the buckets in which flows are held.  Called after every open and
 * close, before anything is acknowledged to a peer.
 *
 * @return true when the own bitmap changed: the sequence has advanced and a
 *         PEER_STATE should be sent at once.
 */
bool rgy_steering_set_held (struct rgy_steering *steering,
                            const struct rgy_bucket_set *held);

/** Sequence number for the next PEER_STATE; advances when the own bitmap or
    the group changes.  */
uint64_t rgy_steering_get_sequence (const struct rgy_steering *steering);

/** Own bitmap for PEER_STATE: owned buckets and held buckets.  */
void rgy_steering_get_may_hold (const struct rgy_steering *steering,
                                const struct rgy_bucket_set *held,
                                struct rgy_bucket_set *may_hold);

/** Record a PEER_STATE.
    @return RGY_OK, RGY_ERR_STALE (older epoch or sequence) or
    RGY_ERR_NOT_FOUND (not a live peer; it is remembered all the same).
    RGY_ERR_NOT_FOUND must not be acknowledged: the peer would count as
    settled here while its bits are not followed.  */
enum rgy_outcome rgy_steering_note_state (struct rgy_steering *steering,
                                          const struct rgy_name *peer,
                                          uint64_t epoch, uint64_t sequence,
                                          const struct rgy_bucket_set *held);

/** Record that @p peer has acknowledged our sequence @p sequence of the
    current epoch.  */
void rgy_steering_note_ack (struct rgy_steering *steering,
                            const struct rgy_name *peer, uint64_t sequence);

/**
 * As rgy_steering_note_ack(), for an acknowledgement that names the peer's
 * own sequence when it was sent.  The peer counts as settled only once its
 * state of @p peer_sequence has arrived; otherwise a delayed state could hide
 * a flow that the peer opened before it acknowledged.
 */
void rgy_steering_note_answer (struct rgy_steering *steering,
                               const struct rgy_name *peer, uint64_t sequence,
                               uint64_t peer_sequence);

/** A packet that may open a flow is passed on to @p peer: it counts as a
    holder of the bucket until rgy_steering_age_passed() is called twice.  */
void rgy_steering_note_passed (struct rgy_steering *steering, unsigned bucket,
                               const struct rgy_name *peer);
void rgy_steering_age_passed (struct rgy_steering *steering);

/** True once every live peer has sent its state and acknowledged ours.  */
bool rgy_steering_is_settled (const struct rgy_steering *steering);

/** Stop waiting for peers that have not acknowledged.  Called 1 s after a
    change, so that a silent peer cannot block new flows.  */
void rgy_steering_force_settled (struct rgy_steering *steering);

/**
 * Decide on a packet whose flow is not held here.
 *
 * The packet goes to the live peers that may hold the flow, then to the owner
 * of the bucket.  The owner of an unsettled bucket asks all live peers first;
 * a settled owner that such a packet reaches opens the flow itself, because
 * it may not yet know of the other owner.
 *
 * @param trail  agents passed so far; names this agent only when the packet
 *               has returned to it as the origin.
 */
void rgy_steering_decide (struct rgy_steering *steering, unsigned bucket,
                          const struct rgy_steer_trail *trail,
                          struct rgy_steer_decision *decision);

/** Choose another eligible agent for a new flow that this one cannot take.
    Gives RGY_STEER_FORWARD with RGY_STEER_REASON_OVERFLOW, or
    RGY_STEER_DROP.  */
void rgy_steering_decide_overflow (const struct rgy_steering *steering,
                                   unsigned bucket,
                                   const struct rgy_steer_trail *trail,
                                   struct rgy_steer_decision *decision);

/** True when this agent owns the bucket in its own view.  */
bool rgy_steering_is_owner (const struct rgy_steering *steering,
                            unsigned bucket);

const struct rgy_bucket_table *
rgy_steering_get_table (const struct rgy_steering *steering);

#endif

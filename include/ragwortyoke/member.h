#ifndef RAGWORTYOKE_MEMBER_H
#define RAGWORTYOKE_MEMBER_H

/**
 * @file
 * Records of agents and balancers, and failure detection.  Cut protection
 * keeps a process that a partition has isolated from declaring all other
 * members dead.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/replica.h"
#include "ragwortyoke/str.h"

#define RGY_LAGGING_NAMES_MAX 8
#define RGY_DEMAND_MAX 16

enum rgy_member_state
{
  RGY_MEMBER_STARTING,
  RGY_MEMBER_READY,
  RGY_MEMBER_DRAINING,
  RGY_MEMBER_LEFT, /**< The graceful shutdown is complete.  */
  RGY_MEMBER_DEAD, /**< Declared dead by another member; the
                      sequence is odd.  */
  RGY_MEMBER_STATE_COUNT
};
extern const char *const rgy_member_state_string[];

/** Record of an agent; its entry version is (epoch, sequence).  */
struct rgy_agent_record
{
  struct rgy_name id;
  uint64_t epoch; /**< Incarnation; larger at every start of the process.  */
  uint64_t sequence; /**< Even when the agent itself wrote the record.  */
  enum rgy_member_state state;
  struct rgy_name domain;
  struct rgy_endpoint endpoint; /**< UDP address for internal messages.  */
  struct rgy_endpoint service;  /**< Address of the service that
                                   the agent serves.  */
};

/** Demand of one customer at one balancer.  */
struct rgy_demand
{
  struct rgy_name customer;
  uint64_t bytes_per_s;
};

/** Record of a balancer; its entry version is (epoch, sequence).  */
struct rgy_balancer_record
{
  struct rgy_name id;
  uint64_t epoch;
  uint64_t sequence;
  enum rgy_member_state state;
  struct rgy_name domain;
  struct rgy_endpoint endpoint; /**< UDP address for internal messages.  */
  struct rgy_endpoint sync;     /**< TCP address for synchronisation.  */
  struct rgy_endpoint http; /**< Address of the operators' HTTP endpoint.  */
  uint64_t config_digest;   /**< Digest over contracts and
                               failure domain orders.  */
  uint32_t lagging_count;   /**< Number of monitored agents
                               whose configuration differs.  */
  struct rgy_name lagging[RGY_LAGGING_NAMES_MAX];
  struct rgy_demand demand[RGY_DEMAND_MAX]; /**< In descending
                                               order of demand.  */
  size_t demand_count;
};

/**
 * Encode and decode records as MessagePack.  Free an encoded record with
 * g_byte_array_unref().
 *
 * The decoders ignore additional elements that a later version appends, and
 * keep the first names and customers of lists that are longer than the arrays.
 * They leave the record unchanged unless they return RGY_OK.
 *
 * @return of the decoders: RGY_OK, RGY_ERR_UNSUPPORTED (unknown state) or
 *         RGY_ERR_INVALID: malformed bytes, no ID or failure domain, no
 *         @c endpoint (for agents also no @c service), or a sequence that is
 *         odd although the state is not RGY_MEMBER_DEAD or the reverse.
 */
GByteArray *rgy_agent_record_encode (const struct rgy_agent_record *record);
enum rgy_outcome rgy_agent_record_decode (struct rgy_bytes bytes,
                                          struct rgy_agent_record *record);
GByteArray *
rgy_balancer_record_encode (const struct rgy_balancer_record *record);
enum rgy_outcome
rgy_balancer_record_decode (struct rgy_bytes bytes,
                            struct rgy_balancer_record *record);

/* Settings of the failure detector.  */

struct rgy_liveness_settings
{
  int64_t unresponsive_us; /**< Time without a message after which a member is
                              unresponsive and is probed; 2 s.  */
  int64_t probe_us;        /**< Time for the answer to a probe; 1 s.  */
  int64_t window_us; /**< Time for which a member declared dead counts for the
                        cut protection; 10 s.  */
  unsigned cut_protection_percent;     /**< Percentage of unresponsive
                                          members above which cut protection
                                          is on; 50.  */
  unsigned cut_protection_min_members; /**< Fewest members with which cut
                                          protection can be on; 4.  */
};

extern const struct rgy_liveness_settings rgy_liveness_defaults;

enum rgy_liveness_event_kind
{
  RGY_LIVENESS_PROBE,             /**< Send a probe to the member.  */
  RGY_LIVENESS_DEAD,              /**< Publish the member as dead.  */
  RGY_LIVENESS_CUT_PROTECTION_ON, /**< Cut protection is now on;
                                     @c id is unset.  */
  RGY_LIVENESS_CUT_PROTECTION_OFF /**< Cut protection is now off;
                                     @c id is unset.  */
};

struct rgy_liveness_event
{
  enum rgy_liveness_event_kind kind;
  struct rgy_name id;
};

struct rgy_liveness;

struct rgy_liveness *
rgy_liveness_new (const struct rgy_liveness_settings *settings);
void rgy_liveness_delete (struct rgy_liveness *liveness);

/** Note that a message from the member itself was received.  The first call
    for an unknown member only starts to watch the member;
    rgy_liveness_was_seen_since() does not count that call.  */
void rgy_liveness_note_message (struct rgy_liveness *liveness,
                                const struct rgy_name *id, int64_t now_us);
/** Note that another monitor receives messages from a watched member.  This
    defers a probe by @c unresponsive_us, but for the cut protection only
    messages from the member itself count.  */
void rgy_liveness_note_indirect_ack (struct rgy_liveness *liveness,
                                     const struct rgy_name *id,
                                     int64_t now_us);
/** True when a message from the member itself was received at or
    after @p since_us.  */
bool rgy_liveness_was_seen_since (const struct rgy_liveness *liveness,
                                  const struct rgy_name *id, int64_t since_us);
/** Stop watching a member.  */
void rgy_liveness_remove (struct rgy_liveness *liveness,
                          const struct rgy_name *id);
bool rgy_liveness_is_watched (const struct rgy_liveness *liveness,
                              const struct rgy_name *id);
/**
 * Get the next event that is due.  The caller repeats the call until there is
 * none.
 *
 * A member is unresponsive when no message from the member itself was received
 * for @c unresponsive_us.  It is probed unless another monitor has
 * acknowledged it within this time, and declared dead when neither the member
 * nor another monitor answers within @c probe_us.  Cut protection is on while
 * more than @c cut_protection_percent of the members are unresponsive; members
 * declared dead within @c window_us count as unresponsive.  While cut
 * protection is on, no member is declared dead, and unresponsive members are
 * probed again every @c unresponsive_us; when it ends, they are probed once
 * more.  A dead member is no longer watched.
 *
 * @return false when no event is due.
 */
bool rgy_liveness_next (struct rgy_liveness *liveness, int64_t now_us,
                        struct rgy_liveness_event *event);
/** State of the cut protection after the last rgy_liveness_next().  */
bool rgy_liveness_is_cut_protected (const struct rgy_liveness *liveness);
/**
 * Time of the last message from any member itself.
 *
 * @return 0 if only members declared dead within @c window_us are known, and
 *   INT64_MAX if there are none at all.
 */
int64_t rgy_liveness_get_last_contact (const struct rgy_liveness *liveness,
                                       int64_t now_us);
/**
 * Set the time of the last message from another monitor; the default is
 * INT64_MAX.  A member whose probe times out is probed again instead of
 * declared dead if no other monitor was in contact since the probe, because
 * then nobody could have acknowledged the member.
 */
void rgy_liveness_set_monitor_contact (struct rgy_liveness *liveness,
                                       int64_t contact_us);

/**
 * Rendezvous hashing: choose the @p wanted members with the highest weight for
 * @p subject, in descending order of weight.  The choice gives the monitors of
 * an agent and the readers of a failure domain.
 *
 * @return number of indices stored in @p chosen.
 */
size_t rgy_member_choose (const struct rgy_name *subject,
                          const struct rgy_name *members, size_t count,
                          size_t wanted, size_t *chosen);

#endif

#ifndef RAGWORTYOKE_MEMBER_H
#define RAGWORTYOKE_MEMBER_H

/**
 * @file
 * Records of agents and balancers, and liveness with protection against
 * declaring everyone dead when the own network is cut.
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
  RGY_MEMBER_LEFT, /**< Graceful shutdown is complete.  */
  RGY_MEMBER_DEAD, /**< Declared by another member; odd sequence.  */
  RGY_MEMBER_STATE_COUNT
};
extern const char *const rgy_member_state_string[];

/** Record of an agent; entry version is (epoch, sequence).  */
struct rgy_agent_record
{
  struct rgy_name id;
  uint64_t epoch;    /**< Larger at every start of the process.  */
  uint64_t sequence; /**< Even when written by the agent itself.  */
  enum rgy_member_state state;
  struct rgy_name domain;
  struct rgy_endpoint endpoint; /**< UDP, internal messages.  */
  struct rgy_endpoint service;  /**< Service address that it serves.  */
};

/** Demand of one customer at one balancer.  */
struct rgy_demand
{
  struct rgy_name customer;
  uint64_t bytes_per_s;
};

/** Record of a balancer; entry version is (epoch, sequence).  */
struct rgy_balancer_record
{
  struct rgy_name id;
  uint64_t epoch;
  uint64_t sequence;
  enum rgy_member_state state;
  struct rgy_name domain;
  struct rgy_endpoint endpoint; /**< UDP, internal messages.  */
  struct rgy_endpoint sync;     /**< TCP, synchronisation.  */
  struct rgy_endpoint http;     /**< Operators' endpoint.  */
  uint64_t config_digest;       /**< Contracts and domain orders.  */
  uint32_t lagging_count;       /**< Monitored agents with other digests.  */
  struct rgy_name lagging[RGY_LAGGING_NAMES_MAX];
  struct rgy_demand demand[RGY_DEMAND_MAX]; /**< Largest first.  */
  size_t demand_count;
};

/**
 * MessagePack form; free the result with g_byte_array_unref().
 *
 * Decoding ignores further elements that a later version appends, and keeps
 * the first names and customers of lists that are longer than the arrays.  It
 * leaves the record unchanged unless it returns RGY_OK.
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

/* Liveness.  */

struct rgy_liveness_settings
{
  int64_t silence_us;   /**< Silence before a probe; 2 s.  */
  int64_t probe_us;     /**< Time for the probe's answer; 1 s.  */
  int64_t window_us;    /**< Window of the cut protection; 10 s.  */
  unsigned cut_percent; /**< More silent members than this: a cut; 50.  */
  unsigned cut_min;     /**< Members needed for cut protection; 4.  */
};

extern const struct rgy_liveness_settings rgy_liveness_defaults;

enum rgy_liveness_event_kind
{
  RGY_LIVENESS_PROBE, /**< Send a probe.  */
  RGY_LIVENESS_DEAD,  /**< Publish the member as dead.  */
  RGY_LIVENESS_CUT,   /**< Cut protection is now on; @c id is unset.  */
  RGY_LIVENESS_UNCUT  /**< Cut protection is now off; @c id is unset.  */
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

/** A message from the member arrived; starts to watch an unknown one.  */
void rgy_liveness_heard (struct rgy_liveness *liveness,
                         const struct rgy_name *id, int64_t now_us);
/** Another monitor is in contact with a watched member: it is not silent, but
    does not count as reached for the cut protection.  */
void rgy_liveness_vouch (struct rgy_liveness *liveness,
                         const struct rgy_name *id, int64_t now_us);
/** True when a message from the member itself has arrived since a time.  */
bool rgy_liveness_is_reached (const struct rgy_liveness *liveness,
                              const struct rgy_name *id, int64_t since_us);
/** Stop watching a member.  */
void rgy_liveness_remove (struct rgy_liveness *liveness,
                          const struct rgy_name *id);
bool rgy_liveness_is_watched (const struct rgy_liveness *liveness,
                              const struct rgy_name *id);
/**
 * Next event that is due; call it until there is none.
 *
 * A member is silent when nothing was heard for @c silence_us.  Cut protection
 * is on while more than @c cut_percent of the members are silent; members
 * declared dead within @c window_us count as silent members.  During a cut
 * silent members are probed again every @c silence_us, and after it they get a
 * fresh probe.  A dead member is no longer watched.
 *
 * @return false when there is none.
 */
bool rgy_liveness_next (struct rgy_liveness *liveness, int64_t now_us,
                        struct rgy_liveness_event *event);
/** State of the cut protection after the last rgy_liveness_next().  */
bool rgy_liveness_is_cut (const struct rgy_liveness *liveness);

/**
 * Rendezvous choice among members: the @p wanted names with the highest
 * weight for @p subject, in order.  Used for the monitors of an agent and
 * for the readers of a failure domain.
 *
 * @return number of indices stored in @p chosen.
 */
size_t rgy_member_choose (const struct rgy_name *subject,
                          const struct rgy_name *members, size_t count,
                          size_t wanted, size_t *chosen);

#endif

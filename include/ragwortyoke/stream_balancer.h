#ifndef RAGWORTYOKE_STREAM_BALANCER_H
#define RAGWORTYOKE_STREAM_BALANCER_H

/**
 * @file
 * Balancer core for sequenced flows.  Its state is a cache: agents own the
 * flows, and the store owns the manifest and the list of failure domains out
 * of service.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/counter.h"
#include "ragwortyoke/segment.h"
#include "ragwortyoke/stream_action.h"
#include "ragwortyoke/stream_agent.h"
#include "ragwortyoke/stream_manifest.h"
#include "ragwortyoke/stream_message.h"

struct rgy_stream_balancer_settings
{
  uint32_t own_ip;
  struct rgy_name domain;
  uint64_t incarnation; /**< Random number drawn at each start of the
                             process.  */
  int64_t flow_ttl_us;  /**< Cached flows unused for longer than this
                             expire.  */
  uint32_t max_flows;   /**< Maximum number of cached flows.  */
  struct rgy_stream_action_sink out;
};

struct rgy_stream_balancer;

struct rgy_stream_balancer *
rgy_stream_balancer_new (const struct rgy_stream_balancer_settings *settings,
                         struct rgy_counters *counters, int64_t now_us);
void rgy_stream_balancer_delete (struct rgy_stream_balancer *balancer);

/**
 * Activate a manifest.  The balancer takes ownership of @p manifest in any
 * case.
 *
 * @return RGY_OK, or RGY_ERR_STALE if the version is not newer than the active
 *         one.
 */
enum rgy_outcome
rgy_stream_balancer_set_manifest (struct rgy_stream_balancer *balancer,
                                  struct rgy_stream_manifest *manifest,
                                  int64_t now_us);

/** Where a manifest comes from.  */
struct rgy_manifest_origin
{
  enum
  {
    RGY_MANIFEST_STORED,   /**< The store holds it; it may be of the copy from
                                which the store has returned.  */
    RGY_MANIFEST_WRITTEN,  /**< Written to the store in this epoch.  */
    RGY_MANIFEST_STANDING, /**< The store holds it, and operators have had the
                                time to write it again in this epoch.  */
    RGY_MANIFEST_PEER      /**< Active at another balancer, for which it was
                              standing      in this epoch.  */
  } source;
  uint32_t epoch; /**< Epoch of the store in which the manifest stands; 0 if
                       none is known.  */
};

/**
 * Receive a manifest from the store or from another balancer.  One of a later
 * epoch that is older than the active one becomes active only when it stands
 * there, or has been written there 1.5 s ago.  The balancer takes ownership of
 * @p manifest in any case.
 *
 * @return RGY_OK, or RGY_ERR_STALE if the manifest has not become active.
 */
enum rgy_outcome rgy_stream_balancer_receive_manifest (
    struct rgy_stream_balancer *balancer, struct rgy_stream_manifest *manifest,
    struct rgy_manifest_origin origin, int64_t now_us);

/** Text of the active manifest, owned by it; empty before the first one.  */
struct rgy_str rgy_stream_balancer_get_manifest_text (
    const struct rgy_stream_balancer *balancer);

/** Version of the active manifest; 0 before the first one.  */
uint64_t
rgy_stream_balancer_get_version (const struct rgy_stream_balancer *balancer);

/** Set the failure domains that are out of service.  A view with an older
    position is ignored.  */
void rgy_stream_balancer_set_domain_view (struct rgy_stream_balancer *balancer,
                                          const struct rgy_domain_view *view,
                                          int64_t now_us);

/** True if the balancer follows an order to take @p domain out of service.  */
bool
rgy_stream_balancer_is_domain_out (const struct rgy_stream_balancer *balancer,
                                   const struct rgy_name *domain);

/** Add another balancer that was found in the store or the settings.  */
void rgy_stream_balancer_add_peer (struct rgy_stream_balancer *balancer,
                                   uint32_t ip, int64_t now_us);

/**
 * Add the agents that the store lists from before this balancer started.  Each
 * of them may own any flow until it reports, or until 1 s has passed.  The
 * call has no effect once the balancer knows all agents itself.
 *
 * @param ips  addresses of RGY_STREAM_IP_BYTES each, ascending.
 */
void
rgy_stream_balancer_add_stored_agents (struct rgy_stream_balancer *balancer,
                                       struct rgy_bytes ips, int64_t now_us);

/**
 * Update the store's list of agents: agents that report to this balancer are
 * added, and agents whose backend server has ended or that have not reported
 * for 8 s are removed.  Listed agents that this balancer does not know stay.
 *
 * @param listed  the list in the store.
 * @param wanted  receives the new list.
 * @return true if the list differs and this balancer knows all agents, so that
 *         the new list must be written.
 */
bool rgy_stream_balancer_update_agent_list (struct rgy_stream_balancer *b,
                                            struct rgy_bytes listed,
                                            GByteArray *wanted,
                                            int64_t now_us);

/** Process the stored open flows of the balancer's failure domain, which
    RGY_STREAM_LOAD_FLOWS has requested; empty if there are none.  */
void rgy_stream_balancer_set_stored_flows (struct rgy_stream_balancer *b,
                                           struct rgy_bytes bytes,
                                           int64_t now_us);

/** Process a caller's segment that the router sent.  */
void rgy_stream_balancer_from_router (struct rgy_stream_balancer *balancer,
                                      const struct rgy_segment *segment,
                                      int64_t now_us);
/** Process a segment that the agent at @p agent_ip returned.  */
void rgy_stream_balancer_from_agent (struct rgy_stream_balancer *balancer,
                                     const struct rgy_segment *segment,
                                     uint32_t agent_ip, int64_t now_us);
/** Process a control message.  @return the result of
    rgy_stream_message_decode(), or RGY_ERR_UNSUPPORTED if the message is not
    meant for balancers.  */
enum rgy_outcome
rgy_stream_balancer_from_message (struct rgy_stream_balancer *balancer,
                                  struct rgy_bytes bytes, uint32_t from_ip,
                                  int64_t now_us);

/** Run the timers; must be called every RGY_STREAM_TICK_US.  */
void rgy_stream_balancer_tick (struct rgy_stream_balancer *balancer,
                               int64_t now_us);

/** Mark the balancer as not ready because its process is about to end.  */
void rgy_stream_balancer_stop (struct rgy_stream_balancer *balancer);

/** True if the router may send new flows to this balancer.  */
bool rgy_stream_balancer_is_ready (const struct rgy_stream_balancer *balancer,
                                   int64_t now_us);

/** Number of agents that have reported in the last 1.5 s.  */
size_t
rgy_stream_balancer_count_agents (const struct rgy_stream_balancer *balancer,
                                  int64_t now_us);

#endif

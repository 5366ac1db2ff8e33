#ifndef RAGWORTYOKE_STREAM_BALANCER_H
#define RAGWORTYOKE_STREAM_BALANCER_H

/**
 * @file
 * Balancer core for sequenced flows.  Everything it knows is a cache: flows
 * belong to the agents, the manifest and the failure domains out of service to
 * the store.
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
  uint64_t incarnation; /**< Random for each start.  */
  int64_t flow_ttl_us;  /**< Cached flows unused for longer are forgotten.  */
  uint32_t max_flows;   /**< Most flows cached at once.  */
  struct rgy_stream_out out;
};

struct rgy_stream_balancer;

struct rgy_stream_balancer *
rgy_stream_balancer_new (const struct rgy_stream_balancer_settings *settings,
                         struct rgy_counters *counters, int64_t now_us);
void rgy_stream_balancer_delete (struct rgy_stream_balancer *balancer);

/**
 * Put a manifest into force; takes it over in any case.
 *
 * @return RGY_OK, or RGY_ERR_STALE when the version is not newer.
 */
enum rgy_outcome
rgy_stream_balancer_set_manifest (struct rgy_stream_balancer *balancer,
                                  struct rgy_stream_manifest *manifest,
                                  int64_t now_us);

/** Version in force; 0 before the first.  */
uint64_t
rgy_stream_balancer_get_version (const struct rgy_stream_balancer *balancer);

/** Failure domains out of service.  An older view is ignored.  */
void rgy_stream_balancer_set_view (struct rgy_stream_balancer *balancer,
                                   const struct rgy_domain_view *view,
                                   int64_t now_us);

/** Another balancer, from the store or the settings.  */
void rgy_stream_balancer_add_peer (struct rgy_stream_balancer *balancer,
                                   uint32_t ip, int64_t now_us);

/**
 * Agents that were known before this balancer started, from the store.  Each
 * may hold any flow until it reports, or for a second.  Ignored once the
 * balancer knows all agents itself.
 *
 * @param ips  RGY_STREAM_IP_BYTES for each, ascending.
 */
void rgy_stream_balancer_name_agents (struct rgy_stream_balancer *balancer,
                                      struct rgy_bytes ips, int64_t now_us);

/**
 * Bring the store's list of agents up to date: with the agents heard here, and
 * without those known to be gone or long silent.
 *
 * @param listed  what the store holds.
 * @param wanted  receives the new list.
 * @return true when it differs and this balancer knows all agents.
 */
bool rgy_stream_balancer_update_agents (const struct rgy_stream_balancer *b,
                                        struct rgy_bytes listed,
                                        GByteArray *wanted, int64_t now_us);

/** Segment of a caller, from the router.  */
void rgy_stream_balancer_from_router (struct rgy_stream_balancer *balancer,
                                      const struct rgy_segment *segment,
                                      int64_t now_us);
/** Segment that the agent at @p agent_ip returned.  */
void rgy_stream_balancer_from_agent (struct rgy_stream_balancer *balancer,
                                     const struct rgy_segment *segment,
                                     uint32_t agent_ip, int64_t now_us);
/** Control message.  @return as rgy_stream_message_decode().  */
enum rgy_outcome
rgy_stream_balancer_from_message (struct rgy_stream_balancer *balancer,
                                  struct rgy_bytes bytes, uint32_t from_ip,
                                  int64_t now_us);

/** To be called every RGY_STREAM_TICK_US.  */
void rgy_stream_balancer_tick (struct rgy_stream_balancer *balancer,
                               int64_t now_us);

/** The process is about to end: not ready from now on.  */
void rgy_stream_balancer_stop (struct rgy_stream_balancer *balancer);

/** True when the router may send new flows here.  */
bool rgy_stream_balancer_is_ready (const struct rgy_stream_balancer *balancer,
                                   int64_t now_us);

/** Agents that have reported lately.  */
size_t
rgy_stream_balancer_count_agents (const struct rgy_stream_balancer *balancer,
                                  int64_t now_us);

#endif

#ifndef RAGWORTYOKE_STREAM_AGENT_H
#define RAGWORTYOKE_STREAM_AGENT_H

/**
 * @file
 * Agent core for sequenced flows.  The agent runs beside one backend server
 * and owns the flows that this server serves; its answer to a query decides
 * whether it owns a flow.
 */

#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/counter.h"
#include "ragwortyoke/segment.h"
#include "ragwortyoke/stream_action.h"
#include "ragwortyoke/stream_message.h"

struct rgy_stream_agent_settings
{
  struct rgy_name service;
  struct rgy_name domain;
  uint64_t incarnation;
  int64_t flow_ttl_us;   /**< Flows idle for longer than this expire.  */
  int64_t heartbeat_us;  /**< Interval between heartbeats of the backend
                              server.  */
  uint32_t max_flows;    /**< Maximum number of flows in the flow table.  */
  double cold_overshoot; /**< Factor on the rate of new flows that a service
                              states for its cold backend servers.  */
  double cold_slack;     /**< New flows a second allowed above that rate.  */
  bool first_start;      /**< True when the whole deployment starts for the
                              first time, so that the backend server cannot own
                              flows yet.  */
  struct rgy_stream_action_sink out;
};

/** A heartbeat of the backend server.  */
struct rgy_backend_heartbeat
{
  struct rgy_name id;
  struct rgy_name service;
  int64_t started_ms; /**< Unix time at which the backend server started.  */
  int64_t uptime_us;  /**< Time since then, by the clock of its machine;
                           negative if that clock was set back.  */
  uint64_t seq;       /**< Number of the heartbeat; restarts when the backend
                           server starts.  */
  bool draining;
  /** Number of requests that the backend server processes concurrently.  */
  uint32_t slots;
  int64_t cold_left_us; /**< Time until the end of the backend server's
                             warm-up.  */
};

struct rgy_stream_agent;

struct rgy_stream_agent *
rgy_stream_agent_new (const struct rgy_stream_agent_settings *settings,
                      struct rgy_counters *counters, int64_t now_us);
void rgy_stream_agent_delete (struct rgy_stream_agent *agent);

/** Send reports to the balancer at @p ip from now on.  */
void rgy_stream_agent_add_balancer (struct rgy_stream_agent *agent,
                                    uint32_t ip, int64_t now_us);
/** True if a balancer has acknowledged a report in the last 2.5 s.  */
bool rgy_stream_agent_has_balancer (const struct rgy_stream_agent *agent,
                                    int64_t now_us);

/** Process a caller's segment that the balancer at @p balancer_ip forwarded.
    The segment's trailer is decoded.  */
void rgy_stream_agent_from_balancer (struct rgy_stream_agent *agent,
                                     const struct rgy_segment *segment,
                                     uint32_t balancer_ip, int64_t now_us);
/** Process a segment that the backend server sent or returned.  */
void rgy_stream_agent_from_backend (struct rgy_stream_agent *agent,
                                    const struct rgy_segment *segment,
                                    int64_t now_us);
/** Process a control message.  @return the result of
    rgy_stream_message_decode(), or RGY_ERR_UNSUPPORTED if the message is not
    meant for agents.  */
enum rgy_outcome rgy_stream_agent_from_message (struct rgy_stream_agent *agent,
                                                struct rgy_bytes bytes,
                                                uint32_t from_ip,
                                                int64_t now_us);

/**
 * Process a heartbeat of the backend server.
 *
 * @return RGY_OK; RGY_ERR_STALE if the heartbeat is older than the last one or
 *         follows the deregistration of the same start, in which case it must
 *         still be acknowledged; RGY_ERR_INVALID if it comes from another
 *         service.
 */
enum rgy_outcome
rgy_stream_agent_heartbeat (struct rgy_stream_agent *agent,
                            const struct rgy_backend_heartbeat *heartbeat,
                            int64_t now_us);
/** Process the deregistration of the backend server @p id.  Before the first
    heartbeat it may be that of another one: the flows then stay until
    RGY_STREAM_CHECK_BACKEND finds that the process has ended.  @return RGY_OK,
    or RGY_ERR_STALE if another backend server has taken its place.  */
enum rgy_outcome rgy_stream_agent_deregister (struct rgy_stream_agent *agent,
                                              const struct rgy_name *id,
                                              int64_t now_us);

/**
 * Process the result of RGY_STREAM_CHECK_BACKEND that nothing listens at the
 * backend server's address: its process has ended and its flows are lost.
 *
 * @param check_emitted_us  time at which RGY_STREAM_CHECK_BACKEND was emitted;
 *                          the result is ignored if a heartbeat arrived after
 *                          it.
 */
void rgy_stream_agent_backend_not_running (struct rgy_stream_agent *agent,
                                           int64_t check_emitted_us,
                                           int64_t now_us);

/** Run the timers; must be called every RGY_STREAM_TICK_US.  */
void rgy_stream_agent_tick (struct rgy_stream_agent *agent, int64_t now_us);

/** Notify the balancers that the agent's process is about to end.  */
void rgy_stream_agent_stop (struct rgy_stream_agent *agent, int64_t now_us);

enum rgy_backend_state
rgy_stream_agent_get_state (const struct rgy_stream_agent *agent);

/** Interval at which the tick functions of both cores must be called.  */
#define RGY_STREAM_TICK_US INT64_C (20000)

#endif

#ifndef RAGWORTYOKE_STREAM_AGENT_H
#define RAGWORTYOKE_STREAM_AGENT_H

/**
 * @file
 * Agent core for sequenced flows: the authority on the flows of the backend
 * server beside it.
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
  int64_t flow_ttl_us;   /**< Flows idle for longer are forgotten.  */
  int64_t heartbeat_us;  /**< Interval of the backend server.  */
  uint32_t max_flows;    /**< Most flows held at once.  */
  double cold_overshoot; /**< Factor on a stated cold rate.  */
  double cold_slack;     /**< New flows a second on top of it.  */
  bool first_start;      /**< The whole deployment starts: the backend
                              server cannot hold flows yet.  */
  struct rgy_stream_out out;
};

/** One heartbeat of the backend server.  */
struct rgy_backend_heartbeat
{
  struct rgy_name id;
  struct rgy_name service;
  int64_t started_ms; /**< Unix time of its start; 0 if not given.  */
  uint64_t seq;       /**< Starts anew with each start.  */
  bool draining;
  uint32_t slots;
  int64_t cold_left_us; /**< How long it stays cold.  */
};

struct rgy_stream_agent;

struct rgy_stream_agent *
rgy_stream_agent_new (const struct rgy_stream_agent_settings *settings,
                      struct rgy_counters *counters, int64_t now_us);
void rgy_stream_agent_delete (struct rgy_stream_agent *agent);

/** Report to the balancer at @p ip from now on.  */
void rgy_stream_agent_add_balancer (struct rgy_stream_agent *agent,
                                    uint32_t ip, int64_t now_us);
/** True once a balancer has acknowledged a report lately.  */
bool rgy_stream_agent_has_balancer (const struct rgy_stream_agent *agent,
                                    int64_t now_us);

/** Segment of a caller, from a balancer; its trail is decoded.  */
void rgy_stream_agent_from_balancer (struct rgy_stream_agent *agent,
                                     const struct rgy_segment *segment,
                                     uint32_t balancer_ip, int64_t now_us);
/** Segment that the backend server sent or returned.  */
void rgy_stream_agent_from_backend (struct rgy_stream_agent *agent,
                                    const struct rgy_segment *segment,
                                    int64_t now_us);
/** Control message.  @return as rgy_stream_message_decode().  */
enum rgy_outcome rgy_stream_agent_from_message (struct rgy_stream_agent *agent,
                                                struct rgy_bytes bytes,
                                                uint32_t from_ip,
                                                int64_t now_us);

/**
 * Heartbeat of the backend server.
 *
 * @return RGY_OK; RGY_ERR_STALE when it is older than what is known (it is
 *         still to be acknowledged); RGY_ERR_INVALID when it is of another
 *         service.
 */
enum rgy_outcome
rgy_stream_agent_heartbeat (struct rgy_stream_agent *agent,
                            const struct rgy_backend_heartbeat *heartbeat,
                            int64_t now_us);
/** The backend server @p id ends.  @return RGY_OK or RGY_ERR_STALE.  */
enum rgy_outcome rgy_stream_agent_leave (struct rgy_stream_agent *agent,
                                         const struct rgy_name *id,
                                         int64_t now_us);

/**
 * Nothing listens at the backend server's address: its process has ended and
 * its flows are lost.
 *
 * @param asked_us  when RGY_STREAM_CHECK_BACKEND was emitted; a heartbeat
 *                  since then overrules the result.
 */
void rgy_stream_agent_backend_absent (struct rgy_stream_agent *agent,
                                      int64_t asked_us, int64_t now_us);

/** To be called every RGY_STREAM_TICK_US.  */
void rgy_stream_agent_tick (struct rgy_stream_agent *agent, int64_t now_us);

/** The process is about to end: tell the balancers.  */
void rgy_stream_agent_stop (struct rgy_stream_agent *agent, int64_t now_us);

enum rgy_backend_state
rgy_stream_agent_get_state (const struct rgy_stream_agent *agent);

/** Interval of the tick of both cores.  */
#define RGY_STREAM_TICK_US INT64_C (20000)

#endif

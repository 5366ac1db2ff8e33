#ifndef RAGWORTYOKE_PRIVATE_FLOW_KEEPER_H
#define RAGWORTYOKE_PRIVATE_FLOW_KEEPER_H

/**
 * @file
 * Open flows of the backend servers of one failure domain.  One balancer keeps
 * them and writes them to the store.  An agent that restarts gets the list of
 * the one before it: the flows of a backend server that is gone are reset
 * before their callers send on them, and those of one that runs need not be
 * found by probing.  What is kept is only ever a hint: the agent decides.
 */

#include <glib.h>

#include "ragwortyoke/stream_message.h"

struct rgy_flow_keeper;

struct rgy_flow_keeper *rgy_flow_keeper_new (void);
void rgy_flow_keeper_delete (struct rgy_flow_keeper *keeper);

/** Record the list of an agent.  The list of another incarnation of the agent,
    or of another backend server, becomes the former one.  */
void rgy_flow_keeper_record (struct rgy_flow_keeper *keeper, uint32_t agent_ip,
                             const struct rgy_stream_open_flows *list,
                             int64_t now_us);

/** Former list of an agent, and the backend server that had the flows; empty
    if there is none.  Valid until the next call that changes the keeper.  */
struct rgy_bytes rgy_flow_keeper_get_former (struct rgy_flow_keeper *keeper,
                                             uint32_t agent_ip,
                                             uint64_t *backend_id,
                                             int64_t now_us);

/** Flows that each agent may list, so that all lists together stay within the
    keeper's budget.  */
uint32_t rgy_flow_keeper_get_max_flows (const struct rgy_flow_keeper *keeper);

/** Forget agents that have not sent a list for long.  */
void rgy_flow_keeper_expire (struct rgy_flow_keeper *keeper, int64_t now_us);

/** Append the encoded flows to @p out; flows beyond the size limit of the
    store's value are left out.  */
void rgy_flow_keeper_encode (const struct rgy_flow_keeper *keeper,
                             GByteArray *out, int64_t now_us);

/**
 * Add what a keeper before has written.  What agents have sent to this keeper
 * is newer and stays.
 *
 * @return RGY_OK, RGY_ERR_UNSUPPORTED (written by a later version) or
 *         RGY_ERR_INVALID; the keeper is unchanged then.
 */
enum rgy_outcome rgy_flow_keeper_load (struct rgy_flow_keeper *keeper,
                                       struct rgy_bytes bytes, int64_t now_us);

#endif

#ifndef RAGWORTYOKE_ACTION_H
#define RAGWORTYOKE_ACTION_H

/**
 * @file
 * List of the actions that the decision core returns to its adapters.  The
 * core itself does no I/O.
 */

#include "ragwortyoke/address.h"
#include "ragwortyoke/str.h"

enum rgy_action_kind
{
  RGY_ACTION_SEND,        /**< Send a datagram to another instance.  */
  RGY_ACTION_DELIVER,     /**< Send to the backend server on a flow's socket;
                             opens the socket when there is none.  */
  RGY_ACTION_CLOSE_FLOW,  /**< Close a flow's socket.  */
  RGY_ACTION_EGRESS,      /**< Send a datagram to the fabric; the data start
                             with the PROXY header.  */
  RGY_ACTION_SYNC,        /**< Start a synchronisation with @c to.  */
  RGY_ACTION_WRITE_STORE, /**< Write a key to the key-value store.  */
  RGY_ACTION_READ_STORE,  /**< Read the roll-ups in the
                             key-value store once.  */
  RGY_ACTION_LOG,         /**< Log a change of state.  */
  RGY_ACTION_EXIT         /**< Exit: the graceful shutdown is complete.  */
};

struct rgy_action
{
  enum rgy_action_kind kind;
  union
  {
    struct
    {
      struct rgy_endpoint to;
      struct rgy_bytes data;
    } send; /**< For SEND and EGRESS; SYNC uses @c to only.  */
    struct
    {
      uint64_t flow_id;
      struct rgy_bytes data; /**< Empty for CLOSE_FLOW.  */
    } flow;                  /**< For DELIVER and CLOSE_FLOW.  */
    struct
    {
      struct rgy_str key; /**< Key without the prefix common to all keys.  */
      struct rgy_bytes value;
    } store;             /**< For WRITE_STORE.  */
    struct rgy_str text; /**< For LOG.  */
  } u;
};

struct rgy_actions;

struct rgy_actions *rgy_actions_new (void);
void rgy_actions_delete (struct rgy_actions *actions);
void rgy_actions_clear (struct rgy_actions *actions);
size_t rgy_actions_get_count (const struct rgy_actions *actions);

/** Return action @p index; its data stay valid until the list is
    cleared or extended.  */
struct rgy_action rgy_actions_get (const struct rgy_actions *actions,
                                   size_t index);

void rgy_actions_send (struct rgy_actions *actions, struct rgy_endpoint to,
                       struct rgy_bytes data);
void rgy_actions_deliver (struct rgy_actions *actions, uint64_t flow_id,
                          struct rgy_bytes data);
void rgy_actions_close_flow (struct rgy_actions *actions, uint64_t flow_id);
void rgy_actions_egress (struct rgy_actions *actions, struct rgy_bytes data);
void rgy_actions_sync (struct rgy_actions *actions, struct rgy_endpoint peer);
void rgy_actions_write_store (struct rgy_actions *actions, struct rgy_str key,
                              struct rgy_bytes value);
void rgy_actions_read_store (struct rgy_actions *actions);
void rgy_actions_log (struct rgy_actions *actions, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void rgy_actions_exit (struct rgy_actions *actions);

#endif

#include "private/agent_private.h"

/* Handover of flows: a draining agent hands over all of its flows, a ready
   agent those above its share.  */

/* Chooses the owner of the bucket, or else the next agent in rendezvous order
   that accepts flows.  */
static const struct rgy_name *
choose_target_ (const struct rgy_agent *a, unsigned bucket)
{
  const struct rgy_bucket_table *table = rgy_steering_get_table (a->steering);
  const struct rgy_name *name = rgy_bucket_table_get_owner (table, bucket);
  size_t rank = 0;

  while (name != NULL
         && (rgy_name_equal (name, &a->settings.id)
             || !rgy_agent_peer_accepts (a, name)))
    name = rgy_bucket_table_get_ranked (table, bucket, rank++);
  return name;
}

struct transfer_scan_
{
  struct rgy_agent *a;
  size_t transfers_left;
  bool rebalance; /* Hand over only flows with observations, and only to agents
                     below the mean.  */
};

static bool
may_hand_over_ (struct rgy_agent *a, const struct rgy_flow *flow)
{
  return !flow->moving && rgy_agent_serves_requests (a)
         && rgy_request_engine_get_outstanding (flow) == 0;
}

static bool
start_transfer_ (struct rgy_flow *flow, void *ctx)
{
  struct transfer_scan_ *transfer_scan = ctx;
  struct rgy_agent *a = transfer_scan->a;
  const struct rgy_name *target;
  struct rgy_peer *peer;

  if (transfer_scan->transfers_left == 0)
    return false;
  if (!may_hand_over_ (a, flow))
    return true;
  if (transfer_scan->rebalance)
    {
      if (rgy_request_engine_get_observations (flow) == 0)
        return true;
      target = rgy_agent_choose_less_loaded (a, flow->bucket);
    }
  else
    target = choose_target_ (a, flow->bucket);
  if (target == NULL)
    return true;
  peer = g_hash_table_lookup (a->peers, target);
  if (rgy_transfers_begin (a->transfers, flow->id, target, a->now_us)
      == RGY_OK)
    {
      flow->moving = true;
      transfer_scan->transfers_left--;
      if (peer != NULL)
        peer->flows++;
    }
  return true;
}

static void
send_handover_ (struct rgy_agent *a, const struct rgy_transfer_event *event,
                struct rgy_flow *flow)
{
  const struct rgy_agent_record *target
      = rgy_blackboard_get_agent (a->bb, &event->target);
  struct rgy_handover_state state;
  struct rgy_message m = { .kind = RGY_MSG_HANDOVER };
  GByteArray *bytes;

  if (target == NULL
      || rgy_request_engine_export (a->engine, flow, a->now_us, &state)
             != RGY_OK)
    {
      rgy_transfers_cancel (a->transfers, flow->id);
      flow->moving = false;
      return;
    }
  bytes = rgy_handover_state_encode (&state);
  m.u.handover
      = (struct rgy_handover_message){ .from = a->settings.id,
                                       .transfer_id = event->transfer_id,
                                       .state = { .data = bytes->data,
                                                  .len = bytes->len } };
  rgy_agent_send_message (a, target->endpoint, &m);
  g_byte_array_unref (bytes);
}

static void
process_transfer_events_ (struct rgy_agent *a)
{
  struct rgy_transfer_event event;
  struct rgy_flow *flow;

  while (rgy_transfers_next (a->transfers, a->now_us, &event))
    {
      flow = rgy_flow_table_find_id (a->flows, event.flow_id);
      if (flow == NULL)
        {
          rgy_transfers_cancel (a->transfers, event.flow_id);
          continue;
        }
      switch (event.kind)
        {
        case RGY_TRANSFER_SEND:
          send_handover_ (a, &event, flow);
          break;
        case RGY_TRANSFER_FAILED:
          /* A live target may own the flow although its answers were lost; it
             accepts a flow that it already owns.  */
          flow->moving = !event.target_unavailable
                         && rgy_transfers_begin (a->transfers, flow->id,
                                                 &event.target, a->now_us)
                                == RGY_OK;
          break;
        }
    }
}

void
rgy_agent_handover_tick (struct rgy_agent *a)
{
  struct transfer_scan_ transfer_scan = { .a = a };
  enum rgy_drain_stage stage = rgy_drain_get_stage (a->drain);

  process_transfer_events_ (a);
  if (a->settings.without_handover)
    return;
  if (stage == RGY_DRAIN_MOVING)
    transfer_scan.transfers_left
        = RGY_MAX_TRANSFERS
          - MIN (RGY_MAX_TRANSFERS, rgy_transfers_get_count (a->transfers));
  else if (a->self.state == RGY_MEMBER_READY
           && a->now_us >= a->next_rebalance_us
           && rgy_steering_is_settled (a->steering))
    {
      a->next_rebalance_us = a->now_us + RGY_US_PER_S;
      transfer_scan.transfers_left
          = MIN (RGY_REBALANCE_PER_SECOND, rgy_agent_get_surplus (a));
      transfer_scan.rebalance = true;
    }
  if (transfer_scan.transfers_left > 0)
    rgy_flow_table_foreach (a->flows, start_transfer_, &transfer_scan);
  process_transfer_events_ (a);
}

/* Receiving side of a handover.  */

static bool
accept_flow_ (struct rgy_agent *a, const struct rgy_handover_state *state)
{
  struct rgy_customer_usage *usage;
  struct rgy_flow *flow = rgy_flow_table_find (a->flows, &state->key);

  /* A flow that this agent already owns is accepted again in any state;
     otherwise both agents would own the flow.  */
  if (flow != NULL)
    {
      rgy_request_engine_merge_sequences (a->engine, flow, state);
      return true;
    }
  if (a->self.state != RGY_MEMBER_READY || a->domain_out
      || !rgy_endpoint_equal (state->key.u.udp.service, a->settings.service))
    return false;
  if (rgy_flow_table_get_count (a->flows) >= a->settings.connections
      || rgy_flow_table_open (a->flows, &state->key, a->now_us, &flow)
             != RGY_OK)
    return false;
  /* The other agent admitted the flow under its contract; the flow is counted
     here without a check of the limit.  */
  usage = rgy_agent_get_usage (a, &state->customer);
  rgy_count_limit_force_acquire (usage->flows);
  flow->customer = state->customer;
  ++*a->c.flows_moved_in;
  if (rgy_request_engine_import (a->engine, flow, state, a->now_us, a->actions)
      != RGY_OK)
    {
      rgy_agent_close_flow (a, flow);
      return false;
    }
  return true;
}

void
rgy_agent_handle_handover (struct rgy_agent *a, struct rgy_endpoint from,
                           const struct rgy_handover_message *m)
{
  struct rgy_message ack = { .kind = RGY_MSG_HANDOVER_ACK };
  struct rgy_handover_state state;
  bool accepted;

  if (rgy_handover_state_decode (m->state, &state) != RGY_OK)
    {
      ++*a->link.bad_message;
      return;
    }
  if (rgy_handover_replies_find (a->handover_replies, &m->from, m->transfer_id,
                                 &state.key, a->now_us, &accepted)
      != RGY_OK)
    {
      accepted = accept_flow_ (a, &state);
      rgy_handover_replies_note (a->handover_replies, &m->from, m->transfer_id,
                                 &state.key, accepted, a->now_us);
    }
  ack.u.handover_ack = (struct rgy_handover_ack_message){
    .from = a->settings.id, .transfer_id = m->transfer_id, .accepted = accepted
  };
  rgy_agent_send_message (a, from, &ack);
}

void
rgy_agent_handle_handover_ack (struct rgy_agent *a,
                               const struct rgy_handover_ack_message *m)
{
  struct rgy_flow *flow;
  struct rgy_peer *peer;
  uint64_t flow_id;

  if (rgy_transfers_note_ack (a->transfers, m->transfer_id, &m->from, &flow_id)
      != RGY_OK)
    return;
  flow = rgy_flow_table_find_id (a->flows, flow_id);
  if (flow == NULL)
    return;
  if (!m->accepted)
    {
      rgy_request_engine_keep_echo (a->engine, flow);
      flow->moving = false;
      peer = g_hash_table_lookup (a->peers, &m->from);
      if (peer != NULL)
        peer->refused_until_us = a->now_us + RGY_REFUSAL_PAUSE_US;
      return;
    }
  ++*a->c.flows_moved_out;
  rgy_request_engine_end_observations (a->engine, flow, a->actions);
  rgy_agent_close_flow (a, flow);
}

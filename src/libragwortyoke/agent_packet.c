#include "private/agent_private.h"

/* Path of one packet through an agent, in both directions.  */

struct service_protocol_
{
  struct rgy_endpoint address;
  enum rgy_protocol protocol;
};

static void
find_service_protocol_ (const struct rgy_contract *contract, void *ctx)
{
  struct service_protocol_ *found = ctx;
  size_t i;

  for (i = 0; i < contract->service_count; i++)
    if (rgy_endpoint_equal (contract->services[i].address, found->address))
      found->protocol = contract->services[i].protocol;
}

/* Determines the protocol of the own service from the contracts.  The function
   is called for every packet, so the contracts are read only after a
   change.  */
bool
rgy_agent_serves_requests (struct rgy_agent *a)
{
  struct service_protocol_ found
      = { .address = a->settings.service, .protocol = RGY_PROTOCOL_UDP };

  if (a->protocol_changes != a->bb->changes[RGY_ENTRY_CONTRACT])
    {
      rgy_contract_set_foreach (a->bb->contracts, find_service_protocol_,
                                &found);
      a->protocol = found.protocol;
      a->protocol_changes = a->bb->changes[RGY_ENTRY_CONTRACT];
    }
  return a->protocol == RGY_PROTOCOL_COAP;
}

void
rgy_agent_close_flow (struct rgy_agent *a, struct rgy_flow *flow)
{
  struct rgy_customer_usage *usage = rgy_agent_get_usage (a, &flow->customer);

  rgy_transfers_cancel (a->transfers, flow->id);
  rgy_request_engine_release_flow (a->engine, flow);
  rgy_count_limit_release (usage->flows);
  rgy_actions_close_flow (a->actions, flow->id);
  rgy_flow_table_close (a->flows, flow);
}

static void
deliver_packet_ (struct rgy_agent *a, struct rgy_flow *flow,
                 const struct rgy_data_message *m)
{
  flow->last_balancer = m->balancer;
  flow->last_balancer_us = a->now_us;
  rgy_flow_table_touch (a->flows, flow, a->now_us);
  ++*a->c.delivered;
  if (rgy_agent_serves_requests (a))
    rgy_request_engine_handle_caller_datagram (a->engine, flow, m->payload,
                                               a->now_us, a->actions);
  else
    rgy_actions_deliver (a->actions, flow->id, m->payload);
}

static void
forward_packet_ (struct rgy_agent *a, struct rgy_data_message *m,
                 const struct rgy_steer_decision *decision)
{
  const struct rgy_agent_record *next
      = rgy_blackboard_get_agent (a->bb, &decision->next);
  struct rgy_message out = { .kind = RGY_MSG_DATA };

  if (next == NULL)
    {
      ++*a->c.drop_no_agent;
      return;
    }
  rgy_steer_trail_extend (&m->trail, &a->settings.id, decision);
  out.u.data = *m;
  ++*a->c.forwarded;
  rgy_actions_send (a->actions, next->endpoint,
                    rgy_wire_encode (a->link.wire, &out));
}

static void
refuse_packet_ (struct rgy_agent *a, const struct rgy_data_message *m,
                enum rgy_refusal_reason reason, uint64_t *counter)
{
  struct rgy_coap_view view;
  GByteArray *answer;

  ++*counter;
  if (!rgy_agent_serves_requests (a)
      || rgy_coap_parse (m->payload, &view) != RGY_OK)
    return;
  answer = rgy_coap_build_refusal (&view, reason, RGY_REFUSAL_MAX_AGE_S);
  if (answer == NULL)
    return;
  rgy_agent_send_answer (
      a, m->caller,
      (struct rgy_bytes){ .data = answer->data, .len = answer->len },
      m->balancer);
  g_byte_array_unref (answer);
}

/* Places a new flow on another agent by forwarding its first packet.
   @return false when no other agent may accept the flow.  */
static bool
place_flow_on_peer_ (struct rgy_agent *a, struct rgy_data_message *m,
                     unsigned bucket)
{
  struct rgy_flow_key key = rgy_flow_key_udp (m->caller, m->service);
  struct rgy_steer_decision decision;

  rgy_steering_decide_overflow (a->steering, bucket, &m->trail, &decision);
  if (decision.kind != RGY_STEER_FORWARD)
    return false;
  rgy_forwarded_flows_note (a->forwarded_flows, &key, &decision.next,
                            a->now_us);
  forward_packet_ (a, m, &decision);
  return true;
}

/* Forwards a duplicate of a flow's first datagram to the agent that received
   the first copy.
   @return false when the flow was not forwarded within the last second.  */
static bool
forward_duplicate_ (struct rgy_agent *a, struct rgy_data_message *m,
                    const struct rgy_flow_key *key, unsigned bucket)
{
  const struct rgy_name *target
      = rgy_forwarded_flows_find (a->forwarded_flows, key, a->now_us);
  const struct rgy_agent_record *r
      = target == NULL ? NULL : rgy_blackboard_get_agent (a->bb, target);
  struct rgy_steer_decision decision;

  if (r == NULL || !rgy_blackboard_agent_is_eligible (a->bb, r))
    return false;
  rgy_steering_decide_overflow (a->steering, bucket, &m->trail, &decision);
  if (decision.kind != RGY_STEER_FORWARD)
    {
      ++*a->c.drop_hop_limit;
      return true;
    }
  decision.next = *target;
  forward_packet_ (a, m, &decision);
  return true;
}

/* Places a new flow on another agent, or refuses it when no other agent may
   accept it.  */
static void
place_or_refuse_flow_ (struct rgy_agent *a, struct rgy_data_message *m,
                       unsigned bucket, enum rgy_refusal_reason reason,
                       uint64_t *counter)
{
  if (!place_flow_on_peer_ (a, m, bucket))
    refuse_packet_ (a, m, reason, counter);
}

/* Acknowledgements, resets and responses cannot open a flow.  */
static bool
may_open_flow_ (struct rgy_agent *a, struct rgy_bytes payload)
{
  struct rgy_coap_view view;

  if (!rgy_agent_serves_requests (a))
    return true;
  if (rgy_coap_parse (payload, &view) != RGY_OK)
    return false;
  switch (rgy_coap_classify (&view))
    {
    case RGY_COAP_CLASS_IDEMPOTENT:
    case RGY_COAP_CLASS_OBSERVE:
    case RGY_COAP_CLASS_OBSERVE_END:
    case RGY_COAP_CLASS_NON_IDEMPOTENT:
    case RGY_COAP_CLASS_PING:
      return true;
    case RGY_COAP_CLASS_ACK:
    case RGY_COAP_CLASS_RESET:
    case RGY_COAP_CLASS_RESPONSE:
      break;
    }
  return false;
}

static bool
is_overloaded_ (struct rgy_agent *a)
{
  const struct rgy_admission *admission
      = rgy_request_engine_get_admission (a->engine);

  return rgy_agent_serves_requests (a)
         && rgy_admission_get_running (admission)
                >= rgy_admission_get_limit (admission)
         && rgy_admission_get_queued (admission) > 0;
}

static void
open_flow_ (struct rgy_agent *a, struct rgy_data_message *m,
            const struct rgy_flow_key *key, unsigned bucket)
{
  const struct rgy_contract *contract;
  const struct rgy_contract_service *service;
  struct rgy_customer_usage *usage;
  struct rgy_flow *flow;

  service = rgy_agent_get_service (a, &contract, m->caller.ip);
  if (service == NULL)
    {
      ++*a->c.drop_unknown_caller;
      return;
    }
  if (!may_open_flow_ (a, m->payload))
    {
      ++*a->c.drop_unowned;
      return;
    }
  if (!rgy_service_allows_domain (service, &a->settings.domain))
    {
      place_or_refuse_flow_ (a, m, bucket, RGY_REFUSAL_NO_BACKEND_SERVER,
                             a->c.refused_overload);
      return;
    }
  if (rgy_flow_table_get_count (a->flows) >= a->settings.connections)
    {
      place_or_refuse_flow_ (a, m, bucket, RGY_REFUSAL_OVERLOAD,
                             a->c.refused_overload);
      return;
    }
  if (forward_duplicate_ (a, m, key, bucket))
    return;
  /* When all agents are overloaded, the last agent that the packet visits
     queues the request.  */
  if ((is_overloaded_ (a) || rgy_agent_is_above_bound (a))
      && place_flow_on_peer_ (a, m, bucket))
    return;
  usage = rgy_agent_get_usage (a, &contract->customer);
  if (!rgy_rate_limit_charge (usage->new_flows, 1, a->now_us)
      || !rgy_count_limit_acquire (usage->flows, a->now_us))
    {
      refuse_packet_ (a, m, RGY_REFUSAL_CONTRACT_LIMIT, a->c.refused_limit);
      return;
    }
  if (rgy_flow_table_open (a->flows, key, a->now_us, &flow) != RGY_OK)
    {
      rgy_count_limit_release (usage->flows);
      refuse_packet_ (a, m, RGY_REFUSAL_OVERLOAD, a->c.refused_overload);
      return;
    }
  flow->customer = contract->customer;
  ++*a->c.flows_opened;
  deliver_packet_ (a, flow, m);
}

static void
handle_unowned_packet_ (struct rgy_agent *a, struct rgy_data_message *m,
                        const struct rgy_flow_key *key)
{
  unsigned bucket = rgy_flow_key_bucket (key);
  struct rgy_steer_decision decision;

  rgy_steering_decide (a->steering, bucket, &m->trail, &decision);
  if (decision.restart)
    rgy_agent_send_peer_state (a);
  switch (decision.kind)
    {
    case RGY_STEER_FORWARD:
      forward_packet_ (a, m, &decision);
      break;
    case RGY_STEER_OPEN:
      if (a->self.state == RGY_MEMBER_READY)
        open_flow_ (a, m, key, bucket);
      else
        place_or_refuse_flow_ (a, m, bucket, RGY_REFUSAL_DRAINING,
                               a->c.refused_draining);
      break;
    case RGY_STEER_DROP:
      if (decision.reason == RGY_STEER_REASON_HOP_LIMIT)
        ++*a->c.drop_hop_limit;
      else
        refuse_packet_ (a, m, RGY_REFUSAL_NO_BACKEND_SERVER,
                        a->c.drop_no_agent);
      break;
    }
}

/* Handles a packet while the own failure domain is out of service.  A balancer
   may learn of an order before or after this agent does; the packet goes to
   the agent that owns the flow or may open it.  */
static void
handle_packet_while_domain_out_ (struct rgy_agent *a,
                                 struct rgy_data_message *m, unsigned bucket)
{
  struct rgy_steer_decision decision;

  rgy_steering_decide (a->steering, bucket, &m->trail, &decision);
  if (decision.restart)
    rgy_agent_send_peer_state (a);
  if (decision.kind == RGY_STEER_FORWARD)
    forward_packet_ (a, m, &decision);
  else
    refuse_packet_ (a, m, RGY_REFUSAL_FAILURE_DOMAIN_OUT,
                    a->c.refused_domain_out);
}

void
rgy_agent_handle_data (struct rgy_agent *a, struct rgy_data_message *m)
{
  struct rgy_flow_key key = rgy_flow_key_udp (m->caller, m->service);
  struct rgy_flow *flow;

  ++*a->c.packets_in;
  if (!rgy_endpoint_equal (m->service, a->settings.service)
      && !a->settings.without_service_check)
    {
      ++*a->c.drop_wrong_service;
      return;
    }
  if (a->domain_out)
    {
      handle_packet_while_domain_out_ (a, m, rgy_flow_key_bucket (&key));
      return;
    }
  if (m->view
      != rgy_bucket_table_get_view (rgy_steering_get_table (a->steering)))
    ++*a->c.view_mismatch;
  flow = rgy_flow_table_find (a->flows, &key);
  if (flow != NULL)
    deliver_packet_ (a, flow, m);
  else
    handle_unowned_packet_ (a, m, &key);
}

void
rgy_agent_send_answer (struct rgy_agent *a, struct rgy_endpoint caller,
                       struct rgy_bytes payload, struct rgy_endpoint balancer)
{
  struct rgy_message m = { .kind = RGY_MSG_ANSWER };

  if (!rgy_endpoint_is_set (balancer))
    {
      ++*a->c.answers_without_balancer;
      return;
    }
  m.u.answer = (struct rgy_answer_message){ .caller = caller,
                                            .service = a->settings.service,
                                            .payload = payload };
  ++*a->c.answers;
  rgy_actions_send (a->actions, balancer, rgy_wire_encode (a->link.wire, &m));
}

void
rgy_agent_from_backend (struct rgy_agent *a, uint64_t flow_id,
                        struct rgy_bytes datagram, int64_t now_us,
                        struct rgy_actions *actions)
{
  struct rgy_flow *flow;

  a->now_us = now_us;
  a->actions = actions;
  if (flow_id == RGY_PROBE_FLOW_ID)
    {
      rgy_agent_handle_probe_answer (a, datagram);
      return;
    }
  flow = rgy_flow_table_find_id (a->flows, flow_id);
  if (flow == NULL || a->domain_out)
    return;
  rgy_flow_table_touch (a->flows, flow, now_us);
  rgy_agent_note_health (a, rgy_health_note_traffic (a->health, now_us));
  if (rgy_agent_serves_requests (a))
    rgy_request_engine_handle_backend_datagram (a->engine, flow, datagram,
                                                now_us, actions);
  else
    rgy_agent_send_answer (a, flow->key.u.udp.caller, datagram,
                           rgy_agent_choose_balancer (a, flow));
}

void
rgy_agent_backend_refused (struct rgy_agent *a, uint64_t flow_id,
                           int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_flow *flow;

  a->now_us = now_us;
  a->actions = actions;
  rgy_agent_note_health (a, rgy_health_note_refused (a->health, now_us));
  rgy_admission_set_cold (rgy_request_engine_get_admission (a->engine),
                          RGY_COLD_REFUSED, now_us);
  flow = rgy_flow_table_find_id (a->flows, flow_id);
  if (flow != NULL && rgy_agent_serves_requests (a))
    rgy_request_engine_handle_socket_refused (a->engine, flow, now_us,
                                              actions);
}

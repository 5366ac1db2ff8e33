#include "private/agent_private.h"

/* State exchange with the other agents of the service.  */

static void
fill_peer_state_ (struct rgy_agent *a, struct rgy_peer_state_message *report)
{
  const struct rgy_admission *admission
      = rgy_request_engine_get_admission (a->engine);

  report->from = a->settings.id;
  report->epoch = a->self.epoch;
  report->sequence = rgy_steering_get_sequence (a->steering);
  rgy_steering_get_bitmap (a->steering, rgy_flow_table_get_occupied (a->flows),
                           &report->may_hold);
  report->can_accept
      = a->self.state == RGY_MEMBER_READY && !a->domain_out
        && rgy_admission_get_queued (admission) == 0
        && rgy_flow_table_get_count (a->flows) < a->settings.connections;
  report->flows = (uint32_t)rgy_flow_table_get_count (a->flows);
  report->usage_count = rgy_agent_fill_usage (a, report->usage);
}

void
rgy_agent_send_peer_state (struct rgy_agent *a)
{
  struct rgy_message *m;
  size_t i;

  a->next_peer_state_us = a->now_us + RGY_PEER_STATE_INTERVAL_US;
  a->state_sent_us = a->now_us;
  a->state_sent_sequence = rgy_steering_get_sequence (a->steering);
  m = g_new0 (struct rgy_message, 1);
  m->kind = RGY_MSG_PEER_STATE;
  fill_peer_state_ (a, &m->u.peer_state);
  for (i = 0; i < a->peer_count; i++)
    rgy_agent_send_message (
        a, rgy_blackboard_get_agent (a->bb, &a->peer_names[i])->endpoint, m);
  g_free (m);
}

void
rgy_agent_peer_state_tick (struct rgy_agent *a)
{
  if (a->now_us >= a->next_peer_state_us
      || (a->settle_deadline_us != 0 && !rgy_steering_is_settled (a->steering)
          && a->now_us >= a->state_sent_us + RGY_SETTLE_RETRY_US)
      || rgy_steering_get_sequence (a->steering) != a->state_sent_sequence)
    rgy_agent_send_peer_state (a);
}

void
rgy_agent_handle_peer_state (struct rgy_agent *a, struct rgy_endpoint from,
                             const struct rgy_peer_state_message *m)
{
  struct rgy_message ack = { .kind = RGY_MSG_PEER_STATE_ACK };
  struct rgy_peer *peer = g_hash_table_lookup (a->peers, &m->from);

  if (peer == NULL)
    {
      peer = g_new0 (struct rgy_peer, 1);
      g_hash_table_insert (a->peers, g_memdup2 (&m->from, sizeof m->from),
                           peer);
    }
  peer->epoch = m->epoch;
  peer->can_accept = m->can_accept;
  peer->flows = m->flows;
  rgy_agent_note_peer_usage (a, m);
  if (rgy_steering_note_state (a->steering, &m->from, m->epoch, m->sequence,
                               &m->may_hold)
      == RGY_ERR_NOT_FOUND)
    return;
  ack.u.peer_state_ack = (struct rgy_peer_state_ack_message){
    .from = a->settings.id,
    .epoch = m->epoch,
    .sequence = m->sequence,
    .own_sequence = rgy_steering_get_sequence (a->steering)
  };
  rgy_agent_send_message (a, from, &ack);
}

/* Applies changes of the group: bucket table, claims and the instances among
   which contract limits are shared.  */
void
rgy_agent_update_group (struct rgy_agent *a)
{
  const struct rgy_group *group
      = rgy_blackboard_get_group (a->bb, a->settings.service);
  struct rgy_name eligible[RGY_GROUP_MAX];
  size_t eligible_count = 0;
  guint i;

  if (a->group_changes == group->changes
      && a->domain_changes == a->bb->changes[RGY_ENTRY_DOMAIN])
    return;
  a->group_changes = group->changes;
  a->domain_changes = a->bb->changes[RGY_ENTRY_DOMAIN];
  a->peer_count = 0;
  for (i = 0; i < group->agents->len && i < RGY_GROUP_MAX; i++)
    {
      const struct rgy_agent_record *r = g_ptr_array_index (group->agents, i);

      if (rgy_blackboard_agent_is_eligible (a->bb, r))
        eligible[eligible_count++] = r->id;
      if (rgy_blackboard_agent_is_live (a->bb, r)
          && !rgy_name_equal (&r->id, &a->settings.id))
        a->peer_names[a->peer_count++] = r->id;
      else
        rgy_transfers_cancel_target (a->transfers, &r->id);
    }
  if (rgy_steering_set_group (a->steering, eligible, eligible_count,
                              a->peer_names, a->peer_count))
    {
      a->settle_deadline_us = a->now_us + RGY_SETTLE_TIMEOUT_US;
      a->next_peer_state_us = 0;
    }
  rgy_agent_update_usage_instances (a);
}

/* Peers steer packets by the bitmap, so a change of it is sent at once.  */
void
rgy_agent_publish_occupied (struct rgy_agent *a)
{
  if (rgy_steering_set_occupied (a->steering,
                                 rgy_flow_table_get_occupied (a->flows)))
    rgy_agent_send_peer_state (a);
}

void
rgy_agent_settle_tick (struct rgy_agent *a)
{
  if (a->settle_deadline_us != 0 && a->now_us >= a->settle_deadline_us)
    {
      a->settle_deadline_us = 0;
      rgy_steering_force_settled (a->steering);
    }
}

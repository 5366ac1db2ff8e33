#include "private/agent_private.h"

#include <string.h>

/* Creation of an agent, dispatch of its messages, periodic work and drain.  */

/* Hooks of the request engine.  The engine calls them while the agent handles
   an event.  */

static void
send_to_caller_ (struct rgy_flow *flow, struct rgy_bytes datagram, void *ctx)
{
  struct rgy_agent *a = ctx;

  rgy_agent_send_answer (a, flow->key.u.udp.caller, datagram,
                         rgy_agent_choose_balancer (a, flow));
}

static bool
begin_request_ (struct rgy_flow *flow, void *ctx)
{
  struct rgy_agent *a = ctx;

  struct rgy_count_limit *requests
      = rgy_agent_get_usage (a, &flow->customer)->requests;

  if (a->settings.without_contract_limits)
    {
      rgy_count_limit_force_acquire (requests);
      return true;
    }
  return rgy_count_limit_acquire (requests, a->now_us);
}

static void
end_request_ (struct rgy_flow *flow, void *ctx)
{
  struct rgy_agent *a = ctx;

  rgy_count_limit_release (rgy_agent_get_usage (a, &flow->customer)->requests);
}

static void
register_counters_ (struct rgy_agent *a)
{
  static const char dropped_help[] = "Packets dropped, by reason.";
  static const char refused_help[]
      = "New flows and requests refused, by reason.";
  const struct rgy_counter_spec specs[] = {
    { .value = &a->c.packets_in,
      .name = "agent_packets_in_total",
      .help = "Packets received from balancers and peers." },
    { .value = &a->c.delivered,
      .name = "agent_delivered_total",
      .help = "Packets delivered on flows that this agent owns." },
    { .value = &a->c.forwarded,
      .name = "agent_forwarded_total",
      .help = "Packets forwarded to a peer." },
    { .value = &a->c.flows_opened,
      .name = "flows_opened_total",
      .help = "Flows opened." },
    { .value = &a->c.flows_moved_in,
      .name = "flows_moved_in_total",
      .help = "Flows received from a peer by handover." },
    { .value = &a->c.flows_moved_out,
      .name = "flows_moved_out_total",
      .help = "Flows handed over to a peer." },
    { .value = &a->c.flows_given_up,
      .name = "flows_given_up_total",
      .help
      = "Flows closed by a failure domain order or a forced end of a drain." },
    { .value = &a->c.flows_revoked,
      .name = "flows_revoked_total",
      .help = "Flows closed because no contract covers them any more." },
    { .value = &a->c.flows_expired,
      .name = "flows_expired_total",
      .help = "Flows closed by the idle timeout." },
    { .value = &a->c.answers,
      .name = "agent_answers_total",
      .help = "Responses sent to balancers." },
    { .value = &a->c.answers_without_balancer,
      .name = "agent_answers_dropped_total",
      .help = "Responses dropped because no live balancer was known." },
    { .value = &a->c.drop_wrong_service,
      .name = "agent_dropped_total",
      .label = "reason=\"wrong-service\"",
      .help = dropped_help },
    { .value = &a->c.drop_unknown_caller,
      .name = "agent_dropped_total",
      .label = "reason=\"unknown-caller\"",
      .help = dropped_help },
    { .value = &a->c.drop_no_agent,
      .name = "agent_dropped_total",
      .label = "reason=\"no-backend-server\"",
      .help = dropped_help },
    { .value = &a->c.drop_hop_limit,
      .name = "agent_dropped_total",
      .label = "reason=\"hop-limit\"",
      .help = dropped_help },
    { .value = &a->c.drop_unowned,
      .name = "agent_dropped_total",
      .label = "reason=\"not-held\"",
      .help = dropped_help },
    { .value = &a->c.refused_limit,
      .name = "agent_refused_total",
      .label = "reason=\"contract-limit\"",
      .help = refused_help },
    { .value = &a->c.refused_overload,
      .name = "agent_refused_total",
      .label = "reason=\"overload\"",
      .help = refused_help },
    { .value = &a->c.refused_domain_out,
      .name = "agent_refused_total",
      .label = "reason=\"failure-domain-out\"",
      .help = refused_help },
    { .value = &a->c.refused_draining,
      .name = "agent_refused_total",
      .label = "reason=\"draining\"",
      .help = refused_help },
    { .value = &a->c.view_mismatch,
      .name = "steer_view_mismatch_total",
      .help
      = "Packets that a balancer steered by another set of eligible agents." },
    { .value = &a->c.config_changes,
      .name = "config_changes_total",
      .help = "Contracts and failure domain orders applied." },
    { .value = &a->c.flows,
      .name = "flows",
      .help = "Open flows.",
      .gauge = true },
    { .value = &a->c.limit,
      .name = "admission_limit",
      .help = "Highest number of requests that may be in execution.",
      .gauge = true },
    { .value = &a->c.running,
      .name = "admission_running",
      .help = "Requests in execution.",
      .gauge = true },
  };

  rgy_counters_add_all (a->counters, specs, G_N_ELEMENTS (specs));
}

static struct rgy_request_engine *
new_request_engine_ (const struct rgy_agent_settings *s,
                     struct rgy_counters *counters)
{
  /* Agents that start at the same moment may have the same epoch, and all
     agents share one key: without the name in the hash, an agent would accept
     the Echo values of another agent as its own.  */
  struct rgy_request_settings request_settings
      = { .epoch = rgy_name_hash (&s->id, s->epoch),
          .deadline_ms = s->deadline_ms,
          .admission = { .slots = s->slots,
                         .queue_length = s->queue_length,
                         .cold_start = !s->without_cold_start },
          .echo_required = !s->without_echo,
          .without_answer_matching = s->without_answer_matching,
          .without_outcome_unknown = s->without_outcome_unknown,
          .counters = counters };

  memcpy (request_settings.echo_key, s->key, sizeof request_settings.echo_key);
  return rgy_request_engine_new (&request_settings);
}

struct rgy_agent *
rgy_agent_new (const struct rgy_agent_settings *settings,
               struct rgy_counters *counters)
{
  struct rgy_agent *a = g_new0 (struct rgy_agent, 1);
  struct rgy_request_hooks hooks = { .to_caller = send_to_caller_,
                                     .begin_request = begin_request_,
                                     .end_request = end_request_,
                                     .ctx = a };

  a->settings = *settings;
  a->counters = counters;
  register_counters_ (a);
  a->bb = rgy_blackboard_new (counters);
  a->bb->without_domain_orders = settings->without_domain_orders;
  a->bb->without_version_check = settings->without_version_check;
  rgy_link_init (&a->link, settings->key, counters);
  a->random = g_rand_new_with_seed_array (
      (const guint32 *)&a->settings.random_seed,
      sizeof a->settings.random_seed / sizeof (guint32));
  a->flows
      = rgy_flow_table_new (settings->connections, settings->idle_timeout_us);
  a->steering
      = rgy_steering_new (&settings->id, rgy_service_seed (settings->service));
  rgy_steering_set_lookup_enabled (a->steering, !settings->without_lookup);
  a->engine = new_request_engine_ (settings, counters);
  rgy_request_engine_set_hooks (a->engine, &hooks);
  a->health = rgy_health_new (&rgy_health_defaults, settings->slots);
  a->drain = rgy_drain_new (settings->drain_timeout_us, RGY_LINGER_US);
  a->transfers = rgy_transfers_new ();
  a->handover_replies = rgy_handover_replies_new ();
  a->forwarded_flows = rgy_forwarded_flows_new ();
  a->balancers
      = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, NULL, g_free);
  a->usage = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, g_free,
                                    rgy_agent_usage_free);
  a->peers = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, g_free,
                                    g_free);
  a->self = (struct rgy_agent_record){ .id = settings->id,
                                       .epoch = settings->epoch,
                                       .state = RGY_MEMBER_STARTING,
                                       .domain = settings->domain,
                                       .endpoint = settings->endpoint,
                                       .service = settings->service };
  a->group_changes = UINT64_MAX;
  a->record_changed = true;
  return a;
}

static bool
release_session_ (struct rgy_flow *flow, void *ctx)
{
  rgy_request_engine_release_flow (((struct rgy_agent *)ctx)->engine, flow);
  return true;
}

void
rgy_agent_delete (struct rgy_agent *a)
{
  if (a == NULL)
    return;
  rgy_flow_table_foreach (a->flows, release_session_, a);
  g_hash_table_unref (a->peers);
  rgy_request_engine_delete (a->engine);
  g_hash_table_unref (a->usage);
  g_hash_table_unref (a->balancers);
  rgy_forwarded_flows_delete (a->forwarded_flows);
  rgy_handover_replies_delete (a->handover_replies);
  rgy_transfers_delete (a->transfers);
  rgy_drain_delete (a->drain);
  rgy_health_delete (a->health);
  rgy_steering_delete (a->steering);
  rgy_flow_table_delete (a->flows);
  g_rand_free (a->random);
  rgy_link_finish (&a->link);
  rgy_blackboard_delete (a->bb);
  g_free (a);
}

static void
set_state_ (struct rgy_agent *a, enum rgy_member_state state)
{
  if (a->self.state == state)
    return;
  a->self.state = state;
  a->record_changed = true;
  if (state == RGY_MEMBER_READY)
    a->ready_since_us = a->now_us;
  rgy_actions_log (a->actions, "state: %s", rgy_member_state_string[state]);
}

static void
publish_record_ (struct rgy_agent *a)
{
  if (!a->record_changed)
    return;
  a->record_changed = false;
  a->self.sequence = (a->self.sequence | 1) + 1;
  rgy_blackboard_apply_agent (a->bb, &a->self);
  a->next_heartbeat_us = 0;
  if (a->store_write_due_us == 0)
    a->store_write_due_us
        = a->now_us
          + g_rand_int_range (a->random, 0, (gint32)RGY_STORE_WRITE_SPREAD_US);
}

/* Writes the agent's record to the store with a delay.  A failure domain that
   returns starts 570 agents at once.  Balancers learn of an agent by its
   heartbeats; the record in the store may come later, and one write then
   covers all changes until then.  */
static void
record_write_tick_ (struct rgy_agent *a)
{
  GByteArray *bytes;
  char *key;

  if (a->store_write_due_us == 0 || a->now_us < a->store_write_due_us)
    return;
  a->store_write_due_us = 0;
  bytes = rgy_agent_record_encode (&a->self);
  key = g_strdup_printf ("agents/%s", a->settings.id.data);
  rgy_actions_write_store (
      a->actions, rgy_str_from_c (key),
      (struct rgy_bytes){ .data = bytes->data, .len = bytes->len });
  g_free (key);
  g_byte_array_unref (bytes);
}

void
rgy_agent_send_message (struct rgy_agent *a, struct rgy_endpoint to,
                        const struct rgy_message *message)
{
  rgy_link_send (&a->link, to, message, a->actions);
}

static void
answer_probe_ (struct rgy_agent *a, struct rgy_endpoint from,
               const struct rgy_probe_message *probe)
{
  struct rgy_message m = { .kind = RGY_MSG_PROBE_ACK };

  m.u.probe = (struct rgy_probe_message){ .from = a->settings.id,
                                          .nonce = probe->nonce };
  rgy_agent_send_message (a, from, &m);
}

static void
dispatch_message_ (struct rgy_agent *a, struct rgy_endpoint from,
                   struct rgy_message *m)
{
  switch (m->kind)
    {
    case RGY_MSG_DATA:
      rgy_agent_handle_data (a, &m->u.data);
      break;
    case RGY_MSG_HEARTBEAT_ACK:
      rgy_agent_handle_heartbeat_ack (a, &m->u.heartbeat_ack);
      break;
    case RGY_MSG_ENTRIES:
      rgy_agent_apply_entries (a, &m->u.entries);
      break;
    case RGY_MSG_PEER_STATE:
      rgy_agent_handle_peer_state (a, from, &m->u.peer_state);
      break;
    case RGY_MSG_PEER_STATE_ACK:
      if (m->u.peer_state_ack.epoch == a->self.epoch)
        rgy_steering_note_ack_at (a->steering, &m->u.peer_state_ack.from,
                                  m->u.peer_state_ack.sequence,
                                  m->u.peer_state_ack.own_sequence);
      break;
    case RGY_MSG_HANDOVER:
      rgy_agent_handle_handover (a, from, &m->u.handover);
      break;
    case RGY_MSG_HANDOVER_ACK:
      rgy_agent_handle_handover_ack (a, &m->u.handover_ack);
      break;
    case RGY_MSG_PROBE:
      answer_probe_ (a, from, &m->u.probe);
      break;
    case RGY_MSG_PROBE_ACK:
    case RGY_MSG_ANSWER:
    case RGY_MSG_HEARTBEAT:
    case RGY_MSG_GOSSIP:
    case RGY_MSG_GOSSIP_ACK:
    case RGY_MSG_SYNC_REQUEST:
    case RGY_MSG_SYNC_REPLY:
    case RGY_MSG_KIND_COUNT:
      ++*a->link.bad_message;
      break;
    }
}

void
rgy_agent_from_instance (struct rgy_agent *a, struct rgy_endpoint from,
                         struct rgy_bytes datagram, int64_t now_us,
                         struct rgy_actions *actions)
{
  struct rgy_message *m = rgy_link_receive (&a->link, datagram);

  if (m == NULL)
    return;
  a->now_us = now_us;
  a->actions = actions;
  rgy_agent_update_group (a);
  dispatch_message_ (a, from, m);
  rgy_agent_publish_occupied (a);
}

static void
expire_flows_ (struct rgy_agent *a)
{
  struct rgy_flow *flow;

  while ((flow = rgy_flow_table_get_expired (a->flows, a->now_us)) != NULL)
    {
      if (rgy_request_engine_get_observations (flow) > 0)
        {
          /* An observation may be without traffic for longer than the idle
             timeout of a flow.  */
          rgy_flow_table_touch (a->flows, flow, a->now_us);
          continue;
        }
      ++*a->c.flows_expired;
      rgy_agent_close_flow (a, flow);
    }
}

static void
ready_tick_ (struct rgy_agent *a)
{
  if (a->self.state == RGY_MEMBER_STARTING && a->synced)
    set_state_ (a, RGY_MEMBER_READY);
}

static void
drain_tick_ (struct rgy_agent *a)
{
  const struct rgy_admission *admission
      = rgy_request_engine_get_admission (a->engine);
  struct rgy_drain_work work
      = { .flows = rgy_flow_table_get_count (a->flows),
          .running = rgy_admission_get_running (admission),
          .queued = rgy_admission_get_queued (admission),
          .transfers = rgy_transfers_get_count (a->transfers) };
  enum rgy_drain_stage stage;

  if (!rgy_drain_tick (a->drain, &work, a->now_us))
    return;
  stage = rgy_drain_get_stage (a->drain);
  rgy_actions_log (a->actions, "drain: %s, %zu flows held",
                   rgy_drain_stage_string[stage], work.flows);
  if (stage != RGY_DRAIN_DONE)
    return;
  if (rgy_drain_is_forced (a->drain))
    *a->c.flows_given_up += work.flows;
  set_state_ (a, RGY_MEMBER_LEFT);
  publish_record_ (a);
  rgy_agent_send_heartbeats (a);
  rgy_actions_exit (a->actions);
}

void
rgy_agent_tick (struct rgy_agent *a, int64_t now_us,
                struct rgy_actions *actions)
{
  const struct rgy_admission *admission
      = rgy_request_engine_get_admission (a->engine);

  if (a->self.state == RGY_MEMBER_LEFT)
    return;
  a->now_us = now_us;
  a->actions = actions;
  ready_tick_ (a);
  publish_record_ (a);
  record_write_tick_ (a);
  rgy_agent_update_group (a);
  rgy_agent_settle_tick (a);
  rgy_agent_peer_state_tick (a);
  rgy_agent_probe_tick (a);
  rgy_request_engine_tick (a->engine, now_us, actions);
  expire_flows_ (a);
  rgy_agent_handover_tick (a);
  rgy_agent_publish_occupied (a);
  drain_tick_ (a);
  if (now_us >= a->next_heartbeat_us)
    {
      a->next_heartbeat_us = now_us + RGY_HEARTBEAT_INTERVAL_US;
      rgy_agent_send_heartbeats (a);
      rgy_agent_find_balancers_in_store (a);
    }
  *a->c.flows = rgy_flow_table_get_count (a->flows);
  *a->c.limit = rgy_admission_get_limit (admission);
  *a->c.running = rgy_admission_get_running (admission);
}

void
rgy_agent_start_drain (struct rgy_agent *a, int64_t now_us,
                       struct rgy_actions *actions)
{
  a->now_us = now_us;
  a->actions = actions;
  if (rgy_drain_get_stage (a->drain) != RGY_DRAIN_NONE)
    return;
  rgy_drain_start (a->drain, now_us);
  if (!a->settings.without_drain_announcement)
    set_state_ (a, RGY_MEMBER_DRAINING);
  publish_record_ (a);
  rgy_agent_update_group (a);
  rgy_agent_peer_state_tick (a);
  rgy_agent_send_heartbeats (a);
}

bool
rgy_agent_is_ready (const struct rgy_agent *a)
{
  return a->self.state == RGY_MEMBER_READY && !a->domain_out
         && a->now_us - a->ready_since_us >= RGY_READY_DELAY_US;
}

const struct rgy_blackboard *
rgy_agent_get_blackboard (const struct rgy_agent *a)
{
  return a->bb;
}

size_t
rgy_agent_get_flow_count (const struct rgy_agent *a)
{
  return rgy_flow_table_get_count (a->flows);
}

bool
rgy_agent_owns_flow (const struct rgy_agent *a, const struct rgy_flow_key *key)
{
  return rgy_flow_table_find (a->flows, key) != NULL;
}

const struct rgy_admission *
rgy_agent_get_admission (const struct rgy_agent *a)
{
  return rgy_request_engine_get_admission (a->engine);
}

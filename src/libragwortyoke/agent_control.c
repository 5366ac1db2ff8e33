#include "private/agent_private.h"

#include <string.h>

/* Control plane of an agent: heartbeats to balancers, state exchange with
   the peers of its service, configuration, drain.  */

/* Hooks of the request engine.  */

static void
to_caller_ (struct rgy_flow *flow, struct rgy_bytes datagram, void *ctx)
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
      rgy_count_limit_force (requests);
      return true;
    }
  return rgy_count_limit_take (requests, a->now_us);
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
  struct rgy_counters *c = a->counters;
  static const char dropped[] = "Packets that were dropped.";
  static const char refused[] = "New flows and requests that were refused.";

  a->c = (struct rgy_agent_counters){
    .packets_in = rgy_counters_add (c, "agent_packets_in_total", NULL,
                                    "Packets from balancers and peers."),
    .delivered = rgy_counters_add (c, "agent_delivered_total", NULL,
                                   "Packets on flows held here."),
    .forwarded = rgy_counters_add (c, "agent_forwarded_total", NULL,
                                   "Packets passed on to a peer."),
    .flows_opened
    = rgy_counters_add (c, "flows_opened_total", NULL, "Flows opened."),
    .flows_moved_in = rgy_counters_add (c, "flows_moved_in_total", NULL,
                                        "Flows taken over from a peer."),
    .flows_moved_out = rgy_counters_add (c, "flows_moved_out_total", NULL,
                                         "Flows handed over to a peer."),
    .flows_given_up
    = rgy_counters_add (c, "flows_given_up_total", NULL,
                        "Flows ended because the failure domain is out."),
    .flows_revoked
    = rgy_counters_add (c, "flows_revoked_total", NULL,
                        "Flows ended because their contract has changed."),
    .flows_expired = rgy_counters_add (c, "flows_expired_total", NULL,
                                       "Flows ended by the idle timeout."),
    .answers = rgy_counters_add (c, "agent_answers_total", NULL,
                                 "Responses sent to balancers."),
    .answers_without_balancer
    = rgy_counters_add (c, "agent_answers_dropped_total", NULL,
                        "Responses dropped for lack of a live balancer."),
    .drop_wrong_service = rgy_counters_add (
        c, "agent_dropped_total", "reason=\"wrong-service\"", dropped),
    .drop_unknown_caller = rgy_counters_add (
        c, "agent_dropped_total", "reason=\"unknown-caller\"", dropped),
    .drop_no_agent = rgy_counters_add (
        c, "agent_dropped_total", "reason=\"no-backend-server\"", dropped),
    .drop_hop_limit = rgy_counters_add (c, "agent_dropped_total",
                                        "reason=\"hop-limit\"", dropped),
    .drop_not_held = rgy_counters_add (c, "agent_dropped_total",
                                       "reason=\"not-held\"", dropped),
    .refused_limit = rgy_counters_add (c, "agent_refused_total",
                                       "reason=\"contract-limit\"", refused),
    .refused_overload = rgy_counters_add (c, "agent_refused_total",
                                          "reason=\"overload\"", refused),
    .refused_out = rgy_counters_add (c, "agent_refused_total",
                                     "reason=\"failure-domain-out\"", refused),
    .refused_draining = rgy_counters_add (c, "agent_refused_total",
                                          "reason=\"draining\"", refused),
    .view_mismatch
    = rgy_counters_add (c, "steer_view_mismatch_total", NULL,
                        "Packets steered with another set of agents."),
    .bad_tag = rgy_counters_add (c, "bad_tag_total", NULL,
                                 "Internal datagrams with a wrong tag."),
    .bad_message
    = rgy_counters_add (c, "bad_message_total", NULL,
                        "Internal datagrams that could not be read."),
    .control_in = rgy_counters_add (c, "control_messages_in_total", NULL,
                                    "Control messages received."),
    .control_bytes_in = rgy_counters_add (c, "control_bytes_in_total", NULL,
                                          "Control bytes received."),
    .control_bytes_out = rgy_counters_add (c, "control_bytes_out_total", NULL,
                                           "Control bytes sent."),
    .config_changes
    = rgy_counters_add (c, "config_changes_total", NULL,
                        "Contracts and domain orders put in force."),
    .flows = rgy_counters_add_gauge (c, "flows", NULL, "Open flows."),
    .limit = rgy_counters_add_gauge (c, "admission_limit", NULL,
                                     "Requests that may be in execution."),
    .running = rgy_counters_add_gauge (c, "admission_running", NULL,
                                       "Requests in execution."),
  };
}

static struct rgy_request_engine *
new_engine_ (const struct rgy_agent_settings *s, struct rgy_counters *counters)
{
  /* Agents that start at the same moment may have the same epoch, and all of
     them have the same key: without the name, one would take the Echo values
     of another for its own.  */
  struct rgy_request_settings rs
      = { .epoch = rgy_name_hash (&s->id, s->epoch),
          .deadline_ms = s->deadline_ms,
          .admission = { .slots = s->slots,
                         .queue_length = s->queue_length,
                         .cold_start = !s->without_cold_start },
          .echo_required = !s->without_echo,
          .without_answer_matching = s->without_answer_matching,
          .without_outcome_unknown = s->without_outcome_unknown,
          .counters = counters };

  memcpy (rs.echo_key, s->key, sizeof rs.echo_key);
  return rgy_request_engine_new (&rs);
}

struct rgy_agent *
rgy_agent_new (const struct rgy_agent_settings *settings,
               struct rgy_counters *counters)
{
  struct rgy_agent *a = g_new0 (struct rgy_agent, 1);
  struct rgy_request_hooks hooks = { .to_caller = to_caller_,
                                     .begin_request = begin_request_,
                                     .end_request = end_request_,
                                     .ctx = a };

  a->settings = *settings;
  a->counters = counters;
  register_counters_ (a);
  a->bb = rgy_blackboard_new (counters);
  a->bb->without_domain_orders = settings->without_domain_orders;
  a->bb->without_version_check = settings->without_version_check;
  a->wire = rgy_wire_new (settings->key);
  a->message = g_new0 (struct rgy_message, 1);
  a->random = g_rand_new_with_seed_array (
      (const guint32 *)&a->settings.random_seed,
      sizeof a->settings.random_seed / sizeof (guint32));
  a->flows
      = rgy_flow_table_new (settings->connections, settings->idle_timeout_us);
  a->steering
      = rgy_steering_new (&settings->id, rgy_service_seed (settings->service));
  rgy_steering_set_chain_enabled (a->steering, !settings->without_chain);
  a->engine = new_engine_ (settings, counters);
  rgy_request_engine_set_hooks (a->engine, &hooks);
  a->health = rgy_health_new (&rgy_health_defaults, settings->slots);
  a->drain = rgy_drain_new (settings->drain_timeout_us, RGY_LINGER_US);
  a->transfers = rgy_transfers_new ();
  a->receipts = rgy_receipts_new ();
  a->passed = rgy_passed_new ();
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
forget_session_ (struct rgy_flow *flow, void *ctx)
{
  rgy_request_engine_forget (((struct rgy_agent *)ctx)->engine, flow);
  return true;
}

void
rgy_agent_delete (struct rgy_agent *a)
{
  if (a == NULL)
    return;
  rgy_flow_table_foreach (a->flows, forget_session_, a);
  g_hash_table_unref (a->peers);
  rgy_request_engine_delete (a->engine);
  g_hash_table_unref (a->usage);
  g_hash_table_unref (a->balancers);
  rgy_passed_delete (a->passed);
  rgy_receipts_delete (a->receipts);
  rgy_transfers_delete (a->transfers);
  rgy_drain_delete (a->drain);
  rgy_health_delete (a->health);
  rgy_steering_delete (a->steering);
  rgy_flow_table_delete (a->flows);
  g_rand_free (a->random);
  g_free (a->message);
  rgy_wire_delete (a->wire);
  rgy_blackboard_delete (a->bb);
  g_free (a);
}

void
rgy_agent_send_message (struct rgy_agent *a, struct rgy_endpoint to,
                        const struct rgy_message *message)
{
  struct rgy_bytes bytes = rgy_wire_encode (a->wire, message);

  *a->c.control_bytes_out += bytes.len;
  rgy_actions_send (a->actions, to, bytes);
}

const struct rgy_contract_service *
rgy_agent_get_service (const struct rgy_agent *a,
                       const struct rgy_contract **contract,
                       uint32_t caller_ip)
{
  const struct rgy_contract_service *service = NULL;

  if (rgy_contract_set_match (a->bb->contracts, caller_ip, a->settings.service,
                              contract, &service)
      != RGY_OK)
    return NULL;
  return service;
}

/* Balancers.  */

static bool
is_usable_ (const struct rgy_agent *a, const struct rgy_known_balancer *k)
{
  return rgy_blackboard_balancer_is_usable (a->bb, &k->record);
}

/* The latest acknowledgement, and among equal ones the lower name.  */
static bool
is_better_ (const struct rgy_known_balancer *k,
            const struct rgy_known_balancer *best)
{
  if (best == NULL || k->last_ack_us != best->last_ack_us)
    return best == NULL || k->last_ack_us > best->last_ack_us;
  return rgy_name_compare (&k->record.id, &best->record.id) < 0;
}

struct rgy_endpoint
rgy_agent_choose_balancer (struct rgy_agent *a, const struct rgy_flow *flow)
{
  const struct rgy_known_balancer *best = NULL;
  GHashTableIter iter;
  gpointer value;

  if (flow->last_balancer_us != 0
      && a->now_us - flow->last_balancer_us <= RGY_FLOW_BALANCER_FRESH_US)
    return flow->last_balancer;
  g_hash_table_iter_init (&iter, a->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_known_balancer *k = value;

      if (is_usable_ (a, k) && k->last_ack_us != 0
          && a->now_us - k->last_ack_us <= RGY_BALANCER_FRESH_US
          && is_better_ (k, best))
        best = k;
    }
  return best == NULL ? (struct rgy_endpoint){ 0 } : best->record.endpoint;
}

static struct rgy_known_balancer *
learn_balancer_ (struct rgy_agent *a, const struct rgy_balancer_record *r)
{
  struct rgy_known_balancer *k = g_hash_table_lookup (a->balancers, &r->id);
  bool known = k != NULL;

  if (!known)
    k = g_new0 (struct rgy_known_balancer, 1);
  if (!known || r->epoch > k->record.epoch
      || (r->epoch == k->record.epoch && r->sequence > k->record.sequence))
    k->record = *r;
  k->last_seen_us = a->now_us;
  if (!known)
    g_hash_table_insert (a->balancers, &k->record.id, k);
  return k;
}

static gboolean
is_forgotten_ (gpointer key, gpointer value, gpointer ctx)
{
  const struct rgy_known_balancer *k = value;
  const struct rgy_agent *a = ctx;

  (void)key;
  return a->now_us - k->last_seen_us > RGY_BALANCER_FORGET_US;
}

/* Refusals of new flows are counted here, those of requests by the engine.  */
static void
fill_refused_ (const struct rgy_agent *a, uint64_t *refused)
{
  char label[64];
  size_t i;

  for (i = 0; i < RGY_REFUSAL_REASON_COUNT; i++)
    {
      g_snprintf (label, sizeof label, "reason=\"%s\"",
                  rgy_refusal_reason_string[i]);
      refused[i]
          = rgy_counters_get (a->counters, "agent_refused_total", label)
            + rgy_counters_get (a->counters, "requests_not_run_total", label);
    }
}

static void
send_heartbeat_ (struct rgy_agent *a, struct rgy_endpoint to)
{
  const struct rgy_admission *admission
      = rgy_request_engine_get_admission (a->engine);
  struct rgy_message m = { .kind = RGY_MSG_HEARTBEAT };

  m.u.heartbeat = (struct rgy_heartbeat_message){
    .record = a->self,
    .digests.of
    = { [RGY_ENTRY_CONTRACT]
        = rgy_replica_get_digest (a->bb->replica, RGY_ENTRY_CONTRACT),
        [RGY_ENTRY_DOMAIN]
        = rgy_replica_get_digest (a->bb->replica, RGY_ENTRY_DOMAIN),
        [RGY_ENTRY_AGENT]
        = rgy_blackboard_get_group_digest (a->bb, a->settings.service) },
    .flows = (uint32_t)rgy_flow_table_get_count (a->flows),
    .running = rgy_admission_get_running (admission),
    .limit = rgy_admission_get_limit (admission),
  };
  fill_refused_ (a, m.u.heartbeat.refused);
  rgy_agent_send_message (a, to, &m);
}

/* Heartbeats go to the first balancers in rendezvous order that answer; a
   silent one is still sent to, but does not count.  */
static void
send_heartbeats_ (struct rgy_agent *a)
{
  size_t max = g_hash_table_size (a->balancers);
  struct rgy_name *names = g_new (struct rgy_name, max + 1);
  size_t *chosen = g_new (size_t, max + 1);
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;
  size_t live = 0;
  size_t i;

  g_hash_table_foreach_remove (a->balancers, is_forgotten_, a);
  g_hash_table_iter_init (&iter, a->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_usable_ (a, value))
      names[n++] = ((struct rgy_known_balancer *)value)->record.id;
  n = rgy_member_choose (&a->settings.id, names, n, n, chosen);
  for (i = 0; i < n && live < RGY_HEARTBEAT_TARGETS; i++)
    {
      struct rgy_known_balancer *k
          = g_hash_table_lookup (a->balancers, &names[chosen[i]]);

      send_heartbeat_ (a, k->record.endpoint);
      if (k->unanswered++ < 2)
        live++;
    }
  if (live == 0)
    for (i = 0; i < a->settings.seed_count; i++)
      send_heartbeat_ (a, a->settings.seeds[i]);
  g_free (chosen);
  g_free (names);
}

void
rgy_agent_note_rollup (struct rgy_agent *a, struct rgy_str json)
{
  struct rgy_rollup rollup;

  if (rgy_rollup_parse (json, &rollup) == RGY_OK)
    rgy_rollup_add_seeds (&rollup, a->settings.seeds, &a->settings.seed_count,
                          RGY_AGENT_MAX_SEEDS);
}

static void
look_for_balancers_ (struct rgy_agent *a)
{
  if (a->last_ack_us == 0)
    a->last_ack_us = a->now_us;
  if (a->now_us - a->last_ack_us < RGY_LOST_BALANCERS_US
      || a->now_us < a->next_store_read_us)
    return;
  a->next_store_read_us
      = a->now_us + RGY_STORE_READ_INTERVAL_US
        + g_rand_int_range (a->random, 0, (gint32)RGY_STORE_READ_INTERVAL_US);
  rgy_actions_read_store (a->actions);
}

/* Own record.  */

static void
publish_record_ (struct rgy_agent *a)
{
  GByteArray *bytes;
  char *key;

  if (!a->record_changed)
    return;
  a->record_changed = false;
  a->self.sequence = (a->self.sequence | 1) + 1;
  rgy_blackboard_apply_agent (a->bb, &a->self);
  bytes = rgy_agent_record_encode (&a->self);
  key = g_strdup_printf ("agents/%s", a->settings.id.data);
  rgy_actions_store (
      a->actions, rgy_str_from_c (key),
      (struct rgy_bytes){ .data = bytes->data, .len = bytes->len });
  g_free (key);
  g_byte_array_unref (bytes);
  a->next_heartbeat_us = 0;
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

/* Configuration.  */

static bool
give_up_flow_ (struct rgy_flow *flow, void *ctx)
{
  struct rgy_agent *a = ctx;

  ++*a->c.flows_given_up;
  rgy_agent_close_flow (a, flow);
  return true;
}

static bool
forget_balancer_ (struct rgy_flow *flow, void *ctx)
{
  (void)ctx;
  flow->last_balancer_us = 0;
  return true;
}

static void
follow_domain_order_ (struct rgy_agent *a)
{
  bool out = rgy_domain_set_is_out (a->bb->domains, &a->settings.domain);

  /* The last balancer of a flow may be in the failure domain.  */
  rgy_flow_table_foreach (a->flows, forget_balancer_, a);
  if (out == a->out)
    return;
  a->out = out;
  rgy_request_engine_set_out (a->engine, out);
  rgy_actions_log (a->actions, "failure domain %s: %s, %zu flows held",
                   a->settings.domain.data, out ? "out" : "in",
                   rgy_flow_table_get_count (a->flows));
  if (out)
    rgy_flow_table_foreach (a->flows, give_up_flow_, a);
  else
    rgy_admission_set_cold (rgy_request_engine_get_admission (a->engine),
                            RGY_COLD_DOMAIN, a->now_us);
}

struct revocation_
{
  struct rgy_agent *a;
  const struct rgy_name *customer;
};

static bool
revoke_flow_ (struct rgy_flow *flow, void *ctx)
{
  struct revocation_ *r = ctx;
  struct rgy_agent *a = r->a;
  const struct rgy_contract *contract;

  if (!rgy_name_equal (&flow->customer, r->customer)
      || (rgy_agent_get_service (a, &contract, flow->key.u.udp.caller.ip)
              != NULL
          && rgy_name_equal (&contract->customer, &flow->customer)))
    return true;
  ++*a->c.flows_revoked;
  rgy_request_engine_deregister (a->engine, flow, a->actions);
  rgy_agent_close_flow (a, flow);
  return true;
}

/* Ends the flows that the customer's contract no longer covers; a session
   would otherwise go on to notify a caller that may not reach the service.  */
static void
revoke_flows_ (struct rgy_agent *a, const struct rgy_name *customer)
{
  struct revocation_ r = { .a = a, .customer = customer };

  rgy_flow_table_foreach (a->flows, revoke_flow_, &r);
}

static bool
concerns_group_ (const struct rgy_agent *a, const struct rgy_entry *entry)
{
  struct rgy_agent_record record;

  if (entry->class != RGY_ENTRY_AGENT)
    return true;
  return rgy_blackboard_get_agent (a->bb, &entry->key) != NULL
         || (rgy_agent_record_decode (entry->value, &record) == RGY_OK
             && rgy_endpoint_equal (record.service, a->settings.service));
}

static void
apply_entry_ (struct rgy_agent *a, const struct rgy_entry *entry)
{
  if (!concerns_group_ (a, entry)
      || rgy_blackboard_apply (a->bb, entry) != RGY_OK)
    return;
  if (entry->class == RGY_ENTRY_CONTRACT || entry->class == RGY_ENTRY_DOMAIN)
    {
      ++*a->c.config_changes;
      /* The balancers wait for the new digest.  */
      a->next_heartbeat_us = 0;
    }
  if (entry->class == RGY_ENTRY_CONTRACT)
    {
      rgy_agent_prepare_usage (a);
      revoke_flows_ (a, &entry->key);
    }
  if (entry->class == RGY_ENTRY_DOMAIN)
    follow_domain_order_ (a);
  if (entry->class == RGY_ENTRY_AGENT
      && rgy_name_equal (&entry->key, &a->settings.id)
      && entry->version.major == a->self.epoch)
    {
      /* Declared dead: the next even sequence number refutes it.  */
      a->self.sequence = entry->version.minor;
      a->record_changed = true;
    }
}

static void
apply_entries_ (struct rgy_agent *a, const struct rgy_entries_message *m)
{
  size_t i;

  for (i = 0; i < m->count; i++)
    apply_entry_ (a, m->entries[i]);
}

static void
handle_heartbeat_ack_ (struct rgy_agent *a,
                       const struct rgy_heartbeat_ack_message *m)
{
  struct rgy_known_balancer *k;
  size_t i;

  for (i = 0; i < m->sample_count; i++)
    learn_balancer_ (a, &m->sample[i]);
  k = g_hash_table_lookup (a->balancers, &m->balancer);
  a->last_ack_us = a->now_us;
  if (k != NULL)
    {
      k->last_ack_us = a->now_us;
      k->last_seen_us = a->now_us;
      k->unanswered = 0;
    }
  if (m->agent_epoch == a->self.epoch && m->agent_sequence > a->self.sequence)
    {
      a->self.sequence = m->agent_sequence;
      a->record_changed = true;
    }
  if (m->digests.of[RGY_ENTRY_CONTRACT]
          == rgy_replica_get_digest (a->bb->replica, RGY_ENTRY_CONTRACT)
      && m->digests.of[RGY_ENTRY_DOMAIN]
             == rgy_replica_get_digest (a->bb->replica, RGY_ENTRY_DOMAIN)
      && m->digests.of[RGY_ENTRY_AGENT]
             == rgy_blackboard_get_group_digest (a->bb, a->settings.service))
    {
      a->synced = true;
      return;
    }
  if (a->now_us < a->next_sync_us)
    return;
  a->next_sync_us = a->now_us + RGY_SYNC_RETRY_US;
  rgy_actions_sync (a->actions, m->sync);
}

/* Peers of the same service.  */

static void
fill_peer_state_ (struct rgy_agent *a, struct rgy_peer_state_message *p)
{
  const struct rgy_admission *admission
      = rgy_request_engine_get_admission (a->engine);

  p->from = a->settings.id;
  p->epoch = a->self.epoch;
  p->sequence = rgy_steering_get_sequence (a->steering);
  rgy_steering_get_may_hold (a->steering, rgy_flow_table_get_held (a->flows),
                             &p->may_hold);
  p->can_accept
      = a->self.state == RGY_MEMBER_READY && !a->out
        && rgy_admission_get_queued (admission) == 0
        && rgy_flow_table_get_count (a->flows) < a->settings.connections;
  p->flows = (uint32_t)rgy_flow_table_get_count (a->flows);
  p->usage_count = rgy_agent_fill_usage (a, p->usage);
}

void
rgy_agent_send_peer_state (struct rgy_agent *a)
{
  struct rgy_message *m;
  size_t i;

  a->next_peer_state_us = a->now_us + RGY_PEER_STATE_INTERVAL_US;
  a->sent_us = a->now_us;
  a->sent_sequence = rgy_steering_get_sequence (a->steering);
  m = g_new0 (struct rgy_message, 1);
  m->kind = RGY_MSG_PEER_STATE;
  fill_peer_state_ (a, &m->u.peer_state);
  for (i = 0; i < a->peer_count; i++)
    rgy_agent_send_message (
        a, rgy_blackboard_get_agent (a->bb, &a->peer_names[i])->endpoint, m);
  g_free (m);
}

static void
peer_state_tick_ (struct rgy_agent *a)
{
  if (a->now_us >= a->next_age_us)
    {
      a->next_age_us = a->now_us + RGY_PASSED_AGE_US;
      rgy_steering_age_passed (a->steering);
    }
  if (a->now_us >= a->next_peer_state_us
      || (a->settle_deadline_us != 0 && !rgy_steering_is_settled (a->steering)
          && a->now_us >= a->sent_us + RGY_SETTLE_RETRY_US)
      || rgy_steering_get_sequence (a->steering) != a->sent_sequence)
    rgy_agent_send_peer_state (a);
}

static void
handle_peer_state_ (struct rgy_agent *a, struct rgy_endpoint from,
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

/* Follows changes of the group: new table, claims and instances of the
   limits.  */
static void
update_group_ (struct rgy_agent *a)
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

/* Peers follow the bitmap, so it is sent as soon as it changes.  */
static void
publish_held_ (struct rgy_agent *a)
{
  if (rgy_steering_set_held (a->steering, rgy_flow_table_get_held (a->flows)))
    rgy_agent_send_peer_state (a);
}

static void
settle_tick_ (struct rgy_agent *a)
{
  if (a->settle_deadline_us != 0 && a->now_us >= a->settle_deadline_us)
    {
      a->settle_deadline_us = 0;
      rgy_steering_force_settled (a->steering);
    }
}

/* Messages.  */

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
dispatch_ (struct rgy_agent *a, struct rgy_endpoint from,
           struct rgy_message *m)
{
  switch (m->kind)
    {
    case RGY_MSG_DATA:
      rgy_agent_handle_data (a, &m->u.data);
      break;
    case RGY_MSG_HEARTBEAT_ACK:
      handle_heartbeat_ack_ (a, &m->u.heartbeat_ack);
      break;
    case RGY_MSG_ENTRIES:
      apply_entries_ (a, &m->u.entries);
      break;
    case RGY_MSG_PEER_STATE:
      handle_peer_state_ (a, from, &m->u.peer_state);
      break;
    case RGY_MSG_PEER_STATE_ACK:
      if (m->u.peer_state_ack.epoch == a->self.epoch)
        rgy_steering_note_answer (a->steering, &m->u.peer_state_ack.from,
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
      ++*a->c.bad_message;
      break;
    }
}

void
rgy_agent_from_instance (struct rgy_agent *a, struct rgy_endpoint from,
                         struct rgy_bytes datagram, int64_t now_us,
                         struct rgy_actions *actions)
{
  struct rgy_message *m = a->message;
  enum rgy_outcome rc = rgy_wire_decode (a->wire, datagram, m);

  a->now_us = now_us;
  a->actions = actions;
  if (rc == RGY_OK)
    {
      if (m->kind != RGY_MSG_DATA)
        {
          ++*a->c.control_in;
          *a->c.control_bytes_in += datagram.len;
        }
      update_group_ (a);
      dispatch_ (a, from, m);
      publish_held_ (a);
    }
  else
    ++*(rc == RGY_ERR_AUTH ? a->c.bad_tag : a->c.bad_message);
}

/* Time.  */

static void
expire_flows_ (struct rgy_agent *a)
{
  struct rgy_flow *flow;

  while ((flow = rgy_flow_table_get_expired (a->flows, a->now_us)) != NULL)
    {
      if (rgy_request_engine_get_observations (flow) > 0)
        {
          /* An observation may be silent for longer than a flow.  */
          rgy_flow_table_touch (a->flows, flow, a->now_us);
          continue;
        }
      ++*a->c.flows_expired;
      rgy_agent_close_flow (a, flow);
    }
}

static void
start_tick_ (struct rgy_agent *a)
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
  send_heartbeats_ (a);
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
  start_tick_ (a);
  publish_record_ (a);
  update_group_ (a);
  settle_tick_ (a);
  peer_state_tick_ (a);
  rgy_agent_probe_tick (a);
  rgy_request_engine_tick (a->engine, now_us, actions);
  expire_flows_ (a);
  rgy_agent_handover_tick (a);
  publish_held_ (a);
  drain_tick_ (a);
  if (now_us >= a->next_heartbeat_us)
    {
      a->next_heartbeat_us = now_us + RGY_HEARTBEAT_INTERVAL_US;
      send_heartbeats_ (a);
      look_for_balancers_ (a);
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
  update_group_ (a);
  peer_state_tick_ (a);
  send_heartbeats_ (a);
}

/* Synchronisation.  */

struct rgy_bytes
rgy_agent_build_sync_request (struct rgy_agent *a)
{
  static const enum rgy_entry_class classes[]
      = { RGY_ENTRY_CONTRACT, RGY_ENTRY_DOMAIN, RGY_ENTRY_AGENT };
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  struct rgy_bytes bytes;
  size_t i;

  m->kind = RGY_MSG_SYNC_REQUEST;
  m->u.sync_request.from = a->settings.id;
  m->u.sync_request.service = a->settings.service;
  for (i = 0; i < G_N_ELEMENTS (classes); i++)
    {
      m->u.sync_request.classes |= 1U << classes[i];
      rgy_replica_get_subdigests (a->bb->replica, classes[i],
                                  m->u.sync_request.subdigests[classes[i]]);
    }
  bytes = rgy_wire_encode (a->wire, m);
  g_free (m);
  return bytes;
}

enum rgy_outcome
rgy_agent_apply_sync (struct rgy_agent *a, struct rgy_bytes frame,
                      int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  enum rgy_outcome rc = rgy_wire_decode (a->wire, frame, m);

  a->now_us = now_us;
  a->actions = actions;
  if (rc == RGY_OK && m->kind != RGY_MSG_SYNC_REPLY)
    rc = RGY_ERR_INVALID;
  if (rc == RGY_OK)
    apply_entries_ (a, &m->u.entries);
  g_free (m);
  return rc;
}

/* State.  */

bool
rgy_agent_is_ready (const struct rgy_agent *a)
{
  return a->self.state == RGY_MEMBER_READY && !a->out
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
rgy_agent_holds_flow (const struct rgy_agent *a,
                      const struct rgy_flow_key *key)
{
  return rgy_flow_table_find (a->flows, key) != NULL;
}

const struct rgy_admission *
rgy_agent_get_admission (const struct rgy_agent *a)
{
  return rgy_request_engine_get_admission (a->engine);
}

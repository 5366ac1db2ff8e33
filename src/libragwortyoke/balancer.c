#include "private/balancer_private.h"

#include <string.h>

/* Control plane of a balancer: creation and deletion, dispatch of messages,
   timers, draining and readiness.  Gossip, synchronisation, the balancer's own
   record and its exchange with the store are in separate source files.  */

static void
table_free_ (gpointer data)
{
  struct rgy_service_table *t = data;

  rgy_bucket_table_delete (t->table);
  g_free (t);
}

static void
limit_free_ (gpointer data)
{
  rgy_rate_limit_delete (data);
}

static void
pending_push_free_ (gpointer data)
{
  struct rgy_pending_push *copy = data;

  g_bytes_unref (copy->value);
  g_free (copy);
}

static void
register_counters_ (struct rgy_balancer *b)
{
  static const char dropped[]
      = "Packets from the fabric that the balancer dropped.";
  const struct rgy_counter_spec specs[] = {
    { .value = &b->c.packets_in,
      .name = "balancer_packets_in_total",
      .help = "Packets received from the fabric." },
    { .value = &b->c.bytes_in,
      .name = "balancer_bytes_in_total",
      .help = "Bytes received from the fabric." },
    { .value = &b->c.forwarded,
      .name = "balancer_forwarded_total",
      .help = "Packets forwarded to agents." },
    { .value = &b->c.answers,
      .name = "balancer_answers_total",
      .help = "Responses sent to the fabric." },
    { .value = &b->c.drop_malformed,
      .name = "balancer_dropped_total",
      .label = "reason=\"malformed\"",
      .help = dropped },
    { .value = &b->c.drop_unknown_service,
      .name = "balancer_dropped_total",
      .label = "reason=\"unknown-service\"",
      .help = dropped },
    { .value = &b->c.drop_unknown_caller,
      .name = "balancer_dropped_total",
      .label = "reason=\"unknown-caller\"",
      .help = dropped },
    { .value = &b->c.drop_limit,
      .name = "balancer_dropped_total",
      .label = "reason=\"contract-limit\"",
      .help = dropped },
    { .value = &b->c.drop_no_backend,
      .name = "balancer_dropped_total",
      .label = "reason=\"no-backend-server\"",
      .help = dropped },
    { .value = &b->c.drop_out,
      .name = "balancer_dropped_total",
      .label = "reason=\"failure-domain-out\"",
      .help = dropped },
    { .value = &b->c.cut_protections,
      .name = "cut_protection_total",
      .help = "Times that cut protection was switched on." },
    { .value = &b->c.declared_dead,
      .name = "declared_dead_total",
      .help = "Members that this balancer declared dead." },
    { .value = &b->c.config_changes,
      .name = "config_changes_total",
      .help = "Contracts and failure domain orders activated." },
    { .value = &b->c.agents,
      .name = "known_agents",
      .help = "Agent records in the replica.",
      .gauge = true },
    { .value = &b->c.balancers,
      .name = "known_balancers",
      .help = "Balancer records in the replica.",
      .gauge = true },
  };

  rgy_counters_add_all (b->counters, specs, G_N_ELEMENTS (specs));
}

struct rgy_balancer *
rgy_balancer_new (const struct rgy_balancer_settings *settings,
                  struct rgy_counters *counters)
{
  struct rgy_balancer *b = g_new0 (struct rgy_balancer, 1);

  b->settings = *settings;
  b->counters = counters;
  register_counters_ (b);
  b->bb = rgy_blackboard_new (counters);
  b->bb->without_domain_orders = settings->without_domain_orders;
  b->bb->without_version_check = settings->without_version_check;
  rgy_link_init (&b->link, settings->key, counters);
  b->random = g_rand_new_with_seed_array (
      (const guint32 *)&b->settings.random_seed,
      sizeof b->settings.random_seed / sizeof (guint32));
  b->packet = g_byte_array_new ();
  b->tables = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                     table_free_);
  b->limits = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, g_free,
                                     limit_free_);
  b->agents_liveness = rgy_liveness_new (&rgy_liveness_defaults);
  b->balancers_liveness = rgy_liveness_new (&rgy_liveness_defaults);
  b->monitored
      = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, g_free, NULL);
  b->loads = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, g_free,
                                    g_free);
  b->lagging
      = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, g_free, NULL);
  b->pending_pushes = g_ptr_array_new_with_free_func (pending_push_free_);
  b->announcements
      = g_array_new (FALSE, FALSE, sizeof (struct rgy_announcement));
  b->stored_orders = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal,
                                            g_free, g_free);
  b->self = (struct rgy_balancer_record){ .id = settings->id,
                                          .epoch = settings->epoch,
                                          .sequence = 0,
                                          .state = RGY_MEMBER_READY,
                                          .domain = settings->domain,
                                          .endpoint = settings->endpoint,
                                          .sync = settings->sync,
                                          .http = settings->http };
  b->record_changed = true;
  return b;
}

void
rgy_balancer_delete (struct rgy_balancer *b)
{
  if (b == NULL)
    return;
  g_free (b->last_stored_rollup);
  g_hash_table_unref (b->stored_orders);
  g_array_unref (b->announcements);
  g_ptr_array_unref (b->pending_pushes);
  g_hash_table_unref (b->lagging);
  g_hash_table_unref (b->loads);
  g_hash_table_unref (b->monitored);
  rgy_liveness_delete (b->balancers_liveness);
  rgy_liveness_delete (b->agents_liveness);
  g_hash_table_unref (b->limits);
  g_hash_table_unref (b->tables);
  g_byte_array_unref (b->packet);
  g_rand_free (b->random);
  rgy_link_finish (&b->link);
  rgy_blackboard_delete (b->bb);
  g_free (b);
}

void
rgy_balancer_send_message (struct rgy_balancer *b, struct rgy_endpoint to,
                           const struct rgy_message *message,
                           struct rgy_actions *actions)
{
  rgy_link_send (&b->link, to, message, actions);
}

bool
rgy_balancer_is_in_cluster (const struct rgy_balancer_record *r)
{
  return r->state != RGY_MEMBER_DEAD && r->state != RGY_MEMBER_LEFT;
}

size_t
rgy_balancer_list_others (const struct rgy_balancer *b, struct rgy_name *names,
                          size_t max)
{
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_balancer_record *r = value;

      if (rgy_balancer_is_in_cluster (r)
          && !rgy_name_equal (&r->id, &b->settings.id))
        names[n++] = r->id;
    }
  rgy_name_sort (names, n);
  return n;
}

static void
handle_probe_ (struct rgy_balancer *b, struct rgy_endpoint from,
               const struct rgy_probe_message *probe, int64_t now_us,
               struct rgy_actions *actions)
{
  struct rgy_message m = { .kind = RGY_MSG_PROBE_ACK };

  if (probe->subject.len > 0
      && !rgy_liveness_was_seen_since (b->agents_liveness, &probe->subject,
                                       now_us - RGY_INDIRECT_ACK_US))
    return;
  m.u.probe = (struct rgy_probe_message){ .from = b->settings.id,
                                          .nonce = probe->nonce,
                                          .subject = probe->subject };
  rgy_balancer_send_message (b, from, &m, actions);
}

static void
handle_probe_ack_ (struct rgy_balancer *b, const struct rgy_probe_message *ack,
                   int64_t now_us)
{
  const struct rgy_name *from = &ack->from;

  rgy_liveness_note_indirect_ack (b->agents_liveness, &ack->subject, now_us);
  if (rgy_liveness_is_watched (b->agents_liveness, from))
    rgy_liveness_note_message (b->agents_liveness, from, now_us);
  if (rgy_liveness_is_watched (b->balancers_liveness, from))
    rgy_liveness_note_message (b->balancers_liveness, from, now_us);
}

static void
dispatch_message_ (struct rgy_balancer *b, struct rgy_endpoint from,
                   const struct rgy_message *m, int64_t now_us,
                   struct rgy_actions *actions)
{
  switch (m->kind)
    {
    case RGY_MSG_ANSWER:
      rgy_balancer_handle_answer (b, &m->u.answer, actions);
      break;
    case RGY_MSG_HEARTBEAT:
      rgy_balancer_handle_heartbeat (b, from, &m->u.heartbeat, now_us,
                                     actions);
      break;
    case RGY_MSG_GOSSIP:
    case RGY_MSG_GOSSIP_ACK:
      rgy_balancer_handle_gossip (b, from, m, now_us, actions);
      break;
    case RGY_MSG_ENTRIES:
      rgy_balancer_apply_entries (b, &m->u.entries, actions);
      break;
    case RGY_MSG_PROBE:
      handle_probe_ (b, from, &m->u.probe, now_us, actions);
      break;
    case RGY_MSG_PROBE_ACK:
      handle_probe_ack_ (b, &m->u.probe, now_us);
      break;
    case RGY_MSG_DATA:
    case RGY_MSG_HEARTBEAT_ACK:
    case RGY_MSG_PEER_STATE:
    case RGY_MSG_PEER_STATE_ACK:
    case RGY_MSG_HANDOVER:
    case RGY_MSG_HANDOVER_ACK:
    case RGY_MSG_SYNC_REQUEST:
    case RGY_MSG_SYNC_REPLY:
    case RGY_MSG_KIND_COUNT:
      ++*b->link.bad_message;
      break;
    }
}

void
rgy_balancer_from_instance (struct rgy_balancer *b, struct rgy_endpoint from,
                            struct rgy_bytes datagram, int64_t now_us,
                            struct rgy_actions *actions)
{
  struct rgy_message *m = rgy_link_receive (&b->link, datagram);

  if (m != NULL)
    dispatch_message_ (b, from, m, now_us, actions);
}

static void
drain_tick_ (struct rgy_balancer *b, int64_t now_us,
             struct rgy_actions *actions)
{
  if (b->drain_until_us == 0 || now_us < b->drain_until_us
      || b->self.state == RGY_MEMBER_LEFT)
    return;
  b->self.state = RGY_MEMBER_LEFT;
  b->record_changed = true;
  rgy_balancer_publish_record (b, now_us);
  rgy_balancer_gossip_tick (b, now_us, actions);
  rgy_actions_exit (actions);
}

/* A balancer without known agents would refuse requests, so it reports that it
   is not ready.  The agents are known when a peer has the same entries, or
   after each agent had the time to send two heartbeats.  */
static void
warm_up_tick_ (struct rgy_balancer *b, int64_t now_us)
{
  if (b->knows_agents)
    return;
  if (b->started_us == 0)
    b->started_us = now_us;
  b->knows_agents = (b->joined && g_hash_table_size (b->bb->agents) > 0)
                    || now_us - b->started_us >= RGY_WARM_UP_US;
}

void
rgy_balancer_tick (struct rgy_balancer *b, int64_t now_us,
                   struct rgy_actions *actions)
{
  warm_up_tick_ (b, now_us);
  rgy_balancer_monitor_tick (b, now_us, actions);
  rgy_balancer_publish_record (b, now_us);
  rgy_balancer_push_entries (b, actions);
  rgy_balancer_gossip_tick (b, now_us, actions);
  rgy_balancer_rejoin_tick (b, now_us, actions);
  rgy_balancer_store_tick (b, now_us, actions);
  drain_tick_ (b, now_us, actions);
  *b->c.agents = g_hash_table_size (b->bb->agents);
  *b->c.balancers = g_hash_table_size (b->bb->balancers);
}

void
rgy_balancer_start_drain (struct rgy_balancer *b, int64_t now_us,
                          struct rgy_actions *actions)
{
  if (b->drain_until_us != 0)
    return;
  b->drain_until_us = now_us + b->settings.drain_us;
  b->self.state = RGY_MEMBER_DRAINING;
  b->record_changed = true;
  rgy_actions_log (actions, "draining");
  rgy_balancer_publish_record (b, now_us);
  rgy_balancer_gossip_tick (b, now_us, actions);
}

bool
rgy_balancer_is_ready (const struct rgy_balancer *b)
{
  return b->self.state == RGY_MEMBER_READY && b->synced && b->knows_agents
         && !b->cut_protection
         && rgy_contract_set_get_count (b->bb->contracts) > 0
         && !rgy_domain_set_is_out (b->bb->domains, &b->settings.domain);
}

const struct rgy_blackboard *
rgy_balancer_get_blackboard (const struct rgy_balancer *b)
{
  return b->bb;
}

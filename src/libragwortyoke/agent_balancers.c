#include "private/agent_private.h"

/* Balancers that an agent knows, and the heartbeats that it sends to them.  */

static bool
is_usable_balancer_ (const struct rgy_agent *a,
                     const struct rgy_known_balancer *k)
{
  return rgy_blackboard_balancer_is_usable (a->bb, &k->record);
}

/* Prefers the balancer with the latest acknowledgement, and among equal ones
   the lower name.  */
static bool
is_better_balancer_ (const struct rgy_known_balancer *k,
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

      if (is_usable_balancer_ (a, k) && k->last_ack_us != 0
          && a->now_us - k->last_ack_us <= RGY_BALANCER_FRESH_US
          && is_better_balancer_ (k, best))
        best = k;
    }
  return best == NULL ? (struct rgy_endpoint){ 0 } : best->record.endpoint;
}

static struct rgy_known_balancer *
update_balancer_ (struct rgy_agent *a, const struct rgy_balancer_record *r)
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
is_expired_balancer_ (gpointer key, gpointer value, gpointer ctx)
{
  const struct rgy_known_balancer *k = value;
  const struct rgy_agent *a = ctx;

  (void)key;
  return a->now_us - k->last_seen_us > RGY_BALANCER_EXPIRE_US;
}

/* Sums the refusals by reason.  The agent counts refused flows, the request
   engine counts refused requests.  */
static void
sum_refusals_ (const struct rgy_agent *a, uint64_t *refused)
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
  sum_refusals_ (a, m.u.heartbeat.refused);
  rgy_agent_send_message (a, to, &m);
}

/* Sends heartbeats to balancers in rendezvous order until
   RGY_HEARTBEAT_TARGETS of them are responsive.  An unresponsive balancer
   still receives heartbeats, but does not count.  */
void
rgy_agent_send_heartbeats (struct rgy_agent *a)
{
  size_t max = g_hash_table_size (a->balancers);
  struct rgy_name *names = g_new (struct rgy_name, max + 1);
  size_t *chosen = g_new (size_t, max + 1);
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;
  size_t responsive = 0;
  size_t i;

  g_hash_table_foreach_remove (a->balancers, is_expired_balancer_, a);
  g_hash_table_iter_init (&iter, a->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_usable_balancer_ (a, value))
      names[n++] = ((struct rgy_known_balancer *)value)->record.id;
  n = rgy_member_choose (&a->settings.id, names, n, n, chosen);
  for (i = 0; i < n && responsive < RGY_HEARTBEAT_TARGETS; i++)
    {
      struct rgy_known_balancer *k
          = g_hash_table_lookup (a->balancers, &names[chosen[i]]);

      send_heartbeat_ (a, k->record.endpoint);
      if (k->unanswered++ < 2)
        responsive++;
    }
  if (responsive == 0)
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

void
rgy_agent_find_balancers_in_store (struct rgy_agent *a)
{
  if (a->last_ack_us == 0)
    a->last_ack_us = a->now_us;
  if (a->now_us - a->last_ack_us < RGY_NO_BALANCER_ACK_US
      || a->now_us < a->next_store_read_us)
    return;
  a->next_store_read_us
      = a->now_us + RGY_STORE_READ_INTERVAL_US
        + g_rand_int_range (a->random, 0, (gint32)RGY_STORE_READ_INTERVAL_US);
  rgy_actions_read_store (a->actions);
}

void
rgy_agent_handle_heartbeat_ack (struct rgy_agent *a,
                                const struct rgy_heartbeat_ack_message *m)
{
  struct rgy_known_balancer *k;
  size_t i;

  for (i = 0; i < m->sample_count; i++)
    update_balancer_ (a, &m->sample[i]);
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

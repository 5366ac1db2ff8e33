#include "private/balancer_private.h"

#include <stdlib.h>
#include <string.h>

/* Control plane of a balancer: gossip, synchronisation, its own record and
   its dealings with the store.  */

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
fresh_entry_free_ (gpointer data)
{
  struct rgy_fresh_entry *copy = data;

  g_bytes_unref (copy->value);
  g_free (copy);
}

static void
register_counters_ (struct rgy_balancer *b)
{
  struct rgy_counters *c = b->counters;
  static const char dropped[] = "Packets from the fabric that were dropped.";

  b->c = (struct rgy_balancer_counters){
    .packets_in = rgy_counters_add (c, "balancer_packets_in_total", NULL,
                                    "Packets from the fabric."),
    .bytes_in = rgy_counters_add (c, "balancer_bytes_in_total", NULL,
                                  "Bytes from the fabric."),
    .forwarded = rgy_counters_add (c, "balancer_forwarded_total", NULL,
                                   "Packets sent to agents."),
    .answers = rgy_counters_add (c, "balancer_answers_total", NULL,
                                 "Responses sent to the fabric."),
    .drop_malformed = rgy_counters_add (c, "balancer_dropped_total",
                                        "reason=\"malformed\"", dropped),
    .drop_unknown_service = rgy_counters_add (
        c, "balancer_dropped_total", "reason=\"unknown-service\"", dropped),
    .drop_unknown_caller = rgy_counters_add (
        c, "balancer_dropped_total", "reason=\"unknown-caller\"", dropped),
    .drop_limit = rgy_counters_add (c, "balancer_dropped_total",
                                    "reason=\"contract-limit\"", dropped),
    .drop_no_backend = rgy_counters_add (
        c, "balancer_dropped_total", "reason=\"no-backend-server\"", dropped),
    .drop_out = rgy_counters_add (c, "balancer_dropped_total",
                                  "reason=\"failure-domain-out\"", dropped),
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
    .cuts = rgy_counters_add (c, "cut_protection_total", NULL,
                              "Times that cut protection was switched on."),
    .declared_dead = rgy_counters_add (c, "declared_dead_total", NULL,
                                       "Members declared dead here."),
    .config_changes
    = rgy_counters_add (c, "config_changes_total", NULL,
                        "Contracts and domain orders put in force."),
    .agents = rgy_counters_add_gauge (c, "known_agents", NULL,
                                      "Agent records in the replica."),
    .balancers = rgy_counters_add_gauge (c, "known_balancers", NULL,
                                         "Balancer records in the replica."),
  };
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
  b->wire = rgy_wire_new (settings->key);
  b->message = g_new0 (struct rgy_message, 1);
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
  b->fresh = g_ptr_array_new_with_free_func (fresh_entry_free_);
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
  g_free (b->stored_rollup);
  g_hash_table_unref (b->stored_orders);
  g_array_unref (b->announcements);
  g_ptr_array_unref (b->fresh);
  g_hash_table_unref (b->lagging);
  g_hash_table_unref (b->loads);
  g_hash_table_unref (b->monitored);
  rgy_liveness_delete (b->balancers_liveness);
  rgy_liveness_delete (b->agents_liveness);
  g_hash_table_unref (b->limits);
  g_hash_table_unref (b->tables);
  g_byte_array_unref (b->packet);
  g_rand_free (b->random);
  g_free (b->message);
  rgy_wire_delete (b->wire);
  rgy_blackboard_delete (b->bb);
  g_free (b);
}

void
rgy_balancer_send_message (struct rgy_balancer *b, struct rgy_endpoint to,
                           const struct rgy_message *message,
                           struct rgy_actions *actions)
{
  struct rgy_bytes bytes = rgy_wire_encode (b->wire, message);

  *b->c.control_bytes_out += bytes.len;
  rgy_actions_send (actions, to, bytes);
}

static bool
is_member_of_cluster_ (const struct rgy_balancer_record *r)
{
  return r->state != RGY_MEMBER_DEAD && r->state != RGY_MEMBER_LEFT;
}

static int
compare_names_ (const void *a, const void *b)
{
  return rgy_name_compare (a, b);
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

      if (is_member_of_cluster_ (r)
          && !rgy_name_equal (&r->id, &b->settings.id))
        names[n++] = r->id;
    }
  qsort (names, n, sizeof names[0], compare_names_);
  return n;
}

/* Entries.  */

/* Room left in a datagram after tag, names and digests.  */
#define GOSSIP_ENTRY_BYTES (RGY_WIRE_DATAGRAM_BYTES - 200)
/* Key and version of an entry in a datagram.  */
#define ENTRY_OVERHEAD_BYTES 32
#define ANNOUNCEMENT_BYTES (RGY_NAME_MAX_BYTES + ENTRY_OVERHEAD_BYTES)
#define MAX_ANNOUNCEMENTS 4

static void
announce_if_large_ (struct rgy_balancer *b, const struct rgy_entry *entry)
{
  struct rgy_announcement a = { .entry = *entry };
  guint i;

  for (i = 0; i < b->announcements->len; i++)
    {
      const struct rgy_entry *old
          = &g_array_index (b->announcements, struct rgy_announcement, i)
                 .entry;

      if (old->class == entry->class
          && rgy_name_equal (&old->key, &entry->key))
        {
          g_array_remove_index (b->announcements, i);
          break;
        }
    }
  if (entry->key.len + entry->value.len + ENTRY_OVERHEAD_BYTES
      <= GOSSIP_ENTRY_BYTES)
    return;
  a.entry.value = (struct rgy_bytes){ 0 };
  g_array_append_val (b->announcements, a);
}

static void
remember_fresh_ (struct rgy_balancer *b, const struct rgy_entry *entry)
{
  struct rgy_fresh_entry *copy;

  if (entry->class == RGY_ENTRY_BALANCER)
    return;
  copy = g_new0 (struct rgy_fresh_entry, 1);
  copy->entry = *entry;
  copy->value = g_bytes_new (entry->value.data, entry->value.len);
  copy->entry.value.data = g_bytes_get_data (copy->value, NULL);
  g_ptr_array_add (b->fresh, copy);
}

static void
log_change_ (const struct rgy_balancer *b, const struct rgy_entry *entry,
             struct rgy_actions *actions)
{
  const struct rgy_agent_record *agent;

  switch (entry->class)
    {
    case RGY_ENTRY_CONTRACT:
      rgy_actions_log (actions,
                       "contract %s: revision %" G_GUINT64_FORMAT " %s",
                       entry->key.data, entry->version.major,
                       entry->deleted ? "deleted" : "in force");
      break;
    case RGY_ENTRY_DOMAIN:
      rgy_actions_log (
          actions, "failure domain %s: %s (order %" G_GUINT64_FORMAT ")",
          entry->key.data,
          rgy_domain_set_is_out (b->bb->domains, &entry->key) ? "out" : "in",
          entry->version.major);
      break;
    case RGY_ENTRY_AGENT:
      agent = rgy_blackboard_get_agent (b->bb, &entry->key);
      rgy_actions_log (actions, "agent %s: %s", entry->key.data,
                       rgy_member_state_string[agent->state]);
      break;
    case RGY_ENTRY_BALANCER:
    case RGY_ENTRY_CLASS_COUNT:
      break;
    }
}

/* Another member may have declared this balancer dead: the next even
   sequence number refutes it.  */
static void
refute_if_self_ (struct rgy_balancer *b, const struct rgy_entry *entry)
{
  if (entry->class != RGY_ENTRY_BALANCER
      || !rgy_name_equal (&entry->key, &b->settings.id)
      || entry->version.major != b->self.epoch
      || entry->version.minor <= b->self.sequence)
    return;
  b->self.sequence = entry->version.minor;
  b->record_changed = true;
}

static void
follow_entry_ (struct rgy_balancer *b, const struct rgy_entry *entry,
               struct rgy_actions *actions)
{
  refute_if_self_ (b, entry);
  remember_fresh_ (b, entry);
  log_change_ (b, entry, actions);
  if (entry->class == RGY_ENTRY_CONTRACT || entry->class == RGY_ENTRY_DOMAIN)
    {
      ++*b->c.config_changes;
      b->config_changed = true;
    }
}

enum rgy_outcome
rgy_balancer_apply_entry (struct rgy_balancer *b,
                          const struct rgy_entry *entry,
                          struct rgy_actions *actions)
{
  enum rgy_outcome rc = rgy_blackboard_apply (b->bb, entry);

  if (rc != RGY_OK)
    return rc;
  follow_entry_ (b, entry, actions);
  announce_if_large_ (b, entry);
  b->eager = true;
  return RGY_OK;
}

enum rgy_outcome
rgy_balancer_apply_pulled_entry (struct rgy_balancer *b,
                                 const struct rgy_entry *entry,
                                 struct rgy_actions *actions)
{
  enum rgy_outcome rc = rgy_blackboard_apply_unqueued (b->bb, entry);

  if (rc == RGY_OK)
    follow_entry_ (b, entry, actions);
  return rc;
}

static bool
is_announcement_ (const struct rgy_entry *entry)
{
  return !entry->deleted && entry->value.len == 0;
}

static bool
is_lacking_ (const struct rgy_balancer *b, const struct rgy_entry *entry)
{
  const struct rgy_entry *known
      = rgy_replica_get (b->bb->replica, entry->class, &entry->key);

  return known == NULL
         || rgy_version_compare (known->version, entry->version) < 0;
}

/* @return true when an entry is announced that is lacking here.  */
static bool
apply_entries_ (struct rgy_balancer *b, const struct rgy_entries_message *m,
                struct rgy_actions *actions)
{
  bool lacking = false;
  size_t i;

  for (i = 0; i < m->count; i++)
    if (is_announcement_ (m->entries[i]))
      lacking |= is_lacking_ (b, m->entries[i]);
    else
      rgy_balancer_apply_entry (b, m->entries[i], actions);
  return lacking;
}

enum rgy_outcome
rgy_balancer_from_store (struct rgy_balancer *b, const struct rgy_entry *entry,
                         struct rgy_actions *actions)
{
  if (entry->class == RGY_ENTRY_DOMAIN)
    {
      uint64_t *number = g_memdup2 (&entry->version.major, sizeof *number);

      g_hash_table_replace (b->stored_orders,
                            g_memdup2 (&entry->key, sizeof entry->key),
                            number);
    }
  b->synced = true;
  if (b->joined)
    return rgy_balancer_apply_entry (b, entry, actions);
  /* A balancer that starts reads everything; peers that lack an entry pull
     it.  */
  return rgy_balancer_apply_pulled_entry (b, entry, actions);
}

enum rgy_outcome
rgy_balancer_from_operator (struct rgy_balancer *b, struct rgy_str order_json,
                            int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_domain_order order;
  struct rgy_check_error error;
  struct rgy_entry entry;
  enum rgy_outcome rc;

  (void)now_us;
  rc = rgy_domain_order_parse (order_json, &order, &error);
  if (rc != RGY_OK)
    return rc;
  entry = (struct rgy_entry){
    .class = RGY_ENTRY_DOMAIN,
    .key = order.domain,
    .version = { .major = order.number, .minor = order.id },
    .value
    = { .data = (const uint8_t *)order_json.data, .len = order_json.len }
  };
  return rgy_balancer_apply_entry (b, &entry, actions);
}

/* Gossip.  */

static void
get_digests_ (const struct rgy_balancer *b, struct rgy_digests *digests)
{
  size_t c;

  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    digests->of[c]
        = rgy_replica_get_digest (b->bb->replica, (enum rgy_entry_class)c);
}

/* Puts the announcements that are due in front of the updates.  */
static size_t
take_announcements_ (struct rgy_balancer *b, unsigned transmissions,
                     struct rgy_announcement *taken,
                     const struct rgy_entry **entries)
{
  size_t count = 0;
  guint i = 0;

  while (i < b->announcements->len && count < MAX_ANNOUNCEMENTS)
    {
      struct rgy_announcement *a
          = &g_array_index (b->announcements, struct rgy_announcement, i);

      a->sends++;
      taken[count] = *a;
      entries[count] = &taken[count].entry;
      count++;
      if (a->sends < transmissions)
        i++;
      else
        g_array_remove_index (b->announcements, i);
    }
  return count;
}

static void
send_gossip_ (struct rgy_balancer *b, struct rgy_endpoint to,
              enum rgy_message_kind kind, struct rgy_actions *actions)
{
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  struct rgy_announcement taken[MAX_ANNOUNCEMENTS];
  size_t announced;

  m->kind = kind;
  m->u.gossip.from = b->settings.id;
  m->u.gossip.sync = b->settings.sync;
  get_digests_ (b, &m->u.gossip.digests);
  m->u.gossip.entries.from = b->settings.id;
  announced = take_announcements_ (b, RGY_TRANSMISSIONS, taken,
                                   m->u.gossip.entries.entries);
  m->u.gossip.entries.count
      = announced
        + rgy_replica_take_updates (b->bb->replica, RGY_TRANSMISSIONS,
                                    GOSSIP_ENTRY_BYTES
                                        - announced * ANNOUNCEMENT_BYTES,
                                    m->u.gossip.entries.entries + announced,
                                    RGY_WIRE_MAX_ENTRIES - announced);
  rgy_balancer_send_message (b, to, m, actions);
  g_free (m);
}

static void
gossip_tick_ (struct rgy_balancer *b, int64_t now_us,
              struct rgy_actions *actions)
{
  struct rgy_name *names;
  const struct rgy_balancer_record *peer;
  size_t max = g_hash_table_size (b->bb->balancers);
  size_t n;

  if (now_us < b->next_gossip_us && !b->eager)
    return;
  b->eager = false;
  b->next_gossip_us = now_us + RGY_GOSSIP_INTERVAL_US;
  names = g_new (struct rgy_name, max + 1);
  n = rgy_balancer_list_others (b, names, max);
  if (n > 0)
    {
      peer = rgy_blackboard_get_balancer (
          b->bb, &names[g_rand_int_range (b->random, 0, (gint32)n)]);
      send_gossip_ (b, peer->endpoint, RGY_MSG_GOSSIP, actions);
    }
  else if (b->settings.seed_count > 0)
    send_gossip_ (b,
                  b->settings.seeds[g_rand_int_range (
                      b->random, 0, (gint32)b->settings.seed_count)],
                  RGY_MSG_GOSSIP, actions);
  g_free (names);
}

static bool
is_live_endpoint_ (const struct rgy_balancer *b, struct rgy_endpoint endpoint)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_balancer_record *r = value;

      if (is_member_of_cluster_ (r)
          && rgy_endpoint_equal (r->endpoint, endpoint))
        return true;
    }
  return false;
}

static int
compare_endpoints_ (const void *a, const void *b)
{
  uint64_t first = rgy_endpoint_pack (*(const struct rgy_endpoint *)a);
  uint64_t second = rgy_endpoint_pack (*(const struct rgy_endpoint *)b);

  return first < second ? -1 : first > second;
}

/* After a start at the same time, or a partition, there may be groups of
   balancers that know only of each other, or hold the others for dead.  Now
   and then one seed or dead balancer gets a message, so that such groups
   join.  Costs nothing when all are live.  */
static void
rejoin_tick_ (struct rgy_balancer *b, int64_t now_us,
              struct rgy_actions *actions)
{
  GArray *candidates;
  GHashTableIter iter;
  gpointer value;
  size_t i;

  if (now_us < b->next_rejoin_us)
    return;
  b->next_rejoin_us = now_us + RGY_REJOIN_INTERVAL_US;
  candidates = g_array_new (FALSE, FALSE, sizeof (struct rgy_endpoint));
  for (i = 0; i < b->settings.seed_count; i++)
    if (!rgy_endpoint_equal (b->settings.seeds[i], b->settings.endpoint)
        && !is_live_endpoint_ (b, b->settings.seeds[i]))
      g_array_append_val (candidates, b->settings.seeds[i]);
  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_balancer_record *r = value;

      if (r->state == RGY_MEMBER_DEAD
          && !rgy_name_equal (&r->id, &b->settings.id))
        g_array_append_val (candidates, r->endpoint);
    }
  g_array_sort (candidates, compare_endpoints_);
  if (candidates->len > 0)
    send_gossip_ (b,
                  g_array_index (candidates, struct rgy_endpoint,
                                 g_rand_int_range (b->random, 0,
                                                   (gint32)candidates->len)),
                  RGY_MSG_GOSSIP, actions);
  g_array_unref (candidates);
}

/* Agreement with one peer says nothing of another one: of three balancers, two
   that agree would never ask the third for what they lack.  One peer at a time
   is observed until it agrees.
   @return true when it has differed for too long.  */
static bool
differs_for_long_ (struct rgy_balancer *b, const struct rgy_name *peer,
                   bool agrees, int64_t now_us)
{
  int64_t since_us = b->differing_since_us;

  if (since_us == 0 || now_us - since_us > RGY_DIFFERING_FORGET_US)
    {
      b->differing = *peer;
      b->differing_since_us = agrees ? 0 : now_us;
      return false;
    }
  if (!rgy_name_equal (&b->differing, peer)
      || (!agrees && now_us - since_us < RGY_DIFFERING_US))
    return false;
  b->differing_since_us = 0;
  return !agrees;
}

/* Digests of two balancers differ for a moment after every change; only a
   difference that lasts starts a synchronisation.  It starts at once with a
   balancer that has announced an entry lacking here, and with one that is
   unknown or dead here: the next message comes from a peer of the own group,
   whose digests agree.  */
static void
compare_digests_ (struct rgy_balancer *b, const struct rgy_gossip_message *m,
                  bool at_once, int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_digests own;
  bool agrees;

  get_digests_ (b, &own);
  agrees = memcmp (&own, &m->digests, sizeof own) == 0;
  if (differs_for_long_ (b, &m->from, agrees, now_us))
    at_once = true;
  if (agrees)
    {
      b->digest_differs_since_us = 0;
      b->synced = true;
      b->joined = true;
      return;
    }
  if (b->digest_differs_since_us == 0)
    b->digest_differs_since_us = now_us;
  if (now_us < b->next_sync_us
      || (b->synced && !at_once
          && now_us - b->digest_differs_since_us < RGY_DIGEST_GRACE_US))
    return;
  b->next_sync_us = now_us + RGY_SYNC_INTERVAL_US;
  rgy_actions_sync (actions, m->sync);
}

static void
handle_gossip_ (struct rgy_balancer *b, struct rgy_endpoint from,
                const struct rgy_message *message, int64_t now_us,
                struct rgy_actions *actions)
{
  const struct rgy_gossip_message *m = &message->u.gossip;
  const struct rgy_balancer_record *sender
      = rgy_blackboard_get_balancer (b->bb, &m->from);
  bool is_stranger = sender == NULL || !is_member_of_cluster_ (sender);
  bool lacking;

  /* The own address may be among the seeds; agreeing with oneself is not
     having joined.  */
  if (rgy_name_equal (&m->from, &b->settings.id))
    return;
  if (rgy_liveness_is_watched (b->balancers_liveness, &m->from))
    rgy_liveness_heard (b->balancers_liveness, &m->from, now_us);
  lacking = apply_entries_ (b, &m->entries, actions);
  compare_digests_ (b, m, is_stranger || lacking, now_us, actions);
  if (message->kind == RGY_MSG_GOSSIP)
    send_gossip_ (b, from, RGY_MSG_GOSSIP_ACK, actions);
}

/* Messages.  */

static void
handle_probe_ (struct rgy_balancer *b, struct rgy_endpoint from,
               const struct rgy_probe_message *probe, int64_t now_us,
               struct rgy_actions *actions)
{
  struct rgy_message m = { .kind = RGY_MSG_PROBE_ACK };

  if (probe->subject.len > 0
      && !rgy_liveness_is_reached (b->agents_liveness, &probe->subject,
                                   now_us - RGY_VOUCH_US))
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

  rgy_liveness_vouch (b->agents_liveness, &ack->subject, now_us);
  if (rgy_liveness_is_watched (b->agents_liveness, from))
    rgy_liveness_heard (b->agents_liveness, from, now_us);
  if (rgy_liveness_is_watched (b->balancers_liveness, from))
    rgy_liveness_heard (b->balancers_liveness, from, now_us);
}

static void
dispatch_ (struct rgy_balancer *b, struct rgy_endpoint from,
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
      handle_gossip_ (b, from, m, now_us, actions);
      break;
    case RGY_MSG_ENTRIES:
      apply_entries_ (b, &m->u.entries, actions);
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
      ++*b->c.bad_message;
      break;
    }
}

void
rgy_balancer_from_instance (struct rgy_balancer *b, struct rgy_endpoint from,
                            struct rgy_bytes datagram, int64_t now_us,
                            struct rgy_actions *actions)
{
  struct rgy_message *m = b->message;
  enum rgy_outcome rc = rgy_wire_decode (b->wire, datagram, m);

  if (rc == RGY_OK)
    {
      if (m->kind != RGY_MSG_ANSWER)
        {
          ++*b->c.control_in;
          *b->c.control_bytes_in += datagram.len;
        }
      dispatch_ (b, from, m, now_us, actions);
    }
  else
    ++*(rc == RGY_ERR_AUTH ? b->c.bad_tag : b->c.bad_message);
}

/* Own record.  */

static int
compare_demand_ (const void *a, const void *b)
{
  const struct rgy_demand *x = a;
  const struct rgy_demand *y = b;

  return (x->bytes_per_s < y->bytes_per_s) - (x->bytes_per_s > y->bytes_per_s);
}

static void
collect_demand_ (struct rgy_balancer *b, int64_t now_us)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct rgy_demand));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, b->limits);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct rgy_demand d
          = { .customer = *(struct rgy_name *)key,
              .bytes_per_s = rgy_rate_limit_get_demand (value, now_us) };

      g_array_append_val (all, d);
    }
  g_array_sort (all, compare_demand_);
  b->self.demand_count = MIN (all->len, RGY_DEMAND_MAX);
  if (b->self.demand_count > 0)
    memcpy (b->self.demand, all->data,
            b->self.demand_count * sizeof b->self.demand[0]);
  g_array_unref (all);
}

static void
note_demand_of_others_ (struct rgy_balancer *b, int64_t now_us)
{
  size_t max = g_hash_table_size (b->bb->balancers);
  struct rgy_name *names;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  size_t n;
  size_t i;
  size_t d;

  if (g_hash_table_size (b->limits) == 0)
    return;
  names = g_new (struct rgy_name, max + 1);
  n = rgy_balancer_list_others (b, names, max);
  g_hash_table_iter_init (&iter, b->limits);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      rgy_rate_limit_set_instances (value, names, n);
      for (i = 0; i < n; i++)
        {
          const struct rgy_balancer_record *r
              = rgy_blackboard_get_balancer (b->bb, &names[i]);

          for (d = 0; d < r->demand_count; d++)
            if (rgy_name_equal (&r->demand[d].customer, key))
              break;
          if (d < r->demand_count)
            rgy_rate_limit_note_demand (value, &r->id,
                                        r->demand[d].bytes_per_s, now_us);
          else if (r->demand_count < RGY_DEMAND_MAX)
            rgy_rate_limit_note_demand (value, &r->id, 0, now_us);
        }
    }
  g_free (names);
}

static void
collect_lagging_ (struct rgy_balancer *b)
{
  GHashTableIter iter;
  gpointer key;
  size_t n = 0;

  b->self.lagging_count = g_hash_table_size (b->lagging);
  g_hash_table_iter_init (&iter, b->lagging);
  while (n < RGY_LAGGING_NAMES_MAX
         && g_hash_table_iter_next (&iter, &key, NULL))
    b->self.lagging[n++] = *(struct rgy_name *)key;
  for (; n < RGY_LAGGING_NAMES_MAX; n++)
    b->self.lagging[n] = (struct rgy_name){ 0 };
}

/* The new digest is published together with the agents that lack the change,
   or a moment later without any: one publication for each change instead of
   three, and none that says too early that all agents have it.  */
static void
follow_config_ (struct rgy_balancer *b, int64_t now_us)
{
  guint lagging;

  if (b->config_changed)
    {
      b->config_changed = false;
      b->confirm_until_us = now_us + RGY_CONFIRM_WAIT_US;
      rgy_balancer_suspect_lag (b);
    }
  lagging = g_hash_table_size (b->lagging);
  if (b->confirm_until_us == 0
      || (now_us < b->confirm_until_us && lagging > 0))
    return;
  b->confirm_until_us = 0;
  if (lagging > 0 || lagging != b->self.lagging_count
      || b->self.config_digest != rgy_blackboard_get_config_digest (b->bb))
    b->record_changed = true;
}

static const struct rgy_demand *
find_reported_ (const struct rgy_balancer *b, const struct rgy_name *customer)
{
  size_t i;

  for (i = 0; i < b->self.demand_count; i++)
    if (rgy_name_equal (&b->self.demand[i].customer, customer))
      return &b->self.demand[i];
  return NULL;
}

enum report_need_
{
  REPORT_STANDS, /* The last report is near enough.  */
  REPORT_DUE,    /* Demand has changed by a factor of 2.  */
  REPORT_NOW     /* A customer is not in the report: the others would take its
                    demand here for 0.  */
};

static enum report_need_
check_report_ (struct rgy_balancer *b, int64_t now_us)
{
  enum report_need_ need = REPORT_STANDS;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, b->limits);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct rgy_demand *old = find_reported_ (b, key);
      uint64_t now_per_s = rgy_rate_limit_peek_demand (value, now_us);

      if (old == NULL)
        {
          if (b->self.demand_count < RGY_DEMAND_MAX)
            return REPORT_NOW;
        }
      else if (MAX (now_per_s, old->bytes_per_s) >= RGY_DEMAND_MIN_BYTES
               && (now_per_s > 2 * old->bytes_per_s
                   || old->bytes_per_s > 2 * now_per_s))
        need = REPORT_DUE;
    }
  return need;
}

/* Each report is sent to the whole fleet, so that the bytes grow with its
   square unless the reports get rarer.  */
static int64_t
report_interval_us_ (const struct rgy_balancer *b)
{
  int64_t members = g_hash_table_size (b->bb->balancers);

  return MAX (RGY_DEMAND_INTERVAL_US, members * RGY_DEMAND_SPREAD_US);
}

/* In a large fleet the demand would be most of every record.  The fabric
   sprays evenly over it, so that equal shares are right to within the spread
   of the spray.  Reports that are unknown count as the mean.  */
static bool
is_too_large_for_reports_ (struct rgy_balancer *b)
{
  size_t max = g_hash_table_size (b->bb->balancers);
  struct rgy_name *names;
  GHashTableIter iter;
  gpointer value;
  size_t n;

  if (max <= RGY_DEMAND_MAX_FLEET)
    return false;
  names = g_new (struct rgy_name, max + 1);
  n = rgy_balancer_list_others (b, names, max);
  if (n >= RGY_DEMAND_MAX_FLEET)
    {
      g_hash_table_iter_init (&iter, b->limits);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        rgy_rate_limit_set_instances (value, names, n);
      if (b->self.demand_count > 0)
        b->record_changed = true;
      b->self.demand_count = 0;
    }
  g_free (names);
  return n >= RGY_DEMAND_MAX_FLEET;
}

static void
follow_demand_ (struct rgy_balancer *b, int64_t now_us)
{
  enum report_need_ need;
  GHashTableIter iter;
  gpointer value;

  if (now_us < b->next_demand_us || g_hash_table_size (b->limits) == 0)
    return;
  b->next_demand_us = now_us + RGY_DEMAND_INTERVAL_US;
  if (is_too_large_for_reports_ (b))
    return;
  need = check_report_ (b, now_us);
  if (need == REPORT_NOW
      || (need == REPORT_DUE && now_us >= b->next_report_us))
    {
      b->next_report_us = now_us + report_interval_us_ (b);
      collect_demand_ (b, now_us);
      b->record_changed = true;
    }
  g_hash_table_iter_init (&iter, b->limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    rgy_rate_limit_keep_demand (value, now_us);
  note_demand_of_others_ (b, now_us);
}

static void
publish_record_ (struct rgy_balancer *b, int64_t now_us)
{
  follow_config_ (b, now_us);
  follow_demand_ (b, now_us);
  if (!b->record_changed)
    return;
  b->record_changed = false;
  b->self.sequence = (b->self.sequence | 1) + 1;
  b->self.config_digest = rgy_blackboard_get_config_digest (b->bb);
  collect_lagging_ (b);
  rgy_blackboard_apply_balancer (b->bb, &b->self);
  b->eager = true;
}

/* Time.  */

static void
drain_tick_ (struct rgy_balancer *b, int64_t now_us,
             struct rgy_actions *actions)
{
  if (b->drain_until_us == 0 || now_us < b->drain_until_us
      || b->self.state == RGY_MEMBER_LEFT)
    return;
  b->self.state = RGY_MEMBER_LEFT;
  b->record_changed = true;
  publish_record_ (b, now_us);
  gossip_tick_ (b, now_us, actions);
  rgy_actions_exit (actions);
}

/* Packets that come before the agents are known would be refused.  Agents are
   known when a peer holds the same entries, or when each had the time to send
   two heartbeats.  */
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
  publish_record_ (b, now_us);
  rgy_balancer_push_fresh (b, actions);
  gossip_tick_ (b, now_us, actions);
  rejoin_tick_ (b, now_us, actions);
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
  publish_record_ (b, now_us);
  gossip_tick_ (b, now_us, actions);
}

bool
rgy_balancer_is_ready (const struct rgy_balancer *b)
{
  return b->self.state == RGY_MEMBER_READY && b->synced && b->knows_agents
         && !b->cut && rgy_contract_set_get_count (b->bb->contracts) > 0
         && !rgy_domain_set_is_out (b->bb->domains, &b->settings.domain);
}

const struct rgy_blackboard *
rgy_balancer_get_blackboard (const struct rgy_balancer *b)
{
  return b->bb;
}

#include "private/balancer_private.h"

#include <string.h>

/* Liveness of the members that this balancer monitors, and the delivery of
   changes to the agents among them.  */

static void
count_cut_ (struct rgy_balancer *b, bool cut, const char *what,
            struct rgy_actions *actions)
{
  b->cut = rgy_liveness_is_cut (b->agents_liveness)
           || rgy_liveness_is_cut (b->balancers_liveness);
  if (cut)
    ++*b->c.cuts;
  rgy_actions_log (actions, "cut protection for %s: %s", what,
                   cut ? "on" : "off");
}

/* @param subject agent that the receiver is asked about, or NULL.  */
static void
send_probe_ (struct rgy_balancer *b, struct rgy_endpoint to,
             const struct rgy_name *subject, int64_t now_us,
             struct rgy_actions *actions)
{
  struct rgy_message m = { .kind = RGY_MSG_PROBE };

  m.u.probe = (struct rgy_probe_message){ .from = b->settings.id,
                                          .nonce = (uint64_t)now_us };
  if (subject != NULL)
    m.u.probe.subject = *subject;
  rgy_balancer_send_message (b, to, &m, actions);
}

/* Asks the agent, and its other monitors whether they are in contact with it:
   one silent connection does not make it dead.  */
static void
probe_agent_ (struct rgy_balancer *b, const struct rgy_agent_record *agent,
              int64_t now_us, struct rgy_actions *actions)
{
  size_t max = g_hash_table_size (b->bb->balancers);
  struct rgy_name *names = g_new (struct rgy_name, max + 1);
  size_t chosen[RGY_MONITOR_COUNT];
  size_t n = rgy_balancer_list_others (b, names, max);
  size_t i;

  send_probe_ (b, agent->endpoint, NULL, now_us, actions);
  n = rgy_member_choose (&agent->id, names, n, RGY_MONITOR_COUNT, chosen);
  for (i = 0; i < n; i++)
    send_probe_ (
        b, rgy_blackboard_get_balancer (b->bb, &names[chosen[i]])->endpoint,
        &agent->id, now_us, actions);
  g_free (names);
}

/* A declaration of death takes the next odd sequence number, so that the
   member can refute it with the next even one.  */
static void
declare_agent_dead_ (struct rgy_balancer *b, const struct rgy_name *id,
                     struct rgy_actions *actions)
{
  const struct rgy_agent_record *known = rgy_blackboard_get_agent (b->bb, id);
  struct rgy_agent_record record;
  GByteArray *bytes;
  struct rgy_entry entry;

  if (known == NULL || known->state == RGY_MEMBER_LEFT
      || known->state == RGY_MEMBER_DEAD)
    return;
  record = *known;
  record.state = RGY_MEMBER_DEAD;
  record.sequence |= 1;
  bytes = rgy_agent_record_encode (&record);
  entry = (struct rgy_entry){
    .class = RGY_ENTRY_AGENT,
    .key = record.id,
    .version = { .major = record.epoch, .minor = record.sequence },
    .value = { .data = bytes->data, .len = bytes->len }
  };
  rgy_balancer_apply_entry (b, &entry, actions);
  g_byte_array_unref (bytes);
  ++*b->c.declared_dead;
}

static void
declare_balancer_dead_ (struct rgy_balancer *b, const struct rgy_name *id,
                        struct rgy_actions *actions)
{
  const struct rgy_balancer_record *known
      = rgy_blackboard_get_balancer (b->bb, id);
  struct rgy_balancer_record record;

  if (known == NULL || known->state == RGY_MEMBER_LEFT
      || known->state == RGY_MEMBER_DEAD)
    return;
  record = *known;
  record.state = RGY_MEMBER_DEAD;
  record.sequence |= 1;
  rgy_blackboard_apply_balancer (b->bb, &record);
  b->eager = true;
  rgy_actions_log (actions, "balancer %s: dead", id->data);
  ++*b->c.declared_dead;
}

static void
run_agent_events_ (struct rgy_balancer *b, int64_t now_us,
                   struct rgy_actions *actions)
{
  struct rgy_liveness_event event;
  const struct rgy_agent_record *r;

  while (rgy_liveness_next (b->agents_liveness, now_us, &event))
    switch (event.kind)
      {
      case RGY_LIVENESS_PROBE:
        r = rgy_blackboard_get_agent (b->bb, &event.id);
        if (r != NULL)
          probe_agent_ (b, r, now_us, actions);
        break;
      case RGY_LIVENESS_DEAD:
        declare_agent_dead_ (b, &event.id, actions);
        g_hash_table_remove (b->loads, &event.id);
        if (g_hash_table_remove (b->lagging, &event.id))
          b->record_changed = true;
        break;
      case RGY_LIVENESS_CUT:
      case RGY_LIVENESS_UNCUT:
        count_cut_ (b, event.kind == RGY_LIVENESS_CUT, "agents", actions);
        break;
      }
}

static void
run_balancer_events_ (struct rgy_balancer *b, int64_t now_us,
                      struct rgy_actions *actions)
{
  struct rgy_liveness_event event;
  const struct rgy_balancer_record *r;

  while (rgy_liveness_next (b->balancers_liveness, now_us, &event))
    switch (event.kind)
      {
      case RGY_LIVENESS_PROBE:
        r = rgy_blackboard_get_balancer (b->bb, &event.id);
        if (r != NULL)
          send_probe_ (b, r->endpoint, NULL, now_us, actions);
        break;
      case RGY_LIVENESS_DEAD:
        declare_balancer_dead_ (b, &event.id, actions);
        break;
      case RGY_LIVENESS_CUT:
      case RGY_LIVENESS_UNCUT:
        count_cut_ (b, event.kind == RGY_LIVENESS_CUT, "balancers", actions);
        break;
      }
}

/* True when this balancer is one of the monitors of SUBJECT among the
   members NAMES.  */
static bool
is_monitor_ (const struct rgy_balancer *b, const struct rgy_name *subject,
             const struct rgy_name *names, size_t count)
{
  size_t chosen[RGY_MONITOR_COUNT];
  size_t n
      = rgy_member_choose (subject, names, count, RGY_MONITOR_COUNT, chosen);
  size_t i;

  for (i = 0; i < n; i++)
    if (rgy_name_equal (&names[chosen[i]], &b->settings.id))
      return true;
  return false;
}

/* The choice among 460 balancers for each of 3,400 agents takes tens of
   milliseconds, so it is kept until the set of balancers changes.  */
static bool
is_agent_monitor_ (struct rgy_balancer *b, const struct rgy_name *agent,
                   const struct rgy_name *names, size_t count)
{
  gpointer known;
  bool monitored;

  if (g_hash_table_lookup_extended (b->monitored, agent, NULL, &known))
    return GPOINTER_TO_INT (known) != 0;
  monitored = is_monitor_ (b, agent, names, count);
  g_hash_table_insert (b->monitored, g_memdup2 (agent, sizeof *agent),
                       GINT_TO_POINTER (monitored));
  return monitored;
}

static void
watch_agents_ (struct rgy_balancer *b, const struct rgy_name *names,
               size_t count, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->bb->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_agent_record *r = value;
      bool wanted = r->state != RGY_MEMBER_LEFT && r->state != RGY_MEMBER_DEAD
                    && is_agent_monitor_ (b, &r->id, names, count);
      bool watched = rgy_liveness_is_watched (b->agents_liveness, &r->id);

      if (wanted && !watched)
        rgy_liveness_heard (b->agents_liveness, &r->id, now_us);
      else if (!wanted && watched)
        {
          rgy_liveness_remove (b->agents_liveness, &r->id);
          g_hash_table_remove (b->loads, &r->id);
          if (g_hash_table_remove (b->lagging, &r->id))
            b->record_changed = true;
        }
    }
}

/* NAMES ends with this balancer; each other one is watched when this one is
   among its monitors.  */
static void
watch_balancers_ (struct rgy_balancer *b, struct rgy_name *names, size_t count,
                  int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  for (i = 0; i + 1 < count; i++)
    {
      struct rgy_name subject = names[i];
      bool wanted;
      bool watched = rgy_liveness_is_watched (b->balancers_liveness, &subject);

      names[i] = names[0];
      names[0] = subject;
      wanted = is_monitor_ (b, &subject, names + 1, count - 1);
      names[0] = names[i];
      names[i] = subject;
      if (wanted && !watched)
        rgy_liveness_heard (b->balancers_liveness, &subject, now_us);
      else if (!wanted && watched)
        rgy_liveness_remove (b->balancers_liveness, &subject);
    }
  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_balancer_record *r = value;

      if (r->state == RGY_MEMBER_LEFT || r->state == RGY_MEMBER_DEAD)
        rgy_liveness_remove (b->balancers_liveness, &r->id);
    }
}

static uint64_t
hash_names_ (const struct rgy_name *names, size_t count)
{
  uint64_t hash = count;
  size_t i;

  for (i = 0; i < count; i++)
    hash ^= rgy_name_hash (&names[i], 0);
  return hash;
}

/* Agents send heartbeats only to balancers whose failure domain is in; the
   others must not count them as lagging or silent.  */
static size_t
list_agent_monitors_ (const struct rgy_balancer *b,
                      const struct rgy_name *names, size_t count,
                      struct rgy_name *monitors)
{
  size_t kept = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct rgy_balancer_record *r
          = rgy_blackboard_get_balancer (b->bb, &names[i]);
      const struct rgy_name *domain
          = r == NULL ? &b->settings.domain : &r->domain;

      if (!rgy_domain_set_is_out (b->bb->domains, domain))
        monitors[kept++] = names[i];
    }
  return kept;
}

static void
watch_members_ (struct rgy_balancer *b, bool agents_changed, int64_t now_us)
{
  size_t max = g_hash_table_size (b->bb->balancers);
  struct rgy_name *names = g_new (struct rgy_name, max + 1);
  struct rgy_name *monitors = g_new (struct rgy_name, max + 1);
  size_t n = rgy_balancer_list_others (b, names, max);
  size_t monitor_count;
  uint64_t set;

  names[n++] = b->settings.id;
  monitor_count = list_agent_monitors_ (b, names, n, monitors);
  /* Most changes of balancers' records leave the sets as they are.  */
  set = hash_names_ (names, n);
  if (set != b->member_set)
    {
      b->member_set = set;
      watch_balancers_ (b, names, n, now_us);
      b->reader = rgy_balancer_choose_reader (b, names, n);
    }
  set = hash_names_ (monitors, monitor_count);
  if (set != b->monitor_set)
    {
      b->monitor_set = set;
      g_hash_table_remove_all (b->monitored);
      agents_changed = true;
    }
  if (agents_changed)
    watch_agents_ (b, monitors, monitor_count, now_us);
  g_free (monitors);
  g_free (names);
}

static void
update_watches_ (struct rgy_balancer *b, int64_t now_us)
{
  const uint64_t *changes = b->bb->changes;
  bool agents_changed = b->monitored_agent_changes != changes[RGY_ENTRY_AGENT];

  if (!agents_changed
      && b->monitored_balancer_changes == changes[RGY_ENTRY_BALANCER]
      && b->monitored_domain_changes == changes[RGY_ENTRY_DOMAIN])
    return;
  b->monitored_agent_changes = changes[RGY_ENTRY_AGENT];
  b->monitored_balancer_changes = changes[RGY_ENTRY_BALANCER];
  b->monitored_domain_changes = changes[RGY_ENTRY_DOMAIN];
  watch_members_ (b, agents_changed, now_us);
}

static int
compare_name_pointers_ (const void *a, const void *b)
{
  return rgy_name_compare (*(const struct rgy_name *const *)a,
                           *(const struct rgy_name *const *)b);
}

/* Names in TABLE that are watched, in the order of the names, so that a run
   does not depend on the order in a hash table.  */
static GPtrArray *
list_watched_ (GHashTable *table, const struct rgy_liveness *liveness)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (rgy_liveness_is_watched (liveness, key))
      g_ptr_array_add (names, key);
  g_ptr_array_sort (names, compare_name_pointers_);
  return names;
}

/* Balancers that only gossip at random would be heard too rarely: each
   monitored one is probed every second.  */
static void
probe_balancers_ (struct rgy_balancer *b, int64_t now_us,
                  struct rgy_actions *actions)
{
  GPtrArray *names;
  guint i;

  if (now_us < b->next_probe_us)
    return;
  b->next_probe_us = now_us + RGY_PROBE_INTERVAL_US;
  names = list_watched_ (b->bb->balancers, b->balancers_liveness);
  for (i = 0; i < names->len; i++)
    send_probe_ (
        b, rgy_blackboard_get_balancer (b->bb, names->pdata[i])->endpoint,
        NULL, now_us, actions);
  g_ptr_array_unref (names);
}

void
rgy_balancer_monitor_tick (struct rgy_balancer *b, int64_t now_us,
                           struct rgy_actions *actions)
{
  update_watches_ (b, now_us);
  probe_balancers_ (b, now_us, actions);
  run_agent_events_ (b, now_us, actions);
  run_balancer_events_ (b, now_us, actions);
}

/* Heartbeats of agents.  */

static int
compare_records_ (const void *a, const void *b)
{
  return rgy_name_compare (
      &(*(const struct rgy_balancer_record *const *)a)->id,
      &(*(const struct rgy_balancer_record *const *)b)->id);
}

/* Usable balancers; @return their number.  */
static size_t
list_usable_ (const struct rgy_balancer *b,
              const struct rgy_balancer_record **usable)
{
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (rgy_blackboard_balancer_is_usable (b->bb, value))
      usable[n++] = value;
  qsort (usable, n, sizeof (void *), compare_records_);
  return n;
}

/* Moves the monitors of AGENT to the front.  @return their number.  */
static size_t
put_monitors_first_ (const struct rgy_name *agent,
                     const struct rgy_balancer_record **usable, size_t n)
{
  struct rgy_name *names = g_new (struct rgy_name, n + 1);
  const struct rgy_balancer_record *monitors[RGY_MONITOR_COUNT];
  size_t chosen[RGY_MONITOR_COUNT];
  size_t count;
  size_t i;
  size_t k;

  for (i = 0; i < n; i++)
    names[i] = usable[i]->id;
  count = rgy_member_choose (agent, names, n, RGY_MONITOR_COUNT, chosen);
  for (i = 0; i < count; i++)
    monitors[i] = usable[chosen[i]];
  for (i = 0; i < count; i++)
    for (k = i; k < n; k++)
      if (usable[k] == monitors[i])
        {
          usable[k] = usable[i];
          usable[i] = monitors[i];
        }
  g_free (names);
  return count;
}

/* An agent that sends its heartbeats to the right balancers needs a sample
   only now and then, to know others when these die.  A sample in every
   acknowledgement was 14 kB/s of the control traffic of a balancer.  */
static bool
needs_sample_ (struct rgy_balancer *b, const struct rgy_agent_record *agent)
{
  return g_hash_table_size (b->bb->balancers) <= RGY_WIRE_MAX_SAMPLE
         || agent->state == RGY_MEMBER_STARTING
         || !rgy_liveness_is_watched (b->agents_liveness, &agent->id)
         || g_rand_int_range (b->random, 0, RGY_SAMPLE_PERIOD) == 0;
}

/* The sample holds the monitors of the agent and others at random.  */
static size_t
fill_sample_ (struct rgy_balancer *b, const struct rgy_agent_record *agent,
              struct rgy_balancer_record *sample)
{
  const struct rgy_balancer_record **usable;
  size_t monitors;
  size_t count;
  size_t pick;
  size_t n;

  if (!needs_sample_ (b, agent))
    return 0;
  usable = g_new (const struct rgy_balancer_record *,
                  g_hash_table_size (b->bb->balancers) + 1);
  n = list_usable_ (b, usable);
  monitors = put_monitors_first_ (&agent->id, usable, n);
  for (count = 0; count < MIN (n, RGY_WIRE_MAX_SAMPLE); count++)
    {
      pick = count < monitors ? count
                              : (size_t)g_rand_int_range (
                                  b->random, (gint32)count, (gint32)n);
      sample[count] = *usable[pick];
      sample[count].demand_count = 0;
      usable[pick] = usable[count];
    }
  g_free (usable);
  return count;
}

static void
note_digests_ (struct rgy_balancer *b, const struct rgy_heartbeat_message *m,
               int64_t now_us)
{
  const struct rgy_name *id = &m->record.id;
  bool lags
      = m->digests.of[RGY_ENTRY_CONTRACT]
            != rgy_replica_get_digest (b->bb->replica, RGY_ENTRY_CONTRACT)
        || m->digests.of[RGY_ENTRY_DOMAIN]
               != rgy_replica_get_digest (b->bb->replica, RGY_ENTRY_DOMAIN);

  if (lags == g_hash_table_contains (b->lagging, id))
    return;
  if (lags)
    g_hash_table_add (b->lagging, g_memdup2 (id, sizeof *id));
  else
    g_hash_table_remove (b->lagging, id);
  /* An agent may also be ahead: the change has reached it first.  */
  if (b->confirm_until_us == 0)
    b->confirm_until_us = now_us + RGY_CONFIRM_WAIT_US;
}

void
rgy_balancer_suspect_lag (struct rgy_balancer *b)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, b->bb->agents);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (rgy_liveness_is_watched (b->agents_liveness, key))
      g_hash_table_add (b->lagging, g_memdup2 (key, sizeof (struct rgy_name)));
}

static void
apply_heartbeat_record_ (struct rgy_balancer *b,
                         const struct rgy_agent_record *record,
                         struct rgy_actions *actions)
{
  GByteArray *bytes = rgy_agent_record_encode (record);
  struct rgy_entry entry
      = { .class = RGY_ENTRY_AGENT,
          .key = record->id,
          .version = { .major = record->epoch, .minor = record->sequence },
          .value = { .data = bytes->data, .len = bytes->len } };

  rgy_balancer_apply_entry (b, &entry, actions);
  g_byte_array_unref (bytes);
}

static void
note_load_ (struct rgy_balancer *b, const struct rgy_heartbeat_message *m)
{
  struct rgy_agent_load load
      = { .flows = m->flows, .running = m->running, .limit = m->limit };

  memcpy (load.refused, m->refused, sizeof load.refused);
  g_hash_table_replace (b->loads,
                        g_memdup2 (&m->record.id, sizeof m->record.id),
                        g_memdup2 (&load, sizeof load));
}

void
rgy_balancer_handle_heartbeat (struct rgy_balancer *b,
                               struct rgy_endpoint from,
                               const struct rgy_heartbeat_message *m,
                               int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_message *ack = g_new0 (struct rgy_message, 1);
  const struct rgy_agent_record *known;

  apply_heartbeat_record_ (b, &m->record, actions);
  if (rgy_liveness_is_watched (b->agents_liveness, &m->record.id))
    {
      rgy_liveness_heard (b->agents_liveness, &m->record.id, now_us);
      note_digests_ (b, m, now_us);
      note_load_ (b, m);
    }
  known = rgy_blackboard_get_agent (b->bb, &m->record.id);
  ack->kind = RGY_MSG_HEARTBEAT_ACK;
  ack->u.heartbeat_ack = (struct rgy_heartbeat_ack_message){
    .balancer = b->settings.id,
    .sync = b->settings.sync,
    .digests.of
    = { [RGY_ENTRY_CONTRACT]
        = rgy_replica_get_digest (b->bb->replica, RGY_ENTRY_CONTRACT),
        [RGY_ENTRY_DOMAIN]
        = rgy_replica_get_digest (b->bb->replica, RGY_ENTRY_DOMAIN),
        [RGY_ENTRY_AGENT]
        = rgy_blackboard_get_group_digest (b->bb, m->record.service) },
    .agent_epoch = known == NULL ? 0 : known->epoch,
    .agent_sequence = known == NULL ? 0 : known->sequence,
  };
  ack->u.heartbeat_ack.sample_count
      = fill_sample_ (b, &m->record, ack->u.heartbeat_ack.sample);
  rgy_balancer_send_message (b, from, ack, actions);
  g_free (ack);
}

/* Delivery of new entries to the monitored agents.  */

static bool
concerns_ (const struct rgy_balancer *b, const struct rgy_entry *entry,
           const struct rgy_agent_record *agent)
{
  const struct rgy_agent_record *subject;

  if (entry->class != RGY_ENTRY_AGENT)
    return true;
  subject = rgy_blackboard_get_agent (b->bb, &entry->key);
  return subject != NULL
         && rgy_endpoint_equal (subject->service, agent->service);
}

static void
push_to_agent_ (struct rgy_balancer *b, const struct rgy_agent_record *agent,
                struct rgy_message *m, struct rgy_actions *actions)
{
  struct rgy_entries_message *e = &m->u.entries;
  size_t bytes = 0;
  guint i;

  e->count = 0;
  for (i = 0; i < b->fresh->len; i++)
    {
      struct rgy_fresh_entry *copy = g_ptr_array_index (b->fresh, i);
      size_t size = copy->entry.value.len + copy->entry.key.len + 32;

      if (!concerns_ (b, &copy->entry, agent)
          || size > RGY_WIRE_DATAGRAM_BYTES - 100)
        continue;
      if (e->count == RGY_WIRE_MAX_ENTRIES
          || bytes + size > RGY_WIRE_DATAGRAM_BYTES - 100)
        {
          rgy_balancer_send_message (b, agent->endpoint, m, actions);
          e->count = 0;
          bytes = 0;
        }
      e->entries[e->count++] = &copy->entry;
      bytes += size;
    }
  if (e->count > 0)
    rgy_balancer_send_message (b, agent->endpoint, m, actions);
}

void
rgy_balancer_push_fresh (struct rgy_balancer *b, struct rgy_actions *actions)
{
  struct rgy_message *m;
  GPtrArray *names;
  guint i;

  if (b->fresh->len == 0)
    return;
  m = g_new0 (struct rgy_message, 1);
  m->kind = RGY_MSG_ENTRIES;
  m->u.entries.from = b->settings.id;
  names = list_watched_ (b->bb->agents, b->agents_liveness);
  for (i = 0; i < names->len; i++)
    push_to_agent_ (b, rgy_blackboard_get_agent (b->bb, names->pdata[i]), m,
                    actions);
  g_ptr_array_unref (names);
  g_ptr_array_set_size (b->fresh, 0);
  g_free (m);
}

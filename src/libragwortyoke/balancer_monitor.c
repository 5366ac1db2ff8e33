#include "private/balancer_private.h"

#include <string.h>

/* Failure detection for the members that this balancer monitors.  */

static void
report_cut_protection_ (struct rgy_balancer *b, bool on, const char *what,
                        struct rgy_actions *actions)
{
  b->cut_protection = rgy_liveness_is_cut_protected (b->agents_liveness)
                      || rgy_liveness_is_cut_protected (b->balancers_liveness);
  if (on)
    ++*b->c.cut_protections;
  rgy_actions_log (actions, "cut protection for %s: %s", what,
                   on ? "on" : "off");
}

/* Sends a probe.
   @param subject agent whose state the receiver is queried about, or NULL.  */
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

/* Probes the agent, and asks its other monitors whether they receive messages
   from it: the loss of one path does not make an agent dead.  */
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

  if (known == NULL || known->state == RGY_MEMBER_LEFT
      || known->state == RGY_MEMBER_DEAD)
    return;
  record = *known;
  record.state = RGY_MEMBER_DEAD;
  record.sequence |= 1;
  rgy_balancer_apply_agent_record (b, &record, actions);
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
  b->gossip_soon = true;
  rgy_actions_log (actions, "balancer %s: dead", id->data);
  ++*b->c.declared_dead;
}

static void
run_agent_events_ (struct rgy_balancer *b, int64_t now_us,
                   struct rgy_actions *actions)
{
  struct rgy_liveness_event event;
  const struct rgy_agent_record *r;

  /* With three balancers cut protection is off for two lost ones, so that the
     survivor of two failures serves on.  It must not declare an agent dead on
     its own while it may be the one that is cut off.  */
  rgy_liveness_set_monitor_contact (
      b->agents_liveness,
      rgy_liveness_get_last_contact (b->balancers_liveness, now_us));
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
      case RGY_LIVENESS_CUT_PROTECTION_ON:
      case RGY_LIVENESS_CUT_PROTECTION_OFF:
        report_cut_protection_ (b,
                                event.kind == RGY_LIVENESS_CUT_PROTECTION_ON,
                                "agents", actions);
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
      case RGY_LIVENESS_CUT_PROTECTION_ON:
      case RGY_LIVENESS_CUT_PROTECTION_OFF:
        report_cut_protection_ (b,
                                event.kind == RGY_LIVENESS_CUT_PROTECTION_ON,
                                "balancers", actions);
        break;
      }
}

/* True when this balancer is one of the monitors of SUBJECT among
   the members NAMES.  */
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

/* The rendezvous choice among 460 balancers for each of 3,400 agents
   takes tens of milliseconds, so the result is cached until the set
   of balancers changes.  */
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
        rgy_liveness_note_message (b->agents_liveness, &r->id, now_us);
      else if (!wanted && watched)
        {
          rgy_liveness_remove (b->agents_liveness, &r->id);
          g_hash_table_remove (b->loads, &r->id);
          if (g_hash_table_remove (b->lagging, &r->id))
            b->record_changed = true;
        }
    }
}

/* Updates the set of watched balancers.  NAMES ends with this balancer; every
   other balancer is watched when this balancer is among its monitors.  */
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
        rgy_liveness_note_message (b->balancers_liveness, &subject, now_us);
      else if (!wanted && watched)
        rgy_liveness_remove (b->balancers_liveness, &subject);
    }
  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_balancer_record *r = value;

      /* A balancer that this one has declared dead stays in the window of the
         cut protection.  */
      if (r->state == RGY_MEMBER_LEFT
          || (r->state == RGY_MEMBER_DEAD
              && rgy_liveness_is_watched (b->balancers_liveness, &r->id)))
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

/* Agents send heartbeats only to balancers whose failure domain is in
   service.  Balancers of other failure domains must not count agents as
   lagging or unresponsive.  */
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
  /* Most changes to balancer records do not change these sets of names.  */
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

GPtrArray *
rgy_balancer_list_watched (GHashTable *table,
                           const struct rgy_liveness *liveness)
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

/* Random gossip would reach a given balancer too rarely to detect its failure,
   so each monitored balancer is probed every second.  */
static void
probe_balancers_ (struct rgy_balancer *b, int64_t now_us,
                  struct rgy_actions *actions)
{
  GPtrArray *names;
  guint i;

  if (now_us < b->next_probe_us)
    return;
  b->next_probe_us = now_us + RGY_PROBE_INTERVAL_US;
  names = rgy_balancer_list_watched (b->bb->balancers, b->balancers_liveness);
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

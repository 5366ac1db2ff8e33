#include "private/balancer_private.h"

#include <string.h>

/* Heartbeats of agents and their acknowledgements.  */

static int
compare_records_ (const void *a, const void *b)
{
  return rgy_name_compare (
      &(*(const struct rgy_balancer_record *const *)a)->id,
      &(*(const struct rgy_balancer_record *const *)b)->id);
}

/* Lists the usable balancers, sorted by name.
   @return their number.  */
static size_t
list_usable_balancers_ (const struct rgy_balancer *b,
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

/* Moves the monitors of AGENT to the front of the list.
   @return the number of monitors.  */
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

/* An agent whose heartbeats go to its current monitors needs a sample of
   balancers only occasionally, to know other balancers when its monitors
   fail.  A sample in every acknowledgement took 14 kB/s of the control
   traffic of a balancer.  */
static bool
needs_sample_ (struct rgy_balancer *b, const struct rgy_agent_record *agent)
{
  return g_hash_table_size (b->bb->balancers) <= RGY_WIRE_MAX_SAMPLE
         || agent->state == RGY_MEMBER_STARTING
         || !rgy_liveness_is_watched (b->agents_liveness, &agent->id)
         || g_rand_int_range (b->random, 0, RGY_SAMPLE_PERIOD) == 0;
}
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
  n = list_usable_balancers_ (b, usable);
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
  /* Differing digests may also mean that the agent is ahead: a change has
     reached it before this balancer.  */
  if (b->confirm_until_us == 0)
    b->confirm_until_us = now_us + RGY_CONFIRM_WAIT_US;
}

void
rgy_balancer_mark_agents_lagging (struct rgy_balancer *b)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, b->bb->agents);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (rgy_liveness_is_watched (b->agents_liveness, key))
      g_hash_table_add (b->lagging, g_memdup2 (key, sizeof (struct rgy_name)));
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

  rgy_balancer_apply_agent_record (b, &m->record, actions);
  if (rgy_liveness_is_watched (b->agents_liveness, &m->record.id))
    {
      rgy_liveness_note_message (b->agents_liveness, &m->record.id, now_us);
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

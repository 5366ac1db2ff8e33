#include "steering_model.h"

#include <glib.h>
#include <string.h>

#include "ragwortyoke/steering.h"

#define MODEL_AGENTS_MAX 12
#define MODEL_FLOWS 1500
/* The number of buckets is small, so that flows of different ages share a
   bucket.  */
#define MODEL_BUCKETS_USED 48
#define MODEL_PACKETS_MAX 12
#define MODEL_SERVICE_SEED 7
#define MODEL_CHANGES 24
#define MODEL_CHANGES_MS 40000
#define MODEL_END_MS 120000
/* Views converge within the 3 s that an update takes to reach every
   process.  */
#define MODEL_VIEW_DELAY_MS 3000
#define MODEL_STATE_INTERVAL_MS 500
#define MODEL_RETRY_MS 2000
#define MODEL_LOSS_PERCENT 10
#define MODEL_SLOW_PERCENT 10
#define MODEL_SLOW_MS 400
#define MODEL_STATE_DELAY_MS 20
#define MODEL_DATA_DELAY_MS 12
#define MODEL_PACKET_GAP_MS 3000

enum event_kind_
{
  EVENT_CHANGE,
  EVENT_GROUP,
  EVENT_TICK,
  EVENT_STATE,
  EVENT_ACK,
  EVENT_DATA,
  EVENT_CALLER
};

struct group_
{
  unsigned version;
  bool live[MODEL_AGENTS_MAX];
  bool eligible[MODEL_AGENTS_MAX];
};

struct event_
{
  int64_t at_ms;
  uint64_t order;
  enum event_kind_ kind;
  size_t from;
  size_t to;
  size_t flow;
  size_t hops;
  uint64_t sequence;
  uint64_t own_sequence;
  struct rgy_bucket_set may_hold;
  struct rgy_steer_trail trail;
  struct group_ group;
};

struct agent_
{
  struct rgy_name name;
  struct rgy_steering *steering;
  bool running;
  bool waits_for_settling;
  unsigned group_version;
  unsigned counts[RGY_BUCKET_COUNT];
  struct rgy_bucket_set occupied;
};

struct flow_
{
  unsigned bucket;
  unsigned packets_left;
  bool open;
  bool was_opened;
  bool was_opened_twice;
  size_t owner_index;
};

struct model_
{
  const struct model_settings *settings;
  GRand *rand;
  GSequence *events;
  uint64_t order;
  int64_t now_ms;
  size_t agent_count;
  struct group_ current_group;
  struct agent_ agents[MODEL_AGENTS_MAX];
  struct flow_ flows[MODEL_FLOWS];
  struct model_result result;
};

static gint
compare_events_ (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct event_ *x = a;
  const struct event_ *y = b;

  (void)ctx;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static int64_t
random_ms_ (struct model_ *m, int max)
{
  return g_rand_int_range (m->rand, 1, max + 1);
}

static bool
happens_with_percent_ (struct model_ *m, int percent)
{
  return g_rand_int_range (m->rand, 0, 100) < percent;
}

static void
schedule_event_ (struct model_ *m, int64_t delay_ms,
                 const struct event_ *event)
{
  struct event_ *copy = g_memdup2 (event, sizeof *event);

  copy->at_ms = m->now_ms + delay_ms;
  copy->order = m->order++;
  g_sequence_insert_sorted (m->events, copy, compare_events_, NULL);
}

/* Sends a control message, which may be lost or delayed.  */
static void
send_control_ (struct model_ *m, const struct event_ *event)
{
  if (happens_with_percent_ (m, MODEL_LOSS_PERCENT))
    return;
  schedule_event_ (m,
                   random_ms_ (m, happens_with_percent_ (m, MODEL_SLOW_PERCENT)
                                      ? MODEL_SLOW_MS
                                      : MODEL_STATE_DELAY_MS),
                   event);
}

static void
send_states_ (struct model_ *m, size_t from)
{
  struct agent_ *agent = &m->agents[from];
  struct event_ event
      = { .kind = EVENT_STATE,
          .from = from,
          .sequence = rgy_steering_get_sequence (agent->steering) };

  rgy_steering_get_bitmap (agent->steering, &agent->occupied, &event.may_hold);
  for (event.to = 0; event.to < m->agent_count; event.to++)
    if (event.to != from)
      send_control_ (m, &event);
}

static void
update_occupied_ (struct model_ *m, size_t index)
{
  struct agent_ *agent = &m->agents[index];

  if (rgy_steering_set_occupied (agent->steering, &agent->occupied))
    send_states_ (m, index);
}

static void
publish_group_ (struct model_ *m)
{
  struct event_ event = { .kind = EVENT_GROUP };

  m->current_group.version++;
  event.group = m->current_group;
  for (event.to = 0; event.to < m->agent_count; event.to++)
    schedule_event_ (m, random_ms_ (m, MODEL_VIEW_DELAY_MS), &event);
}

static void
start_agent_ (struct model_ *m, bool waits_for_settling)
{
  size_t index = m->agent_count++;
  struct agent_ *agent = &m->agents[index];
  char name[16];

  g_snprintf (name, sizeof name, "agent-%u", (unsigned)index);
  agent->name = rgy_name_from_c (name);
  agent->steering = rgy_steering_new (&agent->name, MODEL_SERVICE_SEED);
  rgy_steering_set_lookup_enabled (agent->steering, m->settings->lookup);
  agent->running = true;
  agent->waits_for_settling = waits_for_settling;
  m->current_group.live[index] = true;
  m->current_group.eligible[index] = !waits_for_settling;
  schedule_event_ (m, random_ms_ (m, MODEL_STATE_INTERVAL_MS),
                   &(struct event_){ .kind = EVENT_TICK, .to = index });
}

/* Applies one random change: an agent joins, drains, or becomes eligible
   again.  */
static void
handle_change_ (struct model_ *m)
{
  size_t first = m->settings->agents;
  size_t index = g_rand_int_range (m->rand, 0, (gint32)m->agent_count);
  size_t eligible = 0;
  size_t i;

  if (m->agent_count < first + m->settings->joins
      && happens_with_percent_ (m, 30))
    start_agent_ (m, true);
  else
    {
      for (i = 0; i < m->agent_count; i++)
        eligible += m->current_group.eligible[i];
      if (!m->agents[index].running || m->agents[index].waits_for_settling)
        return;
      if (m->current_group.eligible[index] && eligible <= 2)
        return;
      m->current_group.eligible[index] = !m->current_group.eligible[index];
    }
  publish_group_ (m);
}

static void
handle_group_ (struct model_ *m, const struct event_ *event)
{
  struct agent_ *agent = &m->agents[event->to];
  struct rgy_name eligible[MODEL_AGENTS_MAX];
  struct rgy_name peers[MODEL_AGENTS_MAX];
  size_t eligible_count = 0;
  size_t peer_count = 0;
  size_t i;

  if (!agent->running || event->group.version <= agent->group_version)
    return;
  agent->group_version = event->group.version;
  for (i = 0; i < MODEL_AGENTS_MAX; i++)
    {
      if (event->group.eligible[i])
        eligible[eligible_count++] = m->agents[i].name;
      if (event->group.live[i] && i != event->to)
        peers[peer_count++] = m->agents[i].name;
    }
  if (rgy_steering_set_group (agent->steering, eligible, eligible_count, peers,
                              peer_count))
    send_states_ (m, event->to);
}

static void
handle_tick_ (struct model_ *m, size_t index)
{
  struct agent_ *agent = &m->agents[index];
  struct rgy_bucket_set none = { 0 };

  if (!agent->running)
    return;
  if (agent->waits_for_settling && agent->group_version > 0
      && rgy_steering_is_settled (agent->steering))
    {
      agent->waits_for_settling = false;
      m->current_group.eligible[index] = true;
      publish_group_ (m);
    }
  if (m->settings->restarts && !m->current_group.eligible[index]
      && !agent->waits_for_settling
      && memcmp (&agent->occupied, &none, sizeof none) == 0
      && happens_with_percent_ (m, 10))
    {
      agent->running = false;
      m->current_group.live[index] = false;
      publish_group_ (m);
      return;
    }
  send_states_ (m, index);
  schedule_event_ (m, MODEL_STATE_INTERVAL_MS,
                   &(struct event_){ .kind = EVENT_TICK, .to = index });
}

static void
handle_state_ (struct model_ *m, const struct event_ *event)
{
  struct agent_ *agent = &m->agents[event->to];
  enum rgy_outcome rc;

  if (!agent->running)
    return;
  rc = rgy_steering_note_state (agent->steering, &m->agents[event->from].name,
                                1, event->sequence, &event->may_hold);
  if (rc == RGY_ERR_NOT_FOUND)
    return;
  send_control_ (
      m, &(struct event_){ .kind = EVENT_ACK,
                           .from = event->to,
                           .to = event->from,
                           .sequence = event->sequence,
                           .own_sequence
                           = rgy_steering_get_sequence (agent->steering) });
}

static void
open_flow_ (struct model_ *m, size_t index, struct flow_ *flow)
{
  struct agent_ *agent = &m->agents[index];

  if (flow->was_opened)
    {
      if (!flow->was_opened_twice)
        m->result.opened_twice++;
      flow->was_opened_twice = true;
      return;
    }
  flow->open = true;
  flow->was_opened = true;
  flow->owner_index = index;
  m->result.opened++;
  agent->counts[flow->bucket]++;
  rgy_bucket_set_add (&agent->occupied, flow->bucket);
  update_occupied_ (m, index);
}

static void
deliver_packet_ (struct model_ *m, size_t flow_index)
{
  struct agent_ *agent = NULL;
  struct flow_ *flow = &m->flows[flow_index];

  m->result.packets++;
  flow->packets_left--;
  if (flow->packets_left > 0)
    {
      int64_t gap = happens_with_percent_ (m, 50)
                        ? random_ms_ (m, MODEL_DATA_DELAY_MS)
                        : random_ms_ (m, MODEL_PACKET_GAP_MS);

      schedule_event_ (
          m, random_ms_ (m, MODEL_DATA_DELAY_MS) + gap,
          &(struct event_){ .kind = EVENT_CALLER, .flow = flow_index });
      return;
    }
  if (!flow->open)
    return;
  flow->open = false;
  agent = &m->agents[flow->owner_index];
  if (--agent->counts[flow->bucket] == 0)
    {
      rgy_bucket_set_remove (&agent->occupied, flow->bucket);
      update_occupied_ (m, flow->owner_index);
    }
}

static void
handle_data_ (struct model_ *m, const struct event_ *event)
{
  struct agent_ *agent = &m->agents[event->to];
  struct flow_ *flow = &m->flows[event->flow];
  struct event_ next = *event;
  struct rgy_steer_decision decision;
  size_t i;

  m->result.max_hops = MAX (m->result.max_hops, event->hops);
  if (!agent->running)
    {
      m->result.lost++;
      schedule_event_ (
          m, MODEL_RETRY_MS,
          &(struct event_){ .kind = EVENT_CALLER, .flow = event->flow });
      return;
    }
  if (flow->open && flow->owner_index == event->to)
    {
      deliver_packet_ (m, event->flow);
      return;
    }
  rgy_steering_decide (agent->steering, flow->bucket, &event->trail,
                       &decision);
  switch (decision.kind)
    {
    case RGY_STEER_OPEN:
      open_flow_ (m, event->to, flow);
      deliver_packet_ (m, event->flow);
      break;
    case RGY_STEER_FORWARD:
      m->result.forwards++;
      next.hops++;
      rgy_steer_trail_extend (&next.trail, &agent->name, &decision);
      for (i = 0; i < m->agent_count; i++)
        if (rgy_name_equal (&m->agents[i].name, &decision.next))
          break;
      next.to = i;
      schedule_event_ (m, random_ms_ (m, MODEL_DATA_DELAY_MS), &next);
      break;
    case RGY_STEER_DROP:
      m->result.drops++;
      schedule_event_ (
          m, MODEL_RETRY_MS,
          &(struct event_){ .kind = EVENT_CALLER, .flow = event->flow });
      break;
    }
}

/* The caller sends a packet through a balancer whose table is as old as that
   of a random agent.  */
static void
handle_caller_ (struct model_ *m, const struct event_ *event)
{
  size_t view = g_rand_int_range (m->rand, 0, (gint32)m->agent_count);
  const struct rgy_name *owner = rgy_bucket_table_get_owner (
      rgy_steering_get_table (m->agents[view].steering),
      m->flows[event->flow].bucket);
  struct event_ data = { .kind = EVENT_DATA, .flow = event->flow };
  size_t i;

  if (owner == NULL)
    {
      schedule_event_ (m, MODEL_RETRY_MS, event);
      return;
    }
  for (i = 0; i < m->agent_count; i++)
    if (rgy_name_equal (&m->agents[i].name, owner))
      break;
  data.to = i;
  schedule_event_ (m, random_ms_ (m, MODEL_DATA_DELAY_MS), &data);
}

static void
handle_event_ (struct model_ *m, const struct event_ *event)
{
  switch (event->kind)
    {
    case EVENT_CHANGE:
      handle_change_ (m);
      break;
    case EVENT_GROUP:
      handle_group_ (m, event);
      break;
    case EVENT_TICK:
      handle_tick_ (m, event->to);
      break;
    case EVENT_STATE:
      handle_state_ (m, event);
      break;
    case EVENT_ACK:
      if (m->agents[event->to].running)
        rgy_steering_note_ack_at (m->agents[event->to].steering,
                                  &m->agents[event->from].name,
                                  event->sequence, event->own_sequence);
      break;
    case EVENT_DATA:
      handle_data_ (m, event);
      break;
    case EVENT_CALLER:
      handle_caller_ (m, event);
      break;
    }
}

static void
schedule_initial_events_ (struct model_ *m)
{
  size_t i;

  for (i = 0; i < m->settings->agents; i++)
    start_agent_ (m, false);
  publish_group_ (m);
  for (i = 0; i < MODEL_CHANGES; i++)
    schedule_event_ (m, 5000 + random_ms_ (m, MODEL_CHANGES_MS),
                     &(struct event_){ .kind = EVENT_CHANGE });
  for (i = 0; i < MODEL_FLOWS; i++)
    {
      m->flows[i] = (struct flow_){
        .bucket = g_rand_int_range (m->rand, 0, MODEL_BUCKETS_USED),
        .packets_left = g_rand_int_range (m->rand, 1, MODEL_PACKETS_MAX + 1)
      };
      schedule_event_ (m, 4000 + random_ms_ (m, MODEL_CHANGES_MS + 5000),
                       &(struct event_){ .kind = EVENT_CALLER, .flow = i });
    }
}

struct model_result
model_run (const struct model_settings *settings)
{
  struct model_ *m = g_new0 (struct model_, 1);
  struct model_result result;
  size_t i;

  g_assert (settings->agents + settings->joins <= MODEL_AGENTS_MAX);
  m->settings = settings;
  m->rand = g_rand_new_with_seed (settings->seed);
  m->events = g_sequence_new (g_free);
  m->result.flows = MODEL_FLOWS;
  schedule_initial_events_ (m);
  while (!g_sequence_is_empty (m->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (m->events);
      struct event_ event = *(struct event_ *)g_sequence_get (first);

      g_sequence_remove (first);
      if (event.at_ms > MODEL_END_MS)
        break;
      m->now_ms = event.at_ms;
      handle_event_ (m, &event);
    }
  for (i = 0; i < MODEL_FLOWS; i++)
    m->result.unfinished += m->flows[i].packets_left > 0;
  for (i = 0; i < m->agent_count; i++)
    rgy_steering_delete (m->agents[i].steering);
  g_sequence_free (m->events);
  g_rand_free (m->rand);
  result = m->result;
  g_free (m);
  return result;
}

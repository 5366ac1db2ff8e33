#include "private/stream_agent_private.h"

#include <string.h>

/* Segment of a request that waits for a slot of the backend server.  */
struct held_segment_
{
  uint32_t seq;
  uint32_t balancer_ip;
  uint32_t len;
  uint8_t data[];
};

static void
free_held_segments_ (struct rgy_stream_agent *agent,
                     struct rgy_agent_stream *stream)
{
  guint i;

  if (stream->held == NULL)
    return;
  for (i = 0; i < stream->held->len; i++)
    agent->held_bytes
        -= ((struct held_segment_ *)g_ptr_array_index (stream->held, i))->len;
  g_ptr_array_unref (stream->held);
  stream->held = NULL;
}

/* Adds a segment to a waiting request unless it repeats one.  */
static void
hold_segment_ (struct rgy_stream_agent *agent, struct rgy_agent_stream *stream,
               const struct rgy_segment *segment, uint32_t ip)
{
  struct held_segment_ *held;
  guint i;

  if (stream->held == NULL)
    stream->held = g_ptr_array_new_with_free_func (g_free);
  for (i = 0; i < stream->held->len; i++)
    {
      held = g_ptr_array_index (stream->held, i);
      if (held->seq == segment->seq)
        return;
    }
  if (stream->held->len == MAX_HELD_SEGMENTS
      || agent->held_bytes + segment->raw.len > MAX_HELD_BYTES)
    return; /* The caller repeats it.  */
  held = g_malloc (sizeof *held + segment->raw.len);
  held->seq = segment->seq;
  held->balancer_ip = ip;
  held->len = (uint32_t)segment->raw.len;
  memcpy (held->data, segment->raw.data, segment->raw.len);
  agent->held_bytes += held->len;
  g_ptr_array_add (stream->held, held);
}

static void
enqueue_ (struct rgy_flow *flow, GQueue *queue, enum rgy_request_state state)
{
  struct rgy_agent_stream *stream = flow->session;

  stream->request_state = state;
  stream->queue_link = (GList){ .data = flow };
  g_queue_push_tail_link (queue, &stream->queue_link);
}

static void
dequeue_ (struct rgy_stream_agent *agent, struct rgy_agent_stream *stream)
{
  switch (stream->request_state)
    {
    case REQUEST_NONE:
      return;
    case REQUEST_WAITING:
      g_queue_unlink (&agent->on_time, &stream->queue_link);
      break;
    case REQUEST_WAITING_LATE:
      g_queue_unlink (&agent->late, &stream->queue_link);
      break;
    case REQUEST_RUNNING:
      g_queue_unlink (&agent->running, &stream->queue_link);
      break;
    }
  stream->request_state = REQUEST_NONE;
}

/* True if the backend server may get one more request.  Not limited before the
   number of slots is known.  */
static bool
has_free_slot_ (const struct rgy_stream_agent *agent)
{
  return agent->heartbeat_us == 0
         || agent->running.length < agent->slots + QUEUED_AT_BACKEND;
}

static void
start_request_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
                int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  guint i;

  if (stream->request_state != REQUEST_NONE)
    rgy_histogram_observe (agent->wait_time, now_us - stream->request_us);
  dequeue_ (agent, stream);
  enqueue_ (flow, &agent->running, REQUEST_RUNNING);
  stream->running_since_us = now_us;
  for (i = 0; stream->held != NULL && i < stream->held->len; i++)
    {
      const struct held_segment_ *held = g_ptr_array_index (stream->held, i);

      rgy_stream_emit_segment (
          &agent->settings.out, RGY_STREAM_TO_BACKEND, 0, &flow->key,
          (struct rgy_bytes){ .data = held->data, .len = held->len },
          (struct rgy_segment_trailer){ .balancer_ip = held->balancer_ip });
    }
  free_held_segments_ (agent, stream);
}

/* Stops counting requests that were handed over long ago: the backend server
   has dropped them, or their answer was lost.  */
static void
expire_running_requests_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  while (agent->running.length > 0)
    {
      const struct rgy_flow *flow = agent->running.head->data;
      struct rgy_agent_stream *stream = flow->session;

      if (now_us - stream->running_since_us < RUN_EXPIRE_US)
        return;
      dequeue_ (agent, stream);
    }
}

static int64_t
get_due_us_ (const GList *link)
{
  const struct rgy_flow *flow = link->data;

  return ((const struct rgy_agent_stream *)flow->session)->due_us;
}

/* Queues a request by the time at which it must start.  */
static void
enqueue_by_due_time_ (struct rgy_stream_agent *agent, struct rgy_flow *flow)
{
  struct rgy_agent_stream *stream = flow->session;
  GList *after = agent->on_time.tail;

  stream->due_us = stream->request_us + stream->goal_us - stream->age_us
                   - stream->round_trip_us
                   - agent->run_us * RUN_MARGIN_X10 / 10;
  while (after != NULL && get_due_us_ (after) > stream->due_us)
    after = after->prev;
  stream->request_state = REQUEST_WAITING;
  stream->queue_link = (GList){ .data = flow };
  if (after == NULL)
    g_queue_push_head_link (&agent->on_time, &stream->queue_link);
  else
    g_queue_insert_after_link (&agent->on_time, after, &stream->queue_link);
}

/* Moves requests that can no longer be answered within their latency goal
   behind those that can.  */
static void
demote_late_requests_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  GList *link = agent->on_time.head;

  while (link != NULL)
    {
      struct rgy_flow *flow = link->data;
      struct rgy_agent_stream *stream = flow->session;

      link = link->next;
      if (stream->due_us > now_us)
        return;
      ++*agent->n_late;
      dequeue_ (agent, stream);
      enqueue_ (flow, &agent->late, REQUEST_WAITING_LATE);
    }
}

static void
start_waiting_requests_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  if (agent->on_time.length + agent->late.length == 0)
    return;
  demote_late_requests_ (agent, now_us);
  while (has_free_slot_ (agent)
         && agent->on_time.length + agent->late.length > 0)
    start_request_ (agent,
                    agent->on_time.length > 0 ? agent->on_time.head->data
                                              : agent->late.head->data,
                    now_us);
}

/* Counts a request that arrived; buckets without any are emptied.  */
static void
note_arrival_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  int64_t bucket = now_us / ARRIVAL_BUCKET_US;
  int64_t i = MAX (agent->arrived_bucket + 1, bucket - ARRIVAL_BUCKETS + 1);

  for (; i <= bucket; i++)
    agent->arrived[i % ARRIVAL_BUCKETS] = 0;
  agent->arrived_bucket = bucket;
  agent->arrived[bucket % ARRIVAL_BUCKETS]++;
}

static uint32_t
count_arrivals_ (const struct rgy_stream_agent *agent, int64_t now_us)
{
  int64_t oldest = now_us / ARRIVAL_BUCKET_US - ARRIVAL_BUCKETS + 1;
  uint32_t n = 0;
  int64_t i;

  for (i = oldest; i <= agent->arrived_bucket; i++)
    n += agent->arrived[i % ARRIVAL_BUCKETS];
  return n;
}

/* True if the backend server has acknowledged the segment, so that it repeats
   an earlier request.  */
static bool
is_repeated_ (const struct rgy_agent_stream *stream,
              const struct rgy_segment *segment)
{
  return stream->backend_confirmed
         && (int32_t)(segment->seq + segment->payload_len
                      - stream->backend_ack)
                <= 0;
}

bool
rgy_stream_agent_queue_request_ (struct rgy_stream_agent *agent,
                                 struct rgy_flow *flow,
                                 const struct rgy_segment *segment,
                                 uint32_t ip, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;

  switch (stream->request_state)
    {
    case REQUEST_WAITING:
    case REQUEST_WAITING_LATE:
      if (segment->payload_len > 0)
        {
          hold_segment_ (agent, stream, segment, ip);
          return true;
        }
      /* The caller has given up.  */
      if ((segment->flags & (RGY_SEGMENT_FIN | RGY_SEGMENT_RST)) != 0)
        rgy_stream_agent_end_request_ (agent, flow, now_us);
      return false;
    case REQUEST_RUNNING:
      return false;
    case REQUEST_NONE:
      break;
    }
  if (segment->payload_len == 0 || is_repeated_ (stream, segment))
    return false;
  expire_running_requests_ (agent, now_us);
  note_arrival_ (agent, now_us);
  stream->goal_us = segment->trail.goal_us;
  if (stream->goal_us == 0 || has_free_slot_ (agent)
      || agent->held_bytes + segment->raw.len > MAX_HELD_BYTES)
    {
      start_request_ (agent, flow, now_us);
      return false;
    }
  hold_segment_ (agent, stream, segment, ip);
  enqueue_by_due_time_ (agent, flow);
  return true;
}

void
rgy_stream_agent_end_request_ (struct rgy_stream_agent *agent,
                               struct rgy_flow *flow, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;

  if (stream->request_state == REQUEST_NONE)
    return;
  dequeue_ (agent, stream);
  free_held_segments_ (agent, stream);
  stream->age_us = 0;
  start_waiting_requests_ (agent, now_us);
}

void
rgy_stream_agent_note_run_time_ (struct rgy_stream_agent *agent,
                                 const struct rgy_agent_stream *stream,
                                 int64_t now_us)
{
  int64_t run_us = now_us - stream->running_since_us;

  if (stream->request_state == REQUEST_RUNNING)
    agent->run_us = agent->run_us == 0
                        ? run_us
                        : (agent->run_us * (LATENCY_SMOOTHING - 1) + run_us)
                              / LATENCY_SMOOTHING;
}

/* Hands a request over although no slot is free.  */
static void
hand_over_request_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
                    int64_t now_us)
{
  const struct rgy_agent_stream *stream = flow->session;
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_handed_over;
  rgy_stream_emit_flow_log (
      &agent->settings.out,
      "request_handed_over flow=%s waited_ms=%" G_GINT64_FORMAT
      " goal_ms=%" G_GINT64_FORMAT " running=%u on_time=%u late=%u slots=%u "
      "stopping=%d",
      rgy_flow_key_format (&flow->key, text),
      (now_us - stream->request_us) / RGY_US_PER_MS,
      stream->goal_us / RGY_US_PER_MS, agent->running.length,
      agent->on_time.length, agent->late.length, agent->slots,
      agent->stopping);
  start_request_ (agent, flow, now_us);
}

void
rgy_stream_agent_hand_over_requests_ (struct rgy_stream_agent *agent, bool all,
                                      int64_t now_us)
{
  GQueue *queues[] = { &agent->on_time, &agent->late };
  size_t i;

  expire_running_requests_ (agent, now_us);
  start_waiting_requests_ (agent, now_us);
  for (i = 0; i < G_N_ELEMENTS (queues); i++)
    while (queues[i]->length > 0)
      {
        struct rgy_flow *flow = queues[i]->head->data;
        const struct rgy_agent_stream *stream = flow->session;

        if (!all
            && now_us - stream->request_us < MAX_WAIT_GOALS * stream->goal_us)
          break;
        hand_over_request_ (agent, flow, now_us);
      }
}

bool
rgy_stream_agent_drop_request_ (struct rgy_flow *flow, void *ctx)
{
  dequeue_ (ctx, flow->session);
  free_held_segments_ (ctx, flow->session);
  return true;
}

void
rgy_stream_agent_measure_load_ (const struct rgy_stream_agent *agent,
                                struct rgy_stream_load_report *load,
                                int64_t now_us)
{
  uint32_t waiting = agent->on_time.length + agent->late.length;
  uint32_t requests = waiting + agent->running.length;
  int64_t ahead = (int64_t)requests - agent->slots + 1;

  load->run_us = (uint32_t)MIN (agent->run_us, UINT32_MAX);
  load->requests = requests;
  load->wait_us
      = ahead <= 0
            ? 0
            : (uint32_t)MIN (ahead * agent->run_us / agent->slots, UINT32_MAX);
  load->requests_per_s = count_arrivals_ (agent, now_us);
}

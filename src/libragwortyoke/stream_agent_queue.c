#include "private/stream_agent_private.h"

#include <string.h>

/* Odd constant that spreads route addresses over 64 bits.  */
#define SHARE_MULTIPLIER UINT64_C (0x9e3779b97f4a7c15)

/* Segment of a request that waits for a slot of the backend server.  */
struct held_segment_
{
  uint32_t seq;
  uint16_t payload_len;
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

/* Adds a segment to a waiting request unless it repeats one.  Returns false if
   there is no room.  */
static bool
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
      if (held->seq == segment->seq
          && held->payload_len == segment->payload_len)
        return true;
    }
  if (stream->held->len == MAX_HELD_SEGMENTS
      || agent->held_bytes + segment->raw.len > MAX_HELD_BYTES)
    return false; /* The caller repeats it.  */
  held = g_malloc (sizeof *held + segment->raw.len);
  held->seq = segment->seq;
  held->payload_len = segment->payload_len;
  held->balancer_ip = ip;
  held->len = (uint32_t)segment->raw.len;
  memcpy (held->data, segment->raw.data, segment->raw.len);
  agent->held_bytes += held->len;
  g_ptr_array_add (stream->held, held);
  stream->held_end = segment->seq + segment->payload_len;
  return true;
}

static void
deliver_held_segments_ (struct rgy_stream_agent *agent, struct rgy_flow *flow)
{
  struct rgy_agent_stream *stream = flow->session;
  guint i;

  for (i = 0; stream->held != NULL && i < stream->held->len; i++)
    {
      const struct held_segment_ *held = g_ptr_array_index (stream->held, i);

      rgy_stream_emit_segment (
          &agent->settings.out, RGY_STREAM_TO_BACKEND, 0, &flow->key,
          (struct rgy_bytes){ .data = held->data, .len = held->len },
          (struct rgy_segment_trailer){ .balancer_ip = held->balancer_ip });
      stream->unopened = false;
    }
  free_held_segments_ (agent, stream);
}

static void
dequeue_ (struct rgy_stream_agent *agent, struct rgy_agent_stream *stream)
{
  switch (stream->request_state)
    {
    case REQUEST_NONE:
      return;
    case REQUEST_WAITING:
      rgy_request_queue_remove (agent->waiting, &stream->waiting);
      break;
    case REQUEST_RUNNING:
      g_queue_unlink (&agent->running, &stream->running_link);
      break;
    case REQUEST_EXPIRED:
      break;
    }
  stream->request_state = REQUEST_NONE;
}

static struct rgy_queue_server
get_server_ (const struct rgy_stream_agent *agent)
{
  return (struct rgy_queue_server){ .slots = agent->slots,
                                    .running = agent->running.length,
                                    .run_time = agent->run_time };
}

/* Class of the requests that a segment begins.  Requests without a known time
   limit are not divided into shares.  */
static struct rgy_request_class
make_class_ (const struct rgy_stream_agent *agent,
             const struct rgy_segment *segment, uint32_t ip,
             const struct rgy_request_terms *terms)
{
  const struct rgy_endpoint *route = &segment->key.u.segment.service;
  bool is_limited = terms->limit_us > 0;

  return (struct rgy_request_class){
    .priority = terms->priority,
    .share = is_limited
                 ? ((uint64_t)route->ip << 16 | route->port) * SHARE_MULTIPLIER
                       ^ rgy_stream_agent_get_balancer_domain_ (agent, ip)
                 : 0,
    .limited = is_limited
  };
}

/* Time reserved for the run of a request when its latest start is
   computed.  */
static int64_t
get_run_allowance_us_ (struct rgy_stream_agent *agent,
                       const struct rgy_request_class *class)
{
  struct rgy_queue_server server = get_server_ (agent);
  struct rgy_run_time time;

  if (!class->limited)
    return agent->run_time.mean_us * RUN_MARGIN_X10 / 10;
  time = rgy_request_queue_get_run_time (agent->waiting, class, &server);
  return rgy_run_time_get_allowance (&time);
}

/* True if the backend server may get one more request.  Not limited before the
   number of slots is known.  */
static bool
has_free_slot_ (const struct rgy_stream_agent *agent)
{
  return agent->heartbeat_us == 0
         || agent->running.length < agent->slots + QUEUED_AT_BACKEND;
}

/* Resets a flow that may have been reset as lost by its balancer while this
   process was paused or cut off.  Its request has not run, and its caller may
   have sent it again.  */
static void
reject_uncertain_flow_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
                        int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_expired_reset;
  rgy_stream_emit_flow_log (
      &agent->settings.out,
      "request_expired flow=%s outcome=reset reason=contact-lost priority=%u "
      "waited_ms=%" G_GINT64_FORMAT,
      rgy_flow_key_format (&flow->key, text), stream->class.priority,
      (now_us - stream->request_us) / RGY_US_PER_MS);
  dequeue_ (agent, stream);
  stream->request_state = REQUEST_EXPIRED;
  free_held_segments_ (agent, stream);
  rgy_stream_agent_reject_unopened_flow_ (agent, flow, now_us);
}

static void
start_request_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
                int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;

  if (stream->unopened && stream->class.limited
      && !rgy_stream_agent_had_contact_ (agent, stream->balancer_ip,
                                         stream->request_us, now_us))
    {
      reject_uncertain_flow_ (agent, flow, now_us);
      return;
    }
  if (stream->request_state != REQUEST_NONE)
    rgy_histogram_observe (agent->wait_time, now_us - stream->request_us);
  dequeue_ (agent, stream);
  stream->request_state = REQUEST_RUNNING;
  stream->running_since_us = now_us;
  stream->running_link = (GList){ .data = flow };
  g_queue_push_tail_link (&agent->running, &stream->running_link);
  deliver_held_segments_ (agent, flow);
}

/* Stops counting requests that were handed over long ago: the backend server
   has dropped them, or their answer was lost.  */
static void
expire_running_requests_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  GList *link = agent->running.head;

  while (link != NULL)
    {
      const struct rgy_flow *flow = link->data;
      struct rgy_agent_stream *stream = flow->session;

      link = link->next;
      /* Later ones were handed over later.  */
      if (now_us - stream->running_since_us < RUN_EXPIRE_US)
        return;
      if (now_us - stream->running_since_us
          >= MAX (RUN_EXPIRE_US, stream->limit_us))
        dequeue_ (agent, stream);
    }
}

/* Queues a request by the times at which it must start.  */
static void
enqueue_request_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
                  int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  struct rgy_queue_server server = get_server_ (agent);
  int64_t allowance_us = get_run_allowance_us_ (agent, &stream->class);
  int64_t began_us
      = stream->request_us - stream->age_us - stream->round_trip_us;
  int64_t goal_us = stream->goal_us > 0 ? stream->goal_us : stream->limit_us;

  stream->request_state = REQUEST_WAITING;
  stream->waiting = (struct rgy_waiting_request){
    .goal_start_us = began_us + goal_us - allowance_us,
    .limit_start_us = stream->class.limited
                          ? began_us + stream->limit_us - allowance_us
                          : stream->request_us + MAX_WAIT_GOALS * goal_us,
    .owner = flow
  };
  rgy_request_queue_push (agent->waiting, &stream->waiting, &stream->class,
                          &server, now_us);
}

static void
start_waiting_requests_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  struct rgy_waiting_request *waiting;

  while (has_free_slot_ (agent)
         && rgy_request_queue_length (agent->waiting) > 0)
    {
      struct rgy_queue_server server = get_server_ (agent);

      waiting = rgy_request_queue_pop (agent->waiting, &server, now_us);
      start_request_ (agent, waiting->owner, now_us);
    }
  *agent->n_late = rgy_request_queue_demoted (agent->waiting);
}

/* True if the backend server has acknowledged the payload of a segment.  */
static bool
is_acknowledged_ (const struct rgy_agent_stream *stream, uint32_t seq,
                  uint16_t payload_len)
{
  return stream->backend_confirmed
         && (int32_t)(seq + payload_len - stream->backend_ack) <= 0;
}

bool
rgy_stream_agent_is_repeated_ (const struct rgy_agent_stream *stream,
                               const struct rgy_segment *segment)
{
  return is_acknowledged_ (stream, segment->seq, segment->payload_len);
}

bool
rgy_stream_agent_may_be_answered_ (const struct rgy_agent_stream *stream)
{
  switch (stream->request_state)
    {
    case REQUEST_NONE:
    case REQUEST_RUNNING:
      return true;
    case REQUEST_WAITING:
    case REQUEST_EXPIRED:
      break;
    }
  /* The backend server may have got the segments earlier: the caller repeats a
     request that no longer counts as running, or that the agent before has
     handed over.  */
  return is_acknowledged_ (stream, stream->held_end, 0);
}

void
rgy_stream_agent_expect_request_ (struct rgy_stream_agent *agent,
                                  struct rgy_flow *flow,
                                  const struct rgy_segment *segment,
                                  uint32_t ip, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  struct rgy_request_terms terms
      = rgy_stream_agent_get_terms_ (agent, segment, now_us);

  if (terms.limit_us == 0)
    return;
  stream->class = make_class_ (agent, segment, ip, &terms);
  stream->is_expected = true;
  stream->expected_link = (GList){ .data = flow };
  g_queue_push_tail_link (&agent->expected, &stream->expected_link);
  rgy_request_queue_expect (agent->waiting, &stream->class, 1);
}

void
rgy_stream_agent_unexpect_request_ (struct rgy_stream_agent *agent,
                                    struct rgy_agent_stream *stream)
{
  if (!stream->is_expected)
    return;
  stream->is_expected = false;
  g_queue_unlink (&agent->expected, &stream->expected_link);
  rgy_request_queue_expect (agent->waiting, &stream->class, -1);
}

/* Ends the expectation of requests that have not come.  */
static void
expire_expected_requests_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  while (agent->expected.length > 0)
    {
      const struct rgy_flow *flow = agent->expected.head->data;

      if (now_us - flow->opened_us < EXPECTED_REQUEST_US)
        return;
      rgy_stream_agent_unexpect_request_ (agent, flow->session);
    }
}

int64_t
rgy_stream_agent_get_opening_age_us_ (const struct rgy_segment *segment)
{
  return segment->ack == 0   ? 0
         : segment->ack == 1 ? FIRST_COPY_AGE_US
                             : SECOND_COPY_AGE_US;
}

enum rgy_stream_refusal
rgy_stream_agent_admit_ (struct rgy_stream_agent *agent,
                         const struct rgy_segment *segment, uint32_t ip,
                         int64_t now_us, struct rgy_admission_basis *basis)
{
  struct rgy_queue_server server = get_server_ (agent);
  int64_t age_us = rgy_stream_agent_get_opening_age_us_ (segment);
  struct rgy_request_class class;
  int64_t allowance_us;
  bool is_too_late;
  bool is_refused;

  basis->terms = rgy_stream_agent_get_terms_ (agent, segment, now_us);
  if (basis->terms.limit_us == 0)
    return RGY_STREAM_REFUSAL_COUNT;
  class = make_class_ (agent, segment, ip, &basis->terms);
  basis->is_last_offer
      = segment->trail.mark == RGY_MARK_LAST_OFFER || segment->ack > 0;
  /* A restarted agent does not know what its backend server runs.  */
  if (has_free_slot_ (agent) || !agent->complete)
    goto accept;
  allowance_us = get_run_allowance_us_ (agent, &class) + age_us;
  basis->start
      = rgy_request_queue_predict (agent->waiting, &class, &server, now_us);
  basis->limit_left_us = basis->terms.limit_us - allowance_us;
  basis->goal_left_us = basis->terms.goal_us > 0
                            ? basis->terms.goal_us - allowance_us
                            : basis->limit_left_us;
  if (basis->start.start_us <= now_us + basis->goal_left_us)
    goto accept;
  is_too_late = basis->start.late_start_us > now_us + basis->limit_left_us;
  is_refused = is_too_late || !basis->is_last_offer;
  if (is_too_late && basis->is_last_offer)
    rgy_request_queue_note_demand (agent->waiting, &class, now_us);
  if (is_refused
      && rgy_stream_agent_balancer_has_feature_ (
          agent, ip, RGY_STREAM_DECODES_LOAD, now_us))
    return RGY_REFUSED_OVERLOAD;
  if (is_too_late)
    return RGY_REFUSED_FULL;
accept:
  rgy_request_queue_note_demand (agent->waiting, &class, now_us);
  return RGY_STREAM_REFUSAL_COUNT;
}

bool
rgy_stream_agent_hold_handshake_ (struct rgy_stream_agent *agent,
                                  struct rgy_flow *flow,
                                  const struct rgy_segment *segment,
                                  uint32_t ip, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;

  if (!stream->unopened || segment->payload_len > 0
      || (segment->flags & (RGY_SEGMENT_FIN | RGY_SEGMENT_RST)) != 0)
    return false;
  if (stream->held != NULL)
    return true; /* The held segments open the flow.  */
  return stream->request_state == REQUEST_NONE && !has_free_slot_ (agent)
         && !agent->stopping
         && rgy_stream_agent_get_terms_ (agent, segment, now_us).limit_us > 0
         && hold_segment_ (agent, stream, segment, ip);
}

void
rgy_stream_agent_release_handshake_ (struct rgy_stream_agent *agent,
                                     struct rgy_flow *flow)
{
  const struct rgy_agent_stream *stream = flow->session;

  if (stream->unopened && stream->request_state == REQUEST_NONE)
    deliver_held_segments_ (agent, flow);
}

bool
rgy_stream_agent_queue_request_ (struct rgy_stream_agent *agent,
                                 struct rgy_flow *flow,
                                 const struct rgy_segment *segment,
                                 uint32_t ip, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  bool is_ending = (segment->flags & (RGY_SEGMENT_FIN | RGY_SEGMENT_RST)) != 0;
  struct rgy_request_terms terms;
  bool was_expected;

  switch (stream->request_state)
    {
    case REQUEST_WAITING:
    case REQUEST_EXPIRED:
      if (segment->payload_len > 0)
        {
          if (stream->request_state == REQUEST_WAITING)
            (void)hold_segment_ (agent, stream, segment, ip);
          return true;
        }
      /* The caller has given up.  */
      if (is_ending)
        rgy_stream_agent_end_request_ (agent, flow, now_us);
      return false;
    case REQUEST_RUNNING:
      return false;
    case REQUEST_NONE:
      break;
    }
  if (segment->payload_len == 0
      || rgy_stream_agent_is_repeated_ (stream, segment))
    return false;
  expire_running_requests_ (agent, now_us);
  terms = rgy_stream_agent_get_terms_ (agent, segment, now_us);
  stream->goal_us = terms.goal_us;
  stream->limit_us = terms.limit_us;
  was_expected = stream->is_expected;
  rgy_stream_agent_unexpect_request_ (agent, stream);
  /* The terms may have changed since the flow was accepted.  */
  if (!was_expected || stream->class.limited != (terms.limit_us > 0))
    stream->class = make_class_ (agent, segment, ip, &terms);
  if (!was_expected)
    rgy_request_queue_note_demand (agent->waiting, &stream->class, now_us);
  if (has_free_slot_ (agent) || agent->stopping
      || (!stream->class.limited
          && (stream->goal_us == 0
              || agent->held_bytes + segment->raw.len > MAX_HELD_BYTES)))
    {
      start_request_ (agent, flow, now_us);
      return stream->rejected;
    }
  if (hold_segment_ (agent, stream, segment, ip))
    enqueue_request_ (agent, flow, now_us);
  return true;
}

void
rgy_stream_agent_end_request_ (struct rgy_stream_agent *agent,
                               struct rgy_flow *flow, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  bool had_request = stream->request_state != REQUEST_NONE;

  free_held_segments_ (agent, stream);
  if (!had_request)
    return;
  dequeue_ (agent, stream);
  stream->age_us = 0;
  start_waiting_requests_ (agent, now_us);
}

void
rgy_stream_agent_note_run_time_ (struct rgy_stream_agent *agent,
                                 const struct rgy_agent_stream *stream,
                                 int64_t now_us)
{
  int64_t run_us = now_us - stream->running_since_us;

  if (stream->request_state != REQUEST_RUNNING)
    return;
  rgy_run_time_update (&agent->run_time, run_us);
  rgy_request_queue_note_run (agent->waiting, &stream->class, run_us);
}

/* Hands a request over although no slot is free.  */
static void
hand_over_request_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
                    int64_t now_us)
{
  const struct rgy_agent_stream *stream = flow->session;
  uint32_t late = rgy_request_queue_late (agent->waiting);
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
      rgy_request_queue_length (agent->waiting) - late, late, agent->slots,
      agent->stopping);
  start_request_ (agent, flow, now_us);
}

/* Ends a request whose answer cannot reach the caller in time.  A flow that
   the backend server holds is not reset: only its own end may do that.  */
static void
expire_request_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
                 int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  uint32_t late = rgy_request_queue_late (agent->waiting);
  char text[RGY_FLOW_TEXT_BYTES];

  ++*(stream->unopened ? agent->n_expired_reset : agent->n_expired_dropped);
  rgy_histogram_observe (agent->expired_wait, now_us - stream->request_us);
  rgy_stream_emit_flow_log (
      &agent->settings.out,
      "request_expired flow=%s outcome=%s priority=%u "
      "waited_ms=%" G_GINT64_FORMAT " goal_ms=%" G_GINT64_FORMAT
      " limit_ms=%" G_GINT64_FORMAT " on_time=%u late=%u running=%u slots=%u "
      "run_ms=%" G_GINT64_FORMAT,
      rgy_flow_key_format (&flow->key, text),
      stream->unopened ? "reset" : "dropped", stream->class.priority,
      (now_us - stream->request_us) / RGY_US_PER_MS,
      stream->goal_us / RGY_US_PER_MS, stream->limit_us / RGY_US_PER_MS,
      rgy_request_queue_length (agent->waiting) - late, late,
      agent->running.length, agent->slots,
      agent->run_time.mean_us / RGY_US_PER_MS);
  stream->request_state = REQUEST_EXPIRED;
  free_held_segments_ (agent, stream);
  if (stream->unopened)
    rgy_stream_agent_reject_unopened_flow_ (agent, flow, now_us);
}

void
rgy_stream_agent_advance_requests_ (struct rgy_stream_agent *agent,
                                    int64_t now_us)
{
  struct rgy_waiting_request *waiting;

  expire_running_requests_ (agent, now_us);
  expire_expected_requests_ (agent, now_us);
  start_waiting_requests_ (agent, now_us);
  while (rgy_request_queue_length (agent->waiting) > 0)
    {
      struct rgy_queue_server server = get_server_ (agent);
      struct rgy_flow *flow;

      waiting
          = rgy_request_queue_pop_expired (agent->waiting, &server, now_us);
      if (waiting == NULL)
        break;
      flow = waiting->owner;
      if (((struct rgy_agent_stream *)flow->session)->class.limited)
        expire_request_ (agent, flow, now_us);
      else
        hand_over_request_ (agent, flow, now_us);
    }
  *agent->n_late = rgy_request_queue_demoted (agent->waiting);
}

static bool
release_handshake_of_ (struct rgy_flow *flow, void *ctx)
{
  rgy_stream_agent_release_handshake_ (ctx, flow);
  return true;
}

void
rgy_stream_agent_hand_over_requests_ (struct rgy_stream_agent *agent,
                                      int64_t now_us)
{
  const struct rgy_waiting_request *waiting;

  expire_running_requests_ (agent, now_us);
  start_waiting_requests_ (agent, now_us);
  while ((waiting = rgy_request_queue_peek (agent->waiting)) != NULL)
    hand_over_request_ (agent, waiting->owner, now_us);
  rgy_flow_table_foreach (agent->flows, release_handshake_of_, agent);
}

bool
rgy_stream_agent_drop_request_ (struct rgy_flow *flow, void *ctx)
{
  rgy_stream_agent_unexpect_request_ (ctx, flow->session);
  dequeue_ (ctx, flow->session);
  free_held_segments_ (ctx, flow->session);
  return true;
}

void
rgy_stream_agent_measure_queue_ (const struct rgy_stream_agent *agent,
                                 struct rgy_stream_load_report *load)
{
  uint32_t requests
      = rgy_request_queue_length (agent->waiting) + agent->running.length;
  int64_t ahead = (int64_t)requests - agent->slots + 1;

  load->requests = requests;
  load->wait_us
      = ahead <= 0
            ? 0
            : (uint32_t)MIN (ahead * agent->run_time.mean_us / agent->slots,
                             UINT32_MAX);
}

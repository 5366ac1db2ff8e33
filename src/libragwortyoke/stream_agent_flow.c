#include "private/stream_agent_private.h"

static struct rgy_flow *
open_ (struct rgy_stream_agent *agent, const struct rgy_flow_key *key,
       enum rgy_agent_flow_state state, int64_t now_us)
{
  struct rgy_flow *flow = NULL;
  struct rgy_agent_stream *stream;

  if (rgy_flow_table_open (agent->flows, key, now_us, &flow) != RGY_OK)
    return NULL;
  stream = g_new0 (struct rgy_agent_stream, 1);
  stream->state = state;
  stream->since_us = now_us;
  stream->generation = agent->generation;
  flow->session = stream;
  return flow;
}

void
rgy_stream_agent_set_flow_state_ (struct rgy_stream_agent *agent,
                                  struct rgy_flow *flow,
                                  enum rgy_agent_flow_state state,
                                  int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  bool open = state == FLOW_OPEN;

  if (open != stream->announced)
    {
      stream->announced = open;
      if (open)
        {
          agent->n_open++;
          stream->audience
              = rgy_stream_agent_get_domain_ (agent, stream->balancer_ip);
        }
      else
        agent->n_open--;
      rgy_stream_agent_record_change_ (agent, &flow->key, stream->audience,
                                       open);
    }
  stream->state = state;
  stream->since_us = now_us;
}

void
rgy_stream_agent_remove_flow_ (struct rgy_stream_agent *agent,
                               struct rgy_flow *flow, int64_t now_us)
{
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_ABSENT, now_us);
  g_free (flow->session);
  flow->session = NULL;
  rgy_flow_table_close (agent->flows, flow);
}

/* Tells the caller that a flow is lost.  Only for flows that the backend
   server certainly does not hold any more.  */
void
rgy_stream_agent_reset_flow_ (struct rgy_stream_agent *agent,
                              struct rgy_flow *flow, const char *why,
                              int64_t now_us)
{
  const struct rgy_agent_stream *stream = flow->session;
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_resets;
  rgy_stream_emit_flow_log (&agent->settings.out,
                            "flow_reset flow=%s reason=%s generation=%u of=%u",
                            rgy_flow_key_format (&flow->key, text), why,
                            stream->generation, agent->generation);
  rgy_stream_emit_reset (&agent->settings.out, &flow->key, stream->caller_ack);
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_ABSENT, now_us);
}

static void
deliver_ (struct rgy_stream_agent *agent, const struct rgy_segment *segment,
          uint32_t balancer_ip)
{
  rgy_stream_emit_segment (&agent->settings.out, RGY_STREAM_TO_BACKEND, 0,
                           &segment->key, segment->raw,
                           (struct rgy_trail){ .balancer_ip = balancer_ip });
}

static void
return_ (struct rgy_stream_agent *agent, const struct rgy_segment *segment,
         uint32_t balancer_ip, const char *why)
{
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_missed;
  rgy_stream_emit_flow_log (
      &agent->settings.out,
      "segment_returned flow=%s reason=%s flags=%u seq=%u "
      "ack=%u complete=%d",
      rgy_flow_key_format (&segment->key, text), why, segment->flags,
      segment->seq, segment->ack, agent->complete);
  rgy_stream_emit_segment (&agent->settings.out, RGY_STREAM_TO_BALANCER,
                           balancer_ip, &segment->key, segment->raw,
                           (struct rgy_trail){ .mark = RGY_MARK_MISS });
}

static void
tell_taken_ (struct rgy_stream_agent *agent, const struct rgy_flow_key *key,
             uint32_t ip)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_TAKEN, .u.flow = { .key = *key } };

  rgy_stream_emit_message (&agent->settings.out, ip, &message);
}

static void
tell_refused_ (struct rgy_stream_agent *agent, const struct rgy_flow_key *key,
               uint32_t ip, enum rgy_stream_refusal reason)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_REFUSED,
          .u.flow = { .key = *key, .reason = reason } };

  rgy_stream_emit_message (&agent->settings.out, ip, &message);
}

void
rgy_stream_agent_tell_held_ (struct rgy_stream_agent *agent,
                             const struct rgy_flow_key *key, uint32_t ip,
                             enum rgy_flow_held held)
{
  uint8_t answer[RGY_FLOW_ANSWER_BYTES];
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_ANSWER,
          .u.answers = { .data = answer, .len = sizeof answer } };

  rgy_flow_ends_encode (key, answer);
  answer[RGY_FLOW_ENDS_BYTES] = (uint8_t)held;
  rgy_stream_emit_message (&agent->settings.out, ip, &message);
}

static void
refuse_ (struct rgy_stream_agent *agent, const struct rgy_segment *segment,
         uint32_t ip, enum rgy_stream_refusal reason)
{
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_refused[reason];
  rgy_stream_emit_flow_log (
      &agent->settings.out,
      "open_refused flow=%s reason=%s backend=%s state=%s "
      "view=%" G_GUINT64_FORMAT,
      rgy_flow_key_format (&segment->key, text),
      rgy_stream_refusal_string[reason], agent->backend.data,
      rgy_backend_state_string[agent->state], agent->view.revision);
  tell_refused_ (agent, &segment->key, ip, reason);
}

/* True when the rate of a cold backend server leaves room; counts the flow.  A
   service without a rate has no limit.  */
static bool
take_cold_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  double rate = agent->cold_rate_milli / 1000.0;
  unsigned allowed = (unsigned)MIN (rate * agent->settings.cold_overshoot
                                        + agent->settings.cold_slack,
                                    (double)COLD_RING);
  unsigned recent = 0;
  unsigned i;

  if (agent->cold_rate_milli == 0)
    return true;
  for (i = 0; i < COLD_RING; i++)
    if (agent->cold_opened_us[i] != 0
        && now_us - agent->cold_opened_us[i] < COLD_WINDOW_US)
      recent++;
  if (recent >= allowed)
    return false;
  agent->cold_opened_us[agent->cold_next] = now_us;
  agent->cold_next = (agent->cold_next + 1) % COLD_RING;
  return true;
}

static void
from_caller_opening_ (struct rgy_stream_agent *agent,
                      const struct rgy_segment *segment, uint32_t ip,
                      struct rgy_flow *flow, int64_t now_us)
{
  struct rgy_agent_stream *stream;

  if (segment->trail.service_tag != agent->service_tag)
    {
      refuse_ (agent, segment, ip, RGY_REFUSED_SERVICE);
      return;
    }
  if (flow != NULL
      && ((struct rgy_agent_stream *)flow->session)->state <= FLOW_OPEN)
    {
      stream = flow->session;
      stream->balancer_ip = ip;
      rgy_flow_table_touch (agent->flows, flow, now_us);
      deliver_ (agent, segment, ip);
      return;
    }
  if (agent->stopping)
    refuse_ (agent, segment, ip, RGY_REFUSED_RESTARTING);
  else if (agent->state != RGY_BACKEND_READY
           && agent->state != RGY_BACKEND_UNKNOWN)
    refuse_ (agent, segment, ip, RGY_REFUSED_STATE);
  else if (rgy_domain_view_is_out (&agent->view, &agent->settings.domain))
    refuse_ (agent, segment, ip, RGY_REFUSED_DOMAIN);
  else if (agent->cold_until_us > now_us && !take_cold_ (agent, now_us))
    refuse_ (agent, segment, ip, RGY_REFUSED_COLD);
  else
    {
      if (flow != NULL)
        rgy_stream_agent_remove_flow_ (agent, flow, now_us);
      flow = open_ (agent, &segment->key, FLOW_OPENING, now_us);
      if (flow == NULL)
        {
          refuse_ (agent, segment, ip, RGY_REFUSED_FULL);
          return;
        }
      stream = flow->session;
      stream->balancer_ip = ip;
      deliver_ (agent, segment, ip);
    }
}

/* Tries a segment of an unknown flow at the backend server.  */
static void
probe_ (struct rgy_stream_agent *agent, const struct rgy_segment *segment,
        uint32_t ip, int64_t now_us)
{
  struct rgy_flow *flow = open_ (agent, &segment->key, FLOW_PROBING, now_us);
  struct rgy_agent_stream *stream;

  if (flow == NULL)
    return;
  stream = flow->session;
  stream->balancer_ip = ip;
  stream->caller_ack = segment->ack;
  ++*agent->n_probes;
  deliver_ (agent, segment, ip);
}

static void
note_caller_ (struct rgy_agent_stream *stream,
              const struct rgy_segment *segment, int64_t now_us)
{
  if ((segment->flags & RGY_SEGMENT_ACK) != 0)
    stream->caller_ack = segment->ack;
  if ((segment->flags & RGY_SEGMENT_FIN) != 0)
    stream->caller_finished = true;
  if (segment->payload_len > 0 && stream->asked_us == 0)
    stream->asked_us = now_us;
}

/* The router may have moved the flow to the balancers of another failure
   domain.  */
static void
note_balancer_ (struct rgy_stream_agent *agent, const struct rgy_flow *flow,
                uint32_t ip)
{
  struct rgy_agent_stream *stream = flow->session;
  uint64_t domain;

  if (stream->balancer_ip == ip)
    return;
  stream->balancer_ip = ip;
  domain = rgy_stream_agent_get_domain_ (agent, ip);
  if (!stream->announced || stream->audience == domain)
    return;
  rgy_stream_agent_record_change_ (agent, &flow->key, stream->audience, false);
  rgy_stream_agent_record_change_ (agent, &flow->key, domain, true);
  stream->audience = domain;
}

void
rgy_stream_agent_from_balancer (struct rgy_stream_agent *agent,
                                const struct rgy_segment *segment, uint32_t ip,
                                int64_t now_us)
{
  struct rgy_flow *flow = rgy_flow_table_find (agent->flows, &segment->key);
  struct rgy_agent_stream *stream = flow == NULL ? NULL : flow->session;

  if (rgy_segment_is_opening (segment))
    {
      if (!agent->stalled)
        from_caller_opening_ (agent, segment, ip, flow, now_us);
      return;
    }
  if (stream == NULL)
    {
      if (agent->complete || agent->state == RGY_BACKEND_GONE)
        return_ (agent, segment, ip, "unknown");
      else
        probe_ (agent, segment, ip, now_us);
      return;
    }
  rgy_flow_table_touch (agent->flows, flow, now_us);
  note_balancer_ (agent, flow, ip);
  switch (stream->state)
    {
    case FLOW_ABSENT:
      return_ (agent, segment, ip, "absent");
      return;
    case FLOW_PROBING:
      /* The probe's outcome comes first; the caller repeats this one.  */
      if (now_us - stream->since_us < PROBE_US)
        return;
      note_caller_ (stream, segment, now_us);
      deliver_ (agent, segment, ip);
      return;
    case FLOW_OPENING:
      /* The answer that the caller has is another backend server's.  */
      return_ (agent, segment, ip, "not-answered");
      return;
    case FLOW_ANSWERED:
      if ((segment->flags & RGY_SEGMENT_ACK) != 0
          && (segment->flags & RGY_SEGMENT_RST) == 0
          && segment->ack - stream->backend_seq > 1)
        {
          /* The caller took the answer of another backend server.  */
          return_ (agent, segment, ip, "other-answer");
          return;
        }
      rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_OPEN, now_us);
      break;
    case FLOW_OPEN:
    case FLOW_CLOSED:
      break;
    }
  note_caller_ (stream, segment, now_us);
  deliver_ (agent, segment, ip);
  if (stream->state == FLOW_OPEN
      && ((segment->flags & RGY_SEGMENT_RST) != 0
          || (stream->caller_finished && stream->backend_finished)))
    rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_CLOSED, now_us);
}

/* The backend server holds a flow that this agent did not know.  */
void
rgy_stream_agent_recognise_ (struct rgy_stream_agent *agent,
                             struct rgy_flow *flow, int64_t now_us)
{
  const struct rgy_agent_stream *stream = flow->session;

  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_OPEN, now_us);
  if (stream->balancer_ip != 0)
    rgy_stream_agent_tell_held_ (agent, &flow->key, stream->balancer_ip,
                                 RGY_HELD_YES);
}

static void
from_backend_bounced_ (struct rgy_stream_agent *agent,
                       const struct rgy_segment *segment, int64_t now_us)
{
  struct rgy_flow *flow = rgy_flow_table_find (agent->flows, &segment->key);
  struct rgy_agent_stream *stream = flow == NULL ? NULL : flow->session;
  uint32_t ip = segment->trail.balancer_ip;

  if (ip == 0 && stream != NULL)
    ip = stream->balancer_ip;
  if (rgy_segment_is_opening (segment))
    {
      agent->unanswered = 0;
      if (agent->state == RGY_BACKEND_UNKNOWN)
        rgy_stream_agent_set_backend_state_ (agent, RGY_BACKEND_SILENT,
                                             "bounced", now_us);
      if (stream != NULL && stream->state == FLOW_OPENING)
        rgy_stream_agent_remove_flow_ (agent, flow, now_us);
      refuse_ (agent, segment, ip, RGY_REFUSED_FULL);
      return;
    }
  if (flow == NULL)
    {
      flow = open_ (agent, &segment->key, FLOW_ABSENT, now_us);
      stream = flow == NULL ? NULL : flow->session;
    }
  if (stream == NULL)
    return;
  if (stream->announced && stream->confirmed)
    {
      /* It was held here and is not any more: nobody else can have it.  */
      stream->caller_ack = segment->ack;
      rgy_stream_agent_reset_flow_ (agent, flow, "bounced", now_us);
      rgy_stream_agent_suspect_ (agent, now_us);
      return;
    }
  if (stream->state != FLOW_CLOSED)
    {
      rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_ABSENT, now_us);
      return_ (agent, segment, ip, "bounced");
    }
}

/* The backend server resets a flow that is not open here: the caller may have
   it open at another one, so the reset must not reach the caller.  */
static void
disown_ (struct rgy_stream_agent *agent, struct rgy_flow *flow, int64_t now_us)
{
  const struct rgy_agent_stream *stream = flow->session;
  bool opening
      = stream->state == FLOW_OPENING || stream->state == FLOW_ANSWERED;

  if (stream->balancer_ip != 0 && opening)
    tell_refused_ (agent, &flow->key, stream->balancer_ip, RGY_REFUSED_FULL);
  else if (stream->balancer_ip != 0)
    rgy_stream_agent_tell_held_ (agent, &flow->key, stream->balancer_ip,
                                 RGY_HELD_NO);
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_ABSENT, now_us);
}

/* Updates the mean time to the first payload in answer.  */
static void
note_answer_time_ (struct rgy_stream_agent *agent, int64_t took_us)
{
  int64_t mean_us = agent->latency_us;

  rgy_histogram_observe (agent->answer_time, took_us);
  agent->latency_us
      = (uint32_t)(mean_us == 0 ? took_us
                                : (mean_us * (LATENCY_WEIGHT - 1) + took_us)
                                      / LATENCY_WEIGHT);
}

/* The backend server answered a first segment.  */
static void
note_taken_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
             uint32_t backend_seq, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;

  agent->unanswered = 0;
  if (stream->state == FLOW_OPEN)
    return;
  if (stream->state != FLOW_ANSWERED)
    ++*agent->n_opened;
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_ANSWERED, now_us);
  stream->backend_seq = backend_seq;
  if (stream->balancer_ip != 0)
    tell_taken_ (agent, &flow->key, stream->balancer_ip);
}

/* Learns from a segment that the backend server sent on a flow.  */
static void
note_backend_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
               const struct rgy_segment *segment, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  char text[RGY_FLOW_TEXT_BYTES];

  g_assert (stream != NULL);
  rgy_flow_table_touch (agent->flows, flow, now_us);
  stream->generation = agent->generation;
  stream->confirmed = true;
  if ((segment->flags & RGY_SEGMENT_RST) != 0 && stream->announced)
    rgy_stream_emit_flow_log (
        &agent->settings.out,
        "flow_reset_by_backend flow=%s backend=%s state=%s "
        "age_ms=%" G_GINT64_FORMAT " open_flows=%u",
        rgy_flow_key_format (&flow->key, text), agent->backend.data,
        rgy_backend_state_string[agent->state],
        (now_us - flow->opened_us) / RGY_US_PER_MS, agent->n_open);
  if ((segment->flags & RGY_SEGMENT_RST) != 0)
    rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_CLOSED, now_us);
  else if ((segment->flags & RGY_SEGMENT_SYN) != 0)
    note_taken_ (agent, flow, segment->seq, now_us);
  else if (stream->state == FLOW_PROBING || stream->state == FLOW_ABSENT)
    rgy_stream_agent_recognise_ (agent, flow, now_us);
  if (segment->payload_len > 0 && stream->asked_us != 0)
    {
      note_answer_time_ (agent, now_us - stream->asked_us);
      stream->asked_us = 0;
    }
  if ((segment->flags & RGY_SEGMENT_FIN) != 0)
    stream->backend_finished = true;
  if (stream->state == FLOW_OPEN && stream->caller_finished
      && stream->backend_finished)
    rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_CLOSED, now_us);
}

void
rgy_stream_agent_from_backend (struct rgy_stream_agent *agent,
                               const struct rgy_segment *segment,
                               int64_t now_us)
{
  struct rgy_flow *flow;
  const struct rgy_agent_stream *stream;
  bool reset = (segment->flags & RGY_SEGMENT_RST) != 0;

  /* Bounces also come for a backend server that has ended, so they are no sign
     of life.  */
  if ((segment->flags & RGY_SEGMENT_BOUNCED) != 0)
    {
      from_backend_bounced_ (agent, segment, now_us);
      return;
    }
  agent->packet_us = now_us;
  flow = rgy_flow_table_find (agent->flows, &segment->key);
  stream = flow == NULL ? NULL : flow->session;
  if (stream != NULL && reset && !stream->announced
      && stream->state != FLOW_CLOSED)
    {
      disown_ (agent, flow, now_us);
      return;
    }
  if (flow == NULL && !reset)
    flow = open_ (agent, &segment->key, FLOW_PROBING, now_us);
  if (flow != NULL)
    note_backend_ (agent, flow, segment, now_us);
  rgy_stream_emit_segment (&agent->settings.out, RGY_STREAM_TO_CALLER, 0,
                           &segment->key, segment->raw,
                           (struct rgy_trail){ 0 });
}

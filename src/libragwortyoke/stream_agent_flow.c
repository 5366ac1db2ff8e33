#include "private/stream_agent_private.h"

static struct rgy_flow *
add_flow_ (struct rgy_stream_agent *agent, const struct rgy_flow_key *key,
           enum rgy_agent_flow_state state, int64_t now_us)
{
  struct rgy_flow *flow = NULL;
  struct rgy_agent_stream *stream;

  if (rgy_flow_table_open (agent->flows, key, now_us, &flow) != RGY_OK)
    return NULL;
  stream = g_new0 (struct rgy_agent_stream, 1);
  stream->state = state;
  stream->state_since_us = now_us;
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
  bool is_open = state == FLOW_OPEN;

  if (is_open != stream->reported_open)
    {
      stream->reported_open = is_open;
      if (is_open)
        {
          agent->n_open++;
          stream->informed_domain = rgy_stream_agent_get_balancer_domain_ (
              agent, stream->balancer_ip);
        }
      else
        agent->n_open--;
      rgy_stream_agent_record_change_ (agent, &flow->key,
                                       stream->informed_domain, is_open);
    }
  stream->state = state;
  stream->state_since_us = now_us;
  if (state > FLOW_OPEN)
    rgy_stream_agent_unexpect_request_ (agent, stream);
  if (!is_open)
    rgy_stream_agent_end_request_ (agent, flow, now_us);
}

void
rgy_stream_agent_remove_flow_ (struct rgy_stream_agent *agent,
                               struct rgy_flow *flow, int64_t now_us)
{
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_NOT_OWNED, now_us);
  g_free (flow->session);
  flow->session = NULL;
  rgy_flow_table_close (agent->flows, flow);
}

/* Sends the caller a reset and marks the flow as not owned.  Only for a flow
   that the backend server has certainly lost.  */
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
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_NOT_OWNED, now_us);
}

void
rgy_stream_agent_reject_unopened_flow_ (struct rgy_stream_agent *agent,
                                        struct rgy_flow *flow, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;

  g_assert (stream->unopened);
  stream->rejected = true;
  rgy_stream_emit_reset (&agent->settings.out, &flow->key, stream->caller_ack);
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_CLOSED, now_us);
}

static void
deliver_segment_ (struct rgy_stream_agent *agent,
                  const struct rgy_segment *segment, uint32_t balancer_ip)
{
  rgy_stream_emit_segment (
      &agent->settings.out, RGY_STREAM_TO_BACKEND, 0, &segment->key,
      segment->raw,
      (struct rgy_segment_trailer){ .balancer_ip = balancer_ip });
}

static void
return_segment_ (struct rgy_stream_agent *agent,
                 const struct rgy_segment *segment, uint32_t balancer_ip,
                 const char *why)
{
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_returned;
  rgy_stream_emit_flow_log (
      &agent->settings.out,
      "segment_returned flow=%s reason=%s flags=%u seq=%u "
      "ack=%u complete=%d",
      rgy_flow_key_format (&segment->key, text), why, segment->flags,
      segment->seq, segment->ack, agent->complete);
  rgy_stream_emit_segment (
      &agent->settings.out, RGY_STREAM_TO_BALANCER, balancer_ip, &segment->key,
      segment->raw,
      (struct rgy_segment_trailer){ .mark = RGY_MARK_NOT_OWNED });
}

static void
send_accepted_ (struct rgy_stream_agent *agent, const struct rgy_flow_key *key,
                uint32_t ip)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_ACCEPTED, .u.flow = { .key = *key } };

  rgy_stream_agent_send_message_ (agent, ip, &message);
}

static void
send_refused_ (struct rgy_stream_agent *agent, const struct rgy_flow_key *key,
               uint32_t ip, enum rgy_stream_refusal reason)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_REFUSED,
          .u.flow = { .key = *key, .reason = reason } };

  rgy_stream_agent_send_message_ (agent, ip, &message);
}

void
rgy_stream_agent_send_ownership_ (struct rgy_stream_agent *agent,
                                  const struct rgy_flow_key *key, uint32_t ip,
                                  enum rgy_flow_ownership ownership)
{
  uint8_t answer[RGY_FLOW_ANSWER_BYTES];
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_ANSWER,
          .u.answers = { .data = answer, .len = sizeof answer } };

  rgy_flow_endpoints_encode (key, answer);
  answer[RGY_FLOW_ENDPOINTS_BYTES] = (uint8_t)ownership;
  rgy_stream_agent_send_message_ (agent, ip, &message);
}

static void
refuse_flow_ (struct rgy_stream_agent *agent,
              const struct rgy_segment *segment, uint32_t ip,
              enum rgy_stream_refusal reason)
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
  send_refused_ (agent, &segment->key, ip, reason);
}

/* Refuses a flow whose request would come too late.  */
static void
refuse_overload_ (struct rgy_stream_agent *agent,
                  const struct rgy_segment *segment, uint32_t ip,
                  enum rgy_stream_refusal reason,
                  const struct rgy_admission_basis *basis, int64_t now_us)
{
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_refused[reason];
  rgy_histogram_observe (agent->refused_wait, basis->start.start_us - now_us);
  rgy_stream_emit_flow_log (
      &agent->settings.out,
      "open_refused flow=%s reason=%s priority=%u wait_ms=%" G_GINT64_FORMAT
      " late_wait_ms=%" G_GINT64_FORMAT " goal_left_ms=%" G_GINT64_FORMAT
      " limit_left_ms=%" G_GINT64_FORMAT
      " last_offer=%d waiting=%u late=%u running=%u slots=%u "
      "run_ms=%" G_GINT64_FORMAT,
      rgy_flow_key_format (&segment->key, text),
      rgy_stream_refusal_string[reason], basis->terms.priority,
      (basis->start.start_us - now_us) / RGY_US_PER_MS,
      (basis->start.late_start_us - now_us) / RGY_US_PER_MS,
      basis->goal_left_us / RGY_US_PER_MS,
      basis->limit_left_us / RGY_US_PER_MS, basis->is_last_offer,
      rgy_request_queue_length (agent->waiting),
      rgy_request_queue_late (agent->waiting), agent->running.length,
      agent->slots, agent->run_time.mean_us / RGY_US_PER_MS);
  send_refused_ (agent, &segment->key, ip, reason);
}

/* True if the rate of new flows during the warm-up has room for one more; the
   flow is counted then.  A service without a rate has no limit.  */
static bool
reserve_cold_flow_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  double rate = agent->cold_rate_milli / 1000.0;
  unsigned allowed = (unsigned)MIN (rate * agent->settings.cold_overshoot
                                        + agent->settings.cold_slack,
                                    (double)COLD_RING_SIZE);
  unsigned recent = 0;
  unsigned i;

  if (agent->cold_rate_milli == 0)
    return true;
  for (i = 0; i < COLD_RING_SIZE; i++)
    if (agent->cold_opened_us[i] != 0
        && now_us - agent->cold_opened_us[i] < COLD_WINDOW_US)
      recent++;
  if (recent >= allowed)
    return false;
  agent->cold_opened_us[agent->cold_next] = now_us;
  agent->cold_next = (agent->cold_next + 1) % COLD_RING_SIZE;
  return true;
}

/* True if a first segment is a copy of the one that opened FLOW, and not that
   of a new flow from the same port.  Of a flow that was opened before this
   process started only the idle timeout tells.  */
static bool
is_copy_of_first_segment_ (const struct rgy_stream_agent *agent,
                           const struct rgy_flow *flow,
                           const struct rgy_segment *segment, int64_t now_us)
{
  const struct rgy_agent_stream *stream = flow->session;

  if (stream->state > FLOW_OPEN)
    return false;
  if (stream->has_caller_seq)
    return stream->caller_seq == segment->seq;
  return agent->idle_timeout_us == 0
         || now_us - flow->last_active_us <= agent->idle_timeout_us;
}

static void
handle_first_segment_ (struct rgy_stream_agent *agent,
                       const struct rgy_segment *segment, uint32_t ip,
                       struct rgy_flow *flow, int64_t now_us)
{
  struct rgy_agent_stream *stream;
  struct rgy_admission_basis basis;
  enum rgy_stream_refusal refusal;

  if (segment->trail.service_tag != agent->service_tag)
    {
      refuse_flow_ (agent, segment, ip, RGY_REFUSED_SERVICE);
      return;
    }
  if (flow != NULL && is_copy_of_first_segment_ (agent, flow, segment, now_us))
    {
      stream = flow->session;
      stream->balancer_ip = ip;
      rgy_flow_table_touch (agent->flows, flow, now_us);
      deliver_segment_ (agent, segment, ip);
      return;
    }
  if (agent->stopping)
    refuse_flow_ (agent, segment, ip, RGY_REFUSED_RESTARTING);
  else if (agent->state != RGY_BACKEND_READY
           && agent->state != RGY_BACKEND_UNKNOWN)
    refuse_flow_ (agent, segment, ip, RGY_REFUSED_STATE);
  else if (rgy_domain_view_is_out (&agent->view, &agent->settings.domain))
    refuse_flow_ (agent, segment, ip, RGY_REFUSED_DOMAIN);
  else if ((refusal
            = rgy_stream_agent_admit_ (agent, segment, ip, now_us, &basis))
           != RGY_STREAM_REFUSAL_COUNT)
    refuse_overload_ (agent, segment, ip, refusal, &basis, now_us);
  else if (agent->cold_until_us > now_us
           && !reserve_cold_flow_ (agent, now_us))
    refuse_flow_ (agent, segment, ip, RGY_REFUSED_COLD);
  else
    {
      if (flow != NULL)
        rgy_stream_agent_remove_flow_ (agent, flow, now_us);
      flow = add_flow_ (agent, &segment->key, FLOW_OPENING, now_us);
      if (flow == NULL)
        {
          refuse_flow_ (agent, segment, ip, RGY_REFUSED_FULL);
          return;
        }
      stream = flow->session;
      stream->balancer_ip = ip;
      stream->has_caller_seq = true;
      stream->caller_seq = segment->seq;
      stream->unopened = true;
      stream->age_us = rgy_stream_agent_get_opening_age_us_ (segment);
      rgy_stream_agent_expect_request_ (agent, flow, segment, ip, now_us);
      deliver_segment_ (agent, segment, ip);
    }
}

/* Delivers a segment of an unknown flow to find out whether the backend server
   serves the flow.  */
static void
probe_backend_ (struct rgy_stream_agent *agent,
                const struct rgy_segment *segment, uint32_t ip, int64_t now_us)
{
  struct rgy_flow *flow
      = add_flow_ (agent, &segment->key, FLOW_PROBING, now_us);
  struct rgy_agent_stream *stream;

  if (flow == NULL)
    return;
  stream = flow->session;
  stream->balancer_ip = ip;
  stream->caller_ack = segment->ack;
  ++*agent->n_probes;
  deliver_segment_ (agent, segment, ip);
}

static void
update_from_caller_ (struct rgy_agent_stream *stream,
                     const struct rgy_segment *segment, int64_t now_us)
{
  if ((segment->flags & RGY_SEGMENT_ACK) != 0)
    stream->caller_ack = segment->ack;
  if ((segment->flags & RGY_SEGMENT_FIN) != 0)
    stream->caller_sent_fin = true;
  if (segment->payload_len > 0 && stream->request_us == 0
      && !rgy_stream_agent_is_repeated_ (stream, segment))
    stream->request_us = now_us;
}

/* Updates the balancer of a flow, and its failure domain if the router has
   moved the flow to the balancers of another one.  */
static void
update_flow_balancer_ (struct rgy_stream_agent *agent,
                       const struct rgy_flow *flow, uint32_t ip)
{
  struct rgy_agent_stream *stream = flow->session;
  uint64_t domain;

  if (stream->balancer_ip == ip)
    return;
  stream->balancer_ip = ip;
  domain = rgy_stream_agent_get_balancer_domain_ (agent, ip);
  if (!stream->reported_open || stream->informed_domain == domain)
    return;
  rgy_stream_agent_record_change_ (agent, &flow->key, stream->informed_domain,
                                   false);
  rgy_stream_agent_record_change_ (agent, &flow->key, domain, true);
  stream->informed_domain = domain;
}

/* True if the caller has accepted the answer of another backend server.  */
static bool
acknowledges_other_answer_ (const struct rgy_agent_stream *stream,
                            const struct rgy_segment *segment)
{
  return (segment->flags & RGY_SEGMENT_ACK) != 0
         && (segment->flags & RGY_SEGMENT_RST) == 0
         && segment->ack - stream->backend_seq > 1;
}

void
rgy_stream_agent_from_balancer (struct rgy_stream_agent *agent,
                                const struct rgy_segment *segment, uint32_t ip,
                                int64_t now_us)
{
  struct rgy_flow *flow = rgy_flow_table_find (agent->flows, &segment->key);
  struct rgy_agent_stream *stream = flow == NULL ? NULL : flow->session;
  bool had_request;

  if (rgy_segment_is_opening (segment))
    {
      if (!agent->was_paused)
        handle_first_segment_ (agent, segment, ip, flow, now_us);
      return;
    }
  if (stream == NULL)
    {
      if (agent->complete || agent->state == RGY_BACKEND_ENDED)
        return_segment_ (agent, segment, ip, "unknown");
      else
        probe_backend_ (agent, segment, ip, now_us);
      return;
    }
  rgy_flow_table_touch (agent->flows, flow, now_us);
  if (stream->rejected)
    {
      /* The reset was lost, or the caller uses the port for a new flow.  */
      if (acknowledges_other_answer_ (stream, segment))
        return_segment_ (agent, segment, ip, "other-answer");
      else
        rgy_stream_emit_reset (&agent->settings.out, &flow->key, segment->ack);
      return;
    }
  /* The balancer may have sent the segment as a probe.  */
  if (stream->restored && stream->state == FLOW_OPEN
      && stream->balancer_ip != ip)
    rgy_stream_agent_send_ownership_ (agent, &segment->key, ip,
                                      RGY_FLOW_OWNED);
  update_flow_balancer_ (agent, flow, ip);
  switch (stream->state)
    {
    case FLOW_NOT_OWNED:
      return_segment_ (agent, segment, ip, "absent");
      return;
    case FLOW_PROBING:
      /* The segment is dropped while the probe is undecided; the caller
         repeats it.  */
      if (now_us - stream->state_since_us < PROBE_RETURN_US)
        return;
      update_from_caller_ (stream, segment, now_us);
      deliver_segment_ (agent, segment, ip);
      return;
    case FLOW_OPENING:
      /* The caller acknowledges an answer that another backend server
         sent.  */
      return_segment_ (agent, segment, ip, "not-answered");
      return;
    case FLOW_ANSWERED:
      if (acknowledges_other_answer_ (stream, segment))
        {
          return_segment_ (agent, segment, ip, "other-answer");
          return;
        }
      stream->round_trip_us = now_us - stream->state_since_us;
      stream->age_us += stream->round_trip_us;
      rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_OPEN, now_us);
      break;
    case FLOW_OPEN:
    case FLOW_CLOSED:
      break;
    }
  had_request = stream->request_us != 0;
  update_from_caller_ (stream, segment, now_us);
  if (stream->request_us != 0 && !had_request)
    rgy_stream_agent_note_arrival_ (agent, stream);
  if (stream->state == FLOW_OPEN
      && (rgy_stream_agent_hold_handshake_ (agent, flow, segment, ip, now_us)
          || rgy_stream_agent_queue_request_ (agent, flow, segment, ip,
                                              now_us)))
    return;
  stream->unopened = false;
  deliver_segment_ (agent, segment, ip);
  if (stream->state == FLOW_OPEN
      && ((segment->flags & RGY_SEGMENT_RST) != 0
          || (stream->caller_sent_fin && stream->backend_sent_fin)))
    rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_CLOSED, now_us);
}

bool
rgy_stream_agent_restore_flow_ (struct rgy_stream_agent *agent,
                                const struct rgy_flow_key *key,
                                uint32_t caller_ack, int64_t now_us)
{
  struct rgy_flow *flow = add_flow_ (agent, key, FLOW_NOT_OWNED, now_us);
  struct rgy_agent_stream *stream = flow == NULL ? NULL : flow->session;

  if (stream == NULL)
    return false;
  stream->caller_ack = caller_ack;
  stream->restored = true;
  ++*agent->n_former_restored;
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_OPEN, now_us);
  return true;
}

/* Opens a flow that the backend server turned out to serve, and notifies the
   flow's balancer.  */
void
rgy_stream_agent_adopt_flow_ (struct rgy_stream_agent *agent,
                              struct rgy_flow *flow, int64_t now_us)
{
  const struct rgy_agent_stream *stream = flow->session;

  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_OPEN, now_us);
  if (stream->balancer_ip != 0)
    rgy_stream_agent_send_ownership_ (agent, &flow->key, stream->balancer_ip,
                                      RGY_FLOW_OWNED);
}

static void
handle_bounced_segment_ (struct rgy_stream_agent *agent,
                         const struct rgy_segment *segment, int64_t now_us)
{
  struct rgy_flow *flow = rgy_flow_table_find (agent->flows, &segment->key);
  struct rgy_agent_stream *stream = flow == NULL ? NULL : flow->session;
  uint32_t ip = segment->trail.balancer_ip;

  if (ip == 0 && stream != NULL)
    ip = stream->balancer_ip;
  if (rgy_segment_is_opening (segment))
    {
      agent->unanswered_openings = 0;
      if (agent->state == RGY_BACKEND_UNKNOWN)
        rgy_stream_agent_set_backend_state_ (agent, RGY_BACKEND_UNRESPONSIVE,
                                             "bounced", now_us);
      if (stream != NULL && stream->state == FLOW_OPENING)
        rgy_stream_agent_remove_flow_ (agent, flow, now_us);
      refuse_flow_ (agent, segment, ip, RGY_REFUSED_FULL);
      return;
    }
  if (flow == NULL)
    {
      flow = add_flow_ (agent, &segment->key, FLOW_NOT_OWNED, now_us);
      stream = flow == NULL ? NULL : flow->session;
    }
  if (stream == NULL)
    return;
  if (stream->reported_open && stream->backend_confirmed)
    {
      /* The backend server served the flow and has lost it; no other one can
         serve it.  */
      stream->caller_ack = segment->ack;
      rgy_stream_agent_reset_flow_ (agent, flow, "bounced", now_us);
      rgy_stream_agent_request_check_ (agent, now_us);
      return;
    }
  if (stream->state != FLOW_CLOSED)
    {
      rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_NOT_OWNED, now_us);
      return_segment_ (agent, segment, ip, "bounced");
    }
}

/* Handles a reset from the backend server for a flow that is not open here.
   The caller may have opened the flow at another backend server, so the reset
   must not reach the caller.  */
static void
handle_reset_of_unopened_flow_ (struct rgy_stream_agent *agent,
                                struct rgy_flow *flow, int64_t now_us)
{
  const struct rgy_agent_stream *stream = flow->session;
  bool is_opening
      = stream->state == FLOW_OPENING || stream->state == FLOW_ANSWERED;

  if (stream->balancer_ip != 0 && is_opening)
    send_refused_ (agent, &flow->key, stream->balancer_ip, RGY_REFUSED_FULL);
  else if (stream->balancer_ip != 0)
    rgy_stream_agent_send_ownership_ (agent, &flow->key, stream->balancer_ip,
                                      RGY_FLOW_NOT_OWNED);
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_NOT_OWNED, now_us);
}

/* Updates the mean time from a request to its first answer.  */
static void
update_latency_ (struct rgy_stream_agent *agent, int64_t answer_time_us)
{
  int64_t mean_us = agent->latency_us;

  rgy_histogram_observe (agent->answer_time, answer_time_us);
  agent->latency_us
      = (uint32_t)(mean_us == 0
                       ? answer_time_us
                       : (mean_us * (LATENCY_SMOOTHING - 1) + answer_time_us)
                             / LATENCY_SMOOTHING);
}

/* Handles the backend server's answer to a first segment.  */
static void
handle_first_answer_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
                      uint32_t backend_seq, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;

  agent->unanswered_openings = 0;
  if (stream->state == FLOW_OPEN)
    return;
  if (stream->state != FLOW_ANSWERED)
    ++*agent->n_opened;
  rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_ANSWERED, now_us);
  stream->backend_seq = backend_seq;
  if (stream->balancer_ip != 0)
    send_accepted_ (agent, &flow->key, stream->balancer_ip);
}

/* Updates a flow from a segment that the backend server sent.  */
static void
update_from_backend_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
                      const struct rgy_segment *segment, int64_t now_us)
{
  struct rgy_agent_stream *stream = flow->session;
  char text[RGY_FLOW_TEXT_BYTES];

  g_assert (stream != NULL);
  rgy_flow_table_touch (agent->flows, flow, now_us);
  stream->generation = agent->generation;
  stream->backend_confirmed = true;
  if ((segment->flags & RGY_SEGMENT_ACK) != 0)
    stream->backend_ack = segment->ack;
  if ((segment->flags & RGY_SEGMENT_RST) != 0 && stream->reported_open)
    rgy_stream_emit_flow_log (
        &agent->settings.out,
        "flow_reset_by_backend flow=%s backend=%s state=%s "
        "age_ms=%" G_GINT64_FORMAT " open_flows=%u",
        rgy_flow_key_format (&flow->key, text), agent->backend.data,
        rgy_backend_state_string[agent->state],
        (now_us - flow->opened_us) / RGY_US_PER_MS, agent->n_open);
  if ((segment->flags & RGY_SEGMENT_RST) != 0)
    {
      rgy_stream_agent_note_reset_request_ (agent, stream, now_us);
      rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_CLOSED, now_us);
    }
  else if ((segment->flags & RGY_SEGMENT_SYN) != 0)
    handle_first_answer_ (agent, flow, segment->seq, now_us);
  else if (stream->state == FLOW_PROBING || stream->state == FLOW_NOT_OWNED)
    rgy_stream_agent_adopt_flow_ (agent, flow, now_us);
  if (segment->payload_len > 0 && stream->request_us != 0
      && rgy_stream_agent_may_be_answered_ (stream))
    {
      update_latency_ (agent, now_us - stream->request_us);
      rgy_stream_agent_note_run_time_ (agent, stream, now_us);
      rgy_stream_agent_note_answer_ (agent, flow, now_us);
      stream->request_us = 0;
      rgy_stream_agent_end_request_ (agent, flow, now_us);
    }
  if ((segment->flags & RGY_SEGMENT_FIN) != 0)
    stream->backend_sent_fin = true;
  if (stream->state == FLOW_OPEN && stream->caller_sent_fin
      && stream->backend_sent_fin)
    rgy_stream_agent_set_flow_state_ (agent, flow, FLOW_CLOSED, now_us);
}

void
rgy_stream_agent_from_backend (struct rgy_stream_agent *agent,
                               const struct rgy_segment *segment,
                               int64_t now_us)
{
  struct rgy_flow *flow;
  const struct rgy_agent_stream *stream;
  bool is_reset = (segment->flags & RGY_SEGMENT_RST) != 0;

  /* Segments also bounce after the backend server has ended, so a bounce does
     not show that it is alive.  */
  if ((segment->flags & RGY_SEGMENT_BOUNCED) != 0)
    {
      handle_bounced_segment_ (agent, segment, now_us);
      return;
    }
  agent->backend_packet_us = now_us;
  flow = rgy_flow_table_find (agent->flows, &segment->key);
  stream = flow == NULL ? NULL : flow->session;
  /* The backend server repeats its answer to the first segment of a flow whose
     caller was told that it does not run.  */
  if (stream != NULL && stream->rejected)
    return;
  if (stream != NULL && is_reset && !stream->reported_open
      && stream->state != FLOW_CLOSED)
    {
      handle_reset_of_unopened_flow_ (agent, flow, now_us);
      return;
    }
  if (flow == NULL && !is_reset)
    flow = add_flow_ (agent, &segment->key, FLOW_PROBING, now_us);
  if (flow != NULL)
    update_from_backend_ (agent, flow, segment, now_us);
  rgy_stream_emit_segment (&agent->settings.out, RGY_STREAM_TO_CALLER, 0,
                           &segment->key, segment->raw,
                           (struct rgy_segment_trailer){ 0 });
}

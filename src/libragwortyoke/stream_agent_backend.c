#include "private/stream_agent_private.h"

void
rgy_stream_agent_set_backend_state_ (struct rgy_stream_agent *agent,
                                     enum rgy_backend_state state,
                                     const char *why, int64_t now_us)
{
  if (agent->state == state)
    return;
  rgy_stream_emit_log (&agent->settings.out,
                       "backend_state backend=%s from=%s to=%s reason=%s "
                       "heartbeat_age_ms=%" G_GINT64_FORMAT " open_flows=%u",
                       agent->backend.data,
                       rgy_backend_state_string[agent->state],
                       rgy_backend_state_string[state], why,
                       agent->heartbeat_us == 0
                           ? -1
                           : (now_us - agent->heartbeat_us) / RGY_US_PER_MS,
                       agent->n_open);
  agent->state = state;
  rgy_stream_agent_report_to_all_ (agent, now_us);
}

struct lost_flows_
{
  struct rgy_stream_agent *agent;
  const char *why;
  int64_t opened_before_us;
  int64_t now_us;
};

static bool
reset_lost_flow_ (struct rgy_flow *flow, void *ctx)
{
  struct lost_flows_ *lost = ctx;
  const struct rgy_agent_stream *stream = flow->session;

  if (stream->reported_open && stream->backend_confirmed
      && flow->opened_us < lost->opened_before_us)
    rgy_stream_agent_reset_flow_ (lost->agent, flow, lost->why, lost->now_us);
  return true;
}

static void
reset_flows_opened_before_ (struct rgy_stream_agent *agent, int64_t before_us,
                            const char *why, int64_t now_us)
{
  struct lost_flows_ lost = {
    .agent = agent, .why = why, .opened_before_us = before_us, .now_us = now_us
  };

  rgy_flow_table_foreach (agent->flows, reset_lost_flow_, &lost);
}

/* True if no flow of the backend server can have been opened before this
   process: the machine started both, or the backend server later.  */
static bool
has_started_with_agent_ (const struct rgy_stream_agent *agent,
                         const struct rgy_backend_heartbeat *heartbeat,
                         int64_t now_us)
{
  return heartbeat->uptime_us >= 0
         && heartbeat->uptime_us
                <= now_us - agent->started_us + START_TOGETHER_US;
}

/* Records the start of a backend server.  Flows that were opened before the
   server's first heartbeat can have been sent belong to its predecessor and
   are reset; lost flows that were opened later are detected when their
   segments bounce.  */
static void
record_backend_start_ (struct rgy_stream_agent *agent,
                       const struct rgy_backend_heartbeat *heartbeat,
                       int64_t now_us)
{
  bool is_first = agent->heartbeat_us == 0;
  int64_t uptime_us
      = (int64_t)MIN (heartbeat->seq + 1, 1000) * agent->settings.heartbeat_us
        + RGY_US_PER_S / 2;

  agent->deregistered_us = 0;
  agent->deregistered = false;
  agent->backend = heartbeat->id;
  agent->backend_started_ms = heartbeat->started_ms;
  agent->generation++;
  rgy_stream_emit_log (
      &agent->settings.out,
      "backend_started backend=%s started_ms=%" G_GINT64_FORMAT
      " seq=%" G_GUINT64_FORMAT " first=%d",
      heartbeat->id.data, heartbeat->started_ms, heartbeat->seq, is_first);
  /* A start that follows an earlier one was seen from its beginning, so the
     agent knows all of its flows.  The first one that this process sees may
     have flows that passed through an earlier process, whatever the number of
     its heartbeat.  */
  if (!is_first || has_started_with_agent_ (agent, heartbeat, now_us))
    agent->complete = true;
  if (is_first)
    rgy_stream_agent_check_restored_flows_ (agent, now_us);
  if (!is_first)
    reset_flows_opened_before_ (agent, now_us - uptime_us, "backend-restarted",
                                now_us);
}

enum rgy_outcome
rgy_stream_agent_heartbeat (struct rgy_stream_agent *agent,
                            const struct rgy_backend_heartbeat *heartbeat,
                            int64_t now_us)
{
  bool is_same_start = agent->heartbeat_us != 0
                       && rgy_name_equal (&agent->backend, &heartbeat->id)
                       && agent->backend_started_ms == heartbeat->started_ms;
  bool is_earlier_start = agent->heartbeat_us != 0
                          && heartbeat->started_ms < agent->backend_started_ms;

  if (!rgy_name_equal (&heartbeat->service, &agent->settings.service))
    return RGY_ERR_INVALID;
  if (is_earlier_start
      || (is_same_start && heartbeat->seq <= agent->backend_seq)
      || (is_same_start && agent->deregistered))
    {
      ++*agent->n_stale_heartbeats;
      return RGY_ERR_STALE;
    }
  if (!is_same_start)
    record_backend_start_ (agent, heartbeat, now_us);
  agent->backend_seq = heartbeat->seq;
  agent->heartbeat_us = now_us;
  agent->unanswered_openings = 0;
  agent->slots = MAX (heartbeat->slots, 1);
  agent->cold_until_us
      = heartbeat->cold_left_us > 0 ? now_us + heartbeat->cold_left_us : 0;
  rgy_stream_agent_set_backend_state_ (
      agent, heartbeat->draining ? RGY_BACKEND_DRAINING : RGY_BACKEND_READY,
      "heartbeat", now_us);
  return RGY_OK;
}

enum rgy_outcome
rgy_stream_agent_deregister (struct rgy_stream_agent *agent,
                             const struct rgy_name *id, int64_t now_us)
{
  if (agent->heartbeat_us != 0 && !rgy_name_equal (&agent->backend, id))
    return RGY_ERR_STALE;
  if (agent->heartbeat_us == 0)
    {
      /* The agent does not know yet whether ID is its backend server.  The
         flows stay until the process has been found to have ended.  */
      rgy_stream_agent_set_backend_state_ (agent, RGY_BACKEND_DRAINING,
                                           "unknown-deregistered", now_us);
      rgy_stream_agent_request_check_ (agent, now_us);
      return RGY_OK;
    }
  /* The backend server ends once its deregistration is acknowledged; until
     then it keeps its flows.  */
  agent->deregistered_us = now_us;
  agent->deregistered = true;
  rgy_stream_agent_set_backend_state_ (agent, RGY_BACKEND_DRAINING,
                                       "deregistered", now_us);
  return RGY_OK;
}

void
rgy_stream_agent_mark_backend_ended_ (struct rgy_stream_agent *agent,
                                      const char *why, int64_t now_us)
{
  agent->deregistered_us = 0;
  rgy_stream_agent_set_backend_state_ (agent, RGY_BACKEND_ENDED, why, now_us);
  reset_flows_opened_before_ (agent, now_us, "backend-gone", now_us);
}

void
rgy_stream_agent_request_check_ (struct rgy_stream_agent *agent,
                                 int64_t now_us)
{
  struct rgy_stream_action action = { .kind = RGY_STREAM_CHECK_BACKEND };

  if (agent->state == RGY_BACKEND_ENDED
      || (agent->last_check_us != 0
          && now_us - agent->last_check_us < CHECK_INTERVAL_US))
    return;
  agent->last_check_us = now_us;
  agent->settings.out.emit (agent->settings.out.ctx, &action);
}

void
rgy_stream_agent_backend_not_running (struct rgy_stream_agent *agent,
                                      int64_t check_emitted_us, int64_t now_us)
{
  if (agent->state == RGY_BACKEND_ENDED
      || agent->heartbeat_us > check_emitted_us)
    return;
  /* The flows of the ended process are lost, and the agent will see the next
     start from its beginning.  */
  agent->complete = true;
  rgy_stream_agent_mark_backend_ended_ (agent, "not-running", now_us);
}

/* True if the backend server's process must be checked.  The server's packets
   do not postpone the check, because segments of ended flows are answered even
   if the backend server does not run any more.  */
static bool
is_heartbeat_overdue_ (const struct rgy_stream_agent *agent, int64_t now_us)
{
  if (agent->heartbeat_us == 0)
    return now_us - agent->started_us > FIRST_CHECK_US;
  return now_us - agent->heartbeat_us
         > agent->settings.heartbeat_us * CHECK_HEARTBEATS_X10 / 10;
}

void
rgy_stream_agent_check_heartbeats_ (struct rgy_stream_agent *agent,
                                    int64_t now_us)
{
  int64_t age_us = now_us - agent->heartbeat_us;
  int64_t limit_us = agent->settings.heartbeat_us;

  if (agent->deregistered_us != 0
      && now_us - agent->deregistered_us > DEREGISTERED_RESET_US)
    rgy_stream_agent_mark_backend_ended_ (agent, "ended", now_us);
  if (is_heartbeat_overdue_ (agent, now_us))
    rgy_stream_agent_request_check_ (agent, now_us);
  if (agent->heartbeat_us == 0 || agent->state == RGY_BACKEND_ENDED
      || now_us - agent->backend_packet_us < PACKET_ALIVE_US)
    return;
  if (agent->state != RGY_BACKEND_UNRESPONSIVE
      && age_us > limit_us * UNRESPONSIVE_HEARTBEATS_X10 / 10)
    rgy_stream_agent_set_backend_state_ (agent, RGY_BACKEND_UNRESPONSIVE,
                                         "no-heartbeat", now_us);
  if (agent->state == RGY_BACKEND_UNRESPONSIVE && agent->n_open > 0
      && age_us > limit_us * RESET_HEARTBEATS_X10 / 10)
    reset_flows_opened_before_ (agent, now_us, "backend-silent", now_us);
}

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

struct loss_
{
  struct rgy_stream_agent *agent;
  const char *why;
  int64_t opened_before_us;
  int64_t now_us;
};

static bool
reset_lost_ (struct rgy_flow *flow, void *ctx)
{
  struct loss_ *loss = ctx;
  const struct rgy_agent_stream *stream = flow->session;

  if (stream->announced && stream->confirmed
      && flow->opened_us < loss->opened_before_us)
    rgy_stream_agent_reset_flow_ (loss->agent, flow, loss->why, loss->now_us);
  return true;
}

static void
reset_flows_before_ (struct rgy_stream_agent *agent, int64_t before_us,
                     const char *why, int64_t now_us)
{
  struct loss_ loss = {
    .agent = agent, .why = why, .opened_before_us = before_us, .now_us = now_us
  };

  rgy_flow_table_foreach (agent->flows, reset_lost_, &loss);
}

/* A backend server started at this address.  Flows opened before its first
   heartbeat can have been sent are those of an earlier one; later ones are
   found by bounces.  */
static void
begin_backend_ (struct rgy_stream_agent *agent,
                const struct rgy_backend_heartbeat *heartbeat, int64_t now_us)
{
  bool first = agent->heartbeat_us == 0;
  int64_t alive_us
      = (int64_t)MIN (heartbeat->seq + 1, 1000) * agent->settings.heartbeat_us
        + RGY_US_PER_S / 2;

  agent->gone_us = 0;
  agent->left = false;
  agent->backend = heartbeat->id;
  agent->backend_started_ms = heartbeat->started_ms;
  agent->generation++;
  rgy_stream_emit_log (
      &agent->settings.out,
      "backend_started backend=%s started_ms=%" G_GINT64_FORMAT
      " seq=%" G_GUINT64_FORMAT " first=%d",
      heartbeat->id.data, heartbeat->started_ms, heartbeat->seq, first);
  /* All flows of this start are known: its first heartbeat comes before any,
     and a later start was seen from its beginning.  */
  if (!first || heartbeat->seq <= 1)
    agent->complete = true;
  if (!first)
    reset_flows_before_ (agent, now_us - alive_us, "backend-restarted",
                         now_us);
}

enum rgy_outcome
rgy_stream_agent_heartbeat (struct rgy_stream_agent *agent,
                            const struct rgy_backend_heartbeat *heartbeat,
                            int64_t now_us)
{
  bool same = agent->heartbeat_us != 0
              && rgy_name_equal (&agent->backend, &heartbeat->id)
              && agent->backend_started_ms == heartbeat->started_ms;
  bool earlier = agent->heartbeat_us != 0
                 && heartbeat->started_ms < agent->backend_started_ms;

  if (!rgy_name_equal (&heartbeat->service, &agent->settings.service))
    return RGY_ERR_INVALID;
  if (earlier || (same && heartbeat->seq <= agent->backend_seq)
      || (same && agent->left))
    {
      ++*agent->n_stale_heartbeats;
      return RGY_ERR_STALE;
    }
  if (!same)
    begin_backend_ (agent, heartbeat, now_us);
  agent->backend_seq = heartbeat->seq;
  agent->heartbeat_us = now_us;
  agent->unanswered = 0;
  agent->slots = MAX (heartbeat->slots, 1);
  agent->cold_until_us
      = heartbeat->cold_left_us > 0 ? now_us + heartbeat->cold_left_us : 0;
  rgy_stream_agent_set_backend_state_ (
      agent, heartbeat->draining ? RGY_BACKEND_DRAINING : RGY_BACKEND_READY,
      "heartbeat", now_us);
  return RGY_OK;
}

enum rgy_outcome
rgy_stream_agent_leave (struct rgy_stream_agent *agent,
                        const struct rgy_name *id, int64_t now_us)
{
  if (agent->heartbeat_us != 0 && !rgy_name_equal (&agent->backend, id))
    return RGY_ERR_STALE;
  if (agent->heartbeat_us == 0)
    {
      agent->backend = *id;
      agent->heartbeat_us = now_us;
    }
  /* It ends when it has the answer; until then its flows live.  */
  agent->gone_us = now_us;
  agent->left = true;
  rgy_stream_agent_set_backend_state_ (agent, RGY_BACKEND_DRAINING,
                                       "deregistered", now_us);
  return RGY_OK;
}

void
rgy_stream_agent_end_backend_ (struct rgy_stream_agent *agent, const char *why,
                               int64_t now_us)
{
  agent->gone_us = 0;
  rgy_stream_agent_set_backend_state_ (agent, RGY_BACKEND_GONE, why, now_us);
  reset_flows_before_ (agent, now_us, "backend-gone", now_us);
}

void
rgy_stream_agent_suspect_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  struct rgy_stream_action action = { .kind = RGY_STREAM_CHECK_BACKEND };

  if (agent->state == RGY_BACKEND_GONE
      || (agent->checked_us != 0
          && now_us - agent->checked_us < CHECK_INTERVAL_US))
    return;
  agent->checked_us = now_us;
  agent->settings.out.emit (agent->settings.out.ctx, &action);
}

void
rgy_stream_agent_backend_absent (struct rgy_stream_agent *agent,
                                 int64_t asked_us, int64_t now_us)
{
  if (agent->state == RGY_BACKEND_GONE || agent->heartbeat_us > asked_us)
    return;
  /* Whatever it held is lost, and a new start will be seen from its
     beginning.  */
  agent->complete = true;
  rgy_stream_agent_end_backend_ (agent, "not-running", now_us);
}

/* Packets are no reason to wait: segments of ended flows are answered for a
   backend server that does not run any more.  */
static bool
is_overdue_ (const struct rgy_stream_agent *agent, int64_t now_us)
{
  if (agent->heartbeat_us == 0)
    return now_us - agent->started_us > FIRST_CHECK_US;
  return now_us - agent->heartbeat_us
         > agent->settings.heartbeat_us * CHECK_HEARTBEATS_X10 / 10;
}

void
rgy_stream_agent_check_backend_ (struct rgy_stream_agent *agent,
                                 int64_t now_us)
{
  int64_t age_us = now_us - agent->heartbeat_us;
  int64_t limit_us = agent->settings.heartbeat_us;

  if (agent->gone_us != 0 && now_us - agent->gone_us > GONE_RESET_US)
    rgy_stream_agent_end_backend_ (agent, "ended", now_us);
  if (is_overdue_ (agent, now_us))
    rgy_stream_agent_suspect_ (agent, now_us);
  if (agent->heartbeat_us == 0 || agent->state == RGY_BACKEND_GONE
      || now_us - agent->packet_us < PACKET_ALIVE_US)
    return;
  if (agent->state != RGY_BACKEND_SILENT
      && age_us > limit_us * SILENT_HEARTBEATS_X10 / 10)
    rgy_stream_agent_set_backend_state_ (agent, RGY_BACKEND_SILENT,
                                         "no-heartbeat", now_us);
  if (agent->state == RGY_BACKEND_SILENT && agent->n_open > 0
      && age_us > limit_us * LOST_HEARTBEATS_X10 / 10)
    reset_flows_before_ (agent, now_us, "backend-silent", now_us);
}
